"""Writes the responses to callers."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import datetime
import http.client
import select
import socket
import threading

from quetzalgauge import exceptions
from quetzalgauge.node import disconnect_watcher
from quetzalgauge.node import listener
from quetzalgauge.node import send_buffers
from quetzalgauge.node import slow_readers
from quetzalgauge.node import upstream

# Every response begins like this. Some callers fail on an interim response that
# they did not ask for, so nothing else is sent before the status is known.
_RESPONSE_START = b"HTTP/1.1 "
# The length of a chunk of one byte. Zeros could also be sent before the last
# chunk, but parsers take them and the end of the connection for it.
_CHUNK_START = b"1"


class CallerDisconnectedError(exceptions.QuetzalgaugeError):
    """The caller has closed its connection."""


class ResponseWriter:
    """Writes the response to the caller.

    Args:
        request: The request.
        closes_connections: Whether connections are closed after a response
            behind which nothing else was received.
        readers: The slow readers of the process.
    """

    def __init__(
        self,
        request: listener.Request,
        closes_connections: Callable[[], bool],
        readers: slow_readers.SlowReaders,
    ) -> None:
        self._request = request
        self._closes_connections = closes_connections
        self._readers = readers
        self._behind_since: datetime.timedelta | None = None
        self._chunked = False
        # Whether nothing but the end of the connection marks that of the body.
        self._ends_with_connection = False
        # Whether the connection is reset if the process ends.
        self._resets_on_close = False
        # Held while something is written, also by `probe`.
        self._lock = threading.RLock()
        self._write_count = 0
        # The number of writes after which a probe is not needed any more.
        self._awaited_write_count: int | None = None
        self._is_started = False
        self._is_between_chunks = False
        # What `probe` has sent of what is written next: whether the length of a
        # chunk, and how much of the start of the response.
        self._has_begun_chunk = False
        self._start_size = 0

    @property
    def is_started(self) -> bool:
        """Whether the status of the response is known."""
        return self._is_started

    def probe(self) -> disconnect_watcher.Probe:
        """Sends what is known of the rest of the response, if anything is.

        That is a byte of its start, or the length of a chunk. A stream that
        ends without further data after the latter has to be aborted, so the
        first call only records that a write is awaited.

        Any thread may call this. It does not block.
        """
        if self._request.request_protocol != b"HTTP/1.1":
            return disconnect_watcher.Probe.IMPOSSIBLE
        awaited_write_count = self._awaited_write_count
        if awaited_write_count is None:
            self._awaited_write_count = self._write_count + 1
        if not self._lock.acquire(blocking=False):
            return disconnect_watcher.Probe.POSTPONED
        try:
            if not _is_writable(self._request.conn.socket):
                return disconnect_watcher.Probe.SENT
            if self._is_between_chunks:
                if awaited_write_count is None:
                    return disconnect_watcher.Probe.POSTPONED
                if (
                    self._has_begun_chunk
                    or self._write_count >= awaited_write_count
                ):
                    return disconnect_watcher.Probe.SENT
                self._has_begun_chunk = True
                data = _CHUNK_START
            elif self._is_started:
                return disconnect_watcher.Probe.SENT
            else:
                data = _RESPONSE_START[self._start_size :][:1]
                self._start_size += len(data)
            self._set_reset_on_close(True)
            # A worker that fails must not begin another response.
            self._request.sent_headers = True
            self._request.conn.socket.send(data)
        except (OSError, ValueError):
            return disconnect_watcher.Probe.IMPOSSIBLE
        finally:
            self._lock.release()
        return disconnect_watcher.Probe.SENT

    def write_response(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Writes a complete response.

        Raises:
            CallerDisconnectedError: The caller has closed its connection.
        """
        self.write_response_parts(status, reason, headers, [body])

    def write_response_parts(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        parts: list[bytes],
    ) -> None:
        """Writes a complete response with its body in parts.

        The list is emptied, so that each part is released once it was sent.

        Raises:
            CallerDisconnectedError: The caller has closed its connection.
        """
        sent_headers = list(headers)
        method = self._request.method.decode("latin-1")
        if upstream.has_body(status, method):
            length = sum(map(len, parts))
            sent_headers.append(("Content-Length", str(length)))
        else:
            parts.clear()
        self._request.sent_headers = self._is_started = True
        head = self._format_head(status, reason, sent_headers)
        buffers = send_buffers.SendBuffers([head, *parts])
        parts.clear()
        self._send(buffers)

    def start_stream(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        length: str | None = None,
    ) -> None:
        """Prepares the head of a stream; it is sent with the first data.

        Args:
            status: HTTP status.
            reason: Reason phrase.
            headers: The other headers.
            length: Length of the body in bytes, None if it is unknown.
        """
        sent_headers = list(headers)
        if length is not None:
            sent_headers.append(("Content-Length", length))
        elif self._request.request_protocol == b"HTTP/1.1":
            self._chunked = True
            sent_headers.append(("Transfer-Encoding", "chunked"))
        else:
            self._ends_with_connection = True
            self._request.close_connection = True
        self._request.sent_headers = self._is_started = True
        self._pending_head = self._format_head(status, reason, sent_headers)

    def write_data(self, data: bytes) -> None:
        """Writes a part of a stream: complete events, or bytes of a body.

        Raises:
            CallerDisconnectedError: The caller has closed its connection.
        """
        self.write_parts([data])

    def write_parts(self, parts: list[bytes]) -> None:
        """Writes several parts of a stream, as one chunk.

        The list is emptied, so that each part is released once it was sent.

        Raises:
            CallerDisconnectedError: The caller has closed its connection.
        """
        with self._lock:
            head, self._pending_head = self._pending_head, b""
            data: list[send_buffers.Buffer] = list(filter(None, parts))
            parts.clear()
            if self._chunked:
                data = self._make_chunks(data)
            buffers = send_buffers.SendBuffers([head, *data])
            data.clear()
            self._send(buffers, is_end=False)

    def _make_chunks(
        self, data: list[send_buffers.Buffer]
    ) -> list[send_buffers.Buffer]:
        """Returns data as a chunk, behind the one that a probe has begun."""
        chunks: list[send_buffers.Buffer] = []
        if data and self._has_begun_chunk:
            self._has_begun_chunk = False
            first = memoryview(data[0])
            chunks += [b"\r\n", first[:1], b"\r\n"]
            data[0] = first[1:]
        # A chunk without data would be the last one.
        if size := sum(map(len, data)):
            chunks += [b"%x\r\n" % size, *data, b"\r\n"]
        return chunks

    def end_stream(self) -> None:
        """Writes the proper end of a complete stream.

        Raises:
            CallerDisconnectedError: The caller has closed its connection.
        """
        with self._lock:
            if self._has_begun_chunk:
                # There is no data for it.
                self.abort()
                return
            head, self._pending_head = self._pending_head, b""
            last_chunk = b"0\r\n\r\n" if self._chunked else b""
            self._send(send_buffers.SendBuffers([head, last_chunk]))

    def abort(self) -> None:
        """Closes the connection, so that the response stays incomplete."""
        self._request.close_connection = True
        with self._lock:
            self._is_between_chunks = False
            # The end of the connection may be taken for the end of the body if
            # nothing else marks it, or for that of a response without a status.
            if self._resets_on_close or (
                self._is_started and not self._chunked
            ):
                self._request.conn.must_reset = True

    def _format_head(
        self, status: int, reason: str, headers: Iterable[tuple[str, str]]
    ) -> bytes:
        # A request that was received must not end with its connection.
        if self._closes_connections() and not self._request.conn.has_data():
            self._request.close_connection = True
        reason = reason or http.client.responses.get(status, "Unknown")
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self._request.close_connection:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def _set_reset_on_close(self, is_set: bool) -> None:
        """Sets whether the connection is reset if the process ends.

        The lock is held.
        """
        # Each change costs a system call.
        if self._resets_on_close != is_set:
            self._resets_on_close = is_set
            listener.set_reset_on_close(self._request.conn.socket, is_set)

    def _send(
        self, buffers: send_buffers.SendBuffers, is_end: bool = True
    ) -> None:
        sock = self._request.conn.socket
        # Each change of the timeout costs a system call.
        if sock.gettimeout() != 0:
            sock.settimeout(0)
        try:
            with self._lock:
                self._write_count += 1
                self._is_between_chunks = False
                if self._ends_with_connection:
                    self._set_reset_on_close(True)
                buffers.skip(self._start_size)
                self._start_size = 0
                self._send_all(sock, buffers)
                self._is_between_chunks = self._chunked and not is_end
                self._set_reset_on_close(
                    self._ends_with_connection and not is_end
                )
        except OSError as error:
            self.abort()
            if isinstance(error, slow_readers.TooSlowError):
                # The kernel would keep what the caller has not read yet.
                self._request.conn.must_reset = True
            raise CallerDisconnectedError(str(error)) from error

    def _send_all(
        self, sock: socket.socket, buffers: send_buffers.SendBuffers
    ) -> None:
        if _send_now(sock, buffers):
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = self._readers.get_time()
        with self._readers.track(self._behind_since, buffers) as reader:
            while len(buffers):
                self._readers.wait(reader, sock, listener.WRITE_TIMEOUT_SECONDS)
                _send_now(sock, buffers)


def _send_now(sock: socket.socket, buffers: send_buffers.SendBuffers) -> bool:
    """Sends what a socket takes at once; returns whether that was all."""
    with contextlib.suppress(BlockingIOError):
        while len(buffers) and buffers.send(sock):
            pass
    return not len(buffers)


def _is_writable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLOUT)
    return bool(poller.poll(0))
