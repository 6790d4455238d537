"""Killed, paused, cut off and stopped instances, on real processes.

Each test checks the invariants of the design at the stand-ins (memory, loads,
bookings) and at the callers (a whole answer or an honest refusal).
"""

import signal
import time

import deployments
import pytest

from quetzalgauge import loopback

pytestmark = [pytest.mark.process, pytest.mark.timeout(110)]


@pytest.fixture
def deploy(tmp_path):
    with deployments.starter(tmp_path) as start:
        yield start


def running_loads(deployment):
    """Engines with a load in progress."""
    return [
        name
        for name, engine in deployment.engines.items()
        for span in deployment.counts(engine)["intervals"]
        if span["ready"] is None and span["end"] is None
    ]


@pytest.mark.covers("crash", "load")
def test_kill_of_each_control_process_in_the_middle_of_a_load(deploy):
    """A load must neither be forgotten nor be ordered a second time."""
    deployment, callers = deploy(
        instances=2, engines_per_zone=2, store_speed=deployments.SLOW_STORE
    )
    first = callers.stream("qg-1", deployments.MODELS[0])
    loopback.wait_until(lambda: running_loads(deployment), "a load started")
    for control in deployment.controls.values():
        control.kill()
    time.sleep(0.5)
    for control in deployment.controls.values():
        control.start()
    assert first.result(60).kind in ("whole", "refused")
    again = [
        callers.stream(name, deployments.MODELS[0])
        for name in deployment.entries
    ]
    assert [future.result(60).kind for future in again] == ["whole"] * 2
    assert deployments.total_loads(deployment, deployments.MODELS[0]) == 1
    callers.check([deployments.ZONE])


@pytest.mark.covers("pause beyond the lease", "request")
@pytest.mark.covers("pause beyond the lease", "load")
@pytest.mark.covers("pause beyond the lease", "lease change")
@pytest.mark.covers("slow weight store", "request")
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_holder_paused_past_its_lease(deploy, checks_fencing):
    """The late orders of a paused holder must not break an invariant."""
    deployment, callers = deploy(
        instances=2,
        engines_per_zone=1,
        engine_values={"checks_fencing": checks_fencing},
        control_values={"lease_duration": 5.0},
        store_speed=deployments.SLOW_STORE,
    )
    assert (
        callers.stream("qg-1", deployments.MODELS[0]).result(60).kind == "whole"
    )
    (target,) = deployment.engines
    paused = holder_of(deployment, "qg-1", target)
    (awake,) = {"qg-1", "qg-2"} - {paused}
    deployment.controls[paused].signal(signal.SIGSTOP)
    warm = callers.stream(awake, deployments.MODELS[0])
    # Demand that the paused process may have taken and would act on late.
    cold = callers.stream(paused, deployments.MODELS[1])
    loopback.wait_until(
        lambda: holder_of(deployment, awake, target) == awake,
        "the lease has moved",
    )
    successors = callers.stream(awake, deployments.MODELS[1])
    assert successors.result(60).kind == "whole"
    deployment.controls[paused].signal(signal.SIGCONT)
    assert warm.result(60).kind == "whole"
    assert cold.result(60).kind == "whole"
    assert (
        callers.stream(paused, deployments.MODELS[2]).result(60).kind == "whole"
    )
    callers.check([deployments.ZONE])


def holder_of(deployment, instance, target):
    """The holder of a target's lease as an instance sees it."""
    dump = deployment.operator_get(deployment.controls[instance], "/dump")
    return dump["core"]["targets"][target]["holder"]


@pytest.mark.covers("log outage", "load")
@pytest.mark.covers("log outage", "request")
def test_log_outage_during_a_cold_start(deploy):
    """Reserved slots are loaded without the log; keyed calls are refused."""
    deployment, callers = deploy(instances=2, engines_per_zone=2)
    wait_for_reservations(deployment, deployments.MODELS[0], [deployments.ZONE])
    deployment.set_faults(deployment.log, outage=True)
    cold = [
        callers.stream(name, deployments.MODELS[0])
        for name in deployment.entries
    ]
    plain = callers.book("qg-1")
    keyed = callers.book("qg-2", **{"Idempotency-Key": "arrival-1"})
    assert [future.result(60).kind for future in cold] == ["whole"] * 2
    assert deployments.total_loads(deployment, deployments.MODELS[0]) == 1
    assert plain.result(30).kind == "whole"
    refused = keyed.result(30)
    assert (refused.kind, refused.run) == ("refused", "not_run")
    deployment.set_faults(deployment.log)
    more = (*deployments.MODELS, "palomar-late")
    deployment.submit(
        deployments.make_ticket([deployments.ZONE], number=2, models=more)
    )
    assert callers.stream("qg-1", "palomar-late").result(60).kind == "whole"
    callers.check([deployments.ZONE], more)


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


