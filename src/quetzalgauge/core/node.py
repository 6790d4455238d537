"""The core of an instance: composes gateway, holder, seat and exchange.

`step(event, now)` returns the actions that the shell carries out. `due` says
when `step(Tick(), now)` is wanted next.
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
from quetzalgauge.core import exchange
from quetzalgauge.core import fleet as fleet_module
from quetzalgauge.core import gateway
from quetzalgauge.core import health
from quetzalgauge.core import holder as holder_module
from quetzalgauge.core import notes
from quetzalgauge.core import orders
from quetzalgauge.core import placement
from quetzalgauge.core import requests
from quetzalgauge.core import seat as seat_module
from quetzalgauge.core import targets

# A report without an urgent wish is sent at most this often.
REPORT_INTERVAL = datetime.timedelta(milliseconds=150)
# With more instances than this, each reports less often, so that the messages
# which a holder takes do not grow with the instances.
REPORTING_INSTANCES = 10
# Reports and boards are repeated this often, as a sign of life.
HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
# Longest pause of the core without any event.
IDLE_INTERVAL = datetime.timedelta(milliseconds=250)

_ZERO = datetime.timedelta()

# An incoming link by its number, the link to a zone's holder by the zone.
LinkId: TypeAlias = int | ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who and where this instance is.

    Attributes:
        instance: Name of the instance.
        machine: The machine; differs from that of a replaced instance.
        availability_zone: Its zone.
        address: IP-NUMBER:PORT for links of other instances.
    """

    instance: ids.InstanceId
    machine: str
    availability_zone: ids.AvailabilityZone
    address: str


