"""Detects topics that other instances have read further than this one.

A long poll cannot tell a quiet topic from a connection that delivers nothing
any more. Messages between instances therefore carry how far the sender has
read each topic, which bounds the age of what this instance has read: if it
stays behind, the read is renewed.
"""

from collections.abc import Mapping
import dataclasses
import datetime

from quetzalgauge import ids

# A read usually ends within milliseconds at all instances. Time beyond the
# interval between two reads after which a topic counts as behind.
MAX_LAG = datetime.timedelta(milliseconds=300)
# Least time between two renewals of one topic. Longer than a call to the store
# may take, so that a renewal does not interrupt the previous one.
RENEWAL_INTERVAL = datetime.timedelta(seconds=3)


@dataclasses.dataclass(slots=True)
class _Topic:
    read_interval: datetime.timedelta
    offset: int
    peer_offset: int = 0
    expected_offset: int = 0
    expected_at: datetime.timedelta = datetime.timedelta.max
    renewable_at: datetime.timedelta = datetime.timedelta()


class ReadProgress:
    """How far this instance and its peers have read each topic."""

    def __init__(self) -> None:
        self._topics: dict[ids.TopicName, _Topic] = {}

    @property
    def offsets(self) -> tuple[tuple[ids.TopicName, int], ...]:
        """The offset up to which this instance has read each topic."""
        return tuple(
            (name, topic.offset) for name, topic in self._topics.items()
        )

    def record_read(
        self,
        name: ids.TopicName,
        offset: int,
        read_interval: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records a read of this instance.

        Args:
            name: The topic.
            offset: Offset after the last record that was read.
            read_interval: Least time between the starts of two reads.
            now: Current time.
        """
        topic = self._topics.setdefault(name, _Topic(read_interval, offset))
        topic.offset = offset
        if offset >= topic.expected_offset:
            topic.expected_at = datetime.timedelta.max
            self._expect(topic, now)

    def record_peer(
        self,
        offsets: Mapping[ids.TopicName, int],
        now: datetime.timedelta,
    ) -> None:
        """Records how far a peer has read; unknown topics are ignored."""
        for name, offset in offsets.items():
            topic = self._topics.get(name)
            if topic is None or offset <= topic.peer_offset:
                continue
            topic.peer_offset = offset
            if topic.expected_at == datetime.timedelta.max:
                self._expect(topic, now)

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
