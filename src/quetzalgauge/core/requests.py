"""Requests of callers, and the events and actions of `gateway`.

`token` names a request in progress. Each request that arrived gets actions
until its last one: `Refuse`, `Relay`, `Abort`, or an attempt that ended with
the whole answer passed on.
"""

import dataclasses
import datetime
import enum
from typing import TypeAlias

from quetzalgauge import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """What the core needs to know of a caller's request.

    Attributes:
        request_id: Given by the caller; each of its tries has its own.
        host: The Host header.
        path: The path without the query.
        patience: Time that the caller will wait, None if it did not say.
        model: The model asked for, None for a plain request.
        adapter: The adapter asked for, or None.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Most tokens of the output.
        last_event: Last event id that the caller has, empty if none.
    """

    request_id: ids.RequestId
    host: str
    path: str
    patience: datetime.timedelta | None
    model: ids.ModelName | None = None
    adapter: ids.AdapterName | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: str = ""


class Failure(enum.Enum):
    """How an attempt failed."""

    UNREACHABLE = "unreachable"  # No connection; no byte was sent.
    FULL = "full"  # The target says that it did not run the request.
    NOT_LOADED = "not_loaded"  # The target lacks the model or adapter.
    OTHER_TARGET = "other_target"  # Another target has the address.
    SILENT = "silent"  # Sent; nothing arrived for too long.
    CUT = "cut"  # Sent; the connection ended before the whole answer.
    MISMATCH = "mismatch"  # The answer belongs to another request.
    MALFORMED = "malformed"  # The answer breaks the protocol.
    ERROR = "error"  # The target answered with a server error.
    TIMEOUT = "timeout"  # Given up at the end of the request's time.
    ABANDONED = "abandoned"  # The caller has gone.
    STOPPED = "stopped"  # Given up because the process ends.


# The request did not run and never will.
NOT_RUN = frozenset(
    {
        Failure.UNREACHABLE,
        Failure.FULL,
        Failure.NOT_LOADED,
        Failure.OTHER_TARGET,
    }
)


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request was read. `token` is unique among those in progress."""

    token: int
    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class FirstPart:
    """The first part of a target's answer has reached the caller."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt got its whole answer (failure None) or failed.

    Attributes:
        token: The request.
        failure: None if the whole answer was passed on.
        status: HTTP status of the target's answer, 0 without one.
        holds_answer: Whether the shell keeps a whole answer of the target
            that `Relay` would pass on.
        last_event: Last event id passed on, empty if none.
        reused: The connection had served another request before.
        longest_gap: Longest pause between two parts of the answer.
    """

    token: int
    failure: Failure | None
    status: int = 0
    holds_answer: bool = False
    last_event: str = ""
    reused: bool = False
    longest_gap: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The caller has its answer or its connection is closed."""

    token: int


Event: TypeAlias = Arrived | FirstPart | AttemptEnded | CallerGone | Ended


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request once; ends with one AttemptEnded.

    Attributes:
        token: The request.
        target: The target.
        address: Its IP-NUMBER:PORT.
        deadline: Time (on the core's clock) by which the answer is due.
        first_by: Time by which its first part is due; SILENT after it.
        max_gap: Longest pause between parts; SILENT after it.
        fresh: A connection that was never used is required.
        stream: Whether the answer is passed on event by event.
        resume_after: Event id after which a stream goes on, or empty.
        rank: Priority for the target, 0 is the most urgent.
    """

    token: int
    target: ids.TargetId
    address: str
    deadline: datetime.timedelta
    first_by: datetime.timedelta
    max_gap: datetime.timedelta
    fresh: bool
    stream: bool
    resume_after: str = ""
    rank: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Pass on the answer that the shell holds."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer for the system itself.

    Attributes:
        token: The request.
        status: HTTP status.
        reason: Stable code for callers and log.
        retry_after: When to come back, None where it makes no difference.
        run: Whether the request may have run.
    """

    token: int
    status: int
    reason: str
    retry_after: datetime.timedelta | None
    run: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Close the caller's connection; an answer in progress stays torn."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """End the attempt in progress with this failure; it may end otherwise."""

    token: int
    failure: Failure


Action: TypeAlias = Send | Relay | Refuse | Abort | Cancel
