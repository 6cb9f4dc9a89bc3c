"""Which endpoints are cold, from which evidence, until when. Performs no I/O.

Answers the load that meets endpoints which have just started, or come back after an evacuation or
an outage, in a fleet with queued requests: all daemons would fill them at once, and a cold endpoint
crashes under that. Entries tell of a cold endpoint up to three seconds late, so an endpoint at
which no daemon has a request is taken for cold until it has been in use for `cold_ms`. Busy ones
are guarded: daemons see each other's requests late, and would send more to one than it may get if
it turned cold meanwhile, so each request takes a permit, at the highest rate that is safe.
"""

from dataclasses import dataclass

from corianderhaven.fleet import bounded_permit_rate_per_s, cold_permit_rate_per_s

# An endpoint without requests for this long could be filled twice within one second.
IDLE_MS = 1_000.0
OBSERVE_INTERVAL_MS = 100.0  # of the requests at endpoints; the shortest interval of digests
ENTRY_DELAY_MS = 2_000.0  # an entry that arrives has been written at most so long before
MAX_EARLIER_MS = 250.0  # by which the end of a cold time is told differently, as entries are late


@dataclass(frozen=True)
class ColdRate:
    """Limit of a service's cold endpoints.

    Parameters
    ----------
    nominal_per_s : float
        Requests per second that the configuration names.
    permits_per_s : float
        Permits per second with which the bound over one second is kept.
    guarded_per_s : float
        Permits per second of a guarded endpoint.
    after_idling : bool
        Whether endpoints without requests are taken for cold. Requests to endpoints without an
        engine are too short for others to see them in digests.
    """

    nominal_per_s: float
    permits_per_s: float
    guarded_per_s: float
    cold_ms: float
    after_idling: bool = True


@dataclass
class ColdState:
    """What is known of one incarnation of an endpoint; times are local.

    Parameters
    ----------
    until_ms : float
        End of the time in which it is cold.
    assumed_ms : float
        When that was last assumed without word from the endpoint.
    used_ms : float
        When a daemon last had a request there.
    """

    started_ms: int
    until_ms: float
    assumed_ms: float
    used_ms: float


