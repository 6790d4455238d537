"""Reservations, loads and unloads, on an in-memory platform."""

import control_fakes
import control_faults
import pytest

from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import offers
from quetzalgauge import records
from quetzalgauge import storeshare
from quetzalgauge import unloads
from quetzalgauge.gen import ttypes

ZONE = control_fakes.ZONE


def make_world(instances=2, targets=2, memory_mib=1000, models=None, **more):
    world = control_fakes.World()
    for index in range(targets):
        world.add_target(f"lm-{index}", memory_mib, **more)
    for index in range(instances):
        world.start(f"node-{index}")
    world.ticket(1, models if models is not None else {"report": {}})
    world.run(5)
    return world


def sent(world, action):
    return [order for _, order in world.sent if order.action is action]


def slot(model, index=0):
    return ids.SlotId(model, ZONE, index)


def states(world, node, model):
    return [
        replica.state
        for replica in world.routes(node).replicas
        if replica.slot.model == model
    ]


def test_burst_at_every_instance_is_one_load():
    """Guards against a load per entry instance when demand is sudden."""
    world = make_world(instances=4, targets=4, models={"report": {"most": 3}})
    for node in world.controllers:
        world.want(node, "report", waiting=8)
    world.run_until(lambda: world.ready("node-0", "report"), 3)
    assert len(sent(world, messages.OrderAction.LOAD)) == 1
    assert len(world.loaded()) == 1


def test_second_replica_only_for_more_than_the_first_takes():
    """Guards against idle replicas, and against a replica that is missing."""
    world = make_world(instances=2, targets=3, models={"report": {"most": 2}})
    world.want("node-0", "report", waiting=30)
    world.run(5)
    assert len(world.loaded()) == 1
    world.want("node-1", "report", waiting=30)
    world.run(5)
    assert len(world.loaded()) == 2
    world.want("node-1", "report", waiting=300, origin="another")
    world.run(5)
    assert len(world.loaded()) == 2


def test_minimum_replicas_are_kept_loaded():
    """Guards against a cold model that should be warm."""
    world = make_world(models={"report": {"most": 2, "least": 1}})
    world.run(30)
    assert len(world.loaded()) == 1
    assert not sent(world, messages.OrderAction.UNLOAD)


def test_unreserved_model_takes_the_place_of_an_unused_reservation():
    """Guards against demand that waits while memory is only reserved."""
    models = {f"model-{i}": {"mib": 500} for i in range(6)}
    world = make_world(models=models)
    cold = [m for m in models if slot(m) not in world.ledger.slots]
    assert len(cold) == 2
    world.want("node-0", cold[0])
    world.run_until(lambda: world.ready("node-0", cold[0]), 5)


def test_unreserved_model_prefers_a_target_with_its_checkpoint():
    """Guards against a slow load from the store beside a fast one."""
    world = make_world(targets=3, models={})
    tier = messages.CacheTier.DISK
    world.targets["lm-2"].cached[("report", "v1")] = tier
    world.run(2)
    world.ticket(2, {"report": {}})
    world.run(3)
    assert world.ledger.target_of_slot(slot("report")) == "lm-2"


def test_idle_model_gives_way_to_demand():
    """Guards against demand that waits for memory held by an idle model."""
    models = {f"model-{i}": {"mib": 900} for i in range(2)}
    world = make_world(targets=1, models=models)
    first = next(iter(world.ledger.slots)).model
    other = next(model for model in models if model != first)
    world.want("node-0", first)
    world.run(3)
    assert world.loaded(first)
    world.demand.clear()
    world.want("node-0", other)
    world.run_until(lambda: world.ready("node-0", other), 15)


def test_idle_time_depends_on_the_reload_cost():
    """Guards against an unload that is too early or never happens."""
    world = make_world(targets=1, models={"report": {"mib": 900}})
    world.want("node-0", "report")
    world.run(3)
    world.demand.clear()
    # 900 MiB at 0.5 GB/s, ten times: about 19 s.
    world.run(15)
    assert world.loaded()
    world.run(12)
    assert not world.loaded()
    assert world.ledger.target_of_slot(slot("report")) == "lm-0"
    world.want("node-0", "report")
    world.run(3)
    world.demand.clear()
    # The checkpoint stayed in the target's memory, so it reloads fast.
    world.run(14)
    assert not world.loaded()


