"""Handlers of the Thrift services of a control process."""

from collections.abc import Callable
import dataclasses
import datetime
import threading
from typing import Any

from thrift.transport import TTransport

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import inbox as inbox_module
from quetzalgauge import messages
from quetzalgauge import wire
from quetzalgauge.gen import ttypes

# Longest wait of `sync` for a change.
SYNC_WAIT = datetime.timedelta(milliseconds=250)
# An unchanged route update is answered without the core up to this age, since
# each question to its thread costs two switches between threads.
_UNCHANGED_LIMIT = datetime.timedelta(seconds=1)
# Restarted entry processes may have new names.
_MAX_ENTRIES = 100
# Longest wait for the core's own thread.
REPLY_TIMEOUT = datetime.timedelta(seconds=3)
# Callers of calls with a timeout get the core's answer, so the shell waits a
# little longer than the core.
_REPLY_MARGIN = datetime.timedelta(milliseconds=500)
_MAX_TIMEOUT_SECONDS = 600.0
# Calls that may wait long, at most this many at once, so that threads of the
# servers stay free for the others.
MAX_CONTROL_WAITS = 48
MAX_PEER_WAITS = 8


class RouteWatch:
    """Wakes up `sync` calls when routes or catalog have changed."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._generation = 1
        self._seen: dict[str, int] = {}

    def announce(self) -> None:
        """Notes a change and wakes up all waiting calls."""
        with self._condition:
            self._generation += 1
            self._condition.notify_all()

    def wait(self, entry: str, timeout: datetime.timedelta) -> bool:
        """Waits for a change that the entry process has not got yet.

        Returns whether there is one.
        """
        with self._condition:
            seen = self._seen.get(entry, 0)
            changed = self._condition.wait_for(
                lambda: self._generation != seen, timeout.total_seconds()
            )
            # A change after this point wakes up the next call.
            self._seen[entry] = self._generation
            while len(self._seen) > _MAX_ENTRIES:
                del self._seen[next(iter(self._seen))]
        return changed

    def forget(self, entry: str) -> None:
        """Makes the next call of an entry process answer at once."""
        with self._condition:
            self._seen.pop(entry, None)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answered:
    """The last answer of the core to an entry process."""

    routes_version: int
    catalog_version: int
    log_reachable: bool
    at: datetime.timedelta


class ControlHandler:
    """The service for entry processes."""

    def __init__(
        self,
        inbox: inbox_module.Inbox,
        watch: RouteWatch,
        now: clock.Clock,
    ) -> None:
        self._inbox = inbox
        self._watch = watch
        self._now = now
        self._answered: dict[str, _Answered] = {}
        self._waits = threading.BoundedSemaphore(MAX_CONTROL_WAITS)

    def sync(self, report: Any) -> Any:
        """Waits for a change of routes or catalog, then returns it."""
        _require(report)
        self._inbox.put(messages.EntryReported(report))
        if 0 in (report.routes_version, report.catalog_version):
            self._watch.forget(report.entry)
        changed = self._watch.wait(report.entry, SYNC_WAIT)
        if not changed:
            unchanged = self._unchanged_update(report)
            if unchanged is not None:
                return unchanged
        try:
            update = self._inbox.query(
                lambda controller: controller.route_update(report),
                REPLY_TIMEOUT,
            )
        except exceptions.NoReplyError as error:
            self._watch.forget(report.entry)
            raise _closed(error) from error
        self._remember(report.entry, update)
        return update

    def _unchanged_update(self, report: Any) -> Any:
        answered = self._answered.get(report.entry)
        if answered is None or self._now() - answered.at > _UNCHANGED_LIMIT:
            return None
        versions = (answered.routes_version, answered.catalog_version)
        if versions != (report.routes_version, report.catalog_version):
            return None
        return ttypes.RouteUpdate(
            routes_version=answered.routes_version,
            catalog_version=answered.catalog_version,
            routes_changed=False,
            replicas=[],
            service_targets=[],
            catalog_complete=False,
            models=[],
            adapters=[],
            log_reachable=answered.log_reachable,
            services=[],
        )

    def _remember(self, entry: str, update: Any) -> None:
        self._answered.pop(entry, None)
        self._answered[entry] = _Answered(
            update.routes_version,
            update.catalog_version,
            update.log_reachable,
            self._now(),
        )
        if len(self._answered) > _MAX_ENTRIES:
            oldest = next(iter(self._answered), entry)
            self._answered.pop(oldest, None)

    def claim_key(self, entry: str, key: int, timeout_s: float) -> Any:
        """Returns a ttypes.KeyReply, in time even without the core."""
        _require(entry, key)
        timeout = _timeout(timeout_s)
        deadline = self._now() + timeout
        try:
            return _ask_within(
                self._waits,
                self._inbox,
                lambda token: messages.KeyClaimRequested(
                    token, ids.EntryId(entry), ids.KeyHash(key), deadline
                ),
                timeout + _REPLY_MARGIN,
            )
        except exceptions.NoReplyError:
            # The entry process refuses the request without running it.
            return ttypes.KeyReply(ttypes.KeyDecision.UNAVAILABLE, _NO_OUTCOME)

    def store_outcome(self, entry: str, key: int, outcome: Any) -> None:
        """Hands the outcome of a keyed request to the core."""
        _require(entry, key, outcome)
        self._inbox.put(messages.OutcomeStored(ids.KeyHash(key), outcome))

    def ensure_adapter(
        self, target: str, adapter: str, timeout_s: float
    ) -> Any:
        """Returns a ttypes.AdapterReply, in time even without the core."""
        return _ensure_adapter(
            self._waits, self._inbox, self._now, target, adapter, timeout_s
        )


class PeerHandler:
    """The service for other control processes."""

    def __init__(self, inbox: inbox_module.Inbox, now: clock.Clock) -> None:
        self._inbox = inbox
        self._now = now
        self._waits = threading.BoundedSemaphore(MAX_PEER_WAITS)

    def exchange(self, digest: Any, target_states: Any) -> Any:
        """Returns the core's ttypes.Update."""
        _require(digest, target_states)
        return self._ask(
            lambda token: messages.DigestReceived(token, digest, target_states)
        )

    def demand(self, demands: Any) -> None:
        """Hands demand to the core."""
        _require(demands)
        self._inbox.put(messages.DemandReceived(demands))

    def fetch_snapshot(self, stream: str) -> Any:
        """Returns a stream's state as a ttypes.LogRecord."""
        _require(stream)
        return self._ask(
            lambda token: messages.SnapshotWanted(token, ids.StreamName(stream))
        )

    def fetch_outcome(self, key: int) -> Any:
        """Returns a ttypes.KeyOutcome."""
        _require(key)
        return self._ask(
            lambda token: messages.OutcomeWanted(token, ids.KeyHash(key))
        )

    def ensure_adapter(
        self, target: str, adapter: str, timeout_s: float
    ) -> Any:
        """Returns a ttypes.AdapterReply, in time even without the core."""
        return _ensure_adapter(
            self._waits, self._inbox, self._now, target, adapter, timeout_s
        )

    def _ask(self, make_event: Any) -> Any:
        try:
            return self._inbox.ask(make_event, REPLY_TIMEOUT)
        except exceptions.NoReplyError as error:
            raise _closed(error) from error


