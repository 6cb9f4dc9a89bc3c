"""Tests of streams at heads that are sound while another member of their replica stands still."""

import asyncio

import pytest

from corianderhaven.common import MS_PER_S
from corianderhaven.daemon.tests.hosted_load import load, wait_ms
from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    send_draft,
    wait_until,
)
from corianderhaven.standins import HostedModel

STALL_MS = 4_000.0
EVENTS = 30
SITE = {
    "zones": ["a"],
    "domain_size": 2,
    "models": [HostedModel("large", 2, 400.0, 100.0)],
    "token_ms": 40.0,
    "events": EVENTS,
    "stall_ms": STALL_MS,
}


def run_scenario(scenario, **site_fields):
    async def run():
        fields = {**SITE, **site_fields}
        async with hosted_site(2, fields, stall_ms=STALL_MS) as (site, daemons):
            await wait_until(lambda: all(len(d.peers.peers) == 1 for d in daemons))
            await scenario(site, daemons)
            entries = [e for daemon in daemons for e in daemon.decisions.entries]
            assert not [e for e in entries if e["event"] == "keeper_failed"]

    asyncio.run(run())


def send_large(daemon):
    return send_draft(daemon, "large")


async def pause_members(site, pause_ms):
    """Have the members of all replicas that are not their heads stand still for a while."""
    paused = [i for head in heads(site, "large") for i in head.engine.group.members[1:]]
    site.pause(paused)
    await asyncio.sleep(pause_ms / MS_PER_S)
    site.resume(paused)


def cut_streams(answers):
    return [a for a in answers if a is None or (a.status == 200 and not a.complete)]


@pytest.mark.parametrize("with_config", [False, True])
@pytest.mark.parametrize("pause_ms", [800.0, 1_300.0, 2_500.0])
def test_streams_end_whole_while_a_member_that_is_no_head_stands_still(pause_ms, with_config):
    """Guards against LOST: the keeper had the sound head leave, which cut its streams."""

    async def scenario(site, daemons):
        async with load(daemons, send_large, 200.0) as answers:
            await wait_ms(site.clock, 1_000.0)
            if with_config:
                site.publish_config()
            await pause_members(site, pause_ms)
            await wait_ms(site.clock, 500.0)
        assert cut_streams(answers) == []
        served = [a for a in answers if a.status == 200]
        assert all(a.event_ids == list(range(1, EVENTS + 1)) for a in served)
        assert site.engines.cuts == []

    run_scenario(scenario)


def test_streams_go_on_in_the_replica_that_a_spare_completes():
    """With a spare, a member that stands still is replaced, whether or not it is lost."""

    async def scenario(site, daemons):
        async with load(daemons, send_large, 200.0) as answers:
            await wait_ms(site.clock, 1_500.0)
            await pause_members(site, 1_300.0)
            await wait_ms(site.clock, 500.0)
        assert cut_streams(answers) == []

    run_scenario(scenario, domain_size=3)


def test_stalled_head_gets_no_new_request_while_others_serve():
    """Daemons go on suspecting it, although its replica isn't dissolved before it breaks."""

    async def scenario(site, daemons):
        async with load(daemons, send_large, 100.0) as answers:
            await wait_ms(site.clock, 1_000.0)
            stalled = heads(site, "large")[0]
            site.pause(stalled.engine.group.members[1:])
            await wait_ms(site.clock, 700.0)
            arrived = len(stalled.arrivals_ms)
            await wait_ms(site.clock, 3_200.0)
            assert stalled.engine.group.stalled_since_ms is not None
            assert len(stalled.arrivals_ms) == arrived
        assert cut_streams(answers) == []

    run_scenario(scenario, domain_size=4, events=20)