def test_unload_is_published_before_it_is_ordered():
    """Guards against an unload while entries still send requests."""
    world = make_world(models={"report": {"mib": 400}})
    for node in ("node-0", "node-1"):
        world.want(node, "report")
    world.run(3)
    world.demand.clear()
    world.ticket(2, {"report": None})
    world.run(0.5)
    for node in ("node-0", "node-1"):
        assert states(world, node, "report") == [ttypes.ReplicaState.UNLOADING]
    assert not sent(world, messages.OrderAction.UNLOAD)
    world.run(unloads.UNLOAD_NOTICE.total_seconds() + 1)
    assert sent(world, messages.OrderAction.UNLOAD)
    assert not world.loaded()
    assert not world.ledger.slots


def test_demand_cancels_an_announced_idle_unload():
    """Guards against an unload of a model that is wanted again."""
    world = make_world(targets=1, models={"report": {"mib": 400}})
    world.want("node-0", "report")
    world.run(3)
    world.demand.clear()
    world.run_until(
        lambda: (
            states(world, "node-0", "report") == [ttypes.ReplicaState.UNLOADING]
        ),
        20,
    )
    world.want("node-0", "report")
    world.run(10)
    assert not sent(world, messages.OrderAction.UNLOAD)
    assert world.ready("node-0", "report")


def test_new_default_version_replaces_the_old_one():
    """Guards against a version that stays after a ticket has changed it."""
    world = make_world(models={"report": {}})
    world.want("node-0", "report")
    world.run(3)
    world.demand.clear()
    both = {"report": {"versions": ["v1", "v2"], "default": "v2"}}
    world.ticket(2, both)
    world.want("node-0", "report", version="v2")
    world.run_until(lambda: ("report", "v2") in loaded_versions(world), 20)
    world.run(5)
    assert loaded_versions(world) == [("report", "v2")]
    world.demand.clear()
    world.want("node-0", "report", version="v1")
    world.run_until(lambda: ("report", "v1") in loaded_versions(world), 20)


def loaded_versions(world):
    return [key for t in world.targets.values() for key in t.models]


def test_lower_maximum_drains_the_surplus():
    """Guards against replicas above a maximum that was lowered."""
    models = {"report": {"most": 2, "least": 2}}
    world = make_world(models=models)
    world.run_until(lambda: len(world.loaded()) == 2, 5)
    world.ticket(2, {"report": {"most": 1, "least": 1}})
    world.run(5)
    assert [place[1].index for place in world.loaded()] == [0]
    assert list(world.ledger.slots) == [slot("report", 0)]


@pytest.mark.parametrize("source", ["list", "status", "operator"])
def test_leaving_target_gives_up_its_slots(source):
    """Guards against new work for a target that leaves, and lost slots."""
    world = make_world(instances=3, targets=2)
    world.want("node-0", "report")
    world.run(3)
    (name,) = world.ready("node-0", "report")
    target = world.targets[name]
    if source == "list":
        target.leaving = True
    elif source == "status":
        target.draining = True
    else:
        event = messages.TargetDrainRequested("token", name)
        world.send("node-1", event)
    world.run(2)
    for node in world.controllers:
        assert name not in world.ready(node, "report")
    # What was said once never reverts.
    target.leaving = target.draining = False
    world.run_until(lambda: world.ready("node-0", "report"), 10)
    assert world.ready("node-0", "report") != [name]
    assert not target.models


@pytest.mark.covers("reclaimed instance", "load")
def test_target_reclaimed_during_a_burst():
    """Guards against a burst that finds no replica after a reclaim."""
    models = {f"model-{i}": {"mib": 400, "most": 2} for i in range(3)}
    world = make_world(instances=3, targets=3, models=models)
    for target in world.targets.values():
        target.load_seconds = 3
    for model in models:
        for node in world.controllers:
            world.want(node, model, waiting=20)
    world.run(2)
    victim = world.loaded()[0][0]
    world.targets[victim].alive = False
    world.suspects = [victim]
    world.run(1)
    world.targets[victim].listed = False
    world.run_until(
        lambda: all(world.ready("node-0", model) for model in models), 30
    )


