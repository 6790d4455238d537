"""The seat of a zone: never two machines that order within the lease time."""

import dataclasses
import datetime

import core_samples as samples
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge.core import election

PLATFORM_LEASE = samples.seconds(3)
ZONE = samples.ZONE


class FakeStore:
    """The store's group and record, with what the rules allow it to do."""

    def __init__(self):
        self.members = {}  # Machine: time of its last join.
        self.owner = None
        self.generation = 0
        self.record = None
        self.next_offset = 0
        # Writes that were not answered and come later.
        self.delayed_writes = []

    def expire(self, now):
        for machine, at in list(self.members.items()):
            if now - at > election.SESSION_TIMEOUT:
                del self.members[machine]
                self.generation += 1
                if self.owner == machine:
                    self.owner = None
        if self.owner is None and self.members:
            self.owner = min(self.members)
            self.generation += 1

    def call(self, action, now):
        self.expire(now)
        match action:
            case election.Join():
                if action.machine not in self.members:
                    self.generation += 1
                self.members[action.machine] = now
                self.expire(now)
                return election.JoinResult(
                    now, self.generation, self.owner == action.machine
                )
            case election.ReadOwner():
                return election.ReadOwnerResult(self.owner)
            case election.ReadRecord():
                return election.ReadRecordResult(self.record, self.next_offset)
            case election.WriteRecord():
                conflict = action.expected_offset not in (
                    None,
                    self.next_offset,
                )
                if not conflict:
                    self.record = action.record
                    self.next_offset += 1
                return election.WriteRecordResult(action.record, conflict)
            case election.Release():
                if self.record == action.record:
                    self.record = dataclasses.replace(
                        action.record, released=True
                    )
                    self.next_offset += 1
                return election.LeaveResult()
            case election.Leave():
                self.members.pop(action.machine, None)
                self.generation += 1
                if self.owner == action.machine:
                    self.owner = None
                self.expire(now)
                return election.LeaveResult()


def make_failure(action, now):
    match action:
        case election.Join():
            return election.JoinResult(now, 0, False, failed=True)
        case election.ReadOwner():
            return election.ReadOwnerResult(None, failed=True)
        case election.ReadRecord():
            return election.ReadRecordResult(None, failed=True)
        case election.WriteRecord():
            return election.WriteRecordResult(action.record, failed=True)
    return election.LeaveResult()


class Member:
    """One instance's claim, with the calls of its seat task."""

    def __init__(self, name, now):
        self.name = name
        self.seat = election.LeaderElection(
            ZONE, name, "10.0.0.1:1", PLATFORM_LEASE, samples.seconds(0), now
        )
        self.waiting = None  # An action and when it was asked.
        self.seat.observe_record(None, now)

    def act(self, now, alive=False):
        if self.waiting is None:
            for action in self.seat.poll_actions(alive, now):
                self.waiting = (action, now)

    def answer(self, store, now, lost=False, refused=False):
        if self.waiting is None:
            return
        action, asked = self.waiting
        self.waiting = None
        event = make_failure(action, asked)
        if not refused:
            reached = store.call(action, now)
            if not lost:
                event = reached
        if isinstance(event, election.JoinResult):
            event = election.JoinResult(
                asked, event.generation, event.is_owner, event.failed
            )
        self.seat.handle_event(event, now)
        self.seat.observe_record(store.record, now)

    def is_active(self, now):
        return now < self.seat.active_until(now)


def run_until(machine, store, now, end):
    while now < end:
        now += samples.ms(50)
        machine.act(now)
        machine.answer(store, now)
    return now


def test_first_leader_is_active_without_delay():
    """Guards against the loss of the time before the first request."""
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    assert one.is_active(now)
    assert one.seat.fencing_token >= 1


def test_leader_stays_active_during_store_outage():
    """Guards against cold models that nobody serves while the store is down."""
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    end = now + samples.seconds(4.5)
    while now < end:
        now += samples.ms(100)
        one.act(now)
        one.answer(store, now, refused=True)
        assert one.is_active(now)


def test_leader_is_inactive_after_its_lease():
    """Guards against a holder that never learns that it was replaced."""
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    now += election.LEADER_LEASE + samples.ms(600)
    assert not one.is_active(now)


