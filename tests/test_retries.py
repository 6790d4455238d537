"""Retry budget and what may be retried."""

import pytest

from quetzalgauge import refusals
from quetzalgauge import retries


def test_budget_allows_a_tenth_of_the_requests():
    """Guards against retries that multiply an overload."""
    budget = retries.RetryBudget(0.1, 5.0)
    spent = 0
    for _ in range(1000):
        budget.record_request()
        spent += budget.try_spend()
    assert 95 <= spent <= 105


@pytest.mark.parametrize("failure", list(retries.Failure))
def test_non_idempotent_call_is_repeated_only_if_unsent(failure):
    """Guards against a booking that is sent twice."""
    allowed = retries.may_retry(failure, repeatable=False, answered=False)
    assert allowed == (failure is retries.Failure.UNREACHABLE)


@pytest.mark.parametrize("failure", list(retries.Failure))
def test_nothing_is_repeated_after_the_first_byte(failure):
    """Guards against two answers in one."""
    assert not retries.may_retry(failure, repeatable=True, answered=True)


def test_not_run_needs_every_attempt_to_be_unsent_or_declined():
    """Guards against `not_run` when one attempt may have run."""
    unsent = retries.Failure.UNREACHABLE
    declined = retries.Failure.OVERLOADED
    cut = retries.Failure.CUT
    assert retries.run_after([]) is refusals.Run.NOT_RUN
    assert retries.run_after([unsent, declined]) is refusals.Run.NOT_RUN
    assert retries.run_after([cut, unsent]) is refusals.Run.UNKNOWN
    for failure in set(retries.Failure) - retries.NOT_RUN:
        assert retries.run_after([failure]) is refusals.Run.UNKNOWN
