"""Runs control cores inside the emulator, one for each entry instance."""

from collections.abc import Callable
import datetime
import functools
import json
import random
from typing import Any

from quetzalgauge import controller
from quetzalgauge import emulator
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge import settings
from quetzalgauge import traces
from quetzalgauge.gen import ttypes

_TICK = datetime.timedelta(milliseconds=500)
_LIST_INTERVAL = datetime.timedelta(seconds=10)
_LONG_POLL = datetime.timedelta(seconds=3)
_LOG_LATENCY = datetime.timedelta(milliseconds=2)
_NETWORK_LATENCY = datetime.timedelta(milliseconds=1)
_REPORT_INTERVAL = datetime.timedelta(seconds=1)
_VERSION = ids.VersionName("v1")
_MIB = 1 << 20
# Addresses are names only; nothing listens.
_FIRST_PORT = 1000


def make_core_policy(cold_start_weight: float, seed: int) -> emulator.Policy:
    """Returns the policy of the real control core.

    Args:
        cold_start_weight: The setting of that name.
        seed: Seed of the cores' generators.
    """

    def install(world: emulator.World) -> None:
        _Cluster(world, cold_start_weight, seed)

    return install


class _Log:
    """Streams of records, delivered to every reader after a fixed time."""

    def __init__(self, clock: emulator.Clock) -> None:
        self._clock = clock
        self._streams: dict[ids.StreamName, list[bytes]] = {}
        self._readers: list[Callable[[ids.StreamName], None]] = []

    def subscribe(self, reader: Callable[[ids.StreamName], None]) -> None:
        self._readers.append(reader)

    def append(self, stream: ids.StreamName, data: tuple[bytes, ...]) -> None:
        self._streams.setdefault(stream, []).extend(data)
        for reader in self._readers:
            self._clock.call_after(
                _LOG_LATENCY, functools.partial(reader, stream)
            )

    def read(
        self, stream: ids.StreamName, start: int
    ) -> tuple[tuple[ids.Offset, bytes], ...]:
        rows = self._streams.get(stream, [])
        return tuple(
            (ids.Offset(offset), rows[offset])
            for offset in range(start, len(rows))
        )

    @property
    def appended(self) -> int:
        """Records in all streams."""
        return sum(len(rows) for rows in self._streams.values())


class _Cluster:
    """The cores of one deployment with the log and their engines."""

    def __init__(
        self, world: emulator.World, cold_start_weight: float, seed: int
    ) -> None:
        self.world = world
        self.log = _Log(world.clock)
        self.nodes = [
            _Node(self, index, zone, cold_start_weight, seed)
            for index, zone in enumerate(world.site.entries)
        ]
        self.by_address = {node.address: node for node in self.nodes}
        world.candidates = self._candidates
        world.on_arrival = self._arrived
        for node in self.nodes:
            node.start()
        ticket = _make_ticket(world.site)
        world.clock.call_after(
            _LIST_INTERVAL,
            lambda: self.nodes[0].take(
                messages.TicketSubmitted("ticket", ticket)
            ),
        )

    def listing(self) -> messages.InstancesListed:
        """Returns the instance list."""
        site = self.world.site
        targets = [
            messages.ListedInstance(
                instance=name,
                kind=messages.InstanceKind.TARGET,
                address=name,
                availability_zone=zone,
                region=site.region,
                state=messages.InstanceState.LIVE,
                incarnation="1",
                service=ids.ServiceName("models"),
                accelerator_memory_bytes=site.target_memory_bytes,
                accelerators=site.accelerators,
                checks_fencing=True,
            )
            for name, zone in self.world.zone_of_target.items()
        ]
        systems = [
            messages.ListedInstance(
                instance=node.instance,
                kind=messages.InstanceKind.SYSTEM,
                address=node.address,
                availability_zone=node.zone,
                region=site.region,
                state=messages.InstanceState.LIVE,
                incarnation="1",
            )
            for node in self.nodes
        ]
        return messages.InstancesListed((*targets, *systems))

    def _candidates(
        self, entry: int, model: ids.ModelName
    ) -> list[emulator.Engine]:
        names = self.nodes[entry].ready_targets.get(model, ())
        return [self.world.engines[name] for name in names]

    def _arrived(self, request: traces.Request) -> None:
        self.nodes[request.entry].report()


