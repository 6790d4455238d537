"""Tests the limits of callers beside changes of the configuration."""

import datetime

from quetzalgauge.core import caller_limits
from quetzalgauge.core import configuration

SECOND = datetime.timedelta(seconds=1)
LARGE = configuration.CallerLimits(16_000, 1_000_000, 3 * SECOND, 15 * SECOND)
SMALL = configuration.CallerLimits(2000, 65_536, 1 * SECOND, 5 * SECOND)


def make_limits(*versions):
    """Returns the limits after these versions, one each second from 0."""
    recent = caller_limits.RecentLimits(2 * SECOND)
    for second, limits in enumerate(versions):
        recent.record(limits, second * SECOND)
    return recent


def test_without_a_version_the_defaults_hold():
    """Guards against an instance without limits before its first version."""
    found = make_limits().find_most_generous(SECOND)
    assert found == configuration.CallerLimits()


def test_the_defaults_do_not_outlast_the_first_version():
    """Guards against limits that no version has."""
    assert make_limits(SMALL).find_most_generous(0 * SECOND) == SMALL


def test_lowered_limits_hold_after_the_time_for_applying_them():
    """Guards against a refused request of a caller that went by a version."""
    recent = make_limits(LARGE, SMALL)
    assert recent.find_most_generous(2.9 * SECOND) == LARGE
    assert recent.find_most_generous(3 * SECOND) == SMALL


def test_raised_limits_hold_at_once():
    """Guards against a refused request of a caller that knows a version."""
    assert make_limits(SMALL, LARGE).find_most_generous(SECOND) == LARGE


def test_each_limit_is_the_highest_one():
    """Guards against a version that lowers one limit and raises another."""
    mixed = configuration.CallerLimits(32_000, 65_536, 1 * SECOND, 30 * SECOND)
    assert make_limits(LARGE, mixed).find_most_generous(
        SECOND
    ) == configuration.CallerLimits(32_000, 1_000_000, 3 * SECOND, 30 * SECOND)


def test_versions_with_the_same_limits_extend_no_older_ones():
    """Guards against lowered limits that never hold in a series of versions."""
    recent = make_limits(LARGE, SMALL, SMALL, SMALL)
    assert recent.find_most_generous(3 * SECOND) == SMALL


def test_other_versions_extend_no_older_ones():
    """Guards against lowered limits that never hold in a series of versions."""
    others = [configuration.CallerLimits(2000 + n) for n in range(3)]
    recent = make_limits(LARGE, *others[:2])
    assert recent.find_most_generous(2.9 * SECOND).max_header_bytes == 16_000
    recent.record(others[2], 3 * SECOND)
    assert recent.find_most_generous(3 * SECOND).max_header_bytes == 2002
