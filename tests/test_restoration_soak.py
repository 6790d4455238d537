"""Soak test of a store that comes back from copies, beside other trouble.

Three of four instances are killed, stopped for seconds or cut off from the
store in turn, versions withdraw models and list them again, and engines carry
out orders late. QUETZALGAUGE_RESTORATION_SEEDS, such as 1-50, selects other
seeds.
"""

import collections
from concurrent import futures
import itertools
import json
import os
import random
import signal
import threading
import time

import faulty_site
import pytest
import soak_callers
import store_proxies

from quetzalgauge.core import election
from quetzalgauge.platform import standin
from quetzalgauge.standins import local_cluster

pytestmark = pytest.mark.process

SEEDS = os.environ.get("QUETZALGAUGE_RESTORATION_SEEDS", "1-1")
FIRST, _, LAST = SEEDS.partition("-")
ZONES = ["zone-a", "zone-b"]
MODELS = {
    f"m{number}": standin.ModelSpec(adapter_count=4 * (number < 2))
    for number in range(7)
}
# Versions do not change these.
KEPT_MODELS = ("m0", "m1")
ROUTES = {
    "/book/1": {},
    "/look/1": {},
    "/live/1": {"Model": "m0", "Token-Counts": "10,30"},
    "/rare/1": {"Model": "m1", "Token-Counts": "10,30"},
}
SECONDS = 18.0
# An instance in touch begins with its last leader's grace period, waits for
# the session of the last owner to lapse, and then for the whole delay.
MAX_WAIT_SECONDS = 3.0 + sum(
    duration.total_seconds()
    for duration in (
        election.LAST_LEADER_GRACE_PERIOD,
        election.SESSION_TIMEOUT,
        election.STANDBY_POLL_INTERVAL,
        election.LEADER_LEASE,
        election.CLOCK_DRIFT_MARGIN,
    )
)
READY_SECONDS = 5.0


class LateEngine(standin.Engine):
    """An engine that answers some orders later than their senders wait."""

    def __init__(self, seed, name, zone, loaded):
        super().__init__(
            name, standin.ENGINE_SERVICE, zone, MODELS, loaded, list(MODELS)
        )
        self._rng = random.Random(f"{seed} {name}")

    def _handle_order(self, request):
        if self._rng.random() < 0.2:
            time.sleep(self._rng.uniform(0.1, 1.5))
        return super()._handle_order(request)


class Soak:
    """Trouble and requests of one seed."""

    def __init__(self, seed, site, cluster, proxies):
        self._seed = seed
        self._site = site
        self._cluster = cluster
        self._proxies = proxies
        self._has_ended = threading.Event()
        self._version = 10
        self.calls = []

    def restore(self, rng):
        """Lets the store come back from a copy, at times twice in a row."""
        for _ in range(rng.choice([1, 1, 2])):
            away = rng.choice([0.0, 0.2, rng.uniform(0.0, 3.0)])
            self._site.store.restore(rng.uniform(0.5, 10.0), away)
            self._has_ended.wait(away + rng.uniform(0.0, 0.5))
        self._has_ended.wait(rng.uniform(0.0, 6.0))

    def disturb(self, rng):
        """Kills, stops or cuts off one instance, or two of different zones."""
        numbers = rng.choice([[0], [1], [2], [0, 2], [1, 2]])
        how = rng.choice(["kill", "stop", "cut", "cut"])
        for number in numbers:
            if how == "kill":
                self._cluster.kill(self._cluster.instances[number])
            elif how == "stop":
                self._cluster.instances[number].signal(signal.SIGSTOP)
            else:
                self._proxies[number].cut()
        self._has_ended.wait(rng.choice([0.5, rng.uniform(1.0, 9.0)]))
        for number in numbers:
            instance = self._cluster.instances[number]
            if how == "kill":
                self._cluster.start(instance)
            elif how == "stop":
                instance.signal(signal.SIGCONT)
            else:
                self._proxies[number].heal()

    def change_versions(self, rng):
        """Withdraws models, and lists them again."""
        self._version += 1
        listed = {
            name: spec
            for name, spec in MODELS.items()
            if name in KEPT_MODELS or rng.random() < 0.6
        }
        value = standin.make_configuration(listed, self._version)
        self._site.write_configuration(value)
        self._has_ended.wait(rng.uniform(0.0, 1.0))

    def ask_for_others(self, rng):
        """Asks for models that versions withdraw, so that orders are given."""
        instance = self._cluster.instances[-1]
        model = rng.choice([name for name in MODELS if name not in KEPT_MODELS])
        call = soak_callers.Call(f"other-{rng.random()}", instance.name, 3.0)
        connection = soak_callers.connect(instance.address)
        headers = {"Model": model, "Token-Counts": "10,30"}
        soak_callers.fetch(call, connection, "/rare/1", b"x", **headers)
        connection.close()

    def _repeat(self, trouble):
        rng = random.Random(f"{self._seed} {trouble.__name__}")
        while not self._has_ended.wait(rng.uniform(0.0, 0.5)):
            trouble(self, rng)

    def _run_caller(self, number):
        """Sends requests on one connection to the instance that is in touch."""
        instance = self._cluster.instances[-1]
        connection = soak_callers.connect(instance.address)
        for count in itertools.count():
            if self._has_ended.wait(0.05):
                return
            path = list(ROUTES)[(number + count) % len(ROUTES)]
            key = f"{path.strip('/')}-{number}-{count}"
            call = soak_callers.Call(key, instance.name, 15.0)
            soak_callers.fetch(call, connection, path, b"x", **ROUTES[path])
            self.calls.append((path, call))

    def run(self):
        tasks = [self._repeat] * len(TROUBLES) + [self._run_caller] * 6
        args = [*TROUBLES, *range(6)]
        with futures.ThreadPoolExecutor(len(tasks)) as executor:
            running = [
                executor.submit(task, arg)
                for task, arg in zip(tasks, args, strict=True)
            ]
            time.sleep(SECONDS)
            self._has_ended.set()
        for task in running:
            task.result()
        value = standin.make_configuration(MODELS, self._version + 1)
        self._site.write_configuration(value)

    def find_zones_without_orders(self):
        """Waits until a leader of each zone may give orders."""
        deadline = time.monotonic() + MAX_WAIT_SECONDS + READY_SECONDS
        missing = set(ZONES)
        while missing and time.monotonic() < deadline:
            for instance in self._cluster.instances:
                status, data = instance.get(instance.ports[3], "/dump")
                dump = json.loads(data) if status == 200 else {}
                if dump.get("seat", {}).get("orders_for_s", 0) > 0:
                    missing.discard(dump["zone"])
            time.sleep(0.1)
        return missing


