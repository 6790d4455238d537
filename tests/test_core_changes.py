"""Tests what a new configuration changes for requests in progress."""

import core_samples as samples


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
