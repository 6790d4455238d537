"""The weight store as a holder sees it: loads under way, and its speed."""

import core_samples as samples

from quetzalgauge.core import weight_store

NOMINAL_DURATION = samples.seconds(10)
NOW = samples.seconds(100)


class MonitorHarness:
    """A weight store whose loads are told to the module under test."""

    def __init__(self):
        self.monitor = weight_store.WeightStoreMonitor()
        self.fetches = {}
        self.now = NOW
        self.monitor.observe({}, NOW)

    def start(self, *targets):
        for target in targets:
            self.fetches[target] = weight_store.Fetch("m1", NOMINAL_DURATION)
        return self.observe(0)

    def observe(self, seconds):
        self.now += samples.seconds(seconds)
        return self.monitor.observe(self.fetches, self.now)

    def finish(self, target, seconds):
        del self.fetches[target]
        return self.observe(seconds)


def test_overdue_fetch_stays_active_until_target_reports_end():
    """Guards against overdue loads that are taken for ended ones."""
    store = MonitorHarness()
    store.start("t1", "t2")
    store.observe(35)
    assert store.monitor.active_count == 2
    (ended,) = store.finish("t1", 1)
    assert ended.duration == samples.seconds(36)
    assert store.monitor.active_count == 1


def test_fetches_of_nominal_duration_keep_default_capacity():
    store = MonitorHarness()
    store.start("t1", "t2", "t3")
    for target in ("t1", "t2", "t3"):
        store.finish(target, 3.5)
    assert (
        store.monitor.get_capacity(store.now) == weight_store.DEFAULT_CAPACITY
    )


def test_slow_fetches_lower_estimated_capacity():
    """The pattern: four loads at a store that carries two at full speed."""
    store = MonitorHarness()
    store.start("t1", "t2", "t3", "t4")
    store.finish("t1", 10)
    store.finish("t2", 0)
    store.finish("t3", 5)
    store.finish("t4", 5)
    assert store.monitor.get_capacity(store.now) == 2.0


def test_overdue_fetch_lowers_estimate_before_it_ends():
    """Guards against further loads while the first slow ones are under way."""
    store = MonitorHarness()
    store.start("t1", "t2", "t3", "t4")
    store.observe(16)
    assert store.monitor.get_capacity(store.now) == 2.5


def test_overdue_fetch_does_not_raise_estimate():
    """Guards against a limit that rises with each load that is just overdue."""
    store = MonitorHarness()
    store.start("t1", "t2", "t3")
    store.finish("t1", 10)
    store.start("t4")
    store.finish("t2", 5)
    measured = store.monitor.get_capacity(store.now)
    assert measured == 2.0
    store.start("t5")
    store.observe(6.5)
    assert store.monitor.get_capacity(store.now) <= measured


def test_slow_single_fetch_keeps_default_capacity():
    """Guards against a store used by one load at a time after one late end."""
    store = MonitorHarness()
    store.start("t1")
    store.finish("t1", 15)
    assert (
        store.monitor.get_capacity(store.now) == weight_store.DEFAULT_CAPACITY
    )


def test_end_observed_late_keeps_default_capacity():
    store = MonitorHarness()
    store.start("t1", "t2")
    store.finish("t1", 11.2)
    assert (
        store.monitor.get_capacity(store.now) == weight_store.DEFAULT_CAPACITY
    )


def test_estimate_expires():
    """Guards against a store that was slow for a moment and is spared since."""
    store = MonitorHarness()
    store.start("t1", "t2")
    store.observe(20)
    store.finish("t1", 0)
    store.finish("t2", 0)
    assert store.monitor.get_capacity(store.now) == 1.0
    store.observe(weight_store.ESTIMATE_TTL.total_seconds() + 1)
    assert (
        store.monitor.get_capacity(store.now) == weight_store.DEFAULT_CAPACITY
    )


def test_fetch_with_unknown_start_is_not_measured():
    """Guards against a new holder that misjudges loads of the one before."""
    seen = weight_store.WeightStoreMonitor()
    fetches = {"t1": weight_store.Fetch("m1", NOMINAL_DURATION)}
    seen.observe(fetches, NOW)
    seen.observe(fetches, NOW + samples.seconds(30))
    at_once = seen.get_capacity(NOW + samples.seconds(30))
    assert at_once == weight_store.DEFAULT_CAPACITY
