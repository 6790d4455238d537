"""Events and actions of the control core.

The shell turns input into events and carries out the actions. `token` in an
event is opaque to the core and comes back in the matching `Reply`.
"""

import dataclasses
import datetime
import enum
from typing import Any
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge import records


class InstanceKind(enum.Enum):
    """What an entry of the instance list is."""

    TARGET = "target"
    SYSTEM = "system"


class ServiceKind(enum.Enum):
    """What a target serves."""

    MODELS = "models"
    PLAIN = "plain"


class InstanceState(enum.Enum):
    """State of an instance according to the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class CacheTier(enum.Enum):
    """Where a checkpoint is nearest to a target's accelerators."""

    MEMORY = "memory"
    DISK = "disk"
    REMOTE = "remote"


class ReplicaState(enum.Enum):
    """State of a model on a target."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class OrderAction(enum.Enum):
    """What an order asks of a target."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"
    FENCE = "fence"


class OrderOutcome(enum.Enum):
    """What became of an order, as far as the sender can tell."""

    ACCEPTED = "accepted"
    DONE = "done"
    STALE = "stale"  # Refused: a higher fencing number is known.
    REFUSED = "refused"  # Refused for another reason; it had no effect.
    NOT_SENT = "not_sent"  # No byte was sent.
    UNKNOWN = "unknown"  # Sent, and the answer is missing.


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the instance list."""

    instance: str
    kind: InstanceKind
    address: str
    availability_zone: ids.AvailabilityZone
    region: ids.Region
    state: InstanceState
    incarnation: str
    service: ids.ServiceName = ids.ServiceName("")
    service_kind: ServiceKind = ServiceKind.MODELS
    accelerator_memory_bytes: int = 0
    accelerators: int = 0
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ModelStatus:
    """One model on a target, as its status reports it."""

    model: ids.ModelName
    version: ids.VersionName
    state: ReplicaState
    slot: ids.SlotId
    memory_bytes: int
    running: int
    waiting: int
    ready_in: datetime.timedelta
    adapters: frozenset[ids.AdapterName] = frozenset()
    adapters_loading: frozenset[ids.AdapterName] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """A target's own report."""

    target: ids.TargetId
    incarnation: ids.TargetIncarnation
    draining: bool
    fencing_number: ids.FencingNumber
    checks_fencing: bool
    accelerator_memory_bytes: int
    used_bytes: int
    models: tuple[ModelStatus, ...]
    cached: dict[tuple[ids.ModelName, ids.VersionName], CacheTier]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a target. The same order id twice has one effect.

    `target_incarnation` is the incarnation that the order is meant for. The
    sender compares it, and the target, with `/status` on the same connection,
    so that a late order never reaches a restarted target.
    """

    order_id: ids.OrderId
    target: ids.TargetId
    fencing_number: ids.FencingNumber
    action: OrderAction
    slot: ids.SlotId | None = None
    version: ids.VersionName = ids.VersionName("")
    checkpoint: str = ""
    memory_bytes: int = 0
    adapter: ids.AdapterName = ids.AdapterName("")
    adapter_bytes: int = 0
    role: str = ""
    target_incarnation: ids.TargetIncarnation = ids.TargetIncarnation("")


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed. Sent a few times a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRead:
    """Records were read, in order. An empty tuple: the end was reached."""

    stream: ids.StreamName
    records: tuple[tuple[ids.Offset, bytes], ...]
    next_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class StreamExpired:
    """The wanted offset is no longer kept."""

    stream: ids.StreamName
    earliest: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFailed:
    """The log could not be read."""

    stream: ids.StreamName


@dataclasses.dataclass(frozen=True, slots=True)
class AppendDone:
    """An append ended. Not acknowledged: it may have taken effect."""

    stream: ids.StreamName
    acknowledged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The instance list was read."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPolled:
    """A target was asked for its status. None: it did not answer."""

    target: ids.TargetId
    status: TargetStatus | None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An order got its answer or failed."""

    order: Order
    outcome: OrderOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReported:
    """An entry process reported. `report` is a ttypes.EntryReport."""

    report: Any


@dataclasses.dataclass(frozen=True, slots=True)
class DigestReceived:
    """A peer asked for an exchange.

    `digest` is a ttypes.Digest, `target_states` a list of ttypes.TargetState.
    The reply's value is a ttypes.Update.
    """

    token: Any
    digest: Any
    target_states: Any


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateReceived:
    """A peer answered an exchange. `update` is a ttypes.Update or None."""

    address: str
    update: Any


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReceived:
    """A peer handed over demand. `demands` is a list of ttypes.Demand."""

    demands: Any


