"""Order of client accounts inside a priority, and who is refused in overload; performs no I/O.

Answers loads in which one account sends a burst, retries refused requests at once or sends one key
only, while other accounts stay within their share; and the crest of a load that all accounts raise.
"""

from collections import Counter, deque
from dataclasses import dataclass

from sortedcontainers import SortedKeyList, SortedList

from ._queue_rates import MIN_SPARE_RATIO, OVERLOAD_RATIO, RATE_WINDOW_MS

LEVEL_CACHE_MS = 50.0  # the interval of checks; the share takes a walk over all accounts
GOAL_MARGIN = 0.1  # of the time to the goal; a slot freed just in time is late half of the time
MIN_FORGOTTEN = 64  # accounts without a lead are dropped in batches of this size


def _sort_key(item):
    return item[0]


class RankCounts:
    """Number of requests by their rank in the line of their account, with sums by prefix.

    A binary indexed tree: both changes and sums take logarithmic time.
    """

    def __init__(self):
        self.counts = []
        self.tree = [0]

    def add(self, rank, change):
        """Change the number of requests of a rank, which starts at 1."""
        while len(self.counts) < rank:
            self._grow()
        self.counts[rank - 1] += change
        while rank < len(self.tree):
            self.tree[rank] += change
            rank += rank & -rank

    def at(self, rank):
        """Return the number of requests of a rank."""
        return self.counts[rank - 1] if rank <= len(self.counts) else 0

    def up_to(self, rank):
        """Return the number of requests of a rank or a lower one."""
        rank = min(rank, len(self.counts))
        total = 0
        while rank:
            total += self.tree[rank]
            rank -= rank & -rank
        return total

    def _grow(self):
        self.counts.append(0)
        rank = len(self.tree)
        first = rank - (rank & -rank)
        self.tree.append(self.up_to(rank - 1) - self.up_to(first))


class AccountLines:
    """Requests of one priority that can be on time, in a line for each account.

    Each request served moves its account on by one unit of virtual time; the account that is least
    far on is next (start-time fair queueing). An account that begins to wait starts at the current
    virtual time, so that it has no claim to shares that it left unused.
    """

    def __init__(self):
        self.lines = {}
        self.entries = {}
        self.order = SortedList()
        self.served = {}
        self.now = 0.0
        self.ranks = RankCounts()
        self.changes = 0

    def add(self, key, queued):
        """Add a request; `key` is (cutoff in ms, sequence number)."""
        account = queued.account
        line = self.lines.get(account)
        if line is None:
            line = self.lines[account] = SortedKeyList(key=_sort_key)
            self.served[account] = self.virtual_time(account)
        line.add((key, queued))
        self.ranks.add(len(line), 1)
        self._place(account)

    def remove(self, key, queued):
        """Remove a request."""
        account = queued.account
        line = self.lines[account]
        self.ranks.add(len(line), -1)
        line.remove((key, queued))
        self._place(account)

    def charge(self, account):
        """Count a request of an account as served."""
        started = self.virtual_time(account)
        # A request served out of turn (late, promised) must not move the others on.
        if not self.order or started <= self.order[0][0]:
            self.now = started
        self.served[account] = started + 1.0
        self._place(account)
        if len(self.served) > 2 * len(self.lines) + MIN_FORGOTTEN:
            self._forget()

    def virtual_time(self, account):
        """Return the virtual time at which the next request of an account starts."""
        return max(self.served.get(account, 0.0), self.now)

    def in_order(self):
        """Yield the requests in order; the lines may change once a request was yielded."""
        passed = {}
        while self.order:
            changes, index = self.changes, 0
            while index < len(self.order):
                account = self.order[index][2]
                line = self.lines[account]
                start = line.bisect_key_right(passed[account]) if account in passed else 0
                if start >= len(line):
                    index += 1
                    continue
                passed[account], queued = line[start]
                yield queued
                if self.changes != changes:
                    break
            else:
                return

    def ahead_of(self, key, account):
        """Return about how many others precede a request that may or may not be in its line.

        The accounts take turns, so that of each other line at most as many precede it as of its
        own, and one more of the accounts that are less far on.
        """
        line = self.lines.get(account, ())
        own = line.bisect_key_left(key) if line else 0
        first = line[0][0] if own else key
        before = self.order.bisect_left((self.virtual_time(account), first, account))
        others = self.ranks.at(own + 1) - (len(line) > own)
        return self.ranks.up_to(own) + min(others, before)

    def _place(self, account):
        self.changes += 1
        entry = self.entries.pop(account, None)
        if entry is not None:
            self.order.remove(entry)
        line = self.lines.get(account)
        if line:
            entry = (self.served[account], line[0][0], account)
            self.entries[account] = entry
            self.order.add(entry)
        elif line is not None:
            del self.lines[account]

    def _forget(self):
        """Drop accounts that do not wait and are no further on than a new one would be."""
        self.served = {
            account: time
            for account, time in self.served.items()
            if account in self.lines or time > self.now
        }


