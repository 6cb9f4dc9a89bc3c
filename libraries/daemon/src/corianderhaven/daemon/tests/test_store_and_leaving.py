"""Tests of a restored store, and of what workers say in their answers, through real daemons."""

import asyncio

import pytest

from corianderhaven.daemon._fleet_daemon import FleetDaemon
from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    node_settings,
    send_draft,
    send_request,
    serves_all_models,
    wait_until,
    workers,
)


def run_scenario(scenario, **fields):
    async def run():
        async with hosted_site(**fields) as (site, daemons):
            await scenario(site, daemons)

    asyncio.run(run())


async def adopted(daemons, version):
    await wait_until(lambda: all(d.active_config.version == version for d in daemons))


def test_withdrawn_key_stays_withdrawn_after_a_restore():
    """A daemon that starts before the operator writes again read the older configuration."""

    async def scenario(site, daemons):
        copy = site.store.copy()
        del site.keys["team-b"]
        await adopted(daemons, site.publish_config())
        site.store.restore(copy)
        late = FleetDaemon(node_settings(site, "edge-a-3", "127.0.0.3", first_start=False))
        await late.start()
        try:
            for daemon in (*daemons, late):
                await wait_until(lambda daemon=daemon: daemon.ready)
                assert (await send_request(daemon, "/status/1", key="key-b")).status == 401
                assert (await send_request(daemon, "/status/1")).status == 200
        finally:
            late.close()

    run_scenario(scenario, daemons=2)


def test_daemon_without_its_peers_knowledge_refuses_as_not_run():
    async def scenario(site, daemons):
        daemon = daemons[0]
        daemon.exchange.state_received = False
        daemon.started_ms = daemon.clock.now_ms()
        assert not daemon.ready
        answer = await send_request(daemon, "/status/1")
        assert (answer.status, site.run_counts()[answer.request_id]) == (503, 0)

    run_scenario(scenario, daemons=2)


def test_daemon_whose_listed_peers_are_gone_gets_ready():
    async def scenario(site, daemons):
        daemons[1].close()
        late = FleetDaemon(node_settings(site, "edge-a-3", "127.0.0.3", first_start=False))
        daemons[0].close()
        await late.start()
        try:
            await wait_until(lambda: late.ready, 4.0)
        finally:
            late.close()

    run_scenario(scenario, daemons=2)


def test_worker_that_had_left_is_not_used_after_a_restore():
    async def scenario(site, daemons):
        first, second = workers(site, "ledger")
        copy = site.store.copy()
        first.leaving = True
        await wait_until(lambda: all(d.directory.get(first.id).leaving for d in daemons), 1.5)
        first.listed = False  # it goes on serving, and writes nothing any more
        site.store.delete(f"servers/{first.id}")
        await wait_until(lambda: all(d.directory.get(first.id) is None for d in daemons), 1.5)
        site.store.restore(copy)
        late = FleetDaemon(node_settings(site, "edge-a-3", "127.0.0.3", first_start=False))
        await late.start()
        try:
            await wait_until(lambda: late.ready)
            for _ in range(4):
                for daemon in (*daemons, late):
                    answer = await send_request(daemon, "/status/1")
                    assert answer.body.endswith(second.id.encode())
                await asyncio.sleep(0.1)
        finally:
            late.close()

    run_scenario(scenario, daemons=2)


def test_daemons_serve_and_register_again_after_a_restore():
    async def scenario(site, daemons):
        copy = site.store.copy()
        await asyncio.sleep(0.5)
        for key in [k for k in site.store.items if k.startswith("corianderhaven/")]:
            copy[0].pop(key, None)  # the copy is older than the daemons' records
        copy[3].clear()
        site.store.restore(copy)
        assert (await send_draft(daemons[0], "small")).complete
        await wait_until(lambda: all(d.era.number == 2 for d in daemons), 1.5)
        async with asyncio.timeout(9.0):
            while not any(d.lease.may_order() for d in daemons):
                assert sum(d.lease.may_order() for d in daemons) <= 1
                await asyncio.sleep(0.02)
        keys = [k for k in site.store.items if k.startswith("corianderhaven/daemons/")]
        assert len(keys) == 2
        assert (await send_draft(daemons[1], "large")).complete
        assert site.engines.violations == []

    run_scenario(scenario, daemons=2)


