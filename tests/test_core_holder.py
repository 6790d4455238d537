"""What a holder orders, and what it tells instances meanwhile."""

import dataclasses

import core_samples as samples
import pytest

from quetzalgauge.core import exchange
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import health
from quetzalgauge.core import holder as holder_module
from quetzalgauge.core import orders
from quetzalgauge.core import stock
from quetzalgauge.core import targets

NAMES = [f"m{number}" for number in range(6)]


class Bench:
    """A holder of one zone with engines that hold three models each."""

    def __init__(self, loaded, disk=NAMES):
        self.now = samples.seconds(100)
        self.fleet = fleet_module.Fleet(samples.ZONE, health.HealthTracker())
        self.holder = holder_module.Holder(samples.ZONE, "qg-1", self.fleet)
        self.holder.configure(samples.make_configuration())
        entries = tuple(
            samples.make_target(
                name, samples.ENGINES, slots=48, models=models, disk=disk
            )
            for name, models in loaded.items()
        )
        self.fleet.directory.update(
            targets.RegistryUpdated(entries, complete=True), self.now
        )
        self.holder.use_directory()
        self.act()
        for name, models in loaded.items():
            status = samples.make_status(models, disk=disk)
            self.holder.use_status(
                orders.StatusResult(name, 1, status, self.now), self.now
            )
        self.advance(1.0)

    def act(self):
        return [
            action.order
            for action in self.holder.act(
                1, self.now + samples.seconds(5), self.now
            )
            if isinstance(action, orders.SendOrder)
        ]

    def advance(self, seconds):
        self.now += samples.seconds(seconds)
        return self.act()

    def report(self, wishes=(), running=()):
        self.holder.use_report(
            exchange.Report(
                "qg-2",
                tuple(
                    exchange.Wish(model, 4, (samples.seconds(4),) * 4)
                    for model in wishes
                ),
                (),
                tuple(
                    exchange.Running(target, model, None, count)
                    for target, model, count in running
                ),
                (),
                (),
            ),
            self.now,
        )

    def answer(self, order, answer=orders.Outcome.ACCEPTED):
        self.holder.use_answer(orders.OrderResult(order, answer), self.now)

    def closing(self, target):
        board = self.holder.board(None, 1, samples.seconds(0), self.now)
        (view,) = [one for one in board.targets if one.target == target]
        return {one.model for one in view.replicas if one.closing}


def unloads(given):
    return [
        one.model
        for one in given
        if one.operation is orders.Operation.UNLOAD and one.adapter is None
    ]


def test_a_model_that_runs_requests_is_closed_before_its_unload():
    """The pattern: every place is taken, and each model runs something.

    Guards against an unload that waits for seconds for running requests,
    while its target takes no other order.
    """
    bench = Bench({"e1": ["m0", "m1", "m2"]})
    running = [("e1", name, 1) for name in ("m0", "m1", "m2")]
    bench.report(["m5"], running)
    assert unloads(bench.act()) == []
    closing = bench.closing("e1")
    assert len(closing) == 1
    left = [row for row in running if row[1] not in closing]
    bench.report(["m5"], left)
    (model,) = unloads(bench.advance(0.2))
    assert {model} == closing


def test_an_idle_model_is_unloaded_at_once():
    bench = Bench({"e1": ["m0", "m1", "m2"]})
    bench.report(["m5"], [("e1", "m0", 1), ("e1", "m1", 1)])
    assert unloads(bench.act()) == ["m2"]


def test_a_closed_model_opens_again_when_nobody_waits_any_more():
    """Guards against a model that stays closed for a load that never comes."""
    bench = Bench({"e1": ["m0", "m1", "m2"]})
    running = [("e1", name, 1) for name in ("m0", "m1", "m2")]
    bench.report(["m5"], running)
    bench.act()
    assert bench.closing("e1")
    bench.report([], running)
    assert bench.advance(0.2) == []
    assert bench.closing("e1") == set()


