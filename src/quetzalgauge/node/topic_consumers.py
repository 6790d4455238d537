"""Tasks that consume topics of the platform's store by long polling."""

from collections.abc import Callable
import dataclasses
import datetime
import threading
import time

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge.core import configuration
from quetzalgauge.core import election
from quetzalgauge.core import node
from quetzalgauge.core import targets
from quetzalgauge.node import event_log
from quetzalgauge.node import metrics
from quetzalgauge.node import store_era
from quetzalgauge.platform import config
from quetzalgauge.platform import election_store
from quetzalgauge.platform import registry
from quetzalgauge.platform import store

# How long the store holds a long poll open while there are no new records.
# TCP keep-alive probes detect a dead connection well before that.
LONG_POLL_TIMEOUT = datetime.timedelta(seconds=25)
# The same for a short poll, as a share of the time within which a record must
# be in force. The rest is for telling other instances, and for their reads.
SHORT_POLL_SHARE = 0.35
# The target registry changes several times a second and every read is charged.
# Two reads within the time for which a draining target accepts requests are
# enough.
REGISTRY_READS_PER_DRAIN = 2
# Targets that join or restart are learned of only from the registry.
MAX_REGISTRY_INTERVAL = datetime.timedelta(seconds=2)
# All targets may start together and then register one after the other, so the
# registry is read more often at first.
STARTUP_INTERVAL = datetime.timedelta(milliseconds=250)
STARTUP_PERIOD = datetime.timedelta(seconds=5)
# Exponential backoff after failed calls.
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.4
# Shorter failures do not count as an outage.
MIN_OUTAGE_TIME = datetime.timedelta(milliseconds=700)

