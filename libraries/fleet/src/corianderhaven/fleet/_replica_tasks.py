"""Tasks that form replicas, stage weights and prepare standby members."""

import asyncio
import functools
from dataclasses import dataclass

from corianderhaven.common import MS_PER_S

from ._formation import FormationPlanner
from ._interfaces import OrderResult
from ._keeper_state import KeeperState
from ._membership_order import REPORT_LAG_MS
from ._order_sender import ACCEPTED, GENERATIONS_PER_TENURE
from ._replica_dissolver import ReplicaDissolver
from ._replicas import model_of, replica_name
from ._types import Membership, ReplicaState

# A model whose VMs were loaded anew may get none back, as those of others aren't taken for it.
RETENTION_MS = 60_000.0  # of the VMs of a dropped model; a mistake is taken back by then
OPEN_REPORT_TIMEOUT_MS = 3_000.0  # time for the head to report that it is open
READY_MARGIN_MS = 4_000.0  # added to the expected duration of a load
STANDBY_RETRY_MS = 3_000.0  # until the order to a spare that isn't ready is repeated
UNFIT_RETRY_MS = 1_000.0  # a sixteenth of the longest load time
POLL_INTERVAL_MS = 40.0  # a fifth of the shortest join time
JOIN_ATTEMPTS = 8  # of a join that its endpoint refuses; reports lag by some hundred ms
LEAVE_ATTEMPTS = 5  # to make an endpoint leave before it may join
LEAVE_CHECK_MS = 10.0  # from such a leave to the next report


@dataclass(frozen=True)
class OpenedHead:
    """Replica that was opened, with the incarnation of its head."""

    replica: str
    generation: int
    started_ms: int
    opened_ms: float


