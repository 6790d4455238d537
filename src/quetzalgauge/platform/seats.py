"""Seats of the zones' holders as groups and records of the store."""

import json

from quetzalgauge import exceptions
from quetzalgauge import fields
from quetzalgauge import ids
from quetzalgauge.core import seat
from quetzalgauge.platform import register
from quetzalgauge.platform import store

# Topic of the system's own: the last holder of each zone.
TOPIC = "keyed.holders"


def _group(zone: ids.AvailabilityZone) -> str:
    return f"holder-{zone}"


def join(client: store.Store, action: seat.Join) -> tuple[int, bool]:
    """Asks for a seat, or keeps it.

    Returns:
        The generation of the group, and whether the member has the seat.

    Raises:
        exceptions.PlatformError: There is no answer.
        exceptions.DecodeError: The answer is not valid.
    """
    group = _group(action.availability_zone)
    seating = client.join(
        group, action.machine, group, action.silence, action.generation
    )
    has_seat = (group, store.PARTITION) in seating.partitions
    return seating.generation, has_seat


def leave(client: store.Store, action: seat.Leave) -> None:
    """Leaves the group of a seat."""
    client.leave(_group(action.availability_zone), action.machine)


def read_owner(client: store.Store, zone: ids.AvailabilityZone) -> str | None:
    """Returns the machine that has the seat of a zone, None: nobody."""
    return client.read_owner(_group(zone), _group(zone))


def write_record(client: store.Store, record: seat.Record) -> None:
    """Writes who holds a zone."""
    value = {
        "machine": record.machine,
        "address": record.address,
        "token": record.token,
        "released": record.released,
    }
    data = json.dumps(value).encode()
    client.write(TOPIC, record.availability_zone, data)


def decode_record(key: str, data: bytes) -> seat.Record:
    """Returns the record of a zone's holder.

    Raises:
        exceptions.DecodeError: It is none.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise exceptions.DecodeError(f"holder of {key!r}: {error}") from error
    row = fields.mapping(value, f"holder of {key!r}")
    return seat.Record(
        ids.AvailabilityZone(key),
        fields.text(row, "machine"),
        register.check_address(fields.text(row, "address")),
        fields.integer(row, "token"),
        fields.flag(row, "released"),
    )
