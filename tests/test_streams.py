"""Whole events and the end marker of a target's stream."""

from hypothesis import given
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge.node import streams

EVENTS = b"".join(
    b'id: %d\ndata: {"text": "[DONE] \\n data: [DONE]"}\n\n' % number
    for number in range(1, 6)
)
DONE = b"data: [DONE]\n\n"


def feed_in_parts(event_filter, data, split_offsets):
    places = [0, *sorted(split_offsets), len(data)]
    return [
        event_filter.feed(data[start:end])
        for start, end in zip(places, places[1:], strict=False)
    ]


@hypothesis_settings.make_settings()
@given(
    strategies.sets(strategies.integers(0, len(EVENTS + DONE)), max_size=9),
    strategies.booleans(),
)
def test_read_boundaries_do_not_change_the_events(split_offsets, uses_crlf):
    """Guards against an end marker or event that is split over reads."""
    data = EVENTS + DONE
    if uses_crlf:
        data = data.replace(b"\n", b"\r\n")
        split_offsets = {cut for cut in split_offsets if cut <= len(data)}
    events = streams.EventFilter()
    parts = feed_in_parts(events, data + b"data: late\n\n", split_offsets)
    assert b"".join(parts) == data
    assert events.is_done
    for part in parts:
        assert not part or part.endswith((b"\n\n", b"\n\r\n"))


def test_marker_text_inside_an_event_does_not_end_the_stream():
    """Guards against a stream that ends early because of its content."""
    events = streams.EventFilter()
    assert events.feed(EVENTS) == EVENTS
    assert not events.is_done
    assert events.last_event_id == "5"


def test_partial_event_is_not_passed_on():
    """Guards against half an event before an error event."""
    events = streams.EventFilter()
    assert events.feed(EVENTS[:-1]) + events.feed(b"") != EVENTS
    assert events.last_event_id == "4"


def test_resume_drops_repeated_events_and_detects_gaps():
    """Guards against doubled or missing events after a resume."""
    place = EVENTS.index(b"id: 4")
    events = streams.EventFilter()
    events.feed(EVENTS[:place] + b"id: 4\nda")
    events.resume()
    assert events.feed(EVENTS + DONE) == EVENTS[place:] + DONE
    events = streams.EventFilter()
    events.feed(EVENTS[:place])
    events.resume()
    with pytest.raises(streams.StreamError):
        events.feed(EVENTS[EVENTS.index(b"id: 5") :])


def test_oversized_event_is_an_error():
    """Guards against a target that fills the memory."""
    events = streams.EventFilter()
    with pytest.raises(streams.StreamError):
        for _ in range(20):
            events.feed(b"x" * 100_000)
