"""State of the members of an intended replica, derived from facts."""

import enum
from dataclasses import dataclass


class MemberState(enum.StrEnum):
    """State of one member compared with the intent.

    ``SILENT``: no recent report; the member may be paused. ``LOST``: it refused connections, or
    its VM is gone or came back as another instance. ``MISPLACED``: it is alive without the
    intended assignment.
    """

    READY = "ready"
    LOADING = "loading"
    DRAINING = "draining"
    BROKEN = "broken"
    LEAVING = "leaving"
    MISPLACED = "misplaced"
    SILENT = "silent"
    LOST = "lost"


ALIVE_STATES = frozenset(
    {
        MemberState.READY,
        MemberState.LOADING,
        MemberState.DRAINING,
        MemberState.BROKEN,
        MemberState.LEAVING,
        MemberState.MISPLACED,
    }
)


@dataclass(frozen=True)
class ReplicaState:
    """State of all members of an intended replica, in rank order.

    Attributes
    ----------
    silent_ms : float
        Longest time that a silent member has not reported.
    running : int
        Running and queued requests reported by the first member.
    """

    members: tuple
    silent_ms: float
    running: int

    @property
    def whole(self):
        """Return whether every member is ready."""
        return all(state is MemberState.READY for state in self.members)

    @property
    def converging(self):
        """Return whether the replica becomes whole without further planning."""
        converging_states = (MemberState.READY, MemberState.LOADING, MemberState.MISPLACED)
        return all(state in converging_states for state in self.members)

    @property
    def alive(self):
        """Return the number of members that respond."""
        return sum(1 for state in self.members if state in ALIVE_STATES)

    def count(self, state):
        """Return the number of members in `state`."""
        return self.members.count(state)

    @property
    def missing(self):
        """Return the number of members that must be replaced to make the replica whole."""
        missing_states = (MemberState.SILENT, MemberState.LOST, MemberState.LEAVING)
        return sum(1 for state in self.members if state in missing_states)


def _member_state(member, rank, replica, facts, directory):
    if member.vm not in directory.vms:
        return MemberState.LOST
    fact = facts.get(member.vm)
    if fact is None:
        return MemberState.SILENT
    if fact.report is None:
        return MemberState.LOST
    report = facts.fresh_report(member.vm)
    if report is None:
        return MemberState.SILENT
    if report.instance != member.instance:
        return MemberState.LOST
    if report.leaving or directory.is_leaving(member.vm):
        return MemberState.LEAVING
    assignment = report.assignment
    placed = assignment is not None and (
        assignment.replica_id,
        assignment.generation,
        assignment.rank,
    ) == (
        replica.replica_id,
        replica.generation,
        rank,
    )
    if not placed:
        return MemberState.MISPLACED
    return {
        "loading": MemberState.LOADING,
        "draining": MemberState.DRAINING,
        "broken": MemberState.BROKEN,
        "free": MemberState.MISPLACED,
    }.get(report.status.value, MemberState.READY)


def assess_replica(replica, facts, directory):
    """Return the `ReplicaState` of an intended replica.

    Parameters
    ----------
    replica : IntentReplica
    facts : FactTable
    directory : VmDirectory
    """
    states = tuple(
        _member_state(member, rank, replica, facts, directory)
        for rank, member in enumerate(replica.members)
    )
    ages = [
        facts.age_ms(member.vm) or 0.0
        for member, state in zip(replica.members, states, strict=True)
        if state is MemberState.SILENT
    ]
    first_report = facts.fresh_report(replica.members[0].vm)
    running = first_report.load.running + first_report.load.queued if first_report else 0
    return ReplicaState(states, max(ages, default=0.0), running)
