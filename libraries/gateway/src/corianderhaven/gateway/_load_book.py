"""How busy endpoints are, from own sends and from what their answers tell."""

from dataclasses import dataclass, field

TOLD_FRESH_MS = 1_500.0  # about the length of an answer: older load has drained
FAILURE_MEMORY = 0.9  # weight of the past in an endpoint's failure rate, for each answer
FAILURE_HALF_LIFE_MS = 4_000.0  # an endpoint that got no request recovers its standing


@dataclass
class LoadEntry:
    """What is known of one endpoint's load.

    Parameters
    ----------
    own : int
        Requests of this daemon in flight there.
    others : float
        Requests of others there when it last told.
    failure_rate : float
        Recent share of answers that failed.
    """

    own: int = 0
    others: float = 0.0
    told_ms: float = -1e12
    failure_rate: float = 0.0
    failed_ms: float = 0.0
    streams: set = field(default_factory=set)


class LoadBook:
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
        """Return the `LoadEntry` of an endpoint, new if need be."""
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
            # A peer is silent: what endpoints tell counts its requests too.
            age_ms = self.clock.now_ms() - entry.told_ms
            fading = max(0.0, 1.0 - age_ms / TOLD_FRESH_MS)
            others = max(others, entry.others * fading)
        return entry.own + others

    def tell(self, endpoint_id, load):
        """Take over the load in an endpoint's answer: running, waiting, slots."""
        entry = self.entry(endpoint_id)
        running, waiting, _ = load
        entry.others = max(0.0, running + waiting - entry.own)
        entry.told_ms = self.clock.now_ms()

    def note_result(self, endpoint_id, failed):
        """Count an answer of an endpoint as failed or not."""
        entry = self.entry(endpoint_id)
        rate = self.failure_rate(endpoint_id)
        entry.failure_rate = rate * FAILURE_MEMORY + (1.0 - FAILURE_MEMORY) * failed
        entry.failed_ms = self.clock.now_ms()

    def failure_rate(self, endpoint_id):
        """Return the recent failure rate, faded while no request was sent."""
        entry = self.entries.get(endpoint_id)
        if entry is None or not entry.failure_rate:
            return 0.0
        age_ms = self.clock.now_ms() - entry.failed_ms
        return entry.failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def forget(self, known_ids):
        """Drop endpoints that no longer exist and have nothing in flight."""
        for endpoint_id in [i for i in self.entries if i not in known_ids]:
            if not self.entries[endpoint_id].own:
                del self.entries[endpoint_id]
