"""Placement policy: which model to load on which target and what to evict.

There are far more models than fit into accelerator memory. Most are requested
rarely, but callers expect an answer within seconds. A target loads one model
at a time, so target time is the scarce resource. The score of a load is the
value of the requests that it serves in time, minus the cost of what it
displaces, per second of target time; the load with the highest score comes
first. All waiting requests for a model share one load. Values and costs are
counted in requests: one request that is served in time has the value 1.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import demand
from quetzalgauge.core import placement_index
from quetzalgauge.core import target_state

# Value of a request served after its soft deadline, relative to one served in
# time (the callers' tables give 0.15 to 0.3).
LATE_REQUEST_VALUE = 0.15
# A loaded model is valued by the requests expected over this time.
DEMAND_HORIZON_S = 2.0
# A cached copy from the weight store is valued by the requests expected over
# this longer time, since it also shortens later loads of the model.
COPY_DEMAND_HORIZON_S = 15.0
# Value of the first, second, ... cached copy of a model, relative to the only
# one. A second copy has value since the target with the only one is often busy
# with other models.
COPY_VALUE_RATIOS = (1.0, 0.3)
# At this pressure or above, targets have no time to fetch redundant copies.
MAX_IDLE_PRESSURE = 0.1
# Requests per second from which a model is hot and should be loaded in each
# availability zone.
HOT_MODEL_RATE = 1.5
# Value of the first replica of a hot model in an availability zone.
ZONE_REPLICA_VALUE = 0.25
# Value of keeping the last replica of a hot model in an availability zone.
LAST_ZONE_REPLICA_VALUE = 1.0
# Value of a redundant replica, as a share of the expected requests.
EXTRA_REPLICA_VALUE_RATIO = 0.03
# A load must have this many times the value of the evicted models, since rates
# are estimates and neither model serves requests during the swap.
MIN_EVICTION_GAIN_RATIO = 1.3
# A prefetch must have this many times the value of what it displaces.
MIN_PREFETCH_GAIN_RATIO = 2.0
# Value of one second of target time, which other loads could use.
TARGET_TIME_COST_PER_S = 0.3
# Assumed share of adapter requests whose adapter is not loaded on the target.
ADAPTER_MISS_RATIO = 0.5
# Utilization (share of slots in use) above which requests begin to be late.
HIGH_UTILIZATION = 0.6
# A load is deferred if a busy target is expected to finish it sooner than the
# available ones by more than this.
MIN_WAIT_BENEFIT = datetime.timedelta(milliseconds=250)
# The value of a model that is requested but served nowhere grows with time
# after this delay, so that a model with too low a rate to justify an eviction
# is not refused forever.
STARVATION_DELAY = datetime.timedelta(seconds=5)
# Bounds of scores are this much larger, since floating-point sums in another
# order may differ by rounding.
BOUND_MARGIN = 1.0 + 1e-9


@dataclasses.dataclass(slots=True)
class ModelFacts:
    """What the value of a load depends on besides its target.

    Attributes:
        deadlines: Soft deadlines of the requests that a load would serve.
        base_values: Values that do not depend on when the load is ready.
        is_worthless: Whether no load of the model has any value.
        reason: Reason of a load that is no fetch.
        copy_value: Value of the only cached copy of the model.
        unserved_factor: Factor for the time without a target that serves it.
        max_gain: Value of a load from a copy that serves all requests in time.
        max_fetch_gain: The same for a load from the weight store.
    """

    deadlines: Sequence[datetime.timedelta]
    base_values: tuple[float, ...]
    is_worthless: bool
    reason: str
    copy_value: float
    unserved_factor: float

    max_gain: float = dataclasses.field(init=False)
    max_fetch_gain: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        gain = len(self.deadlines) + sum(self.base_values)
        self.max_gain = gain * self.unserved_factor
        self.max_fetch_gain = (gain + self.copy_value) * self.unserved_factor


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementContext:
    """Inputs of a placement decision.

    Attributes:
        target_states: States of the targets that the zone leader manages.
        planned_models: By target, the model for which others are being evicted.
        soft_deadlines: By requested model, the soft deadline of each waiting
            request.
        hot_models: The hot models, including those whose requests are all
            refused because no target has the model.
        request_rate: Requests per second for a model.
        running_counts: Counts of the requests in progress by target, model and
            adapter.
        replicas_elsewhere: Number of replicas of a model outside the
            availability zone.
        copies_elsewhere: Number of targets in the region, other than the given
            one, that have a cached copy of a model.
        min_utilization: Utilization (share of slots in use) of the least
            utilized target with a model.
        adapter_request_rate: Requests per second for adapters of a model.
        orderable_replicas: Number of targets in the region that have a model
            and can be sent an order soon.
        stranded_adapter_rate: Requests per second for adapters of a model whose
            replicas are all on targets that cannot be sent an order soon; 0
            for other models.
        is_reserved_for_adapters: Whether a target is the one in the region that
            is kept free to load adapters of a model.
        is_fetching: Whether a target is loading a model from the weight store.
        models_without_copy: Requested models that are loaded nowhere and that
            targets can load only from the weight store. Most callers do not
            wait for that, so there may be no waiting requests for them.
        unserved_duration: How long a model has been requested without a target
            that serves it.
        store_load_budget: Number of loads from the weight store that may start
            now.
        must_fetch_unserved: Whether these loads are kept for models that no
            target serves.
        pressure: Demand for target time, from 0 (targets are idle) to 1.
        prefetch_offset: Position at which the list of prefetch candidates
            starts, as a fraction of its length. It differs between availability
            zones, so that they do not pick the same one of several equal models
            at the same time.
        facts: Facts about models that earlier decisions have collected, by
            model and whether the zone has it. Decisions may share them while
            nothing but `target_states`, `planned_models` and
            `store_load_budget` changes. None if they are not shared.
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
    must_fetch_unserved: bool = False
    prefetch_offset: float = 0.0
    facts: dict[tuple[ids.ModelName, bool], ModelFacts] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDecision:
    """A load that is worth its cost.

    Attributes:
        target_state: State of the target to load the model on.
        model: The model to load.
        victims: Models to evict first.
        ready_at: When the model is expected to accept requests.
        score: Net value per second of target time.
        reason: Purpose of the load: "waiting" for waiting requests, "busy" for
            a hot model, "adapters" for a stranded model, "refused" for a
            requested model without a copy, "copy" for another load from the
            weight store without waiting requests, "spare" for another prefetch.
    """

    target_state: target_state.TargetState
    model: ids.ModelName
    victims: tuple[ids.ModelName, ...]
    ready_at: datetime.timedelta
    score: float
    reason: str


