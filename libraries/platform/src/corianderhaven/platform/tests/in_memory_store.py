"""In-memory key-value store for tests, with simulated outages and lost responses."""

from corianderhaven.platform import BaseKeyValueStore, Item, KeyValueError, SwapResult
from corianderhaven.standins import KvStore


class InMemoryStore(BaseKeyValueStore):
    """Store that calls a `KvStore` directly instead of over HTTP.

    Attributes
    ----------
    down : bool
        Whether calls fail before they take effect.
    lose_answers : int
        Number of following writes that take effect but whose response is lost.
    """

    def __init__(self, clock, kv=None):
        self.kv = kv or KvStore(clock)
        self.down = False
        self.lose_answers = 0

    def _begin_call(self):
        if self.down:
            raise KeyValueError("down", ambiguous=False)
        self.kv.expire()

    def _finish_write(self):
        if self.lose_answers:
            self.lose_answers -= 1
            raise KeyValueError("answer lost", ambiguous=True)

    def get(self, key):
        self._begin_call()
        found = self.kv.range(key.encode())
        return _make_item(found[0]) if found else None

    def list(self, prefix, limit=0):
        self._begin_call()
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return [_make_item(kv) for kv in self.kv.range(prefix.encode(), end.encode(), limit)]

    def compare_and_swap(self, key, expected_revision, value, lease=0):
        self._begin_call()
        current = self.get(key)
        if (current.mod_revision if current else 0) == expected_revision:
            self.kv.put(key.encode(), value, lease)
            current = self.get(key)
            self._finish_write()
            return SwapResult(True, current)
        return SwapResult(current is not None and current.value == value, current)

    def delete(self, key, expected_revision):
        self._begin_call()
        current = self.get(key)
        matches = current is not None and current.mod_revision == expected_revision
        if matches:
            self.kv.delete(key.encode())
            self._finish_write()
        return matches

    def grant_lease(self, ttl_s):
        self._begin_call()
        return self.kv.grant(ttl_s)

    def renew_lease(self, lease):
        self._begin_call()
        return self.kv.keep_alive(lease) > 0

    def revoke_lease(self, lease):
        self._begin_call()
        self.kv.revoke(lease)

    def watch(self, key, idle_timeout_ms):
        self._begin_call()
        return iter(())

    def close(self):
        return None


def _make_item(kv):
    return Item(kv.key.decode(), kv.value, kv.create_revision, kv.mod_revision, kv.lease)
