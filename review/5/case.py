"""Callers that leave right after they have sent a request, see claim.txt.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import traceback

from quetzalgauge.platform import standin
from quetzalgauge.standins import local_cluster

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_SECONDS = 110
ZONES = ["zone-a", "zone-b", "zone-c"]
ROUNDS = 4
REQUESTS_PER_ROUND = 180
# The largest share of callers that leave in the site file is 0.3.
LEAVERS_OF_TEN = (0, 3, 6)
# "Over half a second later", and "more than a few".
LATE_SECONDS = 0.5
FEW = 5

MODELS = {
    f"m{number}": standin.ModelSpec(
        store_load_s=6.0, disk_load_s=3.0, memory_load_s=3.0
    )
    for number in range(24)
}


async def ask(
    address: tuple[str, int], request_id: str, model: str, leaves: bool
) -> tuple[str, float]:
    """Sends a request; returns its outcome and when the channel was closed."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        f"POST /rare/1 HTTP/1.1\r\nHost: {standin.HOST}\r\n"
        f"Request-Id: {request_id}\r\nModel: {model}\r\n"
        "Token-Counts: 100,30\r\nDeadline-Ms: 9500\r\n"
        "Content-Length: 2\r\n\r\nhi".encode()
    )
    await writer.drain()
    outcome = "left"
    if not leaves:
        try:
            line = await asyncio.wait_for(reader.readline(), 12)
            outcome = line.decode().strip() or "closed"
            while await asyncio.wait_for(reader.readline(), 12) not in (
                b"0\r\n",
                b"",
            ):
                if " 200 " not in outcome:
                    break
        except (OSError, TimeoutError) as error:
            outcome = type(error).__name__
    writer.close()
    return outcome, time.monotonic()


async def run_clients(
    addresses: list[tuple[str, int]], rare_models: list[str]
) -> dict[str, tuple[str, float]]:
    """Asks for a model that no server holds in each round."""
    results: dict[str, tuple[str, float]] = {}

    async def one(number: int, model: str, request_id: str) -> None:
        leaves = TROUBLE and number % 10 in LEAVERS_OF_TEN
        address = addresses[number % len(addresses)]
        results[request_id] = await ask(address, request_id, model, leaves)

    for number in range(ROUNDS):
        model = rare_models[number]
        pending = []
        for index in range(REQUESTS_PER_ROUND):
            request_id = f"r{number}-{index}"
            pending.append(asyncio.create_task(one(index, model, request_id)))
            await asyncio.sleep(0.004)
        await asyncio.gather(*pending)
        await asyncio.sleep(1.0)
    return results


def main() -> int:
    """Runs the case and returns the exit status."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="review-5-"))
    record = pathlib.Path(__file__).with_name("record.txt").open("w")
    site = standin.Site(ZONES, MODELS)
    site.start()
    # The route of the rare models has the latency target of `loft-history`.
    configuration = standin.make_configuration(MODELS, version=2)
    for route in configuration["routes"]:
        if route["name"] == "rare":
            route["target_latency_ms"] = 2500
    site.write_configuration(configuration)
    cluster = local_cluster.LocalCluster(
        directory, str(site.store.server.address), ZONES
    )
    try:
        cluster.start_all()
        # The leaders of the zones become active.
        time.sleep(5.0)
        held = {
            model["name"]
            for target in site.targets.values()
            for model in target.describe().get("models", [])
        }
        rare = [name for name in MODELS if name not in held]
        results = asyncio.run(
            run_clients([item.address for item in cluster.instances], rare)
        )
        time.sleep(2.0)
    finally:
        cluster.kill_all()
        site.stop()
        shutil.rmtree(directory, ignore_errors=True)
    arrivals: dict[str, float] = {}
    for target in site.targets.values():
        for at, request_id in target.observations.arrivals:
            arrivals[request_id] = max(at, arrivals.get(request_id, 0.0))
    late = 0
    for request_id, (outcome, closed_at) in results.items():
        line = f"{request_id} sent; {outcome}; closed at {closed_at:.3f}"
        if request_id in arrivals:
            line += f"; reached a server at {arrivals[request_id]:.3f}"
            if (
                outcome == "left"
                and arrivals[request_id] > closed_at + LATE_SECONDS
            ):
                late += 1
                line += " LATE"
        print(line, file=record)
    left = sum(outcome == "left" for outcome, _ in results.values())
    served = sum(" 200 " in outcome for outcome, _ in results.values())
    summary = (
        f"{len(results)} requests, {served} served, {left} left,"
        f" {late} of these reached a server over {LATE_SECONDS} s later"
    )
    print(summary, file=record)
    print(summary)
    record.close()
    if served < len(results) // 4:
        print("too few requests were served")
        return 2
    return 1 if late > FEW else 0


def stop(*_: object) -> None:
    """Ends the case, and with it all processes that it started."""
    raise RuntimeError("the case was stopped or took too long")


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(MAX_SECONDS)
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    os._exit(status)
