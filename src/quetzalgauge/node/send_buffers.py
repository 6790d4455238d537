"""Data that is sent from several buffers without joining them."""

import collections
from collections.abc import Iterable
import itertools
import socket
from typing import TypeAlias

Buffer: TypeAlias = bytes | bytearray | memoryview

# Fewer than the kernel takes in one call.
_MAX_BUFFERS_PER_CALL = 64


class SendBuffers:
    """Data that a socket has not taken yet.

    Each buffer is released once all of it was sent.

    Args:
        buffers: The data in order.
    """

    def __init__(self, buffers: Iterable[Buffer]) -> None:
        self._unsent = collections.deque(
            memoryview(buffer) for buffer in buffers if buffer
        )
        self._size = sum(map(len, self._unsent))

    def __len__(self) -> int:
        """Returns the number of bytes that were not sent yet."""
        return self._size

    def skip(self, size: int) -> None:
        """Drops bytes of the first buffer, which were sent already."""
        if size:
            self._unsent[0] = self._unsent[0][size:]
            self._size -= size

    def send(self, sock: socket.socket) -> bool:
        """Sends what a socket takes in one call.

        Returns:
            Whether it took all that it was offered.

        Raises:
            OSError: The socket has failed, or takes nothing now.
        """
        offered = list(itertools.islice(self._unsent, _MAX_BUFFERS_PER_CALL))
        sent = sock.sendmsg(offered)
        self._size -= sent
        for buffer in offered:
            if sent < len(buffer):
                self._unsent[0] = buffer[sent:]
                return False
            sent -= len(buffer)
            self._unsent.popleft()
        return True
