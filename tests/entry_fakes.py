"""A scripted target, a fake control process and a real entry process."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import socket
import ssl
import subprocess
import sys
import threading
import time
from typing import Any

from quetzalgauge import wire
from quetzalgauge.gen import Control
from quetzalgauge.gen import ttypes

ZONE = "uy-south-a"
SOURCE = pathlib.Path(__file__).parent.parent / "src"


@dataclasses.dataclass
class Received:
    """A request as the target saw it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def document(self) -> Any:
        return json.loads(self.body)


# Answers a request on the raw socket; returns whether to keep it open.
Script = Callable[[socket.socket, Received], bool]


def answer(
    status: int = 200,
    body: bytes = b"{}",
    request_id: str | None = None,
    media: str = "application/json",
) -> Script:
    """A complete answer; the request's own id unless another is given."""

    def run(handle: socket.socket, received: Received) -> bool:
        given = request_id or received.headers["x-request-id"]
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: {media}\r\n"
            f"X-Request-Id: {given}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        handle.sendall(head.encode() + body)
        return True

    return run


def decline(status: int, code: str) -> Script:
    """An engine's refusal, which means that the request did not run."""
    return answer(status, json.dumps({"code": code}).encode())


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return b'id: %d\ndata: {"token": %d}\n\n' % (number, number)


