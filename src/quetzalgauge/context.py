"""What the modules of the control core share."""

from collections.abc import Callable
import dataclasses
import datetime
import hashlib
import random
from typing import Any

from quetzalgauge import catalog as catalog_module
from quetzalgauge import ids
from quetzalgauge import ledger as ledger_module
from quetzalgauge import membership as membership_module
from quetzalgauge import messages
from quetzalgauge import orders as orders_module
from quetzalgauge import records
from quetzalgauge import settings as settings_module

# Twice the longest wait of a read for a first record, with a margin. Without
# any answer for this long, silence in the stream says nothing about others.
READ_GAP = datetime.timedelta(seconds=7)

# A time before every event, for what has not happened yet.
LONG_AGO = datetime.timedelta(days=-1)


@dataclasses.dataclass(slots=True)
class Reading:
    """How well the decision stream can be read.

    Attributes:
        is_reachable: Whether the last call to the log succeeded.
        last_read: When the last read succeeded.
        since: Since when reads have succeeded without a gap.
    """

    is_reachable: bool = False
    last_read: datetime.timedelta | None = None
    since: datetime.timedelta | None = None

    def succeed(self, now: datetime.timedelta) -> None:
        """Notes a successful read."""
        gap = self.last_read is None or now - self.last_read > READ_GAP
        if gap or not self.is_reachable:
            self.since = now
        self.last_read = now
        self.is_reachable = True

    def fail(self) -> None:
        """Notes a failed read."""
        self.is_reachable = False

    def is_current(self, now: datetime.timedelta) -> bool:
        """Whether the stream has been read to its end lately."""
        return (
            self.is_reachable
            and self.last_read is not None
            and now - self.last_read <= READ_GAP
        )


@dataclasses.dataclass(slots=True)
class Context:
    """The parts of one controller.

    Attributes:
        propose: Queues a record for the decision stream, unless an equal one
            is queued or outstanding already.
        proposed: The records of own proposals whose outcome is unknown.
        act: Adds an action to the result of the present step.
        ledger: The folded decisions; replaced when a snapshot is restored.
        catalog: The folded configuration; replaced likewise.
    """

    settings: settings_module.ControlSettings
    writer: ids.WriterId
    random: random.Random
    propose: Callable[[records.Body], None]
    proposed: dict[records.Body, None]
    act: Callable[[messages.Action], None]
    ledger: ledger_module.Ledger
    catalog: catalog_module.Catalog
    membership: membership_module.Membership
    orders: orders_module.Orders
    reading: Reading = dataclasses.field(default_factory=Reading)
    is_draining: bool = False
    # Whether the configuration was read to its end once. Before that, a slot
    # that the catalog lacks may only be unknown.
    is_config_read: bool = False

    @property
    def zone(self) -> ids.AvailabilityZone:
        """The availability zone of this process."""
        return ids.AvailabilityZone(self.settings.availability_zone)

    @property
    def is_registered(self) -> bool:
        """Whether the log has the registration of this process."""
        return self.ledger.is_registered(self.writer)

    def write_log(
        self, part: str, level: int, text: str, **fields: Any
    ) -> None:
        """Adds an action that writes a log line."""
        self.act(messages.WriteLog(part, level, text, fields))

    def is_proposed(self, body: records.Body) -> bool:
        """Whether an equal record has been proposed without known outcome."""
        return body in self.proposed

    def holds(self, target: ids.TargetId) -> bool:
        """Whether this process holds the lease, as far as it knows."""
        state = self.ledger.targets.get(target)
        return state is not None and state.holder == self.writer

    def peer_address(self, instance: ids.InstanceId) -> str | None:
        """Returns the address of a control process, None if unknown."""
        registered = self.ledger.writers.get(instance)
        if registered is not None:
            return registered.peer_address
        listed = self.membership.systems.get(instance)
        return None if listed is None else listed.address


def weight(*parts: str) -> int:
    """Returns a pseudo-random number that is equal in all processes.

    Rendezvous hashing: the candidate with the largest weight is preferred, and
    a candidate that comes or goes changes only its own share.
    """
    text = "\0".join(parts).encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")
