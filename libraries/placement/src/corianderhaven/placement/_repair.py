"""Repair policies: wait for a silent member, use a spare, or dissolve the replica.

The cost of each action is the weighted sum of the two metrics that the document weights, group
downtime and stranded accelerators, over the time that the action is expected to take.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

FORMATION_MS = 1_500.0
LOAD_MS = 10_000.0
REPLACEMENT_MS = 120_000.0
MIN_REMAINING_MS = 1_000.0
MAX_REMAINING_MS = 120_000.0
CHURN_FACTOR = 1.2


class RepairAction(enum.StrEnum):
    """Action taken on an incomplete replica."""

    WAIT = "wait"
    SPARE = "spare"
    DISSOLVE = "dissolve"


@dataclass(frozen=True)
class RepairCase:
    """An incomplete replica and the resources available to repair it.

    Attributes
    ----------
    alive, missing, lost : int
        Members that respond; members that are silent, lost or leaving; and those of the latter
        that are lost or leaving.
    silent_ms : float
        Longest time that a silent member has not reported.
    spares : int
        Free VMs of the fabric domain that could replace the missing members.
    spares_loaded : bool
        Whether enough spares already hold the weights.
    can_complete_other : bool
        Whether the members, released, would make another incomplete replica whole.
    other_alive : int
        Members of that other replica that respond.
    """

    alive: int
    missing: int
    lost: int
    silent_ms: float
    spares: int
    spares_loaded: bool
    can_complete_other: bool
    other_alive: int = 0


@dataclass(frozen=True)
class RepairDecision:
    """The chosen action and the cost of each action considered."""

    action: RepairAction
    costs: dict


class BaseRepairPolicy(ABC):
    """Chooses how to repair an incomplete replica."""

    @abstractmethod
    def decide(self, case, weights):
        """Return a `RepairDecision`.

        Parameters
        ----------
        case : RepairCase
        weights : RepairWeights
        """


class LowestCostPolicy(BaseRepairPolicy):
    """Chooses the action with the lowest expected cost."""

    def decide(self, case, weights):
        """Compare the costs of waiting, using spares and dissolving."""
        downtime_weight = weights.group_downtime
        stranded_weight = weights.stranded_accelerators
        remaining_ms = _expected_remaining_ms(case)
        cost_rate = downtime_weight + stranded_weight * case.alive
        costs = {RepairAction.WAIT: cost_rate * remaining_ms}
        if case.spares >= case.missing:
            formation_ms = FORMATION_MS if case.spares_loaded else FORMATION_MS + LOAD_MS
            costs[RepairAction.SPARE] = CHURN_FACTOR * cost_rate * formation_ms
        if case.can_complete_other:
            other_cost_rate = downtime_weight + stranded_weight * case.other_alive
            saved = other_cost_rate * (remaining_ms - FORMATION_MS)
            costs[RepairAction.DISSOLVE] = (
                CHURN_FACTOR * downtime_weight * (remaining_ms + FORMATION_MS) - saved
            )
        action = min(costs, key=costs.get)
        return RepairDecision(action, {w.value: round(cost) for w, cost in costs.items()})


class AlwaysWaitPolicy(BaseRepairPolicy):
    """Baseline: replaces members that are known to be lost and waits for silent ones."""

    def decide(self, case, weights):
        """Use spares only if every missing member is lost."""
        if case.lost == case.missing and case.spares >= case.missing:
            return RepairDecision(RepairAction.SPARE, {})
        return RepairDecision(RepairAction.WAIT, {})


class AlwaysDissolvePolicy(BaseRepairPolicy):
    """Baseline: dissolves every incomplete replica at once."""

    def decide(self, case, weights):
        """Return the decision to dissolve, whatever the case."""
        return RepairDecision(RepairAction.DISSOLVE, {})


class GreedyPolicy(BaseRepairPolicy):
    """Baseline: uses spares immediately, else dissolves to complete another replica."""

    def decide(self, case, weights):
        """Choose the first possible action without comparing costs."""
        if case.spares >= case.missing:
            return RepairDecision(RepairAction.SPARE, {})
        if case.can_complete_other:
            return RepairDecision(RepairAction.DISSOLVE, {})
        return RepairDecision(RepairAction.WAIT, {})


def _expected_remaining_ms(case):
    """Return the expected time until the missing members are back.

    A silent member is expected to stay silent for as long as it has been silent so far. A lost
    member returns once the platform has replaced its VM, and the replica is then re-formed.
    """
    if case.lost:
        return REPLACEMENT_MS + FORMATION_MS
    return min(MAX_REMAINING_MS, max(MIN_REMAINING_MS, case.silent_ms))


POLICIES = {
    "weighed": LowestCostPolicy,
    "always-wait": AlwaysWaitPolicy,
    "always-dissolve": AlwaysDissolvePolicy,
    "greedy": GreedyPolicy,
}


def make_repair_policy(name):
    """Return the repair policy with the given name.

    Parameters
    ----------
    name : {"weighed", "always-wait", "always-dissolve", "greedy"}
    """
    return POLICIES[name]()
