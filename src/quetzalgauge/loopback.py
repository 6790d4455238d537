"""Starts and stops a deployment of real processes on loopback.

Used by the demo and by the tests on real processes. Every process is ended by
its own process id.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import concurrent.futures
import contextlib
import json
import os
import pathlib
import queue
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any

import urllib3

from quetzalgauge import exceptions
from quetzalgauge import loaddriver

_READY_SECONDS = 30
_STOP_SECONDS = 30
_TAIL_CHARACTERS = 2000
# Either NAME=HOST:PORT or, in the order of the settings, HOST:PORT.
_ADDRESS = re.compile(r"(?:(\w+)=)?([0-9.]+:[0-9]+)")
# A process may close an idle connection just when a call is sent on it.
_NEW_CONNECTION = {"Connection": "close"}
_HOST = "127.0.0.1"


class LoopbackError(exceptions.QuetzalgaugeError):
    """A process did not start or a condition was not met in time."""


class Process:
    """One program with its settings.

    Attributes:
        addresses: HOST:PORT by the key of the settings, once it is ready.
        values: The settings, written to a file at each start.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        command: tuple[str, ...],
        values: dict[str, Any],
    ) -> None:
        self.name = name
        self.addresses: dict[str, str] = {}
        self._command = command
        self.values = values
        self._settings_file = folder / f"{name}.json"
        self._error_file = folder / f"{name}.err"
        self._child: subprocess.Popen[str] | None = None
        self._lines: queue.Queue[str | None] = queue.Queue()
        self._held: list[socket.socket] = []

    @property
    def address(self) -> str:
        """The first address of the process."""
        return next(iter(self.addresses.values()))

    @property
    def url(self) -> str:
        """The URL of the first address."""
        return f"http://{self.address}"

    @property
    def settings_file(self) -> pathlib.Path:
        """The settings that the process was started with."""
        return self._settings_file

    def start(self) -> None:
        """Starts the process and waits until it is ready."""
        self._settings_file.write_text(json.dumps(self.values, indent=2))
        module, *arguments = self._command
        with self._error_file.open("a") as errors:
            self._child = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    f"quetzalgauge.{module}",
                    *arguments,
                    "--settings",
                    str(self._settings_file),
                ],
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
                env=make_environment(),
            )
        self._lines = queue.Queue()
        threading.Thread(
            target=self._read, args=(self._child, self._lines), daemon=True
        ).start()
        self._wait_until_ready()
        self._release_ports()

    def stop(self) -> int:
        """Ends the process with SIGTERM and returns its exit status."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self.signal(signal.SIGKILL)
        self.wait()

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self._child is not None
        self._child.send_signal(number)

    def wait(self, seconds: float = _STOP_SECONDS) -> int:
        """Waits for the end and returns the exit status."""
        assert self._child is not None
        try:
            status = self._child.wait(seconds)
        except subprocess.TimeoutExpired as error:
            raise LoopbackError(
                f"{self.name} did not end within {seconds} s"
            ) from error
        self._hold_ports()
        return status

    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def errors(self) -> str:
        """The end of what the process wrote to standard error."""
        if not self._error_file.exists():
            return ""
        return self._error_file.read_text()[-_TAIL_CHARACTERS:]

    def end(self) -> None:
        """Ends the process by any means; for clean-up."""
        if self._child is not None:
            self._child.kill()
            self._child.wait()
            assert self._child.stdout is not None
            self._child.stdout.close()
        self._release_ports()

    def _hold_ports(self) -> None:
        """Keeps the kernel from giving the ports to outgoing connections.

        A socket that is bound but does not listen is in nobody's way, since
        all listeners but that for operators set SO_REUSEADDR.
        """
        for key in self.addresses:
            if key == "operator_listen":
                continue
            held = socket.socket()
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._held.append(held)
            with contextlib.suppress(OSError):
                address = self.values[key]
                held.bind((address["host"], address["port"]))

    def _release_ports(self) -> None:
        while self._held:
            self._held.pop().close()

    @staticmethod
    def _read(
        child: subprocess.Popen[str], lines: queue.Queue[str | None]
    ) -> None:
        assert child.stdout is not None
        for line in child.stdout:
            lines.put(line)
        lines.put(None)

    def _wait_until_ready(self) -> None:
        try:
            line = self._lines.get(timeout=_READY_SECONDS)
        except queue.Empty:
            line = ""
        if not line or not line.startswith("ready"):
            raise LoopbackError(
                f"{self.name} printed {line!r} instead of its addresses:\n"
                f"{self.errors()}"
            )
        listeners = [
            key
            for key in self.values
            if key == "listen" or key.endswith("_listen")
        ]
        found = _ADDRESS.findall(line)
        if len(found) != len(listeners):
            raise LoopbackError(f"{self.name} printed {line!r}")
        self.addresses = {
            _listener_key(name) or key: address
            for key, (name, address) in zip(listeners, found, strict=True)
        }
        for key, address in self.addresses.items():
            # A restarted process takes the same ports. Cheroot does not set
            # SO_REUSEADDR on a port that the kernel chose, so such a port
            # cannot be taken again at once.
            if key != "operator_listen":
                self.values[key] = make_address(address)


def _listener_key(name: str) -> str:
    """Returns the settings key of a listener's name in the ready line."""
    if not name or name.endswith("listen"):
        return name
    return f"{name}_listen"


