"""Tests the placement policy at the size of hundreds of models.

The load is a zone with dozens of targets and models whose rates, copies and
waiting requests vary.
"""

import dataclasses
import random
import time

import core_samples as samples
from hypothesis import given
from hypothesis import strategies
import hypothesis_settings
import test_core_placement

from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import placement

NOW = test_core_placement.NOW
SIZES_MB = (30_000.0, 42_700.0, 65_000.0, 72_700.0)


def make_random_context(rng, target_count, model_count):
    models = [
        samples.make_model(
            f"m{number}", size_mb=rng.choice(SIZES_MB), adapters=number % 3
        )
        for number in range(model_count)
    ]
    names = [model.name for model in models]
    engine = samples.make_engine(models)
    states = []
    for number in range(target_count):
        held = rng.sample(names, min(model_count, rng.randint(3, 20)))
        loaded = rng.randint(0, 3)
        state = samples.make_target_state(
            f"t{number}", held[:loaded], held[loaded:], engine=engine
        )
        state.available_at = NOW + samples.ms(rng.choice((0, 0, 150, 900)))
        state.store_slowdown = rng.choice((1.0, 1.5, 3.0))
        states.append(state)

    def choose(*values):
        table = {name: rng.choice(values) for name in names}
        return lambda model, *_: table[model]

    rates = choose(0.0, 0.1, 0.1, 0.5, 1.5, rng.random() * 3)
    unserved_s = choose(0, 0, 3, 20)
    context = test_core_placement.make_context(
        states,
        {
            name: [rng.uniform(-1, 9) for _ in range(rng.randint(1, 5))]
            for name in rng.sample(names, model_count // 4)
        },
        {name: rates(name) for name in names},
        [
            peer_messages.RunningCount(
                state.target, model, None, rng.randint(1, 9)
            )
            for state in states
            for model in state.replicas
            if rng.random() < 0.4
        ],
        {name: rng.choice((0, 0, 1, 2)) for name in names},
        copies_elsewhere=choose(0, 0, 1, 2),
        min_utilization=choose(0.0, 0.5, 0.7, 0.9),
        adapter_request_rate=choose(0.0, 0.0, 0.5),
        orderable_replicas=choose(0, 1, 2),
        stranded_adapter_rate=choose(0.0, 0.0, 0.0, 0.4),
        is_reserved_for_adapters=lambda target, model: hash(model) % 3 == 0,
        is_fetching=choose(False, False, False, True),
        models_without_copy=names[:2],
        unserved_duration=lambda model: samples.seconds(unserved_s(model)),
        store_load_budget=rng.choice((0, 1, 2)),
        pressure=rng.choice((0.0, 0.05, 0.3, 1.0)),
        prefetch_offset=rng.random(),
        facts={},
    )
    if rng.random() < 0.3:
        planned = {states[-1].target: names[0]}
        context = dataclasses.replace(context, planned_models=planned)
    return context


def choose_exhaustively(context, allow_prefetch):
    """The policy without bounds, and without facts of earlier decisions."""
    available = [
        state
        for state in context.target_states
        if state.can_accept_order(NOW)
        and state.target not in context.planned_models
    ]
    best = None
    costs = placement._Costs(context, available, NOW)
    for model in placement._list_candidate_models(
        context, costs.index, allow_prefetch
    ):
        is_loaded = any(
            model in state.replicas for state in context.target_states
        )
        facts = placement._collect_facts(context, model, is_loaded)
        decision = None
        if not facts.is_worthless:
            decision = placement._choose_for_model(
                context, costs, facts, model, NOW, allow_prefetch
            )
        if decision is not None and (
            best is None or decision.score > best.score
        ):
            best = decision
    return best


@hypothesis_settings.make_settings()
@given(strategies.integers(0, 2**32), strategies.booleans())
def test_bounds_and_reused_facts_change_no_decision(seed, allow_prefetch):
    """Guards against a bound that leaves out the best load.

    Several decisions share their inputs, as in one pass of the leader, and the
    target of each decision changes before the next.
    """
    rng = random.Random(seed)
    context = make_random_context(rng, rng.randint(1, 8), rng.randint(4, 40))
    for _ in range(3):
        decision = placement.choose_placement(context, NOW, allow_prefetch)
        assert decision == choose_exhaustively(
            dataclasses.replace(context, facts=None), allow_prefetch
        )
        if decision is None:
            return
        state = decision.target_state
        for victim in decision.victims:
            del state.replicas[victim]
        state.create_order(orders.Operation.LOAD, decision.model, None, 1, NOW)


def test_cost_of_a_decision_grows_more_slowly_than_the_zone():
    """Guards against a leader whose decisions stop its event loop.

    Targets and models grow from 8 x 161 to 75 x 502, 29 times as many pairs.
    """

    def measure(target_count, model_count):
        context = make_random_context(
            random.Random(1), target_count, model_count
        )
        started_at = time.process_time()
        for _ in range(5):
            placement.choose_placement(
                dataclasses.replace(context, facts=None), NOW, True
            )
        return time.process_time() - started_at

    assert measure(75, 502) < 29 / 2 * measure(8, 161)
