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
from quetzalgauge import views as views_module
from quetzalgauge.gen import ttypes

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
        self._views = views
        self._rooms = rooms
        self._activity = activity
        self._remote_starts: list[datetime.timedelta] = []

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
        if is_remote and not self._takes_share(now):
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
            self._remote_starts.append(now)
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

    def _takes_share(self, now: datetime.timedelta) -> bool:
        """Whether the zone's share of the weight store allows a load."""
        ctx = self._ctx
        share = zone_share(ctx.ledger, ctx.settings.loads_at_once, ctx.zone)
        second = now - datetime.timedelta(seconds=1)
        self._remote_starts = [
            start for start in self._remote_starts if start > second
        ]
        if len(self._remote_starts) >= share:
            return False
        loading = {
            (target, views_module.slot_of(replica))
            for target in ctx.membership.engines(ctx.zone)
            for replica in self._replicas_on(target)
            if replica.state == ttypes.ReplicaState.LOADING
            and not self._views.is_cached(
                target, replica.slot.model, replica.version
            )
        }
        loading.update(self._activity.started)
        needed = sum(place not in self._activity.warmed for place in loading)
        # Loads that nobody waits for count too, but must not hold back the
        # first one that is needed: a load takes up to a minute.
        return needed == 0 or len(loading) < share

    def _replicas_on(self, target: ids.TargetId) -> list:
        state = self._views.state(target)
        return [] if state is None else state.replicas


def is_reserved(
    ledger: ledger_module.Ledger, target: ids.TargetId, slot: ids.SlotId
) -> bool:
    """Whether a slot is reserved on a target. No load goes out without."""
    return slot in ledger.reservations(target)


def zone_share(
    ledger: ledger_module.Ledger, total: int, zone: ids.AvailabilityZone
) -> int:
    """Returns a zone's share of a region's limit, at least 1.

    The zones are those with a registered control process; the remainder goes
    to the zones that are first in name order.
    """
    zones = sorted(
        {writer.availability_zone for writer in ledger.writers.values()}
        | {zone}
    )
    share, remainder = divmod(total, len(zones))
    return max(1, share + (zones.index(zone) < remainder))
