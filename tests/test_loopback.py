"""The checks used on real processes must find each violation."""

import socket

import pytest

from quetzalgauge import loaddriver
from quetzalgauge import loopback


class FakeProcess:
    def __init__(self, counts):
        self.counts = counts

    def is_running(self):
        return True


class FakeDeployment:
    """Answers with counts that were given to it."""

    def __init__(self, engines=(), services=()):
        self.engines = {
            f"lm-{i}": FakeProcess(c) for i, c in enumerate(engines)
        }
        self.services = {
            f"app-{i}": FakeProcess({"runs": runs})
            for i, runs in enumerate(services)
        }
        self.zone_of = dict.fromkeys(self.engines, "a")

    def counts(self, process):
        return process.counts


def make_counts(*spans, high_water=10, attempts=0):
    return {
        "memory_bytes": 10,
        "high_water_bytes": high_water,
        "overcommit_attempts": attempts,
        "intervals": [
            {"model": "m", "start": start, "end": end} for start, end in spans
        ],
    }


def test_engine_checks_accept_one_replica_after_the_other():
    counts = [make_counts((0, 1)), make_counts((1, None))]
    assert loopback.check_engines(FakeDeployment(counts), {"m/a": 1}) == []


@pytest.mark.parametrize(
    ("counts", "expected"),
    [
        ([make_counts((0, 2)), make_counts((1, None))], "2 replicas at once"),
        ([make_counts(high_water=11)], "memory was overcommitted"),
        ([make_counts(attempts=3)], "3 orders above the memory"),
    ],
)
def test_engine_checks_find_violations(counts, expected):
    (found,) = loopback.check_engines(FakeDeployment(counts), {"m/a": 1})
    assert expected in found


@pytest.mark.parametrize(
    ("runs", "kind", "run", "expected"),
    [
        ([{"b": 1}, {"b": 1}], "whole", "", "ran 2 times"),
        ([{}], "whole", "", "answered but ran 0 times"),
        ([{"b": 1}], "refused", "not_run", "refused as not_run but ran"),
        ([{}], "broken", "", "broken"),
        ([{"b": 1}], "refused", "unknown", None),
    ],
)
def test_booking_checks(runs, kind, run, expected):
    results = {"b": loaddriver.Result("r", kind, run=run)}
    found = loopback.check_bookings(FakeDeployment(services=runs), results)
    if expected is None:
        assert found == []
    else:
        assert expected in found[0]


def test_restarted_process_gets_its_port_back(tmp_path):
    """Another process may take a free port between stop and start."""
    values = {"listen": loopback.make_address()}
    process = loopback.Process(tmp_path, "log", ("standin", "log"), values)
    process.start()
    try:
        address = process.address
        process.kill()
        host, _, port = address.rpartition(":")
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((host, int(port)))
        process.start()
        assert process.address == address
        assert process.stop() == 0
    finally:
        process.end()


def test_process_with_wrong_settings_is_reported(tmp_path):
    values = {"listen": loopback.make_address(), "kept_records": 0}
    process = loopback.Process(tmp_path, "log", ("standin", "log"), values)
    with pytest.raises(loopback.LoopbackError, match="kept_records"):
        process.start()
    assert process.wait() == 2
    process.end()
