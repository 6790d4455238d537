"""HTTP server of the stand-ins, with faults that a test can switch on.

`POST /standin/faults` replaces the set of faults, `GET /standin/faults`
returns it and `GET /standin/counts` returns what the stand-in has counted.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import errno
import http
import json
import select
import socket
import threading
import time
from typing import Any
from typing import TypeAlias
import urllib.parse

from cheroot import wsgi

from quetzalgauge.node import settings

_POLL_INTERVAL_SECONDS = 0.05
_MAX_HANG_SECONDS = 600
_SOCKET_TIMEOUT_SECONDS = 30
_LISTEN_BACKLOG = 512
_SOCKET_ENVIRON_KEY = "quetzalgauge.socket"


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults of one stand-in.

    Attributes:
        outage: Every call gets 503.
        slow_s: Seconds before a call is carried out.
        late_s: Seconds between the effect of a call and its answer.
        lost_acknowledgements: The next calls have their effect, but their
            connections are closed without an answer.
        silent: The next calls have no effect and never get an answer.
        cut_after_bytes: Answers end after this many bytes of the body.
        wrong_request_id: The next answers bear another X-Request-Id.
        path_prefix: Only calls below this path are affected.
        method: Only calls of this method are affected; empty: all.
    """

    outage: bool = False
    slow_s: float = 0
    late_s: float = 0
    lost_acknowledgements: int = 0
    silent: int = 0
    cut_after_bytes: int | None = None
    wrong_request_id: int = 0
    path_prefix: str = "/"
    method: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A call to a stand-in. Header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    is_disconnected: Callable[[], bool] = lambda: False

    def json(self) -> dict[str, Any]:
        """Returns the body as an object; raises ValueError for another body."""
        value = json.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError("the body is no JSON object")
        return value


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer of a stand-in."""

    status: int
    body: Iterable[bytes]
    headers: dict[str, str]


class Body:
    """Chunks of a body and what to do when the body is no longer needed.

    A generator that was never started would skip its own `finally`.
    """

    def __init__(
        self, chunks: Iterator[bytes], on_close: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Returns the chunks."""
        return self._chunks

    def close(self) -> None:
        """Called by the server after the last chunk or a failure."""
        self._on_close()


Handler: TypeAlias = Callable[[Request], Response]
CountsProvider: TypeAlias = Callable[[], dict[str, Any]]


def make_json_response(
    status: int, value: Any, headers: dict[str, str] | None = None
) -> Response:
    """Returns an answer with a JSON body."""
    body = json.dumps(value).encode()
    fields = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
    }
    return Response(status, [body], {**fields, **(headers or {})})


