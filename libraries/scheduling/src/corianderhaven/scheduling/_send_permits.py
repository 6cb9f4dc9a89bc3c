"""Permits of this daemon to send requests to endpoints that limit their rate. Performs no I/O.

Permits are asked for ahead, as many as requests are expected while one is valid, so that a request
seldom waits for one and few expire unused.
"""

import math
import random
from dataclasses import dataclass

from corianderhaven.fleet import (
    COLD_PERMIT_LIFETIME_MS,
    MAX_ADVANCE_MS,
    PERMIT_LIFETIME_MS,
    PermitWish,
)

from . import _metrics

ASKING_MS = 10.0  # a call to another daemon
LOST_ANSWER_MS = 1_500.0  # after which a wish without an answer is repeated
REMOTE_WISHES = 1  # in other zones while no request waits, as in the choice of an endpoint


@dataclass
class PermitState:
    """Permit of one incarnation of an endpoint, or the wish for it; times are local.

    Parameters
    ----------
    from_ms, until_ms : float
        When the permit may be used; infinity if there is none.
    asked_ms : float or None
        When the wish was sent that has no answer yet.
    ask_again_ms : float
        When the issuer may have a permit, after it had none.
    cold : bool
        Whether the permit was asked for an endpoint that is cold or may turn cold. It then holds
        for a short time from the wish on, so that a late answer doesn't delay its use.
    """

    started_ms: int
    from_ms: float = math.inf
    until_ms: float = -math.inf
    asked_ms: float | None = None
    ask_again_ms: float = -math.inf
    cold: bool = False

    def is_usable(self, now):
        """Return whether the permit may be used now."""
        return self.from_ms <= now < self.until_ms

    def is_outstanding(self, now):
        """Return whether there is a permit, also for later, or a wish under way."""
        asked = self.asked_ms is not None and now - self.asked_ms < LOST_ANSWER_MS
        return asked or now < self.until_ms

    def wait_ms(self, now):
        """Return the time until a permit may be used, as far as it is known."""
        if now < self.until_ms:
            return max(0.0, self.from_ms - now)
        if now < self.ask_again_ms:
            return self.ask_again_ms + MAX_ADVANCE_MS - now
        return ASKING_MS


class SendPermits:
    """Permits by endpoint id.

    Parameters
    ----------
    clock : Clock
    limits : EndpointLimits
    zone : str
        Own availability zone, whose endpoints permits are asked for first.

    Attributes
    ----------
    request : callable
        Asks the issuer for the permit of a `PermitWish`; `apply_offer` gets the answer.
    on_permit : callable
        Called with the time in ms until a new permit may be used.
    """

    def __init__(self, clock, limits, zone):
        self.clock = clock
        self.limits = limits
        self.zone = zone
        self.request = lambda wish: None
        self.on_permit = lambda wait_ms: None
        self.states = {}

    def is_limited(self, endpoint):
        """Return whether an endpoint takes requests under permits only."""
        return self.limits.rate_per_s(endpoint) is not None

    def is_bounded(self, endpoint):
        """Return whether an endpoint is limited as it is cold, or may turn cold."""
        return self.limits.cold.rate_per_s(endpoint) is not None

    def is_guarded(self, endpoint):
        """Return whether an endpoint that isn't cold is limited as it may turn cold."""
        return self.limits.cold.is_guarded(endpoint) and not self.is_cold(endpoint)

    def is_cold(self, endpoint):
        """Return whether an endpoint is limited as it is cold, or may be."""
        return self.limits.cold.is_cold(endpoint)

    def limited(self, endpoints):
        """Return the endpoints that take requests under permits only."""
        return [e for e in endpoints if self.is_limited(e)] if self.limits.any_known() else []

    def accepts(self, endpoint):
        """Return whether a request may be sent to an endpoint now."""
        return not self.is_limited(endpoint) or self._state(endpoint).is_usable(self.clock.now_ms())

    def wait_ms(self, endpoint):
        """Return the time until a request may be sent to an endpoint."""
        return (
            self._state(endpoint).wait_ms(self.clock.now_ms()) if self.is_limited(endpoint) else 0.0
        )

    def try_take(self, endpoint):
        """Use up the permit of an endpoint; returns whether a request may be sent to it now."""
        if not self.is_limited(endpoint):
            self.limits.cold.record_send(endpoint)
            return True
        now = self.clock.now_ms()
        if not self._state(endpoint).is_usable(now):
            return False
        self.states[endpoint.id] = PermitState(endpoint.started_ms)
        self.limits.cold.record_send(endpoint)
        _metrics.PERMITS.labels("used").inc()
        return True

    def ask(self, endpoints, demand, waiting, load=None):
        """Ask for permits of limited endpoints that a request may go to.

        Parameters
        ----------
        endpoints : list of Endpoint
        demand : int
            Requests expected while a permit is valid.
        waiting : int
            Requests that wait now, and for which no other endpoint has a place.
        load : callable or None
            Returns the load of an endpoint, of which those with little are asked for first.
        """
        now = self.clock.now_ms()
        limited = self.limited(endpoints)
        states = {e.id: self._state(e) for e in limited}
        outstanding = sum(state.is_outstanding(now) for state in states.values())
        wanted = demand + waiting - outstanding
        free = [
            e
            for e in limited
            if not states[e.id].is_outstanding(now) and now >= states[e.id].ask_again_ms
        ]
        own = [e for e in free if e.zone == self.zone]
        others = [e for e in free if e.zone != self.zone]
        random.shuffle(own)
        random.shuffle(others)
        if load is not None:
            own.sort(key=load)
            others.sort(key=load)
        most_others = len(others) if waiting or not own else REMOTE_WISHES
        for endpoint in (own + others[:most_others])[: max(0, wanted)]:
            self._ask_for(endpoint, now)

    def apply_offer(self, wish, offer):
        """Record the issuer's answer to a wish."""
        state = self.states.get(wish.endpoint)
        if state is None or state.started_ms != wish.started_ms or state.asked_ms is None:
            return
        now = self.clock.now_ms()
        asked_ms, state.asked_ms = state.asked_ms, None
        _metrics.PERMITS.labels("granted" if offer.granted else "denied").inc()
        wait_ms = max(0.0, offer.wait_ms)
        if offer.granted:
            state.from_ms = now + wait_ms
            state.until_ms = state.from_ms + PERMIT_LIFETIME_MS
            if state.cold:
                state.until_ms = asked_ms + wait_ms + COLD_PERMIT_LIFETIME_MS
            self.on_permit(wait_ms)
        else:
            state.ask_again_ms = now + wait_ms

    def prune(self, known_ids):
        """Drop the permits of endpoints that no longer exist."""
        self.states = {i: state for i, state in self.states.items() if i in known_ids}

    def _ask_for(self, endpoint, now):
        rate, cold = self.limits.rate_per_s(endpoint), self.limits.cold.is_cold(endpoint)
        warm = not cold and self.limits.cold.is_guarded(endpoint)
        in_flight = self.limits.cold.in_flight(endpoint.id) if cold else 0
        short = cold or warm
        self.states[endpoint.id] = PermitState(endpoint.started_ms, asked_ms=now, cold=short)
        self.request(
            PermitWish(
                endpoint.id, endpoint.started_ms, endpoint.zone, rate, short, in_flight, warm
            )
        )

    def _state(self, endpoint):
        """Return the state of an endpoint's permit, a new one for a new incarnation."""
        state = self.states.get(endpoint.id)
        if state is None or state.started_ms != endpoint.started_ms:
            state = self.states[endpoint.id] = PermitState(endpoint.started_ms)
        return state
