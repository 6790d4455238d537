"""An emulated store of software versions and of the streams they began."""

from collections.abc import Hashable
import datetime

from quetzalgauge.core import version_records


class VersionStore:
    """Carries out the calls of all instances, each at once."""

    def __init__(self) -> None:
        self.listed: set[version_records.ServiceVersion] = set()
        self.records: list[version_records.StreamRecord] = []
        self._read_counts: dict[Hashable, int] = {}

    def execute(
        self,
        reader: Hashable,
        action: version_records.Action,
        now: datetime.timedelta,
    ) -> version_records.Event | None:
        """Carries out a call; returns its result, None if it has none.

        Args:
            reader: The instance; each reads on where it read last.
            action: The call.
            now: The current time.
        """
        match action:
            case version_records.ListVersions():
                self.listed.update(action.versions)
                return version_records.VersionsListed(action.versions, True)
            case version_records.UnlistVersion():
                self.listed.discard(action.version)
                return None
            case version_records.AppendStreams():
                self.records += action.records
                return version_records.StreamsAppended(action.records, True)
        records: tuple[version_records.StreamRecord, ...] = ()
        if action.with_streams:
            first = self._read_counts.get(reader, 0)
            records = tuple(self.records[first:])
            self._read_counts[reader] = len(self.records)
        return version_records.VersionsRead(
            now, frozenset(self.listed), records, action.with_streams
        )
