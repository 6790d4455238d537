"""What is known about the replicas on each target, from holders and peers."""

from collections.abc import Iterable
import datetime
import hashlib
from typing import Any

from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge.gen import ttypes

# Engines batch continuously; a replica takes this many requests at once.
MAX_RUNNING = 32
# A target's state is told again only when it changed, so the time until a load
# is done is rounded.
READY_STEP = datetime.timedelta(seconds=5)
# Fencing numbers are offsets below 2**39, sequences below 2**24: one of each
# makes one comparable number of a digest.
_SEQUENCE_BITS = 24
_CHECKSUM_BITS = 62

_STATES = {
    messages.ReplicaState.LOADING: ttypes.ReplicaState.LOADING,
    messages.ReplicaState.READY: ttypes.ReplicaState.READY,
    messages.ReplicaState.UNLOADING: ttypes.ReplicaState.UNLOADING,
}


class Views:
    """The newest known ttypes.TargetState of each target of the region."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._states: dict[ids.TargetId, Any] = {}
        self._keys: dict[ids.TargetId, tuple[Any, ...]] = {}
        self._zones: dict[ids.TargetId, str] = {}
        self._checksums: dict[str, int] = {}
        self._by_model: dict[str, set[ids.TargetId]] = {}
        self._version = 0

    @property
    def states(self) -> dict[ids.TargetId, Any]:
        """The states by target."""
        return self._states

    @property
    def version(self) -> int:
        """Grows with each change."""
        return self._version

    def state(self, target: ids.TargetId) -> Any | None:
        """Returns the state of a target, None if nothing is known."""
        return self._states.get(target)

    def order_of(self, target: ids.TargetId) -> int:
        """Returns a number that grows with each newer state of a target."""
        return _order(self._states.get(target))

    def checksums(self) -> dict[str, int]:
        """Returns a number for each zone that is equal for equal views."""
        return self._checksums

    def targets_of_zone(self, zone: str) -> list[ids.TargetId]:
        """Returns the targets of a zone whose state is known."""
        return [name for name, own in self._zones.items() if own == zone]

    def replicas(
        self, model: ids.ModelName, zone: str | None = None
    ) -> Iterable[Any]:
        """Returns the replicas of a model, of one zone or of all."""
        for target in self._by_model.get(model, ()):
            for replica in self._states[target].replicas:
                if replica.slot.model != model:
                    continue
                if zone is None or replica.availability_zone == zone:
                    yield replica

    def is_loaded(self, slot: ids.SlotId, target: ids.TargetId) -> bool:
        """Whether a target is known to have a slot in any state."""
        state = self._states.get(target)
        if state is None:
            return False
        return any(
            replica.slot.model == slot.model
            and replica.slot.index == slot.index
            for replica in state.replicas
        )

    def is_cached(
        self,
        target: ids.TargetId,
        model: ids.ModelName,
        version: ids.VersionName,
    ) -> bool:
        """Whether a target has a checkpoint in its memory or on its disk."""
        state = self._states.get(target)
        return state is not None and f"{model}@{version}" in state.cached

    def merge(self, state: Any) -> bool:
        """Takes a state from a peer; True if it is newer."""
        target = ids.TargetId(state.target)
        if _order(state) <= self.order_of(target):
            return False
        self._keys.pop(target, None)
        self._put(target, state)
        return True

    def update(
        self,
        status: messages.TargetStatus,
        item: messages.ListedInstance,
        unloading: set[ids.SlotId],
    ) -> bool:
        """Takes the status of a target that this process polls.

        Args:
            status: The target's report.
            item: The target's entry in the instance list.
            unloading: Slots that are announced as unloading.

        Returns:
            Whether peers and entries have to be told.
        """
        target = status.target
        number = self._number(target)
        replicas = [
            _make_replica(model, target, item, unloading)
            for model in status.models
        ]
        cached = sorted(
            f"{model}@{version}" for model, version in status.cached
        )
        free = self._ctx.ledger.unreserved_bytes(target)
        former = self._states.get(target)
        key = (tuple(_key(r) for r in replicas), tuple(cached), free)
        if former is not None and former.fencing_number > number:
            return False
        if former is not None and former.fencing_number == number:
            if self._keys.get(target) == key:
                return False
            sequence = former.sequence + 1
        else:
            sequence = 1
        self._keys[target] = key
        state = ttypes.TargetState(
            target=target,
            fencing_number=number,
            sequence=sequence,
            replicas=replicas,
            unreserved_bytes=free,
            cached=cached,
        )
        self._put(target, state)
        return True

    def drop(self, target: ids.TargetId) -> bool:
        """Forgets a target; True if it was known."""
        state = self._states.pop(target, None)
        if state is None:
            return False
        self._keys.pop(target, None)
        self._unindex(target, state)
        del self._zones[target]
        self._version += 1
        return True

    def _number(self, target: ids.TargetId) -> ids.FencingNumber:
        # Also for a target whose holder has died: what is seen now is newer
        # than what the holder has told.
        state = self._ctx.ledger.targets.get(target)
        if state is None or state.fencing_number < 0:
            return ids.FencingNumber(0)
        return state.fencing_number

    def _put(self, target: ids.TargetId, state: Any) -> None:
        former = self._states.get(target)
        if former is not None:
            self._unindex(target, former)
        self._states[target] = state
        zone = self._zone_of(target, state)
        self._zones[target] = zone
        mark = _mark(target, state)
        total = self._checksums.get(zone, 0) ^ mark
        self._checksums[zone] = total
        for replica in state.replicas:
            self._by_model.setdefault(replica.slot.model, set()).add(target)
        self._version += 1

    def _unindex(self, target: ids.TargetId, state: Any) -> None:
        zone = self._zones[target]
        self._checksums[zone] ^= _mark(target, state)
        for replica in state.replicas:
            names = self._by_model.get(replica.slot.model)
            if names is not None:
                names.discard(target)
                if not names:
                    del self._by_model[replica.slot.model]

    def _zone_of(self, target: ids.TargetId, state: Any) -> str:
        item = self._ctx.membership.targets.get(target)
        if item is not None:
            return item.availability_zone
        known = self._ctx.ledger.targets.get(target)
        if known is not None and known.availability_zone:
            return known.availability_zone
        if state.replicas:
            return str(state.replicas[0].availability_zone)
        return self._zones.get(target, "")


def slot_of(replica: Any) -> ids.SlotId:
    """Returns the slot of a ttypes.Replica."""
    return records.slot_from_wire(replica.slot)


def _order(state: Any | None) -> int:
    if state is None:
        return -1
    return int((state.fencing_number << _SEQUENCE_BITS) + state.sequence)


def _mark(target: ids.TargetId, state: Any) -> int:
    text = f"{target}\0{_order(state)}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big") >> (64 - _CHECKSUM_BITS)


def _make_replica(
    model: messages.ModelStatus,
    target: ids.TargetId,
    item: messages.ListedInstance,
    unloading: set[ids.SlotId],
) -> Any:
    state = model.state
    if model.slot in unloading:
        state = messages.ReplicaState.UNLOADING
    ready_in = model.ready_in
    if state is not messages.ReplicaState.LOADING:
        ready_in = datetime.timedelta()
    return ttypes.Replica(
        slot=records.slot_to_wire(model.slot),
        version=model.version,
        target=target,
        address=item.address,
        availability_zone=item.availability_zone,
        state=_STATES[state],
        ready_in_s=ready_in.total_seconds(),
        max_running=MAX_RUNNING,
    )


def _key(replica: Any) -> tuple[Any, ...]:
    slot = replica.slot
    step = READY_STEP.total_seconds()
    return (
        slot.model,
        slot.availability_zone,
        slot.index,
        replica.version,
        replica.state,
        replica.address,
        round(replica.ready_in_s / step),
    )
