"""Admission, queueing, dispatch and retries of requests.

Performs no I/O: `handle_event` takes the events of module `requests` and
returns its actions. `handle_timers` does the work that depends on time;
`next_wakeup_at` is the time of its next call.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
import enum
import heapq
import random
from typing import Any

from quetzalgauge import ids
from quetzalgauge.core import attempt_durations
from quetzalgauge.core import configuration
from quetzalgauge.core import demand_reporter
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import load_balancing
from quetzalgauge.core import log_events
from quetzalgauge.core import prompt_quarantine
from quetzalgauge.core import prompt_trials
from quetzalgauge.core import queues
from quetzalgauge.core import requests
from quetzalgauge.core import retry_budget
from quetzalgauge.core import stream_versions
from quetzalgauge.core import targets
from quetzalgauge.core import timeouts
from quetzalgauge.core import version_records

# Bounds the sends of one request, whatever the reasons for the retries.
MAX_SENDS_PER_REQUEST = 8
# Limits of the requests in progress on a target, per slot. An engine shares its
# slots among all requests; a target of a plain service queues a few requests
# beyond its slots.
ENGINE_REQUESTS_PER_SLOT = 1.0
PLAIN_REQUESTS_PER_SLOT = 1.5
# A request for which no zone leader or no target is known is refused after this
# time.
NO_CANDIDATE_TIMEOUT = datetime.timedelta(milliseconds=800)
# Retry-After if the time until the request can be served is unknown.
DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=1)
# New streams are admitted for this long after a drain began. A stream lasts for
# seconds, so the process could end before a later one has finished. Callers
# that arrive so late have not noticed that the instance is no longer ready.
DRAIN_STREAM_ADMISSION_TIME = datetime.timedelta(milliseconds=2500)
# Retry-After of a draining instance; the caller retries on another instance.
DRAINING_RETRY_AFTER = datetime.timedelta(milliseconds=100)
# Refusal reasons that are logged with the estimate behind the refusal.
_REASONS_WITH_ESTIMATE = frozenset({"no_holder", "no_target", "too_late"})
# Reasons for which a repetition of the request is refused as well.
_FINAL_REASONS = frozenset({"version_gone", "version_unknown"})
# Delay before a request is dispatched again after a target was reached but did
# not run it, for instance because it was full or lacked the model.
REJECTION_BACKOFF = datetime.timedelta(milliseconds=8)
# Longest wait for an adapter to load on one target.
ADAPTER_LOAD_TIMEOUT = datetime.timedelta(milliseconds=250)
# Targets that can take an order within this time count as equally available
# when one is chosen to load an adapter.
BUSY_TOLERANCE = datetime.timedelta(milliseconds=30)
# Delay before the next attempt beside a silent one, after one has failed.
NEXT_ATTEMPT_DELAY = datetime.timedelta(milliseconds=100)
# Interval of the checks of all requests that run without any event.
REQUEST_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
# A target ended if the registry shows so within this time after the connection
# of a request to it was lost.
TARGET_END_TIMEOUT = datetime.timedelta(seconds=8)
MAX_LOST_ATTEMPTS = 1000
# Without an arbiter for this time, a request waits no longer for its grant.
ARBITER_TIMEOUT = datetime.timedelta(seconds=1)
# An arbiter that has granted no trial of a part for this time, although a
# request waits for one, does not hear of it.
UNGRANTED_TIMEOUT = datetime.timedelta(seconds=3)
# Requests with the same suspected parts that are considered for one trial.
MAX_TRIAL_CANDIDATES = 8
# Weight of the newest request in the moving average of the service time.
SERVICE_TIME_EWMA_WEIGHT = 0.1

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits from the settings.

    Attributes:
        max_in_progress: Requests that the process can carry at once.
        retry_ratio: See `retry_budget`; shared by all instances.
        retry_slack: See `retry_budget`; shared by all instances.
        retry_window: See `retry_budget`.
    """

    max_in_progress: int
    retry_ratio: float
    retry_slack: float
    retry_window: datetime.timedelta


