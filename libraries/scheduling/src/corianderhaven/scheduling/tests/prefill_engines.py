"""Engines that prefill prompts in steps of a limited size and decode in between; no network.

Several daemons place requests on the same heads, each with the others' counts as of the last
exchange of digests.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from corianderhaven.common import ManualClock
from corianderhaven.fleet import Endpoint, EngineSpec, HeadDigest, ModelSpec
from corianderhaven.scheduling import LatencyEstimator, LoadTracker, RequestWork, choose_endpoint

EXCHANGE_MS = 200.0
RETRY_MS = 50.0
MODEL = ModelSpec("m", 8, 1.0, 1.0, 16.0, 1.6)
ENGINE = EngineSpec(
    slots=17,
    models=(MODEL,),
    tokens_per_event=5,
    step_ms=6.07,
    step_per_request_ms=0.482,
    prefill_tokens_per_s=46_000.0,
    attention_ms_per_million_pairs=0.7,
    prefill_chunk_tokens=2_048,
    kv_capacity_tokens=700_000,
)


@dataclass(eq=False)
class Request:
    """One request; times in ms."""

    arrived_ms: float
    prompt_tokens: int
    events: int
    goal_ms: float
    first_ms: float | None = None
    left_to_prefill: int = 0
    left_to_write: int = 0
    daemon: object = None
    work: RequestWork = None

    @property
    def first_event_ms(self):
        """Time from the arrival to the first event."""
        return self.first_ms - self.arrived_ms


@dataclass
class Head:
    """An engine that works in passes of several steps."""

    endpoint: Endpoint
    waiting: deque = field(default_factory=deque)
    running: list = field(default_factory=list)
    busy: bool = False

    def begin_pass(self, estimator):
        """Admit and prefill; return the time of the pass, and the requests that then write."""
        while self.waiting and len(self.running) < ENGINE.slots:
            self.running.append(self.waiting.popleft())
        writers = [r for r in self.running if not r.left_to_prefill]
        room = ENGINE.prefill_chunk_tokens * ENGINE.tokens_per_event
        read_ms = 0.0
        for request in self.running:
            tokens = min(request.left_to_prefill, room)
            request.left_to_prefill -= tokens
            room -= tokens
            read_ms += estimator.prefill_ms(tokens)
        return read_ms + estimator.event_interval_ms(len(writers)), writers


class Daemon:
    """Places requests by its own counts and by what the others told."""

    def __init__(self, clock, make_placement):
        self.told = {}
        self.clock = clock
        self.tracker = LoadTracker(clock, self)
        self.placement = make_placement(self.tracker)

    def peer_work_at(self, head_id):
        return self.told.get(head_id, HeadDigest(0))

    def peer_requests_at(self, head_id):
        return self.peer_work_at(head_id).own

    def all_peers_reporting(self):
        return True

    def digest(self):
        return {
            i: HeadDigest(e.own_in_flight, -1.0, e.own_prefill_tokens, e.own_held_tokens)
            for i, e in self.tracker.entries.items()
        }


class PrefillFleet:
    """Plays requests against heads; `make_placement` takes a `LoadTracker`."""

    def __init__(self, heads, daemons, make_placement):
        self.clock = ManualClock()
        self.estimator = LatencyEstimator(ENGINE, MODEL)
        names = [f"h{n}" for n in range(heads)]
        self.heads = {
            n: Head(Endpoint(n, "llm", f"127.0.0.1:{i + 1}", "z", ENGINE.slots, False))
            for i, n in enumerate(names)
        }
        self.daemons = [Daemon(self.clock, make_placement) for _ in range(daemons)]
        self.events = []
        self.numbers = itertools.count()

    def play(self, requests):
        """Play until all requests have their first event and end."""
        self._at(0.0, self._exchange)
        left = [len(requests)]
        for request in requests:
            self._at(request.arrived_ms, lambda r=request: self._place(r, left))
        while left[0] and self.events:
            at_ms, _, action = heapq.heappop(self.events)
            self.clock.advance_ms(at_ms - self.clock.now_ms())
            action()

    def _at(self, at_ms, action):
        heapq.heappush(self.events, (at_ms, next(self.numbers), action))

    def _exchange(self):
        digests = [d.digest() for d in self.daemons]
        for daemon in self.daemons:
            daemon.told = {}
            for other, digest in zip(self.daemons, digests, strict=True):
                for head_id, told in digest.items() if other is not daemon else ():
                    daemon.told.setdefault(head_id, HeadDigest(0)).add_work(told)
        self._at(self.clock.now_ms() + EXCHANGE_MS, self._exchange)

    def _place(self, request, left):
        now = self.clock.now_ms()
        daemon = request.daemon = request.daemon or random.choice(self.daemons)
        request.work = RequestWork(request.prompt_tokens, request.events * ENGINE.tokens_per_event)
        expected_ms = self.estimator.first_event_ms(request.prompt_tokens, ENGINE.slots)
        endpoint = choose_endpoint(
            [h.endpoint for h in self.heads.values()],
            daemon.tracker,
            "z",
            ENGINE.slots,
            ENGINE.slots + 1,
            placement=daemon.placement,
            work=request.work,
            slack_ms=request.arrived_ms + request.goal_ms - expected_ms - now,
            zone_daemons=len(self.daemons),
        )
        if endpoint is None:
            self._at(now + RETRY_MS, lambda: self._place(request, left))
            return
        daemon.tracker.begin_work(endpoint.id, request.work)
        request.left_to_prefill, request.left_to_write = request.prompt_tokens, request.events
        head = self.heads[endpoint.id]
        head.waiting.append(request)
        if not head.busy:
            self._begin_pass(head, left)

    def _begin_pass(self, head, left):
        head.busy = bool(head.waiting or head.running)
        if head.busy:
            took_ms, _ = head.begin_pass(self.estimator)
            self._at(self.clock.now_ms() + took_ms, lambda: self._end_pass(head, left))

    def _end_pass(self, head, left):
        for request in [r for r in head.running if not r.left_to_prefill]:
            request.left_to_write -= 1
            if request.first_ms is None:
                request.first_ms = self.clock.now_ms()
                request.daemon.tracker.end_prefill(head.endpoint.id, request.work)
            if not request.left_to_write:
                head.running.remove(request)
                request.daemon.tracker.end_work(head.endpoint.id, request.work)
                left[0] -= 1
        self._begin_pass(head, left)


def draw_requests(rng, count, per_s, long_share, spread=0.6):
    """Return requests with short prompts, and with a share of long ones, at random times."""
    at_ms, requests = 0.0, []
    for _ in range(count):
        at_ms += rng.expovariate(per_s / 1_000.0)
        is_long = rng.random() < long_share
        mean, most, goal_ms = (4_000, 5_880, 1_002.0) if is_long else (700, 2_340, 251.0)
        prompt = min(most, round(mean * rng.lognormvariate(-(spread**2) / 2, spread)))
        events = max(1, min(58, round(23 * rng.lognormvariate(-0.3, 0.8))))
        requests.append(Request(at_ms, max(40, prompt), events, goal_ms))
    return requests


def percentile(values, share):
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
