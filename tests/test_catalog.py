"""The fold of the configuration stream."""

import itertools
import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import catalog as catalog_module
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge import tickets

_Verdict = messages.TicketVerdict
_MIB = 1024 * 1024


def _ticket(number, **adapters):
    """Returns a ticket; 0 MiB removes the adapter."""
    parts = {
        name: {"model": "palomar", "memory_mib": size} if size else None
        for name, size in adapters.items()
    }
    text = json.dumps({"ticket": number, "adapters": parts})
    return tickets.parse(text, "test")


def _sizes(catalog):
    return {
        name: adapter.memory_bytes // _MIB
        for name, adapter in catalog.adapters()
    }


def _fold(*numbered):
    catalog = catalog_module.make_catalog()
    statuses = [
        catalog_module.apply(catalog, offset, ticket)
        for offset, ticket in enumerate(numbered)
    ]
    return catalog, [status.verdict for status in statuses], statuses


@pytest.mark.covers("duplicate", "ticket")
def test_verdicts_of_the_design():
    """Guards against a verdict that differs from design section 3.5."""
    _, verdicts, statuses = _fold(
        _ticket(5, a=1, b=1),
        _ticket(5, a=1, b=1),
        _ticket(5, a=2),
        _ticket(4, a=9),
        _ticket(3, a=9, c=3),
        records.Ticket(6, "no ticket"),
    )
    assert verdicts == [
        _Verdict.ACCEPTED,
        _Verdict.REPEATED,
        _Verdict.CONFLICT,
        _Verdict.SUPERSEDED,
        _Verdict.ACCEPTED,
        _Verdict.INVALID,
    ]
    assert statuses[1].offset == 0
    assert statuses[4].findings == ("adapter a stays as ticket 5 set it",)


def test_a_conflict_names_both_digests():
    """Guards against a conflict that an operator cannot trace."""
    _, _, (first, second) = _fold(_ticket(5, a=1), _ticket(5, a=2))
    words = second.findings[0].replace(",", "").split()
    digests = [word for word in words if len(word) == 16]
    assert len(set(digests)) == 2
    assert first.findings == ()


@pytest.mark.covers("reorder", "ticket")
@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_the_highest_number_wins_in_any_order(order):
    """Guards against an old ticket that reverts a newer one."""
    sent = [
        _ticket(1, a=1, b=1),
        _ticket(2, a=2, c=2),
        _ticket(3, b=0, c=3),
        _ticket(4, a=4),
    ]
    catalog, _, _ = _fold(*(sent[place] for place in order))
    assert _sizes(catalog) == {"a": 4, "c": 3}


def test_a_removed_object_stays_removed_through_a_snapshot():
    """Guards against an old ticket that brings back a removed object."""
    catalog, _, _ = _fold(_ticket(1, a=1), _ticket(3, a=0))
    restored = catalog_module.restore(catalog_module.snapshot(catalog))
    status = catalog_module.apply(restored, 2, _ticket(2, a=2))
    assert status.verdict is _Verdict.SUPERSEDED
    assert _sizes(restored) == {}


def test_repeats_and_conflicts_of_forgotten_tickets(monkeypatch):
    """Guards against harm from a ticket older than those remembered."""
    monkeypatch.setattr(catalog_module, "TICKET_LIMIT", 1)
    catalog, verdicts, _ = _fold(
        _ticket(1, a=1), _ticket(2, b=1), _ticket(1, a=1), _ticket(2, b=2)
    )
    assert verdicts[2:] == [_Verdict.REPEATED, _Verdict.CONFLICT]
    assert _sizes(catalog) == {"a": 1, "b": 1}


def test_check_has_no_effect():
    """Guards against a ticket in force before it is durable."""
    catalog, _, _ = _fold(_ticket(1, a=1))
    before = catalog_module.snapshot(catalog)
    status = catalog_module.check(catalog, _ticket(2, a=2))
    assert status.verdict is _Verdict.ACCEPTED
    assert catalog_module.snapshot(catalog) == before


