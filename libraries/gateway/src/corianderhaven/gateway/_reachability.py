"""Beliefs on which endpoints this daemon can open connections to. Performs no I/O.

A connection that can't be opened is a fault of the endpoint or of the path to it. Only what happens
at other endpoints tells: an endpoint that ended leaves the paths to others intact, while a network
partition takes those of a whole scope. The scopes are all endpoints, those of a service, and
those of a service in an availability zone.
"""

from dataclasses import dataclass, field

# Distinct endpoints that fail in succession, with no success in the scope between them.
MIN_FAILED_ENDPOINTS = 3
MIN_FAILED_IN_ZONE = 2  # a zone has few endpoints of some services
MIN_FAILED_CONNECTIONS = 2  # to one endpoint, so that a lost packet is not taken for a lost path
# Data that was under way when the path was lost has arrived by then.
DATA_IN_FLIGHT_MS = 150.0
FAILURE_VALIDITY_MS = 2_000.0  # older failures say nothing about the present


@dataclass
class EndpointFailures:
    """Connections to one endpoint that failed in succession, from the first to the last one."""

    since_ms: float
    count: int = 0
    last_ms: float = 0.0


@dataclass
class ScopeEvidence:
    """Connections to the endpoints of a scope since the last one that was opened.

    Parameters
    ----------
    failed_ms : dict of str to float
        Times of the last failures by endpoint id.
    connected_ms : float
        Time at which a connection was last opened.
    lost_since_ms : float or None
        Time since which the paths to all endpoints of the scope are believed lost.
    data_ms : float
        Time at which an open connection last brought data.
    """

    failed_ms: dict = field(default_factory=dict)
    connected_ms: float = -1e12
    lost_since_ms: float | None = None
    data_ms: float = -1e12


def scopes_of(endpoint):
    """Return the scopes of an endpoint as (service, zone), with None for all, the widest first."""
    return ((None, None), (endpoint.service, None), (endpoint.service, endpoint.zone))