def test_one_wish_closes_models_on_one_target_only():
    """Guards against one request that costs places on several targets."""
    bench = Bench({"e1": ["m0", "m1", "m2"], "e2": ["m0", "m1", "m2"]})
    running = [
        (target, name, 2)
        for target in ("e1", "e2")
        for name in ("m0", "m1", "m2")
    ]
    bench.report(["m5"], running)
    bench.act()
    bench.advance(0.2)
    closed = [bench.closing("e1"), bench.closing("e2")]
    assert sorted(map(bool, closed)) == [False, True]


@pytest.mark.parametrize("reports", [1, 50])
def test_many_reports_cause_one_review(reports):
    """The pattern: dozens of instances report at any moment.

    Guards against processor time that grows with the number of instances.
    """
    bench = Bench({"e1": ["m0"]})
    bench.act()
    for _ in range(reports):
        bench.report()
        bench.holder.review_soon(bench.now)
    assert bench.holder.due == bench.now + holder_module.ACT_INTERVAL


class SlowStore(Bench):
    """Engines whose loads from the weight store last, or never end.

    A load that has ended is not kept, so its model is wanted again.
    """

    def __init__(self, engines, models, load_time=1000.0):
        self.load_time = samples.seconds(load_time)
        self.began = {}
        self.taken = dict.fromkeys(engines, 0)
        self.loaded = {}
        super().__init__({name: ["m0"] for name in engines}, disk=["m0"])
        self.holder.configure(
            samples.make_configuration(
                models=[samples.make_model(name, store=6.0) for name in models]
            )
        )

    def act(self):
        given = []
        for action in self.holder.act(
            1, self.now + samples.seconds(5), self.now
        ):
            if isinstance(action, orders.SendOrder):
                self.taken[action.order.target] += 1
                self.began[action.order.target] = self.now
                self.answer(action.order)
                given.append(action.order)
            elif isinstance(action, orders.FetchStatus):
                self.tell_status(action.target)
        return given

    def tell_status(self, target):
        taken = self.taken[target]
        loaded = self.loaded.get(target, ["m0"])
        began = self.began.get(target, self.now)
        status = samples.make_status(
            loaded,
            taken=taken,
            busy=taken > 0 and self.now < began + self.load_time,
            disk=loaded,
        )
        self.holder.use_status(
            orders.StatusResult(target, 1, status, self.now), self.now
        )


def test_overdue_loads_from_the_weight_store_still_count():
    """The pattern: more models without any copy than the store can bring.

    Guards against a further load whenever one takes longer than usual, until
    most targets wait for the weight store and can load nothing else.
    """
    engines = [f"e{number}" for number in range(12)]
    bench = SlowStore(engines, [f"m{number}" for number in range(20)])
    for _ in range(200):
        bench.advance(0.2)
    assert sum(bench.taken.values()) <= 4


def test_a_new_holder_counts_what_the_one_before_ordered():
    """Guards against twice the loads at the weight store after a takeover."""
    names = [f"e{number}" for number in range(6)]
    bench = SlowStore(names, [f"m{number}" for number in range(20)])
    for name in names:
        bench.taken[name] = 3
        status = samples.make_status(["m0"], taken=3, busy=True, disk=["m0"])
        bench.holder.use_status(
            orders.StatusResult(name, 1, status, bench.now), bench.now
        )
    for _ in range(20):
        bench.advance(0.2)
    assert set(bench.taken.values()) == {3}


def test_no_model_is_fetched_before_all_targets_have_registered():
    """The pattern: all targets start together and register one by one.

    Guards against a long load of a model that the next entry shows loaded.
    """
    bench = SlowStore(["e1", "e2"], [f"m{number}" for number in range(6)])
    began = {}
    for tick in range(40):
        if tick % 5 == 0 and tick <= 15:
            target = f"late{tick}"
            bench.taken[target] = 0
            bench.loaded[target] = ["m1"]
            entry = samples.make_target(
                target, samples.ENGINES, models=["m1"], disk=["m1"]
            )
            bench.fleet.directory.update(
                targets.RegistryUpdated((entry,)), bench.now
            )
            bench.holder.use_directory()
        for order in bench.advance(0.2):
            began.setdefault(order.model, tick)
    assert "m1" not in began
    assert began and min(began.values()) > 15


