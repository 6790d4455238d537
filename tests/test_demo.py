"""The checks of the demo must fail for faults, and only for faults."""

import importlib.util
import pathlib

import pytest

_FILE = pathlib.Path(__file__).parent.parent / "tools" / "demo.py"


@pytest.fixture
def demo():
    spec = importlib.util.spec_from_file_location("demo", _FILE)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class FakeDeployment:
    """Engines with given loads."""

    def __init__(self, *loads):
        self.engines = dict(enumerate(loads))

    def counts(self, loads):
        return {"loads": loads}


@pytest.mark.parametrize(
    ("loads", "failures"),
    [
        ([{"palomar-report@v1": 1}, {}], 0),
        ([{"palomar-report@v1": 1}, {"palomar-label@v1": 1}], 0),
        ([{"palomar-report@v1": 1}, {"palomar-report@v1": 1}], 1),
        ([{"palomar-label@v1": 1}, {}], 1),
    ],
)
def test_only_loads_of_the_cold_model_are_judged(demo, capsys, loads, failures):
    """Guards against a demo that fails for a load for the cache.

    Two loads of the cold model, or none, are still a failure.
    """
    shown = demo.Demo(FakeDeployment(*loads))
    shown.check_loads()
    assert len(shown.failures) == failures
    others = [name for row in loads for name in row if "label" in name]
    assert all(name in capsys.readouterr().out for name in others)
