"""Load of endpoints, from this daemon's own requests and from the load in responses."""

from dataclasses import dataclass, field

REPORTED_LOAD_MAX_AGE_MS = 1_500.0  # about the length of an answer: older load has drained
MAX_HOLD_MS = 60_000.0  # no sound endpoint asks for more
FAILURE_DECAY = 0.9  # weight of the previous failure rate when an answer is recorded
FAILURE_HALF_LIFE_MS = 4_000.0  # an endpoint that receives no requests recovers


@dataclass
class LoadEntry:
    """Known load of one endpoint.

    Parameters
    ----------
    own_in_flight : int
        Requests of this daemon in flight at the endpoint.
    others_in_flight : float
        Requests of other daemons at the time of the last load report.
    failure_rate : float
        Moving average of the fraction of failed answers.
    held_until_ms : float
        Time until which the endpoint wants no requests from this daemon.
    held_incarnation : int
        Start time of the incarnation that said so.
    own_prefill_tokens, own_held_tokens : int
        Prompt tokens of this daemon's requests that the endpoint has yet to prefill, and tokens
        that these requests hold in its memory.
    """

    own_in_flight: int = 0
    others_in_flight: float = 0.0
    reported_ms: float = -1e12
    failure_rate: float = 0.0
    last_result_ms: float = 0.0
    held_until_ms: float = 0.0
    held_incarnation: int = 0
    own_prefill_tokens: int = 0
    own_held_tokens: int = 0
    streams: set = field(default_factory=set)


class LoadTracker:
    """Load entries by endpoint id.

    Parameters
    ----------
    clock : Clock
    peers : PeerTable
    """

    def __init__(self, clock, peers):
        self.clock = clock
        self.peers = peers
        self.entries = {}

    def entry(self, endpoint_id):
        """Return the `LoadEntry` of an endpoint, creating it if missing."""
        entry = self.entries.get(endpoint_id)
        if entry is None:
            entry = self.entries[endpoint_id] = LoadEntry()
        return entry

    def occupancy(self, endpoint_id):
        """Return the estimated number of requests at an endpoint."""
        others = self.peers.peer_requests_at(endpoint_id)
        entry = self.entries.get(endpoint_id)
        if entry is None:
            return others
        if not self.peers.all_peers_reporting():
            # The load that endpoints report includes the requests of peers without a valid digest.
            age_ms = self.clock.now_ms() - entry.reported_ms
            freshness = max(0.0, 1.0 - age_ms / REPORTED_LOAD_MAX_AGE_MS)
            others = max(others, entry.others_in_flight * freshness)
        return entry.own_in_flight + others

    def begin_work(self, endpoint_id, work):
        """Count a request that this daemon assigns to an endpoint, with its `RequestWork`."""
        entry = self.entry(endpoint_id)
        entry.own_in_flight += 1
        entry.own_prefill_tokens += work.prompt_tokens
        entry.own_held_tokens += work.held_tokens
        work.in_prefill = True

    def end_prefill(self, endpoint_id, work):
        """Record that an endpoint has prefilled the prompt of a request."""
        if work.in_prefill:
            self.entry(endpoint_id).own_prefill_tokens -= work.prompt_tokens
            work.in_prefill = False

    def end_work(self, endpoint_id, work):
        """Remove a request that has ended from its endpoint's counts."""
        self.end_prefill(endpoint_id, work)
        entry = self.entry(endpoint_id)
        entry.own_in_flight -= 1
        entry.own_held_tokens -= work.held_tokens

    def prefill_tokens(self, endpoint_id):
        """Return the prompt tokens of all daemons' requests that an endpoint has yet to prefill."""
        entry = self.entries.get(endpoint_id)
        own = entry.own_prefill_tokens if entry is not None else 0
        return own + self.peers.peer_work_at(endpoint_id).prefill_tokens

    def held_tokens(self, endpoint_id):
        """Return the tokens that all daemons' requests hold in an endpoint's memory."""
        entry = self.entries.get(endpoint_id)
        own = entry.own_held_tokens if entry is not None else 0
        return own + self.peers.peer_work_at(endpoint_id).held_tokens

    def record_load(self, endpoint_id, load):
        """Store the load reported in a response: running requests, waiting requests, slots."""
        entry = self.entry(endpoint_id)
        running, waiting, _ = load
        entry.others_in_flight = max(0.0, running + waiting - entry.own_in_flight)
        entry.reported_ms = self.clock.now_ms()

    def hold(self, endpoint, duration_ms):
        """Send nothing to an endpoint for a time that it asked for when it refused a request."""
        entry = self.entry(endpoint.id)
        until_ms = self.clock.now_ms() + min(duration_ms, MAX_HOLD_MS)
        same = entry.held_incarnation == endpoint.started_ms
        entry.held_until_ms = max(entry.held_until_ms, until_ms) if same else until_ms
        entry.held_incarnation = endpoint.started_ms

    def held_for_ms(self, endpoint):
        """Return how long an endpoint still wants no requests; 0.0 if it takes them."""
        entry = self.entries.get(endpoint.id)
        if entry is None or entry.held_incarnation != endpoint.started_ms:
            return 0.0
        return max(0.0, entry.held_until_ms - self.clock.now_ms())

    def accepting(self, endpoints):
        """Return the endpoints that take requests now."""
        return [e for e in endpoints if not self.held_for_ms(e)]

    def record_result(self, endpoint_id, failed):
        """Update an endpoint's failure rate with one answer."""
        entry = self.entry(endpoint_id)
        rate = self.failure_rate(endpoint_id)
        entry.failure_rate = rate * FAILURE_DECAY + (1.0 - FAILURE_DECAY) * failed
        entry.last_result_ms = self.clock.now_ms()

    def failure_rate(self, endpoint_id):
        """Return the failure rate, decayed since the last answer."""
        entry = self.entries.get(endpoint_id)
        if entry is None or not entry.failure_rate:
            return 0.0
        age_ms = self.clock.now_ms() - entry.last_result_ms
        return entry.failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def prune(self, known_ids):
        """Drop endpoints that no longer exist and have no requests in flight."""
        for endpoint_id in [i for i in self.entries if i not in known_ids]:
            entry = self.entries[endpoint_id]
            if not entry.own_in_flight and entry.held_until_ms <= self.clock.now_ms():
                del self.entries[endpoint_id]
