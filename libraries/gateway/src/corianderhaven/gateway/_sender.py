"""Sending of a request to one endpoint and forwarding of the answer."""

import asyncio

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

from ._event_stream import EventTooLargeError
from ._request_context import AttemptResult
from ._silence_detector import ActiveStream
from ._wire import AttemptMetadata

# Twenty times the latency within a region. TCP resends a lost first packet only after a second,
# but the first event of another endpoint must still arrive in time.
CONNECT_TIMEOUT_MS = 60.0
DEADLINE_SLACK_MS = 10.0  # the endpoint stops before this daemon does
RESUMED_PRIORITY = 0
ON_TIME_PRIORITY = 2
LATE_PRIORITY = 6
MAX_PRIORITY = 9


class Sender:
    """Sends requests to endpoints and forwards their answers.

    Parameters
    ----------
    wire : WireFormat
    load_tracker : LoadTracker
    silence_detector : SilenceDetector
    clock : Clock
    source_ip : str or None
    """

    def __init__(self, wire, load_tracker, silence_detector, clock, source_ip=None):
        self.wire = wire
        self.load_tracker = load_tracker
        self.silence_detector = silence_detector
        self.clock = clock
        self.source_ip = source_ip
        self.on_leaving = lambda endpoint: None

    async def send_buffered(self, context, endpoint, timeout_ms=None):
        """Send a request and forward the answer once it is complete."""
        connection = await self._open(context, endpoint)
        if connection is None:
            return AttemptResult.NOT_SENT
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S if timeout_ms else None):
                await self._send(context, endpoint, connection)
                head = await connection.read_head()
                body = await connection.read_body()
        except TimeoutError:
            if self.clock.now_ms() >= context.deadline_ms:
                raise
            self.load_tracker.record_result(endpoint.id, True)
            return AttemptResult.SILENT
        except ConnectionLostError:
            self.load_tracker.record_result(endpoint.id, True)
            return AttemptResult.BROKEN
        finally:
            connection.close()
        result = self._classify_response(context, endpoint, head)
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
        connection = await self._open(context, endpoint)
        if connection is None:
            return AttemptResult.NOT_SENT
        running = self.load_tracker.occupancy(endpoint.id)
        predicted_ms = estimator.first_event_ms(context.metadata.prompt_tokens, running)
        stream = ActiveStream(
            endpoint.id,
            self.clock.now_ms(),
            estimator.queue_wait_ms(running) + predicted_ms,
            estimator.max_event_interval_ms(running),
            context.can_fail_over(),
            connection.close,
        )
        self.silence_detector.add(stream)
        try:
            await self._send(context, endpoint, connection, self._priority(context, late))
            head = await connection.read_head()
            result = self._classify_response(context, endpoint, head)
            if result is AttemptResult.FAILED:
                body = await connection.read_body()
                context.error_response = (head.status, self.wire.caller_headers(head), body)
            if result is not AttemptResult.COMPLETE:
                return result
            if running < estimator.engine.slots:
                estimator.record_first_event(predicted_ms, self.clock.now_ms() - stream.sent_ms)
            return await self._forward_events(context, head, connection, stream)
        except (ConnectionLostError, EventTooLargeError):
            return AttemptResult.SILENT if stream.silent else AttemptResult.BROKEN
        finally:
            self.silence_detector.remove(stream)
            connection.close()

    async def _open(self, context, endpoint):
        context.attempts += 1
        try:
            return await ClientConnection.open(endpoint.address, CONNECT_TIMEOUT_MS, self.source_ip)
        except ConnectionLostError:
            self.load_tracker.record_result(endpoint.id, True)
            return None

    def _priority(self, context, late):
        if context.head_forwarded:
            return RESUMED_PRIORITY
        base = LATE_PRIORITY if late else ON_TIME_PRIORITY
        return min(MAX_PRIORITY, base + context.priority)

    async def _send(self, context, endpoint, connection, priority=None):
        remaining_ms = context.deadline_ms - self.clock.now_ms() - DEADLINE_SLACK_MS
        metadata = AttemptMetadata(
            endpoint.id,
            context.account.name if context.account else None,
            max(1.0, remaining_ms),
            priority,
            context.splitter.last_event_id,
        )
        headers = self.wire.endpoint_headers(context.request, metadata)
        context.possible_executions += 1
        request = context.request
        await connection.send(request.method, request.target, headers, request.body)

    def _classify_response(self, context, endpoint, head):
        """Return the result that a response's status and headers indicate."""
        response = self.wire.read_response(head)
        if response.load is not None:
            self.load_tracker.record_load(endpoint.id, response.load)
        if response.leaving:
            self.on_leaving(endpoint)
        if response.retry_after_ms:
            self.load_tracker.hold(endpoint, response.retry_after_ms)
        if response.request_id not in (None, context.metadata.request_id):
            return AttemptResult.BROKEN
        if response.not_run:
            context.possible_executions -= 1
            return AttemptResult.MISDIRECTED if response.misdirected else AttemptResult.NOT_RUN
        if not 200 <= head.status < 300:
            return AttemptResult.FAILED
        if not response.stamped or head.header("content-encoding"):
            return AttemptResult.BROKEN
        return AttemptResult.COMPLETE

    async def _forward_events(self, context, head, connection, stream):
        if not context.head_forwarded:
            await context.caller.send_head(head.status, self.wire.caller_headers(head))
            context.head_forwarded = True
        context.splitter.discard_partial()
        self.silence_detector.record_activity(stream)
        while (chunk := await connection.read_chunk()) is not None:
            data_events = context.splitter.data_event_count
            events = context.splitter.feed(chunk)
            if context.splitter.data_event_count > data_events:
                self.silence_detector.record_activity(stream)
            if events:
                context.record_forwarded(self.clock.now_ms())
                await self._forward(context, stream, events)
        if context.splitter.partial:
            return AttemptResult.BROKEN
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
