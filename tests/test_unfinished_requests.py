"""Tests callers that do not send the whole of their requests."""

import contextlib
import datetime
import socket
import threading
import time

import pytest

from quetzalgauge.core import configuration
from quetzalgauge.node import buffer_memory
from quetzalgauge.node import listener
from quetzalgauge.node import overload
from quetzalgauge.node import request_body

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
RESPONSE = b"HTTP/1.1 204 No Content\r\n\r\n"
PARTS = {
    "line": POST[:10],
    "head": POST,
    "length": POST + b"Content-Length: 9\r\n\r\nx",
    "size": CHUNKED + b"9",
    "chunk": CHUNKED + b"99\r\nabc",
    "trailers": CHUNKED + b"0\r\nA: b\r\n",
}
THREAD_COUNT = 30
LONG = datetime.timedelta(seconds=30)
SHORT = datetime.timedelta(seconds=0.4)


def answer(request):
    try:
        request.get_body()
    except request_body.BodyError as error:
        request.close_connection = not error.was_read
        listener.write_response(request, error.status, str(error))
        return
    request.conn.socket.sendall(RESPONSE)


@contextlib.contextmanager
def run_server(
    header_timeout=LONG,
    body_timeout=LONG,
    memory_bytes=10_000_000,
    max_descriptors=1000,
    respond=answer,
):
    closed = []
    limits = configuration.CallerLimits(header_timeout=header_timeout)
    server = listener.Server(
        ("127.0.0.1", 0),
        lambda: limits,
        THREAD_COUNT,
        overload.divide_descriptors(max_descriptors, 100),
        respond,
        lambda *_: None,
        buffer_memory.BufferMemory(memory_bytes),
        closed.append,
        body_timeout,
    )
    server.closed_for = closed
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        yield server
    finally:
        server.stop()


@contextlib.contextmanager
def connect(server, data=b""):
    with socket.create_connection(server.bind_addr, timeout=5) as sock:
        sock.sendall(data)
        yield sock


def exchange(server, data=REQUEST):
    with connect(server, data) as sock:
        return sock.recv(1000)


def read_to_end(sock):
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


@pytest.mark.parametrize("part", PARTS)
def test_unfinished_requests_take_no_threads(part):
    """Guards against callers that wait since others send slowly.

    Each unfinished request had a thread until a read timed out.
    """
    with run_server() as server, contextlib.ExitStack() as stack:
        for _ in range(2 * THREAD_COUNT):
            stack.enter_context(connect(server, PARTS[part]))
        assert [exchange(server) for _ in range(3)] == 3 * [RESPONSE]


@pytest.mark.parametrize("part", PARTS)
@pytest.mark.parametrize("kind", ["silent", "slow"])
def test_unfinished_requests_end(part, kind):
    """Guards against callers that hold what they have for ever.

    The timeout was for a read, so that a byte now and then began it anew.
    """
    # An unfinished line of a body must stay below its longest length.
    rest = {"head": b"A: b\r\n", "trailers": b"A: b\r\n", "chunk": b"x"}
    with (
        run_server(header_timeout=SHORT, body_timeout=2 * SHORT) as server,
        connect(server, PARTS[part]) as sock,
    ):
        sock.settimeout(0.1)
        response = b""
        for _ in range(60):
            with contextlib.suppress(TimeoutError):
                response = sock.recv(1000)
                break
            if kind == "slow":
                sock.sendall(rest.get(part, b""))
        assert response.startswith(b"HTTP/1.1 408 ")


@pytest.mark.parametrize("part", ["length", "chunk"])
def test_a_body_that_ends_with_its_connection_is_refused(part):
    """Guards against a body that is passed on in part."""
    with run_server() as server, connect(server, PARTS[part]) as sock:
        sock.shutdown(socket.SHUT_WR)
        assert read_to_end(sock).startswith(b"HTTP/1.1 400 ")


