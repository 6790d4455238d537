"""Typed access to the members of JSON objects received from other systems.

Every function raises exceptions.DecodeError for a value of another type and for
a number out of bounds.
"""

import dataclasses
import datetime
import json
from typing import Any

from quetzalgauge import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The range of a number, both ends included."""

    minimum: int
    maximum: int

    def __contains__(self, number: float) -> bool:
        # False for NaN.
        return self.minimum <= number <= self.maximum


# Integers that every JSON reader keeps exactly. Their successors still fit into
# 64 bits.
INTEGER = Bounds(0, 2**53 - 1)
# Fits into the 32 bits that messages between instances have for it.
COUNT = Bounds(0, 2**31 - 1)
# Unix milliseconds up to the year 2100.
TIMESTAMP_MS = Bounds(0, 4_102_444_800_000)
DURATION_MS = Bounds(0, 24 * 3600 * 1000)


def parse_object(data: bytes, name: str) -> dict[str, Any]:
    """Returns the JSON object in UTF-8 data.

    Raises:
        exceptions.DecodeError: The data is no JSON object, is nested too
            deeply, or has a number that JSON lacks. The message starts with
            `name`.
    """
    try:
        value = json.loads(
            str(data, "utf-8-sig"), parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as error:
        raise exceptions.DecodeError(f"{name}: {error}") from error
    return check_object(value, name)


def _reject_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not JSON")


def check_object(value: Any, name: str) -> dict[str, Any]:
    """Returns the value if it is a JSON object.

    Raises:
        exceptions.DecodeError: It is not an object. The message starts with
            `name`.
    """
    if not isinstance(value, dict):
        raise exceptions.DecodeError(f"{name} is not an object")
    return value


def get_list(json_object: dict[str, Any], key: str) -> list[Any]:
    """Returns a list; a missing member counts as an empty list."""
    items = json_object.get(key, [])
    if not isinstance(items, list):
        raise exceptions.DecodeError(f"{key} is not a list")
    return items


def get_string(
    json_object: dict[str, Any], key: str, default: str | None = None
) -> str:
    """Returns a string; a missing member is an error if there is no default."""
    return check_string(json_object.get(key, default), key)


def check_string(value: Any, name: str) -> str:
    """Returns the value if it is a string that UTF-8 can encode.

    Raises:
        exceptions.DecodeError: It is no string, or has unpaired surrogates. The
            message starts with `name`.
    """
    if not isinstance(value, str):
        raise exceptions.DecodeError(f"{name} is missing or not a string")
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError as error:
            raise exceptions.DecodeError(f"{name}: {error}") from error
    return value


def get_integer(
    json_object: dict[str, Any],
    key: str,
    default: int | None = None,
    bounds: Bounds = INTEGER,
) -> int:
    """Returns an integer within the bounds."""
    member = json_object.get(key, default)
    if type(member) is not int or member not in bounds:
        raise exceptions.DecodeError(
            f"{key} is missing or not an integer from {bounds.minimum}"
            f" to {bounds.maximum}"
        )
    return member


def get_number(
    json_object: dict[str, Any],
    key: str,
    default: float | None = None,
    bounds: Bounds = INTEGER,
) -> float:
    """Returns a number within the bounds, so neither NaN nor infinite."""
    member: Any = json_object.get(key, default)
    is_number = isinstance(member, int | float)
    if not is_number or isinstance(member, bool) or member not in bounds:
        raise exceptions.DecodeError(
            f"{key} is missing or not a number from {bounds.minimum}"
            f" to {bounds.maximum}"
        )
    return float(member)


def get_milliseconds(
    json_object: dict[str, Any], key: str
) -> datetime.timedelta:
    """Returns a duration from an integer of milliseconds, one day at most."""
    return datetime.timedelta(
        milliseconds=get_integer(json_object, key, bounds=DURATION_MS)
    )


def get_boolean(
    json_object: dict[str, Any], key: str, default: bool | None = None
) -> bool:
    """Returns a boolean."""
    member = json_object.get(key, default)
    if not isinstance(member, bool):
        raise exceptions.DecodeError(f"{key} is missing or not a boolean")
    return member
