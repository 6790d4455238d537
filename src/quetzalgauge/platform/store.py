"""Client of the platform's store, a log with keyed topics and groups."""

import base64
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import struct
from typing import Any
import urllib.parse

from quetzalgauge import decoding
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import json_fields
from quetzalgauge.node import http_client
from quetzalgauge.node import store_era

# Connecting takes one round trip, also if the store is slow to respond. After a
# partition, a new attempt succeeds sooner than one whose packet was lost.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
# Timeout of all calls but long polls.
CALL_TIMEOUT = datetime.timedelta(seconds=2)
# Time that a long poll may take beyond the wait that it asks for.
LONG_POLL_MARGIN = datetime.timedelta(seconds=2)
# Only this partition of each topic is used; it has all records.
PARTITION = 0
# Limits of the store for one record and for all records of one call.
MAX_RECORD_BYTES = 262_144
MAX_CALL_BYTES = 2_097_152

_LENGTH_PREFIX = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
_REQUEST_HEADERS = {"Accept-Encoding": "identity"}
_ZERO = datetime.timedelta()
# Rises each time the store comes back from a copy.
_ERA_HEADER = "store-era"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
        key: The key; approximate if there is an error.
        value: The value; None deletes the key.
        error: Why the record cannot be read, empty if it can.
    """

    key: str
    value: bytes | None
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMembership:
    """Response of the store to a group member that joins or renews.

    Attributes:
        generation: Grows with each change of the group.
        partitions: Topic and number of each partition that the member owns.
    """

    generation: int
    partitions: frozenset[tuple[str, int]]


class StoreClient:
    """One connection to the store, used by one task only.

    Each call may raise `exceptions.OutdatedResponseError`, a `PlatformError`.

    Args:
        address: IP-ADDRESS:PORT of the store.
        check_era: Checks the era that each response names.
    """

    def __init__(
        self,
        address: str,
        check_era: store_era.CheckEra = store_era.accept_all,
    ) -> None:
        self._connection = http_client.Connection(
            f"http://{address}", CONNECT_TIMEOUT
        )
        self._check_era = check_era
        self._era = ids.UNNAMED_ERA

    @property
    def era(self) -> ids.StoreEra:
        """Era of the store in the last response."""
        return self._era

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        self._connection.close()

    def interrupt(self) -> None:
        """Makes the call in progress in another task fail at once."""
        self._connection.interrupt()

    def read_newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        """Returns the newest record of each key and the offset to read from.

        Raises:
            exceptions.PlatformError: The call failed.
            exceptions.DecodeError: The response is not valid.
        """
        records: list[KeyedRecord] = []
        offset: int | None = None
        last_key = ""
        while True:
            query = {"topic": topic, "part": PARTITION}
            if last_key:
                query["after"] = last_key
            previous_era = self._era
            page = self._get_json("/log-newest", query)
            if last_key and self._era != previous_era:
                raise exceptions.OutdatedResponseError(
                    f"another era began between two pages of {topic}"
                )
            # The pages together are not one snapshot. Reading from the end
            # offset of the first page returns all changes made since then.
            if offset is None:
                offset = json_fields.get_integer(page, "end")
            rows = json_fields.get_list(page, "items")
            items = [_decode_item(row) for row in rows]
            records += items
            if not json_fields.get_boolean(page, "more", False) or not rows:
                return records, offset
            previous_key = last_key
            last_key = next(
                (item.key for item in reversed(items) if not item.error), ""
            )
            if last_key in ("", previous_key):
                raise exceptions.DecodeError(
                    f"no page of {topic} follows {previous_key!r}"
                )

    def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> tuple[list[KeyedRecord], int]:
        """Returns the records of a keyed topic from an offset on (long poll).

        Args:
            topic: The topic.
            offset: Offset of the first record to return.
            wait: How long the store waits for a record if there is none yet.

        Returns:
            The records and the offset after the last of them.

        Raises:
            exceptions.LogExpiredError: The store has dropped that record.
            exceptions.PlatformError: The call failed.
            exceptions.DecodeError: The response is not valid.
        """
        records = _split_records(self._read_log(topic, offset, wait))
        return (
            [_decode_record(record) for record in records],
            offset + len(records),
        )

    def read_all(self, topic: str, offset: int) -> tuple[list[bytes], int]:
        """Returns the raw records of a topic from an offset to its end.

        Records that are appended meanwhile may be missing.

        Args:
            topic: The topic.
            offset: Offset of the first record to return.

        Returns:
            The records and the offset after the last of them.

        Raises:
            exceptions.LogExpiredError: The store has dropped a record, or ends
                before the offset.
            exceptions.PlatformError: A call failed.
            exceptions.DecodeError: A response is not valid.
        """
        records: list[bytes] = []
        end: int | None = None
        while end is None or offset < end:
            previous_era = self._era
            data = self._read_log(topic, offset, _ZERO)
            if end is not None and self._era != previous_era:
                raise exceptions.OutdatedResponseError(
                    f"another era began between two reads of {topic}"
                )
            page = _split_records(data)
            page_end, first_offset = _READ_HEADER.unpack_from(data)
            if not first_offset <= offset <= page_end:
                raise exceptions.LogExpiredError(first_offset)
            end = page_end if end is None else end
            if offset < end and not page:
                raise exceptions.DecodeError(
                    f"{topic} ends at {end}, but has no record {offset}"
                )
            records += page
            offset += len(page)
        return records, offset

    def _read_log(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> bytes:
        query = urllib.parse.urlencode(
            {
                "topic": topic,
                "part": PARTITION,
                "from": offset,
                "wait_ms": int(wait.total_seconds() * 1000),
            }
        )
        response = self._call(
            "GET", f"/log-read?{query}", None, wait + LONG_POLL_MARGIN
        )
        if response.status == 410:
            row = _parse_json(response.data)
            raise exceptions.LogExpiredError(
                json_fields.get_integer(row, "first", 0)
            )
        _check_status(response, 200)
        return response.data

    def write(
        self, topic: str, key: str, value: bytes, expected_offset: int | None
    ) -> bool:
        """Writes a record of a keyed topic.

        Args:
            topic: The topic.
            key: The key.
            value: The value.
            expected_offset: Write only if this is the end offset of the topic;
                None writes unconditionally.

        Returns:
            Whether the record was written; False if the topic has another end
            offset.

        Raises:
            exceptions.NotSentError: Nothing was written.
            exceptions.PlatformError: The record may have been written, or may
                be written later if the condition still holds.
        """
        parameters = {"topic": topic, "part": PARTITION}
        if expected_offset is not None:
            parameters["at"] = expected_offset
        query = urllib.parse.urlencode(parameters)
        data = _frame_record(encode_keyed_record(key, value))
        response = self._call("POST", f"/log-append?{query}", data)
        if response.status == 412:
            return False
        _check_status(response, 200)
        return True

    def append(self, topic: str, records: Iterable[bytes]) -> None:
        """Appends raw records in as few calls as the store allows.

        Args:
            topic: The topic; see `encode_keyed_record` for a keyed one.
            records: The records, of at most MAX_RECORD_BYTES each.

        Raises:
            exceptions.PlatformError: A call failed. Records may have been
                appended, or may be appended later.
        """
        query = urllib.parse.urlencode({"topic": topic, "part": PARTITION})
        for data in _split_into_calls(records):
            response = self._call("POST", f"/log-append?{query}", data)
            _check_status(response, 200)

    def join(
        self,
        group: str,
        member: str,
        topic: str,
        session_timeout: datetime.timedelta,
        generation: int,
    ) -> GroupMembership:
        """Joins a group, or renews the membership.

        Args:
            group: The group.
            member: The member.
            topic: The topic whose partitions are assigned to the members.
            session_timeout: Time without a renewal after which the member
                loses its partitions.
            generation: The last generation that the member received, or 0.

        Raises:
            exceptions.PlatformError: The call failed.
            exceptions.DecodeError: The response is not valid.
        """
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": int(session_timeout.total_seconds() * 1000),
            "generation": generation,
        }
        row = self._post_json("/log-join", body)
        return _decode_membership(row)

    def leave(self, group: str, member: str) -> None:
        """Leaves a group.

        Raises:
            exceptions.PlatformError: The call failed.
        """
        body = {"group": group, "member": member}
        response = self._call("POST", "/log-leave", body)
        _check_status(response, 200)

    def read_owner(self, group: str, topic: str) -> str | None:
        """Returns the member that owns a topic's partition, None if none does.

        Raises:
            exceptions.PlatformError: The call failed.
            exceptions.DecodeError: The response is not valid.
        """
        row = self._get_json("/log-owners", {"group": group})
        return _decode_owner(row, topic)

    def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> http_client.Response:
        response = self._connection.call(
            method, path, timeout, body, _REQUEST_HEADERS
        )
        text = next(
            (
                value.strip()
                for name, value in response.headers
                if name.lower() == _ERA_HEADER
            ),
            None,
        )
        self._era = self._check_era(text, f"{method} {path.partition('?')[0]}")
        return response

    def _get_json(self, path: str, query: dict[str, Any]) -> dict[str, Any]:
        response = self._call("GET", f"{path}?{urllib.parse.urlencode(query)}")
        _check_status(response, 200)
        return _parse_json(response.data)

    def _post_json(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        response = self._call("POST", path, body)
        _check_status(response, 200)
        return _parse_json(response.data)


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Returns the record of a keyed topic.

    Args:
        key: The key, of at most 255 bytes.
        value: The value; an empty one deletes the key.
    """
    key_bytes = key.encode()
    return bytes([len(key_bytes)]) + key_bytes + value