class ReplicaTasks:
    """Tasks of one tenure of the keeper.

    Parameters
    ----------
    tenure : int
        Revision at which the lease was won; part of replica names and generations.
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
        self.keeper_state = KeeperState()
        self.planners = {}
        self.retired_ms = {}
        self.opened = {}
        self.dissolver = ReplicaDissolver(
            sender, directory, settings, clock, decisions, self.keeper_state, self.spawn
        )
        self.formation_count = 0
        self.tasks = set()

    def close(self):
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()

    def planner(self, service, engine):
        """Return the planner of a service; a changed `EngineSpec` gets a new planner."""
        planner = self.planners.get(service)
        if planner is None or planner.engine != engine:
            planner = self.planners[service] = FormationPlanner(engine)
        return planner

    def retained_models(self, service, engine, vms):
        """Return the models that the configuration has dropped lately, and whose VMs are kept."""
        now = self.clock.now_ms()
        held = {n for vm in vms for n in vm.endpoint.staged if engine.model(n) is None}
        before = self.retired_ms.get(service, {})
        retired = self.retired_ms[service] = {name: before.get(name, now) for name in held}
        return {name for name, since_ms in retired.items() if now - since_ms < RETENTION_MS}

    def spawn(self, coroutine):
        """Run `coroutine` as a task of this tenure."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def begin_formation(self, engine, action):
        """Start to form a replica."""
        key = self._next_key(action.model)
        self.keeper_state.forming_members |= {e.id for e in action.members}
        self.keeper_state.forming.add(key)
        self._record_loads(action.loads)
        self.spawn(self._form(engine, action, key))

    def begin_standby(self, action):
        """Start to join a spare to a replica of its own that is never opened."""
        if action.endpoint.id in self.keeper_state.warming:
            return
        key = self._next_key(action.model)
        self.keeper_state.warming.add(action.endpoint.id)
        self.keeper_state.released.add(key)
        self.keeper_state.never_opened.add(key)
        self.spawn(self._prepare_standby(action, key))

    def begin_staging(self, engine, action):
        """Start to load a model onto a host."""
        self.keeper_state.staging[action.endpoint.id] = action.model
        self._record_loads(1)
        self.spawn(self._stage(engine, action))

    def begin_dissolving(self, action):
        """Start to dissolve a replica, unless that was attempted just before."""
        if self.dissolver.begin(action):
            self.spawn(self.dissolver.dissolve(action))

    def _next_key(self, model):
        self.formation_count += 1
        name = replica_name(model, self.tenure, self.formation_count)
        return (name, self.tenure * GENERATIONS_PER_TENURE + self.formation_count)

    def _record_loads(self, count):
        self.keeper_state.active_loads += count
        self.keeper_state.load_starts_ms += [self.clock.now_ms()] * count

    def _task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.decisions.record("keeper_task_failed", reason=repr(task.exception()))
        self.directory.changed.set()

    async def _form(self, engine, action, key):
        keeper_state = self.keeper_state
        ids = [e.id for e in action.members]
        loads = action.loads
        started_ms = self.clock.now_ms()
        opened = open_sent = False
        self.decisions.record("replica_forming", replica=key[0], members=ids, loads=loads)
        try:
            if await self._join_all(action, key):
                timeout_ms = self._ready_timeout_ms(engine, action)
                if await self._wait_states(ids, key, ReplicaState.READY, timeout_ms):
                    keeper_state.active_loads, loads = keeper_state.active_loads - loads, 0
                    open_sent = True
                    opened = await self._open(ids, key)
                    if opened:
                        self._record_opened(ids[0], key)
        finally:
            keeper_state.active_loads -= loads
            keeper_state.forming_members -= set(ids)
            keeper_state.forming.discard(key)
            # Only this task opens the replica: if it never sent the order, the members are free.
            if not open_sent:
                keeper_state.released.add(key)
                keeper_state.never_opened.add(key)
            took_ms = round(self.clock.now_ms() - started_ms)
            self.decisions.record("replica_formed", replica=key[0], opened=opened, took_ms=took_ms)

    def _record_opened(self, head_id, key):
        head = self.directory.get(head_id)
        if head is not None:
            self.opened[head_id] = OpenedHead(*key, head.started_ms, self.clock.now_ms())

    def _ready_timeout_ms(self, engine, action):
        model = engine.model(action.model)
        load_ms = (model.load_s if action.loads else model.staged_load_s) * MS_PER_S
        return (
            load_ms * max(1.0, self.keeper_state.active_loads / engine.max_concurrent_loads)
            + READY_MARGIN_MS
        )

    async def _report_free(self, endpoints):
        """Return reports, by id, in which all endpoints may join a replica, or None.

        What an endpoint reports decides: one in a released replica may have entered it again, and
        has to leave first.
        """
        for _ in range(LEAVE_ATTEMPTS):
            reports = await self.sender.probe(endpoints)
            if not all(reports.values()):
                return None
            reports = {i: self.directory.newest_report(i, r) for i, r in reports.items()}
            for endpoint_id, report in reports.items():
                self.dissolver.observe_head(endpoint_id, report.membership)
            if any(not self._is_released(report) for report in reports.values()):
                return None
            members = [e for e in endpoints if not self._may_join(reports[e.id])]
            if not members:
                return reports
            left = await asyncio.gather(*(self._leave(e, reports[e.id]) for e in members))
            if not all(left):
                return None
            await asyncio.sleep(LEAVE_CHECK_MS / MS_PER_S)
        return None

    def _is_released(self, report):
        member = report.membership
        return member is None or (member.replica, member.generation) in self.keeper_state.released

    def _may_join(self, report):
        """Return whether an engine may join a replica if it accepts no order after its report.

        A head that is ready may have accepted the order to open, and opens without a further one.
        """
        member = report.membership
        if member is None:
            return True
        key = (member.replica, member.generation)
        if key in self.keeper_state.never_opened:
            return True
        return key in self.keeper_state.released and member.state is ReplicaState.BROKEN

    async def _leave(self, endpoint, report):
        member = report.membership
        self.decisions.record(
            "member_in_released_replica",
            replica=member.replica,
            endpoint=endpoint.id,
            state=str(member.state),
        )
        return await self.sender.leave(endpoint, (member.replica, member.generation))

    async def _join_all(self, action, key):
        ids = [e.id for e in action.members]
        reports = await self._report_free(action.members)
        if reports is None:
            return False
        results = await asyncio.gather(
            *(self._join("join", e, key, ids, reports[e.id]) for e in action.members)
        )
        for endpoint, result in zip(action.members, results, strict=True):
            if result is OrderResult.UNKNOWN:
                self.sender.mark_unresponsive(endpoint.id)
        return all(result in ACCEPTED for result in results)

    async def _join(self, operation, endpoint, key, ids, report):
        """Order an endpoint to join, provided that it has accepted no order since `report`.

        Otherwise a late order could bring it into another replica in between.
        """
        joined = Membership(*key, ids.index(endpoint.id), ReplicaState.JOINING)
        for _ in range(JOIN_ATTEMPTS):
            send_join = functools.partial(self._send_join, endpoint, key, ids, report.order_count)
            result = await self.sender.send(
                operation, endpoint, key[0], send_join, lambda _: joined
            )
            if result is not OrderResult.UNFIT or report.order_count is None:
                return result
            # It accepted an order since, perhaps this one, whose answer was lost.
            await asyncio.sleep(2 * POLL_INTERVAL_MS / MS_PER_S)
            report = (await self.sender.probe([endpoint]))[endpoint.id]
            if report is None:
                return OrderResult.UNKNOWN
            report = self.directory.newest_report(endpoint.id, report)
            member = report.membership
            if member is not None and (member.replica, member.generation) == key:
                return OrderResult.DONE
            if not self._may_join(report):
                return OrderResult.UNFIT
        return OrderResult.UNFIT

    async def _send_join(self, endpoint, key, ids, order_count):
        model = model_of(key[0])
        result = await self.orders.join(endpoint, *key, model, ids, order_count)
        if result is OrderResult.UNKNOWN and endpoint.id == ids[0]:
            self.keeper_state.join_unanswered.add(key)
        return result

    async def _open(self, ids, key):
        head = self.directory.get(ids[0])
        if head is None:
            return False

        async def send_open():
            result = await self.orders.open(head, *key)
            if result is OrderResult.UNKNOWN:
                self.keeper_state.open_unanswered.add(key)
            return result

        opened = Membership(*key, 0, ReplicaState.OPEN)
        result = await self.sender.send("open", head, key[0], send_open, lambda _: opened)
        if result not in (*ACCEPTED, OrderResult.UNKNOWN):
            return False
        return await self._wait_states(ids[:1], key, ReplicaState.OPEN, OPEN_REPORT_TIMEOUT_MS)

    async def _wait_states(self, ids, key, state, timeout_ms):
        """Wait until all endpoints report `state` as members of replica `key`."""
        begun_ms = last_probe_ms = self.clock.now_ms()
        while True:
            endpoints = [self.directory.get(i) for i in ids]
            if any(e is None or e.leaving or e.id in self.sender.unresponsive for e in endpoints):
                return False
            members = [e.membership for e in endpoints]
            all_in_replica = all(
                m is not None and (m.replica, m.generation) == key for m in members
            )
            if all_in_replica and all(m.state is state for m in members):
                return True
            now = self.clock.now_ms()
            if now - begun_ms > timeout_ms:
                return False
            if now - last_probe_ms > MS_PER_S:
                last_probe_ms = now
                await self.sender.probe(endpoints)
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)

    async def _prepare_standby(self, action, key):
        endpoint = action.endpoint
        try:
            reports = await self._report_free([endpoint])
            if reports is None:
                return
            await self._join("standby", endpoint, key, [endpoint.id], reports[endpoint.id])
            await asyncio.sleep(STANDBY_RETRY_MS / MS_PER_S)
        finally:
            self.keeper_state.warming.discard(endpoint.id)

    async def _stage(self, engine, action):
        keeper_state, endpoint, model = self.keeper_state, action.endpoint, action.model
        self.decisions.record("vm_staging", endpoint=endpoint.id, model=model)
        try:
            result = await self.sender.send(
                "stage", endpoint, model, lambda: self.orders.stage(endpoint, model)
            )
            if result is OrderResult.UNKNOWN:
                self.sender.mark_unresponsive(endpoint.id)
            if result is OrderResult.UNFIT:
                # It may still be executing an order of an earlier holder. Without the delay it
                # would refuse about fifty orders per second.
                self.keeper_state.held_until_ms[endpoint.id] = self.clock.now_ms() + UNFIT_RETRY_MS
            if result is OrderResult.DONE:
                await self.sender.probe([endpoint])
            if result not in ACCEPTED:
                return
            load_ms = engine.model(model).load_s * MS_PER_S
            factor = max(1.0, keeper_state.active_loads / engine.max_concurrent_loads)
            # Reports may lag behind an engine that has the weights already.
            wait_ms = load_ms * factor + READY_MARGIN_MS
            if result is OrderResult.DONE:
                wait_ms = REPORT_LAG_MS
            deadline_ms = self.clock.now_ms() + wait_ms
            while self.clock.now_ms() < deadline_ms:
                current = self.directory.get(endpoint.id)
                if current is None or model in current.staged:
                    return
                await asyncio.sleep(2 * POLL_INTERVAL_MS / MS_PER_S)
        finally:
            keeper_state.active_loads -= 1
            keeper_state.staging.pop(endpoint.id, None)
