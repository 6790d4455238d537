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
from quetzalgauge.node import journal
from quetzalgauge.node import meters
from quetzalgauge.platform import config
from quetzalgauge.platform import register
from quetzalgauge.platform import seats
from quetzalgauge.platform import store

# How long the store holds back a read without new records. A connection that
# goes silent is found by its keep-alive probes long before.
LONG_WAIT = datetime.timedelta(seconds=25)
# The register changes several times a second. Reads are priced, and a target
# that leaves may get requests for at least 2 s.
REGISTER_INTERVAL = datetime.timedelta(seconds=1)
EAGER_INTERVAL = datetime.timedelta(milliseconds=250)
EAGER_TIME = datetime.timedelta(seconds=5)
# Pauses after failed calls.
FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 0.4
# A topic that failed for less than this had no outage.
OUTAGE_TIME = datetime.timedelta(milliseconds=700)

_ERRORS = (exceptions.PlatformError, exceptions.DecodeError)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Records that were read.

    Attributes:
        items: The records in their order.
        complete: Whether they are the newest record of every key.
        after_outage: Whether reads had failed for a while.
    """

    items: list[store.Item]
    complete: bool
    after_outage: bool


class Renewal:
    """Renews connections to the store that may have gone silent.

    A connection on which an answer was lost stays open and returns nothing
    further, which a read that is held back on purpose does not notice. Once
    another call has failed and the store answers again, all reads begin anew.
    """

    def __init__(self) -> None:
        self._clients: list[store.Store] = []

    def add(self, client: store.Store) -> None:
        """Adds a client whose reads are held back."""
        self._clients.append(client)

    def renew(self) -> None:
        """Makes the reads of all clients fail, so that they begin anew."""
        for client in self._clients:
            client.interrupt()


def follow(
    topic: str,
    address: str,
    interval: datetime.timedelta,
    use: Callable[[Change], None],
    now: clock.Clock,
    log: journal.Journal,
    renewal: Renewal,
) -> None:
    """Follows a keyed topic until the process ends.

    Args:
        topic: The topic.
        address: IP-NUMBER:PORT of the store.
        interval: Shortest time between two reads.
        use: Called with what was read.
        now: The clock.
        log: Gets a line when the topic is lost and when it is regained.
        renewal: Ends a read whose connection may have gone silent.
    """
    client = store.Store(address)
    renewal.add(client)
    position: int | None = None
    failing_since: datetime.timedelta | None = None
    pause = FIRST_PAUSE_SECONDS
    while True:
        started = now()
        try:
            if position is None:
                items, position = client.read_newest(topic)
                complete = True
            else:
                items, position = client.read(topic, position, LONG_WAIT)
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
            pause = min(LONGEST_PAUSE_SECONDS, pause * 2)
            continue
        outage = datetime.timedelta()
        if failing_since is not None:
            outage = now() - failing_since
            failing_since = None
            log.write(
                "store_regained",
                {"topic": topic, "after_s": outage.total_seconds()},
            )
        pause = FIRST_PAUSE_SECONDS
        use(Change(items, complete, outage > OUTAGE_TIME))
        # Targets appear one after the other when all start together.
        eager = now() < EAGER_TIME
        pace = min(interval, EAGER_INTERVAL) if eager else interval
        rest = (started + pace - now()).total_seconds()
        if rest > 0:
            time.sleep(rest)


def make_configuration_user(
    tell: Callable[[node.Event], None],
    log: journal.Journal,
    counters: meters.Meters,
) -> Callable[[Change], None]:
    """Returns a function that passes on configurations."""

    def use(change: Change) -> None:
        newest: configuration.Configuration | None = None
        for item in change.items:
            if item.key != config.KEY or item.value is None:
                continue
            try:
                found = config.decode(item.value)
            except exceptions.DecodeError as error:
                counters.count_invalid("configuration")
                log.write("configuration_unreadable", {"error": str(error)})
                continue
            if newest is None or found.version > newest.version:
                newest = found
        if newest is not None:
            tell(node.ConfigurationRead(newest))

    return use


def make_register_user(
    tell: Callable[[node.Event], None],
    log: journal.Journal,
    counters: meters.Meters,
) -> Callable[[Change], None]:
    """Returns a function that passes on changes of the register."""

    def use(change: Change) -> None:
        entries: dict[str, targets.Description] = {}
        removed: dict[str, None] = {}
        unreadable: list[ids.TargetId] = []
        for item in change.items:
            if item.value is None:
                entries.pop(item.key, None)
                removed[item.key] = None
                continue
            try:
                entries[item.key] = register.decode(item.key, item.value)
                removed.pop(item.key, None)
            except exceptions.DecodeError as error:
                unreadable.append(ids.TargetId(item.key))
                counters.count_invalid("register")
                log.write(
                    "entry_unreadable", {"key": item.key, "error": str(error)}
                )
        tell(
            targets.RegistryUpdated(
                tuple(entries.values()),
                tuple(ids.TargetId(key) for key in removed),
                change.complete,
                change.after_outage,
                tuple(unreadable),
            )
        )

    return use


def make_holders_user(
    tell: Callable[[node.Event], None],
    log: journal.Journal,
    counters: meters.Meters,
) -> Callable[[Change], None]:
    """Returns a function that passes on the holders of the zones."""
    records: dict[str, election.LeaderRecord] = {}

    def use(change: Change) -> None:
        if change.complete:
            records.clear()
        for item in change.items:
            if item.value is None:
                records.pop(item.key, None)
                continue
            try:
                records[item.key] = seats.decode_record(item.key, item.value)
            except exceptions.DecodeError as error:
                counters.count_invalid("holder")
                log.write(
                    "holder_unreadable", {"key": item.key, "error": str(error)}
                )
        tell(node.LeaderRecordsRead(tuple(records.values())))

    return use
