"""Emulates a day of a deployment: callers, instances and failures.

The instances run the core of the system (`core.node.Node`); network, stores
and engines are emulated on the clock of an event loop.
"""

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
from quetzalgauge.core import version_records
from quetzalgauge.emulation import deployments
from quetzalgauge.emulation import election_store
from quetzalgauge.emulation import engines as engines_module
from quetzalgauge.emulation import event_loop
from quetzalgauge.emulation import version_store

NETWORK_LATENCY_S = 0.0015
STORE_LATENCY_S = 0.006
ORDER_LATENCY_S = 0.003
REGISTRY_POLL_S = 1.0
START_UP_REGISTRY_POLL_S = 0.25
START_UP_S = 5.0
PLATFORM_LEASE = datetime.timedelta(seconds=3)
MAX_CALLER_RETRIES = 1
# Relative arrival rate of the callers in each availability zone.
ZONE_SHARES = (0.33, 0.29, 0.38, 0.25, 0.3)
MIN_FIRST_BYTE_TIMEOUT_S = 2.0
# A crashed engine starts again, under a new id, after a time in this range.
RESTART_S = (3.0, 5.0)
# The registry entry of a crashed engine expires after this time.
ENTRY_TTL_S = 2.5
# The first prompt part of all requests.
SHARED_PROMPT_PART = ids.PromptPart("a0")


@dataclasses.dataclass(frozen=True, slots=True)
class PopularityShift:
    """A rotation of the popularity ranking of the hot models by one rank.

    Attributes:
        start_s: Start, in seconds from the first request.
        duration_s: Time over which requests gradually follow the new ranking.
    """

    start_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A period in which one kind of request arrives at a higher rate.

    Attributes:
        start_s: Start, in seconds from the first request.
        duration_s: Duration in seconds.
        request_kind: Name of the kind.
        rate_factor: Factor by which the arrival rate grows.
    """

    start_s: float
    duration_s: float
    request_kind: str
    rate_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLoss:
    """A loss of all instances of a zone, which are not replaced.

    The engines of the zone continue to run.

    Attributes:
        start_s: Time, in seconds from the first request.
        zone_index: Index of the zone.
    """

    start_s: float
    zone_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashingPart:
    """A prompt part on which engines crash, and the requests that have it.

    Attributes:
        start_s: Time of the first request, in seconds.
        part: The part.
        request_kind: Name of the kind of the requests.
        requests_per_s: Their mean arrival rate over all zones.
        model: The only model that crashes on it, None if all models do.
    """

    start_s: float
    part: ids.PromptPart
    request_kind: str
    requests_per_s: float
    model: ids.ModelName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Restoration:
    """The store comes back from an older copy of itself.

    Attributes:
        start_s: Time at which it goes away, in seconds from the first request.
        copy_age_s: Age of the copy in seconds.
        away_s: Seconds for which it is away.
    """

    start_s: float
    copy_age_s: float
    away_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Load changes and failures of an emulated day.

    Attributes:
        duration_s: Seconds from the first request to the last arrival.
        shifts: Changes of the popularity of models.
        bursts: Bursts of requests.
        instance_losses: Losses of all instances of a zone.
        crashing_parts: Prompt parts on which engines crash.
        engine_losses_s: Times at which all engines crash at once, in seconds
            from the first request.
        reports_target_ends: Whether instances notice at once that an engine
            ended, otherwise only from the registry.
        restorations: Times at which the store comes back from a copy.
    """

    duration_s: float = 34.0
    shifts: tuple[PopularityShift, ...] = ()
    bursts: tuple[Burst, ...] = ()
    instance_losses: tuple[InstanceLoss, ...] = ()
    crashing_parts: tuple[CrashingPart, ...] = ()
    engine_losses_s: tuple[float, ...] = ()
    reports_target_ends: bool = True
    restorations: tuple[Restoration, ...] = ()


STANDARD_DAY = Day(
    34.0,
    (
        PopularityShift(1.0, 6.0),
        PopularityShift(21.0, 4.0),
        PopularityShift(26.0, 4.0),
    ),
    (Burst(9.0, 6.0, "history", 2.2),),
)


