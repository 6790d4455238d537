"""Metrics of a process, in the Prometheus text format.

One object per process holds the metrics. Entry and control processes share
the names, so that one dashboard serves both.
"""

from collections.abc import Sequence
import datetime

import prometheus_client
from prometheus_client import core as prometheus_core

from quetzalgauge import ids
from quetzalgauge import messages

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# From a resident adapter (milliseconds) to a checkpoint from the weight store.
COLD_START_BUCKETS_SECONDS = (
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
    15.0,
    30.0,
    60.0,
    120.0,
    300.0,
)
# A longer gap between two reports of a target is not counted as idle.
_MAX_IDLE_STEP = datetime.timedelta(seconds=10)


class Metrics:
    """The metrics of one process. Threads may share it."""

    def __init__(self) -> None:
        self._registry = prometheus_core.CollectorRegistry()
        registry = self._registry
        self._cold_starts = prometheus_client.Histogram(
            "quetzalgauge_cold_start_seconds",
            "Time from arrival to the first byte of requests that waited"
            " for a load.",
            buckets=COLD_START_BUCKETS_SECONDS,
            registry=registry,
        )
        self._idle = prometheus_client.Counter(
            "quetzalgauge_idle_accelerator_seconds",
            "Accelerator time of targets with a loaded model and no request.",
            ["service"],
            registry=registry,
        )
        self._refusals = prometheus_client.Counter(
            "quetzalgauge_refusals",
            "Refused requests.",
            ["code", "run"],
            registry=registry,
        )
        self._queued = prometheus_client.Gauge(
            "quetzalgauge_queue_length",
            "Requests that wait for a target.",
            ["model"],
            registry=registry,
        )
        self._retries = prometheus_client.Counter(
            "quetzalgauge_retries",
            "Requests that were sent again.",
            registry=registry,
        )
        self._requests = prometheus_client.Counter(
            "quetzalgauge_requests",
            "Answered requests by HTTP status.",
            ["status"],
            registry=registry,
        )
        self._lag = prometheus_client.Gauge(
            "quetzalgauge_ledger_lag_records",
            "Records of a stream that this process has not folded yet.",
            ["stream"],
            registry=registry,
        )
        self._log_failures = prometheus_client.Counter(
            "quetzalgauge_log_failures",
            "Failed calls of the log service.",
            ["call"],
            registry=registry,
        )
        self._orders = prometheus_client.Counter(
            "quetzalgauge_orders",
            "Orders to targets.",
            ["action", "outcome"],
            registry=registry,
        )
        self._errors = prometheus_client.Counter(
            "quetzalgauge_internal_errors",
            "Events that the control core could not handle.",
            ["event"],
            registry=registry,
        )

    def observe_cold_start(self, duration: datetime.timedelta) -> None:
        """Counts a request that waited for a load."""
        self._cold_starts.observe(duration.total_seconds())

    def count_idle(self, service: str, seconds: float) -> None:
        """Adds idle accelerator time."""
        self._idle.labels(service).inc(seconds)

    def count_refusal(self, code: str, run: str) -> None:
        """Counts a refused request; `run` is `not_run` or `unknown`."""
        self._refusals.labels(code, run).inc()

    def set_queue_length(self, model: str, length: int) -> None:
        """Sets the number of waiting requests; 0 forgets the model."""
        if length:
            self._queued.labels(model).set(length)
            return
        # 41,000 adapters would otherwise leave a series each.
        self._queued.remove_by_labels({"model": model})

    def count_retry(self) -> None:
        """Counts a request that was sent again."""
        self._retries.inc()

    def count_request(self, status: int) -> None:
        """Counts an answered request."""
        self._requests.labels(str(status)).inc()

    def set_ledger_lag(self, stream: ids.StreamName, lag: int) -> None:
        """Sets how many records of a stream are not folded yet."""
        self._lag.labels(stream).set(lag)

    def count_log_failure(self, call: str) -> None:
        """Counts a failed `read` or `append`."""
        self._log_failures.labels(call).inc()

    def count_order(
        self, action: messages.OrderAction, outcome: messages.OrderOutcome
    ) -> None:
        """Counts an order by its outcome."""
        self._orders.labels(action.value, outcome.value).inc()

    def count_internal_error(self, event: str) -> None:
        """Counts an event that the control core could not handle."""
        self._errors.labels(event).inc()

    def text(self) -> bytes:
        """Returns all metrics in the text format of CONTENT_TYPE."""
        return prometheus_client.generate_latest(self._registry)


class IdleMeter:
    """Adds up idle accelerator time from the reports of targets.

    A target is idle while it has a model loaded and no request. The time
    since the last report counts if both reports say so.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._accelerators: dict[str, tuple[str, int]] = {}
        self._idle_since: dict[str, datetime.timedelta] = {}

    def use_list(self, instances: Sequence[messages.ListedInstance]) -> None:
        """Takes the number of accelerators of each target."""
        self._accelerators = {
            row.instance: (row.service, row.accelerators) for row in instances
        }
        for target in self._idle_since.keys() - self._accelerators.keys():
            del self._idle_since[target]

    def use_status(
        self, status: messages.TargetStatus, now: datetime.timedelta
    ) -> None:
        """Takes a target's report."""
        since = self._idle_since.pop(status.target, None)
        if not _is_idle(status):
            return
        self._idle_since[status.target] = now
        if since is None or now - since > _MAX_IDLE_STEP:
            return
        service, count = self._accelerators.get(status.target, ("", 0))
        seconds = (now - since).total_seconds() * count
        self._metrics.count_idle(service, seconds)


def _is_idle(status: messages.TargetStatus) -> bool:
    ready = [
        model
        for model in status.models
        if model.state is messages.ReplicaState.READY
    ]
    if not ready:
        return False
    return not any(model.running + model.waiting for model in status.models)
