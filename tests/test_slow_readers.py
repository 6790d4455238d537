"""Tests callers that read long responses slowly, and those beside them."""

import contextlib
import datetime
import http.client
import itertools
import json
import selectors
import socket
import threading
import time
import types

import pytest
import served_requests

from quetzalgauge.node import response_writer
from quetzalgauge.standins import faulty_target

BLOCK = bytes(65_536)
BLOCKS = 64
MAX_THREADS = 12
CROWD = 3 * MAX_THREADS
SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
def address():
    target = faulty_target.FaultyTarget("t1", "plain", "zone-a")

    def respond(request):
        if request.request_id == "ordinary":
            yield from faulty_target.make_response(request)
            return
        yield faulty_target.make_head(
            request.request_id, Content_Length=len(BLOCK) * BLOCKS
        )
        yield from itertools.repeat(BLOCK, BLOCKS)

    target.script = respond
    yield json.loads(target.registry_entry)["address"]
    target.close()


def open_slow_connection(address):
    sock = socket.socket()
    # Set before the connection is made, it bounds the window of the receiver.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(5)
    sock.connect(address)
    sock.sendall(
        b"GET /look/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: slow\r\n"
        b"Deadline-Ms: 20000\r\n\r\n"
    )
    return sock


@contextlib.contextmanager
def run_crowd(address, count):
    """Reads a few bytes now and then on so many connections."""
    must_stop = threading.Event()
    selector = selectors.DefaultSelector()
    for _ in range(count):
        selector.register(open_slow_connection(address), selectors.EVENT_READ)

    def read():
        while not must_stop.wait(0.2):
            for key, _ in selector.select(0):
                try:
                    is_open = bool(key.fileobj.recv(64))
                except OSError:
                    is_open = False
                if not is_open:
                    selector.unregister(key.fileobj)
                    key.fileobj.close()

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    try:
        yield
    finally:
        must_stop.set()
        thread.join()
        for key in list(selector.get_map().values()):
            key.fileobj.close()


def test_ordinary_request_is_answered_beside_slow_readers(address):
    """Guards against slow readers that occupy all worker threads for good.

    Each byte that one of them reads began its timeout anew.
    """
    with (
        served_requests.run_server(
            address, max_threads=MAX_THREADS
        ) as server_address,
        run_crowd(server_address, CROWD),
    ):
        connection = http.client.HTTPConnection(*server_address, timeout=25)
        headers = {"Request-Id": "ordinary", "Deadline-Ms": "20000"}
        connection.request("GET", "/look/1", headers=headers)
        response = connection.getresponse()
        assert (response.status, response.read()) == (200, b"ok")
        connection.close()


class Caller:
    """A caller that reads nothing until it is told to."""

    def __init__(self, readers, body=BLOCK * BLOCKS):
        self.outcomes = []
        writing, self.reading = socket.socketpair()
        request = types.SimpleNamespace(
            request_protocol=b"HTTP/1.1",
            method=b"GET",
            close_connection=False,
            sent_headers=False,
            conn=types.SimpleNamespace(socket=writing, must_reset=False),
        )
        self.connection = request.conn
        writer = response_writer.ResponseWriter(request, lambda: False, readers)
        self._thread = threading.Thread(
            target=self._write, args=(writer, body, writing), daemon=True
        )
        self._thread.start()

    def _write(self, writer, body, sock):
        with sock:
            try:
                writer.write_response(200, "OK", [], body)
                self.outcomes.append("whole")
            except response_writer.CallerDisconnectedError:
                self.outcomes.append("cut")

    def read(self):
        """Reads to the end; returns the outcome."""
        with self.reading:
            while self.reading.recv(65_536):
                pass
        self._thread.join(10)
        return self.outcomes


@pytest.fixture
def clock():
    return types.SimpleNamespace(now=datetime.timedelta())


def wait_for_blocked(readers, count):
    deadline = time.monotonic() + 10
    while len(readers._readers) != count:
        assert time.monotonic() < deadline
        time.sleep(0.01)


def begin_one_after_the_other(readers, clock, count):
    callers = []
    for number in range(count):
        callers.append(Caller(readers))
        wait_for_blocked(readers, number + 1)
        clock.now += SECOND / 10
    return callers


def test_those_who_are_behind_the_longest_are_closed(clock):
    """Guards against other callers that are closed for those."""
    readers, closed = served_requests.make_slow_readers(
        lambda: clock.now, max_count=3
    )
    callers = begin_one_after_the_other(readers, clock, 5)
    clock.now += SECOND
    wait_for_blocked(readers, 3)
    assert closed == [("threads", 2)]
    assert [caller.read() for caller in callers] == [
        ["cut"],
        ["cut"],
        ["whole"],
        ["whole"],
        ["whole"],
    ]
    assert [caller.connection.must_reset for caller in callers] == [
        True,
        True,
        False,
        False,
        False,
    ]


@pytest.mark.parametrize(
    ("max_count", "seconds"), [(5, 8), (3, 0.4)], ids=["few", "new"]
)
def test_slow_readers_are_served_in_calm(clock, max_count, seconds):
    """Guards against callers that are closed although nobody needs that."""
    readers, closed = served_requests.make_slow_readers(
        lambda: clock.now, max_count
    )
    callers = begin_one_after_the_other(readers, clock, 5)
    clock.now += SECOND * seconds
    assert all(caller.read() == ["whole"] for caller in callers)
    assert closed == []


def test_slow_readers_give_memory_back_when_it_is_exhausted(clock):
    """Guards against slow readers that take all memory for bodies."""
    readers, closed = served_requests.make_slow_readers(
        lambda: clock.now, max_bytes=len(BLOCK) * BLOCKS * 2
    )
    callers = begin_one_after_the_other(readers, clock, 4)
    readers.free_memory()
    assert closed == []
    clock.now += SECOND
    readers.free_memory()
    ((reason, count),) = closed
    assert reason == "memory"
    wait_for_blocked(readers, 4 - count)
    outcomes = [caller.read() for caller in callers]
    assert outcomes == [["cut"]] * count + [["whole"]] * (4 - count)


def test_caller_that_catches_up_counts_as_new(clock):
    """Guards against a caller that is closed for how it read long ago."""
    readers, closed = served_requests.make_slow_readers(
        lambda: clock.now, max_count=0
    )
    writing, reading = socket.socketpair()
    request = types.SimpleNamespace(
        request_protocol=b"HTTP/1.1",
        method=b"GET",
        close_connection=False,
        sent_headers=False,
        conn=types.SimpleNamespace(socket=writing, must_reset=False),
    )
    with writing, reading:
        writer = response_writer.ResponseWriter(request, lambda: False, readers)
        writer.start_stream(200, "OK", [])

        def write():
            writer.write_data(BLOCK * BLOCKS)

        for _ in range(3):
            thread = threading.Thread(target=write, daemon=True)
            thread.start()
            wait_for_blocked(readers, 1)
            while is_readable(reading) or thread.is_alive():
                if is_readable(reading):
                    reading.recv(65_536)
            clock.now += SECOND * 5
            # It takes this at once.
            writer.write_data(b"data")
        assert closed == []


def is_readable(sock):
    with selectors.DefaultSelector() as selector:
        selector.register(sock, selectors.EVENT_READ)
        return bool(selector.select(0.05))