_NO_OUTCOME = ttypes.KeyOutcome(known=False, status=0, headers={}, body=b"")


def _ask_within(
    waits: threading.BoundedSemaphore,
    inbox: inbox_module.Inbox,
    make_event: Callable[[Any], messages.Event],
    timeout: datetime.timedelta,
) -> Any:
    """Asks the core unless too many calls are waiting already."""
    if not waits.acquire(blocking=False):
        raise exceptions.NoReplyError("too many calls are waiting")
    try:
        return inbox.ask(make_event, timeout)
    finally:
        waits.release()


def _ensure_adapter(
    waits: threading.BoundedSemaphore,
    inbox: inbox_module.Inbox,
    now: clock.Clock,
    target: str,
    adapter: str,
    timeout_s: float,
) -> Any:
    _require(target, adapter)
    timeout = _timeout(timeout_s)
    deadline = now() + timeout
    try:
        return _ask_within(
            waits,
            inbox,
            lambda token: messages.AdapterRequested(
                token,
                ids.TargetId(target),
                ids.AdapterName(adapter),
                deadline,
            ),
            timeout + _REPLY_MARGIN,
        )
    except exceptions.NoReplyError as error:
        return ttypes.AdapterReply(
            ttypes.AdapterDecision.REFUSED, f"the adapter did not load: {error}"
        )


def _require(*arguments: Any) -> None:
    """Closes the connection of a call that lacks fields.

    A transport error ends the call without the traceback that the generated
    code writes for other errors.
    """
    try:
        for argument in arguments:
            wire.require_complete(argument)
    except exceptions.DecodeError as error:
        raise _closed(error) from error


def _closed(error: Exception) -> Exception:
    return TTransport.TTransportException(message=str(error))


def _timeout(seconds: Any) -> datetime.timedelta:
    # The comparison is false for NaN as well.
    if not isinstance(seconds, float) or not seconds >= 0:
        raise _closed(exceptions.DecodeError("no timeout"))
    return datetime.timedelta(seconds=min(seconds, _MAX_TIMEOUT_SECONDS))
