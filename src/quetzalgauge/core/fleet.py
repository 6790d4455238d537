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
from quetzalgauge.core import exchange
from quetzalgauge.core import health
from quetzalgauge.core import targets

# A holder that has said nothing for this time is taken for lost.
HOLDER_SILENCE = datetime.timedelta(milliseconds=1500)
# Entries of the register tell of a state so long ago: a heartbeat and its read.
REGISTER_LAG = datetime.timedelta(seconds=2)
# How long a target's denial of a model or adapter outweighs the boards.
DENIAL_TIME = datetime.timedelta(milliseconds=150)
# How long a target that said it was full gets no new request.
FULL_TIME = datetime.timedelta(milliseconds=60)

_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class _ZoneBoard:
    holder: ids.InstanceId
    token: int
    heard: datetime.timedelta
    orders_at: datetime.timedelta | None
    backlog: int
    instances: int
    views: dict[ids.TargetId, "_View"] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _View:
    incarnation: int
    received: datetime.timedelta
    ready_at: dict[ids.ModelName, datetime.timedelta]
    closing: frozenset[ids.ModelName]
    planned: frozenset[ids.ModelName]
    adapters: dict[tuple[ids.ModelName, ids.AdapterName], datetime.timedelta]
    free_at: datetime.timedelta
    running: int
    fetching: ids.ModelName | None


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
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
        self, own_zone: ids.AvailabilityZone, record: health.Health
    ) -> None:
        self.directory = targets.Directory()
        self.health = record
        self._own_zone = own_zone
        self._boards: dict[ids.AvailabilityZone, _ZoneBoard] = {}
        self._own: dict[ids.TargetId, int] = {}
        self._own_models: dict[
            tuple[ids.TargetId, ids.ModelName | None, ids.AdapterName | None],
            int,
        ] = {}
        self._reported: dict[ids.TargetId, int] = {}
        self._denied: dict[
            tuple[ids.TargetId, ids.ModelName, ids.AdapterName | None],
            datetime.timedelta,
        ] = {}
        self._full: dict[ids.TargetId, datetime.timedelta] = {}
        # Who may have a model: a superset, made anew when it is outdated.
        self._with_model: dict[
            tuple[ids.ServiceName, ids.ModelName], list[targets.Description]
        ] = {}
        self._models_of: dict[ids.TargetId, set[ids.ModelName]] = {}
        self._index_revision = -1
        self._copies: dict[ids.ModelName, frozenset[ids.TargetId]] = {}
        self._copies_revision = -1

    # ---- Own requests in progress

    def count(
        self,
        target: ids.TargetId,
        model: ids.ModelName | None,
        adapter: ids.AdapterName | None,
        change: int,
    ) -> None:
        """Counts a request that starts (1) or ends (-1) on a target."""
        _add(self._own, target, change)
        _add(self._own_models, (target, model, adapter), change)

    def runs(self, target: ids.TargetId, model: ids.ModelName) -> bool:
        """Whether this instance has requests for a model on a target."""
        return any(
            key[0] == target and key[1] == model for key in self._own_models
        )

    def own_running(self, target: ids.TargetId) -> int:
        """Returns this instance's requests in progress on a target."""
        return self._own.get(target, 0)

    def running_in(
        self, zone: ids.AvailabilityZone
    ) -> tuple[exchange.Running, ...]:
        """Returns this instance's requests in progress in a zone."""
        found = []
        for (target, model, adapter), count in self._own_models.items():
            known = self.directory.get(target)
            if known is not None and known.availability_zone == zone:
                found.append(exchange.Running(target, model, adapter, count))
        return tuple(found)

    def note_reported(self, running: Iterable[exchange.Running]) -> None:
        """Remembers what the holders know of this instance's requests."""
        counts: dict[ids.TargetId, int] = {}
        for row in running:
            _add(counts, row.target, row.count)
        self._reported.update(counts)
        for target in self._reported.keys() - counts.keys():
            if target not in self._own:
                del self._reported[target]

    def load(self, target: ids.TargetId) -> int:
        """Returns the estimated requests in progress of all instances."""
        own = self._own.get(target, 0)
        view = self._view(target)
        if view is None:
            return own
        others = max(0, view.running - self._reported.get(target, 0))
        return own + others

    # ---- Boards

    def use_board(self, board: exchange.Board, now: datetime.timedelta) -> None:
        """Takes a message of a holder."""
        zone = board.availability_zone
        known = self._boards.get(zone)
        if known is not None and board.token < known.token:
            return
        if known is None or known.holder != board.holder or board.complete:
            known = _ZoneBoard(board.holder, board.token, now, now, 0, 1)
            self._boards[zone] = known
        known.token = board.token
        known.heard = now
        known.orders_at = None
        if board.orders_in is not None:
            known.orders_at = now + board.orders_in
        known.backlog = board.backlog
        known.instances = board.instances
        for view in board.targets:
            known.views[view.target] = _View(
                view.incarnation,
                now,
                {one.model: now + one.ready_in for one in view.replicas},
                frozenset(one.model for one in view.replicas if one.closing),
                frozenset(one.model for one in view.replicas if one.planned),
                {
                    (one.model, one.adapter): now + one.ready_in
                    for one in view.adapters
                },
                now + view.busy_for,
                view.running,
                view.fetching,
            )
            indexed = self._models_of.get(view.target, ())
            if any(one.model not in indexed for one in view.replicas):
                self._index_revision = -1
        for target in board.gone:
            known.views.pop(target, None)

    def lose_holder(self, zone: ids.AvailabilityZone) -> None:
        """The link to a zone's holder broke."""
        board = self._boards.get(zone)
        if board is not None:
            board.heard = -HOLDER_SILENCE

    def has_holder(
        self, zone: ids.AvailabilityZone, now: datetime.timedelta
    ) -> bool:
        """Whether a zone's holder has been heard lately."""
        board = self._boards.get(zone)
        return board is not None and now - board.heard < HOLDER_SILENCE

    def zones(self) -> list[ids.AvailabilityZone]:
        """Returns the zones whose holders were heard at any time."""
        return list(self._boards)

    def orders_at(
        self, zone: ids.AvailabilityZone, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when a zone's holder may give orders.

        None: there is no holder, or nothing tells when.
        """
        if not self.has_holder(zone, now):
            return None
        return self._boards[zone].orders_at

    def instances(self) -> int:
        """Returns the number of instances that report to holders."""
        counts = [board.instances for board in self._boards.values()]
        return max(counts, default=1)

    # ---- Choices

    def usable(
        self, service: ids.ServiceName, now: datetime.timedelta
    ) -> list[targets.Description]:
        """Returns the targets that may get new work.

        Targets that could not be reached lately are left out unless nothing
        else is there.
        """
        present = [
            one for one in self.directory.of_service(service) if not one.leaving
        ]
        well = [
            one for one in present if not self.health.is_paused(one.target, now)
        ]
        return well or present

    def replicas(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> list[targets.Description]:
        """Returns the targets that take requests for a model now."""
        return [
            one
            for one in self._usable_with(service, model, now)
            if self.serves(one, model, now)
        ]

    def _usable_with(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> list[targets.Description]:
        """Returns the usable targets that may have a model."""
        if self._index_revision != self.directory.revision:
            self._index_models()
        known = self._with_model.get((service, model), ())
        present = [one for one in known if not one.leaving]
        well = [
            one for one in present if not self.health.is_paused(one.target, now)
        ]
        if len(well) == len(present):
            return well
        usable = {one.target for one in self.usable(service, now)}
        return [one for one in present if one.target in usable]

    def _index_models(self) -> None:
        self._index_revision = self.directory.revision
        self._with_model = {}
        self._models_of = {}
        for service in self.directory.services:
            for one in self.directory.of_service(service):
                names = {loaded.name for loaded in one.models}
                view = self._view(one.target)
                if view is not None:
                    names.update(view.ready_at)
                self._models_of[one.target] = names
                for name in names:
                    key = (service, name)
                    self._with_model.setdefault(key, []).append(one)

    def copies(
        self,
    ) -> Mapping[ids.ModelName, frozenset[ids.TargetId]]:
        """Returns the targets with a copy of each model on disk."""
        if self._copies_revision != self.directory.revision:
            self._copies_revision = self.directory.revision
            found: dict[ids.ModelName, list[ids.TargetId]] = {}
            for one in self.directory:
                for model in one.copies.on_disk:
                    found.setdefault(model, []).append(one.target)
            self._copies = {
                model: frozenset(names) for model, names in found.items()
            }
        return self._copies

    def held(
        self, one: targets.Description, now: datetime.timedelta
    ) -> list[tuple[ids.ModelName, datetime.timedelta, bool]]:
        """Returns the models that a target has, is loading, or is to load.

        Each with the time at which it takes requests and whether room for it
        is still being made. Models that are being unloaded are left out.
        """
        view = self._current_view(one, now)
        if view is None:
            return [(loaded.name, now, False) for loaded in one.models]
        return [
            (model, ready, model in view.planned)
            for model, ready in view.ready_at.items()
            if model not in view.closing
        ]

    def is_closing(self, target: ids.TargetId, model: ids.ModelName) -> bool:
        """Whether a holder waits for the end of requests for a model."""
        view = self._view(target)
        return view is not None and model in view.closing

    def serves(
        self,
        one: targets.Description,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> bool:
        """Whether a target takes requests for a model now."""
        denied = self._denied.get((one.target, model, None))
        if denied is not None and now < denied:
            return False
        view = self._current_view(one, now)
        if view is None:
            return any(loaded.name == model for loaded in one.models)
        ready = view.ready_at.get(model)
        return (
            ready is not None
            and ready <= now
            and model not in view.closing
            and model not in view.planned
        )

    def busy_until(
        self, one: targets.Description, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when a target can take an order again."""
        view = self._current_view(one, now)
        return view.free_at if view is not None else now

    def can_order_at(
        self, one: targets.Description, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when a target can get an order, None as for its zone."""
        orders_at = self.orders_at(one.availability_zone, now)
        if orders_at is None:
            return None
        return max(self.busy_until(one, now), orders_at)

    def fetching(
        self, one: targets.Description, now: datetime.timedelta
    ) -> ids.ModelName | None:
        """Returns the model that a target loads from the weight store."""
        view = self._view(one.target)
        if view is None or view.fetching is None:
            return None
        return view.fetching if self._current_view(one, now) else None

    def is_full(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether a target said a moment ago that it was full."""
        return now < self._full.get(target, _ZERO)

    def adapter_ready_at(
        self,
        one: targets.Description,
        model: ids.ModelName,
        adapter: ids.AdapterName,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns when a target has an adapter, None if it is not coming."""
        denied = self._denied.get((one.target, model, adapter))
        if denied is not None and now < denied:
            return None
        view = self._current_view(one, now)
        if view is not None:
            return view.adapters.get((model, adapter))
        for loaded in one.models:
            if loaded.name == model and adapter in loaded.adapters:
                return now
        return None

    def planned(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns when a target that loads a model will have it."""
        found = self._soonest(service, model, now)
        return found.ready_at if found else None

    def planned_zone(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> ids.AvailabilityZone | None:
        """Returns the zone that loads a model or has it."""
        found = self._soonest(service, model, now)
        return found.availability_zone if found else None

    def _soonest(
        self,
        service: ids.ServiceName,
        model: ids.ModelName,
        now: datetime.timedelta,
    ) -> Offer | None:
        offers = []
        for one in self._usable_with(service, model, now):
            view = self._current_view(one, now)
            if view is None or model in view.closing:
                continue
            ready = view.ready_at.get(model)
            if ready is not None:
                offers.append(Offer(one.availability_zone, ready))
        return min(offers, key=lambda one: one.ready_at, default=None)

    def offers(
        self,
        service: ids.ServiceName,
        model: configuration.Model,
        now: datetime.timedelta,
    ) -> list[Offer]:
        """Returns when each zone could have a model, the soonest first."""
        best: dict[ids.AvailabilityZone, datetime.timedelta] = {}
        counts: dict[ids.AvailabilityZone, int] = {}
        for one in self.usable(service, now):
            zone = one.availability_zone
            counts[zone] = counts.get(zone, 0) + 1
            free_at = self.can_order_at(one, now)
            if free_at is None:
                continue
            ready = max(now, free_at) + load_time(model, one.copies)
            if zone not in best or ready < best[zone]:
                best[zone] = ready
        offers = []
        for zone, ready in best.items():
            queued = self._boards[zone].backlog * model.disk_load / counts[zone]
            offers.append(Offer(zone, ready + queued))
        offers.sort(
            key=lambda offer: (
                offer.ready_at,
                offer.availability_zone != self._own_zone,
            )
        )
        return offers

    def deny(
        self,
        target: ids.TargetId,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        now: datetime.timedelta,
    ) -> None:
        """A target said that it lacks a model or an adapter."""
        self._denied[(target, model, adapter)] = now + DENIAL_TIME

    def note_full(self, target: ids.TargetId, now: datetime.timedelta) -> None:
        """A target said that it was full."""
        self._full[target] = now + FULL_TIME

    def expire(self, now: datetime.timedelta) -> None:
        """Forgets denials that are over."""
        self._denied = {
            key: end for key, end in self._denied.items() if end > now
        }
        self._full = {
            target: end for target, end in self._full.items() if end > now
        }

    # ---- Views

    def _view(self, target: ids.TargetId) -> _View | None:
        known = self.directory.get(target)
        if known is None:
            return None
        board = self._boards.get(known.availability_zone)
        view = board.views.get(target) if board else None
        if view is None or view.incarnation != known.incarnation:
            return None
        return view

    def _current_view(
        self, one: targets.Description, now: datetime.timedelta
    ) -> _View | None:
        """Returns the board's view unless the register is newer.

        Without a holder nobody orders a target, so what its last holder said
        stays true. An outage of the register makes its entries older.
        """
        view = self._view(one.target)
        if view is None or self.has_holder(one.availability_zone, now):
            return view
        read_at = self.directory.read_at(one.target)
        return None if read_at > view.received + REGISTER_LAG else view


def load_time(
    model: configuration.Model, copies: targets.Copies
) -> datetime.timedelta:
    """Returns how long a target with these copies takes to load a model."""
    if model.name in copies.in_memory:
        return model.memory_load
    if model.name in copies.on_disk:
        return model.disk_load
    return model.store_load


def hash_pair(left: str, right: str) -> int:
    """Returns a number that is the same in every process."""
    value = 2166136261
    for byte in f"{left}\0{right}".encode():
        value = (value ^ byte) * 16777619 & 0xFFFFFFFF
    return value


def _add(table: dict, key: object, change: int) -> None:
    left = table.get(key, 0) + change
    if left > 0:
        table[key] = left
    else:
        table.pop(key, None)


def boards_as_json(
    fleet: Fleet, now: datetime.timedelta
) -> Mapping[str, object]:
    """Returns what the boards say, with its age, for a dump."""
    return {
        zone: {
            "holder": board.holder,
            "token": board.token,
            "age_s": (now - board.heard).total_seconds(),
            "orders_in_s": (
                None
                if board.orders_at is None
                else (board.orders_at - now).total_seconds()
            ),
            "backlog": board.backlog,
            "targets": {
                target: {
                    "age_s": (now - view.received).total_seconds(),
                    "models": {
                        model: (at - now).total_seconds()
                        for model, at in view.ready_at.items()
                    },
                    "closing": sorted(view.closing),
                    "adapters": [
                        f"{model}/{adapter}" for model, adapter in view.adapters
                    ],
                    "busy_s": (view.free_at - now).total_seconds(),
                    "running": view.running,
                }
                for target, view in board.views.items()
            },
        }
        for zone, board in fleet._boards.items()
    }
