"""Tests of waiting requests when endpoints are denied or allowed, in virtual time."""

import asyncio

from corianderhaven.scheduling import Refusal
from corianderhaven.scheduling.tests.test_admission import Replicas, queued_request
from corianderhaven.standins import run_in_virtual_time

DENIED = Refusal("denied", 2_000.0)


def test_all_waiting_requests_are_refused_at_once_and_later_ones_too():
    """Guards against waits of 350 ms and more for endpoints that can't get requests."""

    async def simulate(clock):
        replicas = Replicas(clock, 1, 10_000.0)
        log = []
        replicas.occupied = 1
        queued = [
            queued_request(clock.now_ms(), goal_ms=30_000.0, deadline_ms=60_000.0, resumed=resumed)
            for resumed in (False, True)
        ]
        tasks = [asyncio.create_task(replicas.serve(q, log)) for q in queued]
        await asyncio.sleep(0.1)
        assert log == []
        denied_ms = clock.now_ms()
        replicas.serving = False
        replicas.queue.check_access = lambda: DENIED
        replicas.queue.dispatch()
        await asyncio.gather(*tasks)
        assert [(outcome, ms) for _, outcome, ms in log] == [("refused", denied_ms)] * 2
        for resumed in (False, True):
            later = queued_request(clock.now_ms(), resumed=resumed)
            assert await replicas.queue.acquire(later) is DENIED
        assert clock.now_ms() == denied_ms

    run_in_virtual_time(simulate)


def test_waiting_request_is_dispatched_at_once_when_an_endpoint_is_allowed():
    async def simulate(clock):
        replicas = Replicas(clock, 1, 100.0)
        log = []
        replicas.serving = False
        task = asyncio.create_task(replicas.serve(queued_request(clock.now_ms()), log))
        await asyncio.sleep(0.1)
        allowed_ms = clock.now_ms()
        replicas.serving = True
        replicas.queue.dispatch()
        await task
        assert [(outcome, ms) for _, outcome, ms in log] == [("on_time", allowed_ms)]

    run_in_virtual_time(simulate)


def test_throughput_is_that_of_the_endpoints_that_are_left():
    """Dispatches of the last seconds to denied endpoints made waits look short."""

    async def simulate(clock):
        replicas = Replicas(clock, 20, 400.0)
        log = []
        tasks = []
        for _ in range(200):
            request = queued_request(clock.now_ms())
            tasks.append(asyncio.create_task(replicas.serve(request, log)))
            await asyncio.sleep(0.02)
        rates = replicas.queue.rates
        assert rates.throughput_per_ms() >= 0.04
        replicas.slots = 2
        rates.forget_throughput()
        assert rates.throughput_per_ms() <= 2 * replicas.capacity_per_ms()
        await asyncio.gather(*tasks)

    run_in_virtual_time(simulate)
