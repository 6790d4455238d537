"""Callers' HTTP requests: headers, bodies and what a target gets of them."""

import contextlib
import dataclasses
import datetime
import hashlib
import json
import re
from typing import Any
import uuid

from quetzalgauge import calls
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import refusals
from quetzalgauge import settings

MAX_DISCARDED_BYTES = 8 * 1_048_576
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
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
_COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
_SERVICES_PREFIX = "/services/"
_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_TOKEN = re.compile(r"[!-~]{1,128}\Z")
_KEY = re.compile(r"[ -~]{1,255}\Z")
_METHOD = re.compile(r"[A-Z]{1,20}\Z")
_PATH = re.compile(rb"/[!-~]*\Z")
_NAME = re.compile(r"[A-Za-z0-9._-]{1,100}\Z")
# Headers for the system itself, which targets do not get from callers.
_OWN_HEADERS = frozenset(
    {"idempotency-key", "last-event-id", "x-deadline-ms", "x-request-id"}
)
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_HEADER_VALUE = re.compile(r"[\t -~\x80-\xff]*\Z")


class BadRequestError(exceptions.QuetzalgaugeError):
    """A caller's request is not valid.

    Attributes:
        code: Code of the refusal.
    """

    def __init__(
        self,
        message: str,
        code: refusals.Code = refusals.Code.BAD_REQUEST,
    ) -> None:
        super().__init__(message)
        self.code = code


@dataclasses.dataclass(frozen=True, slots=True)
class Parsed:
    """A request for the core, and what a target gets."""

    request: calls.Request
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    document: dict[str, Any] | None = None


def is_valid_header(name: str, value: str) -> bool:
    """Whether a header may be passed on; rules out line breaks."""
    return bool(_HEADER_NAME.match(name) and _HEADER_VALUE.match(value))


def _header(req: Any, name: bytes) -> str | None:
    value = req.inheaders.get(name)
    return None if value is None else value.decode("latin-1").strip()


def parse_request_id(req: Any) -> ids.RequestId:
    """Returns the caller's request id, or a new one."""
    given = _header(req, b"X-Request-Id")
    if given is None:
        return ids.RequestId(uuid.uuid4().hex)
    if not _TOKEN.match(given):
        raise BadRequestError("X-Request-Id must be 1 to 128 visible letters")
    return ids.RequestId(given)


def parse_deadline(
    req: Any, config: settings.EntrySettings
) -> datetime.timedelta:
    """Returns the time that the caller gives, at most the maximum."""
    given = _header(req, b"X-Deadline-Ms")
    if given is None:
        return config.default_deadline
    if not given.isascii() or not given.isdigit() or len(given) > 12:
        raise BadRequestError("X-Deadline-Ms must be a number of milliseconds")
    wanted = datetime.timedelta(milliseconds=int(given))
    return min(wanted, config.max_deadline)


def parse_priority(req: Any) -> int | None:
    """Returns the priority of the header, or None."""
    given = _header(req, b"X-Priority")
    if given is None:
        return None
    if len(given) != 1 or given not in "0123456789":
        raise BadRequestError("X-Priority must be 0 to 9")
    return int(given)


def read_body(req: Any, limit: int) -> bytes:
    """Reads the body of a request."""
    length = _header(req, b"Content-Length")
    if not req.chunked_read and length is not None and int(length) > limit:
        raise BadRequestError(
            f"the body is longer than {limit} bytes",
            refusals.Code.BODY_TOO_LARGE,
        )
    try:
        body: bytes = req.rfile.read(limit + 1)
    except TimeoutError:
        raise BadRequestError("the body did not arrive in time") from None
    except (ValueError, OSError) as error:
        raise BadRequestError("the body is not valid") from error
    if len(body) > limit:
        raise BadRequestError(
            f"the body is longer than {limit} bytes",
            refusals.Code.BODY_TOO_LARGE,
        )
    if not req.chunked_read and len(body) < int(length or 0):
        raise BadRequestError("the body is incomplete")
    return body


def discard_body(req: Any) -> None:
    """Reads what is left of a refused body.

    Closing a connection with unread bytes resets it, and the caller would
    lose the refusal.
    """
    left = MAX_DISCARDED_BYTES
    with contextlib.suppress(ValueError, OSError):
        while left > 0 and (data := req.rfile.read(min(left, 65_536))):
            left -= len(data)


