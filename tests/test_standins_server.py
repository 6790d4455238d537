"""Fault injection of the stand-ins.

Guards against faults that differ from their description or that do not end
after the given number of calls or when they are replaced.
"""

import json
import time

import pytest
import urllib3

from quetzalgauge.node import settings
from quetzalgauge.standins import server

LOOPBACK = settings.Address(host="127.0.0.1", port=0)


class EchoServer:
    """A stand-in that counts calls and returns their request id."""

    def __init__(self):
        self.calls = 0
        self.server = server.Server(
            LOOPBACK, 8, self.handle, lambda: {"calls": self.calls}
        )

    def handle(self, request):
        self.calls += 1
        request_id = request.headers.get("x-request-id", "")
        return server.make_json_response(
            200, {"padding": "x" * 100}, {"X-Request-Id": request_id}
        )


@pytest.fixture
def echo():
    echo_server = EchoServer()
    echo_server.server.start()
    yield echo_server
    echo_server.server.stop()


def send_request(echo, path="/any", timeout=2.0, **faults):
    if faults:
        set_faults(echo, **faults)
    return urllib3.request(
        "POST",
        echo.server.url + path,
        headers={"X-Request-Id": "mine"},
        retries=False,
        timeout=timeout,
    )


def set_faults(echo, **faults):
    response = urllib3.request(
        "POST", echo.server.url + "/standin/faults", json=faults
    )
    assert response.status == 200, response.data


def test_outage_ends_when_the_faults_are_replaced(echo):
    assert send_request(echo, outage=True).status == 503
    assert echo.calls == 0
    set_faults(echo)
    assert send_request(echo).status == 200


def test_call_with_lost_acknowledgement_is_executed_once(echo):
    with pytest.raises(urllib3.exceptions.ProtocolError):
        send_request(echo, lost_acknowledgements=1)
    assert echo.calls == 1
    assert send_request(echo).status == 200


def test_silent_call_is_not_executed(echo):
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        send_request(echo, timeout=0.2, silent=1)
    assert echo.calls == 0


def test_truncated_body_is_a_protocol_error(echo):
    with pytest.raises(urllib3.exceptions.ProtocolError):
        send_request(echo, cut_after_bytes=10)


def test_wrong_request_id_is_limited_to_the_next_calls(echo):
    response = send_request(echo, wrong_request_id=1)
    assert response.headers["X-Request-Id"] == "other-request"
    assert send_request(echo).headers["X-Request-Id"] == "mine"


def test_late_response_follows_execution(echo):
    start = time.monotonic()
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        send_request(echo, timeout=0.2, late_s=30)
    assert echo.calls == 1
    assert time.monotonic() - start < 5


def test_faults_affect_only_matching_paths_and_methods(echo):
    set_faults(echo, outage=True, path_prefix="/orders", method="POST")
    assert send_request(echo, "/status").status == 200
    assert send_request(echo, "/orders").status == 503


def test_unknown_fault_is_rejected(echo):
    response = urllib3.request(
        "POST", echo.server.url + "/standin/faults", json={"outrage": True}
    )
    assert response.status == 400
    assert "outrage" in json.loads(response.data)["findings"]
