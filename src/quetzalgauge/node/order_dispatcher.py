"""Orders to targets and questions for their status: a task for each target."""

from collections.abc import Callable
import datetime
from typing import Any

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge.core import orders
from quetzalgauge.node import event_log
from quetzalgauge.node import http_client
from quetzalgauge.node import metrics
from quetzalgauge.node import tasks
from quetzalgauge.platform import engine

ORDER_TIMEOUT = datetime.timedelta(milliseconds=400)
STATUS_TIMEOUT = datetime.timedelta(milliseconds=300)
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# The targets of a zone at the target size are about 110.
MAX_TASKS = 200
TASK_IDLE_TIMEOUT = datetime.timedelta(seconds=30)
# A target closes idle connections after 10 s; an order that meets such a
# connection has an unknown outcome.
MAX_CONNECTION_IDLE_TIME = datetime.timedelta(seconds=4)


def make_order_dispatcher(
    machine: str,
    post_event: Callable[[orders.Event], None],
    now: clock.Clock,
    log: event_log.EventLog,
    counters: metrics.Metrics,
    on_failure: Callable[[str], None],
) -> Callable[[orders.Action], None]:
    """Returns a function that carries out actions in the tasks of targets.

    Args:
        machine: The name under which orders are given.
        post_event: Gets the events.
        now: The clock.
        log: Gets a line for each question without an answer.
        counters: The metrics.
        on_failure: Called if a task fails.
    """

    def make(
        address: Any,
    ) -> tuple[Callable[[Any], None], Callable[[], None]]:
        connection = http_client.Connection(
            f"http://{address}", CONNECT_TIMEOUT
        )
        used = now()

        def handle(action: orders.Action) -> None:
            nonlocal used
            if now() - used > MAX_CONNECTION_IDLE_TIME:
                connection.close()
            if isinstance(action, orders.SendOrder):
                answer = _send_order(action, connection, machine, now)
                counters.count_order(action.order.operation.value, answer.value)
                post_event(orders.OrderResult(action.order, answer))
            else:
                post_event(_fetch_status(action, connection, now, log))
            used = now()

        return handle, connection.close

    keyed = tasks.KeyedTasks(
        "orders", make, MAX_TASKS, TASK_IDLE_TIMEOUT, on_failure
    )

    def put(action: orders.Action) -> None:
        if isinstance(action, orders.SendOrder):
            address = action.order.address
        else:
            address = action.address
        if keyed.send(address, action, now()):
            return
        if isinstance(action, orders.SendOrder):
            post_event(
                orders.OrderResult(action.order, orders.Outcome.NOT_SENT)
            )
        else:
            post_event(
                orders.StatusResult(
                    action.target, action.incarnation, None, now()
                )
            )

    return put


def _send_order(
    action: orders.SendOrder,
    connection: http_client.Connection,
    machine: str,
    now: clock.Clock,
) -> orders.Outcome:
    try:
        connection.open()
    except exceptions.NotSentError:
        return orders.Outcome.NOT_SENT
    # Checked last, since a pause of this process may come at any time.
    if now() >= action.send_deadline:
        return orders.Outcome.NOT_SENT
    return engine.send_order(connection, action.order, machine, ORDER_TIMEOUT)


def _fetch_status(
    action: orders.FetchStatus,
    connection: http_client.Connection,
    now: clock.Clock,
    log: event_log.EventLog,
) -> orders.StatusResult:
    asked_at = now()
    try:
        status = engine.fetch_status(connection, action.target, STATUS_TIMEOUT)
    except (exceptions.PlatformError, exceptions.DecodeError) as error:
        connection.close()
        log.write(
            "status_unknown", {"target": action.target, "error": str(error)}
        )
        return orders.StatusResult(
            action.target, action.incarnation, None, asked_at
        )
    return orders.StatusResult(
        action.target, action.incarnation, status, asked_at
    )
