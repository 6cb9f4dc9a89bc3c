"""Requests in flight: the own ones, and those that peers report."""

import statistics
import threading
from collections import Counter, defaultdict, deque

PEER_REPORT_BOUND_MS = 20_000.0
START_HISTORY = 256
FORGET_AFTER_MS = 120_000.0
GAP_SMOOTHING = 0.1
RECOVERY_PER_S = 0.05
MIN_GAP_MS = 0.1
STRAGGLER_RATIO = 1.5
LEAST_SAMPLES = 8


class ReplicaPace:
    """Smoothed time between tokens of one replica, as seen here."""

    def __init__(self):
        self.gap_ms = 0.0
        self.samples = 0
        self.updated_ms = 0.0


class LoadTracker:
    """Counts requests in flight per replica and account, and watches each replica's pace.

    Parameters
    ----------
    clock : Clock
    peers : PeerTable
        Peers report their own counts in digests.
    """

    def __init__(self, clock, peers):
        self.clock = clock
        self.peers = peers
        self.replicas = Counter()
        self.accounts = Counter()
        self.starts = defaultdict(lambda: deque(maxlen=START_HISTORY))
        self.paces = {}
        self.lock = threading.Lock()

    def begin(self, replica_key):
        """Count a request as in flight at a replica."""
        with self.lock:
            self.replicas[replica_key] += 1
            self.starts[replica_key].append(self.clock.now_ms())

    def end(self, replica_key):
        """Count it as ended."""
        with self.lock:
            self.replicas[replica_key] -= 1
            if self.replicas[replica_key] <= 0:
                del self.replicas[replica_key]

    def requests_by_replica(self):
        """Return the own requests in flight by replica, for a digest."""
        with self.lock:
            return dict(self.replicas)

    def requests_by_account(self):
        """Return the own requests by account, for a digest."""
        with self.lock:
            return {account: count for account, count in self.accounts.items() if count}

    def change_account(self, account, by):
        """Raise or lower the own count of an account."""
        with self.lock:
            self.accounts[account] += by

    def in_flight(self, replica_key):
        """Return own and peers' requests in flight at a replica."""
        peers = sum(r.in_flight.get(replica_key, 0) for r in self._recent_peers())
        return self.replicas.get(replica_key, 0) + peers

    def account_share(self, account, limit):
        """Return this daemon's part of an account's zone-wide limit, by demand."""
        own = self.accounts.get(account, 0) + 1
        others = sum(r.accounts.get(account, 0) for r in self._recent_peers())
        return max(1.0, limit * own / (own + others))

    def slot_share(self, weights):
        """Return this daemon's fair part of the zone's slots, from 0 to 1.

        Each account's weight is split between the daemons by its demand there, so that a
        daemon with the few requests of a small account isn't crowded out by its peers.

        Parameters
        ----------
        weights : dict of str to float
            By client account.
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
        """Return the requests likely at a replica: the lagged report, corrected.

        The report misses what was started since it was true; own starts since then are
        added, and the own and peers' counts are a lower bound.
        """
        reported = replica.load.running + replica.load.queued
        true_at = self.clock.now_ms() - replica.load_age_ms
        started = self.started_since(replica.key, true_at)
        return max(reported + started, self.in_flight(replica.key))

    def started_since(self, key, since_ms):
        """Return how many requests were begun at a replica or address since a time."""
        with self.lock:
            return sum(1 for at in self.starts.get(key, ()) if at > since_ms)

    def note_gap(self, replica_key, gap_ms):
        """Take in one measured time between tokens."""
        with self.lock:
            pace = self.paces.setdefault(replica_key, ReplicaPace())
            weight = GAP_SMOOTHING if pace.samples else 1.0
            pace.gap_ms += weight * (max(gap_ms, MIN_GAP_MS) - pace.gap_ms)
            pace.samples += 1
            pace.updated_ms = self.clock.now_ms()

    def slowness(self, replica, replicas):
        """Return how many times slower a replica is than the median of `replicas`, at least 1.

        A replica that gets no work shows no new gaps, so its slowness decays and it is
        tried again.
        """
        paces = [self._pace_ms(other) for other in replicas]
        typical = statistics.median(paces)
        own = self._pace_ms(replica)
        if typical <= 0 or own / typical < STRAGGLER_RATIO:
            return 1.0
        pace = self.paces.get(replica.key)
        idle_s = (self.clock.now_ms() - pace.updated_ms) / 1000 if pace else 0.0
        return max(1.0, own / typical * max(0.0, 1.0 - RECOVERY_PER_S * idle_s))

    def _pace_ms(self, replica):
        pace = self.paces.get(replica.key)
        if pace is not None and pace.samples >= LEAST_SAMPLES:
            return pace.gap_ms
        return max(replica.load.step_ms, MIN_GAP_MS)

    def forget_old(self):
        """Drop what is known of replicas and addresses that had no request for long."""
        limit = self.clock.now_ms() - FORGET_AFTER_MS
        with self.lock:
            for key in [k for k, pace in self.paces.items() if pace.updated_ms < limit]:
                del self.paces[key]
            for key in [k for k, starts in self.starts.items() if starts and starts[-1] < limit]:
                del self.starts[key]

    def _recent_peers(self):
        limit = self.clock.now_ms() - PEER_REPORT_BOUND_MS
        return [
            record for record in self.peers.live(self.peers.own.zone) if record.reported_ms >= limit
        ]
