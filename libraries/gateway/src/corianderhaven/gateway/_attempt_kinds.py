"""Attempts of a request by the kind of its service."""

from abc import ABC, abstractmethod
from collections import defaultdict

from corianderhaven.scheduling import Refusal

from ._dispatcher import DEFAULT_GOAL_MS
from ._request_context import AttemptResult

RETRY_AT_GOAL_FRACTION = 0.7  # of the goal; leaves time for another endpoint's typical answer


class BaseAttempts(ABC):
    """Attempts of a request by the kind of its service.

    Parameters
    ----------
    gateway : Gateway
    context : RequestContext
    """

    streaming = False

    def __init__(self, gateway, context):
        self.gateway = gateway
        self.context = context
        self.sender = gateway.sender
        self.crash_guard = gateway.crash_guard
        self.clock = gateway.clock

    @abstractmethod
    async def acquire(self, excluded=None, only_others=False):
        """Return an endpoint and count the request there, or a `Refusal`.

        Parameters
        ----------
        excluded : set of str or None
            Endpoints that are chosen for want of others only; those tried before by default.
        only_others : bool
            Whether these are not chosen in any case.
        """

    @abstractmethod
    def begin(self, endpoint, replaces=None):
        """Return an attempt at an endpoint that was acquired."""

    @abstractmethod
    async def prepare(self, attempt):
        """Send the request and read until the caller's answer can begin; return the result."""

    @abstractmethod
    async def deliver(self, attempt):
        """Answer the caller from a prepared attempt; return the result."""

    @abstractmethod
    def release(self, endpoint):
        """Remove the request from an endpoint's count."""

    @abstractmethod
    async def record(self, attempt, result):
        """Record what the result tells of the request."""

    def is_serving(self, endpoint):
        """Return whether an endpoint is expected to finish what it has begun."""
        return True

    def end(self, attempt):
        """Release what an attempt holds."""
        self.sender.end(attempt)
        attempt.opening.finish()
        self.release(attempt.endpoint)

    def overdue_ms(self):
        """Return the time after which to look for a replacement; None if events show it."""
        return


class StreamAttempts(BaseAttempts):
    """Attempts of a streamed request at the heads of replicas."""

    streaming = True

    def __init__(self, gateway, context, engine):
        super().__init__(gateway, context)
        self.engine = engine
        self.model = engine.model(context.metadata.model)
        dispatcher, service = gateway.dispatcher, context.service.name
        self.estimator = dispatcher.estimator(service, engine, self.model)
        self.queue = dispatcher.queue(service, engine, self.model)
        # Work counted at each endpoint by the attempts there.
        self.works = defaultdict(list)

    async def acquire(self, excluded=None, only_others=False):
        """Return the head of a replica once one is free, or a `Refusal`."""
        context = self.context
        refusal = self._check_parts()
        if refusal is not None:
            return refusal
        queued_ms = self.clock.now_ms()
        queued = self.gateway.dispatcher.queued_request(context, self.estimator, self.engine)
        if excluded is not None:
            queued.excluded, queued.only_others = excluded, only_others
        endpoint = await self.queue.acquire(queued)
        if excluded is None:
            context.waited_ms += self.clock.now_ms() - queued_ms
        if isinstance(endpoint, Refusal):
            return endpoint
        self.works[endpoint.id].append(queued.work)
        # What is known may have changed meanwhile.
        refusal = self.gateway.check_drain(context) or self._check_parts()
        if refusal is None:
            return endpoint
        self.release(endpoint)
        return refusal

    def _check_parts(self):
        context = self.context
        if context.sound:
            return None

        def has_other_replica():
            view = self.gateway.replica_view
            return len(view.available_heads(context.service.name, self.model.name)) > 1

        return self.crash_guard.check(context.metadata, has_other_replica)

    def begin(self, endpoint, replaces=None):
        """Return an attempt at a head."""
        context = self.context
        goal_ms = context.route.goal_ms or DEFAULT_GOAL_MS
        late = self.clock.now_ms() > context.started_ms + goal_ms
        opening = self.crash_guard.begin(context.metadata, endpoint)
        attempt = self.sender.begin_streaming(
            context, endpoint, opening, self.estimator, late, replaces
        )
        record_head, work = attempt.on_head, self.works[endpoint.id][-1]

        def note_head():
            record_head()
            self.gateway.load_tracker.end_prefill(endpoint.id, work)

        attempt.on_head = note_head
        return attempt

    async def prepare(self, attempt):
        """Read the head of the answer, and the first event in a replacement."""
        return await self.sender.prepare_streaming(attempt)

    async def deliver(self, attempt):
        """Forward the events."""
        return await self.sender.deliver_streaming(attempt)

    def release(self, endpoint):
        """Remove the request from a head's count."""
        work = self.works[endpoint.id].pop()
        self.gateway.dispatcher.release(endpoint, self.queue, work)

    def is_serving(self, endpoint):
        """Return whether the endpoint heads a replica with all its members."""
        view = self.gateway.replica_view
        return view.heads_whole_replica(endpoint.id, self.context.service.name, self.model)

    async def record(self, attempt, result):
        """Record the duration of an answer, or that its endpoint broke it off."""
        if result is AttemptResult.COMPLETE:
            self.estimator.record_duration(self.clock.now_ms() - attempt.sent_ms)
            # An answer that ended with its connection may have been cut off.
            if attempt.ended_with_connection and not self.context.sound:
                await self.crash_guard.record_break(attempt.opening)
            else:
                attempt.opening.record_sound()
        elif result is AttemptResult.BROKEN:
            await self.crash_guard.record_break(attempt.opening)


