"""The invariants hold under random faults, and the checker sees violations."""

import datetime
import random

import control_fakes
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import keys
from quetzalgauge import ledger
from quetzalgauge import messages
from quetzalgauge import orders
from quetzalgauge import records
from quetzalgauge import unloads

NODES = ("node-0", "node-1", "node-2")
MODELS = ("report", "summary", "label")
nodes = strategies.sampled_from(NODES)
models = strategies.sampled_from(MODELS)
seconds = strategies.sampled_from((0.25, 1, 4, 12))


class ControlMachine(stateful.RuleBasedStateMachine):
    """Three control processes, three targets and everything that can fail."""

    def __init__(self):
        super().__init__()
        self.world = control_fakes.World(linger=20)
        self.world.add_target("lm-0", 1000, checks=True)
        self.world.add_target("lm-1", 900, checks=False)
        self.world.add_target("lm-2", 500, checks=False)
        for name in NODES:
            self.world.start(name)
        self.ticket = 1
        self.publish(1, "v1")
        self.world.run(3)

    def publish(self, most, version):
        self.world.ticket(
            self.ticket,
            {
                model: {
                    "mib": 400,
                    "most": most,
                    "versions": [version],
                    "default": version,
                }
                for model in MODELS
            },
        )
        self.ticket += 1
        self.version = version

    @stateful.rule(seconds=seconds)
    def run(self, seconds):
        self.world.run(seconds)

    @stateful.rule(node=nodes, model=models, waiting=strategies.integers(1, 50))
    def want(self, node, model, waiting):
        self.world.want(node, model, waiting, self.version)
        self.world.run(0.25)

    @stateful.rule(node=nodes)
    def want_nothing(self, node):
        self.world.demand[node].clear()

    @stateful.rule(
        most=strategies.integers(0, 2),
        version=strategies.sampled_from(("v1", "v2")),
    )
    def change_configuration(self, most, version):
        self.publish(most, version)

    @stateful.rule(node=nodes)
    def pause(self, node):
        self.world.paused.add(node)

    @stateful.rule(node=nodes)
    def resume(self, node):
        self.world.paused.discard(node)

    @stateful.rule(node=nodes, is_cut=strategies.booleans())
    def cut_from_log(self, node, is_cut):
        (self.world.cut.add if is_cut else self.world.cut.discard)(node)

    @stateful.rule(node=nodes, is_cut=strategies.booleans())
    def cut_from_peers(self, node, is_cut):
        isolated = self.world.isolated
        (isolated.add if is_cut else isolated.discard)(node)

    @stateful.rule(is_down=strategies.booleans())
    def outage(self, is_down):
        self.world.log_is_down = is_down

    @stateful.rule(seed=strategies.integers(0, 9))
    def lose_acknowledgements(self, seed):
        generator = random.Random(seed)
        self.world.lose_append = lambda bodies: generator.random() < 0.4
        self.world.lose_answer = lambda order: generator.random() < 0.3

    @stateful.rule(node=nodes)
    def hold_orders(self, node):
        self.world.holds_orders.add(node)

    @stateful.rule(node=nodes)
    def drop_connections(self, node):
        self.world.drop_connections(node)

    @stateful.rule()
    def deliver_late(self):
        self.world.deliver_late()

    @stateful.rule(node=nodes)
    def restart(self, node):
        self.world.start(node)
        self.world.unlisted.discard(node)

    @stateful.rule(node=nodes)
    def kill(self, node):
        if node in self.world.controllers:
            self.world.kill(node)
            self.world.unlisted.add(node)

    @stateful.rule(node=nodes)
    def drain(self, node):
        self.world.send(node, messages.DrainRequested())

    @stateful.rule(index=strategies.integers(0, 2))
    def restart_target(self, index):
        self.world.targets[f"lm-{index}"].restart()

    @stateful.rule(index=strategies.integers(0, 2))
    def drain_target(self, index):
        self.world.targets[f"lm-{index}"].draining = True

    @stateful.rule(index=strategies.integers(0, 2))
    def reclaim_target(self, index):
        target = self.world.targets[f"lm-{index}"]
        target.alive = target.listed = False

    def teardown(self):
        """When all faults are over, what is wanted is served."""
        world = self.world
        world.paused.clear()
        world.cut.clear()
        world.isolated.clear()
        world.log_is_down = False
        world.lose_append = world.lose_answer = lambda _: False
        for target in world.targets.values():
            if not target.alive or target.draining:
                target.restart()
            target.alive = target.listed = True
            target.draining = False
        for name in NODES:
            world.demand[name].clear()
            world.drop_connections(name)
            process = world.controllers.get(name)
            has_ended = process is None or name in world.stopped
            if has_ended or process.dump()["draining"]:
                world.start(name)
            world.unlisted.discard(name)
        self.publish(1, "v1")
        world.run(60)
        for model in MODELS:
            world.want("node-0", model, 1, "v1")
        world.run_until(
            lambda: all(
                world.ready(name, model) for name in NODES for model in MODELS
            ),
            60,
        )
        world.check()


