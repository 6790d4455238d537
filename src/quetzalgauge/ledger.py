"""The fold of a region's decision stream.

The fold is deterministic: it uses offsets and the records only, never a clock
or the configuration. Each rule that safety depends on is one small predicate.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import enum
from typing import Any
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge import keyclaims
from quetzalgauge import records
from quetzalgauge import snapshots

# The fold keeps the latest claims only; older ones are forgotten.
KEY_CLAIM_LIMIT = 50_000

# Ended incarnations of instances and of targets are remembered, so that a late
# record cannot bring them back. The limits bound the state when instances get
# new names: a region's share of 450 replacements a day fills either list in
# about nine days. A vacant target takes about 500 bytes.
GONE_WRITER_LIMIT = 1_000
VACANT_TARGET_LIMIT = 1_000

_FORMAT = 1


class Verdict(enum.Enum):
    """What the fold did with a record."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The verdict on a record; a rejection names the rule it broke."""

    verdict: Verdict
    reason: str = ""

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return self.verdict is Verdict.ACCEPTED


_ACCEPTED = Outcome(Verdict.ACCEPTED)


@dataclasses.dataclass(slots=True)
class Writer:
    """A registered control process. Read only outside this module.

    Attributes:
        renewed: The offset of its latest renewal, NO_OFFSET if none.
        targets: The targets whose lease it holds.
    """

    id: ids.WriterId
    availability_zone: ids.AvailabilityZone
    peer_address: str
    sequence: ids.Sequence
    renewed: ids.Offset = ids.NO_OFFSET
    targets: set[ids.TargetId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Memory and a slot that are reserved on a target."""

    slot: ids.SlotId
    version: ids.VersionName
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A target's lease.

    Attributes:
        latest_offset: The offset of its latest claim or renewal.
    """

    holder: ids.WriterId
    fencing_number: ids.FencingNumber
    latest_offset: ids.Offset


@dataclasses.dataclass(slots=True)
class Target:
    """A target that has or had a lease. Read only outside this module.

    Attributes:
        incarnation: The registered incarnation, None if there is none.
        gone_incarnation: The latest incarnation that has ended, if any.
        holder: The holder of the lease, None if nobody holds it.
        fencing_number: The number of the latest lease.
        latest_offset: The offset of the latest claim, or of the latest renewal
            if the lease has ended.
        open_numbers: The open fencing numbers and their writers.
    """

    incarnation: ids.TargetIncarnation | None = None
    gone_incarnation: ids.TargetIncarnation | None = None
    availability_zone: ids.AvailabilityZone = ids.AvailabilityZone("")
    accelerator_memory_bytes: int = 0
    checks_fencing: bool = False
    holder: ids.WriterId | None = None
    fencing_number: ids.FencingNumber = ids.FencingNumber(-1)
    latest_offset: ids.Offset = ids.NO_OFFSET
    open_numbers: dict[ids.FencingNumber, ids.WriterId] = dataclasses.field(
        default_factory=dict
    )
    reservations: dict[ids.SlotId, Reservation] = dataclasses.field(
        default_factory=dict
    )
    reserved_bytes: int = 0


class Ledger:
    """The folded state of a decision stream. Only `apply` changes it."""

    def __init__(self) -> None:
        self._offset = ids.NO_OFFSET
        self._latest_snapshot = ids.NO_OFFSET
        self._writers: dict[ids.InstanceId, Writer] = {}
        self._gone_writers: dict[ids.InstanceId, int] = {}
        self._targets: dict[ids.TargetId, Target] = {}
        self._vacant: dict[ids.TargetId, None] = {}
        self._slots: dict[ids.SlotId, ids.TargetId] = {}
        self._claims = keyclaims.KeyClaims()

    @property
    def offset(self) -> ids.Offset:
        """The offset of the last folded record."""
        return self._offset

    @property
    def latest_snapshot(self) -> ids.Offset:
        """The highest offset that a snapshot in the stream covers."""
        return self._latest_snapshot

    @property
    def writers(self) -> Mapping[ids.InstanceId, Writer]:
        """The registered writers."""
        return self._writers

    @property
    def targets(self) -> Mapping[ids.TargetId, Target]:
        """Every target that has or had a lease, registered or not."""
        return self._targets

    @property
    def slots(self) -> Mapping[ids.SlotId, ids.TargetId]:
        """The reserved slots and their targets."""
        return self._slots

    @property
    def claims(self) -> keyclaims.KeyClaims:
        """The latest claims of keys. Read only outside this module."""
        return self._claims

    def is_registered(self, writer: ids.WriterId) -> bool:
        """Returns whether this incarnation of the writer is registered."""
        return _is_registered(self._writers.get(writer.instance), writer)

    def lease(self, target: ids.TargetId) -> Lease | None:
        """Returns the lease of a target, None if nobody holds it."""
        state = self._targets.get(target)
        if state is None or state.holder is None:
            return None
        return Lease(
            state.holder, state.fencing_number, self.latest_renewal(target)
        )

    def leases_of(self, writer: ids.WriterId) -> Set[ids.TargetId]:
        """Returns the targets whose lease a writer holds."""
        state = self._writers.get(writer.instance)
        if state is None or state.id != writer:
            return frozenset()
        return state.targets

    def latest_renewal(self, target: ids.TargetId) -> ids.Offset:
        """Returns the offset that a claim of the target has to expect.

        That is the latest claim or renewal, NO_OFFSET if there was none.
        """
        state = self._targets.get(target)
        if state is None:
            return ids.NO_OFFSET
        if state.holder is None:
            return state.latest_offset
        renewed = self._writers[state.holder.instance].renewed
        return max(state.latest_offset, renewed)

    def open_numbers(
        self, target: ids.TargetId
    ) -> Mapping[ids.FencingNumber, ids.WriterId]:
        """Returns the open fencing numbers of a target with their writers."""
        state = self._targets.get(target)
        return {} if state is None else state.open_numbers

    def older_numbers_closed(self, target: ids.TargetId) -> bool:
        """Returns whether only the present lease's number may be open."""
        state = self._targets.get(target)
        return state is None or _are_older_numbers_closed(state)

    def reservations(
        self, target: ids.TargetId
    ) -> Mapping[ids.SlotId, Reservation]:
        """Returns the reservations on a target."""
        state = self._targets.get(target)
        return {} if state is None else state.reservations

    def unreserved_bytes(self, target: ids.TargetId) -> int:
        """Returns the accelerator memory that can still be reserved."""
        state = self._targets.get(target)
        if state is None or state.incarnation is None:
            return 0
        return state.accelerator_memory_bytes - state.reserved_bytes

    def target_of_slot(self, slot: ids.SlotId) -> ids.TargetId | None:
        """Returns the target that holds a slot."""
        return self._slots.get(slot)

    def key_claim(self, key: ids.KeyHash) -> keyclaims.Claim | None:
        """Returns the claim that a key belongs to.

        A writer has won a key if the claim's offset is that of its own record.
        """
        return self._claims.get(key)


def make_ledger() -> Ledger:
    """Returns the state before the first record."""
    return Ledger()


def apply(
    ledger: Ledger, offset: ids.Offset, envelope: records.Envelope
) -> Outcome:
    """Folds one record. Records must come in the order of their offsets."""
    if offset <= ledger._offset:
        return Outcome(Verdict.DUPLICATE, "the offset is folded already")
    ledger._offset = offset
    writer = ledger._writers.get(envelope.writer.instance)
    known = _is_registered(writer, envelope.writer)
    if isinstance(envelope.body, records.Snapshot):
        # A snapshot decides nothing, so it counts whoever wrote it.
        _note_snapshot(ledger, offset, envelope.body)
    if isinstance(envelope.body, records.Register) and not known:
        return _outcome(_register_writer(ledger, envelope, envelope.body))
    if writer is None or not known:
        return Outcome(Verdict.REJECTED, "the writer is not registered")
    if not _is_new_sequence(writer, envelope.sequence):
        return Outcome(Verdict.DUPLICATE, "the sequence number is not new")
    writer.sequence = envelope.sequence
    rule = _RULES[type(envelope.body)]
    return _outcome(rule(ledger, offset, writer, envelope.body))


def skip(ledger: Ledger, offset: ids.Offset) -> None:
    """Moves past a record that cannot be decoded."""
    ledger._offset = max(ledger._offset, offset)


# ---- Guards ----------------------------------------------------------------


def _is_registered(writer: Writer | None, claimed: ids.WriterId) -> bool:
    return writer is not None and writer.id == claimed


def _is_newer_incarnation(ledger: Ledger, claimed: ids.WriterId) -> bool:
    writer = ledger._writers.get(claimed.instance)
    if writer is not None:
        return claimed.incarnation > writer.id.incarnation
    gone = ledger._gone_writers.get(claimed.instance)
    return gone is None or claimed.incarnation > gone


def _is_new_sequence(writer: Writer, sequence: ids.Sequence) -> bool:
    return sequence > writer.sequence


def _is_latest_renewal(
    ledger: Ledger, target: ids.TargetId, expected: ids.Offset
) -> bool:
    return ledger.latest_renewal(target) == expected


def _is_same_zone(target: Target, writer: Writer) -> bool:
    # The zone of a target is known only while the target is registered.
    if target.incarnation is None:
        return True
    return target.availability_zone == writer.availability_zone


def _holds_lease(
    target: Target, writer: Writer, number: ids.FencingNumber
) -> bool:
    return target.holder == writer.id and target.fencing_number == number


def _is_slot_free(ledger: Ledger, slot: ids.SlotId) -> bool:
    return slot not in ledger._slots


def _fits_memory(target: Target, memory_bytes: int) -> bool:
    # A size below one byte would make room for others.
    if memory_bytes < 1:
        return False
    total = target.reserved_bytes + memory_bytes
    return total <= target.accelerator_memory_bytes


def _are_older_numbers_closed(target: Target) -> bool:
    return all(
        number >= target.fencing_number for number in target.open_numbers
    )


def _is_close_proven(
    ledger: Ledger, target: Target, writer: Writer, close: records.Close
) -> bool:
    number = close.fencing_number
    owner = target.open_numbers[number]
    if close.proof is records.CloseProof.FENCED:
        # Before its registration, only the list says whether a target checks.
        checks = target.incarnation is None or target.checks_fencing
        holds = target.holder == writer.id and target.fencing_number > number
        return checks and holds
    if close.proof is records.CloseProof.SETTLED:
        in_use = target.holder == owner and target.fencing_number == number
        return owner == writer.id and not in_use
    return not ledger.is_registered(owner)


def _is_own_claim(claim: keyclaims.Claim | None, writer: Writer) -> bool:
    return claim is not None and claim.writer == writer.id


# ---- Rules -----------------------------------------------------------------

# A rule changes the state and returns "", or returns why it does not.
_Rule: TypeAlias = Callable[[Ledger, ids.Offset, Writer, Any], str]


def _outcome(reason: str) -> Outcome:
    if not reason:
        return _ACCEPTED
    return Outcome(Verdict.REJECTED, reason)


def _register_writer(
    ledger: Ledger, envelope: records.Envelope, body: records.Register
) -> str:
    if not _is_newer_incarnation(ledger, envelope.writer):
        return "a newer incarnation is known, or this one has ended"
    former = ledger._writers.get(envelope.writer.instance)
    if former is not None:
        _end_leases(ledger, former)
    ledger._gone_writers.pop(envelope.writer.instance, None)
    ledger._writers[envelope.writer.instance] = Writer(
        envelope.writer,
        body.availability_zone,
        body.peer_address,
        envelope.sequence,
    )
    return ""


def _register_again(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.Register
) -> str:
    if body.availability_zone != writer.availability_zone:
        return "an incarnation cannot change its zone"
    writer.peer_address = body.peer_address
    return ""


def _register_target(
    ledger: Ledger,
    offset: ids.Offset,
    writer: Writer,
    body: records.TargetRegister,
) -> str:
    target = ledger._targets.get(body.target)
    if target is None or target.holder != writer.id:
        return "the writer does not hold the lease"
    if target.incarnation is not None:
        return "an incarnation of the target is registered"
    if target.gone_incarnation == body.target_incarnation:
        return "this incarnation of the target has ended"
    if body.availability_zone != writer.availability_zone:
        return "the target is in another zone"
    if body.accelerator_memory_bytes < 0:
        return "the accelerator memory is negative"
    if not _are_older_numbers_closed(target):
        return "an older fencing number is open"
    target.incarnation = body.target_incarnation
    target.availability_zone = body.availability_zone
    target.accelerator_memory_bytes = body.accelerator_memory_bytes
    target.checks_fencing = body.checks_fencing
    return ""


def _end_target(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.TargetGone
) -> str:
    target = ledger._targets.get(body.target)
    if target is None or target.incarnation != body.target_incarnation:
        return "this incarnation of the target is not registered"
    if not _is_same_zone(target, writer):
        return "the target is in another zone"
    for slot in target.reservations:
        del ledger._slots[slot]
    target.reservations = {}
    target.reserved_bytes = 0
    target.gone_incarnation = target.incarnation
    target.incarnation = None
    target.accelerator_memory_bytes = 0
    _note_vacancy(ledger, body.target)
    return ""


def _claim_lease(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.LeaseClaim
) -> str:
    target = ledger._targets.get(body.target)
    if target is None:
        target = Target()
    if not _is_same_zone(target, writer):
        return "the target is in another zone"
    if not _is_latest_renewal(ledger, body.target, body.expected_offset):
        return "the lease was claimed or renewed since"
    _end_lease(ledger, body.target)
    ledger._targets[body.target] = target
    target.holder = writer.id
    target.fencing_number = ids.FencingNumber(offset)
    target.latest_offset = offset
    target.open_numbers[target.fencing_number] = writer.id
    writer.targets.add(body.target)
    _note_vacancy(ledger, body.target)
    return ""


def _renew(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.Renew
) -> str:
    writer.renewed = offset
    return ""


def _resign(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.Resign
) -> str:
    held = [name for name in body.targets if name in writer.targets]
    if not held:
        return "the writer holds none of the leases"
    for name in dict.fromkeys(held):
        _end_lease(ledger, name)
        _note_vacancy(ledger, name)
    return ""


def _close(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.Close
) -> str:
    target = ledger._targets.get(body.target)
    if target is None or body.fencing_number not in target.open_numbers:
        return "the fencing number is not open"
    if not _is_same_zone(target, writer):
        return "the target is in another zone"
    if not _is_close_proven(ledger, target, writer, body):
        return f"the proof {body.proof.name} does not hold"
    del target.open_numbers[body.fencing_number]
    _note_vacancy(ledger, body.target)
    return ""


def _reserve(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.Reserve
) -> str:
    target = ledger._targets.get(body.target)
    if target is None or not _holds_lease(target, writer, body.fencing_number):
        return "the writer does not hold the lease with this number"
    if target.incarnation is None:
        return "the target is not registered"
    if body.slot.availability_zone != target.availability_zone:
        return "the slot belongs to another zone"
    if body.slot.index < 0:
        return "the slot's index is negative"
    if not _is_slot_free(ledger, body.slot):
        return "the slot is reserved"
    if not _fits_memory(target, body.memory_bytes):
        return "the memory does not suffice"
    ledger._slots[body.slot] = body.target
    target.reservations[body.slot] = Reservation(
        body.slot, body.version, body.memory_bytes
    )
    target.reserved_bytes += body.memory_bytes
    return ""


def _release(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.Release
) -> str:
    target = ledger._targets.get(body.target)
    if target is None or not _holds_lease(target, writer, body.fencing_number):
        return "the writer does not hold the lease with this number"
    if body.slot not in target.reservations:
        return "the slot is not reserved on the target"
    if not _are_older_numbers_closed(target):
        return "an older fencing number is open"
    reservation = target.reservations.pop(body.slot)
    target.reserved_bytes -= reservation.memory_bytes
    del ledger._slots[body.slot]
    return ""


def _claim_keys(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.KeyClaim
) -> str:
    claims = ledger._claims
    free = [key for key in dict.fromkeys(body.keys) if key not in claims]
    if not free:
        return "every key is claimed"
    claims.add(free, keyclaims.Claim(offset, writer.id, body.entry))
    claims.shrink(KEY_CLAIM_LIMIT)
    return ""


def _release_keys(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.KeyRelease
) -> str:
    claims = ledger._claims
    own = [
        key
        for key in dict.fromkeys(body.keys)
        if _is_own_claim(claims.get(key), writer)
    ]
    if not own:
        return "none of the keys is claimed by the writer"
    claims.remove(own)
    return ""


def _end_writer(
    ledger: Ledger,
    offset: ids.Offset,
    writer: Writer,
    body: records.InstanceGone,
) -> str:
    gone = ledger._writers.get(body.instance)
    if gone is None:
        return "the instance is not registered"
    if gone is writer:
        return "the writer of the record has not ended"
    if gone.id.incarnation > body.incarnation:
        return "a newer incarnation is registered"
    _end_leases(ledger, gone)
    del ledger._writers[body.instance]
    ledger._gone_writers[body.instance] = body.incarnation
    if len(ledger._gone_writers) > GONE_WRITER_LIMIT:
        del ledger._gone_writers[next(iter(ledger._gone_writers))]
    return ""


def _ignore(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.Snapshot
) -> str:
    return ""


def _note_snapshot(
    ledger: Ledger, offset: ids.Offset, body: records.Snapshot
) -> None:
    if ledger._latest_snapshot < body.covers_offset < offset:
        ledger._latest_snapshot = body.covers_offset


def _refuse_ticket(
    ledger: Ledger, offset: ids.Offset, writer: Writer, body: records.Ticket
) -> str:
    return "a ticket belongs to the configuration stream"


_RULES: dict[type, _Rule] = {
    records.Register: _register_again,
    records.TargetRegister: _register_target,
    records.TargetGone: _end_target,
    records.LeaseClaim: _claim_lease,
    records.Renew: _renew,
    records.Resign: _resign,
    records.Close: _close,
    records.Reserve: _reserve,
    records.Release: _release,
    records.KeyClaim: _claim_keys,
    records.KeyRelease: _release_keys,
    records.InstanceGone: _end_writer,
    records.Snapshot: _ignore,
    records.Ticket: _refuse_ticket,
}


def _end_leases(ledger: Ledger, writer: Writer) -> None:
    for name in sorted(writer.targets):
        _end_lease(ledger, name)
        _note_vacancy(ledger, name)


def _end_lease(ledger: Ledger, name: ids.TargetId) -> None:
    target = ledger._targets.get(name)
    if target is None or target.holder is None:
        return
    target.latest_offset = ledger.latest_renewal(name)
    ledger._writers[target.holder.instance].targets.discard(name)
    target.holder = None


def _note_vacancy(ledger: Ledger, name: ids.TargetId) -> None:
    """Forgets the longest vacant target when there are too many."""
    target = ledger._targets[name]
    used = target.incarnation is not None or target.holder is not None
    if used or target.open_numbers:
        ledger._vacant.pop(name, None)
        return
    ledger._vacant.setdefault(name)
    if len(ledger._vacant) > VACANT_TARGET_LIMIT:
        oldest = next(iter(ledger._vacant))
        del ledger._vacant[oldest]
        del ledger._targets[oldest]


# ---- Snapshots -------------------------------------------------------------


def snapshot(ledger: Ledger) -> bytes:
    """Encodes the state. Equal states give equal bytes."""
    return snapshots.pack(_encode(ledger))


def digest(ledger: Ledger) -> str:
    """Returns a short text that is equal for equal states only."""
    return snapshots.digest(_encode(ledger))


def restore(data: bytes) -> Ledger:
    """Decodes a state.

    Raises:
        exceptions.DecodeError: The bytes are no snapshot of this format.
    """
    return snapshots.unpack(data, _decode)


def _encode(ledger: Ledger) -> Iterator[Any]:
    yield [_FORMAT, ledger._offset, ledger._latest_snapshot]
    yield [
        [
            writer.id.instance,
            writer.id.incarnation,
            writer.availability_zone,
            writer.peer_address,
            writer.sequence,
            writer.renewed,
        ]
        for _, writer in sorted(ledger._writers.items())
    ]
    yield list(ledger._gone_writers.items())
    yield [
        _encode_target(name, target)
        for name, target in sorted(ledger._targets.items())
    ]
    yield list(ledger._vacant)
    yield from ledger._claims.encode()


def _encode_target(name: ids.TargetId, target: Target) -> list[Any]:
    holder = target.holder
    return [
        name,
        target.incarnation,
        target.gone_incarnation,
        target.availability_zone,
        target.accelerator_memory_bytes,
        target.checks_fencing,
        None if holder is None else [holder.instance, holder.incarnation],
        target.fencing_number,
        target.latest_offset,
        [
            [number, owner.instance, owner.incarnation]
            for number, owner in sorted(target.open_numbers.items())
        ],
        [
            [slot.model, slot.index, held.version, held.memory_bytes]
            for slot, held in sorted(target.reservations.items())
        ],
    ]


def _decode(parts: Iterator[Any]) -> Ledger:
    ledger = Ledger()
    format_number, ledger._offset, ledger._latest_snapshot = next(parts)
    if format_number != _FORMAT:
        raise ValueError(f"unknown format {format_number}")
    for row in next(parts):
        writer = ids.WriterId(row[0], row[1])
        ledger._writers[writer.instance] = Writer(writer, *row[2:])
    ledger._gone_writers = dict(next(parts))
    for row in next(parts):
        _decode_target(ledger, row)
    ledger._vacant = dict.fromkeys(next(parts))
    ledger._claims = keyclaims.decode(parts)
    return ledger


def _decode_target(ledger: Ledger, row: list[Any]) -> None:
    name, incarnation, gone, zone, memory, checks, holder = row[:7]
    number, latest, open_numbers, reservations = row[7:]
    target = Target(incarnation, gone, zone, memory, checks)
    target.fencing_number = number
    target.latest_offset = latest
    if holder is not None:
        target.holder = ids.WriterId(*holder)
        ledger._writers[target.holder.instance].targets.add(name)
    for open_number, instance, writer in open_numbers:
        target.open_numbers[open_number] = ids.WriterId(instance, writer)
    for model, index, version, memory_bytes in reservations:
        slot = ids.SlotId(model, zone, index)
        target.reservations[slot] = Reservation(slot, version, memory_bytes)
        target.reserved_bytes += memory_bytes
        ledger._slots[slot] = name
    ledger._targets[name] = target
