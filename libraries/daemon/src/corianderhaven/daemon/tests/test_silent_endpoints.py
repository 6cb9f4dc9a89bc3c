"""Tests of requests at endpoints that send nothing for a while and are sound."""

import asyncio
import random
from collections import Counter

import pytest

from corianderhaven.common import MS_PER_S
from corianderhaven.daemon.tests.hosted_load import load, wait_ms
from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    send_draft,
    send_request,
    wait_until,
    workers,
)

PAUSE_MS = 1_300.0
EVENTS = 40
MIN_SERVED_SHARE = 0.5  # with a silence for a third of the time
SITE = {"zones": ["a", "b"], "domain_size": 6, "token_ms": 20.0, "events": EVENTS}
FEW_RETRIES = {"retry_slack": 24.0, "retry_ratio": 0.05}


def run_scenario(scenario, daemons=2, site_fields=None, **settings):
    async def run():
        fields = {**SITE, **(site_fields or {})}
        async with hosted_site(daemons, fields, **settings) as (site, running):
            await wait_until(lambda: all(len(d.peers.peers) == daemons - 1 for d in running))
            await scenario(site, running)

    asyncio.run(run())


async def pause(site, paused, pause_ms=PAUSE_MS):
    ids = [worker.id for worker in paused]
    site.pause(ids)
    await asyncio.sleep(pause_ms / MS_PER_S)
    site.resume(ids)


def engines(site):
    return workers(site, "draft-pool")


def outcomes(daemons):
    entries = [entry for daemon in daemons for entry in daemon.decisions.entries]
    return Counter(e["outcome"] for e in entries if e["event"] == "request_ended")


def broken_off(daemons):
    return [outcome for outcome in outcomes(daemons) if outcome.startswith("broken_off")]


def check_streams(answers, daemons):
    assert broken_off(daemons) == []
    cut = [a for a in answers if a is None or (a.status == 200 and not a.complete)]
    assert not cut
    served = [a for a in answers if a.status == 200]
    assert len(served) >= MIN_SERVED_SHARE * len(answers), outcomes(daemons)
    assert all(a.event_ids == list(range(1, EVENTS + 1)) for a in served)
    return served


@pytest.mark.parametrize("settings", [{}, FEW_RETRIES], ids=["budget", "few_retries"])
@pytest.mark.parametrize("share", [1.0, 0.6])
@pytest.mark.parametrize("pause_ms", [500.0, PAUSE_MS])
def test_streams_end_whole_when_their_endpoints_were_only_silent(share, pause_ms, settings):
    """Guards against LOST: streams were cut as sound endpoints stood still for a second."""

    async def scenario(site, daemons):
        async with load(daemons, send_draft, 40.0) as answers:
            await wait_ms(site.clock, 800.0)
            paused = engines(site)
            paused = random.Random(1).sample(paused, round(share * len(paused)))
            await pause(site, paused, pause_ms)
            await wait_ms(site.clock, 1_500.0)
        check_streams(answers, daemons)

    run_scenario(scenario, **settings)


@pytest.mark.parametrize("share", [1.0, 0.4])
def test_streams_end_whole_when_heads_of_larger_replicas_were_silent(share):
    """Guards against LOST: a head lost its members while it was silent, and broke its streams."""

    async def scenario(site, daemons):
        def send(daemon):
            return send_draft(daemon, "large")

        async with load(daemons, send, 60.0) as answers:
            await wait_ms(site.clock, 800.0)
            for number in range(3):
                paused = heads(site, "large")
                paused = random.Random(number).sample(paused, max(1, round(share * len(paused))))
                await pause(site, paused, 1_000.0)
                await wait_ms(site.clock, 700.0)
            await wait_ms(site.clock, 1_500.0)
        check_streams(answers, daemons)

    run_scenario(scenario, site_fields={"domain_size": 12})


