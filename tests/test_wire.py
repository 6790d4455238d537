"""Thrift servers survive hostile input, and clients never hang."""

import contextlib
import datetime
import errno
import random
import socket
import struct
import threading
import time

import certificates
import pytest
import stubs

from quetzalgauge import exceptions
from quetzalgauge import wire
from quetzalgauge.gen import Peer
from quetzalgauge.gen import ttypes

_SECOND = datetime.timedelta(seconds=1)
_SHORT = datetime.timedelta(milliseconds=200)


class _Handler:
    def __init__(self):
        self.release = threading.Event()

    def fetch_snapshot(self, stream):
        if stream == "wait":
            self.release.wait(10)
        return ttypes.LogRecord(7, stream.encode())

    def fetch_outcome(self, key):
        raise ValueError("fault in a handler")


@contextlib.contextmanager
def _run_server(limits=None, tls=None):
    handler = _Handler()
    server = wire.Server(
        "test", Peer.Processor(handler), "127.0.0.1", 0, limits, tls
    )
    server.start()
    try:
        yield server, handler
    finally:
        handler.release.set()
        server.stop()


def _call(address, stream="s", **options):
    client = wire.Client(Peer, address, **options)
    try:
        return client.call("fetch_snapshot", stream, timeout=_SECOND * 5)
    finally:
        client.close()


def test_a_connection_is_used_again():
    """Guards against a new connection for each call."""
    with _run_server() as (server, _):
        client = wire.Client(Peer, server.address)
        for _ in range(3):
            client.call("fetch_snapshot", "s", timeout=_SECOND)
        assert server._open_count == 1
        client.close()


def test_idle_connections_occupy_no_thread():
    """Guards against idle peers that keep others from being served."""
    limits = wire.ServerLimits(threads=1)
    with _run_server(limits) as (server, _):
        clients = [wire.Client(Peer, server.address) for _ in range(5)]
        for client in clients * 2:
            client.call("fetch_snapshot", "s", timeout=_SECOND * 5)
        for client in clients:
            client.close()


def test_a_fault_in_a_handler_is_an_error_of_the_call():
    """Guards against a fault that ends a thread of the server."""
    with _run_server(wire.ServerLimits(threads=1)) as (server, _):
        client = wire.Client(Peer, server.address)
        with pytest.raises(exceptions.PeerError):
            client.call("fetch_outcome", 1, timeout=_SECOND)
        assert _call(server.address).offset == 7


def _garbage(generator):
    size = generator.randrange(1, 60)
    body = generator.randbytes(size)
    kind = generator.randrange(5)
    if kind == 0:
        return body
    if kind == 1:
        return struct.pack("!i", size) + body
    if kind == 2:
        return struct.pack("!i", size + 1000) + body  # Truncated.
    if kind == 3:
        return struct.pack("!i", 2**31 - 1) + body
    # A valid call up to a random byte, which is replaced.
    call = b"\x82!\x01\x0efetch_snapshot\x18\x01s\x00"
    place = generator.randrange(len(call))
    call = call[:place] + bytes([generator.randrange(256)]) + call[place + 1 :]
    return struct.pack("!i", len(call)) + call


def test_garbage_neither_hangs_nor_ends_the_server():
    """Guards against one damaged frame that stops all calls."""
    generator = random.Random(1)
    limits = wire.ServerLimits(threads=2, read_timeout=_SHORT)
    with _run_server(limits) as (server, _):
        host, port = wire.parse_address(server.address)
        kept = []
        for _ in range(200):
            handle = socket.create_connection((host, port))
            handle.sendall(_garbage(generator))
            kept.append(handle)
        assert _call(server.address).offset == 7
        for handle in kept:
            handle.close()


def test_a_slow_sender_is_cut_off_at_the_deadline():
    """Guards against a peer that holds a thread with a byte now and then."""
    limits = wire.ServerLimits(threads=1, read_timeout=_SHORT)
    with _run_server(limits) as (server, _):
        with socket.create_connection(wire.parse_address(server.address)) as h:
            h.sendall(struct.pack("!i", 1000))
            start = time.monotonic()
            with contextlib.suppress(OSError):
                while time.monotonic() - start < 5:
                    h.sendall(b"x")
                    time.sleep(0.05)
            assert time.monotonic() - start < 3
        assert _call(server.address).offset == 7


def test_connections_above_the_limit_are_closed():
    """Guards against running out of file descriptors."""
    with _run_server(wire.ServerLimits(connections=2)) as (server, _):
        address = wire.parse_address(server.address)
        with (
            socket.create_connection(address),
            socket.create_connection(address),
            socket.create_connection(address) as third,
        ):
            third.settimeout(5)
            assert third.recv(1) == b""
        deadline = time.monotonic() + 5
        while server._open_count and time.monotonic() < deadline:
            time.sleep(0.01)
        assert _call(server.address).offset == 7


