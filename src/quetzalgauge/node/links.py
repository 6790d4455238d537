"""Connections between instances: one task owns them all.

Frames of four bytes of length and a message. A connection on which nothing
arrives for a while is closed, since it may have gone silent.
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

# Heartbeats come twice a second; three missing ones end a connection.
SILENCE_SECONDS = 1.6
CONNECT_SECONDS = 0.6
RECONNECT_SECONDS = 0.25
CHECK_SECONDS = 0.2
# A peer that does not read is dropped when this much waits for it.
MAX_UNSENT_BYTES = 1_048_576
MAX_FRAME_BYTES = 1_048_576
BACKLOG = 128
READ_BYTES = 65_536

_LENGTH = struct.Struct(">I")
_log = logs.get_logger("links")


class _Connection:
    def __init__(self, handle: socket.socket, link: node.LinkId) -> None:
        self.handle = handle
        self.link = link
        self.incoming = bytearray()
        self.unsent: collections.deque[bytes] = collections.deque()
        self.unsent_bytes = 0
        self.waits_to_write = False
        self.is_open = False
        self.is_closed = False
        self.heard = 0.0

    def fileno(self) -> int:
        return self.handle.fileno()


@dataclasses.dataclass(slots=True)
class _Wanted:
    address: str
    connection: _Connection | None = None
    next_try: float = 0.0


class Links:
    """All links of this instance.

    Args:
        address: Host and port to listen on.
        tell: Called with what happens, in the task's thread.
        now: The clock.
    """

    def __init__(
        self,
        address: tuple[str, int],
        tell: Callable[[node.Event], None],
        now: clock.Clock,
    ) -> None:
        self._tell = tell
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
        self._wanted: dict[ids.AvailabilityZone, _Wanted] = {}
        self._next_number = 1
        self._is_woken = False
        self._last_message: peer_messages.Message | None = None
        self._last_frame = b""

    def put(self, action: node.SetLeaderLink | node.SendMessage) -> None:
        """Queues an action; any thread may call this."""
        self._queue.put(action)
        if self._is_woken:
            return
        self._is_woken = True
        # A full pipe wakes the task as well.
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake_write, b"\0")

    def run(self) -> None:
        """Serves the links until the process ends."""
        next_check = 0.0
        while True:
            now = self._seconds()
            if now >= next_check:
                next_check = now + CHECK_SECONDS
                self._check(now)
            for key, events in self._selector.select(next_check - now):
                if key.fileobj is self._listener:
                    self._accept()
                elif key.data is None:
                    self._read_queue()
                else:
                    self._serve(key.data, events)

    def _seconds(self) -> float:
        return self._now().total_seconds()

    # ---- Actions

    def _read_queue(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.read(self._wake_read, 4096)
        # Before the queue is read: what is put later wakes the task again.
        self._is_woken = False
        while True:
            try:
                action = self._queue.get_nowait()
            except queue.Empty:
                return
            if isinstance(action, node.SendMessage):
                self._send(action)
            else:
                self._link_to(action)

    def _link_to(self, action: node.SetLeaderLink) -> None:
        wanted = self._wanted.pop(action.zone, None)
        if wanted is not None and wanted.connection is not None:
            self._drop(wanted.connection, "not wanted", False)
        if action.address is not None:
            self._wanted[action.zone] = _Wanted(action.address)
            self._connect(action.zone)

    def _send(self, action: node.SendMessage) -> None:
        connection = self._connections.get(action.link)
        if connection is None or not connection.is_open:
            return
        frame = self._make_frame(action.message)
        connection.unsent.append(frame)
        connection.unsent_bytes += len(frame)
        if connection.unsent_bytes > MAX_UNSENT_BYTES:
            self._drop(connection, "does not read", True)
            return
        self._flush(connection)

    def _make_frame(self, message: peer_messages.Message) -> bytes:
        # A board goes to every instance, one link after the other.
        if message is not self._last_message:
            data = codec.encode(message)
            self._last_frame = _LENGTH.pack(len(data)) + data
            self._last_message = message
        return self._last_frame

    # ---- Connections

    def _connect(self, zone: ids.AvailabilityZone) -> None:
        wanted = self._wanted[zone]
        wanted.next_try = self._seconds() + RECONNECT_SECONDS
        host, _, port = wanted.address.rpartition(":")
        handle = socket.socket()
        handle.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            try:
                handle.connect((host, int(port)))
            except BlockingIOError:
                raise
            except OSError:
                handle.close()
                return
        connection = _Connection(handle, zone)
        connection.heard = self._seconds()
        wanted.connection = connection
        self._selector.register(handle, selectors.EVENT_WRITE, connection)

    def _accept(self) -> None:
        try:
            handle, _ = self._listener.accept()
        except OSError:
            return
        handle.setblocking(False)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(handle, self._next_number)
        self._next_number += 1
        connection.is_open = True
        connection.heard = self._seconds()
        self._connections[connection.link] = connection
        self._selector.register(handle, selectors.EVENT_READ, connection)

    def _opened(self, connection: _Connection) -> None:
        error = connection.handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._drop(connection, os.strerror(error), False)
            return
        connection.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.is_open = True
        connection.heard = self._seconds()
        self._connections[connection.link] = connection
        self._selector.modify(
            connection.handle, selectors.EVENT_READ, connection
        )
        assert not isinstance(connection.link, int)
        self._tell(node.LinkOpened(connection.link))

    def _serve(self, connection: _Connection, events: int) -> None:
        if connection.is_closed:
            # An event before this one in the same round closed it.
            return
        if not connection.is_open:
            self._opened(connection)
            return
        if events & selectors.EVENT_WRITE:
            self._flush(connection)
        if events & selectors.EVENT_READ and not connection.is_closed:
            self._read(connection)

    def _flush(self, connection: _Connection) -> None:
        try:
            while connection.unsent:
                frame = connection.unsent[0]
                sent = connection.handle.send(frame)
                connection.unsent_bytes -= sent
                if sent < len(frame):
                    connection.unsent[0] = frame[sent:]
                    break
                connection.unsent.popleft()
        except BlockingIOError:
            pass
        except OSError as error:
            self._drop(connection, str(error), True)
            return
        has_more = bool(connection.unsent)
        if has_more == connection.waits_to_write:
            return
        connection.waits_to_write = has_more
        events = selectors.EVENT_READ
        if has_more:
            events |= selectors.EVENT_WRITE
        self._selector.modify(connection.handle, events, connection)

    def _read(self, connection: _Connection) -> None:
        try:
            data = connection.handle.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._drop(connection, str(error), True)
            return
        if not data:
            self._drop(connection, "closed", True)
            return
        connection.heard = self._seconds()
        connection.incoming += data
        try:
            for message in _take_messages(connection.incoming):
                self._tell(node.MessageReceived(connection.link, message))
        except exceptions.DecodeError as error:
            self._drop(connection, str(error), True)

    def _drop(
        self, connection: _Connection, reason: str, was_open: bool
    ) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.handle)
        connection.handle.close()
        connection.is_open = False
        connection.is_closed = True
        self._connections.pop(connection.link, None)
        if not isinstance(connection.link, int):
            wanted = self._wanted.get(connection.link)
            if wanted is not None and wanted.connection is connection:
                wanted.connection = None
        if was_open:
            logs.write(
                "links",
                20,
                "link closed",
                {"link": str(connection.link), "reason": reason},
            )
            self._tell(node.LinkClosed(connection.link))

    def _check(self, now: float) -> None:
        """Ends silent connections and opens wanted ones."""
        for connection in list(self._connections.values()):
            if now - connection.heard > SILENCE_SECONDS:
                self._drop(connection, "silent", True)
        for zone, wanted in self._wanted.items():
            opening = wanted.connection
            if opening is None:
                if now >= wanted.next_try:
                    self._connect(zone)
            elif not opening.is_open and now - opening.heard > CONNECT_SECONDS:
                self._drop(opening, "no connection", False)


def _take_messages(incoming: bytearray) -> list[peer_messages.Message]:
    """Removes the whole frames from a buffer and returns their messages."""
    messages = []
    while len(incoming) >= _LENGTH.size:
        (length,) = _LENGTH.unpack_from(incoming)
        if length > MAX_FRAME_BYTES:
            raise exceptions.DecodeError("a frame is too long")
        end = _LENGTH.size + length
        if len(incoming) < end:
            break
        messages.append(codec.decode(bytes(incoming[_LENGTH.size : end])))
        del incoming[:end]
    return messages