def test_store_share_limits_loads_at_once():
    """Guards against more loads than the zone's share of the store."""
    models = {f"model-{i}": {"mib": 400} for i in range(8)}
    world = make_world(instances=1, targets=8, models=models)
    for target in world.targets.values():
        target.load_seconds = 5
    for model in models:
        world.want("node-0", model)
    world.run(3)
    assert len(world.loaded()) == 4
    world.run(6)
    assert len(world.loaded()) == 8


def test_zone_share_adds_up_to_the_region_limit():
    """Guards against zones that together exceed the store's limit."""
    world = make_world(targets=0)
    world.start("node-10", zone="uy-south-b")
    world.start("node-11", zone="uy-south-c")
    world.run(2)
    zones = ("uy-south-a", "uy-south-b", "uy-south-c")
    shares = [storeshare.zone_share(world.ledger, 4, zone) for zone in zones]
    assert shares == [2, 1, 1]


@pytest.mark.covers("log outage", "load")
def test_log_down_while_a_model_is_cold():
    """Guards against a cold start that needs the log."""
    world = make_world(instances=3)
    world.log_is_down = True
    world.run(20)
    for node in world.controllers:
        world.want(node, "report")
    world.run_until(lambda: world.ready("node-2", "report"), 5)
    assert len(world.loaded()) == 1


@pytest.mark.covers("log outage", "drain")
def test_log_down_while_a_target_leaves():
    """Guards against a slot that is loaded twice without the log."""
    world = make_world()
    world.want("node-0", "report")
    world.run(3)
    (name,) = world.ready("node-0", "report")
    world.log_is_down = True
    world.run(1)
    world.targets[name].leaving = True
    world.run(20)
    assert world.ledger.target_of_slot(slot("report")) == name
    assert not world.ready("node-0", "report")
    world.log_is_down = False
    world.run_until(lambda: world.ready("node-0", "report"), 10)


@pytest.mark.covers("cut", "load")
@pytest.mark.covers("cut", "ticket")
def test_cut_off_zone_with_one_instance():
    """Guards against a cut-off zone that cannot load its reserved slots."""
    world = make_world(instances=1, targets=1)
    world.add_target("lm-9", zone="uy-south-b")
    world.start("node-9", zone="uy-south-b")
    both = {"report": {"zones": [ZONE, "uy-south-b"]}}
    world.ticket(2, both)
    world.run(5)
    world.cut.add("node-9")
    world.isolated.add("node-9")
    world.run(60)
    world.want("node-9", "report")
    world.run_until(lambda: world.ready("node-9", "report"), 5)
    assert world.holder("lm-9") == "node-9"
    world.ticket(3, {"report": None})
    world.run(10)
    assert world.loaded()
    world.cut.clear()
    world.isolated.clear()
    world.demand.clear()
    world.run(10)
    assert not world.loaded()


def test_demand_of_a_zone_without_replicas_goes_to_another():
    """Guards against a model that only entries of its own zone can start."""
    world = make_world(instances=1, targets=1)
    world.start("node-9", zone="uy-south-b")
    world.run(3)
    world.want("node-9", "report")
    world.run_until(lambda: world.ready("node-9", "report"), 10)


def test_refused_load_is_tried_again():
    """Guards against a slot that is stuck after one refused order."""
    world = make_world(instances=1, targets=1)
    real = world.targets["lm-0"].order
    refused = messages.OrderOutcome.REFUSED
    world.targets["lm-0"].order = lambda order, now: refused
    world.want("node-0", "report")
    world.run(3)
    tries = len(sent(world, messages.OrderAction.LOAD))
    assert 2 <= tries <= 4
    world.targets["lm-0"].order = real
    world.run_until(lambda: world.loaded(), 3)


