"""Figures of the deployments that are emulated."""

from collections.abc import Sequence
import dataclasses
import datetime
import random

from quetzalgauge import ids
from quetzalgauge.core import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ModelKind:
    """A kind of model.

    Attributes:
        size_mb: Accelerator memory of its weights.
        memory_s: Load from a copy in memory.
        disk_s: Load from a copy on disk.
        pace: Time of a token, as a share of that of the largest model.
        share: Share of this kind among the models.
    """

    size_mb: float
    memory_s: float
    disk_s: float
    pace: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request for a model service.

    Attributes:
        name: The kind.
        per_s: Requests a second over all zones.
        aim_s: Time to the first event that callers want.
        timeout_s: The route's timeout.
        worth: Worth of an answer in time.
        late_worth: Worth of a later one.
        priority: Rank of the route, 0 first.
        attempts: Targets that may run a request.
        resumable: Whether a stream may go on elsewhere.
        prompt_tokens: Mean length of a prompt.
        output_tokens: Mean length of an output.
        busy: Whether it asks for the busy models or the rare ones.
        adapter_share: Share of requests that ask for an adapter.
    """

    name: str
    per_s: float
    aim_s: float
    timeout_s: float
    worth: float
    late_worth: float
    priority: int
    attempts: int
    resumable: bool
    prompt_tokens: float
    output_tokens: float
    busy: bool
    adapter_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Figures of a deployment.

    Attributes:
        name: The deployment.
        zones: Instances and engines in each zone.
        slots: Requests that an engine runs at once.
        queue: Requests that wait at an engine.
        memory_mb: Accelerator memory of an engine.
        adapter_slots: Adapters that an engine holds.
        host_mb: Memory of an engine for copies.
        disk_mb: Disk of an engine for copies.
        store_s: Load from the weight store at full speed.
        store_at_once: Loads from it at full speed.
        store_per_s: Loads from it a second.
        resident: Models on an engine at the start.
        kinds: Kinds of models.
        busy_models: Models that may be busy, with their adapters.
        busy_now: How many of them are busy at a time.
        rare_models: Models that are rarely used.
        requests: Kinds of requests.
        lead_s: From the start to the first request.
    """

    name: str
    zones: Sequence[tuple[int, int]]
    slots: int
    queue: int
    memory_mb: float
    adapter_slots: int
    host_mb: float
    disk_mb: float
    store_s: float
    store_at_once: int
    store_per_s: float
    resident: int
    kinds: Sequence[ModelKind]
    busy_models: Sequence[int]
    busy_now: int
    rare_models: int
    requests: Sequence[RequestKind]
    lead_s: float


_KINDS = (
    ModelKind(42_700.0, 0.44, 0.57, 0.6, 0.3),
    ModelKind(65_100.0, 0.6, 0.78, 0.11, 0.36),
    ModelKind(72_700.0, 0.63, 0.82, 1.0, 0.34),
)

FERREIRA = Deployment(
    "ferreira",
    ((2, 2), (1, 2), (1, 2)),
    48,
    144,
    200_000.0,
    8,
    140_000.0,
    710_000.0,
    6.0,
    4,
    3.9,
    2,
    _KINDS,
    (37, 0, 20, 0, 20),
    2,
    34,
    (
        RequestKind(
            "report",
            18.4,
            0.25,
            12.0,
            1.5,
            0.45,
            2,
            2,
            True,
            543,
            282,
            True,
            0.1,
        ),
        RequestKind(
            "history",
            8.0,
            2.5,
            20.0,
            7.5,
            1.1,
            1,
            1,
            False,
            543,
            282,
            False,
            0.0,
        ),
        RequestKind(
            "label", 16.2, 0.25, 4.0, 1.6, 0.47, 0, 2, True, 291, 48, True, 0.5
        ),
    ),
    12.0,
)

ALLIANCE = dataclasses.replace(
    FERREIRA,
    name="alliance",
    memory_mb=140_000.0,
    host_mb=120_000.0,
    disk_mb=420_000.0,
    store_per_s=4.0,
    resident=1,
    rare_models=18,
    requests=(
        FERREIRA.requests[0],
        dataclasses.replace(
            FERREIRA.requests[1], per_s=6.05, worth=9.9, late_worth=1.5
        ),
        FERREIRA.requests[2],
    ),
)

