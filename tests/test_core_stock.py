"""The ledger of a target: nothing is ordered that does not fit."""

import core_samples as samples
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings

from quetzalgauge.core import orders
from quetzalgauge.core import stock
from quetzalgauge.core import targets

NOW = samples.seconds(100)
LOAD, UNLOAD = orders.Operation.LOAD, orders.Operation.UNLOAD


def answer(one, answer_, now=NOW):
    one.use_answer(orders.Answered(one.order, answer_), now)


def read(one, status, now, asked=None):
    return one.use_status(
        orders.StatusRead(one.target, 1, status, asked or now), now
    )


def test_a_ledger_without_a_report_gives_no_order():
    """Guards against orders on what the register said a second ago."""
    one = stock.Stock(
        samples.make_target("t1", samples.ENGINES, models=["m0"]),
        samples.make_engine(samples.MODELS),
    )
    assert not one.can_order(NOW)
    assert one.wants_status(NOW)


def test_an_order_counts_before_it_is_answered():
    """Guards against two orders that fit alone but not together."""
    one = samples.make_stock(models=["m0", "m1"])
    free = one.free_mb(NOW)
    one.make_order(LOAD, "m2", None, 1, NOW)
    assert one.free_mb(NOW) == free - 60_000
    assert not one.can_order(NOW)


def test_an_unload_that_was_accepted_is_not_taken_as_done():
    """Guards against a load into memory that is not free yet."""
    one = samples.make_stock(models=["m0", "m1", "m2"])
    one.make_order(UNLOAD, "m0", None, 1, NOW)
    answer(one, orders.Answer.ACCEPTED)
    assert one.free_mb(NOW) < 60_000
    assert not one.can_order(NOW)


def test_the_order_after_an_unload_proves_it():
    """Guards against a wait for a late report on every swap."""
    one = samples.make_stock(models=["m0", "m1", "m2"], disk=["m3"])
    one.make_order(UNLOAD, "m0", None, 1, NOW)
    answer(one, orders.Answer.ACCEPTED)
    later = NOW + stock.UNLOAD_TIME
    assert one.can_order(later)
    order = one.make_order(LOAD, "m3", None, 1, later)
    assert order.after == 1
    answer(one, orders.Answer.ACCEPTED, later)
    assert set(one.replicas) == {"m1", "m2", "m3"}


def test_a_conflict_keeps_a_model_that_still_unloads():
    """Guards against a busy target that is taken for an empty one."""
    one = samples.make_stock(models=["m0", "m1", "m2"], disk=["m3"])
    one.make_order(UNLOAD, "m0", None, 1, NOW)
    answer(one, orders.Answer.ACCEPTED)
    later = NOW + stock.UNLOAD_TIME
    one.make_order(LOAD, "m3", None, 1, later)
    answer(one, orders.Answer.CONFLICT, later)
    assert one.replicas["m0"].state is stock.State.UNLOADING
    assert "m3" not in one.replicas
    assert not one.can_order(later)


def test_an_order_without_an_answer_is_given_again_unchanged():
    """Guards against a late copy that is carried out beside a new order."""
    one = samples.make_stock(models=["m0"], disk=["m3"])
    order = one.make_order(LOAD, "m3", None, 1, NOW)
    answer(one, orders.Answer.NO_ANSWER)
    assert not one.can_order(NOW + samples.seconds(5))
    later = NOW + stock.REPORT_LAG
    assert one.wants_status(later)
    one.note_asked()
    assert read(one, samples.make_status(["m0"]), later) == order


def test_an_order_without_an_answer_may_have_been_accepted():
    """Guards against a model that is loaded twice or forgotten."""
    one = samples.make_stock(models=["m0"], disk=["m3"])
    one.make_order(LOAD, "m3", None, 1, NOW)
    answer(one, orders.Answer.NO_ANSWER)
    later = NOW + samples.seconds(2)
    one.note_asked()
    assert read(one, samples.make_status(["m0", "m3"], taken=1), later) is None
    assert one.is_ready("m3", later)
    assert one.make_order(UNLOAD, "m0", None, 1, later).after == 1


