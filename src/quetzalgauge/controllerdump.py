"""The state of a control process as JSON values, for operators."""

from typing import Any

from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import logstreams
from quetzalgauge import views as views_module
from quetzalgauge.gen import ttypes


def describe(
    ctx: context.Context,
    streams: logstreams.LogStreams,
    views: views_module.Views,
) -> dict[str, Any]:
    """Returns the state of a control process as JSON values."""
    ledger = ctx.ledger
    return {
        "instance": ctx.writer.instance,
        "incarnation": ctx.writer.incarnation,
        "availability_zone": ctx.zone,
        "registered": ctx.is_registered,
        "draining": ctx.is_draining,
        "log_reachable": ctx.reading.is_reachable,
        "offsets": streams.next_offsets(),
        "catalog_version": ctx.catalog.version,
        "orders_in_flight": ctx.orders.count,
        "proposals": len(streams.decisions.appends.proposals()),
        "writers": {
            instance: writer.id.incarnation
            for instance, writer in ledger.writers.items()
        },
        "targets": {
            target: _describe_target(target, ctx, views)
            for target in ledger.targets
        },
        "leaving": sorted(target for target, _ in ctx.membership.leaving),
    }


def _describe_target(
    target: ids.TargetId,
    ctx: context.Context,
    views: views_module.Views,
) -> dict[str, Any]:
    state = ctx.ledger.targets[target]
    view = views.state(target)
    return {
        "incarnation": state.incarnation,
        "availability_zone": state.availability_zone,
        "holder": None if state.holder is None else state.holder.instance,
        "fencing_number": state.fencing_number,
        "open_numbers": sorted(state.open_numbers),
        "reservations": {
            str(slot): item.version for slot, item in state.reservations.items()
        },
        "replicas": []
        if view is None
        else [
            {
                "slot": str(views_module.slot_of(replica)),
                "version": replica.version,
                "state": ttypes.ReplicaState._VALUES_TO_NAMES[
                    replica.state
                ].lower(),
            }
            for replica in view.replicas
        ],
    }