@pytest.mark.covers("cut", "load")
@pytest.mark.covers("cut", "request")
def test_zone_cut_off(deploy):
    """A zone without log, list and peers loads and serves its own models."""
    zones = (deployments.ZONE, "uy-south-b", "uy-south-c")
    deployment, callers = deploy(
        zones, instances=3, engines_per_zone=1, memory_mib=6000
    )
    for model in deployments.MODELS[:2]:
        wait_for_reservations(deployment, model, zones)
    cut = "uy-south-b"
    deployment.relay_action("partition", f"{cut}/")
    for name in ("qg-1", "qg-2", "qg-3"):
        assert (
            callers.stream(name, deployments.MODELS[0]).result(60).kind
            == "whole"
        )
    assert callers.book("qg-2").result(30).kind == "whole"
    # The peers of the cut zone fall silent, too.
    others = [deployment.controls[name] for name in ("qg-1", "qg-3")]
    for control in others:
        control.signal(signal.SIGSTOP)
    time.sleep(3)
    for model in deployments.MODELS[:2]:
        assert callers.stream("qg-2", model).result(60).kind == "whole"
    for control in others:
        control.signal(signal.SIGCONT)
    deployment.relay_action("heal", f"{cut}/")
    more = (*deployments.MODELS, "palomar-late")
    ticket = deployments.make_ticket(
        zones, number=2, models=more, memory_mib=6000
    )
    deployment.submit(ticket)
    assert callers.stream("qg-2", "palomar-late").result(60).kind == "whole"
    callers.check(zones, more)


def test_sigterm_of_each_program_with_requests_in_progress(deploy):
    """A planned stop must not cut off or lose any request."""
    deployment, callers = deploy(
        instances=2, engines_per_zone=2, service_values={"work_time": 1.0}
    )
    assert (
        callers.stream("qg-1", deployments.MODELS[0]).result(60).kind == "whole"
    )
    for name in ("qg-1", "qg-2"):
        streams = [
            callers.stream(name, deployments.MODELS[0], 300) for _ in range(4)
        ]
        cold = callers.stream(name, deployments.MODELS[1])
        booking = callers.book(name)
        time.sleep(0.5)
        control = deployment.controls[name]
        assert control.stop() == 0
        control.start()
        assert [f.result(60).kind for f in streams] == ["whole"] * 4
        assert booking.result(60).kind == "whole"
        assert cold.result(60).kind == "whole"
    streams = [
        callers.stream("qg-1", deployments.MODELS[0], 300) for _ in range(4)
    ]
    booking = callers.book("qg-1")
    time.sleep(0.5)
    assert deployment.entries["qg-1"].stop() == 0
    assert [f.result(60).kind for f in streams] == ["whole"] * 4
    assert booking.result(60).kind == "whole"
    assert (
        callers.stream("qg-2", deployments.MODELS[0]).result(60).kind == "whole"
    )
    callers.check([deployments.ZONE])


@pytest.mark.covers("racing tickets", "ticket")
def test_conflicting_tickets_at_two_instances(deploy):
    """Of two tickets with one number, exactly one may be accepted."""
    deployment, callers = deploy(instances=2, engines_per_zone=1)
    tickets = {
        name: deployments.make_ticket(
            [deployments.ZONE], number=2, models=(f"model-of-{name}",)
        )
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
        assert len(model_names(callers, name)) == len(deployments.MODELS) + 1


def model_names(callers, instance):
    url = f"http://{callers.address(instance)}/v1/models"
    rows = callers.pool.request("GET", url).json()["data"]
    return {row["id"] for row in rows}
