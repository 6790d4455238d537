"""Small stand-ins of the platform for the scripts of the second review.

They do what the pages on the protocol say. The store is the project's own
stand-in; servers and clients are here, since the scripts crash and restart
servers, and hold back single orders, which the project's own cannot do.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import pathlib
import socket
import struct
import threading
import time
from typing import Any

# The age of the values in a report of a model server.
REPORT_AGE_S = 0.1
HEARTBEAT_S = 1.2
UNLOAD_S = 0.05
_RECEIVE_BYTES = 65_536


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        self._path.write_text("", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, who: str, what: str, **fields: Any) -> None:
        """Writes a line."""
        elapsed = time.monotonic() - self._started_at
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{elapsed:8.3f} {who:<10} {what} {text}".rstrip()
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            file.write(f"{line}\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that a server has received whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The id that the client has set."""
        return self.headers.get("request-id", "")


def _receive_request(sock: socket.socket, buffer: bytearray) -> Request | None:
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(_RECEIVE_BYTES)
        if not data:
            return None
        buffer += data
    head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        data = sock.recv(_RECEIVE_BYTES)
        if not data:
            return None
        rest += data
    buffer[:] = rest[length:]
    return Request(method, path, headers, rest[:length])


def make_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_json_response(value: Any, status: int = 200) -> bytes:
    """Returns a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return make_response(status, headers, json.dumps(value).encode())


class NoAnswerError(Exception):
    """The server closes the connection without an answer."""


class HttpServer:
    """An HTTP server that can crash and start again at its address.

    Args:
        handle: Yields the bytes of the response to a request.
        host: Address on loopback.
    """

    def __init__(
        self, handle: Callable[[Request], Iterator[bytes]], host: str
    ) -> None:
        self._handle = handle
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        # Keeps the port while the server is down.
        self._holder = socket.socket()
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._holder.bind((host, 0))
        self.address: tuple[str, int] = self._holder.getsockname()

    def start(self) -> None:
        """Listens."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(256)
        self._listener = listener
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def crash(self) -> None:
        """Closes the listener and resets all connections."""
        listener, self._listener = self._listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        with self._lock:
            connections = list(self._connections)
        for sock in connections:
            reset(sock)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        buffer = bytearray()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while (request := _receive_request(sock, buffer)) is not None:
                for data in self._handle(request):
                    sock.sendall(data)
        except (OSError, ValueError, NoAnswerError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()


def reset(sock: socket.socket) -> None:
    """Resets a connection that another thread may use."""
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        sock.shutdown(socket.SHUT_RDWR)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpec:
    """Size and load times of a model."""

    size_mb: float
    load_s: float = 6.0
    disk_s: float = 0.82
    warm_s: float = 0.63


class ModelServer:
    """A model server that carries out orders one at a time.

    Args:
        name: Its id, which it keeps when it starts again.
        zone: Its availability zone.
        host: Its address on loopback.
        models: The models by name.
        memory_mb: Memory for weights.
        loaded: Models that it holds at the start.
        put: Writes its entry to the store.
        record: Gets a line for each event.
    """

    SLOTS = 48

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        models: dict[str, ModelSpec],
        memory_mb: float,
        loaded: list[str],
        put: Callable[[str, bytes], None],
        record: Record,
    ) -> None:
        self.name = name
        self.zone = zone
        self._models = models
        self._memory_mb = memory_mb
        self._put = put
        self._record = record
        self._lock = threading.RLock()
        self._boot = 0
        self._disk = list(models)
        self._hold: Callable[[dict[str, Any]], float] = lambda row: 0.0
        self.excesses: list[str] = []
        # The status that each order would have got that was carried out late.
        self.late_statuses: list[int] = []
        self.loads: list[str] = []
        self.orders: list[tuple[float, dict[str, Any]]] = []
        self.http = HttpServer(self._handle, host)
        self._reset(loaded)

    def _reset(self, loaded: list[str]) -> None:
        self._boot += 1
        self._born = int(time.time() * 1000)
        self._loaded = dict.fromkeys(loaded)
        self._memory_copies = list(loaded)
        self._unloading: set[str] = set()
        self._running: collections.Counter[str] = collections.Counter()
        self._is_busy = False
        self._sequence = 0
        self._beats = 0
        self._history: list[tuple[float, dict[str, Any]]] = []
        self._note()

    @property
    def sequence(self) -> int:
        """The number of orders accepted since the start."""
        return self._sequence

    @property
    def loaded(self) -> list[str]:
        """The models that it holds."""
        return list(self._loaded)

    def hold_orders(self, choose: Callable[[dict[str, Any]], float]) -> None:
        """Leaves orders unanswered and carries them out late.

        Args:
            choose: Returns after how many seconds an order is carried out, 0
                to carry it out at once.
        """
        self._hold = choose

    def start(self, first_beat_after_s: float = 0.0) -> None:
        """Begins to serve, and to write its entry every `HEARTBEAT_S`."""
        self.http.start()
        threading.Thread(
            target=self._beat,
            args=(self._boot, first_beat_after_s),
            daemon=True,
        ).start()

    def crash(self) -> None:
        """Ends at once. Nothing but the disk is kept."""
        with self._lock:
            self._reset([])
        self.http.crash()
        self._record.write(self.name, "crashes")

    def restart(self, first_beat_after_s: float = 0.0) -> None:
        """Starts again under the same id, empty."""
        with self._lock:
            self._reset([])
        self._record.write(self.name, "starts again", born=self._born)
        self.start(first_beat_after_s)

    def _beat(self, boot: int, delay_s: float) -> None:
        time.sleep(delay_s)
        while True:
            with self._lock:
                if boot != self._boot:
                    return
                self._beats += 1
                entry = {
                    "service": "engines",
                    "address": "{}:{}".format(*self.http.address),
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.SLOTS,
                    "state": "ready",
                    "cold_left_ms": 0,
                    **self._describe(),
                    "seq": self._beats,
                }
            self._put(self.name, json.dumps(entry).encode())
            time.sleep(HEARTBEAT_S)

    def _describe(self) -> dict[str, Any]:
        return {
            "born": self._born,
            "stage": "both",
            "models": [
                {"name": model, "version": 1, "adapters": []}
                for model in self._loaded
            ],
            "at_hand": {
                "in_memory": list(self._memory_copies),
                "on_disk": list(self._disk),
            },
        }

    def _note(self) -> None:
        """Notes the state for the reports."""
        report = {
            **self._describe(),
            "busy": self._is_busy,
            "seq": self._sequence,
            "queued": 0,
            "running": sum(self._running.values()),
            "coming": [],
            "kv_used": 0,
            "kv_total": 120_000,
            "handles": 0,
        }
        self._history.append((time.monotonic(), report))
        del self._history[:-200]

    def _report(self) -> dict[str, Any]:
        latest = time.monotonic() - REPORT_AGE_S
        with self._lock:
            seen = [row for noted_at, row in self._history if noted_at < latest]
            return seen[-1] if seen else self._history[0][1]

    def _handle(self, request: Request) -> Iterator[bytes]:
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            yield self._reject(request, 421)
        elif request.path == "/report":
            yield make_json_response(self._report())
        elif request.path == "/order":
            yield self._receive_order(json.loads(request.body))
        else:
            yield from self._run(request)

    def _reject(self, request: Request, status: int) -> bytes:
        return make_response(
            status,
            {
                "Not-Run": "1",
                "Instance-Id": self.name,
                "Request-Id": request.request_id,
            },
        )

    def _receive_order(self, row: dict[str, Any]) -> bytes:
        self.orders.append((time.monotonic(), row))
        delay_s = self._hold(row)
        if not delay_s:
            status = self._execute(row)
            return make_json_response({}, status)
        self._record.write(
            self.name, "gets order, no answer", order=_format(row)
        )

        def execute_late() -> None:
            time.sleep(delay_s)
            self.late_statuses.append(self._execute(row, "late "))

        threading.Thread(target=execute_late, daemon=True).start()
        time.sleep(30)
        raise NoAnswerError

    def _execute(self, row: dict[str, Any], how: str = "") -> int:
        with self._lock:
            held = list(self._loaded)
            sequence = self._sequence
            status = self._execute_now(row)
            self._record.write(
                self.name,
                f"carries out {how}order" if status == 202 else f"{how}order",
                order=_format(row),
                seq=sequence,
                held=held,
                status=status,
            )
        return status

    def _execute_now(self, row: dict[str, Any]) -> int:
        model = row["model"]
        if self._is_busy or row.get("expect", self._sequence) != self._sequence:
            return 409
        if model not in self._models or "adapter" in row:
            return 400
        if (row["operation"] == "load") == (model in self._loaded):
            return 200
        self._sequence += 1
        self._is_busy = True
        boot = self._boot
        if row["operation"] == "load":
            self._check_memory(model)
            self.loads.append(model)
            spec = self._models[model]
            seconds = spec.disk_s
            if model in self._memory_copies:
                seconds = spec.warm_s
            self._later(seconds, boot, lambda: self._finish_load(model))
        else:
            self._unloading.add(model)
            self._later(UNLOAD_S, boot, lambda: self._finish_unload(model))
        self._note()
        return 202

    def _check_memory(self, model: str) -> None:
        used = sum(self._models[name].size_mb for name in self._loaded)
        needed = used + self._models[model].size_mb
        if needed > self._memory_mb:
            text = (
                f"{self.name} holds {list(self._loaded)} and loads {model}:"
                f" {needed:.0f} of {self._memory_mb:.0f} MB"
            )
            self.excesses.append(text)
            self._record.write(self.name, "IS OVER ITS MEMORY", state=text)

    def _later(
        self, seconds: float, boot: int, finish: Callable[[], bool]
    ) -> None:
        def run() -> None:
            time.sleep(seconds)
            while True:
                with self._lock:
                    if boot != self._boot:
                        return
                    if finish():
                        self._is_busy = False
                        self._note()
                        return
                time.sleep(0.02)

        threading.Thread(target=run, daemon=True).start()

    def _finish_load(self, model: str) -> bool:
        self._loaded[model] = None
        self._memory_copies = [
            name for name in self._memory_copies if name != model
        ][-1:] + [model]
        return True

    def _finish_unload(self, model: str) -> bool:
        if self._running[model]:
            return False
        self._unloading.discard(model)
        self._loaded.pop(model, None)
        return True

    def _run(self, request: Request) -> Iterator[bytes]:
        model = request.headers.get("model", "").partition("/")[0]
        with self._lock:
            boot = self._boot
            if model not in self._loaded or model in self._unloading:
                status = 503 if model in self._unloading else 421
                self._record.write(
                    self.name, "rejects", id=request.request_id, status=status
                )
                rejection = self._reject(request, status)
                is_rejected = True
            else:
                is_rejected = False
                self._running[model] += 1
        if is_rejected:
            yield rejection
            return
        self._record.write(self.name, "runs", id=request.request_id)
        try:
            yield (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\nWeight-Versions: 1\r\n"
                f"Request-Id: {request.request_id}\r\n"
                f"Response-Stamp: {self.name}.{request.request_id}\r\n\r\n"
            ).encode()
            first = int(request.headers.get("last-event-id") or 0) + 1
            for number in range(first, 6):
                time.sleep(0.03)
                event = f"id: {number}\ndata: {request.request_id}\n\n".encode()
                yield b"%x\r\n%b\r\n" % (len(event), event)
            yield b"0\r\n\r\n"
        finally:
            with self._lock:
                if boot == self._boot:
                    self._running[model] -= 1


