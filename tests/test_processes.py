"""The worst cases on real processes.

Each test checks the invariants of the design at the stand-ins (memory, loads,
bookings) and at the callers (a whole answer or an honest refusal).
"""

import concurrent.futures
import signal
import time
import uuid

import pytest

from quetzalgauge import loaddriver
from quetzalgauge import loopback

pytestmark = [pytest.mark.process, pytest.mark.timeout(110)]

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


@pytest.fixture
def deploy(tmp_path):
    deployments = []

    def start(zones=(ZONE,), store_speed=10e9, memory_mib=8000, **values):
        deployment = loopback.Deployment(tmp_path, zones=zones, **values)
        deployment.store.values["bytes_per_second"] = store_speed
        deployments.append(deployment)
        deployment.start()
        deployment.submit(make_ticket(zones, memory_mib=memory_mib))
        callers = Callers(deployment)
        for name in deployment.entries:
            loopback.wait_until(
                lambda name=name: callers.has_service(name),
                "routes to the plain service",
            )
        return deployment, callers

    yield start
    for deployment in deployments:
        deployment.end()


def running_loads(deployment):
    """Engines with a load in progress."""
    return [
        name
        for name, engine in deployment.engines.items()
        for span in deployment.counts(engine)["intervals"]
        if span["ready"] is None and span["end"] is None
    ]


def total_loads(deployment, model):
    return sum(
        deployment.counts(engine)["loads"].get(f"{model}@v1", 0)
        for engine in deployment.engines.values()
    )


def test_kill_of_each_control_process_in_the_middle_of_a_load(deploy):
    """A load must neither be forgotten nor be ordered a second time."""
    deployment, callers = deploy(
        instances=2, engines_per_zone=2, store_speed=SLOW_STORE
    )
    first = callers.stream("qg-1", MODELS[0])
    loopback.wait_until(lambda: running_loads(deployment), "a load started")
    for control in deployment.controls.values():
        control.kill()
    time.sleep(0.5)
    for control in deployment.controls.values():
        control.start()
    assert first.result(60).kind in ("whole", "refused")
    again = [callers.stream(name, MODELS[0]) for name in deployment.entries]
    assert [future.result(60).kind for future in again] == ["whole"] * 2
    assert total_loads(deployment, MODELS[0]) == 1
    callers.check([ZONE])


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_holder_paused_past_its_lease(deploy, checks_fencing):
    """The late orders of a paused holder must not break an invariant."""
    deployment, callers = deploy(
        instances=2,
        engines_per_zone=1,
        engine_values={"checks_fencing": checks_fencing},
        control_values={"lease_duration": 5.0},
        store_speed=SLOW_STORE,
    )
    assert callers.stream("qg-1", MODELS[0]).result(60).kind == "whole"
    (target,) = deployment.engines
    paused = holder_of(deployment, "qg-1", target)
    (awake,) = {"qg-1", "qg-2"} - {paused}
    deployment.controls[paused].signal(signal.SIGSTOP)
    warm = callers.stream(awake, MODELS[0])
    # Demand that the paused process may have taken and would act on late.
    cold = callers.stream(paused, MODELS[1])
    loopback.wait_until(
        lambda: holder_of(deployment, awake, target) == awake,
        "the lease has moved",
    )
    successors = callers.stream(awake, MODELS[1])
    assert successors.result(60).kind == "whole"
    deployment.controls[paused].signal(signal.SIGCONT)
    assert warm.result(60).kind == "whole"
    assert cold.result(60).kind == "whole"
    assert callers.stream(paused, MODELS[2]).result(60).kind == "whole"
    callers.check([ZONE])


def holder_of(deployment, instance, target):
    """The holder of a target's lease as an instance sees it."""
    dump = deployment.operator_get(deployment.controls[instance], "/dump")
    return dump["core"]["targets"][target]["holder"]


def test_log_outage_during_a_cold_start(deploy):
    """Reserved slots are loaded without the log; keyed calls are refused."""
    deployment, callers = deploy(instances=2, engines_per_zone=2)
    wait_for_reservations(deployment, MODELS[0], [ZONE])
    deployment.set_faults(deployment.log, outage=True)
    cold = [callers.stream(name, MODELS[0]) for name in deployment.entries]
    plain = callers.book("qg-1")
    keyed = callers.book("qg-2", **{"Idempotency-Key": "arrival-1"})
    assert [future.result(60).kind for future in cold] == ["whole"] * 2
    assert total_loads(deployment, MODELS[0]) == 1
    assert plain.result(30).kind == "whole"
    refused = keyed.result(30)
    assert (refused.kind, refused.run) == ("refused", "not_run")
    deployment.set_faults(deployment.log)
    more = (*MODELS, "palomar-late")
    deployment.submit(make_ticket([ZONE], number=2, models=more))
    assert callers.stream("qg-1", "palomar-late").result(60).kind == "whole"
    callers.check([ZONE], more)


