"""Tests of the leader election with a store that comes back from a copy."""

import dataclasses
import itertools

import core_samples as samples
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings
import pytest
import test_core_election

from quetzalgauge import ids
from quetzalgauge.core import election

ZONE = samples.ZONE
PLATFORM_LEASE = test_core_election.PLATFORM_LEASE
FULL_DELAY = (
    election.LEADER_LEASE + PLATFORM_LEASE + election.CLOCK_DRIFT_MARGIN
)
STEP = samples.ms(50)


def make_store(era=1):
    store = test_core_election.FakeStore()
    store.era = ids.StoreEra(era)
    return store


def run(store, now, duration, *members):
    """Lets members call the store; returns the time and who was active when."""
    active = []
    for _ in range(int(duration / STEP)):
        now += STEP
        for member in members:
            member.send_call(now)
            member.complete_call(store, now)
            if member.is_active(now):
                active.append((now, member.name))
    return now, active


def start(store, **options):
    """Returns a member that is active, and the time."""
    now = samples.seconds(0)
    member = test_core_election.Member("a", now, **options)
    while not member.is_active(now):
        assert now < samples.seconds(60)
        now, _ = run(store, now, STEP, member)
    return member, now


@pytest.mark.parametrize(
    ("era", "is_first_start", "is_immediate"),
    [(0, False, True), (1, True, True), (1, False, False), (2, True, False)],
)
def test_a_missing_record_proves_nothing_in_a_later_era(
    era, is_first_start, is_immediate
):
    """Guards against a leader beside one whose record the store has lost."""
    _, now = start(make_store(era), is_first_start=is_first_start)
    assert (now < samples.seconds(1)) == is_immediate
    assert is_immediate or now >= FULL_DELAY


RECORDS = {
    "released": {"released": True},
    "own": {"machine": "b"},
    "inactive": {"active": False, "takeover_delay_left": samples.ms(10)},
}


@pytest.mark.parametrize("era", [1, 2])
@pytest.mark.parametrize("options", RECORDS.values(), ids=RECORDS)
def test_a_record_of_an_earlier_era_proves_nothing(options, era):
    """Guards against a second leader after the store lost the newest record."""
    store = make_store(2)
    record = election.LeaderRecord(ZONE, "c", "10.0.0.3:1", 1, era=era)
    store.record = dataclasses.replace(record, **options)
    member = test_core_election.Member("b", samples.seconds(0))
    member.election.observe_record(store.record, samples.seconds(0))
    _, active = run(store, samples.seconds(0), samples.seconds(20), member)
    waits_for_all = active[0][0] >= FULL_DELAY
    assert waits_for_all == (era == 1)


def test_a_leader_goes_on_through_a_restoration():
    """Guards against a zone without orders after each restoration."""
    store = make_store()
    leader, now = start(store)
    tokens = []
    for age in (0.5, 2.0, 2.0):
        now, _ = run(store, now, samples.seconds(1), leader)
        tokens.append(leader.election.fencing_token)
        store.restore(now, samples.seconds(age))
        now, active = run(store, now, samples.seconds(1), leader)
        assert len(active) == samples.seconds(1) / STEP
        assert store.record.era == store.era
    tokens.append(leader.election.fencing_token)
    assert tokens == sorted(set(tokens))


def test_a_lease_is_not_extended_before_its_record_is_written():
    """Guards against a second leader that has not seen the first one go on.

    The second one owned the partition of the new era for a while.
    """
    store = make_store()
    leader, now = start(store)
    now, _ = run(store, now, samples.seconds(1), leader)
    expires_at = leader.election.active_until(now)
    store.restore(now, samples.seconds(0.5))
    for _ in range(100):
        now += STEP
        leader.send_call(now)
        is_write = leader.pending_call is not None and isinstance(
            leader.pending_call[0], election.WriteRecord
        )
        leader.complete_call(store, now, request_failed=is_write)
    assert leader.election.active_until(now) <= expires_at


def test_a_member_does_not_go_on_with_a_delay_of_another_era():
    """Guards against a successor that counts time before the restoration."""
    store = make_store()
    first, now = start(store)
    now, _ = run(store, now, samples.seconds(1), first)
    second = test_core_election.Member("b", now)
    second.election.observe_record(store.record, now)
    now, _ = run(store, now, samples.seconds(11), second)
    store.restore(now, samples.seconds(0.5))
    restored_at = now
    now, active = run(store, now, samples.seconds(14), second)
    assert active[0][0] >= restored_at + FULL_DELAY


