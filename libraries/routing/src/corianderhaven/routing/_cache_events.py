"""Polling of the prefix-cache events of replicas."""

import http.client

import msgspec

from corianderhaven.common import JsonClient, PeriodicThread, TransportError

POLL_PERIOD_MS = 1_000.0
REQUEST_TIMEOUT_MS = 300.0
RECENT_USE_MS = 10_000.0


class CacheEvent(msgspec.Struct):
    """A change of an engine's prefix cache; events may arrive late or be lost."""

    sequence: int
    kind: str
    block: str


class CacheEvents(msgspec.Struct):
    """Response of ``GET /cache-events``."""

    events: list[CacheEvent]


class CacheEventFollower:
    """Updates the prefix index with the cache events of replicas.

    Polls only replicas to which this daemon has sent requests in the last seconds, so that
    the cost depends on the daemon's own traffic and not on the size of the zone.

    Parameters
    ----------
    clock : Clock
    view : ReplicaView
    load_tracker : LoadTracker
    index : PrefixIndex
    """

    def __init__(self, clock, view, load_tracker, index):
        self.clock = clock
        self.view = view
        self.load_tracker = load_tracker
        self.index = index
        self.last_sequences = {}
        self.periodic = None

    def start(self):
        """Start polling."""
        self.periodic = PeriodicThread("cache-events", self.update, POLL_PERIOD_MS).start()
        return self

    def close(self):
        """Stop polling."""
        self.periodic.close()

    def update(self):
        """Poll each recently used replica once."""
        replicas = self.view.whole_replicas()
        keys = {replica.key for replica in replicas}
        self.load_tracker.drop_idle()
        self.last_sequences = {key: n for key, n in self.last_sequences.items() if key in keys}
        since_ms = self.clock.now_ms() - RECENT_USE_MS
        for replica in replicas:
            if self.load_tracker.started_since(replica.key, since_ms):
                self._poll_replica(replica)

    def _poll_replica(self, replica):
        client = JsonClient(replica.address, REQUEST_TIMEOUT_MS)
        since = self.last_sequences.get(replica.key, 0)
        try:
            exchange = client.call("GET", f"/cache-events?since={since}")
            if exchange.status != http.client.OK:
                return
            events = msgspec.json.decode(exchange.body, type=CacheEvents).events
        except (TransportError, msgspec.DecodeError):
            return
        finally:
            client.close()
        for event in events:
            self._apply(replica.key, event)

    def _apply(self, key, event):
        """Apply one event; lost events only make the index less accurate."""
        self.last_sequences[key] = max(event.sequence, self.last_sequences.get(key, 0))
        if event.kind == "stored":
            self.index.add(key, [event.block])
        elif event.kind == "evicted":
            self.index.discard(key, event.block)
