"""Tests the orders of a zone leader and the state that it publishes."""

import dataclasses

import core_samples as samples
import pytest

from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import health
from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import target_state
from quetzalgauge.core import targets
from quetzalgauge.core import weight_store
from quetzalgauge.core import zone_leader as leader_module

MODEL_NAMES = [f"m{number}" for number in range(6)]


class LeaderHarness:
    """A leader of a zone whose targets have room for three models each."""

    def __init__(self, loaded_models, disk=MODEL_NAMES):
        self.now = samples.seconds(100)
        self.fleet = fleet_module.Fleet(samples.ZONE, health.HealthTracker())
        self.leader = leader_module.ZoneLeader(samples.ZONE, "qg-1", self.fleet)
        self.leader.configure(samples.make_configuration())
        entries = tuple(
            samples.make_target(
                name, samples.ENGINE_SERVICE, slots=48, models=models, disk=disk
            )
            for name, models in loaded_models.items()
        )
        self.fleet.directory.update(
            targets.RegistryUpdated(entries, complete=True), self.now
        )
        self.leader.sync_targets(self.now)
        self.reconcile()
        for name, models in loaded_models.items():
            status = samples.make_status(models, disk=disk)
            self.leader.apply_status(
                orders.StatusResult(name, 1, status, self.now), self.now
            )
        self.advance(1.0)

    def reconcile(self):
        return [
            action.order
            for action in self.leader.reconcile(
                1, self.now + samples.seconds(5), self.now
            )
            if isinstance(action, orders.SendOrder)
        ]

    def advance(self, seconds):
        self.now += samples.seconds(seconds)
        return self.reconcile()

    def send_report(self, wanted_models=(), running=()):
        self.leader.apply_report(
            peer_messages.Report(
                "qg-2",
                tuple(
                    peer_messages.ModelDemand(
                        model, 4, (samples.seconds(4),) * 4
                    )
                    for model in wanted_models
                ),
                (),
                tuple(
                    peer_messages.RunningCount(target, model, None, count)
                    for target, model, count in running
                ),
                (),
                (),
            ),
            self.now,
        )

    def send_order_result(self, order, outcome=orders.Outcome.ACCEPTED):
        self.leader.apply_order_result(
            orders.OrderResult(order, outcome), self.now
        )

    def find_draining(self, target):
        update = self.leader.make_update(None, 1, samples.seconds(0), self.now)
        (view,) = [item for item in update.targets if item.target == target]
        return {
            replica.model for replica in view.replicas if replica.is_draining
        }


def find_unloaded_models(new_orders):
    return [
        order.model
        for order in new_orders
        if order.operation is orders.Operation.UNLOAD and order.adapter is None
    ]


def test_busy_model_is_drained_before_unload():
    """Guards against an unload that blocks its target for seconds.

    The target is full and each of its models has running requests. An unload
    waits for them, and the target takes no other order meanwhile.
    """
    harness = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    running = [("e1", name, 1) for name in ("m0", "m1", "m2")]
    harness.send_report(["m5"], running)
    assert find_unloaded_models(harness.reconcile()) == []
    draining = harness.find_draining("e1")
    assert len(draining) == 1
    remaining = [row for row in running if row[1] not in draining]
    harness.send_report(["m5"], remaining)
    (model,) = find_unloaded_models(harness.advance(0.2))
    assert {model} == draining


def test_idle_model_is_unloaded_at_once():
    harness = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    harness.send_report(["m5"], [("e1", "m0", 1), ("e1", "m1", 1)])
    assert find_unloaded_models(harness.reconcile()) == ["m2"]


def test_draining_stops_when_demand_ends():
    """Guards against a model that keeps draining for an abandoned load.

    The demand ends while the model that was to be evicted still has running
    requests.
    """
    harness = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    running = [("e1", name, 1) for name in ("m0", "m1", "m2")]
    harness.send_report(["m5"], running)
    harness.reconcile()
    assert harness.find_draining("e1")
    harness.send_report([], running)
    assert harness.advance(0.2) == []
    assert harness.find_draining("e1") == set()


