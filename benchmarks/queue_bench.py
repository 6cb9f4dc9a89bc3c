"""Times a check of the admission queue by the numbers of waiting requests, heads and accounts."""

import asyncio
import time

from bench_sites import save_result

from corianderhaven.common import ManualClock
from corianderhaven.fleet import PeerTable
from corianderhaven.fleet.tests.memory_fleet import endpoint
from corianderhaven.scheduling import AdmissionQueue, LoadTracker, QueuedRequest, choose_endpoint

WAITING = (50, 200, 800, 3_200)
HEADS = (10, 60, 300)
ACCOUNTS = (24, 200, 1_000)
SLOTS = 9
ROUNDS = 20


def make_queue(waiting, heads, accounts=1):
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
    queue.waiting.share(accounts > 1)
    loop = asyncio.new_event_loop()
    for number in range(waiting):
        queued = QueuedRequest(1, 0.0, 50.0 if number % 2 else 9_000.0, 900_000.0)
        queued.account = f"account-{number // 2 % accounts}"
        if accounts > 1:
            queue.fair.record_arrival(queued)
        queued.decision = loop.create_future()
        queue.waiting.add(queued, 0.0)
    loop.close()
    clock.advance_ms(100.0)
    return queue


def time_ms(call, rounds=ROUNDS):
    """Return the mean processor time of a call in ms."""
    call()
    started = time.process_time()
    for _ in range(rounds):
        call()
    return round((time.process_time() - started) / rounds * 1_000.0, 3)


def time_decisions(waiting, accounts):
    """Return the times of an arrival's check and of one served request that is replaced."""
    queue = make_queue(waiting, HEADS[-1], accounts)
    newcomer = QueuedRequest(1, 0.0, 50.0, 900_000.0, account="account-1")
    lines = queue.waiting.lines is not None

    def check():
        if lines:
            queue.fair.record_arrival(newcomer)
        queue.check_refusal(newcomer)

    def serve():
        queued = next(queue.waiting.in_order())
        if lines:
            queue.waiting.charge(queued)
        queue.waiting.remove(queued)
        queue.waiting.add(queued, 100.0)

    return {"arrival_ms": time_ms(check, 1_000), "served_ms": time_ms(serve, 1_000)}


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
    rows = []
    for waiting in WAITING:
        for accounts in (1, *ACCOUNTS):
            queue = make_queue(waiting, HEADS[-1], accounts)  # enough that none is refused
            row = {
                "waiting": waiting,
                "accounts": accounts,
                "check_ms": time_ms(queue.dispatch),
                "freed_slot_ms": time_ms(queue.assign),
                "left": len(queue.waiting),
            }
            rows.append({**row, **time_decisions(waiting, accounts)})
    save_result("queue_accounts", rows)


if __name__ == "__main__":
    main()
