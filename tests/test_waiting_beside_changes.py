"""Tests requests that wait, run or arrive while the configuration changes.

Targets have fewer places than there are requests. Callers of half of the
requests send their body in two parts, one before a change and one after it.
"""

from concurrent import futures
import http.client
import itertools
import time

import faulty_site
import pytest

from quetzalgauge.platform import standin
from quetzalgauge.standins import faulty_target

pytestmark = pytest.mark.process

ROUTES = ("ask", "once", "tell", "show")
SERVICE = "busy"
OTHER_SERVICE = "other"
COUNT_PER_ROUTE = 40
WORK_SECONDS = 0.5
BODY_PAUSE_SECONDS = 0.6
DEADLINE_MS = 5000


def respond_slowly(request):
    if not request.request_id.startswith(("tell", "show")):
        yield WORK_SECONDS
        yield from faulty_target.make_response(request)
        return
    start = int(request.headers.get("last-event-id", "0"))
    yield faulty_target.make_stream_head(request)
    for number in range(start + 1, 5):
        yield WORK_SECONDS / 4
        yield faulty_target.make_event(number)
    yield faulty_target.make_chunk(b"")


def remove_routes(configuration):
    configuration["routes"] = [
        route
        for route in configuration["routes"]
        if route["name"] not in ROUTES
    ]


def remove_service(configuration):
    remove_routes(configuration)
    configuration["services"] = [
        service
        for service in configuration["services"]
        if service["name"] != SERVICE
    ]


def move_routes(configuration):
    for route in configuration["routes"]:
        if route["name"] in ROUTES:
            route["service"] = OTHER_SERVICE


def forbid_retries(configuration):
    for route in configuration["routes"]:
        if route["name"] in ROUTES:
            route |= {"attempts": 1, "can_resume": False, "kind": "unsafe"}


def lower_limits(configuration):
    configuration["limits"] |= {
        "max_header_bytes": 1024,
        "max_body_bytes": 1024,
        "header_timeout_ms": 200,
        "idle_timeout_ms": 200,
    }
    configuration["services"][-1]["max_conns"] = 1


def add_routes(configuration):
    template = configuration["routes"][-1]
    configuration["routes"] += [
        {**template, "name": f"new{number}", "path_prefix": f"/new{number}/"}
        for number in range(2000)
    ]


CHANGES = {
    "routes removed": remove_routes,
    "service removed": remove_service,
    "routes moved": move_routes,
    "retries forbidden": forbid_retries,
    "limits lowered": lower_limits,
    "routes added": add_routes,
}


def send(instance, route, number):
    """Sends a request; returns its status, 0 without a whole response."""
    connection = http.client.HTTPConnection(*instance.address, timeout=15)
    key = f"{route}-{number}"
    try:
        connection.putrequest("POST", f"/{route}/1", skip_host=True)
        for name, value in {
            "Host": standin.HOST,
            "Request-Id": key,
            "Deadline-Ms": str(DEADLINE_MS),
            "Content-Length": "800",
        }.items():
            connection.putheader(name, value)
        connection.endheaders(b"x" * 400)
        if number % 2:
            time.sleep(BODY_PAUSE_SECONDS)
        connection.send(b"x" * 400)
        response = connection.getresponse()
        response.read()
        return response.status
    except (http.client.HTTPException, OSError):
        return 0
    finally:
        connection.close()


@pytest.mark.parametrize("change", CHANGES)
def test_waiting_request_is_answered_beside_a_change(tmp_path, change):
    """Guards against a whole request without an answer or a refusal."""
    with (
        faulty_site.run_site({"": SERVICE}) as site,
        faulty_site.run_instance(site, tmp_path) as instance,
    ):
        targets = [
            faulty_target.FaultyTarget(f"{service}{n}", service, "zone-a")
            for service in (SERVICE, OTHER_SERVICE)
            for n in range(2)
        ]
        for target in targets:
            target.script = respond_slowly
        faulty_site.add_targets(site, instance, targets)
        calls = list(itertools.product(ROUTES, range(COUNT_PER_ROUTE)))
        with futures.ThreadPoolExecutor(len(calls)) as executor:
            results = {
                call: executor.submit(send, instance, *call) for call in calls
            }
            for version in range(3, 9):
                time.sleep(0.25)
                configuration = faulty_site.make_configuration({"": SERVICE})
                configuration["services"].append(
                    {"name": OTHER_SERVICE, "max_conns": 100}
                )
                if version % 2:
                    CHANGES[change](configuration)
                site.write_configuration({**configuration, "version": version})
        statuses = {call: result.result() for call, result in results.items()}
        for target in targets:
            target.close()
    # A body that was begun may be refused under lower limits, and a request
    # that arrives without its route is.
    allowed = {200, 503}
    allowed |= {
        "limits lowered": {408, 413, 431},
        "routes removed": {404},
        "service removed": {404},
    }.get(change, set())
    wrong = {
        call: status
        for call, status in statuses.items()
        if status not in allowed
    }
    assert wrong == {}
    assert 200 in statuses.values()
