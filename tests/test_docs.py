"""Pages and examples must not fall behind the programs."""

import json
import pathlib
import re

import pytest

from quetzalgauge import ctl
from quetzalgauge import messages
from quetzalgauge import refusals
from quetzalgauge import settings
from quetzalgauge import standin_http
from quetzalgauge import standin_settings
from quetzalgauge import tickets

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = {
    "control": settings.ControlSettings,
    "entry": settings.EntrySettings,
    "engine": standin_settings.EngineSettings,
    "service": standin_settings.ServiceSettings,
    "store": standin_settings.StoreSettings,
    "log": standin_settings.LogSettings,
    "instances": standin_settings.InstanceListSettings,
}


def read(name):
    return (ROOT / name).read_text()


def table_rows(page, first_cell):
    """Rows of a page's tables whose first cell is a code in backquotes."""
    pattern = rf"^\| `{first_cell}` \|(.*)$"
    return re.findall(pattern, page, re.MULTILINE)


@pytest.mark.parametrize("code", refusals.Code, ids=lambda code: code.value)
def test_every_refusal_code_is_documented_with_its_status(code):
    refusal = refusals.Refusal(code, "", "")
    (row,) = table_rows(read("docs/interface.md"), code.value)
    assert row.split("|")[0].strip() == str(refusal.status)


def test_a_key_whose_first_try_still_runs_is_documented_as_unknown():
    """Guards against callers who take `not_run` for leave to book again."""
    page = read("docs/interface.md")
    (conflict,) = table_rows(page, "key_conflict")
    (unknown,) = table_rows(page, "outcome_unknown")
    assert "still runs" not in conflict
    assert "still runs" in unknown
    assert "- `outcome_unknown`, if the first try still runs" in page


def test_every_ticket_verdict_and_exit_status_is_documented():
    page = read("docs/interface.md")
    for verdict in messages.TicketVerdict:
        assert table_rows(page, verdict.value), verdict
    for status in (ctl.DONE, ctl.FAILED, ctl.WRONG_USAGE, ctl.REFUSED):
        assert f"\n| {status} | " in page
    assert f"\n| {ctl.UNKNOWN} | the outcome is unknown" in page


def test_every_fault_of_the_stand_ins_is_documented():
    page = read("docs/operating.md")
    for name in standin_http.Faults.model_fields:
        assert f"`{name}`" in page, name


def test_examples_are_valid_and_fit_together():
    loaded = {
        name: settings.load(ROOT / "examples" / f"{name}.json", schema)
        for name, schema in EXAMPLES.items()
    }
    control, entry = loaded["control"], loaded["entry"]
    assert entry.control == control.control_listen
    assert control.log_url == f"http://{loaded['log'].listen}"
    listed = loaded["instances"].instances[0]
    assert listed.address == str(control.peer_listen)
    file = ROOT / "examples" / "ticket.json"
    ticket = tickets.parse(file.read_text(), str(file))
    zones = json.loads(ticket.text)["models"]["palomar-report"]
    assert loaded["engine"].availability_zone in zones["availability_zones"]
