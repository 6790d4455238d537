"""Tests requests in progress while the timeout of their route changes."""

from concurrent import futures
import contextlib
import time

import faulty_site
import pytest

from quetzalgauge.standins import faulty_target

pytestmark = pytest.mark.process

SHORT_MS = 1500
LONG_MS = 6000
# Between the two timeouts.
RESPONSE_SECONDS = 3.0
EVENT_INTERVAL_SECONDS = 0.15
CHANGE_AFTER_SECONDS = 0.6
CHANGE_INTERVAL_SECONDS = 0.1
COUNT = 6


def respond_slowly(request, seconds=RESPONSE_SECONDS):
    """Responds within a time; streams have events until then."""
    if not request.request_id.startswith(("tell", "show")):
        yield seconds
        yield from faulty_target.make_response(request)
        return
    yield faulty_target.make_stream_head(request)
    for number in range(1, int(seconds / EVENT_INTERVAL_SECONDS)):
        yield faulty_target.make_event(number)
        yield EVENT_INTERVAL_SECONDS
    yield faulty_target.make_chunk(b"")


def respond_by_deadline(request):
    """Like `respond_slowly`; the work stops at the deadline of the request."""
    stops_at = time.monotonic() + int(request.headers["deadline-ms"]) / 1000
    for item in respond_slowly(request):
        time_left = stops_at - time.monotonic()
        if isinstance(item, float) and item > time_left:
            yield time_left
            yield faulty_target.make_head(
                request.request_id, 504, Content_Length=0
            )
            yield None
        yield item


def write_timeout(site, version, timeout_ms):
    """Writes a version in which all routes of the service have a timeout."""
    configuration = faulty_site.make_configuration({"": "slow"})
    for route in configuration["routes"]:
        if route["service"] == "slow":
            route["timeout_ms"] = timeout_ms
    site.write_configuration({**configuration, "version": version})


@contextlib.contextmanager
def run_slow_service(directory, script, timeout_ms):
    """Runs an instance and slow targets; yields all of them and the store."""
    with (
        faulty_site.run_site({"": "slow"}) as site,
        faulty_site.run_instance(site, directory) as instance,
    ):
        targets = [
            faulty_target.FaultyTarget(f"slow-{n}", "slow", "zone-a")
            for n in range(3)
        ]
        for target in targets:
            target.script = script
        faulty_site.add_targets(site, instance, targets)
        write_timeout(site, 3, timeout_ms)
        faulty_site.wait_for(
            lambda: instance.dump()["gateway"]["configuration"] == 3
        )
        yield site, instance, targets


def fetch_beside_changes(site, instance, route, *new_timeouts_ms):
    """Sends requests, and new timeouts meanwhile; returns the responses."""

    def ask(number):
        return faulty_site.fetch(
            instance, f"/{route}/1", f"{route}-{number}", timeout_ms=LONG_MS
        )

    with futures.ThreadPoolExecutor(COUNT) as executor:
        responses = [executor.submit(ask, number) for number in range(COUNT)]
        time.sleep(CHANGE_AFTER_SECONDS)
        for version, timeout_ms in enumerate(new_timeouts_ms, 4):
            write_timeout(site, version, timeout_ms)
            time.sleep(CHANGE_INTERVAL_SECONDS)
    return [response.result()[::2] for response in responses]


@pytest.mark.parametrize(
    ("route", "script"),
    [
        ("ask", respond_by_deadline),
        ("tell", respond_by_deadline),
        ("show", respond_by_deadline),
        ("once", respond_slowly),
    ],
    ids=["ask", "tell", "show", "once"],
)
def test_requests_go_on_under_a_raised_timeout(tmp_path, route, script):
    """Guards against requests cut off at the timeout of an older version."""
    with run_slow_service(tmp_path, script, SHORT_MS) as (site, instance, _):
        responses = fetch_beside_changes(site, instance, route, LONG_MS)
    assert responses == [(200, True)] * COUNT


@pytest.mark.parametrize("route", ["ask", "tell", "show"])
def test_requests_go_on_beside_a_series_of_versions(tmp_path, route):
    """Guards against the last one of several versions cutting requests off."""
    with run_slow_service(tmp_path, respond_by_deadline, SHORT_MS) as (
        site,
        instance,
        _,
    ):
        responses = fetch_beside_changes(
            site, instance, route, *[LONG_MS, SHORT_MS] * 12
        )
    assert responses == [(200, True)] * COUNT


@pytest.mark.parametrize("route", ["ask", "tell", "show", "once"])
def test_requests_go_on_under_a_lowered_timeout(tmp_path, route):
    """Guards against requests cut off at a timeout that came after them."""
    with run_slow_service(tmp_path, respond_by_deadline, LONG_MS) as (
        site,
        instance,
        _,
    ):
        responses = fetch_beside_changes(site, instance, route, SHORT_MS)
    assert responses == [(200, True)] * COUNT


def test_unsafe_requests_are_not_worked_on_after_their_timeout(tmp_path):
    """Guards against an unsafe request that runs after its caller got 504.

    A target may obey only the limit that it was told.
    """
    with run_slow_service(tmp_path, respond_by_deadline, SHORT_MS) as (
        _,
        instance,
        targets,
    ):
        status, _, _ = faulty_site.fetch(
            instance, "/once/1", "once-1", timeout_ms=LONG_MS
        )
        told = [
            int(request.headers["deadline-ms"])
            for target in targets
            for request in target.requests
        ]
    assert status == 504
    assert len(told) == 1
    assert told[0] <= SHORT_MS


@pytest.mark.parametrize("route", ["ask", "tell", "show"])
def test_requests_end_at_the_timeout_of_their_route(tmp_path, route):
    """Guards against requests that last longer than the operator allows.

    Their targets may be told more time and must be left then.
    """
    with run_slow_service(tmp_path, respond_slowly, SHORT_MS) as (
        _,
        instance,
        targets,
    ):
        began_at = time.monotonic()
        status, _, is_complete = faulty_site.fetch(
            instance, f"/{route}/1", f"{route}-1", timeout_ms=LONG_MS
        )
        took = time.monotonic() - began_at
        assert (status, is_complete) in [(504, True), (200, False)]
        assert took == pytest.approx(SHORT_MS / 1000, abs=0.25)
        faulty_site.wait_for(
            lambda: all(
                began_at
                <= target.closed_at.get(request.request_id, 0.0)
                <= began_at + took + 0.5
                for target in targets
                for request in target.requests
            )
        )
