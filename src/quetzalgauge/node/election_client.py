"""Makes the leader election's calls to the platform's store, one at a time."""

from collections.abc import Callable
import datetime
from typing import Any

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge.core import election
from quetzalgauge.node import event_log
from quetzalgauge.node import store_era
from quetzalgauge.platform import election_store
from quetzalgauge.platform import store

_ERRORS = (exceptions.PlatformError, exceptions.DecodeError)


def make_election_handler(
    address: str,
    post_event: Callable[[election.Event], None],
    now: clock.Clock,
    log: event_log.EventLog,
    on_recovery: Callable[[datetime.timedelta], None],
    check_era: store_era.CheckEra = store_era.accept_all,
) -> Callable[[Any], None]:
    """Returns the function that executes an action of the leader election.

    Args:
        address: IP-ADDRESS:PORT of the store.
        post_event: Called with the result of each call.
        now: The clock.
        log: Gets a line for each failed call.
        on_recovery: Called when a call succeeds after one that failed, with
            the start of the call that succeeded.
        check_era: Checks the era that each response of the store names.
    """
    client = store.StoreClient(address, check_era)
    has_failed = False

    def handle(action: election.Action) -> None:
        nonlocal has_failed
        sent_at = now()
        try:
            event = _call_store(client, action, sent_at)
        except _ERRORS as error:
            client.close()
            log.write(
                "seat_call_failed",
                {"call": type(action).__name__, "error": str(error)},
            )
            event = election.make_failure(action, sent_at)
            has_failed = True
        else:
            if has_failed:
                log.write("store_reads_renewed", {})
                on_recovery(sent_at)
            has_failed = False
        post_event(event)

    return handle


def _call_store(
    client: store.StoreClient, action: election.Action, sent_at: Any
) -> election.Event:
    match action:
        case election.Join():
            generation, is_owner = election_store.join(client, action)
            return election.JoinResult(
                sent_at, generation, is_owner, era=client.era
            )
        case election.ReadOwner():
            owner = election_store.read_owner(client, action.availability_zone)
            return election.ReadOwnerResult(owner, era=client.era)
        case election.ReadRecord():
            record, next_offset = election_store.read_record(
                client, action.availability_zone
            )
            return election.ReadRecordResult(
                record, next_offset, era=client.era
            )
        case election.WriteRecord():
            is_written = election_store.write_record(
                client, action.record, action.expected_offset
            )
            return election.WriteRecordResult(
                action.record, conflict=not is_written, era=client.era
            )
        case election.Release():
            election_store.release(client, action.record)
        case election.Leave():
            election_store.leave(client, action)
    # Release and Leave both end in a LeaveResult.
    return election.LeaveResult()
