"""The fold of the configuration stream.

Per object the highest ticket number wins, whatever the order of arrival. The
fold keeps the numbers of removed objects, so that an old ticket never brings
one back.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import hashlib
import struct
import sys
from typing import Any
from typing import Generic
from typing import TypeVar

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge import snapshots
from quetzalgauge import tickets

# Digests and verdicts of the latest tickets are kept, for two days at 2,000
# tickets a day; each takes about 200 bytes. A repeat of an older ticket is
# still harmless, since each object keeps the number of its ticket.
TICKET_LIMIT = 4_000
# A ticket may touch thousands of objects; a verdict names the first few.
FINDING_LIMIT = 20

_FORMAT = 1
_MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version of a model. `memory_bytes` does not include the adapters."""

    checkpoint: str
    memory_bytes: int
    adapter_memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """The number of replicas of a model in an availability zone."""

    max_replicas: int
    min_replicas: int


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model. Both mappings are sorted by name."""

    versions: Mapping[ids.VersionName, Version]
    default_version: ids.VersionName
    priority: int
    availability_zones: Mapping[ids.AvailabilityZone, ReplicaLimits]


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """An adapter of a model. The model may be missing from the catalog."""

    model: ids.ModelName
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service and the paths whose calls may be repeated."""

    repeatable_paths: tuple[str, ...]