@dataclasses.dataclass(frozen=True, slots=True)
class TicketSubmitted:
    """An operator submitted a ticket. The reply's value is a TicketStatus."""

    token: Any
    ticket: records.Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class KeyClaimRequested:
    """An entry wants a key. The reply's value is a ttypes.KeyReply."""

    token: Any
    entry: ids.EntryId
    key: ids.KeyHash
    deadline: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeStored:
    """An entry ran a keyed request. `outcome` is a ttypes.KeyOutcome."""

    key: ids.KeyHash
    outcome: Any


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeWanted:
    """A peer asks for an outcome. The reply's value is a ttypes.KeyOutcome."""

    token: Any
    key: ids.KeyHash


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeFetched:
    """A peer answered with an outcome, or None when it did not answer."""

    key: ids.KeyHash
    outcome: Any


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterRequested:
    """An adapter is wanted. The reply's value is a ttypes.AdapterReply."""

    token: Any
    target: ids.TargetId
    adapter: ids.AdapterName
    deadline: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotWanted:
    """A peer asks for a stream's state. The reply's value: ttypes.LogRecord."""

    token: Any
    stream: ids.StreamName


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotFetched:
    """A peer answered with a stream's state. Empty data: it has none."""

    stream: ids.StreamName
    offset: ids.Offset
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """A planned stop of this process has begun."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDrainRequested:
    """An operator drains a target. The reply's value is a bool."""

    token: Any
    target: ids.TargetId


Event: TypeAlias = (
    Tick
    | StreamRead
    | StreamExpired
    | StreamFailed
    | AppendDone
    | InstancesListed
    | TargetPolled
    | OrderAnswered
    | EntryReported
    | DigestReceived
    | UpdateReceived
    | DemandReceived
    | TicketSubmitted
    | KeyClaimRequested
    | OutcomeStored
    | OutcomeWanted
    | OutcomeFetched
    | AdapterRequested
    | SnapshotWanted
    | SnapshotFetched
    | DrainRequested
    | TargetDrainRequested
)


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStream:
    """Continue to read a stream from an offset; replaces the last position."""

    stream: ids.StreamName
    from_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append a batch; ends with one AppendDone."""

    stream: ids.StreamName
    data: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PollTarget:
    """Ask a target for its status; ends with one TargetPolled."""

    target: ids.TargetId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order once; ends with one OrderAnswered."""

    address: str
    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeWithPeer:
    """Exchange state with a peer; ends with one UpdateReceived."""

    address: str
    digest: Any
    target_states: Any


@dataclasses.dataclass(frozen=True, slots=True)
class SendDemand:
    """Hand demand to a peer; no answer."""

    address: str
    demands: Any


@dataclasses.dataclass(frozen=True, slots=True)
class FetchSnapshot:
    """Ask a peer for a stream's state; ends with one SnapshotFetched."""

    address: str
    stream: ids.StreamName


@dataclasses.dataclass(frozen=True, slots=True)
class FetchOutcome:
    """Ask a peer for the outcome of a key; ends with one OutcomeFetched."""

    address: str
    key: ids.KeyHash


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAdapterRequest:
    """Pass an adapter request to a peer, whose answer goes to the token."""

    address: str
    token: Any
    target: ids.TargetId
    adapter: ids.AdapterName
    timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesChanged:
    """Routes or catalog changed; waiting `sync` calls should answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answers the event that carried the token."""

    token: Any
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line.

    Attributes:
        part: The part of the system, used as the line's prefix.
        level: A level of the logging module.
        text: A short sentence.
        fields: Names and values for the JSON form.
    """

    part: str
    level: int
    text: str
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """The process may end: everything has been handed over."""


Action: TypeAlias = (
    ReadStream
    | AppendRecords
    | PollTarget
    | SendOrder
    | ExchangeWithPeer
    | SendDemand
    | FetchSnapshot
    | FetchOutcome
    | ForwardAdapterRequest
    | RoutesChanged
    | Reply
    | WriteLog
    | Stop
)


class TicketVerdict(enum.Enum):
    """What became of a ticket."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"
    OVER_CAPACITY = "over_capacity"
    INVALID = "invalid"
    UNKNOWN = "unknown"  # The log did not answer; ask for the status later.


@dataclasses.dataclass(frozen=True, slots=True)
class TicketStatus:
    """The verdict on a ticket, with the places that explain it.

    Attributes:
        number: The ticket's number.
        verdict: What became of it.
        offset: Its offset in the configuration stream, NO_OFFSET if none.
        findings: Lines for the operator: newer objects, digests, shortages.
    """

    number: ids.TicketNumber
    verdict: TicketVerdict
    offset: ids.Offset = ids.NO_OFFSET
    findings: tuple[str, ...] = ()
