"""The active configuration: routes, services, models and caller limits."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import enum

from quetzalgauge import ids

# Withdrawn models that are remembered for each service.
MAX_WITHDRAWN_MODELS = 1_000


class RouteKind(enum.Enum):
    """Kind of a route, which decides whether its requests may be retried."""

    SAFE = "safe"  # Idempotent: may run more than once.
    UNSAFE = "unsafe"  # Not idempotent: at most one run per caller request.
    STREAM = "stream"  # Event stream; retryable if the route is resumable.


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service that receives a weighted share of a route's requests."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps requests of a host and a path prefix to services.

    Attributes:
        name: Name of the route.
        host: Lower-case host name without a port.
        prefix: Path prefix that starts and ends with a slash.
        kind: Kind of the route.
        timeout: Maximum time that a caller is kept waiting.
        target_latency: Latency that callers want, up to the first byte of the
            response.
        max_attempts: Maximum number of targets that one request may run on.
        priority: Priority of the requests, 0 is the most urgent.
        backends: Services with their weights.
        is_resumable: Whether a stream can be resumed on another target.
        max_gap: Longest gap between events that callers want, or None.
    """

    name: ids.RouteName
    host: str
    prefix: str
    kind: RouteKind
    timeout: datetime.timedelta
    target_latency: datetime.timedelta
    max_attempts: int
    priority: int
    backends: tuple[Backend, ...]
    is_resumable: bool = False
    max_gap: datetime.timedelta | None = None

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that the targets of a service can load.

    Attributes:
        name: Name of the model.
        size_mb: Accelerator memory that the weights take.
        store_load_time: Duration of a load from the weight store at full speed.
        disk_load_time: Duration of a load from a cached copy on disk.
        memory_load_time: Duration of a load from a cached copy in host memory.
        adapter_count: Number of adapters of the model.
        adapter_mb: Accelerator memory that one adapter takes.
    """

    name: ids.ModelName
    size_mb: float
    store_load_time: datetime.timedelta
    disk_load_time: datetime.timedelta
    memory_load_time: datetime.timedelta
    adapter_count: int
    adapter_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of the inference engines of a service, and their models.

    Attributes:
        slots: Maximum number of concurrent requests on one target.
        kv_cache_tokens: Capacity of a target's key-value cache, in tokens.
        memory_mb: Accelerator memory of a target for weights and adapters.
        adapter_slots: Maximum number of adapters on one target.
        host_cache_mb: Host memory of a target for cached weights.
        disk_cache_mb: Disk space of a target for cached weights.
        max_store_loads_per_s: Maximum rate of loads from the weight store, over
            all targets.
        models: Models by name.
        withdrawn_models: Models that earlier versions had, as they were last.
            Targets may still hold them, or load them for an earlier order.
    """

    slots: int
    kv_cache_tokens: int
    memory_mb: float
    adapter_slots: int
    host_cache_mb: float
    disk_cache_mb: float
    max_store_loads_per_s: float
    models: Mapping[ids.ModelName, Model]
    withdrawn_models: Mapping[ids.ModelName, Model] = dataclasses.field(
        default_factory=dict
    )

    def find_model(self, name: ids.ModelName) -> Model | None:
        """Returns a model that targets may hold, None if it is unknown."""
        return self.models.get(name) or self.withdrawn_models.get(name)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of targets; `engine` is None for a service without models."""

    name: ids.ServiceName
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits of caller requests and timeouts of caller connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


def adapt_route(route: Route, newer: Route) -> Route:
    """Returns the route of a request in progress under a newer version.

    It is the same object if nothing changes.

    It has the time that either of them allows, but is only sent again if both
    allow that.

    Args:
        route: The route of the request so far.
        newer: The route that its host and path now select, of the same kind.
    """
    if newer == route:
        return route
    timeout = max(route.timeout, newer.timeout)
    # Callers wait for events for a multiple of these.
    target_latency = max(route.target_latency, newer.target_latency)
    gaps = [r.max_gap for r in (route, newer) if r.max_gap is not None]
    max_gap = max(gaps, default=None)
    # Both versions must allow another attempt.
    max_attempts = min(route.max_attempts, newer.max_attempts)
    is_resumable = route.is_resumable and newer.is_resumable
    if (timeout, target_latency, max_gap, max_attempts, is_resumable) == (
        route.timeout,
        route.target_latency,
        route.max_gap,
        route.max_attempts,
        route.is_resumable,
    ):
        return route
    return dataclasses.replace(
        route,
        timeout=timeout,
        target_latency=target_latency,
        max_gap=max_gap,
        max_attempts=max_attempts,
        is_resumable=is_resumable,
    )


class Configuration:
    """One version of the configuration."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: CallerLimits,
    ) -> None:
        self._version = version
        self._services = {service.name: service for service in services}
        self._limits = limits
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route

    @property
    def version(self) -> int:
        """The version, which increases with each change in a deployment."""
        return self._version

    @property
    def services(self) -> Mapping[ids.ServiceName, Service]:
        """Services by name."""
        return self._services

    @property
    def limits(self) -> CallerLimits:
        """Limits for requests and connections of callers."""
        return self._limits

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return sum(len(routes) for routes in self._routes.values())

    def retain_models(self, previous: "Configuration") -> "Configuration":
        """Returns this version with the models that it withdraws.

        Args:
            previous: The version before, with the models withdrawn earlier.
        """
        services = [
            _retain_models(service, previous.services.get(service.name))
            for service in self._services.values()
        ]
        routes = [
            route
            for routes_by_prefix in self._routes.values()
            for route in routes_by_prefix.values()
        ]
        return Configuration(self._version, routes, services, self._limits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Value of the Host header; case and port are ignored.
            path: Request path without the query.
        """
        routes = self._routes.get(strip_port(host))
        if routes is None:
            return None
        # Prefixes end with a slash, so only the parts of the path up to a
        # slash can match.
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def _retain_models(service: Service, previous: Service | None) -> Service:
    if service.engine is None or previous is None or previous.engine is None:
        return service
    withdrawn = {
        name: model
        for name, model in (
            *previous.engine.withdrawn_models.items(),
            *previous.engine.models.items(),
        )
        if name not in service.engine.models
    }
    for name in list(withdrawn)[:-MAX_WITHDRAWN_MODELS]:
        del withdrawn[name]
    engine = dataclasses.replace(service.engine, withdrawn_models=withdrawn)
    return dataclasses.replace(service, engine=engine)


def strip_port(host: str) -> str:
    """Returns the host name of a Host header in lower case, without port."""
    name, colon, port = host.strip().lower().rpartition(":")
    if colon and port.isdigit():
        return name
    return host.strip().lower()
