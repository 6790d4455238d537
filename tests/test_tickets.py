"""Ticket texts: every fault is reported with its place."""

import json
import pathlib
import re
import subprocess
import sys

import hypothesis
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import exceptions
from quetzalgauge import records
from quetzalgauge import tickets

_DESIGN = pathlib.Path(__file__).parents[1] / "docs" / "design.md"
_GOOD = {
    "ticket": 17,
    "models": {
        "palomar-report": {
            "versions": {"v2": {"checkpoint": "c", "memory_mib": 14000}},
            "default_version": "v2",
            "availability_zones": {"uy-south-a": {"max_replicas": 1}},
        },
        "old-model": None,
    },
}


def _faults(text):
    with pytest.raises(exceptions.FindingsError) as caught:
        tickets.parse(text, "t.json")
    return caught.value.findings


def test_the_example_of_the_design_is_valid():
    """Guards against a schema that refuses the documented ticket."""
    section = _DESIGN.read_text().split("### 4.4 Tickets")[1]
    text = re.search(r"```\n(.*?)```", section, re.DOTALL).group(1)
    ticket = tickets.parse(text, "example")
    content = tickets.decode(ticket)
    assert ticket.number == 17
    assert content.models["old-model"] is None
    assert content.adapters["loft-17"].memory_mib == 20


def test_all_faults_are_found_at_once_with_their_places():
    """Guards against an operator who learns of one fault per attempt."""
    text = """{
  "ticket": "17",  // a string
  "models": {
    "a/b": null,
    "m": {
      "versions": {"v1": {"checkpoint": "c", "memory_mib": 0}},
      "default_version": "v2",
      "priority": 10,
      "availability_zones": {
        "z": {"max_replicas": 1, "min_replicas": 2, "replicas": 3}
      }
    }
  },
  "adapters": {"m": {"memory_mib": true}},
  "services": {"s": {"repeatable_paths": ["standings"]}},
  "services": {"s": {"repeatable_paths": ["standings", "/a"]}}
}"""
    assert _faults(text) == (
        "t.json:2: ticket: expected a whole number",
        "t.json:4: models.a/b: expected a name: 1 to 128 of A-Z a-z 0-9 . _ -,"
        " first no mark",
        "t.json:6: models.m.versions.v1.memory_mib: expected at least 1",
        "t.json:7: models.m.default_version: expected the name of one of the"
        " versions",
        "t.json:8: models.m.priority: expected at most 9",
        "t.json:10: models.m.availability_zones.z.replicas: unknown key",
        "t.json:10: models.m.availability_zones.z.min_replicas: expected at"
        " most max_replicas, 1",
        "t.json:14: adapters.m.model: missing key",
        "t.json:14: adapters.m.memory_mib: expected a whole number",
        "t.json:14: adapters.m: expected a name that no model has",
        "t.json:16: services: duplicate key, first on line 15",
        "t.json:16: services.s.repeatable_paths[0]: expected a path that begins"
        " with / and has no spaces",
    )


@pytest.mark.parametrize(
    "text", ["", "[]", "{}", '{"ticket": 1}', "null", "[" * 9999, "{" * 70]
)
def test_texts_that_are_no_ticket_give_findings(text):
    """Guards against an unexpected exception in the operator interface."""
    assert _faults(text)


def test_order_and_comments_do_not_change_the_canonical_text():
    """Guards against a harmless repeat that is taken for a conflict."""
    reordered = dict(reversed(_GOOD.items()))
    first = tickets.parse(json.dumps(_GOOD), "a")
    second = tickets.parse(f"// note\n{json.dumps(reordered, indent=1)}", "b")
    assert first == second
    assert tickets.parse(first.text, "c") == first


def test_a_canonical_text_is_decoded_without_the_grammar_parser():
    """Guards against 11 MB that every control process would pay."""
    ticket = tickets.parse(json.dumps(_GOOD), "a")
    code = (
        "import sys\n"
        "from quetzalgauge import tickets, records\n"
        f"tickets.decode(records.Ticket(17, {ticket.text!r}))\n"
        "sys.exit('lark' in sys.modules)\n"
    )
    path = {"PYTHONPATH": str(_DESIGN.parents[1] / "src")}
    subprocess.run([sys.executable, "-c", code], check=True, env=path)


def test_the_record_and_its_text_must_agree():
    """Guards against a ticket that is folded under another number."""
    text = tickets.parse(json.dumps(_GOOD), "a").text
    with pytest.raises(exceptions.DecodeError):
        tickets.decode(records.Ticket(18, text))


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-1, 2**70)
    | strategies.floats()
    | strategies.text(max_size=3),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["ticket", "models", "adapters", "versions", "v1", "m"]
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@hypothesis.given(_JSON)
@hypothesis_settings.make(max_examples=150)
def test_any_json_is_parsed_or_gives_findings(value):
    """Guards against values whose types a check does not expect."""
    try:
        tickets.parse(json.dumps(value), "any")
    except exceptions.FindingsError as error:
        assert error.findings
