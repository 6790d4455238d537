"""Traces are repeatable, ordered, and follow their profile."""

import datetime

from quetzalgauge import traces

_DAY = datetime.timedelta(days=1)


def test_equal_seeds_give_equal_traces():
    """Guards against figures that nobody can repeat."""
    workload = traces.ferreira_workload()
    first = traces.generate(workload, _DAY, seed=7)
    assert first == traces.generate(workload, _DAY, seed=7)
    assert first != traces.generate(workload, _DAY, seed=8)


def test_trace_is_ordered_and_within_its_length():
    """Guards against an emulator that would have to move its clock back."""
    trace = traces.generate(traces.alliance_workload(), _DAY, seed=1)
    arrivals = [request.arrival for request in trace]
    assert arrivals == sorted(arrivals)
    assert arrivals[-1] < _DAY


def test_sessions_follow_the_hourly_profile():
    """Guards against a trace without quiet hours, which hides cold starts."""
    trace = traces.generate(traces.ferreira_workload(), _DAY * 5, seed=3)
    per_hour = [0] * 24
    for request in trace:
        per_hour[int(request.arrival.total_seconds() // 3600) % 24] += 1
    assert sum(per_hour[11:15]) > 5 * sum(per_hour[4:7])
