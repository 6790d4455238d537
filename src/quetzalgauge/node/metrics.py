"""Metrics of an instance, in the Prometheus text format."""

import datetime

import prometheus_client
from prometheus_client import core as prometheus_core

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# From a plain answer to a load from the weight store.
FIRST_BYTE_BUCKETS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    20.0,
)


class Metrics:
    """The metrics of one process. Threads may share it."""

    def __init__(self) -> None:
        registry = prometheus_core.CollectorRegistry()
        self._registry = registry
        self._requests = prometheus_client.Counter(
            "quetzalgauge_requests",
            "Answered requests by status; `aborted` for torn ones.",
            ["status"],
            registry=registry,
        )
        self._refusals = prometheus_client.Counter(
            "quetzalgauge_refusals",
            "Answers of the system itself.",
            ["reason", "status"],
            registry=registry,
        )
        self._attempt_failures = prometheus_client.Counter(
            "quetzalgauge_attempt_failures",
            "Failed attempts at targets.",
            ["failure"],
            registry=registry,
        )
        self._first_byte = prometheus_client.Histogram(
            "quetzalgauge_first_part_seconds",
            "From a request to the first part of its answer.",
            buckets=FIRST_BYTE_BUCKETS_SECONDS,
            registry=registry,
        )
        self._orders = prometheus_client.Counter(
            "quetzalgauge_orders",
            "Orders to targets by outcome.",
            ["operation", "outcome"],
            registry=registry,
        )
        self._invalid_records = prometheus_client.Counter(
            "quetzalgauge_invalid_records",
            "Records of the store that could not be read.",
            ["kind"],
            registry=registry,
        )
        self._in_progress = prometheus_client.Gauge(
            "quetzalgauge_requests_in_progress",
            "Requests in progress.",
            registry=registry,
        )
        self._waiting = prometheus_client.Gauge(
            "quetzalgauge_requests_waiting",
            "Requests that wait for a target.",
            registry=registry,
        )
        self._store_loads = prometheus_client.Gauge(
            "quetzalgauge_weight_store_loads",
            "Loads from the weight store under way, as a holder sees them.",
            registry=registry,
        )
        self._models_without_copy = prometheus_client.Gauge(
            "quetzalgauge_models_without_copy",
            "Models that were asked for and that no target has a copy of,"
            " as a holder sees them.",
            registry=registry,
        )
        self._models_without_orders = prometheus_client.Gauge(
            "quetzalgauge_models_without_orders",
            "Models whose adapters were asked for and that only targets"
            " without a holder have, as a holder sees them.",
            registry=registry,
        )
        self._dropped_log_lines = prometheus_client.Gauge(
            "quetzalgauge_log_lines_left_out",
            "Log lines that were not written.",
            registry=registry,
        )

    def count_request(self, status: str) -> None:
        """Counts an answered request."""
        self._requests.labels(status).inc()

    def count_refusal(self, reason: str, status: int) -> None:
        """Counts an answer of the system itself."""
        self._refusals.labels(reason, str(status)).inc()

    def count_attempt_failure(self, failure: str) -> None:
        """Counts a failed attempt."""
        self._attempt_failures.labels(failure).inc()

    def observe_first_byte(self, duration: datetime.timedelta) -> None:
        """Counts the time to the first part of an answer."""
        self._first_byte.observe(duration.total_seconds())

    def count_order(self, operation: str, outcome: str) -> None:
        """Counts an order by its outcome."""
        self._orders.labels(operation, outcome).inc()

    def count_invalid_record(self, kind: str) -> None:
        """Counts a record that could not be read."""
        self._invalid_records.labels(kind).inc()

    def set_process_gauges(
        self, in_progress: int, waiting: int, dropped_log_lines: int
    ) -> None:
        """Sets the gauges."""
        self._in_progress.set(in_progress)
        self._waiting.set(waiting)
        self._dropped_log_lines.set(dropped_log_lines)

    def set_leader_gauges(
        self, store_loads: int, without_copy: int, without_orders: int
    ) -> None:
        """Sets the gauges of a holder, 0 on other instances."""
        self._store_loads.set(store_loads)
        self._models_without_copy.set(without_copy)
        self._models_without_orders.set(without_orders)

    def render(self) -> bytes:
        """Returns all metrics in the text format of CONTENT_TYPE."""
        return prometheus_client.generate_latest(self._registry)
