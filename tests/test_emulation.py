"""Days on the emulated clock, which drive the core of the instances."""

import collections
import dataclasses

import pytest

from quetzalgauge.core import placement
from quetzalgauge.emulation import deployments
from quetzalgauge.emulation import run
from quetzalgauge.emulation import ways

SHORT = run.Day(8.0, (run.Shift(1.0, 3.0),))
# The naive way needs some seconds to drop all busy models.
LONGER = run.Day(16.0, (run.Shift(1.0, 3.0),))


def outcome(result):
    return {
        name: (one.asked, one.in_time, one.late, one.refused)
        for name, one in result.tallies.items()
    }


def test_a_day_repeats_with_its_seed():
    """Guards against figures that cannot be played again."""
    first = run.run_day(deployments.FERREIRA, SHORT, 3)
    second = run.run_day(deployments.FERREIRA, SHORT, 3)
    assert outcome(first) == outcome(second)
    assert first.orders == second.orders


@pytest.mark.parametrize("name", ["FERREIRA", "ALLIANCE"])
def test_busy_models_are_not_given_up_for_rare_ones(name):
    """The pattern: rare models are asked for all the time, busy ones too.

    Guards against a rare model's load that takes the place of a busy one, as
    the naive way does.
    """
    deployment = getattr(deployments, name)
    result = run.run_day(deployment, LONGER, 1)
    naive = run.run_day(deployment, LONGER, 1, ways.choose_first_come)
    for kind in ("report", "label"):
        tally = result.tallies[kind]
        assert tally.in_time / tally.asked > 0.8, kind
    assert result.worth > naive.worth + 0.2


# Nine engines at a weight store that brings a model every 10 s. A few of the
# models have no copy on any engine at the start.
FEW_COPIES = dataclasses.replace(
    deployments.FERREIRA_GROWN,
    zones=((2, 3), (2, 3), (2, 3)),
    busy_models=(37, 0, 20, 0, 20, 0, 20, 0, 20),
    busy_now=4,
    rare_models=28,
    store_at_once=1,
    requests=tuple(
        dataclasses.replace(kind, per_s=kind.per_s / 5)
        for kind in deployments.FERREIRA_GROWN.requests
    ),
)


def never_served(result, with_adapters):
    """Returns what was asked for four times or more, and what of it never got.

    Requests for adapters count for their model, or each adapter for itself.
    """
    asked = collections.Counter()
    served = collections.Counter()
    for _, _, note in result.notes:
        if note.name != "request":
            continue
        model, adapter = note.fields["model"], note.fields["adapter"]
        is_model = adapter is None or not with_adapters
        name = model if is_model else f"{model}/{adapter}"
        asked[name] += 1
        if note.fields["outcome"] == "answered 200":
            served[name] += 1
    wanted = [name for name, count in asked.items() if count >= 4]
    return wanted, [name for name in wanted if not served[name]]


@pytest.mark.parametrize("seed", [1, 2])
def test_models_without_a_copy_are_brought_in_turn(seed):
    """The pattern: a weight store slower than the models that need it.

    Guards against models whose callers are refused through the whole day:
    at most one and a tenth of those asked for (the callers' limit).
    """
    result = run.run_day(FEW_COPIES, run.STANDARD, seed)
    wanted, never = never_served(result, with_adapters=False)
    assert len(never) <= 1 + 0.1 * len(wanted)


@pytest.mark.parametrize(
    ("name", "zone", "seed"),
    [("FERREIRA", 1, 1), ("FERREIRA", 2, 2), ("ALLIANCE", 1, 2)],
)
def test_adapters_are_served_when_a_zone_has_no_holder(name, zone, seed):
    """The pattern: the only instance of a zone is lost, its targets are well.

    Guards against adapters that nobody ever gets, as their model is on one of
    these targets only: at most one and a tenth of the models and adapters
    asked for (the callers' limit).
    """
    day = dataclasses.replace(run.STANDARD, losses=(run.Loss(3.0, zone),))
    result = run.run_day(getattr(deployments, name), day, seed)
    wanted, never = never_served(result, with_adapters=True)
    assert len(never) <= 1 + 0.1 * len(wanted)


def test_the_naive_way_gives_no_order_without_a_wish():
    scene = placement.PlacementContext(
        (),
        {},
        {},
        (),
        lambda _: 0.0,
        None,
        lambda _: 0,
        lambda *_: 0,
        lambda _: 0.0,
        lambda _: 0.0,
        lambda _: 0,
        lambda _: 0.0,
        lambda *_: False,
        lambda _: False,
        (),
        lambda _: run.LEASE,
        1,
        0.0,
    )
    assert ways.choose_first_come(scene, run.LEASE, True) is None
