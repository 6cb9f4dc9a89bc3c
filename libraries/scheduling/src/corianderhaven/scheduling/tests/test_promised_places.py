"""Places of refused callers: kept for those who return in time, and no more than there are."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.scheduling import PromisedPlaces, QueuedRequest

THROUGHPUT = 0.01  # requests per ms


def request(account, request_class="chat"):
    return QueuedRequest(1, 0.0, 400.0, 5_000.0, account=account, request_class=request_class)


def promise(places, account, now, share=float("inf"), waiting=0):
    return places.promise(request(account), now, waiting, THROUGHPUT, share)


def test_place_is_kept_for_the_time_told():
    """Guards against a caller that returns as told and is refused again."""
    for delay_ms in (-5.0, 0.0, 900.0):
        places = PromisedPlaces()
        wait_ms = promise(places, "a", 0.0)
        assert not places.take(request("a"), wait_ms / 2)
        assert places.take(request("a"), wait_ms + delay_ms)
        assert not places.take(request("a"), wait_ms + delay_ms)


def test_place_is_kept_for_no_other_caller():
    places = PromisedPlaces()
    wait_ms = promise(places, "a", 0.0)
    assert not places.take(request("b"), wait_ms)
    assert not places.take(request("a", "completion"), wait_ms)
    assert places.take(request("a"), wait_ms)


def test_place_of_a_caller_that_does_not_return_is_given_up():
    places = PromisedPlaces()
    wait_ms = promise(places, "a", 0.0)
    assert not places.take(request("a"), wait_ms + 1_001.0)
    assert len(places) == 0


def test_retries_at_once_do_not_push_back_the_places_of_others():
    """Guards against an account that takes all places by being refused every 20 ms."""
    places = PromisedPlaces()
    for number in range(500):
        promise(places, "greedy", 20.0 * number, share=THROUGHPUT / 10)
    assert promise(places, "modest", 10_000.0, share=THROUGHPUT / 10) <= 1_000.0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.floats(0.0, 400.0), st.integers(0, 20)), max_size=150
    )
)
def test_no_more_places_are_promised_than_half_the_throughput(refusals):
    """Guards against promises that can't be kept, and a state without a bound."""
    places, now, told = PromisedPlaces(), 0.0, []
    share = THROUGHPUT / 2
    for account, elapsed, waiting in refusals:
        now += elapsed
        before = len(places)
        wait_ms = promise(places, account, now, share, waiting)
        assert 299.9 <= wait_ms <= 10_000.1
        if len(places) > before:
            told.append((now + wait_ms, account))
        assert len(places) <= THROUGHPUT / 2 * 12_000.0
    by_account = Counter()
    for at_ms, account in told:
        within = [a for t, a in told if at_ms <= t < at_ms + 2_000.0]
        by_account[account] = max(by_account[account], within.count(account))
    # An account whose own pace delays it may meet a place of another, so one more for each.
    assert all(count <= share / 2 * 2_000.0 + 1 for count in by_account.values())
    for at_ms, _ in told:
        assert sum(at_ms <= t < at_ms + 2_000.0 for t, _ in told) <= THROUGHPUT / 2 * 2_000.0 + 5
