"""Tests instances as real processes against a stand-in of the platform.

Guards against failures that appear only between processes: request framing,
timeouts, configuration changes, shutdown, and crashes of instances and targets.
"""

import http.client
import json
import signal
import socket
import threading
import time

import pytest

from quetzalgauge.platform import election_store
from quetzalgauge.platform import standin
from quetzalgauge.platform import store
from quetzalgauge.standins import local_cluster

pytestmark = pytest.mark.process

MODELS = {
    f"m{number}": standin.ModelSpec(adapter_count=12 if number < 2 else 0)
    for number in range(8)
}


@pytest.fixture(scope="module")
def site():
    running_site = standin.Site(["zone-a", "zone-b"], MODELS)
    running_site.start()
    yield running_site
    running_site.stop()
    assert running_site.list_violations() == []


@pytest.fixture(scope="module")
def cluster(site, tmp_path_factory):
    running_cluster = local_cluster.LocalCluster(
        tmp_path_factory.mktemp("instances"),
        str(site.store.server.address),
        ["zone-a", "zone-a", "zone-b"],
    )
    running_cluster.start_all()
    yield running_cluster
    running_cluster.kill_all()


REQUEST_NUMBERS = iter(range(1, 100_000))


def send_request(
    instance, path, method="POST", body=b"x", timeout=15, **headers
):
    """Sends a request; returns status, headers and body."""
    connection = http.client.HTTPConnection(*instance.address, timeout=timeout)
    try:
        connection.request(method, path, body, make_headers(**headers))
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def make_headers(**headers):
    result = {
        "Host": standin.HOST,
        "Request-Id": f"r{next(REQUEST_NUMBERS)}",
        "Deadline-Ms": "9000",
        "Token-Counts": "100,30",
    }
    result.update(
        {name.replace("_", "-"): value for name, value in headers.items()}
    )
    return result


def test_plain_request_is_routed_to_its_service(cluster):
    status, headers, body = send_request(
        cluster.instances[0], "/look/1", "GET", None
    )
    assert status == 200
    assert headers["Response-Stamp"].startswith("p-zone-")
    assert json.loads(body)["path"] == "/look/1"


def test_stream_arrives_complete(cluster):
    """Guards against events that are lost or repeated by the relay."""
    status, headers, body = send_request(
        cluster.instances[0], "/live/1", Model="m0", Request_Id="whole"
    )
    assert (status, headers["Request-Id"]) == (200, "whole")
    ids = [line for line in body.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4", b"id: 5"]


def test_every_model_is_served_from_every_instance(cluster):
    """Guards against models that cannot be reached from some instance.

    There are more models than the engines can hold at a time.
    """
    for instance in cluster.instances:
        for model in MODELS:
            status, _, _ = send_request(instance, "/rare/1", Model=model)
            assert status == 200, model


def test_adapter_is_loaded_for_its_first_request(cluster):
    for number in range(1, 13):
        status, _, _ = send_request(
            cluster.instances[2], "/live/1", Model=f"m0/a{number}"
        )
        assert status == 200


def test_burst_for_a_cold_model_is_served(site, cluster):
    """Guards against requests that fail while their model is loaded.

    The first requests for an idle model arrive at several instances at once.
    """
    send_request(cluster.instances[0], "/rare/1", Model="m7")
    results = []

    def run(number):
        instance = cluster.instances[number % 3]
        results.append(send_request(instance, "/rare/1", Model="m6")[0])

    threads = [
        threading.Thread(target=run, args=(number,)) for number in range(18)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert results == [200] * 18


def test_unknown_route_is_answered_404(cluster):
    assert send_request(cluster.instances[0], "/nowhere/1")[0] == 404


def test_body_over_the_limit_is_answered_413(cluster):
    status, _, _ = send_request(
        cluster.instances[0], "/book/1", body=b"x" * 70_000
    )
    assert status == 413


def send_bytes(instance, data):
    """Sends bytes and returns all bytes received until the peer closes."""
    with socket.create_connection(instance.address, timeout=5) as connection:
        connection.sendall(data)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
        return received


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: +3\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding : chunked\r\n",
        b"Host: other.example\r\n",
        b"X-Folded: a\r\n b\r\n",
    ],
)
def test_ambiguous_framing_is_refused(cluster, head):
    """Guards against request smuggling.

    An intermediary that parses such framing differently could take the body
    for a second request.
    """
    received = send_bytes(
        cluster.instances[0],
        b"POST /book/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: s1\r\n"
        + head
        + b"\r\nabcGET /look/1 HTTP/1.1\r\nHost: site.example\r\n\r\n",
    )
    assert received.startswith(b"HTTP/1.1 400")
    assert received.count(b"HTTP/1.1") == 1


