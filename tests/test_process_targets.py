"""Silent, failing and leaving targets and lost answers, on real processes.

Each test checks the invariants as in test_processes.py.
"""

import time

import deployments
import pytest

from quetzalgauge import loopback

pytestmark = [pytest.mark.process, pytest.mark.timeout(110)]


@pytest.fixture
def deploy(tmp_path):
    with deployments.starter(tmp_path) as start:
        yield start


@pytest.mark.covers("half-open connection", "request")
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
        lambda: (
            sum(
                len(deployments.runs(deployment, n))
                for n in deployment.services
            )
            == 9
        ),
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
    callers.check([deployments.ZONE])


@pytest.mark.covers("half-open connection", "request")
def test_half_open_connection_to_a_model_server(deploy):
    """Requests over silent connections are whole or refused in time."""
    deployment, callers = deploy(
        instances=2,
        engines_per_zone=2,
        entry_values={"target_silence_timeout": 3.0},
    )
    assert (
        callers.stream("qg-1", deployments.MODELS[0]).result(60).kind == "whole"
    )
    open_streams = [
        callers.stream("qg-1", deployments.MODELS[0], 300) for _ in range(4)
    ]
    time.sleep(0.5)
    deployment.relay_action("freeze", "lm-")
    new = [
        callers.stream(name, deployments.MODELS[0])
        for name in deployment.entries
    ]
    assert [f.result(60).kind for f in new] == ["whole"] * 2
    for future in open_streams:
        assert future.result(60).kind in ("whole", "refused")
    callers.check([deployments.ZONE])


@pytest.mark.covers("lost acknowledgement", "load")
@pytest.mark.covers("lost acknowledgement", "request")
def test_lost_acknowledgements_during_a_cold_burst(deploy):
    """An append or order without an answer must have one effect."""
    deployment, callers = deploy(instances=2, engines_per_zone=2)
    lost = {"lost_acknowledgements": 2, "method": "POST"}
    deployment.set_faults(deployment.log, **lost)
    for engine in deployment.engines.values():
        deployment.set_faults(engine, path_prefix="/orders", **lost)
    cold = [
        callers.stream(name, model)
        for model in deployments.MODELS
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
    assert [
        deployments.total_loads(deployment, model)
        for model in deployments.MODELS
    ] == [1, 1, 1]
    left = [
        deployment.get(process, "/standin/faults")["lost_acknowledgements"]
        for process in (deployment.log, *deployment.engines.values())
    ]
    assert left[0] == 0
    assert sum(left[1:]) < 4
    callers.check([deployments.ZONE])


@pytest.mark.covers("crash", "request")
@pytest.mark.covers("reclaimed instance", "request")
def test_model_server_killed_with_streams_in_progress(deploy):
    """Streams end with an error event; the model is loaded elsewhere."""
    deployment, callers = deploy(instances=2, engines_per_zone=2)
    assert (
        callers.stream("qg-1", deployments.MODELS[0]).result(60).kind == "whole"
    )
    (killed,) = [
        name
        for name, engine in deployment.engines.items()
        if deployment.counts(engine)["loads"].get(f"{deployments.MODELS[0]}@v1")
    ]
    streams = [
        callers.stream("qg-1", deployments.MODELS[0], 2000) for _ in range(4)
    ]
    time.sleep(0.5)
    deployment.engines[killed].kill()
    for future in streams:
        result = future.result(60)
        assert (result.kind, result.code) == ("refused", "stream_cut")
    deployment.unlist(killed)
    again = callers.stream("qg-2", deployments.MODELS[0], deadline_ms=60_000)
    assert again.result(70).kind == "whole"
    callers.check([deployments.ZONE])


@pytest.mark.covers("crash", "request")
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
            deployments.runs(deployment, name).get(booking, 0)
            for name in deployment.services
        ),
        "the booking runs",
    )
    deployment.entries["qg-1"].kill()
    # The connection to its caller breaks; the caller tries again elsewhere.
    assert first.result(30).kind == "broken"
    del callers.bookings[booking]
    second = callers.book_again("qg-2", booking, 4000, **key).result(30)
    assert second.total_s < 5
    assert (second.code, second.run) == ("outcome_unknown", "unknown")
    callers.check([deployments.ZONE])


def test_leaving_target_gets_no_new_work(deploy):
    """A target that the list calls leaving must be left alone in seconds."""
    deployment, callers = deploy(instances=2, engines_per_zone=2)
    assert (
        callers.stream("qg-1", deployments.MODELS[0]).result(60).kind == "whole"
    )
    (leaving,) = [
        name
        for name, engine in deployment.engines.items()
        if deployment.counts(engine)["loads"].get(f"{deployments.MODELS[0]}@v1")
    ]
    body = {"instance": leaving}
    deployment.post(deployment.instance_list, "/standin/leaving", body)
    time.sleep(4)
    engine = deployment.engines[leaving]
    before = deployment.counts(engine)["requests"]
    moved = callers.stream("qg-2", deployments.MODELS[0])
    assert moved.result(60).kind == "whole"
    assert deployment.counts(engine)["requests"] == before
    callers.check([deployments.ZONE])
