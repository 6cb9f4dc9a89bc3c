"""Answers callers: routes, admission, sends, resumption, and what is said at the end."""

import asyncio

from corianderhaven.common import MS_PER_S, CallerDisconnectedError
from corianderhaven.fleet import Digest, HeadDigest, model_of

from . import _metrics
from ._admission import Refusal, pump_lines
from ._dispatcher import DEFAULT_GOAL_MS, Dispatcher
from ._event_stream import EventSplitter
from ._job import Job, SendResult
from ._load_book import LoadBook
from ._replica_view import ReplicaView
from ._retry_budget import RetryBudget
from ._routes import RouteTable
from ._sending import Sender
from ._silence import CHECK_MS, SilenceWatch

ANSWER_MARGIN_MS = 15.0  # for the final answer's way to the caller
MOST_SENDS = 4  # sends and refused connections of one request
NOT_READY_RETRY_MS = 500.0
PLAIN_RETRY_AFTER_MS = 200.0
NOT_RUN_RETRY_AFTER_MS = 400.0
REPEAT_AT_GOAL_PART = 0.7  # of the goal; leaves time for another endpoint's usual answer
LIVES_MS = 250.0  # longer than a pass that reads prompts, and than a digest's way
FORGET_PAUSE_MS = 5_000.0  # a few endpoints come and go in it; each costs some hundred bytes


