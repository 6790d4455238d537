"""Demand for models as a holder knows it: who waits, what runs, how often.

The pattern answered: many rarely used models and a few busy ones, which take
turns. Rates tell the two apart; the wishes tell what is wanted right now.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import datetime
import math

from quetzalgauge import ids
from quetzalgauge.core import peer_messages

# A rate is measured over about this time.
RATE_TIME_CONSTANT = datetime.timedelta(seconds=4)
# Rate assumed of a model before any request: each may be asked for.
PRIOR_RATE = 0.1
# The same of a model that has adapters.
PRIOR_RATE_WITH_ADAPTERS = 0.4
# The prior rate weighs as much as requests over this time.
PRIOR_WEIGHT_S = 1.0
# The same of a model that a target, or several, held from the start.
PRIOR_LOADED_RATE = 1.0
PRIOR_BUSY_RATE = 5.0
# A model with fewer requests a second was not asked for lately.
MIN_ACTIVE_RATE = 0.02
# Reports of an instance that has been silent for this time do not count.
REPORT_TTL = datetime.timedelta(seconds=3)

_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class _ReceivedReport:
    report: peer_messages.Report
    received_at: datetime.timedelta


class _ArrivalRates:
    """Arrivals a second by model, over about `RATE_TIME`."""

    def __init__(self) -> None:
        self._counts: dict[ids.ModelName, float] = {}
        self._updated_at: dict[ids.ModelName, datetime.timedelta] = {}
        self._started_at: datetime.timedelta | None = None
        # Each holder asks for all rates many times at one moment.
        self._cached_rates: dict[ids.ModelName, float] = {}
        self._cached_at = _ZERO

    def add(
        self, model: ids.ModelName, count: int, now: datetime.timedelta
    ) -> None:
        if self._started_at is None:
            self._started_at = now
        self._cached_rates.clear()
        self._counts[model] = self._get_decayed_count(model, now) + count
        self._updated_at[model] = now

    def get_rate(self, model: ids.ModelName, now: datetime.timedelta) -> float:
        if now != self._cached_at:
            self._cached_rates.clear()
            self._cached_at = now
        rate = self._cached_rates.get(model)
        if rate is None:
            rate = self._cached_rates[model] = self._compute_rate(model, now)
        return rate

    def _compute_rate(
        self, model: ids.ModelName, now: datetime.timedelta
    ) -> float:
        if self._started_at is None:
            return 0.0
        # Soon after the first request the counts cover less time, and a
        # single request says little.
        covered = 1.0 - math.exp(
            -max(0.0, (now - self._started_at) / RATE_TIME_CONSTANT)
        )
        seconds = covered * RATE_TIME_CONSTANT.total_seconds() + PRIOR_WEIGHT_S
        return self._get_decayed_count(model, now) / seconds

    def __iter__(self) -> Iterator[ids.ModelName]:
        return iter(self._counts)

    def is_warmed_up(self, now: datetime.timedelta) -> bool:
        """Whether there were requests for long enough to know the rates."""
        return (
            self._started_at is not None
            and now - self._started_at > RATE_TIME_CONSTANT / 2
        )

    def _get_decayed_count(
        self, model: ids.ModelName, now: datetime.timedelta
    ) -> float:
        count = self._counts.get(model)
        if count is None:
            return 0.0
        age = (now - self._updated_at[model]) / RATE_TIME_CONSTANT
        return count * math.exp(-max(0.0, age))


class Demand:
    """The last report of each instance, and the rates of arrivals."""

    def __init__(self) -> None:
        self._reports: dict[ids.InstanceId, _ReceivedReport] = {}
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
        """Takes the report of an instance."""
        self._reports[report.instance] = _ReceivedReport(report, now)
        for model, count in report.arrivals:
            self._arrivals.add(model, count, now)
        for model, count in report.adapter_arrivals:
            self._adapter_arrivals.add(model, count, now)

    def remove_instance(self, instance: ids.InstanceId) -> None:
        """Drops an instance whose link broke."""
        self._reports.pop(instance, None)

    def expire_reports(self, now: datetime.timedelta) -> None:
        """Drops reports that are too old."""
        for instance in [
            one
            for one, heard in self._reports.items()
            if now - heard.received_at > REPORT_TTL
        ]:
            del self._reports[instance]

    def set_priors(
        self,
        initial_replicas: Mapping[ids.ModelName, int],
        models_with_adapters: Collection[ids.ModelName],
    ) -> None:
        """Takes what is known of models before any request.

        Args:
            initial_replicas: Targets that held each model when they were first
                seen.
                What is loaded already was wanted by somebody, and models on
                several targets are busy.
            models_with_adapters: Models that have adapters. Somebody made
                those for
                callers of their own, so these models come into use more often.
        """
        self._models_with_adapters = frozenset(models_with_adapters)
        for model, count in initial_replicas.items():
            self._priors[model] = (
                PRIOR_BUSY_RATE if count > 1 else PRIOR_LOADED_RATE
            )

    def get_rate(self, model: ids.ModelName, now: datetime.timedelta) -> float:
        """Returns requests a second for a model, over all instances."""
        prior = PRIOR_RATE
        if model in self._models_with_adapters:
            prior = PRIOR_RATE_WITH_ADAPTERS
        if not self._arrivals.is_warmed_up(now):
            prior = max(prior, self._priors.get(model, 0.0))
        return prior + self._arrivals.get_rate(model, now)

    def list_hot_models(
        self, min_rate: float, now: datetime.timedelta
    ) -> tuple[ids.ModelName, ...]:
        """Returns the models that are asked for more often than a limit."""
        return tuple(
            one for one in self._arrivals if self.get_rate(one, now) >= min_rate
        )

    def list_active_models(
        self, now: datetime.timedelta
    ) -> tuple[ids.ModelName, ...]:
        """Returns the models that were asked for lately."""
        return tuple(
            one
            for one in self._arrivals
            if self._arrivals.get_rate(one, now) >= MIN_ACTIVE_RATE
        )

    def sum_rare_rates(self, max_rate: float, now: datetime.timedelta) -> float:
        """Returns requests a second for all models below a rate."""
        rates = (self._arrivals.get_rate(one, now) for one in self._arrivals)
        return sum(rate for rate in rates if rate < max_rate)

    def get_adapter_rate(
        self, model: ids.ModelName, now: datetime.timedelta
    ) -> float:
        """Returns requests a second for adapters of a model."""
        return self._adapter_arrivals.get_rate(model, now)

    def get_soft_deadlines(
        self,
    ) -> dict[ids.ModelName, list[datetime.timedelta]]:
        """Returns for each wanted model when its requests become late.

        Requests beyond those told one by one count like the last of them.
        """
        found: dict[ids.ModelName, list[datetime.timedelta]] = {}
        for heard in self._reports.values():
            for wish in heard.report.model_demands:
                late_at = [heard.received_at + slack for slack in wish.slacks]
                more = wish.waiting - len(late_at)
                if late_at and more > 0:
                    late_at += [late_at[-1]] * more
                found.setdefault(wish.model, []).extend(late_at)
        return found

    def iter_adapter_demand(self) -> Iterator[peer_messages.AdapterDemand]:
        """Returns the wanted adapters."""
        seen = set()
        for heard in self._reports.values():
            for wish in heard.report.adapter_demands:
                if wish not in seen:
                    seen.add(wish)
                    yield wish

    def count_running(self) -> "RunningCounts":
        """Returns the requests in progress over all instances."""
        counts = RunningCounts()
        for heard in self._reports.values():
            for row in heard.report.running:
                counts.add(row)
        return counts


class RunningCounts:
    """Requests in progress by target, model and adapter."""

    def __init__(self) -> None:
        self._targets: dict[ids.TargetId, int] = {}
        self._models: dict[tuple[ids.TargetId, ids.ModelName], int] = {}
        self._adapters: dict[
            tuple[ids.TargetId, ids.ModelName, ids.AdapterName], int
        ] = {}

    def add(self, row: peer_messages.RunningCount) -> None:
        """Adds what one instance runs."""
        target = row.target
        self._targets[target] = self._targets.get(target, 0) + row.count
        if row.model is None:
            return
        key = (target, row.model)
        self._models[key] = self._models.get(key, 0) + row.count
        if row.adapter is not None:
            third = (target, row.model, row.adapter)
            self._adapters[third] = self._adapters.get(third, 0) + row.count

    def count_on_target(self, target: ids.TargetId) -> int:
        """Returns the requests on a target."""
        return self._targets.get(target, 0)

    def count_for_model(
        self, target: ids.TargetId, model: ids.ModelName
    ) -> int:
        """Returns the requests for a model on a target."""
        return self._models.get((target, model), 0)

    def count_for_adapter(
        self,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName,
    ) -> int:
        """Returns the requests for an adapter on a target."""
        return self._adapters.get((target, model, adapter), 0)
