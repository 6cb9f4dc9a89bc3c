"""Tests of queueing and refusal of requests, in virtual time."""

import asyncio
import itertools
import random

import pytest

from corianderhaven.common import ManualClock
from corianderhaven.scheduling import (
    AdmissionQueue,
    QueuedRequest,
    QueueRates,
    Refusal,
    queue_order,
)
from corianderhaven.standins import run_in_virtual_time


def queued_request(now, priority=1, goal_ms=400.0, deadline_ms=5_000.0, resumed=False):
    return QueuedRequest(priority, now, now + goal_ms, now + deadline_ms, resumed)


class Replicas:
    """Replicas with a number of slots, each occupied for the time of an answer."""

    def __init__(self, clock, slots, answer_ms):
        self.clock = clock
        self.slots = slots
        self.answer_ms = answer_ms
        self.occupied = 0
        self.serving = True
        self.queue = AdmissionQueue(
            clock, self.pick_endpoint, lambda: self.serving, self.capacity_per_ms
        )

    def capacity_per_ms(self):
        return self.slots / self.answer_ms

    def pick_endpoint(self, queued):
        if not self.serving or self.occupied >= self.slots:
            return None
        self.occupied += 1
        return "replica"

    async def serve(self, queued, log):
        decision = await self.queue.acquire(queued)
        now = self.clock.now_ms()
        if isinstance(decision, Refusal):
            log.append((queued, "refused", now))
            return
        log.append((queued, "on_time" if now <= queued.goal_cutoff_ms else "late", now))
        await asyncio.sleep(self.answer_ms / 1000)
        self.occupied -= 1
        self.queue.dispatch()


async def dispatch_periodically(replicas):
    while True:
        await asyncio.sleep(0.05)
        replicas.queue.dispatch()


def replay(arrivals, slots=9, answer_ms=1_000.0, change=None, seconds=30.0):
    """Replay arrivals of (second, fields) and return the log of outcomes."""

    async def scenario(clock):
        replicas = Replicas(clock, slots, answer_ms)
        log, tasks = [], []
        dispatching = asyncio.create_task(dispatch_periodically(replicas))
        started_ms = clock.now_ms()
        for second, fields in arrivals:
            pause_ms = started_ms + second * 1000 - clock.now_ms()
            await asyncio.sleep(max(0.0, pause_ms) / 1000)
            if change is not None:
                change(replicas, second)
            tasks.append(
                asyncio.create_task(replicas.serve(queued_request(clock.now_ms(), **fields), log))
            )
        await asyncio.sleep(seconds)
        assert all(task.done() for task in tasks)
        dispatching.cancel()
        return log

    return run_in_virtual_time(scenario)


def steady(per_second, seconds, **fields):
    count = int(per_second * seconds)
    return [(number / per_second, fields) for number in range(count)]


def outcomes(log):
    return [outcome for _, outcome, _ in log]


def test_times_of_old_requests_are_dropped_though_no_rate_is_asked_for():
    """Guards against a slow leak: a plain service's rates are asked for only under limits."""
    clock = ManualClock()
    rates = QueueRates(clock, lambda: 1.0)
    for _ in range(1_000):
        clock.advance_ms(100.0)
        rates.record_arrival()
        rates.record_dispatch()
    assert len(rates.arrivals) == len(rates.dispatches) <= 31


def test_requests_below_capacity_are_all_on_time():
    log = replay(steady(7, 10))
    assert set(outcomes(log)) == {"on_time"}


def test_burst_of_twice_the_capacity_serves_as_many_on_time_as_the_slots_allow():
    """Three seconds at twice the capacity of nine slots.

    In order of arrival, every request would be late.
    """
    log = replay(steady(18, 3) + [(3 + t, f) for t, f in steady(6, 5)])
    assert len(log) == 84
    assert outcomes(log).count("on_time") >= 9 * 3 + 6 * 3
    beyond_capacity = (18 - 9) * 3
    assert outcomes(log).count("refused") <= beyond_capacity


