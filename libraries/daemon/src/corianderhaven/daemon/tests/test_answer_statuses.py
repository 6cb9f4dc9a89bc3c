"""Tests of workers whose answers have a status that is none, or that promises what they don't say.

The workers write the status as raw bytes, so that no client library decides what is possible.
"""

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
from corianderhaven.daemon.tests.partition import HANG, partitionable
from corianderhaven.fleet import OrderResult

INVALID = [b"000", b"099", b"199", b"600", b"999", b"20", b"2000", b"-20", b"2x0", b""]
PROMISES = (408, 429, 503)
KINDS = ("status", "issue", "draft")
REQUESTS = 6
FORWARDING_TIMEOUT_S = 5.0


def run_scenario(scenario, daemons=1, **fields):
    async def run():
        async with hosted_site(daemons, **fields) as (site, running):
            await wait_until(lambda: all(len(d.peers.peers) == daemons - 1 for d in running))
            await scenario(site, running)

    asyncio.run(run())


def send(daemon, kind):
    if kind == "draft":
        return send_draft(daemon, "small")
    if kind == "issue":
        return send_request(daemon, "/issue/1", "POST", body=b"x")
    return send_request(daemon, "/status/1")


def give_status(site, status, affected=lambda worker: True, **faults):
    for worker in filter(affected, site.workers.values()):
        worker.faults.status = status or b" "
        for name, value in faults.items():
            setattr(worker.faults, name, value)


def was_forwarded(daemon):
    return any(
        entry["event"] == "request_forwarded" and entry["result"] == "complete"
        for entry in daemon.decisions.entries
    )


def check_single_runs(site):
    runs = Counter(run.request_id for run in site.runs if run.target.startswith("/issue/"))
    assert max(runs.values(), default=0) <= 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", INVALID)
def test_answer_whose_status_is_none_reaches_no_caller(status, kind):
    """Guards against MIXED: 600 and 999 reached callers as their status."""

    async def scenario(site, daemons):
        give_status(site, status)
        answers = await asyncio.gather(*(send(daemons[0], kind) for _ in range(REQUESTS)))
        assert {a.status for a in answers} == {502}
        assert all(a.header("corianderhaven-server-stamp") is None for a in answers)
        check_single_runs(site)

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["status", "draft"])
@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_request_that_may_run_again_is_answered_by_a_sound_worker(status, kind):
    async def scenario(site, daemons):
        service = "draft-pool" if kind == "draft" else "ledger"
        faulty = workers(site, service)[0]
        give_status(site, status, lambda worker: worker is faulty)
        answers = [await send(daemons[0], kind) for _ in range(REQUESTS)]
        assert {a.status for a in answers} == {200}
        assert all(a.complete for a in answers)

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["status", "draft"])
@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_answer_whose_status_is_none_is_none_on_a_kept_connection(status, kind):
    async def scenario(site, daemons):
        for _ in range(8):
            assert (await send(daemons[0], kind)).status == 200
        give_status(site, status)
        answers = [await send(daemons[0], kind) for _ in range(REQUESTS)]
        assert {a.status for a in answers} == {502}
        seen = {(run.worker, run.connection) for run in site.runs[:8]}
        assert any((run.worker, run.connection) in seen for run in site.runs[8:])

    run_scenario(scenario)


@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_resumed_stream_gets_no_answer_whose_status_is_none(status):
    async def scenario(site, daemons):
        for worker in heads(site, "small"):
            worker.faults.cut_after = 3
        task = asyncio.create_task(send(daemons[0], "draft"))
        await wait_until(lambda: site.runs)
        give_status(site, status, lambda worker: worker.id != site.runs[0].worker)
        answer = await task
        assert answer.status == 200
        assert answer.event_ids == [1, 2, 3]
        assert not answer.complete

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_answer_whose_status_is_none_reaches_no_caller_by_way_of_a_peer(status, kind):
    async def scenario(site, daemons):
        with partitionable(site) as links:
            links.cut(daemons[0], HANG)
            async with asyncio.timeout(FORWARDING_TIMEOUT_S):
                while not was_forwarded(daemons[0]):
                    await send(daemons[0], kind)
            give_status(site, status)
            answers = await asyncio.gather(*(send(daemons[0], kind) for _ in range(REQUESTS)))
        assert {a.status for a in answers} <= {502, 503}
        assert any(a.status == 502 for a in answers)
        check_single_runs(site)

    run_scenario(scenario, daemons=2)


