"""What control processes tell each other."""

from collections.abc import Callable
from collections.abc import Sequence
import datetime
from typing import Any

from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import views as views_module
from quetzalgauge.gen import ttypes

INTERVAL = datetime.timedelta(seconds=1)
NEWS_PEERS = 3
# Every fifth comparison goes to another zone.
OTHER_ZONE_EVERY = 5
# A peer that did not answer is left out for this long.
PEER_PAUSE = datetime.timedelta(seconds=3)
SNAPSHOT_INTERVAL = datetime.timedelta(seconds=2)

# Keys of Digest.target_sequences. A zone's checksum stands for all its
# targets, since 9 KB/s per node allow no list of all targets each second. Only
# when checksums differ, a digest lists the zone's targets; the mark says that
# the list is complete.
_CHECKSUM = "checksum/"
_LISTED = "listed/"
_TARGET = "target/"


class Exchange:
    """Digests, updates and news.

    Args:
        ctx: The parts of the controller.
        views: The replicas on each target.
        next_offsets: Returns the next offset of each stream.
        records_from: Returns kept log records of a stream from an offset.
    """

    def __init__(
        self,
        ctx: context.Context,
        views: views_module.Views,
        next_offsets: Callable[[], dict[ids.StreamName, ids.Offset]],
        records_from: Callable[
            [ids.StreamName, ids.Offset], Sequence[tuple[ids.Offset, bytes]]
        ],
    ) -> None:
        self._ctx = ctx
        self._views = views
        self._next_offsets = next_offsets
        self._records_from = records_from
        self._news: dict[ids.TargetId, None] = {}
        self._has_news = False
        self._compared_at: datetime.timedelta | None = None
        self._rounds = 0
        self._paused: dict[str, datetime.timedelta] = {}
        self._snapshot_at: datetime.timedelta | None = None

    def add_news(self, target: ids.TargetId) -> None:
        """Notes that a target's state has to be told at the end of the step."""
        self._news[target] = None
        self._has_news = True

    def add_leaving_news(self) -> None:
        """Notes that the leaving targets have to be told."""
        self._has_news = True

    def tick(self, now: datetime.timedelta) -> None:
        """Compares with one random peer each second."""
        if self._compared_at is not None and now - self._compared_at < INTERVAL:
            return
        self._compared_at = now
        self._rounds += 1
        near, far = self._peers(now)
        is_far = self._rounds % OTHER_ZONE_EVERY == 0
        peers = (far or near) if is_far else (near or far)
        if peers:
            self._send(self._ctx.random.choice(peers), {}, [])

    def flush(self, now: datetime.timedelta) -> None:
        """Tells news to a few peers of the zone."""
        if not self._has_news:
            return
        self._has_news = False
        states = [
            state
            for target in self._news
            if (state := self._views.state(target)) is not None
        ]
        self._news.clear()
        near, far = self._peers(now)
        peers = near or far
        count = min(NEWS_PEERS, len(peers))
        for address in self._ctx.random.sample(peers, count):
            self._send(address, {}, states)

    def digest(self, listed: dict[str, int]) -> Any:
        """Returns a ttypes.Digest of what this process knows.

        Args:
            listed: Further entries of target_sequences.
        """
        ctx = self._ctx
        sequences = {
            _CHECKSUM + zone: value
            for zone, value in self._views.checksums().items()
        }
        sequences.update(listed)
        return ttypes.Digest(
            sender=ttypes.Writer(
                instance=ctx.writer.instance,
                incarnation=ctx.writer.incarnation,
            ),
            availability_zone=ctx.zone,
            next_offsets=dict(self._next_offsets()),
            target_sequences=sequences,
            leaving=[
                ttypes.LeavingTarget(
                    target=target, target_incarnation=incarnation
                )
                for target, incarnation in sorted(ctx.membership.leaving)
            ],
            log_reachable=ctx.reading.is_reachable,
        )

    def answer(self, digest: Any, states: list[Any]) -> Any:
        """Takes a peer's digest and news; returns a ttypes.Update."""
        self._merge(digest, states)
        listed = _listed_zones(digest)
        wanted: list[Any] = []
        for zone in listed:
            wanted += self._newer_than(digest, zone)
        details: dict[str, int] = {}
        # A digest with lists is a second question and gets no list again.
        if not listed:
            for zone in self._differing_zones(digest):
                details.update(self._list_zone(zone))
        return ttypes.Update(
            digest=self.digest(details),
            records=self._missing_records(digest),
            target_states=wanted,
        )

    def receive(
        self, address: str, update: Any, now: datetime.timedelta
    ) -> None:
        """Takes a peer's answer, except for its log records."""
        if update is None:
            self._paused[address] = now + PEER_PAUSE
            return
        self._paused.pop(address, None)
        digest = update.digest
        self._merge(digest, update.target_states)
        details: dict[str, int] = {}
        states: list[Any] = []
        for zone in _listed_zones(digest):
            details.update(self._list_zone(zone))
            states += self._newer_than(digest, zone)
        if details or update.records:
            self._send(address, details, states)
        self._fetch_snapshots(address, update, now)

    def _merge(self, digest: Any, states: list[Any]) -> None:
        membership = self._ctx.membership
        for state in states:
            if membership.is_absent(ids.TargetId(state.target)):
                continue
            if self._views.merge(state):
                self.add_news(ids.TargetId(state.target))
        for item in digest.leaving:
            target = ids.TargetId(item.target)
            incarnation = ids.TargetIncarnation(item.target_incarnation)
            if membership.mark_leaving(target, incarnation):
                self.add_leaving_news()

    def _differing_zones(self, digest: Any) -> list[str]:
        own = self._views.checksums()
        theirs = {
            key.removeprefix(_CHECKSUM): value
            for key, value in digest.target_sequences.items()
            if key.startswith(_CHECKSUM)
        }
        return [
            zone
            for zone in sorted(set(own) | set(theirs))
            if own.get(zone, 0) != theirs.get(zone, 0)
        ]

    def _list_zone(self, zone: str) -> dict[str, int]:
        listed = {
            _TARGET + target: self._views.order_of(target)
            for target in self._views.targets_of_zone(zone)
        }
        listed[_LISTED + zone] = 1
        return listed

    def _newer_than(self, digest: Any, zone: str) -> list[Any]:
        return [
            self._views.states[target]
            for target in self._views.targets_of_zone(zone)
            if self._views.order_of(target)
            > digest.target_sequences.get(_TARGET + target, -1)
        ]

    def _missing_records(self, digest: Any) -> dict[str, list[Any]]:
        if digest.log_reachable:
            return {}
        missing = {}
        for stream, offset in digest.next_offsets.items():
            found = self._records_from(ids.StreamName(stream), offset)
            if found:
                missing[stream] = [
                    ttypes.LogRecord(offset=place, data=data)
                    for place, data in found
                ]
        return missing

    def _fetch_snapshots(
        self, address: str, update: Any, now: datetime.timedelta
    ) -> None:
        """Asks for whole state when a peer no longer keeps the records."""
        if self._ctx.reading.is_reachable:
            return
        last = self._snapshot_at
        if last is not None and now - last < SNAPSHOT_INTERVAL:
            return
        own = self._next_offsets()
        for stream, offset in update.digest.next_offsets.items():
            is_behind = offset > own.get(ids.StreamName(stream), offset)
            if is_behind and not update.records.get(stream):
                self._snapshot_at = now
                self._ctx.act(
                    messages.FetchSnapshot(address, ids.StreamName(stream))
                )

    def pick_peer(self, now: datetime.timedelta) -> str | None:
        """Returns the address of a random peer, near ones first."""
        near, far = self._peers(now)
        peers = near or far
        return self._ctx.random.choice(peers) if peers else None

    def _peers(self, now: datetime.timedelta) -> tuple[list[str], list[str]]:
        """Returns the addresses of peers in this zone and in others."""
        ctx = self._ctx
        near: list[str] = []
        far: list[str] = []
        for instance, item in ctx.membership.systems.items():
            if instance == ctx.writer.instance:
                continue
            registered = ctx.ledger.writers.get(instance)
            address = item.address
            if registered is not None:
                address = registered.peer_address
            if now < self._paused.get(address, now):
                continue
            is_near = item.availability_zone == ctx.zone
            (near if is_near else far).append(address)
        return near, far

    def _send(
        self, address: str, listed: dict[str, int], states: list[Any]
    ) -> None:
        self._ctx.act(
            messages.ExchangeWithPeer(address, self.digest(listed), states)
        )


def _listed_zones(digest: Any) -> list[str]:
    return [
        key.removeprefix(_LISTED)
        for key in digest.target_sequences
        if key.startswith(_LISTED)
    ]