def test_a_report_from_before_the_last_order_changes_nothing():
    """Guards against a ledger corrected by a report of a moment ago."""
    one = samples.make_stock(models=["m0"], disk=["m3"])
    one.make_order(LOAD, "m3", None, 1, NOW)
    answer(one, orders.Answer.ACCEPTED)
    one.note_asked()
    read(one, samples.make_status(["m0"]), NOW + samples.ms(20))
    assert "m3" in one.replicas


def test_a_report_during_a_load_does_not_hasten_its_end():
    """The pattern: a question that was on its way when the order was taken.

    Guards against callers who are told that a long load is about to end, wait
    for it, and are refused after seconds.
    """
    one = samples.make_stock(models=["m0"])
    one.make_order(LOAD, "m3", None, 1, NOW)
    answer(one, orders.Answer.ACCEPTED)
    later = NOW + samples.seconds(0.2)
    one.note_asked()
    read(one, samples.make_status(["m0"], taken=1, busy=True), later)
    assert one.replicas["m3"].ready_at == NOW + samples.seconds(6)
    assert not one.wants_status(NOW + samples.seconds(5))


def test_the_end_of_an_overdue_load_is_seen_soon():
    """The pattern: a load from the weight store that takes a little longer.

    Guards against a place at the store, and a target, that stay unused for a
    good part of the time that the load took.
    """
    one = samples.make_stock(models=["m0"])
    one.make_order(LOAD, "m3", None, 1, NOW)
    answer(one, orders.Answer.ACCEPTED)
    ended = NOW + samples.seconds(6.3)
    now = NOW
    while "m3" not in one.replicas or not one.is_ready("m3", now):
        now += samples.ms(10)
        one.settle_time(now)
        if one.wants_status(now):
            one.note_asked()
            is_busy = now - samples.ms(100) < ended
            loaded = ["m0"] if is_busy else ["m0", "m3"]
            status = samples.make_status(loaded, taken=1, busy=is_busy)
            read(one, status, now)
    assert now - ended <= samples.ms(400)
    assert one.can_order(now)


def test_a_load_from_the_store_is_ready_only_when_reported():
    """Guards against requests for a model whose load others slow down."""
    one = samples.make_stock(models=["m0"])
    one.make_order(LOAD, "m3", None, 1, NOW)
    answer(one, orders.Answer.ACCEPTED)
    later = NOW + samples.seconds(6.5)
    one.settle_time(later)
    assert not one.is_ready("m3", later)
    assert not one.can_order(later)


def test_a_model_that_the_configuration_lacks_fills_its_target():
    """Guards against a load beside a model of unknown size."""
    one = samples.make_stock(models=["unknown"])
    assert one.free_mb(NOW) <= 0


def test_another_holders_order_makes_the_ledger_start_anew():
    """Guards against orders of a former holder that arrive late."""
    one = samples.make_stock(models=["m0"])
    later = NOW + samples.seconds(1)
    one.note_asked()
    read(one, samples.make_status(["m0", "m4"], taken=3), later)
    assert set(one.replicas) == {"m0", "m4"}
    assert one.make_order(UNLOAD, "m0", None, 1, later).after == 3


def test_models_of_a_report_come_in_its_order():
    """Guards against equal choices that differ from process to process."""
    names = [f"m{number}" for number in (4, 1, 3, 0, 5, 2)]
    one = samples.make_stock(models=names)
    assert list(one.replicas) == names


