"""Builds the components of a daemon, starts them and drains them."""

import hmac
import threading

from corianderhaven.common import (
    Clock,
    CorianderhavenError,
    DecisionLog,
    ErrorCode,
    HttpServer,
    Router,
    new_id,
    set_source_ip,
)
from corianderhaven.membership import (
    ConfigHolder,
    ConfigProposer,
    ConfigWatcher,
    DeploymentSummary,
    FactTable,
    Heartbeater,
    PeerInfo,
    PeerTable,
    PeerTransport,
    ProbeSupervisor,
    VmDirectory,
    ZoneAdoption,
    ZoneSummary,
)
from corianderhaven.placement import PlacementController, ZonePlacer, make_repair_policy
from corianderhaven.platform import EtcdGatewayStore, HttpVmList
from corianderhaven.routing import (
    AdmissionController,
    CacheEventFollower,
    ClaimRegistry,
    DisconnectMonitor,
    DraftRouter,
    GroupCommitter,
    LoadTracker,
    OperationRouter,
    PrefixIndex,
    RemoteZones,
    ReplicaView,
    ResumeTokens,
    TargetFinder,
    make_chooser,
)

from ._caller_routes import CallerRoutes
from ._console import Console
from ._in_flight import InFlight
from ._operator_routes import OperatorRoutes
from ._peer_routes import PeerRoutes
from ._settings import check_settings
from ._status_reports import StatusReports

PEER_THREADS = 24
BOOTSTRAP_OPERATOR = "bootstrap"
MAX_SUMMARY_DAEMONS = 3
SYNC_GRACE_MS = 3_000.0


