"""The control core: composes the modules that decide.

A controller performs no input or output. `step` takes an event and the time
and returns the actions to carry out, in order.
"""

from collections.abc import Callable
import dataclasses
import datetime
import logging
import random as random_module
from typing import Any

from quetzalgauge import adapters as adapters_module
from quetzalgauge import context
from quetzalgauge import controllerdump
from quetzalgauge import demand as demand_module
from quetzalgauge import exchange as exchange_module
from quetzalgauge import follower as follower_module
from quetzalgauge import ids
from quetzalgauge import keys as keys_module
from quetzalgauge import leases as leases_module
from quetzalgauge import logstreams
from quetzalgauge import membership as membership_module
from quetzalgauge import messages
from quetzalgauge import orders as orders_module
from quetzalgauge import placement as placement_module
from quetzalgauge import plan as plan_module
from quetzalgauge import polls as polls_module
from quetzalgauge import records
from quetzalgauge import routes as routes_module
from quetzalgauge import settings as settings_module
from quetzalgauge import submissions as submissions_module
from quetzalgauge import views as views_module
from quetzalgauge import warmup as warmup_module

ZONE_INTERVAL = datetime.timedelta(seconds=1)
# A record that the fold has rejected is not proposed again before the state
# that led to it had time to change.
REJECTED_PAUSE = datetime.timedelta(seconds=1)
# About one lease duration. A drain that waits only for the log ends when the
# log has not answered for this long; successors close the open numbers with
# WRITER_GONE.
DRAIN_LOG_WAIT = datetime.timedelta(seconds=10)
# A target that has not answered for this long has no replicas to route to.
SILENCE_LIMIT = datetime.timedelta(seconds=10)

_PART = "control"


