"""The fold of the decision stream."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import hypothesis_settings
import naive_ledger
import pytest

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import ledger as ledger_module
from quetzalgauge import records

_ZONE = ids.AvailabilityZone("uy-south-a")
_SLOT = ids.SlotId("palomar-report", _ZONE, 0)


def _fold(*bodies):
    ledger = ledger_module.make_ledger()
    writer = ids.WriterId("node-1", 1)
    outcomes = [
        ledger_module.apply(
            ledger, offset, records.Envelope(writer, offset, body)
        )
        for offset, body in enumerate(bodies)
    ]
    return ledger, outcomes


def _assert_same_state(first, second):
    parts = [dict(vars(state)) for state in (first, second)]
    claims = [list(part.pop("_claims").items()) for part in parts]
    assert parts[0] == parts[1]
    assert claims[0] == claims[1]


def test_snapshot_restores_the_same_state():
    """Guards against a field that a snapshot leaves out."""
    ledger, outcomes = _fold(
        records.Register(_ZONE, "127.0.0.1:7100"),
        records.LeaseClaim("lm-1", ids.NO_OFFSET),
        records.TargetRegister("lm-1", "8f3a", _ZONE, 100, True),
        records.Reserve("lm-1", 1, _SLOT, "v2", 60),
        records.KeyClaim((1, -(2**60)), "entry-1"),
        records.Renew(),
    )
    assert [outcome.reason for outcome in outcomes] == [""] * 6
    assert ledger.latest_renewal("lm-1") == 5
    restored = ledger_module.restore(ledger_module.snapshot(ledger))
    _assert_same_state(restored, ledger)


def test_foreign_bytes_are_no_snapshot():
    """Guards against a follower that stops at a damaged snapshot."""
    with pytest.raises(exceptions.DecodeError):
        ledger_module.restore(b"foreign")


def test_foreign_stream_records_have_no_effect():
    """Guards against a ticket or a snapshot that decides something."""
    ledger, outcomes = _fold(
        records.Register(_ZONE, "127.0.0.1:7100"),
        records.Ticket(17, "{}"),
        records.Snapshot(0, b"foreign"),
    )
    assert [outcome.accepted for outcome in outcomes] == [True, False, True]
    assert ledger.latest_snapshot == 0


def _prepared():
    """Returns a ledger and a function that folds one more record.

    node-1.2 and node-2.1 are in zone a, node-3.1 in zone b. node-1.2 holds
    lm-1 with number 5 (4 is open too) and lm-2, which is not registered.
    """
    ledger = ledger_module.make_ledger()

    def fold(writer, body):
        offset = ledger.offset + 1
        instance, incarnation = writer.split(".")
        envelope = records.Envelope(
            ids.WriterId(instance, int(incarnation)), offset, body
        )
        return ledger_module.apply(ledger, offset, envelope).reason

    for writer, zone in [
        ("node-1.2", "a"),
        ("node-2.1", "a"),
        ("node-3.1", "b"),
    ]:
        fold(writer, records.Register(zone, ""))
    fold("node-2.1", records.LeaseClaim("lm-0", ids.NO_OFFSET))
    fold("node-1.2", records.LeaseClaim("lm-1", ids.NO_OFFSET))
    fold("node-1.2", records.LeaseClaim("lm-1", 4))
    fold("node-1.2", records.Close("lm-1", 4, records.CloseProof.FENCED))
    fold("node-1.2", records.TargetRegister("lm-1", "x", "a", 6, True))
    fold("node-1.2", records.LeaseClaim("lm-2", ids.NO_OFFSET))
    slot = ids.SlotId("m", "a", 0)
    fold("node-1.2", records.Reserve("lm-1", 5, slot, "v", 3))
    return ledger, fold


@pytest.mark.parametrize(
    ("writer", "body", "reason"),
    [
        (
            "node-2.1",
            records.Reserve("lm-1", 5, ids.SlotId("m", "a", 1), "v", 1),
            "the writer does not hold the lease with this number",
        ),
        (
            "node-1.2",
            records.Reserve("lm-1", 4, ids.SlotId("m", "a", 1), "v", 1),
            "the writer does not hold the lease with this number",
        ),
        (
            "node-1.2",
            records.Reserve("lm-2", 8, ids.SlotId("m", "a", 1), "v", 1),
            "the target is not registered",
        ),
        (
            "node-1.2",
            records.Reserve("lm-1", 5, ids.SlotId("m", "a", -1), "v", 1),
            "the slot's index is negative",
        ),
        (
            "node-2.1",
            records.Release("lm-1", 5, ids.SlotId("m", "a", 0)),
            "the writer does not hold the lease with this number",
        ),
        (
            "node-1.2",
            records.Release("lm-1", 4, ids.SlotId("m", "a", 0)),
            "the writer does not hold the lease with this number",
        ),
        (
            "node-2.1",
            records.InstanceGone("node-1", 1),
            "a newer incarnation is registered",
        ),
        (
            "node-3.1",
            records.TargetGone("lm-1", "x"),
            "the target is in another zone",
        ),
        ("node-2.1", records.TargetGone("lm-1", "x"), ""),
    ],
)
def test_rejections_name_the_broken_rule(writer, body, reason):
    """Guards against a rule that the random records seldom reach."""
    _, fold = _prepared()
    assert fold(writer, body) == reason


def test_an_ended_target_has_no_memory_and_does_not_come_back():
    """Guards against replicas on an incarnation that was given up."""
    ledger, fold = _prepared()
    assert fold("node-1.2", records.TargetGone("lm-1", "x")) == ""
    assert ledger.unreserved_bytes("lm-1") == 0
    assert not ledger.slots
    again = records.TargetRegister("lm-1", "x", "a", 6, True)
    reason = "this incarnation of the target has ended"
    assert fold("node-1.2", again) == reason
    later = records.TargetRegister("lm-1", "y", "a", 6, True)
    assert fold("node-1.2", later) == ""


def test_a_target_in_use_is_not_forgotten(monkeypatch):
    """Guards against a pruned lease, and against targets kept for ever."""
    monkeypatch.setattr(ledger_module, "VACANT_TARGET_LIMIT", 0)
    ledger, fold = _prepared()
    fold("node-1.2", records.Resign(("lm-1", "lm-2")))
    assert {"lm-0", "lm-1", "lm-2"} == set(ledger.targets)
    settled = records.CloseProof.SETTLED
    fold("node-1.2", records.Close("lm-2", 8, settled))
    assert {"lm-0", "lm-1"} == set(ledger.targets)
    fold("node-1.2", records.Close("lm-1", 5, settled))
    assert {"lm-0", "lm-1"} == set(ledger.targets)
    fold("node-2.1", records.TargetGone("lm-1", "x"))
    assert {"lm-0"} == set(ledger.targets)


def test_the_lists_of_the_gone_are_bounded(monkeypatch):
    """Guards against state that grows with every replaced instance."""
    monkeypatch.setattr(ledger_module, "GONE_WRITER_LIMIT", 2)
    monkeypatch.setattr(ledger_module, "VACANT_TARGET_LIMIT", 2)
    ledger = ledger_module.make_ledger()
    bodies = [(0, records.Register(_ZONE, ""))]
    for number in range(1, 6):
        bodies += [
            (number, records.Register(_ZONE, "")),
            (number, records.LeaseClaim(f"lm-{number}", ids.NO_OFFSET)),
            (0, records.InstanceGone(f"node-{number}", 1)),
        ]
    for offset, (number, body) in enumerate(bodies):
        writer = ids.WriterId(f"node-{number}", 1)
        ledger_module.apply(
            ledger, offset, records.Envelope(writer, offset, body)
        )
    assert len(ledger._gone_writers) == 2
    # Open numbers are never forgotten.
    assert len(ledger.targets) == 5
    for place, number in enumerate(range(1, 6)):
        body = records.Close(
            f"lm-{number}", 3 * number - 1, records.CloseProof.WRITER_GONE
        )
        offset = len(bodies) + place
        envelope = records.Envelope(ids.WriterId("node-0", 1), offset, body)
        outcome = ledger_module.apply(ledger, offset, envelope)
        assert outcome.accepted, outcome.reason
    assert set(ledger.targets) == {"lm-4", "lm-5"}
    restored = ledger_module.restore(ledger_module.snapshot(ledger))
    _assert_same_state(restored, ledger)


# ---- Comparison with the naive version, and invariants ---------------------

_KEY_LIMIT = 4
_MEMORY = 6
_WRITERS = [
    ids.WriterId(f"node-{number}", incarnation)
    for incarnation in (1, 2)
    for number in (1, 2, 3)
]
_ZONES = {"node-1": "a", "node-2": "a", "node-3": "b"}
_TARGETS = ("lm-1", "lm-2")
_SLOTS = [ids.SlotId("m", "a", index) for index in (0, 1, 2)]

_writers = strategies.sampled_from(_WRITERS)
_targets = strategies.sampled_from(_TARGETS)
_slots = strategies.sampled_from([*_SLOTS, ids.SlotId("m", "b", 0)])
_incarnations = strategies.sampled_from("xy")
_keys = strategies.lists(strategies.integers(1, 7), max_size=3).map(tuple)


class _InvariantMachine(stateful.RuleBasedStateMachine):
    """Drives the fold and checks the invariants from the outcomes alone."""

    def __init__(self):
        super().__init__()
        self.ledger = ledger_module.make_ledger()
        self.offset = ids.NO_OFFSET
        self.sequence = 0
        self.sent = []
        self.effective = set()
        self.latest = {}  # Latest accepted incarnation of each instance.
        self.ended = set()  # Writers whose process is known to have ended.
        self.open = {name: {} for name in _TARGETS}
        self.renewed = {}  # Offset of the latest renewal of each writer.
        self.claimed = {}  # Holder and offset of the latest claim per target.

    @stateful.initialize()
    def set_up(self):
        """Starts with two holders, so that most records can take effect."""
        for writer in _WRITERS[:3]:
            self.register(writer)
        for writer, target, checks in zip(
            _WRITERS, _TARGETS, (True, False), strict=False
        ):
            self.send(writer, records.LeaseClaim(target, ids.NO_OFFSET))
            self.send(
                writer,
                records.TargetRegister(target, "x", "a", _MEMORY, checks),
            )

    def send(self, writer, body):
        self.sequence += 1
        self.deliver(records.Envelope(writer, self.sequence, body))

    def deliver(self, envelope):
        self.offset += 1
        outcome = ledger_module.apply(self.ledger, self.offset, envelope)
        self.sent.append(envelope)
        if outcome.accepted:
            self.check_accepted(envelope)
        return outcome

    def check_accepted(self, envelope):
        writer, body = envelope.writer, envelope.body
        key = (writer, envelope.sequence)
        assert key not in self.effective, "a duplicate took effect"
        self.effective.add(key)
        if isinstance(body, records.Register):
            last = self.latest.get(writer.instance, 0)
            assert writer.incarnation >= last, "an older writer came back"
            assert writer not in self.ended, "an ended writer came back"
            self.latest[writer.instance] = writer.incarnation
        current = self.latest.get(writer.instance)
        assert current == writer.incarnation, "a stale writer took effect"
        assert writer not in self.ended, "an ended writer took effect"
        if isinstance(body, records.InstanceGone):
            self.ended |= {
                ids.WriterId(body.instance, incarnation)
                for incarnation in range(1, body.incarnation + 1)
            }
        if isinstance(body, records.Resign):
            for name in body.targets:
                if self.claimed.get(name, (None,))[0] == writer:
                    self.claimed[name] = (None, self.claimed[name][1])
        if isinstance(body, records.Renew):
            self.renewed[writer] = self.offset
        if isinstance(body, records.LeaseClaim):
            self.check_claim(writer, body)
        if isinstance(body, records.Close):
            self.check_close(writer, body)
        if isinstance(body, records.Reserve | records.Release):
            lease = self.ledger.lease(body.target)
            held = (lease.holder, lease.fencing_number) if lease else None
            assert held == (writer, body.fencing_number), "not the holder"
        if isinstance(body, records.Release | records.TargetRegister):
            number = self.ledger.targets[body.target].fencing_number
            older = [one for one in self.open[body.target] if one < number]
            assert not older, "an older fencing number was open"

    def check_claim(self, writer, body):
        former = self.claimed.get(body.target)
        if former is not None and former[0] not in self.ended:
            renewed = self.renewed.get(former[0], -1)
            late = body.expected_offset < renewed
            held = former[0] and self.ledger.is_registered(former[0])
            assert not (late and held), "a claim ignored a renewal"
            assert body.expected_offset >= former[1], "a claim ignored a claim"
        self.claimed[body.target] = (writer, self.offset)
        self.open[body.target][self.offset] = writer

    def check_close(self, writer, body):
        owner = self.open[body.target].pop(body.fencing_number)
        if body.proof is records.CloseProof.SETTLED:
            assert owner == writer, "another writer settled"
        if body.proof is records.CloseProof.WRITER_GONE:
            replaced = self.latest[owner.instance] > owner.incarnation
            assert replaced or owner in self.ended, "the writer is not gone"
        if body.proof is records.CloseProof.FENCED:
            lease = self.ledger.lease(body.target)
            assert lease.fencing_number > body.fencing_number, "not fenced"

    @stateful.rule(writer=_writers)
    def register(self, writer):
        zone = _ZONES[writer.instance]
        self.send(writer, records.Register(zone, "127.0.0.1:1"))

    @stateful.rule(data=strategies.data())
    def register_in_another_zone(self, data):
        writer = self.writer(data)
        if self.ledger.is_registered(writer):
            self.send(writer, records.Register("c", "127.0.0.1:1"))

    @stateful.rule(writer=_writers, incarnation=strategies.integers(1, 2))
    def end_instance(self, writer, incarnation):
        sender = _WRITERS[2]
        body = records.InstanceGone(writer.instance, incarnation)
        self.send(sender, body)

    def writer(self, data):
        """Returns a registered writer, sometimes any."""
        registered = sorted(row.id for row in self.ledger.writers.values())
        if registered and data.draw(strategies.integers(0, 4)):
            return data.draw(strategies.sampled_from(registered))
        return data.draw(_writers)

    @stateful.rule(
        name=_targets, guess=strategies.booleans(), data=strategies.data()
    )
    def claim(self, name, guess, data):
        writer = self.writer(data)
        expected = self.ledger.latest_renewal(name)
        if guess:
            # What a claimer had seen before the latest renewal.
            state = self.ledger.targets.get(name)
            expected = state.latest_offset if state else 0
        self.send(writer, records.LeaseClaim(name, expected))

    @stateful.rule(data=strategies.data())
    def renew(self, data):
        self.send(self.writer(data), records.Renew())

    @stateful.rule(names=strategies.sets(_targets), data=strategies.data())
    def resign(self, names, data):
        self.send(self.writer(data), records.Resign(tuple(sorted(names))))

    def holder(self, target, data):
        """Returns the holder and its number, sometimes a former one."""
        numbers = dict(self.ledger.open_numbers(target))
        lease = self.ledger.lease(target)
        if lease is not None and data.draw(strategies.integers(0, 3)):
            return lease.holder, lease.fencing_number
        if not numbers:
            return data.draw(_writers), ids.FencingNumber(0)
        number = data.draw(strategies.sampled_from(sorted(numbers)))
        return numbers[number], number

    @stateful.rule(
        name=_targets,
        data=strategies.data(),
        proof=strategies.sampled_from(records.CloseProof),
    )
    def close(self, name, data, proof):
        writer = self.writer(data)
        owner, number = self.holder(name, data)
        numbers = sorted(self.ledger.open_numbers(name))
        if numbers and data.draw(strategies.booleans()):
            number = numbers[0]
            owner = self.ledger.open_numbers(name)[number]
        lease = self.ledger.lease(name)
        holder = writer if lease is None else lease.holder
        sender = data.draw(strategies.sampled_from([writer, owner, holder]))
        self.send(sender, records.Close(name, number, proof))

    @stateful.rule(
        name=_targets,
        incarnation=_incarnations,
        is_gone=strategies.booleans(),
        memory=strategies.sampled_from([_MEMORY, _MEMORY, 0, -1]),
        data=strategies.data(),
    )
    def register_target(self, name, incarnation, is_gone, memory, data):
        writer, _ = self.holder(name, data)
        if is_gone:
            self.send(writer, records.TargetGone(name, "x"))
            self.send(writer, records.TargetGone(name, "y"))
        zone = _ZONES[writer.instance]
        zone = data.draw(strategies.sampled_from([zone, zone, "b"]))
        body = records.TargetRegister(name, incarnation, zone, memory, True)
        self.send(writer, body)

    @stateful.rule(
        name=_targets, incarnation=_incarnations, data=strategies.data()
    )
    def end_target(self, name, incarnation, data):
        self.send(self.writer(data), records.TargetGone(name, incarnation))

    @stateful.rule(
        name=_targets,
        wanted=strategies.lists(
            strategies.tuples(_slots, strategies.integers(-1, 7)),
            min_size=1,
            max_size=3,
        ),
        data=strategies.data(),
    )
    def reserve(self, name, wanted, data):
        for slot, size in wanted:
            writer, number = self.holder(name, data)
            self.send(writer, records.Reserve(name, number, slot, "v", size))

    @stateful.rule(name=_targets, data=strategies.data())
    def take_over(self, name, data):
        """Claims and closes the older numbers, as a live control does."""
        writer = self.writer(data)
        expected = self.ledger.latest_renewal(name)
        self.send(writer, records.LeaseClaim(name, expected))
        for number in sorted(self.ledger.open_numbers(name))[:-1]:
            for proof in records.CloseProof:
                self.send(writer, records.Close(name, number, proof))

    @stateful.rule(name=_targets, slot=_slots, data=strategies.data())
    def release(self, name, slot, data):
        writer, number = self.holder(name, data)
        reserved = sorted(self.ledger.reservations(name))
        if reserved:
            slot = reserved[0]
        self.send(writer, records.Release(name, number, slot))

    @stateful.rule(keys=_keys, data=strategies.data())
    def claim_keys(self, keys, data):
        self.send(self.writer(data), records.KeyClaim(keys, "entry-1"))

    @stateful.rule(keys=_keys, data=strategies.data())
    def release_keys(self, keys, data):
        self.send(self.writer(data), records.KeyRelease(keys))

    @stateful.rule(data=strategies.data())
    def repeat(self, data):
        """Delivers a copy of an earlier record, as after a lost answer."""
        back = data.draw(strategies.integers(1, min(6, len(self.sent))))
        self.deliver(self.sent[-back])

    @stateful.rule()
    def restore(self):
        data = ledger_module.snapshot(self.ledger)
        restored = ledger_module.restore(data)
        assert ledger_module.snapshot(restored) == data
        self.ledger = restored

    @stateful.invariant()
    def a_slot_is_on_one_target(self):
        slots = [
            slot
            for name in self.ledger.targets
            for slot in self.ledger.reservations(name)
        ]
        assert len(slots) == len(set(slots)), "a slot is on two targets"

    @stateful.invariant()
    def reserved_memory_exists(self):
        for name, target in self.ledger.targets.items():
            rows = self.ledger.reservations(name).values()
            total = sum(row.memory_bytes for row in rows)
            assert total <= target.accelerator_memory_bytes, "overcommitted"


class _ComparisonMachine(_InvariantMachine):
    """Compares each outcome and the state with the naive version."""

    def __init__(self):
        super().__init__()
        self.naive = naive_ledger.NaiveLedger(_KEY_LIMIT)

    def deliver(self, envelope):
        outcome = super().deliver(envelope)
        expected = self.naive.apply(self.offset, envelope)
        assert outcome.verdict.value == expected, outcome.reason

    @stateful.rule()
    def compare_with_restored(self):
        data = ledger_module.snapshot(self.ledger)
        _assert_same_state(ledger_module.restore(data), self.ledger)

    @stateful.invariant()
    def the_states_agree(self):
        assert self.ledger.offset == self.offset
        assert self.ledger.slots == {
            slot: name
            for name in _TARGETS
            for slot in self.ledger.reservations(name)
        }
        writers = {row[0] for row in self.naive.writers().values()}
        assert {row.id for row in self.ledger.writers.values()} == writers
        for name in _TARGETS:
            holder, number, latest = self.naive.lease(name)
            lease = self.ledger.lease(name)
            assert (lease and lease.holder) == holder
            assert lease is None or lease.fencing_number == number
            assert self.ledger.latest_renewal(name) == latest
            state = self.ledger.targets.get(name)
            rows = self.ledger.reservations(name).values()
            total = sum(row.memory_bytes for row in rows)
            assert (state.reserved_bytes if state else 0) == total
            numbers = self.ledger.open_numbers(name)
            assert numbers == self.naive.open_numbers(name)
            assert {
                slot: (row.version, row.memory_bytes)
                for slot, row in self.ledger.reservations(name).items()
            } == self.naive.reservations(name)
        assert [
            (key, claim.offset, claim.writer, claim.entry)
            for key, claim in self.ledger.claims.items()
        ] == self.naive.claims()


def _run(machine, count, phases=tuple(hypothesis.Phase)):
    settings = hypothesis_settings.make(
        max_examples=count,
        stateful_step_count=40,
        deadline=None,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
        report_multiple_bugs=False,
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


@pytest.mark.covers("duplicate", "lease change")
def test_the_fold_agrees_with_the_naive_version(monkeypatch):
    """Guards against any rule that differs, and against broken invariants."""
    monkeypatch.setattr(ledger_module, "KEY_CLAIM_LIMIT", _KEY_LIMIT)
    _run(_ComparisonMachine, 150)


@pytest.mark.parametrize(
    ("guard", "found"),
    [
        ("_is_slot_free", "a slot is on two targets"),
        ("_fits_memory", "overcommitted"),
        ("_are_older_numbers_closed", "an older fencing number was open"),
        ("_is_registered", "a stale writer took effect|an ended writer"),
        ("_is_newer_incarnation", "an older writer|an ended writer"),
        ("_is_new_sequence", "a duplicate took effect"),
        ("_is_latest_renewal", "a claim ignored"),
        ("_holds_lease", "not the holder"),
        ("_is_close_proven", "settled|is not gone|not fenced"),
    ],
)
def test_the_machine_finds_a_fold_without_its_guard(monkeypatch, guard, found):
    """Guards against a machine that cannot see the broken invariant."""
    monkeypatch.setattr(ledger_module, guard, lambda *_: True)
    if guard == "_is_registered":
        monkeypatch.setattr(
            ledger_module, guard, lambda writer, _: writer is not None
        )
    with pytest.raises(AssertionError, match=found):
        _run(_InvariantMachine, 300, [hypothesis.Phase.generate])