def make_environment() -> dict[str, str]:
    """Returns the environment in which the programs find the package."""
    source = pathlib.Path(__file__).resolve().parent.parent
    return {**os.environ, "PYTHONPATH": str(source), "PYTHONUNBUFFERED": "1"}


def make_address(text: str = f"{_HOST}:0") -> dict[str, Any]:
    """Returns HOST:PORT as it stands in settings."""
    host, _, port = text.rpartition(":")
    return {"host": host, "port": int(port)}


def wait_until(
    is_true: Callable[[], Any], what: str, seconds: float = 20.0
) -> Any:
    """Waits for a condition and returns its value.

    Raises:
        LoopbackError: The condition was not met in time.
    """
    end = time.monotonic() + seconds
    while True:
        value = is_true()
        if value:
            return value
        if time.monotonic() >= end:
            raise LoopbackError(f"not within {seconds} s: {what}")
        time.sleep(0.05)


class Deployment:
    """The stand-ins of a region and its entry instances.

    The log and the instance list are reached through a relay with one forward
    for each availability zone (`ZONE/log`, `ZONE/list`), targets through one
    forward each (`TARGET`), so that a test can cut them off.
    """

    region = "uy-south"

    def __init__(
        self,
        folder: pathlib.Path,
        zones: tuple[str, ...] = ("uy-south-a", "uy-south-b", "uy-south-c"),
        instances: int = 4,
        engines_per_zone: int = 2,
        services_per_zone: int = 1,
        engine_values: dict[str, Any] | None = None,
        service_values: dict[str, Any] | None = None,
        control_values: dict[str, Any] | None = None,
        entry_values: dict[str, Any] | None = None,
    ) -> None:
        self.zones = zones
        self._folder = folder
        self._http = loaddriver.make_pool()
        self._engine_values = engine_values or {}
        self._service_values = service_values or {}
        self._control_values = control_values or {}
        self._entry_values = entry_values or {}
        self._forwards: dict[str, str] = {}
        self._target_values: dict[str, dict[str, Any]] = {}
        self.log = self._make_standin("log", {})
        self.store = self._make_standin("store", {})
        self.instance_list = self._make_standin("instances", {})
        self.relay = self._make_standin("relay", {})
        self.engines: dict[str, Process] = {}
        self.services: dict[str, Process] = {}
        self.controls: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self.zone_of: dict[str, str] = {}
        for zone in zones:
            for _ in range(engines_per_zone):
                name = f"lm-{len(self.zone_of) + 1}"
                self.zone_of[name] = zone
        self._engine_names = list(self.zone_of)
        for number in range(services_per_zone * len(zones)):
            self.zone_of[f"app-{number + 1}"] = zones[number % len(zones)]
        for number in range(instances):
            self.zone_of[f"qg-{number + 1}"] = zones[number % len(zones)]

    def start(self) -> None:
        """Starts everything; ends everything again if a part fails."""
        try:
            self.start_platform()
            self.start_instances()
        except BaseException:
            self.end()
            raise

    def start_platform(self) -> None:
        """Starts the stand-ins and puts the targets on the list."""
        base = [self.log, self.store, self.instance_list, self.relay]
        _start_all(base)
        for zone in self.zones:
            self._forward(f"{zone}/log", self.log.address)
            self._forward(f"{zone}/list", self.instance_list.address)
        for name in self.zone_of:
            if name.startswith("lm-"):
                self.engines[name] = self._make_engine(name)
            elif name.startswith("app-"):
                self.services[name] = self._make_service(name)
        targets = {**self.engines, **self.services}
        _start_all(targets.values())
        for name, process in targets.items():
            self._forward(name, process.address)
            self.list_target(name)

    def start_instances(self) -> None:
        """Starts all control processes, then all entry processes."""
        names = [name for name in self.zone_of if name.startswith("qg-")]
        self.controls = {name: self._make_control(name) for name in names}
        _start_all(self.controls.values())
        for name in names:
            self._list_system(name)
        self.entries = {name: self._make_entry(name) for name in names}
        _start_all(self.entries.values())

    def processes(self) -> list[Process]:
        """All processes, callers' side first."""
        return [
            *self.entries.values(),
            *self.controls.values(),
            *self.engines.values(),
            *self.services.values(),
            self.relay,
            self.instance_list,
            self.store,
            self.log,
        ]

    def stop(self) -> dict[str, int]:
        """Ends all processes with SIGTERM; returns the exit statuses."""
        statuses = {}
        groups = (
            self.entries.values(),
            self.controls.values(),
            [p for p in self.processes() if p.name not in self.zone_of],
        )
        done: set[str] = set()
        for group in (*groups, self.processes()):
            running = [p for p in group if p.name not in done]
            running = [p for p in running if p.is_running()]
            for process in running:
                process.signal(signal.SIGTERM)
            for process in running:
                statuses[process.name] = process.wait()
                done.add(process.name)
        return statuses

    def end(self) -> None:
        """Ends all processes by any means; for clean-up."""
        for process in self.processes():
            process.end()

    # ---- Platform ----------------------------------------------------------

    def list_target(self, name: str) -> None:
        """Puts a target on the list, with the incarnation that it reports."""
        values = self._target_values[name]
        process = {**self.engines, **self.services}[name]
        status = self.get(process, "/status")
        entry = {
            "instance": name,
            "kind": "target",
            "address": self._forwards[name],
            "availability_zone": values["availability_zone"],
            "region": self.region,
            "incarnation": status["incarnation"],
            "service": values["service"],
            "service_kind": "models" if name in self.engines else "plain",
            "accelerator_memory_bytes": status["accelerator_memory_bytes"],
            "accelerators": values.get("accelerators", 0),
            "checks_fencing": status["checks_fencing"],
        }
        self.post(self.instance_list, "/standin/register", entry)

    def unlist(self, name: str) -> None:
        """Takes an instance off the list."""
        self.post(self.instance_list, "/standin/remove", {"instance": name})

    def set_faults(self, process: Process, **faults: Any) -> None:
        """Replaces the faults of a stand-in; none given: ends all."""
        self.post(process, "/standin/faults", faults)

    def relay_action(self, action: str, prefix: str) -> None:
        """Cuts, freezes, partitions, refuses or heals forwards."""
        body = {"action": action, "prefix": prefix}
        self.post(self.relay, "/standin/relay", body)

    def counts(self, process: Process) -> dict[str, Any]:
        """Returns what a stand-in has counted."""
        return self.get(process, "/standin/counts")

    def get(self, process: Process, path: str) -> Any:
        """Calls a process; raises LoopbackError for any answer but 200."""
        return self._call("GET", process.url + path)

    def post(self, process: Process, path: str, body: Any) -> Any:
        """As `get`, with a JSON body."""
        return self._call("POST", process.url + path, body)

    def submit(self, ticket: dict[str, Any]) -> None:
        """Submits a ticket and waits until every entry process has it."""

        def is_accepted() -> bool:
            control = next(iter(self.controls.values()))
            address = control.addresses["operator_listen"]
            url = f"http://{address}/tickets"
            try:
                answer = self._http.request(
                    "POST", url, json=ticket, headers=_NEW_CONNECTION
                )
            except urllib3.exceptions.HTTPError:
                return False
            return answer.status == 200

        wait_until(is_accepted, "ticket accepted")
        wait_until(lambda: self._is_in_force(ticket), "ticket in force")

    def _is_in_force(self, ticket: dict[str, Any]) -> bool:
        wanted = {name for name, part in ticket["models"].items() if part}
        for entry in self.entries.values():
            if not entry.is_running():
                continue
            rows = self.get(entry, "/v1/models")["data"]
            if not wanted <= {row["id"] for row in rows}:
                return False
        return True

    def operator_get(self, process: Process, path: str) -> Any:
        """Calls the operator listener of an entry or control process."""
        address = process.addresses["operator_listen"]
        return self._call("GET", f"http://{address}{path}")

    def _call(self, method: str, url: str, body: Any = None) -> Any:
        answer = self._http.request(
            method, url, json=body, headers=_NEW_CONNECTION
        )
        if answer.status != 200:
            raise LoopbackError(f"{url} answered {answer.status}")
        return answer.json()

    # ---- Making processes --------------------------------------------------

    def _make_standin(self, kind: str, values: dict[str, Any]) -> Process:
        values = {"listen": make_address(), "threads": 64, **values}
        return Process(self._folder, kind, ("standin", kind), values)

    def _make_engine(self, name: str) -> Process:
        values = {
            "listen": make_address(),
            "target": name,
            "service": "palomar-lm",
            "availability_zone": self.zone_of[name],
            "region": self.region,
            "store_url": self.store.url,
            "accelerator_memory_bytes": 24_000_000_000,
            "accelerators": 2,
            **self._engine_values,
        }
        self._target_values[name] = values
        return Process(self._folder, name, ("standin", "engine"), values)

    def _make_service(self, name: str) -> Process:
        values = {
            "listen": make_address(),
            "target": name,
            "service": "clocking-app",
            "availability_zone": self.zone_of[name],
            "region": self.region,
            **self._service_values,
        }
        self._target_values[name] = values
        return Process(self._folder, name, ("standin", "service"), values)

    def _make_control(self, name: str) -> Process:
        zone = self.zone_of[name]
        values = {
            "instance": name,
            "availability_zone": zone,
            "region": self.region,
            "control_listen": make_address(),
            "peer_listen": make_address(),
            "operator_listen": make_address(),
            "log_url": f"http://{self._forwards[f'{zone}/log']}",
            "instance_list_url": f"http://{self._forwards[f'{zone}/list']}",
            **self._control_values,
        }
        return Process(self._folder, f"{name}-control", ("control",), values)

    def _make_entry(self, name: str) -> Process:
        control = self.controls[name].addresses["control_listen"]
        values = {
            "instance": name,
            "entry": f"{name}-entry",
            "availability_zone": self.zone_of[name],
            "region": self.region,
            "listen": make_address(),
            "operator_listen": make_address(),
            "control": make_address(control),
            **self._entry_values,
        }
        return Process(self._folder, f"{name}-entry", ("entry",), values)

    def _list_system(self, name: str) -> None:
        entry = {
            "instance": name,
            "kind": "system",
            "address": self.controls[name].addresses["peer_listen"],
            "availability_zone": self.zone_of[name],
            "region": self.region,
        }
        self.post(self.instance_list, "/standin/register", entry)

    def _forward(self, name: str, target: str) -> None:
        body = {"name": name, "target": make_address(target)}
        answer = self.post(self.relay, "/standin/forwards", body)
        self._forwards[name] = answer["listen"]


