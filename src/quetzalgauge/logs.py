"""Loggers of the parts of the system; `node.journal` writes their lines."""

import logging
from typing import Any

_ROOT_LOGGER_NAME = "quetzalgauge"


def get_logger(component: str) -> logging.Logger:
    """Returns the logger of a part, for example `links`."""
    return logging.getLogger(f"{_ROOT_LOGGER_NAME}.{component}")


def write(
    component: str, level: int, message: str, fields: dict[str, Any]
) -> None:
    """Writes a line with named values."""
    get_logger(component).log(level, "%s", message, extra={"fields": fields})
