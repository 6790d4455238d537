"""Findings: what is wrong with a file, and where."""

from collections.abc import Iterable
import dataclasses
from typing import TypeAlias

from quetzalgauge import exceptions

# Keys and list indexes from the root of a document to a value.
Path: TypeAlias = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault in a file.

    Attributes:
        source: File name or another name of the text.
        line: Line from 1, or 0 when the place is unknown.
        path: Keys and indexes of the value, empty for the whole document.
        message: What is wrong, without the place.
        column: Column from 1, or 0 when the whole line is meant.
    """

    source: str
    line: int
    path: Path
    message: str
    column: int = 0

    def __str__(self) -> str:
        """Returns SOURCE:LINE[:COLUMN]: [PATH: ]MESSAGE."""
        place = [self.source]
        if self.line:
            place.append(str(self.line))
        if self.line and self.column:
            place.append(str(self.column))
        parts = [":".join(place)]
        if self.path:
            parts.append(format_path(self.path))
        parts.append(self.message)
        return ": ".join(parts)


def format_path(path: Path) -> str:
    """Returns the form used in messages, for example `models.a.list[2]`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        elif text:
            text += f".{part}"
        else:
            text = part
    return text


def raise_if_any(findings: Iterable[Finding]) -> None:
    """Reports all findings together, in the order of their lines.

    Raises:
        exceptions.FindingsError: There is at least one finding.
    """
    ordered = sorted(findings, key=lambda finding: finding.line)
    if ordered:
        raise exceptions.FindingsError([str(finding) for finding in ordered])
