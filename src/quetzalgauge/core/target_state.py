"""The holder's ledger of one target: what it holds and what is under way.

The ledger, not the target's late report, decides what still fits. It changes
with each order that the target accepts; a report corrects it only when it
counts the same orders and is younger than the last one.
"""

import dataclasses
import datetime
import enum

from quetzalgauge import ids
from quetzalgauge.core import configuration
from quetzalgauge.core import fleet
from quetzalgauge.core import orders
from quetzalgauge.core import targets

# Age of what a report says, with some allowance.
STATUS_LAG = datetime.timedelta(milliseconds=130)
# An unload of a model without requests.
UNLOAD_TIME = datetime.timedelta(milliseconds=50)
# An adapter on its way from the weight store.
ADAPTER_LOAD_TIME = datetime.timedelta(milliseconds=10)
# An order and its answer on their way.
ORDER_ROUND_TRIP = datetime.timedelta(milliseconds=5)
# Pause before a target that was still busy gets the next order.
BUSY_RETRY_DELAY = datetime.timedelta(milliseconds=12)
# Pause before a target without an answer is asked again.
NO_RESPONSE_RETRY_DELAY = datetime.timedelta(milliseconds=150)
# An order that is overdue is expected to take this share longer.
OVERDUE_EXTENSION_RATIO = 0.15
# An overdue order is asked after at least this often.
OVERDUE_POLL_INTERVAL = datetime.timedelta(milliseconds=200)
# Conflicts in a row after which the target is asked what it holds.
MAX_CONSECUTIVE_CONFLICTS = 3

_ZERO = datetime.timedelta()


