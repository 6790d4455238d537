"""Faults of one control process or its surroundings, to begin and to end."""

import control_fakes
import pytest

from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge import tickets

CRASH = "crash"
PAUSE = "pause beyond the lease"
CUT = "cut"
HALF_OPEN = "half-open connection"
LOST = "lost acknowledgement"
DUPLICATE = "duplicate"
REORDER = "reorder"
OUTAGE = "log outage"
SLOW_STORE = "slow weight store"
RACE = "racing tickets"
RECLAIMED = "reclaimed instance"
OF_MESSAGES = (HALF_OPEN, LOST, DUPLICATE, REORDER)
OF_PROCESSES = (CRASH, PAUSE, RECLAIMED)
# Above the numbers of the other tickets of a test.
RACE_NUMBER = 50
# The model of `World.ticket`, with another priority.
_RACING_TICKET = """{"ticket": %d, "models": {"report": {
    "versions": {"v1": {"checkpoint": "report-v1", "memory_mib": 400}},
    "default_version": "v1", "priority": %d,
    "availability_zones": {"uy-south-a": {"max_replicas": 1}}}}}"""


def covers(step, *faults):
    """Returns test parameters, each marked with its cell of the matrix."""
    return [
        pytest.param(fault, marks=pytest.mark.covers(fault, step))
        for fault in faults
    ]


class Fault:
    """A fault at one instance of a world, from `begin` to `end`."""

    def __init__(self, world, node, first=None):
        """Takes the kind of record that goes silent first, or None."""
        self.world = world
        self.node = node
        self.first = first
        self.silent = []
        self.undo = []
        self.tokens = []  # Of the tickets that race.
        # Record types and order actions that the fault has affected.
        self.hits = set()

    def begin(self, name):
        getattr(self, f"_begin_{name.replace(' ', '_').replace('-', '_')}")()

    def end(self):
        while self.undo:
            self.undo.pop()()
        self.world._pump()

    def _replace(self, name, value):
        former = getattr(self.world, name)
        setattr(self.world, name, value)
        self.undo.append(lambda: setattr(self.world, name, former))
        return former

    def _begin_crash(self):
        zone = self.world.zones[self.node]
        self.world.kill(self.node)
        self.undo.append(lambda: self.world.start(self.node, zone))

    def _begin_reclaimed_instance(self):
        self.world.kill(self.node)
        self.world.unlisted.add(self.node)

    def _begin_pause_beyond_the_lease(self):
        """Answers to what was sent before arrive when the process runs."""
        send = self.world.send
        late = []
        answers = (messages.AppendDone, messages.OrderAnswered)

        def keep(name, event):
            if name == self.node and isinstance(event, answers):
                late.append(event)
            else:
                send(name, event)

        self.world.paused.add(self.node)
        self.undo.append(lambda: [send(self.node, event) for event in late])
        self.undo.append(lambda: self.world.paused.discard(self.node))
        self._replace("send", keep)

    def _begin_cut(self):
        for group in (self.world.cut, self.world.isolated):
            group.add(self.node)
            self.undo.append(lambda group=group: group.discard(self.node))

    def _begin_log_outage(self):
        self._replace("log_is_down", True)

    def _begin_slow_weight_store(self):
        for target in self.world.targets.values():
            target.load_seconds = 40

    def _note_records(self, data):
        self.hits |= {type(records.decode(row).body) for row in data}

    def _hold_orders(self):
        """Orders stay on the way until their connection is dropped."""
        send = self.world._do_SendOrder

        def hold(name, action):
            if name == self.node:
                self.hits.add(action.order.action)
            send(name, action)

        self._replace("_do_SendOrder", hold)
        self.world.holds_orders.add(self.node)

    def _begin_half_open_connection(self):
        """Orders and appends get no answer until their connection ends."""
        self._hold_appends()
        self._hold_orders()
        self.undo.append(lambda: self.world.drop_connections(self.node))

    def _hold_appends(self):
        append = self.world._do_AppendRecords

        def hold(name, action):
            kinds = {type(records.decode(row).body) for row in action.data}
            is_first = self.first is None or self.first in kinds
            if name == self.node and (is_first or self.hits):
                self.silent.append(action.stream)
                self.hits |= kinds
            else:
                append(name, action)

        def answer():
            for stream in self.silent:
                event = messages.AppendDone(stream, False)
                self.world.send(self.node, event)

        self.undo.append(answer)
        self._replace("_do_AppendRecords", hold)

    def _begin_lost_acknowledgement(self):
        """The first record and order of each kind gets no answer."""

        def lose(kinds):
            is_lost = not kinds <= self.hits
            self.hits |= kinds
            return is_lost

        self._replace(
            "lose_append", lambda bodies: lose({type(body) for body in bodies})
        )
        self._replace("lose_answer", lambda order: lose({order.action}))

    def _begin_duplicate(self):
        """Every record and every order arrives twice."""
        append = self.world._append

        def append_twice(stream, data):
            self._note_records(data)
            append(stream, [*data, *data])

        self._replace("_append", append_twice)
        deliver = self.world.deliver

        def twice(order):
            self.hits.add(order.action)
            outcome = deliver(order)
            assert deliver(order) in (outcome, messages.OrderOutcome.STALE)
            return outcome

        self._replace("deliver", twice)

    def _begin_reorder(self):
        """Orders arrive last first, after their sender has given them up."""
        self._hold_orders()

        def arrive():
            self.world.drop_connections(self.node)
            self.world.run(3)
            self.world.late_orders.reverse()
            self.world.deliver_late()

        self.undo.append(arrive)

    def _begin_racing_tickets(self):
        """Two operators submit different priorities under one number."""
        others = [n for n in self.world.controllers if n != self.node]
        for node, priority in ((self.node, 6), (others[0], 7)):
            text = _RACING_TICKET % (RACE_NUMBER, priority)
            token = f"race-{priority}"
            ticket = tickets.parse(text, "test")
            self.world.send(node, messages.TicketSubmitted(token, ticket))
            self.tokens.append(token)
        self.world._pump()


def make_world(instances=2, targets=2, models=None, **more):
    """A world whose orders linger for 20 s only."""
    world = control_fakes.World(linger=20)
    for index in range(targets):
        world.add_target(f"lm-{index}", **more)
    for index in range(instances):
        world.start(f"node-{index}")
    world.ticket(1, models if models is not None else {"report": {}})
    world.run(5)
    return world


def ready_everywhere(world, model="report"):
    """Whether every running process routes to the model."""
    nodes = set(world.controllers) - world.stopped
    return all(world.ready(node, model) for node in nodes)


def verdicts(world, tokens):
    return sorted(world.replies[token][0].verdict.value for token in tokens)
