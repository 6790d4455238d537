"""Tests what a new configuration changes for requests in progress."""

import dataclasses

import core_samples as samples
import pytest


def make_configuration(version, **route_options):
    """Returns a configuration with one safe route, with these options."""
    options = {
        "prefix": "/look/",
        "kind": samples.configuration.RouteKind.SAFE,
        "service": samples.PLAIN_SERVICE,
        "timeout": 1.5,
    }
    route = samples.make_route(**(options | route_options))
    return samples.make_configuration(version, [route])


def take_request_line(harness):
    """Returns the fields of the last log line of a request."""
    (fields,) = (
        event.fields
        for event in harness.gateway.take_log_events()
        if event.name == "request"
    )
    return fields


def test_the_last_line_tells_the_time_allowed_and_both_versions():
    """Guards against logs that do not tell which version ended a request."""
    harness = samples.GatewayHarness(
        [samples.make_target("p0")], config=make_configuration(1)
    )
    harness.submit("/look/1")
    harness.configure(make_configuration(2))
    harness.advance(samples.seconds(0.5))
    harness.fail_attempt(None, status=200)
    fields = take_request_line(harness)
    assert fields["deadline_ms"] == 1500.0
    assert fields["configuration"] == 1
    assert fields["configuration_at_end"] == 2


def make_harness(*target_names, slots=6, **route_options):
    """Returns a harness with targets of the service of `make_configuration`."""
    return samples.GatewayHarness(
        [samples.make_target(name, slots=slots) for name in target_names],
        config=make_configuration(1, **route_options),
    )


def advance(harness, duration):
    """Advances the clock in steps; returns the actions but for `Send`."""
    end = harness.now + samples.seconds(duration)
    actions = []
    while harness.now < end:
        actions += harness.advance(min(samples.ms(50), end - harness.now))
    return [
        action
        for action in actions
        if not isinstance(action, samples.requests.Send)
    ]


@pytest.mark.parametrize("kind", samples.configuration.RouteKind)
def test_a_sent_request_gets_the_longer_timeout(kind):
    """Guards against requests canceled at the timeout of an older version."""
    harness = make_harness("p0", kind=kind)
    harness.submit("/look/1")
    advance(harness, 0.6)
    harness.configure(make_configuration(2, kind=kind, timeout=6.0))
    assert advance(harness, 5.3) == []
    (cancellation,) = advance(harness, 0.2)
    assert cancellation.failure is samples.requests.Failure.DEADLINE_EXCEEDED


def test_a_queued_request_gets_the_longer_timeout():
    """Guards against requests refused at the timeout of an older version."""
    harness = make_harness("p0", slots=0)
    harness.submit("/look/1", timeout=samples.seconds(9))
    assert harness.submit("/look/1") == []
    advance(harness, 0.6)
    harness.configure(make_configuration(2, timeout=6.0))
    assert advance(harness, 5.3) == []
    (refusal,) = samples.filter_by_type(
        advance(harness, 0.2), samples.requests.Refuse
    )
    assert (refusal.local_id, refusal.status) == (2, 503)


def test_a_caller_is_not_kept_longer_than_it_waits():
    """Guards against work for callers that have left."""
    harness = make_harness("p0")
    harness.submit("/look/1", timeout=samples.seconds(2))
    harness.configure(make_configuration(2, timeout=6.0))
    assert advance(harness, 1.9) == []
    (cancellation,) = advance(harness, 0.2)
    assert cancellation.failure is samples.requests.Failure.DEADLINE_EXCEEDED


def test_the_longest_of_several_timeouts_holds():
    """Guards against requests that a series of versions cuts off."""
    harness = make_harness("p0")
    harness.submit("/look/1")
    for version, timeout in enumerate((1.0, 6.0, 2.0, 0.5), 2):
        harness.configure(make_configuration(version, timeout=timeout))
        assert advance(harness, 0.2) == []
    assert advance(harness, 5.1) == []
    assert len(advance(harness, 0.2)) == 1


def test_a_lowered_timeout_ends_no_request():
    """Guards against requests cut off at a timeout that came after them."""
    harness = make_harness("p0")
    harness.submit("/look/1")
    harness.configure(make_configuration(2, timeout=0.5))
    assert advance(harness, 1.4) == []
    assert len(advance(harness, 0.2)) == 1


OTHER_ROUTES = {
    "removed": {"prefix": "/other/"},
    "moved": {"service": samples.ENGINE_SERVICE},
    "of another kind": {"kind": samples.configuration.RouteKind.UNSAFE},
}


@pytest.mark.parametrize("options", OTHER_ROUTES.values(), ids=OTHER_ROUTES)
def test_another_route_leaves_a_request_as_it_was(options):
    """Guards against requests judged by a route that is not theirs."""
    harness = make_harness("p0")
    harness.submit("/look/1")
    harness.configure(make_configuration(2, timeout=6.0, **options))
    assert advance(harness, 1.4) == []
    assert len(advance(harness, 0.2)) == 1


