"""Sends orders and status requests to targets, with one task per target."""

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
# A zone has about 110 targets at the planned size of the system.
MAX_TASKS = 200
TASK_IDLE_TIMEOUT = datetime.timedelta(seconds=30)
# Targets close idle connections after 10 s. An order that is sent on such a
# connection has an unknown outcome, so connections are closed here before that.
MAX_CONNECTION_IDLE_TIME = datetime.timedelta(seconds=4)
# Each of the tasks may read a response at the same time. A report has a few KB.
MAX_RESPONSE_BYTES = 256 * 1024


def make_order_dispatcher(
    machine: str,
    post_event: Callable[[orders.Event], None],
    now: clock.Clock,
    log: event_log.EventLog,
    counters: metrics.Metrics,
    on_failure: Callable[[str], None],
) -> Callable[[orders.Action], None]:
    """Returns a function that hands each action to the task of its target.

    If all MAX_TASKS tasks are in use, an action fails at once.

    Args:
        machine: Name of this machine, which is sent with each order.
        post_event: Called with each event.
        now: The clock.
        log: Gets a line for each failed status request.
        counters: The metrics.
        on_failure: Called with the name of a task that fails.
    """

    def make_task(
        address: Any,
    ) -> tuple[Callable[[Any], None], Callable[[], None]]:
        connection = http_client.Connection(
            f"http://{address}", CONNECT_TIMEOUT, MAX_RESPONSE_BYTES
        )
        last_used_at = now()

        def handle(action: orders.Action) -> None:
            nonlocal last_used_at
            if now() - last_used_at > MAX_CONNECTION_IDLE_TIME:
                connection.close()
            if isinstance(action, orders.SendOrder):
                outcome = _send_order(action, connection, machine, now)
                counters.count_order(
                    action.order.operation.value, outcome.value
                )
                post_event(orders.OrderResult(action.order, outcome))
            else:
                post_event(
                    _fetch_status(action, connection, now, log, counters)
                )
            last_used_at = now()

        return handle, connection.close

    target_tasks = tasks.KeyedTasks(
        "orders", make_task, MAX_TASKS, TASK_IDLE_TIMEOUT, on_failure
    )

    def dispatch(action: orders.Action) -> None:
        if isinstance(action, orders.SendOrder):
            address = action.order.address
        else:
            address = action.address
        if target_tasks.send(address, action, now()):
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

    return dispatch


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
    # Checked after the connection is open, as late as possible, since this
    # process may be paused at any time.
    if now() >= action.send_deadline:
        return orders.Outcome.NOT_SENT
    return engine.send_order(connection, action.order, machine, ORDER_TIMEOUT)


def _fetch_status(
    action: orders.FetchStatus,
    connection: http_client.Connection,
    now: clock.Clock,
    log: event_log.EventLog,
    counters: metrics.Metrics,
) -> orders.StatusResult:
    requested_at = now()
    try:
        status = engine.fetch_status(connection, action.target, STATUS_TIMEOUT)
    except (exceptions.PlatformError, exceptions.DecodeError) as error:
        connection.close()
        if isinstance(error, exceptions.DecodeError):
            counters.count_invalid_record("report")
        log.write(
            "status_unknown", {"target": action.target, "error": str(error)}
        )
        return orders.StatusResult(
            action.target, action.incarnation, None, requested_at
        )
    return orders.StatusResult(
        action.target, action.incarnation, status, requested_at
    )
