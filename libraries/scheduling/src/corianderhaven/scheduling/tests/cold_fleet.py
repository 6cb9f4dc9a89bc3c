"""Simulated daemons before heads that become cold, of which entries tell late."""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace

from corianderhaven.common import MS_PER_S, DecisionLog
from corianderhaven.fleet import EngineSpec, FleetConfig, ServiceSpec
from corianderhaven.scheduling import (
    OBSERVE_INTERVAL_MS,
    ColdEndpoints,
    EndpointLimits,
    choose_endpoint,
)

from .limit_fleet import Daemon, Fleet, Shape

SLOTS = 17
CROWDED = 0.5  # as in the dispatcher
ENTRY_INTERVAL_MS = 1_200.0
ENTRY_DELAY_MS = (20.0, 2_000.0)
FEED_DELAY_MS = (0.0, 400.0)
SNAPSHOT_MS = 100.0
DIGEST_AGE = (2, 6)  # snapshots after which others know what a daemon has at heads
ARRIVAL_MS = (0.5, 6.0)


@dataclass
class ColdShape(Shape):
    """Fleet and load to simulate.

    Parameters
    ----------
    cold_per_s : float
        Rate that the configuration names; 0 means that the daemons heed none.
    turns : tuple of (float, int)
        Times at which a head, by number, becomes cold unseen.
    closed : tuple of (float, float, int)
        Begin and end of a time in which the heads of the first zones, as many as given, take no
        requests; at its end they are cold, which daemons hear within the delay of a feed.
    answer_ms : (float, float)
        Shortest and longest time of an answer.
    """

    heads: int = 9
    cold_per_s: float = 15.0
    cold_ms: float = 3_000.0
    turns: tuple = ()
    closed: tuple | None = None
    answer_ms: tuple = (850.0, 1_300.0)
    limits_per_s: tuple = ()


@dataclass
class Head:
    """True state of a head."""

    cold: list = field(default_factory=list)
    arrivals_ms: list = field(default_factory=list)
    entries: int = 0
    slots_free_ms: list = field(default_factory=lambda: [0.0] * SLOTS)

    def remaining_ms(self, now):
        """Return how long the head is still cold."""
        return max((end - now for begin, end in self.cold if begin <= now < end), default=0.0)


