"""Clocks. The core never reads one; the shell passes the time in."""

from collections.abc import Callable
import datetime
import time
from typing import TypeAlias

# Returns the time since an arbitrary start. It never goes backwards.
Clock: TypeAlias = Callable[[], datetime.timedelta]


def make_boottime_clock() -> Clock:
    """Returns a clock that also counts the time of a suspended machine.

    Leases rest on it: the monotonic clock of Linux stands still meanwhile.
    """
    start = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now() -> datetime.timedelta:
        seconds = time.clock_gettime(time.CLOCK_BOOTTIME) - start
        return datetime.timedelta(seconds=seconds)

    return now
