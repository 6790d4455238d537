"""The core of an instance: gateway, leader election and leader role.

The core does no I/O and reads no clock. `handle_event(event, now)` returns the
actions that the surrounding process executes; `next_wakeup_at` is the time at
which `handle_event(Tick(), now)` must be called next.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import random
import typing
from typing import Any
from typing import TypeAlias

from quetzalgauge import ids
from quetzalgauge.core import configuration
from quetzalgauge.core import election as election_module
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import gateway
from quetzalgauge.core import health
from quetzalgauge.core import log_events
from quetzalgauge.core import orders
from quetzalgauge.core import peer_messages
from quetzalgauge.core import placement
from quetzalgauge.core import prompt_quarantine
from quetzalgauge.core import prompt_trials
from quetzalgauge.core import read_progress
from quetzalgauge.core import requests
from quetzalgauge.core import targets
from quetzalgauge.core import version_records
from quetzalgauge.core import zone_leader as leader_module

# Least time between reports that carry no urgent change.
MIN_REPORT_INTERVAL = datetime.timedelta(milliseconds=150)
# With more instances than this, each reports less often, so that the message
# rate at a leader does not grow with the number of instances.
MAX_FULL_RATE_INSTANCES = 10
# Reports and zone updates are repeated at this interval as heartbeats.
HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
# Evidence against prompt parts that has not changed is repeated at this
# interval.
EVIDENCE_REPEAT_INTERVAL = datetime.timedelta(seconds=30)
# Longest time that the event loop waits without an event.
MAX_IDLE_INTERVAL = datetime.timedelta(milliseconds=250)

_ZERO = datetime.timedelta()

# Incoming links are identified by a number, links to leaders by their zone.
LinkId: TypeAlias = int | ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Names, zone and address of this instance.

    Attributes:
        instance: Name of the instance.
        machine: Name of the machine; a replacement under the same instance
            name has another one.
        availability_zone: Zone of the instance.
        address: IP-ADDRESS:PORT at which it accepts links of other instances.
    """

    instance: ids.InstanceId
    machine: str
    availability_zone: ids.AvailabilityZone
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer has expired."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A version of the configuration was read."""

    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecordsRead:
    """The leader records of all zones were read."""

    records: tuple[election_module.LeaderRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TopicRead:
    """A topic of the store was read; posted after the events of its records.

    Attributes:
        topic: The topic.
        offset: Offset after the last record that was read.
        read_interval: Least time between the starts of two reads.
        era: Era of the store.
    """

    topic: ids.TopicName
    offset: int
    read_interval: datetime.timedelta
    era: ids.StoreEra = ids.UNNAMED_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class EraBegun:
    """The store has come back from an older copy of itself."""

    era: ids.StoreEra


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed:
    """A link was closed or lost."""

    link: LinkId


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """The link to a zone's leader is established."""

    link: ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived on a link."""

    link: LinkId
    message: peer_messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsChanged:
    """The settings were reloaded."""

    limits: gateway.Limits


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """A graceful shutdown has begun.

    Attributes:
        stop_at: When the last request must have ended.
    """

    stop_at: datetime.timedelta


Event: TypeAlias = (
    Tick
    | ConfigurationRead
    | LeaderRecordsRead
    | TopicRead
    | EraBegun
    | LinkClosed
    | LinkOpened
    | MessageReceived
    | LimitsChanged
    | DrainRequested
    | targets.RegistryUpdated
    | targets.LeavingAnnounced
    | requests.Event
    | orders.Event
    | election_module.Event
    | version_records.Event
)


@dataclasses.dataclass(frozen=True, slots=True)
class SetLeaderLink:
    """Keeps a link to a zone's leader; an address of None closes it."""

    zone: ids.AvailabilityZone
    address: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Sends a message on a link; it is dropped if the link is closed."""

    link: LinkId
    message: peer_messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SetPolls:
    """Reads a topic with short or with long polls from now on."""

    topic: ids.TopicName
    are_short: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RenewRead:
    """Reads a topic anew, since the read in progress delivers nothing."""

    topic: ids.TopicName


Action: TypeAlias = (
    SetLeaderLink
    | SendMessage
    | SetPolls
    | RenewRead
    | requests.Action
    | orders.Action
    | election_module.Action
    | version_records.Action
)


class Node:
    """State of an instance; only the event loop calls its methods.

    Args:
        identity: Names, zone and address of this instance.
        limits: Limits of the gateway.
        platform_lease: Least time between orders of two machines to one
            target, as set by the platform.
        rng: Source of random numbers.
        now: The current time.
        policy: Placement policy of the leader.
        is_first_start: Whether the whole system has never run before.
    """

    def __init__(
        self,
        identity: Identity,
        limits: gateway.Limits,
        platform_lease: datetime.timedelta,
        rng: random.Random,
        now: datetime.timedelta,
        policy: placement.PlacementPolicy = placement.choose_placement,
        is_first_start: bool = False,
    ) -> None:
        self._placement_policy = policy
        self._identity = identity
        self._fleet = fleet_module.Fleet(
            identity.availability_zone, health.HealthTracker()
        )
        self._gateway = gateway.Gateway(
            limits, self._fleet, identity.availability_zone, rng
        )
        self._election = election_module.LeaderElection(
            identity.availability_zone,
            identity.machine,
            identity.address,
            platform_lease,
            datetime.timedelta(seconds=rng.uniform(0.0, 0.3)),
            now,
            is_first_start,
        )
        self._leader: leader_module.ZoneLeader | None = None
        self._config: configuration.Configuration | None = None
        self._leader_records: dict[
            ids.AvailabilityZone, election_module.LeaderRecord
        ] = {}
        self._read_progress = read_progress.ReadProgress()
        self._link_addresses: dict[ids.AvailabilityZone, str] = {}
        self._open_links: set[ids.AvailabilityZone] = set()
        self._peer_instances: dict[int, ids.InstanceId] = {}
        self._published_revisions: dict[int, int] = {}
        self._own_published_revision = -1
        # The evidence that each leader and each peer was sent last.
        self._sent_evidence: dict[LinkId, tuple[int, int]] = {}
        self._published_evidence = 0
        self._arbiter = prompt_trials.TrialArbiter()
        self._granting_zones: dict[
            ids.AvailabilityZone, datetime.timedelta
        ] = {}
        self._next_report_at = _ZERO
        self._next_heartbeat_at = _ZERO
        self._next_publish_at = _ZERO
        # When the grace period of a target ends next.
        self._next_expiry_at: datetime.timedelta | None = None
        self._is_draining = False
        self._was_active = False
        self._logged_zone_states: dict[ids.AvailabilityZone, str] = {}
        self._log_events: list[log_events.LogEvent] = []

    @property
    def is_ready(self) -> bool:
        """Whether configuration and targets are known and no drain began."""
        return (
            self._config is not None
            and self._fleet.directory.is_complete
            and not self._is_draining
        )

    @property
    def is_draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._is_draining

    @property
    def has_resigned(self) -> bool:
        """Whether leadership was given up and the calls for that have ended."""
        return self._election.has_resigned

    @property
    def in_progress_count(self) -> int:
        """Number of requests that have not ended."""
        return self._gateway.in_progress_count

    @property
    def queued_count(self) -> int:
        """Number of requests in queues."""
        return self._gateway.queued_count

    @property
    def store_loads(self) -> int:
        """Number of active loads from the weight store, 0 unless leader."""
        return self._leader.store_loads if self._leader else 0

    @property
    def models_without_copy(self) -> int:
        """Number of recently requested models that only the store has.

        0 unless this instance is a leader.
        """
        return self._leader.models_without_copy if self._leader else 0

    @property
    def models_without_orders(self) -> int:
        """Number of models with requested adapters that no leader may order.

        0 unless this instance is a leader.
        """
        return self._leader.models_without_orders if self._leader else 0

    def count_prompt_parts(self, now: datetime.timedelta) -> tuple[int, int]:
        """Returns the numbers of suspected and quarantined prompt parts."""
        return self._gateway.quarantine.count_parts(now)

    def get_read_ages(
        self, now: datetime.timedelta
    ) -> dict[ids.TopicName, datetime.timedelta]:
        """Returns how long ago each topic was known to have nothing new."""
        return self._read_progress.get_ages(now)

    @property
    def config(self) -> configuration.Configuration | None:
        """The active configuration, None if none has been read yet."""
        return self._config

    @property
    def next_wakeup_at(self) -> datetime.timedelta:
        """When the next Tick must be handled."""
        wakeups = [self._next_heartbeat_at, self._election.next_wakeup_at]
        if self._gateway.next_wakeup_at is not None:
            wakeups.append(self._gateway.next_wakeup_at)
        if self._gateway.demand_reporter.has_changed:
            wakeups.append(self._next_report_at)
        versions_at = self._gateway.stream_versions.next_wakeup_at
        if versions_at is not None:
            wakeups.append(versions_at)
        if self._leader is not None:
            wakeups.append(self._leader.next_wakeup_at)
        if self._next_expiry_at is not None:
            wakeups.append(self._next_expiry_at)
        return min(wakeups)

    def take_log_events(self) -> list[log_events.LogEvent]:
        """Returns the log events since the last call.

        They record decisions, and changes in what the instance knows.
        """
        events = self._log_events
        events += self._gateway.take_log_events()
        events += self._election.take_log_events()
        if self._leader is not None:
            events += self._leader.take_log_events()
        self._log_events = []
        return events

    def handle_event(
        self, event: Event, now: datetime.timedelta
    ) -> list[Action]:
        """Handles one event and returns the actions to execute."""
        actions: list[Action]
        if isinstance(event, _ELECTION_EVENTS):
            self._election.handle_event(event, now)
            actions = self._sync_leader_role(now)
        elif isinstance(event, _ORDER_EVENTS):
            actions = self._handle_order_event(event, now)
        elif isinstance(event, _REQUEST_EVENTS):
            actions = list(self._gateway.handle_event(event, now))
        elif isinstance(event, EraBegun):
            self._election.observe_era(event.era, now)
            self._gateway.stream_versions.handle_restoration(now)
            actions = []
        elif isinstance(event, _VERSION_EVENTS):
            actions = list(self._gateway.handle_version_event(event, now))
        else:
            actions = self._handle_instance_event(event, now)
        return actions + self._run_due_work(now)

    def _handle_instance_event(
        self, event: Any, now: datetime.timedelta
    ) -> list[Action]:
        actions: list[Action] = []
        match event:
            case Tick():
                actions += self._gateway.handle_timers(now)
            case ConfigurationRead():
                actions += self._apply_configuration(event.configuration, now)
            case targets.RegistryUpdated():
                changes = self._fleet.directory.update(event, now)
                actions += self._apply_target_changes(changes, now)
            case targets.LeavingAnnounced():
                changes = self._fleet.directory.record_leaving(event)
                actions += self._apply_target_changes(changes, now)
            case MessageReceived():
                actions += self._handle_message(event, now)
            case LinkOpened():
                self._open_links.add(event.link)
                self._next_heartbeat_at = now
            case LinkClosed():
                self._handle_link_closed(event.link)
            case LeaderRecordsRead():
                actions += self._apply_leader_records(event.records, now)
            case TopicRead():
                actions += self._record_read(event, now)
            case LimitsChanged():
                self._gateway.set_limits(event.limits)
            case DrainRequested():
                actions += self._drain(event.stop_at, now)
        return actions

    def _handle_order_event(
        self, event: orders.Event, now: datetime.timedelta
    ) -> list[Action]:
        if self._leader is None:
            return []
        if isinstance(event, orders.OrderResult):
            self._leader.apply_order_result(event, now)
            return self._run_leader(now)
        status = event.status
        changes: list[log_events.LogEvent] = []
        if status is not None and status.incarnation is not None:
            changes += self._fleet.directory.record_restart(
                event.target,
                status.incarnation,
                status.models,
                status.copies,
                now,
            )
        self._leader.apply_status(event, now)
        if status is not None and status.is_leaving:
            changes += self._fleet.directory.record_leaving(
                targets.LeavingAnnounced(event.target, event.incarnation)
            )
        return self._apply_target_changes(changes, now) or self._run_leader(now)

    def abort_requests(self, now: datetime.timedelta) -> list[Action]:
        """Aborts all requests because the process must end."""
        return list(self._gateway.abort_requests(now))

    def _run_due_work(self, now: datetime.timedelta) -> list[Action]:
        """Does the work that is due now or that the last event requires."""
        actions: list[Action] = []
        own_zone = self._identity.availability_zone
        if not self._is_draining or self._election.is_leader:
            is_leader_alive = self._fleet.has_leader(own_zone, now)
            actions += self._election.poll_actions(is_leader_alive, now)
        if self._next_expiry_at is not None and now >= self._next_expiry_at:
            expired = self._fleet.directory.expire(now)
            actions += self._apply_target_changes(expired, now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_INTERVAL
            self._fleet.expire(now)
            self._gateway.stream_versions.set_instance_count(
                self._fleet.count_instances()
            )
            self._update_registry_age(now)
            actions += self._gateway.expire_evidence(now)
            self._log_zone_states(now)
            actions += self._send_reports(now)
        self._update_active_state(now)
        reporter = self._gateway.demand_reporter
        if (
            reporter.is_urgent
            or self._gateway.has_urgent_trials
            or (reporter.has_changed and now >= self._next_report_at)
        ):
            actions += self._send_reports(now)
        if self._leader is not None and now >= self._leader.next_wakeup_at:
            actions += self._run_leader(now)
        actions += [
            SetPolls(topic, are_short)
            for topic, are_short in self._read_progress.take_poll_changes(now)
        ]
        actions += self._gateway.stream_versions.take_actions(now)
        for topic in self._read_progress.take_overdue(now):
            self._log_events.append(
                log_events.LogEvent("read_behind", {"topic": topic})
            )
            actions.append(RenewRead(topic))
        return actions

    def _record_read(
        self, event: TopicRead, now: datetime.timedelta
    ) -> list[Action]:
        """Records a read; a leader tells of news that is not read often."""
        has_news = self._read_progress.record_read(
            event.topic, event.offset, event.read_interval, now, event.era
        )
        self._update_registry_age(now)
        if self._leader is None or not has_news or event.read_interval:
            return []
        self._next_publish_at = now
        return self._run_leader(now)

    def _update_registry_age(self, now: datetime.timedelta) -> None:
        ages = self._read_progress.get_ages(now).values()
        self._gateway.stream_versions.set_registry_age(
            max(ages, default=now), now
        )

    def _update_active_state(self, now: datetime.timedelta) -> None:
        """Logs and publishes when this leader becomes active or inactive."""
        active_until = self._election.active_until(now)
        is_active = now < active_until
        if is_active == self._was_active:
            return
        self._was_active = is_active
        # Makes a publication due, so that other instances learn it at once.
        self._next_publish_at = now
        fields: dict[str, Any] = {
            "zone": self._identity.availability_zone,
            "token": self._election.fencing_token,
        }
        if is_active:
            fields["for_s"] = (active_until - now).total_seconds()
        self._log_events.append(
            log_events.LogEvent(
                "orders_begin" if is_active else "orders_end", fields
            )
        )

    def _log_zone_states(self, now: datetime.timedelta) -> None:
        """Logs changes in whether each zone's leader may give orders."""
        for zone in self._fleet.list_zones():
            active_at = self._fleet.get_leader_active_from(zone, now)
            state = (
                "none"
                if active_at is None
                else "now"
                if active_at <= now
                else "later"
            )
            if self._logged_zone_states.get(zone) == state:
                continue
            self._logged_zone_states[zone] = state
            fields: dict[str, Any] = {"zone": zone, "orders": state}
            if active_at is not None and active_at > now:
                fields["orders_in_s"] = (active_at - now).total_seconds()
            self._log_events.append(log_events.LogEvent("zone_orders", fields))

    def _apply_configuration(
        self, config: configuration.Configuration, now: datetime.timedelta
    ) -> list[Action]:
        if self._config is not None and config.version <= self._config.version:
            return []
        if self._config is not None:
            config = config.retain_models(self._config)
        self._config = config
        actions: list[Action] = list(self._gateway.configure(config, now))
        self._log_events.append(
            log_events.LogEvent(
                "configuration",
                {
                    "version": config.version,
                    "routes": config.route_count,
                    "services": len(config.services),
                },
            )
        )
        if self._leader is None:
            return actions
        self._leader.configure(config)
        self._leader.sync_targets(now)
        return actions + self._run_leader(now)

    def _apply_target_changes(
        self, changes: list[log_events.LogEvent], now: datetime.timedelta
    ) -> list[Action]:
        self._log_events += changes
        if not changes:
            return []
        self._next_expiry_at = self._fleet.directory.next_expiry_at
        for change in changes:
            if change.name in ("target_restarted", "target_gone"):
                self._fleet.health.forget(change.fields["target"])
            # The first one may not tell the version yet.
            if change.name in ("target_restarted", "target_changed"):
                self._gateway.record_restart(change.fields["target"], now)
        actions: list[Action] = list(self._gateway.handle_fleet_change(now))
        if self._leader is not None:
            self._leader.sync_targets(now)
            actions += self._run_leader(now)
        return actions

    def _apply_leader_records(
        self,
        records: Iterable[election_module.LeaderRecord],
        now: datetime.timedelta,
    ) -> list[Action]:
        self._leader_records = {
            record.availability_zone: record for record in records
        }
        own_record = self._leader_records.get(self._identity.availability_zone)
        self._election.observe_record(own_record, now)
        return self._update_links()

    def _update_links(self) -> list[Action]:
        actions: list[Action] = []
        for zone, record in self._leader_records.items():
            address = record.address
            if record.released or record.machine == self._identity.machine:
                address = ""
            if self._link_addresses.get(zone, "") != address:
                self._link_addresses[zone] = address
                self._open_links.discard(zone)
                actions.append(SetLeaderLink(zone, address or None))
        return actions

    def _handle_link_closed(self, link: LinkId) -> None:
        self._sent_evidence.pop(link, None)
        if isinstance(link, int):
            instance = self._peer_instances.pop(link, None)
            self._published_revisions.pop(link, None)
            if instance is not None and self._leader is not None:
                self._leader.remove_instance(instance)
                self._arbiter.remove_instance(instance)
            return
        self._open_links.discard(link)
        self._fleet.record_leader_lost(link)

    def _handle_message(
        self, event: MessageReceived, now: datetime.timedelta
    ) -> list[Action]:
        message = event.message
        self._read_progress.record_peer(dict(message.offsets), now, message.era)
        if isinstance(message, peer_messages.ZoneUpdate):
            # Without this order, two leaders could rely on each other.
            if (
                self._leader is None
                or message.availability_zone < self._leader.zone
            ):
                self._read_progress.record_confirmation(
                    dict(message.offsets), now, message.era
                )
            self._fleet.apply_zone_update(message, now)
            return [
                *self._apply_trial_state(message, now),
                *self._gateway.handle_fleet_change(now),
            ]
        if self._leader is None or not isinstance(event.link, int):
            return []
        is_new_link = event.link not in self._peer_instances
        self._peer_instances[event.link] = message.instance
        self._leader.apply_report(message, now)
        if is_new_link:
            self._next_publish_at = now
        self._leader.schedule_reconcile(now)
        return self._apply_trial_report(message, now)

    def _apply_trial_state(
        self, update: peer_messages.ZoneUpdate, now: datetime.timedelta
    ) -> list[Action]:
        """Applies the evidence and the grants of a zone update."""
        actions: list[Action] = []
        if update.evidence is not None:
            actions += self._gateway.handle_evidence(update.evidence, now)
        if update.grants is None:
            return actions
        zone = update.availability_zone
        self._granting_zones[zone] = now
        if zone == self._find_arbiter_zone(now):
            self._gateway.record_arbiter(now, update.grants)
        actions += self._apply_own_grants(update.grants, now)
        return actions

    def _apply_own_grants(
        self,
        grants: Iterable[prompt_trials.TrialGrant],
        now: datetime.timedelta,
    ) -> list[Action]:
        return list(
            self._gateway.apply_grants(
                [
                    grant
                    for grant in grants
                    if grant.instance == self._identity.instance
                ],
                now,
            )
        )

    def _apply_trial_report(
        self, report: peer_messages.Report, now: datetime.timedelta
    ) -> list[Action]:
        """Applies the evidence and the trial wishes of an instance."""
        actions: list[Action] = []
        # The outcome of a trial has to be known before its grant ends.
        if report.evidence is not None:
            actions += self._gateway.handle_evidence(report.evidence, now)
        self._arbiter.apply_wishes(report.instance, report.trial_wishes, now)
        return actions

    def _find_arbiter_zone(
        self, now: datetime.timedelta
    ) -> ids.AvailabilityZone | None:
        """Returns the zone whose leader grants trials, None if unknown."""
        zones = [
            zone
            for zone, heard_at in self._granting_zones.items()
            if now - heard_at < fleet_module.LEADER_TIMEOUT
            and self._fleet.has_leader(zone, now)
        ]
        if self._leader is not None:
            zones.append(self._leader.zone)
        return min(zones, default=None)

    def _assign_trials(
        self, now: datetime.timedelta
    ) -> tuple[prompt_trials.TrialGrant, ...]:
        """Grants trials if this leader is the arbiter; returns the grants."""
        assert self._leader is not None
        if self._find_arbiter_zone(now) != self._leader.zone:
            return ()
        if self._arbiter.assign(
            lambda wish: self._is_suspected(wish, now), now
        ):
            self._next_publish_at = now
        grants = self._arbiter.list_grants(now)
        self._gateway.record_arbiter(now, grants)
        return grants

    def _is_suspected(
        self, wish: prompt_trials.TrialWish, now: datetime.timedelta
    ) -> bool:
        assessment = self._gateway.quarantine.assess(
            tuple(wish.parts), wish.model, now
        )
        return (
            assessment.status is prompt_quarantine.Status.SUSPECT
            and assessment.parts == wish.parts
        )

    def _mark_evidence_sent(
        self, link: LinkId, now: datetime.timedelta
    ) -> int | None:
        """Records that a link is sent the evidence up to now.

        Returns:
            The revision from which on evidence must be sent, 0 for all of it;
            None if there is nothing to send.
        """
        revision = self._gateway.quarantine.revision
        interval = now // EVIDENCE_REPEAT_INTERVAL
        sent = self._sent_evidence.get(link)
        if not revision or sent == (revision, interval):
            return None
        self._sent_evidence[link] = (revision, interval)
        if sent is None or sent[1] != interval:
            return 0
        return sent[0] + 1

    def _sync_leader_role(self, now: datetime.timedelta) -> list[Action]:
        if self._election.is_leader == (self._leader is not None):
            return []
        if not self._election.is_leader:
            self._stop_leading()
            return []
        self._leader = leader_module.ZoneLeader(
            self._identity.availability_zone,
            self._identity.instance,
            self._fleet,
            self._placement_policy,
        )
        self._own_published_revision = -1
        if self._config is not None:
            self._leader.configure(self._config)
        self._leader.sync_targets(now)
        return self._run_leader(now)

    def _run_leader(self, now: datetime.timedelta) -> list[Action]:
        assert self._leader is not None
        actions: list[Action] = list(
            self._leader.reconcile(
                self._election.fencing_token,
                self._election.active_until(now),
                now,
            )
        )
        actions += self._publish(now)
        return actions

    def _publish(self, now: datetime.timedelta) -> list[Action]:
        """Sends zone updates with changes, or as heartbeats, to all peers."""
        assert self._leader is not None
        leader = self._leader
        grants = self._assign_trials(now)
        evidence_revision = self._gateway.quarantine.revision
        if evidence_revision != self._published_evidence:
            self._published_evidence = evidence_revision
            self._next_publish_at = now
        is_due = now >= self._next_publish_at
        if is_due:
            self._next_publish_at = now + HEARTBEAT_INTERVAL
        time_until_active = self._election.time_until_active(now)
        actions: list[Action] = []
        # Equal updates are one object, so that they are encoded once.
        updates: dict[
            tuple[int | None, int | None], peer_messages.ZoneUpdate
        ] = {}
        for link in self._peer_instances:
            since_revision = self._published_revisions.get(link)
            if since_revision == leader.revision and not is_due:
                continue
            evidence_since = self._mark_evidence_sent(link, now)
            key = (since_revision, evidence_since)
            if key not in updates:
                updates[key] = dataclasses.replace(
                    leader.make_update(
                        since_revision,
                        self._election.fencing_token,
                        time_until_active,
                        now,
                    ),
                    offsets=self._read_progress.list_current_offsets(
                        self._election.token_era, now
                    ),
                    evidence=(
                        None
                        if evidence_since is None
                        else self._gateway.quarantine.export(
                            now, evidence_since
                        )
                    ),
                    grants=grants,
                    era=self._election.token_era,
                )
            self._published_revisions[link] = leader.revision
            actions.append(SendMessage(link, updates[key]))
        if self._own_published_revision != leader.revision or is_due:
            since_revision = (
                self._own_published_revision
                if self._own_published_revision >= 0
                else None
            )
            self._fleet.apply_zone_update(
                dataclasses.replace(
                    leader.make_update(
                        since_revision,
                        self._election.fencing_token,
                        time_until_active,
                        now,
                    ),
                    era=self._election.token_era,
                ),
                now,
            )
            self._own_published_revision = leader.revision
            actions += self._gateway.handle_fleet_change(now)
        actions += self._apply_own_grants(grants, now)
        return actions

    def _send_reports(self, now: datetime.timedelta) -> list[Action]:
        """Reports queued and running requests to the leaders of all zones."""
        self._next_report_at = now + MIN_REPORT_INTERVAL * max(
            1.0, self._fleet.count_instances() / MAX_FULL_RATE_INSTANCES
        )
        reporter = self._gateway.demand_reporter
        if self._config is not None:
            reporter.choose_zones(self._config, now)
        reporter.mark_reported()
        trial_wishes = self._gateway.list_trial_wishes(now)
        self._gateway.mark_trials_reported()
        running: list[peer_messages.RunningCount] = []
        actions: list[Action] = []
        for zone in self._leader_records:
            is_own = self._leader is not None and zone == self._leader.zone
            if not is_own and zone not in self._open_links:
                continue
            evidence = None
            if not is_own:
                since = self._mark_evidence_sent(zone, now)
                if since is not None:
                    # Leaders are told of other changes by those who made them.
                    evidence = self._gateway.quarantine.export(
                        now, since, own_only=since > 0
                    )
            report = dataclasses.replace(
                reporter.build_report(self._identity.instance, zone, now),
                offsets=self._read_progress.offsets,
                era=self._read_progress.era,
                evidence=evidence,
                trial_wishes=trial_wishes,
            )
            running += report.running
            if is_own:
                assert self._leader is not None
                self._leader.apply_report(report, now)
                self._leader.schedule_reconcile(now)
                actions += self._apply_trial_report(report, now)
            else:
                actions.append(SendMessage(zone, report))
        self._fleet.set_reported_requests(running)
        return actions

    def _drain(
        self, stop_at: datetime.timedelta, now: datetime.timedelta
    ) -> list[Action]:
        if self._is_draining:
            return []
        self._is_draining = True
        self._gateway.drain(stop_at, now)
        self._log_events.append(
            log_events.LogEvent("drain", {"waiting": self.queued_count})
        )
        if now < self._election.active_until(now):
            # The successor's takeover delay does not depend on when leadership
            # is given up, so an active leader keeps it while it drains.
            return []
        return self.resign()

    def resign(self) -> list[Action]:
        """Gives up leadership of the zone; called before the process ends."""
        self._stop_leading()
        return list(self._election.resign())

    def _stop_leading(self) -> None:
        self._leader = None
        self._arbiter = prompt_trials.TrialArbiter()
        self._published_revisions.clear()
        self._fleet.record_leader_lost(self._identity.availability_zone)

    def dump(self, now: datetime.timedelta) -> dict[str, Any]:
        """Returns the state as JSON values."""
        ages = self._fleet.directory.get_entry_ages(now)
        return {
            "instance": self._identity.instance,
            "machine": self._identity.machine,
            "zone": self._identity.availability_zone,
            "ready": self.is_ready,
            "draining": self._is_draining,
            "seat": {
                "holding": self._election.is_leader,
                "token": self._election.fencing_token,
                "orders_for_s": (
                    self._election.active_until(now) - now
                ).total_seconds(),
            },
            "topics": {
                name: {"age_s": age.total_seconds()}
                for name, age in self.get_read_ages(now).items()
            },
            "gateway": self._gateway.dump(now),
            "quarantine": self._gateway.quarantine.dump(now),
            "boards": fleet_module.zones_to_json(self._fleet, now),
            "holder": self._leader.dump(now) if self._leader else None,
            "targets": {
                target.target: {
                    "service": target.service,
                    "zone": target.availability_zone,
                    "leaving": target.is_draining,
                    "models": [model.name for model in target.models],
                    "age_s": ages[target.target].total_seconds(),
                    "failure_rate": self._fleet.health.failure_rate(
                        target.target, now
                    ),
                }
                for target in self._fleet.directory
            },
        }


_ELECTION_EVENTS = typing.get_args(election_module.Event)
_ORDER_EVENTS = typing.get_args(orders.Event)
_REQUEST_EVENTS = typing.get_args(requests.Event)
_VERSION_EVENTS = typing.get_args(version_records.Event)
