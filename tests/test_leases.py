"""Leases, fencing numbers and closure, on an in-memory platform."""

import control_fakes
import control_faults
import pytest

from quetzalgauge import controller
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import records


def make_world(instances=2, targets=1, checks=True, models=1, **options):
    world = control_fakes.World()
    for index in range(targets):
        world.add_target(f"lm-{index}", 1000, checks)
    for index in range(instances):
        world.start(f"node-{index}", **options)
    names = [f"report-{index}" for index in range(models)]
    world.ticket(1, {name: {"mib": 400} for name in names})
    world.run(4)
    return world


def accepted(world, kind):
    return [
        envelope.body
        for _, envelope, outcome in world.outcomes
        if outcome.accepted and isinstance(envelope.body, kind)
    ]


def other_than(world, name):
    return next(node for node in world.controllers if node != name)


def test_a_target_has_one_holder_and_is_registered():
    """Guards against several claims, or a target that stays unusable."""
    world = make_world(instances=3, targets=3)
    assert all(world.holder(target) for target in world.targets)
    assert len(accepted(world, records.LeaseClaim)) == 3
    assert len(accepted(world, records.TargetRegister)) == 3


def test_leases_are_renewed():
    """Guards against a lease that runs out under a living holder."""
    world = make_world()
    holder = world.holder("lm-0")
    world.run(30)
    assert world.holder("lm-0") == holder
    assert len(accepted(world, records.LeaseClaim)) == 1


def test_leases_spread_to_a_new_process():
    """Guards against one process that carries all targets of a zone."""
    world = make_world(instances=1, targets=6)
    world.start("node-1")
    world.run(40)
    held = [world.holder(target) for target in world.targets]
    assert 2 <= held.count("node-1") <= 4
    world.run(30)
    assert held == [world.holder(target) for target in world.targets]


@pytest.mark.covers("pause beyond the lease", "load")
@pytest.mark.covers("pause beyond the lease", "lease change")
@pytest.mark.covers("reorder", "load")
@pytest.mark.parametrize("checks", [True, False])
def test_late_load_of_a_paused_holder(checks):
    """Guards against a slot that is loaded twice by a holder that woke up."""
    world = make_world(checks=checks)
    paused = world.holder("lm-0")
    successor = other_than(world, paused)
    target = world.ledger.target_of_slot(
        ids.SlotId("report-0", control_fakes.ZONE, 0)
    )
    world.holds_orders.add(paused)
    world.want(paused, "report-0")
    world.run(0.5)
    assert world.late_orders
    world.paused.add(paused)
    world.demand.clear()
    world.run(15)
    assert world.holder(target) == successor
    is_closed = world.ledger.older_numbers_closed(target)
    assert is_closed == checks
    # The successor may use the reservation, but not give it up while the late
    # order could still act.
    world.ticket(2, {"report-0": None, "other": {"mib": 900}})
    world.run(5)
    world.deliver_late()
    loaded = world.loaded()
    assert bool(loaded) == (not checks)
    world.paused.clear()
    world.drop_connections(paused)
    world.run(140)
    assert not world.loaded()
    assert world.ledger.older_numbers_closed(target)
    world.want(successor, "other")
    world.run_until(lambda: world.loaded("other"))


@pytest.mark.covers("crash", "load")
@pytest.mark.covers("reclaimed instance", "lease change")
def test_killed_holder_on_a_target_that_ignores_numbers():
    """Guards against a release before a dead holder's orders have ended."""
    world = make_world(checks=False)
    dead = world.holder("lm-0")
    world.holds_orders.add(dead)
    world.want(dead, "report-0")
    world.run(0.5)
    world.kill(dead)
    world.unlisted.add(dead)
    world.demand.clear()
    world.ticket(2, {"report-0": None})
    world.run(60)
    assert world.ledger.reservations("lm-0")
    world.deliver_late()
    assert world.loaded()
    world.run(100)
    assert not world.loaded()
    assert not world.ledger.reservations("lm-0")
    proofs = {body.proof for body in accepted(world, records.Close)}
    assert proofs == {records.CloseProof.WRITER_GONE}


def test_restarted_process_takes_over_its_own_targets():
    """Guards against a wait for a lease of the same instance."""
    world = make_world(instances=1)
    world.want("node-0", "report-0")
    world.run(3)
    world.demand.clear()
    world.start("node-0")
    world.run(4)
    assert world.holder("lm-0") == "node-0"
    assert world.ready("node-0", "report-0") == ["lm-0"]
    assert world.targets["lm-0"].loads.total() == 1


