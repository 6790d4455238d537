"""Tickets that operators submit: verdicts, conflicts and outages."""

import control_fakes
import pytest

from quetzalgauge import messages
from quetzalgauge import tickets

Verdict = messages.TicketVerdict


@pytest.fixture
def world():
    world = control_fakes.World()
    world.add_target("lm-0", 1000)
    for index in range(2):
        world.start(f"node-{index}")
    world.run(3)
    return world


def submit(world, name, number, mib=400, least=0):
    text = """{"ticket": %d, "models": {"report": {
        "versions": {"v1": {"checkpoint": "c", "memory_mib": %d}},
        "default_version": "v1",
        "availability_zones": {
            "uy-south-a": {"max_replicas": 1, "min_replicas": %d}}}}}"""
    ticket = tickets.parse(text % (number, mib, least), "test")
    token = f"{name}-{number}-{mib}"
    world.send(name, messages.TicketSubmitted(token, ticket))
    world._pump()
    return token


def verdict(world, token):
    (status,) = world.replies[token]
    return status.verdict


@pytest.mark.covers("duplicate", "ticket")
def test_accepted_is_durable_and_known_to_all(world):
    """Guards against a ticket that only its receiver knows."""
    token = submit(world, "node-0", 1)
    assert verdict(world, token) is Verdict.ACCEPTED
    for process in world.controllers.values():
        assert process.ticket_status(1).verdict is Verdict.ACCEPTED
    assert verdict(world, submit(world, "node-1", 1)) is Verdict.REPEATED


@pytest.mark.covers("racing tickets", "ticket")
def test_racing_operators_get_one_winner(world):
    """Guards against two contents under one number."""
    world.log_is_down = True
    first = submit(world, "node-0", 1, mib=400)
    second = submit(world, "node-1", 1, mib=500)
    world.log_is_down = False
    world.run(2)
    found = {verdict(world, first), verdict(world, second)}
    assert found == {Verdict.ACCEPTED, Verdict.CONFLICT}
    older = submit(world, "node-0", 3)
    assert verdict(world, older) is Verdict.ACCEPTED
    assert verdict(world, submit(world, "node-1", 2)) is Verdict.SUPERSEDED


def test_more_than_the_memory_of_a_zone_is_refused(world):
    """Guards against a promise of capacity that does not exist."""
    token = submit(world, "node-0", 1, mib=1001, least=1)
    assert verdict(world, token) is Verdict.OVER_CAPACITY
    assert world.catalog.version == 0
    token = submit(world, "node-0", 1, mib=1000, least=1)
    assert verdict(world, token) is Verdict.ACCEPTED


@pytest.mark.covers("log outage", "ticket")
def test_without_the_log_the_outcome_is_unknown(world):
    """Guards against an operator who waits for ever."""
    world.log_is_down = True
    token = submit(world, "node-0", 1)
    world.run(4)
    assert token not in world.replies
    world.run(2)
    assert verdict(world, token) is Verdict.UNKNOWN
    world.log_is_down = False
    world.run(2)
    status = world.controllers["node-0"].ticket_status(1)
    assert status.verdict is Verdict.ACCEPTED
