"""Which model is loaded where, and what makes way for it."""

import dataclasses

import core_samples as samples

from quetzalgauge.core import adapters
from quetzalgauge.core import demand
from quetzalgauge.core import exchange
from quetzalgauge.core import orders
from quetzalgauge.core import placement

NOW = samples.seconds(100)


def make_scene(
    stocks, wishes=None, rates=None, running=(), elsewhere=None, **more
):
    counts = demand.RunningCounts()
    for row in running:
        counts.add(row)
    settings = {
        "copies_elsewhere": lambda model, target: 1,
        "crowding": lambda model: 0.0,
        "adapter_rate": lambda model: 0.0,
        "orderable": lambda model: 2,
        "stranded_rate": lambda model: 0.0,
        "guards": lambda target, model: False,
        "fetched": lambda model: False,
        "refused": (),
        "unserved_for": lambda model: samples.seconds(0),
        "store_loads": 2,
        "pressure": 0.0,
    }
    settings.update(more)
    return placement.Scene(
        tuple(stocks),
        {},
        {
            model: [NOW + samples.seconds(slack) for slack in slacks]
            for model, slacks in (wishes or {}).items()
        },
        [
            model
            for model, rate in (rates or {}).items()
            if rate >= placement.BUSY_RATE
        ],
        lambda model: (rates or {}).get(model, 0.1),
        counts,
        lambda model: (elsewhere or {}).get(model, 0),
        **settings,
    )


def choose(scene, spares=False):
    return placement.choose(scene, NOW, spares)


def full_stock(name="t1", disk=("m3", "m4", "m5")):
    return samples.make_stock(name, ["m0", "m1", "m2"], disk)


def test_what_is_waited_for_is_loaded():
    """The pattern: a request for a model that is nowhere loaded."""
    choice = choose(make_scene([full_stock()], {"m3": [2.0]}))
    assert (choice.model, len(choice.victims)) == ("m3", 1)


def test_the_model_with_most_requests_goes_first():
    """The pattern: a burst for many rare models at once."""
    choice = choose(
        make_scene([full_stock()], {"m3": [2.0], "m4": [2.0, 2.0, 2.0]})
    )
    assert choice.model == "m4"


def test_requests_that_can_still_be_in_time_go_before_late_ones():
    """The pattern: a queue that is longer than its callers' patience."""
    choice = choose(
        make_scene([full_stock()], {"m3": [-1.0, -1.0], "m4": [2.0]})
    )
    assert choice.model == "m4"


def test_a_copy_on_disk_decides_the_target():
    """Guards against a load of 6 s from the store beside one of 0.8 s."""
    without = full_stock("t1", ())
    with_copy = full_stock("t2", ("m3",))
    choice = choose(make_scene([without, with_copy], {"m3": [2.0]}))
    assert choice.stock.target == "t2"


def test_a_busy_target_with_a_copy_is_waited_for():
    """Guards against a long load where a short one is about to begin."""
    without = full_stock("t1", ())
    with_copy = full_stock("t2", ("m3",))
    with_copy.free_at = NOW + samples.ms(300)
    assert choose(make_scene([without, with_copy], {"m3": [2.0]})) is None


def test_a_target_that_cannot_make_room_is_not_waited_for():
    """Guards against a model that waits for ever for the only copy."""
    without = full_stock("t1", ())
    stuck = samples.make_stock("t2", ["m0", "m1", "m2"], ["m3"])
    scene = make_scene(
        [without, stuck],
        {"m3": [9.0], "m0": [1.0], "m1": [1.0], "m2": [1.0]},
    )
    # Everything on both is waited for, so nothing can make way.
    assert choose(scene) is None
    free = samples.make_stock("t1", ["m4"], ())
    scene = make_scene(
        [free, stuck], {"m3": [9.0], "m0": [1.0], "m1": [1.0], "m2": [1.0]}
    )
    assert choose(scene).stock.target == "t1"


def test_the_last_replica_of_a_busy_model_stays():
    """The pattern: a rare model that would push out a busy one."""
    scene = make_scene(
        [full_stock()],
        {"m3": [2.0]},
        rates={"m0": 17.0, "m1": 0.2, "m2": 0.2},
    )
    assert "m0" not in choose(scene).victims


