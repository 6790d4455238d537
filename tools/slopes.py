"""Measures what control costs and writes the tables of docs/CAPACITY.md.

Each case runs in a process of its own, at most four at a time. The text of the
page around the markers stays as it is.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import slopes_ledger
import slopes_process
import slopes_region

from quetzalgauge import ledger

PROCESSES_AT_ONCE = 4
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_HERE = pathlib.Path(__file__).parent

# (control processes, targets held, adapters, further entries of the list)
PROCESS_CASES = (
    (4, 4, 1000, 0),
    (14, 4, 1000, 500),
    (28, 4, 1000, 500),
    (98, 4, 1000, 1880),
    (98, 0, 1000, 1880),
    (98, 1, 1000, 1880),
    (98, 8, 1000, 1880),
    (98, 4, 10_000, 1880),
    (98, 4, 41_000, 1880),
)
# (control processes, targets each, reservations per target, s, s)
COST_CASES = (
    (98, 1, 2, 15, 5),
    (28, 4, 4, 20, 10),
    (14, 4, 8, 20, 10),
    (14, 4, 4, 20, 10),
    (14, 8, 4, 20, 10),
    (14, 1, 4, 20, 10),
    (4, 4, 4, 20, 10),
)
SIZES = (98, 28, 4)
CASES = {
    "process": slopes_process.measure,
    "cost": slopes_region.measure_cost,
    "tickets": slopes_region.measure_tickets,
    "start": slopes_region.measure_start,
}


def _run(name, arguments):
    """Runs a case; a failed case gives None and is named in the table."""
    command = [sys.executable, __file__, "--case", name, *map(str, arguments)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode:
        print(f"{name} {arguments} failed:\n{done.stderr}", file=sys.stderr)
        return {"failed case": f"{name} {arguments}"}
    return json.loads(done.stdout)


def _run_ledger(*arguments):
    command = [sys.executable, slopes_ledger.__file__, "--case", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return json.loads(done.stdout)


def _measure_memory(folder):
    """Returns rows of processes that restore both states, without traffic."""
    ledgers = {}
    for zones in slopes_ledger.ZONES:
        path = f"{folder}/ledger-{zones}"
        claims = str(ledger.KEY_CLAIM_LIMIT)
        ledgers[zones] = _run_ledger("ledger", path, str(zones), claims)
    catalogs = {}
    for adapters in slopes_ledger.ADAPTERS:
        path = f"{folder}/catalog-{adapters}"
        catalogs[adapters] = _run_ledger("catalog", path, str(adapters))
    rows = []
    for zones, first in ledgers.items():
        for adapters, second in catalogs.items():
            paths = f"{folder}/ledger-{zones}", f"{folder}/catalog-{adapters}"
            rows.append(
                {
                    "zones": zones,
                    "adapters": adapters,
                    **_run_ledger("process", *paths),
                    "snapshots KB": first["snapshot KB"]
                    + second["snapshot KB"],
                    "restore ms": first["restore ms"] + second["restore ms"],
                }
            )
    return rows


def _measure():
    pool = concurrent.futures.ThreadPoolExecutor(PROCESSES_AT_ONCE)
    with tempfile.TemporaryDirectory() as folder, pool:
        # The longest cases go first.
        cost = [pool.submit(_run, "cost", case) for case in COST_CASES]
        process = [pool.submit(_run, "process", case) for case in PROCESS_CASES]
        memory = pool.submit(_measure_memory, folder)
        tickets = [pool.submit(_run, "tickets", (size,)) for size in SIZES]
        start = [pool.submit(_run, "start", (size,)) for size in SIZES]
        return {
            "process": [row.result() for row in process],
            "cost": [row.result() for row in cost],
            "memory": memory.result(),
            "tickets": [row.result() for row in tickets],
            "start": [row.result() for row in start],
        }


def make_table(rows):
    """Returns a Markdown table with a column for each key of the rows."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [_line(names), _line("---:" for _ in names)]
    lines += [_line(_text(row.get(name, "")) for name in names) for row in rows]
    return "\n".join(lines)


def _line(cells):
    return f"| {' | '.join(cells)} |"


def _text(value):
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def replace_part(page, name, text):
    """Returns the page with the text between the markers of a name replaced."""
    first, last = f"<!-- {name} -->\n", f"<!-- end of {name} -->"
    before, _, rest = page.partition(first)
    _, found, after = rest.partition(last)
    if not found:
        raise ValueError(f"the page has no markers for {name}")
    return f"{before}{first}\n{text}\n\n{last}{after}"


def main():
    """Writes the tables, or prints one row as JSON with --case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", nargs="+", help=argparse.SUPPRESS)
    case = parser.parse_args().case
    if case:
        print(json.dumps(CASES[case[0]](*map(int, case[1:]))), flush=True)
        # Threads of the stand-ins may still wait for calls.
        os._exit(0)
    start, load = time.monotonic(), os.getloadavg()[0]
    tables = _measure()
    page = PAGE.read_text()
    for name, rows in tables.items():
        page = replace_part(page, name, make_table(rows))
    run = (
        f"Run of {time.monotonic() - start:.0f} s on {os.cpu_count()} cores;"
        f" load average {load:.1f} before and {os.getloadavg()[0]:.1f} after."
    )
    PAGE.write_text(replace_part(page, "run", run))


if __name__ == "__main__":
    main()
