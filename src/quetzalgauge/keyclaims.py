"""A compact table of the latest claims of idempotency keys."""

import array
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import sys
from typing import Any

from quetzalgauge import ids
from quetzalgauge import snapshots

# Keys are hashes, so their low bits spread them evenly. At the limit of 50,000
# claims a bucket has about 200, and an insertion moves a few kilobytes.
_BUCKETS = 256
# Sources of processes that have ended, and places of released keys, are dropped
# when they outnumber the rest.
_LEAST_SOURCES = 1024
_LEAST_ORDER = 1024


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


class _Bucket:
    """Parallel columns, sorted by key: 20 bytes per claim.

    A dictionary with one number per key takes 132.
    """

    __slots__ = ("keys", "offsets", "sources")

    def __init__(self) -> None:
        self.keys = array.array("q")
        self.offsets = array.array("q")
        self.sources = array.array("I")

    def find(self, key: int) -> int | None:
        place = bisect.bisect_left(self.keys, key)
        if place < len(self.keys) and self.keys[place] == key:
            return place
        return None

    def insert(self, key: int, offset: int, source: int) -> None:
        place = bisect.bisect_left(self.keys, key)
        self.keys.insert(place, key)
        self.offsets.insert(place, offset)
        self.sources.insert(place, source)

    def remove(self, place: int) -> None:
        del self.keys[place]
        del self.offsets[place]
        del self.sources[place]


class KeyClaims:
    """Claims by key, in the order of the claims."""

    def __init__(self) -> None:
        self._buckets = [_Bucket() for _ in range(_BUCKETS)]
        self._count = 0
        # The order of the claims, from _start on. A key whose claim has another
        # offset or is gone is skipped.
        self._order_keys = array.array("q")
        self._order_offsets = array.array("q")
        self._start = 0
        self._sources: list[_Source] = []
        self._indexes: dict[_Source, int] = {}
        self._source_limit = _LEAST_SOURCES

    def __len__(self) -> int:
        return self._count

    def __contains__(self, key: ids.KeyHash) -> bool:
        return self._bucket(key).find(key) is not None

    def get(self, key: ids.KeyHash) -> Claim | None:
        """Returns the claim of a key, None if it is free."""
        bucket = self._bucket(key)
        place = bucket.find(key)
        if place is None:
            return None
        return self._claim(bucket.offsets[place], bucket.sources[place])

    def items(self) -> Iterator[tuple[ids.KeyHash, Claim]]:
        """Iterates over all keys, the oldest claim first."""
        for key, offset, source in self._rows():
            yield ids.KeyHash(key), self._claim(offset, source)

    def add(self, keys: Iterable[ids.KeyHash], claim: Claim) -> None:
        """Adds free keys."""
        source = self._index(claim.writer, claim.entry)
        for key in keys:
            self._bucket(key).insert(key, claim.offset, source)
            self._order_keys.append(key)
            self._order_offsets.append(claim.offset)
            self._count += 1

    def remove(self, keys: Iterable[ids.KeyHash]) -> None:
        """Removes claimed keys."""
        for key in keys:
            bucket = self._bucket(key)
            place = bucket.find(key)
            if place is None:
                raise KeyError(key)
            bucket.remove(place)
            self._count -= 1
        self._trim_order()

    def shrink(self, limit: int) -> None:
        """Forgets the oldest claims above a number."""
        while self._count > limit:
            key = self._order_keys[self._start]
            offset = self._order_offsets[self._start]
            self._start += 1
            bucket = self._bucket(key)
            place = bucket.find(key)
            if place is not None and bucket.offsets[place] == offset:
                bucket.remove(place)
                self._count -= 1
        self._trim_order()

    def encode(self) -> Iterator[Any]:
        """Yields JSON values that depend only on the claims."""
        # Columns, since a row per claim would take several times the memory
        # while 50,000 claims are encoded or decoded.
        offsets = array.array("q")
        sources = array.array("I")
        counts = array.array("I")
        keys = array.array("q")
        for key, offset, source in self._rows():
            keys.append(key)
            if offsets and offsets[-1] == offset:
                counts[-1] += 1
                continue
            offsets.append(offset)
            sources.append(source)
            counts.append(1)
        used = sorted({self._sources[source] for source in sources})
        places = {self._indexes[row]: place for place, row in enumerate(used)}
        yield [
            [row.writer.instance, row.writer.incarnation, row.entry]
            for row in used
        ]
        yield snapshots.to_steps(offsets)
        yield [places[source] for source in sources]
        yield list(counts)
        yield snapshots.pack_numbers(keys)

    def _bucket(self, key: int) -> _Bucket:
        return self._buckets[key % _BUCKETS]

    def _rows(self) -> Iterator[tuple[int, int, int]]:
        """Iterates over keys, offsets and indexes of sources, in order."""
        for index in range(self._start, len(self._order_keys)):
            key = self._order_keys[index]
            bucket = self._bucket(key)
            place = bucket.find(key)
            if place is None:
                continue
            if bucket.offsets[place] == self._order_offsets[index]:
                yield key, bucket.offsets[place], bucket.sources[place]

    def _trim_order(self) -> None:
        if len(self._order_keys) < max(_LEAST_ORDER, 1.25 * self._count):
            return
        keys, offsets = array.array("q"), array.array("q")
        for key, offset, _ in self._rows():
            keys.append(key)
            offsets.append(offset)
        self._order_keys, self._order_offsets = keys, offsets
        self._start = 0

    def _claim(self, offset: int, index: int) -> Claim:
        source = self._sources[index]
        return Claim(ids.Offset(offset), source.writer, source.entry)

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
        kept = sorted(
            {source for bucket in self._buckets for source in bucket.sources}
        )
        places = {index: place for place, index in enumerate(kept)}
        self._sources = [self._sources[index] for index in kept]
        self._indexes = {
            source: place for place, source in enumerate(self._sources)
        }
        for bucket in self._buckets:
            bucket.sources = array.array(
                "I", (places[source] for source in bucket.sources)
            )
        self._source_limit = max(_LEAST_SOURCES, 2 * len(kept))


def decode(parts: Iterator[Any]) -> KeyClaims:
    """Builds the claims from the values of `KeyClaims.encode`.

    Raises:
        ValueError: The values do not fit together.
    """
    sources = [
        (ids.WriterId(instance, incarnation), entry)
        for instance, incarnation, entry in next(parts)
    ]
    steps, places, counts = next(parts), next(parts), next(parts)
    keys = snapshots.unpack_numbers(next(parts))
    claims = KeyClaims()
    rows = zip(snapshots.from_steps(steps), places, counts, strict=True)
    for offset, place, count in rows:
        taken = (ids.KeyHash(key) for key in itertools.islice(keys, count))
        claims.add(taken, Claim(ids.Offset(offset), *sources[place]))
    if next(keys, None) is not None or len(claims) != sum(counts):
        raise ValueError("keys and claims do not match")
    return claims
