"""The ledger of a target: nothing is ordered that does not fit."""

import core_samples as samples
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings

from quetzalgauge.core import orders
from quetzalgauge.core import target_state
from quetzalgauge.core import targets

NOW = samples.seconds(100)
LOAD, UNLOAD = orders.Operation.LOAD, orders.Operation.UNLOAD


def give_result(state, outcome, now=NOW):
    state.apply_order_result(
        orders.OrderResult(state.pending_order, outcome), now
    )


def give_status(state, status, now, requested_at=None):
    return state.apply_status(
        orders.StatusResult(state.target, 1, status, requested_at or now), now
    )


def test_no_order_before_first_status_report():
    """Guards against orders on what the register said a second ago."""
    one = target_state.TargetState(
        samples.make_target("t1", samples.ENGINE_SERVICE, models=["m0"]),
        samples.make_engine(samples.MODELS),
    )
    assert not one.can_accept_order(NOW)
    assert one.is_poll_due(NOW)


def test_memory_is_reserved_before_response():
    """Guards against two orders that fit alone but not together."""
    one = samples.make_stock(models=["m0", "m1"])
    free = one.get_free_mb(NOW)
    one.create_order(LOAD, "m2", None, 1, NOW)
    assert one.get_free_mb(NOW) == free - 60_000
    assert not one.can_accept_order(NOW)


def test_accepted_unload_does_not_free_memory_yet():
    """Guards against a load into memory that is not free yet."""
    one = samples.make_stock(models=["m0", "m1", "m2"])
    one.create_order(UNLOAD, "m0", None, 1, NOW)
    give_result(one, orders.Outcome.ACCEPTED)
    assert one.get_free_mb(NOW) < 60_000
    assert not one.can_accept_order(NOW)


def test_next_accepted_order_confirms_unload():
    """Guards against a wait for a late report on every swap."""
    one = samples.make_stock(models=["m0", "m1", "m2"], disk=["m3"])
    one.create_order(UNLOAD, "m0", None, 1, NOW)
    give_result(one, orders.Outcome.ACCEPTED)
    later = NOW + target_state.UNLOAD_TIME
    assert one.can_accept_order(later)
    order = one.create_order(LOAD, "m3", None, 1, later)
    assert order.expected_sequence_number == 1
    give_result(one, orders.Outcome.ACCEPTED, later)
    assert set(one.replicas) == {"m1", "m2", "m3"}


def test_conflict_keeps_unloading_model():
    """Guards against a busy target that is taken for an empty one."""
    one = samples.make_stock(models=["m0", "m1", "m2"], disk=["m3"])
    one.create_order(UNLOAD, "m0", None, 1, NOW)
    give_result(one, orders.Outcome.ACCEPTED)
    later = NOW + target_state.UNLOAD_TIME
    one.create_order(LOAD, "m3", None, 1, later)
    give_result(one, orders.Outcome.CONFLICT, later)
    assert one.replicas["m0"].state is target_state.LoadState.UNLOADING
    assert "m3" not in one.replicas
    assert not one.can_accept_order(later)


def test_order_without_response_is_resent_unchanged():
    """Guards against a late copy that is carried out beside a new order."""
    one = samples.make_stock(models=["m0"], disk=["m3"])
    order = one.create_order(LOAD, "m3", None, 1, NOW)
    give_result(one, orders.Outcome.NO_RESPONSE)
    assert not one.can_accept_order(NOW + samples.seconds(5))
    later = NOW + target_state.STATUS_LAG
    assert one.is_poll_due(later)
    one.mark_polling()
    assert give_status(one, samples.make_status(["m0"]), later) == order


def test_order_without_response_may_have_been_accepted():
    """Guards against a model that is loaded twice or forgotten."""
    one = samples.make_stock(models=["m0"], disk=["m3"])
    one.create_order(LOAD, "m3", None, 1, NOW)
    give_result(one, orders.Outcome.NO_RESPONSE)
    later = NOW + samples.seconds(2)
    one.mark_polling()
    assert (
        give_status(
            one, samples.make_status(["m0", "m3"], sequence_number=1), later
        )
        is None
    )
    assert one.is_ready("m3", later)
    assert (
        one.create_order(UNLOAD, "m0", None, 1, later).expected_sequence_number
        == 1
    )


