"""Loggers of the parts of the system; `node.journal` writes their lines."""

import logging
from typing import Any

_ROOT = "quetzalgauge"


def make_logger(part: str) -> logging.Logger:
    """Returns the logger of a part, for example `links`."""
    return logging.getLogger(f"{_ROOT}.{part}")


def write(part: str, level: int, text: str, fields: dict[str, Any]) -> None:
    """Writes a line with named values."""
    make_logger(part).log(level, "%s", text, extra={"fields": fields})
