"""A real entry process with a scripted target and a fake control process."""

import entry_fakes
import pytest

pytestmark = pytest.mark.process


@pytest.fixture
def targets():
    made = [entry_fakes.FakeTarget("lm-1"), entry_fakes.FakeTarget("lm-2")]
    yield made
    for target in made:
        target.stop()


@pytest.fixture
def started(tmp_path, targets):
    def set_up(control):
        control.add_model("m", *targets)
        control.add_model("single", targets[0])
        control.add_model("cold")
        control.add_adapter("loft", "m")
        control.add_service("desk", *targets)
        control.add_service("one", targets[0])

    with entry_fakes.system(tmp_path, set_up) as (entry, control):
        yield entry, control
    assert "Traceback" not in entry.log


def test_completion_reaches_target_and_comes_back(started, targets):
    """Guards against a lost body, id or model name on the way."""
    entry, _ = started
    targets[0].default = targets[1].default = entry_fakes.answer(
        body=b'{"text": "hello"}'
    )
    reply = entry.complete("m@v1", prompt="p", headers={"X-Request-Id": "r1"})
    assert (reply.status, reply.json) == (200, {"text": "hello"})
    assert reply.headers["X-Request-Id"] == "r1"
    seen = targets[0].received + targets[1].received
    assert [one.document for one in seen] == [{"model": "m", "prompt": "p"}]
    assert seen[0].headers["x-request-id"] == "r1"


def test_stream_is_passed_on_whole(started, targets):
    """Guards against lost, doubled or reordered events."""
    entry, _ = started
    targets[0].default = entry_fakes.stream(20)
    reply = entry.complete("single", stream=True)
    events = b"".join(entry_fakes.event(one) for one in range(1, 21))
    assert reply.body == events + entry_fakes.DONE


def test_models_are_listed(started):
    """Guards against adapters or models missing from the list."""
    entry, _ = started
    names = [one["id"] for one in entry.call("GET", "/v1/models").json["data"]]
    assert names == ["cold", "loft", "m", "seen", "single"]


def test_plain_service_gets_path_query_headers_and_body(started, targets):
    """Guards against changes to a call on its way to a plain service."""
    entry, _ = started
    targets[0].default = entry_fakes.answer(201, b"made", media="text/plain")
    reply = entry.call(
        "POST", "/services/one/a%20b?x=1", b"body", {"X-Other": "y"}
    )
    assert (reply.status, reply.body) == (201, b"made")
    (received,) = targets[0].received
    assert (received.method, received.path) == ("POST", "/a%20b?x=1")
    assert (received.body, received.headers["x-other"]) == (b"body", "y")


@pytest.mark.parametrize(
    ("call", "status", "code"),
    [
        (("POST", "/v1/completions", b"{"), 400, "bad_request"),
        (("POST", "/v1/completions", b'{"model": 1}'), 400, "bad_request"),
        (("POST", "/v1/completions", b'{"model": "x"}'), 404, "unknown_model"),
        (("GET", "/services/x/y", None), 404, "unknown_service"),
        (("POST", "/services/one/", b"x" * 1_100_000), 413, "body_too_large"),
    ],
)
def test_refusals_have_code_and_retry_after(started, call, status, code):
    """Guards against undocumented refusals."""
    entry, _ = started
    reply = entry.call(*call)
    assert (reply.status, reply.code, reply.run) == (status, code, "not_run")
    assert int(reply.headers["Retry-After"]) >= 1
    assert reply.json["error"]["request_id"]
