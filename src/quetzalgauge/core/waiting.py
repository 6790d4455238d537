"""Queues of requests that wait for a target, one for each service and model.

The pattern answered: a burst for a model that is not loaded. All its requests
ride on one load, in the order of their route's priority and their arrival.
"""

import bisect
from collections.abc import Iterator
import dataclasses
import datetime
from typing import TypeAlias

from quetzalgauge import ids

# A plain service has one queue, a model service one for each model.
Key: TypeAlias = tuple[ids.ServiceName, ids.ModelName | None]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """A request's place in its queue: most urgent and oldest first."""

    priority: int
    arrived: datetime.timedelta
    token: int


class Queues:
    """All queues of an instance."""

    def __init__(self) -> None:
        self._queues: dict[Key, list[Place]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def keys_with_requests(self) -> list[Key]:
        """Returns the keys with waiting requests."""
        return list(self._queues)

    def of(self, key: Key) -> Iterator[Place]:
        """Returns the waiting requests of a key in their order."""
        return iter(tuple(self._queues.get(key, ())))

    def length(self, key: Key) -> int:
        """Returns the number of waiting requests of a key."""
        return len(self._queues.get(key, ()))

    def add(self, key: Key, place: Place) -> None:
        """Adds a request."""
        bisect.insort(self._queues.setdefault(key, []), place)

    def remove(self, key: Key, place: Place) -> None:
        """Removes a request that may be there."""
        queue = self._queues.get(key, [])
        index = bisect.bisect_left(queue, place)
        if index < len(queue) and queue[index] == place:
            del queue[index]
        if not queue:
            self._queues.pop(key, None)