_ERRORS = (exceptions.PlatformError, exceptions.DecodeError)
_INVALID_RESPONSE_ERRORS = (
    exceptions.InvalidResponseError,
    exceptions.DecodeError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBatch:
    """Records from one read of a topic.

    Attributes:
        items: The records in log order.
        is_snapshot: Whether they are the latest records of all keys.
        after_outage: Whether reads had failed for more than MIN_OUTAGE_TIME.
        begins_era: Whether it is the first read since the store came back from
            an older copy.
    """

    items: list[store.KeyedRecord]
    is_snapshot: bool
    after_outage: bool
    begins_era: bool = False


class _TopicReader:
    """The reads of one topic, which other threads may renew."""

    def __init__(
        self,
        topic: str,
        client: store.StoreClient,
        short_poll_timeout: datetime.timedelta,
    ) -> None:
        self._topic = topic
        self._client = client
        self._short_poll_timeout = short_poll_timeout
        self._has_short_polls = True
        self._needs_snapshot = threading.Event()
        self._renewed_offset: int | None = None
        self.offset: int | None = None
        self.era = ids.UNNAMED_ERA
        self.started_at: datetime.timedelta | None = None

    def read(self) -> tuple[list[store.KeyedRecord], bool]:
        """Returns new records, and whether they are a snapshot."""
        if self.offset is None or self._needs_snapshot.is_set():
            # A slow store may answer long polls only, so a snapshot is tried
            # once, and the offset is kept until there is one.
            self._needs_snapshot.clear()
            items, self.offset = self._client.read_newest(self._topic)
            self.era = self._client.era
            return items, True
        timeout = LONG_POLL_TIMEOUT
        if self._has_short_polls:
            timeout = self._short_poll_timeout
        items, offset = self._client.read(self._topic, self.offset, timeout)
        if self._client.era != self.era:
            # The offset was given out again, so records may be missing.
            self.offset = None
            return self.read()
        self.offset = offset
        return items, False

    def set_polls(self, are_short: bool) -> None:
        """Sets whether polls are short, and ends a long one in progress."""
        self._has_short_polls = are_short
        if are_short:
            self._client.interrupt()

    def interrupt(self) -> None:
        """Makes the read in progress fail at once."""
        self._client.interrupt()

    def renew(self) -> None:
        """Restarts the current read, with a snapshot if that did not help.

        That is the case if no record was read since the last renewal.
        """
        if self.offset == self._renewed_offset:
            self._needs_snapshot.set()
        self._renewed_offset = self.offset
        self._client.interrupt()

    def request_snapshot(self) -> None:
        """Makes the next read a snapshot."""
        self._needs_snapshot.set()

    def close(self) -> None:
        """Closes the connection; the next read opens a new one."""
        self._client.close()


class LongPollInterrupter:
    """Interrupts long polls whose connection to the store may be dead.

    If a response is lost, the connection stays open but delivers nothing more.
    A long poll cannot tell this from a topic without new records. So once
    another call has failed and the store responds again, the long polls that
    began before that are restarted.
    """

    def __init__(
        self, check_era: store_era.CheckEra = store_era.accept_all
    ) -> None:
        self._check_era = check_era
        self._readers: dict[str, _TopicReader] = {}

    def make_reader(
        self,
        topic: str,
        address: str,
        short_poll_timeout: datetime.timedelta = LONG_POLL_TIMEOUT,
    ) -> _TopicReader:
        """Returns a reader of a topic whose long polls can be interrupted."""
        reader = _TopicReader(
            topic,
            store.StoreClient(address, self._check_era),
            short_poll_timeout,
        )
        self._readers[topic] = reader
        return reader

    def interrupt_older(self, started_at: datetime.timedelta) -> None:
        """Restarts the reads that began before a call that has succeeded."""
        for reader in list(self._readers.values()):
            if reader.started_at is not None and reader.started_at < started_at:
                reader.interrupt()

    def begin_anew(self) -> list[str]:
        """Makes all readers begin with a snapshot; returns their topics."""
        readers = dict(self._readers)
        for reader in readers.values():
            reader.request_snapshot()
            reader.interrupt()
        return list(readers)

    def set_polls(self, topic: str, are_short: bool) -> None:
        """Sets whether a topic is read with short polls."""
        reader = self._readers.get(topic)
        if reader is not None:
            reader.set_polls(are_short)

    def renew(self, topic: str) -> None:
        """Restarts the read of a topic, see `_TopicReader.renew`."""
        reader = self._readers.get(topic)
        if reader is not None:
            reader.renew()


def consume_topic(
    topic: str,
    address: str,
    min_interval: datetime.timedelta,
    handle_batch: Callable[[RecordBatch], None],
    now: clock.Clock,
    log: event_log.EventLog,
    interrupter: LongPollInterrupter,
    post_event: Callable[[node.Event], None],
    short_poll_timeout: datetime.timedelta = LONG_POLL_TIMEOUT,
) -> None:
    """Consumes a keyed topic until the process ends.

    Args:
        topic: The topic.
        address: IP-ADDRESS:PORT of the store.
        min_interval: Minimum time between the starts of two reads.
        handle_batch: Called with the records of each read.
        now: The clock.
        log: Gets a line when reads begin to fail and when they succeed again.
        interrupter: Interrupts a long poll whose connection may be dead.
        post_event: Called after each batch with how far the topic was read.
        short_poll_timeout: How long the store holds a short poll open.
    """
    reader = interrupter.make_reader(topic, address, short_poll_timeout)
    failing_since: datetime.timedelta | None = None
    backoff = INITIAL_BACKOFF_SECONDS
    era: ids.StoreEra | None = None
    while True:
        started_at = reader.started_at = now()
        try:
            items, is_snapshot = reader.read()
        except exceptions.LogExpiredError:
            # The log no longer has the records at the offset, so the next read
            # is a snapshot.
            reader.offset = None
            continue
        except exceptions.CallInterruptedError:
            reader.close()
            continue
        except _ERRORS as error:
            reader.close()
            if failing_since is None:
                failing_since = started_at
                log.write("store_lost", {"topic": topic, "error": str(error)})
            if isinstance(error, _INVALID_RESPONSE_ERRORS):
                # The same read may fail for good: another writer's record may
                # look like the beginning of a response.
                reader.request_snapshot()
            time.sleep(backoff)
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
            continue
        reader.started_at = None
        outage = datetime.timedelta()
        if failing_since is not None:
            outage = now() - failing_since
            failing_since = None
            log.write(
                "store_regained",
                {"topic": topic, "after_s": outage.total_seconds()},
            )
            interrupter.interrupt_older(started_at)
        backoff = INITIAL_BACKOFF_SECONDS
        begins_era = era is not None and era != reader.era
        era = reader.era
        handle_batch(
            RecordBatch(
                items, is_snapshot, outage > MIN_OUTAGE_TIME, begins_era
            )
        )
        assert reader.offset is not None
        post_event(
            node.TopicRead(
                ids.TopicName(topic), reader.offset, min_interval, era
            )
        )
        # The clock of the process starts at 0.
        is_starting = now() < STARTUP_PERIOD
        interval = (
            min(min_interval, STARTUP_INTERVAL) if is_starting else min_interval
        )
        delay = (started_at + interval - now()).total_seconds()
        if delay > 0:
            time.sleep(delay)


def choose_registry_interval(
    drain_time: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the least time between the starts of two reads of the registry.

    Args:
        drain_time: Time for which a draining target still accepts requests.
    """
    return min(MAX_REGISTRY_INTERVAL, drain_time / REGISTRY_READS_PER_DRAIN)


def _is_deletion(item: store.KeyedRecord) -> bool:
    return item.value is None and not item.error


def _get_value(item: store.KeyedRecord) -> bytes:
    if item.value is None:
        raise exceptions.DecodeError(item.error)
    return item.value


def make_configuration_handler(
    post_event: Callable[[node.Event], None],
    log: event_log.EventLog,
    counters: metrics.Metrics,
) -> Callable[[RecordBatch], None]:
    """Returns a function that posts the newest configuration of a batch."""

    def handle_batch(batch: RecordBatch) -> None:
        newest: configuration.Configuration | None = None
        for item in batch.items:
            if item.key != config.KEY or _is_deletion(item):
                continue
            try:
                decoded = config.decode(_get_value(item))
            except exceptions.DecodeError as error:
                counters.count_invalid_record("configuration")
                log.write(
                    "configuration_unreadable",
                    {"key": item.key, "error": str(error)},
                )
                continue
            if newest is None or decoded.version > newest.version:
                newest = decoded
        if newest is not None:
            post_event(node.ConfigurationRead(newest))

    return handle_batch


def make_registry_handler(
    post_event: Callable[[node.Event], None],
    log: event_log.EventLog,
    counters: metrics.Metrics,
) -> Callable[[RecordBatch], None]:
    """Returns a function that posts changes of the target registry."""

    def handle_batch(batch: RecordBatch) -> None:
        entries: dict[str, targets.Description] = {}
        removed: dict[str, None] = {}
        rewritten: dict[str, None] = {}
        unreadable: list[ids.TargetId] = []
        for item in batch.items:
            if _is_deletion(item):
                entries.pop(item.key, None)
                removed[item.key] = None
                continue
            try:
                entries[item.key] = registry.decode(item.key, _get_value(item))
                if item.key in removed:
                    del removed[item.key]
                    rewritten[item.key] = None
            except exceptions.DecodeError as error:
                unreadable.append(ids.TargetId(item.key))
                counters.count_invalid_record("register")
                log.write(
                    "entry_unreadable", {"key": item.key, "error": str(error)}
                )
        post_event(
            targets.RegistryUpdated(
                tuple(entries.values()),
                tuple(ids.TargetId(key) for key in removed),
                batch.is_snapshot,
                batch.after_outage,
                tuple(unreadable),
                batch.begins_era,
                tuple(ids.TargetId(key) for key in rewritten),
            )
        )

    return handle_batch


def make_leader_record_handler(
    post_event: Callable[[node.Event], None],
    log: event_log.EventLog,
    counters: metrics.Metrics,
) -> Callable[[RecordBatch], None]:
    """Returns a function that posts the leader records of all zones."""
    records: dict[str, election.LeaderRecord] = {}

    def handle_batch(batch: RecordBatch) -> None:
        if batch.is_snapshot:
            records.clear()
        for item in batch.items:
            if _is_deletion(item):
                records.pop(item.key, None)
                continue
            try:
                records[item.key] = election_store.decode_record(
                    item.key, _get_value(item)
                )
            except exceptions.DecodeError as error:
                counters.count_invalid_record("holder")
                log.write(
                    "holder_unreadable", {"key": item.key, "error": str(error)}
                )
        post_event(node.LeaderRecordsRead(tuple(records.values())))

    return handle_batch
