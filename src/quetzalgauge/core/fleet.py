"""Fleet state for routing: targets, their models and their load.

Combines the target registry, the zone updates that leaders publish, this
instance's own requests in progress and the health of each target.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import configuration
from quetzalgauge.core import election
from quetzalgauge.core import health
from quetzalgauge.core import peer_messages
from quetzalgauge.core import targets

# A zone leader counts as lost after this time without a zone update.
LEADER_TIMEOUT = datetime.timedelta(milliseconds=1500)
# Maximum age of the state that a registry entry describes when it is read: one
# heartbeat interval plus the delay of the read.
REGISTRY_LAG = datetime.timedelta(seconds=2)
# A target's response that a model or adapter is not loaded takes precedence
# over the zone updates for this time.
NOT_LOADED_TTL = datetime.timedelta(milliseconds=150)
# A target that rejected a request because it was full gets no new requests for
# this time.
FULL_BACKOFF = datetime.timedelta(milliseconds=60)

_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class _ZoneState:
    leader: ids.InstanceId
    fencing_token: int
    era: ids.StoreEra
    last_heard_at: datetime.timedelta
    leader_active_from: datetime.timedelta | None
    backlog: int
    instance_count: int
    store_capacity: int | None = None
    targets: dict[ids.TargetId, "_ReceivedTargetState"] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _ReceivedTargetState:
    """A target's state from a zone update; times are on the own clock."""

    incarnation: int
    received_at: datetime.timedelta
    ready_at: dict[ids.ModelName, datetime.timedelta]
    draining_models: frozenset[ids.ModelName]
    planned_models: frozenset[ids.ModelName]
    adapters_ready_at: dict[
        tuple[ids.ModelName, ids.AdapterName], datetime.timedelta
    ]
    ready_for_order_at: datetime.timedelta
    running_count: int
    fetching_model: ids.ModelName | None


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReadyTime:
    """The time at which a zone is expected to have a model loaded.

    Attributes:
        availability_zone: The zone.
        ready_at: Expected time at which the model takes requests.
    """

    availability_zone: ids.AvailabilityZone
    ready_at: datetime.timedelta