# ---- Events ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A configuration was read."""

    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class HoldersRead:
    """All records of holders were read."""

    records: tuple[seat_module.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed:
    """A link broke."""

    link: LinkId


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """The link to a zone's holder is open."""

    link: ids.AvailabilityZone


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message arrived on a link."""

    link: LinkId
    message: exchange.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsChanged:
    """The settings were read again."""

    limits: gateway.Limits


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """A planned stop has begun.

    Attributes:
        stop_at: When the last request must have ended.
    """

    stop_at: datetime.timedelta


Event: TypeAlias = (
    Tick
    | ConfigurationRead
    | HoldersRead
    | LinkClosed
    | LinkOpened
    | Received
    | LimitsChanged
    | DrainRequested
    | targets.RegisterChanged
    | requests.Event
    | orders.Event
    | seat_module.Event
)


# ---- Actions ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTo:
    """Keep a link to a zone's holder; None: to nobody."""

    zone: ids.AvailabilityZone
    address: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Send a message on a link; it is dropped if the link is closed."""

    link: LinkId
    message: exchange.Message


Action: TypeAlias = (
    LinkTo | Tell | requests.Action | orders.Action | seat_module.Action
)


class Node:
    """State of an instance. One task owns it and calls `step`."""

    def __init__(
        self,
        identity: Identity,
        limits: gateway.Limits,
        lease: datetime.timedelta,
        draw: random.Random,
        now: datetime.timedelta,
        choose: placement.Chooser = placement.choose,
    ) -> None:
        self._choose = choose
        self._identity = identity
        self._fleet = fleet_module.Fleet(
            identity.availability_zone, health.Health()
        )
        self._gateway = gateway.Gateway(
            limits, self._fleet, identity.availability_zone, draw
        )
        self._seat = seat_module.Seat(
            identity.availability_zone,
            identity.machine,
            identity.address,
            lease,
            datetime.timedelta(seconds=draw.uniform(0.0, 0.3)),
            now,
        )
        self._holder: holder_module.Holder | None = None
        self._config: configuration.Configuration | None = None
        self._records: dict[ids.AvailabilityZone, seat_module.Record] = {}
        self._links: dict[ids.AvailabilityZone, str] = {}
        self._open_links: set[ids.AvailabilityZone] = set()
        self._peers: dict[int, ids.InstanceId] = {}
        self._published: dict[int, int] = {}
        self._published_self = -1
        self._report_at = _ZERO
        self._heartbeat_at = _ZERO
        self._board_at = _ZERO
        self._is_draining = False
        self._gave_orders = False
        self._zone_orders: dict[ids.AvailabilityZone, str] = {}
        self._notes: list[notes.Note] = []

    # ---- Properties

    @property
    def is_ready(self) -> bool:
        """Whether configuration and targets are known and no stop began."""
        return (
            self._config is not None
            and self._fleet.directory.is_complete
            and not self._is_draining
        )

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._is_draining

    @property
    def has_left(self) -> bool:
        """Whether the zone was given up and the calls for that have ended."""
        return self._seat.has_left

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return self._gateway.in_progress

    @property
    def waiting_count(self) -> int:
        """Number of requests in queues."""
        return self._gateway.waiting_count

    @property
    def store_loads(self) -> int:
        """Loads from the weight store under way, 0 without the seat."""
        return self._holder.store_loads if self._holder else 0

    @property
    def models_without_copy(self) -> int:
        """Models asked for that no target has a copy of, 0 without the seat."""
        return self._holder.without_copy if self._holder else 0

    @property
    def models_without_orders(self) -> int:
        """Models with wanted adapters that nobody may order, as a holder."""
        return self._holder.without_orders if self._holder else 0

    @property
    def config(self) -> configuration.Configuration | None:
        """The configuration in force."""
        return self._config

    @property
    def due(self) -> datetime.timedelta:
        """When a Tick is wanted next."""
        times = [self._heartbeat_at, self._seat.due]
        if self._gateway.due is not None:
            times.append(self._gateway.due)
        if self._gateway.wanted.has_changed:
            times.append(self._report_at)
        if self._holder is not None:
            times.append(self._holder.due)
        return min(times)

    def take_notes(self) -> list[notes.Note]:
        """Returns the decisions and changes of belief since the last call."""
        taken = self._notes
        taken += self._gateway.take_notes()
        taken += self._seat.take_notes()
        if self._holder is not None:
            taken += self._holder.take_notes()
        self._notes = []
        return taken

    # ---- Steps

    def step(self, event: Event, now: datetime.timedelta) -> list[Action]:
        """Takes one event and returns the actions to carry out."""
        actions: list[Action]
        if isinstance(event, _SEAT_EVENTS):
            self._seat.step(event, now)
            actions = self._follow_seat(now)
        elif isinstance(event, _HOLDER_EVENTS):
            actions = self._use_order_event(event, now)
        elif isinstance(event, _REQUEST_EVENTS):
            actions = list(self._gateway.step(event, now))
        else:
            actions = self._use_news(event, now)
        return actions + self._on_time(now)

    def _use_news(self, event: Any, now: datetime.timedelta) -> list[Action]:
        actions: list[Action] = []
        match event:
            case Tick():
                actions += self._gateway.wake(now)
            case ConfigurationRead():
                actions += self._use_configuration(event.configuration, now)
            case targets.RegisterChanged():
                actions += self._use_register(event, now)
            case Received():
                actions += self._use_message(event, now)
            case LinkOpened():
                self._open_links.add(event.link)
                self._heartbeat_at = now
            case LinkClosed():
                self._close_link(event.link)
            case HoldersRead():
                actions += self._use_records(event.records, now)
            case LimitsChanged():
                self._gateway.use_limits(event.limits)
            case DrainRequested():
                actions += self._drain(event.stop_at, now)
        return actions

    def _use_order_event(
        self, event: orders.Event, now: datetime.timedelta
    ) -> list[Action]:
        if self._holder is None:
            return []
        if isinstance(event, orders.Answered):
            self._holder.use_answer(event, now)
        else:
            self._holder.use_status(event, now)
        return self._act_as_holder(now)

    def cut_off(self, now: datetime.timedelta) -> list[Action]:
        """Ends all requests when the process must end."""
        return list(self._gateway.cut_off(now))

    def _on_time(self, now: datetime.timedelta) -> list[Action]:
        """Does what time or the event before has made due."""
        actions: list[Action] = []
        own_zone = self._identity.availability_zone
        if not self._is_draining or self._seat.is_holding:
            is_heard = self._fleet.has_holder(own_zone, now)
            actions += self._seat.act(is_heard, now)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL
            self._notes += self._fleet.directory.expire(now)
            self._fleet.expire(now)
            self._note_zones(now)
            actions += self._report(now)
        self._watch_right(now)
        wishes = self._gateway.wanted
        if wishes.is_urgent or (wishes.has_changed and now >= self._report_at):
            actions += self._report(now)
        if self._holder is not None and now >= self._holder.due:
            actions += self._act_as_holder(now)
        return actions

    def _watch_right(self, now: datetime.timedelta) -> None:
        """Tells all when the right to give orders begins or ends."""
        until = self._seat.may_order_until(now)
        gives = now < until
        if gives == self._gave_orders:
            return
        self._gave_orders = gives
        # Other instances are to know it at once.
        self._board_at = now
        fields: dict[str, Any] = {
            "zone": self._identity.availability_zone,
            "token": self._seat.token,
        }
        if gives:
            fields["for_s"] = (until - now).total_seconds()
        self._notes.append(
            notes.Note("orders_begin" if gives else "orders_end", fields)
        )

    def _note_zones(self, now: datetime.timedelta) -> None:
        """Notes what this instance believes of the holders of all zones."""
        for zone in self._fleet.zones():
            at = self._fleet.orders_at(zone, now)
            state = "none" if at is None else "now" if at <= now else "later"
            if self._zone_orders.get(zone) == state:
                continue
            self._zone_orders[zone] = state
            fields: dict[str, Any] = {"zone": zone, "orders": state}
            if at is not None and at > now:
                fields["orders_in_s"] = (at - now).total_seconds()
            self._notes.append(notes.Note("zone_orders", fields))

    # ---- Configuration and targets

    def _use_configuration(
        self, config: configuration.Configuration, now: datetime.timedelta
    ) -> list[Action]:
        if self._config is not None and config.version <= self._config.version:
            return []
        self._config = config
        self._gateway.configure(config)
        self._notes.append(
            notes.Note(
                "configuration",
                {
                    "version": config.version,
                    "routes": config.route_count,
                    "services": len(config.services),
                },
            )
        )
        if self._holder is None:
            return []
        self._holder.configure(config)
        self._holder.use_directory()
        return self._act_as_holder(now)

    def _use_register(
        self, event: targets.RegisterChanged, now: datetime.timedelta
    ) -> list[Action]:
        found = self._fleet.directory.update(event, now)
        self._notes += found
        if not found:
            return []
        for note in found:
            if note.event in ("target_restarted", "target_gone"):
                self._fleet.health.forget(note.fields["target"])
        actions: list[Action] = list(self._gateway.fleet_changed(now))
        if self._holder is not None:
            self._holder.use_directory()
            actions += self._act_as_holder(now)
        return actions

    # ---- Holders and links

    def _use_records(
        self,
        records: Iterable[seat_module.Record],
        now: datetime.timedelta,
    ) -> list[Action]:
        self._records = {one.availability_zone: one for one in records}
        own = self._records.get(self._identity.availability_zone)
        self._seat.note_last(own, now)
        return self._choose_links()

    def _choose_links(self) -> list[Action]:
        actions: list[Action] = []
        for zone, record in self._records.items():
            address = record.address
            if record.released or record.machine == self._identity.machine:
                address = ""
            if self._links.get(zone, "") != address:
                self._links[zone] = address
                self._open_links.discard(zone)
                actions.append(LinkTo(zone, address or None))
        return actions

    def _close_link(self, link: LinkId) -> None:
        if isinstance(link, int):
            instance = self._peers.pop(link, None)
            self._published.pop(link, None)
            if instance is not None and self._holder is not None:
                self._holder.forget_instance(instance)
            return
        self._open_links.discard(link)
        self._fleet.lose_holder(link)

    def _use_message(
        self, event: Received, now: datetime.timedelta
    ) -> list[Action]:
        message = event.message
        if isinstance(message, exchange.Board):
            self._fleet.use_board(message, now)
            return list(self._gateway.fleet_changed(now))
        if self._holder is None or not isinstance(event.link, int):
            return []
        is_new = event.link not in self._peers
        self._peers[event.link] = message.instance
        self._holder.use_report(message, now)
        if is_new:
            self._board_at = now
        self._holder.review_soon(now)
        return []

    def _follow_seat(self, now: datetime.timedelta) -> list[Action]:
        if self._seat.is_holding == (self._holder is not None):
            return []
        if not self._seat.is_holding:
            self._drop_holder()
            return []
        self._holder = holder_module.Holder(
            self._identity.availability_zone,
            self._identity.instance,
            self._fleet,
            self._choose,
        )
        self._published_self = -1
        if self._config is not None:
            self._holder.configure(self._config)
        self._holder.use_directory()
        return self._act_as_holder(now)

    def _act_as_holder(self, now: datetime.timedelta) -> list[Action]:
        assert self._holder is not None
        actions: list[Action] = list(
            self._holder.act(
                self._seat.token, self._seat.may_order_until(now), now
            )
        )
        actions += self._publish(now)
        return actions

    def _publish(self, now: datetime.timedelta) -> list[Action]:
        """Tells other instances what has changed, or that all is well."""
        assert self._holder is not None
        holder = self._holder
        is_due = now >= self._board_at
        if is_due:
            self._board_at = now + HEARTBEAT_INTERVAL
        orders_in = self._seat.first_order_in(now)
        actions: list[Action] = []
        boards: dict[int | None, exchange.Board] = {}
        for link in self._peers:
            since = self._published.get(link)
            if since == holder.revision and not is_due:
                continue
            if since not in boards:
                boards[since] = holder.board(
                    since, self._seat.token, orders_in, now
                )
            self._published[link] = holder.revision
            actions.append(Tell(link, boards[since]))
        if self._published_self != holder.revision or is_due:
            since = self._published_self if self._published_self >= 0 else None
            self._fleet.use_board(
                holder.board(since, self._seat.token, orders_in, now), now
            )
            self._published_self = holder.revision
            actions += self._gateway.fleet_changed(now)
        return actions

    def _report(self, now: datetime.timedelta) -> list[Action]:
        """Tells all holders what this instance waits for and runs."""
        self._report_at = now + REPORT_INTERVAL * max(
            1.0, self._fleet.instances() / REPORTING_INSTANCES
        )
        wishes = self._gateway.wanted
        if self._config is not None:
            wishes.choose_zones(self._config, now)
        wishes.note_told()
        running: list[exchange.Running] = []
        actions: list[Action] = []
        for zone in self._records:
            is_own = self._holder is not None and zone == self._holder.zone
            if not is_own and zone not in self._open_links:
                continue
            report = wishes.report(self._identity.instance, zone, now)
            running += report.running
            if is_own:
                assert self._holder is not None
                self._holder.use_report(report, now)
                self._holder.review_soon(now)
            else:
                actions.append(Tell(zone, report))
        self._fleet.note_reported(running)
        return actions

    # ---- End

    def _drain(
        self, stop_at: datetime.timedelta, now: datetime.timedelta
    ) -> list[Action]:
        if self._is_draining:
            return []
        self._is_draining = True
        self._gateway.drain(stop_at, now)
        self._notes.append(notes.Note("drain", {"waiting": self.waiting_count}))
        if now < self._seat.may_order_until(now):
            # The next holder waits as long whenever it is given up.
            return []
        return self.leave()

    def leave(self) -> list[Action]:
        """Gives up the zone, at the latest before the process ends."""
        self._drop_holder()
        return list(self._seat.leave())

    def _drop_holder(self) -> None:
        self._holder = None
        self._published.clear()
        self._fleet.lose_holder(self._identity.availability_zone)

    def dump(self, now: datetime.timedelta) -> dict[str, Any]:
        """Returns the state as JSON values."""
        ages = self._fleet.directory.ages(now)
        return {
            "instance": self._identity.instance,
            "machine": self._identity.machine,
            "zone": self._identity.availability_zone,
            "ready": self.is_ready,
            "draining": self._is_draining,
            "seat": {
                "holding": self._seat.is_holding,
                "token": self._seat.token,
                "orders_for_s": (
                    self._seat.may_order_until(now) - now
                ).total_seconds(),
            },
            "gateway": self._gateway.dump(now),
            "boards": fleet_module.boards_as_json(self._fleet, now),
            "holder": self._holder.dump(now) if self._holder else None,
            "targets": {
                one.target: {
                    "service": one.service,
                    "zone": one.availability_zone,
                    "leaving": one.leaving,
                    "models": [model.name for model in one.models],
                    "age_s": ages[one.target].total_seconds(),
                    "failure_rate": self._fleet.health.failure_rate(
                        one.target, now
                    ),
                }
                for one in self._fleet.directory
            },
        }


_SEAT_EVENTS = typing.get_args(seat_module.Event)
_HOLDER_EVENTS = typing.get_args(orders.Event)
_REQUEST_EVENTS = typing.get_args(requests.Event)
