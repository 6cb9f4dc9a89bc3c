"""Tests of crash evidence in a simulated fleet, against the bounds of the users' target.

After the fifth crash and the time within which daemons in contact share their evidence, at most
three sends may follow. Sound requests begin at the first attempt at least half as often as
otherwise. Ordinary losses of endpoints leave no sound part under suspicion for long.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.gateway import Verdict
from corianderhaven.gateway._crash_evidence import (
    EVIDENCE_MS,
)
from corianderhaven.gateway.tests.crash_fleet import (
    CONTACT_MS,
    CRASHING,
    CrashFleet,
    Shape,
    proof_and_false_suspicion,
)

MAX_LATE_SENDS = 3
MIN_SOUND_SHARE = 0.5

CRASH_SHAPES = {
    "slow": Shape(crashing_per_s=0.5),
    "steady": Shape(crashing_per_s=3.0),
    "fast": Shape(crashing_per_s=20.0),
    "burst of five": Shape(burst=5, crashing_per_s=1.0),
    "burst at each daemon": Shape(daemons=10, burst=10, crashing_per_s=6.0),
    "one caller": Shape(callers=1, crashing_per_s=10.0),
    "with losses": Shape(crashing_per_s=3.0, losses_ms=(3_000.0,), domain_losses_ms=(4_500.0,)),
    "few sound requests": Shape(sound_per_s=5.0, crashing_per_s=5.0, losses_ms=(4_000.0,)),
}
LOSS_SHAPES = {
    "share": Shape(losses_ms=(3_000.0,)),
    "domain": Shape(domain_losses_ms=(3_000.0,)),
    "repeated": Shape(losses_ms=(3_000.0, 4_200.0, 7_000.0), domain_losses_ms=(5_500.0,)),
    "busy": Shape(sound_per_s=150.0, losses_ms=(3_000.0,), domain_losses_ms=(4_500.0,)),
    "few requests": Shape(sound_per_s=5.0, losses_ms=(3_000.0, 4_500.0)),
}
SEEDS = range(4)


def check(figures):
    assert figures.late_sends() <= MAX_LATE_SENDS
    assert figures.falsely_proven == set()
    assert figures.sound - figures.sound_refused >= MIN_SOUND_SHARE * figures.sound


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", CRASH_SHAPES)
def test_crashing_part_gets_few_sends_after_the_fifth_crash(name, seed):
    figures = CrashFleet(CRASH_SHAPES[name], seed).play()
    assert figures.crashes_ms
    check(figures)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", LOSS_SHAPES)
def test_ordinary_losses_put_no_sound_part_under_lasting_suspicion(name, seed):
    """A lost share or domain ends many endpoints at one moment, with sound parts on them."""
    fleet = CrashFleet(LOSS_SHAPES[name], seed)
    check(fleet.play())
    fleet.clock.advance_ms(EVIDENCE_MS)
    for ledger in fleet.ledgers:
        assert all(listed.verdict is Verdict.CLEAR for listed in ledger.listing())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", ["steady", "fast", "burst of five", "with losses"])
def test_part_of_many_sound_requests_is_cleared_within_the_time_of_contact(name, seed):
    """A caller's own part is in its crashing requests as in its sound ones."""
    figures = CrashFleet(CRASH_SHAPES[name], seed).play()
    longest_ms = max(
        (ms for part, ms in figures.suspicion_ms.items() if part.startswith("caller")), default=0.0
    )
    assert longest_ms <= CONTACT_MS


def test_proof_is_reached_and_ends_all_sends():
    """Requests with a proven part go on coming, and none of them is sent."""
    fleet = CrashFleet(Shape(crashing_per_s=10.0, duration_ms=20_000.0), 1)
    figures = fleet.play()
    assert figures.proof_ms is not None
    since_ms = figures.proof_ms + CONTACT_MS
    assert not [sent_ms for sent_ms in figures.sends_ms if sent_ms > since_ms]
    assert all(ledger.assess([CRASHING]).verdict is Verdict.PROVEN for ledger in fleet.ledgers)


def test_daemon_that_starts_later_learns_a_proof():
    fleet = CrashFleet(Shape(crashing_per_s=10.0, duration_ms=10_000.0), 1)
    fleet.play()
    started = type(fleet.ledgers[0])(fleet.clock)
    started.merge(fleet.ledgers[0].digest())
    assert started.assess([CRASHING]).verdict is Verdict.PROVEN


def test_figures_of_a_history():
    shape = Shape(crashing_per_s=10.0, duration_ms=10_000.0)
    ends, suspicion_ms = proof_and_false_suspicion(shape, 1)
    assert ends >= 5
    assert 0.0 <= suspicion_ms <= shape.duration_ms
    assert proof_and_false_suspicion(Shape(duration_ms=1_000.0), 1) == (None, 0.0)


@pytest.mark.parametrize(
    ("shape", "seed"),
    [
        (
            Shape(1, 89, 2.0, 5.0, 5, (1_951.0889369927822,), (), 1, 15_000.0),
            50_305,
        ),
        (
            Shape(2, 64, 2.0, 0.5, 8, (6_186.034475651014,), (2_585.550951687729,), 3, 15_000.0),
            10_029,
        ),
    ],
)
def test_callers_part_is_not_proven_where_crashing_requests_are_the_most(shape, seed):
    """Between the crashes no sound answer of that caller tells its part apart."""
    check(CrashFleet(shape, seed).play())


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.builds(
        Shape,
        daemons=st.integers(1, 6),
        endpoints=st.integers(10, 100),
        sound_per_s=st.sampled_from([2.0, 20.0, 60.0]),
        crashing_per_s=st.sampled_from([0.0, 1.0, 5.0, 15.0]),
        burst=st.integers(0, 8),
        losses_ms=st.lists(st.floats(1_000.0, 8_000.0), max_size=2),
        domain_losses_ms=st.lists(st.floats(1_000.0, 8_000.0), max_size=2),
        callers=st.integers(1, 6),
        duration_ms=st.just(10_000.0),
    ),
    st.integers(0, 1_000),
)
def test_bounds_hold_in_drawn_histories(shape, seed):
    check(CrashFleet(shape, seed).play())
