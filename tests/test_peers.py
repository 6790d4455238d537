"""Calls of peers end with one event each, whatever the peer does."""

from concurrent import futures
import contextlib
import datetime
import queue

import pytest
import stubs

from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import peers
from quetzalgauge import wire
from quetzalgauge.gen import Peer
from quetzalgauge.gen import ttypes

_SHORT = datetime.timedelta(milliseconds=200)
_DIGEST = ttypes.Digest(ttypes.Writer("n", 1), "z", {}, {}, [], True)


class _Handler:
    def __init__(self, digest):
        self._digest = digest
        self.demands = queue.SimpleQueue()

    def exchange(self, digest, target_states):
        return ttypes.Update(self._digest, {}, target_states)

    def demand(self, demands):
        self.demands.put(demands)

    def fetch_snapshot(self, stream):
        return ttypes.LogRecord(7, b"state")

    def fetch_outcome(self, key):
        return ttypes.KeyOutcome(True, 200, {}, b"body")

    def ensure_adapter(self, target, adapter, timeout_s):
        return ttypes.AdapterReply(ttypes.AdapterDecision.RESIDENT, adapter)


@contextlib.contextmanager
def _run_peer(digest=_DIGEST):
    handler = _Handler(digest)
    server = wire.Server("peer", Peer.Processor(handler), "127.0.0.1", 0)
    server.start()
    yield server.address, handler
    server.stop()


@contextlib.contextmanager
def _make_calls():
    events = queue.SimpleQueue()
    calls = peers.PeerCalls(events.put, None)
    yield calls, lambda: events.get(timeout=10)
    calls.stop()


def _call_all(calls, address):
    token = futures.Future()
    calls.exchange(messages.ExchangeWithPeer(address, _DIGEST, []))
    calls.fetch_snapshot(messages.FetchSnapshot(address, ids.CONFIG_STREAM))
    calls.fetch_outcome(messages.FetchOutcome(address, 5))
    calls.forward_adapter(
        messages.ForwardAdapterRequest(address, token, "lm-1", "a", _SHORT)
    )
    return token


def _by_type(get, count):
    events = [get() for _ in range(count)]
    return {type(event): event for event in events}


def test_each_call_delivers_its_answer():
    """Guards against an answer that reaches the core as another event."""
    with _run_peer() as (address, handler), _make_calls() as (calls, get):
        token = _call_all(calls, address)
        calls.demand(messages.SendDemand(address, []))
        events = _by_type(get, 3)
        assert events[messages.UpdateReceived].update.digest == _DIGEST
        fetched = events[messages.SnapshotFetched]
        assert (fetched.offset, fetched.data) == (7, b"state")
        assert events[messages.OutcomeFetched].outcome.body == b"body"
        reply = token.result(10)
        assert reply.decision == ttypes.AdapterDecision.RESIDENT
        assert handler.demands.get(timeout=10) == []


@pytest.mark.parametrize("silent", [True, False])
def test_a_peer_without_an_answer_ends_each_call(silent, monkeypatch):
    """Guards against a core that waits for good for a half-open peer."""
    monkeypatch.setattr(peers, "CALL_TIMEOUT", _SHORT)
    monkeypatch.setattr(peers, "SNAPSHOT_TIMEOUT", _SHORT)
    with contextlib.ExitStack() as stack:
        address = stubs.make_closed_address()
        if silent:
            address = stack.enter_context(stubs.run_silent_server())
        calls, get = stack.enter_context(_make_calls())
        token = _call_all(calls, address)
        events = _by_type(get, 3)
        assert events[messages.UpdateReceived].update is None
        assert events[messages.SnapshotFetched].data == b""
        assert events[messages.OutcomeFetched].outcome is None
        reply = token.result(10)
        assert reply.decision == ttypes.AdapterDecision.NO_HOLDER


def test_an_incomplete_update_is_no_update():
    """Guards against a peer's missing field that reaches the core."""
    digest = ttypes.Digest(ttypes.Writer("n", None), "z", {}, {}, [], True)
    with _run_peer(digest) as (address, _), _make_calls() as (calls, get):
        calls.exchange(messages.ExchangeWithPeer(address, _DIGEST, []))
        assert get().update is None


def test_calls_above_the_limit_end_at_once(monkeypatch):
    """Guards against a queue that grows while all peers are silent."""
    monkeypatch.setattr(peers, "_MAX_CALLS", 2)
    monkeypatch.setattr(peers, "CALL_TIMEOUT", _SHORT)
    with stubs.run_silent_server() as address, _make_calls() as (calls, get):
        for _ in range(5):
            calls.exchange(messages.ExchangeWithPeer(address, _DIGEST, []))
        assert [get().update for _ in range(5)] == [None] * 5
