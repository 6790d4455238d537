"""Instance list stand-in: lag, leaving and the control path."""

import time

import pytest
import urllib3

from quetzalgauge import instancelist
from quetzalgauge import standin_instances
from quetzalgauge import standin_settings


def make_entry(name, region="region"):
    return standin_settings.ListedInstance(
        instance=name,
        kind="target",
        address="127.0.0.1:1",
        availability_zone="zone",
        region=region,
    )


@pytest.fixture
def make_list():
    lists = []

    def make(lag=0.0):
        def load():
            return standin_settings.InstanceListSettings(
                lag=lag, instances=[make_entry("lm-1"), make_entry("lm-2")]
            )

        part = standin_instances.InstanceList(load(), load)
        part.server.start()
        lists.append(part)
        return part

    yield make
    for part in lists:
        part.server.stop()


def states(part):
    url = part.server.url + "/instances"
    entries = urllib3.request("GET", url).json()["instances"]
    return {entry["instance"]: entry["state"] for entry in entries}


def control(part, call, **body):
    url = f"{part.server.url}/standin/{call}"
    return urllib3.request("POST", url, json=body)


def test_control_path_changes_the_list(make_list):
    part = make_list()
    assert control(part, "leaving", instance="lm-1").status == 200
    assert control(part, "remove", instance="lm-2").status == 200
    assert control(part, "remove", instance="lm-9").status == 404
    entry = make_entry("lm-3").model_dump()
    assert control(part, "register", **entry).status == 200
    assert states(part) == {"lm-1": "leaving", "lm-3": "live"}
    assert control(part, "reload").status == 200
    assert states(part) == {"lm-1": "live", "lm-2": "live"}


def test_list_lags_behind(make_list):
    part = make_list(lag=0.3)
    control(part, "remove", instance="lm-1")
    assert "lm-1" in states(part)
    time.sleep(0.35)
    assert "lm-1" not in states(part)


def test_an_unchanged_region_is_answered_304(make_list):
    """Guards against whole lists each second, and against a stale 304."""
    part = make_list()
    client = instancelist.InstanceListClient(part.server.url, "region")
    first = client.fetch()
    elsewhere = make_entry("lm-8", "other-region").model_dump()
    control(part, "register", **elsewhere)
    assert client.fetch() is first
    control(part, "register", **make_entry("lm-9").model_dump())
    names = [entry.instance for entry in client.fetch()]
    assert names == ["lm-1", "lm-2", "lm-9"]
    url = part.server.url + "/instances?region=region"
    answer = urllib3.request("GET", url)
    headers = {"If-None-Match": answer.headers["ETag"]}
    repeated = urllib3.request("GET", url, headers=headers)
    assert (repeated.status, repeated.data) == (304, b"")
    control(part, "remove", instance="lm-9")
    changed = urllib3.request("GET", url, headers=headers)
    assert changed.status == 200
    assert changed.headers["ETag"] != answer.headers["ETag"]
