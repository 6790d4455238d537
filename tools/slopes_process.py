"""Measures one real control process against the number of control processes.

The process runs with the log and instance list stand-ins and with model
engines that only answer. Renewals of the other processes of the region are
written into the log at their real rate. Relays count the bytes of each part.
"""

import base64
import contextlib
import dataclasses
import datetime
import json
import os
import pathlib
import random
import socket
import tempfile
import threading
import time

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import leases
from quetzalgauge import loopback
from quetzalgauge import records
from quetzalgauge import standin_http
from quetzalgauge import standin_instances
from quetzalgauge import standin_log
from quetzalgauge import standin_settings
from quetzalgauge import wire
from quetzalgauge.gen import Control
from quetzalgauge.gen import ttypes

REGION = "uy-south"
ZONE = "zone-0"
DECISIONS = ids.decision_stream(ids.Region(REGION))
TARGET_BYTES = 640 * 1024**3
RESERVATIONS = 8
ADAPTERS_ON_MODEL = 3
MODELS = 250
LOADED_MODELS = 80
ADAPTERS_PER_TICKET = 1000
WARM_UP_SECONDS = 22.0
MEASURED_SECONDS = 12.0
_SYNC_TIMEOUT = datetime.timedelta(seconds=10)
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_PARTS = ("log", "list", "targets", "sync")


@dataclasses.dataclass
class Count:
    """Bytes in both directions of one part."""

    sent: int = 0
    received: int = 0

    @property
    def total(self):
        """Bytes in both directions."""
        return self.sent + self.received


class Meter:
    """Forwards one port and counts the payload bytes."""

    def __init__(self, address, count):
        host, port = address.rsplit(":", 1)
        self._target = (host, int(port))
        self._count = count
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target)
                for pair in ((near, far, "sent"), (far, near, "received")):
                    threading.Thread(
                        target=self._copy, args=pair, daemon=True
                    ).start()

    def _copy(self, source, sink, name):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                setattr(
                    self._count, name, getattr(self._count, name) + len(data)
                )
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)


class Engine:
    """A model engine that takes every order and only answers."""

    def __init__(self, name):
        self.name = name
        self._fencing = -1
        self._models = {}
        config = standin_settings.StandinSettings(threads=4)
        self.server = standin_http.Server(
            config.listen, config.threads, self._handle, dict
        )
        self.server.start()

    @property
    def loaded(self):
        """Number of models that are loaded."""
        return len(self._models)

    def _handle(self, request):
        if request.method == "GET":
            return standin_http.make_json_response(200, self._status())
        order = request.json()
        self._fencing = max(self._fencing, order["fencing_number"])
        if order["action"] == "load":
            self._models[order["slot"]] = order
        elif order["action"] == "unload":
            self._models.pop(order["slot"], None)
        return standin_http.make_json_response(
            200, {"order_id": order["order_id"]}
        )

    def _status(self):
        models = [
            {
                "model": order["model"],
                "version": order["version"],
                "state": "ready",
                "slot": slot,
                "order_id": order["order_id"],
                "bytes": order["bytes"],
                "running": 3,
                "waiting": 0,
                "ready_in_s": 0.0,
                "adapters": [
                    f"adapter-{index:06}" for index in range(ADAPTERS_ON_MODEL)
                ],
                "adapters_loading": [],
            }
            for slot, order in self._models.items()
        ]
        return {
            "target": self.name,
            "incarnation": "8f3a1c",
            "draining": False,
            "fencing_number": self._fencing,
            "checks_fencing": True,
            "accelerator_memory_bytes": TARGET_BYTES,
            "used_bytes": sum(row["bytes"] for row in models),
            "models": models,
            "cached": {
                f"{row['model']}@{row['version']}": "memory" for row in models
            },
            "last_orders": [],
            "load_as_of_s": 0.8,
        }

    def entry(self):
        """Returns the entry of the instance list."""
        return _listed(
            self.name,
            "target",
            ZONE,
            address=str(self.server.address),
            incarnation="8f3a1c",
            service="palomar-lm",
            accelerator_memory_bytes=TARGET_BYTES,
            accelerators=8,
            checks_fencing=True,
        )


