"""Adapters become resident, within memory and the share of the store."""

import datetime

import control_fakes
import pytest

from quetzalgauge import messages
from quetzalgauge.gen import ttypes

RESIDENT = ttypes.AdapterDecision.RESIDENT
REFUSED = ttypes.AdapterDecision.REFUSED


@pytest.fixture
def world():
    world = control_fakes.World()
    world.add_target("lm-0", checks=False)
    for index in range(2):
        world.start(f"node-{index}")
    adapters = {
        f"loft-{i}": {"model": "report", "memory_mib": 20} for i in range(4)
    }
    world.ticket(1, {"report": {"adapter_mib": 50}}, adapters)
    world.run(4)
    world.want("node-0", "report")
    world.want("node-1", "report")
    world.run(4)
    return world


def ask(world, name, adapter, seconds=5):
    deadline = world.clock() + datetime.timedelta(seconds=seconds)
    token = f"{name}-{adapter}"
    event = messages.AdapterRequested(token, "lm-0", adapter, deadline)
    world.send(name, event)
    world._pump()
    return token


def resident(world):
    ((_, _, _, adapters),) = world.targets["lm-0"].models.values()
    return adapters


def test_any_instance_gets_an_adapter_loaded(world):
    """Guards against a request that only the holder can serve."""
    for name in world.controllers:
        token = ask(world, name, "loft-0")
        assert world.replies[token][0].decision == RESIDENT
    assert resident(world) == {"loft-0"}
    orders = [o for _, o in world.sent if o.adapter]
    assert len(orders) == 1


def test_oldest_adapter_makes_room(world):
    """Guards against adapters that take more than the reserved memory."""
    holder = world.holder("lm-0")
    for index in range(4):
        token = ask(world, holder, f"loft-{index}", seconds=10)
        world.run(3)
        assert world.replies[token][0].decision == RESIDENT
        assert len(resident(world)) <= 2
    assert resident(world) == {"loft-2", "loft-3"}


def test_unknown_adapter_is_refused(world):
    """Guards against a caller that waits for what cannot come."""
    token = ask(world, world.holder("lm-0"), "no-such")
    assert world.replies[token][0].decision == REFUSED


def test_open_number_of_another_refuses_adapter_orders(world):
    """Guards against a late order of a former holder on a non-checking target.

    Its unload could hit an adapter that the successor has promised.
    """
    holder = world.holder("lm-0")
    world.paused.add(holder)
    world.run(15)
    successor = world.holder("lm-0")
    assert successor != holder
    token = ask(world, successor, "loft-0")
    answer = world.replies[token][0]
    assert answer.decision == REFUSED
    assert "fencing number" in answer.reason


def test_request_is_answered_in_time(world):
    """Guards against an adapter request without any answer."""
    holder = world.holder("lm-0")
    world.holds_orders.add(holder)
    token = ask(world, holder, "loft-0", seconds=2)
    world.run(3)
    assert world.replies[token][0].decision == REFUSED
