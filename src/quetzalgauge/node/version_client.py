"""Makes the calls to the store that keep software versions of streams."""

from collections.abc import Callable
import datetime
from typing import Any

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge.core import stream_versions
from quetzalgauge.core import version_records
from quetzalgauge.node import event_log
from quetzalgauge.node import metrics
from quetzalgauge.node import store_era
from quetzalgauge.platform import store
from quetzalgauge.platform import version_store

_ERRORS = (exceptions.PlatformError, exceptions.DecodeError)


class _VersionReader:
    """Reads the list of versions, and stream records from where it stopped."""

    def __init__(
        self,
        client: store.StoreClient,
        log: event_log.EventLog,
        counters: metrics.Metrics,
        get_time: clock.Clock,
    ) -> None:
        self._client = client
        self._get_time = get_time
        self._log = log
        self._counters = counters
        self._offset = 0
        self._era = ids.UNNAMED_ERA

    def read(
        self, action: version_records.ReadVersions, sent_at: datetime.timedelta
    ) -> version_records.VersionsRead:
        """Returns the list, and new stream records if they are asked for.

        The list is read first. After the store was restored, all stream records
        count as new.

        Raises:
            exceptions.PlatformError: A call failed.
            exceptions.DecodeError: A response is not valid.
        """
        listed_at, offset = version_store.read_versions(
            self._client, self._report_version
        )
        ages = {
            version: self._get_time() - time
            for version, time in listed_at.items()
        }
        records: tuple[version_records.StreamRecord, ...] = ()
        if action.with_streams:
            records = tuple(self._read_streams())
        return version_records.VersionsRead(
            sent_at,
            frozenset(
                version
                for version, age in ages.items()
                if age <= stream_versions.VERSION_RETENTION
            ),
            records,
            action.with_streams,
            tuple(
                version
                for version, age in ages.items()
                if age > stream_versions.LIST_RETENTION
            ),
            offset,
        )

    def _read_streams(self) -> list[version_records.StreamRecord]:
        era = self._client.era
        offset = self._offset if era == self._era else 0
        records, end = version_store.read_streams(
            self._client, offset, self._report_stream_record
        )
        if self._client.era != era:
            raise exceptions.OutdatedResponseError(
                "another era began between the versions and the streams"
            )
        self._offset = end
        self._era = era
        return records

    def _report_version(self, key: str, error: exceptions.DecodeError) -> None:
        self._counters.count_invalid_record("version")
        self._log.write("version_unreadable", {"key": key, "error": str(error)})

    def _report_stream_record(
        self, key: str, error: exceptions.DecodeError
    ) -> None:
        self._counters.count_invalid_record("stream")
        self._log.write("stream_record_unreadable", {"error": str(error)})


def make_version_handler(
    address: str,
    post_event: Callable[[version_records.Event], None],
    now: clock.Clock,
    log: event_log.EventLog,
    counters: metrics.Metrics,
    check_era: store_era.CheckEra = store_era.accept_all,
    get_time: clock.Clock = clock.get_unix_time,
) -> Callable[[Any], None]:
    """Returns the function that executes an action of `version_records`.

    Args:
        address: IP-ADDRESS:PORT of the store.
        post_event: Called with the result of each call that has one.
        now: The clock.
        log: Gets a line for each failed call and each invalid record.
        counters: Count invalid records.
        check_era: Checks the era that each response of the store names.
        get_time: The time of day, as the time since the Unix epoch.
    """
    client = store.StoreClient(address, check_era)
    reader = _VersionReader(client, log, counters, get_time)

    def handle(action: version_records.Action) -> None:
        sent_at = now()
        try:
            event = _call_store(client, reader, action, sent_at, get_time())
        except _ERRORS as error:
            client.close()
            log.write(
                "version_call_failed",
                {"call": type(action).__name__, "error": str(error)},
            )
            event = _make_failure(action, sent_at)
        if event is not None:
            post_event(event)

    return handle


def _call_store(
    client: store.StoreClient,
    reader: _VersionReader,
    action: version_records.Action,
    sent_at: datetime.timedelta,
    time: datetime.timedelta,
) -> version_records.Event | None:
    match action:
        case version_records.ReadVersions():
            return reader.read(action, sent_at)
        case version_records.ListVersions():
            version_store.list_versions(client, action.versions, time)
            return version_records.VersionsListed(action.versions, True)
        case version_records.AppendStreams():
            version_store.append_streams(client, action.records)
            return version_records.StreamsAppended(action.records, True)
        case version_records.UnlistVersion():
            version_store.unlist_version(client, action)
    return None


def _make_failure(
    action: version_records.Action, sent_at: datetime.timedelta
) -> version_records.Event | None:
    match action:
        case version_records.ReadVersions():
            return version_records.VersionsRead(
                sent_at, None, with_streams=action.with_streams
            )
        case version_records.ListVersions():
            return version_records.VersionsListed(action.versions, False)
        case version_records.AppendStreams():
            return version_records.StreamsAppended(action.records, False)
    return None
