"""Loggers of the components; `node.event_log` writes their output."""

import logging
from typing import Any

_ROOT_LOGGER_NAME = "quetzalgauge"


def get_logger(component: str) -> logging.Logger:
    """Returns the logger of a component, for example `links`."""
    return logging.getLogger(f"{_ROOT_LOGGER_NAME}.{component}")


def write(
    component: str, level: int, message: str, fields: dict[str, Any]
) -> None:
    """Logs a message with structured fields."""
    get_logger(component).log(level, "%s", message, extra={"fields": fields})
