"""Tests of what has begun with a model that a new configuration withdraws."""

import dataclasses

import core_samples as samples
import pytest
import test_core_zone_leader

from quetzalgauge.core import adapters
from quetzalgauge.core import demand
from quetzalgauge.core import orders

LOAD, UNLOAD = orders.Operation.LOAD, orders.Operation.UNLOAD
MODEL_NAMES = test_core_zone_leader.MODEL_NAMES


def make_harness(**options):
    """Returns the leader of a target that is full with three models."""
    loaded_models = {"e1": ["m0", "m1", "m2"]}
    return test_core_zone_leader.LeaderHarness(loaded_models, **options)


def withdraw(harness, *names, models=()):
    """Applies a version without some models, or with others instead."""
    kept = [model for model in samples.MODELS if model.name not in names]
    config = samples.make_configuration(2, models=[*kept, *models])
    harness.leader.configure(config)


def order_load(harness, model="m5"):
    """Returns the order to load a model, after that to unload another one."""
    harness.send_report([model])
    (order,) = harness.reconcile()
    assert order.operation is UNLOAD
    harness.send_order_result(order)
    (order,) = harness.advance(0.1)
    assert (order.operation, order.model) == (LOAD, model)
    return order


@pytest.mark.parametrize("outcome", orders.Outcome)
@pytest.mark.parametrize("disk", [MODEL_NAMES, MODEL_NAMES[:2]])
def test_the_order_to_load_a_withdrawn_model_has_a_result(outcome, disk):
    """Guards against an instance that ends at the result of such an order."""
    harness = make_harness(disk=disk)
    order = order_load(harness)
    withdraw(harness, "m5")
    harness.send_order_result(order, outcome)
    harness.advance(1.0)
    loaded = harness.leader.dump(harness.now)["targets"]["e1"]["models"]
    assert len(loaded.keys() & {"m0", "m1", "m2"}) >= 2


def make_versions(*changes, **engine_options):
    """Returns versions, each with the models of one of the changes."""
    versions = []
    for version, models in enumerate(changes, 1):
        engine = samples.make_engine(models, **engine_options)
        service = samples.configuration.Service(
            samples.ENGINE_SERVICE, 300, engine
        )
        config = samples.configuration.Configuration(
            version,
            samples.ROUTES,
            [service],
            samples.configuration.CallerLimits(),
        )
        versions.append(
            config.retain_models(versions[-1]) if versions else config
        )
    return versions


def get_engine(config):
    return config.services[samples.ENGINE_SERVICE].engine


def test_a_withdrawn_model_takes_its_size():
    """Guards against targets that load nothing beside a withdrawn model."""
    models = samples.MODELS[:3]
    first, second, third = make_versions(models, models[1:], models[2:])
    state = samples.make_target_state(
        models=["m0", "m1"], engine=get_engine(first)
    )
    for config in (second, third):
        state.configure(get_engine(config))
        assert state.get_free_mb(samples.seconds(100)) == 80_000
    assert not get_engine(third).models.keys() & {"m0", "m1"}


def test_only_the_last_withdrawn_models_are_known(monkeypatch):
    """Guards against memory that grows with the number of versions."""
    monkeypatch.setattr(samples.configuration, "MAX_WITHDRAWN_MODELS", 2)
    *_, last = make_versions(
        *([samples.make_model(f"x{number}")] for number in range(5))
    )
    assert list(get_engine(last).withdrawn_models) == ["x2", "x3"]


@pytest.mark.parametrize(
    ("unknown", "operation"), [("unknown", None), ("m1", UNLOAD)]
)
def test_adapters_stay_if_models_take_the_memory(unknown, operation):
    """Guards against unloading adapters that frees too little for another.

    The memory is exceeded by a model of unknown size, or just used up.
    """
    engine = samples.make_engine(samples.MODELS, memory_mb=120_070)
    state = samples.make_target_state(models=["m0", unknown], engine=engine)
    status = samples.make_status(
        [samples.targets.LoadedModel("m0", ("a1",)), unknown],
        sequence_number=1,
    )
    now = samples.seconds(100)
    state.apply_status(orders.StatusResult("t1", 1, status, now), now)
    order = adapters.plan_next_order(
        state,
        samples.peer_messages.AdapterDemand("t1", "m0", "a2"),
        demand.RunningCounts(),
        now + samples.seconds(1),
    )
    assert (order and order.operation) == operation


