"""Tickets that operators submit through this process."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Any

from quetzalgauge import catalog as catalog_module
from quetzalgauge import context
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge import tickets

# An operator's call waits this long for the log, then gets `unknown`.
ANSWER_TIMEOUT = datetime.timedelta(seconds=5)
_MIB = 1024 * 1024
# Verdicts that the folded configuration proves without the log.
_FINAL = (
    messages.TicketVerdict.CONFLICT,
    messages.TicketVerdict.INVALID,
    messages.TicketVerdict.REPEATED,
    messages.TicketVerdict.SUPERSEDED,
)


@dataclasses.dataclass(slots=True)
class _Waiter:
    token: Any
    ticket: records.Ticket
    until: datetime.timedelta


class Submissions:
    """Checks tickets, proposes them and answers with the folded verdict."""

    def __init__(
        self,
        ctx: context.Context,
        propose: Callable[[records.Ticket], None],
    ) -> None:
        self._ctx = ctx
        self._propose = propose
        self._waiters: list[_Waiter] = []

    def submit(
        self, event: messages.TicketSubmitted, now: datetime.timedelta
    ) -> None:
        """Takes a ticket; the reply follows, now or later."""
        ticket = event.ticket
        status = catalog_module.check(self._ctx.catalog, ticket)
        if status.verdict in _FINAL:
            self._ctx.act(messages.Reply(event.token, status))
            return
        findings = self._shortages(ticket)
        if findings:
            verdict = messages.TicketVerdict.OVER_CAPACITY
            self._ctx.act(
                messages.Reply(
                    event.token,
                    messages.TicketStatus(
                        ticket.number, verdict, findings=findings
                    ),
                )
            )
            return
        until = now + ANSWER_TIMEOUT
        self._waiters.append(_Waiter(event.token, ticket, until))
        self._propose(ticket)

    def read_ticket(
        self,
        writer: ids.WriterId,
        ticket: records.Ticket,
        status: messages.TicketStatus,
    ) -> None:
        """Answers the submitters of a ticket that was folded."""
        is_own = writer == self._ctx.writer
        for waiter in list(self._waiters):
            if is_own and waiter.ticket == ticket:
                self._answer(waiter, status)

    def restore(self) -> None:
        """Answers from a restored configuration what it decides."""
        for waiter in list(self._waiters):
            status = catalog_module.check(self._ctx.catalog, waiter.ticket)
            if status.verdict is messages.TicketVerdict.REPEATED:
                accepted = messages.TicketVerdict.ACCEPTED
                status = dataclasses.replace(status, verdict=accepted)
            if status.verdict is not messages.TicketVerdict.ACCEPTED or (
                status.offset != ids.NO_OFFSET
            ):
                self._answer(waiter, status)

    def tick(self, now: datetime.timedelta) -> None:
        """Gives up waiting for the log after a while."""
        for waiter in list(self._waiters):
            if now >= waiter.until:
                verdict = messages.TicketVerdict.UNKNOWN
                status = messages.TicketStatus(waiter.ticket.number, verdict)
                self._answer(waiter, status)

    def _answer(self, waiter: _Waiter, status: messages.TicketStatus) -> None:
        self._waiters.remove(waiter)
        self._ctx.act(messages.Reply(waiter.token, status))

    def _shortages(self, ticket: records.Ticket) -> tuple[str, ...]:
        """Returns the zones whose targets cannot hold the minimum replicas."""
        try:
            content = tickets.decode(ticket)
        except exceptions.DecodeError:
            return ()
        wanted = self._least_bytes(content)
        memory = self._registered_bytes()
        return tuple(
            f"zone {zone}: the minimum replicas need {wanted[zone]} bytes,"
            f" the registered targets have {memory[zone]}"
            for zone in sorted(memory)
            if wanted.get(zone, 0) > memory[zone]
        )

    def _least_bytes(self, content: tickets.Content) -> dict[str, int]:
        wanted: dict[str, int] = {}
        for name, model in self._ctx.catalog.models():
            if name in content.models:
                continue
            version = model.versions[model.default_version]
            size = version.memory_bytes + version.adapter_memory_bytes
            for zone, limits in model.availability_zones.items():
                wanted[zone] = wanted.get(zone, 0) + size * limits.min_replicas
        for part in content.models.values():
            if part is None:
                continue
            chosen = part.versions[part.default_version]
            size = (chosen.memory_mib + chosen.adapter_memory_mib) * _MIB
            for place, least in part.availability_zones.items():
                wanted[place] = wanted.get(place, 0) + size * least.min_replicas
        return wanted

    def _registered_bytes(self) -> dict[str, int]:
        """Returns the memory by zone, for zones with a control process.

        Zones of other regions are not known here and are not checked.
        """
        ledger = self._ctx.ledger
        memory: dict[str, int] = {
            writer.availability_zone: 0 for writer in ledger.writers.values()
        }
        for state in ledger.targets.values():
            if state.incarnation is not None:
                zone = state.availability_zone
                memory[zone] = (
                    memory.get(zone, 0) + state.accelerator_memory_bytes
                )
        return memory
