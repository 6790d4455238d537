"""Case 12: a late load fits again after an unload, beside another model."""

import pathlib
import signal
import time
from typing import Any

from review.harness_3 import deployment as deployment_module

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = deployment_module.HAS_TROUBLE
# Of the size of the site's models; no two of them fit together.
MODELS: dict[str, dict[str, Any]] = {
    "first": {"size": 72_700, "load_s": 6.0, "disk_s": 0.84, "adapters": 2},
    "second": {"size": 68_000, "load_s": 6.0, "disk_s": 0.8},
    "third": {"size": 72_700, "load_s": 6.0, "disk_s": 0.84},
}
# Late orders are carried out 2 to 12 s later.
LATE_S = 11.5
# For so long the server is down.
DOWN_S = 2.0


def run(deployment: deployment_module.Deployment) -> None:
    """Plays the case."""
    callers, record = deployment.callers, deployment.record
    held_at: list[float] = []

    def must_delay(order: dict[str, Any]) -> float:
        """Delays one order, the first one to load the second model."""
        if not HAS_TROUBLE or held_at or order["model"] != "second":
            return 0.0
        held_at.append(time.monotonic())
        return LATE_S

    deployment.server.must_delay = must_delay
    deployment.start(["first"])
    deployment.ask_for_others()
    callers.start(4)
    # Two orders for adapters, one to unload, and one to load the second model.
    for model in ("first/a1", "first/a2", "second"):
        callers.wanted = (model,)
        deployment_module.wait_for(
            lambda model=model: callers.count(model, "whole") > 1, 20, model
        )
    callers.wanted = ()
    if HAS_TROUBLE and not held_at:
        raise TimeoutError("another server loads the second model")
    if HAS_TROUBLE:
        record.add("the server crashes")
        deployment.server.process.send(signal.SIGKILL)
        time.sleep(DOWN_S)
        deployment.start_server([])
        record.add("the server starts again, with its id and its disk")
        time.sleep(0.6)
        since = time.time()
        callers.ask("second")
        deployment_module.wait_for(
            lambda: callers.count("second", "whole", since) > 0, 8, "second"
        )
    time.sleep(0.5)
    callers.wanted = ("third",)
    record.add("callers ask for the third model from now on")
    deployment_module.wait_for(
        lambda: callers.count("third", "whole") > 1, 10, "third"
    )
    if HAS_TROUBLE:
        time.sleep(max(0.0, held_at[0] + LATE_S + 2 - time.monotonic()))
    else:
        time.sleep(6)


if __name__ == "__main__":
    deployment_module.end(
        deployment_module.play(
            FOLDER, MODELS, run, deployment_module.find_limit_breaks
        )
    )
