"""Status of and orders to one target over HTTP."""

import datetime
from typing import Any

from quetzalgauge import exceptions
from quetzalgauge import fields
from quetzalgauge import httpclient
from quetzalgauge import ids
from quetzalgauge import messages

STATUS_TIMEOUT = datetime.timedelta(seconds=2)
ORDER_TIMEOUT = datetime.timedelta(seconds=5)


class TargetClient:
    """One connection to one target, owned by one task.

    Before an order goes out on a new connection, the target id and incarnation
    in the status are compared, since another target may have got the same
    address. A restart of the target closes the connection.
    """

    def __init__(self, address: str) -> None:
        self._connection = httpclient.Connection(f"http://{address}")
        self._verified: messages.TargetStatus | None = None

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()
        self._verified = None

    def status(self, target: ids.TargetId) -> messages.TargetStatus:
        """Asks the target for its status.

        Raises:
            exceptions.PlatformError: There is no valid answer, or it comes
                from another target.
        """
        self._verified = None
        answer = self._connection.call("GET", "/status", STATUS_TIMEOUT)
        if answer.status != 200:
            raise exceptions.PlatformError(f"status answered {answer.status}")
        try:
            status = parse_status(answer.json())
        except exceptions.DecodeError as error:
            self.close()
            raise exceptions.PlatformError(str(error)) from error
        if status.target != target:
            self.close()
            raise exceptions.PlatformError(
                f"target {status.target[:80]} answers in place of {target}"
            )
        self._verified = status
        return status

    def send(self, order: messages.Order) -> messages.OrderOutcome:
        """Sends an order once."""
        if not (self._verified and self._connection.is_open()):
            try:
                self.status(order.target)
            except exceptions.PlatformError:
                # Only a status was asked for; the order was not sent.
                return messages.OrderOutcome.NOT_SENT
        if not self._is_meant_by(order):
            return messages.OrderOutcome.NOT_SENT
        try:
            answer = self._connection.call(
                "POST",
                "/orders",
                ORDER_TIMEOUT,
                order_body(order),
                reuse_only=True,
            )
        except exceptions.NotSentError:
            return messages.OrderOutcome.NOT_SENT
        except exceptions.PlatformError:
            return messages.OrderOutcome.UNKNOWN
        return _outcome(answer)

    def _is_meant_by(self, order: messages.Order) -> bool:
        status = self._verified
        if status is None or status.target != order.target:
            return False
        return status.incarnation == order.target_incarnation


def _outcome(answer: httpclient.Answer) -> messages.OrderOutcome:
    if answer.status == 202:
        return messages.OrderOutcome.ACCEPTED
    if answer.status == 200:
        return messages.OrderOutcome.DONE
    if answer.status == 409 and _code(answer) == "stale_fencing_number":
        return messages.OrderOutcome.STALE
    if answer.status == 507 or 400 <= answer.status < 500:
        return messages.OrderOutcome.REFUSED
    # Any other status may follow a failure after the order took effect.
    return messages.OrderOutcome.UNKNOWN


def _code(answer: httpclient.Answer) -> str:
    try:
        return fields.text(fields.mapping(answer.json(), "body"), "code")
    except exceptions.DecodeError:
        return ""


def order_body(order: messages.Order) -> dict[str, Any]:
    """Returns the body of `POST /orders`."""
    body: dict[str, Any] = {
        "order_id": order.order_id,
        "fencing_number": order.fencing_number,
        "action": order.action.value,
    }
    if order.slot is not None:
        body["slot"] = str(order.slot)
        body["model"] = order.slot.model
    optional = {
        "version": order.version,
        "checkpoint": order.checkpoint,
        "bytes": order.memory_bytes,
        "adapter": order.adapter,
        "adapter_bytes": order.adapter_bytes,
        "role": order.role,
    }
    body.update({key: value for key, value in optional.items() if value})
    return body


def parse_status(value: Any) -> messages.TargetStatus:
    """Parses the body of `GET /status`.

    Raises:
        exceptions.DecodeError: A field is missing or invalid.
    """
    body = fields.mapping(value, "status")
    return messages.TargetStatus(
        target=ids.TargetId(fields.text(body, "target")),
        incarnation=ids.TargetIncarnation(fields.text(body, "incarnation")),
        draining=fields.flag(body, "draining"),
        fencing_number=_fencing_number(body),
        checks_fencing=fields.flag(body, "checks_fencing", False),
        accelerator_memory_bytes=fields.integer(
            body, "accelerator_memory_bytes", 0
        ),
        used_bytes=fields.integer(body, "used_bytes", 0),
        models=tuple(_model(row) for row in fields.rows(body, "models")),
        cached=_cached(body),
    )


def _fencing_number(body: dict[str, Any]) -> ids.FencingNumber:
    # -1: the target has not seen any order.
    if body.get("fencing_number") == -1:
        return ids.FencingNumber(-1)
    return ids.FencingNumber(fields.integer(body, "fencing_number"))


def _model(value: Any) -> messages.ModelStatus:
    row = fields.mapping(value, "model")
    try:
        slot = ids.parse_slot(fields.text(row, "slot"))
    except ValueError as error:
        raise exceptions.DecodeError("slot is invalid") from error
    return messages.ModelStatus(
        model=ids.ModelName(fields.text(row, "model")),
        version=ids.VersionName(fields.text(row, "version")),
        state=fields.member(row, "state", messages.ReplicaState),
        slot=slot,
        memory_bytes=fields.integer(row, "bytes"),
        running=fields.integer(row, "running", 0),
        waiting=fields.integer(row, "waiting", 0),
        ready_in=fields.seconds(row, "ready_in_s", 0),
        adapters=frozenset(
            ids.AdapterName(name) for name in fields.texts(row, "adapters")
        ),
        adapters_loading=frozenset(
            ids.AdapterName(name)
            for name in fields.texts(row, "adapters_loading")
        ),
    )


def _cached(
    body: dict[str, Any],
) -> dict[tuple[ids.ModelName, ids.VersionName], messages.CacheTier]:
    cached = fields.mapping(body.get("cached", {}), "cached")
    result = {}
    for name in cached:
        model, at, version = name.rpartition("@")
        if not at:
            raise exceptions.DecodeError(f"cached has {name[:80]!r}")
        key = (ids.ModelName(model), ids.VersionName(version))
        result[key] = fields.member(cached, name, messages.CacheTier)
    return result
