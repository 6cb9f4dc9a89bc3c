"""Replicas as their members tell of them."""

from dataclasses import dataclass

from ._types import ReplicaState


@dataclass
class Replica:
    """The members that name one replica and generation.

    Parameters
    ----------
    members : dict of int to Endpoint
        By rank; ranks that nobody tells of are missing.
    """

    name: str
    generation: int
    members: dict

    @property
    def head(self):
        """The endpoint of rank 0, or None."""
        return self.members.get(0)

    @property
    def state(self):
        """What the head says, or None without a head."""
        head = self.head
        return head.membership.state if head else None

    @property
    def model(self):
        """The model that the replica was formed for."""
        return model_of(self.name)


def replica_name(model, tenure, number):
    """Return a name that no other formation bears; `tenure` is the keeper's revision."""
    return f"{model}.{tenure}.{number}"


def model_of(name):
    """Return the model in a replica's name."""
    return name.rsplit(".", 2)[0]


def group_replicas(endpoints):
    """Return the `Replica`s that `endpoints` tell of, by (name, generation)."""
    replicas = {}
    for endpoint in endpoints:
        member = endpoint.membership
        if member is None:
            continue
        key = (member.replica, member.generation)
        replica = replicas.setdefault(key, Replica(*key, {}))
        replica.members[member.rank] = endpoint
    return replicas


def missing_members(replica, size):
    """Return how many of `size` members nobody tells of, or which are leaving."""
    alive = [e for rank, e in replica.members.items() if rank < size and not e.leaving]
    return size - len(alive)


def is_serving(replica):
    """Return whether a replica takes requests.

    A member without an entry may only be cut off from the store; a replica that really
    lacks one starts no request, and is found by its silence.
    """
    return replica.state is ReplicaState.OPEN and not any(
        e.leaving for e in replica.members.values()
    )