def _frame_record(record: bytes) -> bytes:
    return _LENGTH_PREFIX.pack(len(record)) + record


def _split_into_calls(records: Iterable[bytes]) -> Iterator[bytes]:
    """Returns the body of each call that appends the records."""
    data = bytearray()
    for record in records:
        frame = _frame_record(record)
        if data and len(data) + len(frame) > MAX_CALL_BYTES:
            yield bytes(data)
            data.clear()
        data += frame
    if data:
        yield bytes(data)


def _check_status(response: http_client.Response, status: int) -> None:
    if response.status != status:
        raise exceptions.PlatformError(
            f"the store returned status {response.status}"
        )


def _parse_json(data: bytes) -> dict[str, Any]:
    return json_fields.parse_object(data, "response of the store")


@decoding.guard("membership")
def _decode_membership(row: dict[str, Any]) -> GroupMembership:
    partitions = []
    for item in json_fields.get_list(row, "parts"):
        if not isinstance(item, list) or len(item) < 2:
            raise exceptions.DecodeError(
                "an item of parts is not a list of topic and partition"
            )
        part = {"topic": item[0], "partition": item[1]}
        partitions.append(
            (
                json_fields.get_string(part, "topic"),
                json_fields.get_integer(part, "partition"),
            )
        )
    return GroupMembership(
        json_fields.get_integer(row, "generation"), frozenset(partitions)
    )


