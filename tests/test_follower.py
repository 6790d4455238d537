"""The position in a stream, with expired records, snapshots and peers."""

import datetime
import json
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import catalog as catalog_module
from quetzalgauge import follower as follower_module
from quetzalgauge import ids
from quetzalgauge import ledger as ledger_module
from quetzalgauge import records
from quetzalgauge import tickets

_WRITER = ids.WriterId("node-1", 1)


def _data(body, sequence=1):
    return records.encode(records.Envelope(_WRITER, sequence, body))


def _ticket(number, size):
    adapters = {"a": {"model": "m", "memory_mib": size}}
    text = json.dumps({"ticket": number, "adapters": adapters})
    return _data(tickets.parse(text, "test"))


def _follower():
    return follower_module.make_config_follower(random.Random(1))


def _rows(*data, start=0):
    return [(start + place, row) for place, row in enumerate(data)]


def _size(follower):
    return follower.state.adapter("a").memory_bytes >> 20


def test_damaged_and_foreign_records_are_passed_over():
    """Guards against a follower that stops at one record."""
    follower = _follower()
    rows = _rows(_ticket(1, 1), b"\xff", _data(records.Renew()), _ticket(2, 2))
    progress = follower.read(rows, 4)
    assert [row.offset for row in progress.folded] == [0, 1, 2, 3]
    assert progress.folded[1].envelope is None
    assert follower.next_offset == 4
    assert follower.is_at_end
    assert _size(follower) == 2


def test_an_expired_offset_waits_for_a_snapshot_that_covers_the_gap():
    """Guards against folding past missing records."""
    writer = _follower()
    writer.read(_rows(*(_ticket(n, n) for n in range(1, 6))), 5)
    snapshot = writer.snapshot()
    reader = _follower()
    reader.expire(3)
    assert reader.read_from == 3
    reader.read(_rows(_ticket(4, 4), _ticket(5, 5), start=3), 6)
    assert reader.is_catching_up
    assert not reader.is_at_end
    assert reader.next_offset == 0
    rows = _rows(_data(snapshot), _ticket(6, 6), start=5)
    progress = reader.read(rows, 7)
    assert progress.restored
    assert [row.offset for row in progress.folded] == [5, 6]
    assert _size(reader) == 6
    assert reader.is_at_end


def test_a_gap_in_a_read_is_an_expiry():
    """Guards against a log that leaves out records without saying so."""
    follower = _follower()
    follower.read(_rows(_ticket(2, 2), start=1), 2)
    assert follower.is_catching_up
    assert follower.read_from == 2
    follower.take_records(_rows(_ticket(1, 1)))
    assert (follower.next_offset, _size(follower)) == (2, 2)


def test_a_snapshot_with_another_offset_or_damage_is_refused():
    """Guards against a state that claims to cover more than it does."""
    writer = _follower()
    writer.read(_rows(_ticket(1, 1)), 1)
    state = writer.snapshot().state
    reader = _follower()
    assert not reader.take_snapshot(9, state).restored
    assert not reader.take_snapshot(0, state[:-3]).restored
    assert reader.take_snapshot(0, state).restored


def test_the_buffer_is_bounded(monkeypatch):
    """Guards against a control process that outgrows its memory."""
    monkeypatch.setattr(follower_module, "BUFFER_LIMIT_BYTES", 300)
    reader = _follower()
    reader.expire(10)
    rows = _rows(*(_ticket(n, n) for n in range(11, 31)), start=10)
    reader.read(rows, 30)
    writer = _follower()
    writer.read(_rows(*(_ticket(n, n) for n in range(1, 21))), 20)
    snapshot = writer.snapshot()
    reader.take_snapshot(snapshot.covers_offset, snapshot.state)
    # Records 20 up to those kept are missing.
    assert reader.is_catching_up
    assert reader.next_offset == 20


def test_a_peer_gets_recent_records_without_the_state_of_snapshots():
    """Guards against snapshots that push the records of an outage out."""
    writer = _follower()
    large = records.Snapshot(0, bytes(10**6))
    writer.read(_rows(_ticket(1, 1), _data(large), _ticket(2, 2)), 3)
    rows = writer.recent(1, 10**6)
    assert sum(len(data) for _, data in rows) < 1000
    reader = _follower()
    reader.take_records(writer.recent(0, 1))
    reader.take_records(rows)
    assert catalog_module.digest(reader.state) == catalog_module.digest(
        writer.state
    )
    assert writer.recent(3, 10**6) == ()


def test_a_snapshot_is_due_after_the_interval_and_a_random_delay():
    """Guards against a snapshot from every process at the same time."""
    writers = [
        follower_module.make_config_follower(random.Random(seed))
        for seed in range(30)
    ]
    rows = _rows(*(_ticket(n, n) for n in range(1, 12)))
    written = []
    for tenth in range(400):
        now = datetime.timedelta(seconds=tenth / 10)
        # A snapshot reaches the others half a second later.
        visible = [row for at, row in written if tenth - at >= 5]
        for writer in writers:
            writer.read([*rows, *_rows(*visible, start=len(rows))], 0)
            if writer.is_snapshot_due(now, 10, len(writers)):
                written.append((tenth, _data(writer.snapshot(), tenth)))
    assert 1 <= len(written) <= 3


def test_a_large_state_is_not_written_more_often_than_it_is_worth():
    """Guards against snapshots that take most of a node's 9 KB a second."""
    follower = _follower()
    large = _data(records.Snapshot(0, bytes(3000)))
    rows = _rows(_ticket(1, 1), large, *(_ticket(n, n) for n in range(2, 99)))
    now = datetime.timedelta(0)
    written = []
    for row in rows:
        follower.read([row], 0)
        if follower.is_snapshot_due(now, 10, 0):
            written.append(row[0])
    # The interval alone would give 12.
    assert 25 < written[0] < 60