def _format(row: dict[str, Any]) -> str:
    return (
        f"{row['operation']}:{row['model']}:expect={row.get('expect')}"
        f":holder={row['holder']}:token={row['fencing_token']}"
    )


def send_request(
    address: tuple[str, int],
    path: str,
    request_id: str,
    headers: dict[str, str],
    record: Record,
    method: str = "POST",
    body: bytes = b"x",
    timeout_s: float = 20.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request as a client does, on a new channel.

    Returns:
        Status, headers and body; status 0 if the answer is not complete.
    """
    record.write("client", "sends", id=request_id, path=path, **headers)
    status, answer_headers, answer = 0, {}, b""
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.settimeout(timeout_s)
            lines = [f"{method} {path} HTTP/1.1", "Host: site.example"]
            lines += [f"Request-Id: {request_id}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            data = bytearray()
            while part := sock.recv(_RECEIVE_BYTES):
                data += part
        head, separator, answer = bytes(data).partition(b"\r\n\r\n")
        if separator:
            rows = head.decode("latin-1").split("\r\n")
            answer_headers = {
                name.lower(): value.strip()
                for name, _, value in (row.partition(":") for row in rows[1:])
            }
            status = int(rows[0].split(" ")[1])
            if answer_headers.get("transfer-encoding") == "chunked":
                if not answer.endswith(b"0\r\n\r\n"):
                    status = 0
            elif len(answer) != int(answer_headers.get("content-length", "0")):
                status = 0
    except OSError as error:
        record.write("client", "gets no answer", id=request_id, error=error)
        return 0, {}, b""
    record.write(
        "client",
        "gets",
        id=request_id,
        status=status or "nothing complete",
        stamp=answer_headers.get("response-stamp", "-"),
        retry_after=answer_headers.get("retry-after", "-"),
    )
    return status, answer_headers, answer


class PlainServer:
    """A server of a plain service.

    Args:
        name: Its id.
        zone: Its availability zone.
        host: Its address on loopback.
        work_s: How long it works on a request.
        put: Writes its entry to the store.
        record: Gets a line for each event.
    """

    SLOTS = 6

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        work_s: float,
        put: Callable[[str, bytes], None],
        record: Record,
    ) -> None:
        self.name = name
        self._zone = zone
        self._work_s = work_s
        self._put = put
        self._record = record
        self._lock = threading.Lock()
        self._count = 0
        self._born = int(time.time() * 1000)
        self.runs: collections.Counter[str] = collections.Counter()
        self.http = HttpServer(self._handle, host)

    def start(self) -> None:
        """Begins to serve, and writes its entry."""
        self.http.start()
        entry = {
            "service": "desk",
            "address": "{}:{}".format(*self.http.address),
            "zone": self._zone,
            "version": "v1",
            "slots": self.SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": self._born,
        }
        self._put(self.name, json.dumps(entry).encode())

    def _handle(self, request: Request) -> Iterator[bytes]:
        headers = {
            "Instance-Id": self.name,
            "Request-Id": request.request_id,
        }
        expected = request.headers.get("expect-instance", self.name)
        with self._lock:
            status = 0
            if expected != self.name:
                status = 421
            elif self._count >= self.SLOTS:
                status = 503
            else:
                self._count += 1
                self.runs[request.request_id] += 1
        if status:
            yield make_response(status, {"Not-Run": "1", **headers})
            return
        self._record.write(self.name, "runs", id=request.request_id)
        try:
            time.sleep(self._work_s)
        finally:
            with self._lock:
                self._count -= 1
        stamp = {"Response-Stamp": f"{self.name}.{request.request_id}"}
        yield make_response(200, {**headers, **stamp}, b"done")


class KeptClient:
    """A client that sends one request after the other on a kept channel.

    Attributes:
        sent: The ids of its requests.
        answered: The status of each request that got a whole answer.
        cut: The ids of requests whose channel ended without an answer.
    """

    def __init__(
        self, name: str, address: tuple[str, int], path: str, record: Record
    ) -> None:
        self._name = name
        self._address = address
        self._path = path
        self._record = record
        self._stopped = threading.Event()
        self.sent: list[str] = []
        self.answered: dict[str, int] = {}
        self.cut: list[str] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begins to send."""
        self._thread.start()

    def stop(self) -> None:
        """Ends after the request in progress."""
        self._stopped.set()
        self._thread.join(5.0)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                with socket.create_connection(self._address, 1.0) as sock:
                    sock.settimeout(5.0)
                    while not self._stopped.is_set():
                        if not self._exchange(sock):
                            break
            except OSError:
                pass
            time.sleep(0.1)

    def _exchange(self, sock: socket.socket) -> bool:
        request_id = f"{self._name}.{len(self.sent)}"
        self.sent.append(request_id)
        self._record.write(self._name, "sends", id=request_id)
        data = bytearray()
        try:
            sock.sendall(
                f"POST {self._path} HTTP/1.1\r\nHost: site.example\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: 2500\r\n"
                "Content-Length: 1\r\n\r\nx".encode()
            )
            while b"\r\n\r\n" not in data:
                part = sock.recv(_RECEIVE_BYTES)
                if not part:
                    raise ConnectionError("closed")
                data += part
            head, _, body = bytes(data).partition(b"\r\n\r\n")
            rows = head.decode("latin-1").split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (row.partition(":") for row in rows[1:])
            }
            while len(body) < int(headers.get("content-length", "0")):
                part = sock.recv(_RECEIVE_BYTES)
                if not part:
                    raise ConnectionError("closed within the body")
                body += part
        except OSError as error:
            self.cut.append(request_id)
            self._record.write(
                self._name, "gets no answer", id=request_id, error=error
            )
            return False
        self.answered[request_id] = int(rows[0].split(" ")[1])
        self._record.write(
            self._name,
            "gets",
            id=request_id,
            status=self.answered[request_id],
        )
        return headers.get("connection", "").lower() != "close"


def start_thread(run: Callable[[], object]) -> threading.Thread:
    """Runs a function in a thread that does not delay the exit."""
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread
