"""quetzalgauge-standin: runs a local deployment until it is interrupted."""

import pathlib
import signal
import sys
import tempfile
import threading

import cyclopts

from quetzalgauge import exceptions
from quetzalgauge.platform import standin
from quetzalgauge.standins import local_cluster

MODELS = {
    f"palomar-{number}": standin.ModelSpec(
        adapter_count=12 if number < 2 else 0
    )
    for number in range(12)
}

app = cyclopts.App(
    name="quetzalgauge-standin",
    help=(
        "Run instances together with a simulated platform.\n\n"
        "Exit status: 0 stopped by SIGINT or SIGTERM, 1 failure, 2 usage error."
    ),
    version_flags=[],
    result_action="return_value",
)


@app.default
def run(
    *,
    directory: pathlib.Path | None = None,
    zones: int = 2,
    instances: int = 3,
) -> int:
    """Start the store, model engines, plain services and instances.

    For example:

    `quetzalgauge-standin --zones 3 --instances 4`

    Args:
        directory: Directory for settings and log files of the instances; by
            default a new temporary directory.
        zones: Number of availability zones, each with two engines and a plain
            service.
        instances: Number of instances, distributed evenly over the zones.
    """
    if zones < 1 or instances < 1:
        print("--zones and --instances must be at least 1", file=sys.stderr)
        return 2
    work_directory = directory or pathlib.Path(
        tempfile.mkdtemp(prefix="quetzalgauge-")
    )
    work_directory.mkdir(parents=True, exist_ok=True)
    zone_names = [f"zone-{chr(ord('a') + number)}" for number in range(zones)]
    site = standin.Site(zone_names, MODELS)
    site.start()
    cluster = local_cluster.LocalCluster(
        work_directory,
        str(site.store.server.address),
        [zone_names[number % zones] for number in range(instances)],
    )
    stop_requested = threading.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    try:
        cluster.start_all()
        for instance in cluster.instances:
            host, port = instance.address
            print(
                f"{instance.name}: callers {host}:{port},"
                f" operators {host}:{instance.ports[3]},"
                f" log {instance.log_path}",
                flush=True,
            )
        print(f"host {standin.HOST}, models {' '.join(MODELS)}", flush=True)
        while not stop_requested.wait(1.0):
            pass
        for instance in cluster.instances:
            cluster.stop(instance)
    except exceptions.PlatformError as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        cluster.kill_all()
        site.stop()
    return 0


def main() -> None:
    """Runs the command line."""
    sys.exit(app())
