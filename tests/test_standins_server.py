"""Faults of the stand-ins: each must do what its name says, and end."""

import json
import time

import pytest
import urllib3

from quetzalgauge.node import settings
from quetzalgauge.standins import server

LOOPBACK = settings.Address(host="127.0.0.1", port=0)


class Echo:
    """Counts calls and returns their request id."""

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
    part = Echo()
    part.server.start()
    yield part
    part.server.stop()


def call(echo, path="/any", timeout=2.0, **faults):
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
    answer = urllib3.request(
        "POST", echo.server.url + "/standin/faults", json=faults
    )
    assert answer.status == 200, answer.data


def test_outage_ends_when_the_faults_are_replaced(echo):
    assert call(echo, outage=True).status == 503
    assert echo.calls == 0
    set_faults(echo)
    assert call(echo).status == 200


def test_lost_acknowledgement_has_its_effect_once(echo):
    with pytest.raises(urllib3.exceptions.ProtocolError):
        call(echo, lost_acknowledgements=1)
    assert echo.calls == 1
    assert call(echo).status == 200


def test_silent_call_has_no_effect(echo):
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        call(echo, timeout=0.2, silent=1)
    assert echo.calls == 0


def test_cut_answer_is_not_taken_for_a_whole_one(echo):
    with pytest.raises(urllib3.exceptions.ProtocolError):
        call(echo, cut_after_bytes=10)


def test_wrong_request_id_is_limited_to_the_next_calls(echo):
    answer = call(echo, wrong_request_id=1)
    assert answer.headers["X-Request-Id"] == "other-request"
    assert call(echo).headers["X-Request-Id"] == "mine"


def test_late_answer_comes_after_the_effect(echo):
    start = time.monotonic()
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        call(echo, timeout=0.2, late_s=30)
    assert echo.calls == 1
    assert time.monotonic() - start < 5


def test_faults_leave_other_paths_and_methods_alone(echo):
    set_faults(echo, outage=True, path_prefix="/orders", method="POST")
    assert call(echo, "/status").status == 200
    assert call(echo, "/orders").status == 503


def test_unknown_fault_is_refused(echo):
    answer = urllib3.request(
        "POST", echo.server.url + "/standin/faults", json={"outrage": True}
    )
    assert answer.status == 400
    assert "outrage" in json.loads(answer.data)["findings"]