def test_failed_load_is_tried_again():
    """Guards against a slot that is stuck after a load that vanished."""
    world = make_world(instances=1, targets=1)
    world.targets["lm-0"].load_seconds = 60
    world.want("node-0", "report")
    world.run(2)
    world.targets["lm-0"].models.clear()
    world.targets["lm-0"].load_seconds = 1
    world.run_until(lambda: world.ready("node-0", "report"), 10)


def test_released_slot_is_not_loaded():
    """Guards against a load that overtakes the release of its slot."""
    world = make_world(instances=1, targets=1)
    world.lose_append = lambda bodies: any(
        isinstance(body, records.Release) for body in bodies
    )
    world.ticket(2, {"report": {"most": 0}})
    world.want("node-0", "report")
    world.run(3)
    world.ticket(3, {"report": {}})
    world.run(10)
    assert len(world.loaded()) == 1


@pytest.mark.covers("log outage", "load")
def test_release_that_was_not_sent_does_not_block_a_load():
    """Guards against a cold slot that waits for the end of an outage."""
    world = make_world(instances=1, targets=1)
    core = world.controllers["node-0"]
    number = world.ledger.targets["lm-0"].fencing_number
    world.log_is_down = True
    core._propose(records.Renew())
    assert core._decisions.appends.start()  # This append hangs.
    core._propose(records.Release("lm-0", number, slot("report")))
    world.want("node-0", "report")
    world.run(2)
    assert world.loaded("report")


def test_a_holder_that_does_not_reserve_keeps_nobody_else_from_it():
    """Guards against memory that stays unused beside a stuck process."""
    models = {f"model-{i:02}": {"mib": 10} for i in range(90)}
    world = make_world(targets=2, models={})
    assert {world.holder(name) for name in world.targets} == {
        "node-0",
        "node-1",
    }
    stuck = world.controllers["node-1"]._placement
    stuck.reservations.review = lambda now: None
    world.ticket(2, models)
    world.run(30)
    name = next(t for t in world.targets if world.holder(t) == "node-0")
    assert len(world.ledger.reservations(name)) >= 40


def test_one_target_gets_one_slot_of_a_model():
    """Guards against a second replica that the engine takes for the first."""
    world = make_world(targets=1, models={"report": {"most": 2, "least": 2}})
    assert list(world.ledger.slots) == [slot("report", 0)]
    world.add_target("lm-1")
    world.run_until(lambda: len(world.loaded()) == 2, 15)
    assert {place[0] for place in world.loaded()} == {"lm-0", "lm-1"}


OTHER_ZONE = "uy-south-b"
BOTH_ZONES = {"report": {"zones": [ZONE, OTHER_ZONE]}}


def make_region():
    """Returns a world of two zones with one instance and one target each."""
    world = control_fakes.World()
    world.add_target("lm-0", zone=ZONE)
    world.add_target("lm-1", zone=OTHER_ZONE)
    world.start("node-0", ZONE, warm_checkpoints=False)
    world.start("node-1", OTHER_ZONE, warm_checkpoints=False)
    world.ticket(1, BOTH_ZONES)
    world.run(5)
    return world


def test_burst_in_two_zones_is_one_load_where_the_checkpoint_is():
    """Guards against a load in each zone, from the store or not."""
    for holder in ("lm-0", "lm-1"):
        world = make_region()
        world.targets[holder].cached["report", "v1"] = messages.CacheTier.DISK
        world.run(3)
        for _ in range(8):
            world.want("node-0", "report", waiting=5)
            world.want("node-1", "report", waiting=5)
            world.run(1)
        assert [name for name, _ in world.loaded()] == [holder]
        assert sum(sum(t.loads.values()) for t in world.targets.values()) == 1


@pytest.mark.covers("cut", "load")
def test_zone_without_the_log_loads_for_itself():
    """Guards against a cut-off zone that waits for a load elsewhere."""
    for cut in ("node-0", "node-1"):
        world = make_region()
        world.cut.add(cut)
        world.isolated.add(cut)
        world.run(10)
        for _ in range(20):
            world.want(cut, "report", waiting=5)
            world.run(1)
        own = "lm-0" if cut == "node-0" else "lm-1"
        assert [name for name, _ in world.loaded()] == [own]


