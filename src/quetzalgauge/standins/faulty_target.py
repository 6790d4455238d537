"""A target that violates the protocol as a script tells it to.

It writes raw bytes, so it can also send what no HTTP server would: a response
twice, parts of responses, or bytes that are no response.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import enum
import json
import select
import socket
import struct
import sys
import threading
import time
from typing import Any
from typing import TypeAlias

from quetzalgauge import logs

_RECEIVE_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536

_log = logs.get_logger("faulty_target")


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as the target has received it.

    Attributes:
        request_id: Value of the Request-Id header.
        headers: Header values by lower-case name.
        target: Id of the target.
        connection: Number of the connection, counted from 1.
        position: Number of the request on its connection, counted from 1.
        body: What the target has read of the body.
    """

    request_id: str
    headers: dict[str, str]
    target: str
    connection: int
    position: int
    body: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Reads a part of the body.

    Attributes:
        size: Number of bytes, at most all that is left.
    """

    size: int = sys.maxsize


class Ending(enum.Enum):
    """An abnormal end of a connection."""

    RESET = "reset"


# Bytes are sent, a number is a pause in seconds. The connection is closed at
# the end of a script whose last item is None.
Item: TypeAlias = bytes | float | Read | Ending | None
Script: TypeAlias = Callable[[Request], Iterable[Item]]
# Receives at most as many bytes as asked for.
_Receive: TypeAlias = Callable[..., bytes]


class Silences:
    """Times in which a target neither reads nor writes.

    Attributes:
        times: Begin and end of each, in seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self.times: list[tuple[float, float]] = []

    def begin(self, seconds: float) -> None:
        """Begins a silence."""
        now = time.monotonic()
        self.times.append((now, now + seconds))

    def wait(self) -> None:
        """Returns when there is none."""
        while (
            self.times
            and (remaining := self.times[-1][1] - time.monotonic()) > 0
        ):
            time.sleep(remaining)


class FaultyTarget:
    """A target of a plain service that responds as its script says.

    Args:
        name: Id of the target.
        service: Service that the target belongs to.
        zone: Availability zone of the target.
        version: Version of its software.

    Attributes:
        version: Version of its software.
        script: Called with each request; tests replace it.
        reads_later: Whether scripts are called before the body is read.
        has_scripted_reports: Whether scripts are called for status reports.
        requests: All requests received, in order of arrival.
        closed_at: When the peer closed the connection of a request during a
            pause of the script, by request id, in seconds on the monotonic
            clock.
        silences: When it is silent on all its connections.
    """

    def __init__(
        self, name: str, service: str, zone: str, version: str = "v1"
    ) -> None:
        self.name = name
        self.version = version
        self.script: Script = make_response
        self.reads_later = False
        self.has_scripted_reports = False
        self.requests: list[Request] = []
        self.closed_at: dict[str, float] = {}
        self.silences = Silences()
        self._service = service
        self._zone = zone
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._started_at_ms = int(time.time() * 1000)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def registry_entry(self) -> bytes:
        """The target's entry in the registry."""
        host, port = self._listener.getsockname()
        return json.dumps(
            {
                "service": self._service,
                "address": f"{host}:{port}",
                "zone": self._zone,
                "version": self.version,
                "slots": 16,
                "state": "ready",
                "seq": 1,
                "cold_left_ms": 0,
                "born": self._started_at_ms,
            }
        ).encode()

    def restart(self, version: str) -> None:
        """Starts again under the same id and address, at another version.

        Open connections are reset.
        """
        self.version = version
        self._started_at_ms += 1
        self._started_at_ms = max(self._started_at_ms, int(time.time() * 1000))

    def close(self) -> None:
        """Stops listening; open connections end with their scripts."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        connection = 0
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                connection += 1
                threading.Thread(
                    target=self._serve, args=(sock, connection), daemon=True
                ).start()

    def _serve(self, sock: socket.socket, connection: int) -> None:
        buffer = bytearray()
        position = 0
        started_at_ms = self._started_at_ms

        def receive(size: int = _RECEIVE_BYTES) -> bytes:
            data = sock.recv(min(size, _RECEIVE_BYTES))
            self.silences.wait()
            return data

        with sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while headers := _receive_head(receive, buffer):
                if self._started_at_ms != started_at_ms:
                    _reset(sock)
                    return
                if not self.has_scripted_reports and headers[""].startswith(
                    "GET /report "
                ):
                    sock.sendall(_make_report(started_at_ms))
                    continue
                position += 1
                request = Request(
                    headers.get("request-id", ""),
                    headers,
                    self.name,
                    connection,
                    position,
                )
                if not self.reads_later:
                    _read_body(receive, buffer, request, Read())
                self.requests.append(request)
                _write_log(request, "received")
                if not self._respond(sock, receive, buffer, request):
                    return
                _read_body(receive, buffer, request, Read())

    def _respond(
        self,
        sock: socket.socket,
        receive: _Receive,
        buffer: bytearray,
        request: Request,
    ) -> bool:
        """Runs the script; returns whether the connection stays open."""
        ending = "responded"
        started_at_ms = self._started_at_ms
        try:
            for item in self.script(request):
                self.silences.wait()
                if self._started_at_ms != started_at_ms:
                    item = Ending.RESET
                if item is None:
                    ending = "closed"
                    return False
                if item is Ending.RESET:
                    _reset(sock)
                    ending = "reset"
                    return False
                if isinstance(item, bytes):
                    sock.sendall(item)
                    _write_log(request, "wrote", length=len(item))
                elif isinstance(item, Read):
                    _read_body(receive, buffer, request, item)
                else:
                    self._pause(sock, request, item)
        except OSError as error:
            ending = str(error)
            raise
        finally:
            _write_log(request, "script_ended", ending=ending)
        return True

    def _pause(
        self, sock: socket.socket, request: Request, seconds: float
    ) -> None:
        resume_at = time.monotonic() + seconds
        poller = select.poll()
        poller.register(sock, select.POLLRDHUP)
        if poller.poll(seconds * 1000):
            self.closed_at.setdefault(request.request_id, time.monotonic())
            _write_log(request, "peer_closed")
        time.sleep(max(0.0, resume_at - time.monotonic()))


def _write_log(request: Request, event: str, **fields: Any) -> None:
    _log.debug(
        event,
        extra={
            "fields": {
                "request": request.request_id,
                "target": request.target,
                "connection": request.connection,
                **fields,
            }
        },
    )


def _reset(sock: socket.socket) -> None:
    """Makes the next close of a socket send a reset."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


