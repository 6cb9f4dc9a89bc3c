"""Daemon for a platform that keeps endpoints and configuration in its metadata store."""

import asyncio
import math
import signal

import msgspec
import prometheus_client

from corianderhaven.common import (
    MS_PER_S,
    AsyncHttpServer,
    Clock,
    DecisionLog,
    ServerLimits,
    SettingsError,
)
from corianderhaven.fleet import (
    DIGEST_PATH,
    PERMITS_PATH,
    STATE_PATH,
    ActiveConfig,
    EndpointDirectory,
    Evacuations,
    FeedReader,
    FeedWriter,
    KeeperLease,
    PeerExchange,
    PeerState,
    PeerTable,
    PermitClient,
    PermitIssuer,
    PermitRequest,
    ProvenParts,
    ReplicaKeeper,
    Role,
    StoreEra,
    StoreReaders,
    StoreWatcher,
    decode_permits,
    encode_state,
)
from corianderhaven.gateway import Gateway, is_forwarded
from corianderhaven.hosting import (
    READY_PATH,
    HostingFormat,
    PlatformOrders,
    PlatformStore,
    PlatformWireFormat,
    read_node_file,
)

from ._keeper_metrics import count_doubt
from ._parts_api import PARTS_PATH, answer_parts
from ._resource_bounds import ResourceBounds
from ._store_metrics import count_store_call

STORE_PREFIX = "corianderhaven/"
KEEPER_KEY = STORE_PREFIX + "keeper"
PARTS_PREFIX = STORE_PREFIX + "parts/"
DAEMONS_PREFIX = STORE_PREFIX + "daemons/"
DRAIN_NOTICE_MS = 2_600.0  # two readiness checks one second apart, and their latency
SHUTDOWN_MARGIN_MS = 700.0  # kept before SIGKILL for ending unfinished requests cleanly
MARGIN_FRACTION = 0.125  # of the grace period at most, so that a short one isn't used up
LAST_ANSWERS_FRACTION = 0.43  # of this margin, to answer the requests that are ended
FLUSH_FRACTION = 0.28  # of this margin, for callers that still read their answers
IDLE_TIMEOUT_FACTOR = 1.2  # callers may reuse a connection for most of the idle timeout
DRAIN_POLL_MS = 20.0
LEAVING_ANNOUNCE_MS = 3_000.0  # several exchanges between any two daemons
JOIN_TIMEOUT_MS = 1_500.0  # peers that the store lists may all be gone
FORWARDING_BYTES = 1_024  # of headers that a daemon adds to a request that it forwards
OPENED_ANNOUNCE_MS = 3_000.0  # by then every daemon has read the head's own entry
# Of the time in which an evacuation has to take effect: a poll may fail, and exchanges follow it.
EVACUATION_POLL_FRACTION = 0.2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOADABLE_SETTINGS = ("grace_ms", "stall_ms", "retry_ratio", "retry_slack", "retry_window_ms")


