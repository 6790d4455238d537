"""When to claim, renew, resign and close leases, and to register targets."""

import datetime
import logging
import math

from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import ledger as ledger_module
from quetzalgauge import messages
from quetzalgauge import records

RENEW_INTERVAL = datetime.timedelta(seconds=3)
# A target that answers with the registered incarnation is alive, whatever the
# instance list says.
ANSWER_VALID = datetime.timedelta(seconds=5)
# The preferred process of a target claims at once, the others one after
# another, so that one claim of a free target is usually enough.
CLAIM_STAGGER = datetime.timedelta(milliseconds=500)
MAX_CLAIM_STAGGER = datetime.timedelta(seconds=4)
# Longer than the stagger, so that a lease resigned for balance finds another
# holder first.
OVER_SHARE_DELAY = datetime.timedelta(seconds=6)
FENCE_RETRY = datetime.timedelta(seconds=1)
REBALANCE_INTERVAL = datetime.timedelta(seconds=3)
# After a claim above the share, which shows that nobody else wanted the lease;
# the pause doubles each time. When a process tried every REBALANCE_INTERVAL,
# its targets were without a holder for 92 of 240 target seconds beside a peer
# that was listed but dead, cut off or paused.
REBALANCE_RETRY = datetime.timedelta(minutes=1)
MAX_REBALANCE_RETRY = datetime.timedelta(minutes=5)
# Keeps the number of appends of one review bounded.
_MAX_CLAIMS = 20

_PART = "leases"