class Fleet:
    """The state of all targets that routing decisions depend on."""

    def __init__(
        self,
        own_zone: ids.AvailabilityZone,
        health_tracker: health.HealthTracker,
    ) -> None:
        self.directory = targets.Directory()
        self.health = health_tracker
        self._own_zone = own_zone
        self._zones: dict[ids.AvailabilityZone, _ZoneState] = {}
        self._own_requests: dict[ids.TargetId, int] = {}
        self._own_requests_by_model: dict[
            tuple[ids.TargetId, ids.ModelName | None, ids.AdapterName | None],
            int,
        ] = {}
        self._reported_requests: dict[ids.TargetId, int] = {}
        self._not_loaded_until: dict[
            tuple[ids.TargetId, ids.ModelName, ids.AdapterName | None],
            datetime.timedelta,
        ] = {}
        self._full_until: dict[ids.TargetId, datetime.timedelta] = {}
        # Targets that may have a model: a superset, rebuilt when the directory
        # changes or a zone update names a model that the index lacks.
        self._targets_by_model: dict[
            tuple[ids.ServiceName, ids.ModelName], list[targets.Description]
        ] = {}
        self._models_by_target: dict[ids.TargetId, set[ids.ModelName]] = {}
        self._model_index_revision = -1
        self._disk_copies: dict[ids.ModelName, frozenset[ids.TargetId]] = {}
        # The time of the last estimate, and the estimate.
        self._store_start: (
            tuple[datetime.timedelta, datetime.timedelta] | None
        ) = None
        self._disk_copies_revision = -1

    def count_request(
        self,
        target: ids.TargetId,
        model: ids.ModelName | None,
        adapter: ids.AdapterName | None,
        delta: int,
    ) -> None:
        """Counts a request that starts (1) or ends (-1) on a target."""
        _adjust_count(self._own_requests, target, delta)
        _adjust_count(
            self._own_requests_by_model, (target, model, adapter), delta
        )

    def has_own_requests(
        self, target: ids.TargetId, model: ids.ModelName
    ) -> bool:
        """Whether this instance runs requests for a model on a target."""
        return any(
            key[0] == target and key[1] == model
            for key in self._own_requests_by_model
        )

    def count_own_requests(self, target: ids.TargetId) -> int:
        """Returns the number of this instance's requests on a target."""
        return self._own_requests.get(target, 0)

    def list_own_requests(
        self, zone: ids.AvailabilityZone
    ) -> tuple[peer_messages.RunningCount, ...]:
        """Returns this instance's requests in progress in a zone."""
        running = []
        for (
            target,
            model,
            adapter,
        ), count in self._own_requests_by_model.items():
            entry = self.directory.get(target)
            if entry is not None and entry.availability_zone == zone:
                running.append(
                    peer_messages.RunningCount(target, model, adapter, count)
                )
        return tuple(running)

    def set_reported_requests(
        self, running: Iterable[peer_messages.RunningCount]
    ) -> None:
        """Stores which of this instance's requests the leaders know of.

        The running counts in zone updates include them, so `estimate_load`
        subtracts them to avoid counting them twice.
        """
        counts: dict[ids.TargetId, int] = {}
        for row in running:
            _adjust_count(counts, row.target, row.count)
        self._reported_requests.update(counts)
        for target in self._reported_requests.keys() - counts.keys():
            if target not in self._own_requests:
                del self._reported_requests[target]

    def estimate_load(self, target: ids.TargetId) -> int:
        """Estimates the number of requests of all instances on a target."""
        own_count = self._own_requests.get(target, 0)
        received = self._get_received_state(target)
        if received is None:
            return own_count
        other_count = max(
            0, received.running_count - self._reported_requests.get(target, 0)
        )
        return own_count + other_count

    def apply_zone_update(
        self, update: peer_messages.ZoneUpdate, now: datetime.timedelta
    ) -> None:
        """Applies a zone update of a zone's leader.

        Updates with an older fencing token come from a former leader and are
        ignored.
        """
        zone = update.availability_zone
        state = self._zones.get(zone)
        if state is not None and _is_from_former_leader(state, update):
            return
        if state is None or state.leader != update.leader or update.is_snapshot:
            state = _ZoneState(
                update.leader,
                update.fencing_token,
                update.era,
                now,
                now,
                0,
                1,
            )
            self._zones[zone] = state
        state.fencing_token = update.fencing_token
        state.era = update.era
        state.last_heard_at = now
        state.leader_active_from = None
        if update.time_until_active is not None:
            state.leader_active_from = now + update.time_until_active
        state.backlog = update.backlog
        state.instance_count = update.instance_count
        state.store_capacity = update.store_capacity
        for view in update.targets:
            state.targets[view.target] = _ReceivedTargetState(
                view.incarnation,
                now,
                {
                    replica.model: now + replica.ready_in
                    for replica in view.replicas
                },
                frozenset(
                    replica.model
                    for replica in view.replicas
                    if replica.is_draining
                ),
                frozenset(
                    replica.model
                    for replica in view.replicas
                    if replica.is_planned
                ),
                {
                    (adapter.model, adapter.adapter): now + adapter.ready_in
                    for adapter in view.adapters
                },
                now + view.busy_for,
                view.running,
                view.fetching_model,
            )
            indexed_models = self._models_by_target.get(view.target, ())
            if any(
                replica.model not in indexed_models for replica in view.replicas
            ):
                self._model_index_revision = -1
        for target in update.removed:
            state.targets.pop(target, None)

    def record_leader_lost(self, zone: ids.AvailabilityZone) -> None:
        """Marks a zone's leader as lost because the connection to it broke."""
        state = self._zones.get(zone)
        if state is not None:
            state.last_heard_at = -LEADER_TIMEOUT

    def has_leader(
        self, zone: ids.AvailabilityZone, now: datetime.timedelta
    ) -> bool:
        """Whether a zone's leader published an update within the timeout."""
        state = self._zones.get(zone)
        return state is not None and now - state.last_heard_at < LEADER_TIMEOUT

    def list_zones(self) -> list[ids.AvailabilityZone]:
        """Returns the zones whose leaders have ever published an update."""
        return list(self._zones)

    def get_leader_active_from(
        self, zone: ids.AvailabilityZone, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when a zone's leader becomes active and may send orders.

        None if the zone has no leader or the leader does not know the time.
        """
        if not self.has_leader(zone, now):
            return None
        return self._zones[zone].leader_active_from

    def count_instances(self) -> int:
        """Returns the number of instances that report to leaders.

        0 if no leader has published it yet.
        """
        counts = [state.instance_count for state in self._zones.values()]
        return max(counts, default=0)

    def list_usable_targets(
        self,
        service: ids.ServiceName,
        now: datetime.timedelta,
        also: Set[ids.TargetId] = frozenset(),
    ) -> list[targets.Description]:
        """Returns the targets that may get new requests.

        Targets that are ejected because they were unreachable are excluded
        unless no other target is available.

        Args:
            service: The service.
            now: The time.
            also: Targets that are not excluded in any case.
        """
        available = [
            entry
            for entry in self.directory.list_by_service(service)
            if not entry.is_draining
        ]
        healthy = [
            entry
            for entry in available
            if entry.target in also
            or not self.health.is_ejected(entry.target, now)
        ]
        return healthy or available

    def list_replicas(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
        also: Set[ids.TargetId] = frozenset(),
    ) -> list[targets.Description]:
        """Returns the targets that take requests for a model now.

        `also` is that of `list_usable_targets`.
        """
        return [
            entry
            for entry in self._list_usable_candidates(service, model, now, also)
            if self.is_serving(entry, model, now)
        ]

    def _list_usable_candidates(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
        also: Set[ids.TargetId] = frozenset(),
    ) -> list[targets.Description]:
        """Returns the usable targets that may have a model."""
        if self._model_index_revision != self.directory.revision:
            self._rebuild_model_index()
        candidates = self._targets_by_model.get((service, model), ())
        available = [entry for entry in candidates if not entry.is_draining]
        healthy = [
            entry
            for entry in available
            if entry.target in also
            or not self.health.is_ejected(entry.target, now)
        ]
        if len(healthy) == len(available):
            return healthy
        usable = {
            entry.target
            for entry in self.list_usable_targets(service, now, also)
        }
        return [entry for entry in available if entry.target in usable]

    def _rebuild_model_index(self) -> None:
        self._model_index_revision = self.directory.revision
        self._targets_by_model = {}
        self._models_by_target = {}
        for service in self.directory.services:
            for entry in self.directory.list_by_service(service):
                names = {loaded.name for loaded in entry.models}
                received = self._get_received_state(entry.target)
                if received is not None:
                    names.update(received.ready_at)
                self._models_by_target[entry.target] = names
                for name in names:
                    key = (service, name)
                    self._targets_by_model.setdefault(key, []).append(entry)

    def get_disk_copies(
        self,
    ) -> Mapping[ids.ModelName, frozenset[ids.TargetId]]:
        """Returns for each model the targets with a cached copy on disk."""
        if self._disk_copies_revision != self.directory.revision:
            self._disk_copies_revision = self.directory.revision
            targets_by_model: dict[ids.ModelName, list[ids.TargetId]] = {}
            for entry in self.directory:
                for model in entry.copies.on_disk:
                    targets_by_model.setdefault(model, []).append(entry.target)
            self._disk_copies = {
                model: frozenset(target_ids)
                for model, target_ids in targets_by_model.items()
            }
        return self._disk_copies

    def list_models(
        self, target: targets.Description, now: datetime.timedelta
    ) -> list[tuple[ids.ModelName, datetime.timedelta, bool]]:
        """Returns the models that a target has, is loading, or will load.

        Draining models are excluded.

        Returns:
            For each model its name, the time from which it takes requests, and
            whether the load is only planned: memory for it is still being
            freed.
        """
        received = self._get_current(target, now)
        if received is None:
            return [(loaded.name, now, False) for loaded in target.models]
        return [
            (model, ready_at, model in received.planned_models)
            for model, ready_at in received.ready_at.items()
            if model not in received.draining_models
        ]

    def is_model_draining(
        self, target: ids.TargetId, model: ids.ModelName
    ) -> bool:
        """Whether a model gets no new requests because it will be unloaded.

        The leader unloads it when its running requests have ended.
        """
        received = self._get_received_state(target)
        return received is not None and model in received.draining_models

    def is_serving(
        self,
        target: targets.Description,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> bool:
        """Whether a target takes requests for a model now."""
        not_loaded_until = self._not_loaded_until.get(
            (target.target, model, None)
        )
        if not_loaded_until is not None and now < not_loaded_until:
            return False
        received = self._get_current(target, now)
        if received is None:
            return any(loaded.name == model for loaded in target.models)
        ready_at = received.ready_at.get(model)
        return (
            ready_at is not None
            and ready_at <= now
            and model not in received.draining_models
            and model not in received.planned_models
        )

    def get_ready_for_order_at(
        self, target: targets.Description, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when a target can take its next order.

        Does not consider whether the zone has an active leader.
        """
        received = self._get_current(target, now)
        return received.ready_for_order_at if received is not None else now

    def get_next_order_at(
        self, target: targets.Description, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when the leader can send a target its next order.

        None if the zone has no leader or the leader does not know the time.
        """
        active_from = self.get_leader_active_from(target.availability_zone, now)
        if active_from is None:
            return None
        return max(self.get_ready_for_order_at(target, now), active_from)

    def get_fetching_model(
        self, target: targets.Description, now: datetime.timedelta
    ) -> ids.ModelName | None:
        """Returns the model that a target is loading from the weight store."""
        received = self._get_received_state(target.target)
        if received is None or received.fetching_model is None:
            return None
        return (
            received.fetching_model if self._get_current(target, now) else None
        )

    def is_full(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether a target recently rejected a request because it was full."""
        return now < self._full_until.get(target, _ZERO)

    def get_adapter_ready_at(
        self,
        target: targets.Description,
        model: ids.ModelName,
        adapter: ids.AdapterName,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns when a target has an adapter ready.

        If the time is not after `now`, the adapter counts as loaded. None if
        the adapter is neither loaded nor being loaded, and for `NOT_LOADED_TTL`
        after a not-loaded response of the target to a request for it.
        """
        not_loaded_until = self._not_loaded_until.get(
            (target.target, model, adapter)
        )
        if not_loaded_until is not None and now < not_loaded_until:
            return None
        received = self._get_current(target, now)
        if received is not None:
            return received.adapters_ready_at.get((model, adapter))
        for loaded in target.models:
            if loaded.name == model and adapter in loaded.adapters:
                return now
        return None

    def get_model_ready_at(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns the earliest time at which a target has a model ready.

        None if no zone update lists a target that has or will load the model.
        """
        earliest = self._estimate_earliest_ready(service, model, now)
        return earliest.ready_at if earliest else None

    def find_earliest_zone(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> ids.AvailabilityZone | None:
        """Returns the zone that has a model or will have it first.

        None if no zone update lists a target that has or will load the model.
        """
        earliest = self._estimate_earliest_ready(service, model, now)
        return earliest.availability_zone if earliest else None

    def _estimate_earliest_ready(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> ZoneReadyTime | None:
        estimates = []
        for entry in self._list_usable_candidates(service, model, now):
            received = self._get_current(entry, now)
            if received is None or model in received.draining_models:
                continue
            ready_at = received.ready_at.get(model)
            if ready_at is not None:
                estimates.append(
                    ZoneReadyTime(entry.availability_zone, ready_at)
                )
        return min(
            estimates, key=lambda estimate: estimate.ready_at, default=None
        )

    def estimate_zone_ready_times(
        self,
        service: ids.ServiceName,
        model: configuration.Model,
        now: datetime.timedelta,
    ) -> list[ZoneReadyTime]:
        """Returns when each zone could have a model loaded, earliest first.

        The estimate adds the time to load the zone's backlog of models from
        disk, divided by the number of its targets. A load from the weight store
        starts when the store can carry another one at full speed. Of zones with
        the same time, the own one comes first.
        """
        earliest: dict[ids.AvailabilityZone, datetime.timedelta] = {}
        target_counts: dict[ids.AvailabilityZone, int] = {}
        for entry in self.list_usable_targets(service, now):
            zone = entry.availability_zone
            target_counts[zone] = target_counts.get(zone, 0) + 1
            order_at = self.get_next_order_at(entry, now)
            if order_at is None:
                continue
            start_at = max(now, order_at)
            if not has_copy(model.name, entry.copies):
                start_at = max(start_at, self.estimate_store_start(now))
            ready_at = start_at + estimate_load_time(model, entry.copies)
            if zone not in earliest or ready_at < earliest[zone]:
                earliest[zone] = ready_at
        estimates = []
        for zone, ready_at in earliest.items():
            queue_delay = (
                self._zones[zone].backlog
                * model.disk_load_time
                / target_counts[zone]
            )
            estimates.append(ZoneReadyTime(zone, ready_at + queue_delay))
        estimates.sort(
            key=lambda estimate: (
                estimate.ready_at,
                estimate.availability_zone != self._own_zone,
            )
        )
        return estimates

    def estimate_store_start(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when a load from the weight store can start at full speed."""
        if self._store_start is not None and self._store_start[0] == now:
            return self._store_start[1]
        ends = []
        for entry in self.directory:
            model = self.get_fetching_model(entry, now)
            received = self._get_received_state(entry.target)
            if model is not None and received is not None:
                ends.append(max(now, received.ready_at.get(model, now)))
        ends.sort()
        capacity = self.get_store_capacity(now) or len(ends) + 1
        start_at = now
        if len(ends) >= capacity:
            start_at = ends[len(ends) - capacity]
        self._store_start = (now, start_at)
        return start_at

    def get_store_capacity(self, now: datetime.timedelta) -> int | None:
        """Returns the lowest capacity of the weight store that leaders publish.

        None if no present leader has published one.
        """
        return min(
            (
                zone_state.store_capacity
                for zone, zone_state in self._zones.items()
                if zone_state.store_capacity is not None
                and self.has_leader(zone, now)
            ),
            default=None,
        )

    def record_not_loaded(
        self,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        now: datetime.timedelta,
    ) -> None:
        """Records a response that a model or an adapter is not loaded."""
        self._not_loaded_until[(target, model, adapter)] = now + NOT_LOADED_TTL

    def record_full(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
        """Records that a target rejected a request because it was full."""
        self._full_until[target] = now + FULL_BACKOFF

    def expire(self, now: datetime.timedelta) -> None:
        """Drops not-loaded and full responses that have expired."""
        self._not_loaded_until = {
            key: until
            for key, until in self._not_loaded_until.items()
            if until > now
        }
        self._full_until = {
            target: until
            for target, until in self._full_until.items()
            if until > now
        }

    def _get_received_state(
        self, target: ids.TargetId
    ) -> _ReceivedTargetState | None:
        entry = self.directory.get(target)
        if entry is None:
            return None
        zone_state = self._zones.get(entry.availability_zone)
        received = zone_state.targets.get(target) if zone_state else None
        if received is None or received.incarnation != entry.incarnation:
            return None
        return received

    def _get_current(
        self, target: targets.Description, now: datetime.timedelta
    ) -> _ReceivedTargetState | None:
        """Returns the received state of a target unless the registry is newer.

        Without a leader nobody sends orders to a target, so the state that the
        last leader published remains valid. During a registry outage the
        entries are older than that state.
        """
        received = self._get_received_state(target.target)
        if received is None or self.has_leader(target.availability_zone, now):
            return received
        read_at = self.directory.get_read_at(target.target)
        return (
            None if read_at > received.received_at + REGISTRY_LAG else received
        )


def _is_from_former_leader(
    state: _ZoneState, update: peer_messages.ZoneUpdate
) -> bool:
    """Whether the sender of an update is no longer the leader of the zone."""
    if ids.UNNAMED_ERA in (state.era, update.era):
        # An instance of an older build sends no era.
        return election.get_generation(
            update.era, update.fencing_token
        ) < election.get_generation(state.era, state.fencing_token)
    return update.fencing_token < state.fencing_token


def has_copy(model: ids.ModelName, copies: targets.CachedCopies) -> bool:
    """Returns whether a model need not be loaded from the weight store."""
    return model in copies.in_memory or model in copies.on_disk


def estimate_load_time(
    model: configuration.Model, copies: targets.CachedCopies
) -> datetime.timedelta:
    """Returns how long a load takes on a target with these cached copies."""
    if model.name in copies.in_memory:
        return model.memory_load_time
    if model.name in copies.on_disk:
        return model.disk_load_time
    return model.store_load_time


def hash_pair(left: str, right: str) -> int:
    """Returns a 32-bit FNV-1a hash, which is the same in every process."""
    value = 2166136261
    for byte in f"{left}\0{right}".encode():
        value = (value ^ byte) * 16777619 & 0xFFFFFFFF
    return value


def _adjust_count(table: dict, key: object, delta: int) -> None:
    count = table.get(key, 0) + delta
    if count > 0:
        table[key] = count
    else:
        table.pop(key, None)


def zones_to_json(
    fleet: Fleet, now: datetime.timedelta
) -> Mapping[str, object]:
    """Returns the published zone states with their ages, for a dump."""
    return {
        zone: {
            "holder": zone_state.leader,
            "token": zone_state.fencing_token,
            "age_s": (now - zone_state.last_heard_at).total_seconds(),
            "orders_in_s": (
                None
                if zone_state.leader_active_from is None
                else (zone_state.leader_active_from - now).total_seconds()
            ),
            "backlog": zone_state.backlog,
            "targets": {
                target: {
                    "age_s": (now - received.received_at).total_seconds(),
                    "models": {
                        model: (ready_at - now).total_seconds()
                        for model, ready_at in received.ready_at.items()
                    },
                    "closing": sorted(received.draining_models),
                    "adapters": [
                        f"{model}/{adapter}"
                        for model, adapter in received.adapters_ready_at
                    ],
                    "busy_s": (
                        received.ready_for_order_at - now
                    ).total_seconds(),
                    "running": received.running_count,
                }
                for target, received in zone_state.targets.items()
            },
        }
        for zone, zone_state in fleet._zones.items()
    }
