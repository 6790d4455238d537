"""Proposals to a stream: one outstanding batch, repeated until it is known.

An append is a proposal; its outcome is known only when the record is read back.
After a missing acknowledgement the same bytes are appended again, and the fold
drops what had taken effect already.
"""

import collections
import dataclasses
import enum

from quetzalgauge import ids
from quetzalgauge import records

# A batch is one request to the log service. The limits keep it well below a
# second on a slow link; a larger record goes alone.
MAX_BATCH_RECORDS = 200
MAX_BATCH_BYTES = 256 * 1024


class ProposalState(enum.Enum):
    """How far a proposal has got."""

    QUEUED = "queued"  # Not sent.
    SENT = "sent"  # Sent, perhaps in the log.
    DURABLE = "durable"  # Acknowledged, not read back.


@dataclasses.dataclass(slots=True)
class Proposal:
    """A record of this writer whose outcome is not known."""

    sequence: ids.Sequence
    body: records.Body
    state: ProposalState = ProposalState.QUEUED


class Appends:
    """The proposals of one writer to one stream, in order."""

    def __init__(self, writer: ids.WriterId) -> None:
        self._writer = writer
        self._last_sequence = ids.Sequence(0)
        self._queue: collections.deque[Proposal] = collections.deque()
        self._unread: dict[ids.Sequence, Proposal] = {}
        self._batch: tuple[bytes, ...] = ()
        self._batch_end = ids.Sequence(0)
        self._is_in_flight = False
        self._is_writer_shared = False

    @property
    def writer(self) -> ids.WriterId:
        """The writer of all proposals."""
        return self._writer

    @property
    def is_in_flight(self) -> bool:
        """Whether an append was started that has not ended."""
        return self._is_in_flight

    @property
    def is_idle(self) -> bool:
        """Whether every proposal is durable or known."""
        return not (self._queue or self._batch)

    @property
    def is_writer_shared(self) -> bool:
        """Whether a record of this writer was read that was not proposed here.

        Then another process uses the same instance and incarnation, and the
        fold takes records of the two for duplicates. This process must stop.
        """
        return self._is_writer_shared

    def proposals(self) -> tuple[Proposal, ...]:
        """Returns all proposals without a known outcome, in order."""
        return (*self._unread.values(), *self._queue)

    def propose(self, body: records.Body) -> ids.Sequence:
        """Queues a record. Its sequence number identifies the proposal."""
        self._last_sequence = ids.Sequence(self._last_sequence + 1)
        self._queue.append(Proposal(self._last_sequence, body))
        return self._last_sequence

    def withdraw(self, sequence: ids.Sequence) -> bool:
        """Removes a proposal; False if it was sent and may take effect."""
        for proposal in self._queue:
            if proposal.sequence == sequence:
                self._queue.remove(proposal)
                return True
        return False

    def start(self) -> tuple[bytes, ...]:
        """Returns the batch to append now, empty if there is none.

        An unacknowledged batch comes first, unchanged. After a failure the
        caller waits before it starts again.
        """
        if self._is_in_flight:
            return ()
        if not self._batch:
            self._make_batch()
        self._is_in_flight = bool(self._batch)
        return self._batch

    def finish(self, acknowledged: bool) -> None:
        """Notes the end of an append.

        Without an acknowledgement the batch may have taken effect and stays
        outstanding until it is acknowledged or read back.
        """
        self._is_in_flight = False
        if acknowledged:
            self._end_batch()

    def read(self, envelope: records.Envelope) -> Proposal | None:
        """Notes a record that was read back.

        Returns:
            The proposal, whose outcome is now known from the fold; None for a
            record of another writer and for the repetition of a known one.
        """
        if envelope.writer != self._writer:
            return None
        if self._is_foreign(envelope):
            self._is_writer_shared = True
            return None
        proposal = self._unread.pop(envelope.sequence, None)
        self._drop_known_batch(envelope.sequence)
        return proposal

    def settle(self, sequence: ids.Sequence) -> tuple[Proposal, ...]:
        """Notes a state that was taken over, such as a snapshot.

        Args:
            sequence: The last sequence number of this writer in that state.

        Returns:
            The proposals up to it. Each took effect or was rejected; only the
            state itself shows which.
        """
        if sequence > self._last_sequence:
            self._is_writer_shared = True
        settled = tuple(
            proposal
            for proposal in self._unread.values()
            if proposal.sequence <= sequence
        )
        for proposal in settled:
            del self._unread[proposal.sequence]
        self._drop_known_batch(sequence)
        return settled

    def _make_batch(self) -> None:
        batch: list[bytes] = []
        size = 0
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            proposal = self._queue[0]
            envelope = records.Envelope(
                self._writer, proposal.sequence, proposal.body
            )
            data = records.encode(envelope)
            if batch and size + len(data) > MAX_BATCH_BYTES:
                break
            self._queue.popleft()
            batch.append(data)
            size += len(data)
            proposal.state = ProposalState.SENT
            self._unread[proposal.sequence] = proposal
            self._batch_end = proposal.sequence
        self._batch = tuple(batch)

    def _end_batch(self) -> None:
        self._batch = ()
        for proposal in self._unread.values():
            proposal.state = ProposalState.DURABLE

    def _drop_known_batch(self, sequence: ids.Sequence) -> None:
        # A batch is appended whole, so its last record stands for all.
        if self._batch and sequence >= self._batch_end:
            self._end_batch()

    def _is_foreign(self, envelope: records.Envelope) -> bool:
        if envelope.sequence > self._last_sequence:
            return True
        proposal = self._unread.get(envelope.sequence)
        if proposal is not None:
            return _differs(proposal.body, envelope.body)
        return any(
            queued.sequence == envelope.sequence for queued in self._queue
        )


def _differs(proposed: records.Body, read: records.Body) -> bool:
    # Peers pass snapshot records on without the state.
    if isinstance(proposed, records.Snapshot):
        return not isinstance(read, records.Snapshot)
    return proposed != read


def make_appends(writer: ids.WriterId) -> Appends:
    """Returns the state of a writer that has proposed nothing."""
    return Appends(writer)
