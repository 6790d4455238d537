"""How long a request may take, and when waiting for it is pointless."""

import datetime

from quetzalgauge.core import configuration
from quetzalgauge.core import requests

# Callers leave a stream that is silent for the longest of these three, also
# before its first event (from the platform's description of callers).
SILENCE = datetime.timedelta(seconds=2)
SILENT_AIMS = 4
SILENT_GAPS = 8
# The answer of the system itself should arrive before the caller has left.
ANSWER_MARGIN = datetime.timedelta(milliseconds=30)
# Shortest and longest wait for the first part of an answer that may be asked
# for again elsewhere.
SHORTEST_TRY = datetime.timedelta(milliseconds=150)
# Engines read the prompts of a burst one after the other.
SHORTEST_STREAM_TRY = datetime.timedelta(milliseconds=900)
# An attempt gets this share of what is left, so that another one fits in.
TRY_SHARE = 0.5
# Multiples of the usual time to the first part that count as silence.
USUAL_MULTIPLE = 8
# Shortest pause in a stream that counts as silence.
SHORTEST_GAP = datetime.timedelta(milliseconds=600)
GAP_MULTIPLE = 4


def deadline(
    route: configuration.Route,
    head: requests.Head,
    arrived: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time by which the caller gets its final answer."""
    allowed = route.timeout
    if head.patience is not None:
        allowed = min(allowed, head.patience)
    return arrived + allowed


def silence_limit(route: configuration.Route) -> datetime.timedelta:
    """Returns the silence after which a caller leaves a stream."""
    gap = route.max_gap or datetime.timedelta()
    return max(SILENCE, SILENT_AIMS * route.aim, SILENT_GAPS * gap)


def start_limit(
    route: configuration.Route,
    arrived: datetime.timedelta,
    due: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time at which a first part is still of use to a caller."""
    if route.kind is not configuration.Kind.STREAM:
        return due
    return min(due, arrived + silence_limit(route))


def first_part_by(
    route: configuration.Route,
    usual_seconds: float,
    may_repeat: bool,
    now: datetime.timedelta,
    due: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time until which an attempt may stay silent.

    An answer that cannot be asked for again is waited for to the end.
    """
    if not may_repeat:
        return due
    usual = datetime.timedelta(seconds=usual_seconds * USUAL_MULTIPLE)
    shortest = SHORTEST_TRY
    if route.kind is configuration.Kind.STREAM:
        shortest = SHORTEST_STREAM_TRY
    wait = max(shortest, 2 * route.aim, usual)
    return now + min(wait, (due - now) * TRY_SHARE)


def longest_gap(
    route: configuration.Route, may_repeat: bool
) -> datetime.timedelta:
    """Returns the pause between events after which a target is silent."""
    if not may_repeat or route.max_gap is None:
        return silence_limit(route)
    return max(SHORTEST_GAP, GAP_MULTIPLE * route.max_gap)
