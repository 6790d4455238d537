"""How long a request may take, and when waiting for it is pointless."""

import datetime

from quetzalgauge.core import configuration
from quetzalgauge.core import requests

# Callers leave a stream that is silent for the longest of these three, also
# before its first event (from the platform's description of callers).
MIN_CALLER_IDLE_TIMEOUT = datetime.timedelta(seconds=2)
CALLER_IDLE_LATENCY_MULTIPLE = 4
CALLER_IDLE_GAP_MULTIPLE = 8
# The answer of the system itself should arrive before the caller has left.
RESPONSE_MARGIN = datetime.timedelta(milliseconds=30)
# Shortest and longest wait for the first part of an answer that may be asked
# for again elsewhere.
MIN_FIRST_BYTE_TIMEOUT = datetime.timedelta(milliseconds=150)
# Engines read the prompts of a burst one after the other.
MIN_STREAM_FIRST_BYTE_TIMEOUT = datetime.timedelta(milliseconds=900)
# An attempt gets this share of what is left, so that another one fits in.
ATTEMPT_TIME_SHARE = 0.5
# Multiples of the usual time to the first part that count as silence.
LATENCY_MULTIPLE = 8
# Shortest pause in a stream that counts as silence.
MIN_IDLE_TIMEOUT = datetime.timedelta(milliseconds=600)
GAP_MULTIPLE = 4


def request_deadline(
    route: configuration.Route,
    head: requests.Head,
    arrived_at: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time by which the caller gets its final answer."""
    allowed = route.timeout
    if head.timeout is not None:
        allowed = min(allowed, head.timeout)
    return arrived_at + allowed


def caller_idle_timeout(route: configuration.Route) -> datetime.timedelta:
    """Returns the silence after which a caller leaves a stream."""
    gap = route.max_gap or datetime.timedelta()
    return max(
        MIN_CALLER_IDLE_TIMEOUT,
        CALLER_IDLE_LATENCY_MULTIPLE * route.target_latency,
        CALLER_IDLE_GAP_MULTIPLE * gap,
    )


def start_deadline(
    route: configuration.Route,
    arrived_at: datetime.timedelta,
    deadline: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time at which a first part is still of use to a caller."""
    if route.kind is not configuration.RouteKind.STREAM:
        return deadline
    return min(deadline, arrived_at + caller_idle_timeout(route))


def first_byte_deadline(
    route: configuration.Route,
    mean_latency_seconds: float,
    can_retry: bool,
    now: datetime.timedelta,
    deadline: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time until which an attempt may stay silent.

    An answer that cannot be asked for again is waited for to the end.
    """
    if not can_retry:
        return deadline
    usual = datetime.timedelta(seconds=mean_latency_seconds * LATENCY_MULTIPLE)
    shortest = MIN_FIRST_BYTE_TIMEOUT
    if route.kind is configuration.RouteKind.STREAM:
        shortest = MIN_STREAM_FIRST_BYTE_TIMEOUT
    wait = max(shortest, 2 * route.target_latency, usual)
    return now + min(wait, (deadline - now) * ATTEMPT_TIME_SHARE)


def idle_timeout(
    route: configuration.Route, can_retry: bool
) -> datetime.timedelta:
    """Returns the pause between events after which a target is silent."""
    if not can_retry or route.max_gap is None:
        return caller_idle_timeout(route)
    return max(MIN_IDLE_TIMEOUT, GAP_MULTIPLE * route.max_gap)
