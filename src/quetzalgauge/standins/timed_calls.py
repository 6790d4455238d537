"""Callers that send one request each at a given time, and what they saw."""

import dataclasses
import http.client
import threading
import time

# Time before its request at which a caller on a kept connection sends another
# request on it.
_WARM_UP_SECONDS = 1.0
_TIMEOUT_SECONDS = 20.0


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller.

    Attributes:
        request_id: Value of the Request-Id header.
        path: Path of the request.
        send_at: When to send it, in seconds on the monotonic clock.
        deadline_ms: Value of the Deadline-Ms header.
        warm_up_path: Path of an earlier request on the same connection, empty
            for a new connection.
        body_pause: Seconds between the first half of the body and the rest.
        is_sent: Whether the whole request was sent.
        sent_at: When the last byte was sent.
        ended_at: When the response or the connection ended.
        status: HTTP status, 0 without a response.
        retry_after: Value of the Retry-After header, None if it is missing.
        is_complete: Whether the whole response was received.
    """

    request_id: str
    path: str
    send_at: float
    deadline_ms: int = 6000
    warm_up_path: str = ""
    body_pause: float = 0.0
    is_sent: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    retry_after: str | None = None
    is_complete: bool = False


def run_calls(address: tuple[str, int], host: str, calls: list[Call]) -> None:
    """Makes all calls and returns when the last one has ended.

    Args:
        address: Host and port to connect to.
        host: Value of the Host header.
        calls: The calls, to which the results are added.
    """
    threads = [
        threading.Thread(target=_make_call, args=(address, host, call))
        for call in calls
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _make_call(address: tuple[str, int], host: str, call: Call) -> None:
    connection = http.client.HTTPConnection(*address, timeout=_TIMEOUT_SECONDS)
    try:
        if call.warm_up_path:
            _sleep_until(call.send_at - _WARM_UP_SECONDS)
            _send(
                connection,
                host,
                Call(f"{call.request_id}w", call.warm_up_path, 0.0),
            )
            connection.getresponse().read()
        _sleep_until(call.send_at)
        try:
            _send(connection, host, call)
            call.is_sent = True
        finally:
            call.sent_at = time.monotonic()
        response = connection.getresponse()
        call.status = response.status
        call.retry_after = response.getheader("Retry-After")
        response.read()
        call.is_complete = True
    except (OSError, http.client.HTTPException):
        pass  # The fields of the call say how far it got.
    finally:
        call.ended_at = time.monotonic()
        connection.close()


def _send(
    connection: http.client.HTTPConnection, host: str, call: Call
) -> None:
    if connection.sock is None:
        connection.connect()
    connection.putrequest("POST", call.path, skip_host=True)
    for name, value in (
        ("Host", host),
        ("Request-Id", call.request_id),
        ("Deadline-Ms", str(call.deadline_ms)),
        ("Content-Length", "2"),
    ):
        connection.putheader(name, value)
    if not call.body_pause:
        connection.endheaders(b"xx")
        return
    connection.endheaders(b"x")
    time.sleep(call.body_pause)
    connection.send(b"x")


def _sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))
