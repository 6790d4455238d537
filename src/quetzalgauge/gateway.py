"""The core of an entry process: admission, routing and retries.

`step(event, now)` takes the events of module `calls` and returns its actions.
"""

from collections.abc import Callable
import dataclasses
import datetime
import enum
from typing import Any

from quetzalgauge import admission
from quetzalgauge import calls
from quetzalgauge import drain
from quetzalgauge import ids
from quetzalgauge import marks
from quetzalgauge import messages
from quetzalgauge import refusals
from quetzalgauge import retries
from quetzalgauge import routetable
from quetzalgauge import routing

# Used when the route does not say how many requests a replica runs at once.
DEFAULT_MAX_RUNNING = 8
# A resident adapter may be unloaded by its holder at any time; asking again
# after this time costs one call to control.
RESIDENCY_TIME = datetime.timedelta(seconds=60)
MAX_RESUMES = 3
# Callers get an error for what is cut off when a drain times out.
CUT_TIME = datetime.timedelta(seconds=1)
# Keys claimed by this process whose requests never ran.
UNUSED_KEY_LIMIT = 1000

_ZERO = datetime.timedelta()


# ---- State -----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds from the settings."""

    queue_limit: int
    max_streams: int
    max_in_progress: int
    drain_timeout: datetime.timedelta


class _Phase(enum.Enum):
    WAITING = "waiting"
    ADAPTER = "adapter"
    OPENING = "opening"
    CLAIMING = "claiming"
    SENT = "sent"
    FINISHED = "finished"  # Its last action was given out.


@dataclasses.dataclass(slots=True)
class _Call:
    request: calls.Request
    arrived: datetime.timedelta
    servable: routing.Servable | None = None
    adapter: ids.AdapterName | None = None
    waiting: admission.Waiting | None = None
    phase: _Phase = _Phase.WAITING
    target: routing.Candidate | None = None
    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)
    failures: list[retries.Failure] = dataclasses.field(default_factory=list)
    key_claimed: bool = False
    ever_sent: bool = False
    cold: bool = False
    sent_at: datetime.timedelta = _ZERO
    resumes: int = 0
    cancelled: bool = False
    caller_gone: bool = False