class Gateway:
    """Handles the requests of callers.

    Parameters
    ----------
    settings : NodeSettings
    directory : EndpointDirectory
    holder : ActiveConfig
    wire : WireFormat
    peers : PeerTable
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, settings, directory, holder, wire, peers, clock, decisions):
        self.settings = settings
        self.directory = directory
        self.holder = holder
        self.wire = wire
        self.clock = clock
        self.decisions = decisions
        self.peers = peers
        peers.on_suspects = self._hear_suspects
        self.load_book = LoadBook(clock, peers)
        self.replica_view = ReplicaView(directory, holder, clock)
        self.dispatcher = Dispatcher(
            directory, self.replica_view, self.load_book, peers, settings.zone, clock
        )
        self.retry_budget = RetryBudget(clock, settings, peers.fleet_size)
        self.silence = SilenceWatch(clock, peers)
        self.sender = Sender(wire, self.load_book, self.silence, clock, settings.ip)
        self.table = None
        self.on_suspicion = lambda head_id, reason: None
        self.on_request = lambda: None
        self.draining = False
        self.in_flight = 0
        self.tasks = []
        holder.listeners.append(self._use_config)

    def start(self):
        """Begin the periodic checks."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(pump_lines(self.dispatcher.lines, self.clock)),
            loop.create_task(self._watch_silence()),
            loop.create_task(self._forget_gone()),
        ]

    def close(self):
        """Stop the periodic checks."""
        for task in self.tasks:
            task.cancel()

    async def handle(self, request, caller):
        """Answer one request."""
        self.in_flight += 1
        self.on_request()
        try:
            await self._handle(request, caller)
        finally:
            self.in_flight -= 1

    def refresh_metrics(self):
        """Set the gauges that are read at scrape time."""
        _metrics.IN_FLIGHT.set(self.in_flight)
        for (_, model), line in self.dispatcher.lines.items():
            _metrics.WAITING.labels(model).set(len(line.waiting))
        services = self.holder.config.services.values() if self.holder.config else ()
        for service in services:
            if service.engine is None:
                continue
            heads = self.replica_view.all_heads(service.name)
            for model in service.engine.models:
                _metrics.SERVING_REPLICAS.labels(model.name).set(len(heads.get(model.name, ())))
            serving = sum(len(heads.get(m.name, ())) * m.size for m in service.engine.models)
            vms = len(self.directory.endpoints(service.name))
            _metrics.STRANDED.labels(service.name).set(max(0, vms - serving))

    def make_digest(self):
        """Return what peers need to know."""
        heads = {
            head_id: HeadDigest(
                entry.own,
                round(self.silence.sign_age_ms(head_id)),
            )
            for head_id, entry in self.load_book.entries.items()
            if entry.own
        }
        return Digest(
            self.settings.name,
            self.settings.peers,
            heads,
            self.replica_view.suspected(),
            zone=self.settings.zone,
        )

    def _hear_suspects(self, suspects, daemon):
        for head_id, age_ms in suspects.items():
            head = self.directory.get(head_id)
            if head is not None and self.replica_view.suspect_told(head, age_ms):
                self.on_suspicion(head_id, f"told by {daemon}")

    def _use_config(self, config):
        self.table = RouteTable(config)

    async def _handle(self, request, caller):
        facts = self.wire.read_request(request)
        if self.table is None or self.draining:
            reason = "draining" if self.draining else "no configuration yet"
            await self._answer_early(request, caller, facts, 503, reason)
            return
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = self.table.match(request.header("host") or "", path)
        if route is None:
            await self._answer_early(request, caller, facts, 404, "no route")
            return
        account = self.table.account(facts.key)
        if account is None and not route.anonymous:
            await self._answer_early(request, caller, facts, 401, "unknown key")
            return
        service = self.table.service(route)
        limit_ms = min(facts.deadline_ms or route.timeout_ms, route.timeout_ms)
        deadline_ms = request.received_ms + limit_ms - ANSWER_MARGIN_MS
        job = Job(request, facts, route, account, service, caller, deadline_ms)
        job.splitter = EventSplitter(facts.last_event_id)
        await self._serve(job)

    async def _answer_early(self, request, caller, facts, status, reason):
        self.decisions.record(
            "request_rejected",
            request=facts.request_id,
            status=status,
            reason=reason,
            config=self.holder.config.version if self.holder.config else None,
        )
        headers = [(b"retry-after", b"%.2f" % (NOT_READY_RETRY_MS / MS_PER_S))]
        await caller.send_response(status, headers if status == 503 else [], b"")

    async def _serve(self, job):
        engine = job.service.engine if job.service else None
        try:
            remaining_ms = job.deadline_ms - self.clock.now_ms()
            async with asyncio.timeout(max(0.0, remaining_ms) / MS_PER_S):
                if job.service is None:
                    await self._refuse(job, "service unknown", NOT_READY_RETRY_MS)
                elif engine is not None and engine.model(job.facts.model):
                    await self._serve_stream(job, engine)
                else:
                    await self._serve_plain(job)
        except TimeoutError:
            await self._end_at_deadline(job)
        except asyncio.CancelledError:
            job.outcome = "caller_left"
            raise
        except CallerDisconnectedError:
            job.outcome = "caller_left"
            job.caller.abort_response()
        finally:
            self._log_end(job)

    async def _serve_stream(self, job, engine):
        model = engine.model(job.facts.model)
        pace = self.dispatcher.pace(job.service.name, engine, model)
        line = self.dispatcher.line(job.service.name, engine, model)
        self.retry_budget.note_request(job.service.name)
        while True:
            asked_ms = self.clock.now_ms()
            endpoint = await line.acquire(self.dispatcher.waiter(job, pace, engine))
            job.waited_ms += self.clock.now_ms() - asked_ms
            if isinstance(endpoint, Refusal):
                await self._give_up(job, endpoint.reason, endpoint.retry_after_ms)
                return
            try:
                late = self.clock.now_ms() > job.started_ms + (job.route.goal_ms or DEFAULT_GOAL_MS)
                sent_ms = self.clock.now_ms()
                result = await self.sender.stream(job, endpoint, pace, late)
                if result is SendResult.COMPLETE:
                    pace.note_taken(self.clock.now_ms() - sent_ms)
            finally:
                self.dispatcher.release(endpoint, line)
            if not await self._go_on(job, endpoint, result):
                return

    async def _serve_plain(self, job):
        self.retry_budget.note_request(job.service.name)
        while True:
            endpoint = self.dispatcher.pick_plain(job)
            if endpoint is None:
                await self._give_up(job, "no endpoint", PLAIN_RETRY_AFTER_MS)
                return
            try:
                result = await self.sender.exchange(job, endpoint, self._patience_ms(job))
            finally:
                self.dispatcher.release(endpoint)
            if not await self._go_on(job, endpoint, result):
                return

    def _patience_ms(self, job):
        """Return how long one endpoint may take, or None without another to ask."""
        may_repeat = job.may_move()
        others = [e for e in self.dispatcher.plain_endpoints(job) if e.id not in job.excluded]
        if not may_repeat or len(others) < 2 or self.retry_budget.remaining(job.service.name) < 1.0:
            return None
        return (job.route.goal_ms or DEFAULT_GOAL_MS) * REPEAT_AT_GOAL_PART

    async def _go_on(self, job, endpoint, result):
        """Settle the result of a send; returns whether to try another endpoint."""
        _metrics.SENDS.labels(job.service.name, result.value).inc()
        job.endpoints.append((endpoint.id, result.value))
        if result is SendResult.COMPLETE:
            job.outcome = "complete"
            return False
        self.decisions.record(
            "send_failed",
            request=job.facts.request_id,
            endpoint=endpoint.id,
            result=result.value,
            last_event=job.splitter.last_id,
            budget=round(self.retry_budget.remaining(job.service.name), 1),
        )
        job.excluded.add(endpoint.id)
        # One connection that isn't made may be a lost packet, if others see the endpoint live.
        lives = self.silence.lives(endpoint.id, LIVES_MS)
        unreached = result is SendResult.NOT_SENT and not lives
        # What no longer heads the replica looks idle, and would be chosen again and again.
        if unreached or result in (SendResult.SILENT, SendResult.MISDIRECTED):
            self._suspect(endpoint, result.value)
        if job.sends < MOST_SENDS and job.may_repeat(result):
            costs_budget = result is not SendResult.NOT_SENT
            if not costs_budget or self.retry_budget.take(job.service.name):
                return True
        await self._give_up(job, f"send {result.value}", NOT_RUN_RETRY_AFTER_MS)
        return False

    def _suspect(self, endpoint, reason):
        if endpoint.membership is not None:
            self.replica_view.suspect(endpoint)
            self.on_suspicion(endpoint.id, reason)

    async def _give_up(self, job, reason, retry_after_ms):
        """End a request that won't be served, saying only what is known."""
        if job.head_passed:
            job.outcome = f"broken_off: {reason}"
            job.caller.abort_response()
        elif job.may_have_run == 0:
            await self._refuse(job, reason, retry_after_ms)
        elif job.failed_answer is not None:
            status, headers, body = job.failed_answer
            job.outcome = f"endpoint_failed: {status}"
            await job.caller.send_response(status, headers, body)
        else:
            job.outcome = f"unknown: {reason}"
            await job.caller.send_response(502, [], b"")

    async def _refuse(self, job, reason, retry_after_ms):
        job.outcome = f"refused: {reason}"
        retry_after = b"%.2f" % (retry_after_ms / MS_PER_S)
        await job.caller.send_response(503, [(b"retry-after", retry_after)], b"")

    async def _end_at_deadline(self, job):
        if job.head_passed:
            job.outcome = "broken_off: deadline"
            job.caller.abort_response()
        elif job.caller.head_sent:
            job.outcome = "broken_off: deadline while answering"
            job.caller.abort_response()
        elif job.may_have_run:
            job.outcome = "unknown: deadline"
            await job.caller.send_response(504, [], b"")
        else:
            await self._refuse(job, "deadline", PLAIN_RETRY_AFTER_MS)

    def _log_end(self, job):
        now = self.clock.now_ms()
        first_ms = job.first_event_ms
        outcome = job.outcome.split(":")[0]
        _metrics.REQUESTS.labels(job.route.name, outcome).inc()
        if first_ms is not None:
            _metrics.FIRST_EVENT.labels(job.route.name).observe(first_ms / MS_PER_S)
            if job.route.gap_goal_ms:
                _metrics.PAUSES.labels(job.route.name).observe(job.longest_pause_ms / MS_PER_S)
        self.decisions.record(
            "request_ended",
            request=job.facts.request_id,
            route=job.route.name,
            account=job.account.name if job.account else None,
            outcome=job.outcome,
            endpoints=job.endpoints,
            first_ms=round(first_ms) if first_ms is not None else None,
            goal_ms=job.route.goal_ms,
            waited_ms=round(job.waited_ms),
            pause_ms=round(job.longest_pause_ms),
            gap_goal_ms=job.route.gap_goal_ms,
            total_ms=round(now - job.started_ms),
            config=self.holder.config.version,
        )

    async def _forget_gone(self):
        """Drop what is kept of endpoints that no longer exist."""
        while True:
            await asyncio.sleep(FORGET_PAUSE_MS / MS_PER_S)
            known_ids = {endpoint.id for endpoint in self.directory.endpoints()}
            self.load_book.forget(known_ids)
            self.replica_view.forget(known_ids)

    async def _watch_silence(self):
        while True:
            await asyncio.sleep(CHECK_MS / MS_PER_S)
            for head_id in self.silence.silent_heads():
                self._interrupt_streams(head_id)

    def _interrupt_streams(self, head_id):
        """Move the streams of a silent head, as far as others can take them."""
        pulse = self.silence.heads.get(head_id)
        head = self.directory.get(head_id)
        if head is None or head.membership is None:
            return
        self._suspect(head, "streams silent")
        model = model_of(head.membership.replica)
        allowed = int(self.retry_budget.remaining(head.service))
        others = self.replica_view.available_heads(head.service, model)
        movable = [s for s in pulse.streams if s.movable and not s.silent]
        for stream in movable[: max(0, allowed) if others else 0]:
            stream.silent = True
            stream.interrupt()