def test_one_demand_drains_models_on_one_target_only():
    """Guards against demand for one model that drains several targets.

    All targets are full and each model has running requests, so the load cannot
    start at once on any.
    """
    harness = LeaderHarness(
        {"e1": ["m0", "m1", "m2"], "e2": ["m0", "m1", "m2"]}
    )
    running = [
        (target, name, 2)
        for target in ("e1", "e2")
        for name in ("m0", "m1", "m2")
    ]
    harness.send_report(["m5"], running)
    harness.reconcile()
    harness.advance(0.2)
    draining = [harness.find_draining("e1"), harness.find_draining("e2")]
    assert sorted(map(bool, draining)) == [False, True]


@pytest.mark.parametrize("reports", [1, 50])
def test_many_reports_cause_one_reconcile(reports):
    """Guards against CPU time that grows with the number of instances.

    Dozens of instances send reports independently of each other.
    """
    harness = LeaderHarness({"e1": ["m0"]})
    harness.reconcile()
    for _ in range(reports):
        harness.send_report()
        harness.leader.schedule_reconcile(harness.now)
    assert (
        harness.leader.next_wakeup_at
        == harness.now + leader_module.MIN_RECONCILE_INTERVAL
    )


class SlowStoreHarness(LeaderHarness):
    """Targets whose loads from the weight store take long or never end.

    Targets drop a model as soon as its load has ended, so it has to be loaded
    again.
    """

    def __init__(self, target_names, models, load_time=1000.0):
        self.load_time = samples.seconds(load_time)
        self.load_started_at = {}
        self.sequence_number = dict.fromkeys(target_names, 0)
        self.loaded_models = {}
        super().__init__({name: ["m0"] for name in target_names}, disk=["m0"])
        self.leader.configure(
            samples.make_configuration(
                models=[
                    samples.make_model(name, store_load_s=6.0)
                    for name in models
                ]
            )
        )

    def reconcile(self):
        new_orders = []
        for action in self.leader.reconcile(
            1, self.now + samples.seconds(5), self.now
        ):
            if isinstance(action, orders.SendOrder):
                self.sequence_number[action.order.target] += 1
                self.load_started_at[action.order.target] = self.now
                self.send_order_result(action.order)
                new_orders.append(action.order)
            elif isinstance(action, orders.FetchStatus):
                self.send_status(action.target)
        return new_orders

    def send_status(self, target):
        sequence_number = self.sequence_number[target]
        models = self.loaded_models.get(target, ["m0"])
        started_at = self.load_started_at.get(target, self.now)
        status = samples.make_status(
            models,
            sequence_number=sequence_number,
            busy=(
                sequence_number > 0 and self.now < started_at + self.load_time
            ),
            disk=models,
        )
        self.leader.apply_status(
            orders.StatusResult(target, 1, status, self.now), self.now
        )


def test_overdue_store_loads_still_count():
    """Guards against a new load whenever one takes longer than expected.

    With more models without a cached copy than the store can deliver, most
    targets would end up waiting for the store, unable to load anything else.
    """
    engines = [f"e{number}" for number in range(12)]
    harness = SlowStoreHarness(engines, [f"m{number}" for number in range(20)])
    for _ in range(200):
        harness.advance(0.2)
    assert sum(harness.sequence_number.values()) <= 4


def test_new_leader_counts_loads_of_previous_leader():
    """Guards against twice as many loads from the store after a takeover.

    The new leader finds targets busy with orders of the previous leader, which
    its own target states do not contain.
    """
    names = [f"e{number}" for number in range(6)]
    harness = SlowStoreHarness(names, [f"m{number}" for number in range(20)])
    for name in names:
        harness.sequence_number[name] = 3
        status = samples.make_status(
            ["m0"], sequence_number=3, busy=True, disk=["m0"]
        )
        harness.leader.apply_status(
            orders.StatusResult(name, 1, status, harness.now), harness.now
        )
    for _ in range(20):
        harness.advance(0.2)
    assert set(harness.sequence_number.values()) == {3}


