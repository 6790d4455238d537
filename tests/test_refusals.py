"""Codes and form of refusals."""

import datetime
import json
import pathlib
import re

from quetzalgauge import ids
from quetzalgauge import refusals

DESIGN = pathlib.Path(__file__).parent.parent / "docs" / "design.md"


def test_codes_and_statuses_are_those_of_the_design():
    """Guards against a code that callers do not know."""
    text = DESIGN.read_text()
    table = text[text.index("| code | HTTP status") :]
    documented = {}
    for line in table.splitlines()[2:]:
        if not line.startswith("|"):
            break
        names, status = line.split("|")[1:3]
        for name in re.findall(r"`(\w+)`", names):
            documented[name] = int(status)
    made = {
        code.value: refusals.Refusal(code, "", ids.RequestId("r")).status
        for code in refusals.Code
    }
    assert made == documented


def test_event_is_one_server_sent_event():
    """Guards against an error event that a caller cannot parse."""
    refusal = refusals.Refusal(
        refusals.Code.STREAM_CUT,
        "line one\nline two",
        ids.RequestId("r"),
        refusals.Run.UNKNOWN,
        datetime.timedelta(milliseconds=1200),
    )
    first, second, *rest = refusals.encode_event(refusal).split(b"\n")
    assert (first, rest) == (b"event: error", [b"", b""])
    error = json.loads(second.removeprefix(b"data: "))["error"]
    assert (error["run"], error["retry_after_s"]) == ("unknown", 2)
