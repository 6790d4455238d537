"""Requests from arrival to the last byte: where, when and how often to send.

`step(event, now)` takes the events of module `requests` and returns its
actions. `wake(now)` does what time brings; `due` says when it is wanted next.
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
from quetzalgauge.core import choice
from quetzalgauge.core import configuration
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import notes
from quetzalgauge.core import patience
from quetzalgauge.core import requests
from quetzalgauge.core import retrybudget
from quetzalgauge.core import targets
from quetzalgauge.core import waiting
from quetzalgauge.core import wishes

# Sends of one request, whatever the reason.
MAX_SENDS = 8
# Requests in progress on a target, in multiples of its slots. Engines share
# their slots among all requests; plain services queue a few more.
ENGINE_LIMIT = 1.0
PLAIN_LIMIT = 1.5
# Without any holder or target a request waits this long for one.
UNKNOWN_WAIT = datetime.timedelta(milliseconds=800)
# When to come back if nothing tells how long it will take.
UNKNOWN_RETRY = datetime.timedelta(seconds=1)
# Streams that arrive later than this after a stop began are refused: their
# runs last for seconds, and the process may end before them. Callers who come
# so late had not noticed that the instance is no longer ready.
LAST_STREAM_START = datetime.timedelta(milliseconds=2500)
# Pause until a caller's next try at another instance.
OTHER_INSTANCE_RETRY = datetime.timedelta(milliseconds=100)
# Reasons of a refusal that the last look at the queue explains.
_JUDGED = frozenset({"no_holder", "no_target", "too_late"})
# Pause before a target that said it was full or lacked a model is asked again.
RETRY_PAUSE = datetime.timedelta(milliseconds=8)
# Longest wait for an adapter on one target.
ADAPTER_WAIT = datetime.timedelta(milliseconds=250)
# A target that is busy for less than this still gets an order for an adapter.
BUSY_GRACE = datetime.timedelta(milliseconds=30)
# How often waiting requests are looked at without any event.
REVIEW_INTERVAL = datetime.timedelta(milliseconds=50)
# Weight of the newest request in the mean time on a target.
SERVICE_TIME_WEIGHT = 0.1

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds from the settings.

    Attributes:
        in_progress: Requests that the shell can carry at once.
        retry_ratio: See `retrybudget`; all instances together.
        retry_slack: See `retrybudget`.
        retry_window: See `retrybudget`.
    """

    in_progress: int
    retry_ratio: float
    retry_slack: float
    retry_window: datetime.timedelta


class _Phase(enum.Enum):
    WAITING = "waiting"  # In a queue.
    ADAPTER = "adapter"  # Has a target, which lacks the adapter.
    SENT = "sent"
    FINISHED = "finished"  # Its last action was given out.


@dataclasses.dataclass(slots=True)
class _Call:
    token: int
    head: requests.Head
    arrived: datetime.timedelta
    route: configuration.Route
    key: waiting.Key
    due: datetime.timedelta
    start_by: datetime.timedelta
    version: int
    phase: _Phase = _Phase.WAITING
    target: targets.Description | None = None
    not_before: datetime.timedelta = _ZERO
    adapter_by: datetime.timedelta = _ZERO
    sent_at: datetime.timedelta = _ZERO
    sends: int = 0
    started: bool = False
    gone: bool = False
    cancelled: bool = False
    holds_answer: bool = False
    last_event: str = ""
    first_part_at: datetime.timedelta | None = None
    longest_gap: datetime.timedelta = _ZERO
    judged: dict[str, Any] = dataclasses.field(default_factory=dict)
    ran_on: set[ids.TargetId] = dataclasses.field(default_factory=set)
    avoided: set[ids.TargetId] = dataclasses.field(default_factory=set)
    failures: list[requests.Failure] = dataclasses.field(default_factory=list)

    @property
    def place(self) -> waiting.Place:
        return waiting.Place(self.route.priority, self.arrived, self.token)

    @property
    def may_have_run(self) -> bool:
        return any(one not in requests.NOT_RUN for one in self.failures)

    @property
    def reached_a_target(self) -> bool:
        return any(
            one is not requests.Failure.UNREACHABLE for one in self.failures
        )


