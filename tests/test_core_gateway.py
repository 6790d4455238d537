"""Requests of callers in the core: where, when and how often they are sent."""

import dataclasses

import core_samples as samples
import pytest

from quetzalgauge.core import gateway
from quetzalgauge.core import requests

Failure = requests.Failure


def make_plain_harness(count=3, **more):
    return samples.GatewayHarness(
        [samples.make_target(f"p{number}") for number in range(count)], **more
    )


def make_engine_harness(**more):
    entries = [
        samples.make_target(
            name,
            samples.ENGINE_SERVICE,
            slots=48,
            models=["m0"],
            disk=["m0", "m1"],
        )
        for name in ("e1", "e2")
    ]
    return samples.GatewayHarness(entries, **more)


def test_a_request_without_configuration_is_not_answered_404():
    """Guards against a fresh instance that denies routes it cannot know."""
    bench = make_plain_harness()
    bench.gateway._configuration = None
    (refusal,) = bench.submit("/look/1")
    assert (refusal.status, refusal.may_have_run) == (503, False)


def test_an_unknown_path_is_answered_404():
    """Guards against requests that reach some other route's service."""
    bench = make_plain_harness()
    (refusal,) = bench.submit("/elsewhere/1")
    assert refusal.status == 404


def test_a_plain_request_is_sent_at_once():
    """Guards against a needless wait while places are free."""
    (send,) = make_plain_harness().submit("/look/1")
    assert isinstance(send, requests.Send)


def test_the_deadline_is_the_shorter_of_route_and_caller():
    """Guards against requests held past the route's timeout."""
    bench = make_plain_harness()
    (send,) = bench.submit("/look/1", patience=samples.seconds(60))
    assert send.deadline == bench.now + samples.seconds(1)
    (send,) = bench.submit("/look/1", patience=samples.ms(400))
    assert send.deadline == bench.now + samples.ms(400)


@pytest.mark.parametrize(
    "failure",
    [Failure.CONNECTION_LOST, Failure.IDLE_TIMEOUT, Failure.WRONG_REQUEST_ID],
)
def test_an_unsafe_request_that_may_have_run_is_not_retried(failure):
    """Guards against a booking that runs twice, and a false "not run"."""
    bench = make_plain_harness()
    bench.submit("/book/1")
    (refusal,) = bench.fail_attempt(failure)
    assert (refusal.status, refusal.may_have_run) == (502, True)


@pytest.mark.parametrize("failure", sorted(requests.NOT_RUN_FAILURES, key=str))
def test_an_unsafe_request_that_did_not_run_is_retried(failure):
    """Guards against refusals of requests that another target could run."""
    bench = make_plain_harness()
    bench.submit("/book/1")
    actions = bench.fail_attempt(failure) or bench.advance(samples.ms(20))
    assert samples.filter_by_type(actions, requests.Send)


def test_a_safe_request_is_retried_on_another_target():
    """Guards against a repeat on the target that has just failed."""
    bench = make_plain_harness(2)
    (first,) = bench.submit("/look/1")
    (second,) = bench.fail_attempt(Failure.CONNECTION_LOST)
    assert second.target != first.target


def test_the_attempts_of_the_route_limit_the_targets_tried():
    """Guards against more runs than the operator allows."""
    bench = make_plain_harness(5)
    bench.submit("/look/1")
    bench.fail_attempt(Failure.CONNECTION_LOST)
    (refusal,) = bench.fail_attempt(Failure.CONNECTION_LOST)
    assert isinstance(refusal, requests.Refuse)


def test_a_buffered_response_is_relayed_without_another_target():
    """Guards against an answer of a target replaced by a failure."""
    bench = make_plain_harness(1)
    bench.submit("/look/1")
    actions = bench.fail_attempt(
        Failure.SERVER_ERROR, status=500, has_buffered_response=True
    )
    actions += bench.advance(samples.ms(900))
    assert samples.filter_by_type(actions, requests.Relay)


def test_retries_stay_within_the_budget():
    """Guards against a fault that multiplies load: 200 failures at once."""
    bench = make_plain_harness(50, slack=10.0, in_progress=1000)
    for _ in range(200):
        bench.submit("/look/1")
    repeats = 0
    for token in range(1, 201):
        repeats += len(
            samples.filter_by_type(
                bench.fail_attempt(Failure.CONNECTION_LOST, token),
                requests.Send,
            )
        )
    assert repeats <= 10 + 0.2 * 200