def test_busy_models_do_not_push_each_other_out():
    """The pattern: demand that moves from one busy model to the next."""
    scene = make_scene(
        [samples.make_stock("t1", ["m0"], ["m3"], engine=_small())],
        {},
        rates={"m0": 15.0, "m3": 16.0},
    )
    assert choose(scene, spares=True) is None


def _small():
    return samples.make_engine(samples.MODELS, memory_mb=70_000.0)


def test_an_idle_model_makes_way_before_one_with_requests():
    """Guards against an unload that waits for a long request to end."""
    running = [
        exchange.Running("t1", "m0", None, 3),
        exchange.Running("t1", "m1", None, 1),
    ]
    choice = choose(make_scene([full_stock()], {"m3": [2.0]}, running=running))
    assert choice.victims == ("m2",)


def test_what_others_wait_for_makes_no_way():
    """Guards against two models that push each other out in turn."""
    scene = make_scene(
        [full_stock()],
        {"m3": [2.0], "m0": [2.0], "m1": [2.0], "m2": [2.0]},
    )
    assert choose(scene) is None


def test_a_spare_replica_makes_way_first():
    """The pattern: a busy model on more targets than it needs."""
    scene = make_scene(
        [full_stock()],
        {"m3": [2.0]},
        rates={"m0": 17.0, "m1": 0.3, "m2": 0.3},
        elsewhere={"m0": 2, "m1": 0, "m2": 0},
    )
    assert choose(scene) is not None


def test_a_crowded_model_gets_another_replica():
    """The pattern: two busy models on one target, others nearly idle."""
    crowded = samples.make_stock("t1", ["m0"], [])
    idle = samples.make_stock("t2", ["m1"], ["m0"])
    rates = {"m0": 17.0}
    scene = make_scene([crowded, idle], rates=rates)
    assert getattr(choose(scene, spares=True), "model", "") != "m0"
    scene = make_scene([crowded, idle], rates=rates, crowding=lambda model: 1.4)
    choice = choose(scene, spares=True)
    assert (choice.model, choice.stock.target) == ("m0", "t2")


def test_a_busy_model_that_nobody_has_is_loaded_without_any_wish():
    """The pattern: a busy model whose requests are all refused as too late."""
    scene = make_scene([full_stock()], rates={"m4": 17.0})
    assert choose(scene).model == "m4"


def test_a_crowded_model_is_not_loaded_where_it_is():
    """Guards against an endless row of orders that already hold."""
    crowded = samples.make_stock("t1", ["m0"], ["m0"])
    scene = make_scene(
        [crowded], rates={"m0": 17.0}, crowding=lambda model: 1.4
    )
    assert getattr(choose(scene, spares=True), "model", "") != "m0"


def test_a_replica_that_the_others_cannot_replace_stays():
    """The pattern: a busy model whose targets are all half full."""
    scene = make_scene(
        [samples.make_stock("t1", ["m0"], ["m3"], engine=_small())],
        {"m3": [2.0]},
        rates={"m0": 17.0},
        elsewhere={"m0": 1},
        crowding=lambda model: 0.55,
    )
    assert choose(scene) is None


def test_the_guard_of_a_model_with_adapters_stays_free():
    """The pattern: many adapters of a busy model, asked for in turn.

    A target that loads a model fetches no adapter meanwhile.
    """
    one = full_stock()
    busy = {
        "adapter_rate": lambda model: 10.0 if model == "m0" else 0.0,
        "guards": lambda target, model: target == "t1",
    }
    scene = make_scene([one], {"m3": [2.0]}, rates={"m0": 17.0}, **busy)
    assert choose(scene) is None
    busy["guards"] = lambda target, model: False
    scene = make_scene([one], {"m3": [2.0]}, rates={"m0": 17.0}, **busy)
    assert choose(scene) is not None


