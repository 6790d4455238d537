"""The queue of the task that owns the controller."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import dataclasses
import datetime
import queue
import threading
from typing import Any
from typing import TypeVar

from quetzalgauge import exceptions
from quetzalgauge import messages

Result = TypeVar("Result")


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Asks for `function(controller)` in the owner's thread."""

    function: Callable[[Any], Any]
    future: futures.Future[Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """An event whose sender waits until it has been handled."""

    event: messages.Event
    handled: threading.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A task has failed; the process must end."""

    task: str


class Inbox:
    """What other threads send to the owner of the controller."""

    def __init__(self) -> None:
        # SimpleQueue is reentrant, so a signal handler may put.
        self._queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._closed = threading.Event()
        self._waiting: set[futures.Future[Any]] = set()
        self._lock = threading.Lock()

    def put(self, event: messages.Event) -> None:
        """Queues an event."""
        self._queue.put(event)

    def fail(self, task: str) -> None:
        """Reports that a task has failed."""
        self._queue.put(Failure(task))

    def deliver(self, event: messages.Event) -> None:
        """Queues an event and waits until it has been handled."""
        handled = threading.Event()
        self._queue.put(Delivery(event, handled))
        while not handled.wait(1.0):
            if self._closed.is_set():
                return

    def ask(
        self,
        make_event: Callable[[Any], messages.Event],
        timeout: datetime.timedelta,
    ) -> Any:
        """Queues an event with a token and waits for the Reply.

        Raises:
            exceptions.NoReplyError: There is no reply in time.
        """
        token: futures.Future[Any] = futures.Future()
        return self._wait(token, make_event(token), timeout)

    def query(
        self, function: Callable[[Any], Result], timeout: datetime.timedelta
    ) -> Result:
        """Runs a function on the controller in the owner's thread.

        Raises:
            exceptions.NoReplyError: There is no reply in time.
        """
        future: futures.Future[Any] = futures.Future()
        query = Query(function, future)
        result: Result = self._wait(future, query, timeout)
        return result

    def get(self, timeout: datetime.timedelta) -> Any:
        """Returns the next message, None if there is none in time."""
        try:
            return self._queue.get(timeout=max(0.0, timeout.total_seconds()))
        except queue.Empty:
            return None

    def close(self) -> None:
        """Fails all waiting calls, and each later one."""
        with self._lock:
            self._closed.set()
            waiting = list(self._waiting)
        for future in waiting:
            future.cancel()

    def _wait(
        self,
        future: futures.Future[Any],
        message: Any,
        timeout: datetime.timedelta,
    ) -> Any:
        with self._lock:
            if self._closed.is_set():
                raise exceptions.NoReplyError("the process is stopping")
            self._waiting.add(future)
        try:
            self._queue.put(message)
            return future.result(timeout.total_seconds())
        except (TimeoutError, futures.CancelledError) as error:
            raise exceptions.NoReplyError("the core did not reply") from error
        finally:
            with self._lock:
                self._waiting.discard(future)


def resolve(token: Any, value: Any) -> None:
    """Answers a token of `Inbox.ask`; only the first answer counts."""
    with contextlib.suppress(futures.InvalidStateError):
        token.set_result(value)
