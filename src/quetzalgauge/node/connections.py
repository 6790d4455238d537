"""Connections to targets: cancelable attempts and a connection pool."""

import contextlib
import datetime
import socket
import threading
import time
from typing import Any

import urllib3.connection

from quetzalgauge import exceptions

# Longer than the pauses within a burst of requests, shorter than the usual
# time after which firewalls drop the state of an idle connection.
MAX_IDLE_SECONDS = 5.0
MAX_IDLE_PER_KEY = 32
# A connection that has carried more requests is closed.
MAX_CARRIED_IDS = 256

# Keep-alive probes detect a peer that has disappeared without closing the
# connection, both in the pool and while a response is awaited. There is no
# TCP_USER_TIMEOUT: it would also end the connection of a peer that responds to
# probes, but does not read for that long.
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]
# Without it, a call that was sent to a peer that has disappeared would not fail
# before its own timeout.
CALL_SOCKET_OPTIONS = [
    *SOCKET_OPTIONS,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
]


class Connection(urllib3.connection.HTTPConnection):
    """A connection to a target.

    Attributes:
        carried_ids: Ids of the requests that were sent on it. None of them is
            sent on it again: a second copy of the response, sent by a faulty
            target, would be taken for the response to the new attempt.
        incarnation: The start of the target at the other end, None as long as
            the target has not told it.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.carried_ids: set[str] = set()
        self.incarnation: int | None = None


class AttemptError(exceptions.QuetzalgaugeError):
    """An attempt failed.

    Attributes:
        failure: How it failed.
        detail: What exactly was wrong, for the log; empty if the failure says
            it all.
    """

    def __init__(self, failure: Any, detail: str = "") -> None:
        super().__init__(failure.value)
        self.failure = failure
        self.detail = detail


class Attempt:
    """Lets another thread cancel an attempt or give it more time.

    Args:
        deadline: When the attempt ends at the latest, on the process clock.
    """

    def __init__(self, deadline: datetime.timedelta) -> None:
        self._deadline = deadline
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None
        self._cancel_reason: Any = None

    @property
    def cancel_reason(self) -> Any:
        """The failure with which the attempt was canceled, or None."""
        return self._cancel_reason

    @property
    def deadline(self) -> datetime.timedelta:
        """When the attempt ends at the latest, on the process clock."""
        return self._deadline

    def extend(self, deadline: datetime.timedelta) -> None:
        """Gives the attempt time until a later deadline.

        A blocked read still returns at the earlier one and goes on then. Only
        one thread calls this.
        """
        self._deadline = max(self._deadline, deadline)

    def attach(self, connection: Connection) -> None:
        """Attaches the socket of a connection.

        Raises:
            AttemptError: The attempt has been canceled already.
        """
        with self._lock:
            self._sock = connection.sock
        if self._cancel_reason is not None:
            raise AttemptError(self._cancel_reason)

    def detach(self) -> None:
        """Detaches the socket; `cancel` no longer shuts it down."""
        with self._lock:
            self._sock = None

    def cancel(self, reason: Any) -> None:
        """Cancels the attempt; a blocked read returns at once.

        Args:
            reason: The failure with which the attempt ends.
        """
        with self._lock:
            self._cancel_reason = reason
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)


class ConnectionPool:
    """Idle connections by key.

    Only requests that may be retried use them, since the server may close an
    idle connection at any time.

    Args:
        max_idle: Maximum number of connections, for all keys.
    """

    def __init__(self, max_idle: int) -> None:
        self._max_idle = max_idle
        self._idle_count = 0
        self._lock = threading.Lock()
        self._idle_connections: dict[str, list[tuple[float, Connection]]] = {}
        self._next_expiry_at = 0.0

    def acquire(self, key: str, request_id: str) -> Connection | None:
        """Returns an open connection that was used recently, or None.

        Args:
            key: The key.
            request_id: Id of the request to send; connections that have
                carried it are left out.
        """
        while True:
            with self._lock:
                entries = self._idle_connections.get(key, [])
                for index in reversed(range(len(entries))):
                    idle_since, connection = entries[index]
                    if request_id not in connection.carried_ids:
                        del entries[index]
                        self._idle_count -= 1
                        break
                else:
                    return None
            if (
                time.monotonic() - idle_since < MAX_IDLE_SECONDS
                and connection.is_connected
            ):
                return connection
            connection.close()

    def release(self, key: str, connection: Connection) -> None:
        """Adds a connection whose last response was read completely.

        It is closed instead if there are enough for this key, or if it has
        carried too many requests.
        """
        self._expire()
        with self._lock:
            entries = self._idle_connections.setdefault(key, [])
            if (
                len(entries) < MAX_IDLE_PER_KEY
                and self._idle_count < self._max_idle
                and len(connection.carried_ids) <= MAX_CARRIED_IDS
            ):
                entries.append((time.monotonic(), connection))
                self._idle_count += 1
                return
        connection.close()

    def _expire(self) -> None:
        """Closes connections that have been idle for too long, for all keys.

        No request is sent to a target that has left, so nothing else closes
        the connections to it.
        """
        now = time.monotonic()
        if now < self._next_expiry_at:
            return
        expired = []
        with self._lock:
            self._next_expiry_at = now + MAX_IDLE_SECONDS
            for key, entries in list(self._idle_connections.items()):
                kept = [
                    entry
                    for entry in entries
                    if now - entry[0] < MAX_IDLE_SECONDS
                ]
                expired += [
                    connection
                    for idle_since, connection in entries
                    if now - idle_since >= MAX_IDLE_SECONDS
                ]
                if kept:
                    self._idle_connections[key] = kept
                else:
                    del self._idle_connections[key]
            self._idle_count -= len(expired)
        for connection in expired:
            connection.close()

    def close_idle(self, key: str) -> None:
        """Closes all idle connections for a key."""
        with self._lock:
            entries = self._idle_connections.pop(key, [])
            self._idle_count -= len(entries)
        for _, connection in entries:
            connection.close()
