"""quetzalgauge-ctl: the operators' command line."""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import ssl
import sys
import time
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NoReturn
from typing import TypeAlias
import urllib.parse

import cyclopts
import urllib3

from quetzalgauge import exceptions
from quetzalgauge import findings
from quetzalgauge import jsonc
from quetzalgauge import settings
from quetzalgauge import tickets

DONE = 0
FAILED = 1
WRONG_USAGE = 2
REFUSED = 3
UNKNOWN = 4

_CONNECT_TIMEOUT_SECONDS = 2
# A control process waits for the log before it answers a ticket.
_READ_TIMEOUT_SECONDS = 15
_REPEAT_PAUSE_SECONDS = 0.5
_DEFAULT_WAIT_SECONDS = 30.0
_REFUSING_STATUSES = frozenset((400, 404, 405, 409, 413, 422))

app = cyclopts.App(
    name="quetzalgauge-ctl",
    help=(
        "Operate a quetzalgauge deployment.\n\n"
        "Exit status: 0 done, 1 failed, 2 wrong usage, settings or ticket"
        " (nothing was sent), 3 refused, 4 unknown outcome.\n\n"
        "Example: quetzalgauge-ctl submit ticket.json --control 127.0.0.1:9001"
    ),
    version_flags=[],
    result_action="return_value",
)
app.register_install_completion_command()


