"""Notices that a caller has closed its connection during a request."""

from collections.abc import Callable
import contextlib
import select
import socket

_GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class CallerWatch:
    """Watches the connections of requests in progress.

    Args:
        tell: Called with the token of a request whose caller has gone.
    """

    def __init__(self, tell: Callable[[int], None]) -> None:
        self._tell = tell
        self._epoll = select.epoll()
        self._tokens: dict[int, int] = {}

    def add(self, handle: socket.socket, token: int) -> None:
        """Watches a caller's socket."""
        number = handle.fileno()
        self._tokens[number] = token
        with contextlib.suppress(OSError):
            self._epoll.register(number, _GONE | select.EPOLLONESHOT)

    def remove(self, handle: socket.socket) -> None:
        """Ends the watch; must be called before the socket is closed."""
        number = handle.fileno()
        self._tokens.pop(number, None)
        with contextlib.suppress(OSError, ValueError):
            self._epoll.unregister(number)

    def run(self) -> None:
        """Reports callers that have gone, until the process ends."""
        while True:
            for number, _ in self._epoll.poll():
                token = self._tokens.get(number)
                if token is not None:
                    self._tell(token)
