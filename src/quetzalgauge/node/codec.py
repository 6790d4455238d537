"""Encodes and decodes the messages between instances (Thrift compact)."""

from collections.abc import Mapping
import datetime
import functools
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from quetzalgauge import decoding
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import election
from quetzalgauge.core import peer_messages
from quetzalgauge.core import prompt_quarantine
from quetzalgauge.core import prompt_trials
from quetzalgauge.gen.exchange import ttypes

# Limits the memory that the decoder allocates for a declared length.
MAX_CONTAINER_LENGTH = 100_000
# Durations are clamped to one day and sent as 32-bit milliseconds.
_MAX_DURATION = datetime.timedelta(days=1)
_DURATION_MS = json_fields.Bounds(-86_400_000, 86_400_000)
# Requests of one instance; the leader keeps a deadline for each that waits.
_REQUESTS = json_fields.Bounds(0, 100_000)
_INSTANCES = json_fields.Bounds(0, 100_000)
# Stands for an unknown duration in a message.
_UNKNOWN_MS = -1


def encode(message: peer_messages.Message) -> bytes:
    """Returns the encoded message."""
    if isinstance(message, peer_messages.Report):
        wire = ttypes.Message(report=_encode_report(message))
    else:
        wire = ttypes.Message(board=_encode_zone_update(message))
    buffer = TTransport.TMemoryBuffer()
    wire.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    data: bytes = buffer.getvalue()
    return data


@decoding.guard("message")
def decode(data: bytes) -> peer_messages.Message:
    """Returns the decoded message.

    Raises:
        exceptions.DecodeError: The data is not a valid message.
    """
    wire = ttypes.Message()
    buffer = TTransport.TMemoryBuffer(data)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(
        buffer,
        string_length_limit=len(data),
        container_length_limit=MAX_CONTAINER_LENGTH,
    )
    wire.read(protocol)
    if wire.report is not None:
        return _decode_report(wire.report)
    if wire.board is not None:
        return _decode_zone_update(wire.board)
    raise exceptions.DecodeError(
        "message has neither a report nor a zone update"
    )


def _to_milliseconds(duration: datetime.timedelta) -> int:
    bounded = max(-_MAX_DURATION, min(_MAX_DURATION, duration))
    return round(bounded.total_seconds() * 1000)


def _encode_report(report: peer_messages.Report) -> ttypes.Report:
    return ttypes.Report(
        report.instance,
        [
            ttypes.Wish(
                demand.model,
                demand.waiting,
                [_to_milliseconds(slack) for slack in demand.slacks],
            )
            for demand in report.model_demands
        ],
        [
            ttypes.AdapterWish(demand.target, demand.model, demand.adapter)
            for demand in report.adapter_demands
        ],
        [
            ttypes.Running(
                running.target,
                running.model or "",
                running.adapter or "",
                running.count,
            )
            for running in report.running
        ],
        dict(report.arrivals),
        dict(report.adapter_arrivals),
        dict(report.offsets),
        _encode_evidence(report.evidence),
        [
            ttypes.TrialWish(
                wish.number,
                wish.model,
                sorted(wish.parts),
                wish.unproven_count,
                wish.is_running,
            )
            for wish in report.trial_wishes
        ]
        or None,
        _encode_era(report.era),
    )


def _encode_era(era: ids.StoreEra) -> int | None:
    return None if era == ids.UNNAMED_ERA else era


def _decode_era(value: Any) -> ids.StoreEra:
    if value is None:
        return ids.UNNAMED_ERA
    return ids.StoreEra(_check_number(value))


def _check_text(value: Any) -> str:
    if not isinstance(value, str):
        raise exceptions.DecodeError("a string is missing")
    return value


def _check_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise exceptions.DecodeError("a boolean is missing")
    return value


def _check_number(
    value: Any, bounds: json_fields.Bounds = json_fields.COUNT
) -> int:
    if type(value) is not int or value not in bounds:
        raise exceptions.DecodeError(
            f"a number is missing or not from {bounds.minimum}"
            f" to {bounds.maximum}"
        )
    return value


@functools.lru_cache(maxsize=4096)
def _decode_duration(value: Any) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=_check_number(value, _DURATION_MS))


