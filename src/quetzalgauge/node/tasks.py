"""Threads that own their sockets and state and communicate by queues."""

from collections.abc import Callable
from collections.abc import Hashable
import contextlib
import datetime
import queue
import threading
from typing import Any

from quetzalgauge import logs

# Longest wait for the thread of a stopped task.
JOIN_TIMEOUT = datetime.timedelta(seconds=10)
_log = logs.get_logger("tasks")


def start_thread(
    name: str,
    run: Callable[[], None],
    on_failure: Callable[[str], None],
    may_return: bool = False,
) -> threading.Thread:
    """Starts a thread.

    Args:
        name: Name of the thread.
        run: The function of the thread.
        on_failure: Called with the name if `run` raises anything, also
            SystemExit, or returns although it may not, since the process must
            not continue without one of its tasks.
        may_return: Whether `run` returns when the task has ended.
    """

    def run_and_report() -> None:
        try:
            run()
            if may_return:
                return
            _log.error("task %s returned", name)
        except BaseException:
            # The failure must be reported even if it cannot be logged.
            with contextlib.suppress(Exception):
                _log.exception("task %s failed", name)
        on_failure(name)

    thread = threading.Thread(target=run_and_report, name=name, daemon=True)
    thread.start()
    return thread


class _StopMarker:
    """Queued as the last message of a task."""


class Task:
    """One thread that handles its messages in order.

    Args:
        name: Name of the thread.
        handle: Called with each message.
        close: Called in the task's thread when the task stops.
        on_failure: See `start_thread`.
    """

    def __init__(
        self,
        name: str,
        handle: Callable[[Any], None],
        close: Callable[[], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self._queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._handle = handle
        self._close = close
        self._thread = start_thread(
            name, self._run, on_failure, may_return=True
        )

    def send(self, message: Any) -> None:
        """Queues a message."""
        self._queue.put(message)

    def stop(self) -> None:
        """Stops the task after the messages that are already queued."""
        self._queue.put(_StopMarker)

    def join(self) -> None:
        """Waits until the thread has ended, for JOIN_TIMEOUT at most."""
        self._thread.join(JOIN_TIMEOUT.total_seconds())

    def _run(self) -> None:
        while (message := self._queue.get()) is not _StopMarker:
            self._handle(message)
        self._close()


class KeyedTasks:
    """One task per key, started by its first message and stopped when idle.

    Not thread-safe: all methods must be called in the same thread.

    Args:
        name: Prefix of the thread names.
        make_task: Returns the `handle` and `close` functions for the task of a
            key.
        max_tasks: Maximum number of tasks at once.
        idle_timeout: Time without a message after which a task may be stopped.
        on_failure: See `start_thread`.
    """

    def __init__(
        self,
        name: str,
        make_task: Callable[
            [Any], tuple[Callable[[Any], None], Callable[[], None]]
        ],
        max_tasks: int,
        idle_timeout: datetime.timedelta,
        on_failure: Callable[[str], None],
    ) -> None:
        self._name = name
        self._make_task = make_task
        self._max_tasks = max_tasks
        self._idle_timeout = idle_timeout
        self._on_failure = on_failure
        self._tasks: dict[Hashable, Task] = {}
        self._last_used_at: dict[Hashable, datetime.timedelta] = {}

    def send(
        self, key: Hashable, message: Any, now: datetime.timedelta
    ) -> bool:
        """Queues a message; returns False if there are too many tasks."""
        task = self._tasks.get(key)
        if task is None:
            self.stop_idle(now)
            if len(self._tasks) >= self._max_tasks:
                return False
            handle, close = self._make_task(key)
            thread_name = f"{self._name}-{key}"
            task = Task(thread_name, handle, close, self._on_failure)
            self._tasks[key] = task
        self._last_used_at[key] = now
        task.send(message)
        return True

    def stop_idle(self, now: datetime.timedelta) -> None:
        """Stops the tasks without a message for the idle timeout."""
        for key, last_used_at in list(self._last_used_at.items()):
            if now - last_used_at > self._idle_timeout:
                self._tasks.pop(key).stop()
                del self._last_used_at[key]

    def stop(self) -> None:
        """Stops all tasks after their queued messages and joins them."""
        for task in self._tasks.values():
            task.stop()
        for task in self._tasks.values():
            task.join()
        self._tasks.clear()
        self._last_used_at.clear()