# Decides on the next load; same signature and result as `choose_placement`.
PlacementPolicy: TypeAlias = Callable[
    [PlacementContext, datetime.timedelta, bool], PlacementDecision | None
]


def choose_placement(
    context: PlacementContext, now: datetime.timedelta, allow_prefetch: bool
) -> PlacementDecision | None:
    """Returns the load with the highest score that can start now.

    Args:
        context: Inputs of the decision.
        now: The current time.
        allow_prefetch: Whether to consider models without waiting requests that
            are not hot.

    Returns:
        The decision, or None if no load is worth its cost.
    """
    available = [
        state
        for state in context.target_states
        if state.can_accept_order(now)
        and state.target not in context.planned_models
    ]
    if not available or not (
        allow_prefetch or context.soft_deadlines or context.hot_models
    ):
        return None
    costs = _Costs(context, available, now)
    index = costs.index
    shared_facts = {} if context.facts is None else context.facts
    facts: dict[ids.ModelName, ModelFacts] = {}
    bounds: dict[ids.ModelName, float] = {}
    for model in _list_candidate_models(context, index, allow_prefetch):
        key = (model, index.count_replicas(model) > 0)
        model_facts = shared_facts.get(key)
        if model_facts is None:
            model_facts = shared_facts[key] = _collect_facts(context, *key)
        from_copy, from_store = index.find_min_load_seconds(
            model, _may_fetch(context, index, model, allow_prefetch)
        )
        bound = BOUND_MARGIN * max(
            _bound_score(model_facts.max_gain, from_copy),
            _bound_score(model_facts.max_fetch_gain, from_store),
        )
        if bound > 0.0 and not model_facts.is_worthless:
            facts[model] = model_facts
            bounds[model] = bound
    best: PlacementDecision | None = None
    best_position = 0
    # Models whose bound is below the best score so far cannot win. Of equal
    # scores, the one of the earlier candidate counts.
    for bound, position, model in placement_index.rank_by_bound(bounds):
        if best is not None and bound < best.score:
            break
        decision = _choose_for_model(
            context, costs, facts[model], model, now, allow_prefetch
        )
        if decision is not None and (
            best is None
            or (decision.score, -position) > (best.score, -best_position)
        ):
            best, best_position = decision, position
    return best


def _bound_score(max_gain: float, seconds: float) -> float:
    return max_gain / max(placement_index.MIN_LOAD_SECONDS, seconds)


