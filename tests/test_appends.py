"""Proposals: one outstanding batch, repeated until its outcome is known."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import appends as appends_module
from quetzalgauge import ids
from quetzalgauge import ledger as ledger_module
from quetzalgauge import records

_WRITER = ids.WriterId("node-1", 1)
_REGISTER = records.Register("uy-south-a", "127.0.0.1:7100")


def test_a_batch_is_repeated_unchanged_until_acknowledged():
    """Guards against a record that is appended under two sequence numbers."""
    appends = appends_module.make_appends(_WRITER)
    appends.propose(_REGISTER)
    first = appends.start()
    appends.propose(records.Renew())
    assert appends.start() == ()
    appends.finish(acknowledged=False)
    assert appends.start() == first
    appends.finish(acknowledged=True)
    second = appends.start()
    assert [records.decode(row).sequence for row in second] == [2]
    assert not appends.is_idle


def test_reading_back_replaces_the_acknowledgement():
    """Guards against a batch that is repeated for ever after a lost answer."""
    appends = appends_module.make_appends(_WRITER)
    sequence = appends.propose(_REGISTER)
    (data,) = appends.start()
    appends.finish(acknowledged=False)
    assert appends.read(records.decode(data)).sequence == sequence
    assert appends.start() == ()
    assert appends.is_idle
    assert appends.read(records.decode(data)) is None


def test_a_state_that_was_taken_over_settles_proposals():
    """Guards against waiting for records that a snapshot has skipped."""
    appends = appends_module.make_appends(_WRITER)
    for _ in range(3):
        appends.propose(records.Renew())
    appends.start()
    appends.finish(acknowledged=False)
    settled = appends.settle(ids.Sequence(3))
    assert [proposal.sequence for proposal in settled] == [1, 2, 3]
    assert appends.is_idle


def test_only_a_record_that_was_not_sent_can_be_withdrawn():
    """Guards against a withdrawn claim that takes effect later."""
    appends = appends_module.make_appends(_WRITER)
    first = appends.propose(_REGISTER)
    appends.start()
    second = appends.propose(records.Renew())
    assert not appends.withdraw(first)
    assert appends.withdraw(second)
    appends.finish(acknowledged=True)
    assert appends.start() == ()


def test_batches_are_bounded_and_a_large_record_goes_alone(monkeypatch):
    """Guards against a request that the log service refuses as too large."""
    monkeypatch.setattr(appends_module, "MAX_BATCH_BYTES", 1000)
    appends = appends_module.make_appends(_WRITER)
    appends.propose(records.Renew())
    appends.propose(records.Snapshot(1, bytes(2000)))
    for _ in range(300):
        appends.propose(records.Renew())
    sizes = []
    while batch := appends.start():
        sizes.append(len(batch))
        appends.finish(acknowledged=True)
    assert sizes[:2] == [1, 1]
    assert sum(sizes) == 302
    assert max(sizes) * len(records.encode(_envelope(5))) <= 1000


def _envelope(sequence):
    return records.Envelope(_WRITER, sequence, records.Renew())


def test_a_second_process_with_the_same_writer_id_is_noticed():
    """Guards against two processes whose records hide each other."""
    appends = appends_module.make_appends(_WRITER)
    appends.propose(_REGISTER)
    appends.read(_envelope(1))
    assert appends.is_writer_shared
    other = appends_module.make_appends(_WRITER)
    other.settle(ids.Sequence(1))
    assert other.is_writer_shared


class _AppendMachine(stateful.RuleBasedStateMachine):
    """A log that loses requests and answers and delivers copies late."""

    def __init__(self):
        super().__init__()
        self.appends = appends_module.make_appends(_WRITER)
        self.ledger = ledger_module.make_ledger()
        self.log = []
        self.read = 0
        self.in_flight = ()
        self.late = []
        self.proposed = [self.appends.propose(_REGISTER)]
        self.effects = collections.Counter()
        self.known = []

    @stateful.rule()
    def propose(self):
        self.proposed.append(self.appends.propose(records.Renew()))

    @stateful.precondition(lambda self: not self.in_flight)
    @stateful.rule()
    def start(self):
        self.in_flight = self.appends.start()

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(
        arrives=strategies.booleans(),
        answered=strategies.booleans(),
        copied=strategies.booleans(),
    )
    def finish(self, arrives, answered, copied):
        if arrives:
            self.log += self.in_flight
        if copied:
            self.late.append(self.in_flight)
        self.in_flight = ()
        self.appends.finish(acknowledged=arrives and answered)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def deliver_late_copy(self):
        self.log += self.late.pop(0)

    @stateful.rule()
    def read_back(self):
        for offset in range(self.read, len(self.log)):
            envelope = records.decode(self.log[offset])
            outcome = ledger_module.apply(self.ledger, offset, envelope)
            if outcome.accepted:
                self.effects[envelope.sequence] += 1
            proposal = self.appends.read(envelope)
            if proposal is not None:
                assert outcome.accepted, "the outcome is that of a copy"
                self.known.append(proposal.sequence)
        self.read = len(self.log)

    @stateful.invariant()
    def each_record_has_one_effect(self):
        assert set(self.effects.values()) <= {1}, "a copy took effect"
        assert self.known == sorted(set(self.known))
        assert not self.appends.is_writer_shared

    def teardown(self):
        """With a log that works again, every proposal takes effect."""
        if self.in_flight:
            self.finish(arrives=True, answered=True, copied=False)
        while batch := self.appends.start():
            self.log += batch
            self.appends.finish(acknowledged=True)
        self.read_back()
        assert self.known == self.proposed
        self.each_record_has_one_effect()


_SETTINGS = hypothesis_settings.make(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    report_multiple_bugs=False,
)
# A known violation needs no smallest example.
_SEARCH = hypothesis.settings(_SETTINGS, phases=[hypothesis.Phase.generate])


@pytest.mark.covers("lost acknowledgement", "lease change")
@pytest.mark.covers("duplicate", "lease change")
@pytest.mark.covers("reorder", "lease change")
def test_lost_answers_and_late_copies_have_no_second_effect():
    """Guards against lost, repeated or reordered records of a writer."""
    stateful.run_state_machine_as_test(_AppendMachine, settings=_SETTINGS)


def test_the_machine_finds_a_fold_without_sequence_numbers(monkeypatch):
    """Guards against a machine that cannot see a second effect."""
    monkeypatch.setattr(ledger_module, "_is_new_sequence", lambda *_: True)
    with pytest.raises(AssertionError, match="a copy"):
        stateful.run_state_machine_as_test(_AppendMachine, settings=_SEARCH)
