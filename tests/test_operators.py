"""The operator HTTP answers each call of the design, and bad input."""

import contextlib
import dataclasses
import datetime
import enum
import json
import socket
import ssl

import certificates
import pytest
import urllib3

from quetzalgauge import exceptions
from quetzalgauge import messages
from quetzalgauge import operators
from quetzalgauge import settings

_LISTEN = settings.Address(host="127.0.0.1", port=0)


def _make_handlers(calls, **changes):
    handlers = operators.Handlers(
        is_healthy=lambda: True,
        is_ready=lambda: False,
        metrics=lambda: b"m 1\n",
        dump=lambda: {"a": datetime.timedelta(seconds=2)},
        drain=lambda: calls.append("drain"),
        submit_ticket=lambda text: messages.TicketStatus(
            17, messages.TicketVerdict(text), 41, ("f",)
        ),
        ticket_status=lambda number: (
            messages.TicketStatus(17, messages.TicketVerdict.ACCEPTED, 41)
            if number == 17
            else None
        ),
        drain_target=lambda target: target == "lm 1",
    )
    return dataclasses.replace(handlers, **changes)


@contextlib.contextmanager
def _serve(handlers, tls=None, context=None):
    server = operators.OperatorServer(_LISTEN, tls, handlers)
    server.start()
    pool = urllib3.PoolManager(retries=False, timeout=5, ssl_context=context)
    scheme = "https" if tls else "http"

    def call(method, path, body=None):
        url = f"{scheme}://{server.address}{path}"
        answer = pool.request(method, url, body=body)
        with contextlib.suppress(ValueError):
            return answer.status, json.loads(answer.data)
        return answer.status, answer.data

    try:
        yield call, server.address
    finally:
        pool.clear()
        server.stop()


def test_every_call_has_its_answer():
    """Guards against a call of the design that is missing or differs."""
    calls = []
    with _serve(_make_handlers(calls)) as (call, _):
        assert call("GET", "/healthz") == (200, {"ok": True})
        assert call("GET", "/readyz") == (503, {"ok": False})
        assert call("GET", "/metrics") == (200, b"m 1\n")
        assert call("GET", "/dump") == (200, {"a": 2.0})
        assert call("POST", "/drain") == (202, {"draining": True})
        body = {
            "ticket": 17,
            "verdict": "accepted",
            "offset": 41,
            "findings": [],
        }
        assert call("GET", "/tickets/17") == (200, body)
        assert call("GET", "/tickets/18")[0] == 404
        assert call("GET", "/tickets/" + "9" * 5000)[0] == 404
        assert call("POST", "/targets/lm%201/drain")[0] == 202
        assert call("POST", "/targets/lm-2/drain")[0] == 404
        assert call("GET", "/drain")[0] == 405
        assert call("GET", "/")[0] == 404
    assert calls == ["drain"]


@pytest.mark.parametrize(
    ("verdict", "status"),
    [
        ("accepted", 200),
        ("repeated", 200),
        ("invalid", 400),
        ("conflict", 409),
        ("superseded", 409),
        ("over_capacity", 422),
        ("unknown", 503),
    ],
)
def test_each_verdict_has_its_status(verdict, status):
    """Guards against an accepted answer for a ticket that was not."""
    with _serve(_make_handlers([])) as (call, _):
        answer = call("POST", "/tickets", verdict)
    body = {"ticket": 17, "verdict": verdict, "offset": 41, "findings": ["f"]}
    assert answer == (status, body)


def test_faults_of_a_handler_are_answered():
    """Guards against a closed connection in place of an error."""

    def refuse(_):
        raise exceptions.FindingsError(["ticket:1: a", "ticket:2: b"])

    def fail():
        raise ValueError("fault")

    def stop():
        raise exceptions.NoReplyError("late")

    handlers = _make_handlers(
        [], submit_ticket=refuse, dump=fail, is_ready=stop
    )
    with _serve(handlers) as (call, _):
        status, body = call("POST", "/tickets", "x")
        assert status == 400
        assert body["findings"] == ["ticket:1: a", "ticket:2: b"]
        assert call("POST", "/tickets", b"\xff")[0] == 400
        assert call("GET", "/dump")[0] == 500
        assert call("GET", "/readyz")[0] == 503


def test_an_entry_process_offers_no_tickets():
    """Guards against a crash where a function is not given."""
    handlers = _make_handlers(
        [], submit_ticket=None, ticket_status=None, drain_target=None
    )
    with _serve(handlers) as (call, _):
        assert call("POST", "/tickets", "x")[0] == 404
        assert call("GET", "/tickets/17")[0] == 404
        assert call("POST", "/targets/lm-1/drain")[0] == 404


def test_oversized_and_silent_callers_block_no_other():
    """Guards against a listener that one caller can occupy."""
    with _serve(_make_handlers([])) as (call, address):
        host, port = address.split(":")
        silent = [socket.create_connection((host, int(port))) for _ in range(9)]
        silent[0].sendall(b"POST /tickets HTTP/1.1\r\nContent-Le")
        size = operators.MAX_TICKET_BYTES + 1
        head = f"POST /tickets HTTP/1.1\r\nHost: x\r\nContent-Length: {size}"
        silent[1].sendall(head.encode() + b"\r\n\r\n")
        silent[1].settimeout(5)
        assert b" 413 " in silent[1].recv(200)
        assert call("GET", "/healthz")[0] == 200
        for handle in silent:
            handle.close()


def test_tls_needs_a_certificate_of_the_operator(tmp_path):
    """Guards against an operator listener that anyone can drain."""
    tls = certificates.make_tls(tmp_path)
    context = ssl.create_default_context(cafile=tls.authority)
    with _serve(_make_handlers([]), tls, context) as (call, address):
        with pytest.raises((urllib3.exceptions.HTTPError, OSError)):
            call("GET", "/healthz")
        host, port = address.split(":")
        # A handshake in the accept loop would block the next caller.
        with socket.create_connection((host, int(port))) as silent:
            silent.sendall(b"\x16")
            context.load_cert_chain(tls.certificate, tls.key)
            assert call("GET", "/healthz") == (200, {"ok": True})
            assert call("GET", "/metrics") == (200, b"m 1\n")


def test_any_state_becomes_plain_values():
    """Guards against a dump that fails on a type of the core."""

    class Kind(enum.Enum):
        A = "a"

    @dataclasses.dataclass(frozen=True)
    class Key:
        name: str

    value = {Key("k"): (Kind.A, {1}, b"b", Key("v"))}
    assert operators.plain(value) == {
        str(Key("k")): ["a", [1], "b'b'", {"name": "v"}]
    }
