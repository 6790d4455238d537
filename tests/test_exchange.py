"""What control processes learn from peers when the log or messages fail."""

import control_fakes
import pytest

from quetzalgauge import ids
from quetzalgauge import messages

ZONE = control_fakes.ZONE


def make_world(instances=3):
    world = control_fakes.World()
    for index in range(2):
        world.add_target(f"lm-{index}")
    for index in range(instances):
        world.start(f"node-{index}")
    world.ticket(1, {"report": {}})
    world.run(5)
    return world


def next_offsets(world, name):
    return world.controllers[name].dump()["offsets"]


@pytest.mark.covers("cut", "load")
def test_views_agree_after_lost_news():
    """Guards against a route that one instance never learns."""
    world = make_world()
    world.isolated.add("node-2")
    world.want("node-0", "report")
    world.run(5)
    assert not world.ready("node-2", "report")
    world.isolated.clear()
    world.run_until(lambda: world.ready("node-2", "report"), 10)


def test_news_reaches_another_zone():
    """Guards against routes that end at the border of a zone."""
    world = make_world()
    world.start("node-9", zone="uy-south-b")
    world.want("node-0", "report")
    world.run_until(lambda: world.ready("node-9", "report"), 15)


def test_quiet_exchange_names_no_targets():
    """Guards against digests that grow with the number of targets."""
    world = make_world()
    world.want("node-0", "report")
    world.run(10)
    seen = []
    real = world._do_ExchangeWithPeer
    world._do_ExchangeWithPeer = lambda name, action: (
        seen.append(action),
        real(name, action),
    )
    world.run(5)
    assert seen
    assert all(len(a.digest.target_sequences) == 1 for a in seen)
    assert not any(a.target_states for a in seen)


@pytest.mark.covers("cut", "ticket")
def test_instances_that_disagree_about_the_log():
    """Guards against an instance that misses tickets its peers have read."""
    world = make_world()
    world.cut.add("node-2")
    world.run(2)
    world.ticket(2, {"report": None, "other": {}})
    world.run(5)
    assert next_offsets(world, "node-2")["config"] == 2
    assert not world.routes("node-2").log_reachable
    world.want("node-2", "other")
    world.run_until(lambda: world.ready("node-2", "other"), 10)


@pytest.mark.covers("cut", "lease change")
def test_cut_off_holder_learns_that_it_was_superseded():
    """Guards against a holder that goes on for ever without the log."""
    world = make_world(instances=2)
    cut = world.holder("lm-0")
    world.cut.add(cut)
    world.run(20)
    assert world.holder("lm-0") != cut
    assert not world.controllers[cut]._leases.held()


@pytest.mark.covers("log outage", "start")
def test_new_instance_starts_while_the_log_is_down():
    """Guards against an instance without routes during an outage."""
    world = make_world()
    world.want("node-0", "report")
    world.run(3)
    world.log_is_down = True
    world.run(1)
    world.start("node-7")
    world.run(5)
    assert world.ready("node-7", "report")
    assert [m.model for m in world.routes("node-7").models] == ["report"]
    world.log_is_down = False
    world.run(5)
    assert world.controllers["node-7"].is_ready


@pytest.mark.covers("log outage", "start")
def test_all_instances_restart_while_the_log_is_down():
    """Guards against loaded replicas that nobody routes to."""
    world = make_world(instances=1)
    world.want("node-0", "report")
    world.run(3)
    world.log_is_down = True
    world.start("node-0")
    world.run(5)
    assert world.ready("node-0", "report")


def test_expired_records_are_replaced_by_a_snapshot():
    """Guards against a process that stays behind the retention."""
    world = control_fakes.World()
    world.add_target("lm-0")
    for index in range(2):
        world.start(f"node-{index}", snapshot_interval=20)
    world.ticket(1, {"report": {}})
    world.run(120)
    stream = control_fakes.DECISIONS
    world.earliest[stream] = len(world.log[stream]) - 30
    world.start("node-2", snapshot_interval=20)
    world.run(5)
    assert world.controllers["node-2"].is_ready
    ours = world.controllers["node-2"].dump()["targets"]
    assert ours["lm-0"]["reservations"] == {f"report/{ZONE}/0": "v1"}


def test_expired_records_without_a_snapshot_come_from_a_peer():
    """Guards against a process that waits for a snapshot nobody writes."""
    world = make_world()
    stream = control_fakes.DECISIONS
    world.run(10)
    world.earliest[stream] = len(world.log[stream]) - 2
    world.start("node-7")
    world.run(8)
    assert world.controllers["node-7"].is_ready
    assert "lm-0" in world.controllers["node-7"].dump()["targets"]


def test_leaving_never_reverts():
    """Guards against a list or peer that makes a leaving target live."""
    world = make_world()
    world.send(
        "node-0", messages.TargetDrainRequested("t", ids.TargetId("lm-0"))
    )
    world.run(3)
    assert world.replies["t"] == [True]
    for name in world.controllers:
        assert world.controllers[name].dump()["leaving"] == ["lm-0"]
    world.run(20)
    for name in world.controllers:
        assert world.controllers[name].dump()["leaving"] == ["lm-0"]
    world.targets["lm-0"].restart()
    world.run(10)
    for name in world.controllers:
        assert world.controllers[name].dump()["leaving"] == []


@pytest.mark.covers("crash", "load")
@pytest.mark.covers("log outage", "load")
def test_load_ends_while_its_holder_is_dead_and_the_log_down():
    """Guards against a replica that stays "loading" without its holder."""
    world = make_world()
    for target in world.targets.values():
        target.load_seconds = 10
    world.want("node-0", "report")
    world.run(2)
    world.demand.clear()
    holder = world.holder(world.loaded()[0][0])
    survivor = next(name for name in world.controllers if name != holder)
    world.log_is_down = True
    world.kill(holder)
    world.unlisted.add(holder)
    world.run_until(lambda: world.ready(survivor, "report"), 20)
