"""Stand-in of the platform: store, model engines and plain services.

It runs in one process and uses the platform's formats and names. Tests, the
demo and the soak test with faults use it.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools
import json
import struct
import threading
import time
from typing import Any

from quetzalgauge.node import settings
from quetzalgauge.standins import server

SECONDS_PER_TOKEN = 0.005
TOKENS_PER_EVENT = 6
UNLOAD_SECONDS = 0.05
ADAPTER_LOAD_SECONDS = 0.01
REPORT_DELAY_SECONDS = 0.1
HEARTBEAT_INTERVAL_SECONDS = 0.6
MAX_MISSED_HEARTBEATS = 3
MAX_COPY_AGE_SECONDS = 30.0
DEFAULT_VERSION = "v1"
_POLL_INTERVAL_SECONDS = 0.02
_LENGTH_PREFIX = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
_KEYED_PREFIX = "keyed."
_MAX_RECORD_BYTES = 262_144
_MAX_CALL_BYTES = 2_097_152


class Store:
    """Stand-in of the store, a log with keyed topics and groups.

    It loses records that it has acknowledged only if it is restored from a
    copy.

    Attributes:
        calls: Number of calls so far.
        era: The era that its responses name, None if they name none.
    """

    def __init__(self, threads: int = 48) -> None:
        self._lock = threading.Condition()
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._first_offsets: dict[str, int] = {}
        self._groups: dict[str, _Group] = {}
        self._copies: list[_Copy] = []
        self._available_at = 0.0
        self.era: int | None = None
        self.calls = 0
        loopback = settings.Address(host="127.0.0.1", port=0)
        self.server = server.Server(
            loopback, threads, self._handle, lambda: {"calls": self.calls}
        )

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record as the operator or a target does."""
        with self._lock:
            self._topics.setdefault(topic, []).append((key, value))
            self._lock.notify_all()
            self._keep_copy()

    def restore(self, age: float, away: float) -> None:
        """Comes back from a copy, in another era.

        The records of the operator and the targets that are newer than the copy
        are written again as soon as it is back.

        Args:
            age: Age of the copy in seconds.
            away: Seconds for which the store is away.
        """
        now = time.monotonic()
        with self._lock:
            self._available_at = now + away
            written = {
                topic: self.get_newest(topic)
                for topic in ("keyed.op", "keyed.servers")
            }
            copies = [copy for copy in self._copies if copy.time <= now - age]
            copy = copies[-1] if copies else _Copy(now, {}, {})
            self._copies = copies or [copy]
            for topic, rows in self._topics.items():
                del rows[copy.lengths.get(topic, 0) :]
                first_offset = self._first_offsets.get(topic, 0)
                self._first_offsets[topic] = min(first_offset, len(rows))
            self._groups = {
                name: group.copy() for name, group in copy.groups.items()
            }
            self.era = (self.era or 0) + 1
            self._lock.notify_all()

        def write_again() -> None:
            time.sleep(away)
            for topic, values in written.items():
                stored = self.get_newest(topic)
                for key, value in values.items():
                    if stored.get(key) != value:
                        self.put(topic, key, value)
                for key in stored.keys() - values.keys():
                    self.put(topic, key, b"")

        threading.Thread(target=write_again, daemon=True).start()

    def _keep_copy(self) -> None:
        now = time.monotonic()
        self._copies.append(
            _Copy(
                now,
                {topic: len(rows) for topic, rows in self._topics.items()},
                {name: group.copy() for name, group in self._groups.items()},
            )
        )
        while self._copies[0].time < now - MAX_COPY_AGE_SECONDS:
            del self._copies[0]

    def get_newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key."""
        with self._lock:
            return _select_newest(self._topics.get(topic, []))

    def compact(self, topic: str) -> None:
        """Expires all records up to now.

        A read from an earlier offset returns 410 afterwards; the newest record
        of each key stays readable with `/log-newest`.
        """
        with self._lock:
            self._first_offsets[topic] = len(self._topics.get(topic, []))

    def rebalance(self) -> None:
        """Assigns the partition of each group to another member, if any.

        The owner changes immediately, without a request from a member.
        """
        with self._lock:
            for group in self._groups.values():
                group.rebalance()

    def _handle(self, request: server.Request) -> server.Response:
        self.calls += 1
        handler = {
            "/log-read": self._read,
            "/log-newest": self._read_newest,
            "/log-append": self._append,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-owners": self._read_owners,
        }.get(request.path)
        if handler is None:
            return server.make_json_response(404, {})
        era = self.era
        if time.monotonic() < self._available_at:
            server.reset_connection()
        response = handler(request)
        if era != self.era:
            # A long poll is cut off when the store goes away.
            server.reset_connection()
        if era is not None:
            response.headers["Store-Era"] = str(era)
        return response

    def _read(self, request: server.Request) -> server.Response:
        topic = request.query["topic"]
        offset = int(request.query["from"])
        deadline = (
            time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        )
        with self._lock:
            era = self.era
            first_offset = self._first_offsets.get(topic, 0)
            end = len(self._topics.get(topic, []))
            if offset < first_offset or offset > end:
                return server.make_json_response(410, {"first": first_offset})
            while True:
                rows = self._topics.get(topic, [])
                time_left = deadline - time.monotonic()
                is_stopping = self.server.stopping.is_set()
                if len(rows) > offset or time_left <= 0 or is_stopping:
                    break
                if request.is_disconnected() or self.era != era:
                    break
                self._lock.wait(min(time_left, 0.1))
            data = bytearray(_READ_HEADER.pack(len(rows), first_offset))
            max_bytes = int(request.query.get("max_kb", 1024)) * 1024
            for row in itertools.islice(rows, offset, None):
                if len(data) > max_bytes:
                    break
                record = _encode_record(topic, *row)
                data += _LENGTH_PREFIX.pack(len(record)) + record
        return server.Response(
            200, [bytes(data)], {"Content-Length": str(len(data))}
        )

    def _read_newest(self, request: server.Request) -> server.Response:
        with self._lock:
            rows = self._topics.get(request.query["topic"], [])
            newest = sorted(_select_newest(rows).items())
            end = len(rows)
        after_key = request.query.get("after", "")
        remaining = [(key, value) for key, value in newest if key > after_key]
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": 0,
            }
            for key, value in remaining[:50]
        ]
        return server.make_json_response(
            200, {"items": items, "more": len(remaining) > 50, "end": end}
        )

    def _append(self, request: server.Request) -> server.Response:
        topic = request.query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return server.make_json_response(403, {})
        if len(request.body) > _MAX_CALL_BYTES:
            return server.make_json_response(413, {})
        records = _split_records(request.body)
        if any(len(record) > _MAX_RECORD_BYTES for record in records):
            return server.make_json_response(413, {})
        with self._lock:
            rows = self._topics.setdefault(topic, [])
            expected = request.query.get("at")
            if expected is not None and int(expected) != len(rows):
                return server.make_json_response(412, {"end": len(rows)})
            offset = len(rows)
            rows += [_decode_record(topic, record) for record in records]
            self._lock.notify_all()
            self._keep_copy()
            return server.make_json_response(
                200, {"offset": offset, "end": len(rows)}
            )

    def _join(self, request: server.Request) -> server.Response:
        row = request.json()
        with self._lock:
            group = self._groups.setdefault(row["group"], _Group())
            is_owner = group.join(row["member"], row["ttl_ms"] / 1000)
            self._keep_copy()
            parts = [[row["topics"][0], 0, 0]] if is_owner else []
            return server.make_json_response(
                200,
                {
                    "generation": group.generation,
                    "ttl_ms": row["ttl_ms"],
                    "parts": parts,
                },
            )

    def _leave(self, request: server.Request) -> server.Response:
        row = request.json()
        with self._lock:
            group = self._groups.setdefault(row["group"], _Group())
            group.leave(row["member"])
        return server.make_json_response(200, {})

    def _read_owners(self, request: server.Request) -> server.Response:
        name = request.query["group"]
        with self._lock:
            group = self._groups.setdefault(name, _Group())
            group.expire()
            parts = [[name, 0, group.owner, 0]] if group.owner else []
            return server.make_json_response(
                200, {"generation": group.generation, "parts": parts}
            )


def _split_records(data: bytes) -> list[bytes]:
    records = []
    start = 0
    while start < len(data):
        (length,) = _LENGTH_PREFIX.unpack_from(data, start)
        start += _LENGTH_PREFIX.size
        records.append(data[start : start + length])
        start += length
    return records


def _decode_record(topic: str, record: bytes) -> tuple[str, bytes]:
    """Returns key and value; a record of an ordinary topic has no key."""
    if not topic.startswith(_KEYED_PREFIX):
        return "", record
    return record[1 : 1 + record[0]].decode(), record[1 + record[0] :]


def _encode_record(topic: str, key: str, value: bytes) -> bytes:
    if not topic.startswith(_KEYED_PREFIX):
        return value
    return bytes([len(key.encode())]) + key.encode() + value


def _select_newest(rows: list[tuple[str, bytes]]) -> dict[str, bytes]:
    newest: dict[str, bytes] = {}
    for key, value in rows:
        if value:
            newest[key] = value
        else:
            newest.pop(key, None)
    return newest


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """What the store held at a time, on the monotonic clock."""

    time: float
    lengths: dict[str, int]
    groups: dict[str, "_Group"]


class _Group:
    """Members of a group; the first one owns its only partition."""

    def __init__(self) -> None:
        self.generation = 0
        self.owner: str | None = None
        self._expiry_times: dict[str, float] = {}

    def join(self, member: str, session_timeout: float) -> bool:
        self.expire()
        if member not in self._expiry_times:
            self.generation += 1
        self._expiry_times[member] = time.monotonic() + session_timeout
        if self.owner is None:
            self.owner = member
        return self.owner == member

    def copy(self) -> "_Group":
        """Returns a group of the same state."""
        other = _Group()
        other.generation = self.generation
        other.owner = self.owner
        other._expiry_times = dict(self._expiry_times)
        return other

    def leave(self, member: str) -> None:
        if self._expiry_times.pop(member, None) is not None:
            self.generation += 1
        if self.owner == member:
            self.owner = next(iter(self._expiry_times), None)

    def expire(self) -> None:
        now = time.monotonic()
        for member, expires_at in list(self._expiry_times.items()):
            if expires_at < now:
                self.leave(member)

    def rebalance(self) -> None:
        self.generation += 1
        others = [
            member for member in self._expiry_times if member != self.owner
        ]
        if others:
            self.owner = others[0]


@dataclasses.dataclass(slots=True)
class Observations:
    """What a target has received, for the checks of a test.

    Attributes:
        run_counts: How often each request has started to run, by request id.
        arrivals: Time and id of each request that arrived, also if rejected.
        orders: Time, leader and fencing token of each order.
        violations: Violations of the platform's rules.
    """

    run_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    orders: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )
    violations: list[str] = dataclasses.field(default_factory=list)


class Target:
    """A target of a plain service, and the base class of model engines.

    Args:
        name: Id of the target.
        service: Service that the target belongs to.
        zone: Availability zone of the target.
        slots: Requests that the target runs concurrently.
        version: Version of its software.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        version: str = DEFAULT_VERSION,
    ) -> None:
        self.name = name
        self.version = version
        self.observations = Observations()
        self.is_draining = False
        self._service = service
        self._zone = zone
        self._slots = slots
        self._started_at_ms = int(time.time() * 1000)
        self._running_count = 0
        self.lock = threading.Lock()
        loopback = settings.Address(host="127.0.0.1", port=0)
        self.server = server.Server(
            loopback, slots + 40, self._handle, self.export_observations
        )

    def export_observations(self) -> dict[str, Any]:
        """Returns run counts and violations as JSON values."""
        with self.lock:
            return {
                "runs": dict(self.observations.run_counts),
                "broken": list(self.observations.violations),
            }

    def describe(self) -> dict[str, Any]:
        """Returns the target's entry in the registry."""
        return {
            "service": self._service,
            "address": str(self.server.address),
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": "draining" if self.is_draining else "ready",
            "seq": 1,
            "cold_left_ms": 0,
            "born": self._started_at_ms,
        }

    def _handle(self, request: server.Request) -> server.Response:
        expected_target = request.headers.get("expect-instance", self.name)
        if expected_target != self.name:
            return self._reject(request, 421)
        return self._serve(request)

    def _serve(self, request: server.Request) -> server.Response:
        rejection = self._start_run(request)
        if rejection is not None:
            return rejection
        try:
            time.sleep(2 * SECONDS_PER_TOKEN)
            body = json.dumps(
                {"path": request.path, "bytes": len(request.body)}
            ).encode()
            return server.Response(
                200,
                [body],
                {
                    "Content-Length": str(len(body)),
                    **self._make_response_headers(request),
                },
            )
        finally:
            self._finish_run()

    def _start_run(self, request: server.Request) -> server.Response | None:
        """Starts a request; returns a rejection if all slots are in use."""
        request_id = request.headers.get("request-id", "")
        with self.lock:
            self.observations.arrivals.append((time.monotonic(), request_id))
            if self._running_count >= self._slots:
                return self._reject(request, 503)
            self._running_count += 1
            runs = self.observations.run_counts
            runs[request_id] = runs.get(request_id, 0) + 1
        if int(request.headers.get("deadline-ms", "0")) <= 0:
            self.observations.violations.append(f"{request_id}: no deadline")
        return None

    def _finish_run(self) -> None:
        with self.lock:
            self._running_count -= 1

    def _reject(self, request: server.Request, status: int) -> server.Response:
        return server.Response(
            status,
            [],
            {
                "Not-Run": "1",
                "Instance-Id": self.name,
                "Request-Id": request.headers.get("request-id", ""),
                "Content-Length": "0",
            },
        )

    def _make_response_headers(self, request: server.Request) -> dict[str, str]:
        request_id = request.headers.get("request-id", "")
        return {
            "Request-Id": request_id,
            "Response-Stamp": f"{self.name}.{request_id}",
        }


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpec:
    """Accelerator memory and load times of a model.

    Attributes:
        size_mb: Accelerator memory of its weights.
        store_load_s: Seconds of a load from the weight store.
        disk_load_s: Seconds of a load from a copy on disk.
        memory_load_s: Seconds of a load from a copy in host memory.
        adapter_count: Number of its adapters.
    """

    size_mb: float = 60_000.0
    store_load_s: float = 1.5
    disk_load_s: float = 0.3
    memory_load_s: float = 0.2
    adapter_count: int = 0


