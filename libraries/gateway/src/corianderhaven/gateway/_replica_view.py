"""The heads that may get requests for a model."""

from collections import defaultdict

from corianderhaven.fleet import group_replicas, serving

SUSPECT_MS = 2_500.0  # by then a lost member is found, or the replica has shown itself sound


class ReplicaView:
    """Whole open replicas by service and model, without those under suspicion.

    Parameters
    ----------
    directory : EndpointDirectory
    holder : ConfigInForce
    clock : Clock
    """

    def __init__(self, directory, holder, clock):
        self.directory = directory
        self.holder = holder
        self.clock = clock
        self.suspects = {}
        self.cached_version = None
        self.cached_heads = {}

    def heads(self, service, model):
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
        until = self.clock.now_ms() + SUSPECT_MS
        self.suspects[head.id] = (head.membership, until)

    def suspect_once(self, head):
        """Suspect a head for another's reason; returns whether that is new."""
        known = self.suspects.get(head.id)
        if known is not None and _same_replica(known[0], head.membership):
            return False
        self.suspect(head)
        return True

    def suspected(self):
        """Return the ids of the heads under suspicion."""
        now = self.clock.now_ms()
        return [head_id for head_id, (_, until) in self.suspects.items() if now < until]

    def _trusted(self, head, now):
        suspicion = self.suspects.get(head.id)
        if suspicion is None:
            return True
        membership, until = suspicion
        if now < until and _same_replica(membership, head.membership):
            return False
        del self.suspects[head.id]
        return True

    def _group(self, spec):
        heads = defaultdict(list)
        if spec.engine is None:
            return heads
        for replica in group_replicas(self.directory.endpoints(spec.name)).values():
            model = spec.engine.model(replica.model)
            if model is not None and serving(replica):
                heads[model.name].append(replica.head)
        return heads


def _same_replica(one, other):
    if one is None or other is None:
        return one is other
    return (one.replica, one.generation) == (other.replica, other.generation)
