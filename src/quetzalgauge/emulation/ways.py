"""Ways to choose loads, to compare them with the one that instances use."""

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
    """Weighs loads, but only those that a request waits for.

    Nothing is loaded ahead, so no copies are spread.
    """
    del allow_prefetch
    waiting_only = dataclasses.replace(context, hot_models=())
    return placement.choose_placement(waiting_only, now, False)


def choose_first_come(
    context: placement.PlacementContext,
    now: datetime.timedelta,
    allow_prefetch: bool,
) -> placement.PlacementDecision | None:
    """Serves the request that has waited longest.

    The target is the one that has the model soonest; the models loaded longest
    ago make way, however busy they are.
    """
    del allow_prefetch
    loaded = {name for one in context.target_states for name in one.replicas}
    for model, times in sorted(
        context.soft_deadlines.items(), key=lambda item: min(item[1])
    ):
        if model in loaded or not times:
            continue
        found = [
            choice
            for one in context.target_states
            if one.can_accept_order(now)
            and (choice := _plan_load(context, one, model, now)) is not None
        ]
        if found:
            return min(found, key=lambda choice: choice.ready_at)
    return None


def _plan_load(
    context: placement.PlacementContext,
    state: target_state.TargetState,
    model: ids.ModelName,
    now: datetime.timedelta,
) -> placement.PlacementDecision | None:
    """Returns a load on one target, None if there is no room for it."""
    spec = state.engine.models.get(model)
    if spec is None or (
        not state.has_copy(model) and context.store_load_budget <= 0
    ):
        return None
    victims: list[ids.ModelName] = []
    missing = spec.size_mb - state.get_free_mb(now)
    oldest = sorted(state.replicas.items(), key=lambda item: item[1].ready_at)
    for name, replica in oldest:
        if missing <= 0:
            break
        known = state.engine.models.get(name)
        if replica.state is target_state.LoadState.READY and known is not None:
            victims.append(name)
            missing -= known.size_mb
    if missing > 0:
        return None
    ready_at = (
        now
        + target_state.UNLOAD_TIME * len(victims)
        + state.estimate_load_time(model)
    )
    return placement.PlacementDecision(
        state, model, tuple(victims), ready_at, 1.0, "waiting"
    )


# The ways by name; the first is the one that instances use.
POLICIES: Mapping[str, placement.PlacementPolicy] = {
    "weighed": placement.choose_placement,
    "on demand": choose_on_demand,
    "first come": choose_first_come,
}