Name = TypeVar("Name", bound=str)
Definition = TypeVar("Definition", Model, Adapter, Service)


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What has changed since a version. None stands for a removed object.

    Attributes:
        version: The version after the changes.
        complete: The changes replace everything that was known before.
    """

    version: int
    complete: bool
    models: Mapping[ids.ModelName, Model | None]
    adapters: Mapping[ids.AdapterName, Adapter | None]
    services: Mapping[ids.ServiceName, Service | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry(Generic[Definition]):
    """The state of one name. `definition` is None for a removed object."""

    definition: Definition | None
    ticket: ids.TicketNumber
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """A ticket that was folded, with its first verdict."""

    digest: str
    verdict: messages.TicketVerdict
    offset: ids.Offset
    findings: tuple[str, ...]


class _Table(Generic[Name, Definition]):
    """The objects of one kind, in the order of their latest change."""

    def __init__(self) -> None:
        self._rows: dict[Name, Any] = {}

    def entry(self, name: Name) -> _Entry[Definition] | None:
        row = self._rows.get(name)
        return None if row is None else self._unpack(row)

    def get(self, name: Name) -> Definition | None:
        entry = self.entry(name)
        return None if entry is None else entry.definition

    def entries(self) -> Iterator[tuple[Name, _Entry[Definition]]]:
        for name, row in self._rows.items():
            yield name, self._unpack(row)

    def live(self) -> Iterator[tuple[Name, Definition]]:
        for name, entry in self.entries():
            if entry.definition is not None:
                yield name, entry.definition

    def put(self, name: Name, entry: _Entry[Definition]) -> None:
        # A changed name moves to the end, which keeps the order of changes.
        self._rows.pop(name, None)
        self._rows[name] = self._pack(entry)

    def changed_since(self, version: int) -> dict[Name, Definition | None]:
        changed = {}
        for name, row in reversed(self._rows.items()):
            entry = self._unpack(row)
            if entry.version <= version:
                break
            changed[name] = entry.definition
        return changed

    def _pack(self, entry: _Entry[Definition]) -> Any:
        return entry

    def _unpack(self, row: Any) -> _Entry[Definition]:
        return row


class _AdapterTable(_Table[ids.AdapterName, Adapter]):
    """Keeps a row as packed bytes, since there are 41,000 adapters.

    An entry with its definition and numbers takes more than twice the memory.
    """

    # Ticket, version, place of the model plus one (0: removed), size.
    _ROW = struct.Struct("<qqIq")

    def __init__(self) -> None:
        super().__init__()
        self._models: list[ids.ModelName] = []
        self._places: dict[ids.ModelName, int] = {}

    def _pack(self, entry: _Entry[Adapter]) -> bytes:
        adapter = entry.definition
        if adapter is None:
            return self._ROW.pack(entry.ticket, entry.version, 0, 0)
        place = self._places.get(adapter.model)
        if place is None:
            self._models.append(adapter.model)
            place = len(self._models)
            self._places[adapter.model] = place
        return self._ROW.pack(
            entry.ticket, entry.version, place, adapter.memory_bytes
        )

    def _unpack(self, row: Any) -> _Entry[Adapter]:
        ticket, version, place, memory_bytes = self._ROW.unpack(row)
        definition = None
        if place:
            definition = Adapter(self._models[place - 1], memory_bytes)
        return _Entry(definition, ids.TicketNumber(ticket), version)


class Catalog:
    """The folded configuration. Only this module's functions change it."""

    def __init__(self) -> None:
        self._offset = ids.NO_OFFSET
        self._latest_snapshot = ids.NO_OFFSET
        self._version = 0
        self._models: _Table[ids.ModelName, Model] = _Table()
        self._adapters = _AdapterTable()
        self._services: _Table[ids.ServiceName, Service] = _Table()
        self._tickets: dict[ids.TicketNumber, _Seen] = {}

    @property
    def offset(self) -> ids.Offset:
        """The offset of the last folded record."""
        return self._offset

    @property
    def latest_snapshot(self) -> ids.Offset:
        """The highest offset that a snapshot in the stream covers."""
        return self._latest_snapshot

    @property
    def version(self) -> int:
        """Grows with each effective ticket; the same in every process.

        It is one above the offset of that ticket, and 0 before the first.
        """
        return self._version

    def model(self, name: ids.ModelName) -> Model | None:
        """Returns a model, None if there is none."""
        return self._models.get(name)

    def adapter(self, name: ids.AdapterName) -> Adapter | None:
        """Returns an adapter, None if there is none."""
        return self._adapters.get(name)

    def service(self, name: ids.ServiceName) -> Service | None:
        """Returns a plain service, None if there is none."""
        return self._services.get(name)

    def models(self) -> Iterator[tuple[ids.ModelName, Model]]:
        """Iterates over the models in the order of their latest change."""
        return self._models.live()

    def adapters(self) -> Iterator[tuple[ids.AdapterName, Adapter]]:
        """Iterates over the adapters in the order of their latest change."""
        return self._adapters.live()

    def services(self) -> Iterator[tuple[ids.ServiceName, Service]]:
        """Iterates over the services in the order of their latest change."""
        return self._services.live()

    def changed_since(self, version: int) -> Changes:
        """Returns what a reader at a version lacks.

        Version 0 gets the complete catalog. A reader at a higher version gets
        nothing, so that it never goes back.
        """
        if version <= 0:
            return Changes(
                self._version,
                True,
                dict(self._models.live()),
                dict(self._adapters.live()),
                dict(self._services.live()),
            )
        return Changes(
            max(version, self._version),
            False,
            self._models.changed_since(version),
            self._adapters.changed_since(version),
            self._services.changed_since(version),
        )

    def status(self, number: ids.TicketNumber) -> messages.TicketStatus | None:
        """Returns the first verdict on a ticket, None if it is not known."""
        seen = self._tickets.get(number)
        if seen is None:
            return None
        return messages.TicketStatus(
            number, seen.verdict, seen.offset, seen.findings
        )


def make_catalog() -> Catalog:
    """Returns the state before the first record."""
    return Catalog()


def apply(
    catalog: Catalog, offset: ids.Offset, ticket: records.Ticket
) -> messages.TicketStatus:
    """Folds a ticket. Tickets must come in the order of their offsets.

    Returns:
        The verdict: accepted, repeated (with the offset of the first one),
        superseded, conflict or invalid.
    """
    if offset <= catalog._offset:
        status = catalog.status(ticket.number)
        if status is not None:
            return status
        return messages.TicketStatus(
            ticket.number, messages.TicketVerdict.REPEATED, offset
        )
    catalog._offset = offset
    plan = _make_plan(catalog, ticket)
    if not plan.is_new:
        return plan.status
    status = dataclasses.replace(plan.status, offset=offset)
    _remember(catalog, ticket, status)
    if status.verdict is messages.TicketVerdict.ACCEPTED:
        _carry_out(catalog, offset, plan)
    return status


