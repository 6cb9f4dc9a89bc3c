"""Tests of how a daemon that the store turns away learns what its peers know.

Of two daemons that exchange digests one begins, by their names and zones; what either learns must
not depend on which.
"""

import asyncio

import pytest

from corianderhaven.fleet import DIGEST_PATH
from corianderhaven.fleet._peer_state import STATE_PATH
from corianderhaven.fleet.tests.reading_fleet import ReadingFleet
from corianderhaven.standins import run_in_virtual_time

SETTLE_S = 6.0
CALM_S = 2.0
TOLD_S = 1.5  # a poll of the others, and two exchanges
SIZES = [{"a": 2}, {"a": 1, "b": 1}, {"a": 2, "b": 1, "c": 1}, {"a": 1, "b": 2}, {"a": 4, "b": 3}]
PAIRS = [
    (sizes, f"{zone}-{number:03}")
    for sizes in SIZES
    for zone, size in sizes.items()
    for number in range(size)
]


def play(scenario, sizes, **fields):
    async def simulate(clock):
        fleet = ReadingFleet(clock, sizes, **fields)
        await asyncio.sleep(SETTLE_S)
        try:
            return await scenario(fleet)
        finally:
            fleet.close()

    return run_in_virtual_time(simulate)


@pytest.mark.parametrize(("sizes", "name"), PAIRS)
def test_daemon_that_the_store_turns_away_is_told_of_a_configuration(sizes, name):
    """Guards against CONFIG: the daemon alone in the zone last by name kept a dropped key."""

    async def scenario(fleet):
        fleet.refused.add(name)
        await asyncio.sleep(1.0)
        fleet.publish_config()
        await asyncio.sleep(TOLD_S)
        assert fleet.nodes[name].config.version == fleet.version

    play(scenario, sizes)


@pytest.mark.parametrize(("sizes", "name"), PAIRS)
def test_only_daemon_that_reads_the_store_tells_all_others(sizes, name):
    """Guards against CONFIG: each direction between two daemons."""

    async def scenario(fleet):
        fleet.refused |= fleet.nodes.keys() - {name}
        await asyncio.sleep(1.0)
        fleet.publish_config()
        await asyncio.sleep(2 * TOLD_S)
        behind = [n.name for n in fleet.nodes.values() if n.config.version < fleet.version]
        assert not behind

    play(scenario, sizes)


def test_each_daemon_takes_over_the_state_of_a_peer_at_its_start():
    """Guards against a start with what a restored store has, where others begin the exchanges."""

    async def scenario(fleet):
        return [node.name for node in fleet.nodes.values() if not node.exchange.state_received]

    assert not play(scenario, {"a": 1, "b": 1, "c": 1})


@pytest.mark.parametrize(
    "sizes",
    [{"a": 9, "b": 9, "c": 8}, {"a": 36, "b": 35, "c": 35}, {"a": 100, "b": 100, "c": 100}],
    ids=["26", "106", "300"],
)
def test_calm_fleet_sends_no_more_messages(sizes):
    """Guards against messages in both directions between daemons that know the same."""

    async def scenario(fleet):
        before = fleet.messages.copy()
        await asyncio.sleep(CALM_S)
        calm = fleet.messages - before
        fleet.publish_config()
        await asyncio.sleep(TOLD_S)
        return calm, (fleet.messages - before)[STATE_PATH]

    calm, states = play(scenario, sizes, drain_ms=2_000.0, config_ms=2_000.0)
    daemons = sum(sizes.values())
    # Each daemon exchanges with the hubs of its zone, and these with those of two other zones.
    exchanges = sum(2 * size - 2 for size in sizes.values()) + 12
    interval_s = min(max(0.1, 0.015 * min(sizes.values())), 0.2)
    assert calm[DIGEST_PATH] <= exchanges * CALM_S / interval_s
    assert calm[STATE_PATH] == 0
    assert states <= daemons
