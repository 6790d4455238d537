"""Which model to load on which target, and what has to make way for it.

The pattern answered: far more models than fit, asked for rarely but wanted
within seconds. A target loads one model at a time, so its time is what is
scarce. Each possible load is worth the requests that it serves in time, less
what it takes away, for each second that it keeps the target busy; the best
one goes first. All requests for a model ride on one load.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import itertools
import math
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import demand
from quetzalgauge.core import stock

# Worth of a request that is served later than its caller wants, as a share of
# one served in time (the callers' tables give 0.15 to 0.3).
LATE_WORTH = 0.15
# Expected requests over this time count for a model that stays loaded.
HORIZON_S = 2.0
# Expected requests over this time count for a copy brought from the weight
# store, since later loads of that model are short.
COPY_HORIZON_S = 15.0
# Worth of the first, the second copy and so on, of that of the only one: the
# target with the only copy is often busy with other models.
COPY_SHARES = (1.0, 0.3)
# Pressure from which on targets have no time for further copies.
IDLE_PRESSURE = 0.1
# A model with more requests a second than this should be loaded in each zone.
BUSY_RATE = 1.5
# Worth of the first replica of a busy model in a zone.
REPLICA_WORTH = 0.25
# Worth of keeping the last replica of a busy model in a zone.
LAST_REPLICA_WORTH = 1.0
# Share of the expected requests that a further replica is worth.
SPARE_SHARE = 0.03
# What is loaded must be worth this many times what makes way, since rates are
# estimates and a swap takes time from both.
SWAP_GAIN = 1.3
# A load in advance must be worth this many times what it takes away.
SPARE_GAIN = 2.0
# Worth of a second of a target's time, which other loads would use.
TIME_COST = 0.3
# Share of the requests for adapters whose adapter is not on the target.
ADAPTER_MISSES = 0.5
# Targets that are fuller than this share of their slots are crowded.
CROWDED = 0.6
# A model that was loaded a moment ago stays until its requests have come.
SHORTEST_STAY = datetime.timedelta(milliseconds=300)
# Usual rest of a request that is running when its model is to be unloaded.
RUN_REST = datetime.timedelta(seconds=1.5)
# A target that could do it sooner by more than this is waited for.
WAIT_GAIN = datetime.timedelta(milliseconds=250)
# What was asked for and served nowhere for longer than this gains worth with
# time, so that a rate too low to be worth a swap is not refused for ever.
UNSERVED_TIME = datetime.timedelta(seconds=5)
# Most models that make way for one.
MAX_VICTIMS = 2

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Scene:
    """What a choice depends on.

    Attributes:
        stocks: The targets that the holder orders.
        planned: For each target on which room is being made, for which model.
        wishes: For each wanted model, when its requests become late.
        busy: Models that are asked for often, also if all requests for them
            are refused because nobody has them.
        rate: Requests a second for a model.
        running: Requests in progress.
        elsewhere: Number of replicas of a model outside the zone.
        copies_elsewhere: Number of other targets of the region that have a
            copy of a model, besides the given one.
        crowding: How full the emptiest target with a model is, as a share of
            its slots.
        adapter_rate: Requests a second for adapters of a model.
        orderable: Number of targets of the region that have a model and can
            get an order soon.
        stranded_rate: Requests a second for adapters of a model that no such
            target has, though others have it.
        guards: Whether a target is the one of the region that stays free to
            fetch adapters of a model.
        fetched: Whether a target brings a model from the weight store.
        refused: Models that were asked for and that no target has or can load
            but from the weight store. Most callers do not wait for that.
        unserved_for: How long a model has been asked for while no target had
            it.
        store_loads: Loads from the weight store that may begin now.
        pressure: From 0, where targets have time to spare, to 1.
        first_share: Which of the models that nobody waits for comes first, as
            a share of their number. It differs between zones, so that they do
            not choose the same one of several equal ones at the same moment.
    """

    stocks: Sequence[stock.Stock]
    planned: Mapping[ids.TargetId, ids.ModelName]
    wishes: Mapping[ids.ModelName, Sequence[datetime.timedelta]]
    busy: Sequence[ids.ModelName]
    rate: Callable[[ids.ModelName], float]
    running: demand.RunningCounts
    elsewhere: Callable[[ids.ModelName], int]
    copies_elsewhere: Callable[[ids.ModelName, ids.TargetId], int]
    crowding: Callable[[ids.ModelName], float]
    adapter_rate: Callable[[ids.ModelName], float]
    orderable: Callable[[ids.ModelName], int]
    stranded_rate: Callable[[ids.ModelName], float]
    guards: Callable[[ids.TargetId, ids.ModelName], bool]
    fetched: Callable[[ids.ModelName], bool]
    refused: Collection[ids.ModelName]
    unserved_for: Callable[[ids.ModelName], datetime.timedelta]
    store_loads: int
    pressure: float
    first_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A load that is worth beginning.

    Attributes:
        stock: The target.
        model: The model to load.
        victims: Models to unload first.
        ready_at: When the model is expected to take requests.
        score: Worth for each second of the target's time.
        why: What the load is for.
    """

    stock: stock.Stock
    model: ids.ModelName
    victims: tuple[ids.ModelName, ...]
    ready_at: datetime.timedelta
    score: float
    why: str


