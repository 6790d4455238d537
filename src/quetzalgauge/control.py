"""The program quetzalgauge-control: wiring of the control core.

The main thread owns the controller. Every other task sends it events through
the inbox, and it hands the resulting actions out to the tasks.
"""

from collections.abc import Callable
import datetime
import functools
import logging
import os
import pathlib
import random as random_module
import signal
import sys
import threading
from typing import Any
from typing import NoReturn
from typing import Protocol

from quetzalgauge import clock
from quetzalgauge import engines
from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import inbox as inbox_module
from quetzalgauge import instancelist
from quetzalgauge import logs
from quetzalgauge import logtasks
from quetzalgauge import messages
from quetzalgauge import metrics as metrics_module
from quetzalgauge import operators
from quetzalgauge import peers
from quetzalgauge import services
from quetzalgauge import settings as settings_module
from quetzalgauge import tasks
from quetzalgauge import wire
from quetzalgauge.gen import Control
from quetzalgauge.gen import Peer

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
TICK = datetime.timedelta(milliseconds=250)
LIST_INTERVAL = datetime.timedelta(seconds=1)
# An owner that has not ticked for this long is stuck.
_HEALTH_LIMIT = datetime.timedelta(seconds=10)
# The parameter M_ARENA_MAX of mallopt in the GNU C library's malloc.h.
_M_ARENA_MAX = -8
_QUERY_TIMEOUT = datetime.timedelta(seconds=5)
# A ticket waits for the log; the operator gets `unknown` afterwards.
_TICKET_TIMEOUT = datetime.timedelta(seconds=15)
# A holder has 4 targets at the target size, a zone's last one has 18 today.
_MAX_TARGET_TASKS = 128
_TARGET_UNUSED = datetime.timedelta(seconds=60)
# Each entry process waits in one `sync`, keyed requests in `claim_key`.
_CONTROL_LIMITS = wire.ServerLimits(
    threads=64, connections=256, request_bytes=4 * 1024 * 1024
)
_PEER_LIMITS = wire.ServerLimits(threads=16, connections=512)
# Events about the process's own state. After an error in one of them the
# state may be wrong, so the process ends and starts again from the log.
_ESSENTIAL_EVENTS = (
    messages.AppendDone,
    messages.OrderAnswered,
    messages.SnapshotFetched,
    messages.StreamExpired,
    messages.StreamFailed,
    messages.StreamRead,
)
_log = logs.make_logger("control")


class Controller(Protocol):
    """What this program needs of the control core."""

    def step(
        self, event: messages.Event, now: datetime.timedelta
    ) -> list[messages.Action]:
        """Handles an event."""

    def route_update(self, report: Any) -> Any:
        """Returns the ttypes.RouteUpdate that answers a report."""

    def ticket_status(
        self, number: ids.TicketNumber
    ) -> messages.TicketStatus | None:
        """Returns the status of a ticket, None if never seen."""

    @property
    def is_ready(self) -> bool:
        """Whether routes have been built from log and targets."""

    def dump(self) -> Any:
        """Returns the state for operators."""


MakeController = Callable[
    [settings_module.ControlSettings, int, random_module.Random], Controller
]