class Daemon:
    """Runs one daemon: its listeners for callers, peers and operators, and its tasks.

    Parameters
    ----------
    settings : Settings
    clock : Clock or None
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or Clock()
        self.drain_requested = threading.Event()
        self.started_ms = self.clock.now_ms()
        self.closed = False

    def start(self):
        """Check the settings and start all components; raises `SettingsError` or `OSError`."""
        check_settings(self.settings)
        if self.settings.source_ip:
            set_source_ip(self.settings.source_ip)
        self._build_membership()
        self._build_routing()
        self._build_placement()
        self._start_listeners()
        self.committer.start()
        self.claims.start()
        self.disconnect_monitor.start()
        self.cache_events.start()
        self.directory.update()
        self.watcher.start()
        self.heartbeater.start()
        self.prober.start()
        self.placement.start()
        self.decisions.record(
            "daemon_started", daemon=self.peer_info.name, instance=self.peer_info.instance
        )
        return self

    def close(self):
        """Stop all components immediately; call `drain` first to let requests finish."""
        if self.closed:
            return
        self.closed = True
        self.placement.close()
        self.prober.close()
        self.heartbeater.close()
        self.watcher.close()
        self.callers_server.close()
        self.peers_server.close()
        self.claims.close()
        self.committer.close()
        self.disconnect_monitor.close()
        self.cache_events.close()
        self.transport.close()
        self.store.close()
        self.vm_list.close()

    def request_drain(self):
        """Report not ready and ask the main thread to drain and close."""
        self.peer_info.draining = True
        self.drain_requested.set()

    def drain(self):
        """Wait for the requests in flight to finish; returns whether all did.

        The daemon reports not ready immediately, but accepts requests during the notice
        period, until the load balancer has noticed.
        """
        self.peer_info.draining = True
        self.decisions.record("drain_begun", in_flight=self.in_flight.count)
        self.clock.sleep_ms(self.settings.drain_notice_ms)
        with self.in_flight.changed:
            self.in_flight.accepting = False
        finished = self.in_flight.wait_idle(self.settings.drain_bound_ms)
        self.decisions.record("drain_ended", finished=finished, left=self.in_flight.count)
        return finished

    def unready_reason(self):
        """Return why the daemon is not ready, or an empty string if it is."""
        if self.peer_info.draining:
            return "draining"
        if self.holder.record is None:
            return "no configuration in force"
        return ""

    def operator_name(self, authorization):
        """Return the name of the operator whose bearer key this is, or None."""
        operator = self.holder.operator_keys.authenticate(authorization)
        if operator is not None:
            return operator.name
        bootstrap = self.settings.bootstrap_key
        no_operators = self.holder.record is None or not self.holder.document.operators
        if not bootstrap or not no_operators:
            return None
        expected = f"Bearer {bootstrap}".encode()
        matches = hmac.compare_digest(expected, (authorization or "").encode())
        return BOOTSTRAP_OPERATOR if matches else None

    def propose(self, document, base_revision, change_id, operator):
        """Propose a configuration.

        Rejected as ``not_ready`` until this daemon knows which one its peers have in force. It
        stops waiting for peers after `SYNC_GRACE_MS`, and doesn't wait if no peer is known.
        """
        uptime_ms = self.clock.now_ms() - self.started_ms
        no_known_peers = not self.directory.entry_addresses() and not self.settings.seeds
        if not (self.heartbeater.synced.is_set() or no_known_peers or uptime_ms > SYNC_GRACE_MS):
            raise CorianderhavenError(
                ErrorCode.NOT_READY, "not in touch with peers yet", retry_after_ms=1000
            )
        return self.proposer.propose(document, base_revision, change_id, operator)

    def permitted_deployments(self, account):
        """Return the deployments that an account may use, in order of priority."""
        document = self.holder.document
        permitted = (
            d for d in document.deployments if not d.accounts or account.name in d.accounts
        )
        return sorted(permitted, key=lambda d: (d.priority, d.name))

    def deployments_for(self, account, model):
        """Return the permitted deployments that serve ``model`` or ``model:adapter``."""
        name, _, adapter = model.partition(":")
        return [
            d
            for d in self.permitted_deployments(account)
            if d.model == name and (not adapter or adapter in d.adapters)
        ]

    def zone_summary(self):
        """Return the `ZoneSummary` of this zone that is sent to other zones."""
        document = self.holder.document
        deployments, services = {}, {}
        for deployment in document.deployments if document else ():
            replicas = self.view.for_deployment(deployment)
            limit = deployment.limits.in_flight_per_replica
            free = sum(max(0, limit - self.load_tracker.estimate_requests(r)) for r in replicas)
            deployments[deployment.name] = DeploymentSummary(len(replicas), free)
        for service in document.services if document else ():
            services[service.name] = len(self.operations.endpoints(service))
        peers = [r.info for r in self.peers.live(self.peer_info.zone) if not r.info.draining]
        daemons = [] if self.peer_info.draining else [self.peer_info]
        return ZoneSummary(
            self.peer_info.zone, 0, [*daemons, *peers][:MAX_SUMMARY_DAEMONS], deployments, services
        )

    def status(self):
        """Return the status report of this daemon."""
        return self.status_reports.status()

    def describe_replicas(self):
        """Return the intended replicas with their observed state."""
        return self.status_reports.replicas()

    def describe_vms(self):
        """Return the endpoint VMs with their latest facts."""
        return self.status_reports.vms()

    def refresh_metrics(self):
        """Update the gauges before they are scraped."""
        self.status_reports.refresh_metrics()

    def _build_membership(self):
        settings = self.settings
        self.decisions = DecisionLog(self.clock)
        self.store = EtcdGatewayStore(settings.platform)
        self.vm_list = HttpVmList(settings.platform)
        self.peer_info = PeerInfo(
            settings.name, settings.zone, new_id("daemon"), settings.peers, self.clock.wall_ms()
        )
        self.transport = PeerTransport(settings.secret)
        self.holder = ConfigHolder(self.decisions)
        self.peers = PeerTable(self.clock, self.peer_info)
        self.adoption = ZoneAdoption(self.clock, self.peers, self.holder, self.decisions)
        self.directory = VmDirectory(
            self.vm_list, self.clock, self.peers, self.transport, self.adoption
        )
        self.peers.platform_reachable = lambda: self.directory.platform_reachable
        self.proposer = ConfigProposer(self.store, self.holder, self.decisions, self.clock)
        self.watcher = ConfigWatcher(
            self.store, self.proposer, self.holder, self.peers, self.transport
        )
        self.facts = FactTable(self.clock, self.peer_info.name)
        self.heartbeater = Heartbeater(
            self.clock,
            self.peers,
            self.facts,
            self.holder,
            self.watcher,
            self.directory,
            self.adoption,
            self.transport,
            settings.seeds,
        )
        self.prober = ProbeSupervisor(
            self.facts,
            self.directory,
            self.peers,
            self.adoption,
            self.decisions,
            self.heartbeater,
        )

    def _build_routing(self):
        settings = self.settings
        self.in_flight = InFlight()
        self.disconnect_monitor = DisconnectMonitor()
        self.tokens = ResumeTokens(settings.secret)
        self.view = ReplicaView(self.facts, self.directory, self.clock)
        self.load_tracker = LoadTracker(self.clock, self.peers)
        self.remote_zones = RemoteZones(self.adoption, self.peers)
        self.admission = AdmissionController(self.clock, self.load_tracker, settings.fairness)
        chooser = make_chooser(settings.chooser, self.load_tracker, settings.seed or None)
        self.targets = TargetFinder(
            self.view, chooser, self.load_tracker, self.remote_zones, self.holder
        )
        self.drafts = DraftRouter(
            self.clock,
            self.targets,
            self.load_tracker,
            self.admission,
            self.decisions,
            settings.secret,
            settings.resume,
        )
        index = getattr(chooser, "index", PrefixIndex())
        self.cache_events = CacheEventFollower(self.clock, self.view, self.load_tracker, index)
        self.committer = GroupCommitter(self.store)
        self.claims = ClaimRegistry(
            self.store, self.committer, self.clock, self.peer_info, self.transport, self.decisions
        )
        self.operations = OperationRouter(
            self.clock,
            self.facts,
            self.directory,
            self.adoption,
            self.remote_zones,
            self.claims,
            self.decisions,
            settings.secret,
        )
        self.heartbeater.in_flight_source = self.load_tracker.requests_by_replica
        self.heartbeater.accounts_source = self.load_tracker.requests_by_account
        self.heartbeater.summary_source = self.zone_summary

    def _build_placement(self):
        self.placement = PlacementController(self.adoption, self._create_placer)
        self.status_reports = StatusReports(self)

    def _create_placer(self, zone):
        return ZonePlacer(
            zone,
            self.store,
            self.clock,
            self.holder,
            self.peers,
            self.facts,
            self.directory,
            make_repair_policy(self.settings.repair_policy),
            self.decisions,
        )

    def _start_listeners(self):
        """Start both listeners or neither."""
        caller_routes = CallerRoutes(self)
        self.callers_server = HttpServer(
            self.settings.callers, caller_routes.router, self.settings.caller_threads
        ).start()
        peers_router = Router()
        PeerRoutes(self).register(peers_router)
        OperatorRoutes(self).register(peers_router)
        Console(self).register(peers_router)
        self.peers_server = HttpServer(self.settings.peers, peers_router, PEER_THREADS)
        try:
            self.peers_server.start()
        except OSError:
            self.callers_server.close()
            raise
        self.peer_info.address = self.peers_server.address
