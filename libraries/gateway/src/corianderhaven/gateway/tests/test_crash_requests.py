"""Tests of evidence that a whole request ends endpoints, which comes again to the letter."""

import asyncio
from dataclasses import replace

import pytest

from corianderhaven.common import CallerRequest, ManualClock
from corianderhaven.fleet import Account
from corianderhaven.gateway import CrashLedger, RequestMetadata, Verdict
from corianderhaven.gateway._crash_evidence import (
    EVIDENCE_MS,
    MOMENT_MS,
    REQUEST_PROOF_ENDS,
)
from corianderhaven.gateway._crash_guard import DIGEST_PIECE_BYTES, digest_request
from corianderhaven.gateway._crash_ledger import MAX_PARTS, MAX_REQUESTS
from corianderhaven.gateway.tests.crash_fleet import CRASHING_REQUEST, CrashFleet, Shape

REQUEST = "request:0f"
MAX_LATE_SENDS = 3
MIN_SOUND_SHARE = 0.5
CRASH_SHAPES = {
    "slow": Shape(crashing_per_s=0.5),
    "steady": Shape(crashing_per_s=3.0),
    "fast": Shape(crashing_per_s=20.0),
    "burst of five": Shape(burst=5, crashing_per_s=1.0),
    "burst at each daemon": Shape(daemons=10, burst=10, crashing_per_s=6.0),
    "few endpoints": Shape(endpoints=3, crashing_per_s=4.0),
    "with losses": Shape(crashing_per_s=3.0, losses_ms=(3_000.0,), domain_losses_ms=(4_500.0,)),
}
LOSS_SHAPES = {
    "share": Shape(losses_ms=(3_000.0,)),
    "repeated": Shape(losses_ms=(3_000.0, 4_200.0, 7_000.0), domain_losses_ms=(5_500.0,)),
    "busy": Shape(sound_per_s=150.0, losses_ms=(3_000.0,), domain_losses_ms=(4_500.0,)),
}
SEEDS = range(4)


@pytest.fixture
def clock():
    return ManualClock()


def ledger_with_ends(clock, ends, gap_ms):
    ledger = CrashLedger(clock)
    for number in range(ends):
        if number:
            clock.advance_ms(gap_ms)
        ledger.record_end(f"e-{number}", (REQUEST,), clock.now_ms())
    return ledger


@pytest.mark.parametrize(
    ("ends", "verdict"),
    [(1, Verdict.CLEAR), (2, Verdict.SUSPECTED), (REQUEST_PROOF_ENDS, Verdict.PROVEN)],
)
def test_ends_at_different_times_add_up_to_a_proof(clock, ends, verdict):
    ledger = ledger_with_ends(clock, ends, 2 * MOMENT_MS)
    assert ledger.assess((REQUEST,)).verdict is verdict


def test_ends_long_after_each_other_add_up_to_a_proof(clock):
    """The request came again half a minute later, and two more workers ended."""
    ledger = ledger_with_ends(clock, REQUEST_PROOF_ENDS, EVIDENCE_MS * 2)
    assert ledger.assess((REQUEST,)).verdict is Verdict.PROVEN


def test_ends_of_one_moment_prove_nothing_but_leave_one_trial(clock):
    ledger = ledger_with_ends(clock, REQUEST_PROOF_ENDS, 0.0)
    assert ledger.assess((REQUEST,)).verdict is Verdict.SUSPECTED
    assert not ledger.admit((REQUEST,), lambda part: True).allowed
    clock.advance_ms(2 * MOMENT_MS)
    assert ledger.admit((REQUEST,), lambda part: True).allowed
    assert not ledger.admit((REQUEST,), lambda part: False).allowed
    ledger.record_end("e-next", (REQUEST,), clock.now_ms())
    assert ledger.assess((REQUEST,)).verdict is Verdict.PROVEN


def test_sound_answer_clears_a_request(clock):
    ledger = ledger_with_ends(clock, 2, 2 * MOMENT_MS)
    clock.advance_ms(2 * MOMENT_MS)
    ledger.record_success((REQUEST,), clock.now_ms())
    assert ledger.assess((REQUEST,)).verdict is Verdict.CLEAR


def test_requests_broken_off_by_losses_displace_no_part(clock):
    ledger = CrashLedger(clock)
    for number in range(MAX_PARTS):
        ledger.record_end(f"e-{number}", (f"part-{number}",), clock.now_ms())
    for number in range(2 * MAX_REQUESTS):
        ledger.record_end(f"r-{number}", (f"request:{number}",), clock.now_ms())
    kinds = [part.startswith("request:") for part in ledger.records]
    assert (kinds.count(False), kinds.count(True)) == (MAX_PARTS, MAX_REQUESTS)


def test_single_end_of_a_request_is_told_to_peers_for_a_short_time_only(clock):
    """Each ordinary loss breaks requests off; all of them in each digest would be many bytes."""
    ledger = ledger_with_ends(clock, 1, 0.0)
    assert REQUEST in ledger.digest()
    clock.advance_ms(2_000.0)
    assert ledger.digest() == {}


def digest(request, account="team-a"):
    return asyncio.run(digest_request(request, Account(account, ()) if account else None))


def test_digest_tells_requests_apart_by_path_caller_and_body():
    request = CallerRequest(b"POST", b"/a?b=1", [(b"x", b"1")], b"body")
    others = [
        replace(request, method=b"PUT"),
        replace(request, target=b"/a?b=2"),
        replace(request, body=b"bodx"),
    ]
    digests = [digest(request), digest(request, "team-b"), digest(request, None)]
    digests += [digest(other) for other in others]
    assert len(set(digests)) == len(digests)
    assert digest(replace(request, headers=[(b"x", b"2")])) == digest(request)


def test_large_body_is_digested_in_pieces_while_others_run():
    async def run():
        body = bytes(10 * DIGEST_PIECE_BYTES)
        task = asyncio.create_task(digest_request(CallerRequest(b"POST", b"/", [], body), None))
        turns = 0
        while not task.done():
            await asyncio.sleep(0)
            turns += 1
        return turns

    assert asyncio.run(run()) >= 10


def test_caller_cannot_name_another_request_as_a_part():
    metadata = RequestMetadata("r", shared_parts=(REQUEST, "5c1e07a2"), whole_part="request:aa")
    assert REQUEST not in metadata.blamed_parts
    assert metadata.blamed_parts[1:] == ("5c1e07a2", "request:aa")


def check(figures):
    assert figures.late_sends() <= MAX_LATE_SENDS
    assert figures.falsely_proven == set()
    assert figures.sound - figures.sound_refused >= MIN_SOUND_SHARE * figures.sound


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", CRASH_SHAPES)
def test_crashing_request_gets_few_sends_after_the_third_crash(name, seed):
    figures = CrashFleet(replace(CRASH_SHAPES[name], culprit=CRASHING_REQUEST), seed).play()
    assert figures.crashes_ms
    check(figures)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", LOSS_SHAPES)
def test_ordinary_losses_blame_no_request(name, seed):
    check(CrashFleet(replace(LOSS_SHAPES[name], culprit=CRASHING_REQUEST), seed).play())
