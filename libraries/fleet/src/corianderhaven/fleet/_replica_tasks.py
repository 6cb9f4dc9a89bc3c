"""Forms, dissolves and prepares replicas, one task each."""

import asyncio
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S

from ._formation import FormationPlanner
from ._interfaces import OrderResult
from ._order_sender import ACCEPTED, GENERATIONS_PER_TENURE
from ._replicas import replica_name
from ._types import ReplicaState

STALL_SLACK_MS = 500.0  # on top of the platform's stall bound
OPEN_TOLD_MS = 3_000.0  # for the head's word that it is open
READY_SLACK_MS = 4_000.0  # over the time that the load should take
STANDBY_MS = 3_000.0  # until a spare that still isn't ready is ordered again
CLOSE_WAIT_MS = 9_000.0  # engines give a leaving member's replica ten seconds
UNFIT_PAUSE_MS = 1_000.0  # a sixteenth of the longest load
POLL_MS = 40.0  # a fifth of the shortest join
DISSOLVE_PAUSE_MS = 700.0  # between two tries at a replica of which nobody answers


@dataclass
class KeeperMemory:
    """What the keeper knows beyond the directory.

    Parameters
    ----------
    held : dict of str to float
        Endpoints whose last head may still stand still, until when in ms.
    staging : dict of str to str
        Models whose load onto a host is under way.
    busy : set of str
        Endpoints of replicas that are being formed.
    own : set of (str, int)
        Replicas that are being formed.
    dissolving : set of (str, int)
        Replicas that are being taken apart.
    dissolved_ms : dict of (str, int) to float
        When the last try at taking a replica apart ended.
    released : set of (str, int)
        Replicas that can't serve any more, so that their members are free.
    ended_ms : dict of (str, int) to float
        When a replica whose head can't be reached will have broken at the latest.
    last_keys : dict of str to (str, int)
        Each endpoint's last replica, also after it forgot it itself.
    last_models : dict of str to (int, str)
        Life and model of each endpoint's last replica.
    loads : int
        Loads under way.
    """

    held: dict = field(default_factory=dict)
    staging: dict = field(default_factory=dict)
    busy: set = field(default_factory=set)
    own: set = field(default_factory=set)
    warming: set = field(default_factory=set)
    dissolving: set = field(default_factory=set)
    dissolved_ms: dict = field(default_factory=dict)
    released: set = field(default_factory=set)
    ended_ms: dict = field(default_factory=dict)
    last_keys: dict = field(default_factory=dict)
    last_models: dict = field(default_factory=dict)
    loads: int = 0
    load_starts: list = field(default_factory=list)

    def has_ended(self, key, now_ms):
        """Return whether a replica's head can serve no more."""
        return key in self.released or now_ms >= self.ended_ms.get(key, float("inf"))


@dataclass(frozen=True)
class OpenedHead:
    """A replica whose head was opened, and in which life of the head."""

    replica: str
    generation: int
    started_ms: int
    opened_ms: float


