"""Calls to the store that keep the software versions that began streams.

A service may have targets of several software versions. A stream goes on only
at the version that began it, so the store has two kinds of records: a list of
the versions that each service has had lately, and, while a service has more
than one, the version of each stream.
"""

import dataclasses
import datetime
from typing import NamedTuple
from typing import TypeAlias

from quetzalgauge import ids


class ServiceVersion(NamedTuple):
    """A software version of the targets of a service."""

    service: ids.ServiceName
    version: ids.SoftwareVersion


class StreamRecord(NamedTuple):
    """The software version that began a stream.

    Attributes:
        request_id: Id of the request whose response began the stream.
        service: The service.
        version: The version; None if it is not known, whatever an earlier
            record says.
    """

    request_id: ids.RequestId
    service: ids.ServiceName
    version: ids.SoftwareVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadVersions:
    """Read the list of versions; ends with one `VersionsRead`.

    Attributes:
        with_streams: Whether to read the stream records since the last such
            read as well, after the list.
    """

    with_streams: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ListVersions:
    """Add versions to the list; ends with one `VersionsListed`."""

    versions: tuple[ServiceVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UnlistVersion:
    """Remove a version from the list; ends without an event.

    Attributes:
        version: The version.
        offset: Remove it only if nothing was written to the list since a read
            with this offset.
    """

    version: ServiceVersion
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendStreams:
    """Append stream records; ends with one `StreamsAppended`."""

    records: tuple[StreamRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsRead:
    """Result of `ReadVersions`.

    Attributes:
        sent_at: When the read began, on the core's clock.
        versions: The versions that were listed lately; None if the read failed.
        records: Stream records, in the order in which they were appended.
        with_streams: Whether the stream records were read.
        expired: Versions that were listed for the last time long ago.
        offset: Where the next record of the list will be.
    """

    sent_at: datetime.timedelta
    versions: frozenset[ServiceVersion] | None
    records: tuple[StreamRecord, ...] = ()
    with_streams: bool = False
    expired: tuple[ServiceVersion, ...] = ()
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsListed:
    """Result of `ListVersions`.

    Attributes:
        versions: The versions.
        is_done: Whether the store has acknowledged all of them.
    """

    versions: tuple[ServiceVersion, ...]
    is_done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StreamsAppended:
    """Result of `AppendStreams`.

    Attributes:
        records: The records.
        is_done: Whether the store has acknowledged them.
    """

    records: tuple[StreamRecord, ...]
    is_done: bool


Action: TypeAlias = ReadVersions | ListVersions | UnlistVersion | AppendStreams
Event: TypeAlias = VersionsRead | VersionsListed | StreamsAppended
