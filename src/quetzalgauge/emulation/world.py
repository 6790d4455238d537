"""Emulated time."""

from collections.abc import Callable
import datetime
import heapq
import itertools
import random


class World:
    """Runs functions in the order of their emulated times."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self._now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def seconds(self) -> float:
        """The emulated time in seconds."""
        return self._now

    @property
    def now(self) -> datetime.timedelta:
        """The emulated time."""
        return datetime.timedelta(seconds=self._now)

    def after(self, seconds: float, run: Callable[[], None]) -> None:
        """Runs a function later."""
        self.at(self._now + max(0.0, seconds), run)

    def at(self, seconds: float, run: Callable[[], None]) -> None:
        """Runs a function at a time."""
        entry = (max(self._now, seconds), next(self._numbers), run)
        heapq.heappush(self._heap, entry)

    def run_until(self, seconds: float) -> None:
        """Runs everything up to a time."""
        while self._heap and self._heap[0][0] <= seconds:
            self._now, _, run = heapq.heappop(self._heap)
            run()
        self._now = seconds
