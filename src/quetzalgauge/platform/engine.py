"""Orders to model engines and their reports."""

import datetime
import json
from typing import Any

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import orders
from quetzalgauge.node import http_client
from quetzalgauge.platform import registry

_OUTCOMES_BY_STATUS = {
    200: orders.Outcome.ALREADY_DONE,
    202: orders.Outcome.ACCEPTED,
    400: orders.Outcome.INVALID,
    409: orders.Outcome.CONFLICT,
    412: orders.Outcome.FENCED,
    421: orders.Outcome.WRONG_TARGET,
}


def send_order(
    connection: http_client.Connection,
    order: orders.Order,
    leader: str,
    timeout: datetime.timedelta,
) -> orders.Outcome:
    """Sends an order and returns what became of it.

    Args:
        connection: A connection to the target.
        order: The order.
        leader: Name of the machine that gives it.
        timeout: Longest wait for the answer.
    """
    body: dict[str, Any] = {
        "operation": order.operation.value,
        "model": order.model,
        # The count of orders that the target must have taken before.
        "expect": order.expected_sequence_number,
        "holder": leader,
        "fencing_token": order.fencing_token,
    }
    if order.adapter is not None:
        body["adapter"] = order.adapter
    try:
        answer = connection.call(
            "POST", "/order", timeout, body, _make_headers(order.target)
        )
    except exceptions.NotSentError:
        return orders.Outcome.NOT_SENT
    except exceptions.PlatformError:
        return orders.Outcome.NO_RESPONSE
    return _OUTCOMES_BY_STATUS.get(answer.status, orders.Outcome.NO_RESPONSE)


def fetch_status(
    connection: http_client.Connection,
    target: ids.TargetId,
    timeout: datetime.timedelta,
) -> orders.Status:
    """Asks a target for its report.

    Raises:
        exceptions.PlatformError: There is no answer.
        exceptions.DecodeError: The answer is no report.
    """
    answer = connection.call(
        "GET", "/report", timeout, None, _make_headers(target)
    )
    if answer.status != 200:
        raise exceptions.PlatformError(f"report: status {answer.status}")
    return decode_status(answer.data)


def decode_status(data: bytes) -> orders.Status:
    """Returns the report in an answer.

    Raises:
        exceptions.DecodeError: It is none.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise exceptions.DecodeError(f"report: {error}") from error
    row = json_fields.check_object(value, "report")
    coming = []
    for item in json_fields.get_list(row, "coming"):
        # MODEL/NAME@VERSION
        model, _, rest = str(item).partition("/")
        adapter = rest.partition("@")[0]
        coming.append((ids.ModelName(model), ids.AdapterName(adapter)))
    return orders.Status(
        json_fields.get_integer(row, "seq"),
        json_fields.get_boolean(row, "busy"),
        registry.decode_models(row),
        tuple(coming),
        registry.decode_cached_copies(row),
        json_fields.get_integer(row, "running", 0),
        json_fields.get_integer(row, "queued", 0),
    )


def _make_headers(target: ids.TargetId) -> dict[str, str]:
    return {"Expect-Instance": target, "Accept-Encoding": "identity"}
