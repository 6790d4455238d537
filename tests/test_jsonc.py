"""Parsing JSON with comments: values, line numbers and error positions."""

import contextlib
import json

import hypothesis
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import exceptions
from quetzalgauge import jsonc


def test_values_have_line_numbers():
    """Guards against findings with a wrong line number."""
    text = '{ // a\n "a": [1,\n 2], /* b\n c */ "d": {"e": null}}'
    document = jsonc.parse(text, "t")
    assert document.value == {"a": [1, 2], "d": {"e": None}}
    assert document.find_line(("a", 1)) == 3
    assert document.find_line(("d", "e")) == 4
    assert document.find_line(("a", 7)) == 2


def test_duplicate_keys_are_findings():
    """Guards against dropping a value silently when a key occurs twice."""
    document = jsonc.parse('{"a": 1,\n"a": 2}', "t")
    assert document.value == {"a": 2}
    assert [str(finding) for finding in document.duplicates] == [
        "t:2: a: duplicate key, first on line 1"
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('{\n "a" 1}', "t:2:6: unexpected '1'"),
        ("[1,]", "t:1:4: unexpected ']'"),
        ("[\n", "t:2:1: unexpected end of text"),
        ("\n /* x", "t:2:2: unexpected character '/'"),
        ('"\\ud800"', "t:1:1: unpaired surrogate in a string"),
        ('"\\x"', "t:1:1: invalid escape sequence in a string"),
        ("1e999", "t:1:1: number out of range"),
        ("9" * 5000, "t:1:1: number with too many digits"),
        ("[" * 70 + "]" * 70, "t:1:6: nested deeper than 64 levels"),
    ],
)
def test_error_reports_its_position(text, message):
    """Guards against errors without a position.

    Also guards against exceptions other than FindingsError.
    """
    with pytest.raises(exceptions.FindingsError) as caught:
        jsonc.parse(text, "t")
    assert caught.value.findings == (message,)


def test_deep_nesting_is_rejected_without_recursion():
    """Guards against a RecursionError on malicious input."""
    with pytest.raises(exceptions.FindingsError):
        jsonc.parse("[" * 200_000, "t")


@hypothesis.given(strategies.text('{}[]",:0123456789.eE+-\\u/* \ntruefalsn'))
@hypothesis_settings.make_settings(max_examples=500)
def test_any_text_agrees_with_the_standard_library(text):
    """Guards against accepting invalid JSON.

    Also guards against exceptions other than FindingsError.
    """
    hypothesis.assume("//" not in text and "/*" not in text)
    value = None
    with contextlib.suppress(exceptions.FindingsError):
        value = jsonc.parse(text, "t").value
    if value is not None:
        assert value == json.loads(text)


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


@hypothesis.given(_JSON)
@hypothesis_settings.make_settings(max_examples=200)
def test_valid_json_is_parsed_as_by_the_standard_library(value):
    """Guards against rejecting valid JSON or changing its value."""
    assert jsonc.parse(json.dumps(value), "t").value == value
