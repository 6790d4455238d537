"""Settings report every fault at once, with its line."""

import contextlib
import json
import pathlib

import hypothesis
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import exceptions
from quetzalgauge import settings

_GOOD = {
    "instance": "node-1",
    "availability_zone": "uy-south-a",
    "region": "uy-south",
    "control_listen": {"host": "127.0.0.1", "port": 7101},
    "peer_listen": {"host": "127.0.0.1", "port": 7100},
    "operator_listen": {"host": "127.0.0.1", "port": 7102},
    "log_url": "http://127.0.0.1:7200",
    "instance_list_url": "http://127.0.0.1:7300",
}


def _findings(text):
    with pytest.raises(exceptions.FindingsError) as caught:
        settings.parse(text, "s.json", settings.ControlSettings)
    return caught.value.findings


def test_all_faults_are_reported_together_with_their_lines():
    """Guards against an operator who repairs a file one fault at a time."""
    text = """{
  "instance": 5, // no text
  "availability_zone": "uy-south-a",
  "region": "uy-south", "region": "uy-south",
  "control_listen": {"host": "10.0.0.1", "port": 7100},
  "peer_listen": {"host": "0.0.0.0", "port": 7100},
  "operator_listen": {"host": "localhost", "port": 70000},
  "log_url": "http://127.0.0.1:7200",
  "lease_duration": "10s",
  "loads_at_once": "4",
  "colour": 1
}"""
    assert _findings(text) == (
        "s.json:1: instance_list_url: missing key",
        "s.json:2: instance: Input should be a valid string",
        "s.json:4: region: duplicate key, first on line 4",
        "s.json:5: control_listen.host: must be a loopback address",
        "s.json:6: peer_listen.port: also used by control_listen",
        "s.json:6: peer_listen.host: beyond loopback needs peer_tls",
        "s.json:6: peer_listen.host: must be the address that peers connect to",
        "s.json:7: operator_listen.host: must be an IP number, not a name",
        "s.json:7: operator_listen.port:"
        " Input should be less than or equal to 65535",
        "s.json:9: lease_duration:"
        " must be a number of seconds, for example 0.25",
        "s.json:10: loads_at_once: Input should be a valid integer",
        "s.json:11: colour: unknown key",
    )


def test_a_good_file_is_loaded(tmp_path):
    """Guards against a strict check that refuses valid settings."""
    path = tmp_path / "control.json"
    path.write_text(json.dumps(_GOOD | {"lease_duration": 2.5}))
    loaded = settings.load(path, settings.ControlSettings)
    assert loaded.lease_duration.total_seconds() == 2.5
    assert str(loaded.peer_listen) == "127.0.0.1:7100"


@pytest.mark.parametrize(
    ("changes", "finding"),
    [
        ({"drain_timeout": 100}, "drain_timeout: must be 90 s or more above"),
        ({"lease_duration": 0}, "lease_duration: must be above 0"),
        ({"log_url": "http://log:1"}, "log_url: must be http(s)://IP-NUMBER"),
        ({"log_url": "ftp://127.0.0.1:1"}, "log_url: must be http(s)://IP"),
        ({"peer_tls": {"certificate": "c", "key": "k"}}, "peer_tls.authority"),
        ({"order_linger": -1}, "order_linger: must be from 0 to"),
        ({"instance": "a b"}, "instance: "),
    ],
)
def test_values_that_do_not_fit_are_findings(changes, finding):
    """Guards against a process that starts with unsafe settings."""
    (text,) = _findings(json.dumps(_GOOD | changes))
    assert finding in text


@pytest.mark.parametrize("data", [None, b"\xff", b"", b"[]", b"nul"])
def test_an_unreadable_file_gives_findings(tmp_path, data):
    """Guards against a traceback instead of an error message."""
    path = pathlib.Path(tmp_path / "control.json")
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(exceptions.FindingsError):
        settings.load(path, settings.ControlSettings)


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["host", "port", "certificate", "x"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=6,
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(list(settings.ControlSettings.model_fields)),
        _VALUES,
    )
)
@hypothesis_settings.make(max_examples=300)
def test_any_values_give_settings_or_findings(changes):
    """Guards against a check that fails on a value of an unexpected type."""
    text = json.dumps(_GOOD | changes)
    with contextlib.suppress(exceptions.FindingsError):
        settings.parse(text, "s.json", settings.ControlSettings)
