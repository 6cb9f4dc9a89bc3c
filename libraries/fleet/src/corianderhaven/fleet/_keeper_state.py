"""State of the keeper that the directory of endpoints does not hold."""

from dataclasses import dataclass, field

from ._types import ReplicaState


@dataclass
class KeeperState:
    """State of the keeper beyond the contents of the directory.

    Parameters
    ----------
    held_until_ms : dict of str to float
        Endpoints that aren't free because the head of their last replica may still be stalled,
        with the time in ms until which they are held.
    staging : dict of str to str
        Models that are being loaded onto the hosts of endpoints.
    forming_members : set of str
        Endpoints of the replicas in `forming`.
    forming : set of (str, int)
        Replicas that are being formed.
    warming : set of str
        Spares that are being prepared as standby members.
    dissolving : set of (str, int)
        Replicas that are being dissolved.
    last_dissolve_ms : dict of (str, int) to float
        End of the last attempt to dissolve a replica.
    released : set of (str, int)
        Replicas that can no longer serve, so that their members are free.
    never_opened : set of (str, int)
        Replicas of this tenure that it has never ordered to open, and never will.
    broken_by_ms : dict of (str, int) to float
        Latest time at which a replica with an unreachable head declares itself broken.
    last_replicas : dict of str to (str, int)
        Last replica of each endpoint, even if the endpoint has lost its membership.
    last_models : dict of str to (int, str)
        Start time (the incarnation) of each endpoint and the model of its last replica.
    join_unanswered, open_unanswered : set of (str, int)
        Replicas whose head may still carry out an order that it didn't answer. After both, it may
        be open again although it has left.
    left_heads : dict of str to (str, int)
        Dissolved replica that each head has left, or in which it broke.
    absent_heads : set of str
        Those of `left_heads` that have reported so since.
    active_loads : int
        Number of loads in progress.
    load_starts_ms : list of float
        Start times of recent loads.
    """

    held_until_ms: dict = field(default_factory=dict)
    staging: dict = field(default_factory=dict)
    forming_members: set = field(default_factory=set)
    forming: set = field(default_factory=set)
    warming: set = field(default_factory=set)
    dissolving: set = field(default_factory=set)
    last_dissolve_ms: dict = field(default_factory=dict)
    released: set = field(default_factory=set)
    never_opened: set = field(default_factory=set)
    broken_by_ms: dict = field(default_factory=dict)
    last_replicas: dict = field(default_factory=dict)
    last_models: dict = field(default_factory=dict)
    join_unanswered: set = field(default_factory=set)
    open_unanswered: set = field(default_factory=set)
    left_heads: dict = field(default_factory=dict)
    absent_heads: set = field(default_factory=set)
    active_loads: int = 0
    load_starts_ms: list = field(default_factory=list)

    def has_ended(self, key, now_ms):
        """Return whether the head of a replica can no longer serve."""
        return key in self.released or now_ms >= self.broken_by_ms.get(key, float("inf"))

    def record_left(self, head_id, key):
        """Record that the head of a dissolved replica was made to leave it, or broke."""
        self.left_heads[head_id] = key
        self.absent_heads.discard(head_id)

    def observe_head(self, endpoint_id, member):
        """Return the released replica that its head has entered again, or None.

        An order of an earlier keeper that was carried out late can bring the head back, and open
        the replica, so the replica is not released any more.
        """
        key = self.left_heads.get(endpoint_id)
        if key is None:
            return None
        in_replica = member is not None and (member.replica, member.generation) == key
        if not in_replica or member.state is ReplicaState.BROKEN:
            self.absent_heads.add(endpoint_id)
            return None
        if endpoint_id not in self.absent_heads or key not in self.released:
            return None
        self.released.discard(key)
        return key
