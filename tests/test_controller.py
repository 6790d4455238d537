"""Several control cores against an in-memory platform."""

import control_fakes


def make_world(instances=1, targets=1, checks=True, memory_mib=1000):
    world = control_fakes.World()
    for index in range(targets):
        world.add_target(f"lm-{index}", memory_mib, checks)
    for index in range(instances):
        world.start(f"node-{index}")
    return world


def test_cold_model_is_loaded_and_routed():
    """Guards against a break anywhere in the path of a cold start."""
    world = make_world()
    world.ticket(1, {"report": {}})
    world.run(3)
    assert world.holder("lm-0") == "node-0"
    assert world.ledger.reservations("lm-0")
    assert not world.loaded()
    world.want("node-0", "report")
    world.run_until(lambda: world.ready("node-0", "report"), 3)
    assert world.ready("node-0", "report") == ["lm-0"]
    assert sum(world.targets["lm-0"].loads.values()) == 1
