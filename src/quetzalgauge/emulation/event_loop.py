"""A discrete-event loop on an emulated clock."""

from collections.abc import Callable
import datetime
import heapq
import itertools
import random


class EventLoop:
    """Runs callbacks in the order of their emulated times.

    Callbacks of the same time run in the order in which they were scheduled.

    Attributes:
        rng: Random number generator of the emulation.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self._now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    @property
    def now_s(self) -> float:
        """The emulated time in seconds."""
        return self._now_s

    @property
    def now(self) -> datetime.timedelta:
        """The emulated time."""
        return datetime.timedelta(seconds=self._now_s)

    def schedule_after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> None:
        """Schedules a callback after a delay; a negative delay counts as 0."""
        self.schedule_at(self._now_s + max(0.0, delay_s), callback)

    def schedule_at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a time; a past time counts as now."""
        entry = (
            max(self._now_s, time_s),
            next(self._sequence_numbers),
            callback,
        )
        heapq.heappush(self._heap, entry)

    def run_until(self, time_s: float) -> None:
        """Runs all callbacks up to and including a time."""
        while self._heap and self._heap[0][0] <= time_s:
            self._now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self._now_s = time_s
