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


def write(part: str, level: int, text: str, fields: dict[str, Any]) -> None:
    """Writes a line with named values.

    The text form appends them, the JSON form has them under `fields`.
    """
    make_logger(part).log(level, "%s", text, extra={"fields": fields})


class _TextFormatter(logging.Formatter):
    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        text = super().formatMessage(record)
        fields = getattr(record, "fields", None)
        if not fields:
            return text
        pairs = [f"{key}={value}" for key, value in fields.items()]
        return f"{text} ({', '.join(pairs)})"


def _make_formatter(form: str) -> logging.Formatter:
    if form == "text":
        return _TextFormatter(_TEXT_FORMAT)
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
