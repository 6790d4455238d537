"""Tests the retry budgets of several instances together."""

import random

import core_samples as samples
import pytest

from quetzalgauge.core import gateway
from quetzalgauge.core import retry_budget

SLACK = 52
WINDOW = samples.seconds(10)
STEP = samples.ms(50)


def find_largest_window(spent):
    """Returns the largest number of retries within a window."""
    return max(
        (
            sum(at <= other < at + WINDOW for other in spent)
            for at in set(spent)
        ),
        default=0,
    )


def spend_all(counts_at, restarts, instances=4, duration=40):
    """Spends every retry that instances have; returns when.

    Args:
        counts_at: Returns the number of instances that one knows of.
        restarts: Returns whether an instance restarts in a step.
        instances: Number of instances.
        duration: Length in seconds.
    """

    def start():
        return retry_budget.RetryBudget(0.0, SLACK, WINDOW)

    budgets = [start() for _ in range(instances)]
    started_at = [samples.seconds(0)] * instances
    spent = []
    for step in range(int(samples.seconds(duration) / STEP)):
        now = step * STEP
        for number in range(instances):
            if restarts(number, now):
                budgets[number] = start()
                started_at[number] = now
            budget = budgets[number]
            uptime = now - started_at[number]
            budget.set_instance_count(counts_at(number, now), uptime)
            while budget.try_spend(uptime):
                spent.append(now)
    return spent


@pytest.mark.parametrize("seed", range(5))
def test_restarts_in_series_stay_within_the_budget(seed):
    """Guards against retries beyond the budget after a series of restarts.

    Each process began with half of the budget of all instances.
    """
    rng = random.Random(seed)
    spent = spend_all(
        lambda number, now: 4, lambda number, now: rng.random() < 0.05
    )
    assert find_largest_window(spent) <= SLACK


def test_instances_that_hear_no_leader_stay_within_the_budget():
    """Guards against instances that each take themselves for the only one."""
    spent = spend_all(lambda number, now: 0, lambda number, now: False)
    assert find_largest_window(spent) <= SLACK


def test_instances_that_are_cut_off_stay_within_the_budget():
    """Guards against a larger share for each side of a partition."""
    cut_at = samples.seconds(15)
    spent = spend_all(
        lambda number, now: 1 if now >= cut_at else 4,
        lambda number, now: False,
    )
    assert find_largest_window(spent) <= SLACK


def test_shares_grow_when_instances_have_left_for_good():
    """Guards against a share that stays small after a scale-in."""
    spent = spend_all(
        lambda number, now: 4 if now < samples.seconds(1) else 1,
        lambda number, now: False,
        instances=1,
        duration=60,
    )
    late = [at for at in spent if at >= samples.seconds(45)]
    assert len(late) > SLACK / 4


def test_a_reload_of_the_settings_returns_no_retries():
    """Guards against budgets that are full again after each reload."""
    harness = samples.GatewayHarness([samples.make_target("p0")])
    limits = gateway.Limits(100, 0.2, SLACK, WINDOW)
    harness.submit("/look/1")
    budget = harness.gateway._retry_budgets["desk"]
    while budget.try_spend(harness.now):
        pass
    for _ in range(3):
        harness.gateway.set_limits(limits)
        limits = gateway.Limits(100, 0.2, limits.retry_slack + 1, WINDOW)
        assert not budget.try_spend(harness.now)
    assert harness.gateway._retry_budgets["desk"] is budget


def test_a_reload_that_turns_retries_off_leaves_none():
    """Guards against a retry that was in store when retries were turned off."""
    budget = retry_budget.RetryBudget(0.2, SLACK, WINDOW, 1)
    budget.set_instance_count(1, samples.seconds(20))
    budget.configure(0.0, 0.0, WINDOW)
    assert not budget.try_spend(samples.seconds(20))