def test_the_limit_of_the_weight_store_holds():
    """Guards against more loads from the store than it allows."""
    one = full_stock("t1", ())
    assert choose(make_scene([one], {"m3": [9.0]})) is not None
    assert choose(make_scene([one], {"m3": [9.0]}, store_loads=0)) is None


def test_copies_are_spread_in_idle_time():
    """The pattern: models without any copy, before the first request."""
    one = samples.make_stock("t1", ["m0"], ["m0", "m1", "m2", "m4", "m5"])
    scene = make_scene(
        [one],
        elsewhere={"m1": 1, "m2": 1, "m4": 1, "m5": 1},
        copies_elsewhere=lambda model, target: model != "m3",
    )
    choice = choose(scene, spares=True)
    assert (choice.model, choice.why) == ("m3", "copy")


def test_the_last_copy_of_a_model_is_not_pushed_out():
    """Guards against a copy that is brought at the price of another."""
    engine = samples.make_engine(samples.MODELS)
    disk = ["m1", "m2", "m4", "m5", "m0"]
    one = samples.make_stock("t1", ["m0"], disk, engine=_tight_disk())
    scene = make_scene(
        [one],
        elsewhere={"m1": 1, "m2": 1, "m4": 1, "m5": 1},
        copies_elsewhere=lambda model, target: 0,
    )
    assert engine.disk_copies_mb > 300_000
    assert choose(scene, spares=True) is None


def _tight_disk():
    engine = samples.make_engine(samples.MODELS)
    return engine.__class__(
        engine.slots,
        engine.cache_tokens,
        engine.memory_mb,
        engine.adapter_slots,
        engine.host_copies_mb,
        300_000.0,
        engine.store_loads_per_s,
        engine.models,
    )


def test_an_adapter_takes_a_free_place():
    """The pattern: the first request for an adapter."""
    one = samples.make_stock(models=["m0"])
    wish = exchange.AdapterWish("t1", "m0", "a1")
    step = adapters.next_step(one, wish, demand.RunningCounts(), NOW)
    assert (step.operation, step.adapter) == (orders.Operation.LOAD, "a1")


def _with_adapters(count):
    one = samples.make_stock(models=["m0"])
    at = NOW
    for number in range(count):
        at += samples.ms(20)
        one.settle_time(at)
        order = one.make_order(orders.Operation.LOAD, "m0", f"a{number}", 1, at)
        one.use_answer(orders.Answered(order, orders.Answer.ACCEPTED), at)
    at += samples.seconds(1)
    one.settle_time(at)
    return one, at


def test_an_adapter_that_is_in_use_makes_no_way():
    """The pattern: more adapters of a busy model than places."""
    one, at = _with_adapters(8)
    counts = demand.RunningCounts()
    counts.add(exchange.Running("t1", "m0", "a0", 2))
    wish = exchange.AdapterWish("t1", "m0", "a9")
    step = adapters.next_step(one, wish, counts, at)
    assert (step.operation, step.adapter) == (orders.Operation.UNLOAD, "a1")


def test_a_target_holds_no_more_adapters_than_places():
    """Guards against an engine that crashes with one adapter too many."""
    one, at = _with_adapters(8)
    counts = demand.RunningCounts()
    for number in range(8):
        counts.add(exchange.Running("t1", "m0", f"a{number}", 1))
    wish = exchange.AdapterWish("t1", "m0", "a9")
    assert adapters.next_step(one, wish, counts, at) is None


def test_rates_tell_busy_models_from_rare_ones():
    """The pattern: a few busy models that take turns, and many rare ones."""
    known = demand.Demand()
    at = NOW
    for _ in range(40):
        at += samples.ms(100)
        known.apply_report(exchange.Report("qg-1", arrivals=(("m0", 2),)), at)
    known.apply_report(exchange.Report("qg-1", arrivals=(("m3", 1),)), at)
    assert known.get_rate("m0", at) > placement.BUSY_RATE
    assert known.get_rate("m3", at) < placement.BUSY_RATE
    assert known.get_rate("m0", at + samples.seconds(20)) < placement.BUSY_RATE


