"""Simulated daemons before endpoints that name limits, on a clock of their own."""

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S, DecisionLog, ManualClock
from corianderhaven.fleet import (
    PERMIT_LIFETIME_MS,
    Endpoint,
    PeerTable,
    PermitIssuer,
    PermitOffer,
    PermitRequest,
)
from corianderhaven.scheduling import QUEUE_CHECK_INTERVAL_MS, EndpointLimits, SendPermits

CALL_MS = (1.0, 6.0)
CALL_TIMEOUT_MS = 300.0
RETRY_MS = 100.0
EXCHANGE_MS = 200.0
LEARNING_MS = (0.0, 600.0)  # in which a limit becomes known at a daemon
UNLISTED_AFTER_MS = 10_000.0
MAX_WAIT_MS = 1_500.0  # of a request for a permit


@dataclass
class Shape:
    """Fleet and load to simulate; rates are of the whole fleet.

    Parameters
    ----------
    limits_per_s : tuple of float
        Limit of each endpoint; they are dealt to the zones in turn.
    changes : tuple of (float, int, float)
        Times at which an endpoint, by number, names another limit.
    restarts : tuple of (float, int, float)
        Times at which a daemon, by number, goes down, and for how long; it comes back empty.
    cut : tuple of (float, float, int) or None
        Begin and end of a cut, and the number of zones on the smaller side.
    cut_reaches_all : bool
        Whether daemons of both sides of the cut reach all endpoints.
    lost_share : float
        Share of the answers to wishes that are lost.
    """

    daemons: int = 12
    zones: int = 3
    limits_per_s: tuple = (2.0, 2.0, 2.0)
    requests_per_s: float = 30.0
    changes: tuple = ()
    restarts: tuple = ()
    cut: tuple | None = None
    cut_reaches_all: bool = False
    duration_ms: float = 20_000.0
    lost_share: float = 0.0


@dataclass
class Figures:
    """What happened: times of sends by endpoint number in ms, and waits of requests in ms."""

    sends_ms: dict = field(default_factory=dict)
    refused: int = 0
    waits_ms: list = field(default_factory=list)