@dataclasses.dataclass(slots=True)
class Tally:
    """Outcomes of the requests of one kind or of one availability zone.

    Attributes:
        request_count: Finished requests.
        in_time: Requests served within the target latency.
        late: Requests served after the target latency.
        refused: Requests that were refused, failed or timed out.
        possible_value: Value if all requests were served within the target
            latency.
        earned_value: Value of the responses, where a late one counts less.
        first_byte_times_s: Times from arrival to first byte, in seconds.
    """

    request_count: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    possible_value: float = 0.0
    earned_value: float = 0.0
    first_byte_times_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Result:
    """Outcome of an emulated day.

    Attributes:
        tallies: Outcomes by kind of request.
        zones: Outcomes by availability zone of the callers.
        order_count: Orders that were sent to engines.
        store_loads: Loads from the weight store.
        rejection_count: Attempts that an engine rejected.
        busy_share: Share of engine time that was spent on load and unload
            orders.
        logged_events: Log events of all instances: seconds, instance, event.
        crashes: Seconds and prompt part of each crash of an engine; the part
            is None for other crashes.
        suspect_sends: Seconds and prompt part of each request with a crashing
            part that reached an engine.
        sound_starts: For each request without a crashing part its arrival in
            seconds, its kind, and whether its response began at the first
            attempt of its first try.
        lease_violations: Orders of two instances to one target within the
            platform lease, or with a fencing token that does not rise.
    """

    tallies: dict[str, Tally]
    zones: dict[str, Tally]
    order_count: int
    store_loads: int
    rejection_count: int
    busy_share: float
    logged_events: list[tuple[float, str, log_events.LogEvent]]
    crashes: list[tuple[float, ids.PromptPart | None]]
    suspect_sends: list[tuple[float, ids.PromptPart]]
    sound_starts: list[tuple[float, str, bool]]
    lease_violations: list[str]

    @property
    def value_share(self) -> float:
        """Earned value as a share of the possible value."""
        possible_value = sum(
            tally.possible_value for tally in self.tallies.values()
        )
        return (
            sum(tally.earned_value for tally in self.tallies.values())
            / possible_value
        )