class _Phase(enum.Enum):
    QUEUED = "waiting"
    HELD = "held"  # Waits for a trial of its suspected prompt parts.
    # Resumes a stream; it is not known yet which version began that.
    AWAITING_VERSION = "version"
    AWAITING_ADAPTER = "adapter"  # Assigned to a target that lacks the adapter.
    SENT = "sent"
    FINISHED = "finished"  # The last action has been returned.


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt in progress."""

    number: int
    target: targets.Description
    sent_at: datetime.timedelta
    # Whether it was sent beside others, for which it spent a retry token.
    is_additional: bool = False
    is_silent: bool = False


@dataclasses.dataclass(slots=True)
class _Request:
    local_id: int
    head: requests.Head
    arrived_at: datetime.timedelta
    route: configuration.Route
    queue_key: queues.QueueKey
    deadline: datetime.timedelta
    start_deadline: datetime.timedelta
    # When its caller wants the first byte.
    soft_deadline: datetime.timedelta
    # When it arrived, or when the stream that its caller reads broke off.
    waits_since: datetime.timedelta
    config_version: int
    phase: _Phase = _Phase.QUEUED
    target: targets.Description | None = None
    not_before: datetime.timedelta = _ZERO
    adapter_deadline: datetime.timedelta = _ZERO
    # In the order in which they were sent; there is one in phase `SENT`.
    attempts: list[_Attempt] = dataclasses.field(default_factory=list)
    # When the targets of all attempts count as silent, if nothing arrives.
    silent_from: datetime.timedelta = datetime.timedelta.max
    # Where the next attempt waits for its adapter, beside others.
    awaited_adapter_on: ids.TargetId | None = None
    send_count: int = 0
    response_started: bool = False
    has_response_data: bool = False
    caller_disconnected: bool = False
    cancelled: bool = False
    has_buffered_response: bool = False
    last_event_id: str = ""
    # The software version that began its stream, None if there is no stream
    # yet.
    version: ids.SoftwareVersion | None = None
    has_unknown_version: bool = False
    first_byte_at: datetime.timedelta | None = None
    longest_gap: datetime.timedelta = _ZERO
    wait_estimate: dict[str, Any] = dataclasses.field(default_factory=dict)
    may_have_run_on: set[ids.TargetId] = dataclasses.field(default_factory=set)
    avoided_targets: set[ids.TargetId] = dataclasses.field(default_factory=set)
    # Targets on which it has not failed since another attempt went on instead.
    superseded_on: set[ids.TargetId] = dataclasses.field(default_factory=set)
    # Targets to which the last connection of this request failed.
    unreachable_targets: set[ids.TargetId] = dataclasses.field(
        default_factory=set
    )
    # Targets whose connection was lost before any response.
    lost_targets: set[ids.TargetId] = dataclasses.field(default_factory=set)
    failures: list[requests.Failure] = dataclasses.field(default_factory=list)
    # The end of the attempt that ended last.
    last_end: requests.AttemptEnded | None = None
    suspected_parts: frozenset[ids.PromptPart] = frozenset()
    held_since: datetime.timedelta = _ZERO
    # The suspected parts that it may try, and until when it must be sent.
    trial_parts: frozenset[ids.PromptPart] = frozenset()
    trial_expires_at: datetime.timedelta = _ZERO

    @property
    def queue_entry(self) -> queues.QueueEntry:
        return queues.QueueEntry(
            self.route.priority, self.arrived_at, self.local_id
        )

    @property
    def current_targets(self) -> set[ids.TargetId]:
        """The targets of the attempts in progress."""
        return {attempt.target.target for attempt in self.attempts}

    @property
    def repeatable_targets(self) -> set[ids.TargetId]:
        """The targets that may get the request once more."""
        return self.superseded_on - self.current_targets

    @property
    def may_have_run(self) -> bool:
        return any(
            failure not in requests.NOT_RUN_FAILURES
            for failure in self.failures
        )

    @property
    def stream_id(self) -> ids.RequestId:
        """The request whose response brought the first event of the stream."""
        head = self.head
        if head.last_event_id and head.resumes:
            return head.resumes
        return head.request_id

    @property
    def resumption_obstacle(self) -> str:
        """Why its stream cannot go on at another target, empty if it can."""
        if self.response_started and not self.last_event_id:
            return "no_event_id"
        # The ends of other attempts may tell of an event before its response
        # starts.
        lacks_version = (
            self.last_event_id != ""
            and self.version is None
            and self.route.kind is configuration.RouteKind.STREAM
        )
        if lacks_version or self.has_unknown_version:
            return "version_unknown"
        return ""

    @property
    def has_reached_target(self) -> bool:
        return any(
            failure is not requests.Failure.UNREACHABLE
            for failure in self.failures
        )

    def find_attempt(self, number: int) -> _Attempt | None:
        """Returns an attempt in progress; 0 stands for the latest one."""
        for attempt in reversed(self.attempts):
            if number in (0, attempt.number):
                return attempt
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class _LostAttempt:
    """An attempt whose connection was lost; its target may have ended."""

    local_id: int
    target: targets.Description
    parts: tuple[ids.PromptPart, ...]
    own_part: ids.PromptPart | None
    model: str
    trial_parts: frozenset[ids.PromptPart]
    lost_at: datetime.timedelta


class Gateway:
    """Decides what happens to each request in progress."""

    def __init__(
        self,
        limits: Limits,
        fleet: fleet_module.Fleet,
        own_zone: ids.AvailabilityZone,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._fleet = fleet
        self._rng = rng
        self._select_target = load_balancing.make_target_selector(
            fleet, own_zone, rng
        )
        self._configuration: configuration.Configuration | None = None
        self._requests: dict[int, _Request] = {}
        self._queues = queues.Queues()
        self._demand_reporter = demand_reporter.DemandReporter(fleet)
        self._retry_budgets: dict[
            ids.ServiceName, retry_budget.RetryBudget
        ] = {}
        self._service_times: dict[queues.QueueKey, float] = {}
        self._attempt_durations = attempt_durations.AttemptDurations()
        self._timers: list[tuple[datetime.timedelta, int]] = []
        self._next_check_at = _ZERO
        self._stream_admission_ends_at = datetime.timedelta.max
        self._stop_at = datetime.timedelta.max
        self._log_events: list[log_events.LogEvent] = []
        self._stream_versions = stream_versions.StreamVersions()
        self._awaiting_version: dict[int, _Request] = {}
        self._quarantine = prompt_quarantine.Quarantine()
        self._assessed_revision = 0
        self._held: dict[int, _Request] = {}
        self._trials: dict[int, _Request] = {}
        self._have_trials_changed = False
        self._lost_attempts: list[_LostAttempt] = []
        self._checked_directory = -1
        self._observed_directory = -1
        self._arbiter_heard_at = -ARBITER_TIMEOUT
        # When the arbiter last named each part in a grant, to any instance.
        self._granted_at: dict[ids.PromptPart, datetime.timedelta] = {}

    @property
    def quarantine(self) -> prompt_quarantine.Quarantine:
        """The evidence against prompt parts."""
        return self._quarantine

    @property
    def stream_versions(self) -> stream_versions.StreamVersions:
        """The software versions of targets and of streams."""
        return self._stream_versions

    @property
    def has_urgent_trials(self) -> bool:
        """Whether leaders must be told of trials or evidence at once."""
        return self._have_trials_changed or self._quarantine.is_urgent

    @property
    def in_progress_count(self) -> int:
        """The number of requests in progress."""
        return len(self._requests)

    @property
    def queued_count(self) -> int:
        """The number of queued requests, including held ones."""
        return len(self._queues) + len(self._held)

    @property
    def demand_reporter(self) -> demand_reporter.DemandReporter:
        """The demand that this instance reports to the zone leaders."""
        return self._demand_reporter

    @property
    def next_wakeup_at(self) -> datetime.timedelta | None:
        """The time of the next `handle_timers`, None if none is needed."""
        times = [self._next_check_at] if self._requests else []
        if self._timers:
            times.append(self._timers[0][0])
        return min(times, default=None)

    def take_log_events(self) -> list[log_events.LogEvent]:
        """Returns the log events since the last call."""
        events, self._log_events = self._log_events, []
        events += self._stream_versions.take_log_events()
        return events + self._quarantine.take_log_events()

    def set_limits(self, limits: Limits) -> None:
        """Replaces the limits; retries that were made still count."""
        self._limits = limits
        for budget in self._retry_budgets.values():
            budget.configure(
                limits.retry_ratio, limits.retry_slack, limits.retry_window
            )

    def configure(
        self, config: configuration.Configuration, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Sets the configuration of requests that arrive from now on.

        Those in progress have the time that any of the versions in force
        meanwhile allows, and the attempts that all of them allow. A route that
        has moved to other services, or is of another kind, does not concern
        them.
        """
        self._configuration = config
        actions: list[requests.Action] = []
        for request in self._requests.values():
            if request.phase is _Phase.FINISHED:
                continue
            newer = config.find_route(request.head.host, request.head.path)
            if (
                newer is None
                or newer.kind is not request.route.kind
                or request.queue_key[0]
                not in (backend.service for backend in newer.backends)
            ):
                continue
            route = configuration.adapt_route(request.route, newer)
            if route is not request.route:
                request.route = route
                actions += self._adapt_to_route(request, now)
        return actions

    def _adapt_to_route(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Derives anew what follows from the route of a request."""
        old_deadline = request.deadline
        request.deadline = timeouts.request_deadline(
            request.route, request.head, request.arrived_at
        )
        request.start_deadline = timeouts.start_deadline(
            request.route, request.waits_since, request.deadline
        )
        if request.silent_from == old_deadline:
            # Its attempt may take until the deadline.
            request.silent_from = request.deadline
        if request.phase is _Phase.SENT:
            if request.deadline == old_deadline:
                return []
            return [requests.ExtendDeadline(request.local_id, request.deadline)]
        if request.may_have_run_on and not self._has_attempts_left(request):
            return self._end_unserved(request, "attempts_used", now)
        # The refusal for which it has a timer may be too early.
        self._wake_for_refusal(request)
        return []

    def handle_event(
        self, event: requests.Event, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Handles one event and returns the actions to execute."""
        handler = _HANDLERS[type(event)]
        actions: list[requests.Action] = handler(self, event, now)
        return actions

    def handle_fleet_change(
        self, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Dispatches pending requests after targets or zone states changed."""
        actions = self._check_lost_attempts(now)
        if self._fleet.directory.revision != self._observed_directory:
            self._observed_directory = self._fleet.directory.revision
            self._stream_versions.observe_targets(self._fleet.directory, now)
        for key in self._queues.nonempty_keys():
            actions += self._dispatch_queue(key, now)
        for request in [
            pending
            for pending in self._requests.values()
            if pending.phase is _Phase.AWAITING_ADAPTER
        ]:
            actions += self._check_adapter(request, now)
        return actions

    def handle_timers(self, now: datetime.timedelta) -> list[requests.Action]:
        """Runs the timers and checks that are due."""
        actions: list[requests.Action] = []
        while self._timers and self._timers[0][0] <= now:
            _, local_id = heapq.heappop(self._timers)
            request = self._requests.get(local_id)
            if request is None:
                continue
            if request.phase is _Phase.QUEUED and request.not_before <= now:
                actions += self._dispatch_queue(request.queue_key, now)
            actions += self._check_waiting(request, now)
        if now >= self._next_check_at:
            self._next_check_at = now + REQUEST_CHECK_INTERVAL
            actions += self._check_requests(now)
            actions += self._check_lost_attempts(now)
            actions += self._check_held_requests(now)
        return actions

    def handle_version_event(
        self, event: version_records.Event, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Handles the result of a call that concerns software versions."""
        self._stream_versions.handle_event(event, now)
        actions: list[requests.Action] = []
        for request in list(self._awaiting_version.values()):
            actions += self._find_version(request, now)
        if isinstance(event, version_records.VersionsListed):
            # Requests may wait for targets of these versions.
            actions += self.handle_fleet_change(now)
        return actions

    def record_restart(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
        """Records that a target was seen to have started again."""
        entry = self._fleet.directory.get(target)
        if entry is None:
            return
        doubtful = set(self._stream_versions.record_restart(entry, now))
        for request in self._requests.values():
            if doubtful and request.stream_id in doubtful:
                request.has_unknown_version = True

    def handle_evidence(
        self,
        evidence: Iterable[prompt_quarantine.Evidence],
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        """Merges the evidence of another instance."""
        self._quarantine.merge(evidence, now)
        return self._reassess_requests(now)

    def expire_evidence(self, now: datetime.timedelta) -> list[requests.Action]:
        """Drops old evidence against prompt parts."""
        self._quarantine.expire(now)
        return self._reassess_requests(now)

    def record_arbiter(
        self,
        now: datetime.timedelta,
        grants: Iterable[prompt_trials.TrialGrant] = (),
    ) -> None:
        """Records the grants, to all instances, of a reachable arbiter."""
        self._arbiter_heard_at = now
        self._granted_at = {
            part: granted_at
            for part, granted_at in self._granted_at.items()
            if now - granted_at < UNGRANTED_TIMEOUT
        }
        for grant in grants:
            self._granted_at.update(dict.fromkeys(grant.parts, now))

    def apply_grants(
        self,
        grants: Iterable[prompt_trials.TrialGrant],
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        """Sends the requests of this instance that were granted a trial."""
        actions: list[requests.Action] = []
        for grant in grants:
            request = self._held.get(grant.number)
            if request is not None:
                actions += self._begin_trial(
                    request, grant.parts, now + grant.time_left, now
                )
            elif grant.number not in self._trials:
                # Lets the next report end the grant.
                self._have_trials_changed = True
        return actions

    def list_trial_wishes(
        self, now: datetime.timedelta
    ) -> tuple[prompt_trials.TrialWish, ...]:
        """Returns the trials, and one request for each set of parts to try."""
        wishes = [
            prompt_trials.TrialWish(
                request.local_id,
                request.head.model or "",
                request.trial_parts,
                is_running=True,
            )
            for request in self._trials.values()
        ]
        # Their outcome is not known yet.
        wishes += [
            prompt_trials.TrialWish(
                attempt.local_id,
                attempt.model,
                attempt.trial_parts,
                is_running=True,
            )
            for attempt in self._lost_attempts
            if attempt.trial_parts
        ]
        candidates: dict[
            tuple[frozenset[ids.PromptPart], ids.ModelName | None], int
        ] = {}
        for request in self._held.values():
            key = (request.suspected_parts, request.head.model)
            count = candidates.get(key, 0)
            if count >= MAX_TRIAL_CANDIDATES:
                continue
            candidates[key] = count + 1
            if self._find_target(request, now) is None:
                continue
            candidates[key] = MAX_TRIAL_CANDIDATES
            model = request.head.model or ""
            wishes.append(
                prompt_trials.TrialWish(
                    request.local_id,
                    model,
                    request.suspected_parts,
                    self._quarantine.count_unproven(
                        request.head.all_parts, model, now
                    ),
                )
            )
        return tuple(wishes[: prompt_trials.MAX_WISHES])

    def mark_trials_reported(self) -> None:
        """Records that all leaders are sent the trials and the evidence."""
        self._have_trials_changed = False
        self._quarantine.mark_reported()

    def drain(
        self, stop_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Admits only requests that can finish before the process stops."""
        self._stream_admission_ends_at = min(
            stop_at, now + DRAIN_STREAM_ADMISSION_TIME
        )
        self._stop_at = stop_at

    def abort_requests(self, now: datetime.timedelta) -> list[requests.Action]:
        """Cancels or refuses all requests when the process must end.

        Requests that arrive later are refused.
        """
        self.drain(min(self._stop_at, now), now)
        actions: list[requests.Action] = []
        for request in list(self._requests.values()):
            if request.phase is _Phase.SENT:
                request.cancelled = True
                actions.append(
                    requests.CancelAttempt(
                        request.local_id, requests.Failure.SHUTDOWN
                    )
                )
            elif request.phase is not _Phase.FINISHED:
                actions += self._end_unserved(
                    request, "stopping", now, DRAINING_RETRY_AFTER
                )
        return actions

    def _handle_arrival(
        self, event: requests.RequestArrived, now: datetime.timedelta
    ) -> list[requests.Action]:
        head = event.head
        config = self._configuration
        if config is None or not self._fleet.directory.is_complete:
            return self._refuse_unrouted(event, 503, "not_configured", now)
        route = config.find_route(head.host, head.path)
        if route is None:
            return self._refuse_unrouted(event, 404, "no_route", now)
        deadline = timeouts.request_deadline(route, head, now)
        service = self._pick_service(route)
        request = _Request(
            event.local_id,
            head,
            now,
            route,
            (service, head.model),
            deadline,
            timeouts.start_deadline(route, now, deadline),
            now + route.target_latency,
            now,
            config.version,
        )
        # A caller may resume a stream that was interrupted.
        request.last_event_id = head.last_event_id
        self._requests[event.local_id] = request
        if event.caller_disconnected:
            request.caller_disconnected = True
            return self._abort(request, "caller_gone", now)
        if len(self._requests) > self._limits.max_in_progress:
            return self._refuse(request, "too_many", DEFAULT_RETRY_AFTER, now)
        if (
            route.kind is configuration.RouteKind.STREAM
            and now >= self._stream_admission_ends_at
        ) or not self._can_finish_before_stop(request, now):
            return self._refuse(request, "stopping", DRAINING_RETRY_AFTER, now)
        if head.model is not None:
            spec = self._find_model(request)
            if spec is None:
                return self._refuse(request, "unknown_model", None, now)
        if head.all_parts:
            refusal = self._refuse_if_quarantined(request, now)
            if refusal is not None:
                return refusal
        if head.model is not None:
            self._demand_reporter.count_arrival(head.model, head.adapter)
        self._get_retry_budget(service, now).record_request()
        if head.last_event_id and route.kind is configuration.RouteKind.STREAM:
            request.phase = _Phase.AWAITING_VERSION
            self._awaiting_version[request.local_id] = request
            return self._find_version(request, now)
        return self._dispatch(request, now)

    def _find_version(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Goes on with a request that resumes a stream of an earlier one.

        It may have begun at another instance, at a version of the targets'
        software that only the store knows.
        """
        finding = self._stream_versions.find(
            request.queue_key[0], request.head.resumes, request.arrived_at, now
        )
        if finding.status is stream_versions.Status.PENDING:
            heapq.heappush(self._timers, (finding.check_at, request.local_id))
            return []
        del self._awaiting_version[request.local_id]
        request.phase = _Phase.QUEUED
        if finding.version is None:
            return self._refuse(request, "version_unknown", None, now)
        request.version = finding.version
        return self._dispatch(request, now)

    def _can_finish_before_stop(
        self, request: _Request, start_at: datetime.timedelta
    ) -> bool:
        """Whether an attempt that starts at this time ends before the stop."""
        if self._stop_at == datetime.timedelta.max:
            return True
        route = request.route
        duration = self._attempt_durations.estimate(route.name)
        if duration is None and route.kind is configuration.RouteKind.UNSAFE:
            duration = request.deadline - start_at
        duration = max(duration or _ZERO, route.target_latency)
        return min(start_at + duration, request.deadline) < self._stop_at

    def _refuse_unrouted(
        self,
        event: requests.RequestArrived,
        status: int,
        reason: str,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        """Refuses a request before it has a route."""
        self._log_events.append(
            log_events.LogEvent(
                "refused",
                {
                    "request": event.head.request_id,
                    "status": status,
                    "reason": reason,
                    "host": event.head.host,
                    "path": event.head.path,
                    "configuration": (
                        self._configuration.version
                        if self._configuration
                        else None
                    ),
                },
            )
        )
        retry_after = DEFAULT_RETRY_AFTER if status == 503 else None
        return [
            requests.Refuse(event.local_id, status, reason, retry_after, False)
        ]

    def _pick_service(self, route: configuration.Route) -> ids.ServiceName:
        if len(route.backends) == 1:
            return route.backends[0].service
        weights = [backend.weight for backend in route.backends]
        if sum(weights) <= 0:
            return route.backends[0].service
        picked = self._rng.choices(route.backends, weights)[0]
        return picked.service

    def _find_model(self, request: _Request) -> configuration.Model | None:
        service, name = request.queue_key
        if self._configuration is None or name is None:
            return None
        service_config = self._configuration.services.get(service)
        if service_config is None or service_config.engine is None:
            return None
        return service_config.engine.models.get(name)

    def _get_retry_budget(
        self, service: ids.ServiceName, now: datetime.timedelta
    ) -> retry_budget.RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(
                self._limits.retry_ratio,
                self._limits.retry_slack,
                self._limits.retry_window,
                self._fleet.count_instances(),
            )
            self._retry_budgets[service] = budget
        budget.set_instance_count(self._fleet.count_instances(), now)
        return budget

    def _dispatch(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Assigns a request to a target, queues it or refuses it."""
        if request.head.all_parts:
            outcome = self._hold_if_suspected(request, now)
            if outcome is not None:
                return outcome
        if now < request.not_before:
            self._enqueue(request)
            heapq.heappush(self._timers, (request.not_before, request.local_id))
            return []
        target = self._find_target(request, now)
        if target is None:
            refusal = self._refuse_if_unservable(request, now)
            if refusal is not None:
                return refusal
            request.wait_estimate = self._describe_estimate(request, now)
            self._enqueue(request)
            self._log_wait(request)
            return []
        return self._assign(request, target, now)

    def _find_target(
        self,
        request: _Request,
        now: datetime.timedelta,
    ) -> targets.Description | None:
        _, model = request.queue_key
        fleet = self._fleet
        available = [
            candidate
            for candidate in self._find_permitted_targets(request, now)
            if not fleet.is_full(candidate.target, now)
            and fleet.estimate_load(candidate.target)
            < self._compute_request_limit(candidate, model)
            and not candidate.is_draining
        ]
        # A target on which the request just failed is better than none.
        preferred = [
            candidate
            for candidate in available
            if candidate.target not in request.avoided_targets
        ] or available
        if request.trial_parts:
            preferred = self._prefer_for_trial(preferred)
        adapter = request.head.adapter
        if model is None or adapter is None:
            return self._select_target(preferred, frozenset(), now)
        with_adapter = frozenset(
            candidate.target
            for candidate in preferred
            if fleet.get_adapter_ready_at(candidate, model, adapter, now)
            is not None
        )
        if not with_adapter:
            # All instances choose the same target for an adapter. A target that
            # loads a model or has no zone leader gets no order for an adapter.
            return min(
                preferred,
                key=lambda candidate: (
                    max(
                        fleet.get_next_order_at(candidate, now)
                        or datetime.timedelta.max,
                        now + BUSY_TOLERANCE,
                    ),
                    fleet_module.hash_pair(adapter, candidate.target),
                ),
                default=None,
            )
        return self._select_target(preferred, with_adapter, now)

    def _find_serving_targets(
        self, request: _Request, now: datetime.timedelta
    ) -> list[targets.Description]:
        """Returns the targets that serve a request, whether full or not."""
        service, model = request.queue_key
        # Silence ejects a target, but this request has no reason to avoid it.
        also = request.repeatable_targets - request.unreachable_targets
        if model is None:
            serving = self._fleet.list_usable_targets(service, now, also)
        else:
            serving = self._fleet.list_replicas(service, model, now, also)
        if request.version is not None:
            return [
                target
                for target in serving
                if target.version == request.version
            ]
        if not request.route.is_resumable:
            return serving
        return [
            target
            for target in serving
            if not self._stream_versions.is_excluded(target)
        ]

    def _find_permitted_targets(
        self, request: _Request, now: datetime.timedelta
    ) -> list[targets.Description]:
        """Returns the serving targets to which a request may be sent.

        Those on which it was superseded need no further attempt.
        """
        serving = self._find_serving_targets(request, now)
        used_targets = request.may_have_run_on | request.current_targets
        if not used_targets:
            return serving
        repeatable_targets = request.repeatable_targets
        has_unused_attempts = (
            self._count_attempts_used(request) < request.route.max_attempts
        )
        return [
            candidate
            for candidate in serving
            if candidate.target in repeatable_targets
            or (has_unused_attempts and candidate.target not in used_targets)
        ]

    def _compute_request_limit(
        self, target: targets.Description, model: ids.ModelName | None
    ) -> float:
        factor = (
            PLAIN_REQUESTS_PER_SLOT
            if model is None
            else ENGINE_REQUESTS_PER_SLOT
        )
        return max(1.0, target.slots * factor)

    def _assign(
        self,
        request: _Request,
        target: targets.Description,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        self._queues.remove(request.queue_key, request.queue_entry)
        request.target = target
        adapter, model = request.head.adapter, request.head.model
        if adapter is None or model is None:
            return self._send(request, now)
        ready_at = self._fleet.get_adapter_ready_at(target, model, adapter, now)
        if ready_at is not None and ready_at <= now:
            return self._send(request, now)
        if ready_at is None:
            refusal = self._refuse_without_adapter(request, target, now)
            if refusal is not None:
                return refusal
        request.phase = _Phase.AWAITING_ADAPTER
        request.adapter_deadline = now + ADAPTER_LOAD_TIMEOUT
        self._demand_reporter.add_adapter_demand(
            request.local_id, target.target, model, adapter
        )
        wake_at = request.adapter_deadline if ready_at is None else ready_at
        heapq.heappush(self._timers, (wake_at, request.local_id))
        self._wake_for_refusal(request)
        return []

    def _refuse_without_adapter(
        self,
        request: _Request,
        target: targets.Description,
        now: datetime.timedelta,
    ) -> list[requests.Action] | None:
        """Refuses a request if its adapter cannot be ordered in time."""
        next_order_at = self._fleet.get_next_order_at(target, now)
        request.wait_estimate = {
            "target": target.target,
            "zone": target.availability_zone,
            "expected_ms": (
                None
                if next_order_at is None
                else _to_milliseconds(next_order_at - request.arrived_at)
            ),
            "allowed_ms": _to_milliseconds(
                request.start_deadline - request.arrived_at
            ),
        }
        if next_order_at is None:
            # Another instance may be about to become the zone leader.
            if now < request.waits_since + NO_CANDIDATE_TIMEOUT:
                return None
            return self._end_unserved(request, "no_holder", now)
        if next_order_at <= request.start_deadline - timeouts.RESPONSE_MARGIN:
            return None
        return self._end_unserved(request, "too_late", now, next_order_at - now)

    def _check_adapter(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        assert request.target is not None
        assert (
            request.head.model is not None and request.head.adapter is not None
        )
        current = self._fleet.directory.get(request.target.target)
        is_available = (
            current is not None
            and not current.is_draining
            and current.incarnation == request.target.incarnation
        )
        ready_at = None
        if current is not None and is_available:
            ready_at = self._fleet.get_adapter_ready_at(
                current, request.head.model, request.head.adapter, now
            )
        if ready_at is not None and ready_at <= now:
            self._demand_reporter.remove_adapter_demand(request.local_id)
            return self._send(request, now)
        if ready_at is not None and ready_at < request.adapter_deadline:
            heapq.heappush(self._timers, (ready_at, request.local_id))
            return []
        if is_available and now < request.adapter_deadline:
            return []
        self._demand_reporter.remove_adapter_demand(request.local_id)
        request.avoided_targets.add(request.target.target)
        request.target = None
        request.phase = _Phase.QUEUED
        return self._dispatch(request, now)

    def _send(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        target = request.target
        assert target is not None
        if request.has_unknown_version:
            return self._end_unserved(request, "version_unknown", now)
        if not request.response_started and not self._can_finish_before_stop(
            request, now
        ):
            return self._end_unserved(
                request, "stopping", now, DRAINING_RETRY_AFTER
            )
        if request.send_count >= MAX_SENDS_PER_REQUEST:
            return self._end_unserved(request, "too_many_tries", now)
        if request.has_reached_target and not self._get_retry_budget(
            request.queue_key[0], now
        ).try_spend(now):
            return self._end_unserved(request, "retry_budget", now)
        return self._begin_attempt(request, target, now)

    def _begin_attempt(
        self,
        request: _Request,
        target: targets.Description,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        """Sends a request, also beside the attempts in progress."""
        route = request.route
        request.send_count += 1
        request.phase = _Phase.SENT
        request.target = target
        request.attempts.append(
            _Attempt(
                request.send_count,
                target,
                now,
                is_additional=bool(request.attempts),
            )
        )
        self._count_attempt(request, target, 1)
        can_retry = self._can_retry_elsewhere(request, now)
        first_byte_deadline = timeouts.first_byte_deadline(
            route,
            self._fleet.health.mean_latency_seconds(target.target),
            can_retry,
            now,
            request.deadline,
        )
        request.silent_from = first_byte_deadline
        self._log_send(request, target, now)
        if request.trial_parts:
            self._log_trial(request, target)
        return [
            requests.Send(
                request.local_id,
                target.target,
                target.address,
                request.deadline,
                timeouts.target_deadline(
                    route, request.head, request.arrived_at, request.deadline
                ),
                first_byte_deadline,
                timeouts.silence_timeout(
                    route,
                    self._has_attempts_left(request)
                    # If it goes on, the others may be repeated.
                    or len(request.attempts) > 1,
                ),
                not route.is_retryable,
                route.kind is configuration.RouteKind.STREAM,
                request.last_event_id,
                min(9, route.priority) if request.head.model else None,
                target.incarnation,
                request.send_count,
                route.is_resumable
                and not self._stream_versions.is_certain(target, now),
            )
        ]

    def _count_attempt(
        self, request: _Request, target: targets.Description, delta: int
    ) -> None:
        """Counts an attempt that begins (1) or ends (-1) on a target."""
        model = request.head.model
        self._fleet.count_request(
            target.target, model, request.head.adapter, delta
        )
        self._demand_reporter.record_running_change(
            unblocks_unload=delta < 0
            and model is not None
            and self._fleet.is_model_draining(target.target, model)
            and not self._fleet.has_own_requests(target.target, model)
        )

    def _has_attempts_left(self, request: _Request) -> bool:
        route = request.route
        return route.is_retryable and (
            self._count_attempts_used(request) < route.max_attempts
            or any(
                (entry := self._fleet.directory.get(target)) is not None
                and not entry.is_draining
                for target in request.repeatable_targets
            )
        )

    def _can_retry_elsewhere(
        self, request: _Request, now: datetime.timedelta
    ) -> bool:
        """Whether another target could run the request."""
        return self._has_attempts_left(request) and bool(
            self._find_permitted_targets(request, now)
        )

    def _wake_for_refusal(self, request: _Request) -> None:
        """Sets the timer for a refusal that its caller still receives."""
        latest_start = request.start_deadline - timeouts.RESPONSE_MARGIN
        heapq.heappush(self._timers, (latest_start, request.local_id))

    def _enqueue(self, request: _Request) -> None:
        request.phase = _Phase.QUEUED
        self._wake_for_refusal(request)
        request.target = None
        self._queues.remove(request.queue_key, request.queue_entry)
        self._queues.add(request.queue_key, request.queue_entry)
        self._update_demand(request.queue_key)

    def _update_demand(self, queue_key: queues.QueueKey) -> None:
        service, model = queue_key
        if model is None:
            return
        waiting = [
            self._requests[entry.local_id]
            for entry in self._queues.entries(queue_key)
        ]
        waiting += [
            request
            for request in self._held.values()
            if request.queue_key == queue_key
        ]
        self._demand_reporter.set_waiting_requests(
            service,
            model,
            [request.soft_deadline for request in waiting],
        )

    def _dispatch_queue(
        self, queue_key: queues.QueueKey, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Assigns the requests of a queue in order while targets are free."""
        actions: list[requests.Action] = []
        for entry in self._queues.entries(queue_key):
            request = self._requests[entry.local_id]
            if now < request.not_before:
                continue
            target = self._find_target(request, now)
            if target is None:
                if (
                    not request.may_have_run_on
                    and request.version is None
                    and not self._stream_versions.has_exclusions(queue_key[0])
                ):
                    # The request excludes no target, so the requests behind it
                    # would find none either.
                    break
                continue
            actions += self._assign(request, target, now)
        self._update_demand(queue_key)
        return actions

    def _estimate_start(
        self, request: _Request, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when a queued request is expected to start.

        None if no target is known that could serve it.
        """
        service, name = request.queue_key
        fleet = self._fleet
        serving = self._find_serving_targets(request, now)
        if serving:
            return now + self._estimate_queue_time(request, serving)
        if name is None or request.version is not None:
            # Loads are not ordered for a software version.
            return None
        ready_at = fleet.get_model_ready_at(service, name, now)
        if ready_at is not None:
            return ready_at
        spec = self._find_model(request)
        estimates = (
            fleet.estimate_zone_ready_times(service, spec, now) if spec else []
        )
        return estimates[0].ready_at if estimates else None

    def _describe_estimate(
        self, request: _Request, now: datetime.timedelta
    ) -> dict[str, Any]:
        """Returns the inputs of the decision to queue or to refuse."""
        service, name = request.queue_key
        expected_start = self._estimate_start(request, now)
        latest_start = request.start_deadline - timeouts.RESPONSE_MARGIN
        target_counts = {
            "usable": len(self._fleet.list_usable_targets(service, now))
        }
        if name is not None:
            target_counts["serving"] = len(
                self._find_serving_targets(request, now)
            )
        return {
            "expected_ms": (
                None
                if expected_start is None
                else _to_milliseconds(expected_start - request.arrived_at)
            ),
            "allowed_ms": _to_milliseconds(latest_start - request.arrived_at),
            "queued": self._queues.length(request.queue_key),
            "places": target_counts,
        }

    def _estimate_queue_time(
        self, request: _Request, serving: Iterable[targets.Description]
    ) -> datetime.timedelta:
        ahead = 0
        for entry in self._queues.entries(request.queue_key):
            if entry >= request.queue_entry:
                break
            ahead += 1
        seconds = self._service_times.get(request.queue_key, 0.0)
        slots = sum(max(1, target.slots) for target in serving)
        return datetime.timedelta(seconds=ahead * seconds / slots)

    def _refuse_if_unservable(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action] | None:
        """Refuses a request that cannot start before its deadline."""
        if request.has_unknown_version:
            return self._end_unserved(request, "version_unknown", now)
        if self._has_lost_version(request):
            return self._end_unserved(request, "version_gone", now)
        expected_start = self._estimate_start(request, now)
        latest_start = request.start_deadline - timeouts.RESPONSE_MARGIN
        if expected_start is None:
            if now < min(
                latest_start, request.waits_since + NO_CANDIDATE_TIMEOUT
            ):
                return None
            request.wait_estimate = self._describe_estimate(request, now)
            return self._end_unserved(request, "no_target", now)
        if not request.response_started and not self._can_finish_before_stop(
            request, max(now, expected_start)
        ):
            return self._end_unserved(
                request, "stopping", now, DRAINING_RETRY_AFTER
            )
        if expected_start <= latest_start and now < latest_start:
            return None
        request.wait_estimate = self._describe_estimate(request, now)
        return self._end_unserved(
            request, "too_late", now, expected_start - now
        )

    def _has_lost_version(self, request: _Request) -> bool:
        """Whether only targets of other versions are left for its stream."""
        if request.version is None:
            return False
        versions = {
            target.version
            for target in self._fleet.directory.list_by_service(
                request.queue_key[0]
            )
            if not target.is_draining
        }
        # None stands for a version that its entry is about to tell.
        return bool(versions) and versions.isdisjoint({request.version, None})

    def _end_unserved(
        self,
        request: _Request,
        reason: str,
        now: datetime.timedelta,
        retry_after: datetime.timedelta | None = None,
    ) -> list[requests.Action]:
        """Ends a request that is not retried any more.

        A response that has begun is aborted, a buffered response of a target
        is relayed; otherwise the request is refused.
        """
        if request.caller_disconnected or request.response_started:
            return self._abort(request, reason, now)
        if request.has_buffered_response:
            self._finish(request, now)
            self._log_end(request, "relayed", reason, now)
            return [requests.Relay(request.local_id)]
        if reason in _FINAL_REASONS:
            retry_after = None
        elif retry_after is None or retry_after <= _ZERO:
            retry_after = DEFAULT_RETRY_AFTER
        return self._refuse(request, reason, retry_after, now)

    def _refuse(
        self,
        request: _Request,
        reason: str,
        retry_after: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        self._finish(request, now)
        if request.caller_disconnected:
            return [requests.Abort(request.local_id)]
        may_have_run = request.may_have_run
        is_late = now >= request.deadline - timeouts.RESPONSE_MARGIN
        status = 503
        if may_have_run:
            status = 504 if is_late else 502
        if reason == "unknown_model":
            status = 404
        self._log_end(request, f"refused {status}", reason, now)
        return [
            requests.Refuse(
                request.local_id,
                status,
                reason,
                retry_after if status == 503 else None,
                may_have_run,
            )
        ]

    def _abort(
        self, request: _Request, reason: str, now: datetime.timedelta
    ) -> list[requests.Action]:
        self._finish(request, now)
        self._log_end(request, "aborted", reason, now)
        return [requests.Abort(request.local_id)]

    def _finish(self, request: _Request, now: datetime.timedelta) -> None:
        """Releases the target, the queue entry and the demand of a request.

        The request stays in progress until `RequestEnded`.
        """
        for attempt in list(request.attempts):
            self._release_attempt(request, attempt)
        self._queues.remove(request.queue_key, request.queue_entry)
        self._demand_reporter.remove_adapter_demand(request.local_id)
        self._held.pop(request.local_id, None)
        self._awaiting_version.pop(request.local_id, None)
        if request.has_response_data:
            self._stream_versions.end(request.stream_id, now)
        self._end_trial(request)
        self._update_demand(request.queue_key)
        request.phase = _Phase.FINISHED
        request.target = None

    def _release_attempt(self, request: _Request, attempt: _Attempt) -> None:
        request.attempts.remove(attempt)
        self._count_attempt(request, attempt.target, -1)
        if not request.attempts:
            request.phase = _Phase.QUEUED

    def _handle_stall(
        self, event: requests.AttemptStalled, now: datetime.timedelta
    ) -> list[requests.Action]:
        request = self._requests.get(event.local_id)
        if request is None or request.phase is not _Phase.SENT:
            return []
        if request.find_attempt(event.attempt) is not request.attempts[-1]:
            return []
        if request.response_started or event.last_event_id:
            request.last_event_id = event.last_event_id
        request.silent_from = min(request.silent_from, now)
        return self._check_silence(request, now)

    def _handle_resumption(
        self, event: requests.AttemptResumed, now: datetime.timedelta
    ) -> list[requests.Action]:
        request = self._requests.get(event.local_id)
        if request is None or request.phase is not _Phase.SENT:
            return []
        self._record_progress(request, request.find_attempt(event.attempt), now)
        return self._dispatch_next(request, now)

    def _record_progress(
        self,
        request: _Request,
        attempt: _Attempt | None,
        now: datetime.timedelta,
    ) -> None:
        """Records that an attempt goes on, so that no other one is needed."""
        if attempt is None:
            return
        if attempt.is_silent:
            attempt.is_silent = False
            self._fleet.health.record_success(attempt.target.target, None, now)
        request.silent_from = datetime.timedelta.max
        self._withdraw_others(request, attempt)

    def _withdraw_others(self, request: _Request, attempt: _Attempt) -> None:
        """Takes back the attempts that are not sent because of another one.

        Those that were sent have ended as superseded before.
        """
        for other in list(request.attempts):
            if other is not attempt:
                self._withdraw(request, other)

    def _withdraw(self, request: _Request, attempt: _Attempt) -> None:
        self._release_attempt(request, attempt)
        if attempt.is_additional:
            self._refund_retry(request)

    def _refund_retry(self, request: _Request) -> None:
        self._retry_budgets[request.queue_key[0]].refund()

    def _check_silence(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Makes another attempt beside silent ones if it can begin at once.

        Silence alone ends no attempt: its target may be about to go on, and
        nothing shows before its response that another target does better.
        """
        if now < request.silent_from or request.cancelled:
            return []
        target, obstacle = self._choose_next_target(request, now)
        self._record_silence(request, obstacle, now)
        if target is None:
            return []
        self._demand_reporter.remove_adapter_demand(request.local_id)
        request.awaited_adapter_on = None
        return self._begin_attempt(request, target, now)

    def _choose_next_target(
        self, request: _Request, now: datetime.timedelta
    ) -> tuple[targets.Description | None, str]:
        """Returns the target of another attempt, or why there is none.

        A retry token is spent for it.
        """
        if not self._can_retry_elsewhere(request, now):
            return None, "attempts"
        if request.send_count >= MAX_SENDS_PER_REQUEST:
            return None, "too_many_tries"
        if (
            now >= request.deadline - timeouts.RESPONSE_MARGIN
            or not self._can_finish_before_stop(request, now)
        ):
            return None, "time"
        if request.resumption_obstacle:
            return None, request.resumption_obstacle
        if not self._are_parts_clear(request, now):
            return None, "suspected"
        target = self._find_target(request, now)
        if target is None:
            return None, "no_target"
        if not self._is_adapter_ready(request, target, now):
            return None, "adapter"
        budget = self._get_retry_budget(request.queue_key[0], now)
        if not budget.try_spend(now):
            return None, "retry_budget"
        return target, ""

    def _is_adapter_ready(
        self,
        request: _Request,
        target: targets.Description,
        now: datetime.timedelta,
    ) -> bool:
        """Whether a target has the adapter; asks for it if it has not."""
        model, adapter = request.head.model, request.head.adapter
        if model is None or adapter is None:
            return True
        ready_at = self._fleet.get_adapter_ready_at(target, model, adapter, now)
        if ready_at is None and request.awaited_adapter_on != target.target:
            request.awaited_adapter_on = target.target
            self._demand_reporter.add_adapter_demand(
                request.local_id, target.target, model, adapter
            )
        return ready_at is not None and ready_at <= now

    def _record_silence(
        self, request: _Request, obstacle: str, now: datetime.timedelta
    ) -> None:
        """Records the silence of the targets on which a request runs."""
        for attempt in request.attempts:
            if attempt.is_silent:
                continue
            attempt.is_silent = True
            if obstacle != "attempts":
                self._fleet.health.record_failure(
                    attempt.target.target, now, eject=True
                )
            self._log_silence(request, attempt, obstacle, now)

    def _are_parts_clear(
        self, request: _Request, now: datetime.timedelta
    ) -> bool:
        return not request.head.all_parts or (
            self._assess(request, now).status is prompt_quarantine.Status.CLEAR
        )

    def _handle_response_start(
        self, event: requests.ResponseStarted, now: datetime.timedelta
    ) -> list[requests.Action]:
        request = self._requests.get(event.local_id)
        if request is None or request.phase is not _Phase.SENT:
            return []
        attempt = request.find_attempt(event.attempt)
        if attempt is None:
            return []
        if event.has_data:
            self._record_progress(request, attempt, now)
        if not request.response_started:
            request.response_started = True
            request.first_byte_at = now
            self._fleet.health.record_success(
                attempt.target.target, now - attempt.sent_at, now
            )
        if not event.has_data:
            return []
        request.has_response_data = True
        if request.route.kind is configuration.RouteKind.STREAM:
            version = attempt.target.version if event.is_start_known else None
            self._record_version(request, attempt.target, version, now)
        return self._acquit_parts(request, now)

    def _record_version(
        self,
        request: _Request,
        target: targets.Description,
        version: ids.SoftwareVersion | None,
        now: datetime.timedelta,
    ) -> None:
        """Records which version has begun the stream of a request."""
        request.version = version
        request.has_unknown_version = version is None
        if request.route.is_resumable:
            self._stream_versions.begin(request.stream_id, target, version, now)

    def _handle_attempt_end(
        self, event: requests.AttemptEnded, now: datetime.timedelta
    ) -> list[requests.Action]:
        request = self._requests[event.local_id]
        attempt = request.find_attempt(event.attempt)
        if request.phase is not _Phase.SENT or attempt is None:
            return []
        if event.failure is requests.Failure.WITHDRAWN:
            self._withdraw(request, attempt)
            request.silent_from = datetime.timedelta.max
            if request.attempts:
                return self._dispatch_next(request, now)
            return self._handle_failure(
                request, attempt.target, event.failure, now
            ) + self._dispatch_next(request, now)
        request.last_end = event
        request.longest_gap = max(request.longest_gap, event.longest_gap)
        if event.failure is None:
            return self._handle_success(request, attempt, event, now)
        self._release_attempt(request, attempt)
        target = attempt.target
        if event.failure not in requests.NOT_RUN_FAILURES:
            self._attempt_durations.record_at_least(
                request.route.name, now - attempt.sent_at
            )
        request.failures.append(event.failure)
        request.has_buffered_response = event.has_buffered_response
        if event.failure is requests.Failure.UNREACHABLE:
            request.unreachable_targets.add(target.target)
        else:
            request.unreachable_targets.discard(target.target)
        if request.response_started or event.last_event_id:
            # Empty if the last event that was passed on has no id.
            request.last_event_id = event.last_event_id
        if (
            event.failure is requests.Failure.CONNECTION_LOST
            and not request.response_started
        ):
            request.lost_targets.add(target.target)
        if (
            event.failure is requests.Failure.UNREACHABLE
            and attempt.is_additional
        ):
            self._refund_retry(request)
        self._log_failure(request, attempt, event, now)
        self._record_failure(request, attempt, event, now)
        actions = self._record_lost_target(request, target, event, now)
        if request.attempts:
            self._handle_failure_beside_others(
                request, target, event.failure, now
            )
        elif request.phase is not _Phase.FINISHED:
            actions += self._handle_failure(request, target, event.failure, now)
        return actions + self._dispatch_next(request, now)

    def _handle_failure_beside_others(
        self,
        request: _Request,
        target: targets.Description,
        failure: requests.Failure,
        now: datetime.timedelta,
    ) -> None:
        """Records a failed attempt of a request that has others."""
        if failure in requests.NOT_RUN_FAILURES:
            request.avoided_targets.add(target.target)
        else:
            self._record_use(request, target, failure)
        if all(attempt.is_silent for attempt in request.attempts):
            request.silent_from = now + NEXT_ATTEMPT_DELAY

    def _record_use(
        self,
        request: _Request,
        target: targets.Description,
        failure: requests.Failure,
    ) -> None:
        """Records that a target may have run a request."""
        request.may_have_run_on.add(target.target)
        if failure is requests.Failure.SUPERSEDED:
            request.superseded_on.add(target.target)
            request.avoided_targets.add(target.target)
        else:
            request.superseded_on.discard(target.target)

    def _handle_success(
        self,
        request: _Request,
        attempt: _Attempt,
        event: requests.AttemptEnded,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        self._withdraw_others(request, attempt)
        target = attempt.target
        duration = now - attempt.sent_at
        self._attempt_durations.record(request.route.name, duration)
        seconds = duration.total_seconds()
        mean = self._service_times.get(request.queue_key, seconds)
        self._service_times[request.queue_key] = (
            mean + SERVICE_TIME_EWMA_WEIGHT * (seconds - mean)
        )
        if event.status >= 500:
            self._fleet.health.record_failure(target.target, now, eject=False)
        elif not request.response_started:
            self._fleet.health.record_success(target.target, duration, now)
        actions: list[requests.Action] = []
        if event.status < 500 and not request.response_started:
            actions = self._acquit_parts(request, now)
        self._finish(request, now)
        self._log_end(request, f"answered {event.status}", "", now)
        return actions + self._dispatch_next(request, now)

    def _dispatch_next(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Assigns freed capacity to the queue of a request."""
        if not self._queues.length(request.queue_key):
            return []
        return self._dispatch_queue(request.queue_key, now)

    def _record_failure(
        self,
        request: _Request,
        attempt: _Attempt,
        event: requests.AttemptEnded,
        now: datetime.timedelta,
    ) -> None:
        """Updates health and fleet state after a failed attempt."""
        target = attempt.target
        failure = event.failure
        fleet = self._fleet
        model = request.head.model
        if failure in _SIGNS_OF_RESTART:
            self._stream_versions.record_sign_of_restart(target, now)
        if failure is requests.Failure.FULL:
            fleet.record_full(target.target, now)
        elif failure is requests.Failure.NOT_LOADED and model is not None:
            fleet.record_not_loaded(target.target, model, None, now)
            if request.head.adapter is not None:
                fleet.record_not_loaded(
                    target.target, model, request.head.adapter, now
                )
        elif failure in _EJECTING_FAILURES:
            # A target may close an idle connection just as it is reused. That
            # says nothing about the health of the target.
            if not (
                event.connection_reused
                and failure is requests.Failure.CONNECTION_LOST
            ) and not (
                attempt.is_silent and failure is requests.Failure.IDLE_TIMEOUT
            ):
                fleet.health.record_failure(target.target, now, eject=True)
        elif failure in _NON_EJECTING_FAILURES:
            fleet.health.record_failure(target.target, now, eject=False)

    def _handle_failure(
        self,
        request: _Request,
        target: targets.Description,
        failure: requests.Failure,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        if (
            request.caller_disconnected
            or failure is requests.Failure.CALLER_DISCONNECTED
        ):
            request.caller_disconnected = True
            return self._abort(request, "caller_gone", now)
        if failure is requests.Failure.SHUTDOWN or now >= self._stop_at:
            return self._end_unserved(
                request, "stopping", now, DRAINING_RETRY_AFTER
            )
        if (
            failure is requests.Failure.DEADLINE_EXCEEDED
            or now >= request.deadline
        ):
            return self._end_unserved(request, "timeout", now)
        if obstacle := request.resumption_obstacle:
            reason = failure.value if obstacle == "no_event_id" else obstacle
            return self._end_unserved(request, reason, now)
        if (
            failure in requests.NOT_RUN_FAILURES
            or failure is requests.Failure.WITHDRAWN
        ):
            request.avoided_targets.add(target.target)
            if failure is not requests.Failure.UNREACHABLE:
                request.not_before = now + REJECTION_BACKOFF
                request.avoided_targets.discard(target.target)
            return self._dispatch(request, now)
        if request.head.all_parts:
            assessment = self._assess(request, now)
            if assessment.status is not prompt_quarantine.Status.CLEAR:
                request.suspected_parts = assessment.parts
                return self._end_unserved(request, "suspected", now)
        self._restart_wait(request, now)
        self._record_use(request, target, failure)
        if not request.route.is_retryable:
            return self._end_unserved(request, failure.value, now)
        if not self._has_attempts_left(request):
            return self._end_unserved(request, "attempts_used", now)
        if (
            request.has_buffered_response
            and self._find_target(request, now) is None
        ):
            # Without another target that is free, the buffered response is
            # relayed at once instead of keeping the caller waiting.
            return self._end_unserved(request, failure.value, now)
        return self._dispatch(request, now)

    def _restart_wait(self, request: _Request, now: datetime.timedelta) -> None:
        """Records that a stream broke off and its caller waits from now on."""
        if request.response_started:
            request.waits_since = now
            request.start_deadline = timeouts.start_deadline(
                request.route, now, request.deadline
            )

    def _count_attempts_used(self, request: _Request) -> int:
        """Counts the targets that may have run a request or are running it.

        Targets that have left are not counted, unless they may have ended
        under this request: it could end one target after the other.
        """
        current_targets = request.current_targets
        return len(current_targets) + sum(
            target in request.lost_targets
            or self._fleet.directory.get(target) is not None
            for target in request.may_have_run_on - current_targets
        )

    def _handle_caller_disconnect(
        self, event: requests.CallerDisconnected, now: datetime.timedelta
    ) -> list[requests.Action]:
        request = self._requests.get(event.local_id)
        if (
            request is None
            or request.phase is _Phase.FINISHED
            or request.caller_disconnected
        ):
            return []
        request.caller_disconnected = True
        if request.phase is not _Phase.SENT:
            return self._abort(request, "caller_gone", now)
        if request.route.kind is configuration.RouteKind.UNSAFE:
            # The request runs on the target in any case; cancelling it halfway
            # has no benefit.
            return []
        request.cancelled = True
        return [
            requests.CancelAttempt(
                request.local_id, requests.Failure.CALLER_DISCONNECTED
            )
        ]

    def _handle_request_end(
        self, event: requests.RequestEnded, now: datetime.timedelta
    ) -> list[requests.Action]:
        request = self._requests.pop(event.local_id, None)
        if request is None:
            return []
        if request.phase is not _Phase.FINISHED:
            # The worker failed in the middle of the request.
            self._finish(request, now)
            self._log_end(request, "aborted", "connection", now)
        return self._dispatch_next(request, now)

    def _check_requests(self, now: datetime.timedelta) -> list[requests.Action]:
        """Cancels requests past their deadline and refuses unservable ones.

        Dispatches the other queued requests, and makes further attempts for
        those whose targets are silent.
        """
        actions: list[requests.Action] = []
        for request in list(self._requests.values()):
            if request.phase is _Phase.SENT:
                if self._stop_at < datetime.timedelta.max:
                    self._attempt_durations.record_at_least(
                        request.route.name, now - request.attempts[0].sent_at
                    )
                if now >= request.deadline and not request.cancelled:
                    request.cancelled = True
                    actions.append(
                        requests.CancelAttempt(
                            request.local_id, requests.Failure.DEADLINE_EXCEEDED
                        )
                    )
                else:
                    actions += self._check_silence(request, now)
            else:
                actions += self._check_waiting(request, now)
        for key in self._queues.nonempty_keys():
            actions += self._dispatch_queue(key, now)
        return actions

    def _check_waiting(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Refuses a request that waits for too long.

        Sends one whose adapter is there.
        """
        if request.phase in (_Phase.SENT, _Phase.FINISHED):
            return []
        if request.phase is _Phase.AWAITING_VERSION:
            return self._find_version(request, now)
        refusal = self._refuse_if_unservable(request, now)
        if refusal is None and request.phase is _Phase.AWAITING_ADAPTER:
            return self._check_adapter(request, now)
        return refusal or []

    def _assess(
        self, request: _Request, now: datetime.timedelta
    ) -> prompt_quarantine.Assessment:
        return self._quarantine.assess(
            request.head.all_parts, request.head.model or "", now
        )

    def _refuse_if_quarantined(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action] | None:
        assessment = self._assess(request, now)
        if assessment.status is not prompt_quarantine.Status.QUARANTINED:
            return None
        request.suspected_parts = assessment.parts
        return self._end_unserved(
            request, "quarantined", now, assessment.probe_in
        )

    def _hold_if_suspected(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action] | None:
        """Holds or refuses a request that may not be sent now."""
        assessment = self._assess(request, now)
        if assessment.status is prompt_quarantine.Status.CLEAR:
            if request.suspected_parts:
                request.suspected_parts = frozenset()
                self._held.pop(request.local_id, None)
                self._end_trial(request)
            return None
        request.suspected_parts = assessment.parts
        if request.may_have_run:
            return self._end_unserved(request, "suspected", now)
        if assessment.status is prompt_quarantine.Status.QUARANTINED:
            return self._refuse_if_quarantined(request, now)
        if assessment.parts <= request.trial_parts:
            return None
        self._hold(request, now)
        return []

    def _hold(self, request: _Request, now: datetime.timedelta) -> None:
        """Sets a request aside until it may try its suspected parts."""
        if request.phase is _Phase.AWAITING_ADAPTER:
            self._demand_reporter.remove_adapter_demand(request.local_id)
        self._end_trial(request)
        self._queues.remove(request.queue_key, request.queue_entry)
        request.target = None
        if request.phase is not _Phase.HELD:
            request.phase = _Phase.HELD
            request.held_since = now
            self._wake_for_refusal(request)
        is_first = not any(
            other.suspected_parts == request.suspected_parts
            for other in self._held.values()
            if other is not request
        )
        self._have_trials_changed = self._have_trials_changed or is_first
        if request.local_id not in self._held:
            self._held[request.local_id] = request
            self._log_hold(request)
        self._update_demand(request.queue_key)

    def _begin_trial(
        self,
        request: _Request,
        parts: frozenset[ids.PromptPart],
        expires_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        if not request.suspected_parts <= parts:
            self._have_trials_changed = True
            return []
        del self._held[request.local_id]
        request.trial_parts = parts
        request.trial_expires_at = expires_at
        request.phase = _Phase.QUEUED
        self._trials[request.local_id] = request
        return self._dispatch(request, now)

    def _end_trial(self, request: _Request) -> None:
        if self._trials.pop(request.local_id, None) is not None:
            request.trial_parts = frozenset()
            self._have_trials_changed = True

    def _prefer_for_trial(
        self, candidates: list[targets.Description]
    ) -> list[targets.Description]:
        """Returns the least loaded targets, without other trials if possible.

        If one of two requests ends their target, both would be blamed.
        """
        trial_targets = {
            trial.target.target
            for trial in self._trials.values()
            if trial.target is not None
        }
        without_trials = [
            candidate
            for candidate in candidates
            if candidate.target not in trial_targets
        ]
        loads = [
            (self._fleet.estimate_load(candidate.target), candidate)
            for candidate in without_trials or candidates
        ]
        min_load = min((load for load, _ in loads), default=0)
        return [candidate for load, candidate in loads if load == min_load]

    def _acquit_parts(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Records that a response to a request has begun."""
        if not request.head.all_parts:
            return []
        self._end_trial(request)
        self._quarantine.record_response(
            request.head.all_parts, request.head.model or "", now
        )
        return self._reassess_requests(now)

    def _record_lost_target(
        self,
        request: _Request,
        target: targets.Description,
        event: requests.AttemptEnded,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        """Blames the parts of a request if its target ended under it."""
        if (
            event.failure is not requests.Failure.CONNECTION_LOST
            or not request.head.all_parts
            or request.has_response_data
            or request.last_event_id
            or self._is_planned_end(target)
        ):
            return []
        attempt = _LostAttempt(
            request.local_id,
            target,
            request.head.all_parts,
            request.head.own_part,
            request.head.model or "",
            request.trial_parts,
            now,
        )
        if not event.has_target_ended:
            del self._lost_attempts[: 1 - MAX_LOST_ATTEMPTS]
            self._lost_attempts.append(attempt)
            self._checked_directory = -1
            return []
        self._blame(attempt, now)
        return self._reassess_requests(now)

    def _is_planned_end(self, target: targets.Description) -> bool:
        """Whether a target has been announced to end.

        Args:
            target: The target as it was when the request was sent.
        """
        current = self._fleet.directory.get(target.target)
        # A target that crashes is still registered when its connections end.
        return current is None or any(
            description.is_draining or description.terminates_in is not None
            for description in (target, current)
        )

    def _blame(self, attempt: _LostAttempt, now: datetime.timedelta) -> None:
        self._quarantine.record_end(
            attempt.parts,
            attempt.model,
            attempt.target.target,
            attempt.target.incarnation,
            attempt.trial_parts,
            now,
            attempt.lost_at,
            attempt.own_part,
        )

    def _check_lost_attempts(
        self, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Blames requests whose target ended according to the registry."""
        revision = self._fleet.directory.revision
        is_changed = self._checked_directory != revision
        if not self._lost_attempts:
            return []
        self._checked_directory = revision
        addresses = (
            {entry.address: entry.target for entry in self._fleet.directory}
            if is_changed
            else {}
        )
        undecided = []
        for attempt in self._lost_attempts:
            lost = attempt.target
            current = self._fleet.directory.get(lost.target)
            if now - attempt.lost_at > TARGET_END_TIMEOUT:
                continue
            if is_changed and (
                current is None
                or current.incarnation != lost.incarnation
                or addresses.get(lost.address) != lost.target
            ):
                self._blame(attempt, now)
            elif not self._is_planned_end(lost):
                undecided.append(attempt)
        if len(undecided) < len(self._lost_attempts):
            self._lost_attempts = undecided
            self._have_trials_changed = True
        return self._reassess_requests(now)

    def _reassess_requests(
        self, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Holds, releases or refuses requests after the evidence changed."""
        if self._assessed_revision == self._quarantine.revision:
            return []
        self._assessed_revision = self._quarantine.revision
        actions: list[requests.Action] = []
        for request in list(self._requests.values()):
            if not request.head.all_parts:
                continue
            if request.phase is _Phase.HELD:
                actions += self._release_held_request(request, now)
            elif request.phase in (_Phase.QUEUED, _Phase.AWAITING_ADAPTER):
                actions += self._hold_if_suspected(request, now) or []
        return actions

    def _release_held_request(
        self, request: _Request, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Dispatches or refuses a held request unless it is suspected."""
        outcome = self._hold_if_suspected(request, now)
        if outcome is not None:
            return outcome
        request.phase = _Phase.QUEUED
        return self._dispatch(request, now)

    def _check_held_requests(
        self, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Checks the deadlines of held requests and of grants.

        Without an arbiter, the instance itself decides about trials.
        """
        actions: list[requests.Action] = []
        for request in list(self._trials.values()):
            if (
                request.phase is not _Phase.SENT
                and now >= request.trial_expires_at
            ):
                self._hold(request, now)
        for request in list(self._held.values()):
            refusal = self._refuse_if_unservable(request, now)
            if refusal is not None:
                actions += refusal
            elif (
                not self._awaits_arbiter(request, now)
                and request.suspected_parts.isdisjoint(self._list_tried_parts())
                and self._find_target(request, now) is not None
            ):
                actions += self._begin_trial(
                    request,
                    request.suspected_parts,
                    now + prompt_trials.GRANT_TTL,
                    now,
                )
        return actions

    def _awaits_arbiter(
        self, request: _Request, now: datetime.timedelta
    ) -> bool:
        """Whether an arbiter may still grant a trial to a held request."""
        if now - self._arbiter_heard_at >= ARBITER_TIMEOUT:
            return now - request.held_since < ARBITER_TIMEOUT
        idle_since = max(
            request.held_since,
            *(
                self._granted_at.get(part, _ZERO)
                for part in request.suspected_parts
            ),
        )
        return now - idle_since < UNGRANTED_TIMEOUT

    def _list_tried_parts(self) -> set[ids.PromptPart]:
        """Returns the parts of own trials without a known outcome."""
        tried = [trial.trial_parts for trial in self._trials.values()]
        tried += [attempt.trial_parts for attempt in self._lost_attempts]
        return set().union(*tried)

    def _log_hold(self, request: _Request) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "held",
                {
                    "request": request.head.request_id,
                    "route": request.route.name,
                    "model": request.head.model,
                    "parts": sorted(request.suspected_parts),
                },
            )
        )

    def _log_trial(
        self, request: _Request, target: targets.Description
    ) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "part_trial",
                {
                    "request": request.head.request_id,
                    "parts": sorted(request.trial_parts),
                    "model": request.head.model,
                    "target": target.target,
                },
            )
        )

    def _log_wait(self, request: _Request) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "waiting",
                {
                    "request": request.head.request_id,
                    "route": request.route.name,
                    "model": request.head.model,
                    **request.wait_estimate,
                    "configuration": request.config_version,
                },
            )
        )

    def _log_send(
        self,
        request: _Request,
        target: targets.Description,
        now: datetime.timedelta,
    ) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "sent",
                {
                    "request": request.head.request_id,
                    "try": request.send_count,
                    "target": target.target,
                    "stream": request.route.kind
                    is configuration.RouteKind.STREAM
                    or None,
                    "load": self._fleet.estimate_load(target.target),
                    "model": request.head.model,
                    "adapter": request.head.adapter,
                    "waited_ms": _to_milliseconds(now - request.arrived_at),
                    "resume_after": request.last_event_id or None,
                    "version": target.version,
                    "beside": [
                        attempt.number for attempt in request.attempts[:-1]
                    ]
                    or None,
                    "configuration": request.config_version,
                },
            )
        )

    def _log_silence(
        self,
        request: _Request,
        attempt: _Attempt,
        obstacle: str,
        now: datetime.timedelta,
    ) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "target_silent",
                {
                    "request": request.head.request_id,
                    "try": attempt.number,
                    "target": attempt.target.target,
                    "after_ms": _to_milliseconds(now - attempt.sent_at),
                    "started": request.response_started,
                    "no_next_try": obstacle or None,
                },
            )
        )

    def _log_failure(
        self,
        request: _Request,
        attempt: _Attempt,
        event: requests.AttemptEnded,
        now: datetime.timedelta,
    ) -> None:
        assert event.failure is not None
        self._log_events.append(
            log_events.LogEvent(
                "attempt_failed",
                {
                    "request": request.head.request_id,
                    "try": attempt.number,
                    "target": attempt.target.target,
                    "failure": event.failure.value,
                    "detail": event.detail,
                    "status": event.status,
                    **_describe_end(event),
                    "took_ms": _to_milliseconds(now - attempt.sent_at),
                    "started": request.response_started,
                },
            )
        )

    def _log_end(
        self,
        request: _Request,
        outcome: str,
        reason: str,
        now: datetime.timedelta,
    ) -> None:
        self._log_events.append(
            log_events.LogEvent(
                "request",
                {
                    "request": request.head.request_id,
                    "outcome": outcome,
                    "reason": reason,
                    "route": request.route.name,
                    "model": request.head.model,
                    "adapter": request.head.adapter,
                    "tries": request.send_count,
                    "failures": [failure.value for failure in request.failures],
                    "resumes": request.head.resumes or None,
                    "version": request.version,
                    "first_part_ms": (
                        None
                        if request.first_byte_at is None
                        else _to_milliseconds(
                            request.first_byte_at - request.arrived_at
                        )
                    ),
                    "longest_gap_ms": _to_milliseconds(request.longest_gap),
                    **(
                        _describe_end(request.last_end)
                        if request.last_end
                        else {}
                    ),
                    "parts": sorted(request.suspected_parts),
                    "took_ms": _to_milliseconds(now - request.arrived_at),
                    "deadline_ms": _to_milliseconds(
                        request.deadline - request.arrived_at
                    ),
                    "configuration": request.config_version,
                    "configuration_at_end": (
                        self._configuration.version
                        if self._configuration
                        else None
                    ),
                    **(
                        request.wait_estimate
                        if reason in _REASONS_WITH_ESTIMATE
                        else {}
                    ),
                },
            )
        )

    def dump(self, now: datetime.timedelta) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "configuration": (
                self._configuration.version if self._configuration else None
            ),
            "versions": self._stream_versions.dump(),
            "requests": [
                {
                    "request": request.head.request_id,
                    "route": request.route.name,
                    "model": request.head.model,
                    "phase": request.phase.value,
                    "target": request.target.target if request.target else None,
                    "attempts": len(request.attempts),
                    "age_s": (now - request.arrived_at).total_seconds(),
                    "failures": [failure.value for failure in request.failures],
                }
                for request in self._requests.values()
            ],
            "waiting": {
                f"{service}/{model or ''}": self._queues.length(
                    (service, model)
                )
                for service, model in self._queues.nonempty_keys()
            },
            "retry_tokens": {
                service: budget.tokens
                for service, budget in self._retry_budgets.items()
            },
        }


_EJECTING_FAILURES = frozenset(
    {
        requests.Failure.UNREACHABLE,
        requests.Failure.IDLE_TIMEOUT,
        requests.Failure.CONNECTION_LOST,
        requests.Failure.WRONG_TARGET,
    }
)
# The process of the target may have ended, and another one may have started.
_SIGNS_OF_RESTART = frozenset(
    {
        requests.Failure.UNREACHABLE,
        requests.Failure.CONNECTION_LOST,
        requests.Failure.NOT_LOADED,
    }
)
_NON_EJECTING_FAILURES = frozenset(
    {
        requests.Failure.SERVER_ERROR,
        requests.Failure.MALFORMED_RESPONSE,
        requests.Failure.WRONG_REQUEST_ID,
    }
)

_HANDLERS: dict[type, Callable[..., list[requests.Action]]] = {
    requests.RequestArrived: Gateway._handle_arrival,
    requests.ResponseStarted: Gateway._handle_response_start,
    requests.AttemptStalled: Gateway._handle_stall,
    requests.AttemptResumed: Gateway._handle_resumption,
    requests.AttemptEnded: Gateway._handle_attempt_end,
    requests.CallerDisconnected: Gateway._handle_caller_disconnect,
    requests.RequestEnded: Gateway._handle_request_end,
}


def _describe_end(event: requests.AttemptEnded) -> dict[str, str | None]:
    """Returns the fields that tell how a response ended."""
    return {
        "framing": event.framing or None,
        "end": event.ending or None,
        "after_event": event.last_event_id or None,
    }


def _to_milliseconds(duration: datetime.timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
