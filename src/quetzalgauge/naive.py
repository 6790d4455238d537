"""The naive policy that the real one is measured against.

One global view without delay: a model is loaded on demand on a random target,
and the least recently used idle model makes room. A model that was idle for a
fixed time is unloaded.
"""

import datetime
import random

from quetzalgauge import emulator
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import traces

_CHECK_INTERVAL = datetime.timedelta(seconds=1)


def make_naive_policy(
    idle_limit: datetime.timedelta, seed: int
) -> emulator.Policy:
    """Returns the policy; `idle_limit` is the time after which it unloads."""
    generator = random.Random(seed)

    def install(world: emulator.World) -> None:
        def is_present(model: ids.ModelName) -> bool:
            return any(model in one.models for one in world.engines.values())

        def arrive(request: traces.Request) -> None:
            if not is_present(request.model):
                _load_somewhere(world, request.model, generator)

        def check() -> None:
            _unload_idle(world, idle_limit)
            for (_, model), queue in list(world.waiting.items()):
                if queue and not is_present(model):
                    _load_somewhere(world, model, generator)
            world.clock.call_after(_CHECK_INTERVAL, check)

        world.on_arrival = arrive
        world.clock.call_after(_CHECK_INTERVAL, check)

    return install


def _load_somewhere(
    world: emulator.World, model: ids.ModelName, generator: random.Random
) -> None:
    spec = world.specs[model]
    engines = list(world.engines.values())
    generator.shuffle(engines)
    for engine in engines:
        if _make_room(world, engine, spec.memory_bytes):
            zone = world.zone_of_target[engine.name]
            engine.load(spec, ids.SlotId(model, zone, 0), "naive")
            return


def _make_room(
    world: emulator.World, engine: emulator.Engine, needed: int
) -> bool:
    """Unloads idle models, least recently used first, if that is enough."""
    free = world.site.target_memory_bytes - engine.used_bytes
    idle = [
        loaded
        for loaded in engine.models.values()
        if loaded.state is messages.ReplicaState.READY and loaded.running == 0
    ]
    idle.sort(key=lambda one: world.last_use.get(one.spec.name, one.idle_since))
    victims = []
    for loaded in idle:
        if free >= needed:
            break
        victims.append(loaded.spec.name)
        free += loaded.spec.memory_bytes
    if free < needed:
        return False
    for name in victims:
        engine.unload(name)
    return True


def _unload_idle(world: emulator.World, idle_limit: datetime.timedelta) -> None:
    for engine in world.engines.values():
        for loaded in list(engine.models.values()):
            is_idle = (
                loaded.state is messages.ReplicaState.READY
                and loaded.running == 0
                and world.clock.now - loaded.idle_since >= idle_limit
            )
            if is_idle:
                engine.unload(loaded.spec.name)
