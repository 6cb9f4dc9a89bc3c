"""Whole replicas as their members' own fresh reports show them."""

from dataclasses import dataclass

from corianderhaven.membership import Load, MemberReference

VIEW_CACHE_MS = 20.0


@dataclass(frozen=True)
class Replica:
    """A replica whose members all report that they belong to it.

    Attributes
    ----------
    load_age_ms : float
        Age of `load`, the endpoint's lag included.
    """

    replica_id: str
    generation: int
    deployment: str
    model: str
    version: str
    adapters: tuple
    members: tuple[MemberReference, ...]
    zone: str
    load: Load
    load_age_ms: float

    @property
    def key(self):
        """Return what identifies this formation of the replica."""
        return f"{self.replica_id}~{self.generation}"

    @property
    def address(self):
        """Return the address of the member that answers requests."""
        return self.members[0].address


class ReplicaView:
    """Builds whole replicas from facts; intent plays no part.

    Parameters
    ----------
    facts : FactBoard
    directory : VmDirectory
        Says which VMs are leaving.
    clock : Clock
    """

    def __init__(self, facts, directory, clock):
        self.facts = facts
        self.directory = directory
        self.clock = clock
        self.cached = []
        self.cached_ms = float("-inf")

    def whole_replicas(self):
        """Return all whole replicas that may take new work, as of a few ms ago at most."""
        now = self.clock.now_ms()
        if now - self.cached_ms >= VIEW_CACHE_MS:
            fresh = self.facts.fresh_facts()
            found = (self._build(fact, fresh) for fact in fresh.values())
            self.cached = [replica for replica in found if replica is not None]
            self.cached_ms = now
        return self.cached

    def for_deployment(self, deployment):
        """Return the whole replicas of `deployment` with its model, version and adapters."""
        return [
            replica
            for replica in self.whole_replicas()
            if replica.deployment == deployment.name and replica.model == deployment.model
        ]

    def find(self, replica_id, generation):
        """Return the whole replica of that id and generation, or None."""
        return next(
            (
                replica
                for replica in self.whole_replicas()
                if replica.replica_id == replica_id and replica.generation == generation
            ),
            None,
        )

    def leader_address(self, replica_id, generation):
        """Return the address of a replica's first member, whole or not, or None."""
        for fact in self.facts.fresh_facts().values():
            assignment = fact.report.assignment
            if (
                assignment is not None
                and assignment.rank == 0
                and (assignment.replica_id, assignment.generation) == (replica_id, generation)
            ):
                return assignment.members[0].address
        return None

    def _build(self, fact, fresh):
        assignment = fact.report.assignment
        if assignment is None or assignment.rank != 0:
            return None
        if not all(
            self._is_serving_member(fresh.get(member.vm), member, assignment, rank)
            for rank, member in enumerate(assignment.members)
        ):
            return None
        vm = self.directory.vms.get(fact.report.vm)
        return Replica(
            assignment.replica_id,
            assignment.generation,
            assignment.deployment,
            assignment.model,
            assignment.version,
            tuple(assignment.adapters),
            tuple(assignment.members),
            vm.zone if vm else "",
            fact.report.load,
            self.clock.now_ms() - fact.load_ms,
        )

    def _is_serving_member(self, fact, member, assignment, rank):
        """Return whether a member's own report places it in the replica, serving."""
        if fact is None or self.directory.is_leaving(member.vm):
            return False
        report = fact.report
        own = report.assignment
        return (
            report.instance == member.instance
            and report.status == "serving"
            and not report.leaving
            and own is not None
            and own.rank == rank
            and (own.replica_id, own.generation) == (assignment.replica_id, assignment.generation)
        )
