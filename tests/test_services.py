"""Handlers of the Thrift services keep threads free and answer in time."""

import datetime
import threading
import time

import pytest
from thrift.transport import TTransport

from quetzalgauge import clock
from quetzalgauge import inbox as inbox_module
from quetzalgauge import messages
from quetzalgauge import services
from quetzalgauge.gen import ttypes

_SECOND = datetime.timedelta(seconds=1)


def _make_handlers():
    inbox = inbox_module.Inbox()
    now = clock.ManualClock()
    watch = services.RouteWatch()
    control = services.ControlHandler(inbox, watch, now)
    return inbox, now, watch, control, services.PeerHandler(inbox, now)


def test_waiting_calls_leave_threads_for_sync(monkeypatch):
    """Guards against slow adapters that keep routes from entry processes."""
    monkeypatch.setattr(services, "MAX_CONTROL_WAITS", 1)
    monkeypatch.setattr(services, "MAX_PEER_WAITS", 1)
    inbox, _, _, control, peer = _make_handlers()
    threads = [
        threading.Thread(target=handler.ensure_adapter, args=("t", "a", 20.0))
        for handler in (control, peer)
    ]
    for thread in threads:
        thread.start()
    for _ in threads:
        assert inbox.get(_SECOND * 10) is not None
    start = time.monotonic()
    refused = ttypes.AdapterDecision.REFUSED
    assert control.ensure_adapter("t", "b", 20.0).decision == refused
    assert peer.ensure_adapter("t", "b", 20.0).decision == refused
    reply = control.claim_key("e", 5, 20.0)
    assert reply.decision == ttypes.KeyDecision.UNAVAILABLE
    assert time.monotonic() - start < 5
    inbox.close()
    for thread in threads:
        thread.join(5)
        assert not thread.is_alive()


def test_a_stop_ends_waiting_calls():
    """Guards against a stop that waits for the longest deadline."""
    inbox, _, _, control, _ = _make_handlers()
    replies = []
    thread = threading.Thread(
        target=lambda: replies.append(control.claim_key("e", 5, 600.0))
    )
    thread.start()
    event = inbox.get(_SECOND * 10)
    assert isinstance(event, messages.KeyClaimRequested)
    inbox.close()
    thread.join(5)
    assert [row.decision for row in replies] == [ttypes.KeyDecision.UNAVAILABLE]
    # A late reply of the core has no effect.
    inbox_module.resolve(event.token, 1)


def test_the_deadline_is_on_the_clock_of_the_core():
    """Guards against a duration that is taken for a point in time."""
    inbox, now, _, control, _ = _make_handlers()
    now.advance(_SECOND * 100)
    thread = threading.Thread(target=control.claim_key, args=("e", 5, 2.0))
    thread.start()
    event = inbox.get(_SECOND * 10)
    assert event.deadline == _SECOND * 102
    inbox_module.resolve(event.token, None)
    thread.join(5)


@pytest.mark.parametrize(
    "timeout", [None, -1.0, float("nan"), "5", float("-inf")]
)
def test_an_invalid_timeout_closes_the_connection(timeout):
    """Guards against a thread that waits without an end."""
    _, _, _, control, _ = _make_handlers()
    with pytest.raises(TTransport.TTransportException):
        control.claim_key("e", 5, timeout)


def _report(**changes):
    values = {
        "entry": "e",
        "routes_version": 3,
        "catalog_version": 2,
        "demands": [],
        "in_flight": {},
        "suspect_targets": [],
        "draining": False,
    }
    return ttypes.EntryReport(**(values | changes))


class _Core:
    def __init__(self):
        self.asked = 0
        self.routes_version = 3

    def route_update(self, _):
        self.asked += 1
        return ttypes.RouteUpdate(
            self.routes_version, 2, False, [], [], False, [], [], True
        )


def _run_owner(inbox, core, stopping):
    while not stopping.is_set():
        message = inbox.get(_SECOND / 20)
        if isinstance(message, inbox_module.Query):
            message.future.set_result(message.function(core))


def test_only_unchanged_routes_are_answered_without_the_core(monkeypatch):
    """Guards against an entry process that keeps old routes."""
    monkeypatch.setattr(services, "SYNC_WAIT", _SECOND / 100)
    inbox, now, watch, control, _ = _make_handlers()
    core, stopping = _Core(), threading.Event()
    owner = threading.Thread(target=_run_owner, args=(inbox, core, stopping))
    owner.start()
    try:
        control.sync(_report(routes_version=0))
        assert core.asked == 1
        assert control.sync(_report()).routes_version == 3
        assert core.asked == 1
        # The entry process has other versions than the last answer.
        control.sync(_report(catalog_version=1))
        assert core.asked == 2
        core.routes_version = 4
        watch.announce()
        assert control.sync(_report()).routes_version == 4
        assert core.asked == 3
        now.advance(_SECOND * 2)
        control.sync(_report(routes_version=4))
        assert core.asked == 4
    finally:
        stopping.set()
        owner.join()
