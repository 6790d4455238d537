"""The configuration in force: routes, services, models and caller limits."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import enum

from quetzalgauge import ids


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"  # May run more than once.
    UNSAFE = "unsafe"  # Runs at most once for each request of a caller.
    STREAM = "stream"  # A stream of events; see `Route.resumable`.


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service that gets a share of a route's requests."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and a path prefix go.

    Attributes:
        name: Name of the route.
        host: Lower-case host name without a port.
        prefix: Path prefix that begins and ends with a slash.
        kind: What may be repeated.
        timeout: Longest time that a caller is kept waiting.
        target_latency: Time to the (first part of the) answer that callers
            want.
        max_attempts: Targets on which one request may run.
        priority: Rank among requests, 0 is the most urgent.
        backends: Services by weight.
        is_resumable: Whether a stream may go on at another target.
        max_gap: Longest pause between events that callers want, or None.
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
    """A model that the targets of a service may load.

    Attributes:
        name: Name of the model.
        size_mb: Accelerator memory of its weights.
        store_load_time: Time of a load from the weight store at full speed.
        disk_load_time: Time of a load from a copy on the target's disk.
        memory_load_time: Time of a load from a copy in the target's memory.
        adapter_count: Number of its adapters.
        adapter_mb: Accelerator memory of one adapter.
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
    """What the targets of a model service can hold and run.

    Attributes:
        slots: Requests that one target runs at once.
        kv_cache_tokens: Tokens that fit into the key-value cache of a target.
        memory_mb: Accelerator memory of a target for weights and adapters.
        adapter_slots: Adapters that a target holds at once.
        host_cache_mb: Host memory of a target for copies of weights.
        disk_cache_mb: Disk of a target for copies of weights.
        max_store_loads_per_s: Loads from the weight store over all targets.
        models: The models by name.
    """

    slots: int
    kv_cache_tokens: int
    memory_mb: float
    adapter_slots: int
    host_cache_mb: float
    disk_cache_mb: float
    max_store_loads_per_s: float
    models: Mapping[ids.ModelName, Model]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service behind the system. `engine` is None for a plain one."""

    name: ids.ServiceName
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


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
        """The version; versions of one deployment grow."""
        return self._version

    @property
    def services(self) -> Mapping[ids.ServiceName, Service]:
        """The services by name."""
        return self._services

    @property
    def limits(self) -> CallerLimits:
        """The limits of callers."""
        return self._limits

    @property
    def route_count(self) -> int:
        """The number of routes."""
        return sum(len(routes) for routes in self._routes.values())

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, None if there is none.

        Args:
            host: The Host header; case and port do not matter.
            path: The path without the query.
        """
        routes = self._routes.get(strip_port(host))
        if routes is None:
            return None
        # Every prefix ends with a slash, so only those ends can match.
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def strip_port(host: str) -> str:
    """Returns the lower-case host name of a Host header."""
    name, colon, port = host.strip().lower().rpartition(":")
    if colon and port.isdigit():
        return name
    return host.strip().lower()
