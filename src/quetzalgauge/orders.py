"""Orders to targets: which are in flight, and until when."""

import dataclasses
import datetime
import itertools

from quetzalgauge import ids
from quetzalgauge import messages


@dataclasses.dataclass(slots=True)
class _Flight:
    """One sent copy of an order. `until` is set once its answer is missing."""

    order: messages.Order
    until: datetime.timedelta | None = None


class Orders:
    """The orders of this process that may still reach a target.

    An order counts as in flight until it was answered. Without an answer it
    counts for the linger time after its connection was dropped, since the
    bytes may still be on their way.
    """

    def __init__(
        self, writer: ids.WriterId, linger: datetime.timedelta
    ) -> None:
        self._writer = writer
        self._linger = linger
        self._numbers = itertools.count(1)
        self._marks = itertools.count(1)
        self._mark = 0
        self._slot_marks: dict[tuple[ids.TargetId, ids.SlotId], int] = {}
        self._waiting: dict[ids.OrderId, _Flight] = {}
        self._lingering: list[_Flight] = []

    @property
    def mark(self) -> int:
        """Grows with every order sent or answered."""
        return self._mark

    @property
    def count(self) -> int:
        """The number of orders that may still reach a target."""
        return len(self._waiting) + len(self._lingering)

    def next_id(self) -> ids.OrderId:
        """Returns an order id that no other process and no restart repeats."""
        number = next(self._numbers)
        writer = self._writer
        return ids.OrderId(f"{writer.instance}-{writer.incarnation}-{number}")

    def send(self, address: str, order: messages.Order) -> messages.SendOrder:
        """Records an order as in flight and returns the action to send it."""
        self._waiting[order.order_id] = _Flight(order)
        self._touch(order)
        return messages.SendOrder(address, order)

    def answered(
        self,
        order: messages.Order,
        outcome: messages.OrderOutcome,
        now: datetime.timedelta,
    ) -> bool:
        """Notes an answer; False if the order was not waiting for one."""
        flight = self._waiting.pop(order.order_id, None)
        if flight is None:
            return False
        # A late fence order changes nothing, so it need not be waited for.
        is_fence = order.action is messages.OrderAction.FENCE
        if outcome is messages.OrderOutcome.UNKNOWN and not is_fence:
            flight.until = now + self._linger
            self._lingering.append(flight)
        self._touch(order)
        return True

    def expire(self, now: datetime.timedelta) -> None:
        """Forgets orders whose linger time is over."""
        if self._lingering:
            self._lingering = [
                flight
                for flight in self._lingering
                if flight.until is not None and now < flight.until
            ]

    def in_flight(
        self,
        target: ids.TargetId,
        slot: ids.SlotId | None = None,
        fencing_number: ids.FencingNumber | None = None,
    ) -> bool:
        """Whether an order may still reach the target.

        Args:
            target: The target.
            slot: Only orders for this slot count, if given.
            fencing_number: Only orders with this number count, if given.
        """
        return any(
            flight.order.target == target
            and (slot is None or flight.order.slot == slot)
            and (
                fencing_number is None
                or flight.order.fencing_number == fencing_number
            )
            for flight in itertools.chain(
                self._waiting.values(), self._lingering
            )
        )

    def awaits_answer(
        self, target: ids.TargetId, slot: ids.SlotId | None
    ) -> bool:
        """Whether an order for this slot was sent and is not answered yet."""
        return any(
            flight.order.target == target and flight.order.slot == slot
            for flight in self._waiting.values()
        )

    def adapter_loads(self) -> int:
        """Returns how many adapter loads wait for an answer."""
        return sum(
            flight.order.action is messages.OrderAction.LOAD_ADAPTER
            for flight in self._waiting.values()
        )

    def changed_since(
        self, target: ids.TargetId, slot: ids.SlotId, mark: int
    ) -> bool:
        """Whether an order for the slot was sent or answered after a mark.

        A status that was asked for before the last order was answered may not
        show the effect of that order.
        """
        return self._slot_marks.get((target, slot), 0) > mark

    def forget_target(self, target: ids.TargetId) -> None:
        """Drops the marks of a target whose incarnation has ended."""
        for key in [key for key in self._slot_marks if key[0] == target]:
            del self._slot_marks[key]

    def _touch(self, order: messages.Order) -> None:
        self._mark = next(self._marks)
        if order.slot is not None:
            self._slot_marks[(order.target, order.slot)] = self._mark