@pytest.mark.covers("lost acknowledgement", "lease change")
@pytest.mark.covers("lost acknowledgement", "start")
@pytest.mark.covers("lost acknowledgement", "drain")
@pytest.mark.parametrize(
    "kind",
    [
        records.Register,
        records.LeaseClaim,
        records.TargetRegister,
        records.Renew,
        records.Reserve,
        records.Release,
        records.Close,
        records.Resign,
        records.TargetGone,
        records.InstanceGone,
    ],
)
def test_lost_acknowledgement(kind):
    """Guards against an append that is repeated with a second effect."""
    lost = []

    def lose(bodies):
        is_lost = len(lost) < 2 and any(isinstance(b, kind) for b in bodies)
        if is_lost:
            lost.append(bodies)
        return is_lost

    world = control_fakes.World()
    world.lose_append = lose
    world.add_target("lm-0")
    world.add_target("lm-1")
    world.start("node-0")
    world.start("node-1")
    world.ticket(1, {"report": {"mib": 400}, "other": {"mib": 400}})
    world.want("node-0", "report")
    world.want("node-1", "report")
    world.run(6)
    world.ticket(2, {"other": None})
    world.run(4)
    world.targets["lm-1"].restart()
    world.run(10)
    holder = world.holder("lm-0")
    world.send(holder, messages.DrainRequested())
    world.run(5)
    world.kill(holder)
    world.unlisted.add(holder)
    world.run(30)
    assert lost
    survivor = other_than(world, holder)
    assert world.holder("lm-0") == survivor
    assert world.ready(survivor, "report")
    assert len(world.loaded()) == 1


@pytest.mark.covers("half-open connection", "load")
@pytest.mark.covers("reorder", "load")
@pytest.mark.parametrize("checks", [True, False])
def test_restarted_target_with_orders_in_flight(checks):
    """Guards against a registration that a late order could overtake."""
    world = make_world(checks=checks)
    holder = world.holder("lm-0")
    world.holds_orders.add(holder)
    world.want(holder, "report-0")
    world.run(1)
    assert world.late_orders
    world.targets["lm-0"].restart()
    world.run(10)
    assert world.ledger.targets["lm-0"].incarnation is None
    world.drop_connections(holder)
    world.run(110)
    assert world.ledger.targets["lm-0"].incarnation is None
    assert set(world.deliver_late()) == {messages.OrderOutcome.NOT_SENT}
    world.run(20)
    assert world.ledger.targets["lm-0"].incarnation == "2"
    assert world.ready(holder, "report-0") == ["lm-0"]


def test_target_that_is_dropped_from_the_list():
    """Guards against slots that stay reserved on a dead target."""
    world = make_world(targets=2)
    target = world.ledger.target_of_slot(
        ids.SlotId("report-0", control_fakes.ZONE, 0)
    )
    world.targets[target].alive = False
    world.targets[target].listed = False
    world.run(15)
    assert world.ledger.targets[target].incarnation is None
    world.want("node-0", "report-0")
    world.run_until(lambda: world.ready("node-0", "report-0"))


def test_a_target_that_still_answers_is_not_gone():
    """Guards against freed memory when only the instance list is wrong."""
    world = make_world()
    world.targets["lm-0"].listed = False
    world.run(20)
    assert not accepted(world, records.TargetGone)


@pytest.mark.covers("crash", "lease change")
@pytest.mark.covers("log outage", "lease change")
def test_log_down_while_a_holder_dies():
    """Guards against a takeover without the log, or none after it."""
    world = make_world()
    dead = world.holder("lm-0")
    survivor = other_than(world, dead)
    world.want(survivor, "report-0")
    world.run(3)
    world.log_is_down = True
    world.run(1)
    world.kill(dead)
    world.run(20)
    assert world.holder("lm-0") == dead
    assert world.ready(survivor, "report-0") == ["lm-0"]
    world.log_is_down = False
    world.run(15)
    assert world.holder("lm-0") == survivor
    assert world.ready(survivor, "report-0") == ["lm-0"]


@pytest.mark.covers("log outage", "lease change")
def test_an_outage_of_the_log_moves_no_lease():
    """Guards against takeovers of living holders when the log comes back."""
    world = make_world(instances=3, targets=3)
    before = [world.holder(target) for target in world.targets]
    world.log_is_down = True
    world.run(30)
    world.log_is_down = False
    world.run(15)
    assert before == [world.holder(target) for target in world.targets]


