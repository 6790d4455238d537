"""Instance list stand-in.

Control path: `POST /standin/instances` replaces the list, `/standin/register`
adds or replaces one entry, `/standin/leaving` and `/standin/remove` take
`{"instance": NAME}` and `/standin/reload` reads the settings file again.
"""

from collections.abc import Callable
import hashlib
import json
import threading
import time
from typing import Any

import pydantic

from quetzalgauge import exceptions
from quetzalgauge import standin_http
from quetzalgauge import standin_settings

_Instances = dict[str, standin_settings.ListedInstance]
_KEPT_VERSIONS = 1000


class InstanceList:
    """The list and its earlier versions, which it shows while it lags."""

    def __init__(
        self,
        config: standin_settings.InstanceListSettings,
        reload: Callable[[], standin_settings.InstanceListSettings],
    ) -> None:
        self._lag_seconds = config.lag.total_seconds()
        self._reload = reload
        self._lock = threading.Lock()
        self._reads = 0
        first = {entry.instance: entry for entry in config.instances}
        # When each version was made, by the monotonic clock.
        self._versions: list[tuple[float, _Instances]] = [(0.0, first)]
        self._server = standin_http.Server(
            config.listen, config.threads, self.handle, self.counts
        )

    @property
    def server(self) -> standin_http.Server:
        """The HTTP server."""
        return self._server

    def counts(self) -> dict[str, Any]:
        """Returns the number of reads and of listed instances."""
        with self._lock:
            return {"reads": self._reads, "instances": len(self._latest())}

    def handle(self, request: standin_http.Request) -> standin_http.Response:
        """Answers a call."""
        if request.path == "/instances" and request.method == "GET":
            return self._list(request)
        if request.method != "POST":
            return standin_http.make_json_response(404, {"code": "not_found"})
        try:
            return self._control(request)
        except (
            ValueError,
            KeyError,
            pydantic.ValidationError,
            exceptions.FindingsError,
        ) as error:
            return standin_http.make_json_response(400, {"message": str(error)})

    def _list(self, request: standin_http.Request) -> standin_http.Response:
        region = request.query.get("region", "")
        shown_at = time.monotonic() - self._lag_seconds
        with self._lock:
            self._reads += 1
            shown = self._versions[0][1]
            for made_at, version in self._versions:
                if made_at <= shown_at:
                    shown = version
            entries = [
                entry.model_dump()
                for entry in shown.values()
                if region in ("", entry.region)
            ]
        data = json.dumps(entries, sort_keys=True).encode()
        tag = f'"{hashlib.blake2b(data, digest_size=16).hexdigest()}"'
        if request.headers.get("if-none-match") == tag:
            return standin_http.Response(304, [], {"ETag": tag})
        return standin_http.make_json_response(
            200, {"instances": entries}, {"ETag": tag}
        )

    def _control(self, request: standin_http.Request) -> standin_http.Response:
        with self._lock:
            entries = self._changed(request)
            if entries is None:
                return standin_http.make_json_response(
                    404, {"code": "not_found"}
                )
            self._versions.append((time.monotonic(), entries))
            del self._versions[:-_KEPT_VERSIONS]
        return standin_http.make_json_response(200, {"instances": len(entries)})

    def _changed(self, request: standin_http.Request) -> _Instances | None:
        """Returns the new list, or None for an unknown call or instance."""
        if request.path == "/standin/reload":
            return {entry.instance: entry for entry in self._reload().instances}
        if request.path == "/standin/instances":
            entries = [
                standin_settings.ListedInstance.model_validate(entry)
                for entry in request.json()["instances"]
            ]
            return {entry.instance: entry for entry in entries}
        entries_now = dict(self._latest())
        if request.path == "/standin/register":
            entry = standin_settings.ListedInstance.model_validate_json(
                request.body
            )
            return {**entries_now, entry.instance: entry}
        old = entries_now.pop(request.json()["instance"], None)
        if old is None:
            return None
        if request.path == "/standin/remove":
            return entries_now
        if request.path == "/standin/leaving":
            leaving = old.model_copy(update={"state": "leaving"})
            return {**entries_now, old.instance: leaving}
        return None

    def _latest(self) -> _Instances:
        return self._versions[-1][1]
