"""Tests of limits that endpoints name, over several daemons."""

import asyncio

import pytest

from corianderhaven.common import MS_PER_S
from corianderhaven.daemon.tests.hosted_load import load, wait_ms
from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    send_draft,
    send_request,
    wait_until,
    workers,
)

CONTACT_MS = 3_000.0  # bound of the platform for daemons to learn from each other
WINDOW_MS = 4_000.0  # over which the platform counts the requests that an endpoint gets
ALLOWED_RATIO = 1.5
ALLOWED_BURST = 5
USE_MS = 10_000.0
MIN_USE = 0.9
DAEMONS = 4
MIN_REPLICAS = 3


def most_in_window(times_ms, from_ms):
    """Return the largest number of times in a window that begins at `from_ms` or later."""
    times = sorted(t for t in times_ms if t >= from_ms)
    counts = (sum(t <= u < t + WINDOW_MS for u in times) for t in times)
    return max(counts, default=0)


def check_limit(worker, limit, from_ms):
    most = most_in_window(worker.arrivals_ms, from_ms)
    allowed = ALLOWED_RATIO * limit * WINDOW_MS / MS_PER_S + ALLOWED_BURST
    assert most <= allowed, f"{worker.id}: {most} requests in {WINDOW_MS:.0f} ms, {allowed} allowed"


def use_of_limit(worker, limit, from_ms, until_ms):
    """Return the share of the requests allowed by `limit` that a worker got in a time."""
    count = sum(from_ms <= t < until_ms for t in worker.arrivals_ms)
    return count / (limit * (until_ms - from_ms) / MS_PER_S)


@pytest.mark.parametrize("limit", [1.5, 4.0])
def test_daemons_together_send_no_more_than_an_endpoint_names(limit):
    """No daemon read the limit: an endpoint got 18 requests in 4 s at 2 a second."""

    async def scenario():
        async with hosted_site(DAEMONS, {"zones": ["a", "b", "c"]}) as (site, daemons):
            await wait_until(lambda: len(heads(site, "small")) >= MIN_REPLICAS)
            limited = heads(site, "small")[: MIN_REPLICAS - 1]
            async with load(daemons, send_draft, 15.0) as answers:
                for worker in limited:
                    worker.faults.limits = (str(limit),)
                await wait_ms(site.clock, CONTACT_MS)
                from_ms = site.clock.now_ms()
                await wait_ms(site.clock, USE_MS)
                until_ms = site.clock.now_ms()
            for worker in limited:
                check_limit(worker, limit, from_ms)
                assert use_of_limit(worker, limit, from_ms, until_ms) >= MIN_USE
            assert all(answer is not None and answer.complete for answer in answers)

    asyncio.run(scenario())


def test_plain_endpoints_that_all_name_a_limit_get_no_more_and_callers_hear_when():
    async def scenario():
        async with hosted_site(DAEMONS) as (site, daemons):
            limit = 3.0
            for worker in workers(site, "ledger"):
                worker.faults.limits = (str(limit),)
            async with load(daemons, lambda d: send_request(d, "/status/1"), 25.0) as answers:
                await wait_ms(site.clock, CONTACT_MS)
                from_ms = site.clock.now_ms()
                await wait_ms(site.clock, 2 * WINDOW_MS)
                until_ms = site.clock.now_ms()
            for worker in workers(site, "ledger"):
                check_limit(worker, limit, from_ms)
                assert use_of_limit(worker, limit, from_ms, until_ms) >= MIN_USE
            refused = [a for a in answers if a.status == 503]
            assert refused
            times = [float(a.header("retry-after")) for a in refused]
            assert len(set(times)) > len(times) / 4
            assert all(site.run_counts()[a.request_id] == 0 for a in refused)

    asyncio.run(scenario())
