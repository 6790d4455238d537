"""The register: what targets write of themselves into the store."""

import datetime
import json
from typing import Any

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import targets

TOPIC = "keyed.servers"

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode(key: str, data: bytes) -> targets.Description:
    """Returns the description in a record's value.

    Args:
        key: The record's key, which is the target's id.
        data: The record's value.

    Raises:
        exceptions.DecodeError: The record is torn, or another's.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise exceptions.DecodeError(f"entry {key!r}: {error}") from error
    row = json_fields.check_object(value, f"entry {key!r}")
    state = json_fields.get_string(row, "state")
    if state not in _IS_DRAINING_BY_STATE:
        raise exceptions.DecodeError(f"entry {key!r}: state {state!r}")
    remaining = row.get("remaining_ms")
    if remaining is not None and type(remaining) is not int:
        raise exceptions.DecodeError("remaining_ms is no integer")
    slots = json_fields.get_integer(row, "slots")
    if slots < 1 or not key:
        raise exceptions.DecodeError(f"entry {key!r}: no slots or no id")
    # The time of its last heartbeat; only its shape matters here.
    json_fields.get_integer(row, "seq")
    return targets.Description(
        ids.TargetId(key),
        json_fields.get_integer(row, "born"),
        ids.ServiceName(json_fields.get_string(row, "service")),
        check_address(json_fields.get_string(row, "address")),
        ids.AvailabilityZone(json_fields.get_string(row, "zone")),
        slots,
        _IS_DRAINING_BY_STATE[state],
        (
            None
            if remaining is None
            else datetime.timedelta(milliseconds=remaining)
        ),
        decode_models(row),
        decode_cached_copies(row),
    )


def check_address(text: str) -> str:
    """Returns IP-NUMBER:PORT if it is one.

    Raises:
        exceptions.DecodeError: It is not.
    """
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    is_number = len(parts) == 4 and all(
        part.isdigit() and int(part) < 256 for part in parts
    )
    if not is_number or not port.isdigit() or not 0 < int(port) < 65536:
        raise exceptions.DecodeError(f"no address: {text[:60]!r}")
    return text


def decode_models(row: dict[str, Any]) -> tuple[targets.LoadedModel, ...]:
    """Returns the loaded models of an entry or a report."""
    found = []
    for item in json_fields.get_list(row, "models"):
        one = json_fields.check_object(item, "model")
        adapters = _get_names(one, "adapters")
        found.append(
            targets.LoadedModel(
                ids.ModelName(json_fields.get_string(one, "name")),
                tuple(ids.AdapterName(name) for name in adapters),
            )
        )
    return tuple(found)


def decode_cached_copies(row: dict[str, Any]) -> targets.CachedCopies:
    """Returns the copies of weights of an entry or a report."""
    at_hand = json_fields.check_object(row.get("at_hand", {}), "at_hand")
    return targets.CachedCopies(
        tuple(ids.ModelName(name) for name in _get_names(at_hand, "in_memory")),
        tuple(ids.ModelName(name) for name in _get_names(at_hand, "on_disk")),
    )


def _get_names(row: dict[str, Any], key: str) -> list[str]:
    names = json_fields.get_list(row, key)
    if not all(isinstance(name, str) for name in names):
        raise exceptions.DecodeError(f"{key} has an item that is no text")
    return names