def test_a_place_at_the_weight_store_is_used_again_at_once():
    """Guards against a store that is idle while models wait for it."""
    engines = [f"e{number}" for number in range(8)]
    models = [f"m{number}" for number in range(20)]
    bench = SlowStore(engines, models, load_time=6.0)
    idle = samples.seconds(0)
    while bench.now < samples.seconds(140):
        bench.advance(0.05)
        loading = sum(
            bench.now < began + bench.load_time
            for began in bench.began.values()
        )
        if bench.now > samples.seconds(110) and loading < 4:
            idle += samples.seconds(0.05) * (4 - loading)
    loads = 4 * samples.seconds(30) / bench.load_time
    seen_within = stock.STATUS_LAG + stock.OVERDUE_POLL_INTERVAL
    assert idle <= loads * seen_within


def test_an_adapter_that_comes_as_expected_is_told_once():
    """The pattern: dozens of adapters a second, each told to all instances.

    Guards against processor time of all instances for what they know.
    """
    bench = Bench({"e1": ["m0", "m1", "m2"]})
    wish = exchange.AdapterWish("e1", "m0", "a1")
    bench.holder.use_report(exchange.Report("qg-2", (), (wish,)), bench.now)
    (order,) = bench.act()
    told = bench.holder.revision
    bench.now += samples.ms(4)
    bench.answer(order)
    bench.act()
    assert bench.holder.revision == told
    ready_at = bench.holder._stocks["e1"].adapters["m0", "a1"].ready_at
    assert ready_at >= bench.now + stock.ADAPTER_LOAD_TIME


def test_an_empty_target_of_another_zone_may_fetch_a_model():
    """The pattern: a new target's first load, in a zone without other engines.

    Guards against a holder that ends with an error, and with it its process.
    """
    bench = Bench({"e1": ["m0"]}, disk=["m0"])
    bench.fleet.directory.update(
        targets.RegistryUpdated(
            (samples.make_target("new", samples.ENGINES, zone="zone-b"),)
        ),
        bench.now,
    )
    bench.holder.use_directory()
    view = dataclasses.replace(
        samples.view("new", loading=[("m3", 6.0)]), fetching="m3"
    )
    bench.fleet.apply_zone_update(
        exchange.Board(
            "zone-b", "qg-9", 1, True, samples.seconds(0), 0, 1, (view,)
        ),
        bench.now,
    )
    for _ in range(20):
        bench.advance(0.2)
    assert bench.holder.store_loads >= 1


def test_a_model_whose_adapters_nobody_may_order_is_loaded_elsewhere():
    """The pattern: a busy model on one target of a zone without a holder.

    Guards against adapters that are refused as long as the zone has none,
    though plain requests for their model are answered there. No target of
    another zone has a copy of the model, and rare models take time too.
    """
    bench = Bench({"e1": ["m1", "m2", "m3"]}, disk=["m1", "m2", "m3"])
    away = ["m0", "m4", "m5"]
    other = samples.make_target(
        "f1", samples.ENGINES, "zone-b", 48, models=away, disk=away
    )
    bench.fleet.directory.update(targets.RegistryUpdated((other,)), bench.now)
    bench.holder.use_directory()
    arrivals = [(name, 1) for name in NAMES]
    loaded = set()
    for _ in range(20):
        bench.holder.use_report(
            exchange.Report(
                "qg-2",
                arrivals=(("m0", 10), *arrivals),
                adapter_arrivals=(("m0", 5),),
            ),
            bench.now,
        )
        for order in bench.advance(0.8):
            bench.answer(order)
            if order.operation is orders.Operation.LOAD:
                loaded.add(order.model)
    assert "m0" in loaded
