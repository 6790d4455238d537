"""The byte form of folded states."""

import json
import zlib

import hypothesis
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import exceptions
from quetzalgauge import snapshots

_PARTS = [["a" * 200_000, 1], {"b": "two\nlines"}, [], list(range(50_000))]


def test_parts_come_back_as_they_were():
    """Guards against parts that are cut where a chunk ends."""
    data = snapshots.pack(_PARTS)
    assert snapshots.unpack(data, list) == _PARTS
    assert snapshots.pack(snapshots.unpack(data, list)) == data


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"foreign",
        snapshots.pack(_PARTS)[:-1],
        snapshots.pack(_PARTS)[:1000],
        zlib.compress(b"[1]\n[2]"),
        zlib.compress(b"[1\n"),
        zlib.compress(b"[" * 100_000 + b"\n"),
        zlib.compress(b"1" * 100_000 + b"\n"),
        zlib.compress(b"\xff\n"),
    ],
)
def test_damage_gives_a_decode_error(data):
    """Guards against a follower that stops at a damaged snapshot."""
    with pytest.raises(exceptions.DecodeError):
        snapshots.unpack(data, list)


def test_a_state_that_leaves_parts_is_refused():
    """Guards against a snapshot of a later format that is read in part."""
    with pytest.raises(exceptions.DecodeError):
        snapshots.unpack(snapshots.pack(_PARTS), next)


def test_an_inflated_state_is_refused(monkeypatch):
    """Guards against a small snapshot that fills the memory."""
    monkeypatch.setattr(snapshots, "_STATE_LIMIT_BYTES", 100_000)
    text = json.dumps("a" * 200_000).encode() + b"\n"
    with pytest.raises(exceptions.DecodeError, match="too large"):
        snapshots.unpack(zlib.compress(text), list)


@hypothesis.given(strategies.lists(strategies.integers(-(2**63), 2**63 - 1)))
@hypothesis_settings.make(max_examples=100)
def test_numbers_come_back_as_they_were(numbers):
    """Guards against numbers at the ends of the range."""
    packed = snapshots.pack_numbers(numbers)
    assert list(snapshots.unpack_numbers(packed)) == numbers
    assert list(snapshots.from_steps(snapshots.to_steps(numbers))) == numbers
