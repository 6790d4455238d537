"""Detects callers that close their connection during a request.

A caller that only ends its sending half still waits for the response. Both look
the same until something is sent to the caller: a closed connection is then
reset. Therefore, a caller whose sending half has ended is probed.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import datetime
import select
import socket
import threading

# A closed connection is reset within this time after a probe. A caller that has
# only ended its sending half waits for it.
PROBE_TIMEOUT = datetime.timedelta(milliseconds=50)

_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_RESET_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL


@dataclasses.dataclass(frozen=True, slots=True)
class _Caller:
    local_id: int
    sock: socket.socket
    probe: Callable[[], bool]


def has_disconnected(sock: socket.socket, probe: Callable[[], bool]) -> bool:
    """Returns whether a caller has closed its connection already.

    Args:
        sock: The socket of the caller.
        probe: Sends something that the caller ignores; returns False if
            nothing can be sent, so that the end of the sending half has to be
            taken for a close.
    """
    events = _poll(sock)
    if not events:
        return False
    if events & _RESET_EVENTS or not probe():
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

    def add(
        self, sock: socket.socket, local_id: int, probe: Callable[[], bool]
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
            with contextlib.suppress(OSError, ValueError):
                self._epoll.unregister(fd)

    def run(self) -> None:
        """Reports disconnected callers until the process exits."""
        while True:
            for fd, _ in self._epoll.poll():
                with self._lock:
                    self._check(fd)

    def _check(self, fd: int) -> None:
        caller = self._callers.get(fd)
        # The event may be one of an earlier socket with the same number.
        if caller is None:
            return
        events = _poll(caller.sock)
        if not events:
            self._watch(fd, _DISCONNECT_EVENTS)
        elif events & _RESET_EVENTS or not caller.probe():
            self._on_disconnect(caller.local_id)
        else:
            # The end of the sending half stays; only a reset is news.
            self._watch(fd, select.EPOLLHUP | select.EPOLLERR)

    def _watch(self, fd: int, events: int) -> None:
        with contextlib.suppress(OSError, ValueError):
            self._epoll.modify(fd, events | select.EPOLLONESHOT)
