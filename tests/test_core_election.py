"""Tests of the leader election of a zone.

The platform lease is the least time between orders of two machines to one
target. Two machines must never give orders within it.
"""

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
    """A store with one group and one record.

    It may do whatever the platform's rules allow, such as reassign the
    partition or execute a write whose response was lost.
    """

    def __init__(self):
        self.members = {}  # Machine: time of its last join.
        self.owner = None
        self.generation = 0
        self.record = None
        self.next_offset = 0
        self.delayed_writes = []  # Writes without a response, executed later.
        self.era = election.ids.UNNAMED_ERA
        self.copies = []  # Times, and what the store held then.

    def expire(self, now):
        for machine, joined_at in list(self.members.items()):
            if now - joined_at > election.SESSION_TIMEOUT:
                del self.members[machine]
                self.generation += 1
                if self.owner == machine:
                    self.owner = None
        if self.owner is None and self.members:
            self.owner = min(self.members)
            self.generation += 1

    def keep_copy(self, now):
        held = (
            dict(self.members),
            self.owner,
            self.generation,
            self.record,
            self.next_offset,
        )
        self.copies.append((now, held))

    def restore(self, now, age):
        """Comes back from a copy of some time ago, in another era."""
        if not self.copies:
            self.keep_copy(now)
        _, held = max(
            (copy for copy in self.copies if copy[0] <= now - age),
            key=lambda copy: copy[0],
            default=self.copies[0],
        )
        members, self.owner, self.generation, self.record, offset = held
        self.members = dict(members)
        self.next_offset = offset
        self.era = max(0, self.era) + 1

    def execute(self, action, now):
        """Returns the result of a call, with the era in which it was made."""
        result = self._execute(action, now)
        self.keep_copy(now)
        if isinstance(result, election.LeaveResult):
            return result
        return dataclasses.replace(result, era=self.era)

    def _execute(self, action, now):
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


class Member:
    """A group member: one instance's election and its calls to the store."""

    def __init__(self, name, now, is_first_start=False):
        self.name = name
        self.election = election.LeaderElection(
            ZONE,
            name,
            "10.0.0.1:1",
            PLATFORM_LEASE,
            samples.seconds(0),
            now,
            is_first_start,
        )
        self.pending_call = None  # The action in progress and when it was sent.
        self.election.observe_record(None, now)

    def send_call(self, now, is_leader_alive=False):
        if self.pending_call is None:
            for action in self.election.poll_actions(is_leader_alive, now):
                self.pending_call = (action, now)

    def complete_call(
        self, store, now, response_lost=False, request_failed=False
    ):
        if self.pending_call is None:
            return
        action, sent_at = self.pending_call
        self.pending_call = None
        event = election.make_failure(action, sent_at)
        if not request_failed:
            result = store.execute(action, now)
            if not response_lost:
                event = result
        if isinstance(event, election.JoinResult):
            event = dataclasses.replace(event, sent_at=sent_at)
        self.election.handle_event(event, now)
        self.election.observe_record(store.record, now)

    def is_active(self, now):
        return now < self.election.active_until(now)


def run_until(member, store, now, end):
    while now < end:
        now += samples.ms(50)
        member.send_call(now)
        member.complete_call(store, now)
    return now


def test_first_leader_is_active_without_delay():
    """Guards against a needless delay before the first request in a zone.

    The zone has no record, so there is no lease to wait for.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a", now)
    now = run_until(leader, store, now, samples.seconds(1))
    assert leader.is_active(now)
    assert leader.election.fencing_token >= 1


def test_leader_stays_active_during_store_outage():
    """Guards against cold models that cannot be loaded while the store is down.

    All calls to the store fail for less than the leader lease.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a", now)
    now = run_until(leader, store, now, samples.seconds(1))
    end = now + samples.seconds(4.5)
    while now < end:
        now += samples.ms(100)
        leader.send_call(now)
        leader.complete_call(store, now, request_failed=True)
        assert leader.is_active(now)


