"""Tests of a threaded server whose clients leave within a body."""

import socket
import time

import pytest

from corianderhaven.common import HttpServer, Router, json_response

BODY = b'{"cover":"1"}'
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
WITH_LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\n%b\r\n9\r\n%b\r\n0\r\n\r\n" % (
    BODY[:4],
    BODY[4:],
)


@pytest.fixture
def bodies():
    return []


@pytest.fixture
def server(bodies):
    def handle(request):
        bodies.append(request.body)
        return json_response({})

    router = Router()
    router.add("POST", "/", handle)
    server = HttpServer("127.0.0.1:0", router, 8).start()
    yield server
    server.close()


def send(server, data, half_close=False):
    """Send data, end the connection and return what the server answers to a half-close."""
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(data)
        if not half_close:
            return b""
        sock.shutdown(socket.SHUT_WR)
        return sock.recv(65_536)


@pytest.mark.parametrize("half_close", [False, True])
@pytest.mark.parametrize("data", [WITH_LENGTH, CHUNKED], ids=["length", "chunks"])
def test_request_whose_client_leaves_within_its_body_is_not_handled(
    server, bodies, data, half_close
):
    """Guards against a call whose body is the part that came before its client left."""
    for size in range(data.index(b"\r\n\r\n") + 4, len(data)):
        answer = send(server, data[:size], half_close)
        assert not answer.startswith(b"HTTP/1.1 2")
    assert send(server, WITH_LENGTH, half_close=True).startswith(b"HTTP/1.1 200")
    end_s = time.monotonic() + 5.0
    while not bodies and time.monotonic() < end_s:
        time.sleep(0.01)
    time.sleep(0.1)
    assert bodies == [BODY]
