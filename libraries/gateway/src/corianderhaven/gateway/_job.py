"""One request on its way."""

from dataclasses import dataclass, field
from enum import Enum

from ._event_stream import EventSplitter


class SendResult(Enum):
    """How one send to an endpoint ended."""

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(eq=False)
class Job:
    """A caller's request with what became of it so far.

    Parameters
    ----------
    deadline_ms : float
        Monotonic time of the final answer at the latest.
    may_have_run : int
        Sends of which nobody said that they did not run.
    head_passed : bool
        Whether the caller has the answer's status and headers.
    failed_answer : tuple or None
        Status, headers and body of an endpoint's own failure.
    waited_ms : float
        Time in the waiting line.
    longest_pause_ms : float
        Longest time between two events that were passed on.
    """

    request: object
    facts: object
    route: object
    account: object
    service: object
    caller: object
    deadline_ms: float
    sends: int = 0
    may_have_run: int = 0
    head_passed: bool = False
    failed_answer: tuple | None = None
    excluded: set = field(default_factory=set)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    outcome: str = "unfinished"
    first_event_ms: float | None = None
    waited_ms: float = 0.0
    longest_pause_ms: float = 0.0
    last_passed_ms: float | None = None
    endpoints: list = field(default_factory=list)

    @property
    def started_ms(self):
        """When the request was read."""
        return self.request.received_ms

    @property
    def priority(self):
        """Rank of the account, or else of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def note_passed(self, now_ms):
        """Note that an event was passed to the caller."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms - self.started_ms
        else:
            self.longest_pause_ms = max(self.longest_pause_ms, now_ms - self.last_passed_ms)
        self.last_passed_ms = now_ms

    def may_move(self):
        """Return whether the request may go on elsewhere while one more endpoint runs it.

        Without that right an answer is never ended for an endpoint's silence.
        """
        return self.route.retryable and self.may_have_run + 1 < self.route.max_endpoints

    def may_repeat(self, result):
        """Return whether another endpoint may get the request after `result`."""
        if result in (SendResult.NOT_SENT, SendResult.NOT_RUN, SendResult.MISDIRECTED):
            return True
        return self.route.retryable and self.may_have_run < self.route.max_endpoints
