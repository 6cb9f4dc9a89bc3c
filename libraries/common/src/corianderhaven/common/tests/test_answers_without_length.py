"""Tests of answers that end with their connection, and of answers that have no body."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from corianderhaven.common import AsyncHttpServer, ClientConnection, Clock, ConnectionLostError

TEST_TIMEOUT_S = 5.0
UNTIL_CLOSE_HEADS = {
    "HTTP/1.1": b"HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 with close": b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.0 with keep-alive": b"HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n\r\n",
}
until_close = pytest.mark.parametrize("head", UNTIL_CLOSE_HEADS.values(), ids=UNTIL_CLOSE_HEADS)


@asynccontextmanager
async def answered(data, end, method="GET"):
    """Open a connection, send a request and get `data`; `end` then gets the server's writer."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await asyncio.sleep(0.05)  # a reset would discard data that the client has not yet read
        end(writer)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connection = await ClientConnection.open(address, 1000)
    try:
        await connection.send(method, "/", [("host", "h")])
        yield connection
    finally:
        connection.close()
        server.close()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), TEST_TIMEOUT_S))


def leave_open(writer):
    """Neither close nor send any more."""


@until_close
def test_answer_is_not_whole_when_this_side_closes(head):
    """The end of a connection closed here was taken for the end of the answer."""

    async def scenario():
        async with answered(head + b"part", leave_open) as connection:
            await connection.read_head()
            assert await connection.read_chunk() == b"part"
            asyncio.get_running_loop().call_later(0.05, connection.close)
            with pytest.raises(ConnectionLostError):
                await connection.read_chunk()

    run(scenario)


def test_chunks_take_precedence_over_a_length_and_the_connection_is_not_kept():
    """A worker that counted the other way would read the next request from another place."""

    async def scenario():
        headers = b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n"
        data = b"HTTP/1.1 200 OK\r\n" + headers + b"4\r\nfour\r\n0\r\n\r\n"
        async with answered(data, leave_open) as connection:
            await connection.read_head()
            assert await connection.read_body() == b"four"
            assert not connection.prepare_for_reuse()

    run(scenario)


@pytest.mark.parametrize("end", ["abort", "server closes", "error", "whole"])
def test_streamed_answer_to_an_old_caller_looks_whole_only_if_it_is(end):
    """An HTTP/1.0 caller gets no chunks, so an orderly close made a part look whole."""

    async def answer_part(request, caller):
        await caller.send_head(200, [])
        await caller.send_chunk(b"part")
        await asyncio.sleep(0.1)
        if end == "abort":
            caller.abort_response()
        elif end == "server closes":
            server.close()
        elif end == "error":
            raise ZeroDivisionError("unexpected")
        else:
            await caller.send_end()

    server = AsyncHttpServer("127.0.0.1:0", answer_part, Clock())

    async def scenario():
        await server.start()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.0\r\n\r\n")
        if end == "whole":
            assert (await reader.read()).endswith(b"part")
        else:
            with pytest.raises(ConnectionResetError):
                await reader.read()
        writer.close()
        server.close()

    run(scenario)