@pytest.mark.parametrize("service", ["ledger", "draft-pool"])
def test_worker_that_says_in_an_answer_that_it_leaves_gets_nothing_new(service):
    """The word comes in an answer, while the worker's entry still says that it is ready."""

    async def scenario(site, daemons):
        leaver = workers(site, "ledger")[0] if service == "ledger" else heads(site, "small")[0]
        leaver.faults.server_leaving = True

        async def send(daemon):
            if service == "ledger":
                return await send_request(daemon, "/status/1")
            return await send_draft(daemon, "small")

        for _ in range(40):
            await send(daemons[0])
            if any(r.worker == leaver.id for r in site.runs):
                break
        await asyncio.sleep(0.4)  # the other daemon hears of it by then
        runs = len(site.runs)
        for _ in range(12):
            for daemon in daemons:
                assert (await send(daemon)).complete
        assert leaver.id not in {r.worker for r in site.runs[runs:]}
        assert len(site.runs) >= runs + 24

    run_scenario(scenario, daemons=2)


def test_leaving_word_of_a_daemon_cut_off_from_the_store_is_kept():
    async def scenario(site, daemons):
        daemon = daemons[0]
        first, second = workers(site, "ledger")
        site.store.faults.away = True
        first.faults.server_leaving = True
        for _ in range(20):
            await send_request(daemon, "/status/1")
        assert daemon.directory.get(first.id).leaving
        site.store.faults.away = False
        await asyncio.sleep(1.0)  # its entry, which says ready, has been read again
        assert daemon.directory.get(first.id).leaving

    run_scenario(scenario)


def test_restarted_worker_is_used_again():
    async def scenario(site, daemons):
        daemon = daemons[0]
        leaver = heads(site, "small")[0]
        daemon.directory.mark_leaving(leaver.id, leaver.engine.started_ms, "answer")
        assert daemon.directory.get(leaver.id).leaving
        site.engines.restart(leaver.id)
        await wait_until(lambda: not daemon.directory.get(leaver.id).leaving, 1.0)

    run_scenario(scenario)


def test_worker_that_wants_nothing_for_a_while_gets_nothing():
    async def scenario(site, daemons):
        daemon = daemons[0]
        first, second = workers(site, "ledger")
        first.faults.shed, first.faults.shed_for_s = True, 1.5
        for _ in range(30):
            answer = await send_request(daemon, "/status/1")
            assert answer.status == 200
        assert first.refused_count == 1
        assert daemon.gateway.load_tracker.failure_rate(first.id) == 0.0
        first.faults.shed = False
        await asyncio.sleep(1.6)
        for _ in range(20):
            await send_request(daemon, "/status/1")
        assert first.id in {r.worker for r in site.runs}

    run_scenario(scenario)


def test_request_that_all_workers_refuse_for_longer_than_it_can_wait_is_rejected_at_once():
    async def scenario(site, daemons):
        daemon = daemons[0]
        for worker in site.workers.values():
            worker.faults.shed, worker.faults.shed_for_s = True, 30.0
        await asyncio.gather(*(send_draft(daemon, "small") for _ in range(8)))
        await asyncio.gather(*(send_request(daemon, "/status/1") for _ in range(8)))
        refused = {w.id: w.refused_count for w in site.workers.values()}
        async with asyncio.timeout(0.3):
            draft = await send_draft(daemon, "small")
            status = await send_request(daemon, "/status/1")
        for answer in (draft, status):
            assert answer.status == 503
            assert 20.0 < float(answer.header("retry-after")) <= 30.0
        assert {w.id: w.refused_count for w in site.workers.values()} == refused
        assert not daemon.gateway.replica_view.suspicions

    run_scenario(scenario)


def test_request_waits_for_a_replica_that_refuses_only_briefly():
    async def scenario(site, daemons):
        daemon = daemons[0]
        for worker in workers(site, "draft-pool"):
            worker.faults.shed, worker.faults.shed_for_s = True, 0.5
        refusals = await asyncio.gather(*(send_draft(daemon, "small") for _ in range(6)))
        for worker in workers(site, "draft-pool"):
            worker.faults.shed = False
        answer = await send_draft(daemon, "small")
        assert (answer.status, answer.complete) == (200, True)
        assert {r.status for r in refusals} <= {200, 503}

    run_scenario(scenario)


def test_all_models_are_served_after_a_member_said_that_it_leaves():
    async def scenario(site, daemons):
        member = next(
            w
            for w in workers(site, "draft-pool")
            if w.engine.group is not None
            and w.engine.group.model == "large"
            and w.engine.group.members[0] != w.id
        )
        member.leaving = True
        group = member.engine.group.name
        await wait_until(
            lambda: all(h.engine.group.name != group for h in heads(site, "large")), 6.0
        )
        await wait_until(lambda: serves_all_models(daemons[0], site))
        assert site.engines.violations == []

    run_scenario(scenario, site_fields={"domain_size": 6})