def _decode_report(wire: ttypes.Report) -> peer_messages.Report:
    model_demands = tuple(_decode_model_demand(item) for item in wire.wishes)
    _check_number(sum(demand.waiting for demand in model_demands), _REQUESTS)
    return peer_messages.Report(
        ids.InstanceId(_check_text(wire.instance)),
        model_demands,
        tuple(
            peer_messages.AdapterDemand(
                ids.TargetId(_check_text(demand.target)),
                ids.ModelName(_check_text(demand.model)),
                ids.AdapterName(_check_text(demand.adapter)),
            )
            for demand in wire.adapter_wishes
        ),
        tuple(
            peer_messages.RunningCount(
                ids.TargetId(_check_text(running.target)),
                ids.ModelName(running.model) if running.model else None,
                ids.AdapterName(running.adapter) if running.adapter else None,
                _check_number(running.count, _REQUESTS),
            )
            for running in wire.running
        ),
        _decode_counts(wire.arrivals),
        _decode_counts(wire.adapter_arrivals),
        _decode_offsets(wire.offsets),
        _decode_evidence(wire.evidence),
        tuple(
            prompt_trials.TrialWish(
                _check_number(wish.number, json_fields.INTEGER),
                _check_text(wish.model),
                _decode_parts(wish.parts),
                _clamp(wish.unproven, prompt_quarantine.MAX_PARTS_PER_REQUEST),
                _check_flag(wish.running),
            )
            for wish in (wire.trial_wishes or ())[: prompt_trials.MAX_WISHES]
        ),
        _decode_era(wire.era),
    )


def _encode_evidence(
    evidence: tuple[prompt_quarantine.Evidence, ...] | None,
) -> list[ttypes.Evidence] | None:
    if evidence is None:
        return None
    return [
        ttypes.Evidence(
            record.part,
            record.model,
            record.generation,
            [
                ttypes.TargetEnd(
                    end.target,
                    end.incarnation,
                    end.is_isolated,
                    sorted(end.others),
                    _to_milliseconds(end.age),
                )
                for end in record.ends
            ],
            _to_milliseconds(record.age),
        )
        for record in evidence
    ]


def _decode_evidence(
    wire: list[ttypes.Evidence] | None,
) -> tuple[prompt_quarantine.Evidence, ...] | None:
    """Returns evidence within the bounds that instances keep."""
    if wire is None:
        return None
    return tuple(
        prompt_quarantine.Evidence(
            ids.PromptPart(record.part),
            _check_text(record.model),
            _clamp(record.generation, prompt_quarantine.MAX_GENERATION),
            tuple(
                prompt_quarantine.TargetEnd(
                    ids.TargetId(_check_text(end.target)),
                    _check_number(end.incarnation, json_fields.TIMESTAMP_MS),
                    _check_flag(end.isolated),
                    _decode_parts(end.others),
                    _to_age(end.age),
                )
                for end in record.ends[: prompt_quarantine.MAX_ENDS_PER_RECORD]
            ),
            _to_age(record.age),
        )
        for record in wire[: prompt_quarantine.MAX_RECORDS]
        if 0 < len(record.part) <= prompt_quarantine.MAX_PART_LENGTH
    )


def _decode_parts(wire: list[str]) -> frozenset[ids.PromptPart]:
    return frozenset(
        ids.PromptPart(part)
        for part in wire[: prompt_quarantine.MAX_PARTS_PER_REQUEST]
        if 0 < len(part) <= prompt_quarantine.MAX_PART_LENGTH
    )


def _clamp(value: int, maximum: int) -> int:
    return max(0, min(maximum, value))


def _to_age(milliseconds: int) -> datetime.timedelta:
    return max(datetime.timedelta(), _decode_duration(milliseconds))


def _decode_model_demand(wire: ttypes.Wish) -> peer_messages.ModelDemand:
    waiting = _check_number(wire.waiting, _REQUESTS)
    listed = len(wire.slacks)
    if listed > min(waiting, peer_messages.MAX_SLACKS) or (
        waiting and not listed
    ):
        raise exceptions.DecodeError(
            f"a demand has {listed} slacks for {waiting} requests"
        )
    return peer_messages.ModelDemand(
        ids.ModelName(_check_text(wire.model)),
        waiting,
        tuple(_decode_duration(slack) for slack in wire.slacks),
    )


