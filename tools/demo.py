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
from quetzalgauge.standins import local_cluster
from quetzalgauge.standins import program

BURST_SIZE = 12
COLD_MODEL = "palomar-11"
TIMEOUT_SECONDS = 15


class Demo:
    """Runs the steps and collects what was not as it should be."""

    def __init__(
        self, cluster: local_cluster.LocalCluster, site: standin.Site
    ) -> None:
        self.cluster = cluster
        self.site = site
        self.failures: list[str] = []
        self._request_numbers = itertools.count(1)
        self._started_at = time.monotonic()

    def print_line(self, text: str) -> None:
        """Prints a line with the seconds since the start."""
        print(f"{time.monotonic() - self._started_at:6.2f} s  {text}")

    def check(self, condition: bool, description: str) -> None:
        """Prints whether a condition holds, and remembers a failure."""
        self.print_line(f"{'ok' if condition else 'FAILED':6} {description}")
        if not condition:
            self.failures.append(description)

    def send_request(
        self,
        instance: local_cluster.InstanceProcess,
        path: str,
        model: str = "",
    ) -> tuple[int, bytes, float]:
        """Sends a request; returns status, body and seconds."""
        headers = {
            "Host": standin.HOST,
            "Request-Id": f"demo-{next(self._request_numbers)}",
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
        first, second, third = self.cluster.instances
        status, body, took = self.send_request(first, "/live/1", "palomar-0")
        self.check(
            status == 200 and body.count(b"id: ") > 0,
            f"a loaded model streams ({took * 1000:.0f} ms)",
        )
        self.send_burst()
        status, _, took = self.send_request(second, "/live/1", "palomar-1/a3")
        self.check(
            status == 200, f"an adapter is fetched ({took * 1000:.0f} ms)"
        )
        status, _, _ = self.send_request(third, "/book/1")
        self.check(status == 200, "a booking is made")
        status, body, _ = self.send_request(first, "/nowhere/1")
        self.check(status == 404, f"an unknown path gets {status}")
        status, body, _ = self.send_request(first, "/live/1", "no-such-model")
        self.check(
            status == 404 and b"not_run" in body,
            f"an unknown model gets {status}, not run",
        )
        self.stop_instance()
        self.check(
            not self.site.list_violations(),
            "targets saw no order or request that they must not see",
        )

    def send_burst(self) -> None:
        """Asks all instances for a model that is nowhere loaded."""
        with concurrent.futures.ThreadPoolExecutor(BURST_SIZE) as pool:
            results = list(
                pool.map(
                    lambda number: self.send_request(
                        self.cluster.instances[number % 3],
                        "/rare/1",
                        COLD_MODEL,
                    ),
                    range(BURST_SIZE),
                )
            )
        found = collections.Counter(status for status, _, _ in results)
        slowest = max(took for _, _, took in results)
        self.check(
            found == {200: BURST_SIZE},
            f"{BURST_SIZE} requests for a cold model: {dict(found)},"
            f" slowest {slowest:.2f} s",
        )

    def stop_instance(self) -> None:
        """Stops an instance; the others go on."""
        code = self.cluster.stop(self.cluster.instances[0])
        self.check(code == 0, "an instance stops gracefully")
        status, _, _ = self.send_request(
            self.cluster.instances[1], "/live/1", COLD_MODEL
        )
        self.check(status == 200, "another one serves")


def main() -> int:
    """Runs the demo; returns the exit status."""
    zones = ["zone-a", "zone-b"]
    site = standin.Site(zones, program.MODELS)
    site.start()
    with tempfile.TemporaryDirectory() as folder:
        fleet = local_cluster.LocalCluster(
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
