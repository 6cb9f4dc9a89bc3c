"""How requests wait and are turned away, replayed in virtual time."""

import asyncio
import random

import pytest

from corianderhaven.common import ManualClock
from corianderhaven.gateway import Refusal, Waiter, WaitingLine, waiting_order
from corianderhaven.standins import run_in_virtual_time


def waiter(now, priority=1, goal_ms=400.0, useful_ms=5_000.0, resumed=False):
    return Waiter(priority, now, now + goal_ms, now + useful_ms, resumed)


class Replicas:
    """Slots that answers hold for a while."""

    def __init__(self, clock, slots, answer_ms):
        self.clock = clock
        self.slots = slots
        self.answer_ms = answer_ms
        self.taken = 0
        self.serving = True
        self.line = WaitingLine(clock, self.pick, lambda: self.serving, self.capacity)

    def capacity(self):
        return self.slots / self.answer_ms

    def pick(self, waiter):
        if not self.serving or self.taken >= self.slots:
            return None
        self.taken += 1
        return "replica"

    async def serve(self, waiter, log):
        granted = await self.line.acquire(waiter)
        now = self.clock.now_ms()
        if isinstance(granted, Refusal):
            log.append((waiter, "refused", now))
            return
        log.append((waiter, "on_time" if now <= waiter.on_time_ms else "late", now))
        await asyncio.sleep(self.answer_ms / 1000)
        self.taken -= 1
        self.line.pump()


async def pump(replicas):
    while True:
        await asyncio.sleep(0.05)
        replicas.line.pump()


def replay(arrivals, slots=9, answer_ms=1_000.0, change=None, seconds=30.0):
    """Play arrivals of (second, fields) and return the log of outcomes."""

    async def play(clock):
        replicas = Replicas(clock, slots, answer_ms)
        log, tasks = [], []
        pumping = asyncio.create_task(pump(replicas))
        begun = clock.now_ms()
        for second, fields in arrivals:
            pause_ms = begun + second * 1000 - clock.now_ms()
            await asyncio.sleep(max(0.0, pause_ms) / 1000)
            if change is not None:
                change(replicas, second)
            tasks.append(asyncio.create_task(replicas.serve(waiter(clock.now_ms(), **fields), log)))
        await asyncio.sleep(seconds)
        assert all(task.done() for task in tasks)
        pumping.cancel()
        return log

    return run_in_virtual_time(play)


def steady(per_second, seconds, **fields):
    count = int(per_second * seconds)
    return [(number / per_second, fields) for number in range(count)]


def outcomes(log):
    return [outcome for _, outcome, _ in log]


def test_load_below_capacity_never_waits():
    log = replay(steady(7, 10))
    assert set(outcomes(log)) == {"on_time"}


def test_burst_of_twice_the_capacity_serves_as_many_on_time_as_the_slots_allow():
    """Three seconds at twice what nine slots serve; first come first served made all late."""
    log = replay(steady(18, 3) + [(3 + t, f) for t, f in steady(6, 5)])
    assert len(log) == 84
    assert outcomes(log).count("on_time") >= 9 * 3 + 6 * 3
    beyond_capacity = (18 - 9) * 3
    assert outcomes(log).count("refused") <= beyond_capacity


def test_overload_refuses_at_once_and_not_after_a_wait():
    log = replay(steady(30, 20))
    refused = [(w, at) for w, outcome, at in log if outcome == "refused"]
    assert refused
    held = [at - w.arrived_ms for w, at in refused]
    assert sorted(held)[len(held) // 2] < 50.0


def test_served_requests_are_still_useful():
    for waiting, outcome, at in replay(steady(25, 15)):
        if outcome != "refused":
            assert at <= waiting.useful_ms + 60.0


def test_without_a_replica_requests_are_refused_soon_and_then_at_once():
    def change(replicas, second):
        replicas.serving = False

    log = replay(steady(5, 4), change=change)
    assert set(outcomes(log)) == {"refused"}
    held = [at - w.arrived_ms for w, _, at in log]
    assert max(held) <= 450.0
    assert held[-1] < 1.0


def test_urgent_requests_go_first():
    arrivals = steady(9, 1, priority=2) + [(1.0, {"priority": 2})] * 5 + [(1.01, {"priority": 0})]
    log = replay(arrivals, answer_ms=3_000.0)
    order = [w.priority for w, _, _ in log]
    assert order.index(0) == 9


@pytest.mark.parametrize("seed", range(5))
def test_order_is_total_and_broken_streams_lead(seed):
    rng = random.Random(seed)
    clock = ManualClock()
    now = clock.now_ms()
    waiters = [
        waiter(
            now - rng.uniform(0, 900), rng.randrange(3), useful_ms=2_000, resumed=rng.random() < 0.2
        )
        for _ in range(50)
    ]
    ordered = sorted(waiters, key=lambda w: waiting_order(w, now))
    resumed = [w.resumed for w in ordered]
    assert resumed == sorted(resumed, reverse=True)
    for one, other in zip(ordered, ordered[1:], strict=False):
        if (one.resumed, one.priority) == (other.resumed, other.priority):
            assert (now > one.on_time_ms) <= (now > other.on_time_ms)


def test_cancelled_waiter_gives_its_place_back():
    async def play(clock):
        replicas = Replicas(clock, 1, 500.0)
        log = []
        first = asyncio.create_task(replicas.serve(waiter(clock.now_ms()), log))
        second = asyncio.create_task(replicas.serve(waiter(clock.now_ms()), log))
        third = asyncio.create_task(replicas.serve(waiter(clock.now_ms()), log))
        await asyncio.sleep(0.1)
        second.cancel()
        await asyncio.sleep(2.0)
        assert first.done() and third.done()
        return replicas.taken, len(log)

    assert run_in_virtual_time(play) == (0, 2)


def test_request_that_an_endpoint_failed_is_not_refused_for_overload():
    """Replays ndvc trouble-3: requests sent once were told 502 as the line was overloaded."""
    arrivals = steady(30, 10) + [(9.5, {"resumed": True})]
    log = replay(sorted(arrivals, key=lambda a: a[0]))
    ((resumed, outcome, at),) = (row for row in log if row[0].resumed)
    assert outcome != "refused"
    assert at - resumed.arrived_ms <= 1_000.0  # the next slot that an answer frees is its own


def test_broken_stream_waits_longer_for_a_replica_than_a_new_request():
    async def play(clock):
        replicas = Replicas(clock, 9, 500.0)
        replicas.serving = False
        pumping = asyncio.create_task(pump(replicas))
        log = []
        tasks = [
            asyncio.create_task(replicas.serve(waiter(clock.now_ms(), resumed=resumed), log))
            for resumed in (True, False)
        ]
        await asyncio.sleep(1.0)
        replicas.serving = True
        await asyncio.gather(*tasks)
        pumping.cancel()
        return {w.resumed: outcome for w, outcome, _ in log}

    assert run_in_virtual_time(play) == {True: "late", False: "refused"}
