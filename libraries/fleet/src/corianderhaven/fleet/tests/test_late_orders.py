"""Tests of joins while orders of former keepers are carried out late."""

import asyncio

from corianderhaven.fleet import OrderResult
from corianderhaven.fleet.tests.memory_fleet import MemoryFleet
from corianderhaven.fleet.tests.test_keeper_model import replace_keeper
from corianderhaven.standins import run_in_virtual_time


def small_fleet(clock, size=8):
    fleet = MemoryFleet(clock, domains=1, per_domain=size)
    for engine in fleet.hosted.engines.values():
        engine.staged = ["small"]
    return fleet


def open_head(fleet):
    return next(e for e in fleet.hosted.engines.values() if fleet.hosted.accepts_requests(e))


def late_orders(group):
    """Return the join and the open of a replica as an earlier version sends them."""
    orders = {"group": group.name, "epoch": group.epoch}
    join = {"operation": "join", "model": "small", "members": group.members, **orders}
    return join, {"operation": "open", **orders}


async def carry_out_late(fleet, head, group):
    """Have a head that has left a replica join and open it again."""
    join, open_order = late_orders(group)
    fleet.execute_late(head, join)
    await asyncio.sleep(0.3)
    fleet.execute_late(head, open_order)
    await asyncio.sleep(0.4)


def test_head_brought_back_while_announced_as_opened_joins_no_other_replica():
    """Guards against TWO: a former keeper's announcement hid that the head had left."""

    async def simulate(clock):
        fleet = small_fleet(clock)
        await asyncio.sleep(8)
        head = open_head(fleet)
        group = head.group
        replace_keeper(fleet)
        await asyncio.sleep(4)
        holder = fleet.lease_holder()
        leave = holder.orders.leave

        async def leave_and_announce(endpoint, *key):
            result = await leave(endpoint, *key)
            for directory in fleet.directories.values():
                directory.update_from_keeper(head.id, group.name, group.epoch, head.started_ms)
            return result

        holder.orders.leave = leave_and_announce
        fleet.lose_restarted(group.members[1])
        holder.suspect(head.id, "test")
        while head.group is not None:
            await asyncio.sleep(0.02)
        await carry_out_late(fleet, head, group)
        fleet.add_engine(8, "d0", staged=("small",))
        await asyncio.sleep(20)
        return fleet.open_replicas("small"), fleet.hosted.violations

    assert run_in_virtual_time(simulate) == (4, [])


def test_join_that_arrives_after_late_orders_is_refused():
    """Guards against TWO: late orders opened the head between its report and the join."""

    async def simulate(clock):
        fleet = small_fleet(clock)
        await asyncio.sleep(8)
        head = open_head(fleet)
        group = head.group
        orders = fleet.lease_holder().orders
        join, results = orders.join, []

        async def join_after_late_orders(endpoint, *order):
            if endpoint.id == head.id and not results:
                results.append(None)
                await carry_out_late(fleet, head, group)
                results[0] = await join(endpoint, *order)
                return results[0]
            return await join(endpoint, *order)

        orders.join = join_after_late_orders
        fleet.lose_restarted(group.members[1])
        fleet.lease_holder().suspect(head.id, "test")
        while head.group is not None:
            await asyncio.sleep(0.02)
        fleet.add_engine(8, "d0", staged=("small",))
        await asyncio.sleep(20)
        return results, fleet.open_replicas("small"), fleet.hosted.violations

    assert run_in_virtual_time(simulate) == ([OrderResult.UNFIT], 4, [])


def test_joins_whose_answers_are_lost_complete_their_replica():
    """A join that is sent again is refused, as the first one raised the count of orders."""

    async def simulate(clock):
        fleet = small_fleet(clock)
        fleet.report_lag_s = 0.2
        formed = set()
        for keeper in fleet.keepers.values():
            join, lost = keeper.orders.join, set()

            async def lose_first_answer(endpoint, *order, join=join, lost=lost):
                formed.add(order[0])
                result = await join(endpoint, *order)
                if endpoint.id in lost:
                    return result
                lost.add(endpoint.id)
                return OrderResult.UNKNOWN

            keeper.orders.join = lose_first_answer
        await asyncio.sleep(8)
        return fleet.open_replicas("small"), len(formed), fleet.hosted.violations

    assert run_in_virtual_time(simulate) == (4, 4, [])


