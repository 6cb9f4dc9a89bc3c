"""Decides which daemons read the store, and how often; performs no I/O.

Addresses the load of many daemons on one store: only the hubs of each zone read it, and the
others get its contents from them. Where the settings name bounds within which changes must be
in force, and more than a few daemons share the store, one hub of each zone reads as often as the
bounds need, and the others stand by.
"""

import random

from ._feed import MAX_FEED_AGE_MS
from ._peer_exchange import RECORD_LEASE_MS, RECORD_RENEWAL_MS
from ._store_watcher import FOUND_INTERVAL_MS, MAX_POLL_INTERVAL_MS

SETTLED_MS = 700.0  # all daemons that start together have registered by then
HUB_FOLLOW_AFTER_MS = 500.0  # several exchanges with the hubs that are missing
FOLLOW_AFTER_MS = 1_400.0  # the oldest contents of hubs that still read the store
FOLLOW_SPREAD = 1.2  # so that the daemons of a zone don't all begin at once

SMALL_FLEET = 8  # daemons whose calls cost too little for a later takeover to be worth it
USABLE_FRACTION = 2.0 / 3.0  # of a bound; the rest is for lost calls and slow machines
# From the answer of the store to the other daemons of the zone: two exchanges, as the first may
# just have been answered, or the configuration is fetched after it.
FEED_MS = 400.0
CALL_MS = 100.0  # a watch that takes 25 times the store's usual 4 ms
HUB_RANK_MS = 200.0  # an exchange, in which a hub hears that the one before it has begun to read
STAND_DOWN_MS = 400.0  # two exchanges with the daemon that reads in place of this one
STEADY_MS = 4_000.0  # several reads; one that reads each few seconds is never steady
LONG_LEASE_MS = 30_000.0  # of records by which daemons are only found; they keep touch by digests
LONG_RENEWAL_MS = 9_500.0  # three attempts within a long lease
SPREAD = 0.1  # of renewals, so that those of daemons that started together move apart
LISTING_MS = 20.0  # the first listing has told how many daemons there are
START_SPREAD_MS = 300.0  # of registrations when all start; shorter than `SETTLED_MS`
RESTORE_SPREAD_MS = 1_000.0  # of registrations after a restore: 106 daemons make 212 calls
MANY_FOUND_INTERVAL_MS = 800.0  # until the hubs have settled, of which one tells the rest


