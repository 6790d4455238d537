"""Shows the system on loopback; exit status 0 if every answer is right.

Starts a stand-in of the platform with two availability zones and three
instances, sends requests of every kind and stops everything.
"""

import collections
import concurrent.futures
import http.client
import itertools
import pathlib
import sys
import tempfile
import time

from quetzalgauge.platform import standin
from quetzalgauge.standins import nodes
from quetzalgauge.standins import program

BURST = 12
COLD_MODEL = "palomar-11"
TIMEOUT_SECONDS = 15


class Demo:
    """Runs the steps and collects what was not as it should be."""

    def __init__(self, fleet: nodes.Nodes, site: standin.Site) -> None:
        self.fleet = fleet
        self.site = site
        self.failures: list[str] = []
        self._numbers = itertools.count(1)
        self._started_at = time.monotonic()

    def say(self, text: str) -> None:
        """Prints a line with the seconds since the start."""
        print(f"{time.monotonic() - self._started_at:6.2f} s  {text}")

    def expect(self, condition: bool, what: str) -> None:
        """Prints whether a condition holds, and remembers a failure."""
        self.say(f"{'ok' if condition else 'FAILED':6} {what}")
        if not condition:
            self.failures.append(what)

    def ask(
        self, instance: nodes.Instance, path: str, model: str = ""
    ) -> tuple[int, bytes, float]:
        """Sends a request; returns status, body and seconds."""
        headers = {
            "Host": standin.HOST,
            "Request-Id": f"demo-{next(self._numbers)}",
            "Token-Counts": "100,30",
        }
        if model:
            headers["Model"] = model
        began = time.monotonic()
        connection = http.client.HTTPConnection(
            *instance.address, timeout=TIMEOUT_SECONDS
        )
        try:
            connection.request("POST", path, b"x", headers)
            response = connection.getresponse()
            body = response.read()
            return response.status, body, time.monotonic() - began
        finally:
            connection.close()

    def run(self) -> None:
        """Runs all steps."""
        first, second, third = self.fleet.instances
        status, body, took = self.ask(first, "/live/1", "palomar-0")
        self.expect(
            status == 200 and body.count(b"id: ") > 0,
            f"a loaded model streams ({took * 1000:.0f} ms)",
        )
        self.burst()
        status, _, took = self.ask(second, "/live/1", "palomar-1/a3")
        self.expect(
            status == 200, f"an adapter is fetched ({took * 1000:.0f} ms)"
        )
        status, _, _ = self.ask(third, "/book/1")
        self.expect(status == 200, "a booking is made")
        status, body, _ = self.ask(first, "/nowhere/1")
        self.expect(status == 404, f"an unknown path gets {status}")
        status, body, _ = self.ask(first, "/live/1", "no-such-model")
        self.expect(
            status == 404 and b"not_run" in body,
            f"an unknown model gets {status}, not run",
        )
        self.stop_one()
        self.expect(
            not self.site.list_violations(),
            "targets saw no order or request that they must not see",
        )

    def burst(self) -> None:
        """Asks all instances for a model that is nowhere loaded."""
        with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
            results = list(
                pool.map(
                    lambda number: self.ask(
                        self.fleet.instances[number % 3],
                        "/rare/1",
                        COLD_MODEL,
                    ),
                    range(BURST),
                )
            )
        found = collections.Counter(status for status, _, _ in results)
        slowest = max(took for _, _, took in results)
        self.expect(
            found == {200: BURST},
            f"{BURST} requests for a cold model: {dict(found)},"
            f" slowest {slowest:.2f} s",
        )

    def stop_one(self) -> None:
        """Stops an instance; the others go on."""
        code = self.fleet.stop(self.fleet.instances[0])
        self.expect(code == 0, "an instance stops gracefully")
        status, _, _ = self.ask(self.fleet.instances[1], "/live/1", COLD_MODEL)
        self.expect(status == 200, "another one serves")


def main() -> int:
    """Runs the demo; returns the exit status."""
    zones = ["zone-a", "zone-b"]
    site = standin.Site(zones, program.MODELS)
    site.start()
    with tempfile.TemporaryDirectory() as folder:
        fleet = nodes.Nodes(
            pathlib.Path(folder),
            str(site.store.server.address),
            ["zone-a", "zone-a", "zone-b"],
        )
        try:
            fleet.start_all()
            demo = Demo(fleet, site)
            demo.run()
        finally:
            fleet.kill_all()
            site.stop()
    print("FAILED" if demo.failures else "all as it should be")
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