class Gateway:
    """State of the core. One task owns it and calls `step`."""

    def __init__(
        self,
        limits: Limits,
        router: routing.Router,
        budget: retries.RetryBudget | None = None,
    ) -> None:
        self._limits = limits
        self._route = router
        self._budget = budget or retries.RetryBudget()
        self._drain = drain.Drain(limits.drain_timeout)
        self._calls: dict[int, _Call] = {}
        self._queues: dict[routing.Servable, admission.WaitingQueue] = {}
        self._service_times: dict[routing.Servable, admission.ServiceTime] = {}
        self._in_flight: dict[ids.TargetId, int] = {}
        self._running: dict[tuple[ids.TargetId, routing.Servable], int] = {}
        self._marks = marks.Marks()
        self._resident: dict[
            tuple[ids.TargetId, ids.AdapterName], datetime.timedelta
        ] = {}
        self._open_keys: dict[ids.KeyHash, str] = {}
        self._unused_keys: dict[ids.KeyHash, str] = {}
        self._table = routetable.RouteTable()
        self._streams = 0
        self._sequence = 0
        self._stopped = False
        self._stop_by: datetime.timedelta | None = None
        self._cut = 0

    @property
    def is_ready(self) -> bool:
        """Whether new requests are accepted and routes are known."""
        return self._drain.accepts and self._table.routes_version > 0

    @property
    def accepts(self) -> bool:
        """Whether new requests are accepted."""
        return self._drain.accepts

    @property
    def in_progress(self) -> int:
        """Number of calls that have not ended."""
        return len(self._calls)

    @property
    def streams(self) -> int:
        """Number of streams in progress."""
        return self._streams

    @property
    def retry_tokens(self) -> float:
        """Number of retries allowed at this moment."""
        return self._budget.tokens

    @property
    def waiting(self) -> int:
        """Number of requests in queues."""
        return sum(len(queue) for queue in self._queues.values())

    def queue_lengths(self) -> dict[str, int]:
        """Returns the numbers of waiting requests by model and version."""
        return {
            f"{servable.model}@{servable.version}": len(queue)
            for servable, queue in self._queues.items()
        }

    def step(
        self, event: calls.Event, now: datetime.timedelta
    ) -> list[calls.Action]:
        """Takes one event and returns the actions to carry out."""
        self._marks.expire(now)
        handler = _HANDLERS[type(event)]
        actions: list[calls.Action] = handler(self, event, now)
        return actions

    # ---- Arrival

    def _arrived(
        self, event: calls.Arrived, now: datetime.timedelta
    ) -> list[calls.Action]:
        call = _Call(event.request, now)
        refusal = self._check_arrival(call, now)
        if refusal is None:
            refusal = self._resolve(call)
        self._calls[event.token] = call
        if event.request.stream:
            self._streams += 1
        if refusal is not None:
            return [self._refuse(event.token, *refusal)]
        self._budget.record_request()
        if event.request.key is not None:
            conflict = self._open_key(event.request)
            if conflict is not None:
                return [self._refuse(event.token, *conflict)]
        if call.servable is None:
            return self._dispatch_plain(event.token, call, now)
        return self._enqueue(event.token, call, now)

    def _check_arrival(
        self, call: _Call, now: datetime.timedelta
    ) -> tuple[refusals.Code, str] | None:
        if not self._drain.accepts:
            return refusals.Code.DRAINING, "this instance is leaving"
        if len(self._calls) >= self._limits.max_in_progress:
            return refusals.Code.QUEUE_FULL, "too many requests in progress"
        if call.request.stream and self._streams >= self._limits.max_streams:
            return refusals.Code.TOO_MANY_STREAMS, "too many open streams"
        if self._table.routes_version == 0:
            return refusals.Code.NO_TARGET, "no routes are known yet"
        if now >= call.request.deadline:
            return refusals.Code.DEADLINE_EXCEEDED, "the deadline has passed"
        return None

    def _resolve(self, call: _Call) -> tuple[refusals.Code, str] | None:
        name = call.request.name
        if call.request.kind is calls.Kind.PLAIN:
            return self._resolve_service(call, ids.ServiceName(name))
        found = self._table.resolve(name)
        if found is None:
            return refusals.Code.UNKNOWN_MODEL, f"no model {name!r}"
        call.servable, call.adapter = found
        return None

    def _resolve_service(
        self, call: _Call, name: ids.ServiceName
    ) -> tuple[refusals.Code, str] | None:
        paths = self._table.services.get(name)
        if paths is None and name not in self._table.service_targets:
            return refusals.Code.UNKNOWN_SERVICE, f"no service {name!r}"
        if paths and call.request.path in paths:
            call.request = dataclasses.replace(call.request, repeatable=True)
        return None

    def _open_key(
        self, request: calls.Request
    ) -> tuple[refusals.Code, str] | None:
        assert request.key is not None
        known = self._open_keys.get(request.key)
        if known is None:
            known = self._unused_keys.get(request.key, request.digest)
            if known == request.digest:
                self._open_keys[request.key] = request.digest
                return None
        if known != request.digest:
            return (
                refusals.Code.KEY_CONFLICT,
                "the idempotency key belongs to another request",
            )
        return (
            refusals.Code.OUTCOME_UNKNOWN,
            "a request with this idempotency key is in progress",
        )

    # ---- Waiting

    def _enqueue(
        self, token: int, call: _Call, now: datetime.timedelta
    ) -> list[calls.Action]:
        servable = call.servable
        assert servable is not None
        call.cold = not any(
            replica.state is messages.ReplicaState.READY
            for replica in self._table.replicas.get(servable, ())
        )
        is_new = servable not in self._queues
        self._put_in_queue(token, call)
        actions = self._pump(servable, now)
        actions += self._refuse_hopeless(servable, now)
        actions += self._refuse_excess(servable)
        if call.cold and is_new and call.phase is _Phase.WAITING:
            actions.append(self._make_report(now, urgent=True))
        return actions

    def _refuse_excess(self, servable: routing.Servable) -> list[calls.Action]:
        queue = self._queues.get(servable)
        if queue is None:
            return []
        return [
            self._refuse(
                last.token, refusals.Code.QUEUE_FULL, "the queue is full"
            )
            for last in queue.take_excess(self._limits.queue_limit)
        ]

    def _put_in_queue(self, token: int, call: _Call) -> None:
        assert call.servable is not None
        priority = call.request.priority
        if priority is None:
            model = self._table.models.get(call.servable.model)
            priority = model.priority if model else 0
        self._sequence += 1
        call.phase = _Phase.WAITING
        call.target = None
        call.waiting = admission.Waiting(
            token, priority, call.request.deadline, self._sequence
        )
        queue = self._queues.get(call.servable)
        if queue is None:
            # Empty queues are dropped, so a retry may find none.
            queue = admission.WaitingQueue()
            self._queues[call.servable] = queue
        queue.add(call.waiting)

    def _loads(
        self, servable: routing.Servable, now: datetime.timedelta
    ) -> list[admission.ReplicaLoad]:
        loads = []
        for replica in self._table.replicas.get(servable, ()):
            if replica.target in self._marks.leaving:
                continue
            if replica.state is messages.ReplicaState.UNLOADING:
                continue
            ready_in = _ZERO
            if replica.state is messages.ReplicaState.LOADING:
                ready_in = max(
                    _ZERO, replica.ready_in - (now - self._table.received_at)
                )
            key = (replica.target, servable)
            loads.append(
                admission.ReplicaLoad(
                    _slots(replica), self._running.get(key, 0), ready_in
                )
            )
        return loads

    def _refuse_hopeless(
        self, servable: routing.Servable, now: datetime.timedelta
    ) -> list[calls.Action]:
        queue = self._queues.get(servable)
        if not queue:
            return []
        loads = self._loads(servable, now)
        mean = self._service_time(servable).mean
        actions: list[calls.Action] = []
        for waiting, wait in admission.find_hopeless(queue, loads, mean, now):
            queue.remove(waiting)
            actions.append(self._refuse_wait(waiting, wait, bool(loads), now))
        return actions

    def _refuse_wait(
        self,
        waiting: admission.Waiting,
        wait: datetime.timedelta,
        any_replica: bool,
        now: datetime.timedelta,
    ) -> calls.Action:
        if now < waiting.deadline:
            return self._refuse(
                waiting.token,
                refusals.Code.WAIT_TOO_LONG,
                f"predicted wait {wait.total_seconds():.1f} s",
                retry_after=wait,
            )
        if not any_replica:
            return self._refuse(
                waiting.token,
                refusals.Code.NO_CAPACITY,
                "no replica could be loaded in time",
            )
        return self._refuse(
            waiting.token,
            refusals.Code.DEADLINE_EXCEEDED,
            "no replica was free in time",
        )

    def _service_time(
        self, servable: routing.Servable
    ) -> admission.ServiceTime:
        found = self._service_times.get(servable)
        if found is None:
            found = admission.ServiceTime()
            self._service_times[servable] = found
        return found

    # ---- Dispatch

    def _pump(
        self, servable: routing.Servable, now: datetime.timedelta
    ) -> list[calls.Action]:
        queue = self._queues.get(servable)
        if not queue:
            return []
        actions: list[calls.Action] = []
        for waiting in queue:
            call = self._calls[waiting.token]
            candidate = self._route(
                self._candidates(servable),
                call.tried,
                self._in_flight,
                call.adapter,
            )
            if candidate is None:
                break
            queue.remove(waiting)
            actions += self._start(waiting.token, call, candidate, now)
        return actions

    def _candidates(
        self, servable: routing.Servable
    ) -> list[routing.Candidate]:
        found = []
        for replica in self._table.replicas.get(servable, ()):
            key = (replica.target, servable)
            if replica.state is not messages.ReplicaState.READY:
                continue
            if self._marks.excludes(replica.target):
                continue
            if key in self._marks.backoff:
                continue
            if self._running.get(key, 0) >= _slots(replica):
                continue
            found.append(
                routing.Candidate(
                    replica.target, replica.address, replica.availability_zone
                )
            )
        return found

    def _dispatch_plain(
        self, token: int, call: _Call, now: datetime.timedelta
    ) -> list[calls.Action]:
        service = ids.ServiceName(call.request.name)
        known = [
            routing.Candidate(one.target, one.address, one.availability_zone)
            for one in self._table.service_targets.get(service, ())
            if one.target not in self._marks.leaving
        ]
        candidates = [
            one for one in known if one.target not in self._marks.suspect
        ]
        if not candidates and call.failures[-1:] != [
            retries.Failure.UNREACHABLE
        ]:
            # An open connection may be silent while a new one works.
            candidates = known if call.failures else []
        candidate = self._route(candidates, call.tried, self._in_flight, None)
        if candidate is None:
            if call.failures:
                code = refusals.Code.TARGET_FAILED
                text = f"the target failed: {call.failures[-1].value}"
            else:
                code = refusals.Code.NO_TARGET
                text = "no target is available"
            return [
                self._refuse(token, code, text, retry_after=marks.SUSPECT_TIME)
            ]
        return self._start(token, call, candidate, now)

    def _start(
        self,
        token: int,
        call: _Call,
        candidate: routing.Candidate,
        now: datetime.timedelta,
    ) -> list[calls.Action]:
        call.waiting = None
        call.target = candidate
        call.tried.add(candidate.target)
        self._count(call, 1)
        if call.adapter is not None:
            known = self._resident.get((candidate.target, call.adapter))
            if known is None or known <= now:
                call.phase = _Phase.ADAPTER
                return [
                    calls.EnsureAdapter(
                        token,
                        candidate.target,
                        call.adapter,
                        call.request.deadline - now,
                    )
                ]
        return self._open_or_send(token, call, now)

    def _open_or_send(
        self, token: int, call: _Call, now: datetime.timedelta
    ) -> list[calls.Action]:
        assert call.target is not None
        if call.request.key is not None and not call.key_claimed:
            if call.request.key in self._unused_keys:
                call.key_claimed = True
                self._unused_keys.pop(call.request.key)
            else:
                call.phase = _Phase.OPENING
                return [
                    calls.Open(token, call.target.target, call.target.address)
                ]
        return [self._send(token, call, now)]

    def _send(
        self,
        token: int,
        call: _Call,
        now: datetime.timedelta,
        resume_after: str = "",
    ) -> calls.Action:
        assert call.target is not None
        call.phase = _Phase.SENT
        call.ever_sent = True
        call.sent_at = now
        return calls.Send(
            token,
            call.target.target,
            call.target.address,
            not call.request.repeatable or bool(call.failures),
            self._name_for(call.servable, call.target.target),
            call.adapter,
            resume_after,
            call.cold,
            call.servable,
        )

    def _name_for(
        self, servable: routing.Servable | None, target: ids.TargetId
    ) -> str:
        """Returns the model's name, with the version if it is ambiguous."""
        if servable is None:
            return ""
        for other, replicas in self._table.replicas.items():
            if other.model != servable.model or other == servable:
                continue
            if any(replica.target == target for replica in replicas):
                return f"{servable.model}@{servable.version}"
        return servable.model

    def _count(self, call: _Call, change: int) -> None:
        assert call.target is not None
        target = call.target.target
        _add(self._in_flight, target, change)
        if call.servable is not None:
            _add(self._running, (target, call.servable), change)

    # ---- Progress of a call

    def _opened(
        self, event: calls.Opened, now: datetime.timedelta
    ) -> list[calls.Action]:
        call = self._calls[event.token]
        assert call.request.key is not None
        call.phase = _Phase.CLAIMING
        left = call.request.deadline - now
        return [calls.ClaimKey(event.token, call.request.key, left)]

    def _key_decided(
        self, event: calls.KeyDecided, now: datetime.timedelta
    ) -> list[calls.Action]:
        call = self._calls[event.token]
        if event.decision is calls.KeyDecision.RUN:
            call.key_claimed = True
            if now >= call.request.deadline:
                return self._give_up(
                    event.token,
                    call,
                    refusals.Code.DEADLINE_EXCEEDED,
                    "the idempotency key was claimed too late",
                    now,
                )
            if not self._is_usable(call):
                return self._choose_again(event.token, call, now)
            return [self._send(event.token, call, now)]
        if event.decision is calls.KeyDecision.UNAVAILABLE:
            return self._give_up(
                event.token,
                call,
                refusals.Code.LOG_UNAVAILABLE,
                "the idempotency key could not be claimed",
                now,
            )
        if event.decision is calls.KeyDecision.UNKNOWN or event.outcome is None:
            return self._give_up(
                event.token,
                call,
                refusals.Code.OUTCOME_UNKNOWN,
                "the outcome of an earlier try is not known",
                now,
            )
        if event.outcome.digest != call.request.digest:
            return self._give_up(
                event.token,
                call,
                refusals.Code.KEY_CONFLICT,
                "the idempotency key belongs to another request",
                now,
            )
        actions = self._leave_target(call, now)
        self._finish(call)
        return [calls.Replay(event.token, event.outcome), *actions]

    def _adapter_decided(
        self, event: calls.AdapterDecided, now: datetime.timedelta
    ) -> list[calls.Action]:
        call = self._calls[event.token]
        assert call.target is not None
        assert call.adapter is not None
        if event.resident:
            key = (call.target.target, call.adapter)
            self._resident[key] = now + RESIDENCY_TIME
            if now < call.request.deadline:
                if call.caller_gone or not self._is_usable(call):
                    return self._choose_again(event.token, call, now)
                return self._open_or_send(event.token, call, now)
        return self._adapter_refused(event.token, call, now)

    def _adapter_refused(
        self, token: int, call: _Call, now: datetime.timedelta
    ) -> list[calls.Action]:
        """Tries the other replicas, each once; control has waited already."""
        assert call.servable is not None
        failure = retries.Failure.ADAPTER_NOT_LOADED
        others = {
            replica.target
            for replica in self._table.replicas.get(call.servable, ())
            if replica.state is messages.ReplicaState.READY
        } - call.tried
        is_late = now >= call.request.deadline
        if others or is_late or call.caller_gone:
            return self._failed(token, call, failure, now)
        call.failures.append(failure)
        return self._give_up(
            token,
            call,
            refusals.Code.NO_CAPACITY,
            "no replica could load the adapter",
            now,
        )

    def _attempt_ended(
        self, event: calls.AttemptEnded, now: datetime.timedelta
    ) -> list[calls.Action]:
        call = self._calls[event.token]
        if event.failure is None:
            if call.servable is not None:
                mean = self._service_time(call.servable)
                mean.record(now - call.sent_at)
            actions = self._leave_target(call, now)
            self._finish(call)
            return actions
        if event.answered:
            return self._failed_after_answer(event, call, now)
        # A target may close an idle connection at the moment it is used
        # again, which says nothing about the target.
        is_stale = event.reused and event.failure is retries.Failure.CUT
        if not is_stale:
            self._mark(call, event.failure, now)
        return self._failed(event.token, call, event.failure, now)

    def _failed_after_answer(
        self, event: calls.AttemptEnded, call: _Call, now: datetime.timedelta
    ) -> list[calls.Action]:
        failure = event.failure
        assert failure is not None
        assert call.target is not None
        call.failures.append(failure)
        if failure is retries.Failure.ABANDONED:
            call.caller_gone = True
        resumable = failure in (retries.Failure.CUT, retries.Failure.SILENT)
        if (
            resumable
            and event.last_event
            and not call.caller_gone
            and call.resumes < MAX_RESUMES
            and now < call.request.deadline
            # A failed resume makes the target suspect, so that the streams
            # of a dead target do not use up the budget.
            and call.target.target not in self._marks.suspect
            and self._budget.try_spend()
        ):
            call.resumes += 1
            return [
                self._send(event.token, call, now, event.last_event),
            ]
        self._mark(call, failure, now)
        code = refusals.Code.STREAM_CUT
        if failure is retries.Failure.DEADLINE:
            code = refusals.Code.DEADLINE_EXCEEDED
        return self._give_up(
            event.token, call, code, f"the stream ended: {failure.value}", now
        )

    def _failed(
        self,
        token: int,
        call: _Call,
        failure: retries.Failure,
        now: datetime.timedelta,
    ) -> list[calls.Action]:
        call.failures.append(failure)
        if call.caller_gone or failure is retries.Failure.ABANDONED:
            actions = self._leave_target(call, now)
            self._finish(call)
            return [calls.Abandon(token), *actions]
        if failure is retries.Failure.DEADLINE or now >= call.request.deadline:
            return self._give_up(
                token,
                call,
                refusals.Code.DEADLINE_EXCEEDED,
                f"no answer in time: {failure.value}",
                now,
            )
        if not retries.may_retry(
            failure, repeatable=call.request.repeatable, answered=False
        ):
            return self._give_up(
                token, call, _code_of(failure), _text_of(failure), now
            )
        if not self._budget.try_spend():
            return self._give_up(
                token,
                call,
                refusals.Code.RETRY_BUDGET_SPENT,
                f"too many retries: {failure.value}",
                now,
            )
        actions = self._leave_target(call, now)
        return actions + self._again(token, call, now)

    def _again(
        self, token: int, call: _Call, now: datetime.timedelta
    ) -> list[calls.Action]:
        if call.servable is None:
            return self._dispatch_plain(token, call, now)
        self._put_in_queue(token, call)
        actions = self._pump(call.servable, now)
        return actions + self._refuse_excess(call.servable)

    def _is_usable(self, call: _Call) -> bool:
        """Whether the chosen target may still get the request.

        Control may take seconds for a key or an adapter, and a target that
        began to leave in that time gets no new work.
        """
        assert call.target is not None
        target = call.target.target
        if self._marks.excludes(target):
            return False
        if call.servable is not None:
            return any(
                replica.target == target
                and replica.state is messages.ReplicaState.READY
                for replica in self._table.replicas.get(call.servable, ())
            )
        service = ids.ServiceName(call.request.name)
        return any(
            one.target == target
            for one in self._table.service_targets.get(service, ())
        )

    def _choose_again(
        self, token: int, call: _Call, now: datetime.timedelta
    ) -> list[calls.Action]:
        """Chooses another target; nothing was sent to the first one."""
        actions = self._leave_target(call, now)
        if call.caller_gone:
            self._finish(call)
            return [*actions, calls.Abandon(token)]
        return actions + self._again(token, call, now)

    def _mark(
        self, call: _Call, failure: retries.Failure, now: datetime.timedelta
    ) -> None:
        if call.target is None:
            return
        target = call.target.target
        self._marks.note_failure(failure, target, call.servable, now)
        if (
            failure is retries.Failure.ADAPTER_NOT_LOADED
            and call.adapter is not None
        ):
            self._resident.pop((target, call.adapter), None)

    def _leave_target(
        self, call: _Call, now: datetime.timedelta
    ) -> list[calls.Action]:
        """Gives back the place on the target and hands it to the queue."""
        if call.target is None:
            return []
        self._count(call, -1)
        call.target = None
        call.phase = _Phase.WAITING
        if call.servable is None:
            return []
        return self._pump(call.servable, now)

    def _give_up(
        self,
        token: int,
        call: _Call,
        code: refusals.Code,
        message: str,
        now: datetime.timedelta,
    ) -> list[calls.Action]:
        actions = self._leave_target(call, now)
        return [self._refuse(token, code, message), *actions]

    def _refuse(
        self,
        token: int,
        code: refusals.Code,
        message: str,
        retry_after: datetime.timedelta = refusals.DEFAULT_RETRY_AFTER,
    ) -> calls.Action:
        call = self._calls[token]
        run = retries.run_after(call.failures)
        if code is refusals.Code.OUTCOME_UNKNOWN:
            run = refusals.Run.UNKNOWN
        self._finish(call)
        if call.caller_gone:
            return calls.Abandon(token)
        return calls.Refuse(
            token,
            refusals.Refusal(
                code, message, call.request.request_id, run, retry_after
            ),
        )

    def _finish(self, call: _Call) -> None:
        """Closes the books of a call whose last action is given out."""
        if call.phase is _Phase.FINISHED:
            return
        call.phase = _Phase.FINISHED
        call.waiting = None
        key = call.request.key
        if key is None or self._open_keys.get(key) != call.request.digest:
            return
        if call.key_claimed and not self._may_have_run(call):
            self._unused_keys[key] = call.request.digest
            while len(self._unused_keys) > UNUSED_KEY_LIMIT:
                self._unused_keys.pop(next(iter(self._unused_keys)))

    def _may_have_run(self, call: _Call) -> bool:
        if not call.ever_sent:
            return False
        return (
            not call.failures
            or retries.run_after(call.failures) is refusals.Run.UNKNOWN
        )

    def _caller_gone(
        self, event: calls.CallerGone, now: datetime.timedelta
    ) -> list[calls.Action]:
        call = self._calls.get(event.token)
        if call is None or call.phase is _Phase.FINISHED:
            return []
        call.caller_gone = True
        if call.phase is _Phase.WAITING:
            assert call.servable is not None
            if call.waiting is not None:
                self._queues[call.servable].remove(call.waiting)
            self._finish(call)
            return [calls.Abandon(event.token)]
        if call.phase is _Phase.SENT and call.request.repeatable:
            # Other phases end soon by themselves, and a call that may not be
            # repeated goes on so that its outcome is kept.
            if call.request.key is not None:
                return []
            call.cancelled = True
            return [calls.CancelAttempt(event.token, retries.Failure.ABANDONED)]
        return []

    def _call_ended(
        self, event: calls.CallEnded, now: datetime.timedelta
    ) -> list[calls.Action]:
        call = self._calls.pop(event.token)
        if call.request.stream:
            self._streams -= 1
        # The worker of a call that failed unexpectedly gives no other event.
        actions = self._leave_target(call, now)
        if call.waiting is not None and call.servable is not None:
            self._queues[call.servable].remove(call.waiting)
        self._finish(call)
        key = call.request.key
        owns = key is not None and (
            self._open_keys.get(key) == call.request.digest
        )
        # A call that was refused for a conflict has the key but not the digest.
        if owns and not any(
            other.request.key == key
            and other.request.digest == call.request.digest
            for other in self._calls.values()
        ):
            assert key is not None
            del self._open_keys[key]
        return actions + self._stop_when_drained(now)

    # ---- Routes, reports and time

    def _routes_received(
        self, event: calls.RoutesReceived, now: datetime.timedelta
    ) -> list[calls.Action]:
        return self._pump_all(now) if self._table.update(event, now) else []

    def _pump_all(self, now: datetime.timedelta) -> list[calls.Action]:
        actions: list[calls.Action] = []
        for servable in list(self._queues):
            actions += self._pump(servable, now)
            actions += self._refuse_hopeless(servable, now)
        return actions

    def _control_lost(
        self, event: calls.ControlLost, now: datetime.timedelta
    ) -> list[calls.Action]:
        self._table.note_control_lost()
        return []

    def _report_wanted(
        self, event: calls.ReportWanted, now: datetime.timedelta
    ) -> list[calls.Action]:
        return [self._make_report(now)]

    def _make_report(
        self, now: datetime.timedelta, urgent: bool = False
    ) -> calls.SendReport:
        demands: dict[routing.Servable, calls.Demand] = {}
        for call in self._calls.values():
            if call.servable is None or call.phase is _Phase.FINISHED:
                continue
            waits = call.phase is _Phase.WAITING
            old = demands.get(call.servable) or calls.Demand(
                call.servable, 0, 0, _ZERO, 0
            )
            waited = now - call.arrived if waits else _ZERO
            priority = call.waiting.priority if call.waiting else 0
            demands[call.servable] = calls.Demand(
                call.servable,
                old.waiting + waits,
                old.running + (not waits),
                max(old.oldest_wait, waited),
                max(old.priority, priority),
            )
        return calls.SendReport(
            self._table.routes_version,
            self._table.catalog_version,
            tuple(demands.values()),
            dict(self._in_flight),
            tuple(self._marks.suspect),
            not self._drain.accepts,
            urgent,
        )

    def _tick(
        self, event: calls.Tick, now: datetime.timedelta
    ) -> list[calls.Action]:
        actions: list[calls.Action] = []
        self._table.end_grace(now)
        for servable, queue in list(self._queues.items()):
            actions += self._pump(servable, now)
            actions += self._refuse_hopeless(servable, now)
            if not queue:
                del self._queues[servable]
        for token, call in self._calls.items():
            if call.phase is not _Phase.SENT or call.cancelled:
                continue
            if now >= call.request.deadline:
                call.cancelled = True
                actions.append(
                    calls.CancelAttempt(token, retries.Failure.DEADLINE)
                )
        for key in [one for one, end in self._resident.items() if end <= now]:
            del self._resident[key]
        return actions + self._stop_when_drained(now)

    def _drain_requested(
        self, event: calls.DrainRequested, now: datetime.timedelta
    ) -> list[calls.Action]:
        self._drain.begin(now)
        return self._stop_when_drained(now)

    def _stop_when_drained(self, now: datetime.timedelta) -> list[calls.Action]:
        state = self._drain.update(len(self._calls), now)
        if state is drain.State.TIMED_OUT and self._stop_by is None:
            self._stop_by = now + CUT_TIME
            return self._cut_off(now)
        is_over = state is drain.State.DONE or (
            self._stop_by is not None
            and (not self._calls or now >= self._stop_by)
        )
        if self._stopped or not is_over:
            return []
        self._stopped = True
        return [calls.Stop(self._cut)]

    def _cut_off(self, now: datetime.timedelta) -> list[calls.Action]:
        """Ends what is left in progress when the drain has timed out."""
        self._cut = len(self._calls)
        actions: list[calls.Action] = []
        for token, call in self._calls.items():
            if call.phase is _Phase.WAITING and call.waiting is not None:
                assert call.servable is not None
                self._queues[call.servable].remove(call.waiting)
                actions.append(
                    self._refuse(
                        token,
                        refusals.Code.DRAINING,
                        "this instance is leaving",
                    )
                )
            elif call.phase is _Phase.SENT and not call.cancelled:
                call.cancelled = True
                actions.append(
                    calls.CancelAttempt(token, retries.Failure.STOPPED)
                )
        return actions

    def _models_wanted(
        self, event: calls.ModelsWanted, now: datetime.timedelta
    ) -> list[calls.Action]:
        event.reply(self._table.list_names())
        return []

    def _dump_wanted(
        self, event: calls.DumpWanted, now: datetime.timedelta
    ) -> list[calls.Action]:
        event.reply(self._dump(now))
        return []

    def _dump(self, now: datetime.timedelta) -> dict[str, Any]:
        return {
            "state": self._drain.state.value,
            "routes_version": self._table.routes_version,
            "catalog_version": self._table.catalog_version,
            "log_reachable": self._table.log_reachable,
            "models": len(self._table.models),
            "adapters": len(self._table.adapters),
            "calls": [
                {
                    "request_id": call.request.request_id,
                    "name": call.request.name,
                    "phase": call.phase.value,
                    "target": call.target.target if call.target else "",
                    "age_s": (now - call.arrived).total_seconds(),
                    "failures": [one.value for one in call.failures],
                }
                for call in self._calls.values()
            ],
            "waiting": self.queue_lengths(),
            "in_flight": dict(self._in_flight),
            "suspect": list(self._marks.suspect),
            "leaving": list(self._marks.leaving),
            "backoff": [target for target, _ in self._marks.backoff],
            "retry_tokens": self._budget.tokens,
            "replicas": [
                {
                    "model": replica.servable.model,
                    "version": replica.servable.version,
                    "target": replica.target,
                    "state": replica.state.value,
                }
                for replicas in self._table.replicas.values()
                for replica in replicas
            ],
            "service_targets": {
                service: [one.target for one in targets]
                for service, targets in self._table.service_targets.items()
            },
        }


