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
from quetzalgauge.core import notes

# A target that is alive registers again within this time after an outage of
# the register (the platform's promise).
RETURN_TIME = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model in the accelerator memory of a target."""

    name: ids.ModelName
    adapters: tuple[ids.AdapterName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
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
        leaving: Whether it takes no new work.
        leaves_in: Time after which it is gone, if it said so.
        models: What it has loaded.
        copies: Copies of weights that it holds.
        orders_taken: Number of orders that it has accepted since its start.
    """

    target: ids.TargetId
    incarnation: int
    service: ids.ServiceName
    address: str
    availability_zone: ids.AvailabilityZone
    slots: int
    leaving: bool = False
    leaves_in: datetime.timedelta | None = None
    models: tuple[LoadedModel, ...] = ()
    copies: Copies = Copies()
    orders_taken: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterChanged:
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
class _Known:
    description: Description
    since: datetime.timedelta  # When this description was read.
    lapsed_until: datetime.timedelta | None = None


class Directory:
    """The targets that may get requests."""

    def __init__(self) -> None:
        self._known: dict[ids.TargetId, _Known] = {}
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
        return iter([known.description for known in self._known.values()])

    def __len__(self) -> int:
        return len(self._known)

    def get(self, target: ids.TargetId) -> Description | None:
        """Returns the description of a target, None if it is gone."""
        known = self._known.get(target)
        return known.description if known else None

    def read_at(self, target: ids.TargetId) -> datetime.timedelta:
        """Returns when the description of a present target was read."""
        return self._known[target].since

    @property
    def services(self) -> list[ids.ServiceName]:
        """The services that have targets."""
        return list(self._by_service)

    def of_service(self, service: ids.ServiceName) -> list[Description]:
        """Returns the targets of a service, also those that are leaving."""
        return self._by_service.get(service, [])

    def ages(
        self, now: datetime.timedelta
    ) -> Mapping[ids.TargetId, datetime.timedelta]:
        """Returns the time since each description was read."""
        return {
            target: now - known.since for target, known in self._known.items()
        }

    def update(
        self, change: RegisterChanged, now: datetime.timedelta
    ) -> list[notes.Note]:
        """Takes what was read; returns what changed."""
        found: list[notes.Note] = []
        for entry in change.entries:
            found += self._use(entry, now)
        removed = set(change.removed)
        if change.complete:
            self._is_complete = True
            present = {entry.target for entry in change.entries}
            removed |= self._known.keys() - present - set(change.unreadable)
        for target in removed & self._known.keys():
            found += self._remove(target, change.after_outage, now)
        if found:
            self._index()
        return found

    def expire(self, now: datetime.timedelta) -> list[notes.Note]:
        """Drops lapsed targets that did not register again in time."""
        found = [
            notes.Note("target_gone", {"target": target, "why": "lapsed"})
            for target, known in self._known.items()
            if known.lapsed_until is not None and now >= known.lapsed_until
        ]
        for note in found:
            del self._known[note.fields["target"]]
        if found:
            self._index()
        return found

    def _use(
        self, entry: Description, now: datetime.timedelta
    ) -> Iterable[notes.Note]:
        known = self._known.get(entry.target)
        if known is None:
            self._known[entry.target] = _Known(entry, now)
            return [_note("target_found", entry)]
        old = known.description
        if entry.incarnation < old.incarnation:
            return []
        known.description = entry
        known.since = now
        known.lapsed_until = None
        if entry.incarnation > old.incarnation:
            return [_note("target_restarted", entry)]
        if entry.leaving and not old.leaving:
            return [_note("target_leaving", entry)]
        if entry != old:
            # The index refers to descriptions.
            return [_note("target_changed", entry)]
        return []

    def _remove(
        self,
        target: ids.TargetId,
        after_outage: bool,
        now: datetime.timedelta,
    ) -> Iterable[notes.Note]:
        known = self._known[target]
        if after_outage and not known.description.leaving:
            # Entries expire while the register is down, also those of
            # targets that are well.
            if known.lapsed_until is None:
                known.lapsed_until = now + RETURN_TIME
                return [_note("target_lapsed", known.description)]
            return []
        del self._known[target]
        return [_note("target_gone", known.description)]

    def _index(self) -> None:
        self._revision += 1
        self._by_service.clear()
        for known in self._known.values():
            one = known.description
            self._by_service.setdefault(one.service, []).append(one)


def _note(event: str, entry: Description) -> notes.Note:
    fields = {
        "target": entry.target,
        "incarnation": entry.incarnation,
        "address": entry.address,
        "zone": entry.availability_zone,
    }
    if entry.leaving:
        left = entry.leaves_in
        fields["leaves_in_s"] = left.total_seconds() if left else None
    if entry.models or entry.copies.on_disk:
        fields["models"] = [model.name for model in entry.models]
        fields["copies"] = list(entry.copies.on_disk)
    return notes.Note(event, fields)