def _start_all(processes: Iterable[Process]) -> None:
    with concurrent.futures.ThreadPoolExecutor(8) as executor:
        for result in [executor.submit(p.start) for p in processes]:
            result.result()


@contextlib.contextmanager
def running(deployment: Deployment) -> Iterator[Deployment]:
    """Starts a deployment and ends it in any case."""
    deployment.start()
    try:
        yield deployment
    finally:
        deployment.end()


# ---- Invariants of design section 1.2, seen at the stand-ins ---------------


def check_engines(deployment: Deployment, decided: dict[str, int]) -> list[str]:
    """Returns violations of the memory limit and of the replica counts.

    Args:
        deployment: Its engines are asked for their counts.
        decided: The largest number of replicas by model and zone, as
            MODEL/ZONE.
    """
    found = []
    spans: dict[str, list[tuple[float, float]]] = {}
    for name, engine in deployment.engines.items():
        if not engine.is_running():
            continue
        counts = deployment.counts(engine)
        if counts["high_water_bytes"] > counts["memory_bytes"]:
            found.append(f"{name}: memory was overcommitted")
        if counts["overcommit_attempts"]:
            attempts = counts["overcommit_attempts"]
            found.append(f"{name}: {attempts} orders above the memory")
        for span in counts["intervals"]:
            place = f"{span['model']}/{deployment.zone_of[name]}"
            end = span["end"] or float("inf")
            spans.setdefault(place, []).append((span["start"], end))
    for place, rows in spans.items():
        highest = max_overlap(rows)
        if highest > decided.get(place, 0):
            found.append(
                f"{place}: {highest} replicas at once, decided"
                f" {decided.get(place, 0)}"
            )
    return found


