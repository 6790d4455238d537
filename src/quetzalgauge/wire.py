"""Thrift servers and clients: framed transport, compact protocol.

A server serves any number of connections on a bounded pool of threads: an
idle connection waits in a selector and occupies a thread only while one of
its calls is handled. Thrift's own thread pool server keeps a thread per
connection, and its non-blocking server has neither TLS nor limits.
"""

from concurrent import futures
import contextlib
import dataclasses
import datetime
import ipaddress
import logging
import queue
import select
import selectors
import socket
import ssl
import threading
import time
from typing import Any

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

from quetzalgauge import exceptions
from quetzalgauge import logs
from quetzalgauge import settings

# A complete route update at the target size (41,000 adapters) is about 3 MB.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Bounds the memory that a declared length makes the decoder allocate.
MAX_CONTAINER_LENGTH = 500_000
# A client drops an idle connection well before the server does, so that a call
# rarely meets a connection that the server is closing.
CLIENT_IDLE_LIMIT = datetime.timedelta(seconds=20)

_IDLE_CHECK_SECONDS = 5.0
# An entry process sends its next `sync` right after an answer. A thread that
# waits for it saves the way through the selector and the pool.
_LINGER_MS = 20
_ACCEPT_PAUSE_SECONDS = 0.1
_BACKLOG = 128
_log = logs.make_logger("wire")

