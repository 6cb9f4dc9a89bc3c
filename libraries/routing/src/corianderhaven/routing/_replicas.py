"""Whole replicas, derived from the recent reports of their members."""

from dataclasses import dataclass

from corianderhaven.membership import Load, MemberReference

VIEW_CACHE_MS = 20.0


@dataclass(frozen=True)
class Replica:
    """A whole replica: every member reports that it serves as part of it.

    Attributes
    ----------
    load_age_ms : float
        Age of `load`, including the reporting lag of the endpoint.
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
        """Return an identifier that is unique per replica and generation."""
        return f"{self.replica_id}~{self.generation}"

    @property
    def address(self):
        """Return the address of the member that serves requests."""
        return self.members[0].address


class ReplicaView:
    """Derives whole replicas from member reports only; the placement intent isn't used.

    Parameters
    ----------
    facts : FactTable
    directory : VmDirectory
        Provides the VMs that are leaving.
    clock : Clock
    """

    def __init__(self, facts, directory, clock):
        self.facts = facts
        self.directory = directory
        self.clock = clock
        self.cached = []
        self.cached_ms = float("-inf")

    def whole_replicas(self):
        """Return all whole replicas that may take new work; cached for `VIEW_CACHE_MS`."""
        now = self.clock.now_ms()
        if now - self.cached_ms >= VIEW_CACHE_MS:
            fresh = self.facts.fresh_facts()
            found = (self._build(fact, fresh) for fact in fresh.values())
            self.cached = [replica for replica in found if replica is not None]
            self.cached_ms = now
        return self.cached

    def for_deployment(self, deployment):
        """Return the whole replicas of `deployment` with its model, of any version and adapters."""
        return [
            replica
            for replica in self.whole_replicas()
            if replica.deployment == deployment.name and replica.model == deployment.model
        ]

    def find(self, replica_id, generation):
        """Return the whole replica with an id and generation, or None."""
        return next(
            (
                replica
                for replica in self.whole_replicas()
                if replica.replica_id == replica_id and replica.generation == generation
            ),
            None,
        )

    def leader_address(self, replica_id, generation):
        """Return the address of the rank 0 member of a replica, whole or not, or None."""
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
        """Return whether a member reports that it serves in the replica with its rank."""
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
