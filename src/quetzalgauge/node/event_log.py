"""Structured log lines on standard output.

Lines go through a bounded queue to a task that writes them, so a log reader
that is slow or has disconnected never delays a request. Lines that do not fit
are dropped and counted; the next line that is queued carries the count.
"""

import contextlib
import json
import logging
import queue
import sys
import threading
from typing import Any
from typing import TextIO

from quetzalgauge import clock

MAX_QUEUED_LINES = 2000
FLUSH_TIMEOUT_SECONDS = 1.0
# Above this rate, low-priority events are dropped.
RATE_LIMIT_LINES_PER_SECOND = 400
# The same for those about streams. If the process is killed, the line of its
# start is all that the log has of a stream.
STREAM_RATE_LIMIT_LINES_PER_SECOND = 800
# Events that are dropped first, since each is followed by a line about its
# request.
_LOW_PRIORITY_EVENTS = frozenset(
    {"sent", "waiting", "held", "order_answered", "target_changed"}
)


class _Handler(logging.Handler):
    """Forwards records of the `logging` module to an event log."""

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
    """The event log of a process. Thread-safe.

    Args:
        now: The clock; lines carry its time in seconds.
        stream: Where lines are written; standard output if None.
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
        """Queues a line, or drops and counts it; never blocks.

        A line is dropped if the queue is full, or if its event has a low
        priority and the rate limit is exceeded.
        """
        seconds = self._now().total_seconds()
        with self._lock:
            if int(seconds) != self._current_second:
                self._current_second = int(seconds)
                self._lines_this_second = 0
            self._lines_this_second += 1
            is_over_limit = self._lines_this_second > (
                STREAM_RATE_LIMIT_LINES_PER_SECOND
                if fields.get("stream")
                else RATE_LIMIT_LINES_PER_SECOND
            )
            if is_over_limit and event in _LOW_PRIORITY_EVENTS:
                self._count_drop()
                return
            dropped, self._unreported_drops = self._unreported_drops, 0
        line = {"t": round(seconds, 3), "event": event, **fields}
        if dropped:
            line["left_out_before"] = dropped
        try:
            self._queue.put_nowait(json.dumps(line, default=str))
        except queue.Full:
            with self._lock:
                self._unreported_drops += dropped
                self._count_drop()

    def _count_drop(self) -> None:
        self._unreported_drops += 1
        self.total_dropped += 1

    def capture_logging(self) -> None:
        """Redirects the `logging` module to this log."""
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
            self._mark_written(lines)

    def flush(self) -> None:
        """Writes all queued lines before the process exits.

        Waits up to FLUSH_TIMEOUT_SECONDS for lines that `run` is writing.
        """
        lines = []
        with contextlib.suppress(queue.Empty):
            while True:
                lines.append(self._queue.get_nowait())
        if lines:
            self._write(lines)
            self._mark_written(lines)
        with self._queue.all_tasks_done:
            self._queue.all_tasks_done.wait_for(
                lambda: not self._queue.unfinished_tasks, FLUSH_TIMEOUT_SECONDS
            )

    def _mark_written(self, lines: list[str]) -> None:
        for _ in lines:
            self._queue.task_done()

    def _write(self, lines: list[str]) -> None:
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader of the log has disconnected. The process continues
            # without a log.
            with self._lock:
                self.total_dropped += len(lines)
