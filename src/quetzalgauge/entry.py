"""quetzalgauge-entry: takes callers' requests to targets."""

import datetime
import logging
import os
import pathlib
import queue
import random
import signal
import sys
import threading
from typing import Annotated
from typing import Any

import cyclopts

from quetzalgauge import callers
from quetzalgauge import callerwatch
from quetzalgauge import calls
from quetzalgauge import clock
from quetzalgauge import controllink
from quetzalgauge import exceptions
from quetzalgauge import gateway
from quetzalgauge import ids
from quetzalgauge import logs
from quetzalgauge import metrics
from quetzalgauge import operators
from quetzalgauge import routing
from quetzalgauge import settings
from quetzalgauge import targets

TICK = datetime.timedelta(milliseconds=50)
# The owner task ticks many times in this time unless it is stuck.
HEALTHY_AGE = datetime.timedelta(seconds=5)
DUMP_TIMEOUT_SECONDS = 5.0
# Threads that stay free to refuse requests while all others are busy.
RESERVED_THREADS_SHARE = 8
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

_log = logs.make_logger("entry")
app = cyclopts.App(name="quetzalgauge-entry")


class Entry:
    """An entry process: its tasks and the queues between them."""

    def __init__(self, config: settings.EntrySettings) -> None:
        self._config = config
        self._now = clock.make_monotonic_clock()
        self._inbox: queue.SimpleQueue[calls.Event] = queue.SimpleQueue()
        self._reports: queue.SimpleQueue[calls.SendReport | None] = (
            queue.SimpleQueue()
        )
        self._urgent: queue.SimpleQueue[calls.SendReport] = queue.SimpleQueue()
        self._calls: dict[int, callers.Call] = {}
        self._stopped = threading.Event()
        self._cut = 0
        self._meters = metrics.Metrics()
        self._queued: set[str] = set()
        self._ticked = self._now()
        router = routing.make_router(
            ids.AvailabilityZone(config.availability_zone), random.Random()
        )
        self._gateway = gateway.make_gateway(_make_limits(config), router)
        self._link = controllink.ControlLink(
            ids.EntryId(config.entry), str(config.control)
        )
        self._watch = callerwatch.CallerWatch(
            lambda token: self._inbox.put(calls.CallerGone(token))
        )
        timeouts = targets.Timeouts(
            config.connect_timeout.total_seconds(),
            config.target_silence_timeout.total_seconds(),
        )
        parts = callers.Parts(
            config,
            self._now,
            self._inbox.put,
            self._calls,
            self._watch,
            targets.TargetClient(timeouts, self._now),
            self._link,
            self._meters,
            lambda: self._gateway.accepts,
        )
        self._server = callers.make_server(parts)
        handlers = operators.Handlers(
            is_healthy=self._is_healthy,
            is_ready=lambda: self._gateway.is_ready,
            metrics=self._meters.text,
            dump=self._dump,
            drain=self.drain,
        )
        self._operators = operators.OperatorServer(
            config.operator_listen, config.operator_tls, handlers
        )

    @property
    def listen_address(self) -> str:
        """HOST:PORT of the listener for callers."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    @property
    def operator_address(self) -> str:
        """HOST:PORT of the listener for operators."""
        return self._operators.address

    def start(self) -> None:
        """Listens and starts all tasks.

        Raises:
            OSError: An address cannot be bound.
        """
        self._server.prepare()
        for name, task in (
            ("owner", self._run_owner),
            ("watch", self._watch.run),
            ("sync", self._run_sync),
            ("urgent", self._run_urgent),
            ("callers", self._server.serve),
        ):
            threading.Thread(
                target=task, name=f"entry-{name}", daemon=True
            ).start()
        self._operators.start()

    def drain(self) -> None:
        """Starts the graceful shutdown."""
        self._inbox.put(calls.DrainRequested())

    def wait(self) -> int:
        """Waits for the end of the shutdown; returns the calls cut off."""
        self._stopped.wait()
        self._server.stop()
        # Its listener may take seconds to close, which nothing waits for.
        threading.Thread(target=self._operators.stop, daemon=True).start()
        self._link.close()
        return self._cut

    def _run_owner(self) -> None:
        try:
            self._own()
        except BaseException:
            # Without the owner task every call would wait for ever.
            _log.exception("owner task failed")
            logging.shutdown()
            os._exit(EXIT_FAILED)

    def _own(self) -> None:
        next_tick = self._now() + TICK
        while True:
            now = self._now()
            if now >= next_tick:
                self._step(calls.Tick(), now)
                self._ticked = now
                self._report_queues()
                next_tick = now + TICK
            try:
                wait = (next_tick - now).total_seconds()
                event = self._inbox.get(timeout=max(0.0, wait))
            except queue.Empty:
                continue
            self._step(event, self._now())

    def _report_queues(self) -> None:
        lengths = self._gateway.queue_lengths()
        for name in self._queued - lengths.keys():
            self._meters.set_queue_length(name, 0)
        for name, length in lengths.items():
            self._meters.set_queue_length(name, length)
        self._queued = set(lengths)

    def _is_healthy(self) -> bool:
        return self._now() - self._ticked < HEALTHY_AGE

    def _dump(self) -> dict[str, Any]:
        answers: queue.SimpleQueue[dict[str, Any]] = queue.SimpleQueue()
        self._inbox.put(calls.DumpWanted(answers.put))
        try:
            return answers.get(timeout=DUMP_TIMEOUT_SECONDS)
        except queue.Empty:
            raise exceptions.PeerError("the owner task is busy") from None

    def _step(self, event: calls.Event, now: datetime.timedelta) -> None:
        actions = self._gateway.step(event, now)
        if isinstance(event, calls.CallEnded):
            self._calls.pop(event.token, None)
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: calls.Action) -> None:
        match action:
            case calls.SendReport(urgent=True):
                self._urgent.put(action)
            case calls.SendReport():
                self._reports.put(action)
            case calls.Stop():
                self._cut = action.cut
                self._reports.put(None)
                self._stopped.set()
            case calls.CancelAttempt():
                self._calls[action.token].attempt.end(action.failure)
            case _:
                self._calls[action.token].put(action)

    def _ask_report(self) -> calls.SendReport | None:
        if self._stopped.is_set():
            return None
        self._inbox.put(calls.ReportWanted())
        return self._reports.get()

    def _run_urgent(self) -> None:
        while True:
            report = self._urgent.get()
            # Each report has all demand, so the latest one is enough.
            while not self._urgent.empty():
                report = self._urgent.get()
            self._link.send_urgent(report)

    def _run_sync(self) -> None:
        controllink.run_sync(
            self._link, self._ask_report, self._inbox.put, self._stopped.wait
        )


def _make_limits(config: settings.EntrySettings) -> gateway.Limits:
    reserved = max(1, config.threads // RESERVED_THREADS_SHARE)
    return gateway.Limits(
        config.queue_limit,
        min(config.max_streams, max(1, config.threads - reserved)),
        max(1, config.threads - reserved),
        config.drain_timeout,
    )


@app.default
def run(
    *,
    settings_file: Annotated[
        pathlib.Path, cyclopts.Parameter(name="--settings")
    ],
) -> int:
    """Runs an entry process until SIGTERM.

    Args:
        settings_file: JSON settings.
    """
    try:
        config = settings.load(settings_file, settings.EntrySettings)
    except exceptions.FindingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    logs.set_up(config.logging.level, config.logging.format, "entry")
    try:
        process = Entry(config)
        process.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_FAILED

    def on_signal(number: int, frame: Any) -> None:
        process.drain()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    print(
        f"ready listen={process.listen_address}"
        f" operator={process.operator_address}",
        flush=True,
    )
    return EXIT_FAILED if process.wait() else EXIT_OK


def main() -> None:
    """Entry point of the program."""
    try:
        status = app(exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        status = EXIT_USAGE
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    # A normal exit would wait for the threads of the operator listener.
    os._exit(status if isinstance(status, int) else EXIT_OK)


if __name__ == "__main__":
    main()
