"""Admission queues, latency estimators and endpoint selection of all services."""

import math
from collections import defaultdict

from corianderhaven.common import MS_PER_S
from corianderhaven.fleet import COLD_PERMIT_LIFETIME_MS, PERMIT_LIFETIME_MS
from corianderhaven.scheduling import (
    AdmissionQueue,
    LatencyEstimator,
    PromptPlacement,
    QueuedRequest,
    QueueRates,
    Refusal,
    RequestWork,
    choose_endpoint,
)

MIN_ANSWER_FRACTION = 0.5  # of the time of an answer; with less left, an attempt is useless
DEFAULT_GOAL_MS = 500.0
LOST_SERVICES_CACHE_MS = 50.0  # half of the shortest exchange interval
RECENT_ACTIVITY_MS = 500.0  # of a head that others use; some exchanges of digests
PLAIN_RETRY_AFTER_MS = 200.0
NO_WORK = RequestWork()  # of a request to a service without an engine
# Mean load of the heads as a fraction of their slots. Below it, daemons that don't see each other's
# requests yet hardly send one head more than a cold one may get (26 of 27.5 with 31 daemons).
CROWDED = 0.5
# As a fraction of the slots: below it, warm endpoints take what comes, and cold ones may wait.
LITTLE_USED = 0.25
PLAIN_WAIT_FRACTION = 0.5  # of the goal; an answer of a plain service takes about the rest


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
    permits : SendPermits
    reachability : Reachability
    access : EndpointAccess

    Attributes
    ----------
    has_idle_connection : callable
        Takes an `Endpoint`; returns whether a connection to it is kept that can be used.
    end_ms : float
        Time by which all answers have to be complete; infinite unless the daemon drains.
    weighs_prompts : bool
        Whether heads are chosen by the prompt tokens that they have to prefill, too.
    shares_queues : bool
        Whether client accounts share the queues.
    on_over_share : callable
        Takes what `FairAdmission.on_over_share` takes.
    """

    def __init__(
        self,
        directory,
        replica_view,
        load_tracker,
        peers,
        zone,
        clock,
        permits,
        reachability,
        access,
    ):
        self.directory = directory
        self.replica_view = replica_view
        self.load_tracker = load_tracker
        self.peers = peers
        self.zone = zone
        self.clock = clock
        self.permits = permits
        self.reachability = reachability
        self.access = access
        self.has_idle_connection = lambda endpoint: False
        self.latest_lost_services = (-1e12, {})
        self.end_ms = math.inf
        self.weighs_prompts = False
        self.shares_queues = False
        self.on_over_share = lambda queued, rate_per_s, share_per_s: None
        self.queues = {}
        self.plain_queues = {}
        self.plain_rates = {}
        self.estimators = {}

    def queued_request(self, context, estimator, engine):
        """Return the `QueuedRequest` of a request for an engine."""
        metadata, route = context.metadata, context.route
        running = engine.slots
        first_event_ms = estimator.first_event_ms(metadata.prompt_tokens, running)
        tokens = metadata.length_hint or min(
            metadata.max_output_tokens or 1e9, engine.typical_answer_tokens
        )
        decode_ms = estimator.decode_ms(tokens, running)
        min_answer_ms = first_event_ms + decode_ms * MIN_ANSWER_FRACTION
        deadline_cutoff_ms = context.deadline_ms - min_answer_ms
        goal_ms = route.goal_ms or DEFAULT_GOAL_MS
        return QueuedRequest(
            priority=context.priority,
            arrived_ms=self.clock.now_ms(),
            goal_cutoff_ms=min(context.started_ms + goal_ms - first_event_ms, deadline_cutoff_ms),
            deadline_cutoff_ms=deadline_cutoff_ms,
            answer_ms=first_event_ms + decode_ms,
            # The caller has already waited for an endpoint, and may have part of the answer.
            resumed=context.resumed,
            may_repeat=context.can_fail_over(),
            excluded=context.excluded,
            parts=() if context.sound else metadata.blamed_parts,
            work=RequestWork(metadata.prompt_tokens, round(tokens)),
            account=context.account.name if context.account else "",
            request_class=route.name,
        )

    def queue(self, service, engine, model):
        """Return the admission queue of a model, creating it if missing."""
        key = (service, model.name)
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = AdmissionQueue(
                self.clock,
                lambda queued: self._pick_head(service, engine, model.name, queued),
                lambda: bool(self.replica_view.expected_heads(service, model.name)),
                lambda: self._capacity_per_ms(service, engine, model),
                lambda: self.held_for_ms(self.replica_view.expected_heads(service, model.name)),
            )
            queue.is_limited = lambda: self._are_limited(
                self.replica_view.expected_heads(service, model.name)
            )
            queue.release_endpoint = lambda endpoint, queued: self.release(
                endpoint, queue, queued.work
            )
            queue.check_access = lambda: self.replica_view.refusal(service, model.name)
            queue.is_forming = lambda: self.replica_view.is_forming(service, model)
            self._share(queue)
            queue.end_ms = self.end_ms
        return queue

    def _share(self, queue):
        """Have a queue shared between accounts wherever the configuration names several."""
        queue.is_shared = lambda: self.shares_queues
        queue.fair.on_over_share = lambda *values: self.on_over_share(*values)

    def _capacity_per_ms(self, service, engine, model):
        """Return how many requests per ms the open replicas can accept from this daemon."""
        heads = self.replica_view.expected_heads(service, model.name)
        duration_ms = self.estimator(service, engine, model).duration_ms()
        capacity = sum(self._rate_per_ms(head, engine.slots / duration_ms) for head in heads)
        return self._own_share(heads) * capacity

    def _rate_per_ms(self, endpoint, unlimited_per_ms):
        """Return how many requests per ms an endpoint takes from all daemons."""
        limit_per_s = self.permits.limits.rate_per_s(endpoint)
        if limit_per_s is None:
            return unlimited_per_ms
        return min(unlimited_per_ms, limit_per_s / MS_PER_S)

    def _own_share(self, endpoints):
        """Return the share of this daemon in the requests at endpoints."""
        own = sum(self.load_tracker.entry(e.id).own_in_flight for e in endpoints)
        others = sum(self.peers.peer_requests_at(e.id) for e in endpoints)
        daemons = 1 + self.peers.reporting_daemons()
        return (own + 1) / (own + others + daemons)

    def _are_limited(self, endpoints):
        return any(not self.permits.is_guarded(e) for e in self.permits.limited(endpoints))

    def estimator(self, service, engine, model):
        """Return the latency estimator of a model, a new one when its engine spec changed."""
        estimator = self.estimators.get((service, model.name))
        if estimator is None or estimator.engine != engine:
            estimator = self.estimators[(service, model.name)] = LatencyEstimator(engine, model)
        return estimator

    def in_reach(self, endpoints, may_repeat):
        """Return the endpoints that a request can be sent to from this daemon.

        Parameters
        ----------
        may_repeat : bool
            Whether the request may use a kept connection, as it can be sent again if that fails.
        """
        paths = self.reachability
        if not paths.any_lost:
            return endpoints
        return [
            e
            for e in endpoints
            if paths.is_reachable(e)
            or (
                may_repeat
                and paths.is_scope_lost(e)
                and paths.keeps_connections(e)
                and self.has_idle_connection(e)
            )
        ]

    def lacks_path(self, context, tried=None):
        """Return whether a request has to go by another daemon, as no path from here is left.

        Parameters
        ----------
        tried : set of str or None
            Endpoints that don't count; those that the request has tried by default.
        """
        tried = context.excluded if tried is None else tried
        if not self.reachability.any_lost:
            return False
        serving, in_reach, _ = self._serving_endpoints(context)
        if not serving:
            return context.service.name in self.lost_services()
        if any(endpoint.id not in tried for endpoint in in_reach):
            return False
        return len(in_reach) < len(serving) or bool(self._alive_elsewhere(context, in_reach))

    def prefers_peer(self, context):
        """Return whether the endpoints in reach are full, and others are known not to be."""
        if not self.reachability.any_lost:
            return False
        _, in_reach, slots = self._serving_endpoints(context)
        if slots is None or not self._are_full(self._untried(context, in_reach), slots):
            return False
        return not self._are_full(self._alive_elsewhere(context, in_reach), slots)

    def _serving_endpoints(self, context):
        """Return the endpoints for a request, those in reach, and an engine's slots or None."""
        service, model = context.service, context.metadata.model
        engine = service.engine
        if engine is None or engine.model(model) is None:
            serving, slots = self._plain_endpoints(service.name), None
        else:
            serving, slots = self.replica_view.available_heads(service.name, model), engine.slots
        return serving, self.in_reach(serving, context.can_fail_over()), slots

    def _alive_elsewhere(self, context, in_reach):
        """Return the heads out of reach, also suspected ones, that other daemons hear of."""
        heads = self.replica_view.all_heads(context.service.name)
        reached = {e.id for e in in_reach}
        return [
            head
            for head in heads.get(context.metadata.model, ())
            if head.id not in reached and self._is_active_at_peers(head)
        ]

    @staticmethod
    def _untried(context, endpoints):
        return [e for e in endpoints if e.id not in context.excluded]

    def lost_services(self):
        """Return the services of which no endpoint that may get requests is in reach.

        Returns
        -------
        dict of str to float
            Times in ms for which they have been out of reach, by service.
        """
        if not self.reachability.any_lost:
            return {}
        made_ms, lost = self.latest_lost_services
        now = self.clock.now_ms()
        if now - made_ms >= LOST_SERVICES_CACHE_MS:
            lost = self._lost_services(self.access.allowed(self.directory.endpoints()))
            self.latest_lost_services = (now, lost)
        return lost

    def services_without_path(self):
        """Return the same of all endpoints, also of those that may get orders only."""
        if not self.reachability.any_lost:
            return {}
        return self._lost_services(self.directory.endpoints())

    def _lost_services(self, endpoints):
        by_service = defaultdict(list)
        for endpoint in endpoints:
            by_service[endpoint.service].append(endpoint)
        ages = ((s, self.reachability.all_lost_for_ms(e)) for s, e in by_service.items())
        return {service: age_ms for service, age_ms in ages if age_ms}

    def _are_full(self, endpoints, slots):
        return all(self.load_tracker.occupancy(e.id) >= slots for e in endpoints)

    def _is_active_at_peers(self, endpoint):
        seen_ms = self.peers.last_activity_ms(endpoint.id)
        return seen_ms is not None and self.clock.now_ms() - seen_ms < RECENT_ACTIVITY_MS

    def queues_without_path(self):
        """Return the queues with waiting requests of which no endpoint is in reach any more."""
        engine_queues = (
            (queue, self.replica_view.available_heads(*key)) for key, queue in self.queues.items()
        )
        plain_queues = (
            (queue, self._plain_endpoints(service)) for service, queue in self.plain_queues.items()
        )
        return [
            queue
            for queue, endpoints in (*engine_queues, *plain_queues)
            if queue.waiting and not self.in_reach(endpoints, True)
        ]

    def _pick_head(self, service, engine, model, queued):
        heads = self.replica_view.available_heads(service, model)
        heads = self.load_tracker.accepting(self.in_reach(heads, queued.may_repeat))
        others = [h for h in heads if h.id not in queued.excluded]
        heads = others if others or queued.only_others else heads
        queue = self.queues[service, model]
        placement = None
        if self.weighs_prompts:
            estimator = self.estimator(service, engine, engine.model(model))
            placement = PromptPlacement(self.load_tracker, estimator)
        return self._choose(
            heads,
            queue.rates,
            len(queue.waiting),
            engine.slots,
            engine.slots + 1,
            queued,
            placement,
        )

    def _choose(
        self, endpoints, rates, waiting, slots=None, limit=None, queued=None, placement=None
    ):
        """Return the endpoint for a request and count the request there, or None."""
        work = queued.work if queued is not None else NO_WORK
        slack_ms = queued.goal_cutoff_ms - self.clock.now_ms() if queued is not None else 0.0
        limited = self.permits.limited(endpoints)
        reserved = []
        if limited:
            self._ask(endpoints, limited, rates, self._needed(endpoints, waiting), slots, limit)
            endpoints = [e for e in endpoints if self.permits.accepts(e)]
            reserved = [e for e in limited if self.permits.accepts(e)]
        endpoint = choose_endpoint(
            endpoints,
            self.load_tracker,
            self.zone,
            slots,
            limit,
            **self._daemon_counts(),
            reserved=reserved,
            placement=placement,
            work=work,
            slack_ms=slack_ms,
            is_cold=self.permits.is_cold,
        )
        if endpoint is None or not self.permits.try_take(endpoint):
            return None
        self.load_tracker.begin_work(endpoint.id, work)
        if limited:
            self._ask(endpoints, limited, rates, max(0, waiting - 1), slots, limit)
        return endpoint

    def _ask(self, endpoints, limited, rates, needed, slots, limit):
        """Ask for permits as many requests as may be expected while one is valid.

        At a low rate it is none, as permits asked for ahead would mostly expire unused. Permits of
        cold endpoints aren't asked for ahead either while a warm one is little used.
        """
        bounded = [e for e in limited if self.permits.is_bounded(e)]
        if bounded:
            expected = math.floor(rates.arrivals_per_ms() * COLD_PERMIT_LIFETIME_MS)
            if self._is_any_little_used(endpoints, slots):
                expected = 0
            free = [e for e in bounded if limit is None or self._occupancy(e) < limit]
            self.permits.ask(free, expected, needed, self._occupancy)
        others = [e for e in limited if not self.permits.is_bounded(e)] if bounded else limited
        if others:
            expected = math.floor(rates.arrivals_per_ms() * PERMIT_LIFETIME_MS)
            self.permits.ask(others, expected, needed)

    def _occupancy(self, endpoint):
        return self.load_tracker.occupancy(endpoint.id)

    def crowded_heads(self):
        """Return the ids of the heads of models that are much used, or for which requests wait.

        Heads that answer faster than they may be guarded aren't: that would cost their capacity.
        """
        crowded = set()
        for (service, model_name), queue in self.queues.items():
            spec = self._service_spec(service)
            rate = self.permits.limits.cold.rates.get(service)
            if rate is None or spec is None or spec.engine is None:
                continue
            engine, model = spec.engine, spec.engine.model(model_name)
            heads = self.replica_view.all_heads(service).get(model_name, ())
            if model is None or not heads:
                continue
            duration_ms = self.estimator(service, engine, model).duration_ms()
            if engine.slots / duration_ms * MS_PER_S > rate.guarded_per_s:
                continue
            load = sum(map(self._occupancy, heads)) / (engine.slots * len(heads))
            if queue.waiting or load > CROWDED:
                crowded.update(head.id for head in heads)
        return crowded

    def _service_spec(self, service):
        config = self.replica_view.active_config.config
        return config.services.get(service) if config is not None else None

    def _is_any_little_used(self, endpoints, slots):
        """Return whether an endpoint that takes requests without permits has much room."""
        return any(
            self.load_tracker.occupancy(e.id) < LITTLE_USED * (slots or e.slots)
            for e in endpoints
            if not self.permits.is_limited(e)
        )

    def _needed(self, endpoints, waiting):
        """Return how many permits are needed now, with one for the request in hand."""
        all_limited = len(self.permits.limited(endpoints)) == len(endpoints)
        return max(waiting, 1) if all_limited else waiting

    def assign_waiting(self):
        """Assign endpoints to waiting requests, as a permit may be used now."""
        for queue in self.all_queues():
            if queue.waiting:
                queue.assign()

    def update_access(self):
        """Reroute, refuse or dispatch waiting requests, as the endpoints that may get any changed.

        Earlier dispatches tell nothing of the endpoints that are left.
        """
        for queue in self.all_queues():
            queue.rates.forget_throughput()
            queue.dispatch()

    def end_by(self, end_ms):
        """Assign endpoints only to requests whose answers are expected by `end_ms`."""
        self.end_ms = end_ms
        for queue in self.all_queues():
            queue.end_by(end_ms)

    def all_queues(self):
        """Return the queues of all models and services."""
        return [*self.queues.values(), *self.plain_queues.values()]

    def held_for_ms(self, endpoints):
        """Return how long none of the endpoints takes requests; 0.0 if one does or none exist."""
        waits_ms = (
            max(
                self.load_tracker.held_for_ms(e),
                0.0 if self.permits.is_guarded(e) else self.permits.wait_ms(e),
            )
            for e in endpoints
        )
        return min(waits_ms, default=0.0)

    def _daemon_counts(self):
        """Return how many daemons, including this one, choose among the same endpoints."""
        return {
            "daemons": self.peers.fleet_size(),
            "zone_daemons": self.peers.zone_size(),
        }

    def plain_endpoints(self, context):
        """Return the endpoints of a service without an engine that may get requests."""
        return self._plain_endpoints(context.service.name)

    def _plain_endpoints(self, service):
        return self.access.allowed(self._accepting_plain(service))

    def _accepting_plain(self, service):
        return [e for e in self.directory.endpoints(service) if not e.leaving]

    def _check_plain_access(self, service):
        return self.access.refusal_of_all(self._accepting_plain(service))

    def pick_plain_endpoint(self, context, excluded):
        """Return an endpoint of a service without an engine and count the request, or None."""
        return self._pick_plain(context.service.name, excluded, context.can_fail_over())

    def refuse_plain(self, context):
        """Return the `Refusal` of a request for which no endpoint accepts requests."""
        return self._check_plain_access(context.service.name) or Refusal(
            "no endpoint", self.held_for_ms(self.plain_endpoints(context)) or PLAIN_RETRY_AFTER_MS
        )

    def _pick_plain(self, service, excluded, may_repeat):
        in_reach = self.in_reach(self._plain_endpoints(service), may_repeat)
        accepting = self.load_tracker.accepting(in_reach)
        endpoints = [e for e in accepting if e.id not in excluded]
        queue = self.plain_queues.get(service)
        waiting = len(queue.waiting) if queue is not None else 0
        return self._choose(endpoints, self._plain_rates(service), waiting)

    def record_plain_arrival(self, service):
        """Count a request for a service without an engine."""
        self._plain_rates(service).record_arrival()

    def _plain_rates(self, service):
        rates = self.plain_rates.get(service)
        if rates is None:
            rates = self.plain_rates[service] = QueueRates(self.clock, lambda: 0.0)
        return rates

    def waits_for_permits(self, context):
        """Return whether a request for a service without an engine may wait for a permit."""
        endpoints = [e for e in self.plain_endpoints(context) if e.id not in context.excluded]
        queue = self.plain_queues.get(context.service.name)
        return self._are_limited(endpoints) or bool(queue is not None and queue.waiting)

    def plain_queue(self, service):
        """Return the queue of requests that wait for permits of a service without an engine."""
        queue = self.plain_queues.get(service)
        if queue is None:
            queue = self.plain_queues[service] = AdmissionQueue(
                self.clock,
                lambda queued: self._pick_plain(service, queued.excluded, queued.may_repeat),
                lambda: bool(self._plain_endpoints(service)),
                lambda: self._plain_capacity_per_ms(service),
                lambda: self.held_for_ms(self._plain_endpoints(service)),
            )
            queue.is_limited = lambda: True
            queue.release_endpoint = lambda endpoint, queued: self.release(
                endpoint, None, queued.work
            )
            queue.check_access = lambda: self._check_plain_access(service)
            self._share(queue)
            queue.end_ms = self.end_ms
        return queue

    def plain_queued_request(self, context):
        """Return the `QueuedRequest` of a request for a service without an engine."""
        goal_ms = context.route.goal_ms or DEFAULT_GOAL_MS
        deadline_cutoff_ms = context.deadline_ms - goal_ms
        return QueuedRequest(
            priority=context.priority,
            arrived_ms=self.clock.now_ms(),
            goal_cutoff_ms=min(
                context.started_ms + goal_ms * PLAIN_WAIT_FRACTION, deadline_cutoff_ms
            ),
            deadline_cutoff_ms=deadline_cutoff_ms,
            answer_ms=goal_ms,
            resumed=context.resumed,
            may_repeat=context.can_fail_over(),
            excluded=context.excluded,
            parts=context.metadata.blamed_parts,
            account=context.account.name if context.account else "",
            request_class=context.route.name,
        )

    def _plain_capacity_per_ms(self, service):
        endpoints = self._plain_endpoints(service)
        capacity = sum(self._rate_per_ms(e, e.slots / DEFAULT_GOAL_MS) for e in endpoints)
        return self._own_share(endpoints) * capacity

    def release(self, endpoint, queue=None, work=None):
        """Remove a request that has ended from its endpoint's count."""
        self.load_tracker.end_work(endpoint.id, work if work is not None else NO_WORK)
        if queue is not None and queue.waiting:
            queue.assign()
