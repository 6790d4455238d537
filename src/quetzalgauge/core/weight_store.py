"""Loads from the weight store: how many are under way, how long they take.

The pattern answered: a store that all targets share. It carries a few loads
at full speed; each further one makes loads longer in proportion. How many it
carries is not told, so it is measured.
"""

from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids

# Loads at full speed until it is measured (the sites' sheets: 2 to 4).
DEFAULT_CAPACITY = 4.0
# A load that takes longer than usual by more than this share was slowed down;
# the end of a load is seen up to a second late.
SLOWDOWN_TOLERANCE = 0.2
# A measurement counts for this time; the store may be slow for a while only.
ESTIMATE_TTL = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A load from the weight store that a target carries out.

    Attributes:
        model: The model.
        nominal_duration: Time that the load takes at full speed.
    """

    model: ids.ModelName
    nominal_duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedFetch:
    """A load from the weight store that is over.

    Attributes:
        target: The target.
        fetch: The load.
        duration: Its time.
        peak_concurrency: Most loads under way at any moment of it, itself
            included.
    """

    target: ids.TargetId
    fetch: Fetch
    duration: datetime.timedelta
    peak_concurrency: int


@dataclasses.dataclass(slots=True)
class _ActiveFetch:
    fetch: Fetch
    started_at: datetime.timedelta
    peak_concurrency: (
        int  # Loads under way at any moment of it, itself included.
    )
    has_known_start: bool

    def get_slowdown(self, now: datetime.timedelta) -> float:
        return (now - self.started_at) / self.fetch.nominal_duration


class WeightStoreMonitor:
    """The loads of all targets, as one holder sees them."""

    def __init__(self) -> None:
        self._active: dict[ids.TargetId, _ActiveFetch] = {}
        self._estimate: float | None = None
        self._estimated_at = datetime.timedelta()
        self._has_observed = False

    @property
    def active_count(self) -> int:
        """Number of loads under way."""
        return len(self._active)

    def is_fetching(self, target: ids.TargetId) -> bool:
        """Whether a target carries out a load from the weight store."""
        return target in self._active

    def observe(
        self,
        fetches: Mapping[ids.TargetId, Fetch],
        now: datetime.timedelta,
    ) -> list[FinishedFetch]:
        """Takes the loads that are under way now; returns those that ended.

        Args:
            fetches: The load of each target that carries out one. A target
                that is gone is left out, so its load counts as ended.
            now: The time.
        """
        ended = []
        for target, load in list(self._active.items()):
            if fetches.get(target) != load.fetch:
                del self._active[target]
                ended.append(
                    FinishedFetch(
                        target,
                        load.fetch,
                        now - load.started_at,
                        load.peak_concurrency,
                    )
                )
                self._update_estimate(load, now)
        for target, fetch in fetches.items():
            if target not in self._active:
                self._active[target] = _ActiveFetch(
                    fetch, now, 1, self._has_observed
                )
        for load in self._active.values():
            load.peak_concurrency = max(
                load.peak_concurrency, len(self._active)
            )
            self._update_estimate(load, now)
        self._has_observed = True
        return ended

    def get_free_capacity(self, now: datetime.timedelta) -> int:
        """Returns how many loads may begin without slowing others down."""
        return max(0, round(self.get_capacity(now)) - len(self._active))

    def estimate_slowdown(self, now: datetime.timedelta) -> float:
        """Returns by how much a load that begins now takes longer."""
        return max(1.0, (len(self._active) + 1) / self.get_capacity(now))

    def get_capacity(self, now: datetime.timedelta) -> float:
        """Returns the number of loads that the store carries at full speed."""
        if self._estimate is None or now - self._estimated_at > ESTIMATE_TTL:
            return DEFAULT_CAPACITY
        return self._estimate

    def _update_estimate(
        self, load: _ActiveFetch, now: datetime.timedelta
    ) -> None:
        """Learns from a load that is over, or that should be.

        Each gives an upper bound: not all others were there all the time.
        """
        slowed_by = load.get_slowdown(now)
        if not load.has_known_start or slowed_by <= 1.0 + SLOWDOWN_TOLERANCE:
            return
        if load.peak_concurrency == 1:
            # Something else slows it down, at the store or at its target.
            return
        bound = max(1.0, load.peak_concurrency / slowed_by)
        if bound <= self.get_capacity(now):
            self._estimate = bound
            self._estimated_at = now