def test_drain_with_loads_in_progress():
    """Guards against open numbers or a cut load after a planned stop."""
    world = make_world(checks=False)
    world.targets["lm-0"].load_seconds = 20
    holder = world.holder("lm-0")
    successor = other_than(world, holder)
    world.want(holder, "report-0")
    world.run(1)
    assert world.loaded()
    world.send(holder, messages.DrainRequested())
    world.run(3)
    assert holder in world.stopped
    world.demand.clear()
    world.want(successor, "report-0")
    world.run(25)
    assert world.holder("lm-0") == successor
    assert world.ledger.older_numbers_closed("lm-0")
    assert world.ready(successor, "report-0") == ["lm-0"]
    assert world.targets["lm-0"].loads.total() == 1


@pytest.mark.covers("half-open connection", "drain")
def test_drain_waits_for_an_order_without_answer():
    """Guards against a closure while an own order may still act."""
    world = make_world(checks=False)
    holder = world.holder("lm-0")
    world.holds_orders.add(holder)
    world.want(holder, "report-0")
    world.run(0.5)
    world.send(holder, messages.DrainRequested())
    world.run(5)
    world.drop_connections(holder)
    world.run(100)
    assert holder not in world.stopped
    assert not world.ledger.older_numbers_closed("lm-0")
    world.run(30)
    assert holder in world.stopped
    assert world.ledger.older_numbers_closed("lm-0")


def test_a_process_that_was_declared_gone_stops():
    """Guards against orders of a process that has lost its registration."""
    world = make_world()
    world.unlisted.add("node-0")
    world.run(15)
    assert "node-0" in world.stopped
    assert all(world.holder(t) == "node-1" for t in world.targets)


# ---- Each fault during a lease change, a drain and a start ------------------


def start_load(world):
    """Begins a load; returns its target, holder and another process."""
    for node in world.controllers:
        world.want(node, "report")
    world.run_until(lambda: world.loaded(), 5)
    ((target, _),) = world.loaded()
    holder = world.holder(target)
    return target, holder, other_than(world, holder)


def check_recovery(world, target):
    """Waits until a living holder serves the only load of the model."""

    def is_served():
        holder = world.holder(target)
        return (
            holder in set(world.controllers) - world.stopped
            and world.ledger.older_numbers_closed(target)
            and control_faults.ready_everywhere(world)
        )

    world.run_until(is_served, 90)
    assert sum(t.loads.total() for t in world.targets.values()) == 1
    world.check()


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize(
    "name",
    control_faults.covers(
        "lease change",
        control_faults.CRASH,
        control_faults.PAUSE,
        control_faults.CUT,
        control_faults.HALF_OPEN,
        control_faults.LOST,
        control_faults.DUPLICATE,
        control_faults.OUTAGE,
        control_faults.RACE,
        control_faults.RECLAIMED,
    ),
)
def test_fault_at_the_successor_during_a_lease_change(name, checks):
    """Guards against a target without a holder, or one with two."""
    needs_third = name in (control_faults.RACE, control_faults.RECLAIMED)
    world = control_faults.make_world(2 + needs_third, checks=checks)
    target, holder, successor = start_load(world)
    world.kill(holder)
    if name in control_faults.OF_PROCESSES:
        world.run_until(lambda: world.holder(target) != holder)
        successor = world.holder(target)
    else:
        world.run(8)
        assert world.holder(target) == holder
    fault = control_faults.Fault(world, successor, records.LeaseClaim)
    fault.begin(name)
    world.run(15)
    fault.end()
    world.unlisted.add(holder)
    if name in control_faults.OF_MESSAGES:
        assert records.LeaseClaim in fault.hits
    check_recovery(world, target)
    if fault.tokens:
        verdicts = control_faults.verdicts(world, fault.tokens)
        assert verdicts == ["accepted", "conflict"]