def test_a_repeated_attempt_gets_the_longer_timeout():
    """Guards against a retry that is cut off at an older timeout."""
    harness = make_harness("p0", "p1")
    harness.submit("/look/1")
    harness.configure(make_configuration(2, timeout=6.0))
    (send,) = harness.fail_attempt(samples.requests.Failure.CONNECTION_LOST)
    assert send.deadline == harness.now + samples.seconds(6)


TOLD_MS = {
    samples.configuration.RouteKind.SAFE: 4000,
    samples.configuration.RouteKind.STREAM: 4000,
    samples.configuration.RouteKind.UNSAFE: 1500,
}


@pytest.mark.parametrize("kind", TOLD_MS)
def test_targets_are_told_how_long_they_may_work(kind):
    """Guards against targets that stop at the timeout of an older version.

    And against unsafe requests that run after their caller got 504.
    """
    harness = make_harness("p0", kind=kind)
    (send,) = harness.submit("/look/1", timeout=samples.seconds(4))
    told = send.target_deadline - harness.now
    assert told == samples.ms(TOLD_MS[kind])


def test_a_retry_is_told_what_is_left_of_the_time_of_its_caller():
    """Guards against targets that are handed more time than is left."""
    harness = make_harness("p0", "p1")
    (first,) = harness.submit("/look/1", timeout=samples.seconds(4))
    advance(harness, 0.2)
    (second,) = harness.fail_attempt(samples.requests.Failure.CONNECTION_LOST)
    assert second.target_deadline == first.target_deadline


def test_without_a_limit_of_the_caller_targets_are_told_the_timeout():
    """Guards against targets that are told no limit."""
    harness = make_harness("p0")
    (send,) = harness.submit("/look/1")
    assert send.target_deadline == send.deadline


def test_a_stream_waits_as_long_as_its_caller_by_the_newer_version():
    """Guards against refusals by the patience of an older version."""
    kind = samples.configuration.RouteKind.STREAM
    harness = make_harness("p0", slots=0, kind=kind, timeout=20.0)
    harness.submit("/look/1", timeout=samples.seconds(30))
    assert harness.submit("/look/1") == []
    harness.configure(
        make_configuration(2, kind=kind, timeout=20.0, target_latency=2.5)
    )
    assert advance(harness, 9.8) == []
    (refusal,) = advance(harness, 0.3)
    assert (refusal.local_id, refusal.status) == (2, 503)


def test_a_shorter_latency_leaves_a_stream_its_patience():
    """Guards against refusals by a patience that came after the request."""
    kind = samples.configuration.RouteKind.STREAM
    harness = make_harness(
        "p0", slots=0, kind=kind, timeout=20.0, target_latency=2.5
    )
    harness.submit("/look/1", timeout=samples.seconds(30))
    assert harness.submit("/look/1") == []
    harness.configure(make_configuration(2, kind=kind, timeout=20.0))
    assert advance(harness, 9.8) == []
    assert len(advance(harness, 0.3)) == 1


def test_leaders_are_told_the_latency_that_a_caller_arrived_with():
    """Guards against waiting requests that lose their urgency."""
    options = {
        "kind": samples.configuration.RouteKind.STREAM,
        "service": samples.ENGINE_SERVICE,
        "timeout": 20.0,
    }
    harness = samples.GatewayHarness(
        [
            samples.make_target(
                "e1", samples.ENGINE_SERVICE, models=["m0"], disk=["m1"]
            )
        ],
        config=make_configuration(1, **options),
    )
    harness.publish_update(samples.make_target_view("e1", ["m0"]))
    assert harness.submit("/look/1", "m1") == []
    newer = make_configuration(2, target_latency=2.5, **options)
    harness.configure(newer)
    assert harness.advance(samples.ms(100)) == []
    reporter = harness.gateway.demand_reporter
    reporter.choose_zones(newer, harness.now)
    report = reporter.build_report("qg-1", samples.ZONE, harness.now)
    (demand,) = report.model_demands
    assert demand.slacks == (samples.ms(150),)


@pytest.mark.parametrize(("before", "after"), [(1, 3), (3, 1)])
def test_the_lower_number_of_attempts_holds(before, after):
    """Guards against requests on more targets than a version allows."""
    harness = make_harness("p0", "p1", "p2", max_attempts=before)
    harness.submit("/look/1")
    harness.configure(make_configuration(2, max_attempts=after))
    (refusal,) = harness.fail_attempt(samples.requests.Failure.CONNECTION_LOST)
    assert (refusal.status, refusal.reason) == (502, "attempts_used")


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True)])
def test_what_one_version_forbids_to_repeat_is_not_repeated(before, after):
    """Guards against two runs of a request that may run once."""
    kind = samples.configuration.RouteKind.STREAM
    harness = make_harness("p0", "p1", kind=kind, resumable=before)
    harness.submit("/look/1")
    harness.configure(make_configuration(2, kind=kind, resumable=after))
    (refusal,) = harness.fail_attempt(samples.requests.Failure.CONNECTION_LOST)
    assert (refusal.status, refusal.may_have_run) == (502, True)


