"""A control process with a fake core runs, answers and stops."""

import contextlib
import datetime
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time

import certificates
import pytest
import stubs
import urllib3

from quetzalgauge import exceptions
from quetzalgauge import wire
from quetzalgauge.gen import Control
from quetzalgauge.gen import Peer
from quetzalgauge.gen import ttypes

pytestmark = pytest.mark.process

_HERE = pathlib.Path(__file__).parent
_SECOND = datetime.timedelta(seconds=1)
_TARGET = {
    "instance": "lm-1",
    "kind": "target",
    "service": "palomar-lm",
    "availability_zone": "uy-south-a",
    "region": "uy-south",
    "state": "live",
    "incarnation": "8f3a",
    "accelerators": 2,
}
_STATUS = {
    "target": "lm-1",
    "incarnation": "8f3a",
    "draining": False,
    "fencing_number": 1,
}


class _Platform:
    """Log with empty streams, instance list and one target."""

    def __init__(self):
        self.address = ""
        self.records = []
        self.release = threading.Event()

    def answer(self, _, path, *__):
        if path.partition("?")[0] == "/instances":
            target = _TARGET | {"address": self.address}
            return 200, {"instances": [target]}
        if path == "/status":
            return 200, _STATUS
        start = int(path.partition("from=")[2].partition("&")[0])
        if start >= len(self.records):
            self.release.wait(1)
            self.release.clear()
        rows = [
            {"offset": start + index, "data": data}
            for index, data in enumerate(self.records[start:])
        ]
        end = len(self.records)
        return 200, {"earliest": 0, "next_offset": end, "records": rows}


@contextlib.contextmanager
def _run_platform():
    platform = _Platform()
    with stubs.run_http_server(platform.answer) as address:
        platform.address = address
        yield platform
        platform.release.set()


class _Running:
    def __init__(self, process, addresses):
        self.process = process
        self.addresses = addresses
        self._http = urllib3.PoolManager(retries=False, timeout=10)

    def get(self, path, method="GET"):
        url = f"http://{self.addresses['operator']}{path}"
        answer = self._http.request(method, url)
        if path == "/metrics":
            return answer.status, answer.data.decode()
        return answer.status, json.loads(answer.data)

    def control(self):
        return wire.Client(Control, self.addresses["control"])

    def peer(self):
        return wire.Client(Peer, self.addresses["peer"])

    def wait_for(self, condition):
        deadline = time.monotonic() + 20
        while not condition():
            assert time.monotonic() < deadline
            time.sleep(0.05)


@contextlib.contextmanager
def _run_control(tmp_path, platform_address, **changes):
    any_port = {"host": "127.0.0.1", "port": 0}
    config = {
        "instance": "node-1",
        "availability_zone": "uy-south-a",
        "region": "uy-south",
        "control_listen": any_port,
        "peer_listen": any_port,
        "operator_listen": any_port,
        "log_url": f"http://{platform_address}",
        "instance_list_url": f"http://{platform_address}",
    }
    path = tmp_path / "control.json"
    path.write_text(json.dumps(config | changes))
    process = subprocess.Popen(
        [sys.executable, _HERE / "control_with_fake_core.py", path],
        env={"PYTHONPATH": str(_HERE.parent / "src")},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        line = process.stdout.readline().split()
        assert line[0] == "ready"
        yield _Running(process, dict(part.split("=") for part in line[1:]))
    finally:
        process.kill()
        process.communicate()


def _report(**changes):
    values = {
        "entry": "entry-1",
        "routes_version": 1,
        "catalog_version": 1,
        "demands": [],
        "in_flight": {},
        "suspect_targets": [],
        "draining": False,
    }
    return ttypes.EntryReport(**(values | changes))


def _exchange(client, zone):
    digest = ttypes.Digest(ttypes.Writer("n", 1), zone, {}, {}, [], True)
    return client.call("exchange", digest, [], timeout=_SECOND * 5)


def test_the_process_answers_operators_and_stops_by_sigterm(tmp_path):
    """Guards against a process that cannot be watched or stopped."""
    with (
        _run_platform() as platform,
        _run_control(tmp_path, platform.address) as running,
    ):
        assert running.get("/healthz") == (200, {"ok": True})
        running.wait_for(lambda: running.get("/readyz")[0] == 200)
        running.wait_for(
            lambda: "TargetPolled" in running.get("/dump")[1]["core"]["counts"]
        )
        dump = running.get("/dump")[1]
        assert dump["core"]["address"] == running.addresses["peer"]
        assert dump["incarnation"] > 1_700_000_000_000
        running.wait_for(
            lambda: (
                'ledger_lag_records{stream="config"}'
                in running.get("/metrics")[1]
            )
        )
        assert running.get("/tickets/5")[0] == 404
        assert running.get("/targets/lm-1/drain", "POST")[0] == 202
        assert running.get("/targets/lm-2/drain", "POST")[0] == 404
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(20) == 0
        assert "core: bye (a=1)" in running.process.stderr.read()


def test_sync_answers_at_once_on_a_change(tmp_path):
    """Guards against routes that reach entry processes late."""
    with (
        _run_platform() as platform,
        _run_control(tmp_path, platform.address) as running,
    ):
        client, other = running.control(), running.control()

        def sync(**changes):
            start = time.monotonic()
            report = _report(**changes)
            update = client.call("sync", report, timeout=_SECOND * 5)
            return update.routes_version, time.monotonic() - start

        assert sync(routes_version=0)[0] == 1
        version, duration = sync()
        assert version == 1
        assert duration > 0.2
        change = _report(entry="entry-2", suspect_targets=["lm-1"])
        timer = threading.Timer(
            0.02, lambda: other.call("sync", change, timeout=_SECOND * 5)
        )
        timer.start()
        version, duration = sync()
        timer.join()
        assert version == 2
        assert duration < 0.2


def test_peers_need_a_certificate(tmp_path):
    """Guards against settings of TLS that the process does not use."""
    tls = certificates.make_tls(tmp_path)
    values = {key: str(path) for key, path in tls.model_dump().items()}
    with (
        _run_platform() as platform,
        _run_control(tmp_path, platform.address, peer_tls=values) as running,
    ):
        with pytest.raises(exceptions.PeerError):
            _exchange(running.peer(), "uy-south-a")
        context = wire.make_client_context(tls)
        client = wire.Client(Peer, running.addresses["peer"], tls=context)
        assert _exchange(client, "uy-south-a").digest.sender.instance == "n"
        client.close()


def test_calls_without_a_reply_end_in_time(tmp_path):
    """Guards against a keyed request that waits for good."""
    with (
        _run_platform() as platform,
        _run_control(tmp_path, platform.address) as running,
    ):
        client = running.control()
        reply = client.call("claim_key", "e", 5, 0.2, timeout=_SECOND * 5)
        assert reply.decision == ttypes.KeyDecision.RUN
        reply = client.call("claim_key", "e", 0, 0.2, timeout=_SECOND * 5)
        assert reply.decision == ttypes.KeyDecision.UNAVAILABLE


def test_a_bad_message_does_not_end_the_process(tmp_path):
    """Guards against one peer whose message stops all control processes."""
    with (
        _run_platform() as platform,
        _run_control(tmp_path, platform.address) as running,
    ):
        peer = running.peer()
        assert _exchange(peer, "uy-south-a").digest.sender.instance == "n"
        with pytest.raises(exceptions.PeerError):
            _exchange(peer, "fault")
        with pytest.raises(exceptions.PeerError):
            _exchange(peer, None)
        assert _exchange(peer, "uy-south-a").digest.sender.instance == "n"
        metrics = running.get("/metrics")[1]
        assert 'internal_errors_total{event="DigestReceived"} 1.0' in metrics


def test_a_fault_in_the_fold_ends_the_process(tmp_path):
    """Guards against going on with a state that differs from the log's."""
    with (
        _run_platform() as platform,
        _run_control(tmp_path, platform.address) as running,
    ):
        platform.records.append("cG9pc29u")
        platform.release.set()
        assert running.process.wait(20) == 1


@pytest.mark.covers("log outage", "start")
@pytest.mark.covers("log outage", "drain")
def test_the_process_runs_and_drains_without_its_platform(tmp_path):
    """Guards against a start or a stop that waits for the platform."""
    with (
        stubs.run_silent_server() as address,
        _run_control(tmp_path, address) as running,
    ):
        assert running.get("/healthz")[0] == 200
        assert running.get("/readyz")[0] == 503
        start = time.monotonic()
        assert running.get("/drain", "POST")[0] == 202
        assert running.process.wait(20) == 0
        assert time.monotonic() - start < 10


def test_wrong_settings_are_reported_together(tmp_path):
    """Guards against a start with settings that are only partly checked."""
    path = tmp_path / "control.json"
    path.write_text('{"instance": 5,\n "odd": 1}')
    for arguments, lines in [
        (["--settings", str(path)], ["instance: Input", "odd: unknown key"]),
        (["--settings", str(tmp_path / "none")], ["No such file"]),
        (["--setting"], []),
    ]:
        done = subprocess.run(
            [sys.executable, "-m", "quetzalgauge.control", *arguments],
            env={"PYTHONPATH": str(_HERE.parent / "src")},
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert done.returncode == 2
        assert "Traceback" not in done.stderr
        for line in lines:
            assert line in done.stderr


def test_a_port_in_use_is_an_error_at_the_start(tmp_path):
    """Guards against two processes of one instance at the same time."""
    with stubs.run_silent_server() as address:
        host, port = address.split(":")
        any_port = {"host": host, "port": 0}
        config = {
            "instance": "node-1",
            "availability_zone": "a",
            "region": "r",
            "control_listen": any_port,
            "peer_listen": {"host": host, "port": int(port)},
            "operator_listen": any_port,
            "log_url": f"http://{address}",
            "instance_list_url": f"http://{address}",
        }
        path = tmp_path / "control.json"
        path.write_text(json.dumps(config))
        done = subprocess.run(
            [sys.executable, _HERE / "control_with_fake_core.py", path],
            env={"PYTHONPATH": str(_HERE.parent / "src")},
            capture_output=True,
            text=True,
            timeout=30,
        )
    assert done.returncode == 1
    assert "cannot start" in done.stderr
    assert "Traceback" not in done.stderr
