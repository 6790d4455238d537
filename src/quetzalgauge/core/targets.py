"""What is known about targets: who is there, and how old that belief is.

Targets register themselves with the platform. The shell follows the register
and passes changes on; this module decides what they mean.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import log_events

# A target that is alive registers again within this time after an outage of
# the register (the platform's promise).
REREGISTRATION_GRACE = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model in the accelerator memory of a target."""

    name: ids.ModelName
    adapters: tuple[ids.AdapterName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CachedCopies:
    """Copies of weights on a target, least recently used first."""

    in_memory: tuple[ids.ModelName, ...] = ()
    on_disk: tuple[ids.ModelName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """What a target last said of itself in the register.

    Attributes:
        target: The target's id.
        incarnation: Unix milliseconds of its start; a target that starts
            again keeps its id at times, but nothing else.
        service: The service it belongs to.
        address: IP-NUMBER:PORT.
        availability_zone: Where it is.
        slots: Requests that it runs at once.
        is_draining: Whether it takes no new work.
        terminates_in: Time after which it is gone, if it said so.
        models: What it has loaded.
        copies: Copies of weights that it holds.
        sequence_number: Number of orders that it has accepted since its start.
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


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryUpdated:
    """Entries of the register were read.

    Attributes:
        entries: New or changed descriptions.
        removed: Targets whose entries are gone.
        complete: Whether `entries` is the whole register, so that a target
            without an entry is gone.
        after_outage: Whether earlier reads had failed.
        unreadable: Keys of entries of another writer; they change nothing.
    """

    entries: tuple[Description, ...]
    removed: tuple[ids.TargetId, ...] = ()
    complete: bool = False
    after_outage: bool = False
    unreadable: tuple[ids.TargetId, ...] = ()


@dataclasses.dataclass(slots=True)
class _DirectoryEntry:
    description: Description
    read_at: datetime.timedelta  # When this description was read.
    grace_ends_at: datetime.timedelta | None = None


class Directory:
    """The targets that may get requests."""

    def __init__(self) -> None:
        self._entries: dict[ids.TargetId, _DirectoryEntry] = {}
        self._by_service: dict[ids.ServiceName, list[Description]] = {}
        self._is_complete = False
        self._revision = 0

    @property
    def revision(self) -> int:
        """Grows with each change of what is known."""
        return self._revision

    @property
    def is_complete(self) -> bool:
        """Whether the whole register was read once."""
        return self._is_complete

    def __iter__(self) -> Iterator[Description]:
        return iter([known.description for known in self._entries.values()])

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, target: ids.TargetId) -> Description | None:
        """Returns the description of a target, None if it is gone."""
        known = self._entries.get(target)
        return known.description if known else None

    def get_read_at(self, target: ids.TargetId) -> datetime.timedelta:
        """Returns when the description of a present target was read."""
        return self._entries[target].read_at

    @property
    def services(self) -> list[ids.ServiceName]:
        """The services that have targets."""
        return list(self._by_service)

    def list_by_service(self, service: ids.ServiceName) -> list[Description]:
        """Returns the targets of a service, also those that are leaving."""
        return self._by_service.get(service, [])

    def get_entry_ages(
        self, now: datetime.timedelta
    ) -> Mapping[ids.TargetId, datetime.timedelta]:
        """Returns the time since each description was read."""
        return {
            target: now - known.read_at
            for target, known in self._entries.items()
        }

    def update(
        self, change: RegistryUpdated, now: datetime.timedelta
    ) -> list[log_events.LogEvent]:
        """Takes what was read; returns what changed."""
        found: list[log_events.LogEvent] = []
        for entry in change.entries:
            found += self._apply_entry(entry, now)
        removed = set(change.removed)
        if change.complete:
            self._is_complete = True
            present = {entry.target for entry in change.entries}
            removed |= self._entries.keys() - present - set(change.unreadable)
        for target in removed & self._entries.keys():
            found += self._remove(target, change.after_outage, now)
        if found:
            self._rebuild_index()
        return found

    def expire(self, now: datetime.timedelta) -> list[log_events.LogEvent]:
        """Drops lapsed targets that did not register again in time."""
        found = [
            log_events.LogEvent(
                "target_gone", {"target": target, "why": "lapsed"}
            )
            for target, known in self._entries.items()
            if known.grace_ends_at is not None and now >= known.grace_ends_at
        ]
        for note in found:
            del self._entries[note.fields["target"]]
        if found:
            self._rebuild_index()
        return found

    def _apply_entry(
        self, entry: Description, now: datetime.timedelta
    ) -> Iterable[log_events.LogEvent]:
        known = self._entries.get(entry.target)
        if known is None:
            self._entries[entry.target] = _DirectoryEntry(entry, now)
            return [_make_log_event("target_found", entry)]
        old = known.description
        if entry.incarnation < old.incarnation:
            return []
        known.description = entry
        known.read_at = now
        known.grace_ends_at = None
        if entry.incarnation > old.incarnation:
            return [_make_log_event("target_restarted", entry)]
        if entry.is_draining and not old.is_draining:
            return [_make_log_event("target_leaving", entry)]
        if entry != old:
            # The index refers to descriptions.
            return [_make_log_event("target_changed", entry)]
        return []

    def _remove(
        self,
        target: ids.TargetId,
        after_outage: bool,
        now: datetime.timedelta,
    ) -> Iterable[log_events.LogEvent]:
        known = self._entries[target]
        if after_outage and not known.description.is_draining:
            # Entries expire while the register is down, also those of
            # targets that are well.
            if known.grace_ends_at is None:
                known.grace_ends_at = now + REREGISTRATION_GRACE
                return [_make_log_event("target_lapsed", known.description)]
            return []
        del self._entries[target]
        return [_make_log_event("target_gone", known.description)]

    def _rebuild_index(self) -> None:
        self._revision += 1
        self._by_service.clear()
        for known in self._entries.values():
            one = known.description
            self._by_service.setdefault(one.service, []).append(one)


def _make_log_event(event: str, entry: Description) -> log_events.LogEvent:
    fields = {
        "target": entry.target,
        "incarnation": entry.incarnation,
        "address": entry.address,
        "zone": entry.availability_zone,
    }
    if entry.is_draining:
        left = entry.terminates_in
        fields["leaves_in_s"] = left.total_seconds() if left else None
    if entry.models or entry.copies.on_disk:
        fields["models"] = [model.name for model in entry.models]
        fields["copies"] = list(entry.copies.on_disk)
    return log_events.LogEvent(event, fields)
