"""Deadlines and timeouts of requests and of their attempts."""

import datetime

from quetzalgauge.core import configuration
from quetzalgauge.core import requests

# Callers close a stream that is idle for the longest of three times: this one,
# and these multiples of the route's latency target and of its longest gap
# between events. The same holds before the first event (from the platform's
# description of callers).
MIN_CALLER_IDLE_TIMEOUT = datetime.timedelta(seconds=2)
CALLER_IDLE_LATENCY_MULTIPLE = 4
CALLER_IDLE_GAP_MULTIPLE = 8
# Time before the deadline at which a refusal is sent, so that it reaches the
# caller before the caller closes the connection.
RESPONSE_MARGIN = datetime.timedelta(milliseconds=30)
# Lower bounds of the time after which an attempt that can be retried on another
# target is silent.
MIN_FIRST_BYTE_TIMEOUT = datetime.timedelta(milliseconds=150)
# Streams take longer because engines process the prompts of a burst one after
# the other.
MIN_STREAM_FIRST_BYTE_TIMEOUT = datetime.timedelta(milliseconds=900)
# Share of the remaining time after which an attempt is silent at the latest, so
# that another attempt fits in before the deadline.
ATTEMPT_TIME_SHARE = 0.5
# First-byte timeout in multiples of the target's mean time to the first byte.
LATENCY_MULTIPLE = 8
# Lower bound of the silence timeout of a stream that can be retried.
MIN_SILENCE_TIMEOUT = datetime.timedelta(milliseconds=600)
# Silence timeout in multiples of the route's longest gap between events.
GAP_MULTIPLE = 4


def request_deadline(
    route: configuration.Route,
    head: requests.Head,
    arrived_at: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time by which the caller must have its whole response."""
    timeout = route.timeout
    if head.timeout is not None:
        timeout = min(timeout, head.timeout)
    return arrived_at + timeout


def target_deadline(
    route: configuration.Route,
    head: requests.Head,
    arrived_at: datetime.timedelta,
    deadline: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time until which targets may work on a request.

    They cannot be told of a longer timeout of the route later, so they are told
    how long the caller waits; this instance closes their connections at the
    deadline. The work on an unsafe request has to end by the deadline, also
    where that close does not end it: its caller may act on it then.
    """
    if route.kind is configuration.RouteKind.UNSAFE or head.timeout is None:
        return deadline
    return arrived_at + head.timeout


def caller_idle_timeout(route: configuration.Route) -> datetime.timedelta:
    """Returns the idle time after which callers close a stream."""
    max_gap = route.max_gap or datetime.timedelta()
    return max(
        MIN_CALLER_IDLE_TIMEOUT,
        CALLER_IDLE_LATENCY_MULTIPLE * route.target_latency,
        CALLER_IDLE_GAP_MULTIPLE * max_gap,
    )


def start_deadline(
    route: configuration.Route,
    arrived_at: datetime.timedelta,
    deadline: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the latest time at which the first byte is of use to a caller."""
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
    """Returns the time after which an attempt without a response is silent.

    An attempt that cannot be retried may take until the deadline.
    """
    if not can_retry:
        return deadline
    scaled_latency = datetime.timedelta(
        seconds=mean_latency_seconds * LATENCY_MULTIPLE
    )
    min_timeout = MIN_FIRST_BYTE_TIMEOUT
    if route.kind is configuration.RouteKind.STREAM:
        min_timeout = MIN_STREAM_FIRST_BYTE_TIMEOUT
    timeout = max(min_timeout, 2 * route.target_latency, scaled_latency)
    return now + min(timeout, (deadline - now) * ATTEMPT_TIME_SHARE)


def silence_timeout(
    route: configuration.Route, has_attempts_left: bool
) -> datetime.timedelta:
    """Returns the time without an event after which a target is silent."""
    if not has_attempts_left or route.max_gap is None:
        return caller_idle_timeout(route)
    return max(MIN_SILENCE_TIMEOUT, GAP_MULTIPLE * route.max_gap)
