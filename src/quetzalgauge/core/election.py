"""Leader election for an availability zone.

Each zone has a group with one partition in the platform's store. The member
that owns the partition is the zone's leader. Orders to one target must never
come from two machines within the platform lease, and targets are not required
to check fencing tokens, so safety relies on time and on one record per zone:

- A leader is active, that is, may give orders, only for `LEADER_LEASE` after
  it sent the last join by which the store confirmed its ownership.
- When the group's generation changes, the owner reads the zone's record. If
  another machine was active last, the new leader waits for the leader lease
  plus the platform lease, counted from when it learned that it is the owner.
- During this takeover delay its own record states how much of the delay is
  left. No machine has been active since, so the next owner waits only for the
  rest, counted from when it first saw that record.
- Before its first order the leader writes an active record, on the condition
  that no other record was written since it read the zone's record.

A leader therefore stays active through a store outage of up to `LEADER_LEASE`,
even if the store has reassigned the partition in the meantime, and a restarted
machine becomes active again without a delay.

The store may come back from an older copy of itself. Then another era begins:
the group and the record may be those of some time ago, and offsets that were
read before mean nothing. Each record bears the era that it was written in:

- A record of another era proves nothing, nor does a missing one: any machine
  may have been active last, so the new leader waits for the whole delay.
- A leader that is active when it learns of the era stays so within its lease.
  The lease is extended once it owns the partition in the new era and has
  written an active record there, if it had not expired when the record before
  was read. Any other owner of that era has to wait for longer than that lease,
  and finds that record before its first order.
- A call whose result belongs to another era than the read that it relies on
  counts as failed.
"""

import dataclasses
import datetime
import enum
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import log_events

