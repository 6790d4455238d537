"""What entry processes are told: replicas, services and the catalog."""

from typing import Any

from quetzalgauge import context
from quetzalgauge import messages
from quetzalgauge import views as views_module
from quetzalgauge.gen import ttypes

# Versions of a restarted process must differ from those of its predecessor.
_START_BITS = 40
_STEP_BITS = 20


class Routes:
    """The routes as this process knows them, with a version."""

    def __init__(self, ctx: context.Context, views: views_module.Views) -> None:
        self._ctx = ctx
        self._views = views
        self._start = (ctx.random.getrandbits(_START_BITS) << _STEP_BITS) + 1
        self._built = 0
        self._replicas: list[Any] = []
        self._services: list[Any] = []

    @property
    def version(self) -> int:
        """Grows with each change of the routes."""
        changes = self._views.version + self._ctx.membership.changes
        return self._start + changes

    def update(self, report: Any) -> Any:
        """Returns a ttypes.RouteUpdate with what an entry lacks."""
        ctx = self._ctx
        version = self.version
        has_changed = report.routes_version != version
        if has_changed and self._built != version:
            self._build()
        changes = ctx.catalog.changed_since(report.catalog_version)
        return ttypes.RouteUpdate(
            routes_version=version,
            catalog_version=changes.version,
            routes_changed=has_changed,
            replicas=self._replicas if has_changed else [],
            service_targets=self._services if has_changed else [],
            catalog_complete=changes.complete,
            models=[
                _model_entry(name, model)
                for name, model in changes.models.items()
            ],
            adapters=[
                _adapter_entry(name, adapter)
                for name, adapter in changes.adapters.items()
            ],
            log_reachable=ctx.reading.is_reachable,
            services=[
                _service_entry(name, service)
                for name, service in changes.services.items()
            ],
        )

    def _build(self) -> None:
        membership = self._ctx.membership
        self._built = self.version
        self._replicas = [
            replica
            for target, state in self._views.states.items()
            if not membership.is_leaving(target)
            and not membership.is_absent(target)
            for replica in state.replicas
        ]
        self._services = [
            ttypes.ServiceTarget(
                service_name=item.service,
                target=target,
                address=item.address,
                availability_zone=item.availability_zone,
            )
            for target, item in membership.targets.items()
            if item.service_kind is messages.ServiceKind.PLAIN
            and not membership.is_leaving(target)
        ]


def _model_entry(name: str, model: Any) -> Any:
    if model is None:
        return ttypes.ModelEntry(
            model=name,
            versions=[],
            default_version="",
            priority=0,
            removed=True,
        )
    return ttypes.ModelEntry(
        model=name,
        versions=list(model.versions),
        default_version=model.default_version,
        priority=model.priority,
        removed=False,
    )


def _service_entry(name: str, service: Any) -> Any:
    return ttypes.ServiceEntry(
        service_name=name,
        repeatable_paths=[] if service is None else service.repeatable_paths,
        removed=service is None,
    )


def _adapter_entry(name: str, adapter: Any) -> Any:
    if adapter is None:
        return ttypes.AdapterEntry(adapter=name, model="", removed=True)
    return ttypes.AdapterEntry(adapter=name, model=adapter.model, removed=False)
