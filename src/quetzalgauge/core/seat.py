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
from quetzalgauge.core import notes

# A holder outlasts outages of the store up to this time.
ORDER_TIME = datetime.timedelta(seconds=6)
# The store gives the seat to another member after this silence.
SEAT_TIME = datetime.timedelta(milliseconds=1500)
# How often a holder asks whether it still has the seat.
RENEW_INTERVAL = datetime.timedelta(milliseconds=500)
# Clocks of two machines run at the same speed within this over the waits.
CLOCK_MARGIN = datetime.timedelta(milliseconds=200)
# An instance leaves the seat to the last holder for this time after a start.
LAST_HOLDER_TIME = datetime.timedelta(milliseconds=2500)
# How often a standby looks whether the seat is taken.
STANDBY_INTERVAL = datetime.timedelta(seconds=2)
# How often the record of a member that waits is written anew.
WAIT_RECORD_INTERVAL = datetime.timedelta(seconds=1.5)
# Pause after a failed call.
RETRY_INTERVAL = datetime.timedelta(milliseconds=300)

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The last holder of a zone, as the store keeps it.

    Attributes:
        availability_zone: The zone.
        machine: The machine; it has another name after a replacement.
        address: Where other instances reach the holder.
        token: Its fencing token.
        active: Whether it may have given orders.
        released: Whether it gives no more orders.
        wait_left: If it is not active, the time after this record from which
            the machine that was active before gives no more orders and the
            lease time has passed. None: not known.
    """

    availability_zone: ids.AvailabilityZone
    machine: str
    address: str
    token: int
    active: bool = True
    released: bool = False
    wait_left: datetime.timedelta | None = None


class _State(enum.Enum):
    STANDBY = "standby"  # Not a member.
    LOOKING = "looking"  # Asks who has the seat.
    MEMBER = "member"  # Has asked for the seat, or keeps it.
    READING = "reading"  # Has the seat, reads who was active last.
    WRITING = "writing"  # Writes that it has the seat.
    LEAVING = "leaving"  # A member without the seat.
    LEFT = "left"  # Gave the seat up at the end of the process.


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The store answered a request for the seat.

    Attributes:
        asked_at: When the request was sent.
        generation: Grows with each change of the group; 0 after a failure.
        has_seat: Whether this instance has the seat.
        failed: There was no answer.
    """

    asked_at: datetime.timedelta
    generation: int
    has_seat: bool
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRead:
    """The store told who has the seat; None: nobody."""

    owner: str | None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """The record of the zone was read; None: there is none.

    Attributes:
        record: The record.
        position: Where the next record will be written.
        failed: There was no answer.
    """

    record: Record | None
    position: int = 0
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RecordWritten:
    """A record was written, or not.

    Attributes:
        record: The record.
        conflict: Another record was written before it.
        failed: There was no answer, so it may have been written.
    """

    record: Record
    conflict: bool = False
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """The store was told that this instance leaves, or could not be told."""


