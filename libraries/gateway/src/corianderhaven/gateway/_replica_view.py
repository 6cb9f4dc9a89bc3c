"""Heads that can receive requests for a model."""

import math
from collections import defaultdict
from dataclasses import dataclass, replace

from corianderhaven.fleet import (
    ReplicaState,
    count_missing_members,
    group_replicas,
    is_serving,
)

from ._endpoint_access import EndpointAccess

SUSPICION_MS = 2_500.0  # by then a lost member is detected or the replica has proved healthy
FORMING_STATES = (ReplicaState.JOINING, ReplicaState.READY)  # of a head, until it is open
TOLD_ACTIVITY_MARGIN_MS = 100.0  # an exchange may have taken so long, which makes it look later


@dataclass(frozen=True)
class Suspicion:
    """Suspicion that the replica of a head has lost a member.

    Parameters
    ----------
    membership : Membership or None
        Membership of the head when the suspicion arose; the suspicion ends when the head
        joins another replica.
    observed_locally : bool
        Whether this daemon observed the cause itself.
    unreachable : bool
        Whether the head could not be connected to, for which the path may be at fault. Then it
        is excluded only where that was observed.
    lasting : bool
        Whether events of the head's streams don't disprove it.
    told_ms : float
        When a peer last raised the same suspicion.
    """

    membership: object
    since_ms: float
    observed_locally: bool
    unreachable: bool = False
    lasting: bool = False
    told_ms: float = -math.inf

    @property
    def raised_ms(self):
        """When any daemon last raised it; it expires `SUSPICION_MS` later."""
        return max(self.since_ms, self.told_ms)

    @property
    def excludes(self):
        """Whether requests go elsewhere."""
        return self.observed_locally or not self.unreachable


