"""Which model is loaded where, and what makes way for it."""

import dataclasses

import core_samples as samples

from quetzalgauge.core import adapters
from quetzalgauge.core import demand
from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import placement

NOW = samples.seconds(100)


def make_context(
    target_states,
    pending=None,
    rates=None,
    running=(),
    elsewhere=None,
    **overrides,
):
    counts = demand.RunningCounts()
    for row in running:
        counts.add(row)
    settings = {
        "copies_elsewhere": lambda model, target: 1,
        "min_utilization": lambda model: 0.0,
        "adapter_request_rate": lambda model: 0.0,
        "orderable_replicas": lambda model: 2,
        "stranded_adapter_rate": lambda model: 0.0,
        "is_reserved_for_adapters": lambda target, model: False,
        "is_fetching": lambda model: False,
        "models_without_copy": (),
        "unserved_duration": lambda model: samples.seconds(0),
        "store_load_budget": 2,
        "pressure": 0.0,
    }
    settings.update(overrides)
    return placement.PlacementContext(
        tuple(target_states),
        {},
        {
            model: [NOW + samples.seconds(slack) for slack in slacks]
            for model, slacks in (pending or {}).items()
        },
        [
            model
            for model, rate in (rates or {}).items()
            if rate >= placement.HOT_MODEL_RATE
        ],
        lambda model: (rates or {}).get(model, 0.1),
        counts,
        lambda model: (elsewhere or {}).get(model, 0),
        **settings,
    )


def choose_placement(context, allow_prefetch=False):
    return placement.choose_placement(context, NOW, allow_prefetch)


def make_full_target(name="t1", disk=("m3", "m4", "m5")):
    return samples.make_stock(name, ["m0", "m1", "m2"], disk)


def test_requested_model_is_loaded():
    """The pattern: a request for a model that is nowhere loaded."""
    choice = choose_placement(make_context([make_full_target()], {"m3": [2.0]}))
    assert (choice.model, len(choice.victims)) == ("m3", 1)


def test_model_with_most_requests_is_loaded_first():
    """The pattern: a burst for many rare models at once."""
    choice = choose_placement(
        make_context([make_full_target()], {"m3": [2.0], "m4": [2.0, 2.0, 2.0]})
    )
    assert choice.model == "m4"


def test_requests_within_deadline_precede_late_ones():
    """The pattern: a queue that is longer than its callers' patience."""
    choice = choose_placement(
        make_context([make_full_target()], {"m3": [-1.0, -1.0], "m4": [2.0]})
    )
    assert choice.model == "m4"


def test_target_with_disk_copy_is_preferred():
    """Guards against a load of 6 s from the store beside one of 0.8 s."""
    without = make_full_target("t1", ())
    with_copy = make_full_target("t2", ("m3",))
    choice = choose_placement(make_context([without, with_copy], {"m3": [2.0]}))
    assert choice.target_state.target == "t2"


def test_load_waits_for_busy_target_with_copy():
    """Guards against a long load where a short one is about to begin."""
    without = make_full_target("t1", ())
    with_copy = make_full_target("t2", ("m3",))
    with_copy.available_at = NOW + samples.ms(300)
    assert (
        choose_placement(make_context([without, with_copy], {"m3": [2.0]}))
        is None
    )


def test_load_does_not_wait_for_target_that_cannot_evict():
    """Guards against a model that waits for ever for the only copy."""
    without = make_full_target("t1", ())
    stuck = samples.make_stock("t2", ["m0", "m1", "m2"], ["m3"])
    scene = make_context(
        [without, stuck],
        {"m3": [9.0], "m0": [1.0], "m1": [1.0], "m2": [1.0]},
    )
    # Everything on both is waited for, so nothing can make way.
    assert choose_placement(scene) is None
    free = samples.make_stock("t1", ["m4"], ())
    scene = make_context(
        [free, stuck], {"m3": [9.0], "m0": [1.0], "m1": [1.0], "m2": [1.0]}
    )
    assert choose_placement(scene).target_state.target == "t1"


def test_last_replica_of_hot_model_is_not_evicted():
    """The pattern: a rare model that would push out a busy one."""
    scene = make_context(
        [make_full_target()],
        {"m3": [2.0]},
        rates={"m0": 17.0, "m1": 0.2, "m2": 0.2},
    )
    assert "m0" not in choose_placement(scene).victims