def test_unreachable_targets_spend_no_retry_budget():
    """Guards against a budget spent on requests that arrived nowhere."""
    bench = make_plain_harness(3, slack=0.0)
    bench.gateway._limits = bench.gateway._limits
    bench.submit("/book/1")
    assert samples.filter_by_type(
        bench.fail_attempt(Failure.UNREACHABLE), requests.Send
    )


def test_a_caller_disconnect_cancels_a_retryable_request():
    """Guards against work for callers that have gone."""
    bench = make_plain_harness()
    bench.submit("/look/1")
    (cancel,) = bench.step(requests.CallerDisconnected(bench.token))
    assert cancel.failure is Failure.CALLER_DISCONNECTED


def test_a_caller_disconnect_does_not_cancel_an_unsafe_request():
    """Guards against a booking that is cut in the middle."""
    bench = make_plain_harness()
    bench.submit("/book/1")
    assert bench.step(requests.CallerDisconnected(bench.token)) == []


def test_a_queued_request_of_a_disconnected_caller_is_never_sent():
    """Guards against requests that reach a target after their caller left."""
    bench = make_engine_harness()
    assert bench.submit("/rare/1", model="m1") == []
    bench.step(requests.CallerDisconnected(bench.token))
    actions = bench.update_registry(
        samples.make_target(
            "e3", samples.ENGINE_SERVICE, slots=48, models=["m1"]
        )
    )
    assert samples.filter_by_type(actions, requests.Send) == []


def test_a_request_past_its_deadline_is_cancelled_and_answered():
    """Guards against requests that hang for ever on a silent target."""
    bench = make_plain_harness(1)
    bench.submit("/book/1")
    (cancel,) = samples.filter_by_type(
        bench.advance(samples.seconds(1.1)), requests.CancelAttempt
    )
    assert cancel.failure is Failure.DEADLINE_EXCEEDED
    (refusal,) = bench.fail_attempt(Failure.DEADLINE_EXCEEDED)
    assert (refusal.status, refusal.may_have_run) == (504, True)


def test_a_draining_target_gets_no_requests():
    """Guards against work for a target that has said it leaves."""
    bench = make_plain_harness(2)
    bench.update_registry(samples.make_target("p0", leaving=True))
    for _ in range(5):
        (send,) = bench.submit("/look/1")
        assert send.target == "p1"


def test_a_request_awaiting_an_adapter_is_moved_off_a_draining_target():
    """Guards against a request queued before the notice and sent after it."""
    bench = make_engine_harness()
    bench.submit("/live/1", model="m0", adapter="a1")
    waits_for = bench.gateway._requests[bench.token].target.target
    bench.update_registry(
        samples.make_target(
            waits_for,
            samples.ENGINE_SERVICE,
            slots=48,
            models=["m0"],
            leaving=True,
        )
    )
    assert bench.gateway._requests[bench.token].target.target != waits_for


def test_requests_over_the_in_progress_limit_are_refused():
    """Guards against more requests than threads, which would go unread."""
    bench = make_plain_harness(in_progress=2)
    bench.submit("/look/1")
    bench.submit("/look/1")
    (refusal,) = bench.submit("/look/1")
    assert (refusal.status, refusal.may_have_run) == (503, False)


def test_a_stream_resumes_after_the_last_event_of_the_caller():
    """Guards against a resumed stream that begins at its first event."""
    bench = make_engine_harness()
    (send,) = bench.submit("/live/1", model="m0", last_event_id="12")
    assert send.last_event_id == "12"


def test_an_interrupted_stream_resumes_on_another_target():
    """Guards against streams lost with their engine."""
    bench = make_engine_harness()
    (first,) = bench.submit("/live/1", model="m0")
    bench.step(requests.ResponseStarted(bench.token))
    (second,) = bench.fail_attempt(Failure.CONNECTION_LOST, last_event_id="7")
    assert second.target != first.target
    assert second.last_event_id == "7"


def test_an_interrupted_stream_that_may_not_run_twice_is_aborted():
    """Guards against joined pieces of two runs."""
    bench = make_engine_harness()
    bench.submit("/rare/1", model="m0")
    bench.step(requests.ResponseStarted(bench.token))
    (abort,) = bench.fail_attempt(Failure.CONNECTION_LOST, last_event_id="7")
    assert isinstance(abort, requests.Abort)


