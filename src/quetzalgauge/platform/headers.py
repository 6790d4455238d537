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
_LAST_EVENT = "Last-Event-Id"
_EXPECTED_TARGET = "Expect-Instance"
_TARGET = "Instance-Id"
_NOT_RUN = "Not-Run"
_MODEL = "Model"
_TOKENS = "Token-Counts"
_PRIORITY = "Request-Priority"
_RETRY_AFTER = "Retry-After"

# Set by the system only. What a caller sends under these names is dropped.
_SYSTEM_ONLY = frozenset(
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
_HOP_BY_HOP = frozenset(
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
_NUMBER = re.compile(r"[0-9]{1,12}\Z")

Headers = Iterable[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the headers of a target's answer say.

    Attributes:
        status: HTTP status.
        request_id: The request that is answered, None if not said.
        not_run: Whether the target states that it did not run the request.
        target: The target that answered, if it says so.
    """

    status: int
    request_id: str | None
    not_run: bool
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
    patience = _integer(found, _DEADLINE)
    model, _, adapter = found.get(_MODEL.lower(), "").partition("/")
    prompt, output = _token_counts(found.get(_TOKENS.lower(), ""))
    return requests.Head(
        ids.RequestId(found.get(_REQUEST_ID.lower(), "")),
        found.get("host", ""),
        path,
        None if patience is None else datetime.timedelta(milliseconds=patience),
        ids.ModelName(model) if model else None,
        ids.AdapterName(adapter) if adapter else None,
        prompt,
        output,
        found.get(_LAST_EVENT.lower(), ""),
    )


def _integer(found: Mapping[str, str], name: str) -> int | None:
    value = found.get(name.lower())
    if value is None:
        return None
    if not _NUMBER.match(value):
        raise exceptions.DecodeError(f"{name} is no number")
    return int(value)


def _token_counts(value: str) -> tuple[int, int]:
    prompt, _, output = value.partition(",")
    if _NUMBER.match(prompt.strip()) and _NUMBER.match(output.strip()):
        return int(prompt), int(output)
    return 0, 0


def forwarded(headers: Headers) -> Iterator[tuple[str, str]]:
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
            lower in _HOP_BY_HOP
            or lower in _SYSTEM_ONLY
            or lower in named
            or lower == _LAST_EVENT.lower()
        ):
            continue
        yield name, value


def added(
    target: ids.TargetId,
    left: datetime.timedelta,
    resume_after: str,
    rank: int | None,
) -> Iterator[tuple[str, str]]:
    """Returns the headers that the system adds for a target.

    Args:
        target: The only target that may run the request.
        left: Time that is left for the answer.
        resume_after: Event id after which a stream goes on, or empty.
        rank: Priority, 0 to 9, where 0 is the most urgent, or None.
    """
    yield _EXPECTED_TARGET, target
    yield _DEADLINE, str(max(1, int(left.total_seconds() * 1000)))
    if resume_after:
        yield _LAST_EVENT, resume_after
    if rank is not None:
        yield _PRIORITY, str(rank)


def decode_answer(status: int, headers: Mapping[str, str]) -> AnswerHead:
    """Returns what the headers of an answer say."""
    return AnswerHead(
        status,
        headers.get(_REQUEST_ID),
        headers.get(_NOT_RUN) is not None or status == 421,
        headers.get(_TARGET),
    )


def returned(headers: Headers) -> Iterator[tuple[str, str]]:
    """Returns the headers of a target's answer that the caller gets."""
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP:
            yield name, value


def of_refusal(
    request_id: str, retry_after: datetime.timedelta | None
) -> Iterator[tuple[str, str]]:
    """Returns the headers of an answer of the system itself."""
    if request_id:
        yield _REQUEST_ID, request_id
    if retry_after is not None:
        yield _RETRY_AFTER, f"{max(0.0, retry_after.total_seconds()):.2f}"
