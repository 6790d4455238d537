"""Tests an instance beside crowds of callers that do not behave.

It may refuse them or close their connections. It must not end, must keep to the
memory and the descriptors of its settings, and must answer another caller.
"""

import contextlib
import dataclasses
import functools
import http.client
import itertools
import os
import pathlib
import time

import caller_crowds
import faulty_site
import pytest

from quetzalgauge.platform import ingress
from quetzalgauge.platform import standin
from quetzalgauge.standins import faulty_target

pytestmark = [pytest.mark.process, pytest.mark.crowd]

MEMORY_MB = 80
MAX_DESCRIPTORS = 160
LIMITS = {"max_body_bytes": 2**21, "header_timeout_ms": 1000}
MAX_BODY_BYTES = LIMITS["max_body_bytes"]
# Bodies in many chunks are somewhat below the limit.
BODY_BYTES = 1_500_000

CROWD_SECONDS = 3.0
CLIENT_COUNT = 100
IDLE_CLIENT_COUNT = 150
STATUS_CLIENT_COUNT = 20
SAMPLE_SECONDS = 0.05
# For all attempts of an ordinary caller together.
ANSWER_SECONDS = 30.0
SLOWLY = 0.4
ANSWERED = "answered"

RESPONSE_BYTES = 1_500_000
STREAM_BLOCK = faulty_target.make_chunk(b"a" * 65_536)
STREAM_BLOCKS = 256
SERVICES = {"plain/": "plain", "buffered/": "buffered", "streams/": "streams"}
# Each has 16 slots.
TARGET_SIDES = "abcdefgh"


def make_head(*lines, path="/ask/plain/1", method="POST"):
    """Returns the head of a request; clients insert the request id."""
    return "\r\n".join(
        [
            f"{method} {path} HTTP/1.1",
            f"Host: {standin.HOST}",
            "Request-Id: crowd-%d",
            "Deadline-Ms: 5000",
            *lines,
            "\r\n",
        ]
    ).encode()


