"""Tests, through a real daemon, of workers' answers that have neither a length nor chunks."""

import asyncio

from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    send_draft,
)
from corianderhaven.standins import HostedModel


def run_scenario(scenario, **fields):
    async def run():
        async with hosted_site(**fields) as (site, daemons):
            for worker in site.workers.values():
                worker.faults.unframed = True
            await scenario(site, daemons[0])

    asyncio.run(run())


def test_stream_of_a_replica_that_lost_a_member_is_not_ended_as_complete():
    """The daemon closed the silent stream and took its own close for the end of the answer."""

    async def scenario(site, daemon):
        serving = heads(site, "large")
        assert len(serving) >= 2
        streams = [asyncio.create_task(send_draft(daemon, "large")) for _ in range(4)]
        await asyncio.sleep(0.15)
        site.kill(serving[0].engine.group.members[1])
        for answer in await asyncio.gather(*streams):
            assert answer.complete
            assert answer.event_ids == list(range(1, site.events + 1))

    models = [HostedModel("large", 2, 400.0, 100.0, share=1.0)]
    fields = {"models": models, "token_ms": 40.0, "events": 30}
    run_scenario(scenario, site_fields=fields)
