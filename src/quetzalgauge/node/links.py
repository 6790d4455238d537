"""Connections between instances; a single task owns all of them.

A frame is a 4-byte big-endian length followed by an encoded message. A
connection that receives nothing for IDLE_TIMEOUT_SECONDS is closed, since a
broken network path may leave it open without delivering anything.
"""

import collections
from collections.abc import Callable
import contextlib
import dataclasses
import os
import queue
import selectors
import socket
import struct

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import logs
from quetzalgauge.core import node
from quetzalgauge.core import peer_messages
from quetzalgauge.node import codec

# Heartbeats arrive twice a second; a connection is closed after three missing
# ones.
IDLE_TIMEOUT_SECONDS = 1.6
CONNECT_TIMEOUT_SECONDS = 0.6
RECONNECT_DELAY_SECONDS = 0.25
CHECK_INTERVAL_SECONDS = 0.2
# The connection of a peer that does not read is closed at this queue size.
MAX_SEND_QUEUE_BYTES = 1_048_576
MAX_FRAME_BYTES = 1_048_576
BACKLOG = 128
RECEIVE_BYTES = 65_536

_FRAME_HEADER = struct.Struct(">I")
_log = logs.get_logger("links")


class _Connection:
    """A connection to the leader of a zone, or one from another instance."""

    def __init__(self, sock: socket.socket, link: node.LinkId) -> None:
        self.sock = sock
        self.link = link
        self.receive_buffer = bytearray()
        self.send_queue: collections.deque[bytes] = collections.deque()
        self.send_queue_bytes = 0
        self.is_write_pending = False
        self.is_open = False
        self.is_closed = False
        self.last_received_at = 0.0

    def fileno(self) -> int:
        return self.sock.fileno()


@dataclasses.dataclass(slots=True)
class _OutgoingLink:
    address: str
    connection: _Connection | None = None
    next_attempt_at: float = 0.0


