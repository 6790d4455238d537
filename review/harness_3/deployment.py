"""A small deployment on loopback: store, servers, instances and callers.

The store is the project's own stand-in. Instances are started as the deploy
file says, servers as processes of `engine`.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from typing import Any

from quetzalgauge.platform import standin

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A case that takes longer could not run.
MAX_SECONDS = 100
ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "site.example"
# Below the ports of outgoing connections.
PORTS = (20_000, 32_000)
HEARTBEAT_S = 1.2
# Tokens of an event.
EVENT_TOKENS = 6
# A channel on which nothing was received for so long is idle.
IDLE_S = 0.15
SETTINGS = {
    "memory_mb": 300,
    "max_descriptors": 4200,
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
    "lease_ms": 3000,
    "drain_ms": 2000,
    "apply_ms": 2000,
    "stop_time_s": 8,
    "first_start": True,
}


def take_ports(count: int) -> list[int]:
    """Returns free ports that no outgoing connection takes meanwhile."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def make_environment(**extra: str) -> dict[str, str]:
    """Returns the environment of a program: the build and this folder."""
    path = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
    return {
        "PATH": os.environ.get("PATH", ""),
        "HOME": os.environ.get("HOME", "/"),
        "PYTHONPATH": path,
        **extra,
    }


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._lock = threading.Lock()
        self._start = time.time()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line; `at` is a Unix time."""
        with self._lock:
            self._lines.append(((at or time.time()) - self._start, text))

    def write(self) -> None:
        """Writes all lines in the order of their times."""
        with self._lock:
            lines = sorted(self._lines, key=lambda line: line[0])
        text = "".join(f"{seconds:8.3f}  {line}\n" for seconds, line in lines)
        self._path.write_text(text, encoding="utf-8")


class Process:
    """A program that the case starts and ends."""

    def __init__(self, words: list[str], log: pathlib.Path, **env: str) -> None:
        self._words = words
        self._log = log
        self._env = make_environment(**env)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts it."""
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._words,
                cwd=ROOT,
                env=self._env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_running(self) -> bool:
        """Whether it runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends it a signal if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, seconds: float) -> int | None:
        """Waits for its end; returns its status, None if it still runs."""
        assert self._process is not None
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kills it."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Instance(Process):
    """An instance of the system."""

    def __init__(
        self, folder: pathlib.Path, name: str, zone: str, store: str
    ) -> None:
        self.name = name
        listen, ready, link, operator = take_ports(4)
        self.port, self._ready_port = listen, ready
        self.settings_path = folder / f"{name}.json"
        self._settings = {
            "instance": name,
            "availability_zone": zone,
            "listen": f"127.0.0.1:{listen}",
            "ready_listen": f"127.0.0.1:{ready}",
            "link_listen": f"127.0.0.1:{link}",
            "operator_listen": f"127.0.0.1:{operator}",
            "store": store,
            **SETTINGS,
        }
        self.log_path = folder / f"{name}.log"
        super().__init__(
            ["python3", "-m", "quetzalgauge.node"],
            self.log_path,
            QUETZALGAUGE_SETTINGS=str(self.settings_path),
        )

    def start(self) -> None:
        """Starts it; the whole system starts for the first time only once."""
        self.settings_path.write_text(json.dumps(self._settings))
        self._settings["first_start"] = False
        super().start()

    def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        try:
            link = http.client.HTTPConnection(
                "127.0.0.1", self._ready_port, timeout=1
            )
            link.request("GET", "/ready")
            return link.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, seconds: float = 15.0) -> None:
        """Waits until it is ready.

        Raises:
            TimeoutError: It is not ready in time.
        """
        deadline = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{self.name} is not ready")
            time.sleep(0.05)


class Server:
    """A model server behind a proxy, which stands for the link to it.

    Its entry in the store names the address of the proxy, which listens only
    while the server does.

    Attributes:
        must_delay: Says for each order how many seconds later it is carried
            out, without an answer; 0 for an order that is passed on.
        late_answers: Answers to orders that were carried out late; empty for
            one under which the server ended.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        row: dict[str, Any],
        service: str,
        zone: str,
        store: standin.Store,
        record: Record,
    ) -> None:
        self.id = row["id"]
        self._port, self._proxy_port = take_ports(2)
        self.address = f"127.0.0.1:{self._proxy_port}"
        self.log_path = folder / f"{self.id}.events"
        self._row = {**row, "port": self._port, "log": str(self.log_path)}
        self._path = folder / f"{self.id}.json"
        self._service, self._zone = service, zone
        self._store, self._record = store, record
        self.process = Process(
            ["python3", "-m", "review.harness_3.engine", str(self._path)],
            folder / f"{self.id}.log",
        )
        self._beats = 0
        self._entry: dict[str, Any] | None = None
        self._seen_at = 0.0
        self.must_delay: Callable[[dict[str, Any]], float] = lambda order: 0.0
        self.late_answers: list[str] = []
        self._channels: list[_Channel] = []
        self._is_stopped = threading.Event()
        threading.Thread(target=self._beat, daemon=True).start()

    def start(self, loaded: list[str], on_disk: list[str]) -> None:
        """Starts the server; one that starts again holds nothing."""
        row = {**self._row, "loaded": loaded, "on_disk": on_disk}
        self._path.write_text(json.dumps(row))
        self.process.start()
        threading.Thread(target=self._listen, daemon=True).start()

    def stop(self) -> None:
        """Ends the server and its proxy."""
        self._is_stopped.set()
        self.process.kill()

    def read_events(self) -> list[dict[str, Any]]:
        """Returns the lines of its log."""
        if not self.log_path.exists():
            return []
        lines = self.log_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines]

    def _beat(self) -> None:
        """Writes the entry as it changes, and at each check-in."""
        next_at = 0.0
        while not self._is_stopped.wait(0.1):
            now = time.monotonic()
            entry = self._read_entry()
            if entry is None:
                if self._entry and now - self._seen_at > 3 * HEARTBEAT_S:
                    self._entry = None
                    self._store.put("keyed.servers", self.id, b"")
                continue
            self._seen_at = now
            if entry == self._entry and now < next_at:
                continue
            if self._entry and entry["born"] != self._entry["born"]:
                self._beats = 0
            self._entry = entry
            next_at = now + HEARTBEAT_S
            self._beats += 1
            value = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self._beats,
                **entry,
            }
            self._store.put(
                "keyed.servers", self.id, json.dumps(value).encode()
            )

    def _read_entry(self) -> dict[str, Any] | None:
        try:
            link = http.client.HTTPConnection(
                "127.0.0.1", self._port, timeout=0.5
            )
            link.request("GET", "/standin/entry")
            row: dict[str, Any] = json.loads(link.getresponse().read())
        except (OSError, ValueError, http.client.HTTPException):
            return None
        return row

    def _listen(self) -> None:
        """Accepts channels while the server runs."""
        while self._read_entry() is None:
            if not self.process.is_running():
                return
            time.sleep(0.02)
        listener = socket.create_server(
            ("127.0.0.1", self._proxy_port), backlog=256
        )
        listener.settimeout(0.005)
        with listener:
            while self.process.is_running() and not self._is_stopped.is_set():
                try:
                    sock, _ = listener.accept()
                except TimeoutError:
                    continue
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def drop_idle(self) -> int:
        """Drops the idle channels without notice; returns how many.

        What a caller sends on one of them resets it.
        """
        now = time.monotonic()
        idle = [
            channel
            for channel in self._channels
            if not channel.is_ended and now - channel.used_at > IDLE_S
        ]
        for channel in idle:
            channel.is_dropped = True
            _end(channel.server)
        return len(idle)

    def _serve(self, caller: socket.socket) -> None:
        """Passes on requests, one after the other, and all of each answer."""
        try:
            server = socket.create_connection(("127.0.0.1", self._port), 0.5)
        except OSError:
            caller.close()
            return
        server.settimeout(None)
        caller.settimeout(None)
        channel = _Channel(caller, server)
        self._channels.append(channel)
        threading.Thread(
            target=_pass_on_answers, args=(channel,), daemon=True
        ).start()
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    part = caller.recv(65536)
                    if not part:
                        return
                    if channel.is_dropped:
                        reset = struct.pack("ii", 1, 0)
                        caller.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, reset
                        )
                        caller.close()
                        return
                    data += part
                head, _, data = data.partition(b"\r\n\r\n")
                length = _find_length(head)
                while len(data) < length:
                    data += caller.recv(65536)
                body, data = data[:length], data[length:]
                channel.used_at = time.monotonic()
                if not self._hold_back(head, body):
                    server.sendall(head + b"\r\n\r\n" + body)
        except OSError:
            pass
        finally:
            channel.is_ended = True
            _end(server)
            _end(caller)

    def _hold_back(self, head: bytes, body: bytes) -> bool:
        """Whether an order gets no answer and is carried out later."""
        if not head.startswith(b"POST /order "):
            return False
        order = json.loads(body)
        seconds = self.must_delay(order)
        if not seconds:
            return False
        self._record.add(
            f"order to {self.id} gets no answer, is carried out in"
            f" {seconds} s: {order}"
        )
        threading.Timer(seconds, self._deliver, (head, body)).start()
        return True

    def _deliver(self, head: bytes, body: bytes) -> None:
        if self._is_stopped.is_set():
            return
        self._record.add(f"the late order reaches {self.id}: {body.decode()}")
        late = head + b"\r\nSent-Late: yes\r\n\r\n" + body
        try:
            with socket.create_connection(
                ("127.0.0.1", self._port), 1
            ) as server:
                server.sendall(late)
                server.settimeout(2)
                answer = server.recv(4096).partition(b"\r\n")[0]
                self.late_answers.append(answer.decode())
        except OSError as error:
            answer = repr(error).encode()
        self._record.add(f"its answer, which nobody reads: {answer!r}")