def test_models_and_services_survive_a_snapshot():
    """Guards against a field that a snapshot leaves out."""
    text = """{"ticket": 17, "models": {"palomar": {
      "versions": {"v2": {"checkpoint": "c", "memory_mib": 14000,
                          "adapter_memory_mib": 500}},
      "default_version": "v2", "priority": 7,
      "availability_zones": {"z": {"max_replicas": 2, "min_replicas": 1}}}},
      "services": {"clock": {"repeatable_paths": ["/standings"]}}}"""
    catalog, _, _ = _fold(tickets.parse(text, "test"))
    restored = catalog_module.restore(catalog_module.snapshot(catalog))
    model = restored.model("palomar")
    assert model == catalog_module.Model(
        {"v2": catalog_module.Version("c", 14000 * _MIB, 500 * _MIB)},
        "v2",
        7,
        {"z": catalog_module.ReplicaLimits(2, 1)},
    )
    assert restored.service("clock").repeatable_paths == ("/standings",)


def test_a_reader_at_a_later_version_is_not_sent_back():
    """Guards against an entry that reverts after its control restarts."""
    catalog, _, _ = _fold(_ticket(1, a=1))
    changes = catalog.changed_since(5)
    assert (changes.version, changes.complete) == (5, False)
    assert not changes.adapters


def test_foreign_bytes_are_no_snapshot():
    """Guards against a follower that stops at a damaged snapshot."""
    with pytest.raises(exceptions.DecodeError):
        catalog_module.restore(b"foreign")


class _CatalogMachine(stateful.RuleBasedStateMachine):
    """Compares the fold with one that keeps every ticket."""

    def __init__(self):
        super().__init__()
        self.catalog = catalog_module.make_catalog()
        self.offset = ids.NO_OFFSET
        self.first = {}  # Content of the first ticket with each number.
        self.reader = {}
        self.reader_version = 0

    @stateful.rule(
        number=strategies.integers(1, 8),
        adapters=strategies.dictionaries(
            strategies.sampled_from("abc"), strategies.integers(0, 2)
        ).filter(bool),
    )
    def send(self, number, adapters):
        self.offset += 1
        status = catalog_module.apply(
            self.catalog, self.offset, _ticket(number, **adapters)
        )
        first = self.first.setdefault(number, adapters)
        assert (status.verdict is _Verdict.CONFLICT) == (first != adapters)

    @stateful.rule()
    def restore(self):
        data = catalog_module.snapshot(self.catalog)
        self.catalog = catalog_module.restore(data)
        assert catalog_module.snapshot(self.catalog) == data

    @stateful.rule()
    def read_changes(self):
        changes = self.catalog.changed_since(self.reader_version)
        if changes.complete:
            self.reader = {}
        self.reader.update(changes.adapters)
        self.reader_version = changes.version
        known = {name for name, value in self.reader.items() if value}
        assert known == set(self.expected())

    def expected(self):
        result = {}
        for _, adapters in sorted(self.first.items()):
            result.update(adapters)
        return {name: size for name, size in result.items() if size}

    @stateful.invariant()
    def the_highest_number_is_in_force(self):
        assert _sizes(self.catalog) == self.expected()


_SETTINGS = hypothesis_settings.make(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    report_multiple_bugs=False,
)
# A known violation needs no smallest example.
_SEARCH = hypothesis.settings(_SETTINGS, phases=[hypothesis.Phase.generate])


def test_the_fold_agrees_with_one_that_keeps_every_ticket():
    """Guards against a wrong winner, and against a reader left behind."""
    stateful.run_state_machine_as_test(_CatalogMachine, settings=_SETTINGS)


def test_the_machine_finds_a_fold_where_the_last_ticket_wins(monkeypatch):
    """Guards against a machine that cannot see a reverted configuration."""
    monkeypatch.setattr(
        catalog_module, "_is_higher_ticket", lambda number, entry: True
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(_CatalogMachine, settings=_SEARCH)
