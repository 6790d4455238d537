"""What an instance believes of targets: the directory, health, retry budget."""

import dataclasses
import datetime

import core_samples as samples
import pytest

from quetzalgauge.core import exchange
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import health
from quetzalgauge.core import retrybudget
from quetzalgauge.core import targets

seconds = samples.seconds


def change(*entries, **more):
    return targets.RegisterChanged(tuple(entries), **more)


def make_directory(*names):
    directory = targets.Directory()
    directory.update(
        change(*[samples.make_target(one) for one in names], complete=True),
        seconds(0),
    )
    return directory


def names(directory):
    return sorted(one.target for one in directory)


def test_a_target_whose_entry_is_removed_is_gone_at_once():
    directory = make_directory("a", "b")
    directory.update(change(removed=("a",)), seconds(1))
    assert names(directory) == ["b"]


def test_entries_lost_in_an_outage_have_two_seconds_to_come_back():
    """Guards against healthy targets dropped because the store was down."""
    directory = make_directory("a", "b")
    directory.update(change(removed=("a", "b"), after_outage=True), seconds(9))
    assert names(directory) == ["a", "b"]
    directory.update(change(samples.make_target("a")), seconds(10.5))
    assert directory.expire(seconds(10.9)) == []
    (gone,) = directory.expire(seconds(11))
    assert gone.fields["target"] == "b"
    assert names(directory) == ["a"]


def test_a_leaving_target_lost_in_an_outage_is_gone():
    """Guards against work for a target that had said good-bye."""
    directory = targets.Directory()
    directory.update(
        change(samples.make_target("a", leaving=True), complete=True),
        seconds(0),
    )
    directory.update(change(removed=("a",), after_outage=True), seconds(9))
    assert names(directory) == []


def test_an_entry_of_an_earlier_start_changes_nothing():
    """Guards against a late heartbeat of a target that has restarted."""
    directory = targets.Directory()
    new = samples.make_target("a", incarnation=5, models=["m1"])
    old = samples.make_target("a", incarnation=4, leaving=True)
    directory.update(change(new, complete=True), seconds(0))
    assert directory.update(change(old), seconds(1)) == []
    assert directory.get("a") == new


def test_an_unreadable_entry_does_not_remove_its_target():
    """Guards against a foreign writer that takes targets out."""
    directory = make_directory("a", "b")
    directory.update(
        change(samples.make_target("b"), complete=True, unreadable=("a",)),
        seconds(1),
    )
    assert names(directory) == ["a", "b"]


class Views:
    """A fleet with one engine and a holder that tells of it."""

    def __init__(self):
        self.fleet = fleet_module.Fleet(samples.ZONE, health.Health())
        self.read(samples.seconds(1), ["m0"])

    def read(self, now, models):
        entry = samples.make_target(
            "e1", samples.ENGINES, slots=48, models=models
        )
        self.fleet.directory.update(change(entry, complete=True), now)

    def publish(self, now, view):
        self.fleet.use_board(
            exchange.Board(
                samples.ZONE, "qg-1", 1, True, seconds(0), 0, 1, (view,)
            ),
            now,
        )

    def serves(self, model, now):
        one = self.fleet.directory.get("e1")
        return self.fleet.serves(one, model, now)


def test_the_last_holder_is_believed_while_the_store_is_down():
    """Guards against refusals of models that are loaded.

    The pattern: the store is down and the holder of a zone stops. Entries of
    the store are older than what the holder said last, and without a holder
    nothing changes. Seen on an incident at the Alliance: 45 refusals.
    """
    views = Views()
    views.publish(seconds(10), samples.view("e1", ["m1"]))
    views.fleet.lose_holder(samples.ZONE)
    assert views.serves("m1", seconds(20))
    assert not views.serves("m0", seconds(20))


def test_a_newer_entry_of_the_store_counts_without_a_holder():
    """Guards against beliefs that outlive a change by an unseen holder."""
    views = Views()
    views.publish(seconds(10), samples.view("e1", ["m1"]))
    views.fleet.lose_holder(samples.ZONE)
    views.read(seconds(14), ["m2"])
    assert views.serves("m2", seconds(15))
    assert not views.serves("m1", seconds(15))


def test_a_load_that_was_only_planned_never_counts():
    """Guards against requests for a model whose load was never ordered."""
    views = Views()
    view = samples.view("e1", ["m0"])
    planned = exchange.ReplicaView("m3", seconds(0.5), planned=True)
    view = dataclasses.replace(view, replicas=(*view.replicas, planned))
    views.publish(seconds(10), view)
    assert not views.serves("m3", seconds(11))
    views.fleet.lose_holder(samples.ZONE)
    assert not views.serves("m3", seconds(12))


def test_a_flapping_target_is_left_out_for_longer_each_time():
    """The pattern: targets that go down and up by turns."""
    record = health.Health()
    now = seconds(0)
    pauses = []
    for _ in range(6):
        record.note_failure("a", now, severe=True)
        began = now
        while record.is_paused("a", now):
            now += samples.ms(50)
        pauses.append(now - began)
    assert pauses == sorted(pauses)
    assert pauses[-1] == health.LONGEST_PAUSE


def test_a_target_that_fails_some_requests_is_not_paused():
    """The pattern: a grey target. Its failure rate counts, and fades."""
    record = health.Health()
    for number in range(20):
        record.note_failure("a", seconds(number / 10), severe=False)
    assert not record.is_paused("a", seconds(2))
    # At ten failures a second, what is added balances what fades at 0.86.
    assert record.failure_rate("a", seconds(1.9)) > 0.8
    assert record.failure_rate("a", seconds(2) + health.FADE_TIME) == 0


def test_an_answer_ends_a_pause():
    record = health.Health()
    record.note_failure("a", seconds(0), severe=True)
    record.note_success("a", samples.ms(20), samples.ms(10))
    assert not record.is_paused("a", samples.ms(11))


@pytest.mark.parametrize("instances", [1, 4, 33])
def test_retries_of_all_instances_stay_within_the_budget(instances):
    """The pattern: every target fails, and every request asks for a repeat.

    Guards against a retry storm: in any window all instances together may
    repeat at most 0.2 of the requests and 52 besides.
    """
    window = seconds(10)
    budgets = []
    for _ in range(instances):
        budget = retrybudget.RetryBudget(0.2, 52.0, window)
        budget.share_among(instances)
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
