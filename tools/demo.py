"""Demonstrates the system on loopback; exit status 0 if all checks pass.

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
    """Runs the steps of the demo and collects the failed checks.

    Attributes:
        cluster: The instances.
        site: The stand-in of the platform.
        failures: Descriptions of the failed checks.
    """

    def __init__(
        self, cluster: local_cluster.LocalCluster, site: standin.Site
    ) -> None:
        self.cluster = cluster
        self.site = site
        self.failures: list[str] = []
        self._request_numbers = itertools.count(1)
        self._started_at = time.monotonic()

    def print_line(self, text: str) -> None:
        """Prints a line after the seconds since the start."""
        print(f"{time.monotonic() - self._started_at:6.2f} s  {text}")

    def check(self, condition: bool, description: str) -> None:
        """Prints whether a condition holds, and records a failure."""
        self.print_line(f"{'ok' if condition else 'FAILED':6} {description}")
        if not condition:
            self.failures.append(description)

    def send_request(
        self,
        instance: local_cluster.InstanceProcess,
        path: str,
        model: str = "",
    ) -> tuple[int, bytes, float]:
        """Sends a request; returns status, body and duration in seconds."""
        headers = {
            "Host": standin.HOST,
            "Request-Id": f"demo-{next(self._request_numbers)}",
            "Token-Counts": "100,30",
        }
        if model:
            headers["Model"] = model
        started_at = time.monotonic()
        connection = http.client.HTTPConnection(
            *instance.address, timeout=TIMEOUT_SECONDS
        )
        try:
            connection.request("POST", path, b"x", headers)
            response = connection.getresponse()
            body = response.read()
            return response.status, body, time.monotonic() - started_at
        finally:
            connection.close()

    def run(self) -> None:
        """Runs all steps."""
        first, second, third = self.cluster.instances
        status, body, duration_s = self.send_request(
            first, "/live/1", "palomar-0"
        )
        self.check(
            status == 200 and body.count(b"id: ") > 0,
            f"a loaded model streams ({duration_s * 1000:.0f} ms)",
        )
        self.send_burst()
        status, _, duration_s = self.send_request(
            second, "/live/1", "palomar-1/a3"
        )
        self.check(
            status == 200,
            f"an adapter is loaded on demand ({duration_s * 1000:.0f} ms)",
        )
        status, _, _ = self.send_request(third, "/book/1")
        self.check(status == 200, "a booking succeeds")
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
            "targets received no order or request that the rules forbid",
        )

    def send_burst(self) -> None:
        """Sends concurrent requests for a model that is loaded nowhere."""
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
        counts = collections.Counter(status for status, _, _ in results)
        slowest_s = max(duration_s for _, _, duration_s in results)
        self.check(
            counts == {200: BURST_SIZE},
            f"{BURST_SIZE} requests for a cold model: {dict(counts)},"
            f" slowest {slowest_s:.2f} s",
        )

    def stop_instance(self) -> None:
        """Stops an instance; checks that another one serves its models."""
        exit_code = self.cluster.stop(self.cluster.instances[0])
        self.check(exit_code == 0, "an instance stops gracefully")
        status, _, _ = self.send_request(
            self.cluster.instances[1], "/live/1", COLD_MODEL
        )
        self.check(status == 200, "another instance serves the model")


def main() -> int:
    """Runs the demo; returns the exit status."""
    zones = ["zone-a", "zone-b"]
    site = standin.Site(zones, program.MODELS)
    site.start()
    with tempfile.TemporaryDirectory() as folder:
        cluster = local_cluster.LocalCluster(
            pathlib.Path(folder),
            str(site.store.server.address),
            ["zone-a", "zone-a", "zone-b"],
        )
        try:
            cluster.start_all()
            demo = Demo(cluster, site)
            demo.run()
        finally:
            cluster.kill_all()
            site.stop()
    print("FAILED" if demo.failures else "all checks passed")
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
