"""How long attempts on a route may last, from those that were seen."""

import datetime

from quetzalgauge import ids

# Share of the distance to a shorter attempt by which the longest one decays.
DECAY = 0.02
# Estimates exceed the longest attempt by this factor, and by this time for
# reading the request and writing the response.
SAFETY_FACTOR = 1.25
OVERHEAD = datetime.timedelta(milliseconds=50)


class AttemptDurations:
    """The longest recent attempt of each route."""

    def __init__(self) -> None:
        self._longest: dict[ids.RouteName, datetime.timedelta] = {}

    def record(
        self, route: ids.RouteName, duration: datetime.timedelta
    ) -> None:
        """Records an attempt that ended with a response."""
        longest = self._longest.get(route, duration)
        decayed = longest - DECAY * (longest - duration)
        self._longest[route] = max(duration, decayed)

    def record_at_least(
        self, route: ids.RouteName, duration: datetime.timedelta
    ) -> None:
        """Records how long an attempt has lasted that has no response yet."""
        longest = self._longest.get(route)
        if longest is None or duration > longest:
            self._longest[route] = duration

    def estimate(self, route: ids.RouteName) -> datetime.timedelta | None:
        """Returns the time that an attempt may take, None if none was seen."""
        longest = self._longest.get(route)
        return None if longest is None else longest * SAFETY_FACTOR + OVERHEAD