def test_the_only_engine_with_a_model_has_no_idle_timeout():
    """Guards against a burst that is cancelled while its prompts are read.

    Fifty requests for a model that has just been loaded are read one after
    the other; with nowhere else to go they are waited for.
    """
    entry = samples.make_target(
        "e1", samples.ENGINE_SERVICE, slots=48, models=["m0"]
    )
    bench = samples.GatewayHarness([entry])
    (send,) = bench.submit("/live/1", model="m0")
    assert send.first_byte_deadline == send.deadline


def test_a_request_for_a_cold_model_is_queued_while_it_can_be_served():
    """Guards against refusals of rare models: the burst for an idle one."""
    bench = make_engine_harness()
    bench.publish_update(
        samples.make_target_view("e1", ["m0"]),
        samples.make_target_view("e2", ["m0"]),
    )
    assert bench.submit("/rare/1", model="m1") == []
    assert bench.gateway.demand_reporter.is_urgent
    actions = bench.publish_update(samples.make_target_view("e1", ["m0", "m1"]))
    assert [send.target for send in actions] == ["e1"]


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    """Guards against requests held until they are hopeless.

    The holder may give orders only after 15 s, and a caller of this route
    leaves after 10 s of silence.
    """
    bench = make_engine_harness()
    bench.publish_update(
        samples.make_target_view("e1", ["m0"]),
        samples.make_target_view("e2", ["m0"]),
        seconds_until_active=15.0,
    )
    (refusal,) = bench.submit("/rare/1", model="m1")
    assert (refusal.status, refusal.may_have_run) == (503, False)
    assert refusal.retry_after > samples.seconds(15)


def test_a_burst_for_one_model_shares_one_load():
    """Guards against a load for each request of a burst."""
    bench = make_engine_harness()
    bench.publish_update(
        samples.make_target_view("e1", ["m0"]),
        samples.make_target_view("e2", ["m0"]),
    )
    for _ in range(20):
        assert bench.submit("/rare/1", model="m1") == []
    report = bench.gateway.demand_reporter.build_report(
        "qg-1", samples.ZONE, bench.now
    )
    bench.gateway.demand_reporter.choose_zones(
        samples.make_configuration(), bench.now
    )
    report = bench.gateway.demand_reporter.build_report(
        "qg-1", samples.ZONE, bench.now
    )
    assert [(wish.model, wish.waiting) for wish in report.model_demands] == [
        ("m1", 20)
    ]
    actions = bench.publish_update(samples.make_target_view("e2", ["m0", "m1"]))
    assert len(samples.filter_by_type(actions, requests.Send)) == 20


def test_an_adapter_is_loaded_before_the_request_is_sent():
    """Guards against requests that an engine without the adapter rejects."""
    bench = make_engine_harness()
    bench.publish_update(
        samples.make_target_view("e1", ["m0"]),
        samples.make_target_view("e2", ["m0"]),
    )
    assert bench.submit("/live/1", model="m0", adapter="a3") == []
    chosen = bench.gateway._requests[bench.token].target.target
    actions = bench.publish_update(
        samples.make_target_view(chosen, ["m0"], adapters=[("m0", "a3", 0.01)])
    )
    assert actions == []
    (send,) = bench.advance(samples.ms(11))
    assert send.target == chosen


def test_an_engine_that_lacks_a_model_is_not_retried_at_once():
    """Guards against a loop of rejections that eats the retry budget."""
    bench = make_engine_harness()
    bench.publish_update(
        samples.make_target_view("e1", ["m0"]),
        samples.make_target_view("e2", ["m0"]),
    )
    (first,) = bench.submit("/live/1", model="m0")
    bench.fail_attempt(Failure.NOT_LOADED)
    (second,) = bench.advance(samples.ms(20))
    assert second.target != first.target


def test_a_drained_process_refuses_queued_requests():
    """Guards against requests that end in a closed connection."""
    bench = make_engine_harness()
    bench.publish_update(
        samples.make_target_view("e1", ["m0"]),
        samples.make_target_view("e2", ["m0"]),
    )
    bench.submit("/rare/1", model="m1")
    (refusal,) = bench.gateway.abort_requests(bench.now)
    assert (refusal.status, refusal.may_have_run) == (503, False)


def test_an_adapter_that_cannot_load_in_time_is_refused():
    """The pattern: targets that load a model take no order for an adapter.

    Guards against requests that go from one busy target to the next until
    their caller leaves. Seen on trouble-1 at Ferreira: 19 requests.
    """
    bench = make_engine_harness()
    busy = [
        dataclasses.replace(
            samples.make_target_view(name, ["m0"]), busy_for=samples.seconds(6)
        )
        for name in ("e1", "e2")
    ]
    bench.publish_update(*busy)
    (refusal,) = bench.submit("/live/1", model="m0", adapter="a3")
    assert (refusal.status, refusal.may_have_run) == (503, False)
    assert refusal.retry_after > samples.seconds(5)


