"""The instance list is taken whole or not at all."""

import datetime

import pytest
import stubs

from quetzalgauge import exceptions
from quetzalgauge import instancelist
from quetzalgauge import messages

_TARGET = {
    "instance": "lm-1",
    "kind": "target",
    "service": "palomar-lm",
    "service_kind": "models",
    "address": "127.0.0.1:7001",
    "availability_zone": "uy-south-a",
    "region": "uy-south",
    "state": "live",
    "incarnation": "8f3a",
    "accelerator_memory_bytes": 24_000,
    "accelerators": 2,
    "checks_fencing": True,
}
_SYSTEM = {
    "instance": "node-1",
    "kind": "system",
    "address": "127.0.0.1:7100",
    "availability_zone": "uy-south-a",
    "region": "uy-south",
    "state": "leaving",
}


def test_targets_and_system_instances_are_listed():
    """Guards against a field that is lost."""
    first, second = instancelist.parse({"instances": [_TARGET, _SYSTEM]})
    assert first.accelerators == 2
    assert first.checks_fencing
    assert second.kind is messages.InstanceKind.SYSTEM
    assert second.state is messages.InstanceState.LEAVING


@pytest.mark.parametrize(
    "value",
    [
        None,
        {},
        {"instances": {}},
        {"instances": [_TARGET, 5]},
        {"instances": [_SYSTEM, _TARGET | {"state": "odd"}]},
        {"instances": [_SYSTEM, _TARGET | {"address": "host:1"}]},
        {"instances": [_SYSTEM, _TARGET | {"address": "127.0.0.1:0"}]},
        {"instances": [_SYSTEM, _TARGET | {"accelerators": -1}]},
    ],
)
def test_one_bad_entry_makes_the_list_invalid(value):
    """Guards against a target declared dead since its entry was skipped."""
    with pytest.raises(exceptions.DecodeError):
        instancelist.parse(value)


def test_an_unchanged_list_is_not_parsed_again(monkeypatch):
    """Guards against the cost of 1,890 entries each second."""
    bodies = [[_TARGET], [_TARGET], [_SYSTEM]]

    def answer(*_):
        return 200, {"instances": bodies.pop(0)}

    with stubs.run_http_server(answer) as address:
        client = instancelist.InstanceListClient(f"http://{address}")
        first, second, third = (client.fetch() for _ in range(3))
    assert second is first
    assert third[0].instance == "node-1"


def test_a_tag_of_the_server_is_sent_back():
    """Guards against fetching an unchanged list in whole."""

    def answer(_method, _path, _body, headers):
        if headers.get("If-None-Match") == "t1":
            return 304, b""
        return 200, {"instances": [_TARGET]}, {"ETag": "t1"}

    with stubs.run_http_server(answer) as address:
        client = instancelist.InstanceListClient(f"http://{address}")
        assert client.fetch() is client.fetch()


def test_a_region_is_asked_for():
    """Guards against fetching the entries of all regions."""
    paths = []

    def answer(_method, path, *_):
        paths.append(path)
        return 200, {"instances": []}

    with stubs.run_http_server(answer) as address:
        instancelist.InstanceListClient(f"http://{address}", "a b").fetch()
    assert paths == ["/instances?region=a+b"]


def test_a_silent_or_failing_list_ends_the_call(monkeypatch):
    """Guards against a half-open connection that blocks the task."""
    timeout = datetime.timedelta(milliseconds=200)
    monkeypatch.setattr(instancelist, "TIMEOUT", timeout)
    with (
        stubs.run_silent_server() as address,
        pytest.raises(exceptions.PlatformError),
    ):
        instancelist.InstanceListClient(f"http://{address}").fetch()
    with (
        stubs.run_http_server(lambda *_: (500, {})) as address,
        pytest.raises(exceptions.PlatformError),
    ):
        instancelist.InstanceListClient(f"http://{address}").fetch()
