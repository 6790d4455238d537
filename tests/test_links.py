"""Tests the links between instances and the encoding of their messages."""

import dataclasses
import socket
import threading
import time

import core_samples as samples

from quetzalgauge.core import node
from quetzalgauge.core import peer_messages
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


def test_a_load_from_the_weight_store_survives_encoding():
    view = samples.make_target_view("t1", loading=[("m1", 5.0)])
    view = dataclasses.replace(view, fetching_model="m1")
    update = peer_messages.ZoneUpdate(
        samples.ZONE, "qg-1", 1, True, samples.seconds(0), 0, 1, (view,)
    )
    assert codec.decode(codec.encode(update)) == update
