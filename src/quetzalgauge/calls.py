"""Requests, and the events and actions of the entry core.

The shell turns what happens into events and carries out the actions. `token`
names a call; every call that arrived gets actions until its last one:
`Refuse`, `Replay`, `Abandon`, or a successful attempt.
"""

from collections.abc import Callable
import dataclasses
import datetime
import enum
from typing import Any
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge import refusals
from quetzalgauge import retries
from quetzalgauge import routing


class Kind(enum.Enum):
    """What a request asks for."""

    COMPLETION = "completion"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request without its body.

    Attributes:
        request_id: Identifies the request towards caller and target.
        kind: Completion or call of a plain service.
        name: The `model` field, or the plain service's name.
        stream: Whether the answer is a stream of events.
        repeatable: Whether it may run more than once.
        priority: 0 to 9, None for the model's own.
        deadline: Time by which the whole answer is due.
        key: Hash of the idempotency key, None without one.
        digest: Digest of method, path and body; equal for a repetition.
        path: Path at the plain service, without the query.
    """

    request_id: ids.RequestId
    kind: Kind
    name: str
    stream: bool
    repeatable: bool
    priority: int | None
    deadline: datetime.timedelta
    key: ids.KeyHash | None = None
    digest: str = ""
    path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model of the catalog."""

    name: ids.ModelName
    versions: frozenset[ids.VersionName]
    default_version: ids.VersionName
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Waiting and running requests of a model."""

    servable: routing.Servable
    waiting: int
    running: int
    oldest_wait: datetime.timedelta
    priority: int


class KeyDecision(enum.Enum):
    """What control decided about an idempotency key."""

    RUN = "run"
    STORED = "stored"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredOutcome:
    """The answer that an earlier try with the same key got."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    digest: str


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request arrived. `token` is unique among calls in progress."""

    token: int
    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A connection was made for `Open`; nothing was sent yet."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyDecided:
    """Answers `ClaimKey`."""

    token: int
    decision: KeyDecision
    outcome: StoredOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDecided:
    """Answers `EnsureAdapter`."""

    token: int
    resident: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt got its whole answer (failure None) or failed.

    Attributes:
        token: The call.
        failure: None after a whole answer.
        answered: Whether the caller has received a byte of the answer.
        last_event: Last event id passed on, empty if none.
        reused: The connection had served another request before.
    """

    token: int
    failure: retries.Failure | None
    answered: bool = False
    last_event: str = ""
    reused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnded:
    """The caller has its answer or refusal, or the connection is closed."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesReceived:
    """Control sent routes or catalog. None: no change of that part.

    Attributes:
        routes_version: Version of the routes.
        catalog_version: Version of the catalog.
        replicas: All replicas, or None.
        service_targets: All targets of plain services, or None.
        catalog_complete: Whether models and adapters replace the catalog.
        models: Changed models by name; None means removed.
        adapters: Model of each changed adapter; None means removed.
        log_reachable: Whether control reaches the log.
        services: Paths of each changed plain service that may be repeated
            with any method; None means removed.
    """

    routes_version: int
    catalog_version: int
    replicas: tuple[routing.Replica, ...] | None
    service_targets: tuple[routing.ServiceTarget, ...] | None
    catalog_complete: bool
    models: dict[ids.ModelName, Model | None]
    adapters: dict[ids.AdapterName, ids.ModelName | None]
    log_reachable: bool
    services: dict[ids.ServiceName, frozenset[str] | None] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReportWanted:
    """The next report to control is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """A planned stop has begun."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed. Sent several times a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class ControlLost:
    """The control process does not answer; the last routes stay."""


@dataclasses.dataclass(frozen=True, slots=True)
class ModelsWanted:
    """A caller lists models. The reply's value is the sorted names."""

    reply: Callable[[list[str]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class DumpWanted:
    """An operator wants the state. The reply's value is JSON data."""

    reply: Callable[[dict[str, Any]], None]


Event: TypeAlias = (
    Arrived
    | Opened
    | KeyDecided
    | AdapterDecided
    | AttemptEnded
    | CallEnded
    | CallerGone
    | RoutesReceived
    | ReportWanted
    | DrainRequested
    | Tick
    | ControlLost
    | ModelsWanted
    | DumpWanted
)


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Connect to a target; ends with Opened or AttemptEnded."""

    token: int
    target: ids.TargetId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim an idempotency key; ends with KeyDecided."""

    token: int
    key: ids.KeyHash
    timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class EnsureAdapter:
    """Make an adapter resident; ends with AdapterDecided."""

    token: int
    target: ids.TargetId
    adapter: ids.AdapterName
    timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request once; ends with one AttemptEnded.

    Attributes:
        token: The call.
        target: The target.
        address: HOST:PORT of the target.
        fresh: A connection that was never used is required.
        model: What the target gets as `model`, empty for a plain service.
        adapter: The adapter, or None.
        resume_after: Event id after which a stream goes on, or empty.
        cold: Whether the request waited for a load.
        servable: Model and version, None for a plain service.
    """

    token: int
    target: ids.TargetId
    address: str
    fresh: bool
    model: str = ""
    adapter: ids.AdapterName | None = None
    resume_after: str = ""
    cold: bool = False
    servable: routing.Servable | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller a refusal, or end its stream with an error event."""

    token: int
    refusal: refusals.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Give the caller the outcome of an earlier try."""

    token: int
    outcome: StoredOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Abandon:
    """The caller has gone; close its connection."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """End the attempt in progress with this failure; it may end otherwise."""

    token: int
    failure: retries.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Report to control.

    An urgent one goes out at once, beside the long poll in progress, because
    a cold start would otherwise wait for the end of that poll.
    """

    routes_version: int
    catalog_version: int
    demands: tuple[Demand, ...]
    in_flight: dict[ids.TargetId, int]
    suspects: tuple[ids.TargetId, ...]
    draining: bool
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """The process may end. `cut`: calls are still in progress."""

    cut: int


Action: TypeAlias = (
    Open
    | ClaimKey
    | EnsureAdapter
    | Send
    | Refuse
    | Replay
    | Abandon
    | CancelAttempt
    | SendReport
    | Stop
)
