"""The operator withdraws a model while the order to load it is unanswered."""

import pathlib
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parents[1] / "target" / "deps")]

from harness_2 import cluster  # noqa: E402
from harness_2 import deployment  # noqa: E402
from harness_2 import standins  # noqa: E402

# An order is carried out 2 to 12 s late.
LATE_S = 6.0
# Bookings take 200 ms; on the site, up to 220 ms.
WORK_S = 0.2
# Rule LOST allows three.
MAX_LOST = 3


def play(site: deployment.Deployment, has_trouble: bool) -> list[str]:
    """Asks for a rare model while clients book on kept channels."""
    clients = [
        standins.KeptClient(
            f"c{number}",
            site.instances[number % 2].address,
            "/book/1",
            site.record,
        )
        for number in range(16)
    ]
    time.sleep(3.0)
    for client in clients:
        client.start()
        # They do not send at the same moments.
        time.sleep(WORK_S / len(clients))
    time.sleep(0.5)
    held: list[standins.ModelServer] = []

    def make_chooser(server: standins.ModelServer) -> Any:
        def choose(row: dict[str, Any]) -> float:
            if held or row["operation"] != "load" or row["model"] != "m5":
                return 0.0
            held.append(server)
            return LATE_S

        return choose

    if has_trouble:
        for server in site.model_servers:
            server.hold_orders(make_chooser(server))
    site.ask("m5")
    if not has_trouble:
        cluster.wait_for("a load of the rare model", lambda: _loads(site))
    else:
        cluster.wait_for("an order is held back", lambda: held)
        rest = {
            name: spec
            for name, spec in deployment.MODELS.items()
            if name != "m5"
        }
        site.configure(2, rest)
    time.sleep(1.5)
    for client in clients:
        client.stop()
    _record_ends(site)
    return _find_lost(site, clients)


def _loads(site: deployment.Deployment) -> bool:
    return any("m5" in server.loads for server in site.model_servers)


def _record_ends(site: deployment.Deployment) -> None:
    for instance in site.instances:
        process = instance.process
        if process is not None and process.poll() is not None:
            site.record.write(
                instance.name, "has ended by itself", status=process.poll()
            )


def _find_lost(
    site: deployment.Deployment, clients: list[standins.KeptClient]
) -> list[str]:
    """Returns the bookings that ran and got no answer, if too many."""
    for client in clients:
        if 200 not in client.answered.values():
            raise cluster.CaseError("a client was never served")
    run_ids = {
        request_id
        for server in site.plain_servers
        for request_id in server.runs
    }
    lost = [
        request_id
        for client in clients
        for request_id in client.cut
        if request_id in run_ids
    ]
    if len(lost) <= MAX_LOST:
        return []
    return [f"LOST: {len(lost)} requests ran and got no answer: {lost}"]


if __name__ == "__main__":
    deployment.main(FOLDER, play, work_s=WORK_S)
