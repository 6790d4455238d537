"""Choice of a target against a naive version."""

import collections
import random

from hypothesis import given
from hypothesis import strategies
import hypothesis_settings

from quetzalgauge import ids
from quetzalgauge import routing

CANDIDATES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([f"lm-{number}" for number in range(8)]),
        strategies.sampled_from("ab"),
    ),
    unique_by=lambda row: row[0],
    max_size=8,
).map(
    lambda rows: [
        routing.Candidate(ids.TargetId(name), f"{name}:1", zone)
        for name, zone in rows
    ]
)
NAMES = strategies.sets(
    strategies.sampled_from([f"lm-{number}" for number in range(8)])
)
COUNTS = strategies.dictionaries(
    strategies.sampled_from([f"lm-{number}" for number in range(8)]),
    strategies.integers(0, 9),
)


def naive_choices(candidates, avoid, in_flight, adapter):
    """All targets that a correct router may choose."""
    allowed = [one for one in candidates if one.target not in avoid]
    allowed = allowed or candidates
    near = [one for one in allowed if one.availability_zone == "a"]
    allowed = near or allowed
    if adapter is not None:
        ranked = sorted(
            allowed,
            key=lambda one: routing.rendezvous_weight(adapter, one.target),
        )
        return ranked[-1:]
    counts = {one: in_flight.get(one.target, 0) for one in allowed}
    # Of two different candidates the busier one is never chosen, so one that
    # is busier than all others cannot be.
    return [
        one
        for one in allowed
        if len(allowed) == 1
        or any(
            counts[one] <= counts[other] for other in allowed if other != one
        )
    ]


@hypothesis_settings.make()
@given(
    CANDIDATES,
    NAMES,
    COUNTS,
    strategies.sampled_from([None, "loft-1", "loft-2"]),
    strategies.integers(0, 1000),
)
def test_choice_is_one_that_the_naive_version_allows(
    candidates, avoid, in_flight, adapter, seed
):
    """Guards against a wrong zone, a repeated target or a busy one."""
    route = routing.make_router("a", random.Random(seed))
    chosen = route(candidates, avoid, in_flight, adapter)
    allowed = naive_choices(candidates, avoid, in_flight, adapter)
    if not allowed:
        assert chosen is None
    else:
        assert chosen in allowed


def test_two_choices_spread_equal_targets():
    """Guards against all entry processes sending to the same target."""
    route = routing.make_router("a", random.Random(7))
    for size in (2, 3, 5):
        candidates = [
            routing.Candidate(ids.TargetId(f"lm-{one}"), "x", "a")
            for one in range(size)
        ]
        chosen = collections.Counter(
            route(candidates, (), {}, None).target for _ in range(1000)
        )
        assert min(chosen.values()) > 1000 / size * 0.7


def test_adapter_moves_only_with_its_target():
    """Guards against adapters that all move when a replica appears."""
    candidates = [
        routing.Candidate(ids.TargetId(f"lm-{one}"), "x", "a")
        for one in range(5)
    ]
    route = routing.make_router("a", random.Random(7))
    for number in range(200):
        adapter = ids.AdapterName(f"loft-{number}")
        before = route(candidates, (), {}, adapter)
        after = route(candidates[:-1], (), {}, adapter)
        assert after == before or before == candidates[-1]
