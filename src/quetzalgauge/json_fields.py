"""Typed access to the members of JSON objects received from other systems.

Every function raises exceptions.DecodeError for a value of another type.
"""

from typing import Any

from quetzalgauge import exceptions


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
    member = json_object.get(key, default)
    if not isinstance(member, str):
        raise exceptions.DecodeError(f"{key} is missing or not a string")
    return member


def get_integer(
    json_object: dict[str, Any], key: str, default: int | None = None
) -> int:
    """Returns an integer from 0 to 2^63 - 1."""
    member = json_object.get(key, default)
    if type(member) is not int or not 0 <= member < 2**63:
        raise exceptions.DecodeError(
            f"{key} is missing or not an integer from 0 to 2^63 - 1"
        )
    return member


def get_boolean(
    json_object: dict[str, Any], key: str, default: bool | None = None
) -> bool:
    """Returns a boolean."""
    member = json_object.get(key, default)
    if not isinstance(member, bool):
        raise exceptions.DecodeError(f"{key} is missing or not a boolean")
    return member
