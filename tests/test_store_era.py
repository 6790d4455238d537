"""Tests how an instance learns that the store came back from a copy."""

import queue
import threading

import core_samples as samples
import faulty_site
import pytest
import stubs
import test_topic_consumers

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge.core import election
from quetzalgauge.node import election_client
from quetzalgauge.node import store_era
from quetzalgauge.node import topic_consumers
from quetzalgauge.platform import standin
from quetzalgauge.platform import store
from quetzalgauge.standins import local_cluster

TOPIC = "keyed.op"


class Recorder:
    """A check of eras that records what it reports."""

    def __init__(self):
        self.begun = []
        self.rejected = []
        self.check = store_era.make_era_check(
            lambda previous, era, call: self.begun.append((previous, era)),
            lambda reason, text, call: self.rejected.append(reason),
        )

    def is_accepted(self, text):
        try:
            self.check(text, "GET /log-read")
        except exceptions.OutdatedResponseError:
            return False
        return True


@pytest.mark.parametrize(
    ("texts", "accepted", "begun", "rejected"),
    [
        ([None, None], [True, True], [], []),
        (["3", "3"], [True, True], [], []),
        (["3", "4", "3"], [True, True, False], [(3, 4)], ["outdated"]),
        (["3", None, "3"], [True, False, True], [], ["missing"]),
        (["3", "9", "10"], [True, True, True], [(3, 9), (9, 10)], []),
        ([None, "3"], [True, True], [(-1, 3)], []),
        (["3", "5000", "4"], [True, False, True], [(3, 4)], ["implausible"]),
        (["0", "1"], [True, True], [(0, 1)], []),
        *(
            (["3", odd, "3"], [True, False, True], [], ["invalid"])
            for odd in (
                "x",
                "-4",
                "4.5",
                "",
                "٤",
                "4 ",
                "9" * 5000,
                "1" + "0" * 9 + "1",
            )
        ),
        *(
            ([odd, odd], [True, True], [], ["invalid"] * 2)
            for odd in ("x", "-1")
        ),
    ],
)
def test_eras_of_responses(texts, accepted, begun, rejected):
    """Guards against responses of an earlier era, and against odd ones."""
    recorder = Recorder()
    assert [recorder.is_accepted(text) for text in texts] == accepted
    assert (recorder.begun, recorder.rejected) == (begun, rejected)


@pytest.fixture
def stored():
    """A store that names its era and has some records."""
    stand_in = standin.Store()
    stand_in.era = 1
    for number in range(3):
        stand_in.put(TOPIC, "config", b"version %d" % number)
    stand_in.server.start()
    yield stand_in
    stand_in.server.stop()


def test_a_consumer_begins_again_with_the_newest_records(stored):
    """Guards against records that are missed since an offset came again.

    The copy lacks records that were read; as many others take their offsets.
    """
    recorder = Recorder()
    interrupter = topic_consumers.LongPollInterrupter(recorder.check)
    events = queue.SimpleQueue()
    address = str(stored.server.address)
    batches = test_topic_consumers.start_consumer(
        TOPIC, address, interrupter, events.put
    )
    first = batches.get(timeout=5)
    assert (first.is_snapshot, first.begins_era) == (True, False)
    with stored._lock:
        stored.era = 2
        stored._topics[TOPIC][1:] = [
            ("config", b"other 1"),
            ("config", b"other 2"),
            ("more", b"other 3"),
            ("last", b"other 4"),
        ]
        stored._lock.notify_all()
    batch = batches.get(timeout=5)
    assert (batch.is_snapshot, batch.begins_era) == (True, True)
    values = {item.key: item.value for item in batch.items}
    assert values == {
        "config": b"other 2",
        "more": b"other 3",
        "last": b"other 4",
    }
    assert recorder.begun == [(1, 2)]
    reads = [events.get(timeout=5) for _ in range(2)]
    assert [(read.offset, read.era) for read in reads] == [(3, 1), (5, 2)]


