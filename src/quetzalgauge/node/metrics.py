"""Prometheus metrics of an instance."""

from collections.abc import Mapping
import datetime

import prometheus_client
from prometheus_client import core as prometheus_core

from quetzalgauge import ids

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# Ranges from a response of a loaded model to a load from the weight store.
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
# Ranges of events that keep the event loop from all other requests.
EVENT_BUCKETS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)
# Shorter events are not recorded, since each record costs time itself.
MIN_RECORDED_EVENT = datetime.timedelta(milliseconds=5)


class Metrics:
    """The metrics of a process. Thread-safe."""

    def __init__(self) -> None:
        registry = prometheus_core.CollectorRegistry()
        self._registry = registry
        self._requests = prometheus_client.Counter(
            "quetzalgauge_requests",
            "Answered requests by status; `aborted` for interrupted responses.",
            ["status"],
            registry=registry,
        )
        self._refusals = prometheus_client.Counter(
            "quetzalgauge_refusals",
            "Requests refused by the serving system itself.",
            ["reason", "status"],
            registry=registry,
        )
        self._slow_readers = prometheus_client.Counter(
            "quetzalgauge_slow_readers_closed",
            "Callers that were closed since they read too slowly.",
            ["reason"],
            registry=registry,
        )
        self._closed_connections = prometheus_client.Counter(
            "quetzalgauge_closed_connections",
            "Connections of callers that were closed to bound what they take.",
            ["reason"],
            registry=registry,
        )
        self._attempt_failures = prometheus_client.Counter(
            "quetzalgauge_attempt_failures",
            "Failed attempts to send a request to a target.",
            ["failure"],
            registry=registry,
        )
        self._first_byte = prometheus_client.Histogram(
            "quetzalgauge_first_part_seconds",
            "Time from a request to the first byte of its response.",
            buckets=FIRST_BYTE_BUCKETS_SECONDS,
            registry=registry,
        )
        self._slow_events = prometheus_client.Histogram(
            "quetzalgauge_slow_event_seconds",
            "Time of events that kept the event loop busy for 5 ms or more.",
            buckets=EVENT_BUCKETS_SECONDS,
            registry=registry,
        )
        self._orders = prometheus_client.Counter(
            "quetzalgauge_orders",
            "Load and unload orders to targets by outcome.",
            ["operation", "outcome"],
            registry=registry,
        )
        self._invalid_records = prometheus_client.Counter(
            "quetzalgauge_invalid_records",
            "Records, reports and messages that could not be decoded.",
            ["kind"],
            registry=registry,
        )
        self._eras_begun = prometheus_client.Counter(
            "quetzalgauge_store_restorations",
            "Times that the store has come back from an older copy.",
            registry=registry,
        )
        self._rejected_responses = prometheus_client.Counter(
            "quetzalgauge_store_responses_rejected",
            "Responses of the store that name no valid era, or an earlier one.",
            ["reason"],
            registry=registry,
        )
        self._in_progress = prometheus_client.Gauge(
            "quetzalgauge_requests_in_progress",
            "Requests in progress.",
            registry=registry,
        )
        self._waiting = prometheus_client.Gauge(
            "quetzalgauge_requests_waiting",
            "Requests that are queued for a target.",
            registry=registry,
        )
        self._store_loads = prometheus_client.Gauge(
            "quetzalgauge_weight_store_loads",
            "Weight store loads in progress, as seen by a zone leader.",
            registry=registry,
        )
        self._models_without_copy = prometheus_client.Gauge(
            "quetzalgauge_models_without_copy",
            "Requested models without a cached copy on any target,"
            " as seen by a zone leader.",
            registry=registry,
        )
        self._models_without_orders = prometheus_client.Gauge(
            "quetzalgauge_models_without_orders",
            "Models with requested adapters that only targets without a leader"
            " have, as seen by a zone leader.",
            registry=registry,
        )
        self._read_age = prometheus_client.Gauge(
            "quetzalgauge_read_age_seconds",
            "Time since a topic of the store was known to have nothing new.",
            ["topic"],
            registry=registry,
        )
        self._prompt_parts = prometheus_client.Gauge(
            "quetzalgauge_prompt_parts",
            "Prompt parts that may crash targets: `suspected`, or `quarantined`"
            " with all their requests refused.",
            ["status"],
            registry=registry,
        )
        self._dropped_log_lines = prometheus_client.Gauge(
            "quetzalgauge_log_lines_left_out",
            "Log lines that were dropped.",
            registry=registry,
        )

    def count_request(self, status: str) -> None:
        """Counts an answered request."""
        self._requests.labels(status).inc()

    def count_refusal(self, reason: str, status: int) -> None:
        """Counts a request that the serving system itself refused."""
        self._refusals.labels(reason, str(status)).inc()

    def count_closed_connection(self, reason: str) -> None:
        """Counts a connection of a caller that was closed."""
        self._closed_connections.labels(reason).inc()

    def count_attempt_failure(self, failure: str) -> None:
        """Counts a failed attempt to send a request to a target."""
        self._attempt_failures.labels(failure).inc()

    def count_slow_readers(self, reason: str, count: int) -> None:
        """Counts callers that were closed since they read too slowly."""
        self._slow_readers.labels(reason).inc(count)

    def observe_first_byte(self, duration: datetime.timedelta) -> None:
        """Records the time from a request to the first byte of its response."""
        self._first_byte.observe(duration.total_seconds())

    def observe_event(self, duration: datetime.timedelta) -> None:
        """Records how long the event loop took for an event, if it was slow."""
        if duration >= MIN_RECORDED_EVENT:
            self._slow_events.observe(duration.total_seconds())

    def count_order(self, operation: str, outcome: str) -> None:
        """Counts a load or unload order by its outcome."""
        self._orders.labels(operation, outcome).inc()

    def count_invalid_record(self, kind: str) -> None:
        """Counts a record that could not be decoded."""
        self._invalid_records.labels(kind).inc()

    def count_era(self) -> None:
        """Counts that the store has come back from an older copy."""
        self._eras_begun.inc()

    def count_rejected_response(self, reason: str) -> None:
        """Counts a response of the store that names no valid era."""
        self._rejected_responses.labels(reason).inc()

    def set_process_gauges(
        self, in_progress: int, waiting: int, dropped_log_lines: int
    ) -> None:
        """Sets the gauges of the process."""
        self._in_progress.set(in_progress)
        self._waiting.set(waiting)
        self._dropped_log_lines.set(dropped_log_lines)

    def set_leader_gauges(
        self, store_loads: int, without_copy: int, without_orders: int
    ) -> None:
        """Sets the gauges of a zone leader; 0 on other instances."""
        self._store_loads.set(store_loads)
        self._models_without_copy.set(without_copy)
        self._models_without_orders.set(without_orders)

    def set_read_ages(
        self, ages: Mapping[ids.TopicName, datetime.timedelta]
    ) -> None:
        """Sets the age of what was read of each topic of the store."""
        for topic, age in ages.items():
            self._read_age.labels(topic).set(age.total_seconds())

    def set_prompt_parts(self, suspected: int, quarantined: int) -> None:
        """Sets the gauges of prompt parts that may crash targets."""
        self._prompt_parts.labels("suspected").set(suspected)
        self._prompt_parts.labels("quarantined").set(quarantined)

    def render(self) -> bytes:
        """Returns all metrics in the text format that CONTENT_TYPE names."""
        return prometheus_client.generate_latest(self._registry)
