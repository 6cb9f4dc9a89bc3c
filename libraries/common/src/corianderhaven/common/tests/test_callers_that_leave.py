"""Tests of requests whose callers leave before or while they are read.

The loss of the connection is put at every turn of the event loop and after every byte, as a pause
of the reader lets it in anywhere.
"""

import asyncio
import socket
import struct

import pytest

from corianderhaven.common import AsyncHttpServer, Clock
from corianderhaven.common._connection_budgets import connection_budgets
from corianderhaven.common._server_connection import ServerConnection
from corianderhaven.common.tests.standin_transport import StandinTransport, take_turns

LINES = [b'{"cover":"%04d"}\n' % number for number in range(100)]
BODY = b"".join(LINES)
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKED = CHUNKED_HEAD + b"".join(b"%x\r\n%s\r\n" % (len(li), li) for li in LINES) + b"0\r\n\r\n"
SMALL_BODY = b"abcdefg"
SMALL = {
    "chunks": CHUNKED_HEAD + b"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nt: u\r\n\r\n",
    "length": b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 7\r\n\r\nabcdefg",
}
TURNS = 12  # more than the reader takes for any of these requests
WAYS = ("close", "reset", "half-close")


class Handler:
    """Keeps the bodies of the requests that are handled, and how many handlers go on."""

    def __init__(self):
        self.bodies = []
        self.open = 0

    async def __call__(self, request, caller):
        self.bodies.append(request.body)
        self.open += 1
        try:
            await asyncio.sleep(3_600)
        finally:
            self.open -= 1


def leave(transport, way):
    if way == "reset":
        transport.reset()
    else:
        transport.unsent = 1 if way == "half-close" else 0  # so that only its end of input is seen
        transport.end_input()


async def serve_one(data, turns, way):
    """Return the handler of a connection whose caller sends `data` and leaves after `turns`."""
    handler = Handler()
    server = AsyncHttpServer("127.0.0.1:0", handler, Clock())
    transport = StandinTransport(ServerConnection(server))
    await take_turns(1)
    transport.protocol.data_received(data)
    await take_turns(turns)
    begun = bool(handler.bodies)
    leave(transport, way)
    await take_turns(TURNS)
    await asyncio.wait([transport.protocol.task], timeout=1.0)
    assert transport.protocol.task.done()
    assert handler.open == 0
    transport.finish()
    return handler, begun


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("turns", range(TURNS))
def test_request_is_handled_whole_or_not_at_all(turns, way):
    """Guards against UNASKED: a worker ran the end of a body whose client left meanwhile."""
    handler, begun = asyncio.run(serve_one(CHUNKED, turns, way))
    assert handler.bodies in ([], [BODY])
    # Guards against GONE: nothing cancels a handler that begins after its caller has left.
    assert bool(handler.bodies) == begun


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("framing", SMALL)
def test_request_is_handled_whole_or_not_at_all_wherever_it_is_cut(framing, way, monkeypatch):
    """Guards against UNASKED, with a pause of the reader before each event."""
    monkeypatch.setattr("corianderhaven.common._async_connection.EVENTS_PER_TURN", 0)
    data = SMALL[framing]

    async def run():
        for size in range(1, len(data) + 1):
            for turns in range(TURNS):
                handler, begun = await serve_one(data[:size], turns, way)
                assert handler.bodies in ([], [SMALL_BODY]), (size, turns)
                assert bool(handler.bodies) == begun, (size, turns)
                assert size == len(data) or not begun

    asyncio.run(run())


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("turns", range(TURNS))
def test_request_behind_another_is_handled_whole_or_not_at_all(turns, way, monkeypatch):
    """Guards against UNASKED and GONE in a request that was sent before the last one's answer."""
    monkeypatch.setattr("corianderhaven.common._async_connection.EVENTS_PER_TURN", 0)
    bodies, left, late = [], [], []

    async def handle(request, caller):
        bodies.append(request.body)
        late.append(bool(left))
        await caller.send_response(200, [], b"")

    async def run():
        server = AsyncHttpServer("127.0.0.1:0", handle, Clock())
        transport = StandinTransport(ServerConnection(server))
        await take_turns(1)
        transport.protocol.data_received(SMALL["length"] + SMALL["chunks"])
        await take_turns(turns)
        leave(transport, way)
        left.append(way)
        await take_turns(2 * TURNS)
        transport.finish()

    asyncio.run(run())
    assert bodies == [SMALL_BODY] * len(bodies)
    assert not any(late)


@pytest.mark.parametrize("way", WAYS)
def test_body_sent_in_chunks_over_a_socket_is_handled_whole_or_not_at_all(way):
    """Guards against UNASKED on the transport of asyncio, for which the others have a stand-in."""
    handler = Handler()

    async def run():
        server = await AsyncHttpServer("127.0.0.1:0", handler, Clock()).start()
        host, _, port = server.address.rpartition(":")
        try:
            for _ in range(60):
                sock = socket.create_connection((host, int(port)))
                sock.sendall(CHUNKED)
                await take_turns(2)
                if way == "half-close":
                    sock.shutdown(socket.SHUT_WR)
                else:
                    if way == "reset":
                        linger = struct.pack("ii", 1, 0)
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    sock.close()
                await asyncio.sleep(0.005)
                sock.close()
            await asyncio.sleep(0.1)
            assert not server.connections
        finally:
            server.close()

    asyncio.run(run())
    assert set(handler.bodies) <= {BODY}
    assert handler.open == 0


@pytest.mark.parametrize("unsent", [0, 1])
def test_request_that_was_refused_for_memory_is_not_handled(unsent, monkeypatch):
    """Guards against REFUSED: a request was answered with 503 and run.

    What follows it on its connection is the largest buffer to give up when its handling begins.
    """
    monkeypatch.setattr(connection_budgets.requests, "limit_bytes", 150_000)
    body = b"b" * 60_000
    request = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(body) + body
    handler = Handler()
    given_up = []

    async def run():
        server = AsyncHttpServer("127.0.0.1:0", handler, Clock())
        server.on_given_up = lambda request, cause: given_up.append(cause)
        transport = StandinTransport(ServerConnection(server), unsent)
        await take_turns(1)
        transport.protocol.data_received(request + request[:50_000])
        await take_turns(TURNS)
        transport.finish()
        await take_turns(TURNS)
        return bytes(transport.written)

    answer = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503")
    assert handler.bodies == []
    assert given_up == ["request memory"]
    assert not connection_budgets.requests.handled


def test_body_of_a_cancelled_handler_is_gone_and_not_empty():
    """Guards against an empty body sent by what outlives a handler, such as a cancelled search."""
    requests = []

    async def handle(request, caller):
        requests.append(request)
        await asyncio.sleep(3_600)

    async def run():
        server = AsyncHttpServer("127.0.0.1:0", handle, Clock())
        transport = StandinTransport(ServerConnection(server))
        await take_turns(1)
        transport.protocol.data_received(SMALL["length"])
        await take_turns(TURNS)
        transport.reset()
        await take_turns(TURNS)

    asyncio.run(run())
    with pytest.raises(AttributeError):
        requests[0].body  # noqa: B018
