"""Parameters of the emulated deployments."""

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
        size_mb: Accelerator memory of the weights.
        memory_load_s: Seconds to load from a cached copy in host memory.
        disk_load_s: Seconds to load from a cached copy on disk.
        relative_step_time: Duration of a decoding step, relative to that of
            the largest model.
        share: Share of the models that are of this kind.
    """

    size_mb: float
    memory_load_s: float
    disk_load_s: float
    relative_step_time: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request for a model service.

    Attributes:
        name: Name of the kind and of its route.
        requests_per_s: Mean arrival rate over all zones.
        target_latency_s: Target latency of the route, to the first byte.
        timeout_s: Timeout of the route.
        value: Value of a response within the target latency.
        late_value: Value of a later response.
        priority: Priority of the route, 0 is the most urgent.
        max_attempts: Targets on which one request may run.
        is_resumable: Whether another target may resume a stream.
        mean_prompt_tokens: Mean length of a prompt.
        mean_output_tokens: Mean length of an output.
        uses_hot_models: Whether the requests are for hot models, otherwise for
            rare ones.
        adapter_share: Share of the requests for a model with adapters that
            use one.
    """

    name: str
    requests_per_s: float
    target_latency_s: float
    timeout_s: float
    value: float
    late_value: float
    priority: int
    max_attempts: int
    is_resumable: bool
    mean_prompt_tokens: float
    mean_output_tokens: float
    uses_hot_models: bool
    adapter_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Parameters of a deployment.

    Attributes:
        name: Name of the deployment.
        zones: Number of instances and number of engines, for each availability
            zone.
        slots: Requests that an engine runs at once.
        queue_size: Requests that can be queued at an engine.
        memory_mb: Accelerator memory of an engine.
        adapter_slots: Adapters that an engine can have loaded.
        host_cache_mb: Host memory of an engine for cached copies.
        disk_cache_mb: Disk of an engine for cached copies.
        store_load_s: Seconds to load a model from the weight store at full
            speed.
        store_capacity: Concurrent loads that the weight store serves at full
            speed.
        store_loads_per_s: Most loads from the weight store per second, over all
            engines.
        initial_models_per_engine: Models that an engine has loaded at the
            start.
        model_kinds: Kinds of models.
        hot_model_adapter_counts: Number of adapters of each model that can be
            hot.
        hot_model_count: Models that are hot at a time.
        rare_model_count: Number of rarely used models.
        request_kinds: Kinds of requests.
        warm_up_s: Seconds from the start to the first request.
    """

    name: str
    zones: Sequence[tuple[int, int]]
    slots: int
    queue_size: int
    memory_mb: float
    adapter_slots: int
    host_cache_mb: float
    disk_cache_mb: float
    store_load_s: float
    store_capacity: int
    store_loads_per_s: float
    initial_models_per_engine: int
    model_kinds: Sequence[ModelKind]
    hot_model_adapter_counts: Sequence[int]
    hot_model_count: int
    rare_model_count: int
    request_kinds: Sequence[RequestKind]
    warm_up_s: float


_MODEL_KINDS = (
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
    _MODEL_KINDS,
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
    host_cache_mb=120_000.0,
    disk_cache_mb=420_000.0,
    store_loads_per_s=4.0,
    initial_models_per_engine=1,
    rare_model_count=18,
    request_kinds=(
        FERREIRA.request_kinds[0],
        dataclasses.replace(
            FERREIRA.request_kinds[1],
            requests_per_s=6.05,
            value=9.9,
            late_value=1.5,
        ),
        FERREIRA.request_kinds[2],
    ),
)

FERREIRA_GROWN = dataclasses.replace(
    FERREIRA,
    name="ferreira-grown",
    zones=((11, 15), (11, 15), (11, 15)),
    slots=16,
    queue_size=48,
    disk_cache_mb=470_000.0,
    store_load_s=10.2,
    store_capacity=2,
    store_loads_per_s=21.0,
    hot_model_adapter_counts=tuple([37, 0, 20, 0, 20] * 9),
    hot_model_count=18,
    rare_model_count=140,
    request_kinds=(
        dataclasses.replace(
            FERREIRA.request_kinds[0],
            requests_per_s=82.0,
            target_latency_s=0.3,
            timeout_s=10.0,
        ),
        dataclasses.replace(
            FERREIRA.request_kinds[1],
            requests_per_s=35.5,
            timeout_s=17.0,
            value=15.4,
            late_value=2.28,
        ),
        dataclasses.replace(
            FERREIRA.request_kinds[2],
            requests_per_s=94.4,
            timeout_s=3.0,
            value=1.3,
        ),
    ),
    warm_up_s=16.0,
)

ALLIANCE_GROWN = dataclasses.replace(
    ALLIANCE,
    name="alliance-grown",
    zones=((7, 8), (7, 8), (7, 7), (7, 7)),
    slots=24,
    queue_size=72,
    host_cache_mb=130_000.0,
    disk_cache_mb=210_000.0,
    store_load_s=10.2,
    store_capacity=2,
    store_loads_per_s=17.0,
    hot_model_adapter_counts=tuple([37, 0, 20, 0, 20] * 4),
    hot_model_count=8,
    rare_model_count=15,
    request_kinds=(
        dataclasses.replace(
            ALLIANCE.request_kinds[0], requests_per_s=75.4, value=2.2
        ),
        dataclasses.replace(
            ALLIANCE.request_kinds[1],
            requests_per_s=9.1,
            timeout_s=25.0,
            value=57.0,
            late_value=8.55,
        ),
        dataclasses.replace(
            ALLIANCE.request_kinds[2], requests_per_s=78.7, value=0.96
        ),
    ),
    warm_up_s=16.0,
)

FERREIRA_LARGE = dataclasses.replace(
    FERREIRA_GROWN,
    name="ferreira-large",
    zones=((3, 8), (3, 8), (3, 8), (3, 8), (3, 7)),
    disk_cache_mb=480_000.0,
    store_loads_per_s=16.0,
    hot_model_adapter_counts=(106, 0, 29, 0, 21, 0, 17, 0, 15, 0, 13, 0)
    + tuple([12, 0] * 14),
    hot_model_count=16,
    rare_model_count=121,
    request_kinds=(
        dataclasses.replace(
            FERREIRA_GROWN.request_kinds[0],
            requests_per_s=70.9,
            target_latency_s=0.25,
            value=2.2,
            late_value=0.66,
        ),
        dataclasses.replace(
            FERREIRA_GROWN.request_kinds[1],
            requests_per_s=30.7,
            target_latency_s=3.0,
            timeout_s=25.0,
            value=16.0,
            late_value=2.47,
        ),
        dataclasses.replace(
            FERREIRA_GROWN.request_kinds[2],
            requests_per_s=81.9,
            target_latency_s=0.25,
            value=0.91,
            late_value=0.27,
        ),
    ),
)

DEPLOYMENTS_BY_NAME = {
    deployment.name: deployment
    for deployment in (
        FERREIRA,
        ALLIANCE,
        FERREIRA_GROWN,
        ALLIANCE_GROWN,
        FERREIRA_LARGE,
    )
}

ENGINE_SERVICE = ids.ServiceName("engines")


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatedModel:
    """A model of an emulated deployment.

    Attributes:
        spec: The model as in the configuration.
        relative_step_time: Duration of a decoding step, relative to that of
            the largest model.
        is_hot: Whether the model can be hot.
    """

    spec: configuration.Model
    relative_step_time: float
    is_hot: bool


def sample_models(
    deployment: Deployment, rng: random.Random
) -> list[EmulatedModel]:
    """Returns randomly chosen models; those that can be hot come first."""
    adapter_counts = list(deployment.hot_model_adapter_counts)
    adapter_counts += [0] * deployment.rare_model_count
    models = []
    for number, adapter_count in enumerate(adapter_counts):
        kind = rng.choices(
            deployment.model_kinds,
            [model_kind.share for model_kind in deployment.model_kinds],
        )[0]
        spec = configuration.Model(
            ids.ModelName(f"m{number}"),
            kind.size_mb,
            datetime.timedelta(seconds=deployment.store_load_s),
            datetime.timedelta(seconds=kind.disk_load_s),
            datetime.timedelta(seconds=kind.memory_load_s),
            adapter_count,
            40.0,
        )
        is_hot = number < len(deployment.hot_model_adapter_counts)
        models.append(EmulatedModel(spec, kind.relative_step_time, is_hot))
    return models


def make_configuration(
    deployment: Deployment, models: Sequence[EmulatedModel]
) -> configuration.Configuration:
    """Returns the configuration that an operator would write."""
    engine = configuration.Engine(
        deployment.slots,
        120_000,
        deployment.memory_mb,
        deployment.adapter_slots,
        deployment.host_cache_mb,
        deployment.disk_cache_mb,
        deployment.store_loads_per_s,
        {model.spec.name: model.spec for model in models},
    )
    routes = [
        configuration.Route(
            ids.RouteName(kind.name),
            "site.example",
            f"/{kind.name}/",
            configuration.RouteKind.STREAM,
            datetime.timedelta(seconds=kind.timeout_s),
            datetime.timedelta(seconds=kind.target_latency_s),
            kind.max_attempts,
            kind.priority,
            (configuration.Backend(ENGINE_SERVICE, 1.0),),
            kind.is_resumable,
            datetime.timedelta(seconds=0.15),
        )
        for kind in deployment.request_kinds
    ]
    service = configuration.Service(ENGINE_SERVICE, 300, engine)
    return configuration.Configuration(
        1, routes, [service], configuration.CallerLimits()
    )
