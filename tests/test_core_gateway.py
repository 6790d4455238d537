"""Requests of callers in the core: where, when and how often they are sent."""

import dataclasses

import core_samples as samples
import pytest

from quetzalgauge.core import gateway
from quetzalgauge.core import requests

Failure = requests.Failure


def plain_bench(count=3, **more):
    return samples.GatewayBench(
        [samples.make_target(f"p{number}") for number in range(count)], **more
    )


def engine_bench(**more):
    entries = [
        samples.make_target(
            name, samples.ENGINES, slots=48, models=["m0"], disk=["m0", "m1"]
        )
        for name in ("e1", "e2")
    ]
    return samples.GatewayBench(entries, **more)


def test_a_request_without_configuration_is_not_answered_404():
    """Guards against a fresh instance that denies routes it cannot know."""
    bench = plain_bench()
    bench.gateway._configuration = None
    (refusal,) = bench.arrive("/look/1")
    assert (refusal.status, refusal.run) == (503, False)


def test_an_unknown_path_is_answered_404():
    """Guards against requests that reach some other route's service."""
    bench = plain_bench()
    (refusal,) = bench.arrive("/elsewhere/1")
    assert refusal.status == 404


def test_a_plain_request_is_sent_at_once():
    """Guards against a needless wait while places are free."""
    (send,) = plain_bench().arrive("/look/1")
    assert isinstance(send, requests.Send)


def test_the_deadline_is_the_shorter_of_route_and_caller():
    """Guards against requests held past the route's timeout."""
    bench = plain_bench()
    (send,) = bench.arrive("/look/1", patience=samples.seconds(60))
    assert send.deadline == bench.now + samples.seconds(1)
    (send,) = bench.arrive("/look/1", patience=samples.ms(400))
    assert send.deadline == bench.now + samples.ms(400)


@pytest.mark.parametrize(
    "failure", [Failure.CUT, Failure.SILENT, Failure.MISMATCH]
)
def test_an_unsafe_request_that_may_have_run_is_not_repeated(failure):
    """Guards against a booking that runs twice, and a false "not run"."""
    bench = plain_bench()
    bench.arrive("/book/1")
    (refusal,) = bench.fail(failure)
    assert (refusal.status, refusal.run) == (502, True)


@pytest.mark.parametrize("failure", sorted(requests.NOT_RUN, key=str))
def test_an_unsafe_request_that_did_not_run_goes_elsewhere(failure):
    """Guards against refusals of requests that another target could run."""
    bench = plain_bench()
    bench.arrive("/book/1")
    actions = bench.fail(failure) or bench.advance(samples.ms(20))
    assert samples.only(actions, requests.Send)


def test_a_safe_request_is_repeated_on_another_target():
    """Guards against a repeat on the target that has just failed."""
    bench = plain_bench(2)
    (first,) = bench.arrive("/look/1")
    (second,) = bench.fail(Failure.CUT)
    assert second.target != first.target


def test_attempts_of_the_route_bound_the_targets_that_run_a_request():
    """Guards against more runs than the operator allows."""
    bench = plain_bench(5)
    bench.arrive("/look/1")
    bench.fail(Failure.CUT)
    (refusal,) = bench.fail(Failure.CUT)
    assert isinstance(refusal, requests.Refuse)


def test_a_held_answer_is_passed_on_when_nothing_is_left():
    """Guards against an answer of a target replaced by a failure."""
    bench = plain_bench(1)
    bench.arrive("/look/1")
    actions = bench.fail(Failure.ERROR, status=500, holds_answer=True)
    actions += bench.advance(samples.ms(900))
    assert samples.only(actions, requests.Relay)


def test_repeats_stay_within_the_budget():
    """Guards against a fault that multiplies load: 200 failures at once."""
    bench = plain_bench(50, slack=10.0, in_progress=1000)
    for _ in range(200):
        bench.arrive("/look/1")
    repeats = 0
    for token in range(1, 201):
        repeats += len(
            samples.only(bench.fail(Failure.CUT, token), requests.Send)
        )
    assert repeats <= 10 + 0.2 * 200


