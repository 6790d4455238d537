"""A day of a deployment on an emulated clock."""

from collections.abc import Callable
import dataclasses
import datetime
import math
import random
from typing import Any

from quetzalgauge import ids
from quetzalgauge.core import election
from quetzalgauge.core import gateway
from quetzalgauge.core import log_events
from quetzalgauge.core import node
from quetzalgauge.core import orders
from quetzalgauge.core import placement
from quetzalgauge.core import requests
from quetzalgauge.core import targets
from quetzalgauge.emulation import deployments
from quetzalgauge.emulation import engines as engines_module
from quetzalgauge.emulation import world as world_module

HOP_S = 0.0015
STORE_S = 0.006
ORDER_S = 0.003
REGISTER_S = 1.0
EAGER_REGISTER_S = 0.25
EAGER_S = 5.0
LEASE = datetime.timedelta(seconds=3)
CALLER_RETRIES = 1
SILENCE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Shift:
    """The demand for busy models moves on by one place."""

    at: float
    lasts: float


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A kind of request comes more often."""

    at: float
    lasts: float
    kind: str
    times: float


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """All instances of a zone end, and nobody replaces them."""

    at: float
    zone: int


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """What happens on an emulated day; times from the first request."""

    length: float = 34.0
    shifts: tuple[Shift, ...] = ()
    bursts: tuple[Burst, ...] = ()
    losses: tuple[Loss, ...] = ()


STANDARD = Day(
    34.0,
    (Shift(1.0, 6.0), Shift(21.0, 4.0), Shift(26.0, 4.0)),
    (Burst(9.0, 6.0, "history", 2.2),),
)


@dataclasses.dataclass(slots=True)
class Tally:
    """Outcomes of one kind of request."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    owed: float = 0.0
    earned: float = 0.0
    first_parts: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Result:
    """What a day was worth."""

    tallies: dict[str, Tally]
    zones: dict[str, Tally]
    orders: int
    store_loads: int
    rejected: int
    busy_share: float
    notes: list[tuple[float, str, log_events.LogEvent]]

    @property
    def worth(self) -> float:
        """Earned worth as a share of what was owed."""
        owed = sum(one.owed for one in self.tallies.values())
        return sum(one.earned for one in self.tallies.values()) / owed


