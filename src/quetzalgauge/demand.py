"""Waiting requests by model, from entry processes and from peers."""

import collections
from collections.abc import Iterator
import dataclasses
import datetime
from typing import Any

from quetzalgauge import ids

# An entry reports at least every 250 ms while requests wait.
DEMAND_VALID = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Servable:
    """A model in one version."""

    model: ids.ModelName
    version: ids.VersionName


@dataclasses.dataclass(slots=True)
class _Row:
    demand: Any
    until: datetime.timedelta
    is_own: bool


class Demands:
    """The demand that was reported lately, by model, version and entry."""

    def __init__(self) -> None:
        self._rows: dict[Servable, dict[str, _Row]] = {}
        # The answer of `waiting` until the next change: it is asked for each
        # reservation in each review.
        self._waiting: tuple[Servable, ...] | None = None
        # When a model was last wanted; the most recent one stands last.
        self._wanted: collections.OrderedDict[Servable, datetime.timedelta] = (
            collections.OrderedDict()
        )

    def put(self, demand: Any, is_own: bool, now: datetime.timedelta) -> None:
        """Notes one ttypes.Demand.

        Args:
            demand: The demand.
            is_own: Whether an entry process reported it to this process.
            now: The time.
        """
        self._waiting = None
        servable = Servable(demand.model, demand.version)
        rows = self._rows.setdefault(servable, {})
        rows[demand.origin] = _Row(demand, now + DEMAND_VALID, is_own)
        if demand.waiting or demand.running:
            self._wanted[servable] = now
            self._wanted.move_to_end(servable)

    def expire(self, now: datetime.timedelta) -> None:
        """Forgets demand that was not repeated."""
        for servable, rows in list(self._rows.items()):
            for origin, row in list(rows.items()):
                if now >= row.until:
                    del rows[origin]
                    self._waiting = None
            if not rows:
                del self._rows[servable]

    def waiting(self) -> tuple[Servable, ...]:
        """Returns what requests wait for, the most urgent first."""
        if self._waiting is None:
            self._waiting = self._sort_waiting()
        return self._waiting

    def _sort_waiting(self) -> tuple[Servable, ...]:
        keys = [
            (self._urgency(rows), servable)
            for servable, rows in self._rows.items()
            if any(row.demand.waiting for row in rows.values())
        ]
        keys.sort(key=lambda key: key[0])
        return tuple(servable for _, servable in keys)

    def is_waiting(self, servable: Servable) -> bool:
        """Whether a request waits for this model in this version."""
        rows = self._rows.get(servable, {})
        return any(row.demand.waiting for row in rows.values())

    def requests(self, servable: Servable) -> int:
        """Returns the number of requests that wait or run."""
        rows = self._rows.get(servable, {})
        return sum(
            row.demand.waiting + row.demand.running for row in rows.values()
        )

    def own(self, servable: Servable) -> Iterator[Any]:
        """Returns the waiting demand of entry processes of this instance."""
        for row in self._rows.get(servable, {}).values():
            if row.is_own and row.demand.waiting:
                yield row.demand

    def oldest_own_wait(self, servable: Servable) -> datetime.timedelta:
        """Returns the longest wait at entry processes of this instance."""
        waits = [demand.oldest_wait_s for demand in self.own(servable)]
        return datetime.timedelta(seconds=max(waits, default=0.0))

    def last_wanted(self, servable: Servable) -> datetime.timedelta | None:
        """Returns when a model was last wanted, None if never."""
        return self._wanted.get(servable)

    def _urgency(self, rows: dict[str, _Row]) -> tuple[int, float]:
        return (
            -max(row.demand.priority for row in rows.values()),
            -max(row.demand.oldest_wait_s for row in rows.values()),
        )