class StoreReaders:
    """Decides whether and how often one daemon reads the store.

    Parameters
    ----------
    peers : PeerTable
    watcher : StoreWatcher
    feed_reader : FeedReader
    lease : KeeperLease
    exchange : PeerExchange
    clock : Clock
    settings : NodeSettings
    """

    def __init__(self, peers, watcher, feed_reader, lease, exchange, clock, settings):
        self.peers = peers
        self.watcher = watcher
        self.feed_reader = feed_reader
        self.lease = lease
        self.exchange = exchange
        self.clock = clock
        self.settings = settings
        self.started_ms = clock.now_ms()
        self.follow_after_ms = FOLLOW_AFTER_MS * random.uniform(1.0, FOLLOW_SPREAD)
        named = [bound for bound in (settings.drain_ms, settings.config_ms) if bound > 0.0]
        self.bound_ms = min(named) if named else 0.0

    def wire(self):
        """Have the watcher, the exchange and the feed reader ask this object."""
        self.watcher.daemon_count = self.peers.hub_count
        self.watcher.should_follow = self.should_follow
        self.watcher.needs_peers = self.needs_peers
        self.watcher.may_retry_soon = self.peers.is_hub
        self.watcher.use_min_interval = self.acts_as_keeper
        self.watcher.min_interval_ms = self.min_interval_ms
        self.watcher.found_interval_ms = self.found_interval_ms
        self.feed_reader.stand_down_age_ms = self.stand_down_age_ms
        self.feed_reader.steady_ms = lambda: STEADY_MS if self.is_economical() else 0.0
        self.exchange.record_lease_ms = self.record_lease_ms
        self.exchange.renewal_interval_ms = self.renewal_interval_ms
        self.exchange.listing_wait_ms = lambda: LISTING_MS if self.bound_ms else 0.0
        self.exchange.start_delay_ms = lambda: self._spread_ms(START_SPREAD_MS)
        self.exchange.restore_delay_ms = lambda: self._spread_ms(RESTORE_SPREAD_MS)

    def is_economical(self):
        """Return whether the store is read and written no more often than the bounds need."""
        if not self.bound_ms:
            return False
        if self.peers.fleet_size() > SMALL_FLEET:
            return True
        return self.exchange.listed_count() > SMALL_FLEET

    def longest_pause_ms(self):
        """Return the pause between two calls with which the bounds still hold."""
        longest_ms = USABLE_FRACTION * self.bound_ms - FEED_MS
        return min(max(0.0, longest_ms), MAX_POLL_INTERVAL_MS)

    def min_interval_ms(self):
        """Return the shortest interval at which to read, unless as keeper.

        While no keeper is known, its record may be gone, and the next one is to be elected soon.
        """
        if not self.is_economical():
            return 0.0
        if not (self.peers.knows_keeper() or self.lease.renewed_in_time()):
            return 0.0
        # A store that answers slowly is asked sooner, so that the contents get no older.
        return self.longest_pause_ms() - max(0.0, self.watcher.call_ms - CALL_MS)

    def acts_as_keeper(self):
        """Return whether this daemon is the keeper and may have to repair replicas."""
        if self.lease.tenure is None:
            return False
        config = self.watcher.active_config.config
        if not self.is_economical() or config is None:
            return True
        return any(service.engine is not None for service in config.services.values())

    def should_follow(self):
        """Return whether this daemon reads the store itself: as keeper, hub, or left alone."""
        if self.lease.tenure is not None:
            return True
        if self.exchange.lists_peers() and not self.peers.peers:
            return False  # the listed daemons are about to be known
        economical = self.is_economical()
        if self.peers.is_first_by_name() if economical else self.peers.is_first_hub():
            # While all daemons start at once, each finds itself the first of its zone.
            settled = self.clock.now_ms() - self.started_ms >= SETTLED_MS
            return settled or (bool(self.watcher.own_items) and not self.settings.first_start)
        if economical:
            return self._should_substitute()
        limit_ms = HUB_FOLLOW_AFTER_MS if self.peers.is_hub() else self.follow_after_ms
        return self.feed_reader.stale_for_ms() > limit_ms

    def _should_substitute(self):
        """Return whether to read in place of the hub that should, and seems not to.

        The hubs begin one after the other, and the other daemons of the zone after them, so that
        each hears from the one before it in time.
        """
        stale_ms = self.feed_reader.stale_for_ms()
        if self.watcher.following:
            return stale_ms > STAND_DOWN_MS
        limit_ms = self.longest_pause_ms() + FEED_MS
        has_failed = self.feed_reader.follower_has_failed()
        answered_ms = self.clock.now_ms() - self.feed_reader.received_ms
        if stale_ms <= limit_ms and answered_ms <= STAND_DOWN_MS and not has_failed:
            return False  # the usual case, found out twenty times a second
        if self.peers.is_first_reachable():
            return True
        if self.peers.is_first_hub():
            return stale_ms > limit_ms or has_failed
        if self.peers.is_hub():
            return stale_ms > limit_ms + HUB_RANK_MS
        return stale_ms > limit_ms + self.follow_after_ms - FOLLOW_AFTER_MS + 2 * HUB_RANK_MS

    def stand_down_age_ms(self):
        """Return how recently a daemon before this one must have read for this one to cease."""
        if not self.is_economical():
            return MAX_FEED_AGE_MS
        return self.longest_pause_ms() + CALL_MS

    def needs_peers(self):
        """Return whether the store is asked for the daemons, as no follower tells of them."""
        if self.is_economical() and self.watcher.directory.synced:
            return False  # the hubs are known, and one of them tells of the others soon
        return self.feed_reader.follower is None or not self.watcher.directory.synced

    def found_interval_ms(self):
        """Return the interval between two listings of the daemons after some were found."""
        if not self.is_economical():
            return FOUND_INTERVAL_MS
        return MANY_FOUND_INTERVAL_MS * random.uniform(1.0 - SPREAD, 1.0 + SPREAD)

    def record_lease_ms(self):
        """Return the lifetime of a new lease of this daemon's record."""
        return LONG_LEASE_MS if self.is_economical() else RECORD_LEASE_MS

    def renewal_interval_ms(self):
        """Return the time until the lease of this daemon's record is renewed."""
        if not self.is_economical() or self.exchange.lease_ms < LONG_LEASE_MS:
            return RECORD_RENEWAL_MS
        return LONG_RENEWAL_MS * random.uniform(1.0 - SPREAD, 1.0)

    def _spread_ms(self, longest_ms):
        """Return a delay that keeps the daemons of a large fleet from calling all at once."""
        return random.uniform(0.0, longest_ms) if self.is_economical() else 0.0
