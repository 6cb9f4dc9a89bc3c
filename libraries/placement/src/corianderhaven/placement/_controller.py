"""Runs placement for the availability zones that this daemon serves."""

from corianderhaven.common import PeriodicThread
from corianderhaven.platform import KeyValueError

from ._hot_spares import HotSpares
from ._intent import IntentStore
from ._lease import LeaseState, ZoneLease
from ._metrics import PlacementMetrics
from ._order_planner import OrderPlanner
from ._orders import OrderSender
from ._planner import Planner
from ._reconcile import Reconciler

TICK_PERIOD_MS = 400.0
RENEW_PERIOD_MS = 2_000.0
ACQUIRE_PERIOD_MS = 1_000.0
WARM_UP_MS = 1_500.0
CANDIDATES_PER_ZONE = 2


class ZonePlacer:
    """Places replicas in one availability zone while it holds the zone's lease.

    Parameters
    ----------
    zone : str
    store : BaseKeyValueStore
    clock : Clock
    holder : ConfigHolder
    peers : PeerTable
    facts : FactTable
    directory : VmDirectory
    policy : BaseRepairPolicy
    decisions : DecisionLog
    """

    def __init__(self, zone, store, clock, holder, peers, facts, directory, policy, decisions):
        self.zone = zone
        self.clock = clock
        self.holder = holder
        self.peers = peers
        self.decisions = decisions
        self.lease = ZoneLease(store, clock, zone, peers.own)
        self.intents = IntentStore(store, zone)
        self.planner = Planner(zone, facts, directory, clock, policy)
        self.reconciler = Reconciler(zone, facts, directory)
        self.order_planner = OrderPlanner(zone, facts, directory)
        self.hot_spares = HotSpares(zone, facts, directory, clock)
        self.planner.count_spare_loads = self.hot_spares.loading
        self.orders = OrderSender(decisions)
        self.metrics = PlacementMetrics(clock, zone, self.planner)
        self.last_renewed_ms = float("-inf")
        self.last_attempt_ms = float("-inf")
        self.reconciled = False
        self.periodic = None

    def start(self):
        """Start the periodic placement thread."""
        self.periodic = PeriodicThread(f"placement-{self.zone}", self.tick, TICK_PERIOD_MS).start()
        return self

    def close(self):
        """Stop the thread and release the lease."""
        if self.periodic is not None:
            self.periodic.close()
        self.lease.release()

    def tick(self):
        """Run one placement cycle: lease, intent, plan, metrics and orders."""
        document = self.holder.document
        if document is None:
            return
        if not self._ensure_lease() or not self._ensure_intent():
            return
        if self.clock.now_ms() - self.lease.acquired_ms < WARM_UP_MS:
            return
        self._plan(document)
        if self.intents.intent is None:
            return
        self.metrics.update(document, self.intents.intent)
        orders = self.order_planner.orders(document, self.intents.intent)
        loading = self.planner.loading(self.intents.intent)
        orders += self.hot_spares.orders(document, self.intents.intent, loading)
        if orders and not self.orders.send_all(orders, self.lease):
            self._drop_lease("an engine has refused the fencing token")

    def _ensure_lease(self):
        """Acquire or renew the lease; return whether any orders may be sent."""
        now = self.clock.now_ms()
        if self.lease.current_state() is LeaseState.NONE:
            ranked = self.peers.is_ranked(f"placement/{self.zone}", CANDIDATES_PER_ZONE)
            if not ranked or now - self.last_attempt_ms < ACQUIRE_PERIOD_MS:
                return False
            self.last_attempt_ms = now
            return self._acquire()
        if now - self.last_renewed_ms >= RENEW_PERIOD_MS:
            self.last_renewed_ms = now
            if not self.lease.renew() and self.lease.current_state() is LeaseState.NONE:
                self._drop_lease("the lease has lapsed")
        return self.lease.current_state() is not LeaseState.NONE

    def _acquire(self):
        try:
            acquired = self.lease.acquire()
        except KeyValueError:
            return False
        if acquired:
            self.last_renewed_ms = self.clock.now_ms()
            self.intents.intent = None
            self.reconciled = False
            self.decisions.record("lease_won", zone=self.zone, token=self.lease.token)
        return acquired

    def _drop_lease(self, reason):
        self.lease.drop()
        self.intents.intent = None
        self.decisions.record("lease_lost", zone=self.zone, reason=reason)

    def _ensure_intent(self):
        if self.intents.intent is not None:
            return True
        try:
            self.intents.load()
        except KeyValueError:
            return False
        return True

    def _plan(self, document):
        if not self.reconciled:
            plan = self.reconciler.reconcile(self.intents.intent)
            if plan.changes and not self._commit(plan):
                return
            self.intents.intent = plan.intent
            self.reconciled = True
        plan = self.planner.plan(document, self.intents.intent, self._may_change)
        held = self.lease.current_state() is LeaseState.HELD
        if plan.changes or (self.intents.unwritten and held):
            self._commit(plan)

    def _may_change(self, deployment):
        return self.lease.may_order(deployment.engine.checks_fencing_token)

    def _commit(self, plan):
        """Write a changed intent before sending orders based on it; return whether it took effect.

        While the platform is unreachable, a detached holder uses the intent without writing it.
        """
        try:
            written = self.intents.write(plan.intent, self.lease.token)
        except KeyValueError:
            if self.lease.current_state() is not LeaseState.DETACHED:
                return False
            self.intents.set_unwritten(plan.intent)
            written = True
        if written:
            for change in plan.changes:
                fields = dict(change)
                self.decisions.record(fields.pop("event"), **fields)
        return written


class PlacementController:
    """Starts a `ZonePlacer` for each served zone and stops those of zones handed back.

    Parameters
    ----------
    adoption : ZoneAdoption
    make_placer : callable
        Takes a zone and returns a `ZonePlacer`.
    """

    def __init__(self, adoption, make_placer):
        self.adoption = adoption
        self.make_placer = make_placer
        self.placers = {}
        self.periodic = None

    def start(self):
        """Start the thread that follows the served zones."""
        self.periodic = PeriodicThread("placement", self.update, TICK_PERIOD_MS).start()
        return self

    def close(self):
        """Stop all placers and release their leases."""
        self.periodic.close()
        for placer in self.placers.values():
            placer.close()
        self.placers.clear()

    def update(self):
        """Start and stop placers to match the served zones."""
        served = self.adoption.served_zones()
        for zone in [z for z in self.placers if z not in served]:
            self.placers.pop(zone).close()
        for zone in served - set(self.placers):
            self.placers[zone] = self.make_placer(zone).start()
