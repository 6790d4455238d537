"""Client of model engines: sends orders and fetches status reports."""

import dataclasses
import datetime
from typing import Any

from quetzalgauge import decoding
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import orders
from quetzalgauge.node import http_client
from quetzalgauge.platform import headers as wire_headers
from quetzalgauge.platform import registry

STATUS_PATH = "/report"

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
    """Sends an order and returns its outcome.

    Args:
        connection: A connection to the target.
        order: The order.
        leader: Name of the leader's machine.
        timeout: Longest wait for the response.
    """
    body: dict[str, Any] = {
        "operation": order.operation.value,
        "model": order.model,
        # Number of orders that the target must have accepted before this one;
        # otherwise it rejects the order.
        "expect": order.expected_sequence_number,
        "holder": leader,
        "fencing_token": order.fencing_token,
    }
    if order.adapter is not None:
        body["adapter"] = order.adapter
    try:
        response = connection.call(
            "POST", "/order", timeout, body, make_headers(order.target)
        )
    except exceptions.NotSentError:
        return orders.Outcome.NOT_SENT
    except exceptions.PlatformError:
        return orders.Outcome.NO_RESPONSE
    if _is_status_report(response.data):
        # Orders and reports bear no id. This is a second copy of an earlier
        # response, and the one to the order may still follow.
        connection.close()
        return orders.Outcome.NO_RESPONSE
    return _OUTCOMES_BY_STATUS.get(response.status, orders.Outcome.NO_RESPONSE)


def fetch_status(
    connection: http_client.Connection,
    target: ids.TargetId,
    timeout: datetime.timedelta,
) -> orders.Status:
    """Fetches the status report of a target.

    Raises:
        exceptions.PlatformError: The call failed.
        exceptions.DecodeError: The response is not a valid status report.
    """
    response = connection.call(
        "GET", STATUS_PATH, timeout, None, make_headers(target)
    )
    if response.status != 200:
        raise exceptions.PlatformError(
            f"the target returned status {response.status} for its report"
        )
    status = decode_status(response.data)
    return dataclasses.replace(
        status, is_leaving=wire_headers.is_leaving(response.headers)
    )


@decoding.guard("report")
def decode_status(data: bytes) -> orders.Status:
    """Returns the status report in the body of a response.

    Raises:
        exceptions.DecodeError: The data is not a valid status report.
    """
    row = json_fields.parse_object(data, "report")
    loading_adapters = []
    for item in json_fields.get_list(row, "coming"):
        # Format of an item: MODEL/ADAPTER@VERSION.
        text = json_fields.check_string(item, "item of coming")
        model, _, adapter_version = text.partition("/")
        adapter = adapter_version.partition("@")[0]
        loading_adapters.append(
            (ids.ModelName(model), ids.AdapterName(adapter))
        )
    return orders.Status(
        json_fields.get_integer(row, "seq", bounds=json_fields.COUNT),
        json_fields.get_boolean(row, "busy"),
        registry.decode_models(row),
        tuple(loading_adapters),
        registry.decode_cached_copies(row),
        json_fields.get_integer(row, "running", 0, json_fields.COUNT),
        json_fields.get_integer(row, "queued", 0, json_fields.COUNT),
        incarnation=_get_incarnation(row),
    )


@decoding.guard("report")
def decode_incarnation(data: bytes) -> int | None:
    """Returns the target's start in a status report, None if it is absent.

    Raises:
        exceptions.DecodeError: The data is no object with a start.
    """
    return _get_incarnation(json_fields.parse_object(data, "report"))


def _get_incarnation(row: dict[str, Any]) -> int | None:
    if "born" not in row:
        return None
    return json_fields.get_integer(row, "born", bounds=json_fields.TIMESTAMP_MS)


def _is_status_report(data: bytes) -> bool:
    """Returns whether a body can only be that of a status report."""
    try:
        decode_status(data)
    except exceptions.DecodeError:
        return False
    return True


def make_headers(target: ids.TargetId) -> dict[str, str]:
    """Returns the headers of a call that only this target may answer."""
    return {"Expect-Instance": target, "Accept-Encoding": "identity"}
