"""Has replacements sought for attempts that bring no answer any more."""

import asyncio

from corianderhaven.common import MS_PER_S
from corianderhaven.fleet import model_of

from ._silence_detector import CHECK_INTERVAL_MS

RECHECK_INTERVAL_MS = 200.0  # of a head that stays silent
# For which a silence that most heads share counts as none of theirs. Callers abandon a stream after
# a pause of two seconds; another replica needs part of that.
COMMON_SILENCE_MS = 1_000.0


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
        self.next_check_ms = {}
        self.logged_heads = {}

    def close(self):
        """Abandon the checks under way."""
        for check in self.checks.values():
            check.cancel()

    async def run(self):
        """Check at intervals until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
            if self.reachability.lost_scopes:
                self.sender.replace_waiting_on_lost_paths()
            for endpoint in self.sender.overdue_on_kept_connections():
                self.path_prober.begin_check(endpoint)
            self._check_silent_heads()
            for stream in self.silence_detector.stalled_streams():
                self._replace_stalled(stream)

    def _check_silent_heads(self):
        now = self.clock.now_ms()
        silent = self.silence_detector.silent_heads()
        self.next_check_ms = {i: t for i, t in self.next_check_ms.items() if i in silent}
        self.logged_heads = {i: common for i, common in self.logged_heads.items() if i in silent}
        for head_id in silent:
            if head_id not in self.checks and now >= self.next_check_ms.get(head_id, 0.0):
                self.next_check_ms[head_id] = now + RECHECK_INTERVAL_MS
                self._begin_check(head_id)

    def _begin_check(self, head_id):
        task = asyncio.get_running_loop().create_task(self._check_silent_head(head_id))
        self.checks[head_id] = task
        task.add_done_callback(lambda done: self.checks.pop(head_id, None))

    async def _check_silent_head(self, head_id):
        """Suspect a silent head unless the path to it is lost, and seek replacements."""
        head = self.directory.get(head_id)
        if head is None or head.membership is None:
            return
        sound = await self.path_prober.is_path_sound(head, self.clock.now_ms())
        if not self.silence_detector.is_silent(head_id):
            return
        if sound and self._is_silence_common(head_id):
            self._record_silent(head, common=True)
            return
        if sound:
            self.on_suspect(head, "streams silent")
        self._replace_streams(head)

    def _is_silence_common(self, head_id):
        silent_ms = self.silence_detector.last_activity_age_ms(head_id)
        if not 0.0 <= silent_ms < COMMON_SILENCE_MS:
            return False
        return self.silence_detector.is_silence_common()

    def _replace_streams(self, head):
        """Have replacements sought for the streams of a silent head, if others serve."""
        activity = self.silence_detector.heads[head.id]
        model = model_of(head.membership.replica)
        others = self.replica_view.available_heads(head.service, model)
        if self.reachability.is_scope_lost(head):
            others = others or self.peers.peers
        sought = [s for s in activity.streams if s.can_fail_over and not s.silent] if others else []
        for stream in sought:
            stream.silent = True
            stream.seek_replacement()
        self._record_silent(head, sought=len(sought), other_replicas=len(others))

    def _record_silent(self, head, sought=0, other_replicas=None, common=False):
        """Log what was decided for a silent head, unless it is what was decided before."""
        if not sought and self.logged_heads.get(head.id) == common:
            return
        self.logged_heads[head.id] = common
        self.decisions.record(
            "head_silent",
            endpoint=head.id,
            silent_ms=round(self.silence_detector.last_activity_age_ms(head.id)),
            common=common,
            streams=len(self.silence_detector.heads[head.id].streams),
            sought=sought,
            other_replicas=other_replicas,
            budget=round(self.retry_budget.remaining(head.service), 1),
        )

    def _replace_stalled(self, stream):
        """Have a replacement sought for a stream that makes no progress although its head does."""
        head = self.directory.get(stream.head_id)
        if head is None or head.membership is None or stream.stalled or stream.silent:
            return
        others = self.replica_view.available_heads(head.service, model_of(head.membership.replica))
        if stream.can_fail_over and any(other.id != stream.head_id for other in others):
            self.decisions.record("stream_stalled", endpoint=stream.head_id)
            stream.stalled = True
            stream.seek_replacement()