def test_streams_end_whole_when_their_endpoints_are_silent_again_and_again():
    """Guards against LOST: a stream that was taken over met a second silence without a way on."""

    async def scenario(site, daemons):
        async with load(daemons, send_draft, 40.0) as answers:
            await wait_ms(site.clock, 800.0)
            for number in range(4):
                paused = random.Random(number).sample(engines(site), len(engines(site)) // 2)
                await pause(site, paused, 700.0)
                await wait_ms(site.clock, 250.0)
            await wait_ms(site.clock, 1_500.0)
        check_streams(answers, daemons)

    run_scenario(scenario, **FEW_RETRIES)


def test_requests_that_come_while_all_endpoints_are_silent_are_served():
    """Guards against refusals: all replicas were suspected, and callers told that none serves."""

    async def scenario(site, daemons):
        async with load(daemons, send_draft, 60.0):
            await wait_ms(site.clock, 600.0)
            silence = asyncio.create_task(pause(site, engines(site)))
            await wait_ms(site.clock, 400.0)
            drafts = [asyncio.create_task(send_draft(daemons[n % 2])) for n in range(10)]
            answers = await asyncio.gather(*drafts)
            await silence
        assert [a.status for a in answers] == [200] * len(answers)
        check_streams(answers, daemons)

    run_scenario(scenario)


@pytest.mark.parametrize("settings", [{}, FEW_RETRIES], ids=["budget", "few_retries"])
def test_slow_idempotent_requests_are_answered_while_their_endpoints_work(settings):
    """Guards against 502: attempts were given up, and the retries for them weren't left."""

    async def scenario(site, daemons):
        slow = random.Random(1)
        for worker in workers(site, "ledger"):
            worker.faults.slow_ms = slow.uniform(300.0, 600.0)
        requests = [
            asyncio.create_task(send_request(daemons[n % 2], "/status/1")) for n in range(60)
        ]
        answers = await asyncio.gather(*requests)
        assert {a.status for a in answers} == {200}, outcomes(daemons)

    run_scenario(scenario, site_fields={"plain_workers": 3}, **settings)


@pytest.mark.parametrize(("path", "method"), [("/status/1", "GET"), ("/issue/1", "POST")])
def test_plain_requests_are_answered_after_the_silence_of_all_their_endpoints(path, method):
    async def scenario(site, daemons):
        def send(daemon):
            body = b"x" if method == "POST" else b""
            return send_request(daemon, path, method, body=body)

        async with load(daemons, send, 20.0) as answers:
            await wait_ms(site.clock, 500.0)
            await pause(site, workers(site, "ledger"))
            await wait_ms(site.clock, 500.0)
        assert {a.status for a in answers if a is not None} == {200}
        assert None not in answers
        if method == "POST":
            assert max(site.run_counts().values()) == 1

    run_scenario(scenario, **FEW_RETRIES)


def test_stream_goes_on_elsewhere_when_its_endpoint_stays_silent():
    """The pause of a stream at a lost endpoint is a part of a second, not its whole time."""

    async def scenario(site, daemons):
        daemon = daemons[0]
        drafts = [asyncio.create_task(send_draft(daemon)) for _ in range(6)]
        await asyncio.sleep(0.3)
        lost = [head for head in heads(site, "small") if head.active][:1]
        assert lost
        site.pause([head.id for head in lost])
        answers = await asyncio.gather(*drafts)
        check_streams(answers, daemons)
        ended = [e for e in daemon.decisions.entries if e["event"] == "request_ended"]
        assert max(e["pause_ms"] for e in ended) < 700.0

    run_scenario(scenario)


def test_change_of_configuration_ends_no_stream():
    """Control: the same load without a silence."""

    async def scenario(site, daemons):
        async with load(daemons, send_draft, 40.0) as answers:
            for _ in range(4):
                await wait_ms(site.clock, 400.0)
                site.publish_config()
        assert len(check_streams(answers, daemons)) == len(answers)

    run_scenario(scenario)
