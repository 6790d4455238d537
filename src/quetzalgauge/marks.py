"""What an entry process saw of targets, for a limited time."""

import dataclasses
import datetime
from typing import Any

from quetzalgauge import ids
from quetzalgauge import retries
from quetzalgauge import routing

SUSPECT_TIME = datetime.timedelta(seconds=2)
# A leaving target normally disappears from the routes within seconds. The
# mark is limited in time because a restarted target may reuse the id.
LEAVING_TIME = datetime.timedelta(seconds=30)
OVERLOAD_BACKOFF = datetime.timedelta(milliseconds=250)
# Routes lag behind an unload by a poll of the status and one sync.
NOT_LOADED_BACKOFF = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class Marks:
    """What this process saw of targets, each with the time it ends."""

    suspect: dict[ids.TargetId, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    leaving: dict[ids.TargetId, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    backoff: dict[tuple[ids.TargetId, routing.Servable], datetime.timedelta] = (
        dataclasses.field(default_factory=dict)
    )

    def expire(self, now: datetime.timedelta) -> None:
        """Drops the marks that have ended."""
        tables: tuple[dict[Any, datetime.timedelta], ...] = (
            self.suspect,
            self.leaving,
            self.backoff,
        )
        for table in tables:
            for key in [one for one, end in table.items() if end <= now]:
                del table[key]

    def excludes(self, target: ids.TargetId) -> bool:
        """Whether a target gets nothing at the moment."""
        return target in self.suspect or target in self.leaving

    def note_failure(
        self,
        failure: retries.Failure,
        target: ids.TargetId,
        servable: routing.Servable | None,
        now: datetime.timedelta,
    ) -> None:
        """Marks a target for what a failed attempt says about it."""
        if failure in (
            retries.Failure.UNREACHABLE,
            retries.Failure.SILENT,
            retries.Failure.CUT,
            retries.Failure.MISMATCH,
        ):
            self.suspect[target] = now + SUSPECT_TIME
        elif failure is retries.Failure.DRAINING:
            self.leaving[target] = now + LEAVING_TIME
        elif servable is not None:
            key = (target, servable)
            if failure is retries.Failure.OVERLOADED:
                self.backoff[key] = now + OVERLOAD_BACKOFF
            elif failure is retries.Failure.MODEL_NOT_LOADED:
                self.backoff[key] = now + NOT_LOADED_BACKOFF
