"""Sending of a request to one endpoint and forwarding of the answer."""

import asyncio

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

from . import _metrics
from ._answer_status import is_final_error, is_whole_success
from ._attempt import Attempt
from ._connection_pool import ConnectionPool
from ._event_stream import EventTooLargeError, read_to_first_event
from ._path_prober import CONNECT_TIMEOUT_MS
from ._request_context import AttemptResult
from ._silence_detector import FIRST_EVENT_SLACK_MS, ActiveStream
from ._wire import AttemptMetadata

DEADLINE_SLACK_MS = 10.0  # the endpoint stops before this daemon does
# A head under a burst answers late too; a request sent again would add to its load.
KEPT_STREAM_TIMEOUT_MS = 1_000.0
KEPT_STREAM_FACTOR = 4.0
GATEWAY_TIMEOUT = 504
OTHER_ANSWER = "answer of another request"
# A connection that was dropped at rest breaks one round trip after a request is sent on it.
DROP_ROUND_TRIPS = 2.0
DROP_SLACK_MS = 2.0  # of the event loop
RESUMED_PRIORITY = 0
ON_TIME_PRIORITY = 2
LATE_PRIORITY = 6
MAX_PRIORITY = 9


class _EndpointDeniedError(Exception):
    """The endpoint may get no requests any more."""


