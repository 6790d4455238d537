"""What an instance believes of targets: the directory, health, retry budget."""

import dataclasses
import datetime

import core_samples as samples
import pytest

from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import health
from quetzalgauge.core import peer_messages
from quetzalgauge.core import retry_budget
from quetzalgauge.core import targets

seconds = samples.seconds


def make_update(*entries, **more):
    return targets.RegistryUpdated(tuple(entries), **more)


def make_directory(*names):
    directory = targets.Directory()
    directory.update(
        make_update(
            *[samples.make_target(one) for one in names], complete=True
        ),
        seconds(0),
    )
    return directory


def list_target_ids(directory):
    return sorted(one.target for one in directory)


def test_removed_entry_removes_target_at_once():
    directory = make_directory("a", "b")
    directory.update(make_update(removed=("a",)), seconds(1))
    assert list_target_ids(directory) == ["b"]


def test_entries_missing_after_outage_get_two_second_grace():
    """Guards against healthy targets dropped because the store was down."""
    directory = make_directory("a", "b")
    directory.update(
        make_update(removed=("a", "b"), after_outage=True), seconds(9)
    )
    assert list_target_ids(directory) == ["a", "b"]
    directory.update(make_update(samples.make_target("a")), seconds(10.5))
    assert directory.expire(seconds(10.9)) == []
    (gone,) = directory.expire(seconds(11))
    assert gone.fields["target"] == "b"
    assert list_target_ids(directory) == ["a"]


def test_draining_target_missing_after_outage_is_removed():
    """Guards against work for a target that had said good-bye."""
    directory = targets.Directory()
    directory.update(
        make_update(samples.make_target("a", leaving=True), complete=True),
        seconds(0),
    )
    directory.update(make_update(removed=("a",), after_outage=True), seconds(9))
    assert list_target_ids(directory) == []


def test_entry_of_earlier_incarnation_is_ignored():
    """Guards against a late heartbeat of a target that has restarted."""
    directory = targets.Directory()
    new = samples.make_target("a", incarnation=5, models=["m1"])
    old = samples.make_target("a", incarnation=4, leaving=True)
    directory.update(make_update(new, complete=True), seconds(0))
    assert directory.update(make_update(old), seconds(1)) == []
    assert directory.get("a") == new


def test_unreadable_entry_does_not_remove_target():
    """Guards against a foreign writer that takes targets out."""
    directory = make_directory("a", "b")
    directory.update(
        make_update(samples.make_target("b"), complete=True, unreadable=("a",)),
        seconds(1),
    )
    assert list_target_ids(directory) == ["a", "b"]


class FleetHarness:
    """A fleet with one engine and a holder that tells of it."""

    def __init__(self):
        self.fleet = fleet_module.Fleet(samples.ZONE, health.HealthTracker())
        self.read_registry(samples.seconds(1), ["m0"])

    def read_registry(self, now, models):
        entry = samples.make_target(
            "e1", samples.ENGINE_SERVICE, slots=48, models=models
        )
        self.fleet.directory.update(make_update(entry, complete=True), now)

    def publish(self, now, view):
        self.fleet.apply_zone_update(
            peer_messages.ZoneUpdate(
                samples.ZONE, "qg-1", 1, True, seconds(0), 0, 1, (view,)
            ),
            now,
        )

    def is_serving(self, model, now):
        one = self.fleet.directory.get("e1")
        return self.fleet.is_serving(one, model, now)


def test_last_zone_state_stays_valid_during_registry_outage():
    """Guards against refusals of models that are loaded.

    The pattern: the store is down and the holder of a zone stops. Entries of
    the store are older than what the holder said last, and without a holder
    nothing changes. Seen on an incident at the Alliance: 45 refusals.
    """
    views = FleetHarness()
    views.publish(seconds(10), samples.make_target_view("e1", ["m1"]))
    views.fleet.record_leader_lost(samples.ZONE)
    assert views.is_serving("m1", seconds(20))
    assert not views.is_serving("m0", seconds(20))


def test_newer_registry_entry_wins_without_leader():
    """Guards against beliefs that outlive a change by an unseen holder."""
    views = FleetHarness()
    views.publish(seconds(10), samples.make_target_view("e1", ["m1"]))
    views.fleet.record_leader_lost(samples.ZONE)
    views.read_registry(seconds(14), ["m2"])
    assert views.is_serving("m2", seconds(15))
    assert not views.is_serving("m1", seconds(15))


def test_planned_load_never_serves():
    """Guards against requests for a model whose load was never ordered."""
    views = FleetHarness()
    view = samples.make_target_view("e1", ["m0"])
    planned = peer_messages.ReplicaView("m3", seconds(0.5), is_planned=True)
    view = dataclasses.replace(view, replicas=(*view.replicas, planned))
    views.publish(seconds(10), view)
    assert not views.is_serving("m3", seconds(11))
    views.fleet.record_leader_lost(samples.ZONE)
    assert not views.is_serving("m3", seconds(12))


def test_flapping_target_is_ejected_longer_each_time():
    """The pattern: targets that go down and up by turns."""
    record = health.HealthTracker()
    now = seconds(0)
    pauses = []
    for _ in range(6):
        record.record_failure("a", now, eject=True)
        began = now
        while record.is_ejected("a", now):
            now += samples.ms(50)
        pauses.append(now - began)
    assert pauses == sorted(pauses)
    assert pauses[-1] == health.MAX_EJECTION_TIME


def test_target_with_partial_failures_is_not_ejected():
    """The pattern: a grey target. Its failure rate counts, and fades."""
    record = health.HealthTracker()
    for number in range(20):
        record.record_failure("a", seconds(number / 10), eject=False)
    assert not record.is_ejected("a", seconds(2))
    # At ten failures a second, what is added balances what fades at 0.86.
    assert record.failure_rate("a", seconds(1.9)) > 0.8
    assert (
        record.failure_rate("a", seconds(2) + health.FAILURE_RATE_DECAY_TIME)
        == 0
    )


def test_success_ends_ejection():
    record = health.HealthTracker()
    record.record_failure("a", seconds(0), eject=True)
    record.record_success("a", samples.ms(20), samples.ms(10))
    assert not record.is_ejected("a", samples.ms(11))


@pytest.mark.parametrize("instances", [1, 4, 33])
def test_retries_of_all_instances_stay_within_budget(instances):
    """The pattern: every target fails, and every request asks for a repeat.

    Guards against a retry storm: in any window all instances together may
    repeat at most 0.2 of the requests and 52 besides.
    """
    window = seconds(10)
    budgets = []
    for _ in range(instances):
        budget = retry_budget.RetryBudget(0.2, 52.0, window)
        budget.set_instance_count(instances)
        budgets.append(budget)
    spent = []
    requests = 0
    for step in range(3000):
        now = datetime.timedelta(milliseconds=10 * step)
        budget = budgets[step % instances]
        budget.record_request()
        requests += 1
        while budget.try_spend(now):
            spent.append(now)
    for end in spent:
        in_window = sum(end - window < at <= end for at in spent)
        assert in_window <= 0.2 * 1000 + 52
    assert len(spent) > 0.1 * requests
