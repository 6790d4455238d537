"""The entry core in a simulated world with random faults.

The world counts what may have run at targets and checks the invariants of
the design. Each check is shown to work by a run with its guard removed.
"""

import collections
import dataclasses
import datetime
import heapq
import random

import pytest

from quetzalgauge import admission
from quetzalgauge import calls
from quetzalgauge import gateway
from quetzalgauge import ids
from quetzalgauge import marks
from quetzalgauge import messages
from quetzalgauge import refusals
from quetzalgauge import retries
from quetzalgauge import routing

ZERO = datetime.timedelta()
TARGETS = ("lm-1", "lm-2", "lm-3")
SERVABLES = (
    routing.Servable(ids.ModelName("m"), ids.VersionName("v1")),
    routing.Servable(ids.ModelName("n"), ids.VersionName("v1")),
)
FAILURES = (
    # Sorted: the order of a set of enum members differs between runs.
    *sorted(retries.DECLINED, key=lambda failure: failure.value),
    retries.Failure.UNREACHABLE,
    retries.Failure.SILENT,
    retries.Failure.CUT,
    retries.Failure.MISMATCH,
    retries.Failure.ERROR,
)
# A call may end this long after its deadline: one tick and one event.
LATE = datetime.timedelta(milliseconds=120)


def seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


@dataclasses.dataclass
class Sent:
    """A call in the simulated world."""

    request: calls.Request
    arrived: datetime.timedelta
    sends: int = 0  # Attempts that may have run.
    answers: int = 0
    attempt: int = 0
    ended_at: datetime.timedelta | None = None