@pytest.mark.parametrize("call", [election.ReadRecord, election.WriteRecord])
def test_a_call_across_eras_proves_nothing(call):
    """Guards against a condition that holds by accident.

    The end offset was read in one era; the write is answered in another.
    """
    store = make_store()
    leader, now = start(store)
    second = test_core_election.Member("b", now)
    second.election.observe_record(store.record, now)
    now, _ = run(store, now, samples.seconds(1), leader)
    while not (
        second.pending_call and isinstance(second.pending_call[0], call)
    ):
        second.complete_call(store, now)
        now += STEP
        second.send_call(now)
        assert now < samples.seconds(30)
    store.restore(now, samples.seconds(0.2))
    second.complete_call(store, now)
    second.send_call(now)
    assert isinstance(second.pending_call[0], election.Join)


def test_results_of_an_earlier_era_are_outdated():
    """Guards against a lease from a response that was overtaken."""
    store = make_store()
    leader, now = start(store)
    expires_at = leader.election.active_until(now)
    leader.election.observe_era(ids.StoreEra(2), now)
    now += STEP
    for era in (ids.UNNAMED_ERA, 0, 1):
        leader.send_call(now)
        (action, _), leader.pending_call = leader.pending_call, None
        assert isinstance(action, election.Join)
        event = election.JoinResult(now, 1, True, era=ids.StoreEra(era))
        leader.election.handle_event(event, now)
    assert leader.election.active_until(now) == expires_at


