"""Settings of each program: JSON with comments, checked against a schema."""

import datetime
import pathlib
from typing import Annotated
from typing import Literal

import pydantic

# A duration in the settings file is a number of seconds.
Seconds = Annotated[
    datetime.timedelta, pydantic.Field(ge=datetime.timedelta(0))
]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Address(_Section):
    """A TCP address by IP number."""

    host: str
    port: Port

    def __str__(self) -> str:
        """Returns HOST:PORT."""
        return f"{self.host}:{self.port}"


class Tls(_Section):
    """Certificate, key and certificate authority of a listener, PEM files."""

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path


class Logging(_Section):
    """How a process writes its log to standard error."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["text", "json"] = "text"


class EntrySettings(_Section):
    """Settings of quetzalgauge-entry."""

    instance: str
    entry: str
    availability_zone: str
    region: str
    listen: Address
    operator_listen: Address
    control: Address
    logging: Logging = Logging()
    operator_tls: Tls | None = None
    threads: Annotated[int, pydantic.Field(ge=1, le=2000)] = 256
    max_body_bytes: Annotated[int, pydantic.Field(ge=1)] = 1_048_576
    max_streams: Annotated[int, pydantic.Field(ge=1)] = 200
    queue_limit: Annotated[int, pydantic.Field(ge=0)] = 200
    default_deadline: Seconds = datetime.timedelta(seconds=60)
    max_deadline: Seconds = datetime.timedelta(seconds=600)
    connect_timeout: Seconds = datetime.timedelta(seconds=1)
    target_silence_timeout: Seconds = datetime.timedelta(seconds=15)
    drain_timeout: Seconds = datetime.timedelta(seconds=600)


class ControlSettings(_Section):
    """Settings of quetzalgauge-control."""

    instance: str
    availability_zone: str
    region: str
    peer_listen: Address
    operator_listen: Address
    log_url: str
    instance_list_url: str
    logging: Logging = Logging()
    operator_tls: Tls | None = None
    peer_tls: Tls | None = None
    cold_start_weight: Annotated[float, pydantic.Field(gt=0)] = 10.0
    loads_at_once: Annotated[int, pydantic.Field(ge=1)] = 4
    adapter_loads_at_once: Annotated[int, pydantic.Field(ge=1)] = 30
    lease_duration: Seconds = datetime.timedelta(seconds=10)
    order_linger: Seconds = datetime.timedelta(seconds=120)
    snapshot_interval: Annotated[int, pydantic.Field(ge=1)] = 2000
