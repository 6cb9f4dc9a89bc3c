"""Tests of answers that end with their connection, and of answers that have no body."""

import asyncio
import socket
import struct
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


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


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
def test_answer_that_ends_in_an_orderly_way_is_whole_and_its_connection_not_kept(head):
    async def scenario():
        async with answered(head + b"until the end", lambda writer: writer.close()) as connection:
            assert (await connection.read_head()).ends_with_connection
            assert await connection.read_body() == b"until the end"
            assert not connection.prepare_for_reuse()

    run(scenario)


@until_close
def test_answer_that_ends_with_a_reset_is_not_whole(head):
    async def scenario():
        async with answered(head + b"part", reset) as connection:
            await connection.read_head()
            with pytest.raises(ConnectionLostError):
                await connection.read_body()

    run(scenario)


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


@pytest.mark.parametrize(
    ("method", "head"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\n\r\n"),
        ("HEAD", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
        ("GET", b"HTTP/1.1 304 Not Modified\r\n\r\n"),
        ("GET", b"HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n"),
        ("GET", b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"),
    ],
)
def test_answer_that_can_have_no_body_ends_with_its_head(method, head):
    async def scenario():
        async with answered(head, leave_open, method) as connection:
            assert not (await connection.read_head()).ends_with_connection
            assert await asyncio.wait_for(connection.read_body(), 1.0) == b""
            assert connection.prepare_for_reuse()

    run(scenario)


@pytest.mark.parametrize(
    "headers",
    [
        b"transfer-encoding: gzip",
        b"transfer-encoding: gzip\r\ncontent-length: 4",
        b"transfer-encoding: chunked, gzip",
        b"content-length: 4\r\ncontent-length: 5",
        b"content-length: four",
    ],
)
def test_answer_with_a_framing_that_cannot_be_decoded_is_an_error(headers):
    """Such a body would have to be decoded before it could be forwarded."""

    async def scenario():
        data = b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n\r\nbody"
        async with answered(data, lambda writer: writer.close()) as connection:
            with pytest.raises(ConnectionLostError):
                await connection.read_head()

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
