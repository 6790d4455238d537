"""Tests who yields when unfinished requests hold too much."""

import dataclasses

import pytest

from quetzalgauge.node import overload


@dataclasses.dataclass(frozen=True)
class Usage:
    cost: int = 0
    allocated_bytes: int = 0
    is_refused: bool = False
    is_unfinished: bool = False
    has_served: bool = False
    last_used: float = 0.0


def test_the_cheapest_is_read_first():
    """Guards against ordinary requests that wait behind costly ones."""
    usages = [Usage(cost) for cost in (5000, 0, 300)]
    assert [usage.cost for usage in overload.sort_by_cost(usages)] == [
        0,
        300,
        5000,
    ]


def test_the_largest_body_yields():
    """Guards against a request that is refused for the bodies of others."""
    usages = [Usage(allocated_bytes=size) for size in (10, 4000, 0)]
    assert overload.choose_largest(usages) == usages[1]
    assert overload.choose_largest(usages[2:]) is None
    assert overload.choose_largest([]) is None


REFUSED = Usage(is_refused=True, has_served=True, last_used=9.0)
NEW = Usage(last_used=8.0)
PARTIAL = Usage(is_unfinished=True, last_used=3.0)
KEPT = Usage(has_served=True, last_used=1.0)
NEXT = Usage(has_served=True, is_unfinished=True, last_used=0.0)
ORDER = [REFUSED, PARTIAL, NEW, KEPT, NEXT]


@pytest.mark.parametrize("count", range(5))
def test_connections_without_a_request_are_closed_first(count):
    """Guards against kept connections that yield to those of strangers."""
    chosen = overload.choose_to_close(reversed(ORDER), count, len(ORDER))
    assert chosen == ORDER[:count]


def test_several_connections_are_closed_together():
    """Guards against a search through all connections for each new one."""
    usages = [Usage(last_used=number) for number in range(101)]
    assert overload.choose_to_close(usages, 1, 100) == usages[:7]


@pytest.mark.parametrize("max_descriptors", [20, 100, 160, 1000, 4200, 10_000])
def test_descriptors_are_enough_for_all_uses(max_descriptors):
    """Guards against connections that leave no descriptors for others."""
    limits = overload.divide_descriptors(max_descriptors, 384)
    assert 0 < limits.kept <= limits.waiting
    assert 0 < limits.requests <= 384
    used = limits.waiting + 2 * limits.requests + limits.idle_targets
    assert used <= max(3, max_descriptors - overload.BASE_DESCRIPTORS)


def test_all_requests_are_possible_with_the_descriptors_of_a_deployment():
    """Guards against descriptors that bound what threads allow."""
    limits = overload.divide_descriptors(4200, 384)
    assert limits.requests == 384
    assert limits.kept > 4200 / 2
