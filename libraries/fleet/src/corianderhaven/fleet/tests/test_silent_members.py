"""Tests of replicas of which a member, not the head, responds to nothing for a while."""

import asyncio

import pytest

from corianderhaven.fleet.tests.memory_fleet import MemoryFleet
from corianderhaven.fleet.tests.test_keeper_model import stage_all
from corianderhaven.standins import run_in_virtual_time

DETECTION_S = 0.25  # from the silence until daemons report the streams of its head as silent


def open_heads(fleet, model):
    return [
        engine
        for engine in fleet.hosted.engines.values()
        if fleet.hosted.accepts_requests(engine) and engine.group.model == model
    ]


def make_fleet(clock, engines, model="small", **fields):
    """Return a fleet of one fabric domain, in which all weights are staged."""
    fleet = MemoryFleet(clock, 1, domains=1, per_domain=engines, **fields)
    for engine in fleet.hosted.engines.values():
        engine.staged = [model]
    return fleet


async def silence_member(fleet, head, rank=1):
    """Have a member stand still, of which daemons tell the keeper; return the member."""
    member = fleet.hosted.engines[head.group.members[rank]]
    member.paused = True
    await asyncio.sleep(DETECTION_S)
    fleet.lease_holder().suspect(head.id, "streams silent")
    return member


async def wait_open(clock, fleet, model, count, timeout_s=30.0):
    """Return the seconds until a number of replicas serve."""
    started_ms = clock.now_ms()
    async with asyncio.timeout(timeout_s):
        while fleet.open_replicas(model) < count:
            await asyncio.sleep(0.01)
    return (clock.now_ms() - started_ms) / 1000.0


@pytest.mark.parametrize("silence_s", [0.5, 0.8, 1.3, 2.5, 3.8])
@pytest.mark.parametrize(("model", "size"), [("small", 2), ("large", 4)])
def test_head_keeps_its_requests_while_a_member_only_stands_still(model, size, silence_s):
    """Guards against LOST: a sound head had to leave as another member paused for a second."""

    async def simulate(clock):
        fleet = make_fleet(clock, 2 * size, model)
        await asyncio.sleep(8)
        head = open_heads(fleet, model)[0]
        key = head.group.key
        with fleet.hosted.accept(head):
            member = await silence_member(fleet, head)
            await asyncio.sleep(silence_s - DETECTION_S)
            member.paused = False
            await asyncio.sleep(5)
            assert fleet.hosted.cuts == []
            assert head.group is not None
            assert head.group.key == key
            assert fleet.hosted.accepts_requests(head)
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


@pytest.mark.parametrize(("model", "size"), [("small", 2), ("large", 4)])
def test_lost_member_is_replaced_by_a_spare_as_soon_as_it_is_found_silent(model, size):
    async def simulate(clock):
        fleet = make_fleet(clock, 2 * size + 1, model)
        await asyncio.sleep(8)
        head = open_heads(fleet, model)[0]
        await silence_member(fleet, head)
        await asyncio.sleep(0.1)
        took_s = await wait_open(clock, fleet, model, 2)
        assert took_s < 1.5
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_survivors_of_two_losses_form_a_replica_without_waiting_for_their_heads_to_break():
    async def simulate(clock):
        fleet = make_fleet(clock, 4)
        await asyncio.sleep(8)
        lost = [await silence_member(fleet, head) for head in open_heads(fleet, "small")]
        assert len(lost) == 2
        await asyncio.sleep(0.2)
        assert await wait_open(clock, fleet, "small", 1) < 1.5
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_member_that_has_restarted_is_in_a_replica_again_at_once():
    """Its own entry shows that it is in no replica any more, so there is nothing to wait for."""

    async def simulate(clock):
        fleet = make_fleet(clock, 2)
        await asyncio.sleep(8)
        (head,) = open_heads(fleet, "small")
        member = await silence_member(fleet, head)
        await asyncio.sleep(1.5)
        member.paused = False
        fleet.hosted.restart(member.id)
        await asyncio.sleep(0.1)
        # A probe takes 0.4 s at most, the load from the host 1.1 s, to open a replica 0.3 s.
        assert await wait_open(clock, fleet, "small", 1) < 1.8
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_probe_that_fails_after_a_later_one_was_answered_tells_nothing():
    """Guards against a delay: a probe from before a restart made the member silent again."""

    async def simulate(clock):
        fleet = make_fleet(clock, 2)
        await asyncio.sleep(8)
        sender, (head,) = fleet.lease_holder().sender, open_heads(fleet, "small")
        member = await silence_member(fleet, head)
        await asyncio.sleep(0.5)
        assert member.id in sender.unresponsive
        early = asyncio.create_task(sender.probe([sender.directory.get(member.id)]))
        await asyncio.sleep(0.2)
        member.paused = False
        await sender.probe([sender.directory.get(member.id)])
        assert (await early)[member.id] is None
        assert member.id not in sender.unresponsive
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_spare_that_comes_while_a_member_is_silent_takes_its_place():
    async def simulate(clock):
        fleet = make_fleet(clock, 2)
        await asyncio.sleep(8)
        (head,) = open_heads(fleet, "small")
        await silence_member(fleet, head)
        await asyncio.sleep(1.5)
        fleet.add_engine(50, "d0", staged=("small",))
        await asyncio.sleep(0.1)
        # The join of a VM that never served takes 1.1 s, its load from the host.
        assert await wait_open(clock, fleet, "small", 1) < 2.0
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_members_of_a_replica_whose_member_stays_silent_are_free_once_its_head_has_broken():
    async def simulate(clock):
        fleet = make_fleet(clock, 2)
        await asyncio.sleep(8)
        (head,) = open_heads(fleet, "small")
        await silence_member(fleet, head)
        await asyncio.sleep(fleet.hosted.stall_ms / 1000.0 + 2.0)
        assert not fleet.hosted.is_working(head)
        fleet.add_engine(50, "d0", staged=("small",))
        await asyncio.sleep(0.1)
        assert await wait_open(clock, fleet, "small", 1) < 2.0
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_fleet_recovers_from_pauses_of_members_of_all_replicas():
    async def simulate(clock):
        fleet = MemoryFleet(clock, 1)
        stage_all(fleet)
        await asyncio.sleep(8)
        before = fleet.open_replicas()
        heads = [e for e in fleet.hosted.engines.values() if fleet.hosted.accepts_requests(e)]
        members = [await silence_member(fleet, head) for head in heads]
        await asyncio.sleep(1.0)
        for member in members:
            member.paused = False
        await asyncio.sleep(4.0)
        return before - fleet.open_replicas(), fleet.hosted.violations

    assert run_in_virtual_time(simulate) == (0, [])
