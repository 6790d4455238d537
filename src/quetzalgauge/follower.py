"""The position in a stream and the state folded up to it.

A follower never goes back: it takes over a state only if that covers more than
its own.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
import random
from typing import Any
from typing import Generic
from typing import TypeAlias
from typing import TypeVar

from quetzalgauge import catalog
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import ledger
from quetzalgauge import records

# Records kept for peers that cannot read the log. A peer that lacks more takes
# the whole state.
RECENT_LIMIT_BYTES = 512 * 1024
# While no snapshot covers the gap, later records wait. Beyond the limit the
# oldest are dropped, since a process has 64 MB in all.
BUFFER_LIMIT_BYTES = 8 * 1024 * 1024
# The share of the random delay before a snapshot that each process of the
# stream adds. It is about the time until others read a snapshot, so that on
# average fewer than two processes write one.
SNAPSHOT_SPACING = datetime.timedelta(seconds=1)
# Wait for the own snapshot to be read back before another is due.
SNAPSHOT_PATIENCE = datetime.timedelta(seconds=60)
# The log keeps records for a limited time, so a stream with few records needs a
# snapshot too. The limit must be several times as long.
SNAPSHOT_AGE = datetime.timedelta(hours=1)

State = TypeVar("State")
Raw: TypeAlias = tuple[ids.Offset, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Fold(Generic[State]):
    """The functions of a folded state."""

    make: Callable[[], State]
    apply: Callable[[State, ids.Offset, records.Envelope], Any]
    skip: Callable[[State, ids.Offset], None]
    snapshot: Callable[[State], bytes]
    restore: Callable[[bytes], State]
    offset: Callable[[State], ids.Offset]
    latest_snapshot: Callable[[State], ids.Offset]


@dataclasses.dataclass(frozen=True, slots=True)
class Folded:
    """A record that was folded.

    Attributes:
        envelope: None if the record could not be decoded.
        outcome: What the fold's `apply` returned, None if not decoded.
    """

    offset: ids.Offset
    envelope: records.Envelope | None
    outcome: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What a call has changed.

    Attributes:
        folded: The records that were folded, in order. Those before a restore
            are left out.
        restored: The state was replaced by a later one before those records.
    """

    folded: tuple[Folded, ...] = ()
    restored: bool = False


