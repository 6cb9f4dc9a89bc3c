"""Tests of the rate bound of cold heads in simulated fleets, and of its use while requests wait."""

import random

import pytest

from corianderhaven.common import MS_PER_S

from .cold_fleet import ColdFleet, ColdShape

COLD_PER_S = 15.0
ALLOWED = COLD_PER_S * 1.5 + 5.0
MIN_USE = 0.9
PER_HEAD_PER_S = 16.0  # what a warm head answers
SEEDS = range(2)
FLEETS = [(2, 3), (4, 6), (12, 9)]
LARGE_FLEETS = [(31, 12), (78, 15), (300, 15)]
CLOSED = (4_000.0, 8_000.0, 1)  # one zone, so that its heads are empty and then cold
COLD_MS = 6_000.0


def returning(daemons, heads, load=1.5, **fields):
    """Return the shape of a fleet in which the heads of a zone return cold."""
    defaults = {
        "heads": heads,
        "requests_per_s": load * heads * PER_HEAD_PER_S,
        "closed": CLOSED,
        "cold_ms": COLD_MS,
        "duration_ms": CLOSED[1] + COLD_MS + MS_PER_S,
    }
    return ColdShape(daemons, **(defaults | fields))


def turning(daemons, heads, load, seed, **fields):
    """Return the shape of a fleet in which each head turns cold unseen at some time."""
    draw = random.Random(seed)
    turns = tuple((draw.uniform(3_000.0, 13_000.0), head) for head in range(heads))
    return ColdShape(
        daemons,
        heads=heads,
        requests_per_s=load * heads * PER_HEAD_PER_S,
        turns=turns,
        duration_ms=16_000.0,
        **fields,
    )


def run(shape, seed):
    fleet = ColdFleet(shape, seed)
    fleet.run()
    return fleet


@pytest.mark.parametrize(("daemons", "heads"), FLEETS)
def test_load_breaks_the_bound_where_no_rate_is_configured(daemons, heads):
    """Guards against a load that is too light to test anything."""
    assert run(returning(daemons, heads, cold_per_s=0.0), 0).most_while_cold() > ALLOWED


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("daemons", "heads"), FLEETS)
def test_heads_that_return_cold_are_not_flooded_and_used(daemons, heads, seed):
    """Guards against all daemons filling them at once, and against permits that nobody uses."""
    fleet = run(returning(daemons, heads), seed)
    assert fleet.most_while_cold() <= ALLOWED
    assert fleet.share_used(CLOSED[1] + MS_PER_S, CLOSED[1] + COLD_MS) >= MIN_USE


@pytest.mark.parametrize(("daemons", "heads"), LARGE_FLEETS)
def test_large_fleets_keep_the_bound_and_use_the_rate(daemons, heads):
    fleet = run(returning(daemons, heads, cold_ms=4_000.0, duration_ms=12_000.0), 0)
    assert fleet.most_while_cold() <= ALLOWED
    assert fleet.share_used(CLOSED[1] + MS_PER_S, CLOSED[1] + 4_000.0) >= MIN_USE


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("daemons", "heads"), FLEETS)
def test_lost_answers_of_issuers_break_no_bound(daemons, heads, seed):
    fleet = run(returning(daemons, heads, lost_share=0.2), seed)
    assert fleet.most_while_cold() <= ALLOWED


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("cut_at_ms", [1_000.0, 7_500.0, 9_000.0])
@pytest.mark.parametrize(("daemons", "heads"), FLEETS[1:])
def test_sides_of_a_cut_keep_the_bound_together(daemons, heads, cut_at_ms, seed):
    """Heads that both sides reach get what both send."""
    cut = (cut_at_ms, 14_000.0, 1)
    fleet = run(returning(daemons, heads, cut=cut, cut_reaches_all=True), seed)
    assert fleet.most_while_cold() <= ALLOWED


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("daemons", "heads"), FLEETS[1:])
def test_long_cut_keeps_the_bound(daemons, heads, seed):
    """Guards against the side with the store taking the whole rate once the other isn't listed."""
    shape = returning(
        daemons,
        heads,
        cut=(2_000.0, 30_000.0, 1),
        cut_reaches_all=True,
        closed=(10_000.0, 15_000.0, 1),
        duration_ms=22_000.0,
    )
    assert run(shape, seed).most_while_cold() <= ALLOWED


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("daemons", "heads"), FLEETS[1:])
def test_restarts_of_issuers_break_no_bound(daemons, heads, seed):
    """Issuers come back without knowledge of the permits that are still used."""
    restarts = tuple((8_500.0 + 900.0 * n, n % daemons, 600.0) for n in range(4))
    fleet = run(returning(daemons, heads, restarts=restarts), seed)
    assert fleet.most_while_cold() <= ALLOWED


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [0.05, 0.3, 0.6, 0.9, 1.5])
@pytest.mark.parametrize(("daemons", "heads"), FLEETS)
def test_heads_that_turn_cold_unseen_are_not_flooded(daemons, heads, load, seed):
    """Guards against filling a head twice in a second while its entry is still under way."""
    assert run(turning(daemons, heads, load, seed), seed).most_while_cold() <= ALLOWED