def test_leader_is_inactive_after_its_lease():
    """Guards against a leader that never learns that it was replaced.

    It has no contact with the store for longer than the leader lease.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a", now)
    now = run_until(leader, store, now, samples.seconds(1))
    now += election.LEADER_LEASE + samples.ms(600)
    assert not leader.is_active(now)


def test_time_until_active_is_unknown_after_lease():
    """Guards against callers that wait for orders that nobody may give.

    The store is down for longer than the leader lease, or at the end of the
    takeover delay.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a", now)
    now = run_until(leader, store, now, samples.seconds(1))
    assert leader.election.time_until_active(now) == samples.seconds(0)
    other = Member("b", now)
    other.election.observe_record(store.record, now)
    now += election.LEADER_LEASE + samples.seconds(1)
    assert leader.election.time_until_active(now) is None
    now = run_until(other, store, now, now + samples.seconds(1))
    assert other.election.time_until_active(now) > PLATFORM_LEASE
    now += election.LEADER_LEASE + PLATFORM_LEASE + samples.seconds(1)
    assert other.election.time_until_active(now) is None


def test_restarted_machine_is_active_without_delay():
    """Guards against a takeover delay after each restart of an instance.

    The zone's last record is from the same machine, so no other one was active.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a", now)
    now = run_until(leader, store, now, samples.seconds(1))
    restarted = Member("a", now)
    restarted.election.observe_record(store.record, now)
    now = run_until(restarted, store, now, now + samples.seconds(1))
    assert restarted.is_active(now)


def test_replacement_machine_waits_for_takeover_delay():
    """Guards against two machines active within the platform lease.

    A replacement runs under the same instance name on another machine, so it
    must not be taken for the machine that was active before.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a@10.0.0.1", now)
    now = run_until(leader, store, now, samples.seconds(1))
    last_active_at = now
    other = Member("a@10.0.0.2", now)
    other.election.observe_record(store.record, now)
    while not other.is_active(now):
        now = run_until(other, store, now, now + samples.ms(50))
        assert now < samples.seconds(30)
    assert now - last_active_at > PLATFORM_LEASE


def test_released_leadership_is_taken_over_after_platform_lease():
    """Guards against a zone without a leader after a graceful shutdown.

    The leader releases the zone and gives no more orders. Its successor waits
    only for the platform lease, the least time between orders of two machines
    to one target, and not for the leader lease as well.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a", now)
    other = Member("b", now)
    now = run_until(leader, store, now, samples.seconds(1))
    for action in leader.election.resign():
        store.execute(action, now)
    released_at = now
    other.election.observe_record(store.record, now)
    while not other.is_active(now):
        now = run_until(other, store, now, now + samples.ms(50))
        assert now < released_at + samples.seconds(6)
    assert now - released_at > PLATFORM_LEASE


def test_standby_does_not_join_while_leader_is_alive():
    """Guards against unnecessary changes of leader.

    A standby must not join the group while the leader sends heartbeats.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a", now)
    now = run_until(leader, store, now, samples.seconds(1))
    other = Member("b", now)
    other.election.observe_record(store.record, now)
    for _ in range(100):
        now += samples.ms(100)
        other.send_call(now, is_leader_alive=True)
        assert other.pending_call is None


