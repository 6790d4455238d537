"""Snapshot of the replicas and cached copies of all targets, by model.

A leader compares hundreds of candidate loads per decision. Each needs the
locations of a model, so they are collected once for all of them.
"""

import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import fleet as fleet_module

# A target that cannot get an order within this time counts as not orderable.
MAX_ORDER_DELAY = datetime.timedelta(seconds=1.5)


@dataclasses.dataclass(frozen=True, slots=True)
class _Replica:
    target: ids.TargetId
    zone: ids.AvailabilityZone
    ready_at: datetime.timedelta
    is_planned: bool
    is_ejected: bool
    is_orderable: bool
    utilization: float


class FleetSnapshot:
    """The replicas and copies that a leader knows; valid for one decision."""

    def __init__(
        self, fleet: fleet_module.Fleet, now: datetime.timedelta
    ) -> None:
        self._replicas: dict[ids.ModelName, list[_Replica]] = {}
        self._copies = fleet.get_disk_copies()
        self._reserved_targets: dict[ids.ModelName, ids.TargetId | None] = {}
        self._fetching: set[ids.ModelName] = set()
        self.engine_count = 0
        self.engine_zones: set[ids.AvailabilityZone] = set()
        for entry in fleet.directory:
            if not entry.models and not entry.copies.on_disk:
                continue
            self.engine_count += 1
            self.engine_zones.add(entry.availability_zone)
            fetching_model = fleet.get_fetching_model(entry, now)
            if fetching_model is not None:
                self._fetching.add(fetching_model)
            if entry.is_draining:
                continue
            utilization = fleet.estimate_load(entry.target) / max(
                1, entry.slots
            )
            is_ejected = fleet.health.is_ejected(entry.target, now)
            order_at = fleet.get_next_order_at(entry, now)
            is_orderable = (
                order_at is not None and order_at <= now + MAX_ORDER_DELAY
            )
            for model, ready_at, is_planned in fleet.list_models(entry, now):
                self._replicas.setdefault(model, []).append(
                    _Replica(
                        entry.target,
                        entry.availability_zone,
                        ready_at,
                        is_planned,
                        is_ejected,
                        is_orderable,
                        utilization,
                    )
                )

    def get_min_utilization(self, model: ids.ModelName) -> float:
        """Returns the lowest utilization of the targets with a model.

        0 if no target has it.
        """
        return min(
            (replica.utilization for replica in self._replicas.get(model, ())),
            default=0.0,
        )

    def get_reserved_target(self, model: ids.ModelName) -> ids.TargetId | None:
        """Returns the target that is kept free to fetch adapters of a model.

        The choice is a hash over the orderable targets that have the model, so
        all leaders choose the same one.
        """
        if model not in self._reserved_targets:
            self._reserved_targets[model] = min(
                (
                    replica.target
                    for replica in self._replicas.get(model, ())
                    if replica.is_orderable and not replica.is_ejected
                ),
                key=lambda target: fleet_module.hash_pair(model, target),
                default=None,
            )
        return self._reserved_targets[model]

    def count_replicas_outside(
        self,
        zone: ids.AvailabilityZone,
        model: ids.ModelName,
        ready_by: datetime.timedelta | None,
    ) -> int:
        """Returns the number of replicas of a model in other zones.

        Args:
            zone: The zone that is excluded.
            model: The model.
            ready_by: If given, replicas that are ready later or only planned
                are excluded.
        """
        return sum(
            replica.zone != zone
            and (
                ready_by is None
                or (replica.ready_at <= ready_by and not replica.is_planned)
            )
            for replica in self._replicas.get(model, ())
        )

    def is_served(self, model: ids.ModelName, now: datetime.timedelta) -> bool:
        """Whether a target takes requests for a model."""
        return any(
            replica.ready_at <= now and not replica.is_planned
            for replica in self._replicas.get(model, ())
        )

    def count_orderable_replicas(self, model: ids.ModelName) -> int:
        """Returns the number of orderable targets with a model."""
        return sum(
            replica.is_orderable for replica in self._replicas.get(model, ())
        )

    def is_stranded(self, model: ids.ModelName) -> bool:
        """Whether a model is stranded: held, but by no orderable target."""
        return model in self._replicas and not self.count_orderable_replicas(
            model
        )

    def is_being_fetched(self, model: ids.ModelName) -> bool:
        """Whether a target is fetching a model from the weight store."""
        return model in self._fetching

    def is_only_in_store(self, model: ids.ModelName) -> bool:
        """Whether no target has, caches or is fetching a model."""
        return not (
            model in self._replicas
            or model in self._copies
            or model in self._fetching
        )

    def count_other_copies(
        self, model: ids.ModelName, target: ids.TargetId
    ) -> int:
        """Returns the number of other targets with a cached copy on disk."""
        target_ids = self._copies.get(model, frozenset())
        return len(target_ids) - (target in target_ids)
