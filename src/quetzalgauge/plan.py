"""What the configuration says about replicas, in the form placement needs."""

from collections.abc import Iterator
import dataclasses

from quetzalgauge import catalog as catalog_module
from quetzalgauge import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """What a replica of a model in one version needs.

    Attributes:
        memory_bytes: The model and the memory for its adapters.
    """

    version: ids.VersionName
    checkpoint: str
    memory_bytes: int
    adapter_memory_bytes: int
    priority: int


def spec(
    catalog: catalog_module.Catalog,
    model: ids.ModelName,
    version: ids.VersionName,
) -> Spec | None:
    """Returns what a version needs, None if it is not in the catalog."""
    found = catalog.model(model)
    return None if found is None else _spec(found, version)


def default_spec(
    catalog: catalog_module.Catalog, model: ids.ModelName
) -> Spec | None:
    """Returns what a model's default version needs."""
    found = catalog.model(model)
    return None if found is None else _spec(found, found.default_version)


def max_replicas(
    catalog: catalog_module.Catalog,
    model: ids.ModelName,
    zone: ids.AvailabilityZone,
) -> int:
    """Returns the decided maximum of replicas in a zone."""
    limits = _limits(catalog, model, zone)
    return 0 if limits is None else limits.max_replicas


def min_replicas(
    catalog: catalog_module.Catalog,
    model: ids.ModelName,
    zone: ids.AvailabilityZone,
) -> int:
    """Returns how many replicas are kept loaded in a zone."""
    limits = _limits(catalog, model, zone)
    return 0 if limits is None else limits.min_replicas


def zones(
    catalog: catalog_module.Catalog, model: ids.ModelName
) -> list[ids.AvailabilityZone]:
    """Returns the zones that may have a replica of a model."""
    found = catalog.model(model)
    if found is None:
        return []
    return [
        zone
        for zone, limits in found.availability_zones.items()
        if limits.max_replicas > 0
    ]


def of_zone(
    catalog: catalog_module.Catalog, zone: ids.AvailabilityZone
) -> Iterator[tuple[ids.ModelName, Spec, int, int]]:
    """Yields models of a zone: name, default version, minimum, maximum."""
    for name, model in catalog.models():
        limits = model.availability_zones.get(zone)
        found = _spec(model, model.default_version)
        if limits is not None and found is not None:
            yield name, found, limits.min_replicas, limits.max_replicas


def _limits(
    catalog: catalog_module.Catalog,
    model: ids.ModelName,
    zone: ids.AvailabilityZone,
) -> catalog_module.ReplicaLimits | None:
    found = catalog.model(model)
    return None if found is None else found.availability_zones.get(zone)


def _spec(model: catalog_module.Model, version: ids.VersionName) -> Spec | None:
    found = model.versions.get(version)
    if found is None:
        return None
    return Spec(
        version,
        found.checkpoint,
        found.memory_bytes + found.adapter_memory_bytes,
        found.adapter_memory_bytes,
        model.priority,
    )
