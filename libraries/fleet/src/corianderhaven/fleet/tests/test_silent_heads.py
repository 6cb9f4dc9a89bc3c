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
