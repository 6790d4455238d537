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
ASSUMED_AT_ONCE = 4.0
# A load that takes longer than usual by more than this share was slowed down;
# the end of a load is seen up to a second late.
SLOWED_SHARE = 0.2
# A measurement counts for this time; the store may be slow for a while only.
MEASURED_FOR = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A load from the weight store that a target carries out.

    Attributes:
        model: The model.
        usual: Time that the load takes at full speed.
    """

    model: ids.ModelName
    usual: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A load from the weight store that is over.

    Attributes:
        target: The target.
        fetch: The load.
        took: Its time.
        at_once: Most loads under way at any moment of it, itself included.
    """

    target: ids.TargetId
    fetch: Fetch
    took: datetime.timedelta
    at_once: int


@dataclasses.dataclass(slots=True)
class _Load:
    fetch: Fetch
    began: datetime.timedelta
    most: int  # Loads under way at any moment of it, itself included.
    seen_from_start: bool

    def slowed_by(self, now: datetime.timedelta) -> float:
        return (now - self.began) / self.fetch.usual


class WeightStore:
    """The loads of all targets, as one holder sees them."""

    def __init__(self) -> None:
        self._loads: dict[ids.TargetId, _Load] = {}
        self._measured: float | None = None
        self._measured_at = datetime.timedelta()
        self._has_looked = False

    @property
    def under_way(self) -> int:
        """Number of loads under way."""
        return len(self._loads)

    def is_loading(self, target: ids.TargetId) -> bool:
        """Whether a target carries out a load from the weight store."""
        return target in self._loads

    def observe(
        self,
        fetches: Mapping[ids.TargetId, Fetch],
        now: datetime.timedelta,
    ) -> list[Ended]:
        """Takes the loads that are under way now; returns those that ended.

        Args:
            fetches: The load of each target that carries out one. A target
                that is gone is left out, so its load counts as ended.
            now: The time.
        """
        ended = []
        for target, load in list(self._loads.items()):
            if fetches.get(target) != load.fetch:
                del self._loads[target]
                ended.append(
                    Ended(target, load.fetch, now - load.began, load.most)
                )
                self._measure(load, now)
        for target, fetch in fetches.items():
            if target not in self._loads:
                self._loads[target] = _Load(fetch, now, 1, self._has_looked)
        for load in self._loads.values():
            load.most = max(load.most, len(self._loads))
            self._measure(load, now)
        self._has_looked = True
        return ended

    def free_places(self, now: datetime.timedelta) -> int:
        """Returns how many loads may begin without slowing others down."""
        return max(0, round(self.at_once(now)) - len(self._loads))

    def slowdown(self, now: datetime.timedelta) -> float:
        """Returns by how much a load that begins now takes longer."""
        return max(1.0, (len(self._loads) + 1) / self.at_once(now))

    def at_once(self, now: datetime.timedelta) -> float:
        """Returns the number of loads that the store carries at full speed."""
        if self._measured is None or now - self._measured_at > MEASURED_FOR:
            return ASSUMED_AT_ONCE
        return self._measured

    def _measure(self, load: _Load, now: datetime.timedelta) -> None:
        """Learns from a load that is over, or that should be.

        Each gives an upper bound: not all others were there all the time.
        """
        slowed_by = load.slowed_by(now)
        if not load.seen_from_start or slowed_by <= 1.0 + SLOWED_SHARE:
            return
        if load.most == 1:
            # Something else slows it down, at the store or at its target.
            return
        bound = max(1.0, load.most / slowed_by)
        if bound <= self.at_once(now):
            self._measured = bound
            self._measured_at = now