class Controller:
    """The state of a control process. Use `make_controller`."""

    def __init__(
        self,
        settings: settings_module.ControlSettings,
        incarnation: int,
        random: random_module.Random,
    ) -> None:
        writer = ids.WriterId(ids.InstanceId(settings.instance), incarnation)
        region = ids.Region(settings.region)
        self._actions: list[messages.Action] = []
        self._streams = logstreams.LogStreams(
            writer, region, random, self._actions.append, self._take_progress
        )
        self._decisions = self._streams.decisions
        self._config = self._streams.config
        self._rejected: dict[records.Body, datetime.timedelta] = {}
        self._ctx = context.Context(
            settings=settings,
            writer=writer,
            random=random,
            propose=self._propose,
            proposed={},
            act=self._actions.append,
            ledger=self._decisions.follower.state,
            catalog=self._config.follower.state,
            membership=membership_module.Membership(region),
            orders=orders_module.Orders(writer, settings.order_linger),
        )
        ctx = self._ctx
        self._views = views_module.Views(ctx)
        self._demands = demand_module.Demands()
        self._leases = leases_module.Leases(ctx)
        self._placement = placement_module.Placement(
            ctx, self._leases, self._views, self._demands
        )
        self._warmup = warmup_module.WarmUp(
            ctx, self._views, self._demands, self._placement
        )
        self._keys = keys_module.Keys(ctx)
        self._adapters = adapters_module.Adapters(ctx, self._leases)
        self._submissions = submissions_module.Submissions(
            ctx, self._propose_ticket
        )
        self._exchange = exchange_module.Exchange(
            ctx,
            self._views,
            self._streams.next_offsets,
            self._streams.records_from,
        )
        self._polls = polls_module.Polls()
        self._routes = routes_module.Routes(ctx, self._views)
        self._now = datetime.timedelta()
        self._is_started = False
        self._is_stopped = False
        self._was_registered = False
        self._drain_since = datetime.timedelta()
        self._zone_reviewed: datetime.timedelta | None = None
        self._needs_review = False
        # What requests were reported to wait for since the last review.
        self._wanted: set[demand_module.Servable] = set()
        self._published: tuple[int, int, bool] = (0, 0, False)
        self._announced: dict[ids.TargetId, set[ids.SlotId]] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            messages.Tick: self._handle_tick,
            messages.StreamRead: self._handle_read,
            messages.StreamExpired: self._streams.expire,
            messages.StreamFailed: self._handle_failed,
            messages.AppendDone: self._handle_append_done,
            messages.InstancesListed: self._handle_instances,
            messages.TargetPolled: self._handle_polled,
            messages.OrderAnswered: self._handle_order_answered,
            messages.EntryReported: self._handle_entry_report,
            messages.DigestReceived: self._handle_digest,
            messages.UpdateReceived: self._handle_update,
            messages.DemandReceived: self._handle_demand,
            messages.TicketSubmitted: self._handle_ticket,
            messages.KeyClaimRequested: self._handle_key_claim,
            messages.OutcomeStored: self._handle_outcome_stored,
            messages.OutcomeWanted: self._handle_outcome_wanted,
            messages.OutcomeFetched: self._handle_outcome_fetched,
            messages.AdapterRequested: self._handle_adapter,
            messages.SnapshotWanted: self._streams.answer_snapshot,
            messages.SnapshotFetched: self._handle_snapshot,
            messages.DrainRequested: self._handle_drain,
            messages.TargetDrainRequested: self._handle_target_drain,
        }

    # ---- What the shell uses -----------------------------------------------

    def step(
        self, event: messages.Event, now: datetime.timedelta
    ) -> list[messages.Action]:
        """Takes one event; returns the actions to carry out, in order."""
        self._now = max(now, self._now)
        if self._is_stopped:
            return []
        if not self._is_started:
            self._start()
        self._handlers[type(event)](event)
        self._review()
        self._finish_step()
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def route_update(self, report: Any) -> Any:
        """Returns a ttypes.RouteUpdate for a ttypes.EntryReport."""
        return self._routes.update(report)

    def ticket_status(
        self, number: ids.TicketNumber
    ) -> messages.TicketStatus | None:
        """Returns the verdict on a ticket, None if it was never seen."""
        return self._ctx.catalog.status(number)

    @property
    def is_ready(self) -> bool:
        """Whether the log has the registration of this process."""
        return self._ctx.is_registered

    @property
    def has_work(self) -> bool:
        """Whether a drain still waits for something."""
        ctx = self._ctx
        return bool(
            self._leases.held()
            or self._leases.own_numbers
            or ctx.orders.count
            or not self._keys.is_idle
            or not self._adapters.is_idle
            or not self._streams.is_idle
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values, for operators."""
        return controllerdump.describe(self._ctx, self._streams, self._views)

    # ---- Start, stop and time ----------------------------------------------

    def _start(self) -> None:
        self._is_started = True
        self._streams.start()
        self._register()

    def _register(self) -> None:
        settings = self._ctx.settings
        self._propose(
            records.Register(self._ctx.zone, str(settings.peer_listen))
        )

    def _stop(self, level: int, text: str) -> None:
        self._ctx.write_log(_PART, level, text)
        self._actions.append(messages.Stop())
        self._is_stopped = True

    def _handle_tick(self, event: messages.Tick) -> None:
        now = self._now
        ctx = self._ctx
        ctx.orders.expire(now)
        self._demands.expire(now)
        self._keys.tick(now)
        self._adapters.tick(now)
        self._submissions.tick(now)
        self._exchange.tick(now)
        reviewed = self._zone_reviewed
        if reviewed is None or now - reviewed >= ZONE_INTERVAL:
            self._zone_reviewed = now
            self._leases.review_zone(now)
            self._choose_polls()
            self._streams.catch_up(self._exchange.pick_peer, now)
            self._streams.propose_snapshots(ctx, now)
            self._drop_views()
            self._rejected = {
                body: until
                for body, until in self._rejected.items()
                if now < until
            }
        for target in self._leases.held():
            if self._placement.activity.is_changing(target):
                self._polls.hurry(target, now)
        self._needs_review = True

    def _handle_drain(self, event: messages.DrainRequested) -> None:
        if not self._ctx.is_draining:
            self._drain_since = self._now
        self._ctx.is_draining = True
        self._needs_review = True

    def _end_drain(self) -> None:
        # The shell bounds the time that a drain may take.
        if not self._ctx.is_draining or self._is_stopped:
            return
        if not self.has_work:
            self._stop(logging.INFO, "drained")
        elif self._waits_only_for_log():
            self._stop(
                logging.WARNING,
                "the log cannot be reached, so the drain ends without closing"
                " its fencing numbers",
            )

    def _waits_only_for_log(self) -> bool:
        """Whether the log is silent and nothing else is in progress."""
        ctx = self._ctx
        since = max(
            self._drain_since, ctx.reading.last_read or self._drain_since
        )
        return (
            not ctx.reading.is_reachable
            and self._now - since >= DRAIN_LOG_WAIT
            and not ctx.orders.count
            and not self._keys.has_waiters
            and self._adapters.is_idle
        )

    # ---- Streams -----------------------------------------------------------

    def _propose(self, body: records.Body) -> None:
        ctx = self._ctx
        if body in ctx.proposed or self._now < self._rejected.get(
            body, self._now
        ):
            return
        ctx.proposed[body] = None
        self._decisions.appends.propose(body)

    def _propose_ticket(self, ticket: records.Ticket) -> None:
        self._config.appends.propose(ticket)

    def _handle_read(self, event: messages.StreamRead) -> None:
        if event.stream == self._decisions.name:
            self._ctx.reading.succeed(self._now)
        self._streams.read(event)

    def _handle_failed(self, event: messages.StreamFailed) -> None:
        if event.stream == self._decisions.name:
            self._ctx.reading.fail()
            self._withdraw_releases()

    def _withdraw_releases(self) -> None:
        """Takes back releases that were not sent.

        A slot is not loaded while its release has no known outcome, and during
        an outage of the log it should be.
        """
        appends = self._decisions.appends
        for proposal in appends.proposals():
            is_release = isinstance(proposal.body, records.Release)
            if is_release and appends.withdraw(proposal.sequence):
                self._ctx.proposed.pop(proposal.body, None)

    def _handle_append_done(self, event: messages.AppendDone) -> None:
        self._streams.end_append(event, self._now)

    def _take_progress(
        self, stream: logstreams.Stream, progress: follower_module.Progress
    ) -> None:
        if stream is self._decisions:
            self._take_decisions(progress)
        else:
            self._take_config(progress)

    def _take_decisions(self, progress: follower_module.Progress) -> None:
        ctx = self._ctx
        if progress.restored:
            ctx.ledger = self._decisions.follower.state
            self._settle_proposals()
            self._leases.restore(self._now)
            self._keys.resolve_all(self._now)
            self._placement.reservations.note_change()
            self._needs_review = True
        for folded in progress.folded:
            if folded.envelope is not None:
                self._take_decision(folded)
        self._check_registration()

    def _take_decision(self, folded: follower_module.Folded) -> None:
        envelope = folded.envelope
        assert envelope is not None
        proposal = self._decisions.appends.read(envelope)
        if proposal is not None:
            self._end_proposal(proposal.body, folded.outcome.accepted)
        body = envelope.body
        if isinstance(body, records.KeyClaim | records.KeyRelease):
            self._keys.read_record(envelope, self._now)
            return
        if not folded.outcome.accepted:
            return
        self._leases.read_record(folded.offset, envelope, self._now)
        if isinstance(body, records.Renew | records.Snapshot):
            return
        if isinstance(body, records.TargetGone):
            self._ctx.orders.forget_target(body.target)
            self._ctx.membership.end_incarnation(
                body.target, body.target_incarnation
            )
        if isinstance(body, records.LeaseClaim) and (
            envelope.writer == self._ctx.writer
        ):
            self._choose_polls()
            self._polls.void(body.target, self._now)
        self._placement.reservations.note_change()
        self._needs_review = True

    def _end_proposal(self, body: records.Body, is_accepted: bool) -> None:
        self._ctx.proposed.pop(body, None)
        if isinstance(body, records.KeyRelease):
            self._keys.end_release(body, self._now)
        elif not is_accepted:
            self._rejected[body] = self._now + REJECTED_PAUSE
        self._needs_review = True

    def _settle_proposals(self) -> None:
        """Takes the outcome of own proposals from a restored ledger."""
        ctx = self._ctx
        state = ctx.ledger.writers.get(ctx.writer.instance)
        if state is None or state.id != ctx.writer:
            return
        for proposal in self._decisions.appends.settle(state.sequence):
            self._end_proposal(proposal.body, True)

    def _check_registration(self) -> None:
        ctx = self._ctx
        if ctx.is_registered:
            self._was_registered = True
        is_refused = any(
            isinstance(body, records.Register) for body in self._rejected
        )
        if self._was_registered and not ctx.is_registered or is_refused:
            self._stop(
                logging.ERROR,
                "the log has ended this incarnation of the process",
            )
        elif self._streams.is_writer_shared:
            self._stop(logging.ERROR, "another process uses this incarnation")

    def _take_config(self, progress: follower_module.Progress) -> None:
        ctx = self._ctx
        if progress.restored:
            ctx.catalog = self._config.follower.state
            self._submissions.restore()
        for folded in progress.folded:
            envelope = folded.envelope
            if envelope is None:
                continue
            self._config.appends.read(envelope)
            if isinstance(envelope.body, records.Ticket):
                self._submissions.read_ticket(
                    envelope.writer, envelope.body, folded.outcome
                )
        if self._config.follower.is_at_end:
            ctx.is_config_read = True
        if progress.restored or progress.folded:
            self._needs_review = True

    def _handle_snapshot(self, event: messages.SnapshotFetched) -> None:
        if self._streams.take_snapshot(event):
            self._ctx.is_config_read = True

    # ---- Targets -----------------------------------------------------------

    def _handle_instances(self, event: messages.InstancesListed) -> None:
        membership = self._ctx.membership
        leaving = len(membership.leaving)
        if not membership.list_instances(event.instances, self._now):
            return
        if len(membership.leaving) > leaving:
            self._exchange.add_leaving_news()
        self._placement.reservations.note_change()
        self._choose_polls()
        self._needs_review = True

    def _choose_polls(self) -> None:
        intervals = polls_module.intervals(self._ctx, self._leases, self._now)
        self._polls.choose(intervals, self._now)

    def _handle_polled(self, event: messages.TargetPolled) -> None:
        asked = self._polls.answered(event.target)
        status = event.status
        if asked is None:
            return
        if status is None:
            self._note_silence(event.target)
            return
        membership = self._ctx.membership
        self._leases.poll(event.target, status, asked.at, asked.mark)
        if status.draining and membership.mark_leaving(
            event.target, status.incarnation
        ):
            self._exchange.add_leaving_news()
        self._placement.activity.poll(event.target, status, self._now)
        self._adapters.review(event.target, self._now)
        has_changed = self._publish(event.target, status)
        # A status that shows nothing new is reviewed with the next tick.
        if has_changed or self._placement.activity.is_changing(event.target):
            self._needs_review = True
        if self._adapters.is_waiting(event.target):
            self._polls.hurry(event.target, self._now)

    def _note_silence(self, target: ids.TargetId) -> None:
        if not self._ctx.holds(target):
            return
        status = self._leases.status(target)
        if status is None or self._leases.answered_within(
            target, SILENCE_LIMIT, self._now
        ):
            return
        self._publish(target, dataclasses.replace(status, models=()))

    def _publish(
        self, target: ids.TargetId, status: messages.TargetStatus
    ) -> bool:
        """Updates the view of a target; tells peers and returns news."""
        item = self._ctx.membership.targets.get(target)
        if item is None or item.service_kind is messages.ServiceKind.PLAIN:
            return False
        unloading = self._placement.activity.unloading(target)
        self._announced[target] = unloading
        has_changed = self._views.update(status, item, unloading)
        if has_changed:
            self._exchange.add_news(target)
        return has_changed

    def _handle_order_answered(self, event: messages.OrderAnswered) -> None:
        order = event.order
        now = self._now
        if not self._ctx.orders.answered(order, event.outcome, now):
            return
        self._leases.answer_order(order, event.outcome, now)
        if order.adapter:
            self._adapters.answer_order(order, event.outcome, now)
        else:
            self._placement.activity.answer_order(order, event.outcome, now)
        if order.action is not messages.OrderAction.FENCE:
            self._polls.hurry(order.target, now)
        self._needs_review = True

    def _handle_target_drain(
        self, event: messages.TargetDrainRequested
    ) -> None:
        item = self._ctx.membership.targets.get(event.target)
        if item is not None:
            incarnation = ids.TargetIncarnation(item.incarnation)
            if self._ctx.membership.mark_leaving(event.target, incarnation):
                self._exchange.add_leaving_news()
            self._needs_review = True
        self._actions.append(messages.Reply(event.token, item is not None))

    def _drop_views(self) -> None:
        membership = self._ctx.membership
        for target in list(self._views.states):
            if target in membership.targets:
                continue
            if membership.absent_long(target, self._now):
                self._views.drop(target)

    # ---- Entries and peers -------------------------------------------------

    def _handle_entry_report(self, event: messages.EntryReported) -> None:
        report = event.report
        # An entry process that has just started has no routes.
        self._hear_entry(ids.EntryId(report.entry), report.routes_version == 0)
        for target in event.report.suspect_targets:
            self._ctx.membership.suspect(ids.TargetId(target), self._now)
        for demand in event.report.demands:
            self._put_demand(demand, is_own=True)

    def _handle_demand(self, event: messages.DemandReceived) -> None:
        for demand in event.demands:
            self._put_demand(demand, is_own=False)

    def _put_demand(self, demand: Any, is_own: bool) -> None:
        if not demand.version:
            default = plan_module.default_spec(self._ctx.catalog, demand.model)
            if default is None:
                return
            demand.version = default.version
        self._demands.put(demand, is_own, self._now)
        if demand.waiting > 0:
            self._wanted.add(
                demand_module.Servable(demand.model, demand.version)
            )

    def _handle_digest(self, event: messages.DigestReceived) -> None:
        update = self._exchange.answer(event.digest, event.target_states)
        self._actions.append(messages.Reply(event.token, update))

    def _handle_update(self, event: messages.UpdateReceived) -> None:
        if event.update is not None:
            self._streams.take_peer_records(event.update.records)
        self._exchange.receive(event.address, event.update, self._now)

    def _handle_ticket(self, event: messages.TicketSubmitted) -> None:
        self._submissions.submit(event, self._now)

    def _hear_entry(self, entry: ids.EntryId, is_new: bool) -> None:
        offset = self._decisions.follower.next_offset
        self._keys.hear(entry, offset, self._now, is_new)

    def _handle_key_claim(self, event: messages.KeyClaimRequested) -> None:
        self._hear_entry(event.entry, is_new=False)
        self._keys.request(event, self._now)

    def _handle_outcome_stored(self, event: messages.OutcomeStored) -> None:
        self._keys.store(event.key, event.outcome, self._now)

    def _handle_outcome_wanted(self, event: messages.OutcomeWanted) -> None:
        outcome = self._keys.outcome(event.key, self._now)
        self._actions.append(messages.Reply(event.token, outcome))

    def _handle_outcome_fetched(self, event: messages.OutcomeFetched) -> None:
        self._keys.receive(event.key, event.outcome, self._now)

    def _handle_adapter(self, event: messages.AdapterRequested) -> None:
        self._adapters.request(event, self._now)

    # ---- End of a step -----------------------------------------------------

    def _review(self) -> None:
        now = self._now
        ctx = self._ctx
        if self._needs_review:
            self._leases.review_held(now)
            for target in self._leases.held():
                self._placement.unloads.review(target, now)
                self._announce(target)
            self._placement.reservations.review(now)
            if ctx.settings.warm_checkpoints:
                self._warmup.review(now)
            self._placement.review_loads(now)
        elif self._wanted:
            self._placement.review_demand(self._wanted, now)
        self._needs_review = False
        self._wanted.clear()
        for target in self._polls.take_due(self._ctx.orders.mark, now):
            item = self._ctx.membership.last_known(target)
            if item is not None:
                self._actions.append(messages.PollTarget(target, item.address))

    def _announce(self, target: ids.TargetId) -> None:
        """Tells at once when a slot starts or stops to be unloading."""
        unloading = self._placement.activity.unloading(target)
        if unloading == self._announced.get(target, set()):
            return
        status = self._leases.status(target)
        if status is not None:
            self._publish(target, status)

    def _finish_step(self) -> None:
        self._end_drain()
        if not self._is_stopped:
            self._streams.start_appends(self._now)
            self._exchange.flush(self._now)
        published = (
            self._routes.version,
            self._ctx.catalog.version,
            self._ctx.reading.is_reachable,
        )
        if published != self._published:
            self._published = published
            self._actions.append(messages.RoutesChanged())


def make_controller(
    settings: settings_module.ControlSettings,
    incarnation: int,
    random: random_module.Random,
) -> Controller:
    """Returns the core of a control process that was just started.

    Args:
        settings: The settings; `peer_listen` has the port in use.
        incarnation: A number that grows with each start of the process.
        random: The only source of randomness.
    """
    return Controller(settings, incarnation, random)
