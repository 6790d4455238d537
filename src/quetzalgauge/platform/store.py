"""Client of the platform's store: a log with keyed topics and groups."""

import base64
import binascii
from collections.abc import Iterator
import dataclasses
import datetime
import json
import struct
from typing import Any
import urllib.parse

from quetzalgauge import exceptions
from quetzalgauge import json_fields
from quetzalgauge.node import http_client

# Longest wait for an answer that the store does not hold back on purpose.
CALL_TIMEOUT = datetime.timedelta(seconds=2)
# How much longer than asked for the store may hold back a read.
LONG_POLL_MARGIN = datetime.timedelta(seconds=2)
# Everything is in the only partition that is used of each topic.
PARTITION = 0

_LENGTH_PREFIX = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
_REQUEST_HEADERS = {"Accept-Encoding": "identity"}


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; `value` is None where the key is dropped."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMembership:
    """What the store says to a member of a group.

    Attributes:
        generation: Grows with each change of the group.
        partitions: The partitions that the member holds, by topic.
    """

    generation: int
    partitions: frozenset[tuple[str, int]]


class StoreClient:
    """One connection to the store. One task owns it."""

    def __init__(self, address: str) -> None:
        self._connection = http_client.Connection(f"http://{address}")

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        self._connection.close()

    def interrupt(self) -> None:
        """Makes a call that another task waits for fail at once."""
        self._connection.interrupt()

    def read_newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        """Returns the newest record of each key, and where to read on.

        Raises:
            exceptions.PlatformError: There is no answer.
            exceptions.DecodeError: The answer is not valid.
        """
        items: list[KeyedRecord] = []
        position: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": PARTITION}
            if after:
                query["after"] = after
            page = self._get_json("/log-newest", query)
            # Pages are no snapshot; reading on from the first one repeats
            # what has changed since.
            if position is None:
                position = json_fields.get_integer(page, "end")
            rows = json_fields.get_list(page, "items")
            items += [_decode_item(row) for row in rows]
            if not json_fields.get_boolean(page, "more", False) or not rows:
                return items, position
            after = items[-1].key

    def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> tuple[list[KeyedRecord], int]:
        """Returns the records of a keyed topic from a position on.

        Args:
            topic: The topic.
            offset: Offset of the first wanted record.
            wait: How long the store waits for a record.

        Returns:
            The records and the position behind them.

        Raises:
            exceptions.LogExpiredError: The record is not kept any more.
            exceptions.PlatformError: There is no answer.
            exceptions.DecodeError: The answer is not valid.
        """
        wait_ms = int(wait.total_seconds() * 1000)
        query = urllib.parse.urlencode(
            {
                "topic": topic,
                "part": PARTITION,
                "from": offset,
                "wait_ms": wait_ms,
            }
        )
        answer = self._connection.call(
            "GET",
            f"/log-read?{query}",
            wait + LONG_POLL_MARGIN,
            None,
            _REQUEST_HEADERS,
        )
        if answer.status == 410:
            row = _parse_json(answer.data)
            raise exceptions.LogExpiredError(
                json_fields.get_integer(row, "first", 0)
            )
        _check_status(answer, 200)
        records = list(_split_records(answer.data))
        return [_decode_record(one) for one in records], offset + len(records)

    def write(
        self, topic: str, key: str, value: bytes, expected_offset: int | None
    ) -> bool:
        """Writes a record of a keyed topic.

        Args:
            topic: The topic.
            key: The key.
            value: The value.
            expected_offset: Write only if the topic still ends there, unless
                None.

        Returns:
            Whether it was written; False: the topic ends elsewhere.

        Raises:
            exceptions.NotSentError: Nothing was written.
            exceptions.PlatformError: It may have been written, or may be
                written later if the condition still holds.
        """
        name = key.encode()
        record = bytes([len(name)]) + name + value
        fields_of_query = {"topic": topic, "part": PARTITION}
        if expected_offset is not None:
            fields_of_query["at"] = expected_offset
        query = urllib.parse.urlencode(fields_of_query)
        answer = self._connection.call(
            "POST",
            f"/log-append?{query}",
            CALL_TIMEOUT,
            _LENGTH_PREFIX.pack(len(record)) + record,
            _REQUEST_HEADERS,
        )
        if answer.status == 412:
            return False
        _check_status(answer, 200)
        return True

    def join(
        self,
        group: str,
        member: str,
        topic: str,
        session_timeout: datetime.timedelta,
        generation: int,
    ) -> GroupMembership:
        """Joins a group or keeps the member in it.

        Args:
            group: The group.
            member: The member.
            topic: The topic whose partitions the group shares out.
            session_timeout: Silence after which the member loses its
                partitions.
            generation: The last one that the member was told, or 0.

        Raises:
            exceptions.PlatformError: There is no answer.
            exceptions.DecodeError: The answer is not valid.
        """
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": int(session_timeout.total_seconds() * 1000),
            "generation": generation,
        }
        row = self._post_json("/log-join", body)
        partitions = []
        for item in json_fields.get_list(row, "parts"):
            if not isinstance(item, list) or len(item) < 2:
                raise exceptions.DecodeError("parts has no rows")
            partitions.append((str(item[0]), int(item[1])))
        return GroupMembership(
            json_fields.get_integer(row, "generation"), frozenset(partitions)
        )

    def leave(self, group: str, member: str) -> None:
        """Leaves a group.

        Raises:
            exceptions.PlatformError: There is no answer.
        """
        body = {"group": group, "member": member}
        answer = self._connection.call(
            "POST", "/log-leave", CALL_TIMEOUT, body, _REQUEST_HEADERS
        )
        _check_status(answer, 200)

    def read_owner(self, group: str, topic: str) -> str | None:
        """Returns the member that holds the partition, None: nobody.

        Raises:
            exceptions.PlatformError: There is no answer.
            exceptions.DecodeError: The answer is not valid.
        """
        row = self._get_json("/log-owners", {"group": group})
        for item in json_fields.get_list(row, "parts"):
            if not isinstance(item, list) or len(item) < 3:
                raise exceptions.DecodeError("parts has no rows")
            if item[0] == topic and item[1] == PARTITION and item[2]:
                return str(item[2])
        return None

    def _get_json(self, path: str, query: dict[str, Any]) -> dict[str, Any]:
        answer = self._connection.call(
            "GET",
            f"{path}?{urllib.parse.urlencode(query)}",
            CALL_TIMEOUT,
            None,
            _REQUEST_HEADERS,
        )
        _check_status(answer, 200)
        return _parse_json(answer.data)

    def _post_json(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        answer = self._connection.call(
            "POST", path, CALL_TIMEOUT, body, _REQUEST_HEADERS
        )
        _check_status(answer, 200)
        return _parse_json(answer.data)


def _check_status(response: http_client.Response, status: int) -> None:
    if response.status != status:
        raise exceptions.PlatformError(f"the store answered {response.status}")


def _parse_json(data: bytes) -> dict[str, Any]:
    try:
        return json_fields.check_object(json.loads(data), "answer of the store")
    except (ValueError, RecursionError) as error:
        raise exceptions.DecodeError(f"answer of the store: {error}") from error


def _decode_item(row: Any) -> KeyedRecord:
    row = json_fields.check_object(row, "item")
    try:
        value = base64.b64decode(
            json_fields.get_string(row, "value"), validate=True
        )
    except (ValueError, binascii.Error) as error:
        raise exceptions.DecodeError(f"item: {error}") from error
    return KeyedRecord(json_fields.get_string(row, "key"), value)


def _split_records(data: bytes) -> Iterator[bytes]:
    """Returns the records in the answer to a read."""
    if len(data) < _READ_HEADER.size:
        raise exceptions.DecodeError("the answer to a read is too short")
    place = _READ_HEADER.size
    while place < len(data):
        if place + _LENGTH_PREFIX.size > len(data):
            raise exceptions.DecodeError("a record is cut")
        (length,) = _LENGTH_PREFIX.unpack_from(data, place)
        place += _LENGTH_PREFIX.size
        if place + length > len(data):
            raise exceptions.DecodeError("a record is cut")
        yield data[place : place + length]
        place += length


def _decode_record(record: bytes) -> KeyedRecord:
    """Splits a record of a keyed topic into key and value."""
    length = record[0] if record else 0
    key = record[1 : 1 + length].decode("utf-8", "replace")
    value = record[1 + length :]
    return KeyedRecord(key, value or None)