@pytest.mark.parametrize("is_loaded", [True, False])
@pytest.mark.parametrize("later_sizes", [(80_000, 60_000), (30_000,), ()])
def test_a_held_model_takes_the_largest_of_its_sizes(is_loaded, later_sizes):
    """Guards against a load that exceeds the memory of a target.

    The target may count a model with the size of its load or the newest one.
    """
    sizes = (50_000, *later_sizes)
    versions = make_versions(
        *([samples.make_model("m0", size)] for size in sizes), []
    )
    now = samples.seconds(100)
    state = samples.make_target_state(
        models=["m0"] if is_loaded else [], engine=get_engine(versions[0])
    )
    if not is_loaded:
        state.create_order(LOAD, "m0", None, 1, now)
    for config in versions[1:]:
        state.configure(get_engine(config))
    if not is_loaded:
        order = state.pending_order
        accepted = orders.OrderResult(order, orders.Outcome.ACCEPTED)
        state.apply_order_result(accepted, now)
    assert state.get_free_mb(now) == 200_000 - max(sizes)


def test_held_adapters_take_the_largest_of_their_sizes():
    """Guards against a load that exceeds the memory of a target."""
    model = samples.make_model("m0", adapters=2)
    versions = make_versions(
        *(
            [dataclasses.replace(model, adapter_mb=size)]
            for size in (40.0, 100.0, 10.0)
        )
    )
    now = samples.seconds(100)
    state = samples.make_target_state(
        models=[samples.targets.LoadedModel("m0", ("a1",))],
        engine=get_engine(versions[0]),
    )
    order = state.create_order(LOAD, "m0", "a2", 1, now)
    for config in versions[1:]:
        state.configure(get_engine(config))
    accepted = orders.OrderResult(order, orders.Outcome.ACCEPTED)
    state.apply_order_result(accepted, now)
    assert state.get_free_mb(now) == 140_000 - 200.0


def test_a_model_of_unknown_size_takes_its_size_once_it_is_listed():
    """Guards against targets that load nothing beside a known model."""
    versions = make_versions([], samples.MODELS[:1])
    state = samples.make_target_state(
        models=["m0"], engine=get_engine(versions[0])
    )
    state.configure(get_engine(versions[1]))
    assert state.get_free_mb(samples.seconds(100)) == 140_000


def restart(harness, models=(), sequence_number=0):
    """Restarts the target; returns its free memory by its first report."""
    restarted = samples.make_target(
        "e1", samples.ENGINE_SERVICE, disk=MODEL_NAMES, incarnation=2
    )
    harness.fleet.directory.update(
        samples.targets.RegistryUpdated((restarted,)), harness.now
    )
    harness.leader.sync_targets(harness.now)
    status = samples.make_status(models, sequence_number)
    harness.leader.apply_status(
        orders.StatusResult("e1", 2, status, harness.now), harness.now
    )
    return harness.leader.dump(harness.now)["targets"]["e1"]["free_mb"]


@pytest.mark.parametrize("later_sizes", [(), (30_000,), (70_000,)])
def test_memory_is_kept_for_a_late_load_of_a_withdrawn_model(later_sizes):
    """Guards against a target that restarts and is loaded to the full.

    The order to load the model fits again after the restart.
    """
    harness = make_harness()
    order = order_load(harness)
    assert order.expected_sequence_number > 0
    harness.send_order_result(order, orders.Outcome.NO_RESPONSE)
    models = [samples.make_model("m5", size) for size in later_sizes]
    withdraw(harness, "m5", models=models)
    assert restart(harness) == 200_000 - max((60_000, *later_sizes))


def test_a_model_of_a_late_load_takes_the_size_of_its_order():
    """Guards against a load that exceeds the memory of a target.

    The target has carried out the order after its restart.
    """
    harness = make_harness()
    order = order_load(harness)
    harness.send_order_result(order, orders.Outcome.NO_RESPONSE)
    withdraw(harness, "m5", models=[samples.make_model("m5", 30_000)])
    assert restart(harness, ["m5"], 2) == 140_000


