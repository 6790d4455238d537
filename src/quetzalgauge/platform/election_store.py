"""Leader election of the zones, as groups and records of the store.

Each zone has a group with one partition; the owner of the partition is the
leader. A record of each zone names its last leader.
"""

import contextlib
import dataclasses
import datetime
import json
from typing import Any

from quetzalgauge import decoding
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import election
from quetzalgauge.platform import registry
from quetzalgauge.platform import store

# The system's own topic, with a record of the last leader of each zone.
TOPIC = "keyed.holders"
# All zones share the topic, so a conditional write fails and is retried if the
# leader of another zone writes at the same time.
MAX_RELEASE_ATTEMPTS = 4
# A longer takeover delay in a record is an error of its writer and is reduced
# to this.
MAX_TAKEOVER_DELAY_MS = 60_000
_MILLISECOND = datetime.timedelta(milliseconds=1)


def _make_group_name(zone: ids.AvailabilityZone) -> str:
    return f"holder-{zone}"


def join(client: store.StoreClient, action: election.Join) -> tuple[int, bool]:
    """Joins the group of a zone, or renews the membership.

    Returns:
        The generation of the group, and whether the member owns the partition
        and so is the leader.

    Raises:
        exceptions.PlatformError: The call failed.
        exceptions.DecodeError: The response is not valid.
    """
    group = _make_group_name(action.availability_zone)
    membership = client.join(
        group, action.machine, group, action.session_timeout, action.generation
    )
    is_owner = (group, store.PARTITION) in membership.partitions
    return membership.generation, is_owner


def leave(client: store.StoreClient, action: election.Leave) -> None:
    """Leaves the group of a zone."""
    client.leave(_make_group_name(action.availability_zone), action.machine)


def read_owner(
    client: store.StoreClient, zone: ids.AvailabilityZone
) -> str | None:
    """Returns the machine that owns a zone's partition, None if none does."""
    return client.read_owner(_make_group_name(zone), _make_group_name(zone))


def read_record(
    client: store.StoreClient, zone: ids.AvailabilityZone
) -> tuple[election.LeaderRecord | None, int]:
    """Returns the record of a zone and the end offset of the topic.

    A record that is not valid counts as one of an unknown active leader, so
    that the next leader waits as long as after any other and replaces it.

    Raises:
        exceptions.PlatformError: The call failed.
        exceptions.DecodeError: The response is not valid.
    """
    records, end_offset = client.read_newest(TOPIC)
    for record in records:
        if record.key != zone:
            continue
        if record.value is not None:
            with contextlib.suppress(exceptions.DecodeError):
                return decode_record(record.key, record.value), end_offset
        if record.value is not None or record.error:
            return _make_unknown_record(zone), end_offset
    return None, end_offset


def _make_unknown_record(zone: ids.AvailabilityZone) -> election.LeaderRecord:
    # The highest token makes the next leader check that it is the owner.
    return election.LeaderRecord(
        zone, "", "", json_fields.INTEGER.maximum, active=True
    )


def write_record(
    client: store.StoreClient,
    record: election.LeaderRecord,
    expected_offset: int | None,
) -> bool:
    """Writes the leader record of a zone.

    Returns:
        Whether it was written; False if the topic has another end offset.
    """
    value: dict[str, Any] = {
        "machine": record.machine,
        "address": record.address,
        # Instances of older builds compare generations.
        "token": election.get_generation(record.era, record.fencing_token),
        "active": record.active,
        "released": record.released,
    }
    if record.takeover_delay_left is not None:
        value["wait_left_ms"] = record.takeover_delay_left // _MILLISECOND
    if record.era != ids.UNNAMED_ERA:
        value["era"] = record.era
    data = json.dumps(value).encode()
    return client.write(TOPIC, record.availability_zone, data, expected_offset)


def release(client: store.StoreClient, record: election.LeaderRecord) -> bool:
    """Marks a record as released if it is still the last of its zone.

    Returns:
        Whether the record was marked; False if another record has replaced it
        or each write failed because the topic had changed.

    Raises:
        exceptions.PlatformError: A call failed.
        exceptions.DecodeError: A response is not valid.
    """
    released = dataclasses.replace(record, released=True)
    for _ in range(MAX_RELEASE_ATTEMPTS):
        current, end_offset = read_record(client, record.availability_zone)
        if current != record:
            return False
        if write_record(client, released, end_offset):
            return True
    return False


@decoding.guard("leader record")
def decode_record(key: str, data: bytes) -> election.LeaderRecord:
    """Returns the leader record of a zone.

    Raises:
        exceptions.DecodeError: The data is not a valid leader record.
    """
    row = json_fields.parse_object(data, f"leader record of {key!r}")
    takeover_delay_left = None
    if "wait_left_ms" in row:
        delay_ms = min(
            json_fields.get_integer(row, "wait_left_ms"), MAX_TAKEOVER_DELAY_MS
        )
        takeover_delay_left = delay_ms * _MILLISECOND
    era = ids.UNNAMED_ERA
    if "era" in row:
        era = ids.StoreEra(
            json_fields.get_integer(row, "era", bounds=json_fields.COUNT)
        )
    return election.LeaderRecord(
        ids.AvailabilityZone(key),
        json_fields.get_string(row, "machine"),
        registry.check_address(json_fields.get_string(row, "address")),
        election.make_fencing_token(era, json_fields.get_integer(row, "token")),
        json_fields.get_boolean(row, "active"),
        json_fields.get_boolean(row, "released"),
        takeover_delay_left,
        era,
    )
