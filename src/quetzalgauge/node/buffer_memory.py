"""Bounds the memory for all bodies that are buffered at one time."""

import threading

# Share of the memory of the process that bodies may take. A body is in memory
# twice while its parts are joined or while it is decoded.
MEMORY_SHARE = 1 / 6
# Share of the total that the response to a single request may take.
RESPONSE_SHARE = 1 / 8
# Share of the total that is left to the bodies of requests.
REQUESTS_SHARE = 1 / 4
# Share of the total that is left to requests whose body is short.
SHORT_BODIES_SHARE = 1 / 16
MAX_SHORT_BODY_BYTES = 65_536


class BufferMemory:
    """Memory for buffered bodies, shared by all requests.

    It is safe for use by several threads.

    Args:
        total_bytes: What all requests together may take.
    """

    def __init__(self, total_bytes: int) -> None:
        self._lock = threading.Lock()
        self._free_bytes = total_bytes
        self.total_bytes = total_bytes
        self.max_response_bytes = int(total_bytes * RESPONSE_SHARE)
        self.reserved_bytes = int(total_bytes * REQUESTS_SHARE)
        self.short_reserved_bytes = int(total_bytes * SHORT_BODIES_SHARE)

    @property
    def free_bytes(self) -> int:
        """The number of bytes that can still be taken."""
        return self._free_bytes

    def take(self, size: int, min_left: int = 0) -> bool:
        """Takes memory; returns False if less than a minimum would be left."""
        with self._lock:
            if self._free_bytes - size < min_left:
                return False
            self._free_bytes -= size
            return True

    def has_for_response(self, size: int) -> bool:
        """Returns whether a response could take memory now."""
        return self._free_bytes - size >= self.reserved_bytes

    def give_back(self, size: int) -> None:
        """Returns memory that was taken."""
        with self._lock:
            self._free_bytes += size


class Reservation:
    """The memory that one request and its response have taken."""

    def __init__(self, memory: BufferMemory) -> None:
        self._memory = memory
        self._size = 0
        self._response_size = 0

    def take_for_request(self, size: int) -> bool:
        """Takes memory for a part of the request; returns False without it."""
        is_short = self._size + size <= MAX_SHORT_BODY_BYTES
        if not self._memory.take(
            size, 0 if is_short else self._memory.short_reserved_bytes
        ):
            return False
        self._size += size
        return True

    def take_for_response(self, size: int) -> bool:
        """Takes memory for a part of a response; returns False without it."""
        if (
            self._response_size + size > self._memory.max_response_bytes
            or not self._memory.take(size, self._memory.reserved_bytes)
        ):
            return False
        self._size += size
        self._response_size += size
        return True

    def give_back(self, size: int) -> None:
        """Returns a part of what was taken."""
        self._size -= size
        self._memory.give_back(size)

    def release_response(self) -> None:
        """Returns what was taken for the response."""
        size, self._response_size = self._response_size, 0
        self.give_back(size)

    def release(self) -> None:
        """Returns all that was taken."""
        size, self._size = self._size, 0
        self._response_size = 0
        self._memory.give_back(size)


def make_buffer_memory(memory_mb: float) -> BufferMemory:
    """Returns the memory for bodies of a process.

    Args:
        memory_mb: Memory of the process in MB.
    """
    return BufferMemory(int(memory_mb * 1_000_000 * MEMORY_SHARE))
