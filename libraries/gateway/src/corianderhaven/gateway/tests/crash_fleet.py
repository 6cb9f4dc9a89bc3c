"""Simulated daemons that share crash evidence, on a clock of their own, with drawn histories."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from corianderhaven.common import ManualClock
from corianderhaven.fleet import merge_parts
from corianderhaven.gateway import CrashLedger, Verdict

CONTACT_MS = 3_000.0  # by then the evidence must be at all daemons
EXCHANGE_MS = 200.0
GOSSIP_MS = (200.0, 600.0)
OPENING_MS = (50.0, 300.0)  # from the send to the first event
FIRST_EVENTS_MS = 100.0  # from the first event until the answer counts as sound
DETECTION_MS = (0.0, 150.0)  # daemons notice an end at different times
RESTART_MS = 3_000.0
SAMPLE_MS = 50.0
CRASHES_FROM_MS = 2_000.0
BURST_MS = 3_000.0
CRASHING = "crashing"
CRASHING_REQUEST = "request:crashing"
POPULAR_REQUESTS = 5
ENDS_TO_KNOW = {CRASHING: 5, CRASHING_REQUEST: 3}
LOSS_SHARE = 0.15
DOMAINS = 8


@dataclass
class Shape:
    """History to draw: rates are of the whole fleet.

    Parameters
    ----------
    burst : int
        Crashing requests that come in the same instant, at another daemon each, at `BURST_MS`.
    losses_ms : tuple of float
        When 15 % of the endpoints end at once.
    domain_losses_ms : tuple of float
        When all endpoints of one of the domains end at once.
    culprit : str
        What crashes endpoints: a part of prompts, or a request that comes again as a whole.
    """

    daemons: int = 6
    endpoints: int = 100
    sound_per_s: float = 40.0
    crashing_per_s: float = 0.0
    burst: int = 0
    losses_ms: tuple = ()
    domain_losses_ms: tuple = ()
    callers: int = 6
    duration_ms: float = 12_000.0
    culprit: str = CRASHING


@dataclass
class Figures:
    """What happened in a history; times in ms.

    Parameters
    ----------
    crashes_ms : list
        Times at which endpoints ended because of the crashing part.
    sends_ms : list
        Times of attempts with the crashing part.
    proof_ms : float or None
        When the first daemon took the crashing part for proven.
    falsely_proven : set
        Sound parts that any daemon took for proven.
    suspicion_ms : dict
        Longest time for which a daemon suspected a sound part without pause, by part.
    sound, sound_refused : int
        Sound requests, and those of them that were refused at the first attempt.
    ends_to_know : int
        Crashes after which the target counts the sends that follow.
    """

    crashes_ms: list = field(default_factory=list)
    sends_ms: list = field(default_factory=list)
    proof_ms: float | None = None
    falsely_proven: set = field(default_factory=set)
    suspicion_ms: dict = field(default_factory=dict)
    sound: int = 0
    sound_refused: int = 0
    ends_to_know: int = 5

    def crashes_until_proof(self):
        """Return how many endpoints had ended when the first daemon had a proof, or None."""
        if self.proof_ms is None:
            return None
        return sum(crashed_ms <= self.proof_ms for crashed_ms in self.crashes_ms)

    def late_sends(self):
        """Return the sends later than `CONTACT_MS` after the crash that makes the culprit known."""
        if len(self.crashes_ms) < self.ends_to_know:
            return 0
        since_ms = sorted(self.crashes_ms)[self.ends_to_know - 1] + CONTACT_MS
        return sum(sent_ms > since_ms for sent_ms in self.sends_ms)


@dataclass(eq=False)
class Attempt:
    """An attempt that was sent to an endpoint."""

    daemon: int
    parts: tuple
    resumable: bool
    in_flight: tuple
    began_ms: float | None = None


@dataclass(eq=False)
class SimulatedEndpoint:
    """An endpoint that ends and restarts; `started` counts its runs."""

    number: int
    started: int = 0
    is_up: bool = True
    attempts: set = field(default_factory=set)


class CrashFleet:
    """Plays one history; `figures` holds what happened."""

    def __init__(self, shape, seed):
        self.shape = shape
        self.random = random.Random(seed)
        self.clock = ManualClock(0.0)
        self.culprit = shape.culprit
        self.figures = Figures(ends_to_know=ENDS_TO_KNOW[shape.culprit])
        self.names = [f"daemon-{n}" for n in range(shape.daemons)]
        self.ledgers = [CrashLedger(self.clock) for _ in self.names]
        self.endpoints = [SimulatedEndpoint(n) for n in range(shape.endpoints)]
        self.events = []
        self.order = itertools.count()
        self.suspected_since_ms = {}
        for ledger in self.ledgers:
            ledger.on_proven = self.record_proof

    def play(self):
        """Play the history and return its figures."""
        self.schedule_history()
        while self.events and self.events[0][0] <= self.shape.duration_ms:
            at_ms, _, action, arguments = heapq.heappop(self.events)
            self.clock.current_ms = at_ms
            action(*arguments)
        return self.figures

    def after(self, delay_ms, action, *arguments):
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (at_ms, next(self.order), action, arguments))

    def schedule_history(self):
        shape = self.shape
        for at_ms in self.arrivals(shape.sound_per_s):
            self.after(at_ms, self.request, self.sound_parts())
        for at_ms in self.arrivals(shape.crashing_per_s):
            if at_ms > CRASHES_FROM_MS:
                self.after(at_ms, self.request, self.crashing_parts())
        for number in range(shape.burst):
            self.after(BURST_MS, self.request, self.crashing_parts(), number % shape.daemons)
        for at_ms in shape.losses_ms:
            self.after(at_ms, self.lose_share)
        for at_ms in shape.domain_losses_ms:
            self.after(at_ms, self.lose_domain, self.random.randrange(DOMAINS))
        for number in range(shape.daemons):
            self.after(self.random.uniform(0.0, EXCHANGE_MS), self.exchange, number)
        self.after(SAMPLE_MS, self.sample)

    def arrivals(self, per_s):
        at_ms = 0.0
        while per_s and at_ms < self.shape.duration_ms:
            at_ms += self.random.expovariate(per_s / 1_000.0)
            yield at_ms

    def sound_parts(self):
        """Return a caller's part, one of its documents, and often a part of few requests."""
        caller = self.random.randrange(self.shape.callers)
        parts = [f"caller-{caller}", f"document-{caller}-{self.random.randrange(8)}"]
        if self.random.random() < 0.3:
            parts.append(f"rare-{self.random.randrange(200)}")
        if self.culprit == CRASHING_REQUEST:
            popular = self.random.random() < 0.3
            number = self.random.randrange(POPULAR_REQUESTS) if popular else next(self.order)
            parts.append(f"request:{'popular' if popular else 'own'}-{number}")
        return tuple(parts)

    def crashing_parts(self):
        """Return the crashing part at any place among the parts of sound requests."""
        parts = list(self.sound_parts())
        if self.culprit == CRASHING_REQUEST:
            return (*parts[:-1], CRASHING_REQUEST)
        parts.insert(self.random.randrange(len(parts) + 1), CRASHING)
        return tuple(parts)

    def request(self, parts, daemon=None):
        daemon = self.random.randrange(self.shape.daemons) if daemon is None else daemon
        admitted = self.send(daemon, parts)
        if self.culprit not in parts:
            self.figures.sound += 1
            self.figures.sound_refused += not admitted

    def send(self, daemon, parts, resumed=False):
        ledger = self.ledgers[daemon]
        admission = ledger.admit(parts, lambda part: self.is_owner(daemon, part))
        up = [endpoint for endpoint in self.endpoints if endpoint.is_up]
        if not admission.allowed or not up or (resumed and not admission.resumable):
            return False
        attempt = Attempt(daemon, parts, admission.resumable and not resumed, ledger.begin(parts))
        endpoint = self.random.choice(up)
        endpoint.attempts.add(attempt)
        if self.culprit in parts:
            self.figures.sends_ms.append(self.clock.now_ms())
        self.after(self.random.uniform(*OPENING_MS), self.write, endpoint, attempt)
        return True

    def is_owner(self, daemon, part):
        return self.ledgers[daemon].trial_owner(part, self.names) == self.names[daemon]

    def write(self, endpoint, attempt):
        if attempt not in endpoint.attempts:
            return
        if self.culprit in attempt.parts:
            self.figures.crashes_ms.append(self.clock.now_ms())
            self.end(endpoint)
            return
        attempt.began_ms = self.clock.now_ms()
        self.after(FIRST_EVENTS_MS, self.complete, endpoint, attempt)

    def complete(self, endpoint, attempt):
        if attempt in endpoint.attempts:
            endpoint.attempts.remove(attempt)
            ledger = self.ledgers[attempt.daemon]
            ledger.finish(attempt.in_flight)
            ledger.record_success(attempt.parts, attempt.began_ms)

    def end(self, endpoint):
        broken, endpoint.attempts, endpoint.is_up = endpoint.attempts, set(), False
        incarnation = f"endpoint-{endpoint.number}@{endpoint.started}"
        for attempt in sorted(broken, key=lambda a: (a.daemon, a.parts)):
            delay_ms = self.random.uniform(*DETECTION_MS)
            self.after(delay_ms, self.detect, incarnation, attempt)
        self.after(RESTART_MS, self.restart, endpoint)

    def detect(self, incarnation, attempt):
        ledger = self.ledgers[attempt.daemon]
        ledger.finish(attempt.in_flight)
        ledger.record_end(incarnation, attempt.parts, self.clock.now_ms())
        if attempt.resumable:
            self.send(attempt.daemon, attempt.parts, resumed=True)

    def restart(self, endpoint):
        endpoint.is_up = True
        endpoint.started += 1

    def lose_share(self):
        up = [endpoint for endpoint in self.endpoints if endpoint.is_up]
        for endpoint in self.random.sample(up, int(LOSS_SHARE * len(up))):
            self.end(endpoint)

    def lose_domain(self, domain):
        for endpoint in self.endpoints:
            if endpoint.is_up and endpoint.number % DOMAINS == domain:
                self.end(endpoint)

    def exchange(self, number):
        digest = self.ledgers[number].digest()
        sent_ms = self.clock.now_ms()
        for other in range(self.shape.daemons):
            if other != number:
                delay_ms = self.random.uniform(*GOSSIP_MS)
                self.after(delay_ms, self.receive, other, digest, sent_ms)
        self.after(EXCHANGE_MS, self.exchange, number)

    def receive(self, number, digest, sent_ms):
        # Half of the delay is waiting, which ages include; the rest is transit, unknown to all.
        age_ms = 0.5 * (self.clock.now_ms() - sent_ms)
        received = {}
        merge_parts(received, digest, age_ms)
        self.ledgers[number].merge(received)

    def record_proof(self, part):
        if part != self.culprit:
            self.figures.falsely_proven.add(part)
        elif self.figures.proof_ms is None:
            self.figures.proof_ms = self.clock.now_ms()

    def sample(self):
        now = self.clock.now_ms()
        suspected = {
            (number, listed.part)
            for number, ledger in enumerate(self.ledgers)
            for listed in ledger.listing()
            if listed.verdict is not Verdict.CLEAR and listed.part != self.culprit
        }
        for key in suspected:
            since_ms = self.suspected_since_ms.setdefault(key, now)
            longest_ms = self.figures.suspicion_ms.get(key[1], 0.0)
            self.figures.suspicion_ms[key[1]] = max(longest_ms, now - since_ms + SAMPLE_MS)
        for key in self.suspected_since_ms.keys() - suspected:
            del self.suspected_since_ms[key]
        self.after(SAMPLE_MS, self.sample)


def proof_and_false_suspicion(shape, seed):
    """Play a history; return the ends until the proof, and the longest false suspicion in ms.

    The ends are None without a proof.
    """
    figures = CrashFleet(shape, seed).play()
    return figures.crashes_until_proof(), max(figures.suspicion_ms.values(), default=0.0)
