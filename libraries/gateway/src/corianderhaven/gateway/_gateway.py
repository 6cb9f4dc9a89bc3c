"""Handling of callers' requests: routing, admission, attempts, retries and outcomes."""

import asyncio

from corianderhaven.common import MS_PER_S, CallerDisconnectedError
from corianderhaven.fleet import Digest, HeadDigest
from corianderhaven.scheduling import (
    OBSERVE_INTERVAL_MS,
    PATHS_LOST,
    SHARED_MS,
    ColdEndpoints,
    EndpointLimits,
    LoadTracker,
    Refusal,
    RetryBudget,
    SendPermits,
    dispatch_periodically,
)

from . import _metrics
from ._attempt_kinds import PlainAttempts, StreamAttempts
from ._crash_guard import CrashGuard, digest_request, reason_for
from ._dispatcher import DEFAULT_GOAL_MS, Dispatcher
from ._endpoint_access import EndpointAccess
from ._event_stream import EventSplitter
from ._forwarding import DECLINED, unwrap
from ._open_requests import OpenRequests
from ._path_prober import CONNECT_TIMEOUT_MS, PathProber
from ._peer_forwarder import PeerForwarder
from ._reachability import Reachability
from ._replica_view import ReplicaView
from ._request_context import AttemptResult, RequestContext
from ._request_runner import RequestRunner
from ._routes import RouteTable
from ._sender import Sender
from ._silence_detector import SilenceDetector
from ._stream_failover import StreamFailover

ANSWER_MARGIN_MS = 15.0  # to deliver the final answer to the caller
NOT_READY_RETRY_AFTER_MS = 500.0
PLAIN_RETRY_AFTER_MS = 200.0
NOT_RUN_RETRY_AFTER_MS = 400.0
UNKNOWN_MODEL_RETRY_AFTER_MS = 2_000.0  # until the next version of the configuration may name it
RECENT_ACTIVITY_MS = 250.0  # longer than an event interval with prefill, or a digest's delivery
PART_RETRY_AFTER_MS = 3_600_000.0  # until a part that ended endpoints is tried again
MIN_OUTAGE_MS = 1_000.0  # after which the endpoints of a zone may have become cold
LASTING_LOSS_MS = 500.0  # of a path, with several probes
PRUNE_INTERVAL_MS = 5_000.0  # few endpoints come and go in it; an entry takes about 100 bytes


