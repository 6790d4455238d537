"""What one placement decision looks up about models and targets.

A decision compares hundreds of models on dozens of targets. Whatever depends
only on the model or only on the target is computed once here, and bounds tell
which models need no comparison at all.
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

from quetzalgauge import ids
from quetzalgauge.core import target_state

# Loads that take less time than this are compared as if they took this long.
MIN_LOAD_SECONDS = 0.05
# Models loaded more recently than this are not evicted, so that the requests
# that they were loaded for can arrive.
MIN_RESIDENCY = datetime.timedelta(milliseconds=300)
# Typical remaining time of a request that runs when its model is to be
# unloaded.
REMAINING_RUN_TIME = datetime.timedelta(seconds=1.5)
# Maximum number of models evicted for one load.
MAX_VICTIMS = 2

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class EvictionPlan:
    """Models to evict for a load.

    Attributes:
        victims: The models.
        cost: Value of what they would have served, in requests.
        drain_time: Time until their running requests have ended.
        freed_mb: Memory that their eviction frees.
    """

    victims: tuple[ids.ModelName, ...]
    cost: float
    drain_time: datetime.timedelta
    freed_mb: float


_NO_EVICTION = EvictionPlan((), 0.0, _ZERO, 0.0)


class PlacementIndex:
    """Facts about models and targets; valid for one decision.

    Args:
        target_states: States of all targets of the zone.
        available: Those of them that can take an order, in the same order.
        protected: Models that are not evicted.
        evaluate_eviction: Returns the cost of evicting a model.
        count_running: Returns the number of requests that run for a model on a
            target.
        now: The current time.
    """

    def __init__(
        self,
        target_states: Sequence[target_state.TargetState],
        available: Sequence[target_state.TargetState],
        protected: Collection[ids.ModelName],
        evaluate_eviction: Callable[[ids.ModelName], float],
        count_running: Callable[[ids.TargetId, ids.ModelName], int],
        now: datetime.timedelta,
    ) -> None:
        self.available = available
        self._protected = protected
        self._evaluate_eviction = evaluate_eviction
        self._count_running = count_running
        self._now = now
        self._eviction_costs: dict[ids.ModelName, float] = {}
        self._eviction_plans: dict[ids.TargetId, list[EvictionPlan]] = {}
        self._free_mb: dict[ids.TargetId, float] = {}
        self._replica_counts: dict[ids.ModelName, int] = {}
        for state in target_states:
            for model in state.replicas:
                count = self._replica_counts.get(model, 0)
                self._replica_counts[model] = count + 1
        self._copy_holders: dict[
            ids.ModelName, list[target_state.TargetState]
        ] = {}
        for state in available:
            for model in dict.fromkeys(
                state.copies.in_memory + state.copies.on_disk
            ):
                self._copy_holders.setdefault(model, []).append(state)
        available_targets = {state.target for state in available}
        self._busy_states = [
            state
            for state in target_states
            if state.target not in available_targets
            and state.is_synced
            and not state.description.is_draining
            and len(state.replicas) > 1
        ]
        engines = {id(state.engine): state.engine for state in available}
        self._engines = list(engines.values())
        self._min_slowdown = min(
            (state.store_slowdown for state in available), default=1.0
        )

    @property
    def loaded_models(self) -> Collection[ids.ModelName]:
        """The models that the zone's targets have, are loading or unloading."""
        return self._replica_counts.keys()

    def count_replicas(self, model: ids.ModelName) -> int:
        """Returns the number of the zone's targets that have a model."""
        return self._replica_counts.get(model, 0)

    def list_copy_holders(
        self, model: ids.ModelName
    ) -> Sequence[target_state.TargetState]:
        """Returns the available targets with a cached copy of a model."""
        return self._copy_holders.get(model, ())

    def list_busy_ready_times(
        self, model: ids.ModelName
    ) -> Iterable[datetime.timedelta]:
        """Yields when busy targets that load a model next would have it."""
        for state in self._busy_states:
            if model in state.engine.models:
                yield state.available_at + state.estimate_load_time(model)

    def find_min_load_seconds(
        self, model: ids.ModelName, may_fetch: bool
    ) -> tuple[float, float]:
        """Returns the shortest load times from a copy and from the store.

        Each is infinite if no available target can load the model in that way.
        """
        from_copy = min(
            (
                state.estimate_load_time(model).total_seconds()
                for state in self.list_copy_holders(model)
                if model in state.engine.models
            ),
            default=math.inf,
        )
        if not may_fetch:
            return from_copy, math.inf
        from_store = min(
            (
                engine.models[model].store_load_time.total_seconds()
                for engine in self._engines
                if model in engine.models
            ),
            default=math.inf,
        )
        # Expected load times are rounded to microseconds.
        return from_copy, from_store * self._min_slowdown - 1e-6

    def find_eviction_plan(
        self, state: target_state.TargetState, size_mb: float
    ) -> EvictionPlan | None:
        """Returns the cheapest way to free memory, None if there is none."""
        free_mb = self._free_mb.get(state.target)
        if free_mb is None:
            free_mb = self._free_mb[state.target] = state.get_free_mb(self._now)
        missing_mb = size_mb - free_mb
        if missing_mb <= 0:
            return _NO_EVICTION
        plans = self._eviction_plans.get(state.target)
        if plans is None:
            plans = self._eviction_plans[state.target] = self._list_plans(state)
        for plan in plans:
            if plan.freed_mb >= missing_mb:
                return plan
        return None

    def _list_plans(
        self, state: target_state.TargetState
    ) -> list[EvictionPlan]:
        """Returns all plans for a target, the cheapest first."""
        candidates = [
            model
            for model, replica in state.replicas.items()
            if replica.state is target_state.LoadState.READY
            and self._now - replica.ready_at >= MIN_RESIDENCY
            and model not in self._protected
        ]
        plans = [
            self._make_plan(state, victims)
            for count in range(1, MAX_VICTIMS + 1)
            for victims in itertools.combinations(candidates, count)
        ]
        plans.sort(
            key=lambda plan: (
                plan.cost + plan.drain_time.total_seconds(),
                len(plan.victims),
            )
        )
        return plans

    def _make_plan(
        self,
        state: target_state.TargetState,
        victims: tuple[ids.ModelName, ...],
    ) -> EvictionPlan:
        cost = 0.0
        drain_time = _ZERO
        for model in victims:
            if model not in self._eviction_costs:
                self._eviction_costs[model] = self._evaluate_eviction(model)
            cost += self._eviction_costs[model]
            count = self._count_running(state.target, model)
            if count:
                # The unload waits for the longest of the running requests.
                drain_time = max(
                    drain_time, REMAINING_RUN_TIME * (1.0 + math.log(count))
                )
        return EvictionPlan(
            victims, cost, drain_time, _compute_freed_mb(state, victims)
        )


def rank_by_bound(
    bounds: Mapping[ids.ModelName, float],
) -> list[tuple[float, int, ids.ModelName]]:
    """Returns bound, position and name of each model, largest bound first."""
    ranked = [
        (bound, position, model)
        for position, (model, bound) in enumerate(bounds.items())
    ]
    ranked.sort(key=lambda row: (-row[0], row[1]))
    return ranked


def _compute_freed_mb(
    state: target_state.TargetState, victims: Collection[ids.ModelName]
) -> float:
    """Returns the memory in MB that evicting models and their adapters frees.

    An unknown model counts as the whole memory of the target.
    """
    return sum(map(state.get_model_mb, victims)) + sum(
        state.get_adapter_mb(key) for key in state.adapters if key[0] in victims
    )
