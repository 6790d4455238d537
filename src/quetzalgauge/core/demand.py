"""Demand for models and adapters, as a zone leader learns it from reports.

The expected workload is many rarely used models and a few hot ones, and which
models are hot changes over time. Arrival rates tell the two kinds apart; the
reported demand tells which models requests wait for at the moment.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import math

from quetzalgauge import ids
from quetzalgauge.core import peer_messages

# Time constant of the exponential decay of arrival counts.
RATE_TIME_CONSTANT = datetime.timedelta(seconds=4)
# Requests per second assumed for every model, since any may be requested.
PRIOR_RATE = 0.1
# Requests per second assumed for a model that has adapters.
PRIOR_RATE_WITH_ADAPTERS = 0.4
# Weight of the prior in a measured rate, as seconds of observation.
PRIOR_WEIGHT_S = 1.0
# Requests per second assumed, until rates are known, for a model that one
# target (PRIOR_LOADED_RATE) or several (PRIOR_HOT_RATE) held from the start.
PRIOR_LOADED_RATE = 1.0
PRIOR_HOT_RATE = 5.0
# Share of the requests for a model with adapters that is assumed to use one.
PRIOR_ADAPTER_SHARE = 0.5
# A model with fewer requests per second counts as inactive.
MIN_ACTIVE_RATE = 0.02
# The report of an instance is dropped if no newer one arrives in this time.
REPORT_TTL = datetime.timedelta(seconds=3)

_ZERO = datetime.timedelta()
_MICROSECOND = datetime.timedelta(microseconds=1)
_TIME_CONSTANT_US = RATE_TIME_CONSTANT // _MICROSECOND


@dataclasses.dataclass(slots=True)
class _ReceivedReport:
    report: peer_messages.Report
    received_at: datetime.timedelta


class _ArrivalRates:
    """Exponentially decayed arrival rates per second, by model.

    Times are kept in microseconds: a leader computes hundreds of rates for each
    decision, and integers are divided faster than durations.
    """

    def __init__(self) -> None:
        self._counts: dict[ids.ModelName, float] = {}
        self._updated_at_us: dict[ids.ModelName, int] = {}
        self._started_at: datetime.timedelta | None = None
        # Values at the time `_cached_at`: each decision of a leader reads all
        # rates many times.
        self._cached_rates: dict[ids.ModelName, float] = {}
        self._cached_at = _ZERO
        self._cached_at_us = 0
        self._observed_s = 0.0
        self._is_warmed_up = False

    def add(
        self, model: ids.ModelName, count: int, now: datetime.timedelta
    ) -> None:
        if self._started_at is None:
            self._started_at = now
            self._set_time(now)
        elif now != self._cached_at:
            self._set_time(now)
        self._cached_rates.clear()
        self._counts[model] = self._get_decayed_count(model) + count
        self._updated_at_us[model] = self._cached_at_us

    def get_rate(self, model: ids.ModelName, now: datetime.timedelta) -> float:
        if now != self._cached_at:
            self._set_time(now)
        rate = self._cached_rates.get(model)
        if rate is None:
            rate = 0.0
            if self._started_at is not None:
                rate = self._get_decayed_count(model) / self._observed_s
            self._cached_rates[model] = rate
        return rate

    def _set_time(self, now: datetime.timedelta) -> None:
        self._cached_rates.clear()
        self._cached_at = now
        self._cached_at_us = now // _MICROSECOND
        if self._started_at is None:
            return
        # Soon after the first request the counts cover less time than the time
        # constant. The prior's weight keeps a single request from giving a high
        # rate.
        coverage = 1.0 - math.exp(
            -max(0.0, (now - self._started_at) / RATE_TIME_CONSTANT)
        )
        self._observed_s = (
            coverage * RATE_TIME_CONSTANT.total_seconds() + PRIOR_WEIGHT_S
        )
        self._is_warmed_up = now - self._started_at > RATE_TIME_CONSTANT / 2

    def __iter__(self) -> Iterator[ids.ModelName]:
        return iter(self._counts)

    @property
    def has_started(self) -> bool:
        """Whether any arrival has been counted."""
        return self._started_at is not None

    def is_warmed_up(self, now: datetime.timedelta) -> bool:
        """Whether arrivals were counted long enough to trust the rates."""
        if now != self._cached_at:
            self._set_time(now)
        return self._is_warmed_up

    def _get_decayed_count(self, model: ids.ModelName) -> float:
        count = self._counts.get(model)
        if count is None:
            return 0.0
        age_us = self._cached_at_us - self._updated_at_us[model]
        return count * math.exp(-max(0.0, age_us / _TIME_CONSTANT_US))


class Demand:
    """The last report of each instance, and the rates of arrivals."""

    def __init__(self) -> None:
        self._reports: dict[ids.InstanceId, _ReceivedReport] = {}
        # Derived from the reports; None after a change.
        self._running: RunningCounts | None = None
        self._soft_deadlines: (
            dict[ids.ModelName, list[datetime.timedelta]] | None
        ) = None
        self._arrivals = _ArrivalRates()
        self._adapter_arrivals = _ArrivalRates()
        self._priors: dict[ids.ModelName, float] = {}
        self._models_with_adapters: frozenset[ids.ModelName] = frozenset()

    @property
    def instance_count(self) -> int:
        """Number of instances that report."""
        return len(self._reports)

    def apply_report(
        self, report: peer_messages.Report, now: datetime.timedelta
    ) -> None:
        """Applies the report of an instance."""
        self._reports[report.instance] = _ReceivedReport(report, now)
        self._forget_derived()
        for model, count in report.arrivals:
            self._arrivals.add(model, count, now)
        for model, count in report.adapter_arrivals:
            self._adapter_arrivals.add(model, count, now)

    def remove_instance(self, instance: ids.InstanceId) -> None:
        """Drops an instance whose connection broke."""
        self._reports.pop(instance, None)
        self._forget_derived()

    def expire_reports(self, now: datetime.timedelta) -> None:
        """Drops reports that are too old."""
        for instance in [
            sender
            for sender, received in self._reports.items()
            if now - received.received_at > REPORT_TTL
        ]:
            del self._reports[instance]
            self._forget_derived()

    def _forget_derived(self) -> None:
        self._running = None
        self._soft_deadlines = None

    def set_priors(
        self,
        initial_replicas: Mapping[ids.ModelName, int],
        models_with_adapters: Collection[ids.ModelName],
    ) -> None:
        """Sets the rates assumed for models before any request.

        Args:
            initial_replicas: For each model, the number of targets that held
                it when they were first seen. A model that is already loaded
                has been requested before, and one on several targets is hot.
            models_with_adapters: Models that have adapters. Each adapter has
                callers of its own, so these models are requested more often.
        """
        self._models_with_adapters = frozenset(models_with_adapters)
        for model, count in initial_replicas.items():
            self._priors[model] = (
                PRIOR_HOT_RATE if count > 1 else PRIOR_LOADED_RATE
            )

    def get_rate(self, model: ids.ModelName, now: datetime.timedelta) -> float:
        """Returns requests per second for a model from all instances.

        The prior is included.
        """
        prior = PRIOR_RATE
        if model in self._models_with_adapters:
            prior = PRIOR_RATE_WITH_ADAPTERS
        if not self._arrivals.is_warmed_up(now):
            prior = max(prior, self._priors.get(model, 0.0))
        return prior + self._arrivals.get_rate(model, now)

    def list_hot_models(
        self, min_rate: float, now: datetime.timedelta
    ) -> tuple[ids.ModelName, ...]:
        """Returns the models with at least a given rate, prior included."""
        return tuple(
            model
            for model in self._arrivals
            if self.get_rate(model, now) >= min_rate
        )

    def list_active_models(
        self, now: datetime.timedelta
    ) -> tuple[ids.ModelName, ...]:
        """Returns the models that were requested recently."""
        return tuple(
            model
            for model in self._arrivals
            if self._arrivals.get_rate(model, now) >= MIN_ACTIVE_RATE
        )

    def sum_rare_rates(self, max_rate: float, now: datetime.timedelta) -> float:
        """Returns the total measured rate of all models below a rate."""
        rates = (
            self._arrivals.get_rate(model, now) for model in self._arrivals
        )
        return sum(rate for rate in rates if rate < max_rate)

    def get_adapter_rate(
        self, model: ids.ModelName, now: datetime.timedelta
    ) -> float:
        """Returns requests per second for adapters of a model."""
        return self._adapter_arrivals.get_rate(model, now)

    def estimate_adapter_rate(
        self, model: ids.ModelName, now: datetime.timedelta
    ) -> float:
        """Returns requests per second for adapters of a model.

        The prior is included until rates are known.
        """
        rate = self._adapter_arrivals.get_rate(model, now)
        if (
            model in self._models_with_adapters
            and self._arrivals.has_started
            and not self._arrivals.is_warmed_up(now)
        ):
            prior = self._priors.get(model, 0.0) * PRIOR_ADAPTER_SHARE
            rate = max(rate, prior)
        return rate

    def get_soft_deadlines(
        self,
    ) -> Mapping[ids.ModelName, Sequence[datetime.timedelta]]:
        """Returns the soft deadlines of the requests that wait for each model.

        For each model, a report lists the slack (the time until the soft
        deadline) of a limited number of requests. The remaining requests get
        the deadline of the last one listed.
        """
        if self._soft_deadlines is not None:
            return self._soft_deadlines
        by_model: dict[ids.ModelName, list[datetime.timedelta]] = {}
        for received in self._reports.values():
            for demand in received.report.model_demands:
                deadlines = [
                    received.received_at + slack for slack in demand.slacks
                ]
                unlisted = demand.waiting - len(deadlines)
                if deadlines and unlisted > 0:
                    deadlines += [deadlines[-1]] * unlisted
                by_model.setdefault(demand.model, []).extend(deadlines)
        self._soft_deadlines = by_model
        return by_model

    def iter_adapter_demand(self) -> Iterator[peer_messages.AdapterDemand]:
        """Yields each reported adapter demand once."""
        yielded = set()
        for received in self._reports.values():
            for demand in received.report.adapter_demands:
                if demand not in yielded:
                    yielded.add(demand)
                    yield demand

    def count_running(self) -> "RunningCounts":
        """Returns the requests in progress over all instances."""
        if self._running is not None:
            return self._running
        counts = RunningCounts()
        for received in self._reports.values():
            for row in received.report.running:
                counts.add(row)
        self._running = counts
        return counts


class RunningCounts:
    """Counts of requests in progress by target, model and adapter."""

    def __init__(self) -> None:
        self._targets: dict[ids.TargetId, int] = {}
        self._models: dict[tuple[ids.TargetId, ids.ModelName], int] = {}
        self._adapters: dict[
            tuple[ids.TargetId, ids.ModelName, ids.AdapterName], int
        ] = {}

    def add(self, row: peer_messages.RunningCount) -> None:
        """Adds the requests of one instance."""
        target = row.target
        self._targets[target] = self._targets.get(target, 0) + row.count
        if row.model is None:
            return
        key = (target, row.model)
        self._models[key] = self._models.get(key, 0) + row.count
        if row.adapter is not None:
            adapter_key = (target, row.model, row.adapter)
            self._adapters[adapter_key] = (
                self._adapters.get(adapter_key, 0) + row.count
            )

    def count_on_target(self, target: ids.TargetId) -> int:
        """Returns the number of requests on a target."""
        return self._targets.get(target, 0)

    def count_for_model(
        self, target: ids.TargetId, model: ids.ModelName
    ) -> int:
        """Returns the number of requests for a model on a target."""
        return self._models.get((target, model), 0)

    def count_for_adapter(
        self,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName,
    ) -> int:
        """Returns the number of requests for an adapter on a target."""
        return self._adapters.get((target, model, adapter), 0)
