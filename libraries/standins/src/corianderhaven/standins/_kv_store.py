"""In-memory key-value store with the revisions, leases and watches of etcd v3."""

import threading
from dataclasses import dataclass

COMPARED_FIELDS = {"CREATE": "create_revision", "MOD": "mod_revision", "VERSION": "version"}


@dataclass
class KeyValue:
    """One key with its value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass
class Event:
    """One change delivered to watches; `kind` is PUT or DELETE."""

    kind: str
    item: KeyValue


@dataclass
class Lease:
    """A lease and the keys attached to it."""

    id: int
    ttl_s: float
    expires_ms: float
    keys: set


class KvStore:
    """Key-value store with transactions, leases and a watch history.

    Parameters
    ----------
    clock : Clock
        Clock that leases expire by.
    """

    def __init__(self, clock):
        self.clock = clock
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 1
        self.next_lease = 1000
        self.changed = threading.Condition(threading.RLock())

    def range(self, key, range_end=b"", limit=0):
        """Return the items in ``[key, range_end)``, or only `key` if `range_end` is empty."""
        with self.changed:
            if not range_end:
                return [self.items[key]] if key in self.items else []
            keys = sorted(
                k for k in self.items if k >= key and (range_end == b"\0" or k < range_end)
            )
            return [self.items[k] for k in (keys[:limit] if limit else keys)]

    def put(self, key, value, lease=0, revision=None):
        """Write one key; raise KeyError if the lease does not exist."""
        with self.changed:
            if lease and lease not in self.leases:
                raise KeyError("requested lease not found")
            revision = self._next_revision(revision)
            old = self.items.get(key)
            created = old.create_revision if old else revision
            version = old.version + 1 if old else 1
            item = KeyValue(key, value, created, revision, version, lease)
            self._detach_from_lease(old)
            self.items[key] = item
            if lease:
                self.leases[lease].keys.add(key)
            self._publish(Event("PUT", item))
            return item

    def delete(self, key, range_end=b"", revision=None):
        """Delete a key or range and return the number of deleted keys."""
        with self.changed:
            deleted = self.range(key, range_end)
            if deleted:
                revision = self._next_revision(revision)
            for item in deleted:
                del self.items[item.key]
                self._detach_from_lease(item)
                self._publish(Event("DELETE", KeyValue(item.key, b"", 0, revision, 0)))
            return len(deleted)

    def compare(self, comparison):
        """Return whether one comparison of a transaction is true."""
        item = self.items.get(comparison["key"])
        if comparison["target"] == "VALUE":
            actual, expected = (item.value if item else None), comparison["value"]
        else:
            name = COMPARED_FIELDS[comparison["target"]]
            actual, expected = (getattr(item, name) if item else 0), comparison[name]
        result = comparison["result"]
        if result == "EQUAL":
            return actual == expected
        if result == "NOT_EQUAL":
            return actual != expected
        return actual > expected if result == "GREATER" else actual < expected

    def grant(self, ttl_s, lease_id=0):
        """Create a lease and return its ID."""
        with self.changed:
            self.next_lease += 1
            lease_id = lease_id or self.next_lease
            expires = self.clock.now_ms() + ttl_s * 1000
            self.leases[lease_id] = Lease(lease_id, ttl_s, expires, set())
            return lease_id

    def keep_alive(self, lease_id):
        """Renew a lease and return its time to live in s, or 0 if it does not exist."""
        with self.changed:
            self.expire()
            lease = self.leases.get(lease_id)
            if lease is None:
                return 0
            lease.expires_ms = self.clock.now_ms() + lease.ttl_s * 1000
            return lease.ttl_s

    def revoke(self, lease_id):
        """Delete a lease and its keys."""
        with self.changed:
            lease = self.leases.pop(lease_id, None)
            for key in sorted(lease.keys) if lease else ():
                self.delete(key)

    def expire(self):
        """Revoke expired leases."""
        with self.changed:
            now = self.clock.now_ms()
            for lease in [item for item in self.leases.values() if item.expires_ms < now]:
                self.revoke(lease.id)

    def events_since(self, revision, key, range_end):
        """Return the events of a watched range from `revision` on."""
        with self.changed:
            return [
                event
                for event in self.history
                if event.item.mod_revision >= revision and _in_range(event.item.key, key, range_end)
            ]

    def _next_revision(self, revision):
        if revision is None:
            self.revision += 1
            return self.revision
        self.revision = max(self.revision, revision)
        return revision

    def _detach_from_lease(self, item):
        if item is not None and item.lease in self.leases:
            self.leases[item.lease].keys.discard(item.key)

    def _publish(self, event):
        self.history.append(event)
        del self.history[:-10_000]
        self.changed.notify_all()


def _in_range(candidate, key, range_end):
    if not range_end:
        return candidate == key
    return candidate >= key and (range_end == b"\0" or candidate < range_end)
