"""Seats of the zones' holders as groups and records of the store."""

import dataclasses
import datetime
import json
from typing import Any

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import election
from quetzalgauge.platform import registry
from quetzalgauge.platform import store

# Topic of the system's own: the last holder of each zone.
TOPIC = "keyed.holders"
# The holders of other zones may write at the same time.
MAX_RELEASE_ATTEMPTS = 4
# Longer waits in a record are an error of its writer.
MAX_TAKEOVER_DELAY_MS = 60_000
_MILLISECOND = datetime.timedelta(milliseconds=1)


def _make_group_name(zone: ids.AvailabilityZone) -> str:
    return f"holder-{zone}"


def join(client: store.StoreClient, action: election.Join) -> tuple[int, bool]:
    """Asks for a seat, or keeps it.

    Returns:
        The generation of the group, and whether the member has the seat.

    Raises:
        exceptions.PlatformError: There is no answer.
        exceptions.DecodeError: The answer is not valid.
    """
    group = _make_group_name(action.availability_zone)
    seating = client.join(
        group, action.machine, group, action.session_timeout, action.generation
    )
    has_seat = (group, store.PARTITION) in seating.partitions
    return seating.generation, has_seat


def leave(client: store.StoreClient, action: election.Leave) -> None:
    """Leaves the group of a seat."""
    client.leave(_make_group_name(action.availability_zone), action.machine)


def read_owner(
    client: store.StoreClient, zone: ids.AvailabilityZone
) -> str | None:
    """Returns the machine that has the seat of a zone, None: nobody."""
    return client.read_owner(_make_group_name(zone), _make_group_name(zone))


def read_record(
    client: store.StoreClient, zone: ids.AvailabilityZone
) -> tuple[election.LeaderRecord | None, int]:
    """Returns the record of a zone, and where the next one will be written.

    Raises:
        exceptions.PlatformError: There is no answer.
        exceptions.DecodeError: The answer is not valid.
    """
    items, position = client.read_newest(TOPIC)
    for item in items:
        if item.key == zone and item.value is not None:
            return decode_record(item.key, item.value), position
    return None, position


def write_record(
    client: store.StoreClient,
    record: election.LeaderRecord,
    expected_offset: int | None,
) -> bool:
    """Writes who holds a zone; False if the position has passed."""
    value: dict[str, Any] = {
        "machine": record.machine,
        "address": record.address,
        "token": record.fencing_token,
        "active": record.active,
        "released": record.released,
    }
    if record.takeover_delay_left is not None:
        value["wait_left_ms"] = record.takeover_delay_left // _MILLISECOND
    data = json.dumps(value).encode()
    return client.write(TOPIC, record.availability_zone, data, expected_offset)


def release(client: store.StoreClient, record: election.LeaderRecord) -> bool:
    """Marks a record as released if it is still the last of its zone.

    Returns:
        Whether it was marked.

    Raises:
        exceptions.PlatformError: There is no answer.
        exceptions.DecodeError: The answer is not valid.
    """
    released = dataclasses.replace(record, released=True)
    for _ in range(MAX_RELEASE_ATTEMPTS):
        found, position = read_record(client, record.availability_zone)
        if found != record:
            return False
        if write_record(client, released, position):
            return True
    return False


def decode_record(key: str, data: bytes) -> election.LeaderRecord:
    """Returns the record of a zone's holder.

    Raises:
        exceptions.DecodeError: It is none.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise exceptions.DecodeError(f"holder of {key!r}: {error}") from error
    row = json_fields.check_object(value, f"holder of {key!r}")
    wait_left = None
    if "wait_left_ms" in row:
        count = min(
            json_fields.get_integer(row, "wait_left_ms"), MAX_TAKEOVER_DELAY_MS
        )
        wait_left = count * _MILLISECOND
    return election.LeaderRecord(
        ids.AvailabilityZone(key),
        json_fields.get_string(row, "machine"),
        registry.check_address(json_fields.get_string(row, "address")),
        json_fields.get_integer(row, "token"),
        json_fields.get_boolean(row, "active"),
        json_fields.get_boolean(row, "released"),
        wait_left,
    )