class _Node:
    """One core and the entry process beside it."""

    def __init__(
        self,
        cluster: _Cluster,
        index: int,
        zone: ids.AvailabilityZone,
        cold_start_weight: float,
        seed: int,
    ) -> None:
        self.instance = f"node-{index}"
        self.port = _FIRST_PORT + index
        self.address = f"127.0.0.1:{self.port}"
        self.zone = zone
        self.ready_targets: dict[ids.ModelName, list[ids.TargetId]] = {}
        self._cluster = cluster
        self._world = cluster.world
        self._clock = cluster.world.clock
        self._index = index
        self._positions: dict[ids.StreamName, int] = {}
        self._routes_version = 0
        self._catalog_version = 0
        self._core = controller.make_controller(
            _make_settings(self, cluster.world.site, cold_start_weight),
            1,
            random.Random(seed * 1000 + index),
        )
        cluster.log.subscribe(self._deliver)

    def start(self) -> None:
        """Starts the timers."""
        self._repeat(_LIST_INTERVAL, lambda: self.take(self._cluster.listing()))
        self._repeat(_TICK, lambda: self.take(messages.Tick()))
        self._repeat(_LONG_POLL, self._deliver_all)
        self._repeat(_REPORT_INTERVAL, self._report_if_busy)

    def _repeat(
        self, interval: datetime.timedelta, call: Callable[[], None]
    ) -> None:
        def run() -> None:
            call()
            self._clock.call_after(interval, run)

        self._clock.call_after(datetime.timedelta(), run)

    def take(self, event: messages.Event) -> None:
        """Gives an event to the core and carries out the actions."""
        for action in self._core.step(event, self._clock.now):
            handler = _HANDLERS.get(type(action))
            if handler is not None:
                handler(self, action)

    def _later(self, call: Callable[[], None]) -> None:
        self._clock.call_after(_NETWORK_LATENCY, call)

    def _read_stream(self, action: messages.ReadStream) -> None:
        self._positions[action.stream] = action.from_offset
        self._later(functools.partial(self._deliver, action.stream))

    def _deliver_all(self) -> None:
        for stream in list(self._positions):
            self._deliver(stream)

    def _deliver(self, stream: ids.StreamName) -> None:
        start = self._positions.get(stream)
        if start is None:
            return
        rows = self._cluster.log.read(stream, start)
        end = start + len(rows)
        self._positions[stream] = end
        self.take(messages.StreamRead(stream, rows, ids.Offset(end)))

    def _append(self, action: messages.AppendRecords) -> None:
        def arrive() -> None:
            self._cluster.log.append(action.stream, action.data)
            self._later(
                lambda: self.take(messages.AppendDone(action.stream, True))
            )

        self._later(arrive)

    def _poll(self, action: messages.PollTarget) -> None:
        def answer() -> None:
            engine = self._world.engines[action.target]
            status = _make_status(engine, self._world)
            self.take(messages.TargetPolled(action.target, status))

        self._later(answer)

    def _order(self, action: messages.SendOrder) -> None:
        def arrive() -> None:
            outcome = _carry_out(
                self._world.engines[action.order.target],
                action.order,
                self._world,
            )
            self._later(
                lambda: self.take(messages.OrderAnswered(action.order, outcome))
            )

        self._later(arrive)

    def _exchange(self, action: messages.ExchangeWithPeer) -> None:
        peer = self._cluster.by_address[action.address]
        event = messages.DigestReceived(
            (self, action.address), action.digest, action.target_states
        )
        self._later(lambda: peer.take(event))

    def _demand(self, action: messages.SendDemand) -> None:
        peer = self._cluster.by_address[action.address]
        event = messages.DemandReceived(action.demands)
        self._later(lambda: peer.take(event))

    def _reply(self, action: messages.Reply) -> None:
        if not isinstance(action.token, tuple):
            return
        asker, address = action.token
        event = messages.UpdateReceived(address, action.value)
        self._later(lambda: asker.take(event))

    def _routes_changed(self, action: messages.RoutesChanged) -> None:
        self._later(self.report)

    def _report_if_busy(self) -> None:
        if any(
            queue and key[0] == self._index
            for key, queue in self._world.waiting.items()
        ) or any(self._world.running(model) for model in self.ready_targets):
            self.report()

    def report(self) -> None:
        """Reports demand to the core and takes the routes."""
        report = ttypes.EntryReport(
            entry=f"entry-{self._index}",
            routes_version=self._routes_version,
            catalog_version=self._catalog_version,
            demands=self._demands(),
            in_flight={},
            suspect_targets=[],
            draining=False,
        )
        self.take(messages.EntryReported(report))
        update = self._core.route_update(report)
        self._routes_version = update.routes_version
        self._catalog_version = update.catalog_version
        if update.routes_changed:
            self._use_routes(update.replicas)

    def _use_routes(self, replicas: list[Any]) -> None:
        self.ready_targets = {}
        for replica in replicas:
            if replica.state == ttypes.ReplicaState.READY:
                self.ready_targets.setdefault(replica.slot.model, []).append(
                    replica.target
                )
        for entry, model in list(self._world.waiting):
            if entry == self._index:
                self._world.dispatch_model(entry, model)

    def _demands(self) -> list[Any]:
        demands = []
        for model in self._world.specs:
            queue = self._world.waiting.get((self._index, model))
            running = self._world.running_of(self._index, model)
            if not queue and not running:
                continue
            oldest = 0.0
            if queue:
                waited = self._clock.now - queue[0].arrival
                oldest = waited.total_seconds()
            demands.append(
                ttypes.Demand(
                    model=model,
                    version=_VERSION,
                    waiting=len(queue or ()),
                    running=running,
                    oldest_wait_s=oldest,
                    priority=5,
                    origin=f"entry-{self._index}",
                )
            )
        return demands


