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
QueueKey: TypeAlias = tuple[ids.ServiceName, ids.ModelName | None]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueueEntry:
    """A request's place in its queue: most urgent and oldest first."""

    priority: int
    arrived_at: datetime.timedelta
    local_id: int


class Queues:
    """All queues of an instance."""

    def __init__(self) -> None:
        self._queues: dict[QueueKey, list[QueueEntry]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def nonempty_keys(self) -> list[QueueKey]:
        """Returns the keys with waiting requests."""
        return list(self._queues)

    def entries(self, key: QueueKey) -> Iterator[QueueEntry]:
        """Returns the waiting requests of a key in their order."""
        return iter(tuple(self._queues.get(key, ())))

    def length(self, key: QueueKey) -> int:
        """Returns the number of waiting requests of a key."""
        return len(self._queues.get(key, ()))

    def add(self, key: QueueKey, entry: QueueEntry) -> None:
        """Adds a request."""
        bisect.insort(self._queues.setdefault(key, []), entry)

    def remove(self, key: QueueKey, entry: QueueEntry) -> None:
        """Removes a request that may be there."""
        queue = self._queues.get(key, [])
        index = bisect.bisect_left(queue, entry)
        if index < len(queue) and queue[index] == entry:
            del queue[index]
        if not queue:
            self._queues.pop(key, None)