def test_an_adapter_that_no_holder_may_order_in_time_is_refused():
    """The pattern: a new holder waits until the one before may not order.

    Guards against requests for adapters that wait until their caller leaves.
    """
    bench = make_engine_harness()
    views = [samples.make_target_view(name, ["m0"]) for name in ("e1", "e2")]
    bench.publish_update(*views, seconds_until_active=9.0)
    (refusal,) = bench.submit("/live/1", model="m0", adapter="a3")
    assert (refusal.status, refusal.may_have_run) == (503, False)
    assert refusal.retry_after > samples.seconds(8)


def test_an_adapter_in_a_zone_without_a_holder_is_refused():
    """Guards against the same wait while no instance holds the zone."""
    bench = make_engine_harness()
    bench.publish_update(
        samples.make_target_view("e1", ["m0"]),
        samples.make_target_view("e2", ["m0"]),
    )
    bench.fleet.record_leader_lost(samples.ZONE)
    bench.submit("/live/1", model="m0", adapter="a3")
    actions = []
    arrived = bench.now
    while not actions and bench.now < arrived + samples.seconds(5):
        actions = bench.advance(samples.ms(50))
    assert samples.filter_by_type(actions, requests.Refuse)
    longest = gateway.NO_CANDIDATE_TIMEOUT + gateway.ADAPTER_LOAD_TIMEOUT
    assert bench.now - arrived <= longest


def test_an_adapter_is_refused_after_the_lease_of_the_holder_expired():
    """The pattern: an outage of the store that outlasts the holder's right.

    Guards against the same wait while a holder is there that gives no orders.
    """
    bench = make_engine_harness()
    views = [samples.make_target_view(name, ["m0"]) for name in ("e1", "e2")]
    bench.publish_update(*views, seconds_until_active=None)
    bench.submit("/live/1", model="m0", adapter="a3")
    actions = []
    arrived = bench.now
    while not actions and bench.now < arrived + samples.seconds(5):
        actions = bench.advance(samples.ms(50))
        bench.publish_update(*views, seconds_until_active=None)
    (refusal,) = samples.filter_by_type(actions, requests.Refuse)
    assert (refusal.status, refusal.may_have_run) == (503, False)
    assert (
        bench.now - arrived
        <= gateway.NO_CANDIDATE_TIMEOUT + gateway.ADAPTER_LOAD_TIMEOUT
    )


def test_a_draining_process_refuses_streams_that_cannot_finish():
    """Guards against a late stream that breaks when the process ends.

    The load: callers go on using their open connections for seconds after the
    stop began, and streams last for seconds. Seen on a day with a planned stop.
    """
    bench = make_engine_harness()
    bench.publish_update(
        samples.make_target_view("e1", ["m0"]),
        samples.make_target_view("e2", ["m0"]),
    )
    bench.gateway.drain(bench.now + samples.seconds(7), bench.now)
    bench.advance(samples.seconds(2))
    assert samples.filter_by_type(
        bench.submit("/rare/1", model="m0"), requests.Send
    )
    bench.advance(samples.seconds(1))
    (refusal,) = bench.submit("/rare/2", model="m0")
    assert (refusal.status, refusal.may_have_run) == (503, False)
    assert refusal.retry_after < samples.seconds(1)


def test_a_draining_process_serves_requests_that_can_finish():
    """Guards against refusals of what still fits into the time left."""
    bench = make_plain_harness()
    bench.gateway.drain(bench.now + samples.seconds(7), bench.now)
    bench.advance(samples.seconds(6))
    assert samples.filter_by_type(bench.submit("/look/1"), requests.Send)
    bench.advance(samples.ms(900))
    (refusal,) = bench.submit("/look/2")
    assert (refusal.status, refusal.may_have_run) == (503, False)


def test_a_request_whose_worker_failed_releases_its_target():
    """Guards against places on a target that are never given back."""
    bench = make_plain_harness(1)
    (send,) = bench.submit("/look/1")
    bench.step(requests.RequestEnded(bench.token))
    assert bench.fleet.count_own_requests(send.target) == 0
    assert bench.gateway.in_progress_count == 0
