"""The seat of a zone: never two machines that order within the lease time."""

import dataclasses
import datetime

import core_samples as samples
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge.core import seat

LEASE = samples.seconds(3)
ZONE = samples.ZONE


class Store:
    """The store's group and record, with what the rules allow it to do."""

    def __init__(self):
        self.members = {}  # Machine: time of its last join.
        self.owner = None
        self.generation = 0
        self.record = None
        self.position = 0
        self.late = []  # Writes that were not answered and come later.

    def expire(self, now):
        for machine, at in list(self.members.items()):
            if now - at > seat.SEAT_TIME:
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
            case seat.Join():
                if action.machine not in self.members:
                    self.generation += 1
                self.members[action.machine] = now
                self.expire(now)
                return seat.Joined(
                    now, self.generation, self.owner == action.machine
                )
            case seat.ReadOwner():
                return seat.OwnerRead(self.owner)
            case seat.ReadRecord():
                return seat.RecordRead(self.record, self.position)
            case seat.WriteRecord():
                conflict = action.position not in (None, self.position)
                if not conflict:
                    self.record = action.record
                    self.position += 1
                return seat.RecordWritten(action.record, conflict)
            case seat.Release():
                if self.record == action.record:
                    self.record = dataclasses.replace(
                        action.record, released=True
                    )
                    self.position += 1
                return seat.Left()
            case seat.Leave():
                self.members.pop(action.machine, None)
                self.generation += 1
                if self.owner == action.machine:
                    self.owner = None
                self.expire(now)
                return seat.Left()


def failed(action, now):
    match action:
        case seat.Join():
            return seat.Joined(now, 0, False, failed=True)
        case seat.ReadOwner():
            return seat.OwnerRead(None, failed=True)
        case seat.ReadRecord():
            return seat.RecordRead(None, failed=True)
        case seat.WriteRecord():
            return seat.RecordWritten(action.record, failed=True)
    return seat.Left()


class Machine:
    """One instance's claim, with the calls of its seat task."""

    def __init__(self, name, now):
        self.name = name
        self.seat = seat.Seat(
            ZONE, name, "10.0.0.1:1", LEASE, samples.seconds(0), now
        )
        self.waiting = None  # An action and when it was asked.
        self.seat.note_last(None, now)

    def act(self, now, alive=False):
        if self.waiting is None:
            for action in self.seat.act(alive, now):
                self.waiting = (action, now)

    def answer(self, store, now, lost=False, refused=False):
        if self.waiting is None:
            return
        action, asked = self.waiting
        self.waiting = None
        event = failed(action, asked)
        if not refused:
            reached = store.call(action, now)
            if not lost:
                event = reached
        if isinstance(event, seat.Joined):
            event = seat.Joined(
                asked, event.generation, event.has_seat, event.failed
            )
        self.seat.step(event, now)
        self.seat.note_last(store.record, now)

    def may_order(self, now):
        return now < self.seat.may_order_until(now)


def run_until(machine, store, now, until):
    while now < until:
        now += samples.ms(50)
        machine.act(now)
        machine.answer(store, now)
    return now


