"""Tests of what callers get from a daemon whose drain ends before their requests do."""

import asyncio

from corianderhaven.daemon.tests.hosted_site import (
    hosted_site,
    send_draft,
    send_request,
    wait_until,
    workers,
)

GRACE_MS = 2_000.0
LONG_STREAM = {"token_ms": 120.0, "events": 40}  # longer than the grace period


def run_stop(begin, grace_ms=GRACE_MS, site_fields=None, fail=False):
    """Stop a daemon after `begin`; return the site and the answers of the tasks it returns.

    Parameters
    ----------
    begin : coroutine function
        Takes a site and a daemon; returns tasks that send requests.
    fail : bool
        Whether a task of the daemon fails instead of a SIGTERM.
    """

    async def run():
        async with hosted_site(site_fields=site_fields, grace_ms=grace_ms) as (site, daemons):
            daemon = daemons[0]
            tasks = await begin(site, daemon)
            daemon.stop_event = asyncio.Event()
            daemon.failed = fail
            daemon.request_drain()
            await daemon.stop()
            return site, await asyncio.gather(*tasks, return_exceptions=True)

    return asyncio.run(run())


async def fill_model(site, daemon, model="small"):
    """Send long streams until a further one waits; return their tasks and the waiting ones'."""
    queue = daemon.gateway.dispatcher.queues
    running = []
    while not any(q.waiting for q in queue.values()):
        running.append(asyncio.create_task(send_draft(daemon, model)))
        await asyncio.sleep(0.02)
        assert len(running) < 200
    return running[:-1], running[-1:]


def test_requests_that_wait_when_a_drain_ends_are_refused():
    """Guards against LOST: waiting requests were closed without an answer after a SIGTERM."""

    async def begin(site, daemon):
        running, waiting = await fill_model(site, daemon)
        return [*waiting, *running]

    site, answers = run_stop(begin, site_fields=LONG_STREAM)
    refused = answers[0]
    assert not isinstance(refused, Exception), refused
    assert (refused.status, refused.complete) == (503, True)
    assert float(refused.header("retry-after")) > 0
    assert refused.request_id not in site.run_counts()


def test_streams_that_a_drain_cuts_off_do_not_look_complete():
    async def begin(site, daemon):
        task = asyncio.create_task(send_draft(daemon, "small"))
        await wait_until(lambda: any(r.target == "/draft/x" for r in site.runs))
        return [task]

    _, answers = run_stop(begin, site_fields=LONG_STREAM)
    assert answers[0].status == 200
    assert not answers[0].complete


def check_hanging_request(**fields):
    async def begin(site, daemon):
        for worker in workers(site, "ledger"):
            worker.faults.slow_ms = 10_000.0
        task = asyncio.create_task(send_request(daemon, "/issue/1", "POST", body=b"x"))
        await wait_until(lambda: daemon.gateway.in_flight)
        await asyncio.sleep(0.2)
        return [task]

    site, answers = run_stop(begin, **fields)
    assert not isinstance(answers[0], Exception), answers[0]
    assert (answers[0].status, answers[0].complete) == (504, True)
    assert site.run_counts()[answers[0].request_id] <= 1


def test_request_that_an_endpoint_has_when_a_drain_ends_is_answered_as_unknown():
    """Guards against LOST: a request at a silent endpoint was closed without an answer."""
    check_hanging_request()


def test_requests_are_answered_when_a_task_of_the_daemon_fails():
    """Guards against LOST: all connections were closed when a background task had failed."""
    check_hanging_request(fail=True)
