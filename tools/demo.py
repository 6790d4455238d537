"""Shows the system on loopback; exit status 0 if every answer is right.

Starts the stand-ins (6 model servers, 3 plain services, weight store, log,
instance list) and four entry instances in three availability zones, submits a
ticket, sends requests and stops everything.
"""

import concurrent.futures
import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import urllib3

from quetzalgauge import loaddriver
from quetzalgauge import loopback

BURST = 12
TOKENS = 40
IN_FORCE_SECONDS = 5
FIRST_TOKEN_SECONDS = 15
MIB = 1024 * 1024
COLD_MODEL = "palomar-report"
ZONES = ("uy-south-a", "uy-south-b", "uy-south-c")
TICKET = {
    "ticket": 1,
    "models": {
        COLD_MODEL: {
            "versions": {
                "v1": {"checkpoint": "palomar-report-v1", "memory_mib": 13000}
            },
            "default_version": "v1",
            "availability_zones": {zone: {"max_replicas": 1} for zone in ZONES},
        },
        "palomar-label": {
            "versions": {
                "v1": {"checkpoint": "palomar-label-v1", "memory_mib": 6000}
            },
            "default_version": "v1",
            "availability_zones": {
                "uy-south-b": {"max_replicas": 1},
                "uy-south-c": {"max_replicas": 1},
            },
        },
    },
    "services": {"clocking-app": {"repeatable_paths": ["/standings"]}},
}


