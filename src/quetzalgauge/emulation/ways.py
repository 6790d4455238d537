"""Placement policies to compare with the one that instances use."""

from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import placement
from quetzalgauge.core import target_state


def choose_on_demand(
    context: placement.PlacementContext,
    now: datetime.timedelta,
    allow_prefetch: bool,
) -> placement.PlacementDecision | None:
    """Chooses as instances do, but only among loads that a request waits for.

    Nothing is prefetched, so cached copies are not spread over the targets.
    """
    del allow_prefetch
    on_demand_context = dataclasses.replace(context, hot_models=())
    return placement.choose_placement(on_demand_context, now, False)


def choose_first_come(
    context: placement.PlacementContext,
    now: datetime.timedelta,
    allow_prefetch: bool,
) -> placement.PlacementDecision | None:
    """Serves waiting requests first come, first served.

    Loads the model of the request with the earliest soft deadline. Chooses the
    target that has the model ready first, and evicts the models that were
    loaded longest ago, whatever their request rate.
    """
    del allow_prefetch
    loaded = {
        name for state in context.target_states for name in state.replicas
    }
    for model, deadlines in sorted(
        context.soft_deadlines.items(), key=lambda item: min(item[1])
    ):
        if model in loaded or not deadlines:
            continue
        decisions = [
            decision
            for state in context.target_states
            if state.can_accept_order(now)
            and (decision := _plan_load(context, state, model, now)) is not None
        ]
        if decisions:
            return min(decisions, key=lambda decision: decision.ready_at)
    return None


def _plan_load(
    context: placement.PlacementContext,
    state: target_state.TargetState,
    model: ids.ModelName,
    now: datetime.timedelta,
) -> placement.PlacementDecision | None:
    """Plans a load on one target; returns None if it cannot load the model."""
    spec = state.engine.models.get(model)
    if spec is None or (
        not state.has_copy(model) and context.store_load_budget <= 0
    ):
        return None
    victims: list[ids.ModelName] = []
    missing_mb = spec.size_mb - state.get_free_mb(now)
    replicas_by_age = sorted(
        state.replicas.items(), key=lambda item: item[1].ready_at
    )
    for name, replica in replicas_by_age:
        if missing_mb <= 0:
            break
        victim_spec = state.engine.models.get(name)
        if (
            replica.state is target_state.LoadState.READY
            and victim_spec is not None
        ):
            victims.append(name)
            missing_mb -= victim_spec.size_mb
    if missing_mb > 0:
        return None
    ready_at = (
        now
        + target_state.UNLOAD_TIME * len(victims)
        + state.estimate_load_time(model)
    )
    return placement.PlacementDecision(
        state, model, tuple(victims), ready_at, 1.0, "waiting"
    )


# Policies by name; the first is the one that instances use.
POLICIES: Mapping[str, placement.PlacementPolicy] = {
    "weighed": placement.choose_placement,
    "on demand": choose_on_demand,
    "first come": choose_first_come,
}
