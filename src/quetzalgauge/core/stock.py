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
REPORT_LAG = datetime.timedelta(milliseconds=130)
# An unload of a model without requests.
UNLOAD_TIME = datetime.timedelta(milliseconds=50)
# An adapter on its way from the weight store.
ADAPTER_TIME = datetime.timedelta(milliseconds=10)
# An order and its answer on their way.
ORDER_TIME = datetime.timedelta(milliseconds=5)
# Pause before a target that was still busy gets the next order.
BUSY_PAUSE = datetime.timedelta(milliseconds=12)
# Pause before a target without an answer is asked again.
SILENT_PAUSE = datetime.timedelta(milliseconds=150)
# An order that is overdue is expected to take this share longer.
OVERDUE_SHARE = 0.15
# An overdue order is asked after at least this often.
OVERDUE_PAUSE = datetime.timedelta(milliseconds=200)
# Conflicts in a row after which the target is asked what it holds.
MAX_CONFLICTS = 3

_ZERO = datetime.timedelta()


class State(enum.Enum):
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
        used_at: When a request last ran or waited for it.
        confirmed: Whether a report has shown it as loaded.
        is_certain: Whether `ready_at` can be relied upon. A load from the
            weight store takes longer while others are under way.
    """

    state: State
    ready_at: datetime.timedelta
    used_at: datetime.timedelta
    confirmed: bool = False
    is_certain: bool = True


AdapterKey = tuple[ids.ModelName, ids.AdapterName]


class Stock:
    """Ledger of one incarnation of a target."""

    def __init__(
        self, description: targets.Description, engine: configuration.Engine
    ) -> None:
        self.description = description
        self.engine = engine
        self.copies = description.copies
        self.replicas: dict[ids.ModelName, Replica] = {}
        self.adapters: dict[AdapterKey, Replica] = {}
        self.order: orders.Order | None = None
        self.free_at = _ZERO
        self.store_slowdown = 1.0
        self._fetched: ids.ModelName | None = None
        self._is_busy = False
        self._orders_taken: int | None = None
        self._taken_at = _ZERO
        self._due_at = _ZERO  # Expected end of the order when it was taken.
        self._ask_at: datetime.timedelta | None = _ZERO
        self._asked = False
        self._doubtful = False
        self._conflicts = 0

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
    def is_known(self) -> bool:
        """Whether the ledger agrees with a report of the target."""
        return self._orders_taken is not None

    @property
    def fetching(self) -> ids.ModelName | None:
        """The model that is being loaded from the weight store, if any."""
        return self._fetched

    @property
    def is_busy_unseen(self) -> bool:
        """Whether the target carries out an order that is not in the ledger.

        It may be a load from the weight store that the holder before ordered.
        """
        return self._is_busy and self._fetched is None

    def free_mb(self, now: datetime.timedelta) -> float:
        """Returns the accelerator memory that an order may still take.

        A model whose unload should be over does not count: the target takes
        no other order before it is.
        """
        total = 0.0
        for name, replica in self.replicas.items():
            if replica.state is State.UNLOADING and replica.ready_at <= now:
                continue
            spec = self.engine.models.get(name)
            # A model that the configuration does not know fills the target.
            total += spec.size_mb if spec else self.engine.memory_mb
        for model, _ in self.adapters:
            spec = self.engine.models.get(model)
            total += spec.adapter_mb if spec else 0.0
        return self.engine.memory_mb - total

    def can_order(self, now: datetime.timedelta) -> bool:
        """Whether the target may get an order now."""
        return (
            self.is_known
            and self.order is None
            and not self._doubtful
            and now >= self.free_at
            and not self._is_loading()
            and not self.description.is_draining
        )

    def _is_loading(self) -> bool:
        """Whether a load is under way whose end is not certain."""
        return any(
            replica.state is State.LOADING and not replica.is_certain
            for replica in self.replicas.values()
        )

    def is_ready(self, model: ids.ModelName, now: datetime.timedelta) -> bool:
        """Whether a model takes requests."""
        replica = self.replicas.get(model)
        return (
            replica is not None
            and replica.state is State.READY
            and replica.ready_at <= now
        )

    # ---- Orders

    def make_order(
        self,
        operation: orders.Operation,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        token: int,
        now: datetime.timedelta,
    ) -> orders.Order:
        """Returns an order and remembers it as the one under way."""
        assert self._orders_taken is not None
        order = orders.Order(
            self.target,
            self.incarnation,
            self.description.address,
            operation,
            model,
            adapter,
            self._orders_taken,
            token,
        )
        self.order = order
        self._reserve(order, now)
        return order

    def has_copy(self, model: ids.ModelName) -> bool:
        """Whether this target need not load a model from the store."""
        copies = self.copies
        return model in copies.in_memory or model in copies.on_disk

    def load_time(self, model: ids.ModelName) -> datetime.timedelta:
        """Returns how long this target takes to load a model."""
        usual = fleet.estimate_load_time(self.engine.models[model], self.copies)
        return usual if self.has_copy(model) else usual * self.store_slowdown

    def _reserve(self, order: orders.Order, now: datetime.timedelta) -> None:
        """Counts what an order will take before it is sent."""
        if order.operation is not orders.Operation.LOAD:
            return
        if order.adapter is None:
            self._fetched = None
            if not self.has_copy(order.model):
                self._fetched = order.model
            ready = now + self.load_time(order.model)
            self.replicas[order.model] = Replica(State.LOADING, ready, now)
        else:
            self.adapters[(order.model, order.adapter)] = Replica(
                State.LOADING, now + ORDER_TIME + ADAPTER_TIME, now
            )

    def use_answer(
        self, event: orders.Answered, now: datetime.timedelta
    ) -> None:
        """Takes the answer to the order under way."""
        order = self.order
        if order is None or order != event.order:
            return
        match event.answer:
            case orders.Answer.ACCEPTED | orders.Answer.HOLDS:
                self._accepted(order, event.answer, now)
            case orders.Answer.NO_ANSWER:
                # It may have been accepted, or be accepted later. The same
                # order is given again: only one of the copies has an effect.
                self._doubtful = True
                self._ask_at = now + REPORT_LAG
            case _:
                self._rejected(order, event.answer, now)

    def _accepted(
        self,
        order: orders.Order,
        answer: orders.Answer,
        now: datetime.timedelta,
    ) -> None:
        self.order = None
        self._doubtful = False
        self._conflicts = 0
        self._taken_at = now
        assert self._orders_taken is not None
        if order.operation is orders.Operation.LOAD:
            if answer is orders.Answer.ACCEPTED:
                self._orders_taken += 1
            self._loading(order, answer, now)
        else:
            # An adapter is unloaded at once, which counts as an order taken.
            if answer is orders.Answer.ACCEPTED or order.adapter is not None:
                self._orders_taken += 1
            self._unloading(order, answer, now)

    def _loading(
        self,
        order: orders.Order,
        answer: orders.Answer,
        now: datetime.timedelta,
    ) -> None:
        done = now
        if answer is orders.Answer.HOLDS and order.adapter is None:
            self._fetched = None
        if order.adapter is not None:
            if answer is orders.Answer.ACCEPTED:
                done = now + ADAPTER_TIME
                expected = self.adapters.get((order.model, order.adapter))
                if expected is not None and expected.ready_at >= done:
                    # Instances know this already.
                    return
            self.adapters[(order.model, order.adapter)] = Replica(
                State.LOADING, done, now
            )
            return
        if answer is orders.Answer.ACCEPTED:
            done = now + self.load_time(order.model)
        # The target takes an order for a model only after the one before.
        for name in [
            one
            for one, replica in self.replicas.items()
            if replica.state is State.UNLOADING
        ]:
            self._drop(name)
        is_certain = done - now < self.engine.models[order.model].store_load
        self.replicas[order.model] = Replica(
            State.LOADING, done, now, is_certain=is_certain
        )
        self.free_at = self._due_at = done
        self._ask_at = done + REPORT_LAG
        self._note_copy(order.model)

    def _unloading(
        self,
        order: orders.Order,
        answer: orders.Answer,
        now: datetime.timedelta,
    ) -> None:
        if order.adapter is not None:
            self.adapters.pop((order.model, order.adapter), None)
            return
        if answer is orders.Answer.HOLDS:
            self._drop(order.model)
            return
        done = now + UNLOAD_TIME
        replica = self.replicas.get(order.model)
        if replica is not None:
            replica.state = State.UNLOADING
            replica.ready_at = done
        self.free_at = self._due_at = done
        self._ask_at = done + REPORT_LAG

    def _rejected(
        self,
        order: orders.Order,
        answer: orders.Answer,
        now: datetime.timedelta,
    ) -> None:
        was_doubtful = self._doubtful
        self.order = None
        self._doubtful = False
        if order.operation is orders.Operation.LOAD:
            if order.adapter is None:
                self.replicas.pop(order.model, None)
                self._fetched = None
            else:
                self.adapters.pop((order.model, order.adapter), None)
        self.free_at = now + BUSY_PAUSE
        if answer is orders.Answer.NOT_SENT:
            self.free_at = now + SILENT_PAUSE
            return
        self._conflicts += 1
        if (
            answer is not orders.Answer.CONFLICT
            or was_doubtful
            or self._conflicts > MAX_CONFLICTS
            or not self._may_be_busy()
        ):
            self._forget(now)
        self._delay(now + BUSY_PAUSE * max(1, self._conflicts))

    def _delay(self, until: datetime.timedelta) -> None:
        """An order takes longer than expected."""
        self.free_at = until
        self._ask_at = min(self._ask_at or until, until)
        for replica in self.replicas.values():
            if replica.state is not State.UNLOADING and not replica.confirmed:
                replica.state = State.LOADING
                replica.ready_at = until

    def _may_be_busy(self) -> bool:
        """Whether a conflict may only mean that an order takes longer."""
        return any(
            replica.state is State.UNLOADING or not replica.confirmed
            for replica in self.replicas.values()
        )

    def _forget(self, now: datetime.timedelta) -> None:
        """Nothing is certain until the next report."""
        self._conflicts = 0
        self._orders_taken = None
        self._ask_at = now

    def _drop(self, model: ids.ModelName) -> None:
        self.replicas.pop(model, None)
        for key in [one for one in self.adapters if one[0] == model]:
            del self.adapters[key]

    def _note_copy(self, model: ids.ModelName) -> None:
        memory = tuple(one for one in self.copies.in_memory if one != model)
        disk = tuple(one for one in self.copies.on_disk if one != model)
        self.copies = targets.CachedCopies((*memory, model), (*disk, model))

    # ---- Reports

    def wants_status(self, now: datetime.timedelta) -> bool:
        """Whether the target is to be asked for its status now."""
        return (
            not self._asked and self._ask_at is not None and now >= self._ask_at
        )

    @property
    def due(self) -> datetime.timedelta | None:
        """When something is to be done for this target next."""
        if self._asked or self._ask_at is None:
            return None
        return self._ask_at

    def note_asked(self) -> None:
        """The target is being asked for its status."""
        self._asked = True

    def use_status(
        self, event: orders.StatusRead, now: datetime.timedelta
    ) -> orders.Order | None:
        """Takes a report.

        Returns:
            The order under way if it is to be given again.
        """
        self._asked = False
        status = event.status
        if status is None:
            self._ask_at = now + SILENT_PAUSE
            return None
        self._ask_at = None
        if self._doubtful:
            return self._settle(event, status, now)
        if self._orders_taken is None:
            self._adopt(status, now)
            return None
        seen_at = event.asked_at - REPORT_LAG
        if self.order is not None or seen_at < self._taken_at:
            if self._unconfirmed():
                self._ask_at = max(
                    now + BUSY_PAUSE, self._taken_at + REPORT_LAG
                )
            return None
        if status.orders_taken != self._orders_taken:
            self._adopt(status, now)
            return None
        self._confirm(status, now)
        return None

    def _unconfirmed(self) -> bool:
        return any(not one.confirmed for one in self.replicas.values())

    def _settle(
        self,
        event: orders.StatusRead,
        status: orders.Status,
        now: datetime.timedelta,
    ) -> orders.Order | None:
        """Finds out whether an order without an answer was accepted."""
        order = self.order
        assert order is not None and self._orders_taken is not None
        if status.orders_taken == self._orders_taken:
            self._ask_at = now + SILENT_PAUSE
            return order
        self._doubtful = False
        self.order = None
        self._adopt(status, now)
        return None

    def _adopt(self, status: orders.Status, now: datetime.timedelta) -> None:
        """Replaces the ledger by a report."""
        self.copies = status.copies
        self._is_busy = status.busy
        if status.busy:
            # What is being loaded is not named, so nothing fits for certain.
            self._orders_taken = None
            self._ask_at = now + 4 * BUSY_PAUSE
            self.free_at = now + 4 * BUSY_PAUSE
            self._use_models(status, now)
            return
        self._orders_taken = status.orders_taken
        self._taken_at = now - REPORT_LAG
        self.free_at = now
        self._fetched = None
        self._use_models(status, now)

    def _confirm(self, status: orders.Status, now: datetime.timedelta) -> None:
        self.copies = status.copies
        if status.busy and now < self._due_at:
            self._ask_at = self._due_at + REPORT_LAG
            return
        if status.busy:
            # The order takes longer than expected.
            elapsed = now - self._taken_at
            more = max(2 * BUSY_PAUSE, elapsed * OVERDUE_SHARE)
            for replica in self.replicas.values():
                if replica.state is not State.UNLOADING and (
                    not replica.confirmed
                ):
                    replica.state = State.LOADING
                    replica.ready_at = now + more
            self.free_at = max(self.free_at, now + more)
            self._ask_at = now + min(more, OVERDUE_PAUSE)
            return
        self._fetched = None
        self.free_at = min(self.free_at, now)
        self._use_models(status, now)

    def _use_models(
        self, status: orders.Status, now: datetime.timedelta
    ) -> None:
        # In the report's order, so that equal victims come in the same order
        # in each process.
        loaded = dict.fromkeys(model.name for model in status.models)
        for name in [one for one in self.replicas if one not in loaded]:
            self._drop(name)
        for name in loaded:
            replica = self.replicas.get(name)
            if replica is None:
                replica = Replica(State.READY, now, _ZERO)
                self.replicas[name] = replica
            if replica.state is State.UNLOADING and status.busy:
                continue
            replica.state = State.READY
            replica.ready_at = min(replica.ready_at, now)
            replica.confirmed = True
        self._use_adapters(status, now)

    def _use_adapters(
        self, status: orders.Status, now: datetime.timedelta
    ) -> None:
        present = [
            (model.name, adapter)
            for model in status.models
            for adapter in model.adapters
        ]
        present += status.coming
        for key in self.adapters.keys() - set(present):
            del self.adapters[key]
        for key in present:
            if key not in self.adapters:
                self.adapters[key] = Replica(State.READY, now, _ZERO)

    # ---- Time

    def settle_time(self, now: datetime.timedelta) -> None:
        """Takes what should be loaded by now for loaded.

        Requests that come too early are rejected by the target, which changes
        nothing there.
        """
        for replica in self.replicas.values():
            if replica.state is not State.LOADING or replica.ready_at > now:
                continue
            if replica.is_certain:
                replica.state = State.READY
            else:
                replica.ready_at = now + REPORT_LAG
        for one in self.adapters.values():
            if one.state is State.LOADING and one.ready_at <= now:
                one.state = State.READY
