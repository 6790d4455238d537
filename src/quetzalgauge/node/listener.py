"""The HTTP server for callers, based on cheroot, with strict framing.

A request with ambiguous framing is refused and its connection is closed, since
an intermediary may parse it differently (request smuggling).
"""

import collections
from collections.abc import Callable
import contextlib
import datetime
import enum
import errno
import http.client
import math
import os
import re
import select
import selectors
import socket
import struct
import threading
import time
from typing import Any

import cheroot.connections
import cheroot.server

from quetzalgauge import logs
from quetzalgauge.core import configuration
from quetzalgauge.node import buffer_memory
from quetzalgauge.node import overload
from quetzalgauge.node import request_body

BACKLOG = 1024
# The pool starts with this many threads. It grows whenever fewer than
# `SPARE_THREADS` are idle.
INITIAL_THREADS = 24
SPARE_THREADS = 8
# A caller may pause for this long while it receives a response.
WRITE_TIMEOUT_SECONDS = 10.0
# Cheroot expires idle connections by the wall clock, which may jump.
IDLE_TIMEOUT_MARGIN_SECONDS = 30.0
# Time in which a caller that is refused may still send its request. A close
# before its end would reset the connection, and the refusal could be lost.
LINGER_SECONDS = 2.0
# Pause after a connection could not be accepted.
ACCEPT_RETRY_SECONDS = 0.01
# Connections that are accepted before others are read.
MAX_ACCEPTED_PER_PASS = 64
# Interval at which unfinished requests are checked.
CHECK_INTERVAL_SECONDS = 0.05
# Time in which the last connections are accepted. Shorter than the wait for
# requests on them before the process exits.
LAST_ACCEPT_SECONDS = 0.1

_HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_REQUEST_TARGET = re.compile(rb"[!-~]+\Z")
_HEADER_VALUE = re.compile(rb"[\t -~\x80-\xff]*\Z")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}\Z")
# Where a head ends, or an invalid line in it.
_HEAD_SUFFIX = b"\r\n\r\n"
_HEAD_END = re.compile(_HEAD_SUFFIX + rb"|(?<!\r)\n")
_HEAD_READ_BYTES = 8192
_BODY_READ_BYTES = 65_536
_CRLF = b"\r\n"

_log = logs.get_logger("listener")


class _HeaderDict(dict):
    """Header dictionary for cheroot that also keeps every line as received."""

    def __init__(self) -> None:
        super().__init__()
        self.pairs: list[tuple[str, str]] = []


class _HeaderReader:
    """Parses headers; raises ValueError if parsers could disagree on them."""

    def __call__(self, rfile: Any, hdict: Any) -> Any:
        counts: dict[bytes, int] = {}
        while True:
            line = rfile.readline()
            if not line:
                raise ValueError("the headers are incomplete")
            if line == _CRLF:
                break
            if not line.endswith(_CRLF):
                raise ValueError("a header line has no CRLF")
            name, colon, value = line[:-2].partition(b":")
            value = value.strip(b" \t")
            if (
                not colon
                or not _HEADER_NAME.match(name)
                or not _HEADER_VALUE.match(value)
            ):
                raise ValueError("a header line is malformed")
            hdict.pairs.append((name.decode(), value.decode("latin-1")))
            key = name.title()
            counts[key] = counts.get(key, 0) + 1
            hdict[key] = value
        for key in (b"Content-Length", b"Transfer-Encoding", b"Host"):
            if counts.get(key, 0) > 1:
                raise ValueError(f"{key.decode()} stands twice")
        _check_framing(hdict)
        return hdict


def _check_framing(headers: dict[bytes, bytes]) -> None:
    length = headers.get(b"Content-Length")
    encoding = headers.get(b"Transfer-Encoding")
    if length is not None and not _CONTENT_LENGTH.match(length):
        raise ValueError("Content-Length is no number")
    if encoding is None:
        return
    if length is not None:
        raise ValueError("Content-Length and Transfer-Encoding")
    if encoding.lower() != b"chunked":
        raise ValueError("Transfer-Encoding is not chunked")