def wait_for_reservations(deployment, model, zones):
    """Waits until the log holds the advance reservations of a model."""
    control = deployment.controls["qg-1"]
    wanted = {f"{model}/{zone}/0" for zone in zones}

    def is_reserved():
        dump = deployment.operator_get(control, "/dump")
        targets = dump["core"]["targets"].values()
        return wanted <= {
            slot for item in targets for slot in item["reservations"]
        }

    loopback.wait_until(is_reserved, "slots reserved in advance")


def test_zone_cut_off(deploy):
    """A zone without log, list and peers loads and serves its own models."""
    zones = (ZONE, "uy-south-b", "uy-south-c")
    deployment, callers = deploy(
        zones, instances=3, engines_per_zone=1, memory_mib=6000
    )
    for model in MODELS[:2]:
        wait_for_reservations(deployment, model, zones)
    cut = "uy-south-b"
    deployment.relay_action("partition", f"{cut}/")
    for name in ("qg-1", "qg-2", "qg-3"):
        assert callers.stream(name, MODELS[0]).result(60).kind == "whole"
    assert callers.book("qg-2").result(30).kind == "whole"
    # The peers of the cut zone fall silent, too.
    others = [deployment.controls[name] for name in ("qg-1", "qg-3")]
    for control in others:
        control.signal(signal.SIGSTOP)
    time.sleep(3)
    for model in MODELS[:2]:
        assert callers.stream("qg-2", model).result(60).kind == "whole"
    for control in others:
        control.signal(signal.SIGCONT)
    deployment.relay_action("heal", f"{cut}/")
    more = (*MODELS, "palomar-late")
    ticket = make_ticket(zones, number=2, models=more, memory_mib=6000)
    deployment.submit(ticket)
    assert callers.stream("qg-2", "palomar-late").result(60).kind == "whole"
    callers.check(zones, more)


def test_half_open_connection_before_and_during_a_booking(deploy):
    """A silent connection must neither lose nor repeat a booking."""
    deployment, callers = deploy(
        instances=1,
        engines_per_zone=1,
        services_per_zone=2,
        service_values={"work_time": 1.0},
        entry_values={"target_silence_timeout": 3.0},
    )
    first = callers.book("qg-1").result(30)
    assert first.kind == "whole", first
    deployment.relay_action("freeze", "app-")
    before = [callers.book("qg-1") for _ in range(4)]
    assert [f.result(30).kind for f in before] == ["whole"] * 4
    during = [callers.book("qg-1") for _ in range(4)]
    loopback.wait_until(
        lambda: sum(len(runs(deployment, n)) for n in deployment.services) == 9,
        "all bookings have reached a service",
    )
    deployment.relay_action("freeze", "app-")
    results = [future.result(30) for future in during]
    assert {(r.kind, r.run) for r in results} == {("refused", "unknown")}
    # Both services are suspect for a short time; a caller that does as
    # Retry-After says must then be served.
    after = callers.book("qg-1").result(30)
    while after.run == "not_run":
        time.sleep(float(after.headers["Retry-After"]))
        after = callers.book("qg-1").result(30)
    assert after.kind == "whole", after
    callers.check([ZONE])


def runs(deployment, name):
    return deployment.counts(deployment.services[name])["runs"]


def test_half_open_connection_to_a_model_server(deploy):
    """Requests over silent connections are whole or refused in time."""
    deployment, callers = deploy(
        instances=2,
        engines_per_zone=2,
        entry_values={"target_silence_timeout": 3.0},
    )
    assert callers.stream("qg-1", MODELS[0]).result(60).kind == "whole"
    open_streams = [callers.stream("qg-1", MODELS[0], 300) for _ in range(4)]
    time.sleep(0.5)
    deployment.relay_action("freeze", "lm-")
    new = [callers.stream(name, MODELS[0]) for name in deployment.entries]
    assert [f.result(60).kind for f in new] == ["whole"] * 2
    for future in open_streams:
        assert future.result(60).kind in ("whole", "refused")
    callers.check([ZONE])


def test_sigterm_of_each_program_with_requests_in_progress(deploy):
    """A planned stop must not cut off or lose any request."""
    deployment, callers = deploy(
        instances=2, engines_per_zone=2, service_values={"work_time": 1.0}
    )
    assert callers.stream("qg-1", MODELS[0]).result(60).kind == "whole"
    for name in ("qg-1", "qg-2"):
        streams = [callers.stream(name, MODELS[0], 300) for _ in range(4)]
        cold = callers.stream(name, MODELS[1])
        booking = callers.book(name)
        time.sleep(0.5)
        control = deployment.controls[name]
        assert control.stop() == 0
        control.start()
        assert [f.result(60).kind for f in streams] == ["whole"] * 4
        assert booking.result(60).kind == "whole"
        assert cold.result(60).kind == "whole"
    streams = [callers.stream("qg-1", MODELS[0], 300) for _ in range(4)]
    booking = callers.book("qg-1")
    time.sleep(0.5)
    assert deployment.entries["qg-1"].stop() == 0
    assert [f.result(60).kind for f in streams] == ["whole"] * 4
    assert booking.result(60).kind == "whole"
    assert callers.stream("qg-2", MODELS[0]).result(60).kind == "whole"
    callers.check([ZONE])


