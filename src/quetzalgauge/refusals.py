"""Refusals: stable codes, HTTP status and whether the request ran."""

import dataclasses
import datetime
import enum
import json
import math
from typing import Any

from quetzalgauge import ids

DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=1)


class Run(enum.Enum):
    """Whether a refused request ran."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Code(enum.Enum):
    """Code of a refusal, as callers see it."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    KEY_CONFLICT = "key_conflict"
    OUTCOME_UNKNOWN = "outcome_unknown"
    QUEUE_FULL = "queue_full"
    TOO_MANY_STREAMS = "too_many_streams"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    WAIT_TOO_LONG = "wait_too_long"
    NO_CAPACITY = "no_capacity"
    NO_TARGET = "no_target"
    DRAINING = "draining"
    LOG_UNAVAILABLE = "log_unavailable"
    TARGET_FAILED = "target_failed"
    ANSWER_MISMATCH = "answer_mismatch"
    STREAM_CUT = "stream_cut"
    DEADLINE_EXCEEDED = "deadline_exceeded"


_STATUS = {
    Code.BAD_REQUEST: 400,
    Code.UNKNOWN_MODEL: 404,
    Code.UNKNOWN_SERVICE: 404,
    Code.BODY_TOO_LARGE: 413,
    Code.KEY_CONFLICT: 409,
    Code.OUTCOME_UNKNOWN: 409,
    Code.QUEUE_FULL: 429,
    Code.TOO_MANY_STREAMS: 429,
    Code.RETRY_BUDGET_SPENT: 429,
    Code.WAIT_TOO_LONG: 503,
    Code.NO_CAPACITY: 503,
    Code.NO_TARGET: 503,
    Code.DRAINING: 503,
    Code.LOG_UNAVAILABLE: 503,
    Code.TARGET_FAILED: 502,
    Code.ANSWER_MISMATCH: 502,
    Code.STREAM_CUT: 502,
    Code.DEADLINE_EXCEEDED: 504,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer of the system itself."""

    code: Code
    message: str
    request_id: ids.RequestId
    run: Run = Run.NOT_RUN
    retry_after: datetime.timedelta = DEFAULT_RETRY_AFTER

    @property
    def status(self) -> int:
        """The HTTP status."""
        return _STATUS[self.code]

    @property
    def retry_after_seconds(self) -> int:
        """Whole seconds for the header Retry-After, at least 1."""
        return max(1, math.ceil(self.retry_after.total_seconds()))


def to_json(refusal: Refusal) -> dict[str, Any]:
    """Returns the JSON body of a refusal."""
    return {
        "error": {
            "code": refusal.code.value,
            "message": refusal.message,
            "run": refusal.run.value,
            "retry_after_s": refusal.retry_after_seconds,
            "request_id": refusal.request_id,
        }
    }


def encode(refusal: Refusal) -> bytes:
    """Returns the body of a refusal as bytes."""
    return json.dumps(to_json(refusal)).encode()


def encode_event(refusal: Refusal) -> bytes:
    """Returns the server-sent event that ends a stream with an error."""
    return b"event: error\ndata: " + encode(refusal) + b"\n\n"
