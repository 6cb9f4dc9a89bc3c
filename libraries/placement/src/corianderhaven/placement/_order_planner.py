"""Derives orders from the intent and the facts."""

from corianderhaven.platform import VmKind

from ._intent import DrainReason
from ._member_state import MemberState, assess_replica
from ._orders import Order, OrderKind


class OrderPlanner:
    """Derives the orders that bring the members of a zone in line with the intent.

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

    def orders(self, document, intent):
        """Return the orders that bring the members in line with the intent.

        A VM is ordered to join a replica only if its own report shows it free, or assigned to
        the same replica with another generation or rank.
        """
        token_checks = {d.name: d.engine.checks_fencing_token for d in document.deployments}
        orders = []
        for replica in intent.replicas:
            state = assess_replica(replica, self.facts, self.directory)
            checks_token = token_checks.get(replica.deployment, False)
            for rank, member in enumerate(replica.members):
                orders += self._member_orders(
                    replica, rank, member, state.members[rank], checks_token
                )
        orders += self._orphan_orders(intent, token_checks)
        return orders

    def _member_orders(self, replica, rank, member, state, checks_token):
        if state is MemberState.READY and replica.drain is not DrainReason.NONE:
            return [_make_order(OrderKind.DRAIN, member, replica, rank, checks_token)]
        if state is not MemberState.MISPLACED:
            return []
        assignment = self.facts.fresh_report(member.vm).assignment
        if assignment is None or assignment.replica_id == replica.replica_id:
            return [_make_order(OrderKind.FORM, member, replica, rank, checks_token)]
        return [
            Order(
                OrderKind.RELEASE,
                member.vm,
                member.address,
                assignment.replica_id,
                assignment.generation,
                checks_token,
            )
        ]

    def _orphan_orders(self, intent, token_checks):
        """Release VMs that report an assignment but belong to no intended replica."""
        used = intent.used_vms()
        orders = []
        for vm in self.directory.endpoints({self.zone}):
            report = self.facts.fresh_report(vm.id)
            assignment = report.assignment if report else None
            if vm.kind is not VmKind.ENGINE or assignment is None or vm.id in used:
                continue
            checks_token = token_checks.get(assignment.deployment, False)
            orders.append(
                Order(
                    OrderKind.RELEASE,
                    vm.id,
                    vm.address,
                    assignment.replica_id,
                    assignment.generation,
                    checks_token,
                )
            )
        return orders


def _make_order(kind, member, replica, rank, checks_token):
    return Order(
        kind,
        member.vm,
        member.address,
        replica.replica_id,
        replica.generation,
        checks_token,
        replica,
        rank,
    )
