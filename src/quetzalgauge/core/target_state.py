"""The zone leader's view of one target: loaded models and pending orders.

This view, not the target's delayed status report, decides what still fits. It
is updated with each order and its outcome. A status report corrects it only
if the report is newer than the last accepted order; if the report then has
another sequence number, it replaces the view.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import enum
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import configuration
from quetzalgauge.core import fleet
from quetzalgauge.core import late_orders as late_orders_module
from quetzalgauge.core import orders
from quetzalgauge.core import targets

# Age of the data in a status report, with a margin.
STATUS_LAG = datetime.timedelta(milliseconds=130)
# Time to unload a model without running requests.
UNLOAD_TIME = datetime.timedelta(milliseconds=50)
# Time to load an adapter from the weight store.
ADAPTER_LOAD_TIME = datetime.timedelta(milliseconds=10)
# Time until the load of an unknown model is first expected to end.
UNKNOWN_LOAD_TIME = datetime.timedelta(seconds=1)
# Time for sending an order and receiving the response.
ORDER_ROUND_TRIP = datetime.timedelta(milliseconds=5)
# Delay before the next order to a target that was still busy.
BUSY_RETRY_DELAY = datetime.timedelta(milliseconds=12)
# Delay before contacting a target again that did not respond.
NO_RESPONSE_RETRY_DELAY = datetime.timedelta(milliseconds=150)
# An overdue order is expected to take this share of its elapsed time longer.
OVERDUE_EXTENSION_RATIO = 0.15
# Longest interval between polls for the end of an overdue order.
OVERDUE_POLL_INTERVAL = datetime.timedelta(milliseconds=200)
# After more consecutive conflicts than this, the view is invalid until the next
# status report.
MAX_CONSECUTIVE_CONFLICTS = 3

_ZERO = datetime.timedelta()


class LoadState(enum.Enum):
    """State of a model or adapter on a target."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass(slots=True)
class Replica:
    """A model or adapter on a target.

    Attributes:
        state: Whether it is loading, ready or unloading.
        ready_at: When it is expected to be ready (or removed, if unloading).
        last_used_at: When a request for it last ran or waited.
        is_confirmed: Whether a status report has listed it as loaded.
        is_estimate_reliable: Whether `ready_at` is reliable. It is not for a
            load from the weight store, which concurrent loads slow down.
    """

    state: LoadState
    ready_at: datetime.timedelta
    last_used_at: datetime.timedelta
    is_confirmed: bool = False
    is_estimate_reliable: bool = True


AdapterKey = tuple[ids.ModelName, ids.AdapterName]


@dataclasses.dataclass(frozen=True, slots=True)
class _Size:
    """Accelerator memory of a model or an adapter.

    Attributes:
        memory_mb: The largest size of any version since the order to load it.
        sequence_number: The sequence number that the order expected, or that of
            the report that lists the model. Only a later report can show that
            the target does not hold it.
    """

    memory_mb: float
    sequence_number: int


# The adapter is None for the model itself.
_SizeKey: TypeAlias = tuple[ids.ModelName, ids.AdapterName | None]


