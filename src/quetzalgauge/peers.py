"""Calls of other control processes, on a small pool of threads."""

from collections.abc import Callable
from concurrent import futures
import datetime
import ssl
import threading
from typing import Any

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import inbox as inbox_module
from quetzalgauge import logs
from quetzalgauge import messages
from quetzalgauge import wire
from quetzalgauge.gen import Peer
from quetzalgauge.gen import ttypes

CALL_TIMEOUT = datetime.timedelta(seconds=3)
# A snapshot of the target size is some megabytes.
SNAPSHOT_TIMEOUT = datetime.timedelta(seconds=10)
_THREADS = 8
# Calls that are queued or running; further ones fail at once.
_MAX_CALLS = 64
# Clients whose idle connections are kept. In the target size each second
# brings another random peer, so more would only fill the peers' limits.
_MAX_CLIENTS = 32
_log = logs.make_logger("peers")


class PeerCalls:
    """Carries out the actions towards peers and delivers the results."""

    def __init__(
        self,
        deliver: Callable[[messages.Event], None],
        tls: ssl.SSLContext | None,
    ) -> None:
        self._deliver = deliver
        self._tls = tls
        self._pool = futures.ThreadPoolExecutor(_THREADS, "peer-call")
        self._clients: dict[str, wire.Client] = {}
        self._lock = threading.Lock()
        self._free = threading.BoundedSemaphore(_MAX_CALLS)

    def exchange(self, action: messages.ExchangeWithPeer) -> None:
        """Delivers UpdateReceived; the update is None after a failure."""

        def finish(update: Any) -> None:
            self._deliver(messages.UpdateReceived(action.address, update))

        self._submit(
            action.address,
            CALL_TIMEOUT,
            finish,
            "exchange",
            action.digest,
            action.target_states,
        )

    def demand(self, action: messages.SendDemand) -> None:
        """Delivers nothing."""
        self._submit(
            action.address,
            CALL_TIMEOUT,
            lambda _: None,
            "demand",
            action.demands,
        )

    def fetch_snapshot(self, action: messages.FetchSnapshot) -> None:
        """Delivers SnapshotFetched, with empty data after a failure."""

        def finish(record: Any) -> None:
            offset, data = ids.NO_OFFSET, b""
            if record is not None:
                offset, data = record.offset, record.data
            self._deliver(messages.SnapshotFetched(action.stream, offset, data))

        self._submit(
            action.address,
            SNAPSHOT_TIMEOUT,
            finish,
            "fetch_snapshot",
            action.stream,
        )

    def fetch_outcome(self, action: messages.FetchOutcome) -> None:
        """Delivers OutcomeFetched; the outcome is None after a failure."""

        def finish(outcome: Any) -> None:
            self._deliver(messages.OutcomeFetched(action.key, outcome))

        self._submit(
            action.address, CALL_TIMEOUT, finish, "fetch_outcome", action.key
        )

    def forward_adapter(self, action: messages.ForwardAdapterRequest) -> None:
        """Answers the token of the request."""

        def finish(reply: Any) -> None:
            if reply is None:
                reply = ttypes.AdapterReply(
                    ttypes.AdapterDecision.NO_HOLDER, "the holder is silent"
                )
            inbox_module.resolve(action.token, reply)

        self._submit(
            action.address,
            action.timeout,
            finish,
            "ensure_adapter",
            action.target,
            action.adapter,
            action.timeout.total_seconds(),
        )

    def stop(self) -> None:
        """Drops queued calls, waits for running ones, closes connections."""
        self._pool.shutdown(cancel_futures=True)
        for client in self._clients.values():
            client.close()

    def _submit(
        self,
        address: str,
        timeout: datetime.timedelta,
        finish: Callable[[Any], None],
        method: str,
        *arguments: Any,
    ) -> None:
        if not self._free.acquire(blocking=False):
            _log.warning("%s at %s dropped: too many calls", method, address)
            finish(None)
            return

        def run() -> None:
            result = None
            try:
                result = self._call(address, method, arguments, timeout)
            except exceptions.QuetzalgaugeError as error:
                _log.debug("%s", error)
            except Exception:
                _log.exception("%s at %s failed", method, address)
            finally:
                self._free.release()
                finish(result)

        self._pool.submit(run)

    def _call(
        self,
        address: str,
        method: str,
        arguments: tuple[Any, ...],
        timeout: datetime.timedelta,
    ) -> Any:
        client = self._client(address)
        result = client.call(method, *arguments, timeout=timeout)
        if method != "demand":
            wire.require_complete(result)
        return result

    def _client(self, address: str) -> wire.Client:
        with self._lock:
            client = self._clients.pop(address, None)
            if client is None:
                client = wire.Client(Peer, address, tls=self._tls)
            self._clients[address] = client
            if len(self._clients) > _MAX_CLIENTS:
                oldest = next(iter(self._clients))
                self._clients.pop(oldest).close()
        return client
