"""Times a check of the admission queue by the number of waiting requests and of heads."""

import asyncio
import time

from bench_sites import save_result

from corianderhaven.common import ManualClock
from corianderhaven.fleet import PeerTable
from corianderhaven.fleet.tests.memory_fleet import endpoint
from corianderhaven.scheduling import AdmissionQueue, LoadTracker, QueuedRequest, choose_endpoint

WAITING = (50, 200, 800, 3_200)
HEADS = (10, 60, 300)
SLOTS = 9
ROUNDS = 20


def make_queue(waiting, heads):
    """Return a queue of which half is late, in front of heads that are all full."""
    clock = ManualClock(0.0)
    tracker = LoadTracker(clock, PeerTable("own", clock))
    endpoints = [endpoint(number) for number in range(heads)]
    for head in endpoints:
        tracker.entry(head.id).own_in_flight = SLOTS + 1

    def pick_endpoint(queued):
        return choose_endpoint(endpoints, tracker, "a", SLOTS, SLOTS + 1)

    def capacity_per_ms():
        return sum(tracker.occupancy(head.id) for head in endpoints) / 1_000.0

    queue = AdmissionQueue(clock, pick_endpoint, lambda: True, capacity_per_ms)
    loop = asyncio.new_event_loop()
    for number in range(waiting):
        queued = QueuedRequest(1, 0.0, 50.0 if number % 2 else 9_000.0, 900_000.0)
        queued.decision = loop.create_future()
        queue.waiting.add(queued, 0.0)
    loop.close()
    clock.advance_ms(100.0)
    return queue


def time_ms(call):
    """Return the mean processor time of a call in ms."""
    call()
    started = time.process_time()
    for _ in range(ROUNDS):
        call()
    return round((time.process_time() - started) / ROUNDS * 1_000.0, 3)


def main():
    """Time a periodic check and a freed slot, and save the result."""
    rows = []
    for waiting in WAITING:
        for heads in HEADS:
            queue = make_queue(waiting, heads)
            rows.append(
                {
                    "waiting": waiting,
                    "heads": heads,
                    "check_ms": time_ms(queue.dispatch),
                    "freed_slot_ms": time_ms(queue.assign),
                    "left": len(queue.waiting),
                }
            )
    save_result("queue", rows)


if __name__ == "__main__":
    main()
