"""quetzalgauge-ctl: command line tool for operators."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import sys
from typing import Annotated
from typing import Any
from typing import NoReturn

import cyclopts
import urllib3

from quetzalgauge import exceptions
from quetzalgauge.node import settings

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2

# Exceeds DUMP_TIMEOUT_SECONDS in node.process, so that an instance whose event
# loop is busy can still respond with an error.
_TIMEOUT_SECONDS = 3.0
# Events outside a request that `explain` shows before the request's outcome:
# they tell what the instance knew about its targets and its model at the time.
_RELATED_EVENTS = frozenset(
    (
        "configuration",
        "order_answered",
        "placement",
        "read_behind",
        "seat_taken",
        "seat_lost",
        "store_lost",
        "store_reads_renewed",
        "store_regained",
        "target_changed",
        "target_found",
        "target_gone",
        "target_lapsed",
        "target_leaving",
        "target_restarted",
    )
)
_RELATED_EVENT_SECONDS = 5.0
# Events of prompt parts; they stay of interest for as long as their evidence.
_PART_EVENTS = frozenset(
    ("part_cleared", "part_quarantined", "part_suspected", "part_trial")
)

app = cyclopts.App(
    name="quetzalgauge-ctl",
    help=(
        "Inspect the instances of a deployment.\n\n"
        "Exit status: 0 success, 1 failed or not found, 2 wrong usage or"
        " settings."
    ),
    version_flags=[],
    result_action="return_value",
)
app.register_install_completion_command()


class _CommandError(exceptions.QuetzalgaugeError):
    """Ends the command; its message is printed."""


@app.command
def status(*addresses: str) -> int:
    """Show zone leaders, requests by phase and the age of known state.

    For example:

    `quetzalgauge-ctl status 127.0.0.1:9464 127.0.0.1:9465`

    Args:
        addresses: Operator addresses of instances.
    """
    if not addresses:
        _fail("specify at least one operator address")
    failed = False
    for address in addresses:
        try:
            state = _fetch_state(address)
        except _CommandError as error:
            print(error)
            failed = True
            continue
        print("\n".join(_format_state(address, state)))
    return EXIT_FAILURE if failed else EXIT_OK


@app.command
def dump(address: str, /) -> int:
    """Print the full state of an instance as JSON.

    For example:

    `quetzalgauge-ctl dump 127.0.0.1:9464`

    Args:
        address: Operator address of the instance.
    """
    print(json.dumps(_fetch_state(address), indent=2))
    return EXIT_OK


@app.command
def check(file: pathlib.Path, /) -> int:
    """Check a settings file and print every finding with its location.

    For example:

    `quetzalgauge-ctl check settings.json`

    Args:
        file: Settings file, JSON with comments.
    """
    try:
        settings.load(file)
    except exceptions.FindingsError as error:
        print("\n".join(error.findings))
        return EXIT_USAGE
    print(f"{file}: valid")
    return EXIT_OK


@app.command
def explain(
    request: str,
    /,
    *logs: pathlib.Path,
    json_output: Annotated[
        bool, cyclopts.Parameter(name="--json", negative=())
    ] = False,
) -> int:
    """Show the decisions about a request and the known state behind them.

    Prints the request's own log lines and, from the five seconds before its
    end, the lines about its targets and its model. If its prompt has suspected
    or quarantined parts, prints all earlier lines about them.

    For example:

    `quetzalgauge-ctl explain 9c1d44b2 qg-1.log qg-2.log`

    Args:
        request: Request ID, as sent by the caller or returned in the response.
        logs: Log files of instances; each has its own clock.
        json_output: Print the log lines as JSON.
    """
    has_match = False
    for path in logs:
        for rows in _split_by_process_start(_read_log(path)):
            own_rows = [row for row in rows if row.get("request") == request]
            if not own_rows:
                continue
            has_match = True
            for row in _select_related_rows(rows, own_rows):
                if json_output:
                    print(json.dumps(row))
                else:
                    print(f"{path.name} {_format_row(row)}")
    if not has_match:
        print(
            f"no log line for request {request}; it may have been dropped"
            " (see left_out_before)"
        )
    return EXIT_OK if has_match else EXIT_FAILURE


def _select_related_rows(
    rows: Iterable[dict[str, Any]], own_rows: list[dict[str, Any]]
) -> Iterator[dict[str, Any]]:
    """Yields a request's rows and the related ones, in the order of the log."""
    targets = {row["target"] for row in own_rows if row.get("target")}
    models = {row["model"] for row in own_rows if row.get("model")}
    parts = {part for row in own_rows for part in row.get("parts") or ()}
    end = own_rows[-1].get("t", 0.0)
    for row in rows:
        is_about_parts = row.get("event") in _PART_EVENTS and (
            not parts.isdisjoint((row.get("part"), *(row.get("parts") or ())))
        )
        is_related = (
            row.get("event") in _RELATED_EVENTS
            and end - _RELATED_EVENT_SECONDS <= row.get("t", 0.0)
            and (
                row.get("target") in targets
                or not models.isdisjoint((row.get("model"), row.get("for")))
                or "target" not in row
            )
        )
        is_earlier = row.get("t", 0.0) <= end
        if row in own_rows or (is_earlier and (is_about_parts or is_related)):
            yield row


