"""Queueing, ordering and rejection of requests for a model.

Handles bursts that exceed the capacity of the open replicas, and periods with few replicas.
"""

import asyncio
import math
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S

from ._fair_admission import FairAdmission
from ._promised_places import MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS
from ._queue_rates import QueueRates
from ._waiting_requests import WaitingRequests
from ._work import RequestWork

MAX_WAIT_WITHOUT_REPLICA_MS = 350.0  # about the time to form a replica of staged VMs
MAX_RESUMED_WAIT_MS = 1_500.0  # callers abandon a stream after a pause of two seconds
OVERLOAD_RETRY_AFTER_MS = 1_200.0  # most of a typical answer: slots are freed by then
NO_REPLICA_RETRY_AFTER_MS = 1_000.0
QUEUE_CHECK_INTERVAL_MS = 50.0


@dataclass(eq=False)
class QueuedRequest:
    """A request that waits for a replica.

    Parameters
    ----------
    priority : int
        Priority of its account or route; 0 is first.
    goal_cutoff_ms : float
        Latest time to send it for an answer within its goal; not after `deadline_cutoff_ms`.
    deadline_cutoff_ms : float
        Latest time to send it for an answer before its deadline.
    parts : tuple of str
        Parts of its prompt that other requests may hold as well.
    resumed : bool
        Whether an earlier attempt failed; such a request is not refused for overload.
    may_repeat : bool
        Whether it may be sent again if the next attempt fails.
    decision : asyncio.Future or None
        Resolves to an endpoint or a `Refusal`.
    answer_ms : float
        Expected time from sending it to the end of its answer.
    only_others : bool
        Whether it may go to none of the `excluded` endpoints, not even for want of others.
    work : RequestWork
        What it brings to an engine.
    account : str
        Client account; empty for an anonymous caller.
    request_class : str
        Requests with about the same goal and work, such as those of a route.
    goal_margin_ms : float
        Time before `goal_cutoff_ms` from which it counts as late.
    promised : bool
        Whether its caller returned at the time it was told, and a place was kept for it.
    """

    priority: int
    arrived_ms: float
    goal_cutoff_ms: float
    deadline_cutoff_ms: float
    resumed: bool = False
    may_repeat: bool = True
    excluded: set = field(default_factory=set)
    parts: tuple = ()
    decision: asyncio.Future | None = None
    answer_ms: float = 0.0
    only_others: bool = False
    work: RequestWork = field(default_factory=RequestWork)
    account: str = ""
    request_class: str = ""
    goal_margin_ms: float = 0.0
    promised: bool = False

    @property
    def on_time_until_ms(self):
        """Time from which it counts as late."""
        return self.goal_cutoff_ms - self.goal_margin_ms

    def limit_to(self, end_ms):
        """Lower the cutoffs so that the answer is expected to be complete at `end_ms`."""
        self.deadline_cutoff_ms = min(self.deadline_cutoff_ms, end_ms - self.answer_ms)
        self.goal_cutoff_ms = min(self.goal_cutoff_ms, self.deadline_cutoff_ms)


@dataclass(frozen=True)
class Refusal:
    """Rejection of a request by the admission queue."""

    reason: str
    retry_after_ms: float


PATHS_LOST = Refusal("paths lost", 0.0)  # the request has to be routed anew


def queue_order(queued, now_ms):
    """Return the sort key of a queued request.

    Resumed requests come first, then those of higher priority; among equals, those that can
    still meet their goal come before late ones.
    """
    late = now_ms > queued.goal_cutoff_ms
    cutoff_ms = queued.deadline_cutoff_ms if late else queued.goal_cutoff_ms
    return (not queued.resumed, queued.priority, late, cutoff_ms)


