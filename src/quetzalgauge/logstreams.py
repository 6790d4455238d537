"""The two streams of the log that a control process follows and appends to."""

from collections.abc import Callable
import dataclasses
import datetime
import random as random_module
from typing import Any

from quetzalgauge import appends as appends_module
from quetzalgauge import context
from quetzalgauge import follower as follower_module
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge.gen import ttypes

APPEND_RETRY = datetime.timedelta(milliseconds=500)
SNAPSHOT_FETCH_INTERVAL = datetime.timedelta(seconds=2)
RECENT_BYTES = 128 * 1024


@dataclasses.dataclass(slots=True)
class Stream:
    """One stream: the fold and the own proposals."""

    name: ids.StreamName
    follower: Any
    appends: appends_module.Appends
    retry: datetime.timedelta = datetime.timedelta()
    fetched: datetime.timedelta = datetime.timedelta()


class LogStreams:
    """Reads both streams, and appends to them.

    Attributes:
        decisions: The decision stream of the region.
        config: The configuration stream.
    """

    def __init__(
        self,
        writer: ids.WriterId,
        region: ids.Region,
        random: random_module.Random,
        act: Callable[[messages.Action], None],
        take: Callable[[Stream, follower_module.Progress], None],
    ) -> None:
        """Makes streams without any record.

        Args:
            writer: The writer of the own proposals.
            region: The region whose decisions are followed.
            random: The source of random delays.
            act: Adds an action to the result of the present step.
            take: Gets what was folded from a stream.
        """
        self._act = act
        self._take = take
        self.decisions = Stream(
            ids.decision_stream(region),
            follower_module.make_decision_follower(random),
            appends_module.make_appends(writer),
        )
        self.config = Stream(
            ids.CONFIG_STREAM,
            follower_module.make_config_follower(random),
            appends_module.make_appends(writer),
        )
        self._by_name = {
            stream.name: stream for stream in (self.decisions, self.config)
        }

    @property
    def is_writer_shared(self) -> bool:
        """Whether another process appends as the same writer."""
        return (
            self.decisions.appends.is_writer_shared
            or self.config.appends.is_writer_shared
        )

    @property
    def is_idle(self) -> bool:
        """Whether the outcome of every own proposal is known."""
        return self.decisions.appends.is_idle and self.config.appends.is_idle

    # ---- Reading -----------------------------------------------------------

    def start(self) -> None:
        """Starts to read both streams."""
        for stream in self._by_name.values():
            self._read_from(stream)

    def read(self, event: messages.StreamRead) -> None:
        """Folds records from the log."""
        stream = self._by_name[event.stream]
        progress = stream.follower.read(event.records, event.next_offset)
        self._take(stream, progress)

    def expire(self, event: messages.StreamExpired) -> None:
        """Goes on behind records that the log no longer keeps."""
        stream = self._by_name[event.stream]
        self._take(stream, stream.follower.expire(event.earliest))
        self._read_from(stream)

    def next_offsets(self) -> dict[ids.StreamName, ids.Offset]:
        """Returns the offset after the last folded record, by stream."""
        return {
            name: stream.follower.next_offset
            for name, stream in self._by_name.items()
        }

    def _read_from(self, stream: Stream) -> None:
        self._act(messages.ReadStream(stream.name, stream.follower.read_from))

    # ---- Records and snapshots of peers ------------------------------------

    def records_from(
        self, name: ids.StreamName, offset: ids.Offset
    ) -> tuple[tuple[ids.Offset, bytes], ...]:
        """Returns recent records for a peer, none if it is too far behind."""
        stream = self._by_name.get(name)
        if stream is None:
            return ()
        return stream.follower.recent(offset, RECENT_BYTES) or ()

    def take_peer_records(self, rows_by_stream: dict[str, Any]) -> None:
        """Folds records that a peer has sent."""
        for name, rows in rows_by_stream.items():
            stream = self._by_name.get(ids.StreamName(name))
            if stream is None:
                continue
            before = stream.follower.read_from
            progress = stream.follower.take_records(
                [(row.offset, row.data) for row in rows]
            )
            self._take(stream, progress)
            if stream.follower.read_from != before:
                self._read_from(stream)

    def catch_up(
        self,
        pick_peer: Callable[[datetime.timedelta], str | None],
        now: datetime.timedelta,
    ) -> None:
        """Asks a peer for state that neither log nor snapshots give."""
        for stream in self._by_name.values():
            if not stream.follower.is_catching_up:
                continue
            if now - stream.fetched < SNAPSHOT_FETCH_INTERVAL:
                continue
            address = pick_peer(now)
            if address is not None:
                stream.fetched = now
                self._act(messages.FetchSnapshot(address, stream.name))

    def answer_snapshot(self, event: messages.SnapshotWanted) -> None:
        """Answers a peer that asks for the folded state of a stream."""
        stream = self._by_name.get(event.stream)
        answer = ttypes.LogRecord(offset=ids.NO_OFFSET, data=b"")
        if stream is not None and stream.follower.next_offset > 0:
            body = stream.follower.snapshot()
            answer = ttypes.LogRecord(
                offset=body.covers_offset, data=body.state
            )
        self._act(messages.Reply(event.token, answer))

    def take_snapshot(self, event: messages.SnapshotFetched) -> bool:
        """Takes a peer's folded state; True if it replaced the catalog."""
        stream = self._by_name.get(event.stream)
        if stream is None or not event.data:
            return False
        before = stream.follower.read_from
        progress = stream.follower.take_snapshot(event.offset, event.data)
        self._take(stream, progress)
        if stream.follower.read_from != before:
            self._read_from(stream)
        return stream is self.config and progress.restored

    # ---- Appending ---------------------------------------------------------

    def propose_snapshots(
        self, ctx: context.Context, now: datetime.timedelta
    ) -> None:
        """Proposes a snapshot of each stream that is due for one."""
        if not ctx.is_registered or not ctx.reading.is_current(now):
            return
        interval = ctx.settings.snapshot_interval
        processes = max(1, len(ctx.ledger.writers))
        for stream in self._by_name.values():
            if stream.follower.is_snapshot_due(now, interval, processes):
                stream.appends.propose(stream.follower.snapshot())

    def start_appends(self, now: datetime.timedelta) -> None:
        """Sends the proposals that wait, one batch for each stream."""
        for stream in self._by_name.values():
            if now < stream.retry:
                continue
            batch = stream.appends.start()
            if batch:
                self._act(messages.AppendRecords(stream.name, batch))

    def end_append(
        self, event: messages.AppendDone, now: datetime.timedelta
    ) -> None:
        """Notes the end of an append; one without answer is repeated."""
        stream = self._by_name[event.stream]
        stream.appends.finish(event.acknowledged)
        if not event.acknowledged:
            stream.retry = now + APPEND_RETRY