class _Instance:
    """An instance: a node of the core and an executor of its actions."""

    def __init__(
        self, emulation: "_Emulation", number: int, zone: ids.AvailabilityZone
    ) -> None:
        self._emulation = emulation
        self._loop = emulation.loop
        self.name = ids.InstanceId(f"qg-{number}")
        self.zone = zone
        self.address = f"10.0.0.{number}:1"
        self.node = node.Node(
            node.Identity(self.name, self.name, zone, self.address),
            gateway.Limits(400, 0.2, 52.0, datetime.timedelta(seconds=10)),
            PLATFORM_LEASE,
            random.Random(self._loop.rng.random()),
            self._loop.now,
            emulation.placement_policy,
        )
        self._leader_links: dict[ids.AvailabilityZone, _Instance] = {}
        self._link_peers: dict[int, tuple[_Instance, ids.AvailabilityZone]] = {}
        self._wakeup_at_s = math.inf
        self.is_terminated = False
        self.active_requests: dict[int, _CallerRequest] = {}

    def terminate(self) -> None:
        """Terminates the process, which closes its connections."""
        self.is_terminated = True
        for request in list(self.active_requests.values()):
            request.handle_connection_lost()
        for zone, other in self._leader_links.items():
            link_id = self._emulation.link_ids[(self.name, zone)]
            self._loop.schedule_after(
                NETWORK_LATENCY_S,
                _bind(other.post_event, node.LinkClosed(link_id)),
            )
        for other in self._emulation.instances:
            if other._leader_links.get(self.zone) is self:
                self._loop.schedule_after(
                    NETWORK_LATENCY_S,
                    _bind(other.post_event, node.LinkClosed(self.zone)),
                )

    def post_event(self, event: Any) -> None:
        """Passes an event to the node and executes the resulting actions."""
        if self.is_terminated:
            return
        now = self._loop.now
        for action in self.node.handle_event(event, now):
            self._execute(action)
        for log_event in self.node.take_log_events():
            self._emulation.logged_events.append(
                (self._loop.now_s, self.name, log_event)
            )
        wakeup_at_s = max(
            self.node.next_wakeup_at.total_seconds(),
            self._loop.now_s + 0.0005,
        )
        wakeup_at_s = min(wakeup_at_s, self._loop.now_s + 0.25)
        if wakeup_at_s < self._wakeup_at_s - 1e-9:
            self._wakeup_at_s = wakeup_at_s
            self._loop.schedule_at(
                wakeup_at_s, lambda: self._wake_up(wakeup_at_s)
            )

    def _wake_up(self, wakeup_at_s: float) -> None:
        # This wake-up was replaced by an earlier one.
        if wakeup_at_s != self._wakeup_at_s:
            return
        self._wakeup_at_s = math.inf
        self.post_event(node.Tick())

    def _execute(self, action: Any) -> None:
        match action:
            case node.SetLeaderLink():
                self._set_leader_link(action)
            case node.SendMessage():
                self._send_message(action)
            case orders.SendOrder():
                self._loop.schedule_after(
                    ORDER_LATENCY_S / 2, lambda: self._send_order(action)
                )
            case orders.FetchStatus():
                self._loop.schedule_after(
                    ORDER_LATENCY_S, lambda: self._fetch_status(action)
                )
            case (
                election.Join()
                | election.Leave()
                | election.ReadOwner()
                | election.ReadRecord()
                | election.WriteRecord()
                | election.Release()
            ):
                self._loop.schedule_after(
                    STORE_LATENCY_S,
                    lambda: self.post_event(
                        self._emulation.election_store.execute(action)
                    ),
                )
            case (
                version_records.ReadVersions()
                | version_records.ListVersions()
                | version_records.UnlistVersion()
                | version_records.AppendStreams()
            ):
                self._loop.schedule_after(
                    STORE_LATENCY_S,
                    lambda: self._call_version_store(action),
                )
            case _:
                request = self.active_requests.get(action.local_id)
                if request is not None:
                    request.execute(action)

    def _call_version_store(self, action: version_records.Action) -> None:
        result = self._emulation.version_store.execute(
            self, action, self._loop.now
        )
        if result is not None:
            self.post_event(result)

    def _set_leader_link(self, action: node.SetLeaderLink) -> None:
        self._leader_links.pop(action.zone, None)
        if action.address is None:
            return
        other = self._emulation.instances_by_address[action.address]
        self._leader_links[action.zone] = other
        link_id = self._emulation.allocate_link_id()
        other._link_peers[link_id] = (self, action.zone)
        self._emulation.link_ids[(self.name, action.zone)] = link_id
        self._loop.schedule_after(
            NETWORK_LATENCY_S,
            lambda: self.post_event(node.LinkOpened(action.zone)),
        )

    def _send_message(self, action: node.SendMessage) -> None:
        if isinstance(action.link, int):
            peer, zone = self._link_peers[action.link]
            self._loop.schedule_after(
                NETWORK_LATENCY_S,
                lambda: peer.post_event(
                    node.MessageReceived(zone, action.message)
                ),
            )
            return
        other = self._leader_links.get(action.link)
        if other is None:
            return
        link_id = self._emulation.link_ids[(self.name, action.link)]
        self._loop.schedule_after(
            NETWORK_LATENCY_S,
            lambda: other.post_event(
                node.MessageReceived(link_id, action.message)
            ),
        )

    def _send_order(self, action: orders.SendOrder) -> None:
        engine = self._emulation.engines[action.order.target]
        self._emulation.lease_monitor.observe(
            action.order, self.name, self._loop.now
        )
        outcome = (
            orders.Outcome.NOT_SENT
            if engine.is_down
            else engine.handle_order(action.order)
        )
        self._emulation.order_count += 1
        self._loop.schedule_after(
            ORDER_LATENCY_S / 2,
            lambda: self.post_event(orders.OrderResult(action.order, outcome)),
        )

    def _fetch_status(self, action: orders.FetchStatus) -> None:
        engine = self._emulation.engines[action.target]
        self.post_event(
            orders.StatusResult(
                action.target,
                1,
                None if engine.is_down else engine.get_status(),
                self._loop.now,
            )
        )


