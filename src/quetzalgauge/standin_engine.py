"""Model engine stand-in: orders, memory, batching and streams, no model.

Token number I of an answer is `DIGEST-I `, where DIGEST is the start of the
SHA-256 of the prompt, so that a caller can check that it got the whole answer
to its own request.
"""

import collections
from collections.abc import Iterator
import dataclasses
import enum
import hashlib
import json
import threading
import time
from typing import Any
import urllib.parse
import uuid

import urllib3

from quetzalgauge import standin_http
from quetzalgauge import standin_settings

_MAX_TOKENS = 100_000
_DEFAULT_TOKENS = 16
_KEPT_ORDERS = 100
_DIGEST_CHARACTERS = 12
_STORE_RETRY_SECONDS = 0.25
_STORE_TIMEOUT = urllib3.Timeout(connect=2, read=600)
_POLL_SECONDS = 0.05
_ORDER_ACTIONS = frozenset(
    ("load", "unload", "load_adapter", "unload_adapter", "set_role", "fence")
)
_COMPLETIONS = {
    "/v1/chat/completions": "chat.completion",
    "/v1/completions": "text_completion",
}

# Model and version.
_ModelKey = tuple[str, str]


class _State(enum.Enum):
    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass(slots=True)
class _Model:
    slot: str
    order_id: str
    memory_bytes: int
    interval: dict[str, Any]
    ready_at: float
    state: _State = _State.LOADING
    running: int = 0
    reported: tuple[int, int] = (0, 0)
    waiting: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    adapters: dict[str, int] = dataclasses.field(default_factory=dict)
    adapters_loading: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Generation:
    """A request in progress. It outlives its connection for a while."""

    key: _ModelKey
    digest: str
    tokens: int
    kind: str
    started_at: float
    is_done: bool = False
    connections: int = 1
    left_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Wanted:
    """What a request asks for. An empty version means any loaded one."""

    model: str
    version: str
    adapter: str
    priority: int


class _RefusedError(Exception):
    def __init__(self, status: int, code: str, **details: Any) -> None:
        super().__init__(code)
        self.status = status
        self.body = {"code": code, **details}


