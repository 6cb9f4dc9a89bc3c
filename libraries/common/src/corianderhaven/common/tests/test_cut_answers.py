"""Tests of answers that are cut off or given up at any turn of the event loop, at any byte."""

import asyncio

import pytest

from corianderhaven.common import ClientConnection, ConnectionLostError
from corianderhaven.common._connection_budgets import connection_budgets
from corianderhaven.common.tests.standin_transport import StandinTransport, take_turns

BODY = b"abcdefghij"
OK = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "length": OK + b"content-length: 10\r\n\r\n" + BODY,
    "chunks": OK + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n7;x=y\r\ndefghij\r\n0\r\n\r\n",
    "end": OK + b"\r\n" + BODY,
}
TURNS = 6


@pytest.fixture(autouse=True)
def pause_before_each_event(monkeypatch):
    monkeypatch.setattr("corianderhaven.common._async_connection.EVENTS_PER_TURN", 0)


async def read_answer(pieces, turns, end):
    """Return the body that a reader takes for the whole, or None; `end` ends the connection."""
    connection = ClientConnection()
    transport = StandinTransport(connection)
    await connection.send("GET", "/", [("host", "h")])

    async def read():
        await connection.read_head()
        return await connection.read_body()

    reader = asyncio.create_task(read())
    await take_turns(1)
    for piece in pieces:
        connection.data_received(piece)
    await take_turns(turns)
    end(connection, transport)
    await take_turns(2 * TURNS)
    try:
        async with asyncio.timeout(1.0):
            return await reader
    except ConnectionLostError:
        return None


def discard(connection, transport):
    connection.discard(connection_budgets.answers)


def end_then_discard(connection, transport):
    transport.end_input()
    connection.discard(connection_budgets.answers)


def reset(connection, transport):
    transport.reset()


def close(connection, transport):
    transport.end_input()


@pytest.mark.parametrize("end", [discard, end_then_discard, reset, close])
@pytest.mark.parametrize("framing", ANSWERS)
def test_answer_is_whole_or_none_wherever_it_is_cut(framing, end):
    """Guards against MIXED: an answer given up in a pause of its reader was passed on in part."""
    data = ANSWERS[framing]
    head_bytes = data.index(b"\r\n\r\n") + 4
    ends_by_close = framing == "end" and end in (close, end_then_discard)

    async def run():
        for size in range(len(data) + 1):
            whole = data[head_bytes:size] if ends_by_close else BODY
            for cut in {0, size // 2, max(0, size - 1)}:
                for turns in range(TURNS):
                    pieces = [part for part in (data[:cut], data[cut:size]) if part]
                    body = await read_answer(pieces, turns, end)
                    assert body in (None, whole), (size, cut, turns)

    asyncio.run(run())
