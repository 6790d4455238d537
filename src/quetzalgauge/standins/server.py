"""HTTP server of the stand-ins, with fault injection for tests.

`POST /standin/faults` replaces the set of injected faults, `GET
/standin/faults` returns it and `GET /standin/counts` returns the counters of
the stand-in.
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
    """The injected faults of one stand-in.

    Attributes:
        outage: Every call gets status 503.
        slow_s: Delay in seconds before a call is executed.
        late_s: Delay in seconds between the execution of a call and its
            response.
        lost_acknowledgements: Number of upcoming calls that are executed, but
            whose connections are closed without a response.
        silent: Number of upcoming calls that are not executed and never get a
            response.
        cut_after_bytes: Response bodies are truncated after this many bytes;
            None disables the fault.
        wrong_request_id: Number of upcoming responses that have a different
            X-Request-Id.
        path_prefix: Only calls whose path has this prefix are affected.
        method: Only calls with this HTTP method are affected; empty for all.
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
        """Returns the body, which must be a JSON object.

        Raises:
            ValueError: The body is not valid JSON or not an object.
        """
        value = json.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError("the request body is not a JSON object")
        return value


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response of a stand-in."""

    status: int
    body: Iterable[bytes]
    headers: dict[str, str]


class Body:
    """A streamed response body with a cleanup callback.

    The callback is separate because the `finally` clause of a generator does
    not run if the generator was never started.
    """

    def __init__(
        self, chunks: Iterator[bytes], on_close: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Returns an iterator over the chunks."""
        return self._chunks

    def close(self) -> None:
        """Runs the cleanup callback, after the last chunk or an error."""
        self._on_close()


Handler: TypeAlias = Callable[[Request], Response]
CountsProvider: TypeAlias = Callable[[], dict[str, Any]]


def make_json_response(
    status: int, value: Any, headers: dict[str, str] | None = None
) -> Response:
    """Returns a response with a JSON body."""
    body = json.dumps(value).encode()
    default_headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
    }
    return Response(status, [body], {**default_headers, **(headers or {})})


class Server:
    """The HTTP server of a stand-in, running in its own threads.

    Attributes:
        stopping: Set when the server stops, so that waiting calls return.
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
        """Address on which the server listens."""
        host, port = self._server.bind_addr
        return settings.Address(host=host, port=port)

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.address}"

    def start(self) -> None:
        """Binds the port and starts serving in a background thread."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="standin-http", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Wakes up waiting calls and stops the server."""
        self.stopping.set()
        self._server.stop()
        if self._thread is not None:
            self._thread.join()

    def set_faults(self, faults: Faults) -> None:
        """Replaces the set of injected faults."""
        self._fault_injector.set(faults)


class _Gateway(wsgi.Gateway_10):
    """Adds the socket to the environ, for detecting a disconnected caller."""

    # cheroot's type stub declares None as the return type.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ = super().get_environ()
        environ[_SOCKET_ENVIRON_KEY] = self.req.conn.socket
        return environ


class _FaultInjector:
    """Stores the injected faults and applies them to calls."""

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
            full_body = response.body
            chunks = _truncate_body(full_body, faults.cut_after_bytes)
            body = Body(chunks, lambda: _close_body(full_body))
            response = dataclasses.replace(response, body=body)
        return response

    def _consume_fault(self, name: str) -> bool:
        """Decrements the counter of a fault; returns whether it was above 0."""
        with self._lock:
            remaining = getattr(self._faults, name)
            if remaining > 0:
                setattr(self._faults, name, remaining - 1)
            return remaining > 0

    def _hang_until_disconnect(self, request: Request) -> None:
        deadline = time.monotonic() + _MAX_HANG_SECONDS
        while time.monotonic() < deadline and not request.is_disconnected():
            if self._stopping.wait(_POLL_INTERVAL_SECONDS):
                break
        reset_connection()


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


def reset_connection() -> None:
    """Closes the connection without a response.

    Raises:
        ConnectionResetError: Always; the server handles it.
    """
    raise ConnectionResetError(
        errno.ECONNRESET, "connection reset by an injected fault"
    )


def _discard_response(response: Response) -> None:
    _close_body(response.body)
    reset_connection()


def _close_body(body: Iterable[bytes]) -> None:
    if isinstance(body, Body):
        body.close()


def _truncate_body(body: Iterable[bytes], max_bytes: int) -> Iterator[bytes]:
    remaining = max_bytes
    for chunk in body:
        if len(chunk) > remaining:
            if remaining:
                yield chunk[:remaining]
            reset_connection()
        remaining -= len(chunk)
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
    """Parses a set of faults; an empty body stands for no faults.

    Raises:
        TypeError: A name is not a field of Faults, or the body is not an
            object.
        ValueError: The body is not valid JSON, or a value is a list, an object
            or a negative number.
    """
    values = json.loads(body or b"{}")
    faults = Faults(**values)
    for field in dataclasses.fields(faults):
        value = getattr(faults, field.name)
        if value is None or isinstance(value, (bool, str)):
            continue
        if not isinstance(value, (int, float)) or value < 0:
            raise ValueError(
                f"{field.name}: {value!r} is not a non-negative number"
            )
    return faults


def _parse_request(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    query = urllib.parse.parse_qsl(environ["QUERY_STRING"])
    connection = environ[_SOCKET_ENVIRON_KEY]
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(query),
        headers=headers,
        body=_read_body(environ),
        is_disconnected=lambda: _is_disconnected(connection),
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
