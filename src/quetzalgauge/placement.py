"""Which slots to reserve, load, unload and move."""

from collections.abc import Iterator
import dataclasses
import datetime
import logging
import math

from quetzalgauge import context
from quetzalgauge import demand as demand_module
from quetzalgauge import ids
from quetzalgauge import leases as leases_module
from quetzalgauge import ledger as ledger_module
from quetzalgauge import messages
from quetzalgauge import plan as plan_module
from quetzalgauge import records
from quetzalgauge import views as views_module
from quetzalgauge.gen import ttypes

# Peers get the news at once and their entries within one long poll; twice
# that, with a margin for a lost message that the exchange repeats.
UNLOAD_NOTICE = datetime.timedelta(seconds=2)
# Load reports lag by about a second, so a shorter pause proves no idleness.
MIN_IDLE = datetime.timedelta(seconds=5)
# A load or an unload that was refused or got lost is tried again after this.
RETRY = datetime.timedelta(seconds=1)
DEMAND_REPEAT = datetime.timedelta(milliseconds=500)
RESERVE_INTERVAL = datetime.timedelta(seconds=1)
# Reservations are reviewed without any change only this often.
RESERVE_REFRESH = datetime.timedelta(seconds=10)
# Bounds the size of the batch and the work of one review.
_MAX_RESERVES = 20
_MAX_SLOTS = 60
# Bytes per second of each tier, for the reload cost. Only their ratio to the
# idle time matters, which the setting cold_start_weight scales.
_TIER_RATES = {
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
# Requests that wait longer, with no replica loading or ready in the region,
# show that the zone that was chosen does not serve them.
REGION_PATIENCE = datetime.timedelta(seconds=10)

_PART = "placement"
_LONG_AGO = datetime.timedelta(days=-1)

_Place = tuple[ids.TargetId, ids.SlotId]


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
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


class Placement:
    """Decides on the slots of the targets that this process holds."""

    def __init__(
        self,
        ctx: context.Context,
        leases: leases_module.Leases,
        views: views_module.Views,
        demands: demand_module.Demands,
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._views = views
        self._demands = demands
        # Since when a slot is announced as unloading.
        self._unloads: dict[_Place, datetime.timedelta] = {}
        self._used: dict[_Place, datetime.timedelta] = {}
        self._retry: dict[_Place, datetime.timedelta] = {}
        self._started: dict[_Place, datetime.timedelta] = {}
        self._evicted: dict[_Place, datetime.timedelta] = {}
        # Loads that were started with nobody waiting.
        self._warmed: dict[_Place, datetime.timedelta] = {}
        self._remote_starts: list[datetime.timedelta] = []
        self._sent: dict[
            tuple[ids.InstanceId, demand_module.Servable], datetime.timedelta
        ] = {}
        self._reserved_at = _LONG_AGO
        self._reserved_mark: tuple[int, ...] = ()
        self._next_slot = 0
        self._changes = 0

    # ---- What happened -----------------------------------------------------

    def note_change(self) -> None:
        """Notes that reservations, leases, targets or models changed."""
        self._changes += 1

    def poll(
        self,
        target: ids.TargetId,
        status: messages.TargetStatus,
        now: datetime.timedelta,
    ) -> None:
        """Notes a status that `leases` has noted already."""
        loaded = set()
        for model in status.models:
            place = (target, model.slot)
            loaded.add(model.slot)
            self._started.pop(place, None)
            is_used = model.running or model.waiting
            is_ready = model.state is messages.ReplicaState.READY
            if is_used or not is_ready or place not in self._used:
                self._used[place] = now
        for place in [p for p in self._unloads if p[0] == target]:
            if place[1] not in loaded:
                del self._unloads[place]
        for place in [p for p in self._used if p[0] == target]:
            if place[1] not in loaded:
                del self._used[place]
                self._warmed.pop(place, None)
        for place in [p for p in self._started if p[0] == target]:
            # An accepted load that the status does not show has failed.
            if self._is_status_after_orders(*place):
                del self._started[place]
                self._retry[place] = now + RETRY

    def answer_order(
        self,
        order: messages.Order,
        outcome: messages.OrderOutcome,
        now: datetime.timedelta,
    ) -> None:
        """Notes the answer to a load or an unload."""
        if order.slot is None:
            return
        place = (order.target, order.slot)
        done = (messages.OrderOutcome.ACCEPTED, messages.OrderOutcome.DONE)
        if outcome in done:
            return
        self._started.pop(place, None)
        self._retry[place] = now + RETRY

    def unloading(self, target: ids.TargetId) -> set[ids.SlotId]:
        """Returns the slots of a target that are announced as unloading."""
        return {slot for name, slot in self._unloads if name == target}

    def is_changing(self, target: ids.TargetId) -> bool:
        """Whether a target loads or unloads, so that it is polled often."""
        status = self._leases.status(target)
        if status is not None and any(
            model.state is not messages.ReplicaState.READY
            for model in status.models
        ):
            return True
        return any(place[0] == target for place in self._started) or any(
            place[0] == target for place in self._unloads
        )

    # ---- Reviews -----------------------------------------------------------

    def review_target(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
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
                self._unloads.pop((target, slot), None)
        for slot, reservation in list(reservations.items()):
            if slot not in loaded and self._must_leave(
                target, reservation, now
            ):
                self._release(target, slot, now)

    def review_loads(self, now: datetime.timedelta) -> None:
        """Loads what requests wait for, and what is kept loaded."""
        if self._ctx.is_draining:
            return
        forwards: dict[ids.InstanceId, list[demand_module.Servable]] = {}
        for servable in self._demands.waiting():
            self._serve(servable, forwards, now)
        for holder, servables in sorted(forwards.items()):
            self._forward(holder, servables, now)
        for target in self._leases.held():
            self._keep_loaded(target, now)

    def review_reservations(self, now: datetime.timedelta) -> None:
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
            for target in self.usable_targets(ctx.zone, now)
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
            target = self._best_free(slot, spec, free, chosen)
            if target is None:
                if is_kept:
                    self._place(slot, spec, now)
                continue
            free[target] -= spec.memory_bytes
            chosen.add((target, slot.model))
            if ctx.holds(target):
                self._reserve(target, slot, spec)
                count += 1

    # ---- Loading -----------------------------------------------------------

    def _serve(
        self,
        servable: demand_module.Servable,
        forwards: dict[ids.InstanceId, list[demand_module.Servable]],
        now: datetime.timedelta,
    ) -> None:
        """Starts what demand for a model needs here, or finds who can."""
        ctx = self._ctx
        spec = plan_module.spec(ctx.catalog, servable.model, servable.version)
        if spec is None:
            return
        requests = self._demands.requests(servable)
        needed = max(1, math.ceil(requests / views_module.MAX_RUNNING))
        offers = []
        loaded = 0
        for zone in self._zones_for(servable, now):
            count = self._count_loaded(servable, zone, now)
            loaded += count
            offer = self._offer(servable, spec, zone, count, now)
            if offer is not None:
                offers.append(offer)
        if not offers:
            return
        best = min(offers, key=lambda offer: offer.rank)
        if not ctx.holds(best.target):
            # Also without need for a further replica: only the holder of the
            # next slot sees the demand of all entries together.
            holder = ctx.ledger.targets[best.target].holder
            if holder is not None:
                forwards.setdefault(holder.instance, []).append(servable)
        elif loaded >= needed:
            return
        elif best.is_reserved:
            self._load(best.target, best.slot, now)
        elif best.slot not in ctx.ledger.slots:
            self._place(best.slot, spec, now)

    def _zones_for(
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
            and self._is_usable(replica.target, now)
            for replica in self._views.replicas(servable.model)
        )

    def _offer(
        self,
        servable: demand_module.Servable,
        spec: plan_module.Spec,
        zone: ids.AvailabilityZone,
        loaded: int,
        now: datetime.timedelta,
    ) -> _Offer | None:
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
            cost = self._cost(target, slot, spec) or 0
        rank = (
            self._expected_load(target, slot, spec, cost),
            cost,
            context.weight(servable.model, zone),
        )
        return _Offer(target, slot, is_reserved_place, rank)

    def _count_loaded(
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
            and (is_own or self._is_usable(replica.target, now))
        }
        slots |= {
            slot.index
            for target, slot in self._started
            if slot.model == servable.model
            and slot.availability_zone == zone
            and self._reserved_version(target, slot) == servable.version
        }
        return len(slots)

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
    ) -> _Place | None:
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
            if (target, slot) in self._started:
                continue
            if self._is_usable(target, now):
                return target, slot
        return None

    def _unreserved_place(
        self,
        slots: list[ids.SlotId],
        spec: plan_module.Spec,
        now: datetime.timedelta,
    ) -> _Place | None:
        """Returns the best target for a slot that has no reservation."""
        ctx = self._ctx
        for slot in slots:
            if slot in ctx.ledger.slots:
                continue
            target = self._best_target(slot, spec, now)
            return None if target is None else (target, slot)
        # Every slot has another version: ask for one to be given up.
        for slot in slots:
            target = ctx.ledger.target_of_slot(slot)
            if target is None or not self._is_usable(target, now):
                continue
            if self._reserved_version(target, slot) != spec.version:
                return target, slot
        return None

    def _is_usable(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
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
            if self._is_usable(target, now)
        ]

    def _keep_loaded(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
        """Loads the reserved slots below the minimum of replicas."""
        ctx = self._ctx
        for slot in list(ctx.ledger.reservations(target)):
            least = plan_module.min_replicas(
                ctx.catalog, slot.model, slot.availability_zone
            )
            if slot.index < least:
                self._load(target, slot, now)

    def _load(
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
        self._started[place] = now
        if is_remote:
            self._remote_starts.append(now)
        address = ctx.membership.targets[target].address
        ctx.write_log(
            _PART, logging.INFO, "load", target=target, slot=str(slot)
        )
        ctx.act(ctx.orders.send(address, order))

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
        if not self._is_usable(target, now) or status.draining:
            return False
        if any(model.slot == slot for model in status.models):
            return False
        if place in self._started or ctx.orders.awaits_answer(target, slot):
            return False
        if now < self._retry.get(place, _LONG_AGO):
            return False
        if not self._leases.answered_lately(target, now):
            return False
        if not self._is_status_after_orders(target, slot):
            return False
        number = ctx.ledger.targets[target].fencing_number
        if ctx.is_proposed(records.Release(target, number, slot)):
            return False
        most = plan_module.max_replicas(
            ctx.catalog, slot.model, slot.availability_zone
        )
        return slot.index < most

    def _is_status_after_orders(
        self, target: ids.TargetId, slot: ids.SlotId
    ) -> bool:
        """Whether the status shows the effect of every answered order."""
        mark = self._leases.status_mark(target)
        if mark is None:
            return False
        return not self._ctx.orders.changed_since(target, slot, mark)

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
        loading.update(self._started)
        needed = sum(place not in self._warmed for place in loading)
        # Loads that nobody waits for count too, but must not hold back the
        # first one that is needed: a load takes up to a minute.
        return needed == 0 or len(loading) < share

    def _replicas_on(self, target: ids.TargetId) -> list:
        state = self._views.state(target)
        return [] if state is None else state.replicas

    def _forward(
        self,
        holder: ids.InstanceId,
        servables: list[demand_module.Servable],
        now: datetime.timedelta,
    ) -> None:
        """Hands demand of own entries to the holder that can serve it."""
        address = self._ctx.peer_address(holder)
        demands = []
        for servable in servables:
            key = (holder, servable)
            if now - self._sent.get(key, _LONG_AGO) < DEMAND_REPEAT:
                continue
            found = list(self._demands.own(servable))
            if found:
                self._sent[key] = now
                demands += found
        if demands and address is not None:
            self._ctx.act(messages.SendDemand(address, demands))
        if len(self._sent) > 1000:
            self._sent = {
                key: sent
                for key, sent in self._sent.items()
                if now - sent < DEMAND_REPEAT
            }

    # ---- Reserving ---------------------------------------------------------

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
            wanted = self._demands.last_wanted(servable) or _LONG_AGO
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

    def _best_free(
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

    def _best_target(
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
            cost = self._cost(target, slot, spec)
            if cost is None:
                continue
            key = (
                self._expected_load(target, slot, spec, cost),
                cost,
                -self._ctx.ledger.unreserved_bytes(target),
                context.weight(str(slot), target),
            )
            if best is None or key < best[0]:
                best = (key, target)
        return None if best is None else best[1]

    def _expected_load(
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
        seconds = spec.memory_bytes / _TIER_RATES[tier]
        expected = datetime.timedelta(seconds=seconds)
        if cost == _COST_UNLOAD:
            expected += EVICTION_TIME
        return expected

    def _cost(
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
            if self._is_spare(target, reservation)
        )
        if free + spare >= spec.memory_bytes:
            return _COST_RELEASE
        return _COST_UNLOAD

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

    def _is_spare(
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
            and (target, slot) not in self._started
        )

    def _place(
        self,
        slot: ids.SlotId,
        spec: plan_module.Spec,
        now: datetime.timedelta,
    ) -> None:
        """Reserves a wanted slot on a held target, making room if needed."""
        ctx = self._ctx
        if not ctx.reading.is_current(now):
            return
        target = self._best_target(slot, spec, now)
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

    def has_spare_room(
        self, target: ids.TargetId, slot: ids.SlotId, spec: plan_module.Spec
    ) -> bool:
        """Whether a slot fits on a target without unloading anything."""
        cost = self._cost(target, slot, spec)
        return cost is not None and cost < _COST_UNLOAD

    def warm(
        self,
        target: ids.TargetId,
        slot: ids.SlotId,
        now: datetime.timedelta,
    ) -> bool:
        """Loads a reserved slot that nobody waits for; True if ordered."""
        self._load(target, slot, now)
        place = (target, slot)
        if self._started.get(place) != now:
            return False
        self._warmed[place] = now
        return True

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
            if self._is_spare(target, reservation)
        ]
        spare.sort(key=self._last_wanted)
        freed = 0
        for reservation in spare:
            if freed >= wanted:
                break
            if self._release(target, reservation.slot, now):
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
            self._evicted[(target, reservation.slot)] = now + RESERVE_REFRESH
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
        return now - self._last_used(target, model, now) >= MIN_IDLE

    def _last_wanted(
        self, reservation: ledger_module.Reservation
    ) -> tuple[datetime.timedelta, ids.SlotId]:
        servable = demand_module.Servable(
            reservation.slot.model, reservation.version
        )
        wanted = self._demands.last_wanted(servable) or _LONG_AGO
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

    # ---- Unloading and releasing -------------------------------------------

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
        if self._evicted.get((target, slot), _LONG_AGO) > now:
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
        wanted = self._demands.last_wanted(servable) or _LONG_AGO
        if now - wanted < MIN_IDLE:
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
        idle = now - self._last_used(target, model, now)
        if self._is_only_warmed(target, model):
            return idle > MIN_IDLE
        tier = status.cached.get(
            (slot.model, model.version), messages.CacheTier.REMOTE
        )
        cost = model.memory_bytes / _TIER_RATES[tier]
        limit = datetime.timedelta(
            seconds=cost * ctx.settings.cold_start_weight
        )
        return idle > max(MIN_IDLE, limit)

    def _is_only_warmed(
        self, target: ids.TargetId, model: messages.ModelStatus
    ) -> bool:
        """Whether a model was loaded for the cache and not wanted since."""
        warmed = self._warmed.get((target, model.slot))
        if warmed is None:
            return False
        servable = demand_module.Servable(model.model, model.version)
        wanted = self._demands.last_wanted(servable)
        return wanted is None or wanted < warmed

    def _last_used(
        self,
        target: ids.TargetId,
        model: messages.ModelStatus,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        servable = demand_module.Servable(model.model, model.version)
        wanted = self._demands.last_wanted(servable) or _LONG_AGO
        return max(wanted, self._used.get((target, model.slot), now))

    def _unload(
        self,
        target: ids.TargetId,
        model: messages.ModelStatus,
        now: datetime.timedelta,
    ) -> None:
        """Announces an unload, and orders it once everyone could know."""
        ctx = self._ctx
        place = (target, model.slot)
        since = self._unloads.setdefault(place, now)
        if model.state is messages.ReplicaState.UNLOADING:
            return
        if now - since < UNLOAD_NOTICE:
            return
        if ctx.orders.awaits_answer(target, model.slot):
            return
        if now < self._retry.get(place, _LONG_AGO):
            return
        if not self._is_status_after_orders(target, model.slot):
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

    def _release(
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
        if not self._is_status_after_orders(target, slot):
            return False
        number = ctx.ledger.targets[target].fencing_number
        ctx.propose(records.Release(target, number, slot))
        self._evicted.pop((target, slot), None)
        self._retry.pop((target, slot), None)
        return True


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
