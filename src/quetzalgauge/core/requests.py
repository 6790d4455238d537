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
        timeout: Time that the caller will wait, None if it did not say.
        model: The model asked for, None for a plain request.
        adapter: The adapter asked for, or None.
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Most tokens of the output.
        last_event_id: Last event id that the caller has, empty if none.
    """

    request_id: ids.RequestId
    host: str
    path: str
    timeout: datetime.timedelta | None
    model: ids.ModelName | None = None
    adapter: ids.AdapterName | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""


class Failure(enum.Enum):
    """How an attempt failed."""

    UNREACHABLE = "unreachable"  # No connection; no byte was sent.
    FULL = "full"  # The target says that it did not run the request.
    NOT_LOADED = "not_loaded"  # The target lacks the model or adapter.
    WRONG_TARGET = "other_target"  # Another target has the address.
    IDLE_TIMEOUT = "silent"  # Sent; nothing arrived for too long.
    CONNECTION_LOST = (
        "cut"  # Sent; the connection ended before the whole answer.
    )
    WRONG_REQUEST_ID = "mismatch"  # The answer belongs to another request.
    MALFORMED_RESPONSE = "malformed"  # The answer breaks the protocol.
    SERVER_ERROR = "error"  # The target answered with a server error.
    DEADLINE_EXCEEDED = "timeout"  # Given up at the end of the request's time.
    CALLER_DISCONNECTED = "abandoned"  # The caller has gone.
    SHUTDOWN = "stopped"  # Given up because the process ends.


# The request did not run and never will.
NOT_RUN_FAILURES = frozenset(
    {
        Failure.UNREACHABLE,
        Failure.FULL,
        Failure.NOT_LOADED,
        Failure.WRONG_TARGET,
    }
)


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read. `token` is unique among those in progress."""

    local_id: int
    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first part of a target's answer has reached the caller."""

    local_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt got its whole answer (failure None) or failed.

    Attributes:
        local_id: The request.
        failure: None if the whole answer was passed on.
        status: HTTP status of the target's answer, 0 without one.
        has_buffered_response: Whether the shell keeps a whole answer of the
            target
            that `Relay` would pass on.
        last_event_id: Last event id passed on, empty if none.
        connection_reused: The connection had served another request before.
        longest_gap: Longest pause between two parts of the answer.
    """

    local_id: int
    failure: Failure | None
    status: int = 0
    has_buffered_response: bool = False
    last_event_id: str = ""
    connection_reused: bool = False
    longest_gap: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""

    local_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """The caller has its answer or its connection is closed."""

    local_id: int


Event: TypeAlias = (
    RequestArrived
    | ResponseStarted
    | AttemptEnded
    | CallerDisconnected
    | RequestEnded
)


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request once; ends with one AttemptEnded.

    Attributes:
        local_id: The request.
        target: The target.
        address: Its IP-NUMBER:PORT.
        deadline: Time (on the core's clock) by which the answer is due.
        first_byte_deadline: Time by which its first part is due; SILENT after
            it.
        idle_timeout: Longest pause between parts; SILENT after it.
        needs_new_connection: A connection that was never used is required.
        is_stream: Whether the answer is passed on event by event.
        last_event_id: Event id after which a stream goes on, or empty.
        priority: Priority for the target, 0 is the most urgent.
    """

    local_id: int
    target: ids.TargetId
    address: str
    deadline: datetime.timedelta
    first_byte_deadline: datetime.timedelta
    idle_timeout: datetime.timedelta
    needs_new_connection: bool
    is_stream: bool
    last_event_id: str = ""
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Pass on the answer that the shell holds."""

    local_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer for the system itself.

    Attributes:
        local_id: The request.
        status: HTTP status.
        reason: Stable code for callers and log.
        retry_after: When to come back, None where it makes no difference.
        may_have_run: Whether the request may have run.
    """

    local_id: int
    status: int
    reason: str
    retry_after: datetime.timedelta | None
    may_have_run: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Close the caller's connection; an answer in progress stays torn."""

    local_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """End the attempt in progress with this failure; it may end otherwise."""

    local_id: int
    failure: Failure


Action: TypeAlias = Send | Relay | Refuse | Abort | CancelAttempt
