"""Invariants of placement, for tests and experiments."""

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class Violation:
    """One broken invariant."""

    rule: str
    detail: str


def check_invariants(intents, reports, drafts_on_incomplete=0):
    """Return the invariants violated in one snapshot.

    Parameters
    ----------
    intents : list of ZoneIntent
        The stored intents of all zones.
    reports : list of MemberReport
        Reports of all engine VMs, taken at the same time.
    drafts_on_incomplete : int
        Drafts that an engine accepted while its replica had a missing member.

    Returns
    -------
    list of Violation
    """
    violations = [*_shared_vms(intents), *_double_membership(reports)]
    if drafts_on_incomplete:
        violations.append(Violation("draft on an incomplete replica", str(drafts_on_incomplete)))
    return violations


def _shared_vms(intents):
    counts = Counter(vm for intent in intents for r in intent.replicas for vm in r.vms)
    return [
        Violation("a VM in two intended replicas", vm) for vm, count in counts.items() if count > 1
    ]


def _double_membership(reports):
    """Find serving replicas that list a VM assigned to another replica.

    A VM reports only one assignment, so two replicas can share it only if one of them lists it
    as a member while the VM reports another replica; such a replica must not be whole.
    """
    by_vm = {report.vm: report for report in reports}
    violations = []
    for report in reports:
        assignment = report.assignment
        if assignment is None or assignment.rank != 0 or report.status != "serving":
            continue
        for member in assignment.members:
            other = by_vm.get(member.vm)
            reported = other.assignment if other else None
            if reported is not None and reported.replica_id != assignment.replica_id:
                violations.append(
                    Violation(
                        "a serving replica counts another's VM",
                        f"{assignment.replica_id}: {member.vm}",
                    )
                )
    return violations
