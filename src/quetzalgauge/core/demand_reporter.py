"""Reports of an instance's demand for models and adapters to zone leaders.

Demand for a model that no target has is reported to a single zone, so that one
load serves all waiting requests. The instance chooses the zone that is expected
to have the model first, and another one if that zone's leader does not plan the
load in time.
"""

from collections.abc import Sequence
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import configuration
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import peer_messages

# Demand moves to another zone if the chosen one has not planned the load within
# this time.
ZONE_PLAN_TIMEOUT = datetime.timedelta(milliseconds=1200)
# Demand does not move from a zone that has not planned the load to one that is
# expected to have the model later by more than this.
MAX_ZONE_SWITCH_DELAY = datetime.timedelta(milliseconds=700)
# Demand moves at once to a zone that is expected to have the model earlier by
# more than this.
MIN_ZONE_SWITCH_GAIN = datetime.timedelta(milliseconds=700)


@dataclasses.dataclass(slots=True)
class _PendingDemand:
    service: ids.ServiceName
    soft_deadlines: list[datetime.timedelta]
    zone: ids.AvailabilityZone | None = None
    zone_chosen_at: datetime.timedelta = datetime.timedelta()


class _ArrivalCounter:
    """Arrivals by model; each zone gets the increase since its last report."""

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
        reported = self._reported.setdefault(zone, {})
        increases = tuple(
            (model, count - reported.get(model, 0))
            for model, count in self._counts.items()
            if count > reported.get(model, 0)
        )
        reported.update(self._counts)
        return increases


class DemandReporter:
    """Collects the demand of one instance and builds its reports."""

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
        """Whether there is a change that leaders must be told at once."""
        return self._is_urgent

    @property
    def has_changed(self) -> bool:
        """Whether anything has changed since the last report."""
        return self._has_changed or self._is_urgent

    def count_arrival(
        self, model: ids.ModelName, adapter: ids.AdapterName | None
    ) -> None:
        """Counts a request for a model or an adapter of it."""
        self._arrivals.increment(model)
        if adapter is not None:
            self._adapter_arrivals.increment(model)
        self._has_changed = True

    def record_running_change(self, unblocks_unload: bool) -> None:
        """Records that a request started or ended on a target.

        Args:
            unblocks_unload: Whether the request was this instance's last one
                for a draining model, which the leader waits to unload.
        """
        self._has_changed = True
        self._is_urgent = self._is_urgent or unblocks_unload

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
            soft_deadlines: For each request, the time after which its answer
                misses the latency objective.
        """
        demand = self._model_demand.get(model)
        if not soft_deadlines:
            if demand is not None:
                del self._model_demand[model]
                self._has_changed = True
            return
        if demand is None:
            demand = _PendingDemand(service, [])
            self._model_demand[model] = demand
        if len(soft_deadlines) > len(demand.soft_deadlines):
            self._is_urgent = True
        demand.soft_deadlines = list(soft_deadlines)

    def add_adapter_demand(
        self,
        local_id: int,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName,
    ) -> None:
        """Records that a request waits for an adapter on a target."""
        self._adapter_demand[local_id] = peer_messages.AdapterDemand(
            target, model, adapter
        )
        self._is_urgent = True

    def remove_adapter_demand(self, local_id: int) -> None:
        """Records that a request no longer waits for an adapter."""
        self._adapter_demand.pop(local_id, None)

    def choose_zones(
        self,
        config: configuration.Configuration,
        now: datetime.timedelta,
    ) -> None:
        """Chooses the zone to which the demand for each model is reported."""
        for model, demand in self._model_demand.items():
            service = config.services.get(demand.service)
            if service is None or service.engine is None:
                continue
            spec = service.engine.models.get(model)
            if spec is not None:
                self._choose_zone(demand, spec, now)

    def _choose_zone(
        self,
        demand: _PendingDemand,
        spec: configuration.Model,
        now: datetime.timedelta,
    ) -> None:
        loading_zone = self._fleet.find_earliest_zone(
            demand.service, spec.name, now
        )
        if loading_zone is not None:
            demand.zone = loading_zone
            demand.zone_chosen_at = now
            return
        estimates = self._fleet.estimate_zone_ready_times(
            demand.service, spec, now
        )
        if not estimates:
            demand.zone = None
            return
        current = [
            candidate
            for candidate in estimates
            if candidate.availability_zone == demand.zone
        ]
        best = estimates[0]
        if current:
            waited = now - demand.zone_chosen_at
            gain = current[0].ready_at - best.ready_at
            if gain <= MIN_ZONE_SWITCH_GAIN and waited < ZONE_PLAN_TIMEOUT:
                return
            alternatives = [
                estimate
                for estimate in estimates
                if estimate is not current[0]
                and estimate.ready_at
                <= current[0].ready_at + MAX_ZONE_SWITCH_DELAY
            ]
            best = alternatives[0] if alternatives else current[0]
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
        """Returns the report to the leader of a zone."""
        adapters = {
            demand: None
            for demand in self._adapter_demand.values()
            if self._is_in_zone(demand.target, zone)
        }
        return peer_messages.Report(
            instance,
            tuple(
                peer_messages.ModelDemand(
                    model,
                    len(demand.soft_deadlines),
                    tuple(
                        deadline - now
                        for deadline in demand.soft_deadlines[
                            : peer_messages.MAX_SLACKS
                        ]
                    ),
                )
                for model, demand in self._model_demand.items()
                if demand.zone == zone
            ),
            tuple(adapters),
            self._fleet.list_own_requests(zone),
            self._arrivals.take_increase(zone),
            self._adapter_arrivals.take_increase(zone),
        )

    def mark_reported(self) -> None:
        """Records that all leaders are sent the changes up to now."""
        self._is_urgent = False
        self._has_changed = False

    def _is_in_zone(
        self, target: ids.TargetId, zone: ids.AvailabilityZone
    ) -> bool:
        entry = self._fleet.directory.get(target)
        return entry is not None and entry.availability_zone == zone
