"""Weight store stand-in: answers when a download would have finished."""

import collections
import datetime
import threading
import time
from typing import Any

from quetzalgauge import standin_http
from quetzalgauge import standin_log
from quetzalgauge import standin_settings

_STEP_SECONDS = 0.005


class _Lane:
    """Downloads that share a bandwidth."""

    def __init__(self, at_once: int) -> None:
        self.at_once = at_once
        self.in_flight = 0
        self.highest = 0
        self.total = 0

    def speed(self) -> float:
        """The fraction of full speed that each download has now."""
        return min(1.0, self.at_once / max(1, self.in_flight))


class Store:
    """The weight store."""

    def __init__(self, config: standin_settings.StoreSettings) -> None:
        self._config = config
        self._lock = threading.Lock()
        self._checkpoints = _Lane(config.loads_at_once)
        self._adapters = _Lane(config.adapters_at_once)
        self._rate = standin_log.RateLimit(
            config.loads_per_second, config.loads_per_second
        )
        self._above_rate = 0
        self._downloads: collections.Counter[str] = collections.Counter()
        self._server = standin_http.Server(
            config.listen, config.threads, self.handle, self.counts
        )

    @property
    def server(self) -> standin_http.Server:
        """The HTTP server."""
        return self._server

    def counts(self) -> dict[str, Any]:
        """Returns downloads by name and the highest numbers in flight."""
        with self._lock:
            return {
                "downloads": dict(self._downloads),
                "checkpoints": self._checkpoints.total,
                "checkpoints_at_once": self._checkpoints.highest,
                "adapters": self._adapters.total,
                "adapters_at_once": self._adapters.highest,
                "above_rate": self._above_rate,
            }

    def handle(self, request: standin_http.Request) -> standin_http.Response:
        """Answers a call."""
        kind, _, name = request.path.strip("/").partition("/")
        try:
            size = int(request.query.get("bytes", "0"))
        except ValueError:
            return standin_http.make_json_response(400, {"code": "bad_size"})
        if kind == "adapters":
            self._download(
                self._adapters, name, self._config.adapter_time, request
            )
        elif kind == "checkpoints":
            with self._lock:
                is_allowed = self._rate.take()
                self._above_rate += not is_allowed
            if not is_allowed:
                return standin_http.make_json_response(
                    429, {"code": "too_many_loads"}
                )
            seconds = size / self._config.bytes_per_second
            work = datetime.timedelta(seconds=seconds)
            self._download(self._checkpoints, name, work, request)
        else:
            return standin_http.make_json_response(404, {"code": "not_found"})
        return standin_http.make_json_response(
            200, {"name": name, "bytes": size}
        )

    def _download(
        self,
        lane: _Lane,
        name: str,
        work: datetime.timedelta,
        request: standin_http.Request,
    ) -> None:
        with self._lock:
            lane.in_flight += 1
            lane.total += 1
            lane.highest = max(lane.highest, lane.in_flight)
            self._downloads[name] += 1
        try:
            self._transfer(lane, work.total_seconds(), request)
        finally:
            with self._lock:
                lane.in_flight -= 1

    def _transfer(
        self, lane: _Lane, work: float, request: standin_http.Request
    ) -> None:
        """Returns when the work, in seconds at full speed, is done."""
        last = time.monotonic()
        while work > 0 and not request.is_disconnected():
            with self._lock:
                speed = lane.speed()
            if self._server.stopping.wait(min(_STEP_SECONDS, work / speed)):
                return
            now = time.monotonic()
            work -= (now - last) * speed
            last = now
