"""Decides which daemons read the store; performs no I/O.

Addresses the load of many daemons on one store: only the hubs of each zone read it, and the
others get its contents from them.
"""

import random

SETTLED_MS = 700.0  # all daemons that start together have registered by then
HUB_FOLLOW_AFTER_MS = 500.0  # several exchanges with the hubs that are missing
FOLLOW_AFTER_MS = 1_400.0  # the oldest contents of hubs that still read the store
FOLLOW_SPREAD = 1.2  # so that the daemons of a zone don't all begin at once


class StoreReaders:
    """Decides whether one daemon reads the store.

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

    def wire(self):
        """Have the watcher ask this object whether to read the store."""
        self.watcher.daemon_count = self.peers.hub_count
        self.watcher.should_follow = self.should_follow
        self.watcher.needs_peers = self.needs_peers
        self.watcher.may_retry_soon = self.peers.is_hub
        self.watcher.use_min_interval = lambda: self.lease.tenure is not None

    def should_follow(self):
        """Return whether this daemon reads the store itself: as keeper, hub, or left alone."""
        if self.lease.tenure is not None:
            return True
        if self.exchange.lists_peers() and not self.peers.peers:
            return False  # the listed daemons are about to be known
        if self.peers.is_first_hub():
            # While all daemons start at once, each finds itself the first of its zone.
            settled = self.clock.now_ms() - self.started_ms >= SETTLED_MS
            return settled or (bool(self.watcher.own_items) and not self.settings.first_start)
        limit_ms = HUB_FOLLOW_AFTER_MS if self.peers.is_hub() else self.follow_after_ms
        return self.feed_reader.stale_for_ms() > limit_ms

    def needs_peers(self):
        """Return whether the store is asked for the daemons, as no follower tells of them."""
        return self.feed_reader.follower is None or not self.watcher.directory.synced