def _receive_head(receive: _Receive, buffer: bytearray) -> dict[str, str]:
    """Reads a head; returns its headers, none at the end of the data.

    The first line has an empty name.
    """
    while b"\r\n\r\n" not in buffer and len(buffer) < _MAX_HEAD_BYTES:
        data = receive()
        if not data:
            return {}
        buffer += data
    head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {"": first_line}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    buffer[:] = rest
    return headers


def _read_body(
    receive: _Receive, buffer: bytearray, request: Request, part: Read
) -> None:
    """Reads a part of a body.

    Raises:
        ConnectionError: The connection ends before it.
    """
    length = int(request.headers.get("content-length", "0"))
    missing = min(part.size, length - len(request.body))
    while missing > 0:
        data = bytes(buffer[:missing]) or receive(missing)
        if not data:
            raise ConnectionError("the body is incomplete")
        del buffer[: len(data)]
        request.body.extend(data)
        missing -= len(data)


def _make_report(started_at_ms: int) -> bytes:
    """Returns the response to a request for a status report."""
    report = {"seq": 1, "busy": False, "models": [], "born": started_at_ms}
    body = json.dumps(report).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


def make_head(
    request_id: str, status: int = 200, **headers: str | int
) -> bytes:
    """Returns the head of a response; successes have a stamp."""
    lines = [f"HTTP/1.1 {status} Status", f"Request-Id: {request_id}"]
    if 200 <= status < 300:
        lines.append(f"Response-Stamp: stamp-{request_id}")
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def make_response(request: Request, body: bytes = b"ok") -> Iterable[bytes]:
    """Returns a sound response."""
    return [make_head(request.request_id, Content_Length=len(body)) + body]


def make_rejection(request: Request) -> bytes:
    """Returns a response that says that the request did not run."""
    return make_head(request.request_id, 503, Not_Run=1, Content_Length=0)


def make_stream_head(request: Request) -> bytes:
    """Returns the head of a stream in chunks."""
    return make_head(
        request.request_id,
        Content_Type="text/event-stream",
        Transfer_Encoding="chunked",
    )


def make_chunk(data: bytes) -> bytes:
    """Returns a chunk of a body; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_event(number: int, text: str = "text") -> bytes:
    """Returns an event with an id as a chunk."""
    return make_chunk(b"id: %d\ndata: %b\n\n" % (number, text.encode()))
