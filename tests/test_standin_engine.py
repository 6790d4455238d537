"""Engine stand-in: its counts must show every violation of an invariant."""

import itertools
import socket
import time

import pytest
import urllib3

from quetzalgauge import loaddriver
from quetzalgauge import standin_engine
from quetzalgauge import standin_settings
from quetzalgauge import standin_store

GB = 1_000_000_000


class Client:
    """Sends orders and requests to one engine."""

    def __init__(self, engine):
        self.engine = engine
        self.url = engine.server.url
        self.pool = loaddriver.make_pool()
        self.order_numbers = itertools.count()

    def order(self, action, fencing_number=1, order_id=None, **fields):
        body = {
            "order_id": order_id or f"order-{next(self.order_numbers)}",
            "fencing_number": fencing_number,
            "action": action,
            "slot": "m/zone/0",
            "model": "m",
            "version": "v",
            "checkpoint": "m-v",
            "bytes": 10 * GB,
            **fields,
        }
        return self.pool.request("POST", self.url + "/orders", json=body)

    def status(self):
        return self.pool.request("GET", self.url + "/status").json()

    def load(self, **fields):
        assert self.order("load", **fields).status == 202
        wait_until(lambda: all(m["state"] == "ready" for m in self.models()))

    def models(self):
        return self.status()["models"]

    def post(self, headers=None, **fields):
        body = {"model": "m", "prompt": "p", "max_tokens": 4, **fields}
        return self.pool.request(
            "POST",
            self.url + "/v1/completions",
            json=body,
            headers=headers or {},
            preload_content=False,
        )


def wait_until(is_true, seconds=5.0):
    end = time.monotonic() + seconds
    while not is_true():
        assert time.monotonic() < end, "timed out"
        time.sleep(0.01)


@pytest.fixture
def make_client():
    engines = []

    def make(**fields):
        config = standin_settings.EngineSettings(
            target="lm-1",
            service="palomar-lm",
            availability_zone="zone",
            region="region",
            accelerator_memory_bytes=24 * GB,
            disk_bytes_per_second=200.0 * GB,
            threads=16,
            **fields,
        )
        engine = standin_engine.Engine(config)
        engine.server.start()
        engines.append(engine)
        return Client(engine)

    yield make
    for engine in engines:
        engine.server.stop()


def test_overcommit_is_refused_and_counted(make_client):
    client = make_client()
    client.load(bytes=20 * GB)
    answer = client.order("load", model="other", bytes=5 * GB)
    assert (answer.status, answer.json()["code"]) == (507, "out_of_memory")
    counts = client.engine.counts()
    assert counts["overcommit_attempts"] == 1
    assert counts["high_water_bytes"] == 20 * GB


def test_order_id_and_loaded_model_have_one_effect(make_client):
    client = make_client()
    client.load(order_id="a")
    assert client.order("load", order_id="a").status == 202
    assert client.order("load", order_id="b").status == 200
    assert client.engine.counts()["loads"] == {"m@v": 1}


@pytest.mark.parametrize("checks", [True, False])
def test_old_fencing_number_is_refused_only_by_a_checking_engine(
    make_client, checks
):
    client = make_client(checks_fencing=checks)
    assert client.order("fence", fencing_number=7).status == 200
    answer = client.order("load", fencing_number=6)
    if checks:
        assert answer.status == 409
        assert answer.json() == {
            "code": "stale_fencing_number",
            "fencing_number": 7,
        }
        assert client.models() == []
    else:
        assert answer.status == 202
    assert client.status()["fencing_number"] == 7


def test_unload_lets_requests_finish_before_memory_is_freed(make_client):
    client = make_client(tokens_per_second=20.0)
    client.load()
    answer = client.post(stream=True, max_tokens=6)
    assert client.order("unload").status == 202
    refused = client.post()
    assert refused.json()["code"] == "model_not_loaded"
    assert client.status()["used_bytes"] == 10 * GB
    assert answer.data.endswith(b"data: [DONE]\n\n")
    wait_until(lambda: client.status()["used_bytes"] == 0)
    assert client.status()["cached"] == {"m@v": "memory"}