def test_time_until_active_is_unknown_after_lease():
    """Guards against callers who wait for orders that nobody may give.

    The store is down for longer than the right lasts, or when it should begin.
    """
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    assert one.seat.time_until_active(now) == samples.seconds(0)
    other = Member("b", now)
    other.seat.observe_record(store.record, now)
    now += election.LEADER_LEASE + samples.seconds(1)
    assert one.seat.time_until_active(now) is None
    now = run_until(other, store, now, now + samples.seconds(1))
    assert other.seat.time_until_active(now) > PLATFORM_LEASE
    now += election.LEADER_LEASE + PLATFORM_LEASE + samples.seconds(1)
    assert other.seat.time_until_active(now) is None


def test_restarted_machine_is_active_without_delay():
    """Guards against a long pause after each restart of an instance."""
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    again = Member("a", now)
    again.seat.observe_record(store.record, now)
    now = run_until(again, store, now, now + samples.seconds(1))
    assert again.is_active(now)


def test_replaced_machine_waits_for_takeover_delay():
    """Guards against two machines that take turns within the lease time."""
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a@10.0.0.1", now)
    now = run_until(one, store, now, samples.seconds(1))
    last_order = now
    other = Member("a@10.0.0.2", now)
    other.seat.observe_record(store.record, now)
    while not other.is_active(now):
        now = run_until(other, store, now, now + samples.ms(50))
        assert now < samples.seconds(30)
    assert now - last_order > PLATFORM_LEASE


def test_released_leadership_is_taken_over_after_platform_lease():
    """Guards against a zone without a holder after a planned stop."""
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a", now)
    other = Member("b", now)
    now = run_until(one, store, now, samples.seconds(1))
    for action in one.seat.resign():
        store.call(action, now)
    left = now
    other.seat.observe_record(store.record, now)
    while not other.is_active(now):
        now = run_until(other, store, now, now + samples.ms(50))
        assert now < left + samples.seconds(6)
    assert now - left > PLATFORM_LEASE


def test_standby_does_not_join_while_leader_is_alive():
    """Guards against handovers that nobody needs."""
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    other = Member("b", now)
    other.seat.observe_record(store.record, now)
    for _ in range(100):
        now += samples.ms(100)
        other.act(now, alive=True)
        assert other.waiting is None


def test_reassignment_restarts_takeover_delay():
    """Guards against a wait that counts time in which another had the seat.

    The new holder loses the seat and gets it back without having noticed,
    while the old one has ordered in between and is now cut off.
    """
    store, now = FakeStore(), samples.seconds(0)
    one, other = Member("a", now), Member("b", now)
    now = run_until(one, store, now, samples.seconds(1))
    store.members["b"] = now
    store.owner, store.generation = "b", store.generation + 1
    other.seat.observe_record(None, now)
    now = run_until(other, store, now, now + samples.ms(400))
    store.owner, store.generation = "a", store.generation + 1
    end = now + samples.seconds(4.5)
    while now < end:
        now = run_until(one, store, now, now + samples.ms(100))
        store.members["b"] = now
    cut_at = now
    store.owner, store.generation = "b", store.generation + 1
    last_order = now
    while now < cut_at + samples.seconds(15):
        now = run_until(other, store, now, now + samples.ms(50))
        one.act(now)
        one.answer(store, now, refused=True)
        if one.is_active(now):
            last_order = now
        if other.is_active(now):
            assert now - last_order > PLATFORM_LEASE


@pytest.mark.parametrize("successor", ["b", "c"])
def test_takeover_delay_continues_after_restart(successor):
    """The pattern: the instances of a zone are stopped and started in turn.

    Guards against a zone without orders for as long as that lasts: each start
    waited for the whole right of a holder that had long gone.
    """
    store, now = FakeStore(), samples.seconds(0)
    one = Member("a", now)
    last_order = now = run_until(one, store, now, samples.seconds(1))
    other = Member("b", now)
    other.seat.observe_record(store.record, now)
    now = run_until(other, store, now, now + samples.seconds(8))
    assert not other.is_active(now)
    again = Member(successor, now)
    again.seat.observe_record(store.record, now)
    began = now
    while not again.is_active(now):
        now = run_until(again, store, now, now + samples.ms(50))
        assert now < began + samples.seconds(8)
    assert now - last_order > election.LEADER_LEASE + PLATFORM_LEASE


