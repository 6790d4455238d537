"""Tests how responses are written to callers."""

import socket
import threading
import types

import pytest
import served_requests

from quetzalgauge.node import listener
from quetzalgauge.node import response_writer

BODY = b"x" * 2_000_000


@pytest.fixture
def sockets(monkeypatch):
    monkeypatch.setattr(listener, "WRITE_TIMEOUT_SECONDS", 0.3)
    writing, reading = socket.socketpair()
    with writing, reading:
        yield writing, reading


def write(sock, outcomes):
    request = types.SimpleNamespace(
        request_protocol=b"HTTP/1.1",
        method=b"GET",
        close_connection=False,
        sent_headers=False,
        conn=types.SimpleNamespace(socket=sock, must_reset=False),
    )
    writer = response_writer.ResponseWriter(
        request, lambda: False, served_requests.make_slow_readers()[0]
    )
    try:
        writer.write_response(200, "OK", [], BODY)
        outcomes.append("whole")
    except response_writer.CallerDisconnectedError:
        outcomes.append("cut")


@pytest.mark.parametrize(("pause", "outcome"), [(0.02, "whole"), (30, "cut")])
def test_a_caller_may_read_slowly_but_not_stop(sockets, pause, outcome):
    """Guards against a response that is cut while its caller reads it.

    The time that a caller may pause was the time for the whole response.
    """
    writing, reading = sockets
    outcomes = []
    thread = threading.Thread(target=write, args=(writing, outcomes))
    thread.start()
    received = 0
    while thread.is_alive() and received < len(BODY):
        received += len(reading.recv(50_000))
        thread.join(pause)
    thread.join()
    assert outcomes == [outcome]
