"""The tasks of a stream deliver every record in order, whatever fails."""

import contextlib
import datetime
import queue
import threading
import time

import pytest
import stubs

from quetzalgauge import ids
from quetzalgauge import logclient
from quetzalgauge import logtasks
from quetzalgauge import messages

_SHORT = datetime.timedelta(milliseconds=20)
_STREAM = ids.CONFIG_STREAM


class _Log:
    """Answers each read from a list; then as an empty stream."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.offsets = []

    def answer(self, _, path, *__):
        start = int(path.partition("from=")[2].partition("&")[0])
        self.offsets.append(start)
        if self._answers:
            return self._answers.pop(0)
        time.sleep(0.02)
        return 200, {"earliest": 0, "next_offset": start, "records": []}


def _page(start, count):
    rows = [{"offset": start + i, "data": "YQ=="} for i in range(count)]
    body = {"earliest": 0, "next_offset": start + count, "records": rows}
    return 200, body


@contextlib.contextmanager
def _read(answers, deliver=None, **options):
    log = _Log(answers)
    events = queue.SimpleQueue()
    failures = []
    with stubs.run_http_server(log.answer) as address:
        reader = logtasks.Reader(
            f"http://{address}",
            _STREAM,
            deliver or events.put,
            failures.append,
            **options,
        )
        yield reader, log, lambda: events.get(timeout=10)
        reader.stop()
        reader._thread.join(10)
    assert not reader._thread.is_alive()
    assert failures == []


@pytest.fixture(autouse=True)
def _use_short_waits(monkeypatch):
    monkeypatch.setattr(logtasks, "_FIRST_PAUSE", _SHORT)
    monkeypatch.setattr(logtasks, "READ_WAIT", _SHORT)


def test_records_are_delivered_without_a_gap():
    """Guards against a skipped or repeated page."""
    with _read([_page(5, 2), _page(7, 1)]) as (reader, log, get):
        reader.read_from(5)
        offsets = [offset for offset, _ in get().records + get().records]
        assert offsets == [5, 6, 7]
        assert get().records == ()
        assert log.offsets[:3] == [5, 7, 8]


def test_a_failure_is_delivered_and_the_read_repeated():
    """Guards against a reader that gives up or skips after an outage."""
    answers = [None, (503, {}), _page(5, 1)]
    with _read(answers) as (reader, log, get):
        reader.read_from(5)
        kinds = [type(get()).__name__ for _ in range(3)]
        assert kinds == ["StreamFailed", "StreamFailed", "StreamRead"]
        assert set(log.offsets[:3]) == {5}


def test_an_expired_offset_waits_for_the_core():
    """Guards against a reader that decides where to go on."""
    with _read([(410, {"earliest": 9}), _page(9, 1)]) as (reader, log, get):
        reader.read_from(5)
        assert get() == messages.StreamExpired(_STREAM, 9)
        time.sleep(0.1)
        assert log.offsets == [5]
        reader.read_from(9)
        assert get().records[0][0] == 9


def test_a_slow_fold_slows_the_reader_down():
    """Guards against pages that pile up in memory."""
    release, seen = threading.Event(), queue.SimpleQueue()

    def deliver(event):
        seen.put(event)
        release.wait(10)

    pages = [_page(0, 1), _page(1, 1)]
    with _read(pages, deliver) as (reader, log, _):
        reader.read_from(0)
        seen.get(timeout=10)
        time.sleep(0.1)
        assert log.offsets == [0]
        release.set()


def test_pauses_grow_up_to_a_limit(monkeypatch):
    """Guards against 390 instances that overload a log after an outage."""
    pauses = []
    reader = logtasks.Reader("http://127.0.0.1:1", _STREAM, print, print)
    monkeypatch.setattr(logtasks.random_module, "uniform", lambda *_: 1.0)
    monkeypatch.setattr(reader._stopping, "wait", pauses.append)
    reader._pause = datetime.timedelta(seconds=1)
    for _ in range(4):
        reader._wait_after_failure()
    assert pauses == [1.0, 2.0, 3.0, 3.0]
    reader.stop()


@pytest.mark.parametrize(
    ("answer", "acknowledged"),
    [
        ((200, {"first_offset": 0, "next_offset": 1}), True),
        ((503, {}), False),
        (None, False),
    ],
)
def test_each_append_ends_with_one_event(answer, acknowledged):
    """Guards against a lost acknowledgement that blocks the next append."""
    events = queue.SimpleQueue()
    calls = []

    def count(*_):
        calls.append(1)
        return answer

    with stubs.run_http_server(count) as address:
        task = logtasks.make_appender(
            f"http://{address}", _STREAM, events.put, print
        )
        task.send(messages.AppendRecords(_STREAM, (b"a",)))
        event = events.get(timeout=10)
        task.stop()
        task.join()
    assert event == messages.AppendDone(_STREAM, acknowledged)
    assert calls == [1]


def test_a_silent_log_does_not_keep_a_stop_waiting(monkeypatch):
    """Guards against a planned stop that outlasts the drain."""
    monkeypatch.setattr(logclient, "READ_MARGIN", _SHORT * 10)
    with stubs.run_silent_server() as address:
        reader = logtasks.Reader(f"http://{address}", _STREAM, print, print)
        reader.read_from(0)
        reader.stop()
        reader._thread.join(5)
        assert not reader._thread.is_alive()


def test_a_paced_reader_waits_between_reads_unless_hurried():
    """Guards against a read for each renewal, and against slow own outcomes."""
    pages = [_page(5, 1), _page(6, 1), _page(7, 1)]
    pace = datetime.timedelta(seconds=60)
    with _read(pages, pace=pace) as (reader, log, get):
        # The new position cancels one pause, since it may come during it.
        reader.read_from(5)
        assert get().next_offset == 6
        assert get().next_offset == 7
        time.sleep(0.1)
        assert log.offsets == [5, 6]
        reader.hurry()
        assert get().next_offset == 8


def test_a_full_page_is_followed_at_once(monkeypatch):
    """Guards against a slow start through a long log."""
    monkeypatch.setattr(logtasks, "READ_LIMIT", 2)
    pages = [_page(0, 2), _page(2, 2), _page(4, 2), _page(6, 1)]
    pace = datetime.timedelta(seconds=60)
    with _read(pages, pace=pace) as (reader, _, get):
        reader.read_from(0)
        assert [get().next_offset for _ in pages] == [2, 4, 6, 7]
