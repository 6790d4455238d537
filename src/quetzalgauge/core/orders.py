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


class Answer(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"  # It is being carried out.
    HOLDS = "holds"  # The target is already as ordered.
    CONFLICT = "conflict"  # Another order is under way or came before.
    FENCED = "fenced"  # A higher fencing token was seen.
    IMPOSSIBLE = "impossible"  # The target does not know what is named.
    OTHER_TARGET = "other_target"  # Another target has the address.
    NO_ANSWER = "no_answer"  # It may be carried out, also later.
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
        after: Number of orders that the target has taken before this one.
        token: Fencing token of the holder.
    """

    target: ids.TargetId
    incarnation: int
    address: str
    operation: Operation
    model: ids.ModelName
    adapter: ids.AdapterName | None
    after: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What a target reports of itself; some 100 ms old.

    Attributes:
        orders_taken: Number of orders that it has accepted.
        busy: Whether an order for a model is under way.
        models: The loaded models with their adapters.
        coming: Adapters on their way.
        copies: Copies of weights.
        running: Requests that run.
        queued: Requests that wait at the target.
    """

    orders_taken: int
    busy: bool
    models: tuple[targets.LoadedModel, ...]
    coming: tuple[tuple[ids.ModelName, ids.AdapterName], ...]
    copies: targets.CachedCopies
    running: int
    queued: int


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An order was answered, or there is no answer."""

    order: Order
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRead:
    """A target was asked for its status.

    Attributes:
        target: The target.
        incarnation: The incarnation that was asked.
        status: None if there was no answer.
        asked_at: When the question was sent.
    """

    target: ids.TargetId
    incarnation: int
    status: Status | None
    asked_at: datetime.timedelta


Event: TypeAlias = Answered | StatusRead


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Give:
    """Send an order; ends with Answered.

    The order must not leave after `not_after`, when the holder's right to
    give it ends.
    """

    order: Order
    not_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class AskStatus:
    """Ask a target for its status; ends with StatusRead."""

    target: ids.TargetId
    incarnation: int
    address: str


Action: TypeAlias = Give | AskStatus