def test_no_store_load_before_all_targets_have_registered():
    """Guards against a slow load from the store of a model that a target has.

    Targets that start together register one after the other. The model may be
    loaded on one that has not registered yet.
    """
    harness = SlowStoreHarness(
        ["e1", "e2"], [f"m{number}" for number in range(6)]
    )
    first_load_ticks = {}
    for tick in range(40):
        if tick % 5 == 0 and tick <= 15:
            target = f"late{tick}"
            harness.sequence_number[target] = 0
            harness.loaded_models[target] = ["m1"]
            entry = samples.make_target(
                target, samples.ENGINE_SERVICE, models=["m1"], disk=["m1"]
            )
            harness.fleet.directory.update(
                targets.RegistryUpdated((entry,)), harness.now
            )
            harness.leader.sync_targets(harness.now)
        for order in harness.advance(0.2):
            first_load_ticks.setdefault(order.model, tick)
    assert "m1" not in first_load_ticks
    assert first_load_ticks and min(first_load_ticks.values()) > 15


def test_free_store_slot_is_reused_at_once():
    """Guards against free store slots while models wait for a load.

    The leader sees the end of a load only in the next status of the target.
    """
    engines = [f"e{number}" for number in range(8)]
    models = [f"m{number}" for number in range(20)]
    harness = SlowStoreHarness(engines, models, load_time=6.0)
    idle_time = samples.seconds(0)
    while harness.now < samples.seconds(140):
        harness.advance(0.05)
        loading_count = sum(
            harness.now < started_at + harness.load_time
            for started_at in harness.load_started_at.values()
        )
        if harness.now > samples.seconds(110) and loading_count < 4:
            idle_time += samples.seconds(0.05) * (4 - loading_count)
    load_count = 4 * samples.seconds(30) / harness.load_time
    detection_time = (
        target_state.STATUS_LAG + target_state.OVERDUE_POLL_INTERVAL
    )
    assert idle_time <= load_count * detection_time


class RegionHarness:
    """Leaders of several zones that decide at the same moments.

    Each learns what the others have published 5 ms later. Loads from the weight
    store do not end.
    """

    def __init__(self, zone_names, models, copies):
        self.now = samples.seconds(100)
        self.orders = []
        config = samples.make_configuration(
            models=[samples.make_model(name) for name in models]
        )
        entries = tuple(
            dataclasses.replace(
                samples.make_target(
                    f"{zone}-{number}",
                    samples.ENGINE_SERVICE,
                    models=["m0"],
                    disk=copies,
                ),
                availability_zone=zone,
            )
            for zone in zone_names
            for number in range(3)
        )
        self.leaders = {}
        self.fleets = {}
        for zone in zone_names:
            fleet = fleet_module.Fleet(zone, health.HealthTracker())
            fleet.directory.update(
                targets.RegistryUpdated(entries, complete=True), self.now
            )
            leader = leader_module.ZoneLeader(zone, f"qg-{zone}", fleet)
            leader.configure(config)
            leader.sync_targets(self.now)
            status = samples.make_status(["m0"], disk=copies)
            for entry in entries:
                leader.apply_status(
                    orders.StatusResult(entry.target, 1, status, self.now),
                    self.now,
                )
            self.fleets[zone] = fleet
            self.leaders[zone] = leader

    def advance(self):
        self.now += samples.ms(5)
        for fleet in self.fleets.values():
            for leader in self.leaders.values():
                fleet.apply_zone_update(
                    leader.make_update(None, 1, samples.ms(0), self.now),
                    self.now,
                )
        for leader in self.leaders.values():
            for action in leader.reconcile(
                1, self.now + samples.seconds(5), self.now
            ):
                if isinstance(action, orders.SendOrder):
                    leader.apply_order_result(
                        orders.OrderResult(
                            action.order, orders.Outcome.ACCEPTED
                        ),
                        self.now,
                    )
                    self.orders.append(action.order)


@pytest.mark.parametrize("copy_count", [1, 14])
def test_zones_take_turns_at_the_weight_store(copy_count):
    """Guards against places of the store that several zones take together.

    All leaders may order from the same moment, when all targets have
    registered. Two of them loaded the same model, and together they began more
    loads than the store carries.
    """
    names = [f"m{number}" for number in range(20)]
    harness = RegionHarness(
        [f"zone-{number}" for number in range(5)], names, names[:copy_count]
    )
    for _ in range(1000):
        harness.advance()
    models = [
        order.model
        for order in harness.orders
        if order.model not in names[:copy_count]
    ]
    assert len(models) == len(set(models))
    assert len(models) == weight_store.DEFAULT_CAPACITY


