"""The log client tells acknowledged, refused and unknown appends apart."""

import base64
import datetime

import pytest
import stubs

from quetzalgauge import exceptions
from quetzalgauge import logclient

_SHORT = datetime.timedelta(milliseconds=200)
_NO_WAIT = datetime.timedelta(0)


def _append(answer):
    with stubs.run_http_server(lambda *_: answer) as address:
        return logclient.LogClient(f"http://{address}").append("s", [b"a"])


def test_a_batch_is_appended_in_order():
    """Guards against a changed batch."""
    seen = []

    def answer(method, path, body, _):
        seen.append((method, path, body))
        return 200, {"first_offset": 41, "next_offset": 43}

    with stubs.run_http_server(answer) as address:
        client = logclient.LogClient(f"http://{address}")
        result = client.append("config", [b"a", b"\xff"])
    assert result.outcome is logclient.AppendOutcome.ACKNOWLEDGED
    assert result.first_offset == 41
    records = [base64.b64encode(data).decode() for data in (b"a", b"\xff")]
    path = "/streams/config/records"
    assert seen == [("POST", path, {"records": records})]


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        ((429, {}), "refused"),
        ((400, {}), "refused"),
        # A gateway may answer so after the append took effect.
        ((503, {}), "unknown"),
        ((500, {}), "unknown"),
        ((200, {}), "unknown"),
        ((200, b"{"), "unknown"),
        (None, "unknown"),
    ],
)
def test_an_append_is_refused_only_if_it_had_no_effect(answer, outcome):
    """Guards against a lost acknowledgement that counts as a refusal."""
    assert _append(answer).outcome.value == outcome


def test_an_append_is_sent_once(monkeypatch):
    """Guards against a repeat by the library after a lost acknowledgement."""
    calls = []

    def answer(*_):
        calls.append(1)
        if len(calls) == 1:
            return 200, {"first_offset": 0, "next_offset": 1}
        return None

    with stubs.run_http_server(answer) as address:
        client = logclient.LogClient(f"http://{address}")
        client.append("s", [b"a"])
        assert client.append("s", [b"b"]).outcome.value == "unknown"
    assert len(calls) == 2


def test_without_a_connection_nothing_was_sent():
    """Guards against needless doubt during an outage."""
    client = logclient.LogClient(f"http://{stubs.make_closed_address()}")
    assert client.append("s", [b"a"]).outcome.value == "refused"


def test_a_silent_log_ends_the_calls_in_time(monkeypatch):
    """Guards against a half-open connection that blocks a stream's task."""
    monkeypatch.setattr(logclient, "APPEND_TIMEOUT", _SHORT)
    monkeypatch.setattr(logclient, "READ_MARGIN", _SHORT)
    with stubs.run_silent_server() as address:
        client = logclient.LogClient(f"http://{address}")
        assert client.append("s", [b"a"]).outcome.value == "unknown"
        with pytest.raises(exceptions.LogUnavailableError):
            client.read("s", 0, 10, _NO_WAIT)


def _read(answer):
    with stubs.run_http_server(lambda *_: answer) as address:
        client = logclient.LogClient(f"http://{address}")
        return client.read("s", 5, 10, datetime.timedelta(seconds=1.5))


def _row(offset, data="YQ=="):
    return {"offset": offset, "data": data}


def test_records_are_read_with_their_offsets():
    """Guards against a wrong query and against shifted offsets."""
    paths = []

    def answer(_, path, *__):
        paths.append(path)
        rows = [_row(5), _row(6)]
        return 200, {"earliest": 2, "next_offset": 9, "records": rows}

    with stubs.run_http_server(answer) as address:
        client = logclient.LogClient(f"http://{address}")
        result = client.read("s", 5, 10, datetime.timedelta(seconds=1.5))
    assert paths == ["/streams/s/records?from=5&limit=10&wait_s=1.5"]
    assert result.records == ((5, b"a"), (6, b"a"))
    assert (result.earliest, result.next_offset) == (2, 9)


def test_an_expired_offset_names_the_earliest():
    """Guards against a follower that waits for expired records."""
    with pytest.raises(exceptions.LogExpiredError) as caught:
        _read((410, {"earliest": 12}))
    assert caught.value.earliest == 12


@pytest.mark.parametrize(
    "answer",
    [
        (200, {"earliest": 0, "next_offset": 9, "records": [_row(6)]}),
        (200, {"earliest": 0, "next_offset": 9, "records": [_row(5), _row(7)]}),
        (200, {"earliest": 0, "next_offset": 9, "records": [_row(5, "?")]}),
        (200, {"earliest": 0, "next_offset": 9, "records": [{}]}),
        (200, {"earliest": 0, "next_offset": 9, "records": 1}),
        (200, {"earliest": 0, "next_offset": "9", "records": []}),
        (200, [1]),
        (200, b"[" * 100_000),
        (410, {}),
        (503, {}),
        None,
    ],
)
def test_an_invalid_answer_is_no_answer(answer):
    """Guards against a gap in the fold and against a dead task."""
    with pytest.raises(exceptions.LogUnavailableError):
        _read(answer)