class Server:
    """A stand-in's HTTP server in its own threads.

    Attributes:
        stopping: Set when the server stops, so that waiting calls end.
    """

    def __init__(
        self,
        listen: settings.Address,
        threads: int,
        handler: Handler,
        get_counts: CountsProvider,
    ) -> None:
        self.stopping = threading.Event()
        self._fault_injector = _FaultInjector(self.stopping)
        app = _make_app(handler, get_counts, self._fault_injector)
        self._server = wsgi.Server(
            (listen.host, listen.port),
            app,
            numthreads=threads,
            request_queue_size=_LISTEN_BACKLOG,
            timeout=_SOCKET_TIMEOUT_SECONDS,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> settings.Address:
        """The address that the server listens on."""
        host, port = self._server.bind_addr
        return settings.Address(host=host, port=port)

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{self.address}"

    def start(self) -> None:
        """Binds the port and starts to serve."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="standin-http", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Ends waiting calls and stops."""
        self.stopping.set()
        self._server.stop()
        if self._thread is not None:
            self._thread.join()

    def set_faults(self, faults: Faults) -> None:
        """Replaces the set of faults."""
        self._fault_injector.set(faults)


class _Gateway(wsgi.Gateway_10):
    """Passes the socket on, so that a handler sees a caller disconnect."""

    # The library's type stub has None as the return type.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ = super().get_environ()
        environ[_SOCKET_ENVIRON_KEY] = self.req.conn.socket
        return environ


class _FaultInjector:
    """Holds the faults and applies them to calls."""

    def __init__(self, stopping: threading.Event) -> None:
        self._stopping = stopping
        self._lock = threading.Lock()
        self._faults = Faults()
        self._version = 0

    def get(self) -> Faults:
        with self._lock:
            return dataclasses.replace(self._faults)

    def set(self, faults: Faults) -> None:
        with self._lock:
            self._faults = faults
            self._version += 1

    def apply(self, handler: Handler, request: Request) -> Response:
        faults = self.get()
        if not _is_affected(faults, request):
            return _add_request_id(handler(request), request)
        if self._consume_fault("silent"):
            self._hang_until_disconnect(request)
        if faults.outage:
            response = make_json_response(503, {"code": "outage"})
            return _add_request_id(response, request)
        self._stopping.wait(faults.slow_s)
        response = _add_request_id(handler(request), request)
        if self._consume_fault("lost_acknowledgements"):
            _discard_response(response)
        self._stopping.wait(faults.late_s)
        if self._consume_fault("wrong_request_id"):
            headers = {**response.headers, "X-Request-Id": "other-request"}
            response = dataclasses.replace(response, headers=headers)
        if faults.cut_after_bytes is not None:
            whole = response.body
            chunks = _truncate_body(whole, faults.cut_after_bytes)
            body = Body(chunks, lambda: _close_body(whole))
            response = dataclasses.replace(response, body=body)
        return response

    def _consume_fault(self, name: str) -> bool:
        """Uses up one of a limited number of faulty calls."""
        with self._lock:
            left = getattr(self._faults, name)
            if left > 0:
                setattr(self._faults, name, left - 1)
            return left > 0

    def _hang_until_disconnect(self, request: Request) -> None:
        end = time.monotonic() + _MAX_HANG_SECONDS
        while time.monotonic() < end and not request.is_disconnected():
            if self._stopping.wait(_POLL_INTERVAL_SECONDS):
                break
        _reset_connection()


def _add_request_id(response: Response, request: Request) -> Response:
    request_id = request.headers.get("x-request-id")
    if request_id is None:
        return response
    headers = {"X-Request-Id": request_id, **response.headers}
    return dataclasses.replace(response, headers=headers)


def _is_affected(faults: Faults, request: Request) -> bool:
    if faults.method and faults.method != request.method:
        return False
    return request.path.startswith(faults.path_prefix)


def _reset_connection() -> None:
    # The server closes the connection without an answer for this error.
    raise ConnectionResetError(errno.ECONNRESET, "closed by a fault")


def _discard_response(response: Response) -> None:
    _close_body(response.body)
    _reset_connection()


def _close_body(body: Iterable[bytes]) -> None:
    if isinstance(body, Body):
        body.close()


def _truncate_body(body: Iterable[bytes], max_bytes: int) -> Iterator[bytes]:
    left = max_bytes
    for chunk in body:
        if len(chunk) > left:
            if left:
                yield chunk[:left]
            _reset_connection()
        left -= len(chunk)
        yield chunk


def _make_app(
    handler: Handler, get_counts: CountsProvider, fault_injector: _FaultInjector
) -> Callable[..., Iterable[bytes]]:
    def app(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request = _parse_request(environ)
        if request.path == "/standin/faults":
            response = _handle_faults(request, fault_injector)
        elif request.path == "/standin/counts":
            response = make_json_response(200, get_counts())
        elif request.path.startswith("/standin/"):
            response = handler(request)
        else:
            response = fault_injector.apply(handler, request)
        status = http.HTTPStatus(response.status)
        start_response(
            f"{status.value} {status.phrase}", list(response.headers.items())
        )
        return response.body

    return app


def _handle_faults(
    request: Request, fault_injector: _FaultInjector
) -> Response:
    if request.method == "POST":
        try:
            fault_injector.set(_parse_faults(request.body))
        except (ValueError, TypeError) as error:
            return make_json_response(400, {"findings": str(error)})
    return make_json_response(200, dataclasses.asdict(fault_injector.get()))


def _parse_faults(body: bytes) -> Faults:
    """Returns a set of faults; unknown names and wrong types are errors."""
    given = json.loads(body or b"{}")
    faults = Faults(**given)
    for field in dataclasses.fields(faults):
        value = getattr(faults, field.name)
        if value is None or isinstance(value, (bool, str)):
            continue
        if not isinstance(value, (int, float)) or value < 0:
            raise ValueError(f"{field.name}: {value!r} is no count or time")
    return faults


def _parse_request(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    query = urllib.parse.parse_qsl(environ["QUERY_STRING"])
    caller = environ[_SOCKET_ENVIRON_KEY]
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(query),
        headers=headers,
        body=_read_body(environ),
        is_disconnected=lambda: _is_disconnected(caller),
    )


def _read_body(environ: dict[str, Any]) -> bytes:
    stream = environ["wsgi.input"]
    if environ.get("wsgi.input_terminated"):
        return stream.read()
    return stream.read(int(environ.get("CONTENT_LENGTH") or 0))


def _is_disconnected(connection: socket.socket) -> bool:
    try:
        readable, _, _ = select.select([connection], [], [], 0)
        if not readable:
            return False
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
