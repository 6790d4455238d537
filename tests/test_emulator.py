"""The emulator conserves requests, and the naive policy serves a trace."""

import datetime

from quetzalgauge import emulator
from quetzalgauge import ids
from quetzalgauge import naive
from quetzalgauge import traces

_GIB = 1 << 30
_LENGTH = datetime.timedelta(hours=4)
_ZONE = ids.AvailabilityZone("tx-central-a")


def _site(models):
    return emulator.Site(
        zones=[_ZONE],
        region=ids.Region("tx-central"),
        targets=[_ZONE, _ZONE],
        entries=[_ZONE] * 4,
        models=[emulator.ModelSpec(name, 16 * _GIB) for name in models],
    )


def _run(idle_limit):
    workload = traces.alliance_workload()
    trace = traces.generate(workload, _LENGTH * 3, seed=2)
    trace = [request for request in trace if request.arrival < _LENGTH * 3]
    world = emulator.World(_site(workload.models))
    naive.make_naive_policy(idle_limit, seed=1)(world)
    return trace, world.run(trace, _LENGTH * 3)


def test_every_request_is_served_once_or_still_waits():
    """Guards against figures from a run that loses or repeats requests."""
    trace, result = _run(datetime.timedelta(minutes=5))
    started = [id(wait.request) for wait in result.waits]
    assert len(started) == len(set(started))
    assert len(started) + result.unserved == len(trace)


def test_longer_idle_limit_trades_idle_hours_for_cold_starts():
    """Guards against an idle count that does not follow the idle limit."""
    _, short = _run(datetime.timedelta(seconds=30))
    _, long = _run(datetime.timedelta(hours=1))
    assert short.idle_accelerator_hours < long.idle_accelerator_hours
    assert sum(wait.was_cold for wait in short.waits) > sum(
        wait.was_cold for wait in long.waits
    )


def test_downloads_beyond_the_limit_take_longer():
    """Guards against a weight store that any number of loads can share."""
    clock = emulator.Clock()
    store = emulator.Store(clock)
    ended = []
    for _ in range(8):
        store.download(4 * _GIB, lambda: ended.append(clock.now))
    clock.run_until(datetime.timedelta(minutes=5))
    full_speed = 4 * _GIB / store.BYTES_PER_SECOND
    assert ended[0].total_seconds() < full_speed + 0.1
    assert ended[-1].total_seconds() > 1.9 * full_speed
