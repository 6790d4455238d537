"""States of a graceful shutdown."""

import datetime
import enum


class State(enum.Enum):
    """Where a process is in its life."""

    RUNNING = "running"
    DRAINING = "draining"  # Takes no new work and finishes what it has.
    DONE = "done"  # Nothing is left in progress.
    TIMED_OUT = "timed_out"  # Work was left in progress for too long.


class Drain:
    """Follows a process through its graceful shutdown."""

    def __init__(self, timeout: datetime.timedelta) -> None:
        self._timeout = timeout
        self._state = State.RUNNING
        self._until = datetime.timedelta()

    @property
    def state(self) -> State:
        """The current state."""
        return self._state

    @property
    def accepts(self) -> bool:
        """Whether new work is accepted."""
        return self._state is State.RUNNING

    def begin(self, now: datetime.timedelta) -> None:
        """Starts the shutdown; a second call changes nothing."""
        if self._state is State.RUNNING:
            self._state = State.DRAINING
            self._until = now + self._timeout

    def update(self, in_progress: int, now: datetime.timedelta) -> State:
        """Returns the state, given the amount of work in progress."""
        if self._state is State.DRAINING:
            if in_progress == 0:
                self._state = State.DONE
            elif now >= self._until:
                self._state = State.TIMED_OUT
        return self._state