def test_unreachable_targets_cost_no_budget():
    """Guards against a budget spent on requests that arrived nowhere."""
    bench = plain_bench(3, slack=0.0)
    bench.gateway._limits = bench.gateway._limits
    bench.arrive("/book/1")
    assert samples.only(bench.fail(Failure.UNREACHABLE), requests.Send)


def test_a_caller_that_leaves_ends_a_repeatable_request():
    """Guards against work for callers that have gone."""
    bench = plain_bench()
    bench.arrive("/look/1")
    (cancel,) = bench.step(requests.CallerGone(bench.token))
    assert cancel.failure is Failure.ABANDONED


def test_a_caller_that_leaves_does_not_stop_an_unsafe_request():
    """Guards against a booking that is cut in the middle."""
    bench = plain_bench()
    bench.arrive("/book/1")
    assert bench.step(requests.CallerGone(bench.token)) == []


def test_a_waiting_request_of_a_caller_that_left_is_never_sent():
    """Guards against requests that reach a target after their caller left."""
    bench = engine_bench()
    assert bench.arrive("/rare/1", model="m1") == []
    bench.step(requests.CallerGone(bench.token))
    actions = bench.change(
        samples.make_target("e3", samples.ENGINES, slots=48, models=["m1"])
    )
    assert samples.only(actions, requests.Send) == []


def test_a_request_past_its_time_is_cancelled_and_answered():
    """Guards against requests that hang for ever on a silent target."""
    bench = plain_bench(1)
    bench.arrive("/book/1")
    (cancel,) = samples.only(
        bench.advance(samples.seconds(1.1)), requests.Cancel
    )
    assert cancel.failure is Failure.TIMEOUT
    (refusal,) = bench.fail(Failure.TIMEOUT)
    assert (refusal.status, refusal.run) == (504, True)


def test_a_leaving_target_gets_nothing():
    """Guards against work for a target that has said it leaves."""
    bench = plain_bench(2)
    bench.change(samples.make_target("p0", leaving=True))
    for _ in range(5):
        (send,) = bench.arrive("/look/1")
        assert send.target == "p1"


def test_a_request_in_a_queue_forgets_a_target_that_leaves_meanwhile():
    """Guards against a request queued before the notice and sent after it."""
    bench = engine_bench()
    bench.arrive("/live/1", model="m0", adapter="a1")
    waits_for = bench.gateway._calls[bench.token].target.target
    bench.change(
        samples.make_target(
            waits_for, samples.ENGINES, slots=48, models=["m0"], leaving=True
        )
    )
    assert bench.gateway._calls[bench.token].target.target != waits_for


def test_only_so_many_requests_are_in_progress():
    """Guards against more requests than threads, which would go unread."""
    bench = plain_bench(in_progress=2)
    bench.arrive("/look/1")
    bench.arrive("/look/1")
    (refusal,) = bench.arrive("/look/1")
    assert (refusal.status, refusal.run) == (503, False)


def test_a_stream_goes_on_after_the_event_that_the_caller_has():
    """Guards against a resumed stream that begins at its first event."""
    bench = engine_bench()
    (send,) = bench.arrive("/live/1", model="m0", last_event="12")
    assert send.resume_after == "12"


def test_a_cut_stream_goes_on_elsewhere():
    """Guards against streams lost with their engine."""
    bench = engine_bench()
    (first,) = bench.arrive("/live/1", model="m0")
    bench.step(requests.FirstPart(bench.token))
    (second,) = bench.fail(Failure.CUT, last_event="7")
    assert second.target != first.target
    assert second.resume_after == "7"


def test_a_cut_stream_that_may_not_run_twice_is_torn():
    """Guards against joined pieces of two runs."""
    bench = engine_bench()
    bench.arrive("/rare/1", model="m0")
    bench.step(requests.FirstPart(bench.token))
    (abort,) = bench.fail(Failure.CUT, last_event="7")
    assert isinstance(abort, requests.Abort)


