"""The weight store as a holder sees it: loads under way, and its speed."""

import core_samples as samples

from quetzalgauge.core import weightstore

USUAL = samples.seconds(10)
NOW = samples.seconds(100)


class Store:
    """A weight store whose loads are told to the module under test."""

    def __init__(self):
        self.seen = weightstore.WeightStore()
        self.fetches = {}
        self.now = NOW
        self.seen.observe({}, NOW)

    def begin(self, *targets):
        for target in targets:
            self.fetches[target] = weightstore.Fetch("m1", USUAL)
        return self.look(0)

    def look(self, seconds):
        self.now += samples.seconds(seconds)
        return self.seen.observe(self.fetches, self.now)

    def end(self, target, seconds):
        del self.fetches[target]
        return self.look(seconds)


def test_a_load_counts_until_its_target_says_that_it_is_over():
    """Guards against overdue loads that are taken for ended ones."""
    store = Store()
    store.begin("t1", "t2")
    store.look(35)
    assert store.seen.under_way == 2
    (ended,) = store.end("t1", 1)
    assert ended.took == samples.seconds(36)
    assert store.seen.under_way == 1


def test_loads_of_usual_length_say_nothing_of_a_limit():
    store = Store()
    store.begin("t1", "t2", "t3")
    for target in ("t1", "t2", "t3"):
        store.end(target, 3.5)
    assert store.seen.at_once(store.now) == weightstore.ASSUMED_AT_ONCE


def test_slow_loads_tell_how_many_the_store_carries():
    """The pattern: four loads at a store that carries two at full speed."""
    store = Store()
    store.begin("t1", "t2", "t3", "t4")
    store.end("t1", 10)
    store.end("t2", 0)
    store.end("t3", 5)
    store.end("t4", 5)
    assert store.seen.at_once(store.now) == 2.0


def test_an_overdue_load_is_a_measurement_before_it_ends():
    """Guards against further loads while the first slow ones are under way."""
    store = Store()
    store.begin("t1", "t2", "t3", "t4")
    store.look(16)
    assert store.seen.at_once(store.now) == 2.5


def test_an_overdue_load_does_not_hide_what_an_ended_one_told():
    """Guards against a limit that rises with each load that is just overdue."""
    store = Store()
    store.begin("t1", "t2", "t3")
    store.end("t1", 10)
    store.begin("t4")
    store.end("t2", 5)
    measured = store.seen.at_once(store.now)
    assert measured == 2.0
    store.begin("t5")
    store.look(6.5)
    assert store.seen.at_once(store.now) <= measured


def test_a_load_alone_says_nothing_of_a_limit():
    """Guards against a store used by one load at a time after one late end."""
    store = Store()
    store.begin("t1")
    store.end("t1", 15)
    assert store.seen.at_once(store.now) == weightstore.ASSUMED_AT_ONCE


def test_an_end_that_is_seen_late_says_nothing_of_a_limit():
    store = Store()
    store.begin("t1", "t2")
    store.end("t1", 11.2)
    assert store.seen.at_once(store.now) == weightstore.ASSUMED_AT_ONCE


def test_a_measurement_is_forgotten_after_a_while():
    """Guards against a store that was slow for a moment and is spared since."""
    store = Store()
    store.begin("t1", "t2")
    store.look(20)
    store.end("t1", 0)
    store.end("t2", 0)
    assert store.seen.at_once(store.now) == 1.0
    store.look(weightstore.MEASURED_FOR.total_seconds() + 1)
    assert store.seen.at_once(store.now) == weightstore.ASSUMED_AT_ONCE


def test_a_load_that_began_unseen_is_no_measurement():
    """Guards against a new holder that misjudges loads of the one before."""
    seen = weightstore.WeightStore()
    fetches = {"t1": weightstore.Fetch("m1", USUAL)}
    seen.observe(fetches, NOW)
    seen.observe(fetches, NOW + samples.seconds(30))
    at_once = seen.at_once(NOW + samples.seconds(30))
    assert at_once == weightstore.ASSUMED_AT_ONCE
