"""Orders to load reserved slots, within the zone's share of the store."""

import datetime
import logging

from quetzalgauge import activity as activity_module
from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import leases as leases_module
from quetzalgauge import ledger as ledger_module
from quetzalgauge import messages
from quetzalgauge import plan as plan_module
from quetzalgauge import records
from quetzalgauge import rooms as rooms_module
from quetzalgauge import storeshare as storeshare_module
from quetzalgauge import views as views_module

_PART = "placement"


class Loads:
    """Orders the loads of the held targets."""

    def __init__(
        self,
        ctx: context.Context,
        leases: leases_module.Leases,
        views: views_module.Views,
        rooms: rooms_module.Rooms,
        activity: activity_module.Activity,
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._rooms = rooms
        self._activity = activity
        self._share = storeshare_module.StoreShare(ctx, leases, views, activity)

    def load(
        self,
        target: ids.TargetId,
        slot: ids.SlotId,
        now: datetime.timedelta,
    ) -> None:
        """Orders a load if everything allows it."""
        ctx = self._ctx
        status = self._leases.status(target)
        if status is None or not self._may_load(target, slot, status, now):
            return
        reservation = ctx.ledger.reservations(target)[slot]
        spec = plan_module.spec(ctx.catalog, slot.model, reservation.version)
        if spec is None:
            return
        key = (slot.model, reservation.version)
        is_remote = key not in status.cached
        if is_remote and not self._share.allows(now):
            return
        order = messages.Order(
            order_id=ctx.orders.next_id(),
            target=target,
            fencing_number=ctx.ledger.targets[target].fencing_number,
            action=messages.OrderAction.LOAD,
            slot=slot,
            version=reservation.version,
            checkpoint=spec.checkpoint,
            memory_bytes=reservation.memory_bytes,
            target_incarnation=status.incarnation,
        )
        place = (target, slot)
        self._activity.started[place] = now
        if is_remote:
            self._share.note_start(now)
        address = ctx.membership.targets[target].address
        ctx.write_log(
            _PART, logging.INFO, "load", target=target, slot=str(slot)
        )
        ctx.act(ctx.orders.send(address, order))

    def warm(
        self,
        target: ids.TargetId,
        slot: ids.SlotId,
        now: datetime.timedelta,
    ) -> bool:
        """Loads a reserved slot that nobody waits for; True if ordered."""
        self.load(target, slot, now)
        place = (target, slot)
        if self._activity.started.get(place) != now:
            return False
        self._activity.warmed[place] = now
        return True

    def keep_loaded(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
        """Loads the reserved slots below the minimum of replicas."""
        ctx = self._ctx
        for slot in list(ctx.ledger.reservations(target)):
            least = plan_module.min_replicas(
                ctx.catalog, slot.model, slot.availability_zone
            )
            if slot.index < least:
                self.load(target, slot, now)

    def _may_load(
        self,
        target: ids.TargetId,
        slot: ids.SlotId,
        status: messages.TargetStatus,
        now: datetime.timedelta,
    ) -> bool:
        """Whether a load of a reserved slot may be ordered now."""
        ctx = self._ctx
        place = (target, slot)
        if not is_reserved(ctx.ledger, target, slot):
            return False
        if not self._leases.can_order(target):
            return False
        if not self._rooms.is_usable(target, now) or status.draining:
            return False
        if any(model.slot == slot for model in status.models):
            return False
        if place in self._activity.started or ctx.orders.awaits_answer(
            target, slot
        ):
            return False
        if now < self._activity.retry.get(place, context.LONG_AGO):
            return False
        if not self._leases.answered_lately(target, now):
            return False
        if not self._activity.is_status_after_orders(target, slot):
            return False
        number = ctx.ledger.targets[target].fencing_number
        if ctx.is_proposed(records.Release(target, number, slot)):
            return False
        most = plan_module.max_replicas(
            ctx.catalog, slot.model, slot.availability_zone
        )
        return slot.index < most


def is_reserved(
    ledger: ledger_module.Ledger, target: ids.TargetId, slot: ids.SlotId
) -> bool:
    """Whether a slot is reserved on a target. No load goes out without."""
    return slot in ledger.reservations(target)