class Gateway:
    """State of all requests in progress."""

    def __init__(
        self,
        limits: Limits,
        fleet: fleet_module.Fleet,
        own_zone: ids.AvailabilityZone,
        draw: random.Random,
    ) -> None:
        self._limits = limits
        self._fleet = fleet
        self._draw = draw
        self._choose = choice.make_chooser(fleet, own_zone, draw)
        self._configuration: configuration.Configuration | None = None
        self._calls: dict[int, _Call] = {}
        self._queues = waiting.Queues()
        self._wishes = wishes.DemandReporter(fleet)
        self._budgets: dict[ids.ServiceName, retrybudget.RetryBudget] = {}
        self._service_times: dict[waiting.Key, float] = {}
        self._timers: list[tuple[datetime.timedelta, int]] = []
        self._review_at = _ZERO
        self._last_stream_at = datetime.timedelta.max
        self._stop_at = datetime.timedelta.max
        self._notes: list[notes.Note] = []

    # ---- Properties

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return len(self._calls)

    @property
    def waiting_count(self) -> int:
        """Number of requests in queues."""
        return len(self._queues)

    @property
    def wanted(self) -> wishes.DemandReporter:
        """What this instance asks of the holders."""
        return self._wishes

    @property
    def due(self) -> datetime.timedelta | None:
        """When `wake` is wanted next, None if no request needs it."""
        times = [self._review_at] if self._calls else []
        if self._timers:
            times.append(self._timers[0][0])
        return min(times, default=None)

    def take_notes(self) -> list[notes.Note]:
        """Returns the decisions since the last call."""
        taken, self._notes = self._notes, []
        return taken

    # ---- Inputs

    def use_limits(self, limits: Limits) -> None:
        """Takes other bounds."""
        if limits != self._limits:
            self._limits = limits
            self._budgets.clear()

    def configure(self, config: configuration.Configuration) -> None:
        """Uses a configuration for requests that arrive from now on."""
        self._configuration = config

    def step(
        self, event: requests.Event, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Takes one event and returns the actions to carry out."""
        handler = _HANDLERS[type(event)]
        actions: list[requests.Action] = handler(self, event, now)
        return actions

    def fleet_changed(self, now: datetime.timedelta) -> list[requests.Action]:
        """Looks again at what waits, after a change of targets or boards."""
        actions: list[requests.Action] = []
        for key in self._queues.keys_with_requests():
            actions += self._pump(key, now)
        for call in [
            one for one in self._calls.values() if one.phase is _Phase.ADAPTER
        ]:
            actions += self._try_adapter(call, now)
        return actions

    def wake(self, now: datetime.timedelta) -> list[requests.Action]:
        """Does what is due."""
        actions: list[requests.Action] = []
        while self._timers and self._timers[0][0] <= now:
            _, token = heapq.heappop(self._timers)
            call = self._calls.get(token)
            if call is None:
                continue
            if call.phase is _Phase.ADAPTER:
                actions += self._try_adapter(call, now)
            elif call.phase is _Phase.WAITING and call.not_before <= now:
                actions += self._pump(call.key, now)
        if now >= self._review_at:
            self._review_at = now + REVIEW_INTERVAL
            actions += self._review(now)
        return actions

    def drain(
        self, stop_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Takes only what can end before the process must stop."""
        self._last_stream_at = min(stop_at, now + LAST_STREAM_START)
        self._stop_at = stop_at

    def cut_off(self, now: datetime.timedelta) -> list[requests.Action]:
        """Ends everything that is left when the process must end."""
        actions: list[requests.Action] = []
        for call in list(self._calls.values()):
            if call.phase is _Phase.SENT:
                call.cancelled = True
                actions.append(
                    requests.Cancel(call.token, requests.Failure.STOPPED)
                )
            elif call.phase is not _Phase.FINISHED:
                actions += self._refuse(call, "stopping", UNKNOWN_RETRY, now)
        return actions

    # ---- Arrival

    def _arrived(
        self, event: requests.Arrived, now: datetime.timedelta
    ) -> list[requests.Action]:
        head = event.head
        config = self._configuration
        if config is None or not self._fleet.directory.is_complete:
            return self._turn_away(event, 503, "not_configured", now)
        route = config.find_route(head.host, head.path)
        if route is None:
            return self._turn_away(event, 404, "no_route", now)
        due = patience.deadline(route, head, now)
        service = self._pick_service(route)
        call = _Call(
            event.token,
            head,
            now,
            route,
            (service, head.model),
            due,
            patience.start_limit(route, now, due),
            config.version,
        )
        # A caller may go on with a stream that broke.
        call.last_event = head.last_event
        self._calls[event.token] = call
        if len(self._calls) > self._limits.in_progress:
            return self._refuse(call, "too_many", UNKNOWN_RETRY, now)
        if not self._ends_before_stop(route, now):
            return self._refuse(call, "stopping", OTHER_INSTANCE_RETRY, now)
        if head.model is not None:
            spec = self._model(call)
            if spec is None:
                return self._refuse(call, "unknown_model", None, now)
            self._wishes.count_arrival(head.model, head.adapter)
        self._budget(service).record_request()
        return self._place(call, now)

    def _ends_before_stop(
        self, route: configuration.Route, now: datetime.timedelta
    ) -> bool:
        if route.kind is configuration.Kind.STREAM:
            return now <= self._last_stream_at
        return now + route.aim <= self._stop_at

    def _turn_away(
        self,
        event: requests.Arrived,
        status: int,
        reason: str,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        """Answers a request that has no route."""
        self._notes.append(
            notes.Note(
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
        retry = UNKNOWN_RETRY if status == 503 else None
        return [requests.Refuse(event.token, status, reason, retry, False)]

    def _pick_service(self, route: configuration.Route) -> ids.ServiceName:
        if len(route.backends) == 1:
            return route.backends[0].service
        weights = [backend.weight for backend in route.backends]
        if sum(weights) <= 0:
            return route.backends[0].service
        picked = self._draw.choices(route.backends, weights)[0]
        return picked.service

    def _model(self, call: _Call) -> configuration.Model | None:
        service, name = call.key
        if self._configuration is None or name is None:
            return None
        known = self._configuration.services.get(service)
        if known is None or known.engine is None:
            return None
        return known.engine.models.get(name)

    def _budget(self, service: ids.ServiceName) -> retrybudget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retrybudget.RetryBudget(
                self._limits.retry_ratio,
                self._limits.retry_slack,
                self._limits.retry_window,
            )
            self._budgets[service] = budget
        budget.share_among(self._fleet.count_instances())
        return budget

    # ---- Placing

    def _place(
        self, call: _Call, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Sends a request now, lets it wait, or refuses it."""
        if now < call.not_before:
            self._wait(call)
            heapq.heappush(self._timers, (call.not_before, call.token))
            return []
        one = self._find_target(call, now)
        if one is None:
            refused = self._refuse_hopeless(call, now)
            if refused is not None:
                return refused
            call.judged = self._describe_wait(call, now)
            self._wait(call)
            self._note_wait(call)
            return []
        return self._go_to(call, one, now)

    def _find_target(
        self, call: _Call, now: datetime.timedelta
    ) -> targets.Description | None:
        _, model = call.key
        fleet = self._fleet
        open_ones = [
            one
            for one in self._present(call, now)
            if one.target not in call.ran_on
            and not fleet.is_full(one.target, now)
            and fleet.estimate_load(one.target) < self._limit(one, model)
            and not one.is_draining
        ]
        # A target that just failed is better than none.
        chosen = [
            one for one in open_ones if one.target not in call.avoided
        ] or open_ones
        adapter = call.head.adapter
        if model is None or adapter is None:
            return self._choose(chosen, frozenset(), now)
        with_adapter = frozenset(
            one.target
            for one in chosen
            if fleet.get_adapter_ready_at(one, model, adapter, now) is not None
        )
        if not with_adapter:
            # All instances bring an adapter to the same target. One that loads
            # a model, or has no holder, gets no order for an adapter.
            return min(
                chosen,
                key=lambda one: (
                    max(
                        fleet.get_next_order_at(one, now)
                        or datetime.timedelta.max,
                        now + BUSY_GRACE,
                    ),
                    fleet_module.hash_pair(adapter, one.target),
                ),
                default=None,
            )
        return self._choose(chosen, with_adapter, now)

    def _present(
        self, call: _Call, now: datetime.timedelta
    ) -> list[targets.Description]:
        """Returns the targets that take a request, whether full or not."""
        service, model = call.key
        if model is None:
            return self._fleet.list_usable_targets(service, now)
        return self._fleet.list_replicas(service, model, now)

    def _limit(
        self, one: targets.Description, model: ids.ModelName | None
    ) -> float:
        factor = PLAIN_LIMIT if model is None else ENGINE_LIMIT
        return max(1.0, one.slots * factor)

    def _go_to(
        self, call: _Call, one: targets.Description, now: datetime.timedelta
    ) -> list[requests.Action]:
        self._queues.remove(call.key, call.place)
        call.target = one
        adapter, model = call.head.adapter, call.head.model
        if adapter is None or model is None:
            return self._send(call, now)
        ready = self._fleet.get_adapter_ready_at(one, model, adapter, now)
        if ready is not None and ready <= now:
            return self._send(call, now)
        if ready is None:
            refused = self._refuse_without_adapter(call, one, now)
            if refused is not None:
                return refused
        call.phase = _Phase.ADAPTER
        call.adapter_by = now + ADAPTER_WAIT
        self._wishes.add_adapter_demand(call.token, one.target, model, adapter)
        wake_at = call.adapter_by if ready is None else ready
        heapq.heappush(self._timers, (wake_at, call.token))
        return []

    def _refuse_without_adapter(
        self, call: _Call, one: targets.Description, now: datetime.timedelta
    ) -> list[requests.Action] | None:
        """Refuses a request whose adapter cannot be ordered in time."""
        free_at = self._fleet.get_next_order_at(one, now)
        call.judged = {
            "target": one.target,
            "zone": one.availability_zone,
            "expected_ms": (
                None
                if free_at is None
                else _milliseconds(free_at - call.arrived)
            ),
            "allowed_ms": _milliseconds(call.start_by - call.arrived),
        }
        if free_at is None:
            # Another instance may be about to take over the zone.
            if now < call.arrived + UNKNOWN_WAIT:
                return None
            return self._give_up(call, "no_holder", now)
        if free_at <= call.start_by - patience.ANSWER_MARGIN:
            return None
        return self._give_up(call, "too_late", now, free_at - now)

    def _try_adapter(
        self, call: _Call, now: datetime.timedelta
    ) -> list[requests.Action]:
        assert call.target is not None
        assert call.head.model is not None and call.head.adapter is not None
        current = self._fleet.directory.get(call.target.target)
        stays = current is not None and not current.is_draining
        ready = None
        if current is not None and stays:
            ready = self._fleet.get_adapter_ready_at(
                current, call.head.model, call.head.adapter, now
            )
        if ready is not None and ready <= now:
            self._wishes.remove_adapter_demand(call.token)
            return self._send(call, now)
        if ready is not None and ready < call.adapter_by:
            heapq.heappush(self._timers, (ready, call.token))
            return []
        if stays and now < call.adapter_by:
            return []
        self._wishes.remove_adapter_demand(call.token)
        call.avoided.add(call.target.target)
        call.target = None
        call.phase = _Phase.WAITING
        return self._place(call, now)

    def _send(
        self, call: _Call, now: datetime.timedelta
    ) -> list[requests.Action]:
        one = call.target
        assert one is not None
        route = call.route
        if call.reached_a_target and not self._budget(call.key[0]).try_spend(
            now
        ):
            return self._give_up(call, "retry_budget", now)
        if call.sends >= MAX_SENDS:
            return self._give_up(call, "too_many_tries", now)
        call.sends += 1
        call.phase = _Phase.SENT
        call.sent_at = now
        self._fleet.count_request(
            one.target, call.head.model, call.head.adapter, 1
        )
        self._wishes.record_running_change(is_last_awaited=False)
        may_repeat = self._may_run_again(call, one, now)
        first_by = patience.first_part_by(
            route,
            self._fleet.health.latency(one.target),
            may_repeat,
            now,
            call.due,
        )
        self._note_send(call, one, now)
        return [
            requests.Send(
                call.token,
                one.target,
                one.address,
                call.due,
                first_by,
                patience.longest_gap(route, may_repeat),
                not route.repeatable,
                route.kind is configuration.Kind.STREAM,
                call.last_event,
                min(9, route.priority) if call.head.model else None,
            )
        ]

    def _may_run_again(
        self, call: _Call, one: targets.Description, now: datetime.timedelta
    ) -> bool:
        """Whether another target could run the request after this one."""
        if not call.route.repeatable:
            return False
        if len(call.ran_on) + 1 >= call.route.attempts:
            return False
        service, model = call.key
        if model is None:
            others = self._fleet.list_usable_targets(service, now)
        else:
            others = self._fleet.list_replicas(service, model, now)
        return any(
            other.target != one.target and other.target not in call.ran_on
            for other in others
        )

    def _wait(self, call: _Call) -> None:
        call.phase = _Phase.WAITING
        call.target = None
        self._queues.remove(call.key, call.place)
        self._queues.add(call.key, call.place)
        self._update_wish(call.key)

    def _update_wish(self, key: waiting.Key) -> None:
        service, model = key
        if model is None:
            return
        self._wishes.set_waiting_requests(
            service,
            model,
            [
                call.arrived + call.route.aim
                for place in self._queues.of(key)
                if (call := self._calls[place.token])
            ],
        )

    def _pump(
        self, key: waiting.Key, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Sends what waits for a key, in order, as far as there is room."""
        actions: list[requests.Action] = []
        for place in self._queues.of(key):
            call = self._calls[place.token]
            if now < call.not_before:
                continue
            one = self._find_target(call, now)
            if one is None:
                if not call.ran_on:
                    break
                continue
            actions += self._go_to(call, one, now)
        self._update_wish(key)
        return actions

    # ---- Refusals

    def _expected(
        self, call: _Call, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when a request that waits is expected to start."""
        service, name = call.key
        fleet = self._fleet
        present = self._present(call, now)
        if present:
            return now + self._queue_time(call, present)
        if name is None:
            return None
        planned = fleet.get_model_ready_at(service, name, now)
        if planned is not None:
            return planned
        spec = self._model(call)
        offers = fleet.estimate_zones(service, spec, now) if spec else []
        return offers[0].ready_at if offers else None

    def _describe_wait(
        self, call: _Call, now: datetime.timedelta
    ) -> dict[str, Any]:
        """Returns what decides whether a request waits, for the log."""
        service, name = call.key
        expected = self._expected(call, now)
        limit = call.start_by - patience.ANSWER_MARGIN
        places = {"usable": len(self._fleet.list_usable_targets(service, now))}
        if name is not None:
            places["serving"] = len(self._present(call, now))
        return {
            "expected_ms": (
                None
                if expected is None
                else _milliseconds(expected - call.arrived)
            ),
            "allowed_ms": _milliseconds(limit - call.arrived),
            "queued": self._queues.length(call.key),
            "places": places,
        }

    def _queue_time(
        self, call: _Call, present: Iterable[targets.Description]
    ) -> datetime.timedelta:
        ahead = 0
        for place in self._queues.of(call.key):
            if place >= call.place:
                break
            ahead += 1
        seconds = self._service_times.get(call.key, 0.0)
        slots = sum(max(1, one.slots) for one in present)
        return datetime.timedelta(seconds=ahead * seconds / slots)

    def _refuse_hopeless(
        self, call: _Call, now: datetime.timedelta
    ) -> list[requests.Action] | None:
        """Refuses a request that nothing can start in time."""
        expected = self._expected(call, now)
        limit = call.start_by - patience.ANSWER_MARGIN
        if expected is None:
            if now < min(limit, call.arrived + UNKNOWN_WAIT):
                return None
            call.judged = self._describe_wait(call, now)
            return self._give_up(call, "no_target", now)
        if expected <= limit and now < limit:
            return None
        call.judged = self._describe_wait(call, now)
        return self._give_up(call, "too_late", now, expected - now)

    def _give_up(
        self,
        call: _Call,
        reason: str,
        now: datetime.timedelta,
        retry_after: datetime.timedelta | None = None,
    ) -> list[requests.Action]:
        """Gives the final answer that is honest after what has happened."""
        if call.gone or call.started:
            return self._abort(call, reason, now)
        if call.holds_answer:
            self._finish(call, now)
            self._note_end(call, "relayed", reason, now)
            return [requests.Relay(call.token)]
        if retry_after is None or retry_after <= _ZERO:
            retry_after = UNKNOWN_RETRY
        return self._refuse(call, reason, retry_after, now)

    def _refuse(
        self,
        call: _Call,
        reason: str,
        retry_after: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        self._finish(call, now)
        if call.gone:
            return [requests.Abort(call.token)]
        ran = call.may_have_run
        late = now >= call.due - patience.ANSWER_MARGIN
        status = 503
        if ran and not call.route.repeatable:
            status = 504 if late else 502
        if reason == "unknown_model":
            status = 404
        self._note_end(call, f"refused {status}", reason, now)
        return [
            requests.Refuse(
                call.token,
                status,
                reason,
                retry_after if status == 503 else None,
                ran,
            )
        ]

    def _abort(
        self, call: _Call, reason: str, now: datetime.timedelta
    ) -> list[requests.Action]:
        self._finish(call, now)
        self._note_end(call, "aborted", reason, now)
        return [requests.Abort(call.token)]

    def _finish(self, call: _Call, now: datetime.timedelta) -> None:
        """Takes a request out of everything but the table of requests."""
        if call.phase is _Phase.SENT:
            self._leave_target(call)
        self._queues.remove(call.key, call.place)
        self._wishes.remove_adapter_demand(call.token)
        self._update_wish(call.key)
        call.phase = _Phase.FINISHED
        call.target = None

    def _leave_target(self, call: _Call) -> None:
        assert call.target is not None
        self._fleet.count_request(
            call.target.target, call.head.model, call.head.adapter, -1
        )
        self._wishes.record_running_change(
            is_last_awaited=call.head.model is not None
            and self._fleet.is_model_draining(
                call.target.target, call.head.model
            )
            and not self._fleet.has_own_requests(
                call.target.target, call.head.model
            )
        )
        call.phase = _Phase.WAITING

    # ---- Attempts

    def _first_part(
        self, event: requests.FirstPart, now: datetime.timedelta
    ) -> list[requests.Action]:
        call = self._calls.get(event.token)
        if call is None or call.phase is not _Phase.SENT:
            return []
        assert call.target is not None
        call.started = True
        call.first_part_at = now
        self._fleet.health.note_success(
            call.target.target, now - call.sent_at, now
        )
        return []

    def _attempt_ended(
        self, event: requests.AttemptEnded, now: datetime.timedelta
    ) -> list[requests.Action]:
        call = self._calls[event.token]
        one = call.target
        if call.phase is not _Phase.SENT or one is None:
            return []
        self._leave_target(call)
        call.longest_gap = max(call.longest_gap, event.longest_gap)
        if event.failure is None:
            return self._succeeded(call, one, event, now)
        call.failures.append(event.failure)
        call.holds_answer = event.holds_answer
        if event.last_event:
            call.last_event = event.last_event
        self._note_failure(call, one, event, now)
        self._judge(call, one, event, now)
        actions = self._after_failure(call, one, event.failure, now)
        return actions + self._pump_others(call, now)

    def _succeeded(
        self,
        call: _Call,
        one: targets.Description,
        event: requests.AttemptEnded,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        took = now - call.sent_at
        seconds = took.total_seconds()
        mean = self._service_times.get(call.key, seconds)
        self._service_times[call.key] = mean + SERVICE_TIME_WEIGHT * (
            seconds - mean
        )
        if event.status >= 500:
            self._fleet.health.note_failure(one.target, now, severe=False)
        elif not call.started:
            self._fleet.health.note_success(one.target, took, now)
        self._finish(call, now)
        self._note_end(call, f"answered {event.status}", "", now)
        return self._pump_others(call, now)

    def _pump_others(
        self, call: _Call, now: datetime.timedelta
    ) -> list[requests.Action]:
        """Gives a place that has become free to what waits."""
        if not self._queues.length(call.key):
            return []
        return self._pump(call.key, now)

    def _judge(
        self,
        call: _Call,
        one: targets.Description,
        event: requests.AttemptEnded,
        now: datetime.timedelta,
    ) -> None:
        """Records what a failure says about its target."""
        failure = event.failure
        fleet = self._fleet
        model = call.head.model
        if failure is requests.Failure.FULL:
            fleet.record_full(one.target, now)
        elif failure is requests.Failure.NOT_LOADED and model is not None:
            fleet.record_not_loaded(one.target, model, None, now)
            if call.head.adapter is not None:
                fleet.record_not_loaded(
                    one.target, model, call.head.adapter, now
                )
        elif failure in _SEVERE:
            # A target may close an idle connection at the moment at which it
            # is used again, which says nothing about the target.
            if not (event.reused and failure is requests.Failure.CUT):
                fleet.health.note_failure(one.target, now, severe=True)
        elif failure in _SLIGHT:
            fleet.health.note_failure(one.target, now, severe=False)

    def _after_failure(
        self,
        call: _Call,
        one: targets.Description,
        failure: requests.Failure,
        now: datetime.timedelta,
    ) -> list[requests.Action]:
        if call.gone or failure is requests.Failure.ABANDONED:
            call.gone = True
            return self._abort(call, "caller_gone", now)
        if failure is requests.Failure.STOPPED:
            return self._give_up(call, "stopping", now)
        if failure is requests.Failure.TIMEOUT or now >= call.due:
            return self._give_up(call, "timeout", now)
        if failure in requests.NOT_RUN:
            call.avoided.add(one.target)
            if failure is not requests.Failure.UNREACHABLE:
                call.not_before = now + RETRY_PAUSE
                call.avoided.discard(one.target)
            return self._place(call, now)
        call.ran_on.add(one.target)
        if not call.route.repeatable:
            return self._give_up(call, failure.value, now)
        if self._runs_used(call) >= call.route.attempts:
            return self._give_up(call, "attempts_used", now)
        if call.started and not call.last_event and call.head.model is None:
            return self._give_up(call, failure.value, now)
        if call.holds_answer and self._find_target(call, now) is None:
            # The caller need not wait for another target's answer.
            return self._give_up(call, failure.value, now)
        return self._place(call, now)

    def _runs_used(self, call: _Call) -> int:
        """Counts targets that may have run a request and are still there."""
        return sum(
            self._fleet.directory.get(target) is not None
            for target in call.ran_on
        )

    # ---- The caller

    def _caller_gone(
        self, event: requests.CallerGone, now: datetime.timedelta
    ) -> list[requests.Action]:
        call = self._calls.get(event.token)
        if call is None or call.phase is _Phase.FINISHED or call.gone:
            return []
        call.gone = True
        if call.phase is not _Phase.SENT:
            return self._abort(call, "caller_gone", now)
        if call.route.kind is configuration.Kind.UNSAFE:
            # It runs once anyway; stopping it halfway helps nobody.
            return []
        call.cancelled = True
        return [requests.Cancel(call.token, requests.Failure.ABANDONED)]

    def _ended(
        self, event: requests.Ended, now: datetime.timedelta
    ) -> list[requests.Action]:
        call = self._calls.pop(event.token, None)
        if call is None:
            return []
        if call.phase is not _Phase.FINISHED:
            # The shell failed in the middle of the request.
            self._finish(call, now)
            self._note_end(call, "aborted", "connection", now)
        return self._pump_others(call, now)

    # ---- Time

    def _review(self, now: datetime.timedelta) -> list[requests.Action]:
        """Ends what is over and refuses what has become hopeless."""
        actions: list[requests.Action] = []
        for call in list(self._calls.values()):
            if call.phase is _Phase.SENT:
                if now >= call.due and not call.cancelled:
                    call.cancelled = True
                    actions.append(
                        requests.Cancel(call.token, requests.Failure.TIMEOUT)
                    )
            elif call.phase is _Phase.WAITING:
                actions += self._refuse_hopeless(call, now) or []
        for key in self._queues.keys_with_requests():
            actions += self._pump(key, now)
        return actions

    # ---- Notes

    def _note_wait(self, call: _Call) -> None:
        self._notes.append(
            notes.Note(
                "waiting",
                {
                    "request": call.head.request_id,
                    "route": call.route.name,
                    "model": call.head.model,
                    **call.judged,
                    "configuration": call.version,
                },
            )
        )

    def _note_send(
        self, call: _Call, one: targets.Description, now: datetime.timedelta
    ) -> None:
        self._notes.append(
            notes.Note(
                "sent",
                {
                    "request": call.head.request_id,
                    "try": call.sends,
                    "target": one.target,
                    "load": self._fleet.estimate_load(one.target),
                    "model": call.head.model,
                    "adapter": call.head.adapter,
                    "waited_ms": _milliseconds(now - call.arrived),
                    "resume_after": call.last_event or None,
                    "configuration": call.version,
                },
            )
        )

    def _note_failure(
        self,
        call: _Call,
        one: targets.Description,
        event: requests.AttemptEnded,
        now: datetime.timedelta,
    ) -> None:
        assert event.failure is not None
        self._notes.append(
            notes.Note(
                "attempt_failed",
                {
                    "request": call.head.request_id,
                    "try": call.sends,
                    "target": one.target,
                    "failure": event.failure.value,
                    "status": event.status,
                    "took_ms": _milliseconds(now - call.sent_at),
                    "started": call.started,
                },
            )
        )

    def _note_end(
        self,
        call: _Call,
        outcome: str,
        reason: str,
        now: datetime.timedelta,
    ) -> None:
        self._notes.append(
            notes.Note(
                "request",
                {
                    "request": call.head.request_id,
                    "outcome": outcome,
                    "reason": reason,
                    "route": call.route.name,
                    "model": call.head.model,
                    "adapter": call.head.adapter,
                    "tries": call.sends,
                    "failures": [one.value for one in call.failures],
                    "first_part_ms": (
                        None
                        if call.first_part_at is None
                        else _milliseconds(call.first_part_at - call.arrived)
                    ),
                    "longest_gap_ms": _milliseconds(call.longest_gap),
                    "took_ms": _milliseconds(now - call.arrived),
                    "configuration": call.version,
                    **(call.judged if reason in _JUDGED else {}),
                },
            )
        )

    def dump(self, now: datetime.timedelta) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "configuration": (
                self._configuration.version if self._configuration else None
            ),
            "requests": [
                {
                    "request": call.head.request_id,
                    "route": call.route.name,
                    "model": call.head.model,
                    "phase": call.phase.value,
                    "target": call.target.target if call.target else None,
                    "age_s": (now - call.arrived).total_seconds(),
                    "failures": [one.value for one in call.failures],
                }
                for call in self._calls.values()
            ],
            "waiting": {
                f"{service}/{model or ''}": self._queues.length(
                    (service, model)
                )
                for service, model in self._queues.keys_with_requests()
            },
            "retry_tokens": {
                service: budget.tokens
                for service, budget in self._budgets.items()
            },
        }


_SEVERE = frozenset(
    {
        requests.Failure.UNREACHABLE,
        requests.Failure.SILENT,
        requests.Failure.CUT,
        requests.Failure.OTHER_TARGET,
    }
)
_SLIGHT = frozenset(
    {
        requests.Failure.ERROR,
        requests.Failure.MALFORMED,
        requests.Failure.MISMATCH,
    }
)

_HANDLERS: dict[type, Callable[..., list[requests.Action]]] = {
    requests.Arrived: Gateway._arrived,
    requests.FirstPart: Gateway._first_part,
    requests.AttemptEnded: Gateway._attempt_ended,
    requests.CallerGone: Gateway._caller_gone,
    requests.Ended: Gateway._ended,
}


def _milliseconds(duration: datetime.timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