def _may_fetch(
    context: PlacementContext,
    index: placement_index.PlacementIndex,
    model: ids.ModelName,
    allow_prefetch: bool,
) -> bool:
    """Whether a model may be loaded from the weight store now.

    Prefetches from there are considered only when all prefetch candidates are,
    so that they are compared with each other.
    """
    return (
        context.store_load_budget > 0
        and (allow_prefetch or model in context.soft_deadlines)
        and not context.is_fetching(model)
        and not (
            context.must_fetch_unserved
            and (
                index.count_replicas(model) or context.replicas_elsewhere(model)
            )
        )
    )


def _choose_for_model(
    context: PlacementContext,
    costs: "_Costs",
    facts: ModelFacts,
    model: ids.ModelName,
    now: datetime.timedelta,
    allow_prefetch: bool,
) -> PlacementDecision | None:
    """Returns the best load of one model that can start now."""
    index = costs.index
    states = (
        index.available
        if _may_fetch(context, index, model, allow_prefetch)
        else index.list_copy_holders(model)
    )
    decisions = [
        decision
        for state in states
        if model not in state.replicas
        and (decision := _evaluate_load(context, costs, facts, state, model))
        is not None
    ]
    if not decisions:
        return None
    # Wait for a busy target if it would have the model ready much sooner.
    soonest = min(decision.ready_at for decision in decisions)
    for ready_at in index.list_busy_ready_times(model):
        soonest = min(soonest, ready_at)
    return max(
        (
            candidate
            for candidate in decisions
            if candidate.ready_at <= soonest + MIN_WAIT_BENEFIT
        ),
        key=lambda decision: decision.score,
        default=None,
    )


def _list_candidate_models(
    context: PlacementContext,
    index: placement_index.PlacementIndex,
    allow_prefetch: bool,
) -> list[ids.ModelName]:
    """Returns the models to consider, in a fixed order without duplicates.

    Models that are loaded or planned in the availability zone are left out,
    unless they are highly utilized or stranded and so need another replica.
    """
    excluded = {
        model
        for model in index.loaded_models
        if context.min_utilization(model) < HIGH_UTILIZATION
        and not context.stranded_adapter_rate(model)
    }
    candidates: dict[ids.ModelName, None] = dict.fromkeys(
        context.soft_deadlines
    )
    candidates.update(dict.fromkeys(context.hot_models))
    if allow_prefetch:
        engines = {
            id(state.engine): state.engine for state in context.target_states
        }
        for engine in engines.values():
            models = list(engine.models)
            start = int(len(models) * context.prefetch_offset)
            candidates.update(dict.fromkeys(models[start:] + models[:start]))
    excluded.update(context.planned_models.values())
    return [model for model in candidates if model not in excluded]


class _Costs:
    """Costs of loads on each target; valid for one decision."""

    def __init__(
        self,
        context: PlacementContext,
        available: Sequence[target_state.TargetState],
        now: datetime.timedelta,
    ) -> None:
        self._context = context
        self._now = now
        self._sole_copy_rates: dict[ids.TargetId, float] = {}
        self._adapter_rates: dict[
            ids.TargetId, list[tuple[ids.ModelName, float]]
        ] = {}
        self._copy_eviction_steps: dict[
            ids.TargetId, list[tuple[float, float]]
        ] = {}
        self.index = placement_index.PlacementIndex(
            context.target_states,
            available,
            context.soft_deadlines,
            lambda model: _compute_eviction_cost(context, self.index, model),
            context.running_counts.count_for_model,
            now,
        )

    @property
    def now(self) -> datetime.timedelta:
        """The time of the decision."""
        return self._now

    def get_sole_copy_rate(self, state: target_state.TargetState) -> float:
        """Returns the request rate of models that only this target can load."""
        if state.target not in self._sole_copy_rates:
            self._sole_copy_rates[state.target] = _compute_sole_copy_rate(
                self._context, self.index, state
            )
        return self._sole_copy_rates[state.target]

    def compute_adapter_cost(
        self,
        state: target_state.TargetState,
        victims: Collection[ids.ModelName],
        seconds: float,
    ) -> float:
        """Returns the cost of adapter requests that are late during a load.

        A target cannot load adapters while it loads a model.
        """
        rates = self._adapter_rates.get(state.target)
        if rates is None:
            rates = self._adapter_rates[state.target] = [
                (model, rate)
                for model in state.replicas
                if (rate := self._context.adapter_request_rate(model))
                and self._context.is_reserved_for_adapters(state.target, model)
            ]
        rate = sum(rate for model, rate in rates if model not in victims)
        return rate * seconds * ADAPTER_MISS_RATIO * (1.0 - LATE_REQUEST_VALUE)

    def compute_copy_eviction_cost(
        self, state: target_state.TargetState, size_mb: float
    ) -> float:
        """Returns the value of the copies evicted from disk by a new one."""
        steps = self._copy_eviction_steps.get(state.target)
        if steps is None:
            steps = self._copy_eviction_steps[state.target] = (
                _list_copy_eviction_steps(self._context, state)
            )
        free_mb, _ = steps[0]
        missing_mb = size_mb - free_mb
        cost = 0.0
        for freed_mb, value in steps[1:]:
            if missing_mb <= 0:
                break
            missing_mb -= freed_mb
            cost += value
        return cost