class _Instance:
    """A node and what carries out its actions."""

    def __init__(
        self, day: "_Run", number: int, zone: ids.AvailabilityZone
    ) -> None:
        self._day = day
        self._world = day.world
        self.name = ids.InstanceId(f"qg-{number}")
        self.zone = zone
        self.address = f"10.0.0.{number}:1"
        self.node = node.Node(
            node.Identity(self.name, self.name, zone, self.address),
            gateway.Limits(400, 0.2, 52.0, datetime.timedelta(seconds=10)),
            LEASE,
            random.Random(self._world.draw.random()),
            self._world.now,
            day.choose,
        )
        self._links: dict[ids.AvailabilityZone, _Instance] = {}
        self._numbers: dict[int, tuple[_Instance, ids.AvailabilityZone]] = {}
        self._tick_at = math.inf
        self.is_lost = False
        self.calls: dict[int, _Call] = {}

    def end(self) -> None:
        """Ends the process: its connections close."""
        self.is_lost = True
        for call in list(self.calls.values()):
            call.lose()
        for zone, other in self._links.items():
            number = self._day.link_numbers[(self.name, zone)]
            self._world.after(HOP_S, _bind(other.tell, node.LinkClosed(number)))
        for other in self._day.instances:
            if other._links.get(self.zone) is self:
                self._world.after(
                    HOP_S, _bind(other.tell, node.LinkClosed(self.zone))
                )

    def tell(self, event: Any) -> None:
        """Gives the node an event and carries out its actions."""
        if self.is_lost:
            return
        now = self._world.now
        for action in self.node.handle_event(event, now):
            self._carry_out(action)
        for note in self.node.take_log_events():
            self._day.notes.append((self._world.seconds, self.name, note))
        due = max(
            self.node.next_wakeup_at.total_seconds(),
            self._world.seconds + 0.0005,
        )
        due = min(due, self._world.seconds + 0.25)
        if due < self._tick_at - 1e-9:
            self._tick_at = due
            self._world.at(due, lambda: self._tick(due))

    def _tick(self, due: float) -> None:
        if due != self._tick_at:
            return
        self._tick_at = math.inf
        self.tell(node.Tick())

    def _carry_out(self, action: Any) -> None:
        match action:
            case node.SetLeaderLink():
                self._link_to(action)
            case node.SendMessage():
                self._send(action)
            case orders.SendOrder():
                self._world.after(ORDER_S / 2, lambda: self._give(action))
            case orders.FetchStatus():
                self._world.after(ORDER_S, lambda: self._ask(action))
            case (
                election.Join()
                | election.Leave()
                | election.ReadOwner()
                | election.ReadRecord()
                | election.WriteRecord()
                | election.Release()
            ):
                self._world.after(
                    STORE_S, lambda: self.tell(self._day.seats.call(action))
                )
            case _:
                call = self.calls.get(action.local_id)
                if call is not None:
                    call.carry_out(action)

    def _link_to(self, action: node.SetLeaderLink) -> None:
        self._links.pop(action.zone, None)
        if action.address is None:
            return
        other = self._day.by_address[action.address]
        self._links[action.zone] = other
        number = self._day.next_link()
        other._numbers[number] = (self, action.zone)
        self._day.link_numbers[(self.name, action.zone)] = number
        self._world.after(
            HOP_S, lambda: self.tell(node.LinkOpened(action.zone))
        )

    def _send(self, action: node.SendMessage) -> None:
        if isinstance(action.link, int):
            peer, zone = self._numbers[action.link]
            self._world.after(
                HOP_S,
                lambda: peer.tell(node.MessageReceived(zone, action.message)),
            )
            return
        other = self._links.get(action.link)
        if other is None:
            return
        number = self._day.link_numbers[(self.name, action.link)]
        self._world.after(
            HOP_S,
            lambda: other.tell(node.MessageReceived(number, action.message)),
        )

    def _give(self, action: orders.SendOrder) -> None:
        engine = self._day.engines[action.order.target]
        answer = engine.take_order(action.order)
        self._day.order_count += 1
        self._world.after(
            ORDER_S / 2,
            lambda: self.tell(orders.OrderResult(action.order, answer)),
        )

    def _ask(self, action: orders.FetchStatus) -> None:
        engine = self._day.engines[action.target]
        self.tell(
            orders.StatusResult(
                action.target, 1, engine.report(), self._world.now
            )
        )


class _Seats:
    """The store's groups and records of holders."""

    def __init__(self, day: "_Run") -> None:
        self._day = day
        self._owners: dict[ids.AvailabilityZone, str] = {}
        self.records: dict[ids.AvailabilityZone, election.LeaderRecord] = {}

    def call(self, action: election.Action) -> election.Event:
        now = self._day.world.now
        match action:
            case election.Join():
                owner = self._owners.setdefault(
                    action.availability_zone, action.machine
                )
                return election.JoinResult(now, 1, owner == action.machine)
            case election.ReadOwner():
                return election.ReadOwnerResult(
                    self._owners.get(action.availability_zone)
                )
            case election.ReadRecord():
                return election.ReadRecordResult(
                    self.records.get(action.availability_zone)
                )
            case election.WriteRecord():
                zone = action.record.availability_zone
                self.records[zone] = action.record
                self._day.tell_holders()
                return election.WriteRecordResult(action.record)
        return election.LeaveResult()


