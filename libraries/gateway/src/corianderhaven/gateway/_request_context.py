"""State of one request while it is handled."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from corianderhaven.common import connection_budgets

from ._event_stream import EventSplitter


class AttemptResult(Enum):
    """Result of one attempt at an endpoint.

    `NOT_SENT` means that no connection was made, `NOT_RUN` that the endpoint states that it did
    not execute the request, and `MISDIRECTED` that it did not because another endpoint or state
    was expected. `FAILED` is an error response, `BROKEN` an incomplete or invalid one, and
    `SILENT` none in time. `DECLINED` means that a peer did not take a forwarded request.
    """

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    DECLINED = "declined"


NOT_RUN_RESULTS = (
    AttemptResult.NOT_SENT,
    AttemptResult.NOT_RUN,
    AttemptResult.MISDIRECTED,
    AttemptResult.DECLINED,
)


@dataclass(eq=False)
class RequestContext:
    """A caller's request and the state of its handling.

    Parameters
    ----------
    deadline_ms : float
        Monotonic time by which the final answer must be sent.
    possible_runs : Counter
        Times that each endpoint may have run the request, by endpoint id.
    head_forwarded : bool
        Whether the status and headers of a streamed answer were sent to the caller.
    error_response : tuple or None
        Status, headers and body of the last error response from an endpoint. Its body counts as an
        answer that the process buffers.
    waited_ms : float
        Time in the admission queue.
    longest_pause_ms : float
        Longest time between two forwarded events.
    sound : bool
        Whether an endpoint lived on after it had begun to write on the prompt.
    origin : ForwardingDaemon or None
        The daemon that forwarded the request.
    declined_by : set of str
        Peers that have not taken the request.
    counted : bool
        Whether the retry budget has counted the request.
    overflowed : bool
        Whether a peer was asked to serve it as the endpoints in reach were full.
    timeout : asyncio.Timeout or None
        Ends the handling at the deadline.
    cut_by_drain : bool
        Whether the deadline is the end of this daemon's drain, not the request's own.
    """

    request: object
    metadata: object
    route: object
    account: object
    service: object
    caller: object
    deadline_ms: float
    attempts: int = 0
    possible_runs: Counter = field(default_factory=Counter)
    head_forwarded: bool = False
    error_response: tuple | None = None
    excluded: set = field(default_factory=set)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    outcome: str = "unfinished"
    first_event_ms: float | None = None
    waited_ms: float = 0.0
    longest_pause_ms: float = 0.0
    last_forwarded_ms: float | None = None
    attempt_results: list = field(default_factory=list)
    sound: bool = False
    origin: object = None
    declined_by: set = field(default_factory=set)
    counted: bool = False
    overflowed: bool = False
    timeout: object = None
    cut_by_drain: bool = False

    @property
    def started_ms(self):
        """When the request was read."""
        return self.request.received_ms

    @property
    def priority(self):
        """Priority of the account, or of the route if the account has none."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def may_have_run(self):
        """Whether any endpoint may have run the request."""
        return bool(+self.possible_runs)

    @property
    def has_events(self):
        """Whether the caller has got an event of the stream, from any daemon.

        A stream has at least one, so an end before it shows that the stream was broken off.
        """
        return bool(self.splitter.data_event_count) or self.metadata.last_event_id is not None

    @property
    def endpoints_used(self):
        """Number of endpoints that may have run the request, as known to all its daemons.

        One that may have run it twice counts twice, so that the bound of the endpoints is also
        one of the runs.
        """
        used_before = self.origin.endpoints_used if self.origin else 0
        return self.possible_runs.total() + used_before

    @property
    def resumed(self):
        """Whether an attempt has failed already, here or at the daemon that forwarded it."""
        return self.attempts > 0 or (self.origin is not None and self.origin.resumed)

    def keep_error(self, status, headers, body):
        """Keep an endpoint's error response, which ends the request if nothing else does."""
        self.error_response = (status, headers, body)
        connection_budgets.answers.record(self, len(body))

    def take_error(self):
        """Return the error response, and keep it no longer."""
        error_response, self.error_response = self.error_response, None
        connection_budgets.answers.record(self, 0)
        return error_response

    def discard(self, budget):
        """Give up the error response, as the answers together take too much memory."""
        self.error_response = None

    def record_forwarded(self, now_ms):
        """Record that an event was forwarded to the caller."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms - self.started_ms
        else:
            self.longest_pause_ms = max(self.longest_pause_ms, now_ms - self.last_forwarded_ms)
        self.last_forwarded_ms = now_ms

    def limit_deadline(self, drain_end_ms):
        """Lower the deadline to the end of a drain."""
        if drain_end_ms < self.deadline_ms:
            self.deadline_ms = drain_end_ms
            self.cut_by_drain = True

    def can_fail_over(self):
        """Return whether another endpoint may get the request even if the next attempt runs it.

        If not, an attempt is never ended because its endpoint is silent.
        """
        return self.route.retryable and self.endpoints_used + 1 < self.route.max_endpoints

    def can_retry(self, result):
        """Return whether another endpoint may get the request after `result`."""
        if result in NOT_RUN_RESULTS:
            return True
        return self.route.retryable and self.endpoints_used < self.route.max_endpoints