class _ExitError(exceptions.QuetzalgaugeError):
    """The command ends with this status; its text is printed."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Connection:
    """How to reach a process, and how to print its answer.

    Attributes:
        control: HOST:PORT of the operator listener; repeat it to name further
            processes, which are tried in turn.
        json_output: Print one JSON object.
        authority: PEM file of the certificate authority; implies TLS.
        certificate: PEM file of the own certificate.
        key: PEM file of the own key.
    """

    control: Annotated[list[str], cyclopts.Parameter(negative=())]
    json_output: Annotated[
        bool, cyclopts.Parameter(name="--json", negative=())
    ] = False
    authority: pathlib.Path | None = None
    certificate: pathlib.Path | None = None
    key: pathlib.Path | None = None


@app.command
def submit(
    file: pathlib.Path,
    /,
    *,
    connection: Connection,
    wait: float = _DEFAULT_WAIT_SECONDS,
) -> int:
    """Submit a change ticket.

    The ticket is checked first. After a lost answer it is sent again until
    its outcome is known: the same ticket twice has one effect.

    For example:

    `quetzalgauge-ctl submit ticket.json --control 127.0.0.1:9001`

    Args:
        file: The ticket, JSON with comments.
        connection: The control process.
        wait: Seconds until an unknown outcome is reported as such.
    """
    # The control process gets plain JSON: comments would make it load the
    # lark parser, 11 MB of its 64 MB.
    text = tickets.parse(_read(file), str(file)).text
    body, status = _submit(connection, text, wait)
    _print(connection, body, _ticket_lines)
    return status


@app.command
def status(
    ticket: int | None = None,
    /,
    *,
    connection: Connection,
) -> int:
    """Show whether a process is ready, or what became of a ticket.

    For example:

    `quetzalgauge-ctl status --control 127.0.0.1:9001`

    `quetzalgauge-ctl status 17 --control 127.0.0.1:9001`

    Args:
        ticket: Number of a ticket.
        connection: The process.
    """
    if ticket is not None:
        body = _get(connection, f"/tickets/{ticket}")
        _print(connection, body, _ticket_lines)
        return DONE
    states = {
        name: _call(connection, "GET", f"/{name}").status == 200
        for name in ("healthz", "readyz")
    }
    body = {"healthy": states["healthz"], "ready": states["readyz"]}
    _print(connection, body, _field_lines)
    return DONE if all(body.values()) else FAILED


@app.command
def check(
    file: pathlib.Path,
    /,
    *,
    kind: Literal["auto", "ticket", "entry", "control"] = "auto",
    json_output: Annotated[
        bool, cyclopts.Parameter(name="--json", negative=())
    ] = False,
) -> int:
    """Check a ticket or settings file offline and print every finding.

    For example:

    `quetzalgauge-ctl check ticket.json`

    `quetzalgauge-ctl check entry.json --kind entry`

    Args:
        file: The file, JSON with comments.
        kind: What the file is; by default found out from its keys.
        json_output: Print one JSON object.
    """
    text = _read(file)
    found: tuple[str, ...] = ()
    try:
        if kind == "auto":
            kind = _detect(jsonc.parse(text, str(file)).value, str(file))
        _CHECKERS[kind](text, str(file))
    except exceptions.FindingsError as error:
        found = error.findings
    if json_output:
        print(json.dumps({"kind": kind, "findings": list(found)}))
    else:
        print("\n".join(found) or f"{file}: valid {kind} file")
    return WRONG_USAGE if found else DONE


@app.command
def dump(*, connection: Connection) -> int:
    """Print the state of a process as JSON.

    For example:

    `quetzalgauge-ctl dump --control 127.0.0.1:9001`

    Args:
        connection: The process.
    """
    body = _get(connection, "/dump")
    print(json.dumps(body, indent=None if connection.json_output else 2))
    return DONE


@app.command
def drain(*, connection: Connection, target: str = "") -> int:
    """Start the graceful shutdown of a process, or drain a target.

    A drained target gets no new work until it is restarted.

    For example:

    `quetzalgauge-ctl drain --control 127.0.0.1:9001`

    `quetzalgauge-ctl drain --target lm-1 --control 127.0.0.1:9001`

    Args:
        connection: The process.
        target: A target that is to be drained by all instances.
    """
    quoted = urllib.parse.quote(target, safe="")
    path = f"/targets/{quoted}/drain" if target else "/drain"
    answer = _call(connection, "POST", path)
    if answer.status != 202:
        raise _make_error(answer)
    body = {"draining": target or "process"}
    _print(connection, body, _field_lines)
    return DONE


def _submit(connection: Connection, text: str, wait: float) -> tuple[Any, int]:
    end = time.monotonic() + wait
    was_sent = False
    while True:
        reason = ""
        try:
            answer = _call(connection, "POST", "/tickets", text.encode())
            was_sent = True
            if answer.status == 200:
                return _json(answer), DONE
            if answer.status in _REFUSING_STATUSES:
                return _json(answer), REFUSED
            reason = f"answered {answer.status}"
        except _NotSentError as error:
            reason = str(error)
        except _LostError as error:
            was_sent = True
            reason = str(error)
        if time.monotonic() >= end:
            if was_sent:
                raise _ExitError(UNKNOWN, f"unknown outcome: {reason}")
            raise _ExitError(FAILED, f"not sent: {reason}")
        time.sleep(_REPEAT_PAUSE_SECONDS)


# ---- HTTP ------------------------------------------------------------------


class _NotSentError(_ExitError):
    def __init__(self, message: str) -> None:
        super().__init__(FAILED, message)


class _LostError(_ExitError):
    def __init__(self, message: str) -> None:
        super().__init__(UNKNOWN, f"answer lost: {message}")


def _call(
    connection: Connection, method: str, path: str, body: bytes | None = None
) -> urllib3.BaseHTTPResponse:
    """Sends a call to the first process that can be reached.

    Raises:
        _NotSentError: No process can be reached.
        _LostError: The call was sent and the answer is missing.
    """
    pool = _make_pool(connection)
    scheme = "https" if connection.authority else "http"
    reasons = []
    for address in connection.control:
        try:
            return pool.request(
                method, f"{scheme}://{address}{path}", body=body
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            reasons.append(f"{address} cannot be reached")
        except urllib3.exceptions.LocationValueError:
            reasons.append(f"{address!r} is not HOST:PORT")
        except urllib3.exceptions.HTTPError as error:
            raise _LostError(f"{address}: {type(error).__name__}") from error
    raise _NotSentError("; ".join(reasons))


def _make_pool(connection: Connection) -> urllib3.PoolManager:
    context = None
    if connection.authority:
        context = ssl.create_default_context(cafile=connection.authority)
        if connection.certificate:
            context.load_cert_chain(connection.certificate, connection.key)
    return urllib3.PoolManager(
        retries=False,
        ssl_context=context,
        timeout=urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_SECONDS, read=_READ_TIMEOUT_SECONDS
        ),
    )


def _get(connection: Connection, path: str) -> Any:
    answer = _call(connection, "GET", path)
    if answer.status != 200:
        raise _make_error(answer)
    return _json(answer)


def _make_error(answer: urllib3.BaseHTTPResponse) -> _ExitError:
    try:
        text = answer.json()["error"]
    except (ValueError, KeyError, TypeError):
        text = "no reason given"
    refused = answer.status in _REFUSING_STATUSES
    return _ExitError(
        REFUSED if refused else FAILED, f"answered {answer.status}: {text}"
    )


def _json(answer: urllib3.BaseHTTPResponse) -> Any:
    try:
        return answer.json()
    except ValueError as error:
        raise _ExitError(FAILED, "the answer is not JSON") from error


# ---- Files -----------------------------------------------------------------


def _read(file: pathlib.Path) -> str:
    try:
        return file.read_bytes().decode("utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        raise exceptions.FindingsError([f"{file}: {reason}"]) from error
    except UnicodeDecodeError as error:
        raise exceptions.FindingsError([f"{file}: not UTF-8"]) from error


_Checker: TypeAlias = Callable[[str, str], object]

_CHECKERS: dict[str, _Checker] = {
    "ticket": tickets.parse,
    "entry": lambda text, source: settings.parse(
        text, source, settings.EntrySettings
    ),
    "control": lambda text, source: settings.parse(
        text, source, settings.ControlSettings
    ),
}
# A key that only a file of this kind has.
_MARKS: tuple[tuple[str, Literal["ticket", "entry", "control"]], ...] = (
    ("ticket", "ticket"),
    ("models", "ticket"),
    ("control_listen", "control"),
    ("peer_listen", "control"),
    ("log_url", "control"),
    ("entry", "entry"),
    ("control", "entry"),
)


def _detect(value: Any, source: str) -> Literal["ticket", "entry", "control"]:
    if isinstance(value, dict):
        for key, kind in _MARKS:
            if key in value:
                return kind
    message = "neither a ticket nor settings; use --kind"
    raise exceptions.FindingsError(
        [str(findings.Finding(source, 1, (), message))]
    )


# ---- Output ----------------------------------------------------------------


def _print(
    connection: Connection, body: Any, lines: Callable[[Any], list[str]]
) -> None:
    if connection.json_output:
        print(json.dumps(body))
    else:
        print("\n".join(lines(body)))


def _ticket_lines(body: Any) -> list[str]:
    if "verdict" not in body:
        return [str(body.get("error", body))]
    lines = [f"ticket {body['ticket']}: {body['verdict']}"]
    if body["offset"] is not None and body["offset"] >= 0:
        lines[0] += f" at offset {body['offset']}"
    return lines + [f"  {finding}" for finding in body["findings"]]


def _field_lines(body: Any) -> list[str]:
    return [f"{name}: {str(value).lower()}" for name, value in body.items()]


def main() -> NoReturn:
    """Entry point of quetzalgauge-ctl."""
    try:
        result = app(sys.argv[1:], exit_on_error=False)
    except cyclopts.CycloptsError:
        result = WRONG_USAGE
    except exceptions.FindingsError as error:
        print(error, file=sys.stderr)
        result = WRONG_USAGE
    except _ExitError as error:
        print(f"quetzalgauge-ctl: {error}", file=sys.stderr)
        result = error.status
    except OSError as error:
        print(f"quetzalgauge-ctl: {error}", file=sys.stderr)
        result = FAILED
    sys.exit(result)


if __name__ == "__main__":
    main()
