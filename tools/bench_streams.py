"""Measures what the entry processes of one instance add to streams.

Starts light targets, callers, a fake control process and entry processes on
loopback. Each number of streams runs twice in the same run, directly to the
targets and through the entry processes. Streams end and start again all the
time, so first tokens are measured under the load of the open streams.
"""

import argparse
import collections
import heapq
import json
import multiprocessing
import os
import pathlib
import selectors
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "src"))

from quetzalgauge import wire  # noqa: E402
from quetzalgauge.gen import Control  # noqa: E402
from quetzalgauge.gen import ttypes  # noqa: E402

# The target size: about 370 open streams and 5,400 events a second.
TOKENS_PER_SECOND = 14.6
TOKENS_PER_STREAM = 40
TARGETS = 2
CALLER_PROCESSES = 2
SETTLE_SECONDS = 3.0
PAD = "x" * 60


# ---- Target ----------------------------------------------------------------


class _Stream:
    def __init__(self, handle: socket.socket) -> None:
        self.handle = handle
        self.number = 0
        self.buffer = b""


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def run_target(pipe: Any) -> None:
    """Serves streams of tokens; each event carries its time of sending."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    listener.setblocking(False)
    pipe.send(listener.getsockname()[1])
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ, None)
    due: list[tuple[float, int, _Stream]] = []
    order = 0
    while True:
        now = time.monotonic()
        timeout = max(0.0, due[0][0] - now) if due else 1.0
        for key, _ in selector.select(timeout):
            if key.data is None:
                handle, _ = listener.accept()
                handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                stream = _Stream(handle)
                selector.register(handle, selectors.EVENT_READ, stream)
                continue
            if _read_request(selector, key.data):
                order += 1
                heapq.heappush(due, (time.monotonic(), order, key.data))
        now = time.monotonic()
        while due and due[0][0] <= now:
            at, _, stream = heapq.heappop(due)
            if _send_token(stream):
                order += 1
                heapq.heappush(due, (at + 1 / TOKENS_PER_SECOND, order, stream))


def _read_request(selector: Any, stream: _Stream) -> bool:
    try:
        data = stream.handle.recv(65536)
    except OSError:
        data = b""
    if not data:
        selector.unregister(stream.handle)
        stream.handle.close()
        stream.number = TOKENS_PER_STREAM
        return False
    stream.buffer += data
    head, found, body = stream.buffer.partition(b"\r\n\r\n")
    if not found:
        return False
    headers = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
    )
    if len(body) < int(headers.get(b"content-length", b"0")):
        return False
    stream.buffer = b""
    stream.number = 0
    request_id = headers.get(b"x-request-id", b"")
    stream.handle.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"X-Request-Id: " + request_id + b"\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    return True


def _send_token(stream: _Stream) -> bool:
    stream.number += 1
    if stream.number > TOKENS_PER_STREAM:
        data = _chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"
    else:
        data = _chunk(
            b'id: %d\ndata: {"t": %.6f, "text": "%b"}\n\n'
            % (stream.number, time.monotonic(), PAD.encode())
        )
    try:
        stream.handle.sendall(data)
    except OSError:
        return False
    return stream.number <= TOKENS_PER_STREAM


# ---- Callers ---------------------------------------------------------------


class _Caller:
    def __init__(self) -> None:
        self.handle: socket.socket | None = None
        self.started = 0.0
        self.last = 0.0
        self.tokens = 0
        self.tail = b""


class _Results:
    def __init__(self) -> None:
        self.first: list[float] = []
        self.gaps: list[float] = []
        self.delays: list[float] = []
        self.events = 0
        self.ended: collections.Counter[str] = collections.Counter()


def run_callers(
    pipe: Any, ports: list[int], count: int, begin: float, end: float
) -> None:
    """Keeps `count` streams open; measures from `begin` to `end`."""
    selector = selectors.DefaultSelector()
    results = _Results()
    pending = [
        (time.monotonic() + 2.5 * number / count, number, _Caller())
        for number in range(count)
    ]
    heapq.heapify(pending)
    turn = 0
    while (now := time.monotonic()) < end:
        while pending and pending[0][0] <= now:
            _, _, caller = heapq.heappop(pending)
            turn += 1
            _start(caller, ports[turn % len(ports)])
            selector.register(caller.handle, selectors.EVENT_READ, caller)
        wait = min(pending[0][0] if pending else end, end) - now
        for key, _ in selector.select(max(0.0, wait)):
            reason = _read_events(key.data, results, begin)
            if reason:
                selector.unregister(key.fileobj)
                key.fileobj.close()
                results.ended[reason] += 1
                turn += 1
                pause = 0.0 if reason == "done" else 0.2
                again = time.monotonic() + pause
                heapq.heappush(pending, (again, turn, key.data))
    pipe.send(results)


def _start(caller: _Caller, port: int) -> None:
    caller.started = time.monotonic()
    caller.tokens = 0
    caller.tail = b""
    caller.handle = socket.create_connection(("127.0.0.1", port))
    body = json.dumps({"model": "m", "stream": True, "prompt": PAD}).encode()
    caller.handle.sendall(
        b"POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        b"X-Request-Id: bench\r\nContent-Length: %d\r\n\r\n%b"
        % (len(body), body)
    )


def _read_events(caller: _Caller, results: _Results, begin: float) -> str:
    try:
        data = caller.handle.recv(65536)  # type: ignore[union-attr]
    except OSError:
        return "reset"
    if not data:
        return "closed"
    now = time.monotonic()
    if (
        caller.tokens == 0
        and data.startswith(b"HTTP/1.1 ")
        and (data[9:12] != b"200")
    ):
        return f"status {data[9:12].decode()}"
    data = caller.tail + data
    place = data.rfind(b"\n\n")
    whole = data[: place + 2] if place >= 0 else b""
    caller.tail = data[len(whole) :]
    tokens = whole.count(b'"t": ')
    measured = now >= begin
    if tokens and measured:
        results.events += tokens
        start = whole.find(b'"t": ') + 5
        sent = float(whole[start : whole.find(b",", start)])
        results.delays.append(now - sent)
        if caller.tokens == 0:
            results.first.append(now - caller.started)
        else:
            results.gaps.append(now - caller.last)
    if tokens:
        caller.tokens += tokens
        caller.last = now
    if b"data: [DONE]" in whole:
        return "done" if caller.tokens == TOKENS_PER_STREAM else "incomplete"
    return "error event" if b"event: error" in whole else ""


# ---- The system ------------------------------------------------------------


class FakeControl:
    """Gives routes to the entry processes."""

    def __init__(self, ports: list[int]) -> None:
        self._replicas = [
            ttypes.Replica(
                slot=ttypes.Slot("m", "z", number),
                version="v1",
                target=f"lm-{number}",
                address=f"127.0.0.1:{port}",
                availability_zone="z",
                state=ttypes.ReplicaState.READY,
                ready_in_s=0.0,
                max_running=1000,
            )
            for number, port in enumerate(ports)
        ]

    def sync(self, report: Any) -> Any:
        """Waits a quarter of a second when there is no news."""
        news = report.routes_version != 1
        if not news:
            time.sleep(0.25)
        model = ttypes.ModelEntry("m", ["v1"], "v1", 5, False)
        return ttypes.RouteUpdate(
            routes_version=1,
            catalog_version=1,
            routes_changed=news,
            replicas=self._replicas if news else [],
            service_targets=[],
            catalog_complete=news,
            models=[model] if news else [],
            adapters=[],
            log_reachable=True,
            services=[],
        )


def start_entries(
    directory: pathlib.Path, count: int, control: str
) -> tuple[list[subprocess.Popen[str]], int]:
    """Starts entry processes on one port; returns them and the port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
        return [
            _start_entry(directory, number, port, control)
            for number in range(count)
        ], port


