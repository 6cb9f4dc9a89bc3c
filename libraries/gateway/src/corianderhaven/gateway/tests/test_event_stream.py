"""Tests of answers that are split into events, and of those whose first event doesn't come."""

import asyncio
import itertools
from dataclasses import dataclass, field

import pytest

from corianderhaven.common import ConnectionLostError
from corianderhaven.gateway._event_stream import (
    MAX_EVENT_BYTES,
    EventTooLargeError,
    read_to_first_event,
)

EVENT = b"id: 4\ndata: 4\n\n"


@dataclass
class Connection:
    """Connection that brings given pieces of an answer."""

    chunks: object
    read_bytes: int = 0

    async def read_chunk(self):
        chunk = next(self.chunks, None)
        self.read_bytes += len(chunk or b"")
        return chunk


@dataclass
class Head:
    ends_with_connection: bool = False
    headers: list = field(default_factory=list)


def read(chunks, ends_with_connection=False):
    connection = Connection(iter(chunks))
    return asyncio.run(read_to_first_event(connection, Head(ends_with_connection), "3"))


def test_what_precedes_the_first_event_is_kept():
    chunks = [b": ping\n", b"\n: ping\n\nretry: 1\n\n", EVENT[:5], EVENT[5:] + b"id: 5", b"no"]
    assert read(chunks) == (b"".join(chunks[:4]), False)


def test_answer_without_an_event_may_end():
    assert read([b": ping\n\n"]) == (b": ping\n\n", True)


@pytest.mark.parametrize(("chunks", "by_close"), [([b"data: 4\n"], False), ([b": ping\n\n"], True)])
def test_answer_that_breaks_off_is_lost(chunks, by_close):
    with pytest.raises(ConnectionLostError):
        read(chunks, by_close)


@pytest.mark.parametrize("block", [b": ping\n\n", b"retry: 1\n\n", b"id: 9\n\n", b":", b"data: "])
@pytest.mark.parametrize("repeated", [1, 6_000])
def test_bytes_without_an_event_are_read_up_to_a_bound(block, repeated):
    """Guards against LOST: comments were kept for as long as they came, here and from peers."""
    block *= repeated
    connection = Connection(itertools.repeat(block))
    with pytest.raises(EventTooLargeError):
        asyncio.run(read_to_first_event(connection, Head(), "3"))
    assert connection.read_bytes <= MAX_EVENT_BYTES + 2 * len(block)
