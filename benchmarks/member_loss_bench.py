"""Times from the loss of a worker until another replica serves in place of its own.

Simulated engines and real keepers in virtual time: `python benchmarks/member_loss_bench.py`
prints the median and the longest of the times in s for each case.
"""

import asyncio
import json
import statistics

from corianderhaven.fleet.tests.memory_fleet import MemoryFleet
from corianderhaven.standins import run_in_virtual_time

SEEDS = range(20)
DETECTION_S = 0.25  # until daemons report the streams of the head as silent
LATER_S = 2.0
TIMEOUT_S = 30.0
STEP_S = 0.005
# Case: size of the replicas, spares, rank of the lost member, and what comes later.
CASES = {
    "member lost, a spare": ("small", 2, 1, 1, None),
    "member of four lost, a spare": ("large", 4, 1, 1, None),
    "member lost, a spare comes after 2 s": ("small", 2, 0, 1, "spare"),
    "member of four lost, a spare comes after 2 s": ("large", 4, 0, 1, "spare"),
    "member lost, restarts after 2 s": ("small", 2, 0, 1, "restart"),
    "head lost, a spare": ("small", 2, 1, 0, None),
    "head lost, a spare comes after 2 s": ("small", 2, 0, 0, "spare"),
}


def measure(seed, model, size, spares, rank, later):
    """Return the seconds from the loss until as many replicas serve as before."""

    async def simulate(clock):
        fleet = MemoryFleet(clock, seed, domains=1, per_domain=2 * size + spares)
        for engine in fleet.hosted.engines.values():
            engine.staged = [model]
        await asyncio.sleep(8.0 + fleet.random.random())
        before = fleet.open_replicas(model)
        head = next(e for e in fleet.hosted.engines.values() if fleet.hosted.accepts_requests(e))
        lost = head.group.members[rank]
        fleet.hosted.kill(lost)
        loop = asyncio.get_running_loop()
        loop.call_later(
            DETECTION_S, lambda: fleet.lease_holder().suspect(head.id, "streams silent")
        )
        if later == "spare":
            loop.call_later(LATER_S, lambda: fleet.add_engine(90, "d0", staged=(model,)))
        elif later == "restart":
            loop.call_later(LATER_S, fleet.hosted.restart, lost)
        started = loop.time()
        while fleet.open_replicas(model) < before:
            await asyncio.sleep(STEP_S)
            if loop.time() - started > TIMEOUT_S:
                break
        assert not fleet.hosted.violations
        return loop.time() - started

    return run_in_virtual_time(simulate)


def main():
    """Measure all cases and print them."""
    for name, case in CASES.items():
        times = [measure(seed, *case) for seed in SEEDS]
        result = {"median_s": statistics.median(times), "max_s": max(times)}
        print(name, json.dumps({key: round(value, 2) for key, value in result.items()}))


if __name__ == "__main__":
    main()