class LoadState(enum.Enum):
    """State of a model or adapter on a target."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass(slots=True)
class Replica:
    """A model on a target.

    Attributes:
        state: Its state.
        ready_at: When it is expected to be ready (or gone, if unloading).
        last_used_at: When a request last ran or waited for it.
        is_confirmed: Whether a report has shown it as loaded.
        is_estimate_reliable: Whether `ready_at` can be relied upon. A load
            from the
            weight store takes longer while others are under way.
    """

    state: LoadState
    ready_at: datetime.timedelta
    last_used_at: datetime.timedelta
    is_confirmed: bool = False
    is_estimate_reliable: bool = True


AdapterKey = tuple[ids.ModelName, ids.AdapterName]


class TargetState:
    """Ledger of one incarnation of a target."""

    def __init__(
        self, description: targets.Description, engine: configuration.Engine
    ) -> None:
        self.description = description
        self.engine = engine
        self.copies = description.copies
        self.replicas: dict[ids.ModelName, Replica] = {}
        self.adapters: dict[AdapterKey, Replica] = {}
        self.pending_order: orders.Order | None = None
        self.available_at = _ZERO
        self.store_slowdown = 1.0
        self._fetching_model: ids.ModelName | None = None
        self._is_reported_busy = False
        self._sequence_number: int | None = None
        self._accepted_at = _ZERO
        self._expected_end_at = (
            _ZERO  # Expected end of the order when it was taken.
        )
        self._poll_at: datetime.timedelta | None = _ZERO
        self._is_polling = False
        self._is_outcome_unknown = False
        self._conflict_count = 0

    # ---- Properties

    @property
    def target(self) -> ids.TargetId:
        """The target."""
        return self.description.target

    @property
    def incarnation(self) -> int:
        """The target's incarnation."""
        return self.description.incarnation

    @property
    def is_synced(self) -> bool:
        """Whether the ledger agrees with a report of the target."""
        return self._sequence_number is not None

    @property
    def fetching_model(self) -> ids.ModelName | None:
        """The model that is being loaded from the weight store, if any."""
        return self._fetching_model

    @property
    def has_untracked_order(self) -> bool:
        """Whether the target carries out an order that is not in the ledger.

        It may be a load from the weight store that the holder before ordered.
        """
        return self._is_reported_busy and self._fetching_model is None

    def get_free_mb(self, now: datetime.timedelta) -> float:
        """Returns the accelerator memory that an order may still take.

        A model whose unload should be over does not count: the target takes
        no other order before it is.
        """
        total = 0.0
        for name, replica in self.replicas.items():
            if replica.state is LoadState.UNLOADING and replica.ready_at <= now:
                continue
            spec = self.engine.models.get(name)
            # A model that the configuration does not know fills the target.
            total += spec.size_mb if spec else self.engine.memory_mb
        for model, _ in self.adapters:
            spec = self.engine.models.get(model)
            total += spec.adapter_mb if spec else 0.0
        return self.engine.memory_mb - total

    def can_accept_order(self, now: datetime.timedelta) -> bool:
        """Whether the target may get an order now."""
        return (
            self.is_synced
            and self.pending_order is None
            and not self._is_outcome_unknown
            and now >= self.available_at
            and not self._has_unpredictable_load()
            and not self.description.is_draining
        )

    def _has_unpredictable_load(self) -> bool:
        """Whether a load is under way whose end is not certain."""
        return any(
            replica.state is LoadState.LOADING
            and not replica.is_estimate_reliable
            for replica in self.replicas.values()
        )

    def is_ready(self, model: ids.ModelName, now: datetime.timedelta) -> bool:
        """Whether a model takes requests."""
        replica = self.replicas.get(model)
        return (
            replica is not None
            and replica.state is LoadState.READY
            and replica.ready_at <= now
        )

    # ---- Orders

    def create_order(
        self,
        operation: orders.Operation,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        fencing_token: int,
        now: datetime.timedelta,
    ) -> orders.Order:
        """Returns an order and remembers it as the one under way."""
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
        )
        self.pending_order = order
        self._reserve_memory(order, now)
        return order

    def has_copy(self, model: ids.ModelName) -> bool:
        """Whether this target need not load a model from the store."""
        copies = self.copies
        return model in copies.in_memory or model in copies.on_disk

    def estimate_load_time(self, model: ids.ModelName) -> datetime.timedelta:
        """Returns how long this target takes to load a model."""
        usual = fleet.estimate_load_time(self.engine.models[model], self.copies)
        return usual if self.has_copy(model) else usual * self.store_slowdown

    def _reserve_memory(
        self, order: orders.Order, now: datetime.timedelta
    ) -> None:
        """Counts what an order will take before it is sent."""
        if order.operation is not orders.Operation.LOAD:
            return
        if order.adapter is None:
            self._fetching_model = None
            if not self.has_copy(order.model):
                self._fetching_model = order.model
            ready = now + self.estimate_load_time(order.model)
            self.replicas[order.model] = Replica(LoadState.LOADING, ready, now)
        else:
            self.adapters[(order.model, order.adapter)] = Replica(
                LoadState.LOADING,
                now + ORDER_ROUND_TRIP + ADAPTER_LOAD_TIME,
                now,
            )

    def apply_order_result(
        self, event: orders.OrderResult, now: datetime.timedelta
    ) -> None:
        """Takes the answer to the order under way."""
        order = self.pending_order
        if order is None or order != event.order:
            return
        match event.outcome:
            case orders.Outcome.ACCEPTED | orders.Outcome.ALREADY_DONE:
                self._handle_accepted(order, event.outcome, now)
            case orders.Outcome.NO_RESPONSE:
                # It may have been accepted, or be accepted later. The same
                # order is given again: only one of the copies has an effect.
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
            # An adapter is unloaded at once, which counts as an order taken.
            if outcome is orders.Outcome.ACCEPTED or order.adapter is not None:
                self._sequence_number += 1
            self._apply_unload(order, outcome, now)

    def _apply_load(
        self,
        order: orders.Order,
        outcome: orders.Outcome,
        now: datetime.timedelta,
    ) -> None:
        done = now
        if outcome is orders.Outcome.ALREADY_DONE and order.adapter is None:
            self._fetching_model = None
        if order.adapter is not None:
            if outcome is orders.Outcome.ACCEPTED:
                done = now + ADAPTER_LOAD_TIME
                expected = self.adapters.get((order.model, order.adapter))
                if expected is not None and expected.ready_at >= done:
                    # Instances know this already.
                    return
            self.adapters[(order.model, order.adapter)] = Replica(
                LoadState.LOADING, done, now
            )
            return
        if outcome is orders.Outcome.ACCEPTED:
            done = now + self.estimate_load_time(order.model)
        # The target takes an order for a model only after the one before.
        for name in [
            one
            for one, replica in self.replicas.items()
            if replica.state is LoadState.UNLOADING
        ]:
            self._remove_model(name)
        is_certain = (
            done - now < self.engine.models[order.model].store_load_time
        )
        self.replicas[order.model] = Replica(
            LoadState.LOADING, done, now, is_estimate_reliable=is_certain
        )
        self.available_at = self._expected_end_at = done
        self._poll_at = done + STATUS_LAG
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
            self._remove_model(order.model)
            return
        done = now + UNLOAD_TIME
        replica = self.replicas.get(order.model)
        if replica is not None:
            replica.state = LoadState.UNLOADING
            replica.ready_at = done
        self.available_at = self._expected_end_at = done
        self._poll_at = done + STATUS_LAG

    def _handle_rejected(
        self,
        order: orders.Order,
        outcome: orders.Outcome,
        now: datetime.timedelta,
    ) -> None:
        was_doubtful = self._is_outcome_unknown
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
            or was_doubtful
            or self._conflict_count > MAX_CONSECUTIVE_CONFLICTS
            or not self._has_unconfirmed_change()
        ):
            self._invalidate(now)
        self._extend_estimates(
            now + BUSY_RETRY_DELAY * max(1, self._conflict_count)
        )

    def _extend_estimates(self, until: datetime.timedelta) -> None:
        """An order takes longer than expected."""
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
        """Whether a conflict may only mean that an order takes longer."""
        return any(
            replica.state is LoadState.UNLOADING or not replica.is_confirmed
            for replica in self.replicas.values()
        )

    def _invalidate(self, now: datetime.timedelta) -> None:
        """Nothing is certain until the next report."""
        self._conflict_count = 0
        self._sequence_number = None
        self._poll_at = now

    def _remove_model(self, model: ids.ModelName) -> None:
        self.replicas.pop(model, None)
        for key in [one for one in self.adapters if one[0] == model]:
            del self.adapters[key]

    def _record_copy(self, model: ids.ModelName) -> None:
        memory = tuple(one for one in self.copies.in_memory if one != model)
        disk = tuple(one for one in self.copies.on_disk if one != model)
        self.copies = targets.CachedCopies((*memory, model), (*disk, model))

    # ---- Reports

    def is_poll_due(self, now: datetime.timedelta) -> bool:
        """Whether the target is to be asked for its status now."""
        return (
            not self._is_polling
            and self._poll_at is not None
            and now >= self._poll_at
        )

    @property
    def next_poll_at(self) -> datetime.timedelta | None:
        """When something is to be done for this target next."""
        if self._is_polling or self._poll_at is None:
            return None
        return self._poll_at

    def mark_polling(self) -> None:
        """The target is being asked for its status."""
        self._is_polling = True

    def apply_status(
        self, event: orders.StatusResult, now: datetime.timedelta
    ) -> orders.Order | None:
        """Takes a report.

        Returns:
            The order under way if it is to be given again.
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
        seen_at = event.requested_at - STATUS_LAG
        if self.pending_order is not None or seen_at < self._accepted_at:
            if self._has_unconfirmed_replica():
                self._poll_at = max(
                    now + BUSY_RETRY_DELAY, self._accepted_at + STATUS_LAG
                )
            return None
        if status.sequence_number != self._sequence_number:
            self._resync(status, now)
            return None
        self._reconcile(status, now)
        return None

    def _has_unconfirmed_replica(self) -> bool:
        return any(not one.is_confirmed for one in self.replicas.values())

    def _resolve_unknown_outcome(
        self,
        event: orders.StatusResult,
        status: orders.Status,
        now: datetime.timedelta,
    ) -> orders.Order | None:
        """Finds out whether an order without an answer was accepted."""
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
        """Replaces the ledger by a report."""
        self.copies = status.copies
        self._is_reported_busy = status.is_busy
        if status.is_busy:
            # What is being loaded is not named, so nothing fits for certain.
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

    def _reconcile(
        self, status: orders.Status, now: datetime.timedelta
    ) -> None:
        self.copies = status.copies
        if status.is_busy and now < self._expected_end_at:
            self._poll_at = self._expected_end_at + STATUS_LAG
            return
        if status.is_busy:
            # The order takes longer than expected.
            elapsed = now - self._accepted_at
            more = max(2 * BUSY_RETRY_DELAY, elapsed * OVERDUE_EXTENSION_RATIO)
            for replica in self.replicas.values():
                if replica.state is not LoadState.UNLOADING and (
                    not replica.is_confirmed
                ):
                    replica.state = LoadState.LOADING
                    replica.ready_at = now + more
            self.available_at = max(self.available_at, now + more)
            self._poll_at = now + min(more, OVERDUE_POLL_INTERVAL)
            return
        self._fetching_model = None
        self.available_at = min(self.available_at, now)
        self._sync_models(status, now)

    def _sync_models(
        self, status: orders.Status, now: datetime.timedelta
    ) -> None:
        # In the report's order, so that equal victims come in the same order
        # in each process.
        loaded = dict.fromkeys(model.name for model in status.models)
        for name in [one for one in self.replicas if one not in loaded]:
            self._remove_model(name)
        for name in loaded:
            replica = self.replicas.get(name)
            if replica is None:
                replica = Replica(LoadState.READY, now, _ZERO)
                self.replicas[name] = replica
            if replica.state is LoadState.UNLOADING and status.is_busy:
                continue
            replica.state = LoadState.READY
            replica.ready_at = min(replica.ready_at, now)
            replica.is_confirmed = True
        self._sync_adapters(status, now)

    def _sync_adapters(
        self, status: orders.Status, now: datetime.timedelta
    ) -> None:
        present = [
            (model.name, adapter)
            for model in status.models
            for adapter in model.adapters
        ]
        present += status.loading_adapters
        for key in self.adapters.keys() - set(present):
            del self.adapters[key]
        for key in present:
            if key not in self.adapters:
                self.adapters[key] = Replica(LoadState.READY, now, _ZERO)

    # ---- Time

    def mark_loads_ready(self, now: datetime.timedelta) -> None:
        """Takes what should be loaded by now for loaded.

        Requests that come too early are rejected by the target, which changes
        nothing there.
        """
        for replica in self.replicas.values():
            if replica.state is not LoadState.LOADING or replica.ready_at > now:
                continue
            if replica.is_estimate_reliable:
                replica.state = LoadState.READY
            else:
                replica.ready_at = now + STATUS_LAG
        for one in self.adapters.values():
            if one.state is LoadState.LOADING and one.ready_at <= now:
                one.state = LoadState.READY
