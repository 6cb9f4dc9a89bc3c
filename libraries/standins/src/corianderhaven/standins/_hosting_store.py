"""The metadata store of a hosting platform, in memory."""

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
    """What the store does wrong.

    Parameters
    ----------
    away : bool
        Whether all calls are refused with 503.
    away_for : set of str
        Callers' IP numbers that are refused.
    lose_answers : bool
        Whether writes are done and not answered.
    answer_ms : float
        Time to an answer.
    """

    away: bool = False
    away_for: set = field(default_factory=set)
    lose_answers: bool = False
    answer_ms: float = 0.0


class HostedStore:
    """Items, leases and history.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self.clock = clock
        self.items = {}
        self.revision = 1
        self.history = deque()
        self.compacted = 0
        self.leases = {}
        self.next_lease = 70_000
        self.changed = asyncio.Event()
        self.faults = StoreFaults()

    def put(self, key, value, lease=0):
        """Write an item."""
        self.revision += 1
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = StoredItem(value, self.revision, created, lease)
        self._note(key)
        return self.revision

    def delete(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(key, deleted=True)

    def compact(self):
        """Forget the history."""
        self.history.clear()
        self.compacted = self.revision

    def expire_leases(self):
        """Remove the keys of leases that have ended."""
        now = self.clock.now_ms()
        for lease in [i for i, (_, until) in self.leases.items() if now >= until]:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease; returns whether there was one."""
        known = self.leases.pop(lease, None) is not None
        for key in [k for k, item in self.items.items() if lease and item.lease == lease]:
            self.delete(key)
        return known

    def grant_lease(self, ttl_ms):
        """Return a new lease."""
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_ms, self.clock.now_ms() + ttl_ms)
        return self.next_lease

    def renew_lease(self, lease):
        """Renew a lease; returns whether it is held."""
        self.expire_leases()
        if lease not in self.leases:
            return False
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, self.clock.now_ms() + ttl_ms)
        return True

    def transact(self, expected, writes, remove):
        """Return (200, revision), (412, None) or (404, None)."""
        self.expire_leases()
        for row in expected:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, None
        if any(row.get("lease_id") and row["lease_id"] not in self.leases for row in writes):
            return 404, None
        for row in writes:
            self.put(row["key"], b64decode(row["value"]), row.get("lease_id", 0))
        for key in remove:
            self.delete(key)
        return 200, self.revision

    def events_since(self, prefix, after):
        """Return the changes below `prefix` since `after`, or None when they are forgotten."""
        if after < self.compacted:
            return None
        return [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]

    async def wait(self, prefix, after, wait_ms):
        """Return changes as soon as there are any; None when they are forgotten."""
        until = self.clock.now_ms() + wait_ms
        while True:
            self.expire_leases()
            events = self.events_since(prefix, after)
            left_ms = until - self.clock.now_ms()
            if events is None or events or left_ms <= 0:
                return events
            self.changed.clear()
            try:
                async with asyncio.timeout(min(left_ms, 50.0) / MS_PER_S):
                    await self.changed.wait()
            except TimeoutError:
                pass  # leases lapse by time alone

    def row(self, key):
        """Return an item as it goes over the wire."""
        item = self.items[key]
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease_id": item.lease,
        }

    def _note(self, key, deleted=False):
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.history.append(event if deleted else self.row(key))
        self.changed.set()
