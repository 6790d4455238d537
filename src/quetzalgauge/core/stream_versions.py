"""Software versions of targets, and which of them began each stream.

What targets of two versions generate does not fit together, and targets do not
check it, so a stream goes on only at the version that began it. An instance
knows the streams that it began itself. For the others it relies on two kinds of
records in the store, see `version_records`:

- A version is listed there before it begins a stream that may be resumed. A
  list that was read after a caller asked therefore has the version of its
  stream. If it is the only one of the service, that is the answer.
- While a service has had several versions lately, each stream is recorded.

The records of streams are written after the streams have begun, so they may be
missing when their instance is killed. The version of such a stream is unknown,
and it does not go on.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import enum
from typing import Any
from typing import NamedTuple

from quetzalgauge import ids
from quetzalgauge.core import log_events
from quetzalgauge.core import targets
from quetzalgauge.core import version_records

# A version counts as one of its service for this long after its last target
# was registered. No stream lasts as long.
VERSION_RETENTION = datetime.timedelta(minutes=15)
# A place in the list is removed this long after it was last written.
LIST_RETENTION = datetime.timedelta(days=1)
# Present versions are listed again at this interval, so that they stay listed.
LIST_INTERVAL = datetime.timedelta(minutes=5)
# Least time between two appends of stream records by one instance. With more
# instances than MAX_FULL_RATE_INSTANCES it grows up to the maximum, so that the
# rate of appends to the store does not.
MIN_APPEND_INTERVAL = datetime.timedelta(milliseconds=200)
MAX_APPEND_INTERVAL = datetime.timedelta(seconds=1)
MAX_FULL_RATE_INSTANCES = 10
MAX_RECORDS_PER_APPEND = 4000
# Streams in progress are recorded again, since records expire.
REFRESH_INTERVAL = datetime.timedelta(seconds=5)
# Time for a call to the store and its response.
CALL_MARGIN = datetime.timedelta(milliseconds=200)
RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
# Streams of other instances that are kept in memory, and own ones.
MAX_STREAMS = 20_000
# Own streams are remembered for this long after they ended.
STREAM_RETENTION = datetime.timedelta(seconds=30)
# A target that has restarted is registered within this time. A stream that has
# begun on it later than that may have begun after the restart.
RESTART_VISIBILITY = datetime.timedelta(seconds=3)
# What an instance knows of the targets may be outdated if it is older.
MAX_REGISTRY_AGE = datetime.timedelta(seconds=2.5)

# Before any time on the core's clock.
_NEVER = datetime.timedelta(days=-1)


class Status(enum.Enum):
    """What is known of the version that began a stream."""

    KNOWN = "known"
    UNKNOWN = "unknown"
    PENDING = "pending"  # The store has to be asked first.


class Finding(NamedTuple):
    """Result of a search for the version that began a stream.

    Attributes:
        status: What is known.
        version: The version if it is known.
        check_at: When to ask again if it is pending.
    """

    status: Status
    version: ids.SoftwareVersion | None = None
    check_at: datetime.timedelta = _NEVER


@dataclasses.dataclass(slots=True)
class _Stream:
    """A stream that this instance has begun or goes on with."""

    record: version_records.StreamRecord
    target: ids.TargetId
    incarnation: int
    began_at: datetime.timedelta
    # The version as it was known when the stream began.
    first_version: ids.SoftwareVersion | None
    # Requests of this instance that pass it on.
    request_count: int = 1
    ended_at: datetime.timedelta | None = None


class StreamVersions:
    """What an instance knows of software versions and of streams.

    It performs no I/O: `take_actions` returns calls to the store.
    """

    def __init__(self) -> None:
        self._listed: set[version_records.ServiceVersion] = set()
        self._listed_at: dict[
            version_records.ServiceVersion, datetime.timedelta
        ] = {}
        self._present: dict[
            version_records.ServiceVersion, datetime.timedelta
        ] = {}
        self._last_seen: dict[
            version_records.ServiceVersion, datetime.timedelta
        ] = {}
        # The versions of targets that are not leaving.
        self._serving: frozenset[version_records.ServiceVersion] = frozenset()
        # Those with a target whose version is not known after a restart.
        self._restarted_services: frozenset[ids.ServiceName] = frozenset()
        self._expired: version_records.UnlistVersion | None = None
        self._own: dict[ids.RequestId, _Stream] = {}
        self._others: collections.OrderedDict[
            ids.RequestId, version_records.StreamRecord
        ] = collections.OrderedDict()
        self._unrecorded: dict[ids.RequestId, version_records.StreamRecord] = {}
        # When a sign was seen that the start of a target has ended.
        self._doubted: dict[tuple[ids.TargetId, int], datetime.timedelta] = {}
        self._registry_read_at = _NEVER
        # When a stream was asked for first that was not known.
        self._asked: dict[ids.RequestId, datetime.timedelta] = {}
        self._mixed_services: frozenset[ids.ServiceName] = frozenset()
        self._list_read_at = _NEVER
        self._streams_read_at = _NEVER
        self._read_due_at: datetime.timedelta | None = None
        self._is_reading = False
        self._next_read_at = _NEVER
        self._is_listing = False
        self._has_lost_listing = False
        self._next_listing_at = _NEVER
        self._is_appending = False
        self._next_append_at = _NEVER
        self._next_refresh_at = _NEVER
        self._append_interval = MIN_APPEND_INTERVAL
        self._log_events: list[log_events.LogEvent] = []

    @property
    def mixed_services(self) -> frozenset[ids.ServiceName]:
        """The services that have had targets of several versions lately."""
        return self._mixed_services

    @property
    def next_wakeup_at(self) -> datetime.timedelta | None:
        """When `take_actions` has something to do, None if it has nothing."""
        times = []
        if self._read_due_at is not None and not self._is_reading:
            times.append(max(self._read_due_at, self._next_read_at))
        if not self._is_listing and not self._present.keys() <= self._listed:
            times.append(self._next_listing_at)
        if self._unrecorded and not self._is_appending:
            times.append(self._next_append_at)
        return min(times, default=None)

    def take_log_events(self) -> list[log_events.LogEvent]:
        """Returns the log events since the last call."""
        events, self._log_events = self._log_events, []
        return events

    def set_instance_count(self, count: int) -> None:
        """Sets how many instances share the appends to the store."""
        self._append_interval = min(
            MAX_APPEND_INTERVAL,
            MIN_APPEND_INTERVAL * max(1.0, count / MAX_FULL_RATE_INSTANCES),
        )

    def set_registry_age(
        self, age: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Sets how long ago the targets were known to be as registered."""
        self._registry_read_at = now - age

    def record_sign_of_restart(
        self, target: targets.Description, now: datetime.timedelta
    ) -> None:
        """Records that a target may have started again.

        It refused or lost a connection, or has lost what it had loaded.
        """
        self._doubted[target.target, target.incarnation] = now

    def is_certain(
        self, target: targets.Description, now: datetime.timedelta
    ) -> bool:
        """Whether a target is known to be of the version that its entry names.

        Otherwise it may have started again, with another one. Then its entry
        changes, which this instance may learn late.
        """
        if target.version is None:
            return False
        doubted_at = self._doubted.get((target.target, target.incarnation))
        return now - self._registry_read_at <= MAX_REGISTRY_AGE and (
            doubted_at is None or now - doubted_at > RESTART_VISIBILITY
        )

    def observe_targets(
        self, entries: Iterable[targets.Description], now: datetime.timedelta
    ) -> None:
        """Records which versions the registered targets have."""
        entries = list(entries)
        self._restarted_services = frozenset(
            entry.service for entry in entries if entry.version is None
        )
        present = set()
        serving = set()
        for entry in entries:
            if entry.version is not None:
                item = version_records.ServiceVersion(
                    entry.service, entry.version
                )
                present.add(item)
                if not entry.is_draining:
                    serving.add(item)
        self._serving = frozenset(serving)
        for item in self._present.keys() - present:
            self._last_seen[item] = now
            del self._present[item]
        for item in present - self._present.keys():
            last_seen = self._last_seen.get(item)
            if last_seen is None or now - last_seen > LIST_INTERVAL:
                # Its place in the list may be about to expire.
                self._listed.discard(item)
            self._present[item] = now
        self._update_mixed_services(now)

    def record_restart(
        self,
        entry: targets.Description,
        now: datetime.timedelta,
    ) -> list[ids.RequestId]:
        """Records that a target was seen to have started again.

        Returns:
            The streams in progress whose version is not known any more, as they
            may have begun after the restart.
        """
        doubtful = []
        for stream in self._own.values():
            if (
                stream.target != entry.target
                or stream.incarnation >= entry.incarnation
                or stream.began_at <= now - RESTART_VISIBILITY
            ):
                continue
            is_same = entry.version == stream.first_version
            version = stream.first_version if is_same else None
            if version == stream.record.version:
                continue
            stream.record = stream.record._replace(version=version)
            if stream.record.service in self._mixed_services:
                self._record(stream.record)
            if version is None and stream.ended_at is None:
                doubtful.append(stream.record.request_id)
        return doubtful

    def has_exclusions(self, service: ids.ServiceName) -> bool:
        """Whether `is_excluded` is true for some targets of a service."""
        return service in self._restarted_services or any(
            item.service == service and self._is_version_excluded(item)
            for item in self._present
        )

    def is_excluded(self, entry: targets.Description) -> bool:
        """Whether a target may not begin a stream that may be resumed.

        Its version is not listed in the store yet, though another one of the
        service is, or it is not known.
        """
        if entry.version is None:
            return True
        item = version_records.ServiceVersion(entry.service, entry.version)
        return self._is_version_excluded(item)

    def _is_version_excluded(
        self, item: version_records.ServiceVersion
    ) -> bool:
        if item in self._listed:
            return False
        return any(
            other.service == item.service
            for other in self._listed & self._serving
        )

    def begin(
        self,
        request_id: ids.RequestId,
        target: targets.Description,
        version: ids.SoftwareVersion | None,
        now: datetime.timedelta,
    ) -> None:
        """Records that a target has begun a stream, or goes on with it.

        Args:
            request_id: The request whose response brought the first event.
            target: The target as it was when the request was sent.
            version: Its version, None if it is not known.
            now: The current time.
        """
        if not request_id:
            return
        record = version_records.StreamRecord(
            request_id, target.service, version
        )
        known = self._own.get(request_id)
        count = known.request_count if known and not known.ended_at else 0
        self._own[request_id] = _Stream(
            record,
            target.target,
            target.incarnation,
            now,
            version,
            count + 1,
        )
        if len(self._own) > MAX_STREAMS:
            del self._own[next(iter(self._own))]
        if target.service in self._mixed_services:
            self._record(record)

    def end(self, request_id: ids.RequestId, now: datetime.timedelta) -> None:
        """Records that this instance no longer passes on a stream."""
        stream = self._own.get(request_id)
        if stream is None or stream.ended_at is not None:
            return
        stream.request_count -= 1
        if not stream.request_count:
            stream.ended_at = now

    def find(
        self,
        service: ids.ServiceName,
        request_id: ids.RequestId,
        asked_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> Finding:
        """Returns the version that began a stream.

        Args:
            service: The service of the stream.
            request_id: The request whose response brought the first event,
                empty if the caller does not name it.
            asked_at: When the caller asked.
            now: The current time.
        """
        own = self._own.get(request_id)
        if own is not None and own.record.service == service:
            return _make_finding(own.record.version)
        record = self._others.get(request_id)
        if (
            record is not None
            and record.service == service
            # Its instance may have come to doubt it since.
            and self._streams_read_at >= asked_at
        ):
            return _make_finding(record.version)
        # Another instance may be about to append its record.
        recorded_at = max(
            asked_at,
            self._asked.setdefault(request_id, asked_at)
            + 2 * self._append_interval,
        )
        if self._list_read_at >= asked_at:
            versions = self._list_versions(service, now)
            if len(versions) == 1:
                return _make_finding(versions.pop())
            if not request_id or self._streams_read_at >= recorded_at:
                return Finding(Status.UNKNOWN)
        give_up_at = asked_at + 2 * self._append_interval + CALL_MARGIN
        if now >= give_up_at:
            return Finding(Status.UNKNOWN)
        read_at = asked_at
        if max(self._list_read_at, self._streams_read_at) >= asked_at:
            has_streams = self._streams_read_at >= asked_at
            read_at = recorded_at if has_streams else now
        self._read_due_at = min(
            read_at, self._read_due_at or datetime.timedelta.max
        )
        return Finding(Status.PENDING, None, give_up_at)

    def handle_event(
        self, event: version_records.Event, now: datetime.timedelta
    ) -> None:
        """Handles the result of a call to the store."""
        match event:
            case version_records.VersionsRead():
                self._handle_read(event, now)
            case version_records.VersionsListed():
                self._is_listing = False
                if self._has_lost_listing:
                    self._has_lost_listing = False
                elif event.is_done:
                    self._add_listed(event.versions, now)
                else:
                    self._next_listing_at = now + RETRY_INTERVAL
            case version_records.StreamsAppended():
                self._is_appending = False
                if not event.is_done:
                    self._next_append_at = now + RETRY_INTERVAL
                    for record in event.records:
                        if record.request_id not in self._unrecorded:
                            self._record(record)

    def handle_restoration(self, now: datetime.timedelta) -> None:
        """Writes everything again: the store may have lost any of it.

        What was listed still counts as a version of its service.
        """
        self._set_listed(set(), now)
        # It may have been acknowledged before.
        self._has_lost_listing = self._is_listing
        self._next_listing_at = _NEVER
        self._record_all()

    def take_actions(
        self, now: datetime.timedelta
    ) -> list[version_records.Action]:
        """Returns the calls to the store that are due."""
        actions: list[version_records.Action] = []
        if self._is_read_due(now):
            self._is_reading = True
            self._read_due_at = None
            self._next_read_at = now + self._append_interval / 4
            actions.append(
                version_records.ReadVersions(bool(self._mixed_services))
            )
        if not self._is_listing and now >= self._next_listing_at:
            unlisted = tuple(sorted(self._find_unlisted(now)))
            if unlisted:
                self._is_listing = True
                actions.append(version_records.ListVersions(unlisted))
        if self._expired is not None:
            actions.append(self._expired)
            self._expired = None
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_INTERVAL
            self._expire(now)
            self._record_all(is_running=True)
        if (
            self._unrecorded
            and not self._is_appending
            and now >= self._next_append_at
        ):
            actions.append(self._make_append(now))
        return actions

    def _expire(self, now: datetime.timedelta) -> None:
        """Drops what is too old to matter."""
        for request_id, stream in list(self._own.items()):
            if (
                stream.ended_at is not None
                and now - stream.ended_at > STREAM_RETENTION
            ):
                del self._own[request_id]
        self._asked = {
            request_id: asked_at
            for request_id, asked_at in self._asked.items()
            if now - asked_at <= STREAM_RETENTION
        }
        self._doubted = {
            start: doubted_at
            for start, doubted_at in self._doubted.items()
            if now - doubted_at <= RESTART_VISIBILITY
        }
        for item, last_seen in list(self._last_seen.items()):
            if now - last_seen > VERSION_RETENTION:
                del self._last_seen[item]
        self._update_mixed_services(now)

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "listed": sorted(map(list, self._listed)),
            "present": sorted(map(list, self._present)),
            "mixed": sorted(self._mixed_services),
            "streams": len(self._own),
            "unrecorded": len(self._unrecorded),
        }

    def _list_versions(
        self, service: ids.ServiceName, now: datetime.timedelta
    ) -> set[ids.SoftwareVersion]:
        return {
            item.version
            for item in self._list_all_versions(now)
            if item.service == service
        }

    def _list_all_versions(
        self, now: datetime.timedelta
    ) -> set[version_records.ServiceVersion]:
        """Returns all versions that may have begun a stream lately."""
        recent = {
            item
            for item, last_seen in self._last_seen.items()
            if now - last_seen <= VERSION_RETENTION
        }
        return self._listed | self._present.keys() | recent

    def _update_mixed_services(self, now: datetime.timedelta) -> None:
        counts = collections.Counter(
            item.service for item in self._list_all_versions(now)
        )
        mixed = frozenset(
            service for service, count in counts.items() if count > 1
        )
        if mixed == self._mixed_services:
            return
        has_new = bool(mixed - self._mixed_services)
        self._mixed_services = mixed
        self._log_events.append(
            log_events.LogEvent(
                "services_with_versions",
                {
                    "services": {
                        service: sorted(self._list_versions(service, now))
                        for service in sorted(mixed)
                    }
                },
            )
        )
        if has_new:
            self._record_all()

    def _find_unlisted(
        self, now: datetime.timedelta
    ) -> list[version_records.ServiceVersion]:
        return [
            item
            for item in self._present
            if item not in self._listed
            or now - self._listed_at.get(item, _NEVER) > LIST_INTERVAL
        ]

    def _add_listed(
        self,
        versions: Iterable[version_records.ServiceVersion],
        now: datetime.timedelta,
    ) -> None:
        for item in versions:
            self._listed.add(item)
            self._listed_at[item] = now

    def _set_listed(
        self,
        versions: set[version_records.ServiceVersion],
        now: datetime.timedelta,
    ) -> None:
        for item in self._listed - versions:
            self._last_seen.setdefault(item, now)
        self._listed = versions

    def _handle_read(
        self, event: version_records.VersionsRead, now: datetime.timedelta
    ) -> None:
        self._is_reading = False
        if event.versions is None:
            self._next_read_at = now + RETRY_INTERVAL
            return
        self._list_read_at = max(self._list_read_at, event.sent_at)
        # This instance's own entries that the read does not show are newer.
        own = {
            item
            for item in self._listed
            if self._listed_at.get(item, _NEVER) >= event.sent_at
        }
        self._set_listed(set(event.versions) | own, now)
        for record in event.records:
            known = self._others.pop(record.request_id, record)
            # An append without a response may be carried out late.
            is_doubtful = known.version is None
            self._others[record.request_id] = known if is_doubtful else record
        while len(self._others) > MAX_STREAMS:
            self._others.popitem(last=False)
        if event.expired and event.expired[0] not in self._present:
            self._expired = version_records.UnlistVersion(
                event.expired[0], event.offset
            )
        if event.with_streams:
            self._streams_read_at = max(self._streams_read_at, event.sent_at)
        self._update_mixed_services(now)

    def _is_read_due(self, now: datetime.timedelta) -> bool:
        return (
            self._read_due_at is not None
            and not self._is_reading
            and now >= max(self._read_due_at, self._next_read_at)
        )

    def _record(self, record: version_records.StreamRecord) -> None:
        self._unrecorded.pop(record.request_id, None)
        self._unrecorded[record.request_id] = record
        if len(self._unrecorded) > MAX_STREAMS:
            del self._unrecorded[next(iter(self._unrecorded))]

    def _record_all(self, is_running: bool = False) -> None:
        """Records own streams of services with several versions.

        Args:
            is_running: Whether only those in progress are recorded.
        """
        for stream in self._own.values():
            if stream.record.service in self._mixed_services and not (
                is_running and stream.ended_at is not None
            ):
                self._record(stream.record)

    def _make_append(
        self, now: datetime.timedelta
    ) -> version_records.AppendStreams:
        self._is_appending = True
        self._next_append_at = now + self._append_interval
        request_ids = list(self._unrecorded)[:MAX_RECORDS_PER_APPEND]
        return version_records.AppendStreams(
            tuple(self._unrecorded.pop(key) for key in request_ids)
        )


def _make_finding(version: ids.SoftwareVersion | None) -> Finding:
    if version is None:
        return Finding(Status.UNKNOWN)
    return Finding(Status.KNOWN, version)