TROUBLES = (
    Soak.restore,
    Soak.disturb,
    Soak.change_versions,
    Soak.ask_for_others,
)


@pytest.fixture
def soak(request, tmp_path):
    site = standin.Site([], MODELS)
    site.store.era = 1
    names = list(MODELS)
    for number, zone in enumerate([*ZONES, *ZONES]):
        loaded = [names[number % 2], names[2 + number]]
        name = f"e-{number}"
        site.targets[name] = LateEngine(request.param, name, zone, loaded)
        name = f"p-{number}"
        site.targets[name] = standin.Target(
            name, standin.PLAIN_SERVICE, zone, 8
        )
    site.start()
    address = site.store.server.address
    proxies = [
        store_proxies.StoreProxy((address.host, address.port)) for _ in range(4)
    ]
    cluster = local_cluster.LocalCluster(
        tmp_path, str(address), [ZONES[0], ZONES[0], ZONES[1], ZONES[1]]
    )
    for instance, proxy in zip(cluster.instances, proxies, strict=True):
        values = json.loads(instance.settings_path.read_text())
        values |= {"store": proxy.address, "first_start": True}
        instance.settings_path.write_text(json.dumps(values))
    try:
        cluster.start_all()
        calm = cluster.instances[-1]
        faulty_site.wait_for(lambda: len(calm.dump()["targets"]) == 8)
        yield Soak(request.param, site, cluster, proxies)
    finally:
        for instance in cluster.instances:
            instance.signal(signal.SIGCONT)
        cluster.kill_all()
        for proxy in proxies:
            proxy.close()
        site.stop()


@pytest.mark.parametrize(
    "soak", range(int(FIRST), int(LAST or FIRST) + 1), indirect=True
)
def test_restorations_beside_other_trouble(soak):
    """Guards against two leaders, lost requests, and zones without orders."""
    soak.run()
    missing = soak.find_zones_without_orders()
    counts = collections.Counter(
        (path, call.status, call.ending) for path, call in soak.calls
    )
    print(soak._seed, soak._site.store.era, dict(counts))
    assert missing == set()
    assert soak._site.list_violations() == []
    odd = [
        call
        for _, call in soak.calls
        if not call.is_whole or call.status not in (200, 503)
    ]
    assert odd == []
    for path in ROUTES:
        statuses = [call.status for other, call in soak.calls if other == path]
        assert statuses.count(200) > 0.95 * len(statuses), path
