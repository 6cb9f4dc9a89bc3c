"""Repair policies: wait for a silent member, take a spare, or dissolve for others.

Each way is given its expected cost in the two measures of the document: group downtime and
stranded accelerators, both weighted, over the time that the way is expected to take.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

FORM_MS = 1_500.0
LOAD_MS = 10_000.0
REPLACEMENT_MS = 120_000.0
LEAST_REMAINING_MS = 1_000.0
MOST_REMAINING_MS = 120_000.0
CHURN_FACTOR = 1.2


class RepairWay(enum.StrEnum):
    """What to do about an incomplete replica."""

    WAIT = "wait"
    SPARE = "spare"
    DISSOLVE = "dissolve"


@dataclass(frozen=True)
class RepairCase:
    """An incomplete replica and what could be done about it.

    Attributes
    ----------
    alive, missing, lost : int
        Members that answer, that don't or leave, and those of the latter that are surely gone.
    silent_ms : float
        How long the silent members have been silent.
    spares : int
        Free VMs of the fabric domain that could take their place.
    spares_loaded : bool
        Whether as many spares as needed hold the weights.
    can_complete_other : bool
        Whether its members would make another incomplete replica whole.
    other_alive : int
        Members of that other replica that answer.
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
    """The way chosen, with the cost of each way weighed."""

    way: RepairWay
    costs: dict


class BaseRepairPolicy(ABC):
    """Chooses a way to repair."""

    @abstractmethod
    def decide(self, case, weights):
        """Return a `RepairDecision`.

        Parameters
        ----------
        case : RepairCase
        weights : RepairWeights
        """


class WeighedRepairPolicy(BaseRepairPolicy):
    """Chooses the way with the least expected cost."""

    def decide(self, case, weights):
        """Weigh waiting, spares and dissolution."""
        down = weights.group_downtime
        stranded = weights.stranded_accelerators
        remaining = _expected_remaining_ms(case)
        rate = down + stranded * case.alive
        costs = {RepairWay.WAIT: rate * remaining}
        if case.spares >= case.missing:
            form = FORM_MS if case.spares_loaded else FORM_MS + LOAD_MS
            costs[RepairWay.SPARE] = CHURN_FACTOR * rate * form
        if case.can_complete_other:
            other_rate = down + stranded * case.other_alive
            saved = other_rate * (remaining - FORM_MS)
            costs[RepairWay.DISSOLVE] = CHURN_FACTOR * down * (remaining + FORM_MS) - saved
        way = min(costs, key=costs.get)
        return RepairDecision(way, {w.value: round(cost) for w, cost in costs.items()})


class AlwaysWaitPolicy(BaseRepairPolicy):
    """Baseline: replaces members that are surely lost, and waits for silent ones."""

    def decide(self, case, weights):
        """Take spares only when every missing member is lost."""
        if case.lost == case.missing and case.spares >= case.missing:
            return RepairDecision(RepairWay.SPARE, {})
        return RepairDecision(RepairWay.WAIT, {})


class AlwaysDissolvePolicy(BaseRepairPolicy):
    """Baseline: dissolves every incomplete replica at once."""

    def decide(self, case, weights):
        """Dissolve."""
        return RepairDecision(RepairWay.DISSOLVE, {})


class GreedyPolicy(BaseRepairPolicy):
    """Baseline: takes spares at once, else dissolves for others at once."""

    def decide(self, case, weights):
        """Act at once on whatever is possible."""
        if case.spares >= case.missing:
            return RepairDecision(RepairWay.SPARE, {})
        if case.can_complete_other:
            return RepairDecision(RepairWay.DISSOLVE, {})
        return RepairDecision(RepairWay.WAIT, {})


def _expected_remaining_ms(case):
    """Return how long the missing members are expected to stay away.

    A silent member is expected to stay silent as long again as it has been; a lost one comes
    back when the platform has replaced its VM, and the replica must then be formed anew.
    """
    if case.lost:
        return REPLACEMENT_MS + FORM_MS
    return min(MOST_REMAINING_MS, max(LEAST_REMAINING_MS, case.silent_ms))


POLICIES = {
    "weighed": WeighedRepairPolicy,
    "always-wait": AlwaysWaitPolicy,
    "always-dissolve": AlwaysDissolvePolicy,
    "greedy": GreedyPolicy,
}


def make_repair_policy(name):
    """Return the policy that a setting names.

    Parameters
    ----------
    name : {"weighed", "always-wait", "always-dissolve", "greedy"}
    """
    return POLICIES[name]()
