"""Tests of statuses that no final response has, received and sent."""

import asyncio
import socketserver
import threading

import pytest

from corianderhaven.common import (
    AsyncHttpClient,
    AsyncHttpServer,
    Clock,
    ConnectionLostError,
    JsonClient,
    TransportError,
)

INVALID = [b"000", b"099", b"199", b"600", b"999"]


def raw_answer(status):
    return b"HTTP/1.1 " + status + b" Status\r\ncontent-length: 2\r\n\r\n{}"


class RawServer(socketserver.TCPServer):
    """Answers each connection with the same bytes."""

    allow_reuse_address = True

    def __init__(self, answer):
        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                self.request.recv(65_536)
                self.request.sendall(answer)

        super().__init__(("127.0.0.1", 0), Handler)
        self.thread = threading.Thread(target=self.serve_forever, daemon=True)
        self.thread.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"


@pytest.fixture
def start_server():
    servers = []

    def start(answer):
        servers.append(RawServer(answer))
        return servers[-1].address

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


@pytest.mark.parametrize("status", INVALID)
def test_answer_whose_status_is_none_is_no_answer(start_server, status):
    """Guards against MIXED: 600 and 999 were taken for statuses."""
    client = AsyncHttpClient(start_server(raw_answer(status)))
    with pytest.raises(ConnectionLostError):
        asyncio.run(client.call("GET", "/"))


@pytest.mark.parametrize("status", INVALID)
def test_answer_whose_status_is_none_is_no_answer_to_a_thread(start_server, status):
    """Guards against MIXED: `http.client` takes 101 to 199 for final, and up to 999 for valid."""
    client = JsonClient(start_server(raw_answer(status)), 1_000)
    with pytest.raises(TransportError) as caught:
        client.call("GET", "/")
    assert caught.value.sent


@pytest.mark.parametrize("status", [0, 99, 199, 600, 999])
def test_no_status_that_is_none_is_sent(status):
    """The caller learns that its request failed, and may have been carried out."""

    async def run():
        async def answer(request, caller):
            if request.target == b"/stream":
                await caller.send_head(status, [])
            else:
                await caller.send_response(status, [], b"")

        server = await AsyncHttpServer("127.0.0.1:0", answer, Clock()).start()
        client = AsyncHttpClient(server.address)
        statuses = [(await client.call("GET", path)).status for path in ("/", "/stream")]
        server.close()
        return statuses

    assert asyncio.run(run()) == [502, 502]