_TRANSPORT_ERRORS = (
    EOFError,
    MemoryError,
    OSError,
    OverflowError,
    Thrift.TException,
    TProtocol.TProtocolException,
    TTransport.TTransportException,
    TypeError,
    UnicodeError,
    ValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server.

    Attributes:
        threads: Calls handled at once.
        connections: Open connections; further ones are closed at once.
        request_bytes: Longest request frame.
        read_timeout: From the first byte of a request to its last, and from
            the first byte of an answer to its last.
        idle_timeout: Longest time without a request on a connection.
    """

    threads: int = 16
    connections: int = 512
    request_bytes: int = 1024 * 1024
    read_timeout: datetime.timedelta = datetime.timedelta(seconds=5)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=60)


def make_server_context(tls: settings.Tls) -> ssl.SSLContext:
    """Returns the TLS context of a listener.

    The other side needs a certificate if an authority is set.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority is not None:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(tls: settings.Tls) -> ssl.SSLContext:
    """Returns the TLS context of a client with its own certificate.

    The server's certificate must name the server's IP number.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority is not None:
        context.load_verify_locations(tls.authority)
    return context


def require_complete(message: Any) -> None:
    """Checks that every field of a Thrift struct from outside is set.

    Raises:
        exceptions.DecodeError: A field is missing, here or in a nested struct.
    """
    if isinstance(message, list):
        for item in message:
            require_complete(item)
    elif isinstance(message, dict):
        require_complete(list(message.values()))
    elif message is None:
        raise exceptions.DecodeError("a message is missing")
    elif hasattr(message, "thrift_spec"):
        for row in message.thrift_spec:
            if row is None:
                continue
            value = getattr(message, row[2])
            if value is None:
                name = type(message).__name__
                raise exceptions.DecodeError(f"{name}.{row[2]} is missing")
            require_complete(value)


def parse_address(text: str) -> tuple[str, int]:
    """Parses IP-NUMBER:PORT.

    Raises:
        exceptions.DecodeError: The text has another form.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise exceptions.DecodeError(f"no address: {text[:80]!r}") from error
    if not 0 < number < 65536:
        raise exceptions.DecodeError(f"no port: {text[:80]!r}")
    return host, number


class _DeadlineSocket(TSocket.TSocket):
    """A Thrift socket whose reads and writes end at one common deadline.

    A plain timeout would start again with each byte.
    """

    def __init__(self, handle: socket.socket) -> None:
        super().__init__()
        self.setHandle(handle)
        self._deadline = 0.0

    def set_deadline(self, timeout: datetime.timedelta) -> None:
        self._deadline = time.monotonic() + timeout.total_seconds()

    def read(self, sz: int) -> bytes:
        self._use_remaining()
        return super().read(sz)

    def write(self, buff: bytes) -> None:
        self._use_remaining()
        try:
            self.handle.sendall(buff)
        except OSError as error:
            raise TTransport.TTransportException(
                message=f"send failed: {error}"
            ) from error

    def _use_remaining(self) -> None:
        remaining = self._deadline - time.monotonic()
        if remaining <= 0:
            raise TTransport.TTransportException(
                TTransport.TTransportException.TIMED_OUT, "deadline passed"
            )
        self.handle.settimeout(remaining)


def _make_protocol(transport: Any, max_frame_bytes: int) -> Any:
    framed = TTransport.TFramedTransport(transport, max_frame_bytes)
    return TCompactProtocol.TCompactProtocolAccelerated(
        framed,
        string_length_limit=max_frame_bytes,
        container_length_limit=MAX_CONTAINER_LENGTH,
    )


# ---- Server ----------------------------------------------------------------


class _Connection:
    def __init__(self, handle: socket.socket, encrypted: bool) -> None:
        self.handle = handle
        self.encrypted = encrypted
        self.handshake_done = not encrypted
        self.idle_since = time.monotonic()

    def fileno(self) -> int:
        return self.handle.fileno()

    def pending(self) -> bool:
        if not isinstance(self.handle, ssl.SSLSocket):
            return False
        return self.handle.pending() > 0

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.handle.close()


class Server:
    """Serves one Thrift service.

    Args:
        name: Used in log lines and thread names.
        processor: A generated Processor with its handler.
        host: IP number to listen on.
        port: Port, 0 for any free one.
        limits: Limits of the server.
        tls: TLS context or None.

    Raises:
        OSError: The address cannot be bound.
    """

    def __init__(
        self,
        name: str,
        processor: Any,
        host: str,
        port: int,
        limits: ServerLimits | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._name = name
        self._processor = processor
        self._limits = limits or ServerLimits()
        self._tls = tls
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listener = socket.create_server(
            (host, port), family=family, backlog=_BACKLOG
        )
        self._listener.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._returned: queue.SimpleQueue[_Connection] = queue.SimpleQueue()
        self._idle: set[_Connection] = set()
        self._open_count = 0
        self._busy_count = 0
        self._count_lock = threading.Lock()
        self._stopping = False
        self._pool = futures.ThreadPoolExecutor(self._limits.threads, name)
        self._thread = threading.Thread(
            target=self._run, name=f"{name}-accept", daemon=True
        )

    @property
    def address(self) -> str:
        """HOST:PORT of the listener."""
        host, port = self._listener.getsockname()[:2]
        return str(settings.Address(host=host, port=port))

    def start(self) -> None:
        """Starts to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stops accepting, waits for calls in progress, closes the rest.

        The handlers must end by themselves in bounded time.
        """
        self._stopping = True
        self._wake()
        if self._thread.is_alive():
            self._thread.join()
        self._listener.close()
        self._pool.shutdown()
        while not self._returned.empty():
            self._idle.add(self._returned.get())
        for connection in self._idle:
            connection.close()
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _run(self) -> None:
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        while not self._stopping:
            try:
                self._run_once()
            except Exception:
                # One bad socket must not end the listener.
                _log.exception("%s: accept loop failed", self._name)
                time.sleep(0.1)

    def _run_once(self) -> None:
        timeout = _IDLE_CHECK_SECONDS if self._idle else None
        for key, _ in self._selector.select(timeout):
            if key.fileobj is self._listener:
                self._accept()
            elif key.fileobj is self._wake_reader:
                self._take_back()
            else:
                self._hand_out(key.fileobj)
        self._close_idle()

    def _accept(self) -> None:
        try:
            handle, _ = self._listener.accept()
        except (BlockingIOError, ConnectionError):
            return
        except OSError as error:
            # Out of file descriptors: the listener stays readable, so without
            # a pause the loop would spin.
            _log.warning("%s: cannot accept: %s", self._name, error)
            time.sleep(_ACCEPT_PAUSE_SECONDS)
            return
        with self._count_lock:
            full = self._open_count >= self._limits.connections
            self._open_count += not full
        if full:
            handle.close()
            return
        with contextlib.suppress(OSError):
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch(_Connection(handle, self._tls is not None))

    def _watch(self, connection: _Connection) -> None:
        connection.idle_since = time.monotonic()
        self._selector.register(connection, selectors.EVENT_READ)
        self._idle.add(connection)

    def _take_back(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_reader.recv(4096)
        while not self._returned.empty():
            self._watch(self._returned.get())

    def _hand_out(self, connection: Any) -> None:
        self._selector.unregister(connection)
        self._idle.discard(connection)
        self._pool.submit(self._serve, connection)

    def _close_idle(self) -> None:
        limit = self._limits.idle_timeout.total_seconds()
        oldest = time.monotonic() - limit
        for connection in [c for c in self._idle if c.idle_since < oldest]:
            self._selector.unregister(connection)
            self._idle.discard(connection)
            self._close(connection)

    def _wake(self) -> None:
        # A full buffer means that the other side wakes up anyway.
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"w")

    def _serve(self, connection: _Connection) -> None:
        """Handles what has arrived; closes the connection on any fault."""
        with self._count_lock:
            self._busy_count += 1
        try:
            if not connection.handshake_done:
                self._shake_hands(connection)
            else:
                self._handle_call(connection)
            while self._has_next_call(connection):
                self._handle_call(connection)
        except _TRANSPORT_ERRORS as error:
            _log.debug("%s: connection closed: %s", self._name, error)
            self._close(connection)
        except Exception:
            _log.exception("%s: call failed", self._name)
            self._close(connection)
        else:
            self._returned.put(connection)
            self._wake()
        finally:
            with self._count_lock:
                self._busy_count -= 1

    def _has_next_call(self, connection: _Connection) -> bool:
        """Waits a little for the next call unless threads are scarce."""
        if self._stopping:
            return False
        if connection.pending():
            return True
        if self._busy_count > self._limits.threads // 2:
            return False
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        return bool(poller.poll(_LINGER_MS))

    def _shake_hands(self, connection: _Connection) -> None:
        assert self._tls is not None
        connection.handle.settimeout(self._limits.read_timeout.total_seconds())
        connection.handle = self._tls.wrap_socket(
            connection.handle, server_side=True
        )
        connection.handshake_done = True

    def _handle_call(self, connection: _Connection) -> None:
        transport = _DeadlineSocket(connection.handle)
        reader = _make_protocol(transport, self._limits.request_bytes)
        writer = _make_protocol(transport, MAX_ANSWER_BYTES)
        transport.set_deadline(self._limits.read_timeout)
        reader.trans.readFrame()
        # The handler may wait before it answers, so the answer gets a
        # deadline of its own.
        writer.trans = _AnswerTransport(
            writer.trans, transport, self._limits.read_timeout
        )
        self._processor.process(reader, writer)

    def _close(self, connection: _Connection) -> None:
        connection.close()
        with self._count_lock:
            self._open_count -= 1


class _AnswerTransport:
    """Starts the deadline of an answer when the answer is sent."""

    def __init__(
        self,
        framed: Any,
        transport: _DeadlineSocket,
        timeout: datetime.timedelta,
    ) -> None:
        self._framed = framed
        self._transport = transport
        self._timeout = timeout

    def write(self, data: bytes) -> None:
        self._framed.write(data)

    def flush(self) -> None:
        self._transport.set_deadline(self._timeout)
        self._framed.flush()


# ---- Client ----------------------------------------------------------------


@dataclasses.dataclass(slots=True)
class _Channel:
    transport: _DeadlineSocket
    client: Any
    used: float


class Client:
    """Calls a Thrift service at one address. Threads may share it.

    Idle connections are used again. A call is never repeated.

    Args:
        service: A generated module, for example gen.Control.
        address: HOST:PORT.
        connect_timeout: Longest wait for a connection.
        tls: TLS context or None.
        max_idle: Idle connections kept.
    """

    def __init__(
        self,
        service: Any,
        address: str,
        connect_timeout: datetime.timedelta = datetime.timedelta(seconds=1),
        tls: ssl.SSLContext | None = None,
        max_idle: int = 2,
    ) -> None:
        self._service = service
        self._address = address
        self._connect_timeout = connect_timeout
        self._tls = tls
        self._max_idle = max_idle
        self._idle: list[_Channel] = []
        self._lock = threading.Lock()
        self._closed = False

    def call(
        self, method: str, *arguments: Any, timeout: datetime.timedelta
    ) -> Any:
        """Calls a method and returns its result.

        Raises:
            exceptions.PeerUnreachableError: No byte of the call was sent.
            exceptions.PeerError: The call may have been handled, but there is
                no answer in time, or the answer is no valid message.
        """
        channel = self._take() or self._connect()
        channel.transport.set_deadline(timeout)
        try:
            result = getattr(channel.client, method)(*arguments)
        except _TRANSPORT_ERRORS as error:
            channel.transport.close()
            # Other connections to a silent peer are suspect as well.
            self._close_idle()
            message = f"{method} at {self._address} failed: {error}"
            raise exceptions.PeerError(message) from error
        except BaseException:
            channel.transport.close()
            raise
        self._give_back(channel)
        return result

    def close(self) -> None:
        """Closes idle connections, and others after their call."""
        self._closed = True
        self._close_idle()

    def _take(self) -> _Channel | None:
        oldest = time.monotonic() - CLIENT_IDLE_LIMIT.total_seconds()
        while True:
            with self._lock:
                if not self._idle:
                    return None
                channel = self._idle.pop()
            if channel.used > oldest and _is_quiet(channel.transport.handle):
                return channel
            channel.transport.close()

    def _give_back(self, channel: _Channel) -> None:
        channel.used = time.monotonic()
        with self._lock:
            if not self._closed and len(self._idle) < self._max_idle:
                self._idle.append(channel)
                return
        channel.transport.close()

    def _close_idle(self) -> None:
        with self._lock:
            channels, self._idle = self._idle, []
        for channel in channels:
            channel.transport.close()

    def _connect(self) -> _Channel:
        try:
            transport = _DeadlineSocket(self._open_socket())
        except (OSError, exceptions.DecodeError) as error:
            message = f"{self._address} is unreachable: {error}"
            raise exceptions.PeerUnreachableError(message) from error
        protocol = _make_protocol(transport, MAX_ANSWER_BYTES)
        client = self._service.Client(protocol)
        return _Channel(transport, client, time.monotonic())

    def _open_socket(self) -> socket.socket:
        host, port = parse_address(self._address)
        timeout = self._connect_timeout.total_seconds()
        handle = socket.create_connection((host, port), timeout)
        try:
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                handle = self._tls.wrap_socket(handle, server_hostname=host)
        except BaseException:
            handle.close()
            raise
        return handle


def _is_quiet(handle: socket.socket | None) -> bool:
    """Tells whether an idle connection is open and has no bytes to read."""
    if handle is None:
        return False
    poller = select.poll()
    poller.register(handle, select.POLLIN)
    return not poller.poll(0)


# Thrift logs each failed connection with a traceback.
logging.getLogger("thrift").setLevel(logging.CRITICAL)