def test_all_readers_begin_again_at_once(stored):
    """Guards against long polls that wait for offsets of an earlier era."""
    begun = threading.Event()
    check = store_era.make_era_check(
        lambda *_: (interrupter.begin_anew(), begun.set()), lambda *_: None
    )
    interrupter = topic_consumers.LongPollInterrupter(check)
    address = str(stored.server.address)
    batches = test_topic_consumers.start_consumer(TOPIC, address, interrupter)
    assert batches.get(timeout=5).is_snapshot
    handle = election_client.make_election_handler(
        address,
        lambda event: None,
        test_topic_consumers.now,
        test_topic_consumers.StubLog(),
        lambda started_at: None,
        check,
    )
    handle(election.ReadOwner(samples.ZONE))
    stored.era = 2
    handle(election.ReadOwner(samples.ZONE))
    assert begun.is_set()
    assert batches.get(timeout=2).begins_era


def test_pages_of_two_eras_are_no_snapshot():
    """Guards against a snapshot that mixes two histories."""
    eras = iter(["1", "2"])

    def respond(*_):
        page = {"items": [{"key": "a", "value": "", "offset": 0}], "end": 1}
        headers = {"Store-Era": next(eras)}
        return 200, {**page, "more": True}, headers

    with (
        stubs.run_http_server(respond) as address,
        pytest.raises(exceptions.OutdatedResponseError),
    ):
        store.StoreClient(address, Recorder().check).read_newest(TOPIC)


def test_results_of_calls_bear_their_era(stored):
    """Guards against a lease that is granted by the wrong era."""
    results = queue.SimpleQueue()
    handle = election_client.make_election_handler(
        str(stored.server.address),
        results.put,
        test_topic_consumers.now,
        test_topic_consumers.StubLog(),
        lambda started_at: None,
        Recorder().check,
    )
    join = election.Join(samples.ZONE, "a", 0, samples.seconds(1))
    record = election.LeaderRecord(
        samples.ZONE, "a", "10.0.0.1:1", 2**20 * 2 + 1, era=ids.StoreEra(1)
    )
    for era, action in enumerate(
        (
            join,
            election.ReadOwner(samples.ZONE),
            election.WriteRecord(record, 0),
            election.ReadRecord(samples.ZONE),
        ),
        1,
    ):
        stored.era = era
        handle(action)
        assert results.get(timeout=5).era == era
    stored.era = 1
    handle(join)
    assert results.get(timeout=5).failed


def test_a_record_keeps_its_era(stored):
    """Guards against a record that counts as one of another era."""
    client = store.StoreClient(str(stored.server.address))
    read = election_client.election_store.read_record
    write = election_client.election_store.write_record
    for era, token in ((ids.UNNAMED_ERA, 4), (ids.StoreEra(7), 2**23 + 4)):
        record = election.LeaderRecord(
            samples.ZONE, "a", "10.0.0.1:1", token, era=era
        )
        assert write(client, record, None)
        assert read(client, samples.ZONE)[0] == record


@pytest.mark.process
def test_odd_eras_end_no_process(tmp_path):
    """Guards against an instance that ends, or follows the store no more."""
    site = standin.Site(["zone-a"], {"m0": standin.ModelSpec()})
    site.store.era = 1
    site.start()
    cluster = local_cluster.LocalCluster(
        tmp_path, str(site.store.server.address), ["zone-a"]
    )
    (instance,) = cluster.instances

    def count(event):
        return instance.log_path.read_text().count(event)

    try:
        cluster.start_all()
        odd_eras = ["x", "-5", "9" * 400, "", "0", None, 10**8]
        for era, odd in enumerate(odd_eras, 2):
            rejected = count("store_response_rejected")
            site.store.era = odd
            faulty_site.wait_for(
                lambda n=rejected: count("store_response_rejected") > n
            )
            site.store.era = era
            faulty_site.wait_for(lambda n=era: count("store_restored") == n - 1)
        site.write_configuration(standin.make_configuration(site.models, 7))
        faulty_site.wait_for(lambda: count('"version": 7'))
        assert instance.process.poll() is None
    finally:
        cluster.kill_all()
        site.stop()