class Reachability:
    """Paths from this daemon to endpoints that are believed lost.

    Parameters
    ----------
    clock : Clock
    decisions : DecisionLog

    Attributes
    ----------
    on_lost : callable
        Called when the paths to the endpoints of a scope are believed lost.
    on_regained : callable
        Called with a scope, (service, zone), and how long its paths were believed lost, in ms.
    """

    def __init__(self, clock, decisions):
        self.clock = clock
        self.decisions = decisions
        self.scopes = {}
        self.failures = {}
        self.lost_scopes = set()
        self.data_ms = {}
        self.on_lost = lambda: None
        self.on_regained = lambda scope, lost_ms: None

    @property
    def any_lost(self):
        """Whether the path to any endpoint is believed lost."""
        return bool(self.lost_scopes) or bool(self.failures)

    def record_connected(self, endpoint):
        """Record that a connection to an endpoint was opened."""
        now = self.clock.now_ms()
        self.failures.pop(endpoint.id, None)
        for scope in scopes_of(endpoint):
            evidence = self._evidence(scope)
            evidence.connected_ms = now
            if evidence.lost_since_ms is not None:
                self._regain(scope, evidence, endpoint)
            evidence.failed_ms.clear()

    def _regain(self, scope, evidence, endpoint):
        self._log("paths_regained", scope, evidence, endpoint)
        lost_ms = self.clock.now_ms() - evidence.lost_since_ms
        evidence.lost_since_ms = None
        self.lost_scopes.discard(scope)
        for endpoint_id in evidence.failed_ms:
            self.failures.pop(endpoint_id, None)
        self.on_regained(scope, lost_ms)

    def record_failed(self, endpoint):
        """Record that a connection to an endpoint could not be opened."""
        now = self.clock.now_ms()
        failures = self.failures.setdefault(endpoint.id, EndpointFailures(now))
        failures.count, failures.last_ms = failures.count + 1, now
        lost_before = len(self.lost_scopes)
        for scope in scopes_of(endpoint):
            evidence = self._evidence(scope)
            if self._is_explained(scope, evidence, endpoint):
                continue
            evidence.failed_ms[endpoint.id] = now
            if evidence.lost_since_ms is None and self._are_lost(scope, evidence):
                evidence.lost_since_ms = now
                self.lost_scopes.add(scope)
                self._log("paths_lost", scope, evidence, endpoint)
        if len(self.lost_scopes) > lost_before:
            self.on_lost()

    def _is_explained(self, scope, evidence, endpoint):
        """Return whether a failure at an endpoint of a scope tells nothing of the whole scope.

        That is so if the paths to a part of the scope are lost, and another one was opened since.
        """
        return any(
            self.scopes[part].lost_since_ms < evidence.connected_ms
            for part in self.lost_parts(scope, endpoint)
        )

    def lost_parts(self, scope, endpoint):
        """Return the scopes of an endpoint within another one whose paths are believed lost."""
        scopes = scopes_of(endpoint)
        return self.lost_scopes.intersection(scopes[scopes.index(scope) + 1 :])

    def record_data(self, endpoint):
        """Record that an open connection to an endpoint brought data."""
        now = self.clock.now_ms()
        self.data_ms[endpoint.service] = now
        if self.lost_scopes:
            for scope in self.lost_scopes.intersection(scopes_of(endpoint)):
                self.scopes[scope].data_ms = now

    def is_reachable(self, endpoint):
        """Return whether a new connection to an endpoint is expected to be opened."""
        return not (self.is_scope_lost(endpoint) or self._is_lost_alone(endpoint))

    def _is_lost_alone(self, endpoint):
        failures = self.failures.get(endpoint.id)
        if failures is None or failures.count < MIN_FAILED_CONNECTIONS:
            return False
        return self.clock.now_ms() - failures.last_ms < FAILURE_VALIDITY_MS

    def is_scope_lost(self, endpoint):
        """Return whether the path to an endpoint is lost together with those to others."""
        return bool(self.lost_scopes) and not self.lost_scopes.isdisjoint(scopes_of(endpoint))

    def keeps_connections(self, endpoint):
        """Return whether connections that are open already still carry data.

        A partition may hold up new connections only.
        """
        lost = [self.scopes[s] for s in self.lost_scopes.intersection(scopes_of(endpoint))]
        return all(e.data_ms > e.lost_since_ms + DATA_IN_FLIGHT_MS for e in lost)

    def loses_data(self, endpoint):
        """Return whether nothing comes any more on connections that were open already."""
        data_ms = self.data_ms.get(endpoint.service, -1e12)
        return self.is_scope_lost(endpoint) and self.clock.now_ms() - data_ms > DATA_IN_FLIGHT_MS

    def connected_since(self, endpoint, since_ms):
        """Return whether a connection to any endpoint of the same service was opened since."""
        evidence = self.scopes.get((endpoint.service, None))
        return evidence is not None and evidence.connected_ms >= since_ms

    def heard_since(self, endpoint, since_ms):
        """Return whether any endpoint of the same service has answered or sent data since."""
        heard = self.data_ms.get(endpoint.service, -1e12) >= since_ms
        return heard or self.connected_since(endpoint, since_ms)

    def all_lost_for_ms(self, endpoints):
        """Return how long none of the endpoints has been in reach; 0.0 if one is or none exist."""
        if not self.any_lost or any(self.is_reachable(e) for e in endpoints):
            return 0.0
        now = self.clock.now_ms()
        return min((now - self._lost_since_ms(e) for e in endpoints), default=0.0)

    def _lost_since_ms(self, endpoint):
        lost = self.lost_scopes.intersection(scopes_of(endpoint))
        since_ms = [self.scopes[scope].lost_since_ms for scope in lost]
        if self._is_lost_alone(endpoint):
            since_ms.append(self.failures[endpoint.id].since_ms)
        return min(since_ms)

    def prune(self, endpoints):
        """Drop endpoints and scopes that no longer exist."""
        known = {endpoint.id for endpoint in endpoints}
        scopes = {scope for endpoint in endpoints for scope in scopes_of(endpoint)}
        expired_ms = self.clock.now_ms() - FAILURE_VALIDITY_MS
        services = {endpoint.service for endpoint in endpoints}
        self.data_ms = {s: t for s, t in self.data_ms.items() if s in services}
        self.failures = {
            i: f for i, f in self.failures.items() if i in known and f.last_ms > expired_ms
        }
        for scope in [s for s in self.scopes if s not in scopes]:
            del self.scopes[scope]
            self.lost_scopes.discard(scope)
        for evidence in self.scopes.values():
            evidence.failed_ms = {i: t for i, t in evidence.failed_ms.items() if i in known}

    def _evidence(self, scope):
        evidence = self.scopes.get(scope)
        if evidence is None:
            evidence = self.scopes[scope] = ScopeEvidence()
        return evidence

    def _are_lost(self, scope, evidence):
        since_ms = self.clock.now_ms() - FAILURE_VALIDITY_MS
        recent = sum(failed_ms >= since_ms for failed_ms in evidence.failed_ms.values())
        _, zone = scope
        return recent >= (MIN_FAILED_ENDPOINTS if zone is None else MIN_FAILED_IN_ZONE)

    def _log(self, event, scope, evidence, endpoint):
        service, zone = scope
        now = self.clock.now_ms()
        since_ms = evidence.lost_since_ms if evidence.lost_since_ms is not None else now
        self.decisions.record(
            event,
            service=service,
            zone=zone,
            endpoint=endpoint.id,
            failed=len(evidence.failed_ms),
            evidence_age_ms=round(now - min(evidence.failed_ms.values(), default=now)),
            lost_for_ms=round(now - since_ms),
        )
