"""Tests of what a daemon knows of the limits that endpoints name."""

import math

import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import MIN_RATE_PER_S, Endpoint, LimitRecord
from corianderhaven.scheduling import SHARED_MS, EndpointLimits

HEAD = Endpoint("e-1", "pool", "10.0.0.1:80", "a", 9, False, started_ms=7)
NEXT_LIFE = Endpoint("e-1", "pool", "10.0.0.1:80", "a", 9, False, started_ms=8)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limits(clock):
    return EndpointLimits(clock, DecisionLog(clock))


def test_each_answer_sets_the_limit_at_once(limits, clock):
    for named in (2.0, 0.5, 40.0):
        limits.record_answer(HEAD, named, clock.now_ms())
        assert limits.rate_per_s(HEAD) == named


def test_answer_to_an_earlier_request_does_not_end_a_limit(limits, clock):
    sent_ms = clock.now_ms()
    clock.advance_ms(100.0)
    limits.record_answer(HEAD, 2.0, clock.now_ms())
    limits.record_answer(HEAD, None, sent_ms)
    assert limits.rate_per_s(HEAD) == 2.0
    clock.advance_ms(1.0)
    limits.record_answer(HEAD, None, clock.now_ms())
    assert limits.rate_per_s(HEAD) is None


@pytest.mark.parametrize("named", [0.0, -3.0, math.nan, math.inf, 1e-9])
def test_unusable_limit_is_taken_for_a_low_one(limits, named):
    limits.record_answer(HEAD, named, 0.0)
    assert limits.rate_per_s(HEAD) == MIN_RATE_PER_S


def test_limit_belongs_to_an_incarnation(limits, clock):
    limits.record_answer(HEAD, 2.0, clock.now_ms())
    assert limits.rate_per_s(NEXT_LIFE) is None
    limits.merge({HEAD.id: LimitRecord(NEXT_LIFE.started_ms, 5.0, 0.0)}, "peer")
    assert limits.rate_per_s(NEXT_LIFE) == 5.0
    limits.merge({HEAD.id: LimitRecord(HEAD.started_ms, 1.0, 0.0)}, "late peer")
    assert limits.rate_per_s(NEXT_LIFE) == 5.0


def test_daemon_learns_limits_and_their_end_from_peers(clock):
    first, second = (EndpointLimits(clock, DecisionLog(clock)) for _ in range(2))
    first.record_answer(HEAD, 2.0, clock.now_ms())
    second.merge(first.records(SHARED_MS), "first")
    assert second.rate_per_s(HEAD) == 2.0
    clock.advance_ms(1_000.0)
    first.record_answer(HEAD, None, clock.now_ms())
    second.merge(first.records(SHARED_MS), "first")
    assert second.rate_per_s(HEAD) is None


def test_older_evidence_of_a_peer_changes_nothing(limits, clock):
    clock.advance_ms(5_000.0)
    limits.record_answer(HEAD, None, clock.now_ms())
    limits.record_answer(HEAD, 2.0, clock.now_ms())
    limits.merge({HEAD.id: LimitRecord(HEAD.started_ms, None, 1_000.0)}, "peer")
    assert limits.rate_per_s(HEAD) == 2.0


def test_only_changes_are_shared_and_for_a_while(limits, clock):
    limits.record_answer(HEAD, 2.0, clock.now_ms())
    clock.advance_ms(SHARED_MS + 1.0)
    limits.record_answer(HEAD, 2.0, clock.now_ms())
    assert limits.records(SHARED_MS) == {}
    assert limits.records()[HEAD.id].age_ms == 0.0


def test_limits_of_former_endpoints_are_dropped(limits):
    limits.record_answer(HEAD, 2.0, 0.0)
    limits.prune(set())
    assert limits.count() == 0