def _start_entry(
    directory: pathlib.Path, number: int, port: int, control: str
) -> subprocess.Popen[str]:
    host, _, control_port = control.rpartition(":")
    config = {
        "instance": "bench",
        "entry": f"bench-{number}",
        "availability_zone": "z",
        "region": "r",
        "listen": {"host": "127.0.0.1", "port": port},
        "operator_listen": {"host": "127.0.0.1", "port": 0},
        "control": {"host": host, "port": int(control_port)},
    }
    path = directory / f"entry-{number}.json"
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "quetzalgauge.entry", "--settings", str(path)],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        text=True,
    )
    assert process.stdout is not None
    if not process.stdout.readline().startswith("ready"):
        raise SystemExit("an entry process did not start")
    return process


def cpu_seconds(processes: list[subprocess.Popen[str]]) -> float:
    """Returns the CPU time that processes have used."""
    total = 0
    for process in processes:
        text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / os.sysconf("SC_CLK_TCK")


def p95(values: list[float]) -> float:
    """Returns the 95th percentile in milliseconds."""
    if len(values) < 2:
        return float("nan")
    return statistics.quantiles(values, n=20)[-1] * 1000


def measure(
    ports: list[int],
    streams: int,
    seconds: float,
    processes: list[subprocess.Popen[str]],
) -> dict[str, Any]:
    """Runs one number of streams; returns a row of the table."""
    begin = time.monotonic() + SETTLE_SECONDS
    end = begin + seconds
    callers = []
    for number in range(CALLER_PROCESSES):
        here, there = multiprocessing.Pipe()
        share = streams // CALLER_PROCESSES
        share += number < streams % CALLER_PROCESSES
        process = multiprocessing.Process(
            target=run_callers, args=(there, ports, share, begin, end)
        )
        process.start()
        callers.append((process, here))
    time.sleep(max(0.0, begin - time.monotonic()))
    before = cpu_seconds(processes)
    time.sleep(max(0.0, end - time.monotonic()))
    used = cpu_seconds(processes) - before
    results = [here.recv() for _, here in callers]
    for process, _ in callers:
        process.join()
    ended: collections.Counter[str] = collections.Counter()
    for one in results:
        ended.update(one.ended)
    return {
        "events": sum(one.events for one in results) / seconds,
        "first": p95([value for one in results for value in one.first]),
        "gap": p95([value for one in results for value in one.gaps]),
        "delay": p95([value for one in results for value in one.delays]),
        "cores": used / seconds,
        "faults": {
            reason: number
            for reason, number in ended.items()
            if reason != "done"
        },
    }


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument(
        "--streams", type=int, nargs="+", default=[50, 200, 400]
    )
    parser.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    if (arguments.seconds + SETTLE_SECONDS) * 2 * len(arguments.streams) > 110:
        parser.error("would take 2 minutes or more")
    targets = []
    ports = []
    for _ in range(TARGETS):
        here, there = multiprocessing.Pipe()
        process = multiprocessing.Process(
            target=run_target, args=(there,), daemon=True
        )
        process.start()
        targets.append(process)
        ports.append(here.recv())
    handler = FakeControl(ports)
    control = wire.Server("control", Control.Processor(handler), "127.0.0.1", 0)
    control.start()
    with tempfile.TemporaryDirectory() as name:
        entries, port = start_entries(
            pathlib.Path(name), arguments.entries, control.address
        )
        time.sleep(1.0)
        try:
            _print_table(arguments, ports, port, entries)
        finally:
            for entry in entries:
                entry.send_signal(signal.SIGTERM)
            for entry in entries:
                try:
                    entry.wait(10)
                except subprocess.TimeoutExpired:
                    entry.kill()
            for process in targets:
                process.terminate()
    control.stop()


def _print_table(
    arguments: Any,
    ports: list[int],
    port: int,
    entries: list[subprocess.Popen[str]],
) -> None:
    print(f"{arguments.entries} entry processes, load {os.getloadavg()[0]:.1f}")
    print(
        "streams path    events/s  first p95 ms  gap p95 ms  delay p95 ms"
        "  cores  cores/process  faults"
    )
    for streams in arguments.streams:
        rows = [
            ("direct", measure(ports, streams, arguments.seconds, [])),
            ("hop", measure([port], streams, arguments.seconds, entries)),
        ]
        for path, row in rows:
            share = row["cores"] / len(entries) if path == "hop" else 0.0
            print(
                f"{streams:7} {path:6} {row['events']:9.0f}"
                f" {row['first']:13.1f} {row['gap']:11.1f}"
                f" {row['delay']:13.1f} {row['cores']:6.2f} {share:14.2f}"
                f"  {row['faults'] or '-'}"
            )
        direct, hop = rows[0][1], rows[1][1]
        print(
            f"{streams:7} added  {'':9} {hop['first'] - direct['first']:13.1f}"
            f" {hop['gap'] - direct['gap']:11.1f}"
            f" {hop['delay'] - direct['delay']:13.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
