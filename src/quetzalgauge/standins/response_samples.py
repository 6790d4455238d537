"""Responses of targets, whole and broken, as raw bytes for tests.

Each sample is a function that takes the id of a request and returns what a
target sends, as in the scripts of `faulty_target`.
"""

from collections.abc import Callable
from typing import Any
from typing import TypeAlias

from quetzalgauge.standins import faulty_target

Sample: TypeAlias = Callable[[str], list[faulty_target.Item]]

PAUSE = 0.05
END = faulty_target.make_chunk(b"")
STREAM: dict[str, Any] = {"Content_Type": "text/event-stream"}
CHUNKED: dict[str, Any] = {"Transfer_Encoding": "chunked"}
RESET: list[faulty_target.Item] = [PAUSE, faulty_target.Ending.RESET]


def body(key: str) -> bytes:
    """Returns the body of a response to a request with this id."""
    return b"answer to %b." % key.encode()


def plain(key: str, status: int = 200, **headers: str | int) -> bytes:
    """Returns a response with neither length nor chunks."""
    return faulty_target.make_head(key, status, **headers) + body(key)


def framed(
    key: str, status: int = 200, text: bytes = b"", **headers: str | int
) -> bytes:
    """Returns a response with a length."""
    data = text or body(key)
    return (
        faulty_target.make_head(
            key, status, Content_Length=len(data), **headers
        )
        + data
    )


def chunked(key: str, end: bytes = END) -> bytes:
    """Returns a response in chunks."""
    return (
        faulty_target.make_head(key, **CHUNKED)
        + faulty_target.make_chunk(body(key))
        + end
    )


def events(key: str, *numbers: int) -> bytes:
    """Returns events with these ids whose text names a request."""
    return b"".join(
        b"id: %d\ndata: %b %d\n\n" % (number, key.encode(), number)
        for number in numbers
    )


def chunks(key: str, *numbers: int) -> bytes:
    """Returns events, each in a chunk of its own."""
    return b"".join(
        faulty_target.make_chunk(events(key, number)) for number in numbers
    )


def stream(key: str, *numbers: int) -> bytes:
    """Returns a stream of events in chunks."""
    return (
        faulty_target.make_head(key, **STREAM, **CHUNKED)
        + chunks(key, *numbers)
        + END
    )


def _with_line(line: bytes) -> Sample:
    """Returns a response with this header; LEN is the length of the body."""

    def respond(key: str) -> list[faulty_target.Item]:
        data = body(key)
        lines = line.replace(b"LEN", b"%d" % len(data))
        head = faulty_target.make_head(key)[:-2] + lines + b"\r\n\r\n"
        return [
            head
            + (
                faulty_target.make_chunk(data) + END
                if b"chunked" in line
                else data
            )
        ]

    return respond


def _with_size(size: bytes) -> Sample:
    """Returns a chunk with this size; LEN is the length of the body."""

    def respond(key: str) -> list[faulty_target.Item]:
        data = body(key)
        line = size.replace(b"LEN", b"%x" % len(data))
        head = faulty_target.make_head(key, **CHUNKED)
        return [head + line + b"\r\n" + data + b"\r\n" + END]

    return respond


def _with_status_line(line: bytes) -> Sample:
    return lambda k: [line + framed(k)[framed(k).index(b"\r\n") :]]


def _with_status(status: bytes, respond: Callable[[str], bytes]) -> Sample:
    """Returns a response with this status in place of 200."""
    return lambda k: [respond(k).replace(b" 200 ", b" %b " % status, 1)]


def _make_responses_with_status(status: bytes) -> dict[str, Sample]:
    """Returns responses of several forms whose status is not valid."""
    forms: dict[str, Callable[[str], bytes]] = {
        "framed": framed,
        "unframed": plain,
        "chunked": chunked,
        "rejection": lambda k: framed(k, Not_Run=1),
        "version-1.0": lambda k: framed(k).replace(b"1.1", b"1.0", 1),
        "without-reason": lambda k: framed(k).replace(b"Status", b"", 1),
        "then-sound": lambda k: framed(k) + framed(k),
    }
    return {
        f"status-{status.decode()}-{name}": _with_status(status, respond)
        for name, respond in forms.items()
    }