def test_a_quiet_stream_gets_a_snapshot_before_its_records_expire():
    """Guards against a configuration that is lost with the last record."""
    follower = _follower()
    hour = datetime.timedelta(hours=1)
    assert not follower.is_snapshot_due(2 * hour, 10, 1)
    follower.read(_rows(_ticket(1, 1)), 1)
    assert not follower.is_snapshot_due(3 * hour, 10, 1)
    late = 4 * hour + datetime.timedelta(minutes=1)
    assert not follower.is_snapshot_due(late, 10, 1)
    assert follower.is_snapshot_due(late + hour, 10, 1)


def test_decisions_go_through_a_snapshot():
    """Guards against a decision follower that is wired to other functions."""
    writer = follower_module.make_decision_follower(random.Random(1))
    register = _data(records.Register("a", "127.0.0.1:1"))
    claim = _data(records.LeaseClaim("lm-1", ids.NO_OFFSET), 2)
    progress = writer.read(_rows(register, claim, b"\xff"), 3)
    assert all(row.outcome.accepted for row in progress.folded[:2])
    assert writer.next_offset == 3
    snapshot = writer.snapshot()
    reader = follower_module.make_decision_follower(random.Random(1))
    reader.take_snapshot(snapshot.covers_offset, snapshot.state)
    assert reader.state.lease("lm-1").holder == _WRITER
    assert ledger_module.digest(reader.state) == ledger_module.digest(
        writer.state
    )


class _FollowerMachine(stateful.RuleBasedStateMachine):
    """Two followers of a log that expires; they also help each other."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.earliest = 0
        self.followers = [_follower(), _follower()]
        self.reached = [-1, -1]
        self.oracle = catalog_module.make_catalog()
        self.digests = {-1: catalog_module.digest(self.oracle)}

    def append(self, data):
        offset = len(self.log)
        self.log.append(data)
        body = records.decode(data).body
        if isinstance(body, records.Ticket):
            catalog_module.apply(self.oracle, offset, body)
        else:
            catalog_module.note_snapshot(self.oracle, offset, body)
        self.digests[offset] = catalog_module.digest(self.oracle)

    @stateful.initialize()
    def set_up(self):
        """Starts with records and a snapshot, so that the rules have work."""
        self.send([3, 1, 2])
        self.read(0, 3)
        self.write_snapshot(0)

    @stateful.rule(
        numbers=strategies.lists(
            strategies.integers(1, 9), min_size=1, max_size=4
        )
    )
    def send(self, numbers):
        for number in numbers:
            self.append(_ticket(number, number))

    @stateful.rule(who=strategies.integers(0, 1))
    def write_snapshot(self, who):
        snapshot = self.followers[who].snapshot()
        if snapshot.covers_offset >= 0:
            self.append(_data(snapshot))

    @stateful.rule(count=strategies.integers(1, 6))
    def expire(self, count):
        self.earliest = min(len(self.log), self.earliest + count)

    @stateful.rule(
        who=strategies.integers(0, 1), limit=strategies.integers(1, 9)
    )
    def read(self, who, limit):
        follower = self.followers[who]
        start = follower.read_from
        if start < self.earliest:
            follower.expire(self.earliest)
            return
        rows = _rows(*self.log[start : start + limit], start=start)
        follower.read(rows, start + len(rows))

    @stateful.rule(who=strategies.integers(0, 1))
    def take_records(self, who):
        follower, peer = self.followers[who], self.followers[1 - who]
        rows = peer.recent(follower.next_offset, 200)
        if rows is not None:
            follower.take_records(rows)

    @stateful.rule(who=strategies.integers(0, 1))
    def take_snapshot(self, who):
        snapshot = self.followers[1 - who].snapshot()
        self.followers[who].take_snapshot(
            snapshot.covers_offset, snapshot.state
        )

    @stateful.rule(who=strategies.integers(0, 1))
    def restart(self, who):
        self.followers[who] = _follower()
        self.reached[who] = -1

    @stateful.invariant()
    def each_state_is_a_prefix_of_the_log_and_never_older(self):
        for who, follower in enumerate(self.followers):
            offset = follower.next_offset - 1
            assert offset >= self.reached[who], "the state went back"
            self.reached[who] = offset
            digest = catalog_module.digest(follower.state)
            assert digest == self.digests[offset], "not the state of the log"


_SETTINGS = hypothesis_settings.make(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    report_multiple_bugs=False,
)
# A known violation needs no smallest example.
_SEARCH = hypothesis.settings(_SETTINGS, phases=[hypothesis.Phase.generate])


def test_followers_agree_with_the_whole_log_and_never_go_back():
    """Guards against reverts through snapshots, expiry or peers."""
    stateful.run_state_machine_as_test(_FollowerMachine, settings=_SETTINGS)


@pytest.mark.parametrize(
    ("guard", "answer", "found"),
    [
        ("_covers_more", True, "the state went back"),
        ("_is_gap", False, "not the state of the log"),
    ],
)
def test_the_machine_finds_a_follower_without_its_guard(
    monkeypatch, guard, answer, found
):
    """Guards against a machine that cannot see a wrong state."""
    monkeypatch.setattr(follower_module, guard, lambda *_: answer)
    with pytest.raises(AssertionError, match=found):
        stateful.run_state_machine_as_test(_FollowerMachine, settings=_SEARCH)
