"""Directory of the registered targets and the age of their entries.

Targets register themselves with the platform. The node watches the registry
and passes its changes to this module, which applies them.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import log_events

# The platform guarantees that a live target registers again within this time
# after a registry outage.
REREGISTRATION_GRACE = datetime.timedelta(seconds=2)
# Entries of a zone expire together if its targets cannot reach the registry. If
# at least this share of them has not been removed since, they could.
MIN_REMAINING_SHARE = 0.5
# Targets that have announced their end, whether they are still registered or
# not. The oldest announcements are dropped.
MAX_ANNOUNCEMENTS = 4096
# After the registry has come back from an older copy, a snapshot may have
# entries of targets that have left, and lack others, for this time: until live
# targets have written again and the entries of the others have expired.
RESTORATION_PERIOD = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model in the accelerator memory of a target."""

    name: ids.ModelName
    adapters: tuple[ids.AdapterName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CachedCopies:
    """Models whose weights a target caches, least recently used first."""

    in_memory: tuple[ids.ModelName, ...] = ()
    on_disk: tuple[ids.ModelName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """The last registry entry of a target.

    Attributes:
        target: The target's id.
        incarnation: Start time in Unix milliseconds. A target that restarts
            may keep its id, but loses all other state.
        service: The service it belongs to.
        address: IP-ADDRESS:PORT.
        availability_zone: The zone it runs in.
        slots: Maximum number of concurrent requests.
        is_draining: Whether it takes no new requests because it will terminate.
        terminates_in: Time until it terminates, None if not announced.
        models: Loaded models.
        copies: Cached copies of weights.
        sequence_number: Number of orders accepted since its start.
        entry_number: Number of the entry, which rises with each that the
            incarnation writes.
        version: Version of its software; None after a restart until its entry
            names it.
    """

    target: ids.TargetId
    incarnation: int
    service: ids.ServiceName
    address: str
    availability_zone: ids.AvailabilityZone
    slots: int
    is_draining: bool = False
    terminates_in: datetime.timedelta | None = None
    models: tuple[LoadedModel, ...] = ()
    copies: CachedCopies = CachedCopies()
    sequence_number: int = 0
    entry_number: int = dataclasses.field(default=0, compare=False)
    version: ids.SoftwareVersion | None = ids.UNNAMED_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryUpdated:
    """Result of a read of the registry.

    Attributes:
        entries: New or changed descriptions.
        removed: Targets whose entries were removed.
        complete: Whether `entries` is the whole registry, so that targets
            without an entry are removed.
        after_outage: Whether the reads before this one failed for a while.
        unreadable: Keys of entries that cannot be decoded, for instance
            because another program wrote them. They change nothing.
        is_restored: Whether the registry has come back from an older copy since
            the read before.
        rewritten: Targets whose entries were removed and written again.
    """

    entries: tuple[Description, ...]
    removed: tuple[ids.TargetId, ...] = ()
    complete: bool = False
    after_outage: bool = False
    unreadable: tuple[ids.TargetId, ...] = ()
    is_restored: bool = False
    rewritten: tuple[ids.TargetId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingAnnounced:
    """A target stated in a response that it will terminate.

    Attributes:
        target: The target.
        incarnation: The incarnation that the request was sent to.
    """

    target: ids.TargetId
    incarnation: int


@dataclasses.dataclass(slots=True)
class _DirectoryEntry:
    description: Description
    read_at: datetime.timedelta  # When this description was read.
    grace_ends_at: datetime.timedelta | None = None


class Directory:
    """The registered targets.

    After a registry outage, targets whose entries may have expired stay in the
    directory for a grace period. If only this instance was cut off, the entries
    of most other targets have not been removed, and a missing target has left.

    The registry may come back from an older copy of itself. What was learned
    since that copy is kept: which targets have left, announced their end or
    started again. Targets that the copy lacks stay for a grace period.
    """

    def __init__(self) -> None:
        self._entries: dict[ids.TargetId, _DirectoryEntry] = {}
        self._by_service: dict[ids.ServiceName, list[Description]] = {}
        self._leaving: dict[ids.TargetId, int] = {}
        # Incarnation and number of the last entry of targets that have left.
        self._gone: dict[ids.TargetId, tuple[int, int]] = {}
        self._restored_until = datetime.timedelta.min
        self._is_complete = False
        self._revision = 0

    @property
    def revision(self) -> int:
        """Version of the directory; increases with each change."""
        return self._revision

    @property
    def next_expiry_at(self) -> datetime.timedelta | None:
        """When a grace period ends next, None if there is none."""
        return min(
            (
                entry.grace_ends_at
                for entry in self._entries.values()
                if entry.grace_ends_at is not None
            ),
            default=None,
        )

    @property
    def is_complete(self) -> bool:
        """Whether the whole registry was read at least once."""
        return self._is_complete

    def __iter__(self) -> Iterator[Description]:
        return iter([entry.description for entry in self._entries.values()])

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, target: ids.TargetId) -> Description | None:
        """Returns the description of a target, None if it is not present."""
        entry = self._entries.get(target)
        return entry.description if entry else None

    def get_read_at(self, target: ids.TargetId) -> datetime.timedelta:
        """Returns when the description of a present target was read."""
        return self._entries[target].read_at

    @property
    def services(self) -> list[ids.ServiceName]:
        """The services that have targets."""
        return list(self._by_service)

    def list_by_service(self, service: ids.ServiceName) -> list[Description]:
        """Returns the targets of a service, including draining ones."""
        return self._by_service.get(service, [])

    def get_entry_ages(
        self, now: datetime.timedelta
    ) -> Mapping[ids.TargetId, datetime.timedelta]:
        """Returns the time since each description was read."""
        return {
            target: now - entry.read_at
            for target, entry in self._entries.items()
        }

    def update(
        self, change: RegistryUpdated, now: datetime.timedelta
    ) -> list[log_events.LogEvent]:
        """Applies a read of the registry; returns the changes for the log."""
        events: list[log_events.LogEvent] = []
        if change.is_restored:
            self._restored_until = now + RESTORATION_PERIOD
        is_restored = now < self._restored_until
        expired_zones = self._find_expired_zones(change, is_restored)
        for entry in change.entries:
            if not (is_restored and change.complete and self._is_known(entry)):
                events += self._apply_entry(entry, now)
        removed = set(change.removed)
        if change.complete:
            self._is_complete = True
            present = {entry.target for entry in change.entries}
            removed |= self._entries.keys() - present - set(change.unreadable)
        for target in removed & self._entries.keys():
            zone = self._entries[target].description.availability_zone
            events += self._remove(target, zone in expired_zones, now)
        if events:
            self._rebuild_index()
        return events

    def record_leaving(
        self, event: LeavingAnnounced
    ) -> list[log_events.LogEvent]:
        """Counts a target as draining, whatever its registry entry says.

        That holds until it starts again.

        Returns:
            The changes for the log.
        """
        if self._leaving.get(event.target, -1) >= event.incarnation:
            return []
        self._remember_leaving(event.target, event.incarnation)
        entry = self._entries.get(event.target)
        if (
            entry is None
            or entry.description.is_draining
            or entry.description.incarnation != event.incarnation
        ):
            return []
        entry.description = dataclasses.replace(
            entry.description, is_draining=True
        )
        self._rebuild_index()
        return [_make_log_event("target_leaving", entry.description)]

    def record_restart(
        self,
        target: ids.TargetId,
        incarnation: int,
        models: tuple[LoadedModel, ...],
        copies: CachedCopies,
        now: datetime.timedelta,
    ) -> list[log_events.LogEvent]:
        """Records that a target tells of a later start than its entry.

        Its entry follows with the target's next heartbeat.

        Args:
            target: The target.
            incarnation: Its incarnation.
            models: Models that it has loaded.
            copies: Models whose weights it caches.
            now: The current time.

        Returns:
            The changes for the log.
        """
        entry = self._entries.get(target)
        if entry is None or incarnation <= entry.description.incarnation:
            return []
        restarted = dataclasses.replace(
            entry.description,
            incarnation=incarnation,
            is_draining=False,
            terminates_in=None,
            models=models,
            copies=copies,
            entry_number=0,
            version=None,
        )
        events = list(self._apply_entry(restarted, now))
        self._rebuild_index()
        return events

    def _remember_leaving(self, target: ids.TargetId, incarnation: int) -> None:
        self._leaving[target] = incarnation
        if len(self._leaving) > MAX_ANNOUNCEMENTS:
            del self._leaving[next(iter(self._leaving))]

    def _forget(self, target: ids.TargetId) -> None:
        """Drops a target that has left."""
        last = self._entries.pop(target).description
        self._gone.pop(target, None)
        self._gone[target] = last.incarnation, last.entry_number
        if len(self._gone) > MAX_ANNOUNCEMENTS:
            del self._gone[next(iter(self._gone))]

    def expire(self, now: datetime.timedelta) -> list[log_events.LogEvent]:
        """Drops targets that did not register again in the grace period."""
        events = [
            log_events.LogEvent(
                "target_gone", {"target": target, "why": "lapsed"}
            )
            for target, entry in self._entries.items()
            if entry.grace_ends_at is not None and now >= entry.grace_ends_at
        ]
        for event in events:
            self._forget(event.fields["target"])
        if events:
            self._rebuild_index()
        return events

    def _is_known(self, entry: Description) -> bool:
        """Whether something newer than an entry was learned of its target."""
        current = self._entries.get(entry.target)
        if current is not None:
            known = current.description
            last = known.incarnation, known.entry_number
        elif entry.target in self._gone:
            last = self._gone[entry.target]
        else:
            return False
        if entry.is_draining and current is not None:
            return False
        return (entry.incarnation, entry.entry_number) <= last

    def _find_expired_zones(
        self, change: RegistryUpdated, is_restored: bool
    ) -> set[ids.AvailabilityZone]:
        """Returns the zones whose removed entries may have expired."""
        if not (change.after_outage or is_restored):
            return set()
        zones = {
            entry.description.availability_zone
            for entry in self._entries.values()
        }
        if change.complete or is_restored:
            # Does not show which entries were removed and written again.
            return zones
        expired = {*change.removed, *change.rewritten, *change.unreadable}
        totals: collections.Counter[ids.AvailabilityZone] = (
            collections.Counter()
        )
        remaining: collections.Counter[ids.AvailabilityZone] = (
            collections.Counter()
        )
        for target, entry in self._entries.items():
            zone = entry.description.availability_zone
            totals[zone] += 1
            remaining[zone] += target not in expired
        return {
            zone
            for zone in zones
            if remaining[zone] < totals[zone] * MIN_REMAINING_SHARE
        }

    def _apply_entry(
        self, entry: Description, now: datetime.timedelta
    ) -> Iterable[log_events.LogEvent]:
        current = self._entries.get(entry.target)
        if self._leaving.get(entry.target) == entry.incarnation:
            entry = dataclasses.replace(entry, is_draining=True)
        elif entry.is_draining:
            self._remember_leaving(entry.target, entry.incarnation)
        if current is None:
            self._gone.pop(entry.target, None)
            self._entries[entry.target] = _DirectoryEntry(entry, now)
            return [_make_log_event("target_found", entry)]
        previous = current.description
        if entry.incarnation < previous.incarnation:
            # A delayed heartbeat from before the restart of the target.
            return []
        if (
            entry.incarnation == previous.incarnation
            and entry.entry_number < previous.entry_number
            and not entry.is_draining
        ):
            return []
        current.description = entry
        current.read_at = now
        current.grace_ends_at = None
        if entry.incarnation > previous.incarnation:
            return [_make_log_event("target_restarted", entry)]
        if entry.is_draining and not previous.is_draining:
            return [_make_log_event("target_leaving", entry)]
        if entry != previous:
            # The indexes hold description objects, so every change must be
            # reported to the caller, which rebuilds them.
            return [_make_log_event("target_changed", entry)]
        return []

    def _remove(
        self,
        target: ids.TargetId,
        may_have_expired: bool,
        now: datetime.timedelta,
    ) -> Iterable[log_events.LogEvent]:
        entry = self._entries[target]
        if may_have_expired and not entry.description.is_draining:
            if entry.grace_ends_at is None:
                entry.grace_ends_at = now + REREGISTRATION_GRACE
                return [_make_log_event("target_lapsed", entry.description)]
            return []
        self._forget(target)
        return [_make_log_event("target_gone", entry.description)]

    def _rebuild_index(self) -> None:
        self._revision += 1
        self._by_service.clear()
        for entry in self._entries.values():
            description = entry.description
            self._by_service.setdefault(description.service, []).append(
                description
            )


def _make_log_event(event: str, entry: Description) -> log_events.LogEvent:
    fields = {
        "target": entry.target,
        "incarnation": entry.incarnation,
        "address": entry.address,
        "zone": entry.availability_zone,
    }
    if entry.is_draining:
        time_left = entry.terminates_in
        fields["leaves_in_s"] = time_left.total_seconds() if time_left else None
    if entry.models or entry.copies.on_disk:
        fields["models"] = [model.name for model in entry.models]
        fields["copies"] = list(entry.copies.on_disk)
    return log_events.LogEvent(event, fields)
