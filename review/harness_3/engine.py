"""A model server as a process of its own.

    python3 -m review.harness_3.engine FILE

FILE is a JSON object with `id`, `port`, `model_size`, `adapter_slots`,
`models` (name to `size`, `disk_s`, `load_s`), `loaded`, `on_disk` and `log`.
Answers of `unframed_tokens` or more have no length and end with their channel.

It starts with the models in `loaded` and `seq` 0. Orders, reports and runs
follow the page on the protocol. Each order and each run is a line of the log.
An order that asks for more than `model_size` or `adapter_slots` hold makes it
crash, as the page says.
"""

import http.server
import json
import os
import pathlib
import socketserver
import sys
import threading
import time
from typing import Any

REPORT_LAG_S = 0.1
EVENT_TOKENS = 6
EVENT_S = 0.03
UNLOAD_S = 0.05


class Engine:
    """What the server holds, and the orders that it carries out."""

    def __init__(self, row: dict[str, Any]) -> None:
        self.id = row["id"]
        self.unframed_tokens = row.get("unframed_tokens", 10**9)
        self.born = int(time.time() * 1000)
        self._row = row
        self._lock = threading.Lock()
        self.log_path = pathlib.Path(row["log"])
        self._loaded: dict[str, set[str]] = {
            name: set() for name in row["loaded"]
        }
        self._on_disk = list(row["on_disk"])
        self._in_memory: list[str] = []
        # Runs by model, and by model and adapter.
        self._running: dict[str, int] = {}
        # Adapters that are dropped once their runs have ended.
        self._leaving: set[str] = set()
        self._seq = 0
        self._busy = False
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self.record("started", loaded=row["loaded"])
        self._note()

    def record(self, event: str, **fields: Any) -> None:
        """Writes a line of the log."""
        line = {"at": round(time.time(), 3), "event": event, **fields}
        line["born"] = self.born
        with self.log_path.open("a", encoding="utf-8") as log:
            log.write(json.dumps(line) + "\n")

    def _note(self) -> None:
        """Keeps the state for reports, which are some 100 ms old."""
        self._reports.append(
            (
                time.monotonic(),
                {
                    "stage": "both",
                    "models": [
                        {"name": name, "version": 1, "adapters": sorted(names)}
                        for name, names in self._loaded.items()
                    ],
                    "busy": self._busy,
                    "seq": self._seq,
                    "queued": 0,
                    "running": sum(
                        count
                        for key, count in self._running.items()
                        if "/" not in key
                    ),
                    "kv_used": 0,
                    "kv_total": 122_880,
                    "handles": 0,
                    "coming": [],
                    "born": self.born,
                    "at_hand": {
                        "in_memory": list(self._in_memory),
                        "on_disk": list(self._on_disk),
                    },
                },
            )
        )
        del self._reports[:-200]

    def report(self) -> dict[str, Any]:
        """Returns a report."""
        latest = time.monotonic() - REPORT_LAG_S
        with self._lock:
            rows = [row for at, row in self._reports if at <= latest]
            return rows[-1] if rows else self._reports[0][1]

    def describe(self) -> dict[str, Any]:
        """Returns what the entry in the store says of the models."""
        with self._lock:
            row = self._reports[-1][1]
        return {key: row[key] for key in ("stage", "models", "at_hand", "born")}

    def order(self, row: dict[str, Any], sender: str) -> int:
        """Carries out an order; returns the status."""
        with self._lock:
            seq = self._seq
            status = self._decide(row)
            self.record(
                "order",
                status=status,
                seq=seq,
                sender=sender,
                order=row,
                holds={k: sorted(v) for k, v in self._loaded.items()},
            )
            return status

    def _decide(self, row: dict[str, Any]) -> int:
        if "holder" not in row or "fencing_token" not in row:
            return 400
        is_in_progress = self._busy or bool(self._leaving)
        if is_in_progress or row.get("expect", self._seq) != self._seq:
            return 409
        model, adapter = row["model"], row.get("adapter")
        if model not in self._row["models"]:
            return 400
        is_load = row["operation"] == "load"
        if adapter is not None:
            return self._decide_adapter(is_load, model, adapter)
        if is_load == (model in self._loaded):
            return 200
        self._seq += 1
        if is_load:
            self._check_memory(model)
        self._busy = True
        spec = self._row["models"][model]
        seconds = spec["disk_s"] if model in self._on_disk else spec["load_s"]
        self._note()
        threading.Thread(
            target=self._finish,
            args=(model, is_load, seconds if is_load else UNLOAD_S),
            daemon=True,
        ).start()
        return 202

    def _decide_adapter(self, is_load: bool, model: str, adapter: str) -> int:
        names = self._loaded.get(model)
        if names is None:
            return 400
        if is_load == (adapter in names):
            return 200
        self._seq += 1
        key = f"{model}/{adapter}"
        if is_load:
            names.add(adapter)
            held = sum(map(len, self._loaded.values()))
            if held > self._row["adapter_slots"]:
                self._crash(f"{held} adapters")
        elif self._running.get(key):
            self._leaving.add(key)
        else:
            names.discard(adapter)
        self._note()
        return 202 if is_load or key in self._leaving else 200

    def _check_memory(self, model: str) -> None:
        sizes = self._row["models"]
        total = sum(sizes[name]["size"] for name in {*self._loaded, model})
        if total > self._row["model_size"]:
            self._crash(
                f"{sorted({*self._loaded, model})} take {total} of"
                f" {self._row['model_size']}"
            )

    def _crash(self, why: str) -> None:
        self.record("LIMIT", why=why, seq=self._seq)
        os._exit(3)

    def _finish(self, model: str, is_load: bool, seconds: float) -> None:
        time.sleep(seconds)
        while True:
            with self._lock:
                if is_load or not self._running.get(model):
                    if is_load:
                        self._loaded[model] = set()
                        self._in_memory = [model]
                        if model not in self._on_disk:
                            self._on_disk.append(model)
                    else:
                        self._loaded.pop(model, None)
                    self._busy = False
                    self._note()
                    return
            time.sleep(0.02)

    def begin_run(self, model: str) -> bool:
        """Begins a run; returns whether the model and adapter are there."""
        name, _, adapter = model.partition("/")
        with self._lock:
            names = self._loaded.get(name)
            if (
                names is None
                or (adapter and adapter not in names)
                or model in self._leaving
            ):
                return False
            for key in {name, model}:
                self._running[key] = self._running.get(key, 0) + 1
            return True

    def end_run(self, model: str) -> None:
        """Ends a run."""
        name, _, adapter = model.partition("/")
        with self._lock:
            for key in {name, model}:
                self._running[key] -= 1
            if model in self._leaving and not self._running[model]:
                self._leaving.remove(model)
                self._loaded[name].discard(adapter)
                self._note()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    engine: Engine

    def log_message(self, format: str, *args: Any) -> None:
        """Writes nothing."""

    def _reply(
        self, status: int, row: Any, headers: dict[str, str] | None = None
    ) -> None:
        body = json.dumps(row).encode()
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _handle(self) -> None:
        engine = self.engine
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        request_id = self.headers.get("Request-Id", "")
        rejection = {
            "Not-Run": "1",
            "Instance-Id": engine.id,
            "Request-Id": request_id,
        }
        if self.headers.get("Expect-Instance", engine.id) != engine.id:
            self._reply(421, {}, rejection)
        elif self.path == "/report":
            self._reply(200, engine.report())
        elif self.path == "/standin/entry":
            self._reply(200, engine.describe())
        elif self.path == "/order":
            sender = self.headers.get("Sent-Late", "at once")
            self._reply(engine.order(json.loads(body), sender), {})
        elif not engine.begin_run(self.headers.get("Model", "")):
            self._reply(421, {}, rejection)
        else:
            try:
                self._stream(request_id)
            finally:
                engine.end_run(self.headers.get("Model", ""))

    def _stream(self, request_id: str) -> None:
        self.engine.record(
            "run", request=request_id, model=self.headers.get("Model")
        )
        self.send_response(200)
        self.send_header("Request-Id", request_id)
        self.send_header("Response-Stamp", f"{self.engine.id}.{request_id}")
        self.send_header("Weight-Versions", "1")
        self.send_header("Content-Type", "text/event-stream")
        tokens = int(self.headers.get("Token-Counts", "1,30").split(",")[1])
        # A long answer has no length and ends with its channel.
        has_chunks = tokens < self.engine.unframed_tokens
        if has_chunks:
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.send_header("Connection", "close")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, max(1, tokens // EVENT_TOKENS) + 1):
            time.sleep(EVENT_S)
            data = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            if has_chunks:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            self.wfile.write(data)
        if has_chunks:
            self.wfile.write(b"0\r\n\r\n")

    do_GET = do_POST = _handle  # noqa: N815


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def server_bind(self) -> None:
        """Binds the address without looking up its name."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores callers that have left."""


def main() -> None:
    """Runs the server until it is killed."""
    row = json.loads(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8"))
    handler = type("Handler", (_Handler,), {"engine": Engine(row)})
    _Server(("127.0.0.1", row["port"]), handler).serve_forever()


if __name__ == "__main__":
    main()