# Valid statuses have three digits and are from 100 to 599.
INVALID_STATUSES = (
    b"099",
    b"0",
    b"00",
    b"20",
    b"0200",
    b"2000",
    b"-20",
    b"+20",
    b"2e2",
    b"",
    b"1000",
    b"999",
)


# What a target sends before it closes the connection. None of it is a whole
# response.
BROKEN: dict[str, Sample] = {
    "unframed-then-same-id": lambda k: [plain(k) + framed(k)],
    "unframed-then-same-id-late": lambda k: [plain(k), PAUSE, framed(k)],
    "unframed-then-other-id": lambda k: [plain(k) + framed("x")],
    "unframed-then-other-id-late": lambda k: [plain(k), PAUSE, framed("x")],
    "unframed-then-unframed": lambda k: [plain(k), PAUSE, plain("x")],
    "unframed-then-error": lambda k: [plain(k), PAUSE, framed(k, 500)],
    "unframed-then-no-id": lambda k: [
        plain(k) + b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
    ],
    "unframed-then-line-feeds": lambda k: [
        plain(k) + framed("x").replace(b"\r\n", b"\n")
    ],
    "unframed-then-long-reason": lambda k: [
        plain(k) + framed("x").replace(b"Status", b"Status " * 20)
    ],
    "unframed-reset": lambda k: [plain(k), *RESET],
    "length-filled": lambda k: [framed(k)[:-9] + framed("x")],
    "length-filled-late": lambda k: [framed(k)[:-9], PAUSE, framed("x")],
    "length-not-filled": lambda k: [framed(k)[:-9]],
    "length-not-filled-reset": lambda k: [framed(k)[:-9], *RESET],
    "chunk-filled": lambda k: [chunked(k)[:-14] + framed("x")],
    "chunk-without-end": lambda k: [chunked(k, b"")[:-2] + b"xx" + END],
    "chunks-then-other": lambda k: [chunked(k, framed("x"))],
    "chunks-without-end": lambda k: [chunked(k, b"")],
    "trailer-cut": lambda k: [chunked(k, b"0\r\nX-Sum: 1\r\n")],
    "trailer-missing": lambda k: [chunked(k, b"0\r\n")],
    "trailer-is-other": lambda k: [chunked(k, b"0\r\n" + framed("x"))],
    "rejection-cut": lambda k: [framed(k, 503, Not_Run=1)[:-9]],
    "rejection-reset": lambda k: [framed(k, 503, Not_Run=1)[:-9], *RESET],
    "rejection-421-cut": lambda k: [framed(k, 421)[:-9]],
    "rejection-then-200": lambda k: [plain(k, 503, Not_Run=1) + framed(k)],
    "rejection-then-200-late": lambda k: [
        plain(k, 503, Not_Run=1),
        PAUSE,
        framed(k),
    ],
    "rejection-cut-in-line": lambda k: [
        faulty_target.make_head(k, 503, Not_Run=1)[:-4]
    ],
    "rejection-cut-after-line": lambda k: [
        faulty_target.make_head(k, 503, Not_Run=1)[:-2]
    ],
    "head-cut-in-line": lambda k: [faulty_target.make_head(k)[:-7]],
    "head-cut-after-line": lambda k: [faulty_target.make_head(k)[:-2]],
    "head-cut-in-line-end": lambda k: [faulty_target.make_head(k)[:-1]],
    "head-cut-in-length": lambda k: [
        faulty_target.make_head(k, Content_Length=10)[:-5]
    ],
    "head-cut-after-length": lambda k: [
        faulty_target.make_head(k, Content_Length=0)[:-2]
    ],
    "two-lengths": _with_line(b"Content-Length: LEN\r\nContent-Length: 3"),
    "two-lengths-smaller": _with_line(
        b"Content-Length: 3\r\nContent-Length: 9"
    ),
    "length-list": _with_line(b"Content-Length: LEN, 3"),
    "length-plus": _with_line(b"Content-Length: +LEN"),
    "length-minus": _with_line(b"Content-Length: -LEN"),
    "length-underscore": _with_line(b"Content-Length: 0_LEN"),
    "length-space": _with_line(b"Content-Length: LEN 0"),
    "length-no-break-space": _with_line(b"Content-Length: \xa0LEN"),
    "length-vertical-tab": _with_line(b"Content-Length: \x0bLEN"),
    "length-hex": _with_line(b"Content-Length: 0xLEN"),
    "length-empty": _with_line(b"Content-Length: "),
    "length-arabic": _with_line("Content-Length: ٣".encode()),
    "length-superscript": _with_line(b"Content-Length: \xb2"),
    "length-huge": _with_line(b"Content-Length: LEN" + b"0" * 30),
    "length-5000-digits": _with_line(b"Content-Length: LEN" + b"0" * 5000),
    "length-and-chunked": _with_line(
        b"Content-Length: 3\r\nTransfer-Encoding: chunked"
    ),
    "coding-unknown": _with_line(b"Transfer-Encoding: gzip"),
    "coding-gzip-chunked": _with_line(b"Transfer-Encoding: gzip, chunked"),
    "coding-twice": _with_line(b"Transfer-Encoding: chunked, chunked"),
    "coding-two-lines": _with_line(
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip"
    ),
    "size-plus": _with_size(b"+LEN"),
    "size-hex-prefix": _with_size(b"0xLEN"),
    "size-underscore": _with_size(b"0_LEN"),
    "line-no-colon": _with_line(b"no header\r\nContent-Length: LEN"),
    "line-no-name": _with_line(b": value\r\nContent-Length: LEN"),
    "line-space-in-name": _with_line(b"X : value\r\nContent-Length: LEN"),
    "line-status": _with_line(b"HTTP/1.1 200 OK\r\nContent-Length: LEN"),
    "line-nul": _with_line(b"X-Name: a\0b\r\nContent-Length: LEN"),
    "status-signed": _with_status_line(b"HTTP/1.1 +200 OK"),
    "status-zero": _with_status_line(b"HTTP/1.1 0200 OK"),
    "status-long": _with_status_line(b"HTTP/1.1 2000 OK"),
    "status-after-space": _with_status_line(b" HTTP/1.1 200 OK"),
    "status-after-blank-line": _with_status_line(b"\r\nHTTP/1.1 200 OK"),
    "status-version": _with_status_line(b"HTTP/1.x 200 OK"),
    "status-protocol": _with_status_line(b"ICY 200 OK"),
    **{
        f"status-{status.decode()}": _with_status(status, framed)
        for status in INVALID_STATUSES
    },
    **_make_responses_with_status(b"000"),
    **_make_responses_with_status(b"600"),
}
# Whole responses.
SOUND: dict[str, Sample] = {
    "framed": lambda k: [framed(k)[:30], PAUSE, framed(k)[30:]],
    "framed-then-other": lambda k: [framed(k) + framed("x")],
    "unframed": lambda k: [plain(k)],
    "unframed-slow": lambda k: [plain(k)[:-5], 0.3, plain(k)[-5:], PAUSE],
    "trailer": lambda k: [chunked(k, b"0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n")],
    "chunk-extension": lambda k: [
        faulty_target.make_head(k, Transfer_Encoding="Chunked")
        + b"%X;name=value\r\n%b\r\n" % (len(body(k)), body(k))
        + END
    ],
}
# What follows events 1 and 2 of a stream in chunks. Nothing of it is sound.
BROKEN_CHUNKS: dict[str, Sample] = {
    "other-events": lambda k: [chunks("x", 1, 2) + END],
    "other-between": lambda k: [chunks("x", 7) + chunks(k, 3, 4) + END],
    "out-of-order": lambda k: [chunks(k, 4, 3) + END],
    "skipped": lambda k: [chunks(k, 4) + END],
    "repeated": lambda k: [chunks(k, 2, 3, 4) + END],
    "text": lambda k: [
        faulty_target.make_chunk(b"text\n\n") + chunks(k, 3, 4) + END
    ],
    "text-in-event": lambda k: [
        faulty_target.make_chunk(b"text\n" + events(k, 3)) + END
    ],
    "head-in-chunk": lambda k: [
        faulty_target.make_chunk(faulty_target.make_head(k))
        + chunks(k, 3)
        + END
    ],
    "negative-id": lambda k: [faulty_target.make_chunk(events(k, -3)) + END],
    "two-ids": lambda k: [
        faulty_target.make_chunk(b"id: 3\n" + events(k, 4)) + END
    ],
    "cut-in-chunk": lambda k: [chunks(k, 3)[:-4]],
    "cut-in-event": lambda k: [
        faulty_target.make_chunk(events(k, 3)[:-1]) + END
    ],
    "chunk-filled": lambda k: [chunks(k, 3)[:-9] + stream(k, 1, 2)],
    # The chunk ends with the head of the second response.
    "chunk-filled-evenly": lambda k: [
        b"%x\r\n" % (len(faulty_target.make_head(k, **STREAM, **CHUNKED)) + 2)
        + b"id: "
        + stream(k, 1, 2)
    ],
    "chunk-without-end": lambda k: [
        faulty_target.make_chunk(events(k, 3)[:-1])[:-2]
        + b"xx"
        + faulty_target.make_chunk(b"\n")
        + END
    ],
    "second-response": lambda k: [stream(k, 1, 2)],
    "trailer-cut": lambda k: [b"0\r\nX-Sum: 1\r\n"],
    "trailer-is-other": lambda k: [b"0\r\n" + stream("x", 1, 2)],
    "reset": lambda k: RESET,
}
# The same for a stream with neither length nor chunks.
BROKEN_UNFRAMED: dict[str, Sample] = {
    "same-id": lambda k: [
        faulty_target.make_head(k, **STREAM) + events(k, 1, 2, 3, 4)
    ],
    "same-id-chunks": lambda k: [stream(k, 1, 2)],
    "other-id": lambda k: [
        faulty_target.make_head("x", **STREAM) + events("x", 3, 4)
    ],
    "other-plain": lambda k: [framed("x")],
    "error": lambda k: [framed(k, 500)],
    "other-events": lambda k: [events("x", 1, 2)],
    "cut-in-event": lambda k: [events(k, 3)[:-1]],
    "cut-in-line": lambda k: [events(k, 3)[:-4]],
    "reset": lambda k: RESET,
}


