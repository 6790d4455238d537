"""Tests that tasks keep the message order, stop when idle and report errors."""

import datetime
import queue
import threading

from quetzalgauge.node import tasks

_SECOND = datetime.timedelta(seconds=1)


def _make_keyed_tasks(limit, handled, closed, failures):
    def make_task(key):
        def handle(message):
            handled.put((key, message, threading.get_ident()))

        return handle, lambda: closed.put(key)

    return tasks.KeyedTasks(
        "t", make_task, limit, _SECOND * 10, failures.append
    )


def test_a_key_has_one_task_until_it_is_idle():
    """Guards against two tasks on one connection and against idle threads."""
    handled, closed, failures = queue.SimpleQueue(), queue.SimpleQueue(), []
    keyed_tasks = _make_keyed_tasks(2, handled, closed, failures)
    assert keyed_tasks.send("a", 1, _SECOND * 0)
    assert keyed_tasks.send("a", 2, _SECOND * 1)
    first, second = handled.get(timeout=10), handled.get(timeout=10)
    assert (first[:2], second[:2]) == (("a", 1), ("a", 2))
    assert first[2] == second[2]
    assert keyed_tasks.send("b", 3, _SECOND * 1)
    assert not keyed_tasks.send("c", 4, _SECOND * 2)
    keyed_tasks.stop_idle(_SECOND * 11.5)
    assert {closed.get(timeout=10), closed.get(timeout=10)} == {"a", "b"}
    assert keyed_tasks.send("c", 5, _SECOND * 12)
    keyed_tasks.stop()
    assert closed.get(timeout=10) == "c"
    assert failures == []


def test_an_exception_in_a_task_is_reported():
    """Guards against a process that continues without one of its tasks."""
    failed = queue.SimpleQueue()
    task = tasks.Task("t", lambda _: 1 / 0, lambda: None, failed.put)
    task.send(1)
    assert failed.get(timeout=10) == "t"
