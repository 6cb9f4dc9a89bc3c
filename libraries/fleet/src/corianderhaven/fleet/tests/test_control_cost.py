"""Tests of what many daemons cost the store, and of how old their knowledge of it gets."""

import asyncio
from collections import Counter

import pytest

from corianderhaven.fleet import Purpose, Role
from corianderhaven.fleet.tests.reading_fleet import ReadingFleet
from corianderhaven.standins import run_in_virtual_time

SETTLE_S = 8.0


def play(scenario, sizes, **fields):
    """Run a scenario in a fleet whose daemons have started and know each other."""

    async def simulate(clock):
        fleet = ReadingFleet(clock, sizes, **fields)
        await asyncio.sleep(SETTLE_S)
        try:
            return await scenario(fleet)
        finally:
            fleet.close()

    return run_in_virtual_time(simulate)


async def count_calls(fleet, seconds):
    """Return the calls a minute of all daemons by purpose."""
    before = fleet.calls()
    await asyncio.sleep(seconds)
    by_purpose = Counter()
    for (purpose, _), calls in (fleet.calls() - before).items():
        by_purpose[purpose] += calls * 60 / seconds
    return by_purpose


def test_calls_are_counted_by_purpose_and_role():
    """The cost of a fleet could not be traced to what it calls the store for."""

    async def scenario(fleet):
        calls = await count_calls(fleet, 10.0)
        roles = {(purpose, role) for purpose, role in fleet.calls()}
        return calls, roles, len(fleet.nodes)

    calls, roles, daemons = play(scenario, {"a": 4, "b": 4, "c": 4})
    assert calls.keys() == {Purpose.WATCH, Purpose.RENEWAL, Purpose.KEEPER_LEASE}
    assert calls[Purpose.RENEWAL] == pytest.approx(daemons * 60 / 2.5, rel=0.1)
    assert calls[Purpose.KEEPER_LEASE] == pytest.approx(60 / 0.7, rel=0.1)
    # The keeper pauses for 250 ms, five other hubs for 360 ms, and a call takes 4 ms.
    assert calls[Purpose.WATCH] == pytest.approx(60 / 0.254 + 5 * 60 / 0.364, rel=0.1)
    assert {(Purpose.WATCH, Role.KEEPER), (Purpose.WATCH, Role.HUB)} <= roles
    assert (Purpose.RENEWAL, Role.READER) in roles
