"""Tests that callers get whole responses to their own requests only.

Guards against responses mixed with bytes of other responses, and against
partial ones that look complete. Each case has two targets of its own service.
"""

import faulty_site
import pytest

from quetzalgauge.standins import faulty_target
from quetzalgauge.standins import response_samples as samples

pytestmark = pytest.mark.process

TABLES = {
    "broken": samples.BROKEN,
    "sound": samples.SOUND,
    "streams": samples.BROKEN_STREAMS,
    "resumed": samples.BROKEN_RESUMPTIONS,
    "kept": samples.BETWEEN_RESPONSES,
    "repeated": dict.fromkeys(("200", "404", "500", "503", "stream")),
    "early": dict.fromkeys(("000", "600")),
}


@pytest.fixture(scope="module")
def services(tmp_path_factory):
    """The instance and the pairs of targets by the path of their service."""
    paths = [f"{table}/{case}/" for table in TABLES for case in TABLES[table]]
    directory = tmp_path_factory.mktemp("instances")
    with faulty_site.run_services(paths, directory) as services:
        yield services


@pytest.fixture
def call(services, request):
    """A function that sends a request and counts the targets it reached."""
    node, pairs = services
    pair = pairs[path := f"{request.param[0]}/{request.param[1]}/"]

    def fetch(route, script, request_id=None, **headers):
        key = request_id or faulty_site.make_request_id()
        for target in pair:
            target.script = script
        result = faulty_site.fetch(node, f"/{route}/{path}", key, **headers)
        arrived = [r.request_id for target in pair for r in target.requests]
        return key, *result, arrived.count(key)

    fetch.targets = pair
    return fetch


def each(table):
    return pytest.mark.parametrize(
        "call, case",
        [((table, name), case) for name, case in TABLES[table].items()],
        ids=list(TABLES[table]),
        indirect=["call"],
    )


@each("broken")
def test_broken_response_is_not_passed_on(call, case):
    """Guards against a mixed or partial response, whatever its head says."""

    def script(request):
        yield from case(request.request_id)
        yield None

    results = {}
    counts = {"ask": 2, "once": 1, "tell": 2, "show": 1}
    for route in counts:
        _, status, data, _, count = call(route, script)
        results[route] = status, data if status == 200 else b"", count
    assert results == {route: (502, b"", counts[route]) for route in counts}


@pytest.mark.parametrize(
    "call, status",
    [(("early", status), status) for status in TABLES["early"]],
    indirect=["call"],
    ids=list(TABLES["early"]),
)
def test_invalid_status_before_the_body_is_not_passed_on(call, status):
    """Guards against a status that is none while a body is being sent."""

    def script(request):
        response = samples.framed(request.request_id)
        yield response.replace(b"200", status.encode(), 1)
        yield samples.PAUSE
        yield None

    for target in call.targets:
        target.reads_later = True
    for route, count in (("ask", 2), ("once", 1)):
        _, answer, _, _, attempts = call(route, script, data=b"x" * 60_000)
        assert (answer, attempts) == (502, count)


@each("sound")
def test_sound_response_is_passed_on(call, case):
    """Guards against a parser that is stricter than the protocol."""

    def script(request):
        yield from case(request.request_id)
        yield None

    for route in ("ask", "once"):
        key, *result = call(route, script)
        assert result == [200, samples.body(key), True, 1]


@each("streams")
def test_broken_stream_resumes_or_is_incomplete(call, case):
    """Guards against a stream with events of another response, or partial."""

    def script(request):
        key = request.request_id
        if last := request.headers.get("last-event-id"):
            yield samples.stream(key, *range(int(last) + 1, 5))
        else:
            yield from case(key)
        yield None

    resumed, *result = call("tell", script)
    cut, *other_result = call("show", script)
    assert result == [200, samples.events(resumed, 1, 2, 3, 4), True, 2]
    assert other_result == [200, samples.events(cut, 1, 2), False, 1]


@each("resumed")
def test_resumed_stream_has_no_events_of_another_response(call, case):
    """Guards against a second response within a resumed stream."""

    def script(request):
        key = request.request_id
        if "last-event-id" in request.headers:
            yield from case(key)
        else:
            yield samples.stream(key, 1, 2)[: -len(samples.END)]
            yield samples.PAUSE
        yield None

    key, *result = call("tell", script)
    assert result == [200, samples.events(key, 1, 2), False, 2]


@pytest.mark.parametrize(
    "call, pause",
    [(("sound", "unframed"), 0.0), (("sound", "unframed-slow"), 0.4)],
    indirect=["call"],
    ids=["fast", "slow"],
)
def test_sound_stream_without_chunks_is_complete(call, pause):
    """Guards against a close that never counts as the end of a stream."""

    def script(request):
        yield faulty_target.make_head(request.request_id, **samples.STREAM)
        for number in (1, 2, 3, 4):
            yield pause
            yield samples.events(request.request_id, number)
        yield None

    for route in ("tell", "show"):
        key, *result = call(route, script)
        assert result == [200, samples.events(key, 1, 2, 3, 4), True, 1]


@each("kept")
def test_bytes_between_responses_belong_to_none(call, case):
    """Guards against a late copy as the response to the next request."""
    firsts = {}

    def script(request):
        response = samples.framed(request.request_id)
        connection = request.target, request.connection
        first, later = case(firsts.setdefault(connection, response))
        if request.position == 1:
            yield from first
        else:
            yield from (*later, response)

    for _ in range(6):
        key, status, data, _, _ = call("ask", script)
        assert (status, data) == (200, samples.body(key)) or status == 502


@pytest.mark.parametrize(
    "call, status",
    [(("repeated", str(status)), status) for status in (200, 404, 500, 503)],
    indirect=["call"],
    ids=["success", "not-found", "error", "rejection"],
)
def test_late_copy_is_no_response_to_a_repeated_request(call, status):
    """Guards against a copy of the first response as that to a repetition."""

    def script(request):
        connection = request.target, request.connection
        texts.append(b"text %d" % len(texts))
        if copy := copies.get(connection):
            yield from (copy, samples.PAUSE)
        options = {"Not_Run": 1} if status == 503 else {}
        response = samples.framed(key, status, texts[-1], **options)
        if len(texts) > 8:
            response = samples.framed(key, text=texts[-1])
        copies[connection] = response
        yield response

    copies = {}
    texts = []
    key = faulty_site.make_request_id()
    for _ in range(12):
        _, answer, data, _, _ = call("ask", script, key)
        assert data == texts[-1] or answer == 503


@pytest.mark.parametrize(
    "call", [("repeated", "stream")], indirect=True, ids=["stream"]
)
def test_late_copy_of_a_stream_is_no_response_to_its_resumption(call):
    """Guards against events of an earlier run in a resumed stream."""
    copies = {}

    def script(request):
        connection = request.target, request.connection
        runs.append(f"{key}/{len(runs)}")
        if copy := copies.get(connection):
            yield from (copy, samples.PAUSE)
        start = int(request.headers.get("last-event-id", "0")) + 1
        data = samples.stream(runs[-1], *range(start, 5))
        data = data.replace(f"Id: {runs[-1]}".encode(), f"Id: {key}".encode())
        copies[connection] = data
        yield data

    runs = []
    key = faulty_site.make_request_id()
    call("tell", script, key)
    for _ in range(4):
        _, *result, _ = call("tell", script, key, Last_Event_Id=2)
        assert result == [200, samples.events(runs[-1], 3, 4), True]