def test_batch_limit_queues_and_then_refuses(make_client):
    client = make_client(max_running=1, max_waiting=1, tokens_per_second=20.0)
    client.load()
    answers = [client.post(stream=True, max_tokens=8)]
    with socket.create_connection(client.url[7:].split(":")) as waiting:
        body = b'{"model": "m", "prompt": "p"}'
        waiting.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
            + str(len(body)).encode()
            + b"\r\n\r\n"
            + body
        )
        time.sleep(0.1)
        refused = client.post()
        assert (refused.status, refused.json()["code"]) == (429, "overloaded")
    # The waiting caller has left, so its place is free again.
    wait_until(lambda: client.engine.counts()["cancelled"] == 1)
    answers.append(client.post())
    assert [answer.status for answer in answers] == [200, 200]
    assert answers[0].data.endswith(b"[DONE]\n\n")


def test_stream_resumes_after_the_last_event(make_client):
    client = make_client(tokens_per_second=20.0)
    client.load()
    headers = {"X-Request-Id": "r"}
    first = client.post(headers, stream=True, max_tokens=8)
    events = first.stream()
    assert b"id: 0\n" in next(events)
    first.close()
    headers["Last-Event-ID"] = "0"
    rest = client.post(headers, stream=True).data
    assert rest.startswith(b"id: 1\n")
    assert rest.endswith(b"[DONE]\n\n")
    assert client.engine.counts()["runs"] == {"r": 1}
    assert client.post(headers, stream=True).status == 410


def test_disconnect_cancels_and_frees_the_place(make_client):
    client = make_client(resume_window=0.05, tokens_per_second=20.0)
    client.load()
    answer = client.post(stream=True, max_tokens=10_000)
    next(answer.stream())
    answer.close()
    wait_until(lambda: client.engine.counts()["cancelled"] == 1)
    assert client.engine.counts()["running"] == 0


def test_adapter_must_be_loaded_before_it_is_used(make_client):
    client = make_client()
    client.load()
    refused = client.post(adapter="loft-17")
    assert refused.json()["code"] == "adapter_not_loaded"
    fields = {"adapter": "loft-17", "adapter_bytes": 1000}
    assert client.order("load_adapter", **fields).status == 202
    wait_until(lambda: client.models()[0]["adapters"] == ["loft-17"])
    assert client.post(adapter="loft-17").status == 200


def test_reported_load_lags(make_client):
    client = make_client(load_lag=0.3, tokens_per_second=10.0)
    client.load()
    answer = client.post(stream=True, max_tokens=10)
    client.status()
    time.sleep(0.31)
    assert client.models()[0]["running"] == 1
    answer.close()


def test_remote_load_goes_through_the_store_once(make_client):
    store = standin_store.Store(standin_settings.StoreSettings())
    store.server.start()
    client = make_client(store_url=store.server.url)
    client.load(bytes=GB)
    assert store.counts()["downloads"] == {"m-v": 1}
    assert client.order("unload").status == 200
    client.load(bytes=GB)
    assert store.counts()["downloads"] == {"m-v": 1}
    store.server.stop()


def test_failed_load_frees_its_memory(make_client):
    client = make_client(store_url="http://127.0.0.1:9", load_give_up=0.0)
    assert client.order("load", order_id="a").status == 202
    wait_until(lambda: client.status()["used_bytes"] == 0)
    (order,) = client.status()["last_orders"]
    assert (order["order_id"], order["outcome"]) == ("a", "failed")


def test_caller_detects_an_answer_that_is_not_whole(make_client):
    client = make_client()
    client.load()
    entry = client.url.removeprefix("http://")
    whole = loaddriver.call_model(client.pool, entry, "m", "hello", 5)
    assert (whole.kind, len(whole.gaps_s)) == ("whole", 4)
    faults = client.url + "/standin/faults"
    urllib3.request("POST", faults, json={"cut_after_bytes": 300})
    cut = loaddriver.call_model(client.pool, entry, "m", "hello", 5)
    assert cut.kind == "broken"
    urllib3.request("POST", faults, json={"wrong_request_id": 1})
    crossed = loaddriver.call_model(
        client.pool, entry, "m", "hello", 5, stream=False
    )
    assert (crossed.kind, crossed.code) == ("wrong", "other_request_id")