class World:
    """Random callers and targets around one gateway."""

    def __init__(self, seed: int, fault_rate: float = 0.3) -> None:
        self.random = random.Random(seed)
        self.fault_rate = fault_rate
        self.now = ZERO
        self.limits = gateway.Limits(6, 5, 60, seconds(1000))
        router = routing.make_router(
            ids.AvailabilityZone("a"), random.Random(seed + 1)
        )
        self.gateway = gateway.make_gateway(self.limits, router)
        self.calls: dict[int, Sent] = {}
        self.events: list = []
        self.order = 0
        self.violations: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.leaving: dict[str, datetime.timedelta] = {}
        self.running: collections.Counter = collections.Counter()
        self.slots: dict = {}
        self.stopped = False
        self.version = 0

    def schedule(self, after: float, event: object) -> None:
        self.order += 1
        at = self.now + seconds(after)
        heapq.heappush(self.events, (at, self.order, event))

    def run(self, count: int = 300, drain_at: float = 25.0) -> None:
        self.send_routes()
        for token in range(1, count + 1):
            self.schedule(self.random.uniform(0, 30), ("arrive", token))
        for number in range(25):
            self.schedule(number * 1.2, ("routes", 0))
        for number in range(1000):
            self.schedule(number * 0.05, calls.Tick())
        self.schedule(drain_at, calls.DrainRequested())
        while self.events:
            self.now, _, event = heapq.heappop(self.events)
            self.handle(event)
        for sent in self.calls.values():
            if sent.answers != 1:
                self.violations["answered once"] += 1
        if not self.stopped:
            self.violations["stops"] += 1

    def handle(self, event: object) -> None:
        if isinstance(event, tuple):
            kind, token = event[:2]
            if kind == "arrive":
                self.arrive(token)
            elif kind == "routes":
                self.send_routes()
            elif event[2] == self.calls[token].attempt:
                self.end_attempt(token, event[3])
            return
        self.step(event)

    def step(self, event: object) -> None:
        for action in self.gateway.step(event, self.now):
            self.carry_out(action)
        queues = self.gateway._queues
        if any(len(one) > self.limits.queue_limit for one in queues.values()):
            self.violations["queue bound"] += 1

    def arrive(self, token: int) -> None:
        chance = self.random.random
        plain = chance() < 0.3
        key = None
        if chance() < 0.2:
            key = ids.KeyHash(self.random.randrange(20))
        request = calls.Request(
            ids.RequestId(f"r-{token}"),
            calls.Kind.PLAIN if plain else calls.Kind.COMPLETION,
            "desk" if plain else self.random.choice(["m", "n", "loft"]),
            not plain and key is None and chance() < 0.3,
            not plain or chance() < 0.5,
            self.random.choice([None, 0, 9]),
            self.now + seconds(self.random.choice([0.2, 2, 8])),
            key,
            f"digest-{token % 3}",
        )
        self.calls[token] = Sent(request, self.now)
        self.step(calls.Arrived(token, request))
        if chance() < 0.1:
            self.schedule(chance() * 3, calls.CallerGone(token))

    def send_routes(self) -> None:
        chance = self.random.random
        self.version += 1
        replicas, targets = [], []
        for target in TARGETS:
            unloading = chance() < 0.15
            for servable in SERVABLES:
                state = messages.ReplicaState.READY
                if unloading:
                    state = messages.ReplicaState.UNLOADING
                elif chance() < 0.2:
                    state = messages.ReplicaState.LOADING
                self.slots[(target, servable)] = 2
                replicas.append(
                    routing.Replica(
                        servable,
                        ids.TargetId(target),
                        f"{target}:1",
                        ids.AvailabilityZone("a" if target < "lm-3" else "b"),
                        state,
                        seconds(chance()),
                        2,
                    )
                )
            if unloading:
                self.leaving[target] = self.now + seconds(1.2)
            else:
                self.leaving.pop(target, None)
                targets.append(
                    routing.ServiceTarget(
                        ids.ServiceName("desk"),
                        ids.TargetId(target),
                        f"{target}:1",
                        ids.AvailabilityZone("a"),
                    )
                )
        models = {
            one.model: calls.Model(
                one.model, frozenset([one.version]), one.version, 5
            )
            for one in SERVABLES
        }
        self.step(
            calls.RoutesReceived(
                self.version,
                1,
                tuple(replicas),
                tuple(targets),
                True,
                models,
                {ids.AdapterName("loft"): ids.ModelName("m")},
                True,
            )
        )

    def carry_out(self, action: object) -> None:
        token = getattr(action, "token", 0)
        chance = self.random.random
        match action:
            case calls.Send():
                self.send(action)
            case calls.Open():
                self.check_target(action.target)
                if chance() < 0.2:
                    failure = retries.Failure.UNREACHABLE
                    self.schedule(0.01, calls.AttemptEnded(token, failure))
                else:
                    self.schedule(0.01, calls.Opened(token))
            case calls.ClaimKey():
                self.claim(action)
            case calls.EnsureAdapter():
                self.check_target(action.target)
                decided = calls.AdapterDecided(token, chance() < 0.7)
                self.schedule(0.01, decided)
            case calls.Refuse():
                self.check_refusal(token, action.refusal)
                self.end(token)
            case calls.Replay() | calls.Abandon():
                self.end(token)
            case calls.CancelAttempt():
                sent = self.calls[token]
                failed = ("attempt", token, sent.attempt, action.failure)
                self.schedule(0.001, failed)
            case calls.Stop():
                self.stopped = True
                if any(one.answers == 0 for one in self.calls.values()):
                    self.violations["drains"] += 1

    def claim(self, action: calls.ClaimKey) -> None:
        decision = self.random.choice(list(calls.KeyDecision))
        outcome = None
        if decision is calls.KeyDecision.STORED:
            outcome = calls.StoredOutcome(200, (), b"", "digest-1")
        self.schedule(0.02, calls.KeyDecided(action.token, decision, outcome))

    def check_target(self, target: str) -> None:
        if target in self.leaving:
            self.violations["leaving"] += 1

    def send(self, action: calls.Send) -> None:
        sent = self.calls[action.token]
        if not action.resume_after:
            # A resumed stream is no new work for its target.
            self.check_target(action.target)
        sent.attempt += 1
        if not sent.request.repeatable and not action.fresh:
            self.violations["fresh connection"] += 1
        failure = None
        if self.random.random() < self.fault_rate:
            failure = self.random.choice(FAILURES)
            if sent.request.kind is calls.Kind.PLAIN and (
                failure in retries.DECLINED
            ):
                failure = retries.Failure.CUT
        if failure not in retries.NOT_RUN:
            sent.sends += 1
            if sent.sends > 1 and not sent.request.repeatable:
                self.violations["at most once"] += 1
        if action.servable is not None:
            key = (action.target, action.servable)
            self.running[key] += 1
            if self.running[key] > self.slots[key]:
                self.violations["slots"] += 1
            sent.place = key  # type: ignore[attr-defined]
        took = self.random.choice([0.05, 0.5, 3.0])
        self.schedule(took, ("attempt", action.token, sent.attempt, failure))

    def end_attempt(self, token: int, failure: retries.Failure | None) -> None:
        sent = self.calls[token]
        sent.attempt += 1  # A later end of the same attempt is ignored.
        place = getattr(sent, "place", None)
        if place is not None and sent.request.kind is not calls.Kind.PLAIN:
            self.running[place] -= 1
        answered = sent.request.stream and failure in (
            retries.Failure.CUT,
            retries.Failure.SILENT,
        )
        if failure is retries.Failure.DRAINING and place is not None:
            self.leaving.setdefault(place[0], self.now)
        ended = calls.AttemptEnded(
            token, failure, answered, "7" if answered else ""
        )
        if failure is None:
            self.end(token)
        self.step(ended)

    def end(self, token: int) -> None:
        sent = self.calls[token]
        sent.answers += 1
        sent.ended_at = self.now
        if self.now > max(sent.request.deadline, sent.arrived) + LATE:
            self.violations["in time"] += 1
        self.schedule(0.001, calls.CallEnded(token))

    def check_refusal(self, token: int, refusal: refusals.Refusal) -> None:
        self.codes[refusal.code.value] += 1
        sent = self.calls[token]
        if refusal.run is refusals.Run.NOT_RUN and sent.sends:
            self.violations["not run"] += 1