@pytest.mark.parametrize(
    "body",
    [
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
    ],
)
def test_malformed_chunk_is_refused(cluster, body):
    """Guards against request smuggling through malformed chunks.

    A lenient parser may find the end of such a body at another place.
    """
    received = send_bytes(
        cluster.instances[0],
        b"POST /book/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: s2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" + body,
    )
    assert received.startswith(b"HTTP/1.1 400")


def test_chunked_body_arrives_complete(cluster):
    received = send_bytes(
        cluster.instances[0],
        b"POST /book/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: s3\r\n"
        b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    )
    assert received.startswith(b"HTTP/1.1 200")
    assert b'"bytes": 5' in received


def test_headers_over_the_limit_are_answered_431(cluster):
    received = send_bytes(
        cluster.instances[0],
        b"GET /look/1 HTTP/1.1\r\nHost: site.example\r\nX-Long: "
        + b"x" * 20_000
        + b"\r\n\r\n",
    )
    assert received.startswith(b"HTTP/1.1 431")


def test_header_timeout_is_answered_408(cluster):
    """Guards against incomplete headers that occupy a thread forever."""
    started_at = time.monotonic()
    received = send_bytes(cluster.instances[0], b"GET /look/1 HTTP/1.1\r\nHo")
    assert received.startswith(b"HTTP/1.1 408")
    assert time.monotonic() - started_at < 4


def test_caller_disconnect_ends_its_request(site, cluster):
    """Guards against work for callers that have disconnected."""
    headers = make_headers(Model="m0", Token_Counts="100,3000")
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    connection = socket.create_connection(
        cluster.instances[0].address, timeout=5
    )
    connection.sendall(f"POST /live/1 HTTP/1.1\r\n{lines}\r\n".encode())
    assert connection.recv(100).startswith(b"HTTP/1.1 200")
    connection.close()
    deadline = time.monotonic() + 3
    while cluster.instances[0].dump()["gateway"]["requests"]:
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_new_configuration_is_applied_on_every_instance(site, cluster):
    """Guards against instances that keep serving an older configuration."""
    configuration = standin.make_configuration(MODELS, 2)
    route = dict(configuration["routes"][2], name="more", path_prefix="/more/")
    configuration["routes"].append(route)
    site.write_configuration(configuration)
    time.sleep(1.0)
    for instance in cluster.instances:
        assert send_request(instance, "/more/1", "GET", None)[0] == 200


def test_older_configuration_version_is_ignored(site, cluster):
    """Guards against a rollback by a record with an older version.

    The new route must stay after version 1 is written again.
    """
    site.write_configuration(standin.make_configuration(MODELS, 1))
    time.sleep(0.5)
    for instance in cluster.instances:
        assert send_request(instance, "/more/1", "GET", None)[0] == 200