class Engine:
    """A model engine. One lock guards all of its state."""

    def __init__(self, config: standin_settings.EngineSettings) -> None:
        self._config = config
        self._incarnation = config.incarnation or uuid.uuid4().hex
        self._changed = threading.Condition()
        self._models: dict[_ModelKey, _Model] = {}
        self._cached: collections.OrderedDict[str, str] = (
            collections.OrderedDict(config.cached)
        )
        self._answers: dict[str, tuple[int, dict[str, Any]]] = {}
        self._orders: collections.OrderedDict[str, dict[str, str]] = (
            collections.OrderedDict()
        )
        self._generations: dict[str, _Generation] = {}
        self._fencing_number = -1
        self._role = ""
        self._load_reported_at = 0.0
        self._arrivals = 0
        self._high_water_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._runs: collections.Counter[str] = collections.Counter()
        self._loads: collections.Counter[str] = collections.Counter()
        self._intervals: list[dict[str, Any]] = []
        self._pool = urllib3.PoolManager(retries=False, maxsize=32)
        self._server = standin_http.Server(
            config.listen, config.threads, self.handle, self.counts
        )

    @property
    def server(self) -> standin_http.Server:
        """The HTTP server."""
        return self._server

    def listed(self, address: str) -> standin_settings.ListedInstance:
        """Returns the engine's entry in the instance list."""
        config = self._config
        return standin_settings.ListedInstance(
            instance=config.target,
            kind="target",
            address=address,
            availability_zone=config.availability_zone,
            region=config.region,
            incarnation=self._incarnation,
            service=config.service,
            service_kind="models",
            accelerator_memory_bytes=config.accelerator_memory_bytes,
            accelerators=config.accelerators,
            checks_fencing=config.checks_fencing,
        )

    def counts(self) -> dict[str, Any]:
        """Returns what the engine has counted since its start.

        `loads` has the loads by MODEL@VERSION. `intervals` has one entry for
        each load, with its start and end by the machine's monotonic clock.
        `runs` has the number of runs by request id.
        """
        with self._changed:
            return {
                "target": self._config.target,
                "incarnation": self._incarnation,
                "memory_bytes": self._config.accelerator_memory_bytes,
                "high_water_bytes": self._high_water_bytes,
                "overcommit_attempts": self._counts["overcommit_attempts"],
                "stale_orders": self._counts["stale_orders"],
                "repeated_orders": self._counts["repeated_orders"],
                "requests": self._counts["requests"],
                "cancelled": self._counts["cancelled"],
                "resumed": self._counts["resumed"],
                "refused": self._counts["refused"],
                "loads": dict(self._loads),
                "intervals": [dict(entry) for entry in self._intervals],
                "runs": dict(self._runs),
                "running": sum(m.running for m in self._models.values()),
            }

    def handle(self, request: standin_http.Request) -> standin_http.Response:
        """Answers a call."""
        try:
            if request.method == "GET" and request.path == "/status":
                return standin_http.make_json_response(200, self._status())
            if request.method == "POST" and request.path == "/orders":
                return self._handle_order(request)
            if request.method == "POST" and request.path in _COMPLETIONS:
                return self._handle_completion(request)
            if request.path == "/standin/drain":
                return self._handle_drain()
            raise _RefusedError(404, "not_found")
        except _RefusedError as error:
            return standin_http.make_json_response(error.status, error.body)

    # ---- Status ------------------------------------------------------------

    def _handle_drain(self) -> standin_http.Response:
        with self._changed:
            self._counts["draining"] = 1
        return standin_http.make_json_response(202, {})

    def _status(self) -> dict[str, Any]:
        now = time.monotonic()
        with self._changed:
            lag = self._config.load_lag.total_seconds()
            if now - self._load_reported_at >= lag:
                self._load_reported_at = now
                for model in self._models.values():
                    model.reported = (model.running, len(model.waiting))
            return {
                "target": self._config.target,
                "incarnation": self._incarnation,
                "draining": bool(self._counts["draining"]),
                "fencing_number": self._fencing_number,
                "checks_fencing": self._config.checks_fencing,
                "accelerator_memory_bytes": (
                    self._config.accelerator_memory_bytes
                ),
                "used_bytes": self._used_bytes(),
                "role": self._role,
                "models": [
                    _model_status(key, model, now)
                    for key, model in self._models.items()
                ],
                "cached": dict(self._cached),
                "last_orders": list(self._orders.values()),
                "load_as_of_s": now - self._load_reported_at,
            }

    def _used_bytes(self) -> int:
        return sum(model.memory_bytes for model in self._models.values())

    # ---- Orders ------------------------------------------------------------

    def _handle_order(
        self, request: standin_http.Request
    ) -> standin_http.Response:
        try:
            order = request.json()
            order_id = str(order["order_id"])
            number = int(order["fencing_number"])
            action = order["action"]
        except (KeyError, TypeError, ValueError):
            raise _RefusedError(400, "bad_order") from None
        if action not in _ORDER_ACTIONS:
            raise _RefusedError(400, "bad_order")
        with self._changed:
            if order_id in self._answers:
                self._counts["repeated_orders"] += 1
                return standin_http.make_json_response(*self._answers[order_id])
            self._check_fencing(number)
            try:
                status = getattr(self, f"_order_{action}")(order_id, order)
            except (KeyError, TypeError, ValueError):
                raise _RefusedError(400, "bad_order") from None
            answer = (status, {"order_id": order_id})
            self._answers[order_id] = answer
            self._note_order(order_id, "running" if status == 202 else "done")
            self._changed.notify_all()
        return standin_http.make_json_response(*answer)

    def _check_fencing(self, number: int) -> None:
        if self._config.checks_fencing and number < self._fencing_number:
            self._counts["stale_orders"] += 1
            raise _RefusedError(
                409,
                "stale_fencing_number",
                fencing_number=self._fencing_number,
            )
        self._fencing_number = max(number, self._fencing_number)

    def _note_order(
        self, order_id: str, outcome: str, reason: str = ""
    ) -> None:
        self._orders[order_id] = {
            "order_id": order_id,
            "outcome": outcome,
            "reason": reason,
        }
        while len(self._orders) > _KEPT_ORDERS:
            self._orders.popitem(last=False)

    def _order_fence(self, _order_id: str, _order: dict[str, Any]) -> int:
        return 200

    def _order_set_role(self, _order_id: str, order: dict[str, Any]) -> int:
        self._role = str(order["role"])
        return 200

    def _order_load(self, order_id: str, order: dict[str, Any]) -> int:
        key = (str(order["model"]), str(order["version"]))
        size = int(order["bytes"])
        checkpoint, slot = str(order["checkpoint"]), str(order["slot"])
        loaded = self._models.get(key)
        if loaded is not None and loaded.state is _State.UNLOADING:
            raise _RefusedError(409, "model_unloading")
        if loaded is not None:
            return 200 if loaded.state is _State.READY else 202
        if size < 0:
            raise ValueError("negative size")
        if self._used_bytes() + size > self._config.accelerator_memory_bytes:
            self._counts["overcommit_attempts"] += 1
            raise _RefusedError(507, "out_of_memory")
        now = time.monotonic()
        name = "@".join(key)
        interval: dict[str, Any] = {
            "model": key[0],
            "version": key[1],
            "slot": slot,
            "bytes": size,
            "start": now,
            "ready": None,
            "end": None,
        }
        tier = self._cached.get(name, "remote")
        seconds = self._local_seconds(tier, size)
        model = _Model(slot, order_id, size, interval, now + seconds)
        self._models[key] = model
        self._intervals.append(interval)
        self._loads[name] += 1
        self._high_water_bytes = max(self._high_water_bytes, self._used_bytes())
        self._start(self._load, key, model, checkpoint, tier)
        return 202

    def _local_seconds(self, tier: str, size: int) -> float:
        if tier == "memory":
            return size / self._config.memory_bytes_per_second
        return size / self._config.disk_bytes_per_second

    def _start(self, work: Any, *arguments: Any) -> None:
        threading.Thread(target=work, args=arguments, daemon=True).start()

    def _load(
        self, key: _ModelKey, model: _Model, checkpoint: str, tier: str
    ) -> None:
        if tier == "remote" and self._config.store_url:
            reason = self._download("checkpoints", checkpoint, model)
        else:
            delay = model.ready_at - time.monotonic()
            self._server.stopping.wait(max(0.0, delay))
            reason = ""
        with self._changed:
            now = time.monotonic()
            if reason:
                del self._models[key]
                model.interval["end"] = now
                self._note_order(model.order_id, "failed", reason)
            else:
                self._cached.setdefault("@".join(key), "disk")
                model.interval["ready"] = model.ready_at = now
                if model.state is _State.LOADING:
                    model.state = _State.READY
                self._note_order(model.order_id, "done")
                self._finish_unload(key, model)
            self._changed.notify_all()

    def _download(self, kind: str, name: str, model: _Model) -> str:
        """Fetches from the weight store; returns the reason of a failure."""
        quoted = urllib.parse.quote(name, safe="")
        url = f"{self._config.store_url}/{kind}/{quoted}"
        give_up = time.monotonic() + self._config.load_give_up.total_seconds()
        while not self._server.stopping.is_set():
            try:
                answer = self._pool.request(
                    "GET",
                    url,
                    fields={"bytes": str(model.memory_bytes)},
                    timeout=_STORE_TIMEOUT,
                )
                reason = f"weight store answered {answer.status}"
                if answer.status == 200:
                    return ""
            except urllib3.exceptions.HTTPError as error:
                reason = f"weight store failed: {type(error).__name__}"
            if time.monotonic() >= give_up:
                return reason
            self._server.stopping.wait(_STORE_RETRY_SECONDS)
        return "stopping"

    def _order_unload(self, _order_id: str, order: dict[str, Any]) -> int:
        key = self._ordered_key(order)
        model = self._models.get(key)
        if model is None:
            return 200
        model.state = _State.UNLOADING
        model.order_id = str(order["order_id"])
        if self._finish_unload(key, model):
            return 200
        return 202

    def _finish_unload(self, key: _ModelKey, model: _Model) -> bool:
        """Frees the memory of a model that nothing uses any more."""
        if model.state is not _State.UNLOADING or model.running:
            return False
        if model.interval["ready"] is None or key not in self._models:
            return False
        del self._models[key]
        model.interval["end"] = time.monotonic()
        self._note_order(model.order_id, "done")
        self._keep_in_memory("@".join(key))
        return True

    def _keep_in_memory(self, name: str) -> None:
        self._cached[name] = "memory"
        self._cached.move_to_end(name)
        kept = [n for n, tier in self._cached.items() if tier == "memory"]
        excess = len(kept) - self._config.memory_cached_models
        for oldest in kept[: max(0, excess)]:
            self._cached[oldest] = "disk"

    def _order_load_adapter(self, order_id: str, order: dict[str, Any]) -> int:
        key, model = self._find(*self._ordered_key(order))
        name, size = str(order["adapter"]), int(order["adapter_bytes"])
        if name in model.adapters:
            return 200
        if name not in model.adapters_loading:
            model.adapters_loading[name] = size
            self._start(self._load_adapter, key, model, name, order_id)
        return 202

    def _load_adapter(
        self, key: _ModelKey, model: _Model, name: str, order_id: str
    ) -> None:
        reason = ""
        if self._config.store_url:
            reason = self._download("adapters", name, model)
        with self._changed:
            size = model.adapters_loading.pop(name)
            if self._models.get(key) is not model:
                reason = "the model was unloaded"
            if not reason:
                model.adapters[name] = size
                self._loads[f"adapter:{name}"] += 1
            self._note_order(order_id, "failed" if reason else "done", reason)
            self._changed.notify_all()

    def _order_unload_adapter(
        self, _order_id: str, order: dict[str, Any]
    ) -> int:
        key = self._ordered_key(order)
        if key in self._models:
            self._models[key].adapters.pop(str(order["adapter"]), None)
        return 200

    # ---- Requests ----------------------------------------------------------

    def _handle_completion(
        self, request: standin_http.Request
    ) -> standin_http.Response:
        try:
            body = request.json()
            name = str(body["model"])
            tokens = int(body.get("max_tokens") or _DEFAULT_TOKENS)
            priority = int(request.headers.get("x-priority", "0"))
        except (KeyError, TypeError, ValueError):
            raise _RefusedError(400, "bad_request") from None
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        resume_after = request.headers.get("last-event-id")
        if resume_after is not None:
            generation = self._resume(request_id)
            first = int(resume_after) + 1 if resume_after.isdigit() else 0
        else:
            first = 0
            generation = _Generation(
                key=("", ""),
                digest=digest_of(body),
                tokens=max(1, min(tokens, _MAX_TOKENS)),
                kind=_COMPLETIONS[request.path],
                started_at=0.0,
            )
            model, _, version = name.partition("@")
            adapter = str(body.get("adapter") or "")
            self._admit(
                request,
                request_id,
                generation,
                _Wanted(model, version, adapter, priority),
            )
        headers = {"X-Request-Id": request_id}
        if body.get("stream"):
            headers["Content-Type"] = "text/event-stream"
            events = self._stream(generation, first)
            stream = standin_http.Body(
                events, lambda: self._leave(request_id, generation)
            )
            return standin_http.Response(200, stream, headers)
        self._wait_for_end(request, request_id, generation)
        return standin_http.make_json_response(
            200, _make_answer(request_id, name, generation), headers
        )

    def _ordered_key(self, order: dict[str, Any]) -> _ModelKey:
        """Returns the model of an order; the version may be left out."""
        name, version = str(order["model"]), str(order.get("version", ""))
        for key in self._models:
            if key[0] == name and version in ("", key[1]):
                return key
        return name, version

    def _find(self, name: str, version: str) -> tuple[_ModelKey, _Model]:
        for key, model in self._models.items():
            is_wanted = key[0] == name and version in ("", key[1])
            if is_wanted and model.state is _State.READY:
                return key, model
        self._counts["refused"] += 1
        raise _RefusedError(409, "model_not_loaded")

    def _admit(
        self,
        request: standin_http.Request,
        request_id: str,
        generation: _Generation,
        wanted: _Wanted,
    ) -> None:
        """Waits for a place in the batch and takes it."""
        with self._changed:
            if self._counts["draining"]:
                raise _RefusedError(503, "draining")
            key, model = self._find(wanted.model, wanted.version)
            if wanted.adapter and wanted.adapter not in model.adapters:
                raise _RefusedError(409, "adapter_not_loaded")
            if len(model.waiting) >= self._config.max_waiting:
                self._counts["refused"] += 1
                raise _RefusedError(429, "overloaded")
            self._arrivals += 1
            place = (-wanted.priority, self._arrivals)
            model.waiting.append(place)
            try:
                self._wait_for_place(request, key, model, place)
            finally:
                model.waiting.remove(place)
            model.running += 1
            self._counts["requests"] += 1
            self._runs[request_id] += 1
            generation.key = key
            generation.started_at = time.monotonic()
            self._generations[request_id] = generation

    def _wait_for_place(
        self,
        request: standin_http.Request,
        key: _ModelKey,
        model: _Model,
        place: tuple[int, int],
    ) -> None:
        while (
            model.running >= self._config.max_running
            or min(model.waiting) != place
        ):
            self._changed.wait(_POLL_SECONDS)
            self._drop_abandoned()
            if model.state is not _State.READY:
                raise _RefusedError(409, "model_not_loaded")
            if request.is_disconnected() or self._server.stopping.is_set():
                self._counts["cancelled"] += 1
                raise _RefusedError(503, "draining")

    def _resume(self, request_id: str) -> _Generation:
        with self._changed:
            self._drop_abandoned()
            generation = self._generations.get(request_id)
            if generation is None:
                raise _RefusedError(410, "stream_gone")
            generation.connections += 1
            self._counts["resumed"] += 1
            return generation

    def _leave(self, request_id: str, generation: _Generation) -> None:
        """Notes that a connection of a generation has ended."""
        with self._changed:
            generation.connections -= 1
            generation.left_at = time.monotonic()
            if generation.is_done:
                self._end(request_id, generation)
        if not generation.is_done:
            self._start(self._cancel_later)

    def _cancel_later(self) -> None:
        self._server.stopping.wait(self._config.resume_window.total_seconds())
        with self._changed:
            self._drop_abandoned()

    def _drop_abandoned(self) -> None:
        limit = time.monotonic() - self._config.resume_window.total_seconds()
        for request_id, generation in list(self._generations.items()):
            if generation.connections == 0 and generation.left_at <= limit:
                self._counts["cancelled"] += 1
                self._end(request_id, generation)

    def _end(self, request_id: str, generation: _Generation) -> None:
        if self._generations.get(request_id) is not generation:
            return
        del self._generations[request_id]
        model = self._models[generation.key]
        model.running -= 1
        self._finish_unload(generation.key, model)
        self._changed.notify_all()

    def _token_time(self, generation: _Generation, index: int) -> float:
        rate = self._config.tokens_per_second
        return generation.started_at + (index + 1) / rate

    def _stream(self, generation: _Generation, first: int) -> Iterator[bytes]:
        for index in range(first, generation.tokens):
            delay = self._token_time(generation, index) - time.monotonic()
            if delay > 0 and self._server.stopping.wait(delay):
                return
            yield _make_event(generation, index)
        generation.is_done = True
        yield b"data: [DONE]\n\n"

    def _wait_for_end(
        self,
        request: standin_http.Request,
        request_id: str,
        generation: _Generation,
    ) -> None:
        end = self._token_time(generation, generation.tokens - 1)
        try:
            while (left := end - time.monotonic()) > 0:
                if self._server.stopping.wait(min(left, _POLL_SECONDS)):
                    raise _RefusedError(503, "stopping")
                if request.is_disconnected():
                    raise _RefusedError(503, "caller_left")
            generation.is_done = True
        finally:
            self._leave(request_id, generation)


