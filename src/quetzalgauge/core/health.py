"""Outlier detection: how well each target answers this instance.

Nothing here believes what a target says of its own health. Only the outcome
of requests counts, so an answer that lies either way changes nothing.
"""

import dataclasses
import datetime

from quetzalgauge import ids

# Weight of the newest outcome in the failure rate: about the last ten count.
FAILURE_WEIGHT = 0.15
# Weight of the newest time to the first part.
LATENCY_WEIGHT = 0.2
# A target that cannot be reached is left out for this time, doubled with each
# further failure up to the maximum.
FIRST_PAUSE = datetime.timedelta(milliseconds=500)
LONGEST_PAUSE = datetime.timedelta(seconds=4)
# Without outcomes a bad record fades, so that the target is tried again.
FADE_TIME = datetime.timedelta(seconds=4)
# Weight of a failure rate of 1 in `cost`, in multiples of a usual answer.
FAILURE_COST = 20.0


@dataclasses.dataclass(slots=True)
class _Record:
    failure_rate: float = 0.0
    latency: float = 0.0  # Seconds; 0 if nothing was measured.
    failed_in_row: int = 0
    pause_until: datetime.timedelta = datetime.timedelta()
    updated: datetime.timedelta = datetime.timedelta()


class Health:
    """Records of all targets."""

    def __init__(self) -> None:
        self._records: dict[ids.TargetId, _Record] = {}

    def note_success(
        self,
        target: ids.TargetId,
        latency: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> None:
        """Records an answer; `latency` is the time to its first part."""
        record = self._update(target, now)
        record.failure_rate -= FAILURE_WEIGHT * record.failure_rate
        record.failed_in_row = 0
        record.pause_until = datetime.timedelta()
        if latency is not None:
            seconds = latency.total_seconds()
            if record.latency:
                seconds = (
                    LATENCY_WEIGHT * seconds
                    + (1 - LATENCY_WEIGHT) * record.latency
                )
            record.latency = seconds

    def note_failure(
        self, target: ids.TargetId, now: datetime.timedelta, severe: bool
    ) -> None:
        """Records a failure.

        Args:
            target: The target.
            now: The time.
            severe: The target could not be reached or fell silent, so it is
                left out for a while.
        """
        record = self._update(target, now)
        record.failure_rate += FAILURE_WEIGHT * (1 - record.failure_rate)
        record.failed_in_row += 1
        if severe:
            exponent = min(10, record.failed_in_row - 1)
            pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**exponent)
            record.pause_until = now + pause

    def is_paused(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether a target is left out while there are others."""
        record = self._records.get(target)
        return record is not None and now < record.pause_until

    def failure_rate(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> float:
        """Returns the recent share of failures, faded by its age."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        age = (now - record.updated) / FADE_TIME
        return record.failure_rate * max(0.0, 1.0 - age)

    def latency(self, target: ids.TargetId) -> float:
        """Returns the usual time to the first part in seconds, 0 if none."""
        record = self._records.get(target)
        return record.latency if record else 0.0

    def forget(self, target: ids.TargetId) -> None:
        """Drops the record of a target that is gone or has restarted."""
        self._records.pop(target, None)

    def _update(self, target: ids.TargetId, now: datetime.timedelta) -> _Record:
        record = self._records.setdefault(target, _Record())
        if record.updated:
            record.failure_rate = self.failure_rate(target, now)
        record.updated = now
        return record
