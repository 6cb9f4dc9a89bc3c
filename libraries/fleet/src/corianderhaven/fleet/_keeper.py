"""Forms and repairs replicas; runs in every daemon, acts in the one that holds the lease."""

import asyncio
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S

from ._formation import Form, FormationPlanner, Stage, Standby, Vm, find_lost
from ._interfaces import OrderResult
from ._replicas import group_replicas, model_of, replica_name
from ._types import ReplicaState

TICK_MS = 100.0  # bounds how late a change that no event tells of is acted on
GENERATIONS_PER_TENURE = 10_000  # formations of one tenure; more than a day's
ORDER_TRIES = 4
ORDER_RETRY_MS = 60.0
PROBE_TIMEOUT_MS = 300.0  # an engine answers in a few ms; leaves room for a lossy link
PROBE_STAGGER_MS = 100.0  # between two tries, of which a lost packet takes only one
PROBE_TRIES = 2
DEAD_MS = 2_000.0  # until a silent endpoint is asked again
STALL_SLACK_MS = 500.0  # on top of the platform's stall bound
OPEN_TOLD_MS = 3_000.0  # for the head's word that it is open
READY_SLACK_MS = 4_000.0  # over the time that the load should take
STANDBY_MS = 3_000.0  # until a spare that still isn't ready is ordered again
CLOSE_WAIT_MS = 9_000.0  # engines give a leaving member's replica ten seconds
SETTLE_MS = 3_000.0  # for the first entries of a fleet that starts all at once
LEAD_EXTRA_LOADS = 3  # keeps the weight store busy while orders are on their way


@dataclass
class KeeperMemory:
    """What the keeper knows beyond the directory.

    Parameters
    ----------
    held : dict of str to float
        Endpoints whose last head may still stand still, until when in ms.
    dead : dict of str to float
        Endpoints that don't answer, until when to believe it in ms.
    staging : dict of str to str
        Models whose load onto a host is under way.
    released : set of (str, int)
        Replicas whose head can't serve any more.
    last_models : dict of str to (int, str)
        Life and model of each endpoint's last replica.
    loads : int
        Loads under way.
    """

    held: dict = field(default_factory=dict)
    dead: dict = field(default_factory=dict)
    staging: dict = field(default_factory=dict)
    busy: set = field(default_factory=set)
    own: set = field(default_factory=set)
    warming: set = field(default_factory=set)
    dissolving: set = field(default_factory=set)
    released: set = field(default_factory=set)
    last_models: dict = field(default_factory=dict)
    loads: int = 0
    load_starts: list = field(default_factory=list)


