"""Tracking of request counts, both local and reported by peers, and of token gaps."""

import statistics
import threading
from collections import Counter, defaultdict, deque

MAX_PEER_REPORT_AGE_MS = 20_000.0
MAX_START_TIMES = 256
IDLE_ENTRY_TTL_MS = 120_000.0
GAP_SMOOTHING = 0.1
SLOWDOWN_DECAY_PER_S = 0.05
MIN_GAP_MS = 0.1
STRAGGLER_RATIO = 1.5
MIN_GAP_SAMPLES = 8


class TokenGapEstimate:
    """Exponentially smoothed time between tokens of one replica, measured by this daemon."""

    def __init__(self):
        self.gap_ms = 0.0
        self.samples = 0
        self.updated_ms = 0.0


class LoadTracker:
    """Counts requests per replica and client account, and estimates token gaps.

    The count of an account includes requests that wait for admission.

    Parameters
    ----------
    clock : Clock
    peers : PeerTable
        Provides the counts that peers report in their digests.
    """

    def __init__(self, clock, peers):
        self.clock = clock
        self.peers = peers
        self.replica_counts = Counter()
        self.account_counts = Counter()
        self.start_times = defaultdict(lambda: deque(maxlen=MAX_START_TIMES))
        self.gap_estimates = {}
        self.lock = threading.Lock()

    def begin(self, replica_key):
        """Register the start of a request at a replica."""
        with self.lock:
            self.replica_counts[replica_key] += 1
            self.start_times[replica_key].append(self.clock.now_ms())

    def end(self, replica_key):
        """Register the end of a request at a replica."""
        with self.lock:
            self.replica_counts[replica_key] -= 1
            if self.replica_counts[replica_key] <= 0:
                del self.replica_counts[replica_key]

    def requests_by_replica(self):
        """Return this daemon's requests in flight by replica, for its digest."""
        with self.lock:
            return dict(self.replica_counts)

    def requests_by_account(self):
        """Return this daemon's requests by client account, for its digest."""
        with self.lock:
            return {account: count for account, count in self.account_counts.items() if count}

    def add_account_requests(self, account, delta):
        """Add `delta`, which may be negative, to this daemon's count of an account."""
        with self.lock:
            self.account_counts[account] += delta

    def in_flight(self, replica_key):
        """Return the requests in flight at a replica, of this daemon and its peers."""
        peers = sum(r.in_flight.get(replica_key, 0) for r in self._recent_peers())
        return self.replica_counts.get(replica_key, 0) + peers

    def account_share(self, account, limit):
        """Return this daemon's share of an account's zone-wide limit, in proportion to demand."""
        own = self.account_counts.get(account, 0) + 1
        others = sum(r.accounts.get(account, 0) for r in self._recent_peers())
        return max(1.0, limit * own / (own + others))

    def slot_share(self, weights):
        """Return this daemon's fair share of the zone's slots, from 0 to 1.

        The weight of each account is divided between daemons in proportion to the account's
        demand at each, so that a daemon with few requests of a small account isn't starved
        by its peers.

        Parameters
        ----------
        weights : dict of str to float
            Weight of each client account.
        """
        own = self.requests_by_account()
        peers = Counter()
        for record in self._recent_peers():
            peers.update(record.accounts)
        total = sum(weights.get(account, 1.0) for account in {*own, *peers})
        if not own or not total:
            return 1.0
        part = sum(
            weights.get(account, 1.0) * count / (count + peers[account])
            for account, count in own.items()
        )
        return part / total

    def estimate_requests(self, replica):
        """Return the estimated number of requests at a replica.

        The replica's load report lags, so requests that this daemon has started since the
        load was measured are added. The requests in flight known to this daemon and its peers
        are a lower bound.
        """
        reported = replica.load.running + replica.load.queued
        measured_ms = self.clock.now_ms() - replica.load_age_ms
        started = self.started_since(replica.key, measured_ms)
        return max(reported + started, self.in_flight(replica.key))

    def started_since(self, key, since_ms):
        """Return the number of requests started at a replica or address since a time."""
        with self.lock:
            return sum(1 for at in self.start_times.get(key, ()) if at > since_ms)

    def record_token_gap(self, replica_key, gap_ms):
        """Add a measured time between tokens to the estimate of a replica."""
        with self.lock:
            estimate = self.gap_estimates.setdefault(replica_key, TokenGapEstimate())
            weight = GAP_SMOOTHING if estimate.samples else 1.0
            estimate.gap_ms += weight * (max(gap_ms, MIN_GAP_MS) - estimate.gap_ms)
            estimate.samples += 1
            estimate.updated_ms = self.clock.now_ms()

    def slowdown(self, replica, replicas):
        """Return the ratio of a replica's token gap to the median of `replicas`, at least 1.

        Ratios below `STRAGGLER_RATIO` count as 1. An avoided replica yields no new
        measurements, so its slowdown decays while it is idle and it is eventually tried again.
        """
        gaps = [self._token_gap_ms(other) for other in replicas]
        median = statistics.median(gaps)
        own = self._token_gap_ms(replica)
        if median <= 0 or own / median < STRAGGLER_RATIO:
            return 1.0
        estimate = self.gap_estimates.get(replica.key)
        idle_s = (self.clock.now_ms() - estimate.updated_ms) / 1000 if estimate else 0.0
        return max(1.0, own / median * max(0.0, 1.0 - SLOWDOWN_DECAY_PER_S * idle_s))

    def _token_gap_ms(self, replica):
        estimate = self.gap_estimates.get(replica.key)
        if estimate is not None and estimate.samples >= MIN_GAP_SAMPLES:
            return estimate.gap_ms
        return max(replica.load.step_ms, MIN_GAP_MS)

    def drop_idle(self):
        """Drop entries of replicas and addresses without a request for `IDLE_ENTRY_TTL_MS`."""
        limit = self.clock.now_ms() - IDLE_ENTRY_TTL_MS
        with self.lock:
            for key in [
                k for k, estimate in self.gap_estimates.items() if estimate.updated_ms < limit
            ]:
                del self.gap_estimates[key]
            for key in [k for k, times in self.start_times.items() if times and times[-1] < limit]:
                del self.start_times[key]

    def _recent_peers(self):
        limit = self.clock.now_ms() - MAX_PEER_REPORT_AGE_MS
        return [
            record for record in self.peers.live(self.peers.own.zone) if record.reported_ms >= limit
        ]
