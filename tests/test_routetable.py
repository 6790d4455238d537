"""Routes and catalog, and what stays of them when control restarts."""

import datetime

import pytest

from quetzalgauge import calls
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import routetable
from quetzalgauge import routing

SERVABLE = routing.Servable(ids.ModelName("m"), ids.VersionName("v1"))
DESK = ids.ServiceName("desk")


def seconds(value):
    return datetime.timedelta(seconds=value)


def update(version, targets, log_reachable=True, **more):
    fields = {
        "catalog_complete": False,
        "models": {},
        "adapters": {},
        "catalog_version": 0,
        **more,
    }
    ready = messages.ReplicaState.READY
    return calls.RoutesReceived(
        routes_version=version,
        replicas=tuple(
            routing.Replica(SERVABLE, one, "x:1", "a", ready, seconds(0), 2)
            for one in targets
        ),
        service_targets=tuple(
            routing.ServiceTarget(DESK, one, "x:1", "a") for one in targets
        ),
        log_reachable=log_reachable,
        **fields,
    )


def replicas(table):
    return [one.target for one in table.replicas.get(SERVABLE, ())]


def services(table):
    return [one.target for one in table.service_targets.get(DESK, ())]


def test_update_replaces_routes_and_keeps_services_known():
    """Guards against work for a target that control no longer names."""
    table = routetable.RouteTable()
    table.update(update(1, ["t1", "t2"]), seconds(0))
    table.update(update(2, ["t2"]), seconds(1))
    assert (replicas(table), services(table)) == (["t2"], ["t2"])
    table.update(update(3, []), seconds(1))
    assert replicas(table) == []
    assert table.service_targets == {DESK: []}


def test_restarted_control_does_not_empty_the_routes():
    """Guards against refusals while control takes its leases again."""
    table = routetable.RouteTable()
    table.update(update(5, ["t1"]), seconds(0))
    table.note_control_lost()
    assert not table.update(update(0, []), seconds(1))
    table.update(update(900, [], log_reachable=False), seconds(2))
    table.end_grace(seconds(4))
    assert (replicas(table), services(table)) == (["t1"], ["t1"])
    table.end_grace(seconds(6))
    assert (replicas(table), services(table)) == (["t1"], [])
    # Without the log it cannot name replicas, however long that takes.
    table.end_grace(seconds(600))
    assert replicas(table) == ["t1"]
    table.update(update(901, ["t2"]), seconds(601))
    table.end_grace(seconds(602))
    assert replicas(table) == ["t2"]


@pytest.mark.parametrize(
    ("name", "found"),
    [
        ("m", (SERVABLE, None)),
        ("m@v1", (SERVABLE, None)),
        ("m@v9", None),
        ("loft", (SERVABLE, "loft")),
        ("loft@v1", None),
        ("gone", None),
        ("", None),
    ],
)
def test_names_stand_for_models_versions_and_adapters(name, found):
    """Guards against a request that reaches another model."""
    table = routetable.RouteTable()
    versions = frozenset([SERVABLE.version])
    model = calls.Model(SERVABLE.model, versions, SERVABLE.version, 5)
    table.update(
        update(
            1,
            [],
            catalog_complete=True,
            catalog_version=1,
            models={SERVABLE.model: model, "gone": model},
            adapters={"loft": SERVABLE.model, "old": SERVABLE.model},
        ),
        seconds(0),
    )
    assert table.list_names() == ["gone", "loft", "m", "old"]
    changes = {"models": {"gone": None}, "adapters": {"old": None}}
    table.update(update(1, [], catalog_version=2, **changes), seconds(0))
    assert table.list_names() == ["loft", "m"]
    assert table.resolve(name) == found
