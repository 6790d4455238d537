"""Queue order, predicted waits and early refusals against naive versions."""

import datetime

from hypothesis import given
from hypothesis import strategies
import hypothesis_settings

from quetzalgauge import admission


def seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


LOADS = strategies.lists(
    strategies.builds(
        admission.ReplicaLoad,
        strategies.integers(0, 5),
        strategies.integers(0, 7),
        strategies.sampled_from([0, 0, 0.5, 2, 30]).map(seconds),
    ),
    max_size=5,
)
WAITING = strategies.lists(
    strategies.tuples(strategies.integers(0, 9), strategies.integers(0, 40)),
    max_size=25,
).map(
    lambda rows: [
        admission.Waiting(number, priority, seconds(deadline), number)
        for number, (priority, deadline) in enumerate(rows)
    ]
)
SERVICE = strategies.sampled_from([0, 0.01, 1, 7]).map(seconds)


def served_by(at, loads, service):
    """Requests that replicas have taken by a time, counted one by one."""
    total = 0.0
    for load in loads:
        start = load.ready_in.total_seconds()
        if load.slots == 0 or start > at:
            continue
        if service == datetime.timedelta():
            return float("inf")
        total += max(0, load.slots - load.busy)
        total += load.slots * (at - start) / service.total_seconds()
    return total


def naive_wait(position, loads, service):
    if not any(load.slots for load in loads):
        return None
    low, high = 0.0, 10_000.0
    if served_by(0.0, loads, service) >= position + 1:
        return 0.0
    for _ in range(80):
        middle = (low + high) / 2
        if served_by(middle, loads, service) >= position + 1:
            high = middle
        else:
            low = middle
    return high


@hypothesis_settings.make()
@given(strategies.integers(0, 30), LOADS, SERVICE)
def test_predicted_wait_equals_a_search_over_time(position, loads, service):
    """Guards against refusals that come too early or too late."""
    wanted = naive_wait(position, loads, service)
    found = admission.make_predictor(loads, service)(position)
    if wanted is None:
        assert found is None
    else:
        assert abs(found.total_seconds() - wanted) < 1e-4


@hypothesis_settings.make()
@given(WAITING, strategies.data())
def test_queue_equals_a_sorted_list(entries, data):
    """Guards against a request that is lost or served out of order."""
    queue = admission.WaitingQueue()
    naive = []
    for waiting in entries:
        queue.add(waiting)
        naive.append(waiting)
        naive.sort(key=lambda one: (-one.priority, one.deadline, one.sequence))
        if naive and data.draw(strategies.booleans()):
            gone = data.draw(strategies.sampled_from(naive))
            assert queue.remove(gone)
            assert not queue.remove(gone)
            naive.remove(gone)
        assert list(queue) == naive
    limit = data.draw(strategies.integers(0, 10))
    assert queue.take_excess(limit) == naive[limit:]
    assert list(queue) == naive[:limit]


def naive_hopeless(entries, loads, service, now):
    """Removes the first request that cannot start in time, and repeats."""
    left = list(entries)
    removed = []
    while True:
        for position, waiting in enumerate(left):
            wait = admission.make_predictor(loads, service)(position)
            start = now + (wait or datetime.timedelta())
            if start >= waiting.deadline:
                removed.append(left.pop(position))
                break
        else:
            return removed


@hypothesis_settings.make()
@given(WAITING, LOADS, SERVICE)
def test_hopeless_requests_equal_a_search_one_by_one(entries, loads, service):
    """Guards against a request that waits although it cannot be served."""
    queue = admission.WaitingQueue()
    for waiting in entries:
        queue.add(waiting)
    found = admission.find_hopeless(queue, loads, service, seconds(3))
    assert [one for one, _ in found] == naive_hopeless(
        queue, loads, service, seconds(3)
    )


def test_service_time_follows_measurements():
    """Guards against predictions from the first request for ever."""
    times = admission.ServiceTime()
    assert times.mean == datetime.timedelta()
    times.record(seconds(10))
    for _ in range(40):
        times.record(seconds(1))
    assert times.mean < seconds(1.01)
