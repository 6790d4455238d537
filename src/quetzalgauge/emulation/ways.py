"""Ways to choose loads, to compare them with the one that instances use."""

from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import placement
from quetzalgauge.core import stock


def choose_on_demand(
    scene: placement.Scene, now: datetime.timedelta, spares: bool
) -> placement.Choice | None:
    """Weighs loads, but only those that a request waits for.

    Nothing is loaded ahead, so no copies are spread.
    """
    del spares
    waiting_only = dataclasses.replace(scene, busy=())
    return placement.choose(waiting_only, now, False)


def choose_first_come(
    scene: placement.Scene, now: datetime.timedelta, spares: bool
) -> placement.Choice | None:
    """Serves the request that has waited longest.

    The target is the one that has the model soonest; the models loaded longest
    ago make way, however busy they are.
    """
    del spares
    loaded = {name for one in scene.stocks for name in one.replicas}
    for model, times in sorted(
        scene.wishes.items(), key=lambda item: min(item[1])
    ):
        if model in loaded or not times:
            continue
        found = [
            choice
            for one in scene.stocks
            if one.can_order(now)
            and (choice := _load_on(scene, one, model, now)) is not None
        ]
        if found:
            return min(found, key=lambda choice: choice.ready_at)
    return None


def _load_on(
    scene: placement.Scene,
    one: stock.Stock,
    model: ids.ModelName,
    now: datetime.timedelta,
) -> placement.Choice | None:
    """Returns a load on one target, None if there is no room for it."""
    spec = one.engine.models.get(model)
    if spec is None or (not one.has_copy(model) and scene.store_loads <= 0):
        return None
    victims: list[ids.ModelName] = []
    missing = spec.size_mb - one.free_mb(now)
    oldest = sorted(one.replicas.items(), key=lambda item: item[1].ready_at)
    for name, replica in oldest:
        if missing <= 0:
            break
        known = one.engine.models.get(name)
        if replica.state is stock.State.READY and known is not None:
            victims.append(name)
            missing -= known.size_mb
    if missing > 0:
        return None
    ready_at = now + stock.UNLOAD_TIME * len(victims) + one.load_time(model)
    return placement.Choice(
        one, model, tuple(victims), ready_at, 1.0, "waiting"
    )


# The ways by name; the first is the one that instances use.
ALL: Mapping[str, placement.Chooser] = {
    "weighed": placement.choose,
    "on demand": choose_on_demand,
    "first come": choose_first_come,
}