class Engine:
    """A target that keeps the rules of the platform."""

    def __init__(self, models):
        self.models = {model: set() for model in models}
        self.coming = None  # Model and when it is loaded.
        self.leaving = None
        self.taken = 0
        self.history = []

    def advance(self, now):
        if self.coming and now >= self.coming[1]:
            self.models[self.coming[0]] = set()
            self.coming = None
        if self.leaving and now >= self.leaving[1]:
            self.models.pop(self.leaving[0], None)
            self.leaving = None
        self.history.append((now, self.status()))

    @property
    def busy(self):
        return self.coming is not None or self.leaving is not None

    def take(self, order, now, slow):
        self.advance(now)
        if self.busy or order.after != self.taken:
            return orders.Answer.CONFLICT
        if order.adapter is not None:
            return self.take_adapter(order)
        self.taken += 1
        if order.operation is UNLOAD:
            assert order.model in self.models
            self.leaving = (order.model, now + samples.ms(50) * slow)
        else:
            used = 60_000 * (len(self.models) + 1)
            assert used <= 200_000, "out of memory"
            self.coming = (order.model, now + samples.ms(800) * slow)
        self.advance(now)
        return orders.Answer.ACCEPTED

    def take_adapter(self, order):
        held = self.models[order.model]
        self.taken += 1
        if order.operation is UNLOAD:
            held.discard(order.adapter)
            return orders.Answer.HOLDS
        count = sum(len(one) for one in self.models.values())
        assert count < 8, "too many adapters"
        held.add(order.adapter)
        return orders.Answer.ACCEPTED

    def status(self):
        return samples.make_status(
            [
                targets.LoadedModel(name, tuple(adapters))
                for name, adapters in self.models.items()
            ],
            taken=self.taken,
            busy=self.busy,
        )

    def report(self, now):
        then = now - samples.ms(100)
        found = [status for at, status in self.history if at <= then]
        return found[-1] if found else self.history[0][1]


class LedgerAndEngine(stateful.RuleBasedStateMachine):
    """Whatever is lost, late or slow, an engine is never ordered too much.

    Guards against engines that crash because a ledger believed a late report,
    an unload that was only accepted, or an answer that was lost.
    """

    def __init__(self):
        super().__init__()
        self.now = NOW
        self.engine = Engine(["m0", "m1"])
        self.engine.advance(self.now)
        self.one = samples.make_stock(models=["m0", "m1"], now=self.now)
        self.late = []

    def _give(self, order, lost, delayed, slow):
        if delayed:
            self.late.append(order)
            self.one.use_answer(
                orders.Answered(order, orders.Answer.NO_ANSWER), self.now
            )
            return
        result = self.engine.take(order, self.now, slow)
        if lost:
            result = orders.Answer.NO_ANSWER
        self.one.use_answer(orders.Answered(order, result), self.now)

    @stateful.rule(
        model=strategies.sampled_from([f"m{number}" for number in range(6)]),
        adapter=strategies.sampled_from([None, "a1", "a2", "a3", "a4", "a5"]),
        lost=strategies.booleans(),
        delayed=strategies.booleans(),
        slow=strategies.sampled_from([1, 1, 1, 4]),
    )
    def order(self, model, adapter, lost, delayed, slow):
        one = self.one
        one.settle_time(self.now)
        if not one.can_order(self.now):
            return
        order = self._choose(model, adapter)
        if order is not None:
            self._give(order, lost, delayed, slow)

    def _choose(self, model, adapter):
        one = self.one
        if adapter is not None:
            key = (model, adapter)
            if not one.is_ready(model, self.now):
                return None
            if key in one.adapters:
                return one.make_order(UNLOAD, model, adapter, 1, self.now)
            if len(one.adapters) >= 8 or one.free_mb(self.now) < 40:
                return None
            return one.make_order(LOAD, model, adapter, 1, self.now)
        if one.is_ready(model, self.now):
            return one.make_order(UNLOAD, model, None, 1, self.now)
        if model in one.replicas or one.free_mb(self.now) < 60_000:
            return None
        return one.make_order(LOAD, model, None, 1, self.now)

    @stateful.rule()
    def carry_out_late_orders(self):
        late, self.late = self.late, []
        for order in late:
            self.engine.take(order, self.now, 1)

    @stateful.rule(
        milliseconds=strategies.sampled_from([5, 60, 200, 900, 4000])
    )
    def advance(self, milliseconds):
        self.now += samples.ms(milliseconds)
        self.engine.advance(self.now)

    @stateful.rule(fails=strategies.booleans())
    def ask(self, fails):
        if not self.one.wants_status(self.now):
            return
        self.one.note_asked()
        status = None if fails else self.engine.report(self.now)
        again = self.one.use_status(
            orders.StatusRead("t1", 1, status, self.now), self.now
        )
        if again is not None:
            self._give(again, False, False, 1)


TestLedgerAndEngine = LedgerAndEngine.TestCase
TestLedgerAndEngine.settings = hypothesis_settings.make_settings(
    max_examples=150, stateful_step_count=40
)
