"""Tests of daemons that get the contents of the store from the followers of their zone."""

import asyncio

import pytest

from corianderhaven.daemon._fleet_daemon import FleetDaemon
from corianderhaven.daemon.tests.hosted_site import (
    hosted_site,
    node_settings,
    send_draft,
    send_request,
    wait_until,
    workers,
)

DAEMONS = 5


def run_scenario(scenario, **fields):
    async def run():
        async with hosted_site(daemons=DAEMONS, **fields) as (site, daemons):
            await wait_until(lambda: len(following(daemons)) == 2)
            await scenario(site, daemons)

    asyncio.run(run())


def following(daemons):
    return [d.settings.name for d in daemons if d.watcher.following]


def following_as_hubs(daemons):
    return following([d for d in daemons if d.lease.tenure is None or d.peers.is_first_hub()])


def knows(daemon, endpoint_id):
    return daemon.directory.get(endpoint_id) is not None


def test_two_daemons_of_a_zone_follow_the_store_and_all_serve():
    """Every daemon read every entry, which took the whole processor time meant for control."""

    async def scenario(site, daemons):
        assert following(daemons) == ["edge-a-1", "edge-a-2"]
        for daemon in daemons:
            assert (await send_draft(daemon, "small")).complete
            assert (await send_request(daemon, "/status/1")).status == 200
        ids = {d.settings.name: sorted(d.directory.records) for d in daemons}
        assert all(ids["edge-a-1"] == known for known in ids.values())
        added = await site.add_engine("a", "late")
        await wait_until(lambda: all(knows(d, added.id) for d in daemons), 2.0)
        site.kill(added.id)
        await wait_until(lambda: not any(knows(d, added.id) for d in daemons), 3.0)

    run_scenario(scenario)


def test_configuration_and_leaving_reach_all_daemons_in_time():
    async def scenario(site, daemons):
        del site.keys["team-b"]
        version = site.publish_config()
        first, second = workers(site, "ledger")
        first.leaving = True
        await wait_until(lambda: all(d.active_config.version == version for d in daemons), 2.0)
        await wait_until(lambda: all(d.directory.get(first.id).leaving for d in daemons), 1.0)
        for daemon in daemons:
            assert (await send_request(daemon, "/status/1", key="key-b")).status == 401
            answer = await send_request(daemon, "/status/1")
            assert answer.body.endswith(second.id.encode())

    run_scenario(scenario)


@pytest.mark.parametrize("lost", [["edge-a-1"], ["edge-a-1", "edge-a-2"]])
def test_others_follow_when_followers_are_lost(lost):
    async def scenario(site, daemons):
        for daemon in daemons:
            if daemon.settings.name in lost:
                daemon.close()
        left = [d for d in daemons if d.settings.name not in lost]
        added = await site.add_engine("a", "late")
        await wait_until(lambda: all(knows(d, added.id) for d in left), 5.0)
        for daemon in left:
            assert (await send_request(daemon, "/status/1")).status == 200
        await wait_until(lambda: 1 <= len(following(left)) <= 2, 12.0)

    run_scenario(scenario)


def test_followers_cut_off_from_the_store_are_replaced_until_it_is_back():
    async def scenario(site, daemons):
        site.store.faults.away_for = {"127.0.0.1", "127.0.0.2"}
        await asyncio.sleep(0.6)
        added = await site.add_engine("a", "late")
        others = daemons[2:]
        await wait_until(lambda: all(knows(d, added.id) for d in others), 5.0)
        site.store.faults.away_for = set()
        # One of the others may have become keeper, and goes on following as long as it is.
        await wait_until(lambda: following_as_hubs(daemons) == ["edge-a-1", "edge-a-2"], 6.0)
        assert (await send_draft(daemons[4], "small")).complete

    run_scenario(scenario)


def test_new_daemon_learns_the_store_from_a_follower():
    async def scenario(site, daemons):
        late = FleetDaemon(node_settings(site, "edge-a-9", "127.0.0.9", first_start=False))
        await late.start()
        try:
            await wait_until(lambda: late.ready, 2.0)
            assert not late.watcher.following
            assert (await send_draft(late, "small")).complete
        finally:
            late.close()

    run_scenario(scenario)


def test_daemon_gets_ready_while_nothing_can_be_written_to_the_store():
    async def run():
        async with hosted_site(daemons=1, wait=False) as (site, daemons):
            site.store.faults.lose_answers = True
            await wait_until(lambda: daemons[0].ready, 4.0)
            assert (await send_request(daemons[0], "/status/1")).status == 200

    asyncio.run(run())
