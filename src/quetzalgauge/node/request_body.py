"""Parses the bodies of requests as they arrive, without input or output."""

from collections.abc import Mapping
import re
import sys
from typing import Protocol

from quetzalgauge import exceptions
from quetzalgauge.core import configuration
from quetzalgauge.node import buffer_memory

# Bodies are collected in parts of this length: blocks of one size leave no gaps
# in the memory of the process when they are freed.
_PART_BYTES = 65_536
_MAX_CHUNK_LINE_BYTES = 4096
# The cost of parsing a chunk, in bytes of a body that is only copied.
_CHUNK_COST_BYTES = 512
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[^\r\n]*)?\r\n")
_CRLF = b"\r\n"


class BodyError(exceptions.QuetzalgaugeError):
    """The body of a request cannot be read.

    Attributes:
        status: HTTP status of the refusal.
        was_read: Whether the body was read to its end, so that the connection
            can serve another request.
    """

    def __init__(
        self, status: int, message: str, was_read: bool = False
    ) -> None:
        super().__init__(message)
        self.status = status
        self.was_read = was_read


class _Framing(Protocol):
    """Finds the content of a body in what was received."""

    has_ended: bool

    def take_content(self, received: bytearray, body: "_Parts | None") -> int:
        """Moves the content of a body; returns the cost in bytes.

        Args:
            received: What was received; what belongs to the body is removed.
            body: Takes the content, None to discard it.

        Raises:
            BodyError: The body is too long or malformed.
        """


class _LengthFraming:
    """A body with a length."""

    def __init__(self, length: int) -> None:
        self._missing = length
        self.has_ended = not length

    def take_content(self, received: bytearray, body: "_Parts | None") -> int:
        size = min(self._missing, len(received))
        _move(received, body, 0, size)
        del received[:size]
        self._missing -= size
        self.has_ended = not self._missing
        return size


class _ChunkFraming:
    """A body in chunks."""

    def __init__(self, limits: configuration.CallerLimits) -> None:
        self._content_left = limits.max_body_bytes
        # For the extensions of all chunks, and the trailers, together.
        self._extension_left = limits.max_header_bytes
        # What is missing of a chunk that has begun, with its line end.
        self._missing = 0
        self._is_in_trailers = False
        self.has_ended = False

    def take_content(self, received: bytearray, body: "_Parts | None") -> int:
        position = 0
        cost = 0
        try:
            while not self.has_ended:
                if self._missing:
                    end = self._take_chunk(received, position, body)
                else:
                    end = self._take_line(received, position)
                    cost += _CHUNK_COST_BYTES
                if end == position:
                    break
                position = end
        finally:
            del received[:position]
        return cost + position

    def _take_chunk(
        self, received: bytearray, position: int, body: "_Parts | None"
    ) -> int:
        """Takes what was received of a chunk; returns where that ends."""
        available = len(received) - position
        content = min(self._missing - len(_CRLF), available)
        if content > 0:
            _move(received, body, position, position + content)
            self._missing -= content
            position += content
            available -= content
        if self._missing > len(_CRLF) or available < self._missing:
            return position
        end = position + self._missing
        if received[position:end] != _CRLF:
            raise BodyError(400, "a chunk is malformed")
        self._missing = 0
        return end

    def _take_line(self, received: bytearray, position: int) -> int:
        """Takes a line if it was received whole; returns where that ends."""
        end = received.find(b"\n", position, position + _MAX_CHUNK_LINE_BYTES)
        if end < 0:
            if len(received) - position >= _MAX_CHUNK_LINE_BYTES:
                raise _make_line_error()
            return position
        end += 1
        if self._is_in_trailers:
            # Trailers are ignored; nothing here uses them.
            self._take_trailer(received, position, end)
            return end
        match = _CHUNK_SIZE_LINE.fullmatch(received, position, end)
        if match is None:
            if not received.endswith(_CRLF, position, end):
                raise _make_line_error()
            raise BodyError(400, "a chunk size is malformed")
        self._count_extension(end - match.end(1) - len(_CRLF))
        size = int(match[1], 16)
        if not size:
            self._is_in_trailers = True
            return end
        if size > self._content_left:
            raise BodyError(413, "the body is too long")
        self._content_left -= size
        self._missing = size + len(_CRLF)
        return end

    def _take_trailer(
        self, received: bytearray, position: int, end: int
    ) -> None:
        if not received.endswith(_CRLF, position, end):
            raise _make_line_error()
        size = end - position - len(_CRLF)
        self._count_extension(size)
        self.has_ended = not size

    def _count_extension(self, size: int) -> None:
        self._extension_left -= size
        if self._extension_left < 0:
            raise BodyError(431, "extensions and trailers are too long")


def _make_line_error() -> BodyError:
    return BodyError(400, "a line of a chunked body is malformed")


def _move(
    received: bytearray, body: "_Parts | None", start: int, end: int
) -> None:
    if body is not None:
        with memoryview(received) as view, view[start:end] as content:
            body.append(content)


class _Parts:
    """The content of a body, in several parts."""

    def __init__(self) -> None:
        self.parts = [bytearray()]
        self._size_of_full_parts = 0

    @property
    def allocated_bytes(self) -> int:
        """The memory that the parts take."""
        return self._size_of_full_parts + sys.getsizeof(self.parts[-1])

    def append(self, content: memoryview) -> None:
        """Adds content at the end."""
        last = self.parts[-1]
        room = _PART_BYTES - len(last)
        last += content[:room]
        if len(content) > room:
            self._size_of_full_parts += sys.getsizeof(last)
            self.parts.append(bytearray(content[room:]))


class BodyReader:
    """Collects the body of a request as it arrives.

    Args:
        framing: Finds the content of the body.
        reservation: The memory of the request.
    """

    def __init__(
        self, framing: _Framing, reservation: buffer_memory.Reservation
    ) -> None:
        self._framing = framing
        self._reservation = reservation
        self._body: _Parts | None = _Parts()
        self._allocated_bytes = 0
        # Status and message. An error would keep what its frames refer to.
        self._failure: tuple[int, str] | None = None

    @property
    def is_done(self) -> bool:
        """Whether `get_body` returns or raises."""
        return self._failure is not None or self._framing.has_ended

    @property
    def allocated_bytes(self) -> int:
        """The memory that the body takes."""
        return self._allocated_bytes

    def feed(self, received: bytearray) -> int:
        """Takes what was received of the body.

        Args:
            received: What was received; what belongs to the body is removed.

        Returns:
            The cost, in bytes of a body that is only copied.
        """
        try:
            cost = self._framing.take_content(received, self._body)
        except BodyError as error:
            self.fail(error.status, str(error))
            return len(received)
        return cost

    def take_memory(self) -> bool:
        """Takes memory for the body as it is now; returns False without it."""
        if self._body is None:
            return True
        missing = self._body.allocated_bytes - self._allocated_bytes
        if missing > 0:
            if not self._reservation.take_for_request(missing):
                return False
            self._allocated_bytes += missing
        return True

    def discard(self) -> None:
        """Drops the body for want of memory; its rest is not collected."""
        self._body = None
        self._reservation.give_back(self._allocated_bytes)
        self._allocated_bytes = 0

    def fail(self, status: int, message: str) -> None:
        """Ends the body with an error."""
        self._failure = (status, message)
        self.discard()

    def get_body(self) -> list[bytearray]:
        """Returns the body in parts.

        Raises:
            BodyError: The body is too long, malformed or incomplete, did not
                arrive in time, or there is no memory for it.
        """
        if self._failure is not None:
            raise BodyError(*self._failure)
        if self._body is None:
            raise BodyError(503, "no memory for the body", was_read=True)
        return self._body.parts


def make_body_reader(
    headers: Mapping[bytes, bytes],
    limits: configuration.CallerLimits,
    reservation: buffer_memory.Reservation,
) -> BodyReader:
    """Returns the reader for the body of a request.

    Args:
        headers: Headers of the request, whose framing is valid.
        limits: Limits for requests.
        reservation: The memory of the request.
    """
    if b"Transfer-Encoding" in headers:
        return BodyReader(_ChunkFraming(limits), reservation)
    length = int(headers.get(b"Content-Length", b"0"))
    reader = BodyReader(_LengthFraming(length), reservation)
    if length > limits.max_body_bytes:
        reader.fail(413, "the body is too long")
    return reader
