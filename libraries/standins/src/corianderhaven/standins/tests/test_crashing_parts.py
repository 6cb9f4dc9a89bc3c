"""Tests of the fault of the hosting stand-in that a prompt part crashes engines."""

import asyncio

import msgspec
import pytest

from corianderhaven.common import ClientConnection, ConnectionLostError
from corianderhaven.standins import HostingSite, small_models
from corianderhaven.standins._hosting_site import ENTRY_LIFETIME_MS

BAD_PART = "7d90b1c3"
RESTART_MS = 700.0  # longer than the lifetime of an entry
TIMEOUT_S = 5.0


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def site_with_open_engine():
    site = HostingSite(["a"], 1, small_models(), plain_workers=0, events=400)
    await site.start()
    site.crashing_parts = {BAD_PART}
    site.crash_restart_ms = RESTART_MS
    (worker,) = site.workers.values()
    fields = {"group": "g1", "epoch": 1}
    join = {"operation": "join", "model": "small", "members": [worker.id], **fields}
    assert site.engines.order(worker.engine, join) == 202
    await wait_until(lambda: site.engines.state(worker.engine) == "ready")
    assert site.engines.order(worker.engine, {"operation": "open", **fields}) == 202
    await wait_until(lambda: site.engines.state(worker.engine) == "open")
    return site, worker


async def open_stream(worker, request_id, prefix):
    connection = await ClientConnection.open(worker.address, 1_000)
    headers = [
        ("host", "x"),
        ("content-length", "2"),
        ("corianderhaven-attempt-id", request_id),
        ("corianderhaven-prompt-prefix", prefix),
    ]
    await connection.send("POST", "/draft/x", headers, b"{}")
    return connection


async def read_report(address):
    connection = await ClientConnection.open(address, 1_000)
    await connection.send("GET", "/api/report", [("host", "x")])
    await connection.read_head()
    report = msgspec.json.decode(await connection.read_chunk())
    connection.close()
    return report


async def is_refused(address):
    try:
        (await ClientConnection.open(address, 1_000)).close()
    except ConnectionLostError:
        return True
    return False


@pytest.mark.parametrize("new_id", [False, True])
def test_engine_ends_under_a_crashing_part_and_starts_again(new_id):
    async def scenario():
        site, worker = await site_with_open_engine()
        site.new_id_after_crash, born = new_id, worker.engine.started_ms
        sound = await open_stream(worker, "sound", f"5c1e07a2:40,0a:60,{BAD_PART}:20")
        assert (await sound.read_head()).status == 200
        assert await sound.read_chunk()
        bad = await open_stream(worker, "bad", f"5c1e07a2:40,{BAD_PART}:60,0b:20")
        with pytest.raises(ConnectionLostError):
            await bad.read_head()
        with pytest.raises(ConnectionLostError):
            while await sound.read_chunk():
                pass
        assert await is_refused(worker.address)
        assert [(a.request_id, a.part) for a in site.arrivals_with_part] == [("bad", BAD_PART)]
        assert [end[1:] for end in site.ended_workers] == [(worker.id, BAD_PART)]
        assert site.ended_workers[0].at_ms >= site.arrivals_with_part[0].at_ms
        old_key = f"servers/{worker.id}"
        assert old_key in site.store.items
        await wait_until(lambda: old_key not in site.store.items)
        await wait_until(lambda: any(w.listed for w in site.workers.values()))
        (started,) = [w for w in site.workers.values() if w.listed]
        assert (started.id != worker.id) == new_id
        report = await read_report(worker.address)
        assert (report["born"], report["sequence"]) == (born + 1, 0)
        assert "group" not in report
        await wait_until(lambda: f"servers/{started.id}" in site.store.items)
        assert (old_key in site.store.items) != new_id
        site.close()

    asyncio.run(scenario())


def test_entry_of_an_engine_that_restarts_within_its_lifetime_stays():
    async def scenario():
        site, worker = await site_with_open_engine()
        site.crash_restart_ms = 50.0
        bad = await open_stream(worker, "bad", f"{BAD_PART}:60,0b:20")
        with pytest.raises(ConnectionLostError):
            await bad.read_head()
        await wait_until(lambda: worker.listed)
        expired_ms = site.ended_workers[0].at_ms + ENTRY_LIFETIME_MS
        await wait_until(lambda: site.clock.now_ms() > expired_ms)
        await wait_until(lambda: f"servers/{worker.id}" in site.store.items)
        deleted = [e for e in site.store.history if e.get("deleted")]
        assert deleted == []
        site.close()

    asyncio.run(scenario())