Event: TypeAlias = Joined | OwnerRead | RecordRead | RecordWritten | Left


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Ask for the seat, or keep it; ends with Joined."""

    availability_zone: ids.AvailabilityZone
    machine: str
    generation: int
    silence: datetime.timedelta


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
        position: Write only if this is still the next position; None: in any
            case.
    """

    record: Record
    position: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Mark this record as released if it is still the last; ends with Left."""

    record: Record


Action: TypeAlias = (
    Join | Leave | ReadOwner | ReadRecord | WriteRecord | Release
)


class Seat:
    """This instance's claim to the seat of a zone.

    Args:
        zone: The zone.
        machine: This machine.
        address: Where other instances reach this one.
        lease: The lease time of the platform's rules.
        delay: Wait before the first claim, so that instances that start
            together do not all claim at once.
        now: The time.
    """

    def __init__(
        self,
        zone: ids.AvailabilityZone,
        machine: str,
        address: str,
        lease: datetime.timedelta,
        delay: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        self._zone = zone
        self._machine = machine
        self._address = address
        self._lease = lease
        self._state = _State.STANDBY
        self._generation = 0
        self._token = 0
        self._has_seat = False
        self._is_active = False
        self._position = 0
        self._told_at = _ZERO
        self._orders_from = _ZERO
        self._orders_until = _ZERO
        self._record_at = _ZERO  # When the record is due while waiting.
        # Another member may have the seat, so the store is asked first.
        self._is_doubtful = False
        self._asked_for = 0  # Token of a record that led to a question.
        self._next_at = now + delay
        self._last: Record | None = None
        self._last_seen = _ZERO
        self._knows_last = False
        # What this process has written since it was told that it has the seat.
        self._written: Record | None = None
        self._yield_until = now + LAST_HOLDER_TIME
        self._farewells = 0  # Calls of `leave` that have not ended.
        self._busy = False
        self._notes: list[notes.Note] = []

    # ---- Properties

    @property
    def zone(self) -> ids.AvailabilityZone:
        """The zone."""
        return self._zone

    @property
    def is_holding(self) -> bool:
        """Whether this instance is the zone's holder, as far as it knows."""
        return self._has_seat and self._state is not _State.LEFT

    @property
    def has_left(self) -> bool:
        """Whether the seat was given up and the calls for that have ended."""
        return self._state is _State.LEFT and self._farewells <= 0

    @property
    def token(self) -> int:
        """The fencing token of this holder."""
        return self._token

    @property
    def orders_from(self) -> datetime.timedelta:
        """When a new holder may give its first order."""
        return self._orders_from

    @property
    def due(self) -> datetime.timedelta:
        """When `act` is wanted next."""
        if self._busy or self._state is _State.LEFT:
            return datetime.timedelta.max
        return self._next_at

    def may_order_until(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the end of the right to give orders; zero without it."""
        if self._state is not _State.MEMBER or not self._is_active:
            return _ZERO
        if now < self._orders_from:
            return _ZERO
        return self._orders_until

    def first_order_in(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns the time until orders may be given, zero if they may.

        None: nothing tells when, as the right has ended or the store has to
        answer first.
        """
        if now < self.may_order_until(now):
            return _ZERO
        if self.is_holding and now < self._orders_from:
            return self._orders_from - now
        return None

    def take_notes(self) -> list[notes.Note]:
        """Returns what changed since the last call."""
        taken, self._notes = self._notes, []
        return taken

    # ---- Inputs

    def note_last(self, record: Record | None, now: datetime.timedelta) -> None:
        """The record of the zone, as followed; None if there is none."""
        self._knows_last = True
        if record != self._last:
            self._last = record
            self._last_seen = now

    def step(self, event: Event, now: datetime.timedelta) -> None:
        """Takes an answer of the store."""
        self._busy = False
        if self._state is _State.LEFT:
            if isinstance(event, Left):
                self._farewells -= 1
            return
        match event:
            case Joined():
                self._joined(event, now)
            case OwnerRead():
                self._owner_read(event, now)
            case RecordRead():
                self._record_read(event, now)
            case RecordWritten():
                self._record_written(event, now)

    def act(
        self, holder_is_alive: bool, now: datetime.timedelta
    ) -> list[Action]:
        """Returns the calls that are due; one at a time.

        Args:
            holder_is_alive: Whether the zone's holder has been heard lately.
            now: The time.
        """
        if self._busy or now < self._next_at or self._state is _State.LEFT:
            return []
        action = self._next_action(holder_is_alive, now)
        if action is None:
            return []
        self._busy = True
        return [action]

    def leave(self) -> list[Action]:
        """Gives the seat up at the end of the process."""
        held = self._has_seat
        active = self._is_active
        self._state = _State.LEFT
        self._has_seat = False
        self._is_active = False
        if not held:
            return []
        actions: list[Action] = [Leave(self._zone, self._machine)]
        if active:
            actions.insert(0, Release(self._own_record(active=True)))
        self._farewells = len(actions)
        return actions

    # ---- Steps

    def _next_action(
        self, holder_is_alive: bool, now: datetime.timedelta
    ) -> Action | None:
        match self._state:
            case _State.STANDBY:
                return self._claim(holder_is_alive, now)
            case _State.LOOKING:
                return ReadOwner(self._zone)
            case _State.READING:
                return ReadRecord(self._zone)
            case _State.WRITING:
                return WriteRecord(self._next_record(now), self._position)
            case _State.LEAVING:
                self._state = _State.STANDBY
                self._next_at = now + STANDBY_INTERVAL
                return Leave(self._zone, self._machine)
            case _:
                return self._keep(now)

    def _claim(
        self, holder_is_alive: bool, now: datetime.timedelta
    ) -> Action | None:
        """Asks for the seat if nobody seems to have it."""
        self._next_at = now + RETRY_INTERVAL
        if not self._knows_last or holder_is_alive:
            return None
        if self._was_last():
            self._state = _State.MEMBER
            return self._join()
        is_taken = self._last is not None and not self._last.released
        if is_taken and now < self._yield_until:
            return None
        self._state = _State.LOOKING
        return ReadOwner(self._zone)

    def _keep(self, now: datetime.timedelta) -> Action:
        """Keeps the seat, or writes that orders will be given."""
        is_due = self._has_seat and now >= self._record_at
        if is_due and not self._is_active and not self._is_doubtful:
            self._state = _State.READING
            return ReadRecord(self._zone)
        return self._join()

    def _join(self) -> Action:
        return Join(self._zone, self._machine, self._generation, SEAT_TIME)

    def _joined(self, event: Joined, now: datetime.timedelta) -> None:
        if event.failed:
            self._next_at = now + RETRY_INTERVAL
            return
        self._is_doubtful = False
        changed = event.generation != self._generation
        self._generation = event.generation
        if not event.has_seat:
            self._lose(now)
            return
        lapsed = now >= self._orders_until
        self._orders_until = event.asked_at + ORDER_TIME
        if self._has_seat and not changed and not lapsed:
            self._plan(event.asked_at, now)
            return
        # Another machine may have had the seat in between.
        self._told_at = now
        self._token = event.generation
        self._has_seat = True
        self._is_active = False
        self._written = None
        self._state = _State.READING
        self._next_at = now

    def _plan(
        self, asked_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Sets when the seat is kept next, or when orders may begin."""
        self._next_at = asked_at + RENEW_INTERVAL
        if not self._is_active and self._record_at > now:
            self._next_at = min(self._next_at, self._record_at)

    def _lose(self, now: datetime.timedelta) -> None:
        """The store gave the seat to another, or has not given it yet."""
        if self._has_seat:
            self._note("seat_lost", {"token": self._token})
        self._state = _State.LEAVING
        self._generation = 0
        self._has_seat = False
        self._is_active = False
        self._orders_until = _ZERO
        self._next_at = now

    def _owner_read(self, event: OwnerRead, now: datetime.timedelta) -> None:
        if event.failed:
            self._next_at = now + RETRY_INTERVAL
            return
        if event.owner is None or event.owner == self._machine:
            self._state = _State.MEMBER
            self._next_at = now
            return
        self._state = _State.STANDBY
        self._next_at = now + STANDBY_INTERVAL

    def _record_read(self, event: RecordRead, now: datetime.timedelta) -> None:
        if event.failed:
            self._next_at = now + RETRY_INTERVAL
            return
        self.note_last(event.record, now)
        self._position = event.position
        if self._is_from_later_member(event.record):
            self._is_doubtful = True
            self._state = _State.MEMBER
            self._next_at = now
            return
        if self._written is None or event.record != self._written:
            # A wait that has begun is never shortened by what is read later.
            self._orders_from = max(self._orders_from, self._first_order_at())
        self._state = _State.WRITING
        self._next_at = now

    def _is_from_later_member(self, record: Record | None) -> bool:
        """Whether another member may have had the seat since this one got it.

        The store is asked again, once for each such record.
        """
        if record is None or record.token <= self._token:
            return False
        is_new = record.token != self._asked_for
        self._asked_for = record.token
        return is_new

    def _first_order_at(self) -> datetime.timedelta:
        last = self._last
        if last is None or (self._was_last() and last.active):
            return self._told_at
        wait = self._lease + CLOCK_MARGIN
        if last.released:
            return self._last_seen + wait
        if not last.active and last.wait_left is not None:
            return self._last_seen + last.wait_left
        return self._told_at + ORDER_TIME + wait

    def _record_written(
        self, event: RecordWritten, now: datetime.timedelta
    ) -> None:
        if event.failed or event.conflict:
            self._state = _State.READING
            self._next_at = now + (RETRY_INTERVAL if event.failed else _ZERO)
            return
        self._last = event.record
        self._last_seen = now
        self._written = event.record
        self._is_active = event.record.active
        self._state = _State.MEMBER
        self._record_at = min(self._orders_from, now + WAIT_RECORD_INTERVAL)
        self._plan(now, now)
        self._note(
            "seat_taken",
            {
                "token": self._token,
                "active": self._is_active,
                "orders_in_s": max(
                    0.0, (self._orders_from - now).total_seconds()
                ),
            },
        )

    def _was_last(self) -> bool:
        return self._last is not None and self._last.machine == self._machine

    def _next_record(self, now: datetime.timedelta) -> Record:
        left = self._orders_from - now
        if left <= _ZERO:
            return self._own_record(active=True)
        # The store keeps whole milliseconds.
        left = -(-left // _MILLISECOND) * _MILLISECOND
        return dataclasses.replace(
            self._own_record(active=False), wait_left=left
        )

    def _own_record(self, active: bool) -> Record:
        return Record(
            self._zone, self._machine, self._address, self._token, active
        )

    def _note(self, event: str, fields: dict[str, object]) -> None:
        self._notes.append(notes.Note(event, {"zone": self._zone, **fields}))
