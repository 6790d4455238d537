"""Makes adapters resident on targets, on request of entry processes."""

import dataclasses
import datetime
from typing import Any

from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import leases as leases_module
from quetzalgauge import messages
from quetzalgauge import plan as plan_module
from quetzalgauge.gen import ttypes

RETRY = datetime.timedelta(milliseconds=200)
# An adapter that was asked for this lately is not unloaded for another.
MIN_RESIDENCE = datetime.timedelta(seconds=2)
# An adapter takes about ten milliseconds to arrive, less than the time between
# two ticks, so a status is asked for again at once this many times.
MAX_QUICK_POLLS = 20
_USED_LIMIT = 5_000

_Place = tuple[ids.TargetId, ids.AdapterName]


@dataclasses.dataclass(slots=True)
class _Wanted:
    """An adapter that requests wait for on a target.

    Attributes:
        order_id: The load order that was sent last, None before the first.
        is_accepted: Whether the target accepted that order.
        tokens: Token and deadline of each request.
    """

    tokens: list[tuple[Any, datetime.timedelta]]
    order_id: ids.OrderId | None = None
    is_accepted: bool = False
    retry: datetime.timedelta = context.LONG_AGO
    quick_polls: int = 0


class Adapters:
    """Adapter loads of the targets that this process holds."""

    def __init__(
        self, ctx: context.Context, leases: leases_module.Leases
    ) -> None:
        self._ctx = ctx
        self._leases = leases
        self._wanted: dict[_Place, _Wanted] = {}
        self._used: dict[_Place, datetime.timedelta] = {}
        self._unload_orders: dict[_Place, ids.OrderId] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no request waits for an adapter."""
        return not self._wanted

    def request(
        self, event: messages.AdapterRequested, now: datetime.timedelta
    ) -> None:
        """Takes a request; its reply follows, now or later."""
        ctx = self._ctx
        holder = self._leases.live_holder(event.target, now)
        if holder is None:
            self._reply(event.token, ttypes.AdapterDecision.NO_HOLDER, "")
            return
        if holder != ctx.writer:
            self._pass_on(event, holder, now)
            return
        place = (event.target, event.adapter)
        reason = self._refusal(event.target, event.adapter)
        if reason:
            self._reply(event.token, ttypes.AdapterDecision.REFUSED, reason)
            return
        self._used[place] = now
        wanted = self._wanted.setdefault(place, _Wanted([]))
        wanted.tokens.append((event.token, event.deadline))
        self.review(event.target, now)

    def is_waiting(self, target: ids.TargetId) -> bool:
        """Whether a status is wanted at once; counts the asking."""
        is_waiting = False
        for place, wanted in self._wanted.items():
            if place[0] != target or not wanted.is_accepted:
                continue
            if wanted.quick_polls < MAX_QUICK_POLLS:
                wanted.quick_polls += 1
                is_waiting = True
        return is_waiting

    def answer_order(
        self,
        order: messages.Order,
        outcome: messages.OrderOutcome,
        now: datetime.timedelta,
    ) -> None:
        """Notes the answer to an adapter order."""
        place = (order.target, order.adapter)
        if self._unload_orders.get(place) == order.order_id:
            del self._unload_orders[place]
        wanted = self._wanted.get(place)
        if wanted is None or wanted.order_id != order.order_id:
            return
        if outcome is messages.OrderOutcome.DONE:
            self._finish(place, ttypes.AdapterDecision.RESIDENT, "")
        elif outcome is messages.OrderOutcome.ACCEPTED:
            wanted.is_accepted = True
        elif outcome in (
            messages.OrderOutcome.REFUSED,
            messages.OrderOutcome.STALE,
        ):
            reason = f"the target answered {outcome.value}"
            self._finish(place, ttypes.AdapterDecision.REFUSED, reason)
        else:
            wanted.order_id = None
            wanted.retry = now + RETRY

    def review(self, target: ids.TargetId, now: datetime.timedelta) -> None:
        """Answers and orders what the target's latest status allows."""
        for place in [p for p in self._wanted if p[0] == target]:
            self._review_place(place, now)

    def tick(self, now: datetime.timedelta) -> None:
        """Answers requests whose time is over, and tries again."""
        for place, wanted in list(self._wanted.items()):
            late = [row for row in wanted.tokens if now >= row[1]]
            for row in late:
                wanted.tokens.remove(row)
                self._reply(
                    row[0], ttypes.AdapterDecision.REFUSED, "it takes too long"
                )
            if wanted.tokens:
                self._review_place(place, now)
            else:
                del self._wanted[place]
        if len(self._used) > _USED_LIMIT:
            recent = sorted(self._used.items(), key=lambda row: row[1])
            self._used = dict(recent[_USED_LIMIT // 2 :])

    def _review_place(self, place: _Place, now: datetime.timedelta) -> None:
        target, name = place
        wanted = self._wanted[place]
        reason = self._refusal(target, name)
        if reason:
            self._finish(place, ttypes.AdapterDecision.REFUSED, reason)
            return
        model = self._model_status(target, name)
        assert model is not None
        if name in model.adapters:
            self._finish(place, ttypes.AdapterDecision.RESIDENT, "")
            return
        if name in model.adapters_loading or wanted.order_id is not None:
            self._check_failed(place, wanted, model, now)
            return
        if now < wanted.retry or self._in_flight() >= self._share():
            return
        if not self._make_room(target, name, model, now):
            return
        wanted.order_id = self._send(
            messages.OrderAction.LOAD_ADAPTER, target, name, model
        )
        wanted.is_accepted = False
        wanted.quick_polls = 0

    def _check_failed(
        self,
        place: _Place,
        wanted: _Wanted,
        model: messages.ModelStatus,
        now: datetime.timedelta,
    ) -> None:
        """Tries an accepted load again that the status no longer shows."""
        if not wanted.is_accepted or place[1] in model.adapters_loading:
            return
        mark = self._leases.status_mark(place[0])
        if mark is None or self._ctx.orders.changed_since(
            place[0], model.slot, mark
        ):
            return
        wanted.order_id = None
        wanted.is_accepted = False
        wanted.retry = now + RETRY

    def _refusal(self, target: ids.TargetId, name: ids.AdapterName) -> str:
        """Returns why an adapter cannot be loaded, empty if it can."""
        ctx = self._ctx
        if ctx.catalog.adapter(name) is None:
            return "the adapter is not in the catalog"
        if not self._leases.can_order(target) or ctx.is_draining:
            return "the target takes no orders from here"
        if self._model_status(target, name) is None:
            return "the model is not ready on the target"
        state = ctx.ledger.targets[target]
        if not state.checks_fencing and not ctx.ledger.older_numbers_closed(
            target
        ):
            return "an older fencing number is open"
        return ""

    def _model_status(
        self, target: ids.TargetId, name: ids.AdapterName
    ) -> messages.ModelStatus | None:
        adapter = self._ctx.catalog.adapter(name)
        status = self._leases.status(target)
        if adapter is None or status is None:
            return None
        for model in status.models:
            is_ready = model.state is messages.ReplicaState.READY
            if model.model == adapter.model and is_ready:
                return model
        return None

    def _make_room(
        self,
        target: ids.TargetId,
        name: ids.AdapterName,
        model: messages.ModelStatus,
        now: datetime.timedelta,
    ) -> bool:
        """Whether the adapter fits; unloads the one unused longest if not."""
        ctx = self._ctx
        spec = plan_module.spec(ctx.catalog, model.model, model.version)
        if spec is None:
            return False
        present = model.adapters | model.adapters_loading
        used = sum(self._size(other) for other in present)
        used += sum(
            self._size(other)
            for (holder, other), row in self._wanted.items()
            if holder == target
            and row.order_id is not None
            and other not in present
        )
        if used + self._size(name) <= spec.adapter_memory_bytes:
            return True
        if any(place[0] == target for place in self._unload_orders):
            return False
        oldest = min(
            model.adapters,
            key=lambda other: (
                self._used.get((target, other), context.LONG_AGO),
                other,
            ),
            default=None,
        )
        if oldest is None:
            return False
        place = (target, oldest)
        if now - self._used.get(place, context.LONG_AGO) < MIN_RESIDENCE:
            return False
        self._unload_orders[place] = self._send(
            messages.OrderAction.UNLOAD_ADAPTER, target, oldest, model
        )
        return False

    def _size(self, name: ids.AdapterName) -> int:
        adapter = self._ctx.catalog.adapter(name)
        return 0 if adapter is None else adapter.memory_bytes

    def _share(self) -> int:
        """Returns this process's share of the region's adapter loads."""
        ctx = self._ctx
        writers = max(1, len(ctx.ledger.writers))
        return max(1, ctx.settings.adapter_loads_at_once // writers)

    def _in_flight(self) -> int:
        return sum(row.order_id is not None for row in self._wanted.values())

    def _send(
        self,
        action: messages.OrderAction,
        target: ids.TargetId,
        name: ids.AdapterName,
        model: messages.ModelStatus,
    ) -> ids.OrderId:
        ctx = self._ctx
        status = self._leases.status(target)
        assert status is not None
        order = messages.Order(
            order_id=ctx.orders.next_id(),
            target=target,
            fencing_number=ctx.ledger.targets[target].fencing_number,
            action=action,
            slot=model.slot,
            version=model.version,
            adapter=name,
            adapter_bytes=self._size(name),
            target_incarnation=status.incarnation,
        )
        address = ctx.membership.targets[target].address
        ctx.act(ctx.orders.send(address, order))
        return order.order_id

    def _pass_on(
        self,
        event: messages.AdapterRequested,
        holder: ids.WriterId,
        now: datetime.timedelta,
    ) -> None:
        address = self._ctx.peer_address(holder.instance)
        if address is None:
            self._reply(event.token, ttypes.AdapterDecision.NO_HOLDER, "")
            return
        self._ctx.act(
            messages.ForwardAdapterRequest(
                address,
                event.token,
                event.target,
                event.adapter,
                event.deadline - now,
            )
        )

    def _finish(self, place: _Place, decision: int, reason: str) -> None:
        for token, _ in self._wanted.pop(place).tokens:
            self._reply(token, decision, reason)

    def _reply(self, token: Any, decision: int, reason: str) -> None:
        value = ttypes.AdapterReply(decision=decision, reason=reason)
        self._ctx.act(messages.Reply(token, value))
