"""Metrics have the names that dashboards use, and bounded series."""

import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import metrics

_SECOND = datetime.timedelta(seconds=1)


def _status(running, state=messages.ReplicaState.READY):
    model = messages.ModelStatus(
        model="m",
        version="v",
        state=state,
        slot=ids.SlotId("m", "z", 0),
        memory_bytes=1,
        running=running,
        waiting=0,
        ready_in=datetime.timedelta(),
    )
    return messages.TargetStatus(
        target="lm-1",
        incarnation="i",
        draining=False,
        fencing_number=1,
        checks_fencing=True,
        accelerator_memory_bytes=1,
        used_bytes=1,
        models=(model,),
        cached={},
    )


_LISTED = messages.ListedInstance(
    instance="lm-1",
    kind=messages.InstanceKind.TARGET,
    address="127.0.0.1:1",
    availability_zone="z",
    region="r",
    state=messages.InstanceState.LIVE,
    incarnation="i",
    service="palomar-lm",
    accelerators=2,
)
_IDLE_LINE = 'quetzalgauge_idle_accelerator_seconds_total{service="palomar-lm"}'


def _idle_seconds(found):
    lines = found.text().decode().splitlines()
    (line,) = [line for line in lines if line.startswith(_IDLE_LINE)] or [
        f"{_IDLE_LINE} 0"
    ]
    return float(line.split()[-1])


def test_idle_time_counts_accelerators_without_requests():
    """Guards against a wrong measure of idle accelerator hours."""
    found = metrics.Metrics()
    meter = metrics.IdleMeter(found)
    meter.use_list([_LISTED])
    idle, busy = _status(0), _status(1)
    meter.use_status(idle, _SECOND * 0)
    meter.use_status(idle, _SECOND * 1)
    assert _idle_seconds(found) == 2.0
    meter.use_status(busy, _SECOND * 2)
    meter.use_status(idle, _SECOND * 3)
    assert _idle_seconds(found) == 2.0
    # Nothing is known about a long gap.
    meter.use_status(idle, _SECOND * 60)
    assert _idle_seconds(found) == 2.0
    loading = _status(0, messages.ReplicaState.LOADING)
    meter.use_status(loading, _SECOND * 61)
    empty = dataclasses.replace(idle, models=())
    meter.use_status(empty, _SECOND * 62)
    meter.use_status(empty, _SECOND * 63)
    assert _idle_seconds(found) == 2.0


def test_all_names_appear_in_the_text():
    """Guards against a renamed metric that a dashboard reads."""
    found = metrics.Metrics()
    found.observe_cold_start(_SECOND * 3)
    found.count_refusal("queue_full", "not_run")
    found.set_queue_length("m", 3)
    found.count_retry()
    found.count_request(200)
    found.set_ledger_lag(ids.CONFIG_STREAM, 4)
    found.count_log_failure("read")
    found.count_order(messages.OrderAction.LOAD, messages.OrderOutcome.ACCEPTED)
    found.count_internal_error("Tick")
    text = found.text().decode()
    for line in (
        'quetzalgauge_cold_start_seconds_bucket{le="4.0"} 1.0',
        'quetzalgauge_refusals_total{code="queue_full",run="not_run"} 1.0',
        'quetzalgauge_queue_length{model="m"} 3.0',
        "quetzalgauge_retries_total 1.0",
        'quetzalgauge_requests_total{status="200"} 1.0',
        'quetzalgauge_ledger_lag_records{stream="config"} 4.0',
        'quetzalgauge_log_failures_total{call="read"} 1.0',
        'quetzalgauge_orders_total{action="load",outcome="accepted"} 1.0',
        'quetzalgauge_internal_errors_total{event="Tick"} 1.0',
    ):
        assert line in text


def test_an_empty_queue_leaves_no_series():
    """Guards against a series for each of 41,000 adapters."""
    found = metrics.Metrics()
    found.set_queue_length("m", 3)
    found.set_queue_length("m", 0)
    found.set_queue_length("m", 0)
    assert 'model="m"' not in found.text().decode()
