"""What all targets hold at one moment, by model.

A holder weighs hundreds of possible loads at a time. Each asks where a model
lies, so that is looked up once for all of them.
"""

import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import fleet as fleet_module

# A target that gets an order only later than this counts as without orders.
MAX_ORDER_DELAY = datetime.timedelta(seconds=1.5)


@dataclasses.dataclass(frozen=True, slots=True)
class _Replica:
    target: ids.TargetId
    zone: ids.AvailabilityZone
    ready_at: datetime.timedelta
    is_planned: bool
    is_paused: bool
    is_orderable: bool
    utilization: float


class FleetSnapshot:
    """The targets as a holder sees them; valid for one decision."""

    def __init__(
        self, fleet: fleet_module.Fleet, now: datetime.timedelta
    ) -> None:
        self._replicas: dict[ids.ModelName, list[_Replica]] = {}
        self._copies = fleet.get_disk_copies()
        self._reserved_targets: dict[ids.ModelName, ids.TargetId | None] = {}
        self._fetching: set[ids.ModelName] = set()
        self.engine_count = 0
        self.engine_zones: set[ids.AvailabilityZone] = set()
        for one in fleet.directory:
            if not one.models and not one.copies.on_disk:
                continue
            self.engine_count += 1
            self.engine_zones.add(one.availability_zone)
            fetched = fleet.get_fetching_model(one, now)
            if fetched is not None:
                self._fetching.add(fetched)
            if one.is_draining:
                continue
            share = fleet.estimate_load(one.target) / max(1, one.slots)
            is_paused = fleet.health.is_ejected(one.target, now)
            order_at = fleet.get_next_order_at(one, now)
            takes_orders = (
                order_at is not None and order_at <= now + MAX_ORDER_DELAY
            )
            for model, ready_at, is_planned in fleet.list_models(one, now):
                self._replicas.setdefault(model, []).append(
                    _Replica(
                        one.target,
                        one.availability_zone,
                        ready_at,
                        is_planned,
                        is_paused,
                        takes_orders,
                        share,
                    )
                )

    def get_min_utilization(self, model: ids.ModelName) -> float:
        """Returns how full the emptiest target with a model is, 0 without."""
        return min(
            (one.utilization for one in self._replicas.get(model, ())),
            default=0.0,
        )

    def get_reserved_target(self, model: ids.ModelName) -> ids.TargetId | None:
        """Returns the target that stays free to fetch adapters of a model.

        All holders choose the same one of the targets that have the model and
        get orders.
        """
        if model not in self._reserved_targets:
            self._reserved_targets[model] = min(
                (
                    one.target
                    for one in self._replicas.get(model, ())
                    if one.is_orderable and not one.is_paused
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
        """Returns the number of targets of other zones that hold a model.

        Args:
            zone: The zone that does not count.
            model: The model.
            ready_by: If given, what is ready later or only planned does not
                count.
        """
        return sum(
            one.zone != zone
            and (
                ready_by is None
                or (one.ready_at <= ready_by and not one.is_planned)
            )
            for one in self._replicas.get(model, ())
        )

    def is_served(self, model: ids.ModelName, now: datetime.timedelta) -> bool:
        """Whether a target takes requests for a model."""
        return any(
            one.ready_at <= now and not one.is_planned
            for one in self._replicas.get(model, ())
        )

    def count_orderable_replicas(self, model: ids.ModelName) -> int:
        """Returns the number of targets with a model that get orders soon."""
        return sum(one.is_orderable for one in self._replicas.get(model, ()))

    def is_stranded(self, model: ids.ModelName) -> bool:
        """Whether only targets have a model that get no orders soon."""
        return model in self._replicas and not self.count_orderable_replicas(
            model
        )

    def is_being_fetched(self, model: ids.ModelName) -> bool:
        """Whether a target brings a model from the weight store."""
        return model in self._fetching

    def is_only_in_store(self, model: ids.ModelName) -> bool:
        """Whether no target has a model or brings it from the weight store."""
        return not (
            model in self._replicas
            or model in self._copies
            or model in self._fetching
        )

    def count_other_copies(
        self, model: ids.ModelName, target: ids.TargetId
    ) -> int:
        """Returns the number of other targets with a copy of a model."""
        found = self._copies.get(model, frozenset())
        return len(found) - (target in found)
