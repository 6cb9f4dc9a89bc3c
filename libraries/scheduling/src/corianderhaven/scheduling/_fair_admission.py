"""Refusals and promises of a queue that client accounts share; performs no I/O.

Answers overload in which every request is accepted and most are late: those that can't be on time
stand behind those that can, and are refused if their account already has its share.
"""

from corianderhaven.common import MS_PER_S

from . import _metrics
from ._fair_shares import GOAL_MARGIN, AccountRates
from ._promised_places import PromisedPlaces

NOTICE_INTERVAL_MS = 1_000.0  # between two log records of one queue


class FairAdmission:
    """Admission to a queue that accounts share.

    Parameters
    ----------
    clock : Clock
    waiting : WaitingRequests
    rates : QueueRates

    Attributes
    ----------
    on_over_share : callable
        Takes a refused request of an account over its share, the account's rate and the share,
        in requests per s; called at intervals.
    """

    def __init__(self, clock, waiting, rates):
        self.clock = clock
        self.waiting = waiting
        self.rates = rates
        self.account_rates = AccountRates(clock)
        self.places = PromisedPlaces()
        self.on_over_share = lambda queued, rate_per_s, share_per_s: None
        self.noticed_ms = -1e12

    def record_arrival(self, queued):
        """Count a request that arrives and set its margin."""
        queued.goal_margin_ms = GOAL_MARGIN * max(0.0, queued.goal_cutoff_ms - queued.arrived_ms)
        if not queued.resumed:
            self.account_rates.record_arrival(queued)

    def take_place(self, queued):
        """Have a caller that returns at the time it was told precede the others."""
        if not queued.resumed and self.places.take(queued, self.clock.now_ms()):
            queued.promised = True
            _metrics.FAIR_SHARES.labels("returned").inc()

    def record_dispatch(self, queued):
        """Count a request that was given an endpoint, if it waited also to its account."""
        if queued.resumed:
            return
        self.account_rates.record_dispatch(queued)
        if queued in self.waiting:
            self.waiting.charge(queued)

    def expected_wait_ms(self, queued):
        """Return the expected wait of a request, or None if it is refused for overload."""
        now = self.clock.now_ms()
        self.waiting.advance(now)
        throughput = self.rates.throughput_per_ms()
        wait_ms = self.waiting.ahead_of(queued, now) / throughput
        if now + wait_ms <= queued.on_time_until_ms or queued.promised or queued.resumed:
            return wait_ms
        rates, priority = self.account_rates, queued.priority
        if rates.is_over_share(queued, throughput) and not rates.less_urgent_per_ms(priority):
            self._notice(queued, throughput)
            return None
        spare = rates.spare_per_ms(priority, throughput)
        return max(wait_ms, self.waiting.late_before(queued) / spare)

    def promise(self, queued):
        """Return the time in ms after which a refused caller should return."""
        throughput = self.rates.throughput_per_ms()
        share = self.account_rates.share_per_ms(queued.priority, throughput)
        now, waiting = self.clock.now_ms(), len(self.waiting)
        _metrics.FAIR_SHARES.labels("refused").inc()
        return self.places.promise(queued, now, waiting, throughput, share)

    def _notice(self, queued, throughput):
        now = self.clock.now_ms()
        if now - self.noticed_ms < NOTICE_INTERVAL_MS:
            return
        self.noticed_ms = now
        rate = self.account_rates.account_per_ms(queued)
        share = self.account_rates.share_per_ms(queued.priority, throughput)
        self.on_over_share(queued, rate * MS_PER_S, share * MS_PER_S)
