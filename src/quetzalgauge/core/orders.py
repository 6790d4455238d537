"""Orders to targets, their outcomes, and status reports of targets."""

import dataclasses
import datetime
import enum
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import targets


class Operation(enum.Enum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"


class Outcome(enum.Enum):
    """Outcome of sending an order."""

    ACCEPTED = "accepted"  # The target is executing the order.
    ALREADY_DONE = "holds"  # The target is already in the requested state.
    # Another order is in progress or the sequence number does not match.
    CONFLICT = "conflict"
    FENCED = "fenced"  # The target has seen a higher fencing token.
    INVALID = "impossible"  # The target does not know the model or adapter.
    WRONG_TARGET = "other_target"  # Another target has the address.
    # The order may have been accepted or may still be accepted later.
    NO_RESPONSE = "no_answer"
    NOT_SENT = "not_sent"  # No byte was sent.


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a target.

    The target accepts it only if its own sequence number is the expected one,
    so a duplicate that arrives after another order has no effect.

    Attributes:
        target: The target.
        incarnation: Its incarnation.
        address: IP-ADDRESS:PORT.
        operation: What to do.
        model: The model.
        adapter: The adapter of that model, None for the model itself.
        expected_sequence_number: Number of orders that the target must have
            accepted before this one.
        fencing_token: Fencing token of the zone leader.
        memory_mb: Accelerator memory that a load takes, as configured when the
            order was made; None if unknown.
    """

    target: ids.TargetId
    incarnation: int
    address: str
    operation: Operation
    model: ids.ModelName
    adapter: ids.AdapterName | None
    expected_sequence_number: int
    fencing_token: int
    memory_mb: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status report of a target; its data is about 100 ms old.

    Attributes:
        sequence_number: Number of orders that the target has accepted.
        is_busy: Whether a model is being loaded or unloaded.
        models: The loaded models with their adapters.
        loading_adapters: Adapters that are being loaded.
        copies: Cached copies of weights in host memory and on disk.
        running_count: Number of requests in progress.
        queued_count: Number of requests queued at the target.
        is_leaving: Whether the target states that it will terminate.
        incarnation: Incarnation of the target, None if it does not tell.
    """

    sequence_number: int
    is_busy: bool
    models: tuple[targets.LoadedModel, ...]
    loading_adapters: tuple[tuple[ids.ModelName, ids.AdapterName], ...]
    copies: targets.CachedCopies
    running_count: int
    queued_count: int
    is_leaving: bool = False
    incarnation: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Event: an order has an outcome."""

    order: Order
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class StatusResult:
    """Event: a status request has ended.

    Attributes:
        target: The target.
        incarnation: The incarnation that was polled.
        status: The status report, None if there was no response.
        requested_at: When the request was sent.
    """

    target: ids.TargetId
    incarnation: int
    status: Status | None
    requested_at: datetime.timedelta


Event: TypeAlias = OrderResult | StatusResult


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: send an order; ends with `OrderResult`.

    Attributes:
        order: The order.
        send_deadline: Time after which the order must not be sent, since the
            zone leader's lease ends then.
    """

    order: Order
    send_deadline: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class FetchStatus:
    """Action: request the status of a target; ends with `StatusResult`."""

    target: ids.TargetId
    incarnation: int
    address: str


Action: TypeAlias = SendOrder | FetchStatus