def test_consumers_recover_from_expired_history(site, cluster):
    """Guards against a topic consumer that stops at expired records.

    The store drops its old records while the consumers run.
    """
    for topic in ("keyed.op", "keyed.servers", "keyed.holders"):
        site.store.compact(topic)
    configuration = standin.make_configuration(MODELS, 3)
    route = dict(configuration["routes"][2], name="late", path_prefix="/late/")
    configuration["routes"].append(route)
    site.write_configuration(configuration)
    time.sleep(1.5)
    for instance in cluster.instances:
        assert send_request(instance, "/late/1", "GET", None)[0] == 200


def test_crashed_target_loses_no_requests(site, cluster):
    """Guards against failed requests when a target disappears.

    The target is removed without notice, so instances still send to it.
    """
    site.remove_target("p-zone-b")
    for _ in range(10):
        for instance in cluster.instances:
            assert send_request(instance, "/look/1", "GET", None)[0] == 200


def test_metrics_and_state_can_be_read(cluster):
    instance = cluster.instances[0]
    _, text = instance.get(instance.ports[3], "/metrics")
    assert b"quetzalgauge_first_part_seconds_bucket" in text
    assert b"quetzalgauge_slow_event_seconds_bucket" in text
    assert instance.dump()["gateway"]["configuration"] == 3


def test_planned_stop_completes_active_streams(site, cluster):
    """Guards against streams that a planned stop of their instance aborts."""
    instance = cluster.instances[1]
    results = []

    def run():
        results.append(
            send_request(
                instance, "/live/1", Model="m0", Token_Counts="100,300"
            )
        )

    threads = [threading.Thread(target=run) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    instance.signal(signal.SIGTERM)
    time.sleep(0.2)
    assert not instance.is_ready()
    for thread in threads:
        thread.join()
    assert [status for status, _, _ in results] == [200] * 4
    assert all(body.count(b"id: ") == 50 for _, _, body in results)
    assert instance.process.wait(10) == 0


def test_draining_leader_stays_active_until_it_exits(site, cluster):
    """Guards against a zone without orders while its leader drains.

    It must remain active leader until it exits, and then release its record.
    """
    instance = cluster.instances[2]
    deadline = time.monotonic() + 20
    while instance.dump()["seat"]["orders_for_s"] <= 0:
        assert time.monotonic() < deadline
        time.sleep(0.2)
    instance.signal(signal.SIGTERM)
    time.sleep(1.5)
    assert not instance.is_ready()
    assert instance.dump()["seat"]["orders_for_s"] > 0
    status, _, _ = send_request(cluster.instances[0], "/live/1", Model="m1/a7")
    assert status == 200
    assert instance.process.wait(10) == 0
    client = store.StoreClient(str(site.store.server.address))
    record, _ = election_store.read_record(client, "zone-b")
    assert record.released
    cluster.start(instance)
    cluster.wait_ready(instance)


def test_killed_leader_is_replaced(site, cluster):
    """Guards against a zone whose engines get no orders after a crash.

    The leader is killed and another instance must take over the zone.
    """
    instance = cluster.instances[1]
    cluster.kill(instance)
    cluster.start(instance)
    cluster.wait_ready(instance)
    cluster.kill(cluster.instances[0])
    deadline = time.monotonic() + 20
    while not instance.dump()["seat"]["holding"]:
        assert time.monotonic() < deadline
        time.sleep(0.2)
    cluster.start(cluster.instances[0])
    cluster.wait_ready(cluster.instances[0])


def test_all_settings_errors_are_reported_together(cluster, tmp_path):
    """Guards against a start that reports only the first error.

    The operator would have to correct and restart once for each error.
    """
    import os
    import subprocess
    import sys

    path = tmp_path / "settings.json"
    path.write_text('{\n// A comment.\n"instance": 3,\n"unknown": 1\n}\n')
    completed = subprocess.run(
        [sys.executable, "-m", "quetzalgauge.node"],
        env={**os.environ, "QUETZALGAUGE_SETTINGS": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert completed.returncode == 2
    assert f"{path}:3: instance: must be a text" in completed.stderr
    assert "listen: is missing" in completed.stderr
    assert "unknown" not in completed.stderr
