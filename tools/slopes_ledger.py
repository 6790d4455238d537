"""Measures time and memory of the two folds at three sizes each.

Each case runs in a process of its own. "state MB" is what the folded state
allocates. The last table shows whole processes that import the control program
and restore both states, without sockets and traffic.
"""

import argparse
import importlib
import json
import pathlib
import random
import resource
import subprocess
import sys
import tempfile
import time
import tracemalloc

from quetzalgauge import catalog
from quetzalgauge import ids
from quetzalgauge import ledger
from quetzalgauge import records
from quetzalgauge import tickets

# Shares of one of the 14 availability zones of the target size: 390 nodes,
# 1,500 servers and 12,000 accelerators, with one reservation per accelerator.
NODES_PER_ZONE = 28
TARGETS_PER_ZONE = 107
RESERVATIONS_PER_TARGET = 8
ZONES = (1, 4, 14)
ADAPTERS = (1_000, 10_000, 41_000)
MODELS = 250
STEADY_RECORDS = 20_000
GIB = 1024**3
MIB = 1024**2


class _Stream:
    """Appends to a ledger and keeps what a measurement needs."""

    def __init__(self):
        self.ledger = ledger.make_ledger()
        self.offset = -1
        self.sequence = 0

    def fold(self, node, body):
        envelope = self.next(node, body)
        outcome = ledger.apply(self.ledger, self.offset, envelope)
        assert outcome.accepted, (body, outcome)

    def next(self, node, body):
        self.offset += 1
        self.sequence += 1
        writer = ids.WriterId(f"entry-{node:04}", 1_790_000_000_000)
        return records.Envelope(writer, self.sequence, body)


def _fill(stream, zones, generator, claims):
    nodes = NODES_PER_ZONE * zones
    for node in range(nodes):
        zone = f"zone-{node % zones}"
        stream.fold(node, records.Register(zone, f"10.0.{node // 250}.1:7100"))
    for place in range(TARGETS_PER_ZONE * zones):
        node = place % nodes
        zone, name = f"zone-{node % zones}", f"server-{place:05}"
        stream.fold(node, records.LeaseClaim(name, ids.NO_OFFSET))
        number = stream.offset
        stream.fold(
            node, records.TargetRegister(name, "8f3a1c", zone, 640 * GIB, True)
        )
        for index in range(RESERVATIONS_PER_TARGET):
            slot = ids.SlotId(f"model-{index:03}", zone, place)
            body = records.Reserve(name, number, slot, "v2", 70 * GIB)
            stream.fold(node, body)
    for claim in range(claims):
        key = generator.getrandbits(63)
        body = records.KeyClaim((key,), f"entry-{claim % nodes:04}-0")
        stream.fold(claim % nodes, body)


def _steady(stream, zones, generator):
    """Returns encoded records: renewals and claims of one key, half each."""
    nodes = NODES_PER_ZONE * zones
    rows = []
    for place in range(STEADY_RECORDS):
        node = generator.randrange(nodes)
        body = records.Renew()
        if place % 2:
            key = generator.getrandbits(63)
            body = records.KeyClaim((key,), f"entry-{node:04}-0")
        envelope = stream.next(node, body)
        rows.append((stream.offset, records.encode(envelope)))
    return rows


def measure_ledger(path, zones, claims):
    """Returns a row of the decision fold and leaves its snapshot in a file."""
    generator = random.Random(1)
    stream = _Stream()
    tracemalloc.start()
    _fill(stream, zones, generator, claims)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rows = _steady(stream, zones, generator)
    decoded, decode_time = _timed(
        lambda: [(offset, records.decode(data)) for offset, data in rows]
    )
    _, apply_time = _timed(
        lambda: [ledger.apply(stream.ledger, *row) for row in decoded]
    )
    data, pack_time = _timed(lambda: ledger.snapshot(stream.ledger))
    pathlib.Path(path).write_bytes(data)
    restored, restore_time = _timed(lambda: ledger.restore(data))
    assert ledger.snapshot(restored) == data
    state = stream.ledger
    return {
        "zones": zones,
        "writers": len(state.writers),
        "targets": len(state.targets),
        "reservations": len(state.slots),
        "key claims": len(state.claims),
        "decode us": decode_time / len(rows) * 1e6,
        "apply us": apply_time / len(rows) * 1e6,
        "state MB": state_bytes / MIB,
        "snapshot KB": len(data) / 1024,
        "pack ms": pack_time * 1e3,
        "restore ms": restore_time * 1e3,
    }


def _model_ticket(number, name):
    versions = {"v1": {"checkpoint": f"{name}-v1", "memory_mib": 70_000}}
    zones = {f"zone-{zone}": {"max_replicas": 4} for zone in range(14)}
    part = {
        "versions": versions,
        "default_version": "v1",
        "availability_zones": zones,
    }
    return json.dumps({"ticket": number, "models": {name: part}})