def test_hot_models_do_not_evict_each_other():
    """The pattern: demand that moves from one busy model to the next."""
    scene = make_context(
        [samples.make_stock("t1", ["m0"], ["m3"], engine=_make_small_engine())],
        {},
        rates={"m0": 15.0, "m3": 16.0},
    )
    assert choose_placement(scene, allow_prefetch=True) is None


def _make_small_engine():
    return samples.make_engine(samples.MODELS, memory_mb=70_000.0)


def test_idle_model_is_evicted_before_running_one():
    """Guards against an unload that waits for a long request to end."""
    running = [
        peer_messages.RunningCount("t1", "m0", None, 3),
        peer_messages.RunningCount("t1", "m1", None, 1),
    ]
    choice = choose_placement(
        make_context([make_full_target()], {"m3": [2.0]}, running=running)
    )
    assert choice.victims == ("m2",)


def test_model_with_waiting_requests_is_not_evicted():
    """Guards against two models that push each other out in turn."""
    scene = make_context(
        [make_full_target()],
        {"m3": [2.0], "m0": [2.0], "m1": [2.0], "m2": [2.0]},
    )
    assert choose_placement(scene) is None


def test_redundant_replica_is_evicted():
    """The pattern: a busy model on more targets than it needs."""
    scene = make_context(
        [make_full_target()],
        {"m3": [2.0]},
        rates={"m0": 17.0, "m1": 0.3, "m2": 0.3},
        elsewhere={"m0": 2, "m1": 0, "m2": 0},
    )
    assert choose_placement(scene) is not None


def test_highly_utilized_model_gets_another_replica():
    """The pattern: two busy models on one target, others nearly idle."""
    crowded = samples.make_stock("t1", ["m0"], [])
    idle = samples.make_stock("t2", ["m1"], ["m0"])
    rates = {"m0": 17.0}
    scene = make_context([crowded, idle], rates=rates)
    assert (
        getattr(choose_placement(scene, allow_prefetch=True), "model", "")
        != "m0"
    )
    scene = make_context(
        [crowded, idle], rates=rates, min_utilization=lambda model: 1.4
    )
    choice = choose_placement(scene, allow_prefetch=True)
    assert (choice.model, choice.target_state.target) == ("m0", "t2")


def test_hot_model_without_replica_is_loaded_without_waiting_requests():
    """The pattern: a busy model whose requests are all refused as too late."""
    scene = make_context([make_full_target()], rates={"m4": 17.0})
    assert choose_placement(scene).model == "m4"


def test_highly_utilized_model_is_not_reloaded_on_its_target():
    """Guards against an endless row of orders that already hold."""
    crowded = samples.make_stock("t1", ["m0"], ["m0"])
    scene = make_context(
        [crowded], rates={"m0": 17.0}, min_utilization=lambda model: 1.4
    )
    assert (
        getattr(choose_placement(scene, allow_prefetch=True), "model", "")
        != "m0"
    )


def test_replica_is_kept_if_others_lack_capacity():
    """The pattern: a busy model whose targets are all half full."""
    scene = make_context(
        [samples.make_stock("t1", ["m0"], ["m3"], engine=_make_small_engine())],
        {"m3": [2.0]},
        rates={"m0": 17.0},
        elsewhere={"m0": 1},
        min_utilization=lambda model: 0.55,
    )
    assert choose_placement(scene) is None


def test_target_reserved_for_adapters_is_not_used_for_loads():
    """The pattern: many adapters of a busy model, asked for in turn.

    A target that loads a model fetches no adapter meanwhile.
    """
    one = make_full_target()
    busy = {
        "adapter_request_rate": lambda model: 10.0 if model == "m0" else 0.0,
        "is_reserved_for_adapters": lambda target, model: target == "t1",
    }
    scene = make_context([one], {"m3": [2.0]}, rates={"m0": 17.0}, **busy)
    assert choose_placement(scene) is None
    busy["is_reserved_for_adapters"] = lambda target, model: False
    scene = make_context([one], {"m3": [2.0]}, rates={"m0": 17.0}, **busy)
    assert choose_placement(scene) is not None


