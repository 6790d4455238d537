"""Limits of callers that still hold after a version has lowered them."""

import datetime

from quetzalgauge.core import configuration


class RecentLimits:
    """The limits in force now, and those that were until a short time ago.

    One thread calls `record`; others may call `find_most_generous` meanwhile.

    Args:
        apply_time: How long superseded limits still hold. Callers may go by
            them for this time.
    """

    def __init__(self, apply_time: datetime.timedelta) -> None:
        self._apply_time = apply_time
        self._current: configuration.CallerLimits | None = None
        # With the time until which they hold; replaced as a whole.
        self._holding: tuple[
            tuple[configuration.CallerLimits, datetime.timedelta], ...
        ] = ()

    def record(
        self, limits: configuration.CallerLimits, now: datetime.timedelta
    ) -> None:
        """Records the limits of a new version."""
        if limits == self._current:
            return
        superseded = [
            (earlier, min(ends_at, now + self._apply_time))
            for earlier, ends_at in self._holding
            if now < ends_at
        ]
        self._current = limits
        self._holding = (*superseded, (limits, datetime.timedelta.max))

    def find_most_generous(
        self, now: datetime.timedelta
    ) -> configuration.CallerLimits:
        """Returns the highest value of each limit that holds."""
        holding = [
            limits for limits, ends_at in self._holding if now < ends_at
        ] or [configuration.CallerLimits()]
        if len(holding) == 1:
            return holding[0]
        return configuration.CallerLimits(
            max(limits.max_header_bytes for limits in holding),
            max(limits.max_body_bytes for limits in holding),
            max(limits.header_timeout for limits in holding),
            max(limits.idle_timeout for limits in holding),
        )
