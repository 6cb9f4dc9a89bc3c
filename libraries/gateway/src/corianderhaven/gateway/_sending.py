"""One send of a request to one endpoint."""

import asyncio

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

from ._job import SendResult
from ._silence import ActiveStream
from ._wire import AttemptMetadata

# Twenty times the way within a region: a lost first packet is sent again only after a second,
# and another endpoint's first event must still come in time.
CONNECT_TIMEOUT_MS = 60.0
DEADLINE_SLACK_MS = 10.0  # the endpoint stops before this daemon does
RESUMED_PRIORITY = 0
ON_TIME_PRIORITY = 2
LATE_PRIORITY = 6
MOST_PRIORITY = 9


class Sender:
    """Sends requests to endpoints and passes their answers on.

    Parameters
    ----------
    wire : WireFormat
    load_book : LoadBook
    silence : SilenceWatch
    clock : Clock
    source_ip : str or None
    """

    def __init__(self, wire, load_book, silence, clock, source_ip=None):
        self.wire = wire
        self.load_book = load_book
        self.silence = silence
        self.clock = clock
        self.source_ip = source_ip

    async def exchange(self, job, endpoint, patience_ms=None):
        """Send a request and pass the whole answer on once it is whole."""
        connection = await self._open(job, endpoint)
        if connection is None:
            return SendResult.NOT_SENT
        try:
            async with asyncio.timeout(patience_ms / MS_PER_S if patience_ms else None):
                await self._send(job, endpoint, connection)
                head = await connection.read_head()
                body = await connection.read_body()
        except TimeoutError:
            if self.clock.now_ms() >= job.deadline_ms:
                raise
            self.load_book.note_result(endpoint.id, True)
            return SendResult.SILENT
        except ConnectionLostError:
            self.load_book.note_result(endpoint.id, True)
            return SendResult.BROKEN
        finally:
            connection.close()
        result = self._judge(job, endpoint, head)
        failed = result is not SendResult.COMPLETE and result is not SendResult.NOT_RUN
        self.load_book.note_result(endpoint.id, failed)
        if result is SendResult.FAILED:
            job.failed_answer = (head.status, self.wire.caller_headers(head), body)
        elif result is SendResult.COMPLETE:
            job.note_passed(self.clock.now_ms())
            await job.caller.send_response(head.status, self.wire.caller_headers(head), body)
        return result

    async def stream(self, job, endpoint, pace, late):
        """Send a request and pass the events of its answer on as they arrive."""
        connection = await self._open(job, endpoint)
        if connection is None:
            return SendResult.NOT_SENT
        running = self.load_book.occupancy(endpoint.id)
        predicted_ms = pace.first_event_ms(job.facts.prompt_tokens, running)
        stream = ActiveStream(
            endpoint.id,
            self.clock.now_ms(),
            pace.wait_ms(running) + predicted_ms,
            pace.longest_event_ms(running),
            job.may_move(),
            connection.close,
        )
        self.silence.begin(stream)
        try:
            await self._send(job, endpoint, connection, self._priority(job, late))
            head = await connection.read_head()
            result = self._judge(job, endpoint, head)
            if result is SendResult.FAILED:
                body = await connection.read_body()
                job.failed_answer = (head.status, self.wire.caller_headers(head), body)
            if result is not SendResult.COMPLETE:
                return result
            if running < pace.engine.slots:
                pace.note_first_event(predicted_ms, self.clock.now_ms() - stream.sent_ms)
            return await self._pass_events(job, head, connection, stream)
        except ConnectionLostError:
            return SendResult.SILENT if stream.silent else SendResult.BROKEN
        finally:
            self.silence.end(stream)
            connection.close()

    async def _open(self, job, endpoint):
        job.sends += 1
        try:
            return await ClientConnection.open(endpoint.address, CONNECT_TIMEOUT_MS, self.source_ip)
        except ConnectionLostError:
            self.load_book.note_result(endpoint.id, True)
            return None

    def _priority(self, job, late):
        if job.head_passed:
            return RESUMED_PRIORITY
        base = LATE_PRIORITY if late else ON_TIME_PRIORITY
        return min(MOST_PRIORITY, base + job.priority)

    async def _send(self, job, endpoint, connection, priority=None):
        left_ms = job.deadline_ms - self.clock.now_ms() - DEADLINE_SLACK_MS
        facts = AttemptMetadata(
            endpoint.id,
            job.account.name if job.account else None,
            max(1.0, left_ms),
            priority,
            job.splitter.last_id,
        )
        headers = self.wire.endpoint_headers(job.request, facts)
        job.may_have_run += 1
        request = job.request
        await connection.send(request.method, request.target, headers, request.body)

    def _judge(self, job, endpoint, head):
        """Return what an answer's status and headers say of its request."""
        answer = self.wire.read_response(head)
        if answer.load is not None:
            self.load_book.tell(endpoint.id, answer.load)
        if answer.request_id not in (None, job.facts.request_id):
            return SendResult.BROKEN
        if answer.not_run:
            job.may_have_run -= 1
            return SendResult.MISDIRECTED if answer.misdirected else SendResult.NOT_RUN
        if not 200 <= head.status < 300:
            return SendResult.FAILED
        if not answer.stamped or head.header("content-encoding"):
            return SendResult.BROKEN
        return SendResult.COMPLETE

    async def _pass_events(self, job, head, connection, stream):
        if not job.head_passed:
            await job.caller.send_head(head.status, self.wire.caller_headers(head))
            job.head_passed = True
        job.splitter.drop_rest()
        self.silence.sign(stream)
        while (part := await connection.read_chunk()) is not None:
            self.silence.sign(stream)
            events = job.splitter.feed(part)
            if events:
                job.note_passed(self.clock.now_ms())
                await job.caller.send_chunk(events)
        if job.splitter.rest:
            return SendResult.BROKEN
        await job.caller.send_end()
        return SendResult.COMPLETE
