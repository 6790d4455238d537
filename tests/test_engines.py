"""The outcome of an order tells "not sent" from "answer missing"."""

import dataclasses
import datetime

import pytest
import stubs

from quetzalgauge import engines
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import messages

_SHORT = datetime.timedelta(milliseconds=200)
_STATUS = {
    "target": "lm-1",
    "incarnation": "8f3a",
    "draining": False,
    "fencing_number": 17,
    "checks_fencing": True,
    "accelerator_memory_bytes": 24_000,
    "used_bytes": 14_000,
    "models": [
        {
            "model": "report",
            "version": "v2",
            "state": "ready",
            "slot": "report/uy-south-a/0",
            "order_id": "o",
            "bytes": 14_000,
            "running": 3,
            "waiting": 0,
            "ready_in_s": 2.5,
            "adapters": ["loft-17"],
            "adapters_loading": [],
        }
    ],
    "cached": {"report@v2": "disk"},
    "last_orders": [],
    "load_as_of_s": 0.8,
}
_ORDER = messages.Order(
    order_id=ids.OrderId("o-1"),
    target=ids.TargetId("lm-1"),
    target_incarnation=ids.TargetIncarnation("8f3a"),
    fencing_number=ids.FencingNumber(17),
    action=messages.OrderAction.LOAD,
    slot=ids.SlotId("report", "uy-south-a", 0),
    version=ids.VersionName("v2"),
    checkpoint="report-v2",
    memory_bytes=14_000,
)


def _serve(order_answer, status=_STATUS, orders=None):
    def answer(method, path, body, _):
        if path == "/status":
            return status if status is None else (200, status)
        assert (method, path) == ("POST", "/orders")
        if orders is not None:
            orders.append(body)
        return order_answer

    return stubs.run_http_server(answer)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        ((202, {"order_id": "o-1"}), "accepted"),
        ((200, {}), "done"),
        ((409, {"code": "stale_fencing_number"}), "stale"),
        ((409, {"code": "draining"}), "refused"),
        ((507, {"code": "out_of_memory"}), "refused"),
        ((400, b"no json"), "refused"),
        ((500, {}), "unknown"),
        ((503, {}), "unknown"),
        (None, "unknown"),
    ],
)
def test_each_answer_has_its_outcome(answer, outcome):
    """Guards against an order that took effect and counts as refused."""
    with _serve(answer) as address:
        sent = engines.TargetClient(address).send(_ORDER)
    assert sent.value == outcome


def test_an_order_is_sent_once_with_all_fields():
    """Guards against a repeated order and a forgotten field."""
    orders = []
    with _serve(None, orders=orders) as address:
        engines.TargetClient(address).send(_ORDER)
    assert orders == [
        {
            "order_id": "o-1",
            "fencing_number": 17,
            "action": "load",
            "slot": "report/uy-south-a/0",
            "model": "report",
            "version": "v2",
            "checkpoint": "report-v2",
            "bytes": 14_000,
        }
    ]


def test_without_a_connection_nothing_was_sent():
    """Guards against waiting for an order that never left."""
    client = engines.TargetClient(stubs.make_closed_address())
    assert client.send(_ORDER) is messages.OrderOutcome.NOT_SENT


@pytest.mark.parametrize(
    "change", [{"target": "lm-2"}, {"incarnation": "new"}, {"models": 1}]
)
def test_another_target_at_the_address_gets_no_order(change):
    """Guards against an order that reaches a target it was not meant for."""
    orders = []
    with _serve((202, {}), _STATUS | change, orders) as address:
        outcome = engines.TargetClient(address).send(_ORDER)
    assert outcome is messages.OrderOutcome.NOT_SENT
    assert orders == []


def test_a_restarted_target_is_asked_again_before_an_order():
    """Guards against an order on a new connection without a new status."""
    orders = []
    with _serve((202, {}), orders=orders) as address:
        client = engines.TargetClient(address)
        client.status("lm-1")
        client._connection._connection.sock.shutdown(2)
        client._verified = dataclasses.replace(
            client._verified, incarnation="old"
        )
        assert client.send(_ORDER) is messages.OrderOutcome.ACCEPTED
    assert len(orders) == 1


def test_a_silent_target_gets_no_order(monkeypatch):
    """Guards against a half-open connection that blocks a target's task."""
    monkeypatch.setattr(engines, "STATUS_TIMEOUT", _SHORT)
    with stubs.run_silent_server() as address:
        client = engines.TargetClient(address)
        assert client.send(_ORDER) is messages.OrderOutcome.NOT_SENT
        with pytest.raises(exceptions.PlatformError):
            client.status("lm-1")


def test_a_target_that_falls_silent_after_the_order_is_unknown(monkeypatch):
    """Guards against "not sent" for an order that arrived."""
    monkeypatch.setattr(engines, "ORDER_TIMEOUT", _SHORT)
    with stubs.run_silent_server() as address:
        client = engines.TargetClient(address)
        client._connection.open()
        client._verified = engines.parse_status(_STATUS)
        assert client.send(_ORDER) is messages.OrderOutcome.UNKNOWN


def test_a_status_is_parsed_whole():
    """Guards against a field that is lost."""
    status = engines.parse_status(_STATUS)
    assert status.fencing_number == 17
    assert status.cached == {("report", "v2"): messages.CacheTier.DISK}
    (model,) = status.models
    assert model.slot == ids.SlotId("report", "uy-south-a", 0)
    assert model.ready_in == datetime.timedelta(seconds=2.5)
    assert model.adapters == {"loft-17"}


@pytest.mark.parametrize(
    "change",
    [
        {"target": 5},
        {"incarnation": None},
        {"draining": "no"},
        {"fencing_number": []},
        {"fencing_number": True},
        {"used_bytes": -1},
        {"used_bytes": 2**70},
        {"models": {}},
        {"models": [5]},
        {"models": [{"model": "m"}]},
        {"models": [_STATUS["models"][0] | {"slot": "a/b"}]},
        {"models": [_STATUS["models"][0] | {"state": "odd"}]},
        {"models": [_STATUS["models"][0] | {"ready_in_s": float("nan")}]},
        {"models": [_STATUS["models"][0] | {"adapters": [1]}]},
        {"cached": {"report": "disk"}},
        {"cached": {"report@v2": "tape"}},
        {"cached": []},
    ],
)
def test_an_invalid_status_is_an_error(change):
    """Guards against a wrong type that reaches the core."""
    with pytest.raises(exceptions.DecodeError):
        engines.parse_status(_STATUS | change)
