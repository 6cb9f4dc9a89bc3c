"""Control loop that repairs replicas; runs in all daemons, active in the lease holder."""

import asyncio
from dataclasses import replace

from corianderhaven.common import MS_PER_S

from ._dissolution import STALL_MARGIN_MS, DissolutionPolicy, HeadActivity
from ._formation import Form, Stage, Standby, Vm, find_failed
from ._order_sender import PROBE_TIMEOUT_MS, OrderSender
from ._replica_tasks import ReplicaTasks
from ._replicas import group_replicas, model_of
from ._types import ReplicaState

RECONCILE_INTERVAL_MS = 100.0  # maximum delay until changes without an event are noticed
BATCH_INTERVAL_MS = 10.0  # batches simultaneous changes into one plan
EXTRA_LOADS = 3  # keeps the weight store busy while orders are in flight
DISCOVERY_MS = 3_000.0  # for the first entries when all VMs start at once
CONFIRMATION_MS = 1_000.0  # time for which an endpoint's report replaces its missing entry


class ReplicaKeeper:
    """Keeps as many replicas complete as the available endpoints allow.

    Parameters
    ----------
    lease : KeeperLease
    orders : EngineOrders
    directory : EndpointDirectory
    active_config : ActiveConfig
    settings : NodeSettings
    clock : Clock
    decisions : DecisionLog

    Attributes
    ----------
    on_stalled : callable
        Called with a head that makes no progress as another member of its replica is silent, again
        and again as long as it does.
    on_recovered : callable
        Called with the id of a head once the silent members of its replica respond again.
    on_doubt_ended : callable
        Called when it is certain whether a replica with silent members has failed, with True if it
        has.
    """

    def __init__(self, lease, orders, directory, active_config, settings, clock, decisions):
        self.lease = lease
        self.orders = orders
        self.directory = directory
        self.active_config = active_config
        self.settings = settings
        self.clock = clock
        self.decisions = decisions
        self.traffic_seen = not settings.first_start
        self.sender = OrderSender(lease, orders, directory, clock, decisions)
        self.activity = HeadActivity()
        self.dissolution = {}
        self.on_stalled = lambda head: None
        self.on_recovered = lambda head_id: None
        self.on_doubt_ended = lambda failed: None
        self.replica_tasks = None
        self.tenure_started_ms = 0.0
        self.next_probe_ms = {}
        self.kept = {}
        self.last_members = {}
        self.confirmed_until_ms = {}
        self.task = None
        active_config.listeners.append(self._note_timeouts)

    def start(self):
        """Start the control loop."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self):
        """Stop; orders in flight are abandoned."""
        if self.task is not None:
            self.task.cancel()
        if self.replica_tasks is not None:
            self.replica_tasks.close()

    def opened_heads(self, within_ms=float("inf")):
        """Return the `OpenedHead`s of this tenure that still head the same replica.

        Parameters
        ----------
        within_ms : float
            Maximum time since the head was opened.
        """
        if self.replica_tasks is None:
            return {}
        since_ms = self.clock.now_ms() - within_ms
        current = {}
        for head_id, opened in self.replica_tasks.opened.items():
            head = self.directory.get(head_id)
            member = head.membership if head is not None else None
            if member is None or opened.opened_ms < since_ms:
                continue
            if (member.replica, member.generation) == (opened.replica, opened.generation):
                current[head_id] = opened
        return current

    def suspect(self, head_id, reason):
        """Probe the members of a replica that is suspected to have failed."""
        now = self.clock.now_ms()
        head = self.directory.get(head_id)
        if self.replica_tasks is None or head is None or head.membership is None:
            return
        if now < self.next_probe_ms.get(head_id, 0.0):
            return
        self.next_probe_ms[head_id] = now + 2 * PROBE_TIMEOUT_MS
        self.decisions.record("replica_suspected", endpoint=head_id, reason=reason)
        member = head.membership
        replicas = group_replicas(self.directory.endpoints(head.service))
        replica = replicas.get((member.replica, member.generation))
        if replica is not None:
            self.replica_tasks.spawn(self.sender.probe(list(replica.members.values())))

    async def _run(self):
        while True:
            try:
                async with asyncio.timeout(RECONCILE_INTERVAL_MS / MS_PER_S):
                    await self.directory.changed.wait()
            except TimeoutError:
                pass  # endpoints also become free by the passing of time
            self.directory.changed.clear()
            self._update_tenure()
            config = self.active_config.config
            if self.replica_tasks is None or config is None or not self.directory.synced:
                continue
            if not self.lease.may_order():
                continue
            for endpoint in self.directory.take_due_doubts():
                self.replica_tasks.spawn(self.sender.probe([endpoint]))
            for service in config.services.values():
                if service.engine is not None:
                    self._reconcile_or_log(service)
            await asyncio.sleep(BATCH_INTERVAL_MS / MS_PER_S)

    def _update_tenure(self):
        """Reset all state when the lease was won or lost."""
        tenure = self.replica_tasks.tenure if self.replica_tasks is not None else None
        if self.lease.tenure == tenure:
            return
        if self.replica_tasks is not None:
            self.replica_tasks.close()
        self.replica_tasks = None
        self.last_members, self.confirmed_until_ms = {}, {}
        for policy in self.dissolution.values():
            policy.reset()
        self.kept = {}
        self.sender.unresponsive.clear()
        self.sender.silences.clear()
        self.sender.recovered_ms.clear()
        self.directory.forget_reports()
        if self.lease.tenure is None:
            return
        self.replica_tasks = ReplicaTasks(
            self.lease.tenure,
            self.sender,
            self.directory,
            self.settings,
            self.clock,
            self.decisions,
        )
        self.tenure_started_ms = self.clock.now_ms()
        if self.traffic_seen:
            self._hold_former_members()

    def _hold_former_members(self):
        """Hold endpoints whose heads may still be stalled since the previous tenure.

        One that this daemon has known to be in no replica for longer than a head stalls is free.
        """
        stall_ms = self.settings.stall_ms + STALL_MARGIN_MS
        for endpoint in self.directory.endpoints():
            if endpoint.membership is None and endpoint.staged:
                since_ms = self.directory.records[endpoint.id].unassigned_since_ms
                self.replica_tasks.keeper_state.held_until_ms[endpoint.id] = since_ms + stall_ms

    def _reconcile_or_log(self, service):
        """Reconcile a service; an unexpected error must not end the repair of the others."""
        try:
            self._reconcile(service)
        except Exception as error:
            self.decisions.record("keeper_failed", service=service.name, reason=repr(error))

    def _reconcile(self, service):
        endpoints = self.directory.endpoints(service.name)
        engine, keeper_state = service.engine, self.replica_tasks.keeper_state
        for endpoint in self.sender.due_probes(endpoints):
            self.replica_tasks.spawn(self.sender.probe([endpoint]))
        self._record_members(service.name, endpoints)
        known_endpoints = endpoints + self._confirmed_members(endpoints)
        excluded = keeper_state.forming | keeper_state.dissolving | keeper_state.released
        unresponsive = self.sender.unresponsive.keys()
        vms = [self._vm_state(e) for e in endpoints if not e.leaving and e.id not in unresponsive]
        failed = find_failed(known_endpoints, engine, unresponsive, excluded)
        policy = self._policy(service.name)
        due, kept = policy.split(failed, vms, engine)
        for action in due:
            self.replica_tasks.begin_dissolving(action)
        self._record_kept(service.name, due, kept)
        self._probe_kept(policy, kept)
        self._plan(service, vms)

    def _policy(self, service):
        """Return the `DissolutionPolicy` of a service, creating it if missing."""
        policy = self.dissolution.get(service)
        if policy is None:
            policy = DissolutionPolicy(self.sender, self.settings, self.clock, self.activity)
            self.dissolution[service] = policy
        return policy

    def _note_timeouts(self, config):
        for route in config.routes:
            for service, _ in route.services:
                self._policy(service).note_timeout(route.timeout_ms)

    def _record_kept(self, service, due, kept):
        """Record which replicas are kept for now, and which of them turned out to be sound."""
        before = self.kept.get(service, {})
        now = {action.replica.key: action for action in kept}
        failed = {action.replica.key for action in due}
        for key in now.keys() - before.keys():
            self.decisions.record("replica_kept", replica=key[0], reason=now[key].reason)
        for key in before.keys() - now.keys():
            self._end_doubt(before[key], key in failed)
        self.kept[service] = now

    def _end_doubt(self, action, failed):
        replica, reason = action.replica, action.reason
        if not failed:
            self.decisions.record("replica_sound", replica=replica.name, reason=reason)
        if reason == "member silent":
            self.on_doubt_ended(failed)
            if not failed and replica.head is not None:
                self.on_recovered(replica.head.id)

    def _probe_kept(self, policy, kept):
        """Probe replicas that may be sound, and tell of heads that make no progress meanwhile."""
        due = policy.take_due_probes(kept)
        if not due:
            return
        self.replica_tasks.spawn(self.sender.probe(due))
        for head in policy.stalled_heads(kept):
            self.on_stalled(head)

    def _plan(self, service, vms):
        engine = service.engine
        discovery_complete = (
            self.traffic_seen or self.clock.now_ms() > self.tenure_started_ms + DISCOVERY_MS
        )
        planner = self.replica_tasks.planner(service.name, engine)
        planner.retained = self.replica_tasks.retained_models(service.name, engine, vms)
        # Before the first request, loads take a tenth of their usual time.
        loads_are_fast = not self.traffic_seen
        for action in planner.plan(
            vms, self._load_slots(engine), discovery_complete, loads_are_fast
        ):
            if isinstance(action, Form):
                self.replica_tasks.begin_formation(engine, action)
            elif isinstance(action, Stage):
                self.replica_tasks.begin_staging(engine, action)
            elif isinstance(action, Standby):
                self.replica_tasks.begin_standby(action)

    def _record_members(self, service, endpoints):
        """Record the members of each replica and when the replica was first listed."""
        replicas = group_replicas(endpoints)
        for key, replica in replicas.items():
            self.last_members.setdefault(key, {}).update(replica.members)
        for key in self._policy(service).note_listed(replicas):
            self.last_members.pop(key, None)
            self.replica_tasks.dissolver.note_missing_members(key)
        for endpoint in endpoints:
            member = endpoint.membership
            self.replica_tasks.dissolver.observe_head(endpoint.id, member)
            if member is not None:
                key = (member.replica, member.generation)
                self.replica_tasks.keeper_state.last_replicas[endpoint.id] = key
            if member is not None and member.state is not ReplicaState.JOINING:
                model = model_of(member.replica)
                self.replica_tasks.keeper_state.last_models[endpoint.id] = (
                    endpoint.started_ms,
                    model,
                )

    def _confirmed_members(self, endpoints):
        """Return members without an entry that report that they are still in their replica.

        An endpoint that is cut off only from the store still serves its replica.
        """
        now = self.clock.now_ms()
        present = {e.id for e in endpoints}
        confirmed = []
        for key, members in self.last_members.items():
            for endpoint in members.values():
                if endpoint.id in present or key in self.replica_tasks.keeper_state.released:
                    continue
                until = self.confirmed_until_ms.get(endpoint.id)
                if until is None or now >= until:
                    # Counts as a member while the probe is in progress.
                    self.confirmed_until_ms[endpoint.id] = now + CONFIRMATION_MS
                    self.replica_tasks.spawn(self._probe_member(endpoint, key))
                    confirmed.append(endpoint)
                else:
                    confirmed.append(endpoint)
        return [replace(e, leaving=False) for e in confirmed]

    async def _probe_member(self, endpoint, key):
        asked_ms = self.clock.now_ms()
        reports = await self.sender.probe([endpoint])
        report = reports[endpoint.id]
        if report is None:
            head = self.last_members.get(key, {}).get(0)
            in_place = self._policy(endpoint.service).has_worked_since(head, asked_ms)
        else:
            member = report.membership
            in_place = member is not None and (member.replica, member.generation) == key
        self.decisions.record("member_without_entry", endpoint=endpoint.id, in_place=in_place)
        if not in_place:
            self.last_members.get(key, {}).pop(endpoint.membership.rank, None)
            self.directory.changed.set()

    def _vm_state(self, endpoint):
        keeper_state, member = self.replica_tasks.keeper_state, endpoint.membership
        now = self.clock.now_ms()
        if member is not None:
            released = (member.replica, member.generation) in keeper_state.released
        else:
            # A restarted member has lost its membership; a delayed order may make it join the
            # replica again while the head still serves.
            key = keeper_state.last_replicas.get(endpoint.id)
            released = key is None or keeper_state.has_ended(key, now)
        held = now < keeper_state.held_until_ms.get(endpoint.id, 0.0)
        free = released and not held and endpoint.id not in keeper_state.forming_members
        started_ms, model = keeper_state.last_models.get(endpoint.id, (None, None))
        last_model = model if started_ms == endpoint.started_ms else None
        return Vm(endpoint, free, keeper_state.staging.get(endpoint.id), last_model)

    def _load_slots(self, engine):
        """Return how many loads may start now without slowing those in progress."""
        keeper_state = self.replica_tasks.keeper_state
        if not self.traffic_seen:
            return max(0, engine.max_concurrent_loads + EXTRA_LOADS - keeper_state.active_loads)
        now = self.clock.now_ms()
        window_ms = self.settings.load_window_ms
        keeper_state.load_starts_ms = [
            start for start in keeper_state.load_starts_ms if now - start < window_ms
        ]
        recent = sum(now - start < MS_PER_S for start in keeper_state.load_starts_ms)
        allowed = int(engine.loads_per_s * window_ms / MS_PER_S) - len(keeper_state.load_starts_ms)
        concurrent = engine.max_concurrent_loads - keeper_state.active_loads
        return max(0, min(allowed, concurrent, int(engine.loads_per_s) - recent))
