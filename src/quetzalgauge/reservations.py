"""Reservations of slots: in advance, and with room made for them."""

from collections.abc import Iterator
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
from quetzalgauge import rooms as rooms_module
from quetzalgauge import unloads as unloads_module

RESERVE_INTERVAL = datetime.timedelta(seconds=1)
# Reservations are reviewed without any change only this often.
RESERVE_REFRESH = datetime.timedelta(seconds=10)
# Bounds the size of the batch and the work of one review.
_MAX_RESERVES = 20
_MAX_SLOTS = 60


class Reservations:
    """Reserves slots on the held targets."""

    def __init__(
        self,
        ctx: context.Context,
        leases: leases_module.Leases,
        demands: demand_module.Demands,
        rooms: rooms_module.Rooms,
        unloads: unloads_module.Unloads,
        activity: activity_module.Activity,
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._demands = demands
        self._rooms = rooms
        self._unloads = unloads
        self._activity = activity
        self._reserved_at = context.LONG_AGO
        self._reserved_mark: tuple[int, ...] = ()
        self._next_slot = 0
        self._changes = 0

    def note_change(self) -> None:
        """Notes that reservations, leases, targets or models changed."""
        self._changes += 1

    def review(self, now: datetime.timedelta) -> None:
        """Reserves free memory in advance for the slots of the zone."""
        ctx = self._ctx
        if ctx.is_draining or not ctx.reading.is_current(now):
            return
        if now - self._reserved_at < RESERVE_INTERVAL:
            return
        mark = (self._changes, ctx.membership.changes, ctx.catalog.version)
        is_due = now - self._reserved_at >= RESERVE_REFRESH
        if mark == self._reserved_mark and not is_due:
            return
        self._reserved_at = now
        self._reserved_mark = mark
        free = {
            target: ctx.ledger.unreserved_bytes(target)
            for target in self._rooms.usable_targets(ctx.zone, now)
        }
        chosen: set[tuple[ids.TargetId, ids.ModelName]] = set()
        rows = list(self._wanted_slots(now))
        # The next review goes on where this one stopped, so that slots which
        # wait for another holder do not keep this one from its own.
        start = self._next_slot if self._next_slot < len(rows) else 0
        self._next_slot = 0
        count = 0
        for place in range(start, len(rows)):
            if count >= _MAX_RESERVES or place - start >= _MAX_SLOTS:
                self._next_slot = place
                self._reserved_mark = ()
                return
            slot, spec, is_kept = rows[place]
            target = self._rooms.best_free(slot, spec, free, chosen)
            if target is None:
                if is_kept:
                    self.place(slot, spec, now)
                continue
            free[target] -= spec.memory_bytes
            chosen.add((target, slot.model))
            if ctx.holds(target):
                self._reserve(target, slot, spec)
                count += 1

    def place(
        self,
        slot: ids.SlotId,
        spec: plan_module.Spec,
        now: datetime.timedelta,
    ) -> None:
        """Reserves a wanted slot on a held target, making room if needed."""
        ctx = self._ctx
        if not ctx.reading.is_current(now):
            return
        target = self._rooms.best_target(slot, spec, now)
        if target is not None and ctx.holds(target):
            self.place_on(target, slot, spec, now)

    def place_on(
        self,
        target: ids.TargetId,
        slot: ids.SlotId,
        spec: plan_module.Spec,
        now: datetime.timedelta,
    ) -> None:
        """Reserves a slot on a held target, making room if needed."""
        ctx = self._ctx
        if not self._leases.can_order(target):
            return
        free = ctx.ledger.unreserved_bytes(target) - self._proposed_bytes(
            target
        )
        if free < spec.memory_bytes:
            free += self._make_room(target, spec.memory_bytes - free, now)
        if free >= spec.memory_bytes:
            self._reserve(target, slot, spec)

    def _wanted_slots(
        self, now: datetime.timedelta
    ) -> Iterator[tuple[ids.SlotId, plan_module.Spec, bool]]:
        """Yields the zone's slots without reservation, likely ones first."""
        ctx = self._ctx
        rows = []
        other_versions = self._models_wanted_otherwise()
        for model, spec, least, most in plan_module.of_zone(
            ctx.catalog, ctx.zone
        ):
            if model in other_versions:
                continue
            servable = demand_module.Servable(model, spec.version)
            wanted = self._demands.last_wanted(servable) or context.LONG_AGO
            for index in range(most):
                slot = ids.SlotId(model, ctx.zone, index)
                if slot not in ctx.ledger.slots:
                    key = (index >= least, index, -wanted, -spec.priority)
                    rows.append((key, slot, spec, index < least))
        rows.sort(key=lambda row: (row[0], row[1]))
        for _, slot, spec, is_kept in rows:
            yield slot, spec, is_kept

    def _models_wanted_otherwise(self) -> set[ids.ModelName]:
        """Returns models of which only another than the default is wanted.

        Demand places them; an advance reservation would undo that.
        """
        models = set()
        for servable in self._demands.waiting():
            default = plan_module.default_spec(
                self._ctx.catalog, servable.model
            )
            if default is None or default.version == servable.version:
                continue
            usual = demand_module.Servable(servable.model, default.version)
            if not self._demands.is_waiting(usual):
                models.add(servable.model)
        return models

    def _proposed_bytes(self, target: ids.TargetId) -> int:
        return sum(
            body.memory_bytes
            for body in self._ctx.proposed
            if isinstance(body, records.Reserve) and body.target == target
        )

    def _make_room(
        self, target: ids.TargetId, wanted: int, now: datetime.timedelta
    ) -> int:
        """Releases spare reservations, or unloads idle models for later."""
        ledger = self._ctx.ledger
        spare = [
            reservation
            for reservation in ledger.reservations(target).values()
            if self._rooms.is_spare(target, reservation)
        ]
        spare.sort(key=self._last_wanted)
        freed = 0
        for reservation in spare:
            if freed >= wanted:
                break
            if self._unloads.release(target, reservation.slot, now):
                freed += reservation.memory_bytes
        if freed < wanted:
            self._evict(target, wanted - freed, now)
        return freed

    def _evict(
        self, target: ids.TargetId, wanted: int, now: datetime.timedelta
    ) -> None:
        """Chooses idle models to unload so that another can be placed."""
        status = self._leases.status(target)
        if status is None:
            return
        reservations = self._ctx.ledger.reservations(target)
        idle = [
            reservations[model.slot]
            for model in status.models
            if model.slot in reservations
            and self._may_evict(target, model, now)
        ]
        if sum(item.memory_bytes for item in idle) < wanted:
            return
        idle.sort(key=self._last_wanted)
        for reservation in idle:
            if wanted <= 0:
                return
            self._activity.evicted[(target, reservation.slot)] = (
                now + RESERVE_REFRESH
            )
            wanted -= reservation.memory_bytes

    def _may_evict(
        self,
        target: ids.TargetId,
        model: messages.ModelStatus,
        now: datetime.timedelta,
    ) -> bool:
        slot = model.slot
        least = plan_module.min_replicas(
            self._ctx.catalog, slot.model, slot.availability_zone
        )
        servable = demand_module.Servable(slot.model, model.version)
        if slot.index < least or self._demands.is_waiting(servable):
            return False
        if model.state is messages.ReplicaState.LOADING:
            return False
        return (
            now - self._activity.last_used(target, model, now)
            >= activity_module.MIN_IDLE
        )

    def _last_wanted(
        self, reservation: ledger_module.Reservation
    ) -> tuple[datetime.timedelta, ids.SlotId]:
        servable = demand_module.Servable(
            reservation.slot.model, reservation.version
        )
        wanted = self._demands.last_wanted(servable) or context.LONG_AGO
        return wanted, reservation.slot

    def _reserve(
        self, target: ids.TargetId, slot: ids.SlotId, spec: plan_module.Spec
    ) -> None:
        number = self._ctx.ledger.targets[target].fencing_number
        self._ctx.propose(
            records.Reserve(
                target, number, slot, spec.version, spec.memory_bytes
            )
        )
