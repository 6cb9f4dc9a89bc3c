"""Tests of peers that send bytes without end, stall, or answer twice on a kept connection."""

import asyncio
import itertools

import pytest

from corianderhaven.common import (
    AsyncHttpClient,
    AsyncHttpServer,
    ClientConnection,
    Clock,
    ConnectionLostError,
    ServerLimits,
)

MAX_BUFFERED_BYTES = 2 << 20  # of one connection, whatever its peer sends
ENDLESS_S = 3.0


async def start_endless_server(head, block):
    """Start a server that sends `head`, then `block` until its caller closes."""
    ended = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        try:
            writer.write(head)
            while True:
                writer.write(block)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            ended.set()
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}", ended


ENDLESS_ANSWERS = {
    "noise": (b"", b"\x00\x17 no answer at all "),
    "status line": (b"HTTP/1.1 200 ", b"O" * 1000),
    "header": (b"HTTP/1.1 200 OK\r\nx: ", b"a" * 1000),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: a\r\n" * 100),
    "informational heads": (b"", b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
    "body without length": (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 65_536),
    "chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"400\r\n" + b"c" * 1024 + b"\r\n",
    ),
    "chunk size": (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"0" * 1000),
    "trailers": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        b"x: a\r\n" * 100,
    ),
}


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_ends_with_an_error_and_closes_the_connection(kind):
    async def run():
        server, address, ended = await start_endless_server(*ENDLESS_ANSWERS[kind])
        try:
            async with asyncio.timeout(ENDLESS_S):
                with pytest.raises(ConnectionLostError):
                    await AsyncHttpClient(address).call("GET", "/", timeout_ms=60_000)
                await ended.wait()
        finally:
            server.close()

    asyncio.run(run())


def test_bytes_past_the_declared_length_are_not_read():
    async def run():
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour"
        server, address, ended = await start_endless_server(head, b"e" * 65_536)
        try:
            client = AsyncHttpClient(address)
            async with asyncio.timeout(ENDLESS_S):
                assert (await client.call("GET", "/")).body == b"four"
                await ended.wait()
            assert client.idle == []
        finally:
            server.close()

    asyncio.run(run())


def test_unread_answer_takes_bounded_memory():
    """A stream was buffered without limit while its caller did not read."""

    async def run():
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        server, address, ended = await start_endless_server(head, b"b" * 65_536)
        try:
            connection = await ClientConnection.open(address, 1000)
            await connection.send("GET", "/", [("host", "h")])
            await connection.read_head()
            await asyncio.sleep(0.5)
            buffered_bytes = len(connection.parser.trailing_data[0])
            assert buffered_bytes < MAX_BUFFERED_BYTES
            total = 0
            while total < 8 * MAX_BUFFERED_BYTES:
                total += len(await connection.read_chunk())
            connection.close()
            await asyncio.wait_for(ended.wait(), ENDLESS_S)
        finally:
            server.close()

    asyncio.run(run())


@pytest.mark.parametrize("delay_s", [0.0, 0.1])
def test_second_copy_of_an_answer_reaches_no_other_request(delay_s):
    """The copy arrived on an idle connection, and the next request took it for its answer."""

    async def run():
        numbers = itertools.count(1)

        async def handle(reader, writer):
            while await reader.readuntil(b"\r\n\r\n"):
                head = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n"
                answer = head + b"answer-%d" % next(numbers)
                writer.write(answer)
                await asyncio.sleep(delay_s)
                writer.write(answer)

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        client = AsyncHttpClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        try:
            assert (await client.call("GET", "/")).body == b"answer-1"
            await asyncio.sleep(2 * delay_s + 0.05)
            assert (await client.call("GET", "/")).body == b"answer-2"
        finally:
            client.close()
            server.close()

    asyncio.run(run())


async def send_slowly(server, parts, pause_s):
    """Send `parts` with pauses, and return what the server sent until it closed."""
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))

    async def write():
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)

    writing = asyncio.create_task(write())
    try:
        return await asyncio.wait_for(reader.read(), ENDLESS_S)
    finally:
        writing.cancel()
        writer.close()


def run_server(scenario, handled, **limits):
    async def handle(request, caller):
        handled.append(request)
        await asyncio.sleep(0.3)
        await caller.send_response(200, [], b"")

    async def run():
        server = await AsyncHttpServer("127.0.0.1:0", handle, Clock()).start()
        server.limits = ServerLimits(**limits)
        loop = asyncio.get_running_loop()
        unhandled = []
        loop.set_exception_handler(lambda loop, context: unhandled.append(context))
        try:
            await scenario(server)
        finally:
            server.close()
        await asyncio.sleep(0)
        return unhandled

    return asyncio.run(run())


@pytest.mark.parametrize(
    "parts",
    [
        [b"GET / HTTP/1.1\r\nhost: h\r\n", *[b"x"] * 100],
        [b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 90\r\n\r\n", *[b"y"] * 80],
        [b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 90\r\n\r\nhalf"],
    ],
)
def test_request_that_stalls_is_refused_as_not_read(parts):
    """Slow headers were read for as long as the caller kept sending; slow bodies got no answer."""
    handled = []

    async def scenario(server):
        answer = await send_slowly(server, parts, 0.05)
        assert answer.startswith(b"HTTP/1.1 408")
        assert b"connection: close" in answer.lower()

    unhandled = run_server(scenario, handled, header_timeout_ms=300.0, idle_timeout_ms=600.0)
    assert handled == []
    assert unhandled == []


def test_caller_that_sends_without_end_during_its_request_is_cut_off():
    handled = []

    async def scenario(server):
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        sent = 0
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(ENDLESS_S):
                while True:
                    writer.write(b"n" * 65_536)
                    sent += 65_536
                    await writer.drain()
                    await asyncio.sleep(0)
        assert sent < 64 * MAX_BUFFERED_BYTES

    run_server(scenario, handled, body_bytes=100_000)
    assert len(handled) == 1
