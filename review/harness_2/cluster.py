"""Starts the programs of the deploy file as processes of a small deployment."""

import http.client
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0


def reserve_ports(host: str, count: int) -> list[socket.socket]:
    """Returns bound sockets that keep ports free for the processes."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        sockets.append(sock)
    return sockets


class Instance:
    """A machine with one process of the system.

    Args:
        name: Name of the machine.
        zone: Its availability zone.
        host: Its address on loopback.
        store: Address of the store.
        directory: Folder for its settings and its log.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        store: str,
        directory: pathlib.Path,
    ) -> None:
        self.name = name
        self.zone = zone
        self._holders = reserve_ports(host, 4)
        ports = [sock.getsockname()[1] for sock in self._holders]
        self.address = (host, ports[0])
        self._ready = (host, ports[1])
        self._operator = (host, ports[3])
        self._settings = directory / f"{name}.json"
        self.log_path = directory / f"{name}.log"
        self._settings.write_text(
            json.dumps(
                {
                    "instance": name,
                    "availability_zone": zone,
                    "listen": f"{host}:{ports[0]}",
                    "ready_listen": f"{host}:{ports[1]}",
                    "link_listen": f"{host}:{ports[2]}",
                    "operator_listen": f"{host}:{ports[3]}",
                    "store": store,
                    "memory_mb": 300,
                    "max_descriptors": 4200,
                    "retry_ratio": 0.2,
                    "retry_slack": 52,
                    "retry_window_s": 10,
                    "lease_ms": 3000,
                    "drain_ms": 2000,
                    "apply_ms": 2000,
                    "stop_time_s": 8,
                }
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        text = (ROOT / "deploy" / "system.toml").read_text()
        match = re.search(r'^run = "python3 (.*)"$', text, re.MULTILINE)
        assert match is not None
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *match.group(1).split()],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "QUETZALGAUGE_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """Kills the process."""
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.process = None

    def signal(self, number: int) -> None:
        """Sends a signal."""
        if self.process is not None:
            self.process.send_signal(number)

    def _get(self, address: tuple[str, int], path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(*address, timeout=2)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def is_ready(self) -> bool:
        """Returns whether it takes clients."""
        return self._get(self._ready, "/ready")[0] == 200

    def dump(self) -> dict[str, Any]:
        """Returns its state."""
        value: dict[str, Any] = json.loads(
            self._get(self._operator, "/dump")[1] or b"{}"
        )
        return value

    def may_order(self) -> bool:
        """Returns whether it gives orders in its zone."""
        return bool(self.dump().get("seat", {}).get("orders_for_s", 0) > 0)


class CaseError(Exception):
    """The case could not run."""


def wait_for(what: str, check: Any, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Waits until a check holds.

    Raises:
        CaseError: It did not in time.
    """
    deadline = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > deadline:
            raise CaseError(f"not in time: {what}")
        time.sleep(0.02)


request_numbers = itertools.count(1)
