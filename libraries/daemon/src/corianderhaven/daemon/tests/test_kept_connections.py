"""Tests of requests on kept connections to workers, through a real daemon."""

import asyncio
from collections import Counter

import pytest

from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    send_draft,
    send_request,
    workers,
)
from corianderhaven.standins import HostedModel


def run_scenario(scenario, **fields):
    async def run():
        async with hosted_site(**fields) as (site, daemons):
            await scenario(site, daemons[0])

    asyncio.run(run())


def runs_on_used_connections(site):
    """Return the runs other than the first one on their connection."""
    seen, later = set(), []
    for run in site.runs:
        if (run.worker, run.connection) in seen:
            later.append(run)
        seen.add((run.worker, run.connection))
    return later


def test_connections_are_used_again_but_not_for_single_sends():
    """31,623 connections were opened for some 20,000 requests."""

    async def scenario(site, daemon):
        for _ in range(20):
            assert (await send_draft(daemon, "small")).complete
            assert (await send_request(daemon, "/status/1")).status == 200
            assert (await send_request(daemon, "/issue/1", "POST", body=b"{}")).status == 200
        later = Counter(run.target.split("/")[1] for run in runs_on_used_connections(site))
        assert later["draft"] >= 15
        assert later["status"] >= 15
        assert later["issue"] == 0
        assert len(site.runs) == 60

    run_scenario(scenario)


def test_dropped_connection_costs_the_caller_nothing():
    async def scenario(site, daemon):
        for worker in site.workers.values():
            worker.faults.drop_idle = True
        for _ in range(12):
            draft = await send_draft(daemon, "small")
            assert draft.complete
            assert draft.event_ids == list(range(1, site.events + 1))
            assert (await send_request(daemon, "/status/1")).status == 200
            issue = await send_request(daemon, "/issue/1", "POST", body=b"{}")
            assert (issue.status, site.run_counts()[issue.request_id]) == (200, 1)
        assert set(site.run_counts().values()) == {1}
        assert daemon.gateway.replica_view.suspicions == {}

    run_scenario(scenario)


@pytest.mark.parametrize("late_copy_ms", [0.0, 3.0, 15.0])
def test_late_copy_of_an_answer_reaches_no_other_caller(late_copy_ms):
    async def scenario(site, daemon):
        for worker in workers(site, "ledger"):
            worker.faults.late_copy_ms = late_copy_ms
        for number in range(25):
            answers = await asyncio.gather(
                *(send_request(daemon, "/status/1") for _ in range(1 + number % 3))
            )
            for answer in answers:
                assert answer.status == 200
                assert answer.header("corianderhaven-attempt-id") == answer.request_id

    run_scenario(scenario)


def test_kept_connection_that_fell_silent_is_replaced():
    async def scenario(site, daemon):
        for _ in range(4):
            assert (await send_draft(daemon, "small")).complete
        for kept in daemon.gateway.sender.pool.idle.values():
            for idle in kept:
                idle.connection.transport.pause_reading()  # answers never arrive
        answer = await send_draft(daemon, "small")
        assert answer.complete
        assert answer.event_ids == list(range(1, site.events + 1))

    run_scenario(scenario)


def test_stream_on_a_kept_connection_leaves_a_head_that_lost_its_member():
    """A request that gets no answer on a kept connection goes to another head, not the same."""

    async def scenario(site, daemon):
        for _ in range(8):
            assert (await send_draft(daemon, "large")).complete
        serving = heads(site, "large")
        assert len(serving) >= 2
        site.kill(serving[0].engine.group.members[1])
        for _ in range(6):
            answer = await send_draft(daemon, "large")
            assert (answer.status, answer.complete) == (200, True)
            assert answer.event_ids == list(range(1, site.events + 1))

    models = [HostedModel("large", 2, 400.0, 100.0, share=1.0)]
    run_scenario(scenario, site_fields={"models": models, "token_ms": 30.0})
