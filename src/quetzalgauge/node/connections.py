"""Connections to targets: attempts that another task can end, and a pool."""

import contextlib
import socket
import threading
import time
from typing import Any
from typing import TypeAlias

import urllib3.connection

from quetzalgauge import exceptions

Connection: TypeAlias = urllib3.connection.HTTPConnection

# Longer than the pauses inside a burst, shorter than the usual time after
# which firewalls forget an idle connection.
MAX_IDLE_SECONDS = 5.0
MAX_IDLE_PER_KEY = 32

# Keep-alive probes find a connection whose other end has vanished while it
# waits in the pool or for an answer.
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
]


class AttemptError(exceptions.QuetzalgaugeError):
    """An attempt failed.

    Attributes:
        failure: How it failed.
    """

    def __init__(self, failure: Any) -> None:
        super().__init__(failure.value)
        self.failure = failure


class Attempt:
    """The socket of an attempt, so that another task can end it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None
        self._cancel_reason: Any = None

    @property
    def cancel_reason(self) -> Any:
        """Why the attempt was ended from outside, or None."""
        return self._cancel_reason

    @property
    def sock(self) -> socket.socket | None:
        """The socket of the attempt in progress."""
        return self._sock

    def attach(self, connection: Connection) -> None:
        """Remembers the socket of a connection."""
        with self._lock:
            self._sock = connection.sock
        if self._cancel_reason is not None:
            raise AttemptError(self._cancel_reason)

    def detach(self) -> None:
        """Forgets the socket; `end` has no effect on it any more."""
        with self._lock:
            self._sock = None

    def cancel(self, reason: Any) -> None:
        """Ends the attempt; a blocked read returns at once."""
        with self._lock:
            self._cancel_reason = reason
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)


class ConnectionPool:
    """Idle connections by address. Only repeatable requests use them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_connections: dict[str, list[tuple[float, Connection]]] = {}

    def acquire(self, key: str) -> Connection | None:
        """Returns a connection that was used lately and looks open."""
        while True:
            with self._lock:
                entries = self._idle_connections.get(key)
                if not entries:
                    return None
                since, connection = entries.pop()
            if (
                time.monotonic() - since < MAX_IDLE_SECONDS
                and connection.is_connected
            ):
                return connection
            connection.close()

    def release(self, key: str, connection: Connection) -> None:
        """Keeps a connection whose last answer was read to its end."""
        with self._lock:
            entries = self._idle_connections.setdefault(key, [])
            if len(entries) < MAX_IDLE_PER_KEY:
                entries.append((time.monotonic(), connection))
                return
        connection.close()

    def close_idle(self, key: str) -> None:
        """Closes all idle connections to an address."""
        with self._lock:
            entries = self._idle_connections.pop(key, [])
        for _, connection in entries:
            connection.close()