def test_leaving_target_gets_no_new_work(deploy):
    """A target that the list calls leaving must be left alone in seconds."""
    deployment, callers = deploy(instances=2, engines_per_zone=2)
    assert callers.stream("qg-1", MODELS[0]).result(60).kind == "whole"
    (leaving,) = [
        name
        for name, engine in deployment.engines.items()
        if deployment.counts(engine)["loads"].get(f"{MODELS[0]}@v1")
    ]
    body = {"instance": leaving}
    deployment.post(deployment.instance_list, "/standin/leaving", body)
    time.sleep(4)
    engine = deployment.engines[leaving]
    before = deployment.counts(engine)["requests"]
    callers.stream("qg-2", MODELS[0], deadline_ms=15_000).result(60)
    assert deployment.counts(engine)["requests"] == before
    callers.check([ZONE])


def test_lost_acknowledgements_during_a_cold_burst(deploy):
    """An append or order without an answer must have one effect."""
    deployment, callers = deploy(instances=2, engines_per_zone=2)
    lost = {"lost_acknowledgements": 2, "method": "POST"}
    deployment.set_faults(deployment.log, **lost)
    for engine in deployment.engines.values():
        deployment.set_faults(engine, path_prefix="/orders", **lost)
    cold = [
        callers.stream(name, model)
        for model in MODELS
        for name in deployment.entries
    ]
    keyed = [
        callers.book(name, **{"Idempotency-Key": f"key-{name}"})
        for name in deployment.entries
    ]
    assert [future.result(60).kind for future in cold] == ["whole"] * 6
    for future in keyed:
        result = future.result(60)
        assert (result.kind, result.run) in (
            ("whole", ""),
            ("refused", "not_run"),
        )
    assert [total_loads(deployment, model) for model in MODELS] == [1, 1, 1]
    left = [
        deployment.get(process, "/standin/faults")["lost_acknowledgements"]
        for process in (deployment.log, *deployment.engines.values())
    ]
    assert left[0] == 0
    assert sum(left[1:]) < 4
    callers.check([ZONE])


def test_model_server_killed_with_streams_in_progress(deploy):
    """Streams end with an error event; the model is loaded elsewhere."""
    deployment, callers = deploy(instances=2, engines_per_zone=2)
    assert callers.stream("qg-1", MODELS[0]).result(60).kind == "whole"
    (killed,) = [
        name
        for name, engine in deployment.engines.items()
        if deployment.counts(engine)["loads"].get(f"{MODELS[0]}@v1")
    ]
    streams = [callers.stream("qg-1", MODELS[0], 2000) for _ in range(4)]
    time.sleep(0.5)
    deployment.engines[killed].kill()
    for future in streams:
        result = future.result(60)
        assert (result.kind, result.code) == ("refused", "stream_cut")
    deployment.unlist(killed)
    again = callers.stream("qg-2", MODELS[0], deadline_ms=60_000)
    assert again.result(70).kind == "whole"
    callers.check([ZONE])


def test_entry_killed_with_a_keyed_booking_in_progress(deploy):
    """A second try elsewhere must not run the booking again."""
    deployment, callers = deploy(
        instances=2, engines_per_zone=1, service_values={"work_time": 2.0}
    )
    key = {"Idempotency-Key": "arrival-1"}
    callers.book("qg-1", **key)
    (booking, first), *_ = callers.bookings.items()
    loopback.wait_until(
        lambda: sum(
            runs(deployment, name).get(booking, 0)
            for name in deployment.services
        ),
        "the booking runs",
    )
    deployment.entries["qg-1"].kill()
    # The connection to its caller breaks; the caller tries again elsewhere.
    assert first.result(30).kind == "broken"
    del callers.bookings[booking]
    second = callers.book_again("qg-2", booking, **key).result(30)
    assert (second.code, second.run) == ("outcome_unknown", "unknown")
    callers.check([ZONE])


def test_conflicting_tickets_at_two_instances(deploy):
    """Of two tickets with one number, exactly one may be accepted."""
    deployment, callers = deploy(instances=2, engines_per_zone=1)
    tickets = {
        name: make_ticket([ZONE], number=2, models=(f"model-of-{name}",))
        for name in deployment.controls
    }

    def submit(name):
        address = deployment.controls[name].addresses["operator_listen"]
        url = f"http://{address}/tickets"
        return callers.pool.request("POST", url, json=tickets[name])

    answers = {name: callers.executor.submit(submit, name) for name in tickets}
    verdicts = {
        name: future.result(30).json()["verdict"]
        for name, future in answers.items()
    }
    assert sorted(verdicts.values()) == ["accepted", "conflict"]
    (winner,) = [n for n, verdict in verdicts.items() if verdict == "accepted"]
    model = f"model-of-{winner}"
    for name in deployment.entries:
        loopback.wait_until(
            lambda name=name: model in model_names(callers, name), "in force"
        )
        assert len(model_names(callers, name)) == len(MODELS) + 1


def model_names(callers, instance):
    url = f"http://{callers.address(instance)}/v1/models"
    rows = callers.pool.request("GET", url).json()["data"]
    return {row["id"] for row in rows}
