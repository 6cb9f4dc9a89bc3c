"""In-memory stand-in of the hosting platform's metadata store."""

import asyncio
from base64 import b64decode, b64encode
from collections import deque
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S


@dataclass
class StoredItem:
    """One item of the store."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclass
class StoreFaults:
    """Faults of the store.

    Parameters
    ----------
    away : bool
        Whether all calls are refused with 503.
    away_for : set of str
        Source IP addresses whose calls are refused with 503.
    lose_answers : bool
        Whether writes are applied but not answered.
    answer_ms : float
        Delay before each answer.
    """

    away: bool = False
    away_for: set = field(default_factory=set)
    lose_answers: bool = False
    answer_ms: float = 0.0


class HostedStore:
    """Key-value store with leases and a change history.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self.clock = clock
        self.items = {}
        self.revision = 1
        self.history = deque()
        self.compacted_revision = 0
        self.leases = {}
        self.next_lease = 70_000
        self.changed = asyncio.Event()
        self.faults = StoreFaults()
        self.era = 1

    def copy(self):
        """Return a copy of the contents, for `restore`."""
        return (
            dict(self.items),
            self.revision,
            deque(self.history),
            dict(self.leases),
            self.next_lease,
        )

    def restore(self, copy):
        """Replace the contents by an earlier copy, as after a loss of the store."""
        items, self.revision, history, leases, self.next_lease = copy
        self.items, self.history, self.leases = dict(items), deque(history), dict(leases)
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.era += 1
        self.changed.set()

    def put(self, key, value, lease=0):
        """Write an item and return its revision."""
        self.revision += 1
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = StoredItem(value, self.revision, created, lease)
        self._record_event(key)
        return self.revision

    def delete(self, key):
        """Delete an item if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event(key, deleted=True)

    def compact(self):
        """Discard the change history."""
        self.history.clear()
        self.compacted_revision = self.revision

    def expire_leases(self):
        """End expired leases and delete their keys."""
        now = self.clock.now_ms()
        for lease in [i for i, (_, until) in self.leases.items() if now >= until]:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and delete its keys; return whether the lease existed."""
        known = self.leases.pop(lease, None) is not None
        for key in [k for k, item in self.items.items() if lease and item.lease == lease]:
            self.delete(key)
        return known

    def grant_lease(self, ttl_ms):
        """Create a lease and return its ID."""
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_ms, self.clock.now_ms() + ttl_ms)
        return self.next_lease

    def renew_lease(self, lease):
        """Renew a lease; return whether it exists."""
        self.expire_leases()
        if lease not in self.leases:
            return False
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, self.clock.now_ms() + ttl_ms)
        return True

    def transact(self, expected, writes, remove):
        """Write and remove items if all `expected` revisions match.

        Returns (200, revision), (412, None) on a mismatch or (404, None) for an unknown lease.
        """
        self.expire_leases()
        for check in expected:
            item = self.items.get(check["key"])
            if (item.revision if item else 0) != check["revision"]:
                return 412, None
        if any(write.get("lease_id") and write["lease_id"] not in self.leases for write in writes):
            return 404, None
        for write in writes:
            self.put(write["key"], b64decode(write["value"]), write.get("lease_id", 0))
        for key in remove:
            self.delete(key)
        return 200, self.revision

    def events_since(self, prefix, after):
        """Return the changes under `prefix` since `after`, or None if they are not known."""
        if after < self.compacted_revision or after > self.revision:
            return None
        return [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]

    async def wait_for_events(self, prefix, after, wait_ms):
        """Wait up to `wait_ms` for changes and return them, or None if they were discarded."""
        deadline_ms = self.clock.now_ms() + wait_ms
        while True:
            self.expire_leases()
            events = self.events_since(prefix, after)
            left_ms = deadline_ms - self.clock.now_ms()
            if events is None or events or left_ms <= 0:
                return events
            self.changed.clear()
            try:
                async with asyncio.timeout(min(left_ms, 50.0) / MS_PER_S):
                    await self.changed.wait()
            except TimeoutError:
                pass  # leases also expire while no call is made

    def encode_item(self, key):
        """Return an item in wire format."""
        item = self.items[key]
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease_id": item.lease,
        }

    def _record_event(self, key, deleted=False):
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.history.append(event if deleted else self.encode_item(key))
        self.changed.set()
