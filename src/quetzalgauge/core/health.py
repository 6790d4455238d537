"""Outlier detection: how well each target answers this instance.

Nothing here believes what a target says of its own health. Only the outcome
of requests counts, so an answer that lies either way changes nothing.
"""

import dataclasses
import datetime

from quetzalgauge import ids

# Weight of the newest outcome in the failure rate: about the last ten count.
FAILURE_EWMA_WEIGHT = 0.15
# Weight of the newest time to the first part.
LATENCY_EWMA_WEIGHT = 0.2
# A target that cannot be reached is left out for this time, doubled with each
# further failure up to the maximum.
BASE_EJECTION_TIME = datetime.timedelta(milliseconds=500)
MAX_EJECTION_TIME = datetime.timedelta(seconds=4)
# Without outcomes a bad record fades, so that the target is tried again.
FAILURE_RATE_DECAY_TIME = datetime.timedelta(seconds=4)
# Weight of a failure rate of 1 in `cost`, in multiples of a usual answer.
FAILURE_RATE_COST = 20.0


@dataclasses.dataclass(slots=True)
class _TargetHealth:
    failure_rate: float = 0.0
    latency_seconds: float = 0.0  # Seconds; 0 if nothing was measured.
    consecutive_failures: int = 0
    ejected_until: datetime.timedelta = datetime.timedelta()
    updated_at: datetime.timedelta = datetime.timedelta()


class HealthTracker:
    """Records of all targets."""

    def __init__(self) -> None:
        self._records: dict[ids.TargetId, _TargetHealth] = {}

    def record_success(
        self,
        target: ids.TargetId,
        latency: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> None:
        """Records an answer; `latency` is the time to its first part."""
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
            eject: The target could not be reached or fell silent, so it is
                left out for a while.
        """
        record = self._decay_record(target, now)
        record.failure_rate += FAILURE_EWMA_WEIGHT * (1 - record.failure_rate)
        record.consecutive_failures += 1
        if eject:
            exponent = min(10, record.consecutive_failures - 1)
            pause = min(MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2**exponent)
            record.ejected_until = now + pause

    def is_ejected(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether a target is left out while there are others."""
        record = self._records.get(target)
        return record is not None and now < record.ejected_until

    def failure_rate(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> float:
        """Returns the recent share of failures, faded by its age."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        age = (now - record.updated_at) / FAILURE_RATE_DECAY_TIME
        return record.failure_rate * max(0.0, 1.0 - age)

    def mean_latency_seconds(self, target: ids.TargetId) -> float:
        """Returns the usual time to the first part in seconds, 0 if none."""
        record = self._records.get(target)
        return record.latency_seconds if record else 0.0

    def forget(self, target: ids.TargetId) -> None:
        """Drops the record of a target that is gone or has restarted."""
        self._records.pop(target, None)

    def _decay_record(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> _TargetHealth:
        record = self._records.setdefault(target, _TargetHealth())
        if record.updated_at:
            record.failure_rate = self.failure_rate(target, now)
        record.updated_at = now
        return record