# What a target sends if it is asked to resume a stream after event 2.
BROKEN_RESUMPTIONS: dict[str, Sample] = {
    "unframed-other": lambda k: [
        faulty_target.make_head(k, **STREAM)
        + faulty_target.make_head("x", **STREAM)
        + events("x", 3, 4)
    ],
    "chunks-other": lambda k: [
        faulty_target.make_head(k, **STREAM, **CHUNKED)
        + faulty_target.make_chunk(
            faulty_target.make_head("x", **STREAM) + events("x", 3, 4)
        )
        + END
    ],
    **{
        f"status-{status.decode()}": _with_status(
            status, lambda k: stream(k, 3, 4)
        )
        for status in (b"000", b"099", b"600")
    },
}


def _begin_chunks(key: str) -> bytes:
    return stream(key, 1, 2)[: -len(END)]


def _begin_unframed(key: str) -> bytes:
    return faulty_target.make_head(key, **STREAM) + events(key, 1, 2)


# Streams that are broken after events 1 and 2, sent with a pause between.
BROKEN_STREAMS: dict[str, Sample] = {
    f"{name}-{case}": lambda k, begin=begin, rest=rest: [  # type: ignore[misc]
        begin(k),
        PAUSE,
        *rest(k),
    ]
    for name, begin, cases in (
        ("chunks", _begin_chunks, BROKEN_CHUNKS),
        ("unframed", _begin_unframed, BROKEN_UNFRAMED),
    )
    for case, rest in cases.items()
}
# What a target sends for the first request on a connection, and before its
# response to each later one, given its response to the first.
BETWEEN_RESPONSES: dict[
    str,
    Callable[
        [bytes], tuple[list[faulty_target.Item], list[faulty_target.Item]]
    ],
] = {
    "late": lambda r: ([r, PAUSE / 2, r], []),
    "with-next": lambda r: ([r], [r, PAUSE]),
    "in-pieces": lambda r: ([r + r[:9]], [r[9:], PAUSE]),
    "in-pieces-late": lambda r: ([r, PAUSE / 2, r[:9]], [r[9:], PAUSE]),
    "in-pieces-body": lambda r: ([r + r[:-9]], [r[-9:], PAUSE]),
    "line-end": lambda r: ([r + b"\r\n"], [b"\r\n"]),
    "interim": lambda r: ([r + b"HTTP/1.1 100 Continue\r\n\r\n"], []),
}
