"""Notices that a caller has closed its connection during a request."""

from collections.abc import Callable
import contextlib
import select
import socket

_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class DisconnectWatcher:
    """Watches the connections of requests in progress.

    Args:
        on_disconnect: Called with the token of a request whose caller has gone.
    """

    def __init__(self, on_disconnect: Callable[[int], None]) -> None:
        self._on_disconnect = on_disconnect
        self._epoll = select.epoll()
        self._local_ids: dict[int, int] = {}

    def add(self, sock: socket.socket, local_id: int) -> None:
        """Watches a caller's socket."""
        number = sock.fileno()
        self._local_ids[number] = local_id
        with contextlib.suppress(OSError):
            self._epoll.register(
                number, _DISCONNECT_EVENTS | select.EPOLLONESHOT
            )

    def remove(self, sock: socket.socket) -> None:
        """Ends the watch; must be called before the socket is closed."""
        number = sock.fileno()
        self._local_ids.pop(number, None)
        with contextlib.suppress(OSError, ValueError):
            self._epoll.unregister(number)

    def run(self) -> None:
        """Reports callers that have gone, until the process ends."""
        while True:
            for number, _ in self._epoll.poll():
                token = self._local_ids.get(number)
                if token is not None:
                    self._on_disconnect(token)
