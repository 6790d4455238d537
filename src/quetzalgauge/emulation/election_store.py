"""The emulated store of the leader election, and orders of several leaders."""

from collections.abc import Callable
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import election
from quetzalgauge.core import orders
from quetzalgauge.emulation import event_loop


@dataclasses.dataclass(slots=True)
class _Content:
    """Groups and records of all zones."""

    owners: dict[ids.AvailabilityZone, str]
    generations: dict[ids.AvailabilityZone, int]
    records: dict[ids.AvailabilityZone, election.LeaderRecord]

    def copy(self) -> "_Content":
        return _Content(
            dict(self.owners), dict(self.generations), dict(self.records)
        )


class ElectionStore:
    """Groups of the leader election and the records of leaders.

    Args:
        loop: The event loop.
        publish: Called after each change of the records.
    """

    def __init__(
        self, loop: event_loop.EventLoop, publish: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._publish = publish
        self._content = _Content({}, {}, {})
        self._copies: list[tuple[float, _Content]] = []
        self._available_at_s = 0.0
        self._era = ids.UNNAMED_ERA

    @property
    def era(self) -> ids.StoreEra:
        """The era, which the store names since it was first restored."""
        return self._era

    @property
    def records(self) -> tuple[election.LeaderRecord, ...]:
        """The records of all zones."""
        return tuple(self._content.records.values())

    def restore(self, age_s: float, away_s: float) -> None:
        """Comes back from a copy, in another era.

        Args:
            age_s: Age of the copy in seconds.
            away_s: Seconds for which calls fail.
        """
        now_s = self._loop.now_s
        self._copies = [
            copy for copy in self._copies if copy[0] <= now_s - age_s
        ]
        self._content = _Content({}, {}, {})
        if self._copies:
            self._content = self._copies[-1][1].copy()
        self._era = ids.StoreEra(max(0, self._era) + 1)
        self._available_at_s = now_s + away_s
        self._loop.schedule_after(away_s, self._publish)

    def execute(self, action: election.Action) -> election.Event:
        """Returns the result of a call."""
        if self._loop.now_s < self._available_at_s:
            return election.make_failure(action, self._loop.now)
        event = self._execute(action)
        self._copies.append((self._loop.now_s, self._content.copy()))
        if isinstance(event, election.LeaveResult):
            return event
        return dataclasses.replace(event, era=self._era)

    def _execute(self, action: election.Action) -> election.Event:
        content = self._content
        match action:
            case election.Join():
                zone = action.availability_zone
                if zone not in content.owners:
                    content.owners[zone] = action.machine
                    generation = content.generations.get(zone, 0)
                    content.generations[zone] = generation + 1
                return election.JoinResult(
                    self._loop.now,
                    content.generations[zone],
                    content.owners[zone] == action.machine,
                )
            case election.ReadOwner():
                return election.ReadOwnerResult(
                    content.owners.get(action.availability_zone)
                )
            case election.ReadRecord():
                return election.ReadRecordResult(
                    content.records.get(action.availability_zone)
                )
            case election.WriteRecord():
                zone = action.record.availability_zone
                content.records[zone] = action.record
                self._publish()
                return election.WriteRecordResult(action.record)
        return election.LeaveResult()


class LeaseMonitor:
    """Finds orders to a target that come from two instances too soon.

    Args:
        platform_lease: Least time between orders of two instances.

    Attributes:
        violations: The orders that break the rule, with those before them.
    """

    def __init__(self, platform_lease: datetime.timedelta) -> None:
        self._platform_lease = platform_lease
        self._last: dict[
            ids.TargetId, tuple[datetime.timedelta, ids.InstanceId, int]
        ] = {}
        self.violations: list[str] = []

    def observe(
        self,
        order: orders.Order,
        sender: ids.InstanceId,
        now: datetime.timedelta,
    ) -> None:
        """Records an order that arrives at its target."""
        previous = self._last.get(order.target)
        current = now, sender, order.fencing_token
        self._last[order.target] = current
        if previous is None:
            return
        if order.fencing_token < previous[2] or (
            sender != previous[1]
            and (
                now - previous[0] <= self._platform_lease
                or order.fencing_token == previous[2]
            )
        ):
            self.violations.append(f"{order.target}: {previous}, {current}")
