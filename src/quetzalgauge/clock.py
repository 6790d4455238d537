"""Clocks of the process.

The core never reads a clock; its callers pass the current time in.
"""

from collections.abc import Callable
import datetime
import time
from typing import TypeAlias

# Returns the time since an arbitrary origin; it never goes backwards.
Clock: TypeAlias = Callable[[], datetime.timedelta]


def make_boottime_clock() -> Clock:
    """Returns a clock that keeps running while the machine is suspended.

    Leases depend on this: CLOCK_MONOTONIC stops during a suspend on Linux, so
    a resumed machine would treat an expired lease as valid.
    """
    start = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now() -> datetime.timedelta:
        seconds = time.clock_gettime(time.CLOCK_BOOTTIME) - start
        return datetime.timedelta(seconds=seconds)

    return now


def get_unix_time() -> datetime.timedelta:
    """Returns the time since the Unix epoch; it may jump."""
    return datetime.timedelta(seconds=time.time())
