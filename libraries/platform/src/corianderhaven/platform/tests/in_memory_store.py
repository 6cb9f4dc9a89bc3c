"""A key-value store in memory, with outages and lost answers, for tests without HTTP."""

from corianderhaven.platform import BaseKeyValueStore, Item, KeyValueError, SwapResult
from corianderhaven.standins import KvStore


class InMemoryStore(BaseKeyValueStore):
    """Calls a `KvStore` without a network.

    Attributes
    ----------
    down : bool
        Calls fail before they take effect.
    lose_answers : int
        Number of writes to come whose answer is lost after they took effect.
    """

    def __init__(self, clock, kv=None):
        self.kv = kv or KvStore(clock)
        self.down = False
        self.lose_answers = 0

    def _enter(self):
        if self.down:
            raise KeyValueError("down", ambiguous=False)
        self.kv.expire()

    def _leave_write(self):
        if self.lose_answers:
            self.lose_answers -= 1
            raise KeyValueError("answer lost", ambiguous=True)

    def get(self, key):
        self._enter()
        found = self.kv.range(key.encode())
        return _item(found[0]) if found else None

    def list(self, prefix, limit=0):
        self._enter()
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return [_item(kv) for kv in self.kv.range(prefix.encode(), end.encode(), limit)]

    def compare_and_swap(self, key, expected_revision, value, lease=0):
        self._enter()
        current = self.get(key)
        if (current.mod_revision if current else 0) == expected_revision:
            self.kv.put(key.encode(), value, lease)
            current = self.get(key)
            self._leave_write()
            return SwapResult(True, current)
        return SwapResult(current is not None and current.value == value, current)

    def delete(self, key, expected_revision):
        self._enter()
        current = self.get(key)
        held = current is not None and current.mod_revision == expected_revision
        if held:
            self.kv.delete(key.encode())
            self._leave_write()
        return held

    def grant_lease(self, ttl_s):
        self._enter()
        return self.kv.grant(ttl_s)

    def renew_lease(self, lease):
        self._enter()
        return self.kv.keep_alive(lease) > 0

    def revoke_lease(self, lease):
        self._enter()
        self.kv.revoke(lease)

    def watch(self, key, idle_timeout_ms):
        self._enter()
        return iter(())

    def close(self):
        return None


def _item(kv):
    return Item(kv.key.decode(), kv.value, kv.create_revision, kv.mod_revision, kv.lease)