@decoding.guard("owners")
def _decode_owner(row: dict[str, Any], topic: str) -> str | None:
    for item in json_fields.get_list(row, "parts"):
        if not isinstance(item, list) or len(item) < 3:
            raise exceptions.DecodeError(
                "an item of parts is not a list of topic, partition, owner"
            )
        if item[0] == topic and item[1] == PARTITION and item[2]:
            return json_fields.check_string(item[2], "owner")
    return None


def _decode_item(row: Any) -> KeyedRecord:
    """Returns an item of a page; one that is invalid has an error."""
    try:
        return _decode_valid_item(row)
    except exceptions.DecodeError as error:
        key = row.get("key") if isinstance(row, dict) else None
        if not isinstance(key, str):
            key = ""
        # Escapes unpaired surrogates.
        key = key.encode(errors="backslashreplace").decode()
        return KeyedRecord(key, None, str(error))


@decoding.guard("item")
def _decode_valid_item(row: Any) -> KeyedRecord:
    row = json_fields.check_object(row, "item")
    key = json_fields.get_string(row, "key")
    value = base64.b64decode(
        json_fields.get_string(row, "value"), validate=True
    )
    return KeyedRecord(key, value)


@decoding.guard("records")
def _split_records(data: bytes) -> list[bytes]:
    """Splits the response to a read into its records.

    Raises:
        exceptions.DecodeError: The response is truncated.
    """
    if len(data) < _READ_HEADER.size:
        raise exceptions.DecodeError(
            "the response to a read is shorter than its header"
        )
    records = []
    offset = _READ_HEADER.size
    while offset < len(data):
        if offset + _LENGTH_PREFIX.size > len(data):
            raise exceptions.DecodeError("the length of a record is truncated")
        (length,) = _LENGTH_PREFIX.unpack_from(data, offset)
        offset += _LENGTH_PREFIX.size
        if offset + length > len(data):
            raise exceptions.DecodeError("a record is truncated")
        records.append(data[offset : offset + length])
        offset += length
    return records


def _decode_record(record: bytes) -> KeyedRecord:
    """Splits a record of a keyed topic into key and value.

    The first byte is the length of the key. An empty value deletes the key.
    """
    key_length = record[0] if record else 0
    key_bytes = record[1 : 1 + key_length]
    value = record[1 + key_length :]
    key = key_bytes.decode("utf-8", "replace")
    if len(key_bytes) < key_length or not record:
        return KeyedRecord(key, None, "the key is truncated")
    if key.encode() != key_bytes:
        return KeyedRecord(key, None, "the key is not UTF-8")
    return KeyedRecord(key, value or None)
