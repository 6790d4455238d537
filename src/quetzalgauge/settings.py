"""Settings of each program: JSON with comments, checked against a schema.

`load` reports every fault of a file at once, each with its line.
"""

from collections.abc import Callable
import datetime
import ipaddress
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar
import urllib.parse

import pydantic

from quetzalgauge import exceptions
from quetzalgauge import findings
from quetzalgauge import jsonc

_DRAIN_MARGIN = datetime.timedelta(seconds=90)
_MAX_SECONDS = 86400.0 * 365


def _seconds(value: Any) -> datetime.timedelta:
    if isinstance(value, datetime.timedelta):
        return value
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("must be a number of seconds, for example 0.25")
    if not 0 <= value <= _MAX_SECONDS:
        raise ValueError(f"must be from 0 to {_MAX_SECONDS:.0f} seconds")
    return datetime.timedelta(seconds=value)


def _ip_number(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError as error:
        raise ValueError("must be an IP number, not a name") from error
    return value


def _file_path(value: Any) -> Any:
    if isinstance(value, str) and value and "\0" not in value:
        return pathlib.Path(value)
    raise ValueError("must be the path of a file")


def _http_url(value: str) -> str:
    try:
        parts = urllib.parse.urlsplit(value)
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError as error:
        raise ValueError("must be http(s)://IP-NUMBER:PORT") from error
    if parts.scheme not in {"http", "https"} or port is None:
        raise ValueError("must be http(s)://IP-NUMBER:PORT")
    return value.rstrip("/")


# A duration in the settings file is a number of seconds.
Seconds = Annotated[datetime.timedelta, pydantic.BeforeValidator(_seconds)]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
IP_NUMBER_RULE = pydantic.AfterValidator(_ip_number)
IpNumber = Annotated[str, IP_NUMBER_RULE]
FilePath = Annotated[pathlib.Path, pydantic.BeforeValidator(_file_path)]
HTTP_URL_RULE = pydantic.AfterValidator(_http_url)
HttpUrl = Annotated[str, HTTP_URL_RULE]
Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=100)
]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000_000)]


def _described(text: str, **more: Any) -> Any:
    return pydantic.Field(description=text, **more)


class Section(pydantic.BaseModel):
    """Base of every schema: unknown keys and wrong types are findings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class Address(Section):
    """A TCP address by IP number."""

    host: IpNumber = _described("IP number.")
    port: Port = _described("Port; 0 takes any free port.")

    def __str__(self) -> str:
        """Returns HOST:PORT, with brackets around an IPv6 number."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Tls(Section):
    """Certificate, key and certificate authority, as PEM files."""

    certificate: FilePath = _described("Certificate chain.")
    key: FilePath = _described("Private key of the certificate.")
    authority: FilePath | None = _described(
        "Certificate authority that must have signed the other side's"
        " certificate; null: the other side needs none.",
        default=None,
    )


