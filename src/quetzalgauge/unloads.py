"""Which slots leave a held target: unloads and releases."""

import datetime
import logging

from quetzalgauge import activity as activity_module
from quetzalgauge import context
from quetzalgauge import demand as demand_module
from quetzalgauge import ids
from quetzalgauge import leases as leases_module
from quetzalgauge import ledger as ledger_module
from quetzalgauge import messages
from quetzalgauge import plan as plan_module
from quetzalgauge import records
from quetzalgauge import rooms as rooms_module

# Peers get the news at once and their entries within one long poll; twice
# that, with a margin for a lost message that the exchange repeats.
UNLOAD_NOTICE = datetime.timedelta(seconds=2)

_PART = "placement"


class Unloads:
    """Unloads and releases what should no longer be on a target."""

    def __init__(
        self,
        ctx: context.Context,
        leases: leases_module.Leases,
        demands: demand_module.Demands,
        activity: activity_module.Activity,
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._demands = demands
        self._activity = activity

    def review(self, target: ids.TargetId, now: datetime.timedelta) -> None:
        """Unloads and releases what should no longer be on a held target."""
        ctx = self._ctx
        status = self._leases.status(target)
        if status is None or not self._leases.can_order(target):
            return
        reservations = ctx.ledger.reservations(target)
        loaded = {model.slot: model for model in status.models}
        for slot, model in loaded.items():
            reservation = reservations.get(slot)
            if (
                reservation is None
                or reservation.version != model.version
                or self._must_leave(target, reservation, now)
                or self._is_idle(target, model, status, now)
            ):
                self._unload(target, model, now)
            else:
                self._activity.announced.pop((target, slot), None)
        for slot, reservation in list(reservations.items()):
            if slot not in loaded and self._must_leave(
                target, reservation, now
            ):
                self.release(target, slot, now)

    def release(
        self, target: ids.TargetId, slot: ids.SlotId, now: datetime.timedelta
    ) -> bool:
        """Proposes to free a reservation; False if that is not safe yet."""
        ctx = self._ctx
        status = self._leases.status(target)
        if status is None or not ctx.reading.is_current(now):
            return False
        if not self._leases.can_order(target):
            return False
        if not self._leases.answered_lately(target, now):
            return False
        if not ctx.ledger.older_numbers_closed(target):
            return False
        if any(model.slot == slot for model in status.models):
            return False
        if ctx.orders.in_flight(target, slot):
            return False
        if not self._activity.is_status_after_orders(target, slot):
            return False
        number = ctx.ledger.targets[target].fencing_number
        ctx.propose(records.Release(target, number, slot))
        self._activity.evicted.pop((target, slot), None)
        self._activity.retry.pop((target, slot), None)
        return True

    def _must_leave(
        self,
        target: ids.TargetId,
        reservation: ledger_module.Reservation,
        now: datetime.timedelta,
    ) -> bool:
        """Whether a slot should not stay on its target."""
        ctx = self._ctx
        slot = reservation.slot
        status = self._leases.status(target)
        if ctx.membership.is_leaving(target):
            return True
        if status is not None and status.draining:
            return True
        if self._activity.evicted.get((target, slot), context.LONG_AGO) > now:
            return True
        if not ctx.is_config_read:
            return False
        most = plan_module.max_replicas(
            ctx.catalog, slot.model, slot.availability_zone
        )
        if slot.index >= most or self._is_double(target, slot):
            return True
        spec = plan_module.spec(ctx.catalog, slot.model, reservation.version)
        if spec is None or spec.memory_bytes != reservation.memory_bytes:
            return True
        return self._is_superseded(reservation, now)

    def _is_double(self, target: ids.TargetId, slot: ids.SlotId) -> bool:
        """Whether a slot of the same model with a lower index is here too."""
        return any(
            other.model == slot.model and other.index < slot.index
            for other in self._ctx.ledger.reservations(target)
        )

    def _is_superseded(
        self, reservation: ledger_module.Reservation, now: datetime.timedelta
    ) -> bool:
        """Whether a slot should move to another version of its model."""
        slot = reservation.slot
        default = plan_module.default_spec(self._ctx.catalog, slot.model)
        if default is None:
            return True
        servable = demand_module.Servable(slot.model, reservation.version)
        wanted = self._demands.last_wanted(servable) or context.LONG_AGO
        if now - wanted < activity_module.MIN_IDLE:
            return False
        if reservation.version != default.version:
            return True
        return any(
            other.model == slot.model and other.version != reservation.version
            for other in self._demands.waiting()
        )

    def _is_idle(
        self,
        target: ids.TargetId,
        model: messages.ModelStatus,
        status: messages.TargetStatus,
        now: datetime.timedelta,
    ) -> bool:
        """Whether keeping a model loaded costs more than loading it again."""
        ctx = self._ctx
        slot = model.slot
        least = plan_module.min_replicas(
            ctx.catalog, slot.model, slot.availability_zone
        )
        if slot.index < least:
            return False
        if model.state is not messages.ReplicaState.READY:
            return model.state is messages.ReplicaState.UNLOADING
        if model.running or model.waiting:
            return False
        idle = now - self._activity.last_used(target, model, now)
        if self._is_only_warmed(target, model):
            return idle > activity_module.MIN_IDLE
        tier = status.cached.get(
            (slot.model, model.version), messages.CacheTier.REMOTE
        )
        cost = model.memory_bytes / rooms_module.TIER_RATES[tier]
        limit = datetime.timedelta(
            seconds=cost * ctx.settings.cold_start_weight
        )
        return idle > max(activity_module.MIN_IDLE, limit)

    def _is_only_warmed(
        self, target: ids.TargetId, model: messages.ModelStatus
    ) -> bool:
        """Whether a model was loaded for the cache and not wanted since."""
        warmed = self._activity.warmed.get((target, model.slot))
        if warmed is None:
            return False
        servable = demand_module.Servable(model.model, model.version)
        wanted = self._demands.last_wanted(servable)
        return wanted is None or wanted < warmed

    def _unload(
        self,
        target: ids.TargetId,
        model: messages.ModelStatus,
        now: datetime.timedelta,
    ) -> None:
        """Announces an unload, and orders it once everyone could know."""
        ctx = self._ctx
        place = (target, model.slot)
        since = self._activity.announced.setdefault(place, now)
        if model.state is messages.ReplicaState.UNLOADING:
            return
        if now - since < UNLOAD_NOTICE:
            return
        if ctx.orders.awaits_answer(target, model.slot):
            return
        if now < self._activity.retry.get(place, context.LONG_AGO):
            return
        if not self._activity.is_status_after_orders(target, model.slot):
            return
        if not self._leases.may_unload(target, now):
            return
        item = ctx.membership.targets.get(target)
        status = self._leases.status(target)
        if item is None or status is None:
            return
        order = messages.Order(
            order_id=ctx.orders.next_id(),
            target=target,
            fencing_number=ctx.ledger.targets[target].fencing_number,
            action=messages.OrderAction.UNLOAD,
            slot=model.slot,
            version=model.version,
            memory_bytes=model.memory_bytes,
            target_incarnation=status.incarnation,
        )
        ctx.write_log(
            _PART, logging.INFO, "unload", target=target, slot=str(model.slot)
        )
        ctx.act(ctx.orders.send(item.address, order))
