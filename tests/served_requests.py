"""The listener and the workers in the process of a test, without the core."""

import contextlib
import datetime
import threading
import time

from quetzalgauge.core import configuration
from quetzalgauge.core import requests
from quetzalgauge.node import buffer_memory
from quetzalgauge.node import disconnect_watcher
from quetzalgauge.node import listener
from quetzalgauge.node import metrics
from quetzalgauge.node import overload
from quetzalgauge.node import slow_readers
from quetzalgauge.node import upstream
from quetzalgauge.node import worker

TIMEOUT = datetime.timedelta(seconds=30)


def now():
    return datetime.timedelta(seconds=time.monotonic())


def make_slow_readers(now=now, max_count=100, max_bytes=10_000_000):
    """Returns slow readers, and a list of what is counted of them."""
    closed = []
    readers = slow_readers.SlowReaders(
        now, max_count, max_bytes, lambda *values: closed.append(values)
    )
    return readers, closed


@contextlib.contextmanager
def run_server(address, memory_mb=300, max_threads=30):
    """Runs a server that sends each request to one target.

    Yields the address of the server.

    Args:
        address: Address of the target.
        memory_mb: Memory of the process.
        max_threads: Maximum number of worker threads.
    """
    active_requests = {}

    def post_event(event):
        if isinstance(event, requests.RequestArrived):
            deadline = now() + TIMEOUT
            active_requests[event.local_id].put(
                requests.Send(
                    event.local_id,
                    "t1",
                    address,
                    deadline,
                    deadline,
                    deadline,
                    TIMEOUT,
                    needs_new_connection=True,
                    is_stream=False,
                )
            )
        elif isinstance(event, requests.AttemptEnded) and event.failure:
            active_requests[event.local_id].put(requests.Abort(event.local_id))

    process_metrics = metrics.Metrics()
    memory = buffer_memory.make_buffer_memory(memory_mb)
    context = worker.WorkerContext(
        now,
        post_event,
        active_requests,
        disconnect_watcher.DisconnectWatcher(lambda _: None),
        upstream.UpstreamClient(now, lambda _: None, 100),
        process_metrics,
        memory,
        slow_readers.make_slow_readers(
            now,
            max_threads,
            memory.total_bytes,
            process_metrics.count_slow_readers,
        ),
        lambda: False,
    )
    server = listener.Server(
        ("127.0.0.1", 0),
        configuration.CallerLimits,
        max_threads,
        overload.divide_descriptors(1000, 100),
        worker.make_request_handler(context),
        lambda *_: None,
        memory,
        lambda _: None,
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        yield server.bind_addr
    finally:
        server.stop()
