"""Requests to targets over HTTP (urllib3).

The functions tell exactly how an attempt failed, since that decides whether
the request may be repeated and what a refusal says. Nothing here repeats a
request or follows a redirect: the connection class of urllib3 does neither.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import http.client
import json
import socket
import threading
import time
from typing import TypeAlias

import urllib3.connection
import urllib3.exceptions
import urllib3.response

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge import retries

Connection: TypeAlias = urllib3.connection.HTTPConnection
Response: TypeAlias = urllib3.response.BaseHTTPResponse

READ_BYTES = 65_536
MAX_ANSWER_BYTES = 32 * 1_048_576
# Longer than the pauses inside a burst, shorter than the usual time after
# which firewalls forget an idle connection.
MAX_IDLE_SECONDS = 5.0
MAX_IDLE_PER_ADDRESS = 32

# Keep-alive probes find a connection whose other end has vanished while it
# waits in the pool.
_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
]

# Codes with which an engine states that a request did not run.
_DECLINED = {
    (409, "model_not_loaded"): retries.Failure.MODEL_NOT_LOADED,
    (409, "adapter_not_loaded"): retries.Failure.ADAPTER_NOT_LOADED,
    (503, "draining"): retries.Failure.DRAINING,
    (429, "overloaded"): retries.Failure.OVERLOADED,
}


class AttemptError(exceptions.QuetzalgaugeError):
    """An attempt failed.

    Attributes:
        failure: How it failed.
    """

    def __init__(self, failure: retries.Failure) -> None:
        super().__init__(failure.value)
        self.failure = failure


class Attempt:
    """The socket of an attempt, so that another task can end it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._reason: retries.Failure | None = None

    @property
    def reason(self) -> retries.Failure | None:
        """Why the attempt was ended from outside, or None."""
        return self._reason

    def attach(self, connection: Connection) -> None:
        """Remembers the socket of a connection."""
        with self._lock:
            self._socket = connection.sock
        if self._reason is not None:
            raise AttemptError(self._reason)

    def detach(self) -> None:
        """Forgets the socket; `end` has no effect on it any more."""
        with self._lock:
            self._socket = None

    def end(self, reason: retries.Failure) -> None:
        """Ends the attempt; a blocked read returns at once."""
        with self._lock:
            self._reason = reason
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)


