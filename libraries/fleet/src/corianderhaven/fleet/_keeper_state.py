"""State of the keeper that the directory of endpoints does not hold."""

from dataclasses import dataclass, field


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
    broken_by_ms : dict of (str, int) to float
        Latest time at which a replica with an unreachable head declares itself broken.
    last_replicas : dict of str to (str, int)
        Last replica of each endpoint, even if the endpoint has lost its membership.
    last_models : dict of str to (int, str)
        Start time (the incarnation) of each endpoint and the model of its last replica.
    join_unanswered, open_unanswered : set of (str, int)
        Replicas whose head may still carry out an order that it didn't answer. After both, it may
        be open again although it has left.
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
    broken_by_ms: dict = field(default_factory=dict)
    last_replicas: dict = field(default_factory=dict)
    last_models: dict = field(default_factory=dict)
    join_unanswered: set = field(default_factory=set)
    open_unanswered: set = field(default_factory=set)
    active_loads: int = 0
    load_starts_ms: list = field(default_factory=list)

    def has_ended(self, key, now_ms):
        """Return whether the head of a replica can no longer serve."""
        return key in self.released or now_ms >= self.broken_by_ms.get(key, float("inf"))
