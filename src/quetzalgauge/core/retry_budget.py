"""Retry budget of a service, shared by all instances.

All instances together may send retries up to a ratio of the requests, plus a
fixed number in each window. An instance computes its part without coordination
with the others: the ratio of its own requests, plus the fixed number divided by
the number of instances. An instance that has not heard yet how many there are
has no part of the fixed number. One that has just started begins without
tokens, since it may have spent some before.
"""

import datetime

# Share of the budget that is used. Instances may disagree on the number of
# instances for a while and must stay within the budget together nonetheless.
SAFETY_FACTOR = 0.8


# A smaller number of instances counts after this time. Until then, the others
# may be out of reach rather than gone.
SHRINK_DELAY = datetime.timedelta(seconds=30)

_ZERO = datetime.timedelta()


class RetryBudget:
    """Token bucket for the retries of one service.

    Args:
        ratio: Retries that all instances may send for each request.
        slack: Additional retries that all instances may send in each window.
        window: Length of a window.
        instance_count: Instances that share the budget, 0 if that is unknown.
            It holds since the start of the process, the zero of its clock.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: datetime.timedelta,
        instance_count: int = 0,
    ) -> None:
        self._instance_count = instance_count
        self._counted_at = _ZERO
        self._tokens = 0.0
        self._refilled_at = _ZERO
        self.configure(ratio, slack, window)

    @property
    def tokens(self) -> float:
        """The number of retries allowed at this moment."""
        return self._tokens

    def configure(
        self, ratio: float, slack: float, window: datetime.timedelta
    ) -> None:
        """Changes the budget; what has been spent stays spent."""
        self._ratio = ratio * SAFETY_FACTOR
        self._slack = slack * SAFETY_FACTOR
        self._window = window.total_seconds()
        self._tokens = min(self._tokens, self._capacity())

    def set_instance_count(self, count: int, now: datetime.timedelta) -> None:
        """Sets how many instances share the budget, 0 if that is unknown."""
        self._refill(now)
        if (
            count >= self._instance_count
            or now - self._counted_at >= SHRINK_DELAY
        ):
            self._instance_count = count
            self._counted_at = now
        self._tokens = min(self._tokens, self._capacity())

    def record_request(self) -> None:
        """Adds the tokens for a new request."""
        self._tokens = min(self._capacity(), self._tokens + self._ratio)

    def try_spend(self, now: datetime.timedelta) -> bool:
        """Spends one token; returns False if there is none."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Returns a token that was spent on a retry that did not happen."""
        self._tokens = min(self._capacity(), self._tokens + 1.0)

    def _refill(self, now: datetime.timedelta) -> None:
        elapsed = max(0.0, (now - self._refilled_at).total_seconds())
        self._refilled_at = now
        added = elapsed * self._share() / self._window
        self._tokens = min(self._capacity(), self._tokens + added)

    def _share(self) -> float:
        """Returns the tokens that time adds in a window.

        The tokens present at the start of a window and those added during it
        can all be spent in it, so each of the two is limited to half of the
        slack.
        """
        if not self._instance_count:
            return 0.0
        return self._slack / 2 / self._instance_count

    def _capacity(self) -> float:
        if not self._ratio and not self._slack:
            return 0.0
        return max(1.0, self._share())
