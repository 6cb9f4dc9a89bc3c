"""Places kept for refused callers who return at the time they were told; performs no I/O.

Answers overload in which refused callers return, and find the capacity that they were told of taken
by requests that came in between, or by callers that retry at once.
"""

from collections import deque

from sortedcontainers import SortedList

MIN_RETRY_AFTER_MS = 300.0
MAX_RETRY_AFTER_MS = 10_000.0  # later promises can't be foreseen
PROMISED_RATIO = 0.5  # of the throughput; the rest is left to requests that come for the first time
EARLY_MS = 6.0  # the time told is rounded to 10 ms; earlier ones are rather other callers
KEPT_MS = 1_000.0  # a round trip of a caller, and the timer of a busy one
GOLDEN_RATIO = 0.618  # its multiples, modulo 1, are spread evenly however many there are
MIN_FORGOTTEN = 64  # accounts without places are dropped in batches of this size


class PromisedPlaces:
    """Places by account and request class.

    All accounts together are promised no more than `PROMISED_RATIO` of the throughput, and each
    no more than that of its share. Beyond the horizon callers are told a time without a place.
    """

    def __init__(self):
        self.places = {}
        self.due = SortedList()
        self.last_ms = -1e12
        self.last_by_account = {}
        self.unplaced = 0.0

    def __len__(self):
        return len(self.due)

    def promise(self, queued, now, waiting, throughput_per_ms, share_per_ms):
        """Return the time in ms after which a refused caller should return.

        Parameters
        ----------
        waiting : int
            Number of waiting requests, which are served before.
        share_per_ms : float
            Rate up to which the account is served.
        """
        self._expire(now)
        earliest_ms = now + max(MIN_RETRY_AFTER_MS, (waiting + 1) / throughput_per_ms)
        earliest_ms = min(earliest_ms, now + MAX_RETRY_AFTER_MS)
        interval_ms = 1.0 / (PROMISED_RATIO * throughput_per_ms)
        own_interval_ms = 1.0 / (PROMISED_RATIO * max(share_per_ms, 1e-9))
        own_last_ms = self.last_by_account.get(queued.account, -1e12)
        shared_ms = max(earliest_ms, self.last_ms + interval_ms)
        at_ms = max(shared_ms, own_last_ms + own_interval_ms)
        latest_ms = now + MAX_RETRY_AFTER_MS
        if at_ms > latest_ms:
            # Spread, so that those without a place don't come back together.
            self.unplaced = (self.unplaced + GOLDEN_RATIO) % 1.0
            return earliest_ms + self.unplaced * (latest_ms - earliest_ms) - now
        # Not `at_ms`: an account's own pace must not push back the places of others.
        self.last_ms = shared_ms
        self.last_by_account[queued.account] = at_ms
        name = _name(queued)
        self.places.setdefault(name, deque()).append(at_ms)
        self.due.add((at_ms, name))
        return at_ms - now

    def take(self, queued, now):
        """Return whether a place is kept for a request now, and use it up."""
        self._expire(now)
        name = _name(queued)
        places = self.places.get(name)
        if not places or places[0] > now + EARLY_MS:
            return False
        self._drop(places[0], name)
        return True

    def _expire(self, now):
        while self.due and self.due[0][0] < now - KEPT_MS:
            self._drop(*self.due[0])
        if len(self.last_by_account) > 2 * len(self.places) + MIN_FORGOTTEN:
            since = now - MAX_RETRY_AFTER_MS
            recent = {a: at_ms for a, at_ms in self.last_by_account.items() if at_ms > since}
            self.last_by_account = recent

    def _drop(self, at_ms, name):
        places = self.places[name]
        places.popleft()
        self.due.remove((at_ms, name))
        if not places:
            del self.places[name]


def _name(queued):
    return (queued.account, queued.request_class)
