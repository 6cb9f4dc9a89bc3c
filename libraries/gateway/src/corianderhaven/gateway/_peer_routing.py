"""Way of one request by other daemons, which reach endpoints that this daemon can't."""

import asyncio

from corianderhaven.common import MS_PER_S

from ._request_context import NOT_RUN_RESULTS, AttemptResult
from ._silence_detector import STALL_MS

MAX_FORWARDS = 4  # per request, including peers that don't take it
NO_PATH = "no path to the endpoints"


class PeerRouting:
    """Has peers serve one request.

    Parameters
    ----------
    gateway : Gateway
    context : RequestContext
    streaming : bool
    """

    def __init__(self, gateway, context, streaming):
        self.gateway = gateway
        self.context = context
        self.streaming = streaming
        self.forwarder = gateway.forwarder

    async def is_served(self):
        """Return whether the request has ended here, as only a peer can send it to an endpoint."""
        context, gateway = self.context, self.gateway
        if not gateway.dispatcher.lacks_path(context):
            may_overflow = context.origin is None and not context.overflowed
            return may_overflow and await self._is_overflow_served()
        if context.origin is None:
            await self.serve()
        elif context.attempt_results:
            await gateway.end_unserved(context, NO_PATH)
        else:
            context.outcome = f"declined: {NO_PATH}"
            await gateway.decline(context.caller, NO_PATH)
        return True

    async def _is_overflow_served(self):
        """Return whether a peer has served a request for which the endpoints in reach are full.

        If none takes it, or the peer's answer breaks off, it waits for these.
        """
        context = self.context
        if not self.gateway.dispatcher.prefers_peer(context):
            return False
        context.overflowed = True
        target = self.forwarder.pick(context.service.name)
        if target is None:
            return False
        forward = self.forwarder.begin(context, target)
        result = await self._complete(forward)
        if forward.replacement is not None:
            await self.serve(forward.replacement)
            return True
        if result in NOT_RUN_RESULTS:
            return False
        if result is AttemptResult.COMPLETE:
            context.outcome = "complete"
            return True
        if result is AttemptResult.BROKEN and self._may_repeat(result):
            return False
        reason = f"forward {result.value}"
        await self.gateway.end_unserved(context, reason, forward.retry_after_ms)
        return True

    async def prepare(self):
        """Return a `Forward` that has brought what comes next, or None."""
        context, budget = self.context, self.gateway.retry_budget
        target = self.forwarder.pick(context.service.name, context.declined_by)
        if target is None or not budget.try_spend(context.service.name):
            return None
        forward = self.forwarder.begin(context, target)
        forward.leaves_silent = True  # the silent attempt stays open
        result = None
        try:
            result = await self.forwarder.prepare(forward, self.streaming, ahead=True)
        finally:
            if result is not AttemptResult.COMPLETE:
                self.forwarder.end(forward, result)
        if result is AttemptResult.COMPLETE:
            return forward
        self._record(forward, result)
        return None

    async def serve(self, prepared=None):
        """Have peers serve the request until it has ended, beginning with a prepared `Forward`."""
        context = self.context
        forward = prepared
        while True:
            if forward is None:
                target = self.forwarder.pick(context.service.name, context.declined_by)
                if target is None:
                    await self.gateway.end_unserved(context, NO_PATH)
                    return
                forward = self.forwarder.begin(context, target)
            result = await self._complete(forward)
            if result is AttemptResult.COMPLETE:
                context.outcome = "complete"
                return
            if forward.replacement is None and not self._may_forward_again(result):
                reason = f"forward {result.value}"
                await self.gateway.end_unserved(context, reason, forward.retry_after_ms)
                return
            forward = forward.replacement

    async def _complete(self, forward):
        """Have a peer serve the request, and return the result."""
        forward.find_other = lambda: self._find_other(forward)
        forward.leaves_silent = False
        result = AttemptResult.COMPLETE if forward.is_ready else None
        try:
            if not forward.is_ready:
                result = await self.forwarder.prepare(forward, self.streaming)
            if result is AttemptResult.COMPLETE:
                result = await self.forwarder.deliver(forward, self.streaming)
        finally:
            self.forwarder.end(forward, result)
        self._record(forward, result)
        return result

    def _record(self, forward, result):
        self.context.attempt_results.append((forward.target.id, result.value))
        if result is not AttemptResult.COMPLETE:
            self.context.declined_by.add(forward.target.id)

    async def _find_other(self, forward):
        """Return a prepared `Forward` to a peer other than a silent one, or None."""
        context = self.context
        tried = context.declined_by | {forward.target.id}
        if len(tried) >= MAX_FORWARDS or not context.can_retry(AttemptResult.SILENT):
            return None
        context.declined_by.add(forward.target.id)
        try:
            async with asyncio.timeout(STALL_MS / MS_PER_S):
                return await self.prepare()
        except TimeoutError:
            return None

    def _may_forward_again(self, result):
        context = self.context
        if result in (AttemptResult.NOT_SENT, AttemptResult.DECLINED):
            return len(context.declined_by) < MAX_FORWARDS
        if result in (AttemptResult.NOT_RUN, AttemptResult.FAILED):
            return False  # the peer's answer is final
        return len(context.declined_by) < MAX_FORWARDS and self._may_repeat(result)

    def _may_repeat(self, result):
        """Return whether the request may be sent once more, and count it against the budget."""
        if not self.context.can_retry(result):
            return False
        return self.gateway.retry_budget.try_spend(self.context.service.name)
