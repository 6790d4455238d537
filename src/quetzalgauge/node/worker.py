"""Carries one request of a caller from its first byte to its last.

A worker thread of the listener tells the core what happened and carries out
the core's actions for its request.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
import http.client
import itertools
import json
import queue
import socket

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge.core import requests
from quetzalgauge.node import callerwatch
from quetzalgauge.node import connections
from quetzalgauge.node import listener
from quetzalgauge.node import meters
from quetzalgauge.node import streams
from quetzalgauge.node import upstream
from quetzalgauge.platform import headers as wire_headers


class Call:
    """What the worker thread of a request shares with the owner task."""

    def __init__(self, token: int) -> None:
        self.token = token
        self.attempt = connections.Attempt()
        self._actions: queue.SimpleQueue[requests.Action] = queue.SimpleQueue()

    def put(self, action: requests.Action) -> None:
        """Gives an action to the worker; only the owner task calls this."""
        if isinstance(action, requests.Send):
            # Made here and not by the worker, so that a cancellation right
            # after this action reaches the new attempt.
            self.attempt = connections.Attempt()
        self._actions.put(action)

    def get(self) -> requests.Action:
        """Waits for the next action."""
        return self._actions.get()


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What requests need from the rest of the process.

    Attributes:
        now: The clock.
        tell: Puts an event into the queue of the owner task.
        calls: The requests in progress by their tokens.
        watch: Notices callers that leave.
        client: Sends requests to targets.
        meters: The metrics.
        is_draining: Whether connections are to be closed after an answer.
    """

    now: clock.Clock
    tell: Callable[[requests.Event], None]
    calls: dict[int, Call]
    watch: callerwatch.CallerWatch
    client: upstream.Upstream
    meters: meters.Meters
    is_draining: Callable[[], bool]


class _CallerGoneError(exceptions.QuetzalgaugeError):
    """The caller's connection is closed."""


class _Writer:
    """Writes the answer to the caller."""

    def __init__(self, request: listener.Request, parts: Parts) -> None:
        self._request = request
        self._parts = parts
        self._chunked = False
        self.is_started = False

    def write_whole(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Writes a whole answer."""
        rows = list(headers)
        method = self._request.method.decode("latin-1")
        if upstream.has_body(status, method):
            rows.append(("Content-Length", str(len(body))))
        else:
            body = b""
        self.is_started = True
        self._send(self._head(status, reason, rows) + body)

    def start_stream(
        self, status: int, reason: str, headers: Iterable[tuple[str, str]]
    ) -> None:
        """Writes the head of a stream."""
        rows = list(headers)
        if self._request.request_protocol == b"HTTP/1.1":
            self._chunked = True
            rows.append(("Transfer-Encoding", "chunked"))
        else:
            self._request.close_connection = True
        self.is_started = True
        self._start = self._head(status, reason, rows)

    def write_events(self, data: bytes) -> None:
        """Writes whole events."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        start, self._start = self._start, b""
        self._send(start + data)

    def end_stream(self) -> None:
        """Marks the end of a whole stream."""
        start, self._start = self._start, b""
        self._send(start + (b"0\r\n\r\n" if self._chunked else b""))

    def tear(self) -> None:
        """Closes the connection so that no answer looks whole."""
        self._request.close_connection = True

    def _head(
        self, status: int, reason: str, rows: Iterable[tuple[str, str]]
    ) -> bytes:
        if self._parts.is_draining():
            self._request.close_connection = True
        reason = reason or http.client.responses.get(status, "Unknown")
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in rows]
        if self._request.close_connection:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def _send(self, data: bytes) -> None:
        handle = self._request.conn.socket
        # Each change of the time is a system call.
        if handle.gettimeout() != listener.WRITE_SECONDS:
            handle.settimeout(listener.WRITE_SECONDS)
        try:
            handle.sendall(data)
        except OSError as error:
            self.tear()
            raise _CallerGoneError(str(error)) from error


