"""Decodes the configuration that the operator writes to the store."""

import datetime
from typing import Any

from quetzalgauge import decoding
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import configuration

# Topic and key of the newest configuration.
TOPIC = "keyed.op"
KEY = "config"

# Sockets accept timeouts up to 24 days.
_DURATION_MS = json_fields.Bounds(0, 20 * 24 * 3600 * 1000)
# With a timeout of 0, a socket does not wait at all.
_TIMEOUT_MS = json_fields.Bounds(1, _DURATION_MS.maximum)
_LOAD_TIME_S = json_fields.Bounds(0, 24 * 3600)
_WEIGHT = json_fields.Bounds(0, 10**9)
_ROUTE_KINDS = {
    "safe": configuration.RouteKind.SAFE,
    "unsafe": configuration.RouteKind.UNSAFE,
    "stream": configuration.RouteKind.STREAM,
}


@decoding.guard("configuration")
def decode(data: bytes) -> configuration.Configuration:
    """Returns the configuration in the value of a record.

    Raises:
        exceptions.DecodeError: The value is not a valid configuration.
    """
    value = json_fields.parse_object(data, "configuration")
    return configuration.Configuration(
        json_fields.get_integer(value, "version"),
        [_decode_route(row) for row in json_fields.get_list(value, "routes")],
        [
            _decode_service(row)
            for row in json_fields.get_list(value, "services")
        ],
        _decode_limits(
            json_fields.check_object(value.get("limits", {}), "limits")
        ),
    )


def _decode_route(row: Any) -> configuration.Route:
    row = json_fields.check_object(row, "route")
    # Requests of an unknown kind of route must not run twice.
    kind = _ROUTE_KINDS.get(
        json_fields.get_string(row, "kind"), configuration.RouteKind.UNSAFE
    )
    is_resumable = (
        kind is configuration.RouteKind.STREAM
        and json_fields.get_boolean(row, "can_resume", False)
    )
    max_gap_ms = row.get("gap_aim_ms")
    timeout = _get_duration(row, "timeout_ms")
    return configuration.Route(
        ids.RouteName(json_fields.get_string(row, "name")),
        configuration.strip_port(json_fields.get_string(row, "host")),
        json_fields.get_string(row, "path_prefix"),
        kind,
        timeout,
        _get_duration(row, "target_latency_ms", timeout),
        max(1, json_fields.get_integer(row, "attempts", 1, json_fields.COUNT)),
        json_fields.get_integer(row, "priority", 5, json_fields.COUNT),
        _decode_backends(row),
        is_resumable,
        None if max_gap_ms is None else _get_duration(row, "gap_aim_ms"),
    )


def _decode_backends(row: dict[str, Any]) -> tuple[configuration.Backend, ...]:
    rows = json_fields.get_list(row, "backends")
    if not rows:
        service = ids.ServiceName(json_fields.get_string(row, "service"))
        return (configuration.Backend(service, 1.0),)
    backends = []
    for item in rows:
        backend = json_fields.check_object(item, "backend")
        backends.append(
            configuration.Backend(
                ids.ServiceName(json_fields.get_string(backend, "service")),
                json_fields.get_number(backend, "weight", None, _WEIGHT),
            )
        )
    return tuple(backends)


def _decode_service(row: Any) -> configuration.Service:
    row = json_fields.check_object(row, "service")
    engine = row.get("engine")
    return configuration.Service(
        ids.ServiceName(json_fields.get_string(row, "name")),
        json_fields.get_integer(row, "max_conns", 64, json_fields.COUNT),
        None
        if engine is None
        else _decode_engine(json_fields.check_object(engine, "engine")),
    )


def _decode_engine(row: dict[str, Any]) -> configuration.Engine | None:
    models = [
        _decode_model(item) for item in json_fields.get_list(row, "models")
    ]
    return configuration.Engine(
        json_fields.get_integer(row, "slots", 1, json_fields.COUNT),
        int(json_fields.get_number(row, "kv_capacity", 0.0)),
        json_fields.get_number(row, "model_size", 0.0),
        json_fields.get_integer(row, "adapter_slots", 0, json_fields.COUNT),
        json_fields.get_number(row, "host_mb", 0.0),
        json_fields.get_number(row, "disk_mb", 0.0),
        json_fields.get_number(row, "loads_per_s", 0.0),
        {model.name: model for model in models},
    )


def _decode_model(row: Any) -> configuration.Model:
    row = json_fields.check_object(row, "model")
    store_load_time = _get_load_time(row, "load_s")
    disk_load_time = _get_load_time(row, "disk_s", store_load_time)
    return configuration.Model(
        ids.ModelName(json_fields.get_string(row, "name")),
        json_fields.get_number(row, "model_size"),
        store_load_time,
        disk_load_time,
        # `warm_s` is the time of a load from a copy in host memory.
        _get_load_time(row, "warm_s", disk_load_time),
        json_fields.get_integer(row, "adapters", 0, json_fields.COUNT),
        json_fields.get_number(row, "adapter_mb", 0.0),
    )


def _decode_limits(row: dict[str, Any]) -> configuration.CallerLimits:
    defaults = configuration.CallerLimits()
    return configuration.CallerLimits(
        json_fields.get_integer(
            row, "max_header_bytes", defaults.max_header_bytes
        ),
        json_fields.get_integer(row, "max_body_bytes", defaults.max_body_bytes),
        _get_duration(
            row, "header_timeout_ms", defaults.header_timeout, _TIMEOUT_MS
        ),
        _get_duration(
            row, "idle_timeout_ms", defaults.idle_timeout, _TIMEOUT_MS
        ),
    )


def _get_load_time(
    row: dict[str, Any],
    key: str,
    default: datetime.timedelta | None = None,
) -> datetime.timedelta:
    if default is not None and key not in row:
        return default
    return datetime.timedelta(
        seconds=json_fields.get_number(row, key, None, _LOAD_TIME_S)
    )


def _get_duration(
    row: dict[str, Any],
    key: str,
    default: datetime.timedelta | None = None,
    bounds: json_fields.Bounds = _DURATION_MS,
) -> datetime.timedelta:
    if default is not None and key not in row:
        return default
    return datetime.timedelta(
        milliseconds=json_fields.get_number(row, key, None, bounds)
    )