class ReplicaView:
    """Heads of serving replicas by service and model, except suspected and denied ones.

    Parameters
    ----------
    directory : EndpointDirectory
    active_config : ActiveConfig
    clock : Clock
    access : EndpointAccess or None

    Attributes
    ----------
    told_activity_ms : callable
        Returns when a head was last active at another daemon, or None.
    """

    def __init__(self, directory, active_config, clock, access=None):
        self.directory = directory
        self.active_config = active_config
        self.clock = clock
        self.access = access or EndpointAccess()
        self.suspicions = {}
        self.cached_version = None
        self.cached_heads = {}
        self.cached_allowed = {}
        self.told_activity_ms = lambda head_id: None

    def available_heads(self, service, model):
        """Return the heads that requests for `model` may be sent to."""
        now = self.clock.now_ms()
        heads = self.all_heads(service).get(model, ())
        return [head for head in heads if self._is_trusted(head, now)]

    def all_heads(self, service):
        """Return the heads that may get requests by model, including suspected ones."""
        self._update_cache()
        return self.cached_allowed.get(service, {})

    def refusal(self, service, model):
        """Return the `Refusal` of requests for a model no head of which may get any, or None.

        Without a serving replica, one may be formed of endpoints that are not denied.
        """
        if not self.access.denies_any:
            return None
        self._update_cache()
        heads = self.cached_heads.get(service, {}).get(model, ())
        return self.access.refusal_of_all(heads or self.directory.endpoints(service))

    def _update_cache(self):
        config = self.active_config.config
        version = (self.directory.version, config.version, self.access.version)
        if version == self.cached_version:
            return
        self.cached_version = version
        self.cached_heads = {
            name: self._heads_by_model(spec) for name, spec in config.services.items()
        }
        self.cached_allowed = {
            name: {model: self.access.allowed(heads) for model, heads in by_model.items()}
            for name, by_model in self.cached_heads.items()
        }

    def expected_heads(self, service, model):
        """Return the heads that can receive requests soon.

        Silence of all at once has another cause than the loss of each, so all count if each is
        suspected.
        """
        available = self.available_heads(service, model)
        return available or list(self.all_heads(service).get(model, ()))

    def is_forming(self, service, model):
        """Return whether a replica of a model is being formed of as many members as it needs."""
        return any(
            replica.model == model.name
            and replica.state in FORMING_STATES
            and len(replica.members) == model.size
            and not any(e.leaving for e in replica.members.values())
            for replica in group_replicas(self.directory.endpoints(service)).values()
        )

    def suspect(self, head, unreachable=False, lasting=False):
        """Exclude a head for `SUSPICION_MS`, or until it becomes head of another replica.

        Unless the suspicion is lasting, it also ends when the head is active again.
        """
        now = self.clock.now_ms()
        self.suspicions[head.id] = Suspicion(head.membership, now, True, unreachable, lasting)

    def note_activity(self, head_id):
        """End the suspicion of a head from which an event has just come."""
        suspicion = self.suspicions.get(head_id)
        if suspicion is not None and not suspicion.lasting:
            del self.suspicions[head_id]

    def add_peer_suspicion(self, head, age_ms, unreachable=False):
        """Adopt a suspicion reported by a peer; returns whether it is new.

        It expires relative to its start at the peer, so that repeated reports don't extend it, but
        a suspicion that the peer raises again lasts on here, too.
        """
        since_ms = self.clock.now_ms() - age_ms
        known = self.suspicions.get(head.id)
        if age_ms >= SUSPICION_MS:
            return False
        already_suspected = (
            known is not None
            and _same_replica(known.membership, head.membership)
            and (known.excludes or unreachable)
        )
        if already_suspected and since_ms < known.raised_ms + SUSPICION_MS:
            # Kept apart from what is observed here, which peers are told of in turn.
            self.suspicions[head.id] = replace(known, told_ms=max(known.told_ms, since_ms))
            return False
        self.suspicions[head.id] = Suspicion(head.membership, since_ms, False, unreachable)
        return True

    def local_suspicions(self, unreachable=False):
        """Return the ages of the suspicions of a kind that this daemon raised itself, by head id.

        Parameters
        ----------
        unreachable : bool
            Whether those of heads that could not be connected to.
        """
        now = self.clock.now_ms()
        return {
            head_id: now - s.since_ms
            for head_id, s in self.suspicions.items()
            if s.observed_locally
            and s.unreachable == unreachable
            and now - s.since_ms < SUSPICION_MS
        }

    def prune(self, known_ids):
        """Drop the suspicions of endpoints that no longer exist."""
        self.suspicions = {i: s for i, s in self.suspicions.items() if i in known_ids}

    def _is_trusted(self, head, now):
        suspicion = self.suspicions.get(head.id)
        if suspicion is None or not suspicion.excludes:
            return True
        if now - suspicion.raised_ms >= SUSPICION_MS:
            return True
        told_ms = None if suspicion.lasting else self.told_activity_ms(head.id)
        if told_ms is not None and told_ms > suspicion.raised_ms + TOLD_ACTIVITY_MARGIN_MS:
            return True
        return not _same_replica(suspicion.membership, head.membership)

    def heads_whole_replica(self, endpoint_id, service, model):
        """Return whether an endpoint heads a serving replica of which no member is missing."""
        replicas = group_replicas(self.directory.endpoints(service)).values()
        return any(
            replica.head is not None
            and replica.head.id == endpoint_id
            and is_serving(replica)
            and not count_missing_members(replica, model.size)
            for replica in replicas
        )

    def _heads_by_model(self, spec):
        heads = defaultdict(list)
        if spec.engine is None:
            return heads
        for replica in group_replicas(self.directory.endpoints(spec.name)).values():
            model = spec.engine.model(replica.model)
            # One with more members was formed for an earlier size of its model.
            if model is not None and len(replica.members) <= model.size and is_serving(replica):
                heads[model.name].append(replica.head)
        return heads


def _same_replica(one, other):
    if one is None or other is None:
        return one is other
    return (one.replica, one.generation) == (other.replica, other.generation)
