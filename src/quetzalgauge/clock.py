"""Clocks. The core never reads one; the shell passes the time in."""

from collections.abc import Callable
import datetime
import time
from typing import TypeAlias

# Returns the time since an arbitrary start. It never goes backwards.
Clock: TypeAlias = Callable[[], datetime.timedelta]


def make_monotonic_clock() -> Clock:
    """Returns a clock that starts near zero and ignores wall-clock changes."""
    start = time.monotonic()

    def now() -> datetime.timedelta:
        return datetime.timedelta(seconds=time.monotonic() - start)

    return now


def make_suspend_clock() -> Clock:
    """Returns a clock that also counts the time of a suspended machine.

    Leases rest on it: the monotonic clock of Linux stands still meanwhile.
    """
    start = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now() -> datetime.timedelta:
        seconds = time.clock_gettime(time.CLOCK_BOOTTIME) - start
        return datetime.timedelta(seconds=seconds)

    return now


def make_incarnation() -> int:
    """Returns the wall clock in milliseconds.

    It grows with each start of a process on an instance that keeps nothing.
    """
    return time.time_ns() // 1_000_000


class ManualClock:
    """A clock for tests that moves only when told to."""

    def __init__(self) -> None:
        self._now = datetime.timedelta()

    def __call__(self) -> datetime.timedelta:
        """Returns the current time."""
        return self._now

    def advance(self, by: datetime.timedelta) -> None:
        """Moves the clock forward."""
        self._now += by
