"""The process of an instance: the owner task of the core and its surroundings.

Each task owns its sockets and its state; they talk by queues. The owner task
alone touches the core.
"""

import datetime
import os
import pathlib
import queue
import random
import signal
import sys
import threading
from typing import Any

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge.core import configuration
from quetzalgauge.core import gateway
from quetzalgauge.core import log_events
from quetzalgauge.core import node
from quetzalgauge.core import orders
from quetzalgauge.core import requests
from quetzalgauge.node import callerwatch
from quetzalgauge.node import followers
from quetzalgauge.node import journal
from quetzalgauge.node import links
from quetzalgauge.node import listener
from quetzalgauge.node import meters
from quetzalgauge.node import ordering
from quetzalgauge.node import seating
from quetzalgauge.node import settings
from quetzalgauge.node import status
from quetzalgauge.node import tasks
from quetzalgauge.node import upstream
from quetzalgauge.node import worker
from quetzalgauge.platform import config as platform_config
from quetzalgauge.platform import ingress
from quetzalgauge.platform import register
from quetzalgauge.platform import seats

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

# The platform sends callers for up to 3 s after an instance has ceased to be
# ready (two questions, one a second).
SHORTEST_DRAIN = datetime.timedelta(seconds=3)
# What is left in progress is cut this long before the process is killed.
STOP_MARGIN = datetime.timedelta(milliseconds=900)
# Callers get an answer for what is cut within this time.
CUT_TIME = datetime.timedelta(milliseconds=400)
# The store is told within this time that the zone is given up.
LEAVE_TIME = datetime.timedelta(milliseconds=300)
# How often the settings file is looked at; it may change without a signal.
SETTINGS_INTERVAL_SECONDS = 2.0
# Threads for callers: each request in progress holds one.
MAX_THREADS = 400
RESERVED_THREADS = 16
THREAD_STACK_BYTES = 256 * 1024
METERS_INTERVAL = datetime.timedelta(seconds=1)
DUMP_TIMEOUT_SECONDS = 2.0
_ZERO = datetime.timedelta()


class _DumpWanted:
    def __init__(self) -> None:
        self.answer: queue.SimpleQueue[dict[str, Any]] = queue.SimpleQueue()


class _Stop:
    """The owner task is to end."""