def test_the_only_engine_with_a_model_is_not_given_up_for_silence():
    """Guards against a burst that is cancelled while its prompts are read.

    Fifty requests for a model that has just been loaded are read one after
    the other; with nowhere else to go they are waited for.
    """
    entry = samples.make_target("e1", samples.ENGINES, slots=48, models=["m0"])
    bench = samples.GatewayBench([entry])
    (send,) = bench.arrive("/live/1", model="m0")
    assert send.first_by == send.deadline


def test_a_request_for_a_cold_model_waits_while_it_can_be_served():
    """Guards against refusals of rare models: the burst for an idle one."""
    bench = engine_bench()
    bench.publish(samples.view("e1", ["m0"]), samples.view("e2", ["m0"]))
    assert bench.arrive("/rare/1", model="m1") == []
    assert bench.gateway.wanted.is_urgent
    actions = bench.publish(samples.view("e1", ["m0", "m1"]))
    assert [send.target for send in actions] == ["e1"]


def test_what_cannot_be_served_in_time_is_refused_at_once():
    """Guards against requests held until they are hopeless.

    The holder may give orders only after 15 s, and a caller of this route
    leaves after 10 s of silence.
    """
    bench = engine_bench()
    bench.publish(
        samples.view("e1", ["m0"]), samples.view("e2", ["m0"]), orders_in=15.0
    )
    (refusal,) = bench.arrive("/rare/1", model="m1")
    assert (refusal.status, refusal.run) == (503, False)
    assert refusal.retry_after > samples.seconds(15)


def test_a_burst_for_one_model_rides_on_one_load():
    """Guards against a load for each request of a burst."""
    bench = engine_bench()
    bench.publish(samples.view("e1", ["m0"]), samples.view("e2", ["m0"]))
    for _ in range(20):
        assert bench.arrive("/rare/1", model="m1") == []
    report = bench.gateway.wanted.build_report("qg-1", samples.ZONE, bench.now)
    bench.gateway.wanted.choose_zones(samples.make_configuration(), bench.now)
    report = bench.gateway.wanted.build_report("qg-1", samples.ZONE, bench.now)
    assert [(wish.model, wish.waiting) for wish in report.wishes] == [
        ("m1", 20)
    ]
    actions = bench.publish(samples.view("e2", ["m0", "m1"]))
    assert len(samples.only(actions, requests.Send)) == 20


def test_an_adapter_is_fetched_before_the_request_is_sent():
    """Guards against requests that an engine without the adapter rejects."""
    bench = engine_bench()
    bench.publish(samples.view("e1", ["m0"]), samples.view("e2", ["m0"]))
    assert bench.arrive("/live/1", model="m0", adapter="a3") == []
    chosen = bench.gateway._calls[bench.token].target.target
    actions = bench.publish(
        samples.view(chosen, ["m0"], adapters=[("m0", "a3", 0.01)])
    )
    assert actions == []
    (send,) = bench.advance(samples.ms(11))
    assert send.target == chosen


def test_an_engine_that_denies_a_model_is_not_asked_again_at_once():
    """Guards against a loop of rejections that eats the retry budget."""
    bench = engine_bench()
    bench.publish(samples.view("e1", ["m0"]), samples.view("e2", ["m0"]))
    (first,) = bench.arrive("/live/1", model="m0")
    bench.fail(Failure.NOT_LOADED)
    (second,) = bench.advance(samples.ms(20))
    assert second.target != first.target


def test_a_drained_process_refuses_what_is_left():
    """Guards against requests that end in a closed connection."""
    bench = engine_bench()
    bench.publish(samples.view("e1", ["m0"]), samples.view("e2", ["m0"]))
    bench.arrive("/rare/1", model="m1")
    (refusal,) = bench.gateway.cut_off(bench.now)
    assert (refusal.status, refusal.run) == (503, False)


def test_no_adapter_is_waited_for_that_cannot_come_in_time():
    """The pattern: targets that load a model take no order for an adapter.

    Guards against requests that go from one busy target to the next until
    their caller leaves. Seen on trouble-1 at Ferreira: 19 requests.
    """
    bench = engine_bench()
    busy = [
        dataclasses.replace(
            samples.view(name, ["m0"]), busy_for=samples.seconds(6)
        )
        for name in ("e1", "e2")
    ]
    bench.publish(*busy)
    (refusal,) = bench.arrive("/live/1", model="m0", adapter="a3")
    assert (refusal.status, refusal.run) == (503, False)
    assert refusal.retry_after > samples.seconds(5)