class FleetDaemon:
    """Runs the listeners, endpoint directory, replica keeper and gateway of one VM.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock or None
    read_settings : callable or None
        Returns the current settings; called by `reload`.
    """

    def __init__(self, settings, clock=None, read_settings=None):
        self.settings = settings
        self.clock = clock or Clock()
        self.read_settings = read_settings
        self.decisions = DecisionLog(self.clock)
        self.resource_bounds = ResourceBounds(settings, self.clock, self.decisions)
        self.draining = False
        self.stop_event = None
        self.failed = False

    async def run(self):
        """Serve until SIGTERM or SIGINT, then drain; returns whether all requests finished."""
        self.stop_event = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self.request_drain)
        await self.start()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.reload()  # the settings may have changed before there was a handler
        monitor = loop.create_task(self._monitor_tasks())
        await self.stop_event.wait()
        monitor.cancel()
        finished = await self.stop()
        # The default actions would end the process once the loop is closed.
        for signal_number in (*STOP_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)
        return finished

    async def stop(self):
        """Drain, or end all requests at once if the daemon has failed; return whether all finished.

        No request is left without an answer in either case.
        """
        if self.failed:
            await self._end_requests()
        finished = not self.failed and await self.drain()
        self.close()
        return finished

    def reload(self):
        """Apply changes of the settings that can be reloaded."""
        if self.read_settings is None:
            return
        try:
            new_settings = self.read_settings()
        except SettingsError as error:
            self.decisions.record("settings_unreadable", reason=str(error))
            return
        changed = [
            n for n in RELOADABLE_SETTINGS if getattr(new_settings, n) != getattr(self.settings, n)
        ]
        for name in changed:
            setattr(self.settings, name, getattr(new_settings, name))
        self.gateway.retry_budget.update_settings(self.settings)
        self.decisions.record("settings_reloaded", changed=changed)

    async def _monitor_tasks(self):
        """Stop the daemon when one of its tasks fails, so that it is restarted without state."""
        tasks = [self.watcher.task, self.lease.task, self.keeper.task, self.proven_parts.task]
        tasks += self.exchange.tasks + self.gateway.tasks
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                self.decisions.record("daemon_failed", reason=repr(task.exception()))
                self.failed = True
                self.stop_event.set()

    async def start(self):
        """Start the listeners and tasks; raises `OSError` if an address is in use."""
        settings = self.settings
        self.peers_server = AsyncHttpServer(settings.peers, self._handle_peer, self.clock)
        await self.peers_server.start()
        settings.peers = self.peers_server.address
        self._create_components()
        self.callers_server = AsyncHttpServer(settings.callers, self.gateway.handle, self.clock)
        self.callers_server.on_given_up = self.gateway.note_given_up
        self.callers_server.sends_callers_away = self.gateway.is_isolated
        self.callers_server.user_timeout_ms = lambda: self.callers_server.limits.idle_timeout_ms
        self.readiness_server = AsyncHttpServer(
            settings.readiness, self._handle_readiness, self.clock
        )
        self.resource_bounds.start(self.callers_server, self.peers_server, self.readiness_server)
        await self.callers_server.start()
        await self.readiness_server.start()
        self.started_ms = self.readers.started_ms = self.clock.now_ms()
        self.watcher.start()
        self.lease.start()
        self.keeper.start()
        self.gateway.start()
        self.proven_parts.start()
        self.exchange.start()
        self.decisions.record("daemon_started", daemon=settings.name, zone=settings.zone)

    def close(self):
        """Stop all tasks and listeners without draining."""
        self.exchange.close()
        self.permit_client.close()
        self.proven_parts.close()
        self.gateway.close()
        self.keeper.close()
        self.lease.close()
        self.watcher.close()
        for server in (self.callers_server, self.readiness_server, self.peers_server):
            server.close()
        self.store.close()
        self.resource_bounds.close()
        self.decisions.record("daemon_stopped", in_flight=self.gateway.in_flight)

    def request_drain(self):
        """Report not ready from now on and make `run` drain."""
        self.draining = True
        self.stop_event.set()

    async def drain(self):
        """Finish requests in flight within the grace period; returns whether all finished.

        Requests that can't finish are refused or told that their outcome is unknown.
        """
        start_ms = self.clock.now_ms()
        self.decisions.record(
            "drain_begun",
            in_flight=self.gateway.in_flight,
            waiting=self.gateway.waiting_requests(),
        )
        self.callers_server.closing = True
        margin_ms = self._shutdown_margin_ms()
        end_ms = start_ms + self.settings.grace_ms - margin_ms
        self.gateway.end_by(end_ms)
        self.keeper.close()
        notice_end_ms = min(start_ms + DRAIN_NOTICE_MS, end_ms)
        resigning = asyncio.create_task(self._resign(notice_end_ms - start_ms))
        last_answers_ms = end_ms + LAST_ANSWERS_FRACTION * margin_ms
        while self.clock.now_ms() < last_answers_ms:
            notice_over = self.clock.now_ms() > notice_end_ms
            self.gateway.draining = notice_over
            if notice_over and not self.gateway.in_flight:
                break
            await asyncio.sleep(DRAIN_POLL_MS / MS_PER_S)
        left, cut = self.gateway.in_flight, self.gateway.open_requests.cut_count
        finished = not left and not cut
        await resigning
        self.decisions.record("drain_ended", finished=finished, left=left, cut=cut)
        await self._flush_answers(max(0.0, last_answers_ms - self.clock.now_ms()))
        return finished

    async def _resign(self, timeout_ms):
        """Hand the lease over; requests are drained meanwhile, and whatever comes of it."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self.lease.resign()
        except Exception as error:
            self.decisions.record("keeper_resign_unheard", reason=repr(error))

    async def _end_requests(self):
        """Answer the requests in flight at once, as this daemon can't go on."""
        self.callers_server.closing = True
        self.gateway.draining = True
        end_ms = self.clock.now_ms() + LAST_ANSWERS_FRACTION * self._shutdown_margin_ms()
        self.gateway.end_by(self.clock.now_ms())
        while self.gateway.in_flight and self.clock.now_ms() < end_ms:
            await asyncio.sleep(DRAIN_POLL_MS / MS_PER_S)
        await self._flush_answers()

    def _shutdown_margin_ms(self):
        return min(SHUTDOWN_MARGIN_MS, MARGIN_FRACTION * self.settings.grace_ms)

    async def _flush_answers(self, remaining_ms=0.0):
        """Let callers read the rest of their answers.

        Parameters
        ----------
        remaining_ms : float
            Time that was left for the requests, which have ended sooner.
        """
        flush_ms = remaining_ms + FLUSH_FRACTION * self._shutdown_margin_ms()
        await asyncio.gather(self.callers_server.flush(flush_ms), self.peers_server.flush(flush_ms))

    @property
    def ready(self):
        """Whether the load balancer should send new connections to this daemon."""
        if self.draining or self.active_config.config is None or self.gateway.is_isolated():
            return False
        return self.joined

    @property
    def joined(self):
        """Whether this daemon knows what its peers know, or has tried for `JOIN_TIMEOUT_MS`.

        The store may have been restored from a copy in which a withdrawn key is still valid and
        an endpoint that has left is still ready.
        """
        if not self.directory.synced:
            return False
        if self.exchange.state_received:
            return True
        # A restored store may lack the peers' records as well.
        may_be_restored = self.era.number and not self.settings.first_start
        if not may_be_restored and not self.exchange.lists_peers():
            return True
        return self.clock.now_ms() - self.started_ms > JOIN_TIMEOUT_MS

    def _create_components(self):
        settings = self.settings
        platform_format = HostingFormat()
        self.era = StoreEra(self.clock, self.decisions)
        self.store = PlatformStore(settings.store, self.era, settings.ip, settings.lease_min_ms)
        self.store.calls.role = self._store_role
        self.store.calls.on_call = count_store_call
        self.directory = EndpointDirectory(self.clock, self.decisions)
        self.active_config = ActiveConfig(platform_format.decode_config, self.decisions)
        self.active_config.listeners.append(self._apply_limits)
        self.evacuations = Evacuations(self.clock, self.decisions)
        self.watcher = StoreWatcher(
            self.store,
            platform_format,
            self.directory,
            self.active_config,
            self.clock,
            self.decisions,
            self.evacuations,
        )
        self.watcher.max_poll_interval_ms = min(
            self.watcher.max_poll_interval_ms, EVACUATION_POLL_FRACTION * settings.evacuate_ms
        )
        self.watcher.own_prefix = STORE_PREFIX
        self.lease = KeeperLease(
            self.store,
            self.watcher,
            KEEPER_KEY,
            settings.peers.encode(),
            self.clock,
            self.decisions,
        )
        self.lease.first_start = settings.first_start
        self.orders = PlatformOrders(self.decisions, settings.ip)
        self.orders.on_leaving = self._note_leaving
        self.keeper = ReplicaKeeper(
            self.lease,
            self.orders,
            self.directory,
            self.active_config,
            settings,
            self.clock,
            self.decisions,
        )
        self.peers = PeerTable(settings.name, self.clock, settings.zone)
        self.peers.make_digest = self._make_digest
        self.peers.on_evacuations = self.evacuations.merge
        self.feed_writer = FeedWriter(self.directory, self.watcher, self.clock)
        self.feed_reader = FeedReader(
            self.directory, self.watcher, settings.name, self.clock, self.decisions
        )
        self.peers.make_feed_request = self.feed_reader.request
        self.peers.answer_feed = self.feed_writer.answer
        self.peers.on_feed = self.feed_reader.apply
        self.gateway = Gateway(
            settings,
            self.directory,
            self.active_config,
            PlatformWireFormat(),
            self.peers,
            self.clock,
            self.decisions,
            self.evacuations,
        )
        self.permit_issuer = PermitIssuer(self.peers, self.clock)
        self.permit_issuer.may_issue = lambda: self.joined
        self.permit_client = PermitClient(
            self.peers, self.permit_issuer, self.decisions, settings.ip
        )
        self.permit_client.on_offer = self.gateway.permits.apply_offer
        self.gateway.permits.request = self.permit_client.request
        guard = self.gateway.crash_guard
        self.proven_parts = ProvenParts(
            self.store, self.watcher, PARTS_PREFIX, self.clock, self.decisions
        )
        self.proven_parts.mark_proven = guard.ledger.mark_proven
        self.proven_parts.proven_with = guard.ledger.proven_with
        self.proven_parts.list_proven = guard.ledger.proven_parts
        self.proven_parts.writes_first = guard.is_trial_owner
        self.gateway.on_proven_part = self.proven_parts.note
        self.exchange = PeerExchange(
            self.peers,
            self.store,
            self.watcher,
            DAEMONS_PREFIX,
            settings.peers,
            self.decisions,
            settings.ip,
        )
        self.readers = StoreReaders(
            self.peers,
            self.watcher,
            self.feed_reader,
            self.lease,
            self.exchange,
            self.clock,
            settings,
        )
        self.readers.wire()
        self.exchange.config_version = lambda: self.active_config.version
        self.exchange.apply_state = self._apply_state
        self.gateway.on_leaving = self._note_leaving
        self.orders.on_limit = lambda endpoint, limit_per_s: (
            self.gateway.endpoint_limits.record_answer(endpoint, limit_per_s, self.clock.now_ms())
        )
        self.orders.on_cold = self.gateway.cold_endpoints.note_statement
        self.gateway.joined = lambda: self.joined
        self.gateway.accepts_forwarded = lambda: self.ready
        self.peers.on_leaving = self._apply_leaving
        self.peers.on_peer_state = self._observe_peer
        self.gateway.on_suspicion = self.keeper.suspect
        self.keeper.on_stalled = self.gateway.replica_view.suspect
        self.keeper.on_recovered = self.gateway.replica_view.note_activity
        self.keeper.on_doubt_ended = count_doubt
        self.keeper.activity.requests_at = self.gateway.requests_at
        self.keeper.activity.last_ms = self.gateway.silence_detector.last_activity_ms
        self.lease.outage_confirmed = self.peers.store_outage_confirmed
        self.lease.can_reach_engines = self.gateway.can_reach_engines
        self.orders.on_connection = self.gateway.note_order_connection
        self.peers.on_opened = self._apply_opened
        self.gateway.on_request = self._record_traffic

    def _store_role(self):
        """Return the `Role` under which calls to the store are counted."""
        if self.lease.tenure is not None:
            return Role.KEEPER
        if not self.joined:
            return Role.STARTING
        return Role.HUB if self.peers.is_hub() else Role.READER

    def _make_digest(self):
        digest = self.gateway.make_digest()
        digest.store_reachable = self.watcher.store_reachable
        digest.era = self.era.number
        digest.tenure = self.lease.latest_tenure
        digest.config_version = self.active_config.version
        digest.holds_lease = self.lease.renewed_in_time()
        if self.draining and self.active_config.config is not None:
            # Peers forward no requests to a daemon that reaches no endpoint; this one takes none.
            digest.lost_services = list(self.active_config.config.services)
        digest.leaving = self.directory.recently_leaving(LEAVING_ANNOUNCE_MS)
        within_ms = OPENED_ANNOUNCE_MS if digest.store_reachable else math.inf
        digest.opened = {
            head_id: (head.replica, head.generation, head.started_ms)
            for head_id, head in self.keeper.opened_heads(within_ms).items()
        }
        return digest

    def _apply_opened(self, opened):
        """Apply the keeper's report of opened replicas, which precedes the store's entries."""
        for head_id, (replica, generation, started_ms) in opened.items():
            self.directory.update_from_keeper(head_id, replica, generation, started_ms)

    def _note_leaving(self, endpoint):
        """Stop using an endpoint that said in an answer that it leaves."""
        self.directory.mark_leaving(endpoint.id, endpoint.started_ms, "answer")

    def _observe_peer(self, digest):
        """End the own tenure if a peer knows of a restored store or a later keeper."""
        self.era.observe(digest.era, digest.daemon)
        self.lease.observe_tenure(digest.tenure, digest.daemon)

    def _apply_leaving(self, leaving, daemon):
        for endpoint_id, started_ms in leaving.items():
            self.directory.mark_leaving(endpoint_id, started_ms, daemon)

    def _make_state(self):
        """Return the `PeerState` for a daemon that starts or is behind."""
        departed = {
            endpoint_id: (former.started_ms, former.entry_number, former.leaving)
            for endpoint_id, former in self.directory.departed.items()
        }
        return PeerState(
            self.active_config.value,
            self.active_config.version,
            departed,
            self.gateway.endpoint_limits.records(),
            self.evacuations.records(),
        )

    def _apply_state(self, state, peer):
        """Take over what a peer knows and the store may have lost."""
        self.decisions.record(
            "peer_state", peer=peer, config=state.config_version, departed=len(state.departed)
        )
        self.directory.add_departed(state.departed)
        self.gateway.endpoint_limits.merge(state.limits, peer)
        self.evacuations.merge(state.evacuations, peer)
        if state.config_version > self.active_config.version:
            self.active_config.update(state.config, None)

    def _record_traffic(self):
        self.keeper.traffic_seen = True

    def _apply_limits(self, config):
        limits = config.limits
        self.callers_server.limits = ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR,
        )
        default = ServerLimits()
        self.peers_server.limits = ServerLimits(
            max(default.header_bytes, limits.header_bytes + FORWARDING_BYTES),
            max(default.body_bytes, limits.body_bytes),
        )

    async def _handle_readiness(self, request, caller):
        status = 200 if self.ready and request.target.startswith(READY_PATH) else 503
        await caller.send_response(status, [], b"")

    async def _handle_peer(self, request, caller):
        if request.target == DIGEST_PATH.encode():
            try:
                peer = self.exchange.receive(request.body)
                reply = self.peers.response_to(peer) if peer is not None else b""
                await caller.send_response(200, [], reply)
            except ValueError as error:
                self.decisions.record("digest_unreadable", reason=str(error))
                await caller.send_response(400, [], b"")
        elif request.target == PERMITS_PATH.encode():
            await self._answer_permits(request, caller)
        elif request.target == STATE_PATH.encode():
            await caller.send_response(200, [], encode_state(self._make_state()))
        elif request.target == PARTS_PATH:
            ledger = self.gateway.crash_guard.ledger
            await answer_parts(ledger, self.decisions, request, caller)
        elif request.target == b"/metrics":
            self.gateway.refresh_metrics()
            await caller.send_response(200, [], prometheus_client.generate_latest())
        elif is_forwarded(request.target):
            await self._handle_forwarded(request, caller)
        else:
            await caller.send_response(404, [], b"")

    async def _handle_forwarded(self, request, caller):
        try:
            await self.gateway.handle_forwarded(request, caller)
        except ValueError as error:
            self.decisions.record("forwarded_request_unreadable", reason=str(error))
            await caller.send_response(400, [], b"")

    async def _answer_permits(self, request, caller):
        try:
            reply = self.permit_issuer.answer(decode_permits(request.body, PermitRequest))
            await caller.send_response(200, [], msgspec.json.encode(reply))
        except ValueError as error:
            self.decisions.record("permit_request_unreadable", reason=str(error))
            await caller.send_response(400, [], b"")


def serve_node_file(path, weigh_prompts=False):
    """Run a daemon with the settings in a node file; returns the exit code."""
    settings = read_node_file(path)
    settings.weigh_prompts = weigh_prompts
    daemon = FleetDaemon(settings, read_settings=lambda: read_node_file(path))
    try:
        finished = asyncio.run(daemon.run())
    except OSError as error:
        raise SettingsError(f"cannot listen: {error}") from None
    return 0 if finished else 1
