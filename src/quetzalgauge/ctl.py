"""quetzalgauge-ctl: the operators' command line."""

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

DONE = 0
FAILED = 1
WRONG_USAGE = 2

# Long enough for a busy owner task, see DUMP_TIMEOUT_SECONDS in node.process.
_TIMEOUT_SECONDS = 3.0
# Lines of other requests that an explanation shows before an outcome: what an
# instance believed about the target and the model just then.
_BELIEFS = frozenset(
    (
        "configuration",
        "order_answered",
        "placement",
        "seat_taken",
        "seat_lost",
        "store_lost",
        "store_regained",
        "target_changed",
        "target_found",
        "target_gone",
        "target_lapsed",
        "target_leaving",
        "target_restarted",
    )
)
_BELIEF_SECONDS = 5.0

app = cyclopts.App(
    name="quetzalgauge-ctl",
    help=(
        "Look into the instances of a deployment.\n\n"
        "Exit status: 0 done, 1 failed or not found, 2 wrong usage or"
        " settings."
    ),
    version_flags=[],
    result_action="return_value",
)
app.register_install_completion_command()


class _ExitError(exceptions.QuetzalgaugeError):
    """The command ends; its text is printed."""


@app.command
def status(*addresses: str) -> int:
    """Show who holds which zone, queues and the age of what is believed.

    For example:

    `quetzalgauge-ctl status 127.0.0.1:9464 127.0.0.1:9465`

    Args:
        addresses: Operator addresses of instances.
    """
    if not addresses:
        _fail("name at least one operator address")
    failed = False
    for address in addresses:
        try:
            state = _get_state(address)
        except _ExitError as error:
            print(error)
            failed = True
            continue
        print("\n".join(_describe(address, state)))
    return FAILED if failed else DONE


@app.command
def dump(address: str, /) -> int:
    """Print the whole state of an instance as JSON.

    For example:

    `quetzalgauge-ctl dump 127.0.0.1:9464`

    Args:
        address: Operator address of the instance.
    """
    print(json.dumps(_get_state(address), indent=2))
    return DONE


@app.command
def check(file: pathlib.Path, /) -> int:
    """Check a settings file and print every finding with its place.

    For example:

    `quetzalgauge-ctl check settings.json`

    Args:
        file: The settings, JSON with comments.
    """
    try:
        settings.load(file)
    except exceptions.FindingsError as error:
        print("\n".join(error.findings))
        return WRONG_USAGE
    print(f"{file}: valid")
    return DONE


@app.command
def explain(
    request: str,
    /,
    *logs: pathlib.Path,
    json_output: Annotated[
        bool, cyclopts.Parameter(name="--json", negative=())
    ] = False,
) -> int:
    """Show what was decided about a request, and what was believed then.

    Prints the request's own lines and, from the five seconds before its end,
    those about its targets and its model.

    For example:

    `quetzalgauge-ctl explain 9c1d44b2 qg-1.log qg-2.log`

    Args:
        request: The request's id, from the caller or the answer.
        logs: Log files of instances; each has its own clock.
        json_output: Print the lines as they are.
    """
    found = False
    for path in logs:
        for rows in _split_starts(_read_log(path)):
            own = [row for row in rows if row.get("request") == request]
            if not own:
                continue
            found = True
            for row in _with_beliefs(rows, own):
                if json_output:
                    print(json.dumps(row))
                else:
                    print(f"{path.name} {_line(row)}")
    if not found:
        print(f"no line about {request}; was it left out? (left_out_before)")
    return DONE if found else FAILED


def _with_beliefs(
    rows: Iterable[dict[str, Any]], own: list[dict[str, Any]]
) -> Iterator[dict[str, Any]]:
    """Returns a request's lines and those that explain them, in order."""
    targets = {row["target"] for row in own if row.get("target")}
    models = {row["model"] for row in own if row.get("model")}
    end = own[-1].get("t", 0.0)
    for row in rows:
        if row in own or (
            row.get("event") in _BELIEFS
            and end - _BELIEF_SECONDS <= row.get("t", 0.0) <= end
            and (
                row.get("target") in targets
                or not models.isdisjoint((row.get("model"), row.get("for")))
                or "target" not in row
            )
        ):
            yield row


def _read_log(path: pathlib.Path) -> Iterator[dict[str, Any]]:
    """Returns the JSON lines of a log; a torn last line is left out."""
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


def _split_starts(
    rows: Iterable[dict[str, Any]],
) -> Iterator[list[dict[str, Any]]]:
    """Returns the lines of each start; each has a clock of its own."""
    current: list[dict[str, Any]] = []
    for row in rows:
        if row.get("event") == "start" and current:
            yield current
            current = []
        current.append(row)
    yield current


def _line(row: dict[str, Any]) -> str:
    rest = " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in row.items()
        if key not in ("t", "event") and value not in (None, "", [])
    )
    return f"{row.get('t', 0.0):9.3f} {row.get('event', ''):15} {rest}"


def _describe(address: str, state: dict[str, Any]) -> Iterator[str]:
    """Returns the lines of one instance."""
    seat = state["seat"]
    gateway = state["gateway"]
    yield (
        f"{state['instance']} ({address}) in {state['zone']}:"
        f" {'ready' if state['ready'] else 'not ready'}"
        f"{', stopping' if state['draining'] else ''},"
        f" configuration {gateway['configuration']}"
    )
    if seat["holding"]:
        yield (
            f"  holds the zone with token {seat['token']},"
            f" may order for {seat['orders_for_s']:.1f} s"
        )
    phases: dict[str, int] = {}
    for request in gateway["requests"]:
        phase = request["phase"]
        phases[phase] = phases.get(phase, 0) + 1
    counts = ", ".join(f"{count} {phase}" for phase, count in phases.items())
    yield f"  requests: {counts or 'none'}"
    for key in ("boards", "targets"):
        for name, value in _items(state.get(key)):
            yield f"  {key[:-1]} {name}: {json.dumps(value)}"


def _items(value: Any) -> Iterable[tuple[str, Any]]:
    if isinstance(value, dict):
        return value.items()
    return ((str(index), one) for index, one in enumerate(value or ()))


def _get_state(address: str) -> dict[str, Any]:
    try:
        answer = urllib3.request(
            "GET",
            f"http://{address}/dump",
            retries=False,
            timeout=_TIMEOUT_SECONDS,
        )
        value = answer.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise _ExitError(f"{address}: no state: {error}") from error
    if answer.status != 200 or not isinstance(value, dict):
        raise _ExitError(f"{address}: answered {answer.status}")
    return value


def _fail(text: str) -> NoReturn:
    raise _ExitError(text)


def main() -> None:
    """Runs the command line."""
    try:
        code = app()
    except _ExitError as error:
        print(error, file=sys.stderr)
        code = FAILED
    sys.exit(code)
