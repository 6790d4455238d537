"""Typed access to JSON objects from outside."""

from typing import Any

from quetzalgauge import exceptions


def check_object(value: Any, name: str) -> dict[str, Any]:
    """Returns the value if it is an object.

    Raises:
        exceptions.DecodeError: It is not. The other functions raise the same.
    """
    if not isinstance(value, dict):
        raise exceptions.DecodeError(f"{name} is no object")
    return value


def get_list(json_object: dict[str, Any], key: str) -> list[Any]:
    """Returns a list; an absent one is empty."""
    found = json_object.get(key, [])
    if not isinstance(found, list):
        raise exceptions.DecodeError(f"{key} is no list")
    return found


def get_string(
    json_object: dict[str, Any], key: str, default: str | None = None
) -> str:
    """Returns a text; an absent one is an error without a default."""
    found = json_object.get(key, default)
    if not isinstance(found, str):
        raise exceptions.DecodeError(f"{key} is missing or no text")
    return found


def get_integer(
    json_object: dict[str, Any], key: str, default: int | None = None
) -> int:
    """Returns an integer from 0 to 2^63 - 1."""
    found = json_object.get(key, default)
    if type(found) is not int or not 0 <= found < 2**63:
        raise exceptions.DecodeError(f"{key} is missing or out of range")
    return found


def get_boolean(
    json_object: dict[str, Any], key: str, default: bool | None = None
) -> bool:
    """Returns a boolean."""
    found = json_object.get(key, default)
    if not isinstance(found, bool):
        raise exceptions.DecodeError(f"{key} is missing or no boolean")
    return found
