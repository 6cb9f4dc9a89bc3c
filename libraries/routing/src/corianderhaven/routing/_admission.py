"""Admission control: priority classes, weighted fair queueing, queue limits and deadlines."""

import itertools
import threading
from collections import Counter
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S, CorianderhavenError, ErrorCode

from . import _metrics as metrics

POLL_PERIOD_MS = 50.0
DURATION_SMOOTHING = 0.1
MIN_RETRY_AFTER_MS = 200
EARLY_REFUSAL_FACTOR = 1.0


@dataclass
class Ticket:
    """A request that waits for or holds a slot of a deployment.

    Attributes
    ----------
    cost : float
        Requested number of tokens; the unit of weighted fair queueing.
    decided : threading.Event
        Set when the request has been admitted or refused.
    """

    account: str
    weight: float
    priority: int
    cost: float
    arrived_ms: float
    sequence: int
    decided: threading.Event = field(default_factory=threading.Event)
    admitted_ms: float = 0.0
    error: CorianderhavenError | None = None


class DeploymentQueue:
    """Waiting and running requests of one deployment at this daemon."""

    def __init__(self):
        self.waiting = []
        self.running = 0
        self.virtual_time = 0.0
        self.finish_tags = {}
        self.mean_duration_ms = None
        self.lock = threading.Lock()