class Engine(Target):
    """Stand-in of a model engine.

    Args:
        name: Id of the target.
        service: Service that the target belongs to.
        zone: Availability zone of the target.
        models: The models that it may load.
        loaded: Models that are loaded at the start.
        on_disk: Models with a copy on its disk at the start.
        version: Version of its software; events name any but the default.
    """

    MEMORY_MB = 200_000.0
    ADAPTER_SLOTS = 8
    SLOTS = 16

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        models: dict[str, ModelSpec],
        loaded: list[str],
        on_disk: list[str],
        version: str = DEFAULT_VERSION,
    ) -> None:
        super().__init__(name, service, zone, self.SLOTS, version)
        self._models = models
        self._loaded: dict[str, set[str]] = {model: set() for model in loaded}
        self._draining: set[str] = set()
        self._running_by_model: dict[str, int] = {}
        self._memory_copies: list[str] = []
        self._disk_copies = list(dict.fromkeys([*on_disk, *loaded]))
        self._is_busy = False
        self._sequence_number = 0
        self._status_history: list[tuple[float, dict[str, Any]]] = []
        self._record_status()

    def describe(self) -> dict[str, Any]:
        """Returns the target's entry in the registry."""
        with self.lock:
            return {
                **super().describe(),
                "stage": "both",
                "models": self._encode_models(),
                "at_hand": {
                    "in_memory": self._memory_copies,
                    "on_disk": self._disk_copies,
                },
            }

    def _serve(self, request: server.Request) -> server.Response:
        if request.path == "/report":
            return server.make_json_response(200, self._get_delayed_status())
        if request.path == "/order":
            return self._handle_order(request)
        model, _, adapter = request.headers.get("model", "").partition("/")
        with self.lock:
            if model not in self._loaded:
                return self._reject(request, 421)
            if model in self._draining:
                return self._reject(request, 503)
            if adapter and adapter not in self._loaded[model]:
                return self._reject(request, 421)
        rejection = self._start_run(request)
        if rejection is not None:
            return rejection
        with self.lock:
            self._running_by_model[model] = (
                self._running_by_model.get(model, 0) + 1
            )
        is_finished = threading.Event()

        def finish() -> None:
            if not is_finished.is_set():
                is_finished.set()
                with self.lock:
                    self._running_by_model[model] -= 1
                self._finish_run()

        return server.Response(
            200,
            server.Body(self._generate_events(request), finish),
            {
                "Content-Type": "text/event-stream",
                "Weight-Versions": "1",
                **self._make_response_headers(request),
            },
        )

    def _generate_events(self, request: server.Request) -> Iterator[bytes]:
        request_id = request.headers.get("request-id", "")
        counts = request.headers.get("token-counts", "1,30").split(",")
        last_event = max(1, int(counts[1]) // TOKENS_PER_EVENT)
        resume_after = int(request.headers.get("last-event-id") or 0)
        for number in range(resume_after + 1, last_event + 1):
            time.sleep(
                SECONDS_PER_TOKEN * TOKENS_PER_EVENT if number > 1 else 0.01
            )
            data = f"{request_id}.{number}"
            if self.version != DEFAULT_VERSION:
                data += f" {self.version}"
            yield f"id: {number}\ndata: {data}\n\n".encode()

    def _handle_order(self, request: server.Request) -> server.Response:
        row = request.json()
        with self.lock:
            self.observations.orders.append(
                (time.monotonic(), row["holder"], row["fencing_token"])
            )
            status = self._execute_order(row)
        return server.make_json_response(status, {})

    def _execute_order(self, row: dict[str, Any]) -> int:
        if (
            self._is_busy
            or row.get("expect", self._sequence_number) != self._sequence_number
        ):
            return 409
        model, adapter = row["model"], row.get("adapter")
        if model not in self._models:
            return 400
        if adapter is not None:
            return self._execute_adapter_order(row["operation"], model, adapter)
        if (row["operation"] == "load") == (model in self._loaded):
            return 200
        self._sequence_number += 1
        self._is_busy = True
        if row["operation"] == "load":
            self._start_load(model)
        else:
            self._draining.add(model)
            self._run_after(UNLOAD_SECONDS, lambda: self._finish_unload(model))
        self._record_status()
        return 202

    def _execute_adapter_order(
        self, operation: str, model: str, adapter: str
    ) -> int:
        adapters = self._loaded.get(model)
        if adapters is None:
            return 400
        if (operation == "load") == (adapter in adapters):
            return 200
        self._sequence_number += 1
        if operation == "unload":
            adapters.discard(adapter)
            self._record_status()
            return 200
        if (
            sum(len(names) for names in self._loaded.values())
            >= self.ADAPTER_SLOTS
        ):
            self.observations.violations.append(
                f"{self.name}: too many adapters"
            )
        adapters.add(adapter)
        self._record_status()
        return 202

    def _start_load(self, model: str) -> None:
        used_mb = sum(self._models[name].size_mb for name in self._loaded)
        if used_mb + self._models[model].size_mb > self.MEMORY_MB:
            self.observations.violations.append(f"{self.name}: out of memory")
        spec = self._models[model]
        seconds = spec.store_load_s
        if model in self._memory_copies:
            seconds = spec.memory_load_s
        elif model in self._disk_copies:
            seconds = spec.disk_load_s
        self._run_after(seconds, lambda: self._finish_load(model))

    def _finish_load(self, model: str) -> bool:
        self._loaded[model] = set()
        self._memory_copies = [
            name for name in self._memory_copies if name != model
        ][-1:]
        self._memory_copies.append(model)
        self._disk_copies = [
            name for name in self._disk_copies if name != model
        ][-10:]
        self._disk_copies.append(model)
        return True

    def _finish_unload(self, model: str) -> bool:
        if self._running_by_model.get(model, 0):
            return False
        self._draining.discard(model)
        self._loaded.pop(model, None)
        return True

    def _run_after(
        self, seconds: float, try_finish: Callable[[], bool]
    ) -> None:
        def run() -> None:
            time.sleep(seconds)
            while not self.server.stopping.is_set():
                with self.lock:
                    if try_finish():
                        self._is_busy = False
                        self._record_status()
                        return
                time.sleep(_POLL_INTERVAL_SECONDS)

        threading.Thread(target=run, daemon=True).start()

    def _encode_models(self) -> list[dict[str, Any]]:
        return [
            {"name": model, "version": 1, "adapters": sorted(adapters)}
            for model, adapters in self._loaded.items()
        ]

    def _record_status(self) -> None:
        status = {
            "stage": "both",
            "models": self._encode_models(),
            "at_hand": {
                "in_memory": list(self._memory_copies),
                "on_disk": list(self._disk_copies),
            },
            "busy": self._is_busy,
            "seq": self._sequence_number,
            "queued": 0,
            "running": self._running_count,
            "coming": [],
            "born": self._started_at_ms,
        }
        self._status_history.append((time.monotonic(), status))
        del self._status_history[:-100]

    def _get_delayed_status(self) -> dict[str, Any]:
        latest_time = time.monotonic() - REPORT_DELAY_SECONDS
        with self.lock:
            visible = [
                status
                for recorded_at, status in self._status_history
                if recorded_at <= latest_time
            ]
            return visible[-1] if visible else self._status_history[0][1]


ENGINE_SERVICE = "engines"
PLAIN_SERVICE = "desk"
HOST = "site.example"


def make_configuration(
    models: dict[str, ModelSpec], version: int = 1
) -> dict[str, Any]:
    """Returns a configuration with routes of each kind."""

    def make_route(name: str, kind: str, service: str, **overrides: Any) -> Any:
        row = {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 10_000,
            "target_latency_ms": 500,
            "priority": 1,
            "service": service,
            "attempts": 2,
        }
        return {**row, **overrides}

    return {
        "version": version,
        "routes": [
            make_route("live", "stream", ENGINE_SERVICE, can_resume=True),
            make_route("rare", "stream", ENGINE_SERVICE, attempts=1),
            make_route("look", "safe", PLAIN_SERVICE, timeout_ms=2000),
            make_route("book", "unsafe", PLAIN_SERVICE, attempts=1),
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "max_conns": 200,
                "engine": {
                    "slots": Engine.SLOTS,
                    "kv_capacity": 100_000,
                    "host_mb": 140_000.0,
                    "disk_mb": 700_000.0,
                    "models": [
                        {
                            "name": name,
                            "model_size": spec.size_mb,
                            "load_s": spec.store_load_s,
                            "disk_s": spec.disk_load_s,
                            "warm_s": spec.memory_load_s,
                            "adapters": spec.adapter_count,
                            "adapter_mb": 40.0,
                        }
                        for name, spec in models.items()
                    ],
                    "model_size": Engine.MEMORY_MB,
                    "adapter_slots": Engine.ADAPTER_SLOTS,
                    "loads_per_s": 4.0,
                },
            },
            {"name": PLAIN_SERVICE, "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 65_536,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
    }


class Site:
    """A store with targets that write their entries to the registry.

    Args:
        zones: The zones. Each has two engines and one plain target.
        models: The models by name.
    """

    def __init__(self, zones: list[str], models: dict[str, ModelSpec]) -> None:
        self.store = Store()
        self.models = models
        self.targets: dict[str, Target] = {}
        self._stopped = threading.Event()
        next_models = itertools.cycle(models)
        for zone in zones:
            for number in (1, 2):
                name = f"e-{zone}-{number}"
                loaded = list(
                    dict.fromkeys([next(next_models), next(next_models)])
                )
                self.targets[name] = Engine(
                    name, ENGINE_SERVICE, zone, models, loaded, list(models)
                )
            name = f"p-{zone}"
            self.targets[name] = Target(name, PLAIN_SERVICE, zone, 8)

    def start(self) -> None:
        """Starts all servers and writes the first configuration."""
        self.store.server.start()
        for target in self.targets.values():
            target.server.start()
        self.write_configuration(make_configuration(self.models))
        threading.Thread(
            target=self._write_changed_entries, daemon=True
        ).start()

    def stop(self) -> None:
        """Stops all servers and the updates of the registry."""
        self._stopped.set()
        for target in self.targets.values():
            target.server.stop()
        self.store.server.stop()

    def write_configuration(self, value: dict[str, Any]) -> None:
        """Writes a configuration as the operator does."""
        self.store.put("keyed.op", "config", json.dumps(value).encode())

    def start_target(self, target: Target) -> None:
        """Starts a target, in place of one with the same id if there is one."""
        previous = self.targets.get(target.name)
        if previous is not None:
            previous.server.stop()
        target.server.start()
        self.targets[target.name] = target

    def remove_target(self, name: str) -> None:
        """Stops a target without a notice and deletes its entry."""
        target = self.targets.pop(name)
        target.server.stop()
        self.store.put("keyed.servers", name, b"")

    def list_violations(self) -> list[str]:
        """Returns all violations of the platform's rules at the targets."""
        violations = []
        for target in self.targets.values():
            violations += target.observations.violations
            violations += _find_lease_violations(target)
        return violations

    def _write_changed_entries(self) -> None:
        last_values: dict[str, bytes] = {}
        while not self._stopped.wait(HEARTBEAT_INTERVAL_SECONDS / 6):
            for name, target in list(self.targets.items()):
                value = json.dumps(target.describe()).encode()
                if last_values.get(name) != value:
                    last_values[name] = value
                    self.store.put("keyed.servers", name, value)


def _find_lease_violations(
    target: Target, platform_lease_s: float = 3.0
) -> list[str]:
    """Returns pairs of orders that break the platform's rule on leaders.

    Orders of two leaders to one target must be at least the platform lease
    apart, and the later one must have the higher fencing token.
    """
    violations = []
    orders = target.observations.orders
    for previous, order in itertools.pairwise(orders):
        if previous[1] == order[1]:
            continue
        if order[0] - previous[0] < platform_lease_s or order[2] <= previous[2]:
            violations.append(f"{target.name}: {previous} then {order}")
    return violations
