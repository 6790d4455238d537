"""Tests the links between instances and the encoding of their messages."""

import dataclasses
import datetime
import queue
import socket
import threading
import time

import core_samples as samples
import pytest
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge.core import election
from quetzalgauge.core import node
from quetzalgauge.core import peer_messages
from quetzalgauge.core import prompt_quarantine
from quetzalgauge.core import prompt_trials
from quetzalgauge.gen.exchange import ttypes
from quetzalgauge.node import codec
from quetzalgauge.node import links

PEERS = 30


def test_a_zone_update_for_many_instances_is_encoded_once(monkeypatch):
    """Guards against CPU time that grows with the number of instances.

    A zone leader sends the same update to dozens of instances.
    """
    encoded = []
    encode = codec.encode

    def record_and_encode(message):
        encoded.append(message)
        return encode(message)

    monkeypatch.setattr(codec, "encode", record_and_encode)
    events = []
    leader_links = links.Links(
        ("127.0.0.1", 0), events.append, lambda: samples.seconds(time.time())
    )
    address = leader_links._listener.getsockname()
    threading.Thread(target=leader_links.run, daemon=True).start()
    peers = [socket.create_connection(address) for _ in range(PEERS)]
    report = peer_messages.Report("qg-2")
    for peer in peers:
        data = encode(report)
        peer.sendall(len(data).to_bytes(4, "big") + data)
    deadline = time.time() + 10
    while len(events) < PEERS and time.time() < deadline:
        time.sleep(0.01)
    update = peer_messages.ZoneUpdate(
        samples.ZONE,
        "qg-1",
        1,
        True,
        samples.seconds(0),
        0,
        PEERS,
        (samples.make_target_view("t1", ready=["m1"]),),
    )
    for event in events:
        leader_links.put(node.SendMessage(event.link, update))
    for peer in peers:
        peer.settimeout(10)
        length = int.from_bytes(peer.recv(4), "big")
        assert codec.decode(peer.recv(length)) == update
        peer.close()
    assert len(encoded) == 1


def make_wire_report(**changes):
    report = {
        "instance": "qg-2",
        "wishes": [ttypes.Wish("m", 1, [5])],
        "adapter_wishes": [],
        "running": [],
        "arrivals": {"m": 1},
        "adapter_arrivals": {},
        "offsets": {"keyed.op": 4},
    }
    return ttypes.Message(report=ttypes.Report(**{**report, **changes}))


def make_wire_update(**changes):
    update = {
        "availability_zone": "zone-a",
        "holder": "qg-1",
        "token": 3,
        "complete": True,
        "orders_in": 0,
        "backlog": 0,
        "instances": 2,
        "targets": [],
        "gone": [],
    }
    return ttypes.Message(board=ttypes.Board(**{**update, **changes}))


def make_wire_view(**changes):
    view = {
        "target": "t",
        "incarnation": 1,
        "replicas": [ttypes.ReplicaView("m", 0, False, False)],
        "adapters": [],
        "busy_for": 0,
        "running": 0,
        "fetching": "",
    }
    view = ttypes.TargetView(**{**view, **changes})
    return make_wire_update(targets=[view])


def encode_wire(message):
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def make_wire_evidence(model="m", **changes):
    end = {
        "target": "t",
        "incarnation": 1,
        "isolated": False,
        "others": [],
        "age": 0,
    }
    end = ttypes.TargetEnd(**{**end, **changes})
    return make_wire_report(evidence=[ttypes.Evidence("p", model, 0, [end], 0)])


