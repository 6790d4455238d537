"""A compact table of the latest claims of idempotency keys."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import sys
from typing import Any

from quetzalgauge import ids
from quetzalgauge import snapshots

# A value is one number: the claim's offset above the index of its source. That
# takes 32 bytes instead of 88 for an object with its offset.
_SOURCE_BITS = 24
_SOURCE_MASK = (1 << _SOURCE_BITS) - 1
# Sources of processes that have ended are dropped from time to time.
_LEAST_SOURCES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The claim that a key belongs to."""

    offset: ids.Offset
    writer: ids.WriterId
    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Source:
    writer: ids.WriterId
    entry: ids.EntryId


class KeyClaims:
    """Claims by key, in the order of the claims."""

    def __init__(self) -> None:
        self._values: dict[ids.KeyHash, int] = {}
        self._sources: list[_Source] = []
        self._indexes: dict[_Source, int] = {}
        self._source_limit = _LEAST_SOURCES

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, key: ids.KeyHash) -> bool:
        return key in self._values

    def get(self, key: ids.KeyHash) -> Claim | None:
        """Returns the claim of a key, None if it is free."""
        value = self._values.get(key)
        return None if value is None else self._claim(value)

    def items(self) -> Iterator[tuple[ids.KeyHash, Claim]]:
        """Iterates over all keys, the oldest claim first."""
        for key, value in self._values.items():
            yield key, self._claim(value)

    def add(self, keys: Iterable[ids.KeyHash], claim: Claim) -> None:
        """Adds free keys."""
        index = self._index(claim.writer, claim.entry)
        value = claim.offset << _SOURCE_BITS | index
        for key in keys:
            self._values[key] = value

    def remove(self, keys: Iterable[ids.KeyHash]) -> None:
        """Removes claimed keys."""
        for key in keys:
            del self._values[key]

    def shrink(self, limit: int) -> None:
        """Forgets the oldest claims above a number."""
        excess = max(0, len(self._values) - limit)
        self.remove(list(itertools.islice(self._values, excess)))

    def encode(self) -> list[Any]:
        """Returns a JSON value that depends only on the claims."""
        # Columns, since a row per claim would take several times the memory
        # while 50,000 claims are encoded or decoded.
        groups = [
            (value, sum(1 for _ in keys))
            for value, keys in itertools.groupby(self._values.values())
        ]
        used = sorted(
            {self._sources[value & _SOURCE_MASK] for value, _ in groups}
        )
        places = {source: place for place, source in enumerate(used)}
        return [
            [
                [row.writer.instance, row.writer.incarnation, row.entry]
                for row in used
            ],
            snapshots.to_steps(value >> _SOURCE_BITS for value, _ in groups),
            [
                places[self._sources[value & _SOURCE_MASK]]
                for value, _ in groups
            ],
            [count for _, count in groups],
            snapshots.pack_numbers(self._values),
        ]

    def _claim(self, value: int) -> Claim:
        source = self._sources[value & _SOURCE_MASK]
        offset = ids.Offset(value >> _SOURCE_BITS)
        return Claim(offset, source.writer, source.entry)

    def _index(self, writer: ids.WriterId, entry: ids.EntryId) -> int:
        source = _Source(writer, ids.EntryId(sys.intern(entry)))
        index = self._indexes.get(source)
        if index is not None:
            return index
        if len(self._sources) >= self._source_limit:
            self._drop_unused_sources()
        index = len(self._sources)
        self._sources.append(source)
        self._indexes[source] = index
        return index

    def _drop_unused_sources(self) -> None:
        used = {value & _SOURCE_MASK for value in self._values.values()}
        kept = sorted(used)
        places = {index: place for place, index in enumerate(kept)}
        self._sources = [self._sources[index] for index in kept]
        self._indexes = {
            source: place for place, source in enumerate(self._sources)
        }
        for key, value in self._values.items():
            place = places[value & _SOURCE_MASK]
            self._values[key] = value & ~_SOURCE_MASK | place
        self._source_limit = max(_LEAST_SOURCES, 2 * len(kept))


def decode(
    source_rows: list[Any],
    steps: list[int],
    places: list[int],
    counts: list[int],
    packed: str,
) -> KeyClaims:
    """Builds the claims from the parts of `KeyClaims.encode`.

    Raises:
        ValueError: The parts do not fit together.
    """
    sources = [
        (ids.WriterId(instance, incarnation), entry)
        for instance, incarnation, entry in source_rows
    ]
    keys = snapshots.unpack_numbers(packed)
    claims = KeyClaims()
    rows = zip(snapshots.from_steps(steps), places, counts, strict=True)
    for offset, place, count in rows:
        taken = [ids.KeyHash(key) for key in itertools.islice(keys, count)]
        claims.add(taken, Claim(ids.Offset(offset), *sources[place]))
    if next(keys, None) is not None or len(claims) != sum(counts):
        raise ValueError("keys and claims do not match")
    return claims
