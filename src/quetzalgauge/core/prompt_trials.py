"""Trials of suspected prompt parts: one request at a time in the whole fleet.

Instances report the requests that wait for a trial to all zone leaders. One of
the leaders, the arbiter, grants trials. A request with several suspected parts
occupies all of them, so one arbiter decides about all parts.
"""

from collections.abc import Callable
import dataclasses
import datetime

from quetzalgauge import ids

# Longest time of a trial, from the grant to the first part of the response.
GRANT_TTL = datetime.timedelta(seconds=10)
# The wishes of an instance that has not reported for this time are dropped.
REPORT_TIMEOUT = datetime.timedelta(seconds=2)
# Wishes in one report, and grants in one zone update.
MAX_WISHES = 32
MAX_GRANTS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class TrialWish:
    """A request of an instance that waits for a trial or is one.

    Attributes:
        number: Number of the request, unique at the instance. Reports contain
            it until the request has its outcome.
        model: Its base model, empty for requests without a model.
        parts: Its suspected parts.
        unproven_count: Number of its parts on which no response is known to
            have begun.
        is_running: Whether it was granted a trial.
    """

    number: int
    model: str
    parts: frozenset[ids.PromptPart]
    unproven_count: int = 0
    is_running: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TrialGrant:
    """Permission to send one request.

    Attributes:
        instance: The instance.
        number: Number of the request in the wish of the instance.
        parts: The parts that no other request may try.
        time_left: Time until the grant ends.
    """

    instance: ids.InstanceId
    number: int
    parts: frozenset[ids.PromptPart]
    time_left: datetime.timedelta


@dataclasses.dataclass(slots=True)
class _Grant:
    parts: frozenset[ids.PromptPart]
    expires_at: datetime.timedelta


class TrialArbiter:
    """Wishes of all instances, and the grants of a zone leader."""

    def __init__(self) -> None:
        self._wishes: dict[
            ids.InstanceId, tuple[datetime.timedelta, tuple[TrialWish, ...]]
        ] = {}
        self._grants: dict[tuple[ids.InstanceId, int], _Grant] = {}

    def apply_wishes(
        self,
        instance: ids.InstanceId,
        wishes: tuple[TrialWish, ...],
        now: datetime.timedelta,
    ) -> None:
        """Replaces the wishes of an instance.

        Grants for requests that are not among them have ended, as have those
        for requests that wait for more parts by now and cannot use them.
        """
        by_number = {wish.number: wish for wish in wishes}
        for key, grant in list(self._grants.items()):
            if key[0] != instance:
                continue
            granted_wish = by_number.get(key[1])
            if granted_wish is None or not (
                granted_wish.is_running or granted_wish.parts <= grant.parts
            ):
                del self._grants[key]
        if not wishes:
            self._wishes.pop(instance, None)
            return
        self._wishes[instance] = (now, wishes)
        for wish in wishes:
            # Granted by another arbiter.
            if wish.is_running and (instance, wish.number) not in self._grants:
                self._grants[(instance, wish.number)] = _Grant(
                    wish.parts, now + GRANT_TTL
                )

    def remove_instance(self, instance: ids.InstanceId) -> None:
        """Drops the wishes of an instance, but not its grants."""
        self._wishes.pop(instance, None)

    def assign(
        self,
        may_try: Callable[[TrialWish], bool],
        now: datetime.timedelta,
    ) -> bool:
        """Grants the trials that are possible; returns whether there are any.

        Args:
            may_try: Whether the parts of a wish are exactly suspected.
            now: The current time.
        """
        self._expire(now)
        busy = {part for grant in self._grants.values() for part in grant.parts}
        waiting = [
            (instance, wish)
            for instance, (_, wishes) in self._wishes.items()
            for wish in wishes
            if not wish.is_running
            and (instance, wish.number) not in self._grants
        ]
        # A request with a single unproven part gives the clearest evidence.
        waiting.sort(
            key=lambda item: (len(item[1].parts), item[1].unproven_count)
        )
        has_granted = False
        for instance, wish in waiting:
            if len(self._grants) >= MAX_GRANTS:
                break
            if wish.parts & busy or not may_try(wish):
                continue
            busy |= wish.parts
            self._grants[(instance, wish.number)] = _Grant(
                wish.parts, now + GRANT_TTL
            )
            has_granted = True
        return has_granted

    def list_grants(self, now: datetime.timedelta) -> tuple[TrialGrant, ...]:
        """Returns the grants that have not ended."""
        return tuple(
            TrialGrant(instance, number, grant.parts, grant.expires_at - now)
            for (instance, number), grant in self._grants.items()
            if grant.expires_at > now
        )

    def _expire(self, now: datetime.timedelta) -> None:
        for instance, (reported_at, _) in list(self._wishes.items()):
            if now - reported_at > REPORT_TIMEOUT:
                del self._wishes[instance]
        for key, grant in list(self._grants.items()):
            if now >= grant.expires_at:
                del self._grants[key]