@dataclass(frozen=True)
class Arrival:
    """Arrival of a request."""

    at_ms: float
    priority: int
    account: str


class AccountRates:
    """Recent arrivals of accounts, and dispatches by priority.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.arrivals = deque()
        self.by_account = {}
        self.arrived = Counter()
        self.dispatches = deque()
        self.dispatched = Counter()
        self.levels = {}

    def record_arrival(self, queued):
        """Count a request that arrived."""
        arrival = Arrival(self.clock.now_ms(), queued.priority, queued.account)
        self.arrivals.append(arrival)
        self.by_account.setdefault(arrival.priority, Counter())[arrival.account] += 1
        self.arrived[arrival.priority] += 1
        self._expire()

    def record_dispatch(self, queued):
        """Count a request that was given an endpoint."""
        self.dispatches.append((self.clock.now_ms(), queued.priority))
        self.dispatched[queued.priority] += 1
        self._expire()

    def account_per_ms(self, queued):
        """Return the recent rate of arrivals of a request's account at its priority."""
        self._expire()
        counts = self.by_account.get(queued.priority, Counter())
        return counts[queued.account] / self._window_ms()

    def share_per_ms(self, priority, throughput_per_ms):
        """Return the rate up to which each account is served if all of a priority take part.

        What an account does not use is lent to the others; infinite if all can be served. More
        urgent requests come first, so their rate is taken off.
        """
        now = self.clock.now_ms()
        computed_ms, level = self.levels.get(priority, (-1e12, 0.0))
        if now - computed_ms >= LEVEL_CACHE_MS:
            level = self._compute_share(priority, throughput_per_ms)
            self.levels[priority] = (now, level)
        return level

    def is_over_share(self, queued, throughput_per_ms):
        """Return whether the account of a request sends much more than its share."""
        share = self.share_per_ms(queued.priority, throughput_per_ms)
        return self.account_per_ms(queued) > OVERLOAD_RATIO * share

    def less_urgent_per_ms(self, priority):
        """Return the recent rate of dispatches of less urgent requests."""
        self._expire()
        count = sum(n for other, n in self.dispatched.items() if other > priority)
        return count / self._window_ms()

    def spare_per_ms(self, priority, throughput_per_ms):
        """Return the throughput that is left to late requests of a priority.

        What less urgent requests were given counts as left, as late ones of a more urgent class
        precede them.
        """
        self._expire()
        arrivals = sum(n for other, n in self.arrived.items() if other <= priority)
        left = throughput_per_ms - arrivals / self._window_ms()
        least = MIN_SPARE_RATIO * throughput_per_ms
        return max(left, self.less_urgent_per_ms(priority), least)

    def _compute_share(self, priority, throughput_per_ms):
        self._expire()
        window_ms = self._window_ms()
        urgent = sum(n for other, n in self.arrived.items() if other < priority)
        left = max(throughput_per_ms * window_ms - urgent, 0.0)
        counts = sorted(self.by_account.get(priority, Counter()).values())
        for number, count in enumerate(counts):
            share = left / (len(counts) - number)
            if count > share:
                return share / window_ms
            left -= count
        return float("inf")

    def _window_ms(self):
        age_ms = self.clock.now_ms() - self.started_ms
        return min(RATE_WINDOW_MS, max(age_ms, RATE_WINDOW_MS / 3))

    def _expire(self):
        since = self.clock.now_ms() - RATE_WINDOW_MS
        while self.arrivals and self.arrivals[0].at_ms < since:
            arrival = self.arrivals.popleft()
            counts = self.by_account[arrival.priority]
            counts[arrival.account] -= 1
            self.arrived[arrival.priority] -= 1
            if not counts[arrival.account]:
                del counts[arrival.account]
            if not counts:
                del self.by_account[arrival.priority], self.arrived[arrival.priority]
                self.levels.pop(arrival.priority, None)
        while self.dispatches and self.dispatches[0][0] < since:
            _, priority = self.dispatches.popleft()
            self.dispatched[priority] -= 1
            if not self.dispatched[priority]:
                del self.dispatched[priority]