def stream_head(request_id: str) -> bytes:
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Request-Id: {request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


DONE = b"data: [DONE]\n\n"


def stream(
    count: int,
    end: bytes = DONE,
    pause: float = 0.0,
    close: bool = False,
    first: int = 1,
) -> Script:
    """Events first..first+count-1, then `end`.

    Closes without the last chunk if `close` is set.
    """

    def run(handle: socket.socket, received: Received) -> bool:
        handle.sendall(stream_head(received.headers["x-request-id"]))
        for number in range(first, first + count):
            handle.sendall(chunk(event(number)))
            time.sleep(pause)
        if end:
            handle.sendall(chunk(end))
        if close:
            return False
        handle.sendall(b"0\r\n\r\n")
        return True

    return run


def cut(handle: socket.socket, received: Received) -> bool:
    """Closes before the first byte of the answer."""
    return False


def raw(data: bytes, keep: bool = False) -> Script:
    """Sends these bytes; %ID% stands for the request id."""

    def run(handle: socket.socket, received: Received) -> bool:
        request_id = received.headers["x-request-id"].encode()
        handle.sendall(data.replace(b"%ID%", request_id))
        return keep

    return run


class FakeTarget:
    """Runs one script per request, and the default one after the last."""

    def __init__(self, name: str, default: Script | None = None) -> None:
        self.name = name
        self.default = default or answer()
        self.scripts: list[Script] = []
        self.received: list[Received] = []
        self.ended = threading.Event()  # A caller of the target has gone.
        self.stop_event = threading.Event()
        self._connections = 0
        self._handles: list[socket.socket] = []
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silent(self, handle: socket.socket, received: Received) -> bool:
        """Never answers; notes when the other side closes."""
        handle.settimeout(20)
        with contextlib.suppress(OSError):
            if handle.recv(1) == b"":
                self.ended.set()
        return False

    def stop(self) -> None:
        self.stop_event.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            handles = list(self._handles)
        for handle in handles:
            with contextlib.suppress(OSError):
                handle.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                handle, _ = self._listener.accept()
            except OSError:
                return
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections += 1
                number = self._connections
                self._handles.append(handle)
            threading.Thread(
                target=self._serve, args=(handle, number), daemon=True
            ).start()

    def _serve(self, handle: socket.socket, number: int) -> None:
        with handle, contextlib.suppress(OSError):
            reader = handle.makefile("rb")
            while (received := _read_request(reader, number)) is not None:
                with self._lock:
                    self.received.append(received)
                    script = (
                        self.scripts.pop(0) if self.scripts else self.default
                    )
                if not script(handle, received):
                    return
            self.ended.set()


def _read_request(reader: Any, number: int) -> Received | None:
    line = reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := reader.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", "0")))
    return Received(method, path, headers, body, number)


class FakeControl:
    """Answers an entry process; the state is set by the test."""

    def __init__(self, port: int = 0) -> None:
        self.replicas: list[Any] = []
        self.service_targets: list[Any] = []
        self.models: list[Any] = []
        self.adapters: list[Any] = []
        self.version = 1
        self.poll_time = 0.1
        self.claims: list[int] = []
        self.outcomes: dict[int, Any] = {}
        self.key_decision = ttypes.KeyDecision.RUN
        self.services: list[Any] = []
        self.adapter_decision = ttypes.AdapterDecision.RESIDENT
        self.adapter_calls: list[tuple[str, str]] = []
        self.reports: list[Any] = []
        self._server = wire.Server(
            "control", Control.Processor(self), "127.0.0.1", port
        )
        self.port = int(self._server.address.rpartition(":")[2])
        self._server.start()

    def stop(self) -> None:
        self._server.stop()

    def sync(self, report: Any) -> Any:
        self.reports.append(report)
        start = time.monotonic()
        while (
            report.routes_version == self.version
            and time.monotonic() < start + self.poll_time
        ):
            time.sleep(0.01)
        changed = report.routes_version != self.version
        complete = report.catalog_version != self.version
        return ttypes.RouteUpdate(
            routes_version=self.version,
            catalog_version=self.version,
            routes_changed=changed,
            replicas=self.replicas if changed else [],
            service_targets=self.service_targets if changed else [],
            catalog_complete=complete,
            models=self.models if complete else [],
            adapters=self.adapters if complete else [],
            log_reachable=True,
            services=self.services if complete else [],
        )

    def claim_key(self, entry: str, key: int, timeout_s: float) -> Any:
        stored = self.outcomes.get(key)
        empty = ttypes.KeyOutcome(known=False, status=0, headers={}, body=b"")
        if stored is not None:
            decision = ttypes.KeyDecision.STORED
        elif self.key_decision != ttypes.KeyDecision.RUN:
            decision = self.key_decision
        elif key in self.claims:
            decision = ttypes.KeyDecision.UNKNOWN
        else:
            decision = ttypes.KeyDecision.RUN
            self.claims.append(key)
        return ttypes.KeyReply(decision=decision, outcome=stored or empty)

    def store_outcome(self, entry: str, key: int, outcome: Any) -> None:
        self.outcomes[key] = outcome

    def ensure_adapter(
        self, target: str, adapter: str, timeout_s: float
    ) -> Any:
        self.adapter_calls.append((target, adapter))
        return ttypes.AdapterReply(decision=self.adapter_decision, reason="")

    def add_model(self, name: str, *targets: FakeTarget, **more: Any) -> None:
        """Adds a model in version v1 with a ready replica on each target."""
        self.models.append(
            ttypes.ModelEntry(
                model=name,
                versions=["v1"],
                default_version="v1",
                priority=5,
                removed=False,
            )
        )
        for index, target in enumerate(targets):
            self.replicas.append(replica(name, target, index, **more))

    def add_service(self, name: str, *targets: FakeTarget) -> None:
        for target in targets:
            self.service_targets.append(
                ttypes.ServiceTarget(
                    service_name=name,
                    target=target.name,
                    address=target.address,
                    availability_zone=ZONE,
                )
            )

    def add_adapter(self, name: str, model: str) -> None:
        self.adapters.append(
            ttypes.AdapterEntry(adapter=name, model=model, removed=False)
        )


def replica(
    model: str,
    target: FakeTarget,
    index: int = 0,
    state: int = ttypes.ReplicaState.READY,
    ready_in: float = 0.0,
    max_running: int = 8,
) -> Any:
    return ttypes.Replica(
        slot=ttypes.Slot(model=model, availability_zone=ZONE, index=index),
        version="v1",
        target=target.name,
        address=target.address,
        availability_zone=ZONE,
        state=state,
        ready_in_s=ready_in,
        max_running=max_running,
    )


def make_config(control_port: int, **more: Any) -> dict[str, Any]:
    """Returns settings of an entry process on free ports."""
    return {
        "instance": "i-1",
        "entry": "e-1",
        "availability_zone": ZONE,
        "region": "uy-south",
        "listen": {"host": "127.0.0.1", "port": 0},
        "operator_listen": {"host": "127.0.0.1", "port": 0},
        "control": {"host": "127.0.0.1", "port": control_port},
        "threads": 64,
        "target_silence_timeout": 1.0,
        "default_deadline": 10,
        **more,
    }


def run_entry(*arguments: str) -> "subprocess.CompletedProcess[str]":
    """Runs the program to its end."""
    return subprocess.run(
        [sys.executable, "-m", "quetzalgauge.entry", *arguments],
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
        timeout=20,
    )


class EntryProcess:
    """A real entry process."""

    def __init__(
        self,
        directory: pathlib.Path,
        control_port: int,
        context: ssl.SSLContext | None = None,
        **more: Any,
    ) -> None:
        self._context = context
        config = make_config(control_port, **more)
        path = directory / "entry.json"
        path.write_text(json.dumps(config))
        self.log_path = directory / "entry.log"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "quetzalgauge.entry",
                    "--settings",
                    str(path),
                ],
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
                text=True,
            )
        assert self.process.stdout is not None
        line = self.process.stdout.readline().split()
        assert line and line[0] == "ready", self.log
        self.port, self.operator_port = (
            int(word.rpartition(":")[2]) for word in line[1:]
        )

    @property
    def log(self) -> str:
        return self.log_path.read_text()

    def wait_until_ready(self) -> None:
        """Waits until the entry has routes."""
        until = time.monotonic() + 10
        while time.monotonic() < until:
            reply = self.call("GET", "/v1/models")
            if reply.json["data"]:
                return
            time.sleep(0.02)
        raise AssertionError(f"no routes: {self.log}")

    def connect(self) -> http.client.HTTPConnection:
        if self._context is None:
            return http.client.HTTPConnection(
                "127.0.0.1", self.port, timeout=20
            )
        return http.client.HTTPSConnection(
            "127.0.0.1", self.port, timeout=20, context=self._context
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        port: int = 0,
    ) -> "Reply":
        connection = self.connect()
        if port:
            connection = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=20
            )
        with contextlib.closing(connection):
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return Reply(
                response.status, dict(response.getheaders()), response.read()
            )

    def complete(self, model: str = "m", **more: Any) -> "Reply":
        headers = more.pop("headers", None)
        body = json.dumps({"model": model, **more}).encode()
        return self.call("POST", "/v1/completions", body, headers)

    def dump(self) -> Any:
        return self.call("GET", "/dump", port=self.operator_port).json

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


@dataclasses.dataclass
class Reply:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def code(self) -> str:
        return self.json["error"]["code"]

    @property
    def run(self) -> str:
        return self.json["error"]["run"]


@contextlib.contextmanager
def system(
    directory: pathlib.Path,
    set_up: Callable[[FakeControl], None],
    **more: Any,
) -> Iterator[tuple[EntryProcess, FakeControl]]:
    """An entry process with its fake control process.

    The model `seen` is added so that readiness can be observed.
    """
    control = FakeControl()
    control.add_model("seen")
    set_up(control)
    entry = EntryProcess(directory, control.port, **more)
    try:
        entry.wait_until_ready()
        yield entry, control
    finally:
        entry.close()
        control.stop()


def wait_for(condition: Callable[[], Any], seconds: float = 5.0) -> bool:
    """Waits for a condition; returns whether it came true."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.01)
    return bool(condition())