class Request(cheroot.server.HTTPRequest):
    """A request of a caller.

    Attributes:
        body_reader: Collects the body, None before the head was parsed.
        reservation: The memory that the request and its response take.
    """

    header_reader = _HeaderReader()

    def __init__(
        self, server: Any, conn: Any, *args: Any, **kwargs: Any
    ) -> None:
        super().__init__(server, conn, *args, **kwargs)
        self.inheaders = _HeaderDict()
        self.body_reader: request_body.BodyReader | None = None
        self.reservation: buffer_memory.Reservation = conn.reservation

    @property
    def header_pairs(self) -> list[tuple[str, str]]:
        """All headers in the order in which they were received."""
        pairs: list[tuple[str, str]] = self.inheaders.pairs
        return pairs

    def parse_request(self) -> None:
        """Parses the request line and the headers."""
        super().parse_request()
        if self.ready and self._has_close_option():
            self.close_connection = True
        if self.ready and (
            not _REQUEST_TARGET.match(self.uri)
            or (
                self.request_protocol == b"HTTP/1.0"
                and b"Transfer-Encoding" in self.inheaders
            )
        ):
            self.ready = False
            self.simple_response("400 Bad Request")

    def _has_close_option(self) -> bool:
        value = self.inheaders.get(b"Connection", b"").lower()
        return b"close" in [part.strip() for part in value.split(b",")]

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Refuses invalid HTTP and closes the connection."""
        status_code = int(str(status)[:3])
        if status_code == 413:
            # Cheroot uses 413 for headers that are too long; the length of
            # the body is checked with the body.
            status_code = 431
        self.close_connection = True
        self.conn.must_linger = True
        self.server.count_invalid(status_code, msg)
        with contextlib.suppress(OSError):
            _send_at_once(self.conn.socket, _format_response(status_code, msg))

    def fail(self) -> None:
        """Ends a request that cannot be handled.

        A response that has begun stays incomplete.
        """
        if self.sent_headers:
            self.close_connection = True
            self.conn.must_reset = True
        else:
            self.simple_response(500)

    def respond(self) -> None:
        """Handles the request once its body has been received."""
        if self.conn.receive_body(self):
            self.server.serve_request(self)

    def get_body(self) -> list[bytearray]:
        """Returns the body in parts.

        Raises:
            request_body.BodyError: The body is too long, malformed or
                incomplete, did not arrive in time, or there is no memory for
                it.
        """
        assert self.body_reader is not None
        try:
            return self.body_reader.get_body()
        except request_body.BodyError as error:
            if not error.was_read:
                self.close_connection = True
                self.conn.must_linger = True
            raise


def set_reset_on_close(sock: socket.socket, is_set: bool) -> None:
    """Sets whether a close resets the connection, also one by the kernel.

    A shutdown that comes before still ends it properly.
    """
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_set, 0)
    )


def _send_at_once(sock: socket.socket, data: bytes) -> None:
    """Sends data without waiting.

    Raises:
        OSError: The socket does not take all of it.
    """
    if os.write(sock.fileno(), data) < len(data):
        raise BlockingIOError(errno.EAGAIN, "the socket takes no more")


def _can_read_data(sock: socket.socket) -> bool:
    """Returns whether a read returns data at once; the end is no data."""
    try:
        return _is_readable(sock) and bool(sock.recv(1, socket.MSG_PEEK))
    except (OSError, ValueError):
        return False


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


class _Received:
    """What was received on a connection and is not used yet.

    It is the file from which cheroot reads a head.

    Attributes:
        data: The bytes.
        has_timed_out: Whether the rest of a head did not arrive in time.
    """

    bytes_read = 0

    def __init__(self) -> None:
        self.data = bytearray()
        self.has_timed_out = False
        self.closed = False
        self._searched_bytes = 0
        self._has_head = False

    def has_data(self) -> bool:
        """Returns whether there are bytes."""
        return bool(self.data)

    def has_head(self, max_bytes: int) -> bool:
        """Returns whether a head can be parsed, or is known to be invalid."""
        if not self._has_head:
            # The end may have been received in part.
            start = max(0, self._searched_bytes - len(_HEAD_SUFFIX))
            self._searched_bytes = len(self.data)
            self._has_head = (
                _HEAD_END.search(self.data, start) is not None
                or len(self.data) > max_bytes
            )
        return self._has_head

    def readline(self, size: int) -> bytes:
        """Returns a line, or what there is of it.

        Raises:
            TimeoutError: The rest of it did not arrive in time.
        """
        end = self.data.find(b"\n", 0, size) + 1
        if not end and len(self.data) < size and self.has_timed_out:
            raise TimeoutError("timed out")
        end = end or min(size, len(self.data))
        line = bytes(self.data[:end])
        del self.data[:end]
        self._searched_bytes = 0
        self._has_head = False
        return line

    def close(self) -> None:
        """Drops the bytes."""
        self.closed = True
        self.data.clear()


class _Writer:
    """The file to which cheroot writes interim responses.

    No thread waits for a caller that does not take them.
    """

    bytes_written = 0

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def write(self, data: bytes) -> None:
        """Writes data.

        Raises:
            OSError: The socket does not take all of it at once.
        """
        _send_at_once(self._sock, data)


class _Progress(enum.Enum):
    """What follows when a connection was read."""

    WAITING = "waiting"  # For more.
    READY = "ready"  # A worker goes on.
    ENDED = "ended"  # Nothing can be read any more.


class _Connection(cheroot.server.HTTPConnection):
    """A connection of a caller.

    The thread that waits for connections reads requests; a worker gets their
    heads, and then the request once it was received whole. Of the two, only the
    one that has the connection now may use it.

    Attributes:
        is_new: Whether nothing has been received on it yet.
        must_reset: Whether to reset the connection instead of closing it.
        must_linger: Whether a part of a request was not read, so that a close
            has to wait for it.
        reservation: The memory that its request and the response take.
        cost: See `overload.Usage`.
        has_served: See `overload.Usage`.
        is_refused: See `overload.Usage`.
        deadline: When the wait for the rest of a request, or for the end of a
            refused one, is over, in seconds of the steady clock.
    """

    RequestHandlerClass = Request

    def __init__(self, server: Any, sock: Any, makefile: Any) -> None:
        self._received = _Received()
        super().__init__(
            server,
            sock,
            lambda sock, mode, size: (
                self._received if "r" in mode else _Writer(sock)
            ),
        )
        # They refer to the connection, which would be freed late.
        del self.resolve_peer_creds, self.get_peer_creds
        self._has_begun = False
        # The request whose body is awaited.
        self._request: Request | None = None
        self._body_deadline = math.inf
        self._is_costly = False
        self._kept_head_bytes = 0
        self.is_new = True
        self.must_reset = False
        self.must_linger = False
        self.reservation = buffer_memory.Reservation(server.memory)
        self.cost = 0
        self.has_served = False
        self.is_refused = False
        self.deadline = math.inf

    @property
    def is_unfinished(self) -> bool:
        """Whether a part of a request was received."""
        return self._request is not None or self._received.has_data()

    @property
    def allocated_bytes(self) -> int:
        """Memory that the body of its unfinished request takes."""
        request = self._request
        if (
            request is None
            or request.body_reader is None
            or request.body_reader.is_done
        ):
            return 0
        return request.body_reader.allocated_bytes

    @property
    def head_bytes(self) -> int:
        """Memory that what was received of a head takes."""
        return 0 if self._request else len(self._received.data)

    def has_data(self) -> bool:
        """Returns whether data was received that was not read yet."""
        return self._received.has_data() or _can_read_data(self.socket)

    def receive(self) -> _Progress:
        """Reads without waiting, and parses what was received."""
        size = _HEAD_READ_BYTES
        # The parts of a costly body are short, so that others need not wait.
        if self._request is not None and not self._is_costly:
            size = _BODY_READ_BYTES
        try:
            data = os.read(self.socket.fileno(), size)
        except BlockingIOError:
            return _Progress.WAITING
        except OSError:
            return _Progress.ENDED
        self.cost += len(data)
        if self.is_refused:
            return _Progress.WAITING if data else _Progress.ENDED
        if data:
            self._received.data += data
            return self.examine()
        if not self.is_unfinished:
            return _Progress.ENDED
        if self._request is not None:
            self._fail_body(400, "the body is incomplete")
        return _Progress.READY

    def examine(self) -> _Progress:
        """Parses what was received."""
        if self._request is not None:
            is_ready = self._collect_body(self._request)
        else:
            is_ready = self._received.has_head(
                self.server.max_request_header_size
            )
            if not self._has_begun and b"\n" in self._received.data:
                self._has_begun = True
                self.server.begin_request()
            if self.deadline == math.inf and not is_ready:
                self.deadline = time.monotonic() + self._get_header_timeout()
        return _Progress.READY if is_ready else _Progress.WAITING

    def receive_body(self, request: Request) -> bool:
        """Takes what was received of a body; returns whether that is all.

        Otherwise, the request is handled when the rest was received.
        """
        self.deadline = math.inf
        request.body_reader = request_body.make_body_reader(
            request.inheaders, self.server.limits(), self.reservation
        )
        if request.body_reader.is_done:
            return True
        self._request = request
        self._body_deadline = (
            time.monotonic() + self.server.body_timeout.total_seconds()
        )
        is_whole = True
        try:
            is_whole = self._collect_body(request) or not self._keep_head()
        finally:
            if is_whole:
                self._request = None
        return is_whole

    def _keep_head(self) -> bool:
        """Takes memory for a parsed head; refuses its request without it."""
        assert self._request is not None
        size = len(self._request.header_pairs) * overload.HEADER_LINE_BYTES
        if self.server.take_for_head(size):
            self._kept_head_bytes = size
            return True
        self._fail_body(503, "no memory for the head")
        return False

    def _drop_head(self) -> None:
        self.server.return_from_head(self._kept_head_bytes)
        self._kept_head_bytes = 0

    def _collect_body(self, request: Request) -> bool:
        assert request.body_reader is not None
        with self.server.body_lock:
            received = len(self._received.data)
            cost = request.body_reader.feed(self._received.data)
            self._is_costly = cost > 2 * received
            self.cost += cost
            while not request.body_reader.take_memory():
                self.server.discard_largest_body(self)
        if request.body_reader.is_done:
            self.deadline = math.inf
            return True
        self.deadline = min(
            time.monotonic() + self._get_header_timeout(), self._body_deadline
        )
        return False

    def _get_header_timeout(self) -> float:
        seconds: float = self.server.limits().header_timeout.total_seconds()
        return seconds

    def discard_body(self) -> None:
        """Drops the body of its unfinished request; `body_lock` is held."""
        if self._request is not None and self._request.body_reader is not None:
            self._request.body_reader.discard()

    def _fail_body(self, status: int, message: str) -> None:
        assert self._request is not None
        assert self._request.body_reader is not None
        with self.server.body_lock:
            self._request.body_reader.fail(status, message)

    def postpone_deadline(self, now: float) -> bool:
        """Returns whether data was received that is read before the deadline.

        Args:
            now: The time of the steady clock in seconds.
        """
        if not _can_read_data(self.socket):
            return False
        if self._request is None:
            progress = _Progress.WAITING
            while progress is _Progress.WAITING and _can_read_data(self.socket):
                progress = self.receive()
            return progress is _Progress.READY
        self.deadline = min(
            now + self._get_header_timeout(), self._body_deadline
        )
        return self.deadline > now

    def time_out(self) -> None:
        """Ends the wait for the rest of a request."""
        if self._request is not None:
            self._fail_body(408, "the body did not arrive in time")
        else:
            self._received.has_timed_out = True

    def close(self) -> None:
        """Closes the connection."""
        self._finish_request()
        # Another thread may be about to drop its body.
        with self.server.body_lock:
            self._request = None
            self._drop_head()
            self.reservation.release()
        super().close()

    def _finish_request(self) -> None:
        if self._has_begun:
            self._has_begun = False
            self.server.finish_request()

    def _close_kernel_socket(self) -> None:
        if not self.must_reset:
            super()._close_kernel_socket()  # type: ignore[misc]
            return
        # A close without lingering resets the connection, unless a shutdown
        # has ended it properly before.
        set_reset_on_close(self.socket, True)

    def communicate(self) -> bool:
        """Handles what was received; returns whether to keep it open."""
        keeps_open = False
        try:
            keeps_open = self._go_on()
            # A close with data unread discards what was not sent yet.
            if not (keeps_open or self.must_reset) and (
                self.must_linger or self.has_data()
            ):
                keeps_open = self._begin_to_linger()
        finally:
            if self._request is None:
                self.reservation.release()
                # Requests behind another count as one with it: the process must
                # not exit between them.
                if not keeps_open or not (
                    self.is_refused or self.server.has_request_behind(self)
                ):
                    self._finish_request()
            if not keeps_open:
                self.server.finish_connection()
        return keeps_open

    def _go_on(self) -> bool:
        """Handles a request; returns whether to read from the connection."""
        request, self._request = self._request, None
        if request is None:
            keeps_open: bool = super().communicate()
            if self._request is not None:
                return True
        else:
            self._drop_head()
            self.server.serve_request(request)
            keeps_open = not request.close_connection
        self.has_served = True
        self.cost = 0
        return keeps_open

    def _begin_to_linger(self) -> bool:
        """Ends the sending half; returns whether to wait for the peer's."""
        self.is_refused = True
        self._received.close()
        self.deadline = time.monotonic() + LINGER_SECONDS
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        return True


