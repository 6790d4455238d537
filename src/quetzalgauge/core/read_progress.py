"""Bounds the age of what this instance has read of each topic.

A long poll cannot tell a quiet topic from a connection that delivers nothing
any more, or from a store that missed to respond. Some instance therefore reads
each topic with short polls, whose end shows that there is nothing new. It tells
the others how far it has read. One that has read less renews its read, and one
that is told nothing reads with short polls itself.

Offsets of two eras of the store can't be compared. An instance that is told of
a later era renews its reads.
"""

from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids

# A read usually ends within milliseconds at all instances. Time beyond the
# interval between two reads after which a topic counts as behind.
MAX_LAG = datetime.timedelta(milliseconds=300)
# An instance that was told nothing for this time reads with short polls. Longer
# than the interval at which leaders repeat their messages.
MAX_SILENCE = datetime.timedelta(milliseconds=700)
# A read older than this confirms nothing to others. Longer than a short poll.
MAX_CONFIRMED_AGE = datetime.timedelta(seconds=2)
# Least time between two renewals of one topic. Longer than a call to the store
# may take, so that a renewal does not interrupt the previous one.
RENEWAL_INTERVAL = datetime.timedelta(seconds=3)

# Above all offsets.
_NEVER_READ = 2**63


@dataclasses.dataclass(slots=True)
class _Topic:
    read_interval: datetime.timedelta
    offset: int
    read_at: datetime.timedelta
    era: ids.StoreEra
    confirmed_at: datetime.timedelta = -MAX_SILENCE
    has_short_polls: bool = True
    peer_offset: int = 0
    expected_offset: int = 0
    expected_at: datetime.timedelta = datetime.timedelta.max
    renewable_at: datetime.timedelta = datetime.timedelta()


class ReadProgress:
    """How far this instance and its peers have read each topic."""

    def __init__(self) -> None:
        self._topics: dict[ids.TopicName, _Topic] = {}
        self._era = ids.UNNAMED_ERA

    @property
    def era(self) -> ids.StoreEra:
        """The latest era in which this instance has read a topic."""
        return self._era

    @property
    def offsets(self) -> tuple[tuple[ids.TopicName, int], ...]:
        """The offset up to which this instance has read each topic.

        Topics that were not read in the latest era are missing.
        """
        return tuple(
            (name, topic.offset)
            for name, topic in self._topics.items()
            if topic.era == self._era
        )

    def list_current_offsets(
        self, era: ids.StoreEra, now: datetime.timedelta
    ) -> tuple[tuple[ids.TopicName, int], ...]:
        """Returns the offsets of topics that were read lately, in an era."""
        return tuple(
            (name, topic.offset)
            for name, topic in self._topics.items()
            if topic.era == era and now - topic.read_at <= MAX_CONFIRMED_AGE
        )

    def record_read(
        self,
        name: ids.TopicName,
        offset: int,
        read_interval: datetime.timedelta,
        now: datetime.timedelta,
        era: ids.StoreEra = ids.UNNAMED_ERA,
    ) -> bool:
        """Records a read of this instance; returns whether it had records.

        Args:
            name: The topic.
            offset: Offset after the last record that was read.
            read_interval: Least time between the starts of two reads.
            now: Current time.
            era: Era of the store.
        """
        topic = self._topics.setdefault(
            name, _Topic(read_interval, offset, now, era)
        )
        self._era = max(self._era, era)
        has_records = offset != topic.offset or era != topic.era
        if era != topic.era:
            topic.era = era
            topic.peer_offset = topic.expected_offset = 0
        topic.offset = offset
        topic.read_at = now
        if offset >= topic.expected_offset:
            topic.expected_at = datetime.timedelta.max
            self._expect(topic, now)
        return has_records

    def record_peer(
        self,
        offsets: Mapping[ids.TopicName, int],
        now: datetime.timedelta,
        era: ids.StoreEra = ids.UNNAMED_ERA,
    ) -> None:
        """Records how far a peer has read; unknown topics are ignored."""
        for name, offset in offsets.items():
            topic = self._topics.get(name)
            if topic is None or era < topic.era:
                continue
            if era > topic.era:
                # Whatever this instance reads in its era, it is behind.
                topic.expected_offset = _NEVER_READ
                topic.expected_at = min(
                    topic.expected_at, now + topic.read_interval + MAX_LAG
                )
                continue
            if offset <= topic.peer_offset:
                continue
            topic.peer_offset = offset
            if topic.expected_at == datetime.timedelta.max:
                self._expect(topic, now)

    def record_confirmation(
        self,
        offsets: Mapping[ids.TopicName, int],
        now: datetime.timedelta,
        era: ids.StoreEra = ids.UNNAMED_ERA,
    ) -> None:
        """Records how far a peer has read lately."""
        for name in offsets.keys() & self._topics.keys():
            if self._topics[name].era == era:
                self._topics[name].confirmed_at = now

    def take_poll_changes(
        self, now: datetime.timedelta
    ) -> list[tuple[ids.TopicName, bool]]:
        """Returns the topics to read differently from now on.

        Each with whether to read it with short polls.
        """
        changes = []
        for name, topic in self._topics.items():
            needs_short_polls = now - topic.confirmed_at >= MAX_SILENCE
            if needs_short_polls != topic.has_short_polls:
                topic.has_short_polls = needs_short_polls
                changes.append((name, needs_short_polls))
        return changes

    def get_ages(
        self, now: datetime.timedelta
    ) -> dict[ids.TopicName, datetime.timedelta]:
        """Returns how long ago each topic was known to have nothing new."""
        return {
            name: now
            - (
                topic.read_at
                if topic.expected_at < datetime.timedelta.max
                else max(topic.read_at, topic.confirmed_at)
            )
            for name, topic in self._topics.items()
        }

    def take_overdue(self, now: datetime.timedelta) -> list[ids.TopicName]:
        """Returns the topics whose reads must be renewed now."""
        overdue = []
        for name, topic in self._topics.items():
            if now < max(topic.expected_at, topic.renewable_at):
                continue
            topic.renewable_at = now + RENEWAL_INTERVAL
            overdue.append(name)
        return overdue

    def _expect(self, topic: _Topic, now: datetime.timedelta) -> None:
        """Sets when this instance must have read what a peer has read."""
        if topic.peer_offset > topic.offset:
            topic.expected_offset = topic.peer_offset
            topic.expected_at = now + topic.read_interval + MAX_LAG
