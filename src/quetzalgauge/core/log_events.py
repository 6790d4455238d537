"""Notes: decisions and changes of belief, for the log of the on-call."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """One line of the log.

    Attributes:
        name: What happened, a stable name.
        fields: JSON values: the inputs of a decision with their age or
            version, and its outcome.
    """

    name: str
    fields: dict[str, Any]
