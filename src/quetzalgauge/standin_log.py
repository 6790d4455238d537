"""Log service stand-in: append-only streams with offsets."""

import base64
import binascii
import collections
import threading
import time
from typing import Any

from quetzalgauge import standin_http
from quetzalgauge import standin_settings

_MAX_LIMIT = 5000
_MAX_WAIT_SECONDS = 30.0
_BURST_SECONDS = 0.2


class _Stream:
    def __init__(self, kept_records: int) -> None:
        self.kept: collections.deque[str] = collections.deque(
            maxlen=kept_records
        )
        self.next_offset = 0

    @property
    def earliest(self) -> int:
        return self.next_offset - len(self.kept)


class RateLimit:
    """A token bucket that holds a fraction of a second's tokens."""

    def __init__(self, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._filled_at = time.monotonic()

    def take(self) -> bool:
        """Takes a token; False if there is none. Needs the caller's lock."""
        now = time.monotonic()
        gained = (now - self._filled_at) * self._per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Log:
    """The streams of the log."""

    def __init__(self, config: standin_settings.LogSettings) -> None:
        self._config = config
        self._changed = threading.Condition()
        self._streams: dict[str, _Stream] = {}
        burst = max(1.0, config.appends_per_second * _BURST_SECONDS)
        self._rate = RateLimit(config.appends_per_second, burst)
        self._counts: collections.Counter[str] = collections.Counter()
        self._server = standin_http.Server(
            config.listen, config.threads, self.handle, self.counts
        )

    @property
    def server(self) -> standin_http.Server:
        """The HTTP server."""
        return self._server

    def counts(self) -> dict[str, Any]:
        """Returns calls and, by stream, the next offset."""
        with self._changed:
            offsets = {
                name: stream.next_offset
                for name, stream in self._streams.items()
            }
            return {**self._counts, "next_offsets": offsets}

    def handle(self, request: standin_http.Request) -> standin_http.Response:
        """Answers a call."""
        parts = request.path.strip("/").split("/")
        if len(parts) != 3 or parts[0] != "streams" or parts[2] != "records":
            return standin_http.make_json_response(404, {"code": "not_found"})
        if request.method == "POST":
            return self._append(parts[1], request)
        return self._read(parts[1], request)

    def _append(
        self, name: str, request: standin_http.Request
    ) -> standin_http.Response:
        try:
            records = request.json()["records"]
            for record in records:
                base64.b64decode(record, validate=True)
        except (KeyError, TypeError, ValueError, binascii.Error):
            return standin_http.make_json_response(400, {"code": "bad_append"})
        with self._changed:
            self._counts["appends"] += 1
            if not self._rate.take():
                self._counts["appends_above_rate"] += 1
                return standin_http.make_json_response(
                    429, {"code": "too_many_appends"}
                )
            stream = self._stream(name)
            first = stream.next_offset
            stream.kept.extend(records)
            stream.next_offset += len(records)
            self._changed.notify_all()
            return standin_http.make_json_response(
                200,
                {"first_offset": first, "next_offset": stream.next_offset},
            )

    def _read(
        self, name: str, request: standin_http.Request
    ) -> standin_http.Response:
        try:
            start = int(request.query.get("from", "0"))
            limit = min(int(request.query.get("limit", "500")), _MAX_LIMIT)
            wait = min(
                float(request.query.get("wait_s", "0")), _MAX_WAIT_SECONDS
            )
        except ValueError:
            return standin_http.make_json_response(400, {"code": "bad_read"})
        with self._changed:
            self._counts["reads"] += 1
            stream = self._stream(name)
            self._changed.wait_for(
                lambda: stream.next_offset > start or self._is_stopping(), wait
            )
            if start < stream.earliest:
                return standin_http.make_json_response(
                    410, {"earliest": stream.earliest}
                )
            return standin_http.make_json_response(
                200, _make_page(stream, start, limit)
            )

    def _is_stopping(self) -> bool:
        return self._server.stopping.is_set()

    def _stream(self, name: str) -> _Stream:
        if name not in self._streams:
            self._streams[name] = _Stream(self._config.kept_records)
        return self._streams[name]


def _make_page(stream: _Stream, start: int, limit: int) -> dict[str, Any]:
    end = min(stream.next_offset, start + limit)
    records = [
        {"offset": offset, "data": stream.kept[offset - stream.earliest]}
        for offset in range(start, end)
    ]
    return {
        "earliest": stream.earliest,
        "next_offset": stream.next_offset,
        "records": records,
    }
