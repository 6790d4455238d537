"""What an instance asks of the holders: models to load, adapters to fetch.

A model that no target has is asked of one zone, so that one load serves all
who wait. The zone is the one expected to have it first; when its holder does
not plan the load in time, the next one is asked.
"""

from collections.abc import Sequence
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import configuration
from quetzalgauge.core import exchange
from quetzalgauge.core import fleet as fleet_module

# A zone that has not begun a load after this time is not asked any more.
ZONE_PATIENCE = datetime.timedelta(milliseconds=1200)
# A zone that does not begin is not left for one that is slower than this.
ZONE_LOSS = datetime.timedelta(milliseconds=700)
# A zone is left for one that is faster by more than this.
ZONE_GAIN = datetime.timedelta(milliseconds=700)


@dataclasses.dataclass(slots=True)
class _Wish:
    service: ids.ServiceName
    late_at: list[datetime.timedelta]
    zone: ids.AvailabilityZone | None = None
    asked_at: datetime.timedelta = datetime.timedelta()


class _Counter:
    """Counts by model, told to each zone as differences."""

    def __init__(self) -> None:
        self._counts: dict[ids.ModelName, int] = {}
        self._told: dict[ids.AvailabilityZone, dict[ids.ModelName, int]] = {}

    def count(self, model: ids.ModelName) -> None:
        self._counts[model] = self._counts.get(model, 0) + 1

    def take(
        self, zone: ids.AvailabilityZone
    ) -> tuple[tuple[ids.ModelName, int], ...]:
        told = self._told.setdefault(zone, {})
        news = tuple(
            (model, count - told.get(model, 0))
            for model, count in self._counts.items()
            if count > told.get(model, 0)
        )
        told.update(self._counts)
        return news


class Wishes:
    """The wishes of one instance."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._models: dict[ids.ModelName, _Wish] = {}
        self._adapters: dict[int, exchange.AdapterWish] = {}
        self._arrivals = _Counter()
        self._adapter_arrivals = _Counter()
        self._urgent = False
        self._changed = False

    @property
    def is_urgent(self) -> bool:
        """Whether there is a wish that the holders do not know."""
        return self._urgent

    @property
    def has_changed(self) -> bool:
        """Whether a report would tell something new."""
        return self._changed or self._urgent

    def count_arrival(
        self, model: ids.ModelName, adapter: ids.AdapterName | None
    ) -> None:
        """Counts a request for a model or an adapter of it."""
        self._arrivals.count(model)
        if adapter is not None:
            self._adapter_arrivals.count(model)
        self._changed = True

    def note_running(self, is_awaited: bool) -> None:
        """A request has started or ended on a target.

        Args:
            is_awaited: Whether the holder waits for its end, to unload the
                model, and it was this instance's last one.
        """
        self._changed = True
        self._urgent = self._urgent or is_awaited

    def set_waiting(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        late_at: Sequence[datetime.timedelta],
    ) -> None:
        """Sets the requests that wait for a model.

        Args:
            service: The service of the model.
            model: The model.
            late_at: For each request, when its answer becomes late.
        """
        wish = self._models.get(model)
        if not late_at:
            if wish is not None:
                del self._models[model]
                self._changed = True
            return
        if wish is None:
            wish = _Wish(service, [])
            self._models[model] = wish
        if len(late_at) > len(wish.late_at):
            self._urgent = True
        wish.late_at = list(late_at)

    def add_adapter(
        self,
        token: int,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName,
    ) -> None:
        """A request waits for an adapter on a target."""
        self._adapters[token] = exchange.AdapterWish(target, model, adapter)
        self._urgent = True

    def drop_adapter(self, token: int) -> None:
        """A request does not wait for an adapter any more."""
        self._adapters.pop(token, None)

    def choose_zones(
        self,
        config: configuration.Configuration,
        now: datetime.timedelta,
    ) -> None:
        """Chooses the zone of each wish."""
        for model, wish in self._models.items():
            service = config.services.get(wish.service)
            if service is None or service.engine is None:
                continue
            spec = service.engine.models.get(model)
            if spec is not None:
                self._choose_zone(wish, spec, now)

    def _choose_zone(
        self,
        wish: _Wish,
        spec: configuration.Model,
        now: datetime.timedelta,
    ) -> None:
        planned = self._fleet.planned_zone(wish.service, spec.name, now)
        if planned is not None:
            wish.zone = planned
            wish.asked_at = now
            return
        offers = self._fleet.offers(wish.service, spec, now)
        if not offers:
            wish.zone = None
            return
        current = [
            offer for offer in offers if offer.availability_zone == wish.zone
        ]
        best = offers[0]
        if current:
            waited = now - wish.asked_at
            gain = current[0].ready_at - best.ready_at
            if gain <= ZONE_GAIN and waited < ZONE_PATIENCE:
                return
            others = [
                one
                for one in offers
                if one is not current[0]
                and one.ready_at <= current[0].ready_at + ZONE_LOSS
            ]
            best = others[0] if others else current[0]
        if wish.zone != best.availability_zone:
            self._urgent = True
        wish.zone = best.availability_zone
        wish.asked_at = now

    def report(
        self,
        instance: ids.InstanceId,
        zone: ids.AvailabilityZone,
        now: datetime.timedelta,
    ) -> exchange.Report:
        """Returns the report to the holder of a zone."""
        adapters = {
            wish: None
            for wish in self._adapters.values()
            if self._is_in(wish.target, zone)
        }
        return exchange.Report(
            instance,
            tuple(
                exchange.Wish(
                    model,
                    len(wish.late_at),
                    tuple(
                        late - now
                        for late in wish.late_at[: exchange.MAX_SLACKS]
                    ),
                )
                for model, wish in self._models.items()
                if wish.zone == zone
            ),
            tuple(adapters),
            self._fleet.running_in(zone),
            self._arrivals.take(zone),
            self._adapter_arrivals.take(zone),
        )

    def note_told(self) -> None:
        """All holders know everything."""
        self._urgent = False
        self._changed = False

    def _is_in(self, target: ids.TargetId, zone: ids.AvailabilityZone) -> bool:
        known = self._fleet.directory.get(target)
        return known is not None and known.availability_zone == zone
