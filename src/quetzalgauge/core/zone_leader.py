"""The leader of an availability zone: decides what the zone's targets load.

The leader collects the reports of all instances, tracks the state of each
target, orders loads and unloads from the targets and publishes their state.
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
from quetzalgauge.core import late_orders
from quetzalgauge.core import log_events
from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import placement
from quetzalgauge.core import target_state
from quetzalgauge.core import weight_store

# Request rate for rare models (those that are not hot), per second and target,
# that counts as full pressure.
FULL_PRESSURE_RATE = 0.5
# A replica in another zone that becomes ready later than this counts as absent.
MAX_REMOTE_READY_DELAY = datetime.timedelta(seconds=1.5)
# A free store slot is left to each zone of higher rank for this time, so that
# each zone sees what the others have taken before it chooses a load itself.
STORE_TURN_DELAY = datetime.timedelta(milliseconds=100)
# Targets that start together count as all registered when no new one has
# appeared for this time: one heartbeat of the platform's targets.
REGISTRATION_QUIET_PERIOD = datetime.timedelta(milliseconds=1200)
# A reservation expires after this time. It spans the wait for running requests
# of the models that are unloaded.
RESERVATION_TIMEOUT = datetime.timedelta(seconds=2)
# Window over which the rate of loads from the weight store is limited, and the
# share of the configured rate that is used.
STORE_RATE_WINDOW = datetime.timedelta(seconds=5)
STORE_RATE_MARGIN = 0.9
# Time between reconcile passes when no event arrives.
RECONCILE_INTERVAL = datetime.timedelta(milliseconds=50)
# Minimum time between reconcile passes that reports trigger. Loads take 20
# times as long, so a shorter interval gains little.
MIN_RECONCILE_INTERVAL = datetime.timedelta(milliseconds=30)
# Time between passes that also consider prefetch loads.
PREFETCH_INTERVAL = datetime.timedelta(milliseconds=400)
# A model that the configuration does not list is unloaded after this time. It
# may be listed again in the next version.
UNLISTED_MODEL_TTL = datetime.timedelta(seconds=5)
# Time between checks for models that no target has a cached copy of.
COVERAGE_INTERVAL = datetime.timedelta(seconds=1)
# Maximum number of model names in a log line.
MAX_LOGGED_MODELS = 20
# Time between updates that are published only because the number of running
# requests changed.
RUNNING_COUNTS_INTERVAL = datetime.timedelta(milliseconds=200)

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    """A chosen load whose target first has to unload other models."""

    decision: placement.PlacementDecision
    expires_at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class _PublishedTarget:
    """State of a target at its last change, and the revision of that change."""

    signature: tuple[Any, ...]
    running_count: int
    revision: int


class ZoneLeader:
    """State and decisions of the leader of one zone."""

    def __init__(
        self,
        zone: ids.AvailabilityZone,
        instance: ids.InstanceId,
        fleet: fleet_module.Fleet,
        policy: placement.PlacementPolicy = placement.choose_placement,
    ) -> None:
        self._placement_policy = policy
        self._zone = zone
        self._instance = instance
        self._fleet = fleet
        self._demand = demand.Demand()
        self._target_states: dict[ids.TargetId, target_state.TargetState] = {}
        # Targets whose service the configuration does not list at present.
        self._suspended_states: dict[
            ids.TargetId, target_state.TargetState
        ] = {}
        self._reservations: dict[ids.TargetId, _Reservation] = {}
        self._config: configuration.Configuration | None = None
        self._store_load_starts: list[datetime.timedelta] = []
        self._weight_store = weight_store.WeightStoreMonitor()
        self._store_fetches: dict[ids.TargetId, weight_store.Fetch] = {}
        self._store_turns_from: datetime.timedelta | None = None
        self._has_new_store_slot = False
        self._models_without_copy: tuple[ids.ModelName, ...] = ()
        self._models_without_orders: tuple[ids.ModelName, ...] = ()
        self._unserved_since: dict[ids.ModelName, datetime.timedelta] = {}
        self._unlisted_since: dict[
            tuple[ids.TargetId, ids.ModelName], datetime.timedelta
        ] = {}
        self._next_coverage_at = _ZERO
        self._published: dict[ids.TargetId, _PublishedTarget] = {}
        self._removed: dict[ids.TargetId, int] = {}
        self._revision = 0
        self._next_running_counts_at = _ZERO
        self._next_reconcile_at = _ZERO
        self._reconciled_at = -MIN_RECONCILE_INTERVAL
        self._next_prefetch_at = _ZERO
        self._seen_targets: set[ids.TargetId] = set()
        self._seen_count = 0
        self._seen_count_changed_at = _ZERO
        self._is_registration_complete = False
        self._initial_replicas: dict[ids.ModelName, int] = {}
        self._resends: dict[ids.TargetId, orders.Order] = {}
        self._late_orders = late_orders.LateOrders()
        self._log_events: list[log_events.LogEvent] = []

    @property
    def zone(self) -> ids.AvailabilityZone:
        """The zone whose targets receive the orders."""
        return self._zone

    @property
    def revision(self) -> int:
        """Revision of the published state; increases with each change."""
        return self._revision

    @property
    def store_loads(self) -> int:
        """Number of loads from the weight store in progress on all targets."""
        return self._weight_store.active_count

    @property
    def models_without_copy(self) -> int:
        """Number of recently requested models that only the store has."""
        return len(self._models_without_copy)

    @property
    def models_without_orders(self) -> int:
        """Number of models with requested adapters that no leader may order."""
        return len(self._models_without_orders)

    @property
    def next_wakeup_at(self) -> datetime.timedelta:
        """Time at which `reconcile` must be called next."""
        times = [self._next_reconcile_at]
        times += [
            state.next_poll_at
            for state in self._target_states.values()
            if state.next_poll_at is not None
        ]
        return min(times)

    def take_log_events(self) -> list[log_events.LogEvent]:
        """Returns and clears the log events since the last call."""
        events, self._log_events = self._log_events, []
        return events

    def configure(self, config: configuration.Configuration) -> None:
        """Applies a configuration to all target states."""
        self._config = config
        for state in self._target_states.values():
            service = config.services.get(state.description.service)
            if service is not None and service.engine is not None:
                state.configure(service.engine)

    def apply_report(
        self, report: peer_messages.Report, now: datetime.timedelta
    ) -> None:
        """Applies the report of an instance."""
        self._demand.apply_report(report, now)
        for row in report.running:
            state = self._target_states.get(row.target)
            if state is None or row.model is None:
                continue
            replica = state.replicas.get(row.model)
            if replica is not None:
                replica.last_used_at = now
            if row.adapter is not None:
                adapter = state.adapters.get((row.model, row.adapter))
                if adapter is not None:
                    adapter.last_used_at = now

    def remove_instance(self, instance: ids.InstanceId) -> None:
        """Drops the report of an instance whose connection was lost."""
        self._demand.remove_instance(instance)

    def sync_targets(self, now: datetime.timedelta) -> None:
        """Updates the set of target states from the target directory.

        A new incarnation of a target starts with a new state, apart from the
        orders that it may still carry out. A target whose service is withdrawn
        goes on with its state when the service is listed again.
        """
        if self._config is None:
            return
        self._record_initial_replicas()
        zone_targets = {}
        incarnations = {}
        for entry in self._fleet.directory:
            if entry.availability_zone != self._zone:
                continue
            incarnations[entry.target] = entry.incarnation
            service = self._config.services.get(entry.service)
            if service is not None and service.engine is not None:
                zone_targets[entry.target] = (entry, service.engine)
        for states in (self._target_states, self._suspended_states):
            for target, state in list(states.items()):
                if incarnations.get(target) != state.incarnation:
                    self._forget_state(target, now)
        for target in self._target_states.keys() - zone_targets.keys():
            state = self._target_states.pop(target)
            self._suspended_states[target] = state
            self._reservations.pop(target, None)
        for target, (entry, engine) in zone_targets.items():
            if target in self._suspended_states:
                state = self._suspended_states.pop(target)
                state.resume(engine, now)
                self._target_states[target] = state
            elif target not in self._target_states:
                self._target_states[target] = target_state.TargetState(
                    entry,
                    engine,
                    self._late_orders.list_earlier(target, entry.incarnation),
                )
            self._target_states[target].description = entry

    def _find_state(
        self, target: ids.TargetId, incarnation: int
    ) -> target_state.TargetState | None:
        """Returns the state of a target unless it has ended."""
        state = self._target_states.get(target)
        if state is None:
            state = self._suspended_states.get(target)
        if state is None or state.incarnation != incarnation:
            return None
        return state

    def _forget_state(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
        """Drops the state of a target that has ended."""
        self._reservations.pop(target, None)
        self._resends.pop(target, None)
        state = self._target_states.pop(target, None)
        if state is None:
            state = self._suspended_states.pop(target, None)
        if state is not None and state.pending_order is not None:
            self._late_orders.record(state.pending_order, now)

    def _record_initial_replicas(self) -> None:
        """Counts the models that each target holds when it is first seen.

        The counts set the request rates that are assumed before any request.
        Targets that start together register one after the other, so this runs
        on every change of the directory.
        """
        for entry in self._fleet.directory:
            if entry.target in self._seen_targets:
                continue
            self._seen_targets.add(entry.target)
            for loaded_model in entry.models:
                count = self._initial_replicas.get(loaded_model.name, 0) + 1
                self._initial_replicas[loaded_model.name] = count
        self._demand.set_priors(
            self._initial_replicas, self._list_models_with_adapters()
        )

    def _list_models_with_adapters(self) -> set[ids.ModelName]:
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
        """Applies the result of an order."""
        if event.outcome is orders.Outcome.NO_RESPONSE:
            self._late_orders.record(event.order, now)
        state = self._find_state(event.order.target, event.order.incarnation)
        if state is None:
            return
        state.apply_order_result(event, now)
        self._log_order_result(event)

    def apply_status(
        self, event: orders.StatusResult, now: datetime.timedelta
    ) -> None:
        """Applies the status of a target."""
        state = self._find_state(event.target, event.incarnation)
        if state is None:
            return
        status = event.status
        if (
            status is not None
            and status.incarnation is not None
            and status.incarnation != event.incarnation
        ):
            # The report tells nothing of the incarnation that was polled.
            event = dataclasses.replace(event, status=None)
        resend = state.apply_status(event, now)
        if resend is not None:
            self._resends[event.target] = resend

    def schedule_reconcile(self, now: datetime.timedelta) -> None:
        """Schedules a reconcile pass, rate-limited by the minimum interval.

        Many instances send reports independently. One pass for several reports
        keeps the cost bounded.
        """
        self._next_reconcile_at = min(
            self._next_reconcile_at,
            max(now, self._reconciled_at + MIN_RECONCILE_INTERVAL),
        )

    def reconcile(
        self,
        fencing_token: int,
        active_until: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[orders.Action]:
        """Returns the orders and status queries that are due.

        Args:
            fencing_token: Fencing token of the leader.
            active_until: End of the leader's active period; no order may be
                sent later.
            now: Current time.
        """
        self._next_reconcile_at = now + RECONCILE_INTERVAL
        self._reconciled_at = now
        self._demand.expire_reports(now)
        self._late_orders.expire(now)
        actions: list[orders.Action] = []
        self._track_store_loads(now)
        for state in self._target_states.values():
            state.mark_loads_ready(now)
            if state.is_poll_due(now):
                state.mark_polling()
                actions.append(
                    orders.FetchStatus(
                        state.target,
                        state.incarnation,
                        state.description.address,
                    )
                )
        if now < active_until:
            new_orders = [
                *self._resends.values(),
                *self._make_adapter_orders(fencing_token, now),
            ]
            self._resends = {}
            new_orders += self._make_model_orders(fencing_token, now)
            actions += [
                orders.SendOrder(order, active_until) for order in new_orders
            ]
        self._assign_revisions(now)
        return actions

    def _track_store_loads(self, now: datetime.timedelta) -> None:
        """Tracks the loads from the weight store on the targets of all zones.

        Loads of unknown models are ignored.
        """
        if self._config is None:
            return
        fetches = {}
        for entry in self._fleet.directory:
            own_state = self._target_states.get(entry.target)
            model = (
                own_state.fetching_model
                if own_state
                else self._fleet.get_fetching_model(entry, now)
            )
            service = self._config.services.get(entry.service)
            if model is None or service is None or service.engine is None:
                continue
            spec = service.engine.find_model(model)
            if spec is not None:
                fetches[entry.target] = weight_store.Fetch(
                    model, spec.store_load_time
                )
        for finished in self._weight_store.observe(fetches, now):
            own_state = self._target_states.get(finished.target)
            # An order that the target rejected started no load.
            if (
                own_state is not None
                and finished.fetch.model in own_state.replicas
            ):
                self._log_store_load(finished, now)
        published_capacity = self._fleet.get_store_capacity(now)
        self._weight_store.assume_capacity(
            published_capacity or weight_store.DEFAULT_CAPACITY
        )
        slowdown = self._weight_store.estimate_slowdown(now)
        for state in self._target_states.values():
            state.store_slowdown = slowdown
        has_free_slot = self._weight_store.get_free_capacity(
            now
        ) > 0 and not self._must_await_registration(now)
        if not has_free_slot:
            self._store_turns_from = None
        elif self._store_turns_from is None or fetches != self._store_fetches:
            # Each start of a load ends a turn.
            self._store_turns_from = now
            self._has_new_store_slot = True
        self._store_fetches = fetches

    def _check_coverage(
        self, snapshot: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> None:
        """Finds requested models that no target serves or has a copy of."""
        if now < self._next_coverage_at:
            return
        self._next_coverage_at = now + COVERAGE_INTERVAL
        requested = self._demand.list_active_models(now)
        stranded = tuple(
            name
            for name in requested
            if self._demand.get_adapter_rate(name, now)
            >= demand.MIN_ACTIVE_RATE
            and snapshot.is_stranded(name)
        )
        self._unserved_since = {
            model: self._unserved_since.get(model, now)
            for model in requested
            if model in stranded or not snapshot.is_served(model, now)
        }
        without_copy = tuple(
            name for name in requested if snapshot.is_only_in_store(name)
        )
        if without_copy != self._models_without_copy:
            self._models_without_copy = without_copy
            self._log_coverage(len(requested))
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
        self, fencing_token: int, now: datetime.timedelta
    ) -> list[orders.Order]:
        new_orders = []
        running = self._demand.count_running()
        for adapter_demand in self._demand.iter_adapter_demand():
            state = self._target_states.get(adapter_demand.target)
            if state is None or not state.can_accept_order(now):
                continue
            adapter_order = adapters.plan_next_order(
                state, adapter_demand, running, now
            )
            if adapter_order is None:
                continue
            new_orders.append(
                state.create_order(
                    adapter_order.operation,
                    adapter_order.model,
                    adapter_order.adapter,
                    fencing_token,
                    now,
                )
            )
        return new_orders

    def _make_model_orders(
        self, fencing_token: int, now: datetime.timedelta
    ) -> list[orders.Order]:
        new_orders: list[orders.Order] = []
        if not any(
            state.can_accept_order(now)
            for state in self._target_states.values()
        ):
            return new_orders
        context = self._make_placement_context(now)
        allow_prefetch = now >= self._next_prefetch_at
        if context.store_load_budget > 0 and self._has_new_store_slot:
            self._has_new_store_slot = False
            allow_prefetch = True
        if allow_prefetch:
            self._next_prefetch_at = now + PREFETCH_INTERVAL
        # A target may need two iterations: in one its victims start to drain,
        # in the other it gets an order.
        for _ in range(2 * len(self._target_states)):
            decision = self._resume_reservation(context, now)
            if decision is None:
                decision = self._placement_policy(
                    dataclasses.replace(
                        context,
                        planned_models=self._list_planned_models(),
                        store_load_budget=context.store_load_budget
                        - self._count_planned_store_loads(),
                    ),
                    now,
                    allow_prefetch,
                )
            if decision is None:
                break
            order = self._make_next_order(decision, fencing_token, now)
            if order is None:
                continue
            new_orders.append(order)
            if decision.target_state.fetching_model == order.model:
                context = dataclasses.replace(
                    context, store_load_budget=context.store_load_budget - 1
                )
        if allow_prefetch:
            new_orders += self._unload_unlisted_models(fencing_token, now)
        return new_orders

    def _unload_unlisted_models(
        self, fencing_token: int, now: datetime.timedelta
    ) -> list[orders.Order]:
        """Returns orders to unload models that callers can no longer request.

        Requests in progress are waited for.
        """
        self._unlisted_since = {
            (target, model): self._unlisted_since.get((target, model), now)
            for target, state in self._target_states.items()
            for model in state.replicas
            if model not in state.engine.models
        }
        new_orders = []
        for (target, model), since in self._unlisted_since.items():
            state = self._target_states[target]
            if (
                now - since < UNLISTED_MODEL_TTL
                or target in self._reservations
                or not state.can_accept_order(now)
                or not state.is_ready(model, now)
                or self._count_running(target, (model,))
            ):
                continue
            order = state.create_order(
                orders.Operation.UNLOAD, model, None, fencing_token, now
            )
            new_orders.append(order)
            self._log_events.append(
                log_events.LogEvent(
                    "placement",
                    {
                        "target": target,
                        "order": order.operation.value,
                        "model": model,
                        "why": "unlisted",
                        "after": order.expected_sequence_number,
                        "token": order.fencing_token,
                    },
                )
            )
        return new_orders

    def _list_planned_models(self) -> dict[ids.TargetId, ids.ModelName]:
        return {
            target: reservation.decision.model
            for target, reservation in self._reservations.items()
        }

    def _count_planned_store_loads(self) -> int:
        """Returns how many loads from the store wait until victims are gone.

        Each of them needs a free store slot, so no other models are evicted for
        the same slot.
        """
        return sum(
            not state.has_copy(reservation.decision.model)
            and reservation.decision.model not in state.replicas
            for target, reservation in self._reservations.items()
            if (state := self._target_states.get(target)) is not None
        )

    def _resume_reservation(
        self, context: placement.PlacementContext, now: datetime.timedelta
    ) -> placement.PlacementDecision | None:
        """Returns a reserved load whose next order can be sent now.

        Removes reservations that have expired or are no longer needed.
        """
        for target, reservation in list(self._reservations.items()):
            state = self._target_states.get(target)
            decision = reservation.decision
            if (
                state is None
                or now > reservation.expires_at
                or (
                    state.pending_order is None
                    and decision.model in state.replicas
                )
            ):
                del self._reservations[target]
                continue
            spec = state.engine.models.get(decision.model)
            is_needed = (
                decision.reason != "waiting"
                or decision.model in context.soft_deadlines
            )
            if not is_needed or spec is None:
                del self._reservations[target]
                continue
            from_store = not state.has_copy(decision.model)
            if not state.can_accept_order(now) or (
                from_store and context.store_load_budget <= 0
            ):
                continue
            ready_at = now + state.estimate_load_time(decision.model)
            if spec.size_mb <= state.get_free_mb(now):
                return dataclasses.replace(
                    decision, target_state=state, victims=(), ready_at=ready_at
                )
            victims = tuple(
                name for name in decision.victims if name in state.replicas
            )
            if not victims:
                # All victims are unloaded, but the model still does not fit,
                # so the placement is chosen again.
                del self._reservations[target]
            elif not self._count_running(target, victims):
                return dataclasses.replace(
                    decision,
                    target_state=state,
                    victims=victims,
                    ready_at=ready_at + target_state.UNLOAD_TIME * len(victims),
                )
        return None

    def _count_running(
        self, target: ids.TargetId, models: Iterable[ids.ModelName]
    ) -> int:
        running = self._demand.count_running()
        return sum(running.count_for_model(target, name) for name in models)

    def _make_next_order(
        self,
        decision: placement.PlacementDecision,
        fencing_token: int,
        now: datetime.timedelta,
    ) -> orders.Order | None:
        """Returns the next order of a load, None if victims have to drain.

        A target that unloads a model waits for its running requests and takes
        no other order meanwhile. Therefore the victims are drained before the
        unload is ordered.
        """
        state = decision.target_state
        if decision.victims:
            if state.target not in self._reservations:
                self._reservations[state.target] = _Reservation(
                    decision, now + RESERVATION_TIMEOUT
                )
            if self._count_running(state.target, decision.victims):
                self._log_drain(decision, now)
                return None
            order = state.create_order(
                orders.Operation.UNLOAD,
                decision.victims[0],
                None,
                fencing_token,
                now,
            )
        else:
            if not state.has_copy(decision.model):
                self._store_load_starts.append(now)
            order = state.create_order(
                orders.Operation.LOAD, decision.model, None, fencing_token, now
            )
        self._log_decision(decision, order, now)
        return order

    def _make_placement_context(
        self, now: datetime.timedelta
    ) -> placement.PlacementContext:
        snapshot = fleet_snapshot.FleetSnapshot(self._fleet, now)
        self._check_coverage(snapshot, now)

        @functools.cache
        def get_rate(model: ids.ModelName) -> float:
            return self._demand.get_rate(model, now)

        @functools.cache
        def get_adapter_rate(model: ids.ModelName) -> float:
            return self._demand.get_adapter_rate(model, now)

        @functools.cache
        def count_elsewhere(model: ids.ModelName) -> int:
            # A hot model that another zone only plans to load, or is loading
            # from the weight store, is not served anywhere yet.
            is_hot = get_rate(model) >= placement.HOT_MODEL_RATE
            return snapshot.count_replicas_outside(
                self._zone,
                model,
                now + MAX_REMOTE_READY_DELAY if is_hot else None,
            )

        return placement.PlacementContext(
            tuple(self._target_states.values()),
            {},
            self._demand.get_soft_deadlines(),
            self._demand.list_hot_models(placement.HOT_MODEL_RATE, now),
            get_rate,
            self._demand.count_running(),
            count_elsewhere,
            snapshot.count_other_copies,
            functools.cache(snapshot.get_min_utilization),
            functools.cache(
                lambda model: self._demand.estimate_adapter_rate(model, now)
            ),
            functools.cache(snapshot.count_orderable_replicas),
            lambda model: (
                get_adapter_rate(model) if snapshot.is_stranded(model) else 0.0
            ),
            lambda target, model: snapshot.get_reserved_target(model) == target,
            lambda model: (
                snapshot.is_being_fetched(model)
                or any(
                    state.fetching_model == model
                    for state in self._target_states.values()
                )
            ),
            self._models_without_copy,
            lambda model: now - self._unserved_since.get(model, now),
            self._compute_store_load_budget(snapshot, now),
            self._compute_pressure(snapshot, now),
            self._must_fetch_unserved(snapshot, now),
            self._compute_prefetch_offset(snapshot),
            facts={},
        )

    def _compute_pressure(
        self, snapshot: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> float:
        """Returns how much other loads compete for target time, from 0 to 1."""
        engine_count = max(1, snapshot.engine_count)
        rare_rate = self._demand.sum_rare_rates(placement.HOT_MODEL_RATE, now)
        return min(1.0, rare_rate / engine_count / FULL_PRESSURE_RATE)

    def _compute_store_load_budget(
        self, snapshot: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> int:
        """Returns how many loads from the weight store may start now.

        The configured rate limit applies to all zones and is split equally
        between them.
        """
        if self._config is None:
            return 0
        rate = min(
            (
                state.engine.max_store_loads_per_s
                for state in self._target_states.values()
            ),
            default=0.0,
        )
        zone_count = len(snapshot.engine_zones)
        max_loads = rate * STORE_RATE_WINDOW.total_seconds() * STORE_RATE_MARGIN
        zone_max_loads = max(1, int(max_loads / max(1, zone_count)))
        self._store_load_starts = [
            start
            for start in self._store_load_starts
            if now - start < STORE_RATE_WINDOW
        ]
        # More concurrent loads than the store has slots for slow each other
        # down.
        free_slots = self._weight_store.get_free_capacity(now) - sum(
            state.has_untracked_order for state in self._target_states.values()
        )
        if not self._has_store_turn(snapshot, now):
            return 0
        # The other zones choose with knowledge of this load.
        return min(1, zone_max_loads - len(self._store_load_starts), free_slots)

    def _compute_prefetch_offset(
        self, snapshot: fleet_snapshot.FleetSnapshot
    ) -> float:
        """Returns where this zone starts in the list of prefetch candidates.

        The offset is a share of the list and differs between zones, so that
        they do not choose the same one of several models of equal value.
        """
        zones = sorted(snapshot.engine_zones | {self._zone})
        return zones.index(self._zone) / len(zones)

    def _must_await_registration(self, now: datetime.timedelta) -> bool:
        """Whether targets that started together may still be registering.

        They register one after the other. A model that seems to have no cached
        copy may be on the last of them. Waiting requests end the wait.
        """
        if not self._is_registration_complete:
            if len(self._seen_targets) != self._seen_count:
                self._seen_count = len(self._seen_targets)
                self._seen_count_changed_at = now
            self._is_registration_complete = (
                now - self._seen_count_changed_at >= REGISTRATION_QUIET_PERIOD
            )
        return not (
            self._is_registration_complete or self._demand.get_soft_deadlines()
        )

    def _has_store_turn(
        self, snapshot: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> bool:
        """Whether this zone may take a free store slot now.

        Zones take turns of one load, and the turns begin anew when a load
        starts or ends. Zones with fewer loads from the store in progress rank
        first, zones without an active leader last.
        """
        if self._store_turns_from is None:
            return False
        load_counts = collections.Counter(
            entry.availability_zone
            for entry in self._fleet.directory
            if self._weight_store.is_fetching(entry.target)
        )
        zones = snapshot.engine_zones | {self._zone}
        ranked_zones = sorted(
            zones,
            key=lambda zone: (
                not self._may_order(zone, now),
                load_counts[zone],
                zone,
            ),
        )
        rank = ranked_zones.index(self._zone)
        return now - self._store_turns_from >= rank * STORE_TURN_DELAY

    def _must_fetch_unserved(
        self, snapshot: fleet_snapshot.FleetSnapshot, now: datetime.timedelta
    ) -> bool:
        """Whether the store is kept for models that no target serves.

        While such models are requested, a further copy of another model may be
        loaded only if no zone has used its turn.
        """
        if not self._models_without_copy or self._store_turns_from is None:
            return False
        turn_count = len(snapshot.engine_zones | {self._zone})
        return now - self._store_turns_from < turn_count * STORE_TURN_DELAY

    def _may_order(
        self, zone: ids.AvailabilityZone, now: datetime.timedelta
    ) -> bool:
        """Whether a zone's leader may send orders, as far as is known."""
        if zone == self._zone:
            return True
        active_from = self._fleet.get_leader_active_from(zone, now)
        return active_from is not None and active_from <= now

    def _assign_revisions(self, now: datetime.timedelta) -> None:
        """Assigns a new revision to each target whose state has changed."""
        running = self._demand.count_running()
        compare_counts = now >= self._next_running_counts_at
        if compare_counts:
            self._next_running_counts_at = now + RUNNING_COUNTS_INTERVAL
        for target, state in self._target_states.items():
            signature = self._make_signature(state)
            running_count = running.count_on_target(target)
            published = self._published.get(target)
            if (
                published is not None
                and published.signature == signature
                and not (
                    compare_counts and published.running_count != running_count
                )
            ):
                continue
            self._revision += 1
            self._published[target] = _PublishedTarget(
                signature, running_count, self._revision
            )
            self._removed.pop(target, None)
        for target in self._published.keys() - self._target_states.keys():
            del self._published[target]
            self._revision += 1
            self._removed[target] = self._revision

    def _make_signature(
        self, state: target_state.TargetState
    ) -> tuple[Any, ...]:
        """Returns the values whose change makes a new revision necessary."""
        reservation = self._reservations.get(state.target)
        return (
            state.incarnation,
            tuple(
                (name, replica.state, replica.ready_at)
                for name, replica in state.replicas.items()
            ),
            tuple(
                (key, adapter.ready_at)
                for key, adapter in state.adapters.items()
            ),
            state.available_at,
            state.fetching_model,
            reservation.decision.model if reservation else None,
        )

    def make_update(
        self,
        since_revision: int | None,
        fencing_token: int,
        time_until_active: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> peer_messages.ZoneUpdate:
        """Returns the changes since a revision, or a snapshot.

        Args:
            since_revision: Revision that the receiver has, None for a snapshot.
            fencing_token: Fencing token of the leader.
            time_until_active: Time until the leader becomes active, None if
                unknown.
            now: Current time.
        """
        known_revision = -1 if since_revision is None else since_revision
        demands = self._demand.get_soft_deadlines()
        loaded = {
            name
            for state in self._target_states.values()
            for name in state.replicas
        }
        planned = {
            reservation.decision.model
            for reservation in self._reservations.values()
        }
        return peer_messages.ZoneUpdate(
            self._zone,
            self._instance,
            fencing_token,
            since_revision is None,
            time_until_active,
            len(demands.keys() - loaded - planned),
            max(1, self._demand.instance_count),
            tuple(
                self._make_target_view(
                    self._target_states[target], published.running_count, now
                )
                for target, published in self._published.items()
                if published.revision > known_revision
            ),
            tuple(
                target
                for target, revision in self._removed.items()
                if revision > known_revision
            ),
            # An assumed capacity is not published, so that it does not outlast
            # the measurement that it comes from.
            max(
                1,
                round(
                    self._weight_store.get_measured_capacity(now)
                    or weight_store.DEFAULT_CAPACITY
                ),
            ),
        )

    def _make_target_view(
        self,
        state: target_state.TargetState,
        running_count: int,
        now: datetime.timedelta,
    ) -> peer_messages.TargetView:
        reservation = self._reservations.get(state.target)
        draining = (
            reservation.decision.victims if reservation is not None else ()
        )
        replicas = [
            peer_messages.ReplicaView(
                name,
                max(_ZERO, replica.ready_at - now),
                replica.state is target_state.LoadState.UNLOADING
                or name in draining,
            )
            for name, replica in state.replicas.items()
        ]
        if (
            reservation is not None
            and reservation.decision.model not in state.replicas
        ):
            replicas.append(
                peer_messages.ReplicaView(
                    reservation.decision.model,
                    max(
                        reservation.decision.ready_at - now,
                        target_state.BUSY_RETRY_DELAY,
                    ),
                    is_planned=True,
                )
            )
        return peer_messages.TargetView(
            state.target,
            state.incarnation,
            tuple(replicas),
            tuple(
                peer_messages.AdapterView(
                    model, adapter, max(_ZERO, adapter_replica.ready_at - now)
                )
                for (model, adapter), adapter_replica in state.adapters.items()
            ),
            max(_ZERO, state.available_at - now),
            running_count,
            state.fetching_model,
        )

    def _log_drain(
        self, decision: placement.PlacementDecision, now: datetime.timedelta
    ) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "placement",
                {
                    "target": decision.target_state.target,
                    "order": "close",
                    "for": decision.model,
                    "victims": list(decision.victims),
                    "running": self._count_running(
                        decision.target_state.target, decision.victims
                    ),
                    "why": decision.reason,
                    "score": round(decision.score, 2),
                    "ready_in_ms": round(
                        (decision.ready_at - now).total_seconds() * 1000
                    ),
                },
            )
        )

    def _log_decision(
        self,
        decision: placement.PlacementDecision,
        order: orders.Order,
        now: datetime.timedelta,
    ) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "placement",
                {
                    "target": decision.target_state.target,
                    "order": order.operation.value,
                    "model": order.model,
                    "for": decision.model,
                    "victims": list(decision.victims),
                    "why": decision.reason,
                    "score": round(decision.score, 2),
                    "waiting": len(
                        self._demand.get_soft_deadlines().get(
                            decision.model, ()
                        )
                    ),
                    "copy": decision.target_state.has_copy(decision.model),
                    "store_loads": self._weight_store.active_count,
                    "ready_in_ms": round(
                        (decision.ready_at - now).total_seconds() * 1000
                    ),
                    "after": order.expected_sequence_number,
                    "token": order.fencing_token,
                },
            )
        )

    def _log_store_load(
        self, finished: weight_store.FinishedFetch, now: datetime.timedelta
    ) -> None:
        nominal_duration = finished.fetch.nominal_duration
        self._log_events.append(
            log_events.LogEvent(
                "store_load_ended",
                {
                    "target": finished.target,
                    "model": finished.fetch.model,
                    "took_ms": round(finished.duration.total_seconds() * 1000),
                    "usual_ms": round(nominal_duration.total_seconds() * 1000),
                    "most_at_once": finished.peak_concurrency,
                    "carried_at_once": round(
                        self._weight_store.get_capacity(now), 2
                    ),
                },
            )
        )

    def _log_coverage(self, requested_count: int) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "models_without_copy",
                {
                    "asked": requested_count,
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
        """Returns the state as JSON values, for diagnostics."""
        return {
            "zone": self._zone,
            "store_loads": self._weight_store.active_count,
            "carried_at_once": self._weight_store.get_capacity(now),
            "without_copy": list(self._models_without_copy),
            "without_orders": list(self._models_without_orders),
            "instances": self._demand.instance_count,
            "wishes": {
                model: len(pending)
                for model, pending in self._demand.get_soft_deadlines().items()
            },
            "targets": {
                target: {
                    "known": state.is_synced,
                    "models": {
                        name: replica.state.value
                        for name, replica in state.replicas.items()
                    },
                    "adapters": [
                        f"{model}/{adapter}"
                        for model, adapter in state.adapters
                    ],
                    "free_mb": state.get_free_mb(now),
                    "busy_s": max(
                        0.0, (state.available_at - now).total_seconds()
                    ),
                    "order": (
                        state.pending_order.operation.value
                        if state.pending_order
                        else None
                    ),
                }
                for target, state in self._target_states.items()
            },
        }
