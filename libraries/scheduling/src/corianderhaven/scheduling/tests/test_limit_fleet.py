"""Tests of permits in simulated fleets: sends over the allowed ones, and use of the limits."""

import pytest

from corianderhaven.common import MS_PER_S

from .limit_fleet import Fleet, Shape

CONTACT_MS = 3_000.0
WINDOW_MS = 4_000.0
ALLOWED_RATIO = 1.5
ALLOWED_BURST = 5
USE_MS = 10_000.0  # over which a limit is used; longer if it allows few requests in that time
MIN_USE = 0.9
MIN_ALLOWED_IN_USE = 20
LEAD_MS = 10_000.0
SEEDS = range(3)


def most_in_window(times_ms, from_ms):
    times = [t for t in times_ms if t >= from_ms]
    most = first = 0
    for last, time in enumerate(times):
        while times[first] < time - WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed(limit):
    return ALLOWED_RATIO * limit * WINDOW_MS / MS_PER_S + ALLOWED_BURST


def check_within(figures, limits, from_ms=CONTACT_MS):
    for number, limit in enumerate(limits):
        most = most_in_window(figures.sends_ms[number], from_ms)
        assert most <= allowed(limit), f"endpoint {number}: {most} sends, {allowed(limit)} allowed"


def use(figures, limits, duration_ms):
    """Return the share of all limits together that is used from `LEAD_MS` on."""
    times = [t for sends in figures.sends_ms.values() for t in sends]
    count = sum(LEAD_MS <= t < LEAD_MS + duration_ms for t in times)
    return count / (sum(limits) * duration_ms / MS_PER_S)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("limit", [0.3, 2.0, 9.0])
@pytest.mark.parametrize("daemons", [4, 12, 78, 300])
def test_fleet_uses_limits_and_breaks_none(daemons, limit, seed):
    limits = (limit,) * max(3, daemons // 10)
    use_ms = max(USE_MS, MIN_ALLOWED_IN_USE / limit * MS_PER_S)
    shape = Shape(
        daemons,
        limits_per_s=limits,
        requests_per_s=3.0 * sum(limits),
        duration_ms=LEAD_MS + use_ms,
    )
    figures = Fleet(shape, seed).run()
    check_within(figures, limits)
    assert use(figures, limits, use_ms) >= MIN_USE


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_that_changes_is_kept(seed):
    before, after = 8.0, 1.0
    shape = Shape(limits_per_s=(before,) * 3, changes=tuple((8_000.0, i, after) for i in range(3)))
    figures = Fleet(shape, seed).run()
    check_within(figures, (before,) * 3)
    check_within(figures, (after,) * 3, 8_000.0 + CONTACT_MS)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("daemons", [4, 12, 78])
def test_restarts_of_issuers_break_no_limit(daemons, seed):
    """Each issuer that comes back starts empty, while its permits are still used."""
    limits = (2.0,) * max(3, daemons // 10)
    restarts = tuple(
        (4_000.0 + 2_000.0 * turn, turn % daemons, 1_500.0) for turn in range(min(daemons, 6))
    )
    shape = Shape(daemons, limits_per_s=limits, requests_per_s=3.0 * sum(limits), restarts=restarts)
    figures = Fleet(shape, seed).run()
    check_within(figures, limits)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("cut_ms", [5_000.0, 14_000.0])
@pytest.mark.parametrize("daemons", [4, 12, 78])
def test_sides_of_a_cut_stay_within_the_limit_together(daemons, cut_ms, seed):
    """Endpoints that both sides reach get what both send."""
    limits = (2.0,) * max(3, daemons // 10)
    shape = Shape(
        daemons,
        limits_per_s=limits,
        requests_per_s=3.0 * sum(limits),
        cut=(6_000.0, 6_000.0 + cut_ms, 1),
        cut_reaches_all=True,
        duration_ms=26_000.0,
    )
    check_within(Fleet(shape, seed).run(), limits)