FERREIRA_GROWN = dataclasses.replace(
    FERREIRA,
    name="ferreira-grown",
    zones=((11, 15), (11, 15), (11, 15)),
    slots=16,
    queue=48,
    disk_mb=470_000.0,
    store_s=10.2,
    store_at_once=2,
    store_per_s=21.0,
    busy_models=tuple([37, 0, 20, 0, 20] * 9),
    busy_now=18,
    rare_models=140,
    requests=(
        dataclasses.replace(
            FERREIRA.requests[0], per_s=82.0, aim_s=0.3, timeout_s=10.0
        ),
        dataclasses.replace(
            FERREIRA.requests[1],
            per_s=35.5,
            timeout_s=17.0,
            worth=15.4,
            late_worth=2.28,
        ),
        dataclasses.replace(
            FERREIRA.requests[2], per_s=94.4, timeout_s=3.0, worth=1.3
        ),
    ),
    lead_s=16.0,
)

ALLIANCE_GROWN = dataclasses.replace(
    ALLIANCE,
    name="alliance-grown",
    zones=((7, 8), (7, 8), (7, 7), (7, 7)),
    slots=24,
    queue=72,
    host_mb=130_000.0,
    disk_mb=210_000.0,
    store_s=10.2,
    store_at_once=2,
    store_per_s=17.0,
    busy_models=tuple([37, 0, 20, 0, 20] * 4),
    busy_now=8,
    rare_models=15,
    requests=(
        dataclasses.replace(ALLIANCE.requests[0], per_s=75.4, worth=2.2),
        dataclasses.replace(
            ALLIANCE.requests[1],
            per_s=9.1,
            timeout_s=25.0,
            worth=57.0,
            late_worth=8.55,
        ),
        dataclasses.replace(ALLIANCE.requests[2], per_s=78.7, worth=0.96),
    ),
    lead_s=16.0,
)

ALL = {
    one.name: one
    for one in (FERREIRA, ALLIANCE, FERREIRA_GROWN, ALLIANCE_GROWN)
}

ENGINE_SERVICE = ids.ServiceName("engines")


@dataclasses.dataclass(frozen=True, slots=True)
class DrawnModel:
    """A model of an emulated deployment."""

    spec: configuration.Model
    pace: float
    is_busy: bool


def draw_models(
    deployment: Deployment, draw: random.Random
) -> list[DrawnModel]:
    """Returns the models of a deployment; the busy ones come first."""
    adapters = list(deployment.busy_models)
    adapters += [0] * deployment.rare_models
    models = []
    for number, count in enumerate(adapters):
        kind = draw.choices(
            deployment.kinds, [one.share for one in deployment.kinds]
        )[0]
        spec = configuration.Model(
            ids.ModelName(f"m{number}"),
            kind.size_mb,
            datetime.timedelta(seconds=deployment.store_s),
            datetime.timedelta(seconds=kind.disk_s),
            datetime.timedelta(seconds=kind.memory_s),
            count,
            40.0,
        )
        is_busy = number < len(deployment.busy_models)
        models.append(DrawnModel(spec, kind.pace, is_busy))
    return models


def make_configuration(
    deployment: Deployment, models: Sequence[DrawnModel]
) -> configuration.Configuration:
    """Returns the configuration that the operator would write."""
    engine = configuration.Engine(
        deployment.slots,
        120_000,
        deployment.memory_mb,
        deployment.adapter_slots,
        deployment.host_mb,
        deployment.disk_mb,
        deployment.store_per_s,
        {one.spec.name: one.spec for one in models},
    )
    routes = [
        configuration.Route(
            ids.RouteName(kind.name),
            "site.example",
            f"/{kind.name}/",
            configuration.RouteKind.STREAM,
            datetime.timedelta(seconds=kind.timeout_s),
            datetime.timedelta(seconds=kind.aim_s),
            kind.attempts,
            kind.priority,
            (configuration.Backend(ENGINE_SERVICE, 1.0),),
            kind.resumable,
            datetime.timedelta(seconds=0.15),
        )
        for kind in deployment.requests
    ]
    service = configuration.Service(ENGINE_SERVICE, 300, engine)
    return configuration.Configuration(
        1, routes, [service], configuration.CallerLimits()
    )
