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
from quetzalgauge.core import target_state

# Worth of a request that is served later than its caller wants, as a share of
# one served in time (the callers' tables give 0.15 to 0.3).
LATE_REQUEST_VALUE = 0.15
# Expected requests over this time count for a model that stays loaded.
DEMAND_HORIZON_S = 2.0
# Expected requests over this time count for a copy brought from the weight
# store, since later loads of that model are short.
COPY_DEMAND_HORIZON_S = 15.0
# Worth of the first, the second copy and so on, of that of the only one: the
# target with the only copy is often busy with other models.
COPY_VALUE_RATIOS = (1.0, 0.3)
# Pressure from which on targets have no time for further copies.
MAX_IDLE_PRESSURE = 0.1
# A model with more requests a second than this should be loaded in each zone.
HOT_MODEL_RATE = 1.5
# Worth of the first replica of a busy model in a zone.
ZONE_REPLICA_VALUE = 0.25
# Worth of keeping the last replica of a busy model in a zone.
LAST_ZONE_REPLICA_VALUE = 1.0
# Share of the expected requests that a further replica is worth.
EXTRA_REPLICA_VALUE_RATIO = 0.03
# What is loaded must be worth this many times what makes way, since rates are
# estimates and a swap takes time from both.
MIN_EVICTION_GAIN_RATIO = 1.3
# A load in advance must be worth this many times what it takes away.
MIN_PREFETCH_GAIN_RATIO = 2.0
# Worth of a second of a target's time, which other loads would use.
TARGET_TIME_COST_PER_S = 0.3
# Share of the requests for adapters whose adapter is not on the target.
ADAPTER_MISS_RATIO = 0.5
# Targets that are fuller than this share of their slots are crowded.
HIGH_UTILIZATION = 0.6
# A model that was loaded a moment ago stays until its requests have come.
MIN_RESIDENCY = datetime.timedelta(milliseconds=300)
# Usual rest of a request that is running when its model is to be unloaded.
REMAINING_RUN_TIME = datetime.timedelta(seconds=1.5)
# A target that could do it sooner by more than this is waited for.
MIN_WAIT_BENEFIT = datetime.timedelta(milliseconds=250)
# What was asked for and served nowhere for longer than this gains worth with
# time, so that a rate too low to be worth a swap is not refused for ever.
STARVATION_DELAY = datetime.timedelta(seconds=5)
# Most models that make way for one.
MAX_VICTIMS = 2

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementContext:
    """What a choice depends on.

    Attributes:
        target_states: The targets that the holder orders.
        planned_models: For each target on which room is being made, for which
            model.
        soft_deadlines: For each wanted model, when its requests become late.
        hot_models: Models that are asked for often, also if all requests for
            them
            are refused because nobody has them.
        request_rate: Requests a second for a model.
        running_counts: Requests in progress.
        replicas_elsewhere: Number of replicas of a model outside the zone.
        copies_elsewhere: Number of other targets of the region that have a
            copy of a model, besides the given one.
        min_utilization: How full the emptiest target with a model is, as a
            share of
            its slots.
        adapter_request_rate: Requests a second for adapters of a model.
        orderable_replicas: Number of targets of the region that have a model
            and can
            get an order soon.
        stranded_adapter_rate: Requests a second for adapters of a model that
            no such
            target has, though others have it.
        is_reserved_for_adapters: Whether a target is the one of the region
            that stays free to
            fetch adapters of a model.
        is_fetching: Whether a target brings a model from the weight store.
        models_without_copy: Models that were asked for and that no target has
            or can load
            but from the weight store. Most callers do not wait for that.
        unserved_duration: How long a model has been asked for while no target
            had
            it.
        store_load_budget: Loads from the weight store that may begin now.
        pressure: From 0, where targets have time to spare, to 1.
        prefetch_offset: Which of the models that nobody waits for comes first,
            as
            a share of their number. It differs between zones, so that they do
            not choose the same one of several equal ones at the same moment.
    """

    target_states: Sequence[target_state.TargetState]
    planned_models: Mapping[ids.TargetId, ids.ModelName]
    soft_deadlines: Mapping[ids.ModelName, Sequence[datetime.timedelta]]
    hot_models: Sequence[ids.ModelName]
    request_rate: Callable[[ids.ModelName], float]
    running_counts: demand.RunningCounts
    replicas_elsewhere: Callable[[ids.ModelName], int]
    copies_elsewhere: Callable[[ids.ModelName, ids.TargetId], int]
    min_utilization: Callable[[ids.ModelName], float]
    adapter_request_rate: Callable[[ids.ModelName], float]
    orderable_replicas: Callable[[ids.ModelName], int]
    stranded_adapter_rate: Callable[[ids.ModelName], float]
    is_reserved_for_adapters: Callable[[ids.TargetId, ids.ModelName], bool]
    is_fetching: Callable[[ids.ModelName], bool]
    models_without_copy: Collection[ids.ModelName]
    unserved_duration: Callable[[ids.ModelName], datetime.timedelta]
    store_load_budget: int
    pressure: float
    prefetch_offset: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDecision:
    """A load that is worth beginning.

    Attributes:
        target_state: The target.
        model: The model to load.
        victims: Models to unload first.
        ready_at: When the model is expected to take requests.
        score: Worth for each second of the target's time.
        reason: What the load is for.
    """

    target_state: target_state.TargetState
    model: ids.ModelName
    victims: tuple[ids.ModelName, ...]
    ready_at: datetime.timedelta
    score: float
    reason: str


