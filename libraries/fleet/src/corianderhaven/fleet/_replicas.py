"""Replicas, derived from the memberships that endpoints report."""

from dataclasses import dataclass

from ._types import ReplicaState


@dataclass
class Replica:
    """Members that report the same replica name and generation.

    Parameters
    ----------
    members : dict of int to Endpoint
        Members by rank; ranks that no endpoint reports are missing.
    """

    name: str
    generation: int
    members: dict

    @property
    def key(self):
        """Name and generation, which together identify a replica."""
        return (self.name, self.generation)

    @property
    def head(self):
        """Endpoint with rank 0, or None."""
        return self.members.get(0)

    @property
    def state(self):
        """State that the head reports, or None without a head."""
        head = self.head
        return head.membership.state if head else None

    @property
    def model(self):
        """Name of the model that the replica serves."""
        return model_of(self.name)


def replica_name(model, tenure, number):
    """Return a unique replica name; `tenure` is the revision of the keeper's lease record."""
    return f"{model}.{tenure}.{number}"


def model_of(name):
    """Return the model name contained in a replica's name."""
    return name.rsplit(".", 2)[0]


def group_replicas(endpoints):
    """Return the `Replica`s reported by `endpoints`, by (name, generation)."""
    replicas = {}
    for endpoint in endpoints:
        member = endpoint.membership
        if member is None:
            continue
        key = (member.replica, member.generation)
        replica = replicas.setdefault(key, Replica(*key, {}))
        replica.members[member.rank] = endpoint
    return replicas


def count_missing_members(replica, size):
    """Return how many of `size` members are missing or leaving."""
    alive = [e for rank, e in replica.members.items() if rank < size and not e.leaving]
    return size - len(alive)


def is_serving(replica):
    """Return whether a replica accepts requests.

    A missing member may just be cut off from the store, so it doesn't count here. A replica that
    really lacks a member starts no request and is detected by the absence of stream events.
    """
    return replica.state is ReplicaState.OPEN and not any(
        e.leaving for e in replica.members.values()
    )
