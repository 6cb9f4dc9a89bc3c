"""Tests of orders that endpoints refuse, and of orders that this daemon may not send."""

import asyncio
from dataclasses import replace

from corianderhaven.fleet import OrderResult
from corianderhaven.fleet.tests.memory_fleet import MemoryFleet
from corianderhaven.standins import run_in_virtual_time

SCENARIO_S = 9.0
PAUSE_S = 2.0  # for which an endpoint that refuses an order isn't planned with
LOSS_S = 0.05
LAG_MS = 150.0


def test_refused_stage_order_is_not_repeated_at_once():
    """Another endpoint has the address of an empty one that ended: 29 orders in 9 s."""

    async def simulate(clock):
        orders = MemoryFleet(clock, domains=1, per_domain=8, keepers=1).keepers["k0"].sender.orders
        stage, refused_ms = orders.stage, []

        async def refuse_first(endpoint, model):
            if endpoint.id != "e0":
                return await stage(endpoint, model)
            refused_ms.append(clock.now_ms())
            return OrderResult.REFUSED

        orders.stage = refuse_first
        await asyncio.sleep(SCENARIO_S)
        return refused_ms

    refused_ms = run_in_virtual_time(simulate)
    assert 0 < len(refused_ms) <= SCENARIO_S / PAUSE_S + 1


def test_endpoints_are_not_silent_because_this_daemon_may_not_order():
    """The lease was doubtful for 50 ms between a probe and the joins."""

    async def simulate(clock):
        fleet = MemoryFleet(clock, domains=1, per_domain=8, keepers=1)
        keeper = fleet.keepers["k0"]
        for engine in fleet.hosted.engines.values():
            engine.staged = ["small"]
        may_order, probe, losses = keeper.lease.may_order, keeper.sender.probe, []

        async def probe_then_lose(endpoints):
            reports = await probe(endpoints)
            if not losses and len(endpoints) > 1:
                losses.append(clock.now_ms())
                keeper.lease.may_order = lambda: False
                asyncio.get_running_loop().call_later(
                    LOSS_S, setattr, keeper.lease, "may_order", may_order
                )
            return reports

        keeper.sender.probe = probe_then_lose
        while not losses:
            await asyncio.sleep(LOSS_S)
        return set(keeper.sender.unresponsive)

    assert run_in_virtual_time(simulate) == set()


def test_stage_order_is_not_repeated_while_reports_lag_behind_the_load():
    """A report from before the end of a load was believed: 15 orders in 150 ms."""

    async def simulate(clock):
        fleet = MemoryFleet(clock, domains=1, per_domain=1, keepers=1)
        fleet.hosted.engines["e0"].staged = ["large"]
        await asyncio.sleep(8.0)
        sender = fleet.keepers["k0"].sender
        stage, report, results = sender.orders.stage, sender.orders.report, []
        lag_end_ms = clock.now_ms() + LAG_MS

        async def note_result(endpoint, model):
            results.append(await stage(endpoint, model))
            return results[-1]

        async def report_late(endpoint, timeout_ms):
            current = await report(endpoint, timeout_ms)
            return replace(current, staged=()) if clock.now_ms() < lag_end_ms else current

        sender.orders.stage, sender.orders.report = note_result, report_late
        await sender.probe([fleet.directories["k0"].get("e0")])
        await asyncio.sleep(2.0)
        return len(results)

    assert 1 <= run_in_virtual_time(simulate) <= 2
