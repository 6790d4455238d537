"""One HTTP connection to one address, owned by one task.

Tells "no byte was sent" from "sent, answer missing", which urllib3's pools
hide. Redirects are not followed and nothing is repeated, except a `GET` that
met a connection which the server had closed meanwhile.
"""

from collections.abc import Mapping
import contextlib
import dataclasses
import datetime
import http.client
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

MAX_ANSWER_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
_READ_SIZE_BYTES = 65536
_NO_RESPONSE_ERRORS = (
    OSError,
    ValueError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP answer with its whole body."""

    status: int
    headers: Mapping[str, str]
    data: bytes

    def json(self) -> Any:
        """Returns the body as JSON.

        Raises:
            exceptions.DecodeError: The body is no JSON.
        """
        try:
            return json.loads(self.data)
        except (RecursionError, ValueError) as error:
            raise exceptions.DecodeError(f"body is no JSON: {error}") from error


class Connection:
    """A connection that is opened when needed and kept.

    Args:
        url: http(s)://IP-NUMBER:PORT, the path in front of each call's path.
        connect_timeout: Longest wait for a connection.
    """

    def __init__(
        self, url: str, connect_timeout: datetime.timedelta = CONNECT_TIMEOUT
    ) -> None:
        parts = urllib.parse.urlsplit(url)
        self._url = url
        self._prefix = parts.path.rstrip("/")
        self._connect_timeout = connect_timeout.total_seconds()
        make = urllib3_connection.HTTPConnection
        if parts.scheme == "https":
            make = urllib3_connection.HTTPSConnection
        self._connection = make(
            parts.hostname or "",
            parts.port,
            socket_options=connections.SOCKET_OPTIONS,
        )

    def is_open(self) -> bool:
        """Tells whether the connection is open and its server kept it so."""
        return self._connection.is_connected

    def close(self) -> None:
        """Closes the connection. The next call opens a new one."""
        self._connection.close()

    def interrupt(self) -> None:
        """Makes a call that another task waits for fail at once."""
        handle = self._connection.sock
        if handle is not None:
            with contextlib.suppress(OSError):
                handle.shutdown(socket.SHUT_RDWR)

    def open(self) -> None:
        """Opens a new connection unless one is open.

        Raises:
            exceptions.NotSentError: There is no connection.
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
        """Sends a request and returns the answer.

        Args:
            method: HTTP method.
            path: Path with query, from the root of the service.
            timeout: Longest wait for the whole answer.
            body: Bytes are sent as they are, anything else as JSON unless
                None.
            headers: Further headers.
            reuse_only: Send only on the connection that is open already.

        Raises:
            exceptions.NotSentError: No byte was sent.
            exceptions.PlatformError: The request may have been handled, but
                there is no whole answer.
        """
        reused = self.is_open()
        if reuse_only and not reused:
            raise exceptions.NotSentError(f"{self._url}: connection lost")
        self.open()
        try:
            return self._exchange(method, path, timeout, body, headers)
        except ConnectionError as error:
            self.close()
            if not (reused and method == "GET"):
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
        name = type(error).__name__
        text = f"{method} {self._url}{path} got no answer: {name}: {error}"
        return exceptions.PlatformError(text)

    def _exchange(
        self,
        method: str,
        path: str,
        timeout: datetime.timedelta,
        body: Any,
        headers: Mapping[str, str] | None,
    ) -> Response:
        deadline = time.monotonic() + timeout.total_seconds()
        # The status of a target with 8 models is 2 KB and most of it repeats.
        sent_headers = {"Accept-Encoding": "gzip", **(headers or {})}
        data = body if isinstance(body, bytes) else None
        if body is not None and data is None:
            data = json.dumps(body, separators=(",", ":")).encode()
            sent_headers["Content-Type"] = "application/json"
        self._set_timeout(deadline)
        self._connection.request(
            method,
            self._prefix + path,
            body=data,
            headers=sent_headers,
            preload_content=False,
            decode_content=False,
        )
        self._set_timeout(deadline)
        response = self._connection.getresponse()
        whole = self._read_body(response, deadline)
        if response.headers.get("Content-Encoding", "").lower() == "gzip":
            whole = _decompress(whole)
        if response.headers.get("Connection", "").lower() == "close":
            self.close()
        return Response(response.status, response.headers, whole)

    def _read_body(self, response: Any, deadline: float) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            self._set_timeout(deadline)
            part = response.read1(_READ_SIZE_BYTES)
            if not part:
                break
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise ValueError(f"answer above {MAX_ANSWER_BYTES} bytes")
            parts.append(part)
        return b"".join(parts)

    def _set_timeout(self, deadline: float) -> None:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("deadline passed")
        if self._connection.sock is not None:
            self._connection.sock.settimeout(remaining)
        self._connection.timeout = remaining


def _decompress(data: bytes) -> bytes:
    """Returns the content of a gzip body, bounded like any other body."""
    unpacker = zlib.decompressobj(zlib.MAX_WBITS | 16)
    try:
        whole = unpacker.decompress(data, MAX_ANSWER_BYTES)
    except zlib.error as error:
        raise ValueError(f"bad gzip body: {error}") from error
    if not unpacker.eof or unpacker.unused_data:
        raise ValueError("gzip body is cut, too long or followed by bytes")
    return whole
