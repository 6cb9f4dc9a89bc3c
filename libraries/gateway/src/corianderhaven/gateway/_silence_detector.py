"""Detection of replicas that stopped producing events. Performs no I/O.

All streams of a healthy replica are in one batch and produce events at the same interval. An
interval also includes prefill of up to one full chunk in each of its steps. When no stream of a
head has produced data for longer than such an interval, a member may be lost. A stream that
fails over waits for a first event at the other replica, for longer than most routes allow a
pause, so a false positive costs more than early detection gains.
"""

from dataclasses import dataclass, field

EVENT_INTERVAL_FACTOR = 1.3  # over the longest interval: requests join the batch meanwhile
JITTER_MS = 25.0  # delays of links and of this process's own event loop
FIRST_EVENT_FACTOR = 2.0  # over the expected time: the engine's queue is not observed
FIRST_EVENT_SLACK_MS = 120.0
MIN_COMMON_HEADS = 3  # of fewer, half may well be lost at once
CHECK_INTERVAL_MS = 20.0  # an eighth of the shortest pause that a route allows
LATE_CHECK_MS = 60.0  # a longer time between checks means that this process was stalled
# Callers abandon a stream after a pause of two seconds; another replica needs part of that.
STALL_MS = 1_400.0


@dataclass(eq=False)
class ActiveStream:
    """A stream between an endpoint and a caller.

    Parameters
    ----------
    max_event_interval_ms : float
        Event interval when each step prefills a full chunk.
    can_fail_over : bool
        Whether the stream may continue at another replica.
    seek_replacement : callable
        Has another replica sought to go on at; the stream stays open meanwhile.
    silent : bool
        Whether a replacement is sought because all streams of its head are silent.
    stalled : bool
        Whether a replacement is sought because it alone makes no progress.
    caller_blocked : bool
        Whether an event waits until the caller reads; the endpoint is not to blame then.
    on_kept_connection : bool
        Whether it waits for an answer on a connection that may have been dropped, which tells
        nothing of the head.
    """

    head_id: str
    sent_ms: float
    expected_first_event_ms: float
    max_event_interval_ms: float
    can_fail_over: bool
    seek_replacement: object
    last_activity_ms: float | None = None
    silent: bool = False
    stalled: bool = False
    caller_blocked: bool = False
    on_kept_connection: bool = False


@dataclass
class HeadActivity:
    """Streams of one head, and when any of them last received data."""

    streams: set = field(default_factory=set)
    last_activity_ms: float = 0.0


class SilenceDetector:
    """Tracks the streams of all heads and detects heads whose streams are all silent.

    Parameters
    ----------
    clock : Clock
    peers : PeerTable
        Provides the activity of heads that other daemons observed.

    Attributes
    ----------
    on_activity : callable
        Called with the id of a head from which something has come.
    """

    def __init__(self, clock, peers):
        self.clock = clock
        self.peers = peers
        self.heads = {}
        self.last_check_ms = clock.now_ms()
        self.suspended_until_ms = 0.0
        self.on_activity = lambda head_id: None

    def add(self, stream):
        """Start tracking a stream."""
        self.heads.setdefault(stream.head_id, HeadActivity()).streams.add(stream)

    def remove(self, stream):
        """Stop tracking a stream."""
        activity = self.heads.get(stream.head_id)
        if activity is not None:
            activity.streams.discard(stream)
            if not activity.streams:
                del self.heads[stream.head_id]

    def record_activity(self, stream):
        """Record that a stream received its head or a complete event."""
        now = self.clock.now_ms()
        stream.last_activity_ms = now
        stream.silent = stream.stalled = False
        activity = self.heads.get(stream.head_id)
        if activity is not None:
            activity.last_activity_ms = now
        self.on_activity(stream.head_id)

    def silent_heads(self):
        """Return the ids of heads whose streams have all been silent for too long."""
        now = self.clock.now_ms()
        if now - self.last_check_ms > LATE_CHECK_MS:
            self.suspended_until_ms = now + LATE_CHECK_MS
        self.last_check_ms = now
        if now < self.suspended_until_ms:
            return []
        return [
            head_id
            for head_id, activity in self.heads.items()
            if self._is_silent(head_id, activity)
        ]

    def is_silence_common(self):
        """Return whether most heads have been quiet for longer than an event interval.

        The loss of each of them is unlikely then, and no other head is known to serve.
        """
        opened = {i: a for i, a in self.heads.items() if a.last_activity_ms}
        quiet = [
            head_id for head_id, activity in opened.items() if self._is_quiet(head_id, activity)
        ]
        return len(opened) >= MIN_COMMON_HEADS and 2 * len(quiet) >= len(opened)

    def _is_quiet(self, head_id, activity):
        max_interval_ms = max(s.max_event_interval_ms for s in activity.streams)
        return not self.is_active(head_id, max_interval_ms)

    def is_silent(self, head_id):
        """Return whether the streams of a head have all been silent for too long."""
        activity = self.heads.get(head_id)
        return activity is not None and self._is_silent(head_id, activity)

    def stalled_streams(self):
        """Return the streams that completed no event for `STALL_MS` although their head is active.

        Bytes that complete no event are no progress, however often they arrive.
        """
        now = self.clock.now_ms()
        if now < self.suspended_until_ms:
            return []
        return [
            stream
            for activity in self.heads.values()
            for stream in activity.streams
            if stream.last_activity_ms is not None
            and not stream.caller_blocked
            and now - stream.last_activity_ms > STALL_MS
        ]

    def last_activity_age_ms(self, head_id):
        """Return the time since a head's last activity at this daemon, or -1.0 without any."""
        activity = self.heads.get(head_id)
        if activity is None or not activity.last_activity_ms:
            return -1.0
        return self.clock.now_ms() - activity.last_activity_ms

    def last_activity_ms(self, head_id):
        """Return when any daemon last observed activity of a head, or None."""
        activity = self.heads.get(head_id)
        own_ms = activity.last_activity_ms if activity is not None else 0.0
        seen_ms = self.peers.last_activity_ms(head_id)
        return max((t for t in (own_ms, seen_ms) if t), default=None)

    def is_active(self, head_id, within_ms):
        """Return whether any daemon observed activity of a head within `within_ms`."""
        if 0.0 <= self.last_activity_age_ms(head_id) <= within_ms:
            return True
        seen_ms = self.peers.last_activity_ms(head_id)
        return seen_ms is not None and self.clock.now_ms() - seen_ms <= within_ms

    def _is_silent(self, head_id, activity):
        now = self.clock.now_ms()
        if any(s.caller_blocked for s in activity.streams):
            return False
        max_interval_ms = max(s.max_event_interval_ms for s in activity.streams)
        if self.is_active(head_id, EVENT_INTERVAL_FACTOR * max_interval_ms + JITTER_MS):
            return False
        if any(s.last_activity_ms is not None for s in activity.streams):
            return True
        return any(
            now - max(s.sent_ms, activity.last_activity_ms)
            > FIRST_EVENT_FACTOR * s.expected_first_event_ms + FIRST_EVENT_SLACK_MS
            for s in activity.streams
            if not s.on_kept_connection
        )