def test_a_request_that_arrives_in_bytes_is_whole():
    """Guards against parts that are lost between the threads."""
    data = CHUNKED + b"3\r\nabc\r\n0\r\n\r\n" + REQUEST
    with run_server() as server, connect(server) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in data:
            sock.sendall(bytes([byte]))
            time.sleep(0.002)
        response = b""
        while len(response) < 2 * len(RESPONSE):
            response += sock.recv(1000)
        assert response == 2 * RESPONSE


@pytest.mark.parametrize("body", [b"", b"x"], ids=["empty", "body"])
@pytest.mark.parametrize("is_ahead", [False, True], ids=["idle", "ahead"])
def test_a_head_has_its_whole_timeout(body, is_ahead):
    """Guards against 408 by the deadline of an earlier request."""
    data = POST + b"Content-Length: %d\r\n\r\n" % len(body) + body
    part = data[:10] if is_ahead else b""
    with (
        run_server(header_timeout=SHORT) as server,
        connect(server, data + part) as sock,
    ):
        assert sock.recv(1000) == RESPONSE
        if not is_ahead:
            time.sleep(1.5 * SHORT.total_seconds())
            sock.sendall(data[:10])
        time.sleep(0.5 * SHORT.total_seconds())
        sock.sendall(data[10:])
        assert sock.recv(1000) == RESPONSE


@pytest.mark.parametrize(
    "behind",
    [
        b"GET / HTTP/1.1\r\n:\r\n\r\n",
        POST + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
    ],
    ids=["malformed", "continue"],
)
def test_short_responses_that_are_not_read_take_no_threads(behind):
    """Guards against threads that wait until a refusal can be sent."""

    def respond(request):
        sock = request.conn.socket
        request.sent_headers = True
        if request.uri == b"/fill":
            sock.settimeout(0)
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock.send(bytes(100_000))
            return
        sock.sendall(RESPONSE)

    with run_server(respond=respond) as server, contextlib.ExitStack() as stack:
        for _ in range(2 * THREAD_COUNT):
            sock = stack.enter_context(socket.socket())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(server.bind_addr)
            sock.sendall(REQUEST.replace(b"/", b"/fill", 1) + behind)
        time.sleep(1.0)
        assert exchange(server) == RESPONSE


def test_a_large_unfinished_body_yields_its_memory():
    """Guards against refusals since others hold memory for bodies.

    The connection of the one that yields stays open.
    """
    large = POST + b"Content-Length: 80000\r\n\r\n" + b"x" * 80_000
    small = POST + b"Content-Length: 40000\r\n\r\n" + b"x" * 40_000
    with (
        run_server(memory_bytes=100_000) as server,
        connect(server, large[:-1]) as sock,
    ):
        wait_for(lambda: server.memory.free_bytes < 30_000)
        assert exchange(server, small) == RESPONSE
        sock.sendall(b"x")
        assert sock.recv(1000).startswith(b"HTTP/1.1 503 ")
        wait_for(lambda: server.memory.free_bytes == 100_000)


def test_memory_of_a_body_is_returned_once(monkeypatch):
    """Guards against a bound that drifts away.

    A connection was closed while another thread had chosen to drop its body.
    """
    head = POST + b"Content-Length: 900000\r\n\r\n"
    closed = []
    with run_server(memory_bytes=700_000) as server:
        choose = overload.choose_largest

        def choose_and_close(usages):
            largest = choose(usages)
            if largest is not None and not closed:
                closed.append(largest)
                server._connections._unregister(largest)
                largest.close()
            return largest

        monkeypatch.setattr(overload, "choose_largest", choose_and_close)
        with connect(server, head + bytes(400_000)):
            wait_for(lambda: server.memory.free_bytes < 310_000)
            with connect(server, head + bytes(390_000)):
                wait_for(lambda: closed)
        wait_for(lambda: not server._connections._unfinished)
        wait_for(lambda: server.memory.free_bytes == 700_000)


