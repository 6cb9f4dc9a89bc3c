"""TWO: orders of a former keeper, carried out late, open a head that its successor thinks free."""

import asyncio
import signal

import msgspec
from engines import EngineSite, model
from harness import (
    BROKEN,
    HELD,
    MACHINES,
    TROUBLE,
    CannotRunError,
    Daemon,
    all_ready,
    run_case,
    wait_for,
)

LATE_S = 5.5  # applied_late: an order that isn't answered is carried out so much later
LATE_OPERATIONS = ("join", "open")  # the first of each to the head of the first group
WORKERS = 8  # one of them is emptied (scale_in, share = 0.13), one is added (scale_out, 0.25)


class LateOrders(EngineSite):
    """The head of the first group leaves its first join and its first open unanswered."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.late = set()
        self.first_group = None
        self.orders = []  # (time, operation, group, engine, source address, status)
        self.tasks_late = []

    def apply(self, engine, body, source, how):
        """Carry out an order; return the status of its answer."""
        before = len(self.engines.violations)
        status = self.engines.order(engine, body)
        group = body.get("group", "")
        self.orders.append((self.record.now(), body["operation"], group, engine.id, source, status))
        self.record.note(
            f"order {body['operation']} {group} from {source} {how} at {engine.id}: {status}, "
            f"group now {engine.group and engine.group.name} {self.engines.state(engine)}"
        )
        for violation in self.engines.violations[before:]:
            self.record.say(violation)
        return status

    async def _answer_worker(self, worker, request, caller):
        engine = worker.engine
        is_order = request.target == b"/api/order" and engine is not None and engine.alive
        if not is_order or not self._is_meant(worker, request):
            await super()._answer_worker(worker, request, caller)
            return
        body = msgspec.json.decode(request.body)
        source = caller.transport.get_extra_info("peername")[0]
        operation = body["operation"]
        is_head = operation == "open" or body.get("members", [""])[0] == engine.id
        if operation == "join" and is_head and self.first_group is None:
            self.first_group = body["group"]
        is_head = is_head and body.get("group") == self.first_group
        if TROUBLE and is_head and operation in LATE_OPERATIONS and operation not in self.late:
            self.late.add(operation)
            self.record.note(f"order {operation} {body['group']} at {engine.id} isn't answered")
            self.tasks_late.append(asyncio.create_task(self._apply_late(engine, body, source)))
            await asyncio.sleep(LATE_S)
            return
        status = self.apply(engine, body, source, "carried out")
        await caller.send_response(status, self._statements(worker), b"")

    async def _apply_late(self, engine, body, source):
        await asyncio.sleep(LATE_S)
        self.apply(engine, body, source, "carried out late")


def open_heads(site):
    """Return the engines that head open groups, by the names of the groups."""
    engines = site.engines.engines.values()
    return {e.group.name: e for e in engines if site.engines.state(e) == "open"}


async def case(record, folder, daemons):
    """Bring the case about; return its code."""
    site = LateOrders(record, ["sofia-a"], WORKERS, [model("m1", 2, 12, 1.1, 1.0)], 40.0)
    await site.start()
    for name, zone, ip in MACHINES:
        store = site.store_server.address
        daemons.append(Daemon(folder, name, zone, ip, store, record, stall_ms=400))
        daemons[-1].start()
    await wait_for(lambda: all_ready(daemons), 20, "all machines are ready")
    groups = WORKERS // 2
    await wait_for(lambda: len(open_heads(site)) == groups, 20, "all groups are open")
    first_groups = set(open_heads(site))
    head = open_heads(site)[site.first_group]
    group = head.group
    began = min(o[0] for o in site.orders)
    first_orders = len(site.orders) + len(site.late)
    record.say(f"{len(site.late)} of the first {first_orders} orders weren't answered")
    record.say(f"{group.name} is open at {head.id}, members {', '.join(group.members)}")

    # Planned: the keeper's machine is stopped, then a member of the group is emptied.
    keeper_ip = site.orders[-1][4]
    keeper = next(d for d in daemons if d.ip == keeper_ip)
    await asyncio.sleep(1.0)  # the store has the entries of the open group
    keeper.signal(signal.SIGTERM)
    await asyncio.sleep(0.6)
    member = site.workers[group.members[1]]
    member.leaving = True
    record.say(f"{keeper.name} had a SIGTERM, {member.id} reports draining")
    await wait_for(lambda: head.group is None, 10, "the head has left its group")
    others = {o[4] for o in site.orders if o[1] == "leave"}
    record.say(f"{head.id} has left {group.name} by an order of {', '.join(others)}")
    if record.now() > began + LATE_S:
        raise CannotRunError("the group was not dissolved before the late orders")
    await asyncio.sleep(began + LATE_S + 3.0 - record.now())
    record.say(f"{head.id} is {site.engines.state(head)} in {head.group and head.group.name}")
    site.kill(member.id, 100.0)  # it has been emptied and ends

    # Planned: an empty worker is added, with which the head's VM can form a replica again.
    await site.add_engine("sofia-a", "added")
    record.say("an empty worker was added")
    deadline = record.now() + 25.0
    while record.now() < deadline and not site.engines.violations:
        if set(open_heads(site)) - first_groups:
            break
        await asyncio.sleep(0.1)
    two = [v for v in site.engines.violations if v.startswith("TWO")]
    formed = [e.group.name for e in site.engines.engines.values() if e.group]
    record.say(f"groups at the end: {', '.join(formed)}; violations of TWO: {len(two)}")
    return BROKEN if two else HELD


run_case(case, __file__)