MAX_I32 = 2**31 - 1
ODD_MESSAGES = [
    make_wire_evidence(model=None),
    make_wire_evidence(target=None),
    make_wire_evidence(incarnation=None),
    make_wire_evidence(incarnation=2**63 - 1),
    make_wire_evidence(isolated=None),
    make_wire_report(
        trial_wishes=[ttypes.TrialWish(None, "m", ["p"], 0, False)]
    ),
    make_wire_report(trial_wishes=[ttypes.TrialWish(1, None, ["p"], 0, False)]),
    make_wire_report(trial_wishes=[ttypes.TrialWish(1, "m", ["p"], 0, None)]),
    make_wire_update(grants=[ttypes.TrialGrant(None, 1, ["p"], 0)]),
    make_wire_update(grants=[ttypes.TrialGrant("qg-2", None, ["p"], 0)]),
    make_wire_report(instance=None),
    make_wire_report(wishes=[ttypes.Wish("m", None, [5])]),
    make_wire_report(wishes=[ttypes.Wish(None, 1, [5])]),
    make_wire_report(wishes=[ttypes.Wish("m", MAX_I32, [5])]),
    make_wire_report(wishes=[ttypes.Wish("m", 90_000, [5])] * 2),
    make_wire_report(wishes=[ttypes.Wish("m", -1, [5])]),
    make_wire_report(wishes=[ttypes.Wish("m", 2, [])]),
    make_wire_report(wishes=[ttypes.Wish("m", 20, [5] * 20)]),
    make_wire_report(wishes=[ttypes.Wish("m", 1, [MAX_I32])]),
    make_wire_report(arrivals={"m": -1}),
    make_wire_report(offsets={"keyed.op": 2**63 - 1}),
    make_wire_report(running=[ttypes.Running("t", "", "", MAX_I32)]),
    make_wire_report(running=[ttypes.Running("t", "", "", None)]),
    make_wire_update(token=2**63 - 1),
    make_wire_update(token=None),
    make_wire_update(complete=None),
    make_wire_update(orders_in=MAX_I32),
    make_wire_update(instances=-1),
    make_wire_update(instances=MAX_I32),
    make_wire_update(backlog=None),
    make_wire_update(store_capacity=-1),
    make_wire_view(running=-1),
    make_wire_view(incarnation=2**63 - 1),
    make_wire_view(busy_for=-MAX_I32),
    make_wire_view(target=None),
    make_wire_view(replicas=[ttypes.ReplicaView("m", None, False, False)]),
    make_wire_view(replicas=[ttypes.ReplicaView("m", 0, None, False)]),
]


@pytest.mark.parametrize("message", ODD_MESSAGES, ids=str)
def test_an_odd_message_is_an_error(message):
    """Guards against an event loop that ends, or exhausts its memory.

    Thrift checks neither that required members are present nor numbers.
    """
    with pytest.raises(exceptions.DecodeError):
        codec.decode(encode_wire(message))


def run_links(post_event, count_invalid):
    """Starts links in a thread; returns them, their thread and address."""
    running_links = links.Links(
        ("127.0.0.1", 0),
        post_event,
        lambda: samples.seconds(time.time()),
        count_invalid,
    )
    thread = threading.Thread(target=running_links.run, daemon=True)
    thread.start()
    return running_links, thread, running_links._listener.getsockname()


def test_an_odd_message_costs_only_its_link():
    """Guards against links that end, and sound messages that are lost."""
    events = queue.SimpleQueue()
    counted = []
    _, thread, address = run_links(events.put, lambda: counted.append(1))
    sound = encode_wire(make_wire_report())
    for odd in (encode_wire(ODD_MESSAGES[1]), b"\x9c" + b"\x1c" * 100_000):
        with socket.create_connection(address, timeout=10) as peer:
            peer.sendall(
                b"".join(
                    len(data).to_bytes(4, "big") + data for data in (sound, odd)
                )
            )
            assert peer.recv(1) == b""
        assert isinstance(events.get(timeout=10), node.MessageReceived)
        assert isinstance(events.get(timeout=10), node.LinkClosed)
    assert len(counted) == 2
    assert thread.is_alive()


def test_a_message_that_cannot_be_encoded_costs_only_itself():
    """Guards against a leader that ends at a name of one of its targets."""
    events = queue.SimpleQueue()
    running_links, thread, address = run_links(events.put, lambda: None)
    sound = peer_messages.Report("qg-1")
    with socket.create_connection(address, timeout=10) as peer:
        data = codec.encode(sound)
        peer.sendall(len(data).to_bytes(4, "big") + data)
        link = events.get(timeout=10).link
        for message in (peer_messages.Report("\ud800"), sound):
            running_links.put(node.SendMessage(link, message))
        length = int.from_bytes(peer.recv(4), "big")
        assert codec.decode(peer.recv(length)) == sound
    assert thread.is_alive()


def test_a_sound_message_is_no_error():
    for make in (make_wire_report, make_wire_update, make_wire_view):
        assert codec.decode(encode_wire(make()))


def test_a_load_from_the_weight_store_survives_encoding():
    view = samples.make_target_view("t1", loading=[("m1", 5.0)])
    view = dataclasses.replace(view, fetching_model="m1")
    update = peer_messages.ZoneUpdate(
        samples.ZONE, "qg-1", 1, True, samples.seconds(0), 0, 1, (view,)
    )
    assert codec.decode(codec.encode(update)) == update


