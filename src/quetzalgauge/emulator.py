"""Replays a trace against the real control core on an emulated clock.

The emulator has the log, model engines with three checkpoint tiers, the weight
store and the queues of the entry processes, each as small as the measurement
of cold-start time and idle accelerator hours allows. It delivers every message
and has no faults but those that an experiment schedules.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import datetime
import functools
import heapq
import itertools
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import traces

_GIB = 1 << 30
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model of the emulated deployment."""

    name: ids.ModelName
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """The emulated deployment.

    Attributes:
        zones: Availability zones, by name.
        targets: Zone of each target.
        entries: Zone of each entry instance.
        target_memory_bytes: Accelerator memory of each target.
        accelerators: Accelerators of each target.
        host_cache_bytes: Checkpoints that a target keeps in host memory.
        disk_cache_bytes: Checkpoints that a target keeps on disk.
        max_running: Requests that a replica works on at once.
    """

    zones: Sequence[ids.AvailabilityZone]
    region: ids.Region
    targets: Sequence[ids.AvailabilityZone]
    entries: Sequence[ids.AvailabilityZone]
    models: Sequence[ModelSpec]
    target_memory_bytes: int = 48 * _GIB
    accelerators: int = 2
    host_cache_bytes: int = 32 * _GIB
    disk_cache_bytes: int = 96 * _GIB
    max_running: int = 16

    def target_names(self) -> list[ids.TargetId]:
        """Returns the targets' ids, in the order of `targets`."""
        return [ids.TargetId(f"target-{n}") for n in range(len(self.targets))]


class Clock:
    """A queue of calls in order of time."""

    def __init__(self) -> None:
        self._now = _ZERO
        self._queue: list[
            tuple[datetime.timedelta, int, Callable[[], None]]
        ] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> datetime.timedelta:
        """The emulated time."""
        return self._now

    def call_at(
        self, when: datetime.timedelta, call: Callable[[], None]
    ) -> None:
        """Runs a call at a time, after those that were added for it before."""
        item = (max(when, self._now), next(self._numbers), call)
        heapq.heappush(self._queue, item)

    def call_after(
        self, delay: datetime.timedelta, call: Callable[[], None]
    ) -> None:
        """Runs a call after a delay."""
        self.call_at(self._now + delay, call)

    def run_until(self, end: datetime.timedelta) -> None:
        """Runs every call up to a time."""
        while self._queue and self._queue[0][0] <= end:
            when, _, call = heapq.heappop(self._queue)
            self._now = when
            call()
        self._now = end


class Store:
    """The weight store: a rate of starts, full speed for a few at once.

    Beyond `at_once` each download takes proportionally longer. The factor is
    fixed when a download starts, which keeps the emulator small.
    """

    RATE_PER_SECOND = 4
    AT_ONCE = 4
    BYTES_PER_SECOND = 0.4 * _GIB

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._active = 0
        self._next_start = _ZERO
        self.slow_factor = 1.0

    def download(self, size: int, done: Callable[[], None]) -> None:
        """Calls `done` when a checkpoint has arrived."""
        start = max(self._clock.now, self._next_start)
        gap = datetime.timedelta(seconds=1 / self.RATE_PER_SECOND)
        self._next_start = start + gap
        self._clock.call_at(start, lambda: self._begin(size, done))

    def _begin(self, size: int, done: Callable[[], None]) -> None:
        self._active += 1
        factor = max(1.0, self._active / self.AT_ONCE) * self.slow_factor
        seconds = size / self.BYTES_PER_SECOND * factor

        def finish() -> None:
            self._active -= 1
            done()

        self._clock.call_after(datetime.timedelta(seconds=seconds), finish)


