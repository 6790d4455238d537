"""Checkpoints come near the accelerators while the store is not busy."""

import control_fakes

from quetzalgauge import messages

ZONE = control_fakes.ZONE
_MODELS = {f"m-{index}": {} for index in range(4)}


def make_world(**options):
    world = control_fakes.World()
    for index in range(2):
        world.add_target(f"lm-{index}")
        world.start(f"node-{index}", ZONE, **options)
    world.ticket(1, _MODELS)
    return world


def cached(world):
    return {key for t in world.targets.values() for key in t.cached}


def test_each_checkpoint_is_loaded_once_and_then_unloaded():
    """Guards against a tail of cold starts that fetch from the store."""
    world = make_world()
    world.run(200)
    assert cached(world) == {(name, "v1") for name in _MODELS}
    loads = [n for t in world.targets.values() for n in t.loads.values()]
    assert loads == [1] * len(_MODELS)
    assert world.loaded() == []


def test_nothing_is_loaded_without_the_setting():
    """Guards against loads that an operator has switched off."""
    world = make_world(warm_checkpoints=False)
    world.run(60)
    assert cached(world) == set()
    assert world.loaded() == []


def test_cache_that_drops_checkpoints_is_not_filled_again_and_again():
    """Guards against loads that push each other out of a small cache.

    In a trial with caches as large as all checkpoints together, 154 loads from
    the store replaced 58 of the naive policy.
    """
    world = make_world()
    for _ in range(600):
        world.run(1)
        for target in world.targets.values():
            while len(target.cached) > 1:
                del target.cached[next(iter(target.cached))]
    loads = sum(n for t in world.targets.values() for n in t.loads.values())
    assert loads <= len(_MODELS) + len(world.targets)


def test_wanted_model_stays_after_a_load_for_the_cache():
    """Guards against an unload under a request that came meanwhile."""
    world = make_world()
    world.run_until(lambda: world.loaded(), 60)
    ((_, slot),) = world.loaded()[:1]
    for _ in range(10):
        world.want("node-0", slot.model)
        world.run(1)
    assert slot in [loaded for _, loaded in world.loaded()]
    unloads = [
        order
        for _, order in world.sent
        if order.action is messages.OrderAction.UNLOAD and order.slot == slot
    ]
    assert unloads == []
