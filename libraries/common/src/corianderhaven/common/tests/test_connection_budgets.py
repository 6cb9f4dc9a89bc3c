"""Tests of the bounds on what all connections of a process buffer together."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import AsyncHttpServer, CallerDisconnectedError, Clock, ServerLimits
from corianderhaven.common._connection_budgets import (
    MAX_FRAGMENTED_BODIES,
    BufferBudget,
    ConnectionBudgets,
    connection_budgets,
)

MIB = 1 << 20


class Holder:
    def __init__(self, discarded):
        self.discarded = discarded

    def discard(self, budget):
        self.discarded.append(self)


def test_largest_unfinished_request_gives_way_to_an_ordinary_one():
    """Guards against a crowd of large bodies that keeps ordinary requests out."""
    discarded = []
    budget = BufferBudget(10 * MIB)
    crowd = [Holder(discarded) for _ in range(10)]
    for number, holder in enumerate(crowd):
        budget.record(holder, MIB - number)
    ordinary = Holder(discarded)
    budget.record(ordinary, 2_000)
    assert discarded == [crowd[0]]
    assert budget.begin_handling(ordinary, 2_000)


def test_single_request_above_the_budget_is_handled():
    """Guards against a configured limit that no request can use on a small VM."""
    discarded = []
    budget = BufferBudget(MIB)
    alone = Holder(discarded)
    budget.record(alone, 4 * MIB)
    budget.record(alone, 0)
    assert budget.begin_handling(alone, 8 * MIB)
    assert discarded == []
    assert not budget.begin_handling(Holder(discarded), 8 * MIB)
    budget.end_handling(alone)
    assert budget.handled_bytes == budget.large_bytes == 0


def test_large_requests_being_handled_leave_room_for_small_ones():
    """Guards against slow endpoints that turn a few large bodies into refusals of all."""
    budget = BufferBudget(16 * MIB)
    large = [budget.begin_handling(Holder([]), 4 * MIB) for _ in range(8)]
    assert large.count(True) == 2
    assert all(budget.begin_handling(Holder([]), 4_000) for _ in range(900))


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3 * MIB)), max_size=60))
def test_sum_stays_within_the_limit_unless_one_holder_is_alone(changes):
    discarded = []
    budget = BufferBudget(8 * MIB)
    holders = [Holder(discarded) for _ in range(10)]
    for index, size in changes:
        budget.record(holders[index], size)
        assert budget.held_bytes == sum(budget.held.values())
        assert budget.held_bytes <= 8 * MIB or len(budget.held) == 1


@pytest.mark.parametrize("memory_mb", [64, 112, 152, 424, 1_024])
def test_budgets_of_a_vm_have_room_for_a_message_at_the_limits(memory_mb):
    budgets = ConnectionBudgets()
    budgets.set_memory(memory_mb)
    assert budgets.requests.limit_bytes >= 2 * 4 * MIB
    assert budgets.answers.limit_bytes > 16 * MIB


def test_few_bodies_in_tiny_chunks_are_parsed_at_a_time():
    budgets = ConnectionBudgets()
    accepted = [budgets.begin_fragmented(number) for number in range(10)]
    assert accepted.count(True) == MAX_FRAGMENTED_BODIES
    assert budgets.begin_fragmented(0)


def counted_bytes():
    requests, answers = connection_budgets.requests, connection_budgets.answers
    return requests.held_bytes, requests.handled_bytes, answers.held_bytes


def run_with_server(handle, scenario, **limits):
    async def run():
        server = await AsyncHttpServer("127.0.0.1:0", handle, Clock()).start()
        server.limits = ServerLimits(**limits)
        server.user_timeout_ms = lambda: 60_000
        try:
            await asyncio.wait_for(scenario(server), 10.0)
        finally:
            server.close()
        await asyncio.sleep(0)

    before = counted_bytes()
    asyncio.run(run())
    assert counted_bytes() == before


async def connect(server):
    host, _, port = server.address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=1_024)


def test_caller_that_never_reads_is_cut_after_the_idle_timeout():
    """Guards against a stream that lasts for as long as its endpoint sends."""
    ended = asyncio.Event()

    async def handle(request, caller):
        await caller.send_head(200, [])
        try:
            while True:
                await caller.send_chunk(b"s" * 65_536)
        except (CallerDisconnectedError, asyncio.CancelledError):
            ended.set()
            raise

    async def scenario(server):
        before = connection_budgets.refusals["unread answer"]
        _, writer = await connect(server)
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        await ended.wait()
        assert connection_budgets.refusals["unread answer"] == before + 1
        writer.close()

    run_with_server(handle, scenario, idle_timeout_ms=300.0)


def test_refused_request_is_not_handled_though_its_end_has_come():
    """Guards against a 503 for a request that is handled all the same."""
    handled = []

    async def handle(request, caller):
        handled.append(request)
        await caller.send_response(200, [], b"")

    async def scenario(server):
        reader, writer = await connect(server)
        writer.write(b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
        while not server.connections or not next(iter(server.connections)).reading:
            await asyncio.sleep(0.01)
        connection = next(iter(server.connections))
        connection.parser.receive_data(b"1\r\nx\r\n0\r\n\r\n")
        connection.discard(connection_budgets.requests)
        connection.wake_reader()
        assert (await reader.readline()).split()[1] == b"503"
        await reader.read()
        writer.close()

    run_with_server(handle, scenario)
    assert handled == []


def test_connection_that_waits_longest_is_closed_above_the_limit():
    """Guards against idle connections that keep others out."""

    async def handle(request, caller):
        await caller.send_response(200, [], b"")

    async def scenario(server):
        server.max_connections = 3
        opened = [await connect(server) for _ in range(3)]
        while len(server.connections) < 3:
            await asyncio.sleep(0.01)
        reader, writer = await connect(server)
        writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        assert (await reader.readline()).split()[1] == b"200"
        assert await opened[0][0].read() == b""
        assert len(server.connections) == 3
        for _, other in [*opened, (reader, writer)]:
            other.close()

    run_with_server(handle, scenario)


@pytest.mark.parametrize("size", [65_536, 65_537, 1_000_000])
def test_large_answer_is_sent_whole_and_the_connection_stays(size):
    """Guards against an answer that is cut or framed wrongly as it is sent in parts."""

    async def handle(request, caller):
        await caller.send_response(200, [], b"a" * size)

    async def scenario(server):
        reader, writer = await connect(server)
        for _ in range(2):
            writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"content-length: %d\r\n" % size in head.lower()
            assert await reader.readexactly(size) == b"a" * size
        writer.close()

    run_with_server(handle, scenario)
