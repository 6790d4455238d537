"""The page of all settings is current, and every example is valid."""

import pathlib
import subprocess
import sys

import pytest

from quetzalgauge import settings
from quetzalgauge import standin_settings
from quetzalgauge import tickets

_ROOT = pathlib.Path(__file__).parent.parent
_EXAMPLES = sorted((_ROOT / "examples").glob("**/*.json"))
_SCHEMAS = {
    "control": settings.ControlSettings,
    "entry": settings.EntrySettings,
    "engine": standin_settings.EngineSettings,
    "service": standin_settings.ServiceSettings,
    "store": standin_settings.StoreSettings,
    "log": standin_settings.LogSettings,
    "instances": standin_settings.InstanceListSettings,
    "relay": standin_settings.RelaySettings,
}


def test_the_page_is_current():
    """Guards against a page that lacks a key or shows an old default."""
    done = subprocess.run(
        [sys.executable, _ROOT / "tools" / "settings_doc.py", "--check"],
        env={"PYTHONPATH": str(_ROOT / "src")},
        capture_output=True,
        text=True,
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_both_users_have_each_program():
    """Guards against a deployment without an example."""
    for user in ("ferreira", "alliance"):
        names = {path.stem for path in _EXAMPLES if path.parent.name == user}
        assert {"control", "entry", "engine", "service"} <= names


@pytest.mark.parametrize(
    "path", _EXAMPLES, ids=lambda path: f"{path.parent.name}-{path.stem}"
)
def test_an_example_is_valid(path):
    """Guards against examples that their program refuses."""
    if path.stem.startswith("ticket"):
        tickets.parse(path.read_text(), str(path))
        return
    settings.load(path, _SCHEMAS[path.stem])