def _listed(name, kind, zone, region=REGION, **fields):
    return standin_settings.ListedInstance(
        instance=name,
        kind=kind,
        availability_zone=zone,
        region=region,
        **fields,
    )


class Writers:
    """The other control processes of the region, as far as the log sees."""

    def __init__(self, log, processes):
        self._log = log
        self._sequences = [0] * processes
        self._stopping = threading.Event()

    def append(self, node, body):
        """Appends one record of a writer."""
        self._sequences[node] += 1
        writer = ids.WriterId(ids.InstanceId(f"node-{node:03}"), 1)
        envelope = records.Envelope(writer, self._sequences[node], body)
        append(self._log, DECISIONS, [records.encode(envelope)])

    def run(self):
        """Renews until stopped, each writer at its own time."""
        interval = leases.RENEW_INTERVAL.total_seconds()
        count = len(self._sequences) - 1
        if not count:
            return
        threading.Thread(
            target=self._run, args=(interval / count,), daemon=True
        ).start()

    def _run(self, pause):
        node = 0
        while not self._stopping.wait(pause):
            node = node % (len(self._sequences) - 1) + 1
            self.append(node, records.Renew())

    def stop(self):
        """Ends the renewals."""
        self._stopping.set()


def append(log, stream, rows):
    """Appends encoded records by a call of the stand-in's handler."""
    text = [records_base64(row) for row in rows]
    request = standin_http.Request(
        "POST",
        f"/streams/{stream}/records",
        {},
        {},
        json.dumps({"records": text}).encode(),
    )
    assert log.handle(request).status == 200


def records_base64(row):
    """Returns the text form of a record in the log's protocol."""
    return base64.b64encode(row).decode()


def _model(index):
    # Enough models are kept loaded to fill the targets of every case.
    least = int(index < LOADED_MODELS)
    versions = {"v1": {"checkpoint": "c", "memory_mib": 75_000}}
    return {
        "versions": versions,
        "default_version": "v1",
        "availability_zones": {
            ZONE: {"max_replicas": 1, "min_replicas": least}
        },
    }


def tickets(adapters):
    """Returns texts of tickets with 250 models and a number of adapters."""
    names = [f"model-{index:03}" for index in range(MODELS)]
    models = {name: _model(index) for index, name in enumerate(names)}
    yield json.dumps({"ticket": 1, "models": models})
    generator = random.Random(1)
    for first in range(0, adapters, ADAPTERS_PER_TICKET):
        last = min(adapters, first + ADAPTERS_PER_TICKET)
        part = {
            f"adapter-{index:06}": {
                "model": generator.choice(names),
                "memory_mib": 20,
            }
            for index in range(first, last)
        }
        number = 2 + first // ADAPTERS_PER_TICKET
        yield json.dumps({"ticket": number, "adapters": part})


def _start_log(processes, adapters):
    settings = standin_settings.LogSettings(threads=8, appends_per_second=1e6)
    log = standin_log.Log(settings)
    log.server.start()
    for number, text in enumerate(tickets(adapters), 1):
        body = records.Ticket(ids.TicketNumber(number), text)
        writer = ids.WriterId(ids.InstanceId("operator"), 1)
        envelope = records.Envelope(writer, number, body)
        append(log, ids.CONFIG_STREAM, [records.encode(envelope)])
    writers = Writers(log, processes)
    for node in range(1, processes):
        zone = f"zone-{node // 28}"
        writers.append(node, records.Register(zone, f"10.0.0.{node}:7100"))
    return log, writers


def _start_list(engines, others):
    """Lists the engines, and others in the own and in three other regions."""
    rows = [engine.entry() for engine in engines]
    rows += [
        _listed(
            f"server-{index:05}",
            "target",
            f"zone-{1 + index % 3}",
            REGION if index % 4 == 0 else f"region-{index % 4}",
            address=f"10.1.{index // 250}.{index % 250}:7100",
            incarnation="8f3a1c",
            service="palomar-lm",
            accelerator_memory_bytes=TARGET_BYTES,
            accelerators=8,
            checks_fencing=True,
        )
        for index in range(others)
    ]
    settings = standin_settings.InstanceListSettings(instances=rows)
    part = standin_instances.InstanceList(settings, lambda: settings)
    part.server.start()
    return part


