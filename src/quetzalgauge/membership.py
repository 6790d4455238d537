"""The merged view of targets and system instances."""

import collections
import datetime
from typing import Any

from quetzalgauge import ids
from quetzalgauge import messages

SUSPECT_TIME = datetime.timedelta(seconds=2)
# The list lags behind and may be read from different replicas, so an instance
# counts as gone only after it was absent for this long.
GONE_AFTER = datetime.timedelta(seconds=5)
# A process that never saw an instance in the list itself waits longer, since
# the instance may be newer than the list.
UNSEEN_GONE_AFTER = datetime.timedelta(seconds=60)
_ENDED_LIMIT = 2000

Incarnation = tuple[ids.TargetId, ids.TargetIncarnation]


class Membership:
    """Targets and system instances, from the list, peers and own contact."""

    def __init__(self, region: ids.Region) -> None:
        self._region = region
        self._targets: dict[ids.TargetId, messages.ListedInstance] = {}
        self._systems: dict[ids.InstanceId, messages.ListedInstance] = {}
        # Entries that the list has dropped, until their incarnation ends.
        self._former: dict[ids.TargetId, messages.ListedInstance] = {}
        self._leaving: set[Incarnation] = set()
        self._suspects: dict[ids.TargetId, datetime.timedelta] = {}
        self._absent_since: dict[str, datetime.timedelta] = {}
        self._seen: set[str] = set()
        # Ended incarnations, so that late news about them is not kept again.
        self._ended: collections.OrderedDict[Incarnation, None] = (
            collections.OrderedDict()
        )
        self._changes = 0
        self._raw: tuple[messages.ListedInstance, ...] | None = None
        self._last_listed: datetime.timedelta | None = None
        self._engines: dict[ids.AvailabilityZone, list[ids.TargetId]] = {}
        self._plain: dict[ids.AvailabilityZone, list[ids.TargetId]] = {}
        self._shown: collections.OrderedDict[Incarnation, None] = (
            collections.OrderedDict()
        )

    @property
    def targets(self) -> dict[ids.TargetId, messages.ListedInstance]:
        """The listed targets of the region."""
        return self._targets

    @property
    def systems(self) -> dict[ids.InstanceId, messages.ListedInstance]:
        """The listed system instances of the region."""
        return self._systems

    @property
    def leaving(self) -> set[Incarnation]:
        """All target incarnations that are known to be leaving."""
        return self._leaving

    @property
    def changes(self) -> int:
        """Grows with each change of the list or of the leaving targets."""
        return self._changes

    def is_absent(self, target: ids.TargetId) -> bool:
        """Whether the list showed a target once and no longer does."""
        return target in self._absent_since and target in self._seen

    def last_known(
        self, target: ids.TargetId
    ) -> messages.ListedInstance | None:
        """Returns the latest entry of a target, listed or not any more."""
        return self._targets.get(target) or self._former.get(target)

    def engines(self, zone: ids.AvailabilityZone) -> list[ids.TargetId]:
        """Returns the listed model engines of a zone, by name."""
        return self._engines.get(zone, [])

    def plain_targets(self, zone: ids.AvailabilityZone) -> list[ids.TargetId]:
        """Returns the listed plain services of a zone, by name."""
        return self._plain.get(zone, [])

    def was_shown(
        self, target: ids.TargetId, incarnation: ids.TargetIncarnation
    ) -> bool:
        """Whether the list has shown this incarnation to this process."""
        return (target, incarnation) in self._shown

    def list_instances(
        self,
        instances: tuple[messages.ListedInstance, ...],
        now: datetime.timedelta,
    ) -> bool:
        """Takes a reading of the instance list; True if anything changed."""
        self._last_listed = now
        if instances == self._raw:
            return False
        self._raw = instances
        former = self._targets
        self._changes += 1
        before = set(self._targets) | set(self._systems)
        ours = [item for item in instances if item.region == self._region]
        self._targets = {
            ids.TargetId(item.instance): item
            for item in ours
            if item.kind is messages.InstanceKind.TARGET
        }
        self._systems = {
            ids.InstanceId(item.instance): item
            for item in ours
            if item.kind is messages.InstanceKind.SYSTEM
        }
        present = set(self._targets) | set(self._systems)
        self._seen |= present
        if len(self._seen) > len(present) + _ENDED_LIMIT:
            self._seen = set(present)
        for name in before - present:
            self._absent_since[name] = now
            if name in former:
                self._former[ids.TargetId(name)] = former[ids.TargetId(name)]
        _keep_last(self._former)
        _keep_last(self._absent_since)
        for name in present:
            self._absent_since.pop(name, None)
            self._former.pop(ids.TargetId(name), None)
        self._engines = {}
        self._plain = {}
        for target in sorted(self._targets):
            self._index(target, self._targets[target])
        while len(self._shown) > len(self._targets) + _ENDED_LIMIT:
            self._shown.popitem(last=False)
        return True

    def _index(
        self, target: ids.TargetId, item: messages.ListedInstance
    ) -> None:
        is_engine = item.service_kind is messages.ServiceKind.MODELS
        index = self._engines if is_engine else self._plain
        index.setdefault(item.availability_zone, []).append(target)
        incarnation = ids.TargetIncarnation(item.incarnation)
        self._shown[(target, incarnation)] = None
        self._shown.move_to_end((target, incarnation))
        if item.state is messages.InstanceState.LEAVING:
            self.mark_leaving(target, incarnation)

    def absent_long(self, name: str, now: datetime.timedelta) -> bool:
        """Whether the list showed an instance and has dropped it for good.

        False while no list was read since, so an unreachable list never makes
        an instance gone.
        """
        if self._last_listed is None:
            return False
        if name in self._targets or name in self._systems:
            return False
        since = self._absent_since.setdefault(name, now)
        wait = GONE_AFTER if name in self._seen else UNSEEN_GONE_AFTER
        return self._last_listed - since >= wait

    def mark_leaving(
        self, target: ids.TargetId, incarnation: ids.TargetIncarnation
    ) -> bool:
        """Notes that an incarnation is leaving; True if that is news."""
        key = (target, incarnation)
        if key in self._leaving or key in self._ended:
            return False
        self._leaving.add(key)
        self._changes += 1
        return True

    def is_leaving(self, target: ids.TargetId) -> bool:
        """Whether the listed incarnation of a target is leaving."""
        item = self._targets.get(target)
        if item is None:
            return False
        key = (target, ids.TargetIncarnation(item.incarnation))
        return key in self._leaving

    def is_leaving_incarnation(
        self, target: ids.TargetId, incarnation: ids.TargetIncarnation
    ) -> bool:
        """Whether this incarnation of a target is leaving."""
        return (target, incarnation) in self._leaving

    def end_incarnation(
        self, target: ids.TargetId, incarnation: ids.TargetIncarnation
    ) -> None:
        """Forgets an incarnation that has ended."""
        key = (target, incarnation)
        self._former.pop(target, None)
        self._leaving.discard(key)
        self._ended[key] = None
        while len(self._ended) > _ENDED_LIMIT:
            self._ended.popitem(last=False)

    def suspect(self, target: ids.TargetId, now: datetime.timedelta) -> None:
        """Notes a failure to connect to a target."""
        self._suspects[target] = now + SUSPECT_TIME

    def is_suspect(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether a connection to the target failed in the last seconds."""
        until = self._suspects.get(target)
        if until is None:
            return False
        if now >= until:
            del self._suspects[target]
            return False
        return True


def _keep_last(entries: dict[Any, Any]) -> None:
    """Bounds a map that grows with each name that ever left the list."""
    while len(entries) > _ENDED_LIMIT:
        del entries[next(iter(entries))]
