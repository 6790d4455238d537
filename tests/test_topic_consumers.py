"""Tests topic consumers on connections that stop delivering responses."""

import queue
import struct
import threading
import time

import core_samples as samples
import stubs

from quetzalgauge.core import election
from quetzalgauge.node import election_client
from quetzalgauge.node import topic_consumers


class StubLog:
    def write(self, event, fields):
        pass


def make_store_stub(owner_responses):
    """Returns a store that loses the response to the first long poll."""

    def respond(_method, path, *_):
        if path.startswith("/log-newest"):
            return 200, {"items": [], "end": 0, "more": False}
        if path.startswith("/log-owners"):
            return owner_responses.get_nowait()
        if "from=0" in path and not has_polled.is_set():
            has_polled.set()
            released.wait(20)
            return None
        if "from=0" in path:
            record = b"\x03keyvalue"
            head = struct.pack(">QQ", 1, 0)
            return 200, head + struct.pack(">I", len(record)) + record
        released.wait(20)
        return None

    has_polled = threading.Event()
    released = threading.Event()
    return respond, has_polled, released


def test_long_polls_restart_once_the_store_responds_again():
    """Guards against an outdated configuration after a network partition.

    While an instance is cut off from the store, its connections stay open, but
    a response that was lost on them never arrives, so a long poll would hang.
    Seen on hunt-c7e3-23.
    """
    owner_responses = queue.SimpleQueue()
    respond, has_polled, released = make_store_stub(owner_responses)
    interrupter = topic_consumers.LongPollInterrupter()
    batches = queue.SimpleQueue()
    events = queue.SimpleQueue()
    start = time.monotonic()

    def now():
        return samples.seconds(time.monotonic() - start)

    with stubs.run_http_server(respond) as address:
        threading.Thread(
            target=topic_consumers.consume_topic,
            args=(
                "keyed.op",
                address,
                samples.seconds(0),
                batches.put,
                now,
                StubLog(),
                interrupter,
            ),
            daemon=True,
        ).start()
        assert batches.get(timeout=5).is_snapshot
        assert has_polled.wait(5)
        handle = election_client.make_election_handler(
            address, events.put, now, StubLog(), interrupter.interrupt_all
        )
        for response in ((503, {}), (200, {"parts": []})):
            owner_responses.put(response)
            handle(election.ReadOwner(samples.ZONE))
        assert events.get().failed
        assert not events.get().failed
        (item,) = batches.get(timeout=5).items
        assert (item.key, item.value) == ("key", b"value")
        released.set()
