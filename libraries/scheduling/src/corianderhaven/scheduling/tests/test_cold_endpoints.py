"""Tests of what counts as cold, and of the permits for it."""

from dataclasses import replace

import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import (
    COLD_PERMIT_LIFETIME_MS,
    Endpoint,
    EngineSpec,
    FleetConfig,
    PermitOffer,
    ServiceSpec,
    cold_permit_rate_per_s,
)
from corianderhaven.scheduling import ColdEndpoints, EndpointLimits, SendPermits

COLD_MS = 3_000.0
HEAD = Endpoint("e-1", "pool", "10.0.0.1:80", "a", 17, False, started_ms=7)
PLAIN = Endpoint("p-1", "plain", "10.0.0.2:80", "a", 17, False, started_ms=7)
OTHER = Endpoint("o-1", "other", "10.0.0.3:80", "a", 17, False, started_ms=7)
SPECS = (
    ServiceSpec("pool", EngineSpec(17, ()), 15.0, COLD_MS),
    ServiceSpec("plain", None, 15.0, COLD_MS),
    ServiceSpec("other"),
)
CONFIG = FleetConfig(1, (), {spec.name: spec for spec in SPECS}, ())


class Site:
    """What a daemon knows of the endpoints of a site, under a fake clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.requests = {}
        decisions = DecisionLog(self.clock)
        self.cold = ColdEndpoints(self.clock, decisions)
        self.cold.endpoints = lambda: [HEAD, PLAIN, OTHER]
        self.cold.in_flight = lambda endpoint_id: self.requests.get(endpoint_id, 0)
        self.cold.configure(CONFIG)
        self.limits = EndpointLimits(self.clock, decisions, self.cold)
        self.permits = SendPermits(self.clock, self.limits, "a")

    def pass_time(self, time_ms):
        for _ in range(round(time_ms / 100.0)):
            self.clock.advance_ms(100.0)
            self.cold.observe()


@pytest.fixture
def site():
    return Site()


@pytest.fixture
def busy(site):
    """Return a site with traffic at each endpoint."""
    site.requests = {HEAD.id: 3, PLAIN.id: 1, OTHER.id: 1}
    site.pass_time(5_000.0)
    return site


def test_nothing_is_cold_before_the_first_request(site):
    """Endpoints that start together with the site have time to warm up."""
    site.cold.note_entry(HEAD, None)
    site.cold.assume_cold("a")
    site.pass_time(16_000.0)
    assert not site.cold.is_cold(HEAD)
    site.cold.record_send(HEAD)
    assert not site.cold.is_cold(HEAD)


def test_cold_entry_counts_before_the_first_request(site):
    """A daemon that starts under traffic reads it before it sees any."""
    site.cold.note_entry(replace(HEAD, warmup_remaining_ms=2_000.0), HEAD)
    assert site.cold.is_cold(HEAD)


def test_daemon_that_starts_under_traffic_takes_all_endpoints_for_cold(site):
    """It can't know of an evacuation that ended before, and heads in use don't seem cold."""
    site.requests = {HEAD.id: 9}
    site.cold.observe()
    assert site.cold.is_cold(HEAD)
    assert site.cold.is_cold(PLAIN)
    site.pass_time(COLD_MS)
    assert not site.cold.is_cold(HEAD)


def test_service_without_a_rate_has_no_cold_endpoints(busy):
    busy.cold.note_entry(replace(OTHER, warmup_remaining_ms=2_000.0), OTHER)
    busy.cold.assume_cold("a")
    busy.requests = {}
    busy.pass_time(5_000.0)
    assert busy.limits.rate_per_s(OTHER) is None
    assert busy.permits.try_take(OTHER)


def test_cold_entry_counts_at_once_and_a_later_warm_one_ends_it(busy):
    cold = replace(HEAD, warmup_remaining_ms=2_500.0)
    assert busy.cold.note_entry(cold, HEAD)
    assert busy.cold.is_cold(HEAD)
    assert not busy.cold.note_entry(replace(cold, warmup_remaining_ms=2_490.0), cold)
    busy.pass_time(1_200.0)
    assert busy.cold.note_entry(HEAD, cold)
    assert not busy.cold.is_cold(HEAD)


def test_cold_time_ends_without_another_entry(busy):
    busy.cold.note_entry(replace(HEAD, warmup_remaining_ms=1e400), HEAD)
    busy.pass_time(COLD_MS)
    assert not busy.cold.is_cold(HEAD)


def test_warm_entry_written_before_the_return_does_not_end_the_cold_time(busy):
    """An entry arrives up to two seconds late."""
    busy.cold.assume_cold("a")
    busy.pass_time(1_900.0)
    busy.cold.note_entry(HEAD, HEAD)
    assert busy.cold.is_cold(HEAD)
    busy.pass_time(200.0)
    busy.cold.note_entry(HEAD, HEAD)
    assert not busy.cold.is_cold(HEAD)


@pytest.mark.parametrize("previous", [None, replace(HEAD, started_ms=6)])
def test_endpoint_that_starts_or_returns_under_traffic_is_cold(busy, previous):
    busy.requests = {}
    busy.cold.note_entry(HEAD, previous)
    assert busy.cold.is_cold(HEAD)


def test_entry_that_comes_back_does_not_make_an_endpoint_in_use_cold(busy):
    """Entries expire in an outage of the store, while the endpoints go on serving."""
    busy.cold.note_entry(HEAD, None)
    assert not busy.cold.is_cold(HEAD)


def test_named_remaining_time_counts(busy):
    busy.cold.note_statement(PLAIN, 800.0)
    assert busy.cold.is_cold(PLAIN)
    busy.pass_time(800.0)
    assert not busy.cold.is_cold(PLAIN)


def test_unused_head_is_cold_until_it_has_been_used_for_the_cold_time(busy):
    """A head that nobody uses could be filled twice in one second while its entry is under way."""
    busy.requests = {}
    busy.pass_time(1_200.0)
    assert busy.cold.is_cold(HEAD)
    busy.requests = {HEAD.id: 1}
    busy.pass_time(COLD_MS - 200.0)
    assert busy.cold.is_cold(HEAD)
    busy.pass_time(400.0)
    assert not busy.cold.is_cold(HEAD)


def test_unused_plain_endpoint_is_not_cold(busy):
    """Its requests are too short to be seen in digests, so it would always seem unused."""
    busy.requests = {}
    busy.pass_time(5_000.0)
    assert not busy.cold.is_cold(PLAIN)


def test_lower_one_of_two_limits_counts(busy):
    busy.cold.assume_cold("a")
    cold_per_s = busy.limits.rate_per_s(HEAD)
    assert cold_per_s == cold_permit_rate_per_s(15.0, 1.5, 5.0) == 15.0
    busy.limits.record_answer(HEAD, 2.0, busy.clock.now_ms())
    assert busy.limits.rate_per_s(HEAD) == 2.0
    busy.limits.record_answer(HEAD, 40.0, busy.clock.now_ms())
    assert busy.limits.rate_per_s(HEAD) == cold_per_s


def test_busy_head_is_guarded_at_a_higher_rate(busy):
    busy.cold.guarded = {HEAD.id}
    assert busy.limits.rate_per_s(HEAD) > 15.0
    assert not busy.cold.is_cold(HEAD)


def test_permit_for_a_cold_endpoint_expires_soon_after_the_wish(busy):
    """A late answer must not move the use of a permit into the next second's."""
    busy.cold.assume_cold("a")
    wishes = []
    busy.permits.request = wishes.append
    busy.permits.ask([HEAD], 0, 1)
    assert wishes[0].cold
    busy.clock.advance_ms(COLD_PERMIT_LIFETIME_MS + 10.0)
    busy.permits.apply_offer(wishes[0], PermitOffer(True, 0.0))
    assert not busy.permits.accepts(HEAD)


def test_daemon_without_a_permit_sends_nothing_to_a_cold_endpoint(busy):
    busy.cold.assume_cold("a")
    assert not busy.permits.try_take(HEAD)
    assert not busy.permits.try_take(PLAIN)


@pytest.mark.parametrize(("overrun", "slack"), [(1.5, 5.0), (1.2, 3.0), (2.0, 0.0), (1.0, 0.0)])
def test_permits_of_both_sides_of_a_cut_stay_within_the_bound(overrun, slack):
    """The rate follows the configured bound rather than one deployment's."""
    rate = cold_permit_rate_per_s(15.0, overrun, slack)
    assert rate <= 15.0
    assert 1.3 * rate * 1.2 + 4.0 <= 15.0 * overrun + slack + 1e-9
