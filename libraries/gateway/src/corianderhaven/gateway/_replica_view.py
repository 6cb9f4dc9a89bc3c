"""The heads that may get requests for a model."""

from collections import defaultdict
from dataclasses import dataclass

from corianderhaven.fleet import group_replicas, is_serving

SUSPECT_MS = 2_500.0  # by then a lost member is found, or the replica has shown itself sound


@dataclass(frozen=True)
class Suspicion:
    """The belief that the replica of a head has lost a member.

    Parameters
    ----------
    membership : Membership or None
        The head's place at that time; in another replica it is not suspected.
    first_hand : bool
        Whether this daemon saw the cause itself.
    """

    membership: object
    since_ms: float
    first_hand: bool


class ReplicaView:
    """Whole open replicas by service and model, without those under suspicion.

    Parameters
    ----------
    directory : EndpointDirectory
    holder : ActiveConfig
    clock : Clock
    """

    def __init__(self, directory, holder, clock):
        self.directory = directory
        self.holder = holder
        self.clock = clock
        self.suspects = {}
        self.cached_version = None
        self.cached_heads = {}

    def available_heads(self, service, model):
        """Return the heads to send requests for `model` to."""
        now = self.clock.now_ms()
        heads = self.all_heads(service).get(model, ())
        return [head for head in heads if self._trusted(head, now)]

    def all_heads(self, service):
        """Return the heads of whole open replicas by model, suspected ones too."""
        config = self.holder.config
        version = (self.directory.version, config.version)
        if version != self.cached_version:
            self.cached_version = version
            self.cached_heads = {name: self._group(spec) for name, spec in config.services.items()}
        return self.cached_heads.get(service, {})

    def suspect(self, head):
        """Send nothing to a head for a while, or until it heads another replica."""
        self.suspects[head.id] = Suspicion(head.membership, self.clock.now_ms(), True)

    def suspect_told(self, head, age_ms):
        """Believe a peer's suspicion; returns whether it is new.

        It counts from when the peer began it, so that hearing of it again prolongs nothing.
        """
        since_ms = self.clock.now_ms() - age_ms
        known = self.suspects.get(head.id)
        if age_ms >= SUSPECT_MS:
            return False
        told_before = known is not None and _same_replica(known.membership, head.membership)
        if told_before and since_ms < known.since_ms + SUSPECT_MS:
            return False
        self.suspects[head.id] = Suspicion(head.membership, since_ms, False)
        return True

    def suspected(self):
        """Return the age of each suspicion of this daemon's own, by head id."""
        now = self.clock.now_ms()
        return {
            head_id: now - s.since_ms
            for head_id, s in self.suspects.items()
            if s.first_hand and now - s.since_ms < SUSPECT_MS
        }

    def forget(self, known_ids):
        """Drop the suspicions of endpoints that no longer exist."""
        self.suspects = {i: s for i, s in self.suspects.items() if i in known_ids}

    def _trusted(self, head, now):
        suspicion = self.suspects.get(head.id)
        if suspicion is None or now - suspicion.since_ms >= SUSPECT_MS:
            return True
        return not _same_replica(suspicion.membership, head.membership)

    def _group(self, spec):
        heads = defaultdict(list)
        if spec.engine is None:
            return heads
        for replica in group_replicas(self.directory.endpoints(spec.name)).values():
            model = spec.engine.model(replica.model)
            if model is not None and is_serving(replica):
                heads[model.name].append(replica.head)
        return heads


def _same_replica(one, other):
    if one is None or other is None:
        return one is other
    return (one.replica, one.generation) == (other.replica, other.generation)
