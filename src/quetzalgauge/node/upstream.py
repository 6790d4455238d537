"""HTTP client for requests to targets.

Errors say exactly how an attempt failed, since that decides whether the
request may be retried and what a refusal tells the caller. Nothing here
retries a request or follows a redirect. `urllib3` opens the connections;
`response_parser` decides what a response is.

Functions that send or read are generators, so that one thread can serve several
targets. They yield before each call of a socket and make it once they are
resumed.
"""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import datetime
import select
import socket
from typing import NamedTuple
from typing import TypeAlias
from typing import TypeVar

import urllib3.exceptions

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge.core import requests
from quetzalgauge.core import targets
from quetzalgauge.node import connections
from quetzalgauge.node import http_client
from quetzalgauge.node import read_timer
from quetzalgauge.node import response_parser
from quetzalgauge.node import send_buffers
from quetzalgauge.node import target_check
from quetzalgauge.platform import engine
from quetzalgauge.platform import headers as wire_headers

# A target in the same region accepts a connection within milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.25
# The same while other attempts for the request wait for their worker.
SHORT_CONNECT_TIMEOUT_SECONDS = 0.05
# A socket timeout that is off by no more than this is left as it is; callers
# do not notice the difference.
TIMEOUT_TOLERANCE_SECONDS = 0.02
# Time in which a target tells its start at the end of a stream.
START_TIMEOUT = datetime.timedelta(milliseconds=150)
READ_SIZE_BYTES = 65_536
MAX_RESPONSE_BYTES = 32 * 1_048_576
# A rejection says why in a few words; its body is not passed on.
MAX_REJECTION_BYTES = 65_536
# The end of what was received of a body is held back until more arrives, since
# the head of another response may begin in it.
HELD_BACK_BYTES = 4096
_MAX_DETAIL_CHARACTERS = 200

# Failures of a call that has nothing to do with a request.
_LOST_CONNECTION_FAILURES = frozenset(
    {
        requests.Failure.CONNECTION_LOST,
        requests.Failure.IDLE_TIMEOUT,
        requests.Failure.MALFORMED_RESPONSE,
    }
)
_BODILESS_STATUSES = frozenset({204, 304})

_Result = TypeVar("_Result")


class Wait(NamedTuple):
    """What a generator waits for.

    Attributes:
        deadline: Until when, in seconds on the process clock.
        is_sending: Whether the socket has to take data or to have some, not
            only to have some.
    """

    deadline: float
    is_sending: bool = False


