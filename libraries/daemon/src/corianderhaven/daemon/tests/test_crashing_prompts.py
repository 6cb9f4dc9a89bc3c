"""Tests of prompts that crash the engines that write on them, over several daemons."""

import asyncio
import itertools
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from corianderhaven.cli import main
from corianderhaven.common import MS_PER_S, ConnectionLostError
from corianderhaven.daemon._fleet_daemon import FleetDaemon
from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    node_settings,
    send_request,
    serves_all_models,
    wait_until,
)
from corianderhaven.gateway import Verdict

BAD_PART = "7d90b1c3"
BAD_PROMPT = f"5c1e07a2:40,{BAD_PART}:60"
SOUND_PROMPTS = [f"5c1e07a2:40,{part}:60" for part in ("91bd3f06", "e4402b7d", "38f2c6aa")]
CONTACT_MS = 3_000.0  # bound of the platform for daemons to learn from each other
ENDS_TO_SUSPECT = 2  # ends of workers after which no request is repeated under the part
ENDS_TO_KNOW = 5  # ends of workers after which the platform takes a part for known
MAX_SENDS_MORE = 3  # with the part, in all, later than `CONTACT_MS` after the last of these ends
MIN_SERVED_SHARE = 0.5  # of sound requests, relative to the time before the first end
MIN_REQUESTS = 20
LOST_SHARE = 0.15
RESTART_MS = 500.0
RECOVERY_S = 12.0  # in which a platform that lost all daemons serves again
BAD_INTERVAL_MS = 120.0
SOUND_INTERVAL_MS = 50.0
MIN_REPLICAS = 12
own_parts = itertools.count(0x1000)
own_paths = itertools.count()


@asynccontextmanager
async def site_with_many_replicas(daemons):
    """Start daemons and a site on which ended workers leave replicas of each model."""
    fields = {"zones": ["a", "b", "c"], "domain_size": 8, "token_ms": 10.0}
    async with hosted_site(daemons, fields) as (site, running):
        site.crash_restart_ms = RESTART_MS
        await wait_until(
            lambda: len(heads(site, "small")) + len(heads(site, "large")) >= MIN_REPLICAS
        )
        yield site, running


@dataclass
class Sent:
    """A request that was sent once."""

    at_ms: float
    prompt: str
    served: bool | None = None


class Load:
    """Sends requests of some prompts to the daemons in turn, each once, while in context."""

    def __init__(self, site, daemons, prompts, interval_ms):
        self.clock = site.clock
        self.interval_ms = interval_ms
        self.daemons = itertools.cycle(daemons)
        self.models = itertools.cycle(["small"] * 3 + ["large"] * 2)
        self.prompts = itertools.cycle(prompts)
        self.sent = []
        self.stopped = False

    async def __aenter__(self):
        self.task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, kind, error, trace):
        self.stopped = True
        if kind is not None:
            self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=kind is not None)

    async def _run(self):
        async with asyncio.TaskGroup() as group:
            while not self.stopped:
                sent = Sent(self.clock.now_ms(), next(self.prompts))
                self.sent.append(sent)
                group.create_task(send(next(self.daemons), next(self.models), sent))
                await asyncio.sleep(self.interval_ms / MS_PER_S)

    def ended(self):
        return [s for s in self.sent if s.served is not None]

    def since(self, from_ms):
        return [s for s in self.sent if s.at_ms >= from_ms]


async def send(daemon, model, sent):
    headers = [
        ("corianderhaven-model", model),
        ("corianderhaven-token-count", "120,40"),
        ("corianderhaven-prompt-prefix", f"{sent.prompt},{next(own_parts):x}:20"),
    ]
    path = f"/draft/{next(own_paths)}"  # no two requests with a part are alike
    try:
        answer = await send_request(daemon, path, "POST", body=b"{}", headers=headers)
    except ConnectionLostError:
        sent.served = False
    else:
        sent.served = answer.status == 200 and answer.complete


def served_share(requests):
    assert len(requests) >= MIN_REQUESTS
    return sum(s.served for s in requests) / len(requests)


async def wait_for_time(clock, at_ms):
    await wait_until(lambda: clock.now_ms() >= at_ms, 2 * CONTACT_MS / MS_PER_S + 1.0)


async def wait_for_ends(site, count):
    """Return when the last of `count` workers ended, or now if fewer end within `CONTACT_MS`."""
    try:
        await wait_until(lambda: len(site.ended_workers) >= count, CONTACT_MS / MS_PER_S)
    except TimeoutError:
        assert site.ended_workers
        return site.clock.now_ms()
    return site.ended_workers[count - 1].at_ms


@pytest.mark.parametrize("new_id", [False, True])
def test_a_part_that_crashes_endpoints_ends_no_more_than_needed(new_id):
    """Each daemon took each end for bad luck and repeated the request: 54 ended instead of 5."""

    async def scenario():
        async with site_with_many_replicas(daemons=4) as (site, daemons):
            site.crashing_parts, site.new_id_after_crash = {BAD_PART}, new_id
            async with Load(site, daemons, SOUND_PROMPTS, SOUND_INTERVAL_MS) as sound:
                await wait_until(lambda: len(sound.ended()) >= MIN_REQUESTS)
                before = sound.ended()
                async with Load(site, daemons, [BAD_PROMPT], BAD_INTERVAL_MS) as bad:
                    known_ms = await wait_for_ends(site, ENDS_TO_KNOW)
                    later_ms = known_ms + 2 * CONTACT_MS
                    await wait_for_time(site.clock, later_ms)
                    await wait_until(lambda: len(sound.since(later_ms)) >= MIN_REQUESTS)
        assert len(bad.since(known_ms + CONTACT_MS)) >= MIN_REQUESTS
        more = [a for a in site.arrivals_with_part if a.at_ms > known_ms + CONTACT_MS]
        shares = served_share(before), served_share(sound.since(later_ms))
        assert len(more) <= MAX_SENDS_MORE, (
            f"{len(more)} sends with the part later than {CONTACT_MS:.0f} ms after "
            f"{ENDS_TO_KNOW} ends; {len(site.ended_workers)} workers ended; "
            f"share of sound requests served {shares[0]:.2f} before, {shares[1]:.2f} after"
        )
        assert shares[1] >= MIN_SERVED_SHARE * shares[0], shares

    asyncio.run(scenario())


