"""Waiting queues, predicted waits and early refusals."""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import datetime

# Weight of the newest measurement in the mean service time.
SERVICE_TIME_WEIGHT = 0.2

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request in a queue. `token` is opaque and unique.

    Attributes:
        token: The request.
        priority: 0 to 9, larger goes first.
        deadline: Time by which the caller needs the answer.
        sequence: Order of arrival, decides between equals.
    """

    token: int
    priority: int
    deadline: datetime.timedelta
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """What one replica can take.

    Attributes:
        slots: Requests it runs at once.
        busy: Requests it runs now.
        ready_in: Zero for a ready replica, otherwise time until it is loaded.
    """

    slots: int
    busy: int
    ready_in: datetime.timedelta


def _order(waiting: Waiting) -> tuple[int, datetime.timedelta, int]:
    return (-waiting.priority, waiting.deadline, waiting.sequence)


class WaitingQueue:
    """Queue of one model, ordered by priority, then deadline."""

    def __init__(self) -> None:
        self._entries: list[Waiting] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(tuple(self._entries))

    def add(self, waiting: Waiting) -> None:
        """Adds a request at its place in the order."""
        bisect.insort(self._entries, waiting, key=_order)

    def take_excess(self, limit: int) -> list[Waiting]:
        """Removes the last requests in order until `limit` are left."""
        excess = self._entries[limit:]
        del self._entries[limit:]
        return excess

    def remove(self, waiting: Waiting) -> bool:
        """Removes a request; returns False if it is not in the queue."""
        place = bisect.bisect_left(self._entries, _order(waiting), key=_order)
        found = place < len(self._entries) and self._entries[place] == waiting
        if found:
            del self._entries[place]
        return found


def make_predictor(
    loads: Iterable[ReplicaLoad], service_time: datetime.timedelta
) -> Callable[[int], datetime.timedelta | None]:
    """Returns a function that predicts waits for a place on a replica.

    A replica takes requests at once while it has free slots and then at the
    rate of slots divided by service time. The function takes the number of
    requests that go first and returns None if there is no replica.

    Args:
        loads: The replicas that are ready or loading.
        service_time: Mean time that a request holds a slot; zero if nothing
            was measured, which predicts no wait on a ready replica.
    """
    usable = sorted(
        (load for load in loads if load.slots > 0),
        key=lambda load: load.ready_in,
    )
    if not usable:
        return lambda position: None
    seconds = service_time.total_seconds()
    first = max(_ZERO, usable[0].ready_in)
    if seconds <= 0:
        return lambda position: first
    steps = _make_steps(usable, seconds)

    def predict(position: int) -> datetime.timedelta:
        wanted = position + 1.0
        at = 0.0
        for index, step in enumerate(steps):
            at = step.start
            if wanted > step.served:
                at += (wanted - step.served) / step.rate
            if index + 1 == len(steps) or at <= steps[index + 1].start:
                break
        return datetime.timedelta(seconds=at)

    return predict


@dataclasses.dataclass(slots=True)
class _Step:
    """From `start` on, `served` requests and `rate` more each second."""

    start: float
    served: float
    rate: float


def _make_steps(usable: Sequence[ReplicaLoad], seconds: float) -> list[_Step]:
    steps: list[_Step] = []
    for load in usable:
        start = max(0.0, load.ready_in.total_seconds())
        if not steps:
            steps.append(_Step(start, 0.0, 0.0))
        last = steps[-1]
        if start > last.start:
            served = last.served + last.rate * (start - last.start)
            last = _Step(start, served, last.rate)
            steps.append(last)
        last.served += max(0, load.slots - load.busy)
        last.rate += load.slots / seconds
    return steps


def find_hopeless(
    queue: Iterable[Waiting],
    loads: Sequence[ReplicaLoad],
    service_time: datetime.timedelta,
    now: datetime.timedelta,
) -> list[tuple[Waiting, datetime.timedelta]]:
    """Returns the requests that cannot start in time, with predicted waits.

    A hopeless request leaves the queue, so it does not count for those after
    it.
    """
    hopeless = []
    position = 0
    predict = make_predictor(loads, service_time)
    for waiting in queue:
        wait = predict(position)
        # Without any replica nothing is predicted, and only the deadline
        # itself ends the wait.
        if now + (wait or _ZERO) >= waiting.deadline:
            hopeless.append((waiting, wait or _ZERO))
        else:
            position += 1
    return hopeless


class ServiceTime:
    """Mean time that a request holds a slot, weighted to recent ones."""

    def __init__(self, weight: float = SERVICE_TIME_WEIGHT) -> None:
        self._weight = weight
        self._mean: datetime.timedelta | None = None

    @property
    def mean(self) -> datetime.timedelta:
        """The mean; zero if nothing was measured."""
        return self._mean or _ZERO

    def record(self, measured: datetime.timedelta) -> None:
        """Takes a measurement into account."""
        if self._mean is None:
            self._mean = measured
        else:
            self._mean += (measured - self._mean) * self._weight
