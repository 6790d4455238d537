"""Tests targets that state in their responses that they will terminate."""

import dataclasses
import time

import core_samples as samples
import faulty_site
import pytest

from quetzalgauge.core import requests
from quetzalgauge.core import targets
from quetzalgauge.platform import headers
from quetzalgauge.standins import faulty_target

SERVICE = "leaving"
END = faulty_target.make_chunk(b"")


def respond(request):
    return [
        faulty_target.make_head(
            request.request_id, Server_Leaving=1, Content_Length=2
        )
        + b"ok"
    ]


def respond_with_error(request):
    return [
        faulty_target.make_head(
            request.request_id, 500, Server_Leaving=1, Content_Length=0
        )
    ]


def reject(request):
    return [
        faulty_target.make_head(
            request.request_id,
            503,
            Not_Run=1,
            Server_Leaving=1,
            Content_Length=0,
        )
    ]


def stream(request):
    head = faulty_target.make_head(
        request.request_id,
        Server_Leaving=1,
        Content_Type="text/event-stream",
        Transfer_Encoding="chunked",
    )
    return [head, faulty_target.make_event(1), 0.2, END]


@pytest.fixture(scope="module")
def site():
    with faulty_site.run_site({"": SERVICE}) as site:
        yield site


@pytest.fixture(scope="module")
def instance(site, tmp_path_factory):
    directory = tmp_path_factory.mktemp("instances")
    with faulty_site.run_instance(site, directory) as instance:
        yield instance


@pytest.mark.process
@pytest.mark.parametrize(
    ("path", "script"),
    [
        ("/ask/1", respond),
        ("/once/1", respond),
        ("/ask/1", respond_with_error),
        ("/once/1", respond_with_error),
        ("/ask/1", reject),
        ("/once/1", reject),
        ("/tell/1", stream),
        ("/show/1", stream),
    ],
)
def test_target_that_states_its_end_gets_no_further_request(
    site, instance, path, script
):
    """Guards against requests to a target that has said that it leaves.

    Its registry entry still says that it is ready.
    """
    number = next(faulty_site.REQUEST_NUMBERS)
    pair = [
        faulty_target.FaultyTarget(f"left-{number}-{side}", SERVICE, "zone-a")
        for side in "ab"
    ]
    leaving, staying = pair
    faulty_site.add_targets(site, instance, pair)
    leaving.script = script
    for _ in range(40):
        faulty_site.fetch(instance, path, faulty_site.make_request_id())
        if leaving.requests:
            break
    assert leaving.requests
    faulty_site.wait_for(
        lambda: instance.dump()["targets"][leaving.name]["leaving"]
    )
    before = len(leaving.requests)
    for _ in range(20):
        faulty_site.fetch(instance, path, faulty_site.make_request_id())
    # Its next heartbeat changes nothing.
    site.store.put("keyed.servers", leaving.name, leaving.registry_entry)
    time.sleep(0.3)
    for _ in range(5):
        faulty_site.fetch(instance, path, faulty_site.make_request_id())
    assert len(leaving.requests) == before
    assert len(staying.requests) >= 25
    for target in pair:
        site.store.put("keyed.servers", target.name, b"")
        target.close()
    faulty_site.wait_for(lambda: not instance.dump()["targets"])


def make_directory():
    directory = targets.Directory()
    update(directory, samples.make_target("t1"))
    return directory


def update(directory, entry):
    directory.update(
        targets.RegistryUpdated((entry,), complete=True), samples.seconds(1)
    )


def test_announcement_outlasts_the_registry_entry():
    """Guards against a target in use again since its entry came back."""
    directory = make_directory()
    incarnation = directory.get("t1").incarnation
    directory.record_leaving(targets.LeavingAnnounced("t1", incarnation))
    directory.update(
        targets.RegistryUpdated((), complete=True), samples.seconds(2)
    )
    update(directory, samples.make_target("t1"))
    assert directory.get("t1").is_draining


def test_target_that_has_started_again_is_used_again():
    """Guards against a restarted target that never gets a request."""
    directory = make_directory()
    entry = directory.get("t1")
    directory.record_leaving(targets.LeavingAnnounced("t1", entry.incarnation))
    restarted = dataclasses.replace(entry, incarnation=entry.incarnation + 1)
    update(directory, dataclasses.replace(restarted, is_draining=False))
    assert not directory.get("t1").is_draining
    # A late response of the earlier process.
    directory.record_leaving(targets.LeavingAnnounced("t1", entry.incarnation))
    assert not directory.get("t1").is_draining


@pytest.mark.parametrize(
    ("value", "expected"),
    [("1", True), (" 1 ", True), ("0", False), ("", False)],
)
def test_only_one_value_states_the_end(value, expected):
    """Guards against a target left for a header that says the opposite."""
    assert headers.is_leaving([("server-leaving", value)]) is expected


def test_queued_requests_go_to_other_targets():
    """Guards against a queue that is sent to a target that has announced."""
    harness = samples.GatewayHarness(
        [samples.make_target(name, slots=1) for name in ("p0", "p1")]
    )
    # Two requests run on each target; the last one is queued.
    *sent, queued = [harness.submit("/book/1") for _ in range(5)]
    assert not queued
    leaving = sent[0][0].target
    incarnation = harness.fleet.directory.get(leaving).incarnation
    harness.fleet.directory.record_leaving(
        targets.LeavingAnnounced(leaving, incarnation)
    )
    sent.sort(key=lambda actions: actions[0].target != leaving)
    results = [
        harness.handle_event(requests.AttemptEnded(send.local_id, None, 200))
        for (send,) in sent
    ]
    assert [len(actions) for actions in results] == [0, 0, 1, 0]
    assert results[2][0].target != leaving
