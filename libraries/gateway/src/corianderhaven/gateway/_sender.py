"""Sending of a request to one endpoint and forwarding of the answer."""

import asyncio

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

from . import _metrics
from ._connection_pool import ConnectionPool
from ._event_stream import EventTooLargeError
from ._path_prober import CONNECT_TIMEOUT_MS
from ._request_context import AttemptResult
from ._silence_detector import FIRST_EVENT_SLACK_MS, ActiveStream
from ._wire import AttemptMetadata

DEADLINE_SLACK_MS = 10.0  # the endpoint stops before this daemon does
# A head under a burst answers late too; a request sent again would add to its load.
KEPT_STREAM_TIMEOUT_MS = 1_000.0
KEPT_STREAM_FACTOR = 4.0
KEPT_HEAD_TIMEOUT_MS = 400.0  # several times the time of a plain service's answer
GATEWAY_TIMEOUT = 504
OTHER_ANSWER = "answer of another request"
# A connection that was dropped at rest breaks one round trip after a request is sent on it.
DROP_ROUND_TRIPS = 2.0
DROP_SLACK_MS = 2.0  # of the event loop
RESUMED_PRIORITY = 0
ON_TIME_PRIORITY = 2
LATE_PRIORITY = 6
MAX_PRIORITY = 9


class Attempt:
    """One attempt of a request at an endpoint, and the connection that it uses.

    Parameters
    ----------
    context : RequestContext
    endpoint : Endpoint
    priority : int or None
        Priority at the endpoint.
    head_timeout_ms : float
        Time after which a kept connection that brought no answer counts as dropped.
    """

    def __init__(self, context, endpoint, priority=None, head_timeout_ms=KEPT_HEAD_TIMEOUT_MS):
        self.context = context
        self.endpoint = endpoint
        self.priority = priority
        self.head_timeout_ms = head_timeout_ms
        self.connection = None
        self.stream = None
        self.sent_ms = 0.0
        self.path_lost = False

    @property
    def interrupted(self):
        """Whether this daemon closed the connection, as nothing came on it."""
        if self.path_lost:
            return True
        return self.stream is not None and (self.stream.silent or self.stream.stalled)

    def mark_kept(self, kept, sent_ms):
        """Set whether the request waits on a kept connection, and when it was sent."""
        self.sent_ms = sent_ms
        if self.stream is not None:
            self.stream.on_kept_connection, self.stream.sent_ms = kept, sent_ms

    def release(self):
        """Return the connection, which then stays open."""
        connection, self.connection = self.connection, None
        return connection

    def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()