def check(catalog: Catalog, ticket: records.Ticket) -> messages.TicketStatus:
    """Returns the verdict that a ticket would get now, without effect."""
    return _make_plan(catalog, ticket).status


def skip(catalog: Catalog, offset: ids.Offset) -> None:
    """Moves past a record that holds no ticket or cannot be decoded."""
    catalog._offset = max(catalog._offset, offset)


def note_snapshot(
    catalog: Catalog, offset: ids.Offset, body: records.Snapshot
) -> None:
    """Folds a snapshot record, which changes no object."""
    skip(catalog, offset)
    if catalog._latest_snapshot < body.covers_offset < offset:
        catalog._latest_snapshot = body.covers_offset


# ---- Verdicts --------------------------------------------------------------


@dataclasses.dataclass(slots=True)
class _Plan:
    """What a ticket would do.

    Attributes:
        is_new: The ticket counts for later verdicts on its number.
        changes: Table, name and new definition of each object to change.
    """

    status: messages.TicketStatus
    is_new: bool = False
    changes: list[tuple[Any, str, Any]] = dataclasses.field(
        default_factory=list
    )


def _is_higher_ticket(
    number: ids.TicketNumber, entry: _Entry[Any] | None
) -> bool:
    return entry is None or number > entry.ticket


def _make_plan(catalog: Catalog, ticket: records.Ticket) -> _Plan:
    seen = catalog._tickets.get(ticket.number)
    if seen is not None:
        return _Plan(_compare_with_seen(ticket, seen))
    try:
        content = tickets.decode(ticket)
    except exceptions.DecodeError as error:
        verdict = messages.TicketVerdict.INVALID
        return _Plan(_make_status(ticket, verdict, [str(error)]))
    changes = []
    newer = []
    repeated = []
    for kind, table, name, definition in _definitions(catalog, content):
        entry = table.entry(name)
        if _is_higher_ticket(ticket.number, entry):
            changes.append((table, name, definition))
        elif entry.ticket > ticket.number:
            newer.append(f"{kind} {name} stays as ticket {entry.ticket} set it")
        elif entry.definition == definition:
            repeated.append(name)
        else:
            line = f"{kind} {name} has other content under the same number"
            verdict = messages.TicketVerdict.CONFLICT
            return _Plan(_make_status(ticket, verdict, [line]))
    if changes:
        verdict = messages.TicketVerdict.ACCEPTED
    elif repeated:
        # The ticket is older than those remembered. Its first offset is lost.
        verdict = messages.TicketVerdict.REPEATED
    else:
        verdict = messages.TicketVerdict.SUPERSEDED
    return _Plan(_make_status(ticket, verdict, newer), True, changes)


def _compare_with_seen(
    ticket: records.Ticket, seen: _Seen
) -> messages.TicketStatus:
    digest = _digest_ticket(ticket)
    if digest == seen.digest:
        return messages.TicketStatus(
            ticket.number,
            messages.TicketVerdict.REPEATED,
            seen.offset,
            seen.findings,
        )
    line = (
        f"ticket {ticket.number} is known with other content: known digest"
        f" {seen.digest}, this digest {digest}"
    )
    return messages.TicketStatus(
        ticket.number,
        messages.TicketVerdict.CONFLICT,
        seen.offset,
        (line,),
    )


def _make_status(
    ticket: records.Ticket,
    verdict: messages.TicketVerdict,
    lines: list[str],
) -> messages.TicketStatus:
    shown = lines[:FINDING_LIMIT]
    if len(lines) > FINDING_LIMIT:
        shown.append(f"and {len(lines) - FINDING_LIMIT} more")
    return messages.TicketStatus(ticket.number, verdict, findings=tuple(shown))