class Follower(Generic[State]):
    """Follows one stream."""

    def __init__(self, fold: Fold[State], generator: random.Random) -> None:
        self._fold = fold
        self._generator = generator
        self._state = fold.make()
        self._recent: collections.deque[Raw] = collections.deque()
        self._recent_bytes = 0
        self._buffer: collections.deque[Raw] | None = None
        self._buffer_bytes = 0
        self._buffer_end = ids.Offset(0)
        self._log_end = ids.NO_OFFSET
        self._snapshot_time: datetime.timedelta | None = None
        self._seen_snapshot: tuple[ids.Offset, datetime.timedelta] | None = None
        # Sizes of the latest snapshot and of the records after it.
        self._snapshot_bytes = 0
        self._bytes_since = 0

    @property
    def state(self) -> State:
        """The folded state. It is another object after a restore."""
        return self._state

    @property
    def next_offset(self) -> ids.Offset:
        """The offset of the first record that is not folded."""
        return ids.Offset(self._fold.offset(self._state) + 1)

    @property
    def read_from(self) -> ids.Offset:
        """The offset from which the log should be read."""
        if self._buffer is None:
            return self.next_offset
        return max(self._buffer_end, self.next_offset)

    @property
    def is_catching_up(self) -> bool:
        """Whether records wait for a snapshot that covers a gap."""
        return self._buffer is not None

    @property
    def is_at_end(self) -> bool:
        """Whether all that the log had at the last read is folded."""
        return ids.NO_OFFSET < self._log_end <= self.next_offset

    def read(self, rows: Iterable[Raw], log_end: ids.Offset) -> Progress:
        """Takes records from the log, in order, and the log's next offset."""
        self._log_end = log_end
        return self._take(rows)

    def expire(self, earliest: ids.Offset) -> Progress:
        """Notes that the log has nothing before an offset any more."""
        if earliest > self.read_from:
            self._start_buffer(earliest)
        return Progress()

    def take_records(self, rows: Iterable[Raw]) -> Progress:
        """Takes records from a peer. Records after a gap are left out."""
        expected = self.next_offset
        usable = []
        for offset, data in rows:
            if offset < expected:
                continue
            if offset > expected:
                break
            usable.append((offset, data))
            expected = ids.Offset(expected + 1)
        folded = [self._fold_row(row) for row in usable]
        return Progress((*folded, *self._drain_buffer()))

    def take_snapshot(self, offset: ids.Offset, data: bytes) -> Progress:
        """Takes a peer's state up to and including an offset."""
        if not self._restore(offset, data):
            return Progress()
        return Progress(tuple(self._drain_buffer()), restored=True)

    def recent(
        self, from_offset: ids.Offset, limit_bytes: int
    ) -> tuple[Raw, ...] | None:
        """Returns records for a peer; None if it needs the whole state."""
        if from_offset >= self.next_offset:
            return ()
        if not self._recent or from_offset < self._recent[0][0]:
            return None
        rows: list[Raw] = []
        size = 0
        first = from_offset - self._recent[0][0]
        for place in range(first, len(self._recent)):
            row = self._recent[place]
            size += len(row[1])
            if rows and size > limit_bytes:
                break
            rows.append(row)
        return tuple(rows)

    def snapshot(self) -> records.Snapshot:
        """Returns a snapshot of the state."""
        offset = self._fold.offset(self._state)
        return records.Snapshot(offset, self._fold.snapshot(self._state))

    def is_snapshot_due(
        self, now: datetime.timedelta, interval: int, processes: int
    ) -> bool:
        """Returns whether this process should append a snapshot now.

        Args:
            now: The time of a monotonic clock.
            interval: Records between two snapshots.
            processes: How many processes follow the stream; the random delay
                grows with it.
        """
        if not self._is_snapshot_old(now, interval):
            self._snapshot_time = None
            return False
        if self._snapshot_time is None:
            spread = processes * SNAPSHOT_SPACING
            self._snapshot_time = now + self._generator.random() * spread
        if now < self._snapshot_time:
            return False
        self._snapshot_time = now + SNAPSHOT_PATIENCE
        return True

    def _is_snapshot_old(self, now: datetime.timedelta, interval: int) -> bool:
        latest = self._fold.latest_snapshot(self._state)
        if self._seen_snapshot is None or self._seen_snapshot[0] != latest:
            self._seen_snapshot = (latest, now)
        if self.next_offset == 0 or self.is_catching_up:
            return False
        # Every process reads every snapshot. The second condition keeps them
        # below half of a stream whose state is large against its records.
        is_worth_it = self._bytes_since >= self._snapshot_bytes
        if self.next_offset - 1 - latest > interval and is_worth_it:
            return True
        return now - self._seen_snapshot[1] > SNAPSHOT_AGE

    def _take(self, rows: Iterable[Raw]) -> Progress:
        folded: list[Folded] = []
        restored = False
        for offset, data in rows:
            if offset < self.next_offset:
                continue
            if self._buffer is None and offset == self.next_offset:
                folded.append(self._fold_row((offset, data)))
                continue
            if self._buffer is None or offset != self._buffer_end:
                # The log left out records, so they have expired.
                self._start_buffer(offset)
            self._append_buffer((offset, data))
            if self._restore_from_record(data):
                restored = True
                folded = []
            folded += self._drain_buffer()
        return Progress(tuple(folded), restored)

    def _fold_row(self, row: Raw) -> Folded:
        offset, data = row
        self._bytes_since += len(data)
        try:
            envelope = records.decode(data)
        except exceptions.DecodeError:
            self._remember(row)
            self._fold.skip(self._state, offset)
            return Folded(offset, None, None)
        if isinstance(envelope.body, records.Snapshot):
            if envelope.body.state:
                self._snapshot_bytes = len(data)
                self._bytes_since = 0
            # A peer folds the records in between and needs no state. It would
            # push the other records out.
            body = records.Snapshot(envelope.body.covers_offset, b"")
            data = records.encode(dataclasses.replace(envelope, body=body))
        self._remember((offset, data))
        outcome = self._fold.apply(self._state, offset, envelope)
        return Folded(offset, envelope, outcome)

    def _remember(self, row: Raw) -> None:
        self._recent.append(row)
        self._recent_bytes += len(row[1])
        while self._recent_bytes > RECENT_LIMIT_BYTES:
            _, data = self._recent.popleft()
            self._recent_bytes -= len(data)

    def _restore_from_record(self, data: bytes) -> bool:
        try:
            body = records.decode(data).body
        except exceptions.DecodeError:
            return False
        if not isinstance(body, records.Snapshot):
            return False
        return self._restore(body.covers_offset, body.state)

    def _restore(self, offset: ids.Offset, data: bytes) -> bool:
        if not _covers_more(self.next_offset, offset):
            return False
        try:
            state = self._fold.restore(data)
        except exceptions.DecodeError:
            return False
        if self._fold.offset(state) != offset:
            return False
        self._state = state
        self._snapshot_bytes = len(data)
        self._bytes_since = 0
        self._recent.clear()
        self._recent_bytes = 0
        return True

    def _start_buffer(self, offset: ids.Offset) -> None:
        self._buffer = collections.deque()
        self._buffer_bytes = 0
        self._buffer_end = offset

    def _append_buffer(self, row: Raw) -> None:
        assert self._buffer is not None
        self._buffer.append(row)
        self._buffer_bytes += len(row[1])
        self._buffer_end = ids.Offset(row[0] + 1)
        while self._buffer_bytes > BUFFER_LIMIT_BYTES:
            _, data = self._buffer.popleft()
            self._buffer_bytes -= len(data)

    def _drain_buffer(self) -> list[Folded]:
        """Folds the buffer if nothing is missing before it."""
        if self._buffer is None:
            return []
        while self._buffer and self._buffer[0][0] < self.next_offset:
            _, data = self._buffer.popleft()
            self._buffer_bytes -= len(data)
        start = self._buffer[0][0] if self._buffer else self._buffer_end
        if _is_gap(self.next_offset, start):
            return []
        rows = self._buffer
        self._buffer = None
        return [self._fold_row(row) for row in rows]