class Sender:
    """Sends requests to endpoints and forwards their answers.

    Parameters
    ----------
    wire : WireFormat
    load_tracker : LoadTracker
    silence_detector : SilenceDetector
    reachability : Reachability
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
    """

    def __init__(
        self,
        wire,
        load_tracker,
        silence_detector,
        reachability,
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
        self.clock = clock
        self.source_ip = source_ip
        self.waiting = set()
        self.on_leaving = lambda endpoint: None
        self.on_limit = lambda endpoint, limit_per_s, sent_ms: None

    def interrupt_waiting_on_lost_paths(self):
        """End the attempts that wait for an answer by a lost path, and that may be made again."""
        for attempt in list(self.waiting):
            service = attempt.context.service.name
            if (
                attempt.context.can_retry(AttemptResult.SILENT)
                and self.reachability.loses_data(attempt.endpoint)
                and self.may_retry(service)
            ):
                attempt.path_lost = True
                attempt.close()

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

    async def send_buffered(self, context, endpoint, timeout_ms=None):
        """Send a request and forward the answer once it is complete."""
        attempt = Attempt(context, endpoint)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S if timeout_ms else None):
                head = await self._request_head(attempt)
                if head is None:
                    return AttemptResult.NOT_SENT
                body = await attempt.connection.read_body()
            self.pool.give_back(endpoint, attempt.release(), head)
        except TimeoutError:
            if self.clock.now_ms() >= context.deadline_ms:
                raise
            context.failure = "no answer in time"
            self.load_tracker.record_result(endpoint.id, True)
            return AttemptResult.SILENT
        except ConnectionLostError as error:
            context.failure = str(error)
            self.load_tracker.record_result(endpoint.id, True)
            return AttemptResult.SILENT if attempt.interrupted else AttemptResult.BROKEN
        finally:
            attempt.close()
        result = self._classify_response(attempt, head)
        sound = result in (AttemptResult.COMPLETE, AttemptResult.NOT_RUN)
        failed = not sound and not self.load_tracker.held_for_ms(endpoint)
        self.load_tracker.record_result(endpoint.id, failed)
        if result is AttemptResult.FAILED:
            context.error_response = (head.status, self.wire.caller_headers(head), body)
        elif result is AttemptResult.COMPLETE:
            context.record_forwarded(self.clock.now_ms())
            await context.caller.send_response(head.status, self.wire.caller_headers(head), body)
        return result

    async def send_streaming(self, context, endpoint, estimator, late):
        """Send a request and forward the events of its answer as they arrive."""
        running = self.load_tracker.occupancy(endpoint.id)
        predicted_ms = estimator.first_event_ms(context.metadata.prompt_tokens, running)
        first_event_ms = estimator.queue_wait_ms(running) + predicted_ms
        attempt = Attempt(
            context,
            endpoint,
            self._priority(context, late),
            max(KEPT_STREAM_TIMEOUT_MS, KEPT_STREAM_FACTOR * first_event_ms),
        )
        stream = attempt.stream = ActiveStream(
            endpoint.id,
            self.clock.now_ms(),
            first_event_ms,
            estimator.max_event_interval_ms(running),
            context.can_fail_over(),
            attempt.close,
        )
        self.silence_detector.add(stream)
        try:
            head = await self._request_head(attempt)
            if head is None:
                return AttemptResult.NOT_SENT
            result = self._classify_response(attempt, head)
            if result is AttemptResult.FAILED:
                body = await attempt.connection.read_body()
                context.error_response = (head.status, self.wire.caller_headers(head), body)
                # At the deadline, the caller's time was too short, not the endpoint at fault.
                if head.status != GATEWAY_TIMEOUT:
                    self.load_tracker.record_result(endpoint.id, True)
            if result is not AttemptResult.COMPLETE:
                return result
            if running < estimator.engine.slots:
                estimator.record_first_event(predicted_ms, self.clock.now_ms() - stream.sent_ms)
            result = await self._forward_events(attempt, head)
            self.load_tracker.record_result(endpoint.id, result is not AttemptResult.COMPLETE)
            if result is AttemptResult.COMPLETE:
                self.pool.give_back(endpoint, attempt.release(), head)
            return result
        except (ConnectionLostError, EventTooLargeError) as error:
            context.failure = str(error)
            self.load_tracker.record_result(endpoint.id, True)
            silent = stream.silent or attempt.path_lost
            return AttemptResult.SILENT if silent else AttemptResult.BROKEN
        finally:
            self.silence_detector.remove(stream)
            attempt.close()

    async def _request_head(self, attempt):
        """Send the request and return the head of its answer; None if no connection was made."""
        self.waiting.add(attempt)
        try:
            return await self._send_and_read_head(attempt)
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
        context.attempt_events = 0
        context.failure = None
        kept = None
        if self._may_use_kept_connection(context, endpoint):
            kept = self.pool.take(endpoint)
        if kept is not None:
            head = await self._request_on_kept(attempt, kept)
            if head is not None:
                return head
        if self.reachability.is_scope_lost(endpoint):
            context.failure = "path lost"
            if kept is not None:
                raise ConnectionLostError("path lost")
            return None
        try:
            attempt.connection = await ClientConnection.open(
                endpoint.address, CONNECT_TIMEOUT_MS, self.source_ip
            )
        except ConnectionLostError as error:
            context.failure = str(error)
            cause = "refused" if error.refused else "no answer"
            _metrics.CONNECTION_FAILURES.labels(endpoint.service, cause).inc()
            self.reachability.record_failed(endpoint)
            self.load_tracker.record_result(endpoint.id, True)
            if kept is not None:
                raise
            return None
        _metrics.CONNECTIONS.labels(endpoint.service, "new").inc()
        self.reachability.record_connected(endpoint)
        await self._send(attempt)
        head = await attempt.connection.read_head()
        self.reachability.record_data(endpoint)
        return head

    def _may_use_kept_connection(self, context, endpoint):
        """Return whether the request can be sent again if the kept connection was dropped."""
        if not (context.can_fail_over() and self.may_retry(context.service.name)):
            return False
        return self.reachability.keeps_connections(endpoint)

    async def _request_on_kept(self, attempt, kept):
        """Return the head of the answer on a kept connection, or None to use a new one."""
        endpoint = attempt.endpoint
        attempt.connection = kept.connection
        attempt.mark_kept(True, self.clock.now_ms())
        try:
            async with asyncio.timeout(attempt.head_timeout_ms / MS_PER_S):
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
        except TimeoutError:
            reason = None
        except ConnectionLostError as error:
            if attempt.interrupted:
                raise
            reason = str(error)
        attempt.close()
        waited_ms = self.clock.now_ms() - attempt.sent_ms
        attempt.mark_kept(False, self.clock.now_ms())
        rest_ms = round(self.clock.now_ms() - kept.since_ms)
        if not kept.connection.answered:
            self.pool.record_dropped(endpoint, kept)
        self.decisions.record(
            "kept_connection_lost",
            request=attempt.context.metadata.request_id,
            endpoint=endpoint.id,
            since_use_ms=rest_ms,
            waited_ms=round(waited_ms, 1),
            reason=reason or "no answer",
        )
        repeatable = reason == OTHER_ANSWER or _was_dropped(kept.connection, waited_ms)
        may_repeat = repeatable and self.may_send_now(endpoint)
        if not may_repeat or not self.spend_retry(attempt.context.service.name):
            raise ConnectionLostError(reason or "no answer")
        return None

    def _priority(self, context, late):
        if context.head_forwarded or (context.origin is not None and context.origin.resumed):
            return RESUMED_PRIORITY
        base = LATE_PRIORITY if late else ON_TIME_PRIORITY
        return min(MAX_PRIORITY, base + context.priority)

    async def _send(self, attempt):
        context, endpoint = attempt.context, attempt.endpoint
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
        return AttemptResult.COMPLETE

    def _record_statements(self, attempt, response):
        """Record what an endpoint says of itself in an answer."""
        endpoint = attempt.endpoint
        self.on_limit(endpoint, response.limit_per_s, attempt.sent_ms)
        if response.load is not None:
            self.load_tracker.record_load(endpoint.id, response.load)
        if response.leaving:
            self.on_leaving(endpoint)
        if response.retry_after_ms:
            self.load_tracker.hold(endpoint, response.retry_after_ms)

    async def _forward_events(self, attempt, head):
        context, stream = attempt.context, attempt.stream
        if not context.head_forwarded:
            await context.caller.send_head(head.status, self.wire.caller_headers(head))
            context.head_forwarded = True
        context.splitter.discard_partial()
        self.silence_detector.record_activity(stream)
        while (chunk := await attempt.connection.read_chunk()) is not None:
            self.reachability.record_data(attempt.endpoint)
            data_events = context.splitter.data_event_count
            events = context.splitter.feed(chunk)
            if context.splitter.data_event_count > data_events:
                context.attempt_events += context.splitter.data_event_count - data_events
                context.sound |= context.opening.record_events(context.attempt_events)
                self.silence_detector.record_activity(stream)
            if events:
                context.record_forwarded(self.clock.now_ms())
                await self._forward(context, stream, events)
        if context.splitter.partial or (head.ends_with_connection and not context.has_events):
            return AttemptResult.BROKEN
        context.ended_with_connection = head.ends_with_connection
        await context.caller.send_end()
        return AttemptResult.COMPLETE

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
