"""Queues of requests that wait for a target, one for each service and model.

All requests of a burst for a model that is not loaded are queued together and
share one load of the model. They are served by the priority of their route,
then by arrival.
"""

import bisect
from collections.abc import Iterator
import dataclasses
import datetime
from typing import TypeAlias

from quetzalgauge import ids

# A plain service has one queue with the model None, a model service has one
# queue for each model.
QueueKey: TypeAlias = tuple[ids.ServiceName, ids.ModelName | None]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueueEntry:
    """A queued request; sorts by urgency, then by arrival."""

    priority: int
    arrived_at: datetime.timedelta
    local_id: int


class Queues:
    """The queues of an instance."""

    def __init__(self) -> None:
        self._queues: dict[QueueKey, list[QueueEntry]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def nonempty_keys(self) -> list[QueueKey]:
        """Returns the keys of the queues that are not empty."""
        return list(self._queues)

    def entries(self, key: QueueKey) -> Iterator[QueueEntry]:
        """Returns the queued requests of a key in order."""
        return iter(tuple(self._queues.get(key, ())))

    def length(self, key: QueueKey) -> int:
        """Returns the number of queued requests of a key."""
        return len(self._queues.get(key, ()))

    def add(self, key: QueueKey, entry: QueueEntry) -> None:
        """Adds a request."""
        bisect.insort(self._queues.setdefault(key, []), entry)

    def remove(self, key: QueueKey, entry: QueueEntry) -> None:
        """Removes a request if it is queued."""
        queue = self._queues.get(key, [])
        index = bisect.bisect_left(queue, entry)
        if index < len(queue) and queue[index] == entry:
            del queue[index]
        if not queue:
            self._queues.pop(key, None)
