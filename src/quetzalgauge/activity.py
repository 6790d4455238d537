"""What was started on the held targets, and how they took it."""

import datetime

from quetzalgauge import context
from quetzalgauge import demand as demand_module
from quetzalgauge import ids
from quetzalgauge import leases as leases_module
from quetzalgauge import messages

# Load reports lag by about a second, so a shorter pause proves no idleness.
MIN_IDLE = datetime.timedelta(seconds=5)
# A load or an unload that was refused or got lost is tried again after this.
RETRY = datetime.timedelta(seconds=1)

Place = tuple[ids.TargetId, ids.SlotId]


class Activity:
    """What this process has under way on its targets.

    Attributes:
        announced: Since when a slot is announced as unloading.
        used: When a loaded slot was last seen in use.
        retry: The earliest time of another order for a slot.
        started: When a load was ordered that no status shows yet.
        evicted: Until when a slot has to leave so that another is placed.
        warmed: When a load was started with nobody waiting.
    """

    def __init__(
        self,
        ctx: context.Context,
        leases: leases_module.Leases,
        demands: demand_module.Demands,
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._demands = demands
        self.announced: dict[Place, datetime.timedelta] = {}
        self.used: dict[Place, datetime.timedelta] = {}
        self.retry: dict[Place, datetime.timedelta] = {}
        self.started: dict[Place, datetime.timedelta] = {}
        self.evicted: dict[Place, datetime.timedelta] = {}
        self.warmed: dict[Place, datetime.timedelta] = {}

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
            self.started.pop(place, None)
            is_used = model.running or model.waiting
            is_ready = model.state is messages.ReplicaState.READY
            if is_used or not is_ready or place not in self.used:
                self.used[place] = now
        for place in [p for p in self.announced if p[0] == target]:
            if place[1] not in loaded:
                del self.announced[place]
        for place in [p for p in self.used if p[0] == target]:
            if place[1] not in loaded:
                del self.used[place]
                self.warmed.pop(place, None)
        for place in [p for p in self.started if p[0] == target]:
            # An accepted load that the status does not show has failed.
            if self.is_status_after_orders(*place):
                del self.started[place]
                self.retry[place] = now + RETRY

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
        self.started.pop(place, None)
        self.retry[place] = now + RETRY

    def unloading(self, target: ids.TargetId) -> set[ids.SlotId]:
        """Returns the slots of a target that are announced as unloading."""
        return {slot for name, slot in self.announced if name == target}

    def is_changing(self, target: ids.TargetId) -> bool:
        """Whether a target loads or unloads, so that it is polled often."""
        status = self._leases.status(target)
        if status is not None and any(
            model.state is not messages.ReplicaState.READY
            for model in status.models
        ):
            return True
        return any(place[0] == target for place in self.started) or any(
            place[0] == target for place in self.announced
        )

    def is_status_after_orders(
        self, target: ids.TargetId, slot: ids.SlotId
    ) -> bool:
        """Whether the status shows the effect of every answered order."""
        mark = self._leases.status_mark(target)
        if mark is None:
            return False
        return not self._ctx.orders.changed_since(target, slot, mark)

    def last_used(
        self,
        target: ids.TargetId,
        model: messages.ModelStatus,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns when a loaded model was last wanted or in use."""
        servable = demand_module.Servable(model.model, model.version)
        wanted = self._demands.last_wanted(servable) or context.LONG_AGO
        return max(wanted, self.used.get((target, model.slot), now))
