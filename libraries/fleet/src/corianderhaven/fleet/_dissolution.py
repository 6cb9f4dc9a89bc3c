"""Decides when a replica that can't serve any more is dissolved; performs no I/O.

Handles workers that stand still for a second or are cut off from this daemon only, while requests
run at the heads of their replicas, the loss of members under the same load, and configurations that
drop a model whose requests still run, or take that back.
"""

from collections import Counter, defaultdict
from dataclasses import replace

from ._formation import LEAVING_FINISH_MS

REAPPEARANCE_MS = 2_500.0  # entries that expired together return within two heartbeats
HEAD_SILENCE_MS = 1_000.0  # after which a head that responds to no probe counts as lost
SILENCE_EVIDENCE_MS = 700.0  # for which a probe without an answer counts; a probe takes 400
RECENT_WORK_MS = 1_000.0  # longer than a prefill or a pause between events usually takes
PROBE_INTERVAL_MS = 300.0  # between probes of a replica that may be sound
STALL_MARGIN_MS = 500.0  # added to the time after which a head without members breaks


def find_completing(replicas, vms, engine):
    """Return the keys of the replicas whose other members complete a replica with the spares.

    Dissolving any other one gains nothing, as its members have no use.

    Parameters
    ----------
    replicas : list of (Replica, list of Endpoint)
        Replicas that lack a member, with those of their members that remain; the first ones are
        preferred.
    vms : list of Vm
    engine : EngineSpec

    Returns
    -------
    set of (str, int)
    """
    free = Counter()
    for vm in vms:
        for name in vm.endpoint.staged:
            model = engine.model(name)
            if model is not None and vm.has_staged(name):
                free[_place(vm.endpoint, name)] += 1
    # Those that complete a replica by themselves are about to do so.
    free = Counter({place: n % engine.model(place[-1]).size for place, n in free.items()})
    pending, completing = defaultdict(list), set()
    for replica, remaining in replicas:
        places = {_place(e, replica.model) for e in remaining if replica.model in e.staged}
        for place in places:
            free[place] += sum(_place(e, replica.model) == place for e in remaining)
            pending[place].append(replica.key)
            if free[place] >= engine.model(replica.model).size:
                free[place] -= engine.model(replica.model).size
                completing.update(pending.pop(place))
    return completing


def _place(endpoint, model):
    """Return what the members of a replica have in common."""
    return (endpoint.zone, endpoint.domain, model)


class HeadActivity:
    """What the daemons know of the requests at heads; nothing by default.

    Attributes
    ----------
    last_ms : callable
        Returns when any daemon last saw an event of a head, or None.
    requests_at : callable
        Returns the requests of all daemons at a head, as far as they are known.
    """

    def __init__(self):
        self.last_ms = lambda head_id: None
        self.requests_at = lambda head_id: 0


