"""Tasks that follow the store, before a store that falls silent."""

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
    """A store that loses the answer to the first long read."""

    def answer(_method, path, *_):
        if path.startswith("/log-newest"):
            return 200, {"items": [], "end": 0, "more": False}
        if path.startswith("/log-owners"):
            return owner_responses.get_nowait()
        if "from=0" in path and not read_again.is_set():
            read_again.set()
            released.wait(20)
            return None
        if "from=0" in path:
            record = b"\x03keyvalue"
            head = struct.pack(">QQ", 1, 0)
            return 200, head + struct.pack(">I", len(record)) + record
        released.wait(20)
        return None

    read_again = threading.Event()
    released = threading.Event()
    return answer, read_again, released


def test_long_polls_restart_once_the_store_answers_again():
    """Guards against an old configuration in force behind a dead connection.

    The pattern: an instance is cut off from the store. Its connections stay
    open, but what was lost on them never comes. Seen on hunt-c7e3-23.
    """
    answers = queue.SimpleQueue()
    answer, first_read, released = make_store_stub(answers)
    renewal = topic_consumers.LongPollInterrupter()
    changes = queue.SimpleQueue()
    events = queue.SimpleQueue()
    start = time.monotonic()

    def now():
        return samples.seconds(time.monotonic() - start)

    with stubs.run_http_server(answer) as address:
        threading.Thread(
            target=topic_consumers.consume_topic,
            args=(
                "keyed.op",
                address,
                samples.seconds(0),
                changes.put,
                now,
                StubLog(),
                renewal,
            ),
            daemon=True,
        ).start()
        assert changes.get(timeout=5).is_snapshot
        assert first_read.wait(5)
        handle = election_client.make_election_handler(
            address, events.put, now, StubLog(), renewal.interrupt_all
        )
        for given in ((503, {}), (200, {"parts": []})):
            answers.put(given)
            handle(election.ReadOwner(samples.ZONE))
        assert events.get().failed
        assert not events.get().failed
        (item,) = changes.get(timeout=5).items
        assert (item.key, item.value) == ("key", b"value")
        released.set()
