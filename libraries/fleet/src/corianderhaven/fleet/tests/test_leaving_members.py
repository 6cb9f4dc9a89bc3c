"""Tests of replicas of which a member leaves as planned while requests run at the head."""

import asyncio

import pytest

from corianderhaven.fleet.tests.memory_fleet import MemoryFleet
from corianderhaven.standins import run_in_virtual_time


def make_fleet(clock, engines):
    fleet = MemoryFleet(clock, 1, domains=1, per_domain=engines)
    for engine in fleet.hosted.engines.values():
        engine.staged = ["small"]
    return fleet


def open_head(fleet):
    return next(e for e in fleet.hosted.engines.values() if fleet.hosted.accepts_requests(e))


def leaver_of(fleet, head, rank):
    leaver = fleet.hosted.engines[head.group.members[rank]]
    leaver.leaving = True
    return leaver


@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("lasts_s", [0.5, 3.0, 7.0])
def test_head_finishes_its_requests_while_a_member_of_its_replica_leaves(lasts_s, rank):
    """Guards against LOST: a head that left itself lost its requests right after the close."""

    async def simulate(clock):
        fleet = make_fleet(clock, 2)
        await asyncio.sleep(8)
        head = open_head(fleet)
        with fleet.hosted.accept(head) as group:
            leaver_of(fleet, head, rank)
            await asyncio.sleep(lasts_s)
            assert fleet.hosted.cuts == []
            assert fleet.hosted.is_working(head, group)
            assert not fleet.hosted.accepts_requests(head)
        await asyncio.sleep(1.0)
        assert head.group is None
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


@pytest.mark.parametrize("rank", [0, 1])
def test_members_that_stay_are_in_another_replica_soon_after_the_last_request(rank):
    """Also if the leaving worker exits at once, so that nobody can order it to leave any more."""

    async def simulate(clock):
        fleet = make_fleet(clock, 3)
        await asyncio.sleep(8)
        head = open_head(fleet)
        with fleet.hosted.accept(head):
            leaver = leaver_of(fleet, head, rank)
            await asyncio.sleep(2.0)
        fleet.publish(head)
        fleet.hosted.kill(leaver.id)
        await asyncio.sleep(1.5)
        assert fleet.open_replicas("small") == 1
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


@pytest.mark.parametrize("rank", [0, 1])
def test_leaving_head_that_stands_still_for_a_moment_finishes_its_requests(rank):
    async def simulate(clock):
        fleet = make_fleet(clock, 2)
        await asyncio.sleep(8)
        head = open_head(fleet)
        with fleet.hosted.accept(head) as group:
            leaver_of(fleet, head, rank)
            await asyncio.sleep(0.5)
            head.paused = True
            await asyncio.sleep(1.2)
            head.paused = False
            await asyncio.sleep(2.0)
            assert fleet.hosted.cuts == []
            assert fleet.hosted.is_working(head, group)
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_members_of_a_leaving_head_that_is_lost_are_free_as_after_any_loss():
    """Its request would have run for seconds more, but nothing is left to wait for."""

    async def simulate(clock):
        fleet = make_fleet(clock, 3)
        await asyncio.sleep(8)
        head = open_head(fleet)
        with fleet.hosted.accept(head):
            leaver_of(fleet, head, 0)
            await asyncio.sleep(0.5)
            fleet.hosted.kill(head.id)
            # Found silent and waited for within 2.5 s, then held until the head must have broken.
            await asyncio.sleep(2.5 + (fleet.hosted.stall_ms + 500.0) / 1000.0 + 0.7)
            assert fleet.open_replicas("small") == 1
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []
