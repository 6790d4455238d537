"""Tests what callers get when the listener lacks something or refuses."""

import contextlib
import datetime
import errno
import http.client
import math
import socket
import threading
import time
import types

import pytest
import served_requests

from quetzalgauge.core import configuration
from quetzalgauge.node import buffer_memory
from quetzalgauge.node import listener
from quetzalgauge.node import overload
from quetzalgauge.node import request_body
from quetzalgauge.node import response_writer

LIMITS = configuration.CallerLimits(max_header_bytes=2000, max_body_bytes=9000)
LARGE_BODY = b"x" * 4_000_000


def handle_request(request):
    try:
        request.get_body()
    except request_body.BodyError as error:
        request.close_connection = True
        listener.write_response(request, error.status, str(error))
        return
    request.conn.socket.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


def make_server(handle_request):
    server = listener.Server(
        ("127.0.0.1", 0),
        lambda: LIMITS,
        60,
        overload.divide_descriptors(1000, 100),
        handle_request,
        lambda *_: None,
        buffer_memory.BufferMemory(5000),
        lambda _: None,
    )
    server.prepare()
    return server


@contextlib.contextmanager
def run_server(handle_request):
    running = make_server(handle_request)
    threading.Thread(target=running.serve, daemon=True).start()
    try:
        yield running
    finally:
        running.stop()


@pytest.fixture(scope="module")
def server():
    with run_server(handle_request) as running:
        yield running


def fetch(server, body, headers, pause=0.0):
    """Sends a body in parts; returns the status of the response."""
    connection = http.client.HTTPConnection(*server.bind_addr, timeout=10)
    connection.putrequest("POST", "/")
    for name, value in headers.items():
        connection.putheader(name, value)
    connection.endheaders()
    for start in range(0, len(body), 500_000):
        time.sleep(pause)
        connection.send(body[start : start + 500_000])
    status = connection.getresponse().status
    connection.close()
    return status


@pytest.mark.parametrize("pause", [0.0, 0.05])
@pytest.mark.parametrize(
    ("status", "body", "headers"),
    [
        (413, LARGE_BODY, {"Content-Length": len(LARGE_BODY)}),
        (503, b"x" * 9000, {"Content-Length": 9000}),
        (431, LARGE_BODY, {"X": "y" * 3000, "Content-Length": len(LARGE_BODY)}),
        (400, LARGE_BODY, {"X ": "y", "Content-Length": len(LARGE_BODY)}),
        (400, LARGE_BODY, {"Transfer-Encoding": "chunked"}),
    ],
    ids=["body", "memory", "headers", "syntax", "chunk"],
)
def test_a_caller_that_is_still_sending_gets_its_refusal(
    server, status, body, headers, pause
):
    """Guards against a refusal that a reset of its connection destroys."""
    assert fetch(server, body, headers, pause) == status


def test_a_refused_caller_that_goes_on_sending_is_closed(server, monkeypatch):
    """Guards against threads that read from a refused caller for ever."""
    monkeypatch.setattr(listener, "LINGER_SECONDS", 0.2)
    body = b"x" * 30_000_000
    with pytest.raises(OSError):
        fetch(server, body, {"Content-Length": 2 * len(body)}, 0.02)


def test_refused_callers_keep_no_other_waiting(server):
    """Guards against threads that are missing while they read from others."""
    refused = [
        http.client.HTTPConnection(*server.bind_addr, timeout=3)
        for _ in range(listener.INITIAL_THREADS + 1)
    ]
    for connection in refused:
        connection.putrequest("POST", "/")
        connection.putheader("Content-Length", "9001")
        connection.endheaders()
    started_at = time.monotonic()
    # The connections stay open while there is a response.
    responses = [connection.getresponse() for connection in refused]
    assert {response.status for response in responses} == {413}
    assert fetch(server, b"", {}) == 204
    assert time.monotonic() - started_at < listener.LINGER_SECONDS / 2
    for response in responses:
        response.close()


def test_kept_connections_are_served_while_none_can_be_accepted(
    server, monkeypatch
):
    """Guards against callers that wait while there are no descriptors.

    The listener went on to accept before it looked at the other connections.
    """
    connections = [
        http.client.HTTPConnection(*server.bind_addr, timeout=3)
        for _ in range(6)
    ]
    for connection in connections[:5]:
        connection.request("GET", "/")
        connection.getresponse().read()

    def fail():
        raise OSError(errno.EMFILE, "too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(server, "socket", types.SimpleNamespace(accept=fail))
        connections[5].connect()
        for connection in connections[:5]:
            connection.request("GET", "/")
            assert connection.getresponse().status == 204
    connections[5].request("GET", "/")
    assert connections[5].getresponse().status == 204
    for connection in connections:
        connection.close()


def read_to_end(sock):
    """Returns all that is received; `reset` if the connection is reset."""
    received = b""
    try:
        while data := sock.recv(65536):
            received += data
    except ConnectionResetError:
        received += b"reset"
    return received


def test_requests_received_before_the_end_are_answered():
    """Guards against a listener that resets connections with a request.

    It closed those with data instead of reading from them, and left those that
    it had not accepted to the end of the process.
    """
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    with run_server(handle_request) as server, contextlib.ExitStack() as stack:

        def connect():
            return stack.enter_context(
                socket.create_connection(server.bind_addr, timeout=3)
            )

        kept, idle = ([connect() for _ in range(5)] for _ in range(2))
        for sock in kept + idle:
            sock.sendall(request)
            assert sock.recv(65536).startswith(b"HTTP/1.1 204 ")
        # Connections wait for the lock, which `stop_reading` releases.
        with server._condition:
            for sock in kept:
                sock.sendall(3 * request)
            time.sleep(0.1)
            new = [connect() for _ in range(5)]
            for sock in new:
                sock.sendall(request)
            server.stop_reading(
                datetime.timedelta(seconds=3), datetime.timedelta(seconds=3)
            )
        for socks, count in ((kept, 3), (new, 1), (idle, 0)):
            responses = [read_to_end(sock) for sock in socks]
            assert [r.count(b"HTTP/1.1 204 ") for r in responses] == [count] * 5
            assert not any(r.endswith(b"reset") for r in responses)
        with pytest.raises(ConnectionRefusedError):
            connect()


@pytest.mark.parametrize(
    "error",
    [ConnectionResetError(104, "reset"), TimeoutError("timed out"), KeyError()],
    ids=lambda error: type(error).__name__,
)
@pytest.mark.parametrize("has_begun", [False, True], ids=["before", "within"])
def test_request_whose_handler_fails_gets_500_or_a_cut(error, has_begun):
    """Guards against failures that are taken for those of the caller's socket.

    A request got no response, or 408, which promises that it has not run. One
    whose response had begun got a second head within it.
    """

    def fail(request):
        if has_begun:
            writer = response_writer.ResponseWriter(
                request, lambda: False, served_requests.make_slow_readers()[0]
            )
            writer.start_stream(200, "OK", [])
            writer.write_data(b"data")
        raise error

    with (
        run_server(fail) as server,
        socket.create_connection(server.bind_addr, timeout=3) as sock,
    ):
        sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        response = read_to_end(sock)
    if has_begun:
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.count(b"HTTP/1.1 ") == 1
    else:
        assert response.startswith(b"HTTP/1.1 500 ")


def test_request_that_crosses_the_last_response_does_not_cut_it():
    """Guards against a reset that discards what a caller has yet to receive.

    A connection was closed with a request unread that had been sent before the
    caller had read that the response is the last one.
    """
    body = b"x" * 3_000_000
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"

    def respond(request):
        writer = response_writer.ResponseWriter(
            request, lambda: True, served_requests.make_slow_readers()[0]
        )
        writer.write_response(200, "OK", [], body)
        time.sleep(0.2)

    with (
        run_server(respond) as server,
        socket.create_connection(server.bind_addr, timeout=3) as sock,
    ):
        sock.sendall(request)
        response = sock.recv(1000)
        sock.sendall(request)
        time.sleep(0.5)
        response += read_to_end(sock)
    assert response.endswith(body)
    assert response.count(b"\r\nConnection: close\r\n") == 1


def test_connection_with_a_request_does_not_expire():
    """Guards against a request that arrives as its connection expires.

    The connection was closed although a request had come since the last poll.
    """
    server = make_server(handle_request)
    manager = server._connections
    with contextlib.ExitStack() as stack:
        stack.callback(server.stop)
        busy, idle = (
            stack.enter_context(
                socket.create_connection(server.bind_addr, timeout=3)
            )
            for _ in range(2)
        )
        for _ in range(2):
            server.process_conn(manager._from_server_socket(server.socket))
        busy.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        time.sleep(0.1)
        manager._expire(math.inf)
        threading.Thread(target=server.serve, daemon=True).start()
        assert read_to_end(idle) == b""
        assert read_to_end(busy).startswith(b"HTTP/1.1 204 ")
