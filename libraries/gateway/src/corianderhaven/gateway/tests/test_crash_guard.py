"""Tests of finding out whether an endpoint ended under a request, and of trials."""

import asyncio
from dataclasses import replace

import pytest

from corianderhaven.common import Clock, DecisionLog, ManualClock
from corianderhaven.fleet import Endpoint, EndpointDirectory, PeerTable
from corianderhaven.gateway import RequestMetadata, Verdict
from corianderhaven.gateway._crash_evidence import (
    FIRST_PAUSE_MS,
    MOMENT_MS,
    PROOF_ENDS,
    SUSPECT_ENDS,
)
from corianderhaven.gateway._crash_guard import CrashGuard
from corianderhaven.standins import free_address

PARTS = ("first", "bad")
REQUEST = RequestMetadata("r", shared_parts=PARTS)
MAX_REJECTED_MS = 60_000.0


def make_guard(clock, *endpoints):
    decisions = DecisionLog(clock)
    directory = EndpointDirectory(clock, decisions)
    for endpoint in endpoints:
        directory.update(endpoint.id, endpoint, 1)
    return CrashGuard(directory, PeerTable("d0", clock), clock, decisions)


def make_endpoint(address, **fields):
    return Endpoint("e1", "pool", address, "a", 9, leaving=False, started_ms=7, **fields)


def ends_after_break(endpoint, change=lambda guard: None):
    """Return the number of ends that a break of an answer's opening phase adds."""

    async def run():
        guard = make_guard(Clock(), endpoint)
        change(guard)
        await guard.record_break(guard.begin(REQUEST, endpoint))
        guard.close()
        return len(guard.ledger.records["bad"].ends) if guard.ledger.records else 0

    return asyncio.run(run())


def test_endpoint_that_refuses_connections_has_ended():
    assert ends_after_break(make_endpoint(free_address())) == 1


def test_endpoint_that_listens_has_not_ended():
    async def run():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        endpoint = make_endpoint(f"{host}:{port}")
        guard = make_guard(Clock(), endpoint)
        await guard.record_break(guard.begin(REQUEST, endpoint))
        server.close()
        guard.close()
        return guard.ledger.records

    assert asyncio.run(run()) == {}


def test_planned_exit_is_no_evidence():
    """In a release each endpoint that left counted as ended by the prompts on it."""
    endpoint = make_endpoint(free_address())

    def leave(guard):
        guard.directory.mark_leaving("e1", 7, "answer")

    assert ends_after_break(endpoint, leave) == 0


def test_caller_who_leaves_does_not_end_the_check():
    async def run():
        endpoint = make_endpoint(free_address())
        guard = make_guard(Clock(), endpoint)
        probe = guard._probe

        async def slow_probe(endpoint):
            await asyncio.sleep(0.05)
            return await probe(endpoint)

        guard._probe = slow_probe
        task = asyncio.create_task(guard.record_break(guard.begin(REQUEST, endpoint)))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.2)
        guard.close()
        return len(guard.ledger.records["bad"].ends)

    assert asyncio.run(run()) == 1


@pytest.mark.parametrize("ends", [SUSPECT_ENDS, PROOF_ENDS - 1])
def test_part_suspected_on_a_sole_replica_is_tried_now_and_then(ends):
    """Without any trial a sound part would stay rejected while the model has one replica."""
    clock = ManualClock()
    guard = make_guard(clock)
    for number in range(ends):
        guard.ledger.record_end(f"e{number}", ("first",), clock.now_ms())
        clock.current_ms += 2 * MOMENT_MS
    assert guard.ledger.assess(("first",)).verdict is Verdict.SUSPECTED
    request = replace(REQUEST, shared_parts=("first",))
    assert guard.check(request, has_other_replica=lambda: False) is not None
    rejected_ms = 0.0
    while guard.check(request, has_other_replica=lambda: False) is not None:
        clock.current_ms += 1_000.0
        rejected_ms += 1_000.0
        assert rejected_ms < MAX_REJECTED_MS


def test_ends_on_a_sole_replica_are_bounded():
    clock = ManualClock()
    guard = make_guard(clock)
    ends = []
    for _ in range(1_200):
        if guard.check(REQUEST, has_other_replica=lambda: False) is None:
            ends.append(clock.now_ms())
            guard.ledger.record_end(f"e{len(ends)}", PARTS, clock.now_ms())
        clock.current_ms += 1_000.0
    assert len(ends) >= PROOF_ENDS
    assert sum(t > ends[PROOF_ENDS - 1] + 3_000.0 for t in ends) <= 3


def test_trials_whose_result_is_never_known_are_bounded():
    """Each turn's owner tried a proven part once a second after the pause: 60 in a minute."""
    clock = ManualClock()
    guard = make_guard(clock)
    for number in range(PROOF_ENDS):
        guard.ledger.record_end(f"e{number}", PARTS, clock.now_ms())
        clock.current_ms += 2 * MOMENT_MS
    clock.current_ms += FIRST_PAUSE_MS
    trials = 0
    for _ in range(60):
        if guard.check(REQUEST) is None:
            guard.begin(REQUEST, make_endpoint("127.0.0.1:1")).finish()
            trials += 1
        clock.current_ms += 1_000.0
    assert trials == 1


def test_check_that_fails_is_logged():
    async def run():
        endpoint = make_endpoint(None)  # an error that connecting does not expect
        guard = make_guard(Clock(), endpoint)
        opening = guard.begin(REQUEST, endpoint)
        task = asyncio.create_task(guard._check_later(endpoint))
        await asyncio.gather(task, return_exceptions=True)
        guard._note_result(opening, 0.0, task)
        guard.close()
        return guard.decisions.find("e1")

    assert "end_check_failed" in str(asyncio.run(run()))
