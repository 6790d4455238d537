"""Retry budget, and what a failed attempt says about the request."""

from collections.abc import Iterable
import enum

from quetzalgauge import refusals

RETRY_RATIO = 0.1
# A lost target takes its share of the open requests with it at once: with six
# targets and the 370 open streams of a node, about 60.
RETRY_BURST = 60.0


class Failure(enum.Enum):
    """How an attempt to get an answer from a target failed."""

    UNREACHABLE = "unreachable"  # No connection; no byte was sent.
    MODEL_NOT_LOADED = "model_not_loaded"
    ADAPTER_NOT_LOADED = "adapter_not_loaded"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    SILENT = "silent"  # Sent; nothing arrived for too long.
    CUT = "cut"  # Sent; the connection ended before the whole answer.
    MISMATCH = "mismatch"  # The answer belongs to another request.
    ERROR = "error"  # The target answered with a server error.
    MALFORMED = "malformed"  # The answer breaks the protocol or is too large.
    DEADLINE = "deadline"  # Given up at the deadline.
    ABANDONED = "abandoned"  # The caller has gone.
    STOPPED = "stopped"  # Given up because the process ends.


# An engine that answers with one of these codes states that the request did
# not run.
DECLINED = frozenset(
    {
        Failure.MODEL_NOT_LOADED,
        Failure.ADAPTER_NOT_LOADED,
        Failure.DRAINING,
        Failure.OVERLOADED,
    }
)
NOT_RUN = DECLINED | {Failure.UNREACHABLE}
_REPEATABLE = NOT_RUN | {
    Failure.SILENT,
    Failure.CUT,
    Failure.MISMATCH,
    Failure.ERROR,
}


def may_retry(failure: Failure, *, repeatable: bool, answered: bool) -> bool:
    """Tells whether another attempt is allowed after a failure.

    Args:
        failure: How the attempt failed.
        repeatable: Whether the request may run more than once.
        answered: Whether the caller has received a byte of the answer.
    """
    if answered:
        return False
    if not repeatable:
        return failure is Failure.UNREACHABLE
    return failure in _REPEATABLE


def run_after(failures: Iterable[Failure]) -> refusals.Run:
    """Returns whether a request ran, from the failures of all its attempts."""
    if all(failure in NOT_RUN for failure in failures):
        return refusals.Run.NOT_RUN
    return refusals.Run.UNKNOWN


class RetryBudget:
    """Token bucket that limits retries to a share of the requests."""

    def __init__(
        self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """The number of retries allowed at this moment."""
        return self._tokens

    def record_request(self) -> None:
        """Counts a new request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Takes one retry from the budget, or returns False."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