class ColdEndpoints:
    """Cold endpoints of the services that limit the rate of requests to them.

    Before the first request of the site nothing is taken for cold: endpoints that have started
    with the site have had time to warm up.

    Parameters
    ----------
    clock : Clock
    decisions : DecisionLog
    overrun, slack : float
        See `NodeSettings`.

    Attributes
    ----------
    endpoints : callable
        Returns all endpoints.
    in_flight : callable
        Returns the number of requests of all daemons at the endpoint with an id.
    """

    def __init__(self, clock, decisions, overrun=1.5, slack=5.0):
        self.clock = clock
        self.decisions = decisions
        self.overrun = overrun
        self.slack = slack
        self.endpoints = lambda: []
        self.in_flight = lambda endpoint_id: 0
        self.rates = {}
        self.states = {}
        self.has_traffic = False
        self.guarded = set()

    def configure(self, config):
        """Apply the rates of the services in a `FleetConfig`."""
        self.rates = {
            spec.name: ColdRate(
                spec.cold_per_s,
                cold_permit_rate_per_s(spec.cold_per_s, self.overrun, self.slack),
                bounded_permit_rate_per_s(spec.cold_per_s, self.overrun, self.slack),
                spec.cold_ms,
                spec.engine is not None,
            )
            for spec in config.services.values()
            if spec.cold_per_s > 0.0
        }
        for endpoint in self.endpoints():
            self.note_entry(endpoint, endpoint)

    def rate_per_s(self, endpoint):
        """Return the permits per second of an endpoint; None if it is neither cold nor guarded."""
        if self.is_cold(endpoint):
            return self.rates[endpoint.service].permits_per_s
        if self.is_guarded(endpoint):
            return self.rates[endpoint.service].guarded_per_s
        return None

    def is_guarded(self, endpoint):
        """Return whether an endpoint is busy, so that it may be sent too much if it turns cold."""
        return endpoint.id in self.guarded and endpoint.service in self.rates

    def is_cold(self, endpoint):
        """Return whether an endpoint is cold, or may be."""
        rate = self.rates.get(endpoint.service)
        if rate is None:
            return False
        now = self.clock.now_ms()
        state = self._state(endpoint)
        is_idle = rate.after_idling and self.has_traffic and now - state.used_ms > IDLE_MS
        return now < state.until_ms or is_idle

    def count(self):
        """Return the number of endpoints that are cold, or may be."""
        return sum(map(self.is_cold, self.endpoints())) if self.rates else 0

    def record_send(self, endpoint):
        """Record that a request is sent to an endpoint."""
        if endpoint.service in self.rates:
            self.note_traffic()
            self._note_use(endpoint)

    def observe(self):
        """Take note of the endpoints at which a daemon has a request."""
        if not self.rates:
            return
        for endpoint in self.endpoints():
            if endpoint.service in self.rates and self.in_flight(endpoint.id) > 0:
                self.note_traffic()
                self._note_use(endpoint)

    def note_traffic(self):
        """Record that the site has traffic; until then nothing is idle."""
        if not self.has_traffic:
            self.has_traffic = True
            for state in self.states.values():
                state.used_ms = self.clock.now_ms()

    def note_entry(self, endpoint, previous=None):
        """Apply an entry; returns whether all daemons have to know it.

        Parameters
        ----------
        previous : Endpoint or None
            What was known of the endpoint before; None if it was unknown or had gone.
        """
        rate = self.rates.get(endpoint.service)
        if rate is None:
            return False
        now = self.clock.now_ms()
        state = self._state(endpoint)
        until_ms = state.until_ms
        remaining_ms = min(endpoint.warmup_remaining_ms, rate.cold_ms)
        if remaining_ms > 0.0:
            if now + remaining_ms > state.until_ms:
                self._set_cold(endpoint, state, now + remaining_ms, "entry")
        elif previous is not None and previous.started_ms != endpoint.started_ms:
            self._assume(endpoint, "start")
        elif previous is None and self.in_flight(endpoint.id) <= 0:
            # Entries that were lost with the store's contents say nothing about endpoints in use.
            self._assume(endpoint, "return")
        elif now - state.assumed_ms > ENTRY_DELAY_MS:
            state.until_ms = min(state.until_ms, now)
        was_cold = previous is not None and previous.warmup_remaining_ms > 0.0
        return was_cold != (remaining_ms > 0.0) or state.until_ms > until_ms + MAX_EARLIER_MS

    def note_statement(self, endpoint, remaining_ms):
        """Apply the time in which an endpoint is still cold, as an answer names it."""
        rate = self.rates.get(endpoint.service)
        if rate is None or not remaining_ms > 0.0:
            return
        state = self._state(endpoint)
        until_ms = self.clock.now_ms() + min(remaining_ms, rate.cold_ms)
        if until_ms > state.until_ms:
            self._set_cold(endpoint, state, until_ms, "answer")

    def assume_cold(self, zone, reason="evacuation", only_unused=False):
        """Take the endpoints of a zone for cold, as its evacuation or its outage has ended.

        Parameters
        ----------
        reason : str
            Source in the decision log.
        only_unused : bool
            Whether those at which a daemon has a request stay as they are: where a path was lost,
            others may have used them meanwhile.
        """
        for endpoint in self.endpoints():
            if endpoint.zone != zone or endpoint.service not in self.rates:
                continue
            if not only_unused or self.in_flight(endpoint.id) <= 0:
                self._assume(endpoint, reason)

    def prune(self, known_ids):
        """Drop the state of endpoints that no longer exist."""
        self.states = {i: state for i, state in self.states.items() if i in known_ids}

    def _assume(self, endpoint, reason):
        if not self.has_traffic:
            return
        now = self.clock.now_ms()
        state = self._state(endpoint)
        state.assumed_ms = now
        self._set_cold(endpoint, state, now + self.rates[endpoint.service].cold_ms, reason)

    def _note_use(self, endpoint):
        """Begin the warm-up of an endpoint that had no requests, and count it as used."""
        now, rate = self.clock.now_ms(), self.rates[endpoint.service]
        state = self._state(endpoint)
        if rate.after_idling and now - state.used_ms > IDLE_MS:
            state.assumed_ms = now
            state.until_ms = max(state.until_ms, now + rate.cold_ms)
        state.used_ms = now

    def _set_cold(self, endpoint, state, until_ms, source):
        was_cold = self.clock.now_ms() < state.until_ms
        if not was_cold or until_ms > state.until_ms + MAX_EARLIER_MS:
            self.decisions.record(
                "endpoint_cold",
                endpoint=endpoint.id,
                started_ms=endpoint.started_ms,
                source=source,
                remaining_ms=round(until_ms - self.clock.now_ms()),
            )
        state.until_ms = max(state.until_ms, until_ms)

    def _state(self, endpoint):
        """Return the state of an endpoint.

        One not seen before may be cold, as this daemon may have started after the evidence came.
        It counts as used just now.
        """
        state = self.states.get(endpoint.id)
        if state is None or state.started_ms != endpoint.started_ms:
            now = self.clock.now_ms()
            until_ms = now + self.rates[endpoint.service].cold_ms
            state = ColdState(endpoint.started_ms, until_ms, now, now)
            self.states[endpoint.id] = state
        return state
