"""Tests of what a server tells of the requests that it gives up before they are read whole."""

import asyncio

import pytest

from corianderhaven.common import AsyncHttpServer, Clock, ServerLimits
from corianderhaven.common._server_connection import FREE_CHUNKS
from corianderhaven.common.tests.standin_transport import take_turns

HEAD = b"POST / HTTP/1.1\r\nhost: h\r\nx-id: r1\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


def given_up(data, leaves=False, **limits):
    """Return the ids and causes of the requests that are given up."""
    causes = []

    async def handle(request, caller):
        await caller.send_response(200, [], b"")

    async def run():
        server = await AsyncHttpServer("127.0.0.1:0", handle, Clock()).start()
        server.limits = ServerLimits(**limits)
        server.on_given_up = lambda request, cause: causes.append((request.header("x-id"), cause))
        try:
            host, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            if leaves:
                await asyncio.sleep(0.05)
                writer.close()
            async with asyncio.timeout(3.0):
                await reader.read()
            await take_turns(5)
            writer.close()
        finally:
            server.close()

    asyncio.run(run())
    return causes


@pytest.mark.parametrize(
    ("data", "limits", "leaves", "cause"),
    [
        (HEAD + b"content-length: 9\r\n\r\nabc", {}, True, "caller left"),
        (CHUNKED + b"3\r\nabc\r\n", {}, True, "caller left"),
        (HEAD + b"content-length: 9\r\n\r\nabc", {"idle_timeout_ms": 80}, False, "request timeout"),
        (HEAD + b"content-length: 9\r\n\r\nabc", {"body_bytes": 8}, False, "body size"),
        (CHUNKED + b"9\r\nabcdefghi\r\n", {"body_bytes": 8}, False, "body size"),
        (CHUNKED + b"xyz\r\n", {}, False, "not HTTP"),
    ],
)
def test_request_given_up_is_told_with_its_cause(data, limits, leaves, cause):
    """Guards against a request that no line of the log and no counter tells of."""
    assert given_up(data, leaves, **limits) == [("r1", cause)]


def test_whole_request_is_not_told_as_given_up():
    assert given_up(CHUNKED.replace(b"x-id", b"connection: close\r\nx-id") + b"0\r\n\r\n") == []


def test_refused_request_is_told_with_the_cause_of_the_refusal(monkeypatch):
    """Guards against a refusal that can't be found by the request's id."""
    monkeypatch.setattr(
        "corianderhaven.common._server_connection.connection_budgets.begin_fragmented",
        lambda connection: False,
    )
    assert given_up(CHUNKED + b"1\r\na\r\n" * (FREE_CHUNKS + 1)) == [("r1", "tiny chunks")]
