"""Ends attempts that bring no answer any more, so that their requests go on elsewhere."""

import asyncio

from corianderhaven.common import MS_PER_S
from corianderhaven.fleet import model_of

from ._silence_detector import CHECK_INTERVAL_MS


class StreamFailover:
    """Looks for silent heads, stalled streams and lost paths at short intervals.

    Parameters
    ----------
    silence_detector : SilenceDetector
    sender : Sender
    path_prober : PathProber
    replica_view : ReplicaView
    retry_budget : RetryBudget
    peers : PeerTable
    decisions : DecisionLog

    Attributes
    ----------
    on_suspect : callable
        Called with a head that is silent although the path to it is sound, and the reason.
    """

    def __init__(
        self, silence_detector, sender, path_prober, replica_view, retry_budget, peers, decisions
    ):
        self.silence_detector = silence_detector
        self.sender = sender
        self.path_prober = path_prober
        self.reachability = path_prober.reachability
        self.replica_view = replica_view
        self.directory = replica_view.directory
        self.retry_budget = retry_budget
        self.peers = peers
        self.clock = path_prober.clock
        self.decisions = decisions
        self.on_suspect = lambda head, reason: None
        self.checks = {}

    def close(self):
        """Abandon the checks under way."""
        for check in self.checks.values():
            check.cancel()

    async def run(self):
        """Check at intervals until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
            if self.reachability.lost_scopes:
                self.sender.interrupt_waiting_on_lost_paths()
            for endpoint in self.sender.overdue_on_kept_connections():
                self.path_prober.begin_check(endpoint)
            for head_id in self.silence_detector.silent_heads():
                if head_id not in self.checks:
                    self._begin_check(head_id)
            for stream in self.silence_detector.stalled_streams():
                self._fail_over_stalled(stream)

    def _begin_check(self, head_id):
        task = asyncio.get_running_loop().create_task(self._check_silent_head(head_id))
        self.checks[head_id] = task
        task.add_done_callback(lambda done: self.checks.pop(head_id, None))

    async def _check_silent_head(self, head_id):
        """Suspect a silent head unless the path to it is lost, and fail over its streams."""
        head = self.directory.get(head_id)
        if head is None or head.membership is None:
            return
        sound = await self.path_prober.is_path_sound(head, self.clock.now_ms())
        if not self.silence_detector.is_silent(head_id):
            return
        if sound:
            self.on_suspect(head, "streams silent")
        self._fail_over_streams(head)

    def _fail_over_streams(self, head):
        """Fail over the streams of a silent head, within the retry budget and if others serve."""
        activity = self.silence_detector.heads[head.id]
        model = model_of(head.membership.replica)
        allowed = int(self.retry_budget.remaining(head.service))
        others = self.replica_view.available_heads(head.service, model)
        if self.reachability.is_scope_lost(head):
            others = others or self.peers.peers
        streams = [s for s in activity.streams if s.can_fail_over and not s.silent]
        for stream in streams[: max(0, allowed) if others else 0]:
            stream.silent = True
            stream.interrupt()

    def _fail_over_stalled(self, stream):
        """Continue a stream elsewhere that makes no progress although its head does."""
        head = self.directory.get(stream.head_id)
        if head is None or head.membership is None or stream.stalled or stream.silent:
            return
        others = self.replica_view.available_heads(head.service, model_of(head.membership.replica))
        has_other = any(other.id != stream.head_id for other in others)
        if stream.can_fail_over and has_other and self.retry_budget.remaining(head.service) >= 1.0:
            self.decisions.record("stream_stalled", endpoint=stream.head_id)
            stream.stalled = True
            stream.interrupt()
