"""Headers of callers' requests and of targets' answers."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import datetime
import re

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge.core import requests

_REQUEST_ID = "Request-Id"
_DEADLINE = "Deadline-Ms"
_LAST_EVENT_ID = "Last-Event-Id"
_EXPECTED_TARGET = "Expect-Instance"
_TARGET = "Instance-Id"
_NOT_RUN = "Not-Run"
_MODEL = "Model"
_TOKEN_COUNTS = "Token-Counts"
_PRIORITY = "Request-Priority"
_RETRY_AFTER = "Retry-After"

# Set by the system only. What a caller sends under these names is dropped.
_SYSTEM_HEADERS = frozenset(
    {
        "deadline-ms",
        "expect-instance",
        "expect-version",
        "hold",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "pin-ms",
        "request-priority",
    }
)
# These concern one connection, or are set for each connection anew.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NUMBER_PATTERN = re.compile(r"[0-9]{1,12}\Z")

Headers = Iterable[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """What the headers of a target's answer say.

    Attributes:
        status: HTTP status.
        request_id: The request that is answered, None if not said.
        is_rejection: Whether the target states that it did not run the request.
        target: The target that answered, if it says so.
    """

    status: int
    request_id: str | None
    is_rejection: bool
    target: str | None


def decode_request(headers: Headers, path: str) -> requests.Head:
    """Returns what the core needs to know of a request.

    Args:
        headers: All headers of the request.
        path: The path without the query.

    Raises:
        exceptions.DecodeError: A header has no valid value.
    """
    found: dict[str, str] = {}
    for name, value in headers:
        found.setdefault(name.lower(), value.strip())
    patience = _get_integer(found, _DEADLINE)
    model, _, adapter = found.get(_MODEL.lower(), "").partition("/")
    prompt, output = _parse_token_counts(found.get(_TOKEN_COUNTS.lower(), ""))
    return requests.Head(
        ids.RequestId(found.get(_REQUEST_ID.lower(), "")),
        found.get("host", ""),
        path,
        None if patience is None else datetime.timedelta(milliseconds=patience),
        ids.ModelName(model) if model else None,
        ids.AdapterName(adapter) if adapter else None,
        prompt,
        output,
        found.get(_LAST_EVENT_ID.lower(), ""),
    )


def _get_integer(values: Mapping[str, str], name: str) -> int | None:
    value = values.get(name.lower())
    if value is None:
        return None
    if not _NUMBER_PATTERN.match(value):
        raise exceptions.DecodeError(f"{name} is no number")
    return int(value)


def _parse_token_counts(value: str) -> tuple[int, int]:
    prompt, _, output = value.partition(",")
    if _NUMBER_PATTERN.match(prompt.strip()) and _NUMBER_PATTERN.match(
        output.strip()
    ):
        return int(prompt), int(output)
    return 0, 0


def filter_request_headers(headers: Headers) -> Iterator[tuple[str, str]]:
    """Returns the caller's headers that a target gets unchanged.

    Headers that the caller's Connection header names are left out too.
    """
    rows = list(headers)
    named = {
        part.strip().lower()
        for name, value in rows
        if name.lower() == "connection"
        for part in value.split(",")
    }
    for name, value in rows:
        lower = name.lower()
        if (
            lower in _HOP_BY_HOP_HEADERS
            or lower in _SYSTEM_HEADERS
            or lower in named
            or lower == _LAST_EVENT_ID.lower()
        ):
            continue
        yield name, value


def make_system_headers(
    target: ids.TargetId,
    time_left: datetime.timedelta,
    resume_after: str,
    priority: int | None,
) -> Iterator[tuple[str, str]]:
    """Returns the headers that the system adds for a target.

    Args:
        target: The only target that may run the request.
        time_left: Time that is left for the answer.
        resume_after: Event id after which a stream goes on, or empty.
        priority: Priority, 0 to 9, where 0 is the most urgent, or None.
    """
    yield _EXPECTED_TARGET, target
    yield _DEADLINE, str(max(1, int(time_left.total_seconds() * 1000)))
    if resume_after:
        yield _LAST_EVENT_ID, resume_after
    if priority is not None:
        yield _PRIORITY, str(priority)


def decode_response(status: int, headers: Mapping[str, str]) -> ResponseHead:
    """Returns what the headers of an answer say."""
    return ResponseHead(
        status,
        headers.get(_REQUEST_ID),
        headers.get(_NOT_RUN) is not None or status == 421,
        headers.get(_TARGET),
    )


def filter_response_headers(headers: Headers) -> Iterator[tuple[str, str]]:
    """Returns the headers of a target's answer that the caller gets."""
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP_HEADERS:
            yield name, value


def make_refusal_headers(
    request_id: str, retry_after: datetime.timedelta | None
) -> Iterator[tuple[str, str]]:
    """Returns the headers of an answer of the system itself."""
    if request_id:
        yield _REQUEST_ID, request_id
    if retry_after is not None:
        yield _RETRY_AFTER, f"{max(0.0, retry_after.total_seconds()):.2f}"
