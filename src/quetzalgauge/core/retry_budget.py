"""Retry budget of a service, shared by all instances.

All instances together may send retries up to a ratio of the requests, plus a
fixed number in each window. An instance computes its part without coordination
with the others: the ratio of its own requests, plus the fixed number divided by
the number of instances.
"""

import datetime

# Share of the budget that is used. Instances may disagree on the number of
# instances for a while and must stay within the budget together nonetheless.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Token bucket for the retries of one service.

    Args:
        ratio: Retries that all instances may send for each request.
        slack: Additional retries that all instances may send in each window.
        window: Length of a window.
    """

    def __init__(
        self, ratio: float, slack: float, window: datetime.timedelta
    ) -> None:
        self._ratio = ratio * SAFETY_FACTOR
        self._slack = slack * SAFETY_FACTOR
        self._window = window.total_seconds()
        self._instance_count = 1
        # The tokens present at the start of a window and those added during it
        # can all be spent in it, so each of the two is limited to half of the
        # slack.
        self._tokens = self._slack / 2
        self._refilled_at = datetime.timedelta()

    @property
    def tokens(self) -> float:
        """The number of retries allowed at this moment."""
        return self._tokens

    def set_instance_count(self, count: int) -> None:
        """Sets the number of instances that share the budget."""
        self._instance_count = max(1, count)
        self._tokens = min(self._tokens, self._capacity())

    def record_request(self) -> None:
        """Adds the tokens for a new request."""
        self._tokens = min(self._capacity(), self._tokens + self._ratio)

    def try_spend(self, now: datetime.timedelta) -> bool:
        """Spends one token; returns False if there is none."""
        elapsed = max(0.0, (now - self._refilled_at).total_seconds())
        self._refilled_at = now
        rate = self._slack / 2 / self._instance_count / self._window
        self._tokens = min(self._capacity(), self._tokens + elapsed * rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Returns a token that was spent on a retry that did not happen."""
        self._tokens = min(self._capacity(), self._tokens + 1.0)

    def _capacity(self) -> float:
        return max(1.0, self._slack / 2 / self._instance_count)