class _StopRequest:
    """Wakes the thread that waits for connections, in the place of one."""

    last_used = math.inf

    def __init__(self) -> None:
        self.descriptor = os.eventfd(1)

    def close(self) -> None:
        """Closes its descriptor."""
        os.close(self.descriptor)


class _ConnectionManager(cheroot.connections.ConnectionManager):
    """Waits for new connections, reads requests and closes idle connections."""

    _selector: Any
    _stop_requested: bool
    _num_connections: int

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        self._can_accept = True
        self._stop_request = _StopRequest()
        # Connections that wait for the rest of a request.
        self._unfinished: set[_Connection] = set()
        self._next_check_at = -math.inf
        # Connections with a request behind the one that was answered last.
        self._behind: collections.deque[_Connection] = collections.deque()

    def request_stop(self) -> None:
        """Makes the thread that waits close idle connections."""
        self._selector.register(
            self._stop_request.descriptor,
            selectors.EVENT_READ,
            data=self._stop_request,
        )

    def put(self, conn: _Connection) -> None:
        """Waits for data on a connection, or passes on what it has."""
        conn.last_used = time.time()
        if conn.is_unfinished and conn.examine() is _Progress.READY:
            self._behind.append(conn)
            self._pass_on_behind()
            return
        if conn.is_unfinished or conn.is_refused:
            self._unfinished.add(conn)
        self._selector.register(
            conn.socket.fileno(), selectors.EVENT_READ, data=conn
        )

    def _pass_on_behind(self) -> None:
        """Passes on requests that were received behind others.

        They leave places for requests on other connections.
        """
        while self.server.open_count <= self.server.max_requests_behind:
            try:
                connection = self._behind.popleft()
            except IndexError:
                return
            self.server.process_conn(connection)

    def close(self) -> None:
        """Closes all connections that no worker has."""
        while self._behind:
            self._behind.popleft().close()
        super().close()

    def put_last(self, conn: _Connection) -> None:
        """Like `put` after the listener has closed.

        Closes the connection if no request on it has begun.
        """
        if not (conn.is_unfinished or conn.is_refused):
            progress = _Progress.ENDED
            if conn.has_data():
                progress = conn.receive()
            if progress is _Progress.ENDED or not conn.is_unfinished:
                conn.close()
                return
        self.put(conn)

    def _run(self, expiration_interval: float) -> None:
        next_expiry_at = time.monotonic() + expiration_interval
        while not self._stop_requested:
            timeout = expiration_interval
            if self._unfinished or self._behind:
                timeout = min(timeout, CHECK_INTERVAL_SECONDS)
            self._handle_events(timeout)
            now = time.monotonic()
            if self._unfinished and now >= self._next_check_at:
                self._next_check_at = now + CHECK_INTERVAL_SECONDS
                self._check_unfinished(now)
            if now >= next_expiry_at:
                next_expiry_at = now + expiration_interval
                self._expire(time.time() - self.server.timeout)

    def _handle_events(self, timeout: float) -> None:
        """Waits for connections with data, and for new ones, and reads them."""
        try:
            ready = list(self._selector.select(timeout=timeout))
        except OSError:
            self._remove_invalid_sockets()  # type: ignore[attr-defined]
            return
        self._handle_ready([entry for _, entry in ready])
        self._pass_on_behind()

    def _handle_ready(self, ready: list[Any]) -> None:
        if self._stop_request in ready:
            # The connections that are ready may be closed here.
            self._selector.unregister(self._stop_request.descriptor)
            self._stop_request.close()
            self.close_idle()
            self.server.finish_close()
            return
        connections = [entry for entry in ready if entry is not self.server]
        if len(connections) < len(ready):
            self._accept(is_busy=bool(connections))
        if len(connections) > 1:
            connections = overload.sort_by_cost(connections)
        cost = 0
        for connection in connections:
            cost += self._read(connection)
            if cost > overload.MAX_COST_PER_PASS:
                break

    def _accept(self, is_busy: bool) -> None:
        """Accepts connections, several while others are read."""
        for _ in range(MAX_ACCEPTED_PER_PASS if is_busy else 1):
            connection = self._from_server_socket(self.server.socket)
            if connection is None:
                break
            self.server.process_conn(connection)
            self._close_excess()
            if not is_busy or not _is_readable(self.server.socket):
                break

    def _close_excess(self) -> None:
        """Closes connections if there are too many."""
        limit = self.server.max_connections
        count = self._num_connections + self.server.open_count
        excess = count + len(self._behind) - limit
        if excess <= 0:
            return
        waiting = [
            connection
            for _, connection in self._selector.connections
            if isinstance(connection, _Connection)
        ]
        for connection in overload.choose_to_close(waiting, excess, limit):
            # A request may have arrived on one that is idle.
            if (
                connection.is_refused
                or connection.is_unfinished
                or not connection.has_data()
            ):
                self._close(connection, "too_many")

    def _close(self, connection: _Connection, reason: str) -> None:
        """Closes a connection that waits."""
        if self._unregister(connection):
            self.server.count_closed(reason)
            connection.close()

    def _unregister(self, connection: _Connection) -> bool:
        """Returns whether the connection has been waited for."""
        try:
            self._selector.unregister(connection.socket.fileno())
        except (KeyError, ValueError):
            return False
        self._unfinished.discard(connection)
        return True

    def _read(self, connection: _Connection) -> int:
        """Reads from a connection that waits; returns the cost."""
        cost = connection.cost
        try:
            progress = connection.receive()
        except Exception:
            _log.exception("a connection cannot be read")
            progress = _Progress.ENDED
        if progress is _Progress.WAITING:
            if connection.is_unfinished:
                self._unfinished.add(connection)
        elif self._unregister(connection):
            if progress is _Progress.READY:
                self.server.process_conn(connection)
            else:
                connection.close()
        return int(connection.cost - cost)

    def _check_unfinished(self, now: float) -> None:
        """Ends waits that are over."""
        for connection in list(self._unfinished):
            # A worker may be about to register it.
            if connection.deadline > now or not self._unregister(connection):
                continue
            if connection.is_refused:
                connection.close()
                continue
            # The rest may have arrived while this thread did not run.
            if connection.postpone_deadline(now):
                self.put(connection)
                continue
            connection.time_out()
            self.server.process_conn(connection)
        self._limit_heads()
        self._close_excess()

    def _limit_heads(self) -> None:
        """Closes connections if unfinished heads take too much memory."""
        limit = self.server.max_head_bytes
        if len(self._unfinished) * self.server.max_request_header_size < limit:
            return
        connections = list(self._unfinished)
        total = sum(connection.head_bytes for connection in connections)
        if total <= limit:
            return
        connections.sort(key=lambda connection: connection.head_bytes)
        while total > limit:
            connection = connections.pop()
            total -= connection.head_bytes
            self._close(connection, "no_memory")

    def discard_largest_body(self, connection: _Connection) -> None:
        """Drops the largest body of unfinished requests, or that of this one.

        `body_lock` is held.
        """
        largest = overload.choose_largest(
            [connection, *self._unfinished.copy()]
        )
        (largest or connection).discard_body()

    def close_idle(self) -> None:
        """Accepts the last connections and closes all that have no data.

        Only the thread that waits may call this.
        """
        self.server.begin_to_close_idle()
        listening = self.server.socket
        # Callers may connect as fast as connections are accepted.
        deadline = time.monotonic() + LAST_ACCEPT_SECONDS
        while time.monotonic() < deadline and _is_readable(listening):
            self._handle_events(timeout=0)
        self._selector.unregister(listening)
        listening.close()
        for _, connection in list(self._selector.connections):
            if connection.is_unfinished or connection.is_refused:
                continue
            # Only requests keep the process running.
            if connection.has_data():
                self._read(connection)
            elif self._unregister(connection):
                connection.close()

    def _expire(self, threshold: float) -> None:
        expired = [
            connection
            for _, connection in self._selector.connections
            if connection is not self.server
            and connection.last_used < threshold
        ]
        for connection in expired:
            # A request may have arrived since the connections were polled.
            if (
                not connection.is_unfinished
                and not connection.has_data()
                and self._unregister(connection)
            ):
                connection.close()

    def _from_server_socket(self, server_socket: Any) -> Any:
        """Accepts a connection; returns None if that is not possible now.

        An exception would keep the idle connections from being read or closed.
        """
        try:
            connection = super()._from_server_socket(  # type: ignore[misc]
                server_socket
            )
        except OSError as error:
            if self._can_accept:
                _log.warning("cannot accept connections: %s", error)
            self._can_accept = False
            time.sleep(ACCEPT_RETRY_SECONDS)
            return None
        self._can_accept = True
        return connection