def test_overload_refuses_requests_without_a_long_wait():
    log = replay(steady(30, 20))
    refused = [(q, at) for q, outcome, at in log if outcome == "refused"]
    assert refused
    waits_ms = [at - q.arrived_ms for q, at in refused]
    assert sorted(waits_ms)[len(waits_ms) // 2] < 50.0


def test_requests_are_served_only_before_their_deadline_cutoff():
    for queued, outcome, at in replay(steady(25, 15)):
        if outcome != "refused":
            assert at <= queued.deadline_cutoff_ms + 60.0


def test_without_replica_requests_are_refused_soon_and_later_ones_at_once():
    def change(replicas, second):
        replicas.serving = False

    log = replay(steady(5, 4), change=change)
    assert set(outcomes(log)) == {"refused"}
    waits_ms = [at - q.arrived_ms for q, _, at in log]
    assert max(waits_ms) <= 450.0
    assert waits_ms[-1] < 1.0


def test_requests_of_higher_priority_are_served_first():
    arrivals = steady(9, 1, priority=2) + [(1.0, {"priority": 2})] * 5 + [(1.01, {"priority": 0})]
    log = replay(arrivals, answer_ms=3_000.0)
    order = [q.priority for q, _, _ in log]
    assert order.index(0) == 9


@pytest.mark.parametrize("seed", range(5))
def test_order_is_by_resumed_then_priority_then_lateness(seed):
    rng = random.Random(seed)
    clock = ManualClock()
    now = clock.now_ms()
    queued_requests = [
        queued_request(
            now - rng.uniform(0, 900),
            rng.randrange(3),
            deadline_ms=2_000,
            resumed=rng.random() < 0.2,
        )
        for _ in range(50)
    ]
    ordered = sorted(queued_requests, key=lambda q: queue_order(q, now))
    resumed = [q.resumed for q in ordered]
    assert resumed == sorted(resumed, reverse=True)
    for one, other in zip(ordered, ordered[1:], strict=False):
        if (one.resumed, one.priority) == (other.resumed, other.priority):
            assert (now > one.goal_cutoff_ms) <= (now > other.goal_cutoff_ms)


def test_cancelled_request_leaves_the_queue():
    async def scenario(clock):
        replicas = Replicas(clock, 1, 500.0)
        log = []
        first = asyncio.create_task(replicas.serve(queued_request(clock.now_ms()), log))
        second = asyncio.create_task(replicas.serve(queued_request(clock.now_ms()), log))
        third = asyncio.create_task(replicas.serve(queued_request(clock.now_ms()), log))
        await asyncio.sleep(0.1)
        second.cancel()
        await asyncio.sleep(2.0)
        assert first.done() and third.done()
        return replicas.occupied, len(log)

    assert run_in_virtual_time(scenario) == (0, 2)


def test_resumed_request_is_not_refused_for_overload():
    """A request whose first attempt failed got a 502 response while the queue was overloaded."""
    arrivals = steady(30, 10) + [(9.5, {"resumed": True})]
    log = replay(sorted(arrivals, key=lambda a: a[0]))
    ((resumed, outcome, at),) = (row for row in log if row[0].resumed)
    assert outcome != "refused"
    assert at - resumed.arrived_ms <= 1_000.0  # gets the next slot that is freed


def test_resumed_request_waits_longer_for_a_replica_than_a_new_one():
    async def scenario(clock):
        replicas = Replicas(clock, 9, 500.0)
        replicas.serving = False
        dispatching = asyncio.create_task(dispatch_periodically(replicas))
        log = []
        tasks = [
            asyncio.create_task(
                replicas.serve(queued_request(clock.now_ms(), resumed=resumed), log)
            )
            for resumed in (True, False)
        ]
        await asyncio.sleep(1.0)
        replicas.serving = True
        await asyncio.gather(*tasks)
        dispatching.cancel()
        return {q.resumed: outcome for q, outcome, _ in log}

    assert run_in_virtual_time(scenario) == {True: "late", False: "refused"}


@pytest.mark.parametrize(("formed", "outcome"), [(True, "late"), (False, "refused")])
def test_resumed_request_waits_for_a_replica_that_is_being_formed(formed, outcome):
    """Guards against LOST: streams were cut 1.5 s after their head ended, 0.4 s before the next."""

    async def scenario(clock):
        replicas = Replicas(clock, 9, 500.0)
        replicas.serving = False
        replicas.queue.is_forming = lambda: clock.now_ms() < formed_ms
        formed_ms = clock.now_ms() + 2_500.0
        dispatching = asyncio.create_task(dispatch_periodically(replicas))
        log = []
        queued = queued_request(clock.now_ms(), resumed=True)
        task = asyncio.create_task(replicas.serve(queued, log))
        await asyncio.sleep(2.0)
        assert not log
        await asyncio.sleep(0.5)
        replicas.serving = formed
        await task
        dispatching.cancel()
        ((_, result, at_ms),) = log
        assert at_ms - formed_ms <= 100.0  # two checks of the queue
        return result

    assert run_in_virtual_time(scenario) == outcome


def test_end_of_a_drain_refuses_at_once_what_would_be_answered_after_it():
    """Guards against LOST: requests waited until a drain ended, and got no answer."""

    async def scenario(clock):
        replicas = Replicas(clock, 1, 900.0)
        log = []
        start_ms = clock.now_ms()
        waiting = [queued_request(start_ms, priority, 3_000.0) for priority in (1, 2, 3, 4)]
        for queued in waiting:
            queued.answer_ms = 900.0
        tasks = [asyncio.create_task(replicas.serve(queued, log)) for queued in waiting]
        dispatching = asyncio.create_task(dispatch_periodically(replicas))
        await asyncio.sleep(0.1)
        replicas.queue.end_by(start_ms + 2_000.0)
        late = queued_request(clock.now_ms(), 5, goal_ms=3_000.0)
        late.answer_ms = 2_000.0
        tasks.append(asyncio.create_task(replicas.serve(late, log)))
        await asyncio.gather(*tasks)
        dispatching.cancel()
        return [(q.priority, outcome, round(at - start_ms, -2)) for q, outcome, at in log]

    assert run_in_virtual_time(scenario) == [
        (1, "on_time", 0.0),
        (5, "refused", 100.0),
        (2, "on_time", 900.0),
        (3, "refused", 1_100.0),
        (4, "refused", 1_100.0),
    ]


def test_endpoint_is_released_if_the_caller_leaves_when_it_was_just_assigned():
    """Each such request took a place at its endpoint for good."""

    async def scenario():
        free, picked, released = [], [], []

        def pick(queued):
            picked.extend(free[:1])
            return free.pop() if free else None

        queue = AdmissionQueue(ManualClock(), pick, lambda: True, lambda: 1.0)
        queue.release_endpoint = lambda endpoint, queued: released.append(endpoint)
        task = asyncio.create_task(queue.acquire(QueuedRequest(0, 0.0, 1e9, 1e9)))
        await asyncio.sleep(0)
        free.append("endpoint")
        queue.assign()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return picked, released

    assert asyncio.run(scenario()) == (["endpoint"], ["endpoint"])


def test_requests_that_wait_with_a_rejected_part_leave_the_queue_at_once():
    async def scenario():
        queue = AdmissionQueue(ManualClock(), lambda queued: None, lambda: True, lambda: 1.0)
        waiting = [
            asyncio.create_task(queue.acquire(QueuedRequest(0, 0.0, 1e9, 1e9, parts=parts)))
            for parts in (("bad",), ("sound",), ())
        ]
        await asyncio.sleep(0)
        refusal = Refusal("a part of the prompt ended endpoints", 1.0)
        queue.reject(lambda parts: "bad" in parts, refusal)
        await asyncio.sleep(0)
        done = [task.done() and task.result() for task in waiting]
        for task in waiting:
            task.cancel()
        return done, refusal

    done, refusal = asyncio.run(scenario())
    assert done == [refusal, False, False]


def test_refused_callers_under_limits_are_told_places_of_their_own():
    """Callers that are told the same time come back together, and are refused together."""
    clock = ManualClock()
    queue = AdmissionQueue(clock, lambda queued: None, lambda: True, lambda: 0.002)
    queue.is_limited = lambda: True
    for _ in range(100):
        queue.rates.record_arrival()
    late = clock.now_ms() - 1.0
    queued = QueuedRequest(0, clock.now_ms(), late, clock.now_ms() + 4_000.0)
    told = [queue.check_refusal(queued).retry_after_ms for _ in range(15)]
    assert told == sorted(told)
    gaps = [later - earlier for earlier, later in itertools.pairwise(told)]
    assert min(gaps) >= 499.0  # the throughput is two a second
