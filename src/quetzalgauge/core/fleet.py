"""Where a request can go: targets, what they hold and how loaded they are.

Joins the register of targets, the boards of the holders, this instance's own
requests in progress and its record of each target's health.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import configuration
from quetzalgauge.core import health
from quetzalgauge.core import peer_messages
from quetzalgauge.core import targets

# A holder that has said nothing for this time is taken for lost.
LEADER_TIMEOUT = datetime.timedelta(milliseconds=1500)
# Entries of the register tell of a state so long ago: a heartbeat and its read.
REGISTRY_LAG = datetime.timedelta(seconds=2)
# How long a target's denial of a model or adapter outweighs the boards.
NOT_LOADED_TTL = datetime.timedelta(milliseconds=150)
# How long a target that said it was full gets no new request.
FULL_BACKOFF = datetime.timedelta(milliseconds=60)

_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class _ZoneState:
    leader: ids.InstanceId
    fencing_token: int
    last_heard_at: datetime.timedelta
    leader_active_from: datetime.timedelta | None
    backlog: int
    instance_count: int
    targets: dict[ids.TargetId, "_ReceivedTarget"] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _ReceivedTarget:
    incarnation: int
    received_at: datetime.timedelta
    ready_at: dict[ids.ModelName, datetime.timedelta]
    draining_models: frozenset[ids.ModelName]
    planned_models: frozenset[ids.ModelName]
    adapters_ready_at: dict[
        tuple[ids.ModelName, ids.AdapterName], datetime.timedelta
    ]
    free_at: datetime.timedelta
    running: int
    fetching_model: ids.ModelName | None


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneEstimate:
    """The zone that is expected to have a model first.

    Attributes:
        availability_zone: The zone.
        ready_at: When it is expected to have the model.
    """

    availability_zone: ids.AvailabilityZone
    ready_at: datetime.timedelta


class Fleet:
    """Everything that decides where a request can go."""

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
        # Who may have a model: a superset, made anew when it is outdated.
        self._targets_by_model: dict[
            tuple[ids.ServiceName, ids.ModelName], list[targets.Description]
        ] = {}
        self._models_by_target: dict[ids.TargetId, set[ids.ModelName]] = {}
        self._model_index_revision = -1
        self._disk_copies: dict[ids.ModelName, frozenset[ids.TargetId]] = {}
        self._disk_copies_revision = -1

    # ---- Own requests in progress

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
        """Whether this instance has requests for a model on a target."""
        return any(
            key[0] == target and key[1] == model
            for key in self._own_requests_by_model
        )

    def count_own_requests(self, target: ids.TargetId) -> int:
        """Returns this instance's requests in progress on a target."""
        return self._own_requests.get(target, 0)

    def list_own_requests(
        self, zone: ids.AvailabilityZone
    ) -> tuple[peer_messages.RunningCount, ...]:
        """Returns this instance's requests in progress in a zone."""
        found = []
        for (
            target,
            model,
            adapter,
        ), count in self._own_requests_by_model.items():
            known = self.directory.get(target)
            if known is not None and known.availability_zone == zone:
                found.append(
                    peer_messages.RunningCount(target, model, adapter, count)
                )
        return tuple(found)

    def set_reported_requests(
        self, running: Iterable[peer_messages.RunningCount]
    ) -> None:
        """Remembers what the holders know of this instance's requests."""
        counts: dict[ids.TargetId, int] = {}
        for row in running:
            _adjust_count(counts, row.target, row.count)
        self._reported_requests.update(counts)
        for target in self._reported_requests.keys() - counts.keys():
            if target not in self._own_requests:
                del self._reported_requests[target]

    def estimate_load(self, target: ids.TargetId) -> int:
        """Returns the estimated requests in progress of all instances."""
        own = self._own_requests.get(target, 0)
        view = self._get_received(target)
        if view is None:
            return own
        others = max(0, view.running - self._reported_requests.get(target, 0))
        return own + others

    # ---- Boards

    def apply_zone_update(
        self, update: peer_messages.ZoneUpdate, now: datetime.timedelta
    ) -> None:
        """Takes a message of a holder."""
        zone = update.availability_zone
        known = self._zones.get(zone)
        if known is not None and update.token < known.fencing_token:
            return
        if known is None or known.leader != update.leader or update.is_snapshot:
            known = _ZoneState(update.leader, update.token, now, now, 0, 1)
            self._zones[zone] = known
        known.fencing_token = update.token
        known.last_heard_at = now
        known.leader_active_from = None
        if update.time_until_active is not None:
            known.leader_active_from = now + update.time_until_active
        known.backlog = update.backlog
        known.instance_count = update.instance_count
        for view in update.targets:
            known.targets[view.target] = _ReceivedTarget(
                view.incarnation,
                now,
                {one.model: now + one.ready_in for one in view.replicas},
                frozenset(
                    one.model for one in view.replicas if one.is_draining
                ),
                frozenset(one.model for one in view.replicas if one.is_planned),
                {
                    (one.model, one.adapter): now + one.ready_in
                    for one in view.adapters
                },
                now + view.busy_for,
                view.running,
                view.fetching_model,
            )
            indexed = self._models_by_target.get(view.target, ())
            if any(one.model not in indexed for one in view.replicas):
                self._model_index_revision = -1
        for target in update.removed:
            known.targets.pop(target, None)

    def record_leader_lost(self, zone: ids.AvailabilityZone) -> None:
        """The link to a zone's holder broke."""
        board = self._zones.get(zone)
        if board is not None:
            board.last_heard_at = -LEADER_TIMEOUT

    def has_leader(
        self, zone: ids.AvailabilityZone, now: datetime.timedelta
    ) -> bool:
        """Whether a zone's holder has been heard lately."""
        board = self._zones.get(zone)
        return board is not None and now - board.last_heard_at < LEADER_TIMEOUT

    def list_zones(self) -> list[ids.AvailabilityZone]:
        """Returns the zones whose holders were heard at any time."""
        return list(self._zones)

    def get_leader_active_from(
        self, zone: ids.AvailabilityZone, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when a zone's holder may give orders.

        None: there is no holder, or nothing tells when.
        """
        if not self.has_leader(zone, now):
            return None
        return self._zones[zone].leader_active_from

    def count_instances(self) -> int:
        """Returns the number of instances that report to holders."""
        counts = [board.instance_count for board in self._zones.values()]
        return max(counts, default=1)

    # ---- Choices

    def list_usable_targets(
        self, service: ids.ServiceName, now: datetime.timedelta
    ) -> list[targets.Description]:
        """Returns the targets that may get new work.

        Targets that could not be reached lately are left out unless nothing
        else is there.
        """
        present = [
            one
            for one in self.directory.list_by_service(service)
            if not one.is_draining
        ]
        well = [
            one
            for one in present
            if not self.health.is_ejected(one.target, now)
        ]
        return well or present

    def list_replicas(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> list[targets.Description]:
        """Returns the targets that take requests for a model now."""
        return [
            one
            for one in self._list_usable_candidates(service, model, now)
            if self.is_serving(one, model, now)
        ]

    def _list_usable_candidates(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> list[targets.Description]:
        """Returns the usable targets that may have a model."""
        if self._model_index_revision != self.directory.revision:
            self._rebuild_model_index()
        known = self._targets_by_model.get((service, model), ())
        present = [one for one in known if not one.is_draining]
        well = [
            one
            for one in present
            if not self.health.is_ejected(one.target, now)
        ]
        if len(well) == len(present):
            return well
        usable = {one.target for one in self.list_usable_targets(service, now)}
        return [one for one in present if one.target in usable]

    def _rebuild_model_index(self) -> None:
        self._model_index_revision = self.directory.revision
        self._targets_by_model = {}
        self._models_by_target = {}
        for service in self.directory.services:
            for one in self.directory.list_by_service(service):
                names = {loaded.name for loaded in one.models}
                view = self._get_received(one.target)
                if view is not None:
                    names.update(view.ready_at)
                self._models_by_target[one.target] = names
                for name in names:
                    key = (service, name)
                    self._targets_by_model.setdefault(key, []).append(one)

    def get_disk_copies(
        self,
    ) -> Mapping[ids.ModelName, frozenset[ids.TargetId]]:
        """Returns the targets with a copy of each model on disk."""
        if self._disk_copies_revision != self.directory.revision:
            self._disk_copies_revision = self.directory.revision
            found: dict[ids.ModelName, list[ids.TargetId]] = {}
            for one in self.directory:
                for model in one.copies.on_disk:
                    found.setdefault(model, []).append(one.target)
            self._disk_copies = {
                model: frozenset(names) for model, names in found.items()
            }
        return self._disk_copies

    def list_models(
        self, target: targets.Description, now: datetime.timedelta
    ) -> list[tuple[ids.ModelName, datetime.timedelta, bool]]:
        """Returns the models that a target has, is loading, or is to load.

        Each with the time at which it takes requests and whether room for it
        is still being made. Models that are being unloaded are left out.
        """
        view = self._get_current(target, now)
        if view is None:
            return [(loaded.name, now, False) for loaded in target.models]
        return [
            (model, ready, model in view.planned_models)
            for model, ready in view.ready_at.items()
            if model not in view.draining_models
        ]

    def is_model_draining(
        self, target: ids.TargetId, model: ids.ModelName
    ) -> bool:
        """Whether a holder waits for the end of requests for a model."""
        view = self._get_received(target)
        return view is not None and model in view.draining_models

    def is_serving(
        self,
        target: targets.Description,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> bool:
        """Whether a target takes requests for a model now."""
        denied = self._not_loaded_until.get((target.target, model, None))
        if denied is not None and now < denied:
            return False
        view = self._get_current(target, now)
        if view is None:
            return any(loaded.name == model for loaded in target.models)
        ready = view.ready_at.get(model)
        return (
            ready is not None
            and ready <= now
            and model not in view.draining_models
            and model not in view.planned_models
        )

    def get_free_at(
        self, target: targets.Description, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when a target can take an order again."""
        view = self._get_current(target, now)
        return view.free_at if view is not None else now

    def get_next_order_at(
        self, target: targets.Description, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when a target can get an order, None as for its zone."""
        orders_at = self.get_leader_active_from(target.availability_zone, now)
        if orders_at is None:
            return None
        return max(self.get_free_at(target, now), orders_at)

    def get_fetching_model(
        self, target: targets.Description, now: datetime.timedelta
    ) -> ids.ModelName | None:
        """Returns the model that a target loads from the weight store."""
        view = self._get_received(target.target)
        if view is None or view.fetching_model is None:
            return None
        return view.fetching_model if self._get_current(target, now) else None

    def is_full(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether a target said a moment ago that it was full."""
        return now < self._full_until.get(target, _ZERO)

    def get_adapter_ready_at(
        self,
        target: targets.Description,
        model: ids.ModelName,
        adapter: ids.AdapterName,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns when a target has an adapter, None if it is not coming."""
        denied = self._not_loaded_until.get((target.target, model, adapter))
        if denied is not None and now < denied:
            return None
        view = self._get_current(target, now)
        if view is not None:
            return view.adapters_ready_at.get((model, adapter))
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
        """Returns when a target that loads a model will have it."""
        found = self._find_earliest(service, model, now)
        return found.ready_at if found else None

    def find_loading_zone(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> ids.AvailabilityZone | None:
        """Returns the zone that loads a model or has it."""
        found = self._find_earliest(service, model, now)
        return found.availability_zone if found else None

    def _find_earliest(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> ZoneEstimate | None:
        offers = []
        for one in self._list_usable_candidates(service, model, now):
            view = self._get_current(one, now)
            if view is None or model in view.draining_models:
                continue
            ready = view.ready_at.get(model)
            if ready is not None:
                offers.append(ZoneEstimate(one.availability_zone, ready))
        return min(offers, key=lambda one: one.ready_at, default=None)

    def estimate_zones(
        self,
        service: ids.ServiceName,
        model: configuration.Model,
        now: datetime.timedelta,
    ) -> list[ZoneEstimate]:
        """Returns when each zone could have a model, the soonest first."""
        best: dict[ids.AvailabilityZone, datetime.timedelta] = {}
        counts: dict[ids.AvailabilityZone, int] = {}
        for one in self.list_usable_targets(service, now):
            zone = one.availability_zone
            counts[zone] = counts.get(zone, 0) + 1
            free_at = self.get_next_order_at(one, now)
            if free_at is None:
                continue
            ready = max(now, free_at) + estimate_load_time(model, one.copies)
            if zone not in best or ready < best[zone]:
                best[zone] = ready
        offers = []
        for zone, ready in best.items():
            queued = (
                self._zones[zone].backlog * model.disk_load_time / counts[zone]
            )
            offers.append(ZoneEstimate(zone, ready + queued))
        offers.sort(
            key=lambda offer: (
                offer.ready_at,
                offer.availability_zone != self._own_zone,
            )
        )
        return offers

    def record_not_loaded(
        self,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        now: datetime.timedelta,
    ) -> None:
        """A target said that it lacks a model or an adapter."""
        self._not_loaded_until[(target, model, adapter)] = now + NOT_LOADED_TTL

    def record_full(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
        """A target said that it was full."""
        self._full_until[target] = now + FULL_BACKOFF

    def expire(self, now: datetime.timedelta) -> None:
        """Forgets denials that are over."""
        self._not_loaded_until = {
            key: end for key, end in self._not_loaded_until.items() if end > now
        }
        self._full_until = {
            target: end for target, end in self._full_until.items() if end > now
        }

    # ---- Views

    def _get_received(self, target: ids.TargetId) -> _ReceivedTarget | None:
        known = self.directory.get(target)
        if known is None:
            return None
        board = self._zones.get(known.availability_zone)
        view = board.targets.get(target) if board else None
        if view is None or view.incarnation != known.incarnation:
            return None
        return view

    def _get_current(
        self, target: targets.Description, now: datetime.timedelta
    ) -> _ReceivedTarget | None:
        """Returns the board's view unless the register is newer.

        Without a holder nobody orders a target, so what its last holder said
        stays true. An outage of the register makes its entries older.
        """
        view = self._get_received(target.target)
        if view is None or self.has_leader(target.availability_zone, now):
            return view
        read_at = self.directory.get_read_at(target.target)
        return None if read_at > view.received_at + REGISTRY_LAG else view


def estimate_load_time(
    model: configuration.Model, copies: targets.CachedCopies
) -> datetime.timedelta:
    """Returns how long a target with these copies takes to load a model."""
    if model.name in copies.in_memory:
        return model.memory_load_time
    if model.name in copies.on_disk:
        return model.disk_load_time
    return model.store_load_time


def hash_pair(left: str, right: str) -> int:
    """Returns a number that is the same in every process."""
    value = 2166136261
    for byte in f"{left}\0{right}".encode():
        value = (value ^ byte) * 16777619 & 0xFFFFFFFF
    return value


def _adjust_count(table: dict, key: object, delta: int) -> None:
    left = table.get(key, 0) + delta
    if left > 0:
        table[key] = left
    else:
        table.pop(key, None)


def zones_to_json(
    fleet: Fleet, now: datetime.timedelta
) -> Mapping[str, object]:
    """Returns what the boards say, with its age, for a dump."""
    return {
        zone: {
            "holder": board.leader,
            "token": board.fencing_token,
            "age_s": (now - board.last_heard_at).total_seconds(),
            "orders_in_s": (
                None
                if board.leader_active_from is None
                else (board.leader_active_from - now).total_seconds()
            ),
            "backlog": board.backlog,
            "targets": {
                target: {
                    "age_s": (now - view.received_at).total_seconds(),
                    "models": {
                        model: (at - now).total_seconds()
                        for model, at in view.ready_at.items()
                    },
                    "closing": sorted(view.draining_models),
                    "adapters": [
                        f"{model}/{adapter}"
                        for model, adapter in view.adapters_ready_at
                    ],
                    "busy_s": (view.free_at - now).total_seconds(),
                    "running": view.running,
                }
                for target, view in board.targets.items()
            },
        }
        for zone, board in fleet._zones.items()
    }
