"""Deployments of real processes for tests, and their callers."""

import concurrent.futures
import contextlib
import uuid

from quetzalgauge import loaddriver
from quetzalgauge import loopback

ZONE = "uy-south-a"
MODELS = ("palomar-report", "palomar-label", "palomar-summary")
SLOW_STORE = 2e9  # Bytes a second: a load of 8,000 MiB takes 4 s.


def make_ticket(zones, number=1, models=MODELS, memory_mib=8000):
    return {
        "ticket": number,
        "models": {
            model: {
                "versions": {
                    "v1": {
                        "checkpoint": f"{model}-v1",
                        "memory_mib": memory_mib,
                    }
                },
                "default_version": "v1",
                "availability_zones": {
                    zone: {"max_replicas": 1} for zone in zones
                },
            }
            for model in models
        },
        "services": {"clocking-app": {"repeatable_paths": ["/standings"]}},
    }


class Callers:
    """Sends requests in the background and keeps every result."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.pool = loaddriver.make_pool()
        self.executor = concurrent.futures.ThreadPoolExecutor(32)
        self.streams = []
        self.bookings = {}

    def address(self, instance):
        return self.deployment.entries[instance].addresses["listen"]

    def stream(self, instance, model, tokens=20, deadline_ms=40_000):
        future = self.executor.submit(
            loaddriver.call_model,
            self.pool,
            self.address(instance),
            model,
            f"prompt {uuid.uuid4().hex}",
            tokens,
            headers={"X-Deadline-Ms": str(deadline_ms)},
        )
        self.streams.append(future)
        return future

    def book(self, instance, deadline_ms=20_000, **headers):
        return self.book_again(
            instance, uuid.uuid4().hex, deadline_ms, **headers
        )

    def book_again(self, instance, booking, deadline_ms=20_000, **headers):
        future = self.executor.submit(
            loaddriver.call_service,
            self.pool,
            self.address(instance),
            "clocking-app",
            "/arrivals",
            {"booking": booking},
            headers={"X-Deadline-Ms": str(deadline_ms), **headers},
        )
        self.bookings[booking] = future
        return future

    def has_service(self, instance):
        """Whether an entry process has a route to the plain service."""
        url = f"http://{self.address(instance)}/services/clocking-app/standings"
        return self.pool.request("GET", url).status == 200

    def check(self, zones, models=MODELS):
        """Every invariant, after all requests have ended."""
        decided = {f"{m}/{z}": 1 for m in models for z in zones}
        bookings = {b: f.result(60) for b, f in self.bookings.items()}
        found = [
            *loopback.check_answers([f.result(60) for f in self.streams]),
            *loopback.check_engines(self.deployment, decided),
            *loopback.check_bookings(self.deployment, bookings),
        ]
        assert found == []


def total_loads(deployment, model):
    return sum(
        deployment.counts(engine)["loads"].get(f"{model}@v1", 0)
        for engine in deployment.engines.values()
    )


def runs(deployment, name):
    return deployment.counts(deployment.services[name])["runs"]


@contextlib.contextmanager
def starter(folder):
    """Yields a function that starts a deployment; ends them all."""
    started = []

    def start(zones=(ZONE,), store_speed=10e9, memory_mib=8000, **values):
        deployment = loopback.Deployment(folder, zones=zones, **values)
        deployment.store.values["bytes_per_second"] = store_speed
        started.append(deployment)
        deployment.start()
        deployment.submit(make_ticket(zones, memory_mib=memory_mib))
        callers = Callers(deployment)
        for name in deployment.entries:
            loopback.wait_until(
                lambda name=name: callers.has_service(name),
                "routes to the plain service",
            )
        return deployment, callers

    try:
        yield start
    finally:
        for deployment in started:
            deployment.end()
