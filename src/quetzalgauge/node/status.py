"""Small HTTP answers for the platform and for operators (cheroot)."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import json
import threading
from typing import Any

import cheroot.server

from quetzalgauge import logs
from quetzalgauge.node import listener

# A silent connection holds a thread until this time has passed.
_TIMEOUT_SECONDS = 2
_THREADS = 3
# Cheroot's selector wakes up this often to close idle connections.
_EXPIRATION_SECONDS = 5
_MAX_HEADER_BYTES = 16 * 1024
_log = logs.get_logger("status")


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """An answer."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


Pages = Mapping[str, Callable[[], Page]]


def json_page(value: Any) -> Page:
    """Returns a page with a JSON value; what JSON lacks becomes text."""
    body = json.dumps(value, default=str).encode()
    return Page(200, body, "application/json")


def flag_page(is_true: bool) -> Page:
    """Returns 200 or 503."""
    return Page(200 if is_true else 503)


class Server(cheroot.server.HTTPServer):
    """Answers `GET` of fixed paths.

    Args:
        address: Host and port.
        pages: Functions that make the answers, by path.
        threads: Worker threads.
    """

    expiration_interval = _EXPIRATION_SECONDS
    max_request_header_size = _MAX_HEADER_BYTES

    def __init__(
        self, address: tuple[str, int], pages: Pages, threads: int = _THREADS
    ) -> None:
        class _Gateway(cheroot.server.Gateway):
            def respond(self) -> None:
                _respond(self.req, pages)

        super().__init__(
            address, _Gateway, minthreads=threads, maxthreads=threads
        )
        self.timeout = _TIMEOUT_SECONDS

    def start_serving(self, name: str) -> None:
        """Binds the listener and serves it in a thread.

        Raises:
            OSError: The address cannot be bound.
        """
        self.prepare()
        threading.Thread(target=self.serve, name=name, daemon=True).start()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Writes a log line of cheroot."""
        if msg:
            _log.log(level, "%s", msg, exc_info=traceback)


def _respond(request: Any, pages: Pages) -> None:
    path = request.path.decode("latin-1")
    make = pages.get(path)
    request.close_connection = True
    if make is None or request.method != b"GET":
        listener.write_plain(request, 404, "")
    else:
        page = make()
        listener.write_plain(request, page.status, page.body, page.content_type)
    request.sent_headers = True