def test_a_failing_accept_does_not_spin():
    """Guards against a busy loop when file descriptors run out."""
    calls = []

    class Listener:
        def accept(self):
            calls.append(time.monotonic())
            raise OSError(errno.EMFILE, "too many open files")

    with _run_server() as (server, _):
        listener, server._listener = server._listener, Listener()
        server._accept()
        server._accept()
        server._listener = listener
        assert calls[1] - calls[0] >= wire._ACCEPT_PAUSE_SECONDS
        assert _call(server.address).offset == 7


def test_idle_connections_are_closed(monkeypatch):
    """Guards against half-open connections that stay for good."""
    monkeypatch.setattr(wire, "_IDLE_CHECK_SECONDS", 0.05)
    limits = wire.ServerLimits(idle_timeout=_SHORT)
    with (
        _run_server(limits) as (server, _),
        socket.create_connection(wire.parse_address(server.address)) as handle,
    ):
        handle.settimeout(5)
        assert handle.recv(1) == b""


def test_a_silent_peer_ends_the_call_in_time():
    """Guards against a half-open connection that blocks a task."""
    with stubs.run_silent_server() as address:
        client = wire.Client(Peer, address)
        start = time.monotonic()
        with pytest.raises(exceptions.PeerError) as caught:
            client.call("fetch_snapshot", "s", timeout=_SHORT)
        assert time.monotonic() - start < 2
        assert not isinstance(caught.value, exceptions.PeerUnreachableError)


def test_an_unreachable_peer_is_told_from_a_silent_one():
    """Guards against `unknown` for a call that was never sent."""
    with pytest.raises(exceptions.PeerUnreachableError):
        _call(stubs.make_closed_address())
    with pytest.raises(exceptions.PeerUnreachableError):
        _call("no address")


def test_a_late_answer_is_not_taken_for_the_next_one():
    """Guards against crossed answers after a timeout."""
    with _run_server() as (server, handler):
        client = wire.Client(Peer, server.address)
        with pytest.raises(exceptions.PeerError):
            client.call("fetch_snapshot", "wait", timeout=_SHORT)
        handler.release.set()
        answer = client.call("fetch_snapshot", "next", timeout=_SECOND)
        assert answer.data == b"next"
        client.close()


def test_a_restarted_server_is_reached_on_a_new_connection():
    """Guards against a failed call on a connection the server closed."""
    with _run_server() as (server, _):
        client = wire.Client(Peer, server.address)
        client.call("fetch_snapshot", "s", timeout=_SECOND)
        _, port = wire.parse_address(server.address)
    second = wire.Server("test", Peer.Processor(_Handler()), "127.0.0.1", port)
    second.start()
    try:
        client.call("fetch_snapshot", "s", timeout=_SECOND)
    finally:
        second.stop()
    client.close()


def test_missing_fields_are_found_in_nested_messages():
    """Guards against a core that computes with None."""
    outcome = ttypes.KeyOutcome(True, 200, {}, b"")
    wire.require_complete(ttypes.KeyReply(1, outcome))
    outcome.body = None
    with pytest.raises(exceptions.DecodeError, match="KeyOutcome.body"):
        wire.require_complete([ttypes.KeyReply(1, outcome)])


@pytest.fixture(name="tls", scope="module")
def make_tls(tmp_path_factory):
    """A certificate authority and a certificate for 127.0.0.1."""
    return certificates.make_tls(tmp_path_factory.mktemp("tls"))


def test_tls_peers_check_each_other(tls):
    """Guards against a peer port that anyone can talk to."""
    context = wire.make_server_context(tls)
    with _run_server(tls=context) as (server, _):
        client_context = wire.make_client_context(tls)
        client = wire.Client(Peer, server.address, tls=client_context)
        for _ in range(3):
            answer = client.call("fetch_snapshot", "s", timeout=_SECOND * 5)
            assert answer.data == b"s"
        assert server._open_count == 1
        client.close()
        with pytest.raises(exceptions.PeerError):
            _call(server.address)
        bare = wire.ssl.create_default_context(cafile=tls.authority)
        with pytest.raises(exceptions.PeerError):
            _call(server.address, tls=bare)


def test_a_silent_tls_client_blocks_no_other(tls):
    """Guards against a handshake in the accept loop."""
    limits = wire.ServerLimits(threads=2, read_timeout=_SECOND * 3)
    context = wire.make_server_context(tls)
    with _run_server(limits, context) as (server, _):
        address = wire.parse_address(server.address)
        with socket.create_connection(address) as silent:
            silent.sendall(b"\x16")
            client_context = wire.make_client_context(tls)
            assert _call(server.address, tls=client_context).offset == 7


def test_a_silent_server_ends_the_handshake_in_time(tls):
    """Guards against a half-open connection before the first call."""
    context = wire.make_client_context(tls)
    with stubs.run_silent_server() as address:
        start = time.monotonic()
        with pytest.raises(exceptions.PeerUnreachableError):
            _call(address, tls=context, connect_timeout=_SHORT)
        assert time.monotonic() - start < 3
