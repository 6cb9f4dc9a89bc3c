"""Tests of the rate of requests to cold endpoints, over several daemons."""

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

DAEMONS = 4
COLD_PER_S = 6.0
COLD_MS = 4_000.0
ALLOWED = COLD_PER_S * 1.5 + 5.0  # overrun and slack by default
ENTRY_MS = 1_500.0  # in which an entry is written and reaches all daemons
INTERVAL_MS = 12.0  # between requests
MIN_USE = 0.9


async def bound_rate(site, daemons):
    """Have the operator bound the rate of cold endpoints."""
    site.cold_bound = {"cold_per_s": COLD_PER_S, "cold_s": COLD_MS / MS_PER_S}
    version = site.publish_config()
    await wait_until(lambda: all(d.active_config.version == version for d in daemons))


def most_in_a_second(worker, from_ms, until_ms):
    times = sorted(t for t in worker.arrivals_ms if from_ms <= t < until_ms)
    return max((sum(t <= u < t + MS_PER_S for u in times) for t in times), default=0)


@pytest.mark.parametrize("bounded", [False, True])
def test_plain_endpoints_whose_entries_say_cold_get_their_bound(bounded):
    """Without the operator's rate they get what they got before."""

    async def scenario():
        async with hosted_site(DAEMONS) as (site, daemons):
            if bounded:
                await bound_rate(site, daemons)
            cold = workers(site, "ledger")
            async with load(
                daemons, lambda d: send_request(d, "/status/1"), INTERVAL_MS
            ) as answers:
                await wait_ms(site.clock, MS_PER_S)
                until_ms = site.clock.now_ms() + COLD_MS
                for worker in cold:
                    worker.cold_until_ms = until_ms
                await wait_ms(site.clock, ENTRY_MS)
                from_ms = site.clock.now_ms()
                await wait_ms(site.clock, COLD_MS - ENTRY_MS)
            for worker in cold:
                most = most_in_a_second(worker, from_ms, until_ms)
                assert (most <= ALLOWED) == bounded
                assert most >= MIN_USE * COLD_PER_S
            assert all(answer.status in (200, 503) for answer in answers)
            assert bounded or all(answer.status == 200 for answer in answers)

    asyncio.run(scenario())


def test_heads_of_a_zone_that_returns_get_no_more_than_their_bound():
    async def scenario():
        async with hosted_site(DAEMONS) as (site, daemons):
            await bound_rate(site, daemons)
            async with load(daemons, send_draft, 2 * INTERVAL_MS) as answers:
                await wait_ms(site.clock, MS_PER_S)
                zone = heads(site, "small")[0].zone
                cold = [w for w in heads(site, "small") if w.zone == zone]
                for worker in cold:
                    worker.cold_until_ms = site.clock.now_ms() + COLD_MS
                for daemon in daemons:
                    daemon.gateway.cold_endpoints.assume_cold(zone)
                from_ms = site.clock.now_ms()
                await wait_ms(site.clock, COLD_MS - MS_PER_S)
                until_ms = site.clock.now_ms()
            assert cold
            for worker in cold:
                assert most_in_a_second(worker, from_ms, until_ms) <= ALLOWED
            assert all(a is not None and (a.complete or a.status == 503) for a in answers)
            assert sum(a.status == 200 for a in answers) > len(answers) / 2

    asyncio.run(scenario())