def test_a_stream_that_breaks_under_a_suspected_part_is_not_sent_to_a_second_endpoint():
    """Each request with the part ended two workers, however many had ended before."""

    async def scenario():
        async with site_with_many_replicas(daemons=3) as (site, daemons):
            site.crashing_parts = {BAD_PART}
            for _ in range(ENDS_TO_KNOW):
                if len(site.ended_workers) < ENDS_TO_SUSPECT:
                    await send(daemons[0], "small", Sent(site.clock.now_ms(), BAD_PROMPT))
            suspected_ms = site.ended_workers[-1].at_ms + CONTACT_MS
            await wait_for_time(site.clock, suspected_ms)
            for daemon in daemons:
                await send(daemon, "small", Sent(site.clock.now_ms(), BAD_PROMPT))
        later = [a for a in site.arrivals_with_part if a.at_ms >= suspected_ms]
        sends = Counter(arrival.request_id for arrival in later)
        assert all(count == 1 for count in sends.values()), sends

    asyncio.run(scenario())


def test_ordinary_losses_leave_all_parts_served():
    """Many workers that end at once break streams that share a part, which isn't the cause."""

    async def scenario():
        async with site_with_many_replicas(daemons=4) as (site, daemons):
            interval_ms = SOUND_INTERVAL_MS / len(SOUND_PROMPTS)
            async with Load(site, daemons, SOUND_PROMPTS, interval_ms) as sound:
                await wait_until(
                    lambda: len(sound.ended()) >= 2 * len(SOUND_PROMPTS) * MIN_REQUESTS
                )
                before = sound.ended()
                lost = round(LOST_SHARE * len(site.engines.engines))
                for worker in (heads(site, "small") + heads(site, "large"))[:lost]:
                    site.kill(worker.id)
                lost_ms = site.clock.now_ms()
                await wait_for_time(site.clock, lost_ms + CONTACT_MS)
        for prompt in SOUND_PROMPTS:
            usual, after = (
                served_share([s for s in requests if s.prompt == prompt])
                for requests in (before, sound.since(lost_ms))
            )
            assert after >= MIN_SERVED_SHARE * usual, (prompt, usual, after)

    asyncio.run(scenario())


def test_proof_outlives_all_daemons():
    """All daemons ended at once, and the next ones sent the part to five more endpoints."""

    async def scenario():
        async with site_with_many_replicas(daemons=2) as (site, daemons):
            site.crashing_parts = {BAD_PART}
            async with Load(site, daemons, [BAD_PROMPT], BAD_INTERVAL_MS):
                await wait_until(lambda: is_proven(daemons[0]), 2 * CONTACT_MS / MS_PER_S)
                await wait_until(lambda: any("/parts/" in key for key in site.store.items))
            for daemon in daemons:
                daemon.close()
            ended = len(site.ended_workers)
            late = FleetDaemon(node_settings(site, "edge-a-9", "127.0.0.9", first_start=False))
            await late.start()
            try:
                await wait_until(lambda: late.ready)
                sent = Sent(site.clock.now_ms(), BAD_PROMPT)
                for _ in range(3):
                    await send(late, "small", sent)
                assert not sent.served
                assert len(site.ended_workers) == ended
                sound = Sent(site.clock.now_ms(), SOUND_PROMPTS[0])
                await wait_until(lambda: serves_all_models(late, site), RECOVERY_S)
                await send(late, "small", sound)
                assert sound.served
            finally:
                late.close()

    asyncio.run(scenario())


def test_operator_lists_and_clears_a_part(capsys):
    async def scenario():
        async with site_with_many_replicas(daemons=2) as (site, daemons):
            site.crashing_parts = {BAD_PART}
            async with Load(site, daemons, [BAD_PROMPT], BAD_INTERVAL_MS):
                await wait_until(lambda: is_proven(daemons[0]), 2 * CONTACT_MS / MS_PER_S)
            site.crashing_parts = set()
            await run_tool("parts", "--peer", daemons[0].settings.peers)
            rows = [line.split() for line in capsys.readouterr().out.splitlines()]
            assert [BAD_PART, "proven"] in [row[:2] for row in rows]
            await run_tool("parts", "--peer", daemons[0].settings.peers, "--clear", BAD_PART)
            await wait_until(lambda: not any(is_proven(daemon) for daemon in daemons))
            for daemon in daemons:
                sent = Sent(site.clock.now_ms(), BAD_PROMPT)
                await send(daemon, "small", sent)
                assert sent.served

    asyncio.run(scenario())


async def run_tool(*arguments):
    assert await asyncio.to_thread(main, list(arguments)) == 0


def is_proven(daemon):
    assessment = daemon.gateway.crash_guard.ledger.assess((BAD_PART,))
    return assessment.verdict is Verdict.PROVEN
