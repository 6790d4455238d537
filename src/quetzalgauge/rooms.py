"""Which targets have room for a model, and what it costs to make it."""

import datetime

from quetzalgauge import activity as activity_module
from quetzalgauge import context
from quetzalgauge import demand as demand_module
from quetzalgauge import ids
from quetzalgauge import leases as leases_module
from quetzalgauge import ledger as ledger_module
from quetzalgauge import messages
from quetzalgauge import plan as plan_module
from quetzalgauge import records
from quetzalgauge import views as views_module

# Bytes per second of each tier, for the reload cost. Only their ratio to the
# idle time matters, which the setting cold_start_weight scales.
TIER_RATES = {
    messages.CacheTier.MEMORY: 10e9,
    messages.CacheTier.DISK: 2e9,
    messages.CacheTier.REMOTE: 0.5e9,
}

# What room for a model costs on a target, in order of preference.
_COST_FREE = 0
_COST_RELEASE = 1
_COST_UNLOAD = 2
# The notice of an unload, the next poll and the unload itself.
EVICTION_TIME = datetime.timedelta(seconds=4)


class Rooms:
    """Finds targets with room for a model."""

    def __init__(
        self,
        ctx: context.Context,
        leases: leases_module.Leases,
        views: views_module.Views,
        demands: demand_module.Demands,
        activity: activity_module.Activity,
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._views = views
        self._demands = demands
        self._activity = activity

    def is_usable(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether the target can take a load from its holder now."""
        ctx = self._ctx
        item = ctx.membership.targets.get(target)
        state = ctx.ledger.targets.get(target)
        if item is None or state is None:
            return False
        if state.incarnation != item.incarnation:
            return False
        if ctx.membership.is_leaving(target):
            return False
        if ctx.membership.is_suspect(target, now):
            return False
        return self._leases.live_holder(target, now) is not None

    def usable_targets(
        self, zone: ids.AvailabilityZone, now: datetime.timedelta
    ) -> list[ids.TargetId]:
        """Returns the engines of a zone that can take a load now."""
        return [
            target
            for target in self._ctx.membership.engines(zone)
            if self.is_usable(target, now)
        ]

    def best_free(
        self,
        slot: ids.SlotId,
        spec: plan_module.Spec,
        free: dict[ids.TargetId, int],
        chosen: set[tuple[ids.TargetId, ids.ModelName]],
    ) -> ids.TargetId | None:
        """Returns the target for an advance reservation, None if full."""
        fitting = [
            target
            for target, space in free.items()
            if space >= spec.memory_bytes
            and (target, slot.model) not in chosen
            and not self._has_model(target, slot.model)
        ]
        if not fitting:
            return None
        return min(
            fitting,
            key=lambda target: (
                not self._views.is_cached(target, slot.model, spec.version),
                -free[target],
                context.weight(str(slot), target),
            ),
        )

    def best_target(
        self,
        slot: ids.SlotId,
        spec: plan_module.Spec,
        now: datetime.timedelta,
    ) -> ids.TargetId | None:
        """Returns the target of a zone that is expected to be ready first.

        Among equal ones, free memory goes before memory that other
        reservations have to leave.
        """
        best = None
        for target in self.usable_targets(slot.availability_zone, now):
            cost = self.cost(target, slot, spec)
            if cost is None:
                continue
            key = (
                self.expected_load(target, slot, spec, cost),
                cost,
                -self._ctx.ledger.unreserved_bytes(target),
                context.weight(str(slot), target),
            )
            if best is None or key < best[0]:
                best = (key, target)
        return None if best is None else best[1]

    def has_spare_room(
        self, target: ids.TargetId, slot: ids.SlotId, spec: plan_module.Spec
    ) -> bool:
        """Whether a slot fits on a target without unloading anything."""
        cost = self.cost(target, slot, spec)
        return cost is not None and cost < _COST_UNLOAD

    def cost(
        self, target: ids.TargetId, slot: ids.SlotId, spec: plan_module.Spec
    ) -> int | None:
        """Returns what room for a model costs, None if it can't be made."""
        ledger = self._ctx.ledger
        if self._has_model(target, slot.model):
            return None
        free = ledger.unreserved_bytes(target)
        if free >= spec.memory_bytes:
            return _COST_FREE
        if ledger.targets[target].accelerator_memory_bytes < spec.memory_bytes:
            return None
        if not ledger.older_numbers_closed(target):
            return None
        spare = sum(
            reservation.memory_bytes
            for reservation in ledger.reservations(target).values()
            if self.is_spare(target, reservation)
        )
        if free + spare >= spec.memory_bytes:
            return _COST_RELEASE
        return _COST_UNLOAD

    def expected_load(
        self,
        target: ids.TargetId,
        slot: ids.SlotId,
        spec: plan_module.Spec,
        cost: int,
    ) -> datetime.timedelta:
        """Returns about how long a load takes, with the room it needs."""
        tier = messages.CacheTier.REMOTE
        if self._views.is_cached(target, slot.model, spec.version):
            tier = messages.CacheTier.DISK
        seconds = spec.memory_bytes / TIER_RATES[tier]
        expected = datetime.timedelta(seconds=seconds)
        if cost == _COST_UNLOAD:
            expected += EVICTION_TIME
        return expected

    def _has_model(self, target: ids.TargetId, model: ids.ModelName) -> bool:
        # A second replica of a model on one target would be no second replica.
        if any(
            slot.model == model
            for slot in self._ctx.ledger.reservations(target)
        ):
            return True
        return any(
            isinstance(body, records.Reserve)
            and body.target == target
            and body.slot.model == model
            for body in self._ctx.proposed
        )

    def is_spare(
        self, target: ids.TargetId, reservation: ledger_module.Reservation
    ) -> bool:
        """Whether an unloaded reservation may make room for another."""
        slot = reservation.slot
        servable = demand_module.Servable(slot.model, reservation.version)
        least = plan_module.min_replicas(
            self._ctx.catalog, slot.model, slot.availability_zone
        )
        return (
            slot.index >= least
            and not self._demands.is_waiting(servable)
            and not self._views.is_loaded(slot, target)
            and (target, slot) not in self._activity.started
        )