def test_paused_member_does_not_overwrite_successor():
    """Guards against a record that hides who gives orders.

    A member that waits is paused for so long that another one takes the seat
    and gives orders. Its late record would tell the next one of a short wait.
    """
    store, now = FakeStore(), samples.seconds(0)
    first, paused = Member("a", now), Member("b", now)
    now = run_until(first, store, now, samples.seconds(1))
    paused.seat.observe_record(store.record, now)
    now = run_until(paused, store, now, now + samples.seconds(8))
    other = Member("c", now)
    other.seat.observe_record(store.record, now)
    while not other.is_active(now):
        now = run_until(other, store, now, now + samples.ms(50))
    assert store.record.active
    for _ in range(20):
        paused.act(now)
        paused.answer(store, now)
        other.act(now)
        other.answer(store, now)
        now += samples.ms(50)
    assert (store.record.machine, store.record.active) == ("c", True)


class TwoMembers(stateful.RuleBasedStateMachine):
    """Any mixture of pauses, losses and reassignments keeps orders apart.

    Guards against orders of two machines within the lease time, and against a
    lower or equal token after a higher one.
    """

    def __init__(self):
        super().__init__()
        self.now = samples.seconds(0)
        self.store = FakeStore()
        self.members = [Member("a", self.now), Member("b", self.now)]
        self.last_order = None  # Machine, time and token of the last order.

    def _send_orders(self):
        for machine in self.members:
            if not machine.is_active(self.now):
                continue
            if (
                self.last_order is not None
                and self.last_order[0] != machine.name
            ):
                assert self.now - self.last_order[1] > PLATFORM_LEASE
                assert machine.seat.fencing_token > self.last_order[2]
            self.last_order = (
                machine.name,
                self.now,
                machine.seat.fencing_token,
            )

    @stateful.rule(
        steps=strategies.integers(1, 80), which=strategies.integers(0, 2)
    )
    def run(self, steps, which):
        for _ in range(steps):
            self.now += samples.ms(50)
            for index, machine in enumerate(self.members):
                if which in (index, 2):
                    machine.act(self.now)
                    machine.answer(self.store, self.now)
            self._send_orders()

    @stateful.rule(which=strategies.integers(0, 1), lost=strategies.booleans())
    def lose_response(self, which, lost):
        machine = self.members[which]
        machine.act(self.now)
        machine.answer(self.store, self.now, lost=lost, refused=not lost)
        self._send_orders()

    @stateful.rule(which=strategies.integers(0, 1))
    def delay_write(self, which):
        machine = self.members[which]
        machine.act(self.now)
        if machine.waiting is None:
            return
        if isinstance(machine.waiting[0], election.WriteRecord):
            self.store.delayed_writes.append(machine.waiting[0])
        machine.answer(self.store, self.now, refused=True)

    @stateful.rule()
    def execute_delayed_writes(self):
        late, self.store.delayed_writes = self.store.delayed_writes, []
        for action in late:
            self.store.call(action, self.now)

    @stateful.rule(milliseconds=strategies.integers(1, 12_000))
    def pause(self, milliseconds):
        self.now += datetime.timedelta(milliseconds=milliseconds)
        self._send_orders()

    @stateful.rule(owner=strategies.sampled_from(["a", "b"]))
    def reassign(self, owner):
        self.store.expire(self.now)
        if owner in self.store.members:
            self.store.owner = owner
            self.store.generation += 1
        self._send_orders()

    @stateful.rule(which=strategies.integers(0, 1))
    def restart(self, which):
        name = self.members[which].name
        self.members[which] = Member(name, self.now)
        self.members[which].seat.observe_record(self.store.record, self.now)

    @stateful.rule(which=strategies.integers(0, 1))
    def stop(self, which):
        for action in self.members[which].seat.resign():
            self.store.call(action, self.now)
        name = self.members[which].name
        self.members[which] = Member(name, self.now)
        for machine in self.members:
            machine.seat.observe_record(self.store.record, self.now)


TestTwoMembers = TwoMembers.TestCase
TestTwoMembers.settings = hypothesis_settings.make_settings(
    max_examples=200, stateful_step_count=60
)


def test_intervals_are_ordered():
    """Guards against constants under which two holders could overlap."""
    assert election.RENEW_INTERVAL * 2 < election.SESSION_TIMEOUT
    assert election.SESSION_TIMEOUT < election.LEADER_LEASE
