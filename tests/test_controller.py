"""Several control cores against an in-memory platform."""

import control_fakes

from quetzalgauge import controller
from quetzalgauge import messages


def make_world(instances=1, targets=1, checks=True, memory_mib=1000):
    world = control_fakes.World()
    for index in range(targets):
        world.add_target(f"lm-{index}", memory_mib, checks)
    for index in range(instances):
        world.start(f"node-{index}")
    return world


def test_cold_model_is_loaded_and_routed():
    """Guards against a break anywhere in the path of a cold start."""
    world = make_world()
    world.ticket(1, {"report": {}})
    world.run(3)
    assert world.holder("lm-0") == "node-0"
    assert world.ledger.reservations("lm-0")
    assert not world.loaded()
    world.want("node-0", "report")
    world.run_until(lambda: world.ready("node-0", "report"), 3)
    assert world.ready("node-0", "report") == ["lm-0"]
    assert sum(world.targets["lm-0"].loads.values()) == 1


def test_drain_ends_soon_while_the_log_is_down():
    """Guards against a stop that waits for the log up to drain_timeout."""
    world = make_world(instances=2)
    world.ticket(1, {"report": {}})
    world.run(3)
    name = world.holder("lm-0")
    world.log_is_down = True
    world.run(1)
    world.send(name, messages.DrainRequested())
    wait = controller.DRAIN_LOG_WAIT.total_seconds()
    world.run(wait - 1)
    assert name not in world.stopped
    world.run(2)
    assert name in world.stopped
    world.log_is_down = False
    world.run(world.linger.total_seconds() + 30)
    assert world.holder("lm-0") not in (None, name)


def test_drain_without_the_log_waits_for_its_orders():
    """Guards against a stop that cuts off work that needs no log."""
    world = make_world()
    world.ticket(1, {"report": {}})
    world.run(3)
    world.holds_orders.add("node-0")
    world.want("node-0", "report")
    world.run(1)
    assert world.unanswered
    world.log_is_down = True
    world.send("node-0", messages.DrainRequested())
    world.run(controller.DRAIN_LOG_WAIT.total_seconds() + 10)
    assert "node-0" not in world.stopped
    world.holds_orders.clear()
    for _, order in world.unanswered:
        done = messages.OrderOutcome.DONE
        world.send("node-0", messages.OrderAnswered(order, done))
    world.run(1)
    assert "node-0" in world.stopped


def test_drain_ends_in_the_usual_way_when_the_log_returns():
    """Guards against open fencing numbers after a short outage."""
    world = make_world()
    world.run(3)
    world.log_is_down = True
    world.send("node-0", messages.DrainRequested())
    world.run(controller.DRAIN_LOG_WAIT.total_seconds() - 2)
    world.log_is_down = False
    world.run(5)
    assert "node-0" in world.stopped
    assert not world.ledger.targets["lm-0"].open_numbers