class AdmissionQueue:
    """Requests for one model that wait in this daemon.

    Parameters
    ----------
    clock : Clock
    pick_endpoint : callable
        Takes a `QueuedRequest`, returns a free endpoint or None.
    has_replica : callable
        Returns whether any replica of the model serves.
    capacity_per_ms : callable
        Returns how many requests per ms the replicas can accept from this daemon.
    held_for_ms : callable
        Returns how long all replicas want no requests from this daemon; 0.0 if any takes them.

    Attributes
    ----------
    release_endpoint : callable
        Takes an endpoint that was picked and won't be used, and the `QueuedRequest`.
    is_limited : callable
        Returns whether limits that endpoints name bound the throughput.
    check_access : callable
        Returns the `Refusal` of all requests if there are endpoints but none may get any, or None.
    is_forming : callable
        Returns whether a replica of the model is being formed.
    is_shared : callable
        Returns whether several client accounts share the queue.
    end_ms : float
        Time by which all answers have to be complete; infinite unless the daemon drains.
    """

    def __init__(self, clock, pick_endpoint, has_replica, capacity_per_ms, held_for_ms=lambda: 0.0):
        self.clock = clock
        self.pick_endpoint = pick_endpoint
        self.has_replica = has_replica
        self.held_for_ms = held_for_ms
        self.release_endpoint = lambda endpoint, queued: None
        self.is_limited = lambda: False
        self.check_access = lambda: None
        self.is_forming = lambda: False
        self.is_shared = lambda: False
        self.promised_ms = -1e12
        self.end_ms = math.inf
        self.waiting = WaitingRequests()
        self.rates = QueueRates(clock, capacity_per_ms)
        self.fair = FairAdmission(clock, self.waiting, self.rates)
        self.no_replica_since_ms = None

    def expected_wait_ms(self, queued):
        """Return the expected wait of a request, or None when it will not be served.

        Requests that can meet their goal precede late ones, so a request that becomes late
        gets only the throughput that those leave.
        """
        now = self.clock.now_ms()
        if self.waiting.lines is not None:
            return self.fair.expected_wait_ms(queued)
        self.waiting.advance(now)
        wait_ms = self.waiting.ahead_of(queued, now) / self.rates.throughput_per_ms()
        if now + wait_ms <= queued.goal_cutoff_ms:
            return wait_ms
        spare = self.rates.spare_throughput_per_ms()
        if not spare:
            return None
        return max(wait_ms, self.waiting.late_ahead_of(queued) / spare)

    def check_refusal(self, queued):
        """Return the `Refusal` of a request that can't be served, or None."""
        denied = self.check_access()
        if denied is not None:
            return denied
        held = self._check_held(queued)
        if held is not None:
            return held
        now = self.clock.now_ms()
        no_replica_ms = 0.0 if self.no_replica_since_ms is None else now - self.no_replica_since_ms
        if queued.resumed:
            return None
        if no_replica_ms > MAX_WAIT_WITHOUT_REPLICA_MS and not self.has_replica():
            return Refusal("no replica serves the model", NO_REPLICA_RETRY_AFTER_MS)
        wait_ms = self.expected_wait_ms(queued)
        if wait_ms is None and self.is_limited():
            return Refusal("endpoints at their limits", self._retry_after_ms(queued, None))
        if wait_ms is None:
            return Refusal("overloaded", self._retry_after_ms(queued, OVERLOAD_RETRY_AFTER_MS))
        if now + wait_ms > queued.deadline_cutoff_ms:
            retry_after_ms = max(MIN_RETRY_AFTER_MS, wait_ms / 2)
            return Refusal("can't be served in time", self._retry_after_ms(queued, retry_after_ms))
        return None

    def _retry_after_ms(self, queued, default_ms):
        """Return the time told to a refused caller; None by default stands for a place."""
        if self.waiting.lines is not None:
            return self.fair.promise(queued)
        return self._promise_place(self.clock.now_ms()) if default_ms is None else default_ms

    def _promise_place(self, now):
        """Return the time until a place is free behind the waiting requests and earlier promises.

        Each refused caller gets a place of its own, so that they don't come back together. Places
        too far ahead are not promised; then those promised first are promised again.
        """
        interval_ms = 1.0 / self.rates.throughput_per_ms()
        earliest_ms = now + max(MIN_RETRY_AFTER_MS, (len(self.waiting) + 1) * interval_ms)
        self.promised_ms = max(self.promised_ms + interval_ms, earliest_ms)
        if self.promised_ms > now + MAX_RETRY_AFTER_MS:
            self.promised_ms = earliest_ms
        return self.promised_ms - now

    def _check_held(self, queued):
        """Return a `Refusal` if all replicas refuse for longer than the request can wait."""
        held_ms = self.held_for_ms()
        if not held_ms:
            return None
        too_late = self.clock.now_ms() + held_ms > queued.deadline_cutoff_ms
        if too_late or (queued.resumed and held_ms > MAX_RESUMED_WAIT_MS):
            return Refusal("all replicas refuse requests", held_ms)
        return None

    async def acquire(self, queued):
        """Return an endpoint for the request, or a `Refusal`."""
        queued.limit_to(self.end_ms)
        self.rates.record_arrival()
        self.waiting.share(self.is_shared())
        if self.waiting.lines is not None:
            self.fair.record_arrival(queued)
        self._update_no_replica_since(self.clock.now_ms())
        endpoint = None if self.waiting else self.pick_endpoint(queued)
        if endpoint is not None:
            self._record_dispatch(queued)
            return endpoint
        if self.waiting.lines is not None:
            self.fair.take_place(queued)
        refusal = self.check_refusal(queued)
        if refusal is not None:
            return refusal
        queued.decision = asyncio.get_running_loop().create_future()
        self.waiting.add(queued, self.clock.now_ms())
        self.assign()
        try:
            return await queued.decision
        except asyncio.CancelledError:
            self._give_back(queued)
            raise
        finally:
            if queued in self.waiting:
                self.waiting.remove(queued)

    def _give_back(self, queued):
        """Release the endpoint of a request whose caller left when it was just assigned."""
        decision = queued.decision
        if decision.done() and not decision.cancelled():
            endpoint = decision.result()
            if not isinstance(endpoint, Refusal):
                self.release_endpoint(endpoint, queued)

    def assign(self):
        """Assign free endpoints to waiting requests in order.

        Ends at the first request that may go to any endpoint and finds none.
        """
        self.waiting.advance(self.clock.now_ms())
        for queued in self.waiting.in_order():
            if queued.decision.done():
                continue
            endpoint = self.pick_endpoint(queued)
            if endpoint is not None:
                self._record_dispatch(queued)
                self._decide(queued, endpoint)
            elif not queued.excluded:
                return

    def _record_dispatch(self, queued):
        self.rates.record_dispatch()
        if self.waiting.lines is not None:
            self.fair.record_dispatch(queued)

    def dispatch(self):
        """Assign free endpoints to waiting requests, and refuse those that can't be served."""
        now = self.clock.now_ms()
        self._update_no_replica_since(now)
        self.assign()
        any_refused = self.no_replica_since_ms is not None or self.held_for_ms() > 0.0
        any_refused = any_refused or self.check_access() is not None
        for queued in list(self.waiting.in_order()) if any_refused else self._expirable(now):
            if queued.decision.done():
                continue
            refusal = self._check_expired(queued, now)
            if refusal is not None:
                self._decide(queued, refusal)

    def reject(self, is_rejected, refusal):
        """Refuse the waiting requests for whose parts `is_rejected` returns True."""
        for queued in list(self.waiting.in_order()):
            if is_rejected(queued.parts) and not queued.decision.done():
                self._decide(queued, refusal)

    def end_by(self, end_ms):
        """Serve only requests whose answers are expected to be complete at `end_ms`.

        Parameters
        ----------
        end_ms : float
            Monotonic time in ms.
        """
        self.end_ms = end_ms
        now = self.clock.now_ms()
        for queued in list(self.waiting.in_order()):
            self.waiting.remove(queued)
            queued.limit_to(end_ms)
            self.waiting.add(queued, now)
        self.dispatch()

    def _expirable(self, now):
        """Return the requests that time alone may have made impossible to serve."""
        self.waiting.advance(now)
        return self.waiting.late()

    def _decide(self, queued, decision):
        queued.decision.set_result(decision)
        self.waiting.remove(queued)

    def _check_expired(self, queued, now):
        if now > queued.deadline_cutoff_ms:
            reason = "waited too long" if self.end_ms == math.inf else "draining"
            return Refusal(reason, MIN_RETRY_AFTER_MS)
        denied = self.check_access()
        if denied is not None:
            return denied
        if self._replica_wait_exceeded(queued, now):
            return Refusal("no replica serves the model", NO_REPLICA_RETRY_AFTER_MS)
        if now > queued.on_time_until_ms:
            return self.check_refusal(queued)
        return self._check_held(queued)

    def _update_no_replica_since(self, now):
        if self.has_replica():
            self.no_replica_since_ms = None
        elif self.no_replica_since_ms is None:
            self.no_replica_since_ms = now

    def _replica_wait_exceeded(self, queued, now):
        if self.no_replica_since_ms is None:
            return False
        if queued.resumed and self.is_forming():
            return False
        max_wait_ms = MAX_RESUMED_WAIT_MS if queued.resumed else MAX_WAIT_WITHOUT_REPLICA_MS
        return now - max(self.no_replica_since_ms, queued.arrived_ms) > max_wait_ms


async def dispatch_periodically(queues, clock):
    """Dispatch all queues at intervals, as requests also expire while nothing else happens."""
    while True:
        await asyncio.sleep(QUEUE_CHECK_INTERVAL_MS / MS_PER_S)
        for queue in list(queues.values()):
            if queue.waiting or queue.no_replica_since_ms is not None:
                queue.dispatch()
