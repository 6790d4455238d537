"""The merged view of targets: nothing that left comes back."""

import datetime

import control_fakes

from quetzalgauge import ids
from quetzalgauge import membership

LM_0 = ids.TargetId("lm-0")
ONE = ids.TargetIncarnation("1")


def seconds(number):
    return datetime.timedelta(seconds=number)


def entry(**changes):
    target = control_fakes.Target("lm-0", 1000, True)
    for name, value in changes.items():
        setattr(target, name, value)
    return target.entry()


def make_membership():
    known = membership.Membership(ids.Region(control_fakes.REGION))
    known.list_instances((entry(),), seconds(0))
    return known


def test_leaving_survives_a_stale_list():
    """Guards against a list that reverts a leaving target."""
    known = make_membership()
    known.list_instances((entry(leaving=True),), seconds(1))
    known.list_instances((entry(),), seconds(2))
    assert known.is_leaving(LM_0)
    known.list_instances((entry(incarnation="2"),), seconds(3))
    assert not known.is_leaving(LM_0)


def test_an_unreachable_list_makes_nothing_gone():
    """Guards against targets that end because the list cannot be read."""
    known = make_membership()
    known.list_instances((), seconds(1))
    assert not known.absent_long("lm-0", seconds(60))
    known.list_instances((), seconds(61))
    assert known.absent_long("lm-0", seconds(61))


def test_late_news_about_an_ended_incarnation_is_dropped():
    """Guards against a list of leaving targets that only grows."""
    known = make_membership()
    assert known.mark_leaving(LM_0, ONE)
    known.end_incarnation(LM_0, ONE)
    assert not known.mark_leaving(LM_0, ONE)
    assert not known.leaving


def test_a_suspect_is_usable_again():
    """Guards against a target that one failed connection rules out."""
    known = make_membership()
    known.suspect(LM_0, seconds(1))
    assert known.is_suspect(LM_0, seconds(2))
    assert not known.is_suspect(LM_0, seconds(3))