@pytest.mark.covers("reclaimed instance", "lease change")
def test_target_reclaimed_during_a_lease_change():
    """Guards against a slot that stays on a target without a holder."""
    world = control_faults.make_world()
    target, holder, _ = start_load(world)
    world.kill(holder)
    world.unlisted.add(holder)
    world.targets[target].alive = world.targets[target].listed = False
    world.run_until(lambda: control_faults.ready_everywhere(world), 60)
    assert world.ledger.targets[target].incarnation is None


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize(
    "name",
    control_faults.covers(
        "drain",
        control_faults.CRASH,
        control_faults.PAUSE,
        control_faults.CUT,
        control_faults.HALF_OPEN,
        control_faults.LOST,
        control_faults.DUPLICATE,
        control_faults.OUTAGE,
        control_faults.SLOW_STORE,
        control_faults.RACE,
        control_faults.RECLAIMED,
    ),
)
def test_fault_during_a_drain(name, checks):
    """Guards against a load that is cut off or repeated by a planned stop."""
    world = control_faults.make_world(checks=checks)
    for target in world.targets.values():
        target.load_seconds = 30
    target, holder, _ = start_load(world)
    fault = control_faults.Fault(world, holder)
    world.send(holder, messages.DrainRequested())
    fault.begin(name)
    world.run(15)
    fault.end()
    if name in control_faults.OF_MESSAGES:
        assert records.Resign in fault.hits
    if name not in (control_faults.CRASH, control_faults.RECLAIMED):
        world.run_until(lambda: holder in world.stopped, 60)
        world.kill(holder)
    if name in (control_faults.CUT, control_faults.OUTAGE):
        # Without the log the drain ends before its numbers are closed. The
        # list drops an instance that has stopped, and its successor closes
        # them.
        world.unlisted.add(holder)
    check_recovery(world, target)
    if fault.tokens:
        verdicts = control_faults.verdicts(world, fault.tokens)
        assert verdicts == ["accepted", "conflict"]


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize(
    "name",
    control_faults.covers(
        "start",
        control_faults.CRASH,
        control_faults.PAUSE,
        control_faults.CUT,
        control_faults.HALF_OPEN,
        control_faults.LOST,
        control_faults.DUPLICATE,
        control_faults.OUTAGE,
        control_faults.SLOW_STORE,
        control_faults.RECLAIMED,
    ),
)
def test_fault_during_a_restart_in_the_middle_of_a_load(name, checks):
    """Guards against a start that forgets or repeats the load."""
    world = control_faults.make_world(checks=checks)
    for target in world.targets.values():
        target.load_seconds = 30
    target, holder, _ = start_load(world)
    world.start(holder)
    fault = control_faults.Fault(world, holder)
    if name in control_faults.OF_PROCESSES:
        world.run(0.25)
    fault.begin(name)
    world.run(15)
    fault.end()
    if name in control_faults.OF_MESSAGES:
        assert records.Register in fault.hits
    check_recovery(world, target)
    assert all(core.is_ready for core in world.controllers.values())


@pytest.mark.covers("log outage", "drain")
@pytest.mark.covers("lost acknowledgement", "drain")
def test_log_outage_and_lost_answers_during_a_drain():
    """Guards against two faults that each alone are survived."""
    world = control_faults.make_world(checks=False)
    target, holder, _ = start_load(world)
    fault = control_faults.Fault(world, holder)
    fault.begin(control_faults.LOST)
    fault.begin(control_faults.OUTAGE)
    world.send(holder, messages.DrainRequested())
    world.run(controller.DRAIN_LOG_WAIT.total_seconds() - 1)
    assert holder not in world.stopped
    world.run_until(lambda: holder in world.stopped, 30)
    assert world.ledger.leases_of(world.controllers[holder]._ctx.writer)
    world.kill(holder)
    world.unlisted.add(holder)
    fault.end()
    check_recovery(world, target)


@pytest.mark.covers("pause beyond the lease", "lease change")
@pytest.mark.covers("half-open connection", "lease change")
def test_paused_holder_with_silent_connections_loses_its_lease():
    """Guards against two faults that each alone are survived."""
    world = control_faults.make_world(checks=False)
    target = world.ledger.target_of_slot(
        ids.SlotId("report", control_fakes.ZONE, 0)
    )
    holder = world.holder(target)
    fault = control_faults.Fault(world, holder)
    fault.begin(control_faults.HALF_OPEN)
    for node in world.controllers:
        world.want(node, "report")
    world.run(1)
    fault.begin(control_faults.PAUSE)
    world.run(20)
    assert world.holder(target) != holder
    fault.end()
    world.deliver_late()
    check_recovery(world, target)


