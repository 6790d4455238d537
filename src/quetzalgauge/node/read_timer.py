"""Times the reads of a response from a target."""

from collections.abc import Callable
import math

from quetzalgauge import clock


class ReadTimer:
    """Reports a silent target, and ends the reads at a deadline.

    The reads go on after a report. Times are in seconds on the process clock.

    Args:
        now: The clock.
        get_deadline: Returns when reads time out; it may become later.
        silent_at: When the target counts as silent, unless `restart` is called
            before.
        silence_timeout: Time from `restart` until it counts as silent.
        on_silent: Called when the target has become silent.
    """

    def __init__(
        self,
        now: clock.Clock,
        get_deadline: Callable[[], float],
        silent_at: float = math.inf,
        silence_timeout: float = math.inf,
        on_silent: Callable[[], None] | None = None,
    ) -> None:
        self._now = now
        self._get_deadline = get_deadline
        self._deadline = get_deadline()
        self._silent_at = silent_at
        self._silence_timeout = silence_timeout
        self._on_silent = on_silent
        self._is_reported = False

    @property
    def is_silent(self) -> bool:
        """Whether the target is silent."""
        return self._is_reported or self._read_clock() >= self._silent_at

    @property
    def read_deadline(self) -> float:
        """When the next read has to return."""
        if self._is_reported:
            return self._deadline
        return min(self._silent_at, self._deadline)

    def get_remaining(self) -> float:
        """Returns the time for the next read, at least 0.001 s."""
        return max(0.001, self.read_deadline - self._read_clock())

    def check(self) -> None:
        """Reports the target if it has become silent."""
        if not self._is_reported and self.is_silent:
            self._is_reported = True
            if self._on_silent is not None:
                self._on_silent()

    def check_timeout(self) -> None:
        """Like `check`, for a read that has timed out.

        Raises:
            TimeoutError: The deadline has passed.
        """
        if self._read_clock() >= self._deadline:
            # Only here, so that no read blocks for longer than `read_deadline`
            # has told.
            self._deadline = self._get_deadline()
        if self._read_clock() >= self._deadline:
            raise TimeoutError
        self.check()

    def restart(self) -> None:
        """Begins anew, since the target goes on."""
        self._is_reported = False
        self._silent_at = self._read_clock() + self._silence_timeout

    def stop(self) -> None:
        """Lets the target be silent until the deadline."""
        self._is_reported = False
        self._silent_at = math.inf

    def _read_clock(self) -> float:
        return self._now().total_seconds()
