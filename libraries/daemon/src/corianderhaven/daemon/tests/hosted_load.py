"""Steady load on daemons before a stand-in of the hosting platform."""

import asyncio
import itertools
from contextlib import asynccontextmanager

from corianderhaven.common import MS_PER_S, ConnectionLostError
from corianderhaven.daemon.tests.hosted_site import wait_until


@asynccontextmanager
async def load(daemons, send, interval_ms):
    """Send a request to each daemon in turn at intervals; yields the answers."""
    answers, stopped = [], asyncio.Event()

    async def send_one(daemon):
        try:
            answers.append(await send(daemon))
        except ConnectionLostError:
            answers.append(None)

    async def run():
        async with asyncio.TaskGroup() as group:
            for daemon in itertools.cycle(daemons):
                if stopped.is_set():
                    return
                group.create_task(send_one(daemon))
                await asyncio.sleep(interval_ms / MS_PER_S)

    task = asyncio.create_task(run())
    try:
        yield answers
    finally:
        stopped.set()
        await task


async def wait_ms(clock, duration_ms):
    until_ms = clock.now_ms() + duration_ms
    await wait_until(lambda: clock.now_ms() >= until_ms, 2 * duration_ms / MS_PER_S + 1.0)
