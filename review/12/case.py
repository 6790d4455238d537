"""Case 12: an instance that starts again knows of no late load."""

import os
import pathlib
import signal
import sys
import time
from typing import Any

from review.harness_3 import deployment as deployment_module

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Of the size of the site's models; the third fits beside no other one.
MODELS: dict[str, dict[str, Any]] = {
    "first": {"size": 70_000, "load_s": 6.0, "disk_s": 0.8},
    "second": {"size": 68_000, "load_s": 6.0, "disk_s": 0.8},
    "third": {"size": 72_700, "load_s": 6.0, "disk_s": 0.84},
}
# Late orders are carried out 2 to 12 s later.
LATE_S = 11.5
# For so long the server is down.
DOWN_S = 2.0
# The platform starts an instance again after so long.
RESTART_S = 0.3


def run(deployment: deployment_module.Deployment) -> None:
    """Plays the case."""
    callers, record = deployment.callers, deployment.record
    instance = deployment.instance
    held_at: list[float] = []

    def must_delay(order: dict[str, Any]) -> float:
        """Delays one order, the first one to load the second model."""
        if not HAS_TROUBLE or held_at or order["model"] != "second":
            return 0.0
        held_at.append(time.monotonic())
        return LATE_S

    deployment.server.must_delay = must_delay
    # The server is empty, as it was added.
    deployment.start([])
    callers.start(4)
    deployment.ask_for_others()
    for model in ("first", "second"):
        callers.wanted = (model,)
        deployment_module.wait_for(
            lambda model=model: callers.count(model, "whole") > 1, 20, model
        )
    callers.wanted = ()
    time.sleep(0.5)
    if HAS_TROUBLE and not held_at:
        raise TimeoutError("another server loads the second model")
    if HAS_TROUBLE:
        record.add("the instance gets SIGTERM")
        instance.send(signal.SIGTERM)
        deployment_module.wait_for(
            lambda: not instance.is_running(), 9, "the end of the instance"
        )
        record.add("the instance has ended, the server crashes")
        deployment.server.process.send(signal.SIGKILL)
        crashed_at = time.monotonic()
        time.sleep(RESTART_S)
        instance.start()
        instance.wait_ready()
        record.add("the instance is ready again")
    if HAS_TROUBLE:
        time.sleep(max(0.0, crashed_at + DOWN_S - time.monotonic()))
        deployment.start_server([])
        record.add("the server starts again, with its id and its disk")
    callers.wanted = ("third",)
    since = time.time()
    callers.ask("third")
    record.add("callers ask for the third model from now on")
    deployment_module.wait_for(
        lambda: callers.count("third", "whole", since) > 1, 15, "third"
    )
    if HAS_TROUBLE:
        time.sleep(max(0.0, held_at[0] + LATE_S + 2 - time.monotonic()))
    else:
        time.sleep(6)


if __name__ == "__main__":
    sys.exit(
        deployment_module.play(
            FOLDER, MODELS, run, deployment_module.find_limit_breaks
        )
    )
