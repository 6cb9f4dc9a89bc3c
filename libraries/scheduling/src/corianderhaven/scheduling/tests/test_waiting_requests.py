"""Property tests of the waiting requests against a plain list, and replays of a burst."""

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import ManualClock
from corianderhaven.scheduling import (
    AdmissionQueue,
    QueuedRequest,
    Refusal,
    WaitingRequests,
    dispatch_periodically,
    queue_order,
)

ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["add", "add", "add", "remove", "advance"]),
        st.integers(0, 2),  # priority
        st.booleans(),  # resumed
        st.integers(0, 12),  # time
        st.integers(0, 40),  # goal, and choice of the request to remove
    ),
    max_size=60,
)


def plain_ahead(waiting, queued, now):
    key = queue_order(queued, now)
    return sum(other is not queued and queue_order(other, now) < key for other in waiting)


def plain_late_ahead(waiting, queued, now):
    late = [other for other in waiting if now > other.goal_cutoff_ms]
    return sum(other is not queued and other.arrived_ms <= queued.arrived_ms for other in late)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(ACTIONS)
def test_order_and_counts_are_those_of_a_plain_list(actions):
    now, plain, waiting = 0.0, [], WaitingRequests()
    for action, priority, resumed, elapsed, number in actions:
        if action == "add":
            queued = QueuedRequest(priority, now, now + number - 5, now + 2 * number, resumed)
            assert waiting.ahead_of(queued, now) == plain_ahead(plain, queued, now)
            assert waiting.late_ahead_of(queued) == plain_late_ahead(plain, queued, now)
            plain.append(queued)
            waiting.add(queued, now)
        elif action == "remove" and plain:
            waiting.remove(plain.pop(number % len(plain)))
        else:
            now += elapsed
        waiting.advance(now)
        assert len(waiting) == len(plain)
        ordered = list(waiting.in_order())
        keys = [queue_order(queued, now) for queued in ordered]
        assert keys == sorted(queue_order(queued, now) for queued in plain)
        assert set(ordered) == set(plain)
        assert set(waiting.late()) == {q for q in plain if now > q.goal_cutoff_ms}
        for queued in plain:
            assert queued in waiting
            assert waiting.ahead_of(queued, now) == plain_ahead(plain, queued, now)
            assert waiting.late_ahead_of(queued) == plain_late_ahead(plain, queued, now)


def test_request_may_be_removed_while_the_order_is_walked():
    waiting = WaitingRequests()
    requests = [QueuedRequest(1, 0.0, float(n % 3), 90.0) for n in range(30)]
    for queued in requests:
        waiting.add(queued, 0.0)
    seen = []
    for queued in waiting.in_order():
        waiting.remove(queued)
        seen.append(queued)
    assert len(seen) == 30
    assert len(waiting) == 0


def full_queue(count, clock, picks):
    """Return a queue for busy replicas with `count` waiting requests, half of them late."""

    def pick_endpoint(queued):
        picks.append(queued)

    queue = AdmissionQueue(clock, pick_endpoint, lambda: True, lambda: 10.0)
    loop = asyncio.new_event_loop()
    for number in range(count):
        goal_ms = 50.0 if number % 2 else 9_000.0
        queued = QueuedRequest(1 + number % 3, clock.now_ms(), goal_ms, 60_000.0)
        queued.decision = loop.create_future()
        queue.waiting.add(queued, clock.now_ms())
    loop.close()
    clock.advance_ms(100.0)
    return queue


def test_check_of_a_long_queue_takes_a_small_part_of_its_interval():
    """With 800 waiting it took 154 ms every 50 ms, and streams stood still meanwhile."""
    clock = ManualClock(0.0)
    queue = full_queue(800, clock, [])
    queue.dispatch()
    started = time.process_time()
    for _ in range(10):
        queue.dispatch()
    assert (time.process_time() - started) / 10 < 0.025


def test_freed_slot_costs_one_choice_however_many_wait():
    picks = []
    queue = full_queue(800, ManualClock(0.0), picks)
    queue.assign()
    assert len(picks) == 1


def test_request_with_an_excluded_head_does_not_hold_up_the_others():
    picks = []
    queue = full_queue(6, ManualClock(0.0), picks)
    queue.waiting.advance(100.0)
    first = next(queue.waiting.in_order())
    first.excluded = {"e1"}
    queue.assign()
    assert len(picks) == 2


def test_outage_that_began_anew_is_waited_for_again():
    """The time of an earlier outage remained, and requests of the next one were refused at once."""
    clock = ManualClock(0.0)
    serving = [True]
    queue = AdmissionQueue(clock, lambda queued: None, lambda: serving[0], lambda: 0.01)

    async def run():
        serving[0] = False
        first = asyncio.create_task(queue.acquire(QueuedRequest(1, 0.0, 400.0, 5_000.0)))
        await asyncio.sleep(0)
        clock.advance_ms(360.0)
        queue.dispatch()
        assert isinstance(await first, Refusal)
        serving[0] = True
        checks = asyncio.create_task(dispatch_periodically({"model": queue}, clock))
        await asyncio.sleep(0.12)  # two checks, while nothing waits
        checks.cancel()
        clock.advance_ms(5_000.0)
        serving[0] = False
        queued = QueuedRequest(1, clock.now_ms(), clock.now_ms() + 400.0, clock.now_ms() + 5_000.0)
        second = asyncio.create_task(queue.acquire(queued))
        await asyncio.sleep(0)
        assert not second.done()
        clock.advance_ms(360.0)
        queue.dispatch()
        assert (await second).reason == "no replica serves the model"

    asyncio.run(run())


@pytest.mark.parametrize("waiting", [50, 800])
def test_what_can_not_be_served_is_refused_when_it_arrives(waiting):
    clock = ManualClock(0.0)
    queue = full_queue(waiting, clock, [])
    queue.rates.capacity_per_ms = lambda: waiting / 20_000.0

    async def run():
        now = clock.now_ms()
        queued = QueuedRequest(3, now, now - 1.0, now + 2_000.0)
        return await asyncio.wait_for(queue.acquire(queued), 0.5)

    assert isinstance(asyncio.run(run()), Refusal)
