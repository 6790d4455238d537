"""Estimates the capacity of the weight store from the durations of fetches.

All targets share the store. It serves a few concurrent fetches at full speed;
beyond that, fetches slow down in proportion to their number. The store does not
publish its capacity, so it is estimated.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime

from quetzalgauge import ids

# Concurrent fetches at full speed that are assumed without an estimate. The
# data sheets of the sites specify 2 to 4.
DEFAULT_CAPACITY = 4.0
# A fetch counts as slowed down if it exceeds its nominal duration by more than
# this fraction. The end of a fetch is observed up to a second late.
SLOWDOWN_TOLERANCE = 0.2
# Without a slow fetch for this time, the estimate rises by one, since the store
# may be slow only temporarily.
CAPACITY_STEP_INTERVAL = datetime.timedelta(seconds=30)
# A bound expires after this time, when the estimate has risen by the default.
BOUND_TTL = CAPACITY_STEP_INTERVAL * DEFAULT_CAPACITY
# From this number of bounds on, the lowest ones count as outliers.
MIN_BOUNDS_FOR_MEDIAN = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A load from the weight store on a target.

    Attributes:
        model: The model.
        nominal_duration: Duration at full speed.
    """

    model: ids.ModelName
    nominal_duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedFetch:
    """A fetch that has ended.

    Attributes:
        target: The target.
        fetch: The fetch.
        duration: The time from its start to its end.
        peak_concurrency: Maximum number of concurrent fetches during it,
            including itself.
    """

    target: ids.TargetId
    fetch: Fetch
    duration: datetime.timedelta
    peak_concurrency: int


@dataclasses.dataclass(slots=True)
class _ActiveFetch:
    fetch: Fetch
    started_at: datetime.timedelta
    # Maximum number of concurrent fetches so far, including itself.
    peak_concurrency: int
    has_known_start: bool

    def get_slowdown(self, now: datetime.timedelta) -> float:
        return (now - self.started_at) / self.fetch.nominal_duration


@dataclasses.dataclass(frozen=True, slots=True)
class _Bound:
    """Upper bound of the capacity that follows from a slow fetch."""

    capacity: float
    is_final: bool
    updated_at: datetime.timedelta


class WeightStoreMonitor:
    """Observes the fetches of all targets for one leader."""

    def __init__(self) -> None:
        self._active: dict[ids.TargetId, _ActiveFetch] = {}
        # The recent slow fetches, by target and start.
        self._bounds: dict[tuple[ids.TargetId, datetime.timedelta], _Bound] = {}
        self._has_observed = False
        self._assumed_capacity = DEFAULT_CAPACITY

    @property
    def active_count(self) -> int:
        """Number of fetches in progress."""
        return len(self._active)

    def is_fetching(self, target: ids.TargetId) -> bool:
        """Whether a target is fetching a model from the weight store."""
        return target in self._active

    def observe(
        self,
        fetches: Mapping[ids.TargetId, Fetch],
        now: datetime.timedelta,
    ) -> list[FinishedFetch]:
        """Updates the fetches in progress; returns those that have ended.

        Args:
            fetches: The fetch of each target that is fetching. A removed
                target is missing here, so its fetch counts as ended.
            now: The current time.
        """
        finished = []
        for target, active in list(self._active.items()):
            fetch = fetches.get(target)
            # A new configuration may change the nominal duration.
            if fetch is None or fetch.model != active.fetch.model:
                del self._active[target]
                finished.append(
                    FinishedFetch(
                        target,
                        active.fetch,
                        now - active.started_at,
                        active.peak_concurrency,
                    )
                )
                self._update_bound(target, active, True, now)
        for target, fetch in fetches.items():
            if target not in self._active:
                self._active[target] = _ActiveFetch(
                    fetch, now, 1, self._has_observed
                )
        for target, active in self._active.items():
            active.peak_concurrency = max(
                active.peak_concurrency, len(self._active)
            )
            self._update_bound(target, active, False, now)
        self._has_observed = True
        return finished

    def get_free_capacity(self, now: datetime.timedelta) -> int:
        """Returns how many fetches can start without slowing others down."""
        return max(0, round(self.get_capacity(now)) - len(self._active))

    def estimate_slowdown(self, now: datetime.timedelta) -> float:
        """Returns the factor by which a fetch that starts now takes longer."""
        return max(1.0, (len(self._active) + 1) / self.get_capacity(now))

    def assume_capacity(self, capacity: float) -> None:
        """Sets the capacity that counts as long as none was measured."""
        self._assumed_capacity = min(DEFAULT_CAPACITY, capacity)

    def get_capacity(self, now: datetime.timedelta) -> float:
        """Returns the estimated number of concurrent fetches at full speed."""
        measured = self.get_measured_capacity(now)
        return self._assumed_capacity if measured is None else measured

    def get_measured_capacity(self, now: datetime.timedelta) -> float | None:
        """Returns the estimate from observed fetches, None without a slow one.

        A single fetch may be slow for another reason than the store. So with
        several bounds the lower median counts, otherwise the lowest.
        """
        recent = [
            bound
            for bound in self._bounds.values()
            if now - bound.updated_at <= BOUND_TTL
        ]
        final = [bound.capacity for bound in recent if bound.is_final]
        estimate = _choose_bound(final)
        # The bound of a fetch in progress still falls, so a high one says
        # nothing yet.
        lower = [
            bound.capacity
            for bound in recent
            if not bound.is_final and bound.capacity < estimate
        ]
        if not recent:
            return None
        age = now - max(bound.updated_at for bound in recent)
        return min(
            DEFAULT_CAPACITY,
            _choose_bound(final + lower) + age // CAPACITY_STEP_INTERVAL,
        )

    def _update_bound(
        self,
        target: ids.TargetId,
        fetch: _ActiveFetch,
        is_final: bool,
        now: datetime.timedelta,
    ) -> None:
        """Updates the bound from a fetch that has ended or is overdue.

        It is only an upper bound, because not all of the concurrent fetches
        lasted as long as this one did.
        """
        slowdown = fetch.get_slowdown(now)
        if not fetch.has_known_start or slowdown <= 1.0 + SLOWDOWN_TOLERANCE:
            return
        if fetch.peak_concurrency == 1:
            # A single fetch is slow for another reason, at the store or at the
            # target.
            return
        bound = max(1.0, fetch.peak_concurrency / slowdown)
        self._bounds[(target, fetch.started_at)] = _Bound(bound, is_final, now)
        for key, old in list(self._bounds.items()):
            if now - old.updated_at > BOUND_TTL:
                del self._bounds[key]


def _choose_bound(bounds: Sequence[float]) -> float:
    """Returns the capacity that upper bounds from several fetches suggest."""
    if not bounds:
        return DEFAULT_CAPACITY
    index = 0
    if len(bounds) >= MIN_BOUNDS_FOR_MEDIAN:
        index = (len(bounds) - 1) // 2
    return min(DEFAULT_CAPACITY, sorted(bounds)[index])
