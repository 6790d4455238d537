"""What instances and holders tell each other.

A holder gives orders to the targets of an availability zone. Each instance
reports what it waits for and runs there; the holder publishes what its
targets hold. Both messages state the whole of what they touch, so a lost or
repeated one does no harm.
"""

import dataclasses
import datetime
from typing import TypeAlias

from quetzalgauge import ids

# Requests of one wish whose times are told one by one.
MAX_SLACKS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """Requests that wait for a model to be loaded.

    Attributes:
        model: The model.
        waiting: Number of requests.
        slacks: For each of the first ones, the time until its answer is
            later than the caller wants; negative when it is late already.
    """

    model: ids.ModelName
    waiting: int
    slacks: tuple[datetime.timedelta, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemand:
    """Requests wait for an adapter on a target that has its model."""

    target: ids.TargetId
    model: ids.ModelName
    adapter: ids.AdapterName


@dataclasses.dataclass(frozen=True, slots=True)
class RunningCount:
    """Requests of one instance in progress on a target."""

    target: ids.TargetId
    model: ids.ModelName | None
    adapter: ids.AdapterName | None
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an instance waits for and runs in a zone.

    Attributes:
        instance: The sender.
        model_demands: Models that it waits for.
        adapter_demands: Adapters that it waits for.
        running: Requests in progress on the zone's targets.
        arrivals: Requests by model that arrived since the last report.
        adapter_arrivals: Those of them that asked for an adapter.
    """

    instance: ids.InstanceId
    model_demands: tuple[ModelDemand, ...] = ()
    adapter_demands: tuple[AdapterDemand, ...] = ()
    running: tuple[RunningCount, ...] = ()
    arrivals: tuple[tuple[ids.ModelName, int], ...] = ()
    adapter_arrivals: tuple[tuple[ids.ModelName, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaView:
    """A model on a target.

    Attributes:
        model: The model.
        ready_in: Zero or less when it takes requests, otherwise the expected
            time until then.
        is_draining: Whether it takes no new requests.
        is_planned: Whether room for it is still being made.
    """

    model: ids.ModelName
    ready_in: datetime.timedelta
    is_draining: bool = False
    is_planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterView:
    """An adapter on a target; `ready_in` as for models."""

    model: ids.ModelName
    adapter: ids.AdapterName
    ready_in: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """What the holder knows of a target.

    Attributes:
        target: The target.
        incarnation: Its incarnation.
        replicas: Models that are loaded or being loaded.
        adapters: Adapters that are loaded or being loaded.
        busy_for: Expected time until it can take another order.
        running: Requests in progress from all instances.
        fetching_model: The model that it loads from the weight store, if any.
    """

    target: ids.TargetId
    incarnation: int
    replicas: tuple[ReplicaView, ...]
    adapters: tuple[AdapterView, ...]
    busy_for: datetime.timedelta
    running: int
    fetching_model: ids.ModelName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneUpdate:
    """What a holder publishes; `targets` has those that changed.

    Attributes:
        availability_zone: The zone whose targets the holder orders.
        leader: The sender.
        token: Its fencing token.
        is_snapshot: Whether `targets` has every target of the zone.
        time_until_active: Time until the holder may give orders; zero if it
            may, None
            if nothing tells when.
        backlog: Models that wait for a load and have no target yet.
        instance_count: Instances that report to the holder, itself included.
        targets: The targets that changed since the last message.
        removed: Targets that are not ordered by the holder any more.
    """

    availability_zone: ids.AvailabilityZone
    leader: ids.InstanceId
    token: int
    is_snapshot: bool
    time_until_active: datetime.timedelta | None
    backlog: int
    instance_count: int
    targets: tuple[TargetView, ...]
    removed: tuple[ids.TargetId, ...] = ()


Message: TypeAlias = Report | ZoneUpdate
