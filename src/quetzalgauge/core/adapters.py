"""Which order brings a wanted adapter onto a target.

The pattern answered: many adapters of a busy model on few places. An adapter
that no request uses and that was used longest ago makes way.
"""

import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import demand
from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import target_state

# Adapters on their way to one target at the same time (the platform's limit).
MAX_CONCURRENT_ADAPTER_LOADS = 4
# An adapter that was brought a moment ago waits for its requests.
MIN_ADAPTER_RESIDENCE_TIME = datetime.timedelta(milliseconds=150)


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterOrder:
    """One order for an adapter."""

    operation: orders.Operation
    model: ids.ModelName
    adapter: ids.AdapterName


def plan_next_order(
    state: target_state.TargetState,
    wish: peer_messages.AdapterDemand,
    running: demand.RunningCounts,
    now: datetime.timedelta,
) -> AdapterOrder | None:
    """Returns the next order for a wish, None if none is due."""
    key = (wish.model, wish.adapter)
    if key in state.adapters or not state.is_ready(wish.model, now):
        return None
    spec = state.engine.models.get(wish.model)
    if spec is None:
        return None
    coming = sum(
        held.state is target_state.LoadState.LOADING
        for held in state.adapters.values()
    )
    if coming >= MAX_CONCURRENT_ADAPTER_LOADS:
        return None
    if len(
        state.adapters
    ) < state.engine.adapter_slots and spec.adapter_mb <= state.get_free_mb(
        now
    ):
        return AdapterOrder(orders.Operation.LOAD, wish.model, wish.adapter)
    victim = _find_victim(state, running, now)
    if victim is None:
        return None
    return AdapterOrder(orders.Operation.UNLOAD, *victim)


def _find_victim(
    state: target_state.TargetState,
    running: demand.RunningCounts,
    now: datetime.timedelta,
) -> target_state.AdapterKey | None:
    idle = [
        (held.last_used_at, key)
        for key, held in state.adapters.items()
        if held.state is target_state.LoadState.READY
        and now - held.ready_at >= MIN_ADAPTER_RESIDENCE_TIME
        and not running.count_for_adapter(state.target, *key)
    ]
    return min(idle)[1] if idle else None