class Daemon:
    """One daemon's decisions, and the network to its peers."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.name = f"edge-{number:03d}"
        self.zone = fleet.zone_of(number)
        self.table = PeerTable(self.name, fleet.clock, self.zone)
        self.table.reporting_daemons = self.count_reachable
        self.limits = EndpointLimits(fleet.clock, DecisionLog(fleet.clock, 1))
        self.permits = SendPermits(fleet.clock, self.limits, self.zone)
        self.permits.request = self.request
        self.permits.on_permit = lambda wait_ms: fleet.after(wait_ms, self.assign)
        self.issuer = PermitIssuer(self.table, fleet.clock)
        self.waiting = deque()
        self.is_polling = False

    def accept(self, demand):
        """Send a request, let it wait, or refuse it at once if it would wait too long."""
        now = self.fleet.clock.now_ms()
        endpoints = self.fleet.endpoints_in_reach(self)
        self.permits.ask(endpoints, demand, len(self.waiting) + 1)
        wait_ms = min(map(self.permits.wait_ms, endpoints), default=math.inf)
        if wait_ms > MAX_WAIT_MS:
            self.fleet.figures.refused += 1
            return
        self.waiting.append(now)
        self.assign()

    def assign(self):
        """Send waiting requests in order, and drop those that have waited too long."""
        now = self.fleet.clock.now_ms()
        while self.waiting and now - self.waiting[0] > MAX_WAIT_MS:
            self.waiting.popleft()
            self.fleet.figures.refused += 1
        endpoints = self.fleet.endpoints_in_reach(self)
        while self.waiting:
            usable = [e for e in endpoints if self.permits.accepts(e)]
            if not usable:
                break
            endpoint = random.choice(usable)
            limited = self.permits.is_limited(endpoint)
            assert self.permits.try_take(endpoint)
            self.fleet.record_send(endpoint, limited, now - self.waiting.popleft())
        if self.waiting:
            self.permits.ask(endpoints, 0, len(self.waiting))
            self._assign_again()

    def _assign_again(self):
        """Look again after a while, as queues do as long as requests wait."""
        if not self.is_polling:
            self.is_polling = True
            self.fleet.after(QUEUE_CHECK_INTERVAL_MS, self._poll)

    def _poll(self):
        self.is_polling = False
        self.assign()

    def count_reachable(self):
        others = (d for d in self.fleet.daemons if d.number != self.number)
        return sum(self.fleet.reaches(self, other) for other in others)

    def request(self, wish):
        peer = self.table.permit_issuer(wish.endpoint, wish.zone)
        if peer is None:
            self.permits.apply_offer(wish, self.issuer.offer(wish))
            return
        other = self.fleet.by_name[peer.name]
        if not self.fleet.reaches(self, other):
            self.fleet.after(CALL_TIMEOUT_MS, lambda: self._fail(peer, wish))
            return

        def arrive():
            reply = other.issuer.answer(PermitRequest(self.name, [wish]))
            offer = reply.offers[wish.endpoint]
            lost_share = self.fleet.shape.lost_share
            if lost_share and random.random() < lost_share:
                self.fleet.after(CALL_TIMEOUT_MS, lambda: self._fail(peer, wish))
                return
            self.fleet.after(
                random.uniform(*CALL_MS), lambda: self.permits.apply_offer(wish, offer)
            )

        self.fleet.after(random.uniform(*CALL_MS), arrive)

    def _fail(self, peer, wish):
        self.table.mark_unreachable(peer)
        self.permits.apply_offer(wish, PermitOffer(False, RETRY_MS))

    def exchange(self):
        """Find out which peers are unreachable, as exchanges of digests do."""
        now = self.fleet.clock.now_ms()
        for peer in self.table.targets():
            other = self.fleet.by_name[peer.name]
            if self.fleet.reaches(self, other):
                peer.unreachable_since_ms, peer.last_heard_ms = -1e12, now
            else:
                self.table.mark_unreachable(peer)


class Fleet:
    """Simulates a `Shape`; draws are seeded."""

    daemon_type = Daemon

    def __init__(self, shape, seed):
        random.seed(seed)
        self.shape = shape
        self.clock = ManualClock()
        self.start_ms = self.clock.now_ms()
        self.events, self.numbers = [], itertools.count()
        self.down = set()
        self.is_cut = False
        self.figures = Figures({i: [] for i in range(len(shape.limits_per_s))})
        self.endpoints = [
            Endpoint(f"e-{i}", "pool", "", self.zone_of(i), 9, False, started_ms=1)
            for i in range(len(shape.limits_per_s))
        ]
        self.rates = list(shape.limits_per_s)
        self.daemons = [self.daemon_type(self, i) for i in range(shape.daemons)]
        self.by_name = {d.name: d for d in self.daemons}
        self.smaller_side = set()
        if shape.cut is not None:
            zones = sorted({d.zone for d in self.daemons})[: shape.cut[2]]
            self.smaller_side = set(zones)

    def zone_of(self, number):
        return f"zone-{number % self.shape.zones}"

    def reaches(self, one, other):
        if self.down & {one.number, other.number}:
            return False
        sides = (one.zone in self.smaller_side, other.zone in self.smaller_side)
        return not self.is_cut or sides[0] == sides[1]

    def after(self, delay_ms, action):
        heapq.heappush(self.events, (self.clock.now_ms() + delay_ms, next(self.numbers), action))

    def run(self):
        self._list_daemons()
        for daemon in self.daemons:
            self._repeat(daemon)
            self._arrivals(daemon)
        for i, rate in enumerate(self.rates):
            self._name_limit(i, rate)
        for at_ms, number, rate in self.shape.changes:
            self.after(at_ms, lambda number=number, rate=rate: self._name_limit(number, rate))
        for at_ms, number, for_ms in self.shape.restarts:
            self.after(at_ms, lambda number=number: self.down.add(number))
            self.after(at_ms + for_ms, lambda number=number: self._restart(number))
        if self.shape.cut is not None:
            begin_ms, end_ms, _ = self.shape.cut
            self.after(begin_ms, lambda: self._set_cut(True))
            if end_ms - begin_ms > UNLISTED_AFTER_MS:
                self.after(begin_ms + UNLISTED_AFTER_MS, self._list_daemons)
            self.after(end_ms, lambda: self._set_cut(False))
            self.after(end_ms + EXCHANGE_MS, self._list_daemons)
        end_ms = self.start_ms + self.shape.duration_ms
        while self.events and self.events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self.events)
            self.clock.advance_ms(max(0.0, at_ms - self.clock.now_ms()))
            action()
        return self.figures

    def _set_cut(self, is_cut):
        self.is_cut = is_cut

    def _list_daemons(self):
        """Let the daemons that reach the store read there which others do."""
        with_store = [d for d in self.daemons if not self.is_cut or d.zone not in self.smaller_side]
        records = [(d.name, "", d.zone) for d in with_store]
        for daemon in with_store:
            daemon.table.set_listed_daemons(records)
            if self.is_cut:
                daemon.table.targets()

    def _repeat(self, daemon):
        if daemon.number not in self.down:
            daemon.exchange()
        self.after(EXCHANGE_MS, lambda: self._repeat(self.daemons[daemon.number]))

    def _restart(self, number):
        self.down.discard(number)
        daemon = self.daemons[number] = self.daemon_type(self, number)
        self.by_name[daemon.name] = daemon
        daemon.table.set_listed_daemons([(d.name, "", d.zone) for d in self.daemons])
        for endpoint, rate in zip(self.endpoints, self.rates, strict=True):
            daemon.limits.record_answer(endpoint, rate, self.clock.now_ms())

    def _name_limit(self, i, rate):
        self.rates[i] = rate

        def learn(number):
            limits = self.daemons[number].limits
            limits.record_answer(self.endpoints[i], self.rates[i], self.clock.now_ms())

        for daemon in self.daemons:
            self.after(random.uniform(*LEARNING_MS), lambda number=daemon.number: learn(number))

    def _arrivals(self, daemon):
        per_ms = self.shape.requests_per_s / self.shape.daemons / MS_PER_S

        def arrive():
            current = self.daemons[daemon.number]
            if daemon.number not in self.down:
                current.accept(math.floor(per_ms * PERMIT_LIFETIME_MS))
            self.after(random.expovariate(per_ms), arrive)

        self.after(random.expovariate(per_ms), arrive)

    def endpoints_in_reach(self, daemon):
        if not self.is_cut or self.shape.cut_reaches_all:
            return self.endpoints
        side = daemon.zone in self.smaller_side
        return [e for e in self.endpoints if (e.zone in self.smaller_side) == side]

    def record_send(self, endpoint, limited, waited_ms):
        self.figures.waits_ms.append(waited_ms)
        if limited:
            number = self.endpoints.index(endpoint)
            self.figures.sends_ms[number].append(self.clock.now_ms() - self.start_ms)
