"""The caller interface: HTTP requests and answers (cheroot).

A worker thread of cheroot carries a call from its first byte to its last. It
tells the core what happened and carries out the core's actions for its call.
"""

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import errno
import http.client
import itertools
import json
import logging
import queue
import socket
from typing import Any
import uuid

import cheroot.server

from quetzalgauge import callerwatch
from quetzalgauge import calls
from quetzalgauge import clock
from quetzalgauge import connections
from quetzalgauge import controllink
from quetzalgauge import ids
from quetzalgauge import logs
from quetzalgauge import metrics
from quetzalgauge import operators
from quetzalgauge import parsing
from quetzalgauge import refusals
from quetzalgauge import retries
from quetzalgauge import settings
from quetzalgauge import streams
from quetzalgauge import targets

MAX_HEADER_BYTES = 65_536
BACKLOG = 1024
# Longest pause of a caller while it sends a request or takes an answer.
CALLER_TIMEOUT_SECONDS = 10
KEEP_ALIVE_CONNECTIONS = 2000

_MODELS_PATH = "/v1/models"

_log = logs.make_logger("callers")


# ---- Calls in progress -----------------------------------------------------


class Call:
    """What the worker thread of a call shares with the owner task."""

    def __init__(self, token: int) -> None:
        self.token = token
        self.attempt = connections.Attempt()
        self._actions: queue.SimpleQueue[calls.Action] = queue.SimpleQueue()

    def put(self, action: calls.Action) -> None:
        """Gives an action to the worker; only the owner task calls this."""
        if isinstance(action, calls.Send):
            # Made here and not by the worker, so that a cancellation right
            # after this action reaches the new attempt.
            self.attempt = connections.Attempt()
        self._actions.put(action)

    def get(self) -> calls.Action:
        """Waits for the next action."""
        return self._actions.get()


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What calls need from the rest of the process."""

    config: settings.EntrySettings
    now: clock.Clock
    tell: Callable[[calls.Event], None]
    calls: dict[int, Call]
    watch: callerwatch.CallerWatch
    client: targets.TargetClient
    link: controllink.ControlLink
    meters: metrics.Metrics
    accepts: Callable[[], bool]


# ---- Answering -------------------------------------------------------------


def _write_answer(
    req: Any,
    status: int,
    reason: str,
    headers: Sequence[tuple[str, str]],
    body: bytes,
    request_id: str,
) -> None:
    reason = reason or http.client.responses.get(status, "Unknown")
    line = f"{status} {reason}".encode("latin-1", "replace")
    req.status = line.replace(b"\r", b" ").replace(b"\n", b" ")
    req.outheaders = [(b"X-Request-Id", request_id.encode("latin-1"))]
    given_length = None
    for name, value in headers:
        lower = name.lower()
        if lower == "content-length":
            given_length = value
        if lower in parsing.HOP_BY_HOP or lower in ("x-request-id", "date"):
            continue
        if parsing.is_valid_header(name, value):
            req.outheaders.append((name.encode(), value.encode("latin-1")))
    has_body = req.method != b"HEAD" and status not in (204, 304)
    if has_body:
        length = str(len(body))
        req.outheaders.append((b"Content-Length", length.encode()))
    elif given_length is not None and given_length.isdecimal():
        req.outheaders.append((b"Content-Length", given_length.encode()))
    req.ensure_headers_sent()
    if has_body:
        req.write(body)


def write_refusal(req: Any, refusal: refusals.Refusal) -> None:
    """Writes a refusal as the whole answer."""
    headers = [
        ("Content-Type", "application/json"),
        ("Retry-After", str(refusal.retry_after_seconds)),
    ]
    _write_answer(
        req,
        refusal.status,
        "",
        headers,
        refusals.encode(refusal),
        refusal.request_id,
    )


def write_json(req: Any, value: Any, request_id: str) -> None:
    """Writes a JSON answer."""
    headers = [("Content-Type", "application/json")]
    _write_answer(req, 200, "", headers, json.dumps(value).encode(), request_id)


class _StreamWriter:
    """Writes the events of one stream to the caller."""

    def __init__(self, req: Any, request_id: str) -> None:
        self._req = req
        self._request_id = request_id
        self._started = False

    @property
    def is_started(self) -> bool:
        """Whether the caller has received a byte."""
        return self._started

    def write(self, data: bytes) -> None:
        """Writes events; OSError means that the caller has gone."""
        if not self._started:
            self._started = True
            self._start()
        if self._req.chunked_write:
            # The writer of cheroot is a pure Python buffer, which costs more
            # than the call to the kernel.
            self._req.conn.socket.sendall(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._req.write(data)

    def _start(self) -> None:
        self._req.status = b"200 OK"
        self._req.outheaders = [
            (b"Content-Type", b"text/event-stream"),
            (b"Cache-Control", b"no-cache"),
            (b"X-Request-Id", self._request_id.encode("latin-1")),
        ]
        self._req.ensure_headers_sent()


class _Worker:
    """Carries one call."""

    def __init__(
        self, req: Any, parsed: parsing.Parsed, call: Call, parts: Parts
    ):
        self._req = req
        self._parsed = parsed
        self._call = call
        self._parts = parts
        self._deadline = parsed.request.deadline.total_seconds()
        self._writer = _StreamWriter(req, parsed.request.request_id)
        self._events = streams.EventFilter()
        self._opened: connections.Connection | None = None
        self._opened_address = ""
        self._sends = 0
        self._reused = False
        self._arrived = parts.now()

    def run(self) -> None:
        """Carries out actions until the last one."""
        try:
            while not self._carry_out(self._call.get()):
                pass
        finally:
            if self._opened is not None:
                self._opened.close()

    def _carry_out(self, action: calls.Action) -> bool:
        """Carries out an action; returns whether it was the last one."""
        token = self._call.token
        match action:
            case calls.Send():
                return self._send(action)
            case calls.Open():
                self._open(action)
            case calls.ClaimKey():
                decision, outcome = self._parts.link.claim_key(
                    action.key, action.timeout
                )
                self._tell(calls.KeyDecided(token, decision, outcome))
            case calls.EnsureAdapter():
                resident = self._parts.link.ensure_adapter(
                    action.target, action.adapter, action.timeout
                )
                self._tell(calls.AdapterDecided(token, resident))
            case calls.Refuse():
                self._refuse(action.refusal)
                return True
            case calls.Replay():
                self._replay(action.outcome)
                return True
            case calls.Abandon():
                raise ConnectionResetError(errno.ECONNRESET, "caller gone")
        return False

    def _tell(self, event: calls.Event) -> None:
        self._parts.tell(event)

    def _refuse(self, refusal: refusals.Refusal) -> None:
        self._count_refusal(refusal)
        if self._writer.is_started:
            self._writer.write(refusals.encode_event(refusal))
        else:
            write_refusal(self._req, refusal)

    def _count_refusal(self, refusal: refusals.Refusal) -> None:
        self._parts.meters.count_refusal(refusal.code.value, refusal.run.value)

    def _count_first_byte(self, action: calls.Send, status: int) -> None:
        meters = self._parts.meters
        meters.count_request(status)
        if action.cold:
            meters.observe_cold_start(self._parts.now() - self._arrived)

    def _replay(self, outcome: calls.StoredOutcome) -> None:
        _write_answer(
            self._req,
            outcome.status,
            "",
            outcome.headers,
            outcome.body,
            self._parsed.request.request_id,
        )

    def _open(self, action: calls.Open) -> None:
        if self._opened is not None:
            self._opened.close()
            self._opened = None
        self._opened_address = action.address
        try:
            self._opened = self._parts.client.connect(
                action.address, self._deadline
            )
        except connections.AttemptError as error:
            self._tell(calls.AttemptEnded(self._call.token, error.failure))
        else:
            self._tell(calls.Opened(self._call.token))

    def _send(self, action: calls.Send) -> bool:
        """Makes one attempt; returns whether the caller has its answer."""
        self._sends += 1
        if self._sends > 1:
            self._parts.meters.count_retry()
        attempt = self._call.attempt
        self._reused = False
        connection = None
        try:
            connection = self._take_connection(action)
            return self._exchange(action, connection, attempt)
        except connections.AttemptError as error:
            attempt.detach()
            if connection is not None:
                connection.close()
            self._fail(action, error.failure)
            return False

    def _fail(self, action: calls.Send, failure: retries.Failure) -> None:
        if failure in (retries.Failure.SILENT, retries.Failure.CUT):
            self._parts.client.drop_idle(action.address)
        self._tell(
            calls.AttemptEnded(
                self._call.token,
                failure,
                self._writer.is_started,
                self._events.last_event,
                self._reused,
            )
        )

    def _take_connection(self, action: calls.Send) -> connections.Connection:
        opened, self._opened = self._opened, None
        if opened is not None:
            if self._opened_address == action.address and opened.is_connected:
                return opened
            opened.close()
        client = self._parts.client
        if not action.fresh:
            idle = client.take_idle(action.address)
            if idle is not None:
                self._reused = True
                return idle
        return client.connect(action.address, self._deadline)

    def _exchange(
        self,
        action: calls.Send,
        connection: connections.Connection,
        attempt: connections.Attempt,
    ) -> bool:
        outgoing = self._make_outgoing(action)
        client = self._parts.client
        response = client.start(connection, outgoing, attempt)
        media = response.headers.get("Content-Type", "")
        is_events = media.split(";")[0].strip() == "text/event-stream"
        if self._parsed.request.stream and (
            response.status == 200 and is_events
        ):
            return self._copy_stream(action, connection, response, attempt)
        answer = client.read_answer(response, outgoing, attempt)
        client.give_back(action.address, connection, attempt)
        if self._writer.is_started:
            # The target could not resume the stream.
            raise connections.AttemptError(retries.Failure.MALFORMED)
        if self._parsed.document is not None:
            failure = targets.classify_completion(answer)
            if failure is not None:
                raise connections.AttemptError(failure)
        self._tell(calls.AttemptEnded(self._call.token, None))
        self._count_first_byte(action, answer.status)
        self._store(answer)
        _write_answer(
            self._req,
            answer.status,
            answer.reason,
            answer.headers,
            answer.body,
            self._parsed.request.request_id,
        )
        return True

    def _make_outgoing(self, action: calls.Send) -> targets.Outgoing:
        headers = self._parsed.headers
        body = self._parsed.body
        document = self._parsed.document
        if document is not None:
            document = dict(document)
            document["model"] = action.model
            document.pop("adapter", None)
            if action.adapter is not None:
                document["adapter"] = action.adapter
            body = json.dumps(document).encode()
        if action.resume_after:
            headers = {**headers, "Last-Event-ID": action.resume_after}
        return targets.Outgoing(
            self._parsed.method,
            self._parsed.path,
            headers,
            body,
            self._parsed.request.request_id,
            self._deadline,
            document is not None and not self._parsed.request.stream,
        )

    def _store(self, answer: targets.Answer) -> None:
        key = self._parsed.request.key
        if key is None:
            return
        headers = tuple(
            (name, value)
            for name, value in answer.headers
            if name.lower() not in parsing.HOP_BY_HOP
        )
        outcome = calls.StoredOutcome(
            answer.status, headers, answer.body, self._parsed.request.digest
        )
        if not self._parts.link.store_outcome(key, outcome):
            _log.warning("an outcome was not stored")

    def _copy_stream(
        self,
        action: calls.Send,
        connection: connections.Connection,
        response: targets.Response,
        attempt: connections.Attempt,
    ) -> bool:
        client = self._parts.client
        events = self._events
        if action.resume_after:
            events.resume()
        try:
            while not events.is_done:
                data = client.read(response, self._deadline, attempt)
                if not data:
                    raise connections.AttemptError(retries.Failure.CUT)
                data = events.feed(data)
                if data:
                    if not self._writer.is_started:
                        self._count_first_byte(action, 200)
                    self._write_events(data)
        except streams.StreamError as error:
            raise connections.AttemptError(retries.Failure.MALFORMED) from error
        self._finish_stream(action, connection, response, attempt)
        self._tell(calls.AttemptEnded(self._call.token, None))
        return True

    def _write_events(self, data: bytes) -> None:
        try:
            self._writer.write(data)
        except OSError as error:
            raise connections.AttemptError(retries.Failure.ABANDONED) from error

    def _finish_stream(
        self,
        action: calls.Send,
        connection: connections.Connection,
        response: targets.Response,
        attempt: connections.Attempt,
    ) -> None:
        """Keeps the connection if the answer ends right after the marker."""
        client = self._parts.client
        try:
            connection.timeout = 1.0
            rest = client.read(response, self._deadline, attempt)
        except connections.AttemptError:
            rest = b"unread"
        if rest:
            attempt.detach()
            connection.close()
        else:
            client.give_back(action.address, connection, attempt)


# ---- Server ----------------------------------------------------------------


class _HttpRequest(cheroot.server.HTTPRequest):
    """Answers requests that are not valid HTTP in the documented form."""

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Writes a refusal and closes the connection."""
        number = int(str(status)[:3])
        refusal = refusals.Refusal(
            refusals.Code.BAD_REQUEST,
            msg or "the request is not valid HTTP",
            ids.RequestId(""),
        )
        if number in (413, 414):
            refusal = dataclasses.replace(
                refusal, code=refusals.Code.BODY_TOO_LARGE
            )
        elif number >= 500:
            refusal = refusals.Refusal(
                refusals.Code.TARGET_FAILED,
                "internal error, see the log",
                ids.RequestId(""),
                refusals.Run.UNKNOWN,
            )
        body = refusals.encode(refusal)
        head = (
            f"HTTP/1.1 {refusal.status} "
            f"{http.client.responses[refusal.status]}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Retry-After: 1\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode() + body)

    def respond(self) -> None:
        """Answers the request."""
        length = self.inheaders.get(b"Content-Length", b"0")
        if not length.isdigit() or len(length) > 18:
            self.simple_response(400, "Content-Length is not a number")
            return
        super().respond()


class _HttpConnection(cheroot.server.HTTPConnection):
    RequestHandlerClass = _HttpRequest


class Server(cheroot.server.HTTPServer):
    """The listener for callers."""

    ConnectionClass = _HttpConnection
    max_request_header_size = MAX_HEADER_BYTES
    request_queue_size = BACKLOG
    timeout = CALLER_TIMEOUT_SECONDS
    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS

    def prepare(self) -> None:
        """Binds the listener."""
        super().prepare()
        # Cheroot waits for a first request in a worker thread, so connections
        # that a balancer opens in advance would hold all of them.
        self.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_DEFER_ACCEPT,
            CALLER_TIMEOUT_SECONDS,
        )

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Writes a log line of cheroot."""
        if msg:
            _log.log(level, "%s", msg, exc_info=traceback)


def _respond(req: Any, parts: Parts, tokens: Any) -> None:
    arrived = parts.now()
    if not parts.accepts():
        # A caller that keeps its connection would never find another
        # instance.
        req.close_connection = True
    request_id = ids.RequestId(uuid.uuid4().hex)
    try:
        request_id = parsing.parse_request_id(req)
        path = req.uri.partition(b"?")[0].decode("latin-1")
        if path == _MODELS_PATH and req.method in (b"GET", b"HEAD"):
            _list_models(req, parts, request_id)
            return
        parsed = parsing.parse(req, request_id, parts.config, arrived)
    except parsing.BadRequestError as error:
        parsing.discard_body(req)
        req.close_connection = True
        refusal = refusals.Refusal(error.code, str(error), request_id)
        write_refusal(req, refusal)
        parts.meters.count_refusal(error.code.value, refusal.run.value)
        return
    call = Call(next(tokens))
    worker = _Worker(req, parsed, call, parts)
    parts.calls[call.token] = call
    parts.tell(calls.Arrived(call.token, parsed.request))
    handle = req.conn.socket
    parts.watch.add(handle, call.token)
    try:
        worker.run()
    finally:
        parts.watch.remove(handle)
        parts.tell(calls.CallEnded(call.token))


def _list_models(req: Any, parts: Parts, request_id: ids.RequestId) -> None:
    names: queue.SimpleQueue[list[str]] = queue.SimpleQueue()
    parts.tell(calls.ModelsWanted(names.put))
    data = [
        {"id": name, "object": "model", "owned_by": "quetzalgauge"}
        for name in names.get()
    ]
    write_json(req, {"object": "list", "data": data}, request_id)


def make_server(parts: Parts) -> Server:
    """Returns the listener for callers; it does not listen yet."""
    tokens = itertools.count(1)

    class _Gateway(cheroot.server.Gateway):
        def respond(self) -> None:
            _respond(self.req, parts, tokens)

    config = parts.config
    server = Server(
        (config.listen.host, config.listen.port),
        _Gateway,
        minthreads=config.threads,
        maxthreads=config.threads,
        # Several entry processes of an instance share the caller port.
        reuse_port=config.listen.port != 0,
    )
    if config.listen_tls is not None:
        server.ssl_adapter = operators.make_tls_adapter(config.listen_tls)
    return server


logging.getLogger("urllib3").setLevel(logging.ERROR)
