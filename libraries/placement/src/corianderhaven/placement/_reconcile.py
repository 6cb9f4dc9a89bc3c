"""Adds running replicas that are missing from the stored intent."""

from collections import Counter

from corianderhaven.platform import VmKind

from ._intent import IntentReplica
from ._plan import Plan


class Reconciler:
    """Compares the intent with the members' reports after the lease was acquired.

    Parameters
    ----------
    zone : str
    facts : FactTable
    directory : VmDirectory
    """

    def __init__(self, zone, facts, directory):
        self.zone = zone
        self.facts = facts
        self.directory = directory

    def reconcile(self, intent):
        """Return a `Plan` that adds whole replicas missing from the intent.

        Replicas can be missing after an earlier holder made repairs while the platform was
        unreachable, or after the store was restored from a backup.
        """
        plan = Plan(intent.copy())
        for assignment in self._whole_assignments():
            known = plan.intent.find(assignment.replica_id)
            if known is not None and known.generation >= assignment.generation:
                continue
            others = {vm for r in plan.intent.replicas if r is not known for vm in r.vms}
            if others & {member.vm for member in assignment.members}:
                continue
            if known is not None:
                plan.intent.replicas.remove(known)
            vm = self.directory.vms.get(assignment.members[0].vm)
            plan.intent.replicas.append(_replica_from(assignment, vm.fabric_domain if vm else ""))
            plan.add_change("replica_reconciled", assignment.replica_id, self.zone)
        highest = max((a.generation for a in self._assignments()), default=0)
        plan.intent.next_generation = max(plan.intent.next_generation, highest + 1)
        return plan

    def _assignments(self):
        endpoints = self.directory.endpoints({self.zone})
        engines = {vm.id for vm in endpoints if vm.kind is VmKind.ENGINE}
        fresh = self.facts.fresh_facts()
        return [
            fact.report.assignment
            for vm, fact in fresh.items()
            if vm in engines and fact.report.assignment is not None
        ]

    def _whole_assignments(self):
        """Return the first member's assignment of each replica that all its members report."""
        keys = Counter((a.replica_id, a.generation) for a in self._assignments())
        return [
            a
            for a in self._assignments()
            if a.rank == 0 and keys[(a.replica_id, a.generation)] == len(a.members)
        ]


def _replica_from(assignment, fabric_domain):
    return IntentReplica(
        replica_id=assignment.replica_id,
        generation=assignment.generation,
        deployment=assignment.deployment,
        model=assignment.model,
        version=assignment.version,
        adapters=list(assignment.adapters),
        fabric_domain=fabric_domain,
        members=list(assignment.members),
    )