class RestoredStore(stateful.RuleBasedStateMachine):
    """Three members and a store that comes back from copies.

    Guards against orders of two machines within the platform lease, against
    fencing tokens that fall, and against a zone that stays without a leader.
    The clocks of the members drift apart within the margin.
    """

    RATES = (1.0, 0.991, 1.009)
    # Without a call for this time, a member's session has ended.
    LAPSE_MS = 1600

    def __init__(self):
        super().__init__()
        self.now = samples.seconds(10)
        self.store = make_store()
        self.available_at = self.now
        self.members = [
            test_core_election.Member(name, self.clock(index))
            for index, name in enumerate("abc")
        ]
        self.cut_off = set()
        self.late_answers = [None] * len(self.members)
        self.last_order = None

    def clock(self, index):
        return self.now * self.RATES[index]

    def _call(self, index, **options):
        member = self.members[index]
        if self.late_answers[index] is not None:
            return
        member.send_call(self.clock(index))
        if index in self.cut_off or self.now < self.available_at:
            options = {"request_failed": True}
        if member.pending_call is None:
            return
        action, sent_at = member.pending_call
        member.pending_call = None
        event = election.make_failure(action, sent_at)
        if not options.get("request_failed"):
            result = self.store.execute(action, self.now)
            if isinstance(result, election.JoinResult):
                result = dataclasses.replace(result, sent_at=sent_at)
            if options.get("is_late"):
                self.late_answers[index] = result
                return
            if not options.get("response_lost"):
                event = result
        elif isinstance(action, election.WriteRecord):
            self.store.delayed_writes.append(action)
        self._deliver(index, event)

    def _deliver(self, index, event):
        election_ = self.members[index].election
        election_.handle_event(event, self.clock(index))
        if index not in self.cut_off and self.now >= self.available_at:
            election_.observe_record(self.store.record, self.clock(index))

    def _send_orders(self):
        for index, member in enumerate(self.members):
            if not member.is_active(self.clock(index)):
                continue
            order = (member.name, self.now, member.election.fencing_token)
            if self.last_order is not None and self.last_order[0] != order[0]:
                assert self.now - self.last_order[1] > PLATFORM_LEASE
                assert order[2] > self.last_order[2]
            self.last_order = order

    def _call_without_writes(self, which):
        self.members[which].send_call(self.clock(which))
        call = self.members[which].pending_call
        is_write = call and isinstance(call[0], election.WriteRecord)
        self._call(which, request_failed=bool(is_write))
        self._send_orders()

    def _step(self, which):
        self.now += STEP
        for index in which:
            self._call(index)
        self._send_orders()

    @stateful.initialize(
        without_first=strategies.integers(0, 260),
        age=strategies.floats(0.5, 10.0),
        first=strategies.sets(strategies.integers(0, 2), min_size=1),
        steps=strategies.integers(0, 140),
        interrupted_after=strategies.none() | strategies.integers(35, 90),
    )
    def restore_beside_a_takeover(
        self, without_first, age, first, steps, interrupted_after
    ):
        """Has one member take over before a restoration, others after it.

        Or has the takeover after it interrupted by the leader of before.
        """
        self.run(200, {0})
        if interrupted_after is None:
            self.run(without_first, {1, 2})
        self.restore(age, 0.0)
        if interrupted_after is not None:
            self.interrupt_takeover(interrupted_after)
        self.run(steps, first)

    def interrupt_takeover(self, after):
        """Has a takeover go on after another member owned the partition.

        That one could not write its record.
        """
        self.run(after, {1})
        self.pause(self.LAPSE_MS)
        self._call_without_writes(0)
        self.pause(self.LAPSE_MS)
        self.run(200, {1})

    @stateful.rule(
        steps=strategies.integers(1, 80),
        which=strategies.sets(strategies.integers(0, 2), min_size=1),
    )
    def run(self, steps, which):
        for _ in range(steps):
            self._step(sorted(which))

    @stateful.rule(
        steps=strategies.integers(1, 40), which=strategies.integers(0, 2)
    )
    def lose_writes(self, steps, which):
        """Lets all but one member run, and that one without its writes."""
        for _ in range(steps):
            self._step([index for index in range(3) if index != which])
            self._call_without_writes(which)

    @stateful.rule(
        age=strategies.sampled_from([0.5, 1.0, 3.0, 6.0, 10.0]),
        away=strategies.sampled_from([0.0, 0.2, 1.0, 3.0]),
    )
    def restore(self, age, away):
        self.store.restore(self.now, samples.seconds(age))
        self.available_at = self.now + samples.seconds(away)

    @stateful.rule(which=strategies.integers(0, 2))
    def hear_of_the_era(self, which):
        if which not in self.cut_off and self.now >= self.available_at:
            self.members[which].election.observe_era(
                self.store.era, self.clock(which)
            )

    @stateful.rule(
        which=strategies.integers(0, 2),
        fault=strategies.sampled_from(
            ["response_lost", "request_failed", "is_late"]
        ),
    )
    def disturb(self, which, fault):
        self._call(which, **{fault: True})
        self._send_orders()

    @stateful.rule()
    def deliver_late_answers(self):
        for index, event in enumerate(self.late_answers):
            self.late_answers[index] = None
            if event is not None:
                self._deliver(index, event)
        self._send_orders()

    @stateful.rule()
    def execute_delayed_writes(self):
        writes, self.store.delayed_writes = self.store.delayed_writes, []
        for action in writes:
            self.store.execute(action, self.now)

    @stateful.rule(which=strategies.integers(0, 2))
    def cut_or_heal(self, which):
        self.cut_off ^= {which}

    @stateful.rule(milliseconds=strategies.integers(1, 12_000))
    def pause(self, milliseconds):
        self.now += samples.ms(milliseconds)
        self._send_orders()

    @stateful.rule(owner=strategies.sampled_from("abc"))
    def reassign(self, owner):
        self.store.expire(self.now)
        if owner in self.store.members:
            self.store.owner = owner
            self.store.generation += 1

    @stateful.rule(
        which=strategies.integers(0, 2), is_stop=strategies.booleans()
    )
    def restart(self, which, is_stop):
        member = self.members[which]
        if is_stop and which not in self.cut_off:
            for action in member.election.resign():
                self.store.execute(action, self.now)
        self.late_answers[which] = None
        member = test_core_election.Member(member.name, self.clock(which))
        member.election.observe_record(self.store.record, self.clock(which))
        self.members[which] = member

    def teardown(self):
        self.cut_off = set()
        self.deliver_late_answers()
        # The lapse of the last owner's session, the standby's next poll, the
        # grace period of the last leader, and the delay itself.
        bound = (
            election.SESSION_TIMEOUT
            + election.STANDBY_POLL_INTERVAL
            + election.LAST_LEADER_GRACE_PERIOD
            + FULL_DELAY
            + samples.seconds(2)
        ) * 1.01
        end = max(self.now, self.available_at) + bound
        while not any(
            member.is_active(self.clock(index))
            for index, member in enumerate(self.members)
        ):
            assert self.now < end
            self._step(range(3))


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = hypothesis_settings.make_settings(
    max_examples=200, stateful_step_count=50
)


def test_fencing_tokens_rise_from_era_to_era():
    """Guards against orders with a lower token after a restoration."""
    eras = [ids.UNNAMED_ERA, *map(ids.StoreEra, (0, 1, 2, 1000))]
    tokens = [election.make_fencing_token(era, 5) for era in eras]
    assert tokens[0] == 5
    assert all(a < b for a, b in itertools.pairwise(tokens))
    for era, token in zip(eras, tokens, strict=True):
        assert election.get_generation(era, token) == 5