class _CallerRequest:
    """One request of a caller, including its retries."""

    def __init__(
        self,
        emulation: "_Emulation",
        kind: deployments.RequestKind,
        zone: ids.AvailabilityZone,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        crashing_part: ids.PromptPart | None = None,
    ) -> None:
        self._emulation = emulation
        self._loop = emulation.loop
        self._kind = kind
        self._zone = zone
        self._model = model
        self._adapter = adapter
        self._crashing_part = crashing_part
        self._prompt_parts = (
            SHARED_PROMPT_PART,
            ids.PromptPart(f"c{zone[-1]}"),
            *((crashing_part,) if crashing_part else ()),
            ids.PromptPart(f"f{emulation.allocate_prompt_id():x}"),
        )
        self._send_count = 0
        rng = emulation.loop.rng
        self._prompt_tokens = kind.mean_prompt_tokens * rng.lognormvariate(
            -0.3, 0.8
        )
        self._output_tokens = kind.mean_output_tokens * rng.lognormvariate(
            -0.25, 0.7
        )
        self._arrived_at_s = emulation.loop.now_s
        self._attempt_count = 0
        self._instance: _Instance | None = None
        self._local_id = 0
        self._attempt = 0
        self._engine_request: engines_module.EngineRequest | None = None
        self._engine: engines_module.Engine | None = None
        self._first_byte_at_s: float | None = None
        self._is_finished = False

    def send(self) -> None:
        """Sends the request, for the first time or as a retry."""
        if self._is_finished:
            return
        self._attempt_count += 1
        live = [
            instance
            for instance in self._emulation.instances
            if not instance.is_terminated
        ]
        candidates = [
            instance for instance in live if instance.zone == self._zone
        ] or live
        self._instance = self._loop.rng.choice(candidates)
        self._local_id = self._emulation.allocate_local_id()
        self._instance.active_requests[self._local_id] = self
        remaining_s = self._kind.timeout_s - (
            self._loop.now_s - self._arrived_at_s
        )
        head = requests.Head(
            ids.RequestId(str(self._local_id)),
            "site.example",
            f"/{self._kind.name}/x",
            datetime.timedelta(seconds=remaining_s),
            self._model,
            self._adapter,
            prompt_parts=self._prompt_parts[:-1],
        )
        local_id = self._local_id
        first_byte_timeout_s = max(
            MIN_FIRST_BYTE_TIMEOUT_S, 4 * self._kind.target_latency_s
        )
        self._loop.schedule_after(
            first_byte_timeout_s, lambda: self._time_out(local_id)
        )
        self._instance.post_event(requests.RequestArrived(self._local_id, head))

    def _time_out(self, local_id: int) -> None:
        if (
            self._is_finished
            or local_id != self._local_id
            or self._first_byte_at_s
        ):
            return
        assert self._instance is not None
        self._instance.post_event(requests.CallerDisconnected(local_id))
        self._finish("late")

    def execute(self, action: requests.Action) -> None:
        """Executes an action of the node."""
        match action:
            case requests.Send():
                self._loop.schedule_after(
                    NETWORK_LATENCY_S, lambda: self._submit_to_engine(action)
                )
            case requests.CancelAttempt():
                self._cancel_on_engine(action.failure)
            case requests.Refuse():
                self._handle_refusal(action)
            case requests.Abort():
                self._end_attempt()
                if not self._is_finished:
                    self._finish("refused")

    def _submit_to_engine(self, send: requests.Send) -> None:
        if self._is_finished:
            return
        if self._engine_request is not None:
            # Only one attempt at a time is emulated: the latest one.
            self._cancel_on_engine(requests.Failure.SUPERSEDED)
        self._attempt = send.attempt
        self._engine = self._emulation.engines[send.target]
        self._send_count += 1
        if self._crashing_part and not self._engine.is_down:
            self._emulation.suspect_sends.append(
                (self._loop.now_s, self._crashing_part)
            )
        engine_request = engines_module.EngineRequest(
            self._model,
            self._adapter,
            self._prompt_tokens,
            self._output_tokens,
            self._handle_first_token,
            self._handle_engine_end,
            prompt_parts=self._prompt_parts[:-1],
        )
        self._engine_request = engine_request
        failure = self._engine.submit(engine_request)
        if failure is not None:
            self._engine_request = None
            self._emulation.rejection_count += 1
            self._post_attempt_ended(failure)

    def handle_connection_lost(self) -> None:
        """Fails the request, as the connection to the instance closed."""
        if self._engine_request is not None and self._engine is not None:
            self._engine.cancel(self._engine_request)
            self._engine_request = None
        self._finish("refused")

    def _cancel_on_engine(self, failure: requests.Failure) -> None:
        if self._engine_request is not None and self._engine is not None:
            self._engine.cancel(self._engine_request)
            self._engine_request = None
        self._post_attempt_ended(failure)

    def _handle_first_token(self) -> None:
        if self._first_byte_at_s is None:
            self._first_byte_at_s = self._loop.now_s
        assert self._instance is not None
        self._instance.post_event(requests.ResponseStarted(self._local_id))

    def _handle_engine_end(self, failure: requests.Failure | None) -> None:
        self._engine_request = None
        if failure is not None:
            self._post_attempt_ended(failure)
            return
        assert self._instance is not None
        self._instance.post_event(
            requests.AttemptEnded(self._local_id, None, 200)
        )
        self._end_attempt()
        self._finish("served")

    def _post_attempt_ended(self, failure: requests.Failure) -> None:
        assert self._instance is not None
        instance, local_id = self._instance, self._local_id
        attempt = self._attempt
        last_event_id = "" if self._first_byte_at_s is None else "1"
        has_target_ended = (
            failure is requests.Failure.CONNECTION_LOST
            and not last_event_id
            and self._engine is not None
            and self._engine.is_down
            and self._emulation.reports_target_ends
        )
        self._loop.schedule_after(
            NETWORK_LATENCY_S,
            lambda: instance.post_event(
                requests.AttemptEnded(
                    local_id,
                    failure,
                    last_event_id=last_event_id,
                    has_target_ended=has_target_ended,
                    attempt=attempt,
                )
            ),
        )

    def _handle_refusal(self, action: requests.Refuse) -> None:
        self._end_attempt()
        if self._is_finished:
            return
        remaining_s = self._kind.timeout_s - (
            self._loop.now_s - self._arrived_at_s
        )
        if action.status == 503 and self._attempt_count <= MAX_CALLER_RETRIES:
            delay = action.retry_after or datetime.timedelta()
            self._loop.schedule_after(
                min(delay.total_seconds(), remaining_s / 3), self.send
            )
            return
        self._finish("refused")

    def _end_attempt(self) -> None:
        assert self._instance is not None
        self._instance.active_requests.pop(self._local_id, None)
        instance, local_id = self._instance, self._local_id
        self._loop.schedule_after(
            0.0, lambda: instance.post_event(requests.RequestEnded(local_id))
        )

    def _finish(self, outcome: str) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        if self._instance is not None:
            self._instance.active_requests.pop(self._local_id, None)
        if self._crashing_part:
            return
        self._emulation.sound_starts.append(
            (
                self._arrived_at_s,
                self._kind.name,
                self._first_byte_at_s is not None
                and self._attempt_count == 1
                and self._send_count == 1,
            )
        )
        relative_size = (
            0.3 + 0.7 * self._output_tokens / self._kind.mean_output_tokens
        )
        value = min(4.0, relative_size) * self._kind.value
        # Every outcome but "served" counts as refused.
        first_byte_s = None
        if outcome == "served" and self._first_byte_at_s is not None:
            first_byte_s = self._first_byte_at_s - self._arrived_at_s
        for tally in self._emulation.get_tallies(self._kind.name, self._zone):
            tally.request_count += 1
            tally.possible_value += value
            if first_byte_s is None:
                tally.refused += 1
            elif first_byte_s <= self._kind.target_latency_s:
                tally.in_time += 1
                tally.earned_value += value
                tally.first_byte_times_s.append(first_byte_s)
            else:
                tally.late += 1
                tally.earned_value += (
                    value * self._kind.late_value / self._kind.value
                )
                tally.first_byte_times_s.append(first_byte_s)