def make_decision_follower(
    generator: random.Random,
) -> Follower[ledger.Ledger]:
    """Returns a follower of a region's decisions, before the first record."""
    return Follower(
        Fold(
            ledger.make_ledger,
            ledger.apply,
            ledger.skip,
            ledger.snapshot,
            ledger.restore,
            lambda state: state.offset,
            lambda state: state.latest_snapshot,
        ),
        generator,
    )


def make_config_follower(
    generator: random.Random,
) -> Follower[catalog.Catalog]:
    """Returns a follower of the configuration, before the first record.

    The outcome of a ticket is its messages.TicketStatus, that of any other
    record None.
    """
    return Follower(
        Fold(
            catalog.make_catalog,
            _apply_config,
            catalog.skip,
            catalog.snapshot,
            catalog.restore,
            lambda state: state.offset,
            lambda state: state.latest_snapshot,
        ),
        generator,
    )


def _covers_more(next_offset: ids.Offset, offset: ids.Offset) -> bool:
    return offset >= next_offset


def _is_gap(next_offset: ids.Offset, start: ids.Offset) -> bool:
    return start > next_offset


def _apply_config(
    state: catalog.Catalog, offset: ids.Offset, envelope: records.Envelope
) -> Any:
    if isinstance(envelope.body, records.Ticket):
        return catalog.apply(state, offset, envelope.body)
    if isinstance(envelope.body, records.Snapshot):
        catalog.note_snapshot(state, offset, envelope.body)
        return None
    catalog.skip(state, offset)
    return None