Exchange: TypeAlias = Generator[Wait, None, _Result]


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A caller's request as it is forwarded to a target.

    Attributes:
        method: HTTP method.
        uri: Path and query as the caller sent them.
        headers: The caller's headers that are forwarded.
        body: The body, in parts.
        request_id: The request id that the caller set.
    """

    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]
    body: Sequence[send_buffers.Buffer]
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response of a target.

    Attributes:
        status: HTTP status.
        reason: Reason phrase, may be empty.
        headers: Names and values.
        body: The parts of the body.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: list[bytes]


class _Transfer:
    """Sends a request and receives its response at the same time.

    A target may respond before it has read the whole request.

    Args:
        sock: The socket.
        parser: Parses what is received.
        request: The bytes of the request, in several buffers.

    Attributes:
        parser: Parses what is received.
        is_reset: Whether the connection ended with an error.
    """

    def __init__(
        self,
        sock: socket.socket,
        parser: response_parser.ResponseParser,
        request: Iterable[send_buffers.Buffer],
    ) -> None:
        self._sock = sock
        self._unsent = send_buffers.SendBuffers(request)
        self.parser = parser
        self.is_reset = False

    @property
    def is_sent(self) -> bool:
        """Whether the whole request was sent."""
        return not self._unsent

    def begin(self, timer: read_timer.ReadTimer) -> Exchange[None]:
        """Sends what the socket takes at once, which may be all."""
        yield Wait(timer.read_deadline, is_sending=True)
        self._send(timer)

    def receive(self, timer: read_timer.ReadTimer) -> Exchange[None]:
        """Reads once and parses what was received; sends until then."""
        data = None
        can_send = True
        while data is None:
            is_sending = can_send and not self.is_sent
            yield Wait(timer.read_deadline, is_sending)
            if is_sending and not self._wait_for_data(timer):
                try:
                    self._send(timer)
                except OSError:
                    # What was received before the error can still be read.
                    can_send = False
                continue
            _set_timeout(self._sock, timer.get_remaining())
            try:
                data = self._sock.recv(READ_SIZE_BYTES)
            except TimeoutError:
                timer.check_timeout()
            except ConnectionError:
                self.is_reset = True
                raise
        self.parser.feed(data)

    def _wait_for_data(self, timer: read_timer.ReadTimer) -> bool:
        """Waits until the socket takes data or has some.

        Returns:
            Whether it has some.
        """
        poller = select.poll()
        poller.register(self._sock, select.POLLIN | select.POLLOUT)
        ready = poller.poll(timer.get_remaining() * 1000)
        return any(events != select.POLLOUT for _, events in ready)

    def _send(self, timer: read_timer.ReadTimer) -> None:
        _set_timeout(self._sock, timer.get_remaining())
        try:
            self._unsent.send(self._sock)
        except TimeoutError:
            timer.check_timeout()


class Response:
    """A response whose head was received.

    Args:
        transfer: Receives the body.
        head: The head.
    """

    def __init__(self, transfer: _Transfer, head: response_parser.Head) -> None:
        self._transfer = transfer
        self._parser = transfer.parser
        self.head = head

    @property
    def can_reuse_connection(self) -> bool:
        """Whether the connection can serve another request."""
        return self._transfer.is_sent and self._parser.can_reuse_connection

    @property
    def rest(self) -> bytes:
        """What was received after the end of the response."""
        return self._parser.rest

    @property
    def ended_with_connection(self) -> bool:
        """Whether it ended only as the connection was closed."""
        return self._parser.ended_with_connection

    @property
    def ending(self) -> str:
        """How the end was seen, for the log; empty if there is none yet."""
        return "reset" if self._transfer.is_reset else self._parser.ending

    def read_chunk(self, timer: read_timer.ReadTimer) -> Exchange[bytes]:
        """Returns the next bytes of the body; empty at its proper end.

        Args:
            timer: Times the reads.

        Raises:
            OSError: The read timed out or the connection was lost.
            response_parser.MalformedResponseError: The body violates the
                protocol.
            response_parser.TruncatedResponseError: The body has not ended.
        """
        while not (data := self._parser.take_body()):
            if self._parser.has_ended:
                return b""
            yield from self._transfer.receive(timer)
        return data


class BodyReader:
    """Reads a body in parts, each of which belongs to it alone.

    Args:
        response: The response.
        read_chunk: Reads the next bytes of the body; empty at its proper end.
        max_bytes: Longest body.
    """

    def __init__(
        self,
        response: Response,
        read_chunk: Callable[[], Exchange[bytes]],
        max_bytes: int,
    ) -> None:
        self._response = response
        self._read_chunk = read_chunk
        self._max_bytes = max_bytes
        self._size = 0
        self._held_back = b""
        self._has_ended = False

    def read_part(self) -> Exchange[bytes]:
        """Returns the next part of the body; empty at its proper end.

        Raises:
            connections.AttemptError: As for `UpstreamClient.read_chunk`, or the
                body is too long, or another response begins in the next part.
        """
        if self._has_ended:
            return b""
        is_framed = self._response.head.is_framed
        while data := (yield from self._read_chunk()):
            self._size += len(data)
            if self._size > self._max_bytes:
                raise connections.AttemptError(
                    requests.Failure.MALFORMED_RESPONSE, "body is too long"
                )
            self._held_back += data
            if len(self._held_back) < 2 * HELD_BACK_BYTES:
                continue
            part = self._held_back[:-HELD_BACK_BYTES]
            self._held_back = self._held_back[-HELD_BACK_BYTES:]
            _check_body(part, self._held_back, is_framed)
            return part
        self._has_ended = True
        _check_body(self._held_back, self._response.rest, is_framed)
        return self._held_back


class UpstreamClient:
    """Sends requests to targets. It is safe for use by several threads.

    Args:
        now: The clock.
        on_leaving: Called when a target states that it will terminate.
        max_idle: Maximum number of idle connections to targets.
    """

    def __init__(
        self,
        now: clock.Clock,
        on_leaving: Callable[[targets.LeavingAnnounced], None],
        max_idle: int,
    ) -> None:
        self._now = now
        self._on_leaving = on_leaving
        self._pool = connections.ConnectionPool(max_idle)

    def acquire_connection(
        self,
        action: requests.Send,
        request_id: str,
        attempt: connections.Attempt,
        timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> tuple[connections.Connection, bool]:
        """Returns a connection and whether it has been used before.

        Args:
            action: The action that started the attempt.
            request_id: Id of the request.
            attempt: The attempt.
            timeout_seconds: Longest time for a new connection.

        Raises:
            connections.AttemptError: The target is unreachable or the attempt
                was canceled; no byte was sent.
        """
        if not action.needs_new_connection:
            idle = self._pool.acquire(_make_pool_key(action), request_id)
            if idle is not None:
                return idle, True
        host, _, port = action.address.rpartition(":")
        remaining = (attempt.deadline - self._now()).total_seconds()
        connection = connections.Connection(
            host,
            int(port),
            timeout=max(0.001, min(timeout_seconds, remaining)),
            socket_options=connections.SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise connections.AttemptError(
                attempt.cancel_reason or requests.Failure.UNREACHABLE
            ) from error
        return connection, False

    def send_request(
        self,
        connection: connections.Connection,
        request: OutgoingRequest,
        action: requests.Send,
        attempt: connections.Attempt,
        timer: read_timer.ReadTimer,
    ) -> Exchange[tuple[Response, wire_headers.ResponseHead]]:
        """Sends a request and returns the response without its body.

        Args:
            connection: A connection to the target.
            request: The request.
            action: The action that started the attempt.
            attempt: The attempt.
            timer: Times the reads of the head.

        Raises:
            connections.AttemptError: There is no valid response, or the
                target states that it did not run the request.
        """
        attempt.attach(connection)
        connection.carried_ids.add(request.request_id)
        remaining = action.target_deadline - self._now()
        headers = [
            *request.headers,
            *wire_headers.make_system_headers(
                action.target, remaining, action.last_event_id, action.priority
            ),
        ]
        if not any(name.lower() == "host" for name, _ in headers):
            headers.append(("Host", action.address))
        with self._translate_errors(attempt):
            response = yield from _exchange_heads(
                connection, request, headers, timer
            )
        head = wire_headers.decode_response(
            response.head.status, response.head.headers
        )
        if head.request_id != request.request_id:
            raise connections.AttemptError(requests.Failure.WRONG_REQUEST_ID)
        if head.is_malformed:
            raise connections.AttemptError(
                requests.Failure.MALFORMED_RESPONSE,
                f"contradictory head with status {head.status}",
            )
        # Another target may have taken over the address.
        if head.is_leaving and head.target in (None, action.target):
            self._on_leaving(
                targets.LeavingAnnounced(action.target, action.incarnation)
            )
        if head.is_rejection:
            yield from self._read_rejection(
                connection, response, timer, action, attempt
            )
            raise connections.AttemptError(_classify_rejection(head, action))
        if response.head.get("Content-Encoding"):
            # No encoding was requested, so this is not the target's body.
            raise connections.AttemptError(
                requests.Failure.MALFORMED_RESPONSE, "encoded body"
            )
        return response, head

    def check_start(
        self,
        connection: connections.Connection,
        action: requests.Send,
        attempt: connections.Attempt,
        timer: read_timer.ReadTimer,
    ) -> Exchange[bool]:
        """Asks a target for its start, before a request is sent to it.

        The process at the other end of a connection stays the same. If the
        connection ends with the report, or before it though it has been used,
        the request is sent on a new one.

        Args:
            connection: A connection to the target, which is opened again if it
                ends.
            action: The action that started the attempt.
            attempt: The attempt.
            timer: Times the reads.

        Returns:
            Whether it is the start that the request is meant for; False if the
            target does not tell.

        Raises:
            connections.AttemptError: It is another start, or the target does
                not tell though the request goes on with a stream and the start
                is doubtful, or the connection is lost. Nothing of the request
                was sent.
        """
        if connection.incarnation is None:
            try:
                yield from self._ask_for_start(
                    connection, action, attempt, timer
                )
            except connections.AttemptError as error:
                if (
                    error.failure is not requests.Failure.UNREACHABLE
                    or not connection.carried_ids
                ):
                    raise
                self._reopen(connection, attempt)
                yield from self._ask_for_start(
                    connection, action, attempt, timer
                )
        is_known = connection.incarnation is not None
        if connection.incarnation == action.incarnation or not (
            is_known or (action.checks_start and action.last_event_id)
        ):
            return is_known
        attempt.detach()
        connection.close()
        raise connections.AttemptError(
            requests.Failure.WRONG_TARGET,
            f"the target started at {connection.incarnation}",
        )

    def _reopen(
        self, connection: connections.Connection, attempt: connections.Attempt
    ) -> None:
        """Opens a connection that has ended once more.

        Raises:
            connections.AttemptError: The target is unreachable.
        """
        attempt.detach()
        connection.close()
        connection.carried_ids.clear()
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise connections.AttemptError(
                attempt.cancel_reason or requests.Failure.UNREACHABLE
            ) from error

    def _ask_for_start(
        self,
        connection: connections.Connection,
        action: requests.Send,
        attempt: connections.Attempt,
        timer: read_timer.ReadTimer,
    ) -> Exchange[None]:
        """Sets the start of a target on a connection if the target tells it.

        Raises:
            connections.AttemptError: The connection cannot be used any more.
        """
        request = OutgoingRequest("GET", engine.STATUS_PATH, (), (), "")
        headers = [
            ("Host", action.address),
            *engine.make_headers(action.target).items(),
        ]
        attempt.attach(connection)
        try:
            with self._translate_errors(attempt):
                response = yield from _exchange_heads(
                    connection, request, headers, timer
                )
            body = self.open_body(
                response, timer, attempt, http_client.MAX_RESPONSE_BYTES
            )
            parts = []
            while part := (yield from body.read_part()):
                parts.append(part)
        except connections.AttemptError as error:
            if error.failure in _LOST_CONNECTION_FAILURES:
                raise connections.AttemptError(
                    requests.Failure.UNREACHABLE,
                    f"report: {error.detail or error}",
                ) from error
            raise
        if response.head.status == 200:
            with contextlib.suppress(exceptions.DecodeError):
                connection.incarnation = engine.decode_incarnation(
                    b"".join(parts)
                )
        if not response.can_reuse_connection:
            self._reopen(connection, attempt)

    def read_chunk(
        self,
        response: Response,
        timer: read_timer.ReadTimer,
        attempt: connections.Attempt,
    ) -> Exchange[bytes]:
        """Returns the next bytes of a body; empty at its proper end.

        Args:
            response: The response.
            timer: Times the reads.
            attempt: The attempt.

        Raises:
            connections.AttemptError: The read timed out, the connection was
                lost, the response is malformed or the attempt was canceled.
        """
        with self._translate_errors(attempt):
            return (yield from response.read_chunk(timer))

    def open_body(
        self,
        response: Response,
        timer: read_timer.ReadTimer,
        attempt: connections.Attempt,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> BodyReader:
        """Returns a reader of a body of at most `max_bytes`.

        The other arguments are those of `read_chunk`.
        """
        return BodyReader(
            response,
            lambda: self.read_chunk(response, timer, attempt),
            max_bytes,
        )

    def release_connection(
        self,
        connection: connections.Connection,
        response: Response,
        action: requests.Send,
        attempt: connections.Attempt,
    ) -> None:
        """Returns a connection to the pool after a complete response.

        A connection that does not stay open is closed instead.
        """
        attempt.detach()
        if (
            attempt.cancel_reason is not None
            or not response.can_reuse_connection
        ):
            connection.close()
            return
        self._pool.release(_make_pool_key(action), connection)

    def is_running(self, action: requests.Send, request_id: str) -> bool:
        """Returns whether a target is shown to be still running.

        An idle connection that stays open shows it; otherwise a new one is
        made.

        Args:
            action: The action that started an attempt at the target.
            request_id: Id of the request.
        """
        key = _make_pool_key(action)
        idle = self._pool.acquire(key, request_id)
        if idle is not None:
            assert idle.sock is not None
            if target_check.stays_open(idle.sock):
                self._pool.release(key, idle)
                return True
            idle.close()
        return target_check.is_running(action.address) and (
            not action.is_stream or _is_same_start(action)
        )

    def close_idle_connections(self, action: requests.Send) -> None:
        """Closes the idle connections to a target after a failure."""
        self._pool.close_idle(_make_pool_key(action))

    def _read_rejection(
        self,
        connection: connections.Connection,
        response: Response,
        timer: read_timer.ReadTimer,
        action: requests.Send,
        attempt: connections.Attempt,
    ) -> Exchange[None]:
        """Reads a rejection to its end and releases the connection.

        A rejection that does not end as it should is not believed: the target
        may have run the request. One that ends with the connection is, also of
        a target that has ended: none of its body is passed on.

        Raises:
            connections.AttemptError: As for `BodyReader.read_part`.
        """
        body = self.open_body(response, timer, attempt, MAX_REJECTION_BYTES)
        while (yield from body.read_part()):
            pass
        if response.rest and _contains_acceptance(response.rest):
            raise connections.AttemptError(
                requests.Failure.MALFORMED_RESPONSE,
                "another response follows a rejection",
            )
        self.release_connection(connection, response, action, attempt)

    @contextlib.contextmanager
    def _translate_errors(self, attempt: connections.Attempt) -> Iterator[None]:
        try:
            yield
        except TimeoutError as error:
            failure = requests.Failure.IDLE_TIMEOUT
            if self._now() >= attempt.deadline:
                failure = requests.Failure.DEADLINE_EXCEEDED
            raise connections.AttemptError(
                attempt.cancel_reason or failure
            ) from error
        except (OSError, response_parser.TruncatedResponseError) as error:
            failure = attempt.cancel_reason or requests.Failure.CONNECTION_LOST
            raise connections.AttemptError(failure, _describe(error)) from error
        except (
            response_parser.MalformedResponseError,
            ValueError,  # The request cannot be sent in HTTP/1.1.
        ) as error:
            raise connections.AttemptError(
                attempt.cancel_reason or requests.Failure.MALFORMED_RESPONSE,
                _describe(error),
            ) from error
        if attempt.cancel_reason is not None:
            raise connections.AttemptError(attempt.cancel_reason)


def _is_same_start(action: requests.Send) -> bool:
    """Whether the process at an address is the one that a request was sent to.

    That is also assumed of a target that responds, but does not tell its start.
    """
    connection = http_client.Connection(f"http://{action.address}")
    try:
        response = connection.call(
            "GET",
            engine.STATUS_PATH,
            START_TIMEOUT,
            None,
            engine.make_headers(action.target),
        )
        if response.status != 200:
            return response.status != 421
        incarnation = engine.decode_incarnation(response.data)
    except exceptions.PlatformError:
        return False
    except exceptions.DecodeError:
        return True
    finally:
        connection.close()
    return incarnation in (None, action.incarnation)


def _check_body(part: bytes, rest: bytes, is_framed: bool) -> None:
    """Raises AttemptError if another response begins in a part of a body."""
    if wire_headers.contains_response(part, rest, is_framed):
        raise connections.AttemptError(
            requests.Failure.MALFORMED_RESPONSE,
            "another response began in the body",
        )


def _describe(error: Exception) -> str:
    """Returns an error in a form that fits into a line of the log."""
    return f"{type(error).__name__}: {error}"[:_MAX_DETAIL_CHARACTERS]


def _exchange_heads(
    connection: connections.Connection,
    request: OutgoingRequest,
    headers: list[tuple[str, str]],
    timer: read_timer.ReadTimer,
) -> Exchange[Response]:
    """Sends a request and reads the head of its response."""
    sock = connection.sock
    assert sock is not None
    parser = response_parser.ResponseParser()
    transfer = _Transfer(
        sock,
        parser,
        parser.make_request(request.method, request.uri, headers, request.body),
    )
    yield from transfer.begin(timer)
    while parser.head is None:
        yield from transfer.receive(timer)
        if parser.head is None:
            # A head that trickles is no progress.
            timer.check()
    return Response(transfer, parser.head)


def _set_timeout(sock: socket.socket, seconds: float) -> None:
    """Sets the timeout of a socket unless it is close enough already.

    Each change costs a system call, and a stream has one read for each event.
    """
    current = sock.gettimeout()
    if current is None or abs(current - seconds) > TIMEOUT_TOLERANCE_SECONDS:
        sock.settimeout(seconds)


def has_body(status: int, method: str) -> bool:
    """Returns whether a response to this method with this status has a body."""
    return (
        method != "HEAD" and status not in _BODILESS_STATUSES and status >= 200
    )


def _contains_acceptance(rest: bytes) -> bool:
    """Returns whether what follows a rejection begins with another response.

    A copy of the rejection is none.
    """
    parser = response_parser.ResponseParser()
    with contextlib.suppress(response_parser.MalformedResponseError):
        parser.feed(rest)
    head = parser.head
    return (
        head is not None
        and not wire_headers.decode_response(
            head.status, head.headers
        ).is_rejection
    )


def _classify_rejection(
    head: wire_headers.ResponseHead, action: requests.Send
) -> requests.Failure:
    # 421 (misdirected request) means that the target is the wrong one or lacks
    # the model or adapter.
    if head.status != 421:
        return requests.Failure.FULL
    if head.target is not None and head.target != action.target:
        return requests.Failure.WRONG_TARGET
    return requests.Failure.NOT_LOADED


def _make_pool_key(action: requests.Send) -> str:
    # The address alone is not enough: another target may take it over.
    return f"{action.target}@{action.address}"