class _Cache:
    """Checkpoints by last use, bounded by their size."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._sizes: collections.OrderedDict[ids.ModelName, int] = (
            collections.OrderedDict()
        )

    def __contains__(self, model: ids.ModelName) -> bool:
        return model in self._sizes

    def __iter__(self) -> Iterator[ids.ModelName]:
        return iter(self._sizes)

    def use(self, model: ids.ModelName, size: int) -> None:
        self._sizes[model] = size
        self._sizes.move_to_end(model)
        while sum(self._sizes.values()) > self._capacity:
            self._sizes.popitem(last=False)


@dataclasses.dataclass(slots=True)
class Loaded:
    """A model on an engine."""

    spec: ModelSpec
    state: messages.ReplicaState
    slot: ids.SlotId
    order_id: str
    running: int = 0
    ready_at: datetime.timedelta = _ZERO
    idle_since: datetime.timedelta = _ZERO


class Engine:
    """A model engine. Raises AssertionError when its memory is overcommitted.

    Attributes:
        loads: Loads that were started, by tier.
        idle_accelerator_seconds: Share of the accelerators' time that loaded
            models held with no request running.
    """

    DISK_BYTES_PER_SECOND = 2.0 * _GIB
    MEMORY_BYTES_PER_SECOND = 10.0 * _GIB
    START = datetime.timedelta(seconds=1)

    def __init__(
        self, name: ids.TargetId, site: Site, clock: Clock, store: Store
    ) -> None:
        self.name = name
        self._site = site
        self._clock = clock
        self._store = store
        self._host = _Cache(site.host_cache_bytes)
        self._disk = _Cache(site.disk_cache_bytes)
        self.models: dict[ids.ModelName, Loaded] = {}
        self.is_wanted: Callable[[ids.ModelName], bool] = lambda _: False
        self.on_ready: list[Callable[[], None]] = []
        self.loads: collections.Counter[messages.CacheTier] = (
            collections.Counter()
        )
        self.idle_accelerator_seconds = 0.0
        self.fencing_number = ids.FencingNumber(-1)

    @property
    def used_bytes(self) -> int:
        """Accelerator memory in use."""
        return sum(loaded.spec.memory_bytes for loaded in self.models.values())

    def tier(self, model: ids.ModelName) -> messages.CacheTier:
        """Returns the nearest tier that has a model's checkpoint."""
        if model in self._host:
            return messages.CacheTier.MEMORY
        if model in self._disk:
            return messages.CacheTier.DISK
        return messages.CacheTier.REMOTE

    def cached(self) -> dict[ids.ModelName, messages.CacheTier]:
        """Returns the tier of each checkpoint that is cached."""
        names = {*self._disk, *self._host}
        return {name: self.tier(name) for name in sorted(names)}

    def fill_disk(self, spec: ModelSpec) -> None:
        """Puts a checkpoint on the target's disk before the trace starts."""
        self._disk.use(spec.name, spec.memory_bytes)

    def load_time(self, spec: ModelSpec) -> datetime.timedelta:
        """Returns the time of a load at full speed."""
        speed = {
            messages.CacheTier.MEMORY: self.MEMORY_BYTES_PER_SECOND,
            messages.CacheTier.DISK: self.DISK_BYTES_PER_SECOND,
            messages.CacheTier.REMOTE: Store.BYTES_PER_SECOND,
        }[self.tier(spec.name)]
        seconds = spec.memory_bytes / speed
        return self.START + datetime.timedelta(seconds=seconds)

    def load(self, spec: ModelSpec, slot: ids.SlotId, order_id: str) -> None:
        """Starts a load; a no-op if the model is there already."""
        if spec.name in self.models:
            return
        tier = self.tier(spec.name)
        self.loads[tier] += 1
        loaded = Loaded(spec, messages.ReplicaState.LOADING, slot, order_id)
        loaded.ready_at = self._clock.now + self.load_time(spec)
        # The time of a load that nobody waits for counts as idle.
        loaded.idle_since = self._clock.now
        self.models[spec.name] = loaded
        total = self._site.target_memory_bytes
        assert self.used_bytes <= total, f"{self.name} is overcommitted"

        def finish() -> None:
            if self.models.get(spec.name) is loaded:
                self._become_ready(loaded)

        if tier is messages.CacheTier.REMOTE:
            self._store.download(
                spec.memory_bytes,
                lambda: self._clock.call_after(self.START, finish),
            )
        else:
            self._clock.call_after(self.load_time(spec), finish)

    def _become_ready(self, loaded: Loaded) -> None:
        loaded.state = messages.ReplicaState.READY
        loaded.ready_at = self._clock.now
        if self.is_wanted(loaded.spec.name):
            loaded.idle_since = self._clock.now
        self._count_idle(loaded)
        self._host.use(loaded.spec.name, loaded.spec.memory_bytes)
        self._disk.use(loaded.spec.name, loaded.spec.memory_bytes)
        for call in self.on_ready:
            call()

    def unload(self, model: ids.ModelName) -> None:
        """Starts a graceful unload."""
        loaded = self.models.get(model)
        if loaded is None:
            return
        if loaded.state is messages.ReplicaState.READY:
            self._count_idle(loaded)
        loaded.state = messages.ReplicaState.UNLOADING
        self._finish_unload(loaded)

    def _finish_unload(self, loaded: Loaded) -> None:
        if loaded.running == 0:
            self.models.pop(loaded.spec.name, None)

    def is_available(self, model: ids.ModelName) -> bool:
        """Whether the model takes another request now."""
        loaded = self.models.get(model)
        return (
            loaded is not None
            and loaded.state is messages.ReplicaState.READY
            and loaded.running < self._site.max_running
        )

    def start(
        self,
        request: traces.Request,
        done: Callable[[], None],
    ) -> None:
        """Runs a request on a model that is available."""
        loaded = self.models[request.model]
        if loaded.running == 0:
            self._count_idle(loaded)
        loaded.running += 1

        def finish() -> None:
            loaded.running -= 1
            if loaded.running == 0:
                loaded.idle_since = self._clock.now
            if loaded.state is messages.ReplicaState.UNLOADING:
                self._finish_unload(loaded)
            done()

        self._clock.call_after(request.service, finish)

    def finish_count(self) -> None:
        """Counts idle time up to now; called once, at the end."""
        for loaded in self.models.values():
            if loaded.state is messages.ReplicaState.READY:
                self._count_idle(loaded)

    def _count_idle(self, loaded: Loaded) -> None:
        if loaded.running > 0:
            return
        share = loaded.spec.memory_bytes / self._site.target_memory_bytes
        idle = (self._clock.now - loaded.idle_since).total_seconds()
        self.idle_accelerator_seconds += idle * share * self._site.accelerators
        loaded.idle_since = self._clock.now