class Logging(Section):
    """How a process writes its log to standard error."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = _described(
        "Lowest level that is written.", default="INFO"
    )
    format: Literal["text", "json"] = _described(
        "`text`: one short line; `json`: one object per line.", default="text"
    )


class EntrySettings(Section):
    """Settings of quetzalgauge-entry."""

    instance: Name = _described("Id of the entry instance.")
    entry: Name = _described("Id of this process, unique in the region.")
    availability_zone: Name = _described("Zone of the instance.")
    region: Name = _described("Region of the instance.")
    listen: Address = _described("Listener for callers.")
    operator_listen: Address = _described("Listener for operators.")
    control: Address = _described(
        "`control_listen` of the control process of the same instance."
    )
    logging: Logging = _described("Log output.", default=Logging())
    listen_tls: Tls | None = _described(
        "TLS of `listen`; required beyond loopback.", default=None
    )
    operator_tls: Tls | None = _described(
        "TLS of `operator_listen`; required beyond loopback.", default=None
    )
    threads: Annotated[int, pydantic.Field(ge=1, le=2000)] = _described(
        "Requests handled at once.", default=256
    )
    max_body_bytes: Count = _described(
        "Longest request body, in bytes.", default=1_048_576
    )
    max_streams: Count = _described("Streams open at once.", default=200)
    queue_limit: Annotated[int, pydantic.Field(ge=0)] = _described(
        "Waiting requests per model.", default=200
    )
    default_deadline: Seconds = _described(
        "Deadline of a request without `X-Deadline-Ms`.",
        default=datetime.timedelta(seconds=60),
    )
    max_deadline: Seconds = _described(
        "Longest deadline; a later one is shortened to it.",
        default=datetime.timedelta(seconds=600),
    )
    connect_timeout: Seconds = _described(
        "Longest wait for a connection to a target.",
        default=datetime.timedelta(seconds=1),
    )
    target_silence_timeout: Seconds = _described(
        "Longest silence of a target during an answer.",
        default=datetime.timedelta(seconds=15),
    )
    drain_timeout: Seconds = _described(
        "Longest wait for requests in progress during a graceful shutdown.",
        default=datetime.timedelta(seconds=600),
    )


class ControlSettings(Section):
    """Settings of quetzalgauge-control."""

    instance: Name = _described("Id of the entry instance.")
    availability_zone: Name = _described("Zone of the instance.")
    region: Name = _described("Region of the instance.")
    control_listen: Address = _described(
        "Listener for the entry processes of this instance; loopback only."
    )
    peer_listen: Address = _described("Listener for other control processes.")
    operator_listen: Address = _described("Listener for operators.")
    log_url: HttpUrl = _described("Root of the platform's log service.")
    instance_list_url: HttpUrl = _described(
        "Root of the platform's instance list."
    )
    logging: Logging = _described("Log output.", default=Logging())
    operator_tls: Tls | None = _described(
        "TLS of `operator_listen`; required beyond loopback.", default=None
    )
    peer_tls: Tls | None = _described(
        "Mutual TLS between control processes; required beyond loopback.",
        default=None,
    )
    cold_start_weight: Annotated[float, pydantic.Field(gt=0, le=1e6)] = (
        _described(
            "Weight of a reload against idle accelerator time; larger keeps"
            " models loaded longer.",
            default=10.0,
        )
    )
    warm_checkpoints: bool = _described(
        "Load each model once while the region is quiet, so that a target has"
        " its checkpoint cached.",
        default=True,
    )
    loads_at_once: Count = _described(
        "Loads from the weight store at once, in the whole region.", default=4
    )
    adapter_loads_at_once: Count = _described(
        "Adapter loads at once, in the whole region.", default=30
    )
    lease_duration: Seconds = _described(
        "Time without renewal after which a target may be claimed.",
        default=datetime.timedelta(seconds=10),
    )
    order_linger: Seconds = _described(
        "Time after which an order whose answer is missing cannot arrive.",
        default=datetime.timedelta(seconds=120),
    )
    snapshot_interval: Count = _described(
        "Records of a stream between two snapshots.", default=2000
    )
    drain_timeout: Seconds = _described(
        "Longest wait for the hand-over during a graceful shutdown; at least"
        " 90 s above `order_linger`.",
        default=datetime.timedelta(seconds=240),
    )


AnySettings = TypeVar("AnySettings", bound=Section)


def load(path: pathlib.Path, schema: type[AnySettings]) -> AnySettings:
    """Reads and checks a settings file.

    Raises:
        exceptions.FindingsError: The file cannot be read or has faults.
    """
    try:
        text = path.read_bytes().decode("utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        raise exceptions.FindingsError([f"{path}: {reason}"]) from error
    except UnicodeDecodeError as error:
        raise exceptions.FindingsError([f"{path}: not UTF-8"]) from error
    return parse(text, str(path), schema)


def parse(text: str, source: str, schema: type[AnySettings]) -> AnySettings:
    """Checks a settings text; `source` names it in findings.

    Raises:
        exceptions.FindingsError: The text has faults. Carries all of them.
    """
    document = jsonc.parse(text, source)
    found = list(document.duplicates)
    result = None
    try:
        result = schema.model_validate(document.value)
    except pydantic.ValidationError as error:
        found += [_schema_finding(document, row) for row in error.errors()]
    found += [
        findings.Finding(source, document.line(place), place, message)
        for check in _CHECKS
        for place, message in check(document.value, result)
    ]
    findings.raise_if_any(found)
    assert result is not None
    return result


def _schema_finding(document: jsonc.Document, row: Any) -> findings.Finding:
    path = tuple(row["loc"])
    message = row["msg"].removeprefix("Value error, ")
    if row["type"] == "extra_forbidden":
        message = "unknown key"
    elif row["type"] == "missing":
        message = "missing key"
    return findings.Finding(document.source, document.line(path), path, message)


_Check = Callable[[Any, Any], list[tuple[findings.Path, str]]]


def _addresses(value: Any) -> list[tuple[str, str, int]]:
    """Returns key, host and port of each listener that has a valid form.

    Works on the raw value, so that clashes are reported together with
    findings about other keys.
    """
    if not isinstance(value, dict):
        return []
    rows = []
    for key, address in value.items():
        if not (key == "listen" or key.endswith("_listen")):
            continue
        if not isinstance(address, dict):
            continue
        host, port = address.get("host"), address.get("port")
        if isinstance(host, str) and type(port) is int:
            rows.append((key, host, port))
    return rows


def _ip_or_none(host: str) -> Any:
    try:
        return ipaddress.ip_address(host)
    except ValueError:
        return None


def _check_ports(value: Any, _: Any) -> list[tuple[findings.Path, str]]:
    seen: list[tuple[str, str, int]] = []
    found: list[tuple[findings.Path, str]] = []
    for key, host, port in _addresses(value):
        for other_key, other_host, other_port in seen:
            if port and port == other_port and _overlap(host, other_host):
                found.append(((key, "port"), f"also used by {other_key}"))
        seen.append((key, host, port))
    return found


def _overlap(host: str, other: str) -> bool:
    first, second = _ip_or_none(host), _ip_or_none(other)
    if first is None or second is None:
        return False
    return first == second or first.is_unspecified or second.is_unspecified


def _check_tls(value: Any, _: Any) -> list[tuple[findings.Path, str]]:
    found: list[tuple[findings.Path, str]] = []
    for key, host, _port in _addresses(value):
        ip = _ip_or_none(host)
        if ip is None or ip.is_loopback:
            continue
        tls_key = _TLS_KEYS.get(key)
        if tls_key is None:
            found.append(((key, "host"), "must be a loopback address"))
        elif not value.get(tls_key):
            message = f"beyond loopback needs {tls_key}"
            found.append(((key, "host"), message))
    return found


# A listener without an entry here may only be on loopback.
_TLS_KEYS = {
    "listen": "listen_tls",
    "operator_listen": "operator_tls",
    "peer_listen": "peer_tls",
}


def _check_peer_host(value: Any, _: Any) -> list[tuple[findings.Path, str]]:
    found: list[tuple[findings.Path, str]] = []
    for key, host, _port in _addresses(value):
        ip = _ip_or_none(host)
        if key == "peer_listen" and ip is not None and ip.is_unspecified:
            # The log and the peers get this address.
            message = "must be the address that peers connect to"
            found.append(((key, "host"), message))
    return found


def _check_peer_authority(
    value: Any, result: Any
) -> list[tuple[findings.Path, str]]:
    if not isinstance(result, ControlSettings) or result.peer_tls is None:
        return []
    if result.peer_tls.authority is not None:
        return []
    # Peers check each other, so that nobody else can hand over state.
    return [(("peer_tls", "authority"), "missing key")]


def _check_deadlines(_: Any, result: Any) -> list[tuple[findings.Path, str]]:
    if not isinstance(result, EntrySettings):
        return []
    if result.default_deadline <= result.max_deadline:
        return []
    return [(("default_deadline",), "must not exceed max_deadline")]


def _check_drain(_: Any, result: Any) -> list[tuple[findings.Path, str]]:
    if not isinstance(result, ControlSettings):
        return []
    # The core waits for answers of orders up to 60 s above order_linger. An
    # earlier end would leave its fencing numbers open.
    if result.drain_timeout >= result.order_linger + _DRAIN_MARGIN:
        return []
    return [(("drain_timeout",), "must be 90 s or more above order_linger")]


def _check_timeouts(_: Any, result: Any) -> list[tuple[findings.Path, str]]:
    found: list[tuple[findings.Path, str]] = []
    if result is None:
        return found
    for key in _POSITIVE_KEYS:
        if getattr(result, key, None) == datetime.timedelta(0):
            found.append(((key,), "must be above 0"))
    return found


_POSITIVE_KEYS = (
    "connect_timeout",
    "default_deadline",
    "lease_duration",
    "max_deadline",
    "target_silence_timeout",
)
_CHECKS: tuple[_Check, ...] = (
    _check_ports,
    _check_tls,
    _check_peer_host,
    _check_peer_authority,
    _check_deadlines,
    _check_drain,
    _check_timeouts,
)