def make_chunks(size):
    return faulty_target.make_chunk(b"x" * size) * (BODY_BYTES // size)


CHUNKED = make_head("Transfer-Encoding: chunked", "Connection: close")
LAST_CHUNK = faulty_target.make_chunk(b"")
BLOCK = b"x" * 65_536
SHORT_LENGTH = make_head(f"Content-Length: {MAX_BODY_BYTES}")
SMALL_REQUEST = make_head("Content-Length: 1") % 0 + b"x"
LARGE_RESPONSE = make_head("Content-Length: 0", path="/ask/buffered/1")
STREAM = make_head("Content-Length: 0", path="/tell/streams/1")
# It is almost as long as the limit for headers allows.
HEADER_BLOCK = (
    make_head("Content-Length: 0")[:-2] % 0 + b"a:b\r\n" * 3000 + b"\r\n"
)
make_script = caller_crowds.Script
SLOW_READS = {"read_bytes": 64, "read_interval": SLOWLY}
NO_READS = {"read_bytes": 0}

SCRIPTS = {
    "chunks-of-1-byte": make_script(CHUNKED, make_chunks(1), LAST_CHUNK),
    "chunks-of-2-bytes": make_script(CHUNKED, make_chunks(2), LAST_CHUNK),
    "chunks-of-17-bytes": make_script(CHUNKED, make_chunks(17), LAST_CHUNK),
    "chunks-of-64-kb": make_script(CHUNKED, make_chunks(65_536), LAST_CHUNK),
    "one-chunk": make_script(
        CHUNKED, b"%x\r\n" % MAX_BODY_BYTES + b"x" * (MAX_BODY_BYTES - 1)
    ),
    "chunks-without-end": make_script(
        CHUNKED, rest=faulty_target.make_chunk(BLOCK)
    ),
    "length": make_script(SHORT_LENGTH, b"x" * (MAX_BODY_BYTES - 1)),
    "length-slow-end": make_script(
        SHORT_LENGTH,
        b"x" * (MAX_BODY_BYTES - 1000),
        rest=b"x",
        interval=SLOWLY,
    ),
    "length-over-limit": make_script(
        make_head("Content-Length: 99999999999"), rest=BLOCK
    ),
    "length-alone": make_script(SHORT_LENGTH),
    "trailers": make_script(
        CHUNKED, b"1\r\nx\r\n0\r\n", rest=b"a: b\r\n" * 10_000
    ),
    "trailers-slow": make_script(
        CHUNKED, b"1\r\nx\r\n0\r\n", rest=b"a: b\r\n", interval=SLOWLY
    ),
    "extensions": make_script(
        CHUNKED, rest=(b"1;" + b"e" * 4000 + b"\r\nx\r\n") * 16
    ),
    "header-lines-slow": make_script(
        make_head()[:-2], rest=b"a: b\r\n", interval=SLOWLY
    ),
    "half-head": make_script(make_head()[:-20]),
    "nothing": make_script(),
    "header-block": make_script(rest=HEADER_BLOCK),
    "pipelined": make_script(rest=SMALL_REQUEST * 100, **NO_READS),
    "responses-slow": make_script(LARGE_RESPONSE, **SLOW_READS),
    "responses-unread": make_script(LARGE_RESPONSE, **NO_READS),
    "streams-slow": make_script(STREAM, **SLOW_READS),
    "streams-unread": make_script(STREAM, **NO_READS),
    "no-route": make_script(
        make_head(f"Content-Length: {MAX_BODY_BYTES}", path="/nowhere/1"),
        b"x" * (MAX_BODY_BYTES - 1),
    ),
}
IDLE = ("length-alone", "header-lines-slow", "half-head", "nothing")


@pytest.fixture(scope="module")
def site():
    with faulty_site.run_site(SERVICES, **LIMITS) as site:
        yield site


@pytest.fixture(scope="module")
def targets(site):
    targets = [
        faulty_target.FaultyTarget(f"{service}-{side}", service, "zone-a")
        for service, side in itertools.product(SERVICES.values(), TARGET_SIDES)
    ]
    body = b"a" * RESPONSE_BYTES
    for target in targets:
        if target.name.startswith("plain"):
            target.script = echo
        elif target.name.startswith("buffered"):
            target.script = lambda r: faulty_target.make_response(r, body)
        else:
            target.script = send_stream
    yield targets
    for target in targets:
        target.close()


@pytest.fixture
def instance(site, targets, tmp_path):
    with faulty_site.run_instance(
        site, tmp_path, memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS
    ) as instance:
        faulty_site.add_targets(site, instance, targets)
        yield instance


def echo(request):
    return faulty_target.make_response(request, bytes(request.body))


def send_stream(request):
    yield faulty_target.make_stream_head(request)
    yield from itertools.repeat(STREAM_BLOCK, STREAM_BLOCKS)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What was seen of an instance.

    Attributes:
        lives: Whether its process has not ended.
        peak_mb: The largest memory of the process.
        descriptors: The largest number of its open descriptors.
        answers: The answers beside the crowd and after it.
    """

    lives: bool
    peak_mb: float
    descriptors: int
    answers: tuple[str, str]


def run_crowd(instance, address, scripts, count, ask):
    """Runs a crowd; returns the result, whose answers are those of `ask`."""
    directory = pathlib.Path(f"/proc/{instance.process.pid}")
    descriptors = 0
    crowd = caller_crowds.Crowd(address, scripts, count)
    try:
        end = time.monotonic() + CROWD_SECONDS
        while time.monotonic() < end:
            descriptors = max(descriptors, len(os.listdir(directory / "fd")))
            time.sleep(SAMPLE_SECONDS)
        crowd.hold()
        answer_beside = ask(instance)
    finally:
        crowd.close()
    answer_after = ask(instance)
    lives = instance.process.poll() is None
    status = (directory / "status").read_text()
    (line,) = [line for line in status.splitlines() if "VmHWM" in line]
    result = Result(
        lives,
        int(line.split()[1]) * 1024 / 1_000_000,
        descriptors,
        (answer_beside, answer_after),
    )
    print(result)
    return result


def check(result):
    assert result.lives
    assert result.answers == (ANSWERED, ANSWERED)
    assert result.peak_mb < MEMORY_MB
    assert result.descriptors < MAX_DESCRIPTORS


def ask_as_caller(instance):
    """Asks as a caller with a safe request; returns how that ended."""
    return repeat(
        lambda timeout: post(
            instance.address, [b"x"], {"Content-Length": "1"}, timeout
        ),
        b"x",
    )


def ask_status_ports(instance):
    """Asks the ports for readiness and for operators, and as a caller."""
    _, ready, _, operators = instance.ports
    for port, path in (
        (ready, ingress.READY_PATH),
        (operators, "/healthz"),
        (operators, "/metrics"),
    ):
        answer = repeat(functools.partial(get, port, path))
        if answer != ANSWERED:
            return f"{path}: {answer}"
    return ask_as_caller(instance)


def repeat(attempt, body=None):
    """Repeats an attempt as callers do whose request is safe.

    They do so after an error of the server and without a response.

    Args:
        attempt: Called with a timeout; returns status, headers and body.
        body: The body of the response, None for any.
    """
    deadline = time.monotonic() + ANSWER_SECONDS
    answer = None
    while (timeout := deadline - time.monotonic()) > 0:
        pause = SAMPLE_SECONDS
        try:
            status, headers, received = attempt(timeout)
        except (http.client.HTTPException, OSError) as error:
            answer = repr(error)
        else:
            if status == 200 and body in (None, received):
                return ANSWERED
            answer = f"{status} {received[:200]!r}"
            if status < 500:
                return answer
            pause = max(pause, float(headers.get("Retry-After", 0)))
        time.sleep(pause)
    return answer


def get(port, path, timeout):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    with contextlib.closing(connection):
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.headers, response.read()


def post(address, parts, headers, timeout):
    """Sends a request in parts; returns status, headers and body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    with contextlib.closing(connection):
        connection.putrequest("POST", "/ask/plain/1", skip_host=True)
        for name, value in {
            "Host": standin.HOST,
            "Request-Id": faulty_site.make_request_id(),
            "Deadline-Ms": str(int(timeout * 1000)),
            **headers,
        }.items():
            connection.putheader(name, value)
        connection.endheaders()
        for part in parts:
            connection.send(part)
        response = connection.getresponse()
        return response.status, response.headers, response.read()


@pytest.mark.parametrize("kind", SCRIPTS)
def test_callers_are_served_beside_a_crowd(instance, kind):
    """Guards against callers that exhaust an instance.

    One ended a process that took all of its memory.
    """
    count = IDLE_CLIENT_COUNT if kind in IDLE else CLIENT_COUNT
    check(
        run_crowd(
            instance, instance.address, [SCRIPTS[kind]], count, ask_as_caller
        )
    )


def test_callers_are_served_beside_a_crowd_that_leaves_and_returns(instance):
    """Guards against memory or descriptors that clients leave behind."""
    scripts = [
        dataclasses.replace(script, stay=0.3 + 0.1 * (number % 7))
        for number, script in enumerate(SCRIPTS.values())
    ]
    check(
        run_crowd(
            instance, instance.address, scripts, CLIENT_COUNT, ask_as_caller
        )
    )


@pytest.mark.parametrize("kind", ["header-lines-slow", "half-head", "nothing"])
@pytest.mark.parametrize("port", ["ready", "operators"])
def test_status_is_served_beside_a_crowd(instance, port, kind):
    """Guards against clients that take all threads of a status server."""
    number = {"ready": 1, "operators": 3}[port]
    script = SCRIPTS[kind]
    check(
        run_crowd(
            instance,
            ("127.0.0.1", instance.ports[number]),
            [script],
            STATUS_CLIENT_COUNT,
            ask_status_ports,
        )
    )


CHUNKED_HEADERS = {"Transfer-Encoding": "chunked"}
CALM_REQUESTS = {
    "chunks-of-1-byte": (
        CHUNKED_HEADERS,
        [faulty_target.make_chunk(b"x") * 200_000, LAST_CHUNK],
        b"x" * 200_000,
    ),
    "length-of-the-limit": (
        {"Content-Length": str(MAX_BODY_BYTES)},
        [b"x" * MAX_BODY_BYTES],
        b"x" * MAX_BODY_BYTES,
    ),
    "chunk-of-the-limit": (
        CHUNKED_HEADERS,
        [faulty_target.make_chunk(b"x" * MAX_BODY_BYTES), LAST_CHUNK],
        b"x" * MAX_BODY_BYTES,
    ),
    "trailers-and-an-extension": (
        CHUNKED_HEADERS,
        [b"3;name=value\r\nabc\r\n0;last\r\nA: b\r\nC: d\r\n\r\n"],
        b"abc",
    ),
}


@pytest.mark.parametrize("kind", CALM_REQUESTS)
def test_single_request_inside_the_limits_is_served(instance, kind):
    """Guards against bounds that refuse a sound request."""
    headers, parts, body = CALM_REQUESTS[kind]
    status, _, received = post(instance.address, parts, headers, ANSWER_SECONDS)
    assert (status, received) == (200, body)
