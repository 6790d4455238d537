"""The operator HTTP of entry and control processes (cheroot).

What a process offers is passed in as functions, so that the module knows
neither program.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import datetime
import enum
import http
import json
import threading
from typing import Any
import urllib.parse

from cheroot import wsgi

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import logs
from quetzalgauge import messages
from quetzalgauge import metrics
from quetzalgauge import settings
from quetzalgauge import wire

# The largest ticket of the target size is below 6 MB.
MAX_TICKET_BYTES = 8 * 1024 * 1024
# Cheroot reads a new connection's first request in a worker, so each silent
# caller holds a thread for the timeout.
_THREADS = 10
_TIMEOUT_SECONDS = 5
_STOP_TIMEOUT = datetime.timedelta(seconds=2)
# Cheroot's selector wakes up this often to close idle connections. Its
# default of 0.5 s costs processor time in an idle process.
_EXPIRATION_SECONDS = 5
_MAX_HEADER_BYTES = 16 * 1024
_log = logs.make_logger("operators")

_TICKET_STATUS = {
    messages.TicketVerdict.ACCEPTED: 200,
    messages.TicketVerdict.REPEATED: 200,
    messages.TicketVerdict.INVALID: 400,
    messages.TicketVerdict.CONFLICT: 409,
    messages.TicketVerdict.SUPERSEDED: 409,
    messages.TicketVerdict.OVER_CAPACITY: 422,
    messages.TicketVerdict.UNKNOWN: 503,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """What a process offers. A call without its function is answered 404.

    Attributes:
        is_healthy: The process works.
        is_ready: The process takes work.
        metrics: Returns the metrics as text.
        dump: Returns the state; values that JSON lacks become text.
        drain: Starts a graceful shutdown and returns at once.
        submit_ticket: Takes the text of a ticket. Raises
            exceptions.FindingsError for an invalid one.
        ticket_status: Returns the status of a ticket, None if never seen.
        drain_target: Drains a target; False if it is unknown.
    """

    is_healthy: Callable[[], bool]
    is_ready: Callable[[], bool]
    metrics: Callable[[], bytes]
    dump: Callable[[], Any]
    drain: Callable[[], None]
    submit_ticket: Callable[[str], messages.TicketStatus] | None = None
    ticket_status: (
        Callable[[ids.TicketNumber], messages.TicketStatus | None] | None
    ) = None
    drain_target: Callable[[ids.TargetId], bool] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    content_type: str = "application/json"


class _WsgiServer(wsgi.Server):
    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        _log.log(level, "%s", msg, exc_info=traceback)


class OperatorServer:
    """The operator listener of a process.

    Raises:
        OSError: The address cannot be bound, or a TLS file cannot be read.
    """

    def __init__(
        self,
        listen: settings.Address,
        tls: settings.Tls | None,
        handlers: Handlers,
    ) -> None:
        self._server = _WsgiServer(
            (listen.host, listen.port),
            _make_application(handlers),
            numthreads=_THREADS,
            max=_THREADS,
            timeout=_TIMEOUT_SECONDS,
            shutdown_timeout=1,
        )
        self._server.expiration_interval = _EXPIRATION_SECONDS
        self._server.max_request_header_size = _MAX_HEADER_BYTES
        self._server.max_request_body_size = MAX_TICKET_BYTES
        if tls is not None:
            self._server.ssl_adapter = make_tls_adapter(tls)
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="operators", daemon=True
        )

    @property
    def address(self) -> str:
        """HOST:PORT of the listener."""
        host, port = self._server.bind_addr[:2]
        return str(settings.Address(host=host, port=port))

    def start(self) -> None:
        """Starts to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Ends calls in progress and closes the listener, within 2 s.

        Cheroot joins its threads without a limit, and a silent caller keeps
        one of them until its timeout.
        """
        stopper = threading.Thread(target=self._server.stop, daemon=True)
        stopper.start()
        stopper.join(_STOP_TIMEOUT.total_seconds())


def make_tls_adapter(tls: settings.Tls) -> Any:
    """Returns a TLS adapter for a cheroot server.

    The handshake happens on the first read, in a worker thread. Cheroot's own
    adapter does it in the accept loop, so that one silent client blocks all.
    """
    from cheroot.ssl import builtin

    class Adapter(builtin.BuiltinSSLAdapter):
        def wrap(self, sock: Any) -> tuple[Any, dict[str, Any]]:
            wrapped = self.context.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
            return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}

    adapter = Adapter(str(tls.certificate), str(tls.key))
    adapter.context = wire.make_server_context(tls)
    return adapter


def _make_application(handlers: Handlers) -> Callable[..., list[bytes]]:
    def application(environ: Any, start_response: Any) -> list[bytes]:
        try:
            answer = _route(handlers, environ)
        except exceptions.FindingsError as error:
            answer = _findings(error)
        except exceptions.QuetzalgaugeError as error:
            answer = _error(503, str(error))
        except Exception:
            _log.exception("operator call failed")
            answer = _error(500, "internal error, see the log")
        phrase = http.HTTPStatus(answer.status).phrase
        start_response(
            f"{answer.status} {phrase}",
            [
                ("Content-Type", answer.content_type),
                ("Content-Length", str(len(answer.body))),
            ],
        )
        return [answer.body]

    return application


def _route(handlers: Handlers, environ: Any) -> _Answer:
    method = environ["REQUEST_METHOD"]
    parts = environ["PATH_INFO"].strip("/").split("/")
    if len(parts) == 1:
        return _route_process(handlers, environ, method, parts[0])
    if parts[0] == "tickets" and len(parts) == 2:
        return _get_ticket(handlers, method, parts[1])
    if parts[0] == "targets" and len(parts) == 3 and parts[2] == "drain":
        return _drain_target(handlers, method, parts[1])
    return _error(404, "no such path")


def _route_process(
    handlers: Handlers, environ: Any, method: str, name: str
) -> _Answer:
    reads = {
        "healthz": lambda: _state(handlers.is_healthy()),
        "readyz": lambda: _state(handlers.is_ready()),
        "metrics": lambda: _Answer(
            200, handlers.metrics(), metrics.CONTENT_TYPE
        ),
        "dump": lambda: _json(200, handlers.dump()),
    }
    if name in reads:
        if method not in {"GET", "HEAD"}:
            return _error(405, "use GET")
        return reads[name]()
    if name == "drain":
        if method != "POST":
            return _error(405, "use POST")
        handlers.drain()
        return _json(202, {"draining": True})
    if name == "tickets" and handlers.submit_ticket is not None:
        if method != "POST":
            return _error(405, "use POST")
        return _ticket(handlers.submit_ticket(_read_text(environ)))
    return _error(404, "no such path")


def _read_text(environ: Any) -> str:
    data = environ["wsgi.input"].read(MAX_TICKET_BYTES + 1)
    if len(data) > MAX_TICKET_BYTES:
        raise exceptions.FindingsError(
            [f"ticket: longer than {MAX_TICKET_BYTES} bytes"]
        )
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise exceptions.FindingsError(["ticket: not UTF-8"]) from error


def _get_ticket(handlers: Handlers, method: str, number: str) -> _Answer:
    if handlers.ticket_status is None:
        return _error(404, "no such path")
    if method != "GET":
        return _error(405, "use GET")
    # Python refuses to convert texts above 4,300 digits.
    if not (number.isascii() and number.isdigit() and len(number) < 20):
        return _error(404, "no such ticket")
    status = handlers.ticket_status(ids.TicketNumber(int(number)))
    if status is None:
        return _error(404, "no such ticket")
    return _json(200, _ticket_body(status))


def _drain_target(handlers: Handlers, method: str, target: str) -> _Answer:
    if handlers.drain_target is None:
        return _error(404, "no such path")
    if method != "POST":
        return _error(405, "use POST")
    if not handlers.drain_target(ids.TargetId(urllib.parse.unquote(target))):
        return _error(404, "no such target")
    return _json(202, {"target": target, "draining": True})


def _state(good: bool) -> _Answer:
    return _json(200 if good else 503, {"ok": good})


def _ticket(status: messages.TicketStatus) -> _Answer:
    return _json(_TICKET_STATUS[status.verdict], _ticket_body(status))


def _ticket_body(status: messages.TicketStatus) -> dict[str, Any]:
    return {
        "ticket": status.number,
        "verdict": status.verdict.value,
        "offset": status.offset,
        "findings": list(status.findings),
    }


def _findings(error: exceptions.FindingsError) -> _Answer:
    body = {
        "ticket": None,
        "verdict": messages.TicketVerdict.INVALID.value,
        "offset": ids.NO_OFFSET,
        "findings": list(error.findings),
    }
    return _json(400, body)


def _error(status: int, message: str) -> _Answer:
    return _json(status, {"error": message})


def _json(status: int, value: Any) -> _Answer:
    return _Answer(status, json.dumps(plain(value)).encode())


def plain(value: Any) -> Any:
    """Returns a value as JSON can hold it; unknown types become text."""
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, enum.Enum):
        return plain(value.value)
    if isinstance(value, datetime.timedelta):
        return value.total_seconds()
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        names = [field.name for field in dataclasses.fields(value)]
        return {name: plain(getattr(value, name)) for name in names}
    if isinstance(value, Mapping):
        return {str(key): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [plain(item) for item in value]
    if hasattr(value, "thrift_spec"):
        rows = [row for row in value.thrift_spec if row is not None]
        return {row[2]: plain(getattr(value, row[2])) for row in rows}
    return str(value)
