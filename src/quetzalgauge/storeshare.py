"""A holder's part of the loads that the weight store takes at once."""

import datetime

from quetzalgauge import activity as activity_module
from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import leases as leases_module
from quetzalgauge import ledger as ledger_module
from quetzalgauge import views as views_module
from quetzalgauge.gen import ttypes

# A load shows in the views of the zone's other holders within this time: the
# order, the next poll of the status and the exchange.
VIEW_DELAY = datetime.timedelta(milliseconds=500)
# Bounds the wait of a holder without a part of its own.
_MAX_STEPS = 6

_SECOND = datetime.timedelta(seconds=1)


class StoreShare:
    """Decides whether a load from the weight store may start now.

    Holders of a zone see each other's loads late. So each has a fixed part of
    the zone's share, and takes more only after a wait that differs between
    holders and in which the views show what the others have started.
    """

    def __init__(
        self,
        ctx: context.Context,
        leases: leases_module.Leases,
        views: views_module.Views,
        activity: activity_module.Activity,
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._views = views
        self._activity = activity
        self._starts: list[datetime.timedelta] = []
        self._blocked: datetime.timedelta | None = None

    def note_start(self, now: datetime.timedelta) -> None:
        """Notes that a load from the store was ordered."""
        self._starts.append(now)
        self._blocked = None

    def allows(self, now: datetime.timedelta) -> bool:
        """Whether a load may start; asking again starts no new wait."""
        ctx = self._ctx
        share = zone_share(ctx.ledger, ctx.settings.loads_at_once, ctx.zone)
        loading = self._loading()
        needed = {
            place for place in loading if place not in self._activity.warmed
        }
        # Loads that nobody waits for count too, but must not hold back the
        # first one that is needed: a load takes up to a minute.
        if needed and len(loading) >= share:
            self._blocked = None
            return False
        part, rank = self._own_part(share, now)
        self._starts = [one for one in self._starts if one > now - _SECOND]
        own = sum(ctx.holds(target) for target, _ in needed)
        if own < part and len(self._starts) < part:
            return True
        if len(self._starts) >= max(1, part):
            return False
        if self._blocked is None:
            self._blocked = now
        return now - self._blocked >= VIEW_DELAY * (1 + rank % _MAX_STEPS)

    def _loading(self) -> set[activity_module.Place]:
        """Returns what the zone loads from the store, as far as is known."""
        loading = {
            (target, views_module.slot_of(replica))
            for target in self._ctx.membership.engines(self._ctx.zone)
            for replica in self._replicas_on(target)
            if replica.state == ttypes.ReplicaState.LOADING
            and not self._views.is_cached(
                target, replica.slot.model, replica.version
            )
        }
        loading.update(self._activity.started)
        return loading

    def _own_part(self, share: int, now: datetime.timedelta) -> tuple[int, int]:
        """Returns this holder's part of the zone's share, and its rank."""
        ctx = self._ctx
        holders = {
            holder.instance
            for target in ctx.membership.engines(ctx.zone)
            if (holder := self._leases.live_holder(target, now)) is not None
        }
        order = sorted(holders | {ctx.writer.instance})
        rank = order.index(ctx.writer.instance)
        part, remainder = divmod(share, len(order))
        return part + (rank < remainder), rank

    def _replicas_on(self, target: ids.TargetId) -> list:
        state = self._views.state(target)
        return [] if state is None else state.replicas


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