def _no_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def parse_document(body: bytes) -> dict[str, Any]:
    """Parses the body of a completion."""
    try:
        document = json.loads(body, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("the body is not JSON") from error
    if not isinstance(document, dict):
        raise BadRequestError("the body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model or len(model) > 300:
        raise BadRequestError("`model` must be the name of a model")
    if not isinstance(document.get("stream", False), bool):
        raise BadRequestError("`stream` must be true or false")
    return document


def _hash_key(scope: str, key: str) -> ids.KeyHash:
    digest = hashlib.sha256(f"{scope}\0{key}".encode()).digest()
    return ids.KeyHash(int.from_bytes(digest[:8], "big", signed=True))


def _digest(method: str, path: str, body: bytes) -> str:
    text = f"{method}\0{path}\0".encode()
    return hashlib.sha256(text + body).hexdigest()


def parse(
    req: Any,
    request_id: ids.RequestId,
    config: settings.EntrySettings,
    arrived: Any,
) -> Parsed:
    """Parses a request for a model or a plain service.

    Raises:
        BadRequestError: It is not valid.
    """
    deadline = arrived + parse_deadline(req, config)
    priority = parse_priority(req)
    key = _header(req, b"Idempotency-Key")
    if key is not None and not _KEY.match(key):
        raise BadRequestError("Idempotency-Key must be 1 to 255 letters")
    method = req.method.decode("latin-1")
    uri: bytes = req.uri
    if not _METHOD.match(method) or not _PATH.match(uri):
        raise BadRequestError("the method or the path is not valid")
    text = uri.decode("ascii")
    body = read_body(req, config.max_body_bytes)
    if text.startswith(_SERVICES_PREFIX):
        return _parse_plain(
            req, request_id, method, text, body, key, priority, deadline
        )
    return _parse_completion(
        request_id, method, text, body, key, priority, deadline
    )


def _parse_completion(
    request_id: ids.RequestId,
    method: str,
    uri: str,
    body: bytes,
    key: str | None,
    priority: int | None,
    deadline: datetime.timedelta,
) -> Parsed:
    path = uri.partition("?")[0]
    if path not in _COMPLETION_PATHS:
        raise BadRequestError("no such path")
    if method != "POST":
        raise BadRequestError("the method must be POST")
    document = parse_document(body)
    stream = document.get("stream", False)
    if stream and key is not None:
        raise BadRequestError("a stream cannot have an Idempotency-Key")
    request = calls.Request(
        request_id,
        calls.Kind.COMPLETION,
        document["model"],
        stream,
        True,
        priority,
        deadline,
        None if key is None else _hash_key(path, key),
        _digest(method, path, body),
    )
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": request_id,
        "Accept": "text/event-stream" if stream else "application/json",
    }
    if priority is not None:
        headers["X-Priority"] = str(priority)
    return Parsed(request, method, path, headers, b"", document)


def _parse_plain(
    req: Any,
    request_id: ids.RequestId,
    method: str,
    uri: str,
    body: bytes,
    key: str | None,
    priority: int | None,
    deadline: datetime.timedelta,
) -> Parsed:
    rest = uri.removeprefix(_SERVICES_PREFIX)
    service, _, path = rest.partition("/")
    if "?" in service:
        service, _, query = service.partition("?")
        path = f"?{query}"
    if not _NAME.match(service):
        raise BadRequestError("no such service", refusals.Code.UNKNOWN_SERVICE)
    request = calls.Request(
        request_id,
        calls.Kind.PLAIN,
        service,
        False,
        method in _REPEATABLE_METHODS,
        priority,
        deadline,
        None if key is None else _hash_key(service, key),
        _digest(method, uri, body),
        "/" + path.partition("?")[0],
    )
    headers = {}
    named = (_header(req, b"Connection") or "").lower().split(",")
    left_out = HOP_BY_HOP | _OWN_HEADERS | {one.strip() for one in named}
    for raw_name, raw_value in req.inheaders.items():
        name = raw_name.decode("latin-1")
        value = raw_value.decode("latin-1").strip()
        if name.lower() in left_out:
            continue
        if not is_valid_header(name, value):
            raise BadRequestError("a header is not valid")
        headers[name] = value
    headers["X-Request-Id"] = request_id
    # Without it, urllib3 would ask for encodings that the caller may not
    # know.
    if "accept-encoding" not in {name.lower() for name in headers}:
        headers["Accept-Encoding"] = "identity"
    if body or method not in _REPEATABLE_METHODS:
        headers["Content-Length"] = str(len(body))
    return Parsed(request, method, f"/{path}", headers, body)
