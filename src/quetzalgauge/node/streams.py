"""Server-sent events of a target's stream: whole events and the end marker."""

import re

from quetzalgauge import exceptions

# A target that never ends an event must not fill the memory.
MAX_EVENT_BYTES = 1_048_576

_END_MARKER = re.compile(rb"(?:\A|\n)data: ?\[DONE\]\r?\n\r?\n", re.DOTALL)
_ID_LINE = re.compile(rb"^id: ?([^\r\n]*)\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")


class StreamError(exceptions.QuetzalgaugeError):
    """The target's stream breaks the protocol."""


class EventFilter:
    """Passes on whole events up to and including the end marker.

    An event that is cut in the middle is never passed on, so an error event
    can follow at any time.

    Args:
        has_end_marker: Whether the stream has an end marker; otherwise it
            ends with its HTTP body.
    """

    def __init__(self, has_end_marker: bool = True) -> None:
        self._has_end_marker = has_end_marker
        self._partial_event = b""
        self._last_data_with_id = b""
        self._last_received_id: int | None = None
        self._is_done = False

    @property
    def is_done(self) -> bool:
        """Whether the end marker was passed on."""
        return self._is_done

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._partial_event)

    @property
    def last_event_id(self) -> str:
        """The id of the last event passed on, empty if there is none."""
        found = _ID_LINE.findall(self._last_data_with_id)
        return found[-1].decode("latin-1") if found else ""

    def resume(self) -> None:
        """Starts with a new answer that goes on after `last_event`.

        Events up to that one are dropped if the target repeats them.
        """
        self.resume_after(self.last_event_id)

    def resume_after(self, event_id: str) -> None:
        """Starts with an answer that goes on after the event `last`."""
        self._partial_event = b""
        self._last_received_id = int(event_id) if event_id.isdecimal() else None

    def feed(self, data: bytes) -> bytes:
        """Takes bytes from the target and returns whole events.

        Raises:
            StreamError: An event is too long, or a resumed stream has a gap.
        """
        if self._is_done:
            return b""
        if self._partial_event:
            data = self._partial_event + data
        # Most reads end with an event.
        end = (
            len(data) if data.endswith(b"\n\n") else _find_last_event_end(data)
        )
        if end < len(data):
            self._partial_event = data[end:]
            data = data[:end]
            if len(self._partial_event) > MAX_EVENT_BYTES:
                raise StreamError("an event is too long")
        else:
            self._partial_event = b""
        if self._last_received_id is not None:
            data = self._drop_repeated_events(data)
        if self._has_end_marker and b"[DONE]" in data:
            marker = _END_MARKER.search(data)
            if marker is not None:
                self._is_done = True
                return data[: marker.end()]
        if b"id:" in data:
            self._last_data_with_id = data
        return data

    def _drop_repeated_events(self, data: bytes) -> bytes:
        """Drops repeated events and checks that none is missing."""
        place = 0
        while self._last_received_id is not None and place < len(data):
            match = _EVENT_END.search(data, place)
            end = match.end() if match else len(data)
            found = _ID_LINE.search(data, place, end)
            number = found.group(1) if found else b""
            if not number.isdigit():
                # The end marker and comments may have no id.
                self._last_received_id = None
            elif int(number) <= self._last_received_id:
                place = end
            elif int(number) == self._last_received_id + 1:
                self._last_received_id = None
            else:
                raise StreamError("events are missing after a resume")
        return data[place:]


def _find_last_event_end(data: bytes) -> int:
    """Returns the place after the last whole event."""
    plain = data.rfind(b"\n\n")
    carriage = data.rfind(b"\r\n\r\n")
    return max(
        plain + 2 if plain >= 0 else 0, carriage + 4 if carriage >= 0 else 0
    )