class ColdDaemon(Daemon):
    """A daemon that chooses heads by load as far as it knows it; it is its own load tracker."""

    def __init__(self, fleet, number):
        super().__init__(fleet, number)
        self.own = Counter()
        self.snapshots = deque([Counter()], maxlen=DIGEST_AGE[1] + 1)
        self.digest_age = random.randint(*DIGEST_AGE)
        self.known = {}
        self.closed = set()
        log = DecisionLog(fleet.clock, 1)
        self.cold = ColdEndpoints(fleet.clock, log)
        self.cold.endpoints = lambda: fleet.endpoints
        self.cold.in_flight = self.occupancy
        self.cold.configure(fleet.config)
        self.permits.limits = self.limits = EndpointLimits(fleet.clock, log, self.cold)
        self.table.peer_requests_at = self.others_at

    def exchange(self):
        """Hear from peers, which hear from this daemon as well."""
        super().exchange()
        now = self.fleet.clock.now_ms()
        for peer in self.table.targets():
            other = self.fleet.by_name[peer.name]
            known = other.table.peers.get(self.name)
            if known is not None and self.fleet.reaches(self, other):
                known.unreachable_since_ms, known.last_heard_ms = -1e12, now

    def others_at(self, head_id):
        snapshot = max(-len(self.fleet.totals), -self.digest_age)
        known = self.snapshots[max(-len(self.snapshots), -self.digest_age)][head_id]
        return max(0, self.fleet.totals[snapshot][head_id] - known)

    def occupancy(self, head_id):
        return self.own[head_id] + self.others_at(head_id)

    def failure_rate(self, head_id):
        return 0.0

    def accept(self, demand):
        self.waiting.append(self.fleet.clock.now_ms())
        self.assign()

    def assign(self):
        if self.number in self.fleet.down or self.fleet.daemons[self.number] is not self:
            self.waiting.clear()
        now = self.fleet.clock.now_ms()
        while self.waiting and now - self.waiting[0] > self.fleet.max_wait_ms:
            self.waiting.popleft()
            self.fleet.figures.refused += 1
        while self.waiting and self._send():
            self.waiting.popleft()
        if self.waiting:
            self._assign_again()

    def _send(self):
        endpoints = [e for e in self.fleet.endpoints_in_reach(self) if e.zone not in self.closed]
        limited = self.permits.limited(endpoints)
        free = [e for e in limited if self.occupancy(e.id) <= SLOTS]
        self.permits.ask(free, 0, len(self.waiting), lambda e: self.occupancy(e.id))
        head = choose_endpoint(
            [e for e in endpoints if self.permits.accepts(e)],
            self,
            self.zone,
            SLOTS,
            SLOTS + 1,
            len(self.fleet.daemons),
            max(1, len(self.fleet.daemons) // self.fleet.shape.zones),
            [e for e in limited if self.permits.accepts(e)],
            is_cold=self.permits.is_cold,
        )
        if head is None or not self.permits.try_take(head):
            return False
        self.own[head.id] += 1
        self.fleet.arrive(self, head)
        return True

    def observe(self):
        """Take note of which heads are in use, and whether they are crowded."""
        self.cold.observe()
        heads = [e.id for e in self.fleet.endpoints]
        load = sum(map(self.occupancy, heads)) / (SLOTS * len(heads))
        self.cold.guarded = set(heads) if self.waiting or load > CROWDED else set()

    def hear(self, entry):
        """Apply an entry; returns whether the feed passes it on."""
        previous = self.known.get(entry.id, entry)
        if entry.entry_number < previous.entry_number:
            return False
        self.known[entry.id] = entry
        return self.cold.note_entry(entry, previous)


class ColdFleet(Fleet):
    """Simulates a `ColdShape`."""

    daemon_type = ColdDaemon
    max_wait_ms = 3_000.0

    def __init__(self, shape, seed):
        self.totals = deque([Counter()], maxlen=DIGEST_AGE[1] + 1)
        engine = EngineSpec(SLOTS, ())
        services = {"pool": ServiceSpec("pool", engine, shape.cold_per_s, shape.cold_ms)}
        self.config = FleetConfig(1, (), services, ())
        shape = replace(shape, limits_per_s=(0.0,) * shape.heads)
        super().__init__(shape, seed)
        self.heads = {e.id: Head() for e in self.endpoints}

    def run(self):
        for number in range(len(self.endpoints)):
            self.after(random.uniform(0.0, ENTRY_INTERVAL_MS), lambda n=number: self._write(n))
        for at_ms, number in self.shape.turns:
            self.after(at_ms, lambda n=number: self.turn_cold(self.endpoints[n]))
        if self.shape.closed:
            begin_ms, end_ms, zones = self.shape.closed
            self.after(begin_ms, lambda: self._set_closed(zones, True))
            self.after(end_ms, lambda: self._set_closed(zones, False))
        self._snapshot()
        return super().run()

    def _restart(self, number):
        super()._restart(number)
        self.daemons[number].limits.limits.clear()

    def _name_limit(self, i, rate):
        """Heads of this fleet name no limits."""

    def turn_cold(self, endpoint):
        now = self.clock.now_ms()
        self.heads[endpoint.id].cold.append((now, now + self.shape.cold_ms))

    def _set_closed(self, zones, closed):
        names = {f"zone-{number}" for number in range(zones)}
        for endpoint in self.endpoints:
            if endpoint.zone in names and not closed:
                self.turn_cold(endpoint)
        for daemon in self.daemons:
            delay_ms = random.uniform(*FEED_DELAY_MS)
            self.after(delay_ms, lambda d=daemon: self._tell_closed(d, names, closed))

    def _tell_closed(self, daemon, names, closed):
        daemon.closed = names if closed else set()
        if not closed:
            for name in names:
                daemon.cold.assume_cold(name)

    def _write(self, number):
        """Write a head's entry; the hubs pass on what changes between cold and warm."""
        endpoint = self.endpoints[number]
        head, now = self.heads[endpoint.id], self.clock.now_ms()
        head.entries += 1
        entry = replace(
            endpoint, entry_number=head.entries, warmup_remaining_ms=head.remaining_ms(now)
        )
        at_hub_ms = random.uniform(*ENTRY_DELAY_MS)
        self.after(at_hub_ms, lambda: self._pass_on(entry))
        self.after(ENTRY_INTERVAL_MS, lambda: self._write(number))

    def _pass_on(self, entry):
        if self.daemons[0].hear(entry):
            for daemon in self.daemons[1:]:
                delay_ms = random.uniform(*FEED_DELAY_MS)
                self.after(delay_ms, lambda d=daemon: d.hear(entry))

    def _snapshot(self):
        self.totals.append(sum((d.own for d in self.daemons), Counter()))
        for daemon in self.daemons:
            daemon.snapshots.append(Counter(daemon.own))
            daemon.observe()
        self.after(max(SNAPSHOT_MS, OBSERVE_INTERVAL_MS), self._snapshot)

    def arrive(self, daemon, endpoint):
        """Let a request arrive at a head, wait for a slot there and end some time later."""
        now, head = self.clock.now_ms(), self.heads[endpoint.id]
        arrival_ms = now + random.uniform(*ARRIVAL_MS)
        head.arrivals_ms.append(arrival_ms)
        begin_ms = max(arrival_ms, heapq.heappop(head.slots_free_ms))
        end_ms = begin_ms + random.uniform(*self.shape.answer_ms)
        heapq.heappush(head.slots_free_ms, end_ms)
        self.after(end_ms - now, lambda: self._end(daemon, endpoint))

    def _end(self, daemon, endpoint):
        daemon.own[endpoint.id] -= 1
        daemon.assign()

    def most_while_cold(self):
        """Return the most requests that arrived at a head in one second while it was cold."""
        return max(self._most_in_a_second(head) for head in self.heads.values())

    @staticmethod
    def _most_in_a_second(head):
        times = [t for t in sorted(head.arrivals_ms) if head.remaining_ms(t) > 0.0]
        most = first = 0
        for last, time in enumerate(times):
            while times[first] <= time - MS_PER_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def share_used(self, begin_ms, end_ms):
        """Return the requests to cold heads in a time, as a part of what their rate allows."""
        begin_ms, end_ms = self.start_ms + begin_ms, self.start_ms + end_ms
        cold = [head for head in self.heads.values() if head.cold]
        sent = sum(begin_ms <= t < end_ms for head in cold for t in head.arrivals_ms)
        return sent / (len(cold) * self.shape.cold_per_s * (end_ms - begin_ms) / MS_PER_S)
