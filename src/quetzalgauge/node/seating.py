"""Calls of the seat to the platform's store: one task, one call at a time."""

from collections.abc import Callable
from typing import Any

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge.core import seat
from quetzalgauge.node import journal
from quetzalgauge.platform import seats
from quetzalgauge.platform import store

_ERRORS = (exceptions.PlatformError, exceptions.DecodeError)


def make_seating(
    address: str,
    tell: Callable[[seat.Event], None],
    now: clock.Clock,
    log: journal.Journal,
    renew: Callable[[], None],
) -> Callable[[Any], None]:
    """Returns the function of the task that carries out the seat's actions.

    Args:
        address: IP-NUMBER:PORT of the store.
        tell: Gets the events.
        now: The clock.
        log: Gets a line for each failed call.
        renew: Called when a call is answered after one that failed.
    """
    client = store.Store(address)
    has_failed = False

    def handle(action: seat.Action) -> None:
        nonlocal has_failed
        asked_at = now()
        try:
            event = _carry_out(client, action, asked_at)
        except _ERRORS as error:
            client.close()
            log.write(
                "seat_call_failed",
                {"call": type(action).__name__, "error": str(error)},
            )
            event = _failed(action, asked_at)
            has_failed = True
        else:
            if has_failed:
                log.write("store_reads_renewed", {})
                renew()
            has_failed = False
        tell(event)

    return handle


def _carry_out(
    client: store.Store, action: seat.Action, asked_at: Any
) -> seat.Event:
    match action:
        case seat.Join():
            generation, has_seat = seats.join(client, action)
            return seat.JoinResult(asked_at, generation, has_seat)
        case seat.ReadOwner():
            owner = seats.read_owner(client, action.availability_zone)
            return seat.ReadOwnerResult(owner)
        case seat.ReadRecord():
            record, position = seats.read_record(
                client, action.availability_zone
            )
            return seat.ReadRecordResult(record, position)
        case seat.WriteRecord():
            written = seats.write_record(
                client, action.record, action.expected_offset
            )
            return seat.WriteRecordResult(action.record, conflict=not written)
        case seat.Release():
            seats.release(client, action.record)
        case seat.Leave():
            seats.leave(client, action)
    return seat.LeaveResult()


def _failed(action: seat.Action, asked_at: Any) -> seat.Event:
    match action:
        case seat.Join():
            return seat.JoinResult(asked_at, 0, False, failed=True)
        case seat.ReadOwner():
            return seat.ReadOwnerResult(None, failed=True)
        case seat.ReadRecord():
            return seat.ReadRecordResult(None, failed=True)
        case seat.WriteRecord():
            return seat.WriteRecordResult(action.record, failed=True)
    return seat.LeaveResult()
