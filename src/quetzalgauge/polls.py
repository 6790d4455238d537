"""When to ask which target for its status."""

import dataclasses
import datetime

from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import leases as leases_module

HELD_INTERVAL = datetime.timedelta(seconds=1)
# Targets without a living holder are read by every process of the zone, so
# that their replicas stay routable; less often, since all do it.
UNHELD_INTERVAL = datetime.timedelta(seconds=2)
# The shell ends each poll; this only guards against a lost event.
ANSWER_LIMIT = datetime.timedelta(seconds=30)


@dataclasses.dataclass(slots=True)
class Asked:
    """A question that was sent: when, and the orders' mark at that time."""

    at: datetime.timedelta
    mark: int
    is_void: bool = False


@dataclasses.dataclass(slots=True)
class _Row:
    interval: datetime.timedelta
    due: datetime.timedelta
    asked: Asked | None = None


class Polls:
    """The targets that this process asks, and the answers it waits for."""

    def __init__(self) -> None:
        self._rows: dict[ids.TargetId, _Row] = {}

    def choose(
        self,
        intervals: dict[ids.TargetId, datetime.timedelta],
        now: datetime.timedelta,
    ) -> None:
        """Sets which targets are asked, and how often."""
        for target, interval in intervals.items():
            row = self._rows.get(target)
            if row is None:
                self._rows[target] = _Row(interval, now)
            else:
                row.interval = interval
        for target in [name for name in self._rows if name not in intervals]:
            del self._rows[target]

    def hurry(self, target: ids.TargetId, now: datetime.timedelta) -> None:
        """Asks a target again as soon as possible."""
        row = self._rows.get(target)
        if row is not None:
            row.due = now

    def void(self, target: ids.TargetId, now: datetime.timedelta) -> None:
        """Ignores the answer that is under way, and asks again after it."""
        row = self._rows.get(target)
        if row is not None:
            row.due = now
            if row.asked is not None:
                row.asked.is_void = True

    def take_due(
        self, mark: int, now: datetime.timedelta
    ) -> list[ids.TargetId]:
        """Returns the targets to ask now and notes that they are asked."""
        due = []
        for target, row in self._rows.items():
            if row.asked is not None and now - row.asked.at < ANSWER_LIMIT:
                continue
            if now >= row.due:
                row.asked = Asked(now, mark)
                row.due = now + row.interval
                due.append(target)
        return due

    def answered(self, target: ids.TargetId) -> Asked | None:
        """Takes the question that an answer belongs to."""
        row = self._rows.get(target)
        if row is None:
            return None
        asked = row.asked
        row.asked = None
        return None if asked is None or asked.is_void else asked


def intervals(
    ctx: context.Context,
    leases: leases_module.Leases,
    now: datetime.timedelta,
) -> dict[ids.TargetId, datetime.timedelta]:
    """Returns the targets whose status this process asks for, how often."""
    membership = ctx.membership
    held = set(leases.held())
    found = {
        target: HELD_INTERVAL
        for target in held
        if membership.last_known(target) is not None
    }
    if not ctx.reading.is_current(now) or not ctx.is_registered:
        for target in membership.engines(ctx.zone):
            if leases.live_holder(target, now) is None:
                found[target] = UNHELD_INTERVAL
    for target in membership.plain_targets(ctx.zone):
        if _is_responsible(target, ctx, leases):
            found[target] = HELD_INTERVAL
    return found


def _is_responsible(
    target: ids.TargetId,
    ctx: context.Context,
    leases: leases_module.Leases,
) -> bool:
    """Whether this process reads the status of a plain service."""
    own = context.weight(target, ctx.writer.instance)
    return all(
        context.weight(target, writer.id.instance) <= own
        for writer in leases.live_writers()
    )