@pytest.mark.parametrize(
    "name",
    control_faults.covers(
        "lease change",
        control_faults.CRASH,
        control_faults.CUT,
        control_faults.PAUSE,
    ),
)
def test_survivor_keeps_the_leases_of_a_peer_that_takes_none(name):
    """Guards against targets without a holder beside a silent peer.

    The survivor resigned a lease every few seconds to share it with a listed
    peer that never claimed it.
    """
    world = control_faults.make_world()
    silent, survivor = (world.holder(t) for t in ("lm-0", "lm-1"))
    assert silent != survivor
    fault = control_faults.Fault(world, silent)
    fault.begin(name)
    world.run_until(lambda: world.holder("lm-0") == survivor)
    free = 0
    for _ in range(100):
        world.run(1)
        free += sum(world.holder(t) is None for t in world.targets)
    assert free <= 10
    fault.end()
    world.run(10)
    assert all(world.holder(t) for t in world.targets)


@pytest.mark.covers("crash", "start")
@pytest.mark.covers("reclaimed instance", "start")
def test_processes_that_end_while_they_start():
    """Guards against leases or loads that half-started processes keep."""
    world = control_faults.make_world()
    target, holder, _ = start_load(world)
    for number in range(2, 6):
        world.start(f"node-{number}")
        world.run(0.25 * number)
        world.kill(f"node-{number}")
        if number % 2:
            world.unlisted.add(f"node-{number}")
    world.start("node-9")
    world.run(40)
    world.run_until(lambda: world.controllers["node-9"].is_ready, 5)
    check_recovery(world, target)


@pytest.mark.covers("reorder", "drain")
@pytest.mark.parametrize("checks", [True, False])
def test_load_order_arrives_late_in_a_drain(checks):
    """Guards against a late load of a process that drains."""
    world = control_faults.make_world(checks=checks)
    slot = ids.SlotId("report", control_fakes.ZONE, 0)
    target = world.ledger.target_of_slot(slot)
    holder = world.holder(target)
    fault = control_faults.Fault(world, holder)
    fault.begin(control_faults.REORDER)
    for node in world.controllers:
        world.want(node, "report")
    world.run(1)
    assert messages.OrderAction.LOAD in fault.hits
    world.send(holder, messages.DrainRequested())
    world.run(5)
    assert world.holder(target) != holder
    assert holder not in world.stopped
    fault.end()
    world.run_until(lambda: holder in world.stopped, 60)
    check_recovery(world, target)


@pytest.mark.covers("reorder", "start")
@pytest.mark.parametrize("checks", [True, False])
def test_load_order_arrives_after_its_sender_has_started_again(checks):
    """Guards against an order of the former process with a second effect."""
    world = control_faults.make_world(checks=checks)
    slot = ids.SlotId("report", control_fakes.ZONE, 0)
    target = world.ledger.target_of_slot(slot)
    holder = world.holder(target)
    world.holds_orders.add(holder)
    for node in world.controllers:
        world.want(node, "report")
    world.run(1)
    assert not world.loaded()
    world.holds_orders.clear()
    world.start(holder)
    world.run(3)
    assert world.deliver_late()
    check_recovery(world, target)


def test_a_status_from_before_the_claim_releases_nothing():
    """Guards against a release of what another holder has loaded since.

    The status was asked for in an earlier lease, and its answer comes when the
    target was held by another process and is held again.
    """
    world = make_world(instances=1)
    # A cached checkpoint is not loaded without demand.
    tier = messages.CacheTier.DISK
    world.targets["lm-0"].cached[("report-0", "v1")] = tier
    world.run(1)
    core = world.controllers["node-0"]
    poll = world._do_PollTarget
    status = world.targets["lm-0"].status(world.clock())
    held_back = []
    world._do_PollTarget = lambda name, action: held_back.append(action)
    world.run(1.5)
    assert len(held_back) == 1
    claim = records.LeaseClaim("lm-0", world.ledger.latest_renewal("lm-0"))
    core._propose(claim)
    world.send("node-0", messages.Tick())
    world._pump()
    assert world.ledger.lease("lm-0").fencing_number > 1
    assert world.ledger.older_numbers_closed("lm-0")
    world.targets["lm-0"].models[("report-0", "v1")] = [
        ids.SlotId("report-0", control_fakes.ZONE, 0),
        1,
        world.clock(),
        set(),
    ]
    world.ticket(2, {"report-0": None})
    world.send("node-0", messages.TargetPolled("lm-0", status))
    world._pump()
    assert len(accepted(world, records.Release)) == 0
    world._do_PollTarget = poll
    for action in held_back[1:]:
        poll("node-0", action)
    world.run(10)
    assert not world.loaded()
    assert len(accepted(world, records.Release)) == 1
