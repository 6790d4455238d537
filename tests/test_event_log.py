"""The log: structured, bounded, and never in the way of a request."""

import io
import json
import threading
import time

import core_samples as samples

from quetzalgauge.node import event_log


class StalledStream(io.StringIO):
    """A reader of the log that has stopped reading."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(10)
        return super().write(text)


def parse_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def make_event_log(stream=None):
    now = [0.0]
    one = event_log.EventLog(lambda: samples.seconds(now[0]), stream)
    return one, now


def test_a_line_has_time_event_and_fields():
    stream = io.StringIO()
    one, now = make_event_log(stream)
    now[0] = 1.25
    one.write("sent", {"request": "r1", "target": "e1"})
    one.flush()
    assert parse_lines(stream) == [
        {"t": 1.25, "event": "sent", "request": "r1", "target": "e1"}
    ]


def test_a_stalled_stream_does_not_block_writers():
    """Guards against requests that wait for the log."""
    stream = StalledStream()
    one, now = make_event_log(stream)
    threading.Thread(target=one.run, daemon=True).start()
    began = time.monotonic()
    for number in range(event_log.MAX_QUEUED_LINES + 500):
        now[0] = float(number)
        one.write("request", {"request": str(number)})
    assert time.monotonic() - began < 5
    assert one.total_dropped >= 100
    stream.released.set()


def test_low_priority_lines_beyond_the_rate_limit_are_dropped_and_counted():
    """Guards against a log that grows with the load without bound."""
    stream = io.StringIO()
    one, now = make_event_log(stream)
    for number in range(event_log.RATE_LIMIT_LINES_PER_SECOND + 50):
        one.write("sent", {"request": str(number)})
    one.write("request", {"request": "last"})
    one.flush()
    found = parse_lines(stream)
    assert len(found) == event_log.RATE_LIMIT_LINES_PER_SECOND + 1
    assert found[-1]["event"] == "request"
    assert found[-1]["left_out_before"] == 50
    assert one.total_dropped == 50
