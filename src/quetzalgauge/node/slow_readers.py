"""Bounds what callers that read their responses slowly take from others.

Each of them occupies a worker thread, and the rest of its response is in
memory. Nothing happens to them while others have enough of both.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
import select
import socket
import threading

from quetzalgauge import clock
from quetzalgauge import logs
from quetzalgauge.node import send_buffers

# Share of the requests in progress, and of the memory for bodies, that slow
# readers may take.
MAX_SHARE = 1 / 4
# A caller that has been behind for less is not closed. It may be one of many
# that got large responses at the same time.
MIN_TIME_BEHIND = datetime.timedelta(seconds=1)
CHECK_INTERVAL = datetime.timedelta(milliseconds=250)
_log = logs.get_logger("slow_readers")


class TooSlowError(ConnectionAbortedError):
    """The caller reads too slowly while others need what it takes."""


@dataclasses.dataclass(eq=False, slots=True)
class SlowReader:
    """A caller whose socket does not take the rest of its response now.

    Attributes:
        behind_since: When its socket first took less than it was offered,
            without having taken everything at once since.
        unsent: The data that it was offered.
        must_close: Whether its connection has to be closed.
    """

    behind_since: datetime.timedelta
    unsent: send_buffers.SendBuffers
    must_close: bool = False


class SlowReaders:
    """The slow readers of a process.

    It is safe for use by several threads.

    Args:
        now: The clock.
        max_count: How many there may be. Beyond that, those that have been
            behind the longest are closed.
        max_bytes: How much memory they may take when it is exhausted.
        count_closed: Called with the reason and the number of connections that
            are closed.
    """

    def __init__(
        self,
        now: clock.Clock,
        max_count: int,
        max_bytes: int,
        count_closed: Callable[[str, int], None],
    ) -> None:
        self._now = now
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._count_closed = count_closed
        self._lock = threading.Lock()
        self._readers: set[SlowReader] = set()
        self._next_check_at = datetime.timedelta()

    def get_time(self) -> datetime.timedelta:
        """Returns the time for `track`."""
        return self._now()

    @contextlib.contextmanager
    def track(
        self,
        behind_since: datetime.timedelta,
        unsent: send_buffers.SendBuffers,
    ) -> Iterator[SlowReader]:
        """Counts a caller as a slow reader.

        Args:
            behind_since: See `SlowReader`.
            unsent: See `SlowReader`.
        """
        reader = SlowReader(behind_since, unsent)
        with self._lock:
            self._readers.add(reader)
        try:
            yield reader
        finally:
            with self._lock:
                self._readers.remove(reader)

    def wait(
        self, reader: SlowReader, sock: socket.socket, timeout_seconds: float
    ) -> None:
        """Waits until the socket of a reader takes data.

        Raises:
            TimeoutError: It did not within the timeout.
            TooSlowError: The connection has to be closed.
        """
        poller = select.poll()
        poller.register(sock, select.POLLOUT)
        deadline = self._now() + datetime.timedelta(seconds=timeout_seconds)
        while True:
            self._limit_count()
            if reader.must_close:
                raise TooSlowError("the caller reads too slowly")
            remaining = min(deadline - self._now(), CHECK_INTERVAL)
            if remaining <= datetime.timedelta():
                raise TimeoutError("the caller does not read")
            if poller.poll(1 + remaining.total_seconds() * 1000):
                return

    def free_memory(self) -> None:
        """Closes the slowest readers if they take too much memory."""
        with self._lock:
            readers = self._list_slowest()
            held_bytes = sum(len(reader.unsent) for reader in readers)
            count = 0
            while held_bytes > self._max_bytes:
                held_bytes -= len(readers[count].unsent)
                count += 1
            self._close("memory", readers[:count])

    def _limit_count(self) -> None:
        """Closes the slowest readers if there are too many."""
        now = self._now()
        # Reading these two without the lock can only delay the check.
        if len(self._readers) <= self._max_count or now < self._next_check_at:
            return
        with self._lock:
            self._next_check_at = now + CHECK_INTERVAL
            open_count = sum(not reader.must_close for reader in self._readers)
            excess = max(0, open_count - self._max_count)
            self._close("threads", self._list_slowest()[:excess])

    def _list_slowest(self) -> list[SlowReader]:
        """Returns the readers that may be closed, the slowest first."""
        latest = self._now() - MIN_TIME_BEHIND
        return sorted(
            (
                reader
                for reader in self._readers
                if reader.behind_since <= latest and not reader.must_close
            ),
            key=lambda reader: reader.behind_since,
        )

    def _close(self, reason: str, readers: list[SlowReader]) -> None:
        if not readers:
            return
        for reader in readers:
            reader.must_close = True
        self._count_closed(reason, len(readers))
        _log.warning(
            "closing %d callers that read too slowly: %s", len(readers), reason
        )


def make_slow_readers(
    now: clock.Clock,
    max_requests: int,
    memory_bytes: int,
    count_closed: Callable[[str, int], None],
) -> SlowReaders:
    """Returns the slow readers of a process.

    Args:
        now: The clock.
        max_requests: Requests that the process can carry at once.
        memory_bytes: Memory for bodies.
        count_closed: See `SlowReaders`.
    """
    return SlowReaders(
        now,
        int(max_requests * MAX_SHARE),
        int(memory_bytes * MAX_SHARE),
        count_closed,
    )