@dataclasses.dataclass(slots=True)
class _Channel:
    """A channel of the system to a server."""

    caller: socket.socket
    server: socket.socket
    used_at: float = 0.0
    is_dropped: bool = False
    is_ended: bool = False


def _pass_on_answers(channel: _Channel) -> None:
    """Passes on what a server sends, and the end of its channel."""
    try:
        while data := channel.server.recv(65536):
            channel.used_at = time.monotonic()
            channel.caller.sendall(data)
    except OSError:
        pass
    if channel.is_dropped:
        return
    channel.is_ended = True
    _end(channel.caller)
    _end(channel.server)


def _end(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _find_length(head: bytes) -> int:
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            return int(value)
    return 0


class Callers:
    """Callers that ask for streams of one model or adapter at a time."""

    def __init__(self, port: int, record: Record, prefix: str = "r") -> None:
        self._port = port
        self._prefix = prefix
        self._record = record
        self._is_stopped = threading.Event()
        self.wanted: tuple[str, ...] = ()
        self.answers: list[tuple[float, str, str]] = []
        self._count = 0

    def start(self, per_second: float) -> None:
        """Begins to ask."""
        threading.Thread(
            target=self._run, args=(1 / per_second,), daemon=True
        ).start()

    def stop(self) -> None:
        """Asks for nothing more."""
        self._is_stopped.set()

    def count(self, model: str, answer: str, since: float = 0.0) -> int:
        """Returns how many requests for a model have had an answer."""
        return sum(
            at >= since and name == model and text == answer
            for at, name, text in list(self.answers)
        )

    def _run(self, pause: float) -> None:
        while not self._is_stopped.wait(pause):
            for model in self.wanted:
                self.ask(model)

    def ask(self, model: str, tokens: int = 60) -> None:
        """Asks for a stream."""
        self._count += 1
        threading.Thread(
            target=self._ask,
            args=(model, f"{self._prefix}{self._count:04}", tokens),
            daemon=True,
        ).start()

    def _ask(self, model: str, request_id: str, tokens: int) -> None:
        self._record.add(f"{request_id} asks for {tokens} tokens of {model}")
        answer = "no connection"
        try:
            link = http.client.HTTPConnection(
                "127.0.0.1", self._port, timeout=12
            )
            link.request(
                "POST",
                "/live/1",
                b"prompt",
                {
                    "Host": HOST,
                    "Request-Id": request_id,
                    "Deadline-Ms": "12000",
                    "Model": model,
                    "Token-Counts": f"200,{tokens}",
                },
            )
            response = link.getresponse()
            body = response.read()
            answer = str(response.status)
            if response.status == 200:
                count = body.count(b"id: ")
                is_whole = count == tokens // EVENT_TOKENS
                answer = "whole" if is_whole else "ended early"
            text = body[:120]
            link.close()
        except (OSError, http.client.HTTPException) as error:
            text = repr(error).encode()
        self.answers.append((time.time(), model, answer))
        detail = "" if answer == "whole" else f" {text!r}"
        self._record.add(f"{request_id} ({model}) gets {answer}{detail}")


def make_configuration(
    models: dict[str, dict[str, Any]], model_size: int
) -> dict[str, Any]:
    """Returns a desired state with one route to one service."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "live",
                "host": HOST,
                "path_prefix": "/live/",
                "kind": "stream",
                "can_resume": True,
                "timeout_ms": 12_000,
                "target_latency_ms": 2500,
                "gap_aim_ms": 150,
                "priority": 1,
                "service": "engines",
                "attempts": 2,
            }
        ],
        "services": [
            {
                "name": "engines",
                "max_conns": 290,
                "engine": {
                    "slots": 16,
                    "kv_capacity": 122_880,
                    "host_mb": 120_000.0,
                    "disk_mb": 420_000.0,
                    "models": [
                        {
                            "name": name,
                            "model_size": float(spec["size"]),
                            "load_s": spec["load_s"],
                            "disk_s": spec["disk_s"],
                            "warm_s": spec["disk_s"],
                            "adapters": spec.get("adapters", 0),
                            "adapter_mb": 66.0,
                        }
                        for name, spec in models.items()
                    ],
                    "model_size": float(model_size),
                    "adapter_slots": 8,
                    "loads_per_s": 4.0,
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 65_536,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 15_000,
        },
    }


def wait_for(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Waits for a condition.

    Raises:
        TimeoutError: It does not hold in time.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"in {seconds} s not seen: {what}")
        time.sleep(0.02)


class Deployment:
    """A store, a zone with an instance and four servers, and callers.

    The first server is the one that a case is about. Each of the others holds
    a model of its own that is asked for all the time.

    Args:
        folder: Folder for settings, logs and events.
        record: The record.
        models: The other models by name.
        **options: Fields of the file of each server, see `engine`.
    """

    MODEL_SIZE = 140_000
    OTHER_MODELS = ("other-1", "other-2", "other-3")
    SERVICE = "engines"
    ZONE = "zone-a"

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        models: dict[str, dict[str, Any]],
        **options: Any,
    ) -> None:
        self.record = record
        other = {"size": 72_700, "load_s": 6.0, "disk_s": 0.84}
        self.models = {**models, **dict.fromkeys(self.OTHER_MODELS, other)}
        self.store = standin.Store()
        self.store.server.start()
        configuration = make_configuration(self.models, self.MODEL_SIZE)
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        row = {
            "model_size": self.MODEL_SIZE,
            "adapter_slots": 8,
            "models": self.models,
            **options,
        }
        self.server, *self._others = [
            Server(
                folder,
                {**row, "id": f"i-7f3a91c{number}"},
                self.SERVICE,
                self.ZONE,
                self.store,
                record,
            )
            for number in range(1 + len(self.OTHER_MODELS))
        ]
        self.instance = Instance(
            folder, "front-a-1", self.ZONE, str(self.store.server.address)
        )
        self.callers = Callers(self.instance.port, record)
        self._other_callers = Callers(self.instance.port, record, "o")

    def start(self, loaded: list[str]) -> None:
        """Starts all, and waits until the instance is ready.

        Args:
            loaded: The models that the first server holds.
        """
        self.start_server(loaded)
        for server, model in zip(self._others, self.OTHER_MODELS, strict=True):
            server.start([model], [model])
        self.instance.start()
        self.instance.wait_ready()
        self.record.add("the instance is ready")

    def ask_for_others(self) -> None:
        """Begins to ask for the models of the other servers."""
        self._other_callers.wanted = self.OTHER_MODELS
        self._other_callers.start(4)

    def start_server(self, loaded: list[str]) -> None:
        """Starts the first server, which has the models of the case on disk."""
        on_disk = [
            name for name in self.models if name not in self.OTHER_MODELS
        ]
        self.server.start(loaded, on_disk)

    def stop(self) -> None:
        """Ends all."""
        self.callers.stop()
        self._other_callers.stop()
        self.instance.kill()
        for server in (self.server, *self._others):
            server.stop()
        self.store.server.stop()

    def record_events(self) -> list[dict[str, Any]]:
        """Adds what the servers did to the record, and returns it."""
        events = []
        for server in (self.server, *self._others):
            for event in server.read_events():
                self.record.add(f"{server.id}: {event}", event["at"])
                events.append(event)
        return events


def play(
    folder: pathlib.Path,
    models: dict[str, dict[str, Any]],
    run: Callable[[Deployment], None],
    find_breaks: Callable[[Deployment, list[dict[str, Any]]], list[str]],
    **options: Any,
) -> int:
    """Plays a case and writes its record.

    Args:
        folder: The folder of the case.
        models: The models that the case is about.
        run: Starts the deployment and plays the case.
        find_breaks: Returns how the rule was broken, given what servers did.
        **options: See `Deployment`.

    Returns:
        The exit status: 1 if the rule was broken, 0 if it held, 2 if the case
        could not run.
    """
    record = Record(folder / "record.txt")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(MAX_SECONDS)
    breaks: list[str] = []
    error = ""
    with tempfile.TemporaryDirectory() as name:
        deployment = None
        try:
            deployment = Deployment(
                pathlib.Path(name), record, models, **options
            )
            run(deployment)
        except Exception as caught:
            error = f"the case could not run: {caught!r}"
        finally:
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
                signal.signal(number, signal.SIG_IGN)
            if deployment is not None:
                deployment.stop()
        if deployment is not None and not error:
            try:
                breaks = find_breaks(deployment, deployment.record_events())
            except Exception as caught:
                error = f"the case could not run: {caught!r}"
    for text in [error] if error else breaks or ["the rule held"]:
        record.add(text)
        print(text, flush=True)
    record.write()
    if error:
        return 2
    return 1 if breaks else 0


def _stop(number: int, frame: Any) -> None:
    raise TimeoutError(f"ended by {signal.Signals(number).name}")


def end(status: int) -> None:
    """Ends the process, whatever its threads do."""
    os._exit(status)


def find_limit_breaks(
    deployment: Deployment, events: list[dict[str, Any]]
) -> list[str]:
    """Returns the orders that asked for more than a server holds.

    Raises:
        TimeoutError: No late order has reached the server.
    """
    if HAS_TROUBLE and not deployment.server.late_answers:
        raise TimeoutError("no late order has reached the server")
    return [
        f"LIMIT broken: {event['why']}"
        for event in events
        if event["event"] == "LIMIT"
    ]
