"""Detects callers that close their connection during a request."""

from collections.abc import Callable
import contextlib
import select
import socket

_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


def has_disconnected(sock: socket.socket) -> bool:
    """Returns whether a caller has closed its connection already."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLRDHUP)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return True


class DisconnectWatcher:
    """Watches the connections of requests in progress.

    Args:
        on_disconnect: Called with the local id of a request whose caller has
            disconnected.
    """

    def __init__(self, on_disconnect: Callable[[int], None]) -> None:
        self._on_disconnect = on_disconnect
        self._epoll = select.epoll()
        self._local_ids: dict[int, int] = {}

    def add(self, sock: socket.socket, local_id: int) -> None:
        """Starts watching the socket of a caller, which may be closed already.

        Call this after the arrival of the request was posted: a disconnect is
        reported once, and nobody knows the request before.
        """
        fd = sock.fileno()
        self._local_ids[fd] = local_id
        with contextlib.suppress(OSError, ValueError):
            self._epoll.register(fd, _DISCONNECT_EVENTS | select.EPOLLONESHOT)

    def remove(self, sock: socket.socket) -> None:
        """Stops watching a socket. Call this before the socket is closed."""
        fd = sock.fileno()
        self._local_ids.pop(fd, None)
        with contextlib.suppress(OSError, ValueError):
            self._epoll.unregister(fd)

    def run(self) -> None:
        """Reports disconnected callers until the process exits."""
        while True:
            for fd, _ in self._epoll.poll():
                local_id = self._local_ids.get(fd)
                if local_id is not None:
                    self._on_disconnect(local_id)
