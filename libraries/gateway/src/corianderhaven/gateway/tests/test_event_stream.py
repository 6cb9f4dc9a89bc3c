"""Tests of answers that are split into events, and of those whose first event doesn't come."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

import pytest

from corianderhaven.common import ConnectionLostError
from corianderhaven.gateway._event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLargeError,
    read_to_first_event,
)

EVENT = b"id: 4\ndata: 4\n\n"
SMALL_CHUNKS = 2_000
MAX_SLOWDOWN = 20.0


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


def feeding_time_s(begun_bytes):
    """Return the shortest of three times to feed small chunks to an event that has begun."""
    times = []
    for _ in range(3):
        splitter = EventSplitter()
        splitter.feed(b"data: " + b"d" * begun_bytes)
        began_s = time.perf_counter()
        for _ in range(SMALL_CHUNKS):
            splitter.feed(b"d")
        times.append(time.perf_counter() - began_s)
    return min(times)


def test_small_chunks_cost_as_much_late_in_an_event_as_at_its_beginning():
    """Guards against events that are searched and copied whole for each chunk of theirs."""
    assert feeding_time_s(200_000) < MAX_SLOWDOWN * feeding_time_s(0)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\n\n"])
@pytest.mark.parametrize("size", range(1, 12))
def test_events_are_the_same_whatever_the_chunks(end, size):
    data = (b"id: 7\ndata: a" + end + b": c" + end) * 3 + b"data: partial"
    splitter = EventSplitter("3")
    fed = [splitter.feed(data[i : i + size]) for i in range(0, len(data), size)]
    assert b"".join(fed) + splitter.partial == data
    assert splitter.partial.lstrip(b"\n") == b"data: partial"
    assert (splitter.event_count, splitter.data_event_count) == (6, 3)
    assert splitter.last_event_id == "7"


@pytest.mark.parametrize("ids", [b"id: %b\n\n", b"id: 1\ndata: 1\n\nid: %b\ndata: 2\n\n"])
def test_id_of_excessive_length_is_no_event(ids):
    """Guards against ids that are kept for each stream, logged, and sent in a request's headers."""
    splitter = EventSplitter("3")
    with pytest.raises(EventTooLargeError):
        splitter.feed(ids % (b"7" * 5_000))
    assert splitter.last_event_id in ("3", "1")


@pytest.mark.parametrize("before", [b": c\n\n", b"id: 1\n\n", b"data: 1\n\n", b": c\n"])
def test_event_without_an_id_counts_wherever_it_begins(before):
    """Guards against an event that is overlooked as others came with it."""
    splitter = EventSplitter()
    splitter.feed(before + b"data: 2\n\n")
    assert splitter.data_event_count == 1 + before.startswith(b"data")