def test_no_adapter_is_waited_for_that_nobody_may_order():
    """The pattern: a new holder waits until the one before may not order.

    Guards against requests for adapters that wait until their caller leaves.
    """
    bench = engine_bench()
    views = [samples.view(name, ["m0"]) for name in ("e1", "e2")]
    bench.publish(*views, orders_in=9.0)
    (refusal,) = bench.arrive("/live/1", model="m0", adapter="a3")
    assert (refusal.status, refusal.run) == (503, False)
    assert refusal.retry_after > samples.seconds(8)


def test_an_adapter_in_a_zone_without_a_holder_is_refused_soon():
    """Guards against the same wait while no instance holds the zone."""
    bench = engine_bench()
    bench.publish(samples.view("e1", ["m0"]), samples.view("e2", ["m0"]))
    bench.fleet.record_leader_lost(samples.ZONE)
    bench.arrive("/live/1", model="m0", adapter="a3")
    actions = []
    arrived = bench.now
    while not actions and bench.now < arrived + samples.seconds(5):
        actions = bench.advance(samples.ms(50))
    assert samples.only(actions, requests.Refuse)
    longest = gateway.UNKNOWN_WAIT + gateway.ADAPTER_WAIT
    assert bench.now - arrived <= longest


def test_an_adapter_is_not_waited_for_after_the_right_to_order_has_ended():
    """The pattern: an outage of the store that outlasts the holder's right.

    Guards against the same wait while a holder is there that gives no orders.
    """
    bench = engine_bench()
    views = [samples.view(name, ["m0"]) for name in ("e1", "e2")]
    bench.publish(*views, orders_in=None)
    bench.arrive("/live/1", model="m0", adapter="a3")
    actions = []
    arrived = bench.now
    while not actions and bench.now < arrived + samples.seconds(5):
        actions = bench.advance(samples.ms(50))
        bench.publish(*views, orders_in=None)
    (refusal,) = samples.only(actions, requests.Refuse)
    assert (refusal.status, refusal.run) == (503, False)
    assert bench.now - arrived <= gateway.UNKNOWN_WAIT + gateway.ADAPTER_WAIT


def test_a_stopping_process_refuses_streams_that_it_would_cut():
    """Guards against a late stream that breaks when the process ends.

    The load: callers go on using their open connections for seconds after the
    stop began, and streams last for seconds. Seen on a day with a planned stop.
    """
    bench = engine_bench()
    bench.publish(samples.view("e1", ["m0"]), samples.view("e2", ["m0"]))
    bench.gateway.drain(bench.now + samples.seconds(7), bench.now)
    bench.advance(samples.seconds(2))
    assert samples.only(bench.arrive("/rare/1", model="m0"), requests.Send)
    bench.advance(samples.seconds(1))
    (refusal,) = bench.arrive("/rare/2", model="m0")
    assert (refusal.status, refusal.run) == (503, False)
    assert refusal.retry_after < samples.seconds(1)


def test_a_stopping_process_serves_short_requests_to_the_end():
    """Guards against refusals of what still fits into the time left."""
    bench = plain_bench()
    bench.gateway.drain(bench.now + samples.seconds(7), bench.now)
    bench.advance(samples.seconds(6))
    assert samples.only(bench.arrive("/look/1"), requests.Send)
    bench.advance(samples.ms(900))
    (refusal,) = bench.arrive("/look/2")
    assert (refusal.status, refusal.run) == (503, False)


def test_a_process_counts_no_request_twice_when_its_worker_fails():
    """Guards against places on a target that are never given back."""
    bench = plain_bench(1)
    (send,) = bench.arrive("/look/1")
    bench.step(requests.Ended(bench.token))
    assert bench.fleet.count_own_requests(send.target) == 0
    assert bench.gateway.in_progress == 0