ControlMachine.TestCase.settings = hypothesis_settings.make(
    max_examples=12,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestControlMachine = ControlMachine.TestCase


# ---- The checker finds what a missing guard lets through --------------------


def always(value):
    return lambda *arguments, **options: value


def reserve_too_much():
    world = control_fakes.World()
    world.add_target("lm-0", 1000)
    world.start("node-0")
    world.ticket(1, {f"m-{i}": {"mib": 400} for i in range(3)})
    world.run(5)


def reserve_one_slot_twice():
    world = control_fakes.World()
    key = ("report", "v1")
    for index in range(4):
        world.add_target(f"lm-{index}")
    for index in range(2):
        world.start(f"node-{index}")
    # Each sees only its own cache, so each thinks its own target is best.
    world.isolated.update(world.controllers)
    world.run(15)
    assert {world.holder(target) for target in world.targets} == {
        "node-0",
        "node-1",
    }
    for target in world.targets.values():
        target.cached[key] = messages.CacheTier.DISK
    world.run(2)
    # Both propose before either has read what the other proposed.
    read = world._read
    world._read = lambda name, stream, tick: (
        stream == control_fakes.DECISIONS or read(name, stream, tick)
    )
    world.ticket(1, {"report": {"least": 1}})
    world.run(2)
    world._read = read
    world.run(5)


def release_before_closure():
    world = control_fakes.World(linger=20)
    world.add_target("lm-0", checks=False)
    for index in range(2):
        world.start(f"node-{index}")
    world.ticket(1, {"report": {}})
    world.run(4)
    holder = world.holder("lm-0")
    world.holds_orders.add(holder)
    world.want(holder, "report")
    world.run(0.5)
    world.paused.add(holder)
    world.ticket(2, {"report": None})
    world.run(20)


def release_before_the_linger_time():
    world = control_fakes.World(linger=20)
    world.add_target("lm-0", checks=False)
    world.start("node-0")
    world.ticket(1, {"report": {}})
    world.run(4)
    world.holds_orders.add("node-0")
    world.want("node-0", "report")
    world.run(0.5)
    world.drop_connections("node-0")
    world.demand.clear()
    world.ticket(2, {"report": None})
    world.run(10)


def unload_while_routed():
    world = control_fakes.World()
    world.add_target("lm-0")
    for index in range(2):
        world.start(f"node-{index}")
    world.ticket(1, {"report": {}})
    world.run(4)
    world.want("node-0", "report")
    world.run(3)
    world.ticket(2, {"report": None})
    world.run(5)


def run_a_refused_key():
    world = control_fakes.World()
    world.start("node-0")
    world.run(2)
    world.lose_append = lambda bodies: True
    read, world._read = world._read, lambda name, stream, tick: None
    deadline = world.clock() + datetime.timedelta(seconds=1)
    event = messages.KeyClaimRequested("a", "entry-0", 7, deadline)
    world.send("node-0", event)
    world.run(2)
    world._read = read
    world.run(2)
    if len(world.replies["a"]) > 1:
        raise control_fakes.ViolationError("a refused request may run")


def keep_waiting(self, key, waiter):
    """A variant that refuses a request and still waits for its claim."""
    self._reply(waiter.token, keys.ttypes.KeyDecision.UNAVAILABLE)
    far = waiter.deadline + datetime.timedelta(hours=1)
    waiter.deadline = far
    self._waiters.setdefault(key, []).append(waiter)


VARIANTS = [
    (
        reserve_too_much,
        [
            (ledger, "_fits_memory", always(True)),
            (ledger.Ledger, "unreserved_bytes", always(2**40)),
        ],
    ),
    (reserve_one_slot_twice, [(ledger, "_is_slot_free", always(True))]),
    (
        release_before_closure,
        [
            (ledger, "_are_older_numbers_closed", always(True)),
        ],
    ),
    (
        release_before_the_linger_time,
        [(orders.Orders, "in_flight", always(False))],
    ),
    (
        unload_while_routed,
        [(unloads, "UNLOAD_NOTICE", datetime.timedelta())],
    ),
    (run_a_refused_key, [(keys.Keys, "_give_up", keep_waiting)]),
]


@pytest.mark.parametrize(
    ("scenario", "guards"), VARIANTS, ids=[row[0].__name__ for row in VARIANTS]
)
def test_checker_finds_a_missing_guard(scenario, guards, monkeypatch):
    """Guards against an invariant that no test would see broken."""
    scenario()
    for owner, name, variant in guards:
        monkeypatch.setattr(owner, name, variant)
    with pytest.raises(control_fakes.ViolationError):
        scenario()


def test_release_record_names_what_was_reserved():
    """Guards against a checker that never sees a release."""
    world = control_fakes.World()
    world.add_target("lm-0")
    world.start("node-0")
    world.ticket(1, {"report": {}})
    world.run(4)
    world.ticket(2, {"report": None})
    world.run(4)
    assert any(
        isinstance(envelope.body, records.Release) and outcome.accepted
        for _, envelope, outcome in world.outcomes
    )
