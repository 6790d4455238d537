"""Tests that an instance notices when it reads less than its peers.

The load is an instance whose long poll delivers nothing any more while the
topic grows, in a fleet whose other instances read on.
"""

import random

import core_samples as samples
import pytest

from quetzalgauge import ids
from quetzalgauge.core import election
from quetzalgauge.core import gateway
from quetzalgauge.core import node
from quetzalgauge.core import peer_messages
from quetzalgauge.core import read_progress
from quetzalgauge.node import codec

CONFIG, REGISTRY = "keyed.op", "keyed.servers"
MAX_LAG = read_progress.MAX_LAG
SECOND = samples.seconds(1)


def make_progress():
    progress = read_progress.ReadProgress()
    progress.record_read(CONFIG, 7, samples.seconds(0), samples.seconds(0))
    return progress


def test_a_read_that_stays_behind_a_peer_is_renewed():
    progress = make_progress()
    progress.record_peer({CONFIG: 8}, SECOND)
    assert progress.take_overdue(SECOND) == []
    assert progress.take_overdue(SECOND + MAX_LAG) == [CONFIG]
    assert progress.take_overdue(SECOND + 2 * MAX_LAG) == []
    retry_at = SECOND + MAX_LAG + read_progress.RENEWAL_INTERVAL
    assert progress.take_overdue(retry_at) == [CONFIG]


def test_a_read_that_catches_up_in_time_is_left_alone():
    progress = make_progress()
    progress.record_peer({CONFIG: 8, "unknown": 3}, SECOND)
    progress.record_read(CONFIG, 8, samples.seconds(0), SECOND)
    assert progress.take_overdue(20 * SECOND) == []


def test_a_topic_that_peers_read_at_another_time_is_not_renewed():
    """Guards against needless reads of a topic that changes all the time.

    Each instance reads the registry once a second, each at another moment, so
    some peer is always ahead.
    """
    progress = read_progress.ReadProgress()
    for tick in range(200):
        now = tick * SECOND / 10
        if tick % 10 == 0:
            progress.record_read(REGISTRY, tick, SECOND, now)
        progress.record_peer({REGISTRY: tick}, now)
        assert progress.take_overdue(now) == []


def test_an_instance_renews_its_read_within_the_time_for_configurations():
    """Guards against CONFIG after a lost response, whatever lost it.

    Instance qg-2 leads the zone and has read a version that this instance has
    not. No call to the store fails. Seen on large trouble-1.
    """
    instance = node.Node(
        node.Identity("qg-1", "m1", samples.ZONE, "10.0.0.1:1"),
        gateway.Limits(100, 0.2, 52, 10 * SECOND),
        3 * SECOND,
        random.Random(1),
        samples.seconds(0),
    )
    instance.handle_event(
        node.LeaderRecordsRead(
            (election.LeaderRecord(samples.ZONE, "m2", "10.0.0.2:1", 4),)
        ),
        samples.seconds(0),
    )
    instance.handle_event(
        node.TopicRead(CONFIG, 7, samples.seconds(0)), samples.seconds(0)
    )
    update = peer_messages.ZoneUpdate(
        samples.ZONE, "qg-2", 4, True, None, 0, 2, (), offsets=((CONFIG, 8),)
    )
    received = node.MessageReceived(
        samples.ZONE, codec.decode(codec.encode(update))
    )
    renewed_at = None
    for tick in range(1, 100):
        now = tick * SECOND / 20
        event = received if tick == 1 else node.Tick()
        if node.RenewRead(CONFIG) in instance.handle_event(event, now):
            renewed_at = renewed_at or now
    assert renewed_at is not None
    # The strictest deployment wants a configuration in force after 2 s. A peer
    # tells what it has read every 0.5 s; the read itself takes milliseconds.
    assert renewed_at + node.HEARTBEAT_INTERVAL < 2 * SECOND


def test_messages_of_older_builds_have_no_offsets():
    report = codec.decode(codec.encode(peer_messages.Report("qg-2")))
    assert report.offsets == ()


def test_an_instance_that_is_told_nothing_reads_with_short_polls():
    """Guards against a configuration that no instance reads for 25 s.

    The store missed to respond to the polls of all instances.
    """
    progress = read_progress.ReadProgress()
    start = samples.seconds(10)
    progress.record_read(CONFIG, 7, samples.seconds(0), start)
    assert progress.take_poll_changes(start) == []
    progress.record_confirmation({CONFIG: 7, REGISTRY: 3}, start)
    assert progress.take_poll_changes(start) == [(CONFIG, False)]
    later = start + read_progress.MAX_SILENCE
    assert progress.get_ages(later) == {CONFIG: read_progress.MAX_SILENCE}
    assert progress.take_poll_changes(later) == [(CONFIG, True)]
    assert progress.take_poll_changes(later) == []


