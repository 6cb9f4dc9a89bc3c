"""Tests of requests that crash the workers that run them, over several daemons."""

import asyncio
import itertools

import pytest

from corianderhaven.common import MS_PER_S
from corianderhaven.daemon.tests.hosted_load import load, wait_ms
from corianderhaven.daemon.tests.hosted_site import (
    hosted_site,
    send_draft,
    send_request,
    wait_until,
)

CONTACT_MS = 3_000.0  # bound of the platform for daemons to learn from each other
ENDS_TO_KNOW = 3  # ends of workers after which the platform takes a request for known
MAX_SENDS_MORE = 3  # of it, in all, later than `CONTACT_MS` after the last of these ends
MIN_SERVED_SHARE = 0.5  # of sound requests, relative to the time before the first end
SITE = {"zones": ["a", "b", "c"], "plain_workers": 3, "domain_size": 8}
DAEMONS = 3
RESTART_MS = 700.0
BAD_INTERVAL_MS = 150.0
SOUND_INTERVAL_MS = 60.0
FIRST_ENDS_S = 12.0
sound_numbers = itertools.count()


async def send_sound(daemon):
    return await send_request(daemon, f"/status/{next(sound_numbers)}")


def send_status(daemon):
    return send_request(daemon, "/status/bad")


def send_issue(daemon):
    return send_request(daemon, "/issue/bad", "POST", body=b"{}")


def send_bad_draft(daemon):
    """Send a draft all of whose parts sound requests hold as well."""
    headers = [
        ("corianderhaven-model", "small"),
        ("corianderhaven-token-count", "100,40"),
        ("corianderhaven-prompt-prefix", "5c1e07a2:40,91bd3f06:60"),
    ]
    return send_request(daemon, "/draft/bad", "POST", body=b"{}", headers=headers)


def served_share(answers):
    return sum(a is not None and a.status == 200 and a.complete for a in answers) / len(answers)


@pytest.mark.parametrize("new_id", [False, True])
@pytest.mark.parametrize(
    ("target", "send_bad", "send_good"),
    [
        ("/status/bad", send_status, send_sound),
        ("/issue/bad", send_issue, send_sound),
        ("/draft/bad", send_bad_draft, send_draft),
    ],
)
def test_a_request_that_crashes_workers_ends_no_more_than_needed(
    target, send_bad, send_good, new_id
):
    """Only parts of prompts were blamed: twelve workers ended instead of three."""

    async def scenario():
        async with hosted_site(DAEMONS, SITE) as (site, daemons):
            site.crash_restart_ms, site.new_id_after_crash = RESTART_MS, new_id
            site.crashing_targets = {target}
            async with load(daemons, send_good, SOUND_INTERVAL_MS) as sound:
                await wait_ms(site.clock, CONTACT_MS / 2)
                before = list(sound)
                async with load(daemons, send_bad, BAD_INTERVAL_MS):
                    await wait_until(lambda: len(site.ended_workers) >= ENDS_TO_KNOW, FIRST_ENDS_S)
                    known_ms = site.ended_workers[ENDS_TO_KNOW - 1].at_ms
                    await wait_ms(site.clock, CONTACT_MS)
                    first_late = len(sound)
                    await wait_ms(site.clock, 2 * CONTACT_MS)
            more = [a for a in site.arrivals_with_part if a.at_ms > known_ms + CONTACT_MS]
            assert len(more) <= MAX_SENDS_MORE, (
                f"{len(more)} sends later than {CONTACT_MS:.0f} ms after {ENDS_TO_KNOW} ends; "
                f"{len(site.ended_workers)} workers ended"
            )
            shares = served_share(before), served_share(sound[first_late:])
            assert shares[1] >= MIN_SERVED_SHARE * shares[0], shares

    asyncio.run(scenario())


def test_caller_is_told_at_once_and_truly_that_a_known_request_was_not_run():
    async def scenario():
        async with hosted_site(DAEMONS, SITE) as (site, daemons):
            site.crash_restart_ms = RESTART_MS
            site.crashing_targets = {"/status/bad"}
            async with load(daemons, send_status, BAD_INTERVAL_MS):
                await wait_until(lambda: len(site.ended_workers) >= ENDS_TO_KNOW, FIRST_ENDS_S)
                await wait_ms(site.clock, CONTACT_MS + MS_PER_S)
            began_ms = site.clock.now_ms()
            answer = await send_status(daemons[0])
            assert site.clock.now_ms() - began_ms < CONTACT_MS / 10
            assert answer.status == 503
            assert float(answer.header("retry-after")) > CONTACT_MS / MS_PER_S
            assert site.run_counts()[answer.request_id] == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("send_one", [send_status, send_issue])
def test_sound_request_of_many_callers_is_no_culprit(send_one):
    """The same request is in flight on several workers whenever another one ends them."""

    async def scenario():
        async with hosted_site(DAEMONS, SITE) as (site, daemons):
            site.crash_restart_ms = RESTART_MS
            site.crashing_targets = {"/status/other"}
            for worker in site.workers.values():
                worker.faults.slow_ms = 30.0 if worker.engine is None else 0.0
            async with load(daemons, send_one, SOUND_INTERVAL_MS) as sound:
                async with load(
                    daemons, lambda d: send_request(d, "/status/other"), BAD_INTERVAL_MS
                ):
                    await wait_until(lambda: len(site.ended_workers) >= ENDS_TO_KNOW, FIRST_ENDS_S)
                    await wait_ms(site.clock, CONTACT_MS)
                first_late = len(sound)
                await wait_ms(site.clock, CONTACT_MS)
            assert served_share(sound[first_late:]) >= MIN_SERVED_SHARE

    asyncio.run(scenario())
