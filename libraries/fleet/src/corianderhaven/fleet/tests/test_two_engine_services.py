"""Tests of a keeper that serves several services with engines."""

import asyncio
from dataclasses import replace

from corianderhaven.fleet import ServiceSpec
from corianderhaven.fleet.tests.memory_fleet import SERVICE, MemoryFleet
from corianderhaven.standins import run_in_virtual_time

OTHER = "other-pool"


def test_lost_member_is_replaced_while_another_service_has_engines_too():
    """Guards against a loss that was never certain: each service forgot the other's replicas."""

    async def simulate(clock):
        fleet = MemoryFleet(clock, 1, domains=1, per_domain=3)
        for engine in fleet.hosted.engines.values():
            engine.staged = ["small"]
        services = fleet.config.services
        config = replace(
            fleet.config, services={**services, OTHER: ServiceSpec(OTHER, services[SERVICE].engine)}
        )
        for keeper in fleet.keepers.values():
            keeper.active_config.config = config
        await asyncio.sleep(8)
        head = next(e for e in fleet.hosted.engines.values() if fleet.hosted.accepts_requests(e))
        fleet.lose_restarted(head.group.members[1])
        await asyncio.sleep(1.0)  # until the head breaks, it would be four seconds
        return fleet.open_replicas("small"), fleet.hosted.violations

    assert run_in_virtual_time(simulate) == (1, [])