def test_no_model_is_evicted_for_a_store_slot_that_is_taken():
    """Guards against evictions for loads that cannot begin.

    The store carries few loads at once. While one load waited until its victims
    had been unloaded, others were planned for the same slot, and replicas on
    several targets were evicted for nothing.
    """
    held = ["m0", "m1", "m2"]
    harness = LeaderHarness({f"e{n}": held for n in range(4)}, disk=held)
    harness.send_report(["m3", "m4", "m5"])
    (order,) = harness.reconcile()
    assert order.operation is orders.Operation.UNLOAD
    harness.send_order_result(order)
    assert harness.advance(0.01) == []


def test_new_leader_knows_the_measured_capacity_of_the_store():
    """Guards against a new leader that overloads the weight store.

    It has seen no slow load yet, while the leaders of other zones know that the
    store carries two at once.
    """
    names = [f"e{number}" for number in range(6)]
    harness = SlowStoreHarness(names, [f"m{number}" for number in range(20)])
    other_update = peer_messages.ZoneUpdate(
        "zone-b", "qg-9", 1, True, None, 0, 1, (), (), 2
    )
    for _ in range(20):
        harness.fleet.apply_zone_update(other_update, harness.now)
        harness.advance(0.2)
    assert sum(harness.sequence_number.values()) == 2
    update = harness.leader.make_update(None, 1, samples.ms(0), harness.now)
    assert update.store_capacity == weight_store.DEFAULT_CAPACITY


def test_first_requests_keep_store_load_from_target_with_adapters():
    """Guards against adapters that are refused for the duration of a load.

    When traffic has just begun, few requests for adapters have been counted.
    The only target with their model took a load of 15 s from the weight store,
    though others were free.
    """
    models = [samples.make_model("m0", adapters=20)]
    models += [samples.make_model(f"m{number}") for number in range(1, 6)]
    harness = LeaderHarness({"e1": ["m0"], "e2": ["m1"]}, disk=["m0", "m1"])
    harness.leader.configure(samples.make_configuration(models=models))
    harness.leader.sync_targets(harness.now)
    update = harness.leader.make_update(None, 1, samples.ms(0), harness.now)
    harness.fleet.apply_zone_update(update, harness.now)
    harness.leader.apply_report(
        peer_messages.Report(
            "qg-2",
            (peer_messages.ModelDemand("m5", 4, (samples.seconds(9),) * 4),),
            (),
            (),
            (("m0", 1), ("m1", 1)),
            (),
        ),
        harness.now,
    )
    (order,) = harness.reconcile()
    assert (order.target, order.model) == ("e2", "m5")


def test_adapter_load_is_published_once():
    """Guards against updates without new information for the instances.

    Dozens of adapters are loaded per second, and each update costs CPU time on
    all instances. An adapter load that goes as expected needs only one.
    """
    harness = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    adapter_demand = peer_messages.AdapterDemand("e1", "m0", "a1")
    harness.leader.apply_report(
        peer_messages.Report("qg-2", (), (adapter_demand,)), harness.now
    )
    (order,) = harness.reconcile()
    published_revision = harness.leader.revision
    harness.now += samples.ms(4)
    harness.send_order_result(order)
    harness.reconcile()
    assert harness.leader.revision == published_revision
    ready_at = harness.leader._target_states["e1"].adapters["m0", "a1"].ready_at
    assert ready_at >= harness.now + target_state.ADAPTER_LOAD_TIME


def test_empty_target_of_other_zone_may_load_from_store():
    """Guards against an exception in the leader that ends its process.

    A target without models or copies does its first load, from the store, in
    a zone without other targets that have any.
    """
    harness = LeaderHarness({"e1": ["m0"]}, disk=["m0"])
    harness.fleet.directory.update(
        targets.RegistryUpdated(
            (samples.make_target("new", samples.ENGINE_SERVICE, zone="zone-b"),)
        ),
        harness.now,
    )
    harness.leader.sync_targets(harness.now)
    view = dataclasses.replace(
        samples.make_target_view("new", loading=[("m3", 6.0)]),
        fetching_model="m3",
    )
    harness.fleet.apply_zone_update(
        peer_messages.ZoneUpdate(
            "zone-b", "qg-9", 1, True, samples.seconds(0), 0, 1, (view,)
        ),
        harness.now,
    )
    for _ in range(20):
        harness.advance(0.2)
    assert harness.leader.store_loads >= 1


