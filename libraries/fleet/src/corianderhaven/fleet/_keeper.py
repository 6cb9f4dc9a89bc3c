"""Keeps replicas whole; runs in every daemon, acts in the one that holds the lease."""

import asyncio
from dataclasses import replace

from corianderhaven.common import MS_PER_S

from ._formation import Form, Stage, Standby, Vm, find_lost
from ._order_sender import PROBE_TIMEOUT_MS, OrderSender
from ._replica_tasks import STALL_SLACK_MS, ReplicaTasks
from ._replicas import group_replicas, model_of
from ._types import ReplicaState

TICK_MS = 100.0  # bounds how late a change that no event tells of is acted on
PAUSE_MS = 10.0  # lets the changes of one instant be planned together
LEAD_EXTRA_LOADS = 3  # keeps the weight store busy while orders are on their way
SETTLE_MS = 3_000.0  # for the first entries of a fleet that starts all at once
VOUCH_MS = 1_000.0  # for how long an endpoint's own word stands in for its entry
REAPPEAR_MS = 2_500.0  # entries that lapsed together come back within two heartbeats


class ReplicaKeeper:
    """Keeps as many replicas whole as the endpoints allow.

    Parameters
    ----------
    lease : KeeperLease
    orders : EngineOrders
    directory : EndpointDirectory
    holder : ActiveConfig
    settings : NodeSettings
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, lease, orders, directory, holder, settings, clock, decisions):
        self.lease = lease
        self.orders = orders
        self.directory = directory
        self.holder = holder
        self.settings = settings
        self.clock = clock
        self.decisions = decisions
        self.traffic_seen = not settings.first_start
        self.sender = OrderSender(lease, orders, directory, clock, decisions)
        self.work = None
        self.begun_ms = 0.0
        self.investigated = {}
        self.rosters = {}
        self.seen_ms = {}
        self.vouched = {}
        self.task = None

    def start(self):
        """Begin to watch over replicas."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self):
        """Stop; orders under way are abandoned."""
        if self.task is not None:
            self.task.cancel()
        if self.work is not None:
            self.work.close()

    def opened_heads(self, within_ms=float("inf")):
        """Return the `OpenedHead`s of this tenure that still head the same replica.

        Parameters
        ----------
        within_ms : float
            Only those opened this lately.
        """
        if self.work is None:
            return {}
        since_ms = self.clock.now_ms() - within_ms
        current = {}
        for head_id, opened in self.work.opened.items():
            head = self.directory.get(head_id)
            member = head.membership if head is not None else None
            if member is None or opened.opened_ms < since_ms:
                continue
            if (member.replica, member.generation) == (opened.replica, opened.generation):
                current[head_id] = opened
        return current

    def suspect(self, head_id, reason):
        """Look into a replica whose streams have fallen silent."""
        now = self.clock.now_ms()
        head = self.directory.get(head_id)
        if self.work is None or head is None or head.membership is None:
            return
        if now < self.investigated.get(head_id, 0.0):
            return
        self.investigated[head_id] = now + 2 * PROBE_TIMEOUT_MS
        self.decisions.record("replica_suspected", endpoint=head_id, reason=reason)
        member = head.membership
        replicas = group_replicas(self.directory.endpoints(head.service))
        replica = replicas.get((member.replica, member.generation))
        if replica is not None:
            self.work.spawn(self.sender.probe(list(replica.members.values())))

    async def _run(self):
        while True:
            try:
                async with asyncio.timeout(TICK_MS / MS_PER_S):
                    await self.directory.changed.wait()
            except TimeoutError:
                pass  # time alone frees endpoints too
            self.directory.changed.clear()
            self._follow_tenure()
            config = self.holder.config
            if self.work is None or config is None or not self.directory.synced:
                continue
            if not self.lease.may_order():
                continue
            for service in config.services.values():
                if service.engine is not None:
                    self._keep(service)
            await asyncio.sleep(PAUSE_MS / MS_PER_S)

    def _follow_tenure(self):
        """Start anew when the lease was won, and drop all when it was lost."""
        tenure = self.work.tenure if self.work is not None else None
        if self.lease.tenure == tenure:
            return
        if self.work is not None:
            self.work.close()
        self.work = None
        self.rosters, self.seen_ms, self.vouched = {}, {}, {}
        self.sender.dead.clear()
        if self.lease.tenure is None:
            return
        self.work = ReplicaTasks(
            self.lease.tenure,
            self.sender,
            self.directory,
            self.settings,
            self.clock,
            self.decisions,
        )
        self.begun_ms = self.clock.now_ms()
        if self.traffic_seen:
            self._hold_left_before()

    def _hold_left_before(self):
        """Wait for heads that the previous holder may have left standing still."""
        until = self.clock.now_ms() + self.settings.stall_ms + STALL_SLACK_MS
        for endpoint in self.directory.endpoints():
            if endpoint.membership is None and endpoint.staged:
                self.work.memory.held[endpoint.id] = until

    def _keep(self, service):
        endpoints = self.directory.endpoints(service.name)
        engine, memory = service.engine, self.work.memory
        for endpoint in self.sender.due_probes(endpoints):
            self.work.spawn(self.sender.probe([endpoint]))
        self._remember(endpoints)
        told = endpoints + self._vouched_members(endpoints)
        skipped = memory.own | memory.dissolving | memory.released
        for action in find_lost(told, engine, self.sender.dead.keys(), skipped):
            if self._certain(action):
                self.work.begin_dissolving(action)
        self._plan(service, endpoints)

    def _plan(self, service, endpoints):
        engine = service.engine
        dead = self.sender.dead
        vms = [self._view(e) for e in endpoints if not e.leaving and e.id not in dead]
        settled = self.traffic_seen or self.clock.now_ms() > self.begun_ms + SETTLE_MS
        planner = self.work.planner(service.name, engine)
        # Loads take a tenth of their time before the first request.
        quick = not self.traffic_seen
        for action in planner.plan(vms, self._load_slots(engine), settled, quick):
            if isinstance(action, Form):
                self.work.begin_formation(engine, action)
            elif isinstance(action, Stage):
                self.work.begin_staging(engine, action)
            elif isinstance(action, Standby):
                self.work.begin_standby(action)

    def _remember(self, endpoints):
        """Note who was a member of what, and since when each replica has been told of."""
        now = self.clock.now_ms()
        replicas = group_replicas(endpoints)
        for key, replica in replicas.items():
            self.seen_ms.setdefault(key, now)
            self.rosters.setdefault(key, {}).update(replica.members)
        for key in [key for key in self.seen_ms if key not in replicas]:
            del self.seen_ms[key]
            self.rosters.pop(key, None)
            self.work.note_standstill(key)
        for endpoint in endpoints:
            member = endpoint.membership
            if member is not None:
                key = (member.replica, member.generation)
                self.work.memory.last_keys[endpoint.id] = key
            if member is not None and member.state is not ReplicaState.JOINING:
                model = model_of(member.replica)
                self.work.memory.last_models[endpoint.id] = (endpoint.started_ms, model)

    def _vouched_members(self, endpoints):
        """Return members without an entry that say themselves that they are in place.

        An endpoint that is cut off from the store alone still works for its replica.
        """
        now = self.clock.now_ms()
        present = {e.id for e in endpoints}
        vouched = []
        for key, roster in self.rosters.items():
            for endpoint in roster.values():
                if endpoint.id in present or key in self.work.memory.released:
                    continue
                until = self.vouched.get(endpoint.id)
                if until is None or now >= until:
                    # Counts as in place while it is asked.
                    self.vouched[endpoint.id] = now + VOUCH_MS
                    self.work.spawn(self._ask_member(endpoint, key))
                    vouched.append(endpoint)
                elif until > 0.0:
                    vouched.append(endpoint)
        return [replace(e, leaving=False) for e in vouched]

    async def _ask_member(self, endpoint, key):
        reports = await self.sender.probe([endpoint])
        report = reports[endpoint.id]
        member = report.membership if report is not None else None
        in_place = member is not None and (member.replica, member.generation) == key
        self.decisions.record("member_without_entry", endpoint=endpoint.id, in_place=in_place)
        if not in_place:
            self.rosters.get(key, {}).pop(endpoint.membership.rank, None)
            self.directory.changed.set()

    def _certain(self, action):
        """Return whether a replica is sure to be lost, and not only half told of."""
        replica = action.replica
        key = (replica.name, replica.generation)
        members = replica.members.values()
        if all(e.id in self.sender.dead for e in members):
            return False  # nobody answers: it may be this daemon that is cut off
        if action.reason != "member lost":
            return True
        return self.clock.now_ms() - self.seen_ms.get(key, 0.0) > REAPPEAR_MS

    def _view(self, endpoint):
        memory, member = self.work.memory, endpoint.membership
        now = self.clock.now_ms()
        if member is not None:
            released = (member.replica, member.generation) in memory.released
        else:
            # A member that was born anew has forgotten its replica; a late order may bring it
            # back there while the head still serves.
            key = memory.last_keys.get(endpoint.id)
            released = key is None or memory.has_ended(key, now)
        held = now < memory.held.get(endpoint.id, 0.0)
        free = released and not held and endpoint.id not in memory.busy
        life, model = memory.last_models.get(endpoint.id, (None, None))
        last_model = model if life == endpoint.started_ms else None
        return Vm(endpoint, free, memory.staging.get(endpoint.id), last_model)

    def _load_slots(self, engine):
        """Return how many loads may begin now without slowing those under way."""
        memory = self.work.memory
        if not self.traffic_seen:
            return max(0, engine.max_concurrent_loads + LEAD_EXTRA_LOADS - memory.loads)
        now = self.clock.now_ms()
        window_ms = self.settings.load_window_ms
        memory.load_starts = [at for at in memory.load_starts if now - at < window_ms]
        recent = sum(now - at < MS_PER_S for at in memory.load_starts)
        allowed = int(engine.loads_per_s * window_ms / MS_PER_S) - len(memory.load_starts)
        at_once = engine.max_concurrent_loads - memory.loads
        return max(0, min(allowed, at_once, int(engine.loads_per_s) - recent))