def _read_log(path: pathlib.Path) -> Iterator[dict[str, Any]]:
    """Yields the rows of a log; lines that are not JSON objects are skipped.

    The last line may be incomplete.
    """
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        _fail(f"{path}: {error.strerror}")
    for line in text.splitlines():
        try:
            row = json.loads(line)
        except ValueError:
            continue
        if isinstance(row, dict):
            yield row


def _split_by_process_start(
    rows: Iterable[dict[str, Any]],
) -> Iterator[list[dict[str, Any]]]:
    """Yields the rows of each process start; each start has its own clock."""
    current: list[dict[str, Any]] = []
    for row in rows:
        if row.get("event") == "start" and current:
            yield current
            current = []
        current.append(row)
    yield current


def _format_row(row: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in row.items()
        if key not in ("t", "event") and value not in (None, "", [])
    )
    return f"{row.get('t', 0.0):9.3f} {row.get('event', ''):15} {fields}"


def _format_state(address: str, state: dict[str, Any]) -> Iterator[str]:
    """Yields the output lines for an instance."""
    election = state["seat"]
    gateway = state["gateway"]
    yield (
        f"{state['instance']} ({address}) in {state['zone']}:"
        f" {'ready' if state['ready'] else 'not ready'}"
        f"{', stopping' if state['draining'] else ''},"
        f" configuration {gateway['configuration']}"
    )
    if election["holding"]:
        yield (
            f"  leader of the zone with fencing token {election['token']},"
            f" active for another {election['orders_for_s']:.1f} s"
        )
    phases: dict[str, int] = {}
    for request in gateway["requests"]:
        phase = request["phase"]
        phases[phase] = phases.get(phase, 0) + 1
    counts = ", ".join(f"{count} {phase}" for phase, count in phases.items())
    yield f"  requests: {counts or 'none'}"
    for part in state.get("quarantine", ()):
        yield f"  {_format_part(part)}"
    for key in ("boards", "targets"):
        for name, value in _iter_items(state.get(key)):
            yield f"  {key[:-1]} {name}: {json.dumps(value)}"


def _format_part(part: dict[str, Any]) -> str:
    text = (
        f"prompt part {part['part']} with model {part['model'] or 'none'}:"
        f" {part['status']}, first end {part['since_s']:.1f} s ago,"
        f" ended targets: {', '.join(part['ends'])}"
    )
    if part["probe_in_s"] is not None:
        text += f"; next probe in {part['probe_in_s']:.1f} s"
    return text


def _iter_items(value: Any) -> Iterable[tuple[str, Any]]:
    if isinstance(value, dict):
        return value.items()
    return ((str(index), item) for index, item in enumerate(value or ()))


def _fetch_state(address: str) -> dict[str, Any]:
    try:
        response = urllib3.request(
            "GET",
            f"http://{address}/dump",
            retries=False,
            timeout=_TIMEOUT_SECONDS,
        )
        value = response.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise _CommandError(f"{address}: cannot read state: {error}") from error
    if response.status != 200 or not isinstance(value, dict):
        raise _CommandError(
            f"{address}: unexpected response with status {response.status}"
        )
    return value


def _fail(message: str) -> NoReturn:
    raise _CommandError(message)


def main() -> None:
    """Runs the command line."""
    try:
        code = app()
    except _CommandError as error:
        print(error, file=sys.stderr)
        code = EXIT_FAILURE
    sys.exit(code)
