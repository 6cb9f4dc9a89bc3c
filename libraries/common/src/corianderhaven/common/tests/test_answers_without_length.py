"""Tests of answers that end with their connection, and of answers that have no body."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from corianderhaven.common import ClientConnection, ConnectionLostError

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
