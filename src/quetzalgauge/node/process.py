"""The process of an instance: the event loop of the core and its I/O tasks.

Each task is a thread that owns its sockets and state. Tasks communicate through
queues; only the event loop accesses the core.
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
from quetzalgauge import ids
from quetzalgauge import logs
from quetzalgauge.core import caller_limits
from quetzalgauge.core import configuration
from quetzalgauge.core import gateway
from quetzalgauge.core import log_events
from quetzalgauge.core import node
from quetzalgauge.core import orders
from quetzalgauge.core import requests
from quetzalgauge.core import version_records
from quetzalgauge.node import allocator
from quetzalgauge.node import buffer_memory
from quetzalgauge.node import disconnect_watcher
from quetzalgauge.node import election_client
from quetzalgauge.node import event_log
from quetzalgauge.node import links
from quetzalgauge.node import listener
from quetzalgauge.node import metrics
from quetzalgauge.node import order_dispatcher
from quetzalgauge.node import overload
from quetzalgauge.node import settings
from quetzalgauge.node import slow_readers
from quetzalgauge.node import status_server
from quetzalgauge.node import store_era
from quetzalgauge.node import tasks
from quetzalgauge.node import topic_consumers
from quetzalgauge.node import upstream
from quetzalgauge.node import version_client
from quetzalgauge.node import worker
from quetzalgauge.platform import config as platform_config
from quetzalgauge.platform import election_store
from quetzalgauge.platform import ingress
from quetzalgauge.platform import registry

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

# The platform routes callers here for up to 3 s after the instance has stopped
# being ready (two readiness probes, one per second).
MIN_DRAIN_TIME = datetime.timedelta(seconds=3)
# Requests still in progress are aborted this long before SIGKILL.
KILL_MARGIN = datetime.timedelta(milliseconds=900)
# Time in which the callers of aborted requests get their response.
ABORT_TIMEOUT = datetime.timedelta(milliseconds=400)
# Time in which connections that may have a request are read when the listener
# closes.
CLOSE_TIMEOUT = datetime.timedelta(milliseconds=200)
# The wait for the reader of the log ends this long before SIGKILL.
FLUSH_MARGIN = datetime.timedelta(milliseconds=400)
# The process exits this long before SIGKILL at the latest.
EXIT_MARGIN = datetime.timedelta(milliseconds=200)
# Interval at which the progress of a graceful shutdown is checked.
STOP_CHECK_INTERVAL = datetime.timedelta(milliseconds=20)
# Time for the calls to the store with which this instance resigns as zone
# leader.
RESIGN_TIMEOUT = datetime.timedelta(milliseconds=300)
# A signal that another thread receives, or that arrives just before the main
# thread waits, is handled when the main thread runs the next time.
SIGNAL_CHECK_SECONDS = 0.1
# The settings file is polled, since it may change without a SIGHUP.
SETTINGS_POLL_SECONDS = 2.0
# Worker threads for callers; each request in progress occupies one.
MAX_THREADS = 400
# Requests in progress may occupy all but this many threads. Further requests
# are refused; these threads send the refusals.
RESERVED_THREADS = 16
THREAD_STACK_BYTES = 256 * 1024
METRICS_INTERVAL = datetime.timedelta(seconds=1)
DUMP_TIMEOUT_SECONDS = 2.0
# Time in which the log is written before the process exits after a failure.
EXIT_TIMEOUT_SECONDS = 2.0
_ZERO = datetime.timedelta()
_log = logs.get_logger("process")


class _DumpRequest:
    """Asks the event loop for a state dump."""

    def __init__(self) -> None:
        self.response: queue.SimpleQueue[dict[str, Any] | None] = (
            queue.SimpleQueue()
        )


class Process:
    """A running instance.

    Args:
        config: The settings.
        path: The settings file.

    Raises:
        OSError: A listening address cannot be bound.
    """

    def __init__(self, config: settings.Settings, path: pathlib.Path) -> None:
        self._settings = config
        self._path = path
        self._now = clock.make_boottime_clock()
        self._log = event_log.EventLog(self._now)
        self._metrics = metrics.Metrics()
        self._inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._active_requests: dict[int, worker.ActiveRequest] = {}
        self._stopped = threading.Event()
        self._drain_started_at: datetime.timedelta | None = None
        self._has_aborted = False
        self._resign_deadline: datetime.timedelta | None = None
        self._next_metrics_at = _ZERO
        self._recent_limits = caller_limits.RecentLimits(config.apply_time)
        # Handlers of signals interrupt each other, so they may take no lock.
        self._reload_requests: queue.SimpleQueue[None] = queue.SimpleQueue()
        # The file may have changed since it was read.
        self._reload_requests.put(None)
        self._descriptors = overload.divide_descriptors(
            config.max_descriptors, MAX_THREADS - RESERVED_THREADS
        )
        machine = f"{config.instance}@{config.listen.host}"
        self._node = node.Node(
            node.Identity(
                config.instance,
                machine,
                config.availability_zone,
                str(config.link_listen),
            ),
            self._make_limits(config),
            config.lease,
            random.Random(),
            self._now(),
            is_first_start=config.is_first_start,
        )
        self._disconnect_watcher = disconnect_watcher.DisconnectWatcher(
            lambda local_id: self._post_event(
                requests.CallerDisconnected(local_id)
            )
        )
        memory = buffer_memory.make_buffer_memory(config.memory_mb)
        self._server = listener.Server(
            (config.listen.host, config.listen.port),
            self._get_caller_limits,
            MAX_THREADS,
            self._descriptors,
            worker.make_request_handler(
                worker.WorkerContext(
                    self._now,
                    self._post_event,
                    self._active_requests,
                    self._disconnect_watcher,
                    upstream.UpstreamClient(
                        self._now,
                        self._post_event,
                        self._descriptors.idle_targets,
                    ),
                    self._metrics,
                    memory,
                    slow_readers.make_slow_readers(
                        self._now,
                        self._descriptors.requests,
                        memory.total_bytes,
                        self._metrics.count_slow_readers,
                    ),
                    lambda: (
                        self._node.is_draining
                        or not self._server.can_add_keepalive_connection
                    ),
                )
            ),
            lambda status_code, message: self._metrics.count_refusal(
                "bad_request", status_code
            ),
            memory,
            self._metrics.count_closed_connection,
            config.body_timeout,
        )
        self._links = links.Links(
            (config.link_listen.host, config.link_listen.port),
            self._post_event,
            self._now,
            lambda: self._metrics.count_invalid_record("message"),
        )
        self._dispatch_order = order_dispatcher.make_order_dispatcher(
            machine,
            self._post_event,
            self._now,
            self._log,
            self._metrics,
            self._exit_on_task_failure,
        )
        check_era = store_era.make_era_check(
            self._begin_era, self._log_rejected_response
        )
        self._poll_interrupter = topic_consumers.LongPollInterrupter(check_era)
        self._election_task = tasks.Task(
            "seat",
            election_client.make_election_handler(
                str(config.store),
                self._post_event,
                self._now,
                self._log,
                self._poll_interrupter.interrupt_older,
                check_era,
            ),
            lambda: None,
            self._exit_on_task_failure,
        )
        # Appends in progress do not delay reads.
        self._versions_task, self._stream_records_task = (
            tasks.Task(
                name,
                version_client.make_version_handler(
                    str(config.store),
                    self._post_event,
                    self._now,
                    self._log,
                    self._metrics,
                    check_era,
                ),
                lambda: None,
                self._exit_on_task_failure,
            )
            for name in ("versions", "stream-records")
        )

    def start(self) -> None:
        """Binds the listeners and starts all tasks."""
        config = self._settings
        self._log.capture_logging()
        self._log.write(
            "start",
            {
                "instance": config.instance,
                "zone": config.availability_zone,
                "listen": str(config.listen),
                "pid": os.getpid(),
                "at": datetime.datetime.now(datetime.UTC).isoformat(
                    timespec="milliseconds"
                ),
            },
        )
        self._server.prepare()
        for name, task in (
            ("journal", self._log.run),
            ("owner", self._run_event_loop),
            ("watch", self._disconnect_watcher.run),
            ("links", self._links.run),
            ("callers", self._server.serve),
            ("settings", self._watch_settings),
        ):
            tasks.start_thread(name, task, self._exit_on_task_failure)
        self._start_consumers()
        status_server.StatusServer(
            (config.operator_listen.host, config.operator_listen.port),
            {
                "/healthz": lambda: status_server.make_health_response(True),
                "/readyz": lambda: status_server.make_health_response(
                    self._node.is_ready
                ),
                "/metrics": lambda: status_server.Response(
                    200, self._metrics.render(), metrics.CONTENT_TYPE
                ),
                "/dump": self._make_dump_response,
            },
            threads=2,
        ).start_serving("operators", self._exit_on_task_failure)
        status_server.StatusServer(
            (config.ready_listen.host, config.ready_listen.port),
            {
                ingress.READY_PATH: lambda: status_server.make_health_response(
                    self._node.is_ready
                )
            },
        ).start_serving("ready", self._exit_on_task_failure)

    def _start_consumers(self) -> None:
        store = str(self._settings.store)
        for topic, min_interval, time_in_force, handle_batch in (
            (
                platform_config.TOPIC,
                _ZERO,
                self._settings.apply_time,
                topic_consumers.make_configuration_handler(
                    self._post_event, self._log, self._metrics
                ),
            ),
            (
                registry.TOPIC,
                topic_consumers.choose_registry_interval(
                    self._settings.drain_time
                ),
                self._settings.drain_time,
                topic_consumers.make_registry_handler(
                    self._post_event, self._log, self._metrics
                ),
            ),
            (
                election_store.TOPIC,
                _ZERO,
                self._settings.lease,
                topic_consumers.make_leader_record_handler(
                    self._post_event, self._log, self._metrics
                ),
            ),
        ):

            def run(
                topic: str = topic,
                min_interval: datetime.timedelta = min_interval,
                time_in_force: datetime.timedelta = time_in_force,
                handle_batch: Any = handle_batch,
            ) -> None:
                topic_consumers.consume_topic(
                    topic,
                    store,
                    min_interval,
                    handle_batch,
                    self._now,
                    self._log,
                    self._poll_interrupter,
                    self._post_event,
                    time_in_force * topic_consumers.SHORT_POLL_SHARE,
                )

            tasks.start_thread(
                f"follow-{topic}", run, self._exit_on_task_failure
            )

    def _begin_era(
        self, previous: ids.StoreEra, era: ids.StoreEra, call: str
    ) -> None:
        """Tells all parts that the store has come back from an older copy."""
        self._metrics.count_era()
        self._post_event(node.EraBegun(era))
        topics = self._poll_interrupter.begin_anew()
        self._log.write(
            "store_restored",
            {
                "era": era,
                "previous": previous,
                "learned_by": call,
                "begins_again": ["seat", *topics],
            },
        )

    def _log_rejected_response(
        self, reason: str, text: str | None, call: str
    ) -> None:
        self._metrics.count_rejected_response(reason)
        self._log.write(
            "store_response_rejected",
            {"reason": reason, "era": text and text[:60], "call": call},
        )

    def drain(self) -> None:
        """Starts the graceful shutdown."""
        drain_time = self._settings.stop_time - KILL_MARGIN
        self._inbox.put(node.DrainRequested(self._now() + drain_time))

    def reload(self) -> None:
        """Requests a reload of the settings file."""
        self._reload_requests.put(None)

    def wait(self) -> int:
        """Waits until the process has stopped; returns the exit status."""
        while not self._stopped.wait(SIGNAL_CHECK_SECONDS):
            pass
        # A log reader that has stopped reading must not delay the exit.
        flush = tasks.start_thread(
            "flush",
            self._log.flush,
            self._exit_on_task_failure,
            may_return=True,
        )
        flush.join(self._get_time_left(FLUSH_MARGIN).total_seconds())
        self._server.stop_reading(
            self._get_time_left(EXIT_MARGIN), CLOSE_TIMEOUT
        )
        return EXIT_OK

    def _get_time_left(self, margin: datetime.timedelta) -> datetime.timedelta:
        """Returns the time until the margin before SIGKILL."""
        assert self._drain_started_at is not None
        kill_at = self._drain_started_at + self._settings.stop_time
        return max(_ZERO, kill_at - margin - self._now())

    def _exit_on_task_failure(self, task_name: str) -> None:
        """Exits, since the process does not work without one of its tasks."""
        # The log may be blocked, since its reader has stopped reading.
        exit_timer = threading.Timer(
            EXIT_TIMEOUT_SECONDS, os._exit, [EXIT_FAILED]
        )
        exit_timer.daemon = True
        try:
            exit_timer.start()
            self._log.write("task_failed", {"task": task_name})
            self._log.flush()
        finally:
            os._exit(EXIT_FAILED)

    def _post_event(self, event: Any) -> None:
        self._inbox.put(event)

    def _run_event_loop(self) -> None:
        event_started_at: datetime.timedelta | None = None
        while True:
            now = self._now()
            if event_started_at is not None:
                self._metrics.observe_event(now - event_started_at)
            timeout = (self._next_wakeup_at(now) - now).total_seconds()
            try:
                event = self._inbox.get(timeout=max(0.0, timeout))
            except queue.Empty:
                event = node.Tick()
            if isinstance(event, _DumpRequest):
                event.response.put(self._dump())
                event_started_at = None
                continue
            event_started_at = self._now()
            self._handle_event(event, event_started_at)

    def _dump(self) -> dict[str, Any] | None:
        """Returns the state, None if it cannot be read; changes nothing."""
        try:
            return self._node.dump(self._now())
        except Exception:
            _log.exception("state dump failed")
            return None

    def _next_wakeup_at(self, now: datetime.timedelta) -> datetime.timedelta:
        interval = node.MAX_IDLE_INTERVAL
        if self._drain_started_at is not None:
            interval = STOP_CHECK_INTERVAL
        wakeup_at = min(self._node.next_wakeup_at, now + interval)
        return min(wakeup_at, self._next_metrics_at)

    def _handle_event(self, event: Any, now: datetime.timedelta) -> None:
        if isinstance(event, node.DrainRequested):
            # The grace period begins with the signal, which the event loop may
            # handle later.
            started_at = event.stop_at - (
                self._settings.stop_time - KILL_MARGIN
            )
            self._drain_started_at = self._drain_started_at or started_at
        if isinstance(event, requests.RequestEnded):
            self._active_requests.pop(event.local_id, None)
        for action in self._node.handle_event(event, now):
            self._execute(action)
        for log_event in self._node.take_log_events():
            self._write_log_event(log_event)
        if isinstance(event, node.ConfigurationRead) and self._node.config:
            self._recent_limits.record(self._node.config.limits, now)
            self._server.apply_limits()
        if now >= self._next_metrics_at:
            self._next_metrics_at = now + METRICS_INTERVAL
            # Superseded limits may hold no longer.
            self._server.apply_limits()
            self._metrics.set_process_gauges(
                self._node.in_progress_count,
                self._node.queued_count,
                self._log.total_dropped,
            )
            self._metrics.set_read_ages(self._node.get_read_ages(now))
            self._metrics.set_prompt_parts(
                *self._node.count_prompt_parts(self._now())
            )
            self._metrics.set_leader_gauges(
                self._node.store_loads,
                self._node.models_without_copy,
                self._node.models_without_orders,
            )
        if self._drain_started_at is not None:
            self._stop_if_drained(now)

    def _execute(self, action: Any) -> None:
        match action:
            case node.SetLeaderLink() | node.SendMessage():
                self._links.put(action)
            case node.SetPolls():
                self._poll_interrupter.set_polls(action.topic, action.are_short)
            case node.RenewRead():
                self._poll_interrupter.renew(action.topic)
            case orders.SendOrder() | orders.FetchStatus():
                self._dispatch_order(action)
            case (
                requests.CancelAttempt()
                | requests.ExtendDeadline()
                | requests.Send()
                | requests.Relay()
                | requests.Refuse()
                | requests.Abort()
            ):
                self._execute_for_request(action)
            case (
                version_records.ReadVersions()
                | version_records.ListVersions()
                | version_records.UnlistVersion()
            ):
                self._versions_task.send(action)
            case version_records.AppendStreams():
                self._stream_records_task.send(action)
            case _:
                self._election_task.send(action)

    def _execute_for_request(self, action: requests.Action) -> None:
        active_request = self._active_requests.get(action.local_id)
        if active_request is None:
            return
        match action:
            case requests.CancelAttempt():
                active_request.cancel(action.failure)
            case requests.ExtendDeadline():
                active_request.extend(action.deadline)
            case _:
                active_request.put(action)

    def _write_log_event(self, log_event: log_events.LogEvent) -> None:
        self._log.write(log_event.name, log_event.fields)

    def _stop_if_drained(self, now: datetime.timedelta) -> None:
        """Advances the graceful shutdown: aborts requests, resigns, stops."""
        assert self._drain_started_at is not None
        elapsed = now - self._drain_started_at
        drain_time = self._settings.stop_time - KILL_MARGIN
        if elapsed >= drain_time and not self._has_aborted:
            self._has_aborted = True
            self._log.write(
                "cut_off", {"requests": self._node.in_progress_count}
            )
            self._abort_requests(now)
        is_idle = (
            elapsed >= MIN_DRAIN_TIME
            and not self._node.in_progress_count
            and not self._server.request_count
        )
        if (is_idle or self._has_aborted) and self._resign_deadline is None:
            self._resign_deadline = now + RESIGN_TIMEOUT
            for action in self._node.resign():
                self._execute(action)
        if self._resign_deadline is None:
            return
        has_resigned = self._node.has_resigned or now >= self._resign_deadline
        if self._stopped.is_set() or not (
            (is_idle and has_resigned) or elapsed >= drain_time + ABORT_TIMEOUT
        ):
            return
        # Requests that arrive until the listener closes are refused.
        self._abort_requests(now)
        self._log.write("stop", {"requests": self._node.in_progress_count})
        self._stopped.set()

    def _abort_requests(self, now: datetime.timedelta) -> None:
        for action in self._node.abort_requests(now):
            self._execute(action)

    def _get_caller_limits(self) -> configuration.CallerLimits:
        return self._recent_limits.find_most_generous(self._now())

    def _watch_settings(self) -> None:
        """Reloads the settings file on request or when it has changed."""
        last_signature = _stat_signature(self._path)
        while True:
            is_requested = self._wait_for_reload_request()
            signature = _stat_signature(self._path)
            if signature == last_signature and not is_requested:
                continue
            last_signature = signature
            self._reload_settings()

    def _wait_for_reload_request(self) -> bool:
        """Returns whether there was a request within the poll interval."""
        try:
            self._reload_requests.get(timeout=SETTINGS_POLL_SECONDS)
        except queue.Empty:
            return False
        while not self._reload_requests.empty():
            self._reload_requests.get()
        return True

    def _reload_settings(self) -> None:
        try:
            new_config = settings.load(self._path)
        except exceptions.FindingsError as error:
            self._log.write("reload_failed", {"findings": list(error.findings)})
            return
        except Exception:
            _log.exception("the settings file cannot be read")
            return
        self._log.write("reload", {"changed": new_config != self._settings})
        self._post_event(node.LimitsChanged(self._make_limits(new_config)))

    def _make_limits(self, config: settings.Settings) -> gateway.Limits:
        return gateway.Limits(
            self._descriptors.requests,
            config.retry_ratio,
            config.retry_slack,
            config.retry_window,
        )

    def _make_dump_response(self) -> status_server.Response:
        request = _DumpRequest()
        self._inbox.put(request)
        try:
            state = request.response.get(timeout=DUMP_TIMEOUT_SECONDS)
        except queue.Empty:
            return status_server.Response(503, b"the owner task is busy")
        if state is None:
            return status_server.Response(
                500, b"state dump failed; see the log"
            )
        return status_server.make_json_response(state)


def _stat_signature(path: pathlib.Path) -> tuple[int, int]:
    try:
        file_status = path.stat()
    except OSError:
        return (0, 0)
    return (file_status.st_mtime_ns, file_status.st_size)


def run(path: pathlib.Path) -> int:
    """Runs an instance until it is stopped; returns the exit status."""
    allocator.limit_unused_memory()
    threading.stack_size(THREAD_STACK_BYTES)
    try:
        config = settings.load(path)
    except exceptions.FindingsError as error:
        print(error, file=sys.stderr, flush=True)
        return EXIT_USAGE
    try:
        process = Process(config, path)
        # Callers may arrive as soon as it has started.
        signal.signal(signal.SIGTERM, lambda signum, frame: process.drain())
        signal.signal(signal.SIGINT, lambda signum, frame: process.drain())
        signal.signal(signal.SIGHUP, lambda signum, frame: process.reload())
        process.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr, flush=True)
        return EXIT_FAILED
    return process.wait()