def max_overlap(spans: list[tuple[float, float]]) -> int:
    """Returns the largest number of spans that share a moment."""
    edges = sorted(
        [(start, 1) for start, _ in spans] + [(end, -1) for _, end in spans],
        key=lambda edge: (edge[0], edge[1]),
    )
    now = highest = 0
    for _, step in edges:
        now += step
        highest = max(highest, now)
    return highest


def check_bookings(
    deployment: Deployment, results: dict[str, loaddriver.Result]
) -> list[str]:
    """Returns violations of "at most once" and of honest answers.

    Args:
        deployment: Its plain services are asked for their counts.
        results: What the caller got, by booking.
    """
    runs: dict[str, int] = {}
    for service in deployment.services.values():
        if not service.is_running():
            continue
        for booking, count in deployment.counts(service)["runs"].items():
            runs[booking] = runs.get(booking, 0) + count
    found = []
    for booking, result in results.items():
        count = runs.get(booking, 0)
        if count > 1:
            found.append(f"{booking}: ran {count} times")
        if result.kind == "whole" and count != 1:
            found.append(f"{booking}: answered but ran {count} times")
        if result.run == "not_run" and count:
            found.append(f"{booking}: refused as not_run but ran")
        if result.kind in ("wrong", "broken"):
            found.append(f"{booking}: {result.kind} {result.code}")
    return found


def check_answers(results: Iterable[loaddriver.Result]) -> list[str]:
    """Returns results that are neither a whole answer nor a refusal."""
    return [
        f"{result.request_id}: {result.kind} {result.code}"
        for result in results
        if result.kind in ("wrong", "broken")
    ]
