"""Tests, through a real daemon, of workers' answers that have neither a length nor chunks."""

import asyncio

import pytest

from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    send_draft,
    send_request,
    wait_until,
    workers,
)
from corianderhaven.standins import HostedModel

MAX_DRAFTS = 60


def run_scenario(scenario, **fields):
    async def run():
        async with hosted_site(**fields) as (site, daemons):
            for worker in site.workers.values():
                worker.faults.unframed = True
            await scenario(site, daemons[0])

    asyncio.run(run())


async def give_fault(site, daemon, **faults):
    """Give faults to the head that serves a draft, which is then likely to get others."""
    assert len(heads(site, "small")) >= 2
    assert (await send_draft(daemon, "small")).complete
    faulty = site.workers[site.runs[-1].worker]
    site.runs.clear()
    for name, value in faults.items():
        setattr(faulty.faults, name, value)
    return faulty


async def draft_until_run_by(site, daemon, worker):
    """Yield the answers of drafts up to the first that ran at `worker`."""
    for _ in range(MAX_DRAFTS):
        yield await send_draft(daemon, "small")
        if any(run.worker == worker.id for run in site.runs):
            return
    pytest.fail(f"no draft of {MAX_DRAFTS} ran at {worker.id}")


async def make_drafts_not_resumable(site, daemon):
    for route in site.routes:
        if route["name"] == "draft":
            route["resumable"] = False
    site.publish_config()
    await wait_until(lambda: daemon.active_config.config.version == site.config_version)


def test_whole_answers_are_forwarded_and_their_connections_not_kept():
    async def scenario(site, daemon):
        for _ in range(6):
            draft = await send_draft(daemon, "small")
            assert (draft.status, draft.complete) == (200, True)
            assert draft.event_ids == list(range(1, site.events + 1))
            assert draft.header("transfer-encoding") == "chunked"
            status = await send_request(daemon, "/status/1")
            assert (status.status, status.complete) == (200, True)
            assert int(status.header("content-length")) == len(status.body)
            assert not any(daemon.gateway.sender.pool.idle.values())
        assert set(site.run_counts().values()) == {1}

    run_scenario(scenario)


def test_plain_answer_that_is_reset_is_sent_again_or_reported_as_unknown():
    async def scenario(site, daemon):
        first, second = workers(site, "ledger")
        first.faults.reset = True
        for _ in range(6):
            answer = await send_request(daemon, "/status/1")
            assert answer.status == 200
            assert answer.body == b"whole answer of " + second.id.encode()
        second.faults.reset = True
        issue = await send_request(daemon, "/issue/1", "POST", body=b"x")
        assert (issue.status, issue.header("corianderhaven-server-stamp")) == (502, None)
        assert site.run_counts()[issue.request_id] == 1

    run_scenario(scenario)


def test_stream_that_ends_inside_an_event_goes_on_elsewhere():
    async def scenario(site, daemon):
        faulty = await give_fault(site, daemon, cut_after=3)
        async for answer in draft_until_run_by(site, daemon, faulty):
            assert answer.complete
            assert answer.event_ids == list(range(1, site.events + 1))
        first, resumed = site.runs[-2:]
        assert (first.worker, first.after, resumed.after) == (faulty.id, None, "3")
        assert resumed.worker != faulty.id

    run_scenario(scenario)


def test_stream_that_ends_inside_an_event_and_cannot_resume_does_not_look_complete():
    async def scenario(site, daemon):
        await make_drafts_not_resumable(site, daemon)
        for head in heads(site, "small"):
            head.faults.cut_after = 3
        answer = await send_draft(daemon, "small")
        assert (answer.status, answer.complete, answer.event_ids) == (200, False, [1, 2, 3])
        assert site.run_counts()[answer.request_id] == 1

    run_scenario(scenario)


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


@pytest.mark.parametrize("resumable", [True, False])
def test_stream_that_ends_before_its_first_event_is_not_complete(resumable):
    """A worker that closed after the head gave an empty stream that looked complete."""

    async def scenario(site, daemon):
        if not resumable:
            await make_drafts_not_resumable(site, daemon)
        faulty = await give_fault(site, daemon, no_events=True)
        async for answer in draft_until_run_by(site, daemon, faulty):
            assert answer.status == 200
        runs = [run.worker for run in site.runs if run.request_id == answer.request_id]
        if resumable:
            assert answer.complete
            assert answer.event_ids == list(range(1, site.events + 1))
            assert (len(runs), runs[0]) == (2, faulty.id)
        else:
            assert (answer.complete, answer.event_ids) == (False, [])
            assert runs == [faulty.id]

    run_scenario(scenario)


def test_stream_resumed_after_its_last_event_may_be_empty():
    async def scenario(site, daemon):
        answer = await send_draft(daemon, "small", [("last-event-id", str(site.events))])
        assert (answer.status, answer.complete, answer.event_ids) == (200, True, [])
        assert site.run_counts()[answer.request_id] == 1

    run_scenario(scenario)
