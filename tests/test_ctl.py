"""The operators' command line, without a deployment."""

import json

import pytest
import stubs

from quetzalgauge import ctl

ROWS = [
    {"t": 1.0, "event": "target_gone", "target": "e9", "models": ["m1"]},
    {"t": 8.0, "event": "placement", "target": "e1", "for": "m1", "order": "x"},
    {"t": 8.5, "event": "placement", "target": "e2", "for": "m2", "order": "x"},
    {"t": 8.6, "event": "store_lost", "topic": "targets"},
    {"t": 9.0, "event": "sent", "request": "r1", "target": "e3", "model": "m1"},
    {"t": 9.2, "event": "sent", "request": "r2", "target": "e3", "model": "m1"},
    {"t": 9.4, "event": "target_gone", "target": "e3"},
    {"t": 9.5, "event": "request", "request": "r1", "outcome": "refused 503"},
    {"t": 9.9, "event": "target_found", "target": "e3"},
]

STATE = {
    "instance": "qg-1",
    "zone": "zone-a",
    "ready": True,
    "draining": False,
    "seat": {"holding": True, "token": 7, "orders_for_s": 5.2},
    "gateway": {
        "configuration": 4,
        "requests": [{"phase": "sent"}, {"phase": "waiting"}],
    },
    "boards": {"zone-a": {"age_s": 0.1}},
    "targets": {"e1": {"age_s": 0.7}},
}


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "qg-1.log"
    lines = [json.dumps(row) for row in ROWS]
    path.write_text("\n".join(lines) + '\n{"t": 10.0, "event": "requ')
    return path


def explained(capsys, *given):
    code = ctl.app(["explain", *map(str, given), "--json"])
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    return code, rows


def test_explain_shows_a_request_and_what_was_believed(capsys, log):
    """Guards against lines of other requests, targets and times."""
    code, rows = explained(capsys, "r1", log)
    assert code == ctl.DONE
    assert rows == [ROWS[1], ROWS[3], ROWS[4], ROWS[6], ROWS[7]]


def test_explain_keeps_to_one_start_of_the_process(capsys, log):
    """Guards against beliefs of another start, whose clock began anew."""
    later = [
        {"t": 0.1, "event": "start"},
        {"t": 9.0, "event": "target_gone", "target": "e3"},
    ]
    lines = [json.dumps(row) for row in ROWS + later]
    log.write_text("\n".join(lines))
    assert explained(capsys, "r1", log)[1][-1] == ROWS[7]


def test_explain_says_when_nothing_is_found(capsys, log):
    """Guards against an empty answer that looks like a quiet request."""
    assert ctl.app(["explain", "r7", str(log)]) == ctl.FAILED
    assert "no line about r7" in capsys.readouterr().out


def test_status_shows_state_and_ages(capsys):
    with stubs.run_http_server(lambda *_: (200, STATE)) as address:
        assert ctl.app(["status", address]) == ctl.DONE
    out = capsys.readouterr().out
    assert f"qg-1 ({address}) in zone-a: ready, configuration 4" in out
    assert "holds the zone with token 7, may order for 5.2 s" in out
    assert "requests: 1 sent, 1 waiting" in out
    assert 'target e1: {"age_s": 0.7}' in out


def test_status_goes_on_after_an_instance_that_is_gone(capsys):
    """Guards against one lost instance that hides all others."""
    gone = stubs.make_closed_address()
    with stubs.run_http_server(lambda *_: (200, STATE)) as address:
        assert ctl.app(["status", gone, address]) == ctl.FAILED
    out = capsys.readouterr().out
    assert f"{gone}: no state" in out
    assert f"qg-1 ({address})" in out


def test_check_prints_all_findings(capsys, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text('{\n"instance": 3\n}\n')
    assert ctl.app(["check", str(path)]) == ctl.WRONG_USAGE
    out = capsys.readouterr().out
    assert f"{path}:2: instance: must be a text" in out
    assert "listen: is missing" in out