def digest_of(body: dict[str, Any]) -> str:
    """Returns the digest of a request's prompt that each token bears."""
    prompt = body.get("messages", body.get("prompt", ""))
    text = json.dumps(prompt, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_CHARACTERS]


def expected_text(body: dict[str, Any], tokens: int) -> str:
    """Returns the whole text of the answer to a request."""
    digest = digest_of(body)
    return "".join(f"{digest}-{index} " for index in range(tokens))


def _model_status(key: _ModelKey, model: _Model, now: float) -> dict[str, Any]:
    return {
        "model": key[0],
        "version": key[1],
        "state": model.state.value,
        "slot": model.slot,
        "order_id": model.order_id,
        "bytes": model.memory_bytes,
        "running": model.reported[0],
        "waiting": model.reported[1],
        "ready_in_s": max(0.0, model.ready_at - now),
        "adapters": sorted(model.adapters),
        "adapters_loading": sorted(model.adapters_loading),
    }


def _make_choice(
    generation: _Generation, text: str, is_last: bool, is_event: bool
) -> dict[str, Any]:
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": "length" if is_last else None,
    }
    if generation.kind == "text_completion":
        choice["text"] = text
    elif is_event:
        choice["delta"] = {"content": text}
    else:
        choice["message"] = {"role": "assistant", "content": text}
    return choice


def _make_event(generation: _Generation, index: int) -> bytes:
    is_last = index == generation.tokens - 1
    text = f"{generation.digest}-{index} "
    data = {
        "object": f"{generation.kind}.chunk",
        "choices": [_make_choice(generation, text, is_last, True)],
    }
    return f"id: {index}\ndata: {json.dumps(data)}\n\n".encode()


def _make_answer(
    request_id: str, name: str, generation: _Generation
) -> dict[str, Any]:
    text = "".join(
        f"{generation.digest}-{index} " for index in range(generation.tokens)
    )
    return {
        "id": request_id,
        "object": generation.kind,
        "model": name,
        "choices": [_make_choice(generation, text, True, False)],
        "usage": {"completion_tokens": generation.tokens},
    }