def _sync_forever(address, stopping):
    client = wire.Client(Control, address)
    routes, known = 0, 0
    while not stopping.is_set():
        demands = [
            ttypes.Demand(
                model=f"model-{index:03}",
                version="v1",
                waiting=0,
                running=1,
                oldest_wait_s=0.0,
                priority=5,
                origin="node-000-0",
            )
            for index in range(20)
        ]
        report = ttypes.EntryReport(
            "node-000-0", routes, known, demands, {}, [], False
        )
        try:
            update = client.call("sync", report, timeout=_SYNC_TIMEOUT)
        except exceptions.PeerError:
            return
        routes, known = update.routes_version, update.catalog_version


def _cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS


def _resident_mb(pid, name="VmRSS"):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in status.splitlines() if name in row)
    return int(line.split()[1]) / 1024


def measure(processes, targets, adapters, others=0):
    """Returns a row of costs of one control process.

    Args:
        processes: Control processes of the region.
        targets: Targets that the process holds.
        adapters: Adapters in the configuration.
        others: Further entries of the instance list, a quarter of them in the
            own region.
    """
    counts = {name: Count() for name in _PARTS}
    engines = [Engine(f"lm-{index}") for index in range(targets)]
    log, writers = _start_log(processes, adapters)
    instances = _start_list(engines, others)
    relays = {
        "log": Meter(str(log.server.address), counts["log"]),
        "list": Meter(str(instances.server.address), counts["list"]),
    }
    for engine in engines:
        meter = Meter(str(engine.server.address), counts["targets"])
        entry = engine.entry().model_copy(update={"address": meter.address})
        request = standin_http.Request(
            "POST",
            "/standin/register",
            {},
            {},
            entry.model_dump_json().encode(),
        )
        assert instances.handle(request).status == 200
    stopping = threading.Event()
    with tempfile.TemporaryDirectory() as folder:
        control = _make_control(pathlib.Path(folder), relays)
        started = time.monotonic()
        control.start()
        try:
            row = {"processes": processes, "targets": targets}
            row |= {"adapters": adapters}
            row["ready s"] = time.monotonic() - started
            writers.run()
            sync = Meter(control.addresses["control_listen"], counts["sync"])
            threading.Thread(
                target=_sync_forever, args=(sync.address, stopping), daemon=True
            ).start()
            return row | _watch(
                control._child.pid,
                counts,
                log,
                lambda: sum(e.loaded for e in engines),
            )
        finally:
            stopping.set()
            writers.stop()
            control.end()


def _make_control(folder, relays):
    any_port = {"host": "127.0.0.1", "port": 0}
    values = {
        "instance": "node-000",
        "availability_zone": ZONE,
        "region": REGION,
        "control_listen": any_port,
        "peer_listen": any_port,
        "operator_listen": any_port,
        "log_url": f"http://{relays['log'].address}",
        "instance_list_url": f"http://{relays['list'].address}",
        "warm_checkpoints": False,
    }
    return loopback.Process(folder, "control", ("control",), values)


def _watch(pid, counts, log, engines):
    time.sleep(WARM_UP_SECONDS)
    before = {name: count.total for name, count in counts.items()}
    reads = log.counts()["reads"]
    appends = log.counts()["appends"]
    cpu, start = _cpu_seconds(pid), time.monotonic()
    time.sleep(MEASURED_SECONDS)
    passed = time.monotonic() - start
    row = {"CPU %": (_cpu_seconds(pid) - cpu) / passed * 100}
    row["reads/s"] = (log.counts()["reads"] - reads) / passed
    row["appends/s"] = (log.counts()["appends"] - appends) / passed
    for name, count in counts.items():
        row[f"{name} KB/s"] = (count.total - before[name]) / passed / 1024
    row["all KB/s"] = sum(row[f"{name} KB/s"] for name in counts)
    row["loaded"] = engines()
    row["resident MB"] = _resident_mb(pid)
    row["peak MB"] = _resident_mb(pid, "VmHWM")
    return row
