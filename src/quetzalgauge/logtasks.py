"""Tasks that read streams of the platform's log and append to them."""

from collections.abc import Callable
import datetime
import queue
import random as random_module
import threading

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import logclient
from quetzalgauge import logs
from quetzalgauge import messages
from quetzalgauge import tasks

READ_LIMIT = 500
# The core's READ_GAP is twice this wait and a margin.
READ_WAIT = datetime.timedelta(seconds=3)
# After a failed read the task pauses, up to this and doubled with each failure.
# 390 instances then come to a few hundred calls a second in an outage, and the
# random share keeps them from returning all at once.
_FIRST_PAUSE = datetime.timedelta(milliseconds=200)
_LONGEST_PAUSE = datetime.timedelta(seconds=3)
# Least time between two reads of a stream with many writers. Without it, each
# of 33 renewals a second at 98 control processes wakes every reader once: 23
# reads a second took 2.4% of a core. Below the stagger of lease claims (0.5 s),
# so that a claim is seen before the next process claims.
READ_PACE = datetime.timedelta(milliseconds=400)
_log = logs.make_logger("log")


class Reader:
    """Reads one stream and hands the records over in order.

    Args:
        url: Root of the log service.
        stream: Name of the stream.
        deliver: Called with StreamRead, StreamExpired or StreamFailed; returns
            when the event has been handled, so that a slow fold slows the
            reader down.
        on_failure: See `tasks.start_thread`.
        pace: Least time from the end of a read to the next one. The first
            record after a quiet time is still delivered at once.
    """

    def __init__(
        self,
        url: str,
        stream: ids.StreamName,
        deliver: Callable[[messages.Event], None],
        on_failure: Callable[[str], None],
        pace: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self._url = url
        self._stream = stream
        self._deliver = deliver
        self._positions: queue.SimpleQueue[ids.Offset] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._hurry = threading.Event()
        self._read_pause = pace.total_seconds()
        self._failing = False
        self._pause = _FIRST_PAUSE
        self._thread = tasks.start_thread(
            f"read-{stream}", self._run, on_failure
        )

    def read_from(self, offset: ids.Offset) -> None:
        """Continues at an offset."""
        self._positions.put(offset)
        self._hurry.set()

    def hurry(self) -> None:
        """Leaves out the next pause, since a record is waited for."""
        self._hurry.set()

    def stop(self) -> None:
        """Ends the task after its present read; does not wait for it."""
        self._stopping.set()
        self._positions.put(ids.NO_OFFSET)
        self._hurry.set()

    def _run(self) -> None:
        client = logclient.LogClient(self._url)
        position = self._positions.get()
        while not self._stopping.is_set():
            while not self._positions.empty():
                position = self._positions.get()
            if self._stopping.is_set():
                break
            next_position = self._read_once(client, position)
            if next_position is None:
                next_position = self._positions.get()
            position = next_position
        client.close()

    def _read_once(
        self, client: logclient.LogClient, position: ids.Offset
    ) -> ids.Offset | None:
        """Returns the next position, None if the core must give one."""
        try:
            result = client.read(self._stream, position, READ_LIMIT, READ_WAIT)
        except exceptions.LogExpiredError as error:
            earliest = ids.Offset(error.earliest)
            self._deliver(messages.StreamExpired(self._stream, earliest))
            return None
        except exceptions.LogUnavailableError as error:
            self._report(str(error))
            self._deliver(messages.StreamFailed(self._stream))
            self._wait_after_failure()
            return position
        self._report("")
        self._deliver(
            messages.StreamRead(
                self._stream, result.records, result.next_offset
            )
        )
        if self._read_pause and len(result.records) < READ_LIMIT:
            self._hurry.wait(self._read_pause)
            self._hurry.clear()
        return ids.Offset(position + len(result.records))

    def _wait_after_failure(self) -> None:
        pause = self._pause.total_seconds() * random_module.uniform(0.5, 1.0)
        self._pause = min(self._pause * 2, _LONGEST_PAUSE)
        self._stopping.wait(pause)

    def _report(self, failure: str) -> None:
        """Logs the change between working and failing, not each failure."""
        if bool(failure) == self._failing:
            return
        self._failing = bool(failure)
        self._pause = _FIRST_PAUSE
        if failure:
            _log.warning("cannot read %s: %s", self._stream, failure)
        else:
            _log.info("reading %s again", self._stream)


def make_appender(
    url: str,
    stream: ids.StreamName,
    deliver: Callable[[messages.Event], None],
    on_failure: Callable[[str], None],
) -> tasks.Task:
    """Returns a task that takes AppendRecords and delivers AppendDone."""
    client = logclient.LogClient(url)

    def append(action: messages.AppendRecords) -> None:
        result = client.append(stream, action.data)
        acknowledged = result.outcome is logclient.AppendOutcome.ACKNOWLEDGED
        if not acknowledged:
            # The reader reports an outage once; this line comes twice a second.
            _log.debug(
                "append to %s %s: %s",
                stream,
                result.outcome.value,
                result.reason,
            )
        deliver(messages.AppendDone(stream, acknowledged))

    return tasks.Task(f"append-{stream}", append, client.close, on_failure)
