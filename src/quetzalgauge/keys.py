"""Claims of idempotency keys, and the outcomes of keyed requests."""

import collections
import dataclasses
import datetime
import enum
from typing import Any

from quetzalgauge import context
from quetzalgauge import ids
from quetzalgauge import keyclaims
from quetzalgauge import messages
from quetzalgauge import records
from quetzalgauge.gen import ttypes

# A claim that the log does not confirm within this time is given up.
CLAIM_TIMEOUT = datetime.timedelta(seconds=3)
FETCH_INTERVAL = datetime.timedelta(milliseconds=500)
# An entry process syncs several times a second. One that has been silent for
# this long has ended or is cut off, and its outcomes may never arrive. Above
# the 3 s timeout of a sync and the pause of up to 1 s after a failure.
ENTRY_SILENCE = datetime.timedelta(seconds=5)
# Restarted entry processes may have new names.
_MAX_ENTRIES = 100
# Tells a peer that an outcome will not become known (HTTP status "Gone").
_LOST_STATUS = 410
# Outcomes are kept in memory only, within a share of the 64 MB of a process.
OUTCOME_LIMIT = 5_000
OUTCOME_LIMIT_BYTES = 8 * 1024 * 1024


class _State(enum.Enum):
    PROPOSED = "proposed"
    GIVEN_UP = "given up"


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits for a decision about its key.

    Attributes:
        deadline: When it is answered at the latest. Earlier than the request's
            deadline while nobody is known to have the key.
        request_deadline: The request's own deadline.
        may_run: Whether this process claims the key for this request.
    """

    token: Any
    entry: ids.EntryId
    deadline: datetime.timedelta
    request_deadline: datetime.timedelta
    may_run: bool = False


@dataclasses.dataclass(slots=True)
class _Entry:
    """An entry process of this instance.

    Attributes:
        heard: When it called last.
        since: Claims below this offset were made before it started, or before
            it was last silent for too long.
    """

    heard: datetime.timedelta
    since: ids.Offset = ids.NO_OFFSET


class Keys:
    """The keys that entry processes of this instance ask about."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._waiters: dict[ids.KeyHash, list[_Waiter]] = {}
        self._claims: dict[ids.KeyHash, _State] = {}
        self._fetched: dict[ids.KeyHash, datetime.timedelta] = {}
        self._entries: dict[ids.EntryId, _Entry] = {}
        self._outcomes: collections.OrderedDict[ids.KeyHash, Any] = (
            collections.OrderedDict()
        )
        self._outcome_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether nobody waits and no claim is undecided."""
        return not self._waiters and not self._claims

    @property
    def has_waiters(self) -> bool:
        """Whether a request waits for a decision about its key."""
        return bool(self._waiters)

    def hear(
        self,
        entry: ids.EntryId,
        next_offset: ids.Offset,
        now: datetime.timedelta,
        is_new: bool = False,
    ) -> None:
        """Notes a call of an entry process.

        Args:
            entry: The entry process.
            next_offset: Where the decision stream has been read to.
            now: The present time.
            is_new: Whether it has just started and knows no earlier request.
        """
        known = self._entries.pop(entry, None)
        if known is None:
            known = _Entry(now)
        elif is_new or now - known.heard > ENTRY_SILENCE:
            known.since = next_offset
        known.heard = now
        self._entries[entry] = known
        if len(self._entries) > _MAX_ENTRIES:
            del self._entries[next(iter(self._entries))]

    def request(
        self, event: messages.KeyClaimRequested, now: datetime.timedelta
    ) -> None:
        """Takes a request with a key; its reply follows, now or later."""
        ctx = self._ctx
        claim = ctx.ledger.key_claim(event.key)
        is_possible = ctx.is_registered and ctx.reading.is_reachable
        if claim is None and not is_possible:
            self._reply(event.token, ttypes.KeyDecision.UNAVAILABLE)
            return
        deadline = event.deadline
        if claim is None:
            deadline = min(deadline, now + CLAIM_TIMEOUT)
        waiter = _Waiter(event.token, event.entry, deadline, event.deadline)
        self._waiters.setdefault(event.key, []).append(waiter)
        self._resolve(event.key, now)

    def end_release(
        self, body: records.KeyRelease, now: datetime.timedelta
    ) -> None:
        """Notes that an own release was folded, with or without effect."""
        for key in body.keys:
            self._claims.pop(key, None)
            self._resolve(key, now)

    def read_record(
        self, envelope: records.Envelope, now: datetime.timedelta
    ) -> None:
        """Notes a claim or release that was read, accepted or not."""
        body = envelope.body
        if isinstance(body, records.KeyClaim | records.KeyRelease):
            for key in body.keys:
                self._resolve(key, now)

    def resolve_all(self, now: datetime.timedelta) -> None:
        """Decides again after the ledger was replaced."""
        for key in list(self._waiters):
            self._resolve(key, now)

    def store(
        self, key: ids.KeyHash, outcome: Any, now: datetime.timedelta
    ) -> None:
        """Keeps the outcome of a request that an entry process ran."""
        former = self._outcomes.pop(key, None)
        if former is not None:
            self._outcome_bytes -= _size(former)
        self._outcomes[key] = outcome
        self._outcome_bytes += _size(outcome)
        while self._outcomes and (
            len(self._outcomes) > OUTCOME_LIMIT
            or self._outcome_bytes > OUTCOME_LIMIT_BYTES
        ):
            _, oldest = self._outcomes.popitem(last=False)
            self._outcome_bytes -= _size(oldest)
        self._resolve(key, now)

    def outcome(self, key: ids.KeyHash, now: datetime.timedelta) -> Any:
        """Returns the kept ttypes.KeyOutcome, or one that is not known."""
        kept = self._outcomes.get(key)
        if kept is not None:
            return kept
        claim = self._ctx.ledger.key_claim(key)
        if claim is None or claim.writer != self._ctx.writer:
            return _unknown_outcome()
        if key in self._claims or not self._is_lost(claim, now):
            return _unknown_outcome()
        return _unknown_outcome(_LOST_STATUS)

    def receive(
        self, key: ids.KeyHash, outcome: Any, now: datetime.timedelta
    ) -> None:
        """Takes a peer's answer about an outcome."""
        if outcome is None:
            return
        if outcome.known:
            self._finish(key, ttypes.KeyDecision.STORED, outcome)
            return
        claim = self._ctx.ledger.key_claim(key)
        is_foreign = claim is not None and claim.writer != self._ctx.writer
        if is_foreign and outcome.status == _LOST_STATUS:
            self._finish(key, ttypes.KeyDecision.UNKNOWN, None)

    def tick(self, now: datetime.timedelta) -> None:
        """Answers requests whose time is over, and asks peers again."""
        for key, waiters in list(self._waiters.items()):
            late = [waiter for waiter in waiters if now >= waiter.deadline]
            for waiter in late:
                waiters.remove(waiter)
                self._give_up(key, waiter)
            if not waiters:
                del self._waiters[key]
                self._fetched.pop(key, None)
            else:
                self._resolve(key, now)

    def _resolve(self, key: ids.KeyHash, now: datetime.timedelta) -> None:
        waiters = self._waiters.get(key)
        if not waiters:
            return
        claim = self._ctx.ledger.key_claim(key)
        if claim is None:
            self._claim(key, waiters)
        elif claim.writer == self._ctx.writer:
            self._resolve_own(key, waiters, claim, now)
        else:
            # A given-up claim stays noted until its release was read, since
            # the release would also undo a later claim.
            if self._claims.get(key) is _State.PROPOSED:
                del self._claims[key]
            for waiter in waiters:
                # Another try has the key and may have run, so this one waits
                # for its outcome and is never answered "not run".
                waiter.may_run = False
                waiter.deadline = waiter.request_deadline
            self._fetch(key, claim.writer, now)

    def _claim(self, key: ids.KeyHash, waiters: list[_Waiter]) -> None:
        if key in self._claims:
            return
        first = waiters[0]
        first.may_run = True
        self._claims[key] = _State.PROPOSED
        self._ctx.propose(records.KeyClaim((key,), first.entry))

    def _resolve_own(
        self,
        key: ids.KeyHash,
        waiters: list[_Waiter],
        claim: keyclaims.Claim,
        now: datetime.timedelta,
    ) -> None:
        state = self._claims.get(key)
        if state is _State.GIVEN_UP:
            return
        if state is _State.PROPOSED:
            del self._claims[key]
            for waiter in [waiter for waiter in waiters if waiter.may_run]:
                waiters.remove(waiter)
                self._reply(waiter.token, ttypes.KeyDecision.RUN)
            if not waiters:
                del self._waiters[key]
            return
        if key in self._outcomes:
            stored = self._outcomes[key]
            self._finish(key, ttypes.KeyDecision.STORED, stored)
        elif self._is_lost(claim, now):
            self._finish(key, ttypes.KeyDecision.UNKNOWN, None)

    def _is_lost(self, claim: keyclaims.Claim, now: datetime.timedelta) -> bool:
        """Whether the entry process of an own claim has ended since."""
        entry = self._entries.get(claim.entry)
        if entry is None:
            return True
        is_silent = now - entry.heard > ENTRY_SILENCE
        return is_silent or claim.offset < entry.since

    def _fetch(
        self,
        key: ids.KeyHash,
        writer: ids.WriterId,
        now: datetime.timedelta,
    ) -> None:
        ctx = self._ctx
        if not ctx.ledger.is_registered(writer):
            # The process that kept the outcome has ended.
            self._finish(key, ttypes.KeyDecision.UNKNOWN, None)
            return
        last = self._fetched.get(key)
        if last is not None and now - last < FETCH_INTERVAL:
            return
        self._fetched[key] = now
        address = ctx.ledger.writers[writer.instance].peer_address
        ctx.act(messages.FetchOutcome(address, key))

    def _give_up(self, key: ids.KeyHash, waiter: _Waiter) -> None:
        """Answers a request whose time is over.

        Once a claim is given up its request is never allowed to run, so the
        refusal "not run" stays true when the claim turns up in the log.
        """
        if waiter.may_run:
            self._claims[key] = _State.GIVEN_UP
            self._ctx.propose(records.KeyRelease((key,)))
            self._reply(waiter.token, ttypes.KeyDecision.UNAVAILABLE)
        elif self._claims.get(key) is _State.GIVEN_UP:
            self._reply(waiter.token, ttypes.KeyDecision.UNAVAILABLE)
        else:
            self._reply(waiter.token, ttypes.KeyDecision.UNKNOWN)

    def _finish(self, key: ids.KeyHash, decision: int, outcome: Any) -> None:
        self._fetched.pop(key, None)
        for waiter in self._waiters.pop(key, []):
            self._reply(waiter.token, decision, outcome)

    def _reply(self, token: Any, decision: int, outcome: Any = None) -> None:
        value = ttypes.KeyReply(
            decision=decision, outcome=outcome or _unknown_outcome()
        )
        self._ctx.act(messages.Reply(token, value))


def _unknown_outcome(status: int = 0) -> Any:
    return ttypes.KeyOutcome(known=False, status=status, headers={}, body=b"")


def _size(outcome: Any) -> int:
    headers = sum(len(k) + len(v) for k, v in outcome.headers.items())
    return len(outcome.body) + headers