@pytest.mark.parametrize("status", [b"408", b"429", b"503"])
@pytest.mark.parametrize("kind", ["issue", "draft"])
def test_status_that_promises_not_to_have_run_needs_the_workers_word(kind, status):
    """Guards against REFUSED: a request that had run was answered as if it hadn't."""

    async def scenario(site, daemons):
        give_status(site, status)
        answers = [await send(daemons[0], kind) for _ in range(REQUESTS)]
        ran = site.run_counts()
        assert all(ran[a.request_id] for a in answers)
        assert not [a.status for a in answers if a.status in PROMISES]
        check_single_runs(site)

    run_scenario(scenario)


@pytest.mark.parametrize("status", [b"302", b"304", b"401", b"404"])
@pytest.mark.parametrize("kind", KINDS)
def test_error_without_a_workers_stamp_is_no_final_answer(kind, status):
    """Guards against DENIED: callers don't come back after these, whoever sent them."""

    async def scenario(site, daemons):
        give_status(site, status, omitted_headers=(b"corianderhaven-server-stamp",))
        answers = [await send(daemons[0], kind) for _ in range(REQUESTS)]
        assert {a.status for a in answers} == {502}

    run_scenario(scenario)


@pytest.mark.parametrize("status", [b"400", b"404", b"409", b"500", b"504", b"599"])
@pytest.mark.parametrize("kind", KINDS)
def test_error_of_a_worker_is_returned_unchanged(kind, status):
    async def scenario(site, daemons):
        give_status(site, status)
        answers = [await send(daemons[0], kind) for _ in range(REQUESTS)]
        assert {a.status for a in answers} == {int(status)}
        assert all(a.header("corianderhaven-server-stamp") for a in answers)

    run_scenario(scenario)


@pytest.mark.parametrize("status", [b"204", b"205", b"206"])
def test_success_without_events_is_no_answer_to_a_stream(status):
    """Guards against ORDER: a stream of no events looked complete."""

    async def scenario(site, daemons):
        give_status(site, status)
        answers = [await send(daemons[0], "draft") for _ in range(REQUESTS)]
        assert not [a for a in answers if 200 <= a.status < 300]

    run_scenario(scenario)


@pytest.mark.parametrize(("headers", "status"), [((), 502), ((("range", "bytes=0-3"),), 206)])
def test_part_of_an_answer_goes_to_callers_who_asked_for_one_only(headers, status):
    """Guards against MIXED: a part looked like the whole answer."""

    async def scenario(site, daemons):
        give_status(site, b"206")
        answers = [
            await send_request(daemons[0], "/status/1", headers=headers) for _ in range(REQUESTS)
        ]
        assert {a.status for a in answers} == {status}

    run_scenario(scenario)


@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_orders_and_reports_whose_status_is_none_count_as_unanswered(status):
    """An engine whose control answers are garbled is left alone, and the others serve."""

    async def scenario(site, daemons):
        garbled = workers(site, "draft-pool")[0]
        site.garbled_control = {garbled.id: status}
        daemons[0].keeper.suspect(garbled.id, "test")
        report = await daemons[0].orders.report(daemons[0].directory.get(garbled.id), 300.0)
        assert report is None
        result = await daemons[0].orders.stage(daemons[0].directory.get(garbled.id), "small")
        assert result is OrderResult.UNKNOWN
        answers = [await send(daemons[0], "draft") for _ in range(REQUESTS)]
        assert {a.status for a in answers} == {200}

    run_scenario(scenario)