@pytest.mark.covers("cut", "load")
def test_zone_serves_itself_when_the_chosen_zone_does_not_answer():
    """Guards against requests that wait for a holder out of reach."""
    world = make_region()
    # Both read the log, so both hold their leases, but no message passes.
    world.isolated.update(world.controllers)
    for name, own in (("node-0", "lm-0"), ("node-1", "lm-1")):
        demand = ttypes.Demand(
            model="report",
            version="v1",
            waiting=5,
            running=0,
            oldest_wait_s=offers.REGION_PATIENCE.total_seconds() + 1,
            priority=5,
            origin=f"entry-{name}",
        )
        for _ in range(12):
            world.demand[name].append(demand)
            world.run(0.5)
        assert own in [target for target, _ in world.loaded()]


@pytest.mark.covers("slow weight store", "load")
def test_no_second_load_when_the_first_replica_has_just_become_ready():
    """Guards against a load in each other zone at the end of a slow load.

    Requests that waited longer than REGION_PATIENCE were still reported for a
    moment after the replica was ready, and both other zones loaded the model.
    """
    world = make_region()
    for target in world.targets.values():
        target.load_seconds = offers.REGION_PATIENCE.total_seconds() + 5
    for second in range(60):
        for name in list(world.controllers):
            world.demand[name].append(
                ttypes.Demand(
                    model="report",
                    version="v1",
                    waiting=5,
                    running=0,
                    oldest_wait_s=second / 2,
                    priority=5,
                    origin=f"entry-{name}",
                )
            )
        world.run(0.5)
    assert len(world.loaded()) == 1


# ---- Each fault in the middle of a load and of an unload -------------------


def count_loads(world):
    return sum(t.loads.total() for t in world.targets.values())


@pytest.mark.parametrize(
    "name",
    control_faults.covers(
        "load",
        control_faults.DUPLICATE,
        control_faults.REORDER,
        control_faults.RACE,
        control_faults.SLOW_STORE,
        control_faults.HALF_OPEN,
        control_faults.LOST,
    ),
)
def test_fault_during_a_load(name):
    """Guards against a lost or a second load, whatever fails meanwhile."""
    world = control_faults.make_world()
    node = world.holder(world.ledger.target_of_slot(slot("report")))
    for target in world.targets.values():
        target.load_seconds = 5
    fault = control_faults.Fault(world, node)
    if name != control_faults.RACE:
        fault.begin(name)
    for one in world.controllers:
        world.want(one, "report")
    world.run(1)
    if name == control_faults.RACE:
        assert world.loaded()
        fault.begin(name)
    world.run(19)
    fault.end()
    if name not in (control_faults.RACE, control_faults.SLOW_STORE):
        assert messages.OrderAction.LOAD in fault.hits
    world.run_until(lambda: control_faults.ready_everywhere(world), 60)
    assert count_loads(world) == 1
    if fault.tokens:
        verdicts = control_faults.verdicts(world, fault.tokens)
        assert verdicts == ["accepted", "conflict"]


def begin_unload(world):
    """Removes a loaded model; returns its target and the holder of it."""
    for node in world.controllers:
        world.want(node, "report")
    world.run_until(lambda: control_faults.ready_everywhere(world))
    world.demand.clear()
    world.ticket(2, {"report": None})
    world.run(0.5)
    ((target, _),) = world.loaded()
    return target, world.holder(target)


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize(
    "name",
    control_faults.covers(
        "unload",
        control_faults.CRASH,
        control_faults.PAUSE,
        control_faults.CUT,
        control_faults.HALF_OPEN,
        control_faults.LOST,
        control_faults.DUPLICATE,
        control_faults.REORDER,
        control_faults.OUTAGE,
        control_faults.RECLAIMED,
    ),
)
def test_fault_during_an_unload(name, checks):
    """Guards against a replica that stays, or a slot given up too early."""
    world = control_faults.make_world(checks=checks)
    _, holder = begin_unload(world)
    fault = control_faults.Fault(world, holder)
    fault.begin(name)
    assert world.loaded()
    world.run(20)
    fault.end()
    if name in control_faults.OF_MESSAGES:
        assert messages.OrderAction.UNLOAD in fault.hits
    world.run_until(lambda: not world.loaded() and not world.ledger.slots, 90)
    world.ticket(3, {"report": {}})
    world.want("node-1" if holder == "node-0" else "node-0", "report")
    world.run_until(lambda: control_faults.ready_everywhere(world), 60)
    assert count_loads(world) == 2


