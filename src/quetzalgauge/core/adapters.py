"""Plans the orders that load an adapter on a target.

A hot model may have many adapters, but a target has few adapter slots. The
least recently used adapter that no request uses is evicted.
"""

import dataclasses
import datetime

from quetzalgauge import ids
from quetzalgauge.core import demand
from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import target_state

# Adapter loads in progress on one target (the platform's limit).
MAX_CONCURRENT_ADAPTER_LOADS = 4
# An adapter is not evicted for this time after its load, because the requests
# that it was loaded for are still to arrive.
MIN_ADAPTER_RESIDENCE_TIME = datetime.timedelta(milliseconds=150)


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterOrder:
    """An order to load or unload an adapter."""

    operation: orders.Operation
    model: ids.ModelName
    adapter: ids.AdapterName


def plan_next_order(
    state: target_state.TargetState,
    adapter_demand: peer_messages.AdapterDemand,
    running: demand.RunningCounts,
    now: datetime.timedelta,
) -> AdapterOrder | None:
    """Returns the next order that serves a demand, None if none is due.

    The order unloads another adapter if the target has no free adapter slot or
    too little free memory.
    """
    key = (adapter_demand.model, adapter_demand.adapter)
    if key in state.adapters or not state.is_ready(adapter_demand.model, now):
        return None
    spec = state.engine.models.get(adapter_demand.model)
    if spec is None:
        return None
    loading_count = sum(
        adapter.state is target_state.LoadState.LOADING
        for adapter in state.adapters.values()
    )
    if loading_count >= MAX_CONCURRENT_ADAPTER_LOADS:
        return None
    missing_mb = spec.adapter_mb - state.get_free_mb(now)
    if state.count_free_adapter_slots(now) > 0 and missing_mb <= 0:
        return AdapterOrder(
            orders.Operation.LOAD, adapter_demand.model, adapter_demand.adapter
        )
    idle = _list_idle_adapters(state, running, now)
    # Memory that models take is not freed by unloading adapters.
    if not idle or missing_mb > sum(map(state.get_adapter_mb, idle)):
        return None
    return AdapterOrder(orders.Operation.UNLOAD, *idle[0])


def _list_idle_adapters(
    state: target_state.TargetState,
    running: demand.RunningCounts,
    now: datetime.timedelta,
) -> list[target_state.AdapterKey]:
    """Returns the adapters that may be evicted, least recently used first."""
    idle = sorted(
        (adapter.last_used_at, key)
        for key, adapter in state.adapters.items()
        if adapter.state is target_state.LoadState.READY
        and now - adapter.ready_at >= MIN_ADAPTER_RESIDENCE_TIME
        and not running.count_for_adapter(state.target, *key)
    )
    return [key for _, key in idle]
