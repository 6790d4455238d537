"""HTTP servers for the platform's readiness checks and for operators.

They are based on cheroot.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import json
import queue
import socket
from typing import Any

import cheroot.server

from quetzalgauge import logs
from quetzalgauge.node import listener
from quetzalgauge.node import tasks

# Time for the head of a request, and to take a response.
_CONNECTION_TIMEOUT_SECONDS = 2
# Time to take a response while other requests wait.
_SHORT_WRITE_TIMEOUT_SECONDS = 0.05
# Connections that may wait for the rest of a head, requests that may wait for a
# thread, and connections that may wait for being accepted.
_MAX_WAITING_CONNECTIONS = 16
_MAX_WAITING_REQUESTS = 16
_BACKLOG = 128
_DEFAULT_THREADS = 3
# How often the selector of cheroot wakes up to close idle connections.
_EXPIRATION_INTERVAL_SECONDS = 5
_MAX_HEADER_BYTES = 16 * 1024
_log = logs.get_logger("status")


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


Handlers = Mapping[str, Callable[[], Response]]


def make_json_response(value: Any) -> Response:
    """Returns a JSON response; values that JSON lacks become strings."""
    body = json.dumps(value, default=str).encode()
    return Response(200, body, "application/json")


def make_health_response(is_healthy: bool) -> Response:
    """Returns a response with status 200 if healthy, otherwise 503."""
    return Response(200 if is_healthy else 503)


class _Connection(cheroot.server.HTTPConnection):
    """A connection whose request no thread waits for."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._received_bytes = 0

    def has_head(self) -> bool:
        """Returns whether the head of a request was received.

        Call this when the socket is readable.

        Raises:
            OSError: There will not be one.
        """
        data = self.socket.recv(_MAX_HEADER_BYTES + 1, socket.MSG_PEEK)
        if b"\r\n\r\n" in data or len(data) > _MAX_HEADER_BYTES:
            self._set_min_readable(1)
            return True
        if len(data) <= self._received_bytes:
            raise ConnectionError("the request has ended")
        self._received_bytes = len(data)
        # What was received does not make the socket readable again.
        self._set_min_readable(len(data) + 1)
        return False

    def _set_min_readable(self, size: int) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)

    def close(self) -> None:
        """Closes the connection."""
        self.server.forget(self)
        super().close()


class StatusServer(cheroot.server.HTTPServer):
    """Serves `GET` requests for a fixed set of paths.

    A thread is occupied only by requests whose head is whole. When too many
    connections wait for the rest of one, the oldest is closed.

    Args:
        address: Host and port.
        handlers: Functions that return the responses, by path.
        threads: Number of worker threads.
    """

    expiration_interval = _EXPIRATION_INTERVAL_SECONDS
    max_request_header_size = _MAX_HEADER_BYTES
    request_queue_size = _BACKLOG
    ConnectionClass = _Connection
    _connections: Any

    def __init__(
        self,
        address: tuple[str, int],
        handlers: Handlers,
        threads: int = _DEFAULT_THREADS,
    ) -> None:
        class _Gateway(cheroot.server.Gateway):
            def respond(self) -> None:
                _handle_request(self.req, handlers)

        super().__init__(
            address, _Gateway, minthreads=threads, maxthreads=threads
        )
        self.timeout = _CONNECTION_TIMEOUT_SECONDS
        self._waiting: dict[_Connection, None] = {}

    def start_serving(
        self, thread_name: str, on_failure: Callable[[str], None]
    ) -> None:
        """Binds the address and serves requests in a new thread.

        Args:
            thread_name: Name of the thread.
            on_failure: Called with the name of the thread if it ends.

        Raises:
            OSError: The address cannot be bound.
        """
        self.prepare()
        tasks.start_thread(thread_name, self.serve, on_failure)

    def process_conn(self, conn: Any) -> None:
        """Passes a connection to a thread once it has the head of a request.

        Only the thread that waits for connections calls this.
        """
        accepted_at = conn.last_used
        if accepted_at is None:
            self._make_room()
            self._waiting[conn] = None
            self.put_conn(conn)
            return
        try:
            has_head = conn.has_head()
        except OSError:
            conn.close()
            return
        if not has_head:
            self.put_conn(conn)
            # It has one timeout for all of the head.
            conn.last_used = accepted_at
        else:
            self._waiting.pop(conn, None)
            self._drop_oldest_requests()
            super().process_conn(conn)

    def _make_room(self) -> None:
        """Ends the oldest connections if too many wait."""
        while len(self._waiting) >= _MAX_WAITING_CONNECTIONS:
            oldest = next(iter(self._waiting))
            del self._waiting[oldest]
            # It becomes readable, and is closed then.
            with contextlib.suppress(OSError):
                oldest.socket.shutdown(socket.SHUT_RDWR)

    def _drop_oldest_requests(self) -> None:
        """Closes the oldest connections if too many wait for a thread."""
        with contextlib.suppress(queue.Empty):
            while self.requests.qsize >= _MAX_WAITING_REQUESTS:
                self.requests._queue.get_nowait().close()

    def forget(self, conn: _Connection) -> None:
        """Removes a connection that is closed."""
        self._waiting.pop(conn, None)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Forwards a log message of cheroot to the log of this module."""
        if msg:
            _log.log(level, "%s", msg, exc_info=traceback)


def _handle_request(request: Any, handlers: Handlers) -> None:
    path = request.path.decode("latin-1")
    handler = handlers.get(path)
    request.close_connection = True
    if handler is None or request.method != b"GET":
        listener.write_response(request, 404, "")
    else:
        response = handler()
        if request.server.requests.qsize:
            request.conn.socket.settimeout(_SHORT_WRITE_TIMEOUT_SECONDS)
        listener.write_response(
            request, response.status, response.body, response.content_type
        )
    # Otherwise cheroot would send headers of its own.
    request.sent_headers = True
