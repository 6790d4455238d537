"""Runs instances as local processes that use a simulated platform."""

import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

from quetzalgauge import exceptions
from quetzalgauge.platform import ingress

READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0
_POLL_INTERVAL_SECONDS = 0.05
# Below the usual range of the ports of outgoing connections. Each process
# begins at another one.
_PORTS = range(20_000, 32_000)
_port_indexes = itertools.count(os.getpid() * 97)


@dataclasses.dataclass(slots=True)
class InstanceProcess:
    """One instance and its process.

    Attributes:
        name: Name of the instance.
        settings_path: Path of its settings file.
        ports: Ports for callers, readiness checks, links and operators, in this
            order.
        log_path: Path of the file that receives its standard output and error.
        process: The process, or None while it is not running.
    """

    name: str
    settings_path: pathlib.Path
    ports: tuple[int, int, int, int]
    log_path: pathlib.Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port to which callers connect."""
        return "127.0.0.1", self.ports[0]

    def get(self, port: int, path: str) -> tuple[int, bytes]:
        """Sends a GET request to one of the local ports.

        Returns:
            Status and body, or (0, b"") if there was no response.
        """
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=3)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_ready(self) -> bool:
        """Returns whether the instance accepts callers."""
        return self.get(self.ports[1], ingress.READY_PATH)[0] == 200

    def dump(self) -> dict[str, Any]:
        """Returns the state dump of the process."""
        state: dict[str, Any] = json.loads(self.get(self.ports[3], "/dump")[1])
        return state

    def signal(self, signal_number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None:
            self.process.send_signal(signal_number)


class LocalCluster:
    """A cluster of instances on loopback that use one store.

    Args:
        directory: Directory for settings and log files.
        store_address: HOST:PORT of the store, or of a proxy in front of it.
        zones: The availability zone of each instance.
    """

    def __init__(
        self, directory: pathlib.Path, store_address: str, zones: list[str]
    ) -> None:
        self.instances: list[InstanceProcess] = []
        self._reservations = _reserve_ports(4 * len(zones))
        ports = [sock.getsockname()[1] for sock in self._reservations]
        for number, zone in enumerate(zones):
            instance_ports = tuple(ports[4 * number : 4 * number + 4])
            name = f"qg-{number + 1}"
            path = directory / f"{name}.json"
            path.write_text(
                json.dumps(
                    _make_settings(name, zone, instance_ports, store_address)
                )
            )
            self.instances.append(
                InstanceProcess(
                    name,
                    path,
                    (
                        instance_ports[0],
                        instance_ports[1],
                        instance_ports[2],
                        instance_ports[3],
                    ),
                    directory / f"{name}.log",
                )
            )

    def start(self, instance: InstanceProcess) -> None:
        """Starts the process of an instance."""
        with instance.log_path.open("ab") as log:
            instance.process = subprocess.Popen(
                [sys.executable, "-m", "quetzalgauge.node"],
                env={
                    **os.environ,
                    ingress.SETTINGS_VARIABLE: str(instance.settings_path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def start_all(self) -> None:
        """Starts all processes and waits until they are ready."""
        for instance in self.instances:
            self.start(instance)
        for instance in self.instances:
            self.wait_ready(instance)

    def wait_ready(self, instance: InstanceProcess) -> None:
        """Waits until an instance accepts callers.

        Raises:
            exceptions.PlatformError: The timeout expired. The message includes
                the end of the log.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not instance.is_ready():
            if time.monotonic() > deadline:
                raise exceptions.PlatformError(
                    f"{instance.name} did not become ready in time:\n"
                    f"{instance.log_path.read_text()[-2000:]}"
                )
            time.sleep(_POLL_INTERVAL_SECONDS)

    def stop(self, instance: InstanceProcess) -> int:
        """Stops a process with SIGTERM, or with SIGKILL after a timeout.

        Returns:
            The exit status, or 0 if the process was not running.
        """
        if instance.process is None:
            return 0
        instance.signal(signal.SIGTERM)
        try:
            status = instance.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            instance.process.kill()
            status = instance.process.wait()
        instance.process = None
        return status

    def kill(self, instance: InstanceProcess) -> None:
        """Kills a process with SIGKILL."""
        if instance.process is not None:
            instance.process.kill()
            instance.process.wait()
            instance.process = None

    def kill_all(self) -> None:
        """Kills all processes with SIGKILL and gives up their ports."""
        for instance in self.instances:
            self.kill(instance)
        for sock in self._reservations:
            sock.close()


def _make_settings(
    name: str, zone: str, ports: tuple[int, ...], store_address: str
) -> dict[str, Any]:
    listen, ready, link, operator = ports
    return {
        "instance": name,
        "availability_zone": zone,
        "listen": f"127.0.0.1:{listen}",
        "ready_listen": f"127.0.0.1:{ready}",
        "link_listen": f"127.0.0.1:{link}",
        "operator_listen": f"127.0.0.1:{operator}",
        "store": store_address,
        "memory_mb": 300,
        "max_descriptors": 4000,
        "retry_ratio": 0.2,
        "retry_slack": 52,
        "retry_window_s": 10,
        "lease_ms": 3000,
        "drain_ms": 2000,
        "apply_ms": 2000,
        "stop_time_s": 8,
    }


def _reserve_ports(count: int) -> list[socket.socket]:
    """Returns sockets that keep ports from other clusters.

    No outgoing connection takes their ports before an instance binds them.
    """
    reservations: list[socket.socket] = []
    while len(reservations) < count:
        port = _PORTS[next(_port_indexes) % len(_PORTS)]
        sock = socket.socket()
        try:
            # Fails if any other socket has the port, even one that shares it.
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue
        # Instances may bind it from now on, since this socket does not listen.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservations.append(sock)
    return reservations