# Chooses a load, as `choose` does.
PlacementPolicy: TypeAlias = Callable[
    [PlacementContext, datetime.timedelta, bool], PlacementDecision | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class _EvictionPlan:
    victims: tuple[ids.ModelName, ...]
    cost: float
    drain_time: datetime.timedelta


def choose_placement(
    context: PlacementContext, now: datetime.timedelta, allow_prefetch: bool
) -> PlacementDecision | None:
    """Returns the best load that can begin now, None if none is worth it.

    Args:
        context: What the choice depends on.
        now: The time.
        allow_prefetch: Whether models that nobody waits for count.
    """
    free = [
        one
        for one in context.target_states
        if one.can_accept_order(now)
        and one.target not in context.planned_models
    ]
    if not free or not (
        allow_prefetch or context.soft_deadlines or context.hot_models
    ):
        return None
    rooms = _CostCache(context, now)
    best: PlacementDecision | None = None
    for model in _list_candidate_models(context, allow_prefetch):
        choice = _choose_for_model(
            context, rooms, free, model, now, allow_prefetch
        )
        if choice is not None and (best is None or choice.score > best.score):
            best = choice
    return best


def _choose_for_model(
    context: PlacementContext,
    costs: "_CostCache",
    available: Sequence[target_state.TargetState],
    model: ids.ModelName,
    now: datetime.timedelta,
    allow_prefetch: bool,
) -> PlacementDecision | None:
    """Returns the best load of one model that can begin now."""
    # Loads from the store that nobody waits for are compared all together.
    may_fetch = (
        context.store_load_budget > 0
        and (allow_prefetch or model in context.soft_deadlines)
        and not context.is_fetching(model)
    )
    choices = [
        choice
        for one in available
        if model not in one.replicas
        and (may_fetch or one.has_copy(model))
        and (choice := _evaluate_load(context, costs, one, model, now))
        is not None
    ]
    if not choices:
        return None
    # A target that is busy but does it much sooner is waited for.
    soonest = min(
        [choice.ready_at for choice in choices]
        + [
            one.available_at + one.estimate_load_time(model)
            for one in context.target_states
            if one not in available and _can_load_next(one, model)
        ]
    )
    return max(
        (one for one in choices if one.ready_at <= soonest + MIN_WAIT_BENEFIT),
        key=lambda choice: choice.score,
        default=None,
    )


def _can_load_next(
    state: target_state.TargetState, model: ids.ModelName
) -> bool:
    """Whether a busy target can be expected to load a model next."""
    return (
        state.is_synced
        and model in state.engine.models
        and not state.description.is_draining
        and len(state.replicas) > 1
    )


def _list_candidate_models(
    context: PlacementContext, allow_prefetch: bool
) -> list[ids.ModelName]:
    """Returns the models that are not loaded here and might be."""
    here = {
        name
        for one in context.target_states
        for name in one.replicas
        if context.min_utilization(name) < HIGH_UTILIZATION
        and not context.stranded_adapter_rate(name)
    }
    names: dict[ids.ModelName, None] = dict.fromkeys(context.soft_deadlines)
    names.update(dict.fromkeys(context.hot_models))
    if allow_prefetch:
        for one in context.target_states:
            models = list(one.engine.models)
            first = int(len(models) * context.prefetch_offset)
            names.update(dict.fromkeys(models[first:] + models[:first]))
    here.update(context.planned_models.values())
    return [name for name in names if name not in here]


class _CostCache:
    """What loads take away on each target; valid for one choice."""

    def __init__(
        self, context: PlacementContext, now: datetime.timedelta
    ) -> None:
        self._context = context
        self._now = now
        self._eviction_plans: dict[
            tuple[ids.TargetId, float], _EvictionPlan | None
        ] = {}
        self._sole_copy_rates: dict[ids.TargetId, float] = {}

    def get_eviction_plan(
        self, state: target_state.TargetState, size_mb: float
    ) -> _EvictionPlan | None:
        key = (state.target, size_mb)
        if key not in self._eviction_plans:
            self._eviction_plans[key] = _plan_eviction(
                self._context, state, size_mb, self._now
            )
        return self._eviction_plans[key]

    def get_sole_copy_rate(self, state: target_state.TargetState) -> float:
        """Returns requests a second that only this target's copies serve."""
        if state.target not in self._sole_copy_rates:
            self._sole_copy_rates[state.target] = _compute_sole_copy_rate(
                self._context, state
            )
        return self._sole_copy_rates[state.target]


def _evaluate_load(
    context: PlacementContext,
    costs: _CostCache,
    state: target_state.TargetState,
    model: ids.ModelName,
    now: datetime.timedelta,
) -> PlacementDecision | None:
    """Returns a load on a target if it is worth what it costs."""
    spec = state.engine.models.get(model)
    from_store = not state.has_copy(model)
    if spec is None:
        return None
    room = costs.get_eviction_plan(state, spec.size_mb)
    if room is None:
        return None
    unloading = target_state.UNLOAD_TIME * len(room.victims)
    ready_at = (
        now + room.drain_time + unloading + state.estimate_load_time(model)
    )
    gain, why = _compute_gain(context, state, model, ready_at, from_store)
    seconds = (ready_at - now).total_seconds()
    loss = room.cost + _compute_adapter_cost(
        context, state, room.victims, seconds
    )
    loss += seconds * TARGET_TIME_COST_PER_S * context.pressure
    if from_store:
        loss += _compute_copy_eviction_cost(context, state, spec.size_mb)
        loss += costs.get_sole_copy_rate(state) * seconds
    if gain <= loss:
        return None
    if why in ("spare", "copy") and gain < MIN_PREFETCH_GAIN_RATIO * loss:
        return None
    if gain <= room.cost * MIN_EVICTION_GAIN_RATIO:
        return None
    return PlacementDecision(
        state,
        model,
        room.victims,
        ready_at,
        (gain - loss) / max(0.05, seconds),
        why,
    )


def _compute_adapter_cost(
    context: PlacementContext,
    state: target_state.TargetState,
    victims: Iterable[ids.ModelName],
    seconds: float,
) -> float:
    """Returns what is late because a busy target fetches no adapters."""
    rate = sum(
        context.adapter_request_rate(name)
        for name in state.replicas
        if name not in victims
        and context.is_reserved_for_adapters(state.target, name)
    )
    return rate * seconds * ADAPTER_MISS_RATIO * (1.0 - LATE_REQUEST_VALUE)


def _compute_sole_copy_rate(
    context: PlacementContext, state: target_state.TargetState
) -> float:
    """Returns the rate of models that no other target has or could load.

    They cannot be loaded while this target brings another model from the
    weight store.
    """
    here = {name for other in context.target_states for name in other.replicas}
    return sum(
        context.request_rate(name)
        for name in dict.fromkeys(state.copies.in_memory + state.copies.on_disk)
        if name not in here
        and not context.replicas_elsewhere(name)
        and not context.copies_elsewhere(name, state.target)
    )


def _compute_copy_eviction_cost(
    context: PlacementContext, state: target_state.TargetState, size_mb: float
) -> float:
    """Returns the worth of last copies that a copy would push out."""
    engine = state.engine
    sizes = {
        name: engine.models[name].size_mb
        for name in state.copies.on_disk
        if name in engine.models
    }
    missing = size_mb - (engine.disk_cache_mb - sum(sizes.values()))
    loss = 0.0
    for name in state.copies.on_disk:
        if missing <= 0:
            break
        missing -= sizes.get(name, 0.0)
        share = _get_copy_value_ratio(
            context.copies_elsewhere(name, state.target)
        )
        loss += context.request_rate(name) * COPY_DEMAND_HORIZON_S * share
    return loss


def _compute_gain(
    context: PlacementContext,
    state: target_state.TargetState,
    model: ids.ModelName,
    ready_at: datetime.timedelta,
    from_store: bool,
) -> tuple[float, str]:
    """Returns what a load is worth, and what it is for."""
    waiting = context.soft_deadlines.get(model, ())
    stranded = context.stranded_adapter_rate(model)
    is_here = any(model in other.replicas for other in context.target_states)
    if is_here:
        # What waits for a crowded model waits for a place, not for a load.
        waiting = ()
    gain = sum(
        1.0 if late_at >= ready_at else LATE_REQUEST_VALUE
        for late_at in waiting
    )
    why = "waiting" if waiting else "spare"
    rate = context.request_rate(model)
    elsewhere = context.replicas_elsewhere(model)
    is_busy = rate >= HOT_MODEL_RATE
    if is_busy and not waiting:
        why = "busy"
    if stranded:
        gain += stranded * ADAPTER_MISS_RATIO * DEMAND_HORIZON_S
        why = why if waiting else "adapters"
    # Plain requests are served by a stranded replica, also by one here.
    if not elsewhere and not (is_here and stranded):
        gain += rate * DEMAND_HORIZON_S
    elif is_busy and elsewhere:
        gain += ZONE_REPLICA_VALUE / elsewhere
        gain += (
            rate
            * DEMAND_HORIZON_S
            * _estimate_late_ratio(context.min_utilization(model))
        )
    elif not waiting and not stranded:
        return 0.0, why
    if from_store:
        copies = context.copies_elsewhere(model, state.target)
        share = _get_copy_value_ratio(copies)
        if copies:
            # A further copy is for idle time only.
            share *= max(0.0, 1.0 - context.pressure / MAX_IDLE_PRESSURE)
        gain += rate * COPY_DEMAND_HORIZON_S * share
        if share and not waiting:
            why = "refused" if model in context.models_without_copy else "copy"
    return gain * max(
        1.0, context.unserved_duration(model) / STARVATION_DELAY
    ), why


def _get_copy_value_ratio(other_copies: int) -> float:
    """Returns what a copy is worth beside others, of what the only one is."""
    return (
        COPY_VALUE_RATIOS[other_copies]
        if other_copies < len(COPY_VALUE_RATIOS)
        else 0.0
    )


def _plan_eviction(
    context: PlacementContext,
    state: target_state.TargetState,
    size_mb: float,
    now: datetime.timedelta,
) -> _EvictionPlan | None:
    """Returns the cheapest models to unload, None if there is no way."""
    missing = size_mb - state.get_free_mb(now)
    if missing <= 0:
        return _EvictionPlan((), 0.0, _ZERO)
    candidates = [
        name
        for name, replica in state.replicas.items()
        if replica.state is target_state.LoadState.READY
        and now - replica.ready_at >= MIN_RESIDENCY
        and name not in context.soft_deadlines
    ]
    rooms = [
        _make_eviction_plan(context, state, names)
        for count in range(1, MAX_VICTIMS + 1)
        for names in itertools.combinations(candidates, count)
        if _compute_freed_mb(state, names) >= missing
    ]
    return min(
        rooms,
        key=lambda room: (
            room.cost + room.drain_time.total_seconds(),
            len(room.victims),
        ),
        default=None,
    )


def _make_eviction_plan(
    context: PlacementContext,
    state: target_state.TargetState,
    victims: Iterable[ids.ModelName],
) -> _EvictionPlan:
    loss = 0.0
    wait = _ZERO
    for name in victims:
        loss += _compute_eviction_cost(context, name)
        runs = context.running_counts.count_for_model(state.target, name)
        if runs:
            # The longest of several runs decides.
            wait = max(wait, REMAINING_RUN_TIME * (1.0 + math.log(runs)))
    return _EvictionPlan(tuple(victims), loss, wait)


def _compute_eviction_cost(
    context: PlacementContext, model: ids.ModelName
) -> float:
    """Returns what the unload of a model takes away."""
    loss = _compute_request_cost(context, model)
    if context.orderable_replicas(model) <= 1:
        # Nobody could fetch adapters of it any more.
        adapters = context.adapter_request_rate(model) * ADAPTER_MISS_RATIO
        loss = max(loss, adapters * DEMAND_HORIZON_S)
    return loss


def _compute_request_cost(
    context: PlacementContext, model: ids.ModelName
) -> float:
    """Returns what is late with one replica less, whatever is asked for."""
    rate = context.request_rate(model)
    expected = rate * DEMAND_HORIZON_S
    here = sum(model in other.replicas for other in context.target_states) - 1
    elsewhere = context.replicas_elsewhere(model)
    if not here and not elsewhere:
        return expected
    # The other targets would have to take what this one does.
    others = here + elsewhere
    crowd = _estimate_late_ratio(
        context.min_utilization(model) * (others + 1) / others
    )
    if crowd:
        return max(expected * crowd, expected * EXTRA_REPLICA_VALUE_RATIO)
    if not here and rate >= HOT_MODEL_RATE:
        return max(
            LAST_ZONE_REPLICA_VALUE / elsewhere,
            expected * EXTRA_REPLICA_VALUE_RATIO,
        )
    return expected * EXTRA_REPLICA_VALUE_RATIO


def _estimate_late_ratio(utilization: float) -> float:
    """Returns the share of requests that are late on targets so full."""
    return min(
        1.0,
        max(0.0, (utilization - HIGH_UTILIZATION) / (1.0 - HIGH_UTILIZATION)),
    )


def _compute_freed_mb(
    state: target_state.TargetState, victims: Iterable[ids.ModelName]
) -> float:
    """Returns the memory that the unload of models gives back."""
    total = 0.0
    for name in victims:
        spec = state.engine.models.get(name)
        if spec is None:
            total += state.engine.memory_mb
            continue
        total += spec.size_mb
        total += spec.adapter_mb * sum(key[0] == name for key in state.adapters)
    return total
