"""Tests of clients in threads that get answers without end."""

import pytest

from corianderhaven.common import JsonClient, TransportError
from corianderhaven.common.tests.endless_server import MAX_TAKEN_BYTES, endless_server

BLOCK_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
ANSWERS = {
    "noise": (b"", b"\x00\x17 no answer at all " * 1_000),
    "header": (HEAD + b"x: ", b"a" * BLOCK_BYTES),
    "headers": (HEAD, b"x: a\r\n" * 10_000),
    "body without length": (HEAD + b"\r\n", b"b" * BLOCK_BYTES),
    "long body": (HEAD + b"content-length: 99999999999\r\n\r\n", b"b" * BLOCK_BYTES),
    "chunks": (CHUNKED, (b"400\r\n" + b"c" * 1024 + b"\r\n") * 64),
    "chunk size": (CHUNKED, b"0" * BLOCK_BYTES),
    "chunk extension": (CHUNKED + b"4;x=", b"e" * BLOCK_BYTES),
    "trailer": (CHUNKED + b"0\r\nx: ", b"t" * BLOCK_BYTES),
    "error": (b"HTTP/1.1 500 Error\r\n\r\n", b"b" * BLOCK_BYTES),
}


@pytest.mark.parametrize("kind", ANSWERS)
def test_answer_without_end_is_given_up(kind):
    """Guards against LOST: clients in threads kept an answer of any length."""
    with endless_server(*ANSWERS[kind]) as server:
        with pytest.raises(TransportError) as caught:
            JsonClient(server.address, 2_000).call("GET", "/")
        assert server.ended.wait(5)
    assert caught.value.sent
    assert server.sent_bytes < MAX_TAKEN_BYTES


def test_bytes_past_the_length_are_not_read():
    start = HEAD + b"content-length: 2\r\n\r\n{}"
    with endless_server(start, b"e" * BLOCK_BYTES) as server:
        client = JsonClient(server.address, 2_000)
        assert client.call("GET", "/").body == b"{}"
        client.close()
        assert server.ended.wait(5)
    assert server.sent_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize(
    "start", [HEAD + b"content-length: 9\r\n\r\n{}", CHUNKED + b"2\r\n{}\r\n", CHUNKED + b"9\r\n{}"]
)
def test_answer_that_ends_early_is_no_answer(start):
    with endless_server(start, b"") as server, pytest.raises(TransportError):
        JsonClient(server.address, 300).call("GET", "/")
