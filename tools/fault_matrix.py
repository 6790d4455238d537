"""Writes docs/FAULTS.md: which test proves which fault at which step.

A test names its cells with `@pytest.mark.covers("FAULT", "STEP")`, once per
cell. `--check` compares the page with the tests instead of writing it.
"""

import argparse
import collections
import contextlib
import io
import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "FAULTS.md"

FAULTS = (
    "crash",
    "pause beyond the lease",
    "cut",
    "half-open connection",
    "lost acknowledgement",
    "duplicate",
    "reorder",
    "log outage",
    "slow weight store",
    "racing tickets",
    "reclaimed instance",
)
STEPS = (
    "request",
    "load",
    "unload",
    "lease change",
    "ticket",
    "drain",
    "start",
)

# A cell that cannot occur, and why.
NOT_APPLICABLE = {
    ("slow weight store", "unload"): "an unload reads nothing from the store",
    ("slow weight store", "lease change"): "a lease change loads nothing",
    ("slow weight store", "ticket"): "a ticket loads nothing by itself",
    ("racing tickets", "start"): "a start submits no ticket",
}

_HEADER = """# Fault matrix

Written by `make fault-matrix` from the `covers` marks of the tests; don't edit
it by hand. A cell names the tests that bring the fault about at that step.
`-` means that the cell cannot occur; the reasons are below the table.
"""


class _Collector:
    """A pytest plugin that remembers the cells of each collected test."""

    def __init__(self) -> None:
        self.tests: dict[tuple[str, str], list[str]] = collections.defaultdict(
            list
        )
        self.problems: list[str] = []

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            name = item.nodeid.split("[")[0]
            for mark in item.iter_markers("covers"):
                self._add(name, mark.args)

    def _add(self, name: str, cell: tuple[str, ...]) -> None:
        if len(cell) != 2 or cell[0] not in FAULTS or cell[1] not in STEPS:
            self.problems.append(f"{name}: no such cell {cell}")
            return
        tests = self.tests[(cell[0], cell[1])]
        if name not in tests:
            tests.append(name)


def collect() -> _Collector:
    """Collects the tests without running them.

    Raises:
        RuntimeError: The tests cannot be collected or name an unknown cell.
    """
    collector = _Collector()
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        status = pytest.main(
            ["--collect-only", "-q", "-n", "0", str(ROOT / "tests")],
            plugins=[collector],
        )
    if status != pytest.ExitCode.OK:
        raise RuntimeError(f"tests cannot be collected:\n{output.getvalue()}")
    if collector.problems:
        raise RuntimeError("\n".join(collector.problems))
    return collector


def render(tests: dict[tuple[str, str], list[str]]) -> str:
    """Returns the page for the tests of each cell."""
    numbers = _number_tests(tests)
    lines = [_HEADER]
    lines.append("| fault | " + " | ".join(STEPS) + " |")
    lines.append("| --- " * (len(STEPS) + 1) + "|")
    for fault in FAULTS:
        cells = [_cell_text(fault, step, tests, numbers) for step in STEPS]
        lines.append(f"| {fault} | " + " | ".join(cells) + " |")
    total = len(FAULTS) * len(STEPS) - len(NOT_APPLICABLE)
    proved = sum(1 for names in tests.values() if names)
    lines.append("")
    lines.append(f"{proved} of {total} cells have a test.")
    lines.append("")
    lines.append("## Tests")
    lines.append("")
    lines.extend(f"{number}. `{name}`" for name, number in numbers.items())
    lines.append("")
    lines.append("## Cells that cannot occur")
    lines.append("")
    for (fault, step), reason in NOT_APPLICABLE.items():
        lines.append(f"- {fault}, {step}: {reason}.")
    return "\n".join(lines) + "\n"


def _number_tests(tests: dict[tuple[str, str], list[str]]) -> dict[str, int]:
    names = sorted({name for found in tests.values() for name in found})
    return {name: number for number, name in enumerate(names, start=1)}


def _cell_text(
    fault: str,
    step: str,
    tests: dict[tuple[str, str], list[str]],
    numbers: dict[str, int],
) -> str:
    if (fault, step) in NOT_APPLICABLE:
        return "-"
    found = tests.get((fault, step), [])
    if not found:
        return "not proved"
    return ", ".join(str(numbers[name]) for name in sorted(found))


def main() -> int:
    """Writes or checks the page; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    page = render(collect().tests)
    if not arguments.check:
        PAGE.write_text(page, encoding="utf-8")
        return 0
    if PAGE.exists() and PAGE.read_text(encoding="utf-8") == page:
        return 0
    print("docs/FAULTS.md is out of date; run make fault-matrix")
    return 1


if __name__ == "__main__":
    sys.exit(main())