class ConnectionPool:
    """Idle connections by address. Only repeatable requests use them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[float, Connection]]] = {}

    def take(self, address: str) -> Connection | None:
        """Returns a connection that was used lately and looks open."""
        while True:
            with self._lock:
                entries = self._idle.get(address)
                if not entries:
                    return None
                since, connection = entries.pop()
            if (
                time.monotonic() - since < MAX_IDLE_SECONDS
                and connection.is_connected
            ):
                return connection
            connection.close()

    def give(self, address: str, connection: Connection) -> None:
        """Keeps a connection whose last answer was read to its end."""
        with self._lock:
            entries = self._idle.setdefault(address, [])
            if len(entries) < MAX_IDLE_PER_ADDRESS:
                entries.append((time.monotonic(), connection))
                return
        connection.close()

    def drop(self, address: str) -> None:
        """Closes all idle connections to an address."""
        with self._lock:
            entries = self._idle.pop(address, [])
        for _, connection in entries:
            connection.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Limits in seconds."""

    connect: float
    silence: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """What is sent to a target."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    deadline: float  # Seconds on the process clock.
    is_long: bool = False  # The target computes the whole answer first.


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a target."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class TargetClient:
    """Sends requests to targets."""

    def __init__(self, timeouts: Timeouts, now: clock.Clock) -> None:
        self._timeouts = timeouts
        self._now = now
        self._pool = ConnectionPool()

    def connect(self, address: str, deadline: float) -> Connection:
        """Makes a new connection.

        Raises:
            AttemptError: UNREACHABLE; no byte was sent.
        """
        host, _, port = address.rpartition(":")
        left = deadline - self._seconds()
        connection = urllib3.connection.HTTPConnection(
            host.strip("[]"),
            int(port),
            timeout=max(0.001, min(self._timeouts.connect, left)),
            socket_options=_SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise AttemptError(retries.Failure.UNREACHABLE) from error
        return connection

    def take_idle(self, address: str) -> Connection | None:
        """Returns an idle connection, or None."""
        return self._pool.take(address)

    def start(
        self, connection: Connection, outgoing: Outgoing, attempt: Attempt
    ) -> Response:
        """Sends a request and returns its answer up to the headers."""
        attempt.attach(connection)
        connection.timeout = self._time_left(outgoing)
        with self._failures(attempt, outgoing.deadline):
            connection.request(
                outgoing.method,
                outgoing.path,
                body=outgoing.body or None,
                headers=outgoing.headers,
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
        if not is_for(response, outgoing.request_id):
            raise AttemptError(retries.Failure.MISMATCH)
        return response

    def read(
        self, response: Response, deadline: float, attempt: Attempt
    ) -> bytes:
        """Returns the next bytes of a body; empty at its proper end."""
        if self._seconds() >= deadline:
            raise AttemptError(retries.Failure.DEADLINE)
        with self._failures(attempt, deadline):
            return response.read1(READ_BYTES)

    def read_answer(
        self, response: Response, outgoing: Outgoing, attempt: Attempt
    ) -> Answer:
        """Reads a whole answer."""
        if not _has_framing(response, outgoing.method):
            # The end of the connection is the only end of such an answer,
            # so a cut one looks whole.
            raise AttemptError(retries.Failure.MALFORMED)
        parts = []
        size = 0
        while data := self.read(response, outgoing.deadline, attempt):
            parts.append(data)
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise AttemptError(retries.Failure.MALFORMED)
        return Answer(
            response.status,
            response.reason or "",
            tuple(response.headers.items()),
            b"".join(parts),
        )

    def give_back(
        self, address: str, connection: Connection, attempt: Attempt
    ) -> None:
        """Keeps a connection after a whole answer, if it stays open."""
        attempt.detach()
        if connection.sock is None or attempt.reason is not None:
            connection.close()
            return
        self._pool.give(address, connection)

    def drop_idle(self, address: str) -> None:
        """Closes idle connections to a target that failed."""
        self._pool.drop(address)

    def _seconds(self) -> float:
        return self._now().total_seconds()

    def _time_left(self, outgoing: Outgoing) -> float:
        left = outgoing.deadline - self._seconds()
        silence = self._timeouts.silence
        if outgoing.is_long:
            # An engine sends nothing while it computes an answer that is not
            # streamed. Half of the time is left for another attempt.
            silence = max(silence, left / 2)
        return max(0.001, min(silence, left))

    @contextlib.contextmanager
    def _failures(self, attempt: Attempt, deadline: float) -> Iterator[None]:
        try:
            yield
        except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
            failure = retries.Failure.SILENT
            if self._seconds() >= deadline:
                failure = retries.Failure.DEADLINE
            raise AttemptError(attempt.reason or failure) from error
        except (
            OSError,
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
        ) as error:
            failure = attempt.reason or retries.Failure.CUT
            raise AttemptError(failure) from error
        except ValueError as error:
            # http.client lets a malformed status line or length through as
            # a ValueError.
            raise AttemptError(
                attempt.reason or retries.Failure.MALFORMED
            ) from error
        if attempt.reason is not None:
            raise AttemptError(attempt.reason)


def is_for(response: Response, request_id: str) -> bool:
    """Whether an answer belongs to a request.

    A target returns the id of each request, so an answer without one is not
    trusted either.
    """
    return response.headers.get("X-Request-Id") == request_id


def classify_completion(answer: Answer) -> retries.Failure | None:
    """Returns how an engine's answer failed; None if it is for the caller."""
    if answer.status in (409, 429, 503):
        try:
            body = json.loads(answer.body)
            declined = _DECLINED.get((answer.status, str(body["code"])))
        except (ValueError, TypeError, KeyError, RecursionError):
            declined = None
        if declined is not None:
            return declined
    if answer.status >= 500 or answer.status < 200:
        return retries.Failure.ERROR
    return None


def _has_framing(response: Response, method: str) -> bool:
    if method == "HEAD" or response.status in (204, 304):
        return True
    headers = response.headers
    encoding = headers.get("Transfer-Encoding", "").lower()
    return encoding == "chunked" or "Content-Length" in headers
