"""Tests of replicas whose head responds to nothing for a while."""

import asyncio

import pytest

from corianderhaven.fleet.tests.memory_fleet import MemoryFleet
from corianderhaven.fleet.tests.test_keeper_model import stage_all
from corianderhaven.standins import run_in_virtual_time

SUSPECTED_AFTER_S = 0.25


async def silence_heads(fleet, count, silence_s):
    """Make heads unresponsive, of which daemons tell the keeper; return heads and their groups."""
    heads = [e for e in fleet.hosted.engines.values() if fleet.hosted.accepts_requests(e)][:count]
    groups = {head.id: head.group.key for head in heads}
    for head in heads:
        head.unreachable = True
    await asyncio.sleep(SUSPECTED_AFTER_S)
    for head in heads:
        fleet.lease_holder().suspect(head.id, "streams silent")
    await asyncio.sleep(silence_s - SUSPECTED_AFTER_S)
    for head in heads:
        head.unreachable = False
    return heads, groups


@pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.3])
@pytest.mark.parametrize("count", [1, 3])
def test_replicas_whose_heads_stood_still_for_a_second_stay_whole(count, silence_s):
    """Guards against streams that sound heads broke off, as the keeper had taken their members."""

    async def simulate(clock):
        fleet = MemoryFleet(clock, 1)
        stage_all(fleet)
        await asyncio.sleep(8)
        heads, groups = await silence_heads(fleet, count, silence_s)
        await asyncio.sleep(3)
        assert len(heads) == count
        assert {head.id: head.group and head.group.key for head in heads} == groups
        for head in heads:
            members = [fleet.hosted.engines[i] for i in head.group.members]
            assert all(m.group is not None and m.group.key == groups[head.id] for m in members)
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_replica_whose_head_stays_silent_is_dissolved():
    async def simulate(clock):
        fleet = MemoryFleet(clock, 1)
        stage_all(fleet)
        await asyncio.sleep(8)
        heads, groups = await silence_heads(fleet, 1, 3.0)
        members = [fleet.hosted.engines[i] for i in groups[heads[0].id][2][1:]]
        assert members
        assert all(m.group is None or m.group.key != groups[heads[0].id] for m in members)
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


@pytest.mark.parametrize("silence_s", [0.7, 1.3, 2.0])
@pytest.mark.parametrize("model", ["large", "small"])
def test_replica_whose_members_all_stood_still_stays_whole(model, silence_s):
    """Guards against a dissolution as some responded again before others were asked once more."""

    async def simulate(clock):
        fleet = MemoryFleet(clock, 1)
        stage_all(fleet)
        await asyncio.sleep(8)
        head = next(
            e
            for e in fleet.hosted.engines.values()
            if fleet.hosted.accepts_requests(e) and e.group.model == model
        )
        key = head.group.key
        members = [fleet.hosted.engines[i] for i in head.group.members]
        for member in members:
            member.unreachable = True
        await asyncio.sleep(SUSPECTED_AFTER_S)
        fleet.lease_holder().suspect(head.id, "streams silent")
        await asyncio.sleep(silence_s - SUSPECTED_AFTER_S)
        for member in members[1:]:  # an order to it has got no answer either
            fleet.lease_holder().sender.mark_unresponsive(member.id)
        for member in members:
            member.unreachable = False
        await asyncio.sleep(4)
        assert [m.group and m.group.key for m in members] == [key] * len(members)
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_silence_of_a_former_tenure_does_not_count():
    """Guards against a dissolution at once, as an earlier silence had never been forgotten."""

    async def simulate(clock):
        fleet = MemoryFleet(clock, 1)
        stage_all(fleet)
        await asyncio.sleep(8)
        holder = fleet.lease_holder()
        (head,) = [e for e in fleet.hosted.engines.values() if fleet.hosted.accepts_requests(e)][:1]
        holder.sender.mark_unresponsive(head.id)
        holder.replica_tasks.tenure -= 1
        await asyncio.sleep(5)
        key, head.unreachable = head.group.key, True
        await asyncio.sleep(SUSPECTED_AFTER_S)
        holder.suspect(head.id, "streams silent")
        await asyncio.sleep(0.75)
        head.unreachable = False
        await asyncio.sleep(3)
        assert head.group is not None
        assert head.group.key == key
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []
