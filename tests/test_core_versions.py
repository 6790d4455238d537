"""Tests what begins under one version of the configuration and ends later."""

import dataclasses

import core_cluster
import core_samples as samples
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings

from quetzalgauge.core import requests

ZONES = ("zone-a", "zone-b")
MODEL_NAMES = [f"m{number}" for number in range(5)]
PATHS = ["/live/1", "/rare/1", "/book/1", "/look/1"]
FAILURES = [
    requests.Failure.CONNECTION_LOST,
    requests.Failure.NOT_LOADED,
    requests.Failure.FULL,
    requests.Failure.UNREACHABLE,
]


def make_version(version, models, memory_mb=140_000.0, adapter_slots=3):
    """Returns a version; without models, the service has no engine."""
    engine = None
    if models:
        engine = samples.make_engine(models, memory_mb, adapter_slots, 8)
    services = [
        samples.configuration.Service(samples.ENGINE_SERVICE, 300, engine),
        samples.configuration.Service(samples.PLAIN_SERVICE, 96),
    ]
    return samples.configuration.Configuration(
        version, samples.ROUTES, services, samples.configuration.CallerLimits()
    )


def make_models():
    return [samples.make_model(name, adapters=4) for name in MODEL_NAMES]


class VersionMachine(stateful.RuleBasedStateMachine):
    """Guards against what was begun under one version and ends under another.

    Versions withdraw models, change them and list them again, at each node at
    another time. Orders are rejected, late or without a response, targets
    restart and leave, and the store comes back from copies. No event may raise
    an exception, each request ends once, no order exceeds the memory of a
    target, and a listed model is served in the end.
    """

    def __init__(self):
        super().__init__()
        self.versions = [make_version(1, make_models())]
        self.read = dict.fromkeys(ZONES, 0)
        self.cluster = core_cluster.Cluster(ZONES, 2, self.versions[0])
        self.requests = []

    def _submit(self, zone, path, model, adapter):
        if path in ("/book/1", "/look/1"):
            model = adapter = None
        self.requests.append(self.cluster.submit(zone, path, model, adapter))

    @stateful.rule(
        zone=strategies.sampled_from(ZONES),
        path=strategies.sampled_from(PATHS),
        model=strategies.sampled_from(MODEL_NAMES),
        adapter=strategies.sampled_from([None, "a1", "a2", "a3", "a4"]),
        count=strategies.sampled_from([1, 1, 3]),
    )
    def submit(self, zone, path, model, adapter, count):
        for _ in range(count):
            self._submit(zone, path, model, adapter)

    @stateful.rule(
        failure=strategies.sampled_from([None, None, *FAILURES]),
        count=strategies.integers(1, 4),
    )
    def end_attempts(self, failure, count):
        for key in self.cluster.list_attempts()[:count]:
            self.cluster.end_attempt(key, failure)

    @stateful.rule(
        models=strategies.dictionaries(
            strategies.sampled_from(MODEL_NAMES),
            strategies.tuples(
                strategies.sampled_from([60_000.0, 60_000.0, 40_000.0, 90_000]),
                strategies.sampled_from([40.0, 500.0]),
                strategies.sampled_from([0, 1, 4]),
                strategies.sampled_from([0.5, 6.0]),
            ),
        ),
        memory_mb=strategies.sampled_from([140_000.0, 140_000.0, 100_000.0]),
        slots=strategies.sampled_from([3, 3, 0, 1]),
        reads=strategies.sets(strategies.sampled_from(ZONES)),
    )
    def write_version(self, models, memory_mb, slots, reads):
        specs = [
            dataclasses.replace(
                samples.make_model(name, size, adapters, load_s, load_s / 2),
                adapter_mb=adapter_mb,
            )
            for name, (size, adapter_mb, adapters, load_s) in models.items()
        ]
        version = len(self.versions) + 1
        self.versions.append(make_version(version, specs, memory_mb, slots))
        for zone in sorted(reads):
            self.read_version(zone)

    @stateful.rule(zone=strategies.sampled_from(ZONES))
    def read_version(self, zone):
        self.cluster.configure(zone, self.versions[-1])

    @stateful.rule(
        mode=strategies.sampled_from(["answered", "slow", "lost", "late"]),
        reports_fail=strategies.sampled_from([False, False, True]),
    )
    def set_modes(self, mode, reports_fail):
        self.cluster.order_mode = mode
        self.cluster.reports_fail = reports_fail

    @stateful.rule()
    def deliver_late_orders(self):
        self.cluster.deliver_late_orders()

    @stateful.rule(
        number=strategies.integers(0, 3), is_away=strategies.booleans()
    )
    def restart_target(self, number, is_away):
        engine = list(self.cluster.engines.values())[number]
        engine.restart()
        if is_away:
            self.cluster.remove(engine)
            self.cluster.run(0.3)
        self.cluster.register([engine])

    @stateful.rule(
        told=strategies.sets(strategies.sampled_from(ZONES)),
        loses_records=strategies.booleans(),
    )
    def restore_store(self, told, loses_records):
        self.cluster.restore_store(sorted(told), loses_records)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 2.0, 6.0]))
    def advance(self, seconds):
        self.cluster.run(seconds)

    @stateful.invariant()
    def no_request_has_ended_twice(self):
        assert max(self.cluster.ends.values(), default=0) <= 1

    def teardown(self):
        self.cluster.order_mode = "answered"
        self.cluster.reports_fail = False
        self.versions.append(make_version(99, make_models()))
        for zone in ZONES:
            self.read_version(zone)
        for _ in range(30):
            for key in self.cluster.list_attempts():
                self.cluster.end_attempt(key)
            self.cluster.run(1.0)
        assert set(self.cluster.ends.values()) <= {1}
        count = len(self.requests)
        while not self.cluster.sent & set(self.requests[count:]):
            assert len(self.requests) < count + 60
            self._submit(ZONES[0], "/rare/1", "m4", None)
            self.cluster.run(0.5)


TestVersions = VersionMachine.TestCase
TestVersions.settings = hypothesis_settings.make_settings(
    max_examples=30,
    stateful_step_count=30,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    report_multiple_bugs=False,
)


def make_cluster(version):
    cluster = core_cluster.Cluster(
        ZONES, 2, make_version(version, make_models())
    )
    cluster.run(2.0)
    return cluster


def test_no_instance_goes_back_to_a_lower_version():
    """Guards against routes of before, which the store may show again.

    An instance that starts then takes what it finds, and the newer version as
    soon as that is written again.
    """
    cluster = make_cluster(5)
    cluster.restore_store(ZONES, True)
    zone = ZONES[0]
    cluster.configure(zone, make_version(3, make_models()[:1]))
    assert cluster.nodes[zone].config.version == 5
    cluster.start_node(zone)
    for version in (3, 5):
        cluster.configure(zone, make_version(version, make_models()))
        assert cluster.nodes[zone].config.version == version


def test_requests_go_on_through_a_restoration():
    """Guards against requests that end since the store lost some seconds."""
    cluster = make_cluster(1)
    keys = [cluster.submit(ZONES[0], "/rare/1", "m0", None) for _ in range(3)]
    cluster.run(1.0)
    cluster.restore_store(ZONES, True)
    cluster.run(1.0)
    assert set(cluster.list_attempts()) == set(keys)
    for key in keys:
        cluster.end_attempt(key)
    assert [cluster.ends[key] for key in keys] == [1, 1, 1]
