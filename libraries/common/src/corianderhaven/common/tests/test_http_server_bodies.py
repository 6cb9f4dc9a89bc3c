"""Tests of request bodies that would take a threaded server's memory."""

import http.client
import socket
import time
import tracemalloc

import pytest

from corianderhaven.common import HttpServer, Router, json_response

BODY_LIMIT_BYTES = 1 << 20
MAX_TAKEN_BYTES = 12 << 20
SENT_BYTES = 48 << 20


@pytest.fixture
def server():
    router = Router(BODY_LIMIT_BYTES)
    router.max_buffered_bytes = 4 * BODY_LIMIT_BYTES
    router.add("POST", "/", lambda request: json_response({"size": len(request.body)}))
    server = HttpServer("127.0.0.1:0", router, 8).start()
    yield server
    server.close()


def open_socket(server):
    host, _, port = server.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), 10)
    sock.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
    return sock


def post(server, pieces):
    host, _, port = server.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        connection.request("POST", "/", iter(pieces), encode_chunked=True)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


@pytest.mark.parametrize("kind", ["chunk", "extension", "trailers"])
def test_single_chunk_or_line_of_excessive_size_is_not_held(server, kind):
    """Guards against reading whole a chunk or a line whose size the client chooses."""
    block = b"x" * 65_536
    start = {"chunk": b"%x\r\n" % (1 << 32), "extension": b"1;a=", "trailers": b"0\r\na: "}[kind]
    tracemalloc.start()
    try:
        with open_socket(server) as sock:
            try:
                sock.sendall(start)
                for _ in range(SENT_BYTES // len(block)):
                    sock.sendall(block)
            except OSError:
                pass  # refused
            taken_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert taken_bytes < MAX_TAKEN_BYTES
    assert post(server, [b"{}"])[0] == 200


def wait_for_buffered(server, size):
    """Wait until the server's threads have read so much of the bodies that are open."""
    end_s = time.monotonic() + 10.0
    while server.router.buffered_bytes != size:
        assert time.monotonic() < end_s, server.router.buffered_bytes
        time.sleep(0.005)


def test_bodies_left_open_are_bounded_together(server):
    """Guards against a body at the limit in each of the threads."""
    chunk = b"10000\r\n" + b"b" * 65_536 + b"\r\n"
    socks = [open_socket(server) for _ in range(6)]
    try:
        for sock in socks[:4]:
            sock.sendall(chunk * 15 + b"0\r\n")
        wait_for_buffered(server, 4 * 14 * 65_536)  # the first part of each counts towards no limit
        for sock in socks[4:]:
            sock.sendall(chunk * 15 + b"0\r\n")
        status, _ = post(server, [b"s" * 65_536] * 16)
        assert status == 503
        assert post(server, [b"{}"])[0] == 200  # an ordinary body finds room
        statuses = []
        for sock in socks:
            sock.sendall(b"\r\n")
            sock.settimeout(10.0)
            statuses.append(sock.recv(100).split()[1])
        assert statuses.count(b"503") == 2
        assert statuses.count(b"200") == 4
    finally:
        for sock in socks:
            sock.close()
    assert post(server, [b"s" * 65_536] * 16)[0] == 200


@pytest.mark.parametrize("size", [1, 1_000, 65_536])
def test_chunked_body_within_the_limit_is_read(server, size):
    assert post(server, [b"p" * size] * 16) == (200, b'{"size":%d}' % (16 * size))