def _evaluate_load(
    context: PlacementContext,
    costs: _Costs,
    facts: ModelFacts,
    state: target_state.TargetState,
    model: ids.ModelName,
) -> PlacementDecision | None:
    """Returns the load of a model on a target if it is worth its cost."""
    spec = state.engine.models.get(model)
    if spec is None:
        return None
    plan = costs.index.find_eviction_plan(state, spec.size_mb)
    if plan is None:
        return None
    from_store = not state.has_copy(model)
    max_gain = facts.max_fetch_gain if from_store else facts.max_gain
    if max_gain * BOUND_MARGIN <= plan.cost:
        return None
    unload_time = target_state.UNLOAD_TIME * len(plan.victims)
    load_time = plan.drain_time + unload_time + state.estimate_load_time(model)
    ready_at = costs.now + load_time
    gain, reason = _compute_gain(
        context, facts, state, model, ready_at, from_store
    )
    seconds = load_time.total_seconds()
    cost = plan.cost + costs.compute_adapter_cost(state, plan.victims, seconds)
    cost += seconds * TARGET_TIME_COST_PER_S * context.pressure
    if from_store:
        cost += costs.compute_copy_eviction_cost(state, spec.size_mb)
        cost += costs.get_sole_copy_rate(state) * seconds
    if gain <= cost:
        return None
    if reason in ("spare", "copy") and gain < MIN_PREFETCH_GAIN_RATIO * cost:
        return None
    if gain <= plan.cost * MIN_EVICTION_GAIN_RATIO:
        return None
    return PlacementDecision(
        state,
        model,
        plan.victims,
        ready_at,
        (gain - cost) / max(placement_index.MIN_LOAD_SECONDS, seconds),
        reason,
    )


def _compute_sole_copy_rate(
    context: PlacementContext,
    index: placement_index.PlacementIndex,
    state: target_state.TargetState,
) -> float:
    """Returns the request rate of models that only this target could load.

    These models are loaded nowhere and have no copy on another target, so they
    are unavailable while this target fetches a model from the weight store.
    """
    return sum(
        context.request_rate(model)
        for model in dict.fromkeys(
            state.copies.in_memory + state.copies.on_disk
        )
        if not index.count_replicas(model)
        and not context.replicas_elsewhere(model)
        and not context.copies_elsewhere(model, state.target)
    )


def _list_copy_eviction_steps(
    context: PlacementContext, state: target_state.TargetState
) -> list[tuple[float, float]]:
    """Returns the free disk space in MB, then each copy in eviction order.

    Each copy is its size in MB and its value; those of unknown models have no
    size.
    """
    engine = state.engine
    sizes = {
        model: spec.size_mb
        for model in state.copies.on_disk
        if (spec := engine.find_model(model)) is not None
    }
    steps = [(engine.disk_cache_mb - sum(sizes.values()), 0.0)]
    for model in state.copies.on_disk:
        ratio = _get_copy_value_ratio(
            context.copies_elsewhere(model, state.target)
        )
        value = context.request_rate(model) * COPY_DEMAND_HORIZON_S * ratio
        steps.append((sizes.get(model, 0.0), value))
    return steps


