"""Composes placement: which slots to reserve, load, unload and move."""

from collections.abc import Iterable
import datetime
import math

from quetzalgauge import activity as activity_module
from quetzalgauge import context
from quetzalgauge import demand as demand_module
from quetzalgauge import ids
from quetzalgauge import leases as leases_module
from quetzalgauge import loads as loads_module
from quetzalgauge import messages
from quetzalgauge import offers as offers_module
from quetzalgauge import plan as plan_module
from quetzalgauge import reservations as reservations_module
from quetzalgauge import rooms as rooms_module
from quetzalgauge import unloads as unloads_module
from quetzalgauge import views as views_module

DEMAND_REPEAT = datetime.timedelta(milliseconds=500)


class Placement:
    """Decides on the slots of the targets that this process holds.

    Attributes:
        activity: What is under way on the held targets.
        rooms: Which targets have room for a model.
        unloads: What leaves a held target.
        reservations: The reservations of the held targets.
        loads: The orders to load.
    """

    def __init__(
        self,
        ctx: context.Context,
        leases: leases_module.Leases,
        views: views_module.Views,
        demands: demand_module.Demands,
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._demands = demands
        self.activity = activity_module.Activity(ctx, leases, demands)
        self.rooms = rooms_module.Rooms(
            ctx, leases, views, demands, self.activity
        )
        self.unloads = unloads_module.Unloads(
            ctx, leases, demands, self.activity
        )
        self.reservations = reservations_module.Reservations(
            ctx, leases, demands, self.rooms, self.unloads, self.activity
        )
        self.loads = loads_module.Loads(
            ctx, leases, views, self.rooms, self.activity
        )
        self._offers = offers_module.Offers(
            ctx, views, demands, self.rooms, self.activity
        )
        # Served since the last review of all demand, which every tick brings.
        self._served: set[demand_module.Servable] = set()
        self._sent: dict[
            tuple[ids.InstanceId, demand_module.Servable], datetime.timedelta
        ] = {}

    def review_loads(self, now: datetime.timedelta) -> None:
        """Loads what requests wait for, and what is kept loaded."""
        if self._ctx.is_draining:
            return
        self._served.clear()
        self._serve_all(self._demands.waiting(), now)
        for target in self._leases.held():
            self.loads.keep_loaded(target, now)

    def review_demand(
        self,
        servables: Iterable[demand_module.Servable],
        now: datetime.timedelta,
    ) -> None:
        """Loads what was just reported, unless it was reviewed just before.

        Every entry process repeats its demand several times a second. The
        first report of a cold model is served at once.
        """
        if self._ctx.is_draining:
            return
        due = [one for one in servables if one not in self._served]
        self._serve_all(sorted(due), now)

    def _serve_all(
        self,
        servables: Iterable[demand_module.Servable],
        now: datetime.timedelta,
    ) -> None:
        forwards: dict[ids.InstanceId, list[demand_module.Servable]] = {}
        for servable in servables:
            self._served.add(servable)
            self._serve(servable, forwards, now)
        for holder, wanted in sorted(forwards.items()):
            self._forward(holder, wanted, now)

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
        for zone in self._offers.zones_for(servable, now):
            count = self._offers.count_loaded(servable, zone, now)
            loaded += count
            offer = self._offers.find(servable, spec, zone, count, now)
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
            self.loads.load(best.target, best.slot, now)
        elif best.slot not in ctx.ledger.slots:
            self.reservations.place(best.slot, spec, now)

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
            if now - self._sent.get(key, context.LONG_AGO) < DEMAND_REPEAT:
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
