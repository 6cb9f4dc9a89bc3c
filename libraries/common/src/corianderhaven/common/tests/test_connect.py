"""Tests of the opening of connections."""

import asyncio
import socket
import time

import pytest

from corianderhaven.common import ClientConnection, ConnectionLostError

TIMEOUT_MS = 60.0


def test_connection_that_only_this_busy_process_has_not_noticed_is_open():
    """Guards against paths taken for lost: connections were established, and noticed late."""

    async def run():
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            host, port = listener.getsockname()
            asyncio.get_running_loop().call_soon(time.sleep, 2 * TIMEOUT_MS / 1000)
            connection = await ClientConnection.open(f"{host}:{port}", TIMEOUT_MS)
            connection.close()

    asyncio.run(run())


def test_connection_that_is_not_answered_fails_in_time():
    async def run():
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            fill_backlog = [socket.socket() for _ in range(4)]
            for sock in fill_backlog:
                sock.setblocking(False)
                sock.connect_ex(address)
            started_s = time.monotonic()
            with pytest.raises(ConnectionLostError) as raised:
                await ClientConnection.open(f"127.0.0.1:{address[1]}", TIMEOUT_MS)
            assert time.monotonic() - started_s < 1.0
            assert not raised.value.sent
            for sock in fill_backlog:
                sock.close()

    asyncio.run(run())