@pytest.mark.covers("reclaimed instance", "unload")
def test_target_reclaimed_during_an_unload():
    """Guards against an unload that waits for a target that has gone."""
    world = control_faults.make_world()
    name, _ = begin_unload(world)
    world.targets[name].alive = world.targets[name].listed = False
    world.run_until(lambda: not world.ledger.slots, 30)
    assert world.ledger.targets[name].incarnation is None
    world.ticket(3, {"report": {}})
    world.want("node-0", "report")
    world.run_until(lambda: control_faults.ready_everywhere(world), 30)


@pytest.mark.covers("racing tickets", "unload")
def test_tickets_race_during_an_unload():
    """Guards against an unload that a racing ticket undoes by half."""
    world = control_faults.make_world()
    begin_unload(world)
    fault = control_faults.Fault(world, "node-0")
    fault.begin(control_faults.RACE)
    world.want("node-0", "report")
    world.run(20)
    assert control_faults.verdicts(world, fault.tokens) == [
        "accepted",
        "conflict",
    ]
    assert control_faults.ready_everywhere(world)
    assert len(world.loaded()) == 1


@pytest.mark.covers("log outage", "unload")
@pytest.mark.covers("crash", "unload")
def test_holder_dies_during_an_unload_without_the_log():
    """Guards against two faults that each alone are survived."""
    world = control_faults.make_world()
    target, holder = begin_unload(world)
    world.log_is_down = True
    world.run(1)
    world.kill(holder)
    world.run(20)
    assert world.ledger.target_of_slot(slot("report")) == target
    world.log_is_down = False
    world.run_until(lambda: not world.loaded() and not world.ledger.slots, 60)


@pytest.mark.covers("lost acknowledgement", "load")
@pytest.mark.covers("crash", "load")
@pytest.mark.covers("slow weight store", "load")
def test_holder_dies_after_a_lost_answer_during_a_slow_load():
    """Guards against a second load when nobody knows of the first."""
    world = control_faults.make_world(targets=1)
    holder = world.holder("lm-0")
    fault = control_faults.Fault(world, holder)
    fault.begin(control_faults.SLOW_STORE)
    fault.begin(control_faults.LOST)
    for node in world.controllers:
        world.want(node, "report")
    world.run_until(lambda: world.loaded(), 5)
    world.kill(holder)
    world.unlisted.add(holder)
    fault.end()
    assert messages.OrderAction.LOAD in fault.hits
    world.run_until(lambda: control_faults.ready_everywhere(world), 60)
    assert count_loads(world) == 1


@pytest.mark.parametrize("instances", [1, 2, 4])
def test_holders_that_start_at_once_stay_within_the_share(instances):
    """Guards against a store limit that each holder counts for itself.

    Views of other holders' loads arrive only after their status was polled.
    """
    models = {f"model-{i}": {"mib": 900} for i in range(8)}
    world = control_fakes.World()
    for index in range(8):
        world.add_target(f"lm-{index}").load_seconds = 5.0
    for index in range(instances):
        world.start(f"node-{index}", warm_checkpoints=False)
    world.ticket(1, models)
    world.run(20)
    holders = {world.holder(name) for name in world.targets}
    assert len(holders) == instances
    assert not world.loaded()
    for name in world.controllers:
        for model in models:
            world.want(name, model)
    most = 0
    for _ in range(40):
        world.run(0.25)
        now = world.clock()
        most = max(
            most,
            sum(
                replica.state is messages.ReplicaState.LOADING
                for target in world.targets.values()
                for replica in target.status(now).models
            ),
        )
    assert most <= 4
