"""Attempts of one request: one after the other, or a replacement beside a silent one.

Silence is no proof that an endpoint is lost, so an attempt whose answer is overdue stays open while
another one is prepared elsewhere. Whichever brings what comes next goes on; nothing is given up
before its replacement is there.
"""

import asyncio

from corianderhaven.common import MS_PER_S
from corianderhaven.scheduling import PATHS_LOST, Refusal

from . import _metrics
from ._peer_forwarder import Forward
from ._peer_routing import PeerRouting
from ._request_context import AttemptResult

MAX_LOGGED_PARTS = 8
MAX_ATTEMPTS = 4  # per request, including failed connections
SEARCH_PAUSE_MS = 100.0  # between two tries to find a replacement; half of the shortest pause


class RequestRunner:
    """Serves one request by attempts until it has ended.

    Parameters
    ----------
    gateway : Gateway
    attempts : BaseAttempts
    """

    def __init__(self, gateway, attempts):
        self.gateway = gateway
        self.attempts = attempts
        self.context = attempts.context
        self.decisions = gateway.decisions
        self.peer_routing = PeerRouting(gateway, attempts.context, attempts.streaming)
        self.search = None
        self.search_is_sending = False
        self.is_search_last = False
        self.last_result = None

    async def run(self):
        """Make attempts until the request has ended."""
        try:
            while (attempt := await self._next_attempt()) is not None:
                result = await self._complete(attempt)
                if not await self._finish(attempt, result):
                    return
        finally:
            self._stop_search()

    async def _next_attempt(self):
        """Return the replacement if there is one, or a new attempt; None if the request ended."""
        if self.search is not None:
            self.is_search_last = True
            replacement = await self.search
            self.is_search_last = False
            self.search = None
            if isinstance(replacement, Forward):
                await self.peer_routing.serve(replacement)
                return None
            if replacement is not None:
                return replacement
            if not self._may_go_on(self.last_result):
                await self.gateway.end_unserved(self.context, f"send {self.last_result.value}")
                return None
        gateway, context = self.gateway, self.context
        while not await self.peer_routing.is_served():
            gateway.count(context)
            endpoint = await self.attempts.acquire()
            if endpoint is PATHS_LOST:
                continue
            if isinstance(endpoint, Refusal):
                await gateway.end_unserved(context, endpoint.reason, endpoint.retry_after_ms)
                return None
            return self.attempts.begin(endpoint)
        return None

    async def _complete(self, attempt):
        """Make an attempt up to its end and return the result."""
        attempt.on_silence = lambda: self._seek_replacement(attempt)
        attempt.on_progress = self._stop_search
        attempt.yields = lambda: self._yields(attempt)
        overdue = self._call_when_overdue(attempt)
        try:
            result = AttemptResult.COMPLETE
            if attempt.replaces is None:
                result = await self.attempts.prepare(attempt)
            if attempt.superseded:
                result = AttemptResult.SILENT
            if result is AttemptResult.COMPLETE:
                if not self.attempts.streaming:
                    self._stop_search()
                result = await self.attempts.deliver(attempt)
            await self.attempts.record(attempt, result)
            return result
        finally:
            if overdue is not None:
                overdue.cancel()
            self.attempts.end(attempt)

    def _call_when_overdue(self, attempt):
        """Return the timer after which an attempt without events is overdue, or None."""
        overdue_ms = self.attempts.overdue_ms()
        if overdue_ms is None:
            return None

        def note_overdue():
            if not self.context.can_retry(AttemptResult.SILENT):
                return
            self.gateway.load_tracker.record_result(attempt.endpoint.id, True)
            attempt.on_silence()

        return asyncio.get_running_loop().call_later(overdue_ms / MS_PER_S, note_overdue)

    async def _finish(self, attempt, result):
        """Record the result of an attempt, then return True to go on or end the request."""
        context, gateway = self.context, self.gateway
        self.last_result = result
        _metrics.ATTEMPTS.labels(context.service.name, result.value).inc()
        context.attempt_results.append((attempt.endpoint.id, result.value))
        if result is AttemptResult.COMPLETE:
            context.outcome = "complete"
            return False
        await self._record_failure(attempt, result)
        if self._has_replacement() or self._may_go_on(result):
            return True
        await gateway.end_unserved(context, f"send {result.value}")
        return False

    async def _record_failure(self, attempt, result):
        context, endpoint = self.context, attempt.endpoint
        self.decisions.record(
            "send_failed",
            request=context.metadata.request_id,
            endpoint=endpoint.id,
            result=result.value,
            reason=attempt.failure,
            replaced=attempt.replaces is not None,
            last_event=context.splitter.last_event_id,
            events=attempt.events,
            parts=context.metadata.shared_parts[:MAX_LOGGED_PARTS],
            whole_part=context.metadata.whole_part,
            budget=round(self.gateway.retry_budget.remaining(context.service.name), 1),
        )
        if attempt.denied and not attempt.sent:
            return  # this tells nothing of the endpoint
        context.excluded.add(endpoint.id)
        await self.gateway.note_failure(endpoint, result)

    def _has_replacement(self):
        """Return whether a replacement is ready or about to be; a search at rest is stopped."""
        if self.search is None:
            return False
        if self.search.done() or self.search_is_sending:
            return True
        self._stop_search()
        return False

    def _may_go_on(self, result):
        """Return whether another attempt may be made, and count it against the budget."""
        context = self.context
        if context.attempts >= MAX_ATTEMPTS or not context.can_retry(result):
            return False
        if not self._may_resume(result):
            return False
        if result is AttemptResult.NOT_SENT:
            return True
        return self.gateway.retry_budget.try_spend(context.service.name)

    def _may_resume(self, result):
        return result is not AttemptResult.BROKEN or self._may_risk_another()

    def _may_risk_another(self):
        """Return whether nothing speaks for it that the request ends its endpoints."""
        guard, parts = self.gateway.crash_guard, self.context.metadata.blamed_parts
        return self.context.sound or guard.may_resume(parts)

    def _seek_replacement(self, attempt):
        """Look for a replacement of an attempt whose answer is overdue, which stays open."""
        if self._has_search() or not self._may_search():
            return
        self.search = asyncio.get_running_loop().create_task(self._find_replacement(attempt))

    def _has_search(self):
        """Return whether a replacement is sought or found."""
        search = self.search
        if search is None or not search.done():
            return search is not None
        if search.cancelled() or search.exception() is not None:
            return False
        return search.result() is not None

    def _yields(self, attempt):
        """Return whether an attempt would soon break off, and a replacement has been sent.

        A replica that lost a member, or was dissolved, while its head was silent goes on for a
        moment only.
        """
        return self.search_is_sending and not self.attempts.is_serving(attempt.endpoint)

    def _may_search(self):
        context = self.context
        if not self._may_risk_another():
            return False  # the silence may be the end of an endpoint under this request
        return context.attempts < MAX_ATTEMPTS and context.can_retry(AttemptResult.SILENT)

    async def _find_replacement(self, silent):
        """Return an `Attempt` or `Forward` that has brought what comes next, None without any."""
        while self._may_search():
            tried = self.context.excluded | {silent.endpoint.id}
            if self.gateway.dispatcher.lacks_path(self.context, tried):
                replacement = await self._prepare_forward()
            else:
                replacement = await self._prepare_replacement(silent)
            if replacement is not None:
                silent.supersede()
                return replacement
            if self.is_search_last:
                return None  # the silent attempt has ended, so the request goes on otherwise
            await asyncio.sleep(SEARCH_PAUSE_MS / MS_PER_S)
        return None

    async def _prepare_forward(self):
        """Return a prepared `Forward` to a peer, as no path from here is left, or None."""
        if self.context.origin is not None:
            return None
        self.search_is_sending = True
        try:
            return await self.peer_routing.prepare()
        finally:
            self.search_is_sending = False

    async def _prepare_replacement(self, silent):
        """Return a prepared attempt at another endpoint, or None."""
        service, budget = self.context.service.name, self.gateway.retry_budget
        if budget.remaining(service) < 1.0:
            return None
        endpoint = await self._acquire_other(silent)
        if isinstance(endpoint, Refusal):
            return None
        if not self._may_search() or not budget.try_spend(service):
            self.attempts.release(endpoint)
            return None
        self.search_is_sending = True
        try:
            return await self._send_replacement(self.attempts.begin(endpoint, silent))
        finally:
            self.search_is_sending = False

    async def _acquire_other(self, silent):
        """Return another endpoint, or the same one if only its connection may be at fault."""
        tried = self.context.excluded | {silent.endpoint.id}
        return await self.attempts.acquire(tried, not silent.on_kept_connection)

    async def _send_replacement(self, attempt):
        result = None
        try:
            result = await self.attempts.prepare(attempt)
            if result is AttemptResult.COMPLETE:
                return attempt
            self.context.attempt_results.append((attempt.endpoint.id, result.value))
            await self._record_failure(attempt, result)
            await self.attempts.record(attempt, result)
            return None
        finally:
            if result is not AttemptResult.COMPLETE:
                self.attempts.end(attempt)

    def _stop_search(self):
        """Stop looking for a replacement, and end one that isn't needed any more."""
        search, self.search = self.search, None
        if search is None:
            return
        if not search.done():
            search.cancel()
        elif not search.cancelled() and search.exception() is None:
            replacement = search.result()
            if isinstance(replacement, Forward):
                self.gateway.forwarder.end(replacement)
            elif replacement is not None:
                self.attempts.end(replacement)
