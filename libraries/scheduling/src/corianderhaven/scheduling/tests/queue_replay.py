"""Replays loads of several accounts on one admission queue, in virtual time."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S
from corianderhaven.scheduling import AdmissionQueue, QueuedRequest, Refusal
from corianderhaven.standins import run_in_virtual_time

CHECK_S = 0.05
FIRST_EVENT_ERROR = (-0.1, 0.2)  # of the estimated time to the first event, by the goal
TAIL_S = 8.0  # longer than any deadline


@dataclass(frozen=True)
class Caller:
    """A request to come.

    Parameters
    ----------
    returns : str
        What the caller does when refused: "never", "at once" or "as told".
    """

    at_s: float
    account: str = "a"
    priority: int = 1
    goal_ms: float = 400.0
    deadline_ms: float = 5_000.0
    resumed: bool = False
    returns: str = "never"
    size: float = 1.0


@dataclass
class Fate:
    """What became of a caller; `kept` tells whether refusals came with a place."""

    caller: Caller
    outcomes: list = field(default_factory=list)
    told_ms: list = field(default_factory=list)
    waits_ms: list = field(default_factory=list)
    kept: list = field(default_factory=list)

    @property
    def served(self):
        """Whether it got an answer."""
        return bool(self.outcomes) and self.outcomes[-1] != "refused"

    @property
    def on_time(self):
        """Whether it got an answer within its goal."""
        return bool(self.outcomes) and self.outcomes[-1] == "on_time"


class Site:
    """A queue in front of slots, each occupied for about `answer_ms`."""

    def __init__(self, clock, slots, answer_ms, shared, rng, overestimate):
        self.clock, self.slots, self.answer_ms, self.rng = clock, slots, answer_ms, rng
        self.occupied = 0
        self.idle_while_waiting = 0
        self.queue = AdmissionQueue(
            clock, self.pick, lambda: True, lambda: overestimate * slots / answer_ms
        )
        self.queue.is_shared = lambda: shared

    def pick(self, queued):
        """Take a slot."""
        if self.occupied >= self.slots:
            return None
        self.occupied += 1
        return "endpoint"

    def is_place_kept(self, caller, at_ms):
        """Return whether a place is kept for a refused caller at a time."""
        times_ms = self.queue.fair.places.places.get((caller.account, "r"), ())
        return any(abs(time_ms - at_ms) < 0.001 for time_ms in times_ms)

    async def check(self):
        """Check the queue as the gateway does."""
        while True:
            await asyncio.sleep(CHECK_S)
            self.queue.dispatch()
            self.idle_while_waiting += bool(self.queue.waiting) and self.occupied < self.slots

    async def serve(self, fate, end_ms):
        """Serve a caller, also when it returns."""
        caller = fate.caller
        while True:
            now = self.clock.now_ms()
            queued = QueuedRequest(
                caller.priority,
                now,
                now + caller.goal_ms,
                now + caller.deadline_ms,
                caller.resumed,
                account=caller.account,
                request_class="r",
            )
            decision = await self.queue.acquire(queued)
            ended = self.clock.now_ms()
            fate.waits_ms.append(ended - now)
            if not isinstance(decision, Refusal):
                break
            fate.outcomes.append("refused")
            fate.told_ms.append(decision.retry_after_ms)
            fate.kept.append(self.is_place_kept(caller, ended + decision.retry_after_ms))
            pause_ms = 20.0 if caller.returns == "at once" else decision.retry_after_ms
            if caller.returns == "never" or ended + pause_ms > end_ms:
                return
            await asyncio.sleep(pause_ms / MS_PER_S)
        delay_ms = self.rng.uniform(*FIRST_EVENT_ERROR) * caller.goal_ms
        on_time = ended + delay_ms <= queued.goal_cutoff_ms
        fate.outcomes.append("on_time" if on_time else "late")
        await asyncio.sleep(self.answer_ms * caller.size * self.rng.uniform(0.7, 1.3) / MS_PER_S)
        self.occupied -= 1
        self.queue.assign()


def replay(callers, slots=9, answer_ms=1_000.0, shared=True, seed=1, overestimate=1.0):
    """Replay callers and return their fates and the site.

    Parameters
    ----------
    overestimate : float
        Factor by which the capacity that the queue is told exceeds the true one.
    """
    callers = sorted(callers, key=lambda caller: caller.at_s)

    async def scenario(clock):
        site = Site(clock, slots, answer_ms, shared, random.Random(seed), overestimate)
        checking = asyncio.create_task(site.check())
        start_ms = clock.now_ms()
        end_ms = start_ms + callers[-1].at_s * MS_PER_S
        fates, tasks = [], []
        for caller in callers:
            pause_ms = start_ms + caller.at_s * MS_PER_S - clock.now_ms()
            await asyncio.sleep(max(0.0, pause_ms) / MS_PER_S)
            fates.append(Fate(caller))
            tasks.append(asyncio.create_task(site.serve(fates[-1], end_ms)))
        await asyncio.sleep(TAIL_S)
        checking.cancel()
        assert all(task.done() for task in tasks)
        return fates, site

    return run_in_virtual_time(scenario)


def stream(rng, per_s, from_s, to_s, **fields):
    """Return callers that arrive at random with a rate."""
    callers, at_s = [], from_s
    while (at_s := at_s + rng.expovariate(per_s)) < to_s:
        callers.append(Caller(at_s, **fields))
    return callers


def count(fates, name=lambda fate: fate.caller.account):
    """Return callers, those served and those served on time, by account."""
    total, served, on_time = Counter(), Counter(), Counter()
    for fate in fates:
        key = name(fate)
        total[key] += 1
        served[key] += fate.served
        on_time[key] += fate.on_time
    return {key: (total[key], served[key], on_time[key]) for key in sorted(total)}
