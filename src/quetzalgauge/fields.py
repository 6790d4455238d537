"""Typed access to JSON objects from outside."""

import datetime
import enum
import math
from typing import Any
from typing import TypeVar

from quetzalgauge import exceptions

AnyEnum = TypeVar("AnyEnum", bound=enum.Enum)


def mapping(value: Any, place: str) -> dict[str, Any]:
    """Returns the value if it is an object.

    Raises:
        exceptions.DecodeError: It is not. The other functions raise the same.
    """
    if not isinstance(value, dict):
        raise exceptions.DecodeError(f"{place} is no object")
    return value


def rows(value: dict[str, Any], key: str) -> list[Any]:
    """Returns a list; an absent one is empty."""
    found = value.get(key, [])
    if not isinstance(found, list):
        raise exceptions.DecodeError(f"{key} is no list")
    return found


def text(value: dict[str, Any], key: str, default: str | None = None) -> str:
    """Returns a text; an absent one is an error without a default."""
    found = value.get(key, default)
    if not isinstance(found, str):
        raise exceptions.DecodeError(f"{key} is missing or no text")
    return found


def integer(value: dict[str, Any], key: str, default: int | None = None) -> int:
    """Returns an integer from 0 to 2^63 - 1."""
    found = value.get(key, default)
    if type(found) is not int or not 0 <= found < 2**63:
        raise exceptions.DecodeError(f"{key} is missing or out of range")
    return found


def flag(value: dict[str, Any], key: str, default: bool | None = None) -> bool:
    """Returns a boolean."""
    found = value.get(key, default)
    if not isinstance(found, bool):
        raise exceptions.DecodeError(f"{key} is missing or no boolean")
    return found


def seconds(
    value: dict[str, Any], key: str, default: float | None = None
) -> datetime.timedelta:
    """Returns a number of seconds as a duration of up to a year."""
    found = value.get(key, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise exceptions.DecodeError(f"{key} is missing or no number")
    if not math.isfinite(found) or not 0 <= found <= 86400 * 365:
        raise exceptions.DecodeError(f"{key} is out of range")
    return datetime.timedelta(seconds=found)


def texts(value: dict[str, Any], key: str) -> frozenset[str]:
    """Returns a list of texts as a set; an absent one is empty."""
    found = rows(value, key)
    if not all(isinstance(item, str) for item in found):
        raise exceptions.DecodeError(f"{key} has an item that is no text")
    return frozenset(found)


def member(
    value: dict[str, Any],
    key: str,
    kind: type[AnyEnum],
    default: str | None = None,
) -> AnyEnum:
    """Returns a member of an enum by its value."""
    found = text(value, key, default)
    try:
        return kind(found)
    except ValueError as error:
        raise exceptions.DecodeError(f"unknown {key} {found[:80]!r}") from error
