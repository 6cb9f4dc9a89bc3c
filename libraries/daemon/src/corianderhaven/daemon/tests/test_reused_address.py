"""Tests of endpoints that get the address of one that has ended, through real daemons."""

import asyncio

from corianderhaven.daemon.tests.hosted_site import (
    hosted_site,
    send_draft,
    send_request,
    wait_until,
)
from corianderhaven.fleet._order_sender import UNRESPONSIVE_MS
from corianderhaven.standins import HostedModel

ENTRY_LIFETIME_MS = 5_000.0  # for the whole scenario the ended endpoint is still listed
MAX_REQUESTS = 40  # each goes to either of two endpoints
PAIRS = [HostedModel("pair", 2, 400.0, 100.0, 1.0)]


async def replace_at_address(site, daemon, worker_id, name):
    """End a worker and, once that was noticed, start a new one at its address.

    The entry of the first remains.
    """
    ended = site.workers[worker_id]
    site.kill(worker_id, ENTRY_LIFETIME_MS)
    daemon.keeper.suspect(worker_id, "ended by the test")
    await wait_until(lambda: worker_id in daemon.keeper.sender.unresponsive)
    return await site.add_engine("a", name, ended.address)


def test_no_replica_counts_one_endpoint_twice_after_its_address_was_reused():
    """The report of the endpoint now at the address was taken for one of the ended endpoint."""

    async def scenario(site, daemon):
        assert (await send_draft(daemon, "pair")).complete  # loads are slow from now on
        spare = next(w for w in site.workers.values() if w.engine and not in_open_replica(site, w))
        await wait_until(lambda: "pair" in spare.engine.staged and spare.engine.group is not None)
        await wait_until(lambda: daemon.directory.get(spare.id).membership is not None)
        started = await replace_at_address(site, daemon, spare.id, "a-1-new")
        await wait_until(lambda: site.engines.staged(started.engine) == ["pair"])
        joined = set()
        until_ms = site.clock.now_ms() + UNRESPONSIVE_MS + 2_000.0
        while site.clock.now_ms() < until_ms:
            await asyncio.gather(*(send_draft(daemon, "pair") for _ in range(6)))
            group = started.engine.group
            joined |= set(group.members) if group is not None else set()
        assert site.engines.violations == []
        assert spare.id not in joined

    async def run():
        fields = {"zones": ["a"], "domain_size": 3, "models": PAIRS}
        async with hosted_site(site_fields=fields, wait=False) as (site, daemons):
            await wait_until(lambda: any(in_open_replica(site, w) for w in site.workers.values()))
            await scenario(site, daemons[0])

    asyncio.run(run())


def in_open_replica(site, worker):
    """Return whether a worker is a member of a replica whose head is open."""
    group = worker.engine.group if worker.engine is not None else None
    if group is None:
        return False
    return site.engines.state(site.workers[group.members[0]].engine) == "open"


def test_word_of_the_next_endpoint_at_an_address_is_not_taken_for_the_ended_one_s():
    """A 421 says that another endpoint answers; what else it says concerns that one."""

    async def run():
        async with hosted_site() as (site, daemons):
            site.kill("s-0", ENTRY_LIFETIME_MS)
            address = site.workers["s-0"].address
            other = await site.add_plain_worker("s-other", address)
            other.listed, other.faults.server_leaving = False, True
            for number in range(MAX_REQUESTS):
                assert (await send_request(daemons[0], "/status/1")).status == 200
                if number >= 5 and other.misdirected_count:
                    break
            assert other.misdirected_count > 0
            assert not daemons[0].directory.get("s-0").leaving

    asyncio.run(run())
