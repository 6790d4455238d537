"""Requests to targets over HTTP (urllib3).

The functions tell exactly how an attempt failed, since that decides whether
the request may be repeated and what a refusal says. Nothing here repeats a
request or follows a redirect: the connection class of urllib3 does neither.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import socket
from typing import TypeAlias

import urllib3._collections
import urllib3.connection
import urllib3.exceptions
import urllib3.response
from urllib3.util import request as urllib3_request

from quetzalgauge import clock
from quetzalgauge.core import requests
from quetzalgauge.node import connections
from quetzalgauge.platform import headers as wire_headers

Response: TypeAlias = urllib3.response.BaseHTTPResponse

# A target in the region answers a new connection within milliseconds.
CONNECT_SECONDS = 0.25
# Difference of two times of a read that makes no difference to callers.
TIMEOUT_SLACK_SECONDS = 0.02
READ_BYTES = 65_536
MAX_ANSWER_BYTES = 32 * 1_048_576

_BODILESS = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request of a caller as its target gets it.

    Attributes:
        method: HTTP method.
        uri: Path and query as the caller sent them.
        headers: Headers of the caller that go on.
        body: The body.
        request_id: The caller's id of the request.
    """

    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a target."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Upstream:
    """Sends requests to targets. Threads share it."""

    def __init__(self, now: clock.Clock) -> None:
        self._now = now
        self._pool = connections.ConnectionPool()

    def connect(
        self, send: requests.Send, attempt: connections.Attempt
    ) -> tuple[connections.Connection, bool]:
        """Returns a connection, and whether it was used before.

        Raises:
            connections.AttemptError: UNREACHABLE; no byte was sent.
        """
        if not send.needs_new_connection:
            idle = self._pool.take(_pool_key(send))
            if idle is not None:
                return idle, True
        host, _, port = send.address.rpartition(":")
        left = self._left(send.deadline.total_seconds())
        connection = urllib3.connection.HTTPConnection(
            host,
            int(port),
            timeout=max(0.001, min(CONNECT_SECONDS, left)),
            socket_options=connections.SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise connections.AttemptError(
                attempt.reason or requests.Failure.UNREACHABLE
            ) from error
        return connection, False

    def start(
        self,
        connection: connections.Connection,
        outgoing: Outgoing,
        send: requests.Send,
        attempt: connections.Attempt,
    ) -> tuple[Response, wire_headers.AnswerHead]:
        """Sends a request and returns its answer up to the headers.

        Raises:
            connections.AttemptError: There is none, or it says that the
                request did not run.
        """
        attempt.attach(connection)
        connection.timeout = self._wait(
            send.first_byte_deadline.total_seconds()
        )
        headers = urllib3._collections.HTTPHeaderDict()
        for name, value in outgoing.headers:
            headers.add(name, value)
        left = send.deadline - self._now()
        for name, value in wire_headers.added(
            send.target, left, send.last_event_id, send.priority
        ):
            headers.add(name, value)
        if "User-Agent" not in headers:
            headers["User-Agent"] = urllib3_request.SKIP_HEADER
        if "Accept-Encoding" not in headers:
            headers["Accept-Encoding"] = urllib3_request.SKIP_HEADER
        with self._failures(attempt, send):
            connection.request(
                outgoing.method,
                outgoing.uri,
                body=outgoing.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
        head = wire_headers.decode_answer(response.status, response.headers)
        if head.request_id != outgoing.request_id:
            raise connections.AttemptError(requests.Failure.WRONG_REQUEST_ID)
        if head.not_run:
            self._finish_declined(connection, response, send, attempt)
            raise connections.AttemptError(_declined(head, send))
        return response, head

    def read(
        self,
        response: Response,
        until: float,
        send: requests.Send,
        attempt: connections.Attempt,
    ) -> bytes:
        """Returns the next bytes of a body; empty at its proper end.

        Args:
            response: The answer.
            until: Seconds on the process clock; silence until then is a
                failure.
            send: The attempt's action.
            attempt: The attempt.

        Raises:
            connections.AttemptError: The answer is cut or late.
        """
        handle = attempt.handle
        with self._failures(attempt, send):
            if handle is not None:
                _set_timeout(handle, self._wait(until))
            return response.read1(READ_BYTES)

    def read_answer(
        self,
        response: Response,
        send: requests.Send,
        attempt: connections.Attempt,
    ) -> Answer:
        """Reads a whole answer."""
        if response.headers.get("Content-Encoding"):
            # Nobody asked for it, so it is not the target's body.
            raise connections.AttemptError(requests.Failure.MALFORMED_RESPONSE)
        parts = []
        size = 0
        until = send.deadline.total_seconds()
        while data := self.read(response, until, send, attempt):
            parts.append(data)
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise connections.AttemptError(
                    requests.Failure.MALFORMED_RESPONSE
                )
        return Answer(
            response.status,
            response.reason or "",
            tuple(response.headers.items()),
            b"".join(parts),
        )

    def give_back(
        self,
        connection: connections.Connection,
        response: Response,
        send: requests.Send,
        attempt: connections.Attempt,
    ) -> None:
        """Keeps a connection after a whole answer, if it stays open."""
        attempt.detach()
        closes = response.headers.get("Connection", "").lower() == "close"
        if connection.sock is None or attempt.reason is not None or closes:
            connection.close()
            return
        self._pool.give(_pool_key(send), connection)

    def drop_idle(self, send: requests.Send) -> None:
        """Closes idle connections to a target that failed."""
        self._pool.drop(_pool_key(send))

    def _finish_declined(
        self,
        connection: connections.Connection,
        response: Response,
        send: requests.Send,
        attempt: connections.Attempt,
    ) -> None:
        """Keeps the connection if the refusal was read whole."""
        until = self._now().total_seconds() + CONNECT_SECONDS
        try:
            while self.read(response, until, send, attempt):
                pass
        except connections.AttemptError:
            attempt.detach()
            connection.close()
            return
        self.give_back(connection, response, send, attempt)

    def _left(self, deadline: float) -> float:
        return deadline - self._now().total_seconds()

    def _wait(self, until: float) -> float:
        return max(0.001, self._left(until))

    @contextlib.contextmanager
    def _failures(
        self, attempt: connections.Attempt, send: requests.Send
    ) -> Iterator[None]:
        try:
            yield
        except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
            failure = requests.Failure.IDLE_TIMEOUT
            if self._now() >= send.deadline:
                failure = requests.Failure.DEADLINE_EXCEEDED
            raise connections.AttemptError(attempt.reason or failure) from error
        except (
            OSError,
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
        ) as error:
            failure = attempt.reason or requests.Failure.CONNECTION_LOST
            raise connections.AttemptError(failure) from error
        except ValueError as error:
            # http.client lets a malformed status line or length through as
            # a ValueError.
            raise connections.AttemptError(
                attempt.reason or requests.Failure.MALFORMED_RESPONSE
            ) from error
        if attempt.reason is not None:
            raise connections.AttemptError(attempt.reason)


def _set_timeout(handle: socket.socket, seconds: float) -> None:
    """Sets the time of a read, unless it is about right already.

    Each change is a system call, and a stream has one read for each event.
    """
    current = handle.gettimeout()
    if current is None or abs(current - seconds) > TIMEOUT_SLACK_SECONDS:
        handle.settimeout(seconds)


def has_body(status: int, method: str) -> bool:
    """Whether an answer with this status has a body."""
    return method != "HEAD" and status not in _BODILESS and status >= 200


def _declined(
    head: wire_headers.AnswerHead, send: requests.Send
) -> requests.Failure:
    if head.status != 421:
        return requests.Failure.FULL
    if head.target is not None and head.target != send.target:
        return requests.Failure.WRONG_TARGET
    return requests.Failure.NOT_LOADED


def _pool_key(send: requests.Send) -> str:
    # An address may pass to another target.
    return f"{send.target}@{send.address}"
