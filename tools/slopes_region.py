"""Runs the control cores of a region on a manual clock and measures them.

The log, the targets and the peers are in memory. The log hands out what is new
in each step of the clock, as the paced reader of the control process does.
"""

import collections
import datetime
import json
import random
import statistics
import time

from thrift import TSerialization
from thrift.protocol import TCompactProtocol

from quetzalgauge import clock
from quetzalgauge import controller
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge import settings
from quetzalgauge.gen import ttypes

REGION = "uy-south"
DECISIONS = ids.decision_stream(ids.Region(REGION))
STEP = datetime.timedelta(milliseconds=250)
LIST_STEPS = 4
# An entry process reports a waiting request of one model every 5 s.
WAITING_STEPS = 20
MODELS = 250
DEMANDS = 20
PROCESSES_PER_ZONE = 28
MODEL_MIB = 70_000
MIB = 1024 * 1024
TICKET_TRIES = 3
_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()


def _size(message):
    return len(TSerialization.serialize(message, _FACTORY))


class _Target:
    def __init__(self, name, zone, reservations):
        self.name = name
        self.zone = zone
        self.memory = (reservations * MODEL_MIB + 1) * MIB
        self.fencing = -1
        self.models = {}

    def entry(self):
        return messages.ListedInstance(
            self.name,
            messages.InstanceKind.TARGET,
            f"addr-{self.name}",
            self.zone,
            REGION,
            messages.InstanceState.LIVE,
            "1",
            "models",
            accelerator_memory_bytes=self.memory,
            checks_fencing=True,
        )

    def order(self, order):
        self.fencing = max(self.fencing, order.fencing_number)
        if order.action is messages.OrderAction.LOAD:
            self.models[order.slot] = order
        elif order.action is messages.OrderAction.UNLOAD:
            self.models.pop(order.slot, None)
        return messages.OrderOutcome.DONE

    def status(self):
        models = tuple(
            messages.ModelStatus(
                slot.model,
                order.version,
                messages.ReplicaState.READY,
                slot,
                order.memory_bytes,
                1,
                0,
                datetime.timedelta(),
            )
            for slot, order in self.models.items()
        )
        return messages.TargetStatus(
            self.name,
            "1",
            False,
            self.fencing,
            True,
            self.memory,
            sum(model.memory_bytes for model in models),
            models,
            {},
        )


