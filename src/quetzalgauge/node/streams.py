"""Parser for streams of server-sent events from targets.

A stream consists of lines of the event-stream format only, and its events are
numbered without gaps. Anything else, for instance another response that a
target sends into it, ends what is passed on of it.
"""

from collections.abc import Iterable
import functools
import re

from quetzalgauge import exceptions

# Bounds the memory for an event that a target never ends.
MAX_EVENT_BYTES = 1_048_576

_END_MARKER = re.compile(rb"(?:\A|\n)data: ?\[DONE\]\r?\n\r?\n", re.DOTALL)
_ID_LINE = re.compile(rb"^id: ?([^\r\n]*)\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data:", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_FIELDS = ("data", "event", "retry")
_EVENT_ID = re.compile(rb"[0-9]{1,18}")
# All but the last byte of the longest end of an event.
_MAX_END_BYTES = 3
# The number of the first event of a stream.
_FIRST_EVENT_IDS = (0, 1)


class StreamError(exceptions.QuetzalgaugeError):
    """The stream of a target violates the protocol."""


class EventFilter:
    """Passes on complete events up to and including the end marker.

    The end marker is an event with the data `[DONE]`. A partial event is never
    passed on, so an error event can follow the output at any time.

    Args:
        has_end_marker: Whether the stream ends with an end marker. Otherwise
            it ends with the HTTP body.
        extra_fields: Names of fields that targets add to the event-stream
            format.
    """

    def __init__(
        self, has_end_marker: bool = True, extra_fields: Iterable[str] = ()
    ) -> None:
        self._has_end_marker = has_end_marker
        self._lines_pattern = _make_lines_pattern(frozenset(extra_fields))
        self._error: StreamError | None = None
        self._previous_id: int | None = None
        self._has_unknown_start = False
        self._partial_event = bytearray()
        self._last_data_with_id = b""
        self._has_later_data = False
        self._last_received_id: int | None = None
        self._is_done = False

    @property
    def is_done(self) -> bool:
        """Whether the end marker has been passed on."""
        return self._is_done

    @property
    def has_partial_event(self) -> bool:
        """Whether the data received so far ends within an event.

        Blank lines between events belong to none.
        """
        return bool(self._partial_event.strip(b"\r\n"))

    @property
    def last_event_id(self) -> str:
        """The id of the last event that was passed on, empty if it has none.

        A stream cannot resume after an event without an id: nothing tells
        whether another response would repeat that event.
        """
        if self._has_later_data:
            return ""
        data = self._last_data_with_id
        matches = list(_ID_LINE.finditer(data))
        if not matches:
            return ""
        end = _EVENT_END.search(data, matches[-1].start())
        if end is not None and has_data(data[end.end() :]):
            return ""
        return matches[-1].group(1).decode("latin-1")

    def resume(self) -> None:
        """Prepares for a new response that resumes after `last_event_id`.

        Events up to that one are dropped if the target repeats them.
        """
        self.resume_after(self.last_event_id)

    def resume_after(self, event_id: str) -> None:
        """Prepares for a new response.

        Args:
            event_id: Id of the event after which the response resumes, empty
                if it starts at the beginning.
        """
        self._partial_event = bytearray()
        self._error = None
        is_number = _EVENT_ID.fullmatch(event_id.encode()) is not None
        self._last_received_id = int(event_id) if is_number else None
        self._previous_id = self._last_received_id
        self._has_unknown_start = bool(event_id) and not is_number

    def feed(self, data: bytes) -> bytes:
        """Takes data from the target and returns the events it completes.

        Events before a violation of the protocol are returned; `check` raises
        after that.

        Raises:
            StreamError: An event is too long, a line does not belong to the
                format, or an event is missing or out of order.
        """
        self.check()
        if self._is_done:
            return b""
        if self._partial_event:
            tail = bytes(self._partial_event[-_MAX_END_BYTES:])
            self._partial_event += data
            # Most reads do not end a long event, so only new data is searched.
            if not _find_last_event_end(tail + data):
                self._check_length()
                return b""
            data = bytes(self._partial_event)
        # Fast path: most reads end at the end of an event.
        end = (
            len(data) if data.endswith(b"\n\n") else _find_last_event_end(data)
        )
        if end < len(data):
            self._partial_event = bytearray(data[end:])
            data = data[:end]
            self._check_length()
        else:
            self._partial_event = bytearray()
        if self._last_received_id is not None:
            data = self._drop_repeated_events(data)
        if self._has_end_marker and b"[DONE]" in data:
            marker = _END_MARKER.search(data)
            if marker is not None:
                self._is_done = True
                return data[: marker.end()]
        data = self._accept_sound_events(data)
        if data.startswith(b"id:") or b"\nid:" in data:
            self._last_data_with_id = data
            self._has_later_data = False
        elif has_data(data):
            self._has_later_data = True
        return data

    def _check_length(self) -> None:
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise StreamError("an event is too long")

    def check(self) -> None:
        """Raises the violation that followed the events returned last.

        Raises:
            StreamError: As for `feed`.
        """
        if self._error is not None:
            raise self._error

    def _accept_sound_events(self, data: bytes) -> bytes:
        """Returns the events up to the first one that violates the protocol.

        Raises:
            StreamError: There is no event before it.
        """
        previous_id = self._previous_id
        try:
            self._accept(data)
        except StreamError as error:
            self._error = error
        else:
            return data
        self._previous_id = previous_id
        accepted = 0
        for match in _EVENT_END.finditer(data):
            try:
                self._accept(data[accepted : match.end()])
            except StreamError:
                break
            accepted = match.end()
        if not accepted:
            self.check()
        return data[:accepted]

    def _accept(self, events: bytes) -> None:
        """Checks the lines and ids of complete events.

        Raises:
            StreamError: The events violate the protocol.
        """
        if self._lines_pattern.fullmatch(events) is None:
            raise StreamError("a line is not part of an event")
        for match in _ID_LINE.finditer(events):
            event_id = match.group(1)
            if _EVENT_ID.fullmatch(event_id) is None:
                raise StreamError(f"event id {event_id[:40]!r} is no number")
            number = int(event_id)
            is_next = (
                number == self._previous_id + 1
                if self._previous_id is not None
                else self._has_unknown_start or number in _FIRST_EVENT_IDS
            )
            if not is_next:
                raise StreamError(
                    f"event {number} follows event {self._previous_id}"
                )
            self._previous_id = number

    def _drop_repeated_events(self, data: bytes) -> bytes:
        """Drops repeated events and checks that none is missing.

        Raises:
            StreamError: The events violate the protocol.
        """
        start = 0
        while self._last_received_id is not None and start < len(data):
            match = _EVENT_END.search(data, start)
            end = match.end() if match else len(data)
            event = data[start:end]
            if self._lines_pattern.fullmatch(event) is None:
                raise StreamError("a line is not part of an event")
            id_line = _ID_LINE.search(data, start, end)
            event_id = id_line.group(1) if id_line else b""
            if _EVENT_ID.fullmatch(event_id) is None:
                if self._is_end_marker(event):
                    self._last_received_id = None
                elif has_data(event):
                    raise StreamError("an event after a resume has no id")
                else:
                    start = end
            elif int(event_id) <= self._last_received_id:
                start = end
            elif int(event_id) == self._last_received_id + 1:
                self._last_received_id = None
            else:
                raise StreamError("events are missing after a resume")
        return data[start:]

    def _is_end_marker(self, event: bytes) -> bool:
        return self._has_end_marker and _END_MARKER.fullmatch(event) is not None


@functools.lru_cache(maxsize=8)
def _make_lines_pattern(extra_fields: frozenset[str]) -> re.Pattern[bytes]:
    """Returns a pattern for any number of events with one id at most."""
    names = "|".join(
        re.escape(name) for name in sorted({*_FIELDS, *extra_fields})
    )
    line = rf"(?:(?:(?:{names})(?::[^\r\n]*)?|:[^\r\n]*)\r?\n)"
    id_line = r"id:[^\r\n]*\r?\n"
    return re.compile(
        rf"(?:{line}*+(?:{id_line}{line}*+)?+(?:\r?\n))*+".encode()
    )


def has_data(events: bytes) -> bool:
    """Returns whether complete events have data; comments have none."""
    return _DATA_LINE.search(events) is not None


def _find_last_event_end(data: bytes) -> int:
    """Returns the offset after the last complete event, 0 if there is none."""
    lf = data.rfind(b"\n\n")
    crlf = data.rfind(b"\r\n\r\n")
    return max(lf + 2 if lf >= 0 else 0, crlf + 4 if crlf >= 0 else 0)
