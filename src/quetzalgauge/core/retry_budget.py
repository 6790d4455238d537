"""Retry budget of a service, shared by all instances.

All instances together may add a share of the requests, and a fixed number in
each window. An instance takes its part of both without asking the others:
the share of its own requests, and the fixed number divided by the instances.
"""

import datetime

# Part of the allowance that is used, so that two instances with different
# counts of instances stay within it together.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Tokens for sends beyond the first of a request.

    Args:
        ratio: Repeats that all instances may send for each request.
        slack: Repeats that all instances may send in each window besides.
        window: The window.
    """

    def __init__(
        self, ratio: float, slack: float, window: datetime.timedelta
    ) -> None:
        self._ratio = ratio * SAFETY_FACTOR
        self._slack = slack * SAFETY_FACTOR
        self._window = window.total_seconds()
        self._instance_count = 1
        # In any window at most the content at its start and what is added
        # within it can be spent, so each is half of the slack.
        self._tokens = self._slack / 2
        self._refilled_at = datetime.timedelta()

    @property
    def tokens(self) -> float:
        """The number of repeats allowed at this moment."""
        return self._tokens

    def set_instance_count(self, count: int) -> None:
        """Sets the number of instances that share the slack."""
        self._instance_count = max(1, count)
        self._tokens = min(self._tokens, self._capacity())

    def record_request(self) -> None:
        """Counts a new request."""
        self._tokens = min(self._capacity(), self._tokens + self._ratio)

    def try_spend(self, now: datetime.timedelta) -> bool:
        """Takes one repeat from the budget, or returns False."""
        elapsed = max(0.0, (now - self._refilled_at).total_seconds())
        self._refilled_at = now
        rate = self._slack / 2 / self._instance_count / self._window
        self._tokens = min(self._capacity(), self._tokens + elapsed * rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _capacity(self) -> float:
        return max(1.0, self._slack / 2 / self._instance_count)