class ControlProcess:
    """The tasks of one control process and the loop of their owner.

    Raises:
        OSError: A listener cannot be bound.
    """

    def __init__(
        self,
        settings: settings_module.ControlSettings,
        make_controller: MakeController,
        incarnation: int,
    ) -> None:
        self._now = clock.make_monotonic_clock()
        self._inbox = inbox_module.Inbox()
        self._watch = services.RouteWatch()
        self._metrics = metrics_module.Metrics()
        self._idle_meter = metrics_module.IdleMeter(self._metrics)
        self._stopping = threading.Event()
        self._exit_status: int | None = None
        self._drain_since: datetime.timedelta | None = None
        self._last_tick = self._now()
        self._incarnation = incarnation
        self._bind(settings)
        self._start_tasks()
        random = random_module.Random(f"{settings.instance}/{incarnation}")
        self._controller = make_controller(self._settings, incarnation, random)
        self._actions = self._make_action_table()

    @property
    def addresses(self) -> dict[str, str]:
        """HOST:PORT of each listener by its name."""
        return {
            "control": self._control_server.address,
            "peer": self._peer_server.address,
            "operator": self._operator_server.address,
        }

    def request_drain(self) -> None:
        """Starts a graceful shutdown; safe in a signal handler."""
        self._inbox.put(messages.DrainRequested())

    def run(self) -> int:
        """Runs until the process has drained; returns its exit status."""
        self._control_server.start()
        self._peer_server.start()
        self._operator_server.start()
        next_tick = self._now()
        while self._exit_status is None:
            message = self._inbox.get(next_tick - self._now())
            if message is not None:
                self._handle(message)
            now = self._now()
            if now >= next_tick and self._exit_status is None:
                next_tick = now + TICK
                self._tick(now)
        self._stop_tasks()
        return self._exit_status

    # ---- Set-up ------------------------------------------------------------

    def _bind(self, settings: settings_module.ControlSettings) -> None:
        listen = settings.peer_listen
        tls = settings.peer_tls
        server_tls = wire.make_server_context(tls) if tls else None
        self._peer_tls = wire.make_client_context(tls) if tls else None
        self._peer_server = wire.Server(
            "peer",
            Peer.Processor(services.PeerHandler(self._inbox, self._now)),
            listen.host,
            listen.port,
            _PEER_LIMITS,
            server_tls,
        )
        handler = services.ControlHandler(self._inbox, self._watch, self._now)
        self._control_server = wire.Server(
            "control",
            Control.Processor(handler),
            settings.control_listen.host,
            settings.control_listen.port,
            _CONTROL_LIMITS,
        )
        self._operator_server = operators.OperatorServer(
            settings.operator_listen,
            settings.operator_tls,
            self._make_operator_handlers(),
        )
        # The core registers the address, so port 0 must be replaced.
        _, port = wire.parse_address(self._peer_server.address)
        bound = listen.model_copy(update={"port": port})
        self._settings = settings.model_copy(update={"peer_listen": bound})

    def _start_tasks(self) -> None:
        settings, inbox = self._settings, self._inbox
        region = ids.Region(settings.region)
        self._readers: dict[str, logtasks.Reader] = {}
        self._appenders: dict[str, tasks.Task] = {}
        # Configuration has few records, and each has to be in force soon.
        paces = {
            ids.CONFIG_STREAM: datetime.timedelta(),
            ids.decision_stream(region): logtasks.READ_PACE,
        }
        for stream, pace in paces.items():
            reader = logtasks.Reader(
                settings.log_url, stream, inbox.deliver, inbox.fail, pace
            )
            self._readers[stream] = reader
            self._appenders[stream] = logtasks.make_appender(
                settings.log_url,
                stream,
                functools.partial(self._end_append, reader),
                inbox.fail,
            )
        self._targets = tasks.KeyedTasks(
            "target",
            self._make_target_task,
            _MAX_TARGET_TASKS,
            _TARGET_UNUSED,
            inbox.fail,
        )
        self._peers = peers.PeerCalls(inbox.put, self._peer_tls)
        self._list_thread = tasks.start_thread(
            "instance-list", self._poll_list, inbox.fail
        )

    def _make_operator_handlers(self) -> operators.Handlers:
        def ticket_status(
            number: ids.TicketNumber,
        ) -> messages.TicketStatus | None:
            return self._inbox.query(
                lambda controller: controller.ticket_status(number),
                _QUERY_TIMEOUT,
            )

        def drain_target(target: ids.TargetId) -> bool:
            known: bool = self._inbox.ask(
                lambda token: messages.TargetDrainRequested(token, target),
                _QUERY_TIMEOUT,
            )
            return known

        return operators.Handlers(
            is_healthy=self._is_healthy,
            is_ready=self._is_ready,
            metrics=self._metrics.text,
            dump=self._dump,
            drain=self.request_drain,
            submit_ticket=self._submit_ticket,
            ticket_status=ticket_status,
            drain_target=drain_target,
        )

    # ---- The owner's loop --------------------------------------------------

    def _handle(self, message: Any) -> None:
        if isinstance(message, inbox_module.Query):
            self._answer(message)
        elif isinstance(message, inbox_module.Failure):
            _log.error("task %s has failed, so the process ends", message.task)
            self._exit_status = EXIT_FAILED
        elif isinstance(message, inbox_module.Delivery):
            self._step(message.event)
            message.handled.set()
        else:
            self._step(message)

    def _answer(self, query: inbox_module.Query) -> None:
        if not query.future.set_running_or_notify_cancel():
            return
        try:
            query.future.set_result(query.function(self._controller))
        except Exception as error:
            _log.exception("query failed")
            self._metrics.count_internal_error("Query")
            query.future.set_exception(error)

    def _tick(self, now: datetime.timedelta) -> None:
        self._last_tick = now
        self._targets.end_unused(now)
        self._step(messages.Tick())
        since = self._drain_since
        if since is None or self._exit_status is not None:
            return
        if now - since > self._settings.drain_timeout:
            _log.error("drain has not ended in time, so the process ends")
            self._exit_status = EXIT_FAILED

    def _step(self, event: messages.Event) -> None:
        now = self._now()
        self._observe(event, now)
        try:
            actions = self._controller.step(event, now)
        except Exception:
            name = type(event).__name__
            _log.exception("event %s could not be handled", name)
            self._metrics.count_internal_error(name)
            if isinstance(event, _ESSENTIAL_EVENTS):
                self._exit_status = EXIT_FAILED
            return
        for action in actions:
            self._actions[type(action)](action)

    def _observe(self, event: messages.Event, now: datetime.timedelta) -> None:
        if isinstance(event, messages.StreamRead):
            lag = 0
            if event.records:
                lag = event.next_offset - event.records[-1][0] - 1
            self._metrics.set_ledger_lag(event.stream, lag)
        elif isinstance(event, messages.StreamFailed):
            self._metrics.count_log_failure("read")
        elif isinstance(event, messages.AppendDone):
            if not event.acknowledged:
                self._metrics.count_log_failure("append")
        elif isinstance(event, messages.OrderAnswered):
            self._metrics.count_order(event.order.action, event.outcome)
        elif isinstance(event, messages.InstancesListed):
            self._idle_meter.use_list(event.instances)
        elif isinstance(event, messages.TargetPolled):
            if event.status is not None:
                self._idle_meter.use_status(event.status, now)
        elif (
            isinstance(event, messages.DrainRequested)
            and self._drain_since is None
        ):
            _log.info("drain begins")
            self._drain_since = now

    # ---- Actions -----------------------------------------------------------

    def _make_action_table(self) -> dict[type, Callable[[Any], None]]:
        return {
            messages.ReadStream: self._read_stream,
            messages.AppendRecords: self._append,
            messages.PollTarget: self._poll_target,
            messages.SendOrder: self._send_order,
            messages.ExchangeWithPeer: self._peers.exchange,
            messages.SendDemand: self._peers.demand,
            messages.FetchSnapshot: self._peers.fetch_snapshot,
            messages.FetchOutcome: self._peers.fetch_outcome,
            messages.ForwardAdapterRequest: self._peers.forward_adapter,
            messages.RoutesChanged: lambda _: self._watch.announce(),
            messages.Reply: _reply,
            messages.WriteLog: _write_log,
            messages.Stop: self._finish,
        }

    def _read_stream(self, action: messages.ReadStream) -> None:
        self._readers[action.stream].read_from(action.from_offset)

    def _append(self, action: messages.AppendRecords) -> None:
        self._appenders[action.stream].send(action)

    def _end_append(
        self, reader: logtasks.Reader, event: messages.Event
    ) -> None:
        """Called in the task of the appends."""
        self._inbox.put(event)
        reader.hurry()

    def _poll_target(self, action: messages.PollTarget) -> None:
        key = (action.target, action.address)
        if not self._targets.send(key, action, self._now()):
            self._inbox.put(messages.TargetPolled(action.target, None))

    def _send_order(self, action: messages.SendOrder) -> None:
        key = (action.order.target, action.address)
        if not self._targets.send(key, action, self._now()):
            self._inbox.put(
                messages.OrderAnswered(
                    action.order, messages.OrderOutcome.NOT_SENT
                )
            )

    def _finish(self, _: messages.Stop) -> None:
        _log.info("drain has ended")
        if self._exit_status is None:
            self._exit_status = EXIT_DONE

    # ---- Tasks -------------------------------------------------------------

    def _make_target_task(
        self, key: tuple[ids.TargetId, str]
    ) -> tuple[Callable[[Any], None], Callable[[], None]]:
        """Returns the parts of the task that owns a target's connection."""
        target, address = key
        client = engines.TargetClient(address)

        def poll() -> messages.TargetStatus | None:
            try:
                return client.status(target)
            except exceptions.PlatformError as error:
                _log.debug("status of %s failed: %s", target, error)
                return None

        def handle(action: messages.PollTarget | messages.SendOrder) -> None:
            if isinstance(action, messages.PollTarget):
                self._inbox.put(messages.TargetPolled(target, poll()))
                return
            outcome = client.send(action.order)
            self._inbox.put(messages.OrderAnswered(action.order, outcome))

        return handle, client.close

    def _poll_list(self) -> None:
        client = instancelist.InstanceListClient(
            self._settings.instance_list_url, self._settings.region
        )
        failing = False
        while not self._stopping.wait(LIST_INTERVAL.total_seconds()):
            try:
                listed = messages.InstancesListed(client.fetch())
            except exceptions.QuetzalgaugeError as error:
                if not failing:
                    _log.warning("cannot read the instance list: %s", error)
                failing = True
                continue
            failing = False
            self._inbox.deliver(listed)
        client.close()

    def _stop_tasks(self) -> None:
        """Stops the tasks; the peer listener goes last.

        Its port tells other processes that this one may still send orders.
        """
        self._stopping.set()
        for reader in self._readers.values():
            reader.stop()
        for appender in self._appenders.values():
            appender.stop()
        self._inbox.close()
        self._watch.announce()
        self._targets.stop()
        self._peers.stop()
        self._operator_server.stop()
        self._control_server.stop()
        self._peer_server.stop()

    # ---- Operator calls, in the threads of the operator listener -----------

    def _is_healthy(self) -> bool:
        return self._now() - self._last_tick < _HEALTH_LIMIT

    def _is_ready(self) -> bool:
        if self._drain_since is not None:
            return False
        return self._inbox.query(
            lambda controller: controller.is_ready, _QUERY_TIMEOUT
        )

    def _dump(self) -> Any:
        def read(controller: Controller) -> Any:
            # Turned into plain values by the owner, so that no other thread
            # reads state that is changing.
            return operators.plain(controller.dump())

        return {
            "instance": self._settings.instance,
            "incarnation": self._incarnation,
            "availability_zone": self._settings.availability_zone,
            "region": self._settings.region,
            "addresses": self.addresses,
            "draining": self._drain_since is not None,
            "core": self._inbox.query(read, _QUERY_TIMEOUT),
        }

    def _submit_ticket(self, text: str) -> messages.TicketStatus:
        # Imported here, since few processes ever get a ticket from an operator.
        from quetzalgauge import tickets

        ticket = tickets.parse(text, "ticket")
        try:
            status: messages.TicketStatus = self._inbox.ask(
                lambda token: messages.TicketSubmitted(token, ticket),
                _TICKET_TIMEOUT,
            )
        except exceptions.NoReplyError as error:
            return messages.TicketStatus(
                ticket.number,
                messages.TicketVerdict.UNKNOWN,
                findings=(str(error),),
            )
        return status


