"""Structured log events: decisions and state changes, for the operators."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """One line of the structured log.

    Attributes:
        name: Stable name of the event.
        fields: JSON values: the inputs of a decision with their age or
            version, and its outcome.
    """

    name: str
    fields: dict[str, Any]
