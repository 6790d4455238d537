"""In-memory log, targets, instance list and peers for control cores.

Everything happens at once, on a manual clock, unless a test cuts, pauses,
loses or holds something back. `World.check` holds the invariants; it runs after
each change of the log and of a target.
"""

import collections
import dataclasses
import datetime
import json
import random

from quetzalgauge import catalog
from quetzalgauge import clock
from quetzalgauge import controller
from quetzalgauge import ids
from quetzalgauge import ledger
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge import settings
from quetzalgauge.gen import ttypes

REGION = "uy-south"
ZONE = "uy-south-a"
DECISIONS = ids.decision_stream(REGION)
MIB = 1024 * 1024
STEP = datetime.timedelta(milliseconds=250)


@dataclasses.dataclass
class Target:
    """A model engine that obeys orders like the documented protocol."""

    name: str
    memory: int
    checks: bool
    zone: str = ZONE
    incarnation: str = "1"
    alive: bool = True
    listed: bool = True
    draining: bool = False
    leaving: bool = False
    fencing: int = -1
    load_seconds: float = 1.0
    running: int = 0
    models: dict = dataclasses.field(default_factory=dict)
    answers: dict = dataclasses.field(default_factory=dict)
    cached: dict = dataclasses.field(default_factory=dict)
    loads: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def restart(self):
        self.incarnation = str(int(self.incarnation) + 1)
        self.fencing = -1
        self.models, self.answers = {}, {}

    def order(self, order, now):
        if self.checks and order.fencing_number < self.fencing:
            return messages.OrderOutcome.STALE
        self.fencing = max(self.fencing, order.fencing_number)
        if order.order_id in self.answers:
            return self.answers[order.order_id]
        answer = self._carry_out(order, now)
        self.answers[order.order_id] = answer
        return answer

    def _carry_out(self, order, now):
        done = messages.OrderOutcome.DONE
        if order.action is messages.OrderAction.FENCE:
            return done
        key = (order.slot.model, order.version)
        if order.action is messages.OrderAction.LOAD:
            if key in self.models:
                return done
            ready = now + datetime.timedelta(seconds=self.load_seconds)
            self.models[key] = [order.slot, order.memory_bytes, ready, set()]
            self.loads[key] += 1
            return messages.OrderOutcome.ACCEPTED
        if order.action is messages.OrderAction.UNLOAD:
            if self.models.pop(key, None):
                self.cached[key] = messages.CacheTier.MEMORY
            return done
        if key not in self.models:
            return messages.OrderOutcome.REFUSED
        if order.action is messages.OrderAction.LOAD_ADAPTER:
            self.models[key][3].add(order.adapter)
        else:
            self.models[key][3].discard(order.adapter)
        return done

    def status(self, now):
        models = tuple(
            messages.ModelStatus(
                model,
                version,
                messages.ReplicaState.READY
                if now >= ready
                else messages.ReplicaState.LOADING,
                slot,
                size,
                self.running,
                0,
                max(datetime.timedelta(), ready - now),
                frozenset(adapters),
            )
            for (model, version), (slot, size, ready, adapters) in list(
                self.models.items()
            )
        )
        return messages.TargetStatus(
            self.name,
            self.incarnation,
            self.draining,
            self.fencing,
            self.checks,
            self.memory,
            sum(model.memory_bytes for model in models),
            models,
            dict(self.cached),
        )

    def entry(self):
        return messages.ListedInstance(
            self.name,
            messages.InstanceKind.TARGET,
            f"addr-{self.name}",
            self.zone,
            REGION,
            messages.InstanceState.LEAVING
            if self.leaving
            else messages.InstanceState.LIVE,
            self.incarnation,
            "palomar-lm",
            accelerator_memory_bytes=self.memory,
            checks_fencing=self.checks,
        )


class ViolationError(AssertionError):
    """An invariant does not hold."""