class ReplicaKeeper:
    """Keeps as many replicas whole as the endpoints allow.

    Parameters
    ----------
    lease : KeeperLease
    orders : EngineOrders
    directory : EndpointDirectory
    holder : ConfigInForce
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
        self.memory = KeeperMemory()
        self.tenure = None
        self.tenure_ms = 0.0
        self.number = 0
        self.tasks = set()
        self.investigated = {}
        self.task = None

    def start(self):
        """Begin to watch over replicas."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self):
        """Stop; orders under way are abandoned."""
        for task in (self.task, *self.tasks):
            if task is not None:
                task.cancel()

    def suspect(self, head_id, reason):
        """Look into a replica whose streams have fallen silent."""
        now = self.clock.now_ms()
        if self.tenure is None or now < self.investigated.get(head_id, 0.0):
            return
        head = self.directory.get(head_id)
        if head is None or head.membership is None:
            return
        self.investigated[head_id] = now + 2 * PROBE_TIMEOUT_MS
        self.decisions.record("replica_suspected", endpoint=head_id, reason=reason)
        member = head.membership
        replica = group_replicas(self.directory.endpoints(head.service))[
            (member.replica, member.generation)
        ]
        self._spawn(self._find_silent(list(replica.members.values())))

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
            if not self.lease.may_order() or config is None or not self.directory.listed:
                continue
            for service in config.services.values():
                if service.engine is not None:
                    self._keep(service)
            await asyncio.sleep(0.01)

    def _follow_tenure(self):
        """Start anew when the lease was won, and drop all when it was lost."""
        if self.lease.tenure == self.tenure:
            return
        for task in self.tasks:
            task.cancel()
        self.memory = KeeperMemory()
        self.number = 0
        self.tenure = self.lease.tenure
        self.tenure_ms = self.clock.now_ms()
        if self.tenure is not None and not self.settings.first_start:
            self._hold_ordered_before()

    def _hold_ordered_before(self):
        """Wait for heads that the previous holder may have left standing still."""
        until = self.clock.now_ms() + self.settings.stall_ms + STALL_SLACK_MS
        for endpoint in self.directory.endpoints():
            if endpoint.membership is None and endpoint.staged:
                self.memory.held[endpoint.id] = until

    def _keep(self, service):
        endpoints = self.directory.endpoints(service.name)
        engine = service.engine
        memory = self.memory
        self._forget_dead(endpoints)
        for endpoint in endpoints:
            member = endpoint.membership
            if member is not None and member.state is not ReplicaState.JOINING:
                model = model_of(member.replica)
                memory.last_models[endpoint.id] = (endpoint.born_ms, model)
        skipped = memory.own | memory.dissolving | memory.released
        for action in find_lost(endpoints, engine, memory.dead.keys(), skipped):
            self._spawn(self._dissolve(action, endpoints))
        vms = [self._view(e) for e in endpoints if not e.leaving and e.id not in memory.dead]
        settled = self.traffic_seen or self.clock.now_ms() > self.tenure_ms + SETTLE_MS
        for action in FormationPlanner(engine).plan(vms, self._load_slots(engine), settled):
            if isinstance(action, Form):
                self._begin_formation(engine, action)
            elif isinstance(action, Stage):
                self._begin_staging(engine, action)
            elif isinstance(action, Standby):
                self._begin_standby(action)

    def _view(self, endpoint):
        memory = self.memory
        member = endpoint.membership
        now = self.clock.now_ms()
        released = member is None or (member.replica, member.generation) in memory.released
        free = (
            released and endpoint.id not in memory.busy and now >= memory.held.get(endpoint.id, 0.0)
        )
        life, model = memory.last_models.get(endpoint.id, (None, None))
        last_model = model if life == endpoint.born_ms else None
        return Vm(endpoint, free, memory.staging.get(endpoint.id), last_model)

    def _load_slots(self, engine):
        memory = self.memory
        if not self.traffic_seen:
            return max(0, engine.loads_at_once + LEAD_EXTRA_LOADS - memory.loads)
        now = self.clock.now_ms()
        window_ms = self.settings.load_window_ms
        memory.load_starts = [at for at in memory.load_starts if now - at < window_ms]
        recent = sum(now - at < MS_PER_S for at in memory.load_starts)
        allowed = int(engine.loads_per_s * window_ms / MS_PER_S) - len(memory.load_starts)
        at_once = engine.loads_at_once - memory.loads
        return max(0, min(allowed, at_once, int(engine.loads_per_s) - recent))

    def _note_loads(self, count):
        self.memory.loads += count
        self.memory.load_starts += [self.clock.now_ms()] * count

    def _begin_formation(self, engine, action):
        self.number += 1
        name = replica_name(action.model, self.tenure, self.number)
        generation = self.tenure * GENERATIONS_PER_TENURE + self.number
        self.memory.busy |= {e.id for e in action.members}
        self.memory.own.add((name, generation))
        self._note_loads(action.loads)
        self._spawn(self._form(engine, action, name, generation))

    def _begin_standby(self, action):
        """Join a spare to a replica of its own that is never opened."""
        if action.endpoint.id in self.memory.warming:
            return
        self.number += 1
        name = replica_name(action.model, self.tenure, self.number)
        generation = self.tenure * GENERATIONS_PER_TENURE + self.number
        self.memory.warming.add(action.endpoint.id)
        self.memory.released.add((name, generation))
        self._spawn(self._warm(action, name, generation))

    async def _warm(self, action, name, generation):
        endpoint = action.endpoint
        try:
            await self._order(
                "standby",
                endpoint,
                name,
                lambda: self.orders.join(endpoint, name, generation, action.model, [endpoint.id]),
            )
            await asyncio.sleep(STANDBY_MS / MS_PER_S)
        finally:
            self.memory.warming.discard(endpoint.id)

    async def _form(self, engine, action, name, generation):
        memory, key = self.memory, (name, generation)
        ids = [e.id for e in action.members]
        loads = action.loads
        started_ms = self.clock.now_ms()
        opened = False
        self.decisions.record("replica_forming", replica=name, members=ids, loads=loads)
        try:
            if await self._join_all(action, name, generation):
                bound_ms = self._ready_bound_ms(engine, action)
                ready = await self._wait_states(ids, key, (ReplicaState.READY,), bound_ms)
                memory.loads, loads = memory.loads - loads, 0
                opened = ready and await self._open(ids, key)
        finally:
            memory.loads -= loads
            memory.busy -= set(ids)
            took_ms = round(self.clock.now_ms() - started_ms)
            self.decisions.record("replica_formed", replica=name, opened=opened, took_ms=took_ms)
            if not opened:
                await self._release_unopened(ids, key)
            memory.own.discard(key)

    def _ready_bound_ms(self, engine, action):
        model = engine.model(action.model)
        load_ms = (model.load_s if action.loads else model.warm_s) * MS_PER_S
        return load_ms * max(1.0, self.memory.loads / engine.loads_at_once) + READY_SLACK_MS

    async def _join_all(self, action, name, generation):
        ids = [e.id for e in action.members]

        async def join(endpoint):
            return await self._order(
                "join",
                endpoint,
                name,
                lambda: self.orders.join(endpoint, name, generation, action.model, ids),
            )

        results = await asyncio.gather(*(join(e) for e in action.members))
        for endpoint, result in zip(action.members, results, strict=True):
            if result is OrderResult.UNKNOWN:
                self._mark_dead(endpoint.id)
        return all(r in (OrderResult.BEGUN, OrderResult.DONE) for r in results)

    async def _open(self, ids, key):
        head = self.directory.get(ids[0])
        if head is None:
            return False
        result = await self._order("open", head, key[0], lambda: self.orders.open(head, *key))
        if result not in (OrderResult.BEGUN, OrderResult.DONE, OrderResult.UNKNOWN):
            return False
        return await self._wait_states(ids[:1], key, (ReplicaState.OPEN,), OPEN_TOLD_MS)

    async def _wait_states(self, ids, key, states, bound_ms):
        """Wait until all endpoints say that they are in `states` of replica `key`."""
        begun_ms = self.clock.now_ms()
        asked_ms = begun_ms
        while True:
            endpoints = [self.directory.get(i) for i in ids]
            if any(e is None or e.leaving or e.id in self.memory.dead for e in endpoints):
                return False
            members = [e.membership for e in endpoints]
            named = [m is not None and (m.replica, m.generation) == key for m in members]
            if all(named) and all(m.state in states for m in members):
                return True
            now = self.clock.now_ms()
            if now - begun_ms > bound_ms:
                return False
            if now - asked_ms > MS_PER_S:
                asked_ms = now
                await self._find_silent([e for e in endpoints if e is not None])
            await asyncio.sleep(0.04)

    async def _release_unopened(self, ids, key):
        """Free the members of a replica that could not be opened, head first."""
        head = self.directory.get(ids[0])
        if head is not None:
            await self._leave_head(head, key)
        self.memory.released.add(key)

    async def _leave_head(self, head, key):
        """Take the head out of its replica; returns whether it is sure to be out."""
        if head.id in self.memory.dead:
            return False
        result = await self._order("leave", head, key[0], lambda: self.orders.leave(head, *key))
        if result in (OrderResult.BEGUN, OrderResult.DONE):
            return True
        report = await self.orders.report(head, PROBE_TIMEOUT_MS)
        if report is None:
            self._mark_dead(head.id)
            return False
        self.directory.update_from_report(head.id, report)
        member = report.membership
        return member is None or (member.replica, member.generation) != key

    async def _dissolve(self, action, endpoints):
        replica, memory = action.replica, self.memory
        key = (replica.name, replica.generation)
        memory.dissolving.add(key)
        self.decisions.record(
            "replica_dissolving",
            replica=replica.name,
            reason=action.reason,
            members=[e.id for e in replica.members.values()],
        )
        try:
            head = replica.head
            if action.graceful:
                await self._close_gracefully(head, key)
            if replica.state is ReplicaState.BROKEN:
                gone = True
            else:
                gone = head is not None and await self._leave_head(head, key)
            if not gone:
                await self._abandon_head(replica, key)
            memory.released.add(key)
        finally:
            memory.dissolving.discard(key)

    async def _close_gracefully(self, head, key):
        result = await self._order(
            "close", head, key[0], lambda: self.orders.close(head, *key, False)
        )
        if result in (OrderResult.BEGUN, OrderResult.DONE):
            await self._wait_states([head.id], key, (ReplicaState.READY,), CLOSE_WAIT_MS)

    async def _abandon_head(self, replica, key):
        """Take the members from a head that can't be reached, and hold them while it stalls."""
        members = [e for rank, e in replica.members.items() if rank != 0]

        async def leave(endpoint):
            return await self._order(
                "leave", endpoint, key[0], lambda: self.orders.leave(endpoint, *key)
            )

        await asyncio.gather(*(leave(e) for e in members if e.id not in self.memory.dead))
        until = self.clock.now_ms() + self.settings.stall_ms + STALL_SLACK_MS
        for endpoint in replica.members.values():
            self.memory.held[endpoint.id] = until

    def _begin_staging(self, engine, action):
        self.memory.staging[action.endpoint.id] = action.model
        self._note_loads(1)
        self._spawn(self._stage(engine, action))

    async def _stage(self, engine, action):
        memory, endpoint = self.memory, action.endpoint
        self.decisions.record("vm_staging", endpoint=endpoint.id, model=action.model)
        try:
            result = await self._order(
                "stage", endpoint, action.model, lambda: self.orders.stage(endpoint, action.model)
            )
            if result is OrderResult.UNKNOWN:
                self._mark_dead(endpoint.id)
            if result is not OrderResult.BEGUN:
                return
            load_ms = engine.model(action.model).load_s * MS_PER_S
            factor = max(1.0, memory.loads / engine.loads_at_once)
            bound_ms = self.clock.now_ms() + load_ms * factor + READY_SLACK_MS
            while self.clock.now_ms() < bound_ms:
                current = self.directory.get(endpoint.id)
                if current is None or action.model in current.staged:
                    return
                await asyncio.sleep(0.1)
        finally:
            memory.loads -= 1
            memory.staging.pop(endpoint.id, None)

    async def _order(self, operation, endpoint, subject, send):
        """Send an order until it is answered; returns the `OrderResult`."""
        result = OrderResult.UNKNOWN
        for attempt in range(ORDER_TRIES):
            if not self.lease.may_order():
                return OrderResult.REFUSED
            result = await send()
            self.decisions.record(
                "order",
                operation=operation,
                endpoint=endpoint.id,
                subject=subject,
                result=result.value,
                attempt=attempt,
            )
            if result is OrderResult.OUTDATED:
                await self._check_superseded(endpoint)
                return result
            if result is not OrderResult.UNKNOWN:
                return result
            await asyncio.sleep(ORDER_RETRY_MS / MS_PER_S)
        return result

    async def _check_superseded(self, endpoint):
        report = await self.orders.report(endpoint, PROBE_TIMEOUT_MS)
        if report is None or report.membership is None or self.tenure is None:
            return
        if report.membership.generation >= (self.tenure + 1) * GENERATIONS_PER_TENURE:
            self.lease.superseded(report.membership.generation)

    async def _find_silent(self, endpoints):
        """Ask endpoints for their reports; those that give none are taken for dead."""

        async def ask(endpoint, delay_ms):
            await asyncio.sleep(delay_ms / MS_PER_S)
            return await self.orders.report(endpoint, PROBE_TIMEOUT_MS)

        async def judge(endpoint):
            tries = [ask(endpoint, PROBE_STAGGER_MS * number) for number in range(PROBE_TRIES)]
            for done in asyncio.as_completed(tries):
                report = await done
                if report is not None:
                    self.directory.update_from_report(endpoint.id, report)
                    self.memory.dead.pop(endpoint.id, None)
                    return
            self._mark_dead(endpoint.id)

        await asyncio.gather(*(judge(e) for e in endpoints))

    def _mark_dead(self, endpoint_id):
        if endpoint_id not in self.memory.dead:
            self.decisions.record("endpoint_silent", endpoint=endpoint_id)
        self.memory.dead[endpoint_id] = self.clock.now_ms() + DEAD_MS
        self.directory.changed.set()

    def _forget_dead(self, endpoints):
        """Ask endpoints again that were silent a while ago; forget those that are gone."""
        now = self.clock.now_ms()
        by_id = {e.id: e for e in endpoints}
        for endpoint_id, until in list(self.memory.dead.items()):
            if self.directory.get(endpoint_id) is None:
                del self.memory.dead[endpoint_id]
            elif now >= until and endpoint_id in by_id:
                self.memory.dead[endpoint_id] = now + DEAD_MS
                self._spawn(self._find_silent([by_id[endpoint_id]]))

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.decisions.record("keeper_task_failed", reason=repr(task.exception()))
        self.directory.changed.set()
