"""Routes and catalog of an entry process, as control sent them."""

import datetime

from quetzalgauge import calls
from quetzalgauge import ids
from quetzalgauge import routing

# A restarted control process registers in the log and takes its leases again
# before it names replicas. For this time after its first routes, and as long
# as it cannot reach the log, those that it does not name are kept.
REPLICA_GRACE = datetime.timedelta(seconds=10)
# It knows plain services as soon as it has read the instance list.
SERVICE_GRACE = datetime.timedelta(seconds=3)


class RouteTable:
    """The last routes and catalog. They stay when control is away.

    Attributes:
        replicas: Replicas by model and version.
        service_targets: Targets by plain service.
        models: The catalog's models.
        adapters: The model of each adapter.
        services: Repeatable paths of each plain service of the catalog.
        routes_version: 0 if no routes were received yet.
        catalog_version: 0 if no catalog was received yet.
        received_at: Time of the routes, for `ready_in` of replicas.
        log_reachable: Whether control reaches the log.
    """

    def __init__(self) -> None:
        self.replicas: dict[routing.Servable, list[routing.Replica]] = {}
        self.service_targets: dict[
            ids.ServiceName, list[routing.ServiceTarget]
        ] = {}
        self.models: dict[ids.ModelName, calls.Model] = {}
        self.adapters: dict[ids.AdapterName, ids.ModelName] = {}
        self.services: dict[ids.ServiceName, frozenset[str]] = {}
        self.routes_version = 0
        self.catalog_version = 0
        self.received_at = datetime.timedelta()
        self.log_reachable = False
        self._names: list[str] | None = None
        self._grace_pending = False
        self._replica_grace: datetime.timedelta | None = None
        self._service_grace: datetime.timedelta | None = None
        self._latest: calls.RoutesReceived | None = None

    def list_names(self) -> list[str]:
        """Returns the names of all models and adapters, sorted."""
        if self._names is None:
            self._names = sorted([*self.models, *self.adapters])
        return self._names

    def resolve(
        self, name: str
    ) -> tuple[routing.Servable, ids.AdapterName | None] | None:
        """Returns what MODEL, MODEL@VERSION or ADAPTER stands for."""
        model_name, _, version = name.partition("@")
        adapter = None
        if name not in self.models and name in self.adapters:
            adapter = ids.AdapterName(name)
            model_name, version = self.adapters[adapter], ""
        model = self.models.get(ids.ModelName(model_name))
        if model is None:
            return None
        wanted = ids.VersionName(version) or model.default_version
        if wanted not in model.versions:
            return None
        return routing.Servable(model.name, wanted), adapter

    def note_control_lost(self) -> None:
        """Notes that the control process does not answer."""
        self.log_reachable = False
        self._grace_pending = True

    def update(
        self, event: calls.RoutesReceived, now: datetime.timedelta
    ) -> bool:
        """Takes an update; returns whether the routes changed."""
        self.log_reachable = event.log_reachable
        # A control process that has just started knows neither catalog nor
        # routes and says so with version 0.
        if event.catalog_version > 0:
            self._update_catalog(event)
            self.catalog_version = event.catalog_version
        if event.routes_version <= 0:
            return False
        self.routes_version = event.routes_version
        if event.replicas is None:
            return False
        if self._grace_pending:
            self._grace_pending = False
            self._replica_grace = now + REPLICA_GRACE
            self._service_grace = now + SERVICE_GRACE
        self._latest = event
        self._apply(event, now)
        return True

    def end_grace(self, now: datetime.timedelta) -> None:
        """Drops what a restarted control process has not named in time."""
        before = (self._replica_grace, self._service_grace)
        if (
            self._replica_grace is not None
            and now >= self._replica_grace
            and self.log_reachable
        ):
            self._replica_grace = None
        if self._service_grace is not None and now >= self._service_grace:
            self._service_grace = None
        changed = before != (self._replica_grace, self._service_grace)
        if changed and self._latest is not None:
            self._apply(self._latest, now)

    def _apply(
        self, event: calls.RoutesReceived, now: datetime.timedelta
    ) -> None:
        old_replicas = self.replicas
        old_targets = self.service_targets
        self.received_at = now
        self.replicas = {}
        # A service stays known when its last target has gone, so that
        # callers learn that it is away and not that it never existed.
        self.service_targets = {service: [] for service in old_targets}
        for replica in event.replicas or ():
            self.replicas.setdefault(replica.servable, []).append(replica)
        for one in event.service_targets or ():
            self.service_targets.setdefault(one.service, []).append(one)
        if self._replica_grace is not None:
            self._keep_replicas(old_replicas)
        if self._service_grace is not None:
            self._keep_services(old_targets)

    def _keep_replicas(
        self, replicas: dict[routing.Servable, list[routing.Replica]]
    ) -> None:
        for servable, old in replicas.items():
            new = self.replicas.setdefault(servable, [])
            known = {replica.target for replica in new}
            new += [one for one in old if one.target not in known]

    def _keep_services(
        self, targets: dict[ids.ServiceName, list[routing.ServiceTarget]]
    ) -> None:
        for service, old in targets.items():
            new = self.service_targets.setdefault(service, [])
            known = {one.target for one in new}
            new += [one for one in old if one.target not in known]

    def _update_catalog(self, event: calls.RoutesReceived) -> None:
        if event.catalog_complete or event.models or event.adapters:
            self._names = None
        if event.catalog_complete:
            self.models.clear()
            self.adapters.clear()
            self.services.clear()
        for name, model in event.models.items():
            if model is None:
                self.models.pop(name, None)
            else:
                self.models[name] = model
        for adapter, of_model in event.adapters.items():
            if of_model is None:
                self.adapters.pop(adapter, None)
            else:
                self.adapters[adapter] = of_model
        for service, paths in event.services.items():
            if paths is None:
                self.services.pop(service, None)
            else:
                self.services[service] = paths