# How long a leader stays active after its last confirmed join; it survives
# store outages of up to this length.
LEADER_LEASE = datetime.timedelta(seconds=6)
# The store reassigns the partition if its owner has not joined for this time.
SESSION_TIMEOUT = datetime.timedelta(milliseconds=1500)
# How often a leader joins again to confirm that it still owns the partition.
RENEW_INTERVAL = datetime.timedelta(milliseconds=500)
# Bounds the drift between the clocks of two machines during a takeover delay.
CLOCK_DRIFT_MARGIN = datetime.timedelta(milliseconds=200)
# After its start, an instance lets the last leader rejoin for this time before
# it claims leadership itself.
LAST_LEADER_GRACE_PERIOD = datetime.timedelta(milliseconds=2500)
# How often a standby checks whether the partition has an owner.
STANDBY_POLL_INTERVAL = datetime.timedelta(seconds=2)
# How often a leader updates its record during the takeover delay.
TAKEOVER_RECORD_INTERVAL = datetime.timedelta(seconds=1.5)
# Delay before the next attempt after a failed call.
RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
# Generations of one era are added to multiples of this, so that fencing tokens
# rise from era to era even if generations fall.
GENERATIONS_PER_ERA = 2**20
# At the first start of the system, no machine was active before this era. An
# instance that starts later can't tell a first era from the one after it.
FIRST_START_ERA = 1

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The stored record of a zone's last leader.

    Attributes:
        availability_zone: The zone.
        machine: Name of the machine; a replacement machine has another name.
        address: Address at which other instances reach the leader.
        fencing_token: Fencing token of the leader.
        active: Whether the leader may have given orders.
        released: Whether the leader has resigned and gives no more orders.
        takeover_delay_left: Remaining takeover delay of a leader that is not
            active, counted from this record. Once it is over, the leader lease
            of the previously active machine and the platform lease have
            expired. None if unknown.
        era: Era of the store in which the record was written.
    """

    availability_zone: ids.AvailabilityZone
    machine: str
    address: str
    fencing_token: int
    active: bool = True
    released: bool = False
    takeover_delay_left: datetime.timedelta | None = None
    era: ids.StoreEra = ids.UNNAMED_ERA


def make_fencing_token(era: ids.StoreEra, generation: int) -> int:
    """Returns the fencing token of the owner in a generation of the group."""
    return (era - ids.UNNAMED_ERA) * GENERATIONS_PER_ERA + generation


def get_generation(era: ids.StoreEra, fencing_token: int) -> int:
    """Returns the generation of the group that a fencing token stands for."""
    return fencing_token - make_fencing_token(era, 0)


class _State(enum.Enum):
    STANDBY = "standby"  # Not a member of the group.
    READING_OWNER = "looking"  # Reads the partition's owner.
    MEMBER = "member"  # Joins the group or renews its membership.
    READING_RECORD = "reading"  # Owns the partition, reads the zone's record.
    WRITING_RECORD = "writing"  # Owns the partition, writes its own record.
    LEAVING = "leaving"  # Leaves the group, as it is not the owner.
    RESIGNED = "left"  # Gave up leadership as the process ends.


@dataclasses.dataclass(frozen=True, slots=True)
class JoinResult:
    """Result of a Join action.

    Attributes:
        sent_at: When the request was sent.
        generation: Generation of the group, which grows with each change of
            the group; 0 after a failure.
        is_owner: Whether this instance owns the partition.
        failed: Whether there was no response.
        era: Era of the store.
    """

    sent_at: datetime.timedelta
    generation: int
    is_owner: bool
    failed: bool = False
    era: ids.StoreEra = ids.UNNAMED_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOwnerResult:
    """Result of a ReadOwner action; `owner` is None without an owner."""

    owner: str | None
    failed: bool = False
    era: ids.StoreEra = ids.UNNAMED_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecordResult:
    """Result of a ReadRecord action.

    Attributes:
        record: The zone's record, None if there is none.
        next_offset: Offset at which the store will append the next record.
        failed: Whether there was no response.
        era: Era of the store.
    """

    record: LeaderRecord | None
    next_offset: int = 0
    failed: bool = False
    era: ids.StoreEra = ids.UNNAMED_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecordResult:
    """Result of a WriteRecord action.

    Attributes:
        record: The record to write.
        conflict: Whether the write was rejected because another record was
            written first.
        failed: Whether there was no response; the record may have been written
            nevertheless.
        era: Era of the store.
    """

    record: LeaderRecord
    conflict: bool = False
    failed: bool = False
    era: ids.StoreEra = ids.UNNAMED_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveResult:
    """End of a Leave or Release action, whether it succeeded or failed."""


Event: TypeAlias = (
    JoinResult
    | ReadOwnerResult
    | ReadRecordResult
    | WriteRecordResult
    | LeaveResult
)


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Joins the zone's group or renews the membership; ends in JoinResult.

    Attributes:
        availability_zone: The zone.
        machine: Name of this machine, its member ID in the group.
        generation: Generation from the last join, 0 if not a member yet.
        session_timeout: Session timeout after which the store drops the member.
    """

    availability_zone: ids.AvailabilityZone
    machine: str
    generation: int
    session_timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Leaves the zone's group; ends in LeaveResult."""

    availability_zone: ids.AvailabilityZone
    machine: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOwner:
    """Reads the owner of the zone's partition; ends in ReadOwnerResult."""

    availability_zone: ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Reads the zone's record; ends in ReadRecordResult."""

    availability_zone: ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Writes the zone's record; ends in WriteRecordResult.

    Attributes:
        record: The record.
        expected_offset: Offset at which the record must be appended, otherwise
            the write is rejected; None to write unconditionally.
    """

    record: LeaderRecord
    expected_offset: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Marks the record as released if it is still the zone's last record.

    Ends in LeaveResult.
    """

    record: LeaderRecord


Action: TypeAlias = (
    Join | Leave | ReadOwner | ReadRecord | WriteRecord | Release
)


def make_failure(action: Action, sent_at: datetime.timedelta) -> Event:
    """Returns the result of a call that got no response.

    Args:
        action: The call.
        sent_at: When it was sent.
    """
    match action:
        case Join():
            return JoinResult(sent_at, 0, False, failed=True)
        case ReadOwner():
            return ReadOwnerResult(None, failed=True)
        case ReadRecord():
            return ReadRecordResult(None, failed=True)
        case WriteRecord():
            return WriteRecordResult(action.record, failed=True)
    # Release and Leave both end in a LeaveResult.
    return LeaveResult()


