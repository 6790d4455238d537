"""The target registry: entries that targets write to the store."""

import hashlib
import re
from typing import Any

from quetzalgauge import decoding
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import targets

TOPIC = "keyed.servers"

# A target with more slots would attract all requests of its service.
SLOTS = json_fields.Bounds(1, 10_000)

# The state of a target must fit into a message between instances.
MAX_ENTRY_BYTES = 262_144
# A longer version is replaced by its digest, so that versions stay distinct.
MAX_VERSION_LENGTH = 1_000

# An id is sent in a header.
_TARGET_ID = re.compile(r"[!-~]+")
_ADDRESS = re.compile(
    r"([0-9]{1,3})" + r"\.([0-9]{1,3})" * 3 + r":([0-9]{1,5})"
)
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


@decoding.guard("entry")
def decode(key: str, data: bytes) -> targets.Description:
    """Returns the description of a target in its entry.

    Args:
        key: Key of the entry, which is the target's id.
        data: Value of the entry.

    Raises:
        exceptions.DecodeError: The entry is truncated or has another format.
    """
    if not _TARGET_ID.fullmatch(key):
        raise exceptions.DecodeError(f"entry {key!r}: the key is no target id")
    if len(data) > MAX_ENTRY_BYTES:
        raise exceptions.DecodeError(f"entry {key!r}: {len(data)} bytes")
    row = json_fields.parse_object(data, f"entry {key!r}")
    state = json_fields.get_string(row, "state")
    if state not in _IS_DRAINING_BY_STATE:
        raise exceptions.DecodeError(f"entry {key!r}: unknown state {state!r}")
    terminates_in = None
    if row.get("remaining_ms") is not None:
        terminates_in = json_fields.get_milliseconds(row, "remaining_ms")
    entry_number = json_fields.get_integer(row, "seq")
    # Not used here; the check rejects entries of another format.
    json_fields.get_number(row, "cold_left_ms", 0, json_fields.DURATION_MS)
    return targets.Description(
        ids.TargetId(key),
        json_fields.get_integer(row, "born", bounds=json_fields.TIMESTAMP_MS),
        ids.ServiceName(json_fields.get_string(row, "service")),
        check_address(json_fields.get_string(row, "address")),
        ids.AvailabilityZone(json_fields.get_string(row, "zone")),
        json_fields.get_integer(row, "slots", bounds=SLOTS),
        _IS_DRAINING_BY_STATE[state],
        terminates_in,
        decode_models(row),
        decode_cached_copies(row),
        entry_number=entry_number,
        version=_decode_version(row),
    )


def _decode_version(row: dict[str, Any]) -> ids.SoftwareVersion:
    """Returns the version of a target's software.

    An entry without a valid version names a target like any other.
    """
    try:
        version = json_fields.get_string(row, "version")
    except exceptions.DecodeError:
        return ids.UNNAMED_VERSION
    if len(version) > MAX_VERSION_LENGTH:
        version = f"sha256:{hashlib.sha256(version.encode()).hexdigest()}"
    return ids.SoftwareVersion(version)


def check_address(text: str) -> str:
    """Returns the text if it is an IPv4 address and a port, ADDRESS:PORT.

    Raises:
        exceptions.DecodeError: The text has another format.
    """
    match = _ADDRESS.fullmatch(text)
    is_valid = (
        match is not None
        and all(int(octet) < 256 for octet in match.groups()[:4])
        and 0 < int(match[5]) < 65536
    )
    if not is_valid:
        raise exceptions.DecodeError(
            f"not an IPv4 address and port: {text[:60]!r}"
        )
    return text


def decode_models(row: dict[str, Any]) -> tuple[targets.LoadedModel, ...]:
    """Returns the loaded models of an entry or a status report."""
    models = []
    for item in json_fields.get_list(row, "models"):
        model = json_fields.check_object(item, "model")
        adapters = _get_names(model, "adapters")
        models.append(
            targets.LoadedModel(
                ids.ModelName(json_fields.get_string(model, "name")),
                tuple(ids.AdapterName(name) for name in adapters),
            )
        )
    return tuple(models)


def decode_cached_copies(row: dict[str, Any]) -> targets.CachedCopies:
    """Returns the cached copies of weights of an entry or a status report."""
    at_hand = json_fields.check_object(row.get("at_hand", {}), "at_hand")
    return targets.CachedCopies(
        tuple(ids.ModelName(name) for name in _get_names(at_hand, "in_memory")),
        tuple(ids.ModelName(name) for name in _get_names(at_hand, "on_disk")),
    )


def _get_names(row: dict[str, Any], key: str) -> list[str]:
    names = json_fields.get_list(row, key)
    return [json_fields.check_string(name, f"item of {key}") for name in names]
