"""Emulated model engines and the weight store from which they load."""

from collections.abc import Callable
import dataclasses
from typing import Any

from quetzalgauge import ids
from quetzalgauge.core import orders
from quetzalgauge.core import requests
from quetzalgauge.core import targets
from quetzalgauge.emulation import deployments
from quetzalgauge.emulation import event_loop

DECODE_STEP_S = 0.00523
DECODE_STEP_PER_REQUEST_S = 0.0000037
PREFILL_TOKENS_PER_S = 38_400.0
UNLOAD_S = 0.05
ADAPTER_LOAD_S = 0.0097
STATUS_LAG_S = 0.1


class WeightStore:
    """A weight store of limited throughput.

    A load runs at full speed while the number of loads is within the
    capacity; beyond it, all loads slow down equally.

    Attributes:
        load_count: Loads that were started.
    """

    def __init__(self, loop: event_loop.EventLoop, capacity: int) -> None:
        self._loop = loop
        self._capacity = capacity
        self._loads_in_progress: dict[
            int, tuple[float, Callable[[], None]]
        ] = {}
        self._updated_at_s = 0.0
        self._last_load_id = 0
        self._generation = 0
        self.load_count = 0

    def start_load(
        self, full_speed_s: float, on_loaded: Callable[[], None]
    ) -> None:
        """Starts a load.

        Args:
            full_speed_s: Duration of the load at full speed.
            on_loaded: Called when the load ends.
        """
        self.load_count += 1
        self._update_progress()
        self._last_load_id += 1
        self._loads_in_progress[self._last_load_id] = (full_speed_s, on_loaded)
        self._schedule_next_end()

    def _get_speed(self) -> float:
        return min(1.0, self._capacity / max(1, len(self._loads_in_progress)))

    def _update_progress(self) -> None:
        progress_s = (self._loop.now_s - self._updated_at_s) * self._get_speed()
        self._updated_at_s = self._loop.now_s
        self._loads_in_progress = {
            load_id: (remaining_s - progress_s, on_loaded)
            for load_id, (
                remaining_s,
                on_loaded,
            ) in self._loads_in_progress.items()
        }

    def _schedule_next_end(self) -> None:
        self._generation += 1
        if not self._loads_in_progress:
            return
        generation = self._generation
        shortest_s = min(
            remaining_s for remaining_s, _ in self._loads_in_progress.values()
        )
        self._loop.schedule_after(
            shortest_s / self._get_speed(),
            lambda: self._finish_loads(generation),
        )

    def _finish_loads(self, generation: int) -> None:
        # A load that started or ended since then has rescheduled the callback.
        if generation != self._generation:
            return
        self._update_progress()
        finished = [
            load_id
            for load_id, (remaining_s, _) in self._loads_in_progress.items()
            if remaining_s <= 1e-9
        ]
        callbacks = [
            self._loads_in_progress.pop(load_id)[1] for load_id in finished
        ]
        self._schedule_next_end()
        for callback in callbacks:
            callback()


@dataclasses.dataclass(slots=True)
class EngineRequest:
    """A request on an engine.

    Attributes:
        model: The model.
        adapter: The adapter, if the request uses one.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the output.
        on_first_token: Called at the first output token.
        on_ended: Called at the end, with the reason if the request failed.
        is_cancelled: Whether the request was cancelled; then it calls nothing
            more.
    """

    model: ids.ModelName
    adapter: ids.AdapterName | None
    prompt_tokens: float
    output_tokens: float
    on_first_token: Callable[[], None]
    on_ended: Callable[[requests.Failure | None], None]
    is_cancelled: bool = False
    prompt_parts: tuple[ids.PromptPart, ...] = ()


