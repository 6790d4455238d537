"""Tasks handle messages in order, end when unused and report faults."""

import datetime
import queue
import threading

from quetzalgauge.node import tasks

_SECOND = datetime.timedelta(seconds=1)


def _make_keyed_tasks(limit, seen, closed, failures):
    def make(key):
        def handle(message):
            seen.put((key, message, threading.get_ident()))

        return handle, lambda: closed.put(key)

    return tasks.KeyedTasks("t", make, limit, _SECOND * 10, failures.append)


def test_a_key_has_one_task_until_it_is_idle():
    """Guards against two tasks on one connection, and idle threads."""
    seen, closed, failures = queue.SimpleQueue(), queue.SimpleQueue(), []
    keyed = _make_keyed_tasks(2, seen, closed, failures)
    assert keyed.send("a", 1, _SECOND * 0)
    assert keyed.send("a", 2, _SECOND * 1)
    first, second = seen.get(timeout=10), seen.get(timeout=10)
    assert (first[:2], second[:2]) == (("a", 1), ("a", 2))
    assert first[2] == second[2]
    assert keyed.send("b", 3, _SECOND * 1)
    assert not keyed.send("c", 4, _SECOND * 2)
    keyed.stop_idle(_SECOND * 11.5)
    assert {closed.get(timeout=10), closed.get(timeout=10)} == {"a", "b"}
    assert keyed.send("c", 5, _SECOND * 12)
    keyed.stop()
    assert closed.get(timeout=10) == "c"
    assert failures == []


def test_an_exception_in_a_task_is_reported():
    """Guards against a process that goes on without one of its tasks."""
    failed = queue.SimpleQueue()
    task = tasks.Task("t", lambda _: 1 / 0, lambda: None, failed.put)
    task.send(1)
    assert failed.get(timeout=10) == "t"
