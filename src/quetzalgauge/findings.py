"""Findings: errors in a file, with their location."""

from collections.abc import Iterable
import dataclasses
from typing import TypeAlias

from quetzalgauge import exceptions

# Keys and list indexes from the root of a document to a value.
Path: TypeAlias = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error in a file.

    Attributes:
        source: File name or another name of the document.
        line: Line number from 1, or 0 if unknown.
        path: Keys and indexes of the value, empty for the whole document.
        message: Description of the error, without its location.
        column: Column number from 1, or 0 for the whole line.
    """

    source: str
    line: int
    path: Path
    message: str
    column: int = 0

    def __str__(self) -> str:
        """Returns SOURCE:LINE[:COLUMN]: [PATH: ]MESSAGE."""
        location = [self.source]
        if self.line:
            location.append(str(self.line))
        if self.line and self.column:
            location.append(str(self.column))
        parts = [":".join(location)]
        if self.path:
            parts.append(format_path(self.path))
        parts.append(self.message)
        return ": ".join(parts)


def format_path(path: Path) -> str:
    """Formats a path for messages, for example `models.a.list[2]`."""
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
    """Raises one error with all findings, ordered by line.

    Raises:
        exceptions.FindingsError: There is at least one finding.
    """
    ordered = sorted(findings, key=lambda finding: finding.line)
    if ordered:
        raise exceptions.FindingsError([str(finding) for finding in ordered])
