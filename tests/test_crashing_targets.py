"""Tests an instance in front of targets that end on one prompt part."""

import http.client
import itertools
import json
import time

import pytest

from quetzalgauge.platform import standin
from quetzalgauge.standins import faulty_target
from quetzalgauge.standins import local_cluster

pytestmark = pytest.mark.process

SERVICE = "odd"
BAD_PART = "bad1"
REQUEST_NUMBERS = itertools.count(1)


def make_configuration():
    configuration = standin.make_configuration({"m0": standin.ModelSpec()})
    configuration["routes"].append(
        {
            **configuration["routes"][2],
            "name": "ask",
            "path_prefix": "/ask/",
            "kind": "safe",
            "service": SERVICE,
            "timeout_ms": 6000,
        }
    )
    configuration["routes"].append(
        {
            **configuration["routes"][-1],
            "name": "tell",
            "path_prefix": "/tell/",
            "kind": "stream",
        }
    )
    configuration["services"].append({"name": SERVICE, "max_conns": 100})
    return {**configuration, "version": 2}


@pytest.fixture
def site():
    running_site = standin.Site([], {"m0": standin.ModelSpec()})
    running_site.start()
    running_site.write_configuration(make_configuration())
    yield running_site
    running_site.stop()


@pytest.fixture
def instance(site, tmp_path):
    cluster = local_cluster.LocalCluster(
        tmp_path, str(site.store.server.address), ["zone-a"]
    )
    cluster.start_all()
    yield cluster.instances[0]
    cluster.kill_all()


def wait_for(condition):
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def send(instance, *parts, path="/ask/1", own_part=None):
    """Sends a request; returns its status, error code and Retry-After."""
    number = next(REQUEST_NUMBERS)
    connection = http.client.HTTPConnection(*instance.address, timeout=15)
    last = own_part or f"f{number:x}"
    prefix = ",".join(f"{part}:100" for part in (*parts, last))
    headers = {
        "Host": standin.HOST,
        "Request-Id": f"q{number}",
        "Deadline-Ms": "5000",
        "Prompt-Prefix": prefix,
    }
    try:
        connection.request("POST", path, b"x", headers)
        response = connection.getresponse()
        body = response.read()
        code = json.loads(body)["error"] if response.status >= 500 else None
        return response.status, code, response.getheader("Retry-After")
    finally:
        connection.close()


def test_requests_that_end_targets_are_refused(site, instance):
    """Guards against requests that end one target after the other.

    The requests reach the targets with their parts unchanged.
    """
    targets = [
        faulty_target.FaultyTarget(f"odd-{number}", SERVICE, "zone-a")
        for number in range(6)
    ]
    ended = []

    def make_script(target):
        def run(request):
            if BAD_PART in request.headers["prompt-prefix"]:
                ended.append(target.name)
                target.close()
                return [None]
            return faulty_target.make_response(request)

        return run

    for target in targets:
        target.script = make_script(target)
        site.store.put("keyed.servers", target.name, target.registry_entry)
    wait_for(lambda: len(instance.dump()["targets"]) == len(targets))
    assert send(instance, "a0", "c1")[0] == 200
    outcomes = [send(instance, "a0", "c1", BAD_PART) for _ in range(6)]
    assert [status for status, *_ in outcomes] == [502] * 3 + [503] * 3
    assert len(ended) == 3
    for _, error, retry_after in outcomes[3:]:
        assert (error["code"], error["run"]) == ("quarantined", "not_run")
        assert 50 < float(retry_after) <= 60
    for _ in range(10):
        assert send(instance, "a0", "c1")[0] == 200
    # The requests themselves are suspected, each under its own part.
    known = {
        record["part"]: record["status"]
        for record in instance.dump()["quarantine"]
    }
    assert known.pop(BAD_PART) == "quarantined"
    assert set(known.values()) <= {"suspected"}
    assert len(known) == 3
    for target in targets:
        target.close()


def test_streams_that_end_targets_after_a_comment_are_refused(site, instance):
    """Guards against a comment that counts as a response on a part."""
    targets = [
        faulty_target.FaultyTarget(f"odd-{number}", SERVICE, "zone-a")
        for number in range(6)
    ]
    ended = []

    def make_script(target):
        def run(request):
            yield faulty_target.make_stream_head(request)
            yield faulty_target.make_chunk(b": wait\n\n")
            ended.append(target.name)
            target.close()
            yield None

        return run

    for target in targets:
        target.script = make_script(target)
        site.store.put("keyed.servers", target.name, target.registry_entry)
    wait_for(lambda: len(instance.dump()["targets"]) == len(targets))
    for _ in range(3):
        with pytest.raises(http.client.IncompleteRead):
            send(instance, BAD_PART, path="/tell/1")
    assert send(instance, BAD_PART, path="/tell/1")[:1] == (503,)
    assert len(ended) == 3


@pytest.mark.parametrize("shared", [(), ("a0", "c1")])
def test_repeated_request_that_ends_targets_is_refused(site, instance, shared):
    """Guards against a caller that repeats a request that crashes targets.

    Each repetition has a new id. Nothing else in the prompt is to blame, and
    sound requests share the other parts.
    """
    targets = [
        faulty_target.FaultyTarget(f"odd-{number}", SERVICE, "zone-a")
        for number in range(8)
    ]
    ended = []

    def make_script(target):
        def run(request):
            if request.headers["prompt-prefix"].endswith("deadbeef:100"):
                ended.append(target.name)
                target.close()
                return [None]
            return faulty_target.make_response(request)

        return run

    for target in targets:
        target.script = make_script(target)
        site.store.put("keyed.servers", target.name, target.registry_entry)
    wait_for(lambda: len(instance.dump()["targets"]) == len(targets))
    assert send(instance, *shared)[0] == 200
    outcomes = [send(instance, *shared, own_part="deadbeef") for _ in range(8)]
    assert len(ended) == 3
    assert [status for status, *_ in outcomes[-4:]] == [503] * 4
    for _, error, _ in outcomes[-4:]:
        assert (error["code"], error["run"]) == ("quarantined", "not_run")
    for _ in range(10):
        assert send(instance, *shared)[0] == 200
    for target in targets:
        target.close()