def test_the_first_holder_orders_at_once():
    """Guards against the loss of the time before the first request."""
    store, now = Store(), samples.seconds(0)
    one = Machine("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    assert one.may_order(now)
    assert one.seat.token >= 1


def test_a_holder_outlasts_an_outage_of_the_store():
    """Guards against cold models that nobody serves while the store is down."""
    store, now = Store(), samples.seconds(0)
    one = Machine("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    end = now + samples.seconds(4.5)
    while now < end:
        now += samples.ms(100)
        one.act(now)
        one.answer(store, now, refused=True)
        assert one.may_order(now)


def test_a_holder_stops_when_it_may_have_been_replaced():
    """Guards against a holder that never learns that it was replaced."""
    store, now = Store(), samples.seconds(0)
    one = Machine("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    now += seat.ORDER_TIME + samples.ms(600)
    assert not one.may_order(now)


def test_a_holder_whose_right_has_ended_promises_no_orders():
    """Guards against callers who wait for orders that nobody may give.

    The store is down for longer than the right lasts, or when it should begin.
    """
    store, now = Store(), samples.seconds(0)
    one = Machine("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    assert one.seat.first_order_in(now) == samples.seconds(0)
    other = Machine("b", now)
    other.seat.note_last(store.record, now)
    now += seat.ORDER_TIME + samples.seconds(1)
    assert one.seat.first_order_in(now) is None
    now = run_until(other, store, now, now + samples.seconds(1))
    assert other.seat.first_order_in(now) > LEASE
    now += seat.ORDER_TIME + LEASE + samples.seconds(1)
    assert other.seat.first_order_in(now) is None


def test_a_restarted_machine_goes_on_at_once():
    """Guards against a long pause after each restart of an instance."""
    store, now = Store(), samples.seconds(0)
    one = Machine("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    again = Machine("a", now)
    again.seat.note_last(store.record, now)
    now = run_until(again, store, now, now + samples.seconds(1))
    assert again.may_order(now)


def test_a_replacement_at_the_same_name_waits():
    """Guards against two machines that take turns within the lease time."""
    store, now = Store(), samples.seconds(0)
    one = Machine("a@10.0.0.1", now)
    now = run_until(one, store, now, samples.seconds(1))
    last_order = now
    other = Machine("a@10.0.0.2", now)
    other.seat.note_last(store.record, now)
    while not other.may_order(now):
        now = run_until(other, store, now, now + samples.ms(50))
        assert now < samples.seconds(30)
    assert now - last_order > LEASE


def test_a_released_seat_is_taken_after_the_lease_time():
    """Guards against a zone without a holder after a planned stop."""
    store, now = Store(), samples.seconds(0)
    one = Machine("a", now)
    other = Machine("b", now)
    now = run_until(one, store, now, samples.seconds(1))
    for action in one.seat.leave():
        store.call(action, now)
    left = now
    other.seat.note_last(store.record, now)
    while not other.may_order(now):
        now = run_until(other, store, now, now + samples.ms(50))
        assert now < left + samples.seconds(6)
    assert now - left > LEASE


def test_a_standby_leaves_the_seat_to_a_holder_that_is_heard():
    """Guards against handovers that nobody needs."""
    store, now = Store(), samples.seconds(0)
    one = Machine("a", now)
    now = run_until(one, store, now, samples.seconds(1))
    other = Machine("b", now)
    other.seat.note_last(store.record, now)
    for _ in range(100):
        now += samples.ms(100)
        other.act(now, alive=True)
        assert other.waiting is None


def test_a_seat_that_goes_back_and_forth_starts_every_wait_anew():
    """Guards against a wait that counts time in which another had the seat.

    The new holder loses the seat and gets it back without having noticed,
    while the old one has ordered in between and is now cut off.
    """
    store, now = Store(), samples.seconds(0)
    one, other = Machine("a", now), Machine("b", now)
    now = run_until(one, store, now, samples.seconds(1))
    store.members["b"] = now
    store.owner, store.generation = "b", store.generation + 1
    other.seat.note_last(None, now)
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
        if one.may_order(now):
            last_order = now
        if other.may_order(now):
            assert now - last_order > LEASE


@pytest.mark.parametrize("successor", ["b", "c"])
def test_a_wait_for_the_seat_goes_on_after_a_restart(successor):
    """The pattern: the instances of a zone are stopped and started in turn.

    Guards against a zone without orders for as long as that lasts: each start
    waited for the whole right of a holder that had long gone.
    """
    store, now = Store(), samples.seconds(0)
    one = Machine("a", now)
    last_order = now = run_until(one, store, now, samples.seconds(1))
    other = Machine("b", now)
    other.seat.note_last(store.record, now)
    now = run_until(other, store, now, now + samples.seconds(8))
    assert not other.may_order(now)
    again = Machine(successor, now)
    again.seat.note_last(store.record, now)
    began = now
    while not again.may_order(now):
        now = run_until(again, store, now, now + samples.ms(50))
        assert now < began + samples.seconds(8)
    assert now - last_order > seat.ORDER_TIME + LEASE


def test_a_member_that_was_paused_does_not_write_over_its_successor():
    """Guards against a record that hides who gives orders.

    A member that waits is paused for so long that another one takes the seat
    and gives orders. Its late record would tell the next one of a short wait.
    """
    store, now = Store(), samples.seconds(0)
    first, paused = Machine("a", now), Machine("b", now)
    now = run_until(first, store, now, samples.seconds(1))
    paused.seat.note_last(store.record, now)
    now = run_until(paused, store, now, now + samples.seconds(8))
    other = Machine("c", now)
    other.seat.note_last(store.record, now)
    while not other.may_order(now):
        now = run_until(other, store, now, now + samples.ms(50))
    assert store.record.active
    for _ in range(20):
        paused.act(now)
        paused.answer(store, now)
        other.act(now)
        other.answer(store, now)
        now += samples.ms(50)
    assert (store.record.machine, store.record.active) == ("c", True)


class TwoMachines(stateful.RuleBasedStateMachine):
    """Any mixture of pauses, losses and reassignments keeps orders apart.

    Guards against orders of two machines within the lease time, and against a
    lower or equal token after a higher one.
    """

    def __init__(self):
        super().__init__()
        self.now = samples.seconds(0)
        self.store = Store()
        self.machines = [Machine("a", self.now), Machine("b", self.now)]
        self.last = None  # Machine, time and token of the last order.

    def _order_all(self):
        for machine in self.machines:
            if not machine.may_order(self.now):
                continue
            if self.last is not None and self.last[0] != machine.name:
                assert self.now - self.last[1] > LEASE
                assert machine.seat.token > self.last[2]
            self.last = (machine.name, self.now, machine.seat.token)

    @stateful.rule(
        steps=strategies.integers(1, 80), which=strategies.integers(0, 2)
    )
    def run(self, steps, which):
        for _ in range(steps):
            self.now += samples.ms(50)
            for index, machine in enumerate(self.machines):
                if which in (index, 2):
                    machine.act(self.now)
                    machine.answer(self.store, self.now)
            self._order_all()

    @stateful.rule(which=strategies.integers(0, 1), lost=strategies.booleans())
    def lose_answer(self, which, lost):
        machine = self.machines[which]
        machine.act(self.now)
        machine.answer(self.store, self.now, lost=lost, refused=not lost)
        self._order_all()

    @stateful.rule(which=strategies.integers(0, 1))
    def delay_write(self, which):
        machine = self.machines[which]
        machine.act(self.now)
        if machine.waiting is None:
            return
        if isinstance(machine.waiting[0], seat.WriteRecord):
            self.store.late.append(machine.waiting[0])
        machine.answer(self.store, self.now, refused=True)

    @stateful.rule()
    def carry_out_late_writes(self):
        late, self.store.late = self.store.late, []
        for action in late:
            self.store.call(action, self.now)

    @stateful.rule(milliseconds=strategies.integers(1, 12_000))
    def pause(self, milliseconds):
        self.now += datetime.timedelta(milliseconds=milliseconds)
        self._order_all()

    @stateful.rule(owner=strategies.sampled_from(["a", "b"]))
    def reassign(self, owner):
        self.store.expire(self.now)
        if owner in self.store.members:
            self.store.owner = owner
            self.store.generation += 1
        self._order_all()

    @stateful.rule(which=strategies.integers(0, 1))
    def restart(self, which):
        name = self.machines[which].name
        self.machines[which] = Machine(name, self.now)
        self.machines[which].seat.note_last(self.store.record, self.now)

    @stateful.rule(which=strategies.integers(0, 1))
    def stop(self, which):
        for action in self.machines[which].seat.leave():
            self.store.call(action, self.now)
        name = self.machines[which].name
        self.machines[which] = Machine(name, self.now)
        for machine in self.machines:
            machine.seat.note_last(self.store.record, self.now)


TestTwoMachines = TwoMachines.TestCase
TestTwoMachines.settings = hypothesis_settings.make(
    max_examples=200, stateful_step_count=60
)


def test_times_leave_room_for_each_other():
    """Guards against constants under which two holders could overlap."""
    assert seat.RENEW_INTERVAL * 2 < seat.SEAT_TIME
    assert seat.SEAT_TIME < seat.ORDER_TIME
