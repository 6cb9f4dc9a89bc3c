"""Daemon processes under clients, endpoints and peers that exhaust memory, time or descriptors.

Each case runs one adversarial load against a daemon process with the limits of the smallest VM.
"""

import asyncio
import time
from collections import Counter

import msgspec
import pytest

from corianderhaven.daemon.tests.hosted_site import wait_until
from corianderhaven.daemon.tests.small_vm import (
    BODY_LIMIT_BYTES,
    CROWD_TIMEOUT_S,
    LARGE_ANSWER_BYTES,
    chunked,
    head_bytes,
    pieces_of,
    request_id,
    trial,
)


def run_bodies(folder, bodies, address=None):
    """Send chunked bodies at once, all left open before their end, and check the daemon."""

    async def scenario():
        async with trial(folder, idle_timeout_ms=15_000) as current:
            crowd = current.crowd(address and getattr(current.daemon, address))
            ids = [request_id() for _ in bodies]
            streams = [
                (i, [head_bytes(i), *pieces_of(body)]) for i, body in zip(ids, bodies, strict=True)
            ]
            await crowd.send_all(streams)
            await current.check()
            runs = current.site.run_counts()
            assert not [i for i in ids if runs[i]]

    asyncio.run(scenario())


def test_body_at_the_limit_is_served_in_calm(tmp_path):
    """Guards against limits under load that a single request within the configuration meets."""

    async def scenario():
        async with trial(tmp_path) as current:
            body = b"b" * BODY_LIMIT_BYTES
            status, _ = await current.call("POST", "/issue/x", body)
            assert status == 200
            in_chunks = [("transfer-encoding", "chunked")]
            crowd = current.crowd()
            for chunk_bytes, size in ((65_536, BODY_LIMIT_BYTES), (1, 50_000)):
                sent = request_id()
                data = head_bytes(sent, headers=in_chunks) + chunked(size, chunk_bytes) + b"\n"
                await crowd.send(pieces_of(data), sent)
                await wait_until(lambda sent=sent: sent in crowd.statuses, CROWD_TIMEOUT_S)
                assert crowd.statuses[sent] == 200
            assert len(current.site.runs[-1].body) == 50_000
            await current.check()

    asyncio.run(scenario())


def test_large_answer_is_delivered_in_calm(tmp_path):
    """Guards against a bound on answers that one of the protocol's size meets."""

    async def scenario():
        async with trial(tmp_path) as current:
            status, body = await current.call("GET", "/status/large")
            assert (status, len(body)) == (200, LARGE_ANSWER_BYTES)
            await current.check()

    asyncio.run(scenario())


def test_many_bodies_in_large_chunks(tmp_path):
    """Guards against bodies that are buffered without a bound over all connections."""
    run_bodies(tmp_path, [chunked(983_040, 65_536)] * 120)


def test_many_bodies_at_the_limit(tmp_path):
    """Guards against bodies that are buffered without a bound over all connections."""
    run_bodies(tmp_path, [chunked(BODY_LIMIT_BYTES, 65_536)] * 40)


def test_many_bodies_in_chunks_of_one_byte(tmp_path):
    """Guards against a parser pass and an object for each chunk."""
    run_bodies(tmp_path, [chunked(300_000, 1)] * 40)


@pytest.mark.parametrize("kind", ["extensions", "trailers"])
def test_chunk_extensions_and_trailers_without_end(tmp_path, kind):
    """Guards against parts of the framing that count towards no limit."""
    if kind == "extensions":
        body = chunked(200, 1, b";x=" + b"e" * 10_000)
    else:
        body = b"1\r\nc\r\n0\r\n" + b"x: trailer\r\n" * 160_000
    run_bodies(tmp_path, [body] * 40)


def test_bodies_far_over_the_limit_without_a_length(tmp_path):
    """Guards against a body that is read on after its limit."""
    run_bodies(tmp_path, [chunked(6 * BODY_LIMIT_BYTES, 65_536)] * 30)


def test_declared_lengths_far_over_the_limit(tmp_path):
    """Guards against a body that is read although its declared length is over the limit."""

    async def scenario():
        async with trial(tmp_path) as current:
            declared = [("content-length", "400000000")]
            body = [b"d" * 65_536] * 96
            ids = [request_id() for _ in range(40)]
            streams = [(i, [head_bytes(i, headers=declared), *body]) for i in ids]
            await current.crowd().send_all(streams)
            await current.check()
            runs = current.site.run_counts()
            assert not [i for i in ids if runs[i]]

    asyncio.run(scenario())


def test_many_slowly_sent_headers(tmp_path):
    """Guards against descriptors held by requests whose headers never end."""

    async def scenario():
        async with trial(tmp_path, header_timeout_ms=10_000) as current:
            crowd = current.crowd()
            head = head_bytes("never")[:-2]
            streams = [(f"slow-{n}", [head, *[b"x: y\r\n"] * 10]) for n in range(400)]
            await crowd.send_all(streams, pause_s=0.3)
            await current.check()

    asyncio.run(scenario())


@pytest.mark.parametrize("listener", ["front", "ready", "peers"])
def test_many_idle_connections(tmp_path, listener):
    """Guards against descriptors held by connections that carry nothing."""

    async def scenario():
        async with trial(tmp_path, idle_timeout_ms=15_000) as current:
            crowd = current.crowd(getattr(current.daemon, listener))
            await crowd.send_all([(f"idle-{n}", []) for n in range(600)])
            await asyncio.sleep(0.5)
            await current.check()

    asyncio.run(scenario())


