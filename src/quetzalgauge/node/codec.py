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
_LONGEST = datetime.timedelta(days=1)
# Stands for an unknown time until something that is still to come.
_UNKNOWN_MS = -1


def encode(message: peer_messages.Message) -> bytes:
    """Returns the bytes of a message."""
    if isinstance(message, peer_messages.Report):
        wire = ttypes.Message(report=_report(message))
    else:
        wire = ttypes.Message(board=_board(message))
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
            return _decode_board(wire.board)
    except Exception as error:
        # Thrift raises many kinds of errors on bytes that are no message.
        raise exceptions.DecodeError(f"no message: {error!r}") from error
    raise exceptions.DecodeError("an empty message")


def _milliseconds(duration: datetime.timedelta) -> int:
    bounded = max(-_LONGEST, min(_LONGEST, duration))
    return round(bounded.total_seconds() * 1000)


@functools.lru_cache(maxsize=4096)
def _duration(milliseconds: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


def _report(report: peer_messages.Report) -> ttypes.Report:
    return ttypes.Report(
        report.instance,
        [
            ttypes.Wish(
                wish.model,
                wish.waiting,
                [_milliseconds(slack) for slack in wish.slacks],
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
                tuple(_duration(slack) for slack in wish.slacks),
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
        _counts(wire.arrivals),
        _counts(wire.adapter_arrivals),
    )


def _counts(
    wire: Mapping[str, int],
) -> tuple[tuple[ids.ModelName, int], ...]:
    return tuple((ids.ModelName(model), count) for model, count in wire.items())


def _board(board: peer_messages.ZoneUpdate) -> ttypes.Board:
    return ttypes.Board(
        board.availability_zone,
        board.leader,
        board.token,
        board.is_snapshot,
        (
            _UNKNOWN_MS
            if board.time_until_active is None
            else _milliseconds(board.time_until_active)
        ),
        board.backlog,
        board.instance_count,
        [_view(view) for view in board.targets],
        list(board.removed),
    )


def _view(view: peer_messages.TargetView) -> ttypes.TargetView:
    return ttypes.TargetView(
        view.target,
        view.incarnation,
        [
            ttypes.ReplicaView(
                one.model,
                _milliseconds(one.ready_in),
                one.is_draining,
                one.is_planned,
            )
            for one in view.replicas
        ],
        [
            ttypes.AdapterView(
                one.model, one.adapter, _milliseconds(one.ready_in)
            )
            for one in view.adapters
        ],
        _milliseconds(view.busy_for),
        view.running,
        view.fetching_model or "",
    )


def _decode_board(wire: ttypes.Board) -> peer_messages.ZoneUpdate:
    return peer_messages.ZoneUpdate(
        ids.AvailabilityZone(wire.availability_zone),
        ids.InstanceId(wire.holder),
        wire.token,
        wire.complete,
        None if wire.orders_in < 0 else _duration(wire.orders_in),
        wire.backlog,
        wire.instances,
        tuple(_decode_view(view) for view in wire.targets),
        tuple(ids.TargetId(target) for target in wire.gone),
    )


def _decode_view(wire: ttypes.TargetView) -> peer_messages.TargetView:
    return peer_messages.TargetView(
        ids.TargetId(wire.target),
        wire.incarnation,
        tuple(
            peer_messages.ReplicaView(
                ids.ModelName(one.model),
                _duration(one.ready_in),
                one.closing,
                one.planned,
            )
            for one in wire.replicas
        ),
        tuple(
            peer_messages.AdapterView(
                ids.ModelName(one.model),
                ids.AdapterName(one.adapter),
                _duration(one.ready_in),
            )
            for one in wire.adapters
        ),
        _duration(wire.busy_for),
        wire.running,
        ids.ModelName(wire.fetching) if wire.fetching else None,
    )
