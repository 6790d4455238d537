"""Load driver: bounded load against entry instances, and its report.

Also has the caller's side of the protocol (`call_model`, `call_service`), which
checks that an answer is whole and belongs to its request.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools
import json
import statistics
import threading
import time
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeAlias
import uuid

import cyclopts
import urllib3

from quetzalgauge import standin_engine

_CONNECT_TIMEOUT_SECONDS = 5
_SILENCE_TIMEOUT_SECONDS = 120
_MAX_COUNT = 100_000
_MAX_WORKERS = 500
_MAX_SECONDS = 600
_DEFAULT_DEADLINE_MS = 60_000


@dataclasses.dataclass(slots=True)
class Result:
    """What a caller got for one request.

    Attributes:
        kind: `whole`, `refused` (an answer with a refusal code), `wrong` (an
            answer that is not the right one) or `broken` (no answer or only a
            part of one).
        code: The refusal code, or what was wrong.
        run: `run` of a refusal, else empty.
        first_token_s: Seconds to the first token, or to the whole answer.
        gaps_s: Seconds between tokens.
    """

    request_id: str
    kind: Literal["whole", "refused", "wrong", "broken"]
    status: int = 0
    code: str = ""
    run: str = ""
    text: str = ""
    body: Any = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    first_token_s: float = 0.0
    total_s: float = 0.0
    gaps_s: list[float] = dataclasses.field(default_factory=list)


def make_pool(size: int = 100) -> urllib3.PoolManager:
    """Returns a connection pool that never repeats a request by itself."""
    return urllib3.PoolManager(
        retries=False,
        maxsize=size,
        timeout=urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_SECONDS, read=_SILENCE_TIMEOUT_SECONDS
        ),
    )


def call_model(
    pool: urllib3.PoolManager,
    entry: str,
    model: str,
    prompt: str,
    tokens: int = 16,
    stream: bool = True,
    headers: dict[str, str] | None = None,
) -> Result:
    """Sends one chat completion to an entry process at HOST:PORT."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    url = f"http://{entry}/v1/chat/completions"

    def finish(answer: urllib3.BaseHTTPResponse, result: Result) -> None:
        if stream:
            _read_stream(answer, result)
        else:
            result.body = json.loads(answer.data)
            result.text = result.body["choices"][0]["message"]["content"]
        expected = standin_engine.expected_text(body, tokens)
        if result.kind == "whole" and result.text != expected:
            result.kind, result.code = "wrong", "other_text"

    return _call(pool, "POST", url, body, headers, finish)


def call_service(
    pool: urllib3.PoolManager,
    entry: str,
    service: str,
    path: str,
    body: dict[str, Any] | None,
    method: str = "POST",
    headers: dict[str, str] | None = None,
) -> Result:
    """Sends one call to a plain service through an entry at HOST:PORT."""
    url = f"http://{entry}/services/{service}{path}"

    def finish(answer: urllib3.BaseHTTPResponse, result: Result) -> None:
        result.body = json.loads(answer.data)
        sent = (body or {}).get("booking", "")
        if result.body["booking"] != sent:
            result.kind, result.code = "wrong", "other_booking"

    return _call(pool, method, url, body, headers, finish)


_Finish: TypeAlias = Callable[[urllib3.BaseHTTPResponse, Result], None]


def _call(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    body: dict[str, Any] | None,
    headers: dict[str, str] | None,
    finish: _Finish,
) -> Result:
    fields = {"X-Request-Id": uuid.uuid4().hex, **(headers or {})}
    if body is not None:
        fields["Content-Type"] = "application/json"
    result = Result(fields["X-Request-Id"], "whole")
    start = time.monotonic()
    answer = None
    try:
        answer = pool.request(
            method,
            url,
            body=None if body is None else json.dumps(body).encode(),
            headers=fields,
            preload_content=False,
        )
        result.status = answer.status
        result.headers = dict(answer.headers)
        _check_answer(answer, result, finish)
        answer.release_conn()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        result.kind, result.code = "broken", type(error).__name__
    except (ValueError, KeyError, TypeError, IndexError) as error:
        result.kind, result.code = "wrong", f"{type(error).__name__}: {error}"
    if result.kind != "whole" and answer is not None:
        answer.close()
    result.total_s = time.monotonic() - start
    if result.first_token_s:
        result.first_token_s -= start
    else:
        result.first_token_s = result.total_s
    return result


def _check_answer(
    answer: urllib3.BaseHTTPResponse, result: Result, finish: _Finish
) -> None:
    returned = answer.headers.get("X-Request-Id", "")
    if answer.status != 200:
        result.body = json.loads(answer.data)
        result.kind = "refused"
        result.code = result.body["error"]["code"]
        result.run = result.body["error"]["run"]
        returned = returned or result.body["error"]["request_id"]
    else:
        finish(answer, result)
    if returned != result.request_id:
        result.kind, result.code = "wrong", "other_request_id"


def _read_stream(answer: urllib3.BaseHTTPResponse, result: Result) -> None:
    last = 0.0
    for data in _read_events(answer):
        now = time.monotonic()
        if data == "[DONE]":
            return
        value = json.loads(data)
        if "error" in value:
            result.kind = "refused"
            result.code = value["error"]["code"]
            result.run = value["error"]["run"]
            return
        result.text += value["choices"][0]["delta"]["content"]
        if last:
            result.gaps_s.append(now - last)
        else:
            result.first_token_s = now
        last = now
    raise urllib3.exceptions.ProtocolError("stream without its end marker")


