"""Load balancing: selects one of the targets that can serve a request.

Targets differ in speed, so requests are not spread evenly. The cost of a
candidate estimates its time to the first byte from the requests in progress,
the measured latency and the recent failures. A target in another availability
zone costs a little more: an idle target in the own zone is preferred to it, one
with a high load is not.
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

# Extra cost of a target in another zone, as a share of the cost of an idle
# target. Traffic between zones is charged for, and the fewer requests cross
# zones, the fewer are affected by a network partition between them.
CROSS_ZONE_COST = 0.15
# Cost reduction of a target that has loaded the adapter of the request. The
# target is preferred up to that much extra load.
ADAPTER_DISCOUNT = 0.25
# Candidates whose cost exceeds the least one by at most this share are tied.
# One of them is selected at random, so that instances with the same view do not
# all select the same target.
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
    """Returns a function that selects the target of least cost.

    The function takes the candidates, those of them that have loaded the
    adapter of the request, and the time. It returns None without candidates.
    """

    def compute_cost(
        target: targets.Description,
        median_latency: float,
        now: datetime.timedelta,
    ) -> float:
        slots = max(1, target.slots)
        latency = fleet.health.mean_latency_seconds(target.target)
        relative_latency = (
            latency / median_latency if latency and median_latency else 1.0
        )
        # Targets hardly slow down before all slots are in use, so the load
        # counts little below that point and much above it.
        utilization = fleet.estimate_load(target.target) / slots
        load = 1.0 + utilization + max(0.0, utilization - 1.0) * 4.0
        failures = fleet.health.failure_rate(target.target, now)
        zone_cost = (
            CROSS_ZONE_COST if target.availability_zone != own_zone else 0.0
        )
        return (
            load * relative_latency
            + zone_cost
            + failures * health.FAILURE_RATE_COST
        )

    def select(
        candidates: Sequence[targets.Description],
        with_adapter: frozenset[ids.TargetId],
        now: datetime.timedelta,
    ) -> targets.Description | None:
        if not candidates:
            return None
        median_latency = _median_latency(candidates, fleet.health)
        costs = []
        for target in candidates:
            cost = compute_cost(target, median_latency, now)
            if target.target in with_adapter:
                cost -= ADAPTER_DISCOUNT
            costs.append((cost, target))
        min_cost = min(cost for cost, _ in costs)
        max_cost = min_cost + abs(min_cost) * TIE_TOLERANCE
        return rng.choice(
            [target for cost, target in costs if cost <= max_cost]
        )

    return select


def _median_latency(
    candidates: Sequence[targets.Description], tracker: health.HealthTracker
) -> float:
    """Returns the median of the mean latencies in seconds, 0 without any."""
    latencies = sorted(
        latency
        for target in candidates
        if (latency := tracker.mean_latency_seconds(target.target))
    )
    return latencies[len(latencies) // 2] if latencies else 0.0
