"""Tests of the directory of targets when the registry shows an older state."""

import dataclasses

import core_samples as samples
import pytest

from quetzalgauge.core import targets

NOW = samples.seconds(100)
GRACE = targets.REREGISTRATION_GRACE


def make_entry(name, number, **options):
    entry = samples.make_target(name, **options)
    return dataclasses.replace(entry, entry_number=number)


class Registry:
    """A directory, and the reads that it is told of."""

    def __init__(self, *entries):
        self.now = NOW
        self.directory = targets.Directory()
        self.read(*entries, complete=True)

    def read(self, *entries, after=0.0, **options):
        self.now += samples.seconds(after)
        change = targets.RegistryUpdated(tuple(entries), **options)
        self.directory.update(change, self.now)
        self.directory.expire(self.now)

    def restore(self, *entries):
        self.read(*entries, complete=True, is_restored=True)

    def get_states(self):
        return {
            entry.target: "leaving" if entry.is_draining else entry.incarnation
            for entry in self.directory
        }


@pytest.mark.parametrize("removed_by", ["record", "snapshot"])
def test_a_target_that_has_left_stays_away(removed_by):
    """Guards against requests to the address of a target that has left."""
    registry = Registry(make_entry("t1", 4), make_entry("t2", 4))
    if removed_by == "record":
        registry.read(removed=("t2",), after=1.0)
    else:
        registry.read(make_entry("t1", 4), complete=True, after=1.0)
    assert registry.get_states() == {"t1": 1}
    registry.restore(make_entry("t1", 4), make_entry("t2", 3))
    registry.read(
        make_entry("t1", 4), make_entry("t2", 3), complete=True, after=1.0
    )
    assert registry.get_states() == {"t1": 1}


def test_a_target_that_has_lapsed_comes_back():
    """Guards against sound targets that are kept out."""
    registry = Registry(make_entry("t1", 4))
    registry.read(removed=("t1",), after=1.0)
    registry.restore(make_entry("t1", 4))
    registry.read(make_entry("t1", 4), after=0.5)
    assert registry.get_states() == {"t1": 1}


@pytest.mark.parametrize(
    "entry", [make_entry("t2", 5), make_entry("t2", 0, incarnation=2)]
)
def test_a_target_that_has_written_again_is_found(entry):
    """Guards against sound targets that are kept out."""
    registry = Registry(make_entry("t1", 4), make_entry("t2", 4))
    registry.read(removed=("t2",), after=1.0)
    registry.restore(make_entry("t1", 4), entry)
    assert registry.get_states() == {"t1": 1, "t2": entry.incarnation}


@pytest.mark.parametrize("how", ["entry", "announcement"])
def test_a_target_that_leaves_goes_on_leaving(how):
    """Guards against new requests to a target that has said that it leaves."""
    registry = Registry(make_entry("t1", 4))
    if how == "entry":
        registry.read(make_entry("t1", 5, is_draining=True), after=1.0)
    else:
        registry.directory.record_leaving(targets.LeavingAnnounced("t1", 1))
    assert registry.get_states() == {"t1": "leaving"}
    registry.restore(make_entry("t1", 4))
    registry.read(make_entry("t1", 6), after=1.0)
    assert registry.get_states() == {"t1": "leaving"}
    registry.read(make_entry("t1", 0, incarnation=2), after=1.0)
    assert registry.get_states() == {"t1": 2}


def test_a_target_that_has_started_again_stays_so():
    """Guards against requests that are meant for an earlier start."""
    registry = Registry(make_entry("t1", 9))
    registry.read(make_entry("t1", 0, incarnation=2), after=1.0)
    registry.restore(make_entry("t1", 9))
    assert registry.get_states() == {"t1": 2}


@pytest.mark.parametrize("is_back", [True, False])
def test_a_target_that_the_copy_lacks_may_write_again(is_back):
    """Guards against sound targets that are dropped for a while."""
    registry = Registry(make_entry("t1", 4))
    registry.read(make_entry("t2", 1), after=1.0)
    registry.restore(make_entry("t1", 4))
    registry.read(removed=("t1",), after=0.1)
    assert registry.get_states() == {"t1": 1, "t2": 1}
    if is_back:
        registry.read(make_entry("t1", 5), make_entry("t2", 2), after=1.0)
    registry.read(after=GRACE.total_seconds())
    assert registry.get_states() == ({"t1": 1, "t2": 1} if is_back else {})


def test_an_entry_older_than_the_last_one_changes_nothing():
    """Guards against the models that a target had before."""
    registry = Registry(make_entry("t1", 4, models=["m1"]))
    registry.read(make_entry("t1", 3, models=["m0"]))
    (entry,) = registry.directory
    assert [model.name for model in entry.models] == ["m1"]
    registry.read(make_entry("t1", 3, models=["m0"], is_draining=True))
    assert registry.get_states() == {"t1": "leaving"}


def test_the_directory_forgets_targets_that_have_left(monkeypatch):
    """Guards against memory that grows with each target that ever was."""
    monkeypatch.setattr(targets, "MAX_ANNOUNCEMENTS", 3)
    registry = Registry()
    for number in range(9):
        registry.read(make_entry(f"t{number}", 1, is_draining=True))
        registry.read(removed=(f"t{number}",))
    directory = registry.directory
    assert len(directory._gone) == len(directory._leaving) == 3


@pytest.mark.parametrize("incarnation", [1, 2])
def test_a_target_that_tells_of_a_later_start_has_restarted(incarnation):
    """Guards against an entry of before the restart that counts for seconds."""
    registry = Registry(make_entry("t1", 4, models=["m1"], is_draining=True))
    events = registry.directory.record_restart(
        "t1", incarnation, (), targets.CachedCopies((), ("m1",)), NOW
    )
    has_restarted = incarnation > 1
    assert [event.name for event in events] == (
        ["target_restarted"] if has_restarted else []
    )
    registry.read(make_entry("t1", 9, models=["m1"]), after=1.0)
    (entry,) = registry.directory
    assert entry.incarnation == incarnation
    assert (entry.models == ()) == has_restarted
    assert entry.is_draining == (not has_restarted)
    assert registry.directory.record_restart("t9", 1, (), (), NOW) == []