class Gateway:
    """Handles callers' requests.

    Parameters
    ----------
    settings : NodeSettings
    directory : EndpointDirectory
    active_config : ActiveConfig
    wire : WireFormat
    peers : PeerTable
    clock : Clock
    decisions : DecisionLog
    evacuations : Evacuations
    """

    def __init__(
        self,
        settings,
        directory,
        active_config,
        wire,
        peers,
        clock,
        decisions,
        evacuations,
    ):
        self.settings = settings
        self.directory = directory
        self.active_config = active_config
        self.wire = wire
        self.clock = clock
        self.decisions = decisions
        self.peers = peers
        peers.on_suspects = self._add_peer_suspicions
        peers.on_unreachable = self._note_unreachable_elsewhere
        self.load_tracker = LoadTracker(clock, peers)
        self.evacuations = evacuations
        evacuations.on_begun.append(lambda zone, position: self._update_access())
        evacuations.on_ended.append(lambda zone, position: self._update_access_soon())
        self.access = EndpointAccess(evacuations)
        self.replica_view = ReplicaView(directory, active_config, clock, self.access)
        self.cold_endpoints = ColdEndpoints(
            clock, decisions, settings.cold_overrun, settings.cold_slack
        )
        self.cold_endpoints.endpoints = directory.endpoints
        self.cold_endpoints.in_flight = self.requests_at
        directory.on_entry = self.cold_endpoints.note_entry
        evacuations.on_ended.append(lambda zone, position: self.cold_endpoints.assume_cold(zone))
        active_config.listeners.append(self.cold_endpoints.configure)
        self.endpoint_limits = EndpointLimits(clock, decisions, self.cold_endpoints)
        peers.on_limits = self.endpoint_limits.merge
        self.permits = SendPermits(clock, self.endpoint_limits, settings.zone)
        self.permits.on_permit = self._assign_later
        self.reachability = Reachability(clock, decisions)
        self.dispatcher = Dispatcher(
            directory,
            self.replica_view,
            self.load_tracker,
            peers,
            settings.zone,
            clock,
            self.permits,
            self.reachability,
            self.access,
        )
        self.dispatcher.weighs_prompts = settings.weigh_prompts
        self.dispatcher.on_over_share = self._log_over_share
        self.crash_guard = CrashGuard(directory, peers, clock, decisions, settings.ip)
        self.crash_guard.on_verdict = self._note_verdict
        peers.on_parts = self.crash_guard.merge
        self.on_proven_part = lambda part, proven: None
        self.retry_budget = RetryBudget(clock, settings, peers.fleet_size)
        self.silence_detector = SilenceDetector(clock, peers)
        self.silence_detector.on_activity = self.replica_view.note_activity
        self.replica_view.told_activity_ms = peers.last_activity_ms
        self.path_prober = PathProber(self.reachability, directory, clock, settings.ip)
        self.reachability.on_lost = self._reroute_waiting
        self.reachability.on_regained = self._note_regained
        self.crash_guard.is_path_sound = self.path_prober.is_path_sound
        self.sender = Sender(
            wire,
            self.load_tracker,
            self.silence_detector,
            self.reachability,
            self.access,
            clock,
            decisions,
            settings.ip,
        )
        self.sender.may_retry = lambda service: self.retry_budget.remaining(service) >= 1.0
        self.sender.spend_retry = lambda service: self.retry_budget.try_spend(service)
        self.sender.may_send_now = self.permits.try_take
        self.sender.on_limit = self.endpoint_limits.record_answer
        self.sender.on_cold = self.cold_endpoints.note_statement
        self.stream_failover = StreamFailover(
            self.silence_detector,
            self.sender,
            self.path_prober,
            self.replica_view,
            self.retry_budget,
            peers,
            decisions,
        )
        self.stream_failover.on_suspect = self._suspect
        self.dispatcher.has_idle_connection = self.sender.pool.has_idle
        self.forwarder = PeerForwarder(peers, wire, clock, decisions, settings.ip)
        self.forwarder.config_version = lambda: active_config.version
        self.forwarder.may_retry = self.sender.may_retry
        self.accepts_forwarded = lambda: True
        self.route_table = None
        self.on_suspicion = lambda head_id, reason: None
        self.on_request = lambda: None
        self.on_leaving = lambda endpoint: None
        self.joined = lambda: True
        self.sender.on_leaving = lambda endpoint: self.on_leaving(endpoint)
        self.draining = False
        self.open_requests = OpenRequests(clock)
        self.in_flight = 0
        self.tasks = []
        active_config.listeners.append(self._update_routes)

    def start(self):
        """Start the periodic tasks."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(dispatch_periodically(self.dispatcher.queues, self.clock)),
            loop.create_task(dispatch_periodically(self.dispatcher.plain_queues, self.clock)),
            loop.create_task(self.stream_failover.run()),
            loop.create_task(self._prune_endpoints()),
            loop.create_task(self._observe_endpoints()),
            loop.create_task(self.path_prober.run()),
        ]

    def close(self):
        """Stop the periodic tasks."""
        for task in self.tasks:
            task.cancel()
        self.stream_failover.close()
        self.sender.pool.close()
        self.forwarder.close()
        self.path_prober.close()
        self.crash_guard.close()

    def end_by(self, end_ms):
        """End every request by a time, also those to come; none ends without an answer.

        What waits for an endpoint is refused as soon as its answer would come too late.

        Parameters
        ----------
        end_ms : float
            Monotonic time in ms.
        """
        self.open_requests.end_by(end_ms)
        self.dispatcher.end_by(end_ms)

    def waiting_requests(self):
        """Return the number of requests that wait for an endpoint."""
        return sum(len(queue.waiting) for queue in self.dispatcher.all_queues())

    async def handle(self, request, caller, origin=None):
        """Handle one request and answer its caller.

        Parameters
        ----------
        origin : ForwardingDaemon or None
            The daemon that forwarded it.
        """
        self.in_flight += 1
        self.on_request()
        try:
            await self._handle(request, caller, origin)
        finally:
            self.in_flight -= 1

    def note_given_up(self, request, cause):
        """Count and log a request that was given up before it was read whole, so that none ran."""
        _metrics.GIVEN_UP.labels(cause).inc()
        request_id = self.wire.read_request(request).request_id
        self.decisions.record("request_given_up", request=request_id, cause=cause)

    async def handle_forwarded(self, request, caller):
        """Handle a request that another daemon can't send to an endpoint itself.

        Raises
        ------
        ValueError
            If it isn't a forwarded request.
        """
        origin = unwrap(request)
        if not self.accepts_forwarded():
            await self.decline(caller, "not ready")
        elif self.active_config.version < origin.config_version:
            await self.decline(caller, "older configuration")
        else:
            await caller.send_acceptance()
            await self.handle(request, caller, origin)

    async def decline(self, caller, reason):
        """Tell a peer that this daemon doesn't take the request that it has forwarded."""
        await caller.send_response(503, [(DECLINED, reason.encode())], b"")

    def is_isolated(self):
        """Return whether this daemon reaches no endpoint, nor a peer that does."""
        config = self.active_config.config
        lost_for_ms = self.dispatcher.lost_services()
        return bool(config is not None and config.services) and all(
            lost_for_ms.get(name, 0.0) > LASTING_LOSS_MS and not self.forwarder.has_peer(name)
            for name in config.services
        )

    def note_order_connection(self, endpoint, opened):
        """Take note of a connection for an order or a report, which tells of the path as well."""
        if opened:
            self.reachability.record_connected(endpoint)
        else:
            self.reachability.record_failed(endpoint)
            if not self.reachability.connected_since(
                endpoint, self.clock.now_ms() - CONNECT_TIMEOUT_MS
            ):
                self.path_prober.begin_check(endpoint)

    def can_reach_engines(self):
        """Return whether this daemon can send orders to engines, or no other daemon can either.

        A path that was lost only just now may be back at once.
        """
        config = self.active_config.config
        lost_for_ms = self.dispatcher.services_without_path()
        return config is None or not any(
            service.engine is not None
            and lost_for_ms.get(service.name, 0.0) > LASTING_LOSS_MS
            and self.forwarder.pick(service.name) is not None
            for service in config.services.values()
        )

    def refresh_metrics(self):
        """Update the gauges before a scrape."""
        _metrics.IN_FLIGHT.set(self.in_flight)
        _metrics.PREFILL_TOKENS.set(
            sum(entry.own_prefill_tokens for entry in self.load_tracker.entries.values())
        )
        _metrics.LOST_SCOPES.set(len(self.reachability.lost_scopes))
        _metrics.EVACUATED_ZONES.set(len(self.evacuations.zones))
        _metrics.LIMITED_ENDPOINTS.set(self.endpoint_limits.count())
        _metrics.COLD_ENDPOINTS.set(self.cold_endpoints.count())
        for (_, model), queue in self.dispatcher.queues.items():
            _metrics.WAITING.labels(model).set(len(queue.waiting))
        services = self.active_config.config.services.values() if self.active_config.config else ()
        for service in services:
            if service.engine is None:
                continue
            heads = self.replica_view.all_heads(service.name)
            for model in service.engine.models:
                _metrics.SERVING_REPLICAS.labels(model.name).set(len(heads.get(model.name, ())))
            serving = sum(len(heads.get(m.name, ())) * m.size for m in service.engine.models)
            vms = len(self.directory.endpoints(service.name))
            _metrics.STRANDED_VMS.labels(service.name).set(max(0, vms - serving))

    def make_digest(self):
        """Return the digest that is sent to peers."""
        heads = {
            head_id: HeadDigest(
                entry.own_in_flight,
                round(self.silence_detector.last_activity_age_ms(head_id)),
                *self._work_at(entry),
            )
            for head_id, entry in self.load_tracker.entries.items()
            if entry.own_in_flight
        }
        return Digest(
            self.settings.name,
            self.settings.peers,
            heads,
            self.replica_view.local_suspicions(),
            zone=self.settings.zone,
            parts=self.crash_guard.digest(),
            limits=self.endpoint_limits.records(SHARED_MS),
            unreachable=self.replica_view.local_suspicions(unreachable=True),
            lost_services=list(self.dispatcher.lost_services()),
            evacuations=self.evacuations.records(),
        )

    def _work_at(self, entry):
        """Return the work at a head that peers are told, none where heads aren't chosen by it."""
        if not self.settings.weigh_prompts:
            return ()
        return (entry.own_prefill_tokens, entry.own_held_tokens)

    def _add_peer_suspicions(self, suspects, daemon):
        for head_id, age_ms in suspects.items():
            head = self.directory.get(head_id)
            # What this daemon sees itself counts for more: the other's path may be at fault.
            if 0.0 <= self.silence_detector.last_activity_age_ms(head_id) <= RECENT_ACTIVITY_MS:
                continue
            if head is not None and self.replica_view.add_peer_suspicion(head, age_ms):
                self.on_suspicion(head_id, f"told by {daemon}")

    def _note_unreachable_elsewhere(self, unreachable, daemon):
        """Have the keeper look at heads that a peer can't connect to, and prefer others to them."""
        for head_id, age_ms in unreachable.items():
            head = self.directory.get(head_id)
            if head is not None and self.replica_view.add_peer_suspicion(head, age_ms, True):
                self.load_tracker.record_result(head_id, True)
                self.on_suspicion(head_id, f"unreachable from {daemon}")

    def _update_routes(self, config):
        self.route_table = RouteTable(config)
        self.dispatcher.shares_queues = self.settings.fair_shares and len(config.accounts) > 1
        self.open_requests.keep_routes({route.name for route in config.routes})

    async def _handle(self, request, caller, origin):
        metadata = self.wire.read_request(request)
        if self.route_table is None or self.draining or not self.joined():
            reason = "draining" if self.draining else "no configuration yet"
            await self._reject(request, caller, metadata, 503, reason)
            return
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = self.route_table.match(request.header("host") or "", path)
        if route is None:
            await self._reject(request, caller, metadata, 404, "no route")
            return
        account = self.route_table.find_account(metadata.key)
        if account is None and not route.anonymous:
            await self._reject(request, caller, metadata, 401, "unknown key")
            return
        service = self.route_table.choose_service(route)
        limit_ms = min(metadata.deadline_ms or route.timeout_ms, route.timeout_ms)
        deadline_ms = request.received_ms + limit_ms - ANSWER_MARGIN_MS
        metadata.whole_part = await digest_request(request, account)
        context = RequestContext(request, metadata, route, account, service, caller, deadline_ms)
        context.splitter = EventSplitter(metadata.last_event_id)
        context.origin = origin
        await self._serve(context)

    async def _reject(self, request, caller, metadata, status, reason):
        self.decisions.record(
            "request_rejected",
            request=metadata.request_id,
            status=status,
            reason=reason,
            config=self.active_config.config.version if self.active_config.config else None,
        )
        headers = [(b"retry-after", b"%.2f" % (NOT_READY_RETRY_AFTER_MS / MS_PER_S))]
        await caller.send_response(status, headers if status == 503 else [], b"")

    async def _serve(self, context):
        try:
            async with self.open_requests.open(context):
                refusal = self.check_drain(context)
                if refusal is None:
                    await self._route(context)
                else:
                    await self._refuse(context, refusal.reason, refusal.retry_after_ms)
        except TimeoutError:
            await self._end_at_deadline(context)
        except asyncio.CancelledError:
            context.outcome = "caller_left"
            raise
        except CallerDisconnectedError:
            context.outcome = "caller_left"
            context.caller.abort_response()
        finally:
            context.take_error()
            self._log_end(context)

    def check_drain(self, context):
        """Return a `Refusal` if the rest of a drain has no time for a request, or None."""
        if not context.cut_by_drain or context.endpoints_used:
            return None
        engine = context.service.engine if context.service else None
        model = engine.model(context.metadata.model) if engine else None
        answer_ms = context.route.goal_ms or DEFAULT_GOAL_MS
        if model is not None:
            estimator = self.dispatcher.estimator(context.service.name, engine, model)
            answer_ms = self.dispatcher.queued_request(context, estimator, engine).answer_ms
        if self.open_requests.has_time(context, answer_ms):
            return None
        return Refusal("draining", NOT_READY_RETRY_AFTER_MS)

    async def _route(self, context):
        """Serve a request by the kind of its service."""
        engine = context.service.engine if context.service else None
        if context.service is None:
            await self._refuse(context, "service unknown", NOT_READY_RETRY_AFTER_MS)
        elif engine is not None and engine.model(context.metadata.model):
            await RequestRunner(self, StreamAttempts(self, context, engine)).run()
        elif engine is not None and context.metadata.model is not None:
            # Any endpoint would reject it, and look as if it headed no replica.
            await self._refuse(context, "model unknown", UNKNOWN_MODEL_RETRY_AFTER_MS)
        else:
            self.dispatcher.record_plain_arrival(context.service.name)
            await RequestRunner(self, PlainAttempts(self, context)).run()

    def count(self, context):
        """Count a request for the retry budget, at the daemon that sends it to an endpoint."""
        counted_before = context.origin is not None and context.origin.resumed
        if not context.counted and not counted_before:
            self.retry_budget.record_request(context.service.name)
        context.counted = True

    def _update_access(self):
        """Apply a change of the endpoints that may get requests to those that wait."""
        if self.active_config.config is None:
            return
        self.dispatcher.update_access()
        if self.reachability.any_lost:
            self._reroute_without_path()

    def _update_access_soon(self):
        """Dispatch after all listeners have learned that endpoints may get requests again.

        What bounds the requests to these endpoints has to be in place before.
        """
        asyncio.get_running_loop().call_soon(self._update_access)

    def _reroute_waiting(self):
        """Have the requests that wait for endpoints out of reach go by other daemons."""
        self.path_prober.wake()
        self._reroute_without_path()

    def _reroute_without_path(self):
        for queue in self.dispatcher.queues_without_path():
            queue.reject(lambda parts: True, PATHS_LOST)

    def _note_regained(self, scope, lost_ms):
        """Take the unused endpoints of a zone for cold if it was out of reach for seconds."""
        _, zone = scope
        if zone is not None and lost_ms > MIN_OUTAGE_MS:
            self.cold_endpoints.assume_cold(zone, "outage", only_unused=True)

    def _log_over_share(self, queued, rate_per_s, share_per_s):
        self.decisions.record(
            "account_over_share",
            account=queued.account,
            route=queued.request_class,
            priority=queued.priority,
            rate_per_s=round(rate_per_s, 1),
            share_per_s=round(share_per_s, 1),
        )

    def _note_verdict(self, part, proven):
        """Reject what waits with a part that is proven to end endpoints."""
        if proven:
            refusal = Refusal(reason_for(part), PART_RETRY_AFTER_MS)
            for queue in self.dispatcher.all_queues():
                queue.reject(self.crash_guard.ledger.is_proven, refusal)
        self.on_proven_part(part, proven)

    def _assign_later(self, wait_ms):
        """Assign endpoints to waiting requests when a permit may be used."""
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / MS_PER_S, self.dispatcher.assign_waiting)

    async def note_failure(self, endpoint, result):
        """Suspect an endpoint if the result of an attempt shows that it may be lost."""
        if await self._is_suspect(endpoint, result):
            self._suspect(endpoint, result.value, result)

    async def _is_suspect(self, endpoint, result):
        """Return whether the result of an attempt makes its endpoint suspect."""
        if result is AttemptResult.NOT_SENT:
            sound = await self.path_prober.is_path_sound(endpoint, self.clock.now_ms())
            # A failed connection may be one lost packet if the endpoint was active recently.
            active = self.silence_detector.is_active(endpoint.id, RECENT_ACTIVITY_MS)
            return sound and not active
        if result is AttemptResult.SILENT:
            return not self.reachability.is_scope_lost(endpoint)
        # An endpoint that is no longer the head looks idle, and would be chosen repeatedly.
        return result is AttemptResult.MISDIRECTED

    def _suspect(self, endpoint, reason, result=AttemptResult.SILENT):
        if endpoint.membership is not None:
            self.replica_view.suspect(
                endpoint,
                unreachable=result is AttemptResult.NOT_SENT,
                lasting=result is AttemptResult.MISDIRECTED,
            )
            self.on_suspicion(endpoint.id, reason)

    async def end_unserved(self, context, reason, retry_after_ms=NOT_RUN_RETRY_AFTER_MS):
        """End a request that won't be served, reporting only what is known of its execution."""
        if context.head_forwarded:
            context.outcome = f"broken_off: {reason}"
            context.caller.abort_response()
        elif not context.may_have_run:
            await self._refuse(context, reason, retry_after_ms)
        elif context.error_response is not None:
            await self._send_error(context)
        else:
            context.outcome = f"unknown: {reason}"
            await context.caller.send_response(502, [], b"")

    async def _send_error(self, context):
        """Answer with the error of an endpoint."""
        status, headers, body = context.take_error()
        context.outcome = f"endpoint_failed: {status}"
        await context.caller.send_response(status, headers, body)

    async def _refuse(self, context, reason, retry_after_ms):
        context.outcome = f"refused: {reason}"
        retry_after = b"%.2f" % (retry_after_ms / MS_PER_S)
        await context.caller.send_response(503, [(b"retry-after", retry_after)], b"")

    async def _end_at_deadline(self, context):
        """End a request whose time is over, or that this daemon can't wait for any longer."""
        reason = "draining" if context.cut_by_drain else "deadline"
        self.open_requests.cut_count += context.cut_by_drain
        if context.head_forwarded:
            context.outcome = f"broken_off: {reason}"
            context.caller.abort_response()
        elif context.caller.head_sent:
            context.outcome = f"broken_off: {reason} while answering"
            context.caller.abort_response()
        elif context.may_have_run and context.error_response is not None:
            await self._send_error(context)
        elif context.may_have_run:
            context.outcome = f"unknown: {reason}"
            await context.caller.send_response(504, [], b"")
        else:
            await self._refuse(context, reason, PLAIN_RETRY_AFTER_MS)

    def _log_end(self, context):
        now = self.clock.now_ms()
        first_ms = context.first_event_ms
        outcome = context.outcome.split(":")[0]
        _metrics.REQUESTS.labels(context.route.name, outcome).inc()
        if first_ms is not None:
            _metrics.FIRST_EVENT.labels(context.route.name).observe(first_ms / MS_PER_S)
            if context.route.gap_goal_ms:
                _metrics.LONGEST_PAUSE.labels(context.route.name).observe(
                    context.longest_pause_ms / MS_PER_S
                )
        self.decisions.record(
            "request_ended",
            request=context.metadata.request_id,
            route=context.route.name,
            account=context.account.name if context.account else None,
            outcome=context.outcome,
            endpoints=context.attempt_results,
            first_ms=round(first_ms) if first_ms is not None else None,
            goal_ms=context.route.goal_ms,
            prompt_tokens=context.metadata.prompt_tokens,
            body_bytes=len(context.request.body),
            waited_ms=round(context.waited_ms),
            pause_ms=round(context.longest_pause_ms),
            gap_goal_ms=context.route.gap_goal_ms,
            total_ms=round(now - context.started_ms),
            config=self.active_config.config.version,
            forwarded_by=context.origin.daemon if context.origin is not None else None,
        )

    def requests_at(self, endpoint_id):
        """Return the requests of all daemons at an endpoint, as far as they are known."""
        entry = self.load_tracker.entries.get(endpoint_id)
        own = entry.own_in_flight if entry is not None else 0
        return own + self.peers.peer_requests_at(endpoint_id)

    async def _observe_endpoints(self):
        """Take note of which endpoints are in use, for those that are cold when idle."""
        while True:
            await asyncio.sleep(OBSERVE_INTERVAL_MS / MS_PER_S)
            if self.cold_endpoints.rates:
                self.cold_endpoints.observe()
                self.cold_endpoints.guarded = self.dispatcher.crowded_heads()

    async def _prune_endpoints(self):
        """Drop the state of endpoints that no longer exist."""
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_MS / MS_PER_S)
            known_ids = {endpoint.id for endpoint in self.directory.endpoints()}
            self.load_tracker.prune(known_ids)
            self.replica_view.prune(known_ids)
            self.endpoint_limits.prune(known_ids)
            self.permits.prune(known_ids)
            self.cold_endpoints.prune(known_ids)
            self.reachability.prune(self.directory.endpoints())
            self.sender.pool.prune()
            self.forwarder.prune()
