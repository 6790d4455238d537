"""The places that zones offer for one more replica of a model."""

import dataclasses
import datetime

from quetzalgauge import activity as activity_module
from quetzalgauge import context
from quetzalgauge import demand as demand_module
from quetzalgauge import ids
from quetzalgauge import plan as plan_module
from quetzalgauge import rooms as rooms_module
from quetzalgauge import views as views_module
from quetzalgauge.gen import ttypes

# Requests that wait longer, with no replica loading or ready in the region,
# show that the zone that was chosen does not serve them.
REGION_PATIENCE = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A place for one more replica of a model.

    Attributes:
        is_reserved: Whether the slot is reserved on the target already.
        rank: The lowest of all zones' offers is taken. All control processes
            compute it from the same log and the exchanged views.
    """

    target: ids.TargetId
    slot: ids.SlotId
    is_reserved: bool
    rank: tuple[datetime.timedelta, int, int]


class Offers:
    """Finds the best place in a zone for one more replica."""

    def __init__(
        self,
        ctx: context.Context,
        views: views_module.Views,
        demands: demand_module.Demands,
        rooms: rooms_module.Rooms,
        activity: activity_module.Activity,
    ) -> None:
        self._ctx = ctx
        self._views = views
        self._demands = demands
        self._rooms = rooms
        self._activity = activity

    def zones_for(
        self, servable: demand_module.Servable, now: datetime.timedelta
    ) -> list[ids.AvailabilityZone]:
        """Returns the zones that may load a replica for waiting requests.

        One replica anywhere in the region serves a burst, since the way
        between zones takes about a millisecond and a load takes seconds.
        """
        ctx = self._ctx
        zones = [
            zone
            for zone in plan_module.zones(ctx.catalog, servable.model)
            if ctx.membership.engines(zone)
        ]
        if ctx.zone in zones and not self._helps_elsewhere(servable, now):
            return [ctx.zone]
        return zones

    def find(
        self,
        servable: demand_module.Servable,
        spec: plan_module.Spec,
        zone: ids.AvailabilityZone,
        loaded: int,
        now: datetime.timedelta,
    ) -> Offer | None:
        """Returns the best place in a zone for one more replica."""
        ctx = self._ctx
        most = plan_module.max_replicas(ctx.catalog, servable.model, zone)
        if loaded >= most:
            return None
        slots = [
            ids.SlotId(servable.model, zone, index) for index in range(most)
        ]
        place = self._reserved_place(slots, servable, now)
        is_reserved_place = place is not None
        if place is None:
            place = self._unreserved_place(slots, spec, now)
        if place is None:
            return None
        target, slot = place
        cost = 0
        if not is_reserved_place:
            cost = self._rooms.cost(target, slot, spec) or 0
        rank = (
            self._rooms.expected_load(target, slot, spec, cost),
            cost,
            context.weight(servable.model, zone),
        )
        return Offer(target, slot, is_reserved_place, rank)

    def count_loaded(
        self,
        servable: demand_module.Servable,
        zone: ids.AvailabilityZone,
        now: datetime.timedelta,
    ) -> int:
        """Counts replicas that are ready or will be, and may get requests."""
        membership = self._ctx.membership
        is_own = zone == self._ctx.zone
        slots = {
            replica.slot.index
            for replica in self._views.replicas(servable.model, zone)
            if replica.version == servable.version
            and replica.state != ttypes.ReplicaState.UNLOADING
            and not membership.is_leaving(replica.target)
            and not membership.is_absent(replica.target)
            and (is_own or self._rooms.is_usable(replica.target, now))
        }
        slots |= {
            slot.index
            for target, slot in self._activity.started
            if slot.model == servable.model
            and slot.availability_zone == zone
            and self._reserved_version(target, slot) == servable.version
        }
        return len(slots)

    def _helps_elsewhere(
        self, servable: demand_module.Servable, now: datetime.timedelta
    ) -> bool:
        """Whether another zone can be expected to serve waiting requests.

        A zone that is cut off, or that gets no answer from the chosen zone,
        serves itself.
        """
        if not self._ctx.reading.is_current(now):
            return False
        if self._demands.oldest_own_wait(servable) < REGION_PATIENCE:
            return True
        return any(
            replica.version == servable.version
            and replica.state != ttypes.ReplicaState.UNLOADING
            and self._rooms.is_usable(replica.target, now)
            for replica in self._views.replicas(servable.model)
        )

    def _reserved_version(
        self, target: ids.TargetId, slot: ids.SlotId
    ) -> ids.VersionName | None:
        reservation = self._ctx.ledger.reservations(target).get(slot)
        return None if reservation is None else reservation.version

    def _reserved_place(
        self,
        slots: list[ids.SlotId],
        servable: demand_module.Servable,
        now: datetime.timedelta,
    ) -> activity_module.Place | None:
        """Returns the first reserved slot that can be loaded.

        All processes agree on it, since the reservations come from the log.
        """
        ctx = self._ctx
        for slot in slots:
            target = ctx.ledger.target_of_slot(slot)
            if target is None:
                continue
            if self._reserved_version(target, slot) != servable.version:
                continue
            if self._views.is_loaded(slot, target):
                continue
            if (target, slot) in self._activity.started:
                continue
            if self._rooms.is_usable(target, now):
                return target, slot
        return None

    def _unreserved_place(
        self,
        slots: list[ids.SlotId],
        spec: plan_module.Spec,
        now: datetime.timedelta,
    ) -> activity_module.Place | None:
        """Returns the best target for a slot that has no reservation."""
        ctx = self._ctx
        for slot in slots:
            if slot in ctx.ledger.slots:
                continue
            target = self._rooms.best_target(slot, spec, now)
            return None if target is None else (target, slot)
        # Every slot has another version: ask for one to be given up.
        for slot in slots:
            target = ctx.ledger.target_of_slot(slot)
            if target is None or not self._rooms.is_usable(target, now):
                continue
            if self._reserved_version(target, slot) != spec.version:
                return target, slot
        return None
