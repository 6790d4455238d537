"""Brings checkpoints near the accelerators before they are needed.

The tail of cold starts is the first load of a checkpoint that no target of the
region has cached. While the weight store is not busy, such a model is loaded
once on a target that has room for it, and then falls idle.
"""

import datetime

from quetzalgauge import context
from quetzalgauge import demand as demand_module
from quetzalgauge import ids
from quetzalgauge import placement as placement_module
from quetzalgauge import plan as plan_module
from quetzalgauge import views as views_module
from quetzalgauge.gen import ttypes

REVIEW_INTERVAL = datetime.timedelta(seconds=5)
# A checkpoint that the targets' caches cannot keep is not fetched over and
# over: that would take the weight store from cold starts.
REPEAT_INTERVAL = datetime.timedelta(hours=6)
# Starts only while at most this part of the weight store's loads is in use, so
# that a cold start finds the store at full speed.
_STORE_PART = 2


class WarmUp:
    """Chooses the checkpoints that this process brings near."""

    def __init__(
        self,
        ctx: context.Context,
        views: views_module.Views,
        demands: demand_module.Demands,
        placement: placement_module.Placement,
    ) -> None:
        self._ctx = ctx
        self._views = views
        self._demands = demands
        self._placement = placement
        self._reviewed = context.LONG_AGO
        self._tried: dict[demand_module.Servable, datetime.timedelta] = {}
        # What a target had cached before the latest load for the cache.
        self._before: dict[ids.TargetId, frozenset[str]] = {}
        # Targets whose cache dropped a checkpoint for another one.
        self._full: dict[ids.TargetId, datetime.timedelta] = {}

    def review(self, now: datetime.timedelta) -> None:
        """Starts or continues one load if the store is not busy."""
        if now - self._reviewed < REVIEW_INTERVAL:
            return
        self._reviewed = now
        ctx = self._ctx
        if ctx.is_draining or not ctx.is_registered:
            return
        if not ctx.is_config_read or not ctx.reading.is_current(now):
            return
        self._note_full_caches(now)
        if self._count_loading() >= ctx.settings.loads_at_once // _STORE_PART:
            return
        for model, spec, least, most in plan_module.of_zone(
            ctx.catalog, ctx.zone
        ):
            servable = demand_module.Servable(model, spec.version)
            # Slots below the minimum are loaded anyway.
            if least or not most or not self._is_wanted(servable, now):
                continue
            # Demand takes the first slot too, so both lead to one load.
            slot = ids.SlotId(model, ctx.zone, 0)
            if self._start(slot, spec, servable, now):
                return

    def _count_loading(self) -> int:
        """Counts the loads in the region, from the store or not."""
        return sum(
            replica.state == ttypes.ReplicaState.LOADING
            for state in self._views.states.values()
            for replica in state.replicas
        )

    def _is_wanted(
        self, servable: demand_module.Servable, now: datetime.timedelta
    ) -> bool:
        """Whether this zone is the one to warm a model, and it needs to."""
        tried = self._tried.get(servable)
        if tried is not None and now - tried < REPEAT_INTERVAL:
            return False
        if self._zone_for(servable.model) != self._ctx.zone:
            return False
        if self._demands.is_waiting(servable):
            return False
        if any(True for _ in self._views.replicas(servable.model)):
            return False
        return not any(
            self._views.is_cached(target, servable.model, servable.version)
            for target in self._views.states
        )

    def _zone_for(self, model: ids.ModelName) -> ids.AvailabilityZone | None:
        """Returns the zone that warms a model; all processes agree on it."""
        ctx = self._ctx
        zones = [
            zone
            for zone in plan_module.zones(ctx.catalog, model)
            if ctx.membership.engines(zone)
        ]
        if not zones:
            return None
        return max(zones, key=lambda zone: context.weight(model, zone))

    def _start(
        self,
        slot: ids.SlotId,
        spec: plan_module.Spec,
        servable: demand_module.Servable,
        now: datetime.timedelta,
    ) -> bool:
        """Reserves or loads a slot; True if this process is the one."""
        ctx = self._ctx
        target = ctx.ledger.target_of_slot(slot)
        if target is None:
            target = self._best_target(slot, spec, now)
            if target is None or not ctx.holds(target):
                return False
            # The load follows at a later review, when the log has it.
            self._placement.reservations.place_on(target, slot, spec, now)
            return True
        if not ctx.holds(target):
            return False
        if self._is_full(target, now):
            return False
        if not self._placement.loads.warm(target, slot, now):
            return False
        self._tried[servable] = now
        self._before[target] = self._cached(target)
        return True

    def _note_full_caches(self, now: datetime.timedelta) -> None:
        for target, before in list(self._before.items()):
            cached = self._cached(target)
            if before - cached:
                self._full[target] = now
                del self._before[target]

    def _is_full(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        full = self._full.get(target)
        return full is not None and now - full < REPEAT_INTERVAL

    def _best_target(
        self,
        slot: ids.SlotId,
        spec: plan_module.Spec,
        now: datetime.timedelta,
    ) -> ids.TargetId | None:
        """Returns the target with the fewest cached checkpoints that fits."""
        fitting = [
            target
            for target in self._placement.rooms.usable_targets(
                self._ctx.zone, now
            )
            if not self._is_full(target, now)
            and self._placement.rooms.has_spare_room(target, slot, spec)
        ]
        if not fitting:
            return None
        return min(
            fitting,
            key=lambda target: (
                len(self._cached(target)),
                context.weight(str(slot), target),
            ),
        )

    def _cached(self, target: ids.TargetId) -> frozenset[str]:
        state = self._views.state(target)
        return frozenset() if state is None else frozenset(state.cached)
