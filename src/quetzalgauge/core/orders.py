"""Orders to targets, and what targets answer and report."""

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
    """What became of an order."""

    ACCEPTED = "accepted"  # It is being carried out.
    ALREADY_DONE = "holds"  # The target is already as ordered.
    CONFLICT = "conflict"  # Another order is under way or came before.
    FENCED = "fenced"  # A higher fencing token was seen.
    INVALID = "impossible"  # The target does not know what is named.
    WRONG_TARGET = "other_target"  # Another target has the address.
    NO_RESPONSE = "no_answer"  # It may be carried out, also later.
    NOT_SENT = "not_sent"  # No byte was sent.


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a target.

    It states the number of orders that the target must have taken before, so
    that a copy that arrives late, after another order, has no effect.

    Attributes:
        target: The target.
        incarnation: Its incarnation.
        address: IP-NUMBER:PORT.
        operation: What is to be done.
        model: The model.
        adapter: The adapter of that model, None for the model itself.
        expected_sequence_number: Number of orders that the target has taken
            before this one.
        fencing_token: Fencing token of the holder.
    """

    target: ids.TargetId
    incarnation: int
    address: str
    operation: Operation
    model: ids.ModelName
    adapter: ids.AdapterName | None
    expected_sequence_number: int
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What a target reports of itself; some 100 ms old.

    Attributes:
        sequence_number: Number of orders that it has accepted.
        is_busy: Whether an order for a model is under way.
        models: The loaded models with their adapters.
        loading_adapters: Adapters on their way.
        copies: Copies of weights.
        running_count: Requests that run.
        queued_count: Requests that wait at the target.
    """

    sequence_number: int
    is_busy: bool
    models: tuple[targets.LoadedModel, ...]
    loading_adapters: tuple[tuple[ids.ModelName, ids.AdapterName], ...]
    copies: targets.CachedCopies
    running_count: int
    queued_count: int


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """An order was answered, or there is no answer."""

    order: Order
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class StatusResult:
    """A target was asked for its status.

    Attributes:
        target: The target.
        incarnation: The incarnation that was asked.
        status: None if there was no answer.
        requested_at: When the question was sent.
    """

    target: ids.TargetId
    incarnation: int
    status: Status | None
    requested_at: datetime.timedelta


Event: TypeAlias = OrderResult | StatusResult


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order; ends with Answered.

    The order must not leave after `not_after`, when the holder's right to
    give it ends.
    """

    order: Order
    send_deadline: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class FetchStatus:
    """Ask a target for its status; ends with StatusRead."""

    target: ids.TargetId
    incarnation: int
    address: str


Action: TypeAlias = SendOrder | FetchStatus