class ReplicaTasks:
    """The tasks of one tenure.

    Parameters
    ----------
    tenure : int
        Revision at which the lease was won; names and generations grow with it.
    sender : OrderSender
    directory : EndpointDirectory
    settings : NodeSettings
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, tenure, sender, directory, settings, clock, decisions):
        self.tenure = tenure
        self.sender = sender
        self.orders = sender.orders
        self.directory = directory
        self.settings = settings
        self.clock = clock
        self.decisions = decisions
        self.memory = KeeperMemory()
        self.planners = {}
        self.opened = {}
        self.number = 0
        self.tasks = set()

    def close(self):
        """Abandon all tasks."""
        for task in self.tasks:
            task.cancel()

    def planner(self, service, engine):
        """Return the planner of a service, a new one when its engines are declared anew."""
        planner = self.planners.get(service)
        if planner is None or planner.engine != engine:
            planner = self.planners[service] = FormationPlanner(engine)
        return planner

    def spawn(self, work):
        """Run `work` as a task of this tenure."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def begin_formation(self, engine, action):
        """Form a replica."""
        key = self._next_key(action.model)
        self.memory.busy |= {e.id for e in action.members}
        self.memory.own.add(key)
        self._note_loads(action.loads)
        self.spawn(self._form(engine, action, key))

    def begin_standby(self, action):
        """Join a spare to a replica of its own that is never opened."""
        if action.endpoint.id in self.memory.warming:
            return
        key = self._next_key(action.model)
        self.memory.warming.add(action.endpoint.id)
        self.memory.released.add(key)
        self.spawn(self._warm(action, key))

    def begin_staging(self, engine, action):
        """Load a model onto a host."""
        self.memory.staging[action.endpoint.id] = action.model
        self._note_loads(1)
        self.spawn(self._stage(engine, action))

    def begin_dissolving(self, action):
        """Take a replica apart."""
        key = (action.replica.name, action.replica.generation)
        tried_ms = self.memory.dissolved_ms.get(key)
        if tried_ms is not None and self.clock.now_ms() - tried_ms < DISSOLVE_PAUSE_MS:
            return
        self.memory.dissolving.add(key)
        self.spawn(self._dissolve(action, key))

    def _next_key(self, model):
        self.number += 1
        name = replica_name(model, self.tenure, self.number)
        return (name, self.tenure * GENERATIONS_PER_TENURE + self.number)

    def _note_loads(self, count):
        self.memory.loads += count
        self.memory.load_starts += [self.clock.now_ms()] * count

    def _task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.decisions.record("keeper_task_failed", reason=repr(task.exception()))
        self.directory.changed.set()

    async def _form(self, engine, action, key):
        memory = self.memory
        ids = [e.id for e in action.members]
        loads = action.loads
        started_ms = self.clock.now_ms()
        opened = open_sent = False
        self.decisions.record("replica_forming", replica=key[0], members=ids, loads=loads)
        try:
            if await self._join_all(action, key):
                bound_ms = self._ready_bound_ms(engine, action)
                if await self._wait_states(ids, key, ReplicaState.READY, bound_ms):
                    memory.loads, loads = memory.loads - loads, 0
                    open_sent = True
                    opened = await self._open(ids, key)
                    if opened:
                        self._note_opened(ids[0], key)
        finally:
            memory.loads -= loads
            memory.busy -= set(ids)
            memory.own.discard(key)
            # Nobody but this task could open it: unless it tried, the members are free.
            if not open_sent:
                memory.released.add(key)
            took_ms = round(self.clock.now_ms() - started_ms)
            self.decisions.record("replica_formed", replica=key[0], opened=opened, took_ms=took_ms)

    def _note_opened(self, head_id, key):
        head = self.directory.get(head_id)
        if head is not None:
            self.opened[head_id] = OpenedHead(*key, head.started_ms, self.clock.now_ms())

    def _ready_bound_ms(self, engine, action):
        model = engine.model(action.model)
        load_ms = (model.load_s if action.loads else model.staged_load_s) * MS_PER_S
        return load_ms * max(1.0, self.memory.loads / engine.max_concurrent_loads) + READY_SLACK_MS

    async def _still_free(self, endpoints):
        """Ask endpoints whether they are in no replica that may serve; entries may be old."""
        reports = await self.sender.probe(endpoints)
        members = [report and report.membership for report in reports.values()]
        return all(reports.values()) and all(
            m is None or (m.replica, m.generation) in self.memory.released for m in members
        )

    async def _join_all(self, action, key):
        ids = [e.id for e in action.members]
        if not await self._still_free(action.members):
            return False

        async def join(endpoint):
            return await self.sender.send(
                "join",
                endpoint,
                key[0],
                lambda: self.orders.join(endpoint, *key, action.model, ids),
            )

        results = await asyncio.gather(*(join(e) for e in action.members))
        for endpoint, result in zip(action.members, results, strict=True):
            if result is OrderResult.UNKNOWN:
                self.sender.mark_dead(endpoint.id)
        return all(result in ACCEPTED for result in results)

    async def _open(self, ids, key):
        head = self.directory.get(ids[0])
        if head is None:
            return False
        result = await self.sender.send("open", head, key[0], lambda: self.orders.open(head, *key))
        if result not in (*ACCEPTED, OrderResult.UNKNOWN):
            return False
        return await self._wait_states(ids[:1], key, ReplicaState.OPEN, OPEN_TOLD_MS)

    async def _wait_states(self, ids, key, state, bound_ms):
        """Wait until all endpoints say that they are in `state` of replica `key`."""
        begun_ms = asked_ms = self.clock.now_ms()
        while True:
            endpoints = [self.directory.get(i) for i in ids]
            if any(e is None or e.leaving or e.id in self.sender.dead for e in endpoints):
                return False
            members = [e.membership for e in endpoints]
            named = all(m is not None and (m.replica, m.generation) == key for m in members)
            if named and all(m.state is state for m in members):
                return True
            now = self.clock.now_ms()
            if now - begun_ms > bound_ms:
                return False
            if now - asked_ms > MS_PER_S:
                asked_ms = now
                await self.sender.probe(endpoints)
            await asyncio.sleep(POLL_MS / MS_PER_S)

    async def _warm(self, action, key):
        endpoint = action.endpoint
        try:
            if not await self._still_free([endpoint]):
                return
            await self.sender.send(
                "standby",
                endpoint,
                key[0],
                lambda: self.orders.join(endpoint, *key, action.model, [endpoint.id]),
            )
            await asyncio.sleep(STANDBY_MS / MS_PER_S)
        finally:
            self.memory.warming.discard(endpoint.id)

    async def _stage(self, engine, action):
        memory, endpoint, model = self.memory, action.endpoint, action.model
        self.decisions.record("vm_staging", endpoint=endpoint.id, model=model)
        try:
            result = await self.sender.send(
                "stage", endpoint, model, lambda: self.orders.stage(endpoint, model)
            )
            if result is OrderResult.UNKNOWN:
                self.sender.mark_dead(endpoint.id)
            if result is OrderResult.UNFIT:
                # It may still carry out an earlier holder's order; asked at once again, it
                # would refuse some fifty times a second.
                self.memory.held[endpoint.id] = self.clock.now_ms() + UNFIT_PAUSE_MS
            if result is OrderResult.DONE:
                await self.sender.probe([endpoint])
            if result is not OrderResult.BEGUN:
                return
            load_ms = engine.model(model).load_s * MS_PER_S
            factor = max(1.0, memory.loads / engine.max_concurrent_loads)
            bound_ms = self.clock.now_ms() + load_ms * factor + READY_SLACK_MS
            while self.clock.now_ms() < bound_ms:
                current = self.directory.get(endpoint.id)
                if current is None or model in current.staged:
                    return
                await asyncio.sleep(2 * POLL_MS / MS_PER_S)
        finally:
            memory.loads -= 1
            memory.staging.pop(endpoint.id, None)

    async def _dissolve(self, action, key):
        replica, memory = action.replica, self.memory
        self.decisions.record(
            "replica_dissolving",
            replica=replica.name,
            reason=action.reason,
            members=[e.id for e in replica.members.values()],
        )
        try:
            if action.graceful:
                await self._close_gracefully(replica.head, key)
            if replica.state is ReplicaState.BROKEN or await self._head_left(replica, key):
                memory.released.add(key)
            else:
                await self._abandon_head(replica, key)
        finally:
            memory.dissolving.discard(key)
            memory.dissolved_ms[key] = self.clock.now_ms()

    async def _head_left(self, replica, key):
        head = replica.head
        if head is None or head.id in self.sender.dead:
            return False
        return await self.sender.leave(head, key)

    async def _close_gracefully(self, head, key):
        result = await self.sender.send(
            "close", head, key[0], lambda: self.orders.close(head, *key, False)
        )
        if result in ACCEPTED:
            await self._wait_states([head.id], key, ReplicaState.READY, CLOSE_WAIT_MS)

    async def _abandon_head(self, replica, key):
        """Take the members from a head that can't be reached.

        Without them the head stands still, and declares itself broken after the stall
        bound. A member is free only when it has left and that time is over.
        """
        members = [
            e for rank, e in replica.members.items() if rank != 0 and e.id not in self.sender.dead
        ]
        # Held before it is told to leave: its own word that it has left may come first.
        self._hold(members)
        await asyncio.gather(*(self.sender.leave(e, key) for e in members))
        self._hold(members)
        self.note_standstill(key)

    def note_standstill(self, key):
        """Note that a replica lacks members from now on, and will break."""
        until = self.clock.now_ms() + self.settings.stall_ms + STALL_SLACK_MS
        self.memory.ended_ms.setdefault(key, until)

    def _hold(self, endpoints):
        until = self.clock.now_ms() + self.settings.stall_ms + STALL_SLACK_MS
        for endpoint in endpoints:
            self.memory.held[endpoint.id] = until