def _read_events(answer: urllib3.BaseHTTPResponse) -> Iterator[str]:
    """Yields the data of each server-sent event."""
    rest = b""
    for chunk in answer.stream(65536):
        rest += chunk
        *events, rest = rest.split(b"\n\n")
        for event in events:
            for line in event.split(b"\n"):
                if line.startswith(b"data:"):
                    yield line[5:].strip().decode()


# ---- Load ------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A bounded load.

    Attributes:
        kind: `streams`: each worker sends one request after another; `bursts`:
            all workers start a request at the same time, then all wait;
            `bookings`: as `streams`, to a plain service.
        names: Models or services, used in turn.
        count: Largest number of requests.
        seconds: No request starts after this time.
    """

    entries: tuple[str, ...]
    kind: Literal["streams", "bursts", "bookings"]
    names: tuple[str, ...]
    count: int
    workers: int
    seconds: float
    tokens: int
    deadline_ms: int
    path: str = "/bookings"


def run(plan: Plan) -> list[Result]:
    """Sends the load and returns every result."""
    pool = make_pool(plan.workers)
    results: list[Result] = []
    numbers = itertools.count()
    barrier = threading.Barrier(plan.workers) if plan.kind == "bursts" else None
    end = time.monotonic() + plan.seconds

    def work() -> None:
        while True:
            if barrier is not None:
                try:
                    barrier.wait(plan.seconds)
                except threading.BrokenBarrierError:
                    return
            number = next(numbers)
            if number >= plan.count or time.monotonic() >= end:
                if barrier is not None:
                    barrier.abort()
                return
            results.append(_send(pool, plan, number))

    threads = [threading.Thread(target=work) for _ in range(plan.workers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def _send(pool: urllib3.PoolManager, plan: Plan, number: int) -> Result:
    entry = plan.entries[number % len(plan.entries)]
    name = plan.names[number % len(plan.names)]
    headers = {"X-Deadline-Ms": str(plan.deadline_ms)}
    if plan.kind == "bookings":
        body = {"booking": uuid.uuid4().hex}
        return call_service(pool, entry, name, plan.path, body, headers=headers)
    prompt = f"request {number}"
    return call_model(pool, entry, name, prompt, plan.tokens, headers=headers)


def summarise(results: list[Result]) -> dict[str, Any]:
    """Returns counts, refusal codes and latencies in seconds."""
    kinds = collections.Counter(result.kind for result in results)
    codes = collections.Counter(
        f"{result.kind}:{result.code}" for result in results if result.code
    )
    whole = [result for result in results if result.kind == "whole"]
    return {
        "requests": len(results),
        "whole": kinds["whole"],
        "refused": kinds["refused"],
        "wrong": kinds["wrong"],
        "broken": kinds["broken"],
        "codes": dict(sorted(codes.items())),
        "tokens": sum(1 + len(result.gaps_s) for result in whole),
        "first_token_s": _quantiles([r.first_token_s for r in whole]),
        "between_tokens_s": _quantiles([g for r in whole for g in r.gaps_s]),
    }


def _quantiles(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    if len(values) == 1:
        values = values * 2
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return {
        "p50": round(cuts[49], 4),
        "p95": round(cuts[94], 4),
        "p99": round(cuts[98], 4),
        "max": round(max(values), 4),
    }


def load(
    *,
    entries: Annotated[list[str], cyclopts.Parameter(negative=())],
    names: Annotated[list[str], cyclopts.Parameter(negative=())],
    kind: Literal["streams", "bursts", "bookings"] = "streams",
    count: int = 100,
    workers: int = 8,
    seconds: float = 30,
    tokens: int = 16,
    deadline_ms: int = _DEFAULT_DEADLINE_MS,
    path: str = "/bookings",
    json_output: Annotated[
        bool, cyclopts.Parameter(name="--json", negative=())
    ] = False,
) -> int:
    """Send a bounded load to entry processes and print what came back.

    Exit status 0 if every answer was whole or an honest refusal, else 1.

    For example:

    `quetzalgauge-standin load --entries 127.0.0.1:8001 --names m --json`

    Args:
        entries: HOST:PORT of an entry process; repeat it for more.
        names: Model or, for bookings, service; repeat it for more.
        kind: Streams, bursts of streams, or bookings.
        count: Largest number of requests, at most 100000.
        workers: Requests at the same time, at most 500.
        seconds: No request starts after this time, at most 600.
        tokens: Tokens of each answer.
        deadline_ms: Deadline of each request.
        path: Path of bookings.
        json_output: Print one JSON object.
    """
    plan = Plan(
        entries=tuple(entries),
        kind=kind,
        names=tuple(names),
        count=min(count, _MAX_COUNT),
        workers=max(1, min(workers, _MAX_WORKERS)),
        seconds=min(seconds, _MAX_SECONDS),
        tokens=tokens,
        deadline_ms=deadline_ms,
        path=path,
    )
    report = summarise(run(plan))
    if json_output:
        print(json.dumps(report))
    else:
        _print_report(report)
    return 0 if not report["wrong"] and not report["broken"] else 1


def _print_report(report: dict[str, Any]) -> None:
    for name, value in report.items():
        if isinstance(value, dict):
            text = ", ".join(f"{key} {value[key]}" for key in value) or "none"
        else:
            text = str(value)
        print(f"{name.replace('_', ' '):18} {text}")
