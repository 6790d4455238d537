"""Settings of the stand-ins."""

import datetime
from typing import Annotated
from typing import Literal

import pydantic

from quetzalgauge import settings

Positive = Annotated[float, pydantic.Field(gt=0)]
Count = Annotated[int, pydantic.Field(ge=0)]
_LOOPBACK = settings.Address(host="127.0.0.1", port=0)


class StandinSettings(settings.Section):
    """What every stand-in has."""

    listen: settings.Address = _LOOPBACK
    threads: Annotated[int, pydantic.Field(ge=1, le=500)] = 64


class TargetSettings(StandinSettings):
    """What every target has.

    Attributes:
        incarnation: Made up at each start if empty.
        instance_list_url: Where the target registers itself; empty: nowhere.
        advertised: The address in the instance list, for example that of a
            relay. None: the listen address.
    """

    target: str
    service: str
    availability_zone: str
    region: str
    incarnation: str = ""
    instance_list_url: str = ""
    advertised: settings.Address | None = None


class EngineSettings(TargetSettings):
    """Settings of a model engine.

    Attributes:
        cached: Initial tier of checkpoints, by MODEL@VERSION.
        memory_cached_models: How many unloaded checkpoints stay in memory.
        max_running: Requests of one model in one batch.
        max_waiting: Requests of one model that may wait for the batch.
        load_lag: Age at which the reported load is refreshed.
        resume_window: How long a stream without its caller goes on.
        load_give_up: How long a load repeats failed downloads.
    """

    store_url: str = ""
    accelerator_memory_bytes: Annotated[int, pydantic.Field(gt=0)]
    accelerators: Annotated[int, pydantic.Field(gt=0)] = 2
    checks_fencing: bool = True
    cached: dict[str, Literal["memory", "disk"]] = {}
    memory_cached_models: Count = 2
    memory_bytes_per_second: Positive = 50e9
    disk_bytes_per_second: Positive = 10e9
    max_running: Annotated[int, pydantic.Field(gt=0)] = 8
    max_waiting: Count = 32
    tokens_per_second: Positive = 100
    load_lag: settings.Seconds = datetime.timedelta(seconds=1)
    resume_window: settings.Seconds = datetime.timedelta(seconds=1)
    load_give_up: settings.Seconds = datetime.timedelta(seconds=60)


class ServiceSettings(TargetSettings):
    """Settings of a plain service.

    Attributes:
        count_field: Member of a JSON body by which runs are counted.
        work_time: How long a call takes.
    """

    count_field: str = "booking"
    work_time: settings.Seconds = datetime.timedelta(0)


class StoreSettings(StandinSettings):
    """Settings of the weight store."""

    loads_per_second: Positive = 4
    loads_at_once: Annotated[int, pydantic.Field(gt=0)] = 4
    bytes_per_second: Positive = 10e9
    adapters_at_once: Annotated[int, pydantic.Field(gt=0)] = 30
    adapter_time: settings.Seconds = datetime.timedelta(milliseconds=5)


class LogSettings(StandinSettings):
    """Settings of the log service."""

    appends_per_second: Positive = 500
    kept_records: Annotated[int, pydantic.Field(gt=0)] = 100_000


class ListedInstance(settings.Section):
    """An entry of the instance list, as in docs/protocols.md."""

    instance: str
    kind: Literal["target", "system"]
    address: str
    availability_zone: str
    region: str
    state: Literal["live", "leaving"] = "live"
    incarnation: str = ""
    service: str = ""
    service_kind: Literal["models", "plain"] = "models"
    accelerator_memory_bytes: Count = 0
    accelerators: Count = 0
    checks_fencing: bool = False


class InstanceListSettings(StandinSettings):
    """Settings of the instance list."""

    lag: settings.Seconds = datetime.timedelta(0)
    instances: list[ListedInstance] = []


class Forward(settings.Section):
    """One port that a relay forwards."""

    name: str
    target: settings.Address
    listen: settings.Address = _LOOPBACK


class RelaySettings(StandinSettings):
    """Settings of the TCP relay. `listen` is its control path."""

    forwards: list[Forward] = []
