"""Idempotency keys: at most one run, whatever is lost."""

import datetime

import control_fakes
import pytest

from quetzalgauge import keys
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge.gen import ttypes

RUN = ttypes.KeyDecision.RUN
STORED = ttypes.KeyDecision.STORED
UNKNOWN = ttypes.KeyDecision.UNKNOWN
UNAVAILABLE = ttypes.KeyDecision.UNAVAILABLE
OUTCOME = ttypes.KeyOutcome(True, 200, {}, b"arrival 7")


@pytest.fixture
def world():
    world = control_fakes.World()
    world.start("node-0")
    world.start("node-1")
    world.run(2)
    return world


def claim(world, name, key, token, seconds=5.0):
    deadline = world.clock() + datetime.timedelta(seconds=seconds)
    event = messages.KeyClaimRequested(token, f"entry-{name}", key, deadline)
    world.send(name, event)
    world._pump()


def decisions(world, *tokens):
    return [world.replies[token][0].decision for token in tokens]


def store(world, name, key):
    world.send(name, messages.OutcomeStored(key, OUTCOME))
    world._pump()


@pytest.mark.covers("duplicate", "request")
def test_first_claim_runs_and_the_second_gets_its_outcome(world):
    """Guards against a booking that runs at two instances."""
    claim(world, "node-0", 7, "a")
    claim(world, "node-1", 7, "b")
    world.run(1)
    assert decisions(world, "a") == [RUN]
    assert "b" not in world.replies
    store(world, "node-0", 7)
    world.run(1)
    assert decisions(world, "b") == [STORED]
    assert world.replies["b"][0].outcome == OUTCOME
    claim(world, "node-0", 7, "c")
    assert decisions(world, "c") == [STORED]


@pytest.mark.covers("duplicate", "request")
def test_claims_at_once_let_one_run(world):
    """Guards against two winners when claims cross in the log."""
    for name in world.controllers:
        claim(world, name, 7, name)
        claim(world, name, 7, f"{name}-again")
    world.run(10)
    tokens = [t for n in world.controllers for t in (n, f"{n}-again")]
    found = decisions(world, *tokens)
    assert sorted(found) == sorted([RUN] + [UNKNOWN] * 3)


@pytest.mark.covers("reorder", "request")
def test_claim_that_another_try_turns_out_to_have_is_not_refused_as_not_run(
    world,
):
    """Guards against "not run" for a key whose first try runs.

    The second process had not read the first claim when it proposed its own.
    It gave up after CLAIM_TIMEOUT and answered that the log was unavailable.
    """
    read = world._read
    world._read = lambda name, stream, tick: (
        name == "node-1" or read(name, stream, tick)
    )
    claim(world, "node-0", 7, "a")
    world.run(1)
    assert decisions(world, "a") == [RUN]
    claim(world, "node-1", 7, "b", seconds=8)
    world._read = read
    world.run(keys.CLAIM_TIMEOUT.total_seconds() + 0.5)
    assert "b" not in world.replies
    store(world, "node-0", 7)
    world.run(2)
    assert decisions(world, "b") == [STORED]


@pytest.mark.covers("crash", "request")
def test_outcome_of_a_restarted_process_is_unknown(world):
    """Guards against a second run after the outcome was lost."""
    claim(world, "node-0", 7, "a")
    world.start("node-0")
    world.run(2)
    claim(world, "node-0", 7, "b")
    claim(world, "node-1", 7, "c")
    assert decisions(world, "b", "c") == [UNKNOWN, UNKNOWN]


@pytest.mark.covers("log outage", "request")
def test_without_the_log_nothing_runs(world):
    """Guards against a keyed request that runs without a claim."""
    world.log_is_down = True
    world.run(1)
    claim(world, "node-0", 7, "a")
    assert decisions(world, "a") == [UNAVAILABLE]


@pytest.mark.covers("lost acknowledgement", "request")
def test_lost_acknowledgement_of_a_claim(world):
    """Guards against a claim that counts twice, or for nobody."""
    lost = []

    def lose(bodies):
        is_lost = any(isinstance(body, records.KeyClaim) for body in bodies)
        lost.extend(bodies if is_lost else [])
        return is_lost

    world.lose_append = lose
    claim(world, "node-0", 7, "a")
    claim(world, "node-1", 7, "b")
    world.run(3)
    assert lost
    assert decisions(world, "a") == [RUN]
    assert "b" not in world.replies


@pytest.mark.covers("cut", "request")
def test_a_claim_that_was_given_up_is_released(world):
    """Guards against a key that is blocked by a request that never ran."""
    world.cut.add("node-0")
    claim(world, "node-0", 7, "a", seconds=1)
    world.run(1.5)
    assert decisions(world, "a") == [UNAVAILABLE]
    world.cut.clear()
    world.run(3)
    assert not world.ledger.claims
    claim(world, "node-1", 7, "b")
    assert decisions(world, "b") == [RUN]


@pytest.mark.covers("lost acknowledgement", "request")
def test_a_late_claim_never_runs_after_it_was_given_up(world):
    """Guards against "not run" for a request that runs later.

    The claim is in the log, but its process learns that only after the
    request was refused.
    """
    world.lose_append = lambda bodies: True
    read = world._read
    world._read = lambda name, stream, tick: None
    claim(world, "node-0", 7, "a", seconds=1)
    world.run(2)
    assert decisions(world, "a") == [UNAVAILABLE]
    claim(world, "node-0", 7, "b", seconds=2)
    world._read = read
    world.lose_append = lambda bodies: False
    world.run(5)
    assert len(world.replies["a"]) == 1
    assert decisions(world, "b") == [RUN]
    claims = [
        body
        for _, envelope, outcome in world.outcomes
        if outcome.accepted
        and isinstance(body := envelope.body, records.KeyClaim)
    ]
    assert len(claims) == 2


def sync(world, name, seconds, routes_version=1):
    """Lets the entry process of an instance sync for a while."""
    report = ttypes.EntryReport(
        f"entry-{name}", routes_version, 1, [], {}, [], False
    )
    for _ in range(seconds):
        world.send(name, messages.EntryReported(report))
        world.run(1)


def test_outcome_of_an_ended_entry_process_is_soon_unknown(world):
    """Guards against a second try that waits up to its own deadline.

    The instance of the first try runs on without its entry process. As long
    as that one syncs, the outcome may still arrive.
    """
    claim(world, "node-0", 7, "first", seconds=60)
    claim(world, "node-0", 7, "own", seconds=60)
    claim(world, "node-1", 7, "other", seconds=60)
    sync(world, "node-0", 15)
    assert decisions(world, "first") == [RUN]
    assert not {"own", "other"} & set(world.replies)
    world.run(keys.ENTRY_SILENCE.total_seconds() + 1)
    assert decisions(world, "own", "other") == [UNKNOWN, UNKNOWN]


def test_outcome_of_a_restarted_entry_process_is_unknown(world):
    """Guards against a wait for an outcome that a restart has lost."""
    claim(world, "node-0", 7, "first", seconds=60)
    claim(world, "node-0", 7, "own", seconds=60)
    claim(world, "node-1", 7, "other", seconds=60)
    sync(world, "node-0", 1, routes_version=0)
    assert decisions(world, "own", "other") == [UNKNOWN, UNKNOWN]
    claim(world, "node-0", 8, "later", seconds=60)
    claim(world, "node-1", 8, "again", seconds=60)
    sync(world, "node-0", 10)
    assert decisions(world, "later") == [RUN]
    assert "again" not in world.replies
    store(world, "node-0", 8)
    world.run(1)
    assert decisions(world, "again") == [STORED]
