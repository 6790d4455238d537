"""The holder of a zone: it gives orders to the zone's targets.

It collects the reports of all instances, keeps a ledger of each target,
decides what to load, and publishes what its targets hold.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import functools
from typing import Any

from quetzalgauge import ids
from quetzalgauge.core import adapters
from quetzalgauge.core import configuration
from quetzalgauge.core import demand
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import fleet_snapshot
from quetzalgauge.core import log_events
from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import placement
from quetzalgauge.core import target_state
from quetzalgauge.core import weight_store

# Requests a second for rare models, for each target, at full pressure.
FULL_PRESSURE_RATE = 0.5
# What another zone has only later than this counts as absent.
MAX_REMOTE_READY_DELAY = datetime.timedelta(seconds=1.5)
# A place at the weight store that becomes free is left for this time to each
# zone whose turn comes first, so that they do not take it together.
STORE_TURN_DELAY = datetime.timedelta(milliseconds=100)
# Targets that start together have all registered if no new one came for this
# time (a heartbeat of the platform's targets).
REGISTRATION_QUIET_PERIOD = datetime.timedelta(milliseconds=1200)
# Room that is made for a load is kept for it for this time; an unload waits
# for requests that run.
RESERVATION_TIMEOUT = datetime.timedelta(seconds=2)
# Window and margin of the limit on loads from the weight store.
STORE_RATE_WINDOW = datetime.timedelta(seconds=5)
STORE_RATE_MARGIN = 0.9
# How often the holder looks for something to do without any event.
RECONCILE_INTERVAL = datetime.timedelta(milliseconds=50)
# Least pause between reviews that reports cause; loads take 20 times as long.
MIN_RECONCILE_INTERVAL = datetime.timedelta(milliseconds=30)
# How often loads that nobody waits for are looked at.
PREFETCH_INTERVAL = datetime.timedelta(milliseconds=400)
# How often it is looked at which models no target has a copy of.
COVERAGE_INTERVAL = datetime.timedelta(seconds=1)
# Most models that a line of the log names.
MAX_LOGGED_MODELS = 20
# How often counts of running requests alone are published.
RUNNING_COUNTS_INTERVAL = datetime.timedelta(milliseconds=200)

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    """A load for which room is being made."""

    choice: placement.PlacementDecision
    expires_at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class _PublishedTarget:
    signature: tuple[Any, ...]
    running: int
    revision: int


class ZoneLeader:
    """State of a holder."""

    def __init__(
        self,
        zone: ids.AvailabilityZone,
        instance: ids.InstanceId,
        fleet: fleet_module.Fleet,
        choose: placement.PlacementPolicy = placement.choose_placement,
    ) -> None:
        self._choose = choose
        self._zone = zone
        self._instance = instance
        self._fleet = fleet
        self._demand = demand.Demand()
        self._target_states: dict[ids.TargetId, target_state.TargetState] = {}
        self._reservations: dict[ids.TargetId, _Reservation] = {}
        self._config: configuration.Configuration | None = None
        self._store_load_starts: list[datetime.timedelta] = []
        self._weight_store = weight_store.WeightStoreMonitor()
        self._store_slot_free_since: datetime.timedelta | None = None
        self._has_new_store_slot = False
        self._models_without_copy: tuple[ids.ModelName, ...] = ()
        self._models_without_orders: tuple[ids.ModelName, ...] = ()
        self._unserved_since: dict[ids.ModelName, datetime.timedelta] = {}
        self._next_coverage_at = _ZERO
        self._published: dict[ids.TargetId, _PublishedTarget] = {}
        self._removed: dict[ids.TargetId, int] = {}
        self._revision = 0
        self._next_counts_at = _ZERO
        self._next_reconcile_at = _ZERO
        self._reconciled_at = -MIN_RECONCILE_INTERVAL
        self._next_prefetch_at = _ZERO
        self._seen_targets: set[ids.TargetId] = set()
        self._seen_count = 0
        self._seen_count_changed_at = _ZERO
        self._is_registration_complete = False
        self._initial_replicas: dict[ids.ModelName, int] = {}
        self._resends: list[orders.Order] = []
        self._log_events: list[log_events.LogEvent] = []

    @property
    def zone(self) -> ids.AvailabilityZone:
        """The zone whose targets are ordered."""
        return self._zone

    @property
    def revision(self) -> int:
        """Grows with each change of what is published."""
        return self._revision

    @property
    def store_loads(self) -> int:
        """Loads from the weight store that are under way on all targets."""
        return self._weight_store.active_count

    @property
    def models_without_copy(self) -> int:
        """Models asked for lately that only the weight store has."""
        return len(self._models_without_copy)

    @property
    def models_without_orders(self) -> int:
        """Models whose adapters are asked for and that nobody may order."""
        return len(self._models_without_orders)

    @property
    def next_wakeup_at(self) -> datetime.timedelta:
        """When `act` is wanted next."""
        times = [self._next_reconcile_at]
        times += [
            one.next_poll_at
            for one in self._target_states.values()
            if one.next_poll_at is not None
        ]
        return min(times)

    def take_log_events(self) -> list[log_events.LogEvent]:
        """Returns the decisions since the last call."""
        taken, self._log_events = self._log_events, []
        return taken

    # ---- Inputs

    def configure(self, config: configuration.Configuration) -> None:
        """Uses a configuration."""
        self._config = config
        for one in self._target_states.values():
            service = config.services.get(one.description.service)
            if service is not None and service.engine is not None:
                one.engine = service.engine

    def apply_report(
        self, report: peer_messages.Report, now: datetime.timedelta
    ) -> None:
        """Takes the report of an instance."""
        self._demand.apply_report(report, now)
        for row in report.running:
            one = self._target_states.get(row.target)
            if one is None or row.model is None:
                continue
            replica = one.replicas.get(row.model)
            if replica is not None:
                replica.last_used_at = now
            if row.adapter is not None:
                held = one.adapters.get((row.model, row.adapter))
                if held is not None:
                    held.last_used_at = now

    def remove_instance(self, instance: ids.InstanceId) -> None:
        """Drops the report of an instance whose link broke."""
        self._demand.remove_instance(instance)

    def sync_targets(self) -> None:
        """Follows the targets of the zone."""
        if self._config is None:
            return
        self._record_initial_replicas()
        present = {}
        for one in self._fleet.directory:
            service = self._config.services.get(one.service)
            if (
                one.availability_zone == self._zone
                and service is not None
                and service.engine is not None
            ):
                present[one.target] = (one, service.engine)
        for target, (one, engine) in present.items():
            known = self._target_states.get(target)
            if known is None or known.incarnation != one.incarnation:
                self._target_states[target] = target_state.TargetState(
                    one, engine
                )
                self._reservations.pop(target, None)
            else:
                known.description = one
        for target in self._target_states.keys() - present.keys():
            del self._target_states[target]
            self._reservations.pop(target, None)

    def _record_initial_replicas(self) -> None:
        """Counts what targets hold when they are first seen.

        Targets appear one after the other when all start together.
        """
        for one in self._fleet.directory:
            if one.target in self._seen_targets:
                continue
            self._seen_targets.add(one.target)
            for loaded in one.models:
                count = self._initial_replicas.get(loaded.name, 0) + 1
                self._initial_replicas[loaded.name] = count
        self._demand.set_priors(
            self._initial_replicas, self._models_with_adapters()
        )

    def _models_with_adapters(self) -> set[ids.ModelName]:
        assert self._config is not None
        return {
            model.name
            for service in self._config.services.values()
            if service.engine is not None
            for model in service.engine.models.values()
            if model.adapter_count
        }

    def apply_order_result(
        self, event: orders.OrderResult, now: datetime.timedelta
    ) -> None:
        """Takes the answer to an order."""
        one = self._target_states.get(event.order.target)
        if one is None or one.incarnation != event.order.incarnation:
            return
        one.apply_order_result(event, now)
        self._log_order_result(event)

    def apply_status(
        self, event: orders.StatusResult, now: datetime.timedelta
    ) -> None:
        """Takes a report of a target."""
        one = self._target_states.get(event.target)
        if one is None or one.incarnation != event.incarnation:
            return
        again = one.apply_status(event, now)
        if again is not None:
            self._resends.append(again)

    # ---- Decisions

    def schedule_reconcile(self, now: datetime.timedelta) -> None:
        """Makes `act` due, though not at once after the last time.

        Reports of many instances arrive at any moment; one review for several
        of them keeps the cost bounded.
        """
        self._next_reconcile_at = min(
            self._next_reconcile_at,
            max(now, self._reconciled_at + MIN_RECONCILE_INTERVAL),
        )

    def reconcile(
        self,
        token: int,
        active_until: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[orders.Action]:
        """Returns the orders and questions that are due.

        Args:
            token: Fencing token of the holder.
            active_until: End of the right to give orders.
            now: The time.
        """
        self._next_reconcile_at = now + RECONCILE_INTERVAL
        self._reconciled_at = now
        self._demand.expire_reports(now)
        actions: list[orders.Action] = []
        self._track_store_loads(now)
        for one in self._target_states.values():
            one.mark_loads_ready(now)
            if one.is_poll_due(now):
                one.mark_polling()
                actions.append(
                    orders.FetchStatus(
                        one.target, one.incarnation, one.description.address
                    )
                )
        if now < active_until:
            given = self._resends + self._make_adapter_orders(token, now)
            self._resends = []
            given += self._make_model_orders(token, now)
            actions += [
                orders.SendOrder(order, active_until) for order in given
            ]
        self._update_published(now)
        return actions

    def _track_store_loads(self, now: datetime.timedelta) -> None:
        """Follows the loads from the weight store on the targets of all zones.

        A target whose load has no known model is left out.
        """
        if self._config is None:
            return
        fetches = {}
        for one in self._fleet.directory:
            own = self._target_states.get(one.target)
            model = (
                own.fetching_model
                if own
                else self._fleet.get_fetching_model(one, now)
            )
            service = self._config.services.get(one.service)
            if model is None or service is None or service.engine is None:
                continue
            spec = service.engine.models.get(model)
            if spec is not None:
                fetches[one.target] = weight_store.Fetch(
                    model, spec.store_load_time
                )
        for ended in self._weight_store.observe(fetches, now):
            own = self._target_states.get(ended.target)
            # An order that the target rejected was no load.
            if own is not None and ended.fetch.model in own.replicas:
                self._log_store_load(ended, now)
        slowdown = self._weight_store.estimate_slowdown(now)
        for ledger in self._target_states.values():
            ledger.store_slowdown = slowdown
        if not self._weight_store.get_free_capacity(now):
            self._store_slot_free_since = None
        elif self._store_slot_free_since is None:
            self._store_slot_free_since = now
            self._has_new_store_slot = True

    def _check_coverage(
        self, found: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> None:
        """Finds what callers want and no target has, or has a copy of."""
        if now < self._next_coverage_at:
            return
        self._next_coverage_at = now + COVERAGE_INTERVAL
        asked = self._demand.list_active_models(now)
        stranded = tuple(
            one
            for one in asked
            if self._demand.get_adapter_rate(one, now) >= demand.MIN_ACTIVE_RATE
            and found.is_stranded(one)
        )
        self._unserved_since = {
            model: self._unserved_since.get(model, now)
            for model in asked
            if model in stranded or not found.is_served(model, now)
        }
        lacking = tuple(one for one in asked if found.is_only_in_store(one))
        if lacking != self._models_without_copy:
            self._models_without_copy = lacking
            self._log_coverage(len(asked))
        if stranded != self._models_without_orders:
            self._models_without_orders = stranded
            self._log_events.append(
                log_events.LogEvent(
                    "models_without_orders",
                    {
                        "count": len(stranded),
                        "models": list(stranded[:MAX_LOGGED_MODELS]),
                    },
                )
            )

    def _make_adapter_orders(
        self, token: int, now: datetime.timedelta
    ) -> list[orders.Order]:
        given = []
        running = self._demand.count_running()
        for wish in self._demand.iter_adapter_demand():
            one = self._target_states.get(wish.target)
            if one is None or not one.can_accept_order(now):
                continue
            step = adapters.plan_next_order(one, wish, running, now)
            if step is None:
                continue
            given.append(
                one.create_order(
                    step.operation, step.model, step.adapter, token, now
                )
            )
        return given

    def _make_model_orders(
        self, token: int, now: datetime.timedelta
    ) -> list[orders.Order]:
        given: list[orders.Order] = []
        if not any(
            one.can_accept_order(now) for one in self._target_states.values()
        ):
            return given
        scene = self._make_placement_context(now)
        spares = now >= self._next_prefetch_at
        if scene.store_load_budget > 0 and self._has_new_store_slot:
            self._has_new_store_slot = False
            spares = True
        if spares:
            self._next_prefetch_at = now + PREFETCH_INTERVAL
        # A target may be closed in one round and ordered in another.
        for _ in range(2 * len(self._target_states)):
            choice = self._resume_reservation(scene, now)
            if choice is None:
                choice = self._choose(
                    dataclasses.replace(
                        scene, planned_models=self._planned_models()
                    ),
                    now,
                    spares,
                )
            if choice is None:
                break
            order = self._make_next_order(choice, token, now)
            if order is None:
                continue
            given.append(order)
            if choice.target_state.fetching_model == order.model:
                scene = dataclasses.replace(
                    scene, store_load_budget=scene.store_load_budget - 1
                )
        return given

    def _planned_models(self) -> dict[ids.TargetId, ids.ModelName]:
        return {
            target: intent.choice.model
            for target, intent in self._reservations.items()
        }

    def _resume_reservation(
        self, scene: placement.PlacementContext, now: datetime.timedelta
    ) -> placement.PlacementDecision | None:
        """Returns a load for which room has been made."""
        for target, intent in list(self._reservations.items()):
            one = self._target_states.get(target)
            choice = intent.choice
            if (
                one is None
                or now > intent.expires_at
                or (one.pending_order is None and choice.model in one.replicas)
            ):
                del self._reservations[target]
                continue
            spec = one.engine.models.get(choice.model)
            wanted = (
                choice.reason != "waiting"
                or choice.model in scene.soft_deadlines
            )
            if not wanted or spec is None:
                del self._reservations[target]
                continue
            from_store = not one.has_copy(choice.model)
            if not one.can_accept_order(now) or (
                from_store and scene.store_load_budget <= 0
            ):
                continue
            ready_at = now + one.estimate_load_time(choice.model)
            if spec.size_mb <= one.get_free_mb(now):
                return dataclasses.replace(
                    choice, target_state=one, victims=(), ready_at=ready_at
                )
            left = tuple(
                name for name in choice.victims if name in one.replicas
            )
            if not left:
                # More was loaded than expected; the choice is made anew.
                del self._reservations[target]
            elif not self._count_running(target, left):
                return dataclasses.replace(
                    choice,
                    target_state=one,
                    victims=left,
                    ready_at=ready_at + target_state.UNLOAD_TIME * len(left),
                )
        return None

    def _count_running(
        self, target: ids.TargetId, models: Iterable[ids.ModelName]
    ) -> int:
        running = self._demand.count_running()
        return sum(running.count_for_model(target, name) for name in models)

    def _make_next_order(
        self,
        choice: placement.PlacementDecision,
        token: int,
        now: datetime.timedelta,
    ) -> orders.Order | None:
        """Returns the next order of a load, None if requests must end first.

        An unload waits for them, and the target takes no other order
        meanwhile. So the models that make way get no new requests first.
        """
        one = choice.target_state
        if choice.victims:
            if one.target not in self._reservations:
                self._reservations[one.target] = _Reservation(
                    choice, now + RESERVATION_TIMEOUT
                )
            if self._count_running(one.target, choice.victims):
                self._log_drain(choice, now)
                return None
            order = one.create_order(
                orders.Operation.UNLOAD, choice.victims[0], None, token, now
            )
        else:
            if not one.has_copy(choice.model):
                self._store_load_starts.append(now)
            order = one.create_order(
                orders.Operation.LOAD, choice.model, None, token, now
            )
        self._log_choice(choice, order, now)
        return order

    def _make_placement_context(
        self, now: datetime.timedelta
    ) -> placement.PlacementContext:
        found = fleet_snapshot.FleetSnapshot(self._fleet, now)
        self._check_coverage(found, now)

        @functools.cache
        def rate(model: ids.ModelName) -> float:
            return self._demand.get_rate(model, now)

        @functools.cache
        def adapter_rate(model: ids.ModelName) -> float:
            return self._demand.get_adapter_rate(model, now)

        @functools.cache
        def count_elsewhere(model: ids.ModelName) -> int:
            # A busy model that another zone only plans to load, or brings from
            # the weight store, is served by nobody yet.
            is_busy = rate(model) >= placement.HOT_MODEL_RATE
            return found.count_replicas_outside(
                self._zone,
                model,
                now + MAX_REMOTE_READY_DELAY if is_busy else None,
            )

        return placement.PlacementContext(
            tuple(self._target_states.values()),
            {},
            self._demand.get_soft_deadlines(),
            self._demand.list_hot_models(placement.HOT_MODEL_RATE, now),
            rate,
            self._demand.count_running(),
            count_elsewhere,
            found.count_other_copies,
            found.get_min_utilization,
            adapter_rate,
            functools.cache(found.count_orderable_replicas),
            lambda model: (
                adapter_rate(model) if found.is_stranded(model) else 0.0
            ),
            lambda target, model: found.get_reserved_target(model) == target,
            lambda model: (
                found.is_being_fetched(model)
                or any(
                    one.fetching_model == model
                    for one in self._target_states.values()
                )
            ),
            self._models_without_copy,
            lambda model: now - self._unserved_since.get(model, now),
            self._store_allowance(found, now),
            self._pressure(found, now),
            self._prefetch_offset(found),
        )

    def _pressure(
        self, found: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> float:
        """Returns how much other loads want a target's time, from 0 to 1."""
        engines = max(1, found.engine_count)
        rare = self._demand.sum_rare_rates(placement.HOT_MODEL_RATE, now)
        return min(1.0, rare / engines / FULL_PRESSURE_RATE)

    def _store_allowance(
        self, found: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> int:
        """Returns how many loads from the weight store may begin now."""
        if self._config is None:
            return 0
        rate = min(
            (
                one.engine.max_store_loads_per_s
                for one in self._target_states.values()
            ),
            default=0.0,
        )
        zones = len(found.engine_zones)
        share = rate * STORE_RATE_WINDOW.total_seconds() * STORE_RATE_MARGIN
        allowed = max(1, int(share / max(1, zones)))
        self._store_load_starts = [
            at for at in self._store_load_starts if now - at < STORE_RATE_WINDOW
        ]
        if (
            self._is_registration_pending(now)
            and not self._demand.get_soft_deadlines()
        ):
            return 0
        # Further loads at the same time only slow each other down.
        places = self._weight_store.get_free_capacity(now) - sum(
            one.has_untracked_order for one in self._target_states.values()
        )
        if not self._has_store_turn(found, now):
            places = 0
        return min(allowed - len(self._store_load_starts), places)

    def _prefetch_offset(self, found: fleet_snapshot.FleetSnapshot) -> float:
        """Returns where this zone begins among models of equal worth."""
        zones = sorted(found.engine_zones | {self._zone})
        return zones.index(self._zone) / len(zones)

    def _is_registration_pending(self, now: datetime.timedelta) -> bool:
        """Whether targets that started together may not all be known yet.

        They register one after the other, and a model that seems to have no
        copy may lie on the last of them.
        """
        if not self._is_registration_complete:
            if len(self._seen_targets) != self._seen_count:
                self._seen_count = len(self._seen_targets)
                self._seen_count_changed_at = now
            self._is_registration_complete = (
                now - self._seen_count_changed_at >= REGISTRATION_QUIET_PERIOD
            )
        return not self._is_registration_complete

    def _has_store_turn(
        self, found: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> bool:
        """Whether this zone may take a free place at the weight store now.

        Zones that load less from it come first.
        """
        if self._store_slot_free_since is None:
            return False
        loads = collections.Counter(
            one.availability_zone
            for one in self._fleet.directory
            if self._weight_store.is_fetching(one.target)
        )
        zones = found.engine_zones | {self._zone}
        order = sorted(zones, key=lambda zone: (loads[zone], zone))
        turn = order.index(self._zone)
        return now - self._store_slot_free_since >= turn * STORE_TURN_DELAY

    # ---- What is published

    def _update_published(self, now: datetime.timedelta) -> None:
        """Finds what has changed since it was last published."""
        running = self._demand.count_running()
        counts = now >= self._next_counts_at
        if counts:
            self._next_counts_at = now + RUNNING_COUNTS_INTERVAL
        for target, one in self._target_states.items():
            signature = self._make_signature(one)
            total = running.count_on_target(target)
            known = self._published.get(target)
            if (
                known is not None
                and known.signature == signature
                and not (counts and known.running != total)
            ):
                continue
            self._revision += 1
            self._published[target] = _PublishedTarget(
                signature, total, self._revision
            )
            self._removed.pop(target, None)
        for target in self._published.keys() - self._target_states.keys():
            del self._published[target]
            self._revision += 1
            self._removed[target] = self._revision

    def _make_signature(self, one: target_state.TargetState) -> tuple[Any, ...]:
        intent = self._reservations.get(one.target)
        return (
            one.incarnation,
            tuple(
                (name, replica.state, replica.ready_at)
                for name, replica in one.replicas.items()
            ),
            tuple((key, held.ready_at) for key, held in one.adapters.items()),
            one.available_at,
            one.fetching_model,
            intent.choice.model if intent else None,
        )

    def make_update(
        self,
        since_revision: int | None,
        token: int,
        time_until_active: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> peer_messages.ZoneUpdate:
        """Returns what has changed since a revision; None: everything."""
        after = -1 if since_revision is None else since_revision
        wishes = self._demand.get_soft_deadlines()
        here = {
            name
            for one in self._target_states.values()
            for name in one.replicas
        }
        planned = {one.choice.model for one in self._reservations.values()}
        return peer_messages.ZoneUpdate(
            self._zone,
            self._instance,
            token,
            since_revision is None,
            time_until_active,
            len(wishes.keys() - here - planned),
            max(1, self._demand.instance_count),
            tuple(
                self._make_target_view(
                    self._target_states[target], known.running, now
                )
                for target, known in self._published.items()
                if known.revision > after
            ),
            tuple(
                target
                for target, revision in self._removed.items()
                if revision > after
            ),
        )

    def _make_target_view(
        self,
        one: target_state.TargetState,
        running: int,
        now: datetime.timedelta,
    ) -> peer_messages.TargetView:
        intent = self._reservations.get(one.target)
        closing = intent.choice.victims if intent is not None else ()
        replicas = [
            peer_messages.ReplicaView(
                name,
                max(_ZERO, replica.ready_at - now),
                replica.state is target_state.LoadState.UNLOADING
                or name in closing,
            )
            for name, replica in one.replicas.items()
        ]
        if intent is not None and intent.choice.model not in one.replicas:
            replicas.append(
                peer_messages.ReplicaView(
                    intent.choice.model,
                    max(
                        intent.choice.ready_at - now,
                        target_state.BUSY_RETRY_DELAY,
                    ),
                    is_planned=True,
                )
            )
        return peer_messages.TargetView(
            one.target,
            one.incarnation,
            tuple(replicas),
            tuple(
                peer_messages.AdapterView(
                    model, adapter, max(_ZERO, held.ready_at - now)
                )
                for (model, adapter), held in one.adapters.items()
            ),
            max(_ZERO, one.available_at - now),
            running,
            one.fetching_model,
        )

    # ---- Notes

    def _log_drain(
        self, choice: placement.PlacementDecision, now: datetime.timedelta
    ) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "placement",
                {
                    "target": choice.target_state.target,
                    "order": "close",
                    "for": choice.model,
                    "victims": list(choice.victims),
                    "running": self._count_running(
                        choice.target_state.target, choice.victims
                    ),
                    "why": choice.reason,
                    "score": round(choice.score, 2),
                    "ready_in_ms": round(
                        (choice.ready_at - now).total_seconds() * 1000
                    ),
                },
            )
        )

    def _log_choice(
        self,
        choice: placement.PlacementDecision,
        order: orders.Order,
        now: datetime.timedelta,
    ) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "placement",
                {
                    "target": choice.target_state.target,
                    "order": order.operation.value,
                    "model": order.model,
                    "for": choice.model,
                    "victims": list(choice.victims),
                    "why": choice.reason,
                    "score": round(choice.score, 2),
                    "waiting": len(
                        self._demand.get_soft_deadlines().get(choice.model, ())
                    ),
                    "copy": choice.target_state.has_copy(choice.model),
                    "store_loads": self._weight_store.active_count,
                    "ready_in_ms": round(
                        (choice.ready_at - now).total_seconds() * 1000
                    ),
                    "after": order.expected_sequence_number,
                    "token": order.fencing_token,
                },
            )
        )

    def _log_store_load(
        self, ended: weight_store.FinishedFetch, now: datetime.timedelta
    ) -> None:
        usual = ended.fetch.nominal_duration
        self._log_events.append(
            log_events.LogEvent(
                "store_load_ended",
                {
                    "target": ended.target,
                    "model": ended.fetch.model,
                    "took_ms": round(ended.duration.total_seconds() * 1000),
                    "usual_ms": round(usual.total_seconds() * 1000),
                    "most_at_once": ended.peak_concurrency,
                    "carried_at_once": round(
                        self._weight_store.get_capacity(now), 2
                    ),
                },
            )
        )

    def _log_coverage(self, asked: int) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "models_without_copy",
                {
                    "asked": asked,
                    "unserved": len(self._unserved_since),
                    "count": len(self._models_without_copy),
                    "models": list(
                        self._models_without_copy[:MAX_LOGGED_MODELS]
                    ),
                    "store_loads": self._weight_store.active_count,
                },
            )
        )

    def _log_order_result(self, event: orders.OrderResult) -> None:
        order = event.order
        self._log_events.append(
            log_events.LogEvent(
                "order_answered",
                {
                    "target": order.target,
                    "order": order.operation.value,
                    "model": order.model,
                    "adapter": order.adapter,
                    "after": order.expected_sequence_number,
                    "answer": event.outcome.value,
                },
            )
        )

    def dump(self, now: datetime.timedelta) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "zone": self._zone,
            "store_loads": self._weight_store.active_count,
            "carried_at_once": self._weight_store.get_capacity(now),
            "without_copy": list(self._models_without_copy),
            "without_orders": list(self._models_without_orders),
            "instances": self._demand.instance_count,
            "wishes": {
                model: len(late_at)
                for model, late_at in self._demand.get_soft_deadlines().items()
            },
            "targets": {
                target: {
                    "known": one.is_synced,
                    "models": {
                        name: replica.state.value
                        for name, replica in one.replicas.items()
                    },
                    "adapters": [
                        f"{model}/{adapter}" for model, adapter in one.adapters
                    ],
                    "free_mb": one.get_free_mb(now),
                    "busy_s": max(
                        0.0, (one.available_at - now).total_seconds()
                    ),
                    "order": one.pending_order.operation.value
                    if one.pending_order
                    else None,
                }
                for target, one in self._target_states.items()
            },
        }