def make_leader(zone, now):
    instance = node.Node(
        node.Identity("qg-1", "m1", zone, "10.0.0.1:1"),
        gateway.Limits(100, 0.2, 52, 10 * SECOND),
        3 * SECOND,
        random.Random(1),
        samples.seconds(0),
    )
    events = [node.LeaderRecordsRead(()), *[node.Tick()] * 9]
    while events:
        for action in instance.handle_event(events.pop(0), now):
            match action:
                case election.Join():
                    events.append(election.JoinResult(now, 1, True))
                case election.ReadOwner():
                    events.append(election.ReadOwnerResult(None))
                case election.ReadRecord():
                    events.append(election.ReadRecordResult(None))
                case election.WriteRecord():
                    events.append(election.WriteRecordResult(action.record))
    return instance


def test_leaders_do_not_rely_on_each_other():
    """Guards against a topic that no instance reads with short polls."""
    now = samples.seconds(10)
    instance = make_leader("zone-b", now)
    instance.handle_event(node.TopicRead(CONFIG, 7, 0 * SECOND), now)
    for zone, expected in (
        ("zone-c", []),
        ("zone-a", [node.SetPolls(CONFIG, False)]),
    ):
        update = peer_messages.ZoneUpdate(
            zone, "qg-2", 4, True, None, 0, 2, (), offsets=((CONFIG, 7),)
        )
        actions = instance.handle_event(node.MessageReceived(zone, update), now)
        assert samples.filter_by_type(actions, node.SetPolls) == expected


def test_a_leader_confirms_only_what_it_has_read_lately():
    """Guards against instances that rely on a leader without the store."""
    now = samples.seconds(10)
    instance = make_leader("zone-a", now)
    instance.handle_event(node.TopicRead(CONFIG, 7, 0 * SECOND), now)
    report = peer_messages.Report("qg-2", (), (), (), (), ())
    offsets = []
    for seconds in (0.1, 5.0):
        later = now + samples.seconds(seconds)
        actions = []
        for event in (node.MessageReceived(1, report), *[node.Tick()] * 3):
            later += SECOND / 10
            actions += instance.handle_event(event, later)
        offsets += [
            action.message.offsets
            for action in samples.filter_by_type(actions, node.SendMessage)
            if isinstance(action.message, peer_messages.ZoneUpdate)
        ][-1:]
    assert offsets == [((CONFIG, 7),), ()]


def read_in_eras(peer_era, peer_offset):
    """Returns the progress of an instance whose peer has read in an era."""
    progress = read_progress.ReadProgress()
    for era, offset in ((1, 20), (2, 5)):
        progress.record_read(CONFIG, offset, 0 * SECOND, SECOND, era)
    progress.record_peer({CONFIG: peer_offset}, SECOND, peer_era)
    progress.record_confirmation({CONFIG: peer_offset}, SECOND, peer_era)
    return progress


@pytest.mark.parametrize("era", [ids.UNNAMED_ERA, 1])
def test_offsets_of_an_earlier_era_are_not_compared(era):
    """Guards against a read that is renewed again and again."""
    progress = read_in_eras(era, 20)
    assert progress.take_overdue(SECOND + 2 * MAX_LAG) == []
    assert progress.take_poll_changes(SECOND) == []
    assert (progress.era, progress.offsets) == (2, ((CONFIG, 5),))


def test_a_read_of_an_earlier_era_is_renewed():
    """Guards against records that are missed since an offset came again."""
    progress = read_in_eras(3, 5)
    assert progress.take_overdue(SECOND + 2 * MAX_LAG) == [CONFIG]
    progress.record_read(CONFIG, 3, 0 * SECOND, 2 * SECOND, 3)
    assert progress.take_overdue(30 * SECOND) == []


def test_offsets_of_one_era_are_compared():
    """Guards against a read that stays behind after a restoration."""
    progress = read_in_eras(2, 6)
    assert progress.take_overdue(SECOND + 2 * MAX_LAG) == [CONFIG]
    progress.record_read(REGISTRY, 9, SECOND, SECOND, 3)
    assert (progress.era, progress.offsets) == (3, ((REGISTRY, 9),))
    assert progress.list_current_offsets(2, SECOND) == ((CONFIG, 5),)