class Region:
    """Control cores, targets and the log of one region."""

    def __init__(self, processes, targets_each, reservations):
        self.clock = clock.ManualClock()
        self.log = {ids.CONFIG_STREAM: [], DECISIONS: []}
        self.positions = {}
        self.cores = {}
        self.queue = collections.deque()
        self.cpu = collections.Counter()
        self.bytes = collections.Counter()
        self.appends = 0
        self.cut = set()
        self.replies = {}
        self.routes = {}
        self.random = random.Random(1)
        self.zones = max(1, processes // PROCESSES_PER_ZONE)
        self.targets = {}
        for index in range(processes * targets_each):
            name = f"server-{index:05}"
            zone = f"zone-{index % self.zones}"
            self.targets[name] = _Target(name, zone, reservations)
        self.names = []
        for index in range(processes):
            self.add(index)
        self.list()
        self.steps = 0
        self._publish_models(processes * targets_each * reservations)

    def add(self, index):
        """Starts a control process."""
        name = f"node-{index:03}"
        address = settings.Address(host="127.0.0.1", port=7000 + index)
        config = settings.ControlSettings(
            instance=name,
            availability_zone=f"zone-{index % self.zones}",
            region=REGION,
            peer_listen=address,
            control_listen=address,
            operator_listen=address,
            log_url="http://127.0.0.1:1",
            instance_list_url="http://127.0.0.1:1",
            warm_checkpoints=False,
        )
        self.cores[name] = controller.make_controller(
            config, 1, random.Random(index)
        )
        self.positions[name] = {}
        self.names.append(name)
        return name

    def list(self):
        """Makes the instance list anew."""
        systems = [
            messages.ListedInstance(
                name,
                messages.InstanceKind.SYSTEM,
                f"127.0.0.1:{7000 + index}",
                f"zone-{index % self.zones}",
                REGION,
                messages.InstanceState.LIVE,
                "1",
            )
            for index, name in enumerate(self.names)
        ]
        rows = [target.entry() for target in self.targets.values()]
        self.listing = messages.InstancesListed((*systems, *rows))

    def _publish_models(self, slots):
        most = max(1, -(-slots // (MODELS * self.zones)))
        versions = {"v1": {"checkpoint": "c", "memory_mib": MODEL_MIB}}
        zones = {
            f"zone-{zone}": {"max_replicas": most} for zone in range(self.zones)
        }
        part = {
            "versions": versions,
            "default_version": "v1",
            "availability_zones": zones,
        }
        models = {f"model-{index:03}": part for index in range(MODELS)}
        text = json.dumps({"ticket": 1, "models": models})
        self.submit(records.Ticket(ids.TicketNumber(1), text))

    def submit(self, ticket):
        """Appends a ticket as the control process of an operator does."""
        writer = ids.WriterId(ids.InstanceId("operator"), 1)
        row = records.encode(records.Envelope(writer, ticket.number, ticket))
        self.log[ids.CONFIG_STREAM].append(row)

    def run(self, seconds):
        """Lets emulated time pass."""
        for _ in range(round(seconds / STEP.total_seconds())):
            self.step()

    def step(self):
        """One step of the clock for all processes."""
        self.clock.advance(STEP)
        self.steps += 1
        for index, name in enumerate(self.names):
            if (self.steps + index) % LIST_STEPS == 0:
                self.send(name, self.listing)
            self._read(name, index)
            self._sync(name, index)
            self.send(name, messages.Tick())
        for _ in range(1_000_000):
            if not self.queue:
                return
            name, action = self.queue.popleft()
            handler = getattr(self, f"_do_{type(action).__name__}", None)
            if handler is not None:
                handler(name, action)
        raise AssertionError("the control processes never come to rest")

    def send(self, name, event):
        """Gives an event to a core and counts its CPU time."""
        start = time.thread_time()
        actions = self.cores[name].step(event, self.clock())
        self.cpu[name] += time.thread_time() - start
        self.queue.extend((name, action) for action in actions)

    def _read(self, name, index):
        if name in self.cut:
            for stream in self.log:
                self.send(name, messages.StreamFailed(stream))
            return
        for stream, position in list(self.positions[name].items()):
            rows = tuple(enumerate(self.log[stream][position:], position))
            is_poll_over = (self.steps + index) % 12 == 0
            if rows or is_poll_over:
                end = len(self.log[stream])
                self.positions[name][stream] = end
                self.send(name, messages.StreamRead(stream, rows, end))

    def _sync(self, name, index):
        version, known = self.routes.get(name, (0, 0))
        is_waiting = (self.steps + index) % WAITING_STEPS == 0
        demands = [
            ttypes.Demand(
                model=f"model-{(index * 7 + number) % MODELS:03}",
                version="v1",
                waiting=int(is_waiting and not number),
                running=1,
                oldest_wait_s=0.1,
                priority=5,
                origin=f"entry-{name}",
            )
            for number in range(DEMANDS)
        ]
        report = ttypes.EntryReport(
            f"entry-{name}", version, known, demands, {}, [], False
        )
        self.send(name, messages.EntryReported(report))
        start = time.thread_time()
        update = self.cores[name].route_update(report)
        self.cpu[name] += time.thread_time() - start
        self.routes[name] = (update.routes_version, update.catalog_version)
        self.bytes["sync"] += _size(report) + _size(update)

    def _do_ReadStream(self, name, action):  # noqa: N802
        self.positions[name][action.stream] = action.from_offset

    def _do_AppendRecords(self, name, action):  # noqa: N802
        is_reached = name not in self.cut
        if is_reached:
            self.log[action.stream].extend(action.data)
            self.appends += 1
            for data in action.data:
                kind = type(records.decode(data).body).__name__
                self.bytes[f"log {kind}"] += len(data)
        self.send(name, messages.AppendDone(action.stream, is_reached))

    def _do_PollTarget(self, name, action):  # noqa: N802
        status = self.targets[action.target].status()
        self.send(name, messages.TargetPolled(action.target, status))

    def _do_SendOrder(self, name, action):  # noqa: N802
        outcome = self.targets[action.order.target].order(action.order)
        self.send(name, messages.OrderAnswered(action.order, outcome))

    def _peer(self, address):
        return self.names[int(address.rpartition(":")[2]) - 7000]

    def _do_ExchangeWithPeer(self, name, action):  # noqa: N802
        def answer(update):
            self.bytes["exchange"] += _size(update)
            event = messages.UpdateReceived(action.address, update)
            self.send(name, event)

        self.bytes["exchange"] += _size(action.digest)
        self.bytes["exchange"] += sum(map(_size, action.target_states))
        event = messages.DigestReceived(
            answer, action.digest, action.target_states
        )
        self.send(self._peer(action.address), event)

    def _do_SendDemand(self, name, action):  # noqa: N802
        self.bytes["demand"] += sum(map(_size, action.demands))
        event = messages.DemandReceived(action.demands)
        self.send(self._peer(action.address), event)

    def _do_FetchSnapshot(self, name, action):  # noqa: N802
        def answer(value):
            event = messages.SnapshotFetched(
                action.stream, value.offset, value.data
            )
            self.send(name, event)

        peer = self._peer(action.address)
        self.send(peer, messages.SnapshotWanted(answer, action.stream))

    def _do_Reply(self, name, action):  # noqa: N802
        if callable(action.token):
            action.token(action.value)


def measure_cost(processes, targets_each, reservations, warm_up, seconds):
    """Returns a row of the cost of one core in the steady state."""
    region = Region(processes, targets_each, reservations)
    region.run(warm_up)
    region.cpu.clear()
    region.bytes.clear()
    region.appends = 0
    region.run(seconds)
    core = next(iter(region.cores.values()))
    ledger = core._ctx.ledger
    costs = list(region.cpu.values())
    per_node = {
        name: total / seconds / processes / 1024
        for name, total in region.bytes.items()
    }
    logged = sum(
        total for name, total in region.bytes.items() if name[:3] == "log"
    )
    return {
        "processes": processes,
        "targets each": targets_each,
        "reservations": len(ledger.slots),
        "CPU %": statistics.mean(costs) / seconds * 100,
        "highest CPU %": max(costs) / seconds * 100,
        "appends/s": region.appends / seconds,
        "log record KB/s": logged / seconds / 1024,
        "peers KB/s": per_node.get("exchange", 0) + per_node.get("demand", 0),
        "sync KB/s": per_node["sync"],
    }


def measure_tickets(processes):
    """Returns a row of the time until tickets are known, in emulated time."""
    region = Region(processes, 1, 1)
    region.run(8)
    worst = {}
    number = 1
    for way in ("log", "peers"):
        region.cut = {region.names[-1]} if way == "peers" else set()
        region.run(4)
        times = []
        for _ in range(TICKET_TRIES):
            number += 1
            text = json.dumps(
                {
                    "ticket": number,
                    "adapters": {
                        "loft-1": {"model": "model-001", "memory_mib": 20}
                    },
                }
            )
            region.submit(records.Ticket(ids.TicketNumber(number), text))
            times.append(_time_until_known(region, number))
            region.run(region.random.randrange(1, 4) * STEP.total_seconds())
        worst[way] = max(times)
    return {
        "processes": processes,
        "tickets each way": TICKET_TRIES,
        "log s": worst["log"],
        "one process cut off from the log s": worst["peers"],
    }


def _time_until_known(region, number):
    start = region.clock()
    while any(core.ticket_status(number) is None for core in _all(region)):
        region.step()
        passed = (region.clock() - start).total_seconds()
        assert passed < 60, "the ticket did not arrive"
    return passed


def _all(region):
    return region.cores.values()


def measure_start(processes):
    """Returns a row of the emulated time until a new process has routes."""
    region = Region(processes, 1, 1)
    region.run(15)
    name = region.add(processes)
    region.list()
    start = region.clock()
    known = _replicas(region, region.names[0])
    while not (
        region.cores[name].is_ready and _replicas(region, name) >= known
    ):
        region.step()
        passed = (region.clock() - start).total_seconds()
        assert passed < 60, "no routes"
    return {"processes": processes, "replicas": known, "routes s": passed}


def _replicas(region, name):
    report = ttypes.EntryReport("e", 0, 0, [], {}, [], False)
    return len(region.cores[name].route_update(report).replicas)