class AdmissionController:
    """Admits requests in weighted fair order and refuses those that can't be served in time.

    Parameters
    ----------
    clock : Clock
    load_tracker : LoadTracker
    fair : bool
        If False, requests are served first come, first served.
    """

    def __init__(self, clock, load_tracker, fair=True):
        self.clock = clock
        self.load_tracker = load_tracker
        self.fair = fair
        self.queues = {}
        self.sequence_numbers = itertools.count()
        self.lock = threading.Lock()

    def admit(self, deployment, account, cost, slots, cancelled=lambda: False, waited_ms=0.0):
        """Wait until the request is admitted.

        Parameters
        ----------
        deployment : Deployment
        account : Account
        cost : float
            Requested number of tokens.
        slots : callable
            Returns the number of requests that this daemon may run now.
        cancelled : callable
            Returns whether the caller has disconnected.
        waited_ms : float
            Time that the request has already waited at another daemon; counts towards the
            queue deadline.

        Returns
        -------
        Ticket
            To be passed to `release`.

        Raises
        ------
        CorianderhavenError
            If the request is refused; the outcome is always ``not_run``, with a
            ``Retry-After``.
        """
        queue = self._queue(deployment.name)
        self._check_account(account)
        ticket = Ticket(
            account.name,
            account.weight,
            min(account.priority, deployment.priority),
            max(1.0, cost),
            self.clock.now_ms() - waited_ms,
            next(self.sequence_numbers),
        )
        self.load_tracker.add_account_requests(account.name, 1)
        try:
            self._enqueue(queue, ticket, deployment, slots())
            self._wait(queue, ticket, deployment, slots, cancelled)
        except CorianderhavenError as error:
            self.load_tracker.add_account_requests(account.name, -1)
            metrics.REFUSED.labels(error.code.text).inc()
            raise
        return ticket

    def release(self, deployment, ticket):
        """Release the slot of an admitted request."""
        queue = self._queue(deployment.name)
        self.load_tracker.add_account_requests(ticket.account, -1)
        duration = self.clock.now_ms() - ticket.admitted_ms
        with queue.lock:
            queue.running -= 1
            before = queue.mean_duration_ms if queue.mean_duration_ms is not None else duration
            queue.mean_duration_ms = before + DURATION_SMOOTHING * (duration - before)

    def _queue(self, name):
        with self.lock:
            return self.queues.setdefault(name, DeploymentQueue())

    def _check_account(self, account):
        share = self.load_tracker.account_share(account.name, account.max_in_flight)
        if self.load_tracker.account_counts.get(account.name, 0) >= share:
            metrics.REFUSED.labels(ErrorCode.ACCOUNT_LIMIT.text).inc()
            raise CorianderhavenError(
                ErrorCode.ACCOUNT_LIMIT,
                f"client account {account.name} has {int(share)} requests in flight here",
                retry_after_ms=MIN_RETRY_AFTER_MS * 5,
            )

    def _enqueue(self, queue, ticket, deployment, slots):
        with queue.lock:
            self._refuse_if_wait_too_long(queue, ticket, deployment, slots)
            if len(queue.waiting) >= deployment.limits.queue_length:
                self._evict_or_refuse(queue, ticket, slots)
            queue.waiting.append(ticket)

    def _refuse_if_wait_too_long(self, queue, ticket, deployment, slots):
        """Refuse a request whose expected wait exceeds the queue deadline."""
        if queue.mean_duration_ms is None or not queue.waiting:
            return
        ahead = sum(1 for other in queue.waiting if self._is_ahead(queue, other, ticket))
        wait_ms = (ahead + 1) * queue.mean_duration_ms / max(1, slots)
        if wait_ms > deployment.limits.queue_deadline_ms * EARLY_REFUSAL_FACTOR:
            raise _queue_full(wait_ms)

    def _is_ahead(self, queue, other, ticket):
        if not self.fair or other.account == ticket.account:
            return True
        if other.priority != ticket.priority:
            return other.priority < ticket.priority
        return self._weighted_waiting(queue, other) <= self._weighted_waiting(queue, ticket)

    def _weighted_waiting(self, queue, ticket):
        count = sum(1 for other in queue.waiting if other.account == ticket.account)
        return count / ticket.weight

    def _evict_or_refuse(self, queue, ticket, slots):
        """Make room in a full queue, or refuse `ticket`.

        Evicts the newest request of the lowest priority class if that is below the priority
        of `ticket`, else the newest one of the account with the most waiting requests
        relative to its weight, if that load exceeds the load of the account of `ticket`.
        Never evicts a request of a higher priority than that of `ticket`.
        """
        wait_ms = len(queue.waiting) * (queue.mean_duration_ms or 0.0) / max(1, slots)
        if not self.fair:
            raise _queue_full(wait_ms)
        counts = Counter(other.account for other in queue.waiting)
        weights = {other.account: other.weight for other in queue.waiting}
        lowest_priority = max(other.priority for other in queue.waiting)
        heaviest = max(counts, key=lambda account: counts[account] / weights[account])
        own_load = (counts[ticket.account] + 1) / ticket.weight
        if lowest_priority > ticket.priority:
            victims = [other for other in queue.waiting if other.priority == lowest_priority]
        elif counts[heaviest] / weights[heaviest] > own_load:
            victims = [
                other
                for other in queue.waiting
                if other.account == heaviest and other.priority >= ticket.priority
            ]
        else:
            victims = []
        if not victims:
            raise _queue_full(wait_ms)
        victim = max(victims, key=lambda other: other.sequence)
        queue.waiting.remove(victim)
        victim.error = _queue_full(wait_ms)
        victim.decided.set()

    def _wait(self, queue, ticket, deployment, slots, cancelled):
        deadline = ticket.arrived_ms + deployment.limits.queue_deadline_ms
        waiting = metrics.WAITING.labels(deployment.name)
        waiting.inc()
        try:
            while True:
                self._dispatch(queue, slots())
                remaining = deadline - self.clock.now_ms()
                pause_ms = max(0.0, min(POLL_PERIOD_MS, remaining))
                if ticket.decided.wait(pause_ms / MS_PER_S):
                    break
                if remaining <= 0 or cancelled():
                    self._refuse_waiting(queue, ticket)
                    break
        finally:
            waiting.dec()
        if ticket.error is not None:
            raise ticket.error

    def _refuse_waiting(self, queue, ticket):
        with queue.lock:
            if ticket.decided.is_set():
                return
            queue.waiting.remove(ticket)
            wait_ms = (len(queue.waiting) + 1) * (queue.mean_duration_ms or MIN_RETRY_AFTER_MS)
            ticket.error = CorianderhavenError(
                ErrorCode.QUEUE_TIMEOUT,
                "no slot within the queue deadline",
                retry_after_ms=_retry_after(wait_ms),
            )

    def _dispatch(self, queue, slots):
        with queue.lock:
            while queue.waiting and queue.running < slots:
                ticket = self._select_next(queue)
                queue.waiting.remove(ticket)
                queue.running += 1
                ticket.admitted_ms = self.clock.now_ms()
                ticket.decided.set()

    def _select_next(self, queue):
        """Return the ticket to admit next, by priority, then by start-time fair queueing."""
        if not self.fair:
            return min(queue.waiting, key=lambda ticket: ticket.sequence)
        ticket = min(
            queue.waiting,
            key=lambda t: (t.priority, self._start_tag(queue, t), t.sequence),
        )
        start = self._start_tag(queue, ticket)
        queue.virtual_time = max(queue.virtual_time, start)
        queue.finish_tags[ticket.account] = start + ticket.cost / ticket.weight
        return ticket

    def _start_tag(self, queue, ticket):
        return max(queue.virtual_time, queue.finish_tags.get(ticket.account, 0.0))


def _retry_after(wait_ms):
    return int(max(MIN_RETRY_AFTER_MS, wait_ms))


def _queue_full(wait_ms):
    return CorianderhavenError(
        ErrorCode.QUEUE_FULL, "the queue is full", retry_after_ms=_retry_after(wait_ms)
    )