def test_weight_store_load_limit_is_respected():
    """Guards against more loads from the store than it allows."""
    one = make_full_target("t1", ())
    assert choose_placement(make_context([one], {"m3": [9.0]})) is not None
    assert (
        choose_placement(
            make_context([one], {"m3": [9.0]}, store_load_budget=0)
        )
        is None
    )


def test_copies_are_prefetched_when_idle():
    """The pattern: models without any copy, before the first request."""
    one = samples.make_stock("t1", ["m0"], ["m0", "m1", "m2", "m4", "m5"])
    scene = make_context(
        [one],
        elsewhere={"m1": 1, "m2": 1, "m4": 1, "m5": 1},
        copies_elsewhere=lambda model, target: model != "m3",
    )
    choice = choose_placement(scene, allow_prefetch=True)
    assert (choice.model, choice.reason) == ("m3", "copy")


def test_last_copy_of_model_is_not_evicted():
    """Guards against a copy that is brought at the price of another."""
    engine = samples.make_engine(samples.MODELS)
    disk = ["m1", "m2", "m4", "m5", "m0"]
    one = samples.make_stock(
        "t1", ["m0"], disk, engine=_make_engine_with_small_disk()
    )
    scene = make_context(
        [one],
        elsewhere={"m1": 1, "m2": 1, "m4": 1, "m5": 1},
        copies_elsewhere=lambda model, target: 0,
    )
    assert engine.disk_cache_mb > 300_000
    assert choose_placement(scene, allow_prefetch=True) is None


def _make_engine_with_small_disk():
    engine = samples.make_engine(samples.MODELS)
    return engine.__class__(
        engine.slots,
        engine.kv_cache_tokens,
        engine.memory_mb,
        engine.adapter_slots,
        engine.host_cache_mb,
        300_000.0,
        engine.max_store_loads_per_s,
        engine.models,
    )


def test_adapter_is_loaded_into_free_slot():
    """The pattern: the first request for an adapter."""
    one = samples.make_stock(models=["m0"])
    wish = peer_messages.AdapterDemand("t1", "m0", "a1")
    step = adapters.plan_next_order(one, wish, demand.RunningCounts(), NOW)
    assert (step.operation, step.adapter) == (orders.Operation.LOAD, "a1")


def _make_target_with_adapters(count):
    one = samples.make_stock(models=["m0"])
    at = NOW
    for number in range(count):
        at += samples.ms(20)
        one.mark_loads_ready(at)
        order = one.create_order(
            orders.Operation.LOAD, "m0", f"a{number}", 1, at
        )
        one.apply_order_result(
            orders.OrderResult(order, orders.Outcome.ACCEPTED), at
        )
    at += samples.seconds(1)
    one.mark_loads_ready(at)
    return one, at


def test_adapter_in_use_is_not_evicted():
    """The pattern: more adapters of a busy model than places."""
    one, at = _make_target_with_adapters(8)
    counts = demand.RunningCounts()
    counts.add(peer_messages.RunningCount("t1", "m0", "a0", 2))
    wish = peer_messages.AdapterDemand("t1", "m0", "a9")
    step = adapters.plan_next_order(one, wish, counts, at)
    assert (step.operation, step.adapter) == (orders.Operation.UNLOAD, "a1")


def test_adapter_slots_are_never_exceeded():
    """Guards against an engine that crashes with one adapter too many."""
    one, at = _make_target_with_adapters(8)
    counts = demand.RunningCounts()
    for number in range(8):
        counts.add(peer_messages.RunningCount("t1", "m0", f"a{number}", 1))
    wish = peer_messages.AdapterDemand("t1", "m0", "a9")
    assert adapters.plan_next_order(one, wish, counts, at) is None


def test_request_rates_separate_hot_from_rare_models():
    """The pattern: a few busy models that take turns, and many rare ones."""
    known = demand.Demand()
    at = NOW
    for _ in range(40):
        at += samples.ms(100)
        known.apply_report(
            peer_messages.Report("qg-1", arrivals=(("m0", 2),)), at
        )
    known.apply_report(peer_messages.Report("qg-1", arrivals=(("m3", 1),)), at)
    assert known.get_rate("m0", at) > placement.HOT_MODEL_RATE
    assert known.get_rate("m3", at) < placement.HOT_MODEL_RATE
    assert (
        known.get_rate("m0", at + samples.seconds(20))
        < placement.HOT_MODEL_RATE
    )


