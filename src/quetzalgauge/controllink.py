"""Calls of an entry process to its control process over Thrift."""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import datetime
import math
from typing import Any

from quetzalgauge import calls
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import routing
from quetzalgauge import wire
from quetzalgauge.gen import Control
from quetzalgauge.gen import ttypes

# A sync waits a quarter of a second at most; the rest is for a busy process.
SYNC_TIMEOUT = datetime.timedelta(seconds=3)
STORE_TIMEOUT = datetime.timedelta(seconds=2)
# Above this the outcome is not kept, and a repetition gets `outcome_unknown`.
MAX_STORED_BYTES = 512 * 1024
# An answer travels for some time after the other side's own limit.
_ANSWER_TIME = datetime.timedelta(seconds=1)
_DIGEST_HEADER = "x-quetzalgauge-digest"
_ALIVE_MAX = datetime.timedelta(days=1)

_KEY_DECISIONS = {
    ttypes.KeyDecision.RUN: calls.KeyDecision.RUN,
    ttypes.KeyDecision.STORED: calls.KeyDecision.STORED,
    ttypes.KeyDecision.UNKNOWN: calls.KeyDecision.UNKNOWN,
    ttypes.KeyDecision.UNAVAILABLE: calls.KeyDecision.UNAVAILABLE,
}
_REPLICA_STATES = {
    ttypes.ReplicaState.LOADING: messages.ReplicaState.LOADING,
    ttypes.ReplicaState.READY: messages.ReplicaState.READY,
    ttypes.ReplicaState.UNLOADING: messages.ReplicaState.UNLOADING,
}


class ControlLink:
    """Calls to the control process; several threads may share it."""

    def __init__(self, entry: ids.EntryId, address: str) -> None:
        self._entry = entry
        self._client = wire.Client(Control, address, max_idle=8)

    def sync(self, report: calls.SendReport) -> calls.RoutesReceived:
        """Reports and waits for news, a quarter of a second at most.

        Raises:
            exceptions.PeerError: Control does not answer.
            exceptions.DecodeError: The answer is not valid.
        """
        update = self._client.call(
            "sync", self._encode_report(report), timeout=SYNC_TIMEOUT
        )
        wire.require_complete(update)
        return decode_routes(update)

    def send_urgent(self, report: calls.SendReport) -> None:
        """Reports demand at once. The next `sync` brings the news."""
        with contextlib.suppress(exceptions.PeerError):
            self._client.call(
                "sync", self._encode_report(report), timeout=SYNC_TIMEOUT
            )

    def claim_key(
        self, key: ids.KeyHash, timeout: datetime.timedelta
    ) -> tuple[calls.KeyDecision, calls.StoredOutcome | None]:
        """Claims an idempotency key; any failure is UNAVAILABLE."""
        try:
            reply = self._client.call(
                "claim_key",
                self._entry,
                key,
                timeout.total_seconds(),
                timeout=timeout + _ANSWER_TIME,
            )
        except exceptions.PeerError:
            return calls.KeyDecision.UNAVAILABLE, None
        decision = _KEY_DECISIONS.get(
            reply.decision, calls.KeyDecision.UNAVAILABLE
        )
        if decision is not calls.KeyDecision.STORED:
            return decision, None
        outcome = decode_outcome(reply.outcome)
        if outcome is None:
            return calls.KeyDecision.UNKNOWN, None
        return decision, outcome

    def store_outcome(
        self, key: ids.KeyHash, outcome: calls.StoredOutcome
    ) -> bool:
        """Stores an outcome for later tries; returns whether it was kept."""
        if len(outcome.body) > MAX_STORED_BYTES:
            return False
        try:
            self._client.call(
                "store_outcome",
                self._entry,
                key,
                encode_outcome(outcome),
                timeout=STORE_TIMEOUT,
            )
        except exceptions.PeerError:
            return False
        return True

    def ensure_adapter(
        self,
        target: ids.TargetId,
        adapter: ids.AdapterName,
        timeout: datetime.timedelta,
    ) -> bool:
        """Makes an adapter resident; returns whether it is."""
        try:
            reply = self._client.call(
                "ensure_adapter",
                target,
                adapter,
                timeout.total_seconds(),
                timeout=timeout + _ANSWER_TIME,
            )
        except exceptions.PeerError:
            return False
        return bool(reply.decision == ttypes.AdapterDecision.RESIDENT)

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()

    def _encode_report(self, report: calls.SendReport) -> Any:
        return ttypes.EntryReport(
            entry=self._entry,
            routes_version=report.routes_version,
            catalog_version=report.catalog_version,
            demands=[self._encode_demand(one) for one in report.demands],
            in_flight=dict(report.in_flight),
            suspect_targets=list(report.suspects),
            draining=report.draining,
        )

    def _encode_demand(self, demand: calls.Demand) -> Any:
        return ttypes.Demand(
            model=demand.servable.model,
            version=demand.servable.version,
            waiting=demand.waiting,
            running=demand.running,
            oldest_wait_s=demand.oldest_wait.total_seconds(),
            priority=demand.priority,
            origin=self._entry,
        )