def _digest_ticket(ticket: records.Ticket) -> str:
    return hashlib.blake2b(ticket.text.encode(), digest_size=8).hexdigest()


def _remember(
    catalog: Catalog, ticket: records.Ticket, status: messages.TicketStatus
) -> None:
    catalog._tickets[ticket.number] = _Seen(
        _digest_ticket(ticket), status.verdict, status.offset, status.findings
    )
    if len(catalog._tickets) > TICKET_LIMIT:
        del catalog._tickets[next(iter(catalog._tickets))]


def _carry_out(catalog: Catalog, offset: ids.Offset, plan: _Plan) -> None:
    catalog._version = offset + 1
    for table, name, definition in plan.changes:
        entry = _Entry(definition, plan.status.number, catalog._version)
        table.put(name, entry)


# ---- Definitions -----------------------------------------------------------


def _definitions(
    catalog: Catalog, content: tickets.Content
) -> Iterator[tuple[str, Any, str, Any]]:
    for name, model in sorted(content.models.items()):
        new_model = None if model is None else _make_model(model)
        yield "model", catalog._models, sys.intern(name), new_model
    for name, adapter in sorted(content.adapters.items()):
        new_adapter = None if adapter is None else _make_adapter(adapter)
        yield "adapter", catalog._adapters, name, new_adapter
    for name, service in sorted(content.services.items()):
        new_service = None if service is None else _make_service(service)
        yield "service", catalog._services, name, new_service


def _make_model(part: tickets.ModelPart) -> Model:
    versions = {
        ids.VersionName(sys.intern(name)): Version(
            version.checkpoint,
            version.memory_mib * _MIB,
            version.adapter_memory_mib * _MIB,
        )
        for name, version in sorted(part.versions.items())
    }
    zones = {
        ids.AvailabilityZone(sys.intern(name)): ReplicaLimits(
            replicas.max_replicas, replicas.min_replicas
        )
        for name, replicas in sorted(part.availability_zones.items())
    }
    default = ids.VersionName(sys.intern(part.default_version))
    return Model(versions, default, part.priority, zones)


def _make_adapter(part: tickets.AdapterPart) -> Adapter:
    # Interned names are shared between the adapters of a model.
    model = ids.ModelName(sys.intern(part.model))
    return Adapter(model, part.memory_mib * _MIB)


def _make_service(part: tickets.ServicePart) -> Service:
    return Service(tuple(part.repeatable_paths))


# ---- Snapshots -------------------------------------------------------------


def snapshot(catalog: Catalog) -> bytes:
    """Encodes the state. Equal states give equal bytes."""
    return snapshots.pack(_encode(catalog))


def digest(catalog: Catalog) -> str:
    """Returns a short text that is equal for equal states only."""
    return snapshots.digest(_encode(catalog))


def restore(data: bytes) -> Catalog:
    """Decodes a state.

    Raises:
        exceptions.DecodeError: The bytes are no snapshot of this format.
    """
    return snapshots.unpack(data, _decode)


def _encode(catalog: Catalog) -> Iterator[Any]:
    yield [
        _FORMAT,
        catalog._offset,
        catalog._latest_snapshot,
        catalog._version,
    ]
    yield from _encode_table(catalog._models, _encode_models)
    yield from _encode_table(catalog._adapters, _encode_adapters)
    yield from _encode_table(catalog._services, _encode_services)
    yield from _encode_tickets(catalog._tickets)


def _encode_table(table: _Table[Any, Any], encode: Any) -> Iterator[Any]:
    """Yields columns.

    Rows would take several times the memory while 41,000 adapters are encoded
    or decoded. The last part holds the definitions, as `encode` returns them.
    """
    yield [name for name, _ in table.entries()]
    yield snapshots.to_steps(entry.ticket for _, entry in table.entries())
    yield snapshots.to_steps(entry.version for _, entry in table.entries())
    yield encode(entry.definition for _, entry in table.entries())


def _encode_models(models: Iterable[Model | None]) -> list[Any]:
    return [None if row is None else _encode_model(row) for row in models]


