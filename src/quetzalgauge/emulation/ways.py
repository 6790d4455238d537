"""Ways to choose loads, to compare them with the one that instances use."""

from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import placement
from quetzalgauge.core import target_state


def choose_on_demand(
    scene: placement.PlacementContext, now: datetime.timedelta, spares: bool
) -> placement.PlacementDecision | None:
    """Weighs loads, but only those that a request waits for.

    Nothing is loaded ahead, so no copies are spread.
    """
    del spares
    waiting_only = dataclasses.replace(scene, hot_models=())
    return placement.choose_placement(waiting_only, now, False)


def choose_first_come(
    scene: placement.PlacementContext, now: datetime.timedelta, spares: bool
) -> placement.PlacementDecision | None:
    """Serves the request that has waited longest.

    The target is the one that has the model soonest; the models loaded longest
    ago make way, however busy they are.
    """
    del spares
    loaded = {name for one in scene.target_states for name in one.replicas}
    for model, times in sorted(
        scene.soft_deadlines.items(), key=lambda item: min(item[1])
    ):
        if model in loaded or not times:
            continue
        found = [
            choice
            for one in scene.target_states
            if one.can_accept_order(now)
            and (choice := _load_on(scene, one, model, now)) is not None
        ]
        if found:
            return min(found, key=lambda choice: choice.ready_at)
    return None


def _load_on(
    scene: placement.PlacementContext,
    one: target_state.TargetState,
    model: ids.ModelName,
    now: datetime.timedelta,
) -> placement.PlacementDecision | None:
    """Returns a load on one target, None if there is no room for it."""
    spec = one.engine.models.get(model)
    if spec is None or (
        not one.has_copy(model) and scene.store_load_budget <= 0
    ):
        return None
    victims: list[ids.ModelName] = []
    missing = spec.size_mb - one.get_free_mb(now)
    oldest = sorted(one.replicas.items(), key=lambda item: item[1].ready_at)
    for name, replica in oldest:
        if missing <= 0:
            break
        known = one.engine.models.get(name)
        if replica.state is target_state.LoadState.READY and known is not None:
            victims.append(name)
            missing -= known.size_mb
    if missing > 0:
        return None
    ready_at = (
        now
        + target_state.UNLOAD_TIME * len(victims)
        + one.estimate_load_time(model)
    )
    return placement.PlacementDecision(
        one, model, tuple(victims), ready_at, 1.0, "waiting"
    )


# The ways by name; the first is the one that instances use.
ALL: Mapping[str, placement.PlacementPolicy] = {
    "weighed": placement.choose_placement,
    "on demand": choose_on_demand,
    "first come": choose_first_come,
}
