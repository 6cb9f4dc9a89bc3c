"""Admission queues, latency estimators and endpoint selection of all services."""

from ._admission import AdmissionQueue, QueuedRequest
from ._choice import choose_endpoint
from ._latency_estimator import LatencyEstimator

MIN_ANSWER_FRACTION = 0.5  # of the time of an answer; with less left, an attempt is useless
DEFAULT_GOAL_MS = 500.0


class Dispatcher:
    """Assigns endpoints to requests.

    Parameters
    ----------
    directory : EndpointDirectory
    replica_view : ReplicaView
    load_tracker : LoadTracker
    peers : PeerTable
    zone : str
        Own availability zone.
    clock : Clock
    """

    def __init__(self, directory, replica_view, load_tracker, peers, zone, clock):
        self.directory = directory
        self.replica_view = replica_view
        self.load_tracker = load_tracker
        self.peers = peers
        self.zone = zone
        self.clock = clock
        self.queues = {}
        self.estimators = {}

    def queued_request(self, context, estimator, engine):
        """Return the `QueuedRequest` of a request for an engine."""
        metadata, route = context.metadata, context.route
        running = engine.slots
        first_event_ms = estimator.first_event_ms(metadata.prompt_tokens, running)
        tokens = metadata.length_hint or min(
            metadata.max_output_tokens or 1e9, engine.typical_answer_tokens
        )
        min_answer_ms = first_event_ms + estimator.decode_ms(tokens, running) * MIN_ANSWER_FRACTION
        deadline_cutoff_ms = context.deadline_ms - min_answer_ms
        goal_ms = route.goal_ms or DEFAULT_GOAL_MS
        return QueuedRequest(
            priority=context.priority,
            arrived_ms=self.clock.now_ms(),
            goal_cutoff_ms=min(context.started_ms + goal_ms - first_event_ms, deadline_cutoff_ms),
            deadline_cutoff_ms=deadline_cutoff_ms,
            # The caller has already waited for an endpoint, and may have part of the answer.
            resumed=context.attempts > 0,
            excluded=context.excluded,
            parts=() if context.sound else metadata.shared_parts,
        )

    def queue(self, service, engine, model):
        """Return the admission queue of a model, creating it if missing."""
        key = (service, model.name)
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = AdmissionQueue(
                self.clock,
                lambda queued: self._pick_head(service, engine, model.name, queued),
                lambda: bool(self.replica_view.available_heads(service, model.name)),
                lambda: self._capacity_per_ms(service, engine, model),
                lambda: self.held_for_ms(self.replica_view.available_heads(service, model.name)),
            )
            queue.release_endpoint = lambda endpoint: self.release(endpoint, queue)
        return queue

    def _capacity_per_ms(self, service, engine, model):
        """Return how many requests per ms the open replicas can accept from this daemon."""
        heads = self.replica_view.available_heads(service, model.name)
        own = sum(self.load_tracker.entry(head.id).own_in_flight for head in heads)
        others = sum(self.peers.peer_requests_at(head.id) for head in heads)
        daemons = 1 + self.peers.reporting_daemons()
        share = (own + 1) / (own + others + daemons)
        duration_ms = self.estimator(service, engine, model).duration_ms()
        return share * len(heads) * engine.slots / duration_ms

    def estimator(self, service, engine, model):
        """Return the latency estimator of a model, a new one when its engine spec changed."""
        estimator = self.estimators.get((service, model.name))
        if estimator is None or estimator.engine != engine:
            estimator = self.estimators[(service, model.name)] = LatencyEstimator(engine, model)
        return estimator

    def _pick_head(self, service, engine, model, queued):
        heads = self.replica_view.available_heads(service, model)
        heads = self.load_tracker.accepting(heads)
        heads = [h for h in heads if h.id not in queued.excluded] or heads
        limit = engine.slots + 1
        endpoint = choose_endpoint(
            heads,
            self.load_tracker,
            self.zone,
            engine.slots,
            limit,
            **self._daemon_counts(),
        )
        if endpoint is not None:
            self.load_tracker.entry(endpoint.id).own_in_flight += 1
        return endpoint

    def held_for_ms(self, endpoints):
        """Return how long none of the endpoints takes requests; 0.0 if one does or none exist."""
        return min((self.load_tracker.held_for_ms(e) for e in endpoints), default=0.0)

    def _daemon_counts(self):
        """Return how many daemons, including this one, choose among the same endpoints."""
        return {
            "daemons": self.peers.fleet_size(),
            "zone_daemons": self.peers.zone_size(),
        }

    def plain_endpoints(self, context):
        """Return the endpoints of a service without an engine that accept requests."""
        return [e for e in self.directory.endpoints(context.service.name) if not e.leaving]

    def pick_plain_endpoint(self, context):
        """Return an endpoint of a service without an engine and count the request, or None."""
        accepting = self.load_tracker.accepting(self.plain_endpoints(context))
        endpoints = [e for e in accepting if e.id not in context.excluded]
        endpoint = choose_endpoint(endpoints, self.load_tracker, self.zone, **self._daemon_counts())
        if endpoint is not None:
            self.load_tracker.entry(endpoint.id).own_in_flight += 1
        return endpoint

    def release(self, endpoint, queue=None):
        """Remove a request that has ended from its endpoint's count."""
        self.load_tracker.entry(endpoint.id).own_in_flight -= 1
        if queue is not None and queue.waiting:
            queue.assign()