class Sender:
    """Sends requests to endpoints and forwards their answers.

    Parameters
    ----------
    wire : WireFormat
    load_tracker : LoadTracker
    silence_detector : SilenceDetector
    reachability : Reachability
    access : EndpointAccess
    clock : Clock
    decisions : DecisionLog
    source_ip : str or None

    Attributes
    ----------
    may_retry : callable
        Returns whether a request of a service may be sent once more now.
    spend_retry : callable
        Counts such a repetition; returns False when it is not allowed any more.
    may_send_now : callable
        Returns whether an endpoint may get one more request, and counts it.
    on_leaving : callable
        Called with an `Endpoint` that says in an answer that it leaves.
    on_limit : callable
        Called for each answer with the `Endpoint`, the limit that it names, and the time in ms at
        which the request was sent.
    on_cold : callable
        Called with an `Endpoint` that says in an answer that it is cold, and for how many ms.
    """

    def __init__(
        self,
        wire,
        load_tracker,
        silence_detector,
        reachability,
        access,
        clock,
        decisions,
        source_ip=None,
    ):
        self.wire = wire
        self.decisions = decisions
        self.pool = ConnectionPool(clock)
        self.may_retry = lambda service: True
        self.spend_retry = lambda service: True
        self.may_send_now = lambda endpoint: True
        self.load_tracker = load_tracker
        self.silence_detector = silence_detector
        self.reachability = reachability
        self.access = access
        self.clock = clock
        self.source_ip = source_ip
        self.waiting = set()
        self.on_leaving = lambda endpoint: None
        self.on_limit = lambda endpoint, limit_per_s, sent_ms: None
        self.on_cold = lambda endpoint, remaining_ms: None

    def replace_waiting_on_lost_paths(self):
        """Look for replacements of the attempts that wait for an answer by a lost path."""
        for attempt in list(self.waiting):
            if self.reachability.loses_data(attempt.endpoint):
                attempt.on_silence()

    def overdue_on_kept_connections(self):
        """Return an endpoint of each service at which a kept connection brings no answer in time.

        The endpoint may have dropped the connection, or the path to it may be lost.
        """
        now = self.clock.now_ms()
        overdue = {}
        for attempt in self.waiting:
            stream, service = attempt.stream, attempt.endpoint.service
            if stream is None or not stream.on_kept_connection:
                continue
            expected_ms = stream.expected_first_event_ms + FIRST_EVENT_SLACK_MS
            since_ms = attempt.sent_ms
            if now - since_ms > expected_ms and not self.reachability.heard_since(
                attempt.endpoint, since_ms
            ):
                overdue[service] = attempt.endpoint
        return list(overdue.values())

    def begin_buffered(self, context, endpoint, opening, replaces=None):
        """Return an attempt whose answer is forwarded once it is complete."""
        return Attempt(context, endpoint, opening, replaces)

    async def prepare_buffered(self, attempt):
        """Send a request and read the whole answer."""
        endpoint = attempt.endpoint
        try:
            head = attempt.head = await self._request_head(attempt)
            if head is None:
                return AttemptResult.NOT_SENT
            attempt.body = await attempt.connection.read_body()
            self.pool.give_back(endpoint, attempt.release(), head)
        except ConnectionLostError as error:
            return self._record_lost(attempt, error)
        result = self._classify_response(attempt, head)
        sound = result in (AttemptResult.COMPLETE, AttemptResult.NOT_RUN)
        failed = not sound and not self.load_tracker.held_for_ms(endpoint)
        self.load_tracker.record_result(endpoint.id, failed)
        if result is AttemptResult.FAILED:
            self._keep_error(attempt)
        return result

    async def deliver_buffered(self, attempt):
        """Forward the answer of a prepared attempt."""
        context, head = attempt.context, attempt.head
        context.record_forwarded(self.clock.now_ms())
        await context.caller.send_response(
            head.status, self.wire.caller_headers(head), attempt.body
        )
        return AttemptResult.COMPLETE

    def begin_streaming(self, context, endpoint, opening, estimator, late, replaces=None):
        """Return an attempt whose events are forwarded as they arrive."""
        running = self.load_tracker.occupancy(endpoint.id)
        predicted_ms = estimator.first_event_ms(context.metadata.prompt_tokens, running)
        first_event_ms = estimator.queue_wait_ms(running) + predicted_ms
        attempt = Attempt(
            context,
            endpoint,
            opening,
            replaces,
            self._priority(context, late),
            max(KEPT_STREAM_TIMEOUT_MS, KEPT_STREAM_FACTOR * first_event_ms),
        )
        attempt.stream = ActiveStream(
            endpoint.id,
            self.clock.now_ms(),
            first_event_ms,
            estimator.max_event_interval_ms(running),
            context.can_fail_over(),
            lambda: attempt.on_silence(),
        )
        if running < estimator.engine.slots:
            attempt.on_head = lambda: estimator.record_first_event(
                predicted_ms, self.clock.now_ms() - attempt.stream.sent_ms
            )
        self.silence_detector.add(attempt.stream)
        return attempt

    def end(self, attempt):
        """Release what an attempt holds."""
        if attempt.stream is not None:
            self.silence_detector.remove(attempt.stream)
        attempt.close()
        attempt.drop_answer()

    async def prepare_streaming(self, attempt):
        """Send a request and read the head of its answer.

        An attempt that replaces another also reads up to the first event, or the end.
        """
        try:
            result = await self._read_stream_head(attempt)
            if result is AttemptResult.COMPLETE and attempt.replaces is not None:
                await self._read_ahead(attempt)
            return result
        except (ConnectionLostError, EventTooLargeError) as error:
            return self._record_lost(attempt, error)

    async def _read_stream_head(self, attempt):
        head = attempt.head = await self._request_head(attempt)
        if head is None:
            return AttemptResult.NOT_SENT
        result = self._classify_response(attempt, head)
        if result is AttemptResult.FAILED:
            attempt.body = await attempt.connection.read_body()
            self._keep_error(attempt)
            # At the deadline, the caller's time was too short, not the endpoint at fault.
            if head.status != GATEWAY_TIMEOUT:
                self.load_tracker.record_result(attempt.endpoint.id, True)
        if result is AttemptResult.COMPLETE:
            attempt.on_head()
            self.silence_detector.record_activity(attempt.stream)
        return result

    async def _read_ahead(self, attempt):
        """Read an answer up to its first event, which is forwarded only if it is needed."""
        last_event_id = attempt.context.splitter.last_event_id
        attempt.data, attempt.ended = await read_to_first_event(
            attempt.connection, attempt.head, last_event_id
        )
        if not attempt.ended:
            self.silence_detector.record_activity(attempt.stream)

    async def deliver_streaming(self, attempt):
        """Forward the events of a prepared attempt up to the end of its answer."""
        try:
            result = await self._forward_events(attempt)
        except (ConnectionLostError, EventTooLargeError) as error:
            return self._record_lost(attempt, error)
        self.load_tracker.record_result(attempt.endpoint.id, result is not AttemptResult.COMPLETE)
        if result is AttemptResult.COMPLETE:
            self.pool.give_back(attempt.endpoint, attempt.release(), attempt.head)
        return result

    def _record_lost(self, attempt, error):
        attempt.failure = "superseded" if attempt.superseded else str(error)
        self.load_tracker.record_result(attempt.endpoint.id, True)
        return AttemptResult.SILENT if attempt.superseded else AttemptResult.BROKEN

    def _keep_error(self, attempt):
        """Keep the error that an endpoint answered, for a request that nothing else ends."""
        head = attempt.head
        if not is_final_error(head.status, self.wire.read_response(head).stamped):
            return
        headers = self.wire.caller_headers(head)
        attempt.context.keep_error(head.status, headers, attempt.body)

    async def _request_head(self, attempt):
        """Send the request and return the head of its answer; None if no connection was made."""
        self.waiting.add(attempt)
        try:
            return await self._send_and_read_head(attempt)
        except _EndpointDeniedError as error:
            attempt.failure, attempt.denied = str(error), True
            _metrics.DENIED_SENDS.labels(attempt.endpoint.service, attempt.failure).inc()
            if attempt.sent:
                # The endpoint may have run what a lost kept connection carried.
                raise ConnectionLostError(attempt.failure) from None
            return None
        finally:
            self.waiting.discard(attempt)

    async def _send_and_read_head(self, attempt):
        """Send the request and return the head of its answer; None if no connection was made.

        A kept connection may have been dropped, which only shows when a request on it breaks it.
        Such a request, which may run more than once, is sent again on a new connection, and so is
        one that gets a late copy of an earlier answer. One that gets no answer, bytes that are
        none, or the end of the connection only after the endpoint may have run it, goes to
        another endpoint: the fault may be this one's.
        """
        context, endpoint = attempt.context, attempt.endpoint
        context.attempts += 1
        self._check_access(attempt)
        kept = None
        if self._may_use_kept_connection(attempt):
            kept = self.pool.take(endpoint)
        if kept is not None:
            head = await self._request_on_kept(attempt, kept)
            if head is not None:
                return head
        if self.reachability.is_scope_lost(endpoint):
            attempt.failure = "path lost"
            if kept is not None:
                raise ConnectionLostError("path lost")
            return None
        try:
            attempt.connection = await ClientConnection.open(
                endpoint.address, CONNECT_TIMEOUT_MS, self.source_ip
            )
        except ConnectionLostError as error:
            attempt.failure = str(error)
            cause = "refused" if error.refused else "no answer"
            _metrics.CONNECTION_FAILURES.labels(endpoint.service, cause).inc()
            self.reachability.record_failed(endpoint)
            self.load_tracker.record_result(endpoint.id, True)
            if kept is not None:
                raise
            return None
        _metrics.CONNECTIONS.labels(endpoint.service, "new").inc()
        self.reachability.record_connected(endpoint)
        if attempt.superseded:
            raise ConnectionLostError("superseded")
        await self._send(attempt)
        head = await attempt.connection.read_head()
        self.reachability.record_data(endpoint)
        return head

    def _may_use_kept_connection(self, attempt):
        """Return whether the request can be sent again if the kept connection was dropped."""
        context, endpoint = attempt.context, attempt.endpoint
        if attempt.replaces is not None:
            return False
        if not (context.can_fail_over() and self.may_retry(context.service.name)):
            return False
        return self.reachability.keeps_connections(endpoint)

    async def _request_on_kept(self, attempt, kept):
        """Return the head of the answer on a kept connection, or None to use a new one."""
        endpoint = attempt.endpoint
        attempt.connection = kept.connection
        attempt.mark_kept(True, self.clock.now_ms())
        overdue = asyncio.get_running_loop().call_later(
            attempt.head_timeout_ms / MS_PER_S, lambda: attempt.on_silence()
        )
        try:
            await self._send(attempt)
            head = await kept.connection.read_head()
            # A late copy of an earlier answer bears the id of another request.
            if self.wire.read_response(head).request_id == attempt.context.metadata.request_id:
                attempt.mark_kept(False, attempt.sent_ms)
                self.pool.record_good(endpoint, kept)
                self.reachability.record_data(endpoint)
                _metrics.CONNECTIONS.labels(endpoint.service, "kept").inc()
                return head
            reason = OTHER_ANSWER
        except ConnectionLostError as error:
            reason = str(error)
        finally:
            overdue.cancel()
        self._record_kept_lost(attempt, kept, reason)
        if attempt.superseded:
            raise ConnectionLostError(reason)
        attempt.close()
        waited_ms = self.clock.now_ms() - attempt.sent_ms
        attempt.mark_kept(False, self.clock.now_ms())
        repeatable = reason == OTHER_ANSWER or _was_dropped(kept.connection, waited_ms)
        may_repeat = repeatable and self.may_send_now(endpoint)
        if not may_repeat or not self.spend_retry(attempt.context.service.name):
            raise ConnectionLostError(reason)
        return None

    def _record_kept_lost(self, attempt, kept, reason):
        now, endpoint = self.clock.now_ms(), attempt.endpoint
        is_overdue = now - attempt.sent_ms >= attempt.head_timeout_ms
        if not kept.connection.answered and (is_overdue or not attempt.superseded):
            self.pool.record_dropped(endpoint, kept)
        self.decisions.record(
            "kept_connection_lost",
            request=attempt.context.metadata.request_id,
            endpoint=endpoint.id,
            since_use_ms=round(now - kept.since_ms),
            waited_ms=round(now - attempt.sent_ms, 1),
            reason="superseded" if attempt.superseded else reason,
        )

    def _priority(self, context, late):
        if context.head_forwarded or (context.origin is not None and context.origin.resumed):
            return RESUMED_PRIORITY
        base = LATE_PRIORITY if late else ON_TIME_PRIORITY
        return min(MAX_PRIORITY, base + context.priority)

    def _check_access(self, attempt):
        reason = self.access.refusal(attempt.endpoint)
        if reason is not None:
            raise _EndpointDeniedError(reason)

    async def _send(self, attempt):
        """Send the request unless the endpoint is denied, which may have changed meanwhile."""
        self._check_access(attempt)
        context, endpoint = attempt.context, attempt.endpoint
        attempt.sent = True
        attempt.sent_ms = self.clock.now_ms()
        remaining_ms = context.deadline_ms - self.clock.now_ms() - DEADLINE_SLACK_MS
        metadata = AttemptMetadata(
            endpoint.id,
            context.account.name if context.account else None,
            max(1.0, remaining_ms),
            attempt.priority,
            context.splitter.last_event_id,
        )
        headers = self.wire.endpoint_headers(context.request, metadata)
        context.possible_runs[endpoint.id] += 1
        request = context.request
        await attempt.connection.send(request.method, request.target, headers, request.body)

    def _classify_response(self, attempt, head):
        """Return the result that a response's status and headers indicate."""
        context, endpoint = attempt.context, attempt.endpoint
        response = self.wire.read_response(head)
        if response.endpoint_id in (None, endpoint.id):
            self._record_statements(attempt, response)
        if response.request_id not in (None, context.metadata.request_id):
            return AttemptResult.BROKEN
        if response.not_run:
            context.possible_runs[endpoint.id] -= 1
            return AttemptResult.MISDIRECTED if response.misdirected else AttemptResult.NOT_RUN
        if not 200 <= head.status < 300:
            return AttemptResult.FAILED
        if not response.stamped or head.header("content-encoding"):
            return AttemptResult.BROKEN
        if not is_whole_success(head.status, attempt.stream is not None, context.request):
            return AttemptResult.BROKEN
        return AttemptResult.COMPLETE

    def _record_statements(self, attempt, response):
        """Record what an endpoint says of itself in an answer."""
        endpoint = attempt.endpoint
        self.on_limit(endpoint, response.limit_per_s, attempt.sent_ms)
        if response.cold_ms:
            self.on_cold(endpoint, response.cold_ms)
        if response.load is not None:
            self.load_tracker.record_load(endpoint.id, response.load)
        if response.leaving:
            self.on_leaving(endpoint)
        if response.retry_after_ms:
            self.load_tracker.hold(endpoint, response.retry_after_ms)

    async def _forward_events(self, attempt):
        context, head = attempt.context, attempt.head
        if not context.head_forwarded:
            await context.caller.send_head(head.status, self.wire.caller_headers(head))
            context.head_forwarded = True
        context.splitter.discard_partial()
        while (chunk := await self._next_chunk(attempt)) is not None:
            await self._forward_chunk(attempt, chunk)
        if context.splitter.partial or (head.ends_with_connection and not context.has_events):
            return AttemptResult.BROKEN
        attempt.on_progress()
        attempt.ended_with_connection = head.ends_with_connection
        await context.caller.send_end()
        return AttemptResult.COMPLETE

    async def _next_chunk(self, attempt):
        """Return the next piece of a streamed answer, or None at its end."""
        if attempt.data:
            data, attempt.data = attempt.data, b""
            return data
        if attempt.ended:
            return None
        chunk = await attempt.connection.read_chunk()
        if attempt.yields():
            attempt.supersede()
        if attempt.superseded:
            raise ConnectionLostError("superseded")  # the other attempt brings this, too
        if chunk is not None:
            self.reachability.record_data(attempt.endpoint)
        return chunk

    async def _forward_chunk(self, attempt, chunk):
        context = attempt.context
        data_events = context.splitter.data_event_count
        events = context.splitter.feed(chunk)
        completed = context.splitter.data_event_count - data_events
        if completed:
            attempt.on_progress()
            attempt.events += completed
            context.sound |= attempt.opening.record_events(attempt.events)
            self.silence_detector.record_activity(attempt.stream)
        if events:
            context.record_forwarded(self.clock.now_ms())
            await self._forward(context, attempt.stream, events)

    async def _forward(self, context, stream, events):
        """Send events to the caller, however slowly it reads them."""
        stream.caller_blocked = True
        try:
            await context.caller.send_chunk(events)
        finally:
            stream.caller_blocked = False
        stream.last_activity_ms = self.clock.now_ms()


def _was_dropped(connection, waited_ms):
    """Return whether a connection had been dropped before the request that broke it was read."""
    shows_within_ms = DROP_ROUND_TRIPS * connection.connect_ms + DROP_SLACK_MS
    return not connection.answered and waited_ms <= shows_within_ms
