"""A small deployment: a store, servers and the system's own processes."""

from collections.abc import Callable
import json
import os
import pathlib
import signal
import sys
import tempfile
import traceback
from typing import Any
from typing import NoReturn

from harness_2 import cluster
from harness_2 import standins
from quetzalgauge.platform import standin

# A script runs for 120 s at most, with the end of its processes.
MAX_SECONDS = 100
# As at the Alliance: a server of 140 GB holds one model of 72.7 GB.
MEMORY_MB = 140_000.0
MODELS = {f"m{number}": standins.ModelSpec(72_700.0) for number in range(1, 9)}


def make_configuration(
    version: int, models: dict[str, standins.ModelSpec]
) -> dict[str, Any]:
    """Returns a desired state with a route for each service."""
    route = {"host": "site.example", "priority": 1, "attempts": 1}
    return {
        "version": version,
        "routes": [
            {
                **route,
                "name": "rare",
                "path_prefix": "/rare/",
                "kind": "stream",
                "timeout_ms": 12_000,
                "target_latency_ms": 250,
                "gap_aim_ms": 150,
                "service": "engines",
            },
            {
                **route,
                "name": "book",
                "path_prefix": "/book/",
                "kind": "unsafe",
                "timeout_ms": 2500,
                "target_latency_ms": 200,
                "service": "desk",
            },
        ],
        "services": [
            {
                "name": "engines",
                "max_conns": 290,
                "engine": {
                    "slots": standins.ModelServer.SLOTS,
                    "kv_capacity": 120_000,
                    "host_mb": 140_000.0,
                    "disk_mb": 700_000.0,
                    "models": [
                        {
                            "name": name,
                            "model_size": spec.size_mb,
                            "load_s": spec.load_s,
                            "disk_s": spec.disk_s,
                            "warm_s": spec.warm_s,
                            "adapters": 0,
                            "adapter_mb": 0.0,
                        }
                        for name, spec in models.items()
                    ],
                    "model_size": MEMORY_MB,
                    "adapter_slots": 8,
                    "loads_per_s": 4.0,
                },
            },
            {"name": "desk", "max_conns": 96},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 65_536,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
    }


class Deployment:
    """One availability zone with two machines and four model servers.

    Args:
        directory: Folder for settings and logs.
        record: Gets a line for each event.
        work_s: How long a plain server works on a request.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        record: standins.Record,
        work_s: float = 0.045,
    ) -> None:
        self.record = record
        self.store = standin.Store()
        self.model_servers = [
            standins.ModelServer(
                f"s-{number}",
                "z-a",
                "127.0.0.1",
                MODELS,
                MEMORY_MB,
                [f"m{number}"],
                self._put,
                record,
            )
            for number in (1, 2, 3, 4)
        ]
        self.plain_servers = [
            standins.PlainServer(
                f"p-{number}", "z-a", "127.0.0.1", work_s, self._put, record
            )
            for number in (1, 2, 3)
        ]
        self.store.server.start()
        self.instances = [
            cluster.Instance(
                f"front-z-a-{number}",
                "z-a",
                f"127.0.0.{10 + number}",
                str(self.store.server.address),
                directory,
            )
            for number in (1, 2)
        ]

    def _put(self, name: str, value: bytes) -> None:
        self.store.put("keyed.servers", name, value)

    def configure(
        self, version: int, models: dict[str, standins.ModelSpec]
    ) -> None:
        """Writes a desired state, as the operator does."""
        value = make_configuration(version, models)
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        self.record.write(
            "operator", "writes", version=version, models=list(models)
        )

    def start(self) -> None:
        """Starts all, and waits until a machine gives orders."""
        self.configure(1, MODELS)
        for server in [*self.model_servers, *self.plain_servers]:
            server.start()
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            cluster.wait_for(f"{instance.name} is ready", instance.is_ready)
        cluster.wait_for("a holder", lambda: self.find_holder() is not None)

    def find_holder(self) -> cluster.Instance | None:
        """Returns the machine that gives orders."""
        for instance in self.instances:
            if instance.process is not None and instance.may_order():
                return instance
        return None

    def ask(self, model: str, instance_index: int | None = None) -> None:
        """Asks for a model on a new channel, in another thread."""
        number = next(cluster.request_numbers)
        index = number if instance_index is None else instance_index
        standins.start_thread(
            lambda: standins.send_request(
                self.instances[index % len(self.instances)].address,
                "/rare/1",
                f"r{number}",
                {
                    "Model": model,
                    "Token-Counts": "100,30",
                    "Deadline-Ms": "12000",
                },
                self.record,
            )
        )

    def stop(self) -> None:
        """Ends all processes that were started."""
        for instance in self.instances:
            instance.kill()
        if os.environ.get("SHOW_LOGS"):
            for instance in self.instances:
                print(instance.log_path.read_text())
        self.store.server.stop()


def main(
    folder: pathlib.Path,
    play: Callable[[Deployment, bool], list[str]],
    **options: Any,
) -> NoReturn:
    """Runs a case and exits; the arguments are those of `run_case`."""
    status = run_case(folder, play, **options)
    sys.stdout.flush()
    sys.stderr.flush()
    # A normal exit would wait for the threads of the store.
    os._exit(status)


def run_case(
    folder: pathlib.Path,
    play: Callable[[Deployment, bool], list[str]],
    **options: Any,
) -> int:
    """Runs a case, with its disruption unless `TROUBLE` is 0.

    Args:
        folder: Folder of the case, for the record.
        play: Plays the case; returns how the rule was broken.
        options: Options of the deployment.

    Returns:
        The exit status: 1 if the rule was broken, 0 if it held, 2 if the case
        could not run.
    """
    signal.signal(signal.SIGTERM, _stop_early)
    signal.signal(signal.SIGALRM, _stop_early)
    signal.alarm(MAX_SECONDS)
    record = standins.Record(str(folder / "record.txt"))
    try:
        breaks = _play(record, play, options)
    except Exception as error:
        # Python would exit with 1, which means that the rule was broken.
        traceback.print_exc()
        record.write("check", "could not run", why=repr(error))
        return 2
    for text in breaks:
        print(text)
        record.write("check", "broken", how=text)
    if not breaks:
        record.write("check", "held")
    return 1 if breaks else 0


def _stop_early(number: int, frame: object) -> None:
    raise cluster.CaseError(f"stopped by signal {number}")


def _play(
    record: standins.Record,
    play: Callable[[Deployment, bool], list[str]],
    options: dict[str, Any],
) -> list[str]:
    """Plays a case, and ends all processes whatever happens."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(pathlib.Path(directory), record, **options)
        try:
            deployment.start()
            return play(deployment, os.environ.get("TROUBLE", "1") != "0")
        finally:
            # A second signal must not leave a process behind.
            signal.alarm(0)
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            deployment.stop()
