"""States of a graceful shutdown."""

import datetime

from quetzalgauge import drain

SECOND = datetime.timedelta(seconds=1)


def test_work_in_progress_finishes_first():
    """Guards against a planned stop that cuts off a request."""
    state = drain.Drain(10 * SECOND)
    assert state.update(0, SECOND) is drain.State.RUNNING
    state.begin(SECOND)
    assert not state.accepts
    assert state.update(1, 5 * SECOND) is drain.State.DRAINING
    assert state.update(0, 6 * SECOND) is drain.State.DONE


def test_work_that_never_ends_does_not_block_the_stop():
    """Guards against a process that never ends; a second signal is no help."""
    state = drain.Drain(10 * SECOND)
    state.begin(SECOND)
    state.begin(9 * SECOND)
    assert state.update(1, 11 * SECOND) is drain.State.TIMED_OUT