class Server(cheroot.server.HTTPServer):
    """The HTTP server for callers.

    Args:
        address: Host and port.
        limits: Returns the limits for requests of callers.
        max_threads: Maximum number of worker threads.
        descriptors: What the descriptors of the process are used for.
        handle_request: Called in a worker thread with each request.
        count_invalid: Called with the status and the message of each response
            to invalid HTTP.
        memory: Memory for the bodies of requests and responses.
        count_closed: Called with the reason when a connection is closed because
            there are too many or too little memory.
        body_timeout: The time in which a whole body has to arrive.
    """

    ConnectionClass = _Connection
    request_queue_size = BACKLOG
    _connections: Any

    def __init__(
        self,
        address: tuple[str, int],
        limits: Callable[[], configuration.CallerLimits],
        max_threads: int,
        descriptors: overload.DescriptorLimits,
        handle_request: Callable[[Request], None],
        count_invalid: Callable[[int, str], None],
        memory: buffer_memory.BufferMemory,
        count_closed: Callable[[str], None],
        body_timeout: datetime.timedelta = overload.DEFAULT_BODY_TIMEOUT,
    ) -> None:
        super().__init__(
            address,
            cheroot.server.Gateway,
            minthreads=min(INITIAL_THREADS, max_threads),
            maxthreads=max_threads,
        )
        self.keep_alive_conn_limit = descriptors.kept
        self.max_connections = descriptors.waiting + descriptors.requests
        self.max_requests_behind = int(
            descriptors.requests * overload.BEHIND_SHARE
        )
        self.limits = limits
        self.count_invalid = count_invalid
        self.count_closed = count_closed
        self.memory = memory
        self.max_head_bytes = int(memory.total_bytes * overload.HEAD_SHARE)
        self._kept_head_bytes = 0
        self.body_timeout = body_timeout
        # Held while an unfinished body grows or is dropped.
        self.body_lock = threading.RLock()
        self._handle_request = handle_request
        self._max_threads = max_threads
        self._must_grow = threading.Event()
        self._is_closed = False
        self._closes_idle = False
        self._has_closed_idle = False
        self._open_count = 0
        self._request_count = 0
        self._condition = threading.Condition()
        self.apply_limits()

    def prepare(self) -> None:
        """Binds the address and starts the worker threads."""
        super().prepare()
        self._connections.close()
        self._connections = _ConnectionManager(self)
        threading.Thread(target=self._add_threads, daemon=True).start()

    def stop(self) -> None:
        """Stops the server."""
        super().stop()
        self._must_grow.set()

    @property
    def open_count(self) -> int:
        """The number of connections that workers have, or are about to."""
        return self._open_count

    @property
    def request_count(self) -> int:
        """The number of requests of which at least the first line was read."""
        return self._request_count

    def stop_reading(
        self, timeout: datetime.timedelta, idle_timeout: datetime.timedelta
    ) -> None:
        """Closes the listener and each connection that has no data.

        Requests that were received are still handled. Returns when none is
        being read or handled.

        Args:
            timeout: Longest wait for requests.
            idle_timeout: Longest wait for connections that may have one.
        """
        started_at = time.monotonic()
        with self._condition:
            self._is_closed = True
            self._connections.request_stop()
            self._condition.wait_for(
                lambda: self._has_closed_idle and not self._open_count,
                idle_timeout.total_seconds(),
            )
            elapsed = time.monotonic() - started_at
            self._condition.wait_for(
                lambda: not self._request_count,
                max(0.0, timeout.total_seconds() - elapsed),
            )

    def process_conn(self, conn: Any) -> None:
        """Passes a connection whose head or request is whole to a worker.

        A new connection has none yet. No thread waits for it.
        """
        if conn.is_new:
            conn.is_new = False
            self._wait_for_data(conn)
        else:
            with self._condition:
                self._open_count += 1
                if self._count_missing_threads() > 0:
                    self._must_grow.set()
            super().process_conn(conn)

    def take_for_head(self, size: int) -> bool:
        """Takes memory for the head of a request whose body is awaited.

        Returns:
            False if there is none for a head that is not short.
        """
        with self.body_lock:
            total = self._kept_head_bytes + size
            if (
                size > overload.MAX_SHORT_HEAD_BYTES
                and total > self.max_head_bytes
            ):
                return False
            self._kept_head_bytes = total
            return True

    def return_from_head(self, size: int) -> None:
        """Returns memory that was taken for a head."""
        if size:
            with self.body_lock:
                self._kept_head_bytes -= size

    def discard_largest_body(self, conn: _Connection) -> None:
        """Drops the body of an unfinished request; `body_lock` is held.

        Args:
            conn: Whose request needs memory. It loses its own body if no other
                one takes more.
        """
        self._connections.discard_largest_body(conn)

    def begin_to_close_idle(self) -> None:
        """Records that connections that become idle from now on are closed."""
        with self._condition:
            self._closes_idle = True

    def finish_close(self) -> None:
        """Records that idle connections were closed."""
        with self._condition:
            self._has_closed_idle = True
            self._condition.notify_all()

    def put_conn(self, conn: Any) -> None:
        """Takes back a connection that a worker keeps open."""
        try:
            self._wait_for_data(conn)
        finally:
            self.finish_connection()

    def _wait_for_data(self, conn: Any) -> None:
        """Waits for data on a connection; closes it at the end."""
        with self._condition:
            if not self._closes_idle:
                super().put_conn(conn)
                return
        self._connections.put_last(conn)

    def begin_request(self) -> None:
        """Records that the first line of a request was read."""
        with self._condition:
            self._request_count += 1

    def has_request_behind(self, conn: _Connection) -> bool:
        """Returns whether a connection goes to a worker again at once."""
        if self._is_closed:
            return conn.has_data()
        has_data: bool = conn.rfile.has_data()
        return has_data

    def finish_request(self) -> None:
        """Records that a request was handled."""
        with self._condition:
            self._request_count -= 1
            if self._is_closed:
                self._condition.notify_all()

    def finish_connection(self) -> None:
        """Records that a worker is done with a connection."""
        with self._condition:
            self._open_count -= 1
            if self._is_closed:
                self._condition.notify_all()

    def apply_limits(self) -> None:
        """Applies the current limits, which a configuration may change."""
        limits = self.limits()
        self.max_request_header_size = limits.max_header_bytes
        idle_seconds = limits.idle_timeout.total_seconds()
        self.timeout = int(idle_seconds + IDLE_TIMEOUT_MARGIN_SECONDS)

    def serve_request(self, request: Request) -> None:
        """Handles a request."""
        try:
            self._handle_request(request)
        except Exception:
            # Cheroot would take an OSError for one of the caller's socket.
            _log.exception("a request failed")
            request.fail()
        finally:
            with contextlib.suppress(OSError):
                request.conn.socket.settimeout(self.timeout)

    def _add_threads(self) -> None:
        """Keeps spare threads for the connections that have data next.

        This takes time, so no thread that has a request to read does it.
        """
        while True:
            self._must_grow.wait()
            self._must_grow.clear()
            if not self.ready:
                return
            try:
                while (missing := self._count_missing_threads()) > 0:
                    self.requests.grow(max(missing, SPARE_THREADS))
            except Exception as error:
                # The next connection with data is another occasion.
                _log.error("no more threads: %s", error)

    def _count_missing_threads(self) -> int:
        wanted = min(self._open_count + SPARE_THREADS, self._max_threads)
        return wanted - len(self.requests._threads)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Forwards a log message of cheroot to the log of this module."""
        if msg:
            _log.log(level, "%s", msg, exc_info=traceback)


def write_response(
    request: Any,
    status: int,
    body: bytes | str,
    content_type: str = "text/plain",
    retry_after: datetime.timedelta | None = None,
) -> None:
    """Writes a short response with `Connection: close`.

    Errors are ignored, since the peer may have disconnected.

    Args:
        request: The request.
        status: HTTP status.
        body: The body.
        content_type: Media type of the body.
        retry_after: Time until a retry may succeed, None if a later retry
            makes no difference.
    """
    with contextlib.suppress(OSError):
        request.conn.socket.sendall(
            _format_response(status, body, content_type, retry_after)
        )


def _format_response(
    status: int,
    body: bytes | str,
    content_type: str = "text/plain",
    retry_after: datetime.timedelta | None = None,
) -> bytes:
    data = body if isinstance(body, bytes) else body.encode()
    head = (
        f"HTTP/1.1 {status} {http.client.responses.get(status, 'Error')}\r\n"
        f"Content-Type: {content_type}\r\nContent-Length: {len(data)}\r\n"
        "Connection: close\r\n"
    )
    if retry_after is not None:
        head += f"Retry-After: {retry_after.total_seconds():.2f}\r\n"
    head += "\r\n"
    return head.encode() + data