@dataclasses.dataclass(slots=True)
class Wait:
    """How long a request waited for a replica."""

    request: traces.Request
    started: datetime.timedelta
    was_cold: bool

    @property
    def wait(self) -> datetime.timedelta:
        """Time from arrival to the start on a replica."""
        return self.started - self.request.arrival


@dataclasses.dataclass(slots=True)
class Result:
    """What one run measured."""

    waits: list[Wait]
    unserved: int
    idle_accelerator_hours: float
    loads: collections.Counter[messages.CacheTier]

    def cold_start_percentile(self, percent: float) -> datetime.timedelta:
        """Returns a percentile of the waits of requests to cold models."""
        cold = sorted(wait.wait for wait in self.waits if wait.was_cold)
        if not cold:
            return _ZERO
        index = min(len(cold) - 1, int(len(cold) * percent / 100))
        return cold[index]

    def wait_percentile(self, percent: float) -> datetime.timedelta:
        """Returns a percentile of the waits of all requests."""
        waits = sorted(wait.wait for wait in self.waits)
        if not waits:
            return _ZERO
        return waits[min(len(waits) - 1, int(len(waits) * percent / 100))]


# A policy is told of each request that waits, and calls back on its own.
Policy: TypeAlias = Callable[["World"], None]


class World:
    """One emulated deployment under one policy."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.clock = Clock()
        self.store = Store(self.clock)
        self.specs = {spec.name: spec for spec in site.models}
        self.engines = {
            name: Engine(name, site, self.clock, self.store)
            for name in site.target_names()
        }
        self.zone_of_target = dict(
            zip(site.target_names(), site.targets, strict=True)
        )
        self.waiting: dict[
            tuple[int, ids.ModelName], collections.deque[traces.Request]
        ] = collections.defaultdict(collections.deque)
        self.last_use: dict[ids.ModelName, datetime.timedelta] = {}
        self.on_arrival: Callable[[traces.Request], None] = lambda _: None
        # Which engines an entry instance may use for a model now.
        self.candidates: Callable[[int, ids.ModelName], list[Engine]] = (
            self._every_engine
        )
        self._running_of: collections.Counter[tuple[int, ids.ModelName]] = (
            collections.Counter()
        )
        self._waits: list[Wait] = []
        self._cold: set[int] = set()
        for engine in self.engines.values():
            engine.is_wanted = self._is_wanted
            engine.on_ready.append(self.dispatch)

    def run(
        self, trace: Sequence[traces.Request], length: datetime.timedelta
    ) -> Result:
        """Replays a trace and returns the measurements."""
        for request in trace:
            self.clock.call_at(
                request.arrival, functools.partial(self._arrive, request)
            )
        self.clock.run_until(length)
        for engine in self.engines.values():
            engine.finish_count()
        idle = sum(
            engine.idle_accelerator_seconds for engine in self.engines.values()
        )
        loads: collections.Counter[messages.CacheTier] = collections.Counter()
        for engine in self.engines.values():
            loads.update(engine.loads)
        unserved = sum(len(queue) for queue in self.waiting.values())
        return Result(self._waits, unserved, idle / 3600, loads)

    def running(self, model: ids.ModelName) -> int:
        """Returns the number of requests running for a model."""
        return sum(
            engine.models[model].running
            for engine in self.engines.values()
            if model in engine.models
        )

    def running_of(self, entry: int, model: ids.ModelName) -> int:
        """Returns the requests of one entry instance running for a model."""
        return self._running_of[entry, model]

    def _is_wanted(self, model: ids.ModelName) -> bool:
        return any(
            queue for (_, name), queue in self.waiting.items() if name == model
        )

    def _every_engine(self, entry: int, model: ids.ModelName) -> list[Engine]:
        return list(self.engines.values())

    def _arrive(self, request: traces.Request) -> None:
        self.last_use[request.model] = self.clock.now
        is_ready = any(
            engine.models[request.model].state is messages.ReplicaState.READY
            for engine in self.engines.values()
            if request.model in engine.models
        )
        if not is_ready:
            self._cold.add(id(request))
        self.waiting[request.entry, request.model].append(request)
        self.dispatch_model(request.entry, request.model)
        if self.waiting[request.entry, request.model]:
            self.on_arrival(request)

    def dispatch(self) -> None:
        """Starts every waiting request that a replica can take."""
        for entry, model in [
            key for key, queue in self.waiting.items() if queue
        ]:
            self.dispatch_model(entry, model)

    def dispatch_model(self, entry: int, model: ids.ModelName) -> None:
        """Starts the waiting requests of one entry instance for one model."""
        queue = self.waiting[entry, model]
        while queue:
            engines = [
                engine
                for engine in self.candidates(entry, model)
                if engine.is_available(model)
            ]
            if not engines:
                return
            engine = min(engines, key=lambda one: one.models[model].running)
            request = queue.popleft()
            was_cold = id(request) in self._cold
            self._waits.append(Wait(request, self.clock.now, was_cold))
            self._running_of[entry, model] += 1
            engine.start(request, functools.partial(self._finish, request))

    def _finish(self, request: traces.Request) -> None:
        self._running_of[request.entry, request.model] -= 1
        self.dispatch()
