"""Requests of callers, and the events and actions of `gateway`.

`local_id` identifies a request in progress within this instance. Each request
gets actions until it ends with `Refuse`, `Relay`, `Abort` or an attempt whose
whole response was passed on.

A request may have several attempts in progress, on different targets: the next
one begins beside those whose targets are silent. The first one that goes on
ends the others. `attempt` is the number of an attempt within its request,
counted from 1; in events, 0 means the latest one.
"""

import dataclasses
import datetime
import enum
from typing import TypeAlias

from quetzalgauge import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The parts of a caller's request that the core uses.

    Attributes:
        request_id: Set by the caller, which uses a new one for each retry.
        host: The Host header.
        path: The path without the query.
        timeout: Time that the caller will wait, None if not given.
        model: The requested model, None for a plain request.
        adapter: The requested adapter, or None.
        prompt_tokens: Number of tokens in the prompt.
        max_output_tokens: Maximum number of tokens in the output.
        last_event_id: Id of the last event that the caller received, or empty.
        prompt_parts: Ids of the prompt's parts without the last one.
        own_part: Id of the last part, which belongs to this request or its
            session. A caller that repeats the request sends it again.
        resumes: Id of the request whose response brought the first event of the
            stream that the caller resumes, or empty.
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
    prompt_parts: tuple[ids.PromptPart, ...] = ()
    own_part: ids.PromptPart | None = None
    resumes: ids.RequestId = ids.RequestId("")

    @property
    def all_parts(self) -> tuple[ids.PromptPart, ...]:
        """The ids of all parts, beginning with the request's own one."""
        if self.own_part is None:
            return self.prompt_parts
        return (self.own_part, *self.prompt_parts)


class Failure(enum.Enum):
    """Reason for the failure of an attempt."""

    UNREACHABLE = "unreachable"  # No connection; no byte was sent.
    FULL = "full"  # The target reports that it did not run the request.
    NOT_LOADED = "not_loaded"  # The target lacks the model or adapter.
    WRONG_TARGET = "other_target"  # Another target has the address.
    IDLE_TIMEOUT = "silent"  # Sent; the rest of a rejection did not arrive.
    CONNECTION_LOST = "cut"  # Sent; connection ended before the whole response.
    WRONG_REQUEST_ID = "mismatch"  # The response belongs to another request.
    MALFORMED_RESPONSE = "malformed"  # The response violates the protocol.
    SERVER_ERROR = "error"  # The target responded with a server error.
    DEADLINE_EXCEEDED = "timeout"  # The deadline of the request has passed.
    CALLER_DISCONNECTED = "abandoned"  # The caller has disconnected.
    SHUTDOWN = "stopped"  # The process shuts down.
    SUPERSEDED = "superseded"  # Sent; another attempt went on before it.
    WITHDRAWN = "withdrawn"  # Not sent, since another attempt has gone on.


