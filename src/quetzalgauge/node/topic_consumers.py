"""Tasks that follow topics of the platform's store by long reads."""

from collections.abc import Callable
import dataclasses
import datetime
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
from quetzalgauge.platform import config
from quetzalgauge.platform import election_store
from quetzalgauge.platform import registry
from quetzalgauge.platform import store

# How long the store holds back a read without new records. A connection that
# goes silent is found by its keep-alive probes long before.
LONG_POLL_TIMEOUT = datetime.timedelta(seconds=25)
# The register changes several times a second. Reads are priced, and a target
# that leaves may get requests for at least 2 s.
REGISTRY_INTERVAL = datetime.timedelta(seconds=1)
STARTUP_INTERVAL = datetime.timedelta(milliseconds=250)
STARTUP_PERIOD = datetime.timedelta(seconds=5)
# Pauses after failed calls.
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.4
# A topic that failed for less than this had no outage.
MIN_OUTAGE_TIME = datetime.timedelta(milliseconds=700)

_ERRORS = (exceptions.PlatformError, exceptions.DecodeError)


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBatch:
    """Records that were read.

    Attributes:
        items: The records in their order.
        is_snapshot: Whether they are the newest record of every key.
        after_outage: Whether reads had failed for a while.
    """

    items: list[store.KeyedRecord]
    is_snapshot: bool
    after_outage: bool


class LongPollInterrupter:
    """Renews connections to the store that may have gone silent.

    A connection on which an answer was lost stays open and returns nothing
    further, which a read that is held back on purpose does not notice. Once
    another call has failed and the store answers again, all reads begin anew.
    """

    def __init__(self) -> None:
        self._clients: list[store.StoreClient] = []

    def register(self, client: store.StoreClient) -> None:
        """Adds a client whose reads are held back."""
        self._clients.append(client)

    def interrupt_all(self) -> None:
        """Makes the reads of all clients fail, so that they begin anew."""
        for client in self._clients:
            client.interrupt()


def consume_topic(
    topic: str,
    address: str,
    min_interval: datetime.timedelta,
    handle_batch: Callable[[RecordBatch], None],
    now: clock.Clock,
    log: event_log.EventLog,
    interrupter: LongPollInterrupter,
) -> None:
    """Follows a keyed topic until the process ends.

    Args:
        topic: The topic.
        address: IP-NUMBER:PORT of the store.
        min_interval: Shortest time between two reads.
        handle_batch: Called with what was read.
        now: The clock.
        log: Gets a line when the topic is lost and when it is regained.
        interrupter: Ends a read whose connection may have gone silent.
    """
    client = store.StoreClient(address)
    interrupter.register(client)
    position: int | None = None
    failing_since: datetime.timedelta | None = None
    pause = INITIAL_BACKOFF_SECONDS
    while True:
        started = now()
        try:
            if position is None:
                items, position = client.read_newest(topic)
                complete = True
            else:
                items, position = client.read(
                    topic, position, LONG_POLL_TIMEOUT
                )
                complete = False
        except exceptions.LogExpiredError:
            position = None
            continue
        except _ERRORS as error:
            client.close()
            if failing_since is None:
                failing_since = started
                log.write("store_lost", {"topic": topic, "error": str(error)})
            time.sleep(pause)
            pause = min(MAX_BACKOFF_SECONDS, pause * 2)
            continue
        outage = datetime.timedelta()
        if failing_since is not None:
            outage = now() - failing_since
            failing_since = None
            log.write(
                "store_regained",
                {"topic": topic, "after_s": outage.total_seconds()},
            )
        pause = INITIAL_BACKOFF_SECONDS
        handle_batch(RecordBatch(items, complete, outage > MIN_OUTAGE_TIME))
        # Targets appear one after the other when all start together.
        eager = now() < STARTUP_PERIOD
        pace = min(min_interval, STARTUP_INTERVAL) if eager else min_interval
        rest = (started + pace - now()).total_seconds()
        if rest > 0:
            time.sleep(rest)


def make_configuration_handler(
    post_event: Callable[[node.Event], None],
    log: event_log.EventLog,
    counters: metrics.Metrics,
) -> Callable[[RecordBatch], None]:
    """Returns a function that passes on configurations."""

    def use(change: RecordBatch) -> None:
        newest: configuration.Configuration | None = None
        for item in change.items:
            if item.key != config.KEY or item.value is None:
                continue
            try:
                found = config.decode(item.value)
            except exceptions.DecodeError as error:
                counters.count_invalid_record("configuration")
                log.write("configuration_unreadable", {"error": str(error)})
                continue
            if newest is None or found.version > newest.version:
                newest = found
        if newest is not None:
            post_event(node.ConfigurationRead(newest))

    return use


def make_registry_handler(
    post_event: Callable[[node.Event], None],
    log: event_log.EventLog,
    counters: metrics.Metrics,
) -> Callable[[RecordBatch], None]:
    """Returns a function that passes on changes of the register."""

    def use(change: RecordBatch) -> None:
        entries: dict[str, targets.Description] = {}
        removed: dict[str, None] = {}
        unreadable: list[ids.TargetId] = []
        for item in change.items:
            if item.value is None:
                entries.pop(item.key, None)
                removed[item.key] = None
                continue
            try:
                entries[item.key] = registry.decode(item.key, item.value)
                removed.pop(item.key, None)
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
                change.is_snapshot,
                change.after_outage,
                tuple(unreadable),
            )
        )

    return use


def make_leader_record_handler(
    post_event: Callable[[node.Event], None],
    log: event_log.EventLog,
    counters: metrics.Metrics,
) -> Callable[[RecordBatch], None]:
    """Returns a function that passes on the holders of the zones."""
    records: dict[str, election.LeaderRecord] = {}

    def use(change: RecordBatch) -> None:
        if change.is_snapshot:
            records.clear()
        for item in change.items:
            if item.value is None:
                records.pop(item.key, None)
                continue
            try:
                records[item.key] = election_store.decode_record(
                    item.key, item.value
                )
            except exceptions.DecodeError as error:
                counters.count_invalid_record("holder")
                log.write(
                    "holder_unreadable", {"key": item.key, "error": str(error)}
                )
        post_event(node.LeaderRecordsRead(tuple(records.values())))

    return use