class _Call:
    """One request of a caller, with its tries."""

    def __init__(
        self,
        day: "_Run",
        kind: deployments.RequestKind,
        zone: ids.AvailabilityZone,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
    ) -> None:
        self._day = day
        self._world = day.world
        self._kind = kind
        self._zone = zone
        self._model = model
        self._adapter = adapter
        draw = day.world.draw
        self._prompt = kind.prompt_tokens * draw.lognormvariate(-0.3, 0.8)
        self._output = kind.output_tokens * draw.lognormvariate(-0.25, 0.7)
        self._began = day.world.seconds
        self._tries = 0
        self._instance: _Instance | None = None
        self._token = 0
        self._run: engines_module.Run | None = None
        self._engine: engines_module.Engine | None = None
        self._started_at: float | None = None
        self._is_over = False

    def start(self) -> None:
        """Sends the request, or sends it again."""
        if self._is_over:
            return
        self._tries += 1
        well = [one for one in self._day.instances if not one.is_lost]
        choices = [one for one in well if one.zone == self._zone] or well
        self._instance = self._world.draw.choice(choices)
        self._token = self._day.next_token()
        self._instance.calls[self._token] = self
        left = self._kind.timeout_s - (self._world.seconds - self._began)
        head = requests.Head(
            ids.RequestId(str(self._token)),
            "site.example",
            f"/{self._kind.name}/x",
            datetime.timedelta(seconds=left),
            self._model,
            self._adapter,
        )
        token = self._token
        silence = max(SILENCE_S, 4 * self._kind.aim_s)
        self._world.after(silence, lambda: self._give_up(token))
        self._instance.tell(requests.RequestArrived(self._token, head))

    def _give_up(self, token: int) -> None:
        if self._is_over or token != self._token or self._started_at:
            return
        assert self._instance is not None
        self._instance.tell(requests.CallerDisconnected(token))
        self._finish("late")

    def carry_out(self, action: requests.Action) -> None:
        """Carries out an action of the node."""
        match action:
            case requests.Send():
                self._world.after(HOP_S, lambda: self._submit(action))
            case requests.CancelAttempt():
                self._cancel(action.failure)
            case requests.Refuse():
                self._refused(action)
            case requests.Abort():
                self._end_try()
                if not self._is_over:
                    self._finish("refused")

    def _submit(self, send: requests.Send) -> None:
        if self._is_over:
            return
        self._engine = self._day.engines[send.target]
        run = engines_module.Run(
            self._model,
            self._adapter,
            self._prompt,
            self._output,
            self._first,
            self._ended,
        )
        self._run = run
        failure = self._engine.submit(run)
        if failure is not None:
            self._run = None
            self._day.rejected += 1
            self._tell_end(failure)

    def lose(self) -> None:
        """The connection to the instance closes."""
        if self._run is not None and self._engine is not None:
            self._engine.cancel(self._run)
            self._run = None
        self._finish("refused")

    def _cancel(self, failure: requests.Failure) -> None:
        if self._run is not None and self._engine is not None:
            self._engine.cancel(self._run)
            self._run = None
        self._tell_end(failure)

    def _first(self) -> None:
        if self._started_at is None:
            self._started_at = self._world.seconds
        assert self._instance is not None
        self._instance.tell(requests.ResponseStarted(self._token))

    def _ended(self, failure: requests.Failure | None) -> None:
        self._run = None
        if failure is not None:
            self._tell_end(failure)
            return
        assert self._instance is not None
        self._instance.tell(requests.AttemptEnded(self._token, None, 200))
        self._end_try()
        self._finish("served")

    def _tell_end(self, failure: requests.Failure) -> None:
        assert self._instance is not None
        instance, token = self._instance, self._token
        self._world.after(
            HOP_S,
            lambda: instance.tell(requests.AttemptEnded(token, failure)),
        )

    def _refused(self, action: requests.Refuse) -> None:
        self._end_try()
        if self._is_over:
            return
        left = self._kind.timeout_s - (self._world.seconds - self._began)
        if action.status == 503 and self._tries <= CALLER_RETRIES:
            wait = action.retry_after or datetime.timedelta()
            self._world.after(min(wait.total_seconds(), left / 3), self.start)
            return
        self._finish("refused")

    def _end_try(self) -> None:
        assert self._instance is not None
        self._instance.calls.pop(self._token, None)
        instance, token = self._instance, self._token
        self._world.after(
            0.0, lambda: instance.tell(requests.RequestEnded(token))
        )

    def _finish(self, outcome: str) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self._instance is not None:
            self._instance.calls.pop(self._token, None)
        size = 0.3 + 0.7 * self._output / self._kind.output_tokens
        worth = min(4.0, size) * self._kind.worth
        wait = None
        if outcome == "served" and self._started_at is not None:
            wait = self._started_at - self._began
        for tally in self._day.tallies_of(self._kind.name, self._zone):
            tally.asked += 1
            tally.owed += worth
            if wait is None:
                tally.refused += 1
            elif wait <= self._kind.aim_s:
                tally.in_time += 1
                tally.earned += worth
                tally.first_parts.append(wait)
            else:
                tally.late += 1
                tally.earned += worth * self._kind.late_worth / self._kind.worth
                tally.first_parts.append(wait)