def test_large_unfinished_heads_are_closed():
    """Guards against heads that take memory without a bound."""
    head = POST + b"A: " + b"b" * 10_000
    with (
        run_server(memory_bytes=100_000) as server,
        contextlib.ExitStack() as stack,
    ):
        socks = [stack.enter_context(connect(server, head)) for _ in range(10)]
        wait_for(lambda: len(server.closed_for) >= 6)
        assert set(server.closed_for) == {"no_memory"}
        assert exchange(server) == RESPONSE
        # Those that are kept can still end their head.
        answered = 0
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.sendall(b"\r\n\r\n")
                answered += sock.recv(1000) == RESPONSE
        assert answered == 10 - len(server.closed_for)


def test_heads_of_many_lines_are_refused_while_their_bodies_are_awaited():
    """Guards against parsed heads that take memory without a bound.

    A line takes many times as much as was sent of it. Short heads are kept.
    """
    lines = b"".join(b"a%d:\r\n" % number for number in range(1000))
    rest = b"Content-Length: 9\r\n\r\nx"
    with (
        run_server(memory_bytes=4_000_000) as server,
        contextlib.ExitStack() as stack,
    ):
        socks = [
            stack.enter_context(connect(server, POST + lines + rest))
            for _ in range(12)
        ]
        short = stack.enter_context(connect(server, POST + rest))
        wait_for(lambda: len(server._connections._unfinished) == 13)
        kept = []
        for sock in [*socks, short]:
            sock.sendall(b"x" * 8)
            kept.append(sock.recv(1000) == RESPONSE)
        # There is memory for 1.5 MB of heads, and each takes 256 KB.
        assert sum(kept[:-1]) == 5
        assert kept[-1]
        wait_for(lambda: not server._kept_head_bytes)


@pytest.mark.parametrize("part", ["nothing", *PARTS])
def test_too_many_connections_yield_to_new_ones(part):
    """Guards against connections that take all descriptors."""
    with (
        run_server(max_descriptors=40) as server,
        contextlib.ExitStack() as stack,
    ):
        for _ in range(60):
            stack.enter_context(connect(server, PARTS.get(part, b"")))
        assert exchange(server) == RESPONSE
        wait_for(
            lambda: (
                server._connections._num_connections <= server.max_connections
            )
        )
        assert set(server.closed_for) == {"too_many"}


def test_requests_behind_others_leave_places():
    """Guards against callers that send ahead and take all places for good."""
    may_respond = threading.Event()
    count = 0

    def respond(request):
        nonlocal count
        if request.uri == b"/behind":
            count += 1
            may_respond.wait(5)
        request.conn.socket.sendall(RESPONSE)

    behind = REQUEST.replace(b"/", b"/behind", 1)
    # Four requests may be in progress.
    with (
        run_server(max_descriptors=80, respond=respond) as server,
        contextlib.ExitStack() as stack,
    ):
        callers = [
            stack.enter_context(connect(server, REQUEST + behind))
            for _ in range(10)
        ]
        assert [caller.recv(1000) for caller in callers] == 10 * [RESPONSE]
        time.sleep(0.3)
        assert count <= 4
        may_respond.set()
        assert [caller.recv(1000) for caller in callers] == 10 * [RESPONSE]


def wait_for(condition):
    deadline = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_what_arrived_during_a_stall_is_read():
    """Guards against a timeout for which the caller is not to blame."""
    with run_server(header_timeout=SHORT) as server:
        select = server._connections._selector.select
        is_stalled = threading.Event()

        def select_late(timeout=None):
            if is_stalled.is_set():
                time.sleep(2 * SHORT.total_seconds())
                is_stalled.clear()
            return select(timeout)

        server._connections._selector.select = select_late
        for data in (
            REQUEST,
            # More than is read at once.
            REQUEST[:-2] + b"A: " + b"b" * 12_000 + b"\r\n\r\n",
            POST + b"Content-Length: 5\r\n\r\nabcde",
            CHUNKED + b"3\r\nabc\r\n0\r\n\r\n",
        ):
            with connect(server, data[:20]) as sock:
                time.sleep(0.1)
                is_stalled.set()
                time.sleep(0.1)
                sock.sendall(data[20:])
                assert sock.recv(1000) == RESPONSE
