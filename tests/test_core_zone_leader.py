"""What a holder orders, and what it tells instances meanwhile."""

import dataclasses

import core_samples as samples
import pytest

from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import health
from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import target_state
from quetzalgauge.core import targets
from quetzalgauge.core import zone_leader as holder_module

NAMES = [f"m{number}" for number in range(6)]


class LeaderHarness:
    """A holder of one zone with engines that hold three models each."""

    def __init__(self, loaded, disk=NAMES):
        self.now = samples.seconds(100)
        self.fleet = fleet_module.Fleet(samples.ZONE, health.HealthTracker())
        self.holder = holder_module.ZoneLeader(samples.ZONE, "qg-1", self.fleet)
        self.holder.configure(samples.make_configuration())
        entries = tuple(
            samples.make_target(
                name, samples.ENGINE_SERVICE, slots=48, models=models, disk=disk
            )
            for name, models in loaded.items()
        )
        self.fleet.directory.update(
            targets.RegistryUpdated(entries, complete=True), self.now
        )
        self.holder.sync_targets()
        self.reconcile()
        for name, models in loaded.items():
            status = samples.make_status(models, disk=disk)
            self.holder.apply_status(
                orders.StatusResult(name, 1, status, self.now), self.now
            )
        self.advance(1.0)

    def reconcile(self):
        return [
            action.order
            for action in self.holder.reconcile(
                1, self.now + samples.seconds(5), self.now
            )
            if isinstance(action, orders.SendOrder)
        ]

    def advance(self, seconds):
        self.now += samples.seconds(seconds)
        return self.reconcile()

    def send_report(self, wanted_models=(), running=()):
        self.holder.apply_report(
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

    def send_order_result(self, order, answer=orders.Outcome.ACCEPTED):
        self.holder.apply_order_result(
            orders.OrderResult(order, answer), self.now
        )

    def find_draining(self, target):
        board = self.holder.make_update(None, 1, samples.seconds(0), self.now)
        (view,) = [one for one in board.targets if one.target == target]
        return {one.model for one in view.replicas if one.is_draining}


def find_unloaded_models(given):
    return [
        one.model
        for one in given
        if one.operation is orders.Operation.UNLOAD and one.adapter is None
    ]


def test_busy_model_is_drained_before_unload():
    """The pattern: every place is taken, and each model runs something.

    Guards against an unload that waits for seconds for running requests,
    while its target takes no other order.
    """
    bench = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    running = [("e1", name, 1) for name in ("m0", "m1", "m2")]
    bench.send_report(["m5"], running)
    assert find_unloaded_models(bench.reconcile()) == []
    closing = bench.find_draining("e1")
    assert len(closing) == 1
    left = [row for row in running if row[1] not in closing]
    bench.send_report(["m5"], left)
    (model,) = find_unloaded_models(bench.advance(0.2))
    assert {model} == closing


def test_idle_model_is_unloaded_at_once():
    bench = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    bench.send_report(["m5"], [("e1", "m0", 1), ("e1", "m1", 1)])
    assert find_unloaded_models(bench.reconcile()) == ["m2"]


def test_draining_stops_when_demand_ends():
    """Guards against a model that stays closed for a load that never comes."""
    bench = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    running = [("e1", name, 1) for name in ("m0", "m1", "m2")]
    bench.send_report(["m5"], running)
    bench.reconcile()
    assert bench.find_draining("e1")
    bench.send_report([], running)
    assert bench.advance(0.2) == []
    assert bench.find_draining("e1") == set()


def test_one_demand_drains_models_on_one_target_only():
    """Guards against one request that costs places on several targets."""
    bench = LeaderHarness({"e1": ["m0", "m1", "m2"], "e2": ["m0", "m1", "m2"]})
    running = [
        (target, name, 2)
        for target in ("e1", "e2")
        for name in ("m0", "m1", "m2")
    ]
    bench.send_report(["m5"], running)
    bench.reconcile()
    bench.advance(0.2)
    closed = [bench.find_draining("e1"), bench.find_draining("e2")]
    assert sorted(map(bool, closed)) == [False, True]


@pytest.mark.parametrize("reports", [1, 50])
def test_many_reports_cause_one_reconcile(reports):
    """The pattern: dozens of instances report at any moment.

    Guards against processor time that grows with the number of instances.
    """
    bench = LeaderHarness({"e1": ["m0"]})
    bench.reconcile()
    for _ in range(reports):
        bench.send_report()
        bench.holder.schedule_reconcile(bench.now)
    assert (
        bench.holder.next_wakeup_at
        == bench.now + holder_module.MIN_RECONCILE_INTERVAL
    )


class SlowStoreHarness(LeaderHarness):
    """Engines whose loads from the weight store last, or never end.

    A load that has ended is not kept, so its model is wanted again.
    """

    def __init__(self, engines, models, load_time=1000.0):
        self.load_time = samples.seconds(load_time)
        self.load_started_at = {}
        self.sequence_number = dict.fromkeys(engines, 0)
        self.loaded_models = {}
        super().__init__({name: ["m0"] for name in engines}, disk=["m0"])
        self.holder.configure(
            samples.make_configuration(
                models=[
                    samples.make_model(name, store_load_s=6.0)
                    for name in models
                ]
            )
        )

    def reconcile(self):
        given = []
        for action in self.holder.reconcile(
            1, self.now + samples.seconds(5), self.now
        ):
            if isinstance(action, orders.SendOrder):
                self.sequence_number[action.order.target] += 1
                self.load_started_at[action.order.target] = self.now
                self.send_order_result(action.order)
                given.append(action.order)
            elif isinstance(action, orders.FetchStatus):
                self.send_status(action.target)
        return given

    def send_status(self, target):
        taken = self.sequence_number[target]
        loaded = self.loaded_models.get(target, ["m0"])
        began = self.load_started_at.get(target, self.now)
        status = samples.make_status(
            loaded,
            sequence_number=taken,
            busy=taken > 0 and self.now < began + self.load_time,
            disk=loaded,
        )
        self.holder.apply_status(
            orders.StatusResult(target, 1, status, self.now), self.now
        )


def test_overdue_store_loads_still_count():
    """The pattern: more models without any copy than the store can bring.

    Guards against a further load whenever one takes longer than usual, until
    most targets wait for the weight store and can load nothing else.
    """
    engines = [f"e{number}" for number in range(12)]
    bench = SlowStoreHarness(engines, [f"m{number}" for number in range(20)])
    for _ in range(200):
        bench.advance(0.2)
    assert sum(bench.sequence_number.values()) <= 4


def test_new_leader_counts_loads_of_previous_leader():
    """Guards against twice the loads at the weight store after a takeover."""
    names = [f"e{number}" for number in range(6)]
    bench = SlowStoreHarness(names, [f"m{number}" for number in range(20)])
    for name in names:
        bench.sequence_number[name] = 3
        status = samples.make_status(
            ["m0"], sequence_number=3, busy=True, disk=["m0"]
        )
        bench.holder.apply_status(
            orders.StatusResult(name, 1, status, bench.now), bench.now
        )
    for _ in range(20):
        bench.advance(0.2)
    assert set(bench.sequence_number.values()) == {3}


def test_no_store_load_before_all_targets_have_registered():
    """The pattern: all targets start together and register one by one.

    Guards against a long load of a model that the next entry shows loaded.
    """
    bench = SlowStoreHarness(
        ["e1", "e2"], [f"m{number}" for number in range(6)]
    )
    began = {}
    for tick in range(40):
        if tick % 5 == 0 and tick <= 15:
            target = f"late{tick}"
            bench.sequence_number[target] = 0
            bench.loaded_models[target] = ["m1"]
            entry = samples.make_target(
                target, samples.ENGINE_SERVICE, models=["m1"], disk=["m1"]
            )
            bench.fleet.directory.update(
                targets.RegistryUpdated((entry,)), bench.now
            )
            bench.holder.sync_targets()
        for order in bench.advance(0.2):
            began.setdefault(order.model, tick)
    assert "m1" not in began
    assert began and min(began.values()) > 15


def test_free_store_slot_is_reused_at_once():
    """Guards against a store that is idle while models wait for it."""
    engines = [f"e{number}" for number in range(8)]
    models = [f"m{number}" for number in range(20)]
    bench = SlowStoreHarness(engines, models, load_time=6.0)
    idle = samples.seconds(0)
    while bench.now < samples.seconds(140):
        bench.advance(0.05)
        loading = sum(
            bench.now < began + bench.load_time
            for began in bench.load_started_at.values()
        )
        if bench.now > samples.seconds(110) and loading < 4:
            idle += samples.seconds(0.05) * (4 - loading)
    loads = 4 * samples.seconds(30) / bench.load_time
    seen_within = target_state.STATUS_LAG + target_state.OVERDUE_POLL_INTERVAL
    assert idle <= loads * seen_within


def test_adapter_load_is_published_once():
    """The pattern: dozens of adapters a second, each told to all instances.

    Guards against processor time of all instances for what they know.
    """
    bench = LeaderHarness({"e1": ["m0", "m1", "m2"]})
    wish = peer_messages.AdapterDemand("e1", "m0", "a1")
    bench.holder.apply_report(
        peer_messages.Report("qg-2", (), (wish,)), bench.now
    )
    (order,) = bench.reconcile()
    told = bench.holder.revision
    bench.now += samples.ms(4)
    bench.send_order_result(order)
    bench.reconcile()
    assert bench.holder.revision == told
    ready_at = bench.holder._target_states["e1"].adapters["m0", "a1"].ready_at
    assert ready_at >= bench.now + target_state.ADAPTER_LOAD_TIME


def test_empty_target_of_other_zone_may_load_from_store():
    """The pattern: a new target's first load, in a zone without other engines.

    Guards against a holder that ends with an error, and with it its process.
    """
    bench = LeaderHarness({"e1": ["m0"]}, disk=["m0"])
    bench.fleet.directory.update(
        targets.RegistryUpdated(
            (samples.make_target("new", samples.ENGINE_SERVICE, zone="zone-b"),)
        ),
        bench.now,
    )
    bench.holder.sync_targets()
    view = dataclasses.replace(
        samples.make_target_view("new", loading=[("m3", 6.0)]),
        fetching_model="m3",
    )
    bench.fleet.apply_zone_update(
        peer_messages.ZoneUpdate(
            "zone-b", "qg-9", 1, True, samples.seconds(0), 0, 1, (view,)
        ),
        bench.now,
    )
    for _ in range(20):
        bench.advance(0.2)
    assert bench.holder.store_loads >= 1


def test_model_without_adapter_orders_is_loaded_elsewhere():
    """The pattern: a busy model on one target of a zone without a holder.

    Guards against adapters that are refused as long as the zone has none,
    though plain requests for their model are answered there. No target of
    another zone has a copy of the model, and rare models take time too.
    """
    bench = LeaderHarness({"e1": ["m1", "m2", "m3"]}, disk=["m1", "m2", "m3"])
    away = ["m0", "m4", "m5"]
    other = samples.make_target(
        "f1", samples.ENGINE_SERVICE, "zone-b", 48, models=away, disk=away
    )
    bench.fleet.directory.update(targets.RegistryUpdated((other,)), bench.now)
    bench.holder.sync_targets()
    arrivals = [(name, 1) for name in NAMES]
    loaded = set()
    for _ in range(20):
        bench.holder.apply_report(
            peer_messages.Report(
                "qg-2",
                arrivals=(("m0", 10), *arrivals),
                adapter_arrivals=(("m0", 5),),
            ),
            bench.now,
        )
        for order in bench.advance(0.8):
            bench.send_order_result(order)
            if order.operation is orders.Operation.LOAD:
                loaded.add(order.model)
    assert "m0" in loaded
