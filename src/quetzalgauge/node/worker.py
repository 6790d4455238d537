"""Serves the requests of callers in the worker threads of the listener.

A worker thread posts events about its request to the core and executes the
actions that the core returns for it.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import datetime
import itertools
import json
import math
import queue
import select
import socket
import sys

from quetzalgauge import clock
from quetzalgauge import exceptions
from quetzalgauge.core import requests
from quetzalgauge.node import buffer_memory
from quetzalgauge.node import connections
from quetzalgauge.node import disconnect_watcher
from quetzalgauge.node import listener
from quetzalgauge.node import metrics
from quetzalgauge.node import read_timer
from quetzalgauge.node import request_body
from quetzalgauge.node import response_writer
from quetzalgauge.node import slow_readers
from quetzalgauge.node import streams
from quetzalgauge.node import target_check
from quetzalgauge.node import upstream
from quetzalgauge.platform import headers as wire_headers

# Interval at which a worker looks for actions while its targets are silent.
_POLL_INTERVAL_SECONDS = 0.02
# Until when a caller should try again whose body finds no memory.
_MEMORY_RETRY_AFTER = datetime.timedelta(seconds=1)


class ActiveRequest:
    """The state of a request that its worker shares with the event loop."""

    def __init__(self, local_id: int) -> None:
        self.local_id = local_id
        self._attempts: dict[int, connections.Attempt] = {}
        self._actions: queue.SimpleQueue[requests.Action] = queue.SimpleQueue()

    @property
    def has_actions(self) -> bool:
        """Whether `get` returns at once."""
        return not self._actions.empty()

    def put(self, action: requests.Action) -> None:
        """Queues an action for the worker. Only the event loop calls this."""
        if isinstance(action, requests.Send):
            # Created here rather than by the worker, so that a cancellation
            # right after this action reaches the new attempt.
            self._attempts[action.attempt] = connections.Attempt(
                action.deadline
            )
        self._actions.put(action)

    def get(self) -> requests.Action:
        """Blocks until there is an action and returns it."""
        return self._actions.get()

    def get_attempt(self, number: int) -> connections.Attempt:
        """Returns an attempt that has not ended."""
        return self._attempts[number]

    def end_attempt(self, number: int) -> None:
        """Records the end of an attempt."""
        self._attempts.pop(number, None)

    def cancel(self, failure: requests.Failure) -> None:
        """Cancels all attempts, also those that have not begun."""
        for attempt in list(self._attempts.values()):
            attempt.cancel(failure)

    def extend(self, deadline: datetime.timedelta) -> None:
        """Gives all attempts more time, also those that have not begun."""
        for attempt in list(self._attempts.values()):
            attempt.extend(deadline)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerContext:
    """Process-wide services that worker threads use.

    Attributes:
        now: The clock.
        post_event: Puts an event into the queue of the event loop.
        active_requests: The requests in progress by local id.
        watcher: Detects callers that disconnect.
        upstream_client: Sends requests to targets.
        metrics: The metrics.
        memory: Memory for the bodies of requests and responses.
        readers: Callers that read their responses slowly.
        closes_connections: Whether connections are closed after their last
            response.
    """

    now: clock.Clock
    post_event: Callable[[requests.Event], None]
    active_requests: dict[int, ActiveRequest]
    watcher: disconnect_watcher.DisconnectWatcher
    upstream_client: upstream.UpstreamClient
    metrics: metrics.Metrics
    memory: buffer_memory.BufferMemory
    readers: slow_readers.SlowReaders
    closes_connections: Callable[[], bool]


@dataclasses.dataclass(eq=False, slots=True)
class _RunningAttempt:
    """An attempt in progress.

    Attributes:
        action: The action that started it.
        handle: Lets the event loop cancel it.
        timer: Times its reads.
        connection: Its connection, None before and after it has one.
        has_reused_connection: Whether that has served another request before.
        has_data: Whether data of its response was passed on.
        is_start_known: Whether its target has told its start, if that was to be
            checked.
        longest_gap_seconds: Longest time between two parts of its response.
        response: Its response, None before it has a head.
        steps: Makes the attempt, one call of its socket after the other.
        wait: What `steps` waits for.
    """

    action: requests.Send
    handle: connections.Attempt
    timer: read_timer.ReadTimer
    connection: connections.Connection | None = None
    has_reused_connection: bool = False
    has_data: bool = False
    is_start_known: bool = True
    longest_gap_seconds: float = 0.0
    response: upstream.Response | None = None
    steps: upstream.Exchange[None] | None = None
    wait: upstream.Wait = upstream.Wait(0.0)

    @property
    def framing(self) -> str:
        """What ends the body of its response, empty without a response."""
        return self.response.head.framing if self.response else ""

    @property
    def ending(self) -> str:
        """How the target ended its response, empty if it did not."""
        if self.response is None or self.handle.cancel_reason is not None:
            return ""
        return self.response.ending


class _Worker:
    """Serves one request by executing the actions for it.

    Several attempts may be in progress. The first one that has data for the
    caller ends the others.
    """

    def __init__(
        self,
        writer: response_writer.ResponseWriter,
        outgoing: upstream.OutgoingRequest,
        active_request: ActiveRequest,
        context: WorkerContext,
        reservation: buffer_memory.Reservation,
        has_prompt_parts: bool,
    ) -> None:
        self._reservation = reservation
        self._has_prompt_parts = has_prompt_parts
        self._outgoing = outgoing
        self._active_request = active_request
        self._context = context
        self._writer = writer
        self._running: list[_RunningAttempt] = []
        self._buffered_response: upstream.BufferedResponse | None = None
        self._stream_type: str | None = None
        # Id of the last event that was passed on, empty if it has none.
        self._last_event_id = ""
        # The same when a response last ended with its target, empty if none
        # did.
        self._doubtful_end = ""
        self._has_written_data = False
        self._arrived_at = context.now()

    def run(self) -> None:
        """Executes actions up to and including the last one."""
        try:
            while not (self._execute_actions() or self._continue_attempts()):
                pass
        except response_writer.CallerDisconnectedError:
            self._writer.abort()
        finally:
            for running in list(self._running):
                self._close(running)

    def _execute_actions(self) -> bool:
        """Executes the queued actions; returns whether one was the last.

        Blocks for an action if no attempt is in progress.
        """
        while not self._running or self._active_request.has_actions:
            if self._execute(self._active_request.get()):
                return True
        return False

    def _execute(self, action: requests.Action) -> bool:
        """Executes an action; returns whether it was the last one."""
        if self._writer.is_started and isinstance(
            action, requests.Relay | requests.Refuse
        ):
            # The caller would find this response within the one that began.
            action = requests.Abort(action.local_id)
        match action:
            case requests.Send():
                return self._begin_attempt(action)
            case requests.Relay():
                assert self._buffered_response is not None
                self._write_response(self._buffered_response)
            case requests.Refuse():
                self._write_refusal(action)
            case requests.Abort():
                self._writer.abort()
                self._context.metrics.count_request("aborted")
        return True

    def _write_refusal(self, action: requests.Refuse) -> None:
        self._context.metrics.count_refusal(action.reason, action.status)
        body = {
            "error": {
                "code": action.reason,
                "run": "unknown" if action.may_have_run else "not_run",
                "request_id": self._outgoing.request_id,
            }
        }
        headers = [("Content-Type", "application/json")]
        headers += wire_headers.make_refusal_headers(
            self._outgoing.request_id, action.retry_after
        )
        self._writer.write_response(
            action.status, "", headers, json.dumps(body).encode()
        )

    def _begin_attempt(self, action: requests.Send) -> bool:
        """Begins an attempt; returns whether the caller has its response."""
        if not self._is_needed(action):
            self._active_request.end_attempt(action.attempt)
            self._context.post_event(
                requests.AttemptEnded(
                    action.local_id,
                    requests.Failure.WITHDRAWN,
                    attempt=action.attempt,
                )
            )
            return False
        handle = self._active_request.get_attempt(action.attempt)
        timer = read_timer.ReadTimer(
            self._context.now,
            lambda: handle.deadline.total_seconds(),
            action.first_byte_deadline.total_seconds()
            # It may become later.
            if action.first_byte_deadline < action.deadline
            else math.inf,
            action.silence_timeout.total_seconds(),
            lambda: self._context.post_event(
                requests.AttemptStalled(
                    action.local_id, self._last_event_id, action.attempt
                )
            ),
        )
        running = _RunningAttempt(action, handle, timer)
        running.steps = self._run_attempt(running)
        self._running.append(running)
        return self._step(running)

    def _is_needed(self, action: requests.Send) -> bool:
        """Whether no attempt has gone on since the core decided on another."""
        if not all(running.timer.is_silent for running in self._running):
            return False
        # A response that began with comments has no event to go on after.
        return not self._writer.is_started or (
            bool(action.last_event_id)
            and action.last_event_id == self._last_event_id
        )

    def _continue_attempts(self) -> bool:
        """Waits for attempts in progress and continues them.

        Returns:
            Whether the caller has its response.
        """
        return any(
            self._step(running)
            for running in self._wait_for_attempts()
            # Another one may have ended it.
            if running in self._running
        )

    def _wait_for_attempts(self) -> list[_RunningAttempt]:
        """Returns the attempts that can be continued, perhaps none."""
        if len(self._running) <= 1 and not any(
            running.timer.is_silent for running in self._running
        ):
            # Its next call blocks.
            return list(self._running)
        poller = select.poll()
        for running in self._running:
            poller.register(
                _get_descriptor(running),
                select.POLLIN
                | (select.POLLOUT if running.wait.is_sending else 0),
            )
        now = self._context.now().total_seconds()
        next_deadline = min(running.wait.deadline for running in self._running)
        timeout = max(0.0, min(_POLL_INTERVAL_SECONDS, next_deadline - now))
        ready = {
            descriptor for descriptor, _ in poller.poll(1 + timeout * 1000)
        }
        now = self._context.now().total_seconds()
        return [
            running
            for running in self._running
            if _get_descriptor(running) in ready or now >= running.wait.deadline
        ]

    def _step(self, running: _RunningAttempt) -> bool:
        """Continues an attempt; returns whether the caller has its response."""
        assert running.steps is not None
        try:
            running.wait = next(running.steps)
        except StopIteration:
            self._running.remove(running)
            self._active_request.end_attempt(running.action.attempt)
            return True
        except connections.AttemptError as error:
            if _is_rejection(error):
                running.connection = None
            self._close(running)
            self._report_failure(running, error)
        return False

    def _close(self, running: _RunningAttempt) -> None:
        """Ends an attempt and closes its connection unless it is released."""
        self._running.remove(running)
        self._active_request.end_attempt(running.action.attempt)
        running.handle.detach()
        if running.steps is not None:
            running.steps.close()
        if running.connection is not None:
            running.connection.close()

    def _end_others(self, running: _RunningAttempt) -> None:
        """Ends the other attempts, since this one has data for the caller."""
        for other in list(self._running):
            if other is not running:
                self._close(other)
                self._report_failure(
                    other,
                    connections.AttemptError(requests.Failure.SUPERSEDED),
                )

    def _report_failure(
        self, running: _RunningAttempt, error: connections.AttemptError
    ) -> None:
        action = running.action
        failure: requests.Failure = error.failure
        if failure in (
            requests.Failure.IDLE_TIMEOUT,
            requests.Failure.CONNECTION_LOST,
        ) or (
            failure is requests.Failure.SUPERSEDED and running.timer.is_silent
        ):
            self._context.upstream_client.close_idle_connections(action)
        self._context.metrics.count_attempt_failure(failure.value)
        has_response = failure is requests.Failure.SERVER_ERROR
        self._context.post_event(
            requests.AttemptEnded(
                action.local_id,
                failure,
                self._buffered_response.status
                if has_response and self._buffered_response
                else 0,
                self._buffered_response is not None,
                self._last_event_id,
                running.has_reused_connection,
                datetime.timedelta(seconds=running.longest_gap_seconds),
                error.detail,
                has_target_ended=(
                    failure is requests.Failure.CONNECTION_LOST
                    and self._has_prompt_parts
                    and not self._has_written_data
                    and target_check.has_ended(action.address)
                ),
                attempt=action.attempt,
                framing=running.framing,
                ending=running.ending,
            )
        )

    def _run_attempt(self, running: _RunningAttempt) -> upstream.Exchange[None]:
        """Makes an attempt; the caller has its response at the end."""
        client = self._context.upstream_client
        action = running.action
        running.connection, running.has_reused_connection = (
            client.acquire_connection(
                action,
                self._outgoing.request_id,
                running.handle,
                upstream.CONNECT_TIMEOUT_SECONDS
                if len(self._running) == 1
                else upstream.SHORT_CONNECT_TIMEOUT_SECONDS,
            )
        )
        # An instance learns late that a target has started again, and targets
        # go on with any stream.
        if action.checks_start or (action.is_stream and action.last_event_id):
            is_start_known = yield from client.check_start(
                running.connection, action, running.handle, running.timer
            )
            running.is_start_known = is_start_known or not action.checks_start
        response, head = yield from client.send_request(
            running.connection,
            self._outgoing,
            action,
            running.handle,
            running.timer,
        )
        running.response = response
        if action.is_stream and head.status == 200:
            yield from self._relay_stream(running, response)
            return
        if self._writer.is_started:
            # The target could not resume the stream that the caller has.
            raise connections.AttemptError(
                requests.Failure.MALFORMED_RESPONSE, "status in a stream"
            )
        running.timer.stop()
        yield from self._relay_response(running, response)

    def _relay_response(
        self, running: _RunningAttempt, response: upstream.Response
    ) -> upstream.Exchange[None]:
        """Reads a response and writes it to the caller once it is whole."""
        action = running.action
        client = self._context.upstream_client
        parts = []
        body = client.open_body(response, running.timer, running.handle)
        while part := (yield from body.read_part()):
            parts.append(part)
            size = sys.getsizeof(part)
            if not self._reservation.take_for_response(size):
                if not self._context.memory.has_for_response(size):
                    self._context.readers.free_memory()
                yield from self._pass_on(running, response, parts, body)
                return
        self._check_end(running, response)
        buffered = upstream.BufferedResponse(
            response.head.status,
            response.head.reason,
            response.head.headers,
            parts,
        )
        self._release_connection(running, response)
        # The core requires a new connection for requests that must not be
        # retried. Their caller receives a 5xx response as it is.
        if buffered.status >= 500 and not action.needs_new_connection:
            self._buffered_response = buffered
            raise connections.AttemptError(requests.Failure.SERVER_ERROR)
        self._end_others(running)
        self._context.post_event(
            requests.AttemptEnded(
                action.local_id,
                None,
                buffered.status,
                attempt=action.attempt,
                framing=running.framing,
                ending=running.ending,
            )
        )
        self._write_response(buffered)

    def _pass_on(
        self,
        running: _RunningAttempt,
        response: upstream.Response,
        received: list[bytes],
        rest: upstream.BodyReader,
    ) -> upstream.Exchange[None]:
        """Passes on a body as it arrives, since it cannot be buffered.

        Args:
            running: The attempt.
            response: The response.
            received: The parts of the body that were received.
            rest: Reads the other parts.

        Raises:
            connections.AttemptError: The response is not complete, or its
                caller has disconnected.
        """
        self._end_others(running)
        head = response.head
        self._writer.start_stream(
            head.status,
            head.reason,
            wire_headers.filter_response_headers(head.headers),
            head.get("Content-Length"),
        )
        self._context.post_event(
            requests.ResponseStarted(
                running.action.local_id, attempt=running.action.attempt
            )
        )
        self._context.metrics.observe_first_byte(
            self._context.now() - self._arrived_at
        )
        self._has_written_data = running.has_data = True
        self._write_data(received)
        self._reservation.release_response()
        while part := (yield from rest.read_part()):
            self._write_data([part])
        self._check_end(running, response)
        self._release_connection(running, response)
        self._finish_stream(running, response)

    def _release_connection(
        self, running: _RunningAttempt, response: upstream.Response
    ) -> None:
        assert running.connection is not None
        self._context.upstream_client.release_connection(
            running.connection, response, running.action, running.handle
        )
        running.connection = None

    def _finish_stream(
        self, running: _RunningAttempt, response: upstream.Response
    ) -> None:
        """Ends a response that was passed on as it arrived."""
        self._context.post_event(
            requests.AttemptEnded(
                running.action.local_id,
                None,
                response.head.status,
                last_event_id=self._last_event_id,
                longest_gap=datetime.timedelta(
                    seconds=running.longest_gap_seconds
                ),
                attempt=running.action.attempt,
                framing=running.framing,
                ending=running.ending,
            )
        )
        self._context.metrics.count_request(str(response.head.status))
        self._writer.end_stream()

    def _write_response(self, response: upstream.BufferedResponse) -> None:
        self._context.metrics.count_request(str(response.status))
        self._context.metrics.observe_first_byte(
            self._context.now() - self._arrived_at
        )
        self._writer.write_response_parts(
            response.status,
            response.reason,
            wire_headers.filter_response_headers(response.headers),
            response.body,
        )

    def _write_data(self, parts: list[bytes]) -> None:
        """Writes parts of a stream and empties the list.

        Raises:
            connections.AttemptError: The caller has disconnected.
        """
        try:
            self._writer.write_parts(parts)
        except response_writer.CallerDisconnectedError as error:
            raise connections.AttemptError(
                requests.Failure.CALLER_DISCONNECTED
            ) from error

    def _relay_stream(
        self, running: _RunningAttempt, response: upstream.Response
    ) -> upstream.Exchange[None]:
        """Passes on the events of a stream as they arrive."""
        event_filter = streams.EventFilter(
            has_end_marker=False, extra_fields=wire_headers.EVENT_FIELDS
        )
        event_filter.resume_after(running.action.last_event_id)
        self._check_stream_type(response)
        # Comments, while another attempt may have the next event.
        held_back = b""
        last_read_at = None
        try:
            while data := (
                yield from self._context.upstream_client.read_chunk(
                    response, running.timer, running.handle
                )
            ):
                now = self._context.now().total_seconds()
                if last_read_at is not None:
                    running.longest_gap_seconds = max(
                        running.longest_gap_seconds, now - last_read_at
                    )
                last_read_at = now
                events = held_back + event_filter.feed(data)
                if streams.has_data(events):
                    self._last_event_id = event_filter.last_event_id
                    self._end_others(running)
                if len(self._running) > 1:
                    held_back = events
                    _check_length(held_back)
                elif events:
                    held_back = b""
                    self._write_events(running, response, events)
                event_filter.check()
                # Bytes without an event, and comments, are no progress.
                if not streams.has_data(events):
                    running.timer.check()
        except streams.StreamError as error:
            raise connections.AttemptError(
                requests.Failure.MALFORMED_RESPONSE, str(error)
            ) from error
        # A response without events does not show that the stream is complete,
        # unless another one has ended after the same event.
        if event_filter.has_partial_event or not (
            running.has_data or self._confirms_end(running, response)
        ):
            raise connections.AttemptError(
                requests.Failure.CONNECTION_LOST, "stream without its end"
            )
        try:
            self._check_end(running, response)
        except connections.AttemptError:
            self._doubtful_end = self._last_event_id
            raise
        self._end_others(running)
        if held_back:
            self._write_events(running, response, held_back)
        self._release_connection(running, response)
        self._finish_stream(running, response)

    def _confirms_end(
        self, running: _RunningAttempt, response: upstream.Response
    ) -> bool:
        """Returns whether a response without events confirms a doubtful end."""
        last_event_id = running.action.last_event_id
        return (
            last_event_id != ""
            and last_event_id == self._doubtful_end
            and not response.ended_with_connection
        )

    def _check_end(
        self, running: _RunningAttempt, response: upstream.Response
    ) -> None:
        """Checks that a response did not end only because its target ended.

        Raises:
            connections.AttemptError: It may have.
        """
        if (
            response.ended_with_connection
            and not self._context.upstream_client.is_running(
                running.action, self._outgoing.request_id
            )
        ):
            raise connections.AttemptError(
                requests.Failure.CONNECTION_LOST,
                "ended with its connection by a target that may have ended",
            )

    def _check_stream_type(self, response: upstream.Response) -> None:
        """Checks that a resumed stream has the type of the one that began.

        Raises:
            connections.AttemptError: It has another type.
        """
        media_type = _get_media_type(response)
        if self._stream_type not in (None, media_type):
            raise connections.AttemptError(
                requests.Failure.MALFORMED_RESPONSE, "other type of stream"
            )

    def _write_events(
        self,
        running: _RunningAttempt,
        response: upstream.Response,
        events: bytes,
    ) -> None:
        is_first = not self._writer.is_started
        if is_first:
            self._stream_type = _get_media_type(response)
            self._writer.start_stream(
                response.head.status,
                response.head.reason,
                wire_headers.filter_response_headers(response.head.headers),
            )
        self._write_data([events])
        has_data = streams.has_data(events)
        is_first_data = has_data and not self._has_written_data
        action = running.action
        if is_first or is_first_data:
            self._context.post_event(
                requests.ResponseStarted(
                    action.local_id,
                    is_first_data,
                    action.attempt,
                    running.is_start_known,
                )
            )
        elif has_data and (not running.has_data or running.timer.is_silent):
            self._context.post_event(
                requests.AttemptResumed(action.local_id, action.attempt)
            )
        if has_data:
            self._has_written_data = running.has_data = True
            running.timer.restart()
        if is_first:
            self._context.metrics.observe_first_byte(
                self._context.now() - self._arrived_at
            )


def _get_descriptor(running: _RunningAttempt) -> int:
    assert running.connection is not None
    assert running.connection.sock is not None
    return int(running.connection.sock.fileno())


def _check_length(comments: bytes) -> None:
    if len(comments) > streams.MAX_EVENT_BYTES:
        raise streams.StreamError("comments without an event are too long")


def _get_media_type(response: upstream.Response) -> str:
    value = response.head.get("Content-Type") or ""
    return value.partition(";")[0].strip().lower()


def _is_rejection(error: connections.AttemptError) -> bool:
    """Returns whether the target rejected the request.

    The connection has been released or closed before that is raised. It may
    serve another request by now, so it must not be closed.
    """
    return error.failure in (
        requests.Failure.FULL,
        requests.Failure.NOT_LOADED,
        requests.Failure.WRONG_TARGET,
    )


def _refuse_early(
    context: WorkerContext,
    writer: response_writer.ResponseWriter,
    reason: str,
    status: int,
    message: str,
    retry_after: datetime.timedelta | None = None,
) -> None:
    """Refuses a request of which the core does not know."""
    context.metrics.count_refusal(reason, status)
    headers = [("Content-Type", "text/plain")]
    if retry_after is not None:
        headers.append(("Retry-After", f"{retry_after.total_seconds():.2f}"))
    with contextlib.suppress(response_writer.CallerDisconnectedError):
        writer.write_response(status, "", headers, message.encode())


def make_request_handler(
    context: WorkerContext,
) -> Callable[[listener.Request], None]:
    """Returns the function that serves a request in a worker thread."""
    local_ids = itertools.count(1)

    def serve(request: listener.Request) -> None:
        path = request.uri.partition(b"?")[0].decode("latin-1")
        sock: socket.socket = request.conn.socket
        writer = response_writer.ResponseWriter(
            request, context.closes_connections, context.readers
        )
        try:
            body = request.get_body()
            head = wire_headers.decode_request(request.header_pairs, path)
        except request_body.BodyError as error:
            is_full = error.status == 503
            _refuse_early(
                context,
                writer,
                "no_memory" if is_full else "bad_body",
                error.status,
                str(error),
                _MEMORY_RETRY_AFTER if is_full else None,
            )
            return
        except exceptions.DecodeError as error:
            _refuse_early(context, writer, "bad_header", 400, str(error))
            return
        outgoing_request = upstream.OutgoingRequest(
            request.method.decode("latin-1"),
            request.uri.decode("latin-1"),
            tuple(wire_headers.filter_request_headers(request.header_pairs)),
            body,
            head.request_id,
        )
        active_request = ActiveRequest(next(local_ids))
        context.active_requests[active_request.local_id] = active_request
        context.post_event(
            requests.RequestArrived(
                active_request.local_id,
                head,
                disconnect_watcher.has_disconnected(sock, writer.probe),
            )
        )
        context.watcher.add(sock, active_request.local_id, writer.probe)
        try:
            _Worker(
                writer,
                outgoing_request,
                active_request,
                context,
                request.reservation,
                bool(head.all_parts),
            ).run()
        finally:
            context.watcher.remove(sock)
            context.post_event(requests.RequestEnded(active_request.local_id))

    return serve