def test_status_older_than_last_order_is_ignored():
    """Guards against a ledger corrected by a report of a moment ago."""
    one = samples.make_stock(models=["m0"], disk=["m3"])
    one.create_order(LOAD, "m3", None, 1, NOW)
    give_result(one, orders.Outcome.ACCEPTED)
    one.mark_polling()
    give_status(one, samples.make_status(["m0"]), NOW + samples.ms(20))
    assert "m3" in one.replicas


def test_status_during_load_keeps_ready_estimate():
    """The pattern: a question that was on its way when the order was taken.

    Guards against callers who are told that a long load is about to end, wait
    for it, and are refused after seconds.
    """
    one = samples.make_stock(models=["m0"])
    one.create_order(LOAD, "m3", None, 1, NOW)
    give_result(one, orders.Outcome.ACCEPTED)
    later = NOW + samples.seconds(0.2)
    one.mark_polling()
    give_status(
        one, samples.make_status(["m0"], sequence_number=1, busy=True), later
    )
    assert one.replicas["m3"].ready_at == NOW + samples.seconds(6)
    assert not one.is_poll_due(NOW + samples.seconds(5))


def test_end_of_overdue_load_is_detected_quickly():
    """The pattern: a load from the weight store that takes a little longer.

    Guards against a place at the store, and a target, that stay unused for a
    good part of the time that the load took.
    """
    one = samples.make_stock(models=["m0"])
    one.create_order(LOAD, "m3", None, 1, NOW)
    give_result(one, orders.Outcome.ACCEPTED)
    ended = NOW + samples.seconds(6.3)
    now = NOW
    while "m3" not in one.replicas or not one.is_ready("m3", now):
        now += samples.ms(10)
        one.mark_loads_ready(now)
        if one.is_poll_due(now):
            one.mark_polling()
            is_busy = now - samples.ms(100) < ended
            loaded = ["m0"] if is_busy else ["m0", "m3"]
            status = samples.make_status(
                loaded, sequence_number=1, busy=is_busy
            )
            give_status(one, status, now)
    assert now - ended <= samples.ms(400)
    assert one.can_accept_order(now)


def test_store_load_is_ready_only_when_reported():
    """Guards against requests for a model whose load others slow down."""
    one = samples.make_stock(models=["m0"])
    one.create_order(LOAD, "m3", None, 1, NOW)
    give_result(one, orders.Outcome.ACCEPTED)
    later = NOW + samples.seconds(6.5)
    one.mark_loads_ready(later)
    assert not one.is_ready("m3", later)
    assert not one.can_accept_order(later)


def test_unconfigured_model_occupies_whole_target():
    """Guards against a load beside a model of unknown size."""
    one = samples.make_stock(models=["unknown"])
    assert one.get_free_mb(NOW) <= 0


def test_order_of_another_holder_resyncs_state():
    """Guards against orders of a former holder that arrive late."""
    one = samples.make_stock(models=["m0"])
    later = NOW + samples.seconds(1)
    one.mark_polling()
    give_status(
        one, samples.make_status(["m0", "m4"], sequence_number=3), later
    )
    assert set(one.replicas) == {"m0", "m4"}
    assert (
        one.create_order(UNLOAD, "m0", None, 1, later).expected_sequence_number
        == 3
    )


def test_models_keep_order_of_status_report():
    """Guards against equal choices that differ from process to process."""
    names = [f"m{number}" for number in (4, 1, 3, 0, 5, 2)]
    one = samples.make_stock(models=names)
    assert list(one.replicas) == names


