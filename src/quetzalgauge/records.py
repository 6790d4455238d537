"""Records in the platform's log, and their encoding in Thrift compact form.

The core works on the frozen classes of this module. The generated Thrift
classes of the same names exist only inside `encode` and `decode`.
"""

import dataclasses
import enum
from typing import Any
from typing import TypeAlias

from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge.gen import ttypes


class CloseProof(enum.Enum):
    """Why no order with a fencing number can reach its target any more."""

    FENCED = ttypes.CloseProof.FENCED
    SETTLED = ttypes.CloseProof.SETTLED
    WRITER_GONE = ttypes.CloseProof.WRITER_GONE


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A change ticket as its canonical JSON text."""

    number: ids.TicketNumber
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """The writer is a live control process of an availability zone."""

    availability_zone: ids.AvailabilityZone
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRegister:
    """A model engine that may hold replicas."""

    target: ids.TargetId
    target_incarnation: ids.TargetIncarnation
    availability_zone: ids.AvailabilityZone
    accelerator_memory_bytes: int
    checks_fencing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetGone:
    """A target's incarnation has ended; its memory is empty."""

    target: ids.TargetId
    target_incarnation: ids.TargetIncarnation


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseClaim:
    """Claims a target's lease.

    It wins only if expected_offset is the offset of the latest claim or renewal
    of that lease (NO_OFFSET if the target never had a holder).
    """

    target: ids.TargetId
    expected_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Renews every lease of the writer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Gives up leases; the fencing numbers stay open until closed."""

    targets: tuple[ids.TargetId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """No order with this fencing number can reach the target any more."""

    target: ids.TargetId
    fencing_number: ids.FencingNumber
    proof: CloseProof


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Reserves memory and a replica slot on a target."""

    target: ids.TargetId
    fencing_number: ids.FencingNumber
    slot: ids.SlotId
    version: ids.VersionName
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Frees a reservation whose slot the target no longer has loaded."""

    target: ids.TargetId
    fencing_number: ids.FencingNumber
    slot: ids.SlotId


@dataclasses.dataclass(frozen=True, slots=True)
class KeyClaim:
    """Claims idempotency keys; the first claim of a key wins."""

    keys: tuple[ids.KeyHash, ...]
    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRelease:
    """Gives up the writer's claims of keys whose requests never ran."""

    keys: tuple[ids.KeyHash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceGone:
    """The instance's process of this or an older incarnation has ended."""

    instance: ids.InstanceId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The folded state up to and including the covered offset."""

    covers_offset: ids.Offset
    state: bytes


Body: TypeAlias = (
    Ticket
    | Register
    | TargetRegister
    | TargetGone
    | LeaseClaim
    | Renew
    | Resign
    | Close
    | Reserve
    | Release
    | KeyClaim
    | KeyRelease
    | InstanceGone
    | Snapshot
)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A record with the writer and its sequence number.

    The fold drops a record whose sequence number is not above the last one it
    has seen from the same writer, so an append may be repeated.
    """

    writer: ids.WriterId
    sequence: ids.Sequence
    body: Body


# Field name in the union RecordBody, wire class and core class of each body.
_BODIES: tuple[tuple[str, Any, type], ...] = (
    ("ticket", ttypes.TicketRecord, Ticket),
    ("register_", ttypes.Register, Register),
    ("target_register", ttypes.TargetRegister, TargetRegister),
    ("target_gone", ttypes.TargetGone, TargetGone),
    ("lease_claim", ttypes.LeaseClaim, LeaseClaim),
    ("renew", ttypes.Renew, Renew),
    ("resign", ttypes.Resign, Resign),
    ("close", ttypes.Close, Close),
    ("reserve", ttypes.Reserve, Reserve),
    ("release", ttypes.Release, Release),
    ("key_claim", ttypes.KeyClaim, KeyClaim),
    ("snapshot", ttypes.Snapshot, Snapshot),
    ("key_release", ttypes.KeyRelease, KeyRelease),
    ("instance_gone", ttypes.InstanceGone, InstanceGone),
)
_WIRE_BY_CORE = {core: (field, wire) for field, wire, core in _BODIES}
_FIELD_NAMES = {
    core: tuple(field.name for field in dataclasses.fields(core))
    for _, _, core in _BODIES
}


def encode(envelope: Envelope) -> bytes:
    """Encodes a record for the log."""
    field, wire_class = _WIRE_BY_CORE[type(envelope.body)]
    names = _FIELD_NAMES[type(envelope.body)]
    values = {
        name: _value_to_wire(getattr(envelope.body, name)) for name in names
    }
    message = ttypes.Envelope(
        writer=ttypes.Writer(
            instance=envelope.writer.instance,
            incarnation=envelope.writer.incarnation,
        ),
        sequence=envelope.sequence,
        body=ttypes.RecordBody(**{field: wire_class(**values)}),
    )
    return to_bytes(message)


def decode(data: bytes) -> Envelope:
    """Decodes a record.

    Raises:
        exceptions.DecodeError: The bytes are no record, or a field is missing.
    """
    message = from_bytes(ttypes.Envelope, data)
    if message.writer is None or message.body is None:
        raise exceptions.DecodeError("record without writer or body")
    _require(message.writer.instance, str, "writer.instance")
    _require(message.writer.incarnation, int, "writer.incarnation")
    _require(message.sequence, int, "sequence")
    writer = ids.WriterId(message.writer.instance, message.writer.incarnation)
    return Envelope(writer, message.sequence, _decode_body(message.body))


def to_bytes(message: Any) -> bytes:
    """Encodes a generated Thrift struct in compact form."""
    transport = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocolAccelerated(transport)
    message.write(protocol)
    return transport.getvalue()


def from_bytes(wire_class: Any, data: bytes) -> Any:
    """Decodes a generated Thrift struct from compact form.

    Raises:
        exceptions.DecodeError: The bytes are not such a struct.
    """
    transport = TTransport.TMemoryBuffer(data)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(transport)
    message = wire_class()
    try:
        message.read(protocol)
    except (
        EOFError,
        MemoryError,
        OverflowError,
        TProtocol.TProtocolException,
        TTransport.TTransportException,
        TypeError,
        UnicodeDecodeError,
        ValueError,
    ) as error:
        name = wire_class.__name__
        raise exceptions.DecodeError(f"not a valid {name}: {error}") from error
    return message


def _decode_body(body: Any) -> Body:
    found = [row for row in _BODIES if getattr(body, row[0]) is not None]
    if len(found) != 1:
        raise exceptions.DecodeError(f"record with {len(found)} bodies")
    field, _, core = found[0]
    wire = getattr(body, field)
    values = [
        _value_from_wire(getattr(wire, name), f"{field}.{name}")
        for name in _FIELD_NAMES[core]
    ]
    return core(*values)


def _value_to_wire(value: Any) -> Any:
    if isinstance(value, ids.SlotId):
        return slot_to_wire(value)
    if isinstance(value, CloseProof):
        return value.value
    if isinstance(value, tuple):
        return list(value)
    return value


def _value_from_wire(value: Any, place: str) -> Any:
    if value is None:
        raise exceptions.DecodeError(f"{place} is missing")
    if isinstance(value, ttypes.Slot):
        return slot_from_wire(value)
    if place == "close.proof":
        return _proof_from_wire(value)
    if isinstance(value, list):
        return tuple(value)
    return value


def _proof_from_wire(value: int) -> CloseProof:
    try:
        return CloseProof(value)
    except ValueError as error:
        raise exceptions.DecodeError(f"unknown close proof {value}") from error


def slot_to_wire(slot: ids.SlotId) -> Any:
    """Returns the Thrift form of a slot."""
    return ttypes.Slot(
        model=slot.model,
        availability_zone=slot.availability_zone,
        index=slot.index,
    )


def slot_from_wire(slot: Any) -> ids.SlotId:
    """Returns the core form of a Thrift slot.

    Raises:
        exceptions.DecodeError: A field is missing.
    """
    _require(slot.model, str, "slot.model")
    _require(slot.availability_zone, str, "slot.availability_zone")
    _require(slot.index, int, "slot.index")
    return ids.SlotId(slot.model, slot.availability_zone, slot.index)


def _require(value: Any, kind: type, place: str) -> None:
    if not isinstance(value, kind):
        raise exceptions.DecodeError(
            f"{place} is missing or no {kind.__name__}"
        )