def _adapter_ticket(number, generator):
    name = f"adapter-{number:06}"
    model = f"model-{generator.randrange(MODELS):03}"
    part = {"model": model, "memory_mib": generator.randrange(10, 200)}
    return json.dumps({"ticket": number, "adapters": {name: part}})


def measure_catalog(path, adapters):
    """Returns a row of the configuration fold, leaves its snapshot in a file.

    Every adapter has a ticket of its own, the case that takes most memory.
    """
    generator = random.Random(1)
    texts = [
        _model_ticket(number, f"model-{number - 1:03}")
        for number in range(1, MODELS + 1)
    ]
    texts += [
        _adapter_ticket(MODELS + number, generator)
        for number in range(1, adapters + 1)
    ]
    tracemalloc.start()
    state = _fold_catalog(texts)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    _, apply_time = _timed(lambda: _fold_catalog(texts))
    data, pack_time = _timed(lambda: catalog.snapshot(state))
    pathlib.Path(path).write_bytes(data)
    restored, restore_time = _timed(lambda: catalog.restore(data))
    assert catalog.snapshot(restored) == data
    version = state.version - 10
    _, changed_time = _timed(lambda: state.changed_since(version))
    return {
        "models": MODELS,
        "adapters": sum(1 for _ in state.adapters()),
        "ticket us": apply_time / len(texts) * 1e6,
        "state MB": state_bytes / MIB,
        "snapshot KB": len(data) / 1024,
        "pack ms": pack_time * 1e3,
        "restore ms": restore_time * 1e3,
        "10 changes us": changed_time * 1e6,
    }


def _fold_catalog(texts):
    state = catalog.make_catalog()
    for offset, text in enumerate(texts):
        ticket = tickets.parse(text, "slopes")
        status = catalog.apply(state, offset, ticket)
        assert status.verdict.value == "accepted", status
    return state


def _timed(call):
    start = time.perf_counter()
    result = call()
    return result, time.perf_counter() - start


def measure_process(ledger_path, catalog_path):
    """Returns the memory of a process that restores both states."""
    importlib.import_module("quetzalgauge.control")
    modules = _resident_mb()
    decisions = ledger.restore(pathlib.Path(ledger_path).read_bytes())
    configuration = catalog.restore(pathlib.Path(catalog_path).read_bytes())
    resident = _resident_mb()
    assert ledger.snapshot(decisions)
    assert catalog.snapshot(configuration)
    return {
        "modules MB": modules,
        "with states MB": resident,
        "peak with own snapshots MB": _peak_mb(),
    }


def _resident_mb():
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(row for row in status.splitlines() if "VmRSS" in row)
    return int(line.split()[1]) / 1024


def _peak_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def _run_case(name, *arguments):
    command = [sys.executable, __file__, "--case", name, *map(str, arguments)]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return json.loads(done.stdout)


def _run_all(directory):
    catalog_path = directory / "catalog"
    for claims in (0, ledger.KEY_CLAIM_LIMIT):
        rows = [
            _run_case("ledger", directory / f"ledger-{zones}", zones, claims)
            for zones in ZONES
        ]
        _print_table(f"Decision fold, {claims} key claims before", rows)
    rows = [
        _run_case("catalog", catalog_path, adapters) for adapters in ADAPTERS
    ]
    _print_table("Configuration fold, one ticket per object", rows)
    rows = [
        {"zones": zones, "adapters": ADAPTERS[-1]}
        | _run_case("process", directory / f"ledger-{zones}", catalog_path)
        for zones in ZONES
    ]
    _print_table("Process with the control program's modules", rows)


def _print_table(title, rows):
    print(title)
    names = list(rows[0])
    cells = [[_format(row[name]) for name in names] for row in rows]
    widths = [
        max(map(len, column)) for column in zip(names, *cells, strict=True)
    ]
    for line in [names, *cells]:
        pairs = zip(line, widths, strict=True)
        print("  ".join(cell.rjust(width) for cell, width in pairs))
    print()


def _format(value):
    return f"{value:.1f}" if isinstance(value, float) else str(value)


def main():
    """Prints the tables, or one row as JSON with --case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", nargs="+", help=argparse.SUPPRESS)
    case = parser.parse_args().case
    if not case:
        with tempfile.TemporaryDirectory() as directory:
            _run_all(pathlib.Path(directory))
        return
    name, *paths = case
    if name == "process":
        row = measure_process(*paths)
    elif name == "ledger":
        row = measure_ledger(paths[0], *map(int, paths[1:]))
    else:
        row = measure_catalog(paths[0], *map(int, paths[1:]))
    print(json.dumps(row))


if __name__ == "__main__":
    main()
