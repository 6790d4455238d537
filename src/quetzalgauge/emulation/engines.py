"""Emulated model engines and their weight store."""

from collections.abc import Callable
import dataclasses
from typing import Any

from quetzalgauge import ids
from quetzalgauge.core import orders
from quetzalgauge.core import requests
from quetzalgauge.core import targets
from quetzalgauge.emulation import deployments
from quetzalgauge.emulation import world as world_module

STEP_S = 0.00523
STEP_PER_RUN_S = 0.0000037
PROMPT_TOKENS_PER_S = 38_400.0
UNLOAD_S = 0.05
ADAPTER_S = 0.0097
REPORT_LAG_S = 0.1


class WeightStore:
    """Loads share its speed beyond a number of them."""

    def __init__(self, world: world_module.World, at_once: int) -> None:
        self._world = world
        self._at_once = at_once
        self._left: dict[int, tuple[float, Callable[[], None]]] = {}
        self._updated = 0.0
        self._number = 0
        self._generation = 0
        self.loads = 0

    def load(self, seconds: float, done: Callable[[], None]) -> None:
        """Begins a load that takes some seconds at full speed."""
        self.loads += 1
        self._advance()
        self._number += 1
        self._left[self._number] = (seconds, done)
        self._plan()

    def _speed(self) -> float:
        return min(1.0, self._at_once / max(1, len(self._left)))

    def _advance(self) -> None:
        passed = (self._world.seconds - self._updated) * self._speed()
        self._updated = self._world.seconds
        self._left = {
            number: (left - passed, done)
            for number, (left, done) in self._left.items()
        }

    def _plan(self) -> None:
        self._generation += 1
        if not self._left:
            return
        generation = self._generation
        soonest = min(left for left, _ in self._left.values())
        self._world.after(
            soonest / self._speed(), lambda: self._finish(generation)
        )

    def _finish(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        finished = [
            number for number, (left, _) in self._left.items() if left <= 1e-9
        ]
        calls = [self._left.pop(number)[1] for number in finished]
        self._plan()
        for call in calls:
            call()


@dataclasses.dataclass(slots=True)
class Run:
    """A request on an engine."""

    model: ids.ModelName
    adapter: ids.AdapterName | None
    prompt_tokens: float
    output_tokens: float
    started: Callable[[], None]
    ended: Callable[[requests.Failure | None], None]
    cancelled: bool = False


class Engine:
    """One emulated engine."""

    def __init__(
        self,
        world: world_module.World,
        store: WeightStore,
        deployment: deployments.Deployment,
        models: dict[ids.ModelName, deployments.DrawnModel],
        target: ids.TargetId,
        zone: ids.AvailabilityZone,
    ) -> None:
        self._world = world
        self._store = store
        self._deployment = deployment
        self._models = models
        self.target = target
        self._zone = zone
        self.loaded: dict[ids.ModelName, set[ids.AdapterName]] = {}
        self._closing: set[ids.ModelName] = set()
        self._coming: set[tuple[ids.ModelName, ids.AdapterName]] = set()
        self._recent: dict[tuple[ids.ModelName, ids.AdapterName], None] = {}
        self.memory: list[ids.ModelName] = []
        self.disk: list[ids.ModelName] = []
        self.running: list[Run] = []
        self._queue: list[Run] = []
        self.busy = False
        self._busy_since = 0.0
        self.busy_s = 0.0
        self.taken = 0
        self._unload_done: Callable[[], None] | None = None
        self._unloading: ids.ModelName | None = None
        self._history: list[tuple[float, orders.Status]] = []
        self.crashed = False
        self._read_until = 0.0
        self.on_change: Callable[[], None] = lambda: None

    # ---- Orders

    def take_order(self, order: orders.Order) -> orders.Outcome:
        """Takes an order."""
        if self.busy or order.expected_sequence_number != self.taken:
            return orders.Outcome.CONFLICT
        if order.adapter is not None:
            return self._take_adapter_order(order)
        if order.operation is orders.Operation.LOAD:
            if order.model in self.loaded:
                return orders.Outcome.ALREADY_DONE
            self._begin_load(order.model)
        else:
            if order.model not in self.loaded:
                return orders.Outcome.ALREADY_DONE
            self._begin_unload(order.model)
        self.taken += 1
        self._note()
        return orders.Outcome.ACCEPTED

    def _take_adapter_order(self, order: orders.Order) -> orders.Outcome:
        assert order.adapter is not None
        key = (order.model, order.adapter)
        if order.model not in self.loaded:
            return orders.Outcome.INVALID
        held = self.loaded[order.model]
        if order.operation is orders.Operation.UNLOAD:
            if order.adapter not in held:
                return orders.Outcome.ALREADY_DONE
            held.discard(order.adapter)
            self.taken += 1
            self._note()
            return orders.Outcome.ALREADY_DONE
        if order.adapter in held or key in self._coming:
            return orders.Outcome.ALREADY_DONE
        count = sum(len(one) for one in self.loaded.values())
        if count + len(self._coming) >= self._deployment.adapter_slots:
            self.crashed = True
            raise AssertionError(f"{self.target}: too many adapters")
        self._coming.add(key)
        seconds = ADAPTER_S / 10 if key in self._recent else ADAPTER_S
        self._world.after(seconds, lambda: self._adapter_done(key))
        self.taken += 1
        self._note()
        return orders.Outcome.ACCEPTED

    def _adapter_done(self, key: tuple[ids.ModelName, ids.AdapterName]) -> None:
        self._coming.discard(key)
        if key[0] in self.loaded:
            self.loaded[key[0]].add(key[1])
            self._recent[key] = None
        self._note()

    def _begin_load(self, model: ids.ModelName) -> None:
        spec = self._models[model].spec
        used = sum(self._models[one].spec.size_mb for one in self.loaded)
        if used + spec.size_mb > self._deployment.memory_mb:
            self.crashed = True
            raise AssertionError(f"{self.target}: out of memory")
        self._set_busy(True)
        done = lambda: self._load_done(model)  # noqa: E731
        if model in self.memory:
            self._world.after(spec.memory_load_time.total_seconds(), done)
        elif model in self.disk:
            self._world.after(spec.disk_load_time.total_seconds(), done)
        else:
            self._store.load(spec.store_load_time.total_seconds(), done)

    def _load_done(self, model: ids.ModelName) -> None:
        self.loaded[model] = set()
        self._keep_copy(self.memory, model, self._deployment.host_mb)
        self._keep_copy(self.disk, model, self._deployment.disk_mb)
        self._set_busy(False)
        self._note()
        self.on_change()

    def _keep_copy(
        self, copies: list[ids.ModelName], model: ids.ModelName, limit: float
    ) -> None:
        if model in copies:
            copies.remove(model)
        copies.append(model)
        while (
            sum(self._models[one].spec.size_mb for one in copies) > limit
            and len(copies) > 1
        ):
            copies.pop(0)

    def _begin_unload(self, model: ids.ModelName) -> None:
        self._set_busy(True)
        self._unloading = model
        self._closing.add(model)
        self._end_unload_if_idle()

    def _end_unload_if_idle(self) -> None:
        model = self._unloading
        if model is None or any(run.model == model for run in self.running):
            return
        self._unloading = None
        self._world.after(UNLOAD_S, lambda: self._unload_done_for(model))

    def _unload_done_for(self, model: ids.ModelName) -> None:
        self._closing.discard(model)
        del self.loaded[model]
        self._set_busy(False)
        self._note()
        self.on_change()

    def _set_busy(self, busy: bool) -> None:
        if self.busy:
            self.busy_s += self._world.seconds - self._busy_since
        self.busy = busy
        self._busy_since = self._world.seconds

    # ---- Requests

    def submit(self, run: Run) -> requests.Failure | None:
        """Takes a request; returns a failure if it does not run."""
        if run.model not in self.loaded:
            return requests.Failure.NOT_LOADED
        if run.model in self._closing:
            return requests.Failure.FULL
        if run.adapter is not None and (
            run.adapter not in self.loaded[run.model]
        ):
            if (run.model, run.adapter) in self._coming:
                return requests.Failure.FULL
            return requests.Failure.NOT_LOADED
        if len(self.running) >= self._deployment.slots:
            if len(self._queue) >= self._deployment.queue:
                return requests.Failure.FULL
            self._queue.append(run)
            return None
        self._start(run)
        return None

    def cancel(self, run: Run) -> None:
        """Ends a request early."""
        run.cancelled = True
        if run in self._queue:
            self._queue.remove(run)
        if run in self.running:
            self._leave(run)

    def _start(self, run: Run) -> None:
        self.running.append(run)
        # All models of an engine share its batch, so the slowest sets the pace.
        pace = max(self._models[one].pace for one in self.loaded)
        step = STEP_S * pace + STEP_PER_RUN_S * len(self.running)
        # Prompts are read one after the other.
        reading = run.prompt_tokens / PROMPT_TOKENS_PER_S
        self._read_until = max(self._read_until, self._world.seconds) + reading
        first = self._read_until - self._world.seconds + 0.002 + step
        whole = first + run.output_tokens * step
        self._world.after(first, lambda: self._first(run))
        self._world.after(whole, lambda: self._end(run))

    def _first(self, run: Run) -> None:
        if not run.cancelled:
            run.started()

    def _end(self, run: Run) -> None:
        if run.cancelled:
            return
        self._leave(run)
        run.ended(None)

    def _leave(self, run: Run) -> None:
        self.running.remove(run)
        self._end_unload_if_idle()
        while self._queue and len(self.running) < self._deployment.slots:
            waiting = self._queue.pop(0)
            if waiting.model in self.loaded:
                self._start(waiting)
            else:
                waiting.ended(requests.Failure.NOT_LOADED)

    # ---- What it says of itself

    def _note(self) -> None:
        self._history.append((self._world.seconds, self._make_status()))
        del self._history[:-50]

    def _make_status(self) -> orders.Status:
        return orders.Status(
            self.taken,
            self.busy,
            self._loaded_models(),
            tuple(self._coming),
            targets.CachedCopies(tuple(self.memory), tuple(self.disk)),
            len(self.running),
            len(self._queue),
        )

    def _loaded_models(self) -> tuple[targets.LoadedModel, ...]:
        return tuple(
            targets.LoadedModel(model, tuple(sorted(adapters)))
            for model, adapters in self.loaded.items()
        )

    def report(self) -> orders.Status:
        """Returns the status of a moment ago."""
        then = self._world.seconds - REPORT_LAG_S
        found: Any = None
        for at, status in self._history:
            if at <= then:
                found = status
        return found or self._history[0][1]

    def describe(self) -> targets.Description:
        """Returns the entry in the register."""
        return targets.Description(
            self.target,
            1,
            deployments.ENGINE_SERVICE,
            f"{self.target}:1",
            self._zone,
            self._deployment.slots,
            models=self._loaded_models(),
            copies=targets.CachedCopies(tuple(self.memory), tuple(self.disk)),
        )

    def start(self) -> None:
        """Notes the first state."""
        self._note()


def place_at_start(
    deployment: deployments.Deployment,
    models: list[deployments.DrawnModel],
    engines: list[Engine],
    busy: list[ids.ModelName],
    world: world_module.World,
) -> None:
    """Places models and copies as the platform does at the start."""
    draw = world.draw
    sizes = {one.spec.name: one.spec.size_mb for one in models}
    names = [one.spec.name for one in models]
    order = list(busy)
    rest = [name for name in names if name not in busy]
    draw.shuffle(rest)
    order += rest
    # The busy models come up several times, the others once.
    wanted = busy[: deployment.busy_now] + order
    shuffled = list(engines)
    draw.shuffle(shuffled)
    for engine in shuffled:
        for _ in range(deployment.resident):
            for name in wanted:
                used = sum(sizes[one] for one in engine.loaded)
                fits = used + sizes[name] <= deployment.memory_mb
                if fits and name not in engine.loaded:
                    engine.loaded[name] = set()
                    wanted.remove(name)
                    break
    for engine in engines:
        copies = [name for name in names if name not in engine.loaded]
        draw.shuffle(copies)
        room = deployment.disk_mb - sum(sizes[one] for one in engine.loaded)
        for name in copies:
            if sizes[name] <= room:
                engine.disk.append(name)
                room -= sizes[name]
        engine.disk += list(engine.loaded)
        engine.start()
