"""Lines, paces and choices of all services: which endpoint a request goes to, and when."""

from ._admission import Waiter, WaitingLine
from ._choice import choose_endpoint
from ._pace import EnginePace

LEAST_ANSWER_PART = 0.5  # of the usual answer's time; a shorter rest is not worth a send
DEFAULT_GOAL_MS = 500.0


class Dispatcher:
    """Gives requests their endpoints.

    Parameters
    ----------
    directory : EndpointDirectory
    view : ReplicaView
    load_book : LoadBook
    peers : PeerTable
    zone : str
        Own availability zone.
    clock : Clock
    """

    def __init__(self, directory, view, load_book, peers, zone, clock):
        self.directory = directory
        self.replica_view = view
        self.load_book = load_book
        self.peers = peers
        self.zone = zone
        self.clock = clock
        self.lines = {}
        self.paces = {}

    def waiter(self, job, pace, engine):
        """Return the `Waiter` of a request for an engine."""
        facts, route = job.facts, job.route
        running = engine.slots
        first_ms = pace.first_event_ms(facts.prompt_tokens, running)
        tokens = facts.length_hint or min(
            facts.max_output_tokens or 1e9, engine.typical_answer_tokens
        )
        needed_ms = first_ms + pace.answer_ms(tokens, running) * LEAST_ANSWER_PART
        return Waiter(
            priority=job.priority,
            arrived_ms=self.clock.now_ms(),
            on_time_ms=job.started_ms + (route.goal_ms or DEFAULT_GOAL_MS) - first_ms,
            useful_ms=job.deadline_ms - needed_ms,
            # Its caller has waited for an endpoint already, and may have a part of the answer.
            resumed=job.sends > 0,
            excluded=job.excluded,
        )

    def line(self, service, engine, model):
        """Return the line of a model, a new one if need be."""
        key = (service, model.name)
        line = self.lines.get(key)
        if line is None:
            line = self.lines[key] = WaitingLine(
                self.clock,
                lambda waiter: self._pick_replica(service, engine, model.name, waiter),
                lambda: bool(self.replica_view.available_heads(service, model.name)),
                lambda: self._capacity_per_ms(service, engine, model),
            )
        return line

    def _capacity_per_ms(self, service, engine, model):
        """Return how many requests a ms the open replicas can take from this daemon."""
        heads = self.replica_view.available_heads(service, model.name)
        own = sum(self.load_book.entry(head.id).own for head in heads)
        others = sum(self.peers.peer_requests_at(head.id) for head in heads)
        daemons = 1 + self.peers.reporting_daemons()
        part = (own + 1) / (own + others + daemons)
        taken_ms = self.pace(service, engine, model).taken_ms()
        return part * len(heads) * engine.slots / taken_ms

    def pace(self, service, engine, model):
        """Return the one estimate of a model's times, a new one when it is declared anew."""
        pace = self.paces.get((service, model.name))
        if pace is None or pace.engine != engine:
            pace = self.paces[(service, model.name)] = EnginePace(engine, model)
        return pace

    def _pick_replica(self, service, engine, model, waiter):
        heads = self.replica_view.available_heads(service, model)
        heads = [h for h in heads if h.id not in waiter.excluded] or heads
        limit = engine.slots + 1
        endpoint = choose_endpoint(
            heads,
            self.load_book,
            self.zone,
            engine.slots,
            limit,
            **self._rivals(),
        )
        if endpoint is not None:
            self.load_book.entry(endpoint.id).own += 1
        return endpoint

    def _rivals(self):
        """Return how many daemons choose at the same time as this one."""
        return {
            "daemons": self.peers.fleet_size(),
            "zone_daemons": self.peers.zone_size(),
        }

    def plain_endpoints(self, job):
        """Return the endpoints of a plain service that may get a request."""
        return [e for e in self.directory.endpoints(job.service.name) if not e.leaving]

    def pick_plain(self, job):
        """Return an endpoint of a plain service and count the request there, or None."""
        endpoints = [e for e in self.plain_endpoints(job) if e.id not in job.excluded]
        endpoint = choose_endpoint(endpoints, self.load_book, self.zone, **self._rivals())
        if endpoint is not None:
            self.load_book.entry(endpoint.id).own += 1
        return endpoint

    def release(self, endpoint, line=None):
        """Take a request that has ended off its endpoint's count."""
        self.load_book.entry(endpoint.id).own -= 1
        if line is not None and line.waiting:
            line.pump()