# Failures after which the target has not run the request and never will.
NOT_RUN_FAILURES = frozenset(
    {
        Failure.UNREACHABLE,
        Failure.FULL,
        Failure.NOT_LOADED,
        Failure.WRONG_TARGET,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read; `local_id` is unique among those in progress.

    Attributes:
        local_id: The request.
        head: What the core uses of it.
        caller_disconnected: Whether the caller had closed its connection
            before the request was read.
    """

    local_id: int
    head: Head
    caller_disconnected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first bytes of a response were passed on to the caller.

    Attributes:
        local_id: The request.
        has_data: Whether they have data. If not, another event follows once
            data was passed on; comments of a stream have none.
        attempt: The attempt.
        is_start_known: Whether the target has told its start, if that was to
            be checked.
    """

    local_id: int
    has_data: bool = True
    attempt: int = 0
    is_start_known: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStalled:
    """No event has arrived for the silence timeout; the attempt goes on.

    Attributes:
        local_id: The request.
        last_event_id: As for `AttemptEnded`.
        attempt: The attempt.
    """

    local_id: int
    last_event_id: str = ""
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResumed:
    """The first data of an attempt or after its `AttemptStalled` has arrived.

    `ResponseStarted` is posted instead for the first data of a response.

    Attributes:
        local_id: The request.
        attempt: The attempt. The other ones have ended.
    """

    local_id: int
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt received the whole response or failed.

    Attributes:
        local_id: The request.
        failure: None if the whole response was passed on.
        status: HTTP status of the target's response, 0 without one.
        has_buffered_response: Whether the worker has buffered a whole response
            of the target, which `Relay` would pass on.
        last_event_id: Id of the last event passed on, empty if none.
        connection_reused: Whether the connection had served another request
            before.
        longest_gap: Longest time between two parts of the response.
        detail: What exactly was wrong, for the log.
        has_target_ended: Whether the target's process is known to have ended.
        attempt: The attempt. If it has no failure, the other ones have ended.
        framing: What ends the body of the response, for the log; empty without
            a response.
        ending: How the end of the response was seen, for the log; empty if the
            target did not end it.
    """

    local_id: int
    failure: Failure | None
    status: int = 0
    has_buffered_response: bool = False
    last_event_id: str = ""
    connection_reused: bool = False
    longest_gap: datetime.timedelta = datetime.timedelta()
    detail: str = ""
    has_target_ended: bool = False
    attempt: int = 0
    framing: str = ""
    ending: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection during the request.

    The request still ends with `RequestEnded`, usually after this event. This
    one can be the later of the two, since it comes from another thread, and is
    then ignored.
    """

    local_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """The worker has stopped serving the request, whatever its outcome.

    This is the last event that the worker posts for a request. Only a
    `CallerDisconnected` can follow it.
    """

    local_id: int


Event: TypeAlias = (
    RequestArrived
    | ResponseStarted
    | AttemptStalled
    | AttemptResumed
    | AttemptEnded
    | CallerDisconnected
    | RequestEnded
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a target; ends with one `AttemptEnded`.

    It is sent beside the attempts in progress if all of them are silent.
    Otherwise it is withdrawn.

    Attributes:
        local_id: The request.
        target: The target.
        address: IP-ADDRESS:PORT of the target.
        deadline: Time by which the whole response is due, on the core's clock.
        target_deadline: Time until which the target may work.
        first_byte_deadline: Time by which the first event of the response is
            due; `AttemptStalled` is posted after it.
        silence_timeout: Time without an event after which `AttemptStalled` is
            posted.
        needs_new_connection: Whether the connection must never have been used
            before.
        is_stream: Whether the response is passed on event by event.
        last_event_id: Event id after which the stream resumes, or empty.
        priority: Priority sent to the target, from 0 (the most urgent) to 9;
            None for a plain request.
        incarnation: Start time of the target, see `targets.Description`.
        attempt: The attempt.
        checks_start: Whether the target may have started again since its entry
            was read, so that it has to be asked on the same connection.
    """

    local_id: int
    target: ids.TargetId
    address: str
    deadline: datetime.timedelta
    target_deadline: datetime.timedelta
    first_byte_deadline: datetime.timedelta
    silence_timeout: datetime.timedelta
    needs_new_connection: bool
    is_stream: bool
    last_event_id: str = ""
    priority: int | None = None
    incarnation: int = 0
    attempt: int = 1
    checks_start: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Pass on the buffered response of a target."""

    local_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Respond to the caller with an error of this instance.

    Attributes:
        local_id: The request.
        status: HTTP status.
        reason: Stable code for callers and logs.
        retry_after: Time until a retry may succeed, None if a later retry
            makes no difference.
        may_have_run: Whether the request may have run.
    """

    local_id: int
    status: int
    reason: str
    retry_after: datetime.timedelta | None
    may_have_run: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Close the caller's connection; its response stays incomplete."""

    local_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel all attempts in progress with this failure.

    An attempt may end with another outcome before that.
    """

    local_id: int
    failure: Failure


@dataclasses.dataclass(frozen=True, slots=True)
class ExtendDeadline:
    """Give the attempts in progress more time than their `Send` did.

    Attributes:
        local_id: The request.
        deadline: Time by which the whole response is due.
    """

    local_id: int
    deadline: datetime.timedelta


Action: TypeAlias = (
    Send | Relay | Refuse | Abort | CancelAttempt | ExtendDeadline
)