def _decode_offsets(
    wire: Mapping[str, int] | None,
) -> tuple[tuple[ids.TopicName, int], ...]:
    return tuple(
        (ids.TopicName(topic), _check_number(offset, json_fields.INTEGER))
        for topic, offset in (wire or {}).items()
    )


def _decode_counts(
    wire: Mapping[str, int],
) -> tuple[tuple[ids.ModelName, int], ...]:
    return tuple(
        (ids.ModelName(model), _check_number(count))
        for model, count in wire.items()
    )


def _encode_zone_update(update: peer_messages.ZoneUpdate) -> ttypes.Board:
    return ttypes.Board(
        update.availability_zone,
        update.leader,
        # Instances of older builds compare generations.
        election.get_generation(update.era, update.fencing_token),
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
        dict(update.offsets),
        update.store_capacity,
        _encode_evidence(update.evidence),
        None
        if update.grants is None
        else [
            ttypes.TrialGrant(
                grant.instance,
                grant.number,
                sorted(grant.parts),
                _to_milliseconds(grant.time_left),
            )
            for grant in update.grants
        ],
        _encode_era(update.era),
    )


def _encode_target_view(view: peer_messages.TargetView) -> ttypes.TargetView:
    return ttypes.TargetView(
        view.target,
        view.incarnation,
        [
            ttypes.ReplicaView(
                replica.model,
                _to_milliseconds(replica.ready_in),
                replica.is_draining,
                replica.is_planned,
            )
            for replica in view.replicas
        ],
        [
            ttypes.AdapterView(
                adapter.model,
                adapter.adapter,
                _to_milliseconds(adapter.ready_in),
            )
            for adapter in view.adapters
        ],
        _to_milliseconds(view.busy_for),
        view.running,
        view.fetching_model or "",
    )


def _decode_zone_update(wire: ttypes.Board) -> peer_messages.ZoneUpdate:
    time_until_active = _decode_duration(wire.orders_in)
    era = _decode_era(wire.era)
    generation = _check_number(wire.token, json_fields.INTEGER)
    return peer_messages.ZoneUpdate(
        ids.AvailabilityZone(_check_text(wire.availability_zone)),
        ids.InstanceId(_check_text(wire.holder)),
        election.make_fencing_token(era, generation),
        _check_flag(wire.complete),
        None if wire.orders_in < 0 else time_until_active,
        _check_number(wire.backlog),
        _check_number(wire.instances, _INSTANCES),
        tuple(_decode_target_view(view) for view in wire.targets),
        tuple(ids.TargetId(target) for target in wire.gone),
        (
            None
            if wire.store_capacity is None
            else _check_number(wire.store_capacity)
        ),
        _decode_offsets(wire.offsets),
        _decode_evidence(wire.evidence),
        None
        if wire.grants is None
        else tuple(
            prompt_trials.TrialGrant(
                ids.InstanceId(_check_text(grant.instance)),
                _check_number(grant.number, json_fields.INTEGER),
                _decode_parts(grant.parts),
                min(prompt_trials.GRANT_TTL, _to_age(grant.time_left)),
            )
            for grant in wire.grants[: prompt_trials.MAX_GRANTS]
        ),
        era,
    )


def _decode_target_view(wire: ttypes.TargetView) -> peer_messages.TargetView:
    return peer_messages.TargetView(
        ids.TargetId(_check_text(wire.target)),
        _check_number(wire.incarnation, json_fields.TIMESTAMP_MS),
        tuple(
            peer_messages.ReplicaView(
                ids.ModelName(_check_text(replica.model)),
                _decode_duration(replica.ready_in),
                _check_flag(replica.closing),
                _check_flag(replica.planned),
            )
            for replica in wire.replicas
        ),
        tuple(
            peer_messages.AdapterView(
                ids.ModelName(_check_text(adapter.model)),
                ids.AdapterName(_check_text(adapter.adapter)),
                _decode_duration(adapter.ready_in),
            )
            for adapter in wire.adapters
        ),
        _decode_duration(wire.busy_for),
        _check_number(wire.running),
        ids.ModelName(wire.fetching) if wire.fetching else None,
    )
