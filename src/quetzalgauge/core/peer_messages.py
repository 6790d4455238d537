"""Messages between instances and zone leaders.

The leader of an availability zone sends orders to the zone's targets. Each
instance reports its unmet demand and its running requests in the zone to the
leader; the leader publishes the state of its targets. Both messages carry the
complete state of whatever they mention, so a lost or repeated message does no
harm.
"""

import dataclasses
import datetime
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import prompt_quarantine
from quetzalgauge.core import prompt_trials

# Maximum number of slacks in one demand. The leader assumes the last one for
# the remaining requests.
MAX_SLACKS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """Requests of one instance that wait for a model to be loaded.

    Attributes:
        model: The model.
        waiting: Number of waiting requests.
        slacks: Time until the soft deadline of each request, negative if it
            has passed; at most `MAX_SLACKS` of them.
    """

    model: ids.ModelName
    waiting: int
    slacks: tuple[datetime.timedelta, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemand:
    """Requests that wait for an adapter on a target that has its model."""

    target: ids.TargetId
    model: ids.ModelName
    adapter: ids.AdapterName


@dataclasses.dataclass(frozen=True, slots=True)
class RunningCount:
    """Number of running requests of one instance on a target."""

    target: ids.TargetId
    model: ids.ModelName | None
    adapter: ids.AdapterName | None
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Demand and running requests of an instance in one zone.

    Attributes:
        instance: The sender.
        model_demands: Models that requests wait for.
        adapter_demands: Adapters that requests wait for.
        running: Running requests on the zone's targets.
        arrivals: Number of requests by model since the last report.
        adapter_arrivals: Number of these requests that need an adapter.
        offsets: How far the sender has read each topic of the store.
        evidence: Evidence against prompt parts that the sender has changed,
            from time to time all of it, or None.
        trial_wishes: Requests that wait for a trial or are one.
        era: Era of the store that the offsets belong to.
    """

    instance: ids.InstanceId
    model_demands: tuple[ModelDemand, ...] = ()
    adapter_demands: tuple[AdapterDemand, ...] = ()
    running: tuple[RunningCount, ...] = ()
    arrivals: tuple[tuple[ids.ModelName, int], ...] = ()
    adapter_arrivals: tuple[tuple[ids.ModelName, int], ...] = ()
    offsets: tuple[tuple[ids.TopicName, int], ...] = ()
    evidence: tuple[prompt_quarantine.Evidence, ...] | None = None
    trial_wishes: tuple[prompt_trials.TrialWish, ...] = ()
    era: ids.StoreEra = ids.UNNAMED_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaView:
    """State of a model on a target.

    Attributes:
        model: The model.
        ready_in: Expected time until the model takes requests, zero or less
            if it does already.
        is_draining: Whether the replica gets no new requests.
        is_planned: Whether other models must be unloaded before the load
            starts.
    """

    model: ids.ModelName
    ready_in: datetime.timedelta
    is_draining: bool = False
    is_planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterView:
    """State of an adapter on a target; `ready_in` as for `ReplicaView`."""

    model: ids.ModelName
    adapter: ids.AdapterName
    ready_in: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """State of a target as its zone leader knows it.

    Attributes:
        target: The target.
        incarnation: Incarnation of the target.
        replicas: Models that are loaded, being loaded or planned.
        adapters: Adapters that are loaded or being loaded.
        busy_for: Expected time until the target can take another order.
        running: Number of running requests of all instances.
        fetching_model: Model that is being loaded from the weight store, if
            any.
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
    """Snapshot or delta of the state of a zone, published by its leader.

    Attributes:
        availability_zone: The zone.
        leader: The leader of the zone, which sends this message.
        fencing_token: Fencing token of the leader.
        is_snapshot: Whether `targets` has every target of the zone.
        time_until_active: Time until the leader is active, that is, may send
            orders; zero if it is, None if unknown.
        backlog: Number of models in demand that no target of the zone has, is
            loading or is planned to load.
        instance_count: Number of instances that report to the leader, itself
            included.
        targets: Targets whose state has changed since the last message.
        removed: Targets that the leader has stopped managing.
        store_capacity: Estimated number of concurrent loads from the weight
            store at full speed, None if unknown.
        offsets: How far the sender has read each topic of the store.
        evidence: Evidence against prompt parts that has changed, from time to
            time all of it, or None.
        grants: The trials that the leader has granted; None from a leader that
            grants none at all.
        era: Era of the store that the token and the offsets belong to.
    """

    availability_zone: ids.AvailabilityZone
    leader: ids.InstanceId
    fencing_token: int
    is_snapshot: bool
    time_until_active: datetime.timedelta | None
    backlog: int
    instance_count: int
    targets: tuple[TargetView, ...]
    removed: tuple[ids.TargetId, ...] = ()
    store_capacity: int | None = None
    offsets: tuple[tuple[ids.TopicName, int], ...] = ()
    evidence: tuple[prompt_quarantine.Evidence, ...] | None = None
    grants: tuple[prompt_trials.TrialGrant, ...] | None = None
    era: ids.StoreEra = ids.UNNAMED_ERA


Message: TypeAlias = Report | ZoneUpdate