def make_evidence():
    end = prompt_quarantine.TargetEnd(
        "t1", 7, True, frozenset({"c1", "d2"}), datetime.timedelta(seconds=3)
    )
    return (
        prompt_quarantine.Evidence("bad", "m1", 0, (end,)),
        prompt_quarantine.Evidence(
            "a0", "", 2, age=datetime.timedelta(seconds=9)
        ),
    )


def test_evidence_and_trials_survive_a_round_trip():
    report = peer_messages.Report(
        "qg-2",
        evidence=make_evidence(),
        trial_wishes=(
            prompt_trials.TrialWish(4, "m1", frozenset({"bad"}), 2, True),
        ),
    )
    assert codec.decode(codec.encode(report)) == report
    update = peer_messages.ZoneUpdate(
        "zone-a", "qg-1", 3, False, None, 0, 1, (),
        evidence=make_evidence(),
        grants=(
            prompt_trials.TrialGrant(
                "qg-2", 4, frozenset({"bad"}), datetime.timedelta(seconds=5)
            ),
        ),
    )  # fmt: skip
    assert codec.decode(codec.encode(update)) == update


def test_messages_of_older_builds_have_no_evidence():
    wire = codec._encode_zone_update(
        peer_messages.ZoneUpdate("zone-a", "qg-1", 3, False, None, 0, 1, ())
    )
    assert wire.evidence is None and wire.grants is None
    decoded = codec._decode_zone_update(wire)
    assert decoded.evidence is None and decoded.grants is None
    wire = codec._encode_report(peer_messages.Report("qg-2"))
    assert wire.evidence is None and wire.trial_wishes is None
    assert codec._decode_report(wire) == peer_messages.Report("qg-2")


def test_decoded_evidence_has_bounds():
    """Guards against a peer whose evidence exceeds what instances keep."""
    end = prompt_quarantine.TargetEnd(
        "t1",
        1,
        False,
        frozenset(f"p{number}" for number in range(99)),
        datetime.timedelta(days=9),
    )
    records = [
        prompt_quarantine.Evidence(f"x{number}", "m1", 2**31 - 1, (end,) * 99)
        for number in range(999)
    ]
    records[0] = prompt_quarantine.Evidence("x" * 999, "m1", -5, ())
    records[1] = prompt_quarantine.Evidence("x1", "m1", -5, ())
    report = peer_messages.Report("qg-2", evidence=tuple(records))
    evidence = codec.decode(codec.encode(report)).evidence
    assert len(evidence) == prompt_quarantine.MAX_RECORDS - 1
    assert evidence[0].generation == 0
    for record in evidence[1:]:
        assert record.generation == prompt_quarantine.MAX_GENERATION
        assert len(record.ends) == prompt_quarantine.MAX_ENDS_PER_RECORD
        for received in record.ends:
            assert received.age <= prompt_quarantine.VERDICT_TTL
            assert (
                len(received.others) <= prompt_quarantine.MAX_PARTS_PER_REQUEST
            )


def test_a_link_with_messages_survives_a_stall_of_its_own_task():
    """Guards against a peer that counts as silent since nobody read from it.

    The task did not run for longer than the idle timeout, as when the machine
    is frozen, and closed the link before it read what had arrived.
    """
    events = queue.Queue()
    is_stalled = threading.Event()

    def post_event(event):
        events.put(event)
        if not is_stalled.is_set():
            is_stalled.set()
            time.sleep(links.IDLE_TIMEOUT_SECONDS + 0.4)

    running_links = links.Links(
        ("127.0.0.1", 0), post_event, lambda: samples.seconds(time.monotonic())
    )
    address = running_links._listener.getsockname()
    threading.Thread(target=running_links.run, daemon=True).start()
    data = codec.encode(peer_messages.Report("qg-2"))
    frame = len(data).to_bytes(4, "big") + data
    with socket.create_connection(address) as peer:
        peer.sendall(frame)
        assert is_stalled.wait(5)
        peer.sendall(frame)
        received = [events.get(timeout=5) for _ in range(2)]
    assert [type(event) for event in received] == [node.MessageReceived] * 2


@pytest.mark.parametrize("era", [None, 0, 3])
def test_an_era_survives_a_round_trip(era):
    """Guards against instances of older builds that see other tokens."""
    if era is None:
        era = ids.UNNAMED_ERA
    report = peer_messages.Report("qg-1", era=era)
    assert codec.decode(codec.encode(report)) == report
    update = peer_messages.ZoneUpdate(
        "zone-a",
        "qg-1",
        election.make_fencing_token(era, 7),
        True,
        None,
        0,
        1,
        (),
        era=era,
    )
    assert codec.decode(codec.encode(update)) == update
    assert codec._encode_zone_update(update).token == 7