class World:
    """The platform, the targets and the control processes of a region."""

    def __init__(self, seed=1, linger=120):
        self.clock = clock.ManualClock()
        self.linger = datetime.timedelta(seconds=linger)
        self.random = random.Random(seed)
        self.log = {ids.CONFIG_STREAM: [], DECISIONS: []}
        self.earliest = {ids.CONFIG_STREAM: 0, DECISIONS: 0}
        self.log_is_down = False
        self.cut = set()  # Instances that cannot reach the log.
        self.isolated = set()  # Instances that cannot reach their peers.
        self.paused = set()
        self.stopped = set()
        self.holds_orders = set()  # Instances whose orders stay on the way.
        # Sender, order, and until when it may still arrive (None: open).
        self.late_orders = []
        self.unanswered = []
        self.lose_append = lambda bodies: False
        self.lose_answer = lambda order: False
        self.targets = {}
        self.controllers = {}
        self.zones = {}
        self.incarnations = collections.Counter()
        self.unlisted = set()
        self.demand = collections.defaultdict(list)
        self.suspects = []
        self.replies = {}
        self.sent = []
        self.queue = collections.deque()
        self.positions = {}
        self.ledger = ledger.make_ledger()
        self.catalog = catalog.make_catalog()
        self.outcomes = []
        self.most = collections.Counter()

    # ---- Set-up ----------------------------------------------------------

    def add_target(self, name, memory_mib=1000, checks=True, zone=ZONE):
        target = Target(name, memory_mib * MIB, checks, zone)
        self.targets[name] = target
        return target

    def start(self, name, zone=ZONE, **options):
        """Starts or restarts a control process."""
        self._end_connections(name)
        self.incarnations[name] += 1
        port = 7000 + int(name.rpartition("-")[2])
        address = settings.Address(host="127.0.0.1", port=port)
        config = settings.ControlSettings(
            instance=name,
            availability_zone=zone,
            region=REGION,
            peer_listen=address,
            control_listen=address,
            operator_listen=address,
            log_url="http://127.0.0.1:1",
            instance_list_url="http://127.0.0.1:1",
            order_linger=self.linger,
            **options,
        )
        self.controllers[name] = controller.make_controller(
            config,
            self.incarnations[name],
            random.Random(self.random.random()),
        )
        self.zones[name] = zone
        self.paused.discard(name)
        self.stopped.discard(name)
        self.positions[name] = {}

    def kill(self, name):
        del self.controllers[name]
        self._end_connections(name)

    def _end_connections(self, name):
        """Orders under way may still arrive for the linger time."""
        until = self.clock() + self.linger
        self.late_orders = [
            (sender, order, until if sender == name else end)
            for sender, order, end in self.late_orders
        ]
        self.unanswered = [row for row in self.unanswered if row[0] != name]

    def _arriving(self):
        now = self.clock()
        return [
            order
            for _, order, until in self.late_orders
            if until is None or now < until
        ]

    def ticket(self, number, models, adapters=None):
        """Publishes a ticket: model name to a dict of its properties."""
        value = {"ticket": number, "models": {}, "adapters": adapters or {}}
        for name, part in models.items():
            value["models"][name] = part is not None and {
                "versions": {
                    version: {
                        "checkpoint": f"{name}-{version}",
                        "memory_mib": part.get("mib", 400),
                        "adapter_memory_mib": part.get("adapter_mib", 0),
                    }
                    for version in part.get("versions", ["v1"])
                },
                "default_version": part.get("default", "v1"),
                "priority": part.get("priority", 5),
                "availability_zones": {
                    zone: {
                        "max_replicas": part.get("most", 1),
                        "min_replicas": part.get("least", 0),
                    }
                    for zone in part.get("zones", [ZONE])
                },
            }
        value["models"] = {k: v or None for k, v in value["models"].items()}
        text = json.dumps(value, sort_keys=True, separators=(",", ":"))
        writer = ids.WriterId("operator", 1)
        body = records.Ticket(number, text)
        self._append(
            ids.CONFIG_STREAM,
            [records.encode(records.Envelope(writer, number, body))],
        )

    def want(self, name, model, waiting=1, version="v1", origin=None):
        """Lets an entry process of an instance report waiting requests."""
        self.demand[name].append(
            ttypes.Demand(
                model=model,
                version=version,
                waiting=waiting,
                running=0,
                oldest_wait_s=0.1,
                priority=5,
                origin=origin or f"entry-{name}",
            )
        )

    # ---- Time ------------------------------------------------------------

    def run(self, seconds):
        """Lets time pass."""
        end = self.clock() + datetime.timedelta(seconds=seconds)
        while self.clock() < end:
            self.clock.advance(STEP)
            for name in list(self.controllers):
                self._tick(name)
            self._pump()

    def run_until(self, condition, seconds=30):
        """Lets time pass until a condition holds."""
        end = self.clock() + datetime.timedelta(seconds=seconds)
        while not condition():
            assert self.clock() < end, "the condition did not come true"
            self.run(STEP.total_seconds())

    def _tick(self, name):
        self.send(name, messages.InstancesListed(self.listing()))
        for stream in self.log:
            self._read(name, stream, True)
        if self.demand[name] or self.suspects:
            report = ttypes.EntryReport(
                entry=f"entry-{name}",
                routes_version=0,
                catalog_version=0,
                demands=[dataclass_copy(d) for d in self.demand[name]],
                in_flight={},
                suspect_targets=list(self.suspects),
                draining=False,
            )
            self.send(name, messages.EntryReported(report))
        self.send(name, messages.Tick())

    def listing(self):
        systems = [
            messages.ListedInstance(
                name,
                messages.InstanceKind.SYSTEM,
                self.address(name),
                self.zones[name],
                REGION,
                messages.InstanceState.LIVE,
                str(self.incarnations[name]),
            )
            for name in self.zones
            if name not in self.unlisted
        ]
        return tuple(systems) + tuple(
            target.entry() for target in self.targets.values() if target.listed
        )

    def address(self, name):
        return f"127.0.0.1:{7000 + int(name.rpartition('-')[2])}"

    def send(self, name, event):
        """Gives an event to a control process and queues its actions."""
        if name not in self.controllers or name in self.paused | self.stopped:
            return
        for action in self.controllers[name].step(event, self.clock()):
            self.queue.append((name, action))

    def _pump(self):
        for _ in range(20_000):
            if not self.queue:
                return
            name, action = self.queue.popleft()
            if name in self.controllers:
                handler = getattr(self, f"_do_{type(action).__name__}", None)
                if handler is not None:
                    handler(name, action)
        raise AssertionError("the control processes never come to rest")

    # ---- Log -------------------------------------------------------------

    def reaches_log(self, name):
        return not self.log_is_down and name not in self.cut

    def _do_ReadStream(self, name, action):  # noqa: N802
        self.positions[name][action.stream] = action.from_offset

    def _do_AppendRecords(self, name, action):  # noqa: N802
        is_reached = self.reaches_log(name)
        bodies = [records.decode(data).body for data in action.data]
        is_lost = is_reached and self.lose_append(bodies)
        if is_reached:
            self._append(action.stream, action.data)
        self.send(
            name,
            messages.AppendDone(action.stream, is_reached and not is_lost),
        )

    def _append(self, stream, data):
        for row in data:
            offset = len(self.log[stream])
            self.log[stream].append(row)
            envelope = records.decode(row)
            if stream == DECISIONS:
                outcome = ledger.apply(self.ledger, offset, envelope)
                self.outcomes.append((offset, envelope, outcome))
                if outcome.accepted:
                    self._check_record(envelope.body)
            elif isinstance(envelope.body, records.Ticket):
                catalog.apply(self.catalog, offset, envelope.body)
                self._note_limits()
        self.check()
        for name in list(self.controllers):
            self._read(name, stream, False)

    def _note_limits(self):
        """Keeps the highest maximum, since a lower one takes time."""
        for name, model in self.catalog.models():
            for zone, limits in model.availability_zones.items():
                key = (name, zone)
                self.most[key] = max(self.most[key], limits.max_replicas)

    def _read(self, name, stream, tick):
        position = self.positions[name].get(stream)
        if position is None:
            return
        if not self.reaches_log(name):
            if tick:
                self.send(name, messages.StreamFailed(stream))
            return
        if position < self.earliest[stream]:
            event = messages.StreamExpired(stream, self.earliest[stream])
            self.send(name, event)
            return
        rows = tuple(enumerate(self.log[stream]))[position:]
        if name in self.paused or not (rows or tick):
            return
        end = len(self.log[stream])
        self.positions[name][stream] = end
        self.send(name, messages.StreamRead(stream, rows, end))

    # ---- Targets ---------------------------------------------------------

    def _do_PollTarget(self, name, action):  # noqa: N802
        target = self.targets[action.target]
        status = target.status(self.clock()) if target.alive else None
        self.send(name, messages.TargetPolled(action.target, status))

    def _do_SendOrder(self, name, action):  # noqa: N802
        order = action.order
        self.sent.append((name, order))
        if order.action is messages.OrderAction.UNLOAD:
            self._check_unload(order)
        if name in self.holds_orders:
            self.late_orders.append((name, order, None))
            self.unanswered.append((name, order))
            return
        outcome = self.deliver(order)
        if self.lose_answer(order):
            outcome = messages.OrderOutcome.UNKNOWN
        self.send(name, messages.OrderAnswered(order, outcome))

    def deliver(self, order):
        """Lets an order reach its target."""
        target = self.targets[order.target]
        if not target.alive or target.incarnation != order.target_incarnation:
            return messages.OrderOutcome.NOT_SENT
        outcome = target.order(order, self.clock())
        self.check()
        return outcome

    def drop_connections(self, name):
        """The sender sees its held orders fail; their bytes are under way."""
        self.holds_orders.discard(name)
        rows = [row for row in self.unanswered if row[0] == name]
        self._end_connections(name)
        for _, order in rows:
            outcome = messages.OrderOutcome.UNKNOWN
            self.send(name, messages.OrderAnswered(order, outcome))
        self._pump()

    def deliver_late(self):
        """Lets every order that was held back arrive now.

        Returns:
            The outcomes of the loads among them.
        """
        orders = self._arriving()
        self.late_orders = []
        outcomes = [(order, self.deliver(order)) for order in orders]
        load = messages.OrderAction.LOAD
        return [outcome for order, outcome in outcomes if order.action is load]

    # ---- Peers -----------------------------------------------------------

    def _peer(self, name, address):
        for other in self.controllers:
            is_cut = {name, other} & (self.isolated | self.paused)
            if self.address(other) == address and not is_cut:
                return other
        return None

    def _do_ExchangeWithPeer(self, name, action):  # noqa: N802
        peer = self._peer(name, action.address)
        if peer is None or peer in self.stopped:
            event = messages.UpdateReceived(action.address, None)
            self.send(name, event)
            return

        def answer(update):
            event = messages.UpdateReceived(action.address, update)
            self.send(name, event)

        event = messages.DigestReceived(
            answer, action.digest, action.target_states
        )
        self.send(peer, event)

    def _do_SendDemand(self, name, action):  # noqa: N802
        peer = self._peer(name, action.address)
        if peer is not None:
            demands = [dataclass_copy(demand) for demand in action.demands]
            self.send(peer, messages.DemandReceived(demands))

    def _do_FetchSnapshot(self, name, action):  # noqa: N802
        def answer(value):
            event = messages.SnapshotFetched(
                action.stream, value.offset, value.data
            )
            self.send(name, event)

        peer = self._peer(name, action.address)
        if peer is not None:
            self.send(peer, messages.SnapshotWanted(answer, action.stream))

    def _do_FetchOutcome(self, name, action):  # noqa: N802
        def answer(value):
            self.send(name, messages.OutcomeFetched(action.key, value))

        peer = self._peer(name, action.address)
        if peer is None:
            answer(None)
        else:
            self.send(peer, messages.OutcomeWanted(answer, action.key))

    def _do_ForwardAdapterRequest(self, name, action):  # noqa: N802
        peer = self._peer(name, action.address)
        if peer is not None:
            deadline = self.clock() + action.timeout
            event = messages.AdapterRequested(
                action.token, action.target, action.adapter, deadline
            )
            self.send(peer, event)

    def _do_Reply(self, name, action):  # noqa: N802
        if callable(action.token):
            action.token(action.value)
        else:
            self.replies.setdefault(action.token, []).append(action.value)

    def _do_Stop(self, name, action):  # noqa: N802
        self.stopped.add(name)

    # ---- Questions and invariants ----------------------------------------

    def loaded(self, model=None):
        """Returns the pairs (target, slot) that are loaded."""
        return [
            (target.name, slot)
            for target in self.targets.values()
            if target.alive
            for slot, *_ in target.models.values()
            if model in (None, slot.model)
        ]

    def holder(self, target):
        lease = self.ledger.lease(target)
        return None if lease is None else lease.holder.instance

    def routes(self, name):
        report = ttypes.EntryReport("e", 0, 0, [], {}, [], False)
        return self.controllers[name].route_update(report)

    def ready(self, name, model):
        """Returns the targets that an entry of an instance may use."""
        return [
            replica.target
            for replica in self.routes(name).replicas
            if replica.slot.model == model
            and replica.state == ttypes.ReplicaState.READY
        ]

    def check(self):
        """Raises ViolationError if an invariant does not hold now."""
        for target in self.targets.values():
            used = sum(size for _, size, *_ in target.models.values())
            if used > target.memory:
                raise ViolationError(f"{target.name} has {used} bytes loaded")
            state = self.ledger.targets.get(target.name)
            if state is not None and state.incarnation == target.incarnation:
                total = sum(
                    item.memory_bytes for item in state.reservations.values()
                )
                if total > target.memory:
                    raise ViolationError(f"{target.name} has {total} reserved")
        counts = collections.Counter(
            (slot.model, slot.availability_zone) for _, slot in self.loaded()
        )
        for key, count in counts.items():
            if count > self.most[key]:
                raise ViolationError(f"{key} has {count} replicas loaded")

    def _check_unload(self, order):
        """No reachable instance may route to what is ordered to unload.

        This holds when the order is sent. A late order of a process that has
        died may meet a replica that its successor routes to; the engine then
        refuses new requests as not run and finishes the others.
        """
        cut = self.paused | self.isolated | self.stopped
        for name in set(self.controllers) - cut:
            if order.target in self.ready(name, order.slot.model):
                raise ViolationError(f"{name} routes to {order.slot}")

    def _check_record(self, body):
        if not isinstance(body, records.Release):
            return
        target = self.targets[body.target]
        slots = [slot for slot, *_ in target.models.values()]
        if body.slot in slots:
            raise ViolationError(f"{body.slot} was released while loaded")
        for order in self._arriving():
            is_load = order.action is messages.OrderAction.LOAD
            can_act = not target.checks or (
                order.fencing_number >= target.fencing
            )
            if (
                is_load
                and can_act
                and order.target == body.target
                and order.target_incarnation == target.incarnation
                and order.slot == body.slot
            ):
                raise ViolationError(f"{body.slot} was released before closure")


def dataclass_copy(message):
    """Returns a copy of a flat Thrift struct."""
    names = [row[2] for row in message.thrift_spec if row is not None]
    return type(message)(**{name: getattr(message, name) for name in names})
