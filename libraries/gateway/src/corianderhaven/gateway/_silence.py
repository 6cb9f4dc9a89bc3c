"""Tells a replica that stands still from one that is only busy; decisions only.

All streams of a healthy replica move together, an event in each pass of its batch. A pass
also reads prompts, up to a full piece in each of its steps. When all of one head's streams
rest for longer than such a pass, a member may be lost. A stream that moves to another
replica waits there for a first event, longer than most routes allow a pause, so that haste
gains less than a false alarm costs.
"""

from dataclasses import dataclass, field

PASS_FACTOR = 1.3  # over the longest pass: requests join the batch meanwhile
JITTER_MS = 25.0  # delays of links and of this process's own loop
WAITING_FACTOR = 2.0  # over the expected time of a first event, whose queue is not seen
WAITING_SLACK_MS = 120.0
CHECK_MS = 20.0  # an eighth of the shortest pause that a route allows
STALLED_CHECK_MS = 60.0  # a check this late says that this process stood still itself


@dataclass(eq=False)
class ActiveStream:
    """A stream between an endpoint and a caller.

    Parameters
    ----------
    longest_event_ms : float
        Time of a pass that reads as much as it can.
    movable : bool
        Whether it may go on at another replica.
    interrupt : callable
        Breaks the send off, so that its task looks for another replica.
    """

    head_id: str
    sent_ms: float
    expected_first_ms: float
    longest_event_ms: float
    movable: bool
    interrupt: object
    last_event_ms: float | None = None
    silent: bool = False


@dataclass
class HeadPulse:
    """When one head last showed a sign of life on any stream."""

    streams: set = field(default_factory=set)
    last_sign_ms: float = 0.0


class SilenceWatch:
    """Follows the streams of all heads.

    Parameters
    ----------
    clock : Clock
    peers : PeerTable
        Tells of signs of life that other daemons saw.
    """

    def __init__(self, clock, peers):
        self.clock = clock
        self.peers = peers
        self.heads = {}
        self.checked_ms = clock.now_ms()
        self.blind_until_ms = 0.0

    def begin(self, stream):
        """Follow a new stream."""
        self.heads.setdefault(stream.head_id, HeadPulse()).streams.add(stream)

    def end(self, stream):
        """Stop following a stream."""
        pulse = self.heads.get(stream.head_id)
        if pulse is not None:
            pulse.streams.discard(stream)
            if not pulse.streams:
                del self.heads[stream.head_id]

    def sign(self, stream):
        """Note an event of a stream."""
        now = self.clock.now_ms()
        stream.last_event_ms = now
        pulse = self.heads.get(stream.head_id)
        if pulse is not None:
            pulse.last_sign_ms = now

    def silent_heads(self):
        """Return the ids of heads of which all streams rest for too long."""
        now = self.clock.now_ms()
        if now - self.checked_ms > STALLED_CHECK_MS:
            self.blind_until_ms = now + STALLED_CHECK_MS
        self.checked_ms = now
        if now < self.blind_until_ms:
            return []
        return [head_id for head_id, pulse in self.heads.items() if self._silent(head_id, pulse)]

    def sign_age_ms(self, head_id):
        """Return the age of the last own sign of life of a head, or -1.0."""
        pulse = self.heads.get(head_id)
        if pulse is None or not pulse.last_sign_ms:
            return -1.0
        return self.clock.now_ms() - pulse.last_sign_ms

    def lives(self, head_id, within_ms):
        """Return whether anybody has seen a sign of life of a head lately."""
        seen_ms = self.peers.last_activity_ms(head_id)
        if seen_ms is not None and self.clock.now_ms() - seen_ms <= within_ms:
            return True
        return 0.0 <= self.sign_age_ms(head_id) <= within_ms

    def _silent(self, head_id, pulse):
        now = self.clock.now_ms()
        longest_ms = max(s.longest_event_ms for s in pulse.streams)
        if self.lives(head_id, PASS_FACTOR * longest_ms + JITTER_MS):
            return False
        if any(s.last_event_ms is not None for s in pulse.streams):
            return True
        return any(
            now - max(s.sent_ms, pulse.last_sign_ms)
            > WAITING_FACTOR * s.expected_first_ms + WAITING_SLACK_MS
            for s in pulse.streams
        )