class FakeEngine:
    """A target that keeps the rules of the platform."""

    def __init__(self, models):
        self.models = {model: set() for model in models}
        self.loading = None  # Model and when it is loaded.
        self.unloading = None
        self.sequence_number = 0
        self.history = []

    def advance(self, now):
        if self.loading and now >= self.loading[1]:
            self.models[self.loading[0]] = set()
            self.loading = None
        if self.unloading and now >= self.unloading[1]:
            self.models.pop(self.unloading[0], None)
            self.unloading = None
        self.history.append((now, self.make_status()))

    @property
    def is_busy(self):
        return self.loading is not None or self.unloading is not None

    def handle_order(self, order, now, slowdown):
        self.advance(now)
        if (
            self.is_busy
            or order.expected_sequence_number != self.sequence_number
        ):
            return orders.Outcome.CONFLICT
        if order.adapter is not None:
            return self.handle_adapter_order(order)
        self.sequence_number += 1
        if order.operation is UNLOAD:
            assert order.model in self.models
            self.unloading = (order.model, now + samples.ms(50) * slowdown)
        else:
            used = 60_000 * (len(self.models) + 1)
            assert used <= 200_000, "out of memory"
            self.loading = (order.model, now + samples.ms(800) * slowdown)
        self.advance(now)
        return orders.Outcome.ACCEPTED

    def handle_adapter_order(self, order):
        held = self.models[order.model]
        self.sequence_number += 1
        if order.operation is UNLOAD:
            held.discard(order.adapter)
            return orders.Outcome.ALREADY_DONE
        count = sum(len(one) for one in self.models.values())
        assert count < 8, "too many adapters"
        held.add(order.adapter)
        return orders.Outcome.ACCEPTED

    def make_status(self):
        return samples.make_status(
            [
                targets.LoadedModel(name, tuple(adapters))
                for name, adapters in self.models.items()
            ],
            sequence_number=self.sequence_number,
            busy=self.is_busy,
        )

    def get_delayed_status(self, now):
        then = now - samples.ms(100)
        found = [status for at, status in self.history if at <= then]
        return found[-1] if found else self.history[0][1]


class TargetStateMachine(stateful.RuleBasedStateMachine):
    """Whatever is lost, late or slow, an engine is never ordered too much.

    Guards against engines that crash because a ledger believed a late report,
    an unload that was only accepted, or an answer that was lost.
    """

    def __init__(self):
        super().__init__()
        self.now = NOW
        self.engine = FakeEngine(["m0", "m1"])
        self.engine.advance(self.now)
        self.state = samples.make_stock(models=["m0", "m1"], now=self.now)
        self.delayed_orders = []

    def _send(self, order, is_response_lost, is_delayed, slowdown):
        if is_delayed:
            self.delayed_orders.append(order)
            self.state.apply_order_result(
                orders.OrderResult(order, orders.Outcome.NO_RESPONSE), self.now
            )
            return
        result = self.engine.handle_order(order, self.now, slowdown)
        if is_response_lost:
            result = orders.Outcome.NO_RESPONSE
        self.state.apply_order_result(
            orders.OrderResult(order, result), self.now
        )

    @stateful.rule(
        model=strategies.sampled_from([f"m{number}" for number in range(6)]),
        adapter=strategies.sampled_from([None, "a1", "a2", "a3", "a4", "a5"]),
        lost=strategies.booleans(),
        delayed=strategies.booleans(),
        slow=strategies.sampled_from([1, 1, 1, 4]),
    )
    def send_order(self, model, adapter, lost, delayed, slow):
        one = self.state
        one.mark_loads_ready(self.now)
        if not one.can_accept_order(self.now):
            return
        order = self._create_order(model, adapter)
        if order is not None:
            self._send(order, lost, delayed, slow)

    def _create_order(self, model, adapter):
        one = self.state
        if adapter is not None:
            key = (model, adapter)
            if not one.is_ready(model, self.now):
                return None
            if key in one.adapters:
                return one.create_order(UNLOAD, model, adapter, 1, self.now)
            if len(one.adapters) >= 8 or one.get_free_mb(self.now) < 40:
                return None
            return one.create_order(LOAD, model, adapter, 1, self.now)
        if one.is_ready(model, self.now):
            return one.create_order(UNLOAD, model, None, 1, self.now)
        if model in one.replicas or one.get_free_mb(self.now) < 60_000:
            return None
        return one.create_order(LOAD, model, None, 1, self.now)

    @stateful.rule()
    def deliver_delayed_orders(self):
        late, self.delayed_orders = self.delayed_orders, []
        for order in late:
            self.engine.handle_order(order, self.now, 1)

    @stateful.rule(
        milliseconds=strategies.sampled_from([5, 60, 200, 900, 4000])
    )
    def advance(self, milliseconds):
        self.now += samples.ms(milliseconds)
        self.engine.advance(self.now)

    @stateful.rule(fails=strategies.booleans())
    def poll(self, fails):
        if not self.state.is_poll_due(self.now):
            return
        self.state.mark_polling()
        status = None if fails else self.engine.get_delayed_status(self.now)
        again = self.state.apply_status(
            orders.StatusResult("t1", 1, status, self.now), self.now
        )
        if again is not None:
            self._send(again, False, False, 1)


TestTargetState = TargetStateMachine.TestCase
TestTargetState.settings = hypothesis_settings.make_settings(
    max_examples=150, stateful_step_count=40
)