FORBIDDING = {"attempts": {"max_attempts": 1}, "resuming": {"resumable": False}}


@pytest.mark.parametrize("options", FORBIDDING.values(), ids=FORBIDDING)
def test_a_retry_that_waits_is_given_up_if_it_is_forbidden(options):
    """Guards against a request that waits although it may not be sent."""
    common = {"kind": samples.configuration.RouteKind.STREAM}
    common |= {"resumable": True, "max_attempts": 2}
    harness = make_harness("p0", **common)
    harness.submit("/look/1")
    failure = samples.requests.Failure.CONNECTION_LOST
    assert harness.fail_attempt(failure) == []
    (refusal,) = harness.configure(make_configuration(2, **common | options))
    assert (refusal.status, refusal.reason) == (502, "attempts_used")


def make_engine_harness():
    """Returns a harness with two targets that have m0 and m2."""
    targets = [
        samples.make_target(
            name, samples.ENGINE_SERVICE, models=["m0", "m2"], disk=["m1"]
        )
        for name in ("e1", "e2")
    ]
    harness = samples.GatewayHarness(targets)
    harness.publish_update(
        *(
            samples.make_target_view(target.target, ["m0", "m2"])
            for target in targets
        )
    )
    return harness


REMOVALS = {
    "model": lambda: samples.make_configuration(2, models=samples.MODELS[:1]),
    "service": lambda: samples.configuration.Configuration(
        2, [], [], samples.configuration.CallerLimits()
    ),
}


@pytest.mark.parametrize("remove", REMOVALS.values(), ids=REMOVALS)
@pytest.mark.parametrize("adapter", [None, "a1"])
def test_a_request_that_waits_for_what_is_removed_is_refused(remove, adapter):
    """Guards against requests without an answer after their model is gone."""
    harness = make_engine_harness()
    model = "m2" if adapter else "m1"
    assert harness.submit("/rare/1", model, adapter) == []
    harness.configure(remove())
    (refusal,) = advance(harness, 2.0)
    assert (refusal.status, refusal.may_have_run) == (503, False)


@pytest.mark.parametrize("remove", REMOVALS.values(), ids=REMOVALS)
def test_a_stream_goes_on_though_its_model_is_removed(remove):
    """Guards against streams that a version cuts off at its arrival."""
    harness = make_engine_harness()
    harness.submit("/live/1", "m2")
    harness.handle_event(samples.requests.ResponseStarted(1))
    harness.configure(remove())
    assert advance(harness, 5.0) == []
    harness.fail_attempt(None, status=200)
    assert take_request_line(harness)["outcome"] == "answered 200"


def make_changed_configuration(route=None, services=None, **route_values):
    """Returns a second version in which a route or the services differ."""
    base = make_configuration(2)
    route = base.find_route(samples.HOST, "/look/1")
    return samples.configuration.Configuration(
        2,
        [dataclasses.replace(route, **route_values)],
        (dict(base.services) | (services or {})).values(),
        base.limits,
    )


def make_backends(**weights):
    return tuple(
        samples.configuration.Backend(service, weight)
        for service, weight in weights.items()
    )


ENGINE = make_configuration(1).services[samples.ENGINE_SERVICE]
OTHER_VALUES = {
    "priority": {"priority": 7},
    "weights": {
        "backends": make_backends(
            **{samples.PLAIN_SERVICE: 0.1, samples.ENGINE_SERVICE: 0.9}
        )
    },
    "no weight": {"backends": make_backends(**{samples.PLAIN_SERVICE: 0.0})},
    "max_conns": {
        "services": {
            samples.PLAIN_SERVICE: samples.configuration.Service(
                samples.PLAIN_SERVICE, 1
            )
        }
    },
    "engine": {
        "services": {
            samples.ENGINE_SERVICE: dataclasses.replace(
                ENGINE,
                engine=dataclasses.replace(
                    ENGINE.engine,
                    slots=1,
                    kv_cache_tokens=1,
                    memory_mb=1.0,
                    adapter_slots=0,
                    models={},
                ),
            )
        }
    },
}


@pytest.mark.parametrize("values", OTHER_VALUES.values(), ids=OTHER_VALUES)
@pytest.mark.parametrize("is_sent", [True, False], ids=["sent", "waiting"])
def test_other_values_end_no_request(values, is_sent):
    """Guards against requests that end as a value changes they do not use."""
    harness = make_harness("p0", slots=1 if is_sent else 0)
    harness.submit("/look/1")
    if not is_sent:
        assert harness.submit("/look/1") == []
    changed = make_changed_configuration(**values)
    assert harness.configure(changed) == []
    assert advance(harness, 0.5) == []
    harness.fail_attempt(None, status=200, local_id=1)
    assert take_request_line(harness)["outcome"] == "answered 200"