class TargetState:
    """State of one incarnation of a target, as seen by the zone leader.

    Args:
        description: The target's entry in the registry.
        engine: Configured capacity and models of the target.
        late_orders: Loads sent to earlier incarnations without a response.

    Attributes:
        description: The target's entry in the registry.
        engine: Configured capacity and models of the target.
        copies: Cached copies of weights in host memory and on disk.
        replicas: The models by name.
        adapters: The adapters by model and adapter name.
        pending_order: The order whose outcome is not known yet, if any.
        available_at: When the target is expected to accept the next order.
        store_slowdown: Factor by which loads from the weight store take longer
            than at full speed.
    """

    def __init__(
        self,
        description: targets.Description,
        engine: configuration.Engine,
        late_orders: Iterable[late_orders_module.LateOrder] = (),
    ) -> None:
        self._late_orders = tuple(late_orders)
        self.description = description
        self.engine = engine
        self.copies = description.copies
        self.replicas: dict[ids.ModelName, Replica] = {}
        self.adapters: dict[AdapterKey, Replica] = {}
        # Sizes of what the target holds or may be loading. Reports do not list
        # a model before its load has ended.
        self._sizes: dict[_SizeKey, _Size] = {}
        self.pending_order: orders.Order | None = None
        self.available_at = _ZERO
        self.store_slowdown = 1.0
        self._fetching_model: ids.ModelName | None = None
        self._is_reported_busy = False
        self._sequence_number: int | None = None
        self._accepted_at = _ZERO
        # When the last order is expected to end, as estimated when the target
        # accepted it.
        self._expected_end_at = _ZERO
        self._poll_at: datetime.timedelta | None = _ZERO
        self._is_polling = False
        self._is_outcome_unknown = False
        self._conflict_count = 0

    @property
    def target(self) -> ids.TargetId:
        """ID of the target."""
        return self.description.target

    @property
    def incarnation(self) -> int:
        """The target's incarnation."""
        return self.description.incarnation

    @property
    def is_synced(self) -> bool:
        """Whether this view is in sync with a status report of the target."""
        return self._sequence_number is not None

    @property
    def fetching_model(self) -> ids.ModelName | None:
        """The model that is being loaded from the weight store, if any."""
        return self._fetching_model

    @property
    def has_untracked_order(self) -> bool:
        """Whether the target executes an order that this leader did not send.

        It may be a load from the weight store for the previous leader.
        """
        return self._is_reported_busy and self._fetching_model is None

    def configure(self, engine: configuration.Engine) -> None:
        """Applies a new version of the engine's configuration.

        What the target holds may still have the size that it was loaded with.
        """
        self.engine = engine
        for key, size in self._sizes.items():
            size_mb = self._get_size_mb(*key)
            if size_mb is not None and size_mb > size.memory_mb:
                self._sizes[key] = _Size(size_mb, size.sequence_number)
        self._add_sizes(0)

    def _add_sizes(self, sequence_number: int) -> None:
        """Adds the sizes of what the target holds and that are missing."""
        held: set[_SizeKey] = {(model, None) for model in self.replicas}
        held |= self.adapters.keys()
        for key in held - self._sizes.keys():
            size_mb = self._get_size_mb(*key)
            # The target may hold it since it has carried out a late order.
            for late in self._late_orders:
                if (late.order.model, late.order.adapter) == key:
                    size_mb = _choose_larger(size_mb, late.order.memory_mb)
            if size_mb is not None:
                self._sizes[key] = _Size(size_mb, sequence_number)

    def resume(
        self, engine: configuration.Engine, now: datetime.timedelta
    ) -> None:
        """Goes on with a service that is listed again.

        Others may have changed the target meanwhile, so a status report is
        needed before the next order.
        """
        self.configure(engine)
        if self.pending_order is None:
            self._invalidate(now + STATUS_LAG)

    def _get_size_mb(
        self, model: ids.ModelName, adapter: ids.AdapterName | None
    ) -> float | None:
        """Returns the size in MB of a model or of its adapter, as configured.

        None if the model is unknown.
        """
        spec = self.engine.find_model(model)
        if spec is None:
            return None
        return spec.size_mb if adapter is None else spec.adapter_mb

    def _get_order_mb(self, order: orders.Order) -> float:
        """Returns the accelerator memory in MB that a late load would take."""
        memory_mb = _choose_larger(
            order.memory_mb, self._get_size_mb(order.model, order.adapter)
        )
        if memory_mb is None:
            return self.engine.memory_mb if order.adapter is None else 0.0
        return memory_mb

    def get_free_mb(self, now: datetime.timedelta) -> float:
        """Returns the accelerator memory in MB that an order may still use.

        A model that should be unloaded by now does not count: the target
        accepts no other order until the unload has ended.
        """
        used_mb = 0.0
        for name, replica in self.replicas.items():
            if replica.state is LoadState.UNLOADING and replica.ready_at <= now:
                continue
            used_mb += self.get_model_mb(name)
        used_mb += sum(map(self.get_adapter_mb, self.adapters))
        for order in self._find_late_loads(now):
            if order.adapter is not None or order.model not in self.replicas:
                used_mb += self._get_order_mb(order)
        return self.engine.memory_mb - used_mb

    def get_model_mb(self, model: ids.ModelName) -> float:
        """Returns the accelerator memory in MB that a held model takes.

        A model of unknown size counts as the whole memory.
        """
        size = self._sizes.get((model, None))
        return size.memory_mb if size else self.engine.memory_mb

    def get_adapter_mb(self, adapter: AdapterKey) -> float:
        """Returns the accelerator memory in MB that a held adapter takes."""
        size = self._sizes.get(adapter)
        return size.memory_mb if size else 0.0

    def count_free_adapter_slots(self, now: datetime.timedelta) -> int:
        """Returns how many more adapters an order may load."""
        late_count = sum(
            order.adapter is not None
            and (order.model, order.adapter) not in self.adapters
            for order in self._find_late_loads(now)
        )
        return self.engine.adapter_slots - len(self.adapters) - late_count

    def _find_late_loads(self, now: datetime.timedelta) -> list[orders.Order]:
        """Returns the loads of earlier incarnations to keep memory for."""
        if not self._late_orders or self._sequence_number is None:
            return []
        return late_orders_module.find_fitting(
            self._late_orders, self._sequence_number, now
        )

    def can_accept_order(self, now: datetime.timedelta) -> bool:
        """Returns whether an order may be sent to the target now."""
        return (
            self.is_synced
            and self.pending_order is None
            and not self._is_outcome_unknown
            and now >= self.available_at
            and not self._has_unpredictable_load()
            and not self.description.is_draining
        )

    def _has_unpredictable_load(self) -> bool:
        """Returns whether a load without a reliable end time is in progress."""
        return any(
            replica.state is LoadState.LOADING
            and not replica.is_estimate_reliable
            for replica in self.replicas.values()
        )

    def is_ready(self, model: ids.ModelName, now: datetime.timedelta) -> bool:
        """Returns whether a model accepts requests."""
        replica = self.replicas.get(model)
        return (
            replica is not None
            and replica.state is LoadState.READY
            and replica.ready_at <= now
        )

    def create_order(
        self,
        operation: orders.Operation,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        fencing_token: int,
        now: datetime.timedelta,
    ) -> orders.Order:
        """Returns an order and records it as the pending one."""
        assert self._sequence_number is not None
        order = orders.Order(
            self.target,
            self.incarnation,
            self.description.address,
            operation,
            model,
            adapter,
            self._sequence_number,
            fencing_token,
            self._get_size_mb(model, adapter),
        )
        self.pending_order = order
        self._reserve_memory(order, now)
        return order

    def has_copy(self, model: ids.ModelName) -> bool:
        """Returns whether the target has a cached copy of a model."""
        copies = self.copies
        return model in copies.in_memory or model in copies.on_disk

    def estimate_load_time(self, model: ids.ModelName) -> datetime.timedelta:
        """Returns the expected time that this target takes to load a model."""
        spec = self.engine.find_model(model)
        if spec is None:
            return UNKNOWN_LOAD_TIME
        full_speed_time = fleet.estimate_load_time(spec, self.copies)
        return (
            full_speed_time
            if self.has_copy(model)
            else full_speed_time * self.store_slowdown
        )

    def _reserve_memory(
        self, order: orders.Order, now: datetime.timedelta
    ) -> None:
        """Reserves the memory for a load before the order is sent."""
        if order.operation is not orders.Operation.LOAD:
            return
        if order.memory_mb is not None:
            key = (order.model, order.adapter)
            memory_mb = order.memory_mb
            previous = self._sizes.get(key)
            expected = order.expected_sequence_number
            if previous is not None and previous.sequence_number >= expected:
                # An earlier order may be carried out in place of this one.
                memory_mb = max(memory_mb, previous.memory_mb)
            self._sizes[key] = _Size(memory_mb, expected)
        if order.adapter is None:
            self._fetching_model = None
            if not self.has_copy(order.model):
                self._fetching_model = order.model
            ready_at = now + self.estimate_load_time(order.model)
            self.replicas[order.model] = Replica(
                LoadState.LOADING, ready_at, now
            )
        else:
            self.adapters[(order.model, order.adapter)] = Replica(
                LoadState.LOADING,
                now + ORDER_ROUND_TRIP + ADAPTER_LOAD_TIME,
                now,
            )

    def apply_order_result(
        self, event: orders.OrderResult, now: datetime.timedelta
    ) -> None:
        """Processes the result of the pending order.

        A result of any other order is ignored.
        """
        order = self.pending_order
        if order is None or order != event.order:
            return
        match event.outcome:
            case orders.Outcome.ACCEPTED | orders.Outcome.ALREADY_DONE:
                self._handle_accepted(order, event.outcome, now)
            case orders.Outcome.NO_RESPONSE:
                # The target may have accepted the order or may do so later.
                # The same order is sent again; its expected sequence number
                # ensures that only one of the copies takes effect.
                self._is_outcome_unknown = True
                self._poll_at = now + STATUS_LAG
            case _:
                self._handle_rejected(order, event.outcome, now)

    def _handle_accepted(
        self,
        order: orders.Order,
        outcome: orders.Outcome,
        now: datetime.timedelta,
    ) -> None:
        self.pending_order = None
        self._is_outcome_unknown = False
        self._conflict_count = 0
        self._accepted_at = now
        assert self._sequence_number is not None
        if order.operation is orders.Operation.LOAD:
            if outcome is orders.Outcome.ACCEPTED:
                self._sequence_number += 1
            self._apply_load(order, outcome, now)
        else:
            # An adapter is unloaded immediately: the outcome is `ALREADY_DONE`,
            # but the target counts the order as accepted.
            if outcome is orders.Outcome.ACCEPTED or order.adapter is not None:
                self._sequence_number += 1
            self._apply_unload(order, outcome, now)

    def _apply_load(
        self,
        order: orders.Order,
        outcome: orders.Outcome,
        now: datetime.timedelta,
    ) -> None:
        ready_at = now
        if outcome is orders.Outcome.ALREADY_DONE and order.adapter is None:
            self._fetching_model = None
        if order.adapter is not None:
            if outcome is orders.Outcome.ACCEPTED:
                ready_at = now + ADAPTER_LOAD_TIME
                reserved = self.adapters.get((order.model, order.adapter))
                if reserved is not None and reserved.ready_at >= ready_at:
                    # Keeps the estimate that is already published to the
                    # instances, so that no further update is needed.
                    return
            self.adapters[(order.model, order.adapter)] = Replica(
                LoadState.LOADING, ready_at, now
            )
            return
        if outcome is orders.Outcome.ACCEPTED:
            ready_at = now + self.estimate_load_time(order.model)
        # The target accepts an order for a model only after the previous one
        # has ended, so all unloads are complete.
        for model in [
            name
            for name, replica in self.replicas.items()
            if replica.state is LoadState.UNLOADING
        ]:
            self._remove_model(model)
        spec = self.engine.find_model(order.model)
        is_reliable = spec is not None and ready_at - now < spec.store_load_time
        self.replicas[order.model] = Replica(
            LoadState.LOADING, ready_at, now, is_estimate_reliable=is_reliable
        )
        self.available_at = self._expected_end_at = ready_at
        self._poll_at = ready_at + STATUS_LAG
        self._record_copy(order.model)

    def _apply_unload(
        self,
        order: orders.Order,
        outcome: orders.Outcome,
        now: datetime.timedelta,
    ) -> None:
        if order.adapter is not None:
            self.adapters.pop((order.model, order.adapter), None)
            return
        if outcome is orders.Outcome.ALREADY_DONE:
            # The response contradicts this view, so only a report frees memory.
            self._invalidate(now + STATUS_LAG)
            return
        end_at = now + UNLOAD_TIME
        replica = self.replicas.get(order.model)
        if replica is not None:
            replica.state = LoadState.UNLOADING
            replica.ready_at = end_at
        self.available_at = self._expected_end_at = end_at
        self._poll_at = end_at + STATUS_LAG

    def _handle_rejected(
        self,
        order: orders.Order,
        outcome: orders.Outcome,
        now: datetime.timedelta,
    ) -> None:
        was_outcome_unknown = self._is_outcome_unknown
        self.pending_order = None
        self._is_outcome_unknown = False
        if order.operation is orders.Operation.LOAD:
            if order.adapter is None:
                self.replicas.pop(order.model, None)
                self._fetching_model = None
            else:
                self.adapters.pop((order.model, order.adapter), None)
        self.available_at = now + BUSY_RETRY_DELAY
        if outcome is orders.Outcome.NOT_SENT:
            self.available_at = now + NO_RESPONSE_RETRY_DELAY
            return
        self._conflict_count += 1
        if (
            outcome is not orders.Outcome.CONFLICT
            or was_outcome_unknown
            or self._conflict_count > MAX_CONSECUTIVE_CONFLICTS
            or not self._has_unconfirmed_change()
        ):
            self._invalidate(now)
        self._extend_estimates(
            now + BUSY_RETRY_DELAY * max(1, self._conflict_count)
        )

    def _extend_estimates(self, until: datetime.timedelta) -> None:
        """Postpones the next order and the end of unconfirmed loads."""
        self.available_at = until
        self._poll_at = min(self._poll_at or until, until)
        for replica in self.replicas.values():
            if (
                replica.state is not LoadState.UNLOADING
                and not replica.is_confirmed
            ):
                replica.state = LoadState.LOADING
                replica.ready_at = until

    def _has_unconfirmed_change(self) -> bool:
        """Returns whether a load or unload is not confirmed to have ended.

        If so, a conflict may only mean that it takes longer than expected.
        """
        return any(
            replica.state is LoadState.UNLOADING or not replica.is_confirmed
            for replica in self.replicas.values()
        )

    def _invalidate(self, poll_at: datetime.timedelta) -> None:
        """Marks the state as out of sync until a status report from then on."""
        self._conflict_count = 0
        self._sequence_number = None
        self._poll_at = poll_at

    def _remove_model(self, model: ids.ModelName) -> None:
        self.replicas.pop(model, None)
        for key in [other for other in self.adapters if other[0] == model]:
            del self.adapters[key]

    def _record_copy(self, model: ids.ModelName) -> None:
        """Records a cached copy in memory and on disk as most recently used."""
        memory = tuple(name for name in self.copies.in_memory if name != model)
        disk = tuple(name for name in self.copies.on_disk if name != model)
        self.copies = targets.CachedCopies((*memory, model), (*disk, model))

    def is_poll_due(self, now: datetime.timedelta) -> bool:
        """Returns whether the target is to be polled for its status now."""
        return (
            not self._is_polling
            and self._poll_at is not None
            and now >= self._poll_at
        )

    @property
    def next_poll_at(self) -> datetime.timedelta | None:
        """When the target is to be polled next, None if not scheduled."""
        if self._is_polling or self._poll_at is None:
            return None
        return self._poll_at

    def mark_polling(self) -> None:
        """Records that a request for the status is in progress."""
        self._is_polling = True

    def apply_status(
        self, event: orders.StatusResult, now: datetime.timedelta
    ) -> orders.Order | None:
        """Processes the result of a poll.

        Returns:
            The pending order if it is to be sent again, otherwise None.
        """
        self._is_polling = False
        status = event.status
        if status is None:
            self._poll_at = now + NO_RESPONSE_RETRY_DELAY
            return None
        self._poll_at = None
        if self._is_outcome_unknown:
            return self._resolve_unknown_outcome(event, status, now)
        if self._sequence_number is None:
            self._resync(status, now)
            return None
        observed_at = event.requested_at - STATUS_LAG
        if self.pending_order is not None or observed_at < self._accepted_at:
            # The report may predate the last order.
            if self._has_unconfirmed_replica():
                self._poll_at = max(
                    now + BUSY_RETRY_DELAY, self._accepted_at + STATUS_LAG
                )
            return None
        if status.sequence_number != self._sequence_number:
            self._resync(status, now)
            return None
        self._update_from_status(status, now)
        return None

    def _has_unconfirmed_replica(self) -> bool:
        return any(
            not replica.is_confirmed for replica in self.replicas.values()
        )

    def _resolve_unknown_outcome(
        self,
        event: orders.StatusResult,
        status: orders.Status,
        now: datetime.timedelta,
    ) -> orders.Order | None:
        """Determines whether an order without a response was accepted.

        Returns:
            The order if it has not been accepted and is to be sent again.
        """
        order = self.pending_order
        assert order is not None and self._sequence_number is not None
        if status.sequence_number == self._sequence_number:
            self._poll_at = now + NO_RESPONSE_RETRY_DELAY
            return order
        self._is_outcome_unknown = False
        self.pending_order = None
        self._resync(status, now)
        return None

    def _resync(self, status: orders.Status, now: datetime.timedelta) -> None:
        """Replaces the state with that of a status report."""
        self.copies = status.copies
        self._is_reported_busy = status.is_busy
        if status.is_busy:
            # The report does not name the model that is being loaded, so the
            # free memory is unknown.
            self._sequence_number = None
            self._poll_at = now + 4 * BUSY_RETRY_DELAY
            self.available_at = now + 4 * BUSY_RETRY_DELAY
            self._sync_models(status, now)
            return
        self._sequence_number = status.sequence_number
        self._accepted_at = now - STATUS_LAG
        self.available_at = now
        self._fetching_model = None
        self._sync_models(status, now)

    def _update_from_status(
        self, status: orders.Status, now: datetime.timedelta
    ) -> None:
        """Updates the state from a report that is newer than the last order."""
        self.copies = status.copies
        if status.is_busy and now < self._expected_end_at:
            self._poll_at = self._expected_end_at + STATUS_LAG
            return
        if status.is_busy:
            # The order takes longer than expected.
            elapsed = now - self._accepted_at
            extension = max(
                2 * BUSY_RETRY_DELAY, elapsed * OVERDUE_EXTENSION_RATIO
            )
            for replica in self.replicas.values():
                if replica.state is not LoadState.UNLOADING and (
                    not replica.is_confirmed
                ):
                    replica.state = LoadState.LOADING
                    replica.ready_at = now + extension
            self.available_at = max(self.available_at, now + extension)
            self._poll_at = now + min(extension, OVERDUE_POLL_INTERVAL)
            return
        self._fetching_model = None
        self.available_at = min(self.available_at, now)
        self._sync_models(status, now)

    def _sync_models(
        self, status: orders.Status, now: datetime.timedelta
    ) -> None:
        # Keeps the order of the report, so that ties between eviction
        # candidates are broken the same way in every process.
        loaded = dict.fromkeys(item.name for item in status.models)
        for model in [name for name in self.replicas if name not in loaded]:
            self._remove_model(model)
        for model in loaded:
            replica = self.replicas.get(model)
            if replica is None:
                replica = Replica(LoadState.READY, now, _ZERO)
                self.replicas[model] = replica
            if replica.state is LoadState.UNLOADING and status.is_busy:
                continue
            replica.state = LoadState.READY
            replica.ready_at = min(replica.ready_at, now)
            replica.is_confirmed = True
        self._sync_adapters(status, now)
        self._sync_sizes(status)

    def _sync_sizes(self, status: orders.Status) -> None:
        self._add_sizes(status.sequence_number)
        if status.is_busy:
            return
        for key, size in list(self._sizes.items()):
            model, adapter = key
            is_held = (
                model in self.replicas
                if adapter is None
                else (model, adapter) in self.adapters
            )
            if not is_held and size.sequence_number < status.sequence_number:
                del self._sizes[key]

    def _sync_adapters(
        self, status: orders.Status, now: datetime.timedelta
    ) -> None:
        reported_keys = [
            (model.name, adapter)
            for model in status.models
            for adapter in model.adapters
        ]
        reported_keys += status.loading_adapters
        for key in self.adapters.keys() - set(reported_keys):
            del self.adapters[key]
        for key in reported_keys:
            if key not in self.adapters:
                self.adapters[key] = Replica(LoadState.READY, now, _ZERO)

    def mark_loads_ready(self, now: datetime.timedelta) -> None:
        """Marks loads as ready whose expected end has passed.

        If a load takes longer, the target rejects the requests that arrive too
        early; this has no side effect there. A load without a reliable end time
        is marked as ready only by a status report.
        """
        for replica in self.replicas.values():
            if replica.state is not LoadState.LOADING or replica.ready_at > now:
                continue
            if replica.is_estimate_reliable:
                replica.state = LoadState.READY
            else:
                replica.ready_at = now + STATUS_LAG
        for adapter in self.adapters.values():
            if adapter.state is LoadState.LOADING and adapter.ready_at <= now:
                adapter.state = LoadState.READY


def _choose_larger(left: float | None, right: float | None) -> float | None:
    if left is None or right is None:
        return right if left is None else left
    return max(left, right)