class PlainAttempts(BaseAttempts):
    """Attempts of a request at a service without an engine."""

    async def acquire(self, excluded=None, only_others=False):
        """Return an endpoint, or a `Refusal`."""
        dispatcher, context = self.gateway.dispatcher, self.context
        excluded = context.excluded if excluded is None else excluded
        refusal = self._check_parts()
        if refusal is not None:
            return refusal
        if dispatcher.waits_for_permits(context):
            return await self._wait_for_permit(excluded)
        endpoint = dispatcher.pick_plain_endpoint(context, excluded)
        if endpoint is None and excluded is not context.excluded and not only_others:
            endpoint = dispatcher.pick_plain_endpoint(context, context.excluded)
        if endpoint is not None:
            return endpoint
        return dispatcher.refuse_plain(context)

    async def _wait_for_permit(self, excluded):
        dispatcher, context = self.gateway.dispatcher, self.context
        queue = dispatcher.plain_queue(context.service.name)
        queued_ms = self.clock.now_ms()
        queued = dispatcher.plain_queued_request(context)
        queued.excluded = excluded
        endpoint = await queue.acquire(queued)
        context.waited_ms += self.clock.now_ms() - queued_ms
        # What is known may have changed meanwhile.
        refusal = self.gateway.check_drain(context) or self._check_parts()
        if isinstance(endpoint, Refusal) or refusal is None:
            return endpoint
        self.release(endpoint)
        return refusal

    def _check_parts(self):
        def has_other_endpoint():
            return len(self.gateway.dispatcher.plain_endpoints(self.context)) > 1

        return self.crash_guard.check(self.context.metadata, has_other_endpoint)

    def begin(self, endpoint, replaces=None):
        """Return an attempt at an endpoint."""
        opening = self.crash_guard.begin(self.context.metadata, endpoint)
        return self.sender.begin_buffered(self.context, endpoint, opening, replaces)

    async def prepare(self, attempt):
        """Read the whole answer."""
        return await self.sender.prepare_buffered(attempt)

    async def deliver(self, attempt):
        """Forward the answer."""
        return await self.sender.deliver_buffered(attempt)

    def release(self, endpoint):
        """Remove the request from an endpoint's count."""
        self.gateway.dispatcher.release(endpoint)

    async def record(self, attempt, result):
        """Record whether the endpoint lived on."""
        if result in (AttemptResult.COMPLETE, AttemptResult.FAILED):
            attempt.opening.record_answer()
        elif result is AttemptResult.BROKEN:
            await self.crash_guard.record_break(attempt.opening)

    def overdue_ms(self):
        """Return the part of the goal that leaves time for another endpoint's answer."""
        return (self.context.route.goal_ms or DEFAULT_GOAL_MS) * RETRY_AT_GOAL_FRACTION
