"""Orders without a response, which a target may carry out much later.

The expected sequence number of an order prevents that while the target runs.
After a restart the numbers begin anew, so an order from before may fit again.
"""

from collections.abc import Iterable
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import orders

# An order is carried out within this time or never.
MAX_DELAY = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class LateOrder:
    """A load that may be carried out until it expires."""

    order: orders.Order
    expires_at: datetime.timedelta


class LateOrders:
    """The loads without a response, by target."""

    def __init__(self) -> None:
        self._by_target: dict[ids.TargetId, list[LateOrder]] = {}

    def record(self, order: orders.Order, now: datetime.timedelta) -> None:
        """Records an order that was sent and has no response."""
        if order.operation is not orders.Operation.LOAD:
            return
        others = [
            late
            for late in self._by_target.get(order.target, ())
            if late.order != order
        ]
        self._by_target[order.target] = [
            *others,
            LateOrder(order, now + MAX_DELAY),
        ]

    def list_earlier(
        self, target: ids.TargetId, incarnation: int
    ) -> tuple[LateOrder, ...]:
        """Returns the loads sent to earlier incarnations of a target."""
        return tuple(
            late
            for late in self._by_target.get(target, ())
            if late.order.incarnation != incarnation
        )

    def expire(self, now: datetime.timedelta) -> None:
        """Drops the loads that can no longer be carried out."""
        for target, late_orders in list(self._by_target.items()):
            kept = [late for late in late_orders if now < late.expires_at]
            if kept:
                self._by_target[target] = kept
            else:
                del self._by_target[target]


def find_fitting(
    late_orders: Iterable[LateOrder],
    sequence_number: int,
    now: datetime.timedelta,
) -> list[orders.Order]:
    """Returns the loads that will fit after the next order or a later one.

    The target carries out either one that fits now or the next order. A load
    that is sent again after each restart counts once.

    Args:
        late_orders: Loads sent to earlier incarnations of the target.
        sequence_number: Number of orders that this incarnation has accepted.
        now: The time.
    """
    fitting = {
        (
            late.order.model,
            late.order.adapter,
            late.order.expected_sequence_number,
        ): late.order
        for late in late_orders
        if now < late.expires_at
        and sequence_number < late.order.expected_sequence_number
    }
    return list(fitting.values())
