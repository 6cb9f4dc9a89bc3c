"""Tests of answers of faulty workers that operators of similar systems reported."""

import asyncio
from collections import Counter

import pytest

from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    send_draft,
    send_request,
    wait_until,
    workers,
)


def run_scenario(scenario, **fields):
    async def run():
        async with hosted_site(**fields) as (site, daemons):
            await scenario(site, daemons[0])

    asyncio.run(run())


@pytest.mark.parametrize("copy_ms", [0.0, 3.0, 15.0])
def test_second_copy_of_a_refusal_is_no_refusal_of_another_request(copy_ms):
    """Guards against REFUSED and TWICE: an earlier refusal once more on a kept connection."""

    async def scenario(site, daemon):
        ledger = workers(site, "ledger")
        answers = []
        for number in range(25):
            for worker in ledger:
                worker.faults.shed_copy_ms = copy_ms
                worker.faults.shed = worker is ledger[number % len(ledger)]
            paths = [("/status/1", "GET"), ("/issue/1", "POST")]
            answers += await asyncio.gather(
                *(send_request(daemon, p, m, body=b"x" if m == "POST" else b"") for p, m in paths)
            )
        runs = site.run_counts()
        refused = [a for a in answers if a.status in (408, 421, 429, 503)]
        assert not [a.request_id for a in refused if runs[a.request_id]]
        issued = Counter(r.request_id for r in site.runs if r.target == "/issue/1")
        assert max(issued.values()) == 1
        assert all(a.status == 200 for a in answers)
        assert sum(w.refused_count for w in ledger) > 0

    run_scenario(scenario)


def test_error_of_the_next_worker_does_not_get_into_a_stream():
    """Guards against ORDER and MIXED: an error's text followed the events of a broken stream."""

    async def scenario(site, daemon):
        serving = heads(site, "small")
        assert len(serving) >= 2
        for worker in serving:
            worker.faults.cut_after = 3
        task = asyncio.create_task(send_draft(daemon, "small"))
        await wait_until(lambda: site.runs)
        for worker in serving:
            worker.faults.fail = worker.id != site.runs[0].worker
        answer = await task
        assert len(site.runs) >= 2
        assert not answer.complete
        assert answer.event_ids == [1, 2, 3]
        assert b"failed" not in answer.body
        assert b"HTTP/1.1" not in answer.body

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/status/1", "/issue/1", "/draft/x"])
def test_answer_that_ends_within_its_head_is_no_success(path):
    """Guards against MIXED: a 200 with an empty body after a worker stopped in its head."""

    async def scenario(site, daemon):
        for worker in site.workers.values():
            worker.faults.cut_head = True
        if path.startswith("/draft"):
            answer = await send_draft(daemon, "small")
        else:
            answer = await send_request(daemon, path, "POST", body=b"x")
        assert (answer.status, answer.complete, answer.body) == (502, True, b"")
        assert site.run_counts()[answer.request_id] >= 1

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["garble", "other_id", "lose_answer"])
def test_request_runs_no_third_time_after_wrong_answers_on_a_kept_connection(fault):
    """Guards against a third run: twice at one worker, then at another one."""

    async def scenario(site, daemon):
        for _ in range(12):
            assert (await send_request(daemon, "/status/1")).status == 200
        for worker in workers(site, "ledger"):
            setattr(worker.faults, fault, True)
        answers = [await send_request(daemon, "/status/1") for _ in range(6)]
        assert all(answer.status == 502 for answer in answers)
        runs = site.run_counts()
        assert [runs[answer.request_id] for answer in answers] == [2] * 6

    run_scenario(scenario)


def test_request_whose_answer_is_lost_on_a_kept_connection_goes_to_another_endpoint():
    """Guards against a second run at the endpoint that lost the answer, and then a third one."""

    async def scenario(site, daemon):
        ledger = workers(site, "ledger")
        for _ in range(12):
            assert (await send_request(daemon, "/status/1")).status == 200
        lossy = ledger[0]
        lossy.faults.lose_answer, lossy.faults.slow_ms = True, 60.0
        answers = [await send_request(daemon, "/status/1") for _ in range(12)]
        assert all(answer.status == 200 for answer in answers)
        runs = Counter((r.request_id, r.worker) for r in site.runs)
        lost = [a for a in answers if (a.request_id, lossy.id) in runs]
        assert lost
        assert all(runs[(answer.request_id, lossy.id)] == 1 for answer in lost)

    run_scenario(scenario)
