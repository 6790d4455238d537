"""Outlier detection: passive health checks of the targets.

Only the outcomes of this instance's own requests count. What a target reports
of its own health is ignored, because it can be wrong either way.
"""

import dataclasses
import datetime

from quetzalgauge import ids

# Weight of the newest outcome in the moving average of the failure rate, which
# covers about the last ten outcomes.
FAILURE_EWMA_WEIGHT = 0.15
# Weight of the newest time to the first byte in its moving average.
LATENCY_EWMA_WEIGHT = 0.2
# A target that cannot be reached is ejected for the base time, which doubles
# with each consecutive failure up to the maximum.
BASE_EJECTION_TIME = datetime.timedelta(milliseconds=500)
MAX_EJECTION_TIME = datetime.timedelta(seconds=4)
# Time in which a failure rate decays to zero without new outcomes, so that the
# target is tried again.
FAILURE_RATE_DECAY_TIME = datetime.timedelta(seconds=4)
# Cost of a failure rate of 1 in load balancing, in multiples of the cost of an
# idle target of median latency.
FAILURE_RATE_COST = 20.0


@dataclasses.dataclass(slots=True)
class _TargetHealth:
    failure_rate: float = 0.0
    latency_seconds: float = 0.0  # Moving average; 0 if nothing was measured.
    consecutive_failures: int = 0
    ejected_until: datetime.timedelta = datetime.timedelta()
    updated_at: datetime.timedelta = datetime.timedelta()


class HealthTracker:
    """Failure rate, latency and ejection of each target."""

    def __init__(self) -> None:
        self._records: dict[ids.TargetId, _TargetHealth] = {}

    def record_success(
        self,
        target: ids.TargetId,
        latency: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> None:
        """Records a response and ends an ejection.

        Args:
            target: The target.
            latency: Time to the first byte, None if it was not measured.
            now: The time.
        """
        record = self._decay_record(target, now)
        record.failure_rate -= FAILURE_EWMA_WEIGHT * record.failure_rate
        record.consecutive_failures = 0
        record.ejected_until = datetime.timedelta()
        if latency is not None:
            seconds = latency.total_seconds()
            if record.latency_seconds:
                seconds = (
                    LATENCY_EWMA_WEIGHT * seconds
                    + (1 - LATENCY_EWMA_WEIGHT) * record.latency_seconds
                )
            record.latency_seconds = seconds

    def record_failure(
        self, target: ids.TargetId, now: datetime.timedelta, eject: bool
    ) -> None:
        """Records a failure.

        Args:
            target: The target.
            now: The time.
            eject: Whether to eject the target for a while, because it could
                not be reached or stopped responding.
        """
        record = self._decay_record(target, now)
        record.failure_rate += FAILURE_EWMA_WEIGHT * (1 - record.failure_rate)
        record.consecutive_failures += 1
        if eject:
            exponent = min(10, record.consecutive_failures - 1)
            ejection_time = min(
                MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2**exponent
            )
            record.ejected_until = now + ejection_time

    def is_ejected(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether a target gets no requests while others are available."""
        record = self._records.get(target)
        return record is not None and now < record.ejected_until

    def failure_rate(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> float:
        """Returns the recent share of failures, decayed by its age."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        age = (now - record.updated_at) / FAILURE_RATE_DECAY_TIME
        return record.failure_rate * max(0.0, 1.0 - age)

    def mean_latency_seconds(self, target: ids.TargetId) -> float:
        """Returns the mean time to the first byte, 0 if none was measured."""
        record = self._records.get(target)
        return record.latency_seconds if record else 0.0

    def forget(self, target: ids.TargetId) -> None:
        """Removes the record of a target that was removed or restarted."""
        self._records.pop(target, None)

    def _decay_record(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> _TargetHealth:
        record = self._records.setdefault(target, _TargetHealth())
        if record.updated_at:
            record.failure_rate = self.failure_rate(target, now)
        record.updated_at = now
        return record
