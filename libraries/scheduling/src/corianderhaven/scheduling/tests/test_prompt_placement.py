"""Placement of long and short prompts on the same heads."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderhaven.common import ManualClock
from corianderhaven.fleet import Endpoint, HeadDigest
from corianderhaven.scheduling import (
    LatencyEstimator,
    LoadTracker,
    PromptPlacement,
    RequestCountPlacement,
    RequestWork,
    choose_endpoint,
)

from .prefill_engines import ENGINE, MODEL, PrefillFleet, draw_requests, percentile

ESTIMATOR = LatencyEstimator(ENGINE, MODEL)
SHORT_GOAL_MS = 251.0
LONG_SHARE = 0.15
# Requests a second of ten heads: about two thirds of their slots are taken.
BUSY_PER_S = 60.0


class Peers:
    """Peers that tell of some work."""

    def __init__(self, told=None):
        self.told = told or {}

    def peer_work_at(self, head_id):
        return self.told.get(head_id, HeadDigest(0))

    def peer_requests_at(self, head_id):
        return self.peer_work_at(head_id).own

    def all_peers_reporting(self):
        return True


def head(name):
    return Endpoint(name, "llm", f"127.0.0.1:{name[1:]}", "z", ENGINE.slots, False)


def choose(tracker, heads, work, slack_ms):
    return choose_endpoint(
        heads,
        tracker,
        "z",
        ENGINE.slots,
        ENGINE.slots + 1,
        placement=PromptPlacement(tracker, ESTIMATOR),
        work=work,
        slack_ms=slack_ms,
    )


def first_events(make_placement, long_share, per_s, seed):
    random.seed(seed)
    requests = draw_requests(random.Random(seed), 2_000, per_s, long_share)
    PrefillFleet(10, 6, make_placement).play(requests)
    short = [r.first_event_ms for r in requests if r.goal_ms == SHORT_GOAL_MS]
    long = [r for r in requests if r.goal_ms > SHORT_GOAL_MS]
    return short, [r.first_event_ms <= r.goal_ms for r in long]


def by_count(tracker):
    return RequestCountPlacement()


def by_prompts(tracker):
    return PromptPlacement(tracker, ESTIMATOR)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_prompts_delay_short_ones_less_and_are_served_as_before(seed):
    """Guards against short prompts that wait behind long ones while other heads are free."""
    alone, _ = first_events(by_count, 0.0, BUSY_PER_S * 1.1, seed)  # equal work, no long prompt
    short, long_in_time = first_events(by_prompts, LONG_SHARE, BUSY_PER_S, seed)
    counted, counted_long = first_events(by_count, LONG_SHARE, BUSY_PER_S, seed)
    half = [sorted(events)[: len(events) // 2] for events in (short, counted, alone)]
    assert percentile(half[0], 0.99) <= 1.5 * percentile(half[2], 0.99)
    assert percentile(short, 0.99) < percentile(counted, 0.99)
    assert sum(long_in_time) / len(long_in_time) >= sum(counted_long) / len(counted_long)


def test_short_prompt_avoids_a_head_that_prefills_a_long_one():
    """Guards against a count of requests that takes a prompt of 5,880 tokens for one of 300."""
    tracker = LoadTracker(ManualClock(), Peers())
    heads = [head("h1"), head("h2")]
    tracker.begin_work("h1", RequestWork(5_880, 20))
    for _ in range(3):
        tracker.begin_work("h2", RequestWork(0, 100))
    chosen = {choose(tracker, heads, RequestWork(300, 100), 150.0).id for _ in range(50)}
    assert chosen == {"h2"}


def test_backlog_of_peers_counts():
    """Guards against daemons that each see only their own prompts."""
    tracker = LoadTracker(ManualClock(), Peers({"h1": HeadDigest(1, -1.0, 5_880, 5_900)}))
    chosen = {
        choose(tracker, [head("h1"), head("h2")], RequestWork(300), 150.0).id for _ in range(50)
    }
    assert chosen == {"h2"}


def test_long_prompt_is_not_starved_by_short_ones():
    """Guards against a split that leaves a long prompt without a head while one has a slot."""
    tracker = LoadTracker(ManualClock(), Peers())
    for _ in range(ENGINE.slots):
        tracker.begin_work("h1", RequestWork(300, 100))
    assert choose(tracker, [head("h1")], RequestWork(5_880, 20), 0.0).id == "h1"


def test_no_head_gets_more_than_its_memory_holds():
    """Guards against engines that end because their requests exceed their memory."""
    tracker = LoadTracker(ManualClock(), Peers({"h1": HeadDigest(4, -1.0, 0, 400_000)}))
    tracker.begin_work("h1", RequestWork(250_000, 1_000))
    assert choose(tracker, [head("h1")], RequestWork(100_000, 0), 500.0) is None
    assert choose(tracker, [head("h1")], RequestWork(40_000, 0), 500.0).id == "h1"


@given(st.lists(st.tuples(st.integers(0, 6_000), st.integers(0, 400), st.booleans()), max_size=30))
def test_counts_return_to_zero(requests):
    """Guards against work that stays counted, or is taken off twice, when a request ends."""
    tracker = LoadTracker(ManualClock(), Peers())
    works = [(RequestWork(prompt, answer), begun) for prompt, answer, begun in requests]
    for work, _ in works:
        tracker.begin_work("h1", work)
    for work, begun in works:
        if begun:
            tracker.end_prefill("h1", work)
        tracker.end_work("h1", work)
    assert tracker.prefill_tokens("h1") == tracker.held_tokens("h1") == 0
    assert tracker.occupancy("h1") == 0
