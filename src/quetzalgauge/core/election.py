"""Who may give orders to the targets of a zone.

Each zone has a seat: one partition of a group in the platform's store. The
member that holds the partition is the zone's holder. Orders to one target must
never come from two machines within the lease time, and a target may not check
fencing tokens, so safety rests on time and on one record for each zone:

- A holder gives orders only for `ORDER_TIME` after it asked the store last and
  was told that it has the seat.
- Whenever the group has changed, a member reads the record of the zone. If the
  last machine that was active is another one, it waits for that time and the
  lease time, from the moment at which it was told that it has the seat.
- While it waits, its record says how much of the wait is left. Nobody was
  active since, so whoever has the seat next waits for the rest only, from the
  moment at which it first saw that record.
- Before its first order it writes that it is active, on the condition that
  nobody has written since it read.

So a holder may go on through an outage of the store for `ORDER_TIME`, even if
the store has meanwhile given the seat to another, and a machine that starts
again goes on at once.
"""

import dataclasses
import datetime
import enum
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import log_events

# A holder outlasts outages of the store up to this time.
LEADER_LEASE = datetime.timedelta(seconds=6)
# The store gives the seat to another member after this silence.
SESSION_TIMEOUT = datetime.timedelta(milliseconds=1500)
# How often a holder asks whether it still has the seat.
RENEW_INTERVAL = datetime.timedelta(milliseconds=500)
# Clocks of two machines run at the same speed within this over the waits.
CLOCK_DRIFT_MARGIN = datetime.timedelta(milliseconds=200)
# An instance leaves the seat to the last holder for this time after a start.
LAST_LEADER_GRACE_PERIOD = datetime.timedelta(milliseconds=2500)
# How often a standby looks whether the seat is taken.
STANDBY_POLL_INTERVAL = datetime.timedelta(seconds=2)
# How often the record of a member that waits is written anew.
TAKEOVER_RECORD_INTERVAL = datetime.timedelta(seconds=1.5)
# Pause after a failed call.
RETRY_INTERVAL = datetime.timedelta(milliseconds=300)

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The last holder of a zone, as the store keeps it.

    Attributes:
        availability_zone: The zone.
        machine: The machine; it has another name after a replacement.
        address: Where other instances reach the holder.
        fencing_token: Its fencing token.
        active: Whether it may have given orders.
        released: Whether it gives no more orders.
        takeover_delay_left: If it is not active, the time after this record
            from which
            the machine that was active before gives no more orders and the
            lease time has passed. None: not known.
    """

    availability_zone: ids.AvailabilityZone
    machine: str
    address: str
    fencing_token: int
    active: bool = True
    released: bool = False
    takeover_delay_left: datetime.timedelta | None = None


class _State(enum.Enum):
    STANDBY = "standby"  # Not a member.
    READING_OWNER = "looking"  # Asks who has the seat.
    MEMBER = "member"  # Has asked for the seat, or keeps it.
    READING_RECORD = "reading"  # Has the seat, reads who was active last.
    WRITING_RECORD = "writing"  # Writes that it has the seat.
    LEAVING = "leaving"  # A member without the seat.
    RESIGNED = "left"  # Gave the seat up at the end of the process.


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class JoinResult:
    """The store answered a request for the seat.

    Attributes:
        sent_at: When the request was sent.
        generation: Grows with each change of the group; 0 after a failure.
        is_owner: Whether this instance has the seat.
        failed: There was no answer.
    """

    sent_at: datetime.timedelta
    generation: int
    is_owner: bool
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOwnerResult:
    """The store told who has the seat; None: nobody."""

    owner: str | None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecordResult:
    """The record of the zone was read; None: there is none.

    Attributes:
        record: The record.
        next_offset: Where the next record will be written.
        failed: There was no answer.
    """

    record: LeaderRecord | None
    next_offset: int = 0
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecordResult:
    """A record was written, or not.

    Attributes:
        record: The record.
        conflict: Another record was written before it.
        failed: There was no answer, so it may have been written.
    """

    record: LeaderRecord
    conflict: bool = False
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveResult:
    """The store was told that this instance leaves, or could not be told."""


Event: TypeAlias = (
    JoinResult
    | ReadOwnerResult
    | ReadRecordResult
    | WriteRecordResult
    | LeaveResult
)


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Ask for the seat, or keep it; ends with Joined."""

    availability_zone: ids.AvailabilityZone
    machine: str
    generation: int
    session_timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Leave the group of the seat; ends with Left."""

    availability_zone: ids.AvailabilityZone
    machine: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOwner:
    """Ask who has the seat; ends with OwnerRead."""

    availability_zone: ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record of the zone; ends with RecordRead."""

    availability_zone: ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the record of the zone; ends with RecordWritten.

    Attributes:
        record: The record.
        expected_offset: Write only if this is still the next position; None:
            in any
            case.
    """

    record: LeaderRecord
    expected_offset: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Mark this record as released if it is still the last; ends with Left."""

    record: LeaderRecord