def test_loads_of_withdrawn_models_still_count():
    """Guards against more loads from the weight store than it can carry."""
    names = [f"e{number}" for number in range(4)]
    harness = test_core_zone_leader.SlowStoreHarness(names, MODEL_NAMES)
    for _ in range(20):
        harness.advance(0.2)
    loads = harness.leader.store_loads
    assert loads > 0
    first, second = make_versions(samples.MODELS, samples.MODELS[:1])
    harness.leader.configure(first)
    harness.leader.configure(second)
    harness.advance(0.2)
    assert harness.leader.store_loads == loads


def list_unloaded(harness, duration):
    """Returns the models that the leader orders to unload within a time."""
    unloaded = []
    for _ in range(round(duration / 0.1)):
        for order in harness.advance(0.1):
            harness.send_order_result(order)
            if order.operation is UNLOAD:
                unloaded.append(order.model)
    return unloaded


def list_models(harness, version, *names):
    """Applies a version with some models."""
    models = [model for model in samples.MODELS if model.name in names]
    config = samples.make_configuration(version, models=models)
    harness.leader.configure(config)


def test_a_withdrawn_model_is_unloaded():
    """Guards against memory of targets that nothing can use any more."""
    harness = make_harness()
    list_models(harness, 2, "m0", "m2")
    running = [("e1", "m1", 1)]
    for _ in range(4):
        harness.send_report(running=running)
        assert list_unloaded(harness, 2.0) == []
    harness.send_report()
    assert list_unloaded(harness, 1.0) == ["m1"]


def test_a_model_that_is_listed_again_stays_loaded():
    """Guards against loading a model anew after each of several versions."""
    harness = make_harness()
    for version in range(2, 8):
        list_models(harness, version, "m0", "m2")
        assert list_unloaded(harness, 3.0) == []
        list_models(harness, version, "m0", "m1", "m2")
        assert list_unloaded(harness, 1.0) == []


def withdraw_service(harness):
    """Applies a version without the engine service, then one with it again."""
    desk = samples.configuration.Service(samples.PLAIN_SERVICE, 96)
    limits = samples.configuration.CallerLimits()
    without_engines = samples.configuration.Configuration(
        2, samples.ROUTES, [desk], limits
    )
    for config in (without_engines, samples.make_configuration(3)):
        harness.leader.configure(config)
        harness.leader.sync_targets(harness.now)
        harness.advance(0.1)


def test_an_order_outlives_the_withdrawal_of_its_service():
    """Guards against a load beside one that is still on its way."""
    harness = make_harness()
    order = order_load(harness)
    withdraw_service(harness)
    assert harness.leader.dump(harness.now)["targets"]["e1"]["order"] == "load"
    assert harness.advance(0.5) == []
    harness.send_order_result(order)
    loaded = harness.leader.dump(harness.now)["targets"]["e1"]["models"]
    assert loaded["m5"] == "loading"


def test_a_target_is_asked_when_its_service_is_listed_again():
    """Guards against orders that rely on what was known before."""
    harness = make_harness()
    withdraw_service(harness)
    harness.send_report(["m5"])
    assert harness.advance(0.1) == []
    status = samples.make_status(["m0", "m5"], sequence_number=2)
    harness.leader.apply_status(
        orders.StatusResult("e1", 1, status, harness.now), harness.now
    )
    loaded = harness.leader.dump(harness.now)["targets"]["e1"]["models"]
    assert loaded.keys() == {"m0", "m5"}


@pytest.mark.parametrize(
    "outcomes",
    [
        [orders.Outcome.NO_RESPONSE],
        [orders.Outcome.NO_RESPONSE, orders.Outcome.CONFLICT],
    ],
)
def test_a_load_without_a_response_keeps_its_size(outcomes):
    """Guards against a load that exceeds the memory of a target.

    Reports do not list the model before the load has ended, and the first one
    may predate the load.
    """
    first, second = make_versions(
        [samples.make_model("m0", 90_000)], [samples.make_model("m0", 60_000)]
    )
    state = samples.make_target_state(engine=get_engine(first))
    now = samples.seconds(100)
    order = state.create_order(LOAD, "m0", None, 1, now)
    for outcome in outcomes:
        state.apply_order_result(orders.OrderResult(order, outcome), now)
    state.configure(get_engine(second))
    reports = [([], 0, False), ([], 1, True), (["m0"], 1, False)]
    for models, sequence_number, is_busy in reports:
        now += samples.seconds(1)
        status = samples.make_status(models, sequence_number, is_busy)
        state.apply_status(orders.StatusResult("t1", 1, status, now), now)
    assert state.get_free_mb(now) == 110_000
