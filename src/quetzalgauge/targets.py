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
from typing import TypeAlias

import urllib3.connection
import urllib3.exceptions
import urllib3.response

from quetzalgauge import clock
from quetzalgauge import connections
from quetzalgauge import retries

Response: TypeAlias = urllib3.response.BaseHTTPResponse

READ_BYTES = 65_536
MAX_ANSWER_BYTES = 32 * 1_048_576
# Codes with which an engine states that a request did not run.
_DECLINED = {
    (409, "model_not_loaded"): retries.Failure.MODEL_NOT_LOADED,
    (409, "adapter_not_loaded"): retries.Failure.ADAPTER_NOT_LOADED,
    (503, "draining"): retries.Failure.DRAINING,
    (429, "overloaded"): retries.Failure.OVERLOADED,
}


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
        self._pool = connections.ConnectionPool()

    def connect(self, address: str, deadline: float) -> connections.Connection:
        """Makes a new connection.

        Raises:
            connections.AttemptError: UNREACHABLE; no byte was sent.
        """
        host, _, port = address.rpartition(":")
        left = deadline - self._seconds()
        connection = urllib3.connection.HTTPConnection(
            host.strip("[]"),
            int(port),
            timeout=max(0.001, min(self._timeouts.connect, left)),
            socket_options=connections.SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise connections.AttemptError(
                retries.Failure.UNREACHABLE
            ) from error
        return connection

    def take_idle(self, address: str) -> connections.Connection | None:
        """Returns an idle connection, or None."""
        return self._pool.take(address)

    def start(
        self,
        connection: connections.Connection,
        outgoing: Outgoing,
        attempt: connections.Attempt,
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
            raise connections.AttemptError(retries.Failure.MISMATCH)
        return response

    def read(
        self, response: Response, deadline: float, attempt: connections.Attempt
    ) -> bytes:
        """Returns the next bytes of a body; empty at its proper end."""
        if self._seconds() >= deadline:
            raise connections.AttemptError(retries.Failure.DEADLINE)
        with self._failures(attempt, deadline):
            return response.read1(READ_BYTES)

    def read_answer(
        self,
        response: Response,
        outgoing: Outgoing,
        attempt: connections.Attempt,
    ) -> Answer:
        """Reads a whole answer."""
        if not _has_framing(response, outgoing.method):
            # The end of the connection is the only end of such an answer,
            # so a cut one looks whole.
            raise connections.AttemptError(retries.Failure.MALFORMED)
        parts = []
        size = 0
        while data := self.read(response, outgoing.deadline, attempt):
            parts.append(data)
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise connections.AttemptError(retries.Failure.MALFORMED)
        return Answer(
            response.status,
            response.reason or "",
            tuple(response.headers.items()),
            b"".join(parts),
        )

    def give_back(
        self,
        address: str,
        connection: connections.Connection,
        attempt: connections.Attempt,
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
    def _failures(
        self, attempt: connections.Attempt, deadline: float
    ) -> Iterator[None]:
        try:
            yield
        except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
            failure = retries.Failure.SILENT
            if self._seconds() >= deadline:
                failure = retries.Failure.DEADLINE
            raise connections.AttemptError(attempt.reason or failure) from error
        except (
            OSError,
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
        ) as error:
            failure = attempt.reason or retries.Failure.CUT
            raise connections.AttemptError(failure) from error
        except ValueError as error:
            # http.client lets a malformed status line or length through as
            # a ValueError.
            raise connections.AttemptError(
                attempt.reason or retries.Failure.MALFORMED
            ) from error
        if attempt.reason is not None:
            raise connections.AttemptError(attempt.reason)


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