def encode_outcome(outcome: calls.StoredOutcome) -> Any:
    """Returns the Thrift form of an outcome."""
    headers = dict(outcome.headers)
    headers[_DIGEST_HEADER] = outcome.digest
    return ttypes.KeyOutcome(
        known=True, status=outcome.status, headers=headers, body=outcome.body
    )


def decode_outcome(outcome: Any) -> calls.StoredOutcome | None:
    """Returns a stored outcome; None if it is unknown or incomplete."""
    if outcome is None or not outcome.known or not outcome.status:
        return None
    headers: Mapping[str, str] = outcome.headers or {}
    return calls.StoredOutcome(
        outcome.status,
        tuple(
            (name, value)
            for name, value in headers.items()
            if name != _DIGEST_HEADER
        ),
        outcome.body or b"",
        headers.get(_DIGEST_HEADER, ""),
    )


def decode_routes(update: Any) -> calls.RoutesReceived:
    """Returns the core form of a RouteUpdate.

    Raises:
        exceptions.DecodeError: A number is out of range.
    """
    replicas = service_targets = None
    if update.routes_changed:
        # One bad address must not keep back all other routes.
        replicas = tuple(
            _decode_replica(one)
            for one in update.replicas
            if _is_address(one.address)
        )
        service_targets = tuple(
            _decode_target(one)
            for one in update.service_targets
            if _is_address(one.address)
        )
    return calls.RoutesReceived(
        update.routes_version,
        update.catalog_version,
        replicas,
        service_targets,
        update.catalog_complete,
        {
            ids.ModelName(one.model): None if one.removed else _model(one)
            for one in update.models
        },
        {
            ids.AdapterName(one.adapter): (
                None if one.removed else ids.ModelName(one.model)
            )
            for one in update.adapters
        },
        update.log_reachable,
        {
            ids.ServiceName(one.service_name): (
                None if one.removed else frozenset(one.repeatable_paths)
            )
            for one in update.services
        },
    )


def _is_address(text: str) -> bool:
    try:
        wire.parse_address(text)
    except exceptions.DecodeError:
        return False
    return True


def _model(entry: Any) -> calls.Model:
    return calls.Model(
        ids.ModelName(entry.model),
        frozenset(ids.VersionName(one) for one in entry.versions),
        ids.VersionName(entry.default_version),
        entry.priority,
    )


def _decode_replica(replica: Any) -> routing.Replica:
    seconds = replica.ready_in_s
    if not math.isfinite(seconds):
        raise exceptions.DecodeError("Replica.ready_in_s is not finite")
    seconds = min(max(0.0, seconds), _ALIVE_MAX.total_seconds())
    return routing.Replica(
        routing.Servable(
            ids.ModelName(replica.slot.model),
            ids.VersionName(replica.version),
        ),
        ids.TargetId(replica.target),
        replica.address,
        ids.AvailabilityZone(replica.availability_zone),
        _REPLICA_STATES.get(replica.state, messages.ReplicaState.UNLOADING),
        datetime.timedelta(seconds=seconds),
        replica.max_running,
    )


def _decode_target(target: Any) -> routing.ServiceTarget:
    return routing.ServiceTarget(
        ids.ServiceName(target.service_name),
        ids.TargetId(target.target),
        target.address,
        ids.AvailabilityZone(target.availability_zone),
    )


def run_sync(
    link: ControlLink,
    ask_report: Callable[[], calls.SendReport | None],
    tell: Callable[[calls.Event], None],
    pause: Callable[[float], bool],
) -> None:
    """Exchanges reports and routes until there is no report any more.

    Args:
        link: The control process.
        ask_report: Returns the next report, None when the process ends.
        tell: Takes the events of this task.
        pause: Waits for some seconds; returns True when the process ends.
    """
    lost = False
    delay = 0.05
    while (report := ask_report()) is not None:
        if lost:
            # A restarted control process counts versions from the start.
            report = _ask_everything(report)
        try:
            update = link.sync(report)
        except (exceptions.PeerError, exceptions.DecodeError):
            if not lost:
                tell(calls.ControlLost())
            lost = True
            if pause(delay):
                return
            delay = min(1.0, delay * 2)
            continue
        lost = False
        delay = 0.05
        tell(update)


def _ask_everything(report: calls.SendReport) -> calls.SendReport:
    return calls.SendReport(
        0,
        0,
        report.demands,
        report.in_flight,
        report.suspects,
        report.draining,
    )