class Leases:
    """The leases of a zone as one process sees them.

    Args:
        ctx: The parts of the controller.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._renewals: dict[ids.WriterId, datetime.timedelta] = {}
        self._claims: dict[ids.TargetId, datetime.timedelta] = {}
        self._free_since: dict[ids.TargetId, datetime.timedelta] = {}
        self._gone_since: dict[ids.WriterId, datetime.timedelta] = {}
        self._fenced: dict[
            ids.TargetId, tuple[ids.TargetIncarnation, ids.FencingNumber]
        ] = {}
        self._fencing: dict[ids.TargetId, ids.OrderId] = {}
        self._fence_after: dict[ids.TargetId, datetime.timedelta] = {}
        self._refused: dict[ids.TargetId, ids.FencingNumber] = {}
        self._own_numbers: set[tuple[ids.TargetId, ids.FencingNumber]] = set()
        # Since when a registration of the zone is known.
        self._registered: dict[ids.TargetId, datetime.timedelta] = {}
        self._statuses: dict[
            ids.TargetId, tuple[messages.TargetStatus, datetime.timedelta]
        ] = {}
        self._marks: dict[ids.TargetId, int] = {}
        self._renew_sent: datetime.timedelta | None = None
        self._confirmed: datetime.timedelta = context.LONG_AGO
        self._claim_sent: dict[ids.TargetId, datetime.timedelta] = {}
        self._claim_confirmed: dict[ids.TargetId, datetime.timedelta] = {}
        self._system_incarnations: dict[ids.InstanceId, int] = {}
        self._rebalanced = context.LONG_AGO
        self._rebalance_pause = REBALANCE_INTERVAL

    # ---- What others ask ---------------------------------------------------

    def held(self) -> list[ids.TargetId]:
        """Returns the targets whose lease this process holds, by name."""
        return sorted(self._ctx.ledger.leases_of(self._ctx.writer))

    def can_order(self, target: ids.TargetId) -> bool:
        """Whether this process may send orders to the registered target."""
        ctx = self._ctx
        state = ctx.ledger.targets.get(target)
        status = self.status(target)
        if state is None or state.holder != ctx.writer or status is None:
            return False
        if self._refused.get(target) == state.fencing_number:
            return False
        gone = records.TargetGone(target, status.incarnation)
        return state.incarnation == status.incarnation and not (
            ctx.is_proposed(gone)
        )

    def may_unload(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether a late unload could not hit a successor's replica.

        A checking target refuses it. Otherwise the lease must be valid on
        this process's own clock.
        """
        state = self._ctx.ledger.targets[target]
        if state.checks_fencing:
            return True
        confirmed = max(
            self._confirmed, self._claim_confirmed.get(target, context.LONG_AGO)
        )
        return now - confirmed < self._ctx.settings.lease_duration

    def status(self, target: ids.TargetId) -> messages.TargetStatus | None:
        """Returns the latest status of a target, None if there is none."""
        entry = self._statuses.get(target)
        return None if entry is None else entry[0]

    def status_mark(self, target: ids.TargetId) -> int | None:
        """Returns the orders' mark when the latest status was asked for."""
        return self._marks.get(target)

    def answered_lately(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> bool:
        """Whether the target answered a status request in the last seconds."""
        return self.answered_within(target, ANSWER_VALID, now)

    def answered_within(
        self,
        target: ids.TargetId,
        limit: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Whether the latest status of a target is younger than a limit."""
        entry = self._statuses.get(target)
        return entry is not None and now - entry[1] < limit

    def is_lapsed(self, target: ids.TargetId, now: datetime.timedelta) -> bool:
        """Whether no renewal of a held lease was seen for its duration."""
        ctx = self._ctx
        state = ctx.ledger.targets.get(target)
        if state is None or state.holder is None:
            return True
        if state.holder == ctx.writer or not ctx.reading.is_current(now):
            return False
        seen = max(
            self._claims.setdefault(target, now),
            self._renewals.get(state.holder, context.LONG_AGO),
            ctx.reading.since or now,
        )
        return now - seen >= ctx.settings.lease_duration

    def live_holder(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> ids.WriterId | None:
        """Returns the holder of a target unless it seems to be dead."""
        state = self._ctx.ledger.targets.get(target)
        if state is None or state.holder is None:
            return None
        if state.holder == self._ctx.writer:
            return state.holder
        systems = self._ctx.membership.systems
        if systems and state.holder.instance not in systems:
            return None
        return None if self.is_lapsed(target, now) else state.holder

    def live_writers(self) -> list[ledger_module.Writer]:
        """Returns the registered processes of the zone that are listed live."""
        ctx = self._ctx
        systems = ctx.membership.systems
        return [
            writer
            for writer in ctx.ledger.writers.values()
            if writer.availability_zone == ctx.zone
            and (writer.id == ctx.writer or _is_listed(systems, writer.id))
        ]

    @property
    def own_numbers(self) -> set[tuple[ids.TargetId, ids.FencingNumber]]:
        """The open fencing numbers of this process."""
        return self._own_numbers

    # ---- What happened -----------------------------------------------------

    def read_record(
        self,
        offset: ids.Offset,
        envelope: records.Envelope,
        now: datetime.timedelta,
    ) -> None:
        """Notes a record that the fold has accepted."""
        ctx = self._ctx
        body = envelope.body
        own = envelope.writer == ctx.writer
        if isinstance(body, records.Renew):
            self._renewals[envelope.writer] = now
            if own and self._renew_sent is not None:
                self._confirmed = self._renew_sent
        elif isinstance(body, records.LeaseClaim):
            self._claims[body.target] = now
            self._free_since.pop(body.target, None)
            self._refused.pop(body.target, None)
            if own:
                number = ids.FencingNumber(offset)
                self._own_numbers.add((body.target, number))
                # Another holder may have given orders since it was asked for.
                self._statuses.pop(body.target, None)
                self._marks.pop(body.target, None)
                self._claim_confirmed[body.target] = self._claim_sent.get(
                    body.target, context.LONG_AGO
                )
        elif isinstance(body, records.Register):
            # A process that has just started takes its share.
            self._rebalance_pause = REBALANCE_INTERVAL
        elif isinstance(body, records.Close):
            self._own_numbers.discard((body.target, body.fencing_number))
        elif isinstance(body, records.TargetRegister):
            if body.availability_zone == ctx.zone:
                self._registered[body.target] = now
        elif isinstance(body, records.TargetGone):
            self._registered.pop(body.target, None)

    def restore(self, now: datetime.timedelta) -> None:
        """Rebuilds the indexes after the ledger was replaced."""
        ctx = self._ctx
        targets = ctx.ledger.targets.items()
        self._registered = {
            name: now
            for name, state in targets
            if state.incarnation is not None
            and state.availability_zone == ctx.zone
        }
        self._own_numbers = {
            (name, number)
            for name, state in targets
            for number, owner in state.open_numbers.items()
            if owner == ctx.writer
        }

    def answer_order(
        self,
        order: messages.Order,
        outcome: messages.OrderOutcome,
        now: datetime.timedelta,
    ) -> None:
        """Notes the answer to an order."""
        if outcome is messages.OrderOutcome.STALE:
            self._refused[order.target] = order.fencing_number
        if order.action is not messages.OrderAction.FENCE:
            return
        if self._fencing.get(order.target) == order.order_id:
            del self._fencing[order.target]
        if outcome is messages.OrderOutcome.DONE:
            self._fenced[order.target] = (
                order.target_incarnation,
                order.fencing_number,
            )
        else:
            self._fence_after[order.target] = now + FENCE_RETRY

    def poll(
        self,
        target: ids.TargetId,
        status: messages.TargetStatus,
        asked: datetime.timedelta,
        mark: int,
    ) -> None:
        """Notes a target's status.

        Args:
            target: The target.
            status: Its report.
            asked: When it was asked for the report.
            mark: The mark of the orders at that time.
        """
        self._statuses[target] = (status, asked)
        self._marks[target] = mark

    # ---- Reviews -----------------------------------------------------------

    def review_held(self, now: datetime.timedelta) -> None:
        """Renews, fences, closes and registers; cheap, for every step."""
        ctx = self._ctx
        if not ctx.is_registered:
            return
        for target, number in sorted(self._own_numbers):
            self._settle(target, number)
        held = self.held()
        if ctx.is_draining:
            if held:
                ctx.propose(records.Resign(tuple(held)))
        elif held:
            self._renew(now)
        for target in held:
            self._review_target(target, now)

    def review_zone(self, now: datetime.timedelta) -> None:
        """Claims free leases and notes what has ended; once a second."""
        ctx = self._ctx
        if not ctx.is_registered:
            return
        self._end_instances(now)
        self._end_targets(now)
        if ctx.is_draining or not ctx.reading.is_current(now):
            return
        writers = self.live_writers()
        names = ctx.membership.engines(ctx.zone)
        share = math.ceil(len(names) / max(1, len(writers)))
        held = set(ctx.ledger.leases_of(ctx.writer))
        self._claim_free(names, writers, len(held), share, now)
        if len(held) > share:
            self._rebalance(writers, share, now)

    def _renew(self, now: datetime.timedelta) -> None:
        sent = self._renew_sent
        if sent is not None and now - sent < RENEW_INTERVAL:
            return
        if not self._ctx.is_proposed(records.Renew()):
            self._renew_sent = now
            self._ctx.propose(records.Renew())

    def _settle(self, target: ids.TargetId, number: ids.FencingNumber) -> None:
        """Closes an own former number once none of its orders is in flight."""
        ctx = self._ctx
        state = ctx.ledger.targets.get(target)
        if state is None:
            return
        in_use = state.holder == ctx.writer and state.fencing_number == number
        if in_use or ctx.orders.in_flight(target, fencing_number=number):
            return
        ctx.propose(records.Close(target, number, records.CloseProof.SETTLED))

    def _review_target(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
        ctx = self._ctx
        state = ctx.ledger.targets[target]
        status = self.status(target)
        item = ctx.membership.targets.get(target)
        if status is not None and item is not None:
            checks = self._checks_fencing(target, status)
            if checks and not self._is_fenced(target, status):
                self._fence(target, item.address, status, now)
        self._close_older(target, now)
        if state.incarnation is None and status is not None:
            self._register_target(target, status, now)

    def _checks_fencing(
        self, target: ids.TargetId, status: messages.TargetStatus
    ) -> bool:
        state = self._ctx.ledger.targets[target]
        if state.incarnation == status.incarnation:
            return state.checks_fencing
        return status.checks_fencing

    def _is_fenced(
        self, target: ids.TargetId, status: messages.TargetStatus
    ) -> bool:
        state = self._ctx.ledger.targets[target]
        number = state.fencing_number
        return self._fenced.get(target) == (status.incarnation, number)

    def _fence(
        self,
        target: ids.TargetId,
        address: str,
        status: messages.TargetStatus,
        now: datetime.timedelta,
    ) -> None:
        ctx = self._ctx
        number = ctx.ledger.targets[target].fencing_number
        if target in self._fencing or self._refused.get(target) == number:
            return
        if now < self._fence_after.get(target, context.LONG_AGO):
            return
        order = messages.Order(
            order_id=ctx.orders.next_id(),
            target=target,
            fencing_number=number,
            action=messages.OrderAction.FENCE,
            target_incarnation=status.incarnation,
        )
        self._fencing[target] = order.order_id
        ctx.act(ctx.orders.send(address, order))

    def _close_older(
        self, target: ids.TargetId, now: datetime.timedelta
    ) -> None:
        ctx = self._ctx
        state = ctx.ledger.targets[target]
        status = self.status(target)
        for number, owner in state.open_numbers.items():
            if number >= state.fencing_number or owner == ctx.writer:
                continue
            proof = None
            if (
                status is not None
                and self._checks_fencing(target, status)
                and self._is_fenced(target, status)
                and state.incarnation in (None, status.incarnation)
            ):
                proof = records.CloseProof.FENCED
            elif self._is_writer_gone(owner, now):
                proof = records.CloseProof.WRITER_GONE
            if proof is not None:
                ctx.propose(records.Close(target, number, proof))

    def _is_writer_gone(
        self, writer: ids.WriterId, now: datetime.timedelta
    ) -> bool:
        """Whether a process ended so long ago that no order is in flight."""
        if self._ctx.ledger.is_registered(writer):
            self._gone_since.pop(writer, None)
            return False
        since = self._gone_since.setdefault(writer, now)
        return now - since >= self._ctx.settings.order_linger

    def _register_target(
        self,
        target: ids.TargetId,
        status: messages.TargetStatus,
        now: datetime.timedelta,
    ) -> None:
        ctx = self._ctx
        state = ctx.ledger.targets[target]
        item = ctx.membership.targets.get(target)
        if item is None or item.incarnation != status.incarnation:
            return
        if state.gone_incarnation == status.incarnation:
            return
        if not ctx.ledger.older_numbers_closed(target):
            return
        if status.checks_fencing and not self._is_fenced(target, status):
            return
        if ctx.orders.in_flight(target):
            return
        # What is loaded without a reservation is not accounted for.
        if status.models or not self.answered_lately(target, now):
            return
        ctx.propose(
            records.TargetRegister(
                target,
                status.incarnation,
                item.availability_zone,
                status.accelerator_memory_bytes,
                status.checks_fencing,
            )
        )

    def _claim_free(
        self,
        names: list[ids.TargetId],
        writers: list[ledger_module.Writer],
        held: int,
        share: int,
        now: datetime.timedelta,
    ) -> None:
        ctx = self._ctx
        claims = 0
        for target in names:
            state = ctx.ledger.targets.get(target)
            if state is not None and state.holder == ctx.writer:
                continue
            if not self.is_lapsed(target, now):
                self._free_since.pop(target, None)
                continue
            since = self._free_since.setdefault(target, now)
            delay = self._claim_delay(target, writers)
            if held + claims >= share:
                delay += OVER_SHARE_DELAY
            if now - since < delay:
                continue
            expected = ctx.ledger.latest_renewal(target)
            self._claim_sent[target] = now
            ctx.propose(records.LeaseClaim(target, expected))
            claims += 1
            if claims >= _MAX_CLAIMS:
                break
        if claims and held + claims > share:
            self._postpone_rebalance(now)

    def _postpone_rebalance(self, now: datetime.timedelta) -> None:
        longer = max(REBALANCE_RETRY, 2 * self._rebalance_pause)
        self._rebalance_pause = min(longer, MAX_REBALANCE_RETRY)
        self._rebalanced = now

    def _claim_delay(
        self, target: ids.TargetId, writers: list[ledger_module.Writer]
    ) -> datetime.timedelta:
        own = context.weight(target, self._ctx.writer.instance)
        rank = sum(
            context.weight(target, writer.id.instance) > own
            for writer in writers
        )
        if rank == 0:
            return datetime.timedelta()
        delay = CLAIM_STAGGER * (rank + self._ctx.random.random())
        return min(MAX_CLAIM_STAGGER, delay)

    def _rebalance(
        self,
        writers: list[ledger_module.Writer],
        share: int,
        now: datetime.timedelta,
    ) -> None:
        """Resigns one lease if another process has less than its share."""
        ctx = self._ctx
        if now - self._rebalanced < self._rebalance_pause:
            return
        if all(len(writer.targets) >= share for writer in writers):
            return
        for target in self.held():
            if ctx.orders.in_flight(target):
                continue
            if not ctx.ledger.older_numbers_closed(target):
                continue
            self._rebalanced = now
            # Leaves the lease to the others before it is claimed again.
            ctx.propose(records.Resign((target,)))
            return

    def _end_instances(self, now: datetime.timedelta) -> None:
        ctx = self._ctx
        systems = ctx.membership.systems
        for instance, writer in ctx.ledger.writers.items():
            if writer.id == ctx.writer:
                continue
            if instance in systems:
                incarnation = writer.id.incarnation
                self._system_incarnations[instance] = incarnation
                continue
            if writer.availability_zone != ctx.zone:
                continue
            # The incarnation that was registered while the list showed it.
            known = self._system_incarnations.get(
                instance, writer.id.incarnation
            )
            if known != writer.id.incarnation:
                continue
            if ctx.membership.absent_long(instance, now):
                ctx.propose(records.InstanceGone(instance, known))

    def _end_targets(self, now: datetime.timedelta) -> None:
        ctx = self._ctx
        for target in sorted(self._registered):
            state = ctx.ledger.targets.get(target)
            if state is None or state.incarnation is None:
                continue
            if state.holder != ctx.writer and not self.is_lapsed(target, now):
                continue
            if self._has_ended(target, state.incarnation, now):
                ctx.write_log(
                    _PART,
                    logging.INFO,
                    "a target has ended",
                    target=target,
                )
                ctx.propose(records.TargetGone(target, state.incarnation))

    def _has_ended(
        self,
        target: ids.TargetId,
        incarnation: ids.TargetIncarnation,
        now: datetime.timedelta,
    ) -> bool:
        ctx = self._ctx
        entry = self._statuses.get(target)
        known_since = self._registered[target]
        if entry is not None and self.answered_lately(target, now):
            # What answers now is the truth, whatever the list says.
            status, asked = entry
            return status.incarnation != incarnation and asked > known_since
        item = ctx.membership.targets.get(target)
        if item is None:
            return ctx.membership.absent_long(target, now)
        return item.incarnation != incarnation and ctx.membership.was_shown(
            target, incarnation
        )


def _is_listed(
    systems: dict[ids.InstanceId, messages.ListedInstance],
    writer: ids.WriterId,
) -> bool:
    if not systems:
        return True
    item = systems.get(writer.instance)
    return item is not None and item.state is messages.InstanceState.LIVE