def test_member_of_a_released_replica_leaves_before_it_joins_another():
    """Guards against TWO: its report was weighed against the conclusion that it had left."""

    async def simulate(clock):
        fleet = small_fleet(clock)
        await asyncio.sleep(8)
        head = open_head(fleet)
        group = head.group
        holder = fleet.lease_holder()
        state = holder.replica_tasks.keeper_state
        fleet.lose_restarted(group.members[1])
        holder.suspect(head.id, "test")
        while (group.name, group.epoch) not in state.released or head.group is not None:
            await asyncio.sleep(0.02)
        state.observe_head = lambda endpoint_id, member: None  # nothing shows that it was away
        await carry_out_late(fleet, head, group)
        returned = head.group is not None and head.group.name == group.name
        fleet.add_engine(8, "d0", staged=("small",))
        await asyncio.sleep(20)
        return returned, fleet.open_replicas("small"), fleet.hosted.violations

    assert run_in_virtual_time(simulate) == (True, 4, [])


def test_head_that_is_about_to_open_leaves_before_it_joins_another_replica():
    """Guards against TWO: it still reported that it was ready, but had accepted the open."""

    async def simulate(clock):
        fleet = small_fleet(clock)
        await asyncio.sleep(8)
        head = open_head(fleet)
        group = head.group
        holder = fleet.lease_holder()
        state, probe = holder.replica_tasks.keeper_state, holder.sender.probe
        fleet.lose_restarted(group.members[1])
        holder.suspect(head.id, "test")
        while (group.name, group.epoch) not in state.released or head.group is not None:
            await asyncio.sleep(0.02)
        state.observe_head = lambda endpoint_id, member: None  # nothing shows that it was away
        join, open_order = late_orders(group)
        fleet.execute_late(head, join)
        await asyncio.sleep(0.3)
        reported = []

        async def probe_before_opening(endpoints):
            if head.id not in [e.id for e in endpoints] or reported:
                return await probe(endpoints)
            reported.append(head.id)
            fleet.execute_late(head, open_order)
            reports = await probe(endpoints)
            await asyncio.sleep(0.4)
            return reports

        holder.sender.probe = probe_before_opening
        fleet.add_engine(8, "d0", staged=("small",))
        await asyncio.sleep(20)
        return reported, fleet.open_replicas("small"), fleet.hosted.violations

    assert run_in_virtual_time(simulate) == (["e0"], 4, [])


def test_head_whose_leaving_and_return_arrive_at_once_joins_no_other_replica():
    """Guards against TWO: the entry of a head that had left was read with those of its return."""

    async def simulate(clock):
        fleet = small_fleet(clock)
        await asyncio.sleep(8)
        head = open_head(fleet)
        group = head.group
        replace_keeper(fleet)
        await asyncio.sleep(4)
        publish, returned = fleet.publish, []

        def publish_once_returned(engine):
            if engine is not head or returned:
                publish(engine)

        fleet.publish = publish_once_returned
        fleet.lose_restarted(group.members[1])
        fleet.lease_holder().suspect(head.id, "test")
        while head.group is not None:
            await asyncio.sleep(0.02)
        join, open_order = late_orders(group)
        fleet.execute_late(head, join)
        await asyncio.sleep(0.2)
        returned.append(True)
        publish(head)
        fleet.execute_late(head, open_order)
        await asyncio.sleep(0.4)
        fleet.add_engine(8, "d0", staged=("small",))
        await asyncio.sleep(20)
        return fleet.open_replicas("small"), fleet.hosted.violations

    assert run_in_virtual_time(simulate) == (4, [])