def _slots(replica: routing.Replica) -> int:
    return replica.max_running or DEFAULT_MAX_RUNNING


def _add(table: dict[Any, int], key: Any, change: int) -> None:
    left = table.get(key, 0) + change
    if left:
        table[key] = left
    else:
        table.pop(key, None)


def _code_of(failure: retries.Failure) -> refusals.Code:
    if failure is retries.Failure.MISMATCH:
        return refusals.Code.ANSWER_MISMATCH
    return refusals.Code.TARGET_FAILED


def _text_of(failure: retries.Failure) -> str:
    return f"the target failed: {failure.value}"


_HANDLERS: dict[type, Callable[..., list[calls.Action]]] = {
    calls.Arrived: Gateway._arrived,
    calls.Opened: Gateway._opened,
    calls.KeyDecided: Gateway._key_decided,
    calls.AdapterDecided: Gateway._adapter_decided,
    calls.AttemptEnded: Gateway._attempt_ended,
    calls.CallEnded: Gateway._call_ended,
    calls.CallerGone: Gateway._caller_gone,
    calls.RoutesReceived: Gateway._routes_received,
    calls.ReportWanted: Gateway._report_wanted,
    calls.DrainRequested: Gateway._drain_requested,
    calls.Tick: Gateway._tick,
    calls.ControlLost: Gateway._control_lost,
    calls.ModelsWanted: Gateway._models_wanted,
    calls.DumpWanted: Gateway._dump_wanted,
}


def make_gateway(limits: Limits, router: routing.Router) -> Gateway:
    """Returns the core of an entry process."""
    return Gateway(limits, router)
