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
from quetzalgauge.core import exchange

# A rate is measured over about this time.
RATE_TIME = datetime.timedelta(seconds=4)
# Rate assumed of a model before any request: each may be asked for.
PRIOR_RATE = 0.1
# The same of a model that has adapters.
PRIOR_ADAPTERS_RATE = 0.4
# The prior rate weighs as much as requests over this time.
PRIOR_SECONDS = 1.0
# The same of a model that a target, or several, held from the start.
PRIOR_LOADED_RATE = 1.0
PRIOR_BUSY_RATE = 5.0
# A model with fewer requests a second was not asked for lately.
ASKED_RATE = 0.02
# Reports of an instance that has been silent for this time do not count.
REPORT_AGE = datetime.timedelta(seconds=3)

_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class _Heard:
    report: exchange.Report
    at: datetime.timedelta


class _Rates:
    """Arrivals a second by model, over about `RATE_TIME`."""

    def __init__(self) -> None:
        self._counts: dict[ids.ModelName, float] = {}
        self._counted_at: dict[ids.ModelName, datetime.timedelta] = {}
        self._began: datetime.timedelta | None = None
        # Each holder asks for all rates many times at one moment.
        self._rates: dict[ids.ModelName, float] = {}
        self._rates_at = _ZERO

    def add(
        self, model: ids.ModelName, count: int, now: datetime.timedelta
    ) -> None:
        if self._began is None:
            self._began = now
        self._rates.clear()
        self._counts[model] = self._decayed(model, now) + count
        self._counted_at[model] = now

    def rate(self, model: ids.ModelName, now: datetime.timedelta) -> float:
        if now != self._rates_at:
            self._rates.clear()
            self._rates_at = now
        rate = self._rates.get(model)
        if rate is None:
            rate = self._rates[model] = self._compute(model, now)
        return rate

    def _compute(self, model: ids.ModelName, now: datetime.timedelta) -> float:
        if self._began is None:
            return 0.0
        # Soon after the first request the counts cover less time, and a
        # single request says little.
        covered = 1.0 - math.exp(-max(0.0, (now - self._began) / RATE_TIME))
        seconds = covered * RATE_TIME.total_seconds() + PRIOR_SECONDS
        return self._decayed(model, now) / seconds

    def __iter__(self) -> Iterator[ids.ModelName]:
        return iter(self._counts)

    def is_settled(self, now: datetime.timedelta) -> bool:
        """Whether there were requests for long enough to know the rates."""
        return self._began is not None and now - self._began > RATE_TIME / 2

    def _decayed(self, model: ids.ModelName, now: datetime.timedelta) -> float:
        count = self._counts.get(model)
        if count is None:
            return 0.0
        age = (now - self._counted_at[model]) / RATE_TIME
        return count * math.exp(-max(0.0, age))


class Demand:
    """The last report of each instance, and the rates of arrivals."""

    def __init__(self) -> None:
        self._heard: dict[ids.InstanceId, _Heard] = {}
        self._arrivals = _Rates()
        self._adapter_arrivals = _Rates()
        self._priors: dict[ids.ModelName, float] = {}
        self._with_adapters: frozenset[ids.ModelName] = frozenset()

    @property
    def instances(self) -> int:
        """Number of instances that report."""
        return len(self._heard)

    def use_report(
        self, report: exchange.Report, now: datetime.timedelta
    ) -> None:
        """Takes the report of an instance."""
        self._heard[report.instance] = _Heard(report, now)
        for model, count in report.arrivals:
            self._arrivals.add(model, count, now)
        for model, count in report.adapter_arrivals:
            self._adapter_arrivals.add(model, count, now)

    def forget(self, instance: ids.InstanceId) -> None:
        """Drops an instance whose link broke."""
        self._heard.pop(instance, None)

    def expire(self, now: datetime.timedelta) -> None:
        """Drops reports that are too old."""
        for instance in [
            one
            for one, heard in self._heard.items()
            if now - heard.at > REPORT_AGE
        ]:
            del self._heard[instance]

    def use_prior(
        self,
        replicas: Mapping[ids.ModelName, int],
        with_adapters: Collection[ids.ModelName],
    ) -> None:
        """Takes what is known of models before any request.

        Args:
            replicas: Targets that held each model when they were first seen.
                What is loaded already was wanted by somebody, and models on
                several targets are busy.
            with_adapters: Models that have adapters. Somebody made those for
                callers of their own, so these models come into use more often.
        """
        self._with_adapters = frozenset(with_adapters)
        for model, count in replicas.items():
            self._priors[model] = (
                PRIOR_BUSY_RATE if count > 1 else PRIOR_LOADED_RATE
            )

    def rate(self, model: ids.ModelName, now: datetime.timedelta) -> float:
        """Returns requests a second for a model, over all instances."""
        prior = PRIOR_RATE
        if model in self._with_adapters:
            prior = PRIOR_ADAPTERS_RATE
        if not self._arrivals.is_settled(now):
            prior = max(prior, self._priors.get(model, 0.0))
        return prior + self._arrivals.rate(model, now)

    def busy_models(
        self, limit: float, now: datetime.timedelta
    ) -> tuple[ids.ModelName, ...]:
        """Returns the models that are asked for more often than a limit."""
        return tuple(
            one for one in self._arrivals if self.rate(one, now) >= limit
        )

    def asked_models(
        self, now: datetime.timedelta
    ) -> tuple[ids.ModelName, ...]:
        """Returns the models that were asked for lately."""
        return tuple(
            one
            for one in self._arrivals
            if self._arrivals.rate(one, now) >= ASKED_RATE
        )

    def rare_rate(self, limit: float, now: datetime.timedelta) -> float:
        """Returns requests a second for all models below a rate."""
        rates = (self._arrivals.rate(one, now) for one in self._arrivals)
        return sum(rate for rate in rates if rate < limit)

    def adapter_rate(
        self, model: ids.ModelName, now: datetime.timedelta
    ) -> float:
        """Returns requests a second for adapters of a model."""
        return self._adapter_arrivals.rate(model, now)

    def wishes(
        self,
    ) -> dict[ids.ModelName, list[datetime.timedelta]]:
        """Returns for each wanted model when its requests become late.

        Requests beyond those told one by one count like the last of them.
        """
        found: dict[ids.ModelName, list[datetime.timedelta]] = {}
        for heard in self._heard.values():
            for wish in heard.report.wishes:
                late_at = [heard.at + slack for slack in wish.slacks]
                more = wish.waiting - len(late_at)
                if late_at and more > 0:
                    late_at += [late_at[-1]] * more
                found.setdefault(wish.model, []).extend(late_at)
        return found

    def adapter_wishes(self) -> Iterator[exchange.AdapterWish]:
        """Returns the wanted adapters."""
        seen = set()
        for heard in self._heard.values():
            for wish in heard.report.adapter_wishes:
                if wish not in seen:
                    seen.add(wish)
                    yield wish

    def running(self) -> "RunningCounts":
        """Returns the requests in progress over all instances."""
        counts = RunningCounts()
        for heard in self._heard.values():
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

    def add(self, row: exchange.Running) -> None:
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

    def on_target(self, target: ids.TargetId) -> int:
        """Returns the requests on a target."""
        return self._targets.get(target, 0)

    def of_model(self, target: ids.TargetId, model: ids.ModelName) -> int:
        """Returns the requests for a model on a target."""
        return self._models.get((target, model), 0)

    def of_adapter(
        self,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName,
    ) -> int:
        """Returns the requests for an adapter on a target."""
        return self._adapters.get((target, model, adapter), 0)