# Chooses a load, as `choose` does.
Chooser: TypeAlias = Callable[[Scene, datetime.timedelta, bool], Choice | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Room:
    victims: tuple[ids.ModelName, ...]
    loss: float
    wait: datetime.timedelta


def choose(
    scene: Scene, now: datetime.timedelta, spares: bool
) -> Choice | None:
    """Returns the best load that can begin now, None if none is worth it.

    Args:
        scene: What the choice depends on.
        now: The time.
        spares: Whether models that nobody waits for count.
    """
    free = [
        one
        for one in scene.stocks
        if one.can_order(now) and one.target not in scene.planned
    ]
    if not free or not (spares or scene.wishes or scene.busy):
        return None
    rooms = _Rooms(scene, now)
    best: Choice | None = None
    for model in _wanted(scene, spares):
        choice = _choose_for(scene, rooms, free, model, now, spares)
        if choice is not None and (best is None or choice.score > best.score):
            best = choice
    return best


def _choose_for(
    scene: Scene,
    rooms: "_Rooms",
    free: Sequence[stock.Stock],
    model: ids.ModelName,
    now: datetime.timedelta,
    spares: bool,
) -> Choice | None:
    """Returns the best load of one model that can begin now."""
    # Loads from the store that nobody waits for are compared all together.
    may_fetch = (
        scene.store_loads > 0
        and (spares or model in scene.wishes)
        and not scene.fetched(model)
    )
    choices = [
        choice
        for one in free
        if model not in one.replicas
        and (may_fetch or one.has_copy(model))
        and (choice := _weigh(scene, rooms, one, model, now)) is not None
    ]
    if not choices:
        return None
    # A target that is busy but does it much sooner is waited for.
    soonest = min(
        [choice.ready_at for choice in choices]
        + [
            one.free_at + one.load_time(model)
            for one in scene.stocks
            if one not in free and _may_serve(one, model)
        ]
    )
    return max(
        (one for one in choices if one.ready_at <= soonest + WAIT_GAIN),
        key=lambda choice: choice.score,
        default=None,
    )


def _may_serve(one: stock.Stock, model: ids.ModelName) -> bool:
    """Whether a busy target can be expected to load a model next."""
    return (
        one.is_known
        and model in one.engine.models
        and not one.description.is_draining
        and len(one.replicas) > 1
    )


def _wanted(scene: Scene, spares: bool) -> list[ids.ModelName]:
    """Returns the models that are not loaded here and might be."""
    here = {
        name
        for one in scene.stocks
        for name in one.replicas
        if scene.crowding(name) < CROWDED and not scene.stranded_rate(name)
    }
    names: dict[ids.ModelName, None] = dict.fromkeys(scene.wishes)
    names.update(dict.fromkeys(scene.busy))
    if spares:
        for one in scene.stocks:
            models = list(one.engine.models)
            first = int(len(models) * scene.first_share)
            names.update(dict.fromkeys(models[first:] + models[:first]))
    here.update(scene.planned.values())
    return [name for name in names if name not in here]


class _Rooms:
    """What loads take away on each target; valid for one choice."""

    def __init__(self, scene: Scene, now: datetime.timedelta) -> None:
        self._scene = scene
        self._now = now
        self._rooms: dict[tuple[ids.TargetId, float], _Room | None] = {}
        self._only_here: dict[ids.TargetId, float] = {}

    def of(self, one: stock.Stock, size_mb: float) -> _Room | None:
        key = (one.target, size_mb)
        if key not in self._rooms:
            self._rooms[key] = _make_room(self._scene, one, size_mb, self._now)
        return self._rooms[key]

    def only_here(self, one: stock.Stock) -> float:
        """Returns requests a second that only this target's copies serve."""
        if one.target not in self._only_here:
            self._only_here[one.target] = _rate_only_here(self._scene, one)
        return self._only_here[one.target]


def _weigh(
    scene: Scene,
    rooms: _Rooms,
    one: stock.Stock,
    model: ids.ModelName,
    now: datetime.timedelta,
) -> Choice | None:
    """Returns a load on a target if it is worth what it costs."""
    spec = one.engine.models.get(model)
    from_store = not one.has_copy(model)
    if spec is None:
        return None
    room = rooms.of(one, spec.size_mb)
    if room is None:
        return None
    unloading = stock.UNLOAD_TIME * len(room.victims)
    ready_at = now + room.wait + unloading + one.load_time(model)
    gain, why = _gain(scene, one, model, ready_at, from_store)
    seconds = (ready_at - now).total_seconds()
    loss = room.loss + _adapter_loss(scene, one, room.victims, seconds)
    loss += seconds * TIME_COST * scene.pressure
    if from_store:
        loss += _copy_loss(scene, one, spec.size_mb)
        loss += rooms.only_here(one) * seconds
    if gain <= loss:
        return None
    if why in ("spare", "copy") and gain < SPARE_GAIN * loss:
        return None
    if gain <= room.loss * SWAP_GAIN:
        return None
    return Choice(
        one,
        model,
        room.victims,
        ready_at,
        (gain - loss) / max(0.05, seconds),
        why,
    )


def _adapter_loss(
    scene: Scene,
    one: stock.Stock,
    victims: Iterable[ids.ModelName],
    seconds: float,
) -> float:
    """Returns what is late because a busy target fetches no adapters."""
    rate = sum(
        scene.adapter_rate(name)
        for name in one.replicas
        if name not in victims and scene.guards(one.target, name)
    )
    return rate * seconds * ADAPTER_MISSES * (1.0 - LATE_WORTH)


def _rate_only_here(scene: Scene, one: stock.Stock) -> float:
    """Returns the rate of models that no other target has or could load.

    They cannot be loaded while this target brings another model from the
    weight store.
    """
    here = {name for other in scene.stocks for name in other.replicas}
    return sum(
        scene.rate(name)
        for name in dict.fromkeys(one.copies.in_memory + one.copies.on_disk)
        if name not in here
        and not scene.elsewhere(name)
        and not scene.copies_elsewhere(name, one.target)
    )


def _copy_loss(scene: Scene, one: stock.Stock, size_mb: float) -> float:
    """Returns the worth of last copies that a copy would push out."""
    engine = one.engine
    sizes = {
        name: engine.models[name].size_mb
        for name in one.copies.on_disk
        if name in engine.models
    }
    missing = size_mb - (engine.disk_copies_mb - sum(sizes.values()))
    loss = 0.0
    for name in one.copies.on_disk:
        if missing <= 0:
            break
        missing -= sizes.get(name, 0.0)
        share = _copy_share(scene.copies_elsewhere(name, one.target))
        loss += scene.rate(name) * COPY_HORIZON_S * share
    return loss


def _gain(
    scene: Scene,
    one: stock.Stock,
    model: ids.ModelName,
    ready_at: datetime.timedelta,
    from_store: bool,
) -> tuple[float, str]:
    """Returns what a load is worth, and what it is for."""
    waiting = scene.wishes.get(model, ())
    stranded = scene.stranded_rate(model)
    is_here = any(model in other.replicas for other in scene.stocks)
    if is_here:
        # What waits for a crowded model waits for a place, not for a load.
        waiting = ()
    gain = sum(
        1.0 if late_at >= ready_at else LATE_WORTH for late_at in waiting
    )
    why = "waiting" if waiting else "spare"
    rate = scene.rate(model)
    elsewhere = scene.elsewhere(model)
    is_busy = rate >= BUSY_RATE
    if is_busy and not waiting:
        why = "busy"
    if stranded:
        gain += stranded * ADAPTER_MISSES * HORIZON_S
        why = why if waiting else "adapters"
    # Plain requests are served by a stranded replica, also by one here.
    if not elsewhere and not (is_here and stranded):
        gain += rate * HORIZON_S
    elif is_busy and elsewhere:
        gain += REPLICA_WORTH / elsewhere
        gain += rate * HORIZON_S * _crowd(scene.crowding(model))
    elif not waiting and not stranded:
        return 0.0, why
    if from_store:
        copies = scene.copies_elsewhere(model, one.target)
        share = _copy_share(copies)
        if copies:
            # A further copy is for idle time only.
            share *= max(0.0, 1.0 - scene.pressure / IDLE_PRESSURE)
        gain += rate * COPY_HORIZON_S * share
        if share and not waiting:
            why = "refused" if model in scene.refused else "copy"
    return gain * max(1.0, scene.unserved_for(model) / UNSERVED_TIME), why


def _copy_share(others: int) -> float:
    """Returns what a copy is worth beside others, of what the only one is."""
    return COPY_SHARES[others] if others < len(COPY_SHARES) else 0.0


def _make_room(
    scene: Scene, one: stock.Stock, size_mb: float, now: datetime.timedelta
) -> _Room | None:
    """Returns the cheapest models to unload, None if there is no way."""
    missing = size_mb - one.free_mb(now)
    if missing <= 0:
        return _Room((), 0.0, _ZERO)
    candidates = [
        name
        for name, replica in one.replicas.items()
        if replica.state is stock.State.READY
        and now - replica.ready_at >= SHORTEST_STAY
        and name not in scene.wishes
    ]
    rooms = [
        _room_of(scene, one, names)
        for count in range(1, MAX_VICTIMS + 1)
        for names in itertools.combinations(candidates, count)
        if _size(one, names) >= missing
    ]
    return min(
        rooms,
        key=lambda room: (
            room.loss + room.wait.total_seconds(),
            len(room.victims),
        ),
        default=None,
    )


def _room_of(
    scene: Scene, one: stock.Stock, names: Iterable[ids.ModelName]
) -> _Room:
    loss = 0.0
    wait = _ZERO
    for name in names:
        loss += _loss(scene, name)
        runs = scene.running.count_for_model(one.target, name)
        if runs:
            # The longest of several runs decides.
            wait = max(wait, RUN_REST * (1.0 + math.log(runs)))
    return _Room(tuple(names), loss, wait)


def _loss(scene: Scene, name: ids.ModelName) -> float:
    """Returns what the unload of a model takes away."""
    loss = _request_loss(scene, name)
    if scene.orderable(name) <= 1:
        # Nobody could fetch adapters of it any more.
        adapters = scene.adapter_rate(name) * ADAPTER_MISSES
        loss = max(loss, adapters * HORIZON_S)
    return loss


def _request_loss(scene: Scene, name: ids.ModelName) -> float:
    """Returns what is late with one replica less, whatever is asked for."""
    rate = scene.rate(name)
    expected = rate * HORIZON_S
    here = sum(name in other.replicas for other in scene.stocks) - 1
    elsewhere = scene.elsewhere(name)
    if not here and not elsewhere:
        return expected
    # The other targets would have to take what this one does.
    others = here + elsewhere
    crowd = _crowd(scene.crowding(name) * (others + 1) / others)
    if crowd:
        return max(expected * crowd, expected * SPARE_SHARE)
    if not here and rate >= BUSY_RATE:
        return max(LAST_REPLICA_WORTH / elsewhere, expected * SPARE_SHARE)
    return expected * SPARE_SHARE


def _crowd(share: float) -> float:
    """Returns the share of requests that are late on targets so full."""
    return min(1.0, max(0.0, (share - CROWDED) / (1.0 - CROWDED)))


def _size(one: stock.Stock, names: Iterable[ids.ModelName]) -> float:
    """Returns the memory that the unload of models gives back."""
    total = 0.0
    for name in names:
        spec = one.engine.models.get(name)
        if spec is None:
            total += one.engine.memory_mb
            continue
        total += spec.size_mb
        total += spec.adapter_mb * sum(key[0] == name for key in one.adapters)
    return total