class _Emulation:
    """State of one emulated day."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        day: Day,
        seed: int,
        placement_policy: placement.PlacementPolicy,
    ) -> None:
        self.placement_policy = placement_policy
        self.loop = event_loop.EventLoop(seed)
        self.deployment = deployment
        self._day = day
        self.reports_target_ends = day.reports_target_ends
        self.models = deployments.sample_models(deployment, self.loop.rng)
        self.models_by_name = {model.spec.name: model for model in self.models}
        self.config = deployments.make_configuration(deployment, self.models)
        store = engines_module.WeightStore(self.loop, deployment.store_capacity)
        self.store = store
        self.engines: dict[ids.TargetId, engines_module.Engine] = {}
        self.registered_engines: dict[ids.TargetId, engines_module.Engine] = {}
        self.instances: list[_Instance] = []
        self.logged_events: list[tuple[float, str, log_events.LogEvent]] = []
        self.election_store = election_store.ElectionStore(
            self.loop, self.publish_leader_records
        )
        self.version_store = version_store.VersionStore()
        # Its own generator, so that the requests of a day stay the same.
        self._restoration_rng = random.Random(seed)
        self.lease_monitor = election_store.LeaseMonitor(PLATFORM_LEASE)
        # What the registry held, by the time of each read.
        self._registry_copies: list[
            tuple[float, dict[ids.TargetId, targets.Description]]
        ] = []
        self.link_ids: dict[tuple[str, ids.AvailabilityZone], int] = {}
        self._last_link_id = 0
        self._last_local_id = 0
        self._last_prompt_id = 0
        self.order_count = 0
        self.rejection_count = 0
        self.crashes: list[tuple[float, ids.PromptPart | None]] = []
        self.suspect_sends: list[tuple[float, ids.PromptPart]] = []
        self.sound_starts: list[tuple[float, str, bool]] = []
        self.tallies: dict[str, Tally] = {}
        self.zone_tallies: dict[str, Tally] = {}
        names = [model.spec.name for model in self.models if model.is_hot]
        self._hot_models = names[: deployment.hot_model_count]
        other_models = names[deployment.hot_model_count :]
        self.loop.rng.shuffle(other_models)
        self._hot_models += other_models
        self._zones = []
        number = 0
        for index, (instance_count, engine_count) in enumerate(
            deployment.zones
        ):
            zone = ids.AvailabilityZone(f"zone-{index}")
            self._zones.append(zone)
            for _ in range(instance_count):
                number += 1
                self.instances.append(_Instance(self, number, zone))
            for _ in range(engine_count):
                self._add_engine(zone)
        self.instances_by_address = {
            instance.address: instance for instance in self.instances
        }

    def _add_engine(self, zone: ids.AvailabilityZone) -> engines_module.Engine:
        target = ids.TargetId(f"t{len(self.engines)}")
        engine = engines_module.Engine(
            self.loop,
            self.store,
            self.deployment,
            self.models_by_name,
            target,
            zone,
        )
        for crashing in self._day.crashing_parts:
            engine.crashing_parts[crashing.part] = crashing.model
        engine.on_crash = lambda part: self._handle_crash(engine, zone, part)
        self.engines[target] = engine
        self.registered_engines[target] = engine
        return engine

    def _handle_crash(
        self,
        engine: engines_module.Engine,
        zone: ids.AvailabilityZone,
        part: ids.PromptPart | None,
    ) -> None:
        self.crashes.append((self.loop.now_s, part))
        self.loop.schedule_after(
            ENTRY_TTL_S,
            lambda: self._deregister(engine.target),
        )
        self.loop.schedule_after(
            self.loop.rng.uniform(*RESTART_S),
            lambda: self._restart_engine(engine, zone),
        )

    def _crash_all_engines(self) -> None:
        for engine in list(self.engines.values()):
            if not engine.is_down:
                engine.crash(None)

    def _deregister(self, target: ids.TargetId) -> None:
        del self.registered_engines[target]

    def _restart_engine(
        self, crashed: engines_module.Engine, zone: ids.AvailabilityZone
    ) -> None:
        engine = self._add_engine(zone)
        engine.address = crashed.address
        engine.disk_copies = list(crashed.disk_copies)
        engine.record_initial_status()

    def allocate_prompt_id(self) -> int:
        self._last_prompt_id += 1
        return self._last_prompt_id

    def allocate_link_id(self) -> int:
        self._last_link_id += 1
        return self._last_link_id

    def allocate_local_id(self) -> int:
        self._last_local_id += 1
        return self._last_local_id

    def get_tallies(self, kind: str, zone: str) -> list[Tally]:
        return [
            self.tallies.setdefault(kind, Tally()),
            self.zone_tallies.setdefault(zone, Tally()),
        ]

    def publish_leader_records(self) -> None:
        records = self.election_store.records
        for instance in self.instances:
            self.loop.schedule_after(
                STORE_LATENCY_S,
                _bind(instance.post_event, node.LeaderRecordsRead(records)),
            )

    def run(self) -> Result:
        engines_module.place_initial_models(
            self.deployment,
            self.models,
            list(self.engines.values()),
            self._hot_models,
            self.loop,
        )
        for instance in self.instances:
            instance.post_event(node.LeaderRecordsRead(()))
            instance.post_event(node.ConfigurationRead(self.config))
            self._poll_registry(instance, {})
        warm_up_s = self.deployment.warm_up_s
        for loss in self._day.instance_losses:
            self.loop.schedule_at(
                warm_up_s + loss.start_s,
                _bind(self._terminate_instances, loss.zone_index),
            )
        for kind in self.deployment.request_kinds:
            for index, zone in enumerate(self._zones):
                self.loop.schedule_at(
                    warm_up_s, self._make_arrival_process(kind, zone, index)
                )
        for restoration in self._day.restorations:
            self.loop.schedule_at(
                warm_up_s + restoration.start_s,
                _bind(self._restore_store, restoration),
            )
        for start_s in self._day.engine_losses_s:
            self.loop.schedule_at(warm_up_s + start_s, self._crash_all_engines)
        for crashing in self._day.crashing_parts:
            self.loop.schedule_at(
                warm_up_s + crashing.start_s,
                self._make_crashing_arrivals(crashing),
            )
        self.loop.run_until(warm_up_s + self._day.duration_s + 20.0)
        engine_s = self.loop.now_s * len(self.engines)
        busy_s = sum(engine.busy_s for engine in self.engines.values())
        return Result(
            self.tallies,
            self.zone_tallies,
            self.order_count,
            self.store.load_count,
            self.rejection_count,
            busy_s / engine_s,
            self.logged_events,
            self.crashes,
            self.suspect_sends,
            self.sound_starts,
            self.lease_monitor.violations,
        )

    def _make_crashing_arrivals(
        self, crashing: CrashingPart
    ) -> Callable[[], None]:
        (kind,) = (
            kind
            for kind in self.deployment.request_kinds
            if kind.name == crashing.request_kind
        )

        def arrive() -> None:
            elapsed_s = self.loop.now_s - self.deployment.warm_up_s
            if elapsed_s > self._day.duration_s:
                return
            self.loop.schedule_after(
                self.loop.rng.expovariate(crashing.requests_per_s), arrive
            )
            zone = self.loop.rng.choice(self._zones)
            model, adapter = self._sample_model(kind, elapsed_s)
            _CallerRequest(
                self, kind, zone, model, adapter, crashing.part
            ).send()

        return arrive

    def _terminate_instances(self, zone_index: int) -> None:
        for instance in self.instances:
            if instance.zone == self._zones[zone_index]:
                instance.terminate()

    def _restore_store(self, restoration: Restoration) -> None:
        """Restores the election store, and shows the registry as it was."""
        self.election_store.restore(restoration.copy_age_s, restoration.away_s)
        copied_at_s = self.loop.now_s - restoration.copy_age_s
        registry = next(
            entries
            for read_at_s, entries in reversed(self._registry_copies)
            if read_at_s <= copied_at_s
            or entries is self._registry_copies[0][1]
        )
        for instance in self.instances:
            # Each instance notices it with another call.
            delay_s = restoration.away_s + self._restoration_rng.uniform(
                0.0, 0.7
            )
            for event in (
                node.EraBegun(self.election_store.era),
                targets.RegistryUpdated(
                    tuple(registry.values()), complete=True, is_restored=True
                ),
            ):
                self.loop.schedule_after(
                    delay_s, _bind(instance.post_event, event)
                )
            self.loop.schedule_after(
                delay_s, _bind(self._show_registry, instance)
            )

    def _show_registry(self, instance: _Instance) -> None:
        """Lets an instance read what targets have written again."""
        instance.post_event(
            targets.RegistryUpdated(tuple(self._describe_engines().values()))
        )

    def _describe_engines(self) -> dict[ids.TargetId, targets.Description]:
        return {
            engine.target: engine.make_description()
            for engine in self.registered_engines.values()
        }

    def _poll_registry(
        self,
        instance: _Instance,
        previous: dict[ids.TargetId, targets.Description],
    ) -> None:
        current = self._describe_engines()
        self._registry_copies.append((self.loop.now_s, current))
        removed = tuple(previous.keys() - current.keys())
        changed = tuple(
            description
            for target, description in current.items()
            if previous.get(target) != description
        )
        if changed or removed:
            instance.post_event(
                targets.RegistryUpdated(changed, removed, complete=not previous)
            )
        is_starting_up = self.loop.now_s < START_UP_S
        self.loop.schedule_after(
            START_UP_REGISTRY_POLL_S if is_starting_up else REGISTRY_POLL_S,
            lambda: self._poll_registry(instance, current),
        )

    def _make_arrival_process(
        self,
        kind: deployments.RequestKind,
        zone: ids.AvailabilityZone,
        zone_index: int,
    ) -> Callable[[], None]:
        total_share = sum(ZONE_SHARES[: len(self._zones)])
        base_rate = kind.requests_per_s * ZONE_SHARES[zone_index] / total_share

        def arrive() -> None:
            elapsed_s = self.loop.now_s - self.deployment.warm_up_s
            if elapsed_s > self._day.duration_s:
                return
            rate = base_rate
            for burst in self._day.bursts:
                if (
                    burst.request_kind == kind.name
                    and burst.start_s
                    <= elapsed_s
                    < burst.start_s + burst.duration_s
                ):
                    rate *= burst.rate_factor
            self.loop.schedule_after(self.loop.rng.expovariate(rate), arrive)
            model, adapter = self._sample_model(kind, elapsed_s)
            _CallerRequest(self, kind, zone, model, adapter).send()

        return arrive

    def _sample_model(
        self, kind: deployments.RequestKind, elapsed_s: float
    ) -> tuple[ids.ModelName, ids.AdapterName | None]:
        rng = self.loop.rng
        if not kind.uses_hot_models:
            rare_models = [model for model in self.models if not model.is_hot]
            return rng.choice(rare_models).spec.name, None
        rank_offset = 0
        for shift in self._day.shifts:
            progress = min(
                1.0, max(0.0, (elapsed_s - shift.start_s) / shift.duration_s)
            )
            rank_offset += rng.random() < progress
        rank = rng.choices(
            range(self.deployment.hot_model_count),
            [
                1.0 / (1 + index) ** 0.9
                for index in range(self.deployment.hot_model_count)
            ],
        )[0]
        ranking = self._hot_models
        name = ranking[(rank + rank_offset) % len(ranking)]
        adapter_count = self.models_by_name[name].spec.adapter_count
        adapter = None
        if adapter_count and rng.random() < kind.adapter_share:
            number = min(
                adapter_count, 1 + int(adapter_count * rng.random() ** 1.3)
            )
            adapter = ids.AdapterName(f"a{number}")
        return name, adapter


def run_day(
    deployment: deployments.Deployment,
    day: Day,
    seed: int,
    placement_policy: placement.PlacementPolicy = placement.choose_placement,
) -> Result:
    """Emulates a day and returns its outcome.

    Args:
        deployment: The deployment.
        day: Load changes and failures.
        seed: Seed of the random number generator; the same seed gives the
            same result.
        placement_policy: Placement policy of the zone leaders.
    """
    return _Emulation(deployment, day, seed, placement_policy).run()


def format_result(result: Result) -> str:
    """Returns the outcome as a few lines of text."""
    lines = [
        f"worth {result.value_share:.3f}, orders {result.order_count},"
        f" store loads {result.store_loads}, rejected {result.rejection_count},"
        f" engines busy {result.busy_share:.2f}"
    ]
    for name, tally in result.tallies.items():
        lines.append(
            f"  {name:8} asked {tally.request_count} in time {tally.in_time}"
            f" late {tally.late} refused {tally.refused}"
            f" worth {tally.earned_value / tally.possible_value:.3f}"
        )
    return "\n".join(lines)


def _bind(callback: Callable[[Any], None], event: Any) -> Callable[[], None]:
    return lambda: callback(event)
