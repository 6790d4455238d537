"""The list of waiting models follows every report."""

import datetime

from quetzalgauge import demand
from quetzalgauge.gen import ttypes


def _put(demands, model, waiting, priority=5, at=0):
    report = ttypes.Demand(
        model=model,
        version="v1",
        waiting=waiting,
        running=0,
        oldest_wait_s=0.1,
        priority=priority,
        origin="entry-1",
    )
    demands.put(report, True, datetime.timedelta(seconds=at))


def _waiting(demands):
    return [servable.model for servable in demands.waiting()]


def test_waiting_models_follow_reports_and_time():
    """Guards against a kept answer that is out of date."""
    demands = demand.Demands()
    assert _waiting(demands) == []
    _put(demands, "a", 1)
    assert _waiting(demands) == ["a"]
    _put(demands, "b", 1, priority=9, at=1)
    assert _waiting(demands) == ["b", "a"]
    demands.expire(datetime.timedelta(seconds=2))
    assert _waiting(demands) == ["b"]
    _put(demands, "b", 0, at=2)
    assert _waiting(demands) == []
