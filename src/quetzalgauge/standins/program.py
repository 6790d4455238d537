"""quetzalgauge-standin: a whole deployment on loopback, until interrupted."""

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
        "Run instances before a stand-in of the platform.\n\n"
        "Exit status: 0 ended by SIGINT or SIGTERM, 1 failed, 2 wrong usage."
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
    """Start store, model engines, plain services and instances.

    For example:

    `quetzalgauge-standin --zones 3 --instances 4`

    Args:
        directory: Where settings and logs of the instances go; a new one in
            the folder for temporary files by default.
        zones: Availability zones, each with two engines and a plain service.
        instances: Instances, spread over the zones.
    """
    if zones < 1 or instances < 1:
        print("zones and instances must be 1 or more", file=sys.stderr)
        return 2
    where = directory or pathlib.Path(tempfile.mkdtemp(prefix="quetzalgauge-"))
    where.mkdir(parents=True, exist_ok=True)
    names = [f"zone-{chr(ord('a') + number)}" for number in range(zones)]
    site = standin.Site(names, MODELS)
    site.start()
    fleet = local_cluster.LocalCluster(
        where,
        str(site.store.server.address),
        [names[number % zones] for number in range(instances)],
    )
    ended = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: ended.set())
    try:
        fleet.start_all()
        for one in fleet.instances:
            host, port = one.address
            print(
                f"{one.name}: callers {host}:{port},"
                f" operators {host}:{one.ports[3]}, log {one.log_path}",
                flush=True,
            )
        print(f"host {standin.HOST}, models {' '.join(MODELS)}", flush=True)
        while not ended.wait(1.0):
            pass
        for one in fleet.instances:
            fleet.stop(one)
    except exceptions.PlatformError as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        fleet.kill_all()
        site.stop()
    return 0


def main() -> None:
    """Runs the command line."""
    sys.exit(app())
