"""Tests of streams at replicas of which a worker leaves as planned."""

import pytest

from corianderhaven.daemon.tests.hosted_load import load, wait_ms
from corianderhaven.daemon.tests.hosted_site import heads
from corianderhaven.daemon.tests.test_silent_members import cut_streams, run_scenario, send_large


@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("domain_size", [2, 4])
def test_streams_end_whole_when_a_worker_of_their_replica_leaves(domain_size, rank):
    """Guards against LOST: a head that left itself was made to leave right after its close."""

    async def scenario(site, daemons):
        async with load(daemons, send_large, 200.0) as answers:
            await wait_ms(site.clock, 1_000.0)
            head = heads(site, "large")[0]
            assert head.active
            site.workers[head.engine.group.members[rank]].leaving = True
            await wait_ms(site.clock, 2_500.0)
        assert cut_streams(answers) == []
        assert site.engines.cuts == []

    run_scenario(scenario, domain_size=domain_size)
