"""What must always hold of placement; used by tests and by the experiment tool."""

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class Violation:
    """One broken invariant."""

    rule: str
    detail: str


def check_invariants(intents, reports, drafts_on_incomplete=0):
    """Return the violations seen in one moment's truth.

    Parameters
    ----------
    intents : list of ZoneIntent
        As stored.
    reports : list of MemberReport
        Of all engine VMs, taken at one moment.
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
    """Find two replicas that are whole by all their members' word and share a VM.

    A VM reports one assignment, so two replicas can share it only if one of them counts it as
    a member that the VM itself denies; such a replica must not be whole.
    """
    by_vm = {report.vm: report for report in reports}
    violations = []
    for report in reports:
        own = report.assignment
        if own is None or own.rank != 0 or report.status != "serving":
            continue
        for member in own.members:
            other = by_vm.get(member.vm)
            claimed = other.assignment if other else None
            if claimed is not None and claimed.replica_id != own.replica_id:
                violations.append(
                    Violation(
                        "a serving replica counts another's VM", f"{own.replica_id}: {member.vm}"
                    )
                )
    return violations