def _reply(action: messages.Reply) -> None:
    inbox_module.resolve(action.token, action.value)


def _write_log(action: messages.WriteLog) -> None:
    logs.write(action.part, action.level, action.text, action.fields)


def run(
    settings: settings_module.ControlSettings, make_controller: MakeController
) -> int:
    """Runs a control process in the main thread; returns the exit status."""
    logs.set_up(settings.logging.level, settings.logging.format, "control")
    try:
        process = ControlProcess(
            settings, make_controller, clock.make_incarnation()
        )
    except OSError as error:
        _log.error("cannot start: %s", error)
        return EXIT_FAILED
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: process.request_drain())
    addresses = " ".join(
        f"{name}={address}" for name, address in process.addresses.items()
    )
    print(f"ready {addresses}", flush=True)
    return process.run()


def leave(status: int) -> NoReturn:
    """Ends the process without waiting for threads that libraries own."""
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


def main(arguments: list[str] | None = None) -> None:
    """Entry point of quetzalgauge-control."""
    path = _parse_command(sys.argv[1:] if arguments is None else arguments)
    try:
        settings = settings_module.load(path, settings_module.ControlSettings)
    except exceptions.FindingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    from quetzalgauge import controller

    _limit_arenas()
    leave(run(settings, controller.make_controller))


def _limit_arenas() -> None:
    """Lets all threads share one arena of the C library's allocator.

    With an arena for each thread a process that had read 41,000 adapters from
    the log kept 70 MB; with one it keeps 62 MB, below its budget of 64 MB.
    """
    import ctypes

    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_ARENA_MAX, 1)


def _parse_command(arguments: list[str]) -> pathlib.Path:
    import cyclopts

    app = cyclopts.App(
        name="quetzalgauge-control",
        help="Controls the targets of an availability zone.",
        result_action="return_value",
    )

    @app.default
    def command(*, settings: pathlib.Path) -> pathlib.Path:
        """Runs until SIGTERM.

        Args:
            settings: Settings file, JSON with comments.
        """
        return settings

    try:
        path = app(arguments, exit_on_error=False)
    except cyclopts.CycloptsError:
        sys.exit(EXIT_USAGE)
    if not isinstance(path, pathlib.Path):
        # Help was printed.
        sys.exit(EXIT_DONE)
    return path


if __name__ == "__main__":
    main()
