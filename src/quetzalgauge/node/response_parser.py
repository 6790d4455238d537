"""Parser for HTTP/1.1 responses that accepts only whole, unambiguous ones.

Performs no I/O: it makes the bytes of a request and takes the bytes of its
response. A head has to end, has to consist of well-formed lines and has to
name at most one framing; a body ends as that framing says. `h11` parses, this
module rejects what is legal but has no single meaning, and what follows the
response.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import h11

from quetzalgauge import exceptions
from quetzalgauge.node import send_buffers

MAX_HEAD_BYTES = 65_536
# Bounds the interim responses before a final one.
MAX_INTERIM_RESPONSES = 16

_CONTINUE = 100
# Valid statuses are from 100 to 599 (RFC 9110, section 15).
_MAX_STATUS = 599
_METHODS_WITH_BODY = frozenset({"PATCH", "POST", "PUT"})


class MalformedResponseError(exceptions.QuetzalgaugeError):
    """The bytes are no response of the protocol."""


class TruncatedResponseError(exceptions.QuetzalgaugeError):
    """The connection was closed before the end of the response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status line and headers of a final response.

    Attributes:
        status: HTTP status.
        reason: Reason phrase, may be empty.
        headers: Names and values in the order in which they were received.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]

    @property
    def framing(self) -> str:
        """What ends the body: `length`, `chunked` or `connection`."""
        if self.get("Transfer-Encoding") is not None:
            return "chunked"
        if self.get("Content-Length") is not None:
            return "length"
        return "connection"

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or chunks.

        Otherwise it ends with the connection.
        """
        return self.framing != "connection"

    def get(self, name: str) -> str | None:
        """Returns the value of a header, None if it is absent.

        Args:
            name: Name of the header in any case.
        """
        lower_name = name.lower()
        for other, value in self.headers:
            if other.lower() == lower_name:
                return value
        return None


class ResponseParser:
    """Parses the response to one request.

    `feed` takes what was received, `take_body` returns the body so far.
    """

    def __init__(self) -> None:
        self._connection = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._head: Head | None = None
        self._body: list[bytes] = []
        self._interim_count = 0
        self._has_ended = False
        self._is_closed = False

    @property
    def head(self) -> Head | None:
        """The head of the final response, None until it has ended."""
        return self._head

    @property
    def has_ended(self) -> bool:
        """Whether the response has ended as its framing says."""
        return self._has_ended

    @property
    def ending(self) -> str:
        """How the end was seen, for the log; empty if there is none yet.

        `closed`: by the close of the connection, whether or not that ends the
        response. `head`: there is no body.
        """
        if self._is_closed:
            return "closed"
        if not self._has_ended or self._head is None:
            return ""
        endings = {"chunked": "last_chunk", "length": "length"}
        return endings.get(self._head.framing, "head")

    @property
    def ended_with_connection(self) -> bool:
        """Whether it ended only as the connection was closed.

        The bytes can't tell such an end from a cut: the kernel closes the
        connections of a process that is killed as well.
        """
        return self._has_ended and self._is_closed

    @property
    def can_reuse_connection(self) -> bool:
        """Whether another request may follow on the connection.

        Not if bytes follow the response: they belong to no request, and more of
        them may be on their way.
        """
        return (
            self._has_ended
            and self._connection.their_state is h11.DONE
            and not self.rest
        )

    @property
    def rest(self) -> bytes:
        """What was received after the end of the response."""
        return self._connection.trailing_data[0] if self._has_ended else b""

    def make_request(
        self,
        method: str,
        uri: str,
        headers: Iterable[tuple[str, str]],
        body: Sequence[send_buffers.Buffer],
    ) -> list[send_buffers.Buffer]:
        """Returns the bytes of the request whose response is parsed.

        The body is not copied.

        Args:
            method: HTTP method.
            uri: Path and query.
            headers: All headers but Content-Length.
            body: The body, in parts.

        Raises:
            ValueError: The request cannot be sent in HTTP/1.1.
        """
        sent_headers = [
            (name.encode("latin-1"), value.strip(" \t").encode("latin-1"))
            for name, value in headers
        ]
        length = sum(map(len, body))
        if length or method in _METHODS_WITH_BODY:
            sent_headers.append((b"Content-Length", b"%d" % length))
        try:
            head = self._connection.send(
                h11.Request(
                    method=method.encode("latin-1"),
                    target=uri.encode("latin-1"),
                    headers=sent_headers,
                )
            )
            assert head is not None
            for part in filter(None, body):
                # With this length, the body is sent as it is.
                self._connection.send_with_data_passthrough(
                    h11.Data(data=part)  # type: ignore[arg-type]
                )
            self._connection.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ValueError(f"request cannot be sent: {error}") from error
        return [head, *body]

    def feed(self, data: bytes) -> None:
        """Takes received bytes; empty when the peer has closed the connection.

        Raises:
            MalformedResponseError: The bytes are no response.
            TruncatedResponseError: The response has not ended, though the
                connection was closed.
        """
        self._is_closed = not data
        try:
            self._connection.receive_data(data)
            while not self._has_ended:
                event = self._connection.next_event()
                if event is h11.NEED_DATA:
                    break
                self._handle(event)
        except h11.RemoteProtocolError as error:
            if self._is_closed:
                raise TruncatedResponseError(str(error)) from error
            raise MalformedResponseError(str(error)) from error

    def take_body(self) -> bytes:
        """Returns what was received of the body since the last call."""
        body, self._body = self._body, []
        return body[0] if len(body) == 1 else b"".join(body)

    def _handle(
        self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
    ) -> None:
        match event:
            case h11.Data():
                self._body.append(bytes(event.data))
            case h11.EndOfMessage():
                self._has_ended = True
            case h11.Response():
                self._head = _make_head(event)
            case h11.InformationalResponse():
                self._interim_count += 1
                if (
                    event.status_code != _CONTINUE
                    or self._interim_count > MAX_INTERIM_RESPONSES
                ):
                    raise MalformedResponseError(
                        f"unexpected interim response {event.status_code}"
                    )
            case h11.ConnectionClosed():
                raise TruncatedResponseError("closed without a response")
            case _:
                raise MalformedResponseError(f"unexpected event {event}")


def _make_head(event: h11.Response) -> Head:
    """Returns the head of a response.

    Raises:
        MalformedResponseError: It is no HTTP/1 response, or it names two
            framings: an intermediary may believe the other one.
    """
    if event.http_version not in (b"1.0", b"1.1"):
        raise MalformedResponseError("unknown version of HTTP")
    if event.status_code > _MAX_STATUS:
        raise MalformedResponseError(f"invalid status {event.status_code}")
    names = {name for name, _ in event.headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        raise MalformedResponseError("two framings")
    return Head(
        event.status_code,
        event.reason.decode("latin-1"),
        tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        ),
    )
