"""Quarantine of prompt parts that crash targets.

A part of a prompt can crash every target that begins to write a response on
it, whatever else the request has. A single request can do so too; it is known
by its own part, which its callers send again when they repeat it. Each instance
records the targets that ended under a request without any response, and blames
the parts of that request. All instances exchange and merge this evidence, in
any order and any number of times. A response that begins acquits the parts of
its request.

Requests with a suspected part are tried one at a time in the whole fleet, see
`prompt_trials`. Those with a quarantined part are refused.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import enum
from typing import Any
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import log_events

# Parts of one request that are considered, and the longest id of a part.
MAX_PARTS_PER_REQUEST = 16
MAX_PART_LENGTH = 64
# Bounds of the evidence that is kept and exchanged.
MAX_RECORDS = 256
MAX_ENDS_PER_RECORD = 16
MAX_GENERATION = 1_000_000_000
# Ended targets that a verdict needs.
MIN_VERDICT_ENDS = 3
# Isolated ends without another possible cause for a verdict on a part whose
# other ends may have one.
MIN_ALONE_ENDS = 2
# Isolated ends for a verdict on several parts that were never apart, and on the
# only part that different requests have in common.
MIN_JOINT_ENDS = 2
MIN_COMMON_ENDS = 3
# A part on which a response began within this time is not blamed.
RECENT_RESPONSE = datetime.timedelta(seconds=10)
MAX_RECENT_RESPONSES = 4096
MAX_MODELS_PER_PART = 64
# Evidence is kept for this time after the last end.
SUSPICION_TTL = datetime.timedelta(seconds=60)
VERDICT_TTL = datetime.timedelta(days=1)
# An acquittal is kept longer than any suspicion that it supersedes.
ACQUITTAL_TTL = datetime.timedelta(minutes=10)
# Time from the last end to the next trial of a quarantined part; it doubles
# with each further end.
FIRST_PROBE_DELAY = datetime.timedelta(seconds=60)
MAX_PROBE_DELAY = datetime.timedelta(hours=1)
# Keeps the doubling within the range of a duration.
_MAX_PROBE_DOUBLINGS = 10

_ZERO = datetime.timedelta()

_EndKey: TypeAlias = tuple[ids.TargetId, int]
# The base model, or empty for requests without a model.
_Model: TypeAlias = str


class Status(enum.Enum):
    """What a request may do, given the evidence against its parts."""

    CLEAR = "clear"
    SUSPECT = "suspected"  # It may only be sent as a trial.
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEnd:
    """A target that ended under a request without any response.

    Attributes:
        target: The target.
        incarnation: Incarnation of the target that ended.
        is_isolated: Whether the request was a trial of the part.
        others: The other parts of the request that were blamed.
        age: Time since the end.
    """

    target: ids.TargetId
    incarnation: int
    is_isolated: bool
    others: frozenset[ids.PromptPart]
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence on a prompt part with a model, as instances exchange it.

    Attributes:
        part: The part.
        model: The base model, empty for requests without a model.
        generation: Number of acquittals; a higher one supersedes the ends of
            all lower ones.
        ends: Targets that ended since the last acquittal.
        age: Time since the last acquittal, zero if there was none.
    """

    part: ids.PromptPart
    model: str
    generation: int
    ends: tuple[TargetEnd, ...] = ()
    age: datetime.timedelta = _ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """Status of a request.

    Attributes:
        status: The status.
        parts: The parts that are suspected or, if there are any, those that
            are quarantined.
        probe_in: Time until all quarantined parts may be tried again.
    """

    status: Status
    parts: frozenset[ids.PromptPart] = frozenset()
    probe_in: datetime.timedelta = _ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    ended_at: datetime.timedelta
    is_isolated: bool
    others: frozenset[ids.PromptPart]

    def merge(self, other: "_End") -> "_End":
        # Several requests may have had the part; a trial tells the most.
        if self.is_isolated == other.is_isolated:
            others = self.others & other.others
        else:
            others = (self if self.is_isolated else other).others
        # Ages grow on their way, so the earlier time is the better estimate.
        return _End(
            min(self.ended_at, other.ended_at),
            self.is_isolated or other.is_isolated,
            others,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """Evidence with times on the own clock; replaced by each change."""

    generation: int = 0
    ends: Mapping[_EndKey, _End] = dataclasses.field(default_factory=dict)
    acquitted_at: datetime.timedelta = _ZERO

    @property
    def is_sound(self) -> bool:
        return self.generation > 0 and not self.ends

    @property
    def last_end_at(self) -> datetime.timedelta:
        return max(end.ended_at for end in self.ends.values())


_CLEAR = Assessment(Status.CLEAR)


class Quarantine:
    """The evidence that an instance has; no method does I/O."""

    def __init__(self) -> None:
        self._records: dict[ids.PromptPart, dict[_Model, _Record]] = {}
        self._record_count = 0
        # When the last response on a part began here, by model; the part with
        # the oldest change comes first.
        self._responses: collections.OrderedDict[
            ids.PromptPart, dict[_Model, datetime.timedelta]
        ] = collections.OrderedDict()
        # For each end, the parts blamed for it with their numbers of models.
        self._parts_by_end: dict[
            _EndKey, collections.Counter[ids.PromptPart]
        ] = {}
        self._end_counts: collections.Counter[ids.PromptPart] = (
            collections.Counter()
        )
        # Records before the change in progress.
        self._touched: dict[tuple[ids.PromptPart, _Model], _Record] = {}
        # The revisions of the last change of each record, and of the last one
        # that this instance has made.
        self._changed_at: dict[tuple[ids.PromptPart, _Model], int] = {}
        self._own_changed_at: dict[tuple[ids.PromptPart, _Model], int] = {}
        self._logged: dict[
            tuple[ids.PromptPart, _Model], tuple[Status, int]
        ] = {}
        self._revision = 0
        self._is_urgent = False
        self._log_events: list[log_events.LogEvent] = []

    @property
    def revision(self) -> int:
        """Revision of the evidence; increases with each change."""
        return self._revision

    @property
    def is_urgent(self) -> bool:
        """Whether this instance has evidence that no other one has yet."""
        return self._is_urgent

    def mark_reported(self) -> None:
        """Records that the leaders are sent the evidence up to now."""
        self._is_urgent = False

    def take_log_events(self) -> list[log_events.LogEvent]:
        """Returns the log events since the last call."""
        events, self._log_events = self._log_events, []
        return events

    def assess(
        self,
        parts: Sequence[ids.PromptPart],
        model: str,
        now: datetime.timedelta,
    ) -> Assessment:
        """Returns the status of a request with these parts."""
        if not self._records:
            return _CLEAR
        suspected = {}
        for part in parts[:MAX_PARTS_PER_REQUEST]:
            if part in self._records:
                ends = self._list_relevant_ends(part, model, now)
                if ends:
                    suspected[part] = ends
        if not suspected:
            return _CLEAR
        probes = {
            part: probe_at
            for part, ends in suspected.items()
            if self._is_verdict(part, ends, suspected.keys())
            and now < (probe_at := _compute_probe_time(ends))
        }
        if probes:
            return Assessment(
                Status.QUARANTINED,
                frozenset(probes),
                max(probes.values()) - now,
            )
        return Assessment(Status.SUSPECT, frozenset(suspected))

    def record_response(
        self,
        parts: Sequence[ids.PromptPart],
        model: str,
        now: datetime.timedelta,
    ) -> bool:
        """Acquits the parts of a request whose response began.

        Returns:
            Whether this changed the evidence.
        """
        for part in parts[:MAX_PARTS_PER_REQUEST]:
            self._acquit(part, model, now)
            by_model = self._responses.setdefault(part, {})
            by_model[model] = now
            if len(by_model) > MAX_MODELS_PER_PART:
                del by_model[min(by_model, key=by_model.__getitem__)]
            self._responses.move_to_end(part)
        while len(self._responses) > MAX_RECENT_RESPONSES:
            self._responses.popitem(last=False)
        return self._finish_change(now, is_own=True)

    def record_end(
        self,
        parts: Sequence[ids.PromptPart],
        model: str,
        target: ids.TargetId,
        incarnation: int,
        trial_parts: frozenset[ids.PromptPart],
        now: datetime.timedelta,
        ended_at: datetime.timedelta | None = None,
        own_part: ids.PromptPart | None = None,
    ) -> bool:
        """Blames the parts of a request for the end of its target.

        The part that belongs to the request alone is no excuse for those that
        it shares with other requests.

        Args:
            parts: The parts of the request.
            model: Its base model, or empty.
            target: The target that ended.
            incarnation: Its incarnation.
            trial_parts: The suspected parts of which the request was a trial,
                empty if it was none.
            now: The current time.
            ended_at: When the target ended, now by default.
            own_part: The part that no other request has, or None.

        Returns:
            Whether this changed the evidence.
        """
        blamed = frozenset(
            part
            for part in parts[:MAX_PARTS_PER_REQUEST]
            if not self._has_recent_response(part, model, now)
        )
        for part in blamed:
            end = _End(
                now if ended_at is None else ended_at,
                part in trial_parts,
                blamed - {part, own_part},
            )
            record = self._get_record(part, model)
            self._set_record(
                part,
                model,
                _Record(
                    record.generation,
                    _merge_ends(record.ends, {(target, incarnation): end}),
                    record.acquitted_at,
                ),
            )
            self._acquit_recent_models(part, now)
        return self._finish_change(now, is_own=True)

    def merge(
        self, evidence: Iterable[Evidence], now: datetime.timedelta
    ) -> bool:
        """Merges the evidence of another instance.

        Blame for a part on which a response began here is answered by an
        acquittal.

        Returns:
            Whether this changed the evidence.
        """
        has_acquitted = False
        may_be_expired = False
        for received in evidence:
            part, model = received.part, received.model
            merged = _merge_records(
                self._get_record(part, model), _from_evidence(received, now)
            )
            self._set_record(part, model, merged)
            if self._acquit_recent_models(part, now):
                has_acquitted = True
            may_be_expired = may_be_expired or _may_be_expired(received)
        if may_be_expired:
            self._drop_expired(now)
        return self._finish_change(now, is_own=has_acquitted)

    def expire(self, now: datetime.timedelta) -> bool:
        """Drops old evidence; returns whether there was any."""
        self._drop_expired(now)
        return self._finish_change(now, is_own=False)

    def export(
        self,
        now: datetime.timedelta,
        since_revision: int = 0,
        own_only: bool = False,
    ) -> tuple[Evidence, ...]:
        """Returns evidence for another instance.

        Args:
            now: The current time.
            since_revision: Only what has changed since then; 0 for everything.
            own_only: Only what this instance itself has changed.
        """
        changed_at = self._own_changed_at if own_only else self._changed_at
        return tuple(
            Evidence(
                part,
                model,
                record.generation,
                tuple(
                    TargetEnd(
                        target,
                        incarnation,
                        end.is_isolated,
                        end.others,
                        now - end.ended_at,
                    )
                    for (target, incarnation), end in record.ends.items()
                ),
                now - record.acquitted_at if record.generation else _ZERO,
            )
            for part, model, record in self._list_records()
            if changed_at.get((part, model), -1) >= since_revision
        )

    def count_unproven(
        self,
        parts: Sequence[ids.PromptPart],
        model: str,
        now: datetime.timedelta,
    ) -> int:
        """Returns how many parts of a request may crash a target."""
        return sum(
            not self._has_recent_response(part, model, now)
            and not self._get_record(part, model).is_sound
            for part in parts[:MAX_PARTS_PER_REQUEST]
        )

    def count_parts(self, now: datetime.timedelta) -> tuple[int, int]:
        """Returns the numbers of suspected and of quarantined parts."""
        statuses: dict[ids.PromptPart, Status] = {}
        for part, model, record in self._list_records():
            if record.ends:
                status = self._get_status(part, model, now)
                if statuses.get(part) is not Status.QUARANTINED:
                    statuses[part] = status
        quarantined = sum(
            status is Status.QUARANTINED for status in statuses.values()
        )
        return len(statuses) - quarantined, quarantined

    def dump(self, now: datetime.timedelta) -> list[dict[str, Any]]:
        """Returns the parts with ended targets as JSON values."""
        return [
            {
                **self._describe(part, model, now),
                "status": self._get_status(part, model, now).value,
                "probe_in_s": round(
                    max(
                        _ZERO, _compute_probe_time(record.ends) - now
                    ).total_seconds(),
                    1,
                )
                if self._is_verdict(part, record.ends, None)
                else None,
            }
            for part, model, record in self._list_records()
            if record.ends
        ]

    def _list_records(
        self,
    ) -> list[tuple[ids.PromptPart, _Model, _Record]]:
        return [
            (part, model, record)
            for part, by_model in self._records.items()
            for model, record in by_model.items()
        ]

    def _get_record(self, part: ids.PromptPart, model: _Model) -> _Record:
        return self._records.get(part, {}).get(model) or _Record()

    def _set_record(
        self, part: ids.PromptPart, model: _Model, record: _Record
    ) -> None:
        previous = self._get_record(part, model)
        if record == previous:
            return
        self._touched.setdefault((part, model), previous)
        self._update_index(part, previous.ends, record.ends)
        by_model = self._records.setdefault(part, {})
        self._record_count += model not in by_model
        by_model[model] = record

    def _drop_record(self, part: ids.PromptPart, model: _Model) -> None:
        self._set_record(part, model, _Record())
        by_model = self._records[part]
        del by_model[model]
        self._record_count -= 1
        if not by_model:
            del self._records[part]

    def _update_index(
        self,
        part: ids.PromptPart,
        previous: Mapping[_EndKey, _End],
        current: Mapping[_EndKey, _End],
    ) -> None:
        for key in previous.keys() - current.keys():
            parts = self._parts_by_end[key]
            parts[part] -= 1
            if not parts[part]:
                del parts[part]
                self._end_counts[part] -= 1
            if not parts:
                del self._parts_by_end[key]
        for key in current.keys() - previous.keys():
            parts = self._parts_by_end.setdefault(key, collections.Counter())
            self._end_counts[part] += not parts[part]
            parts[part] += 1
        if not self._end_counts[part]:
            del self._end_counts[part]

    def _acquit(
        self, part: ids.PromptPart, model: _Model, now: datetime.timedelta
    ) -> bool:
        """Acquits a part with a model if any ends could count against it."""
        by_model = self._records.get(part)
        if by_model is None:
            return False
        record = self._get_record(part, model)
        if record.is_sound or not any(
            other.ends for other in by_model.values()
        ):
            return False
        self._set_record(part, model, _Record(record.generation + 1, {}, now))
        return True

    def _acquit_recent_models(
        self, part: ids.PromptPart, now: datetime.timedelta
    ) -> bool:
        """Acquits a part with the models of which a response began lately."""
        acquitted = [
            self._acquit(part, model, now)
            for model, began_at in self._responses.get(part, {}).items()
            if now - began_at <= RECENT_RESPONSE
        ]
        return any(acquitted)

    def _has_recent_response(
        self, part: ids.PromptPart, model: _Model, now: datetime.timedelta
    ) -> bool:
        began_at = self._responses.get(part, {}).get(model)
        return began_at is not None and now - began_at <= RECENT_RESPONSE

    def _list_relevant_ends(
        self, part: ids.PromptPart, model: _Model, now: datetime.timedelta
    ) -> Mapping[_EndKey, _End]:
        """Returns the ends that count against a part with a model.

        Those of other models count as long as no model is known to be sound.
        """
        by_model = self._records.get(part, {})
        own = by_model.get(model)
        own_ends = own.ends if own is not None else {}
        if len(by_model) == (own is not None):
            return own_ends
        if any(record.is_sound for record in by_model.values()) or any(
            now - began_at <= RECENT_RESPONSE
            for began_at in self._responses.get(part, {}).values()
        ):
            return own_ends
        ends = own_ends
        for record in by_model.values():
            ends = _merge_ends(ends, record.ends)
        return ends

    def _is_verdict(
        self,
        part: ids.PromptPart,
        ends: Mapping[_EndKey, _End],
        request_parts: Iterable[ids.PromptPart] | None,
    ) -> bool:
        """Whether the ends show that the part crashes targets.

        Parts that were together in every trial cannot be told apart. Only a
        request that has all of them counts; None stands for such a request.
        """
        if len(ends) < MIN_VERDICT_ENDS:
            return False
        # The parts that may have caused each end instead: those of the same
        # request that were not acquitted since.
        rivals = [
            end.others.intersection(self._parts_by_end[key])
            for key, end in ends.items()
            if end.is_isolated
        ]
        # One end that has no other cause may have been chance if the others
        # have one.
        alone = sum(not parts for parts in rivals)
        if alone >= MIN_ALONE_ENDS or (
            alone
            and not any(
                end.others.intersection(self._parts_by_end[key])
                for key, end in ends.items()
            )
        ):
            return True
        if len(rivals) >= MIN_COMMON_ENDS:
            common = frozenset.intersection(*rivals)
            if not common and all(
                self._end_counts[rival] == 1
                for rival in frozenset.union(*rivals)
            ):
                return True
        if request_parts is not None:
            allowed = set(request_parts)
            rivals = [parts for parts in rivals if parts <= allowed]
        return len(rivals) >= MIN_JOINT_ENDS

    def _get_status(
        self, part: ids.PromptPart, model: _Model, now: datetime.timedelta
    ) -> Status:
        """Returns the status of the request that is worst for a part."""
        ends = self._list_relevant_ends(part, model, now)
        if not ends:
            return Status.CLEAR
        if self._is_verdict(part, ends, None):
            return Status.QUARANTINED
        return Status.SUSPECT

    def _drop_expired(self, now: datetime.timedelta) -> None:
        """Drops expired evidence.

        The parts that are blamed for one end keep it equally long: without the
        others, one of them would seem to be the only possible cause.
        """
        kept_ends: set[_EndKey] = set()
        for part, _, record in self._list_records():
            if record.ends:
                is_verdict = self._is_verdict(part, record.ends, None)
                ttl = VERDICT_TTL if is_verdict else SUSPICION_TTL
                if now - record.last_end_at <= ttl:
                    kept_ends |= record.ends.keys()
        for part, model, record in self._list_records():
            if record.ends:
                if kept_ends.isdisjoint(record.ends):
                    self._drop_record(part, model)
            elif not record.generation or (
                now - record.acquitted_at > ACQUITTAL_TTL
                and not any(
                    other.ends for other in self._records[part].values()
                )
            ):
                self._drop_record(part, model)

    def _finish_change(self, now: datetime.timedelta, is_own: bool) -> bool:
        """Drops what is too much; logs changes and returns if there are any."""
        if not self._touched:
            return False
        if self._record_count > MAX_RECORDS:
            ranked = sorted(self._list_records(), key=self._rank)
            for part, model, _ in ranked[: self._record_count - MAX_RECORDS]:
                self._drop_record(part, model)
        # Evidence that was added and dropped again is no change.
        touched, self._touched = self._touched, {}
        changed = {
            key: previous
            for key, previous in touched.items()
            if _make_signature(previous)
            != _make_signature(self._get_record(*key))
        }
        if not changed:
            return False
        self._revision += 1
        self._is_urgent = self._is_urgent or is_own
        for part, model in changed:
            key = (part, model)
            if model not in self._records.get(part, {}):
                self._changed_at.pop(key, None)
                self._own_changed_at.pop(key, None)
                continue
            self._changed_at[key] = self._revision
            if is_own:
                self._own_changed_at[key] = self._revision
        self._log_changes(changed, now)
        return True

    def _rank(
        self, item: tuple[ids.PromptPart, _Model, _Record]
    ) -> tuple[bool, int, datetime.timedelta, str, str]:
        """Returns a key that sorts the least important record first."""
        part, model, record = item
        return (
            self._is_verdict(part, record.ends, None),
            len(record.ends),
            record.last_end_at if record.ends else record.acquitted_at,
            part,
            model,
        )

    def _log_changes(
        self,
        changed: Mapping[tuple[ids.PromptPart, _Model], _Record],
        now: datetime.timedelta,
    ) -> None:
        # A change also matters to the parts that are blamed for the same ends.
        parts = {part for part, _ in changed}
        for key, previous in changed.items():
            for end in (*previous.ends, *self._get_record(*key).ends):
                parts |= self._parts_by_end.get(end, {}).keys()
        keys = changed.keys() | {
            (part, model)
            for part in parts
            for model in self._records.get(part, {})
        }
        for part, model in sorted(keys):
            record = self._get_record(part, model)
            status = (Status.CLEAR, 0)
            if record.ends:
                status = (self._get_status(part, model, now), len(record.ends))
            if self._logged.get((part, model), (Status.CLEAR, 0)) == status:
                continue
            self._log_events.append(
                log_events.LogEvent(
                    _EVENT_NAMES[status[0]], self._describe(part, model, now)
                )
            )
            if record.ends:
                self._logged[(part, model)] = status
            else:
                del self._logged[(part, model)]

    def _describe(
        self, part: ids.PromptPart, model: _Model, now: datetime.timedelta
    ) -> dict[str, Any]:
        record = self._get_record(part, model)
        ends = sorted(record.ends.items(), key=lambda item: item[1].ended_at)
        return {
            "part": part,
            "model": model or None,
            "generation": record.generation,
            "ends": [
                f"{target}/{incarnation}"
                + (" isolated" if end.is_isolated else "")
                for (target, incarnation), end in ends
            ],
            "since_s": round((now - ends[0][1].ended_at).total_seconds(), 1)
            if ends
            else None,
        }


def _make_signature(record: _Record) -> tuple[Any, ...]:
    """Returns a record without its times.

    Times differ a little between instances. They are no change to tell others.
    """
    return record.generation, {
        key: (end.is_isolated, end.others) for key, end in record.ends.items()
    }


def _may_be_expired(evidence: Evidence) -> bool:
    return any(end.age > SUSPICION_TTL for end in evidence.ends) or (
        evidence.age > ACQUITTAL_TTL
    )


_EVENT_NAMES = {
    Status.CLEAR: "part_cleared",
    Status.SUSPECT: "part_suspected",
    Status.QUARANTINED: "part_quarantined",
}


def _merge_ends(
    left: Mapping[_EndKey, _End], right: Mapping[_EndKey, _End]
) -> Mapping[_EndKey, _End]:
    merged = dict(left)
    for key, end in right.items():
        known = merged.get(key)
        merged[key] = end if known is None else known.merge(end)
    if len(merged) <= MAX_ENDS_PER_RECORD:
        return merged
    newest = sorted(
        merged.items(), key=lambda item: (item[1].ended_at, item[0])
    )
    return dict(newest[-MAX_ENDS_PER_RECORD:])


def _merge_records(left: _Record, right: _Record) -> _Record:
    if left.generation != right.generation:
        return max(left, right, key=lambda record: record.generation)
    return _Record(
        left.generation,
        _merge_ends(left.ends, right.ends),
        min(left.acquitted_at, right.acquitted_at),
    )


def _from_evidence(evidence: Evidence, now: datetime.timedelta) -> _Record:
    return _Record(
        evidence.generation,
        {
            (end.target, end.incarnation): _End(
                now - end.age, end.is_isolated, end.others
            )
            for end in evidence.ends
        },
        now - evidence.age if evidence.generation else _ZERO,
    )


def _compute_probe_time(
    ends: Mapping[_EndKey, _End],
) -> datetime.timedelta:
    doublings = min(_MAX_PROBE_DOUBLINGS, max(0, len(ends) - MIN_VERDICT_ENDS))
    delay = min(MAX_PROBE_DELAY, FIRST_PROBE_DELAY * 2**doublings)
    return max(end.ended_at for end in ends.values()) + delay