def test_models_on_several_targets_count_as_busy_before_any_request():
    """Guards against busy models unloaded before traffic begins."""
    known = demand.Demand()
    known.set_priors({"m0": 2, "m1": 1}, ["m4"])
    assert known.get_rate("m0", NOW) > known.get_rate("m1", NOW)
    assert known.get_rate("m1", NOW) > known.get_rate("m4", NOW)
    assert known.get_rate("m4", NOW) > known.get_rate("m5", NOW)


def test_reports_of_a_silent_instance_do_not_count():
    """Guards against loads for callers of an instance that is gone."""
    known = demand.Demand()
    wish = exchange.Wish("m3", 1, (samples.seconds(2),))
    known.apply_report(exchange.Report("qg-1", wishes=(wish,)), NOW)
    assert known.get_soft_deadlines()
    known.expire_reports(NOW + samples.seconds(10))
    assert not known.get_soft_deadlines()


def test_a_model_that_nobody_can_get_goes_before_a_further_replica():
    """The pattern: all requests for a rare model are refused, so none waits.

    Guards against a weight store that only ever brings further replicas of
    models which other targets serve.
    """
    engine = samples.make_engine(
        [samples.make_model(f"m{number}", store=10.2) for number in range(6)]
    )
    scene = make_scene(
        [samples.make_stock("t1", ["m0"], ["m0"], engine)],
        rates={"m4": 0.35, "m3": 4.0},
        elsewhere={"m1": 1, "m2": 1, "m3": 1, "m5": 1},
        copies_elsewhere=lambda model, target: int(model != "m4"),
        crowding=lambda model: 0.8 if model == "m3" else 0.0,
        refused=["m4"],
        pressure=1.0,
    )
    assert choose(scene, spares=True).model == "m4"
    # Loads from the store are compared all together.
    assert choose(scene, spares=False) is None


def test_a_target_with_the_only_copy_of_another_model_stays_free():
    """The pattern: a load from the weight store holds its target for seconds.

    Guards against callers of a model that cannot be loaded for that time, as
    its only copy lies on just that target.
    """
    only = samples.make_stock("t1", ["m0"], ["m0", "m5"])
    other = samples.make_stock("t2", ["m0"], ["m0", "m1"])
    scene = make_scene(
        [only, other],
        {"m4": [9.0]},
        rates={"m4": 1.0, "m5": 1.0},
        copies_elsewhere=lambda model, target: int(model not in ("m4", "m5")),
    )
    assert choose(scene).stock.target == "t2"


def test_a_model_that_is_never_worth_a_swap_is_served_in_the_end():
    """The pattern: rare requests for a model that only a busy target has.

    Guards against callers who wait in vain, each of them, as long as the
    others are busier.
    """
    scene = make_scene(
        [full_stock(disk=["m4"])],
        {"m4": [-1.0]},
        rates={"m0": 1.0, "m1": 1.0, "m2": 1.0, "m4": 0.2},
        pressure=1.0,
    )
    assert choose(scene) is None
    later = dataclasses.replace(
        scene, unserved_for=lambda model: samples.seconds(30)
    )
    assert choose(later).model == "m4"


def test_a_model_that_is_on_its_way_is_not_fetched_again():
    """The pattern: a model in demand, which is not ready for seconds.

    Guards against a second place at the weight store for it.
    """
    scene = make_scene(
        [samples.make_stock("t1", ["m0"], ["m0"])],
        {"m4": [9.0, 9.0]},
        rates={"m4": 3.0},
        copies_elsewhere=lambda model, target: 0,
        unserved_for=lambda model: samples.seconds(9),
    )
    assert choose(scene).model == "m4"
    assert choose(dataclasses.replace(scene, fetched=lambda _: True)) is None


def test_zones_bring_different_models_of_equal_worth():
    """The pattern: every zone's holder looks for a model without any copy.

    Guards against two places at the weight store for one model.
    """
    scene = make_scene(
        [samples.make_stock("t1", ["m0"], ["m0"])],
        elsewhere={"m1": 1},
        copies_elsewhere=lambda model, target: 0,
    )
    first = choose(scene, spares=True)
    second = choose(dataclasses.replace(scene, first_share=0.7), spares=True)
    assert first.model != second.model
