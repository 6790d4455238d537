"""Days on the emulated clock, which drive the core of the instances."""

import collections
import dataclasses

import pytest

from quetzalgauge.core import placement
from quetzalgauge.emulation import deployments
from quetzalgauge.emulation import run
from quetzalgauge.emulation import ways

SHORT_DAY = run.Day(8.0, (run.PopularityShift(1.0, 3.0),))
# The naive way needs some seconds to drop all busy models.
LONGER_DAY = run.Day(16.0, (run.PopularityShift(1.0, 3.0),))


def count_outcomes(result):
    return {
        name: (one.request_count, one.in_time, one.late, one.refused)
        for name, one in result.tallies.items()
    }


def test_same_seed_repeats_a_day():
    """Guards against figures that cannot be played again."""
    first = run.run_day(deployments.FERREIRA, SHORT_DAY, 3)
    second = run.run_day(deployments.FERREIRA, SHORT_DAY, 3)
    assert count_outcomes(first) == count_outcomes(second)
    assert first.order_count == second.order_count


@pytest.mark.parametrize("name", ["FERREIRA", "ALLIANCE"])
def test_hot_models_are_not_evicted_for_rare_ones(name):
    """The pattern: rare models are asked for all the time, busy ones too.

    Guards against a rare model's load that takes the place of a busy one, as
    the naive way does.
    """
    deployment = getattr(deployments, name)
    result = run.run_day(deployment, LONGER_DAY, 1)
    naive = run.run_day(deployment, LONGER_DAY, 1, ways.choose_first_come)
    for kind in ("report", "label"):
        tally = result.tallies[kind]
        assert tally.in_time / tally.request_count > 0.8, kind
    assert result.value_share > naive.value_share + 0.2


# Nine engines at a weight store that brings a model every 10 s. A few of the
# models have no copy on any engine at the start.
SLOW_STORE_DEPLOYMENT = dataclasses.replace(
    deployments.FERREIRA_GROWN,
    zones=((2, 3), (2, 3), (2, 3)),
    hot_model_adapters=(37, 0, 20, 0, 20, 0, 20, 0, 20),
    hot_model_count=4,
    rare_model_count=28,
    store_capacity=1,
    request_kinds=tuple(
        dataclasses.replace(kind, requests_per_s=kind.requests_per_s / 5)
        for kind in deployments.FERREIRA_GROWN.request_kinds
    ),
)


def find_never_served(result, with_adapters):
    """Returns what was asked for four times or more, and what of it never got.

    Requests for adapters count for their model, or each adapter for itself.
    """
    asked = collections.Counter()
    served = collections.Counter()
    for _, _, note in result.logged_events:
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
def test_models_without_a_copy_share_the_weight_store(seed):
    """The pattern: a weight store slower than the models that need it.

    Guards against models whose callers are refused through the whole day:
    at most one and a tenth of those asked for (the callers' limit).
    """
    result = run.run_day(SLOW_STORE_DEPLOYMENT, run.STANDARD, seed)
    wanted, never = find_never_served(result, with_adapters=False)
    assert len(never) <= 1 + 0.1 * len(wanted)


@pytest.mark.parametrize(
    ("name", "zone", "seed"),
    [("FERREIRA", 1, 1), ("FERREIRA", 2, 2), ("ALLIANCE", 1, 2)],
)
def test_adapters_are_served_when_a_zone_has_no_leader(name, zone, seed):
    """The pattern: the only instance of a zone is lost, its targets are well.

    Guards against adapters that nobody ever gets, as their model is on one of
    these targets only: at most one and a tenth of the models and adapters
    asked for (the callers' limit).
    """
    day = dataclasses.replace(
        run.STANDARD, instance_losses=(run.InstanceLoss(3.0, zone),)
    )
    result = run.run_day(getattr(deployments, name), day, seed)
    wanted, never = find_never_served(result, with_adapters=True)
    assert len(never) <= 1 + 0.1 * len(wanted)


def test_first_come_policy_loads_nothing_without_demand():
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
        lambda _: run.PLATFORM_LEASE,
        1,
        0.0,
    )
    assert ways.choose_first_come(scene, run.PLATFORM_LEASE, True) is None
