"""Answers of targets that break the protocol."""

import contextlib
import datetime
import socket
import threading
import time

import pytest

from quetzalgauge.core import requests
from quetzalgauge.node import connections
from quetzalgauge.node import upstream

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
SECOND = datetime.timedelta(seconds=1)


def now():
    return datetime.timedelta(seconds=time.monotonic())


@contextlib.contextmanager
def run_endless_target(start, rest, interval):
    """Answers each request with `start` and then `rest` until it is closed.

    Yields the address and an event that is set once the caller has closed.
    """
    closed = threading.Event()
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        handle, _ = listener.accept()
        with handle, contextlib.suppress(OSError):
            handle.settimeout(20)
            handle.recv(65536)
            handle.sendall(start)
            while True:
                handle.sendall(rest)
                time.sleep(interval)
        closed.set()

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    try:
        yield f"{host}:{port}", closed
    finally:
        listener.close()


def fetch(address, attempt):
    deadline = now() + 20 * SECOND
    send = requests.Send(
        1, "t1", address, deadline, deadline, SECOND, True, False
    )
    outgoing = upstream.OutgoingRequest("GET", "/look/1", (), b"", "r1")
    client = upstream.UpstreamClient(now)
    connection, _ = client.acquire_connection(send, attempt)
    try:
        response, _ = client.send_request(connection, outgoing, send, attempt)
        return client.read_response(response, send, attempt)
    finally:
        attempt.detach()
        connection.close()


@pytest.mark.parametrize(
    ("start", "rest"),
    [
        (HEAD + b"X: ", b"a" * 65_536),
        (HEAD, b"X: a\r\n" * 1000),
        (HEAD + b"\r\n", b"a" * 65_536),
        (b"", b"a" * 65_536),
    ],
    ids=["header", "headers", "body", "no answer"],
)
def test_endless_response_fails_at_the_size_limit(start, rest):
    """Guards against a target that answers without end, as fast as it can."""
    with run_endless_target(start, rest, 0.0) as (address, closed):
        with pytest.raises(connections.AttemptError):
            fetch(address, connections.Attempt())
        assert closed.wait(5)


@pytest.mark.parametrize(
    ("start", "rest"),
    [(HEAD + b"X: ", b"a"), (HEAD + b"\r\n", b"a")],
    ids=["header", "body"],
)
def test_trickling_response_is_canceled_at_the_deadline(start, rest):
    """Guards against an attempt that every byte keeps alive.

    The owner task ends an attempt when its caller's time is over.
    """
    attempt = connections.Attempt()
    with run_endless_target(start, rest, 0.02) as (address, closed):
        timer = threading.Timer(
            0.5, lambda: attempt.cancel(requests.Failure.DEADLINE_EXCEEDED)
        )
        timer.start()
        began = time.monotonic()
        with pytest.raises(connections.AttemptError) as raised:
            fetch(address, attempt)
        assert raised.value.failure is requests.Failure.DEADLINE_EXCEEDED
        assert time.monotonic() - began < 2.0
        assert closed.wait(5)
