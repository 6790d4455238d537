"""Callers that do not behave: many connections that one thread serves."""

import contextlib
import dataclasses
import errno
import itertools
import selectors
import socket
import threading
import time

_TICK_SECONDS = 0.02
# Pause of a client before it connects again.
_RETURN_SECONDS = 0.2
_READ_BYTES = 65_536
# A client that reads slowly leaves nearly all of a response to the instance.
_SMALL_BUFFER_BYTES = 4096
# One client of so many sends its request to the end.
_WHOLE_SHARE = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """What a client sends and reads on each of its connections.

    Attributes:
        head: The first bytes; "%d" in it becomes a number.
        body: Bytes behind the head.
        end: Bytes behind the body, sent by one client of five.
        rest: Bytes that are sent again and again behind these.
        interval: Seconds between two of them, 0 to send without a pause.
        read_bytes: Bytes of a single read, None to read all that arrives.
        read_interval: Seconds between two reads, 0 to read nothing.
        stay: Seconds after which the client leaves, 0 to stay.
    """

    head: bytes = b""
    body: bytes = b""
    end: bytes = b""
    rest: bytes = b""
    interval: float = 0.0
    read_bytes: int | None = None
    read_interval: float = 0.0
    stay: float = 0.0


class _Client:
    """A client that connects again whenever its connection has ended."""

    numbers = itertools.count(1)

    def __init__(self, address, script, index, selector):
        self._address = address
        self._script = script
        self._is_whole = index % _WHOLE_SHARE == 0
        self._selector = selector
        self._socket = None
        self._connect_at = 0.0
        self._events = 0
        self._has_sent_first = False

    def tick(self, now, is_held):
        script = self._script
        if self._socket is None:
            if now >= self._connect_at and not is_held:
                self._connect(now)
            return
        if script.stay and now >= self._leave_at and not is_held:
            self.close()
            return
        if script.read_interval and now >= self._read_at:
            self._read_at = now + script.read_interval
            self._read(script.read_bytes)
        if not self._pending and script.rest and now >= self._send_at:
            self._add_piece(now)
        self._watch(is_held)

    def handle(self, events, is_held):
        if events & selectors.EVENT_READ:
            self._read(_READ_BYTES)
        if events & selectors.EVENT_WRITE and self._socket is not None:
            self._send()
        self._watch(is_held)

    def close(self):
        """Leaves; the client may connect again."""
        if self._socket is None:
            return
        if self._events:
            self._selector.unregister(self._socket)
            self._events = 0
        self._socket.close()
        self._socket = None
        self._connect_at = time.monotonic() + _RETURN_SECONDS

    def _connect(self, now):
        script = self._script
        sock = socket.socket()
        sock.setblocking(False)
        if script.read_bytes is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
        error = sock.connect_ex(self._address)
        if error not in (0, errno.EINPROGRESS):
            sock.close()
            self._connect_at = now + _RETURN_SECONDS
            return
        self._socket = sock
        head = script.head
        if b"%d" in head:
            head = head % next(self.numbers)
        parts = [head, script.body, script.end if self._is_whole else b""]
        self._pending = [memoryview(part) for part in parts if part]
        self._send_at = now + script.interval
        self._read_at = now + script.read_interval
        self._leave_at = now + script.stay

    def _add_piece(self, now):
        self._pending.append(memoryview(self._script.rest))
        self._send_at = now + self._script.interval

    def _watch(self, is_held):
        if self._socket is None:
            return
        events = 0
        if self._script.read_bytes is None:
            events |= selectors.EVENT_READ
        if self._pending and (self._script.interval or not is_held):
            events |= selectors.EVENT_WRITE
        if events == self._events:
            return
        if not self._events:
            self._selector.register(self._socket, events, self)
        elif events:
            self._selector.modify(self._socket, events, self)
        else:
            self._selector.unregister(self._socket)
        self._events = events

    def _read(self, size):
        try:
            if not self._socket.recv(size):
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def _send(self):
        try:
            while self._pending:
                sent = self._socket.send(self._pending[0])
                rest = self._pending.pop(0)[sent:]
                if rest:
                    self._pending.insert(0, rest)
                    return
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if self._script.rest and not self._script.interval:
            self._add_piece(time.monotonic())


class Crowd:
    """Many clients at once.

    Args:
        address: Host and port to which they connect.
        scripts: Their scripts, each for one client after the other.
        count: The number of clients.
    """

    def __init__(self, address, scripts, count):
        self._selector = selectors.DefaultSelector()
        self._clients = [
            _Client(address, script, index // len(scripts), self._selector)
            for index, script in zip(
                range(count), itertools.cycle(scripts), strict=False
            )
        ]
        self._is_held = threading.Event()
        self._is_closed = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def hold(self):
        """Ends what is sent without a pause; connections stay open.

        Clients that send or read slowly go on.
        """
        self._is_held.set()

    def close(self):
        """Closes all connections."""
        self._is_closed.set()
        self._thread.join()

    def _run(self):
        next_tick = 0.0
        with contextlib.ExitStack() as stack:
            stack.callback(self._selector.close)
            for client in self._clients:
                stack.callback(client.close)
            while not self._is_closed.is_set():
                is_held = self._is_held.is_set()
                now = time.monotonic()
                if now >= next_tick:
                    next_tick = now + _TICK_SECONDS
                    for client in self._clients:
                        client.tick(now, is_held)
                for key, events in self._selector.select(_TICK_SECONDS):
                    key.data.handle(events, is_held)
