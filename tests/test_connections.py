"""Tests of the pool of connections to targets."""

import time

import pytest

from quetzalgauge.node import connections


class FakeConnection:
    def __init__(self):
        self.carried_ids = set()
        self.is_closed = False

    def close(self):
        self.is_closed = True


def test_connections_to_targets_that_have_left_are_closed(monkeypatch):
    """Guards against descriptors that run out after thousands of targets."""
    now = time.monotonic()
    monkeypatch.setattr(connections.time, "monotonic", lambda: now)
    pool = connections.ConnectionPool(1000)
    released = []
    for number in range(2000):
        now += 0.1
        released.append(FakeConnection())
        pool.release(f"target-{number}", released[-1])
        open_count = sum(not item.is_closed for item in released)
        assert open_count * 0.1 <= 2 * connections.MAX_IDLE_SECONDS + 0.2
    assert len(pool._idle_connections) == open_count


@pytest.mark.parametrize("idle_seconds", [0.0, 3.0])
def test_connections_in_use_are_kept(monkeypatch, idle_seconds):
    """Guards against new connections for each request."""
    now = time.monotonic()
    monkeypatch.setattr(connections.time, "monotonic", lambda: now)
    pool = connections.ConnectionPool(1000)
    kept = FakeConnection()
    kept.is_connected = True
    for number in range(20):
        pool.release("target", kept)
        now += idle_seconds
        assert pool.acquire("target", str(number)) is kept
