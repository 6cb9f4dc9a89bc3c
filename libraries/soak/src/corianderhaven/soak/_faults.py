"""Which faults come when: a plan worked out from a seed."""

import random
from dataclasses import dataclass

LONGEST_GAP_S = 1.2  # faults overlap: most last longer
SHORTEST_S, LONGEST_S = 0.2, 3.0  # from below an exchange's time-out to beyond a lease
KINDS = {
    "daemon_kill": 4,
    "daemon_pause": 3,
    "daemon_drain": 3,
    "all_daemons_kill": 1,
    "store_away": 3,
    "store_slow": 2,
    "store_lost_answers": 2,
    "store_forgets": 2,
    "store_link_reset": 2,
    "store_link_silent": 2,
    "store_link_cut": 3,
    "store_link_one_way": 2,
    "worker_gone": 5,
    "worker_link_reset": 3,
    "worker_link_silent": 2,
    "worker_link_delay": 2,
    "worker_misbehaves": 6,
    "worker_leaves": 3,
    "caller_links_reset": 2,
    "config_change": 5,
}


@dataclass(frozen=True)
class Fault:
    """One fault of a plan.

    Parameters
    ----------
    at_s : float
        Seconds from the start.
    for_s : float
        How long it lasts, where it lasts.
    pick : float
        From 0 to 1: chooses among the things that the fault fits.
    """

    kind: str
    at_s: float
    for_s: float
    pick: float


def plan_faults(seed, seconds):
    """Return the faults of a run in order of time."""
    source = random.Random(seed)
    kinds, weights = list(KINDS), list(KINDS.values())
    faults, at_s = [], 0.0
    while True:
        at_s += source.uniform(0.05, LONGEST_GAP_S)
        if at_s >= seconds:
            return faults
        kind = source.choices(kinds, weights)[0]
        for_s = source.uniform(SHORTEST_S, LONGEST_S)
        faults.append(Fault(kind, round(at_s, 3), round(for_s, 3), source.random()))