@pytest.mark.parametrize("seed", range(40))
def test_invariants_hold_under_random_faults(seed):
    """Guards against each violation that the world checks."""
    world = World(seed)
    world.run()
    assert not world.violations
    assert world.gateway.in_progress == 0
    assert world.gateway.waiting == 0
    assert not world.gateway._in_flight
    assert not world.gateway._open_keys


def remove(owner: str, name: str, replacement: object):
    def patch(monkeypatch):
        modules = {
            "admission": admission,
            "gateway": gateway.Gateway,
            "marks": marks.Marks,
            "retries": retries,
            "drain": gateway.drain.Drain,
        }
        monkeypatch.setattr(modules[owner], name, replacement)

    return patch


def _finish_twice(self, event, now):
    return []


GUARDS = {
    "at most once": remove("retries", "may_retry", lambda failure, **_: True),
    "not run": remove(
        "retries", "run_after", lambda failures: refusals.Run.NOT_RUN
    ),
    "leaving": remove("marks", "excludes", lambda self, target: False),
    "in time": remove(
        "admission", "find_hopeless", lambda queue, loads, mean, now: []
    ),
    "queue bound": remove(
        "admission",
        "WaitingQueue",
        type(
            "Unbounded",
            (admission.WaitingQueue,),
            {"take_excess": lambda self, limit: []},
        ),
    ),
    "slots": remove("gateway", "_count", lambda self, call, change: None),
    "drains": remove(
        "drain",
        "update",
        lambda self, in_progress, now: (
            gateway.drain.State.RUNNING
            if self.accepts
            else gateway.drain.State.DONE
        ),
    ),
    "answered once": remove("gateway", "_pump", lambda self, servable, now: []),
}


@pytest.mark.parametrize("check", GUARDS)
def test_check_finds_the_violation_without_its_guard(check, monkeypatch):
    """Guards against a check of the world that can never fail."""
    GUARDS[check](monkeypatch)
    if check == "answered once":
        monkeypatch.setattr(admission, "find_hopeless", lambda *_: [])
    found = collections.Counter()
    for seed in range(8):
        world = World(seed)
        world.run()
        found += world.violations
    assert found[check]


def test_key_is_free_again_after_a_conflict_overlapped_its_request():
    """Guards against a key that stays in progress for ever.

    The call that was refused for a conflict was still ending when the owner
    of the key ended, and neither removed the key.
    """
    world = World(0)
    world.send_routes()
    key = ids.KeyHash(4)

    def arrive(token: int, digest: str) -> list:
        request = calls.Request(
            ids.RequestId(f"r-{token}"),
            calls.Kind.PLAIN,
            "desk",
            False,
            False,
            None,
            seconds(60),
            key,
            digest,
        )
        return world.gateway.step(calls.Arrived(token, request), ZERO)

    arrive(1, "digest-a")
    (refused,) = arrive(2, "digest-b")
    assert refused.refusal.code is refusals.Code.KEY_CONFLICT
    world.gateway.step(calls.CallEnded(1), ZERO)
    world.gateway.step(calls.CallEnded(2), ZERO)
    actions = arrive(3, "digest-a")
    assert not any(isinstance(one, calls.Refuse) for one in actions)


def _arrive_at_service(
    world: World, token: int, service: str, path: str
) -> list:
    request = calls.Request(
        ids.RequestId(f"r-{token}"),
        calls.Kind.PLAIN,
        service,
        False,
        False,
        None,
        seconds(60),
        path=path,
    )
    return world.gateway.step(calls.Arrived(token, request), ZERO)


def _publish_services(world: World, services: dict) -> None:
    world.send_routes()
    world.gateway.step(
        calls.RoutesReceived(
            world.version, 2, None, None, False, {}, {}, True, services
        ),
        ZERO,
    )


def test_repeatable_path_is_sent_again_and_others_are_not():
    """Guards against a ticket's repeatable_paths without effect."""
    cases = (("/standings", True), ("/standings/1", False), ("/book", False))
    for path, is_repeated in cases:
        world = World(0)
        _publish_services(world, {"desk": frozenset(["/standings"])})
        actions = _arrive_at_service(world, 1, "desk", path)
        if isinstance(actions[0], calls.Open):
            actions = world.gateway.step(calls.Opened(1), ZERO)
        assert isinstance(actions[0], calls.Send)
        ended = calls.AttemptEnded(1, retries.Failure.CUT)
        (after,) = world.gateway.step(ended, ZERO)
        assert isinstance(after, calls.Refuse) is not is_repeated


def test_service_without_targets_is_away_and_not_unknown():
    """Guards against 404 for a configured service whose targets are gone."""
    world = World(0)
    _publish_services(world, {"archive": frozenset()})
    (refused,) = _arrive_at_service(world, 1, "archive", "/")
    assert refused.refusal.code is refusals.Code.NO_TARGET
    (refused,) = _arrive_at_service(world, 2, "nowhere", "/")
    assert refused.refusal.code is refusals.Code.UNKNOWN_SERVICE
