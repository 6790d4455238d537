"""Software versions of services and of streams, as records of the store.

A keyed topic lists the versions of each service. An ordinary topic has the
version of each stream that was begun while its service had more than one.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import hashlib
import json
from typing import Any

from quetzalgauge import decoding
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.core import version_records
from quetzalgauge.platform import store

# The system's own topics.
VERSIONS_TOPIC = "keyed.versions"
STREAMS_TOPIC = "streams"
# The length of a key is one byte.
MAX_KEY_BYTES = 255

# Called with the key of a record, empty in an ordinary topic, and with why the
# record cannot be decoded.
ReportInvalid = Callable[[str, exceptions.DecodeError], None]


def read_versions(
    client: store.StoreClient, report_invalid: ReportInvalid
) -> tuple[dict[version_records.ServiceVersion, datetime.timedelta], int]:
    """Returns the list of versions and where its next record will be.

    The list has the time since the Unix epoch at which each version was listed
    last; it is the latest one there is if its record does not tell.

    Args:
        client: The store.
        report_invalid: Called for each record that cannot be decoded.

    Raises:
        exceptions.PlatformError: A call failed.
        exceptions.DecodeError: A response is not valid.
    """
    records, offset = client.read_newest(VERSIONS_TOPIC)
    versions = {}
    for record in records:
        if not record.value and not record.error:
            continue
        try:
            version, listed_at = decode_version(record.key, record.value or b"")
            versions[version] = listed_at
        except exceptions.DecodeError as error:
            report_invalid(record.key, error)
    return versions, offset


def list_versions(
    client: store.StoreClient,
    versions: Iterable[version_records.ServiceVersion],
    time: datetime.timedelta,
) -> None:
    """Adds versions to the list, or renews their places.

    Args:
        client: The store.
        versions: The versions.
        time: Time since the Unix epoch.

    Raises:
        exceptions.PlatformError: A call failed, or a version is too long to be
            stored; the others have been listed then.
    """
    records = [
        store.encode_keyed_record(
            make_key(version), encode_version(version, time)
        )
        for version in versions
    ]
    storable = [
        record for record in records if len(record) <= store.MAX_RECORD_BYTES
    ]
    client.append(VERSIONS_TOPIC, storable)
    _check_all_stored(len(records) - len(storable))


def unlist_version(
    client: store.StoreClient, action: version_records.UnlistVersion
) -> None:
    """Removes a version from the list unless that has changed.

    Raises:
        exceptions.PlatformError: The call failed.
    """
    client.write(VERSIONS_TOPIC, make_key(action.version), b"", action.offset)


def read_streams(
    client: store.StoreClient, offset: int, report_invalid: ReportInvalid
) -> tuple[list[version_records.StreamRecord], int]:
    """Returns the stream records from an offset to the end of their topic.

    If they have expired, or the topic ends before the offset, it returns all
    that the store retains.

    Args:
        client: The store.
        offset: Offset of the first log record to read.
        report_invalid: Called for each log record that cannot be decoded.

    Returns:
        The stream records and the offset after the last log record.

    Raises:
        exceptions.PlatformError: A call failed.
        exceptions.DecodeError: A response is not valid.
    """
    try:
        log_records, end = client.read_all(STREAMS_TOPIC, offset)
    except exceptions.LogExpiredError as error:
        log_records, end = client.read_all(STREAMS_TOPIC, error.earliest_offset)
    records: list[version_records.StreamRecord] = []
    for data in log_records:
        try:
            records += decode_streams(data)
        except exceptions.DecodeError as error:
            report_invalid("", error)
    return records, end


def append_streams(
    client: store.StoreClient,
    records: Iterable[version_records.StreamRecord],
) -> None:
    """Appends stream records.

    Raises:
        exceptions.PlatformError: A call failed, or a stream record is too long
            to be stored; the others have been appended then.
    """
    # Grouping loses the order of the records of one stream.
    latest = {(record.service, record.request_id): record for record in records}
    log_records, unstorable_count = _fit(list(latest.values()))
    client.append(STREAMS_TOPIC, log_records)
    _check_all_stored(unstorable_count)


def _fit(
    records: Sequence[version_records.StreamRecord],
) -> tuple[list[bytes], int]:
    """Returns log records within the limit, and how many do not fit at all."""
    if not records:
        return [], 0
    data = encode_streams(records)
    if len(data) <= store.MAX_RECORD_BYTES:
        return [data], 0
    if len(records) == 1:
        return [], 1
    half = len(records) // 2
    first, first_count = _fit(records[:half])
    second, second_count = _fit(records[half:])
    return first + second, first_count + second_count


def _check_all_stored(unstorable_count: int) -> None:
    if unstorable_count:
        raise exceptions.PlatformError(
            f"{unstorable_count} records exceed {store.MAX_RECORD_BYTES} bytes"
        )


def make_key(version: version_records.ServiceVersion) -> str:
    """Returns the key of a version in the list.

    Different versions have different keys, whatever characters they contain.
    """
    key = _dump(version)
    if len(key) > MAX_KEY_BYTES:
        return f"sha256:{hashlib.sha256(key.encode()).hexdigest()}"
    return key


def encode_version(
    version: version_records.ServiceVersion, time: datetime.timedelta
) -> bytes:
    """Returns the value of a version that is listed at a Unix time."""
    value = {
        "service": version.service,
        "version": version.version,
        "listed_ms": time // datetime.timedelta(milliseconds=1),
    }
    return _dump(value).encode()


@decoding.guard("version")
def decode_version(
    key: str, data: bytes
) -> tuple[version_records.ServiceVersion, datetime.timedelta]:
    """Returns the version that a record of the list names, and its time.

    A version whose value another writer has damaged is still listed, unless its
    key is a digest. Its time is the latest one there is then.

    Raises:
        exceptions.DecodeError: The record names no version, or has the key of
            another one.
    """
    if len(data) > store.MAX_RECORD_BYTES:
        raise exceptions.DecodeError(f"version {key!r}: {len(data)} bytes")
    listed_at = datetime.timedelta.max
    row: dict[str, Any] = {}
    try:
        row = json_fields.parse_object(data, f"version {key!r}")
        milliseconds = json_fields.get_integer(
            row, "listed_ms", bounds=json_fields.TIMESTAMP_MS
        )
        listed_at = datetime.timedelta(milliseconds=milliseconds)
    except exceptions.DecodeError:
        if not key.startswith("["):
            raise
    if key.startswith("["):
        service, version = json.loads(key)
        row = {"service": service, "version": version}
    decoded = version_records.ServiceVersion(
        ids.ServiceName(json_fields.get_string(row, "service")),
        ids.SoftwareVersion(json_fields.get_string(row, "version")),
    )
    if make_key(decoded) != key:
        raise exceptions.DecodeError(f"version {key!r}: the key of another one")
    return decoded, listed_at


def encode_streams(records: Iterable[version_records.StreamRecord]) -> bytes:
    """Returns a log record with stream records, grouped by their version."""
    request_ids: dict[tuple[str, str | None], list[str]] = {}
    for record in records:
        group = record.service, record.version
        request_ids.setdefault(group, []).append(record.request_id)
    rows = [
        {"service": service, "version": version, "requests": group}
        for (service, version), group in request_ids.items()
    ]
    return _dump({"streams": rows}).encode()


@decoding.guard("stream record")
def decode_streams(data: bytes) -> list[version_records.StreamRecord]:
    """Returns the stream records of a log record.

    Raises:
        exceptions.DecodeError: The data is no valid log record.
    """
    if len(data) > store.MAX_RECORD_BYTES:
        raise exceptions.DecodeError(f"stream record: {len(data)} bytes")
    row = json_fields.parse_object(data, "stream record")
    if "streams" not in row:
        raise exceptions.DecodeError("stream record: streams is missing")
    return [
        record
        for item in json_fields.get_list(row, "streams")
        for record in _decode_group(json_fields.check_object(item, "group"))
    ]


def _decode_group(
    row: dict[str, Any],
) -> Iterator[version_records.StreamRecord]:
    service = ids.ServiceName(json_fields.get_string(row, "service"))
    version = None
    # A missing version is an error, unlike one that is not known.
    if row.get("version", "") is not None:
        version = ids.SoftwareVersion(json_fields.get_string(row, "version"))
    for request_id in json_fields.get_list(row, "requests"):
        yield version_records.StreamRecord(
            ids.RequestId(json_fields.check_string(request_id, "request")),
            service,
            version,
        )


def _dump(value: Any) -> str:
    """Returns compact JSON in ASCII."""
    return json.dumps(value, separators=(",", ":"))
