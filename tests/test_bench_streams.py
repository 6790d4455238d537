"""The benchmark's control process speaks the current protocol."""

import importlib.util
import pathlib

from quetzalgauge import controllink
from quetzalgauge import wire
from quetzalgauge.gen import ttypes

_PATH = pathlib.Path(__file__).parent.parent / "tools" / "bench_streams.py"


def test_routes_of_the_benchmark_are_complete():
    """Guards against a benchmark whose streams all get 503.

    A new field of RouteUpdate was missing, and entry processes drop an
    incomplete update.
    """
    spec = importlib.util.spec_from_file_location("bench_streams", _PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    report = ttypes.EntryReport("entry", 0, 0, [], {}, [], False)
    update = module.FakeControl([7001]).sync(report)
    wire.require_complete(update)
    assert len(controllink.decode_routes(update).replicas) == 1