class LeaderElection:
    """This instance's participation in the leader election of its zone.

    A state machine without I/O: `poll_actions` returns the next call to the
    store, `handle_event` processes the result.

    Args:
        zone: The zone.
        machine: Name of this machine.
        address: Address at which other instances reach this one.
        platform_lease: Least time between orders of two machines to one
            target, as set by the platform.
        start_delay: Delay before the first claim, so that instances that start
            together do not all claim leadership at once.
        now: The current time.
        is_first_start: Whether the whole system has never run before.
    """

    def __init__(
        self,
        zone: ids.AvailabilityZone,
        machine: str,
        address: str,
        platform_lease: datetime.timedelta,
        start_delay: datetime.timedelta,
        now: datetime.timedelta,
        is_first_start: bool = False,
    ) -> None:
        self._zone = zone
        self._machine = machine
        self._address = address
        self._platform_lease = platform_lease
        self._state = _State.STANDBY
        self._generation = 0
        self._fencing_token = 0
        self._token_era = ids.UNNAMED_ERA
        self._is_leader = False
        self._is_active = False
        self._next_offset = 0
        self._elected_at = _ZERO
        self._active_from = _ZERO
        self._lease_expires_at = _ZERO
        self._record_due_at = _ZERO  # Next update during the takeover delay.
        # Another member may own the partition, so this one joins again before
        # it writes a record.
        self._must_recheck_ownership = False
        # Fencing token of the record that caused the last recheck.
        self._rechecked_token = 0
        self._next_action_at = now + start_delay
        self._last_record: LeaderRecord | None = None
        self._last_record_seen_at = _ZERO
        self._is_record_known = False
        # Last record that this process has written since it was elected.
        self._written_record: LeaderRecord | None = None
        self._grace_period_ends_at = now + LAST_LEADER_GRACE_PERIOD
        self._pending_resign_calls = 0  # Calls of `resign` that have not ended.
        self._is_call_pending = False
        self._era: ids.StoreEra | None = None  # None until the store responds.
        # Era of the last join that was confirmed.
        self._joined_era: ids.StoreEra | None = None
        self._is_first_start = is_first_start
        # Whether a missing record shows that no machine was active.
        self._is_first_era = False
        # End of the lease once the record of a new era is written.
        self._next_lease_expires_at = _ZERO
        self._log_events: list[log_events.LogEvent] = []

    @property
    def zone(self) -> ids.AvailabilityZone:
        """The zone whose leader is elected."""
        return self._zone

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the zone's leader, as far as it knows."""
        return self._is_leader and self._state is not _State.RESIGNED

    @property
    def has_resigned(self) -> bool:
        """Whether leadership was given up and the calls for that have ended."""
        return (
            self._state is _State.RESIGNED and self._pending_resign_calls <= 0
        )

    @property
    def fencing_token(self) -> int:
        """The fencing token of this leader."""
        return self._fencing_token

    @property
    def token_era(self) -> ids.StoreEra:
        """Era of the store that the fencing token belongs to."""
        return self._token_era

    @property
    def active_from(self) -> datetime.timedelta:
        """When the takeover delay of a new leader ends."""
        return self._active_from

    @property
    def next_wakeup_at(self) -> datetime.timedelta:
        """When `poll_actions` must be called next."""
        if self._is_call_pending or self._state is _State.RESIGNED:
            return datetime.timedelta.max
        return self._next_action_at

    def active_until(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns when the lease of the active leader expires.

        Zero if this instance is not an active leader.
        """
        if not self._is_active:
            return _ZERO
        if now < self._active_from:
            return _ZERO
        return self._lease_expires_at

    def time_until_active(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns the time until this leader is active, zero if it is.

        None if that is unknown, because the lease has expired or the store has
        to respond first.
        """
        if now < self.active_until(now):
            return _ZERO
        if self.is_leader and now < self._active_from:
            return self._active_from - now
        return None

    def take_log_events(self) -> list[log_events.LogEvent]:
        """Returns the log events since the last call."""
        events, self._log_events = self._log_events, []
        return events

    def observe_record(
        self, record: LeaderRecord | None, now: datetime.timedelta
    ) -> None:
        """Updates the last known record of the zone, None if it has none."""
        self._is_record_known = True
        if record != self._last_record:
            self._last_record = record
            self._last_record_seen_at = now

    def observe_era(self, era: ids.StoreEra, now: datetime.timedelta) -> None:
        """Begins another era if the store has come back from a copy."""
        if self._era is None:
            self._era = era
            last_first_era = FIRST_START_ERA if self._is_first_start else 0
            self._is_first_era = era <= last_first_era
            return
        if era <= self._era or self._state is _State.RESIGNED:
            return
        self._log("seat_era", {"era": era, "active": self._is_active})
        self._era = era
        self._is_first_era = False
        self._generation = 0
        self._written_record = None
        if self._state in (_State.READING_RECORD, _State.WRITING_RECORD):
            # Ownership has to be confirmed in this era first.
            self._state = _State.MEMBER
        if self._state is _State.MEMBER:
            self._must_recheck_ownership = True
            self._next_action_at = now

    def _is_outdated(self, event: Event) -> bool:
        """Whether a result belongs to another era than what it relies on."""
        match event:
            case LeaveResult():
                return False
            case ReadRecordResult():
                has_begun_anew = self._state is not _State.READING_RECORD
            case WriteRecordResult():
                has_begun_anew = self._state is not _State.WRITING_RECORD
            case _:
                has_begun_anew = False
        return has_begun_anew or (not event.failed and event.era != self._era)

    def handle_event(self, event: Event, now: datetime.timedelta) -> None:
        """Processes the result of a call to the store."""
        self._is_call_pending = False
        if self._state is _State.RESIGNED:
            if isinstance(event, LeaveResult):
                self._pending_resign_calls -= 1
            return
        if not isinstance(event, LeaveResult) and not event.failed:
            self.observe_era(event.era, now)
        if self._is_outdated(event):
            self._next_action_at = now
            return
        match event:
            case JoinResult():
                self._handle_join(event, now)
            case ReadOwnerResult():
                self._handle_owner(event, now)
            case ReadRecordResult():
                self._handle_record(event, now)
            case WriteRecordResult():
                self._handle_write(event, now)

    def poll_actions(
        self, is_leader_alive: bool, now: datetime.timedelta
    ) -> list[Action]:
        """Returns the call that is due, if any; at most one is in progress.

        Args:
            is_leader_alive: Whether the zone's leader has sent a heartbeat
                recently.
            now: The current time.
        """
        if (
            self._is_call_pending
            or now < self._next_action_at
            or self._state is _State.RESIGNED
        ):
            return []
        action = self._next_action(is_leader_alive, now)
        if action is None:
            return []
        self._is_call_pending = True
        return [action]

    def resign(self) -> list[Action]:
        """Gives up leadership as the process ends; returns the calls for it."""
        was_leader = self._is_leader
        was_active = self._is_active
        self._state = _State.RESIGNED
        self._is_leader = False
        self._is_active = False
        if not was_leader:
            return []
        actions: list[Action] = [Leave(self._zone, self._machine)]
        if was_active:
            actions.insert(0, Release(self._own_record(active=True)))
        self._pending_resign_calls = len(actions)
        return actions

    def _next_action(
        self, is_leader_alive: bool, now: datetime.timedelta
    ) -> Action | None:
        match self._state:
            case _State.STANDBY:
                return self._claim_leadership(is_leader_alive, now)
            case _State.READING_OWNER:
                return ReadOwner(self._zone)
            case _State.READING_RECORD:
                return ReadRecord(self._zone)
            case _State.WRITING_RECORD:
                return WriteRecord(self._build_record(now), self._next_offset)
            case _State.LEAVING:
                self._state = _State.STANDBY
                self._next_action_at = now + STANDBY_POLL_INTERVAL
                return Leave(self._zone, self._machine)
            case _:
                return self._renew(now)

    def _claim_leadership(
        self, is_leader_alive: bool, now: datetime.timedelta
    ) -> Action | None:
        """Joins the group if the zone seems to have no leader.

        The last leader joins directly. Any other instance reads the owner
        first. During the grace period after its start it does so only if the
        zone's record is missing or released.
        """
        self._next_action_at = now + RETRY_INTERVAL
        if not self._is_record_known or is_leader_alive:
            return None
        if self._is_last_leader():
            self._state = _State.MEMBER
            return self._make_join()
        has_leader = (
            self._last_record is not None and not self._last_record.released
        )
        if has_leader and now < self._grace_period_ends_at:
            return None
        self._state = _State.READING_OWNER
        return ReadOwner(self._zone)

    def _renew(self, now: datetime.timedelta) -> Action:
        """Renews the membership, or starts to update the zone's record."""
        is_record_due = self._is_leader and now >= self._record_due_at
        if (
            is_record_due
            and not self._is_active
            and not self._must_recheck_ownership
        ):
            self._state = _State.READING_RECORD
            return ReadRecord(self._zone)
        return self._make_join()

    def _make_join(self) -> Action:
        return Join(
            self._zone, self._machine, self._generation, SESSION_TIMEOUT
        )

    def _handle_join(self, event: JoinResult, now: datetime.timedelta) -> None:
        if event.failed:
            self._next_action_at = now + RETRY_INTERVAL
            return
        self._must_recheck_ownership = False
        has_new_era = event.era != self._joined_era
        has_generation_changed = event.generation != self._generation
        self._joined_era = event.era
        self._generation = event.generation
        if not event.is_owner:
            self._step_down(now)
            return
        has_lease_expired = now >= self._lease_expires_at
        self._next_lease_expires_at = event.sent_at + LEADER_LEASE
        if (
            self._is_leader
            and not has_new_era
            and not has_generation_changed
            and not has_lease_expired
        ):
            self._lease_expires_at = self._next_lease_expires_at
            self._schedule_renewal(event.sent_at, now)
            return
        # Another machine may have been the leader in between. Not in another
        # era, as long as the lease of the one before has not expired.
        self._elected_at = now
        self._fencing_token = make_fencing_token(event.era, event.generation)
        self._token_era = event.era
        self._is_leader = True
        if not (self._is_active and has_new_era) or has_lease_expired:
            self._lose_lease()
        self._written_record = None
        self._state = _State.READING_RECORD
        self._next_action_at = now

    def _lose_lease(self) -> None:
        """Begins a takeover delay as a leader that was not active before."""
        self._is_active = False
        self._lease_expires_at = self._next_lease_expires_at

    def _schedule_renewal(
        self, sent_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Schedules the next renewal, or an earlier update of the record."""
        self._next_action_at = sent_at + RENEW_INTERVAL
        if not self._is_active and self._record_due_at > now:
            self._next_action_at = min(
                self._next_action_at, self._record_due_at
            )

    def _step_down(self, now: datetime.timedelta) -> None:
        """Leaves the group without ownership of the partition.

        The store has reassigned the partition, or has not assigned it to this
        member.
        """
        if self._is_leader:
            self._log("seat_lost", {"token": self._fencing_token})
        self._state = _State.LEAVING
        self._generation = 0
        self._is_leader = False
        self._is_active = False
        self._lease_expires_at = _ZERO
        self._next_action_at = now

    def _handle_owner(
        self, event: ReadOwnerResult, now: datetime.timedelta
    ) -> None:
        if event.failed:
            self._next_action_at = now + RETRY_INTERVAL
            return
        if event.owner is None or event.owner == self._machine:
            self._state = _State.MEMBER
            self._next_action_at = now
            return
        self._state = _State.STANDBY
        self._next_action_at = now + STANDBY_POLL_INTERVAL

    def _handle_record(
        self, event: ReadRecordResult, now: datetime.timedelta
    ) -> None:
        if event.failed:
            self._next_action_at = now + RETRY_INTERVAL
            return
        self.observe_record(event.record, now)
        self._next_offset = event.next_offset
        if self._needs_ownership_recheck(event.record):
            self._must_recheck_ownership = True
            self._state = _State.MEMBER
            self._next_action_at = now
            return
        if self._is_active and (
            now >= self._lease_expires_at or self._has_active_successor()
        ):
            self._lose_lease()
        if not self._is_active and (
            self._written_record is None or event.record != self._written_record
        ):
            # A record that is read later never shortens the takeover delay.
            self._active_from = max(
                self._active_from, self._earliest_active_at()
            )
        self._state = _State.WRITING_RECORD
        self._next_action_at = now

    def _needs_ownership_recheck(self, record: LeaderRecord | None) -> bool:
        """Returns whether to join again before writing.

        A record with a higher fencing token shows that another member may have
        become the owner since. Each such token causes one recheck only.
        """
        if record is None or record.fencing_token <= self._fencing_token:
            return False
        is_unchecked = record.fencing_token != self._rechecked_token
        self._rechecked_token = record.fencing_token
        return is_unchecked

    def _earliest_active_at(self) -> datetime.timedelta:
        """Returns when the takeover delay ends, by the last record read."""
        last_record = self._last_record
        lease_with_margin = self._platform_lease + CLOCK_DRIFT_MARGIN
        if last_record is None:
            if self._is_first_era:
                return self._elected_at
        elif last_record.era == self._era:
            return self._earliest_active_after(last_record)
        return self._elected_at + LEADER_LEASE + lease_with_margin

    def _has_active_successor(self) -> bool:
        """Whether another machine was active in this era."""
        record = self._last_record
        return (
            record is not None
            and record.era == self._era
            and record.active
            and record.machine != self._machine
        )

    def _earliest_active_after(
        self, last_record: LeaderRecord
    ) -> datetime.timedelta:
        if self._is_last_leader() and last_record.active:
            return self._elected_at
        lease_with_margin = self._platform_lease + CLOCK_DRIFT_MARGIN
        if last_record.released:
            return self._last_record_seen_at + lease_with_margin
        if (
            not last_record.active
            and last_record.takeover_delay_left is not None
        ):
            return self._last_record_seen_at + last_record.takeover_delay_left
        return self._elected_at + LEADER_LEASE + lease_with_margin

    def _handle_write(
        self, event: WriteRecordResult, now: datetime.timedelta
    ) -> None:
        if event.failed or event.conflict:
            self._state = _State.READING_RECORD
            self._next_action_at = now + (
                RETRY_INTERVAL if event.failed else _ZERO
            )
            return
        self._last_record = event.record
        self._last_record_seen_at = now
        self._written_record = event.record
        if self._is_active:
            self._lease_expires_at = self._next_lease_expires_at
        self._is_active = event.record.active
        self._state = _State.MEMBER
        self._record_due_at = min(
            self._active_from, now + TAKEOVER_RECORD_INTERVAL
        )
        self._schedule_renewal(now, now)
        self._log(
            "seat_taken",
            {
                "token": self._fencing_token,
                "active": self._is_active,
                "orders_in_s": max(
                    0.0, (self._active_from - now).total_seconds()
                ),
            },
        )

    def _is_last_leader(self) -> bool:
        return (
            self._last_record is not None
            and self._last_record.machine == self._machine
        )

    def _build_record(self, now: datetime.timedelta) -> LeaderRecord:
        delay_left = self._active_from - now
        if delay_left <= _ZERO:
            return self._own_record(active=True)
        # Rounds up, since the store keeps whole milliseconds.
        delay_left = -(-delay_left // _MILLISECOND) * _MILLISECOND
        return dataclasses.replace(
            self._own_record(active=False), takeover_delay_left=delay_left
        )

    def _own_record(self, active: bool) -> LeaderRecord:
        return LeaderRecord(
            self._zone,
            self._machine,
            self._address,
            self._fencing_token,
            active,
            era=self._token_era,
        )

    def _log(self, event: str, fields: dict[str, object]) -> None:
        self._log_events.append(
            log_events.LogEvent(event, {"zone": self._zone, **fields})
        )
