"""Tests of streams of a model that the next version of the configuration no longer names."""

import asyncio
from dataclasses import replace

import pytest

from corianderhaven.daemon.tests.hosted_load import wait_ms
from corianderhaven.daemon.tests.hosted_site import heads, hosted_site, send_draft, wait_until
from corianderhaven.fleet._dissolution import REAPPEARANCE_MS
from corianderhaven.standins import HostedModel

EVENTS = 40
SITE = {
    "zones": ["a"],
    "domain_size": 6,
    "models": [HostedModel("kept", 2, 400.0, 100.0), HostedModel("dropped", 2, 400.0, 100.0)],
    "token_ms": 40.0,
    "events": EVENTS,
}
CONFIG_MS = 500.0


def run_scenario(scenario, **site_fields):
    async def run():
        fields = {**SITE, **site_fields}
        async with hosted_site(2, fields, config_ms=CONFIG_MS) as (site, daemons):
            await wait_until(lambda: all(len(d.peers.peers) == 1 for d in daemons))
            await scenario(site, daemons)
            entries = [e for daemon in daemons for e in daemon.decisions.entries]
            assert not [e for e in entries if e["event"] == "keeper_failed"]

    asyncio.run(run())


def send_drafts(daemons, count=6):
    return [
        asyncio.create_task(send_draft(daemons[n % len(daemons)], "dropped")) for n in range(count)
    ]


def check_whole(answers):
    assert {a.status for a in answers} == {200}
    assert all(a.complete for a in answers)
    assert all(a.event_ids == list(range(1, EVENTS + 1)) for a in answers)


@pytest.mark.parametrize("after_ms", [50.0, 600.0, 1_400.0])
def test_streams_of_a_model_that_a_version_drops_end_whole(after_ms):
    """Guards against LOST: the keeper had their heads leave when it read the version."""

    async def scenario(site, daemons):
        drafts = send_drafts(daemons)
        await wait_ms(site.clock, after_ms)
        site.models = site.models[:1]
        site.publish_config()
        check_whole(await asyncio.gather(*drafts))
        assert site.engines.cuts == []
        # By then each daemon has told the keeper that its last stream has ended.
        await wait_until(lambda: not heads(site, "dropped"), 1.0)

    run_scenario(scenario)


@pytest.mark.parametrize("size", [1, 3])
def test_streams_of_a_model_that_gets_another_size_end_whole(size):
    """Guards against LOST: replicas of fewer members than a version names lost their heads."""

    async def scenario(site, daemons):
        await wait_ms(site.clock, REAPPEARANCE_MS)  # before, no member counts as lost
        drafts = send_drafts(daemons)
        await wait_ms(site.clock, 600.0)
        kept, dropped = site.models
        site.models = [kept, replace(dropped, size=size)]
        site.engines.models["dropped"] = site.models[1]
        site.publish_config()
        check_whole(await asyncio.gather(*drafts))
        assert site.engines.cuts == []
        await wait_until(
            lambda: {len(h.engine.group.members) for h in heads(site, "dropped")} == {size}
        )
        check_whole(await asyncio.gather(*send_drafts(daemons, 2)))

    run_scenario(scenario, domain_size=12)


def test_streams_end_whole_when_a_version_takes_the_drop_of_their_model_back():
    async def scenario(site, daemons):
        before = {head.id for head in heads(site, "dropped")}
        models, drafts = site.models, send_drafts(daemons)
        await wait_ms(site.clock, 300.0)
        site.models = models[:1]
        site.publish_config()
        await wait_ms(site.clock, 300.0)
        site.models = models
        site.publish_config()
        await wait_ms(site.clock, 400.0)
        check_whole(await asyncio.gather(*drafts, *send_drafts(daemons)))
        assert {head.id for head in heads(site, "dropped")} == before
        assert site.engines.cuts == []

    run_scenario(scenario)


def test_streams_end_whole_when_the_keeper_stops_beside_the_drop_of_their_model():
    """The daemon that stops is the keeper, whose successor finds the heads open or closing."""

    async def scenario(site, daemons):
        drafts = send_drafts(daemons)
        await wait_ms(site.clock, 200.0)
        site.models = site.models[:1]
        site.publish_config()
        await wait_ms(site.clock, 200.0)
        keeper = next(d for d in daemons if d.lease.tenure is not None)
        stopping = asyncio.create_task(keeper.drain())
        check_whole(await asyncio.gather(*drafts))
        await stopping
        assert site.engines.cuts == []

    run_scenario(scenario)


def test_requests_for_a_model_that_no_version_names_are_refused_and_cost_no_head():
    """Guards against suspicions: they were sent to any worker, whose 421 made it suspect."""

    async def scenario(site, daemons):
        answers = [await send_draft(daemons[n % 2], "unknown") for n in range(8)]
        assert {a.status for a in answers} == {503}
        assert all(float(a.header("retry-after")) > 0.0 for a in answers)
        assert not any(worker.misdirected_count for worker in site.workers.values())
        assert not any(worker.arrivals_ms for worker in site.workers.values())
        for daemon in daemons:
            assert not daemon.gateway.replica_view.suspicions
        check_whole(await asyncio.gather(*send_drafts(daemons, 4)))

    run_scenario(scenario)