class Process:
    """A running instance.

    Args:
        config: The settings.
        path: The settings file.

    Raises:
        OSError: An address cannot be bound.
    """

    def __init__(self, config: settings.Settings, path: pathlib.Path) -> None:
        self._config = config
        self._path = path
        self._now = clock.make_boottime_clock()
        self._log = journal.Journal(self._now)
        self._meters = meters.Meters()
        self._inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._calls: dict[int, worker.ActiveRequest] = {}
        self._stopped = threading.Event()
        self._drain_began: datetime.timedelta | None = None
        self._is_cut = False
        self._leave_by: datetime.timedelta | None = None
        self._meters_at = _ZERO
        self._limits_version = -1
        self._hang_up = threading.Event()
        machine = f"{config.instance}@{config.listen.host}"
        self._node = node.Node(
            node.Identity(
                config.instance,
                machine,
                config.availability_zone,
                str(config.link_listen),
            ),
            _make_limits(config),
            config.lease,
            random.Random(),
            self._now(),
        )
        self._watch = callerwatch.DisconnectWatcher(
            lambda token: self._tell(requests.CallerDisconnected(token))
        )
        self._server = listener.Server(
            (config.listen.host, config.listen.port),
            self._caller_limits,
            MAX_THREADS,
            worker.make_request_handler(
                worker.WorkerContext(
                    self._now,
                    self._tell,
                    self._calls,
                    self._watch,
                    upstream.UpstreamClient(self._now),
                    self._meters,
                    lambda: self._node.is_draining,
                )
            ),
            lambda number, text: self._meters.count_refusal(
                "bad_request", number
            ),
        )
        self._links = links.Links(
            (config.link_listen.host, config.link_listen.port),
            self._tell,
            self._now,
        )
        self._order = ordering.make_ordering(
            machine,
            self._tell,
            self._now,
            self._log,
            self._meters,
            self._fail,
        )
        self._renewal = followers.Renewal()
        self._seating = tasks.Task(
            "seat",
            seating.make_seating(
                str(config.store),
                self._tell,
                self._now,
                self._log,
                self._renewal.renew,
            ),
            lambda: None,
            self._fail,
        )

    # ---- Start and end

    def start(self) -> None:
        """Listens and starts all tasks."""
        config = self._config
        self._log.take_logging()
        self._log.write(
            "start",
            {
                "instance": config.instance,
                "zone": config.availability_zone,
                "listen": str(config.listen),
                "pid": os.getpid(),
            },
        )
        self._server.prepare()
        for name, task in (
            ("journal", self._log.run),
            ("owner", self._run_owner),
            ("watch", self._watch.run),
            ("links", self._links.run),
            ("callers", self._server.serve),
            ("settings", self._watch_settings),
        ):
            tasks.start_thread(name, task, self._fail)
        self._start_followers()
        status.StatusServer(
            (config.ready_listen.host, config.ready_listen.port),
            {
                ingress.READY_PATH: lambda: status.make_health_response(
                    self._node.is_ready
                )
            },
        ).start_serving("ready")
        status.StatusServer(
            (config.operator_listen.host, config.operator_listen.port),
            {
                "/healthz": lambda: status.make_health_response(True),
                "/readyz": lambda: status.make_health_response(
                    self._node.is_ready
                ),
                "/metrics": lambda: status.Response(
                    200, self._meters.text(), meters.CONTENT_TYPE
                ),
                "/dump": self._dump_page,
            },
            threads=2,
        ).start_serving("operators")

    def _start_followers(self) -> None:
        store = str(self._config.store)
        for topic, interval, use in (
            (
                platform_config.TOPIC,
                _ZERO,
                followers.make_configuration_user(
                    self._tell, self._log, self._meters
                ),
            ),
            (
                register.TOPIC,
                followers.REGISTER_INTERVAL,
                followers.make_register_user(
                    self._tell, self._log, self._meters
                ),
            ),
            (
                seats.TOPIC,
                _ZERO,
                followers.make_holders_user(
                    self._tell, self._log, self._meters
                ),
            ),
        ):

            def run(
                topic: str = topic,
                interval: datetime.timedelta = interval,
                use: Any = use,
            ) -> None:
                followers.follow(
                    topic,
                    store,
                    interval,
                    use,
                    self._now,
                    self._log,
                    self._renewal,
                )

            tasks.start_thread(f"follow-{topic}", run, self._fail)

    def drain(self) -> None:
        """Starts the graceful shutdown."""
        limit = self._config.stop_time - STOP_MARGIN
        self._inbox.put(node.DrainRequested(self._now() + limit))

    def reload(self) -> None:
        """Reads the settings file again."""
        self._hang_up.set()

    def wait(self) -> int:
        """Waits for the end; returns the exit status."""
        while not self._stopped.wait(3600.0):
            pass
        self._log.flush()
        return EXIT_OK

    def _fail(self, task: str) -> None:
        """A task has failed, and without it the process is of no use."""
        self._log.write("task_failed", {"task": task})
        self._log.flush()
        os._exit(EXIT_FAILED)

    # ---- The owner task

    def _tell(self, event: Any) -> None:
        self._inbox.put(event)

    def _run_owner(self) -> None:
        while True:
            now = self._now()
            wait = (self._next_due(now) - now).total_seconds()
            try:
                event = self._inbox.get(timeout=max(0.0, wait))
            except queue.Empty:
                event = node.Tick()
            if isinstance(event, _Stop):
                return
            if isinstance(event, _DumpWanted):
                event.answer.put(self._node.dump(self._now()))
                continue
            self._step(event, self._now())

    def _next_due(self, now: datetime.timedelta) -> datetime.timedelta:
        due = min(self._node.next_wakeup_at, now + node.MAX_IDLE_INTERVAL)
        return min(due, self._meters_at)

    def _step(self, event: Any, now: datetime.timedelta) -> None:
        if isinstance(event, node.DrainRequested):
            self._drain_began = self._drain_began or now
        if isinstance(event, requests.RequestEnded):
            self._calls.pop(event.local_id, None)
        for action in self._node.handle_event(event, now):
            self._carry_out(action)
        for note in self._node.take_log_events():
            self._write(note)
        if now >= self._meters_at:
            self._meters_at = now + METERS_INTERVAL
            self._meters.set_load(
                self._node.in_progress_count,
                self._node.waiting_count,
                self._log.total_left_out,
            )
            self._meters.set_models(
                self._node.store_loads,
                self._node.models_without_copy,
                self._node.models_without_orders,
            )
        if isinstance(event, node.ConfigurationRead):
            self._server.apply_limits()
        if self._drain_began is not None:
            self._end_if_drained(now)

    def _carry_out(self, action: Any) -> None:
        match action:
            case node.SetLeaderLink() | node.SendMessage():
                self._links.put(action)
            case orders.SendOrder() | orders.FetchStatus():
                self._order(action)
            case requests.CancelAttempt():
                call = self._calls.get(action.local_id)
                if call is not None:
                    call.attempt.cancel(action.failure)
            case (
                requests.Send()
                | requests.Relay()
                | requests.Refuse()
                | requests.Abort()
            ):
                call = self._calls.get(action.local_id)
                if call is not None:
                    call.put(action)
            case _:
                self._seating.send(action)

    def _write(self, note: log_events.LogEvent) -> None:
        self._log.write(note.name, note.fields)

    def _end_if_drained(self, now: datetime.timedelta) -> None:
        assert self._drain_began is not None
        elapsed = now - self._drain_began
        limit = self._config.stop_time - STOP_MARGIN
        if elapsed >= limit and not self._is_cut:
            self._is_cut = True
            self._log.write(
                "cut_off", {"requests": self._node.in_progress_count}
            )
            for action in self._node.abort_requests(now):
                self._carry_out(action)
        is_idle = elapsed >= SHORTEST_DRAIN and not self._node.in_progress_count
        if (is_idle or self._is_cut) and self._leave_by is None:
            self._leave_by = now + LEAVE_TIME
            for action in self._node.resign():
                self._carry_out(action)
        if self._leave_by is None:
            return
        has_left = self._node.has_resigned or now >= self._leave_by
        if (is_idle and has_left) or elapsed >= limit + CUT_TIME:
            self._log.write("stop", {"requests": self._node.in_progress_count})
            self._stopped.set()

    # ---- Settings, limits and dumps

    def _caller_limits(self) -> configuration.CallerLimits:
        config = self._node.config
        return config.limits if config else configuration.CallerLimits()

    def _watch_settings(self) -> None:
        """Reads the settings file again after a signal or a change."""
        seen = _modified(self._path)
        while True:
            signalled = self._hang_up.wait(SETTINGS_INTERVAL_SECONDS)
            self._hang_up.clear()
            current = _modified(self._path)
            if current == seen and not signalled:
                continue
            seen = current
            self._use_new_settings()

    def _use_new_settings(self) -> None:
        try:
            found = settings.load(self._path)
        except exceptions.FindingsError as error:
            self._log.write("reload_failed", {"findings": list(error.findings)})
            return
        self._log.write("reload", {"changed": found != self._config})
        self._tell(node.LimitsChanged(_make_limits(found)))

    def _dump_page(self) -> status.Response:
        wanted = _DumpWanted()
        self._inbox.put(wanted)
        try:
            return status.make_json_response(
                wanted.answer.get(timeout=DUMP_TIMEOUT_SECONDS)
            )
        except queue.Empty:
            return status.Response(503, b"the owner task is busy")


def _make_limits(config: settings.Settings) -> gateway.Limits:
    return gateway.Limits(
        MAX_THREADS - RESERVED_THREADS,
        config.retry_ratio,
        config.retry_slack,
        config.retry_window,
    )


def _modified(path: pathlib.Path) -> tuple[int, int]:
    try:
        found = path.stat()
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)


def run(path: pathlib.Path) -> int:
    """Runs an instance until it is stopped; returns the exit status."""
    threading.stack_size(THREAD_STACK_BYTES)
    try:
        config = settings.load(path)
    except exceptions.FindingsError as error:
        print(error, file=sys.stderr, flush=True)
        return EXIT_USAGE
    try:
        process = Process(config, path)
        process.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr, flush=True)
        return EXIT_FAILED
    signal.signal(signal.SIGTERM, lambda number, frame: process.drain())
    signal.signal(signal.SIGINT, lambda number, frame: process.drain())
    signal.signal(signal.SIGHUP, lambda number, frame: process.reload())
    return process.wait()