class _Run:
    def __init__(
        self,
        deployment: deployments.Deployment,
        day: Day,
        seed: int,
        choose: placement.PlacementPolicy,
    ) -> None:
        self.choose = choose
        self.world = world_module.World(seed)
        self.deployment = deployment
        self._day = day
        self.models = deployments.draw_models(deployment, self.world.draw)
        self.by_name = {one.spec.name: one for one in self.models}
        self.config = deployments.make_configuration(deployment, self.models)
        store = engines_module.WeightStore(self.world, deployment.store_at_once)
        self.store = store
        self.engines: dict[ids.TargetId, engines_module.Engine] = {}
        self.instances: list[_Instance] = []
        self.notes: list[tuple[float, str, log_events.LogEvent]] = []
        self.seats = _Seats(self)
        self.link_numbers: dict[tuple[str, ids.AvailabilityZone], int] = {}
        self._links = 0
        self._tokens = 0
        self.order_count = 0
        self.rejected = 0
        self.tallies: dict[str, Tally] = {}
        self.zone_tallies: dict[str, Tally] = {}
        names = [one.spec.name for one in self.models if one.is_busy]
        self._busy_order = names[: deployment.busy_now]
        rest = names[deployment.busy_now :]
        self.world.draw.shuffle(rest)
        self._busy_order += rest
        self._zones = []
        number = 0
        for index, (instances, engines) in enumerate(deployment.zones):
            zone = ids.AvailabilityZone(f"zone-{index}")
            self._zones.append(zone)
            for _ in range(instances):
                number += 1
                self.instances.append(_Instance(self, number, zone))
            for _ in range(engines):
                target = ids.TargetId(f"t{len(self.engines)}")
                self.engines[target] = engines_module.Engine(
                    self.world, store, deployment, self.by_name, target, zone
                )
        self.by_address = {one.address: one for one in self.instances}

    def next_link(self) -> int:
        self._links += 1
        return self._links

    def next_token(self) -> int:
        self._tokens += 1
        return self._tokens

    def tallies_of(self, kind: str, zone: str) -> list[Tally]:
        return [
            self.tallies.setdefault(kind, Tally()),
            self.zone_tallies.setdefault(zone, Tally()),
        ]

    def tell_holders(self) -> None:
        records = tuple(self.seats.records.values())
        for one in self.instances:
            self.world.after(
                STORE_S,
                _bind(one.tell, node.LeaderRecordsRead(records)),
            )

    def run(self) -> Result:
        engines_module.place_at_start(
            self.deployment,
            self.models,
            list(self.engines.values()),
            self._busy_order,
            self.world,
        )
        for one in self.instances:
            one.tell(node.LeaderRecordsRead(()))
            one.tell(node.ConfigurationRead(self.config))
            self._read_register(one, {})
        lead = self.deployment.lead_s
        for loss in self._day.losses:
            self.world.at(lead + loss.at, _bind(self._lose_zone, loss.zone))
        for kind in self.deployment.requests:
            for index, zone in enumerate(self._zones):
                self.world.at(lead, self._make_arrivals(kind, zone, index))
        self.world.run_until(lead + self._day.length + 20.0)
        elapsed = self.world.seconds * len(self.engines)
        busy = sum(one.busy_s for one in self.engines.values())
        return Result(
            self.tallies,
            self.zone_tallies,
            self.order_count,
            self.store.loads,
            self.rejected,
            busy / elapsed,
            self.notes,
        )

    def _lose_zone(self, index: int) -> None:
        for one in self.instances:
            if one.zone == self._zones[index]:
                one.end()

    def _read_register(
        self,
        one: _Instance,
        seen: dict[ids.TargetId, targets.Description],
    ) -> None:
        current = {
            engine.target: engine.describe() for engine in self.engines.values()
        }
        changed = tuple(
            description
            for target, description in current.items()
            if seen.get(target) != description
        )
        if changed:
            one.tell(targets.RegistryUpdated(changed, complete=not seen))
        eager = self.world.seconds < EAGER_S
        self.world.after(
            EAGER_REGISTER_S if eager else REGISTER_S,
            lambda: self._read_register(one, current),
        )

    def _make_arrivals(
        self,
        kind: deployments.RequestKind,
        zone: ids.AvailabilityZone,
        index: int,
    ) -> Callable[[], None]:
        share = (0.33, 0.29, 0.38, 0.25)[index]
        total = sum((0.33, 0.29, 0.38, 0.25)[: len(self._zones)])
        base = kind.per_s * share / total

        def arrive() -> None:
            elapsed = self.world.seconds - self.deployment.lead_s
            if elapsed > self._day.length:
                return
            rate = base
            for burst in self._day.bursts:
                if (
                    burst.kind == kind.name
                    and burst.at <= elapsed < burst.at + burst.lasts
                ):
                    rate *= burst.times
            self.world.after(self.world.draw.expovariate(rate), arrive)
            model, adapter = self._draw_model(kind, elapsed)
            _Call(self, kind, zone, model, adapter).start()

        return arrive

    def _draw_model(
        self, kind: deployments.RequestKind, elapsed: float
    ) -> tuple[ids.ModelName, ids.AdapterName | None]:
        draw = self.world.draw
        if not kind.busy:
            rare = [one for one in self.models if not one.is_busy]
            return draw.choice(rare).spec.name, None
        shift = 0
        for one in self._day.shifts:
            done = min(1.0, max(0.0, (elapsed - one.at) / one.lasts))
            shift += draw.random() < done
        place = draw.choices(
            range(self.deployment.busy_now),
            [
                1.0 / (1 + rank) ** 0.9
                for rank in range(self.deployment.busy_now)
            ],
        )[0]
        order = self._busy_order
        name = order[(place + shift) % len(order)]
        count = self.by_name[name].spec.adapter_count
        adapter = None
        if count and draw.random() < kind.adapter_share:
            number = min(count, 1 + int(count * draw.random() ** 1.3))
            adapter = ids.AdapterName(f"a{number}")
        return name, adapter


def run_day(
    deployment: deployments.Deployment,
    day: Day,
    seed: int,
    choose: placement.PlacementPolicy = placement.choose_placement,
) -> Result:
    """Emulates a day and returns its outcome.

    Args:
        deployment: The deployment.
        day: What happens.
        seed: Seed of all that is drawn.
        choose: How holders choose loads.
    """
    return _Run(deployment, day, seed, choose).run()


def describe(result: Result) -> str:
    """Returns the outcome as a few lines of text."""
    lines = [
        f"worth {result.worth:.3f}, orders {result.orders},"
        f" store loads {result.store_loads}, rejected {result.rejected},"
        f" engines busy {result.busy_share:.2f}"
    ]
    for name, tally in result.tallies.items():
        lines.append(
            f"  {name:8} asked {tally.asked} in time {tally.in_time}"
            f" late {tally.late} refused {tally.refused}"
            f" worth {tally.earned / tally.owed:.3f}"
        )
    return "\n".join(lines)


def _bind(call: Callable[[Any], None], event: Any) -> Callable[[], None]:
    return lambda: call(event)
