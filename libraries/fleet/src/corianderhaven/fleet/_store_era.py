"""Detection of a store that came back from an older copy of its contents."""


class StoreEra:
    """Highest era of the store that this daemon has seen.

    The era rises by one each time that the store is restored from a copy. Revisions and leases
    are then given out again, so what was compared by revision before no longer counts.

    Parameters
    ----------
    clock : Clock
    decisions : DecisionLog

    Attributes
    ----------
    number : int
        0 while unknown, and for a store that reports no era.
    since_ms : float
        Boot time at which this daemon first saw the era.
    listeners : list of callable
        Called without arguments when the store was restored.
    """

    def __init__(self, clock, decisions):
        self.clock = clock
        self.decisions = decisions
        self.number = 0
        self.since_ms = clock.boot_ms()
        self.listeners = []

    def observe(self, number, source):
        """Take an era from an answer of the store or a peer; return whether it is the latest."""
        if number <= self.number:
            return number == self.number
        previous, self.number = self.number, number
        self.since_ms = self.clock.boot_ms()
        self.decisions.record("store_era", era=number, previous=previous, source=source)
        if previous:
            for listener in self.listeners:
                listener()
        return True

    def known_for_ms(self):
        """Return how long this daemon has known the era; infinite without eras."""
        return self.clock.boot_ms() - self.since_ms if self.number else float("inf")