def test_replica_count_sets_prior_request_rate():
    """Guards against busy models unloaded before traffic begins."""
    known = demand.Demand()
    known.set_priors({"m0": 2, "m1": 1}, ["m4"])
    assert known.get_rate("m0", NOW) > known.get_rate("m1", NOW)
    assert known.get_rate("m1", NOW) > known.get_rate("m4", NOW)
    assert known.get_rate("m4", NOW) > known.get_rate("m5", NOW)


def test_reports_of_silent_instance_expire():
    """Guards against loads for callers of an instance that is gone."""
    known = demand.Demand()
    wish = peer_messages.ModelDemand("m3", 1, (samples.seconds(2),))
    known.apply_report(peer_messages.Report("qg-1", model_demands=(wish,)), NOW)
    assert known.get_soft_deadlines()
    known.expire_reports(NOW + samples.seconds(10))
    assert not known.get_soft_deadlines()


def test_model_without_copy_precedes_further_replicas():
    """The pattern: all requests for a rare model are refused, so none waits.

    Guards against a weight store that only ever brings further replicas of
    models which other targets serve.
    """
    engine = samples.make_engine(
        [
            samples.make_model(f"m{number}", store_load_s=10.2)
            for number in range(6)
        ]
    )
    scene = make_context(
        [samples.make_stock("t1", ["m0"], ["m0"], engine)],
        rates={"m4": 0.35, "m3": 4.0},
        elsewhere={"m1": 1, "m2": 1, "m3": 1, "m5": 1},
        copies_elsewhere=lambda model, target: int(model != "m4"),
        min_utilization=lambda model: 0.8 if model == "m3" else 0.0,
        models_without_copy=["m4"],
        pressure=1.0,
    )
    assert choose_placement(scene, allow_prefetch=True).model == "m4"
    # Loads from the store are compared all together.
    assert choose_placement(scene, allow_prefetch=False) is None


def test_target_with_sole_copy_is_not_used_for_store_load():
    """The pattern: a load from the weight store holds its target for seconds.

    Guards against callers of a model that cannot be loaded for that time, as
    its only copy lies on just that target.
    """
    only = samples.make_stock("t1", ["m0"], ["m0", "m5"])
    other = samples.make_stock("t2", ["m0"], ["m0", "m1"])
    scene = make_context(
        [only, other],
        {"m4": [9.0]},
        rates={"m4": 1.0, "m5": 1.0},
        copies_elsewhere=lambda model, target: int(model not in ("m4", "m5")),
    )
    assert choose_placement(scene).target_state.target == "t2"


def test_starved_model_is_eventually_loaded():
    """The pattern: rare requests for a model that only a busy target has.

    Guards against callers who wait in vain, each of them, as long as the
    others are busier.
    """
    scene = make_context(
        [make_full_target(disk=["m4"])],
        {"m4": [-1.0]},
        rates={"m0": 1.0, "m1": 1.0, "m2": 1.0, "m4": 0.2},
        pressure=1.0,
    )
    assert choose_placement(scene) is None
    later = dataclasses.replace(
        scene, unserved_duration=lambda model: samples.seconds(30)
    )
    assert choose_placement(later).model == "m4"


def test_model_being_fetched_is_not_fetched_again():
    """The pattern: a model in demand, which is not ready for seconds.

    Guards against a second place at the weight store for it.
    """
    scene = make_context(
        [samples.make_stock("t1", ["m0"], ["m0"])],
        {"m4": [9.0, 9.0]},
        rates={"m4": 3.0},
        copies_elsewhere=lambda model, target: 0,
        unserved_duration=lambda model: samples.seconds(9),
    )
    assert choose_placement(scene).model == "m4"
    assert (
        choose_placement(dataclasses.replace(scene, is_fetching=lambda _: True))
        is None
    )


def test_zones_prefetch_different_models_of_equal_value():
    """The pattern: every zone's holder looks for a model without any copy.

    Guards against two places at the weight store for one model.
    """
    scene = make_context(
        [samples.make_stock("t1", ["m0"], ["m0"])],
        elsewhere={"m1": 1},
        copies_elsewhere=lambda model, target: 0,
    )
    first = choose_placement(scene, allow_prefetch=True)
    second = choose_placement(
        dataclasses.replace(scene, prefetch_offset=0.7), allow_prefetch=True
    )
    assert first.model != second.model