class Engine:
    """An emulated engine.

    Attributes:
        target: Its id as a target.
        loaded_adapters: Loaded adapters, by loaded model.
        memory_copies: Models with a cached copy in host memory, least recently
            loaded first.
        disk_copies: Models with a cached copy on disk, least recently loaded
            first.
        running_requests: Requests that occupy a slot.
        is_busy: Whether the engine executes a load or unload order of a model.
        busy_s: Seconds spent on such orders.
        sequence_number: Number of orders that took effect; the next order must
            expect this number.
        has_crashed: Whether an order exceeded the memory or the adapter slots.
        on_change: Called when a model has been loaded or unloaded.
        address: Its address as a target.
        crashing_parts: Prompt parts on which it crashes, each with the only
            model that crashes on it, or None if all models do.
        is_down: Whether its process has ended.
        on_crash: Called with the prompt part when its process ends.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        store: WeightStore,
        deployment: deployments.Deployment,
        models: dict[ids.ModelName, deployments.EmulatedModel],
        target: ids.TargetId,
        zone: ids.AvailabilityZone,
    ) -> None:
        self._loop = loop
        self._store = store
        self._deployment = deployment
        self._models = models
        self.target = target
        self._zone = zone
        self.loaded_adapters: dict[ids.ModelName, set[ids.AdapterName]] = {}
        self._draining_models: set[ids.ModelName] = set()
        self._loading_adapters: set[tuple[ids.ModelName, ids.AdapterName]] = (
            set()
        )
        self._cached_adapters: dict[
            tuple[ids.ModelName, ids.AdapterName], None
        ] = {}
        self.memory_copies: list[ids.ModelName] = []
        self.disk_copies: list[ids.ModelName] = []
        self.running_requests: list[EngineRequest] = []
        self._queue: list[EngineRequest] = []
        self.is_busy = False
        self._busy_changed_at_s = 0.0
        self.busy_s = 0.0
        self.sequence_number = 0
        self._on_unloaded: Callable[[], None] | None = None
        self._unloading_model: ids.ModelName | None = None
        self._status_history: list[tuple[float, orders.Status]] = []
        self.has_crashed = False
        self._prefill_ends_at_s = 0.0
        self.on_change: Callable[[], None] = lambda: None
        self.address = f"{target}:1"
        self.crashing_parts: dict[ids.PromptPart, ids.ModelName | None] = {}
        self.is_down = False
        self.on_crash: Callable[[ids.PromptPart | None], None] = lambda part: (
            None
        )

    def handle_order(self, order: orders.Order) -> orders.Outcome:
        """Starts to execute an order, unless it conflicts; returns the outcome.

        Raises:
            AssertionError: The order exceeds the memory or the adapter slots.
                The leaders must prevent this, so the emulation fails.
        """
        if (
            self.is_busy
            or order.expected_sequence_number != self.sequence_number
        ):
            return orders.Outcome.CONFLICT
        if order.adapter is not None:
            return self._handle_adapter_order(order)
        if order.operation is orders.Operation.LOAD:
            if order.model in self.loaded_adapters:
                return orders.Outcome.ALREADY_DONE
            self._begin_load(order.model)
        else:
            if order.model not in self.loaded_adapters:
                return orders.Outcome.ALREADY_DONE
            self._begin_unload(order.model)
        self.sequence_number += 1
        self._record_status()
        return orders.Outcome.ACCEPTED

    def _handle_adapter_order(self, order: orders.Order) -> orders.Outcome:
        assert order.adapter is not None
        key = (order.model, order.adapter)
        if order.model not in self.loaded_adapters:
            return orders.Outcome.INVALID
        adapters = self.loaded_adapters[order.model]
        if order.operation is orders.Operation.UNLOAD:
            if order.adapter not in adapters:
                return orders.Outcome.ALREADY_DONE
            adapters.discard(order.adapter)
            self.sequence_number += 1
            self._record_status()
            return orders.Outcome.ALREADY_DONE
        if order.adapter in adapters or key in self._loading_adapters:
            return orders.Outcome.ALREADY_DONE
        loaded_count = sum(
            len(names) for names in self.loaded_adapters.values()
        )
        if (
            loaded_count + len(self._loading_adapters)
            >= self._deployment.adapter_slots
        ):
            self.has_crashed = True
            raise AssertionError(
                f"{self.target}: load order for an adapter without a"
                " free adapter slot"
            )
        self._loading_adapters.add(key)
        load_s = (
            ADAPTER_LOAD_S / 10
            if key in self._cached_adapters
            else ADAPTER_LOAD_S
        )
        self._loop.schedule_after(
            load_s, lambda: self._finish_adapter_load(key)
        )
        self.sequence_number += 1
        self._record_status()
        return orders.Outcome.ACCEPTED

    def _finish_adapter_load(
        self, key: tuple[ids.ModelName, ids.AdapterName]
    ) -> None:
        self._loading_adapters.discard(key)
        if key[0] in self.loaded_adapters:
            self.loaded_adapters[key[0]].add(key[1])
            self._cached_adapters[key] = None
        self._record_status()

    def _begin_load(self, model: ids.ModelName) -> None:
        spec = self._models[model].spec
        used_mb = sum(
            self._models[name].spec.size_mb for name in self.loaded_adapters
        )
        if used_mb + spec.size_mb > self._deployment.memory_mb:
            self.has_crashed = True
            raise AssertionError(
                f"{self.target}: load order exceeds the accelerator memory"
            )
        self._set_busy(True)
        on_loaded = lambda: self._finish_load(model)  # noqa: E731
        if model in self.memory_copies:
            self._loop.schedule_after(
                spec.memory_load_time.total_seconds(), on_loaded
            )
        elif model in self.disk_copies:
            self._loop.schedule_after(
                spec.disk_load_time.total_seconds(), on_loaded
            )
        else:
            self._store.start_load(
                spec.store_load_time.total_seconds(), on_loaded
            )

    def _finish_load(self, model: ids.ModelName) -> None:
        self.loaded_adapters[model] = set()
        self._cache_copy(
            self.memory_copies, model, self._deployment.host_cache_mb
        )
        self._cache_copy(
            self.disk_copies, model, self._deployment.disk_cache_mb
        )
        self._set_busy(False)
        self._record_status()
        self.on_change()

    def _cache_copy(
        self, copies: list[ids.ModelName], model: ids.ModelName, limit_mb: float
    ) -> None:
        if model in copies:
            copies.remove(model)
        copies.append(model)
        while (
            sum(self._models[name].spec.size_mb for name in copies) > limit_mb
            and len(copies) > 1
        ):
            copies.pop(0)

    def _begin_unload(self, model: ids.ModelName) -> None:
        self._set_busy(True)
        self._unloading_model = model
        self._draining_models.add(model)
        self._unload_if_drained()

    def _unload_if_drained(self) -> None:
        model = self._unloading_model
        if model is None or any(
            request.model == model for request in self.running_requests
        ):
            return
        self._unloading_model = None
        self._loop.schedule_after(UNLOAD_S, lambda: self._finish_unload(model))

    def _finish_unload(self, model: ids.ModelName) -> None:
        self._draining_models.discard(model)
        del self.loaded_adapters[model]
        self._set_busy(False)
        self._record_status()
        self.on_change()

    def _set_busy(self, busy: bool) -> None:
        if self.is_busy:
            self.busy_s += self._loop.now_s - self._busy_changed_at_s
        self.is_busy = busy
        self._busy_changed_at_s = self._loop.now_s

    def submit(self, request: EngineRequest) -> requests.Failure | None:
        """Runs or queues a request; returns the reason if it is rejected."""
        if self.is_down:
            return requests.Failure.UNREACHABLE
        if request.model not in self.loaded_adapters:
            return requests.Failure.NOT_LOADED
        if request.model in self._draining_models:
            return requests.Failure.FULL
        if request.adapter is not None and (
            request.adapter not in self.loaded_adapters[request.model]
        ):
            if (request.model, request.adapter) in self._loading_adapters:
                return requests.Failure.FULL
            return requests.Failure.NOT_LOADED
        if len(self.running_requests) >= self._deployment.slots:
            if len(self._queue) >= self._deployment.queue_size:
                return requests.Failure.FULL
            self._queue.append(request)
            return None
        self._start_request(request)
        return None

    def cancel(self, request: EngineRequest) -> None:
        """Cancels a running or queued request."""
        request.is_cancelled = True
        if request in self._queue:
            self._queue.remove(request)
        if request in self.running_requests:
            self._release_slot(request)

    def _start_request(self, request: EngineRequest) -> None:
        self.running_requests.append(request)
        # All models of an engine share its batch, so the slowest one
        # determines the duration of a decoding step.
        relative_step_time = max(
            self._models[name].relative_step_time
            for name in self.loaded_adapters
        )
        step_s = (
            DECODE_STEP_S * relative_step_time
            + DECODE_STEP_PER_REQUEST_S * len(self.running_requests)
        )
        # An engine processes prompts one after the other.
        prefill_s = request.prompt_tokens / PREFILL_TOKENS_PER_S
        self._prefill_ends_at_s = (
            max(self._prefill_ends_at_s, self._loop.now_s) + prefill_s
        )
        first_token_s = (
            self._prefill_ends_at_s - self._loop.now_s + 0.002 + step_s
        )
        total_s = first_token_s + request.output_tokens * step_s
        self._loop.schedule_after(
            first_token_s, lambda: self._emit_first_token(request)
        )
        self._loop.schedule_after(
            total_s, lambda: self._finish_request(request)
        )

    def _emit_first_token(self, request: EngineRequest) -> None:
        if request.is_cancelled or self.is_down:
            return
        for part in request.prompt_parts:
            if part in self.crashing_parts and self.crashing_parts[part] in (
                None,
                request.model,
            ):
                self.crash(part)
                return
        request.on_first_token()

    def crash(self, part: ids.PromptPart | None) -> None:
        """Ends the process, which fails all of its requests."""
        self.is_down = True
        requests_in_progress = self.running_requests + self._queue
        self.running_requests = []
        self._queue = []
        for request in requests_in_progress:
            request.is_cancelled = True
            request.on_ended(requests.Failure.CONNECTION_LOST)
        self.on_crash(part)

    def _finish_request(self, request: EngineRequest) -> None:
        if request.is_cancelled:
            return
        self._release_slot(request)
        request.on_ended(None)

    def _release_slot(self, request: EngineRequest) -> None:
        self.running_requests.remove(request)
        self._unload_if_drained()
        while (
            self._queue and len(self.running_requests) < self._deployment.slots
        ):
            queued = self._queue.pop(0)
            if queued.model in self.loaded_adapters:
                self._start_request(queued)
            else:
                queued.on_ended(requests.Failure.NOT_LOADED)

    def _record_status(self) -> None:
        self._status_history.append((self._loop.now_s, self._make_status()))
        del self._status_history[:-50]

    def _make_status(self) -> orders.Status:
        return orders.Status(
            self.sequence_number,
            self.is_busy,
            self._list_loaded_models(),
            tuple(self._loading_adapters),
            targets.CachedCopies(
                tuple(self.memory_copies), tuple(self.disk_copies)
            ),
            len(self.running_requests),
            len(self._queue),
        )

    def _list_loaded_models(self) -> tuple[targets.LoadedModel, ...]:
        return tuple(
            targets.LoadedModel(model, tuple(sorted(adapters)))
            for model, adapters in self.loaded_adapters.items()
        )

    def get_status(self) -> orders.Status:
        """Returns the status as of `STATUS_LAG_S` ago, or the oldest one."""
        latest_s = self._loop.now_s - STATUS_LAG_S
        lagged_status: Any = None
        for recorded_at_s, status in self._status_history:
            if recorded_at_s <= latest_s:
                lagged_status = status
        return lagged_status or self._status_history[0][1]

    def make_description(self) -> targets.Description:
        """Returns the entry of the engine in the target registry."""
        return targets.Description(
            self.target,
            1,
            deployments.ENGINE_SERVICE,
            self.address,
            self._zone,
            self._deployment.slots,
            models=self._list_loaded_models(),
            copies=targets.CachedCopies(
                tuple(self.memory_copies), tuple(self.disk_copies)
            ),
        )

    def record_initial_status(self) -> None:
        """Records the initial status."""
        self._record_status()


def place_initial_models(
    deployment: deployments.Deployment,
    models: list[deployments.EmulatedModel],
    engines: list[Engine],
    hot_models: list[ids.ModelName],
    loop: event_loop.EventLoop,
) -> None:
    """Places models and cached copies as the platform does at the start."""
    rng = loop.rng
    sizes_mb = {model.spec.name: model.spec.size_mb for model in models}
    names = [model.spec.name for model in models]
    ranking = list(hot_models)
    other_models = [name for name in names if name not in hot_models]
    rng.shuffle(other_models)
    ranking += other_models
    # The models that are hot at the start are listed twice and get up to two
    # replicas, the others one.
    unplaced = hot_models[: deployment.hot_model_count] + ranking
    shuffled_engines = list(engines)
    rng.shuffle(shuffled_engines)
    for engine in shuffled_engines:
        for _ in range(deployment.initial_models_per_engine):
            for name in unplaced:
                used_mb = sum(
                    sizes_mb[loaded] for loaded in engine.loaded_adapters
                )
                fits = used_mb + sizes_mb[name] <= deployment.memory_mb
                if fits and name not in engine.loaded_adapters:
                    engine.loaded_adapters[name] = set()
                    unplaced.remove(name)
                    break
    for engine in engines:
        copies = [name for name in names if name not in engine.loaded_adapters]
        rng.shuffle(copies)
        free_mb = deployment.disk_cache_mb - sum(
            sizes_mb[loaded] for loaded in engine.loaded_adapters
        )
        for name in copies:
            if sizes_mb[name] <= free_mb:
                engine.disk_copies.append(name)
                free_mb -= sizes_mb[name]
        engine.disk_copies += list(engine.loaded_adapters)
        engine.record_initial_status()
