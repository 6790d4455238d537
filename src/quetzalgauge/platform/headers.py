"""Headers of callers' requests and of targets' responses."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import datetime
import re

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge.core import prompt_quarantine
from quetzalgauge.core import requests

_REQUEST_ID = "Request-Id"
_DEADLINE = "Deadline-Ms"
_LAST_EVENT_ID = "Last-Event-Id"
_RESUMES = "Resumes"
_EXPECTED_TARGET = "Expect-Instance"
_TARGET = "Instance-Id"
_NOT_RUN = "Not-Run"
_MODEL = "Model"
_TOKEN_COUNTS = "Token-Counts"
_PRIORITY = "Request-Priority"
_RETRY_AFTER = "Retry-After"
_STAMP = "Response-Stamp"
_LEAVING = "Server-Leaving"
_PROMPT_PREFIX = "Prompt-Prefix"

# Only the system may set these; they are dropped from a caller's request. A
# caller could otherwise choose its target or priority, or reserve capacity.
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
# These describe a single connection, or are set again for each connection.
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
# Lines that targets add to the events of a stream.
EVENT_FIELDS = frozenset({"weight-versions"})
# These identify a response; one with two of them belongs to nobody.
_UNIQUE_RESPONSE_HEADERS = (_REQUEST_ID, _STAMP, _NOT_RUN, _TARGET)
# A status line, or the beginning of one at the end of the data.
_STATUS_LINE_PATTERN = re.compile(
    rb"HTTP/(?:1\.[01] [1-5][0-9]{2}(?: [^\r\n]{0,64})?\r\n"
    rb"|1\.[01] [1-5][0-9]{2}(?: [A-Za-z ]*)?\r?\Z"
    rb"|1\.[01] [0-9]{0,2}\Z)"
)
# A status line and what can follow it in a head.
_HEAD_START_PATTERN = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n/]*)?\r?\n"
    rb"(?:[!#-'*+.^-z|~0-9A-Z-]*(?::|\Z)|\r?\n)"
)
_HEADER_LINE_PATTERN = re.compile(rb"([!#-'*+.^-z|~0-9A-Z-]+):[^\r\n]*\r\n")
_PROMPT_PART_PATTERN = re.compile(
    rf"([0-9A-Fa-f]{{1,{prompt_quarantine.MAX_PART_LENGTH}}}):[0-9]{{1,12}}\Z"
)
_PARTIAL_LINE_PATTERN = re.compile(
    rb"(?:[!#-'*+.^-z|~0-9A-Z-]+(?::[^\r\n]*)?)?\r?\Z"
)

Headers = Iterable[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's response that the system evaluates.

    Attributes:
        status: HTTP status.
        request_id: Id of the request in the response, None if absent.
        is_rejection: Whether the target states that it did not run the request.
        is_malformed: Whether the head contradicts itself or is no final
            response, so that nothing it says can be relied on.
        target: Id of the target that responded, None if absent.
        is_leaving: Whether the target states that it will terminate.
    """

    status: int
    request_id: str | None
    is_rejection: bool
    is_malformed: bool
    target: str | None
    is_leaving: bool = False


def decode_request(headers: Headers, path: str) -> requests.Head:
    """Returns the part of a request's head that the core uses.

    Args:
        headers: All headers of the request.
        path: The path without the query.

    Raises:
        exceptions.DecodeError: The deadline is not a number.
    """
    values: dict[str, str] = {}
    prompt_parts: list[str] = []
    for name, value in headers:
        values.setdefault(name.lower(), value.strip())
        if name.lower() == _PROMPT_PREFIX.lower() and value.strip():
            prompt_parts.append(value)
    timeout_ms = _get_integer(values, _DEADLINE)
    model, _, adapter = values.get(_MODEL.lower(), "").partition("/")
    prompt_tokens, output_tokens = _parse_token_counts(
        values.get(_TOKEN_COUNTS.lower(), "")
    )
    return requests.Head(
        ids.RequestId(values.get(_REQUEST_ID.lower(), "")),
        values.get("host", ""),
        path,
        (
            None
            if timeout_ms is None
            else datetime.timedelta(milliseconds=timeout_ms)
        ),
        ids.ModelName(model) if model else None,
        ids.AdapterName(adapter) if adapter else None,
        prompt_tokens,
        output_tokens,
        values.get(_LAST_EVENT_ID.lower(), ""),
        # A list may be split into several lines.
        *_parse_prompt_parts(",".join(prompt_parts)),
        resumes=ids.RequestId(values.get(_RESUMES.lower(), "")),
    )


def _get_integer(values: Mapping[str, str], name: str) -> int | None:
    value = values.get(name.lower())
    if value is None:
        return None
    if not _NUMBER_PATTERN.match(value):
        raise exceptions.DecodeError(f"header {name} is not a number")
    return int(value)


def _parse_token_counts(value: str) -> tuple[int, int]:
    prompt, _, output = value.partition(",")
    if _NUMBER_PATTERN.match(prompt.strip()) and _NUMBER_PATTERN.match(
        output.strip()
    ):
        return int(prompt), int(output)
    return 0, 0


