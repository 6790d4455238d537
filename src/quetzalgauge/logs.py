"""Set-up of the `logging` module.

Each part of the system logs under `quetzalgauge.PART`. The text form is one
short line with a fixed prefix per part; the JSON form has one object per line.
"""

import logging
import sys
from typing import Any
from typing import TextIO

_ROOT = "quetzalgauge"
_TEXT_FORMAT = "%(asctime)s %(levelname).1s %(part)s: %(message)s"
_JSON_FORMAT = "%(asctime)s %(levelname)s %(part)s %(message)s"


def make_logger(part: str) -> logging.Logger:
    """Returns the logger of a part, for example `control`."""
    return logging.getLogger(f"{_ROOT}.{part}")


def set_up(
    level: str, form: str, program: str, stream: TextIO | None = None
) -> None:
    """Sends all log lines to a stream.

    Args:
        level: Name of a level of the logging module.
        form: `text` or `json`.
        program: Prefix of lines of libraries.
        stream: Standard error if None.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_make_formatter(form))
    handler.addFilter(_make_part_filter(program))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(_ROOT).setLevel(level)
    # Thrift logs each failed connect at ERROR with a traceback. The callers
    # report such failures themselves.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


def _make_formatter(form: str) -> logging.Formatter:
    if form == "text":
        return logging.Formatter(_TEXT_FORMAT)
    from pythonjsonlogger import json as jsonlogger

    return jsonlogger.JsonFormatter(
        _JSON_FORMAT,
        rename_fields={"asctime": "time", "levelname": "level"},
    )


def _make_part_filter(program: str) -> Any:
    def add_part(record: logging.LogRecord) -> bool:
        name = record.name
        if not hasattr(record, "part"):
            known = name.startswith(f"{_ROOT}.")
            record.part = name.rpartition(".")[2] if known else program
        return True

    return add_part
