"""HTTP client with one connection to one address, owned by one thread.

It distinguishes "no byte was sent" from "sent, but no response", which the
pools of urllib3 hide. It does not follow redirects and does not retry, except
a `GET` on a reused connection that the server has closed.
"""

from collections.abc import Mapping
import contextlib
import dataclasses
import datetime
import json
import socket
import time
from typing import Any
import urllib.parse
import zlib

import urllib3
from urllib3 import connection as urllib3_connection

from quetzalgauge import exceptions
from quetzalgauge.node import connections
from quetzalgauge.node import response_parser
from quetzalgauge.platform import headers as wire_headers

# Pages of the store have up to 1 MB, a third more as text.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
_READ_SIZE_BYTES = 65536
_INVALID_RESPONSE_ERRORS = (
    ValueError,
    response_parser.MalformedResponseError,
)
_NO_RESPONSE_ERRORS = (
    OSError,
    response_parser.TruncatedResponseError,
    urllib3.exceptions.HTTPError,
    *_INVALID_RESPONSE_ERRORS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response with its complete body."""

    status: int
    data: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def json(self) -> Any:
        """Returns the body as JSON.

        Raises:
            exceptions.DecodeError: The body is not valid JSON.
        """
        try:
            return json.loads(self.data)
        except (RecursionError, ValueError) as error:
            raise exceptions.DecodeError(
                f"body is not valid JSON: {error}"
            ) from error


class Connection:
    """A persistent connection that is opened on demand.

    Args:
        url: http(s)://IP-ADDRESS:PORT with an optional path, which is prepended
            to the path of each call.
        connect_timeout: Timeout for opening the connection.
        max_response_bytes: Longest body of a response, also decompressed;
            MAX_RESPONSE_BYTES by default.
    """

    def __init__(
        self,
        url: str,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
        max_response_bytes: int | None = None,
    ) -> None:
        self._max_response_bytes = max_response_bytes or MAX_RESPONSE_BYTES
        parts = urllib.parse.urlsplit(url)
        self._url = url
        self._prefix = parts.path.rstrip("/")
        self._connect_timeout = connect_timeout.total_seconds()
        self._is_interrupted = False
        connection_class = urllib3_connection.HTTPConnection
        if parts.scheme == "https":
            connection_class = urllib3_connection.HTTPSConnection
        self._host = parts.netloc
        self._connection = connection_class(
            parts.hostname or "",
            parts.port,
            socket_options=connections.CALL_SOCKET_OPTIONS,
        )

    def is_open(self) -> bool:
        """Returns whether the connection is open at both ends."""
        return self._connection.is_connected

    def close(self) -> None:
        """Closes the connection. The next call opens a new one."""
        self._connection.close()

    def interrupt(self) -> None:
        """Makes a call that is in progress in another thread fail at once.

        That call raises `CallInterruptedError`.
        """
        self._is_interrupted = True
        sock = self._connection.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def open(self) -> None:
        """Opens a new connection unless one is open.

        Raises:
            exceptions.NotSentError: The connection cannot be established.
        """
        if self.is_open():
            return
        self.close()
        self._connection.timeout = self._connect_timeout
        try:
            self._connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            self.close()
            message = f"{self._url} is unreachable: {error}"
            raise exceptions.NotSentError(message) from error

    def call(
        self,
        method: str,
        path: str,
        timeout: datetime.timedelta,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        reuse_only: bool = False,
    ) -> Response:
        """Sends a request and returns the response.

        Args:
            method: HTTP method.
            path: Path with query, relative to the URL of the connection.
            timeout: Timeout for the complete response.
            body: Bytes are sent unchanged, any other value but None as JSON.
            headers: Additional headers.
            reuse_only: Fail instead of opening a new connection.

        Raises:
            exceptions.NotSentError: No byte was sent.
            exceptions.CallInterruptedError: The call was interrupted.
            exceptions.InvalidResponseError: The request may have been handled,
                but its response is malformed or too long.
            exceptions.PlatformError: The request may have been handled, but
                there is no complete response.
        """
        self._is_interrupted = False
        reused = self.is_open()
        if reuse_only and not reused:
            raise exceptions.NotSentError(f"{self._url}: connection lost")
        self.open()
        try:
            return self._exchange(method, path, timeout, body, headers)
        except ConnectionError as error:
            self.close()
            if self._is_interrupted or not (reused and method == "GET"):
                raise self._make_no_response_error(
                    method, path, error
                ) from error
        except _NO_RESPONSE_ERRORS as error:
            self.close()
            raise self._make_no_response_error(method, path, error) from error
        return self.call(method, path, timeout, body, headers)

    def _make_no_response_error(
        self, method: str, path: str, error: Exception
    ) -> Exception:
        kind = type(error).__name__
        message = f"{method} {self._url}{path} got no response: {kind}: {error}"
        if self._is_interrupted:
            return exceptions.CallInterruptedError(message)
        if isinstance(error, _INVALID_RESPONSE_ERRORS):
            return exceptions.InvalidResponseError(message)
        return exceptions.PlatformError(message)

    def _exchange(
        self,
        method: str,
        path: str,
        timeout: datetime.timedelta,
        body: Any,
        headers: Mapping[str, str] | None,
    ) -> Response:
        deadline = time.monotonic() + timeout.total_seconds()
        # The status of a target with 8 models is 2 KB and compresses well,
        # since most of it is repetitive.
        sent_headers = {
            "Host": self._host,
            "Accept-Encoding": "gzip",
            **(headers or {}),
        }
        data = body if isinstance(body, bytes) else b""
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body, separators=(",", ":")).encode()
            sent_headers["Content-Type"] = "application/json"
        sock = self._connection.sock
        if sock is None:
            raise ConnectionResetError("connection is closed")
        parser = response_parser.ResponseParser()
        request = parser.make_request(
            method, self._prefix + path, sent_headers.items(), [data]
        )
        _set_timeout(sock, deadline)
        sock.sendall(b"".join(request))
        content = _read_response(
            sock, parser, deadline, self._max_response_bytes
        )
        assert parser.head is not None
        if (parser.head.get("Content-Encoding") or "").lower() == "gzip":
            content = _decompress(content, self._max_response_bytes)
        if not parser.can_reuse_connection:
            self.close()
        return Response(parser.head.status, content, parser.head.headers)


def _read_response(
    sock: socket.socket,
    parser: response_parser.ResponseParser,
    deadline: float,
    max_bytes: int,
) -> bytes:
    """Reads a response to its end and returns its body.

    Raises:
        ConnectionResetError: The connection was closed before a response.
        ValueError: The response is too long, or another response began within
            it.
    """
    chunks: list[bytes] = []
    size = 0
    is_first = True
    while not parser.has_ended:
        _set_timeout(sock, deadline)
        data = sock.recv(_READ_SIZE_BYTES)
        if is_first and not data:
            raise ConnectionResetError("closed without a response")
        is_first = False
        parser.feed(data)
        chunks.append(parser.take_body())
        size += len(chunks[-1])
        if size > max_bytes:
            raise ValueError(f"response exceeds {max_bytes} bytes")
    body = b"".join(chunks)
    assert parser.head is not None
    if wire_headers.contains_response(body, parser.rest, parser.head.is_framed):
        raise ValueError("another response began in the body")
    return body


def _set_timeout(sock: socket.socket, deadline: float) -> None:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("deadline exceeded")
    sock.settimeout(remaining)


def _decompress(data: bytes, max_bytes: int) -> bytes:
    """Decompresses a gzip body, with the size limit of any other body.

    Raises:
        ValueError: The body is invalid, truncated or too long, or other data
            follows it.
    """
    decompressor = zlib.decompressobj(zlib.MAX_WBITS | 16)
    try:
        content = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f"invalid gzip body: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("gzip body is truncated, too long or followed by data")
    return content