class _Worker:
    def __init__(
        self,
        request: listener.Request,
        outgoing: upstream.Outgoing,
        call: Call,
        parts: Parts,
    ) -> None:
        self._outgoing = outgoing
        self._call = call
        self._parts = parts
        self._writer = _Writer(request, parts)
        self._events = streams.EventFilter(has_end_marker=False)
        self._answer: upstream.Answer | None = None
        self._reused = False
        self._longest_gap = 0.0
        self._arrived = parts.now()
        self._repeatable = False

    def run(self) -> None:
        """Carries out actions until the last one."""
        try:
            while not self._carry_out(self._call.get()):
                pass
        except _CallerGoneError:
            self._writer.tear()

    def _carry_out(self, action: requests.Action) -> bool:
        """Carries out an action; returns whether it was the last one."""
        match action:
            case requests.Send():
                return self._send(action)
            case requests.Relay():
                assert self._answer is not None
                self._write_answer(self._answer)
            case requests.Refuse():
                self._refuse(action)
            case requests.Abort():
                self._writer.tear()
                self._parts.meters.count_request("aborted")
        return True

    def _refuse(self, action: requests.Refuse) -> None:
        self._parts.meters.count_refusal(action.reason, action.status)
        body = {
            "error": {
                "code": action.reason,
                "run": "unknown" if action.may_have_run else "not_run",
                "request_id": self._outgoing.request_id,
            }
        }
        headers = [("Content-Type", "application/json")]
        headers += wire_headers.of_refusal(
            self._outgoing.request_id, action.retry_after
        )
        self._writer.write_whole(
            action.status, "", headers, json.dumps(body).encode()
        )

    def _send(self, action: requests.Send) -> bool:
        """Makes one attempt; returns whether the caller has its answer."""
        attempt = self._call.attempt
        connection = None
        self._reused = False
        try:
            connection, self._reused = self._parts.client.connect(
                action, attempt
            )
            return self._exchange(action, connection, attempt)
        except connections.AttemptError as error:
            attempt.detach()
            if connection is not None and not _is_kept(error):
                connection.close()
            self._fail(action, error.failure)
            return False

    def _fail(self, action: requests.Send, failure: requests.Failure) -> None:
        if failure in (
            requests.Failure.IDLE_TIMEOUT,
            requests.Failure.CONNECTION_LOST,
        ):
            self._parts.client.drop_idle(action)
        self._parts.meters.count_failure(failure.value)
        holds = failure is requests.Failure.SERVER_ERROR
        self._parts.tell(
            requests.AttemptEnded(
                self._call.token,
                failure,
                self._answer.status if holds and self._answer else 0,
                self._answer is not None,
                self._events.last_event,
                self._reused,
                datetime.timedelta(seconds=self._longest_gap),
            )
        )

    def _exchange(
        self,
        action: requests.Send,
        connection: connections.Connection,
        attempt: connections.Attempt,
    ) -> bool:
        client = self._parts.client
        response, head = client.start(
            connection, self._outgoing, action, attempt
        )
        if action.is_stream and head.status == 200:
            self._copy_stream(action, connection, response, attempt)
            return True
        if self._writer.is_started:
            # The target could not go on with the stream.
            raise connections.AttemptError(requests.Failure.MALFORMED_RESPONSE)
        answer = client.read_answer(response, action, attempt)
        client.give_back(connection, response, action, attempt)
        if answer.status >= 500 and not action.needs_new_connection:
            self._answer = answer
            raise connections.AttemptError(requests.Failure.SERVER_ERROR)
        self._parts.tell(
            requests.AttemptEnded(self._call.token, None, answer.status)
        )
        self._write_answer(answer)
        return True

    def _write_answer(self, answer: upstream.Answer) -> None:
        self._parts.meters.count_request(str(answer.status))
        self._parts.meters.observe_first_part(self._parts.now() - self._arrived)
        self._writer.write_whole(
            answer.status,
            answer.reason,
            wire_headers.returned(answer.headers),
            answer.body,
        )

    def _copy_stream(
        self,
        action: requests.Send,
        connection: connections.Connection,
        response: upstream.Response,
        attempt: connections.Attempt,
    ) -> None:
        client = self._parts.client
        events = self._events
        if action.last_event_id:
            events.resume_after(action.last_event_id)
        until = action.first_byte_deadline.total_seconds()
        gap = action.idle_timeout.total_seconds()
        last = None
        try:
            while data := client.read(response, until, action, attempt):
                now = self._parts.now().total_seconds()
                if last is not None:
                    self._longest_gap = max(self._longest_gap, now - last)
                last = now
                whole = events.feed(data)
                if whole:
                    self._write_events(response, whole)
                until = min(now + gap, action.deadline.total_seconds())
        except streams.StreamError as error:
            raise connections.AttemptError(
                requests.Failure.MALFORMED_RESPONSE
            ) from error
        if events.has_rest or not self._writer.is_started:
            raise connections.AttemptError(requests.Failure.CONNECTION_LOST)
        client.give_back(connection, response, action, attempt)
        self._parts.tell(
            requests.AttemptEnded(
                self._call.token,
                None,
                response.status,
                longest_gap=datetime.timedelta(seconds=self._longest_gap),
            )
        )
        self._parts.meters.count_request("200")
        self._writer.end_stream()

    def _write_events(self, response: upstream.Response, whole: bytes) -> None:
        is_first = not self._writer.is_started
        if is_first:
            self._writer.start_stream(
                response.status,
                response.reason or "",
                wire_headers.returned(response.headers.items()),
            )
        try:
            self._writer.write_events(whole)
        except _CallerGoneError as error:
            raise connections.AttemptError(
                requests.Failure.CALLER_DISCONNECTED
            ) from error
        if is_first:
            self._parts.tell(requests.ResponseStarted(self._call.token))
            self._parts.meters.observe_first_part(
                self._parts.now() - self._arrived
            )


def _is_kept(error: connections.AttemptError) -> bool:
    """Whether the connection was read to the end and may be kept."""
    return error.failure in (
        requests.Failure.FULL,
        requests.Failure.NOT_LOADED,
        requests.Failure.WRONG_TARGET,
        requests.Failure.SERVER_ERROR,
    )


def make_server_function(
    parts: Parts,
) -> Callable[[listener.Request], None]:
    """Returns the function that serves a request in a worker thread."""
    tokens = itertools.count(1)

    def serve(request: listener.Request) -> None:
        path = request.uri.partition(b"?")[0].decode("latin-1")
        try:
            body = request.read_body()
            head = wire_headers.decode_request(request.pairs, path)
        except listener.BodyError as error:
            request.close_connection = True
            parts.meters.count_refusal("bad_body", error.status)
            listener.write_plain(request, error.status, str(error))
            return
        except exceptions.DecodeError as error:
            request.close_connection = True
            parts.meters.count_refusal("bad_header", 400)
            listener.write_plain(request, 400, str(error))
            return
        outgoing = upstream.Outgoing(
            request.method.decode("latin-1"),
            request.uri.decode("latin-1"),
            tuple(wire_headers.forwarded(request.pairs)),
            body,
            head.request_id,
        )
        call = Call(next(tokens))
        parts.calls[call.token] = call
        handle: socket.socket = request.conn.socket
        parts.watch.add(handle, call.token)
        parts.tell(requests.RequestArrived(call.token, head))
        try:
            _Worker(request, outgoing, call, parts).run()
        finally:
            parts.watch.remove(handle)
            parts.tell(requests.RequestEnded(call.token))

    return serve
