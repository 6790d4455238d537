"""Tests the servers for readiness checks and operators."""

import contextlib
import http.client
import selectors
import socket
import threading

import pytest

from quetzalgauge.node import status_server

LONG_BODY = bytes(8_000_000)
CROWD = 192


@pytest.fixture
def address():
    server = status_server.StatusServer(
        ("127.0.0.1", 0),
        {
            "/ready": lambda: status_server.make_health_response(True),
            "/dump": lambda: status_server.Response(200, LONG_BODY),
        },
    )
    server.start_serving("ready", lambda _: None)
    yield server.bind_addr
    server.stop()


def fetch(address, path="/ready"):
    connection = http.client.HTTPConnection(*address, timeout=20)
    connection.request("GET", path)
    with contextlib.closing(connection):
        response = connection.getresponse()
        return response.status, response.read()


@contextlib.contextmanager
def run_crowd(address, data, later=b""):
    """Opens connections, sends data at once and a byte now and then."""
    with contextlib.ExitStack() as stack:
        socks = []
        for _ in range(CROWD):
            sock = socket.socket()
            stack.callback(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.settimeout(5)
            sock.connect(address)
            sock.sendall(data)
            socks.append(sock)
        must_stop = threading.Event()

        def send_later():
            while later and not must_stop.wait(0.1):
                for sock in socks:
                    with contextlib.suppress(OSError):
                        sock.send(later)

        thread = threading.Thread(target=send_later, daemon=True)
        thread.start()
        try:
            yield socks
        finally:
            must_stop.set()
            thread.join()


@pytest.mark.parametrize(
    ("data", "later"),
    [
        (b"", b""),
        (b"GET /ready HTTP/1.1\r\nX: ", b"a"),
        (b"GET /re", b"a"),
        (b"\r\n", b"\n"),
        (b"GET /dump HTTP/1.1\r\nHost: h\r\n\r\n", b""),
    ],
    ids=["nothing", "header", "first line", "empty lines", "slow readers"],
)
def test_instance_is_ready_beside_clients_that_do_not_go_on(
    address, data, later
):
    """Guards against an instance that a few clients take out of rotation.

    Each of them occupied a thread for as long as it sent a byte now and then.
    """
    with run_crowd(address, data, later):
        for _ in range(3):
            assert fetch(address) == (200, b"")


def test_number_of_connections_is_bounded(address):
    """Guards against descriptors that are used up by unfinished requests."""
    with (
        run_crowd(address, b"GET /ready HTTP/1.1\r\n") as socks,
        selectors.DefaultSelector() as selector,
    ):
        for sock in socks:
            selector.register(sock, selectors.EVENT_READ)
        count = len(socks)
        while count > status_server._MAX_WAITING_CONNECTIONS:
            closed = selector.select(20)
            assert closed
            for key, _ in closed:
                selector.unregister(key.fileobj)
            count -= len(closed)


@pytest.mark.parametrize(
    "parts",
    [
        [b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"],
        [b"GET /ready HTTP/1.1\r", b"\nHost: h\r\n\r", b"\n"],
        [b"\r\nGET /ready HTTP/1.1\r\nHost: h\r\n\r\n"],
    ],
)
def test_request_may_arrive_in_parts(address, parts):
    """Guards against a check that is not answered since it arrives slowly."""
    with socket.create_connection(address, timeout=5) as sock:
        for part in parts:
            sock.sendall(part)
            threading.Event().wait(0.1)
        assert sock.recv(1000).startswith(b"HTTP/1.1 200 ")


def test_head_that_is_too_long_is_refused(address):
    """Guards against heads without end that are kept in memory."""
    with socket.create_connection(address, timeout=5) as sock:
        sock.sendall(b"GET /ready HTTP/1.1\r\nX: " + b"a" * 20_000)
        assert sock.recv(1000).startswith(b"HTTP/1.1 413 ")
