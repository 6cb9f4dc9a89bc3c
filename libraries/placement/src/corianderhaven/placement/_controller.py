"""Runs placement for the zones that this daemon serves."""

from corianderhaven.common import PeriodicThread
from corianderhaven.platform import KeyValueError

from ._hot_spares import HotSpares
from ._intent import IntentStore
from ._lease import LeaseState, ZoneLease
from ._measures import Measures
from ._order_planner import OrderPlanner
from ._orders import OrderSender
from ._planner import Planner
from ._reconcile import Reconciler

TICK_MS = 400.0
RENEW_PERIOD_MS = 2_000.0
ACQUIRE_PERIOD_MS = 1_000.0
WARM_UP_MS = 1_500.0
CANDIDATES_PER_ZONE = 2


class ZonePlacer:
    """Places replicas in one zone while it holds the zone's lease.

    Parameters
    ----------
    zone : str
    store : BaseKeyValueStore
    clock : Clock
    holder : ConfigHolder
    peers : PeerTable
    facts : FactBoard
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
        self.planner.spare_loads = self.hot_spares.loading
        self.orders = OrderSender(decisions)
        self.measures = Measures(clock, zone, self.planner)
        self.last_renewed_ms = float("-inf")
        self.last_tried_ms = float("-inf")
        self.reconciled = False
        self.periodic = None

    def start(self):
        """Start placing."""
        self.periodic = PeriodicThread(f"placement-{self.zone}", self.tick, TICK_MS).start()
        return self

    def close(self):
        """Stop, and give the lease away."""
        if self.periodic is not None:
            self.periodic.close()
        self.lease.release()

    def tick(self):
        """Run one round."""
        document = self.holder.document
        if document is None:
            return
        if not self._keep_lease() or not self._keep_intent():
            return
        if self.clock.now_ms() - self.lease.won_ms < WARM_UP_MS:
            return
        self._plan(document)
        if self.intents.intent is None:
            return
        self.measures.update(document, self.intents.intent)
        orders = self.order_planner.orders(document, self.intents.intent)
        loading = self.planner.loading(self.intents.intent)
        orders += self.hot_spares.orders(document, self.intents.intent, loading)
        if orders and not self.orders.send_all(orders, self.lease):
            self._lose("an engine has refused the fencing token")

    def _keep_lease(self):
        """Acquire or renew the lease; returns whether anything may be ordered."""
        now = self.clock.now_ms()
        if self.lease.current_state() is LeaseState.NONE:
            ranked = self.peers.is_ranked(f"placement/{self.zone}", CANDIDATES_PER_ZONE)
            if not ranked or now - self.last_tried_ms < ACQUIRE_PERIOD_MS:
                return False
            self.last_tried_ms = now
            return self._acquire()
        if now - self.last_renewed_ms >= RENEW_PERIOD_MS:
            self.last_renewed_ms = now
            if not self.lease.renew() and self.lease.current_state() is LeaseState.NONE:
                self._lose("the lease has lapsed")
        return self.lease.current_state() is not LeaseState.NONE

    def _acquire(self):
        try:
            won = self.lease.acquire()
        except KeyValueError:
            return False
        if won:
            self.last_renewed_ms = self.clock.now_ms()
            self.intents.intent = None
            self.reconciled = False
            self.decisions.record("lease_won", zone=self.zone, token=self.lease.token)
        return won

    def _lose(self, reason):
        self.lease.drop()
        self.intents.intent = None
        self.decisions.record("lease_lost", zone=self.zone, reason=reason)

    def _keep_intent(self):
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
            if plan.changes and not self._put_in_force(plan):
                return
            self.intents.intent = plan.intent
            self.reconciled = True
        plan = self.planner.plan(document, self.intents.intent, self._may_change)
        held = self.lease.current_state() is LeaseState.HELD
        if plan.changes or (self.intents.unwritten and held):
            self._put_in_force(plan)

    def _may_change(self, deployment):
        return self.lease.may_order(deployment.engine.checks_fencing_token)

    def _put_in_force(self, plan):
        """Write a changed intent before any order follows from it; returns whether it is used."""
        try:
            written = self.intents.write(plan.intent, self.lease.token)
        except KeyValueError:
            if self.lease.current_state() is not LeaseState.DETACHED:
                return False
            self.intents.keep_unwritten(plan.intent)
            written = True
        if written:
            for change in plan.changes:
                fields = dict(change)
                self.decisions.record(fields.pop("event"), **fields)
        return written


class PlacementController:
    """Starts a `ZonePlacer` for each served zone, and stops those handed back.

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
        """Start placing."""
        self.periodic = PeriodicThread("placement", self.update, TICK_MS).start()
        return self

    def close(self):
        """Stop all placers and give their leases away."""
        self.periodic.close()
        for placer in self.placers.values():
            placer.close()
        self.placers.clear()

    def update(self):
        """Follow the served zones."""
        served = self.adoption.served_zones()
        for zone in [z for z in self.placers if z not in served]:
            self.placers.pop(zone).close()
        for zone in served - set(self.placers):
            self.placers[zone] = self.make_placer(zone).start()