def _encode_model(model: Model) -> list[Any]:
    return [
        [
            [name, row.checkpoint, row.memory_bytes, row.adapter_memory_bytes]
            for name, row in model.versions.items()
        ],
        model.default_version,
        model.priority,
        [
            [name, row.max_replicas, row.min_replicas]
            for name, row in model.availability_zones.items()
        ],
    ]


def _encode_adapters(adapters: Iterable[Adapter | None]) -> list[Any]:
    """Returns the models and two columns: place of the model, size."""
    places: dict[str, int] = {}
    place_column = []
    size_column = []
    for adapter in adapters:
        if adapter is None:
            place_column.append(-1)
            size_column.append(0)
            continue
        place = places.setdefault(adapter.model, len(places))
        place_column.append(place)
        size_column.append(adapter.memory_bytes)
    return [list(places), place_column, size_column]


def _encode_services(services: Iterable[Service | None]) -> list[Any]:
    return [
        None if row is None else list(row.repeatable_paths) for row in services
    ]


def _encode_tickets(seen: dict[ids.TicketNumber, _Seen]) -> Iterator[Any]:
    yield snapshots.to_steps(seen)
    yield snapshots.to_steps(row.offset for row in seen.values())
    yield [row.verdict.value for row in seen.values()]
    yield "".join(row.digest for row in seen.values())
    yield {
        str(place): list(row.findings)
        for place, row in enumerate(seen.values())
        if row.findings
    }


def _decode(parts: Iterator[Any]) -> Catalog:
    catalog = Catalog()
    header = next(parts)
    if header[0] != _FORMAT:
        raise ValueError(f"unknown format {header[0]}")
    _, catalog._offset, catalog._latest_snapshot, catalog._version = header
    _decode_table(catalog._models, parts, _decode_models)
    _decode_table(catalog._adapters, parts, _decode_adapters)
    _decode_table(catalog._services, parts, _decode_services)
    catalog._tickets = _decode_tickets(parts)
    return catalog


def _decode_table(
    table: _Table[Any, Any], parts: Iterator[Any], decode: Any
) -> None:
    rows = zip(
        next(parts),
        snapshots.from_steps(next(parts)),
        snapshots.from_steps(next(parts)),
        decode(next(parts)),
        strict=True,
    )
    for name, ticket, version, definition in rows:
        number = ids.TicketNumber(ticket)
        table.put(name, _Entry(definition, number, version))


def _decode_models(rows: list[Any]) -> Iterator[Model | None]:
    return (None if row is None else _decode_model(row) for row in rows)


def _decode_model(row: Any) -> Model:
    versions, default, priority, zones = row
    return Model(
        {
            ids.VersionName(sys.intern(name)): Version(*rest)
            for name, *rest in versions
        },
        ids.VersionName(sys.intern(default)),
        priority,
        {
            ids.AvailabilityZone(sys.intern(name)): ReplicaLimits(*rest)
            for name, *rest in zones
        },
    )


def _decode_adapters(columns: list[Any]) -> Iterator[Adapter | None]:
    models, places, sizes = columns
    names = [ids.ModelName(sys.intern(name)) for name in models]
    for place, size in zip(places, sizes, strict=True):
        yield None if place < 0 else Adapter(names[place], size)


def _decode_services(rows: list[Any]) -> Iterator[Service | None]:
    return (None if row is None else Service(tuple(row)) for row in rows)


def _decode_tickets(
    parts: Iterator[Any],
) -> dict[ids.TicketNumber, _Seen]:
    numbers = snapshots.from_steps(next(parts))
    offsets = snapshots.from_steps(next(parts))
    verdicts, digests, findings = next(parts), next(parts), next(parts)
    seen = {}
    columns = zip(numbers, offsets, verdicts, strict=True)
    for place, (number, offset, verdict) in enumerate(columns):
        seen[ids.TicketNumber(number)] = _Seen(
            digests[16 * place : 16 * place + 16],
            messages.TicketVerdict(verdict),
            ids.Offset(offset),
            tuple(findings.get(str(place), ())),
        )
    return seen
