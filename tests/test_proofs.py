"""The page of proofs names tests that exist."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_every_named_test_exists():
    """Guards against a page that claims the proof of a removed test."""
    page = (ROOT / "docs" / "proofs.md").read_text(encoding="utf-8")
    named = set(re.findall(r"`(test_\w+)`", page))
    defined = set()
    for path in (ROOT / "tests").glob("test_*.py"):
        text = path.read_text(encoding="utf-8")
        defined |= set(re.findall(r"def (test_\w+)\(", text))
    assert named
    assert named - defined == set()
