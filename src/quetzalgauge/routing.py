"""Chooses a target for a request."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import hashlib
import random
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Servable:
    """A model in one version."""

    model: ids.ModelName
    version: ids.VersionName


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """A replica of a model on a target, as control reports it."""

    servable: Servable
    target: ids.TargetId
    address: str
    availability_zone: ids.AvailabilityZone
    state: messages.ReplicaState
    ready_in: datetime.timedelta
    max_running: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A target of a plain service."""

    service: ids.ServiceName
    target: ids.TargetId
    address: str
    availability_zone: ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get the request now."""

    target: ids.TargetId
    address: str
    availability_zone: ids.AvailabilityZone


# Chooses among candidates; None if there is none. The arguments are the
# candidates, targets to avoid if there are others, the local counts of
# requests in flight, and the adapter or None.
Router: TypeAlias = Callable[
    [
        Sequence[Candidate],
        Collection[ids.TargetId],
        Mapping[ids.TargetId, int],
        ids.AdapterName | None,
    ],
    Candidate | None,
]


def rendezvous_weight(adapter: ids.AdapterName, target: ids.TargetId) -> bytes:
    """Returns the weight of a target for an adapter; the largest wins."""
    text = f"{adapter}\0{target}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def make_router(
    availability_zone: ids.AvailabilityZone, generator: random.Random
) -> Router:
    """Returns a router for an entry process of an availability zone."""

    def choose_by_load(
        candidates: Sequence[Candidate],
        in_flight: Mapping[ids.TargetId, int],
    ) -> Candidate:
        # Two random choices avoid that every entry process sends to the one
        # target that looks least loaded.
        pair = candidates
        if len(candidates) > 2:
            pair = generator.sample(candidates, 2)
        elif len(candidates) == 2 and generator.random() < 0.5:
            pair = (candidates[1], candidates[0])
        return min(pair, key=lambda one: in_flight.get(one.target, 0))

    def choose_by_adapter(
        candidates: Sequence[Candidate], adapter: ids.AdapterName
    ) -> Candidate:
        return max(
            candidates,
            key=lambda one: rendezvous_weight(adapter, one.target),
        )

    def route(
        candidates: Sequence[Candidate],
        avoid: Collection[ids.TargetId],
        in_flight: Mapping[ids.TargetId, int],
        adapter: ids.AdapterName | None,
    ) -> Candidate | None:
        others = [one for one in candidates if one.target not in avoid]
        allowed = others or list(candidates)
        if not allowed:
            return None
        near = [
            one for one in allowed if one.availability_zone == availability_zone
        ]
        allowed = near or allowed
        if adapter is not None:
            return choose_by_adapter(allowed, adapter)
        return choose_by_load(allowed, in_flight)

    return route