class DissolutionPolicy:
    """Decides which replicas of a service that can't serve any more are dissolved now.

    A replica whose model the configuration no longer names gets no new requests. It stays open for
    those that it has, and as the next version may name the model again.

    Silence is no proof that a member is lost. Its head makes no progress meanwhile, and breaks by
    itself in the end; until then the replica is dissolved only where its other members complete
    another one. A head that sends events has all its members, whatever this daemon can reach.

    Parameters
    ----------
    sender : OrderSender
    settings : NodeSettings
    clock : Clock
    activity : HeadActivity

    Attributes
    ----------
    longest_request_ms : float
        Maximum time of requests to the service, in any version of the configuration so far.
    dropped_ms : dict of (str, int) to float
        Since when the configuration has not named the model of each replica.
    first_seen_ms : dict of (str, int) to float
        When each replica was first listed in this tenure.
    seen_ranks : dict of (str, int) to set of int
        Ranks of the members that each replica has had in this tenure.
    next_probe_ms : dict of (str, int) to float
        Earliest times of the next probes of replicas that may be sound.
    """

    def __init__(self, sender, settings, clock, activity):
        self.sender = sender
        self.settings = settings
        self.clock = clock
        self.activity = activity
        self.longest_request_ms = 0.0
        self.dropped_ms = {}
        self.first_seen_ms = {}
        self.seen_ranks = {}
        self.next_probe_ms = {}

    def note_listed(self, replicas):
        """Record the listed `Replica`s by key; return the keys of those that are no longer."""
        now = self.clock.now_ms()
        for key, replica in replicas.items():
            self.first_seen_ms.setdefault(key, now)
            self.seen_ranks.setdefault(key, set()).update(replica.members)
        gone = [key for key in self.first_seen_ms if key not in replicas]
        for key in gone:
            del self.first_seen_ms[key], self.seen_ranks[key]
            self.next_probe_ms.pop(key, None)
        return gone

    def reset(self):
        """Forget all replicas, as a tenure begins or ends."""
        self.first_seen_ms, self.seen_ranks = {}, {}
        self.next_probe_ms, self.dropped_ms = {}, {}

    def note_timeout(self, timeout_ms):
        """Take note of how long a request may take; those of earlier versions may still run."""
        self.longest_request_ms = max(self.longest_request_ms, timeout_ms)

    def split(self, actions, vms, engine):
        """Return the dissolutions that are due, and those of replicas that are kept for now.

        Parameters
        ----------
        actions : list of Dissolve
            From `find_failed`.
        vms : list of Vm
        engine : EngineSpec

        Returns
        -------
        due, kept : list of Dissolve
        """
        actions = [self._refine(action) for action in actions]
        self._note_dropped(actions)
        silent = [a.replica for a in actions if a.reason == "member silent"]
        may_wait = [r for r in silent if self._may_wait(r, engine.model(r.model).size)]
        may_wait.sort(key=self._silent_since_ms)
        lacking = [(replica, self._responsive(replica)) for replica in may_wait]
        waiting = {r.key for r in may_wait} - find_completing(lacking, vms, engine)
        due, kept = [], []
        for action in actions:
            may_wait = action.replica.key in waiting or self._is_doubtful(action)
            may_wait = may_wait or self._may_be_needed(action)
            (kept if may_wait else due).append(action)
        return due, kept

    def take_due_probes(self, kept):
        """Return the endpoints to probe now, as their replicas may be sound.

        The heads are among them, as they may have broken meanwhile.
        """
        now = self.clock.now_ms()
        replicas = [a.replica for a in kept if a.reason == "member silent"]
        due = [r for r in replicas if now >= self.next_probe_ms.get(r.key, 0.0)]
        self.next_probe_ms.update((r.key, now + PROBE_INTERVAL_MS) for r in due)
        return [
            endpoint
            for replica in due
            for endpoint in replica.members.values()
            if endpoint is replica.head or self._is_silent(endpoint)
        ]

    def stalled_heads(self, kept):
        """Return the heads that respond and make no progress, as another member is silent."""
        replicas = [a.replica for a in kept if a.reason == "member silent"]
        return [
            replica.head
            for replica in replicas
            if replica.head is not None
            and not self._is_silent(replica.head)
            and not self.has_worked_since(replica.head, self._silent_since_ms(replica))
        ]

    def has_worked_since(self, head, since_ms):
        """Return whether a head has sent events after a time, for which it needs all members."""
        if head is None:
            return False
        active_ms = self.activity.last_ms(head.id)
        return active_ms is not None and active_ms > since_ms

    def _refine(self, action):
        """Return the dissolution with its true reason and the time that requests may take."""
        if action.reason == "member lost" and self._works_with_all(action.replica):
            action = replace(action, reason="other size", graceful=True)
        if action.reason not in ("unknown model", "other size"):
            return action
        return replace(action, finish_ms=max(LEAVING_FINISH_MS, self.longest_request_ms))

    def _works_with_all(self, replica):
        """Return whether a replica has all the members that it ever had, and its head works.

        It was formed of fewer than the configuration names now.
        """
        head = replica.head
        gone_ranks = self.seen_ranks.get(replica.key, set()) - replica.members.keys()
        if head is None or gone_ranks or self._is_new(replica):
            return False
        return self.has_worked_since(head, self.clock.now_ms() - RECENT_WORK_MS)

    def _is_new(self, replica):
        """Return whether some entries of a replica may not have been read yet."""
        listed_ms = self.clock.now_ms() - self.first_seen_ms.get(replica.key, 0.0)
        return listed_ms <= REAPPEARANCE_MS

    def _note_dropped(self, actions):
        """Record since when models have been dropped, and forget those that are back."""
        now = self.clock.now_ms()
        keys = [a.replica.key for a in actions if a.reason == "unknown model"]
        self.dropped_ms = {key: self.dropped_ms.get(key, now) for key in keys}

    def _may_be_needed(self, action):
        """Return whether a replica of a dropped model has requests, or may be taken back.

        Other daemons send requests there until they have the version. Each ends in the time that
        its route allows; what daemons don't tell of is left to the head, which is closed before.
        """
        if action.reason != "unknown model" or not action.graceful:
            return False
        dropped_for_ms = self.clock.now_ms() - self.dropped_ms[action.replica.key]
        if dropped_for_ms < self.settings.config_ms:
            return True
        in_time = dropped_for_ms < self.settings.config_ms + self.longest_request_ms
        return in_time and self.activity.requests_at(action.replica.head.id) > 0

    def _is_doubtful(self, action):
        """Return whether a replica may not have failed, or is just listed incompletely."""
        replica = action.replica
        if all(self._is_silent(e) for e in replica.members.values()):
            return True  # no member responds: this daemon itself may be cut off
        if action.reason == "member silent":
            return self._is_silence_doubtful(replica)
        return action.reason == "member lost" and self._is_new(replica)

    def _may_wait(self, replica, size):
        """Return whether a replica with silent members may wait until its head breaks."""
        head = replica.head
        if head is None or self._is_silent(head) or len(replica.members) < size:
            return False
        silent_ms = self.clock.now_ms() - self._silent_since_ms(replica)
        return silent_ms < self.settings.stall_ms + STALL_MARGIN_MS

    def _is_silence_doubtful(self, replica):
        """Return whether silent members may be sound, which probes are to show.

        The members of a silent head are not free before a lost head would have stalled in any
        case, so it is given some time. Silence is no evidence once others have responded after it,
        or once the head has sent events.
        """
        now, sender = self.clock.now_ms(), self.sender
        head = replica.head
        if self.has_worked_since(head, self._silent_since_ms(replica)):
            return True
        head_silent = head is not None and self._is_silent(head)
        if head_silent and now - sender.silences[head.id].since_ms < HEAD_SILENCE_MS:
            return True
        recovered_ms = (sender.recovered_ms.get(e.id, 0.0) for e in replica.members.values())
        since_ms = max(now - SILENCE_EVIDENCE_MS, *recovered_ms)
        return any(sender.silences[e.id].last_ms <= since_ms for e in self._silent(replica))

    def _silent(self, replica):
        return [e for e in replica.members.values() if self._is_silent(e)]

    def _responsive(self, replica):
        return [e for e in replica.members.values() if not self._is_silent(e) and not e.leaving]

    def _is_silent(self, endpoint):
        return endpoint.id in self.sender.unresponsive

    def _silent_since_ms(self, replica):
        """Return when the first of the silent members fell silent."""
        return min(self.sender.silences[e.id].since_ms for e in self._silent(replica))