def _parse_prompt_parts(
    value: str,
) -> tuple[tuple[ids.PromptPart, ...], ids.PromptPart | None]:
    """Returns the ids of a prompt's parts: those before the last, and the last.

    A malformed value has no parts, which is no error: targets judge the header
    themselves.
    """
    if not value:
        return (), None
    parts: dict[ids.PromptPart, None] = {}
    last = None
    for item in value.split(","):
        match = _PROMPT_PART_PATTERN.match(item.strip())
        if match is None:
            return (), None
        last = ids.PromptPart(match[1].lower())
        if len(parts) < prompt_quarantine.MAX_PARTS_PER_REQUEST:
            parts[last] = None
    return tuple(part for part in parts if part != last), last


def filter_request_headers(headers: Headers) -> Iterator[tuple[str, str]]:
    """Returns the caller's headers that are forwarded unchanged to a target.

    Drops hop-by-hop headers, also those that the caller's Connection header
    names, and headers that the system sets itself.
    """
    pairs = list(headers)
    connection_options = {
        option.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for option in value.split(",")
    }
    for name, value in pairs:
        lower_name = name.lower()
        if (
            lower_name in _HOP_BY_HOP_HEADERS
            or lower_name in _SYSTEM_HEADERS
            or lower_name in connection_options
            or lower_name == _LAST_EVENT_ID.lower()
        ):
            continue
        yield name, value


def make_system_headers(
    target: ids.TargetId,
    time_left: datetime.timedelta,
    resume_after: str,
    priority: int | None,
) -> Iterator[tuple[str, str]]:
    """Returns the headers that the system adds to a request to a target.

    Args:
        target: The only target that may run the request.
        time_left: Time in which the target may work on the request.
        resume_after: Id of the last event that the caller received, after
            which the stream resumes, or empty.
        priority: Priority from 0 to 9, where 0 is the most urgent, or None.
    """
    yield _EXPECTED_TARGET, target
    yield _DEADLINE, str(max(1, int(time_left.total_seconds() * 1000)))
    if resume_after:
        yield _LAST_EVENT_ID, resume_after
    if priority is not None:
        yield _PRIORITY, str(priority)


def decode_response(status: int, headers: Headers) -> ResponseHead:
    """Returns what the status and headers of a target's response say.

    A target that answers 421 (misdirected request) has not run the request,
    with or without a Not-Run header. A success has the target's stamp and
    cannot be a rejection; a status below 200 is no final response.
    """
    names: list[str] = []
    values: dict[str, str] = {}
    for name, value in headers:
        names.append(name.lower())
        values.setdefault(name.lower(), value)
    is_rejection = _NOT_RUN.lower() in values or status == 421
    is_success = 200 <= status < 300
    return ResponseHead(
        status,
        values.get(_REQUEST_ID.lower()),
        is_rejection,
        status < 200
        or (is_rejection and status < 400)
        or (is_success and _STAMP.lower() not in values)
        or any(
            names.count(name.lower()) > 1 for name in _UNIQUE_RESPONSE_HEADERS
        ),
        values.get(_TARGET.lower()),
        is_leaving(headers),
    )


def is_leaving(headers: Headers) -> bool:
    """Returns whether a target states in a response that it will terminate."""
    return any(
        name.lower() == _LEAVING.lower() and value.strip() == "1"
        for name, value in headers
    )


def contains_response(
    body: bytes, rest: bytes = b"", is_framed: bool = True
) -> bool:
    """Returns whether another response of a target began within a body.

    A target that breaks off a response, or sends one that ends with the
    connection, may send the next one into it. A document that shows a whole
    response of another system is no such response: it lacks the request id.
    Only a body that ends with the connection can hold any response as a whole.

    Args:
        body: The body.
        rest: What was received after the body.
        is_framed: Whether the body has a length or chunks.
    """
    if not is_framed and _HEAD_START_PATTERN.search(body):
        return True
    request_id_name = _REQUEST_ID.lower().encode()
    data = body + rest
    start = data.find(b"HTTP/")
    while 0 <= start < len(body):
        position = start + 1
        match = _STATUS_LINE_PATTERN.match(data, start)
        if match is not None:
            position = match.end()
            while line := _HEADER_LINE_PATTERN.match(data, position):
                if line.group(1).lower() == request_id_name:
                    return True
                position = line.end()
            if _PARTIAL_LINE_PATTERN.match(data, position):
                # The head does not end within the data.
                return True
        # The lines of this head need no second look: one that begins within
        # them consists of the same lines.
        start = data.find(b"HTTP/", position)
    return False


def filter_response_headers(headers: Headers) -> Iterator[tuple[str, str]]:
    """Returns the headers of a target's response that the caller receives."""
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP_HEADERS:
            yield name, value


def make_refusal_headers(
    request_id: str, retry_after: datetime.timedelta | None
) -> Iterator[tuple[str, str]]:
    """Returns the headers of a response that the system itself generates."""
    if request_id:
        yield _REQUEST_ID, request_id
    if retry_after is not None:
        yield _RETRY_AFTER, f"{max(0.0, retry_after.total_seconds()):.2f}"
