"""Limits on requests per second that endpoints name in their answers. Performs no I/O.

A limit is one for all daemons together. It belongs to an incarnation of an endpoint, and holds
until an answer to a later request names none. Cold endpoints have another one, of their service.
"""

import math
from dataclasses import dataclass

from corianderhaven.fleet import MIN_RATE_PER_S, LimitRecord

from ._cold_endpoints import ColdEndpoints

SHARED_MS = 1_500.0  # several exchanges between daemons
# Records lose their time in transit from their age, so an older one may look newer than this.
MERGE_TOLERANCE_MS = 250.0


@dataclass
class KnownLimit:
    """What is known of one endpoint's limit; times are local.

    Parameters
    ----------
    started_ms : int
        Start time of the endpoint's incarnation.
    rate_per_s : float or None
        None once the limit has ended.
    evidence_ms : float
        When the limit was last named, or the answer that named none was asked for.
    changed_ms : float
        When this daemon learned the present value.
    """

    started_ms: int
    rate_per_s: float | None
    evidence_ms: float
    changed_ms: float


class EndpointLimits:
    """Limits by endpoint id, from this daemon's own answers and from its peers.

    Parameters
    ----------
    clock : Clock
    decisions : DecisionLog
    cold : ColdEndpoints or None
        Source of the limits of cold endpoints; None means that no service has one.
    """

    def __init__(self, clock, decisions, cold=None):
        self.clock = clock
        self.decisions = decisions
        self.cold = cold or ColdEndpoints(clock, decisions)
        self.limits = {}

    def rate_per_s(self, endpoint):
        """Return the requests per second that an endpoint takes, or None if it has no limit."""
        known = self._known(endpoint.id, endpoint.started_ms)
        named_per_s = known.rate_per_s if known is not None else None
        cold_per_s = self.cold.rate_per_s(endpoint)
        if named_per_s is None or cold_per_s is None:
            return cold_per_s if named_per_s is None else named_per_s
        return min(named_per_s, cold_per_s)

    def any_known(self):
        """Return whether any endpoint may have a limit."""
        return bool(self.limits or self.cold.rates)

    def record_answer(self, endpoint, named_per_s, sent_ms):
        """Record the limit that an answer names.

        Parameters
        ----------
        named_per_s : float or None
            NaN if it can't be read, None if the answer names no limit.
        sent_ms : float
            When the request was sent. Answers may overtake each other, so one without a limit
            ends only a limit that was named before.
        """
        now = self.clock.now_ms()
        known = self._known(endpoint.id, endpoint.started_ms)
        if named_per_s is not None:
            rate = self._checked(endpoint, named_per_s)
            self._set(endpoint.id, KnownLimit(endpoint.started_ms, rate, now, now), "answer")
        elif known is not None and known.rate_per_s is not None and sent_ms > known.evidence_ms:
            self._set(endpoint.id, KnownLimit(endpoint.started_ms, None, sent_ms, now), "answer")

    def merge(self, records, source):
        """Adopt the newer ones of a peer's `LimitRecord` by endpoint id."""
        now = self.clock.now_ms()
        for endpoint_id, record in records.items():
            limit = KnownLimit(
                record.started_ms,
                record.rate_per_s,
                now - max(0.0, record.age_ms),
                now,
            )
            known = self.limits.get(endpoint_id)
            if known is None or self._is_newer(limit, known):
                self._set(endpoint_id, limit, source)

    def records(self, within_ms=math.inf):
        """Return the `LimitRecord` of each limit that has changed within a time, by endpoint id."""
        now = self.clock.now_ms()
        return {
            endpoint_id: LimitRecord(k.started_ms, k.rate_per_s, math.floor(now - k.evidence_ms))
            for endpoint_id, k in self.limits.items()
            if now - k.changed_ms <= within_ms
        }

    def count(self):
        """Return the number of limits in force."""
        return sum(known.rate_per_s is not None for known in self.limits.values())

    def prune(self, known_ids):
        """Drop the limits of endpoints that no longer exist."""
        self.limits = {i: known for i, known in self.limits.items() if i in known_ids}

    def _known(self, endpoint_id, started_ms):
        known = self.limits.get(endpoint_id)
        return known if known is not None and known.started_ms == started_ms else None

    @staticmethod
    def _is_newer(limit, known):
        if limit.started_ms != known.started_ms:
            return limit.started_ms > known.started_ms
        return limit.evidence_ms > known.evidence_ms + MERGE_TOLERANCE_MS

    def _checked(self, endpoint, named_per_s):
        """Return a limit that can be obeyed; an endpoint in need gets little if unsure."""
        if math.isfinite(named_per_s) and named_per_s > 0.0:
            return max(MIN_RATE_PER_S, named_per_s)
        known = self._known(endpoint.id, endpoint.started_ms)
        if known is None or known.rate_per_s != MIN_RATE_PER_S:
            self.decisions.record(
                "endpoint_limit_unusable", endpoint=endpoint.id, named=str(named_per_s)
            )
        return MIN_RATE_PER_S

    def _set(self, endpoint_id, limit, source):
        known = self.limits.get(endpoint_id)
        same_incarnation = known is not None and known.started_ms == limit.started_ms
        before = known.rate_per_s if same_incarnation else None
        self.limits[endpoint_id] = limit
        if before == limit.rate_per_s:
            limit.changed_ms = known.changed_ms if same_incarnation else limit.changed_ms
            return
        self.decisions.record(
            "endpoint_limit",
            endpoint=endpoint_id,
            started_ms=limit.started_ms,
            rate_per_s=limit.rate_per_s,
            before_per_s=before,
            source=source,
            evidence_age_ms=round(self.clock.now_ms() - limit.evidence_ms),
        )
