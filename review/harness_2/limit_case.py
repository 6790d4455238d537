"""A load that is carried out late, at a server that has started again."""

from collections.abc import Callable
import time
from typing import Any

from harness_2 import cluster
from harness_2 import deployment
from harness_2 import standins

# Orders are carried out 2 to 12 s late.
LATE_S = 5.5
SOON_S = 3.0
# A server of four is down for 2 s at most.
DOWN_S = 2.0


def play(
    site: deployment.Deployment,
    has_trouble: bool,
    restarts_holder: bool,
    down_s: float = DOWN_S,
    first_beat_s: float = 0.0,
) -> list[str]:
    """Asks for a rare model; the server that shall load it crashes.

    Args:
        site: The deployment.
        has_trouble: Whether the order gets no answer and the server crashes.
        restarts_holder: Whether the process that gave the order is killed too.
        down_s: How long the server is down.
        first_beat_s: When a server that has started writes its entry; it
            writes every 1.2 s from then on.

    Returns:
        The loads that were more than the memory of their server.
    """
    standins.start_thread(lambda: _keep_busy(site))
    time.sleep(5.0)
    held: list[standins.ModelServer] = []
    late_s = SOON_S if restarts_holder else LATE_S
    if has_trouble:
        for server in site.model_servers:
            server.hold_orders(_make_chooser(server, held, late_s))
    site.ask("m5")
    site.ask("m5")
    if not has_trouble:
        time.sleep(3.0)
        _ask_for_another(site)
        time.sleep(6.0)
        if not any("m5" in server.loads for server in site.model_servers):
            raise cluster.CaseError("the rare model was not loaded")
        return _list_excesses(site)
    cluster.wait_for("an order is held back", lambda: held)
    holder = site.find_holder()
    time.sleep(0.1)
    held[0].crash()
    started_at = time.monotonic()
    if restarts_holder:
        _kill(site, holder)
    time.sleep(max(0.0, started_at + down_s - time.monotonic()))
    held[0].restart(first_beat_s)
    if holder is not None and restarts_holder:
        holder.start()
        site.record.write(holder.name, "is started again")
    else:
        _ask_for_another(site)
    time.sleep(max(0.0, started_at + late_s + 1.0 - time.monotonic()))
    if not held[0].late_statuses:
        raise cluster.CaseError("the late order was not due")
    return _list_excesses(site)


def _keep_busy(site: deployment.Deployment) -> None:
    """Keeps the models of the other servers in use all the time."""
    for _ in range(50):
        for model in ("m2", "m3", "m4"):
            site.ask(model)
            time.sleep(0.1)


def _make_chooser(
    server: standins.ModelServer,
    held: list[standins.ModelServer],
    late_s: float,
) -> Callable[[dict[str, Any]], float]:
    """Returns a function that holds back the first load of the rare model."""

    def choose(row: dict[str, Any]) -> float:
        if held or row["operation"] != "load" or row["model"] != "m5":
            return 0.0
        held.append(server)
        return late_s

    return choose


def _ask_for_another(site: deployment.Deployment) -> None:
    for _ in range(4):
        site.ask("m6")


def _kill(site: deployment.Deployment, holder: cluster.Instance | None) -> None:
    """Kills the process of a machine."""
    if holder is None:
        raise cluster.CaseError("no machine gives orders")
    holder.kill()
    site.record.write(holder.name, "is killed")


def _list_excesses(site: deployment.Deployment) -> list[str]:
    return [
        f"LIMIT: {text}"
        for server in site.model_servers
        for text in server.excesses
    ]