def _collect_facts(
    context: PlacementContext, model: ids.ModelName, is_loaded: bool
) -> ModelFacts:
    """Returns what the value of a load of a model depends on.

    A target of the zone has the model if `is_loaded` is true. The model is
    stranded if no target that has it can be sent an order soon, so that no
    further adapter of it can be loaded.
    """
    deadlines = context.soft_deadlines.get(model, ())
    stranded_rate = context.stranded_adapter_rate(model)
    if is_loaded:
        # The requests wait for a free slot on a loaded replica, not for a load.
        deadlines = ()
    rate = context.request_rate(model)
    remote_replicas = context.replicas_elsewhere(model)
    is_hot = rate >= HOT_MODEL_RATE
    reason = "waiting" if deadlines else "busy" if is_hot else "spare"
    values = []
    if stranded_rate:
        values.append(stranded_rate * ADAPTER_MISS_RATIO * DEMAND_HORIZON_S)
        reason = reason if deadlines else "adapters"
    is_worthless = False
    # A stranded replica, also one in this zone, still serves requests without
    # an adapter.
    if not remote_replicas and not (is_loaded and stranded_rate):
        values.append(rate * DEMAND_HORIZON_S)
    elif is_hot and remote_replicas:
        values.append(ZONE_REPLICA_VALUE / remote_replicas)
        values.append(
            rate
            * DEMAND_HORIZON_S
            * _estimate_late_ratio(context.min_utilization(model))
        )
    elif not deadlines and not stranded_rate:
        is_worthless = True
    return ModelFacts(
        deadlines,
        tuple(values),
        is_worthless,
        reason,
        rate * COPY_DEMAND_HORIZON_S,
        max(1.0, context.unserved_duration(model) / STARVATION_DELAY),
    )


def _compute_gain(
    context: PlacementContext,
    facts: ModelFacts,
    state: target_state.TargetState,
    model: ids.ModelName,
    ready_at: datetime.timedelta,
    from_store: bool,
) -> tuple[float, str]:
    """Returns the value of a load, counted in requests, and its reason.

    The reason is one of the values listed at `PlacementDecision.reason`.
    """
    gain = sum(
        1.0 if deadline >= ready_at else LATE_REQUEST_VALUE
        for deadline in facts.deadlines
    )
    for value in facts.base_values:
        gain += value
    reason = facts.reason
    if from_store:
        copy_count = context.copies_elsewhere(model, state.target)
        ratio = _get_copy_value_ratio(copy_count)
        if copy_count:
            # Redundant copies are fetched only when targets are idle.
            ratio *= max(0.0, 1.0 - context.pressure / MAX_IDLE_PRESSURE)
        gain += facts.copy_value * ratio
        if ratio and not facts.deadlines:
            reason = (
                "refused" if model in context.models_without_copy else "copy"
            )
    return gain * facts.unserved_factor, reason


def _get_copy_value_ratio(other_copies: int) -> float:
    """Returns the value of a cached copy, relative to that of the only one."""
    return (
        COPY_VALUE_RATIOS[other_copies]
        if other_copies < len(COPY_VALUE_RATIOS)
        else 0.0
    )


def _compute_eviction_cost(
    context: PlacementContext,
    index: placement_index.PlacementIndex,
    model: ids.ModelName,
) -> float:
    """Returns the cost of evicting a model from a target."""
    cost = _compute_request_cost(context, index, model)
    if context.orderable_replicas(model) <= 1:
        # No target would be left that can load adapters of the model.
        miss_rate = context.adapter_request_rate(model) * ADAPTER_MISS_RATIO
        cost = max(cost, miss_rate * DEMAND_HORIZON_S)
    return cost


def _compute_request_cost(
    context: PlacementContext,
    index: placement_index.PlacementIndex,
    model: ids.ModelName,
) -> float:
    """Returns the cost of requests that are late with one replica less.

    All requests for the model count, with or without an adapter.
    """
    rate = context.request_rate(model)
    expected_requests = rate * DEMAND_HORIZON_S
    zone_replicas = index.count_replicas(model) - 1
    remote_replicas = context.replicas_elsewhere(model)
    if not zone_replicas and not remote_replicas:
        return expected_requests
    # The remaining replicas take over the requests of the evicted one.
    remaining_replicas = zone_replicas + remote_replicas
    late_ratio = _estimate_late_ratio(
        context.min_utilization(model)
        * (remaining_replicas + 1)
        / remaining_replicas
    )
    if late_ratio:
        return max(
            expected_requests * late_ratio,
            expected_requests * EXTRA_REPLICA_VALUE_RATIO,
        )
    if not zone_replicas and rate >= HOT_MODEL_RATE:
        return max(
            LAST_ZONE_REPLICA_VALUE / remote_replicas,
            expected_requests * EXTRA_REPLICA_VALUE_RATIO,
        )
    return expected_requests * EXTRA_REPLICA_VALUE_RATIO


def _estimate_late_ratio(utilization: float) -> float:
    """Returns the estimated share of requests that are late at a utilization.

    It rises linearly from 0 at `HIGH_UTILIZATION` to 1 when all slots are used.
    """
    return min(
        1.0,
        max(0.0, (utilization - HIGH_UTILIZATION) / (1.0 - HIGH_UTILIZATION)),
    )
