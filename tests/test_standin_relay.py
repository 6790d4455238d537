"""Relay: a frozen connection stays silent while new ones work."""

import threading
import time

import pytest
import urllib3

from quetzalgauge import settings
from quetzalgauge import standin_http
from quetzalgauge import standin_relay
from quetzalgauge import standin_settings

LOOPBACK = settings.Address(host="127.0.0.1", port=0)


@pytest.fixture
def setup():
    server = standin_http.Server(
        LOOPBACK,
        4,
        lambda _: standin_http.make_json_response(200, {"ok": True}),
        dict,
    )
    server.start()
    forward = standin_settings.Forward(name="zone-a/log", target=server.address)
    relay = standin_relay.Relay(
        standin_settings.RelaySettings(forwards=[forward])
    )
    relay.server.start()
    listen = relay.counts()["forwards"][0]["listen"]
    yield relay, f"http://{listen}/x"
    relay.server.stop()
    server.stop()


def act(relay, action, prefix=""):
    body = {"action": action, "prefix": prefix}
    url = relay.server.url + "/standin/relay"
    return urllib3.request("POST", url, json=body).json()["forwards"]


def get(pool, url, timeout=1.0):
    return pool.request("GET", url, timeout=timeout, retries=False).status


def make_pool():
    return urllib3.PoolManager(maxsize=1)


def test_frozen_connection_is_silent_and_new_ones_work(setup):
    relay, url = setup
    old = make_pool()
    assert get(old, url) == 200
    assert act(relay, "freeze") == ["zone-a/log"]
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        get(old, url, 0.2)
    assert get(make_pool(), url) == 200


def test_cut_connection_is_reset(setup):
    relay, url = setup
    old = make_pool()
    assert get(old, url) == 200
    act(relay, "cut")
    time.sleep(0.1)
    # urllib3 drops the dead connection; a new one works.
    assert get(old, url) == 200
    assert relay.counts()["forwards"][0]["accepted"] == 2


def test_partition_holds_everything_until_heal(setup):
    relay, url = setup
    act(relay, "partition", "zone-b")
    assert get(make_pool(), url) == 200
    act(relay, "partition", "zone-a")
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        get(make_pool(), url, 0.2)
    threading.Timer(0.2, act, (relay, "heal")).start()
    assert get(make_pool(), url, 3.0) == 200


def test_refused_until_heal(setup):
    relay, url = setup
    act(relay, "refuse")
    with pytest.raises(urllib3.exceptions.ProtocolError):
        get(make_pool(), url)
    act(relay, "heal")
    assert get(make_pool(), url) == 200
