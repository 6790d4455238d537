"""Structured log lines on standard output.

A line is put into a bounded queue and written by a task of its own, so a
reader that is slow or gone never holds up a request. Lines that do not fit are
counted; the count is written as soon as there is room.
"""

import json
import logging
import queue
import sys
import threading
from typing import Any
from typing import TextIO

from quetzalgauge import clock

# Lines that wait to be written.
MAX_QUEUED_LINES = 2000
# Lines a second beyond which only the important ones are written.
RATE_LIMIT_LINES_PER_SECOND = 400
# Events that are left out first: each is followed by a line on its request.
_LOW_PRIORITY_EVENTS = frozenset(
    {"sent", "waiting", "order_answered", "target_changed"}
)


class _Handler(logging.Handler):
    """Writes what libraries and other modules log into a journal."""

    def __init__(self, event_log: "EventLog") -> None:
        super().__init__(logging.INFO)
        self._event_log = event_log

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, Any] = {
            "level": record.levelname,
            "part": record.name.rpartition(".")[2],
            "text": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["traceback"] = logging.Formatter().formatException(
                record.exc_info
            )
        self._event_log.write("log", fields)


class EventLog:
    """The log of a process. Any thread may write.

    Args:
        now: The clock; lines have its time in seconds.
        stream: Where lines go; standard output if None.
    """

    def __init__(self, now: clock.Clock, stream: TextIO | None = None) -> None:
        self._now = now
        self._stream = stream or sys.stdout
        self._queue: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._lock = threading.Lock()
        self._unreported_drops = 0
        self._current_second = 0
        self._lines_this_second = 0
        self.total_dropped = 0

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Queues a line; never blocks."""
        seconds = self._now().total_seconds()
        with self._lock:
            if int(seconds) != self._current_second:
                self._current_second = int(seconds)
                self._lines_this_second = 0
            self._lines_this_second += 1
            busy = self._lines_this_second > RATE_LIMIT_LINES_PER_SECOND
            if busy and event in _LOW_PRIORITY_EVENTS:
                self._count_drop()
                return
            left_out, self._unreported_drops = self._unreported_drops, 0
        line = {"t": round(seconds, 3), "event": event, **fields}
        if left_out:
            line["left_out_before"] = left_out
        try:
            self._queue.put_nowait(json.dumps(line, default=str))
        except queue.Full:
            with self._lock:
                self._unreported_drops += left_out
                self._count_drop()

    def _count_drop(self) -> None:
        self._unreported_drops += 1
        self.total_dropped += 1

    def capture_logging(self) -> None:
        """Gets the lines of the `logging` module from now on."""
        root = logging.getLogger()
        root.handlers[:] = [_Handler(self)]
        root.setLevel(logging.WARNING)
        logging.getLogger("quetzalgauge").setLevel(logging.INFO)

    def run(self) -> None:
        """Writes queued lines until the process ends."""
        while True:
            lines = [self._queue.get()]
            while len(lines) < 200 and not self._queue.empty():
                lines.append(self._queue.get())
            self._write(lines)

    def flush(self) -> None:
        """Writes what is queued; for the end of the process."""
        lines = []
        while not self._queue.empty():
            lines.append(self._queue.get())
        if lines:
            self._write(lines)

    def _write(self, lines: list[str]) -> None:
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads the log any more; the process goes on without it.
            with self._lock:
                self.total_dropped += len(lines)