Action: TypeAlias = (
    Join | Leave | ReadOwner | ReadRecord | WriteRecord | Release
)


class LeaderElection:
    """This instance's claim to the seat of a zone.

    Args:
        zone: The zone.
        machine: This machine.
        address: Where other instances reach this one.
        platform_lease: The lease time of the platform's rules.
        start_delay: Wait before the first claim, so that instances that start
            together do not all claim at once.
        now: The time.
    """

    def __init__(
        self,
        zone: ids.AvailabilityZone,
        machine: str,
        address: str,
        platform_lease: datetime.timedelta,
        start_delay: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        self._zone = zone
        self._machine = machine
        self._address = address
        self._platform_lease = platform_lease
        self._state = _State.STANDBY
        self._generation = 0
        self._fencing_token = 0
        self._is_leader = False
        self._is_active = False
        self._next_offset = 0
        self._elected_at = _ZERO
        self._active_from = _ZERO
        self._lease_expires_at = _ZERO
        self._record_due_at = _ZERO  # When the record is due while waiting.
        # Another member may have the seat, so the store is asked first.
        self._must_recheck_ownership = False
        self._rechecked_token = 0  # Token of a record that led to a question.
        self._next_action_at = now + start_delay
        self._last_record: LeaderRecord | None = None
        self._last_record_seen_at = _ZERO
        self._is_record_known = False
        # What this process has written since it was told that it has the seat.
        self._written_record: LeaderRecord | None = None
        self._grace_period_ends_at = now + LAST_LEADER_GRACE_PERIOD
        self._pending_resign_calls = 0  # Calls of `leave` that have not ended.
        self._is_call_pending = False
        self._log_events: list[log_events.LogEvent] = []

    # ---- Properties

    @property
    def zone(self) -> ids.AvailabilityZone:
        """The zone."""
        return self._zone

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the zone's holder, as far as it knows."""
        return self._is_leader and self._state is not _State.RESIGNED

    @property
    def has_resigned(self) -> bool:
        """Whether the seat was given up and the calls for that have ended."""
        return (
            self._state is _State.RESIGNED and self._pending_resign_calls <= 0
        )

    @property
    def fencing_token(self) -> int:
        """The fencing token of this holder."""
        return self._fencing_token

    @property
    def active_from(self) -> datetime.timedelta:
        """When a new holder may give its first order."""
        return self._active_from

    @property
    def next_wakeup_at(self) -> datetime.timedelta:
        """When `act` is wanted next."""
        if self._is_call_pending or self._state is _State.RESIGNED:
            return datetime.timedelta.max
        return self._next_action_at

    def active_until(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the end of the right to give orders; zero without it."""
        if self._state is not _State.MEMBER or not self._is_active:
            return _ZERO
        if now < self._active_from:
            return _ZERO
        return self._lease_expires_at

    def time_until_active(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns the time until orders may be given, zero if they may.

        None: nothing tells when, as the right has ended or the store has to
        answer first.
        """
        if now < self.active_until(now):
            return _ZERO
        if self.is_leader and now < self._active_from:
            return self._active_from - now
        return None

    def take_log_events(self) -> list[log_events.LogEvent]:
        """Returns what changed since the last call."""
        taken, self._log_events = self._log_events, []
        return taken

    # ---- Inputs

    def observe_record(
        self, record: LeaderRecord | None, now: datetime.timedelta
    ) -> None:
        """The record of the zone, as followed; None if there is none."""
        self._is_record_known = True
        if record != self._last_record:
            self._last_record = record
            self._last_record_seen_at = now

    def handle_event(self, event: Event, now: datetime.timedelta) -> None:
        """Takes an answer of the store."""
        self._is_call_pending = False
        if self._state is _State.RESIGNED:
            if isinstance(event, LeaveResult):
                self._pending_resign_calls -= 1
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
        """Returns the calls that are due; one at a time.

        Args:
            is_leader_alive: Whether the zone's holder has been heard lately.
            now: The time.
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
        """Gives the seat up at the end of the process."""
        held = self._is_leader
        active = self._is_active
        self._state = _State.RESIGNED
        self._is_leader = False
        self._is_active = False
        if not held:
            return []
        actions: list[Action] = [Leave(self._zone, self._machine)]
        if active:
            actions.insert(0, Release(self._own_record(active=True)))
        self._pending_resign_calls = len(actions)
        return actions

    # ---- Steps

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
        """Asks for the seat if nobody seems to have it."""
        self._next_action_at = now + RETRY_INTERVAL
        if not self._is_record_known or is_leader_alive:
            return None
        if self._is_last_leader():
            self._state = _State.MEMBER
            return self._make_join()
        is_taken = (
            self._last_record is not None and not self._last_record.released
        )
        if is_taken and now < self._grace_period_ends_at:
            return None
        self._state = _State.READING_OWNER
        return ReadOwner(self._zone)

    def _renew(self, now: datetime.timedelta) -> Action:
        """Keeps the seat, or writes that orders will be given."""
        is_due = self._is_leader and now >= self._record_due_at
        if is_due and not self._is_active and not self._must_recheck_ownership:
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
        changed = event.generation != self._generation
        self._generation = event.generation
        if not event.is_owner:
            self._step_down(now)
            return
        lapsed = now >= self._lease_expires_at
        self._lease_expires_at = event.sent_at + LEADER_LEASE
        if self._is_leader and not changed and not lapsed:
            self._schedule_renewal(event.sent_at, now)
            return
        # Another machine may have had the seat in between.
        self._elected_at = now
        self._fencing_token = event.generation
        self._is_leader = True
        self._is_active = False
        self._written_record = None
        self._state = _State.READING_RECORD
        self._next_action_at = now

    def _schedule_renewal(
        self, sent_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Sets when the seat is kept next, or when orders may begin."""
        self._next_action_at = sent_at + RENEW_INTERVAL
        if not self._is_active and self._record_due_at > now:
            self._next_action_at = min(
                self._next_action_at, self._record_due_at
            )

    def _step_down(self, now: datetime.timedelta) -> None:
        """The store gave the seat to another, or has not given it yet."""
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
        if self._written_record is None or event.record != self._written_record:
            # A wait that has begun is never shortened by what is read later.
            self._active_from = max(
                self._active_from, self._earliest_active_at()
            )
        self._state = _State.WRITING_RECORD
        self._next_action_at = now

    def _needs_ownership_recheck(self, record: LeaderRecord | None) -> bool:
        """Whether another member may have had the seat since this one got it.

        The store is asked again, once for each such record.
        """
        if record is None or record.fencing_token <= self._fencing_token:
            return False
        is_new = record.fencing_token != self._rechecked_token
        self._rechecked_token = record.fencing_token
        return is_new

    def _earliest_active_at(self) -> datetime.timedelta:
        last = self._last_record
        if last is None or (self._is_last_leader() and last.active):
            return self._elected_at
        wait = self._platform_lease + CLOCK_DRIFT_MARGIN
        if last.released:
            return self._last_record_seen_at + wait
        if not last.active and last.takeover_delay_left is not None:
            return self._last_record_seen_at + last.takeover_delay_left
        return self._elected_at + LEADER_LEASE + wait

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
        left = self._active_from - now
        if left <= _ZERO:
            return self._own_record(active=True)
        # The store keeps whole milliseconds.
        left = -(-left // _MILLISECOND) * _MILLISECOND
        return dataclasses.replace(
            self._own_record(active=False), takeover_delay_left=left
        )

    def _own_record(self, active: bool) -> LeaderRecord:
        return LeaderRecord(
            self._zone,
            self._machine,
            self._address,
            self._fencing_token,
            active,
        )

    def _log(self, event: str, fields: dict[str, object]) -> None:
        self._log_events.append(
            log_events.LogEvent(event, {"zone": self._zone, **fields})
        )
