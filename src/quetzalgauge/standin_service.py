"""Plain service stand-in. Counts how often each booking ran."""

import collections
import threading
from typing import Any
import uuid

from quetzalgauge import standin_http
from quetzalgauge import standin_settings


class Service:
    """A plain service that answers any path and method."""

    def __init__(self, config: standin_settings.ServiceSettings) -> None:
        self._config = config
        self._incarnation = config.incarnation or uuid.uuid4().hex
        self._lock = threading.Lock()
        self._runs: collections.Counter[str] = collections.Counter()
        self._calls = 0
        self._running = 0
        self._server = standin_http.Server(
            config.listen, config.threads, self.handle, self.counts
        )

    @property
    def server(self) -> standin_http.Server:
        """The HTTP server."""
        return self._server

    def counts(self) -> dict[str, Any]:
        """Returns the calls and how often each booking ran."""
        with self._lock:
            return {"calls": self._calls, "runs": dict(self._runs)}

    def listed(self, address: str) -> standin_settings.ListedInstance:
        """Returns the service's entry in the instance list."""
        return standin_settings.ListedInstance(
            instance=self._config.target,
            kind="target",
            address=address,
            availability_zone=self._config.availability_zone,
            region=self._config.region,
            incarnation=self._incarnation,
            service=self._config.service,
            service_kind="plain",
        )

    def handle(self, request: standin_http.Request) -> standin_http.Response:
        """Answers a call."""
        if request.path == "/status" and request.method == "GET":
            return standin_http.make_json_response(200, self._status())
        booking = self._find_booking(request)
        with self._lock:
            self._calls += 1
            self._running += 1
            if booking:
                self._runs[booking] += 1
            runs = self._runs[booking] if booking else 0
        self._server.stopping.wait(self._config.work_time.total_seconds())
        with self._lock:
            self._running -= 1
        answer = {
            "target": self._config.target,
            "method": request.method,
            "path": request.path,
            "booking": booking,
            "runs": runs,
            "body_bytes": len(request.body),
            "request_id": request.headers.get("x-request-id", ""),
        }
        return standin_http.make_json_response(200, answer)

    def _find_booking(self, request: standin_http.Request) -> str:
        try:
            return str(request.json().get(self._config.count_field, ""))
        except ValueError:
            return ""

    def _status(self) -> dict[str, Any]:
        return {
            "target": self._config.target,
            "incarnation": self._incarnation,
            "draining": False,
            "fencing_number": -1,
            "checks_fencing": False,
            "accelerator_memory_bytes": 0,
            "used_bytes": 0,
            "models": [],
            "cached": {},
            "last_orders": [],
            "load_as_of_s": 0.0,
        }
