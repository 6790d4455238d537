"""Choice of a target among those that could serve a request.

The pattern answered: uneven servers. Each candidate has a cost, the expected
time to the first part, from the requests in progress, the measured time of
this target and its recent failures. A far zone costs a little more, so that
an idle target nearby is preferred but a busy one is not.
"""

from collections.abc import Callable
from collections.abc import Sequence
import datetime
import random
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import health
from quetzalgauge.core import targets

# Cost of leaving the zone, as a share of the cost of an idle target. Bytes
# between zones are paid for, and a cut between zones hits fewer requests.
CROSS_ZONE_COST = 0.15
# A target that holds the adapter is preferred up to this extra load.
ADAPTER_DISCOUNT = 0.25
# Candidates within this share of the best one are equal; one of them is drawn,
# so that instances with the same view do not all choose the same target.
TIE_TOLERANCE = 0.03

TargetSelector: TypeAlias = Callable[
    [
        Sequence[targets.Description],
        frozenset[ids.TargetId],
        datetime.timedelta,
    ],
    targets.Description | None,
]


def make_target_selector(
    fleet: fleet_module.Fleet,
    own_zone: ids.AvailabilityZone,
    rng: random.Random,
) -> TargetSelector:
    """Returns a function that chooses the target of least cost.

    The function takes the candidates, those of them that hold the adapter of
    the request, and the time. It returns None without candidates.
    """

    def cost(
        one: targets.Description, usual: float, now: datetime.timedelta
    ) -> float:
        slots = max(1, one.slots)
        latency = fleet.health.mean_latency_seconds(one.target)
        speed = latency / usual if latency and usual else 1.0
        # Engines and services hardly slow down before their slots are
        # taken, so load counts little below that and much above it.
        share = fleet.estimate_load(one.target) / slots
        load = 1.0 + share + max(0.0, share - 1.0) * 4.0
        failures = fleet.health.failure_rate(one.target, now)
        far = CROSS_ZONE_COST if one.availability_zone != own_zone else 0.0
        return load * speed + far + failures * health.FAILURE_RATE_COST

    def choose(
        candidates: Sequence[targets.Description],
        with_adapter: frozenset[ids.TargetId],
        now: datetime.timedelta,
    ) -> targets.Description | None:
        if not candidates:
            return None
        usual = _median_latency(candidates, fleet.health)
        costs = []
        for one in candidates:
            value = cost(one, usual, now)
            if one.target in with_adapter:
                value -= ADAPTER_DISCOUNT
            costs.append((value, one))
        best = min(value for value, _ in costs)
        limit = best + abs(best) * TIE_TOLERANCE
        return rng.choice([one for value, one in costs if value <= limit])

    return choose


def _median_latency(
    candidates: Sequence[targets.Description], tracker: health.HealthTracker
) -> float:
    """Returns the median of the measured times, 0 without any."""
    known = sorted(
        latency
        for one in candidates
        if (latency := tracker.mean_latency_seconds(one.target))
    )
    return known[len(known) // 2] if known else 0.0