class Links:
    """Sends and receives messages on the links of this instance.

    Args:
        address: Host and port to listen on.
        post_event: Called with each event, in the thread of the task.
        now: The clock.
        count_invalid: Called with each message that cannot be decoded.
    """

    def __init__(
        self,
        address: tuple[str, int],
        post_event: Callable[[node.Event], None],
        now: clock.Clock,
        count_invalid: Callable[[], None] = lambda: None,
    ) -> None:
        self._post_event = post_event
        self._count_invalid = count_invalid
        self._now = now
        self._queue: queue.SimpleQueue[
            node.SetLeaderLink | node.SendMessage
        ] = queue.SimpleQueue()
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._connections: dict[node.LinkId, _Connection] = {}
        self._outgoing_links: dict[ids.AvailabilityZone, _OutgoingLink] = {}
        self._next_link_number = 1
        self._is_wakeup_pending = False
        self._last_message: peer_messages.Message | None = None
        self._last_frame = b""

    def put(self, action: node.SetLeaderLink | node.SendMessage) -> None:
        """Queues an action. Thread-safe."""
        self._queue.put(action)
        if self._is_wakeup_pending:
            return
        self._is_wakeup_pending = True
        # If the pipe is full, the task will wake up anyway.
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake_write, b"\0")

    def run(self) -> None:
        """Serves the links until the process ends."""
        next_check = 0.0
        while True:
            now = self._now_seconds()
            for key, events in self._selector.select(next_check - now):
                if key.fileobj is self._listener:
                    self._accept()
                elif key.data is None:
                    self._execute_queued_actions()
                else:
                    self._handle_events(key.data, events)
            # This task may not have run for a while before `now`, so what had
            # arrived until then has been read first.
            if now >= next_check:
                next_check = now + CHECK_INTERVAL_SECONDS
                self._check_connections(now)

    def _now_seconds(self) -> float:
        return self._now().total_seconds()

    def _execute_queued_actions(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.read(self._wake_read, 4096)
        # Cleared before the queue is read, so that actions that are queued
        # from here on wake the task again.
        self._is_wakeup_pending = False
        while True:
            try:
                action = self._queue.get_nowait()
            except queue.Empty:
                return
            if isinstance(action, node.SendMessage):
                self._send(action)
            else:
                self._set_leader_link(action)

    def _set_leader_link(self, action: node.SetLeaderLink) -> None:
        outgoing = self._outgoing_links.pop(action.zone, None)
        if outgoing is not None and outgoing.connection is not None:
            self._close(outgoing.connection, "no longer needed", False)
        if action.address is not None:
            self._outgoing_links[action.zone] = _OutgoingLink(action.address)
            self._connect(action.zone)

    def _send(self, action: node.SendMessage) -> None:
        connection = self._connections.get(action.link)
        if connection is None or not connection.is_open:
            return
        try:
            frame = self._encode_frame(action.message)
        except Exception:
            _log.exception("message on link %s not encoded", action.link)
            return
        connection.send_queue.append(frame)
        connection.send_queue_bytes += len(frame)
        if connection.send_queue_bytes > MAX_SEND_QUEUE_BYTES:
            self._close(connection, "send queue is full", True)
            return
        self._flush(connection)

    def _encode_frame(self, message: peer_messages.Message) -> bytes:
        # A zone update is sent to every instance, one link after the other, so
        # the last frame is cached.
        if message is not self._last_message:
            data = codec.encode(message)
            self._last_frame = _FRAME_HEADER.pack(len(data)) + data
            self._last_message = message
        return self._last_frame

    def _connect(self, zone: ids.AvailabilityZone) -> None:
        outgoing = self._outgoing_links[zone]
        outgoing.next_attempt_at = self._now_seconds() + RECONNECT_DELAY_SECONDS
        host, _, port = outgoing.address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        # A non-blocking connect raises BlockingIOError while it is in progress.
        with contextlib.suppress(BlockingIOError):
            try:
                sock.connect((host, int(port)))
            except BlockingIOError:
                raise
            except OSError:
                sock.close()
                return
        connection = _Connection(sock, zone)
        connection.last_received_at = self._now_seconds()
        outgoing.connection = connection
        self._selector.register(sock, selectors.EVENT_WRITE, connection)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(sock, self._next_link_number)
        self._next_link_number += 1
        connection.is_open = True
        connection.last_received_at = self._now_seconds()
        self._connections[connection.link] = connection
        self._selector.register(sock, selectors.EVENT_READ, connection)

    def _finish_connect(self, connection: _Connection) -> None:
        error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._close(connection, os.strerror(error), False)
            return
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.is_open = True
        connection.last_received_at = self._now_seconds()
        self._connections[connection.link] = connection
        self._selector.modify(connection.sock, selectors.EVENT_READ, connection)
        assert not isinstance(connection.link, int)
        self._post_event(node.LinkOpened(connection.link))

    def _handle_events(self, connection: _Connection, events: int) -> None:
        if connection.is_closed:
            # An earlier event of the same select() call has closed it.
            return
        if not connection.is_open:
            self._finish_connect(connection)
            return
        if events & selectors.EVENT_WRITE:
            self._flush(connection)
        if events & selectors.EVENT_READ and not connection.is_closed:
            self._read(connection)

    def _flush(self, connection: _Connection) -> None:
        try:
            while connection.send_queue:
                frame = connection.send_queue[0]
                sent = connection.sock.send(frame)
                connection.send_queue_bytes -= sent
                if sent < len(frame):
                    connection.send_queue[0] = frame[sent:]
                    break
                connection.send_queue.popleft()
        except BlockingIOError:
            pass
        except OSError as error:
            self._close(connection, str(error), True)
            return
        has_unsent_frames = bool(connection.send_queue)
        if has_unsent_frames == connection.is_write_pending:
            return
        connection.is_write_pending = has_unsent_frames
        events = selectors.EVENT_READ
        if has_unsent_frames:
            events |= selectors.EVENT_WRITE
        self._selector.modify(connection.sock, events, connection)

    def _read(self, connection: _Connection) -> None:
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._close(connection, str(error), True)
            return
        if not data:
            self._close(connection, "closed", True)
            return
        connection.last_received_at = self._now_seconds()
        connection.receive_buffer += data
        while True:
            try:
                message = _pop_message(connection.receive_buffer)
            except exceptions.DecodeError as error:
                # The messages after this one may be changes to it. The sender
                # starts a new connection with its complete state.
                self._count_invalid()
                self._close(connection, str(error), True)
                return
            if message is None:
                return
            self._post_event(node.MessageReceived(connection.link, message))

    def _close(
        self, connection: _Connection, reason: str, was_open: bool
    ) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.sock)
        connection.sock.close()
        connection.is_open = False
        connection.is_closed = True
        self._connections.pop(connection.link, None)
        if not isinstance(connection.link, int):
            outgoing = self._outgoing_links.get(connection.link)
            if outgoing is not None and outgoing.connection is connection:
                outgoing.connection = None
        if was_open:
            logs.write(
                "links",
                20,
                "link closed",
                {"link": str(connection.link), "reason": reason},
            )
            self._post_event(node.LinkClosed(connection.link))

    def _check_connections(self, now: float) -> None:
        """Closes idle connections and opens missing outgoing ones."""
        for connection in list(self._connections.values()):
            if now - connection.last_received_at > IDLE_TIMEOUT_SECONDS:
                self._close(connection, "silent", True)
        for zone, outgoing in self._outgoing_links.items():
            outgoing_connection = outgoing.connection
            if outgoing_connection is None:
                if now >= outgoing.next_attempt_at:
                    self._connect(zone)
            elif (
                not outgoing_connection.is_open
                and now - outgoing_connection.last_received_at
                > CONNECT_TIMEOUT_SECONDS
            ):
                self._close(outgoing_connection, "connect timed out", False)


def _pop_message(receive_buffer: bytearray) -> peer_messages.Message | None:
    """Removes the first frame from a buffer and returns its message.

    Returns:
        The message, or None if there is no complete frame.

    Raises:
        exceptions.DecodeError: The frame is too long, or its message is not
            valid.
    """
    if len(receive_buffer) < _FRAME_HEADER.size:
        return None
    (length,) = _FRAME_HEADER.unpack_from(receive_buffer)
    if length > MAX_FRAME_BYTES:
        raise exceptions.DecodeError("frame exceeds the maximum length")
    end = _FRAME_HEADER.size + length
    if len(receive_buffer) < end:
        return None
    data = bytes(receive_buffer[_FRAME_HEADER.size : end])
    del receive_buffer[:end]
    return codec.decode(data)