def test_reassignment_restarts_takeover_delay():
    """Guards against a takeover delay that counts time with another leader.

    The new leader loses the partition and regains it without noticing. The old
    one was active in between and then loses its connection to the store.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader, other = Member("a", now), Member("b", now)
    now = run_until(leader, store, now, samples.seconds(1))
    store.members["b"] = now
    store.owner, store.generation = "b", store.generation + 1
    other.election.observe_record(None, now)
    now = run_until(other, store, now, now + samples.ms(400))
    store.owner, store.generation = "a", store.generation + 1
    end = now + samples.seconds(4.5)
    while now < end:
        now = run_until(leader, store, now, now + samples.ms(100))
        store.members["b"] = now
    disconnected_at = now
    store.owner, store.generation = "b", store.generation + 1
    last_active_at = now
    while now < disconnected_at + samples.seconds(15):
        now = run_until(other, store, now, now + samples.ms(50))
        leader.send_call(now)
        leader.complete_call(store, now, request_failed=True)
        if leader.is_active(now):
            last_active_at = now
        if other.is_active(now):
            assert now - last_active_at > PLATFORM_LEASE


@pytest.mark.parametrize("successor", ["b", "c"])
def test_takeover_delay_continues_after_restart(successor):
    """Guards against a zone without an active leader in a rolling restart.

    The instances of the zone restart in turn. Each new leader waited for the
    full lease of a leader that had stopped long before, so none became active
    while the restarts went on.
    """
    store, now = FakeStore(), samples.seconds(0)
    leader = Member("a", now)
    last_active_at = now = run_until(leader, store, now, samples.seconds(1))
    other = Member("b", now)
    other.election.observe_record(store.record, now)
    now = run_until(other, store, now, now + samples.seconds(8))
    assert not other.is_active(now)
    next_leader = Member(successor, now)
    next_leader.election.observe_record(store.record, now)
    restarted_at = now
    while not next_leader.is_active(now):
        now = run_until(next_leader, store, now, now + samples.ms(50))
        assert now < restarted_at + samples.seconds(8)
    assert now - last_active_at > election.LEADER_LEASE + PLATFORM_LEASE


def test_paused_member_does_not_overwrite_successor():
    """Guards against a record that hides the active leader.

    A leader is paused during its takeover delay for so long that another member
    becomes the owner and active. The late record of the paused one would state
    a short remaining delay to the next leader.
    """
    store, now = FakeStore(), samples.seconds(0)
    first, paused = Member("a", now), Member("b", now)
    now = run_until(first, store, now, samples.seconds(1))
    paused.election.observe_record(store.record, now)
    now = run_until(paused, store, now, now + samples.seconds(8))
    other = Member("c", now)
    other.election.observe_record(store.record, now)
    while not other.is_active(now):
        now = run_until(other, store, now, now + samples.ms(50))
    assert store.record.active
    for _ in range(20):
        paused.send_call(now)
        paused.complete_call(store, now)
        other.send_call(now)
        other.complete_call(store, now)
        now += samples.ms(50)
    assert (store.record.machine, store.record.active) == ("c", True)


class TwoMembers(stateful.RuleBasedStateMachine):
    """Runs two members with pauses, lost responses and reassignments.

    An argument `which` is the index of a member; 2 stands for both.

    Guards against orders of two machines within the platform lease, and
    against a change of leader without a higher fencing token.
    """

    def __init__(self):
        super().__init__()
        self.now = samples.seconds(0)
        self.store = FakeStore()
        self.members = [Member("a", self.now), Member("b", self.now)]
        # Member, time and fencing token of the last order.
        self.last_order = None

    def _send_orders(self):
        for member in self.members:
            if not member.is_active(self.now):
                continue
            if (
                self.last_order is not None
                and self.last_order[0] != member.name
            ):
                assert self.now - self.last_order[1] > PLATFORM_LEASE
                assert member.election.fencing_token > self.last_order[2]
            self.last_order = (
                member.name,
                self.now,
                member.election.fencing_token,
            )

    @stateful.rule(
        steps=strategies.integers(1, 80), which=strategies.integers(0, 2)
    )
    def run(self, steps, which):
        for _ in range(steps):
            self.now += samples.ms(50)
            for index, member in enumerate(self.members):
                if which in (index, 2):
                    member.send_call(self.now)
                    member.complete_call(self.store, self.now)
            self._send_orders()

    @stateful.rule(
        which=strategies.integers(0, 1), response_lost=strategies.booleans()
    )
    def lose_response(self, which, response_lost):
        member = self.members[which]
        member.send_call(self.now)
        member.complete_call(
            self.store,
            self.now,
            response_lost=response_lost,
            request_failed=not response_lost,
        )
        self._send_orders()

    @stateful.rule(which=strategies.integers(0, 1))
    def delay_write(self, which):
        member = self.members[which]
        member.send_call(self.now)
        if member.pending_call is None:
            return
        if isinstance(member.pending_call[0], election.WriteRecord):
            self.store.delayed_writes.append(member.pending_call[0])
        member.complete_call(self.store, self.now, request_failed=True)

    @stateful.rule()
    def execute_delayed_writes(self):
        writes, self.store.delayed_writes = self.store.delayed_writes, []
        for action in writes:
            self.store.execute(action, self.now)

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
        self.members[which].election.observe_record(self.store.record, self.now)

    @stateful.rule(which=strategies.integers(0, 1))
    def stop(self, which):
        for action in self.members[which].election.resign():
            self.store.execute(action, self.now)
        name = self.members[which].name
        self.members[which] = Member(name, self.now)
        for member in self.members:
            member.election.observe_record(self.store.record, self.now)


TestTwoMembers = TwoMembers.TestCase
TestTwoMembers.settings = hypothesis_settings.make_settings(
    max_examples=200, stateful_step_count=60
)


def test_intervals_are_ordered():
    """Guards against intervals under which two leaders could overlap.

    A leader must be able to miss a renewal within its session, and its lease
    must outlast the session timeout.
    """
    assert election.RENEW_INTERVAL * 2 < election.SESSION_TIMEOUT
    assert election.SESSION_TIMEOUT < election.LEADER_LEASE