def test_bodies_pipelined_behind_unanswered_requests(tmp_path):
    """Guards against a further request that is buffered while the first is handled."""

    async def scenario():
        async with trial(tmp_path, idle_timeout_ms=15_000) as current:
            for worker in current.site.workers.values():
                worker.faults.slow_ms = 3_000.0
            following = head_bytes("pipelined") + chunked(3_900_000, 65_536)
            ids = [request_id() for _ in range(40)]
            first = [("content-length", "0")]
            streams = [(i, [head_bytes(i, headers=first), *pieces_of(following)]) for i in ids]
            await current.crowd().send_all(streams)
            for worker in current.site.workers.values():
                worker.faults.slow_ms = 0.0
            await current.check()
            assert not current.site.run_counts()["pipelined"]

    asyncio.run(scenario())


def test_large_requests_whose_callers_leave(tmp_path):
    """Guards against bodies that ended requests keep until the next garbage collection."""

    async def scenario():
        async with trial(tmp_path, idle_timeout_ms=15_000) as current:
            for worker in current.site.workers.values():
                worker.faults.slow_ms = 1_500.0
            length = [("content-length", str(BODY_LIMIT_BYTES))]
            body = [b"b" * 65_536] * (BODY_LIMIT_BYTES // 65_536)
            for _ in range(60):
                crowd, sent = current.crowd(), request_id()
                await crowd.send([head_bytes(sent, headers=length), *body], sent)
                await asyncio.sleep(0.03)
                crowd.close()
            for worker in current.site.workers.values():
                worker.faults.slow_ms = 0.0
            await current.check()

    asyncio.run(scenario())


def test_large_answers_whose_callers_leave(tmp_path):
    """Guards against answers that ended requests keep until the next garbage collection."""

    async def scenario():
        async with trial(tmp_path) as current:
            length = [("content-length", "0")]
            for _ in range(60):
                crowd, sent = current.crowd(reads=False), request_id()
                await crowd.send([head_bytes(sent, "/status/large", length)], sent)
                await asyncio.sleep(0.06)
                crowd.close()
            await current.check()

    asyncio.run(scenario())


def test_large_answers_that_are_not_read(tmp_path):
    """Guards against complete answers that are buffered for as long as callers don't read."""

    async def scenario():
        async with trial(tmp_path, idle_timeout_ms=15_000) as current:
            crowd = current.crowd(reads=False)
            ids = [request_id() for _ in range(40)]
            length = [("content-length", "0")]
            streams = [(i, [head_bytes(i, "/status/large", length)]) for i in ids]
            await crowd.send_all(streams)
            deadline = time.monotonic() + CROWD_TIMEOUT_S
            while len(current.site.runs) < 30 and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            await current.check()

    asyncio.run(scenario())


def test_thirty_long_streams_that_are_not_read(tmp_path):
    """Guards against streams that are buffered, or held open, for callers that never read."""

    async def scenario():
        async with trial(tmp_path) as current:
            draft = [
                ("content-length", "0"),
                ("corianderhaven-model", "small"),
                ("corianderhaven-token-count", "100,40"),
                ("corianderhaven-prompt-prefix", "5c1e07a2:40,91bd3f06:60"),
            ]
            ids = [request_id() for _ in range(30)]
            streams = [(i, [head_bytes(i, "/draft/long", draft)]) for i in ids]
            crowd = current.crowd(reads=False)
            await crowd.send_all(streams)
            await asyncio.sleep(1.0)
            busy = [w for w in current.site.workers.values() if w.active]
            assert busy
            await current.check()
            async with asyncio.timeout(CROWD_TIMEOUT_S):
                while any(w.active for w in current.site.workers.values()):
                    await asyncio.sleep(0.05)

    asyncio.run(scenario())


def test_answers_of_excessive_size(tmp_path):
    """Guards against answers of endpoints that are buffered without a bound over all requests."""

    async def endless(self, worker, request, caller):
        headers = [*self._response_headers(worker, request), (b"content-length", b"400000000")]
        await caller.send_head(200, headers)
        while not caller.lost:
            await caller.send_chunk(b"e" * 65_536)
            await asyncio.sleep(0)

    async def scenario():
        async with trial(tmp_path) as current:
            current.site._answer_plain = endless.__get__(current.site)
            length = [("content-length", "0")]
            streams = [(i, [head_bytes(i, "/status/x", length)]) for i in map(str, range(30))]
            crowd = current.crowd()
            await crowd.send_all(streams)
            deadline = time.monotonic() + CROWD_TIMEOUT_S
            while len(crowd.statuses) < 30 and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            await current.check()
            assert 200 not in crowd.statuses.values()

    asyncio.run(scenario())


def test_messages_to_the_address_for_peers(tmp_path):
    """Guards against messages of peers that are buffered without a bound over all connections."""
    run_bodies(tmp_path, [chunked(BODY_LIMIT_BYTES, 65_536)] * 40, "peers")


def test_answers_of_peers_of_excessive_size(tmp_path):
    """Guards against answers of peers that are buffered without a bound over all peers."""

    async def scenario():
        answered = Counter()

        async def answer(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                answered["heads"] += 1
                writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                while True:
                    writer.write(b"10000\r\n" + b"p" * 65_536 + b"\r\n")
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            async with trial(tmp_path) as current:
                for number in range(20):
                    record = msgspec.json.encode({"address": address, "zone": "a"})
                    current.site.store.put(f"corianderhaven/daemons/peer-{number}", record)
                await wait_until(lambda: answered["heads"] >= 40, CROWD_TIMEOUT_S)
                await current.check()
        finally:
            server.close()

    asyncio.run(scenario())
