"""TCP relay: forwards ports and can cut or freeze connections.

`POST /standin/relay` takes `{"action": ACTION, "prefix": NAME_PREFIX}` for all
forwards whose name has the prefix:

- `freeze`: the open connections go silent for good; new ones work.
- `cut`: the open connections are reset.
- `partition`: nothing passes on any connection until `heal`.
- `refuse`: the open connections are reset, and so are new ones until `heal`.
- `heal`: ends `partition` and `refuse`.

`POST /standin/forwards` adds a forward and `GET /standin/forwards` lists them.
"""

import contextlib
import dataclasses
import socket
import struct
import threading
import time
from typing import Any

import pydantic

from quetzalgauge import settings
from quetzalgauge import standin_http
from quetzalgauge import standin_settings

_BUFFER_BYTES = 65536
_POLL_SECONDS = 0.02
_CONNECT_TIMEOUT_SECONDS = 5
_LISTEN_BACKLOG = 512
# On close, the connection is reset instead of being shut down.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True, eq=False)
class _Pair:
    """A caller's connection and the one to the forward's target."""

    caller: socket.socket
    target: socket.socket
    is_frozen: bool = False
    open_directions: int = 2


class _ForwardState:
    def __init__(self, forward: standin_settings.Forward) -> None:
        self.name = forward.name
        self.target = forward.target
        self.listener = socket.create_server(
            (forward.listen.host, forward.listen.port), backlog=_LISTEN_BACKLOG
        )
        host, port = self.listener.getsockname()
        self.address = settings.Address(host=host, port=port)
        self.lock = threading.Lock()
        self.pairs: set[_Pair] = set()
        self.is_partitioned = False
        self.is_refusing = False
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(
                target=self._connect, args=(caller,), daemon=True
            ).start()

    def _connect(self, caller: socket.socket) -> None:
        while self.is_partitioned:
            time.sleep(_POLL_SECONDS)
        try:
            if self.is_refusing:
                raise ConnectionRefusedError
            target = socket.create_connection(
                (self.target.host, self.target.port), _CONNECT_TIMEOUT_SECONDS
            )
        except OSError:
            _reset(caller)
            caller.close()
            return
        target.settimeout(None)
        for end in (caller, target):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(caller, target)
        with self.lock:
            self.pairs.add(pair)
        for source, sink in ((caller, target), (target, caller)):
            threading.Thread(
                target=self._pump, args=(pair, source, sink), daemon=True
            ).start()

    def _pump(
        self, pair: _Pair, source: socket.socket, sink: socket.socket
    ) -> None:
        try:
            while data := source.recv(_BUFFER_BYTES):
                self._hold(pair)
                sink.sendall(data)
            self._hold(pair)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.drop(pair, is_reset=True)
        with self.lock:
            pair.open_directions -= 1
            is_done = pair.open_directions == 0
        if is_done:
            self.drop(pair, is_reset=False)

    def _hold(self, pair: _Pair) -> None:
        while pair.is_frozen or self.is_partitioned:
            if pair not in self.pairs:
                raise ConnectionResetError
            time.sleep(_POLL_SECONDS)

    def drop(self, pair: _Pair, is_reset: bool) -> None:
        """Closes both connections of a pair."""
        with self.lock:
            self.pairs.discard(pair)
        for end in (pair.caller, pair.target):
            if is_reset:
                _reset(end)
            end.close()

    def apply(self, action: str) -> None:
        """Carries out an action of the control path."""
        with self.lock:
            pairs = list(self.pairs)
        if action == "freeze":
            for pair in pairs:
                pair.is_frozen = True
        if action in ("cut", "refuse"):
            for pair in pairs:
                self.drop(pair, is_reset=True)
        if action == "partition":
            self.is_partitioned = True
        if action == "refuse":
            self.is_refusing = True
        if action == "heal":
            self.is_partitioned = self.is_refusing = False

    def describe(self) -> dict[str, Any]:
        """Returns the forward's addresses and counts."""
        return {
            "name": self.name,
            "listen": str(self.address),
            "target": str(self.target),
            "accepted": self.accepted,
            "open": len(self.pairs),
        }


_ACTIONS = ("freeze", "cut", "partition", "refuse", "heal")


def _reset(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        # Wakes a thread that waits for data of this connection.
        end.shutdown(socket.SHUT_RDWR)


class Relay:
    """All forwards of one relay process."""

    def __init__(self, config: standin_settings.RelaySettings) -> None:
        self._forwards = [_ForwardState(entry) for entry in config.forwards]
        self._server = standin_http.Server(
            config.listen, config.threads, self.handle, self.counts
        )

    @property
    def server(self) -> standin_http.Server:
        """The HTTP server of the control path."""
        return self._server

    def counts(self) -> dict[str, Any]:
        """Returns the forwards with their connection counts."""
        return {"forwards": [entry.describe() for entry in self._forwards]}

    def handle(self, request: standin_http.Request) -> standin_http.Response:
        """Answers a call of the control path."""
        try:
            if request.path == "/standin/relay" and request.method == "POST":
                return self._act(request.json())
            if request.path == "/standin/forwards":
                return self._handle_forwards(request)
        except (ValueError, KeyError, pydantic.ValidationError) as error:
            return standin_http.make_json_response(400, {"message": str(error)})
        return standin_http.make_json_response(404, {"code": "not_found"})

    def _act(self, body: dict[str, Any]) -> standin_http.Response:
        action, prefix = body["action"], body.get("prefix", "")
        if action not in _ACTIONS:
            raise ValueError(f"unknown action {action!r}")
        found = [f for f in self._forwards if f.name.startswith(prefix)]
        for forward in found:
            forward.apply(action)
        return standin_http.make_json_response(
            200, {"forwards": [forward.name for forward in found]}
        )

    def _handle_forwards(
        self, request: standin_http.Request
    ) -> standin_http.Response:
        if request.method == "POST":
            entry = standin_settings.Forward.model_validate_json(request.body)
            self._forwards.append(_ForwardState(entry))
            return standin_http.make_json_response(
                200, self._forwards[-1].describe()
            )
        return standin_http.make_json_response(200, self.counts())