def test_model_without_adapter_orders_is_loaded_elsewhere():
    """Guards against adapter requests that fail while a zone has no leader.

    A hot model is loaded on one target only, in a zone without a leader. That
    target serves requests for the model but gets no orders to load adapters.
    No target of another zone has a cached copy of the model, and demand for
    rare models competes for target time.
    """
    harness = LeaderHarness({"e1": ["m1", "m2", "m3"]}, disk=["m1", "m2", "m3"])
    remote_models = ["m0", "m4", "m5"]
    remote = samples.make_target(
        "f1",
        samples.ENGINE_SERVICE,
        "zone-b",
        48,
        models=remote_models,
        disk=remote_models,
    )
    harness.fleet.directory.update(
        targets.RegistryUpdated((remote,)), harness.now
    )
    harness.leader.sync_targets(harness.now)
    arrivals = [(name, 1) for name in MODEL_NAMES]
    loaded = set()
    for _ in range(20):
        harness.leader.apply_report(
            peer_messages.Report(
                "qg-2",
                arrivals=(("m0", 10), *arrivals),
                adapter_arrivals=(("m0", 5),),
            ),
            harness.now,
        )
        for order in harness.advance(0.8):
            harness.send_order_result(order)
            if order.operation is orders.Operation.LOAD:
                loaded.add(order.model)
    assert "m0" in loaded


def test_memory_is_kept_for_a_load_that_outlives_a_restart():
    """Guards against an overload by an order from before a restart.

    The target restarts under its id, and the order fits again later.
    """
    harness = LeaderHarness({"e1": ["m0"]})
    order = orders.Order(
        "e1", 1, "10.0.0.1:80", orders.Operation.LOAD, "m1", None, 2, 1
    )
    harness.send_order_result(order, orders.Outcome.NO_RESPONSE)
    free_mb = []
    for incarnation, sequence_number in ((2, 0), (3, 2)):
        entry = samples.make_target(
            "e1",
            samples.ENGINE_SERVICE,
            disk=MODEL_NAMES,
            incarnation=incarnation,
        )
        harness.fleet.directory.update(
            targets.RegistryUpdated((entry,)), harness.now
        )
        harness.leader.sync_targets(harness.now)
        status = samples.make_status(sequence_number=sequence_number)
        harness.leader.apply_status(
            orders.StatusResult("e1", incarnation, status, harness.now),
            harness.now,
        )
        dump = harness.leader.dump(harness.now)
        free_mb.append(dump["targets"]["e1"]["free_mb"])
    # Three models fit. Once the number has passed, the order no longer does.
    assert free_mb[0] < free_mb[1] == samples.make_engine([]).memory_mb


def test_an_order_is_sent_again_once_when_the_leader_is_active_again():
    """Guards against copies that pile up while no order may be sent."""
    harness = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    harness.send_report(["m5"])
    (order,) = harness.reconcile()
    harness.send_order_result(order, orders.Outcome.NO_RESPONSE)
    for _ in range(20):
        harness.now += samples.seconds(1)
        harness.leader.reconcile(1, harness.now, harness.now)
        status = samples.make_status(["m0", "m1", "m2"], disk=MODEL_NAMES)
        harness.leader.apply_status(
            orders.StatusResult("e1", 1, status, harness.now), harness.now
        )
    assert harness.reconcile() == [order]


@pytest.mark.parametrize("incarnation", [0, 2])
def test_a_report_of_another_incarnation_frees_no_memory(incarnation):
    """Guards against an order to a target whose restart is not registered.

    The load from before the restart may still be carried out.
    """
    harness = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    harness.send_report(["m5"])
    (unload,) = harness.reconcile()
    harness.send_order_result(unload)
    (load,) = harness.advance(0.1)
    harness.send_order_result(load, orders.Outcome.NO_RESPONSE)
    harness.advance(0.5)
    status = samples.make_status(sequence_number=0, disk=MODEL_NAMES)
    status = dataclasses.replace(status, incarnation=incarnation)
    harness.leader.apply_status(
        orders.StatusResult("e1", 1, status, harness.now), harness.now
    )
    assert harness.advance(0.5) == []