_HANDLERS: dict[type, Callable[[Any, Any], None]] = {
    messages.ReadStream: _Node._read_stream,
    messages.AppendRecords: _Node._append,
    messages.PollTarget: _Node._poll,
    messages.SendOrder: _Node._order,
    messages.ExchangeWithPeer: _Node._exchange,
    messages.SendDemand: _Node._demand,
    messages.Reply: _Node._reply,
    messages.RoutesChanged: _Node._routes_changed,
}


def _make_settings(
    node: _Node, site: emulator.Site, cold_start_weight: float
) -> settings.ControlSettings:
    listener = {"host": "127.0.0.1", "port": 1}
    return settings.ControlSettings.model_validate(
        {
            "instance": node.instance,
            "availability_zone": node.zone,
            "region": site.region,
            "control_listen": listener,
            "peer_listen": {"host": "127.0.0.1", "port": node.port},
            "operator_listen": {"host": "127.0.0.1", "port": 3},
            "log_url": "http://127.0.0.1:4",
            "instance_list_url": "http://127.0.0.1:5",
            "cold_start_weight": cold_start_weight,
        }
    )


def _make_ticket(site: emulator.Site) -> records.Ticket:
    models = {
        spec.name: {
            "versions": {
                _VERSION: {
                    "checkpoint": spec.name,
                    "memory_mib": spec.memory_bytes // _MIB,
                    "adapter_memory_mib": 0,
                }
            },
            "default_version": _VERSION,
            "priority": 5,
            "availability_zones": {
                zone: {"max_replicas": 1, "min_replicas": 0}
                for zone in site.zones
            },
        }
        for spec in site.models
    }
    text = json.dumps({"ticket": 1, "models": models}, sort_keys=True)
    return records.Ticket(ids.TicketNumber(1), text)


def _make_status(
    engine: emulator.Engine, world: emulator.World
) -> messages.TargetStatus:
    zero = datetime.timedelta()
    return messages.TargetStatus(
        target=engine.name,
        incarnation=ids.TargetIncarnation("1"),
        draining=False,
        fencing_number=engine.fencing_number,
        checks_fencing=True,
        accelerator_memory_bytes=world.site.target_memory_bytes,
        used_bytes=engine.used_bytes,
        models=tuple(
            messages.ModelStatus(
                model=loaded.spec.name,
                version=_VERSION,
                state=loaded.state,
                slot=loaded.slot,
                memory_bytes=loaded.spec.memory_bytes,
                running=loaded.running,
                waiting=0,
                ready_in=max(zero, loaded.ready_at - world.clock.now),
            )
            for loaded in engine.models.values()
        ),
        cached={
            (model, _VERSION): tier for model, tier in engine.cached().items()
        },
    )


def _carry_out(
    engine: emulator.Engine, order: messages.Order, world: emulator.World
) -> messages.OrderOutcome:
    if order.fencing_number < engine.fencing_number:
        return messages.OrderOutcome.STALE
    engine.fencing_number = order.fencing_number
    if order.slot is None:
        return messages.OrderOutcome.DONE
    if order.action is messages.OrderAction.LOAD:
        spec = world.specs[order.slot.model]
        engine.load(spec, order.slot, order.order_id)
        return messages.OrderOutcome.ACCEPTED
    if order.action is messages.OrderAction.UNLOAD:
        engine.unload(order.slot.model)
        return messages.OrderOutcome.ACCEPTED
    return messages.OrderOutcome.DONE
