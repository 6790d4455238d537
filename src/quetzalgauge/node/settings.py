"""Settings of an instance: JSON with comments.

Unknown keys are ignored, since the platform adds some of its own. All missing
and invalid keys are reported together, each with its line.
"""

from collections.abc import Callable
import dataclasses
import datetime
import ipaddress
import json
import pathlib
import re
from typing import Any
from typing import TypeVar

from quetzalgauge import exceptions
from quetzalgauge import findings
from quetzalgauge import ids
from quetzalgauge.node import overload

Value = TypeVar("Value")

_LINE_COMMENT = re.compile(r"^\s*//.*$", re.MULTILINE)
_PORT = re.compile(r"[0-9]{1,5}")


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns IP-ADDRESS:PORT."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an instance.

    Attributes:
        instance: Name of the instance.
        availability_zone: Availability zone of the instance.
        listen: Listening address for callers.
        ready_listen: Listening address for the platform's readiness probes.
        link_listen: Listening address for other instances.
        operator_listen: Listening address for metrics and state dumps.
        store: Address of the platform's store.
        memory_mb: Memory available to the process.
        max_descriptors: File descriptors available to the process.
        retry_ratio: Retries per request, over all instances.
        retry_slack: Additional retries per window, over all instances.
        retry_window: Length of the retry window.
        lease: Time within which orders to one target never come from two
            machines.
        drain_time: Time for which a draining target still accepts requests.
        apply_time: Time within which a configuration must be in force.
        stop_time: Time from SIGTERM to SIGKILL.
        body_timeout: Time in which the whole body of a request has to arrive.
        is_first_start: Whether the whole system has never run before.
    """

    instance: ids.InstanceId
    availability_zone: ids.AvailabilityZone
    listen: Address
    ready_listen: Address
    link_listen: Address
    operator_listen: Address
    store: Address
    memory_mb: float
    max_descriptors: int
    retry_ratio: float
    retry_slack: float
    retry_window: datetime.timedelta
    lease: datetime.timedelta
    drain_time: datetime.timedelta
    apply_time: datetime.timedelta
    stop_time: datetime.timedelta
    body_timeout: datetime.timedelta = overload.DEFAULT_BODY_TIMEOUT
    is_first_start: bool = False


def load(path: pathlib.Path) -> Settings:
    """Reads a settings file.

    Raises:
        exceptions.FindingsError: The file is missing or invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise exceptions.FindingsError([f"{path}: {error}"]) from error
    return parse(text, str(path))


def parse(text: str, source: str) -> Settings:
    """Returns the settings in a text.

    Args:
        text: JSON with comments.
        source: Name of the text in findings.

    Raises:
        exceptions.FindingsError: The settings are invalid; lists all findings.
    """
    try:
        root = json.loads(_LINE_COMMENT.sub("", text))
    except ValueError:
        # The text has comments of another kind, or an error that must be
        # located. The parser with line numbers is imported only here, since it
        # costs start-up time and memory.
        from quetzalgauge import jsonc

        root = jsonc.parse(text, source).value
    reader = _Reader(root)
    settings = _read_settings(reader)
    if reader.errors:
        findings.raise_if_any(_locate_errors(reader.errors, text, source))
    return settings


def _read_settings(reader: "_Reader") -> Settings:
    return Settings(
        ids.InstanceId(reader.get("instance", _parse_text, "")),
        ids.AvailabilityZone(reader.get("availability_zone", _parse_text, "")),
        reader.get("listen", _parse_address, _PLACEHOLDER_ADDRESS),
        reader.get("ready_listen", _parse_address, _PLACEHOLDER_ADDRESS),
        reader.get("link_listen", _parse_address, _PLACEHOLDER_ADDRESS),
        reader.get("operator_listen", _parse_address, _PLACEHOLDER_ADDRESS),
        reader.get("store", _parse_address, _PLACEHOLDER_ADDRESS),
        reader.get("memory_mb", _parse_positive, 1.0),
        int(reader.get("max_descriptors", _parse_positive, 1.0)),
        reader.get("retry_ratio", _parse_number, 0.0),
        reader.get("retry_slack", _parse_number, 0.0),
        reader.get(
            "retry_window_s", _parse_seconds, datetime.timedelta(seconds=1)
        ),
        reader.get(
            "lease_ms", _parse_milliseconds, datetime.timedelta(seconds=1)
        ),
        reader.get(
            "drain_ms", _parse_milliseconds, datetime.timedelta(seconds=1)
        ),
        reader.get(
            "apply_ms", _parse_milliseconds, datetime.timedelta(seconds=1)
        ),
        reader.get(
            "stop_time_s", _parse_seconds, datetime.timedelta(seconds=1)
        ),
        reader.get_optional(
            "body_timeout_s", _parse_seconds, overload.DEFAULT_BODY_TIMEOUT
        ),
        reader.get_optional("first_start", _parse_flag, False),
    )


class _Reader:
    """Reads the keys of an object and collects all errors."""

    def __init__(self, value: Any) -> None:
        self.errors: list[tuple[findings.Path, str]] = []
        self._value = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self.errors.append(((), "the settings must be an object"))

    def get(
        self, key: str, convert: Callable[[Any], Value], default: Value
    ) -> Value:
        if key not in self._value:
            self.errors.append(((key,), "is missing"))
        return self.get_optional(key, convert, default)

    def get_optional(
        self, key: str, convert: Callable[[Any], Value], default: Value
    ) -> Value:
        if key not in self._value:
            return default
        try:
            return convert(self._value[key])
        except ValueError as error:
            self.errors.append(((key,), str(error)))
            return default


def _locate_errors(
    errors: list[tuple[findings.Path, str]], text: str, source: str
) -> list[findings.Finding]:
    from quetzalgauge import jsonc

    lines = jsonc.parse(text, source).lines
    return [
        findings.Finding(source, lines.get(path, 0), path, message)
        for path, message in errors
    ]


_PLACEHOLDER_ADDRESS = Address("127.0.0.1", 1)


def _parse_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("must be a text")
    return value


def _parse_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("must be true or false")
    return value


def _parse_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("must be a number")
    if value < 0:
        raise ValueError("must not be negative")
    return float(value)


def _parse_positive(value: Any) -> float:
    number = _parse_number(value)
    if number <= 0:
        raise ValueError("must be above 0")
    return number


def _parse_seconds(value: Any) -> datetime.timedelta:
    return datetime.timedelta(seconds=_parse_positive(value))


def _parse_milliseconds(value: Any) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=_parse_positive(value))


def _parse_address(value: Any) -> Address:
    host, _, port = _parse_text(value).rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("must be IP-ADDRESS:PORT") from None
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise ValueError("must be IP-ADDRESS:PORT")
    return Address(host, int(port))
