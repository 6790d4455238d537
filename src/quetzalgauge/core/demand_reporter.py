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
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import peer_messages

# A zone that has not begun a load after this time is not asked any more.
ZONE_START_TIMEOUT = datetime.timedelta(milliseconds=1200)
# A zone that does not begin is not left for one that is slower than this.
MAX_ZONE_SWITCH_DELAY = datetime.timedelta(milliseconds=700)
# A zone is left for one that is faster by more than this.
MIN_ZONE_SWITCH_GAIN = datetime.timedelta(milliseconds=700)


@dataclasses.dataclass(slots=True)
class _PendingDemand:
    service: ids.ServiceName
    soft_deadlines: list[datetime.timedelta]
    zone: ids.AvailabilityZone | None = None
    zone_chosen_at: datetime.timedelta = datetime.timedelta()


class _ArrivalCounter:
    """Counts by model, told to each zone as differences."""

    def __init__(self) -> None:
        self._counts: dict[ids.ModelName, int] = {}
        self._reported: dict[
            ids.AvailabilityZone, dict[ids.ModelName, int]
        ] = {}

    def increment(self, model: ids.ModelName) -> None:
        self._counts[model] = self._counts.get(model, 0) + 1

    def take_increase(
        self, zone: ids.AvailabilityZone
    ) -> tuple[tuple[ids.ModelName, int], ...]:
        told = self._reported.setdefault(zone, {})
        news = tuple(
            (model, count - told.get(model, 0))
            for model, count in self._counts.items()
            if count > told.get(model, 0)
        )
        told.update(self._counts)
        return news


class DemandReporter:
    """The wishes of one instance."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._model_demand: dict[ids.ModelName, _PendingDemand] = {}
        self._adapter_demand: dict[int, peer_messages.AdapterDemand] = {}
        self._arrivals = _ArrivalCounter()
        self._adapter_arrivals = _ArrivalCounter()
        self._is_urgent = False
        self._has_changed = False

    @property
    def is_urgent(self) -> bool:
        """Whether there is a wish that the holders do not know."""
        return self._is_urgent

    @property
    def has_changed(self) -> bool:
        """Whether a report would tell something new."""
        return self._has_changed or self._is_urgent

    def count_arrival(
        self, model: ids.ModelName, adapter: ids.AdapterName | None
    ) -> None:
        """Counts a request for a model or an adapter of it."""
        self._arrivals.increment(model)
        if adapter is not None:
            self._adapter_arrivals.increment(model)
        self._has_changed = True

    def record_running_change(self, is_last_awaited: bool) -> None:
        """A request has started or ended on a target.

        Args:
            is_last_awaited: Whether the holder waits for its end, to unload the
                model, and it was this instance's last one.
        """
        self._has_changed = True
        self._is_urgent = self._is_urgent or is_last_awaited

    def set_waiting_requests(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        soft_deadlines: Sequence[datetime.timedelta],
    ) -> None:
        """Sets the requests that wait for a model.

        Args:
            service: The service of the model.
            model: The model.
            soft_deadlines: For each request, when its answer becomes late.
        """
        wish = self._model_demand.get(model)
        if not soft_deadlines:
            if wish is not None:
                del self._model_demand[model]
                self._has_changed = True
            return
        if wish is None:
            wish = _PendingDemand(service, [])
            self._model_demand[model] = wish
        if len(soft_deadlines) > len(wish.soft_deadlines):
            self._is_urgent = True
        wish.soft_deadlines = list(soft_deadlines)

    def add_adapter_demand(
        self,
        local_id: int,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName,
    ) -> None:
        """A request waits for an adapter on a target."""
        self._adapter_demand[local_id] = peer_messages.AdapterDemand(
            target, model, adapter
        )
        self._is_urgent = True

    def remove_adapter_demand(self, local_id: int) -> None:
        """A request does not wait for an adapter any more."""
        self._adapter_demand.pop(local_id, None)

    def choose_zones(
        self,
        config: configuration.Configuration,
        now: datetime.timedelta,
    ) -> None:
        """Chooses the zone of each wish."""
        for model, wish in self._model_demand.items():
            service = config.services.get(wish.service)
            if service is None or service.engine is None:
                continue
            spec = service.engine.models.get(model)
            if spec is not None:
                self._choose_zone(wish, spec, now)

    def _choose_zone(
        self,
        demand: _PendingDemand,
        spec: configuration.Model,
        now: datetime.timedelta,
    ) -> None:
        planned = self._fleet.find_loading_zone(demand.service, spec.name, now)
        if planned is not None:
            demand.zone = planned
            demand.zone_chosen_at = now
            return
        offers = self._fleet.estimate_zones(demand.service, spec, now)
        if not offers:
            demand.zone = None
            return
        current = [
            offer for offer in offers if offer.availability_zone == demand.zone
        ]
        best = offers[0]
        if current:
            waited = now - demand.zone_chosen_at
            gain = current[0].ready_at - best.ready_at
            if gain <= MIN_ZONE_SWITCH_GAIN and waited < ZONE_START_TIMEOUT:
                return
            others = [
                one
                for one in offers
                if one is not current[0]
                and one.ready_at <= current[0].ready_at + MAX_ZONE_SWITCH_DELAY
            ]
            best = others[0] if others else current[0]
        if demand.zone != best.availability_zone:
            self._is_urgent = True
        demand.zone = best.availability_zone
        demand.zone_chosen_at = now

    def build_report(
        self,
        instance: ids.InstanceId,
        zone: ids.AvailabilityZone,
        now: datetime.timedelta,
    ) -> peer_messages.Report:
        """Returns the report to the holder of a zone."""
        adapters = {
            wish: None
            for wish in self._adapter_demand.values()
            if self._is_in_zone(wish.target, zone)
        }
        return peer_messages.Report(
            instance,
            tuple(
                peer_messages.ModelDemand(
                    model,
                    len(wish.soft_deadlines),
                    tuple(
                        late - now
                        for late in wish.soft_deadlines[
                            : peer_messages.MAX_SLACKS
                        ]
                    ),
                )
                for model, wish in self._model_demand.items()
                if wish.zone == zone
            ),
            tuple(adapters),
            self._fleet.list_own_requests(zone),
            self._arrivals.take_increase(zone),
            self._adapter_arrivals.take_increase(zone),
        )

    def mark_reported(self) -> None:
        """All holders know everything."""
        self._is_urgent = False
        self._has_changed = False

    def _is_in_zone(
        self, target: ids.TargetId, zone: ids.AvailabilityZone
    ) -> bool:
        known = self._fleet.directory.get(target)
        return known is not None and known.availability_zone == zone
