"""Messages between instances in their Thrift form."""

from collections.abc import Mapping
import datetime
import functools

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge.core import peer_messages
from quetzalgauge.gen.exchange import ttypes

# Bounds the memory that a declared length makes the decoder allocate.
MAX_CONTAINER_LENGTH = 100_000
# Times are told within a day, as 32-bit milliseconds.
_MAX_DURATION = datetime.timedelta(days=1)
# Stands for an unknown time until something that is still to come.
_UNKNOWN_MS = -1


def encode(message: peer_messages.Message) -> bytes:
    """Returns the bytes of a message."""
    if isinstance(message, peer_messages.Report):
        wire = ttypes.Message(report=_encode_report(message))
    else:
        wire = ttypes.Message(board=_encode_zone_update(message))
    buffer = TTransport.TMemoryBuffer()
    wire.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    data: bytes = buffer.getvalue()
    return data


def decode(data: bytes) -> peer_messages.Message:
    """Returns the message in some bytes.

    Raises:
        exceptions.DecodeError: They are none.
    """
    wire = ttypes.Message()
    buffer = TTransport.TMemoryBuffer(data)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(
        buffer,
        string_length_limit=len(data),
        container_length_limit=MAX_CONTAINER_LENGTH,
    )
    try:
        wire.read(protocol)
        if wire.report is not None:
            return _decode_report(wire.report)
        if wire.board is not None:
            return _decode_zone_update(wire.board)
    except Exception as error:
        # Thrift raises many kinds of errors on bytes that are no message.
        raise exceptions.DecodeError(f"no message: {error!r}") from error
    raise exceptions.DecodeError("an empty message")


def _to_milliseconds(duration: datetime.timedelta) -> int:
    bounded = max(-_MAX_DURATION, min(_MAX_DURATION, duration))
    return round(bounded.total_seconds() * 1000)


@functools.lru_cache(maxsize=4096)
def _to_duration(milliseconds: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


def _encode_report(report: peer_messages.Report) -> ttypes.Report:
    return ttypes.Report(
        report.instance,
        [
            ttypes.Wish(
                wish.model,
                wish.waiting,
                [_to_milliseconds(slack) for slack in wish.slacks],
            )
            for wish in report.model_demands
        ],
        [
            ttypes.AdapterWish(wish.target, wish.model, wish.adapter)
            for wish in report.adapter_demands
        ],
        [
            ttypes.Running(
                row.target, row.model or "", row.adapter or "", row.count
            )
            for row in report.running
        ],
        dict(report.arrivals),
        dict(report.adapter_arrivals),
    )


def _decode_report(wire: ttypes.Report) -> peer_messages.Report:
    return peer_messages.Report(
        ids.InstanceId(wire.instance),
        tuple(
            peer_messages.ModelDemand(
                ids.ModelName(wish.model),
                wish.waiting,
                tuple(_to_duration(slack) for slack in wish.slacks),
            )
            for wish in wire.wishes
        ),
        tuple(
            peer_messages.AdapterDemand(
                ids.TargetId(wish.target),
                ids.ModelName(wish.model),
                ids.AdapterName(wish.adapter),
            )
            for wish in wire.adapter_wishes
        ),
        tuple(
            peer_messages.RunningCount(
                ids.TargetId(row.target),
                ids.ModelName(row.model) if row.model else None,
                ids.AdapterName(row.adapter) if row.adapter else None,
                row.count,
            )
            for row in wire.running
        ),
        _decode_counts(wire.arrivals),
        _decode_counts(wire.adapter_arrivals),
    )


def _decode_counts(
    wire: Mapping[str, int],
) -> tuple[tuple[ids.ModelName, int], ...]:
    return tuple((ids.ModelName(model), count) for model, count in wire.items())


def _encode_zone_update(update: peer_messages.ZoneUpdate) -> ttypes.Board:
    return ttypes.Board(
        update.availability_zone,
        update.leader,
        update.fencing_token,
        update.is_snapshot,
        (
            _UNKNOWN_MS
            if update.time_until_active is None
            else _to_milliseconds(update.time_until_active)
        ),
        update.backlog,
        update.instance_count,
        [_encode_target_view(view) for view in update.targets],
        list(update.removed),
    )


def _encode_target_view(view: peer_messages.TargetView) -> ttypes.TargetView:
    return ttypes.TargetView(
        view.target,
        view.incarnation,
        [
            ttypes.ReplicaView(
                one.model,
                _to_milliseconds(one.ready_in),
                one.is_draining,
                one.is_planned,
            )
            for one in view.replicas
        ],
        [
            ttypes.AdapterView(
                one.model, one.adapter, _to_milliseconds(one.ready_in)
            )
            for one in view.adapters
        ],
        _to_milliseconds(view.busy_for),
        view.running,
        view.fetching_model or "",
    )


def _decode_zone_update(wire: ttypes.Board) -> peer_messages.ZoneUpdate:
    return peer_messages.ZoneUpdate(
        ids.AvailabilityZone(wire.availability_zone),
        ids.InstanceId(wire.holder),
        wire.token,
        wire.complete,
        None if wire.orders_in < 0 else _to_duration(wire.orders_in),
        wire.backlog,
        wire.instances,
        tuple(_decode_target_view(view) for view in wire.targets),
        tuple(ids.TargetId(target) for target in wire.gone),
    )


def _decode_target_view(wire: ttypes.TargetView) -> peer_messages.TargetView:
    return peer_messages.TargetView(
        ids.TargetId(wire.target),
        wire.incarnation,
        tuple(
            peer_messages.ReplicaView(
                ids.ModelName(one.model),
                _to_duration(one.ready_in),
                one.closing,
                one.planned,
            )
            for one in wire.replicas
        ),
        tuple(
            peer_messages.AdapterView(
                ids.ModelName(one.model),
                ids.AdapterName(one.adapter),
                _to_duration(one.ready_in),
            )
            for one in wire.adapters
        ),
        _to_duration(wire.busy_for),
        wire.running,
        ids.ModelName(wire.fetching) if wire.fetching else None,
    )
