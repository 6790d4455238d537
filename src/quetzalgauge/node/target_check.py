"""Checks whether the process of a target has ended, or still runs.

A target that does not respond in time, for instance one that is partitioned, is
not shown to do either.
"""

import enum
import socket
import time

# A target in the same region accepts or refuses a connection within
# milliseconds; a partitioned one does neither.
CONNECT_TIMEOUT_SECONDS = 0.05
# A process that is ending may still accept a connection, and closes it within
# this time.
CLOSE_TIMEOUT_SECONDS = 0.02
# Time for all connections of a check, until the last one is accepted.
MAX_CONNECT_SECONDS = 0.1
# The kernel closes the sockets of a process that is killed one after the other.
_RETRY_INTERVAL_SECONDS = 0.01


class _Outcome(enum.Enum):
    """What becomes of a new connection."""

    OPEN = "open"
    CLOSED = "closed"  # Accepted, then closed or reset.
    REFUSED = "refused"
    UNKNOWN = "unknown"


def has_ended(address: str) -> bool:
    """Whether a new connection to a target is refused.

    False if the target accepts it or does not respond in time. Takes at most
    `CLOSE_TIMEOUT_SECONDS` plus `MAX_CONNECT_SECONDS`.

    Args:
        address: IP-ADDRESS:PORT of the target.
    """
    return _connect(address, 2) is _Outcome.REFUSED


def is_running(address: str) -> bool:
    """Whether a new connection to a target is accepted.

    It has to stay open, or the next ones have to be accepted too: a target that
    has as many connections as it takes closes each new one, a process that is
    ending refuses the next one. False if the target does not respond in time.
    Takes at most `CLOSE_TIMEOUT_SECONDS` plus `MAX_CONNECT_SECONDS`.

    Args:
        address: IP-ADDRESS:PORT of the target.
    """
    return _connect(address, 3) in (_Outcome.OPEN, _Outcome.CLOSED)


def stays_open(sock: socket.socket) -> bool:
    """Whether the peer does not close a connection for a moment."""
    sock.settimeout(CLOSE_TIMEOUT_SECONDS)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except TimeoutError:
        return True
    except OSError:
        return False


def _connect(address: str, max_tries: int) -> _Outcome:
    """Opens a connection, and another one after one that is closed."""
    host, _, port = address.rpartition(":")
    # The system would wrap a port that is out of range.
    if not port.isdecimal() or not 0 < int(port) < 65536:
        return _Outcome.UNKNOWN
    deadline = time.monotonic() + MAX_CONNECT_SECONDS
    for number in range(max_tries):
        if number:
            time.sleep(_RETRY_INTERVAL_SECONDS)
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return _Outcome.UNKNOWN
        outcome = _try_connection(
            (host, int(port)), min(CONNECT_TIMEOUT_SECONDS, remaining)
        )
        if outcome is not _Outcome.CLOSED:
            return outcome
    return _Outcome.CLOSED


def _try_connection(
    address: tuple[str, int], timeout_seconds: float
) -> _Outcome:
    try:
        with socket.create_connection(address, timeout_seconds) as sock:
            return _Outcome.OPEN if stays_open(sock) else _Outcome.CLOSED
    except ConnectionRefusedError:
        return _Outcome.REFUSED
    except ConnectionResetError:
        return _Outcome.CLOSED
    except OSError:
        return _Outcome.UNKNOWN
