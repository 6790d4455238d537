"""Bounds what unfinished requests of callers hold together.

A request is unfinished until it was received whole. Until then it has no
thread; what it holds are its connection, memory, and the time in which what
arrives is parsed. If one of these is short, unfinished requests yield: those
that hold or have used most of it, or that have been unfinished for longest.
"""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import Protocol
from typing import TypeVar

# Descriptors of the process itself, and the share for its other ports, orders
# and links to other instances.
BASE_DESCRIPTORS = 32
LINK_SHARE = 1 / 16
# Each request in progress takes one for its caller and one for its target.
DESCRIPTORS_PER_REQUEST = 2
# Shares of the other descriptors: requests in progress at most, idle
# connections to targets, connections on which nothing was received yet.
REQUEST_SHARE = 1 / 10
IDLE_TARGET_SHARE = 1 / 16
NEW_SHARE = 1 / 32
MAX_KEPT_CONNECTIONS = 3000
# What all unfinished heads may take, in parts of the memory for bodies.
HEAD_SHARE = 3 / 8
# What a line of a head takes once it is parsed, and what the head of a request
# whose body is awaited may always take.
HEADER_LINE_BYTES = 256
MAX_SHORT_HEAD_BYTES = 16_384
# Share of the requests in progress for those that were received behind others
# on their connections.
BEHIND_SHARE = 3 / 4
# Connections that are closed beyond the excess, in parts of the allowed number.
CLOSED_CONNECTION_SHARE = 1 / 16
# What is parsed before connections with news are looked for again, in bytes of
# a body that is only copied.
MAX_COST_PER_PASS = 1_000_000
# The time in which a whole body has to arrive. Its caller may also pause for
# the header timeout only.
DEFAULT_BODY_TIMEOUT = datetime.timedelta(seconds=60)


class Usage(Protocol):
    """What a connection uses while its request is unfinished."""

    @property
    def cost(self) -> int:
        """What parsing has cost, in bytes of a body that is only copied."""

    @property
    def allocated_bytes(self) -> int:
        """Memory that the body of its unfinished request takes."""

    @property
    def is_refused(self) -> bool:
        """Whether the rest of a refused request is discarded."""

    @property
    def is_unfinished(self) -> bool:
        """Whether a part of a request was received."""

    @property
    def has_served(self) -> bool:
        """Whether a request was served on the connection."""

    @property
    def last_used(self) -> float:
        """When the wait for data began, in seconds."""


_Usage = TypeVar("_Usage", bound=Usage)


@dataclasses.dataclass(frozen=True, slots=True)
class DescriptorLimits:
    """What the descriptors of a process are used for.

    Attributes:
        requests: Requests in progress.
        idle_targets: Idle connections to targets.
        waiting: Connections of callers without a request in progress.
        kept: Those of them that are kept open after a response.
    """

    requests: int
    idle_targets: int
    waiting: int
    kept: int


def divide_descriptors(
    max_descriptors: int, max_requests: int
) -> DescriptorLimits:
    """Returns the limits that keep a process within its descriptors.

    Args:
        max_descriptors: Descriptors available to the process.
        max_requests: Requests that the process can carry at once.
    """
    base = BASE_DESCRIPTORS + int(max_descriptors * LINK_SHARE)
    usable = max(1, max_descriptors - base)
    requests = max(1, min(max_requests, int(usable * REQUEST_SHARE)))
    idle_targets = int(usable * IDLE_TARGET_SHARE)
    waiting = max(1, usable - requests * DESCRIPTORS_PER_REQUEST - idle_targets)
    kept = min(MAX_KEPT_CONNECTIONS, waiting - int(usable * NEW_SHARE))
    return DescriptorLimits(requests, idle_targets, waiting, kept)


def sort_by_cost(usages: Iterable[_Usage]) -> list[_Usage]:
    """Returns connections with news in the order in which they are read.

    An ordinary request waits for none that has taken more time.
    """
    return sorted(usages, key=lambda usage: usage.cost)


def choose_largest(usages: Iterable[_Usage]) -> _Usage | None:
    """Returns the connection whose unfinished body takes most memory.

    None if none takes any.
    """
    largest = max(usages, key=lambda usage: usage.allocated_bytes, default=None)
    return largest if largest and largest.allocated_bytes else None


def choose_to_close(
    usages: Iterable[_Usage], excess: int, max_connections: int
) -> list[_Usage]:
    """Returns the connections to close if there are too many.

    They are some more than the excess, since each choice looks at all.

    The first ones are those on which nothing can be served any more, then those
    on which nothing was, then the others; of each, those that have waited for
    longest.
    """
    ordered = sorted(
        usages,
        key=lambda usage: (
            not usage.is_refused,
            usage.has_served,
            usage.is_unfinished and usage.has_served,
            usage.last_used,
        ),
    )
    return ordered[: excess + int(max_connections * CLOSED_CONNECTION_SHARE)]