class Demo:
    """Runs the steps and collects what was not as it should be."""

    def __init__(self, deployment: loopback.Deployment) -> None:
        self.deployment = deployment
        self.failures: list[str] = []
        self.pool = loaddriver.make_pool()
        self.started_at = time.monotonic()

    def say(self, text: str) -> None:
        """Prints a line with the seconds since the start."""
        print(f"{time.monotonic() - self.started_at:6.2f} s  {text}")

    def expect(self, condition: object, what: str) -> None:
        """Prints whether a condition holds, and remembers a failure."""
        self.say(f"{'ok' if condition else 'FAILED':6} {what}")
        if not condition:
            self.failures.append(what)

    def entry_addresses(self) -> list[str]:
        """The callers' addresses of all entry processes."""
        return [p.addresses["listen"] for p in self.deployment.entries.values()]

    def run(self, folder: pathlib.Path) -> None:
        """Runs all steps."""
        self.submit(folder)
        self.wait_until_in_force()
        self.send_cold_burst()
        self.send_warm_request()
        self.send_booking()
        self.send_bad_requests()
        self.check_invariants()

    def submit(self, folder: pathlib.Path) -> None:
        """Submits the ticket with quetzalgauge-ctl."""
        file = folder / "ticket.json"
        file.write_text(json.dumps(TICKET, indent=2))
        control = next(iter(self.deployment.controls.values()))
        address = control.addresses["operator_listen"]
        command = [sys.executable, "-m", "quetzalgauge.ctl", "submit"]
        done = subprocess.run(
            [*command, str(file), "--control", address],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
            env=loopback.make_environment(),
        )
        self.expect(
            done.returncode == 0, f"{done.stdout.strip()}{done.stderr.strip()}"
        )

    def wait_until_in_force(self) -> None:
        """Waits until every entry process knows the ticket's models."""
        start = time.monotonic()
        missing = set(self.entry_addresses())
        while missing and time.monotonic() - start < IN_FORCE_SECONDS:
            missing = {a for a in missing if not self.has_models(a)}
            time.sleep(0.05)
        seconds = time.monotonic() - start
        self.expect(
            not missing, f"ticket in force at 4 instances, {seconds:.2f} s"
        )

    def has_models(self, address: str) -> bool:
        """Whether an entry process lists the ticket's models."""
        try:
            answer = self.pool.request("GET", f"http://{address}/v1/models")
            names = {row["id"] for row in answer.json()["data"]}
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            return False
        return names >= set(TICKET["models"])

    def send_cold_burst(self) -> None:
        """Sends streams to a cold model at all entry processes at once."""
        addresses = self.entry_addresses()

        def send(number: int) -> loaddriver.Result:
            address = addresses[number % len(addresses)]
            prompt = f"Race report {number}"
            return loaddriver.call_model(
                self.pool, address, COLD_MODEL, prompt, TOKENS
            )

        with concurrent.futures.ThreadPoolExecutor(BURST) as executor:
            results = list(executor.map(send, range(BURST)))
        report = loaddriver.summarise(results)
        self.expect(
            report["whole"] == BURST,
            f"{report['whole']} of {BURST} streams from 4 instances are whole"
            f" {report['codes'] or ''}",
        )
        longest = report["first_token_s"].get("max", 0.0)
        self.expect(
            0 < longest < FIRST_TOKEN_SECONDS,
            f"cold start: last first token after {longest:.2f} s",
        )
        self.check_loads()

    def check_loads(self) -> None:
        """Expects one load of the cold model in the region."""
        loads = self.count_loads()
        cold = loads.pop(f"{COLD_MODEL}@v1", 0)
        self.expect(
            cold == 1, f"{COLD_MODEL} was loaded {cold} time(s) in the region"
        )
        # Control also loads other models for the cache (`warm_checkpoints`).
        for name, count in loads.items():
            self.say(f"{'info':6} other model, loaded {count} time(s): {name}")

    def count_loads(self) -> dict[str, int]:
        """Loads since the start, by MODEL@VERSION, on all engines."""
        total: dict[str, int] = {}
        for engine in self.deployment.engines.values():
            for name, count in self.deployment.counts(engine)["loads"].items():
                total[name] = total.get(name, 0) + count
        return total

    def send_warm_request(self) -> None:
        """Sends one stream to the loaded model."""
        address = self.entry_addresses()[-1]
        result = loaddriver.call_model(
            self.pool, address, COLD_MODEL, "And the weather?", TOKENS
        )
        gaps = sorted(result.gaps_s) or [0.0]
        self.expect(
            result.kind == "whole",
            f"warm stream: first token {result.first_token_s * 1000:.0f} ms,"
            f" between tokens {gaps[len(gaps) // 2] * 1000:.0f} ms"
            f" {result.code}",
        )

    def send_booking(self) -> None:
        """Sends one arrival record with an idempotency key, twice."""
        results = [
            loaddriver.call_service(
                self.pool,
                self.entry_addresses()[0],
                "clocking-app",
                "/arrivals",
                {"booking": "ring-UY-4711"},
                headers={"Idempotency-Key": "arrival-4711"},
            )
            for _ in range(2)
        ]
        kinds = [f"{r.kind} {r.code}".strip() for r in results]
        runs = sum(
            self.deployment.counts(service)["runs"].get("ring-UY-4711", 0)
            for service in self.deployment.services.values()
        )
        self.expect(
            kinds == ["whole", "whole"] and runs == 1,
            f"arrival record sent twice with one key ran {runs} time(s):"
            f" {', '.join(kinds)}",
        )

    def send_bad_requests(self) -> None:
        """Sends requests that must be refused."""
        address = self.entry_addresses()[0]
        result = loaddriver.call_model(self.pool, address, "no-model", "Hello")
        self.expect_refusal(result, 404, "unknown_model")
        result = loaddriver.call_service(
            self.pool, address, "no-service", "/", {"booking": "x"}
        )
        self.expect_refusal(result, 404, "unknown_service")
        answer = self.pool.request(
            "POST", f"http://{address}/v1/chat/completions", body=b"no JSON"
        )
        code = answer.json()["error"]["code"]
        self.expect(
            (answer.status, code) == (400, "bad_request"),
            f"bad request refused: {answer.status} {code}",
        )

    def expect_refusal(
        self, result: loaddriver.Result, status: int, code: str
    ) -> None:
        """Expects a refusal with this code that says `not_run`."""
        got = (result.status, result.code, result.run)
        self.expect(
            got == (status, code, "not_run"),
            f"refused: {result.status} {result.code} {result.run}",
        )

    def check_invariants(self) -> None:
        """Checks memory and replica counts at the engines."""
        decided = {
            f"{model}/{zone}": values["max_replicas"]
            for model, part in TICKET["models"].items()
            for zone, values in part["availability_zones"].items()
        }
        found = loopback.check_engines(self.deployment, decided)
        high_water = [
            f"{self.deployment.counts(engine)['high_water_bytes'] / 1e9:.1f}"
            for engine in self.deployment.engines.values()
        ]
        self.expect(
            not found,
            f"memory high-water marks in GB: {', '.join(high_water)}"
            f" of 24.0 {'; '.join(found)}",
        )

    def stop(self) -> None:
        """Stops everything with SIGTERM."""
        statuses = self.deployment.stop()
        bad = {name: code for name, code in statuses.items() if code}
        self.expect(
            not bad, f"{len(statuses)} processes stopped with status 0 {bad}"
        )


def main() -> int:
    """Runs the demo and returns its exit status."""
    with tempfile.TemporaryDirectory(prefix="quetzalgauge-") as name:
        folder = pathlib.Path(name)
        deployment = loopback.Deployment(folder, zones=ZONES)
        demo = Demo(deployment)
        try:
            deployment.start()
            demo.say(f"{len(deployment.processes())} processes are ready")
            demo.run(folder)
            demo.stop()
        except loopback.LoopbackError as error:
            demo.expect(False, str(error))
        finally:
            with contextlib.suppress(KeyboardInterrupt):
                deployment.end()
        if demo.failures:
            print_errors(deployment)
    print("demo failed" if demo.failures else "demo done")
    return 1 if demo.failures else 0


def print_errors(deployment: loopback.Deployment) -> None:
    """Prints the ends of the logs, to find out what went wrong."""
    for process in deployment.processes():
        errors = process.errors()
        if errors:
            print(f"---- {process.name}\n{errors}")


if __name__ == "__main__":
    sys.exit(main())
