"""Detects callers that close their connection during a request.

A caller that only ends its sending half still waits for the response. Both look
the same until something is sent to the caller: a closed connection is then
reset. Therefore, a caller whose sending half has ended is probed. Within a
stream, a write is awaited first, since it has the same effect.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import datetime
import enum
import select
import socket
import threading
import time

# A closed connection is reset within this time after a probe. A caller that has
# only ended its sending half waits for it.
PROBE_TIMEOUT = datetime.timedelta(milliseconds=50)
# Time for which something else that is written is awaited instead of a probe.
PROBE_DELAY = datetime.timedelta(milliseconds=100)

_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_RESET_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL


class Probe(enum.Enum):
    """What became of a probe."""

    SENT = "sent"  # It, or something else that has the same effect.
    POSTPONED = "postponed"  # It has to be tried again after `PROBE_DELAY`.
    # The end of the sending half has to be taken for a close.
    IMPOSSIBLE = "impossible"


@dataclasses.dataclass(frozen=True, slots=True)
class _Caller:
    local_id: int
    sock: socket.socket
    probe: Callable[[], Probe]


def has_disconnected(sock: socket.socket, probe: Callable[[], Probe]) -> bool:
    """Returns whether a caller has closed its connection already.

    Args:
        sock: The socket of the caller.
        probe: Sends something that the caller ignores.
    """
    events = _poll(sock)
    if not events:
        return False
    if events & _RESET_EVENTS or probe() is Probe.IMPOSSIBLE:
        return True
    return bool(_poll(sock, 0, PROBE_TIMEOUT) & _RESET_EVENTS)


def _poll(
    sock: socket.socket,
    events: int = select.POLLRDHUP,
    timeout: datetime.timedelta = datetime.timedelta(),
) -> int:
    """Returns the events of a socket; a reset is always one of them."""
    try:
        poller = select.poll()
        poller.register(sock, events)
        ready = poller.poll(timeout.total_seconds() * 1000)
    except (OSError, ValueError):
        return select.POLLNVAL
    return ready[0][1] if ready else 0


class DisconnectWatcher:
    """Watches the connections of requests in progress.

    Args:
        on_disconnect: Called with the local id of a request whose caller has
            disconnected.
    """

    def __init__(self, on_disconnect: Callable[[int], None]) -> None:
        self._on_disconnect = on_disconnect
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callers: dict[int, _Caller] = {}
        # When to probe again, in seconds of the steady clock and in this order.
        self._postponed: dict[int, float] = {}

    def add(
        self, sock: socket.socket, local_id: int, probe: Callable[[], Probe]
    ) -> None:
        """Starts watching the socket of a caller, which may be closed already.

        Call this after the arrival of the request was posted: a disconnect is
        reported once, and nobody knows the request before.

        Args:
            sock: The socket.
            local_id: The request.
            probe: See `has_disconnected`; may be called in another thread.
        """
        with self._lock:
            fd = sock.fileno()
            self._callers[fd] = _Caller(local_id, sock, probe)
            with contextlib.suppress(OSError, ValueError):
                self._epoll.register(
                    fd, _DISCONNECT_EVENTS | select.EPOLLONESHOT
                )

    def remove(self, sock: socket.socket) -> None:
        """Stops watching a socket. Call this before the socket is closed."""
        with self._lock:
            fd = sock.fileno()
            self._callers.pop(fd, None)
            self._postponed.pop(fd, None)
            with contextlib.suppress(OSError, ValueError):
                self._epoll.unregister(fd)

    def run(self) -> None:
        """Reports disconnected callers until the process exits."""
        while True:
            for fd, _ in self._epoll.poll(self._get_timeout()):
                with self._lock:
                    self._check(fd)
            with self._lock:
                now = time.monotonic()
                for fd, due_at in list(self._postponed.items()):
                    if due_at > now:
                        break
                    self._check(fd)

    def _get_timeout(self) -> float | None:
        """Returns the seconds until the next postponed probe, if any."""
        with self._lock:
            for due_at in self._postponed.values():
                return max(0.0, due_at - time.monotonic())
        return None

    def _check(self, fd: int) -> None:
        self._postponed.pop(fd, None)
        caller = self._callers.get(fd)
        # The event may be one of an earlier socket with the same number.
        if caller is None:
            return
        events = _poll(caller.sock)
        if not events:
            self._watch(fd, _DISCONNECT_EVENTS)
            return
        probe = Probe.IMPOSSIBLE
        if not events & _RESET_EVENTS:
            probe = caller.probe()
        if probe is Probe.IMPOSSIBLE:
            self._on_disconnect(caller.local_id)
            return
        if probe is Probe.POSTPONED:
            delay = PROBE_DELAY.total_seconds()
            self._postponed[fd] = time.monotonic() + delay
        # The end of the sending half stays; only a reset is news.
        self._watch(fd, select.EPOLLHUP | select.EPOLLERR)

    def _watch(self, fd: int, events: int) -> None:
        with contextlib.suppress(OSError, ValueError):
            self._epoll.modify(fd, events | select.EPOLLONESHOT)
